//! Departures that the platform's list of VMs tells.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Lists in a row that an endpoint must be missing from.
pub const MISSING_LISTS: u32 = 2;

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// Address of an endpoint.
    pub address: SocketAddr,
    /// Its state.
    pub state: State,
}

/// What follows from a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint gets no new work.
    Leaving(EndpointId),
    /// The endpoint is back.
    Returned(EndpointId),
}

/// What was learned from earlier lists.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    /// Endpoints that were listed as live, with how often they were missing since.
    seen: BTreeMap<EndpointId, u32>,
    /// Endpoints whose departure this watch has announced. Those that operators
    /// announced are theirs to take back.
    announced: BTreeSet<EndpointId>,
}

impl Watch {
    /// Compares a list with the view.
    ///
    /// The list lags and may be wrong. One that lacks more than half of the
    /// endpoints that were live says more of the platform than of them: taken at
    /// its change, an empty list would stop the whole fleet. Only what it says in
    /// so many words counts then.
    pub fn compare(&mut self, view: &View, list: &[Entry]) -> SmallVec<[Change; 4]> {
        let states: BTreeMap<SocketAddr, State> = list
            .iter()
            .map(|entry| (entry.address, entry.state))
            .collect();
        let endpoints = &view.config.endpoints;
        self.seen.retain(|id, _| endpoints.contains_key(id));
        self.announced.retain(|id| endpoints.contains_key(id));
        let mut missing = BTreeSet::new();
        let mut words = SmallVec::new();
        for (id, endpoint) in endpoints {
            let leaving = view.leaving.contains(id);
            match states.get(&endpoint.address) {
                Some(State::Leaving) if !leaving => words.push(self.leaves(*id)),
                Some(State::Leaving) => {}
                Some(State::Live) => {
                    self.seen.insert(*id, 0);
                    if leaving && self.announced.remove(id) {
                        words.push(Change::Returned(*id));
                    }
                }
                None if self.seen.contains_key(id) => {
                    missing.insert(*id);
                }
                None => {}
            }
        }
        if missing.len() * 2 > self.seen.len() {
            return words;
        }
        for id in missing {
            let times = self.seen.entry(id).or_default();
            *times += 1;
            if *times >= MISSING_LISTS && !view.leaving.contains(&id) {
                words.push(self.leaves(id));
            }
        }
        words
    }

    fn leaves(&mut self, id: EndpointId) -> Change {
        self.announced.insert(id);
        Change::Leaving(id)
    }
}
