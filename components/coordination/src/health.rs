//! Ejection of endpoints that fail, and their careful return.

use state::clock::Millis;

/// Failures in a row that eject an endpoint.
pub const EJECT_FAILURES: u32 = 3;
/// First ejection, in milliseconds.
pub const EJECT_MIN_MS: u64 = 1000;
/// Longest ejection, in milliseconds.
pub const EJECT_MAX_MS: u64 = 30_000;

/// What is known of an endpoint's health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Millis>,
}

/// What a verdict changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The endpoint is ejected.
    Ejected,
    /// The endpoint is back.
    Restored,
}

impl Health {
    /// Requests that the endpoint may have in progress now, of `capacity`.
    ///
    /// After an ejection one probe goes first: a full batch sent to an
    /// endpoint that is still broken would fail whole.
    pub fn capacity(&self, now: Millis, capacity: u32) -> u32 {
        match self.until {
            None => capacity,
            Some(until) if now < until => 0,
            Some(_) => capacity.min(1),
        }
    }

    /// When an ejected endpoint may be probed.
    pub fn ejected_until(&self) -> Option<Millis> {
        self.until
    }

    /// Counts a request that ended well.
    pub fn record_success(&mut self) -> Change {
        let was = self.until.is_some();
        *self = Health::default();
        if was {
            Change::Restored
        } else {
            Change::None
        }
    }

    /// Counts a request that failed.
    pub fn record_failure(&mut self, now: Millis) -> Change {
        self.failures += 1;
        let probing = self.until.is_some_and(|until| now >= until);
        if !probing && (self.failures < EJECT_FAILURES || self.until.is_some()) {
            return Change::None;
        }
        let longer = EJECT_MIN_MS << self.ejections.min(8);
        self.until = Some(now.after(longer.min(EJECT_MAX_MS)));
        self.ejections += 1;
        Change::Ejected
    }
}
