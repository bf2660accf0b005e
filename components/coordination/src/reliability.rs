//! The share of requests that an endpoint has failed of late.
//!
//! Ejection answers endpoints that fail everything. One that fails a part of its
//! requests, or loses their answers, looks idle for it: its slots come free sooner
//! than others'. One would see it get more requests than any sound endpoint.

use state::clock::Millis;

/// Weight of the latest outcome, as a part of this: an endpoint with ten outcomes a
/// second is known within a second.
const MEMORY: u64 = 8;
/// Time in which a share halves without outcomes, in milliseconds. Endpoints that are
/// avoided for their failures get few requests that could show them to be sound again.
const HALF_MS: u64 = 2000;

/// What is known of an endpoint's failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reliability {
    /// Share of failures in thousandths, when it was last changed.
    failed: u64,
    at: Millis,
}

impl Reliability {
    /// Counts an outcome.
    pub fn record(&mut self, now: Millis, has_failed: bool) {
        let latest = if has_failed { 1000 } else { 0 };
        self.failed = (self.failure_permille(now) * (MEMORY - 1) + latest) / MEMORY;
        self.at = now;
    }

    /// When the share next falls without an outcome; `None` if nothing has failed.
    pub fn next_decay(&self, now: Millis) -> Option<Millis> {
        let halvings = now.since(self.at) / HALF_MS + 1;
        (self.failure_permille(now) > 0).then(|| self.at.after(halvings * HALF_MS))
    }

    /// Share of failures, in thousandths.
    pub fn failure_permille(&self, now: Millis) -> u64 {
        let halvings = now.since(self.at) / HALF_MS;
        self.failed >> halvings.min(63)
    }
}
