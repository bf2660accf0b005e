//! The difference between two configurations, as the log and updates of the view carry it.

use crate::config::{Config, Customer, Draft, Endpoint, Rule, Service};
use crate::id::{CustomerId, EndpointId, Name, ServiceId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Changed and removed items of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Items<K, V> {
    /// Items that are new or changed.
    pub set: Vec<(K, V)>,
    /// Keys of the removed items.
    pub removed: Vec<K>,
}

/// Consecutive rules of the new configuration.
///
/// The order of rules matters, so they cannot be sent as a set of changed items. Sent whole,
/// hundreds of rules would go to all processes whenever one of them changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Run {
    /// Rules copied from the previous configuration.
    Kept {
        /// Position of the first rule.
        from: u32,
        /// Number of rules.
        count: u32,
    },
    /// Rules that are new or changed.
    New(Vec<Rule>),
}

/// The changes that turn one configuration into the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Delta {
    /// Customers.
    pub customers: Items<CustomerId, Customer>,
    /// Services.
    pub services: Items<ServiceId, Service>,
    /// Endpoints.
    pub endpoints: Items<EndpointId, Endpoint>,
    /// The rules in their new order; `None` if they did not change.
    pub rules: Option<Vec<Run>>,
    /// Next number to assign.
    #[serde(rename = "next")]
    pub next_id: u32,
}

impl Delta {
    /// The delta that turns `config` into the configuration of `draft`.
    ///
    /// An item keeps its number as long as it keeps its name.
    pub fn between(config: &Config, draft: &Draft) -> Self {
        let mut next = config.next_id;
        Delta {
            customers: items(
                &config.customers,
                &draft.customers,
                |c| &c.name,
                || CustomerId(take_number(&mut next)),
            ),
            services: items(
                &config.services,
                &draft.services,
                |s| &s.name,
                || ServiceId(take_number(&mut next)),
            ),
            endpoints: items(
                &config.endpoints,
                &draft.endpoints,
                |e| &e.name,
                || EndpointId(take_number(&mut next)),
            ),
            rules: (config.rules != draft.rules).then(|| runs(&config.rules, &draft.rules)),
            next_id: next,
        }
    }

    /// Applies the delta to the configuration that it is based on.
    pub fn apply(&self, config: &mut Config) {
        self.customers.apply(&mut config.customers);
        self.services.apply(&mut config.services);
        self.endpoints.apply(&mut config.endpoints);
        if let Some(runs) = &self.rules {
            config.rules = expand(&config.rules, runs);
        }
        config.next_id = self.next_id;
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

/// Expresses the rules `new` as copies from `old` and new rules.
fn runs(old: &[Rule], new: &[Rule]) -> Vec<Run> {
    let positions: BTreeMap<&Name, usize> =
        old.iter().zip(0..).map(|(r, n)| (&r.name, n)).collect();
    let mut runs: Vec<Run> = Vec::new();
    for rule in new {
        let position = positions.get(&rule.name).copied();
        let kept = position.filter(|position| old.get(*position) == Some(rule));
        let kept = kept.and_then(|position| u32::try_from(position).ok());
        match (kept, runs.last_mut()) {
            (Some(position), Some(Run::Kept { from, count })) if *from + *count == position => {
                *count += 1
            }
            (Some(from), _) => runs.push(Run::Kept { from, count: 1 }),
            (None, Some(Run::New(rules))) => rules.push(rule.clone()),
            (None, _) => runs.push(Run::New(vec![rule.clone()])),
        }
    }
    runs
}

/// The rules that runs describe, with copies taken from `old`.
fn expand(old: &[Rule], runs: &[Run]) -> Vec<Rule> {
    let mut rules = Vec::new();
    for run in runs {
        match run {
            Run::New(new) => rules.extend_from_slice(new),
            Run::Kept { from, count } => {
                // CAST: 32 bits fit into a size on every supported target.
                let kept = old.iter().skip(*from as usize).take(*count as usize);
                rules.extend(kept.cloned());
            }
        }
    }
    rules
}

/// Assigns the next number.
fn take_number(next: &mut u32) -> u32 {
    let number = *next;
    *next += 1;
    number
}

/// The difference of the items of one kind; `assign` numbers a new item.
fn items<K, V, N, F>(old: &BTreeMap<K, V>, new: &[V], name: N, mut assign: F) -> Items<K, V>
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
            None => set.push((assign(), value.clone())),
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
