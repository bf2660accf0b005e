//! Simulated inference engines, which prefill prompts in the order of their arrival at a bounded
//! rate, cache the parts, and then generate the answers.

use std::collections::{BTreeSet, VecDeque};

/// Tokens that an engine prefills in a millisecond.
pub(crate) const TOKENS_PER_MS: u64 = 40;
/// Time to generate an answer, in milliseconds.
const GENERATE_MS: u64 = 600;

/// Prompt tokens that a step prefills at most.
const CHUNK_TOKENS: u64 = 1024;
/// Time of a step in microseconds: of each, of each token that it prefills, and of each stream.
const STEP_US: u64 = 4_550;
const PREFILL_TOKEN_NS: u64 = 16_287;
const STREAM_US: u64 = 300;
/// Steps of an event.
pub(crate) const EVENT_STEPS: u32 = 5;
/// Duration of a step in a slow phase, in percent.
const SLOW_PERCENT: u64 = 250;

/// Progress of an engine in one millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress<K> {
    /// The first event of a request.
    FirstEvent(K),
    /// A further event.
    #[allow(dead_code, reason = "only some tests run engines with steps")]
    Event(K),
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
    /// State of an engine that works in steps; `None` for one that only has rates.
    steps: Option<Steps<K>>,
}

/// State of an engine that works in steps: each generates one token of every stream and prefills a
/// chunk.
#[derive(Clone, Debug)]
struct Steps<K> {
    /// Requests that generate, with their tokens so far and the events that are left.
    streams: Vec<(K, u32, u32)>,
    /// Events of the requests that wait for their prefill.
    events: VecDeque<u32>,
    /// End of the step in progress, in microseconds, and the tokens that it prefills.
    current: Option<(u64, u64)>,
    /// Duration of its steps relative to those of other engines, in percent.
    percent: u64,
    /// Until when the engine is slow, in milliseconds.
    slow_until_ms: u64,
}

impl<K> Default for Engine<K> {
    fn default() -> Self {
        Engine {
            waiting: VecDeque::new(),
            cached: BTreeSet::new(),
            generating: VecDeque::new(),
            prefilled_tokens: 0,
            steps: None,
        }
    }
}

#[allow(dead_code, reason = "only some tests run engines with steps")]
impl<K> Engine<K>
where
    K: Copy,
{
    /// An idle engine that works in steps, which take this long relative to those of other engines.
    pub(crate) fn with_steps(percent: u64) -> Self {
        Engine {
            steps: Some(Steps {
                streams: Vec::new(),
                events: VecDeque::new(),
                current: None,
                percent,
                slow_until_ms: 0,
            }),
            ..Engine::default()
        }
    }

    /// Adds a request with `prefill_tokens` to prefill, whose stream has this many events.
    pub(crate) fn send_stream(
        &mut self,
        key: K,
        parts: &[(u64, u32)],
        prefill_tokens: u64,
        events: u32,
    ) {
        self.send(key, parts, prefill_tokens.max(1));
        self.steps
            .iter_mut()
            .for_each(|s| s.events.push_back(events));
    }

    /// Makes the engine slow until a time.
    pub(crate) fn slow_down(&mut self, until_ms: u64) {
        if let Some(steps) = &mut self.steps {
            steps.slow_until_ms = until_ms;
        }
    }

    /// Speed that the engine states: how long work takes at the moment relative to its usual time,
    /// in percent.
    pub(crate) fn speed_percent(&self, now_ms: u64) -> u64 {
        match &self.steps {
            Some(steps) if now_ms < steps.slow_until_ms => SLOW_PERCENT,
            _ => 100,
        }
    }

    /// Ends the steps that are over at `now`, and begins the next one.
    fn run_steps(&mut self, now: u64) -> Vec<Progress<K>> {
        let mut progress = Vec::new();
        let Some(steps) = &mut self.steps else {
            return progress;
        };
        let now_us = now * 1000;
        let mut begins_us = now_us;
        if let Some((ends_us, chunk)) = steps.current {
            if ends_us > now_us {
                return progress;
            }
            steps.current = None;
            begins_us = ends_us;
            for (key, tokens, left) in &mut steps.streams {
                *tokens += 1;
                if *tokens % EVENT_STEPS == 0 {
                    *left -= 1;
                    progress.push(match *tokens {
                        EVENT_STEPS => Progress::FirstEvent(*key),
                        _ => Progress::Event(*key),
                    });
                    if *left == 0 {
                        progress.push(Progress::Ended(*key));
                    }
                }
            }
            steps.streams.retain(|(.., left)| *left > 0);
            self.prefilled_tokens += chunk;
            let mut left = chunk;
            while let Some((key, remaining)) = self.waiting.front_mut() {
                let tokens = left.min(*remaining);
                *remaining -= tokens;
                left -= tokens;
                if *remaining > 0 {
                    break;
                }
                let events = steps.events.pop_front().unwrap_or(1);
                steps.streams.push((*key, 0, events));
                self.waiting.pop_front();
            }
        }
        let waiting: u64 = self.waiting.iter().map(|(_, tokens)| tokens).sum();
        if waiting > 0 || !steps.streams.is_empty() {
            let chunk = waiting.min(CHUNK_TOKENS);
            let streams = steps.streams.len() as u64;
            let us = STEP_US + chunk * PREFILL_TOKEN_NS / 1000 + streams * STREAM_US;
            let is_slow = now < steps.slow_until_ms;
            let us = us * steps.percent / 100;
            let us = if is_slow { us * SLOW_PERCENT / 100 } else { us };
            steps.current = Some((begins_us + us, chunk));
        }
        progress
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
        if self.steps.is_some() {
            return self.run_steps(now);
        }
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
