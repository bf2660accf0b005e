//! Whose request gets the next free slot, and where.

use super::queue::Key;
use super::Scheduler;
use crate::prelude::*;
use crate::slot::{Criteria, Reservations};

/// Asks that are looked at for one grant. Those behind them wait anyway, and each
/// costs a look at some tens of engines.
const LOOK: usize = 24;
/// Asks of the customer whose turn it is that are looked at before one of another.
const TURN: usize = 8;
/// Remote asks among whom the least served is sought.
const REMOTES: usize = 64;

/// An ask whose turn has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Next {
    pub(super) key: Key,
    pub(super) ask: Ask,
    pub(super) endpoint: EndpointId,
}

/// What a look at an ask shows.
enum Look {
    /// It is to start.
    Start(Next),
    /// It is better off waiting.
    Wait,
    /// There is no such ask.
    Missing,
}

impl Scheduler {
    /// The ask to serve next, and where.
    ///
    /// Customers come by the service that they have received, and each one's asks
    /// in their order. An ask that is better off waiting for its endpoint is passed
    /// over, but what it will take there counts for those behind it.
    pub(super) fn next(&mut self, now: Millis) -> Option<Next> {
        if !self.may_grant(now) {
            return None;
        }
        let mut claims = Reservations::default();
        let is_pressed = self.pace.is_pressed(now);
        let in_time = self.next_own(now, is_pressed, &mut claims);
        if in_time.is_some() {
            return in_time;
        }
        // What is late takes an engine from what would be in time behind it.
        let late = match claims.is_late_only() {
            true => self.next_own(now, false, &mut claims),
            false => None,
        };
        late.or_else(|| self.next_remote(now))
    }

    /// Whether any engine would take any ask that can be looked at: if none would, the
    /// look is spared.
    fn may_grant(&mut self, now: Millis) -> bool {
        let own = self.queue.longest_aim_ms();
        let remotes = self.remotes.iter().take(REMOTES);
        let remote = remotes.map(|(_, ask)| ask.aim_ms).max();
        let aim_ms = own.max(remote);
        aim_ms.is_some_and(|aim_ms| self.slots.may_begin(now, u64::from(aim_ms)))
    }

    /// The same among the asks of this region: some of the customer that has least service,
    /// then one of each customer, and so on.
    ///
    /// The oldest asks of a customer that floods cannot start: they are late everywhere, or
    /// wait for their engine. If each of them lost it the turn, a customer that asks for most
    /// would get least.
    fn next_own(
        &mut self,
        now: Millis,
        only_in_time: bool,
        claims: &mut Reservations,
    ) -> Option<Next> {
        let customers: SmallVec<[CustomerId; 32]> = self.ledger.backlogged().collect();
        let (first, _) = customers.split_first()?;
        let mut looked = 0;
        for n in 0..TURN {
            looked += 1;
            match self.look(now, *first, n, only_in_time, claims) {
                Look::Start(next) => return Some(next),
                Look::Wait => {}
                Look::Missing => break,
            }
        }
        for round in 0..LOOK {
            let mut any = false;
            for (place, customer) in customers.iter().enumerate() {
                if looked > LOOK {
                    return None;
                }
                looked += 1;
                let n = if place == 0 { round + TURN } else { round };
                match self.look(now, *customer, n, only_in_time, claims) {
                    Look::Start(next) => return Some(next),
                    Look::Wait => any = true,
                    Look::Missing => {}
                }
            }
            if !any {
                break;
            }
        }
        None
    }

    /// Looks at the `n`th ask of a customer.
    fn look(
        &mut self,
        now: Millis,
        customer: CustomerId,
        n: usize,
        only_in_time: bool,
        claims: &mut Reservations,
    ) -> Look {
        let Some((key, waiting)) = self.queue.of(customer).nth(n) else {
            return Look::Missing;
        };
        let ask = waiting.ask;
        let criteria = waiting.criteria(now, key.0, only_in_time);
        if !self.may_start(now, &ask) {
            return Look::Wait;
        }
        match self.slots.choose(now, criteria, claims) {
            Some(endpoint) => Look::Start(Next { key, ask, endpoint }),
            None => Look::Wait,
        }
    }

    /// Whether the limits of an ask's class let it start.
    pub(super) fn may_start(&mut self, now: Millis, ask: &Ask) -> bool {
        let class = self.class(now, ask.class);
        let full = ask.concurrency != 0 && class.running >= ask.concurrency;
        !full && class.bucket.as_mut().is_none_or(|b| b.has_token(now))
    }

    /// The remote ask to serve next, once nobody of this region can start: of the
    /// first few, the least served one.
    pub(super) fn next_remote(&mut self, now: Millis) -> Option<Next> {
        let first = self.remotes.iter().take(REMOTES);
        let level = |(_, ask): &&(Key, Ask)| self.ledger.level(ask.class.customer);
        let (key, ask) = first.min_by_key(level).copied()?;
        let criteria = Criteria {
            session: Some(key.0 .0),
            prompt: ask.prompt,
            avoid: ask.avoid,
            aim_ms: u64::from(ask.aim_ms),
            slack_ms: 0,
            only_in_time: false,
        };
        let endpoint = self
            .slots
            .choose(now, criteria, &mut Reservations::default())?;
        Some(Next { key, ask, endpoint })
    }
}
