//! Endpoints that schedulers have recently granted to a router.
//!
//! In a fleet with too many endpoints for every process to know them all, a router knows
//! only the endpoints that its schedulers described in their grants. While the router has
//! no scheduler it keeps using these endpoints, but only for as long as none of them can
//! have finished draining without the router knowing.

use crate::prelude::*;
use state::config::Endpoint;
use std::collections::BTreeMap;

/// Largest number of endpoints to remember.
pub const RECENT_MAX: usize = 256;
/// Time for which a granted endpoint may be used without a scheduler, in milliseconds.
pub const RECENT_MS: u64 = 2500;

#[derive(Clone, Debug)]
struct Entry {
    endpoint: Endpoint,
    granted_at: Millis,
}

/// Recently granted endpoints by id, with the time of the last grant.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    all: BTreeMap<EndpointId, Entry>,
}

impl Recent {
    /// Records an endpoint that a scheduler has granted. Drops the oldest entry beyond
    /// [`RECENT_MAX`].
    pub fn insert(&mut self, now: Millis, id: EndpointId, endpoint: Endpoint) {
        self.all.insert(
            id,
            Entry {
                endpoint,
                granted_at: now,
            },
        );
        if self.all.len() > RECENT_MAX {
            let oldest = self.all.iter().min_by_key(|(_, entry)| entry.granted_at);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.all.remove(&oldest);
            }
        }
    }

    /// Returns an endpoint, whatever the age of its last grant.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.all.get(&id).map(|entry| &entry.endpoint)
    }

    /// Returns the endpoints that may be used without a scheduler.
    pub fn usable(&self, now: Millis) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let is_recent = move |entry: &&Entry| now.since(entry.granted_at) <= RECENT_MS;
        let all = self.all.iter().map(|(id, entry)| (*id, entry));
        all.filter(move |(_, entry)| is_recent(entry))
            .map(|(id, entry)| (id, &entry.endpoint))
    }
}
