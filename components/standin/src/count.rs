//! Counters that a test can read.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What has happened so far.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Calls whose head arrived.
    pub calls: u64,
    /// Calls whose answer was sent to its end.
    pub ended: u64,
    /// Calls in the batch.
    pub running: u64,
    /// Calls that wait for a place in the batch.
    pub waiting: u64,
    /// Most calls that were in the batch at once.
    pub running_max: u64,
    /// Tokens streamed.
    pub tokens: u64,
    /// Calls by their label.
    pub labels: BTreeMap<String, u64>,
}

/// Counters behind a lock.
#[derive(Debug, Default)]
pub struct Counter {
    counts: Mutex<Counts>,
}

impl Counter {
    /// The counts now.
    pub fn read(&self) -> Counts {
        self.lock().clone()
    }

    /// Changes the counts.
    pub fn change<F>(&self, act: F)
    where
        F: FnOnce(&mut Counts),
    {
        act(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
