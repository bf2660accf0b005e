//! Software versions that the endpoints of each service have ever had.
//!
//! A version joins its service by a record of the replicated log before any request is sent to an
//! endpoint with it. A service that has one version by a current reading of the log has therefore
//! never had another one, however long ago, and whatever this process has seen itself.

use crate::id::{Name, Software};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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

/// Versions that join their services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Update {
    /// Services and versions.
    pub joined: Vec<(Name, Software)>,
    /// Whether endpoints were in use before the first update of the catalog.
    pub follows_use: bool,
}

/// Versions of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Catalog {
    /// Whether there was an update. Before it, nothing is known of any service.
    has_begun: bool,
    services: BTreeMap<Name, Versions>,
}

impl Catalog {
    /// Whether the catalog covers all use of endpoints from now on.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Versions that a service has had; `None` if none of its endpoints was ever in use.
    pub fn versions(&self, service: &Name) -> Option<Versions> {
        let known = self.services.get(service).copied();
        let is_full = self.services.len() >= SERVICES_MAX;
        known.or(is_full.then_some(Versions::Several))
    }

    /// Whether requests may be sent to endpoints of a service with this version.
    pub fn admits(&self, service: &Name, software: Software) -> bool {
        match self.versions(service) {
            Some(Versions::Sole(sole)) => sole == software,
            Some(Versions::Several) => true,
            None => false,
        }
    }

    /// Services that have had several versions.
    pub fn is_mixed(&self, service: &Name) -> bool {
        self.versions(service) == Some(Versions::Several)
    }

    /// Applies an update.
    pub fn apply(&mut self, update: &Update) {
        let is_first = !std::mem::replace(&mut self.has_begun, true);
        for (service, software) in &update.joined {
            if is_first && update.follows_use && software.is_stated() {
                // Other versions may have left before.
                self.services.insert(service.clone(), Versions::Several);
            }
            self.join(service, *software);
        }
    }

    /// Adds a version to those of a service.
    pub fn join(&mut self, service: &Name, software: Software) {
        match self.versions(service) {
            Some(Versions::Several) => {}
            Some(Versions::Sole(sole)) if sole == software => {}
            known => {
                let versions = known.map_or(Versions::Sole(software), |_| Versions::Several);
                self.services.insert(service.clone(), versions);
            }
        }
    }
}
