//! Pauses between events: their measurement, the model of an engine's steps, and the failures
//! that the model must survive.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod arrivals;
mod asks;
mod engines;
mod streams;
mod views;

use arrivals::{arrival, grant};
use asks::ask;
use coordination::dispatcher::{Dispatcher, Effect, LOCAL_AFTER_MS};
use coordination::messages::{Held, Hello, Objective, Pause, Report, Seq, Speed, Verdict};
use coordination::pause::{Meter, Observed};
use coordination::prompt::{Part, Prompt};
use coordination::scheduler::{self, Scheduler, Session, GATHER_MS};
use state::clock::Millis;
use state::id::{EndpointId, Epoch};
use state::view::View;
use streams::{Outcomes, Setup, Told};
use views::{add, assign, name, view, SERVICE};

const OBJECTIVE: Objective = Objective {
    max_gap_ms: 300,
    is_resumable: false,
};

/// A scheduler of engines 1 and 2 with a shared part of 13,000 tokens cached on engine 1.
fn scheduler() -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    let slots = scheduler.slots();
    slots.set_memory_tokens(Some(500_000));
    slots.set_event_tokens(5);
    for id in 1..=2 {
        slots.set(EndpointId(id), 32, 0, false);
    }
    let part: Part = Prompt::new([(7, 2_000)], 0).parts().next().unwrap();
    slots.record_cached(Millis(0), EndpointId(1), part);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    (scheduler, session)
}

/// Engine to which a request with the shared part is sent.
fn send(scheduler: &mut Scheduler, session: Session, at: u64, seq: u64) -> EndpointId {
    let prompt = Prompt::new([(7, 2_000), (1000 + seq, 3_000)], 200);
    let report = Report::StreamAsk(ask(seq, prompt, 800, 100), OBJECTIVE);
    let effects = scheduler.handle_report(Millis(at), session, report);
    let granted = effects.into_iter().find_map(|e| match e {
        scheduler::Effect::Grant(_, grant) => Some(grant.endpoint),
        _ => None,
    });
    granted.unwrap()
}

/// Reports pauses of engine 1.
fn report(scheduler: &mut Scheduler, session: Session, at: u64, pause_ms: u32) {
    let pause = Pause {
        endpoint: EndpointId(1),
        count: 8,
        total_ms: 8 * pause_ms,
        longest_ms: pause_ms,
    };
    let report = Report::Pauses([pause].into_iter().collect());
    scheduler.handle_report(Millis(at), session, report);
}

/// Failure: an engine that a neighbour slows down gets more prefill, and its streams pause for
/// longer than their bound.
#[test]
fn avoids_an_engine_for_as_long_as_its_pauses_say_that_it_is_slow() {
    let now = GATHER_MS + 1000;
    let (mut scheduler, session) = scheduler();
    assert_eq!(send(&mut scheduler, session, now, 1), EndpointId(1));
    let (mut slow, session) = self::scheduler();
    report(&mut slow, session, now - 50, 280);
    assert_eq!(slow.slow_engines(Millis(now)), 1);
    assert_eq!(send(&mut slow, session, now, 1), EndpointId(2));
    // Usual pauses end the phase at once, and so does time without any.
    let (mut over, session) = self::scheduler();
    report(&mut over, session, now - 100, 280);
    report(&mut over, session, now - 50, 30);
    assert_eq!(send(&mut over, session, now, 1), EndpointId(1));
    let (mut silent, session) = self::scheduler();
    report(&mut silent, session, now - 600, 280);
    assert_eq!(send(&mut silent, session, now, 1), EndpointId(1));
}

/// Reports the speed that engine 1 has stated.
fn state_speed(scheduler: &mut Scheduler, session: Session, at: u64, percent: u16, age_ms: u16) {
    let speed = Speed {
        endpoint: EndpointId(1),
        percent,
        age_ms,
    };
    scheduler.handle_report(Millis(at), session, Report::Speed(speed));
}

/// Failure: an engine that states that it is slow is believed only once its streams have paused, or
/// pauses from before its statement outweigh it.
#[test]
fn believes_an_engine_that_states_its_speed() {
    let now = GATHER_MS + 1000;
    let (mut slow, session) = scheduler();
    state_speed(&mut slow, session, now - 600, 102, 0);
    state_speed(&mut slow, session, now - 20, 240, 0);
    assert_eq!(send(&mut slow, session, now, 1), EndpointId(2));
    // Measured pauses lag behind.
    let (mut over, session) = scheduler();
    state_speed(&mut over, session, now - 600, 102, 0);
    report(&mut over, session, now - 100, 280);
    state_speed(&mut over, session, now - 50, 99, 0);
    report(&mut over, session, now - 10, 280);
    assert_eq!(send(&mut over, session, now, 1), EndpointId(1));
    // An old statement is passed on late.
    let (mut late, session) = scheduler();
    state_speed(&mut late, session, now - 600, 102, 0);
    state_speed(&mut late, session, now - 20, 99, 0);
    state_speed(&mut late, session, now - 10, 240, 300);
    assert_eq!(send(&mut late, session, now, 1), EndpointId(1));
    // A machine that is always slower than others is not in a slow phase.
    let (mut always, session) = scheduler();
    for n in 0..10 {
        state_speed(&mut always, session, now - 500 + n * 50, 160, 0);
    }
    assert_eq!(always.slow_engines(Millis(now)), 0);
    state_speed(&mut always, session, now, 400, 0);
    assert_eq!(always.slow_engines(Millis(now)), 1);
}

