//! A naive choice of the engine for a request: a scan of all engines.
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

// The constants below have the values of `coordination::slot`, which the scan must match.

/// Part of a request's remaining time that the expected answer may take to be in time, in
/// hundredths.
const IN_TIME_PERCENT: u64 = 85;
/// Penalty for a copy between engines, in hundredths of the request's target latency.
const COPY_PENALTY_PERCENT: u64 = 66;
/// Weight of the work that a request causes on an engine, relative to the wait for its
/// first byte: the work delays all requests on the engine.
const WORK_WEIGHT: u64 = 2;
/// Penalty for each request in progress on an engine: larger batches make each step slower.
const BATCH_PENALTY_US: u64 = 400;
/// Penalty for a failure, in multiples of the request's target latency.
const FAILURE_PENALTY_AIMS: u64 = 2;
/// Largest target latency that enters a penalty, so that a request without a target does
/// not make copies and failures cost more than any wait.
const AIM_MAX_MS: u64 = 2000;
/// Least reservation of a request: also a request with a cached prompt takes part in a step.
const RESERVATION_MIN_TOKENS: u64 = 64;

/// Reported time from the grant to the first byte of a report without delay. The estimate
/// of an engine's speed caps the time at the arrival of the report.
pub(crate) const NO_REPORT_DELAY: Option<u32> = Some(u32::MAX);

/// One engine and its requests.
struct Slot {
    /// Requests that the engine serves at once.
    slots: u32,
    /// Whether the engine drains and takes no new requests.
    leaving: bool,
    /// Requests in progress.
    running: u32,
    health: Health,
    reliability: Reliability,
    engine: Engine,
}

/// Expected outcome of a request on an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) id: EndpointId,
    /// Whether the answer would be late, and its cost in microseconds. The
    /// lowest rank is best.
    pub(crate) rank: (bool, u64),
    /// Prompt tokens that the engine would have to read.
    to_read: u64,
    /// Time to the first byte.
    answer_us: u64,
}

/// Tokens that earlier requests of a batch have reserved on each engine that they wait for.
#[derive(Default)]
pub(crate) struct Reservations {
    tokens: BTreeMap<EndpointId, u64>,
}

/// All engines.
pub(crate) struct Scan {
    /// Prompt tokens that an engine keeps in its cache.
    memory_tokens: u64,
    /// Cached tokens that an engine copies from another one in a second.
    copy_tokens_per_s: u64,
    engines: BTreeMap<EndpointId, Slot>,
}

impl Scan {
    /// A scan without engines.
    pub(crate) fn new(memory_tokens: u64, copy_tokens_per_s: u64) -> Self {
        Scan {
            memory_tokens,
            copy_tokens_per_s,
            engines: BTreeMap::new(),
        }
    }

    /// Adds an engine or changes its settings.
    pub(crate) fn set(&mut self, id: EndpointId, slots: u32, leaving: bool) {
        let slot = self.engines.entry(id).or_insert_with(|| Slot {
            slots,
            leaving,
            running: 0,
            health: Health::default(),
            reliability: Reliability::default(),
            engine: Engine::new(self.memory_tokens),
        });
        slot.slots = slots;
        slot.leaving = leaving;
    }

    /// Removes an engine.
    pub(crate) fn remove(&mut self, id: EndpointId) {
        self.engines.remove(&id);
    }

    /// Starts a request on an engine.
    pub(crate) fn acquire(&mut self, now: Millis, id: EndpointId, prompt: Prompt) -> Prefill {
        let source = self.source(now, &prompt);
        let slot = self.engines.get_mut(&id).unwrap();
        slot.running += 1;
        (slot.engine).begin(now, prompt, source, &mut Changes::new())
    }

    /// Records that an engine has a part of a prompt in its cache.
    pub(crate) fn record_cached(&mut self, now: Millis, id: EndpointId, part: Part) {
        if let Some(slot) = self.engines.get_mut(&id) {
            slot.engine.record_cached(now, part, &mut Changes::new());
        }
    }

    /// Records the first byte of a request.
    pub(crate) fn record_first_byte(&mut self, now: Millis, id: EndpointId, prefill: &mut Prefill) {
        if let Some(slot) = self.engines.get_mut(&id) {
            slot.engine.record_first_byte(now, prefill, NO_REPORT_DELAY);
        }
    }

    /// Removes an ended request from the model of its engine.
    pub(crate) fn end_prefill(&mut self, now: Millis, id: EndpointId, prefill: &Prefill) {
        if let Some(slot) = self.engines.get_mut(&id) {
            slot.engine.end(now, prefill, &mut Changes::new());
        }
    }

