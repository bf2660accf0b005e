//! Appointments: places that a scheduler books for the callers that it refuses.
//!
//! Load: bursts of several times the capacity, in which each refused caller returns once, at the
//! time that it was told. Without appointments all callers of a burst return within half a second,
//! compete anew with each other and with new requests, and are lost with the second refusal.
//!
//! Time is divided into slots. Each slot has room for a part of the measured throughput, of which
//! each customer may book a share by its weight. A booking is accepted if the bookings until its
//! slot, and until every later one, fit into the room until then.
//!
//! A caller that returns is recognised by its customer, rule and prompt. If new requests of the
//! customer could take its place, they would: in a burst many more of them arrive.

use crate::prelude::*;
use crate::prompt::mix;
use std::collections::BTreeMap;

/// Length of a slot, in milliseconds.
pub const SLOT_MS: u64 = 100;
/// Number of slots ahead that can be booked.
pub const SLOTS_MAX: u64 = 100;
/// Most customers with bookings.
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
/// Part of the throughput that can be booked, in percent. A booked retry displaces a first attempt,
/// which is more likely to be on time, so most of the throughput stays unbooked.
const BOOKED_PERCENT: u64 = 10;

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
    /// Cost of the requests that are started per second.
    pub cost_per_s: u64,
    /// Usable slots. Fewer than at the booking means that capacity was lost.
    pub slots: u32,
}

/// Places in one slot for requests of a customer that look the same.
#[derive(Clone, Copy, Debug, Default)]
struct Place {
    count: u32,
    /// Booked cost; 0 for callers that were refused without an appointment.
    cost: u64,
    /// [`Capacity::slots`] at the last booking.
    slots: u32,
}

/// Bookings of one customer.
#[derive(Clone, Debug, Default)]
struct Customer {
    weight: u32,
    /// Places by slot and [`identity`].
    places: BTreeMap<(u64, u64), Place>,
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
    /// Booked cost of all customers by slot.
    costs: BTreeMap<u64, u64>,
    counts: Counts,
}

/// Identity of a request among those of its customer: a hash of its rule and prompt.
fn identity(rule: u16, prompt: &Prompt) -> u64 {
    let parts = prompt.parts();
    let parts = parts.map(|p| u64::from(p.key) << 32 | u64::from(p.tokens));
    parts.fold(mix(u64::from(rule)), |hash, part| mix(hash ^ part))
}

/// The slot that contains a time.
fn slot_at(time: Millis) -> u64 {
    time.0 / SLOT_MS
}

