//! What operators decide: customers, services, endpoints and rules.

use crate::id::{CustomerId, EndpointId, Name, ServiceId};
use crate::secret::Hash;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Someone who sends requests and receives a fair share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Customer {
    /// Name, unique among customers.
    pub name: Name,
    /// Hash of the bearer key.
    pub key: Hash,
    /// Share relative to others, 1 to 1000.
    pub weight: u32,
    /// Services that it may reach.
    pub services: SmallVec<[Name; 4]>,
}

/// What one unit of service is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cost {
    /// One unit a request.
    Request,
    /// One unit for each streamed event (a `data:` line).
    Event,
    /// One unit for each millisecond that a slot is held.
    Time,
}

/// A set of endpoints that are equal to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Name, unique among services.
    pub name: Name,
    /// How service received is counted.
    pub cost: Cost,
    /// Cost assumed at the grant when the caller gives no hint, in units of `cost`.
    pub estimate: u32,
    /// Longest time from arrival to the end of the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Whether every request may safely run twice, whatever its method.
    pub idempotent: bool,
    /// Path where its endpoints report their load, as `{"running":N,"waiting":N}`.
    pub load: Option<String>,
}

/// One replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Endpoint {
    /// Name, unique among endpoints.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Region of that data centre.
    pub region: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests kept ready beyond its slots, to cover the grant's round trip.
    pub lead: u32,
}

/// What a rule asks of a request; every part given must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct When {
    /// Customers, any of them.
    pub customers: SmallVec<[Name; 4]>,
    /// Service that the caller names in `Cowslipford-Service`.
    pub service: Option<Name>,
    /// Methods, any of them, in upper case.
    pub methods: SmallVec<[String; 2]>,
    /// Prefix of the path.
    pub path: Option<String>,
    /// Header that must be present, with its value when one is given.
    pub header: Option<(String, Option<String>)>,
    /// Data centre of the router.
    pub data_centre: Option<Name>,
    /// Smallest size hint (or body length in bytes) that matches.
    pub size_min: Option<u64>,
    /// Largest size hint (or body length in bytes) that matches.
    pub size_max: Option<u64>,
}

/// Limits that a rule sets, each counted for one customer over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Requests started a second.
    pub rate: Option<u32>,
    /// Requests in progress.
    pub concurrency: Option<u32>,
    /// Requests waiting on one router.
    pub queue: Option<u32>,
}

/// What happens to a request that matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// Queue it for a service.
    Send {
        /// Service that receives it.
        service: Name,
        /// Limits.
        limits: Limits,
        /// Time-out in milliseconds, in place of the service's.
        timeout_ms: Option<u64>,
        /// Weight in place of the customer's.
        weight: Option<u32>,
        /// Whether it may run twice; `None` goes by service and method.
        idempotent: Option<bool>,
        /// Retries at most.
        retries: Option<u32>,
    },
    /// Answer 403 with a reason.
    Refuse {
        /// Reason given to the caller.
        reason: String,
    },
}

/// One when-then rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rule {
    /// Name, unique among rules.
    pub name: Name,
    /// Condition.
    pub when: When,
    /// Consequence.
    pub then: Then,
}

/// What an operator's file says, before numbers are assigned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Draft {
    /// Customers in the order of the file.
    pub customers: Vec<Customer>,
    /// Services in the order of the file.
    pub services: Vec<Service>,
    /// Endpoints in the order of the file.
    pub endpoints: Vec<Endpoint>,
    /// Rules; the first that matches decides.
    pub rules: Vec<Rule>,
}

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Config {
    /// Customers by number.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Services by number.
    pub services: BTreeMap<ServiceId, Service>,
    /// Endpoints by number.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Rules; the first that matches decides.
    pub rules: Vec<Rule>,
    /// Next number to assign; a number is never used twice.
    pub next: u32,
}

impl Config {
    /// Number of the service of that name.
    pub fn service(&self, name: &Name) -> Option<ServiceId> {
        let mut all = self.services.iter();
        all.find(|(_, s)| s.name == *name).map(|(id, _)| *id)
    }

    /// Number of the endpoint of that name.
    pub fn endpoint(&self, name: &Name) -> Option<EndpointId> {
        let mut all = self.endpoints.iter();
        all.find(|(_, e)| e.name == *name).map(|(id, _)| *id)
    }

