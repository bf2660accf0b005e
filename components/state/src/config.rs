//! What operators decide: customers, services, endpoints and rules.

use crate::id::{CustomerId, EndpointId, Name, ServiceId};
use crate::route::Routes;
use crate::secret::Hash;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Rules of a configuration at most: their places are numbered by `u16`.
pub const RULES_MAX: usize = 1 << 15;

/// Someone who sends requests and receives a fair share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Customer {
    /// Name, unique among customers.
    pub name: Name,
    /// Hashes of its bearer keys; any of them tells who it is.
    pub keys: SmallVec<[Hash; 2]>,
    /// Share relative to others, 1 to 1000.
    pub weight: u32,
    /// Rank of its requests, 0 the most urgent, in place of the rule's.
    pub priority: Option<u8>,
    /// Services that it may reach.
    pub services: SmallVec<[Name; 4]>,
    /// Regions in which its requests may be served, all if there are none.
    pub regions: SmallVec<[Name; 2]>,
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
    /// One unit for each prompt token, two for each token generated.
    Token,
}

/// What endpoints of a service have in common when they are model engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Tokens that fit into an engine's memory: running requests and kept parts
    /// of prompts together.
    pub memory_tokens: u64,
    /// Tokens that one streamed event holds.
    pub event_tokens: u32,
    /// Prompt tokens that an engine copies from another one's memory in a second;
    /// `None` if it cannot.
    pub copy_tokens_per_s: Option<u32>,
}

/// What endpoints of a service bear while they are cold: just started, or idle for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cold {
    /// Requests that one bears, in thousandths of a request a second.
    pub rate: u32,
    /// Time for which one stays cold, in milliseconds.
    pub for_ms: u64,
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
    /// Connections that each of its endpoints takes from all routers together;
    /// `None` for no bound.
    pub connections: Option<u32>,
    /// Set when its endpoints are model engines.
    pub engine: Option<Engine>,
    /// What they bear while they are cold; `None` for as much as ever.
    pub cold: Option<Cold>,
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
    #[serde(rename = "lead")]
    pub prefetch: u32,
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
    /// Host that the caller names.
    pub host: Option<String>,
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

/// One service of several that share a rule's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// Service.
    pub service: Name,
    /// Target of the requests, relative to the other services of the rule.
    pub weight: u32,
}

/// How a request that matches is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Forward {
    /// Services that receive it, each by its weight; at least one weighs more
    /// than 0.
    pub services: SmallVec<[Target; 1]>,
    /// Limits.
    pub limits: Limits,
    /// Time-out in milliseconds, in place of the service's.
    pub timeout_ms: Option<u64>,
    /// Time to the first byte of an answer that callers count as on time, in
    /// milliseconds.
    pub aim_ms: Option<u64>,
    /// Weight in place of the customer's.
    pub weight: Option<u32>,
    /// Rank of its requests, 0 the most urgent.
    pub priority: u8,
    /// Whether it may run twice; `None` goes by service and method.
    pub idempotent: Option<bool>,
    /// Retries at most.
    pub retries: Option<u32>,
    /// Whether callers without a customer's key may use it.
    pub anonymous: bool,
    /// Whether a stream that broke off may go on at another endpoint, after the
    /// last event that arrived whole.
    pub resume: bool,
    /// Regions in which its requests may be served, all if there are none. Where the
    /// customer has some too, both hold.
    pub regions: SmallVec<[Name; 2]>,
}

impl Forward {
    /// The service that gets a request, by a number that was drawn for it.
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|p| u64::from(p.weight)).sum();
        let mut at = draw.checked_rem(total)?;
        for part in &self.services {
            let weight = u64::from(part.weight);
            if at < weight {
                return Some(&part.service);
            }
            at -= weight;
        }
        None
    }
}

/// What happens to a request that matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// Queue it for a service.
    Send(Box<Forward>),
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
    #[serde(rename = "next")]
    pub next_id: u32,
}

impl Config {
    /// Name of a service; empty if it is gone.
    pub fn service_name(&self, id: ServiceId) -> &str {
        self.services.get(&id).map_or("", |s| s.name.as_str())
    }

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
    routes: Routes,
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

    /// Rules by host and path.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }
}

impl From<&Config> for Index {
    fn from(config: &Config) -> Self {
        Index {
            keys: (config.customers.iter())
                .flat_map(|(id, c)| c.keys.iter().map(|key| (*key, *id)))
                .collect(),
            routes: Routes::from(config.rules.as_slice()),
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
        self.check_count()?;
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
            if let Then::Send(send) = &rule.then {
                for part in &send.services {
                    known(&services, "rule", &rule.name, "service", &part.service)?;
                }
                check_weights(rule, send)?;
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
        let mut all = (self.customers.iter()).flat_map(|c| c.keys.iter().map(move |key| (c, key)));
        match all.find(|(_, key)| !keys.insert(**key)) {
            None => Ok(()),
            Some((customer, key)) => Err(Contradiction {
                kind: "customer",
                name: customer.name.clone(),
                key: "key-sha256",
                value: key.hex(),
                allowed: "a key that no other customer has".to_owned(),
            }),
        }
    }

    /// Refuses more rules than their places can number.
    fn check_count(&self) -> Result<(), Contradiction> {
        let Some(rule) = self.rules.get(RULES_MAX) else {
            return Ok(());
        };
        Err(Contradiction {
            kind: "rule",
            name: rule.name.clone(),
            key: "(section)",
            value: self.rules.len().to_string(),
            allowed: format!("at most {RULES_MAX} rules"),
        })
    }
}

/// Refuses a rule whose requests would go nowhere.
fn check_weights(rule: &Rule, send: &Forward) -> Result<(), Contradiction> {
    if send.pick_service(0).is_some() {
        return Ok(());
    }
    Err(Contradiction {
        kind: "rule",
        name: rule.name.clone(),
        key: "service",
        value: String::new(),
        allowed: "at least one service with a weight above 0".to_owned(),
    })
}
