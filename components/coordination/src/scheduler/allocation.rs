//! Slots that a scheduler has granted to each customer, for logs.

use super::Scheduler;
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Most customers that are logged at once.
const CUSTOMERS_MAX: usize = 6;

/// Grants and refusals of one customer since they were last taken, and its present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Customer.
    pub customer: CustomerId,
    /// Asks that wait.
    pub waiting: usize,
    /// Virtual service beyond that of the waiting customer with the least service.
    pub ahead: u64,
    /// Asks that were granted.
    pub granted: u64,
    /// Expected cost of the granted asks.
    pub cost: u64,
    /// Asks that were refused.
    pub refused: u64,
}

/// Counters of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    granted: u64,
    cost: u64,
    refused: u64,
}

/// Counters by customer, since they were last taken.
#[derive(Clone, Debug, Default)]
pub(super) struct Allocations {
    counters: BTreeMap<CustomerId, Counters>,
}

impl Allocations {
    pub(super) fn record_granted(&mut self, customer: CustomerId, cost: u32) {
        let counters = self.counters.entry(customer).or_default();
        counters.granted += 1;
        counters.cost += u64::from(cost);
    }

    pub(super) fn record_refused(&mut self, customer: CustomerId) {
        self.counters.entry(customer).or_default().refused += 1;
    }
}

impl Scheduler {
    /// Allocations since the last call, of the customers with the most grants and refusals.
    pub fn take_allocations(&mut self) -> Vec<Allocation> {
        let counters = std::mem::take(&mut self.allocations.counters);
        let backlogged = self.ledger.backlogged();
        let least = backlogged.map(|c| self.ledger.level(c)).min().unwrap_or(0);
        let allocation = |(customer, counters): (CustomerId, Counters)| Allocation {
            customer,
            waiting: self.queue.of(customer).count(),
            ahead: self.ledger.level(customer).saturating_sub(least),
            granted: counters.granted,
            cost: counters.cost,
            refused: counters.refused,
        };
        let mut allocations: Vec<Allocation> = counters.into_iter().map(allocation).collect();
        allocations.sort_by_key(|a| Reverse(a.granted + a.refused));
        allocations.truncate(CUSTOMERS_MAX);
        allocations
    }
}
