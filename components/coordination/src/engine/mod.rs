//! Model of one inference engine: its cached prompt parts and its prefill backlog.
//!
//! Engines admit requests in the order of their arrival and prefill prompts at a bounded
//! rate. The time to a request's first event is thus the prefill backlog, the prefill of the
//! uncached part of its prompt, and some decoding steps. All of it follows from the grants
//! and the first events that the scheduler sees, so that the engines' own load reports, which
//! lag, are not needed.

mod backlog;
pub mod step;

pub use self::backlog::{Expected, Phase, Speed};

use self::backlog::Backlog;
use self::step::{Planned, Prediction, Steps};
use crate::messages::Forecast;
use crate::prelude::*;
use crate::prompt::{mix, Part, Prompt};
use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

/// Share of the KV cache memory that running requests may use, in percent.
///
/// A request that does not fit preempts the newest one, which is then prefilled again from
/// its start. Output lengths are estimates, so some memory is left for longer outputs.
const MEMORY_USE_PERCENT: u64 = 85;
/// Prefill backlog that an engine may have when it is sent another request, in percent of
/// the latency target of that request.
///
/// Engines prefill in the order of arrival, without priorities. A smaller backlog lets an
/// engine stand idle while a grant is under way (about 5 ms); a larger one delays urgent
/// requests that arrive later.
const BACKLOG_PERCENT: u64 = 10;
/// Bounds of that backlog, in milliseconds: the time for a grant and one step of the engine,
/// and a short wait for requests without a latency target.
const BACKLOG_MIN_MS: u64 = 30;
const BACKLOG_MAX_MS: u64 = 240;
/// Time from the start of a copy between engines to its first data, in microseconds: the
/// latency between data centres and the next step of the source.
const COPY_START_US: u64 = 15_000;
/// Fewest tokens that are copied: fewer are prefilled in about [`COPY_START_US`].
const COPY_MIN_TOKENS: u64 = 1_000;

/// Prefill backlog up to which an engine is sent a request with the latency target `aim_ms`,
/// in milliseconds.
pub fn backlog_max_ms(aim_ms: u64) -> u64 {
    (aim_ms * BACKLOG_PERCENT / 100).clamp(BACKLOG_MIN_MS, BACKLOG_MAX_MS)
}

/// Hasher that uses the key of a part as its own hash: keys are hashes already, and their
/// lookup is a large share of the cost of a grant.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = mix(self.0 ^ u64::from(*byte));
        }
    }

    fn write_u32(&mut self, key: u32) {
        // The hash map uses the highest bits as well as the lowest.
        self.0 = u64::from(key) << 32 | u64::from(key);
    }
}

/// A prompt part in the KV cache of an engine.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    /// Running requests that use the part; it is not evicted while there are any.
    users: u32,
    last_used: Millis,
    /// Whether the engine has prefilled the part, so that other engines can copy it.
    is_prefilled: bool,
}

/// A change of the parts that an engine has cached, by the key of the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The part was cached.
    Cached(u32),
    /// The part was evicted.
    Evicted(u32),
}

/// Changes of an engine's cache by one event, in their order.
pub type Changes = SmallVec<[Change; 8]>;

/// The work of one request on an engine, from its grant to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prefill {
    prompt: Prompt,
    /// Tokens that were not cached at the time of the grant.
    uncached: u64,
    /// Uncached tokens that are copied from another engine.
    copied: u64,
    /// Engine from which they are copied.
    source: Option<EndpointId>,
    expected: Expected,
    /// Whether the first event has occurred.
    has_first_event: bool,
}

impl Prefill {
    /// Engine from which a part of the prompt is copied.
    pub fn source(&self) -> Option<EndpointId> {
        self.source
    }

    /// Parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = Part> {
        let count = self.prompt.parts().count().saturating_sub(1);
        let parts: SmallVec<[Part; 4]> = self.prompt.parts().take(count).collect();
        parts.into_iter()
    }

    /// Tokens that the engine has to prefill.
    pub fn prefill_tokens(&self) -> u64 {
        self.uncached - self.copied
    }

    /// Forecast for the request, for logs.
    pub fn forecast(&self) -> Forecast {
        let tokens = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Forecast {
            to_read: tokens(self.prefill_tokens()),
            ahead_ms: tokens(self.expected.ahead_us / 1000),
            first_ms: tokens(self.expected.first_us / 1000),
        }
    }
}

