//! A simulation of streams from engines that work in steps, with one scheduler and several routers
//! that measure pauses. The load is that of deployment M of docs/HARD-LOAD.md.

use crate::asks;
use crate::engines::{Engine, Progress, EVENT_STEPS, TOKENS_PER_MS};
use coordination::messages::{Hello, Objective, Pause, Report, Seq, Speed, Verdict};
use coordination::pause::Meter;
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Scheduler, Session, GATHER_MS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Epoch};
use std::collections::{BTreeMap, VecDeque};

/// Prompt tokens that an engine keeps in its cache.
const MEMORY_TOKENS: u64 = 500_000;
/// Cached tokens that an engine copies from another one in a second and in a millisecond.
const COPY_TOKENS_PER_S: u64 = 2_600_000;
const COPY_TOKENS_PER_MS: u64 = COPY_TOKENS_PER_S / 1000;
/// Longest pause of streams that are on time.
const MAX_GAP_MS: u32 = 300;
/// Routers that measure the pauses of streams.
const ROUTERS: usize = 15;
/// Duration of a slow phase, and the mean time between two of them on an engine.
const PHASE_MS: u64 = 500;
const PHASE_EVERY_MS: u32 = 5_000;
/// Time after the last arrival within which streams end.
const DRAIN_MS: u64 = 4_000;

/// A kind of streams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    /// Requests in a second.
    rate: f64,
    /// Tokens of the shared and of the own part of the prompt.
    tokens: (u32, u32),
    /// Events of the stream.
    events: u32,
    /// Target for the first event.
    aim_ms: u64,
}

/// The kinds of streams of deployment M, a quarter of their rates.
const KINDS: [Kind; 3] = [
    Kind {
        rate: 107.0,
        tokens: (13_300, 3_720),
        events: 24,
        aim_ms: 800,
    },
    Kind {
        rate: 86.0,
        tokens: (6_300, 2_890),
        events: 10,
        aim_ms: 800,
    },
    Kind {
        rate: 104.0,
        tokens: (350, 1_110),
        events: 34,
        aim_ms: 500,
    },
];

/// What the scheduler is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// Nothing of bounds and pauses.
    Nothing,
    /// Bounds, and the pauses that routers measure.
    Pauses,
    /// Bounds, and the speeds that engines state.
    Speeds,
    /// All of it.
    Both,
    /// All of it, and the speed of each engine at once, which is not possible: what the decision
    /// loses by late knowledge.
    AtOnce,
}

impl Told {
    fn has_pauses(self) -> bool {
        matches!(self, Told::Pauses | Told::Both | Told::AtOnce)
    }

    fn has_speeds(self) -> bool {
        matches!(self, Told::Speeds | Told::Both | Told::AtOnce)
    }
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) told: Told,
    /// Time that each third engine takes for its work relative to the others, in percent.
    pub(crate) slower_percent: u64,
    /// Shared parts of each kind of streams.
    pub(crate) shared: u64,
    /// Time for a report to reach the scheduler, in milliseconds.
    pub(crate) delay_ms: u64,
}

/// Outcomes of streams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) asked: u64,
    pub(crate) ended: u64,
    /// Streams whose first event is late.
    pub(crate) late: u64,
    /// Streams that are late by a pause alone.
    pub(crate) paused: u64,
    /// Those on the slower third of the engines, and all streams there.
    pub(crate) paused_on_slower: u64,
    pub(crate) ended_on_slower: u64,
    /// Requests for which an engine copied a part from another one.
    pub(crate) copies: u64,
    /// Tokens that engines have prefilled, in millions.
    pub(crate) prefilled: u64,
}

/// The stream that answers a request.
#[derive(Clone, Debug)]
struct Stream {
    kind: Kind,
    /// Key and length in tokens of each part of the prompt.
    parts: Vec<(u64, u32)>,
    /// Time of arrival.
    arrived_ms: u64,
    /// Measures the pauses for the scheduler, if it is told of them.
    meter: Option<Meter>,
    /// Engine that generates the stream, and its latest event.
    engine: EndpointId,
    last_ms: u64,
    longest_ms: u64,
    is_first_late: bool,
}

