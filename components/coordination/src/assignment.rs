//! Which VM schedules which shard, as the leading control VM decides it.

use crate::prelude::*;
use state::view::{Assignment, Place, Shard};
use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a scheduler counts as lost, in milliseconds.
pub const SILENCE_MS: u64 = 1000;
/// Time that a new leader waits for candidates to report, in milliseconds.
pub const SETTLE_MS: u64 = 600;

/// A VM that can schedule.
#[derive(Clone, Debug)]
struct Candidate {
    place: Place,
    region: Name,
    incarnation: u64,
    heard: Millis,
}

/// What the leader knows of the VMs that can schedule.
#[derive(Clone, Debug, Default)]
pub struct Assigner {
    candidates: BTreeMap<Name, Candidate>,
    from: Millis,
}

impl Assigner {
    /// Starts anew as leader.
    pub fn begin(&mut self, now: Millis) {
        self.candidates.clear();
        self.from = now.after(SETTLE_MS);
    }

    /// Hears a heartbeat of a candidate.
    pub fn heard(&mut self, now: Millis, place: Place, region: Name, incarnation: u64) {
        let candidate = Candidate {
            place: place.clone(),
            region,
            incarnation,
            heard: now,
        };
        self.candidates.insert(place.vm, candidate);
    }

    /// Forgets a candidate whose link was lost.
    pub fn lost(&mut self, vm: &Name) {
        self.candidates.remove(vm);
    }

    /// Assigner to be filled or changed, given the view and the shards that have
    /// endpoints.
    pub fn plan(
        &self,
        now: Millis,
        view: &View,
        shards: &BTreeSet<Shard>,
    ) -> SmallVec<[Assignment; 4]> {
        let mut plan = SmallVec::new();
        if now < self.from {
            return plan;
        }
        let live: BTreeMap<&Name, &Candidate> = (self.candidates.iter())
            .filter(|(vm, c)| {
                now.since(c.heard) < SILENCE_MS && view.stopping.get(vm) != Some(&c.incarnation)
            })
            .collect();
        let mut load: BTreeMap<&Name, usize> = live.keys().map(|vm| (*vm, 0)).collect();
        for assignment in &view.assignments {
            if let Some(n) = load.get_mut(&assignment.place.vm) {
                *n += 1;
            }
        }
        for shard in shards
            .iter()
            .filter(|s| view.config.services.contains_key(&s.service))
        {
            let held = view.assignment(shard);
            if held.is_some_and(|s| live.get(&s.place.vm).is_some_and(|c| c.place == s.place)) {
                continue;
            }
            let best = (live.iter())
                .min_by_key(|(vm, c)| (c.region != shard.region, load.get(*vm).copied(), *vm));
            let Some((vm, candidate)) = best else {
                continue;
            };
            if let Some(n) = load.get_mut(*vm) {
                *n += 1;
            }
            plan.push(Assignment {
                shard: shard.clone(),
                place: candidate.place.clone(),
                // The version that the record will bring is not known yet, but
                // it is above the current one; so is this epoch above all others.
                epoch: Epoch(view.version.0 + 1 + plan.len() as u64),
            });
        }
        plan
    }
}

/// The shards that have endpoints.
pub fn shards(view: &View) -> BTreeSet<Shard> {
    let mut shards = BTreeSet::new();
    for endpoint in view.config.endpoints.values() {
        if let Some(service) = view.config.service(&endpoint.service) {
            shards.insert(Shard {
                service,
                region: endpoint.region.clone(),
            });
        }
    }
    shards
}
