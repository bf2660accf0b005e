//! The clocks of this process.

use state::clock::{Millis, Stamp};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time, wall time and the hybrid logical clock.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Instant,
    stamp: Arc<Mutex<Stamp>>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            origin: Instant::now(),
            stamp: Arc::default(),
        }
    }
}

impl Clock {
    /// Monotonic milliseconds since this clock was made.
    pub fn now(&self) -> Millis {
        let ms = self.origin.elapsed().as_millis();
        Millis(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    /// Stamps an event of this process.
    pub fn stamp(&self) -> Stamp {
        let mut stamp = self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        stamp.tick(wall_micros())
    }

    /// Moves past the stamp of a message from a peer.
    pub fn merge(&self, other: Stamp) {
        let mut stamp = self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        stamp.merge(wall_micros(), other);
    }
}

/// Wall clock in microseconds since 1970.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

/// Wall clock in seconds since 1970.
pub fn wall_seconds() -> u64 {
    wall_micros() / 1_000_000
}
