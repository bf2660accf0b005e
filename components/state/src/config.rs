//! The fleet's configuration: customers, services, endpoints and rules.

use crate::id::{CustomerId, EndpointId, Name, ServiceId, Software};
use crate::route::Routes;
use crate::secret::Hash;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Most rules in a configuration: their positions are `u16`.
pub const RULES_MAX: usize = 1 << 15;

/// A customer, among whom capacity is shared fairly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Customer {
    /// Name, unique among customers.
    pub name: Name,
    /// Hashes of its bearer keys; each of them authenticates it.
    pub keys: SmallVec<[Hash; 2]>,
    /// Weight of its fair share, 1 to 1000.
    pub weight: u32,
    /// Priority of its requests, 0 being the most urgent; overrides the rule's.
    pub priority: Option<u8>,
    /// Services that it may reach.
    pub services: SmallVec<[Name; 4]>,
    /// Regions in which its requests may be served; empty for all.
    pub regions: SmallVec<[Name; 2]>,
}

/// Unit in which the service that customers receive is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cost {
    /// One unit per request.
    Request,
    /// One unit per streamed event (a `data:` line).
    Event,
    /// One unit per millisecond for which a slot is held.
    Time,
    /// One unit per prompt token, two per generated token.
    Token,
}

/// Properties of a service whose endpoints are model engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Tokens that fit into an engine's memory, for running requests and cached prompt
    /// prefixes together.
    pub memory_tokens: u64,
    /// Tokens per streamed event.
    pub event_tokens: u32,
    /// Prompt tokens per second that an engine can copy from another one's cache; `None` if
    /// it cannot.
    pub copy_tokens_per_s: Option<u32>,
}

/// Limits of a service's endpoints while they are cold, that is just started or idle for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cold {
    /// Rate that a cold endpoint sustains, in thousandths of a request per second.
    pub rate: u32,
    /// Time for which an endpoint stays cold, in milliseconds.
    pub for_ms: u64,
}

/// A service: a set of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// Name, unique among services.
    pub name: Name,
    /// Unit in which the received service is measured.
    pub cost: Cost,
    /// Cost assumed when a slot is granted and the caller gives no hint, in units of `cost`.
    pub estimate: u32,
    /// Timeout from the arrival of a request to the end of its response, in milliseconds.
    pub timeout_ms: u64,
    /// Whether every request may run twice, whatever its method.
    pub idempotent: bool,
    /// Path at which its endpoints report their load, as `{"running":N,"waiting":N}`.
    pub load: Option<String>,
    /// Most connections that each endpoint accepts from all routers together; `None` for no
    /// limit.
    pub connections: Option<u32>,
    /// Set if its endpoints are model engines.
    pub engine: Option<Engine>,
    /// Limits while its endpoints are cold; `None` for none.
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
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Region of that data centre.
    pub region: Name,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Requests granted beyond its slots, so that it does not idle during the round trip of a
    /// grant.
    #[serde(rename = "lead")]
    pub prefetch: u32,
    /// Version of its software, by the platform's list. It follows messages with endpoints as an
    /// extension.
    #[serde(skip)]
    pub software: Software,
}

/// Condition of a rule. A request matches if all given parts match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct When {
    /// Customers, any of which matches.
    pub customers: SmallVec<[Name; 4]>,
    /// Service named in the header `Cowslipford-Service`.
    pub service: Option<Name>,
    /// Methods in upper case, any of which matches.
    pub methods: SmallVec<[String; 2]>,
    /// Host of the request.
    pub host: Option<String>,
    /// Prefix of the path.
    pub path: Option<String>,
    /// Header that must be present, and its value if one is given.
    pub header: Option<(String, Option<String>)>,
    /// Data centre of the router.
    pub data_centre: Option<Name>,
    /// Smallest size hint (or body length in bytes) that matches.
    pub size_min: Option<u64>,
    /// Largest size hint (or body length in bytes) that matches.
    pub size_max: Option<u64>,
}

