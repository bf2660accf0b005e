//! Changes of the configuration, and control VMs and their disks, with real processes.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{eventually, http, run, Fleet, Plan, OPERATOR_KEY};

/// Version at which a change was accepted; panics if the answer is a refusal.
fn accepted(answer: &http::Answer) -> u64 {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(answer.status, 200, "{body}");
    body["version"].as_u64().unwrap()
}

/// Sends a change, based on version `base`, to a VM.
fn send(fleet: &Fleet, vm: &str, id: &str, base: u64, text: &str) -> http::Answer {
    let path = format!("/config?id={id}&base={base}");
    http::send(
        fleet.vm(vm).operators,
        "POST",
        &path,
        OPERATOR_KEY,
        &[],
        text,
    )
}

/// Version of the configuration in force on a VM.
fn config_version(fleet: &Fleet, vm: &str) -> u64 {
    let answer = http::get(fleet.vm(vm).operators, "/config", OPERATOR_KEY);
    answer.header("cowslipford-version").parse().unwrap()
}

#[test]
fn can_accept_one_of_several_concurrent_changes() {
    // Symptom: an operator's accepted change is silently overwritten.
    // Sequence: several operators read the same version and send changes at once.
    // Cause: a change replaces a version that its operator has not read.
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
fn can_refuse_an_invalid_change_completely() {
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
fn can_answer_a_resent_change_after_the_leader_was_killed() {
    // Symptom: a change whose answer was lost is applied twice.
    // Sequence: a change is accepted; the leader is killed; other changes follow; the
    // first change is sent again.
    // Cause: ids of accepted changes that only the leader remembers.
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
    // Sequence: 500 changes, with snapshots in between; all control VMs and routers are
    // killed at once and started again.
    // Cause: a log or a snapshot that was not completely written to disk.
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
        assert!(
            config_version(&fleet, name) >= last,
            "{name} went back to an older version"
        );
        let config = http::get(fleet.vm(name).operators, "/config", OPERATOR_KEY).text();
        assert!(config.contains("not today, 499"));
    }
}

#[test]
fn can_lose_a_disk_and_then_a_second_one() {
    // Symptom: accepted changes are lost after a repair.
    // Sequence: a control VM loses its disk and is repaired; then a second one.
    // Cause: a control VM that votes with an empty disk.
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
        eventually(
            "the repaired VM is a voter and there are no learners",
            || {
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
            },
        );
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
fn can_depose_an_isolated_leader_and_let_it_follow_later() {
    // Symptom: an accepted change is lost when a partition ends, or an old version is in
    // force again.
    // Sequence: messages to and from the leader are dropped; the others elect a new
    // leader; the partition ends.
    // Cause: a leader that does not step down when it has lost its quorum.
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
    eventually("the isolated VM no longer leads", || {
        let status = fleet.vm(&old).status();
        status.is_some_and(|s| s["control"]["role"] != "leader")
    });
    let version = accepted(&send(&fleet, others[0], "77", base, &fleet.configuration()));
    assert!(config_version(&fleet, &old) < version);
    eventually(
        "the routers have the change though the old leader has not",
        || {
            ["r1", "r2"]
                .iter()
                .all(|r| config_version(&fleet, r) >= version)
        },
    );
    for vm in others.iter().copied().chain([old.as_str()]) {
        fleet.cut(vm, &[], true);
    }
    eventually("the old leader has the change", || {
        config_version(&fleet, &old) >= version
    });
    assert_ne!(fleet.leader(), old);
}

#[test]
fn can_serve_the_last_version_or_refuse_without_control() {
    // Without control VMs a router serves the last version; with the setting
    // `without-control` it refuses requests after that time.
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
            eventually("the router refuses requests", || {
                let answer = http::get(callers, "/assistant/x", "alpha");
                answer.status == 503 && answer.outcome() == "not-run"
            });
            fleet.vm_mut("c1").start();
        } else {
            std::thread::sleep(std::time::Duration::from_secs(3));
        }
        eventually("the router serves requests", || {
            http::get(callers, "/assistant/x", "alpha").status == 200
        });
    }
}

