//! A graceful stop during the start of a process.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::BINARY;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::process::{Command, ExitStatus};
use std::thread;

/// Concurrent threads, each of which starts processes in sequence.
const THREADS: usize = 50;
/// Processes that each thread starts.
const STARTS_PER_THREAD: usize = 2;

/// Settings of a minimal VM.
const SETTINGS: &str = "[vm]\nname = r1\ndata-centre = dc-1\n\
    [link]\nlisten = 127.0.0.1:0\nauthentication = none\n\
    [peers]\nc1 = 127.0.0.1:9\n\
    [operators]\nlisten = 127.0.0.1:0\n";

/// Sends SIGTERM to a process that is blocked on reading its settings; returns its exit status.
fn stop_while_settings_are_read(pipe: &Path) -> ExitStatus {
    let made = Command::new("mkfifo").arg(pipe).status();
    assert!(made.unwrap().success());
    let mut child = Command::new(BINARY)
        .arg("run")
        .arg(pipe)
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    // Blocks until the process has opened the other end.
    let mut settings = OpenOptions::new().write(true).open(pipe).unwrap();
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(sent.unwrap().success());
    // The write fails if the signal has killed the process.
    let _ = settings.write_all(SETTINGS.as_bytes());
    drop(settings);
    child.wait().unwrap()
}

/// Guards against a process that is killed by a SIGTERM right after its start.
#[test]
fn can_stop_gracefully_while_starting() {
    let folder = tempfile::tempdir().unwrap();
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let folder = folder.path();
            scope.spawn(move || {
                for start in 0..STARTS_PER_THREAD {
                    let pipe = folder.join(format!("settings-{thread}-{start}"));
                    let ended = stop_while_settings_are_read(&pipe);
                    assert!(ended.success(), "{ended}");
                }
            });
        }
    });
}