/// Failure: each grant to a slow engine counts all streams that pause for too long there anyway.
#[test]
fn counts_a_stream_that_is_expected_to_pause_for_too_long_once() {
    let now = GATHER_MS + 1000;
    let (mut scheduler, session) = scheduler();
    scheduler.slots().retain(|id| id == EndpointId(1));
    report(&mut scheduler, session, now - 50, 900);
    for n in 1..=4 {
        let prompt = Prompt::new([(1000 + n, 1000)], 200);
        let report = Report::StreamAsk(ask(n, prompt, 800, 100), OBJECTIVE);
        scheduler.handle_report(Millis(now), session, report);
    }
    let breaks = (scheduler.slots()).expected_breaks(Millis(now), EndpointId(1), 0);
    assert_eq!((scheduler.running(), breaks), (4, 4));
    let expected = scheduler.summary().expected_breaks;
    assert!(expected <= 4, "{expected}");
}

/// Failure: when all engines are slow, requests wait or are refused for the sake of pauses.
#[test]
fn grants_as_before_when_no_engine_keeps_the_pauses() {
    let now = GATHER_MS + 1000;
    let (mut scheduler, session) = scheduler();
    scheduler.slots().retain(|id| id == EndpointId(1));
    report(&mut scheduler, session, now - 50, 900);
    assert_eq!(send(&mut scheduler, session, now, 1), EndpointId(1));
}

/// Failure: the scheduler is lost. The next one starts with defaults and learns.
#[test]
fn a_new_scheduler_starts_with_defaults_and_learns() {
    let now = GATHER_MS + 1000;
    let (mut lost, session) = scheduler();
    report(&mut lost, session, now - 50, 280);
    let (mut next, session) = scheduler();
    assert_eq!(next.slow_engines(Millis(now)), 0);
    report(&mut next, session, now, 280);
    assert_eq!(next.slow_engines(Millis(now)), 1);
}

/// Failure: an engine restarts, and is avoided for the figures of its earlier run.
#[test]
fn an_engine_that_restarts_loses_its_figures() {
    let now = GATHER_MS + 1000;
    let (mut scheduler, session) = scheduler();
    scheduler.slots().record_start(EndpointId(1), Some(1));
    report(&mut scheduler, session, now, 280);
    scheduler.slots().record_start(EndpointId(1), Some(2));
    assert_eq!(scheduler.slow_engines(Millis(now)), 0);
}

/// Failure: an engine with long pauses is ejected as if it had failed.
#[test]
fn pauses_do_not_count_against_health() {
    let now = GATHER_MS + 1000;
    let (mut scheduler, session) = scheduler();
    scheduler.slots().retain(|id| id == EndpointId(1));
    for n in 0..50 {
        let at = now + n * 100;
        report(&mut scheduler, session, at, 5_000);
        assert_eq!(send(&mut scheduler, session, at, n), EndpointId(1));
        scheduler.record_first_byte(Millis(at), session, Seq(n), Some(50));
        let effects = scheduler.done(Millis(at), session, Seq(n), 10, Verdict::Fine);
        assert!(effects.is_empty(), "{effects:?}");
        assert_eq!(
            scheduler
                .slots()
                .failure_permille(Millis(at), EndpointId(1)),
            0
        );
    }
}

/// Failure: pauses that the router or the caller causes make an engine look slow.
#[test]
fn pauses_of_the_router_and_of_callers_are_not_measured() {
    let mut meter = Meter::new(Some(OBJECTIVE)).unwrap();
    assert_eq!(meter.record(0, true), None);
    assert_eq!(meter.record(900, false), None);
    let observed = Observed {
        count: 1,
        total_ms: 400,
        longest_ms: 400,
        over_bound: 1,
    };
    assert_eq!(meter.record(1300, true), Some(observed));
    assert!(Meter::new(Some(Objective::default())).is_none());
    assert!(Meter::new(None).is_none());
}

