//! The clocks of this process.

use state::clock::{Millis, Stamp};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Monotonic time, wall time and the hybrid logical clock.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Milliseconds of the system's clock when this one was made.
    origin: u64,
    /// Milliseconds by which a test has moved it on.
    moved: Arc<AtomicU64>,
    stamp: Arc<Mutex<Stamp>>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            origin: boot_millis(),
            moved: Arc::default(),
            stamp: Arc::default(),
        }
    }
}

impl Clock {
    /// Monotonic milliseconds since this clock was made, with the time for which
    /// the VM was suspended.
    ///
    /// `Instant` does not count that time on Linux. A leader that wakes after five
    /// seconds would still be inside its lease and show an old configuration, and
    /// a router would serve keys that were revoked long ago.
    pub fn now(&self) -> Millis {
        let moved = self.moved.load(Ordering::Relaxed);
        Millis(boot_millis().saturating_sub(self.origin) + moved)
    }

    /// For tests of failures: moves the clock on as a suspension of the VM does.
    pub fn simulate_suspension(&self, ms: u64) {
        self.moved.fetch_add(ms, Ordering::Relaxed);
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

/// Milliseconds since the VM started, suspensions included.
fn boot_millis() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1000 + nanos / 1_000_000
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
