//! The bounded ring of time-line events of one process.

use serde::{Deserialize, Serialize};
use state::clock::Stamp;
use state::event::Event;
use state::id::Name;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use transport::clock::Clock;

/// Events of one process, as operators get them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Dump {
    /// The VM.
    pub vm: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Events that the ring has dropped.
    pub dropped: u64,
    /// Events that it still holds, in order.
    pub events: Vec<Event>,
}

/// The ring.
#[derive(Clone, Debug)]
pub struct Journal {
    clock: Clock,
    ring: Arc<Mutex<Ring>>,
}

#[derive(Debug)]
struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl Journal {
    /// A ring that holds the last `capacity` events.
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

    /// Stamps an event and keeps it; the oldest gives way.
    pub fn note(&self, mut event: Event) -> Stamp {
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

    /// What the ring holds.
    pub fn dump(&self, vm: Name, incarnation: u64) -> Dump {
        let ring = self.ring();
        Dump {
            vm,
            incarnation,
            dropped: ring.dropped,
            events: ring.events.iter().cloned().collect(),
        }
    }

    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
