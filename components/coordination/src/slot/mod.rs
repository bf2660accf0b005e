//! Slots of a shard's endpoints and the choice among them.

mod foreign;
mod keeper;
mod order;
mod place;
mod table;

pub use self::place::Reservations;

use self::foreign::Foreign;
use self::keeper::Parts;
use self::order::Order;
use self::table::{Place, Table};
use crate::backoff::Backoff;
use crate::engine::{Changes, Engine, Prefill};
use crate::health::{Change, Health};
use crate::prelude::*;
use crate::prompt::Part;
use crate::reliability::Reliability;
use crate::warmup::Pacer;
use std::collections::{BTreeMap, VecDeque};

/// How far back a load report may lag, in milliseconds.
pub const REPORT_LAG_MS: u64 = 2000;
/// Prompt prefixes remembered for each endpoint.
pub const PREFIXES: usize = 64;

/// How many times full an endpoint that is no engine counts as if it fails all of its
/// requests: with 2, one that fails half of them comes after a full one.
const FAILURE_LOADS: u64 = 2;

/// What a scheduler knows of one endpoint.
#[derive(Clone, Debug)]
struct Slot {
    id: EndpointId,
    slots: u32,
    lead: u32,
    leaving: bool,
    running: u32,
    /// Recent (time, running), so that a late report is set against what we had
    /// in progress when it was made.
    history: VecDeque<(Millis, u32)>,
    foreign: u32,
    health: Health,
    reliability: Reliability,
    prefixes: VecDeque<u32>,
    /// Its picture, if it is a model engine.
    engine: Option<Engine>,
    /// When it says that it started, in Unix milliseconds.
    born: Option<u64>,
    /// Until when it wants no requests of a router, by the number of that one's session.
    closed: BTreeMap<u32, Millis>,
    /// Until when it wants none at all.
    left: Option<Millis>,
    /// When it was last granted a request here.
    granted: Option<Millis>,
    /// At which rate it is granted requests, while it is cold.
    ramp: Option<Pacer>,
}

/// What to look for in an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria {
    /// Session of the router that asks, if one does.
    pub session: Option<u32>,
    /// What is known of the prompt.
    pub prompt: Prompt,
    /// Endpoint to avoid, if another is free.
    pub avoid: Option<EndpointId>,
    /// Time to the first byte within which an answer is on time, in milliseconds.
    pub aim_ms: u64,
    /// Time that is left of it, in milliseconds.
    pub slack_ms: u64,
    /// Whether it is to be sent only where its answer is expected in time.
    pub only_in_time: bool,
}

/// How to choose among free endpoints; all but the first are baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Least loaded, then the one that has seen the prefix.
    LeastLoaded,
    /// The next one in turn.
    RoundRobin,
    /// Any, by a hash of the count of choices.
    Random,
}

/// The endpoints of one shard.
#[derive(Clone, Debug)]
pub struct Slots {
    all: Table,
    /// Engines by the parts that they keep.
    parts: Parts,
    /// Parts that engines elsewhere keep.
    foreign: Foreign,
    /// Engines by when they would answer.
    order: Order,
    memory: Option<u64>,
    /// Tokens that an engine copies from another one in a second, if it can.
    copy_rate: Option<u64>,
    /// Requests that a cold endpoint is granted, in thousandths a second; `None` for no
    /// bound.
    cold_rate: Option<u32>,
    choice: Strategy,
    turn: u64,
}

impl Default for Slots {
    fn default() -> Self {
        Slots::new(Strategy::LeastLoaded)
    }
}

impl Slots {
    /// No endpoints yet, chosen by `choice`.
    pub fn new(choice: Strategy) -> Self {
        Slots {
            all: Table::default(),
            parts: Parts::default(),
            foreign: Foreign::default(),
            order: Order::default(),
            memory: None,
            copy_rate: None,
            cold_rate: None,
            choice,
            turn: 0,
        }
    }

