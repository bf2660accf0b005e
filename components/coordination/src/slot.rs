//! Slots of a shard's endpoints and the choice among them.

use crate::engine::{Engine, Reading};
use crate::health::{Change, Health};
use crate::prelude::*;
use crate::prompt::Part;
use std::collections::{BTreeMap, VecDeque};

/// How far back a load report may lag, in milliseconds.
pub const REPORT_LAG_MS: u64 = 2000;
/// Prompt prefixes remembered for each endpoint.
pub const PREFIXES: usize = 64;

/// Part of the time that is left which an engine may be expected to take, in
/// hundredths: steps, the way and the other requests of a batch take the rest.
const IN_TIME_PERCENT: u64 = 70;
/// What a request that waits for an engine claims at least, in tokens: one that
/// has nothing to read still takes its place in a step.
const CLAIM_MIN: u64 = 64;

/// What a scheduler knows of one endpoint.
#[derive(Clone, Debug)]
struct Slot {
    slots: u32,
    lead: u32,
    leaving: bool,
    running: u32,
    /// Recent (time, running), so that a late report is set against what we had
    /// in progress when it was made.
    history: VecDeque<(Millis, u32)>,
    foreign: u32,
    health: Health,
    prefixes: VecDeque<u32>,
    /// Its picture, if it is a model engine.
    engine: Option<Engine>,
}

/// What to look for in an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// What is known of the prompt.
    pub prompt: Prompt,
    /// Endpoint to avoid, if another is free.
    pub avoid: Option<EndpointId>,
    /// Time to the first byte within which an answer is on time, in milliseconds.
    pub aim_ms: u64,
    /// Time that is left of it, in milliseconds.
    pub slack_ms: u64,
}

/// What asks that wait for an engine will have it read, in tokens.
#[derive(Clone, Debug, Default)]
pub struct Claims(BTreeMap<EndpointId, u64>);

/// How to choose among free endpoints; all but the first are baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Least loaded, then the one that has seen the prefix.
    Least,
    /// The next one in turn.
    RoundRobin,
    /// Any, by a hash of the count of choices.
    Random,
}

/// The endpoints of one shard.
#[derive(Clone, Debug)]
pub struct Slots {
    all: BTreeMap<EndpointId, Slot>,
    memory: Option<u64>,
    choice: Choice,
    turn: u64,
}

impl Default for Slots {
    fn default() -> Self {
        Slots::new(Choice::Least)
    }
}

impl Slots {
    /// No endpoints yet, chosen by `choice`.
    pub fn new(choice: Choice) -> Self {
        Slots {
            all: BTreeMap::new(),
            memory: None,
            choice,
            turn: 0,
        }
    }

    /// Sets the memory in tokens of all endpoints that are set from now on;
    /// `None` if they are no model engines.
    pub fn set_memory(&mut self, memory: Option<u64>) {
        self.memory = memory;
    }

    /// Adds or changes an endpoint.
    pub fn set(&mut self, id: EndpointId, slots: u32, lead: u32, leaving: bool) {
        let slot = self.all.entry(id).or_insert_with(|| Slot {
            slots,
            lead,
            leaving,
            running: 0,
            history: VecDeque::new(),
            foreign: 0,
            health: Health::default(),
            prefixes: VecDeque::new(),
            engine: None,
        });
        match (self.memory, &mut slot.engine) {
            (Some(memory), Some(engine)) => engine.set_memory(memory),
            (Some(memory), engine @ None) => *engine = Some(Engine::new(memory)),
            (None, engine) => *engine = None,
        }
        slot.slots = slots;
        slot.lead = lead;
        slot.leaving = leaving;
    }

    /// Forgets endpoints that `keep` refuses.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(EndpointId) -> bool,
    {
        self.all.retain(|id, _| keep(*id));
    }

    /// The endpoint to which a request is best sent now; `None` if it is better
    /// off waiting, which `claims` is told of.
    pub fn choose(&mut self, now: Millis, wish: Wish, claims: &mut Claims) -> Option<EndpointId> {
        if self.memory.is_some() {
            return self.place(now, wish, claims);
        }
        self.best(now, wish, true)
            .or_else(|| self.best(now, wish, false))
    }

    /// The engine that a request is to wait for or to be sent to.
    ///
    /// Of the engines that answer in time, it is the one with the least to read:
    /// what is read again takes time from everyone. If none does, it is the one
    /// that answers first.
    fn place(&self, now: Millis, wish: Wish, claims: &mut Claims) -> Option<EndpointId> {
        let mut best: Option<(bool, (u64, u64), EndpointId, u64)> = None;
        for (id, slot) in &self.all {
            let Some(engine) = slot.engine.as_ref().filter(|_| slot.is_open(now)) else {
                continue;
            };
            let missing = engine.missing(&wish.prompt);
            let claimed = claims.0.get(id).copied().unwrap_or(0);
            let running = slot.running + slot.foreign;
            let wait_us = engine.expected_us(*id, &wish.prompt, missing, claimed, running);
            let avoided = wish.avoid == Some(*id);
            let in_time = wait_us * 100 <= wish.slack_ms * 1000 * IN_TIME_PERCENT;
            let cost = if in_time {
                (missing, wait_us)
            } else {
                (wait_us + 2 * engine.reading_us(missing), 0)
            };
            let key = (avoided || !in_time, cost);
            let better = best.is_none_or(|(late, cost, ..)| key < (late, cost));
            if better {
                best = Some((key.0, key.1, *id, missing));
            }
        }
        let (_, _, id, missing) = best?;
        let slot = self.all.get(&id)?;
        let free = slot.room(now) > 0;
        let engine = slot.engine.as_ref()?;
        let claimed = claims.0.entry(id).or_default();
        if free && *claimed == 0 && engine.has_room(&wish.prompt, wish.aim_ms) {
            return Some(id);
        }
        *claimed += missing.max(CLAIM_MIN);
        None
    }

