//! Measured load of the first attempts, by customer.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Shortest time of one sample, in milliseconds.
const SAMPLE_MS: u64 = 100;
/// Time over which the load is averaged, in milliseconds: shorter than the shortest honoured
/// return time of about a second, so that the end of a burst is seen before its callers return.
const AVERAGE_MS: u64 = 500;
/// Most customers whose load is measured.
const CUSTOMERS_MAX: usize = 256;

/// Load of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    /// Cost that arrived during the current sample.
    arrived: u64,
    /// Average, in thousandths of a unit of cost per second.
    milli_per_s: u64,
}

/// Cost of the first attempts that arrive per second.
///
/// The load of customers beyond [`CUSTOMERS_MAX`] is not measured by customer; it counts as that of
/// customers with less service than all others.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    customers: BTreeMap<CustomerId, Load>,
    others: Load,
    /// Start of the current sample.
    sample_at: Millis,
}

impl Load {
    /// Ends a sample of `sample_ms`.
    fn sample(&mut self, sample_ms: u64) {
        let sample = self.arrived * 1_000_000 / sample_ms;
        let weight_ms = sample_ms.min(AVERAGE_MS);
        self.milli_per_s =
            (self.milli_per_s * (AVERAGE_MS - weight_ms) + sample * weight_ms) / AVERAGE_MS;
        self.arrived = 0;
    }
}

impl Demand {
    /// Counts a first attempt that arrives.
    pub(super) fn record(&mut self, customer: CustomerId, cost: u32) {
        let has_room = self.customers.len() < CUSTOMERS_MAX;
        let load = match self.customers.get_mut(&customer) {
            Some(load) => load,
            None if has_room => self.customers.entry(customer).or_default(),
            None => &mut self.others,
        };
        load.arrived += u64::from(cost);
    }

    /// Takes a sample if one is due.
    pub(super) fn tick(&mut self, now: Millis) {
        let sample_ms = now.since(self.sample_at);
        if sample_ms < SAMPLE_MS {
            return;
        }
        self.sample_at = now;
        self.others.sample(sample_ms);
        self.customers.retain(|_, load| {
            load.sample(sample_ms);
            load.milli_per_s > 0
        });
    }

    /// Load of the customers for which `is_counted` is true, in units of cost per second.
    pub(super) fn sum<F>(&self, is_counted: F) -> u64
    where
        F: Fn(CustomerId) -> bool,
    {
        let counted = self.customers.iter().filter(|(c, _)| is_counted(**c));
        let counted = counted.map(|(_, load)| load.milli_per_s).sum::<u64>();
        (counted + self.others.milli_per_s).div_ceil(1000)
    }
}
