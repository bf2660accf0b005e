//! Hand-over of requests from a flooded router to another one of its data centre.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::raw::Server;
use harness::upload::{Connection, Framing};
use harness::{eventually, http, Fleet, Plan};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// A fleet with two routers in one data centre, `r1` and `r4`.
fn fleet() -> Fleet {
    Fleet::start(plan(""))
}

/// Plan of that fleet, with further settings of routers.
fn plan(settings: &str) -> Plan {
    Plan {
        control: 1,
        routers: 4,
        models: 2,
        plain_services: 2,
        batch: 256,
        settings: format!("[router]\nhandover = yes\nqueue-customer = 1024\n{settings}"),
        ..Plan::default()
    }
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
const ANSWERED: &str = "cowslipford_handovers_answered_total ";
const FAILED: &str = "cowslipford_handovers_failed_total ";
const DECLINED: &str = "cowslipford_handovers_declined_total ";

const UNLOGGED: &str = "cowslipford_untold_refusals_total ";

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
    let from_peers = metric(&fleet, "r4", FROM_PEERS);
    assert!(metric(&fleet, "r1", HANDED_OVER) >= from_peers);
    // Failure: each request that is handed over opens a connection of its own.
    let connections = metric(&fleet, "r4", "cowslipford_connections_accepted_total ");
    assert!(
        connections * 2 < from_peers,
        "{connections} connections for {from_peers} requests"
    );
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

/// Rules under which plain requests may run twice, in addition to the default ones.
const SAFE_RULE: &str =
    "[rule safe]\nwhen-path = /safe\nthen = send\nservice = booking\nidempotent = yes\n";

/// Makes a router hand every request over to peers with room, or no longer.
fn press(fleet: &Fleet, router: &str, on: bool) {
    let path = format!("/fault/press?on={}", if on { "yes" } else { "no" });
    let operators = fleet.vm(router).operators;
    let answer = http::send(operators, "POST", &path, harness::OPERATOR_KEY, &[], "");
    assert_eq!(answer.status, 200);
}

/// A fleet in which `r1` hands every request over to `r4`, and has a retry budget.
fn pressed_fleet() -> Fleet {
    let fleet = fleet();
    let text = fleet.configuration() + SAFE_RULE;
    let applied = fleet.apply(&text, &[]);
    assert!(applied.0.success(), "{}", applied.2);
    fleet.wait_version(fleet.version());
    for _ in 0..40 {
        assert_eq!(fleet.call("r1", "alpha", "/safe", &[], "x").status, 200);
    }
    press(&fleet, "r1", true);
    wait_for_hand_over(&fleet, "r1", "r4");
    fleet
}

/// The same with an endpoint at this address, for requests below `/raw`. It answers those without a
/// case well.
fn pressed_fleet_with(raw: SocketAddr) -> Fleet {
    let fleet = pressed_fleet();
    let allowed = "services = assistant, booking";
    let text = fleet.configuration() + SAFE_RULE;
    let text = text.replace(allowed, &format!("{allowed}, raw"))
        + &format!(
            "[service raw]\ncost = request\n[endpoint raw-1]\nservice = raw\naddress = {raw}\n\
             data-centre = dc-1\nslots = 4\n\
             [rule raw]\nwhen-path = /raw\nthen = send\nservice = raw\n",
        );
    let applied = fleet.apply(&text, &[]);
    assert!(applied.0.success(), "{}", applied.2);
    fleet.wait_version(fleet.version());
    eventually("the endpoint serves", || {
        let answer = fleet.call("r1", "alpha", "/raw", &[], "x");
        answer.status == 200 && answer.text() == "hello"
    });
    fleet
}

/// Waits until requests at `router` are answered by `peer`.
fn wait_for_hand_over(fleet: &Fleet, router: &str, peer: &str) {
    let before = metric(fleet, peer, FROM_PEERS);
    eventually("requests are handed over", || {
        fleet.call(router, "alpha", "/assistant", &[], "x");
        metric(fleet, peer, FROM_PEERS) > before
    });
}

/// Sends a request through `r1`, again until it is handed over to `r4`. The endpoint below `/raw`
/// serves one well before each, so that it is not ejected for failures in a row.
fn call_until_handed_over<F>(fleet: &Fleet, mut call: F)
where
    F: FnMut(),
{
    eventually("a request is handed over", || {
        assert_eq!(fleet.call("r1", "alpha", "/raw", &[], "x").status, 200);
        let before = metric(fleet, "r4", FROM_PEERS);
        call();
        metric(fleet, "r4", FROM_PEERS) > before
    });
}

/// Sends a request through `r1` that takes some seconds, and runs `fault` once an endpoint has it.
fn call_during<F>(fleet: &mut Fleet, path: &'static str, label: &str, fault: F) -> http::Answer
where
    F: FnOnce(&mut Fleet),
{
    call_at_during(fleet, "r1", path, label, fault)
}

/// The same through any router.
fn call_at_during<F>(
    fleet: &mut Fleet,
    router: &str,
    path: &'static str,
    label: &str,
    fault: F,
) -> http::Answer
where
    F: FnOnce(&mut Fleet),
{
    let address = fleet.callers(router);
    let owned = label.to_owned();
    let caller = std::thread::spawn(move || {
        let headers = [
            ("stand-in-id", owned.as_str()),
            (
                "stand-in-pace",
                if path == "/assistant" { "20" } else { "1500" },
            ),
            ("stand-in-tokens", "150"),
        ];
        http::send(address, "POST", path, "alpha", &headers, "x")
    });
    eventually("an endpoint has the request", || {
        fleet.calls_with_label(label) == 1
    });
    fault(fleet);
    caller.join().unwrap()
}

fn kill_peer(fleet: &mut Fleet) {
    let vm = fleet.vms.iter_mut().find(|vm| vm.name == "r4").unwrap();
    vm.kill();
}

#[test]
fn runs_a_request_once_if_the_peer_is_killed_before_it_answers() {
    // Failure: the peer is killed while a request that must not run twice is in progress there.
    let mut fleet = pressed_fleet();
    let answer = call_during(&mut fleet, "/booking", "once", kill_peer);
    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    assert_eq!(fleet.calls_with_label("once"), 1);
    assert_eq!(metric(&fleet, "r1", FAILED), 1);
}

#[test]
fn retries_an_idempotent_request_if_the_peer_is_killed_before_it_answers() {
    // Failure: the same with a request that may run twice.
    let mut fleet = pressed_fleet();
    let answer = call_during(&mut fleet, "/safe", "twice", kill_peer);
    assert_eq!((answer.status, answer.outcome()), (200, "answered"));
    assert_eq!(fleet.calls_with_label("twice"), 2);
}

#[test]
fn cuts_a_stream_visibly_if_the_peer_is_killed() {
    // Failure: the peer is killed in the middle of a stream.
    let mut fleet = pressed_fleet();
    let answer = call_during(&mut fleet, "/assistant", "cut", kill_peer);
    assert_eq!((answer.status, answer.complete), (200, false));
    assert_eq!(fleet.calls_with_label("cut"), 1);
}

#[test]
fn cuts_a_handed_over_stream_whose_endpoint_broke_off_without_framing() {
    // Failure: the end of the peer's answer hides that its endpoint closed the connection.
    let fleet = pressed_fleet();
    let framing = ("stand-in-framing", "close");
    let handed_over = metric(&fleet, "r4", FROM_PEERS);
    let whole = fleet.call("r1", "alpha", "/assistant", &[framing], "whole");
    assert!(whole.complete && whole.text().ends_with("\n\n"));
    let torn = [framing, ("stand-in-fault", "tear")];
    let torn = fleet.call("r1", "alpha", "/assistant", &torn, "torn");
    assert_eq!((torn.status, torn.complete), (200, false));
    assert_eq!(metric(&fleet, "r4", FROM_PEERS), handed_over + 2);
}

/// Guards against a malformed response that reaches the caller as a complete one through a peer.
#[test]
fn refuses_a_malformed_response_to_a_handed_over_request() {
    let raw = Server::start(|mut request| {
        let line = match request.head.header("case") {
            "coding" => "Transfer-Encoding: chunked, gzip",
            "both" => "Content-Length: 3\r\nTransfer-Encoding: chunked",
            _ => "Transfer-Encoding: chunked\r\nConnection: close",
        };
        let head = format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n");
        request.answer((head + "5\r\nhello\r\n0\r\n\r\n").as_bytes())
    });
    let fleet = pressed_fleet_with(raw.address);
    for case in ["coding", "both"] {
        let mut requests = 0;
        // The router serves what its peer has reported no room for.
        call_until_handed_over(&fleet, || {
            requests += 1;
            let answer = fleet.call("r1", "alpha", "/raw", &[("case", case)], "x");
            let seen = (answer.status, answer.outcome(), raw.count("case", case));
            assert_eq!(
                seen,
                (502, "unknown", requests),
                "{case}: {:?}",
                answer.text()
            );
        });
    }
}

/// Guards against a part of a response that looks complete through a peer, since the endpoint has ended
/// its side of the connection in order although it had not got the whole request.
#[test]
fn shows_through_a_peer_that_a_response_was_ended_before_the_upload() {
    let raw = Server::start(|mut request| {
        if request.head.header("case").is_empty() {
            return request.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        }
        let part = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhel";
        request.stream.write_all(part)?;
        request.stream.shutdown(Shutdown::Write)?;
        std::thread::sleep(Duration::from_millis(300));
        Ok(())
    });
    let fleet = pressed_fleet_with(raw.address);
    let body = "x".repeat(1 << 20);
    for n in 0..4 {
        call_until_handed_over(&fleet, || {
            let headers = [("case", &*n.to_string())];
            let answer = fleet.call("r1", "alpha", "/raw", &headers, &body);
            let is_whole = answer.status == 200 && answer.complete;
            assert!(!is_whole, "{n}: {:?}", answer.text());
        });
    }
}

#[test]
fn serves_requests_here_if_the_peer_refuses_connections() {
    // Failure: the peer has just been killed, and its figure is still valid.
    let mut fleet = pressed_fleet();
    let answered = metric(&fleet, "r1", ANSWERED);
    assert!(answered > 0, "no hand-over counts as answered");
    kill_peer(&mut fleet);
    for n in 0..20 {
        let label = format!("here-{n}");
        let headers = [("stand-in-id", label.as_str())];
        let answer = fleet.call("r1", "alpha", "/booking", &headers, "x");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(fleet.calls_with_label(&label), 1);
    }
    // Failure: hand-overs that fail count as served for the limit of what is admitted.
    assert!(metric(&fleet, "r1", FAILED) > 0);
    assert_eq!(metric(&fleet, "r1", ANSWERED), answered);
}

#[test]
fn retries_an_idempotent_request_at_a_frozen_peer() {
    // Failure: the peer is frozen: it takes connections and answers nothing.
    let fleet = pressed_fleet();
    fleet.vm("r4").signal("-STOP");
    let answer = fleet.call("r1", "alpha", "/safe", &[], "x");
    fleet.vm("r4").signal("-CONT");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(metric(&fleet, "r1", FAILED), 1);
}

#[test]
fn two_pressed_routers_pass_nothing_on_to_each_other() {
    // Failure: two flooded routers hand requests over to each other in a loop.
    let fleet = pressed_fleet();
    press(&fleet, "r4", true);
    eventually("both serve their own requests", || {
        let before = metric(&fleet, "r4", FROM_PEERS) + metric(&fleet, "r1", FROM_PEERS);
        for router in ["r1", "r4"] {
            let answer = fleet.call(router, "alpha", "/booking", &[], "x");
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        metric(&fleet, "r4", FROM_PEERS) + metric(&fleet, "r1", FROM_PEERS) == before
    });
}

#[test]
fn does_not_pass_on_a_request_with_a_forged_header() {
    // Failure: a caller sends the header by which a router knows a request of another one.
    let fleet = pressed_fleet();
    let before = metric(&fleet, "r1", HANDED_OVER);
    let forged = [("cowslipford-forwarded", "r9")];
    let answer = fleet.call("r1", "alpha", "/booking", &forged, "x");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(metric(&fleet, "r1", HANDED_OVER), before);
}

#[test]
fn finishes_handed_over_requests_while_the_peer_stops() {
    // Failure: the peer is stopped while it has a stream of another router. It closes at once,
    // since this fleet has no readiness checks; the one request that was sent to it before it was
    // known to be closed is refused there, and the caller's retry is served.
    let mut fleet = pressed_fleet();
    let answer = call_during(&mut fleet, "/assistant", "stop", |fleet| {
        fleet.vm("r4").signal("-TERM");
        let mut refused = 0;
        for _ in 0..40 {
            let answer = fleet.call("r1", "alpha", "/booking", &[], "x");
            match (answer.status, answer.outcome()) {
                (200, _) => {}
                (503, "not-run") => {
                    assert_ne!(answer.header("retry-after"), "", "the peer's is relayed");
                    refused += 1;
                }
                other => panic!("{other:?} {}", answer.text()),
            }
        }
        assert!(refused <= 1, "{refused} requests were refused");
    });
    assert_eq!((answer.status, answer.complete), (200, true));
}

/// Guards against a request that is lost since the router that passed it on and its peer stop in
/// series.
#[test]
fn finishes_handed_over_requests_while_both_routers_stop() {
    let mut fleet = pressed_fleet();
    for (path, label) in [("/booking", "both"), ("/assistant", "both-stream")] {
        let answer = call_during(&mut fleet, path, label, |fleet| {
            fleet.vm("r1").signal("-TERM");
            std::thread::sleep(Duration::from_millis(100));
            fleet.vm("r4").signal("-TERM");
        });
        assert_eq!((answer.status, answer.complete), (200, true), "{path}");
        for vm in ["r1", "r4"] {
            assert!(fleet.vm_mut(vm).wait().success());
            fleet.vm_mut(vm).start();
        }
        fleet.wait_ready();
        press(&fleet, "r1", true);
        wait_for_hand_over(&fleet, "r1", "r4");
    }
}

/// Guards against requests that are lost since their bodies come in while the router that is to pass
/// them on stops.
#[test]
fn hands_over_requests_whose_bodies_come_in_during_a_stop() {
    let mut fleet = pressed_fleet();
    let address = fleet.callers("r1");
    let uploads: Vec<_> = (0..4)
        .map(|n| {
            let lasts = std::time::Duration::from_millis(600 + 300 * n);
            let upload =
                move || Connection::open(address).upload("/booking", &[], Framing::Length, lasts);
            std::thread::spawn(upload)
        })
        .collect();
    eventually("the bodies are coming in", || {
        metric(&fleet, "r1", "cowslipford_work{stage=\"body\"}") == 4
    });
    let before = metric(&fleet, "r4", FROM_PEERS);
    fleet.vm("r1").signal("-TERM");
    for upload in uploads {
        let outcome = upload.join().unwrap();
        assert_eq!(outcome.status(), 200, "{outcome:?}");
    }
    assert!(metric(&fleet, "r4", FROM_PEERS) > before);
    assert!(fleet.vm_mut("r1").wait().success());
}

#[test]
fn cancels_a_request_at_the_peer_when_its_caller_leaves() {
    // Failure: the caller leaves, and the peer goes on with a stream that nobody reads.
    let fleet = pressed_fleet();
    let running = |vm| metric(&fleet, vm, "cowslipford_requests_here ");
    let request = b"POST /assistant HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\n\
        stand-in-tokens: 3000\r\nstand-in-pace: 20\r\nstand-in-id: left\r\ncontent-length: 1\r\n\r\nx";
    let mut stream = std::net::TcpStream::connect(fleet.callers("r1")).unwrap();
    std::io::Write::write_all(&mut stream, request).unwrap();
    eventually("the peer runs the request", || {
        fleet.calls_with_label("left") == 1 && running("r4") == 1
    });
    drop(stream);
    eventually("nobody runs the request", || {
        running("r4") == 0 && running("r1") == 0
    });
}

#[test]
fn claims_an_idempotency_key_once() {
    // Failure: a request and its resend with the same key are served by different routers.
    let fleet = pressed_fleet();
    let headers = [("idempotency-key", "k1"), ("stand-in-id", "key")];
    let first = fleet.call("r1", "alpha", "/booking", &headers, "x");
    press(&fleet, "r1", false);
    let second = fleet.call("r1", "alpha", "/booking", &headers, "x");
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.calls_with_label("key"), 1);
    assert_eq!(first.header("cowslipford-outcome"), "answered");
}

/// Headers of a request that another router accepted under a version of the configuration.
fn forwarded(label: &str, version: &str) -> [(String, String); 3] {
    [
        ("cowslipford-forwarded".to_owned(), "r1".to_owned()),
        (
            "cowslipford-forwarded-version".to_owned(),
            version.to_owned(),
        ),
        ("stand-in-id".to_owned(), label.to_owned()),
    ]
}

/// Sends a request to `r4` as another router does.
fn forward_to_peer(fleet: &Fleet, label: &str, version: &str) -> http::Answer {
    let headers = forwarded(label, version);
    let headers: Vec<(&str, &str)> = (headers.iter())
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .collect();
    fleet.call("r4", "alpha", "/booking", &headers, "x")
}

/// Version of the configuration at a VM.
fn config_version(fleet: &Fleet, vm: &str) -> u64 {
    let status = fleet.vm(vm).status();
    status.map_or(0, |s| s["config-version"].as_u64().unwrap())
}

#[test]
fn a_peer_that_lags_behind_does_not_serve_by_its_configuration() {
    // Failure: the peer does not receive a change that forbids what was allowed, and serves
    // requests of the flooded router that has received it.
    let fleet = pressed_fleet();
    let label = "before";
    let allowed = fleet.call("r1", "alpha", "/booking", &[("stand-in-id", label)], "x");
    assert_eq!(allowed.status, 200);
    fleet.cut("r4", &["c1", "r1", "r2", "r3"], true);
    let text = fleet.configuration();
    let changed = text.replace(
        "[rule booking]\nwhen-path = /booking\nthen = send\nservice = booking\n",
        "[rule booking]\nwhen-path = /booking\nthen = refuse\nreason = not any more\n",
    );
    assert_ne!(text, changed);
    let applied = fleet.apply(&changed, &[]);
    assert!(applied.0.success(), "{}", applied.2);
    eventually("the flooded router has the change", || {
        config_version(&fleet, "r1") > config_version(&fleet, "r4")
    });
    let before = metric(&fleet, "r4", FROM_PEERS);
    for n in 0..30 {
        let label = format!("after-{n}");
        let headers = [("stand-in-id", label.as_str())];
        let answer = fleet.call("r1", "alpha", "/booking", &headers, "x");
        assert_eq!(answer.status, 403, "{}", answer.text());
        assert_eq!(fleet.calls_with_label(&label), 0);
    }
    assert_eq!(metric(&fleet, "r4", FROM_PEERS), before);
    let newer = config_version(&fleet, "r1").to_string();
    let declined = forward_to_peer(&fleet, "declined", &newer);
    assert_eq!((declined.status, declined.outcome()), (503, "not-run"));
    assert_eq!(
        declined.header("cowslipford-declined"),
        "older-configuration"
    );
    assert_eq!(fleet.calls_with_label("declined"), 0);
}

#[test]
fn serves_a_request_here_that_a_restarted_peer_declines() {
    // Failure: the peer has just restarted without a configuration while its last figure is still
    // valid, and its refusal reaches the caller. Control is frozen, so that the peer stays so.
    let mut fleet = pressed_fleet();
    for round in 0.. {
        assert!(
            round < 10,
            "the peer's figure had expired in each of 10 rounds"
        );
        wait_for_hand_over(&fleet, "r1", "r4");
        fleet.vm("c1").signal("-STOP");
        fleet.vm_mut("r4").kill();
        fleet.vm_mut("r4").start();
        eventually("the peer listens", || {
            std::net::TcpStream::connect(fleet.callers("r4")).is_ok()
        });
        for n in 0..5 {
            let label = format!("restarted-{round}-{n}");
            let headers = [("stand-in-id", label.as_str())];
            let answer = fleet.call("r1", "alpha", "/booking", &headers, "x");
            assert_eq!(answer.status, 200, "{}", answer.text());
            assert_eq!(fleet.calls_with_label(&label), 1);
        }
        fleet.vm("c1").signal("-CONT");
        if metric(&fleet, "r1", DECLINED) > 0 {
            break;
        }
    }
    assert_eq!(metric(&fleet, "r1", FAILED), 0);
    wait_for_hand_over(&fleet, "r1", "r4");
}

#[test]
fn declines_or_serves_requests_with_a_forged_version() {
    // Failure: a caller makes a router run a request that it would decline, or keeps a router from
    // handing over, by a version that no router has sent.
    let fleet = pressed_fleet();
    for version in ["18446744073709551615", "x"] {
        let answer = forward_to_peer(&fleet, "forged", version);
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    }
    assert_eq!(fleet.calls_with_label("forged"), 0);
    // Failure: the response tells the caller the version of the configuration.
    let own = config_version(&fleet, "r4");
    let declined = forward_to_peer(&fleet, "forged", "18446744073709551615").text();
    let named = format!("version {own}");
    assert!(!declined.contains(&named), "{declined}");
    // Failure: each of these requests writes a log line.
    eventually("declined requests are not all logged", || {
        for _ in 0..100 {
            forward_to_peer(&fleet, "forged", "18446744073709551615");
        }
        metric(&fleet, "r4", UNLOGGED) > 0
    });
    assert_eq!(forward_to_peer(&fleet, "forged", "0").status, 200);
    let before = metric(&fleet, "r1", HANDED_OVER);
    let alone = [("cowslipford-forwarded-version", "999999")];
    let answer = fleet.call("r1", "alpha", "/booking", &alone, "x");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(metric(&fleet, "r1", HANDED_OVER), before + 1);
}

#[test]
fn a_peer_without_a_recent_proof_refuses_as_it_refuses_callers() {
    // Failure: the peer is cut off from control, and serves requests of others by keys that may
    // have been removed.
    let fleet = Fleet::start(plan("revocation = 5s\n"));
    let version = config_version(&fleet, "r4").to_string();
    fleet.cut("r4", &["c1", "r1", "r2", "r3"], true);
    // The rule's timeout is short, since the peer cannot reach a scheduler either.
    eventually("the peer refuses customers", || {
        let answer = fleet.call("r4", "alpha", "/short", &[], "x");
        answer.text().contains("stale")
    });
    let refused = forward_to_peer(&fleet, "stale", &version);
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(refused.header("retry-after"), "1");
    assert_eq!(refused.header("cowslipford-declined"), "");
    assert_eq!(fleet.calls_with_label("stale"), 0);
}

/// Calls through a router, one after the other until they are ended, each with a label of its own.
struct Labelled {
    stop: std::sync::Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<(String, u16, String)>>>,
}

impl Labelled {
    fn start(fleet: &Fleet, router: &str, callers: usize) -> Self {
        let stop: std::sync::Arc<AtomicBool> = std::sync::Arc::default();
        let address = fleet.callers(router);
        let threads = (0..callers).map(|caller| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let label = format!("labelled-{caller}-{}", answers.len());
                    let headers = [("stand-in-id", label.as_str())];
                    let answer = http::send(address, "POST", "/booking", "beta", &headers, "x");
                    let outcome = answer.outcome().to_owned();
                    answers.push((label, answer.status, outcome));
                    std::thread::sleep(Duration::from_millis(20));
                }
                answers
            })
        });
        let threads = threads.collect();
        Labelled { stop, threads }
    }

    /// Ends the calls; returns the label, status and outcome of each.
    fn end(self) -> Vec<(String, u16, String)> {
        self.stop.store(true, Ordering::Relaxed);
        let answers = self.threads.into_iter().flat_map(|t| t.join().unwrap());
        answers.collect()
    }
}

