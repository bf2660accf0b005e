//! Endpoints of single shards, as their schedulers ask for them.
//!
//! The load: a list of thousands of endpoints, of which each scheduler needs some hundred and
//! a router none but those that it is granted. Sent to all, the list and each change of it
//! would cost every VM what the fleet is.

use crate::listing::Registry;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use state::listing::{Change, Entry, Listing};
use state::view::Shard;
use std::collections::BTreeMap;

/// Time between two questions of a scheduler, in milliseconds.
pub const POLL_INTERVAL_MS: u64 = 500;
/// Silence after which it asks another control VM, in milliseconds.
const SILENCE_MS: u64 = 1600;
/// Time for which endpoints of a shard that nobody asks for any more are kept ready, in
/// milliseconds.
const UNASKED_MS: u64 = 10_000;

/// What a scheduler is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// All endpoints of its shard.
    Whole(Listing),
    /// What has changed since the listing that it has.
    Change(Change),
    /// It has the newest listing.
    #[serde(rename = "kept")]
    Unchanged,
}

#[derive(Clone, Debug)]
struct Page {
    service: Name,
    listing: Listing,
    change: Change,
    asked: Millis,
}

/// Endpoints by shard, at a control VM that holds the whole list.
#[derive(Clone, Debug)]
pub struct Catalogue {
    pages: BTreeMap<Shard, Page>,
    next: u64,
}

impl Catalogue {
    /// One that numbers its listings from `lot` on, which differs between processes.
    pub fn new(lot: u64) -> Self {
        Catalogue {
            pages: BTreeMap::new(),
            next: lot,
        }
    }

    /// Answers a scheduler that has the listing with the number `known` of its shard, whose
    /// service has this name; `all` is the whole list.
    pub fn answer(
        &mut self,
        now: Millis,
        shard: &Shard,
        service: &Name,
        all: &Listing,
        known: u64,
    ) -> Answer {
        let next = &mut self.next;
        let page = self.pages.entry(shard.clone()).or_insert_with(|| {
            *next = next.wrapping_add(1);
            let of_shard = |l: &&Entry| l.endpoint.service == *service && covers(shard, l);
            let listing = Listing {
                id: *next,
                endpoints: all.endpoints.iter().filter(of_shard).cloned().collect(),
            };
            Page {
                service: service.clone(),
                listing,
                change: Change::default(),
                asked: now,
            }
        });
        page.asked = now;
        if page.listing.id == known {
            Answer::Unchanged
        } else if page.change.base == known && page.change.id == page.listing.id {
            Answer::Change(page.change.clone())
        } else {
            Answer::Whole(page.listing.clone())
        }
    }

    /// Follows a change of the whole list: of what is held by shard only what it concerns.
    pub fn apply_change(&mut self, now: Millis, change: &Change) {
        let asked = |page: &Page| now.since(page.asked) < UNASKED_MS;
        self.pages.retain(|_, page| asked(page));
        for (shard, page) in &mut self.pages {
            let is_here = |l: &&Entry| l.endpoint.service == page.service && covers(shard, l);
            let set: Vec<Entry> = change.set.iter().filter(is_here).cloned().collect();
            // One that has started again may be of another cell now.
            let moved = change.set.iter().filter(|l| !is_here(l));
            let moved = moved.map(|l| &l.endpoint.name).chain(&change.gone);
            let held = |name: &&Name| page.listing.contains(name);
            let gone: Vec<Name> = moved.filter(held).cloned().collect();
            if set.is_empty() && gone.is_empty() {
                continue;
            }
            self.next = self.next.wrapping_add(1);
            let change = Change {
                base: page.listing.id,
                id: self.next,
                set,
                gone,
            };
            if let Some(listing) = page.listing.with_change(&change) {
                page.listing = listing;
                page.change = change;
            }
        }
    }
}

fn covers(shard: &Shard, listed: &Entry) -> bool {
    shard.covers(listed.id(), &listed.endpoint)
}

#[derive(Clone, Debug, Default)]
struct Held {
    registry: Registry,
    asked: Option<Millis>,
    heard: Option<Millis>,
    /// Questions that went without an answer.
    attempt: usize,
}

/// What a scheduler wants to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Of which shard.
    pub shard: Shard,
    /// Number of the listing that it has.
    pub known_id: u64,
    /// Which control VM it asks: another one for each that has not answered.
    pub attempt: usize,
}

/// Endpoints of the shards that are scheduled here.
#[derive(Clone, Debug, Default)]
pub struct Poller {
    all: BTreeMap<Shard, Held>,
}

impl Poller {
    /// Follows which shards are scheduled here.
    pub fn set_shards<I>(&mut self, shards: I)
    where
        I: IntoIterator<Item = Shard>,
    {
        let mut before = std::mem::take(&mut self.all);
        let kept = shards.into_iter().map(|shard| {
            let held = before.remove(&shard).unwrap_or_default();
            (shard, held)
        });
        self.all = kept.collect();
    }

    /// Questions that are due.
    pub fn due_queries(&mut self, now: Millis) -> Vec<Query> {
        let mut questions = Vec::new();
        for (shard, held) in &mut self.all {
            if held
                .asked
                .is_some_and(|at| now.since(at) < POLL_INTERVAL_MS)
            {
                continue;
            }
            let heard = *held.heard.get_or_insert(now);
            if now.since(heard) >= SILENCE_MS {
                held.attempt += 1;
                held.heard = Some(now);
            }
            held.asked = Some(now);
            questions.push(Query {
                shard: shard.clone(),
                known_id: held.registry.listing().id,
                attempt: held.attempt,
            });
        }
        questions
    }

    /// Takes an answer; true if it is news.
    pub fn apply_answer(&mut self, now: Millis, shard: &Shard, answer: Answer) -> bool {
        let Some(held) = self.all.get_mut(shard) else {
            return false;
        };
        held.heard = Some(now);
        match answer {
            Answer::Whole(listing) => held.registry.apply_listing(now, listing),
            // One of another listing is asked for again.
            Answer::Change(change) => held.registry.apply_change(now, &change).unwrap_or(false),
            Answer::Unchanged => false,
        }
    }

    /// What is known of the shards' endpoints.
    pub fn registries(&self) -> impl Iterator<Item = &Registry> {
        self.all.values().map(|held| &held.registry)
    }
}
