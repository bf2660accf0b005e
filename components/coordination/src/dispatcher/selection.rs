//! Selects the shard of a service to ask for a request, where a region has several.
//!
//! Designed for hundreds of engines in a few data centres, each with a scheduler of its own,
//! where two in three callers come to the routers of one data centre. Prompts share parts of
//! thousands of tokens that take an engine a fifth of a second to prefill. If shards were
//! selected at random, each part would be prefilled in each data centre; if routers used only
//! their own data centre, one would be overloaded while others are idle.
//!
//! With a bound on the pauses of streams, a data centre can be too full long before its requests
//! wait. On a calm day its engines began 7 to 10 streams a second each and 18% to 29% of them paused
//! for too long; the engines of the others began 2 to 5, of which 4% to 13% did.

use super::Arrival;
use crate::assignment::shards;
use crate::messages::Objective;
use crate::prelude::*;
use crate::prompt::mix;
use state::listing::Count;
use state::view::{Cell, Shard};
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of cells of its own data centre that a router uses, per service.
const LOCAL_CELLS_MAX: usize = 4;
/// Largest number of other data centres in which a router uses a shard, per service.
const OTHER_CENTRES_MAX: usize = 7;

/// Least number of shared prompt tokens for which requests are sent to the same shard:
/// prefilling them takes an engine some 20 ms, several times the round trip to another data
/// centre.
const AFFINITY_MIN_TOKENS: u64 = 1000;
/// Divisor of a request's latency target, its time to first byte, that gives the longest expected
/// wait at its preferred shard. Beyond that the scheduler is about to refuse requests, and another
/// shard is tried.
const PREFERRED_WAIT_DIVISOR: u64 = 4;
/// Divisor of a request's latency target that gives the longest expected wait at such another
/// shard. The wait is half of that at the preferred shard, so that requests don't move away from
/// their cached prompt parts where all shards are overloaded.
const OTHER_WAIT_DIVISOR: u64 = 8;
/// Time in which a measured wait loses half of its weight, in milliseconds: about the time
/// that a scheduler needs to serve the requests that it has accepted.
const WAIT_HALF_LIFE_MS: u64 = 200;
/// Load of a shard relative to the mean of all, in percent, from which as many streams with a bound on
/// their pauses as possible go to other shards. Each step of an engine generates a token for all of
/// its streams and prefills what they bring, so that pauses grow with the load. From the mean
/// up to here the share of the streams that leave grows: if all left at once, all routers
/// would leave and return together.
const CROWDED_PERCENT: u64 = 140;
/// Largest share of the streams that leave a shard, in percent. The others bring the grants
/// that tell its load.
const LEAVING_MAX_PERCENT: u64 = 95;
/// Share of the streams that go to a shard whose load is not known, in percent.
const PROBING_PERCENT: u64 = 5;
/// Least load of a shard that streams leave, in requests in progress per hundred engines: with fewer
/// than two requests for each engine, most have no neighbours that slow them down.
const LEAVING_MIN_LOAD: u64 = 200;
/// Time for which a shard's load is used after its scheduler reported it, in milliseconds: the
/// time that a few streams last.
const LOAD_VALID_MS: u64 = 5000;
/// Time without its scheduler after which a shard is skipped for others, in milliseconds:
/// enough for a new link to be established.
const LOST_AFTER_MS: u64 = 100;

/// Location and identity of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Region of the router.
    pub region: Name,
    /// Data centre of the router.
    pub data_centre: Name,
    /// Number that differs between routers and between restarts of a router.
    pub incarnation: u64,
}

/// Decaying average of the waits of one customer's requests at one shard.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Wait {
    /// Average at the time of the last measurement, in milliseconds.
    ms: u64,
    /// Time of the last measurement.
    at: Millis,
}

impl Wait {
    /// Adds the wait of one more request, in milliseconds.
    pub(super) fn record(&mut self, now: Millis, ms: u64) {
        self.ms = u64::midpoint(self.ms(now), ms);
        self.at = now;
    }

