//! Configurations of many rules that change often, with real processes.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{eventually, http, Fleet, Plan, OPERATOR_KEY};
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Rules of the configuration. With them a change of all rules takes some 220 kB.
const RULES: usize = 1700;
/// Time within which an accepted version is in force on all VMs.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Memory of the smallest VM that is planned for.
const MEMORY_BYTES: u64 = 64_000_000;

/// One control VM and three routers.
fn small() -> Plan {
    Plan {
        control: 1,
        routers: 3,
        ..Plan::default()
    }
}

/// A fleet whose configuration has many rules.
struct Changing {
    fleet: Fleet,
    /// Number of changes so far.
    changes: u64,
    /// Version at which the last change was accepted.
    version: u64,
}

impl Changing {
    fn start(plan: Plan) -> Self {
        let fleet = Fleet::start(Plan {
            models: 1,
            plain_services: 0,
            ..plan
        });
        let config = http::get(fleet.vm("c1").operators, "/config", OPERATOR_KEY);
        let version = config.header("cowslipford-version").parse().unwrap();
        Changing {
            fleet,
            changes: 0,
            version,
        }
    }

    /// The configuration of the fleet and many rules, all with the same timeout.
    fn text(&self, rules: usize, timeout_ms: u64) -> String {
        let mut text = self.fleet.configuration();
        for n in 0..rules {
            write!(
                text,
                "[rule company-{n:04}-trainer-availability]\n\
                 when-host = gym-{n:04}.booking.companies.example\n\
                 when-path = /v1/gyms/{n:04}/trainer-availability/\n\
                 then = send\nservice = assistant\ntimeout = {timeout_ms}ms\n"
            )
            .unwrap();
        }
        text
    }

    /// Changes the timeout of all rules.
    fn change(&mut self) {
        let answer = self.send(RULES);
        assert_eq!(answer.status, 200, "{}", answer.text());
        self.set_version(&answer);
    }

    /// Takes the version at which a change was accepted from its answer.
    fn set_version(&mut self, answer: &http::Answer) {
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        self.version = body["version"].as_u64().unwrap();
    }

    /// Sends a configuration of this many rules, with another timeout for all.
    fn send(&mut self, rules: usize) -> http::Answer {
        self.changes += 1;
        let text = self.text(rules, 10_000 + self.changes);
        let path = format!("/config?id=c{:x}&base={}", self.changes, self.version);
        let vm = self.fleet.vms.iter().find(|vm| vm.is_live()).unwrap();
        http::send(vm.operators, "POST", &path, OPERATOR_KEY, &[], &text)
    }