/// Limits of a rule, each counted per customer. Rate and concurrency apply to the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    /// Requests per second.
    pub rate: Option<u32>,
    /// Requests in progress.
    pub concurrency: Option<u32>,
    /// Requests waiting on one router.
    pub queue: Option<u32>,
}

/// A service to which a rule sends a part of its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Target {
    /// Service.
    pub service: Name,
    /// Part of the requests, relative to the rule's other targets.
    pub weight: u32,
}

/// How a matching request is forwarded to a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Forward {
    /// Services among which requests are divided by weight; at least one weight is above 0.
    pub services: SmallVec<[Target; 1]>,
    /// Limits.
    pub limits: Limits,
    /// Timeout in milliseconds; overrides the service's.
    pub timeout_ms: Option<u64>,
    /// Target time to the first byte of the response, in milliseconds.
    pub aim_ms: Option<u64>,
    /// Weight of the fair share; overrides the customer's.
    pub weight: Option<u32>,
    /// Priority of its requests, 0 being the most urgent.
    pub priority: u8,
    /// Whether a request may run twice; `None` to decide by service and method.
    pub idempotent: Option<bool>,
    /// Most retries.
    pub retries: Option<u32>,
    /// Whether callers without a customer's key may use it.
    pub anonymous: bool,
    /// Whether a stream that broke off may continue at another endpoint, after the last event
    /// that arrived completely.
    pub resume: bool,
    /// Regions in which its requests may be served; empty for all. If the customer has such
    /// regions too, both must allow a region.
    pub regions: SmallVec<[Name; 2]>,
}

impl Forward {
    /// Selects the service of a request by weight; `draw` is a random number.
    pub fn pick_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|p| u64::from(p.weight)).sum();
        let mut offset = draw.checked_rem(total)?;
        for target in &self.services {
            let weight = u64::from(target.weight);
            if offset < weight {
                return Some(&target.service);
            }
            offset -= weight;
        }
        None
    }
}

/// Where a rule sends its requests, and what it demands of the streams that answer them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Stream {
    /// Where the requests are sent.
    pub forward: Forward,
    /// Longest pause between two events with which a response is on time, in milliseconds.
    pub max_gap_ms: u64,
}

/// Action of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// Forward the request to a service.
    Send(Box<Forward>),
    /// Respond with 403 and a reason.
    Refuse {
        /// Reason in the response.
        reason: String,
    },
    /// Forward the request to a service whose streams have a bound on their pauses. Rules without
    /// such a bound are stored as [`Then::Send`], which earlier releases can read.
    Stream(Box<Stream>),
}

impl Then {
    /// Forwards to a service, with a bound on the pauses of streams if there is one.
    pub fn new(forward: Forward, max_gap_ms: Option<u64>) -> Self {
        match max_gap_ms {
            Some(max_gap_ms) => Then::Stream(Box::new(Stream {
                forward,
                max_gap_ms,
            })),
            None => Then::Send(Box::new(forward)),
        }
    }

    /// Where the requests are sent; `None` if they are refused.
    pub fn forward(&self) -> Option<&Forward> {
        match self {
            Then::Send(forward) => Some(forward),
            Then::Stream(stream) => Some(&stream.forward),
            Then::Refuse { .. } => None,
        }
    }

    /// Longest pause between two events of a stream, in milliseconds, if there is a bound.
    pub fn max_gap_ms(&self) -> Option<u64> {
        match self {
            Then::Stream(stream) => Some(stream.max_gap_ms),
            Then::Send(_) | Then::Refuse { .. } => None,
        }
    }
}

/// A routing rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Rule {
    /// Name, unique among rules.
    pub name: Name,
    /// Condition.
    pub when: When,
    /// Action.
    pub then: Then,
}

/// A configuration as parsed from an operator's file, before numbers are assigned.
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

impl Draft {
    /// Removes the objectives of streams, which processes of earlier releases cannot read.
    pub fn remove_stream_objectives(&mut self) {
        for rule in &mut self.rules {
            if let Then::Stream(stream) = &rule.then {
                rule.then = Then::Send(Box::new(stream.forward.clone()));
            }
        }
    }
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
    /// Next number to assign; numbers are never reused.
    #[serde(rename = "next")]
    pub next_id: u32,
}

