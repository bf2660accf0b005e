//! Refusal of asks that cannot be served in time, with the time after which their callers may
//! retry.

use super::appointment::{Capacity, Request, Return, SLOTS_MAX, SLOT_MS};
use super::queue::{Key, Waiting};
use super::{Effect, Effects, Scheduler};
use crate::ledger::VIRTUAL_PER_COST;
use crate::prelude::*;
use crate::prompt::mix;
use crate::slot::Slots;
use state::config::Rule;

/// Interval between two reviews of all waiting asks, in milliseconds.
const REVIEW_MS: u64 = 100;
/// Multiple of its longest wait that an admitted ask may wait: it was expected to be served in
/// time, and has moved to the front of its queue.
const ADMITTED_FACTOR: u64 = 2;
/// Shortest time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 300;
/// Time after which callers give up, in multiples of the latency target.
const GIVE_UP_AIMS: u64 = 4;
/// Part of the time left up to which callers honour `Retry-After`, as a divisor.
pub(crate) const HONOURED_DIVISOR: u64 = 3;
/// Shortest time after which a caller without an appointment may return, in thousandths of the
/// longest one that it honours. The later it returns, the more likely the overload is over; the
/// rest spreads the returns.
const UNBOOKED_MIN_PERMILLE: u64 = 900;

/// What is known of the time that the callers of a rule wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// Whether the rule has a latency target. Asks of other rules have their timeout in place of
    /// it, of which there are no multiples.
    pub has_target: bool,
    /// Timeout, in milliseconds.
    pub timeout_ms: u64,
}

/// Times that the callers of each rule wait, in the order of the rules, for the requests that a
/// service gets.
pub fn waits(view: &View, service: ServiceId) -> Vec<Waits> {
    let timeout_ms = view.config.services.get(&service).map(|s| s.timeout_ms);
    let waits = |rule: &Rule| {
        let forward = rule.then.forward();
        Waits {
            has_target: forward.is_some_and(|f| f.aim_ms.is_some()),
            timeout_ms: (forward.and_then(|f| f.timeout_ms))
                .or(timeout_ms)
                .unwrap_or(u64::MAX),
        }
    };
    view.config.rules.iter().map(waits).collect()
}