    /// Checks that the last change is in force on a VM within the time that is promised.
    fn check_in_force(&self, vm: &str) {
        let began = Instant::now();
        let version = || self.fleet.vm(vm).status()?["version"].as_u64();
        while version() < Some(self.version) {
            assert!(
                began.elapsed() < IN_FORCE,
                "{vm} has version {:?} instead of {}",
                version(),
                self.version
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Guards against a router that is never sent more steps than fit into one message.
#[test]
fn a_router_started_anew_gets_many_long_changes() {
    let mut changing = Changing::start(small());
    for _ in 0..40 {
        changing.change();
    }
    changing.fleet.vm_mut("r3").kill();
    changing.fleet.vm_mut("r3").start();
    let is_ready = || changing.fleet.vm("r3").is_ready();
    eventually("the router is ready", is_ready);
    for vm in ["r1", "r2", "r3"] {
        changing.check_in_force(vm);
    }
}

/// Guards against a router that stays behind after a pause in which more steps came than fit into
/// one message.
#[test]
fn a_router_that_stood_still_gets_many_long_changes() {
    let mut changing = Changing::start(small());
    changing.change();
    changing.fleet.vm("r2").signal("-STOP");
    for _ in 0..40 {
        changing.change();
    }
    changing.fleet.vm("r2").signal("-CONT");
    // The link is opened again first.
    std::thread::sleep(Duration::from_secs(1));
    for vm in ["r1", "r2", "r3"] {
        changing.check_in_force(vm);
    }
}

/// Guards against a router that falls further behind since it acts on every version that it has
/// missed, one after the other.
#[test]
fn a_late_router_skips_versions_that_are_no_longer_in_force() {
    let mut changing = Changing::start(Plan {
        link_keys: "idle = 20s\n".to_owned(),
        ..small()
    });
    let versions = |changing: &Changing| {
        let log = changing.fleet.vm("r2").log();
        log.matches("version-in-force").count()
    };
    changing.change();
    changing.check_in_force("r2");
    let before = versions(&changing);
    changing.fleet.vm("r2").signal("-STOP");
    for _ in 0..20 {
        changing.change();
    }
    changing.fleet.vm("r2").signal("-CONT");
    changing.check_in_force("r2");
    assert!(versions(&changing) < before + 20);
}

/// Guards against memory that grows with the number of changes, and against routers that fall behind
/// while it does.
#[test]
fn memory_does_not_grow_with_the_number_of_long_changes() {
    let mut changing = Changing::start(small());
    for _ in 0..150 {
        changing.change();
    }
    for vm in ["r1", "r2", "r3"] {
        changing.check_in_force(vm);
    }
    for vm in &changing.fleet.vms {
        let bytes = vm.peak_memory();
        assert!(bytes < MEMORY_BYTES, "{} took {bytes} bytes", vm.name);
    }
}

/// Guards against routers below a router that are fed nothing more once it has missed versions, and
/// against a parent that takes the memory of its VM while all of its routers begin at once.
#[test]
fn routers_that_start_at_once_below_others_get_many_long_changes() {
    let mut changing = Changing::start(Plan {
        control: 1,
        routers: 8,
        control_keys: "fanout = 1".to_owned(),
        settings: "[router]\nfanout = 2\n".to_owned(),
        ..Plan::default()
    });
    for _ in 0..20 {
        changing.change();
    }
    let routers = ["r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"];
    for vm in routers {
        changing.fleet.vm_mut(vm).kill();
    }
    for vm in routers {
        changing.fleet.vm_mut(vm).start();
    }
    changing.change();
    changing.fleet.wait_ready();
    for vm in routers {
        changing.check_in_force(vm);
    }
    for vm in routers.iter().take(4) {
        changing.fleet.vm(vm).signal("-STOP");
    }
    for _ in 0..20 {
        changing.change();
    }
    for vm in routers.iter().take(4) {
        changing.fleet.vm(vm).signal("-CONT");
    }
    changing.fleet.wait_ready();
    std::thread::sleep(Duration::from_secs(4));
    for vm in routers {
        changing.check_in_force(vm);
    }
    for vm in &changing.fleet.vms {
        let bytes = vm.peak_memory();
        assert!(bytes < MEMORY_BYTES, "{} took {bytes} bytes", vm.name);
    }
}

/// Guards against control VMs whose memory grows while another one takes nothing, and against one
/// that stays behind after it stood still, or has lost its disk.
#[test]
fn a_control_vm_that_was_away_gets_many_long_changes() {
    let mut changing = Changing::start(Plan {
        control: 3,
        routers: 1,
        ..Plan::default()
    });
    let leader = changing.fleet.leader();
    let others: Vec<&str> = ["c1", "c2", "c3"]
        .into_iter()
        .filter(|vm| **vm != *leader)
        .collect();
    changing.fleet.vm(others[1]).signal("-STOP");
    for _ in 0..40 {
        changing.change();
    }
    changing.fleet.vm(others[1]).signal("-CONT");
    std::thread::sleep(Duration::from_secs(2));
    for vm in ["c1", "c2", "c3", "r1"] {
        changing.check_in_force(vm);
    }
    changing.fleet.vm_mut(others[0]).kill();
    changing.fleet.vm(others[0]).wipe();
    for _ in 0..20 {
        changing.change();
    }
    changing.fleet.vm_mut(others[0]).start();
    eventually("the new disk is ready", || {
        changing.fleet.vm(others[0]).is_ready()
    });
    for vm in ["c1", "c2", "c3", "r1"] {
        changing.check_in_force(vm);
    }
    for vm in &changing.fleet.vms {
        let bytes = vm.peak_memory();
        assert!(bytes < MEMORY_BYTES, "{} took {bytes} bytes", vm.name);
    }
}

/// Guards against a change that is appended again and again, since it takes longer than the time after
/// which it is sent again.
#[test]
fn a_change_that_takes_long_is_appended_once() {
    let mut changing = Changing::start(small());
    let appended = |changing: &Changing| {
        let status = changing.fleet.vm("c1").status().unwrap();
        status["control"]["last"].as_u64().unwrap()
    };
    for _ in 0..3 {
        let before = appended(&changing);
        let answer = changing.send(12_500);
        assert_eq!(answer.status, 200, "{}", answer.text());
        changing.set_version(&answer);
        // A copy may still be on its way.
        std::thread::sleep(Duration::from_secs(1));
        assert_eq!(appended(&changing), before + 1);
    }
}

/// Guards against a configuration that is accepted and too long to be sent to a process that needs
/// the whole of it.
#[test]
fn a_router_started_anew_gets_the_longest_configuration() {
    let mut changing = Changing::start(small());
    // Some 3.8 MB, which is longer than control VMs accept.
    let mut rules = 20_000;
    let accepted = loop {
        let answer = changing.send(rules);
        if answer.status == 200 {
            break answer;
        }
        assert!([413, 422].contains(&answer.status), "{}", answer.text());
        rules -= rules / 20;
    };
    assert!(rules < 20_000);
    changing.set_version(&accepted);
    changing.fleet.vm_mut("r3").kill();
    changing.fleet.vm_mut("r3").start();
    eventually("the router is ready", || changing.fleet.vm("r3").is_ready());
    for vm in ["r1", "r2", "r3"] {
        changing.check_in_force(vm);
    }
}

/// Guards against requests that each keep the configuration that was in force when they arrived,
/// while their bodies come in or their endpoints are slow.
#[test]
fn requests_in_progress_keep_no_configuration() {
    let mut changing = Changing::start(Plan {
        batch: 200,
        ..small()
    });
    let callers = changing.fleet.callers("r1");
    let head = "POST /assistant HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\n";
    let mut connections = Vec::new();
    for _ in 0..40 {
        changing.change();
        changing.check_in_force("r1");
        for rest in [
            "content-length: 100\r\n\r\n",
            "stand-in-prefill: 20000\r\ncontent-length: 1\r\n\r\nx",
        ] {
            let mut connection = TcpStream::connect(callers).unwrap();
            connection.write_all(head.as_bytes()).unwrap();
            connection.write_all(rest.as_bytes()).unwrap();
            connections.push(connection);
        }
    }
    let bytes = changing.fleet.vm("r1").peak_memory();
    assert!(bytes < MEMORY_BYTES, "r1 took {bytes} bytes");
}
