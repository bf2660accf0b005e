//! Endpoints by id, and by an index that stays the same for as long as they are known.

use super::Endpoint;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Index of an endpoint in the table, reused after the endpoint was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Index(pub(super) u32);

impl Index {
    pub(super) fn as_usize(self) -> usize {
        // CAST: it is the index of a vector.
        self.0 as usize
    }
}

/// Endpoints by id and by index.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    indices: BTreeMap<EndpointId, Index>,
    endpoints: Vec<Option<Endpoint>>,
    vacant: Vec<Index>,
}

impl Table {
    /// The index of an endpoint.
    pub(super) fn index_of(&self, id: EndpointId) -> Option<Index> {
        self.indices.get(&id).copied()
    }

    /// The endpoint at an index.
    pub(super) fn at(&self, index: Index) -> Option<&Endpoint> {
        self.endpoints.get(index.as_usize())?.as_ref()
    }

    /// The endpoint at an index, to change it.
    pub(super) fn at_mut(&mut self, index: Index) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(index.as_usize())?.as_mut()
    }

    /// The endpoint with an id.
    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.at(self.index_of(id)?)
    }

    /// All endpoints, ordered by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        let indices = self.indices.iter();
        indices.filter_map(|(id, index)| Some((*id, self.at(*index)?)))
    }

    /// All endpoints, ordered by index.
    pub(super) fn values(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().flatten()
    }

    /// All endpoints, ordered by index, to change them.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut().flatten()
    }

    /// The index of an endpoint, which is created by `make` if it is unknown.
    pub(super) fn index_or_insert<F>(&mut self, id: EndpointId, make: F) -> Index
    where
        F: FnOnce() -> Endpoint,
    {
        if let Some(index) = self.index_of(id) {
            return index;
        }
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.endpoints.push(None);
            // CAST: endpoint ids have 32 bits.
            Index((self.endpoints.len() - 1) as u32)
        });
        if let Some(endpoint) = self.endpoints.get_mut(index.as_usize()) {
            *endpoint = Some(make());
        }
        self.indices.insert(id, index);
        index
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, id: EndpointId) -> Option<(Index, Endpoint)> {
        let index = self.indices.remove(&id)?;
        self.vacant.push(index);
        let endpoint = self.endpoints.get_mut(index.as_usize())?.take()?;
        Some((index, endpoint))
    }

    /// Ids of the endpoints for which `keep` is false.
    pub(super) fn rejected_by<F>(&self, keep: F) -> Vec<EndpointId>
    where
        F: Fn(EndpointId) -> bool,
    {
        let ids = self.indices.keys().copied();
        ids.filter(|id| !keep(*id)).collect()
    }
}
