//! Logging to standard output that never blocks the process: lines pass through a bounded
//! queue to a writer thread, and are dropped and counted when it is full.

use coordination::limit::Window;
use flume::{Receiver, Sender};
use settings::Log;
use state::clock::Millis;
use state::line::Line;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::EnvFilter;

/// Capacity of the queue to the writer thread, in lines: about a megabyte. Further lines are
/// dropped and counted.
///
/// With a blocking write, a reader that stops reading would stall the process at its next log
/// line, and requests would hang.
const MAX_QUEUED_LINES: usize = 4096;

/// Rate limit of lines, about a megabyte per second; further lines are dropped and counted, so
/// that logging a flood of refused requests does not cost more than answering them.
const MAX_LINES_PER_SECOND: u64 = 2500;

/// Largest batch of lines in one write, in bytes: `PIPE_BUF`, up to which a write to a pipe is
/// atomic. Larger writes can be cut in the middle of a line, or interleave with the output of
/// other processes on the same pipe.
const MAX_WRITE_BYTES: usize = 4096;

/// Longest wait at the end of a command for lines that are still queued.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
/// Time between two checks of whether all lines are written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Waits when dropped until the lines that are still queued are written, within a bound.
#[must_use]
pub(crate) struct Flush {
    queued: Arc<AtomicUsize>,
}

impl Drop for Flush {
    fn drop(&mut self) {
        let began = Instant::now();
        while self.queued.load(Ordering::Relaxed) > 0 && began.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(FLUSH_CHECK_INTERVAL);
        }
    }
}

/// Starts logging with the level and format of the settings.
pub(crate) fn start(log: &Log) -> Flush {
    let filter = EnvFilter::new(format!("{},quinn=warn,rustls=warn,hyper=warn", log.level));
    let (sender, receiver) = flume::bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queued = Arc::new(AtomicUsize::new(0));
    let flush = Flush {
        queued: queued.clone(),
    };
    let output = Output {
        sender,
        dropped: dropped.clone(),
        queued: queued.clone(),
        rate: Arc::new(Mutex::new(Window::new(MAX_LINES_PER_SECOND))),
        started: Instant::now(),
    };
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(output);
    // If logging has been started in this process before, the first start stays in effect.
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
        // The thread waits for lines until the process exits.
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(error) = thread.spawn(move || write_lines(&receiver, &dropped, &queued)) {
            eprintln!("cowslipford: logging is disabled: cannot start the writer thread: {error}");
        }
    }
    flush
}

/// Writes queued lines in batches, and a line with the count of dropped ones. Runs on the
/// writer thread.
fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, queued: &AtomicUsize) {
    // Each write locks standard output on its own: a lock held across batches would block
    // everything that a command prints.
    let mut out = io::stdout();
    let mut next = None;
    while let Some(first) = next.take().or_else(|| lines.recv().ok()) {
        let (mut batch, mut count) = (first, 1);
        while let Ok(line) = lines.try_recv() {
            if batch.len() + line.len() > MAX_WRITE_BYTES {
                next = Some(line);
                break;
            }
            batch.extend_from_slice(&line);
            count += 1;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let event = Line::LinesDropped.as_str();
            let line = format!("{{\"level\":\"WARN\",\"event\":\"{event}\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // A write fails when the reader has closed the pipe: the process runs on without logs.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        queued.fetch_sub(count, Ordering::Relaxed);
    }
}

/// A writer that queues each line for the writer thread.
#[derive(Clone)]
struct Output {
    sender: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// Number of lines that are queued or being written.
    queued: Arc<AtomicUsize>,
    rate: Arc<Mutex<Window>>,
    /// Start of logging, the zero of the rate limit's clock.
    started: Instant,
}

impl Output {
    /// Whether the rate limit admits one more line now.
    fn admits_line(&self) -> bool {
        let now = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let rate = self.rate.lock();
        let mut rate = rate.unwrap_or_else(PoisonError::into_inner);
        rate.admits(Millis(now))
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Counted before the writer thread can subtract it.
        self.queued.fetch_add(1, Ordering::Relaxed);
        if !self.admits_line() || self.sender.try_send(line.to_vec()).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
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
