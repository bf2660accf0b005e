//! When refused callers return: bounded counts of how many were told to return in which 50 ms.
//!
//! A caller has one retry. If it returns while the router still has no room, its request is lost.
//! A burst of 100 callers within 100 ms comes to a router that admits 300 requests a second and
//! gets 200 a second besides. Told to return within 200 ms, all would meet a router that has room
//! for 20 of them; spread over a second, all are served.

use super::{Period, Rate, RETRY_MAX_MS, RETRY_MIN_MS, RETRY_SPREAD_MS};
use crate::overload::{BYPASSED_AFTER_MS, OVERLOAD_LATENESS_MS};
use state::clock::Millis;

/// Length of a slot, in milliseconds.
const SLOT_MS: u64 = 50;
/// Number of slots: together they cover the time after which load balancers send returning callers
/// to other routers.
const SLOTS: usize = 40;
const _: () = assert!(SLOTS as u64 * SLOT_MS == BYPASSED_AFTER_MS);
/// Time over which arrivals are averaged, in milliseconds: a little less than the longest time
/// that callers honour. A burst that is short against it is not taken for what will arrive.
const ARRIVALS_WINDOW_MS: u64 = 1000;
/// Part of the rate that the router has shown to serve that arriving and returning requests may
/// take together, in percent. Arrivals vary by chance, and the measured rate by an eighth.
const ROOM_PERCENT: u64 = 90;
/// Divisor of a caller's timeout that gives the longest time for which it honours `Retry-After`.
const HONOURED_DIVISOR: u64 = 3;

/// A refused caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// Time since this router has reported that it is not ready, in milliseconds; `None` if it is
    /// ready.
    pub unready_ms: Option<u64>,
    /// Time for which the caller waits in all, in milliseconds, if it has said so.
    pub timeout_ms: Option<u64>,
    /// Spreads callers that are told the same slot.
    pub random: u64,
}

impl Refused {
    /// Longest time for which the caller honours `Retry-After`, in milliseconds.
    fn honoured_ms(&self) -> u64 {
        let honoured_ms = self.timeout_ms.map(|ms| ms / HONOURED_DIVISOR);
        honoured_ms.unwrap_or(RETRY_MAX_MS).max(RETRY_MIN_MS)
    }
}

/// Numbers of callers that were told to return, for each slot of the next two seconds.
#[derive(Clone, Debug)]
pub struct Returns {
    /// Callers by slot; slot `n` since the clock's origin is at the index `n % SLOTS`.
    told: [u32; SLOTS],
    /// Number of the current slot. Its callers and those of earlier slots were due.
    slot: u64,
    /// Callers that were due since the last probe.
    due_now: u64,
    /// Connections and requests that arrived.
    arrivals: Rate,
    /// Callers that were due.
    due: Rate,
    /// Requests that were served.
    served: Rate,
    /// Requests that the router has shown to serve for a second, in thousandths per second. The
    /// limit of admissions is no measure of that: it doubles within a second in which tasks are on
    /// time.
    sustained: u64,
    /// Requests that may be admitted, in thousandths per second; `None` without a limit.
    limit: Option<u64>,
    /// Callers for whom there was no room in the time that they honour.
    crowded: u64,
}

impl Default for Returns {
    fn default() -> Self {
        Returns {
            told: [0; SLOTS],
            slot: 0,
            due_now: 0,
            arrivals: Rate::default(),
            due: Rate::default(),
            served: Rate::default(),
            sustained: 0,
            limit: None,
            crowded: 0,
        }
    }
}

impl Returns {
    /// Takes the work since the last probe and the limit that follows from it, in thousandths of a
    /// request per second.
    pub fn probe(&mut self, now: Millis, period: Period, limit: Option<u64>) {
        self.advance(now);
        let Period {
            arrivals,
            length_ms,
            late_ms,
            requests,
            served,
            ..
        } = period;
        let arrived = arrivals.admitted.max(requests) + arrivals.refused + arrivals.closed;
        self.arrivals.add(arrived, length_ms, ARRIVALS_WINDOW_MS);
        let due = std::mem::take(&mut self.due_now);
        self.due.add(due, length_ms, ARRIVALS_WINDOW_MS);
        self.served.add(served, length_ms, ARRIVALS_WINDOW_MS);
        self.sustained = match late_ms >= OVERLOAD_LATENESS_MS {
            true => self.sustained.min(self.served.0),
            false => self.sustained.max(self.served.0),
        };
        self.limit = limit;
    }