#[test]
fn works_alone_while_the_vm_of_the_scheduler_is_lost() {
    // Failure: the VM of the only scheduler is killed while a router hands over. Nobody tells the
    // router of its peers any more, and requests in progress at a peer have lost their scheduler.
    // `r2` and `r5` are in one data centre; the scheduler is at `r1`, in another one.
    let mut fleet = Fleet::start(Plan {
        routers: 5,
        schedulers: 1,
        ..plan("")
    });
    assert_eq!(fleet.scheduler(), "r1");
    press(&fleet, "r2", true);
    wait_for_hand_over(&fleet, "r2", "r5");
    let calls = Labelled::start(&fleet, "r2", 4);
    let handed_over = |fleet: &Fleet| metric(fleet, "r2", HANDED_OVER);
    let begun = handed_over(&fleet);
    eventually("the calls are handed over", || {
        handed_over(&fleet) > begun + 20
    });
    let stream = call_at_during(&mut fleet, "r2", "/assistant", "stream", |fleet| {
        fleet.vm_mut("r1").kill();
        // Figures of peers are valid for a second.
        std::thread::sleep(Duration::from_millis(1200));
        let before = handed_over(fleet);
        let open = metric(fleet, "r5", "cowslipford_requests_here ");
        assert!(open >= 1, "the stream is still in progress at the peer");
        for _ in 0..20 {
            fleet.call("r2", "alpha", "/booking", &[], "x");
        }
        assert_eq!(handed_over(fleet), before);
    });
    assert_eq!((stream.status, stream.complete), (200, true));
    assert_eq!(fleet.calls_with_label("stream"), 1);
    let before = handed_over(&fleet);
    eventually("the router serves alone", || {
        fleet.call("r2", "alpha", "/booking", &[], "x").status == 200
    });
    assert_eq!(handed_over(&fleet), before);
    fleet.vm_mut("r1").start();
    wait_for_hand_over(&fleet, "r2", "r5");
    let answers = calls.end();
    let mut served = 0;
    for (label, status, outcome) in &answers {
        let runs = fleet.calls_with_label(label);
        match (status, outcome.as_str()) {
            (200, "answered") => assert_eq!(runs, 1, "{label}"),
            (_, "not-run") => assert_eq!(runs, 0, "{label}"),
            _ => assert!(runs <= 1, "{label} {status} {outcome} ran {runs} times"),
        }
        served += usize::from(*status == 200);
    }
    let others = answers.iter().filter(|(_, status, _)| *status != 200);
    let others: Vec<_> = others.collect();
    assert!(served > others.len(), "{served} served, {others:?}");
    assert!(
        others.iter().all(|(_, _, outcome)| outcome == "not-run"),
        "{others:?}"
    );
    assert_eq!(metric(&fleet, "r2", FAILED), 0);
}

