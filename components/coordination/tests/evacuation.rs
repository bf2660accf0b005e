//! Requests of a router beside data centres that are evacuated.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod arrivals;
mod views;

use arrivals::{arrival, grant};
use coordination::assignment::shards;
use coordination::dispatcher::{Dispatcher, Effect, Handle, Rejection, LOCAL_AFTER_MS};
use coordination::messages::{Report, Seq, Verdict};
use state::clock::Millis;
use state::evacuation::Evacuation;
use state::id::{EndpointId, Epoch, Version};
use state::view::View;
use views::{add, assign, name, view, SERVICE};

const EPOCH: Epoch = Epoch(1);
const HERE: EndpointId = EndpointId(1);
const THERE: EndpointId = EndpointId(2);

/// A view with an endpoint in each of two data centres, and a scheduler.
fn two() -> View {
    let mut view = view(None);
    add(&mut view, HERE.0, "dc-1", 4);
    add(&mut view, THERE.0, "dc-2", 4);
    let all = shards(&view);
    assign(&mut view, all, 1);
    view
}

fn order(view: &mut View, data_centre: &str, is_in_force: bool) {
    let evacuation = Evacuation {
        is_in_force,
        version: Version(1),
        at: 0,
    };
    view.evacuations.insert(name(data_centre), evacuation);
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = arrivals::dispatcher(name("main"), name("dc-1"), 7);
    dispatcher.link_up(Millis(0), &name("s-0"));
    dispatcher
}

fn asked(effects: &[Effect]) -> Option<Seq> {
    effects.iter().find_map(|e| match e {
        Effect::Report(_, Report::Ask(ask)) => Some(ask.seq),
        _ => None,
    })
}

fn sent(effects: &[Effect]) -> Option<EndpointId> {
    effects.iter().find_map(|e| match e {
        Effect::Dispatch(_, endpoint) => Some(*endpoint),
        _ => None,
    })
}

fn is_returned(effects: &[Effect], seq: Seq) -> bool {
    let mut reports = effects.iter();
    reports.any(|e| matches!(e, Effect::Report(_, Report::Return(of)) if *of == seq))
}

/// A dispatcher with a session and a request that it has asked for.
fn waiting(view: &View) -> (Dispatcher, Handle, Seq) {
    let mut dispatcher = dispatcher();
    dispatcher.follow(Millis(0), view);
    let (handle, mut effects) = dispatcher
        .arrive(Millis(0), view, arrival(SERVICE))
        .unwrap();
    effects.extend(dispatcher.tick(Millis(1), view));
    let seq = asked(&effects).unwrap();
    (dispatcher, handle, seq)
}

/// Guards against a grant that a scheduler gave before it heard of the evacuation.
#[test]
fn can_give_back_a_grant_of_an_evacuated_data_centre() {
    let mut view = two();
    let (mut dispatcher, _, seq) = waiting(&view);
    order(&mut view, "dc-2", true);
    dispatcher.follow(Millis(2), &view);
    let effects = dispatcher.grant(Millis(3), grant(EPOCH, seq, THERE));
    assert_eq!(sent(&effects), None);
    assert!(is_returned(&effects, seq));
    let again = asked(&effects).expect("it is asked for anew");
    let effects = dispatcher.grant(Millis(4), grant(EPOCH, again, HERE));
    assert_eq!(sent(&effects), Some(HERE));
}

/// Guards against a router without a scheduler that shares out an evacuated data centre.
#[test]
fn can_pass_over_an_evacuated_data_centre_without_a_scheduler() {
    let mut view = two();
    let mut dispatcher = dispatcher();
    dispatcher.link_down(Millis(0), &name("s-0"));
    order(&mut view, "dc-2", true);
    dispatcher.follow(Millis(0), &view);
    let mut to = Vec::new();
    for n in 0..6 {
        let now = Millis(LOCAL_AFTER_MS + n);
        let arrived = dispatcher.arrive(Millis(0), &view, arrival(SERVICE));
        let (_, effects) = arrived.unwrap();
        to.extend(sent(&effects));
        to.extend(sent(&dispatcher.tick(now, &view)));
    }
    assert!(!to.is_empty());
    assert!(to.iter().all(|endpoint| *endpoint == HERE), "{to:?}");
}

/// Guards against requests that wait for their deadline where nothing may serve them.
#[test]
fn can_refuse_at_once_what_no_data_centre_may_serve() {
    let mut view = two();
    let (mut dispatcher, handle, _) = waiting(&view);
    order(&mut view, "dc-1", true);
    order(&mut view, "dc-2", true);
    let effects = dispatcher.follow(Millis(2), &view);
    assert!(effects.contains(&Effect::Unserved(handle)), "{effects:?}");
    let newcomer = dispatcher.arrive(Millis(3), &view, arrival(SERVICE));
    assert_eq!(newcomer.err(), Some(Rejection::NoEndpoint));
    order(&mut view, "dc-1", false);
    dispatcher.follow(Millis(4), &view);
    assert!(dispatcher
        .arrive(Millis(5), &view, arrival(SERVICE))
        .is_ok());
}

/// Guards against a request that waits for ever since its try failed during the evacuation.
#[test]
fn can_refuse_a_retry_that_no_data_centre_may_serve() {
    let mut view = two();
    let (mut dispatcher, handle, seq) = waiting(&view);
    let effects = dispatcher.grant(Millis(2), grant(EPOCH, seq, THERE));
    assert_eq!(sent(&effects), Some(THERE));
    order(&mut view, "dc-1", true);
    order(&mut view, "dc-2", true);
    let effects = dispatcher.follow(Millis(3), &view);
    assert!(
        !effects.contains(&Effect::Unserved(handle)),
        "it is in progress"
    );
    dispatcher.requeue(Millis(4), handle, Verdict::Failed);
    let effects = dispatcher.tick(Millis(5), &view);
    assert!(effects.contains(&Effect::Unserved(handle)), "{effects:?}");
}
