//! Logs: every line names its kind, and nothing waits for whoever reads them.

mod harness;

use harness::{eventually, http, sources, Fleet, Plan, BINARY};
use state::line::Line;
use std::io::Read;
use std::path::Path;
use std::process::{Command, Stdio};

#[test]
fn can_find_every_kind_of_line_on_the_page_of_logs() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/LOGS.md")).unwrap();
    for line in Line::ALL {
        let name = format!("`{}`", line.as_str());
        assert!(page.contains(&name), "docs/LOGS.md does not tell of {name}");
    }
}

#[test]
fn can_find_a_kind_in_every_line() {
    // Symptom: a line that nobody finds by its kind.
    // Cause: a line with a sentence in place of the field `event`.
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["components", "src", "platform"] {
        sources(&root.join(folder), &mut files);
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
fn can_serve_while_nobody_reads_the_log() {
    // Symptom: all requests hang at once, and nothing else is wrong.
    // Sequence: whoever reads standard output stops; the pipe fills.
    // Cause: a process that waits for its reader.
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
    eventually("it serves", || {
        http::get(callers, "/assistant/x", "alpha").status == 200
    });
    // A pipe holds 64 KB and the process 4,096 lines; a line has some 300 bytes.
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
    // One more line, with which the count of those that were lost is told.
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
