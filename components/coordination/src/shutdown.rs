//! Phases of the stop of a process, and when each of them begins.
//!
//! Requests are in every state when a stop begins, from a head without its body to an answer that
//! is half sent, and some of them never end by themselves: a caller may send one byte a second, or
//! read none. Each phase therefore ends by time as well as by what is left.

use std::time::Duration;

/// Time for which a stopping router still takes requests if load balancers query its readiness.
///
/// They query it once a second, and stop sending callers after two failed checks. If the router
/// refused requests earlier, it would refuse callers that could still be served.
pub const LINGER: Duration = Duration::from_millis(2300);
/// Longest time that is reserved at the end of the grace period for closing connections and links.
const CLOSE_TIME_MAX: Duration = Duration::from_millis(700);
/// Divisor of the grace period that gives this time if the grace period is short.
const CLOSE_TIME_DIVISOR: u32 = 4;
/// Divisor of this time that gives the part for answers to be written before connections are cut. The
/// rest is for tasks, threads and links to end, also on a busy machine.
const CUT_DIVISOR: u32 = 2;
/// Longest time for connections to close once nothing is in progress. A caller whose request was
/// refused may still be sending it for a second.
const CLOSING_TIME: Duration = Duration::from_millis(1500);
/// Divisor of the grace period that gives the time until requests that have not been sent to an
/// endpoint are refused. An answer that begins later would probably be cut, while another router
/// can still serve the request.
const REFUSE_DIVISOR: u32 = 2;
/// Longest wait for other VMs to take over the schedulers of this one.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Phase of a process, in the order in which a stop passes through them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process is not stopping.
    #[default]
    Running,
    /// It is unready, and still takes requests.
    Lingering,
    /// New requests are refused; those in progress go on.
    Draining,
    /// Requests that have not been sent to an endpoint are refused, too.
    Refusing,
    /// Nothing is in progress. Connections are closed.
    Closing,
    /// The time is over. Requests whose answers have not begun are given up.
    Ending,
    /// Connections are cut, with all that is in progress on them.
    Cutting,
}

/// What a stopping process still has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Whether requests, or what outlives them, are in progress.
    pub has_work: bool,
    /// Whether it runs schedulers that other VMs could take over.
    pub has_schedulers: bool,
}

/// A stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Times since the begin of the stop.
    linger_until: Duration,
    refuse_at: Duration,
    end_at: Duration,
    cut_at: Duration,
    /// When connections began to be closed, since nothing was in progress.
    closing_at: Option<Duration>,
    phase: Phase,
}

impl Shutdown {
    /// Begins the stop of a process that is killed after the time `grace`.
    pub fn new(grace: Duration, has_readiness: bool) -> Self {
        let reserved = CLOSE_TIME_MAX.min(grace / CLOSE_TIME_DIVISOR);
        let refuse_at = grace / REFUSE_DIVISOR;
        let linger = if has_readiness {
            LINGER
        } else {
            Duration::ZERO
        };
        let end_at = grace.saturating_sub(reserved);
        Shutdown {
            linger_until: linger.min(refuse_at),
            refuse_at,
            end_at,
            cut_at: end_at + reserved / CUT_DIVISOR,
            closing_at: None,
            phase: Phase::Running,
        }
    }

    /// Phase at a time since the begin of the stop. Phases only advance.
    pub fn advance(&mut self, elapsed: Duration, load: Load) -> Phase {
        let is_handing_over = load.has_schedulers && elapsed < HANDOVER_TIMEOUT;
        let is_closed_late = |at: Duration| elapsed >= at + CLOSING_TIME;
        let due = if elapsed < self.linger_until {
            Phase::Lingering
        } else if elapsed >= self.cut_at || self.closing_at.is_some_and(is_closed_late) {
            Phase::Cutting
        } else if self.closing_at.is_some() {
            Phase::Closing
        } else if elapsed >= self.end_at {
            Phase::Ending
        } else if self.phase >= Phase::Draining && !load.has_work && !is_handing_over {
            self.closing_at = Some(elapsed);
            Phase::Closing
        } else if elapsed >= self.refuse_at {
            Phase::Refusing
        } else {
            Phase::Draining
        };
        self.phase = self.phase.max(due);
        self.phase
    }
}
