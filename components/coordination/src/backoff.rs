//! Endpoints that want no requests for a while, by their own word.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest backoff that is believed, in milliseconds.
pub const BACKOFF_MAX_MS: u32 = 3_600_000;
/// Time for which an endpoint that leaves counts as away, in milliseconds. It is gone long
/// before, or has started again under its name and not been heard of since.
pub const LEAVING_MS: u32 = 600_000;

/// What an endpoint has said in an answer to one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Backoff {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time for which it wants no more requests, in milliseconds.
    pub ms: u32,
    /// Whether it leaves, and wants none from any router.
    pub is_leaving: bool,
}

impl Backoff {
    /// An endpoint that leaves, or has gone already.
    pub fn leaving(endpoint: EndpointId) -> Self {
        Backoff {
            endpoint,
            ms: LEAVING_MS,
            is_leaving: true,
        }
    }

    /// An endpoint that wants no requests from one router for a time.
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
    /// What is left of it, as of an endpoint's word that is heard now.
    fn left(&self, now: Millis, endpoint: EndpointId) -> Option<Backoff> {
        let ms = u32::try_from(self.until.since(now)).unwrap_or(u32::MAX);
        (ms > 0).then_some(Backoff {
            endpoint,
            ms,
            is_leaving: self.is_leaving,
        })
    }
}

/// What endpoints have said to this router.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    all: BTreeMap<EndpointId, Entry>,
}

impl Backoffs {
    /// Takes an endpoint's word; of two, the one that holds longer counts. True if it says
    /// more than was known.
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
        let is_news = new.until > known.until || new.is_leaving != known.is_leaving;
        known.until = known.until.max(new.until);
        known.is_leaving |= new.is_leaving;
        is_news
    }

    /// When an endpoint may be sent requests again; `None` if it may be now.
    pub fn until(&self, now: Millis, endpoint: EndpointId) -> Option<Millis> {
        let entry = self.all.get(&endpoint)?;
        (entry.until > now).then_some(entry.until)
    }

    /// What is left of an endpoint's backoff.
    pub fn of(&self, now: Millis, endpoint: EndpointId) -> Option<Backoff> {
        let entry = self.all.get(&endpoint)?;
        entry.left(now, endpoint)
    }

    /// Endpoints that are away.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no endpoint is away.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Forgets backoffs that are over.
    pub fn expire(&mut self, now: Millis) {
        self.all.retain(|_, entry| entry.until > now);
    }

    /// All backoffs with the time that is left of them, for a scheduler that knows none.
    pub fn remaining(&self, now: Millis) -> Vec<Backoff> {
        let all = self.all.iter();
        all.filter_map(|(endpoint, entry)| entry.left(now, *endpoint))
            .collect()
    }
}
