//! Who reads the platform's list of endpoints, and what its readings mean.
//!
//! The list bears few calls for the whole fleet, so that one VM reads it and
//! tells the others: the leading control VM, whose lease decides it. The others wait for
//! their turn, and take it when news of a reading stays away, also while there is no leader.
//! A router is told a list that is short; of one that is long, only how many there are where.

use crate::cell::Answer;
use crate::prelude::*;
use state::listing::{count_endpoints, Census, Change, Entry, Listing};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Readings in a row that an endpoint must be missing from before it is gone.
///
/// A page that changes while it is read may lack an endpoint that lives.
pub const MISSING_READINGS_MAX: u32 = 2;
/// Readings that routers leave to the control VMs before they read themselves.
const ROUTER_TURNS: u64 = 4;
/// Entries up to which a list is sent to all processes.
pub const BROADCAST_ENTRIES_MAX: usize = 512;
/// Entries below which it is sent to all again.
const WHOLE_AGAIN: usize = 384;
/// Time for which an endpoint that leaves is remembered once the list lacks it, in
/// milliseconds: a reader that has older pages may name it again.
const LEFT_MS: u64 = 60_000;
/// Entries that are read in a millisecond on average, so that the calls in a second do not
/// grow with the list.
const ENTRIES_A_MS: u64 = 10;
/// Longest time between two readings for this, in milliseconds: what an endpoint's leave may
/// take to be known.
const READING_MAX_MS: u64 = 2000;
/// Readings that a control VM which follows a living leader leaves to it: it may be cut off
/// from the list alone.
const LED_TURNS: u64 = 8;
/// Readings that it leaves to the others where there is no leader.
const UNLED_TURNS: u64 = 2;

/// Time in which news of a reading reaches most routers, divided by how many read meanwhile,
/// in milliseconds: with it between their turns, some five read at once when the control VMs
/// fall silent, and not all of them.
const TURN_MS: u64 = 20;

/// Time that a router waits for someone else's reading, in milliseconds, where the list is
/// read each `every_ms`, among so many routers.
///
/// Within one time between readings, 291 routers in turn had a moment of 2 ms each: while
/// the leader was frozen, the list was asked for 25 times a second.
pub fn router_read_delay_ms(every_ms: u64, routers: u32, incarnation: u64) -> u64 {
    let spread_ms = every_ms.max(u64::from(routers) * TURN_MS).max(1);
    every_ms * ROUTER_TURNS + incarnation % spread_ms
}

/// What decides how long a process leaves the reading of the list to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The leading control VM.
    Leader,
    /// Another control VM, and whether it follows a living leader.
    Control {
        /// Whether it does.
        follows_leader: bool,
    },
    /// A router among so many, once that is known.
    Router(Option<u32>),
}

/// How much later than was told an endpoint may turn warm before that is news, in
/// milliseconds: readings of the list lag by different times.
const COLD_JITTER_MS: u64 = 500;

/// What one process knows of the list.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    listing: Arc<Listing>,
    /// What the last change was.
    change: Change,
    /// Counts in place of the entries, where they are too many for all processes.
    census: Option<Census>,
    heard: Option<Millis>,
    /// Endpoints that were once told as leaving, and when the list last had them. None of
    /// them comes back, but a reader that has older pages may say so.
    leaving: BTreeMap<EndpointId, Millis>,
    /// When endpoints that are cold will be warm, by this process's clock.
    warm_at: BTreeMap<EndpointId, Millis>,
    missing: BTreeMap<EndpointId, u32>,
}

impl Registry {
    /// Whether this process is to read the list now. `patience` is the time that
    /// it waits for someone else's reading, in milliseconds.
    pub fn is_due(&self, now: Millis, patience: u64) -> bool {
        now.since(self.heard.unwrap_or(Millis(0))) >= patience
    }

    /// Time that a process leaves the reading of the list to others, in milliseconds, where
    /// it is read each `every_ms`; `None` for one that never reads.
    pub fn read_delay_ms(&self, reader: Reader, every_ms: u64, lot: u64) -> Option<u64> {
        // CAST: entries are far below 2^64.
        let entries = self.listing.endpoints.len() as u64;
        let reading_ms = (entries / ENTRIES_A_MS).min(READING_MAX_MS);
        let every_ms = every_ms.max(reading_ms);
        let turn_ms = lot % every_ms.max(1);
        match reader {
            Reader::Leader => Some(every_ms),
            Reader::Control {
                follows_leader: true,
            } => Some(every_ms * LED_TURNS + turn_ms),
            Reader::Control {
                follows_leader: false,
            } => Some(every_ms * UNLED_TURNS + turn_ms),
            // Of a list that is not whole here it would be one more reader of all pages.
            Reader::Router(Some(routers)) if !self.listing.endpoints.is_empty() => {
                Some(router_read_delay_ms(every_ms, routers, lot))
            }
            Reader::Router(_) => None,
        }
    }

