//! How fast an endpoint that is cold is given requests.
//!
//! The load: a data centre that comes back has all its endpoints cold at once, and work
//! waits. Given as many requests as it has slots, each of them would crash again.

use crate::prelude::*;

/// Span over which requests to a cold endpoint are counted, in milliseconds.
const WINDOW_MS: u64 = 1000;
/// Thousandths of a request a second in which rates are given, times microseconds a second.
const RATE_US: u64 = 1_000_000_000;

/// The rate at which an endpoint is granted requests until it is warm.
///
/// They are spaced evenly (the generic cell rate algorithm without a burst: ITU-T I.371), so
/// that no span of a second holds more than the rate and one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacer {
    until: Millis,
    /// Time between two requests, in microseconds; `None` for no requests.
    every_us: Option<u64>,
    next_us: u64,
}

impl Pacer {
    /// A ramp until `until`, at `rate` thousandths of a request a second. The endpoint has
    /// been sent nothing since `quiet`.
    ///
    /// What it was sent before it was known to be cold counts within the same second, and
    /// so does what an earlier scheduler granted: it gets nothing for that long.
    pub fn new(until: Millis, rate: u32, quiet: Millis) -> Self {
        Pacer {
            until,
            every_us: RATE_US.checked_div(u64::from(rate)),
            next_us: quiet.after(WINDOW_MS).0 * 1000,
        }
    }

    /// Moves the first request back by a part of the time between two, in thousandths, so
    /// that those who share a rate do not begin together.
    pub fn shifted(mut self, part: u64) -> Self {
        self.next_us += self.every_us.unwrap_or(0) / 1000 * part.min(1000);
        self
    }

    /// Until when the endpoint is cold.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Hears that the endpoint is cold until `until`, at a rate that may have changed.
    pub fn extend(&mut self, until: Millis, rate: u32) {
        self.until = self.until.max(until);
        self.every_us = RATE_US.checked_div(u64::from(rate));
    }

    /// Whether it may be granted a request now.
    pub fn admits(&self, now: Millis) -> bool {
        now >= self.opens_at()
    }

    /// When it may be granted the next request.
    pub fn opens_at(&self) -> Millis {
        let next = Millis(self.next_us.div_ceil(1000));
        match self.every_us {
            Some(_) => next.min(self.until),
            None => self.until,
        }
    }

    /// Counts a request that is granted.
    pub fn take(&mut self, now: Millis) {
        let every_us = self.every_us.unwrap_or(0);
        self.next_us = self.next_us.max(now.0 * 1000) + every_us;
    }
}
