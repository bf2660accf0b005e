//! Work in progress in this process, by stage, and the phase of the process that bounds it.
//!
//! A stopping process waits for it. Metrics show it at all times, and the log while a process stops.

use crate::metric::Metrics;
use coordination::shutdown::Phase;
use prometheus::IntGauge;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::task::Poll;
use tokio::sync::watch;

/// Stage of a request, or of what outlives one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The body of a caller's request is coming in.
    Body,
    /// The control VMs are asked about a request: whether its idempotency key is new, or which
    /// version began its stream.
    Control,
    /// A request waits for a slot of an endpoint.
    Queue,
    /// A request was sent to an endpoint, which has not begun to answer.
    Endpoint,
    /// A request was handed over to another router, which has not begun to answer.
    Peer,
    /// An answer is going out.
    Answer,
    /// The outcome of an idempotency key is being reported to the control VMs.
    Settlement,
    /// A request of an operator, or for this process's readiness.
    Operator,
}

impl Stage {
    /// All stages; each stands at the index that is its number.
    const ALL: [Stage; 8] = [
        Stage::Body,
        Stage::Control,
        Stage::Queue,
        Stage::Endpoint,
        Stage::Peer,
        Stage::Answer,
        Stage::Settlement,
        Stage::Operator,
    ];

    /// Name in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Stage::Body => "body",
            Stage::Control => "control",
            Stage::Queue => "queue",
            Stage::Endpoint => "endpoint",
            Stage::Peer => "peer",
            Stage::Answer => "answer",
            Stage::Settlement => "settlement",
            Stage::Operator => "operator",
        }
    }
}

/// Counts of the work in progress, and the phase of the process. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Tally(Arc<Inner>);

/// State that all clones of a [`Tally`] share.
#[derive(Debug)]
struct Inner {
    /// Count of each stage.
    gauges: [IntGauge; Stage::ALL.len()],
    phase: watch::Receiver<Phase>,
}

impl Tally {
    /// Creates the counts of a process without any work.
    pub(crate) fn new(metrics: &Metrics, phase: watch::Receiver<Phase>) -> Self {
        let gauge = |stage: Stage| metrics.work.with_label_values(&[stage.as_str()]);
        Tally(Arc::new(Inner {
            gauges: Stage::ALL.map(gauge),
            phase,
        }))
    }

    /// Phase of the process.
    pub(crate) fn phase(&self) -> Phase {
        *self.0.phase.borrow()
    }

    /// Waits until the process has reached a phase, or has ended.
    pub(crate) async fn until(&self, phase: Phase) {
        let mut current = self.0.phase.clone();
        // The sender is dropped only at the end of the process.
        let _ = current.wait_for(|current| *current >= phase).await;
    }

    /// Counts an item of work until it is dropped.
    pub(crate) fn begin(&self, stage: Stage) -> Item {
        self.gauge(stage).inc();
        Item {
            tally: self.clone(),
            // CAST: the number of a stage is below 8.
            stage: AtomicU8::new(stage as u8),
        }
    }

    /// Number of items at a stage.
    pub(crate) fn count(&self, stage: Stage) -> i64 {
        self.gauge(stage).get()
    }

    /// Number of all items.
    pub(crate) fn total(&self) -> i64 {
        self.0.gauges.iter().map(IntGauge::get).sum()
    }

    fn gauge(&self, stage: Stage) -> &IntGauge {
        // CAST: the number of a stage is its index.
        &self.0.gauges[stage as usize]
    }
}

/// An item of work, which is in progress until this value is dropped.
#[derive(Debug)]
pub(crate) struct Item {
    tally: Tally,
    /// Number of its stage.
    stage: AtomicU8,
}

impl Item {
    /// Records that the next stage has begun.
    pub(crate) fn set(&self, next: Stage) {
        self.tally.gauge(next).inc();
        // CAST: the number of a stage is below 8.
        let previous = self.stage.swap(next as u8, Ordering::Relaxed);
        self.tally.0.gauges[usize::from(previous)].dec();
    }

    /// Whether the process is at the end of its grace period and gives work up.
    pub(crate) fn is_given_up(&self) -> bool {
        self.tally.phase() >= Phase::Ending
    }

    /// Waits until a stopping process gives the request up: at [`Phase::Refusing`] if it has not been
    /// sent, and at [`Phase::Ending`] if its answer has not begun. Has to be polled by the task that
    /// serves the request: a change of the stage does not wake it.
    pub(crate) async fn until_given_up(&self) {
        self.tally.until(Phase::Refusing).await;
        let unsent = std::future::poll_fn(|_| match self.stage() {
            Stage::Body | Stage::Control | Stage::Queue => Poll::Ready(()),
            _ => Poll::Pending,
        });
        let unanswered = async {
            self.tally.until(Phase::Ending).await;
            std::future::poll_fn(|_| match self.stage() {
                Stage::Endpoint | Stage::Peer => Poll::Ready(()),
                _ => Poll::Pending,
            })
            .await;
        };
        tokio::select! {
            () = unsent => {}
            () = unanswered => {}
        }
    }

    /// Stage of the work.
    pub(crate) fn stage(&self) -> Stage {
        Stage::ALL[usize::from(self.stage.load(Ordering::Relaxed))]
    }
}

impl Drop for Item {
    fn drop(&mut self) {
        self.tally.gauge(self.stage()).dec();
    }
}
