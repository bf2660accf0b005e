//! What was ever in use: the software versions that the endpoints of each service have had, and the
//! services of rules.
//!
//! Once the catalog has begun, a version joins its service by a record of the replicated log before
//! endpoints with it are passed on to routers. A service that has one version by a current reading of
//! the log has therefore never had another one, however long ago, and whatever the process that asks
//! has seen itself.

use crate::config::Rule;
use crate::id::{Name, Software};
use crate::reroute::Reroutes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Most services of a catalog. Further ones count as services with several versions.
pub const SERVICES_MAX: usize = 16_384;

/// Versions that the endpoints of a service have had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Versions {
    /// This version alone.
    Sole(Software),
    /// More than one, or it is not known which.
    Several,
}

/// Services, each with a version that joins it.
pub type Joined = Vec<(Name, Software)>;

/// Versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Catalog {
    /// Whether the catalog covers all use of endpoints. Before, nothing is known of any service.
    has_begun: bool,
    services: BTreeMap<Name, Versions>,
    /// Services that were in use before: other versions of them may have left.
    older: BTreeSet<Name>,
    reroutes: Reroutes,
}

impl Catalog {
    /// Whether the catalog covers all use of endpoints from now on.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Begins the catalog. `in_use` are the services whose endpoints were in use before.
    pub fn begin<N>(&mut self, in_use: N)
    where
        N: Iterator<Item = Name>,
    {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.older = in_use.collect();
        }
    }

    /// Versions that a service has had; `None` if none of its endpoints was ever in use.
    pub fn versions(&self, service: &Name) -> Option<Versions> {
        let known = self.services.get(service).copied();
        let is_full = self.services.len() >= SERVICES_MAX;
        known.or(is_full.then_some(Versions::Several))
    }

    /// Versions at which a stream may have begun that a rule sends to a service today.
    pub fn versions_by_rule(&self, service: &Name, rule: &Name) -> Option<Versions> {
        match self.reroutes.contains(rule) {
            true => Some(Versions::Several),
            false => self.versions(service),
        }
    }

    /// Whether endpoints of a service with this version may be used.
    pub fn admits(&self, service: &Name, software: Software) -> bool {
        match self.versions(service) {
            Some(Versions::Sole(sole)) => sole == software,
            Some(Versions::Several) => true,
            None => false,
        }
    }

    /// Whether a service has had several versions.
    pub fn is_mixed(&self, service: &Name) -> bool {
        self.versions(service) == Some(Versions::Several)
    }

    /// Adds a version to those of a service.
    pub fn join(&mut self, service: &Name, software: Software) {
        let versions = match self.versions(service) {
            Some(Versions::Several) => return,
            Some(Versions::Sole(sole)) if sole == software => return,
            Some(Versions::Sole(_)) => Versions::Several,
            None if software.is_stated() && self.older.contains(service) => Versions::Several,
            None => Versions::Sole(software),
        };
        self.services.insert(service.clone(), versions);
    }

    /// Applies a change of the rules.
    pub fn reroute(&mut self, before: &[Rule], after: &[Rule]) {
        self.reroutes.apply(before, after);
    }
}