/// An engine from which another one can copy the start of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// The engine.
    pub endpoint: EndpointId,
    /// Tokens of the prompt that it has prefilled.
    pub tokens: u64,
    /// Tokens copied in a second.
    pub tokens_per_s: u64,
}

impl Source {
    /// Tokens that an engine with `uncached` tokens of the prompt copies from this one; 0 if
    /// there are too few to be worth it.
    pub fn gain(&self, prompt: &Prompt, uncached: u64) -> u64 {
        let gain = (self.tokens + uncached).saturating_sub(prompt.tokens());
        if gain < COPY_MIN_TOKENS {
            0
        } else {
            gain
        }
    }

    /// Time to copy `tokens`, in microseconds.
    pub fn copying_us(&self, tokens: u64) -> u64 {
        match tokens {
            0 => 0,
            _ => COPY_START_US + tokens * 1_000_000 / self.tokens_per_s.max(1),
        }
    }
}

/// Model of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    memory_tokens: u64,
    /// Cached parts by key.
    cache: HashMap<u32, Entry, BuildHasherDefault<KeyHasher>>,
    cached_tokens: u64,
    /// Cached tokens that running requests use.
    used_tokens: u64,
    /// Parts without a user, the one used least recently first.
    ///
    /// Without this order, the search for the part to evict would cost more than the rest of
    /// a grant on an engine with full memory.
    // INVARIANT: holds (last_used, key) of exactly the cached parts with no users.
    unused: BTreeSet<(Millis, u32)>,
    /// Tokens that running requests are expected to generate.
    output_tokens: u64,
    backlog: Backlog,
    steps: Steps,
}

impl Engine {
    /// An engine with an empty cache of `memory_tokens`.
    pub fn new(memory_tokens: u64) -> Self {
        Engine {
            memory_tokens,
            cache: HashMap::default(),
            cached_tokens: 0,
            used_tokens: 0,
            unused: BTreeSet::new(),
            output_tokens: 0,
            backlog: Backlog::default(),
            steps: Steps::new(1),
        }
    }

    /// The model of the engine's steps.
    pub fn steps(&self) -> &Steps {
        &self.steps
    }

    /// The model of the engine's steps, to record what was measured.
    pub fn steps_mut(&mut self) -> &mut Steps {
        &mut self.steps
    }

    /// Prefill that the engine has accepted, and that of a request with `tokens` to prefill.
    pub fn planned(&self, now: Millis, tokens: u64) -> Planned {
        Planned {
            backlog_us: self.backlog.backlog_us(now),
            added_us: self.backlog.prefill_us(tokens),
        }
    }

    /// Predicts the pauses of the engine's streams if a request with `tokens` to prefill is added.
    pub fn predict(&self, now: Millis, tokens: u64) -> Prediction {
        self.steps.predict(now, self.planned(now, tokens))
    }

    /// Changes the size of the cache.
    pub fn set_memory_tokens(&mut self, memory_tokens: u64) {
        self.memory_tokens = memory_tokens;
    }

