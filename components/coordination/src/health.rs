//! Ejection of endpoints that fail repeatedly, and probes before their return (a circuit
//! breaker).

use state::clock::Millis;

/// Consecutive failures after which an endpoint is ejected.
pub const EJECT_FAILURES: u32 = 3;
/// Duration of the first ejection, in milliseconds; each further one lasts twice as long.
pub const EJECT_MIN_MS: u64 = 1000;
/// Longest duration of an ejection, in milliseconds.
pub const EJECT_MAX_MS: u64 = 30_000;
/// Most times that the duration of an ejection is doubled, so that the shift cannot overflow;
/// [`EJECT_MAX_MS`] is reached before.
const EJECT_DOUBLINGS_MAX: u32 = 8;

/// Circuit breaker of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections.
    ejections: u32,
    /// End of the ejection; stays set until a probe succeeds.
    ejected_until: Option<Millis>,
}

/// Change of an endpoint's health by the outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The endpoint was ejected.
    Ejected,
    /// The endpoint has returned from an ejection.
    Restored,
}

impl Health {
    /// Requests that the endpoint may have in progress now, out of `capacity`.
    ///
    /// After an ejection the endpoint gets a single probe: a full batch would fail as a whole
    /// if the endpoint were still broken.
    pub fn capacity(&self, now: Millis, capacity: u32) -> u32 {
        match self.ejected_until {
            None => capacity,
            Some(until) if now < until => 0,
            Some(_) => capacity.min(1),
        }
    }

    /// When an ejected endpoint may be probed.
    pub fn ejected_until(&self) -> Option<Millis> {
        self.ejected_until
    }

    /// Records a request that succeeded.
    pub fn record_success(&mut self) -> Change {
        let was_ejected = self.ejected_until.is_some();
        *self = Health::default();
        if was_ejected {
            Change::Restored
        } else {
            Change::None
        }
    }

    /// Records a request that failed.
    pub fn record_failure(&mut self, now: Millis) -> Change {
        self.failures += 1;
        let probing = self.ejected_until.is_some_and(|until| now >= until);
        if !probing && (self.failures < EJECT_FAILURES || self.ejected_until.is_some()) {
            return Change::None;
        }
        let eject_ms = EJECT_MIN_MS << self.ejections.min(EJECT_DOUBLINGS_MAX);
        self.ejected_until = Some(now.after(eject_ms.min(EJECT_MAX_MS)));
        self.ejections += 1;
        Change::Ejected
    }
}
