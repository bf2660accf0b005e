//! How a router handles requests while data centres are evacuated.
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
const LOCAL_ENDPOINT: EndpointId = EndpointId(1);
const REMOTE_ENDPOINT: EndpointId = EndpointId(2);

/// A view with an endpoint in each of two data centres, and one scheduler.
fn view_of_two() -> View {
    let mut view = view(None);
    add(&mut view, LOCAL_ENDPOINT.0, "dc-1", 4);
    add(&mut view, REMOTE_ENDPOINT.0, "dc-2", 4);
    let all = shards(&view);
    assign(&mut view, all, 1);
    view
}

/// Starts or ends the evacuation of a data centre.
fn set_evacuated(view: &mut View, data_centre: &str, is_in_force: bool) {
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

/// A dispatcher with a session and one request whose ask is unanswered.
fn with_ask(view: &View) -> (Dispatcher, Handle, Seq) {
    let mut dispatcher = dispatcher();
    dispatcher.update_view(Millis(0), view);
    let (handle, mut effects) = dispatcher
        .arrive(Millis(0), view, arrival(SERVICE))
        .unwrap();
    effects.extend(dispatcher.tick(Millis(1), view));
    let seq = asked(&effects).unwrap();
    (dispatcher, handle, seq)
}

/// Guards against using a grant that a scheduler gave before it learned of the evacuation.
#[test]
fn can_return_a_grant_of_an_evacuated_data_centre() {
    let mut view = view_of_two();
    let (mut dispatcher, _, seq) = with_ask(&view);
    set_evacuated(&mut view, "dc-2", true);
    dispatcher.update_view(Millis(2), &view);
    let effects = dispatcher.grant(Millis(3), grant(EPOCH, seq, REMOTE_ENDPOINT));
    assert_eq!(sent(&effects), None);
    assert!(is_returned(&effects, seq));
    let again = asked(&effects).expect("the request is asked for again");
    let effects = dispatcher.grant(Millis(4), grant(EPOCH, again, LOCAL_ENDPOINT));
    assert_eq!(sent(&effects), Some(LOCAL_ENDPOINT));
}

/// Guards against a router without a scheduler that uses its share of slots in an evacuated
/// data centre.
#[test]
fn can_skip_an_evacuated_data_centre_without_a_scheduler() {
    let mut view = view_of_two();
    let mut dispatcher = dispatcher();
    dispatcher.link_down(Millis(0), &name("s-0"));
    set_evacuated(&mut view, "dc-2", true);
    dispatcher.update_view(Millis(0), &view);
    let mut used = Vec::new();
    for n in 0..6 {
        let now = Millis(LOCAL_AFTER_MS + n);
        let arrived = dispatcher.arrive(Millis(0), &view, arrival(SERVICE));
        let (_, effects) = arrived.unwrap();
        used.extend(sent(&effects));
        used.extend(sent(&dispatcher.tick(now, &view)));
    }
    assert!(!used.is_empty());
    assert!(
        used.iter().all(|endpoint| *endpoint == LOCAL_ENDPOINT),
        "{used:?}"
    );
}

/// Guards against requests that wait until their deadline although no endpoint may serve them.
#[test]
fn can_refuse_requests_at_once_while_all_data_centres_are_evacuated() {
    let mut view = view_of_two();
    let (mut dispatcher, handle, _) = with_ask(&view);
    set_evacuated(&mut view, "dc-1", true);
    set_evacuated(&mut view, "dc-2", true);
    let effects = dispatcher.update_view(Millis(2), &view);
    assert!(effects.contains(&Effect::NoEndpoint(handle)), "{effects:?}");
    let newcomer = dispatcher.arrive(Millis(3), &view, arrival(SERVICE));
    assert_eq!(newcomer.err(), Some(Rejection::NoEndpoint));
    set_evacuated(&mut view, "dc-1", false);
    dispatcher.update_view(Millis(4), &view);
    assert!(dispatcher
        .arrive(Millis(5), &view, arrival(SERVICE))
        .is_ok());
}

/// Guards against a request that waits forever because its try failed during the evacuation.
#[test]
fn can_refuse_a_retry_while_all_data_centres_are_evacuated() {
    let mut view = view_of_two();
    let (mut dispatcher, handle, seq) = with_ask(&view);
    let effects = dispatcher.grant(Millis(2), grant(EPOCH, seq, REMOTE_ENDPOINT));
    assert_eq!(sent(&effects), Some(REMOTE_ENDPOINT));
    set_evacuated(&mut view, "dc-1", true);
    set_evacuated(&mut view, "dc-2", true);
    let effects = dispatcher.update_view(Millis(3), &view);
    assert!(
        !effects.contains(&Effect::NoEndpoint(handle)),
        "the request is in progress"
    );
    dispatcher.requeue(Millis(4), handle, Verdict::Failed);
    let effects = dispatcher.tick(Millis(5), &view);
    assert!(effects.contains(&Effect::NoEndpoint(handle)), "{effects:?}");
}
