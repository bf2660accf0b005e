//! Logs to standard output, which never hold the process up.

use coordination::limit::Window;
use flume::{Receiver, Sender};
use settings::Log;
use state::clock::Millis;
use state::line::Line;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
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

/// Bytes that are written at once: a pipe takes so many (`PIPE_BUF`) whole or not at
/// all. Larger writes were seen cut in the middle of a line, and what other processes
/// write to the same pipe may come between.
const WRITE_MAX: usize = 4096;

/// Starts logging as the settings say.
pub(crate) fn start(log: &Log) {
    let filter = EnvFilter::new(format!("{},quinn=warn,rustls=warn,hyper=warn", log.level));
    let (sender, receiver) = flume::bounded(WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let output = Output {
        sender,
        dropped: dropped.clone(),
        ceiling: Arc::new(Mutex::new(Window::new(LINES_A_SECOND))),
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
    let mut next = None;
    while let Some(first) = next.take().or_else(|| lines.recv().ok()) {
        let mut batch = first;
        while let Ok(line) = lines.try_recv() {
            if batch.len() + line.len() > WRITE_MAX {
                next = Some(line);
                break;
            }
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let event = Line::LinesDropped.as_str();
            let line = format!("{{\"level\":\"WARN\",\"event\":\"{event}\",\"lines\":{lost}}}\n");
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
    ceiling: Arc<Mutex<Window>>,
    began: Instant,
}

impl Output {
    fn has_room(&self) -> bool {
        let now = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
        let ceiling = self.ceiling.lock();
        let mut ceiling = ceiling.unwrap_or_else(PoisonError::into_inner);
        ceiling.admits(Millis(now))
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
