//! Slots of a shard's endpoints and the choice among them.

use crate::engine::{Engine, Reading, Source};
use crate::health::{Change, Health};
use crate::prelude::*;
use crate::prompt::Part;
use crate::reliability::Reliability;
use std::collections::{BTreeMap, VecDeque};

/// How far back a load report may lag, in milliseconds.
pub const REPORT_LAG_MS: u64 = 2000;
/// Prompt prefixes remembered for each endpoint.
pub const PREFIXES: usize = 64;

/// Part of the time that is left which an engine may be expected to take, in
/// hundredths: steps, the way and the other requests of a batch take the rest.
const IN_TIME_PERCENT: u64 = 85;
/// Part of its aim by which a request must be answered earlier for a copy between
/// engines to be worth it, in hundredths.
///
/// A copy takes some hundred megabytes of the network, and memory of one more engine.
/// With 0 here there were 1,630 copies in 50 s, with 33 there were 880, and the same
/// 85 of 100 of the worth of all requests were served; without copies it was 83 (18
/// engines, 230 requests a second, mean of four runs; 50 gave 84.6).
const COPY_WORTH_PERCENT: u64 = 33;
/// Weight of the work that an engine has for a request beside the time until it
/// answers: what it reads delays everyone on it. With 4, 0.3 to 1.0 of 100 less of the
/// worth was served on each of four days.
const WORK_WEIGHT: u64 = 2;
/// What a failure costs, in aims of the request: its caller waits for nothing, and
/// often may not send it again.
const FAILURE_AIMS: u64 = 2;
/// What a failure costs at an endpoint that is no engine, in slots taken of all.
const FAILURE_LOADS: u64 = 2;
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
    reliability: Reliability,
    prefixes: VecDeque<u32>,
    /// Its picture, if it is a model engine.
    engine: Option<Engine>,
    /// Whether it was asked what it has kept.
    was_asked: bool,
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

/// What a request would find at an engine.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    is_late: bool,
    /// Time to its first token, in microseconds.
    wait_us: u64,
    /// Time that it takes from others, in microseconds.
    work_us: u64,
    /// Tokens that the engine would have to read.
    to_read: u64,
}

