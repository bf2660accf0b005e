//! Endpoints in places that they keep for as long as they are known.

use super::Slot;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Where an endpoint stands in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place(pub(super) u32);

impl Place {
    pub(super) fn index(self) -> usize {
        // CAST: a place is the index of a vector.
        self.0 as usize
    }
}

/// Endpoints by their number, and by their place without a search.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    places: BTreeMap<EndpointId, Place>,
    slots: Vec<Option<Slot>>,
    vacant: Vec<Place>,
}

impl Table {
    /// Where an endpoint stands.
    pub(super) fn place(&self, id: EndpointId) -> Option<Place> {
        self.places.get(&id).copied()
    }

    /// The endpoint at a place.
    pub(super) fn at(&self, place: Place) -> Option<&Slot> {
        self.slots.get(place.index())?.as_ref()
    }

    /// The same, to change it.
    pub(super) fn at_mut(&mut self, place: Place) -> Option<&mut Slot> {
        self.slots.get_mut(place.index())?.as_mut()
    }

    /// An endpoint by its number.
    pub(super) fn get(&self, id: EndpointId) -> Option<&Slot> {
        self.at(self.place(id)?)
    }

    /// All endpoints, in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointId, &Slot)> {
        let places = self.places.iter();
        places.filter_map(|(id, place)| Some((*id, self.at(*place)?)))
    }

    /// All endpoints.
    pub(super) fn values(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().flatten()
    }

    /// All endpoints, to change them.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Slot> {
        self.slots.iter_mut().flatten()
    }

    /// The place of an endpoint, which `make` makes if it is new.
    pub(super) fn place_or_insert<F>(&mut self, id: EndpointId, make: F) -> Place
    where
        F: FnOnce() -> Slot,
    {
        if let Some(place) = self.place(id) {
            return place;
        }
        let place = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            // CAST: endpoints are numbered by 32 bits.
            Place((self.slots.len() - 1) as u32)
        });
        if let Some(slot) = self.slots.get_mut(place.index()) {
            *slot = Some(make());
        }
        self.places.insert(id, place);
        place
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, id: EndpointId) -> Option<(Place, Slot)> {
        let place = self.places.remove(&id)?;
        self.vacant.push(place);
        let slot = self.slots.get_mut(place.index())?.take()?;
        Some((place, slot))
    }

    /// Endpoints that `keep` refuses.
    pub(super) fn refused<F>(&self, keep: F) -> Vec<EndpointId>
    where
        F: Fn(EndpointId) -> bool,
    {
        let ids = self.places.keys().copied();
        ids.filter(|id| !keep(*id)).collect()
    }
}
