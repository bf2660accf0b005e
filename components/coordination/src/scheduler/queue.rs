//! Queue of the asks that wait at a scheduler, by customer.

use super::appointment::{is_distinct, Return};
use super::Session;
use crate::messages::{Objective, Seq};
use crate::prelude::*;
use crate::resume::RESUME_AIM_MS;
use crate::slot::Criteria;
use std::collections::btree_map::{BTreeMap, Entry};

/// Longest expected wait at which an ask is admitted, in percent of its latency target. The
/// rest is for the prefill and the network.
const WAIT_MAX_PERCENT: u64 = 40;

/// Time in which a caller that was refused before is to be answered, in percent of its latency
/// target. Its response is late already, and it gives up after four times the target. It was
/// refused within 0.8 times the target and returned after a third of the time left at most, so
/// that it waits for another 2.1 times the target at least. In simulations of bursts, 150 lost 148
/// of 1,000 requests, of at most 149; with 200, fewer long prompts were served than without
/// appointments in two seeds of three.
const RETURNED_AIM_PERCENT: u64 = 175;

/// Identifies an ask by its session and its number there.
pub(super) type Key = (Session, Seq);

/// Order of the asks of one customer: by priority, then by deadline.
///
/// In the order of arrival, short requests would wait behind long ones that have time to
/// spare, and would be refused or late most often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    /// 0 is the most urgent.
    priority: u8,
    /// What the caller did before.
    turn: Turn,
    /// When the ask is to be answered.
    late_at: Millis,
    /// Number of asks that arrived before.
    arrival: u64,
}

/// Order of the asks of one customer and priority, by what their callers did before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// The stream has begun at another endpoint. Its caller has read a part, which is lost if the
    /// stream does not continue in time.
    Begun,
    /// The caller has an appointment. The others were admitted behind its load, and the
    /// appointment uses room that first attempts left.
    Booked,
    /// First attempt. Its response can still be on time.
    First,
    /// The caller was refused without an appointment. Its response is late already, so it must
    /// not make a first attempt late as well.
    Unbooked,
}

impl Turn {
    /// Time from its arrival in which an ask is to be answered, in milliseconds.
    fn aim_ms(self, ask: &Ask) -> u64 {
        let aim_ms = u64::from(ask.aim_ms);
        match self {
            Turn::Unbooked => aim_ms * RETURNED_AIM_PERCENT / 100,
            Turn::Begun | Turn::Booked | Turn::First => aim_ms,
        }
    }
}

/// The stream that an ask continues, if it continues one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Continued {
    /// Time for which the caller waits for the next event, in milliseconds, if its answer has
    /// begun at another endpoint.
    pub(super) caller_waits_ms: Option<u32>,
    /// Software version that began the stream.
    pub(super) software: Option<Software>,
}

/// An ask in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    /// What is demanded of the stream.
    pub(super) objective: Objective,
    /// Time for which the caller waits for the next event, in milliseconds, if the stream has
    /// begun at another endpoint.
    caller_waits_ms: Option<u32>,
    /// Software version that began the stream, if the ask continues one.
    pub(super) software: Option<Software>,
    pub(super) since: Millis,
    /// Whether its caller was refused before; `None` if that is not known.
    pub(super) returned: Option<Return>,
    order: Order,
}

impl Waiting {
    /// Whether the stream has begun at another endpoint.
    pub(super) fn has_begun(&self) -> bool {
        self.caller_waits_ms.is_some()
    }

    /// Time from its arrival in which the ask is to be answered, in milliseconds.
    fn aim_ms(&self) -> u64 {
        self.order.turn.aim_ms(&self.ask)
    }

    /// Longest expected wait at which the ask is admitted, in milliseconds.
    pub(super) fn wait_max_ms(&self) -> u64 {
        self.aim_ms() * WAIT_MAX_PERCENT / 100
    }

    /// Criteria for the endpoint; with `only_in_time`, one that answers in time.
    pub(super) fn criteria(&self, now: Millis, of: Session, only_in_time: bool) -> Criteria {
        Criteria {
            session: Some(of.0),
            prompt: self.ask.prompt,
            avoid: self.ask.avoid,
            aim_ms: u64::from(self.ask.aim_ms),
            // The whole time of its caller would let a stream wait for the endpoint that has most of
            // the prompt cached while others are free. The target may have passed with an earlier ask.
            slack_ms: match self.has_begun() {
                true => self
                    .slack_ms(now)
                    .min(u64::from(self.ask.aim_ms).max(RESUME_AIM_MS)),
                false => self.slack_ms(now),
            },
            // An ask with an appointment is served in its turn even if it is late.
            only_in_time: only_in_time && !self.has_appointment(),
            software: self.software,
        }
    }

    /// Whether the ask has taken a booked place.
    pub(super) fn has_appointment(&self) -> bool {
        matches!(self.returned, Some(Return::Booked(_)))
    }

    /// Whether the ask has taken a booked place, and no capacity was lost since the booking.
    /// `slots` are the usable ones now.
    pub(super) fn has_valid_appointment(&self, slots: u32) -> bool {
        matches!(self.returned, Some(Return::Booked(booked)) if booked <= slots)
    }

    /// Time until an answer becomes late, in milliseconds; of a stream that has begun, until its
    /// caller gives up.
    pub(super) fn slack_ms(&self, now: Millis) -> u64 {
        let limit_ms = self.caller_waits_ms.map_or(self.aim_ms(), u64::from);
        limit_ms.saturating_sub(now.since(self.since))
    }
}

