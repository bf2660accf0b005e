//! Streams that break when most engines are lost, at a scheduler that has to refuse new requests,
//! and how their routers ask for them.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod arrivals;
mod asks;
mod engines;
mod views;

use arrivals::{arrival, grant};
use coordination::assignment::shards;
use coordination::dispatcher::{self, Arrival, Dispatcher, Handle, ASK_WINDOW};
use coordination::health::EJECT_FAILURES;
use coordination::messages::{Ask, Class, Hello, Objective, Refusal, Report, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::resume::{give_up_ms, RESUME_AIM_MS};
use coordination::scheduler::{Effect, Scheduler, Session, GATHER_MS};
use engines::{Engine, Progress, TOKENS_PER_MS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Epoch};
use state::view::View;
use std::collections::BTreeMap;
use views::{name, SERVICE};

/// Engines, and how many of them are lost at once: as on a heavy day, three of five.
const ENGINES: u32 = 12;
const LOST: u32 = 7;
/// Load before the loss, in percent of the capacity.
const LOAD_PERCENT: f64 = 90.0;
/// When the engines are lost, and when the run ends, in milliseconds.
const LOSS_MS: u64 = 8000;
const END_MS: u64 = 16_000;
/// Customers, of which the first two send 70 of 100 requests.
const CUSTOMERS: u32 = 8;
/// Longest pause between two events, in milliseconds.
const GAP_MS: u64 = 400;
/// Tokens of an answer.
const ANSWER_TOKENS: u32 = 200;
/// Percentage of the requests, shared and own tokens, and latency target of each kind.
const KINDS: [(u32, u32, u32, u32); 3] = [
    (27, 13_300, 3720, 800),
    (35, 6300, 2890, 1200),
    (38, 350, 1110, 1500),
];

#[derive(Clone, Debug)]
struct Caller {
    customer: u32,
    kind: usize,
    parts: Vec<(u64, u32)>,
    /// When the last event arrived, in milliseconds; `None` before the first one.
    last_event_ms: Option<u64>,
    /// When the stream broke.
    broke_ms: Option<u64>,
    /// When the request arrived.
    asked_ms: u64,
}

/// How broken streams ended, and how many new requests were served on time after the loss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    broken: u64,
    continued: u64,
    refused: u64,
    /// Continued after the caller had given up.
    too_late: u64,
    /// New requests on time after the loss.
    new_on_time: u64,
}

