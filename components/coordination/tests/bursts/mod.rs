//! Simulation of one scheduler with its engines, in bursts beyond the capacity. Callers retry once,
//! at the time that they are told, through another router.

#[path = "../engines/mod.rs"]
mod engines;

use coordination::health::EJECT_FAILURES;
use coordination::messages::{Ask, Class, Hello, Report, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Scheduler, Session, GATHER_MS};
use engines::{Engine, Progress, TOKENS_PER_MS};
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Epoch};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of engines.
const ENGINES: u32 = 12;
/// Engines that are lost at the start of a lasting overload.
const LOST_ENGINES: u32 = 4;
/// Shared prefixes of each kind.
const PREFIXES: u64 = 20;
/// Time for a refusal to reach its caller and a new attempt to reach the scheduler.
const RETURN_MS: u64 = 8;
/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 200;
/// Customers with large loads.
pub(crate) const LARGE: std::ops::Range<u32> = 0..2;
/// Customers with small loads.
pub(crate) const SMALL: std::ops::Range<u32> = 2..8;

/// A kind of request: frequency, shared and own tokens, and latency target.
pub(crate) struct Kind {
    weight: f64,
    shared: u32,
    own: u32,
    aim_ms: u32,
}

/// Position of the long prompts.
pub(crate) const LONG: usize = 0;
/// Long, middle and short prompts.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        weight: 0.27,
        shared: 13_300,
        own: 3720,
        aim_ms: 800,
    },
    Kind {
        weight: 0.35,
        shared: 6300,
        own: 2890,
        aim_ms: 1200,
    },
    Kind {
        weight: 0.38,
        shared: 350,
        own: 1110,
        aim_ms: 1500,
    },
];

/// A time with constant load, relative to the engines' capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) ms: u64,
    pub(crate) load: f64,
}

/// A caller whose request has not ended.
#[derive(Clone, Debug)]
struct Caller {
    customer: u32,
    kind: usize,
    parts: Vec<(u64, u32)>,
    /// When its first attempt was sent.
    first_ms: u64,
    /// When its present attempt was sent.
    sent_ms: u64,
    is_retry: bool,
}

impl Caller {
    fn aim_ms(&self) -> u64 {
        u64::from(KINDS[self.kind].aim_ms)
    }

    /// Time after which the caller gives up.
    fn patience_ms(&self) -> u64 {
        (self.aim_ms() * 4).max(2000)
    }

    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, n)| u64::from(*n)).sum()
    }
}

/// Outcomes of the requests of a customer and kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    /// First event within the target, from the first attempt on.
    pub(crate) on_time: u64,
    /// First event after that, within the target from the retry on.
    pub(crate) in_time_of_retry: u64,
    /// First event later, before the caller gave up.
    pub(crate) late: u64,
    /// No first event.
    pub(crate) lost: u64,
    pub(crate) retries: u64,
    pub(crate) retries_refused: u64,
}

impl Tally {
    fn add(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.on_time += other.on_time;
        self.in_time_of_retry += other.in_time_of_retry;
        self.late += other.late;
        self.lost += other.lost;
        self.retries += other.retries;
        self.retries_refused += other.retries_refused;
    }

    /// Requests that were served before their callers gave up.
    pub(crate) fn served(&self) -> u64 {
        self.on_time + self.in_time_of_retry + self.late
    }
}

/// One scheduler, its engines and the callers of all customers.
pub(crate) struct Simulation {
    pub(crate) now_ms: u64,
    rng: Pcg64,
    pub(crate) scheduler: Scheduler,
    /// Sessions of the routers of first attempts and of retries.
    sessions: [Session; 2],
    engines: BTreeMap<EndpointId, Engine<(Session, Seq)>>,
    callers: BTreeMap<(Session, Seq), Caller>,
    next_seq: u64,
    /// Callers that return, by time and a unique number.
    returns: BTreeMap<(u64, u64), Caller>,
    pub(crate) tallies: BTreeMap<(u32, usize), Tally>,
    /// Longest time that a caller was told, in percent of its latency target.
    pub(crate) longest_told_percent: u64,
    /// Tokens of the requests that were served, by customer.
    pub(crate) served_tokens: BTreeMap<u32, u64>,
}

