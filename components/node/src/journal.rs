//! Ring buffer of the time-line events of one process.

use serde::{Deserialize, Serialize};
use state::clock::Stamp;
use state::event::Event;
use state::id::Name;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use transport::clock::Clock;

/// Events of one process, as returned to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Dump {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Number of events that were overwritten.
    pub dropped: u64,
    /// Events in the buffer, in order.
    pub events: Vec<Event>,
}

/// A shared handle to the ring buffer.
#[derive(Clone, Debug)]
pub struct Journal {
    clock: Clock,
    ring: Arc<Mutex<Ring>>,
}

/// The buffer, and the number of events that it has dropped.
#[derive(Debug)]
struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Journal {
    /// Creates a ring buffer of the last `capacity` events.
    pub fn new(clock: Clock, capacity: usize) -> Self {
        let ring = Ring {
            events: VecDeque::with_capacity(capacity.min(1024)),
            capacity,
            dropped: 0,
        };
        Journal {
            clock,
            ring: Arc::new(Mutex::new(ring)),
        }
    }

    /// Stamps an event and stores it, in place of the oldest one if the buffer is full.
    pub fn record(&self, mut event: Event) -> Stamp {
        let mut ring = self.ring();
        event.stamp = self.clock.stamp();
        let stamp = event.stamp;
        if ring.events.len() >= ring.capacity {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        ring.events.push_back(event);
        stamp
    }

    /// Copies the events in the buffer.
    pub fn dump(&self, vm: Name, incarnation: u64) -> Dump {
        let ring = self.ring();
        Dump {
            vm,
            incarnation,
            dropped: ring.dropped,
            events: ring.events.iter().cloned().collect(),
        }
    }

    /// Locks the buffer.
    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
