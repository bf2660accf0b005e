//! Configuration, control VMs and their disks, over real processes.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{eventually, http, run, Fleet, Plan, OPERATOR};

fn accepted(answer: &http::Answer) -> u64 {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(answer.status, 200, "{body}");
    body["version"].as_u64().unwrap()
}

fn send(fleet: &Fleet, vm: &str, id: &str, base: u64, text: &str) -> http::Answer {
    let path = format!("/config?id={id}&base={base}");
    http::send(fleet.vm(vm).operators, "POST", &path, OPERATOR, &[], text)
}

fn config_version(fleet: &Fleet, vm: &str) -> u64 {
    let answer = http::get(fleet.vm(vm).operators, "/config", OPERATOR);
    answer.header("cowslipford-version").parse().unwrap()
}

#[test]
fn can_let_one_of_two_operators_win() {
    // Symptom: an operator's change vanishes without a word.
    // Sequence: two operators read the same version and send changes at once.
    // Cause: the later one replaces what it has never seen.
    let fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    let base = config_version(&fleet, "c1");
    let text = fleet.configuration();
    let answers: Vec<(u16, String)> = std::thread::scope(|scope| {
        let calls: Vec<_> = (1..=6)
            .map(|n| {
                let (fleet, text) = (&fleet, &text);
                let vm = ["c1", "c2", "c3", "r1"][n % 4];
                scope.spawn(move || {
                    let answer = send(fleet, vm, &format!("{n:x}0"), base, text);
                    (answer.status, answer.text())
                })
            })
            .collect();
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert_eq!(
        answers.iter().filter(|(status, _)| *status == 200).count(),
        1
    );
    assert_eq!(
        answers.iter().filter(|(status, _)| *status == 409).count(),
        5
    );
}

#[test]
fn can_refuse_a_bad_change_whole() {
    let fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    let base = config_version(&fleet, "c1");
    let bad = fleet
        .configuration()
        .replace("cost = event", "cost = guess");
    let answer = send(&fleet, "c1", "b1", base, &bad);
    assert_eq!(answer.status, 422);
    assert!(answer
        .text()
        .contains("[service assistant] cost = \\\"guess\\\": request, event, time or token"));
    assert_eq!(config_version(&fleet, "c1"), base);
    let refused = fleet.apply(&bad, &[]);
    assert_eq!(refused.0.code(), Some(2));
    let stale = fleet.apply(&fleet.configuration(), &["--base", "0"]);
    assert_eq!(stale.0.code(), Some(3), "{}", stale.2);
}

#[test]
fn can_answer_a_resend_after_the_leader_was_killed() {
    // Symptom: an operator who lost the answer makes the change twice.
    // Sequence: a change is accepted; the leader is killed; other changes
    // follow; the change is sent again.
    // Cause: answers that the leader alone remembers.
    let mut fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    let base = config_version(&fleet, "r1");
    let text = fleet.configuration();
    let first = accepted(&send(&fleet, "r1", "abc", base, &text));
    let leader = fleet.leader();
    fleet.vm_mut(&leader).kill();
    let mut last = first;
    for n in 0..20 {
        let answer = send(&fleet, "r1", &format!("d{n:x}"), last, &text);
        last = accepted(&answer);
    }
    assert_eq!(accepted(&send(&fleet, "r1", "abc", base, &text)), first);
    fleet.vm_mut(&leader).start();
    eventually("the old leader has caught up", || {
        fleet
            .vm(&leader)
            .status()
            .is_some_and(|s| s["version"].as_u64() >= Some(last))
    });
}

#[test]
fn can_restart_all_control_vms_after_500_changes() {
    // Symptom: after a restart an older configuration is in force.
    // Sequence: 500 changes, with snapshots in between; all control VMs are
    // killed at once and started again, and so are the routers.
    // Cause: a log or a snapshot that was not whole on disk.
    let keys = "compact-bytes = 20000".to_owned();
    let mut fleet = Fleet::start(Plan {
        routers: 1,
        control_keys: keys,
        ..Plan::default()
    });
    let mut last = config_version(&fleet, "c1");
    let texts = [
        fleet.configuration(),
        fleet.configuration().replace("retries", "x"),
    ];
    for n in 0..500 {
        let text = texts[n % 2].replace("not today", &format!("not today, {n}"));
        last = accepted(&send(&fleet, "c1", &format!("a{n:x}"), last, &text));
    }
    let names: Vec<String> = fleet.vms.iter().map(|v| v.name.clone()).collect();
    for name in &names {
        fleet.vm_mut(name).kill();
    }
    for name in &names {
        fleet.vm_mut(name).start();
    }
    fleet.wait_ready();
    for name in &names {
        assert!(config_version(&fleet, name) >= last, "{name} stepped back");
        let config = http::get(fleet.vm(name).operators, "/config", OPERATOR).text();
        assert!(config.contains("not today, 499"));
    }
}

#[test]
fn can_lose_a_disk_and_then_a_second_one() {
    // Symptom: accepted changes vanish after a repair.
    // Sequence: a control VM loses its disk and is repaired; then a second one.
    // Cause: an empty disk that votes.
    let mut fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    let mut last = config_version(&fleet, "r1");
    for victim in ["c1", "c2"] {
        last = accepted(&send(
            &fleet,
            "r1",
            &format!("5{last:x}"),
            last,
            &fleet.configuration(),
        ));
        fleet.vm_mut(victim).kill();
        fleet.vm(victim).wipe();
        fleet.vm_mut(victim).start();
        eventually("the repaired VM votes and nobody is left to learn", || {
            fleet
                .vms
                .iter()
                .filter(|v| v.name.starts_with('c'))
                .all(|v| {
                    v.status().is_some_and(|s| {
                        s["control"]["voters"]
                            .as_array()
                            .is_some_and(|a| a.len() == 3)
                            && s["control"]["learners"]
                                .as_array()
                                .is_some_and(Vec::is_empty)
                            && s["version"].as_u64() >= Some(last)
                    })
                })
        });
    }
    last = accepted(&send(&fleet, "r1", "eeee", last, &fleet.configuration()));
    fleet.vm_mut("c3").kill();
    assert!(accepted(&send(&fleet, "r1", "ffff", last, &fleet.configuration())) > last);
}

#[test]
fn can_refuse_to_start_from_a_damaged_disk() {
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        ..Plan::default()
    });
    let base = config_version(&fleet, "c1");
    accepted(&send(&fleet, "c1", "1a", base, &fleet.configuration()));
    fleet.vm_mut("c1").kill();
    let log = std::fs::read_dir(&fleet.vm("c1").data)
        .unwrap()
        .filter_map(Result::ok);
    let log = log
        .map(|e| e.path())
        .find(|p| p.display().to_string().contains("/log-"))
        .unwrap();
    let mut bytes = std::fs::read(&log).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&log, bytes).unwrap();
    fleet.vm_mut("c1").start();
    assert_eq!(fleet.vm_mut("c1").wait().code(), Some(1));
    assert!(fleet.vm("c1").log().contains("joins as a learner"));
}

