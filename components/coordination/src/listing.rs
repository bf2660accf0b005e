//! Who reads the platform's list of endpoints, and what its readings mean.
//!
//! The list bears few calls for the whole fleet, so that one VM reads it and
//! tells the others. Nobody appoints that VM: it is the one that has to wait
//! least since the last news of a reading, and the others follow in turn when
//! that news stays away, also while there is no leader.

use crate::prelude::*;
use state::listing::{Change, Listed, Listing};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Readings in a row that an endpoint must be missing from before it is gone.
///
/// A page that changes while it is read may lack an endpoint that lives.
pub const MISSING: u32 = 2;
/// Readings that routers leave to the control VMs before they read themselves.
const ROUTER_TURNS: u64 = 4;
/// Endpoints remembered as leaving.
const LEAVING_MAX: usize = 4096;

/// Time in which news of a reading reaches most routers, divided by how many read meanwhile,
/// in milliseconds: with it between their turns, some five read at once when the control VMs
/// fall silent, and not all of them.
const TURN_MS: u64 = 20;

/// Time that a router waits for someone else's reading, in milliseconds, where the list is
/// read each `every_ms`, among so many routers.
///
/// Within one time between readings, 291 routers in turn had a moment of 2 ms each: while
/// the leader was frozen, the list was asked for 25 times a second.
pub fn router_patience_ms(every_ms: u64, routers: u32, incarnation: u64) -> u64 {
    let spread_ms = every_ms.max(u64::from(routers) * TURN_MS).max(1);
    every_ms * ROUTER_TURNS + incarnation % spread_ms
}

/// How much later than was told an endpoint may turn warm before that is news, in
/// milliseconds: readings of the list lag by different times.
const COLD_JITTER_MS: u64 = 500;

/// What one process knows of the list.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    listing: Arc<Listing>,
    /// What the last change was.
    change: Change,
    heard: Option<Millis>,
    /// Endpoints that were once told as leaving. None of them comes back, but a
    /// reader that has older pages may say so.
    leaving: BTreeSet<EndpointId>,
    /// When endpoints that are cold will be warm, by this process's clock.
    warm_at: BTreeMap<EndpointId, Millis>,
    missing: BTreeMap<EndpointId, u32>,
}

impl Roster {
    /// Whether this process is to read the list now. `patience` is the time that
    /// it waits for someone else's reading, in milliseconds.
    pub fn is_due(&self, now: Millis, patience: u64) -> bool {
        now.since(self.heard.unwrap_or(Millis(0))) >= patience
    }

    /// The newest listing. How long endpoints stay cold is in [`Roster::warm_at`].
    pub fn listing(&self) -> &Arc<Listing> {
        &self.listing
    }

    /// When endpoints that are cold will be warm, by this process's clock.
    pub fn warm_at(&self) -> &BTreeMap<EndpointId, Millis> {
        &self.warm_at
    }

    /// The newest listing as another process is told it now.
    pub fn told(&self, now: Millis) -> Listing {
        let mut listing = (*self.listing).clone();
        self.tell_cold(now, &mut listing.endpoints);
        listing
    }

    /// What the last change was, as another process is told it now.
    pub fn told_change(&self, now: Millis) -> Change {
        let mut change = self.change.clone();
        self.tell_cold(now, &mut change.set);
        change
    }

    /// Adds to entries how long their endpoints stay cold from now on.
    fn tell_cold(&self, now: Millis, endpoints: &mut [Listed]) {
        for listed in endpoints {
            let warm_at = self.warm_at.get(&listed.id());
            let cold_ms = warm_at.map_or(0, |at| at.since(now));
            listed.cold_ms = u32::try_from(cold_ms).unwrap_or(u32::MAX);
        }
    }

    /// Puts a listing in force, whose `cold` endpoints have turned cold.
    fn renew(&mut self, listing: Listing, cold: &BTreeSet<EndpointId>) {
        let mut change = listing.change_from(&self.listing);
        let is_told = |l: &Listed| change.set.iter().any(|other| other.id() == l.id());
        let turned = listing.endpoints.iter();
        let turned = turned.filter(|l| cold.contains(&l.id()) && !is_told(l));
        let turned: Vec<Listed> = turned.cloned().collect();
        change.set.extend(turned);
        self.change = change;
        self.listing = Arc::new(listing);
    }

    /// Takes what this process has read; true if anything changed. `draw` is the
    /// number of the listing if it did.
    pub fn read(&mut self, now: Millis, mut endpoints: Vec<Listed>, draw: u64) -> bool {
        self.heard = Some(now);
        let cold = self.note_cold(now, &mut endpoints);
        let present: BTreeSet<Name> = (endpoints.iter())
            .map(|l| l.endpoint.name.clone())
            .collect();
        let read: BTreeSet<EndpointId> = endpoints.iter().map(Listed::id).collect();
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
            if *missing < MISSING {
                endpoints.push(old.clone());
            } else {
                self.missing.remove(&old.id());
            }
        }
        // Stable: of one start, what was read now comes first and stays.
        endpoints.sort_by(|a, b| {
            let name = a.endpoint.name.cmp(&b.endpoint.name);
            name.then(b.born.cmp(&a.born))
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
    pub fn take(&mut self, now: Millis, mut listing: Listing) -> bool {
        self.heard = Some(now);
        let cold = self.note_cold(now, &mut listing.endpoints);
        self.mark(&mut listing.endpoints);
        let changed = !cold.is_empty() || listing != *self.listing;
        if changed {
            self.renew(listing, &cold);
        }
        changed
    }

    /// Takes a change that another process tells; true if it is news, `None` if it is one of
    /// another listing, which has to be asked for.
    pub fn follow(&mut self, now: Millis, change: &Change) -> Option<bool> {
        if change.id == self.listing.id {
            self.heard = Some(now);
            return Some(false);
        }
        let listing = self.listing.changed(change)?;
        Some(self.take(now, listing))
    }

    /// Hears that a listing still holds; false if this process has another one.
    pub fn confirm(&mut self, now: Millis, id: u64) -> bool {
        let same = self.listing.id == id;
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
    fn note_cold(&mut self, now: Millis, endpoints: &mut [Listed]) -> BTreeSet<EndpointId> {
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

    fn mark(&mut self, endpoints: &mut [Listed]) {
        for listed in endpoints {
            let id = listed.id();
            if listed.leaving {
                self.leaving.insert(id);
            }
            listed.leaving = self.leaving.contains(&id);
        }
        if self.leaving.len() > LEAVING_MAX {
            self.leaving.pop_first();
        }
    }
}
