//! Measurement of the pauses between the events of a stream at its router.
//!
//! Load that it handles: a router passes on some hundreds of events a second, and schedulers need
//! the pauses of each engine within about 100 ms. A stream collects its pauses and hands them over
//! ten times a second, and at once after a long one. Pauses that the router or the caller causes
//! say nothing about the engine and are not counted.

use crate::messages::Objective;

/// Time for which a stream collects pauses, in milliseconds.
const COLLECT_MS: u64 = 100;
/// Part of the bound from which a pause is handed over at once. It may be the first sign of a slow
/// phase, and pauses of that length are rare enough to cost no more than [`COLLECT_MS`].
const URGENT_DIVISOR: u32 = 3;

/// Pauses of one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Number of pauses.
    pub count: u32,
    /// Sum of the pauses, in milliseconds.
    pub total_ms: u32,
    /// Longest pause, in milliseconds.
    pub longest_ms: u32,
    /// Number of pauses beyond the bound of the stream.
    pub over_bound: u32,
}

/// Measures the pauses of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    max_gap_ms: u32,
    /// When the latest event arrived.
    last_ms: Option<u64>,
    observed: Observed,
    /// When pauses were last handed over.
    taken_ms: u64,
}

impl Meter {
    /// A meter for a stream with a bound on its pauses; `None` without one.
    pub fn new(objective: Option<Objective>) -> Option<Self> {
        let max_gap_ms = objective?.max_gap_ms;
        (max_gap_ms > 0).then_some(Meter {
            max_gap_ms,
            last_ms: None,
            observed: Observed::default(),
            taken_ms: 0,
        })
    }

    /// Starts anew, because the stream continues at another endpoint: the time since its latest
    /// event says nothing about that one.
    pub fn restart(&mut self) {
        *self = Meter {
            max_gap_ms: self.max_gap_ms,
            last_ms: None,
            observed: Observed::default(),
            taken_ms: 0,
        };
    }

    /// Records that events arrived at `now_ms`. `is_reliable` is false if the router's tasks run
    /// late, or the caller has read slowly since the latest event. Returns the pauses to report.
    pub fn record(&mut self, now_ms: u64, is_reliable: bool) -> Option<Observed> {
        let pause_ms = (self.last_ms.replace(now_ms)).map(|last| now_ms.saturating_sub(last));
        let pause_ms = pause_ms.filter(|_| is_reliable)?;
        let pause_ms = u32::try_from(pause_ms).unwrap_or(u32::MAX);
        let observed = &mut self.observed;
        observed.count += 1;
        observed.total_ms = observed.total_ms.saturating_add(pause_ms);
        observed.longest_ms = observed.longest_ms.max(pause_ms);
        observed.over_bound += u32::from(pause_ms > self.max_gap_ms);
        let is_urgent = pause_ms >= self.max_gap_ms / URGENT_DIVISOR;
        let is_due = now_ms.saturating_sub(self.taken_ms) >= COLLECT_MS;
        if !is_urgent && !is_due {
            return None;
        }
        self.taken_ms = now_ms;
        Some(std::mem::take(observed))
    }
}