    /// Tells a refused caller after how many milliseconds to return, and counts it.
    ///
    /// It is told the first slot from which on all that were told before have room, if that is
    /// within the time that it honours, and otherwise the slot within this time that the fewest
    /// were told, the last of several. A caller that can wait until load balancers have noticed
    /// that this router is not ready reaches another router, and is not counted.
    pub fn tell(&mut self, now: Millis, refused: Refused) -> u64 {
        self.advance(now);
        let honoured_ms = refused.honoured_ms();
        let spread = |from: u64, length: u64| from + refused.random % (length + 1);
        if let Some(unready_ms) = refused.unready_ms {
            let left_ms = BYPASSED_AFTER_MS.saturating_sub(unready_ms);
            if left_ms == 0 {
                let most_ms = honoured_ms.min(RETRY_MAX_MS);
                return spread(RETRY_MIN_MS, most_ms - RETRY_MIN_MS);
            }
            let is_honoured = refused.timeout_ms.is_none() || left_ms <= honoured_ms;
            if is_honoured {
                return spread(left_ms.max(RETRY_MIN_MS), RETRY_SPREAD_MS);
            }
        }
        let first = (now.0 + RETRY_MIN_MS).div_ceil(SLOT_MS);
        let end = ((now.0 + honoured_ms) / SLOT_MS).min(self.slot + SLOTS as u64);
        let slots = first..end.max(first + 1);
        let with_room = self.first_with_room(first);
        let slot = match with_room.filter(|slot| slots.contains(slot)) {
            Some(slot) => slot,
            None => {
                self.crowded += u64::from(self.limit.is_some());
                let fewest = slots.rev().min_by_key(|slot| self.told[index(*slot)]);
                fewest.unwrap_or(first)
            }
        };
        let told = &mut self.told[index(slot)];
        *told = told.saturating_add(1);
        slot * SLOT_MS - now.0 + refused.random % SLOT_MS
    }

    /// Callers that were told to return and are not due yet.
    pub fn pending(&self) -> u64 {
        self.told.iter().copied().map(u64::from).sum()
    }

    /// Callers for whom there was no room in the time that they honour.
    pub fn crowded(&self) -> u64 {
        self.crowded
    }

    /// The first slot, not before `first`, from which on one more caller has room; `None` if there
    /// is none in the next two seconds, or without a known limit.
    fn first_with_room(&self, first: u64) -> Option<u64> {
        let fresh = self.arrivals.0.saturating_sub(self.due.0);
        let limit = self.limit?.min(self.sustained) * ROOM_PERCENT / 100;
        let per_slot = limit.saturating_sub(fresh) * SLOT_MS / 1000;
        let (mut room, mut told) = (0, 0);
        let mut found = None;
        for slot in self.slot..self.slot + SLOTS as u64 {
            room += per_slot;
            told += u64::from(self.told[index(slot)]) * 1000;
            found = match told + 1000 <= room && slot >= first {
                true => found.or(Some(slot)),
                false => None,
            };
        }
        found
    }

    /// Counts the callers of slots that have passed as due.
    fn advance(&mut self, now: Millis) {
        let slot = now.0 / SLOT_MS;
        // CAST: the number of slots is small.
        let passed = slot.saturating_sub(self.slot).min(SLOTS as u64);
        for step in 0..passed {
            let told = &mut self.told[index(self.slot + step)];
            self.due_now += u64::from(std::mem::take(told));
        }
        self.slot = self.slot.max(slot);
    }
}

fn index(slot: u64) -> usize {
    // CAST: below the number of slots.
    (slot % SLOTS as u64) as usize
}
