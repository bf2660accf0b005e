//! Selection of the ask that is granted next, and of its endpoint.

use super::queue::Key;
use super::Scheduler;
use crate::messages::Objective;
use crate::prelude::*;
use crate::slot::{Criteria, Reservations};

/// Most asks that are examined for one grant. Asks behind them wait in any case, and each
/// examination visits some tens of engines.
const EXAMINED_MAX: usize = 24;
/// Asks of the customer with the least service that are examined before one of another
/// customer.
const FIRST_CUSTOMER_ASKS: usize = 8;
/// Asks of other regions among which the customer with the least service is searched.
const REMOTE_ASKS_EXAMINED: usize = 64;

/// An ask that can be granted now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Next {
    pub(super) key: Key,
    pub(super) ask: Ask,
    pub(super) objective: Objective,
    pub(super) endpoint: EndpointId,
}

/// Result of the examination of an ask.
enum Outcome {
    /// The ask can be granted.
    Grant(Next),
    /// The ask is better off waiting.
    Wait,
    /// The customer has no such ask.
    Missing,
}

impl Scheduler {
    /// The ask to grant next, with its endpoint.
    ///
    /// Customers are ordered by the service that they have received, and the asks of each
    /// customer by priority and deadline. An ask that is better off waiting for its endpoint is
    /// passed over, but reserves its work there before the asks behind it.
    pub(super) fn next(&mut self, now: Millis) -> Option<Next> {
        if !self.may_grant(now) {
            return None;
        }
        let mut reservations = Reservations::default();
        let is_saturated = self.throughput.is_saturated(now);
        let in_time = self.next_own(now, is_saturated, &mut reservations);
        if in_time.is_some() {
            return in_time;
        }
        // A late ask must not take an engine from an ask behind it that would be in time.
        let late = match reservations.is_late_only() {
            true => self.next_own(now, false, &mut reservations),
            false => None,
        };
        late.or_else(|| self.next_remote(now))
    }

    /// Whether any endpoint might accept any waiting ask; if not, none is examined.
    fn may_grant(&mut self, now: Millis) -> bool {
        let own = self.queue.longest_aim_ms();
        let remotes = self.remote_asks.iter().take(REMOTE_ASKS_EXAMINED);
        let remote = remotes.map(|(_, ask, _)| ask.aim_ms).max();
        let aim_ms = own.max(remote);
        aim_ms.is_some_and(|aim_ms| self.slots.may_begin(now, u64::from(aim_ms)))
    }

    /// The ask of this region to grant next: some asks of the customer with the least service
    /// are examined, then one of each customer in turn.
    ///
    /// Often the oldest asks of a customer with excess demand cannot be granted, as they are
    /// late everywhere or wait for their engine. If each of them cost the customer its turn,
    /// the customer with the highest demand would get the least service.
    fn next_own(
        &mut self,
        now: Millis,
        only_in_time: bool,
        reservations: &mut Reservations,
    ) -> Option<Next> {
        let customers: SmallVec<[CustomerId; 32]> = self.ledger.backlogged().collect();
        let (first, _) = customers.split_first()?;
        let mut examined = 0;
        for n in 0..FIRST_CUSTOMER_ASKS {
            examined += 1;
            match self.examine(now, *first, n, only_in_time, reservations) {
                Outcome::Grant(next) => return Some(next),
                Outcome::Wait => {}
                Outcome::Missing => break,
            }
        }
        for round in 0..EXAMINED_MAX {
            let mut found_any = false;
            for (position, customer) in customers.iter().enumerate() {
                if examined > EXAMINED_MAX {
                    return None;
                }
                examined += 1;
                let n = if position == 0 {
                    round + FIRST_CUSTOMER_ASKS
                } else {
                    round
                };
                match self.examine(now, *customer, n, only_in_time, reservations) {
                    Outcome::Grant(next) => return Some(next),
                    Outcome::Wait => found_any = true,
                    Outcome::Missing => {}
                }
            }
            if !found_any {
                break;
            }
        }
        None
    }

    /// Examines the `n`th ask of a customer.
    fn examine(
        &mut self,
        now: Millis,
        customer: CustomerId,
        n: usize,
        only_in_time: bool,
        reservations: &mut Reservations,
    ) -> Outcome {
        let Some((key, waiting)) = self.queue.of(customer).nth(n) else {
            return Outcome::Missing;
        };
        let (ask, objective) = (waiting.ask, waiting.objective);
        let criteria = waiting.criteria(now, key.0, only_in_time);
        if !self.is_within_limits(now, &ask) {
            return Outcome::Wait;
        }
        let chosen = (self.slots).choose_for_stream(now, criteria, objective, reservations);
        match chosen {
            Some(endpoint) => Outcome::Grant(Next {
                key,
                ask,
                objective,
                endpoint,
            }),
            None => Outcome::Wait,
        }
    }

    /// Whether the concurrency and rate limits of an ask's class allow another request.
    pub(super) fn is_within_limits(&mut self, now: Millis, ask: &Ask) -> bool {
        let class = self.class(now, ask.class);
        let full = ask.concurrency != 0 && class.running >= ask.concurrency;
        !full && class.bucket.as_mut().is_none_or(|b| b.has_token(now))
    }

    /// The ask of another region to grant next, when no ask of this region can be granted: of
    /// the first ones, that of the customer with the least service.
    pub(super) fn next_remote(&mut self, now: Millis) -> Option<Next> {
        let first = self.remote_asks.iter().take(REMOTE_ASKS_EXAMINED);
        let level = |(_, ask, _): &&(Key, Ask, Objective)| self.ledger.level(ask.class.customer);
        let (key, ask, objective) = first.min_by_key(level).copied()?;
        let criteria = Criteria {
            session: Some(key.0 .0),
            prompt: ask.prompt,
            avoid: ask.avoid,
            aim_ms: u64::from(ask.aim_ms),
            slack_ms: 0,
            only_in_time: false,
            software: None,
        };
        let endpoint =
            self.slots
                .choose_for_stream(now, criteria, objective, &mut Reservations::default())?;
        Some(Next {
            key,
            ask,
            objective,
            endpoint,
        })
    }
}
