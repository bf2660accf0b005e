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

/// Contact of a router with the leader.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    /// Since when its reports go the way that they go now. What was lost on the way before was sent
    /// again then.
    pub reported: Millis,
    /// When it last knew that it had the newest verdicts of the fleet.
    pub proved: Option<Millis>,
}

/// Parts that a router alone refuses, and since when.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    since: BTreeMap<Fingerprint, Millis>,
}

impl Verdicts {
    /// Compares the router's own suspicions with those of the fleet. Returns the parts on which the
    /// leader does not agree.
    pub fn review(
        &mut self,
        now: Millis,
        contact: Contact,
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
        let Contact { reported, proved } = contact;
        let is_overruled = |at: &Millis| {
            let told = reported.max(*at);
            proved.is_some_and(|proved| proved.since(told) >= LEADER_MS)
        };
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
