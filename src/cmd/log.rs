//! Logs to standard output, which never hold the process up.

use flume::{Receiver, Sender};
use settings::Log;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::EnvFilter;

/// Lines that wait for whoever reads standard output, about a megabyte; past them
/// lines are dropped and counted.
///
/// A reader that stops would else stop the process with its next line: one would
/// see requests hang that have nothing to do with logs.
const WAITING: usize = 4096;

/// Lines that are written in a second at most, about a megabyte; the rest is dropped
/// and counted. A flood of refused requests must not cost more than its answers.
const LINES_A_SECOND: u64 = 2500;

/// Starts logging as the settings say.
pub(crate) fn start(log: &Log) {
    let filter = EnvFilter::new(format!("{},quinn=warn,rustls=warn,hyper=warn", log.level));
    let (sender, receiver) = flume::bounded(WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let output = Output {
        sender,
        dropped: dropped.clone(),
        second: Arc::default(),
        lines: Arc::default(),
        began: Instant::now(),
    };
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(output);
    // A second start in the same process keeps the first.
    let started = if log.json {
        lines
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init()
    } else {
        lines.with_ansi(false).try_init()
    };
    if started.is_ok() {
        // The thread ends with the process: it waits for lines until then.
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(error) = thread.spawn(move || write(&receiver, &dropped)) {
            eprintln!("cowslipford: logs are lost: {error}");
        }
    }
}

fn write(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    // Locked for each batch alone: kept, what a command prints would wait for ever.
    let mut out = io::stdout();
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        for line in lines.try_iter().take(64) {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"event\":\"lines-dropped\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // Nobody is left to read them; the process goes on without.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}

/// Takes lines for the thread that writes them.
#[derive(Clone)]
struct Output {
    sender: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// The second that is being counted, since the start.
    second: Arc<AtomicU64>,
    /// Lines in it.
    lines: Arc<AtomicU64>,
    began: Instant,
}

impl Output {
    /// Whether there is room for one more line in this second. Two threads that
    /// begin a second at once may let some lines more pass.
    fn has_room(&self) -> bool {
        let second = self.began.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < LINES_A_SECOND
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.has_room() || self.sender.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Output {
    type Writer = Output;

    fn make_writer(&'a self) -> Output {
        self.clone()
    }
}