struct Simulation {
    /// Whether broken streams are judged by what their callers wait, not as new requests.
    is_marked: bool,
    /// Whether the lost engines stay away; otherwise they return after their ejection.
    is_lasting: bool,
    /// What is left of a broken stream's latency target when it is asked for.
    resume_aim_ms: u64,
    now_ms: u64,
    rng: Pcg64,
    scheduler: Scheduler,
    session: Session,
    engines: BTreeMap<EndpointId, Engine<Seq>>,
    callers: BTreeMap<Seq, (Caller, Option<EndpointId>)>,
    next_seq: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(is_marked: bool, is_lasting: bool, resume_aim_ms: u64, seed: u64) -> Self {
        let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
        scheduler.slots().set_memory_tokens(Some(500_000));
        let ids: Vec<EndpointId> = (1..=ENGINES).map(EndpointId).collect();
        for id in &ids {
            scheduler.slots().set(*id, 64, 0, false);
        }
        let session = scheduler.open_session(Millis(0), None, &Hello::default());
        Simulation {
            is_marked,
            is_lasting,
            resume_aim_ms,
            now_ms: GATHER_MS,
            rng: Pcg64::seed_from_u64(seed),
            scheduler,
            session,
            engines: ids.into_iter().map(|id| (id, Engine::default())).collect(),
            callers: BTreeMap::new(),
            next_seq: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let own: u32 = KINDS.iter().map(|(weight, _, own, _)| weight * own).sum();
        let own = f64::from(own) / 100.0;
        let per_ms = (TOKENS_PER_MS * u64::from(ENGINES)) as f64 / own * LOAD_PERCENT / 100.0;
        while self.now_ms < END_MS {
            if self.now_ms == LOSS_MS {
                self.lose_engines();
            }
            for customer in 0..CUSTOMERS {
                let share = if customer < 2 { 0.35 } else { 0.05 };
                if self.rng.random_bool(per_ms * share) {
                    self.arrive(customer);
                }
            }
            self.step();
        }
        self.outcome
    }

    fn arrive(&mut self, customer: u32) {
        let mut pick = self.rng.random_range(0..100);
        let kind = KINDS.iter().position(|(weight, ..)| {
            let is_it = pick < *weight;
            pick = pick.saturating_sub(*weight);
            is_it
        });
        let kind = kind.unwrap();
        let prefix = (kind as u64) << 32 | self.rng.random_range(0..20);
        let (_, shared, own, _) = KINDS[kind];
        let own = self.rng.random_range(own * 2 / 7..own * 12 / 7);
        let caller = Caller {
            customer,
            kind,
            parts: vec![(prefix, shared), (1 << 40 | self.next_seq, own)],
            last_event_ms: None,
            broke_ms: None,
            asked_ms: self.now_ms,
        };
        self.ask(caller, None);
    }

    /// Asks for a slot: for a new request, or for a stream that broke at an endpoint.
    fn ask(&mut self, caller: Caller, avoid: Option<EndpointId>) {
        let seq = Seq(self.next_seq);
        self.next_seq += 1;
        let prompt = Prompt::new(caller.parts.iter().copied(), ANSWER_TOKENS / 2);
        let target_ms = KINDS[caller.kind].3;
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
            aim_ms: match caller.broke_ms {
                Some(_) => u32::try_from(self.resume_aim_ms).unwrap(),
                None => target_ms,
            },
            hint: u32::try_from(prompt.tokens()).unwrap() + ANSWER_TOKENS,
            prompt,
            avoid,
            remote: false,
        };
        let report = match caller.broke_ms.filter(|_| self.is_marked) {
            Some(_) => {
                let waits_ms = give_up_ms(Some(GAP_MS), Some(target_ms.into()));
                Report::ResumedAsk(ask, Objective::default(), u32::try_from(waits_ms).unwrap())
            }
            None => Report::Ask(ask),
        };
        self.callers.insert(seq, (caller, None));
        self.report(report);
    }

    fn report(&mut self, report: Report) {
        let now = Millis(self.now_ms);
        let effects = self.scheduler.handle_report(now, self.session, report);
        self.apply(effects);
    }

    fn apply<E>(&mut self, effects: E)
    where
        E: IntoIterator<Item = Effect>,
    {
        for effect in effects {
            match effect {
                Effect::Grant(_, grant) => {
                    let (caller, endpoint) = self.callers.get_mut(&grant.seq).unwrap();
                    *endpoint = Some(grant.endpoint);
                    let engine = self.engines.get_mut(&grant.endpoint).unwrap();
                    let total: u64 = caller.parts.iter().map(|(_, n)| u64::from(*n)).sum();
                    let missing = total - engine.cached_tokens(&caller.parts);
                    engine.send(grant.seq, &caller.parts, missing);
                }
                Effect::Refuse(_, refusal) => {
                    let (caller, _) = self.callers.remove(&refusal.seq).unwrap();
                    self.outcome.refused += u64::from(caller.broke_ms.is_some());
                }
                _ => {}
            }
        }
    }

