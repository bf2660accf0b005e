//! Asks that cannot be served in time, and when their callers may come back.

use super::queue::{Key, Waiting};
use super::{Effect, Effects, Scheduler};
use crate::prelude::*;
use crate::prompt::mix;
use crate::slot::Slots;

/// Time between two looks through all asks that wait, in milliseconds.
const REVIEW_MS: u64 = 100;
/// How many times its patience an ask may wait that was let in: it was expected
/// to be served in time, and is next in its order.
const LATE_FACTOR: u64 = 2;
/// Shortest time after which a refused caller may come back, in milliseconds.
const RETURN_MS: u64 = 300;

impl Scheduler {
    /// Refuses an ask that has just come, if it would be served too late.
    ///
    /// A customer that asks for more than its share would else have ever longer
    /// queues: one would see all of its requests served late, the last ones not
    /// at all after they had waited for nothing. Refused at once, those that are
    /// served are served in time, and the others' callers know when to come back.
    pub(super) fn refuse_if_late(&mut self, now: Millis, key: Key) -> Option<Effect> {
        let waiting = *self.queue.get(key)?;
        let ask = waiting.ask;
        let ahead = self.queue.cost_ahead(key);
        let wait = self.pace.time_for(self.queue.cost_before(ahead))?;
        (wait > waiting.patience_ms()).then(|| self.refuse(now, key, &ask, wait))
    }

    /// Looks through all asks that wait, and refuses those that are late and will
    /// not be served soon: an engine may have been lost since they came.
    pub(super) fn review(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::new();
        if now.since(self.reviewed) < REVIEW_MS {
            return effects;
        }
        self.reviewed = now;
        let mut late: SmallVec<[(Key, Ask, u64); 8]> = SmallVec::new();
        let is_pressed = self.pace.is_pressed(now);
        let Scheduler {
            slots, queue, pace, ..
        } = self;
        for customer in queue.customers() {
            let mut ahead = 0;
            for (key, waiting) in queue.of(customer) {
                let Some(wait) = pace.time_for(queue.cost_before(ahead)) else {
                    break;
                };
                ahead += u64::from(waiting.ask.hint);
                let total = now.since(waiting.since) + wait;
                let answer = (is_pressed).then(|| late_answer(slots, now, key, waiting));
                if let Some(answer) = answer.flatten() {
                    late.push((key, waiting.ask, wait.max(answer)));
                } else if wait > 0 && total > waiting.patience_ms() * LATE_FACTOR {
                    late.push((key, waiting.ask, wait));
                }
            }
        }
        for (key, ask, wait) in late {
            effects.push(self.refuse(now, key, &ask, wait));
        }
        effects
    }

    /// Takes an ask out of the queue and says when its caller may come back.
    pub(super) fn refuse(&mut self, now: Millis, key: Key, ask: &Ask, wait: u64) -> Effect {
        self.remove_ask(key.0, key.1);
        self.refused += 1;
        self.shares.refused(ask.class.customer);
        let excess = wait
            .saturating_sub(u64::from(ask.aim_ms) / 2)
            .max(RETURN_MS);
        // Callers that are refused together must not come back together.
        let spread = mix(now.0 ^ (key.1).0 << 20) % 1000;
        let after = excess * (750 + spread / 2) / 1000;
        let refusal = Refusal {
            epoch: self.epoch,
            seq: key.1,
            wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
            after_ms: u32::try_from(after).unwrap_or(u32::MAX),
        };
        Effect::Refuse(key.0, refusal)
    }
}

/// Time after which an ask would be answered if it was sent now, in milliseconds, if
/// that is too late at every engine.
///
/// While work waits, what is late takes an engine from what would be in time: one
/// would see most of what is served come late, and as much be refused.
fn late_answer(slots: &mut Slots, now: Millis, key: Key, waiting: &Waiting) -> Option<u64> {
    let slack_ms = waiting.slack_ms(now);
    let soonest_ms = slots.soonest_ms(now, &waiting.criteria(now, key.0, true))?;
    (soonest_ms > slack_ms).then_some(soonest_ms)
}
