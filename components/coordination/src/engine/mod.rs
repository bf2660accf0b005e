//! A picture of one model engine: what it has kept, what it has yet to read.
//!
//! Engines admit requests in the order of their arrival and read prompts at a
//! bounded rate. The time to a request's first event is thus what they have yet
//! to read, what of its prompt they have not kept, and some steps after that. All of
//! it follows from the grants and the first events that we see; reports lag and are
//! not needed.

mod clock;

pub use self::clock::{Expected, Phase, Speed};

use self::clock::Clock;
use crate::messages::Forecast;
use crate::prelude::*;
use crate::prompt::{mix, Part, Prompt};
use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

/// Part of the memory that running requests may take, in hundredths.
///
/// A request that does not fit preempts the newest one, which is then read again
/// from its start. Output lengths are estimates, so some room is left for those
/// that run longer.
const FULL_PERCENT: u64 = 85;
/// Prefill that an engine is given ahead, in hundredths of the time within which
/// the next request is to be answered.
///
/// Engines know no priorities: what was sent is read in that order. Less ahead
/// would let an engine stand idle for the way of a grant (about 5 ms); more
/// would make those wait whose turn comes next. Of all worth under three loads of mixed
/// faults 0.692 and 0.581 (two fleets of 9 engines) was earned with 25, 0.717 and 0.583
/// with 10, 0.704 and 0.589 with 5.
const AHEAD_PERCENT: u64 = 10;
/// Bounds of that reading, in milliseconds: the way of a grant and a step of the
/// engine, and what is still short where there is no aim.
const AHEAD_MIN_MS: u64 = 30;
const AHEAD_MAX_MS: u64 = 240;
/// Time before an engine gets the first of what it copies from another one, in
/// microseconds: a connection between data centres and the other's next step.
const COPY_US: u64 = 15_000;
/// Fewest tokens that are worth copying: fewer are read in about [`COPY_US`].
const COPY_MIN: u64 = 1_000;

/// Prefill that an engine is given ahead of a request that is on time within `aim_ms`,
/// in milliseconds.
pub fn ahead_ms(aim_ms: u64) -> u64 {
    (aim_ms * AHEAD_PERCENT / 100).clamp(AHEAD_MIN_MS, AHEAD_MAX_MS)
}

/// Takes a key as its own hash: keys of parts are mixed already, and looking them up is
/// much of the cost of a grant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mixed(u64);

impl Hasher for Mixed {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = mix(self.0 ^ u64::from(*byte));
        }
    }

    fn write_u32(&mut self, key: u32) {
        // The map's tables look at the highest bits as well as at the lowest.
        self.0 = u64::from(key) << 32 | u64::from(key);
    }
}

/// A part of prompts in an engine's memory.
#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    /// Running requests that use it; it does not yield while there are any.
    users: u32,
    used: Millis,
    /// Whether the engine has read it, so that others can copy it.
    is_read: bool,
}

/// A part that an engine has come to keep or keeps no more, by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It keeps the part.
    Kept(u32),
    /// It keeps the part no more.
    Lost(u32),
}

/// Changes that one event makes in what an engine keeps, in their order.
pub type Changes = SmallVec<[Change; 8]>;

/// What a request takes of an engine from its grant to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prefill {
    prompt: Prompt,
    /// Tokens that were not kept at the grant.
    missing: u64,
    /// Tokens of these that are copied from another engine.
    copied: u64,
    /// That engine.
    source: Option<EndpointId>,
    expected: Expected,
    has_begun: bool,
}

impl Prefill {
    /// Engine from which a part of the prompt is to be copied.
    pub fn source(&self) -> Option<EndpointId> {
        self.source
    }

    /// Parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> impl Iterator<Item = Part> {
        let count = self.prompt.parts().count().saturating_sub(1);
        let parts: SmallVec<[Part; 4]> = self.prompt.parts().take(count).collect();
        parts.into_iter()
    }

    /// Tokens that the engine has to read.
    pub fn prefill_tokens(&self) -> u64 {
        self.missing - self.copied
    }

    /// What to tell of it in logs.
    pub fn basis(&self) -> Forecast {
        let tokens = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Forecast {
            to_read: tokens(self.prefill_tokens()),
            ahead_ms: tokens(self.expected.ahead_us / 1000),
            first_ms: tokens(self.expected.first_us / 1000),
        }
    }
}

/// An engine that has more of a prompt than others, to copy it from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// The engine.
    pub endpoint: EndpointId,
    /// Tokens of the prompt that it has read.
    pub tokens: u64,
    /// Tokens that are copied in a second.
    pub tokens_per_s: u64,
}