    /// Expected wait of a new request, in milliseconds. It halves with each half-life without
    /// a new measurement.
    pub(super) fn ms(&self, now: Millis) -> u64 {
        let halvings = now.since(self.at) / WAIT_HALF_LIFE_MS;
        self.ms >> halvings.min(63)
    }
}

/// What a router knows of a shard when it selects one.
#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    /// When the shard lost its scheduler, if it has none.
    pub(super) down_since: Option<Millis>,
    /// Expected wait of a request, in milliseconds.
    pub(super) wait_ms: u64,
    /// Whether most of the shard's engines have a prompt to prefill.
    pub(super) is_busy: bool,
    /// Requests in progress at the shard, if its scheduler has reported them recently.
    pub(super) running: Option<u32>,
}

impl State {
    /// State of a shard that has not been asked yet.
    pub(super) const UNKNOWN: State = State {
        down_since: None,
        wait_ms: 0,
        is_busy: false,
        running: None,
    };

    fn is_lost(&self, now: Millis) -> bool {
        self.down_since
            .is_some_and(|at| now.since(at) >= LOST_AFTER_MS)
    }

    fn waits_within(&self, now: Millis, ms: u64) -> bool {
        !self.is_lost(now) && self.wait_ms <= ms
    }
}

/// Requests in progress at a shard, as its scheduler last reported them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) requests: u32,
    /// When they were reported.
    pub(super) at: Millis,
}

impl Running {
    /// The figure, if it is recent.
    pub(super) fn recent(&self, now: Millis) -> Option<u32> {
        (now.since(self.at) <= LOAD_VALID_MS).then_some(self.requests)
    }
}

/// A shard that this router may ask for a request.
#[derive(Clone, Debug)]
struct Candidate {
    shard: Shard,
    /// Number of endpoints that take work.
    available: u32,
    /// Hash of the shard, the same at all routers.
    hash: u64,
}

