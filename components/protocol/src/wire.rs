//! The messages.

use coordination::cell;
use coordination::consensus::Envelope;
use coordination::messages::{Cached, Grant, Refusal, Report, Served};
use coordination::tree::Confirmation;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use state::clock::Stamp;
use state::config::Endpoint;
use state::evacuation::Order;
use state::id::{CustomerId, EndpointId, Epoch, Name, RequestId, Version};
use state::listing::{Census, Change, Listing};
use state::record::{Answer, ChangeId, Release, Resolution};
use state::secret::Hash;
use state::suspect::Evidence;
use state::view::{Node, Shard, Step, View};
use std::net::SocketAddr;

/// Who opens a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Hello {
    /// Name and address of its links.
    pub place: Node,
    /// Its incarnation: a new number for each start of the process.
    pub incarnation: u64,
    /// Where its operators' address listens.
    #[serde(rename = "operators")]
    pub operator_address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
}

/// What a process asks of the control VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// Which version is in force?
    #[serde(rename = "head")]
    CurrentVersion,
    /// Claim an idempotency key.
    Claim {
        /// Hash of customer and key.
        key: Hash,
        /// Customer.
        customer: CustomerId,
        /// Hash of method, path and body.
        fingerprint: Hash,
        /// Request that claims.
        request: RequestId,
    },
    /// An operator's change: a whole configuration file.
    Change {
        /// Identity for resends.
        id: ChangeId,
        /// Version that it is based on.
        base: Version,
        /// The file.
        text: String,
    },
    /// An operator's complete configuration.
    Release(Box<Release>),
    /// An operator's planned stop, or its end.
    #[serde(rename = "depart")]
    Drain(Drain),
    /// Report what was seen of requests that may crash endpoints.
    #[serde(rename = "suspects")]
    Evidence(Evidence),
    /// Report what became of a claimed request.
    Settle {
        /// Hash of customer and key.
        key: Hash,
        /// Request that claimed.
        request: RequestId,
        /// What is known; `None` when it was not run.
        known: Option<Resolution>,
    },
    /// An operator's order to evacuate a data centre, or to end that.
    Evacuation(Order),
}

/// Who leaves, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Drain {
    /// An endpoint gets no new work.
    Endpoint(Name),
    /// An endpoint is back.
    EndpointBack(Name),
    /// A VM in this incarnation drains and ends.
    Vm(Name, u64),
}

