//! Appointments: places that a scheduler books for the callers that it refuses.
//!
//! Load: bursts of several times the capacity, in which each refused caller returns once, at the
//! time that it was told. Without appointments all callers of a burst return within half a second,
//! compete anew with each other and with new requests, and are lost with the second refusal.
//!
//! Time is divided into slots. Each slot has room for a part of the throughput that first attempts
//! leave, of which each customer may book a share by its weight. A booking is accepted if the
//! bookings until its slot, and until every later one, fit into the room until then.
//!
//! A caller that returns is recognised by its customer, rule and prompt. If new requests of the
//! customer could take its place, they would: in a burst many more of them arrive.

use crate::prelude::*;
use crate::prompt::{mix, UNSHARED_KEY};
use std::collections::BTreeMap;

/// Length of a slot, in milliseconds.
pub const SLOT_MS: u64 = 100;
/// Number of slots ahead that can be booked.
pub const SLOTS_MAX: u64 = 100;
/// Most customers with places.
pub const CUSTOMERS_MAX: usize = 256;
/// Most different places of a customer. A place takes about 40 bytes, so that a full table takes
/// 5 MB.
pub const PLACES_MAX: usize = 512;
/// Time before its slot at which an ask takes a place, in milliseconds: clocks and roundings of
/// callers differ.
pub const EARLY_MS: u64 = 100;
/// Time after its slot until which a place is kept, in milliseconds: connections to a router
/// under load take some hundreds of milliseconds.
pub const LATE_MS: u64 = 500;
/// Part of the room left by first attempts that can be booked, in percent.
const BOOKED_PERCENT: u64 = 50;
/// Number of slots of which the booked cost is kept. It exceeds the slots from the oldest place
/// that is kept to the farthest one that can be booked.
const RING_SLOTS: u64 = 128;

/// A request for an appointment.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Customer and rule.
    pub class: Class,
    /// Prompt of the request.
    pub prompt: Prompt,
    /// Fair-share weight of the customer.
    pub weight: u32,
    /// Expected cost.
    pub cost: u32,
    /// Shortest time until the appointment, in milliseconds.
    pub after_ms: u64,
    /// Longest time until the appointment, in milliseconds.
    pub limit_ms: u64,
    /// Spreads the appointments of one slot.
    pub jitter: u64,
}

/// What the scheduler can serve.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Cost per second that first attempts leave.
    pub room_per_s: u64,
    /// Usable slots. Fewer than at the booking means that capacity was lost.
    pub slots: u32,
}

/// Places in one slot for requests of a customer that look the same.
#[derive(Clone, Copy, Debug, Default)]
struct Place {
    /// Number of appointments.
    booked: u32,
    /// Number of callers that were refused without an appointment.
    unbooked: u32,
    /// Cost of the appointments.
    cost: u64,
    /// [`Capacity::slots`] at the last booking.
    slots: u32,
}

/// Booked cost by slot, for the [`RING_SLOTS`] slots from the oldest one that is kept.
#[derive(Clone, Debug, Default)]
struct Costs {
    /// Costs by the remainder of the slot; empty until the first booking.
    by_slot: Vec<u64>,
    total: u64,
}

impl Costs {
    fn add(&mut self, slot: u64, cost: u64) {
        if self.by_slot.is_empty() && cost > 0 {
            self.by_slot = vec![0; RING_SLOTS as usize];
        }
        if let Some(booked) = self.at_mut(slot) {
            *booked += cost;
            self.total += cost;
        }
    }

    fn remove(&mut self, slot: u64, cost: u64) {
        if let Some(booked) = self.at_mut(slot) {
            let removed = cost.min(*booked);
            *booked -= removed;
            self.total -= removed;
        }
    }

    fn at(&self, slot: u64) -> u64 {
        // CAST: the remainder is small.
        let index = (slot % RING_SLOTS) as usize;
        self.by_slot.get(index).copied().unwrap_or(0)
    }

