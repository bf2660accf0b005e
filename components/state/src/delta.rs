//! The difference between two configurations, as the log and the feed carry it.

use crate::config::{Config, Customer, Draft, Endpoint, Rule, Service};
use crate::id::{CustomerId, EndpointId, Name, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Items of one kind that were set or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Items<K, V> {
    /// Items that are new or changed.
    pub set: Vec<(K, V)>,
    /// Items that are gone.
    pub removed: Vec<K>,
}

/// What turns one configuration into the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Delta {
    /// Customers.
    pub customers: Items<CustomerId, Customer>,
    /// Services.
    pub services: Items<ServiceId, Service>,
    /// Endpoints.
    pub endpoints: Items<EndpointId, Endpoint>,
    /// All rules, when any of them changed: their order is their meaning.
    pub rules: Option<Vec<Rule>>,
    /// Next number to assign.
    pub next: u32,
}

impl Delta {
    /// The delta that turns `config` into what `draft` says.
    ///
    /// An item keeps its number as long as its name stays.
    pub fn between(config: &Config, draft: &Draft) -> Self {
        let mut next = config.next;
        Delta {
            customers: items(
                &config.customers,
                &draft.customers,
                |c| &c.name,
                || CustomerId(number(&mut next)),
            ),
            services: items(
                &config.services,
                &draft.services,
                |s| &s.name,
                || ServiceId(number(&mut next)),
            ),
            endpoints: items(
                &config.endpoints,
                &draft.endpoints,
                |e| &e.name,
                || EndpointId(number(&mut next)),
            ),
            rules: (config.rules != draft.rules).then(|| draft.rules.clone()),
            next,
        }
    }

    /// Applies the delta.
    pub fn apply(&self, config: &mut Config) {
        self.customers.apply(&mut config.customers);
        self.services.apply(&mut config.services);
        self.endpoints.apply(&mut config.endpoints);
        if let Some(rules) = &self.rules {
            config.rules.clone_from(rules);
        }
        config.next = self.next;
    }
}

impl<K, V> Items<K, V>
where
    K: Ord + Copy,
    V: Clone,
{
    fn apply(&self, all: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            all.remove(key);
        }
        for (key, value) in &self.set {
            all.insert(*key, value.clone());
        }
    }
}

fn number(next: &mut u32) -> u32 {
    let number = *next;
    *next += 1;
    number
}

fn items<K, V, N, F>(old: &BTreeMap<K, V>, new: &[V], name: N, mut fresh: F) -> Items<K, V>
where
    K: Ord + Copy,
    V: Clone + PartialEq,
    N: Fn(&V) -> &Name,
    F: FnMut() -> K,
{
    let ids: BTreeMap<&Name, K> = old.iter().map(|(k, v)| (name(v), *k)).collect();
    let mut kept = BTreeSet::new();
    let mut set = Vec::new();
    for value in new {
        match ids.get(name(value)) {
            None => set.push((fresh(), value.clone())),
            Some(key) => {
                kept.insert(*key);
                if old.get(key) != Some(value) {
                    set.push((*key, value.clone()));
                }
            }
        }
    }
    let removed = old.keys().filter(|k| !kept.contains(k)).copied().collect();
    Items { set, removed }
}