impl Candidate {
    /// Rank of the shard for a key; the shard with the lowest rank is preferred.
    ///
    /// Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): each key has its own
    /// order of the shards, and a shard comes first for a share of the keys that is
    /// proportional to its endpoints. A shard that is lost or added moves only its own keys.
    fn rank(&self, key: u64) -> f64 {
        // CAST: 53 bits fit into the mantissa.
        let unit = ((mix(self.hash ^ mix(key)) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -unit.ln() / f64::from(self.available)
    }
}

/// The shards of each service, and which of them this router uses.
#[derive(Clone, Debug)]
pub(super) struct Selector {
    location: Location,
    /// All shards that have endpoints, in any region.
    shards: BTreeSet<Shard>,
    /// The shards with endpoints that take work.
    candidates: BTreeMap<ServiceId, Vec<Candidate>>,
    /// Services whose engines copy cached prompt parts from each other.
    copying: BTreeSet<ServiceId>,
}

impl Selector {
    pub(super) fn new(location: Location) -> Self {
        Selector {
            location,
            shards: BTreeSet::new(),
            candidates: BTreeMap::new(),
            copying: BTreeSet::new(),
        }
    }

    /// Whether no endpoint that takes work is known.
    pub(super) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Number of endpoints of a shard that take work.
    pub(super) fn available(&self, shard: &Shard) -> usize {
        let candidates = self.candidates.get(&shard.service);
        let found = candidates.and_then(|all| all.iter().find(|c| c.shard == *shard));
        // CAST: 32 bits fit into a size on every supported target.
        found.map_or(0, |c| c.available as usize)
    }

    /// Whether a request could be served by another shard of the same region.
    pub(super) fn has_other(&self, arrival: &Arrival, shard: &Shard) -> bool {
        let all = self.candidates.get(&arrival.service).into_iter().flatten();
        let mut others = all.filter(|c| c.shard != *shard && c.shard.region == shard.region);
        others.any(|c| arrival.regions.contains(&c.shard.region))
    }

    /// Applies a change of the endpoints.
    pub(super) fn update(&mut self, view: &View) {
        self.shards = shards(view);
        self.candidates.clear();
        let services = view.config.services.iter();
        let copying =
            services.filter(|(_, s)| s.engine.is_some_and(|e| e.copy_tokens_per_s.is_some()));
        self.copying = copying.map(|(id, _)| *id).collect();
        let counts = view.endpoint_counts();
        for shard in &self.shards {
            let available = count_available(view, &counts, shard);
            if available == 0 {
                continue;
            }
            let candidate = Candidate {
                shard: shard.clone(),
                available,
                hash: hash(shard),
            };
            let all = self.candidates.entry(shard.service).or_default();
            all.push(candidate);
        }
    }

    /// Shards near this router that it will use: the shards of its own data centre, or of its
    /// region if that is not divided by data centre. Until endpoints are known, only shards
    /// that have a scheduler.
    pub(super) fn nearby(&self, view: &View) -> Vec<Shard> {
        let is_near = |shard: &Shard| {
            let here = Some(&self.location.data_centre);
            shard.region == self.location.region
                && (shard.data_centre.is_none() || shard.data_centre.as_ref() == here)
        };
        let mut nearby = Vec::new();
        for service in view.config.services.keys() {
            let assigned = view.assignments.iter().map(|a| &a.shard);
            let assigned = assigned.filter(|s| s.service == *service && is_near(s));
            let assigned = assigned.map(|shard| Candidate {
                shard: shard.clone(),
                available: 1,
                hash: hash(shard),
            });
            let mut all: Vec<Candidate> = match self.candidates.get(service) {
                Some(known) => known
                    .iter()
                    .filter(|c| is_near(&c.shard))
                    .cloned()
                    .collect(),
                None => assigned.collect(),
            };
            let seed = self.location.incarnation;
            all.sort_by(|a, b| a.rank(seed).total_cmp(&b.rank(seed)));
            nearby.extend(all.into_iter().take(LOCAL_CELLS_MAX).map(|c| c.shard));
        }
        nearby
    }

    /// Whether a shard exists and has endpoints.
    pub(super) fn contains(&self, shard: &Shard) -> bool {
        self.shards.contains(shard)
    }

    /// The shard that now covers an endpoint that `before` covered.
    pub(super) fn covering(&self, view: &View, before: &Shard, id: EndpointId) -> Option<&Shard> {
        let service = |shard: &&Shard| shard.service == before.service;
        let mut all = self.shards.iter().filter(service);
        if let Some(endpoint) = view.config.endpoints.get(&id) {
            return all.find(|shard| shard.covers(id, endpoint));
        }
        // An endpoint that this process does not know is in the same data centre, in another
        // cell.
        all.find(|shard| {
            let is_in = |cell: Cell| Cell::covering(id, cell.of) == cell;
            shard.region == before.region
                && shard.data_centre == before.data_centre
                && shard.cell.is_none_or(is_in)
        })
    }

    /// The shard to ask for a request, and whether the request leaves a crowded one. `state` returns
    /// what is known of a shard.
    pub(super) fn choose<F>(
        &self,
        now: Millis,
        arrival: &Arrival,
        objective: Option<Objective>,
        state: F,
    ) -> Option<(&Shard, bool)>
    where
        F: Fn(&Shard) -> State,
    {
        let aim_ms = arrival.aim.since(now);
        let order = self.preferences(arrival, &state);
        let first = order.first()?;
        let has_bound = objective.is_some_and(|objective| objective.max_gap_ms > 0);
        // Where engines do not copy cached parts, the prompt would be prefilled once more at another
        // shard, which causes pauses itself.
        if has_bound && self.copying.contains(&arrival.service) {
            let other = self.less_crowded(now, arrival, &order, &state);
            if let Some(other) = other {
                return Some((&other.shard, true));
            }
        }
        let is_overloaded = order.len() > 1 && {
            let preferred = state(&first.shard);
            !preferred.waits_within(now, aim_ms / PREFERRED_WAIT_DIVISOR)
        };
        if !is_overloaded {
            return Some((&first.shard, false));
        }
        let mut others = order.iter().skip(1);
        let free = others.find(|c| state(&c.shard).waits_within(now, aim_ms / OTHER_WAIT_DIVISOR));
        let alive = || order.iter().find(|c| !state(&c.shard).is_lost(now));
        let chosen = free.or_else(alive).unwrap_or(first);
        Some((&chosen.shard, false))
    }

    /// Another shard for a stream with a bound on its pauses, if the preferred one is crowded and
    /// this stream is one of those that leave it.
    fn less_crowded<'a, F>(
        &self,
        now: Millis,
        arrival: &Arrival,
        order: &[&'a Candidate],
        state: &F,
    ) -> Option<&'a Candidate>
    where
        F: Fn(&Shard) -> State,
    {
        let wait_max_ms = arrival.aim.since(now) / OTHER_WAIT_DIVISOR;
        let states = order.iter().map(|c| (*c, state(&c.shard)));
        // A shard at which requests wait has lost engines that are still counted.
        let usable = states.filter(|(_, state)| state.waits_within(now, wait_max_ms));
        let usable: SmallVec<[(&Candidate, Option<u32>); 8]> =
            usable.map(|(c, state)| (c, state.running)).collect();
        let known = || {
            usable
                .iter()
                .filter_map(|(c, running)| Some((c, (*running)?)))
        };
        let running: u64 = known().map(|(_, running)| u64::from(running)).sum();
        let engines: u64 = known().map(|(c, _)| u64::from(c.available)).sum();
        let mean = running * 100 / engines.max(1);
        let load =
            |c: &Candidate, running: u32| u64::from(running) * 100 / u64::from(c.available.max(1));
        let preferred = order.first()?;
        let (_, running) = known().find(|(c, _)| c.hash == preferred.hash)?;
        let own = load(preferred, running);
        // By the request's own part of the prompt, so that the choice needs no random numbers.
        let own_part = arrival.prompt.parts().last().map_or(0, |part| part.key);
        let draw = mix(u64::from(own_part) ^ self.location.incarnation) % 100;
        let mut others = usable.iter().filter(|(c, _)| c.hash != preferred.hash);
        let unknown = others.clone().find(|(_, running)| running.is_none());
        if let Some((candidate, _)) = unknown.filter(|_| draw < PROBING_PERCENT) {
            return (own >= LEAVING_MIN_LOAD).then_some(*candidate);
        }
        if draw >= leaving_percent(own, mean) {
            return None;
        }
        let found = others.find(|(c, running)| running.is_some_and(|r| load(c, r) <= mean));
        found.map(|(candidate, _)| *candidate)
    }

    /// Shards that this router may ask for a request, in order of preference.
    fn preferences<F>(&self, arrival: &Arrival, state: &F) -> SmallVec<[&Candidate; 8]>
    where
        F: Fn(&Shard) -> State,
    {
        let all = self.candidates.get(&arrival.service).into_iter().flatten();
        let allowed = all.filter(|c| arrival.regions.contains(&c.shard.region));
        let mut order: SmallVec<[&Candidate; 8]> = allowed.collect();
        keep_one_region(&mut order, &self.location.region);
        self.keep_reachable(&mut order);
        if order.len() < 2 {
            return order;
        }
        let (key, tokens) = arrival.prompt.shared_prefix();
        let here = order.iter().filter(|c| self.is_local(&c.shard));
        let has_spare_engines = here.clone().any(|c| !state(&c.shard).is_busy);
        // Requests with a long shared prefix go to the same shard from all routers, unless
        // engines in this data centre have time to copy the prefix from another engine.
        if tokens >= AFFINITY_MIN_TOKENS
            && !(has_spare_engines && self.copying.contains(&arrival.service))
        {
            order.sort_by(|a, b| a.rank(key.into()).total_cmp(&b.rank(key.into())));
            return order;
        }
        let key = match tokens >= AFFINITY_MIN_TOKENS {
            true => u64::from(key),
            false => self.location.incarnation,
        };
        let elsewhere = |c: &Candidate| !self.is_local(&c.shard);
        order.sort_by(|a, b| {
            let by_rank = a.rank(key).total_cmp(&b.rank(key));
            elsewhere(a).cmp(&elsewhere(b)).then(by_rank)
        });
        order
    }

    fn is_local(&self, shard: &Shard) -> bool {
        shard.data_centre.as_ref() == Some(&self.location.data_centre)
    }

    /// Limits the shards to those that this router has sessions with: some cells of its own
    /// data centre, and one shard in each of some others. Routers keep different shards, so
    /// that all shards are used.
    fn keep_reachable(&self, all: &mut SmallVec<[&Candidate; 8]>) {
        if all.len() <= LOCAL_CELLS_MAX {
            return;
        }
        let seed = self.location.incarnation;
        all.sort_by(|a, b| a.rank(seed).total_cmp(&b.rank(seed)));
        let mut here = 0;
        let mut others: SmallVec<[&Name; OTHER_CENTRES_MAX]> = SmallVec::new();
        all.retain(|candidate| {
            if self.is_local(&candidate.shard) {
                here += 1;
                return here <= LOCAL_CELLS_MAX;
            }
            let centre = (candidate.shard.data_centre.as_ref()).unwrap_or(&candidate.shard.region);
            let is_new = others.len() < OTHER_CENTRES_MAX && !others.contains(&centre);
            if is_new {
                others.push(centre);
            }
            is_new
        });
    }
}

/// Share of the streams that leave a shard with this load, in percent.
fn leaving_percent(load: u64, mean: u64) -> u64 {
    if load < LEAVING_MIN_LOAD {
        return 0;
    }
    let excess_percent = (load * 100 / mean.max(1)).saturating_sub(100);
    let share = excess_percent * LEAVING_MAX_PERCENT / (CROWDED_PERCENT - 100);
    share.min(LEAVING_MAX_PERCENT)
}

/// Number of endpoints of a shard that take work, given the counts of all endpoints.
fn count_available(view: &View, counts: &[Count], shard: &Shard) -> u32 {
    let service = view.config.services.get(&shard.service).map(|s| &s.name);
    let is_covered = |count: &&Count| {
        let is_here = |data_centre: &Name| *data_centre == count.data_centre;
        Some(&count.service) == service
            && count.region == shard.region
            && shard.data_centre.as_ref().is_none_or(is_here)
            && !view.is_evacuated(&count.data_centre)
    };
    let available: u32 = counts.iter().filter(is_covered).map(|c| c.available).sum();
    let cells = shard.cell.map_or(1, |cell| u32::from(cell.of));
    available.div_ceil(cells.max(1))
}

/// Limits the shards to one region: the given one, or the first by name if that has none.
fn keep_one_region(all: &mut SmallVec<[&Candidate; 8]>, region: &Name) {
    let regions = || all.iter().map(|c| &c.shard.region);
    let chosen = regions().find(|r| *r == region).or_else(|| regions().min());
    if let Some(chosen) = chosen.cloned() {
        all.retain(|c| c.shard.region == chosen);
    }
}

/// Hash of a shard, the same at all routers.
fn hash(shard: &Shard) -> u64 {
    let name = shard.data_centre.as_ref().unwrap_or(&shard.region);
    let cell = shard.cell.map_or(0, |cell| u64::from(cell.index));
    let bytes = name.as_str().bytes();
    bytes.fold(cell, |hash, byte| mix(hash ^ u64::from(byte)))
}
