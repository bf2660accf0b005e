//! The share that the fleet guarantees to a customer.
//!
//! A customer is constrained in a window of six seconds if, in each of them, some of its requests
//! are refused or wait longer than their target latency. It is owed, for each second of the
//! window, the smaller of its own demand and the service of the customer that got most in the
//! window. It must get at least half of that.

use crate::simulation::{Second, Simulation};
use std::collections::BTreeMap;
use std::fmt;

/// Length of a window over which shares are compared.
const WINDOW_S: u64 = 6;
/// Requests of the largest size that a customer may lack beyond half of its share.
const SLACK_REQUESTS: u64 = 3;
/// Prompt tokens of the largest request.
const REQUEST_TOKENS_MAX: u64 = 19_000;

/// A window in which a customer got less than the guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Breach {
    /// First second of the window.
    pub(crate) from_s: u64,
    pub(crate) customer: u32,
    /// Customer that got most in the window.
    pub(crate) best: u32,
    /// Sum over the seconds of the smaller of the customer's demand and the service of `best`.
    pub(crate) owed_tokens: u64,
    /// Tokens that the customer got.
    pub(crate) served_tokens: u64,
    /// Tokens that `best` got.
    pub(crate) best_tokens: u64,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "from {} s: customer {} was owed {} tokens and got {}; customer {} got {}",
            self.from_s,
            self.customer,
            self.owed_tokens,
            self.served_tokens,
            self.best,
            self.best_tokens
        )
    }
}

impl Simulation {
    /// Demand and service of a customer in a second.
    fn usage(&self, second: u64, customer: u32) -> Second {
        let all = self.seconds.get(&second);
        all.and_then(|all| all.get(&customer))
            .copied()
            .unwrap_or_default()
    }

    /// Whether a customer is constrained in all seconds of the window that starts at `from_s`.
    fn waits_throughout(&self, from_s: u64, customer: u32) -> bool {
        let mut all = (from_s..from_s + WINDOW_S).map(|second| self.usage(second, customer));
        all.all(|s| s.refused > 0 || s.is_overdue)
    }

    /// Breaches of the guarantee in all windows that start at `from_s` or later.
    pub(crate) fn breaches(&self, from_s: u64) -> Vec<Breach> {
        let now_s = self.now_ms / 1000;
        let starts = from_s..(now_s + 1).saturating_sub(WINDOW_S).max(from_s);
        starts.flat_map(|from_s| self.breaches_at(from_s)).collect()
    }

    /// Breaches in the window that starts at `from_s`.
    fn breaches_at(&self, from_s: u64) -> Vec<Breach> {
        let window = from_s..from_s + WINDOW_S;
        let mut totals: BTreeMap<u32, u64> = BTreeMap::new();
        for (customer, second) in window
            .clone()
            .filter_map(|s| self.seconds.get(&s))
            .flatten()
        {
            *totals.entry(*customer).or_default() += second.served_tokens;
        }
        let Some((best, best_tokens)) = totals
            .iter()
            .max_by_key(|(_, served_tokens)| **served_tokens)
        else {
            return Vec::new();
        };
        let waiting = (totals.iter()).filter(|(c, _)| self.waits_throughout(from_s, **c));
        let breach = |(customer, served_tokens): (&u32, &u64)| {
            let owed_tokens = |second| {
                let best_tokens = self.usage(second, *best).served_tokens;
                self.usage(second, *customer).asked_tokens.min(best_tokens)
            };
            Breach {
                from_s,
                customer: *customer,
                best: *best,
                owed_tokens: window.clone().map(owed_tokens).sum(),
                served_tokens: *served_tokens,
                best_tokens: *best_tokens,
            }
        };
        let is_short = |b: &Breach| {
            2 * (b.served_tokens + SLACK_REQUESTS * REQUEST_TOKENS_MAX) < b.owed_tokens
        };
        waiting.map(breach).filter(is_short).collect()
    }

    /// Smallest fraction of its share that a constrained customer got in any window from `from_s`.
    pub(crate) fn least_share(&self, from_s: u64) -> f64 {
        let now_s = self.now_ms / 1000;
        let mut least = f64::INFINITY;
        for from_s in from_s..(now_s + 1).saturating_sub(WINDOW_S) {
            for (customer, share) in self.shares_at(from_s) {
                if self.waits_throughout(from_s, customer) {
                    least = least.min(share);
                }
            }
        }
        least
    }

    /// Fraction of its share that each customer got in the window that starts at `from_s`.
    fn shares_at(&self, from_s: u64) -> Vec<(u32, f64)> {
        let window = from_s..from_s + WINDOW_S;
        let served_tokens =
            |c: u32| -> u64 { window.clone().map(|s| self.usage(s, c).served_tokens).sum() };
        let customers: Vec<u32> = self.tallies.keys().copied().collect();
        let Some(best) = customers.iter().copied().max_by_key(|c| served_tokens(*c)) else {
            return Vec::new();
        };
        let owed_tokens = |c: u32| -> u64 {
            let each = window.clone();
            each.map(|s| {
                self.usage(s, c)
                    .asked_tokens
                    .min(self.usage(s, best).served_tokens)
            })
            .sum()
        };
        let share = |c: &u32| (*c, served_tokens(*c) as f64 / owed_tokens(*c).max(1) as f64);
        customers.iter().map(share).collect()
    }
}
