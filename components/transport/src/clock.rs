//! Clocks of a process: monotonic time, wall time and a hybrid logical clock.

use state::clock::{Millis, Stamp};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Monotonic clock and hybrid logical clock of a process. Clones share their state.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Time since the VM started, in milliseconds, when this clock was created.
    origin_ms: u64,
    /// Milliseconds of suspensions that tests have simulated.
    simulated_ms: Arc<AtomicU64>,
    /// Latest time of the hybrid logical clock.
    stamp: Arc<Mutex<Stamp>>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            origin_ms: boot_ms(),
            simulated_ms: Arc::default(),
            stamp: Arc::default(),
        }
    }
}

impl Clock {
    /// Monotonic time since this clock was created, in milliseconds, including the time for which
    /// the VM was suspended.
    ///
    /// `Instant` does not include suspensions on Linux. With it, a leader that resumes after five
    /// seconds would consider its lease valid and return an old configuration, and a router
    /// would accept keys that were revoked long ago.
    pub fn now(&self) -> Millis {
        let simulated_ms = self.simulated_ms.load(Ordering::Relaxed);
        Millis(boot_ms().saturating_sub(self.origin_ms) + simulated_ms)
    }

    /// For failure tests: advances the clock by `ms` milliseconds, as a suspension of the VM does.
    pub fn simulate_suspension(&self, ms: u64) {
        self.simulated_ms.fetch_add(ms, Ordering::Relaxed);
    }

    /// Advances the hybrid logical clock, and returns its time for an event of this process.
    pub fn stamp(&self) -> Stamp {
        let mut stamp = self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        stamp.tick(wall_micros())
    }

    /// Advances the hybrid logical clock past the time of a message from a peer.
    pub fn merge(&self, other: Stamp) {
        let mut stamp = self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        stamp.merge(wall_micros(), other);
    }
}

/// Time since the VM started, in milliseconds, including suspensions.
fn boot_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1000 + nanos / 1_000_000
}

/// Wall-clock time in microseconds since the Unix epoch.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

/// Wall-clock time in seconds since the Unix epoch.
pub fn wall_seconds() -> u64 {
    wall_micros() / 1_000_000
}