/// One scheduler with its engines, and routers that send requests.
pub(crate) struct Simulation {
    setup: Setup,
    now_ms: u64,
    rng: Pcg64,
    /// Source of the noise of stated speeds, so that all setups get the same load from a seed.
    noise: Pcg64,
    scheduler: Scheduler,
    session: Session,
    engines: BTreeMap<EndpointId, Engine<Seq>>,
    streams: BTreeMap<Seq, Stream>,
    /// Sequence number of the next request.
    next_seq: u64,
    outcomes: Outcomes,
    /// Pauses since the last report, by router and engine.
    pauses: [BTreeMap<EndpointId, Pause>; ROUTERS],
    /// Routers with a pause that is reported in the next 20 ms.
    is_urgent: [bool; ROUTERS],
    /// Reports that are under way, with the times of their arrival.
    reports: VecDeque<(u64, Report)>,
}

impl Simulation {
    /// A simulation with idle engines and empty caches.
    fn new(setup: Setup, engines: u32, seed: u64) -> Self {
        let start = Millis(0);
        let mut scheduler = Scheduler::new(Epoch(1), start);
        let slots = scheduler.slots();
        slots.set_memory_tokens(Some(MEMORY_TOKENS));
        slots.set_event_tokens(EVENT_STEPS);
        slots.set_copy_tokens_per_s(Some(COPY_TOKENS_PER_S));
        let ids: Vec<EndpointId> = (1..=engines).map(EndpointId).collect();
        for id in &ids {
            slots.set(*id, 32, 0, false);
        }
        let session = scheduler.open_session(start, None, &Hello::default());
        let engine = |id: EndpointId| match is_slower(id) {
            true => Engine::with_steps(setup.slower_percent),
            false => Engine::with_steps(100),
        };
        Simulation {
            setup,
            now_ms: GATHER_MS,
            rng: Pcg64::seed_from_u64(seed),
            noise: Pcg64::seed_from_u64(seed),
            scheduler,
            session,
            engines: ids.into_iter().map(|id| (id, engine(id))).collect(),
            streams: BTreeMap::new(),
            next_seq: 0,
            outcomes: Outcomes::default(),
            pauses: Default::default(),
            is_urgent: Default::default(),
            reports: VecDeque::new(),
        }
    }

    /// Sends a report, which arrives after the delay.
    fn report(&mut self, report: Report) {
        let arrives_ms = self.now_ms + self.setup.delay_ms;
        self.reports.push_back((arrives_ms, report));
    }

    /// Lets the scheduler handle the reports that have arrived.
    fn deliver(&mut self) {
        while self
            .reports
            .front()
            .is_some_and(|(at, _)| *at <= self.now_ms)
        {
            let Some((_, report)) = self.reports.pop_front() else {
                return;
            };
            let now = Millis(self.now_ms);
            let effects = self.scheduler.handle_report(now, self.session, report);
            self.apply(effects);
        }
    }

    /// Sends a request for a stream of a kind, with one of the shared parts of that kind.
    fn arrive(&mut self, kind: Kind) {
        let customer = CustomerId(self.rng.random_range(1..=30));
        let own = self
            .rng
            .random_range(kind.tokens.1 / 2..kind.tokens.1 * 3 / 2);
        let shared = self.rng.random_range(0..self.setup.shared);
        let key = u64::from(kind.tokens.0) << 16 | shared;
        let parts = vec![(key, kind.tokens.0), (1 << 40 | self.next_seq, own)];
        let seq = Seq(self.next_seq);
        self.next_seq += 1;
        let prompt = Prompt::new(parts.iter().copied(), kind.events * EVENT_STEPS);
        let objective = Objective {
            max_gap_ms: MAX_GAP_MS,
            is_resumable: false,
        };
        let stream = Stream {
            kind,
            parts,
            arrived_ms: self.now_ms,
            meter: Meter::new(Some(objective)).filter(|_| self.setup.told.has_pauses()),
            engine: EndpointId(0),
            last_ms: 0,
            longest_ms: 0,
            is_first_late: false,
        };
        self.streams.insert(seq, stream);
        self.outcomes.asked += 1;
        let mut ask = asks::ask(seq.0, prompt, u32::try_from(kind.aim_ms).unwrap(), 0);
        ask.class.customer = customer;
        ask.hint = u32::try_from(prompt.tokens()).unwrap() + kind.events * EVENT_STEPS * 2;
        self.report(match self.setup.told {
            Told::Nothing => Report::Ask(ask),
            _ => Report::StreamAsk(ask, objective),
        });
    }

