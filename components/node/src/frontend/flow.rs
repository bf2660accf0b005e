//! When the pieces of an answer came.

use std::time::{Duration, Instant};

/// The pieces of one answer in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    began: Instant,
    first: Option<Duration>,
    last: Instant,
    pause: Duration,
    /// Events passed on.
    events: u32,
}

impl Flow {
    /// Of a request that arrived at `began`.
    pub(crate) fn new(began: Instant) -> Self {
        Flow {
            began,
            first: None,
            last: began,
            pause: Duration::ZERO,
            events: 0,
        }
    }

    /// Notes a piece, with which `events` have come in all.
    pub(crate) fn piece(&mut self, events: u32) {
        let now = Instant::now();
        match self.first {
            None => self.first = Some(now - self.began),
            Some(_) => self.pause = self.pause.max(now - self.last),
        }
        self.last = now;
        self.events = events;
    }

    /// Time from the request's arrival to the first piece.
    pub(crate) fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Longest time between two pieces, once there was one.
    pub(crate) fn pause(&self) -> Option<Duration> {
        self.first.map(|_| self.pause)
    }

    /// Events passed on.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }
}
