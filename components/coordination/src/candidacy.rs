//! Whether a VM that can schedule stands as a candidate for it.
//!
//! A candidate keeps links to all control VMs and beats over them. The load: hundreds of
//! routers, all of which can schedule. If all of them did so for good, what a control VM
//! receives would grow with the fleet.

use crate::prelude::*;
use crate::prompt::mix;

/// Candidates in a fleet, on average: enough for each data centre to have some after most
/// routers were lost.
const CANDIDATES: u64 = 24;
/// Candidates for each shard, where there are more of these.
const CANDIDATES_EACH: u64 = 2;
/// Time in which all VMs come to stand while a shard is without a scheduler, one after the
/// other, in milliseconds.
const SPREAD_MS: u64 = 1500;
/// Time between two of them, in milliseconds, so that as many links open in a second however
/// many VMs there are.
const VOLUNTEER_MS: u64 = 5;
/// Time for which a VM goes on standing without a reason to, in milliseconds: links that
/// open and close all the time cost more than they save.
const HOLD_MS: u64 = 10_000;

/// What a VM knows of the schedulers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether it schedules itself.
    pub is_assigned: bool,
    /// Whether a shard is without a scheduler, or one cannot be reached.
    pub is_unscheduled: bool,
    /// Routers of the fleet, once that is known.
    pub routers: Option<u32>,
    /// Shards that have endpoints.
    pub shards: usize,
}

/// Whether one VM stands.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    /// A number that looks random, another one for each VM.
    lot: u64,
    unscheduled: Option<Millis>,
    /// Until when it stands, at least.
    until: Option<Millis>,
}

impl Candidacy {
    /// Of a process with this incarnation.
    pub fn new(incarnation: u64) -> Self {
        Candidacy {
            lot: mix(incarnation),
            unscheduled: None,
            until: None,
        }
    }

    /// Whether it stands now.
    pub fn is_candidate(&mut self, now: Millis, known: Status) -> bool {
        self.unscheduled = match known.is_unscheduled {
            true => self.unscheduled.or(Some(now)),
            false => None,
        };
        if known.is_assigned || self.is_drawn(&known) || self.volunteers(now, &known) {
            self.until = Some(now.after(HOLD_MS));
        }
        self.until.is_some_and(|until| now < until)
    }

    /// Whether it is one of the few that always stand.
    ///
    /// Before the routers are counted all stand: if the first few alone did so, they would be
    /// assigned all shards, wherever these are.
    fn is_drawn(&self, known: &Status) -> bool {
        // CAST: shards are far below 2^64.
        let candidates = CANDIDATES.max(known.shards as u64 * CANDIDATES_EACH);
        let is_drawn = |routers: u32| self.lot % u64::from(routers.max(1)) < candidates;
        known.routers.is_none_or(is_drawn)
    }

    /// Whether it is its turn, since nobody schedules.
    fn volunteers(&self, now: Millis, known: &Status) -> bool {
        let routers = u64::from(known.routers.unwrap_or(1));
        let spread_ms = SPREAD_MS.max(routers * VOLUNTEER_MS);
        let turn_ms = (self.lot >> 32) % spread_ms;
        self.unscheduled
            .is_some_and(|since| now.since(since) >= turn_ms)
    }
}
