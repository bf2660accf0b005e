//! The router's dispatcher.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use coordination::dispatcher::{
    Arrival, Bounds, Dispatcher, Effect, Handle, Location, Rejection, ASK_WINDOW, LOCAL_AFTER_MS,
    REMOTE_AFTER_MS,
};
use coordination::messages::{Class, Forecast, Grant, Refusal, Report, Verdict};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use state::clock::Millis;
use state::config::{Cost, Endpoint, Service};
use state::id::{CustomerId, EndpointId, Epoch, Name, ServiceId};
use state::view::{Assignment, Node, Shard, View};

const SERVICE: ServiceId = ServiceId(1);
const ENDPOINT: EndpointId = EndpointId(2);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn view(epoch: u64) -> View {
    let mut view = View::default();
    view.config.services.insert(
        SERVICE,
        Service {
            name: name("assistant"),
            cost: Cost::Event,
            estimate: 100,
            timeout_ms: 1000,
            idempotent: true,
            load: None,
            connections: None,
            engine: None,
            cold: None,
        },
    );
    view.config.endpoints.insert(
        ENDPOINT,
        Endpoint {
            name: name("e"),
            service: name("assistant"),
            address: "127.0.0.1:9001".parse().unwrap(),
            data_centre: name("dc"),
            region: name("main"),
            slots: 4,
            prefetch: 1,
        },
    );
    view.assignments.push(Assignment {
        shard: Shard {
            data_centre: None,
            service: SERVICE,
            region: name("main"),
            cell: None,
        },
        node: Node {
            vm: name("s"),
            address: "127.0.0.1:7001".parse().unwrap(),
        },
        epoch: Epoch(epoch),
    });
    view
}

fn arrival(customer: u32) -> Arrival {
    Arrival {
        service: SERVICE,
        class: Class {
            customer: CustomerId(customer),
            rule: 0,
        },
        weight: 1,
        rate: 0,
        concurrency: 0,
        queue: 100,
        hint: 10,
        priority: 0,
        aim: Millis(u64::MAX),
        prompt: Prompt::default(),
        bytes: 10,
        regions: Regions::default(),
        deadline: Millis(5000),
    }
}

fn home() -> Location {
    Location {
        region: name("main"),
        data_centre: name("dc"),
        incarnation: 7,
    }
}

fn dispatcher() -> Dispatcher {
    let bounds = Bounds {
        requests: 200,
        bytes: 1500,
    };
    let mut dispatcher = Dispatcher::new(home(), bounds);
    dispatcher.link_up(Millis(0), &name("s"));
    dispatcher
}

fn arrive(dispatcher: &mut Dispatcher, view: &View, customer: u32) -> (Handle, Vec<Report>) {
    let (handle, effects) = dispatcher
        .arrive(Millis(0), view, arrival(customer))
        .unwrap();
    let mut all = reports(&effects);
    all.extend(reports(&dispatcher.tick(Millis(0), view)));
    (handle, all)
}

fn reports(effects: &[Effect]) -> Vec<Report> {
    let each = effects.iter().filter_map(|e| match e {
        Effect::Report(_, report) => Some(report.clone()),
        _ => None,
    });
    each.collect()
}

fn asked(reports: &[Report]) -> coordination::messages::Seq {
    let ask = reports.iter().find_map(|r| match r {
        Report::Ask(ask) => Some(ask.seq),
        _ => None,
    });
    ask.unwrap()
}

fn grant(epoch: u64, seq: coordination::messages::Seq) -> Grant {
    Grant {
        epoch: Epoch(epoch),
        seq,
        endpoint: ENDPOINT,
        copy_from: None,
        forecast: Forecast::default(),
        level: 0,
        floor: 0,
        routers: 1,
        running: 1,
        busy: 0,
    }
}

