//! The platform's list of endpoints, as processes send it to each other.

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
    /// When it started, in milliseconds since 1970, if the list says so.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Whether it drains: it gets no new requests.
    pub leaving: bool,
    /// Time for which it stays cold, in milliseconds from the sending of this entry.
    pub cold_ms: u32,
}

impl Entry {
    /// Number of this start of the endpoint.
    ///
    /// An endpoint that restarts under the same name has an empty cache. With a number derived
    /// from its name alone, it would get prompts for prefixes that it no longer holds, and its
    /// failures before the restart would still count.
    pub fn id(&self) -> EndpointId {
        match self.started_ms {
            None => EndpointId::of(&self.endpoint.name),
            Some(started_ms) => EndpointId::of_start(&self.endpoint.name, started_ms),
        }
    }
}

/// All listed endpoints at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listing {
    /// Random number that identifies this content.
    pub id: u64,
    /// The endpoints, sorted by name.
    pub endpoints: Vec<Entry>,
}

/// The difference between two listings.
///
/// The length of the list and the rate of its changes both grow with the fleet: sending it whole
/// each time would cost bytes in proportion to the square of the fleet's size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Change {
    /// Number of the listing to which the change applies.
    pub base: u64,
    /// Number of the listing after the change.
    pub id: u64,
    /// Entries that are new or changed.
    pub set: Vec<Entry>,
    /// Names of the removed endpoints.
    pub gone: Vec<Name>,
}

/// Number of endpoints of a service in a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Count {
    /// The service.
    pub service: Name,
    /// Region of the data centre.
    pub region: Name,
    /// The data centre.
    pub data_centre: Name,
    /// All endpoints.
    pub all: u32,
    /// Endpoints that do not drain.
    #[serde(rename = "open")]
    pub available: u32,
}

/// Endpoint counts that are sent in place of a listing that is too long for all processes to
/// hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Census {
    /// Number of the listing at which the counts last changed.
    pub id: u64,
    /// Counts by service and data centre.
    pub counts: Vec<Count>,
}

/// Counts endpoints; each comes with whether it drains.
pub fn count_endpoints<'a, E>(endpoints: E) -> Vec<Count>
where
    E: IntoIterator<Item = (&'a Endpoint, bool)>,
{
    let mut counts: BTreeMap<(&Name, &Name, &Name), (u32, u32)> = BTreeMap::new();
    for (endpoint, is_leaving) in endpoints {
        let key = (&endpoint.service, &endpoint.region, &endpoint.data_centre);
        let (all, available) = counts.entry(key).or_default();
        *all += 1;
        *available += u32::from(!is_leaving);
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
    /// Whether the listing has an endpoint with a name.
    pub fn contains(&self, name: &Name) -> bool {
        let found = self
            .endpoints
            .binary_search_by(|l| l.endpoint.name.cmp(name));
        found.is_ok()
    }

    /// The change that turns `old` into this listing.
    pub fn diff_from(&self, old: &Listing) -> Change {
        let before: BTreeMap<&Name, &Entry> = (old.endpoints.iter())
            .map(|l| (&l.endpoint.name, l))
            .collect();
        let now: BTreeSet<&Name> = self.endpoints.iter().map(|l| &l.endpoint.name).collect();
        let is_changed = |l: &&Entry| before.get(&l.endpoint.name) != Some(l);
        let gone = before.keys().copied().filter(|name| !now.contains(name));
        Change {
            base: old.id,
            id: self.id,
            gone: gone.cloned().collect(),
            set: self.endpoints.iter().filter(is_changed).cloned().collect(),
        }
    }

    /// This listing after a change; `None` if the change applies to another listing.
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
    /// A copy of this view with the endpoints of a listing added to those of its configuration.
    pub fn with_listing(&self, listing: &Listing) -> View {
        let mut view = self.clone();
        view.add_listing(listing);
        view
    }

    /// Adds the endpoints of a listing that the view does not have yet.
    pub fn add_listing(&mut self, listing: &Listing) {
        for entry in &listing.endpoints {
            let id = entry.id();
            let known = self.config.endpoints.contains_key(&id);
            if known || self.config.service(&entry.endpoint.service).is_none() {
                continue;
            }
            self.config.endpoints.insert(id, entry.endpoint.clone());
            if entry.leaving {
                self.leaving.insert(id);
            }
        }
    }

    /// Sets the counts of listed endpoints that this process does not hold, added to those of the
    /// configuration.
    pub fn set_census(&mut self, census: &Census) {
        let own = self.config.endpoints.iter();
        let own = count_endpoints(own.map(|(id, endpoint)| (endpoint, self.leaving.contains(id))));
        self.census = Some(own.into_iter().chain(census.counts.clone()).collect());
    }

    /// Whether this process holds only the counts of some endpoints.
    pub fn is_partial(&self) -> bool {
        self.census.is_some()
    }

    /// Number of endpoints of each service in each data centre, held by this process or not.
    pub fn endpoint_counts(&self) -> Cow<'_, [Count]> {
        if let Some(census) = &self.census {
            return Cow::Borrowed(census);
        }
        let own = self.config.endpoints.iter();
        let own = own.map(|(id, endpoint)| (endpoint, self.leaving.contains(id)));
        Cow::Owned(count_endpoints(own))
    }
}
