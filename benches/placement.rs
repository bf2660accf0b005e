//! Duration of one placement decision, and of one event of a scheduler with a backlog of asks:
//! `cargo bench --bench placement`.
//!
//! Each engine has the prompt parts of 100 earlier requests in its cache. Each request shares two
//! parts of its prompt with others and has one part of its own.

use coordination::messages::{Ask, Class, Hello, Objective, Pause, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Scheduler, Session, GATHER_MS};
use coordination::slot::{Criteria, Reservations, Slots};
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Epoch};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Numbers of engines with which decisions are measured, from small to large deployments.
const DECISION_ENGINES: [u32; 4] = [9, 18, 140, 1100];
/// Numbers of engines with which events are measured.
const EVENT_ENGINES: [u32; 3] = [9, 140, 1100];
/// Numbers of waiting asks with which events are measured.
const BACKLOGS: [usize; 2] = [24, 200];
/// Requests that each engine completes before the measurement, to fill its cache.
const WARMUP_REQUESTS: u64 = 100;
/// Number of decisions measured.
const DECISIONS: u64 = 20_000;
/// Number of asks sent in a measurement of events. First bytes and ends follow from the grants,
/// so there are at most as many of them.
const ASKS: u32 = 2000;
/// Time between two requests per engine during the measurement, in milliseconds: about the
/// prefill time of one request, so that engines are kept busy.
const ASK_INTERVAL_MS: u64 = 100;
/// Time between two requests of an engine before the measurement, in milliseconds: long enough
/// for each request to be answered before the next one is sent.
const WARMUP_INTERVAL_MS: u64 = 500;
/// Time to a first byte in addition to the prefill, such as network latency, in milliseconds.
const OVERHEAD_MS: u64 = 40;
/// Prefill rate of an engine, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 50;
/// Answers in progress above which the oldest one ends, while events are measured.
const MAX_STREAMS: usize = 400;
/// Customers to which the asks belong, in turn.
const CUSTOMERS: u64 = 40;
/// KV cache memory of an engine, in tokens.
const MEMORY_TOKENS: u64 = 500_000;
/// Rate at which an engine copies cached tokens from another one, in tokens per second.
const COPY_TOKENS_PER_S: u64 = 1_000_000;
/// Target for the time to the first byte, in milliseconds.
const TARGET_MS: u32 = 600;

/// Prompt of request `n`: 1 of 50 first parts, 1 of 400 second parts, and a part of its own.
fn prompt(n: u64) -> Prompt {
    let parts = [(n % 50, 2000), (1000 + n % 400, 5000), (1 << 40 | n, 3000)];
    Prompt::new(parts, 100)
}

/// Placement criteria of request `n`.
fn criteria(n: u64) -> Criteria {
    Criteria {
        session: None,
        prompt: prompt(n),
        avoid: None,
        aim_ms: u64::from(TARGET_MS),
        slack_ms: u64::from(TARGET_MS),
        only_in_time: false,
        software: None,
    }
}

/// Longest possible time from a grant to its first byte. The scheduler uses the earlier of this
/// and the time of the notification, so that it takes the first byte to have come just now.
const FIRST_BYTE_TOOK_MS: Option<u32> = Some(u32::MAX);

/// Adds engines and lets each complete its requests of the warm-up.
fn add_warm_engines(slots: &mut Slots, engines: u32) {
    slots.set_memory_tokens(Some(MEMORY_TOKENS));
    slots.set_copy_tokens_per_s(Some(COPY_TOKENS_PER_S));
    for id in 1..=engines {
        slots.set(EndpointId(id), 10_000, 0, false);
    }
    for n in 0..WARMUP_REQUESTS * u64::from(engines) {
        let id = EndpointId(1 + u32::try_from(n % u64::from(engines)).unwrap_or(0));
        let now = Millis(n / u64::from(engines) * WARMUP_INTERVAL_MS);
        if let Some(mut prefill) = slots.acquire(now, id, prompt(n)) {
            let first = now.after(OVERHEAD_MS + prefill.prefill_tokens() / PREFILL_TOKENS_PER_MS);
            slots.record_first_byte(first, id, &mut prefill, FIRST_BYTE_TOOK_MS);
            slots.end_prefill(first, id, &prefill);
            slots.release(first, id, Some(Verdict::Fine));
        }
    }
}

/// Measures placement decisions of a slot table with this many engines.
fn measure_decisions(engines: u32) {
    let mut slots = Slots::default();
    add_warm_engines(&mut slots, engines);
    let began = Instant::now();
    let mut found = 0;
    for n in 0..DECISIONS {
        let chosen = slots.choose(Millis(1_000_000), criteria(n), &mut Reservations::default());
        found += u64::from(chosen.is_some());
    }
    let each = began.elapsed().as_nanos() / u128::from(DECISIONS);
    println!("{engines:>4} engines: {each:>7} ns per decision, {found} placed immediately");
}

