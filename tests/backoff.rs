//! Endpoints that say in an answer that they want no requests for now, or no more.

mod harness;

use harness::{Fleet, Plan};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Requests that an endpoint bears after it has asked for none.
const BORNE: u64 = 2;

fn fleet(models: usize) -> Fleet {
    Fleet::start(Plan {
        control: 1,
        routers: 2,
        models,
        ..Plan::default()
    })
}

/// Calls of a label that have reached a stand-in.
fn reached(fleet: &Fleet, name: &str, label: &str) -> u64 {
    fleet.counts(name)["labels"][label].as_u64().unwrap_or(0)
}

/// Sends requests by a router, ten at a time, until a stand-in has been reached, and six
/// hundred more; gives how often these reached it, and how many were not served.
fn send_on(fleet: &Fleet, router: &str, name: &str) -> (u64, usize) {
    let first = format!("first-{router}");
    for n in 0.. {
        if reached(fleet, name, &first) > 0 {
            break;
        }
        assert!(n < 20, "{name} is never reached");
        send(fleet, router, &first, 2);
    }
    let later = format!("later-{router}");
    let unserved = send(fleet, router, &later, 60);
    (reached(fleet, name, &later), unserved)
}

/// Sends requests by a router, ten at a time and each time so often; gives how many were
/// not served.
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
                    if answer.status != 200 || !answer.whole {
                        unserved.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    unserved.into_inner()
}

/// Guards against requests to an endpoint that has asked a router to stay away.
#[test]
fn can_stay_away_from_an_endpoint_that_asks_for_it() {
    let fleet = fleet(3);
    fleet.tell_stand_in("assistant-1", "/stand-in/turn-away?3000");
    for router in ["r1", "r2"] {
        let (later, unserved) = send_on(&fleet, router, "assistant-1");
        assert!(later <= BORNE, "{router} sent it {later} more");
        assert_eq!(unserved, 0, "of those behind {router}");
    }
}

/// Guards against requests to an endpoint that has said that it leaves.
#[test]
fn can_stay_away_from_an_endpoint_that_says_that_it_leaves() {
    let fleet = fleet(3);
    fleet.tell_stand_in("assistant-1", "/stand-in/leave");
    let (later, unserved) = send_on(&fleet, "r1", "assistant-1");
    assert!(later <= BORNE, "r1 sent it {later} more");
    assert_eq!(unserved, 0, "of those behind r1");
    // The other router need not be told by the endpoint.
    let unserved = send(&fleet, "r2", "other", 60);
    let other = reached(&fleet, "assistant-1", "other");
    assert!(other <= BORNE, "r2 sent it {other} more");
    assert_eq!(unserved, 0, "of those behind r2");
}