impl Simulation {
    pub(crate) fn new(has_appointments: bool, seed: u64) -> Self {
        let start = Millis(0);
        let mut scheduler = Scheduler::new(Epoch(1), start);
        scheduler.slots().set_memory_tokens(Some(500_000));
        if has_appointments {
            scheduler.enable_appointments();
        }
        let ids: Vec<EndpointId> = (1..=ENGINES).map(EndpointId).collect();
        for id in &ids {
            scheduler.slots().set(*id, 64, 0, false);
        }
        let sessions = [0, 1].map(|_| scheduler.open_session(start, None, &Hello::default()));
        Simulation {
            now_ms: GATHER_MS,
            rng: Pcg64::seed_from_u64(seed),
            scheduler,
            sessions,
            engines: ids.into_iter().map(|id| (id, Engine::default())).collect(),
            callers: BTreeMap::new(),
            next_seq: 0,
            returns: BTreeMap::new(),
            tallies: BTreeMap::new(),
            longest_told_percent: 0,
            served_tokens: BTreeMap::new(),
        }
    }

    /// Bursts of twice the capacity for three seconds each, with quiet times between them.
    pub(crate) fn run_bursts(&mut self) {
        for _ in 0..4 {
            self.run(Burst {
                ms: 3000,
                load: 0.5,
            });
            self.run(Burst {
                ms: 3000,
                load: 2.0,
            });
        }
        self.run(Burst {
            ms: 4000,
            load: 0.5,
        });
    }

    /// Bursts of three times the capacity that last a third of a second, with a load below the
    /// capacity on average.
    pub(crate) fn run_short_bursts(&mut self, count: u32) {
        for _ in 0..count {
            self.run(Burst { ms: 900, load: 0.2 });
            self.run(Burst { ms: 300, load: 3.0 });
        }
    }

    /// Twelve seconds of overload, at whose start a third of the engines is lost: `load` is
    /// relative to the capacity that remains.
    pub(crate) fn run_lasting_overload(&mut self, load: f64) {
        let remaining = 1.0 - f64::from(LOST_ENGINES) / f64::from(ENGINES);
        self.run(Burst {
            ms: 3000,
            load: 0.5,
        });
        self.lose_engines(LOST_ENGINES);
        self.run(Burst {
            ms: 12_000,
            load: load * remaining,
        });
        self.run(Burst {
            ms: 4000,
            load: 0.5 * remaining,
        });
    }

    /// Replaces the scheduler by one that knows only what the routers report.
    pub(crate) fn replace_scheduler(&mut self) {
        let now = Millis(self.now_ms);
        let mut scheduler = Scheduler::new(Epoch(2), now);
        scheduler.slots().set_memory_tokens(Some(500_000));
        scheduler.enable_appointments();
        for id in self.engines.keys() {
            scheduler.slots().set(*id, 64, 0, false);
        }
        let old = self.sessions;
        self.sessions = old.map(|_| scheduler.open_session(now, None, &Hello::default()));
        self.scheduler = scheduler;
        // Requests that wait are asked for again; the others end as if nothing had happened.
        let sent: Vec<Seq> = (self.engines.values())
            .flat_map(Engine::keys)
            .map(|(_, seq)| seq)
            .collect();
        for (key, caller) in std::mem::take(&mut self.callers) {
            if sent.contains(&key.1) {
                self.callers.insert(key, caller);
            } else {
                self.send(caller);
            }
        }
    }

    /// Marks engines as leaving, so that they get no more requests.
    pub(crate) fn lose_engines(&mut self, count: u32) {
        for id in (1..=count).map(EndpointId) {
            self.scheduler.slots().set(id, 64, 0, true);
        }
    }

    /// Reports failures of engines until they are ejected. Their requests in progress get no
    /// answer.
    pub(crate) fn eject_engines(&mut self, count: u32) {
        let now = Millis(self.now_ms);
        for id in (1..=count).map(EndpointId) {
            self.engines.insert(id, Engine::default());
            for _ in 0..EJECT_FAILURES {
                self.scheduler.slots().adopt(now, id);
                self.scheduler
                    .slots()
                    .release(now, id, Some(Verdict::Failed));
            }
        }
    }

