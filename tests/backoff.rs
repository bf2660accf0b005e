//! Endpoints that request a pause, or announce in an answer that they are leaving.

mod harness;

use harness::{Fleet, Plan};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Requests that may still reach an endpoint after it has asked for none.
const MAX_LATER_REQUESTS: u64 = 2;

/// A fleet of two routers, with a number of endpoints for the service `assistant`.
fn fleet(models: usize) -> Fleet {
    Fleet::start(Plan {
        control: 1,
        routers: 2,
        models,
        ..Plan::default()
    })
}

/// Number of calls with a label that have reached a stand-in.
fn calls_with_label(fleet: &Fleet, name: &str, label: &str) -> u64 {
    fleet.counts(name)["labels"][label].as_u64().unwrap_or(0)
}

/// Sends requests through a router, ten at a time, until one has reached a stand-in, and 600
/// more; returns how many of these reached the stand-in, and how many were not served.
fn send_after_first_contact(fleet: &Fleet, router: &str, name: &str) -> (u64, usize) {
    let first = format!("first-{router}");
    for n in 0.. {
        if calls_with_label(fleet, name, &first) > 0 {
            break;
        }
        assert!(n < 20, "no request has reached {name}");
        send(fleet, router, &first, 2);
    }
    let later = format!("later-{router}");
    let unserved = send(fleet, router, &later, 60);
    (calls_with_label(fleet, name, &later), unserved)
}

/// Sends `times` requests through a router from each of ten concurrent callers; returns how
/// many were not served.
fn send(fleet: &Fleet, router: &str, label: &str, times: usize) -> usize {
    let unserved = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for caller in 0..10 {
            let unserved = &unserved;
            scope.spawn(move || {
                for n in 0..times {
                    let body = format!("{caller} {n}");
                    let labelled = [("stand-in-id", label)];
                    let answer = fleet.call(router, "alpha", "/assistant", &labelled, &body);
                    if answer.status != 200 || !answer.complete {
                        unserved.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    unserved.into_inner()
}

/// Guards against requests to an endpoint that has asked a router for a pause.
#[test]
fn can_pause_requests_to_an_endpoint_that_asks_for_it() {
    let fleet = fleet(3);
    fleet.configure_stand_in("assistant-1", "/stand-in/turn-away?3000");
    for router in ["r1", "r2"] {
        let (later, unserved) = send_after_first_contact(&fleet, router, "assistant-1");
        assert!(
            later <= MAX_LATER_REQUESTS,
            "{router} sent {later} more requests"
        );
        assert_eq!(unserved, 0, "requests through {router} were not served");
    }
}

/// Guards against requests to an endpoint that has announced that it is leaving.
#[test]
fn can_stop_sending_to_an_endpoint_that_announces_its_departure() {
    let fleet = fleet(3);
    fleet.configure_stand_in("assistant-1", "/stand-in/leave");
    let (later, unserved) = send_after_first_contact(&fleet, "r1", "assistant-1");
    assert!(later <= MAX_LATER_REQUESTS, "r1 sent {later} more requests");
    assert_eq!(unserved, 0, "requests through r1 were not served");
    // The other router learns of the departure from the fleet, not from the endpoint.
    let unserved = send(&fleet, "r2", "other", 60);
    let other = calls_with_label(&fleet, "assistant-1", "other");
    assert!(other <= MAX_LATER_REQUESTS, "r2 sent {other} more requests");
    assert_eq!(unserved, 0, "requests through r2 were not served");
}