/// A router with a scheduler on VM `s-0`, to which the link has come up.
fn router(supports_objectives: bool) -> (Dispatcher, View) {
    let mut view = view(None);
    add(&mut view, 1, "dc", 8);
    let shards = coordination::assignment::shards(&view);
    assign(&mut view, shards, 1);
    let mut router = arrivals::dispatcher(name("main"), name("dc"), 1);
    router.set_stream_support(&name("s-0"), supports_objectives);
    router.link_up(Millis(0), &name("s-0"));
    router.update_view(Millis(0), &view);
    (router, view)
}

/// Sends a request through a router and records a pause of its stream; returns all reports.
fn stream(router: &mut Dispatcher, view: &View) -> Vec<Report> {
    let now = Millis(10);
    let arrived = router.arrive_for_stream(now, view, arrival(SERVICE), Some(OBJECTIVE));
    let (handle, mut effects) = arrived.unwrap();
    effects.extend(router.tick(now, view));
    effects.extend(router.grant(now, grant(Epoch(1), Seq(0), EndpointId(1))));
    effects.extend(router.report_speed(now, handle, 240, 5));
    for at in [100, 110] {
        router.record_pauses(handle, OBSERVED);
        effects.extend(router.tick(Millis(at), view));
    }
    reports(&effects)
}

const OBSERVED: Observed = Observed {
    count: 2,
    total_ms: 90,
    longest_ms: 50,
    over_bound: 0,
};

/// Reports among effects, without hellos.
fn reports(effects: &[Effect]) -> Vec<Report> {
    let reports = effects.iter().filter_map(|e| match e {
        Effect::Report(_, Report::Hello(_)) => None,
        Effect::Report(_, report) => Some(report.clone()),
        _ => None,
    });
    reports.collect()
}

/// Failure: a router floods its scheduler with pauses.
#[test]
fn reports_pauses_of_an_endpoint_together_and_ten_times_a_second() {
    let (mut router, view) = router(true);
    let all = stream(&mut router, &view);
    let pause = Pause {
        endpoint: EndpointId(1),
        count: 2,
        total_ms: 90,
        longest_ms: 50,
    };
    let [Report::StreamAsk(_, OBJECTIVE), Report::Speed(speed), Report::Pauses(first)] =
        all.as_slice()
    else {
        unreachable!("an ask, a stated speed and one report of pauses: {all:?}");
    };
    assert_eq!(first.as_slice(), [pause]);
    assert_eq!((speed.endpoint, speed.percent), (EndpointId(1), 240));
    let next = reports(&router.tick(Millis(200), &view));
    assert!(matches!(next.as_slice(), [Report::Pauses(_)]), "{next:?}");
}

/// Failure: a slow phase, half of which is over after a report's interval, becomes known late.
#[test]
fn reports_a_pause_that_is_a_large_part_of_the_bound_soon() {
    let (mut router, view) = router(true);
    let now = Millis(10);
    let arrived = router.arrive_for_stream(now, &view, arrival(SERVICE), Some(OBJECTIVE));
    let (handle, _) = arrived.unwrap();
    router.tick(now, &view);
    router.grant(now, grant(Epoch(1), Seq(0), EndpointId(1)));
    let mut report = |at, longest_ms| {
        let observed = Observed {
            longest_ms,
            ..OBSERVED
        };
        router.record_pauses(handle, observed);
        reports(&router.tick(Millis(at), &view)).len()
    };
    assert_eq!(report(200, 50), 1);
    assert_eq!(report(230, 140), 0);
    assert_eq!(report(240, 150), 1);
    // A pause that is long for some time must not cause a report at each tick.
    assert_eq!(report(250, 150), 0);
    assert_eq!(report(260, 150), 1);
}

/// Failure: a scheduler of an earlier release gets a message that it cannot decode, and closes the
/// link.
#[test]
fn sends_plain_asks_to_a_scheduler_without_support() {
    let (mut router, view) = router(false);
    let all = stream(&mut router, &view);
    assert!(matches!(all.as_slice(), [Report::Ask(_)]), "{all:?}");
}

/// Failure: the link to the scheduler is lost. Its pauses are not sent again, and the scheduler
/// that comes back may be of an earlier release.
#[test]
fn pauses_that_are_lost_with_a_link_are_not_sent_again() {
    let (mut router, view) = router(true);
    stream(&mut router, &view);
    router.link_down(Millis(120), &name("s-0"));
    assert_eq!(reports(&router.tick(Millis(300), &view)), []);
    let effects = router.link_up(Millis(310), &name("s-0"));
    let mut all = reports(&effects);
    all.extend(reports(&router.tick(Millis(500), &view)));
    assert_eq!(all, []);
}