#[test]
fn can_stop_accepting_on_an_isolated_leader_and_follow_on_return() {
    // Symptom: a change that was accepted is gone when a partition ends, or an
    // old version comes back.
    // Sequence: the leader is cut off in silence; the others go on; it returns.
    // Cause: a leader that does not notice that nobody answers.
    let fleet = Fleet::start(Plan {
        routers: 2,
        ..Plan::default()
    });
    let old = fleet.leader();
    let others: Vec<&str> = ["c1", "c2", "c3"]
        .into_iter()
        .filter(|c| *c != old)
        .collect();
    let base = config_version(&fleet, &old);
    for other in &others {
        fleet.cut(other, &[&old], true);
    }
    fleet.cut(&old, &others, true);
    eventually("it no longer leads", || {
        let status = fleet.vm(&old).status();
        status.is_some_and(|s| s["control"]["role"] != "leader")
    });
    let version = accepted(&send(&fleet, others[0], "77", base, &fleet.configuration()));
    assert!(config_version(&fleet, &old) < version);
    eventually("the routers have it though the old leader has not", || {
        ["r1", "r2"]
            .iter()
            .all(|r| config_version(&fleet, r) >= version)
    });
    for vm in others.iter().copied().chain([old.as_str()]) {
        fleet.cut(vm, &[], true);
    }
    eventually("it follows", || config_version(&fleet, &old) >= version);
    assert_ne!(fleet.leader(), old);
}

