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
    pub operators: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
}

/// What a process asks of the control VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// Which version is in force?
    Head,
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
    Depart(Leaving),
    /// Report what was seen of requests that may crash endpoints.
    Suspects(Evidence),
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
pub enum Leaving {
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
    Head(Version),
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
    Agree(Envelope),
    /// A process that can schedule lives.
    Beat {
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
    Elsewhere(Node),
    /// The version in force, as a root of the tree has just seen it confirmed.
    Pulse(Version),
    /// The next versions.
    Steps(SmallVec<[Step; 1]>),
    /// The whole view, for one that missed steps.
    Whole(Box<View>),
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
    Kept(Vec<Cached>),
    /// This VM does not schedule in that epoch, or not yet.
    Unassigned(Epoch),
    /// The platform's endpoints, as they are since the last reading.
    Listing(Box<Listing>),
    /// The platform's endpoints are still those of the listing with this number.
    ListingKept(u64),
    /// Send the listing: its number is not known here.
    ListingWanted,
    /// How many endpoints there are, in place of a list that is too long for all processes.
    Census(Box<Census>),
    /// From a scheduler to a control VM: which endpoints has this shard? The number is that
    /// of the listing that it has.
    CellWanted(Shard, u64),
    /// From a control VM to a scheduler: the endpoints of its shard, as it asked.
    Cell(Shard, Box<cell::Answer>),
    /// From a scheduler to a router: endpoints that grants behind this name.
    Introductions(Vec<(EndpointId, Endpoint)>),
    /// Between control VMs: routers that the sender feeds, directly or not.
    Subtree(u32),
    /// Routers of the fleet, as a root of the tree counts them.
    Size(u32),
    /// How old is your proof of the newest version? With the sender's own time.
    Check(u64),
    /// What has changed since the platform's endpoints were last told.
    ListingChange(Box<Change>),
    /// The answer to a check.
    Checked {
        /// Time that the check bore.
        sent: u64,
        /// Age of the proof when the check was answered, in milliseconds.
        age_ms: u64,
        /// The newest version that it proves.
        head: Version,
    },
}

impl Message {
    /// Name of its kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Hello(_) => "hello",
            Message::Agree(_) => "agree",
            Message::Beat { .. } => "beat",
            Message::Query(..) => "query",
            Message::Reply(..) => "reply",
            Message::Subscribe(_) => "subscribe",
            Message::Unsubscribe => "unsubscribe",
            Message::Elsewhere(_) => "elsewhere",
            Message::Pulse(_) => "pulse",
            Message::Steps(_) => "steps",
            Message::Whole(_) => "whole",
            Message::Confirm(_) => "confirm",
            Message::Evidence(_) => "evidence",
            Message::Reports(..) => "reports",
            Message::Grants(_) => "grants",
            Message::Refusals(_) => "refusals",
            Message::Served(..) => "served",
            Message::Kept(_) => "kept",
            Message::Unassigned(_) => "unassigned",
            Message::Listing(_) => "listing",
            Message::ListingChange(_) => "listing-change",
            Message::ListingKept(_) => "listing-kept",
            Message::ListingWanted => "listing-wanted",
            Message::Census(_) => "census",
            Message::CellWanted(..) => "cell-wanted",
            Message::Cell(..) => "cell",
            Message::Introductions(_) => "introductions",
            Message::Subtree(_) => "subtree",
            Message::Size(_) => "size",
            Message::Check(_) => "check",
            Message::Checked { .. } => "checked",
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