    /// The file that would give this configuration.
    pub fn draft(&self) -> Draft {
        Draft {
            customers: self.customers.values().cloned().collect(),
            services: self.services.values().cloned().collect(),
            endpoints: self.endpoints.values().cloned().collect(),
            rules: self.rules.clone(),
        }
    }
}

/// Look-ups that a router does for each request.
#[derive(Clone, Debug, Default)]
pub struct Index {
    keys: HashMap<Hash, CustomerId>,
    services: HashMap<Name, ServiceId>,
}

impl Index {
    /// Customer of a key's hash.
    pub fn customer(&self, key: &Hash) -> Option<CustomerId> {
        self.keys.get(key).copied()
    }

    /// Service of a name.
    pub fn service(&self, name: &Name) -> Option<ServiceId> {
        self.services.get(name).copied()
    }
}

impl From<&Config> for Index {
    fn from(config: &Config) -> Self {
        Index {
            keys: config
                .customers
                .iter()
                .map(|(id, c)| (c.key, *id))
                .collect(),
            services: (config.services.iter())
                .map(|(id, s)| (s.name.clone(), *id))
                .collect(),
        }
    }
}

/// A part of a draft that contradicts another part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// Kind of the section: `customer`, `service`, `endpoint` or `rule`.
    pub kind: &'static str,
    /// Name of the section.
    pub name: Name,
    /// Key within the section.
    pub key: &'static str,
    /// Value that contradicts.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl Draft {
    /// Checks that names are unique and that every reference resolves.
    ///
    /// # Errors
    ///
    /// The first [`Contradiction`] in the order of the sections.
    pub fn check(&self) -> Result<(), Contradiction> {
        self.check_unique()?;
        let services: BTreeSet<&Name> = self.services.iter().map(|s| &s.name).collect();
        let customers: BTreeSet<&Name> = self.customers.iter().map(|c| &c.name).collect();
        let known = |set: &BTreeSet<&Name>, kind, name: &Name, key, value: &Name| {
            if set.contains(value) {
                return Ok(());
            }
            let all: Vec<&str> = set.iter().map(|n| n.as_str()).collect();
            Err(Contradiction {
                kind,
                name: name.clone(),
                key,
                value: value.to_string(),
                allowed: format!("one that this file defines: {}", all.join(", ")),
            })
        };
        for customer in &self.customers {
            for service in &customer.services {
                known(&services, "customer", &customer.name, "services", service)?;
            }
        }
        for endpoint in &self.endpoints {
            known(
                &services,
                "endpoint",
                &endpoint.name,
                "service",
                &endpoint.service,
            )?;
        }
        for rule in &self.rules {
            for customer in &rule.when.customers {
                known(&customers, "rule", &rule.name, "when-customer", customer)?;
            }
            if let Some(service) = &rule.when.service {
                known(&services, "rule", &rule.name, "when-service", service)?;
            }
            if let Then::Send { service, .. } = &rule.then {
                known(&services, "rule", &rule.name, "service", service)?;
            }
        }
        Ok(())
    }

    fn check_unique(&self) -> Result<(), Contradiction> {
        let twice = |kind, names: Vec<&Name>| {
            let mut seen = BTreeSet::new();
            let double = names.into_iter().find(|n| !seen.insert(*n))?;
            Some(Contradiction {
                kind,
                name: double.clone(),
                key: "(section)",
                value: double.to_string(),
                allowed: format!("each {kind} once"),
            })
        };
        let found = twice("customer", self.customers.iter().map(|c| &c.name).collect())
            .or_else(|| twice("service", self.services.iter().map(|s| &s.name).collect()))
            .or_else(|| twice("endpoint", self.endpoints.iter().map(|e| &e.name).collect()))
            .or_else(|| twice("rule", self.rules.iter().map(|r| &r.name).collect()));
        if let Some(found) = found {
            return Err(found);
        }
        let mut keys = BTreeSet::new();
        let double = self.customers.iter().find(|c| !keys.insert(c.key));
        match double {
            None => Ok(()),
            Some(c) => Err(Contradiction {
                kind: "customer",
                name: c.name.clone(),
                key: "key-sha256",
                value: c.key.hex(),
                allowed: "a key that no other customer has".to_owned(),
            }),
        }
    }
}
