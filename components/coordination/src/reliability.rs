//! Share of its recent requests that an endpoint has failed.
//!
//! Ejection handles endpoints that fail every request. An endpoint that fails a part of its
//! requests, or loses their answers, has free slots sooner than others and looks idle. Without
//! this share it would get more requests than any sound endpoint.

use state::clock::Millis;

/// Divisor of the weight of the latest outcome in the average: with 8, an endpoint with ten
/// outcomes a second is recognised within a second.
const AVERAGE_DIVISOR: u64 = 8;
/// Time in which the share halves without outcomes, in milliseconds. An endpoint that is
/// avoided for its failures gets few requests that could show its recovery.
const HALF_LIFE_MS: u64 = 2000;

/// Moving average of the failures of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reliability {
    /// Share of failures in thousandths, at the time `at`.
    failed_permille: u64,
    at: Millis,
}

impl Reliability {
    /// Records the outcome of a request.
    pub fn record(&mut self, now: Millis, has_failed: bool) {
        let latest = if has_failed { 1000 } else { 0 };
        self.failed_permille =
            (self.failure_permille(now) * (AVERAGE_DIVISOR - 1) + latest) / AVERAGE_DIVISOR;
        self.at = now;
    }

    /// When the share next decreases without an outcome; `None` if it is zero.
    pub fn next_decay(&self, now: Millis) -> Option<Millis> {
        let halvings = now.since(self.at) / HALF_LIFE_MS + 1;
        (self.failure_permille(now) > 0).then(|| self.at.after(halvings * HALF_LIFE_MS))
    }

    /// Share of failures, in thousandths.
    pub fn failure_permille(&self, now: Millis) -> u64 {
        let halvings = now.since(self.at) / HALF_LIFE_MS;
        self.failed_permille >> halvings.min(63)
    }
}