    /// Requests per millisecond that the engines can prefill if all shared parts are cached.
    fn capacity() -> f64 {
        let own: f64 = KINDS.iter().map(|k| k.weight * f64::from(k.own)).sum();
        (TOKENS_PER_MS * u64::from(ENGINES)) as f64 / own
    }

    /// Runs for a time with constant load, of which the large customers send 70 percent.
    pub(crate) fn run(&mut self, burst: Burst) {
        let rate = burst.load * Simulation::capacity();
        for _ in 0..burst.ms {
            let large = LARGE.map(|c| (c, 0.7 * rate / f64::from(LARGE.end - LARGE.start)));
            let small = SMALL.map(|c| (c, 0.3 * rate / f64::from(SMALL.end - SMALL.start)));
            for (customer, expected) in large.chain(small) {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.arrive(customer);
                }
            }
            self.step();
        }
    }

    /// A new caller of a customer sends its first attempt.
    fn arrive(&mut self, customer: u32) {
        let weights = WeightedIndex::new(KINDS.iter().map(|k| k.weight)).unwrap();
        let kind = weights.sample(&mut self.rng);
        let prefix = (kind as u64) << 32 | self.rng.random_range(0..PREFIXES);
        let own = KINDS[kind].own;
        let own = self.rng.random_range(own * 2 / 7..own * 12 / 7);
        let caller = Caller {
            customer,
            kind,
            parts: vec![(prefix, KINDS[kind].shared), (1 << 40 | self.next_seq, own)],
            first_ms: self.now_ms,
            sent_ms: self.now_ms,
            is_retry: false,
        };
        self.tally(&caller).requests += 1;
        self.send(caller);
    }

    fn tally(&mut self, caller: &Caller) -> &mut Tally {
        let key = (caller.customer, caller.kind);
        self.tallies.entry(key).or_default()
    }

    /// Sends an attempt to the scheduler.
    fn send(&mut self, caller: Caller) {
        let session = self.sessions[usize::from(caller.is_retry)];
        let seq = Seq(self.next_seq);
        self.next_seq += 1;
        let prompt = Prompt::new(caller.parts.iter().copied(), ANSWER_TOKENS / 2);
        let ask = Ask {
            seq,
            class: Class {
                customer: CustomerId(caller.customer),
                rule: u16::try_from(caller.kind).unwrap(),
            },
            weight: 1,
            rate: 0,
            concurrency: 0,
            priority: 0,
            aim_ms: KINDS[caller.kind].aim_ms,
            hint: u32::try_from(prompt.tokens()).unwrap() + ANSWER_TOKENS,
            prompt,
            avoid: None,
            remote: false,
        };
        self.callers.insert((session, seq), caller);
        let effects = self.scheduler.ask(Millis(self.now_ms), session, ask);
        self.apply(effects);
    }

    /// Carries out the effects of the scheduler.
    fn apply<E>(&mut self, effects: E)
    where
        E: IntoIterator<Item = Effect>,
    {
        for effect in effects {
            match effect {
                Effect::Grant(session, grant) => {
                    let key = (session, grant.seq);
                    let parts = &self.callers[&key].parts;
                    let engine = self.engines.get_mut(&grant.endpoint).unwrap();
                    let total: u64 = parts.iter().map(|(_, n)| u64::from(*n)).sum();
                    let missing = total - engine.cached_tokens(parts);
                    engine.send(key, parts, missing);
                }
                Effect::Refuse(session, refusal) => {
                    let caller = self.callers.remove(&(session, refusal.seq)).unwrap();
                    self.refused(caller, u64::from(refusal.after_ms));
                }
                _ => {}
            }
        }
    }

    /// A caller is refused: it returns once, at the time told, of which it honours a third of the
    /// time that it has left.
    fn refused(&mut self, mut caller: Caller, after_ms: u64) {
        let told_percent = after_ms * 100 / caller.aim_ms();
        self.longest_told_percent = self.longest_told_percent.max(told_percent);
        let left_ms = (caller.first_ms + caller.patience_ms()).saturating_sub(self.now_ms);
        if caller.is_retry {
            let tally = self.tally(&caller);
            tally.lost += 1;
            tally.retries_refused += 1;
            return;
        }
        let tally = self.tally(&caller);
        tally.retries += 1;
        caller.is_retry = true;
        let at_ms = self.now_ms + after_ms.min(left_ms / 3) + RETURN_MS;
        caller.sent_ms = at_ms;
        self.next_seq += 1;
        self.returns.insert((at_ms, self.next_seq), caller);
    }

    /// Advances by one millisecond.
    fn step(&mut self) {
        self.now_ms += 1;
        let now = Millis(self.now_ms);
        let later = self.returns.split_off(&(self.now_ms + 1, 0));
        for caller in std::mem::replace(&mut self.returns, later).into_values() {
            self.send(caller);
        }
        let engines = self.engines.values_mut();
        let progress: Vec<_> = engines.flat_map(|e| e.step(self.now_ms)).collect();
        for progress in progress {
            let ((session, _), report) = match progress {
                Progress::FirstEvent(key) => {
                    let caller = self.callers[&key].clone();
                    let now_ms = self.now_ms;
                    let tokens = caller.tokens();
                    *self.served_tokens.entry(caller.customer).or_default() += tokens;
                    let tally = self.tally(&caller);
                    let (all_ms, took_ms) = (now_ms - caller.first_ms, now_ms - caller.sent_ms);
                    if all_ms <= caller.aim_ms() {
                        tally.on_time += 1;
                    } else if took_ms <= caller.aim_ms() {
                        tally.in_time_of_retry += 1;
                    } else if all_ms <= caller.patience_ms() {
                        tally.late += 1;
                    } else {
                        tally.lost += 1;
                    }
                    (key, Report::FirstByte(key.1, Some(u32::MAX)))
                }
                Progress::Event(_) => continue,
                Progress::Ended(key) => {
                    let caller = self.callers.remove(&key).unwrap();
                    let cost = u32::try_from(caller.tokens()).unwrap() + ANSWER_TOKENS;
                    (key, Report::Done(key.1, cost, Verdict::Fine))
                }
            };
            let effects = self.scheduler.handle_report(now, session, report);
            self.apply(effects);
        }
        if self.now_ms.is_multiple_of(20) {
            let effects = self.scheduler.tick(now);
            self.apply(effects);
        }
    }

    /// Outcomes of the customers and kinds for which `is_counted` is true.
    pub(crate) fn sum<F>(&self, is_counted: F) -> Tally
    where
        F: Fn(u32, usize) -> bool,
    {
        let mut sum = Tally::default();
        for ((customer, kind), tally) in &self.tallies {
            if is_counted(*customer, *kind) {
                sum.add(tally);
            }
        }
        sum
    }

    /// Outcomes by kind, and of the large and small customers.
    pub(crate) fn report(&self) -> String {
        let mut text = String::new();
        let mut line = |what: &str, t: Tally| {
            let part = |n: u64| n * 1000 / t.requests.max(1);
            let (on_time, retry) = (part(t.on_time), part(t.in_time_of_retry));
            let (late, lost) = (part(t.late), part(t.lost));
            let Tally {
                requests,
                retries,
                retries_refused,
                ..
            } = t;
            let _ = write!(text, "\n  {what:6} {requests:5} requests; of 1000: ");
            let _ = write!(
                text,
                "{on_time:3} on time, {retry:3} in time of the retry, "
            );
            let _ = write!(text, "{late:3} late, {lost:3} lost; ");
            let _ = write!(text, "{retries} retries, {retries_refused} refused");
        };
        line("all", self.sum(|_, _| true));
        for (kind, what) in ["long", "middle", "short"].into_iter().enumerate() {
            line(what, self.sum(|_, k| k == kind));
        }
        line("large", self.sum(|c, _| LARGE.contains(&c)));
        line("small", self.sum(|c, _| SMALL.contains(&c)));
        let _ = write!(text, "\n  {:?}", self.scheduler.appointment_counts());
        text
    }
}