    /// Sets the memory in tokens of all endpoints that are set from now on;
    /// `None` if they are no model engines.
    pub fn set_memory_tokens(&mut self, memory: Option<u64>) {
        self.memory = memory;
    }

    /// Sets how many tokens an engine copies from another one in a second; `None`
    /// if engines cannot.
    pub fn set_copy_tokens_per_s(&mut self, rate: Option<u64>) {
        self.copy_rate = rate;
    }

    /// Part of the engines that have a prompt to read, in hundredths, as of the last choice.
    pub fn busy(&self) -> u8 {
        self.order.busy()
    }

    /// Whether engines copy parts from each other.
    pub fn can_copy(&self) -> bool {
        self.copy_rate.is_some()
    }

    /// Whether an engine here has read a part.
    pub fn has_read(&self, id: EndpointId, key: u32) -> bool {
        let engine = self.all.get(id).and_then(|slot| slot.engine.as_ref());
        engine.is_some_and(|engine| engine.has_read_part(key))
    }

    /// Learns that an engine of another scheduler has read a part.
    pub fn learn_foreign(&mut self, key: u32, endpoint: EndpointId) {
        self.foreign.learn(key, endpoint);
    }

    /// Forgets engines of other schedulers that `keep` refuses.
    pub fn retain_foreign<F>(&mut self, keep: F)
    where
        F: Fn(EndpointId) -> bool,
    {
        self.foreign.retain(keep);
    }

    /// Sets how many requests a cold endpoint is granted, in thousandths a second; `None` for
    /// no bound.
    pub fn set_cold_rate(&mut self, rate: Option<u32>) {
        self.cold_rate = rate;
    }

    /// Notes that an endpoint is cold until `until`. Of those who share the rate, each begins
    /// by another `part` of the time between two requests, in thousandths.
    pub fn set_cold(&mut self, now: Millis, id: EndpointId, until: Millis, part: u64) {
        let Some(rate) = self.cold_rate.filter(|_| until > now) else {
            return;
        };
        let Some(slot) = self.touch(id) else {
            return;
        };
        match slot.ramp.as_mut().filter(|ramp| ramp.until() > now) {
            Some(ramp) => ramp.extend(until, rate),
            None => {
                let quiet = slot.granted.unwrap_or(now);
                slot.ramp = Some(Pacer::new(until, rate, quiet).shifted(part));
            }
        }
    }

    /// Adds or changes an endpoint.
    pub fn set(&mut self, id: EndpointId, slots: u32, lead: u32, leaving: bool) {
        let place = self.all.place_or_insert(id, || Slot::new(id));
        self.order.touch(place);
        let Some(slot) = self.all.at_mut(place) else {
            return;
        };
        match (self.memory, &mut slot.engine) {
            (Some(memory), Some(engine)) => engine.set_memory_tokens(memory),
            (Some(memory), engine @ None) => *engine = Some(Engine::new(memory)),
            (None, engine) => {
                let mut changes = Changes::new();
                if let Some(mut engine) = engine.take() {
                    engine.reset(&mut changes);
                }
                self.parts.note(place, &changes);
            }
        }
        slot.slots = slots;
        slot.lead = lead;
        slot.leaving = leaving;
    }

    /// Takes an endpoint's word to the router of a session that it wants no requests.
    pub fn back_off(&mut self, now: Millis, session: u32, backoff: &Backoff) {
        let Some(slot) = self.touch(backoff.endpoint) else {
            return;
        };
        let until = now.after(u64::from(backoff.ms));
        if backoff.is_leaving {
            slot.left = slot.left.max(Some(until));
            return;
        }
        slot.closed.retain(|_, until| *until > now);
        let known = slot.closed.entry(session).or_insert(until);
        *known = until.max(*known);
    }

    /// Forgets what endpoints have said to the router of a session that has ended.
    pub fn clear_backoff(&mut self, session: u32) {
        for slot in self.all.values_mut() {
            slot.closed.remove(&session);
        }
    }

