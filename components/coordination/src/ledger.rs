//! Virtual service counters: who has received how much.
//!
//! Method: virtual token counters (Sheng et al., "Fairness in Serving Large
//! Language Models", OSDI 2024), charged at the grant with an estimate, raised
//! as the answer streams, settled when it ends.

use state::id::CustomerId;
use std::collections::{BTreeMap, BTreeSet};

/// Virtual units for one unit of cost at weight 1.
pub const VIRTUAL_PER_COST: u64 = 1000;

/// One customer's account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Account {
    /// Virtual service of ended requests, and lifts. Only grows.
    settled: u64,
    /// Virtual service of requests in progress, as charged so far.
    running: u64,
    /// Whether it has work waiting.
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
    floor: u64,
    open: bool,
}

/// Virtual service of `cost` units at `weight`.
pub fn virtual_cost(cost: u32, weight: u32) -> u64 {
    u64::from(cost) * VIRTUAL_PER_COST / u64::from(weight.max(1))
}

impl Ledger {
    /// Virtual service of ended requests, for others to remember.
    pub fn settled(&self, customer: CustomerId) -> u64 {
        self.accounts.get(&customer).map_or(0, |a| a.settled)
    }

    /// Virtual service with requests in progress.
    pub fn level(&self, customer: CustomerId) -> u64 {
        self.accounts.get(&customer).map_or(0, Account::level)
    }

    /// All customers with their settled service.
    pub fn all(&self) -> impl Iterator<Item = (CustomerId, u64)> + '_ {
        self.accounts.iter().map(|(id, a)| (*id, a.settled))
    }

    /// Backlogged customers, least served first.
    pub fn backlogged(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.order.iter().map(|(_, customer)| *customer)
    }

    /// Takes over what a router remembers of an earlier epoch.
    ///
    /// Settled service only grows, so the largest memory is the latest one,
    /// and merging the same memory twice changes nothing.
    pub fn restore(&mut self, customer: CustomerId, settled: u64) {
        self.change(customer, |a| a.settled = a.settled.max(settled));
    }

    /// The least settled service of a customer that waits.
    ///
    /// What is charged for requests in progress does not count: it is an
    /// estimate, and whoever starts at a level that is taken back later would
    /// wait for all others to reach it again.
    pub fn floor(&self) -> u64 {
        let waiting = self.backlogged().map(|customer| self.settled(customer));
        waiting.min().unwrap_or(self.floor)
    }

    /// Begins to grant, with the floor that an earlier epoch reached.
    ///
    /// Until then nobody is lifted: a customer that is behind the others by
    /// right would be lifted to whoever happened to be told first, and what it
    /// is owed would be forgotten with each change of scheduler.
    pub fn open(&mut self, floor: u64) {
        self.open = true;
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

    fn lift(&mut self, customer: CustomerId, floor: u64) {
        self.change(customer, |a| {
            a.settled = a.settled.max(floor);
        });
    }

    /// Marks whether a customer has work waiting.
    ///
    /// One that returns from idleness starts at the floor:
    /// without it, an idle spell would be stored up as a claim to the whole
    /// fleet, seen as every other customer waiting while it catches up.
    pub fn set_backlogged(&mut self, customer: CustomerId, backlogged: bool) {
        let was = self.accounts.get(&customer).is_some_and(|a| a.backlogged);
        if was == backlogged {
            return;
        }
        if backlogged && self.open {
            self.lift(customer, self.floor());
        }
        self.change(customer, |a| a.backlogged = backlogged);
    }

    /// Charges the estimate of a granted request.
    pub fn charge(&mut self, customer: CustomerId, amount: u64) {
        self.floor = self.floor.max(self.settled(customer));
        self.change(customer, |a| a.running = a.running.saturating_add(amount));
    }

    /// Replaces what a request in progress is charged.
    pub fn recharge(&mut self, customer: CustomerId, old: u64, new: u64) {
        self.change(customer, |a| {
            a.running = a.running.saturating_sub(old).saturating_add(new);
        });
    }

    /// Ends a request: its charge gives way to its cost.
    pub fn settle(&mut self, customer: CustomerId, charged: u64, cost: u64) {
        self.change(customer, |a| {
            a.running = a.running.saturating_sub(charged);
            a.settled = a.settled.saturating_add(cost);
        });
    }

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
