//! The share that a customer is owed: in any six seconds in which some of its requests are
//! refused or wait past their aim, it gets at least half of what it asks for, or of what
//! the best served customer gets, whichever is less in each second.

use crate::simulation::{Second, World};
use std::collections::BTreeMap;
use std::fmt;

/// Seconds that are judged together.
const WINDOW: u64 = 6;
/// Requests of the largest size that a customer may lack beside.
const SLACK: u64 = 3;
/// Tokens of the largest request.
const LARGEST: u64 = 19_000;

/// A customer that got less than its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Breach {
    /// First of the seconds.
    pub(crate) from: u64,
    pub(crate) customer: u32,
    /// The one that got most in them.
    pub(crate) best: u32,
    /// Tokens that it asked for, or that the best served one got, whichever is less.
    pub(crate) owed: u64,
    pub(crate) got: u64,
    pub(crate) best_got: u64,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "from {} s: customer {} was owed {} and got {}; customer {} got {}",
            self.from, self.customer, self.owed, self.got, self.best, self.best_got
        )
    }
}

impl World {
    fn of(&self, second: u64, customer: u32) -> Second {
        let all = self.seconds.get(&second);
        all.and_then(|all| all.get(&customer))
            .copied()
            .unwrap_or_default()
    }

    fn waits_all_through(&self, from: u64, customer: u32) -> bool {
        let mut all = (from..from + WINDOW).map(|second| self.of(second, customer));
        all.all(|s| s.refused > 0 || s.waited)
    }

    /// Customers that got less than their share, by the first second of each span.
    pub(crate) fn breaches(&self, from: u64) -> Vec<Breach> {
        let last = self.now / 1000;
        let starts = from..(last + 1).saturating_sub(WINDOW).max(from);
        starts.flat_map(|from| self.breaches_at(from)).collect()
    }

    fn breaches_at(&self, from: u64) -> Vec<Breach> {
        let span = from..from + WINDOW;
        let mut totals: BTreeMap<u32, u64> = BTreeMap::new();
        for (customer, second) in span.clone().filter_map(|s| self.seconds.get(&s)).flatten() {
            *totals.entry(*customer).or_default() += second.got;
        }
        let Some((best, best_got)) = totals.iter().max_by_key(|(_, got)| **got) else {
            return Vec::new();
        };
        let waiting = (totals.iter()).filter(|(c, _)| self.waits_all_through(from, **c));
        let breach = |(customer, got): (&u32, &u64)| {
            let owed = |second| {
                let best_got = self.of(second, *best).got;
                self.of(second, *customer).asked.min(best_got)
            };
            Breach {
                from,
                customer: *customer,
                best: *best,
                owed: span.clone().map(owed).sum(),
                got: *got,
                best_got: *best_got,
            }
        };
        let too_little = |b: &Breach| 2 * (b.got + SLACK * LARGEST) < b.owed;
        waiting.map(breach).filter(too_little).collect()
    }

    /// Least part of its share that a customer got in six seconds in which it waited.
    pub(crate) fn least_share(&self, from: u64) -> f64 {
        let last = self.now / 1000;
        let mut least = f64::INFINITY;
        for from in from..(last + 1).saturating_sub(WINDOW) {
            for (customer, share) in self.shares_at(from) {
                if self.waits_all_through(from, customer) {
                    least = least.min(share);
                }
            }
        }
        least
    }

    fn shares_at(&self, from: u64) -> Vec<(u32, f64)> {
        let span = from..from + WINDOW;
        let got = |c: u32| -> u64 { span.clone().map(|s| self.of(s, c).got).sum() };
        let customers: Vec<u32> = self.tallies.keys().copied().collect();
        let Some(best) = customers.iter().copied().max_by_key(|c| got(*c)) else {
            return Vec::new();
        };
        let owed = |c: u32| -> u64 {
            let each = span.clone();
            each.map(|s| self.of(s, c).asked.min(self.of(s, best).got))
                .sum()
        };
        let share = |c: &u32| (*c, got(*c) as f64 / owed(*c).max(1) as f64);
        customers.iter().map(share).collect()
    }
}
