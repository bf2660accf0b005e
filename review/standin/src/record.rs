//! The record of what was sent, answered and run.

use std::fs;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            began: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line with the time since the start, in seconds.
    pub fn add(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} {line}"));
    }

    /// Lines that begin with a word, each without its time, split at spaces.
    pub fn find(&self, word: &str) -> Vec<Vec<String>> {
        let lines = self.lines.lock().unwrap();
        let split = lines.iter().map(|line| line.split_whitespace().skip(1));
        let split = split.map(|words| words.map(str::to_owned).collect::<Vec<_>>());
        split
            .filter(|words| words.first().is_some_and(|w| w == word))
            .collect()
    }

    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        fs::write(path, lines.join("\n") + "\n")
    }
}