#[test]
fn can_give_back_a_slot_that_its_caller_never_took() {
    // Symptom: a slot stays taken for good.
    // Sequence: a grant arrives and the request is dispatched; at that moment
    // its caller goes away, before it has seen the grant.
    // Cause: leaving was understood as leaving the queue only.
    let view = view(1);
    let mut dispatcher = dispatcher();
    let (handle, sent) = arrive(&mut dispatcher, &view, 1);
    let seq = asked(&sent);
    let dispatched = dispatcher.grant(Millis(1), grant(1, seq));
    assert_eq!(dispatched, [Effect::Dispatch(handle, ENDPOINT)]);
    let left = reports(&dispatcher.cancel(Millis(2), handle));
    assert_eq!(left, [Report::Done(seq, 0, Verdict::Cancelled)]);
    assert_eq!((dispatcher.held(), dispatcher.waiting()), (0, 0));
}

#[test]
fn can_drop_a_grant_of_an_earlier_epoch() {
    // Symptom: two schedulers give away the same slot.
    // Sequence: a new scheduler is assigned while a grant of the old one is on
    // its way.
    // Cause: a grant that is not tied to its epoch.
    let mut dispatcher = dispatcher();
    let (_, sent) = arrive(&mut dispatcher, &view(1), 1);
    let seq = asked(&sent);
    dispatcher.follow(Millis(1), &view(2));
    dispatcher.tick(Millis(1), &view(2));
    assert_eq!(dispatcher.grant(Millis(2), grant(1, seq)), []);
    assert_eq!(dispatcher.waiting(), 1);
}

#[test]
fn can_return_a_grant_for_a_request_that_left() {
    let view = view(1);
    let mut dispatcher = dispatcher();
    let (handle, sent) = arrive(&mut dispatcher, &view, 1);
    let seq = asked(&sent);
    assert_eq!(
        reports(&dispatcher.cancel(Millis(1), handle)),
        [Report::Withdraw(seq)]
    );
    let back = reports(&dispatcher.grant(Millis(2), grant(1, seq)));
    assert_eq!(back, [Report::Return(seq)]);
}

#[test]
fn can_keep_a_flood_from_its_scheduler() {
    let view = view(1);
    let mut dispatcher = dispatcher();
    let mut asks = 0;
    for _ in 0..100 {
        let (_, sent) = arrive(&mut dispatcher, &view, 1);
        asks += sent.iter().filter(|r| matches!(r, Report::Ask(_))).count();
    }
    assert_eq!(asks, ASK_WINDOW as usize);
    let full = dispatcher.arrive(Millis(0), &view, arrival(1)).err();
    assert_eq!(full, Some(Rejection::Customer));
    // Another customer still has room, until the router's own bound.
    let mut more = 0;
    while dispatcher.arrive(Millis(0), &view, arrival(2)).is_ok() {
        more += 1;
    }
    assert_eq!(more, 50);
    let full = dispatcher.arrive(Millis(0), &view, arrival(3)).err();
    assert_eq!(full, Some(Rejection::Router));
}

#[test]
fn can_give_up_at_the_deadline() {
    let view = view(1);
    let mut dispatcher = dispatcher();
    let (handle, sent) = arrive(&mut dispatcher, &view, 1);
    assert!(dispatcher.tick(Millis(4999), &view).is_empty());
    let late = dispatcher.tick(Millis(5000), &view);
    assert!(late.contains(&Effect::Expire(handle)));
    assert_eq!(reports(&late), [Report::Withdraw(asked(&sent))]);
}

