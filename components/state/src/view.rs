//! The replicated view of the fleet that every router holds: configuration, assignments of
//! schedulers, announced stops, quarantines and evacuations.

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

/// A VM and the address on which it accepts links from other VMs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Node {
    /// Name of the VM.
    pub vm: Name,
    /// Address on which it accepts links.
    pub address: SocketAddr,
}

impl Node {
    /// A VM that is known only by its address; its name is derived from the address, because
    /// the real name of a seed is unknown until it was reached.
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

/// One of the equal parts into which the endpoints of a large shard are split by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cell {
    /// Index of the cell, from 0.
    pub index: u16,
    /// Number of cells, a power of two.
    pub of: u16,
}

impl Cell {
    /// The cell that covers an endpoint, out of `of` cells.
    pub fn covering(id: EndpointId, of: u16) -> Self {
        let of = of.max(1);
        // CAST: the remainder is below `of`.
        let index = (id.0 % u32::from(of)) as u16;
        Cell { index, of }
    }

    /// Whether two cells, also of different numbers of cells, can have endpoints in common.
    fn overlaps(self, other: Cell) -> bool {
        let of = self.of.min(other.of).max(1);
        self.index % of == other.index % of
    }
}

/// The set of endpoints that one scheduler manages: those of a service in a region, in one of
/// its data centres, or in a cell of either.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Shard {
    /// Service.
    pub service: ServiceId,
    /// Region.
    pub region: Name,
    /// The data centre, if the region is split by data centre.
    pub data_centre: Option<Name>,
    /// The cell, if there are too many endpoints for one scheduler.
    pub cell: Option<Cell>,
}

impl Shard {
    /// Whether the shard covers an endpoint of its service.
    pub fn covers(&self, id: EndpointId, endpoint: &Endpoint) -> bool {
        let is_here = |data_centre: &Name| *data_centre == endpoint.data_centre;
        let is_in = |cell: Cell| Cell::covering(id, cell.of) == cell;
        self.region == endpoint.region
            && self.data_centre.as_ref().is_none_or(is_here)
            && self.cell.is_none_or(is_in)
    }

    /// Whether two shards can have endpoints in common.
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

/// Assignment of a shard to the VM that schedules it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Assignment {
    /// The shard.
    pub shard: Shard,
    /// VM of the scheduler.
    #[serde(rename = "place")]
    pub node: Node,
    /// Number of the assignment; grants of a scheduler with an earlier epoch are refused.
    pub epoch: Epoch,
}

/// Announcement that an endpoint or a VM stops, or is back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Departure {
    /// The endpoint drains: it gets no new requests.
    Endpoint(EndpointId),
    /// The endpoint gets requests again.
    EndpointBack(EndpointId),
    /// The VM drains and then ends. The incarnation identifies the process, so that the order
    /// does not stop the process that replaces it.
    Vm(Name, u64),
}

/// One change of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// An operator has changed the configuration.
    Config(Delta),
    /// A complete configuration with this number has replaced the previous one.
    Release(u64, Delta),
    /// The voting control VMs.
    Control(Vec<Node>),
    /// A scheduler was assigned.
    Assignment(Assignment),
    /// An announced stop or return.
    Departure(Departure),
    /// New statuses of suspected requests; `None` for a request that is no longer suspected.
    Suspects(Vec<(Fingerprint, Option<Status>)>),
    /// A data centre's evacuation has begun or ended.
    Evacuation(Name, Evacuation),
}

/// A change and the version that it leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Step {
    /// Version after the change, one more than before it.
    pub version: Version,
    /// The change.
    pub change: Change,
}

/// The replicated state that routers act on, at a version that only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct View {
    /// Current version.
    pub version: Version,
    /// Configuration.
    pub config: Config,
    /// Version that last changed the configuration; operators base changes on it.
    pub config_version: Version,
    /// Number of the complete configuration in force, 0 for none.
    pub release: u64,
    /// Voting control VMs; empty until the first change of members.
    pub control: Vec<Node>,
    /// Scheduler of each shard; a list because a shard cannot be a JSON key.
    pub assignments: Vec<Assignment>,
    /// Draining endpoints, which get no new requests.
    pub leaving: BTreeSet<EndpointId>,
    /// VMs that were told to stop, with the incarnation that stops.
    pub stopping: BTreeMap<Name, u64>,
    /// Requests that are watched or quarantined because they may crash endpoints.
    pub suspects: Statuses,
    /// Last evacuation of each data centre, in force or ended.
    pub evacuations: Evacuations,
    /// When cold endpoints will be warm, by this process's clock; not replicated.
    #[serde(skip)]
    pub warm_at: BTreeMap<EndpointId, Millis>,
    /// Counts of all endpoints, if this process does not hold all of them; not replicated.
    #[serde(skip)]
    pub census: Option<Vec<Count>>,
}

/// Result of [`View::apply_step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The step was the next one and was applied.
    Applied,
    /// The step is not newer than the view and was dropped.
    Stale,
    /// Earlier steps are missing; the caller has to request the whole view.
    Gap,
}

impl View {
    /// Applies a step if it is the next one.
    ///
    /// Only the exact successor is applied, so that a delayed or repeated message never brings
    /// back an older version.
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

    /// Replaces the view by a newer one; returns false if `whole` is not newer.
    pub fn replace(&mut self, whole: View) -> bool {
        let is_newer = whole.version > self.version;
        if is_newer {
            *self = whole;
        }
        is_newer
    }

    /// The current assignment of a shard.
    pub fn assignment(&self, shard: &Shard) -> Option<&Assignment> {
        self.assignments.iter().find(|s| s.shard == *shard)
    }

    /// Whether a departure is already part of the view.
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

    /// Data centres whose evacuation is in force.
    pub fn evacuated(&self) -> impl Iterator<Item = &Name> {
        let all = self.evacuations.iter();
        all.filter(|(_, e)| e.is_in_force).map(|(name, _)| name)
    }

    /// Whether an endpoint gets new requests.
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
            Change::Control(nodes) => self.control.clone_from(nodes),
            Change::Assignment(assignment) => {
                // Assignments of an earlier division into shards end.
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
                for (fingerprint, status) in changes {
                    match status {
                        Some(status) => self.suspects.insert(*fingerprint, *status),
                        None => self.suspects.remove(fingerprint),
                    };
                }
            }
        }
    }

    /// Applies a change of the configuration, and drops what refers to removed services and
    /// endpoints.
    fn configure(&mut self, delta: &Delta) {
        delta.apply(&mut self.config);
        let config = &self.config;
        self.assignments
            .retain(|s| config.services.contains_key(&s.shard.service));
        self.leaving.retain(|e| config.endpoints.contains_key(e));
    }
}