impl Scheduler {
    /// Refuses an ask that has just arrived, if it would be served too late.
    ///
    /// The queue of a customer that asks for more than its share would otherwise grow without
    /// bound: all of its requests would be served late, and the last ones refused after a long
    /// wait. With early refusals, the admitted requests are served in time, and the callers of
    /// the others know when to retry.
    pub(super) fn refuse_if_late(&mut self, now: Millis, key: Key) -> Option<Effect> {
        let waiting = *self.queue.get(key)?;
        if waiting.has_begun() || waiting.has_valid_appointment(self.slots.usable_slots(now)) {
            return None;
        }
        let ask = waiting.ask;
        let ahead = self.queue.cost_ahead(key);
        let cost = match &self.appointments {
            Some(appointments) => {
                // Callers that return in this time are served before the ask.
                let within_ms = waiting.wait_max_ms();
                let own = appointments.due_cost(now, ask.class.customer, within_ms);
                let due = appointments.due_costs(now, within_ms);
                self.queue.cost_before_with(ahead + own, due)
            }
            None => self.queue.cost_before(ahead),
        };
        let wait_ms = self.throughput.time_for(cost)?;
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
        let usable_slots = self.slots.usable_slots(now);
        let Scheduler {
            slots,
            queue,
            throughput,
            ..
        } = self;
        for customer in queue.customers() {
            let mut ahead = 0;
            for (key, waiting) in queue.of(customer) {
                if waiting.software.is_some_and(|s| slots.lacks(now, s)) {
                    late.push((key, waiting.ask, 0));
                    continue;
                }
                if waiting.has_begun() && waiting.slack_ms(now) > 0 {
                    ahead += u64::from(waiting.ask.hint);
                    continue;
                }
                let Some(wait_ms) = throughput.time_for(queue.cost_before(ahead)) else {
                    break;
                };
                ahead += u64::from(waiting.ask.hint);
                if waiting.has_valid_appointment(usable_slots) {
                    continue;
                }
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
        let waiting = self.queue.get(key).copied();
        self.remove_ask(key.0, key.1);
        self.refused += 1;
        self.allocations.record_refused(ask.class.customer);
        // The caller of a stream that has begun gets no answer that could tell it a time, and that of
        // another retry has been counted as a first attempt.
        let is_first = |w: &Waiting| !w.has_begun() && w.ask.avoid.is_none();
        let waiting = waiting.filter(|w| self.appointments.is_some() && is_first(w));
        let after_ms = match waiting {
            Some(waiting) => self.appointment_ms(now, key, &waiting),
            None => retry_after_ms(now, key, ask, wait_ms),
        };
        let refusal = Refusal {
            epoch: self.epoch,
            seq: key.1,
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            after_ms: u32::try_from(after_ms).unwrap_or(u32::MAX),
        };
        Effect::Refuse(key.0, refusal)
    }

    /// Books an appointment for the caller of a refused ask. Returns the time until it, in
    /// milliseconds, or nearly the longest one that callers honour if no place is free until then.
    fn appointment_ms(&mut self, now: Millis, key: Key, waiting: &Waiting) -> u64 {
        let ask = &waiting.ask;
        let left_ms = self
            .patience_ms(ask)
            .saturating_sub(now.since(waiting.since));
        let limit_ms = (left_ms / HONOURED_DIVISOR).clamp(SLOT_MS, SLOTS_MAX * SLOT_MS);
        let jitter = jitter(now, key);
        let request = Request {
            class: ask.class,
            prompt: ask.prompt,
            weight: ask.weight,
            cost: ask.hint,
            after_ms: self.catch_up_ms(now, ask).max(SLOT_MS),
            limit_ms,
            jitter,
        };
        let capacity = Capacity {
            room_per_s: self.room_per_s(ask, limit_ms),
            slots: self.slots.usable_slots(now),
        };
        let unbooked_ms = limit_ms * (UNBOOKED_MIN_PERMILLE + jitter / 10) / 1000;
        let Some(appointments) = &mut self.appointments else {
            return unbooked_ms;
        };
        match waiting.returned {
            // Its caller has used its retry.
            Some(Return::Booked(_)) => appointments.record_refused(),
            Some(Return::Unbooked) => {}
            None => {
                let booked = appointments.book(now, request, capacity, self.queue.weights());
                if let Some(after_ms) = booked {
                    return after_ms;
                }
                appointments.expect_unbooked(now, request, unbooked_ms);
            }
        }
        unbooked_ms
    }

    /// Time from its first attempt after which the caller of an ask gives up, in milliseconds.
    fn patience_ms(&self, ask: &Ask) -> u64 {
        let aim_ms = u64::from(ask.aim_ms);
        match self.rules.get(usize::from(ask.class.rule)) {
            Some(rule) if !rule.has_target => aim_ms,
            rule => {
                let timeout_ms = rule.map_or(u64::MAX, |r| r.timeout_ms);
                aim_ms
                    .saturating_mul(GIVE_UP_AIMS)
                    .min(timeout_ms.max(aim_ms))
            }
        }
    }

    /// Cost per second that first attempts leave to the caller of a refused ask, if their load
    /// continues.
    ///
    /// The first attempts of all customers count that would be served before this one: those that
    /// have received less service, or so little more that it could not catch up within
    /// `limit_ms`. In a lasting overload nothing is left, and nothing is booked.
    fn room_per_s(&self, ask: &Ask, limit_ms: u64) -> u64 {
        let customer = ask.class.customer;
        let capacity = self.throughput.cost_per_s();
        let gained = capacity.saturating_mul(limit_ms) / 1000 * VIRTUAL_PER_COST;
        let level = self.ledger.level(customer);
        let level = level.saturating_add(gained / u64::from(ask.weight.max(1)));
        let first = |c| c == customer || self.ledger.level(c) <= level;
        capacity.saturating_sub(self.demand.sum(first))
    }

    /// Time until the customers that have received less service than the customer of an ask have
    /// received as much, in milliseconds.
    fn catch_up_ms(&self, now: Millis, ask: &Ask) -> u64 {
        let Some(appointments) = &self.appointments else {
            return 0;
        };
        let level = self.ledger.level(ask.class.customer);
        let owed = |(customer, weight): (CustomerId, u32)| {
            let excess = level.saturating_sub(self.ledger.level(customer));
            let returns = appointments.due_cost(now, customer, SLOTS_MAX * SLOT_MS);
            let load = self.queue.cost_of(customer) + returns;
            load.min(excess.saturating_mul(u64::from(weight.max(1))) / VIRTUAL_PER_COST)
        };
        let owed = self.queue.weights().map(owed).sum();
        self.throughput.time_for(owed).unwrap_or(0)
    }
}

/// Number from 0 to 999 that differs between asks: callers that are refused together must not
/// retry together.
fn jitter(now: Millis, key: Key) -> u64 {
    mix(now.0 ^ (key.1).0 << 20) % 1000
}

/// Time after which the caller of a refused ask may retry without an appointment.
fn retry_after_ms(now: Millis, key: Key, ask: &Ask, wait_ms: u64) -> u64 {
    let excess_ms = wait_ms
        .saturating_sub(u64::from(ask.aim_ms) / 2)
        .max(RETRY_AFTER_MIN_MS);
    excess_ms * (750 + jitter(now, key) / 2) / 1000
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
