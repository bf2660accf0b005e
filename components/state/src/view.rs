//! What every router knows of the fleet: configuration, schedulers, departures.

use crate::clock::Millis;
use crate::config::{Config, Endpoint};
use crate::delta::Delta;
use crate::evacuation::{Evacuation, Evacuations};
use crate::fingerprint::Fingerprint;
use crate::id::{EndpointId, Epoch, Name, ServiceId, Version};
use crate::listing::Count;
use crate::suspect::{Status, Statuses};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A VM and the address of its links.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Node {
    /// Name of the VM.
    pub vm: Name,
    /// Where its links listen.
    pub address: SocketAddr,
}

impl Node {
    /// A VM that is known by its address alone, under the name that follows from
    /// it: a seed has no other name before it was reached.
    pub fn at(address: SocketAddr) -> Self {
        let host = address.ip().to_string().replace(['.', ':'], "-");
        let vm = Name::try_from(format!("vm-{host}"));
        Node {
            // An address has only digits, letters, dots and colons.
            vm: vm.unwrap_or_else(|_| Name::unnamed()),
            address,
        }
    }
}

/// One of the equal parts into which many endpoints of a service are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cell {
    /// Which one it is, from 0.
    pub index: u16,
    /// How many there are, a power of two.
    pub of: u16,
}

impl Cell {
    /// The part that covers an endpoint, of so many.
    pub fn covering(id: EndpointId, of: u16) -> Self {
        let of = of.max(1);
        // CAST: the remainder is below `of`.
        let index = (id.0 % u32::from(of)) as u16;
        Cell { index, of }
    }

    /// Whether two parts of unlike divisions have endpoints in common.
    fn overlaps(self, other: Cell) -> bool {
        let of = self.of.min(other.of).max(1);
        self.index % of == other.index % of
    }
}

/// The endpoints of one service in one region, in one data centre of it or in one of the
/// cells of either; each has one scheduler.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Shard {
    /// Service.
    pub service: ServiceId,
    /// Region.
    pub region: Name,
    /// The data centre, where the region's endpoints are divided among schedulers.
    pub data_centre: Option<Name>,
    /// The cell, where there are too many endpoints for one scheduler.
    pub cell: Option<Cell>,
}

impl Shard {
    /// Whether it covers an endpoint of its service.
    pub fn covers(&self, id: EndpointId, endpoint: &Endpoint) -> bool {
        let is_here = |data_centre: &Name| *data_centre == endpoint.data_centre;
        let is_in = |cell: Cell| Cell::covering(id, cell.of) == cell;
        self.region == endpoint.region
            && self.data_centre.as_ref().is_none_or(is_here)
            && self.cell.is_none_or(is_in)
    }

    /// Whether both have endpoints in common.
    fn overlaps(&self, other: &Shard) -> bool {
        let are_apart = |a: &Option<Name>, b: &Option<Name>| {
            let both = a.as_ref().zip(b.as_ref());
            both.is_some_and(|(a, b)| a != b)
        };
        let cells = self.cell.zip(other.cell);
        self.service == other.service
            && self.region == other.region
            && !are_apart(&self.data_centre, &other.data_centre)
            && cells.is_none_or(|(a, b)| a.overlaps(b))
    }
}

/// Which VM schedules a shard, and in which epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Assignment {
    /// What it schedules.
    pub shard: Shard,
    /// Scheduler.
    #[serde(rename = "place")]
    pub node: Node,
    /// Its number; grants of an earlier one are refused.
    pub epoch: Epoch,
}

/// Someone who leaves, by an announced stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Departure {
    /// An endpoint gets no new work.
    Endpoint(EndpointId),
    /// An endpoint is back.
    EndpointBack(EndpointId),
    /// A VM drains and ends; the incarnation makes sure that a later life is
    /// not stopped again.
    Vm(Name, u64),
}

/// One change of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Operators changed the configuration.
    Config(Delta),
    /// An operator's complete configuration of this number replaced the one before.
    Release(u64, Delta),
    /// The control VMs are these.
    Control(Vec<Node>),
    /// A scheduler was assigned.
    Assignment(Assignment),
    /// Someone leaves.
    Departure(Departure),
    /// What is to be done with requests that may crash endpoints; `None` for nothing more.
    Suspects(Vec<(Fingerprint, Option<Status>)>),
    /// A data centre is evacuated, or no longer.
    Evacuation(Name, Evacuation),
}

/// A change with the version that it brings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Step {
    /// Version after the change; always one more than before it.
    pub version: Version,
    /// The change.
    pub change: Change,
}