impl Source {
    /// Tokens that an engine gains by it that misses some of a prompt.
    pub fn gain(&self, prompt: &Prompt, missing: u64) -> u64 {
        let gain = (self.tokens + missing).saturating_sub(prompt.tokens());
        if gain < COPY_MIN {
            0
        } else {
            gain
        }
    }

    /// Time to copy some tokens, in microseconds.
    pub fn copying_us(&self, tokens: u64) -> u64 {
        match tokens {
            0 => 0,
            _ => COPY_US + tokens * 1_000_000 / self.tokens_per_s.max(1),
        }
    }
}

/// The picture of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    memory: u64,
    kept: HashMap<u32, Kept, BuildHasherDefault<Mixed>>,
    kept_tokens: u64,
    /// Tokens of these that running requests use.
    used_tokens: u64,
    /// Parts without a user, the one used least recently first.
    ///
    /// Found by a search through all that is kept, the part to forget would cost
    /// more than all else that a grant does on an engine with full memory.
    // INVARIANT: holds (used, key) of exactly the kept parts with no users.
    idle: BTreeSet<(Millis, u32)>,
    /// Tokens that running requests are expected to generate.
    output: u64,
    /// When what was sent will have been read.
    clock: Clock,
}

impl Engine {
    /// An engine of which nothing is known but its memory in tokens.
    pub fn new(memory: u64) -> Self {
        Engine {
            memory,
            kept: HashMap::default(),
            kept_tokens: 0,
            used_tokens: 0,
            idle: BTreeSet::new(),
            output: 0,
            clock: Clock::default(),
        }
    }

    /// Changes the size of its memory.
    pub fn set_memory_tokens(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// Tokens of a prompt that it would have to read.
    pub fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        let kept: u64 = (prompt.parts())
            .take_while(|p| self.kept.contains_key(&p.key))
            .map(|p| u64::from(p.tokens))
            .sum();
        prompt.tokens() - kept
    }

    /// Tokens of a prompt, from its start, that others can copy from it.
    pub fn copyable_tokens(&self, prompt: &Prompt) -> u64 {
        (prompt.parts())
            .take_while(|p| self.kept.get(&p.key).is_some_and(|k| k.is_read))
            .map(|p| u64::from(p.tokens))
            .sum()
    }

    /// Whether others can copy a part from it.
    pub fn has_read_part(&self, key: u32) -> bool {
        self.kept.get(&key).is_some_and(|k| k.is_read)
    }

    /// Whether nothing is known of what it has kept.
    pub fn is_unknown(&self) -> bool {
        self.kept.is_empty()
    }

    /// Whether it has room for a request that is on time within `aim_ms`, in its
    /// memory and in what it is to read.
    pub fn has_room(&self, now: Millis, prompt: &Prompt, aim_ms: u64) -> bool {
        if self.clock.ahead_us(now) > ahead_ms(aim_ms) * 1000 {
            return false;
        }
        let used = self.used_tokens;
        let idle = used + self.output == 0;
        // What it has kept without a user yields; what this one shares with
        // running requests is counted once.
        let own: u64 = (prompt.parts())
            .filter(|p| self.kept.get(&p.key).is_none_or(|k| k.users == 0))
            .map(|p| u64::from(p.tokens))
            .sum();
        let wanted = used + self.output + own + u64::from(prompt.output);
        idle || wanted <= self.memory * FULL_PERCENT / 100
    }

    /// Expected time to the first event of a request, in microseconds, with
    /// `missing` tokens to read and `claimed` tokens of others that go before it.
    /// `id` spreads new parts over engines.
    pub fn expected_us(
        &self,
        now: Millis,
        id: EndpointId,
        prompt: &Prompt,
        missing: u64,
        claimed: u64,
    ) -> u64 {
        let stray = if missing == prompt.tokens() {
            // Every scheduler, and every router that has lost it, would choose
            // the same engine for a part that none is known to have.
            missing * (mix(u64::from(prompt.first_key()) << 32 | u64::from(id.0)) % 1024) / 4096
        } else {
            0
        };
        let reading = self.clock.reading_us(claimed + missing + stray);
        self.clock.ahead_us(now) + reading + self.clock.tail_us()
    }

    /// Tokens of prompts without a first event.
    pub fn pending_tokens(&self) -> u64 {
        self.clock.unread()
    }

    /// Tokens that it reads in a second.
    pub fn rate(&self) -> u64 {
        self.clock.rate()
    }

