//! Model engines that read prompts in the order of their arrival at a bounded rate, keep
//! what they have read, and then generate.

use std::collections::{BTreeSet, VecDeque};

/// Tokens that an engine reads in a millisecond.
pub(crate) const TOKENS_PER_MS: u64 = 40;
/// Time to generate an answer, in milliseconds.
const GENERATE_MS: u64 = 600;

/// What an engine has come to in one millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress<K> {
    /// The first event of a request.
    FirstEvent(K),
    /// The end of its answer.
    Ended(K),
}

/// One engine, whose requests have keys of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Engine<K> {
    waiting: VecDeque<(K, u64)>,
    kept: BTreeSet<u64>,
    generating: VecDeque<(u64, K)>,
    /// Tokens read so far.
    pub(crate) prefilled_tokens: u64,
}

impl<K> Default for Engine<K> {
    fn default() -> Self {
        Engine {
            waiting: VecDeque::new(),
            kept: BTreeSet::new(),
            generating: VecDeque::new(),
            prefilled_tokens: 0,
        }
    }
}

impl<K> Engine<K>
where
    K: Copy,
{
    /// What it has kept of a prompt's parts, from the first on, in tokens.
    pub(crate) fn cached_tokens(&self, parts: &[(u64, u32)]) -> u64 {
        let kept = parts.iter().take_while(|(id, _)| self.kept.contains(id));
        kept.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Takes a request of which it has `missing` tokens to read.
    pub(crate) fn send(&mut self, key: K, parts: &[(u64, u32)], missing: u64) {
        self.kept.extend(parts.iter().map(|(id, _)| *id));
        self.waiting.push_back((key, missing));
    }

    /// One millisecond.
    pub(crate) fn step(&mut self, now: u64) -> Vec<Progress<K>> {
        let mut progress = Vec::new();
        let mut left = TOKENS_PER_MS;
        while let Some((key, missing)) = self.waiting.front_mut() {
            let take = left.min(*missing);
            *missing -= take;
            left -= take;
            self.prefilled_tokens += take;
            if *missing > 0 {
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