/// What is in force, at a version that only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct View {
    /// Version.
    pub version: Version,
    /// Configuration.
    pub config: Config,
    /// Version that last changed the configuration; operators base changes on it.
    pub config_version: Version,
    /// Number of the operator's complete configuration in force, 0 for none.
    pub release: u64,
    /// Control VMs that vote; empty until the first change among them.
    pub control: Vec<Node>,
    /// Scheduler of each shard, as pairs because a shard is no JSON key.
    pub assignments: Vec<Assignment>,
    /// Endpoints that get no new work.
    pub leaving: BTreeSet<EndpointId>,
    /// VMs told to stop, with the incarnation concerned.
    pub stopping: BTreeMap<Name, u64>,
    /// Requests that are watched or quarantined since they may crash endpoints.
    pub suspects: Statuses,
    /// Data centres that are evacuated, or were.
    pub evacuations: Evacuations,
    /// When endpoints that are cold will be warm, by this process's own clock. Each process
    /// adds it to its copy.
    #[serde(skip)]
    pub warm_at: BTreeMap<EndpointId, Millis>,
    /// Counts of all endpoints, where this process does not hold them all. Each process adds
    /// it to its copy.
    #[serde(skip)]
    pub census: Option<Vec<Count>>,
}

/// What became of an offered step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It was the next one and is in force.
    Applied,
    /// It is older than what is in force, and was dropped.
    Stale,
    /// Steps are missing before it; ask for the whole view.
    Gap,
}

impl View {
    /// Takes a step if it is the next one.
    ///
    /// A late or doubled message must not bring an older version back: one
    /// would see `version` fall. Only the exact successor is applied.
    pub fn apply_step(&mut self, step: &Step) -> Acceptance {
        let next = Version(self.version.0 + 1);
        if step.version < next {
            return Acceptance::Stale;
        }
        if step.version > next {
            return Acceptance::Gap;
        }
        self.apply(&step.change);
        self.version = next;
        if matches!(step.change, Change::Config(_) | Change::Release(..)) {
            self.config_version = next;
        }
        Acceptance::Applied
    }

    /// Takes a whole view if it is newer than this one.
    pub fn replace(&mut self, whole: View) -> bool {
        let newer = whole.version > self.version;
        if newer {
            *self = whole;
        }
        newer
    }

    /// The scheduler of a shard.
    pub fn assignment(&self, shard: &Shard) -> Option<&Assignment> {
        self.assignments.iter().find(|s| s.shard == *shard)
    }

    /// Whether a departure is in force already.
    pub fn is_announced(&self, departure: &Departure) -> bool {
        match departure {
            Departure::Endpoint(id) => self.leaving.contains(id),
            Departure::EndpointBack(id) => !self.leaving.contains(id),
            Departure::Vm(name, incarnation) => self.stopping.get(name) == Some(incarnation),
        }
    }

    /// Whether a data centre is evacuated.
    pub fn is_evacuated(&self, data_centre: &Name) -> bool {
        let last = self.evacuations.get(data_centre);
        last.is_some_and(|evacuation| evacuation.is_in_force)
    }

    /// Data centres that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &Name> {
        let all = self.evacuations.iter();
        all.filter(|(_, e)| e.is_in_force).map(|(name, _)| name)
    }

    /// Whether an endpoint gets new work.
    pub fn accepts_work(&self, id: EndpointId, endpoint: &Endpoint) -> bool {
        !self.leaving.contains(&id) && !self.is_evacuated(&endpoint.data_centre)
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Config(delta) => self.configure(delta),
            Change::Release(number, delta) => {
                self.release = *number;
                self.configure(delta);
            }
            Change::Control(places) => self.control.clone_from(places),
            Change::Assignment(assignment) => {
                // Those of a division before this one schedule nothing any more.
                self.assignments
                    .retain(|s| !s.shard.overlaps(&assignment.shard));
                self.assignments.push(assignment.clone());
            }
            Change::Departure(Departure::Endpoint(id)) => {
                self.leaving.insert(*id);
            }
            Change::Departure(Departure::EndpointBack(id)) => {
                self.leaving.remove(id);
            }
            Change::Departure(Departure::Vm(name, incarnation)) => {
                self.stopping.insert(name.clone(), *incarnation);
            }
            Change::Evacuation(data_centre, evacuation) => {
                self.evacuations.insert(data_centre.clone(), *evacuation);
            }
            Change::Suspects(changes) => {
                for (fingerprint, standing) in changes {
                    match standing {
                        Some(standing) => self.suspects.insert(*fingerprint, *standing),
                        None => self.suspects.remove(fingerprint),
                    };
                }
            }
        }
    }

    fn configure(&mut self, delta: &Delta) {
        delta.apply(&mut self.config);
        let config = &self.config;
        self.assignments
            .retain(|s| config.services.contains_key(&s.shard.service));
        self.leaving.retain(|e| config.endpoints.contains_key(e));
    }
}
