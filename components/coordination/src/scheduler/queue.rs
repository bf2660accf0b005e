//! Asks that wait at a scheduler, by customer.

use super::Session;
use crate::messages::Seq;
use crate::prelude::*;
use crate::slot::Criteria;
use std::collections::btree_map::{BTreeMap, Entry};

/// Part of the time to its aim for which an ask may be expected to wait, in
/// hundredths; the rest is for reading its prompt and for the way.
const PATIENCE_PERCENT: u64 = 40;

/// Names an ask: its session and its number there.
pub(super) type Key = (Session, Seq);

/// Place among the asks of one customer: the highest rank first, then the one that is
/// late first.
///
/// By arrival, short requests would wait behind long ones that have time: one would see
/// them refused or late most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    priority: u8,
    /// When its caller counts an answer as late.
    late_at: Millis,
    arrival: u64,
}

/// An ask that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    pub(super) since: Millis,
    order: Order,
}

impl Waiting {
    /// Time for which it may wait in all, in milliseconds.
    pub(super) fn patience_ms(&self) -> u64 {
        u64::from(self.ask.aim_ms) * PATIENCE_PERCENT / 100
    }

    /// What it looks for in an endpoint; with `only_in_time`, one that answers in time.
    pub(super) fn criteria(&self, now: Millis, of: Session, only_in_time: bool) -> Criteria {
        Criteria {
            session: Some(of.0),
            prompt: self.ask.prompt,
            avoid: self.ask.avoid,
            aim_ms: u64::from(self.ask.aim_ms),
            slack_ms: self.slack_ms(now),
            only_in_time,
        }
    }

    /// Time that is left until its caller counts an answer as late, in
    /// milliseconds.
    pub(super) fn slack_ms(&self, now: Millis) -> u64 {
        u64::from(self.ask.aim_ms).saturating_sub(now.since(self.since))
    }
}

/// All asks of a shard's own region.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    asks: BTreeMap<Key, Waiting>,
    customers: BTreeMap<CustomerId, BTreeMap<Order, Key>>,
    /// Expected cost of each customer's asks together.
    costs: BTreeMap<CustomerId, u64>,
    /// How many asks have each aim, in milliseconds.
    aims: BTreeMap<u32, usize>,
    arrivals: u64,
}

impl Queue {
    /// Adds an ask; one that is known already stays as it is.
    pub(super) fn insert(&mut self, now: Millis, key: Key, ask: Ask) {
        if self.asks.contains_key(&key) {
            return;
        }
        let order = Order {
            priority: ask.priority,
            late_at: now.after(u64::from(ask.aim_ms)),
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        *self.costs.entry(ask.class.customer).or_default() += u64::from(ask.hint);
        *self.aims.entry(ask.aim_ms).or_default() += 1;
        let since = now;
        self.asks.insert(key, Waiting { ask, since, order });
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

    /// An ask.
    pub(super) fn get(&self, key: Key) -> Option<&Waiting> {
        self.asks.get(&key)
    }

    /// The longest aim of an ask, in milliseconds; `None` if there are none.
    pub(super) fn longest_aim_ms(&self) -> Option<u32> {
        self.aims.last_key_value().map(|(aim_ms, _)| *aim_ms)
    }

    /// Whether a customer has an ask here.
    pub(super) fn has_any_of(&self, customer: CustomerId) -> bool {
        self.customers.contains_key(&customer)
    }

    /// Asks of a customer, the next one first.
    pub(super) fn of(&self, customer: CustomerId) -> impl Iterator<Item = (Key, &Waiting)> {
        let keys = self.customers.get(&customer).into_iter().flatten();
        keys.filter_map(|(_, key)| Some((*key, self.asks.get(key)?)))
    }

    /// Expected cost of what is served before a customer's ask that has `ahead` of
    /// its own customer's before it: each customer gets as much as that one, or all
    /// that it asks for.
    pub(super) fn cost_before(&self, ahead: u64) -> u64 {
        self.costs.values().map(|cost| ahead.min(*cost)).sum()
    }

    /// Expected cost of the asks of its customer that come before an ask.
    pub(super) fn cost_ahead(&self, key: Key) -> u64 {
        let Some(customer) = self.asks.get(&key).map(|w| w.ask.class.customer) else {
            return 0;
        };
        let before = self.of(customer).take_while(|(other, _)| *other != key);
        before.map(|(_, w)| u64::from(w.ask.hint)).sum()
    }

    /// Customers with asks.
    pub(super) fn customers(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.customers.keys().copied()
    }

    /// Asks of a session.
    pub(super) fn of_session(&self, session: Session) -> Vec<Seq> {
        let range = (session, Seq(0))..=(session, Seq(u64::MAX));
        self.asks.range(range).map(|((_, seq), _)| *seq).collect()
    }

    /// Asks that wait.
    pub(super) fn len(&self) -> usize {
        self.asks.len()
    }
}
