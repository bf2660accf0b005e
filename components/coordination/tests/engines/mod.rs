//! Simulated inference engines, which prefill prompts in the order of their arrival at a bounded
//! rate, cache the parts, and then generate the answers.

use std::collections::{BTreeSet, VecDeque};

/// Tokens that an engine prefills in a millisecond.
pub(crate) const TOKENS_PER_MS: u64 = 40;
/// Time to generate an answer, in milliseconds.
const GENERATE_MS: u64 = 600;

/// Progress of an engine in one millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress<K> {
    /// The first event of a request.
    FirstEvent(K),
    /// The end of its answer.
    Ended(K),
}

/// One engine, whose requests are identified by keys.
#[derive(Clone, Debug)]
pub(crate) struct Engine<K> {
    /// Requests to prefill, with the tokens that are left.
    waiting: VecDeque<(K, u64)>,
    /// Identities of the cached parts.
    cached: BTreeSet<u64>,
    /// Requests that generate, with the times of their ends.
    generating: VecDeque<(u64, K)>,
    /// Tokens prefilled so far.
    pub(crate) prefilled_tokens: u64,
}

impl<K> Default for Engine<K> {
    fn default() -> Self {
        Engine {
            waiting: VecDeque::new(),
            cached: BTreeSet::new(),
            generating: VecDeque::new(),
            prefilled_tokens: 0,
        }
    }
}

impl<K> Engine<K>
where
    K: Copy,
{
    /// Tokens of the parts at the start of a prompt that are cached.
    pub(crate) fn cached_tokens(&self, parts: &[(u64, u32)]) -> u64 {
        let cached = parts.iter().take_while(|(id, _)| self.cached.contains(id));
        cached.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Adds a request with `prefill_tokens` to prefill.
    pub(crate) fn send(&mut self, key: K, parts: &[(u64, u32)], prefill_tokens: u64) {
        self.cached.extend(parts.iter().map(|(id, _)| *id));
        self.waiting.push_back((key, prefill_tokens));
    }

    /// Requests in progress.
    #[allow(dead_code, reason = "not every test loses its scheduler")]
    pub(crate) fn keys(&self) -> Vec<K> {
        let waiting = self.waiting.iter().map(|(key, _)| *key);
        waiting
            .chain(self.generating.iter().map(|(_, key)| *key))
            .collect()
    }

    /// Advances by one millisecond.
    pub(crate) fn step(&mut self, now: u64) -> Vec<Progress<K>> {
        let mut progress = Vec::new();
        let mut left = TOKENS_PER_MS;
        while let Some((key, remaining)) = self.waiting.front_mut() {
            let tokens = left.min(*remaining);
            *remaining -= tokens;
            left -= tokens;
            self.prefilled_tokens += tokens;
            if *remaining > 0 {
                break;
            }
            progress.push(Progress::FirstEvent(*key));
            self.generating.push_back((now + GENERATE_MS, *key));
            self.waiting.pop_front();
        }
        while self.generating.front().is_some_and(|(at, _)| *at <= now) {
            let ended = self.generating.pop_front();
            progress.extend(ended.map(|(_, key)| Progress::Ended(key)));
        }
        progress
    }
}
