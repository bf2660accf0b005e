//! Signals during the start of a process.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{BINARY, WAIT_TIMEOUT};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Concurrent threads, each of which starts processes in sequence.
const THREADS: usize = 50;
/// Processes that each thread starts.
const STARTS_PER_THREAD: usize = 2;

/// Settings of a minimal VM.
const SETTINGS: &str = "[vm]\nname = r1\ndata-centre = dc-1\n\
    [link]\nlisten = 127.0.0.1:0\nauthentication = none\n\
    [peers]\nc1 = 127.0.0.1:9\n\
    [operators]\nlisten = 127.0.0.1:0\n";

fn make_pipe(path: &Path) {
    let made = Command::new("mkfifo").arg(path).status();
    assert!(made.unwrap().success());
}

/// Opens a pipe for writing, which blocks until the process has opened the other end.
fn wait_for_reader(pipe: &Path) -> File {
    let (sender, opened) = mpsc::channel();
    let pipe = pipe.to_owned();
    thread::spawn(move || sender.send(OpenOptions::new().write(true).open(pipe)));
    opened.recv_timeout(WAIT_TIMEOUT).unwrap().unwrap()
}

/// A process that reads its settings from a pipe; it is killed when this value is dropped.
struct Starting(Child);

impl Starting {
    /// Starts a process; returns it with the other end of the pipe once it is blocked on reading.
    fn new(pipe: &Path) -> (Self, File) {
        make_pipe(pipe);
        let child = Command::new(BINARY)
            .arg("run")
            .arg(pipe)
            .stdout(Stdio::null())
            .spawn();
        let process = Starting(child.unwrap());
        (process, wait_for_reader(pipe))
    }

    fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.unwrap().success());
    }

    /// Exit status; fails the test if the process does not end.
    fn wait(mut self) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "the process does not end");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends signals to a process that is blocked on reading its settings; returns its exit status.
fn signal_while_settings_are_read(pipe: &Path, signals: &[&str]) -> ExitStatus {
    let (process, mut settings) = Starting::new(pipe);
    for signal in signals {
        process.signal(signal);
    }
    // The write fails if the signal has killed the process.
    let _ = settings.write_all(SETTINGS.as_bytes());
    drop(settings);
    process.wait()
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
                    let ended = signal_while_settings_are_read(&pipe, &["-TERM"]);
                    assert!(ended.success(), "{ended}");
                }
            });
        }
    });
}

/// Guards against a process that is killed by a SIGHUP right after its start: a settings file that
/// has changed asks for a reload.
#[test]
fn can_be_told_of_changed_settings_while_starting() {
    let folder = tempfile::tempdir().unwrap();
    let pipe = folder.path().join("settings");
    let ended = signal_while_settings_are_read(&pipe, &["-HUP", "-TERM"]);
    assert!(ended.success(), "{ended}");
}

/// Guards against a stop that never ends, since the process is blocked on reading its settings again,
/// as it is on a disk that does not answer.
#[test]
fn can_stop_while_the_settings_file_cannot_be_read() {
    let folder = tempfile::tempdir().unwrap();
    let pipe = folder.path().join("settings");
    let (process, mut settings) = Starting::new(&pipe);
    settings.write_all(SETTINGS.as_bytes()).unwrap();
    // The process reads a different pipe from now on, to which nothing is written.
    let silent = folder.path().join("silent");
    make_pipe(&silent);
    fs::rename(&silent, &pipe).unwrap();
    drop(settings);
    let unwritten = wait_for_reader(&pipe);
    process.signal("-TERM");
    let ended = process.wait();
    assert!(ended.success(), "{ended}");
    drop(unwritten);
}