    /// Forgets endpoints that `keep` refuses.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(EndpointId) -> bool,
    {
        for id in self.all.refused(keep) {
            let Some((place, slot)) = self.all.remove(id) else {
                continue;
            };
            let mut changes = Changes::new();
            if let Some(mut engine) = slot.engine {
                engine.reset(&mut changes);
            }
            self.parts.note(place, &changes);
            self.order.touch(place);
        }
    }

    /// The endpoint to which a request is best sent now; `None` if it is better
    /// off waiting, which `claims` is told of.
    pub fn choose(
        &mut self,
        now: Millis,
        criteria: Criteria,
        claims: &mut Reservations,
    ) -> Option<EndpointId> {
        if self.memory.is_some() {
            return self.place(now, criteria, claims);
        }
        self.best(now, criteria, true)
            .or_else(|| self.best(now, criteria, false))
    }

    /// Takes a slot of an endpoint for the first try of a request; gives what that
    /// takes of it, if it is a model engine.
    pub fn acquire(&mut self, now: Millis, id: EndpointId, prompt: Prompt) -> Option<Prefill> {
        self.acquire_with(now, id, prompt, true)
    }

    /// Takes a slot of an endpoint; `copies` says whether the engine may copy parts
    /// of the prompt from another one.
    pub fn acquire_with(
        &mut self,
        now: Millis,
        id: EndpointId,
        prompt: Prompt,
        copies: bool,
    ) -> Option<Prefill> {
        let source = copies.then(|| self.source(now, &prompt)).flatten();
        self.adopt(now, id);
        let place = self.all.place(id)?;
        let slot = self.all.at_mut(place)?;
        slot.granted = Some(now);
        if let Some(ramp) = &mut slot.ramp {
            ramp.take(now);
        }
        let Some(engine) = &mut slot.engine else {
            slot.remember(prompt.first_key());
            return None;
        };
        let mut changes = Changes::new();
        let reading = engine.begin(now, prompt, source, &mut changes);
        self.parts.note(place, &changes);
        Some(reading)
    }

    /// Engines of which nothing is known.
    pub fn unknown(&self, now: Millis) -> Vec<EndpointId> {
        let open = self.all.iter().filter(|(_, slot)| slot.is_open(now));
        let unknown = open.filter(|(_, s)| s.engine.as_ref().is_some_and(Engine::is_unknown));
        unknown.map(|(id, _)| id).collect()
    }

    /// Notes when an endpoint says that it started; false if it was an earlier life
    /// of it that said so.
    ///
    /// One that has started again under its name has kept nothing. One would see
    /// prompts sent to it for parts that it reads again, and its place in the order
    /// decided by what its earlier life failed.
    pub fn note_start(&mut self, id: EndpointId, born: Option<u64>) -> bool {
        let Some(place) = self.all.place(id) else {
            return true;
        };
        let (Some(slot), Some(born)) = (self.all.at_mut(place), born) else {
            return true;
        };
        let known = *slot.born.get_or_insert(born);
        if born <= known {
            return born == known;
        }
        slot.born = Some(born);
        slot.reliability = Reliability::default();
        let mut changes = Changes::new();
        if let Some(engine) = &mut slot.engine {
            engine.reset(&mut changes);
        }
        self.parts.note(place, &changes);
        self.order.touch(place);
        true
    }

    /// Learns that an engine has a part of a prompt.
    pub fn note_cached(&mut self, now: Millis, id: EndpointId, part: Part) {
        self.change(id, |engine, changes| engine.note_cached(now, part, changes));
    }

    /// Notes the first byte of an answer of an engine, `took_ms` after its grant.
    pub fn note_first_byte(
        &mut self,
        now: Millis,
        id: EndpointId,
        reading: &mut Prefill,
        took_ms: Option<u32>,
    ) {
        self.change(id, |engine, _| {
            engine.note_first_byte(now, reading, took_ms)
        });
    }

    /// Gives back what a request took of an engine.
    pub fn end_prefill(&mut self, now: Millis, id: EndpointId, reading: &Prefill) {
        self.change(id, |engine, changes| engine.end(now, reading, changes));
    }

