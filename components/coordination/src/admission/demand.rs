//! What the customers of a router ask of it, in connections and requests.
//!
//! Load balancers can send all callers of a large customer to one router, where 1,300 connections a
//! second arrive and 300 can be served. A router that turns callers away without regard to whose
//! they are serves a customer with three requests a second beside it as rarely as the large one, for
//! as long as the flood lasts. While more arrives than it can serve, it therefore first admits
//! callers of customers that bring only a small part of it.

use crate::prelude::*;
use std::collections::{BTreeMap, HashMap};

/// Most customers that are tracked. Further ones are counted together.
pub const CUSTOMERS_MAX: usize = 1024;
/// Time without an arrival after which a customer is forgotten, in milliseconds.
const FORGET_MS: u64 = 30_000;
/// Time over which arrivals are averaged, in milliseconds.
const WINDOW_MS: u64 = 1000;
/// Divisor of all arrivals that gives the largest part that a customer may bring and still be
/// admitted first.
const LIGHT_DIVISOR: u64 = 8;

/// Connections and requests that arrived within [`WINDOW_MS`], the older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
struct Inflow {
    /// In thousandths, at the time of the last arrival.
    sum: u64,
    counted_at: Millis,
}

impl Inflow {
    fn at(self, now: Millis) -> u64 {
        let left_ms = WINDOW_MS.saturating_sub(now.since(self.counted_at));
        self.sum * left_ms / WINDOW_MS
    }

    fn add(&mut self, now: Millis) {
        self.sum = self.at(now) + 1000;
        self.counted_at = self.counted_at.max(now);
    }
}

/// Arrivals of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    arrivals: Inflow,
    /// Requests read since the last report.
    asked: u64,
    /// Connections closed without an answer since the last report.
    unread: u64,
}

/// What arrived of one customer since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The customer; `None` for connections whose request had not arrived, and for customers that
    /// are not tracked.
    pub customer: Option<CustomerId>,
    /// Requests that were read.
    pub asked: u64,
    /// Connections that were closed without an answer.
    pub unread: u64,
}

/// What the customers of a router ask of it.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    rows: HashMap<CustomerId, Row>,
    /// Connections of unknown customers, and what arrived of customers that are not tracked.
    others: Row,
    /// Arrivals of all customers.
    arrivals: Inflow,
}

impl Demand {
    /// Counts a request that was read. Returns whether its customer brings little.
    pub fn ask(&mut self, now: Millis, customer: CustomerId) -> bool {
        self.arrive(now, Some(customer)).asked += 1;
        self.is_light(now, customer)
    }

    /// Counts a connection that is closed without an answer; `customer` is `None` if its request has
    /// not arrived.
    pub fn turn_away(&mut self, now: Millis, customer: Option<CustomerId>) {
        self.arrive(now, customer).unread += 1;
    }

    /// Whether a customer brings so little of what arrives that its callers are admitted before
    /// others.
    pub fn is_light(&self, now: Millis, customer: CustomerId) -> bool {
        let brought = self.rows.get(&customer).map(|row| row.arrivals.at(now));
        brought.unwrap_or(0) * LIGHT_DIVISOR <= self.arrivals.at(now)
    }

    /// What arrived by customer since the last call, those with most connections closed first.
    pub fn take_summaries(&mut self, now: Millis) -> Vec<Summary> {
        let rows = self.rows.iter_mut().map(|(id, row)| (Some(*id), row));
        let rows = rows.chain([(None, &mut self.others)]);
        let mut summaries = BTreeMap::new();
        for (customer, row) in rows.filter(|(_, row)| row.asked + row.unread > 0) {
            let summary = Summary {
                customer,
                asked: std::mem::take(&mut row.asked),
                unread: std::mem::take(&mut row.unread),
            };
            summaries.insert(customer, summary);
        }
        self.rows
            .retain(|_, row| now.since(row.arrivals.counted_at) < FORGET_MS);
        let mut summaries: Vec<Summary> = summaries.into_values().collect();
        summaries.sort_by_key(|summary| std::cmp::Reverse(summary.unread));
        summaries
    }

    fn arrive(&mut self, now: Millis, customer: Option<CustomerId>) -> &mut Row {
        self.arrivals.add(now);
        let has_room = self.rows.len() < CUSTOMERS_MAX;
        let tracked = customer.filter(|id| has_room || self.rows.contains_key(id));
        let row = match tracked {
            Some(id) => self.rows.entry(id).or_default(),
            None => &mut self.others,
        };
        row.arrivals.add(now);
        row
    }
}
