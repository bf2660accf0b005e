//! What each customer gets of a scheduler, for logs.

use super::Scheduler;
use crate::prelude::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Customers that are told of at once.
const TOLD: usize = 6;

/// What a scheduler gave one customer since it was last told, and how it stands now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Whose it is.
    pub customer: CustomerId,
    /// Asks that wait.
    pub waiting: usize,
    /// Virtual service beyond that of the customer that has least of those that wait.
    pub ahead: u64,
    /// Asks that were granted.
    pub granted: u64,
    /// Their expected cost.
    pub cost: u64,
    /// Asks that were refused.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Given {
    granted: u64,
    cost: u64,
    refused: u64,
}

/// What was given since the last telling.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    given: BTreeMap<CustomerId, Given>,
}

impl Shares {
    pub(super) fn granted(&mut self, customer: CustomerId, cost: u32) {
        let given = self.given.entry(customer).or_default();
        given.granted += 1;
        given.cost += u64::from(cost);
    }

    pub(super) fn refused(&mut self, customer: CustomerId) {
        self.given.entry(customer).or_default().refused += 1;
    }
}

impl Scheduler {
    /// What those customers got since the last call that were granted and refused most.
    pub fn take_usage(&mut self) -> Vec<Usage> {
        let given = std::mem::take(&mut self.shares.given);
        let waiting = self.ledger.backlogged();
        let least = waiting.map(|c| self.ledger.level(c)).min().unwrap_or(0);
        let share = |(customer, given): (CustomerId, Given)| Usage {
            customer,
            waiting: self.queue.of(customer).count(),
            ahead: self.ledger.level(customer).saturating_sub(least),
            granted: given.granted,
            cost: given.cost,
            refused: given.refused,
        };
        let mut shares: Vec<Usage> = given.into_iter().map(share).collect();
        shares.sort_by_key(|s| Reverse(s.granted + s.refused));
        shares.truncate(TOLD);
        shares
    }
}