    /// Changes an engine, and what is known of it beside.
    fn change<F>(&mut self, id: EndpointId, act: F)
    where
        F: FnOnce(&mut Engine, &mut Changes),
    {
        let Some(place) = self.all.place(id) else {
            return;
        };
        let slot = self.all.at_mut(place);
        let Some(engine) = slot.and_then(|s| s.engine.as_mut()) else {
            return;
        };
        let mut changes = Changes::new();
        act(engine, &mut changes);
        self.parts.note(place, &changes);
        self.order.touch(place);
    }

    /// An endpoint that is about to change.
    fn touch(&mut self, id: EndpointId) -> Option<&mut Slot> {
        let place = self.all.place(id)?;
        self.order.touch(place);
        self.all.at_mut(place)
    }

    /// Counts a request that is in progress already.
    pub fn adopt(&mut self, now: Millis, id: EndpointId) {
        if let Some(slot) = self.touch(id) {
            slot.running += 1;
            slot.note(now);
        }
    }

    /// Frees a slot; the verdict counts towards the endpoint's health.
    pub fn release(&mut self, now: Millis, id: EndpointId, verdict: Option<Verdict>) -> Change {
        let Some(slot) = self.touch(id) else {
            return Change::None;
        };
        slot.running = slot.running.saturating_sub(1);
        slot.note(now);
        match verdict {
            Some(Verdict::Fine) => slot.reliability.record(now, false),
            Some(Verdict::Failed | Verdict::Error) => slot.reliability.record(now, true),
            Some(Verdict::Cancelled) | None => {}
        }
        match verdict {
            // It lives: whether others would do better, its reliability tells.
            Some(Verdict::Fine | Verdict::Error) => slot.health.record_success(),
            Some(Verdict::Failed) => slot.health.record_failure(now),
            Some(Verdict::Cancelled) | None => Change::None,
        }
    }

    /// Notes that an endpoint has said nothing on a request for far too long.
    pub fn note_silence(&mut self, now: Millis, id: EndpointId) {
        if let Some(slot) = self.touch(id) {
            slot.reliability.record(now, true);
        }
    }

    /// Takes an endpoint's own report of how many requests it has.
    ///
    /// What it has beyond the most that we had in progress of late is someone
    /// else's work. A lagging report can thus not free or take a slot of ours.
    pub fn report_load(&mut self, now: Millis, id: EndpointId, load: u32) {
        let Some(slot) = self.touch(id) else {
            return;
        };
        slot.note(now);
        let ours = slot.history.iter().map(|(_, n)| *n).max().unwrap_or(0);
        slot.foreign = load.saturating_sub(ours);
    }

    /// Share of its requests that an endpoint has failed of late, in thousandths.
    pub fn failure_permille(&self, now: Millis, id: EndpointId) -> u64 {
        self.all
            .get(id)
            .map_or(0, |s| s.reliability.failure_permille(now))
    }

    /// Whether any endpoint has a slot free.
    pub fn has_free_slot(&self, now: Millis) -> bool {
        self.all.values().any(|s| s.room(now) > 0)
    }

    /// Requests in progress on an endpoint.
    pub fn running(&self, id: EndpointId) -> u32 {
        self.all.get(id).map_or(0, |s| s.running)
    }

    /// Slots and requests in progress over all endpoints that take work.
    pub fn totals(&self) -> (u32, u32) {
        let open = || self.all.values().filter(|s| !s.leaving);
        (
            open().map(|s| s.slots).sum(),
            open().map(|s| s.running).sum(),
        )
    }

    /// Tokens that all engines have yet to read, and the slowest and the fastest
    /// rate at which one reads, in tokens a second.
    pub fn prefill_totals(&self) -> (u64, u64, u64) {
        let engines = || self.all.values().filter_map(|s| s.engine.as_ref());
        let rates = || engines().map(Engine::rate);
        (
            engines().map(Engine::pending_tokens).sum(),
            rates().min().unwrap_or(0),
            rates().max().unwrap_or(0),
        )
    }

