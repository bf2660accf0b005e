//! Hand-over of requests from a flooded router to another one of its data centre.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{eventually, http, Fleet, Plan};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// A fleet with two routers in one data centre, `r1` and `r4`.
fn fleet() -> Fleet {
    Fleet::start(Plan {
        control: 1,
        routers: 4,
        models: 2,
        plain_services: 2,
        batch: 256,
        settings: "[router]\nhandover = yes\nqueue-customer = 1024\n".to_owned(),
        ..Plan::default()
    })
}

/// A counter or gauge of a VM; 0 without it.
fn metric(fleet: &Fleet, vm: &str, name: &str) -> u64 {
    let page = http::get(fleet.vm(vm).operators, "/metrics", harness::OPERATOR_KEY).text();
    let line = page.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or(0)
}

const HANDED_OVER: &str = "cowslipford_requests_handed_over_total ";
const FROM_PEERS: &str = "cowslipford_requests_from_peers_total ";
const AT_PEERS: &str = "cowslipford_requests_at_peers ";
const FAILED: &str = "cowslipford_handovers_failed_total ";

/// Callers that flood a router until they are dropped, each on one connection at a time.
struct Flood {
    stop: std::sync::Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    served: std::sync::Arc<AtomicUsize>,
    failed: std::sync::Arc<std::sync::Mutex<Vec<String>>>,
}

impl Flood {
    /// Starts `callers` callers that send requests to a router without a pause.
    fn start(fleet: &Fleet, router: &str, callers: usize) -> Self {
        let mut flood = Flood {
            stop: std::sync::Arc::default(),
            threads: Vec::new(),
            served: std::sync::Arc::default(),
            failed: std::sync::Arc::default(),
        };
        let address = fleet.callers(router);
        for caller in 0..callers {
            let (stop, served) = (flood.stop.clone(), flood.served.clone());
            let failed = flood.failed.clone();
            flood.threads.push(std::thread::spawn(move || {
                let headers = [("stand-in-pace", "2"), ("stand-in-tokens", "8")];
                while !stop.load(Ordering::Relaxed) {
                    let body = format!("flood {caller}");
                    let answer = http::send(address, "POST", "/assistant", "beta", &headers, &body);
                    if answer.status == 200 && answer.complete {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        let text = format!("{} {}", answer.status, answer.text());
                        failed.lock().unwrap().push(text);
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            }));
        }
        flood
    }

    /// Ends the flood; returns the number of requests that were served, and the answers to others.
    fn end(mut self) -> (usize, Vec<String>) {
        self.join();
        let failed = std::mem::take(&mut *self.failed.lock().unwrap());
        (self.served.load(Ordering::Relaxed), failed)
    }

    fn join(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.join();
    }
}

#[test]
fn can_hand_over_the_excess_of_a_flooded_router() {
    // Failure: one router gets the requests of a large customer and refuses most of them while
    // the other routers of its data centre are idle.
    let fleet = fleet();
    let flood = Flood::start(&fleet, "r1", 40);
    eventually("requests are handed over", || {
        metric(&fleet, "r4", FROM_PEERS) > 100
    });
    let (served, failed) = flood.end();
    assert!(failed.len() * 100 <= served, "{served} served, {failed:?}");
    assert!(metric(&fleet, "r1", HANDED_OVER) >= metric(&fleet, "r4", FROM_PEERS));
    assert_eq!(metric(&fleet, "r1", FAILED), 0);
    for other in ["r2", "r3"] {
        // Routers of other data centres.
        assert_eq!(metric(&fleet, other, FROM_PEERS), 0);
    }
    eventually("no request is at a peer", || {
        metric(&fleet, "r1", AT_PEERS) == 0
    });
    let log = fleet.vm("r1").log();
    for event in ["handover-began", "requests-handed-over", "handover-ended"] {
        eventually("the log tells of the hand-over", || {
            fleet.vm("r1").log().contains(event)
        });
    }
    assert!(!log.contains("router-busy"), "requests were refused");
}