    /// Takes a slot of an endpoint; gives what the request takes of it, if it is a
    /// model engine.
    pub fn take(&mut self, now: Millis, id: EndpointId, prompt: Prompt) -> Option<Reading> {
        self.hold(now, id);
        let slot = self.all.get_mut(&id)?;
        if let Some(engine) = &mut slot.engine {
            return Some(engine.begin(now, prompt));
        }
        slot.remember(prompt.first());
        None
    }

    /// Learns that an engine has a part of a prompt.
    pub fn learn(&mut self, now: Millis, id: EndpointId, part: Part) {
        let slot = self.all.get_mut(&id);
        if let Some(engine) = slot.and_then(|s| s.engine.as_mut()) {
            engine.learn(now, part);
        }
    }

    /// Notes the first byte of an answer of an engine.
    pub fn began(&mut self, now: Millis, id: EndpointId, reading: &mut Reading) {
        let slot = self.all.get_mut(&id);
        if let Some(engine) = slot.and_then(|s| s.engine.as_mut()) {
            engine.began(now, reading);
        }
    }

    /// Gives back what a request took of an engine.
    pub fn end(&mut self, id: EndpointId, reading: &Reading) {
        let slot = self.all.get_mut(&id);
        if let Some(engine) = slot.and_then(|s| s.engine.as_mut()) {
            engine.end(reading);
        }
    }

    /// Counts a request that is in progress already.
    pub fn hold(&mut self, now: Millis, id: EndpointId) {
        if let Some(slot) = self.all.get_mut(&id) {
            slot.running += 1;
            slot.note(now);
        }
    }

    /// Frees a slot; the verdict counts towards the endpoint's health.
    pub fn free(&mut self, now: Millis, id: EndpointId, verdict: Option<Verdict>) -> Change {
        let Some(slot) = self.all.get_mut(&id) else {
            return Change::None;
        };
        slot.running = slot.running.saturating_sub(1);
        slot.note(now);
        match verdict {
            Some(Verdict::Fine) => slot.health.fine(),
            Some(Verdict::Failed) => slot.health.failed(now),
            Some(Verdict::Gone) | None => Change::None,
        }
    }

    /// Takes an endpoint's own report of how many requests it has.
    ///
    /// What it has beyond the most that we had in progress of late is someone
    /// else's work. A lagging report can thus not free or take a slot of ours.
    pub fn report(&mut self, now: Millis, id: EndpointId, load: u32) {
        let Some(slot) = self.all.get_mut(&id) else {
            return;
        };
        slot.note(now);
        let ours = slot.history.iter().map(|(_, n)| *n).max().unwrap_or(0);
        slot.foreign = load.saturating_sub(ours);
    }

    /// Whether any endpoint has a slot free.
    pub fn any_free(&self, now: Millis) -> bool {
        self.all.values().any(|s| s.room(now) > 0)
    }

    /// Requests in progress on an endpoint.
    pub fn running(&self, id: EndpointId) -> u32 {
        self.all.get(&id).map_or(0, |s| s.running)
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
    pub fn reading(&self) -> (u64, u64, u64) {
        let engines = || self.all.values().filter_map(|s| s.engine.as_ref());
        let rates = || engines().map(Engine::rate);
        (
            engines().map(Engine::unread).sum(),
            rates().min().unwrap_or(0),
            rates().max().unwrap_or(0),
        )
    }

    /// When an ejected endpoint may next be probed.
    pub fn next_probe(&self) -> Option<Millis> {
        self.all.values().filter_map(|s| s.health.until()).min()
    }

    fn best(&mut self, now: Millis, wish: Wish, avoiding: bool) -> Option<EndpointId> {
        let avoid = wish.avoid.filter(|_| avoiding);
        let free = (self.all.iter())
            .filter(|(id, s)| s.room(now) > 0 && Some(**id) != avoid)
            .map(|(id, s)| (*id, s));
        self.turn += 1;
        match self.choice {
            Choice::Least => free
                .min_by_key(|(id, s)| (s.score(&wish.prompt), *id))
                .map(|(id, _)| id),
            Choice::RoundRobin => nth(free.map(|(id, _)| id).collect(), self.turn),
            Choice::Random => {
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
        if self.leaving {
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

    /// Whether it takes work at all now, if not at this moment.
    fn is_open(&self, now: Millis) -> bool {
        !self.leaving && self.health.capacity(now, self.slots + self.lead) > 0
    }

    /// Load in thousandths of the slots, where an endpoint that has not seen the
    /// prefix counts as one request fuller.
    fn score(&self, prompt: &Prompt) -> u64 {
        let prefix = prompt.first();
        let cold = u32::from(prefix != 0 && !self.prefixes.contains(&prefix));
        u64::from(self.running + self.foreign + cold) * 1000 / u64::from(self.slots.max(1))
    }
}