impl Estimate {
    /// Engines come in this order: those that answer in time, and of them those that
    /// answer soon and have little to do for it.
    ///
    /// By work alone, all that share a part would go to one engine for as long as it
    /// answers in time. What it reads delays the tokens of all that it generates:
    /// streams took 1.56 s instead of 0.90 s on average there, and as many more of
    /// them were cut when processes were lost.
    fn rank(&self) -> (bool, u64) {
        (self.is_late, self.wait_us + WORK_WEIGHT * self.work_us)
    }
}

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
    /// Tokens that an engine copies from another one in a second, if it can.
    copy_rate: Option<u64>,
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
            copy_rate: None,
            choice,
            turn: 0,
        }
    }

    /// Sets the memory in tokens of all endpoints that are set from now on;
    /// `None` if they are no model engines.
    pub fn set_memory(&mut self, memory: Option<u64>) {
        self.memory = memory;
    }

    /// Sets how many tokens an engine copies from another one in a second; `None`
    /// if engines cannot.
    pub fn set_copy_rate(&mut self, rate: Option<u64>) {
        self.copy_rate = rate;
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
            reliability: Reliability::default(),
            prefixes: VecDeque::new(),
            engine: None,
            was_asked: false,
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
        // A try that failed may have failed by what it was to copy.
        let source = (wish.avoid.is_none()).then(|| self.source(now, &wish.prompt));
        let source = source.flatten();
        let mut best: Option<(Estimate, EndpointId)> = None;
        for (id, slot) in &self.all {
            let claimed = claims.0.get(id).copied().unwrap_or(0);
            let Some(estimate) = slot.estimate(now, *id, &wish, source, claimed) else {
                continue;
            };
            let better = (best.as_ref()).is_none_or(|(other, _)| estimate.rank() < other.rank());
            if better {
                best = Some((estimate, *id));
            }
        }
        let (estimate, id) = best?;
        let slot = self.all.get(&id)?;
        let free = slot.room(now) > 0;
        let engine = slot.engine.as_ref()?;
        let claimed = claims.0.entry(id).or_default();
        if free && *claimed == 0 && engine.has_room(&wish.prompt, wish.aim_ms) {
            return Some(id);
        }
        *claimed += estimate.to_read.max(CLAIM_MIN);
        None
    }

    /// Takes a slot of an endpoint for the first try of a request; gives what that
    /// takes of it, if it is a model engine.
    pub fn take(&mut self, now: Millis, id: EndpointId, prompt: Prompt) -> Option<Reading> {
        self.take_for(now, id, prompt, true)
    }

    /// Takes a slot of an endpoint; `copies` says whether the engine may copy parts
    /// of the prompt from another one.
    pub fn take_for(
        &mut self,
        now: Millis,
        id: EndpointId,
        prompt: Prompt,
        copies: bool,
    ) -> Option<Reading> {
        let source = copies.then(|| self.source(now, &prompt)).flatten();
        self.hold(now, id);
        let slot = self.all.get_mut(&id)?;
        if let Some(engine) = &mut slot.engine {
            return Some(engine.begin(now, prompt, source));
        }
        slot.remember(prompt.first());
        None
    }

    /// The engine that has read the most of a prompt's start.
    ///
    /// An engine reads some 50 tokens in a millisecond and copies a thousand: without
    /// copies, a part that is asked for more often than one engine can serve is read
    /// again by each further engine.
    fn source(&self, now: Millis, prompt: &Prompt) -> Option<Source> {
        let rate = self.copy_rate?;
        let open = self.all.iter().filter(|(_, slot)| slot.is_open(now));
        let read = open.filter_map(|(id, slot)| Some((slot.engine.as_ref()?, *id)));
        let read = read.map(|(engine, id)| (engine.has_read(prompt), id));
        let (tokens, endpoint) = read.max_by_key(|(tokens, _)| *tokens)?;
        (tokens > 0).then_some(Source {
            endpoint,
            tokens,
            rate,
        })
    }

    /// Engines to ask what they have kept: nothing is known of them. Each is told once,
    /// as the question costs an engine time.
    pub fn unknown(&mut self, now: Millis) -> Vec<EndpointId> {
        let mut unknown = Vec::new();
        for (id, slot) in &mut self.all {
            let open = slot.is_open(now);
            let engine = slot.engine.as_ref().filter(|_| open);
            if engine.is_some_and(Engine::is_unknown) && !slot.was_asked {
                slot.was_asked = true;
                unknown.push(*id);
            }
        }
        unknown
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
            Some(Verdict::Fine) => slot.reliability.note(now, false),
            Some(Verdict::Failed | Verdict::Error) => slot.reliability.note(now, true),
            Some(Verdict::Gone) | None => {}
        }
        match verdict {
            // It lives: whether others would do better, its reliability tells.
            Some(Verdict::Fine | Verdict::Error) => slot.health.fine(),
            Some(Verdict::Failed) => slot.health.failed(now),
            Some(Verdict::Gone) | None => Change::None,
        }
    }

    /// Notes that an endpoint has said nothing on a request for far too long.
    pub fn note_silence(&mut self, now: Millis, id: EndpointId) {
        if let Some(slot) = self.all.get_mut(&id) {
            slot.reliability.note(now, true);
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

    /// Share of its requests that an endpoint has failed of late, in thousandths.
    pub fn failed(&self, now: Millis, id: EndpointId) -> u64 {
        self.all.get(&id).map_or(0, |s| s.reliability.failed(now))
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
                .min_by_key(|(id, s)| (s.score(now, &wish.prompt), *id))
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
    /// What a request would find here, behind `claimed` tokens of others; `None` if
    /// this is no engine that takes work.
    fn estimate(
        &self,
        now: Millis,
        id: EndpointId,
        wish: &Wish,
        source: Option<Source>,
        claimed: u64,
    ) -> Option<Estimate> {
        let engine = self.engine.as_ref().filter(|_| self.is_open(now))?;
        let missing = engine.missing(&wish.prompt);
        let copied = source.map_or(0, |s| s.gain(&wish.prompt, missing));
        let copying_us = source.map_or(0, |s| s.copying_us(copied));
        let penalty_us = match copied {
            0 => 0,
            _ => wish.aim_ms * 10 * COPY_WORTH_PERCENT,
        };
        let to_read = missing - copied;
        let running = self.running + self.foreign;
        let wait_us = engine.expected_us(id, &wish.prompt, to_read, claimed, running);
        let risk_us = self.reliability.failed(now) * wish.aim_ms * FAILURE_AIMS;
        let wait_us = wait_us + copying_us + penalty_us + risk_us;
        let in_time = wait_us * 100 <= wish.slack_ms * 1000 * IN_TIME_PERCENT;
        Some(Estimate {
            is_late: wish.avoid == Some(id) || !in_time,
            wait_us,
            work_us: engine.reading_us(to_read) + copying_us,
            to_read,
        })
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
    /// prefix counts as one request fuller, and one that fails as fuller by that.
    fn score(&self, now: Millis, prompt: &Prompt) -> u64 {
        let prefix = prompt.first();
        let cold = u32::from(prefix != 0 && !self.prefixes.contains(&prefix));
        let load = u64::from(self.running + self.foreign + cold) * 1000;
        load / u64::from(self.slots.max(1)) + self.reliability.failed(now) * FAILURE_LOADS
    }
}