/// Measures placement decisions for streams with a bound on their pauses, while each engine has ten
/// such streams, one in ten is slow, and one in two has prefill that is under way.
fn measure_stream_decisions(engines: u32) {
    let objective = Objective {
        max_gap_ms: 300,
        is_resumable: false,
    };
    let now = Millis(1_000_000);
    let mut slots = Slots::default();
    slots.set_event_tokens(5);
    add_warm_engines(&mut slots, engines);
    for id in (1..=engines).map(EndpointId) {
        for _ in 0..10 {
            slots.add_stream(id, objective);
        }
        if id.0.is_multiple_of(10) {
            let pause = Pause {
                endpoint: id,
                count: 10,
                total_ms: 3000,
                longest_ms: 300,
            };
            slots.record_pauses(now, &pause);
        }
        if id.0.is_multiple_of(2) {
            slots.acquire(now, id, prompt(u64::from(id.0)));
        }
    }
    let began = Instant::now();
    let mut found = 0;
    for n in 0..DECISIONS {
        let mut reservations = Reservations::default();
        let chosen = slots.choose_for_stream(now, criteria(n), objective, &mut reservations);
        found += u64::from(chosen.is_some());
    }
    let each = began.elapsed().as_nanos() / u128::from(DECISIONS);
    println!(
        "{engines:>4} engines: {each:>7} ns per decision for a stream, {found} placed immediately"
    );
}

/// A scheduler with busy engines and a backlog, and one router's session that loads it.
struct Load {
    scheduler: Scheduler,
    session: Session,
    now: Millis,
    /// Sequence number of the next ask.
    next: u64,
    /// Granted asks that have no first byte yet.
    granted: VecDeque<Seq>,
}

/// Total processing time of the events of one kind.
#[derive(Clone, Copy, Default)]
struct Total {
    took: Duration,
    events: u32,
}

impl Total {
    /// Mean time per event, in nanoseconds.
    fn mean_ns(&self) -> u128 {
        self.took.as_nanos() / u128::from(self.events.max(1))
    }
}

impl Load {
    fn new(engines: u32, waiting: usize) -> Self {
        let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
        add_warm_engines(scheduler.slots(), engines);
        let session = scheduler.open_session(Millis(0), None, &Hello::default());
        let mut load = Load {
            scheduler,
            session,
            now: Millis(GATHER_MS + WARMUP_REQUESTS * WARMUP_INTERVAL_MS),
            next: 0,
            granted: VecDeque::new(),
        };
        load.refill(waiting);
        load
    }

    /// Sends asks until this many wait.
    fn refill(&mut self, waiting: usize) {
        while self.scheduler.waiting() < waiting {
            self.ask();
        }
    }

    /// Withdraws asks, the oldest first, until at most this many wait.
    fn drain(&mut self, waiting: usize) {
        let oldest = self.next.saturating_sub(4 * waiting as u64);
        for seq in oldest..self.next {
            if self.scheduler.waiting() <= waiting {
                return;
            }
            self.scheduler.withdraw(self.session, Seq(seq));
        }
    }

    /// Sends the next ask, and returns how long the scheduler took.
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
            aim_ms: TARGET_MS,
            hint: 10_200,
            prompt: prompt(n),
            avoid: None,
            remote: false,
        };
        let began = Instant::now();
        let effects = self.scheduler.ask(self.now, self.session, ask);
        let took = began.elapsed();
        self.collect_grants(&effects);
        took
    }

    /// Collects the grants among the effects of an event.
    fn collect_grants(&mut self, effects: &[Effect]) {
        for effect in effects {
            if let Effect::Grant(_, grant) = effect {
                self.granted.push_back(grant.seq);
            }
        }
    }

    /// Reports the first byte of an answer, and returns how long the scheduler took.
    fn report_first_byte(&mut self, seq: Seq) -> Duration {
        let began = Instant::now();
        let effects =
            (self.scheduler).record_first_byte(self.now, self.session, seq, FIRST_BYTE_TOOK_MS);
        let took = began.elapsed();
        self.collect_grants(&effects);
        took
    }

    /// Reports the end of an answer, and returns how long the scheduler took.
    fn report_end(&mut self, seq: Seq) -> Duration {
        let began = Instant::now();
        let now = self.now;
        let effects = (self.scheduler).done(now, self.session, seq, 10_000, Verdict::Fine);
        let took = began.elapsed();
        self.collect_grants(&effects);
        took
    }
}

/// Measures asks, first bytes and ends with this many engines and waiting asks.
fn measure_events(engines: u32, waiting: usize) {
    let mut load = Load::new(engines, waiting);
    let (mut asks, mut firsts, mut ends) = (Total::default(), Total::default(), Total::default());
    let mut streams = VecDeque::new();
    let granted = load.scheduler.summary().granted;
    let start = load.now;
    for n in 0..ASKS {
        load.now = start.after(u64::from(n) * ASK_INTERVAL_MS / u64::from(engines));
        load.drain(waiting - 1);
        asks.took += load.ask();
        asks.events += 1;
        if let Some(seq) = load.granted.pop_front() {
            firsts.took += load.report_first_byte(seq);
            firsts.events += 1;
            streams.push_back(seq);
        }
        if streams.len() > MAX_STREAMS {
            if let Some(seq) = streams.pop_front() {
                ends.took += load.report_end(seq);
                ends.events += 1;
            }
        }
        load.refill(waiting);
    }
    let granted = load.scheduler.summary().granted - granted;
    println!(
        "{engines:>4} engines, {waiting:>3} waiting: {:>7} ns per ask, {:>7} ns per first byte ({}), \
         {:>7} ns per end ({}), {granted} granted",
        asks.mean_ns(),
        firsts.mean_ns(),
        firsts.events,
        ends.mean_ns(),
        ends.events,
    );
}

fn main() {
    for engines in DECISION_ENGINES {
        measure_decisions(engines);
    }
    for engines in DECISION_ENGINES {
        measure_stream_decisions(engines);
    }
    for engines in EVENT_ENGINES {
        for waiting in BACKLOGS {
            measure_events(engines, waiting);
        }
    }
}