#[test]
fn can_schedule_locally_without_a_scheduler_and_tell_the_next_one() {
    // Symptom: service that was given without a scheduler is forgotten, or
    // counted twice.
    // Sequence: the scheduler is lost; the dispatcher serves a request by itself; a
    // scheduler is assigned; its hello is said twice; a third one is assigned.
    // Cause: spending that is not told, or told to each scheduler again.
    let mut dispatcher = dispatcher();
    let (first, _) = arrive(&mut dispatcher, &view(1), 1);
    dispatcher.link_down(Millis(1), &name("s"));
    let alone = dispatcher.tick(Millis(1 + LOCAL_AFTER_MS), &view(1));
    assert_eq!(alone, [Effect::Dispatch(first, ENDPOINT)]);
    dispatcher.done(Millis(400), first, 25, Verdict::Fine);
    // Another one waits, so that the customer stays in the backlog.
    arrive(&mut dispatcher, &view(1), 1);
    let spent = |reports: &[Report]| {
        reports.iter().find_map(|r| match r {
            Report::Hello(hello) => hello
                .usage
                .iter()
                .find(|k| k.customer == CustomerId(1))
                .copied(),
            _ => None,
        })
    };
    dispatcher.follow(Millis(500), &view(2));
    let hello = reports(&dispatcher.link_up(Millis(500), &name("s")));
    assert_eq!(spent(&hello).map(|k| (k.level, k.spent)), Some((0, 25_000)));
    // The hello is told again as long as nothing shows that it was heard.
    dispatcher.unassigned(Millis(500), Epoch(2));
    let again = reports(&dispatcher.tick(Millis(600), &view(2)));
    assert_eq!(spent(&again).map(|k| (k.level, k.spent)), Some((0, 25_000)));
    let (_, sent) = arrive(&mut dispatcher, &view(2), 2);
    dispatcher.grant(Millis(700), grant(2, asked(&sent)));
    dispatcher.follow(Millis(800), &view(3));
    let third = reports(&dispatcher.tick(Millis(800), &view(3)));
    assert_eq!(spent(&third).map(|k| (k.level, k.spent)), Some((25_000, 0)));
}

#[test]
fn can_count_requests_in_progress_when_it_schedules_locally() {
    // Symptom: an endpoint has more requests than its slots while routers are
    // without a scheduler.
    // Sequence: four requests run on four slots; the scheduler is lost; two more
    // come.
    // Cause: a local scheduler that hears what runs before it knows the endpoints.
    let view = view(1);
    let mut dispatcher = dispatcher();
    for _ in 0..4 {
        let (_, sent) = arrive(&mut dispatcher, &view, 1);
        dispatcher.grant(Millis(0), grant(1, asked(&sent)));
    }
    assert_eq!(dispatcher.held(), 4);
    dispatcher.link_down(Millis(1), &name("s"));
    let (first, _) = arrive(&mut dispatcher, &view, 1);
    arrive(&mut dispatcher, &view, 2);
    let mut effects = dispatcher.tick(Millis(1 + LOCAL_AFTER_MS), &view);
    effects.extend(dispatcher.tick(Millis(1 + 2 * LOCAL_AFTER_MS), &view));
    let dispatched = |e: &Effect| matches!(e, Effect::Dispatch(..));
    assert!(!effects.iter().any(dispatched), "{effects:?}");
    assert_eq!(dispatcher.waiting(), 2);
    assert_eq!(dispatcher.cancel(Millis(900), first).len(), 0);
}

#[test]
fn can_avoid_an_endpoint_that_failed() {
    let view = view(1);
    let mut dispatcher = dispatcher();
    let (handle, sent) = arrive(&mut dispatcher, &view, 1);
    dispatcher.grant(Millis(1), grant(1, asked(&sent)));
    let again = reports(&dispatcher.requeue(Millis(2), handle, Verdict::Failed));
    let asks: Vec<_> = again
        .iter()
        .filter_map(|r| match r {
            Report::Ask(ask) => ask.avoid,
            _ => None,
        })
        .collect();
    assert_eq!(asks, [ENDPOINT]);
}

/// A view with a second region, whose scheduler is `t`.
fn two_regions() -> View {
    let mut view = view(1);
    let mut endpoint = view.config.endpoints[&ENDPOINT].clone();
    endpoint.name = name("far");
    endpoint.region = name("other");
    view.config.endpoints.insert(EndpointId(3), endpoint);
    let mut assignment = view.assignments[0].clone();
    assignment.shard.region = name("other");
    assignment.node.vm = name("t");
    assignment.epoch = Epoch(5);
    view.assignments.push(assignment);
    view
}