    /// Engines are lost with what they have in progress. Streams that have begun are resumed.
    fn lose_engines(&mut self) {
        let now = Millis(self.now_ms);
        let mut broken = Vec::new();
        for id in (1..=LOST).map(EndpointId) {
            let engine = self.engines.insert(id, Engine::default()).unwrap();
            for seq in engine.keys() {
                let (caller, _) = self.callers.remove(&seq).unwrap();
                broken.extend(caller.last_event_ms.is_some().then_some((caller, id)));
                self.report(Report::Done(seq, 0, Verdict::Failed));
            }
            if self.is_lasting {
                self.scheduler.slots().set(id, 64, 0, true);
                continue;
            }
            for _ in 0..EJECT_FAILURES {
                self.scheduler.slots().adopt(now, id);
                let slots = self.scheduler.slots();
                slots.release(now, id, Some(Verdict::Failed));
            }
        }
        for (mut caller, id) in broken {
            caller.broke_ms = Some(self.now_ms);
            self.outcome.broken += 1;
            self.ask(caller, Some(id));
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let engines = self.engines.values_mut();
        let progress: Vec<_> = engines.flat_map(|e| e.step(self.now_ms)).collect();
        for progress in progress {
            match progress {
                Progress::FirstEvent(seq) => {
                    let (caller, _) = self.callers.get_mut(&seq).unwrap();
                    caller.last_event_ms = Some(self.now_ms);
                    if let Some(broke_ms) = caller.broke_ms {
                        let target_ms = u64::from(KINDS[caller.kind].3);
                        let waits_ms = give_up_ms(Some(GAP_MS), Some(target_ms));
                        let is_in_time = self.now_ms - broke_ms <= waits_ms;
                        self.outcome.continued += u64::from(is_in_time);
                        self.outcome.too_late += u64::from(!is_in_time);
                    } else {
                        let target_ms = u64::from(KINDS[caller.kind].3);
                        let is_on_time = self.now_ms - caller.asked_ms <= target_ms;
                        let is_counted = u64::from(self.now_ms > LOSS_MS);
                        self.outcome.new_on_time += is_counted * u64::from(is_on_time);
                    }
                    self.report(Report::FirstByte(seq, Some(u32::MAX)));
                }
                Progress::Event(_) => {}
                Progress::Ended(seq) => {
                    let (caller, _) = self.callers.remove(&seq).unwrap();
                    let tokens: u32 = caller.parts.iter().map(|(_, n)| n).sum();
                    self.report(Report::Done(seq, tokens + ANSWER_TOKENS, Verdict::Fine));
                }
            }
        }
        if self.now_ms.is_multiple_of(20) {
            let effects = self.scheduler.tick(Millis(self.now_ms));
            self.apply(effects);
        }
    }
}

impl Outcome {
    fn add(&mut self, other: Outcome) {
        self.broken += other.broken;
        self.continued += other.continued;
        self.refused += other.refused;
        self.too_late += other.too_late;
        self.new_on_time += other.new_on_time;
    }
}

/// Guards against streams that are cut since the scheduler refuses them like new requests while
/// their callers still wait, and against streams that leave engines idle while they wait for one. Of
/// the target of a stream that was refused by another scheduler first, little is left.
#[rstest]
#[case::that_return(false, RESUME_AIM_MS)]
#[case::for_good(true, RESUME_AIM_MS)]
#[case::that_return_after_a_refusal(false, 200)]
#[case::for_good_after_a_refusal(true, 200)]
fn streams_continue_when_most_engines_are_lost(
    #[case] is_lasting: bool,
    #[case] resume_aim_ms: u64,
) {
    let [without, with] = [false, true].map(|is_marked| {
        let mut sum = Outcome::default();
        for seed in 1..=6 {
            sum.add(Simulation::new(is_marked, is_lasting, resume_aim_ms, seed).run());
        }
        sum
    });
    println!("judged as new {without:?}\njudged by their callers {with:?}");
    assert!(with.broken >= 300, "{with:?}");
    assert!(without.continued * 2 < without.broken, "{without:?}");
    assert!(with.continued * 10 >= with.broken * 9, "{with:?}");
    assert!(with.new_on_time * 100 >= without.new_on_time * 85);
}

/// Guards against a refusal before the caller of a stream gives up, and against an ask that waits
/// for good after that.
#[test]
fn a_broken_stream_is_refused_once_its_caller_has_given_up() {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    scheduler.slots().set_memory_tokens(Some(700_000));
    scheduler.slots().set(EndpointId(1), 64, 0, false);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    scheduler.grant(Millis(GATHER_MS));
    let new = |seq: u64| asks::ask(seq, Prompt::new([(seq, 1000)], 50), 400, 1000);
    // The limit of its class keeps the stream from a grant.
    let limited = |seq| {
        let mut ask = new(seq);
        ask.class.rule = 1;
        ask.concurrency = 1;
        ask
    };
    scheduler.ask(Millis(1000), session, limited(1));
    let mut refused = None;
    for now in (1000..6000_u64).step_by(10) {
        if now == 2000 {
            let report = Report::ResumedAsk(limited(2), Objective::default(), 2400);
            scheduler.handle_report(Millis(now), session, report);
        }
        // Twice what the engine prefills, so that new requests are refused.
        let mut effects = scheduler.ask(Millis(now), session, new(now));
        effects.extend(scheduler.tick(Millis(now)));
        let is_it = |e: &Effect| matches!(e, Effect::Refuse(_, refusal) if refusal.seq == Seq(2));
        refused = refused.or(effects.iter().any(is_it).then_some(now));
    }
    assert!(scheduler.summary().refused > 100);
    let refused = refused.unwrap();
    assert!((4400..=4500).contains(&refused), "{refused}");
}

/// A router in data centre `dc-0`, and a view with engines in this many data centres.
fn router(centres: u32, supports_streams: bool) -> (Dispatcher, View) {
    let mut view = views::view(None);
    for n in 0..centres * 12 {
        views::add(&mut view, n, &format!("dc-{}", n % centres), 4);
    }
    let all = shards(&view);
    views::assign(&mut view, all, 1);
    let mut router = arrivals::dispatcher(name("main"), name("dc-0"), 1);
    router.update_view(Millis(0), &view);
    for n in 0..centres {
        let vm = name(&format!("s-{n}"));
        router.set_stream_support(&vm, supports_streams);
        router.link_up(Millis(0), &vm);
    }
    (router, view)
}

/// Asks with the epochs of their schedulers, and how long the caller of a broken stream waits.
fn sent(effects: &[dispatcher::Effect]) -> Vec<(u64, Seq, Option<u32>)> {
    let each = effects.iter().filter_map(|effect| match effect {
        dispatcher::Effect::Report(to, Report::Ask(ask)) => Some((to.epoch.0, ask.seq, None)),
        dispatcher::Effect::Report(to, Report::ResumedAsk(ask, _, waits_ms)) => {
            Some((to.epoch.0, ask.seq, Some(*waits_ms)))
        }
        _ => None,
    });
    each.collect()
}

/// Queues a request and returns its ask, with the epoch of the scheduler that receives it.
fn arrive(router: &mut Dispatcher, view: &View) -> (Handle, u64, Seq) {
    let (handle, mut effects) = router.arrive(Millis(0), view, arrival(SERVICE)).unwrap();
    effects.extend(router.tick(Millis(0), view));
    let (epoch, seq, _) = sent(&effects)[0];
    (handle, epoch, seq)
}

/// Starts a request.
fn start(router: &mut Dispatcher, view: &View) -> Handle {
    let (handle, epoch, seq) = arrive(router, view);
    router.grant(Millis(1), grant(Epoch(epoch), seq, EndpointId(0)));
    handle
}

/// Breaks the stream of a request, whose caller waits until 3400 ms.
fn break_off(router: &mut Dispatcher, handle: Handle) -> Vec<(u64, Seq, Option<u32>)> {
    router.set_aim(handle, Millis(2000));
    router.set_gives_up(handle, Millis(3400));
    sent(&router.requeue(Millis(1000), handle, Verdict::Failed))
}

/// Refuses an ask that would have to wait for too long.
fn refuse(router: &mut Dispatcher, now: u64, epoch: u64, seq: Seq) -> Vec<dispatcher::Effect> {
    let refusal = Refusal {
        epoch: Epoch(epoch),
        seq,
        wait_ms: 900,
        after_ms: 300,
    };
    router.refuse(Millis(now), refusal)
}

fn is_refused(effects: &[dispatcher::Effect], handle: Handle) -> bool {
    let is_it =
        |e: &dispatcher::Effect| matches!(e, dispatcher::Effect::Refuse(h, _) if *h == handle);
    effects.iter().any(is_it)
}

/// Guards against a broken stream that waits behind all new requests of its class at its router.
#[test]
fn a_router_asks_for_a_broken_stream_before_new_requests() {
    let (mut router, view) = router(1, true);
    let handle = start(&mut router, &view);
    let (_, epoch, first) = arrive(&mut router, &view);
    for _ in 0..ASK_WINDOW {
        router.arrive(Millis(0), &view, arrival(SERVICE)).unwrap();
    }
    assert_eq!(break_off(&mut router, handle), []);
    let effects = router.grant(Millis(1100), grant(Epoch(epoch), first, EndpointId(0)));
    let waits: Vec<_> = sent(&effects)
        .into_iter()
        .map(|(.., waits)| waits)
        .collect();
    assert_eq!(waits, [Some(2300)]);
}

/// Guards against a stream that is cut by the refusal of a scheduler of an earlier release, or by
/// one that judged it before its caller was known to wait, and against a request that is asked for
/// without end.
#[rstest]
#[case::with_support(true, Some(2400))]
#[case::without_support(false, None)]
fn a_broken_stream_is_asked_for_once_more(#[case] supports: bool, #[case] waits: Option<u32>) {
    let (mut router, view) = router(1, supports);
    let handle = start(&mut router, &view);
    let [(epoch, seq, asked)] = break_off(&mut router, handle)[..] else {
        unreachable!("one ask");
    };
    assert_eq!(asked, waits);
    let effects = refuse(&mut router, 1010, epoch, seq);
    let [(_, seq, asked)] = sent(&effects)[..] else {
        unreachable!("one ask: {effects:?}");
    };
    assert_eq!(asked, waits.map(|ms| ms - 10));
    assert!(is_refused(&refuse(&mut router, 1020, epoch, seq), handle));
    assert_eq!(router.waiting(), 0);
}

/// Guards against a request that is asked for although its caller has given up.
#[test]
fn a_broken_stream_is_not_asked_for_again_when_its_caller_has_given_up() {
    let (mut router, view) = router(1, true);
    let handle = start(&mut router, &view);
    let (epoch, seq, _) = break_off(&mut router, handle)[0];
    assert!(is_refused(&refuse(&mut router, 3400, epoch, seq), handle));
}

/// Guards against a broken stream that waits at an overloaded shard while another one has room.
#[test]
fn a_broken_stream_waits_at_a_shard_only_after_the_refusal_of_another() {
    let (mut router, view) = router(4, true);
    for n in 0..40 {
        // Prompts with different shared parts go to different shards, and open all sessions.
        let prompt = Prompt::new([(n, 13_000), (1 << 40 | n, 1000)], 50);
        let mut some = Arrival {
            prompt,
            ..arrival(SERVICE)
        };
        some.class.customer = CustomerId(100 + u32::try_from(n).unwrap());
        router.arrive(Millis(0), &view, some).unwrap();
    }
    router.tick(Millis(0), &view);
    let handle = start(&mut router, &view);
    let (first, seq, asked) = break_off(&mut router, handle)[0];
    assert_eq!(asked, None);
    let effects = refuse(&mut router, 1010, first, seq);
    let [(second, seq, asked)] = sent(&effects)[..] else {
        unreachable!("one ask: {effects:?}");
    };
    assert_eq!((first == second, asked), (false, Some(2390)));
    assert!(is_refused(&refuse(&mut router, 3400, second, seq), handle));
}