    /// Tokens of a prompt that are not cached.
    pub fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        let cached: u64 = (prompt.parts())
            .take_while(|p| self.cache.contains_key(&p.key))
            .map(|p| u64::from(p.tokens))
            .sum();
        prompt.tokens() - cached
    }

    /// Tokens of a prompt, from its start, that other engines can copy from this one.
    pub fn copyable_tokens(&self, prompt: &Prompt) -> u64 {
        (prompt.parts())
            .take_while(|p| self.cache.get(&p.key).is_some_and(|e| e.is_prefilled))
            .map(|p| u64::from(p.tokens))
            .sum()
    }

    /// Whether other engines can copy a part from this one.
    pub fn has_prefilled(&self, key: u32) -> bool {
        self.cache.get(&key).is_some_and(|e| e.is_prefilled)
    }

    /// Whether no cached part is known.
    pub fn has_empty_cache(&self) -> bool {
        self.cache.is_empty()
    }

    /// Whether a request with the latency target `aim_ms` can be sent now: its prompt and
    /// output fit into memory, and the prefill backlog is short enough.
    pub fn has_room(&self, now: Millis, prompt: &Prompt, aim_ms: u64) -> bool {
        if self.backlog.backlog_us(now) > backlog_max_ms(aim_ms) * 1000 {
            return false;
        }
        let used = self.used_tokens;
        let is_unused = used + self.output_tokens == 0;
        // Unused parts can be evicted; parts shared with running requests count once.
        let added: u64 = (prompt.parts())
            .filter(|p| self.cache.get(&p.key).is_none_or(|e| e.users == 0))
            .map(|p| u64::from(p.tokens))
            .sum();
        let wanted = used + self.output_tokens + added + u64::from(prompt.output);
        is_unused || wanted <= self.memory_tokens * MEMORY_USE_PERCENT / 100
    }

    /// Expected time to the first event of a request, in microseconds, with `uncached` tokens
    /// to prefill behind `reserved` tokens of other requests that wait for this engine.
    /// `id` spreads uncached prompts over engines.
    pub fn expected_us(
        &self,
        now: Millis,
        id: EndpointId,
        prompt: &Prompt,
        uncached: u64,
        reserved: u64,
    ) -> u64 {
        let jitter = if uncached == prompt.tokens() {
            // Without jitter, every scheduler, and every router that has lost its scheduler, would
            // choose the same engine for a part that no engine is known to have cached.
            uncached * (mix(u64::from(prompt.first_key()) << 32 | u64::from(id.0)) % 1024) / 4096
        } else {
            0
        };
        let prefill = self.backlog.prefill_us(reserved + uncached + jitter);
        self.backlog.backlog_us(now) + prefill + self.backlog.post_prefill_us()
    }

    /// Tokens that requests without a first event have to prefill.
    pub fn pending_tokens(&self) -> u64 {
        self.backlog.pending_tokens()
    }

    /// Tokens that the engine prefills in a second.
    pub fn tokens_per_s(&self) -> u64 {
        self.backlog.tokens_per_s()
    }

    /// Time to prefill `tokens`, in microseconds.
    pub fn prefill_us(&self, tokens: u64) -> u64 {
        self.backlog.prefill_us(tokens)
    }

    /// Phase of the prefill, and when it next changes by the passage of time alone.
    pub fn phase(&self, now: Millis) -> (Phase, Option<Millis>) {
        self.backlog.phase(now)
    }

    /// Prefill speed.
    pub fn speed(&self) -> Speed {
        self.backlog.speed()
    }

    /// Time from the end of a prefill to the first event, in microseconds.
    pub fn post_prefill_us(&self) -> u64 {
        self.backlog.post_prefill_us()
    }

    /// Keys of the cached parts.
    pub fn keys(&self) -> impl Iterator<Item = u32> + '_ {
        self.cache.keys().copied()
    }

    /// Adds a request that is sent now, which copies what it can from `source`.
    pub fn begin(
        &mut self,
        now: Millis,
        prompt: Prompt,
        source: Option<Source>,
        changes: &mut Changes,
    ) -> Prefill {
        let uncached = self.uncached_tokens(&prompt);
        let copied = source.map_or(0, |s| s.gain(&prompt, uncached));
        let copying_us = source.map_or(0, |s| s.copying_us(copied));
        let prefill = Prefill {
            prompt,
            uncached,
            copied,
            source: source.map(|s| s.endpoint).filter(|_| copied > 0),
            expected: self.backlog.add(now, uncached - copied, copying_us),
            has_first_event: false,
        };
        let (starts_us, ends_us) = prefill.expected.prefill();
        self.steps.record_prefill(now, starts_us, ends_us);
        self.output_tokens += u64::from(prompt.output);
        for part in prompt.parts() {
            self.add_user(now, part, changes);
        }
        self.evict(changes);
        prefill
    }

    /// Adds a running request to the users of a part, which is cached if it was not.
    fn add_user(&mut self, now: Millis, part: Part, changes: &mut Changes) {
        let entry = self.cache.entry(part.key).or_insert_with(|| {
            self.cached_tokens += u64::from(part.tokens);
            changes.push(Change::Cached(part.key));
            Entry {
                tokens: part.tokens,
                users: 0,
                last_used: now,
                is_prefilled: false,
            }
        });
        if entry.users == 0 {
            self.unused.remove(&(entry.last_used, part.key));
            self.used_tokens += u64::from(entry.tokens);
        }
        entry.users += 1;
        entry.last_used = now;
    }

    /// Clears the cache and the backlog of an engine that has restarted.
    pub fn reset(&mut self, changes: &mut Changes) {
        changes.extend(self.keys().map(Change::Evicted));
        let mut steps = self.steps.clone();
        steps.restart();
        *self = Engine {
            steps,
            ..Engine::new(self.memory_tokens)
        };
    }

    /// Records a cached part that a router or the engine itself has reported.
    pub fn record_cached(&mut self, now: Millis, part: Part, changes: &mut Changes) {
        let entry = self.cache.entry(part.key);
        entry.or_insert_with(|| {
            self.cached_tokens += u64::from(part.tokens);
            self.unused.insert((now, part.key));
            changes.push(Change::Cached(part.key));
            Entry {
                tokens: part.tokens,
                users: 0,
                last_used: now,
                is_prefilled: true,
            }
        });
        self.evict(changes);
    }

    /// Records the first event of a request, `took_ms` after its grant: its prompt has been
    /// prefilled.
    pub fn record_first_byte(&mut self, now: Millis, prefill: &mut Prefill, took_ms: Option<u32>) {
        if std::mem::replace(&mut prefill.has_first_event, true) {
            return;
        }
        // The time of a copy says nothing about the prefill speed.
        let is_prefill_only = prefill.copied == 0;
        let first = backlog::FirstEvent {
            received: now,
            took_ms,
            is_prefill_only,
        };
        if let Some(took_ms) = took_ms.filter(|_| is_prefill_only) {
            let took_us = first
                .occurred_us(&prefill.expected)
                .saturating_sub(prefill.expected.granted_us())
                .min(u64::from(took_ms) * 1000);
            (self.steps).record_first_event(now, took_us, &prefill.expected);
        }
        self.backlog.record_first_event(&prefill.expected, first);
        for part in prefill.prompt.parts() {
            if let Some(entry) = self.cache.get_mut(&part.key) {
                entry.is_prefilled = true;
            }
        }
    }

    /// Ends a request.
    ///
    /// A prompt without a first event may never have been prefilled: its new parts are
    /// dropped, as later requests would otherwise be sent here for a cache that is empty.
    pub fn end(&mut self, now: Millis, prefill: &Prefill, changes: &mut Changes) {
        self.output_tokens = (self.output_tokens).saturating_sub(u64::from(prefill.prompt.output));
        if !prefill.has_first_event {
            self.backlog.cancel(now, &prefill.expected);
        }
        for part in prefill.prompt.parts() {
            self.remove_user(part.key, changes);
        }
        self.evict(changes);
    }

    /// Removes a running request from the users of a part.
    fn remove_user(&mut self, key: u32, changes: &mut Changes) {
        let Some(entry) = self.cache.get_mut(&key) else {
            return;
        };
        if entry.users == 1 {
            self.used_tokens -= u64::from(entry.tokens);
            self.unused.insert((entry.last_used, key));
        }
        entry.users = entry.users.saturating_sub(1);
        if entry.users == 0 && !entry.is_prefilled {
            self.drop_part(key, changes);
        }
    }

    /// Evicts the least recently used parts until the cache fits, as the engine does.
    fn evict(&mut self, changes: &mut Changes) {
        while self.cached_tokens + self.output_tokens > self.memory_tokens {
            let Some((_, key)) = self.unused.first().copied() else {
                return;
            };
            self.drop_part(key, changes);
        }
    }

    /// Drops a part without a user.
    fn drop_part(&mut self, key: u32, changes: &mut Changes) {
        let Some(entry) = self.cache.remove(&key) else {
            return;
        };
        self.unused.remove(&(entry.last_used, key));
        self.cached_tokens -= u64::from(entry.tokens);
        changes.push(Change::Evicted(key));
    }
}
