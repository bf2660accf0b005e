//! The naive way to place a request: a look at every engine.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use coordination::engine::{Changes, Engine, Prefill, Source};
use coordination::health::Health;
use coordination::messages::Verdict;
use coordination::prompt::{Part, Prompt};
use coordination::reliability::Reliability;
use coordination::slot::Criteria;
use state::clock::Millis;
use state::id::EndpointId;
use std::collections::BTreeMap;

const IN_TIME_PERCENT: u64 = 85;
const COPY_WORTH_PERCENT: u64 = 66;
const WORK_WEIGHT: u64 = 2;
const BATCH_US: u64 = 400;
const FAILURE_AIMS: u64 = 2;
const AIM_MAX_MS: u64 = 2000;
const CLAIM_MIN: u64 = 64;

/// A first byte that is heard of as soon as it comes.
pub(crate) const PROMPTLY: Option<u32> = Some(u32::MAX);

struct Slot {
    slots: u32,
    leaving: bool,
    running: u32,
    health: Health,
    reliability: Reliability,
    engine: Engine,
}

/// What a request would find at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) id: EndpointId,
    /// Whether it is late, and what it costs.
    pub(crate) rank: (bool, u64),
    to_read: u64,
    answer_us: u64,
}

/// Claims of asks that wait, by engine, and whether any was late everywhere.
#[derive(Default)]
pub(crate) struct Claims {
    tokens: BTreeMap<EndpointId, u64>,
}

/// All engines.
pub(crate) struct Scan {
    memory: u64,
    copy_rate: u64,
    all: BTreeMap<EndpointId, Slot>,
}

impl Scan {
    pub(crate) fn new(memory: u64, copy_rate: u64) -> Self {
        Scan {
            memory,
            copy_rate,
            all: BTreeMap::new(),
        }
    }

    pub(crate) fn set(&mut self, id: EndpointId, slots: u32, leaving: bool) {
        let slot = self.all.entry(id).or_insert_with(|| Slot {
            slots,
            leaving,
            running: 0,
            health: Health::default(),
            reliability: Reliability::default(),
            engine: Engine::new(self.memory),
        });
        slot.slots = slots;
        slot.leaving = leaving;
    }

    pub(crate) fn remove(&mut self, id: EndpointId) {
        self.all.remove(&id);
    }

    pub(crate) fn take(&mut self, now: Millis, id: EndpointId, prompt: Prompt) -> Prefill {
        let source = self.source(now, &prompt);
        let slot = self.all.get_mut(&id).unwrap();
        slot.running += 1;
        (slot.engine).begin(now, prompt, source, &mut Changes::new())
    }

    pub(crate) fn learn(&mut self, now: Millis, id: EndpointId, part: Part) {
        if let Some(slot) = self.all.get_mut(&id) {
            slot.engine.note_cached(now, part, &mut Changes::new());
        }
    }

    pub(crate) fn began(&mut self, now: Millis, id: EndpointId, prefill: &mut Prefill) {
        if let Some(slot) = self.all.get_mut(&id) {
            slot.engine.note_first_byte(now, prefill, PROMPTLY);
        }
    }

    pub(crate) fn end(&mut self, now: Millis, id: EndpointId, prefill: &Prefill) {
        if let Some(slot) = self.all.get_mut(&id) {
            slot.engine.end(now, prefill, &mut Changes::new());
        }
    }

    pub(crate) fn free(&mut self, now: Millis, id: EndpointId, verdict: Verdict) {
        let Some(slot) = self.all.get_mut(&id) else {
            return;
        };
        slot.running = slot.running.saturating_sub(1);
        match verdict {
            Verdict::Fine => slot.reliability.record(now, false),
            Verdict::Failed | Verdict::Error => slot.reliability.record(now, true),
            Verdict::Cancelled => {}
        }
        match verdict {
            Verdict::Fine | Verdict::Error => _ = slot.health.record_success(),
            Verdict::Failed => _ = slot.health.record_failure(now),
            Verdict::Cancelled => {}
        }
    }

    pub(crate) fn forget(&mut self, id: EndpointId) {
        if let Some(slot) = self.all.get_mut(&id) {
            slot.reliability = Reliability::default();
            slot.engine.reset(&mut Changes::new());
        }
    }

