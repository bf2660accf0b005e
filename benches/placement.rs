//! Time of one placement decision, and of one event of a scheduler with asks that
//! wait: `cargo bench --bench placement`.
//!
//! Engines hold the parts of some hundred requests each; a request shares two
//! parts and brings one of its own.

use coordination::messages::{Ask, Class, Hello, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Scheduler, Session, GATHER_MS};
use coordination::slot::{Criteria, Reservations, Slots};
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Epoch};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Engines of the sizes of today and of the larger deployments.
const ENGINES: [u32; 4] = [9, 18, 140, 1100];
/// Engines with which events are measured.
const EVENT_ENGINES: [u32; 3] = [9, 140, 1100];
/// Asks that wait while events are measured.
const WAITING: [usize; 2] = [24, 200];
/// Requests that were sent before the measurement, an engine.
const SENT: u64 = 100;
/// Decisions measured.
const DECISIONS: u64 = 20_000;
/// Events measured of each kind.
const EVENTS: u32 = 2000;
/// Time between two requests of an engine, in milliseconds: about what reading one takes.
const EACH_MS: u64 = 100;
/// The same before the measurement: each is answered before the next one comes.
const ROUND_MS: u64 = 500;
/// Time for the way and the steps of a request, in milliseconds.
const FIRST_MS: u64 = 40;
/// Tokens that an engine reads in a millisecond.
const RATE: u64 = 50;
/// Answers that are generated while events are measured.
const STREAMS: usize = 400;
/// Customers whose asks wait.
const CUSTOMERS: u64 = 40;
/// Memory of an engine, in tokens.
const MEMORY: u64 = 500_000;
/// Tokens that an engine copies in a second.
const COPY_RATE: u64 = 1_000_000;
/// Time to a first byte within which an answer is on time, in milliseconds.
const AIM_MS: u32 = 600;

fn prompt(n: u64) -> Prompt {
    let parts = [(n % 50, 2000), (1000 + n % 400, 5000), (1 << 40 | n, 3000)];
    Prompt::new(parts, 100)
}

fn criteria(n: u64) -> Criteria {
    Criteria {
        session: None,
        prompt: prompt(n),
        avoid: None,
        aim_ms: u64::from(AIM_MS),
        slack_ms: u64::from(AIM_MS),
        only_in_time: false,
    }
}

/// A first byte that its scheduler hears of as soon as it comes.
const PROMPTLY: Option<u32> = Some(u32::MAX);

/// Engines that have answered some requests.
fn fill(slots: &mut Slots, engines: u32) {
    slots.set_memory_tokens(Some(MEMORY));
    slots.set_copy_tokens_per_s(Some(COPY_RATE));
    for id in 1..=engines {
        slots.set(EndpointId(id), 10_000, 0, false);
    }
    for n in 0..SENT * u64::from(engines) {
        let id = EndpointId(1 + u32::try_from(n % u64::from(engines)).unwrap_or(0));
        let now = Millis(n / u64::from(engines) * ROUND_MS);
        if let Some(mut prefill) = slots.acquire(now, id, prompt(n)) {
            let first = now.after(FIRST_MS + prefill.prefill_tokens() / RATE);
            slots.note_first_byte(first, id, &mut prefill, PROMPTLY);
            slots.end_prefill(first, id, &prefill);
            slots.release(first, id, Some(Verdict::Fine));
        }
    }
}

fn measure_decisions(engines: u32) {
    let mut slots = Slots::default();
    fill(&mut slots, engines);
    let began = Instant::now();
    let mut found = 0;
    for n in 0..DECISIONS {
        let chosen = slots.choose(Millis(1_000_000), criteria(n), &mut Reservations::default());
        found += u64::from(chosen.is_some());
    }
    let each = began.elapsed().as_nanos() / u128::from(DECISIONS);
    println!("{engines:>4} engines: {each:>7} ns a decision, {found} placed at once");
}

/// A scheduler of engines that are all busy, and what it has granted.
struct Load {
    scheduler: Scheduler,
    session: Session,
    now: Millis,
    next: u64,
    granted: VecDeque<Seq>,
}