/// Failure: the scheduler is lost, and its successor takes the streams in progress for streams
/// without a bound. A successor of an earlier release must not be told.
#[test]
fn a_new_scheduler_learns_the_bounds_of_streams_in_progress() {
    let (mut router, view) = router(true);
    stream(&mut router, &view);
    router.link_down(Millis(120), &name("s-0"));
    router.set_stream_support(&name("s-0"), true);
    let effects = router.link_up(Millis(310), &name("s-0"));
    let told = reports(&effects);
    let [Report::Bounds(bounds)] = told.as_slice() else {
        unreachable!("the bounds of the streams in progress: {told:?}");
    };
    let hello = effects.iter().find_map(|e| match e {
        Effect::Report(_, Report::Hello(hello)) => Some(hello.clone()),
        _ => None,
    });
    let hello = hello.unwrap();
    let held: Vec<Seq> = hello.held.iter().map(|held: &Held| held.seq).collect();
    assert_eq!(bounds.as_slice(), [(held[0], 300)]);

    let now = GATHER_MS + 1000;
    let (mut next, _) = scheduler();
    let session = next.open_session(Millis(now - 100), None, &hello);
    report(&mut next, session, now - 50, 900);
    let breaks =
        |s: &mut Scheduler| (s.slots()).expected_breaks(Millis(now), EndpointId(1), 20_000);
    assert_eq!(breaks(&mut next), 0);
    // A repeated report counts a stream once.
    for _ in 0..2 {
        next.handle_report(Millis(now), session, Report::Bounds(bounds.clone()));
        assert_eq!(breaks(&mut next), 1);
    }
    next.done(Millis(now), session, held[0], 10, Verdict::Fine);
    assert_eq!(breaks(&mut next), 0);

    router.link_down(Millis(600), &name("s-0"));
    router.set_stream_support(&name("s-0"), false);
    let effects = router.link_up(Millis(650), &name("s-0"));
    assert_eq!(reports(&effects), []);
}

/// Failure: there is no scheduler. The router decides by the same model and keeps its own pauses.
#[test]
fn a_router_without_a_scheduler_grants_streams_itself() {
    let (_, view) = router(true);
    let mut alone = arrivals::dispatcher(name("main"), name("dc"), 1);
    alone.update_view(Millis(0), &view);
    let arrived = alone.arrive_for_stream(Millis(0), &view, arrival(SERVICE), Some(OBJECTIVE));
    let (handle, _) = arrived.unwrap();
    let effects = alone.tick(Millis(LOCAL_AFTER_MS), &view);
    assert_eq!(effects, [Effect::Dispatch(handle, EndpointId(1))]);
    alone.record_pauses(handle, OBSERVED);
    assert_eq!(alone.tick(Millis(LOCAL_AFTER_MS + 200), &view), []);
}

/// Outcomes of the load of deployment M, by what the scheduler is told.
fn compare(slower_percent: u64) -> [Outcomes; 5] {
    let all = [
        Told::Nothing,
        Told::Pauses,
        Told::Speeds,
        Told::Both,
        Told::AtOnce,
    ];
    all.map(|told| {
        let setup = Setup {
            told,
            slower_percent,
            shared: 6,
            delay_ms: 6,
        };
        let outcomes = streams::outcomes(setup, 0..3);
        println!("{slower_percent}% {told:?}: {outcomes:?}");
        outcomes
    })
}

/// Failure: streams pause for too long where continuous prefill and a slow phase of an engine meet,
/// since the scheduler sees the decoding of an engine only as a cost of each request. Of the three
/// ways to know the speed of an engine, measured pauses together with the stated speed are best.
#[test]
fn keeps_pauses_of_streams_while_engines_are_slow_in_turn() {
    let [nothing, pauses, speeds, both, _] = compare(100);
    assert!(pauses.paused * 100 < nothing.paused * 60);
    assert!(both.paused * 100 < nothing.paused * 40);
    assert!(both.paused < pauses.paused && both.paused < speeds.paused);
    is_nothing_lost(&nothing, &both);
}

/// Failure: where a third of the engines is slower, the decision moves streams to engines that are
/// no better, and copies their prompts there.
#[test]
fn keeps_pauses_of_streams_on_engines_of_several_speeds() {
    let [nothing, pauses, _, both, _] = compare(150);
    assert!(both.paused * 100 < nothing.paused * 58);
    assert!(both.paused * 100 < pauses.paused * 85);
    assert!(both.copies * 100 < both.ended * 4);
    is_nothing_lost(&nothing, &both);
}

/// Nothing is delayed or refused for the sake of pauses.
fn is_nothing_lost(without: &Outcomes, with: &Outcomes) {
    assert!(
        with.late <= without.late + with.asked / 500,
        "{with:?} {without:?}"
    );
    assert!(
        with.ended * 1000 >= without.ended * 995,
        "{with:?} {without:?}"
    );
}