    /// Frees the slot of a request; the verdict counts towards the health of the engine.
    pub(crate) fn release(&mut self, now: Millis, id: EndpointId, verdict: Verdict) {
        let Some(slot) = self.engines.get_mut(&id) else {
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

    /// Resets an engine that has restarted: its cache is empty.
    pub(crate) fn reset(&mut self, id: EndpointId) {
        if let Some(slot) = self.engines.get_mut(&id) {
            slot.reliability = Reliability::default();
            slot.engine.reset(&mut Changes::new());
        }
    }

    /// Expected outcome of a request on each engine that takes requests.
    pub(crate) fn estimates(
        &self,
        now: Millis,
        criteria: &Criteria,
        reservations: &Reservations,
    ) -> Vec<Estimate> {
        let source = match criteria.avoid {
            Some(_) => None,
            None => self.source(now, &criteria.prompt),
        };
        let open = self.engines.iter().filter(|(_, slot)| slot.is_open(now));
        let estimates = open.map(|(id, slot)| {
            let reserved = reservations.tokens.get(id).copied().unwrap_or(0);
            slot.estimate(now, *id, criteria, source, reserved)
        });
        estimates.collect()
    }

    /// The best engine for a request, if the request can be sent there now. Otherwise the
    /// request waits with a reservation on that engine, or without one if `criteria` excludes
    /// late answers and this one would be late.
    pub(crate) fn choose(
        &self,
        now: Millis,
        criteria: &Criteria,
        reservations: &mut Reservations,
    ) -> Option<EndpointId> {
        let estimates = self.estimates(now, criteria, reservations);
        let best = estimates.into_iter().min_by_key(|e| (e.rank, e.id))?;
        if best.rank.0 && criteria.only_in_time {
            return None;
        }
        let slot = &self.engines[&best.id];
        let reserved = reservations.tokens.entry(best.id).or_default();
        let free_slots = slot.capacity(now).saturating_sub(slot.running);
        if free_slots > 0
            && *reserved == 0
            && slot.engine.has_room(now, &criteria.prompt, criteria.aim_ms)
        {
            return Some(best.id);
        }
        *reserved += best.to_read.max(RESERVATION_MIN_TOKENS);
        None
    }

    /// Shortest time in which an engine would answer a request; `None` if no engine takes
    /// requests.
    pub(crate) fn soonest_ms(&self, now: Millis, criteria: &Criteria) -> Option<u64> {
        let criteria = Criteria {
            avoid: None,
            ..*criteria
        };
        let estimates = self.estimates(now, &criteria, &Reservations::default());
        estimates.into_iter().map(|e| e.answer_us / 1000).min()
    }

    /// The engine from which the longest start of a prompt can be copied.
    fn source(&self, now: Millis, prompt: &Prompt) -> Option<Source> {
        let open = self.engines.iter().filter(|(_, slot)| slot.is_open(now));
        let copyable = open.map(|(id, slot)| (slot.engine.copyable_tokens(prompt), *id));
        let (tokens, endpoint) = copyable.max_by_key(|(tokens, _)| *tokens)?;
        (tokens > 0).then_some(Source {
            endpoint,
            tokens,
            tokens_per_s: self.copy_tokens_per_s,
        })
    }
}

impl Slot {
    /// Requests that the engine may serve at once, given its health.
    fn capacity(&self, now: Millis) -> u32 {
        if self.leaving {
            return 0;
        }
        self.health.capacity(now, self.slots)
    }

    /// Whether the engine takes requests.
    fn is_open(&self, now: Millis) -> bool {
        self.capacity(now) > 0
    }

    /// Expected outcome of a request behind `reserved` tokens of waiting requests.
    fn estimate(
        &self,
        now: Millis,
        id: EndpointId,
        criteria: &Criteria,
        source: Option<Source>,
        reserved: u64,
    ) -> Estimate {
        let engine = &self.engine;
        let missing = engine.uncached_tokens(&criteria.prompt);
        let copied = source.map_or(0, |s| s.gain(&criteria.prompt, missing));
        let copying_us = source.map_or(0, |s| s.copying_us(copied));
        let aim_ms = criteria.aim_ms.min(AIM_MAX_MS);
        let copy_penalty_us = u64::from(copied > 0) * aim_ms * 10 * COPY_PENALTY_PERCENT;
        let to_read = missing - copied;
        let answer_us =
            engine.expected_us(now, id, &criteria.prompt, to_read, reserved) + copying_us;
        let failure_penalty_us =
            self.reliability.failure_permille(now) * aim_ms * FAILURE_PENALTY_AIMS;
        let batch_penalty_us = u64::from(self.running) * BATCH_PENALTY_US;
        let busy_us = engine.prefill_us(engine.pending_tokens());
        let wait_us = answer_us + copy_penalty_us + failure_penalty_us + batch_penalty_us + busy_us;
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
