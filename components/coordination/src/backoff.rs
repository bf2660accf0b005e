//! Endpoints that have asked in their answers to be sent no requests for a while.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest backoff that is accepted from an endpoint, in milliseconds.
pub const BACKOFF_MAX_MS: u32 = 3_600_000;
/// Time for which a leaving endpoint gets no requests, in milliseconds. It has stopped long
/// before then; the bound covers an endpoint that restarts under the same name.
pub const LEAVING_MS: u32 = 600_000;

/// An endpoint's request, in an answer to one router, to be sent no requests for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Backoff {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time without requests, in milliseconds.
    pub ms: u32,
    /// Whether the endpoint is leaving, so that no router should send requests.
    pub is_leaving: bool,
}

impl Backoff {
    /// The backoff of an endpoint that is leaving or has left.
    pub fn leaving(endpoint: EndpointId) -> Self {
        Backoff {
            endpoint,
            ms: LEAVING_MS,
            is_leaving: true,
        }
    }

    /// The backoff of an endpoint that asked one router to pause for a time.
    pub fn pausing(endpoint: EndpointId, time: Duration) -> Self {
        let ms = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Backoff {
            endpoint,
            ms: ms.min(BACKOFF_MAX_MS),
            is_leaving: false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    until: Millis,
    is_leaving: bool,
}

impl Entry {
    /// The backoff with its remaining time; `None` once it is over.
    fn remaining(&self, now: Millis, endpoint: EndpointId) -> Option<Backoff> {
        let ms = u32::try_from(self.until.since(now)).unwrap_or(u32::MAX);
        (ms > 0).then_some(Backoff {
            endpoint,
            ms,
            is_leaving: self.is_leaving,
        })
    }
}

/// Backoffs that this router has received from endpoints.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    all: BTreeMap<EndpointId, Entry>,
}

impl Backoffs {
    /// Records an endpoint's backoff; of two, the one that ends later counts. Returns true if
    /// this changes what was known.
    pub fn record(&mut self, now: Millis, backoff: &Backoff) -> bool {
        let until = now.after(u64::from(backoff.ms));
        if until <= now {
            return false;
        }
        let new = Entry {
            until,
            is_leaving: backoff.is_leaving,
        };
        let known = self.all.entry(backoff.endpoint).or_insert(Entry {
            until: now,
            is_leaving: false,
        });
        let has_changed = new.until > known.until || new.is_leaving != known.is_leaving;
        known.until = known.until.max(new.until);
        known.is_leaving |= new.is_leaving;
        has_changed
    }

    /// When an endpoint's backoff ends; `None` if it may be sent requests now.
    pub fn until(&self, now: Millis, endpoint: EndpointId) -> Option<Millis> {
        let entry = self.all.get(&endpoint)?;
        (entry.until > now).then_some(entry.until)
    }

    /// An endpoint's backoff with its remaining time.
    pub fn get(&self, now: Millis, endpoint: EndpointId) -> Option<Backoff> {
        let entry = self.all.get(&endpoint)?;
        entry.remaining(now, endpoint)
    }

    /// Number of endpoints that have asked for a backoff.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no endpoint has asked for a backoff.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Removes backoffs that are over.
    pub fn expire(&mut self, now: Millis) {
        self.all.retain(|_, entry| entry.until > now);
    }

    /// All backoffs with their remaining time, to report to a new scheduler.
    pub fn remaining(&self, now: Millis) -> Vec<Backoff> {
        let all = self.all.iter();
        all.filter_map(|(endpoint, entry)| entry.remaining(now, *endpoint))
            .collect()
    }
}
