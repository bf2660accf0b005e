//! The path of a request through separate processes: routing, refusal, drain and limits.

mod harness;

use harness::{eventually, http, run, Fleet, Plan};
use std::time::Duration;

#[test]
fn can_serve_a_request_from_each_router() {
    let fleet = Fleet::start(Plan::default());
    for router in ["r1", "r2", "r3", "r4"] {
        let answer = fleet.call(
            router,
            "alpha",
            "/assistant",
            &[],
            &format!("through {router}"),
        );
        assert_eq!(answer.status, 200);
        assert!(answer.complete);
        assert_eq!(answer.outcome(), "answered");
        assert_eq!(
            answer.text().matches(&format!("through {router}")).count(),
            20
        );
        assert!(!answer.header("cowslipford-request-id").is_empty());
    }
}

#[test]
fn can_report_to_callers_why_a_request_was_refused() {
    let fleet = Fleet::start(Plan {
        routers: 1,
        control: 1,
        ..Plan::default()
    });
    let callers = fleet.callers("r1");
    let cases = [
        ("/assistant", "wrong-key", 401),
        ("/forbidden", "alpha", 403),
        ("/nobody", "alpha", 403),
        ("/elsewhere", "alpha", 404),
    ];
    for (path, key, status) in cases {
        let answer = http::send(callers, "POST", path, key, &[], "x");
        assert_eq!(answer.status, status, "{path}");
        assert_eq!(answer.outcome(), "not-run");
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(body["outcome"], "not-run");
        assert_eq!(body["request"], answer.header("cowslipford-request-id"));
    }
    let large = "x".repeat(2 << 20);
    let answer = http::send(callers, "POST", "/assistant", "alpha", &[], &large);
    assert_eq!(answer.status, 413);
    let with_head = |bytes| {
        let long = "y".repeat(bytes);
        http::send(
            callers,
            "GET",
            "/assistant",
            "alpha",
            &[("x-long", &long)],
            "",
        )
    };
    let answer = with_head(40_000);
    assert_eq!((answer.status, answer.outcome()), (431, "not-run"));
    assert!(answer.text().contains("head-too-large"));
    assert_eq!(with_head(200_000).status, 431);
}

#[test]
fn can_refuse_at_once_when_no_slot_frees_before_the_deadline() {
    let fleet = Fleet::start(Plan {
        routers: 1,
        control: 1,
        models: 1,
        batch: 1,
        ..Plan::default()
    });
    let callers = fleet.callers("r1");
    std::thread::scope(|scope| {
        for _ in 0..2 {
            // Two requests occupy the one slot and the one granted ahead of it.
            let slow = [("stand-in-tokens", "100"), ("stand-in-pace", "30")];
            scope.spawn(move || http::send(callers, "POST", "/assistant", "alpha", &slow, "slow"));
        }
        eventually("two requests are held", || {
            fleet.vm("r1").status().is_some_and(|s| s["held"] == 2)
        });
        let answer = http::send(
            callers,
            "POST",
            "/short",
            "beta",
            &[("stand-in-id", "late")],
            "x",
        );
        assert_eq!(answer.status, 503);
        assert_eq!(answer.outcome(), "not-run");
        assert_eq!(answer.header("retry-after"), "1");
    });
    assert_eq!(fleet.calls_with_label("late"), 0);
}

#[test]
fn can_refuse_a_flood_with_retry_after() {
    let settings = "[router]\nqueue-customer = 4".to_owned();
    let fleet = Fleet::start(Plan {
        routers: 1,
        control: 1,
        models: 1,
        batch: 1,
        settings,
        ..Plan::default()
    });
    let callers = fleet.callers("r1");
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..20)
            .map(|_| {
                scope.spawn(move || {
                    let slow = [("stand-in-tokens", "10"), ("stand-in-pace", "20")];
                    let answer = http::send(callers, "POST", "/assistant", "alpha", &slow, "flood");
                    if answer.status == 429 {
                        assert_eq!(answer.outcome(), "not-run");
                        // The delays are spread, so that callers do not retry all at once.
                        let after = answer.header("retry-after").to_owned();
                        assert!(["0.200", "0.400", "0.600"].contains(&&*after), "{after}");
                    }
                    answer.status
                })
            })
            .collect();
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert!(statuses.contains(&200));
    assert!(statuses.contains(&429));
    assert!(statuses.iter().all(|s| [200, 429].contains(s)));
}

#[test]
fn can_drain_on_sigterm_without_cutting_a_stream() {
    // Symptom: a planned restart cuts answers in the middle.
    // Sequence: the router gets SIGTERM while it relays a long stream.
    // Cause: a process that exits as soon as it has closed its listener.
    let mut fleet = Fleet::start(Plan {
        routers: 2,
        control: 1,
        ..Plan::default()
    });
    let callers = fleet.callers("r1");
    std::thread::scope(|scope| {
        let slow = [("stand-in-tokens", "60"), ("stand-in-pace", "20")];
        let call =
            scope.spawn(move || http::send(callers, "POST", "/assistant", "alpha", &slow, "long"));
        eventually("the stream is in progress", || {
            fleet.vm("r1").status().is_some_and(|s| s["held"] == 1)
        });
        fleet.vm("r1").signal("-TERM");
        eventually("the router is not ready", || !fleet.vm("r1").is_ready());
        let answer = call.join().unwrap();
        assert!(answer.complete);
        assert_eq!(answer.text().matches("long").count(), 60);
    });
    assert_eq!(fleet.vm_mut("r1").wait().code(), Some(0));
}

