//! Time as the decisions see it, and the hybrid logical clock of the time line.

use serde::{Deserialize, Serialize};

/// Monotonic milliseconds since an origin that the process chose.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// This instant moved on by `ms`, saturating.
    pub fn after(self, ms: u64) -> Self {
        Millis(self.0.saturating_add(ms))
    }

    /// Milliseconds since `earlier`, or 0 when it lies in the future.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A hybrid logical time stamp: wall clock in microseconds, then a count.
///
/// Method: Kulkarni et al., "Logical Physical Clocks", 2014. Cause comes
/// before effect in the order of stamps whatever the VMs' clocks say.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Largest wall clock seen, in microseconds since 1970.
    pub wall: u64,
    /// Count of events within that microsecond.
    pub count: u32,
}

impl Stamp {
    /// Advances to an event of this process at wall clock `now`.
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

    /// Advances past a stamp that a peer sent.
    pub fn merge(&mut self, now: u64, other: Stamp) -> Stamp {
        if other > *self {
            *self = other;
        }
        self.tick(now)
    }
}
