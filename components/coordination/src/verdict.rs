//! Verdicts that a router reaches alone on parts of prompts, beside those of the leader.
//!
//! A router without contact to the control VMs must still stop a part that crashes endpoints. It sees
//! only its own requests, though, and may blame a part whose crashes the leader attributes to another
//! one. Its verdict therefore ends if the leader has had the time to reach it, and has not.

use crate::prelude::*;
use state::suspect::{Status, Statuses};
use std::collections::BTreeMap;

/// Time that the leader is given, in milliseconds.
pub const LEADER_MS: u64 = 2000;

/// Parts that a router alone refuses, and since when.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    since: BTreeMap<Fingerprint, Millis>,
}

impl Verdicts {
    /// Compares the router's own suspicions with those of the fleet. `proved` is when the router last
    /// knew that it had the newest ones of the fleet. Returns the parts on which the leader does not
    /// agree.
    pub fn review(
        &mut self,
        now: Millis,
        proved: Option<Millis>,
        own: &Statuses,
        fleet: &Statuses,
    ) -> Vec<PartId> {
        let quarantined = |(f, status): (&Fingerprint, &Status)| {
            let is_own = *status == Status::Quarantined && f.part().is_some();
            let is_shared = fleet.get(f) == Some(&Status::Quarantined);
            (is_own && !is_shared).then_some(*f)
        };
        let alone = own.iter().filter_map(quarantined);
        let since = alone.map(|f| (f, self.since.get(&f).copied().unwrap_or(now)));
        self.since = since.collect();
        let is_overruled = |at: &Millis| proved.is_some_and(|p| p.since(*at) >= LEADER_MS);
        let overruled = self.since.iter().filter(|(_, at)| is_overruled(at));
        overruled
            .filter_map(|(f, _)| f.part())
            .map(|(part, _)| part)
            .collect()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }
}
