//! Evacuation of data centres in a fleet of processes.

mod harness;

use harness::{eventually, http, Fleet, Plan, OPERATOR_KEY};

/// A fleet with one endpoint in each of two data centres.
fn fleet() -> Fleet {
    let fleet = Fleet::start(Plan {
        control: 3,
        routers: 2,
        models: 2,
        plain_services: 0,
        ..Plan::default()
    });
    let text = fleet.configuration();
    let (first, second) = text
        .split_once("[endpoint assistant-2]")
        .unwrap_or_default();
    let second = second.replacen("dc-1", "dc-2", 1);
    let (status, _, error) = fleet.apply(&format!("{first}[endpoint assistant-2]{second}"), &[]);
    assert!(status.success(), "{error}");
    fleet.wait_version(fleet.version());
    fleet
}

/// Runs the command `evacuate` against a VM; returns its exit code.
fn evacuate(fleet: &Fleet, vm: &str, args: &[&str]) -> Option<i32> {
    let operators = fleet.vm(vm).operators.to_string();
    let all: Vec<&str> = args
        .iter()
        .copied()
        .chain(["--operators", &operators])
        .collect();
    harness::run(&["evacuate"], &all).0.code()
}

/// Number of calls that have reached a stand-in.
fn calls(fleet: &Fleet, endpoint: &str) -> u64 {
    fleet.counts(endpoint)["calls"].as_u64().unwrap_or(0)
}

/// Whether the status of a VM lists a data centre as evacuated.
fn is_shown(fleet: &Fleet, vm: &str, data_centre: &str) -> bool {
    let status = fleet.vm(vm).status().unwrap_or_default();
    let shown = status["evacuated"].as_array();
    shown.is_some_and(|all| all.iter().any(|name| name == data_centre))
}