    /// Time to read some tokens, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> u64 {
        self.clock.reading_us(tokens)
    }

    /// Whether it could begin to read, and when that changes without an event.
    pub fn phase(&self, now: Millis) -> (Phase, Option<Millis>) {
        self.clock.phase(now)
    }

    /// How fast it reads.
    pub fn speed(&self) -> Speed {
        self.clock.speed()
    }

    /// Time from the end of a prompt's reading to its first event, in microseconds.
    pub fn tail_us(&self) -> u64 {
        self.clock.tail_us()
    }

    /// Keys of the parts that it keeps.
    pub fn keys(&self) -> impl Iterator<Item = u32> + '_ {
        self.kept.keys().copied()
    }

    /// Takes a request that is sent now, and may copy from another engine.
    pub fn begin(
        &mut self,
        now: Millis,
        prompt: Prompt,
        source: Option<Source>,
        changes: &mut Changes,
    ) -> Prefill {
        let missing = self.uncached_tokens(&prompt);
        let copied = source.map_or(0, |s| s.gain(&prompt, missing));
        let copying_us = source.map_or(0, |s| s.copying_us(copied));
        let reading = Prefill {
            prompt,
            missing,
            copied,
            source: source.map(|s| s.endpoint).filter(|_| copied > 0),
            expected: self.clock.begin(now, missing - copied, copying_us),
            has_begun: false,
        };
        self.output += u64::from(prompt.output);
        for part in prompt.parts() {
            self.hold(now, part, changes);
        }
        self.evict(changes);
        reading
    }

    /// Keeps a part for one more running request.
    fn hold(&mut self, now: Millis, part: Part, changes: &mut Changes) {
        let kept = self.kept.entry(part.key).or_insert_with(|| {
            self.kept_tokens += u64::from(part.tokens);
            changes.push(Change::Kept(part.key));
            Kept {
                tokens: part.tokens,
                users: 0,
                used: now,
                is_read: false,
            }
        });
        if kept.users == 0 {
            self.idle.remove(&(kept.used, part.key));
            self.used_tokens += u64::from(kept.tokens);
        }
        kept.users += 1;
        kept.used = now;
    }

    /// Forgets what it was sent and has kept: it has started again.
    pub fn reset(&mut self, changes: &mut Changes) {
        changes.extend(self.keys().map(Change::Lost));
        *self = Engine::new(self.memory);
    }

    /// Learns from someone else that it has a part of a prompt.
    pub fn note_cached(&mut self, now: Millis, part: Part, changes: &mut Changes) {
        let kept = self.kept.entry(part.key);
        kept.or_insert_with(|| {
            self.kept_tokens += u64::from(part.tokens);
            self.idle.insert((now, part.key));
            changes.push(Change::Kept(part.key));
            Kept {
                tokens: part.tokens,
                users: 0,
                used: now,
                is_read: true,
            }
        });
        self.evict(changes);
    }

    /// Notes a request's first token, `took_ms` after its grant: its prompt has been read.
    pub fn note_first_byte(&mut self, now: Millis, reading: &mut Prefill, took_ms: Option<u32>) {
        if std::mem::replace(&mut reading.has_begun, true) {
            return;
        }
        // Copying takes its own time.
        let is_plain = reading.copied == 0;
        let first = clock::First {
            heard: now,
            took_ms,
            is_plain,
        };
        self.clock.began(&reading.expected, first);
        for part in reading.prompt.parts() {
            if let Some(kept) = self.kept.get_mut(&part.key) {
                kept.is_read = true;
            }
        }
    }

    /// Ends a request.
    ///
    /// A prompt of which no token came may never have been read: what it was to
    /// bring is forgotten, or later requests would be sent here for nothing.
    pub fn end(&mut self, now: Millis, reading: &Prefill, changes: &mut Changes) {
        self.output = (self.output).saturating_sub(u64::from(reading.prompt.output));
        if !reading.has_begun {
            self.clock.cancel(now, &reading.expected);
        }
        for part in reading.prompt.parts() {
            self.release(part.key, changes);
        }
        self.evict(changes);
    }

    /// Keeps a part for one running request less.
    fn release(&mut self, key: u32, changes: &mut Changes) {
        let Some(kept) = self.kept.get_mut(&key) else {
            return;
        };
        if kept.users == 1 {
            self.used_tokens -= u64::from(kept.tokens);
            self.idle.insert((kept.used, key));
        }
        kept.users = kept.users.saturating_sub(1);
        if kept.users == 0 && !kept.is_read {
            self.drop_part(key, changes);
        }
    }

    /// Forgets the parts used least recently, as the engine does.
    fn evict(&mut self, changes: &mut Changes) {
        while self.kept_tokens + self.output > self.memory {
            let Some((_, key)) = self.idle.first().copied() else {
                return;
            };
            self.drop_part(key, changes);
        }
    }

    /// Forgets a part without a user.
    fn drop_part(&mut self, key: u32, changes: &mut Changes) {
        let Some(kept) = self.kept.remove(&key) else {
            return;
        };
        self.idle.remove(&(kept.used, key));
        self.kept_tokens -= u64::from(kept.tokens);
        changes.push(Change::Lost(key));
    }
}