    /// Records an event of a stream.
    fn record_event(&mut self, seq: Seq, is_first: bool) {
        let now_ms = self.now_ms;
        let Some(stream) = self.streams.get_mut(&seq) else {
            return;
        };
        if is_first {
            stream.is_first_late = now_ms - stream.arrived_ms > stream.kind.aim_ms;
        } else {
            stream.longest_ms = stream.longest_ms.max(now_ms - stream.last_ms);
        }
        stream.last_ms = now_ms;
        let endpoint = stream.engine;
        let observed = stream.meter.as_mut().and_then(|m| m.record(now_ms, true));
        if let Some(observed) = observed {
            let router = usize::try_from(seq.0).unwrap() % ROUTERS;
            let pause = self.pauses[router].entry(endpoint).or_insert(Pause {
                endpoint,
                count: 0,
                total_ms: 0,
                longest_ms: 0,
            });
            pause.count += observed.count;
            pause.total_ms += observed.total_ms;
            pause.longest_ms = pause.longest_ms.max(observed.longest_ms);
            self.is_urgent[router] |= observed.longest_ms >= MAX_GAP_MS / 2;
        }
        if is_first && self.setup.told.has_speeds() {
            // The figure is noisy by a few percent.
            let percent = self.engines[&endpoint].speed_percent(now_ms);
            let noisy = percent * self.noise.random_range(96..=104) / 100;
            self.report(Report::Speed(Speed {
                endpoint,
                percent: u16::try_from(noisy).unwrap(),
                age_ms: 0,
            }));
        }
    }

    /// Records the end of a stream.
    fn record_end(&mut self, seq: Seq) {
        let Some(stream) = self.streams.remove(&seq) else {
            return;
        };
        let is_paused = !stream.is_first_late && stream.longest_ms > u64::from(MAX_GAP_MS);
        let is_slower = is_slower(stream.engine);
        let outcomes = &mut self.outcomes;
        outcomes.ended += 1;
        outcomes.late += u64::from(stream.is_first_late);
        outcomes.paused += u64::from(is_paused);
        outcomes.ended_on_slower += u64::from(is_slower);
        outcomes.paused_on_slower += u64::from(is_paused && is_slower);
    }

    /// Carries out the effects of the scheduler.
    fn apply<E>(&mut self, effects: E)
    where
        E: IntoIterator<Item = Effect>,
    {
        for effect in effects {
            match effect {
                Effect::Grant(_, grant) => {
                    let Some(stream) = self.streams.get_mut(&grant.seq) else {
                        continue;
                    };
                    let cached = |id| {
                        let engine: &Engine<Seq> = &self.engines[&id];
                        engine.cached_tokens(&stream.parts)
                    };
                    let own = cached(grant.endpoint);
                    let copied = grant.copy_from.map_or(0, cached).saturating_sub(own);
                    let total: u64 = stream.parts.iter().map(|(_, n)| u64::from(*n)).sum();
                    // The time to copy counts as tokens that take as long to prefill.
                    let missing =
                        total - own - copied + copied * TOKENS_PER_MS / COPY_TOKENS_PER_MS;
                    self.outcomes.copies += u64::from(copied > 0);
                    stream.engine = grant.endpoint;
                    if let Some(engine) = self.engines.get_mut(&grant.endpoint) {
                        engine.send_stream(grant.seq, &stream.parts, missing, stream.kind.events);
                    }
                }
                Effect::Refuse(_, refusal) => {
                    self.streams.remove(&refusal.seq);
                }
                Effect::Ejected(_) | Effect::Restored(_) | Effect::RequestInventory(_) => {}
            }
        }
    }