    fn at_mut(&mut self, slot: u64) -> Option<&mut u64> {
        // CAST: the remainder is small.
        self.by_slot.get_mut((slot % RING_SLOTS) as usize)
    }

    /// Cost in the slots from `first` to `last`, at most [`RING_SLOTS`] of them.
    fn sum(&self, first: u64, last: u64) -> u64 {
        if self.total == 0 {
            return 0;
        }
        let last = last.min(first + RING_SLOTS - 1);
        (first..=last).map(|slot| self.at(slot)).sum()
    }

    /// The slots from `first` on with bookings, with their costs.
    fn from(&self, first: u64) -> impl Iterator<Item = (u64, u64)> + '_ {
        let slots = (first..first + RING_SLOTS).take(self.by_slot.len());
        slots
            .map(|slot| (slot, self.at(slot)))
            .filter(|(_, cost)| *cost > 0)
    }
}

/// Places of one customer.
#[derive(Clone, Debug, Default)]
struct Customer {
    weight: u32,
    /// Places by slot and [`identity`].
    places: BTreeMap<(u64, u64), Place>,
    costs: Costs,
}

/// A refused caller that has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// It had an appointment; [`Capacity::slots`] at the time of the booking.
    Booked(u32),
    /// It was refused without an appointment, and has used its retry.
    Unbooked,
}

/// Numbers of appointments since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Appointments booked.
    pub booked: u64,
    /// Appointments whose place was taken by an ask.
    pub kept: u64,
    /// Appointments whose time passed without an ask.
    pub missed: u64,
    /// Asks that took a place and were refused, since capacity was lost.
    pub refused: u64,
    /// Refusals without an appointment, since no place was free in time.
    pub unbooked: u64,
}

/// Appointments of all customers of a shard.
#[derive(Clone, Debug, Default)]
pub struct Appointments {
    customers: BTreeMap<CustomerId, Customer>,
    /// Booked cost of all customers.
    costs: Costs,
    /// Number of appointments whose caller has not returned.
    booked: u64,
    /// The oldest slot whose places are kept.
    first: u64,
    counts: Counts,
}

/// Identity of a request among those of its customer: a hash of its rule and prompt.
pub(crate) fn identity(rule: u16, prompt: &Prompt) -> u64 {
    let parts = prompt.parts();
    let parts = parts.map(|p| u64::from(p.key) << 32 | u64::from(p.tokens));
    parts.fold(mix(u64::from(rule)), |hash, part| mix(hash ^ part))
}

/// Whether a request can be told from the others of its customer and rule.
pub(crate) fn is_distinct(prompt: &Prompt) -> bool {
    prompt.first_key() != 0 && prompt.first_key() != UNSHARED_KEY
}

/// The slot that contains a time.
fn slot_at(time: Millis) -> u64 {
    time.0 / SLOT_MS
}

/// The oldest slot whose places are kept.
fn first_kept(now: Millis) -> u64 {
    slot_at(Millis(now.0.saturating_sub(LATE_MS))).saturating_sub(1)
}

/// The first slot from `first` on such that `cost` fits into it and into all later ones.
/// `costs` are the booked costs by slot, in order; `milli_per_s` is the room for bookings from
/// `now` on, in thousandths of a unit of cost per second: a slot may have room for less than one
/// unit.
fn first_with_room<I>(costs: I, now: u64, first: u64, milli_per_s: u64, cost: u64) -> u64
where
    I: Iterator<Item = (u64, u64)>,
{
    // A slot without bookings has more room than the one before it, so it is enough to check
    // the slots with bookings.
    let room = milli_per_s.saturating_mul(SLOT_MS).max(1);
    let slots_for = |total: u64| total.saturating_mul(1_000_000).div_ceil(room);
    let mut total = cost;
    let mut slot = first.max(now.saturating_add(slots_for(total)));
    for (booked_at, booked) in costs {
        total = total.saturating_add(booked);
        let needed = now.saturating_add(slots_for(total));
        if needed > booked_at || booked_at <= slot {
            slot = slot.max(needed);
        }
    }
    slot
}

