//! Distribution of endpoints by shard, from the control VMs to the schedulers.
//!
//! A fleet may have thousands of endpoints, of which each scheduler needs a few hundred and a
//! router only those that it was granted. Sending the whole list and each of its changes to
//! all VMs would make the cost of each VM grow with the fleet, so schedulers poll for the
//! endpoints of their own shards.

use crate::listing::Registry;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use state::listing::{Change, Entry, Listing};
use state::view::Shard;
use std::collections::BTreeMap;

/// Time between two queries for the same shard, in milliseconds.
pub const POLL_INTERVAL_MS: u64 = 500;
/// Time without an answer after which a scheduler queries another control VM, in
/// milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1600;
/// Time after the last query for a shard for which a control VM keeps its endpoints, in
/// milliseconds.
const PAGE_IDLE_MS: u64 = 10_000;

/// Answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// All endpoints of the shard.
    Whole(Listing),
    /// The change since the listing that the scheduler has.
    Change(Change),
    /// The scheduler has the current listing.
    #[serde(rename = "kept")]
    Unchanged,
}

/// Endpoints of one shard.
#[derive(Clone, Debug)]
struct Page {
    service: Name,
    listing: Listing,
    /// The change that led to `listing`.
    change: Change,
    /// When a scheduler last queried the shard.
    queried: Millis,
}

/// Endpoints by shard, at a control VM that has the whole list.
#[derive(Clone, Debug)]
pub struct Catalogue {
    pages: BTreeMap<Shard, Page>,
    next_id: u64,
}

impl Catalogue {
    /// Creates an empty catalogue. Its listings are numbered from `first_id` on, which differs
    /// between processes so that their numbers do not collide.
    pub fn new(first_id: u64) -> Self {
        Catalogue {
            pages: BTreeMap::new(),
            next_id: first_id,
        }
    }

    /// Answers a scheduler that has the listing numbered `known_id` of a shard. `service` is the
    /// name of the shard's service, and `all` the whole list.
    pub fn answer(
        &mut self,
        now: Millis,
        shard: &Shard,
        service: &Name,
        all: &Listing,
        known_id: u64,
    ) -> Answer {
        let next_id = &mut self.next_id;
        let page = self.pages.entry(shard.clone()).or_insert_with(|| {
            *next_id = next_id.wrapping_add(1);
            let is_in_shard = |l: &&Entry| l.endpoint.service == *service && covers(shard, l);
            let listing = Listing {
                id: *next_id,
                endpoints: all.endpoints.iter().filter(is_in_shard).cloned().collect(),
            };
            Page {
                service: service.clone(),
                listing,
                change: Change::default(),
                queried: now,
            }
        });
        page.queried = now;
        if page.listing.id == known_id {
            Answer::Unchanged
        } else if page.change.base == known_id && page.change.id == page.listing.id {
            Answer::Change(page.change.clone())
        } else {
            Answer::Whole(page.listing.clone())
        }
    }

    /// Applies a change of the whole list to the shards that it concerns, and drops shards that
    /// are no longer queried.
    pub fn apply_change(&mut self, now: Millis, change: &Change) {
        let is_in_use = |page: &Page| now.since(page.queried) < PAGE_IDLE_MS;
        self.pages.retain(|_, page| is_in_use(page));
        for (shard, page) in &mut self.pages {
            let is_in_shard = |l: &&Entry| l.endpoint.service == page.service && covers(shard, l);
            let set: Vec<Entry> = change.set.iter().filter(is_in_shard).cloned().collect();
            // An endpoint that has restarted may belong to another cell now.
            let moved = change.set.iter().filter(|l| !is_in_shard(l));
            let moved = moved.map(|l| &l.endpoint.name).chain(&change.gone);
            let is_listed = |name: &&Name| page.listing.contains(name);
            let gone: Vec<Name> = moved.filter(is_listed).cloned().collect();
            if set.is_empty() && gone.is_empty() {
                continue;
            }
            self.next_id = self.next_id.wrapping_add(1);
            let change = Change {
                base: page.listing.id,
                id: self.next_id,
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

/// Whether a shard covers an entry of its service.
fn covers(shard: &Shard, entry: &Entry) -> bool {
    shard.covers(entry.id(), &entry.endpoint)
}

/// Polling state of one shard.
#[derive(Clone, Debug, Default)]
struct Subscription {
    registry: Registry,
    queried: Option<Millis>,
    /// When the last answer came or the control VM was changed.
    answered: Option<Millis>,
    /// Number of times that a control VM did not answer.
    attempt: usize,
}

/// A scheduler's query for the endpoints of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The shard.
    pub shard: Shard,
    /// Number of the listing that the scheduler has.
    pub known_id: u64,
    /// Selects the control VM: it grows by one for each that has not answered.
    pub attempt: usize,
}

/// Polls the control VMs for the endpoints of the shards that this process schedules.
#[derive(Clone, Debug, Default)]
pub struct Poller {
    all: BTreeMap<Shard, Subscription>,
}

impl Poller {
    /// Sets the shards that this process schedules.
    pub fn set_shards<I>(&mut self, shards: I)
    where
        I: IntoIterator<Item = Shard>,
    {
        let mut old = std::mem::take(&mut self.all);
        let new = shards.into_iter().map(|shard| {
            let subscription = old.remove(&shard).unwrap_or_default();
            (shard, subscription)
        });
        self.all = new.collect();
    }

    /// Queries that are due now.
    pub fn due_queries(&mut self, now: Millis) -> Vec<Query> {
        let mut queries = Vec::new();
        for (shard, subscription) in &mut self.all {
            if subscription
                .queried
                .is_some_and(|at| now.since(at) < POLL_INTERVAL_MS)
            {
                continue;
            }
            let answered = *subscription.answered.get_or_insert(now);
            if now.since(answered) >= ANSWER_TIMEOUT_MS {
                subscription.attempt += 1;
                subscription.answered = Some(now);
            }
            subscription.queried = Some(now);
            queries.push(Query {
                shard: shard.clone(),
                known_id: subscription.registry.listing().id,
                attempt: subscription.attempt,
            });
        }
        queries
    }

    /// Applies an answer; returns true if it has changed the endpoints.
    pub fn apply_answer(&mut self, now: Millis, shard: &Shard, answer: Answer) -> bool {
        let Some(subscription) = self.all.get_mut(shard) else {
            return false;
        };
        subscription.answered = Some(now);
        match answer {
            Answer::Whole(listing) => subscription.registry.apply_listing(now, listing),
            // A change of another listing is dropped; the next query asks again.
            Answer::Change(change) => subscription
                .registry
                .apply_change(now, &change)
                .unwrap_or(false),
            Answer::Unchanged => false,
        }
    }

    /// Registries of the shards' endpoints.
    pub fn registries(&self) -> impl Iterator<Item = &Registry> {
        self.all.values().map(|subscription| &subscription.registry)
    }
}