#[test]
fn can_serve_the_last_version_or_refuse_without_control() {
    // Both ways of docs/design/configuration.md.
    for (setting, status) in [("", 200), ("without-control = 1s", 503)] {
        let settings = format!("[router]\n{setting}");
        let mut fleet = Fleet::start(Plan {
            control: 1,
            routers: 1,
            settings,
            ..Plan::default()
        });
        fleet.vm_mut("c1").kill();
        let callers = fleet.callers("r1");
        if status == 503 {
            eventually("it refuses", || {
                let answer = http::get(callers, "/assistant/x", "alpha");
                answer.status == 503 && answer.outcome() == "not-run"
            });
            fleet.vm_mut("c1").start();
        } else {
            std::thread::sleep(std::time::Duration::from_secs(3));
        }
        eventually("it serves", || {
            http::get(callers, "/assistant/x", "alpha").status == 200
        });
    }
}

#[test]
fn can_wait_with_serving_until_the_version_in_force_is_known() {
    // Symptom: a removed customer is served again after a router's restart.
    // Sequence: a router restarts while control has no quorum.
    // Cause: a router that serves whatever it hears first.
    let mut fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    fleet.vm_mut("r1").kill();
    fleet.vm_mut("c1").kill();
    fleet.vm_mut("c2").kill();
    fleet.vm_mut("r1").start();
    let callers = fleet.callers("r1");
    eventually("it answers", || {
        http::get(callers, "/assistant/x", "alpha").status == 503
    });
    assert!(!fleet.vm("r1").is_ready());
    fleet.vm_mut("c1").start();
    eventually("it serves", || {
        http::get(callers, "/assistant/x", "alpha").status == 200
    });
}

#[test]
fn can_feed_routers_through_routers() {
    // A root with one place and routers with two: a tree of three levels.
    let settings = "[router]\nfanout = 2".to_owned();
    let control_keys = "fanout = 1".to_owned();
    let plan = Plan {
        control: 1,
        routers: 6,
        settings,
        control_keys,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan);
    let fed_by_router = |v: &harness::Vm| {
        v.status()
            .is_some_and(|s| s["parent"].as_str().is_some_and(|p| p.starts_with('r')))
    };
    let routers = || fleet.vms.iter().filter(|v| v.callers.is_some());
    eventually("routers feed routers", || {
        routers().filter(|v| fed_by_router(v)).count() == 5
    });
    let base = config_version(&fleet, "c1");
    let version = accepted(&send(&fleet, "c1", "9", base, &fleet.configuration()));
    fleet.wait_version(version);
    // The middle of the tree dies; those below find another parent.
    let middle = routers().find(|v| !fed_by_router(v)).unwrap().name.clone();
    fleet.vm_mut(&middle).kill();
    let version = accepted(&send(&fleet, "c1", "a", version, &fleet.configuration()));
    fleet.wait_version(version);
    eventually("all are confirmed at the root", || {
        let status = fleet.vm("c1").status().unwrap();
        status["confirmed"]["routers"] == 6
            && status["confirmed"]["version"].as_u64() >= Some(version)
    });
}

#[test]
fn can_leave_a_parent_whose_link_stays_up() {
    // Symptom: more routers are confirmed than there are, some of them at a version
    // of long ago, so that no version is ever confirmed by all.
    // Sequence: a parent falls silent, its child finds another one, the former
    // parent is heard again over the link that is still up.
    // Cause: nobody tells the former parent, and it goes on counting the child.
    let fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    let parent = || {
        let status = fleet.vm("r1").status()?;
        Some(status["parent"].as_str()?.to_owned())
    };
    eventually("it has a parent", || parent().is_some());
    let former = parent().unwrap();
    fleet.cut("r1", &[&former], true);
    eventually("it has another parent", || {
        parent().is_some_and(|p| p != former)
    });
    fleet.cut("r1", &[], true);
    eventually("the control VMs count it once, beside themselves", || {
        let counted = |vm| fleet.vm(vm).status().unwrap()["confirmed"]["routers"].as_u64();
        let total: Option<u64> = ["c1", "c2", "c3"].into_iter().map(counted).sum();
        total == Some(4)
    });
}

#[test]
fn can_check_files_without_starting_anything() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("fleet.ini");
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        run(&["check", &file.display().to_string()], &[] as &[&str])
    };
    let good = "[service s]\ncost = request\n\
                [rule all]\nthen = send\nservice = s\n\
                [rule never]\nwhen-path = /x\nthen = send\nservice = s\n";
    let checked = check(good);
    assert!(checked.0.success());
    assert!(checked
        .1
        .contains("rule never can never match: all comes first"));
    let checked = check("[service s]\ncost = request\nprice = 3\n");
    assert_eq!(checked.0.code(), Some(2));
    assert!(
        checked.2.contains("[service s] price = \"3\""),
        "{}",
        checked.2
    );
}
