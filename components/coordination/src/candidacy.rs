//! Whether a VM that can run schedulers offers itself as a candidate.
//!
//! A candidate keeps links to all control VMs and sends heartbeats over them. In a fleet of
//! hundreds of routers that can all schedule, only some may be candidates at a time, or the
//! load on each control VM would grow with the fleet.

use crate::prelude::*;
use crate::prompt::mix;

/// Average number of candidates in a fleet: enough for each data centre to have some after
/// most routers were lost.
const CANDIDATES: u64 = 24;
/// Average number of candidates per shard, where there are so many shards that this is more
/// than [`CANDIDATES`] in total.
const CANDIDATES_PER_SHARD: u64 = 2;
/// Least time over which all VMs become candidates, one after the other, while a shard has
/// no scheduler, in milliseconds.
const VOLUNTEER_SPREAD_MIN_MS: u64 = 1500;
/// Average time between two VMs that become candidates, in milliseconds. It bounds the rate
/// at which links are opened, however many VMs there are.
const VOLUNTEER_INTERVAL_MS: u64 = 5;
/// Time for which a VM stays a candidate without a reason to be one, in milliseconds: opening
/// and closing links frequently costs more than keeping them.
const HOLD_MS: u64 = 10_000;

/// Scheduling state of the fleet, as seen by one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether this VM runs a scheduler.
    pub is_assigned: bool,
    /// Whether a shard has no scheduler or its scheduler cannot be reached.
    pub is_unscheduled: bool,
    /// Number of routers in the fleet, once known.
    pub routers: Option<u32>,
    /// Number of shards that have endpoints.
    pub shards: usize,
}

/// Decides whether one VM is a candidate.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    /// Hash of the incarnation, which differs between VMs.
    hash: u64,
    unscheduled_since: Option<Millis>,
    /// Time until which the VM remains a candidate.
    until: Option<Millis>,
}

impl Candidacy {
    /// The candidacy of a process with this incarnation.
    pub fn new(incarnation: u64) -> Self {
        Candidacy {
            hash: mix(incarnation),
            unscheduled_since: None,
            until: None,
        }
    }

    /// Whether this VM is a candidate now.
    pub fn is_candidate(&mut self, now: Millis, status: Status) -> bool {
        self.unscheduled_since = match status.is_unscheduled {
            true => self.unscheduled_since.or(Some(now)),
            false => None,
        };
        if status.is_assigned || self.is_selected(&status) || self.volunteers(now, &status) {
            self.until = Some(now.after(HOLD_MS));
        }
        self.until.is_some_and(|until| now < until)
    }

    /// Whether this VM is among the VMs that are always candidates, selected by hash.
    ///
    /// Until the number of routers is known every VM is selected. If only the first few VMs
    /// were, they would be assigned all shards, wherever their endpoints are.
    fn is_selected(&self, status: &Status) -> bool {
        // CAST: shards are far below 2^64.
        let candidates = CANDIDATES.max(status.shards as u64 * CANDIDATES_PER_SHARD);
        let is_selected = |routers: u32| self.hash % u64::from(routers.max(1)) < candidates;
        status.routers.is_none_or(is_selected)
    }

    /// Whether this VM's turn to volunteer has come while a shard has no scheduler.
    fn volunteers(&self, now: Millis, status: &Status) -> bool {
        let routers = u64::from(status.routers.unwrap_or(1));
        let spread_ms = VOLUNTEER_SPREAD_MIN_MS.max(routers * VOLUNTEER_INTERVAL_MS);
        let delay_ms = (self.hash >> 32) % spread_ms;
        self.unscheduled_since
            .is_some_and(|since| now.since(since) >= delay_ms)
    }
}