    /// The counts, where the list is too long for all processes.
    pub fn census(&self) -> Option<&Census> {
        self.census.as_ref()
    }

    /// Whether this process has heard of the list within some time, in milliseconds.
    pub fn is_recent(&self, now: Millis, within_ms: u64) -> bool {
        self.heard.is_some_and(|at| now.since(at) <= within_ms)
    }

    /// What the last change was.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Takes counts in place of a list; true if they are news.
    pub fn apply_census(&mut self, now: Millis, census: Census) -> bool {
        let is_news = self.census.as_ref() != Some(&census);
        *self = Registry {
            census: Some(census),
            heard: Some(now),
            ..Registry::default()
        };
        is_news
    }

    /// The newest listing. How long endpoints stay cold is in [`Registry::warm_at`].
    pub fn listing(&self) -> &Arc<Listing> {
        &self.listing
    }

    /// When endpoints that are cold will be warm, by this process's clock.
    pub fn warm_at(&self) -> &BTreeMap<EndpointId, Millis> {
        &self.warm_at
    }

    /// The newest listing as another process is told it now.
    pub fn export(&self, now: Millis) -> Listing {
        let mut listing = (*self.listing).clone();
        self.tell_cold(now, &mut listing.endpoints);
        listing
    }

    /// What the last change was, as another process is told it now.
    pub fn export_change(&self, now: Millis) -> Change {
        let mut change = self.change.clone();
        self.tell_cold(now, &mut change.set);
        change
    }

    /// An answer to a scheduler as it is told now.
    pub fn export_answer(&self, now: Millis, mut answer: Answer) -> Answer {
        match &mut answer {
            Answer::Whole(listing) => self.tell_cold(now, &mut listing.endpoints),
            Answer::Change(change) => self.tell_cold(now, &mut change.set),
            Answer::Unchanged => {}
        }
        answer
    }

    /// Adds to entries how long their endpoints stay cold from now on.
    fn tell_cold(&self, now: Millis, endpoints: &mut [Entry]) {
        for listed in endpoints {
            let warm_at = self.warm_at.get(&listed.id());
            let cold_ms = warm_at.map_or(0, |at| at.since(now));
            listed.cold_ms = u32::try_from(cold_ms).unwrap_or(u32::MAX);
        }
    }

    /// Puts a listing in force, whose `cold` endpoints have turned cold.
    fn renew(&mut self, listing: Listing, cold: &BTreeSet<EndpointId>) {
        let mut change = listing.diff_from(&self.listing);
        if !cold.is_empty() {
            let told: BTreeSet<EndpointId> = change.set.iter().map(Entry::id).collect();
            let turned = listing.endpoints.iter();
            let turned = turned.filter(|l| cold.contains(&l.id()) && !told.contains(&l.id()));
            let turned: Vec<Entry> = turned.cloned().collect();
            change.set.extend(turned);
        }
        self.change = change;
        self.count(&listing);
        self.listing = Arc::new(listing);
    }

    /// Counts a listing that is too long for all processes.
    fn count(&mut self, listing: &Listing) {
        let least = match self.census {
            Some(_) => WHOLE_AGAIN,
            None => BROADCAST_ENTRIES_MAX + 1,
        };
        if listing.endpoints.len() < least {
            self.census = None;
            return;
        }
        let all = listing.endpoints.iter();
        let counts = count_endpoints(all.map(|l| (&l.endpoint, l.leaving)));
        if self.census.as_ref().is_none_or(|c| c.counts != counts) {
            let id = listing.id;
            self.census = Some(Census { id, counts });
        }
    }

    /// Takes what a reading had before it failed: what it lacks says nothing; true if
    /// anything changed.
    pub fn apply_partial_reading(
        &mut self,
        now: Millis,
        mut endpoints: Vec<Entry>,
        draw: u64,
    ) -> bool {
        let missing = std::mem::take(&mut self.missing);
        endpoints.extend(self.listing.endpoints.iter().cloned());
        let is_news = self.apply_reading(now, endpoints, draw);
        self.missing = missing;
        is_news
    }

