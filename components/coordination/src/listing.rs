//! Local registry of the endpoints that the platform lists, and the schedule for reading them.
//!
//! The platform's API allows few calls for the whole fleet, so one VM reads the list and sends
//! it to the others: the leading control VM. The others read it themselves only after they have
//! received no update for some time, with or without a leader. A short list is sent whole to
//! all routers; of a long one they receive only the number of endpoints per service and data
//! centre.

use crate::cell::Answer;
use crate::prelude::*;
use state::listing::{count_endpoints, Census, Change, Entry, Listing};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Consecutive readings without an endpoint after which it is removed.
///
/// A page that changes while it is read may lack a live endpoint.
pub const MISSING_READINGS_MAX: u32 = 2;
/// Reading intervals without an update after which routers read the list themselves.
const ROUTER_INTERVALS: u64 = 4;
/// Most entries of a list that is sent whole to all processes.
pub const BROADCAST_ENTRIES_MAX: usize = 512;
/// Entries below which a list that was too long is sent whole again.
const BROADCAST_AGAIN_ENTRIES: usize = 384;
/// Time for which a draining endpoint is remembered after the list no longer has it, in
/// milliseconds: a reader with older pages may report it again.
const DRAINED_MEMORY_MS: u64 = 60_000;
/// Entries read per millisecond on average, so that the rate of calls does not grow with the
/// list.
const ENTRIES_PER_MS: u64 = 10;
/// Longest reading interval of a long list, in milliseconds: it bounds the time until a drain
/// is known.
const INTERVAL_MAX_MS: u64 = 2000;
/// Reading intervals without an update after which a control VM reads although it follows a
/// live leader, which may have lost its access to the list.
const FOLLOWER_INTERVALS: u64 = 8;
/// Reading intervals without an update after which a control VM reads if there is no leader.
const LEADERLESS_INTERVALS: u64 = 2;

/// Spacing of the routers' own readings, in milliseconds. An update reaches most routers in
/// about five times this, so that some five of them read at once after the control VMs fall
/// silent, and not all.
const ROUTER_SPACING_MS: u64 = 20;

/// Time without an update after which a router reads the list, in milliseconds, for a reading
/// interval of `every_ms`.
///
/// The spread grows with the number of routers: spread over a single interval, 291 routers
/// read 2 ms apart, and the list was requested 25 times a second while the leader was frozen.
pub fn router_read_delay_ms(every_ms: u64, routers: u32, incarnation: u64) -> u64 {
    let spread_ms = every_ms.max(u64::from(routers) * ROUTER_SPACING_MS).max(1);
    every_ms * ROUTER_INTERVALS + incarnation % spread_ms
}

/// Kind of process, which decides how soon it reads the list itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The leading control VM.
    Leader,
    /// Another control VM.
    Control {
        /// Whether it follows a live leader.
        follows_leader: bool,
    },
    /// A router, with the number of routers once it is known.
    Router(Option<u32>),
}

/// Delay of an endpoint's warm-up time up to which it counts as unchanged, in milliseconds:
/// readings of the list lag by different times.
const COLD_JITTER_MS: u64 = 500;

/// One process's copy of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    listing: Arc<Listing>,
    /// The change that led to `listing`.
    change: Change,
    /// Counts that are sent in place of the entries while the list is too long.
    census: Option<Census>,
    /// When the list, or a part of it, was last read, received or confirmed.
    updated: Option<Millis>,
    /// When all of it was.
    completed: Option<Millis>,
    /// Endpoints that were reported as draining, and when the list last had them. None of
    /// them returns to service, but a reader with older pages may report that.
    leaving: BTreeMap<EndpointId, Millis>,
    /// When cold endpoints will be warm, by this process's clock.
    warm_at: BTreeMap<EndpointId, Millis>,
    /// Consecutive readings without an endpoint.
    missing: BTreeMap<EndpointId, u32>,
}

impl Registry {
    /// Whether this process should read the list now, because there was no update for
    /// `delay_ms`.
    pub fn is_due(&self, now: Millis, delay_ms: u64) -> bool {
        now.since(self.updated.unwrap_or(Millis(0))) >= delay_ms
    }

    /// Time without an update after which a process reads the list, in milliseconds, for a
    /// reading interval of `every_ms`; `None` if it never reads. `random` is a number that
    /// differs between processes, and spreads their readings.
    pub fn read_delay_ms(&self, reader: Reader, every_ms: u64, random: u64) -> Option<u64> {
        // CAST: entries are far below 2^64.
        let entries = self.listing.endpoints.len() as u64;
        let interval_ms = (entries / ENTRIES_PER_MS).min(INTERVAL_MAX_MS);
        let every_ms = every_ms.max(interval_ms);
        let spread_ms = random % every_ms.max(1);
        match reader {
            Reader::Leader => Some(every_ms),
            Reader::Control {
                follows_leader: true,
            } => Some(every_ms * FOLLOWER_INTERVALS + spread_ms),
            Reader::Control {
                follows_leader: false,
            } => Some(every_ms * LEADERLESS_INTERVALS + spread_ms),
            // A router without the entries would be one more reader of all pages.
            Reader::Router(Some(routers)) if !self.listing.endpoints.is_empty() => {
                Some(router_read_delay_ms(every_ms, routers, random))
            }
            Reader::Router(_) => None,
        }
    }

