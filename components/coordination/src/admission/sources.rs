//! Addresses that callers' connections come from, and the customers behind them.
//!
//! The key of a request on a connection that is closed unread is never seen. Its customer is known
//! all the same if a request from the same address was read not long before.

use state::clock::Millis;
use state::id::CustomerId;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

/// Most addresses that are tracked. Connections from further ones are counted together.
pub const ADDRESSES_MAX: usize = 1024;
/// Time without a connection or request after which an address is forgotten, in milliseconds.
const FORGET_MS: u64 = 30_000;

/// Counts of one address since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    /// Customer of the last request from there whose key is known.
    customer: Option<CustomerId>,
    /// Last connection or request from there.
    seen_at: Millis,
    admitted: u64,
    unread: u64,
}

/// Connections of one customer since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The customer; `None` for addresses from which no request with a known key was read.
    pub customer: Option<CustomerId>,
    /// Addresses with a connection.
    pub addresses: usize,
    /// Connections that were admitted.
    pub admitted: u64,
    /// Connections that were closed unread.
    pub unread: u64,
}

/// Addresses of callers, with the connections of each since the last report.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    rows: HashMap<IpAddr, Row>,
    /// Counts of the addresses that are not tracked.
    others: Row,
}

impl Sources {
    /// Counts a connection that was admitted.
    pub fn admit(&mut self, now: Millis, address: IpAddr) {
        self.row(now, address).admitted += 1;
    }

    /// Counts a connection that was closed unread.
    pub fn turn_away(&mut self, now: Millis, address: IpAddr) {
        self.row(now, address).unread += 1;
    }

    /// Records whose key a request from an address had.
    pub fn identify(&mut self, now: Millis, address: IpAddr, customer: CustomerId) {
        if let Some(row) = self.rows.get_mut(&address) {
            row.customer = Some(customer);
            row.seen_at = now;
        }
    }

    /// Connections by customer since the last call, those with most closed unread first. Addresses
    /// that were not seen for long are forgotten.
    pub fn take_summaries(&mut self, now: Millis) -> Vec<Summary> {
        let mut sums: BTreeMap<Option<CustomerId>, Summary> = BTreeMap::new();
        let rows = self.rows.values_mut().chain([&mut self.others]);
        for row in rows.filter(|row| row.admitted + row.unread > 0) {
            let sum = sums.entry(row.customer).or_insert(Summary {
                customer: row.customer,
                addresses: 0,
                admitted: 0,
                unread: 0,
            });
            sum.addresses += 1;
            sum.admitted += std::mem::take(&mut row.admitted);
            sum.unread += std::mem::take(&mut row.unread);
        }
        self.rows
            .retain(|_, row| now.since(row.seen_at) < FORGET_MS);
        let mut sums: Vec<Summary> = sums.into_values().collect();
        sums.sort_by_key(|sum| std::cmp::Reverse(sum.unread));
        sums
    }

    fn row(&mut self, now: Millis, address: IpAddr) -> &mut Row {
        let has_room = self.rows.len() < ADDRESSES_MAX || self.rows.contains_key(&address);
        let row = match has_room {
            true => self.rows.entry(address).or_default(),
            false => &mut self.others,
        };
        row.seen_at = now;
        row
    }
}
