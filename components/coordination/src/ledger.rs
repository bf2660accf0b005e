//! Virtual service counters: the service that each customer has received, by weight.
//!
//! Method: virtual token counters (Sheng et al., "Fairness in Serving Large
//! Language Models", OSDI 2024). A request is charged with its estimated cost when it is
//! granted, the charge is raised as the answer streams, and the cost is settled at its end.

use state::id::CustomerId;
use std::collections::{BTreeMap, BTreeSet};

/// Units of virtual service for one unit of cost at weight 1.
pub const VIRTUAL_PER_COST: u64 = 1000;

/// Account of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Account {
    /// Virtual service of ended requests, raised to the floor when the customer returns from
    /// idleness. It only grows.
    settled: u64,
    /// Virtual service charged for requests in progress.
    running: u64,
    /// Whether the customer has waiting requests.
    backlogged: bool,
}

impl Account {
    fn level(&self) -> u64 {
        self.settled.saturating_add(self.running)
    }
}

/// The accounts of all customers of one shard.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<CustomerId, Account>,
    // INVARIANT: holds (level, customer) of exactly the backlogged accounts.
    order: BTreeSet<(u64, CustomerId)>,
    /// Largest settled service at which a request was granted, or that an earlier epoch has
    /// reached.
    floor: u64,
    /// Whether customers are lifted to the floor, see [`Ledger::open`].
    is_open: bool,
}

/// Virtual service of `cost` units at `weight`.
pub fn virtual_cost(cost: u32, weight: u32) -> u64 {
    u64::from(cost) * VIRTUAL_PER_COST / u64::from(weight.max(1))
}

impl Ledger {
    /// Virtual service of a customer's ended requests, which routers remember for the next
    /// scheduler.
    pub fn settled(&self, customer: CustomerId) -> u64 {
        self.accounts.get(&customer).map_or(0, |a| a.settled)
    }

    /// Virtual service of a customer with its requests in progress.
    pub fn level(&self, customer: CustomerId) -> u64 {
        self.accounts.get(&customer).map_or(0, Account::level)
    }

    /// Settled service of all customers.
    pub fn all(&self) -> impl Iterator<Item = (CustomerId, u64)> + '_ {
        self.accounts.iter().map(|(id, a)| (*id, a.settled))
    }

    /// Customers with waiting requests, the one with the least service first.
    pub fn backlogged(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.order.iter().map(|(_, customer)| *customer)
    }

    /// Restores settled service that a router remembers from an earlier epoch.
    ///
    /// Settled service only grows, so the largest value is the latest one, and merging the
    /// same value twice changes nothing.
    pub fn restore(&mut self, customer: CustomerId, settled: u64) {
        self.change(customer, |a| a.settled = a.settled.max(settled));
    }

    /// The least settled service of a customer with waiting requests.
    ///
    /// Charges for requests in progress do not count: they are estimates, and a customer that
    /// starts at a level which is corrected downwards later would wait until all others have
    /// reached it.
    pub fn floor(&self) -> u64 {
        let waiting = self.backlogged().map(|customer| self.settled(customer));
        waiting.min().unwrap_or(self.floor)
    }

    /// Begins to lift customers to the floor, starting with the floor of an earlier epoch.
    ///
    /// Called when all routers have reported the service that they remember. If customers were
    /// lifted before, one that has received less than its share would lose its claim with each
    /// change of scheduler, depending on which customer was reported first.
    pub fn open(&mut self, floor: u64) {
        self.is_open = true;
        self.floor = self.floor.max(floor);
        let waiting: Vec<CustomerId> = self.backlogged().collect();
        for customer in waiting {
            self.lift(customer, floor);
        }
    }

    /// Adds service that a customer received in another region.
    pub fn add(&mut self, customer: CustomerId, amount: u64) {
        self.change(customer, |a| a.settled = a.settled.saturating_add(amount));
    }

    /// Raises the settled service of a customer to the floor.
    fn lift(&mut self, customer: CustomerId, floor: u64) {
        self.change(customer, |a| {
            a.settled = a.settled.max(floor);
        });
    }

    /// Marks whether a customer has waiting requests.
    ///
    /// A customer that returns from idleness starts at the floor. Otherwise it would have
    /// accumulated a claim to the whole fleet, and all other customers would wait while it
    /// catches up.
    pub fn set_backlogged(&mut self, customer: CustomerId, backlogged: bool) {
        let was = self.accounts.get(&customer).is_some_and(|a| a.backlogged);
        if was == backlogged {
            return;
        }
        if backlogged && self.is_open {
            self.lift(customer, self.floor());
        }
        self.change(customer, |a| a.backlogged = backlogged);
    }

    /// Charges the estimated cost of a granted request.
    pub fn charge(&mut self, customer: CustomerId, amount: u64) {
        self.floor = self.floor.max(self.settled(customer));
        self.change(customer, |a| a.running = a.running.saturating_add(amount));
    }

    /// Replaces the charge of a request in progress.
    pub fn recharge(&mut self, customer: CustomerId, old: u64, new: u64) {
        self.change(customer, |a| {
            a.running = a.running.saturating_sub(old).saturating_add(new);
        });
    }

    /// Ends a request: replaces its charge by its cost.
    pub fn settle(&mut self, customer: CustomerId, charged: u64, cost: u64) {
        self.change(customer, |a| {
            a.running = a.running.saturating_sub(charged);
            a.settled = a.settled.saturating_add(cost);
        });
    }

    /// Changes an account, and its position in the order.
    fn change<F>(&mut self, customer: CustomerId, act: F)
    where
        F: FnOnce(&mut Account),
    {
        let account = self.accounts.entry(customer).or_default();
        if account.backlogged {
            self.order.remove(&(account.level(), customer));
        }
        act(account);
        if account.backlogged {
            self.order.insert((account.level(), customer));
        }
    }
}