    /// The counts, if the list is too long to be sent whole.
    pub fn census(&self) -> Option<&Census> {
        self.census.as_ref()
    }

    /// Time since all of the list was last read, received or confirmed, in milliseconds; `None`
    /// before the first time.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.completed.map(|at| now.since(at))
    }

    /// Whether there was an update of all of the list within the last `within_ms`.
    pub fn is_recent(&self, now: Millis, within_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|ms| ms <= within_ms)
    }

    /// Whether there was an update, at least of a part of the list, within the last `within_ms`.
    pub fn is_reachable(&self, now: Millis, within_ms: u64) -> bool {
        self.updated.is_some_and(|at| now.since(at) <= within_ms)
    }

    /// The change that led to the current listing.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Replaces the listing by counts; returns true if they have changed.
    pub fn apply_census(&mut self, now: Millis, census: Census) -> bool {
        let is_changed = self.census.as_ref() != Some(&census);
        *self = Registry {
            census: Some(census),
            updated: Some(now),
            completed: Some(now),
            ..Registry::default()
        };
        is_changed
    }

    /// The current listing, without cold times: they are in [`Registry::warm_at`].
    pub fn listing(&self) -> &Arc<Listing> {
        &self.listing
    }

    /// When cold endpoints will be warm, by this process's clock.
    pub fn warm_at(&self) -> &BTreeMap<EndpointId, Millis> {
        &self.warm_at
    }

    /// The current listing to send to another process, with the remaining cold times.
    pub fn export(&self, now: Millis) -> Listing {
        let mut listing = (*self.listing).clone();
        self.set_cold_ms(now, &mut listing.endpoints);
        listing
    }

    /// The last change to send to another process, with the remaining cold times.
    pub fn export_change(&self, now: Millis) -> Change {
        let mut change = self.change.clone();
        self.set_cold_ms(now, &mut change.set);
        change
    }

    /// Adds the remaining cold times to an answer for a scheduler.
    pub fn export_answer(&self, now: Millis, mut answer: Answer) -> Answer {
        match &mut answer {
            Answer::Whole(listing) => self.set_cold_ms(now, &mut listing.endpoints),
            Answer::Change(change) => self.set_cold_ms(now, &mut change.set),
            Answer::Unchanged => {}
        }
        answer
    }

    /// Sets the remaining cold time of each entry.
    fn set_cold_ms(&self, now: Millis, endpoints: &mut [Entry]) {
        for entry in endpoints {
            let warm_at = self.warm_at.get(&entry.id());
            let cold_ms = warm_at.map_or(0, |at| at.since(now));
            entry.cold_ms = u32::try_from(cold_ms).unwrap_or(u32::MAX);
        }
    }

    fn record_update(&mut self, now: Millis) {
        self.updated = Some(now);
        self.completed = Some(now);
    }

    /// Replaces the listing. The entries in `cold` are part of the change even if only their
    /// cold time is new.
    fn replace(&mut self, listing: Listing, cold: &BTreeSet<EndpointId>) {
        let mut change = listing.diff_from(&self.listing);
        if !cold.is_empty() {
            let changed: BTreeSet<EndpointId> = change.set.iter().map(Entry::id).collect();
            let newly_cold = listing.endpoints.iter();
            let newly_cold =
                newly_cold.filter(|l| cold.contains(&l.id()) && !changed.contains(&l.id()));
            let newly_cold: Vec<Entry> = newly_cold.cloned().collect();
            change.set.extend(newly_cold);
        }
        self.change = change;
        self.update_census(&listing);
        self.listing = Arc::new(listing);
    }

    /// Updates the counts, or drops them if the listing is short enough to be sent whole.
    fn update_census(&mut self, listing: &Listing) {
        let least = match self.census {
            Some(_) => BROADCAST_AGAIN_ENTRIES,
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

    /// Merges a reading that failed halfway, whose missing entries mean nothing; returns true
    /// if anything has changed. `draw` is as in [`Registry::apply_reading`].
    ///
    /// The list is as old as before: an endpoint may drain on a page that was not read.
    pub fn apply_partial_reading(
        &mut self,
        now: Millis,
        mut endpoints: Vec<Entry>,
        draw: u64,
    ) -> bool {
        let missing = std::mem::take(&mut self.missing);
        endpoints.extend(self.listing.endpoints.iter().cloned());
        let completed = self.completed;
        let is_changed = self.apply_reading(now, endpoints, draw);
        self.missing = missing;
        self.completed = completed;
        is_changed
    }

    /// Adds entries of the last reading that were held back; returns true if anything has changed.
    /// This is no new reading.
    pub fn add_to_reading(&mut self, now: Millis, endpoints: Vec<Entry>, draw: u64) -> bool {
        let updated = self.updated;
        let is_changed = self.apply_partial_reading(now, endpoints, draw);
        self.updated = updated;
        is_changed
    }

    /// Merges a complete reading; returns true if anything has changed. The new listing then
    /// gets the random number `draw`.
    pub fn apply_reading(&mut self, now: Millis, mut endpoints: Vec<Entry>, draw: u64) -> bool {
        self.record_update(now);
        let cold = self.extract_cold(now, &mut endpoints);
        let present: BTreeSet<Name> = (endpoints.iter())
            .map(|l| l.endpoint.name.clone())
            .collect();
        let read: BTreeSet<EndpointId> = endpoints.iter().map(Entry::id).collect();
        self.missing.retain(|id, _| !read.contains(id));
        for old in &self.listing.endpoints {
            if present.contains(&old.endpoint.name) {
                // The reading may be older than the known entry: the latest start wins.
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
        // The sort is stable: of equal starts, the entry that was just read comes first and is
        // kept.
        endpoints.sort_by(|a, b| {
            let name = a.endpoint.name.cmp(&b.endpoint.name);
            name.then(b.started_ms.cmp(&a.started_ms))
        });
        endpoints.dedup_by(|next, first| next.endpoint.name == first.endpoint.name);
        self.mark_draining(&mut endpoints);
        if endpoints == self.listing.endpoints && cold.is_empty() {
            return false;
        }
        let listing = Listing {
            id: draw,
            endpoints,
        };
        self.replace(listing, &cold);
        true
    }

    /// Replaces the listing by one from another process; returns true if anything has changed.
    pub fn apply_listing(&mut self, now: Millis, mut listing: Listing) -> bool {
        self.record_update(now);
        let cold = self.extract_cold(now, &mut listing.endpoints);
        self.mark_draining(&mut listing.endpoints);
        let changed = !cold.is_empty() || listing != *self.listing;
        if listing.endpoints.len() <= BROADCAST_ENTRIES_MAX {
            self.census = None;
        }
        if changed {
            self.replace(listing, &cold);
        }
        changed
    }

    /// Applies a change from another process. Returns whether it was new, or `None` if it is
    /// based on another listing: the caller then has to request the whole list.
    pub fn apply_change(&mut self, now: Millis, change: &Change) -> Option<bool> {
        if change.id == self.listing.id {
            self.record_update(now);
            return Some(false);
        }
        let listing = self.listing.with_change(change)?;
        Some(self.apply_listing(now, listing))
    }

    /// Records that a listing is still current; returns false if this process has another one.
    pub fn confirm(&mut self, now: Millis, id: u64) -> bool {
        let current = self.census.as_ref().map_or(self.listing.id, |c| c.id);
        let is_current = current == id || self.listing.id == id;
        if is_current {
            self.record_update(now);
        }
        is_current
    }

    /// Moves the cold times out of the entries; returns the endpoints that stay cold for longer
    /// than was known.
    ///
    /// Cold times decrease, and readings of them lag: kept in the entries, they would change
    /// with each reading, and the whole list would be sent to all processes each time.
    fn extract_cold(&mut self, now: Millis, endpoints: &mut [Entry]) -> BTreeSet<EndpointId> {
        self.warm_at.retain(|_, at| *at > now);
        let mut extended = BTreeSet::new();
        for entry in endpoints {
            let cold_ms = u64::from(std::mem::take(&mut entry.cold_ms));
            if cold_ms == 0 {
                continue;
            }
            let warm_at = now.after(cold_ms);
            let known = self.warm_at.entry(entry.id()).or_insert(Millis(0));
            if warm_at.since(*known) > COLD_JITTER_MS {
                *known = warm_at;
                extended.insert(entry.id());
            }
        }
        extended
    }

    /// Marks the endpoints that have ever been reported as draining, and forgets those that the
    /// list has not had for a while.
    fn mark_draining(&mut self, endpoints: &mut [Entry]) {
        let now = self.updated.unwrap_or_default();
        for entry in endpoints {
            let id = entry.id();
            if entry.leaving {
                self.leaving.insert(id, now);
            } else if let Some(seen) = self.leaving.get_mut(&id) {
                *seen = now;
                entry.leaving = true;
            }
        }
        self.leaving
            .retain(|_, seen| now.since(*seen) <= DRAINED_MEMORY_MS);
    }
}
