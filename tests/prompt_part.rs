//! Quarantine of parts of prompts that crash the endpoints that answer requests with them.

mod harness;

use harness::http::{self, Answer};
use harness::{eventually, Fleet, Plan};
use std::time::{Duration, Instant};

/// Crashes after which the part must be refused, once the routers have had time to learn of them.
const CRASHES_TO_KNOW: usize = 5;
/// Time in which all routers must learn of them.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may still reach endpoints after that.
const MAX_LATER_CALLS: usize = 3;

/// The part that crashes endpoints.
const DEADLY_PART: &str = "5c1e07a2";
/// Label by which stand-ins record the requests with that part.
const LABEL: &str = "deadly";

/// A fleet of three routers with four model engines.
fn fleet() -> Fleet {
    Fleet::start(Plan {
        control: 3,
        routers: 3,
        models: 4,
        model_args: &["--crash-part", DEADLY_PART],
        ..Plan::default()
    })
}

/// A request with a body and a last part of its own, which shares `parts` with others.
fn send(fleet: &Fleet, router: &str, customer: &str, parts: &[&str], label: &str) -> Answer {
    let unique: u32 = rand::random();
    let shared: String = parts.iter().map(|part| format!("{part}:64,")).collect();
    let parts = format!("{shared}{unique:x}:16");
    let headers = [
        ("cowslipford-prompt-parts", parts.as_str()),
        ("stand-in-id", label),
    ];
    fleet.call(router, customer, "/assistant", &headers, &parts)
}

/// Sends a request with the deadly part, and restarts crashed endpoints.
fn crash(fleet: &mut Fleet, router: &str, customer: &str) -> Answer {
    let answer = send(fleet, router, customer, &["a1", DEADLY_PART], LABEL);
    if !answer.complete || answer.status == 502 {
        // The sockets of a crashed process close before its exit can be observed.
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.restart_crashed();
    answer
}

/// Sends requests with the deadly part through all routers, for two customers in turn, until they
/// have reached endpoints `reached` times or are refused everywhere.
fn crash_until(fleet: &mut Fleet, reached: usize) {
    let mut turn = 0;
    eventually("endpoints have crashed, or the part is refused", || {
        let customer = ["alpha", "beta"][turn / 3 % 2];
        let refused = (1..=3).all(|n| is_refused(&crash(fleet, &format!("r{n}"), customer)));
        turn += 3;
        refused || fleet.recorded_calls(LABEL) >= reached
    });
}

fn is_refused(answer: &Answer) -> bool {
    answer.status == 502 && answer.text().contains("\"quarantined\"")
}

/// Guards against requests that share a deadly part of their prompts, no two alike, and crash one
/// endpoint after the other.
#[test]
fn can_stop_a_prompt_part_that_crashes_endpoints() {
    let mut fleet = fleet();
    crash_until(&mut fleet, CRASHES_TO_KNOW);
    std::thread::sleep(PROPAGATION_TIME);
    let before = fleet.recorded_calls(LABEL);
    for turn in 0..12 {
        crash(&mut fleet, &format!("r{}", 1 + turn % 3), "alpha");
    }
    let later = fleet.recorded_calls(LABEL) - before;
    assert!(
        later <= MAX_LATER_CALLS,
        "requests with the part reached endpoints {later} more times"
    );
}

/// Guards against a quarantine that also refuses sound requests of the same key, path and other
/// parts of the prompt.
#[test]
fn can_serve_requests_that_share_all_but_the_deadly_part() {
    let mut fleet = fleet();
    crash_until(&mut fleet, CRASHES_TO_KNOW);
    eventually("the part is refused", || {
        is_refused(&crash(&mut fleet, "r1", "alpha"))
    });
    let began = Instant::now();
    for turn in 0..30 {
        let router = format!("r{}", 1 + turn % 3);
        let answer = send(&fleet, &router, "alpha", &["a1", "b2"], "sound");
        assert!(
            answer.status == 200 && answer.complete,
            "after {:?}: {answer:?}",
            began.elapsed()
        );
    }
    assert_eq!(fleet.recorded_calls("sound"), 30);
    let plain = http::get(fleet.callers("r2"), "/assistant", "alpha");
    assert_eq!(plain.status, 200);
}
