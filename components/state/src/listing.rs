//! The platform's list of endpoints, as one VM reads it for the whole fleet.

use crate::config::Endpoint;
use crate::id::{EndpointId, Name};
use crate::view::View;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listed {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When it started, in Unix milliseconds, where the list tells.
    pub born: Option<u64>,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Time for which it stays cold, in milliseconds from the moment at which this is told.
    pub cold_ms: u32,
}

impl Listed {
    /// Key of this start of the endpoint.
    ///
    /// One that starts again under its name has forgotten everything. Known by its
    /// name alone, it would be sent prompts for the parts that it had kept, and the
    /// failures of its earlier life would count against it.
    pub fn id(&self) -> EndpointId {
        match self.born {
            None => EndpointId::of(&self.endpoint.name),
            Some(born) => EndpointId::of_start(&self.endpoint.name, born),
        }
    }
}

/// All endpoints at one reading.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listing {
    /// A number drawn for this content.
    pub id: u64,
    /// The endpoints.
    pub endpoints: Vec<Listed>,
}

/// What turns one listing into the next.
///
/// The list grows with the fleet, and so does how often it changes: sent whole each time, it
/// would cost bytes with the square of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// Number of the listing before.
    pub base: u64,
    /// Number of the listing after it.
    pub id: u64,
    /// Endpoints that are new or changed.
    pub set: Vec<Listed>,
    /// Names of those that are gone.
    pub gone: Vec<Name>,
}

impl Listing {
    /// What turns `old` into this listing.
    pub fn change_from(&self, old: &Listing) -> Change {
        let before: BTreeMap<&Name, &Listed> = (old.endpoints.iter())
            .map(|l| (&l.endpoint.name, l))
            .collect();
        let now: BTreeSet<&Name> = self.endpoints.iter().map(|l| &l.endpoint.name).collect();
        let is_news = |l: &&Listed| before.get(&l.endpoint.name) != Some(l);
        let gone = before.keys().copied().filter(|name| !now.contains(name));
        Change {
            base: old.id,
            id: self.id,
            gone: gone.cloned().collect(),
            set: self.endpoints.iter().filter(is_news).cloned().collect(),
        }
    }

    /// This listing after a change; `None` if the change is of another one.
    pub fn changed(&self, change: &Change) -> Option<Listing> {
        if change.base != self.id {
            return None;
        }
        let kept = self.endpoints.iter().map(|l| (&l.endpoint.name, l));
        let mut all: BTreeMap<&Name, &Listed> = kept.collect();
        for name in &change.gone {
            all.remove(name);
        }
        all.extend(change.set.iter().map(|l| (&l.endpoint.name, l)));
        Some(Listing {
            id: change.id,
            endpoints: all.into_values().cloned().collect(),
        })
    }
}

impl View {
    /// This view with the endpoints of a listing besides those of its
    /// configuration.
    pub fn with_listing(&self, listing: &Listing) -> View {
        let mut view = self.clone();
        for listed in &listing.endpoints {
            let id = listed.id();
            let known = view.config.endpoints.contains_key(&id);
            if known || view.config.service(&listed.endpoint.service).is_none() {
                continue;
            }
            view.config.endpoints.insert(id, listed.endpoint.clone());
            if listed.leaving {
                view.leaving.insert(id);
            }
        }
        view
    }
}
