//! The stop of a process: waits for the work in progress, closes connections, and joins all tasks,
//! each within bounds.
//!
//! Whatever requests need, such as the links to schedulers and to the control VMs, ends after the
//! servers that take requests.

use super::Process;
use crate::control;
use crate::input::Input;
use crate::shared::Status;
use crate::work::Stage;
use coordination::shutdown::{Load, Phase, Shutdown};
use state::line::Line;
use std::thread::JoinHandle as Thread;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Time between two checks of what is in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two log lines that say what a stopping process waits for.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the reactor to tell its state.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two checks of whether a thread or all tasks have ended.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait for the tasks that serve no requests. They may be waiting for another process, and
/// lose nothing when they are ended.
const TASK_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest time for the control role to complete a write to its disk, and for the reactor and the
/// links to end, if the grace period is longer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Divisor of the grace period, and its largest part, that is left for the end of the process.
const EXIT_TIME_DIVISOR: u32 = 20;
const EXIT_TIME_MAX: Duration = Duration::from_millis(150);

/// Progress of a stop.
struct Progress {
    began: Instant,
    shutdown: Shutdown,
    phase: Phase,
    next_log_at: Duration,
}

impl Process {
    /// Stops the process: refuses new requests, waits for those in progress, and joins all tasks. The
    /// process can end after this, and does so before its grace period is over.
    pub async fn stop(mut self) {
        let mut progress = Progress {
            began: Instant::now(),
            shutdown: Shutdown::new(self.grace, self.has_readiness),
            phase: Phase::Running,
            next_log_at: LOG_INTERVAL,
        };
        while self.check(&mut progress).await {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        // Tasks whose receivers are dropped have stopped already.
        let _ = self.stop.send(true);
        let tasks = self.servers.drain(..).chain(self.tasks.drain(..));
        let mut is_joined = join_tasks(tasks.collect()).await;
        let exit_at = self.grace - EXIT_TIME_MAX.min(self.grace / EXIT_TIME_DIVISOR);
        let left = exit_at.saturating_sub(progress.began.elapsed());
        let until = Instant::now() + left.min(JOIN_TIMEOUT);
        if let Some((control, thread)) = self.control.take() {
            let _ = control.send(control::Input::Stop);
            is_joined &= join_thread(thread, until).await;
        }
        let _ = self.reactor.send(Input::End);
        let ends = async {
            let _ = self.reactor_task.await;
            self.hub.stop().await;
        };
        is_joined &= tokio::time::timeout_at(until.into(), ends).await.is_ok();
        if let Some(thread) = self.origins.take() {
            is_joined &= join_thread(thread, until).await;
        }
        let took_ms = millis(progress.began.elapsed());
        tracing::info!(event = Line::Stopped.as_str(), took_ms, is_joined);
    }

    /// Begins the phase that is due. Returns whether servers are still running.
    async fn check(&self, progress: &mut Progress) -> bool {
        let load = match progress.phase {
            Phase::Draining | Phase::Refusing => self.load().await,
            // The phase then depends on time alone.
            _ => Load::default(),
        };
        let elapsed = progress.began.elapsed();
        let before = std::mem::replace(
            &mut progress.phase,
            progress.shutdown.advance(elapsed, load),
        );
        if progress.phase > before {
            self.begin(before, progress.phase, elapsed);
        }
        if elapsed >= progress.next_log_at {
            progress.next_log_at = elapsed + LOG_INTERVAL;
            self.log_work(elapsed);
        }
        let are_running = !self.servers.iter().all(JoinHandle::is_finished);
        // Servers end by themselves once their connections are cut.
        are_running && (progress.phase < Phase::Cutting || before < Phase::Cutting)
    }

    /// What is in progress.
    async fn load(&self) -> Load {
        let status = tokio::time::timeout(STATUS_TIMEOUT, self.status()).await;
        let status = status.ok().flatten();
        let has_schedulers = |s: &Status| !s.schedulers.is_empty() && !s.peers.is_empty();
        let holds = |s: &Status| s.held > 0 || s.waiting.values().any(|n| *n > 0);
        Load {
            has_work: self.work.total() > 0 || status.as_ref().is_some_and(holds),
            has_schedulers: status.as_ref().is_some_and(has_schedulers),
        }
    }

    /// Begins all phases after `before`, up to `phase`.
    fn begin(&self, before: Phase, phase: Phase, elapsed: Duration) {
        let begins = |begun: Phase| before < begun && begun <= phase;
        // Sending fails only if the reactor has ended.
        if before == Phase::Running {
            let _ = self.reactor.send(Input::Stop);
        }
        if begins(Phase::Draining) {
            let _ = self.reactor.send(Input::Close);
        }
        let after_ms = millis(elapsed);
        let left = self.work.total();
        let event = Line::Drained.as_str();
        if begins(Phase::Ending) && before < Phase::Closing {
            tracing::info!(event, reason = "grace-over", after_ms, left);
            let grace_ms = millis(self.grace);
            tracing::warn!(event = Line::DrainIncomplete.as_str(), grace_ms);
        } else if begins(Phase::Closing) {
            tracing::info!(event, reason = "idle", after_ms, left);
        }
        self.phase.send_replace(phase);
    }

    /// Logs what is in progress.
    fn log_work(&self, elapsed: Duration) {
        let work = &self.work;
        tracing::info!(
            event = Line::Draining.as_str(),
            after_ms = millis(elapsed),
            connections = self.metrics.connections.get(),
            body = work.count(Stage::Body),
            control = work.count(Stage::Control),
            queue = work.count(Stage::Queue),
            endpoint = work.count(Stage::Endpoint),
            peer = work.count(Stage::Peer),
            answer = work.count(Stage::Answer),
            settlement = work.count(Stage::Settlement),
            operator = work.count(Stage::Operator),
        );
    }

    /// State of the process, unless the reactor has ended.
    async fn status(&self) -> Option<Status> {
        let (sender, receiver) = oneshot::channel();
        self.reactor.send(Input::Status(sender)).ok()?;
        receiver.await.ok()
    }
}

/// Joins tasks, and ends those that take too long. Returns whether all have ended by themselves.
async fn join_tasks(tasks: Vec<JoinHandle<()>>) -> bool {
    let until = Instant::now() + TASK_TIMEOUT;
    while !tasks.iter().all(JoinHandle::is_finished) && Instant::now() < until {
        tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
    }
    let mut is_joined = true;
    for task in tasks {
        task.abort();
        is_joined &= task.await.is_ok();
    }
    is_joined
}

/// Joins a thread, unless it takes too long: a disk can keep a write for any time. The thread then
/// ends with the process.
async fn join_thread(thread: Thread<()>, until: Instant) -> bool {
    while !thread.is_finished() {
        if Instant::now() >= until {
            return false;
        }
        tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
    }
    thread.join().is_ok()
}

/// Whole milliseconds of a duration.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