/// All waiting asks of a shard's own region.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    asks: BTreeMap<Key, Waiting>,
    /// Asks of each customer in their order.
    customers: BTreeMap<CustomerId, BTreeMap<Order, Key>>,
    /// Total expected cost of the asks of each customer.
    costs: BTreeMap<CustomerId, u64>,
    /// Number of asks with each latency target in milliseconds.
    aims: BTreeMap<u32, usize>,
    /// Number of asks so far.
    arrivals: u64,
}

impl Queue {
    /// Adds an ask, unless an ask with its key is in the queue.
    ///
    /// `returned` says whether its caller was refused before, if that is known.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        key: Key,
        ask: Ask,
        objective: Objective,
        returned: Option<Return>,
        continued: Continued,
    ) {
        let Continued {
            caller_waits_ms,
            software,
        } = continued;
        if self.asks.contains_key(&key) {
            return;
        }
        let turn = match returned {
            _ if caller_waits_ms.is_some() => Turn::Begun,
            Some(Return::Booked(_)) => Turn::Booked,
            Some(Return::Unbooked) if is_distinct(&ask.prompt) => Turn::Unbooked,
            // Of requests that look alike, new ones take the places of those that return.
            Some(Return::Unbooked) | None => Turn::First,
        };
        let order = Order {
            priority: ask.priority,
            turn,
            late_at: now.after(caller_waits_ms.map_or(turn.aim_ms(&ask), u64::from)),
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        *self.costs.entry(ask.class.customer).or_default() += u64::from(ask.hint);
        *self.aims.entry(ask.aim_ms).or_default() += 1;
        let since = now;
        let waiting = Waiting {
            ask,
            objective,
            caller_waits_ms,
            software,
            since,
            returned,
            order,
        };
        self.asks.insert(key, waiting);
        let customer = self.customers.entry(ask.class.customer).or_default();
        customer.insert(order, key);
    }

    /// Removes an ask.
    pub(super) fn remove(&mut self, key: Key) -> Option<Ask> {
        let Waiting { ask, order, .. } = self.asks.remove(&key)?;
        let customer = ask.class.customer;
        if let Some(cost) = self.costs.get_mut(&customer) {
            *cost -= u64::from(ask.hint);
        }
        if let Entry::Occupied(mut aim) = self.aims.entry(ask.aim_ms) {
            *aim.get_mut() -= 1;
            if *aim.get() == 0 {
                aim.remove();
            }
        }
        if let Some(queue) = self.customers.get_mut(&customer) {
            queue.remove(&order);
            if queue.is_empty() {
                self.customers.remove(&customer);
                self.costs.remove(&customer);
            }
        }
        Some(ask)
    }

    /// The ask with a key.
    pub(super) fn get(&self, key: Key) -> Option<&Waiting> {
        self.asks.get(&key)
    }

    /// The longest latency target of an ask, in milliseconds; `None` if the queue is empty.
    pub(super) fn longest_aim_ms(&self) -> Option<u32> {
        self.aims.last_key_value().map(|(aim_ms, _)| *aim_ms)
    }

    /// Whether a customer has an ask in the queue.
    pub(super) fn has_any_of(&self, customer: CustomerId) -> bool {
        self.customers.contains_key(&customer)
    }

    /// Asks of a customer, the next one first.
    pub(super) fn of(&self, customer: CustomerId) -> impl Iterator<Item = (Key, &Waiting)> {
        let keys = self.customers.get(&customer).into_iter().flatten();
        keys.filter_map(|(_, key)| Some((*key, self.asks.get(key)?)))
    }

    /// Expected cost of all asks that are served before an ask, which is preceded by asks of
    /// its own customer with the cost `ahead`: each customer is served as much as that one, or
    /// everything that it asks for.
    pub(super) fn cost_before(&self, ahead: u64) -> u64 {
        self.costs.values().map(|cost| ahead.min(*cost)).sum()
    }

    /// Like [`Queue::cost_before`], with the load that returns of each customer, whether it has
    /// asks in the queue or not.
    pub(super) fn cost_before_with<I>(&self, ahead: u64, due: I) -> u64
    where
        I: Iterator<Item = (CustomerId, u64)>,
    {
        let added = due.map(|(customer, due)| {
            let waiting = self.cost_of(customer);
            ahead.min(waiting + due) - ahead.min(waiting)
        });
        self.cost_before(ahead) + added.sum::<u64>()
    }

    /// Expected cost of all asks of a customer.
    pub(super) fn cost_of(&self, customer: CustomerId) -> u64 {
        self.costs.get(&customer).copied().unwrap_or(0)
    }

    /// Customers with asks in the queue, each with its fair-share weight.
    pub(super) fn weights(&self) -> impl Iterator<Item = (CustomerId, u32)> + '_ {
        let first = |(c, asks): (&CustomerId, &BTreeMap<Order, Key>)| {
            let (_, key) = asks.first_key_value()?;
            Some((*c, self.asks.get(key)?.ask.weight))
        };
        self.customers.iter().filter_map(first)
    }

    /// Expected cost of the asks of the same customer that precede an ask.
    pub(super) fn cost_ahead(&self, key: Key) -> u64 {
        let Some(customer) = self.asks.get(&key).map(|w| w.ask.class.customer) else {
            return 0;
        };
        let before = self.of(customer).take_while(|(other, _)| *other != key);
        before.map(|(_, w)| u64::from(w.ask.hint)).sum()
    }

    /// Customers with asks in the queue.
    pub(super) fn customers(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.customers.keys().copied()
    }

    /// Numbers of the asks of a session.
    pub(super) fn of_session(&self, session: Session) -> Vec<Seq> {
        let range = (session, Seq(0))..=(session, Seq(u64::MAX));
        self.asks.range(range).map(|((_, seq), _)| *seq).collect()
    }

    /// Number of asks in the queue.
    pub(super) fn len(&self) -> usize {
        self.asks.len()
    }
}
