//! Whether a VM that can schedule stands as a candidate for it.
//!
//! A candidate keeps links to all control VMs and beats over them. The load: hundreds of
//! routers, all of which can schedule. If all of them did so for good, what a control VM
//! receives would grow with the fleet.

use crate::prelude::*;
use crate::prompt::mix;

/// Candidates in a region, on average: enough for each data centre to have some after most
/// routers were lost.
const CANDIDATES: u64 = 24;
/// Time in which all VMs come to stand while a shard is without a scheduler, one after the
/// other, in milliseconds.
const SPREAD_MS: u64 = 1500;
/// Time for which a VM goes on standing without a reason to, in milliseconds: links that
/// open and close all the time cost more than they save.
const HOLD_MS: u64 = 10_000;

/// What a VM knows of the schedulers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Whether it schedules itself.
    pub is_assigned: bool,
    /// Whether a shard is without a scheduler, or one cannot be reached.
    pub is_unscheduled: bool,
    /// Routers that share the endpoints, once a scheduler has told.
    pub routers: Option<u32>,
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
    pub fn stands(&mut self, now: Millis, known: Known) -> bool {
        self.unscheduled = match known.is_unscheduled {
            true => self.unscheduled.or(Some(now)),
            false => None,
        };
        if known.is_assigned || self.is_drawn(known.routers) || self.volunteers(now) {
            self.until = Some(now.after(HOLD_MS));
        }
        self.until.is_some_and(|until| now < until)
    }

    /// Whether it is one of the few that always stand.
    ///
    /// Before the routers are counted all stand: if the first few alone did so, they would be
    /// assigned all shards, wherever these are.
    fn is_drawn(&self, routers: Option<u32>) -> bool {
        routers.is_none_or(|routers| self.lot % u64::from(routers.max(1)) < CANDIDATES)
    }

    /// Whether it is its turn, since nobody schedules.
    fn volunteers(&self, now: Millis) -> bool {
        let turn_ms = (self.lot >> 32) % SPREAD_MS;
        self.unscheduled
            .is_some_and(|since| now.since(since) >= turn_ms)
    }
}
