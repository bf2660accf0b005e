//! Endpoints that a router was granted of late.
//!
//! Where there are too many endpoints for all processes, a router knows those that its
//! schedulers have introduced with their grants. While it has no scheduler, it goes on with
//! them for as long as none of them can have been told to leave in time.

use crate::prelude::*;
use state::config::Endpoint;
use std::collections::BTreeMap;

/// Endpoints that are remembered.
pub const RECENT_MAX: usize = 256;
/// Time for which one may be used without a scheduler, in milliseconds.
pub const RECENT_MS: u64 = 2500;

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    heard: Millis,
}

/// Endpoints by number, with when they were granted last.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    all: BTreeMap<EndpointId, Entry>,
}

impl Recent {
    /// Takes an endpoint that a scheduler has introduced.
    pub fn insert(&mut self, now: Millis, id: EndpointId, endpoint: Endpoint) {
        self.all.insert(
            id,
            Entry {
                endpoint,
                heard: now,
            },
        );
        if self.all.len() > RECENT_MAX {
            let oldest = self.all.iter().min_by_key(|(_, entry)| entry.heard);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.all.remove(&oldest);
            }
        }
    }

    /// An endpoint, however long ago it was introduced.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.all.get(&id).map(|entry| &entry.endpoint)
    }

    /// Those that may be used without a scheduler.
    pub fn usable(&self, now: Millis) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let young = move |entry: &&Entry| now.since(entry.heard) <= RECENT_MS;
        let all = self.all.iter().map(|(id, entry)| (*id, entry));
        all.filter(move |(_, entry)| young(entry))
            .map(|(id, entry)| (id, &entry.endpoint))
    }
}
