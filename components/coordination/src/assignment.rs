//! Which VM schedules which shard, as the leading control VM decides it.

use crate::prelude::*;
use state::view::{Assignment, Cell, Node, Shard};
use std::collections::{BTreeMap, BTreeSet};

/// Silence after which a scheduler counts as lost, in milliseconds.
pub const SILENCE_MS: u64 = 1000;
/// Time that a new leader waits for candidates to report, in milliseconds.
pub const CANDIDATE_WAIT_MS: u64 = 600;

/// Endpoints in a data centre, on average over its region, from which on each data centre
/// has a scheduler of its own. With fewer, a part of prompts would be kept in few places,
/// and each scheduler would see too little of the load.
const DIVIDE: usize = 12;
/// The same below which they have one again: some way below, so that endpoints which come
/// and go do not change schedulers each time.
const UNITE: usize = 8;

/// Endpoints of a shard at most: what its scheduler holds, hears and searches is bounded by
/// it, however many endpoints a data centre has.
pub const SHARD_ENDPOINTS_MAX: usize = 512;
/// Endpoints of a cell on average below which two are joined again.
const CELL_MIN: usize = 128;
/// Cells of one data centre at most.
const CELLS_MAX: u16 = 1 << 14;

/// Routers for each scheduler from which on its VM takes no callers: it is then one in
/// twelve of the routers at most that callers miss.
const ROUTERS_EACH: usize = 12;

/// A VM that can schedule.
#[derive(Clone, Debug)]
struct Candidate {
    site: Site,
    incarnation: u64,
    heard: Millis,
}

/// Where a VM that can schedule stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// The VM and the address of its links.
    pub node: Node,
    /// Its region.
    pub region: Name,
    /// Its data centre.
    pub data_centre: Name,
}

impl Site {
    /// How far it is from a shard's endpoints: another region, another data centre.
    fn distance(&self, shard: &Shard) -> (bool, bool) {
        let elsewhere = |data_centre: &Name| *data_centre != self.data_centre;
        (
            self.region != shard.region,
            shard.data_centre.as_ref().is_some_and(elsewhere),
        )
    }
}

/// What the leader knows of the VMs that can schedule.
#[derive(Clone, Debug, Default)]
pub struct Assigner {
    candidates: BTreeMap<Name, Candidate>,
    from: Millis,
}

impl Assigner {
    /// Starts anew as leader.
    pub fn reset(&mut self, now: Millis) {
        self.candidates.clear();
        self.from = now.after(CANDIDATE_WAIT_MS);
    }

    /// Hears a heartbeat of a candidate.
    pub fn record_heartbeat(&mut self, now: Millis, site: Site, incarnation: u64) {
        let vm = site.node.vm.clone();
        let candidate = Candidate {
            site,
            incarnation,
            heard: now,
        };
        self.candidates.insert(vm, candidate);
    }

    /// Forgets a candidate whose link was lost.
    pub fn remove(&mut self, vm: &Name) {
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
            if let Some(n) = load.get_mut(&assignment.node.vm) {
                *n += 1;
            }
        }
        for shard in shards
            .iter()
            .filter(|s| view.config.services.contains_key(&s.service))
        {
            let held = view.assignment(shard);
            if held.is_some_and(|s| live.get(&s.node.vm).is_some_and(|c| c.site.node == s.node)) {
                continue;
            }
            let best = (live.iter())
                .min_by_key(|(vm, c)| (c.site.distance(shard), load.get(*vm).copied(), *vm));
            let Some((vm, candidate)) = best else {
                continue;
            };
            if let Some(n) = load.get_mut(*vm) {
                *n += 1;
            }
            plan.push(Assignment {
                shard: shard.clone(),
                node: candidate.site.node.clone(),
                // The version that the record will bring is not known yet, but
                // it is above the current one; so is this epoch above all others.
                epoch: Epoch(view.version.0 + 1 + plan.len() as u64),
            });
        }
        plan
    }
}

/// Whether a VM that schedules for so many routers takes no callers beside it, in a fleet of
/// so many shards.
///
/// Callers come to a router by a hash of their address. Where a large one came to the VM of
/// a scheduler, all routers waited for decisions while it served that caller.
pub fn is_dedicated(routers: usize, shards: usize) -> bool {
    routers >= shards * ROUTERS_EACH
}

/// The shards that have endpoints.
///
/// One scheduler for hundreds of engines is the ceiling of a fleet whose VMs have an eighth
/// of a core: it is told of each request four times. A region with many endpoints is thus
/// divided by data centre, and what is still too much for one VM into cells.
pub fn shards(view: &View) -> BTreeSet<Shard> {
    let mut regions: BTreeMap<Shard, BTreeMap<Name, usize>> = BTreeMap::new();
    for count in view.endpoint_counts().iter() {
        let Some(service) = view.config.service(&count.service) else {
            continue;
        };
        let region = Shard {
            service,
            region: count.region.clone(),
            data_centre: None,
            cell: None,
        };
        let counts = regions.entry(region).or_default();
        // CAST: 32 bits fit into a size on every supported target.
        *counts.entry(count.data_centre.clone()).or_default() += count.all as usize;
    }
    let mut shards = BTreeSet::new();
    for (region, counts) in regions {
        if !divides(view, &region, &counts) {
            let count = counts.values().sum();
            shards.extend(cells(view, region, count));
            continue;
        }
        for (data_centre, count) in counts {
            let shard = Shard {
                data_centre: Some(data_centre),
                ..region.clone()
            };
            shards.extend(cells(view, shard, count));
        }
    }
    shards
}

/// A shard with so many endpoints, or the cells into which it is divided.
///
/// The number of cells is doubled and halved, so that each of the others keeps or loses half
/// of its endpoints, and not all at each step.
fn cells(view: &View, shard: Shard, count: usize) -> Vec<Shard> {
    let of_shard = |a: &&Assignment| {
        let other = &a.shard;
        other.service == shard.service
            && other.region == shard.region
            && other.data_centre == shard.data_centre
    };
    let newest = view.assignments.iter().filter(of_shard);
    let newest = newest.max_by_key(|a| a.epoch);
    let mut of = newest.and_then(|a| a.shard.cell).map_or(1, |cell| cell.of);
    while count > usize::from(of) * SHARD_ENDPOINTS_MAX && of < CELLS_MAX {
        of *= 2;
    }
    while of > 1 && count < usize::from(of) * CELL_MIN {
        of /= 2;
    }
    if of == 1 {
        return vec![shard];
    }
    let cell = |index| Shard {
        cell: Some(Cell { index, of }),
        ..shard.clone()
    };
    (0..of).map(cell).collect()
}

/// Whether each data centre of a region has a scheduler of its own, given the endpoints in
/// each.
fn divides(view: &View, region: &Shard, counts: &BTreeMap<Name, usize>) -> bool {
    let of_region =
        |a: &&Assignment| a.shard.service == region.service && a.shard.region == region.region;
    let newest = view.assignments.iter().filter(of_region);
    let newest = newest.max_by_key(|a| a.epoch);
    let is_divided = newest.is_some_and(|a| a.shard.data_centre.is_some());
    let least = if is_divided { UNITE } else { DIVIDE };
    counts.len() > 1 && counts.values().sum::<usize>() >= least * counts.len()
}
