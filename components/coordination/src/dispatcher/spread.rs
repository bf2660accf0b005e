//! Which shard of a service a request is asked for at, where a region has several.
//!
//! The load: hundreds of engines in a few data centres, each with a scheduler of its own,
//! and callers of whom two in three come to the routers of one data centre. Prompts share
//! parts of thousands of tokens that take an engine a fifth of a second to read. Asked for
//! at random, each part would be read in each data centre; asked for at home, one data
//! centre would be overloaded beside idle ones.

use super::Arrival;
use crate::assignment::shards;
use crate::prelude::*;
use crate::prompt::mix;
use state::listing::Count;
use state::view::{Cell, Shard};
use std::collections::{BTreeMap, BTreeSet};

/// Cells of its own data centre that a router asks, of each service.
const CELLS_HERE: usize = 4;
/// Other data centres whose shards it asks, one of each.
const CENTRES: usize = 7;

/// Tokens of shared parts from which on a request goes where others with these parts go:
/// reading them takes an engine some 20 ms, several times the way to another data centre.
const AFFINITY_TOKENS: u64 = 1000;
/// Part of its aim that a request may be expected to wait at its shard before another one
/// is sought: beyond it the scheduler is about to refuse.
const PRESSED_PART: u64 = 4;
/// Part of its aim that it waits at most at the other one. It is half, so that requests do
/// not change places where all shards have too much to do, and lose the parts kept.
const FREE_PART: u64 = 8;
/// Time in which a measured wait loses half of its weight, in milliseconds: about what a
/// scheduler needs to work off what it has let in.
const HALF_LIFE_MS: u64 = 200;
/// Time without its scheduler after which a shard is passed over for others, in
/// milliseconds: a new link is up by then.
const LOST_MS: u64 = 100;

/// Where a router stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its region.
    pub region: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// A number that differs between lives of routers.
    pub incarnation: u64,
}

/// How long requests of one customer have waited at one shard of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Wait {
    ms: u64,
    at: Millis,
}

impl Wait {
    /// Takes the wait of one more request, in milliseconds.
    pub(super) fn note(&mut self, now: Millis, ms: u64) {
        self.ms = u64::midpoint(self.ms(now), ms);
        self.at = now;
    }

    /// What a newcomer may expect, in milliseconds: old news counts less and less.
    pub(super) fn ms(&self, now: Millis) -> u64 {
        let halvings = now.since(self.at) / HALF_LIFE_MS;
        self.ms >> halvings.min(63)
    }
}

/// What a router knows of a shard when it chooses.
#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    /// Since when it has had no scheduler, if it has none.
    pub(super) down_since: Option<Millis>,
    /// How long a request has to wait there, in milliseconds.
    pub(super) wait_ms: u64,
    /// Whether most of its engines have something to read.
    pub(super) is_busy: bool,
}

impl State {
    /// Of a shard that was not asked yet.
    pub(super) const UNKNOWN: State = State {
        down_since: None,
        wait_ms: 0,
        is_busy: false,
    };

    fn is_lost(&self, now: Millis) -> bool {
        self.down_since.is_some_and(|at| now.since(at) >= LOST_MS)
    }

    fn waits_within(&self, now: Millis, ms: u64) -> bool {
        !self.is_lost(now) && self.wait_ms <= ms
    }
}

/// A shard that requests of this router may be asked for at.
#[derive(Clone, Debug)]
struct Candidate {
    shard: Shard,
    /// Endpoints that take work.
    open: u32,
    /// A number that looks random, the same for the shard at all routers.
    mark: u64,
}

