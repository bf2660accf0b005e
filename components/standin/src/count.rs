//! Counters of calls and tokens, which tests read.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Counts since the start of the stand-in, and the present load.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Calls whose head has arrived.
    pub calls: u64,
    /// Calls whose response was sent completely.
    pub ended: u64,
    /// Calls in the batch now.
    pub running: u64,
    /// Calls that wait for a slot in the batch now.
    pub waiting: u64,
    /// Largest number of calls that were in the batch at once.
    pub running_max: u64,
    /// Tokens sent; a plain response counts as one.
    pub tokens: u64,
    /// Calls by the label in their `stand-in-id` header.
    pub labels: BTreeMap<String, u64>,
}

/// Counts that concurrent calls update.
#[derive(Debug, Default)]
pub struct Counter {
    counts: Mutex<Counts>,
}

impl Counter {
    /// Returns a copy of the counts.
    pub fn read(&self) -> Counts {
        self.lock().clone()
    }

    /// Updates the counts under the lock.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Counts),
    {
        change(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