/// What the control VMs answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The version in force.
    #[serde(rename = "head")]
    CurrentVersion(Version),
    /// The answer of the state machine.
    Answer(Answer),
    /// This VM does not lead; perhaps that one does.
    NotLeader(Option<Node>),
    /// The query is wrong; nothing was changed.
    Invalid(String),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// First on each link.
    Hello(Hello),
    /// Between control VMs.
    #[serde(rename = "agree")]
    Consensus(Envelope),
    /// A process that can schedule lives.
    #[serde(rename = "beat")]
    Heartbeat {
        /// Its region.
        region: Name,
        /// Its data centre.
        data_centre: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// To a control VM.
    Query(u64, Query),
    /// From a control VM.
    Reply(u64, Reply),
    /// Dissemination: feed me, I have this version.
    Subscribe(Version),
    /// Dissemination: another node feeds me, forget me.
    Unsubscribe,
    /// Ask this node instead.
    #[serde(rename = "elsewhere")]
    Redirect(Node),
    /// The version in force, as a root of the tree has just seen it confirmed.
    #[serde(rename = "pulse")]
    VersionProof(Version),
    /// The next versions.
    #[serde(rename = "steps")]
    Updates(SmallVec<[Step; 1]>),
    /// The whole view, for one that missed steps.
    #[serde(rename = "whole")]
    FullView(Box<View>),
    /// What a subtree has in force.
    Confirm(Confirmation),
    /// What a subtree has seen of requests that may crash endpoints.
    Evidence(Evidence),
    /// From a router to a scheduler.
    Reports(Epoch, SmallVec<[Report; 2]>),
    /// From a scheduler to a router.
    Grants(SmallVec<[Grant; 2]>),
    /// From a scheduler to a router.
    Refusals(SmallVec<[Refusal; 2]>),
    /// From a scheduler to those of the same service in other regions: service
    /// that it has given in its epoch.
    Served(Served),
    /// From a scheduler to those of the same service in its region: parts of prompts that its
    /// engines have read.
    #[serde(rename = "kept")]
    CachedPrompts(Vec<Cached>),
    /// This VM does not schedule in that epoch, or not yet.
    Unassigned(Epoch),
    /// The platform's endpoints, as they are since the last reading.
    Listing(Box<Listing>),
    /// The platform's endpoints are still those of the listing with this number.
    #[serde(rename = "listing-kept")]
    ListingUnchanged(u64),
    /// Send the listing: its number is not known here.
    #[serde(rename = "listing-wanted")]
    ListingRequest,
    /// How many endpoints there are, in place of a list that is too long for all processes.
    Census(Box<Census>),
    /// From a scheduler to a control VM: which endpoints has this shard? The number is that
    /// of the listing that it has.
    #[serde(rename = "cell-wanted")]
    CellRequest(Shard, u64),
    /// From a control VM to a scheduler: the endpoints of its shard, as it asked.
    Cell(Shard, Box<cell::Answer>),
    /// From a scheduler to a router: endpoints that grants behind this name.
    #[serde(rename = "introductions")]
    EndpointDetails(Vec<(EndpointId, Endpoint)>),
    /// Between control VMs: routers that the sender feeds, directly or not.
    #[serde(rename = "subtree")]
    SubtreeSize(u32),
    /// Routers of the fleet, as a root of the tree counts them.
    #[serde(rename = "size")]
    FleetSize(u32),
    /// How old is your proof of the newest version? With the sender's own time.
    #[serde(rename = "check")]
    ProofRequest(u64),
    /// What has changed since the platform's endpoints were last told.
    ListingChange(Box<Change>),
    /// The answer to a check.
    #[serde(rename = "checked")]
    ProofAge {
        /// Time that the check bore.
        sent: u64,
        /// Age of the proof when the check was answered, in milliseconds.
        age_ms: u64,
        /// The newest version that it proves.
        #[serde(rename = "head")]
        version: Version,
    },
}

impl Message {
    /// Name of its kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Hello(_) => "hello",
            Message::Consensus(_) => "agree",
            Message::Heartbeat { .. } => "beat",
            Message::Query(..) => "query",
            Message::Reply(..) => "reply",
            Message::Subscribe(_) => "subscribe",
            Message::Unsubscribe => "unsubscribe",
            Message::Redirect(_) => "elsewhere",
            Message::VersionProof(_) => "pulse",
            Message::Updates(_) => "steps",
            Message::FullView(_) => "whole",
            Message::Confirm(_) => "confirm",
            Message::Evidence(_) => "evidence",
            Message::Reports(..) => "reports",
            Message::Grants(_) => "grants",
            Message::Refusals(_) => "refusals",
            Message::Served(..) => "served",
            Message::CachedPrompts(_) => "kept",
            Message::Unassigned(_) => "unassigned",
            Message::Listing(_) => "listing",
            Message::ListingChange(_) => "listing-change",
            Message::ListingUnchanged(_) => "listing-kept",
            Message::ListingRequest => "listing-wanted",
            Message::Census(_) => "census",
            Message::CellRequest(..) => "cell-wanted",
            Message::Cell(..) => "cell",
            Message::EndpointDetails(_) => "introductions",
            Message::SubtreeSize(_) => "subtree",
            Message::FleetSize(_) => "size",
            Message::ProofRequest(_) => "check",
            Message::ProofAge { .. } => "checked",
        }
    }
}

/// A message with the sender's hybrid logical time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Frame {
    /// Sender's time.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}