    /// When an ejected endpoint may next be probed.
    pub fn next_probe(&self) -> Option<Millis> {
        self.all
            .values()
            .filter_map(|s| s.health.ejected_until())
            .min()
    }

    fn best(&mut self, now: Millis, criteria: Criteria, avoiding: bool) -> Option<EndpointId> {
        let avoid = criteria.avoid.filter(|_| avoiding);
        let is_free = |s: &Slot| s.room(now) > 0 && !s.is_closed_to(now, criteria.session);
        let free = (self.all.iter()).filter(|(id, s)| is_free(s) && Some(*id) != avoid);
        self.turn += 1;
        match self.choice {
            Strategy::LeastLoaded => free
                .min_by_key(|(id, s)| (s.score(now, &criteria.prompt), *id))
                .map(|(id, _)| id),
            Strategy::RoundRobin => nth(free.map(|(id, _)| id).collect(), self.turn),
            Strategy::Random => {
                let mixed = self.turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
                nth(free.map(|(id, _)| id).collect(), mixed)
            }
        }
    }
}

fn nth(free: SmallVec<[EndpointId; 16]>, turn: u64) -> Option<EndpointId> {
    if free.is_empty() {
        return None;
    }
    // CAST: the remainder is below the length, which is a `usize`.
    Some(free[(turn % free.len() as u64) as usize])
}

impl Slot {
    fn new(id: EndpointId) -> Self {
        Slot {
            id,
            slots: 0,
            lead: 0,
            leaving: false,
            running: 0,
            history: VecDeque::new(),
            foreign: 0,
            health: Health::default(),
            reliability: Reliability::default(),
            prefixes: VecDeque::new(),
            engine: None,
            born: None,
            closed: BTreeMap::new(),
            left: None,
            granted: None,
            ramp: None,
        }
    }

    fn note(&mut self, now: Millis) {
        self.history.push_back((now, self.running));
        while let Some((at, _)) = self.history.get(1) {
            if now.since(*at) <= REPORT_LAG_MS {
                break;
            }
            self.history.pop_front();
        }
        // Changes within a millisecond need no more than their largest.
        if self.history.len() > 256 {
            self.history.pop_front();
        }
    }

    fn room(&self, now: Millis) -> u32 {
        if self.leaving || self.has_left(now) || self.is_paced(now) {
            return 0;
        }
        let capacity = self.health.capacity(now, self.slots + self.lead);
        capacity.saturating_sub(self.running + self.foreign)
    }

    fn remember(&mut self, prefix: u32) {
        if prefix == 0 || self.prefixes.contains(&prefix) {
            return;
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Whether it has said that it wants no more requests from anyone.
    fn has_left(&self, now: Millis) -> bool {
        self.left.is_some_and(|until| until > now)
    }

    /// Whether it wants no requests of the router of a session.
    fn is_closed_to(&self, now: Millis, session: Option<u32>) -> bool {
        let until = session.and_then(|session| self.closed.get(&session));
        until.is_some_and(|until| *until > now)
    }

    /// Whether it is cold, and has had as many requests as it bears for now.
    fn is_paced(&self, now: Millis) -> bool {
        self.ramp.is_some_and(|ramp| !ramp.admits(now))
    }

    /// Whether it takes work at all now, if not at this moment.
    fn is_open(&self, now: Millis) -> bool {
        !self.leaving
            && !self.has_left(now)
            && !self.is_paced(now)
            && self.health.capacity(now, self.slots + self.lead) > 0
    }

    /// Load in thousandths of the slots, where an endpoint that has not seen the
    /// prefix counts as one request fuller, and one that fails as fuller by that.
    fn score(&self, now: Millis, prompt: &Prompt) -> u64 {
        let prefix = prompt.first_key();
        let cold = u32::from(prefix != 0 && !self.prefixes.contains(&prefix));
        let load = u64::from(self.running + self.foreign + cold) * 1000;
        load / u64::from(self.slots.max(1)) + self.reliability.failure_permille(now) * FAILURE_LOADS
    }
}
