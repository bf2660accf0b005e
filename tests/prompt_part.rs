//! Quarantine of parts of prompts that crash the endpoints that answer requests with them.

mod harness;

use harness::http::{self, Answer};
use harness::{eventually, Fleet, Plan, SetOnDrop};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
    send_to(fleet.callers(router), customer, parts, label)
}

fn send_to(router: SocketAddr, customer: &str, parts: &[&str], label: &str) -> Answer {
    let unique: u32 = rand::random();
    let shared: String = parts.iter().map(|part| format!("{part}:64,")).collect();
    let parts = format!("{shared}{unique:x}:16");
    let headers = [
        ("cowslipford-prompt-parts", parts.as_str()),
        ("stand-in-id", label),
    ];
    http::send(router, "POST", "/assistant", customer, &headers, &parts)
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

/// Guards against a quarantine, or counts of crashes, that are lost with the leader or with a
/// router, and against a router that joins and does not know them.
#[test]
fn can_keep_a_part_quarantined_through_the_loss_of_the_leader_and_of_a_router() {
    let mut fleet = fleet();
    while fleet.recorded_calls(LABEL) < 2 {
        crash(&mut fleet, "r1", "alpha");
    }
    let leader = fleet.leader();
    fleet.vm_mut(&leader).kill();
    fleet.leader();
    crash_until(&mut fleet, CRASHES_TO_KNOW);
    std::thread::sleep(PROPAGATION_TIME);
    fleet.vm_mut("r1").kill();
    fleet.vm_mut("r1").start();
    eventually("the router is ready again", || fleet.vm("r1").is_ready());
    let before = fleet.recorded_calls(LABEL);
    for router in ["r1", "r2", "r3"] {
        assert!(is_refused(&crash(&mut fleet, router, "alpha")));
    }
    assert_eq!(fleet.recorded_calls(LABEL), before);
}

/// Guards against a router that, without control VMs, goes on sending a part that it has itself
/// seen crash endpoints.
#[test]
fn can_quarantine_a_part_without_control() {
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        models: 3,
        model_args: &["--crash-part", DEADLY_PART],
        ..Plan::default()
    });
    fleet.vm_mut("c1").kill();
    eventually("the part is refused", || {
        is_refused(&crash(&mut fleet, "r1", "alpha"))
    });
    assert!(fleet.recorded_calls(LABEL) <= CRASHES_TO_KNOW);
}

/// Guards against a customer that has a part refused to others, by sending it beside one that
/// crashes endpoints.
#[test]
fn can_serve_a_part_that_another_customer_has_brought_under_suspicion() {
    let mut fleet = fleet();
    let attack = |fleet: &mut Fleet| {
        let answer = send(fleet, "r1", "alpha", &[DEADLY_PART, "b2"], LABEL);
        std::thread::sleep(Duration::from_millis(100));
        fleet.restart_crashed();
        answer
    };
    eventually("the part is refused", || is_refused(&attack(&mut fleet)));
    for router in ["r1", "r2", "r3"] {
        let answer = send(&fleet, router, "beta", &["b2"], "sound");
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
    }
}

/// Guards against a quarantine that operators cannot see or end.
#[test]
fn can_release_a_part_by_command() {
    let mut fleet = fleet();
    crash_until(&mut fleet, CRASHES_TO_KNOW);
    let mut shown = (String::new(), serde_json::Value::Null);
    eventually("the quarantine is shown", || {
        let status = fleet.vm("r2").status().unwrap_or_default();
        let parts = status["quarantined-parts"].as_object().cloned();
        let first = parts.and_then(|parts| parts.into_iter().next());
        shown = first.unwrap_or_default();
        !shown.0.is_empty()
    });
    assert_eq!(shown.1["part"].as_str(), Some(DEADLY_PART));
    let operators = fleet.vm("r1").operators.to_string();
    let args = ["unquarantine", &shown.0, "--operators", &operators];
    let (status, _, error) = harness::run(&args, &[] as &[&str]);
    assert!(status.success(), "{error}");
    let before = fleet.recorded_calls(LABEL);
    eventually("requests with the part are sent again", || {
        crash(&mut fleet, "r1", "alpha");
        fleet.recorded_calls(LABEL) > before
    });
    crash_until(&mut fleet, before + CRASHES_TO_KNOW);
    eventually("the part is refused again", || {
        is_refused(&crash(&mut fleet, "r2", "alpha"))
    });
}

/// Guards against the quarantine of parts that all requests share, which are in progress on every
/// endpoint that crashes for another reason.
#[test]
fn can_serve_shared_parts_through_a_series_of_crashes() {
    let mut fleet = fleet();
    let routers: Vec<SocketAddr> = ["r1", "r2", "r3"].map(|r| fleet.callers(r)).to_vec();
    let (stop, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        let _set_on_drop = SetOnDrop(&stop);
        for caller in 0..9 {
            let router = routers[caller % routers.len()];
            let (stop, served) = (&stop, &served);
            scope.spawn(move || {
                let session = format!("c{caller}");
                while !stop.load(Ordering::Relaxed) {
                    let parts = ["a1", "b2", session.as_str()];
                    let answer = send_to(router, "alpha", &parts, "popular");
                    assert!(!answer.text().contains("quarantined"), "{answer:?}");
                    let is_whole = answer.status == 200 && answer.complete;
                    served.fetch_add(usize::from(is_whole), Ordering::Relaxed);
                }
            });
        }
        fleet.kill_models_in_turn(24);
    });
    println!("served {served:?}");
    assert!(served.load(Ordering::Relaxed) > 0);
}

