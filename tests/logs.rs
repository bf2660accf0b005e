//! Logs: each line names its event, and a slow reader of the log blocks no process.

mod harness;

use harness::{eventually, http, source_files, Fleet, Plan, BINARY};
use state::line::Line;
use std::io::Read;
use std::path::Path;
use std::process::{Command, Stdio};

#[test]
fn can_find_every_event_in_the_documentation() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/LOGS.md")).unwrap();
    for line in Line::ALL {
        let name = format!("`{}`", line.as_str());
        assert!(page.contains(&name), "docs/LOGS.md does not mention {name}");
    }
}

#[test]
fn can_find_an_event_in_every_log_call() {
    // Symptom: a log line that cannot be found by its event.
    // Cause: a log call with a message instead of the field `event`.
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["components", "src", "platform"] {
        source_files(&root.join(folder), &mut files);
    }
    let mut lines = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        for level in ["info!(", "warn!(", "error!("] {
            for at in text.split(&format!("tracing::{level}")).skip(1) {
                let head: String = at.chars().take(120).collect();
                let named = head.trim_start().starts_with("event");
                assert!(named, "{}: {head}", file.display());
                lines += 1;
            }
        }
    }
    assert!(lines > 25, "{lines}");
}

#[test]
fn can_serve_while_the_log_is_not_read() {
    // Symptom: all requests hang at once, and no other fault is visible.
    // Sequence: the reader of standard output stops; the pipe fills.
    // Cause: a process that blocks on writing its log.
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        ..Plan::default()
    });
    fleet.vm_mut("r1").kill();
    let settings = fleet.vm("r1").settings.display().to_string();
    let mut process = Command::new(BINARY)
        .args(["run", &settings])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let callers = fleet.callers("r1");
    eventually("the router serves requests", || {
        http::get(callers, "/assistant/x", "alpha").status == 200
    });
    // A pipe buffers 64 KB and the process 4,096 lines; a line has about 300 bytes.
    for _ in 0..6000 {
        assert_eq!(http::get(callers, "/nothing", "nobody").status, 404);
    }
    assert_eq!(http::get(callers, "/assistant/x", "alpha").status, 200);
    let mut out = process.stdout.take().unwrap();
    let reader = std::thread::spawn(move || {
        let mut text = Vec::new();
        out.read_to_end(&mut text).unwrap();
        String::from_utf8_lossy(&text).into_owned()
    });
    // Another line makes the process log the number of lost lines.
    eventually("the reader has caught up", || {
        http::get(callers, "/nothing", "nobody");
        std::thread::sleep(std::time::Duration::from_millis(100));
        fleet.vm("r1").is_ready()
    });
    process.kill().unwrap();
    process.wait().unwrap();
    let text = reader.join().unwrap();
    let lost: u64 = (text.lines())
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|line| line["event"] == Line::LinesDropped.as_str())
        .filter_map(|line| line["lines"].as_u64())
        .sum();
    assert!(lost > 500, "{lost}");
}

/// Guards against the loss of the last log lines of a process, which are still queued when it ends.
#[test]
fn can_find_the_end_of_each_stop() {
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        ..Plan::default()
    });
    for stops in 1..=30 {
        fleet.vm("c1").signal("-TERM");
        assert!(fleet.vm_mut("c1").wait().success());
        let logged = fleet.vm("c1").log().matches("event=\"stopped\"").count();
        assert_eq!(logged, stops);
        fleet.vm_mut("c1").start();
    }
}
