//! Shards of the fleet's endpoints, and their assignment to schedulers by the leading control VM.

use crate::prelude::*;
use state::view::{Assignment, Cell, Node, Shard};
use std::collections::{BTreeMap, BTreeSet};

/// Time without a heartbeat after which a scheduler counts as lost, in milliseconds.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 1000;
/// Time that a new leader waits for heartbeats before it assigns, in milliseconds.
pub const CANDIDATE_WAIT_MS: u64 = 600;

/// Average endpoints per data centre of a region from which on each data centre has its own
/// scheduler. With fewer, some prompts would be cached in too few places, and each scheduler
/// would see too little of the load.
const SPLIT_ENDPOINTS: usize = 12;
/// Average endpoints per data centre below which the region has a single scheduler again. It
/// is well below [`SPLIT_ENDPOINTS`], so that endpoints that come and go do not change the
/// schedulers each time.
const MERGE_ENDPOINTS: usize = 8;

/// Most endpoints of a shard on average. It bounds the memory, traffic and search time of a
/// scheduler, however many endpoints a data centre has.
pub const SHARD_ENDPOINTS_MAX: usize = 512;
/// Average endpoints per cell below which the number of cells is halved.
const CELL_ENDPOINTS_MIN: usize = 128;
/// Most cells of one data centre.
const CELLS_MAX: u16 = 1 << 14;

/// Routers per scheduler from which on the VM of a scheduler takes no callers: callers then
/// lose at most one router in twelve.
const ROUTERS_PER_SCHEDULER: usize = 12;

/// A VM that can run schedulers, by its last heartbeat.
#[derive(Clone, Debug)]
struct Candidate {
    site: Site,
    incarnation: u64,
    last_heartbeat: Millis,
}

/// Location of a VM that can run schedulers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// The VM's name and link address.
    pub node: Node,
    /// Its region.
    pub region: Name,
    /// Its data centre.
    pub data_centre: Name,
}

impl Site {
    /// Distance to a shard's endpoints: whether they are in another region, and in another data
    /// centre. Nearer sites compare as less.
    fn distance(&self, shard: &Shard) -> (bool, bool) {
        let elsewhere = |data_centre: &Name| *data_centre != self.data_centre;
        (
            self.region != shard.region,
            shard.data_centre.as_ref().is_some_and(elsewhere),
        )
    }
}

/// Assigns shards to the VMs that can run schedulers; used by the leading control VM.
#[derive(Clone, Debug, Default)]
pub struct Assigner {
    candidates: BTreeMap<Name, Candidate>,
    /// When the first assignment may be made.
    ready_at: Millis,
}

impl Assigner {
    /// Forgets all candidates, at the start of a term as leader.
    pub fn reset(&mut self, now: Millis) {
        self.candidates.clear();
        self.ready_at = now.after(CANDIDATE_WAIT_MS);
    }

    /// Records a heartbeat of a candidate.
    pub fn record_heartbeat(&mut self, now: Millis, site: Site, incarnation: u64) {
        let vm = site.node.vm.clone();
        let candidate = Candidate {
            site,
            incarnation,
            last_heartbeat: now,
        };
        self.candidates.insert(vm, candidate);
    }

    /// Removes a candidate whose link was lost.
    pub fn remove(&mut self, vm: &Name) {
        self.candidates.remove(vm);
    }

    /// The assignments to make, for shards without a live scheduler. `shards` are those that
    /// have endpoints.
    pub fn plan(
        &self,
        now: Millis,
        view: &View,
        shards: &BTreeSet<Shard>,
    ) -> SmallVec<[Assignment; 4]> {
        let mut plan = SmallVec::new();
        if now < self.ready_at {
            return plan;
        }
        let live: BTreeMap<&Name, &Candidate> = (self.candidates.iter())
            .filter(|(vm, c)| {
                now.since(c.last_heartbeat) < HEARTBEAT_TIMEOUT_MS
                    && view.stopping.get(vm) != Some(&c.incarnation)
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
            let current = view.assignment(shard);
            if current.is_some_and(|a| live.get(&a.node.vm).is_some_and(|c| c.site.node == a.node))
            {
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
                // Versions only grow, so an epoch above the current version is above all
                // earlier epochs.
                epoch: Epoch(view.version.0 + 1 + plan.len() as u64),
            });
        }
        plan
    }
}

/// Whether the VM of a scheduler takes no callers, in a fleet with so many routers and shards.
///
/// Callers reach a router by a hash of their address. If a large caller reached the VM of a
/// scheduler, all routers would wait for decisions while the VM serves that caller.
pub fn is_dedicated(routers: usize, shards: usize) -> bool {
    routers >= shards * ROUTERS_PER_SCHEDULER
}

/// The shards that have endpoints.
///
/// On an eighth of a core, one scheduler can serve a few hundred engines: it receives four
/// messages for each request. A region with many endpoints is therefore split by data centre,
/// and a data centre that is too large for one VM into cells.
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
        if !is_split(view, &region, &counts) {
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

/// A shard with so many endpoints, or the cells into which it is split.
///
/// The number of cells is doubled or halved, so that each step splits a cell or merges two
/// instead of moving all endpoints.
fn cells(view: &View, shard: Shard, count: usize) -> Vec<Shard> {
    let is_of_shard = |a: &&Assignment| {
        let other = &a.shard;
        other.service == shard.service
            && other.region == shard.region
            && other.data_centre == shard.data_centre
    };
    let newest = view.assignments.iter().filter(is_of_shard);
    let newest = newest.max_by_key(|a| a.epoch);
    let mut of = newest.and_then(|a| a.shard.cell).map_or(1, |cell| cell.of);
    while count > usize::from(of) * SHARD_ENDPOINTS_MAX && of < CELLS_MAX {
        of *= 2;
    }
    while of > 1 && count < usize::from(of) * CELL_ENDPOINTS_MIN {
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

/// Whether each data centre of a region has its own scheduler, given the endpoints in each.
fn is_split(view: &View, region: &Shard, counts: &BTreeMap<Name, usize>) -> bool {
    let is_of_region =
        |a: &&Assignment| a.shard.service == region.service && a.shard.region == region.region;
    let newest = view.assignments.iter().filter(is_of_region);
    let newest = newest.max_by_key(|a| a.epoch);
    let was_split = newest.is_some_and(|a| a.shard.data_centre.is_some());
    let least = if was_split {
        MERGE_ENDPOINTS
    } else {
        SPLIT_ENDPOINTS
    };
    counts.len() > 1 && counts.values().sum::<usize>() >= least * counts.len()
}
