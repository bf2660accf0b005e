//! The local fleet that the command `dev` starts.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn can_print_a_request_to_try() {
    // Symptom: `dev` serves requests, but prints no example; it does not exit by itself.
    // Sequence: the process starts to log, then prints its example.
    // Cause: a logging thread that keeps standard output locked between lines.
    let mut child = Command::new(env!("CARGO_BIN_EXE_cowslipford"))
        .args([
            "dev",
            "--callers",
            "127.0.0.1:0",
            "--operators",
            "127.0.0.1:0",
        ])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let (sender, printed) = std::sync::mpsc::channel();
    let out = child.stdout.take().unwrap();
    let reader = std::thread::spawn(move || {
        let lines = BufReader::new(out).lines().map_while(Result::ok);
        for line in lines.filter(|line| line.contains("Bearer")) {
            // The receiver is gone once the first line has arrived.
            let _ = sender.send(line);
        }
    });
    let line = printed.recv_timeout(std::time::Duration::from_secs(40));
    child.kill().unwrap();
    child.wait().unwrap();
    reader.join().unwrap();
    assert!(line.is_ok(), "no example request was printed");
}