impl Candidate {
    /// The lower, the sooner the shard is taken for a key: each key has an order of its
    /// own, in which a shard comes first as often as it has endpoints (weighted rendezvous
    /// hashing: Schindelhauer and Schomaker, 2005). One that is lost or added moves only the
    /// keys that it takes.
    fn rank(&self, key: u64) -> f64 {
        // CAST: 53 bits fit into the mantissa.
        let unit = ((mix(self.mark ^ mix(key)) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -unit.ln() / f64::from(self.open)
    }
}

/// The shards of each service.
#[derive(Clone, Debug)]
pub(super) struct Spread {
    home: Location,
    /// All that have endpoints, in any region.
    shards: BTreeSet<Shard>,
    /// Those with endpoints that take work.
    candidates: BTreeMap<ServiceId, Vec<Candidate>>,
    /// Services whose engines copy parts of prompts from each other.
    copying: BTreeSet<ServiceId>,
}

impl Spread {
    pub(super) fn new(home: Location) -> Self {
        Spread {
            home,
            shards: BTreeSet::new(),
            candidates: BTreeMap::new(),
            copying: BTreeSet::new(),
        }
    }

    /// Whether no endpoint is known.
    pub(super) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Endpoints of a shard that take work.
    pub(super) fn open(&self, shard: &Shard) -> usize {
        let candidates = self.candidates.get(&shard.service);
        let found = candidates.and_then(|all| all.iter().find(|c| c.shard == *shard));
        // CAST: 32 bits fit into a size on every supported target.
        found.map_or(0, |c| c.open as usize)
    }

    /// Follows a change of the endpoints.
    pub(super) fn follow(&mut self, view: &View) {
        self.shards = shards(view);
        self.candidates.clear();
        let services = view.config.services.iter();
        let copying =
            services.filter(|(_, s)| s.engine.is_some_and(|e| e.copy_tokens_per_s.is_some()));
        self.copying = copying.map(|(id, _)| *id).collect();
        let counts = view.endpoint_counts();
        for shard in &self.shards {
            let open = open(view, &counts, shard);
            if open == 0 {
                continue;
            }
            let candidate = Candidate {
                shard: shard.clone(),
                open,
                mark: mark(shard),
            };
            let all = self.candidates.entry(shard.service).or_default();
            all.push(candidate);
        }
    }

    /// Shards near this router that it will ask: those of its own data centre, or of its region
    /// where that is not divided. Before endpoints are known, those that have a scheduler.
    pub(super) fn near(&self, view: &View) -> Vec<Shard> {
        let is_near = |shard: &Shard| {
            let here = Some(&self.home.data_centre);
            shard.region == self.home.region
                && (shard.data_centre.is_none() || shard.data_centre.as_ref() == here)
        };
        let mut near = Vec::new();
        for service in view.config.services.keys() {
            let assigned = view.assignments.iter().map(|a| &a.shard);
            let assigned = assigned.filter(|s| s.service == *service && is_near(s));
            let assigned = assigned.map(|shard| Candidate {
                shard: shard.clone(),
                open: 1,
                mark: mark(shard),
            });
            let mut all: Vec<Candidate> = match self.candidates.get(service) {
                Some(known) => known
                    .iter()
                    .filter(|c| is_near(&c.shard))
                    .cloned()
                    .collect(),
                None => assigned.collect(),
            };
            let lot = self.home.incarnation;
            all.sort_by(|a, b| a.rank(lot).total_cmp(&b.rank(lot)));
            near.extend(all.into_iter().take(CELLS_HERE).map(|c| c.shard));
        }
        near
    }

    /// Whether a shard has endpoints, as they are divided now.
    pub(super) fn has(&self, shard: &Shard) -> bool {
        self.shards.contains(shard)
    }

    /// The shard that covers an endpoint now which `before` covered.
    pub(super) fn covering(&self, view: &View, before: &Shard, id: EndpointId) -> Option<&Shard> {
        let service = |shard: &&Shard| shard.service == before.service;
        let mut all = self.shards.iter().filter(service);
        if let Some(endpoint) = view.config.endpoints.get(&id) {
            return all.find(|shard| shard.covers(id, endpoint));
        }
        // One that is not held here is in the same data centre, in another cell.
        all.find(|shard| {
            let is_in = |cell: Cell| Cell::covering(id, cell.of) == cell;
            shard.region == before.region
                && shard.data_centre == before.data_centre
                && shard.cell.is_none_or(is_in)
        })
    }

    /// The shard to ask for a request; `state` tells what is known of each.
    pub(super) fn choose<F>(&self, now: Millis, arrival: &Arrival, state: F) -> Option<&Shard>
    where
        F: Fn(&Shard) -> State,
    {
        let aim_ms = arrival.aim.since(now);
        let order = self.order(arrival, &state);
        let first = order.first()?;
        let is_pressed = order.len() > 1 && {
            let here = state(&first.shard);
            !here.waits_within(now, aim_ms / PRESSED_PART)
        };
        if !is_pressed {
            return Some(&first.shard);
        }
        let mut others = order.iter().skip(1);
        let free = others.find(|c| state(&c.shard).waits_within(now, aim_ms / FREE_PART));
        let alive = || order.iter().find(|c| !state(&c.shard).is_lost(now));
        let chosen = free.or_else(alive).unwrap_or(first);
        Some(&chosen.shard)
    }

    /// Shards of a service, the one that a request belongs to before the others.
    fn order<F>(&self, arrival: &Arrival, state: &F) -> SmallVec<[&Candidate; 8]>
    where
        F: Fn(&Shard) -> State,
    {
        let all = self.candidates.get(&arrival.service).into_iter().flatten();
        let allowed = all.filter(|c| arrival.regions.contains(&c.shard.region));
        let mut order: SmallVec<[&Candidate; 8]> = allowed.collect();
        keep_one_region(&mut order, &self.home.region);
        self.keep_within_reach(&mut order);
        if order.len() < 2 {
            return order;
        }
        let (key, tokens) = arrival.prompt.shared_prefix();
        let here = order.iter().filter(|c| self.is_here(&c.shard));
        let stays = here.clone().any(|c| !state(&c.shard).is_busy);
        if tokens >= AFFINITY_TOKENS && !(stays && self.copying.contains(&arrival.service)) {
            order.sort_by(|a, b| a.rank(key.into()).total_cmp(&b.rank(key.into())));
            return order;
        }
        let key = match tokens >= AFFINITY_TOKENS {
            true => u64::from(key),
            false => self.home.incarnation,
        };
        let elsewhere = |c: &Candidate| !self.is_here(&c.shard);
        order.sort_by(|a, b| {
            let by_rank = a.rank(key).total_cmp(&b.rank(key));
            elsewhere(a).cmp(&elsewhere(b)).then(by_rank)
        });
        order
    }

    fn is_here(&self, shard: &Shard) -> bool {
        shard.data_centre.as_ref() == Some(&self.home.data_centre)
    }

    /// Keeps the shards that this router may have sessions with: some cells of its own data
    /// centre, and one of each of some others. Each router keeps others, so that all of them
    /// are asked.
    fn keep_within_reach(&self, all: &mut SmallVec<[&Candidate; 8]>) {
        if all.len() <= CELLS_HERE {
            return;
        }
        let lot = self.home.incarnation;
        all.sort_by(|a, b| a.rank(lot).total_cmp(&b.rank(lot)));
        let mut here = 0;
        let mut others: SmallVec<[&Name; CENTRES]> = SmallVec::new();
        all.retain(|candidate| {
            if self.is_here(&candidate.shard) {
                here += 1;
                return here <= CELLS_HERE;
            }
            let centre = (candidate.shard.data_centre.as_ref()).unwrap_or(&candidate.shard.region);
            let is_new = others.len() < CENTRES && !others.contains(&centre);
            if is_new {
                others.push(centre);
            }
            is_new
        });
    }
}

/// Endpoints of a shard that take work, given the counts of all.
fn open(view: &View, counts: &[Count], shard: &Shard) -> u32 {
    let service = view.config.services.get(&shard.service).map(|s| &s.name);
    let is_covered = |count: &&Count| {
        let is_here = |data_centre: &Name| *data_centre == count.data_centre;
        Some(&count.service) == service
            && count.region == shard.region
            && shard.data_centre.as_ref().is_none_or(is_here)
            && !view.is_evacuated(&count.data_centre)
    };
    let open: u32 = counts.iter().filter(is_covered).map(|c| c.available).sum();
    let cells = shard.cell.map_or(1, |cell| u32::from(cell.of));
    open.div_ceil(cells.max(1))
}

/// Keeps the shards of a region, or of the first one if it has none.
fn keep_one_region(all: &mut SmallVec<[&Candidate; 8]>, region: &Name) {
    let regions = || all.iter().map(|c| &c.shard.region);
    let chosen = regions().find(|r| *r == region).or_else(|| regions().min());
    if let Some(chosen) = chosen.cloned() {
        all.retain(|c| c.shard.region == chosen);
    }
}

/// A number that looks random, the same for the same shard.
fn mark(shard: &Shard) -> u64 {
    let name = shard.data_centre.as_ref().unwrap_or(&shard.region);
    let cell = shard.cell.map_or(0, |cell| u64::from(cell.index));
    let bytes = name.as_str().bytes();
    bytes.fold(cell, |mark, byte| mix(mark ^ u64::from(byte)))
}
