//! Monotonic time for decisions, and the hybrid logical clock that orders timeline events.

use serde::{Deserialize, Serialize};

/// Monotonic time in milliseconds since an origin chosen by the process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The time `ms` milliseconds later, saturating.
    pub fn after(self, ms: u64) -> Self {
        Millis(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`, or 0 if it is in the future.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A timestamp of a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
///
/// A cause has a smaller stamp than its effect, even if the clocks of the VMs differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Largest wall clock seen, in microseconds since 1970.
    pub wall: u64,
    /// Counter that orders events with the same `wall`.
    pub count: u32,
}

impl Stamp {
    /// Advances the clock for an event of this process at wall clock `now`, in microseconds.
    pub fn tick(&mut self, now: u64) -> Stamp {
        if now > self.wall {
            *self = Stamp {
                wall: now,
                count: 0,
            };
        } else {
            self.count += 1;
        }
        *self
    }

    /// Advances the clock past a stamp received from a peer.
    pub fn merge(&mut self, now: u64, other: Stamp) -> Stamp {
        if other > *self {
            *self = other;
        }
        self.tick(now)
    }
}
