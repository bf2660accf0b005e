//! Rules whose requests may have gone to another service before.
//!
//! A stream of unknown origin that its caller takes up again is served by the rule of today. It may
//! have begun at the service of another rule, or of the same one before a change.

use crate::config::{Rule, When};
use crate::id::Name;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};

/// Most routes of earlier configurations that are remembered. Once there were more, each rule that
/// is new or changed counts as rerouted.
pub const PAST_MAX: usize = 4096;

/// A condition and the services to which it has sent requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Route {
    when: When,
    services: SmallVec<[Name; 1]>,
}

/// Rerouted rules of the present configuration, and the routes of earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Reroutes {
    rules: BTreeSet<Name>,
    past: Vec<Route>,
    has_forgotten: bool,
}

impl Reroutes {
    /// Whether requests that the rule matches may have gone to another service.
    pub fn contains(&self, rule: &Name) -> bool {
        self.rules.contains(rule)
    }

    /// Applies a change of the rules.
    pub fn apply(&mut self, before: &[Rule], after: &[Rule]) {
        let old = routes(before);
        let new = routes(after);
        let is_in_order = is_order_kept(before, after);
        if old == new && is_in_order {
            return;
        }
        let is_kept = |(name, route): (&Name, &Route), in_map: &BTreeMap<Name, Route>| {
            is_in_order && in_map.get(name) == Some(route)
        };
        let removed = old
            .iter()
            .filter(|(name, route)| !is_kept((name, route), &new));
        let removed: Vec<&Route> = removed.map(|(_, route)| route).collect();
        let mut rerouted = BTreeSet::new();
        for (name, route) in &new {
            let may_come_from = |other: &Route| route.may_take_from(other);
            let is_rerouted = if is_kept((name, route), &old) {
                self.rules.contains(name) || removed.iter().any(|other| may_come_from(other))
            } else {
                self.has_forgotten
                    || self.rules.contains(name)
                    || old.values().chain(&self.past).any(may_come_from)
            };
            let mut others = new.values();
            if is_rerouted || others.any(|other| route.may_alternate_with(other)) {
                rerouted.insert(name.clone());
            }
        }
        for route in removed {
            if !self.past.contains(route) {
                self.past.push(route.clone());
            }
        }
        if self.past.len() > PAST_MAX {
            self.has_forgotten = true;
            self.past.drain(..self.past.len() - PAST_MAX);
        }
        self.rules = rerouted;
    }
}

impl Route {
    /// Whether a request may match both conditions, and the services differ.
    fn may_take_from(&self, other: &Route) -> bool {
        self.services != other.services && overlaps(&self.when, &other.when)
    }

    /// Whether the same request may go to either service of one configuration, by the router that it
    /// comes to or by headers that its caller may change.
    fn may_alternate_with(&self, other: &Route) -> bool {
        let varies = |when: &When| when.data_centre.is_some() || when.header.is_some();
        (varies(&self.when) || varies(&other.when)) && self.may_take_from(other)
    }
}

/// Routes of the rules that send requests to services, by the rules' names.
fn routes(rules: &[Rule]) -> BTreeMap<Name, Route> {
    let route = |rule: &Rule| {
        let forward = rule.then.forward()?;
        let mut services: SmallVec<[Name; 1]> =
            forward.services.iter().map(|t| t.service.clone()).collect();
        services.sort();
        services.dedup();
        let when = rule.when.clone();
        Some((rule.name.clone(), Route { when, services }))
    };
    rules.iter().filter_map(route).collect()
}

/// Whether the rules of both configurations have the same order: the first that matches decides.
fn is_order_kept(before: &[Rule], after: &[Rule]) -> bool {
    let names =
        |rules: &[Rule]| -> BTreeSet<Name> { rules.iter().map(|r| r.name.clone()).collect() };
    let (old, new) = (names(before), names(after));
    let kept_before = before
        .iter()
        .map(|r| &r.name)
        .filter(|name| new.contains(*name));
    let kept_after = after
        .iter()
        .map(|r| &r.name)
        .filter(|name| old.contains(*name));
    kept_before.eq(kept_after)
}

/// Whether a request may match both conditions.
fn overlaps(a: &When, b: &When) -> bool {
    let are_equal = |a: &Option<String>, b: &Option<String>| {
        let both = a.as_ref().zip(b.as_ref());
        both.is_none_or(|(a, b)| a == b)
    };
    let services = a.service.as_ref().zip(b.service.as_ref());
    let paths = a.path.as_ref().zip(b.path.as_ref());
    let has_common_method = a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|method| b.methods.contains(method));
    are_equal(&a.host, &b.host)
        && services.is_none_or(|(a, b)| a == b)
        && paths.is_none_or(|(a, b)| a.starts_with(b.as_str()) || b.starts_with(a.as_str()))
        && has_common_method
}