    /// Advances the simulation by one millisecond.
    fn step(&mut self) {
        self.now_ms += 1;
        let all = self.engines.values_mut();
        let progress: Vec<_> = all.flat_map(|engine| engine.step(self.now_ms)).collect();
        for progress in progress {
            match progress {
                Progress::FirstEvent(seq) => {
                    self.record_event(seq, true);
                    // The estimate of an engine's speed caps the time at the arrival of the report.
                    self.report(Report::FirstByte(seq, Some(u32::MAX)));
                }
                Progress::Event(seq) => self.record_event(seq, false),
                Progress::Ended(seq) => {
                    self.record_end(seq);
                    self.report(Report::Done(seq, 5000, Verdict::Fine));
                }
            }
        }
        for router in 0..ROUTERS {
            // Each router reports ten times a second, at times of its own, and after a long pause.
            let interval_ms = match self.is_urgent[router] {
                true => 20,
                false => 100,
            };
            let is_due = (self.now_ms + router as u64 * 13).is_multiple_of(interval_ms);
            if is_due && !self.pauses[router].is_empty() {
                self.is_urgent[router] = false;
                let pauses = std::mem::take(&mut self.pauses[router]);
                self.report(Report::Pauses(pauses.into_values().collect()));
            }
        }
        if self.setup.told == Told::AtOnce {
            self.state_all_speeds();
        }
        self.deliver();
        if self.now_ms.is_multiple_of(20) {
            let effects = self.scheduler.tick(Millis(self.now_ms));
            self.apply(effects);
        }
    }

    /// Tells the scheduler the present speed of all engines.
    fn state_all_speeds(&mut self) {
        let now_ms = self.now_ms;
        let speeds = self.engines.iter().map(|(endpoint, engine)| Speed {
            endpoint: *endpoint,
            percent: u16::try_from(engine.speed_percent(now_ms)).unwrap(),
            age_ms: 0,
        });
        for speed in speeds {
            let report = Report::Speed(speed);
            (self.scheduler).handle_report(Millis(now_ms), self.session, report);
        }
    }

    /// Runs for `duration_ms` while streams are asked for, and until they have ended.
    fn run(&mut self, duration_ms: u64) {
        for n in 0..duration_ms + DRAIN_MS {
            for kind in KINDS {
                if n < duration_ms && self.rng.random_bool(kind.rate / 1000.0) {
                    self.arrive(kind);
                }
            }
            let until_ms = self.now_ms + PHASE_MS;
            for engine in self.engines.values_mut() {
                if self.rng.random_ratio(1, PHASE_EVERY_MS) {
                    engine.slow_down(until_ms);
                }
            }
            self.step();
        }
    }
}

/// Whether an engine is one of the slower third.
fn is_slower(id: EndpointId) -> bool {
    id.0.is_multiple_of(3)
}

/// Sum of the outcomes of a setup with these seeds: 35 engines serve streams for 20 s each.
pub(crate) fn outcomes(setup: Setup, seeds: std::ops::Range<u64>) -> Outcomes {
    let mut sum = Outcomes::default();
    for seed in seeds {
        let mut simulation = Simulation::new(setup, 35, seed);
        simulation.run(20_000);
        let one = simulation.outcomes;
        let tokens = simulation.engines.values().map(|e| e.prefilled_tokens);
        sum.asked += one.asked;
        sum.ended += one.ended;
        sum.late += one.late;
        sum.paused += one.paused;
        sum.paused_on_slower += one.paused_on_slower;
        sum.ended_on_slower += one.ended_on_slower;
        sum.copies += one.copies;
        sum.prefilled += tokens.sum::<u64>() / 1_000_000;
    }
    sum
}