    /// Takes what this process has read; true if anything changed. `draw` is the
    /// number of the listing if it did.
    pub fn apply_reading(&mut self, now: Millis, mut endpoints: Vec<Entry>, draw: u64) -> bool {
        self.heard = Some(now);
        let cold = self.note_cold(now, &mut endpoints);
        let present: BTreeSet<Name> = (endpoints.iter())
            .map(|l| l.endpoint.name.clone())
            .collect();
        let read: BTreeSet<EndpointId> = endpoints.iter().map(Entry::id).collect();
        self.missing.retain(|id, _| !read.contains(id));
        for old in &self.listing.endpoints {
            if present.contains(&old.endpoint.name) {
                // Its entry here may be of an earlier start: the newest one counts.
                endpoints.push(old.clone());
                continue;
            }
            if old.leaving {
                continue;
            }
            let missing = self.missing.entry(old.id()).or_default();
            *missing += 1;
            if *missing < MISSING_READINGS_MAX {
                endpoints.push(old.clone());
            } else {
                self.missing.remove(&old.id());
            }
        }
        // Stable: of one start, what was read now comes first and stays.
        endpoints.sort_by(|a, b| {
            let name = a.endpoint.name.cmp(&b.endpoint.name);
            name.then(b.started_ms.cmp(&a.started_ms))
        });
        endpoints.dedup_by(|next, first| next.endpoint.name == first.endpoint.name);
        self.mark(&mut endpoints);
        if endpoints == self.listing.endpoints && cold.is_empty() {
            return false;
        }
        let listing = Listing {
            id: draw,
            endpoints,
        };
        self.renew(listing, &cold);
        true
    }

    /// Takes what another process has read; true if anything changed.
    pub fn apply_listing(&mut self, now: Millis, mut listing: Listing) -> bool {
        self.heard = Some(now);
        let cold = self.note_cold(now, &mut listing.endpoints);
        self.mark(&mut listing.endpoints);
        let changed = !cold.is_empty() || listing != *self.listing;
        if listing.endpoints.len() <= BROADCAST_ENTRIES_MAX {
            self.census = None;
        }
        if changed {
            self.renew(listing, &cold);
        }
        changed
    }

    /// Takes a change that another process tells; true if it is news, `None` if it is one of
    /// another listing, which has to be asked for.
    pub fn apply_change(&mut self, now: Millis, change: &Change) -> Option<bool> {
        if change.id == self.listing.id {
            self.heard = Some(now);
            return Some(false);
        }
        let listing = self.listing.with_change(change)?;
        Some(self.apply_listing(now, listing))
    }

    /// Hears that a listing still holds; false if this process has another one.
    pub fn confirm(&mut self, now: Millis, id: u64) -> bool {
        let told = self.census.as_ref().map_or(self.listing.id, |c| c.id);
        let same = told == id || self.listing.id == id;
        if same {
            self.heard = Some(now);
        }
        same
    }

    /// Takes how long endpoints stay cold out of their entries; gives those that stay so for
    /// longer than was known.
    ///
    /// The times run down, and readings of them lag: entries that held them would change
    /// with each reading, and the whole list would go to all processes each time.
    fn note_cold(&mut self, now: Millis, endpoints: &mut [Entry]) -> BTreeSet<EndpointId> {
        self.warm_at.retain(|_, at| *at > now);
        let mut news = BTreeSet::new();
        for listed in endpoints {
            let cold_ms = u64::from(std::mem::take(&mut listed.cold_ms));
            if cold_ms == 0 {
                continue;
            }
            let warm_at = now.after(cold_ms);
            let known = self.warm_at.entry(listed.id()).or_insert(Millis(0));
            if warm_at.since(*known) > COLD_JITTER_MS {
                *known = warm_at;
                news.insert(listed.id());
            }
        }
        news
    }

    fn mark(&mut self, endpoints: &mut [Entry]) {
        let now = self.heard.unwrap_or_default();
        for listed in endpoints {
            let id = listed.id();
            if listed.leaving {
                self.leaving.insert(id, now);
            } else if let Some(seen) = self.leaving.get_mut(&id) {
                *seen = now;
                listed.leaving = true;
            }
        }
        self.leaving.retain(|_, seen| now.since(*seen) <= LEFT_MS);
    }
}