#[test]
fn can_refuse_requests_until_the_version_in_force_is_known() {
    // Symptom: a removed customer is served again after a router's restart.
    // Sequence: a router restarts while the control VMs have no quorum.
    // Cause: a router that uses the first version it receives, which may be outdated.
    let mut fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    fleet.vm_mut("r1").kill();
    fleet.vm_mut("c1").kill();
    fleet.vm_mut("c2").kill();
    fleet.vm_mut("r1").start();
    let callers = fleet.callers("r1");
    eventually("the router answers", || {
        http::get(callers, "/assistant/x", "alpha").status == 503
    });
    assert!(!fleet.vm("r1").is_ready());
    fleet.vm_mut("c1").start();
    eventually("the router serves requests", || {
        http::get(callers, "/assistant/x", "alpha").status == 200
    });
}

#[test]
fn can_feed_routers_through_routers() {
    // The root feeds one router and each router two: a tree of three levels of routers.
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
    // The router fed by the root is killed; the routers below it find another parent.
    let top_router = routers().find(|v| !fed_by_router(v)).unwrap().name.clone();
    fleet.vm_mut(&top_router).kill();
    let version = accepted(&send(&fleet, "c1", "a", version, &fleet.configuration()));
    fleet.wait_version(version);
    eventually("all routers are confirmed at the root", || {
        let status = fleet.vm("c1").status().unwrap();
        status["confirmed"]["routers"] == 6
            && status["confirmed"]["version"].as_u64() >= Some(version)
    });
}

#[test]
fn can_count_a_router_once_after_it_changes_its_parent() {
    // Symptom: more routers are confirmed than exist, some of them at an old version, so
    // that no version is ever confirmed by all.
    // Sequence: messages of a parent are dropped, its child finds another parent, then
    // messages of the former parent pass again over the link, which has stayed up.
    // Cause: the former parent is not notified and goes on counting the child.
    let fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    let parent = || {
        let status = fleet.vm("r1").status()?;
        Some(status["parent"].as_str()?.to_owned())
    };
    eventually("the router has a parent", || parent().is_some());
    let former = parent().unwrap();
    fleet.cut("r1", &[&former], true);
    eventually("the router has another parent", || {
        parent().is_some_and(|p| p != former)
    });
    fleet.cut("r1", &[], true);
    eventually(
        "the control VMs count the router once, and themselves",
        || {
            let counted = |vm| fleet.vm(vm).status().unwrap()["confirmed"]["routers"].as_u64();
            let total: Option<u64> = ["c1", "c2", "c3"].into_iter().map(counted).sum();
            total == Some(4)
        },
    );
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

/// Failure: a control VM puts a bound on pauses into the log although its settings do not say that
/// every process can read it; or a stream under such a rule is not served or not measured.
#[test]
fn can_put_a_bound_on_pauses_into_force_once_the_settings_allow_it() {
    for (keys, is_kept) in [("", false), ("stream-objectives = yes\n", true)] {
        let fleet = Fleet::start(Plan {
            control: 1,
            routers: 1,
            control_keys: keys.to_owned(),
            ..Plan::default()
        });
        let base = config_version(&fleet, "c1");
        let text = fleet.configuration().replace(
            "when-path = /assistant\nthen = send\n",
            "when-path = /assistant\nthen = send\nmax-gap = 1ms\n",
        );
        let version = accepted(&send(&fleet, "c1", "d1", base, &text));
        fleet.wait_version(version);
        let config = http::get(fleet.vm("r1").operators, "/config", OPERATOR_KEY);
        assert_eq!(config.text().contains("max-gap = 1ms"), is_kept);
        let paced = [("stand-in-tokens", "40"), ("stand-in-pace", "10")];
        let answer = fleet.call("r1", "alpha", "/assistant", &paced, "hello");
        assert_eq!(answer.status, 200);
        let metrics = || http::get(fleet.vm("r1").operators, "/metrics", OPERATOR_KEY).text();
        let observed =
            "cowslipford_pauses_over_bound_total{service=\"assistant\",what=\"observed\"}";
        assert_eq!(metrics().contains(observed), is_kept, "{}", metrics());
    }
}
