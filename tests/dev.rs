//! The fleet for trying, as the README starts it.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

#[test]
fn can_print_what_to_paste() {
    // Symptom: `dev` serves, but says nothing, and does not end by itself.
    // Sequence: it starts to log, then prints its help.
    // Cause: a thread that keeps standard output locked between lines of the log.
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
            // Nobody listens any more once the first has come.
            let _ = sender.send(line);
        }
    });
    let line = printed.recv_timeout(std::time::Duration::from_secs(40));
    child.kill().unwrap();
    child.wait().unwrap();
    reader.join().unwrap();
    assert!(line.is_ok(), "nothing to paste was printed");
}
