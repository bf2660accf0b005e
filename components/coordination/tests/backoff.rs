//! Endpoints that ask a router to send no requests for a while.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod views;

use coordination::backoff::{Backoff, Backoffs, BACKOFF_MAX_MS, LEAVING_MS};
use coordination::dispatcher::{Arrival, Bounds, Dispatcher, Effect, Handle, Location, Rejection};
use coordination::messages::{Ask, Class, Forecast, Grant, Hello, Report, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use coordination::scheduler::{self, Scheduler, Session, GATHER_MS};
use rstest::rstest;
use state::clock::Millis;
use state::config::Engine;
use state::id::{CustomerId, EndpointId, Epoch};
use state::view::{Shard, View};
use std::time::Duration;
use views::{add, assign, name, SERVICE};

const E1: EndpointId = EndpointId(1);
const E2: EndpointId = EndpointId(2);
const EPOCH: u64 = 3;
const CLASS: Class = Class {
    customer: CustomerId(9),
    rule: 0,
};

fn pause(endpoint: EndpointId, ms: u64) -> Backoff {
    Backoff::pausing(endpoint, Duration::from_millis(ms))
}

fn engine() -> Engine {
    Engine {
        memory_tokens: 100_000,
        copy_tokens_per_s: None,
        event_tokens: 1,
    }
}

/// Two endpoints and their scheduler on VM `s-0`.
fn view() -> View {
    let mut view = views::view(None);
    add(&mut view, E1.0, "dc", 4);
    add(&mut view, E2.0, "dc", 4);
    let shard = Shard {
        service: SERVICE,
        region: name("main"),
        data_centre: None,
        cell: None,
    };
    assign(&mut view, [shard], EPOCH);
    view
}

fn arrival(aim_ms: u64) -> Arrival {
    Arrival {
        service: SERVICE,
        class: CLASS,
        weight: 1,
        priority: 0,
        rate: 0,
        concurrency: 0,
        queue: 100,
        hint: 10,
        prompt: Prompt::default(),
        bytes: 10,
        regions: Regions::default(),
        aim: Millis(aim_ms),
        deadline: Millis(20_000),
    }
}

fn dispatcher(view: &View) -> Dispatcher {
    let location = Location {
        region: name("main"),
        data_centre: name("dc"),
        incarnation: 7,
    };
    let bounds = Bounds {
        requests: 100,
        bytes: 10_000,
    };
    let mut dispatcher = Dispatcher::new(location, bounds);
    dispatcher.link_up(Millis(0), &name("s-0"));
    dispatcher.update_view(Millis(0), view);
    dispatcher
}

/// Queues a request and returns its ask.
fn arrive(dispatcher: &mut Dispatcher, view: &View, aim_ms: u64) -> (Handle, Seq) {
    let (handle, mut effects) = dispatcher.arrive(Millis(0), view, arrival(aim_ms)).unwrap();
    effects.extend(dispatcher.tick(Millis(0), view));
    (handle, asked(&effects).unwrap())
}

fn reports(effects: &[Effect]) -> Vec<Report> {
    let each = effects.iter().filter_map(|e| match e {
        Effect::Report(_, report) => Some(report.clone()),
        _ => None,
    });
    each.collect()
}

fn asked(effects: &[Effect]) -> Option<Seq> {
    reports(effects).iter().find_map(|r| match r {
        Report::Ask(ask) => Some(ask.seq),
        _ => None,
    })
}

fn is_sent(effects: &[Effect]) -> bool {
    let sent = |e: &Effect| matches!(e, Effect::Dispatch(..));
    effects.iter().any(sent)
}

fn grant(seq: Seq, endpoint: EndpointId) -> Grant {
    Grant {
        epoch: Epoch(EPOCH),
        seq,
        endpoint,
        copy_from: None,
        forecast: Forecast::default(),
        level: 0,
        floor: 0,
        routers: 1,
        running: 1,
        busy: 0,
    }
}

#[rstest]
#[case::later_backoff_is_shorter(3000, 1000, 3000)]
#[case::later_backoff_is_longer(1000, 3000, 3000)]
#[case::no_time(0, 0, 0)]
#[case::above_the_maximum(u64::MAX, 1, u64::from(BACKOFF_MAX_MS))]
fn can_keep_the_longer_of_two_backoffs(#[case] first: u64, #[case] second: u64, #[case] ends: u64) {
    let mut backoffs = Backoffs::default();
    backoffs.record(Millis(0), &pause(E1, first));
    backoffs.record(Millis(0), &pause(E1, second));
    let until = backoffs.until(Millis(0), E1);
    assert_eq!(until, (ends > 0).then_some(Millis(ends)));
    assert_eq!(backoffs.until(Millis(ends), E1), None);
    assert_eq!(backoffs.until(Millis(0), E2), None);
}

/// Guards against using a grant that crossed with its endpoint's backoff.
#[test]
fn can_return_a_grant_whose_endpoint_backs_off() {
    let view = view();
    let mut dispatcher = dispatcher(&view);
    let (first, seq) = arrive(&mut dispatcher, &view, 10_000);
    assert!(is_sent(&dispatcher.grant(Millis(1), grant(seq, E1))));
    let (_, second) = arrive(&mut dispatcher, &view, 10_000);
    let (has_changed, effects) = dispatcher.backoff(Millis(2), first, pause(E1, 3000));
    assert!(has_changed && reports(&effects) == [Report::Backoff(pause(E1, 3000))]);
    let returned = dispatcher.grant(Millis(3), grant(second, E1));
    assert!(!is_sent(&returned));
    // The scheduler may have forgotten the backoff, and would grant the same endpoint again.
    let sent = reports(&returned);
    assert_eq!(
        sent[..2],
        [Report::Backoff(pause(E1, 2999)), Report::Return(second)]
    );
    let again = asked(&returned).unwrap();
    assert!(is_sent(&dispatcher.grant(Millis(4), grant(again, E2))));
    let (_, third) = arrive(&mut dispatcher, &view, 10_000);
    let ended = Millis(3002);
    assert!(is_sent(&dispatcher.grant(ended, grant(third, E1))));
}

/// Guards against a backoff that is forgotten when the scheduler that knew of it is lost.
#[test]
fn can_report_backoffs_to_the_next_scheduler() {
    let view = view();
    let mut dispatcher = dispatcher(&view);
    let (first, seq) = arrive(&mut dispatcher, &view, 10_000);
    dispatcher.grant(Millis(1), grant(seq, E1));
    dispatcher.backoff(Millis(2), first, pause(E1, 3000));
    dispatcher.link_down(Millis(500), &name("s-0"));
    let sent = reports(&dispatcher.link_up(Millis(1002), &name("s-0")));
    let hello = sent.iter().find_map(|r| match r {
        Report::Hello(hello) => Some(hello.clone()),
        _ => None,
    });
    assert_eq!(hello.unwrap().backoff, [pause(E1, 2000)]);
}

/// Guards against callers that wait until their deadline while all endpoints back off.
#[test]
fn can_refuse_at_once_when_all_endpoints_back_off_for_too_long() {
    let view = view();
    let mut dispatcher = dispatcher(&view);
    let (first, seq) = arrive(&mut dispatcher, &view, 1000);
    dispatcher.grant(Millis(1), grant(seq, E1));
    let (waiting, _) = arrive(&mut dispatcher, &view, 1000);
    let (patient, _) = arrive(&mut dispatcher, &view, 5000);
    dispatcher.backoff(Millis(10), first, pause(E1, 4000));
    let refused = |effects: &[Effect]| -> Vec<Handle> {
        let each = effects.iter().filter_map(|e| match e {
            Effect::Refuse(handle, refusal) => Some((*handle, refusal.after_ms)),
            _ => None,
        });
        each.map(|(handle, after_ms)| {
            assert_eq!(after_ms, 2990);
            handle
        })
        .collect()
    };
    assert!(refused(&dispatcher.tick(Millis(20), &view)).is_empty());
    dispatcher.backoff(Millis(20), first, pause(E2, 2990));
    assert_eq!(refused(&dispatcher.tick(Millis(20), &view)), [waiting]);
    let rejected = dispatcher.arrive(Millis(30), &view, arrival(1000));
    assert_eq!(rejected.unwrap_err(), Rejection::Late { after_ms: 2980 });
    assert!(dispatcher.arrive(Millis(30), &view, arrival(5000)).is_ok());
    assert!(dispatcher.placement(patient) == Default::default());
    let ended = Millis(3010);
    dispatcher.tick(ended, &view);
    assert!(dispatcher.arrive(ended, &view, arrival(4000)).is_ok());
}

/// A scheduler with two endpoints and sessions of two routers.
fn scheduler(is_engine: bool) -> (Scheduler, Session, Session) {
    let mut scheduler = Scheduler::new(Epoch(EPOCH), Millis(0));
    let slots = scheduler.slots();
    slots.set_memory_tokens(is_engine.then(|| engine().memory_tokens));
    slots.set(E1, 4, 0, false);
    slots.set(E2, 4, 0, false);
    let one = scheduler.open_session(Millis(0), None, &Hello::default());
    let two = scheduler.open_session(Millis(0), None, &Hello::default());
    (scheduler, one, two)
}

fn ask(seq: u64) -> Ask {
    Ask {
        seq: Seq(seq),
        class: CLASS,
        weight: 1,
        rate: 0,
        concurrency: 0,
        priority: 0,
        aim_ms: 1000,
        hint: 10,
        prompt: Prompt::default(),
        avoid: None,
        remote: false,
    }
}

/// Endpoints granted to the next four requests of a session, one after the other.
fn granted(scheduler: &mut Scheduler, at: Millis, of: Session, first: u64) -> Vec<EndpointId> {
    let mut all = Vec::new();
    for n in first..first + 4 {
        let effects = scheduler.ask(at, of, ask(n));
        all.extend(effects.iter().filter_map(|e| match e {
            scheduler::Effect::Grant(_, grant) => Some(grant.endpoint),
            _ => None,
        }));
        scheduler.done(at, of, Seq(n), 10, Verdict::Cancelled);
    }
    all
}

/// Guards against granting slots to a router that must not use them.
#[rstest]
#[case::engines(true)]
#[case::plain_endpoints(false)]
fn can_grant_an_endpoint_to_other_routers_while_it_backs_off_for_one(#[case] is_engine: bool) {
    let (mut scheduler, one, two) = scheduler(is_engine);
    let now = Millis(GATHER_MS);
    scheduler.handle_report(now, one, Report::Backoff(pause(E1, 3000)));
    assert_eq!(granted(&mut scheduler, now, one, 0), [E2; 4]);
    assert!(granted(&mut scheduler, now, two, 0).contains(&E1));
    let ended = now.after(3000);
    assert!(granted(&mut scheduler, ended, one, 10).contains(&E1));
}

/// Guards against other routers sending requests to an endpoint that is leaving.
#[rstest]
#[case::engines(true)]
#[case::plain_endpoints(false)]
fn can_keep_all_routers_from_a_leaving_endpoint(#[case] is_engine: bool) {
    let (mut scheduler, one, two) = scheduler(is_engine);
    let now = Millis(GATHER_MS);
    scheduler.handle_report(now, one, Report::Backoff(Backoff::leaving(E1)));
    assert_eq!(granted(&mut scheduler, now, one, 0), [E2; 4]);
    assert_eq!(granted(&mut scheduler, now, two, 0), [E2; 4]);
    let over = now.after(u64::from(LEAVING_MS));
    assert!(granted(&mut scheduler, over, two, 10).contains(&E1));
}

/// Guards against a backoff that outlives its router's session and applies to the next one.
#[test]
fn can_forget_a_backoff_with_its_session() {
    let (mut scheduler, one, _) = scheduler(true);
    let now = Millis(GATHER_MS);
    scheduler.handle_report(now, one, Report::Backoff(pause(E1, 3000)));
    let again = scheduler.open_session(now, Some(one), &Hello::default());
    assert!(granted(&mut scheduler, now, again, 0).contains(&E1));
}