/// Opens a stream through `r1` that its caller does not read.
fn unread_stream(fleet: &Fleet, label: &str, headers: &str) -> std::net::TcpStream {
    let request = format!(
        "POST /assistant HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\n\
         stand-in-id: {label}\r\n{headers}content-length: 1\r\n\r\nx"
    );
    let mut stream = std::net::TcpStream::connect(fleet.callers("r1")).unwrap();
    std::io::Write::write_all(&mut stream, request.as_bytes()).unwrap();
    stream
}

#[test]
fn a_slow_caller_stops_its_own_stream_only() {
    // Failure: a caller does not read its stream, and the router that passed the request on buffers
    // all of it, or holds up the streams of others.
    let fleet = pressed_fleet();
    let before = fleet.vm("r1").peak_memory();
    let endless = "stand-in-tokens: 2000000\r\nstand-in-pace: 0\r\n";
    let unread: Vec<_> = (0..2)
        .map(|n| unread_stream(&fleet, &format!("unread-{n}"), endless))
        .collect();
    eventually("the peer has the streams", || {
        metric(&fleet, "r4", "cowslipford_requests_here ") == 2
    });
    std::thread::sleep(Duration::from_secs(3));
    let headers = [("stand-in-tokens", "50"), ("stand-in-pace", "20")];
    let other = fleet.call("r1", "beta", "/assistant", &headers, "x");
    assert_eq!((other.status, other.complete), (200, true));
    let grown = fleet.vm("r1").peak_memory().saturating_sub(before);
    assert!(grown < 8 << 20, "the router has grown by {grown} bytes");
    // The gauge is set once a second.
    eventually("the unread streams are still at the peer", || {
        metric(&fleet, "r1", AT_PEERS) == 2
    });
    drop(unread);
    eventually("no request is at a peer", || {
        metric(&fleet, "r1", AT_PEERS) == 0
    });
}

#[test]
fn passes_all_events_of_an_interval_on_together() {
    // Failure: events of a relayed stream are read one at a time, so that each interval puts the
    // stream further behind: it would take eight times as long as at the peer.
    let fleet = pressed_fleet();
    let headers = [("stand-in-tokens", "200"), ("stand-in-pace", "10")];
    let took = |router| {
        let began = std::time::Instant::now();
        let answer = fleet.call(router, "alpha", "/assistant", &headers, "x");
        assert_eq!((answer.status, answer.complete), (200, true));
        (began.elapsed(), answer.body)
    };
    let (at_the_peer, expected) = took("r4");
    let before = metric(&fleet, "r1", HANDED_OVER);
    let (relayed, body) = took("r1");
    assert_eq!(metric(&fleet, "r1", HANDED_OVER), before + 1);
    assert_eq!(body, expected);
    assert!(relayed < at_the_peer * 4, "{relayed:?}, {at_the_peer:?}");
}
