//! The platform's list of endpoints, as one VM reads it for the whole fleet.

use crate::config::Endpoint;
use crate::id::{EndpointId, Name};
use crate::view::View;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When it started, in Unix milliseconds, where the list tells.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Time for which it stays cold, in milliseconds from the moment at which this is told.
    pub cold_ms: u32,
}

impl Entry {
    /// Key of this start of the endpoint.
    ///
    /// One that starts again under its name has forgotten everything. Known by its
    /// name alone, it would be sent prompts for the parts that it had kept, and the
    /// failures of its earlier life would count against it.
    pub fn id(&self) -> EndpointId {
        match self.started_ms {
            None => EndpointId::of(&self.endpoint.name),
            Some(started_ms) => EndpointId::of_start(&self.endpoint.name, started_ms),
        }
    }
}

/// All endpoints at one reading.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listing {
    /// A number drawn for this content.
    pub id: u64,
    /// The endpoints, in the order of their names.
    pub endpoints: Vec<Entry>,
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
    pub set: Vec<Entry>,
    /// Names of those that are gone.
    pub gone: Vec<Name>,
}

/// Endpoints of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Count {
    /// The service.
    pub service: Name,
    /// Region of the data centre.
    pub region: Name,
    /// The data centre.
    pub data_centre: Name,
    /// How many there are.
    pub all: u32,
    /// How many of them do not leave.
    #[serde(rename = "open")]
    pub available: u32,
}

/// How many endpoints there are, told in place of a listing that is too long for all
/// processes to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Census {
    /// Number of the listing at which it changed last.
    pub id: u64,
    /// By service and data centre.
    pub counts: Vec<Count>,
}

/// Counts endpoints, each with whether it leaves.
pub fn count_endpoints<'a, E>(endpoints: E) -> Vec<Count>
where
    E: IntoIterator<Item = (&'a Endpoint, bool)>,
{
    let mut counts: BTreeMap<(&Name, &Name, &Name), (u32, u32)> = BTreeMap::new();
    for (endpoint, leaves) in endpoints {
        let key = (&endpoint.service, &endpoint.region, &endpoint.data_centre);
        let (all, available) = counts.entry(key).or_default();
        *all += 1;
        *available += u32::from(!leaves);
    }
    let each = counts.into_iter();
    each.map(|((service, region, data_centre), (all, available))| Count {
        service: service.clone(),
        region: region.clone(),
        data_centre: data_centre.clone(),
        all,
        available,
    })
    .collect()
}

impl Listing {
    /// Whether it has an endpoint of this name.
    pub fn contains(&self, name: &Name) -> bool {
        let found = self
            .endpoints
            .binary_search_by(|l| l.endpoint.name.cmp(name));
        found.is_ok()
    }

    /// What turns `old` into this listing.
    pub fn diff_from(&self, old: &Listing) -> Change {
        let before: BTreeMap<&Name, &Entry> = (old.endpoints.iter())
            .map(|l| (&l.endpoint.name, l))
            .collect();
        let now: BTreeSet<&Name> = self.endpoints.iter().map(|l| &l.endpoint.name).collect();
        let is_news = |l: &&Entry| before.get(&l.endpoint.name) != Some(l);
        let gone = before.keys().copied().filter(|name| !now.contains(name));
        Change {
            base: old.id,
            id: self.id,
            gone: gone.cloned().collect(),
            set: self.endpoints.iter().filter(is_news).cloned().collect(),
        }
    }

    /// This listing after a change; `None` if the change is of another one.
    pub fn with_change(&self, change: &Change) -> Option<Listing> {
        if change.base != self.id {
            return None;
        }
        let kept = self.endpoints.iter().map(|l| (&l.endpoint.name, l));
        let mut all: BTreeMap<&Name, &Entry> = kept.collect();
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
        view.add_listing(listing);
        view
    }

    /// Adds the endpoints of a listing to those that are known.
    pub fn add_listing(&mut self, listing: &Listing) {
        for listed in &listing.endpoints {
            let id = listed.id();
            let known = self.config.endpoints.contains_key(&id);
            if known || self.config.service(&listed.endpoint.service).is_none() {
                continue;
            }
            self.config.endpoints.insert(id, listed.endpoint.clone());
            if listed.leaving {
                self.leaving.insert(id);
            }
        }
    }

    /// Puts counts in place of a listing whose endpoints are not all held here.
    pub fn set_census(&mut self, census: &Census) {
        let own = self.config.endpoints.iter();
        let own = count_endpoints(own.map(|(id, endpoint)| (endpoint, self.leaving.contains(id))));
        self.census = Some(own.into_iter().chain(census.counts.clone()).collect());
    }

    /// Whether some endpoints are not held here, but counted alone.
    pub fn is_partial(&self) -> bool {
        self.census.is_some()
    }

    /// Endpoints of each service in each data centre, held here or not.
    pub fn endpoint_counts(&self) -> Cow<'_, [Count]> {
        if let Some(census) = &self.census {
            return Cow::Borrowed(census);
        }
        let held = self.config.endpoints.iter();
        let held = held.map(|(id, endpoint)| (endpoint, self.leaving.contains(id)));
        Cow::Owned(count_endpoints(held))
    }
}
