//! Refusal of asks that cannot be served in time, with the time after which their callers may
//! retry.

use super::queue::{Key, Waiting};
use super::{Effect, Effects, Scheduler};
use crate::prelude::*;
use crate::prompt::mix;
use crate::slot::Slots;

/// Interval between two reviews of all waiting asks, in milliseconds.
const REVIEW_MS: u64 = 100;
/// Multiple of its longest wait that an admitted ask may wait: it was expected to be served in
/// time, and has moved to the front of its queue.
const ADMITTED_FACTOR: u64 = 2;
/// Shortest time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 300;

impl Scheduler {
    /// Refuses an ask that has just arrived, if it would be served too late.
    ///
    /// The queue of a customer that asks for more than its share would otherwise grow without
    /// bound: all of its requests would be served late, and the last ones refused after a long
    /// wait. With early refusals, the admitted requests are served in time, and the callers of
    /// the others know when to retry.
    pub(super) fn refuse_if_late(&mut self, now: Millis, key: Key) -> Option<Effect> {
        let waiting = *self.queue.get(key)?;
        let ask = waiting.ask;
        let ahead = self.queue.cost_ahead(key);
        let wait_ms = self.throughput.time_for(self.queue.cost_before(ahead))?;
        (wait_ms > waiting.wait_max_ms()).then(|| self.refuse(now, key, &ask, wait_ms))
    }

    /// Reviews all waiting asks, and refuses those that are late and will not be served soon:
    /// an engine may have been lost since they were admitted.
    pub(super) fn review(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::new();
        if now.since(self.reviewed_at) < REVIEW_MS {
            return effects;
        }
        self.reviewed_at = now;
        let mut late: SmallVec<[(Key, Ask, u64); 8]> = SmallVec::new();
        let is_saturated = self.throughput.is_saturated(now);
        let Scheduler {
            slots,
            queue,
            throughput,
            ..
        } = self;
        for customer in queue.customers() {
            let mut ahead = 0;
            for (key, waiting) in queue.of(customer) {
                let Some(wait_ms) = throughput.time_for(queue.cost_before(ahead)) else {
                    break;
                };
                ahead += u64::from(waiting.ask.hint);
                let total_ms = now.since(waiting.since) + wait_ms;
                let answer_ms = (is_saturated).then(|| late_answer_ms(slots, now, key, waiting));
                if let Some(answer_ms) = answer_ms.flatten() {
                    late.push((key, waiting.ask, wait_ms.max(answer_ms)));
                } else if wait_ms > 0 && total_ms > waiting.wait_max_ms() * ADMITTED_FACTOR {
                    late.push((key, waiting.ask, wait_ms));
                }
            }
        }
        for (key, ask, wait_ms) in late {
            effects.push(self.refuse(now, key, &ask, wait_ms));
        }
        effects
    }

    /// Removes an ask from the queue. Returns the refusal, with the time after which the caller
    /// may retry.
    pub(super) fn refuse(&mut self, now: Millis, key: Key, ask: &Ask, wait_ms: u64) -> Effect {
        self.remove_ask(key.0, key.1);
        self.refused += 1;
        self.allocations.record_refused(ask.class.customer);
        let excess_ms = wait_ms
            .saturating_sub(u64::from(ask.aim_ms) / 2)
            .max(RETRY_AFTER_MIN_MS);
        // Jitter: callers that are refused together must not retry together.
        let jitter = mix(now.0 ^ (key.1).0 << 20) % 1000;
        let after_ms = excess_ms * (750 + jitter / 2) / 1000;
        let refusal = Refusal {
            epoch: self.epoch,
            seq: key.1,
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            after_ms: u32::try_from(after_ms).unwrap_or(u32::MAX),
        };
        Effect::Refuse(key.0, refusal)
    }
}

/// Shortest time in which an ask would be answered if it were sent now, in milliseconds;
/// `None` unless that is too late on every engine.
///
/// While the engines are saturated, late requests take them from requests that would be in
/// time: most requests would be served late, and as many refused.
fn late_answer_ms(slots: &mut Slots, now: Millis, key: Key, waiting: &Waiting) -> Option<u64> {
    let slack_ms = waiting.slack_ms(now);
    let soonest_ms = slots.soonest_ms(now, &waiting.criteria(now, key.0, true))?;
    (soonest_ms > slack_ms).then_some(soonest_ms)
}