/// Time taken by the events of one kind.
#[derive(Clone, Copy, Default)]
struct Total {
    took: Duration,
    events: u32,
}

impl Total {
    fn each_ns(&self) -> u128 {
        self.took.as_nanos() / u128::from(self.events.max(1))
    }
}

impl Load {
    fn new(engines: u32, waiting: usize) -> Self {
        let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
        fill(scheduler.slots(), engines);
        let session = scheduler.open_session(Millis(0), None, &Hello::default());
        let mut load = Load {
            scheduler,
            session,
            now: Millis(GATHER_MS + SENT * ROUND_MS),
            next: 0,
            granted: VecDeque::new(),
        };
        load.refill(waiting);
        load
    }

    /// Asks until that many wait.
    fn refill(&mut self, waiting: usize) {
        while self.scheduler.waiting() < waiting {
            self.ask();
        }
    }

    /// Takes back asks until no more than that many wait.
    fn drain(&mut self, waiting: usize) {
        let oldest = self.next.saturating_sub(4 * waiting as u64);
        for seq in oldest..self.next {
            if self.scheduler.waiting() <= waiting {
                return;
            }
            self.scheduler.withdraw(self.session, Seq(seq));
        }
    }

    fn ask(&mut self) -> Duration {
        let n = self.next;
        self.next += 1;
        let ask = Ask {
            seq: Seq(n),
            class: Class {
                // CAST: the remainder is below the few customers.
                customer: CustomerId((n % CUSTOMERS) as u32),
                rule: 0,
            },
            weight: 1,
            rate: 0,
            concurrency: 0,
            priority: 0,
            aim_ms: AIM_MS,
            hint: 10_200,
            prompt: prompt(n),
            avoid: None,
            remote: false,
        };
        let began = Instant::now();
        let effects = self.scheduler.ask(self.now, self.session, ask);
        let took = began.elapsed();
        self.note(&effects);
        took
    }

    fn note(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Grant(_, grant) = effect {
                self.granted.push_back(grant.seq);
            }
        }
    }

    fn began(&mut self, seq: Seq) -> Duration {
        let began = Instant::now();
        let effects = (self.scheduler).note_first_byte(self.now, self.session, seq, PROMPTLY);
        let took = began.elapsed();
        self.note(&effects);
        took
    }

    fn done(&mut self, seq: Seq) -> Duration {
        let began = Instant::now();
        let now = self.now;
        let effects = (self.scheduler).done(now, self.session, seq, 10_000, Verdict::Fine);
        let took = began.elapsed();
        self.note(&effects);
        took
    }
}

fn measure_events(engines: u32, waiting: usize) {
    let mut load = Load::new(engines, waiting);
    let (mut asks, mut firsts, mut ends) = (Total::default(), Total::default(), Total::default());
    let mut streams = VecDeque::new();
    let granted = load.scheduler.summary().granted;
    let start = load.now;
    for n in 0..EVENTS {
        load.now = start.after(u64::from(n) * EACH_MS / u64::from(engines));
        load.drain(waiting - 1);
        asks.took += load.ask();
        asks.events += 1;
        if let Some(seq) = load.granted.pop_front() {
            firsts.took += load.began(seq);
            firsts.events += 1;
            streams.push_back(seq);
        }
        if streams.len() > STREAMS {
            if let Some(seq) = streams.pop_front() {
                ends.took += load.done(seq);
                ends.events += 1;
            }
        }
        load.refill(waiting);
    }
    let granted = load.scheduler.summary().granted - granted;
    println!(
        "{engines:>4} engines, {waiting:>3} waiting: {:>7} ns an ask, {:>7} ns a first byte ({}), \
         {:>7} ns an end ({}), {granted} granted",
        asks.each_ns(),
        firsts.each_ns(),
        firsts.events,
        ends.each_ns(),
        ends.events,
    );
}

fn main() {
    for engines in ENGINES {
        measure_decisions(engines);
    }
    for engines in EVENT_ENGINES {
        for waiting in WAITING {
            measure_events(engines, waiting);
        }
    }
}