impl Config {
    /// Name of a service; empty if it does not exist.
    pub fn service_name(&self, id: ServiceId) -> &str {
        self.services.get(&id).map_or("", |s| s.name.as_str())
    }

    /// Number of the service with a name.
    pub fn service(&self, name: &Name) -> Option<ServiceId> {
        let mut all = self.services.iter();
        all.find(|(_, s)| s.name == *name).map(|(id, _)| *id)
    }

    /// Number of the endpoint with a name.
    pub fn endpoint(&self, name: &Name) -> Option<EndpointId> {
        let mut all = self.endpoints.iter();
        all.find(|(_, e)| e.name == *name).map(|(id, _)| *id)
    }

    /// The draft that corresponds to this configuration.
    pub fn draft(&self) -> Draft {
        Draft {
            customers: self.customers.values().cloned().collect(),
            services: self.services.values().cloned().collect(),
            endpoints: self.endpoints.values().cloned().collect(),
            rules: self.rules.clone(),
        }
    }
}

/// Lookup tables that a router uses for each request.
#[derive(Clone, Debug, Default)]
pub struct Index {
    keys: HashMap<Hash, CustomerId>,
    services: HashMap<Name, ServiceId>,
    routes: Routes,
}

impl Index {
    /// The customer with a bearer key, by the hash of the key.
    pub fn customer(&self, key: &Hash) -> Option<CustomerId> {
        self.keys.get(key).copied()
    }

    /// The service with a name.
    pub fn service(&self, name: &Name) -> Option<ServiceId> {
        self.services.get(name).copied()
    }

    /// The rules by host and path.
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

/// An inconsistency between two parts of a draft.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// Kind of the section: `customer`, `service`, `endpoint` or `rule`.
    pub kind: &'static str,
    /// Name of the section.
    pub name: Name,
    /// Key within the section.
    pub key: &'static str,
    /// The inconsistent value.
    pub value: String,
    /// Description of the allowed values.
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
        let check_reference = |set: &BTreeSet<&Name>, kind, name: &Name, key, value: &Name| {
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
                check_reference(&services, "customer", &customer.name, "services", service)?;
            }
        }
        for endpoint in &self.endpoints {
            check_reference(
                &services,
                "endpoint",
                &endpoint.name,
                "service",
                &endpoint.service,
            )?;
        }
        for rule in &self.rules {
            for customer in &rule.when.customers {
                check_reference(&customers, "rule", &rule.name, "when-customer", customer)?;
            }
            if let Some(service) = &rule.when.service {
                check_reference(&services, "rule", &rule.name, "when-service", service)?;
            }
            if let Some(send) = rule.then.forward() {
                for target in &send.services {
                    check_reference(&services, "rule", &rule.name, "service", &target.service)?;
                }
                check_weights(rule, send)?;
            }
        }
        Ok(())
    }

    /// Checks that names are unique within each kind, and bearer keys among all customers.
    fn check_unique(&self) -> Result<(), Contradiction> {
        let find_duplicate = |kind, names: Vec<&Name>| {
            let mut seen = BTreeSet::new();
            let duplicate = names.into_iter().find(|n| !seen.insert(*n))?;
            Some(Contradiction {
                kind,
                name: duplicate.clone(),
                key: "(section)",
                value: duplicate.to_string(),
                allowed: format!("each {kind} once"),
            })
        };
        let found = find_duplicate("customer", self.customers.iter().map(|c| &c.name).collect())
            .or_else(|| find_duplicate("service", self.services.iter().map(|s| &s.name).collect()))
            .or_else(|| {
                find_duplicate("endpoint", self.endpoints.iter().map(|e| &e.name).collect())
            })
            .or_else(|| find_duplicate("rule", self.rules.iter().map(|r| &r.name).collect()));
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

    /// Checks that there are at most [`RULES_MAX`] rules.
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

/// Checks that a rule has a service with a weight above 0.
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
