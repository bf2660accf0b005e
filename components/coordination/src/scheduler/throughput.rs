//! Throughput of a scheduler while requests wait, which predicts how long an ask will wait.

use state::clock::Millis;

/// Time over which the throughput is averaged, in milliseconds: short enough to follow the
/// loss of an engine, long enough to contain some tens of requests.
const AVERAGE_MS: u64 = 1500;
/// Shortest time of one sample, in milliseconds.
const SAMPLE_MS: u64 = 100;
/// Time during which asks must have waited without a break before samples count, in
/// milliseconds. Shorter backlogs do not show the capacity.
const SETTLE_MS: u64 = 300;

/// Cost of the requests that are started per second while others wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Throughput {
    /// Average; 0 until measured.
    cost_per_s: u64,
    /// Cost that was started during the current sample.
    started: u64,
    /// Start of the current sample.
    sample_at: Millis,
    /// Since when asks have waited without a break.
    backlogged_at: Option<Millis>,
}

impl Throughput {
    /// Counts a request that starts.
    pub(super) fn start(&mut self, cost: u32) {
        self.started += u64::from(cost);
    }

    /// Takes a sample if one is due; `is_backlogged` says whether asks wait.
    ///
    /// Requests that start while nothing waits show the demand, not the capacity.
    pub(super) fn tick(&mut self, now: Millis, is_backlogged: bool) {
        if !is_backlogged {
            self.backlogged_at = None;
            self.started = 0;
            self.sample_at = now;
            return;
        }
        let sample_ms = now.since(self.sample_at);
        let backlogged_at = *self.backlogged_at.get_or_insert(now);
        if sample_ms < SAMPLE_MS {
            return;
        }
        let sample = self.started * 1000 / sample_ms;
        self.started = 0;
        self.sample_at = now;
        if now.since(backlogged_at) < SETTLE_MS {
            return;
        }
        let weight_ms = sample_ms.min(AVERAGE_MS);
        self.cost_per_s = match self.cost_per_s {
            0 => sample,
            old => (old * (AVERAGE_MS - weight_ms) + sample * weight_ms) / AVERAGE_MS,
        };
    }

    /// Whether asks have waited for so long that demand exceeds the capacity.
    pub(super) fn is_saturated(&self, now: Millis) -> bool {
        self.backlogged_at
            .is_some_and(|at| now.since(at) >= SETTLE_MS)
    }

    /// Cost that is started per second while asks wait; 0 until measured.
    pub(super) fn cost_per_s(&self) -> u64 {
        self.cost_per_s
    }

    /// Time until `cost` has been started, in milliseconds; `None` while the throughput is
    /// unknown or nothing waits.
    pub(super) fn time_for(&self, cost: u64) -> Option<u64> {
        self.backlogged_at?;
        (cost * 1000).checked_div(self.cost_per_s)
    }
}
