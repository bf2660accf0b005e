//! Arrival times of the pieces of an answer, and the delays derived from them.

use std::time::{Duration, Instant};

/// Arrival times of one answer's pieces, relative to the arrival of its request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// When the request arrived.
    arrived_at: Instant,
    /// Time from the request to the first piece.
    first_after: Option<Duration>,
    /// When the latest piece arrived; the request's arrival until there is one.
    last_at: Instant,
    /// Longest time between two pieces.
    longest_pause: Duration,
    /// Events relayed so far.
    events: u32,
}

impl Timing {
    /// Starts the timing of a request that arrived at `arrived_at`; no piece has come yet.
    pub(crate) fn new(arrived_at: Instant) -> Self {
        Timing {
            arrived_at,
            first_after: None,
            last_at: arrived_at,
            longest_pause: Duration::ZERO,
            events: 0,
        }
    }

    /// Records a piece that has just arrived. `events` is the new total of events.
    pub(crate) fn record_piece(&mut self, events: u32) {
        let now = Instant::now();
        match self.first_after {
            None => self.first_after = Some(now - self.arrived_at),
            Some(_) => self.longest_pause = self.longest_pause.max(now - self.last_at),
        }
        self.last_at = now;
        self.events = events;
    }

    /// Time from the request's arrival to the first piece; `None` before that piece.
    pub(crate) fn time_to_first(&self) -> Option<Duration> {
        self.first_after
    }

    /// Longest time between two consecutive pieces; `None` before the first piece.
    pub(crate) fn longest_pause(&self) -> Option<Duration> {
        self.first_after.map(|_| self.longest_pause)
    }

    /// Events relayed so far.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }
}