/// What is lost while the part crashes endpoints.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Nothing,
    Leader,
    Router,
    /// The links of a router to the control VMs.
    Links,
    /// Endpoints, killed in turn beside those that the part crashes.
    Endpoints,
}

/// Requests with the part that have reached endpoints from these routers.
fn deadly_calls(fleet: &Fleet, routers: &[&str]) -> usize {
    let labels = routers.iter().map(|router| format!("{LABEL}-{router}"));
    labels.map(|label| fleet.recorded_calls(&label)).sum()
}

/// Guards against a part that goes on crashing endpoints at thirty requests a second at all routers at
/// once, while something else is lost, and against sound requests, with parts that are new, that are
/// refused or not served after it.
#[rstest]
#[case::nothing(Loss::Nothing)]
#[case::leader(Loss::Leader)]
#[case::router(Loss::Router)]
#[case::links(Loss::Links)]
#[case::endpoints(Loss::Endpoints)]
fn can_stop_a_part_at_thirty_requests_a_second(#[case] loss: Loss) {
    let mut fleet = fleet();
    let names = ["r1", "r2", "r3"];
    let routers = names.map(|r| (r, fleet.callers(r)));
    // A router without links to the control VMs knows no more than it sees itself.
    let in_touch = match loss {
        Loss::Links => &names[1..],
        _ => &names[..],
    };
    let (stop, has_settled) = (AtomicBool::new(false), AtomicBool::new(false));
    let (sound, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let (total, later) = std::thread::scope(|scope| {
        let _set_on_drop = SetOnDrop(&stop);
        for (caller, customer) in (0..9).zip(["alpha", "beta", "gamma"].into_iter().cycle()) {
            let (router, address) = routers[caller / 3];
            let (stop, has_settled) = (&stop, &has_settled);
            let (sound, served) = (&sound, &served);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let label = format!("{LABEL}-{router}");
                    send_to(address, customer, &["a1", DEADLY_PART], &label);
                    std::thread::sleep(Duration::from_millis(280));
                }
            });
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let is_settled = has_settled.load(Ordering::Relaxed);
                    let new: u32 = rand::random();
                    let parts = ["a1", &format!("{new:x}")];
                    let answer = send_to(address, customer, &parts, "sound");
                    if is_settled {
                        assert!(!answer.text().contains("quarantined"), "{answer:?}");
                        sound.fetch_add(1, Ordering::Relaxed);
                        let is_whole = answer.status == 200 && answer.complete;
                        served.fetch_add(usize::from(is_whole), Ordering::Relaxed);
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
        eventually("the part has crashed an endpoint", || {
            fleet.restart_crashed() > 0
        });
        match loss {
            Loss::Nothing => {}
            Loss::Leader => {
                let leader = fleet.leader();
                fleet.vm_mut(&leader).kill();
            }
            Loss::Router => {
                fleet.vm_mut("r1").kill();
                fleet.vm_mut("r1").start();
            }
            Loss::Links => fleet.cut("r1", &["c1", "c2", "c3", "r2", "r3"], false),
            Loss::Endpoints => fleet.kill_models_in_turn(8),
        }
        let disturbed = Instant::now();
        let mut fifth = None;
        while disturbed.elapsed() < 2 * PROPAGATION_TIME {
            fleet.restart_crashed();
            if deadly_calls(&fleet, in_touch) >= CRASHES_TO_KNOW {
                fifth.get_or_insert_with(Instant::now);
            }
            if fifth.is_some_and(|at| at.elapsed() >= PROPAGATION_TIME) {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        // Of a router or leader that was lost too late, the same time holds.
        std::thread::sleep(PROPAGATION_TIME.saturating_sub(disturbed.elapsed()));
        let known = deadly_calls(&fleet, in_touch);
        has_settled.store(true, Ordering::Relaxed);
        let settled = Instant::now();
        while settled.elapsed() < 2 * PROPAGATION_TIME {
            fleet.restart_crashed();
            std::thread::sleep(Duration::from_millis(20));
        }
        (
            deadly_calls(&fleet, &names),
            deadly_calls(&fleet, in_touch) - known,
        )
    });
    println!(
        "{loss:?}: {total} requests with the part, {later} later; {served:?} of {sound:?} sound"
    );
    assert!(later <= MAX_LATER_CALLS, "{later} requests after it");
    let (sound, served) = (sound.into_inner(), served.into_inner());
    assert!(sound >= 20 && 2 * served >= sound, "{served} of {sound}");
}