impl Appointments {
    /// Numbers of appointments since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of places that are booked now.
    pub fn places(&self) -> u64 {
        self.booked
    }

    /// Customers with places.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.customers.keys().copied()
    }

    /// Booked cost of a customer that returns within a time, or that has not returned yet.
    pub fn due_cost(&self, now: Millis, customer: CustomerId, within_ms: u64) -> u64 {
        let customer = self.customers.get(&customer);
        customer.map_or(0, |c| {
            c.costs.sum(self.first, slot_at(now.after(within_ms)))
        })
    }

    /// Booked cost that returns within a time, or that has not returned yet, of each customer
    /// that has any.
    pub fn due_costs(
        &self,
        now: Millis,
        within_ms: u64,
    ) -> impl Iterator<Item = (CustomerId, u64)> + '_ {
        let last = slot_at(now.after(within_ms));
        let due = move |(id, c): (&CustomerId, &Customer)| (*id, c.costs.sum(self.first, last));
        let all = (self.costs.total > 0).then_some(&self.customers);
        all.into_iter()
            .flatten()
            .map(due)
            .filter(|(_, cost)| *cost > 0)
    }

    /// Books the first place with room. Returns the time until the appointment, in milliseconds,
    /// or `None` if no place is free in time.
    ///
    /// `waiting` are the customers with waiting asks, with their weights: each of them is left
    /// its share of the room.
    pub fn book<I>(
        &mut self,
        now: Millis,
        request: Request,
        capacity: Capacity,
        waiting: I,
    ) -> Option<u64>
    where
        I: IntoIterator<Item = (CustomerId, u32)>,
    {
        self.expire(now);
        let slot = self.first_free(now, request, capacity, waiting)?;
        let limit_ms = request.limit_ms.min(SLOTS_MAX * SLOT_MS);
        let start_ms = slot.saturating_mul(SLOT_MS).saturating_sub(now.0);
        if start_ms >= limit_ms {
            return None;
        }
        let cost = u64::from(request.cost).max(1);
        let place = self.place(slot, request)?;
        place.booked += 1;
        place.cost += cost;
        place.slots = place.slots.max(capacity.slots);
        if let Some(customer) = self.customers.get_mut(&request.class.customer) {
            customer.costs.add(slot, cost);
        }
        self.costs.add(slot, cost);
        self.booked += 1;
        self.counts.booked += 1;
        Some(start_ms + request.jitter % SLOT_MS.min(limit_ms - start_ms))
    }

    /// Remembers a caller that is told to return after `after_ms` without an appointment, so that
    /// it gets none when it is refused again: it does not return a second time.
    pub fn expect_unbooked(&mut self, now: Millis, request: Request, after_ms: u64) {
        self.expire(now);
        self.counts.unbooked += 1;
        let after_ms = after_ms.min(SLOTS_MAX * SLOT_MS);
        if let Some(place) = self.place(slot_at(now.after(after_ms)), request) {
            place.unbooked += 1;
        }
    }

    /// The place of a request in a slot, which is created if needed; `None` if a table is full.
    fn place(&mut self, slot: u64, request: Request) -> Option<&mut Place> {
        let is_known = self.customers.contains_key(&request.class.customer);
        if !is_known && self.customers.len() >= CUSTOMERS_MAX {
            return None;
        }
        let key = (slot, identity(request.class.rule, &request.prompt));
        let customer = self.customers.entry(request.class.customer).or_default();
        if !customer.places.contains_key(&key) && customer.places.len() >= PLACES_MAX {
            return None;
        }
        customer.weight = request.weight;
        Some(customer.places.entry(key).or_default())
    }

    /// The first slot in which a request fits into the room of all customers and into the share
    /// of its own.
    fn first_free<I>(
        &self,
        now: Millis,
        request: Request,
        capacity: Capacity,
        waiting: I,
    ) -> Option<u64>
    where
        I: IntoIterator<Item = (CustomerId, u32)>,
    {
        let of = request.class.customer;
        let cost = u64::from(request.cost).max(1);
        let milli_per_s = capacity.room_per_s.saturating_mul(10 * BOOKED_PERCENT);
        let weight = u64::from(request.weight.max(1));
        let others = self.customers.iter().map(|(c, b)| (*c, b.weight));
        let waiting = waiting.into_iter();
        let waiting = waiting.filter(|(c, _)| !self.customers.contains_key(c));
        let others = others.chain(waiting).filter(|(c, _)| *c != of);
        let total = weight + others.map(|(_, w)| u64::from(w.max(1))).sum::<u64>();
        let share = milli_per_s / total * weight;
        if share == 0 {
            return None;
        }
        let first = now.after(request.after_ms).0.div_ceil(SLOT_MS);
        let current = slot_at(now);
        let all = self.costs.from(self.first);
        let slot = first_with_room(all, current, first, milli_per_s, cost);
        let customer = self.customers.get(&of);
        let own = customer.into_iter().flat_map(|c| c.costs.from(self.first));
        Some(slot.max(first_with_room(own, current, first, share, cost)))
    }

    /// Takes a place of a request that is due now: the oldest appointment, or else the oldest
    /// place of a caller without one.
    pub fn take(&mut self, now: Millis, class: Class, prompt: &Prompt) -> Option<Return> {
        let of = identity(class.rule, prompt);
        let customer = self.customers.get_mut(&class.customer)?;
        let is_due = |slot: &u64| now.0 <= (slot + 1) * SLOT_MS + LATE_MS;
        let due = (first_kept(now)..=slot_at(now.after(EARLY_MS))).filter(is_due);
        let mut unbooked = None;
        let mut booked = None;
        for slot in due {
            let Some(place) = customer.places.get(&(slot, of)) else {
                continue;
            };
            if place.booked > 0 {
                booked = Some(slot);
                break;
            }
            unbooked = unbooked.or(Some(slot));
        }
        let slot = booked.or(unbooked)?;
        let place = customer.places.get_mut(&(slot, of))?;
        let mut returned = Return::Unbooked;
        if booked.is_some() {
            let cost = place.cost / u64::from(place.booked.max(1));
            place.booked -= 1;
            place.cost -= cost;
            returned = Return::Booked(place.slots);
            customer.costs.remove(slot, cost);
            self.costs.remove(slot, cost);
            self.booked -= 1;
            self.counts.kept += 1;
        } else {
            place.unbooked = place.unbooked.saturating_sub(1);
        }
        if place.booked == 0 && place.unbooked == 0 {
            customer.places.remove(&(slot, of));
        }
        if customer.places.is_empty() {
            self.customers.remove(&class.customer);
        }
        Some(returned)
    }

    /// Counts an ask that took a place and was refused.
    pub fn record_refused(&mut self) {
        self.counts.refused += 1;
    }

    /// Frees the places whose time is over.
    pub fn expire(&mut self, now: Millis) {
        let first = first_kept(now);
        if first <= self.first {
            return;
        }
        self.first = first;
        let mut missed = 0;
        let costs = &mut self.costs;
        self.customers.retain(|_, customer| {
            while let Some(oldest) = customer.places.first_entry() {
                let slot = oldest.key().0;
                if slot >= first {
                    break;
                }
                let place = oldest.remove();
                customer.costs.remove(slot, place.cost);
                costs.remove(slot, place.cost);
                missed += u64::from(place.booked);
            }
            !customer.places.is_empty()
        });
        self.booked = self.booked.saturating_sub(missed);
        self.counts.missed += missed;
    }
}