/// Sends twenty requests through the routers in turn; each must be served.
fn send(fleet: &Fleet) {
    for turn in 0..20 {
        let router = format!("r{}", 1 + turn % 2);
        let answer = fleet.call(&router, "alpha", "/assistant", &[], "hello");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Guards against requests that reach an evacuated data centre, and against a data centre that
/// gets no requests after the end of its evacuation.
#[test]
fn can_evacuate_a_data_centre_and_use_it_again() {
    let fleet = fleet();
    assert_eq!(evacuate(&fleet, "r1", &["dc-2"]), Some(0));
    assert_eq!(
        evacuate(&fleet, "c1", &["dc-2"]),
        Some(0),
        "a repeated command failed"
    );
    for vm in ["r1", "r2"] {
        eventually("the evacuation is shown", || is_shown(&fleet, vm, "dc-2"));
    }
    let before = calls(&fleet, "assistant-2");
    send(&fleet);
    assert_eq!(calls(&fleet, "assistant-2"), before);
    assert_eq!(evacuate(&fleet, "r2", &["dc-2", "--end"]), Some(0));
    assert_eq!(evacuate(&fleet, "c2", &["dc-1"]), Some(0));
    for vm in ["r1", "r2"] {
        eventually("only the other evacuation is shown", || {
            is_shown(&fleet, vm, "dc-1") && !is_shown(&fleet, vm, "dc-2")
        });
    }
    let before_other = calls(&fleet, "assistant-1");
    send(&fleet);
    assert_eq!(calls(&fleet, "assistant-1"), before_other);
    assert_eq!(calls(&fleet, "assistant-2"), before + 20);
}

/// Guards against an acknowledged evacuation that is lost when all processes are killed.
#[test]
fn can_keep_an_evacuation_through_the_loss_of_all_processes() {
    let mut fleet = fleet();
    assert_eq!(evacuate(&fleet, "r1", &["dc-2"]), Some(0));
    for vm in &mut fleet.vms {
        vm.kill();
    }
    for vm in &mut fleet.vms {
        vm.start();
    }
    fleet.wait_ready();
    let before = calls(&fleet, "assistant-2");
    for vm in ["r1", "r2"] {
        eventually("the evacuation is shown", || is_shown(&fleet, vm, "dc-2"));
    }
    eventually("a router serves requests", || {
        fleet.call("r1", "alpha", "/assistant", &[], "hello").status == 200
    });
    send(&fleet);
    assert_eq!(calls(&fleet, "assistant-2"), before);
}

/// Guards against accepting the evacuation of a data centre that does not exist.
#[test]
fn can_refuse_to_evacuate_an_unknown_data_centre() {
    let fleet = fleet();
    let version = fleet.version();
    assert_eq!(evacuate(&fleet, "r1", &["dc-9"]), Some(2));
    assert_eq!(evacuate(&fleet, "r1", &["No Such"]), Some(2));
    assert_eq!(fleet.version(), version);
}

/// Guards against an order that is refused for good by a process that has just started, and knows no
/// data centre yet.
#[test]
fn can_ask_to_repeat_an_order_before_the_data_centres_are_known() {
    let mut fleet = fleet();
    for vm in ["c1", "c2", "c3", "r1"] {
        fleet.vm_mut(vm).kill();
    }
    fleet.vm_mut("r1").start();
    let operators = fleet.vm("r1").operators;
    eventually("the process listens", || {
        http::try_get(operators, "/ready", "").is_some()
    });
    let path = "/evacuation?data-centre=dc-2";
    let answer = http::send(operators, "POST", path, OPERATOR_KEY, &[], "");
    assert_eq!(answer.status, 503, "{}", answer.text());
}

/// Guards against an order that is refused for good by a process that is cut off, and has not learned
/// of a new data centre.
#[test]
fn can_ask_to_repeat_an_order_for_a_data_centre_that_a_process_has_missed() {
    let fleet = fleet();
    fleet.cut("r1", &["c1", "c2", "c3", "r2"], true);
    let (status, _, error) = fleet.apply(&fleet.configuration().replace("dc-1", "dc-3"), &[]);
    assert!(status.success(), "{error}");
    let operators = fleet.vm("r1").operators;
    let order = || {
        let path = "/evacuation?data-centre=dc-3";
        http::send(operators, "POST", path, OPERATOR_KEY, &[], "")
    };
    let answer = order();
    assert_eq!(answer.status, 503, "{}", answer.text());
    fleet.cut("r1", &[], true);
    eventually("the order is accepted", || order().status == 200);
}

/// Guards against requests that are queued until their deadline while all data centres are
/// evacuated.
#[test]
fn can_refuse_at_once_while_all_data_centres_are_evacuated() {
    let fleet = fleet();
    assert_eq!(evacuate(&fleet, "r1", &["dc-1"]), Some(0));
    assert_eq!(evacuate(&fleet, "r1", &["dc-2"]), Some(0));
    for vm in ["r1", "r2"] {
        eventually("both evacuations are shown", || {
            is_shown(&fleet, vm, "dc-1") && is_shown(&fleet, vm, "dc-2")
        });
        let answer = fleet.call(vm, "alpha", "/assistant", &[], "hello");
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert!(answer.text().contains("no-endpoint"), "{answer:?}");
        assert_eq!(answer.header("retry-after"), "1");
    }
}

/// Guards against HTTP requests that are misinterpreted, and refused ones that have an effect.
#[test]
fn can_evacuate_a_data_centre_by_http() {
    let mut fleet = Fleet::start_unconfigured(Plan {
        control: 1,
        routers: 1,
        ..Plan::default()
    });
    let releases = fleet.fresh_address();
    let settings = fleet.vm("c1").settings.clone();
    let mut text = std::fs::read_to_string(&settings).unwrap_or_default();
    text.push_str(&format!("[releases]\nlisten = {releases}\n"));
    std::fs::write(&settings, text).expect("settings are written");
    fleet.vm_mut("c1").kill();
    fleet.vm_mut("c1").start();
    fleet.wait_ready();
    let operators = fleet.vm("c1").operators;
    let call = |to, method: &str, path: &str, body: &str| {
        http::send(to, method, path, OPERATOR_KEY, &[], body).status
    };
    eventually("an evacuation is accepted", || {
        call(releases, "POST", "/evacuation/dc-1", "") == 200
    });
    assert!(is_shown(&fleet, "c1", "dc-1"));
    assert_eq!(call(releases, "POST", "/evacuation/dc-9", ""), 404);
    assert_eq!(call(releases, "PUT", "/evacuation/dc-1", ""), 405);
    assert_eq!(call(releases, "DELETE", "/evacuation/dc-1", "{}"), 400);
    assert!(
        is_shown(&fleet, "c1", "dc-1"),
        "a refused request ended the evacuation"
    );
    assert_eq!(call(releases, "DELETE", "/evacuation/dc-1", ""), 200);
    assert!(!is_shown(&fleet, "c1", "dc-1"));
    assert_eq!(
        call(operators, "POST", "/evacuation?data-centre=dc-1", ""),
        200
    );
    assert_eq!(
        call(operators, "DELETE", "/evacuation?data-centre=dc-1", ""),
        200
    );
    assert_eq!(call(operators, "POST", "/evacuation", ""), 422);
}