fn asks(effects: &[Effect]) -> Vec<(String, coordination::messages::Ask)> {
    let each = effects.iter().filter_map(|e| match e {
        Effect::Report(assignment, Report::Ask(ask)) => {
            Some((assignment.node.vm.to_string(), *ask))
        }
        _ => None,
    });
    each.collect()
}

#[test]
fn can_ask_another_region_after_a_while_and_use_one_grant_only() {
    // Symptom: endpoints of one region idle while another's callers wait; or a
    // request runs in both.
    // Sequence: a request waits at home, is asked for in another region too, and both grant.
    // Cause: regions that do not know of each other, or asks that do not.
    let view = two_regions();
    let mut dispatcher = dispatcher();
    dispatcher.link_up(Millis(0), &name("t"));
    let (handle, sent) = arrive(&mut dispatcher, &view, 1);
    let home = asked(&sent);
    assert!(asks(&dispatcher.tick(Millis(REMOTE_AFTER_MS - 1), &view)).is_empty());
    let mut remote = asks(&dispatcher.tick(Millis(REMOTE_AFTER_MS), &view));
    remote.extend(asks(&dispatcher.tick(Millis(REMOTE_AFTER_MS + 20), &view)));
    assert_eq!(remote.len(), 1);
    let (vm, ask) = &remote[0];
    assert_eq!((vm.as_str(), ask.remote), ("t", true));
    let far = Grant {
        endpoint: EndpointId(3),
        ..grant(5, ask.seq)
    };
    let effects = dispatcher.grant(Millis(300), far);
    assert!(effects.contains(&Effect::Dispatch(handle, EndpointId(3))));
    assert_eq!(reports(&effects), [Report::Withdraw(home)]);
    // The grant at home was on its way: it is given back.
    let late = reports(&dispatcher.grant(Millis(301), grant(1, home)));
    assert_eq!(late, [Report::Return(home)]);
    assert_eq!((dispatcher.held(), dispatcher.waiting()), (1, 0));
    let done = dispatcher.done(Millis(400), handle, 9, Verdict::Fine);
    assert!(
        matches!(&done[..], [Effect::Report(assignment, Report::Done(seq, 9, Verdict::Fine))]
        if assignment.node.vm == name("t") && *seq == ask.seq)
    );
}

#[test]
fn can_take_back_the_remote_ask_when_home_grants() {
    let view = two_regions();
    let mut dispatcher = dispatcher();
    dispatcher.link_up(Millis(0), &name("t"));
    let (handle, sent) = arrive(&mut dispatcher, &view, 1);
    let mut remote = asks(&dispatcher.tick(Millis(REMOTE_AFTER_MS), &view));
    remote.extend(asks(&dispatcher.tick(Millis(REMOTE_AFTER_MS + 20), &view)));
    let effects = dispatcher.grant(Millis(300), grant(1, asked(&sent)));
    assert!(effects.contains(&Effect::Dispatch(handle, ENDPOINT)));
    assert_eq!(reports(&effects), [Report::Withdraw(remote[0].1.seq)]);
    assert_eq!((dispatcher.held(), dispatcher.waiting()), (1, 0));
}

/// Requests of one class with an aim of 400 ms, more than its scheduler is asked for.
fn flood(dispatcher: &mut Dispatcher, view: &View, now: Millis) -> Vec<Handle> {
    let each = (0..ASK_WINDOW + 8).map(|_| {
        let mut arrival = arrival(1);
        arrival.aim = now.after(400);
        dispatcher.arrive(now, view, arrival).unwrap().0
    });
    let handles = each.collect();
    dispatcher.tick(now, view);
    handles
}

fn refused(effects: &[Effect]) -> Vec<(Handle, u32)> {
    let each = effects.iter().filter_map(|e| match e {
        Effect::Refuse(handle, refusal) => Some((*handle, refusal.wait_ms)),
        _ => None,
    });
    each.collect()
}