#[test]
fn can_stop_a_vm_from_the_command_line() {
    let mut fleet = Fleet::start(Plan {
        routers: 2,
        ..Plan::default()
    });
    let operators = fleet.vm("c1").operators.to_string();
    let stopped = run(
        &["stop", "vm", "r2", "--operators", &operators],
        &[] as &[&str],
    );
    assert!(stopped.0.success(), "{}", stopped.2);
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
    fleet.vm_mut("r2").start();
    // The announced stop applies to the former process, not to the restarted one.
    eventually("the restarted router serves requests", || {
        http::get(fleet.callers("r2"), "/assistant/x", "alpha").status == 200
    });
}

#[test]
fn can_show_operators_the_fleet() {
    let fleet = Fleet::start(Plan {
        routers: 2,
        ..Plan::default()
    });
    let operators = fleet.vm("r1").operators;
    let address = operators.to_string();
    fleet.call("r1", "beta", "/assistant", &[], "seen");
    let status = run(&["status", "--operators", &address], &[] as &[&str]);
    assert!(
        status.1.contains("is in force on all 5 processes"),
        "{}",
        status.1
    );
    let line = run(
        &["timeline", "--customer", "beta", "--operators", &address],
        &[] as &[&str],
    );
    for step in ["taken", "queued", "granted", "sent", "ended"] {
        assert!(line.1.contains(step), "{step} is missing: {}", line.1);
    }
    let page = run(
        &["timeline", "--format", "page", "--operators", &address],
        &[] as &[&str],
    );
    assert!(page.1.contains("<svg"));
    let metrics = http::get(operators, "/metrics", "").text();
    assert!(metrics.contains("cowslipford_requests_total"));
    assert_eq!(http::get(operators, "/status", "wrong").status, 401);
    assert_eq!(http::get(operators, "/live", "").status, 200);
}

#[test]
fn can_stop_an_endpoint_without_cutting_its_requests() {
    let fleet = Fleet::start(Plan {
        routers: 1,
        models: 2,
        ..Plan::default()
    });
    let callers = fleet.callers("r1");
    let operators = fleet.vm("r1").operators.to_string();
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|_| {
                let slow = [("stand-in-tokens", "80"), ("stand-in-pace", "10")];
                scope.spawn(move || {
                    http::send(callers, "POST", "/assistant", "alpha", &slow, "long")
                })
            })
            .collect();
        eventually("both endpoints run two requests", || {
            fleet.counts("assistant-1")["running"] == 2
                && fleet.counts("assistant-2")["running"] == 2
        });
        let args = ["stop", "endpoint", "assistant-1", "--operators", &operators];
        assert!(run(&args, &[] as &[&str]).0.success());
        eventually("the departure is in force", || {
            fleet.version() == fleet.vm("r1").status().unwrap()["version"]
        });
        let before = fleet.counts("assistant-1")["calls"].clone();
        for _ in 0..6 {
            assert_eq!(
                fleet.call("r1", "beta", "/assistant", &[], "after").status,
                200
            );
        }
        assert_eq!(fleet.counts("assistant-1")["calls"], before);
        for call in calls {
            assert!(call.join().unwrap().complete);
        }
    });
}

#[test]
fn can_close_slow_and_endless_heads_without_a_thread_each() {
    // Symptom: callers that send half a head and then wait exhaust the router.
    // Sequence: 200 connections send half a head each; then a regular request arrives.
    // Cause: a server without a timeout for heads, or with a thread for each connection.
    let settings = String::new();
    let fleet = Fleet::start(Plan {
        routers: 1,
        control: 1,
        settings,
        ..Plan::default()
    });
    let callers = fleet.callers("r1");
    let slow: Vec<std::net::TcpStream> = (0..200)
        .map(|_| {
            use std::io::Write;
            let mut stream = std::net::TcpStream::connect(callers).unwrap();
            stream.write_all(b"GET /assistant HTTP/1.1\r\nHos").unwrap();
            stream
        })
        .collect();
    let threads = std::fs::read_dir(format!("/proc/{}/task", fleet.vm("r1").pid())).unwrap();
    assert!(threads.count() < 20);
    assert_eq!(http::get(callers, "/assistant/x", "alpha").status, 200);
    drop(slow);
    let (answer, closed) = http::send_raw(callers, &vec![b'a'; 4 << 20], Duration::from_secs(30));
    assert!(closed);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
}

#[test]
fn can_bound_the_memory_of_bodies_while_they_arrive() {
    // Symptom: a router runs out of memory under a flood of large bodies.
    // Sequence: many callers send large bodies slowly, at the same time.
    // Cause: a limit that counts only bodies that have arrived in full.
    use std::io::Write;
    let settings = "[router]\nqueue-bytes = 262144".to_owned();
    let plan = Plan {
        control: 1,
        routers: 1,
        settings,
        ..Plan::default()
    };
    let fleet = Fleet::start(plan);
    let callers = fleet.callers("r1");
    let head = "POST /assistant HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer alpha\r\n\
                Content-Length: 200000\r\n\r\n";
    let half: Vec<u8> = [head.as_bytes(), &[b'x'; 100_000]].concat();
    let large = "y".repeat(150_000);
    let mut slow: Vec<std::net::TcpStream> = Vec::new();
    eventually("a third body is refused", || {
        // If the third body arrives before the others, all three are sent again.
        slow.clear();
        for _ in 0..2 {
            let mut stream = std::net::TcpStream::connect(callers).unwrap();
            stream.write_all(&half).unwrap();
            slow.push(stream);
        }
        std::thread::sleep(Duration::from_millis(100));
        let answer = http::send(callers, "POST", "/assistant", "beta", &[], &large);
        answer.status == 429 && answer.outcome() == "not-run"
    });
    assert_eq!(
        fleet.call("r1", "beta", "/assistant", &[], "small").status,
        200
    );
    drop(slow);
    eventually("the memory of the bodies is released", || {
        http::send(callers, "POST", "/assistant", "beta", &[], &large).status == 200
    });
}
