//! Limit on the rate of requests to a cold endpoint.
//!
//! An endpoint that has just started can serve only a few requests per second. All endpoints
//! of a data centre that returns to service are cold at once while requests wait: given as
//! many requests as they have slots, they would crash again.

use crate::prelude::*;

/// Time during which earlier requests to an endpoint count towards its rate, in milliseconds.
const WINDOW_MS: u64 = 1000;
/// Microseconds between two requests at a rate of one thousandth of a request per second.
const INTERVAL_UNIT_US: u64 = 1_000_000_000;

/// Limits the rate at which an endpoint is granted requests until it is warm.
///
/// Requests are spaced evenly (the generic cell rate algorithm without a burst: ITU-T I.371),
/// so that no second has more than the rate plus one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacer {
    until: Millis,
    /// Time between two requests, in microseconds; `None` if the endpoint gets no requests.
    interval_us: Option<u64>,
    /// Time of the next request, in microseconds.
    next_us: u64,
}

impl Pacer {
    /// A limit of `rate` thousandths of a request per second until `until`. The endpoint has
    /// not been granted a request since `granted_at`.
    ///
    /// The endpoint gets nothing for one second from then on: the requests that it was sent
    /// before it was known to be cold, and those of an earlier scheduler, count towards the
    /// rate.
    pub fn new(until: Millis, rate: u32, granted_at: Millis) -> Self {
        Pacer {
            until,
            interval_us: INTERVAL_UNIT_US.checked_div(u64::from(rate)),
            next_us: granted_at.after(WINDOW_MS).0 * 1000,
        }
    }

    /// Delays the first request by `offset_permille` of the interval between two requests, so
    /// that processes which share a rate do not send at the same time.
    pub fn with_offset(mut self, offset_permille: u64) -> Self {
        self.next_us += self.interval_us.unwrap_or(0) / 1000 * offset_permille.min(1000);
        self
    }

    /// Until when the endpoint is cold.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Extends the limit to `until`, at a rate that may have changed.
    pub fn extend(&mut self, until: Millis, rate: u32) {
        self.until = self.until.max(until);
        self.interval_us = INTERVAL_UNIT_US.checked_div(u64::from(rate));
    }

    /// Whether the endpoint may be granted a request now.
    pub fn admits(&self, now: Millis) -> bool {
        now >= self.next_at()
    }

    /// When the endpoint may be granted the next request.
    pub fn next_at(&self) -> Millis {
        let next = Millis(self.next_us.div_ceil(1000));
        match self.interval_us {
            Some(_) => next.min(self.until),
            None => self.until,
        }
    }

    /// Counts a request that is granted now.
    pub fn take(&mut self, now: Millis) {
        let interval_us = self.interval_us.unwrap_or(0);
        self.next_us = self.next_us.max(now.0 * 1000) + interval_us;
    }
}