#[test]
fn can_turn_newcomers_away_where_the_first_waits_too_long_to_be_asked_for() {
    // One customer sent more through a router than its scheduler granted there. 512 of each
    // kind waited behind the 32 that the scheduler knows of, for 1.5 s each, and were then
    // refused with `expected_ms` 11 and `took_ms` 1,967; with aims of 400 to 600 ms none of
    // them had any use of the wait.
    let view = view(1);
    let mut dispatcher = dispatcher();
    flood(&mut dispatcher, &view, Millis(0));
    let late = |now: u64| {
        let mut arrival = arrival(1);
        arrival.aim = Millis(now).after(400);
        arrival
    };
    let soon = dispatcher.arrive(Millis(90), &view, late(90));
    assert!(soon.is_ok(), "the queue may yet move on");
    let newcomer = dispatcher.arrive(Millis(100), &view, late(100));
    assert_eq!(newcomer.err(), Some(Rejection::Customer));
    let mut other = late(100);
    other.class.customer = CustomerId(2);
    let other = dispatcher.arrive(Millis(100), &view, other);
    assert!(other.is_ok(), "another customer has no such queue");
}

#[test]
fn can_refuse_what_has_waited_half_of_its_aim_to_be_asked_for() {
    let view = view(1);
    let mut dispatcher = dispatcher();
    let handles = flood(&mut dispatcher, &view, Millis(0));
    assert!(refused(&dispatcher.tick(Millis(199), &view)).is_empty());
    let gone = refused(&dispatcher.tick(Millis(200), &view));
    let unasked = &handles[ASK_WINDOW as usize..];
    assert_eq!(gone.len(), unasked.len());
    assert!(gone
        .iter()
        .all(|(h, wait)| unasked.contains(h) && *wait == 200));
    assert_eq!(dispatcher.waiting(), ASK_WINDOW as usize);
}

#[test]
fn can_let_requests_wait_for_the_next_scheduler() {
    // With no scheduler none is asked for; the next one, or the router itself, is there
    // before their aims have passed.
    let view = view(1);
    let mut dispatcher = dispatcher();
    let handles = flood(&mut dispatcher, &view, Millis(0));
    dispatcher.link_down(Millis(10), &name("s"));
    assert!(refused(&dispatcher.tick(Millis(250), &view)).is_empty());
    assert_eq!(dispatcher.waiting(), handles.len());
    let mut newcomer = arrival(1);
    newcomer.aim = Millis(250).after(400);
    assert!(dispatcher.arrive(Millis(250), &view, newcomer).is_ok());
    // The next one is asked for them before any is given up.
    dispatcher.link_up(Millis(260), &name("s"));
    assert!(refused(&dispatcher.tick(Millis(280), &view)).is_empty());
}

#[test]
fn can_refuse_as_the_scheduler_has_just_refused() {
    // Asked for three times what its engines could do, a scheduler spent its processor on
    // refusals: requests waited 438 to 724 ms for theirs, `expected_ms` 582 to 1,249, with
    // aims of 400 to 600 ms, and what could be served was granted late.
    let view = view(1);
    let mut dispatcher = dispatcher();
    let mut first = arrival(1);
    first.aim = Millis(400);
    let (_, effects) = dispatcher.arrive(Millis(0), &view, first).unwrap();
    let mut told = reports(&effects);
    told.extend(reports(&dispatcher.tick(Millis(0), &view)));
    let refusal = |wait_ms| Refusal {
        epoch: Epoch(1),
        seq: asked(&told),
        wait_ms,
        after_ms: 700,
    };
    dispatcher.refuse(Millis(10), refusal(900));
    let late = |now: u64, customer| {
        let mut arrival = arrival(customer);
        arrival.aim = Millis(now).after(400);
        arrival
    };
    let newcomer = dispatcher.arrive(Millis(20), &view, late(20, 1));
    assert_eq!(newcomer.err(), Some(Rejection::Late { after_ms: 700 }));
    assert!(dispatcher.arrive(Millis(20), &view, late(20, 2)).is_ok());
    dispatcher.tick(Millis(60), &view);
    assert!(dispatcher.arrive(Millis(109), &view, late(109, 1)).is_err());
    assert!(dispatcher.arrive(Millis(110), &view, late(110, 1)).is_ok());
}
