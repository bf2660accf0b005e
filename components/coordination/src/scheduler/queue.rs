//! Asks that wait at a scheduler, by customer.

use super::Session;
use crate::ask::Seq;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Names an ask: its session and its number there.
pub(super) type Key = (Session, Seq);

/// Place among the asks of one customer: the most urgent first, then the one
/// that came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    priority: u8,
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
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        let since = now;
        self.asks.insert(key, Waiting { ask, since, order });
        let customer = self.customers.entry(ask.class.customer).or_default();
        customer.insert(order, key);
    }

    /// Removes an ask.
    pub(super) fn remove(&mut self, key: Key) -> Option<Ask> {
        let Waiting { ask, order, .. } = self.asks.remove(&key)?;
        let customer = ask.class.customer;
        if let Some(queue) = self.customers.get_mut(&customer) {
            queue.remove(&order);
            if queue.is_empty() {
                self.customers.remove(&customer);
            }
        }
        Some(ask)
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