    /// What a request would find at each engine that takes work.
    pub(crate) fn estimates(
        &self,
        now: Millis,
        criteria: &Criteria,
        claims: &Claims,
    ) -> Vec<Estimate> {
        let source = match criteria.avoid {
            Some(_) => None,
            None => self.source(now, &criteria.prompt),
        };
        let open = self.all.iter().filter(|(_, slot)| slot.is_open(now));
        let all = open.map(|(id, slot)| {
            let claimed = claims.tokens.get(id).copied().unwrap_or(0);
            slot.estimate(now, *id, criteria, source, claimed)
        });
        all.collect()
    }

    /// The engine to send a request to, after a look at all.
    pub(crate) fn choose(
        &self,
        now: Millis,
        criteria: &Criteria,
        claims: &mut Claims,
    ) -> Option<EndpointId> {
        let all = self.estimates(now, criteria, claims);
        let best = all.into_iter().min_by_key(|e| (e.rank, e.id))?;
        if best.rank.0 && criteria.only_in_time {
            return None;
        }
        let slot = &self.all[&best.id];
        let claimed = claims.tokens.entry(best.id).or_default();
        let room = slot.capacity(now).saturating_sub(slot.running);
        if room > 0 && *claimed == 0 && slot.engine.has_room(now, &criteria.prompt, criteria.aim_ms)
        {
            return Some(best.id);
        }
        *claimed += best.to_read.max(CLAIM_MIN);
        None
    }

    pub(crate) fn soonest_ms(&self, now: Millis, criteria: &Criteria) -> Option<u64> {
        let criteria = Criteria {
            avoid: None,
            ..*criteria
        };
        let all = self.estimates(now, &criteria, &Claims::default());
        all.into_iter().map(|e| e.answer_us / 1000).min()
    }

    fn source(&self, now: Millis, prompt: &Prompt) -> Option<Source> {
        let open = self.all.iter().filter(|(_, slot)| slot.is_open(now));
        let read = open.map(|(id, slot)| (slot.engine.copyable_tokens(prompt), *id));
        let (tokens, endpoint) = read.max_by_key(|(tokens, _)| *tokens)?;
        (tokens > 0).then_some(Source {
            endpoint,
            tokens,
            tokens_per_s: self.copy_rate,
        })
    }
}

impl Slot {
    fn capacity(&self, now: Millis) -> u32 {
        if self.leaving {
            return 0;
        }
        self.health.capacity(now, self.slots)
    }

    fn is_open(&self, now: Millis) -> bool {
        self.capacity(now) > 0
    }

    fn estimate(
        &self,
        now: Millis,
        id: EndpointId,
        criteria: &Criteria,
        source: Option<Source>,
        claimed: u64,
    ) -> Estimate {
        let engine = &self.engine;
        let missing = engine.uncached_tokens(&criteria.prompt);
        let copied = source.map_or(0, |s| s.gain(&criteria.prompt, missing));
        let copying_us = source.map_or(0, |s| s.copying_us(copied));
        let aim_ms = criteria.aim_ms.min(AIM_MAX_MS);
        let worth_us = u64::from(copied > 0) * aim_ms * 10 * COPY_WORTH_PERCENT;
        let to_read = missing - copied;
        let answer_us =
            engine.expected_us(now, id, &criteria.prompt, to_read, claimed) + copying_us;
        let risk_us = self.reliability.failure_permille(now) * aim_ms * FAILURE_AIMS;
        let batch_us = u64::from(self.running) * BATCH_US;
        let busy_us = engine.prefill_us(engine.pending_tokens());
        let wait_us = answer_us + worth_us + risk_us + batch_us + busy_us;
        let work_us = engine.prefill_us(to_read) + copying_us;
        let in_time = answer_us * 100 <= criteria.slack_ms * 1000 * IN_TIME_PERCENT;
        Estimate {
            id,
            rank: (
                criteria.avoid == Some(id) || !in_time,
                wait_us + WORK_WEIGHT * work_us,
            ),
            to_read,
            answer_us,
        }
    }
}