/// The first slot from `first` on such that `cost` fits into it and into all later ones.
/// `costs` are the booked costs by slot, in order; `room` is the room of each slot after `now`.
fn first_with_room<I>(costs: I, now: u64, first: u64, room: u64, cost: u64) -> u64
where
    I: Iterator<Item = (u64, u64)>,
{
    // A slot without bookings has more room than the one before it, so it is enough to check
    // the slots with bookings.
    let slots_for = |total: u64| total.div_ceil(room.max(1));
    let mut total = cost;
    let mut slot = first.max(now + slots_for(total));
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
        let places = self.customers.values().flat_map(|c| c.places.values());
        let places = places.filter(|place| place.cost > 0);
        places.map(|place| u64::from(place.count)).sum()
    }

    /// Customers with bookings.
    pub fn customers(&self) -> impl Iterator<Item = CustomerId> + '_ {
        self.customers.keys().copied()
    }

    /// Booked cost of a customer that returns within a time, or that has not returned yet.
    pub fn due_cost(&self, now: Millis, customer: CustomerId, within_ms: u64) -> u64 {
        let Some(customer) = self.customers.get(&customer) else {
            return 0;
        };
        let last = slot_at(now.after(within_ms));
        let due = customer.places.range(..=(last, u64::MAX));
        due.map(|(_, place)| place.cost).sum()
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
        let slot = self.first_free(now, request, capacity, waiting)?;
        let limit_ms = request.limit_ms.min(SLOTS_MAX * SLOT_MS);
        let start_ms = (slot * SLOT_MS).saturating_sub(now.0);
        if start_ms >= limit_ms || !self.add(slot, request, u64::from(request.cost), capacity.slots)
        {
            return None;
        }
        self.counts.booked += 1;
        Some(start_ms + request.jitter % SLOT_MS.min(limit_ms - start_ms))
    }

    /// Remembers a caller that is told to return after `after_ms` without an appointment, so that
    /// it gets none when it is refused again: it does not return a second time.
    pub fn expect_unbooked(&mut self, now: Millis, request: Request, after_ms: u64) {
        self.counts.unbooked += 1;
        self.add(slot_at(now.after(after_ms)), request, 0, 0);
    }

    /// Adds a place to a slot. Returns false if a table is full.
    fn add(&mut self, slot: u64, request: Request, cost: u64, slots: u32) -> bool {
        let is_known = self.customers.contains_key(&request.class.customer);
        if !is_known && self.customers.len() >= CUSTOMERS_MAX {
            return false;
        }
        let key = (slot, identity(request.class.rule, &request.prompt));
        let customer = self.customers.entry(request.class.customer).or_default();
        if !customer.places.contains_key(&key) && customer.places.len() >= PLACES_MAX {
            return false;
        }
        customer.weight = request.weight;
        let place = customer.places.entry(key).or_default();
        place.count += 1;
        place.cost += cost;
        place.slots = place.slots.max(slots);
        *self.costs.entry(slot).or_default() += cost;
        true
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
        let Request { class, cost, .. } = request;
        let cost = u64::from(cost);
        let room = capacity.cost_per_s * SLOT_MS / 1000 * BOOKED_PERCENT / 100;
        let mut weights: BTreeMap<CustomerId, u32> =
            self.customers.iter().map(|(c, b)| (*c, b.weight)).collect();
        weights.extend(waiting);
        let weight = request.weight.max(1);
        weights.insert(class.customer, weight);
        let total: u64 = weights.values().map(|w| u64::from((*w).max(1))).sum();
        let share = room * u64::from(weight) / total.max(1);
        if share == 0 {
            return None;
        }
        let first = now.after(request.after_ms).0.div_ceil(SLOT_MS);
        let current = slot_at(now);
        let all = self.costs.iter().map(|(slot, cost)| (*slot, *cost));
        let slot = first_with_room(all, current, first, room, cost);
        let customer = self.customers.get(&class.customer);
        let places = customer.into_iter().flat_map(|c| &c.places);
        let own = places.map(|((slot, _), place)| (*slot, place.cost));
        Some(slot.max(first_with_room(own, current, first, share, cost)))
    }

    /// Takes the oldest place of a request that is booked for now.
    pub fn take(&mut self, now: Millis, class: Class, prompt: &Prompt) -> Option<Return> {
        let of = identity(class.rule, prompt);
        let last = slot_at(now.after(EARLY_MS));
        let customer = self.customers.get_mut(&class.customer)?;
        let mut due = customer.places.range_mut(..=(last, u64::MAX));
        let (key, place) = due.find(|((slot, identity), _)| {
            *identity == of && now.0 <= (slot + 1) * SLOT_MS + LATE_MS
        })?;
        let (key, slots) = (*key, place.slots);
        let cost = place.cost / u64::from(place.count.max(1));
        place.count = place.count.saturating_sub(1);
        place.cost -= cost;
        let is_last = place.count == 0;
        if is_last {
            customer.places.remove(&key);
        }
        if customer.places.is_empty() {
            self.customers.remove(&class.customer);
        }
        self.release(key.0, cost);
        if cost == 0 {
            return Some(Return::Unbooked);
        }
        self.counts.kept += 1;
        Some(Return::Booked(slots))
    }

    /// Removes a cost from a slot.
    fn release(&mut self, slot: u64, cost: u64) {
        if let Some(booked) = self.costs.get_mut(&slot) {
            *booked = booked.saturating_sub(cost);
            if *booked == 0 {
                self.costs.remove(&slot);
            }
        }
    }

    /// Counts an ask that took a place and was refused.
    pub fn record_refused(&mut self) {
        self.counts.refused += 1;
    }

    /// Frees the places whose time is over.
    pub fn expire(&mut self, now: Millis) {
        // The first slot whose places are still kept.
        let first = slot_at(Millis(now.0.saturating_sub(LATE_MS))).saturating_sub(1);
        if self
            .costs
            .first_key_value()
            .is_none_or(|(s, _)| *s >= first)
        {
            return;
        }
        self.costs = self.costs.split_off(&first);
        let counts = &mut self.counts;
        self.customers.retain(|_, customer| {
            let kept = customer.places.split_off(&(first, 0));
            let over = std::mem::replace(&mut customer.places, kept);
            let missed = over.values().filter(|p| p.cost > 0);
            counts.missed += missed.map(|p| u64::from(p.count)).sum::<u64>();
            !customer.places.is_empty()
        });
    }
}
