//! The messages that processes exchange over links.
//!
//! Messages are encoded by position, so the order of fields and variants is part of the protocol.

use coordination::cell;
use coordination::consensus::Envelope;
use coordination::messages::{Cached, Grant, Occupancy, Peer, Refusal, Report, Totals};
use coordination::origin::{self, Origin};
use coordination::tree::Confirmation;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use state::catalog::Versions;
use state::clock::Stamp;
use state::config::Endpoint;
use state::evacuation::Order;
use state::id::{CustomerId, EndpointId, Epoch, Name, RequestId, ServiceId, Software, Version};
use state::listing::{Census, Change, Entry, Listing};
use state::record::{Answer, ChangeId, Release, Resolution};
use state::secret::Hash;
use state::suspect::Evidence;
use state::view::{Node, Shard, Step, View};
use std::net::SocketAddr;

/// First message on a link, in both directions: who the sender is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Hello {
    /// Name of the sender's VM, and the address that the sender accepts links on.
    #[serde(rename = "place")]
    pub node: Node,
    /// Incarnation of the sender: a new number for each start of its process.
    pub incarnation: u64,
    /// Address that the sender listens on for operators.
    #[serde(rename = "operators")]
    pub operator_address: SocketAddr,
    /// Data centre of the sender.
    pub data_centre: Name,
    /// What the sender supports beyond the first release of the protocol.
    #[serde(skip)]
    pub extension: Extension,
}

/// Optional messages and fields that a process understands.
///
/// A process of an earlier release cannot decode a message that it does not know, and closes the
/// link. Such a message is sent only to a peer that has announced the feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Features(pub u32);

impl Features {
    /// Objectives of streams: [`Report::StreamAsk`], [`Report::Pauses`] and
    /// [`Report::ResumedAsk`].
    pub const STREAM_OBJECTIVES: Features = Features(1);
    /// Occupancy of routers: [`Message::Occupancy`] and [`Message::Peers`].
    pub const OCCUPANCY: Features = Features(1 << 1);

    /// Software versions of endpoints: [`Report::ContinuedAsk`], [`Message::Origins`],
    /// [`Message::OriginRequest`] and [`Message::Origin`].
    pub const VERSIONS: Features = Features(1 << 2);

    /// Parts of prompts that may crash endpoints: [`Evidence::breaks`] and
    /// [`Evidence::survivals`], which follow the message in its frame.
    pub const PROMPT_PARTS: Features = Features(1 << 3);

    /// Catalog of software versions: [`Query::Join`], [`Query::Versions`], the record of the
    /// replicated log that they are about, and [`Message::StreamRequest`].
    pub const CATALOG: Features = Features(1 << 4);

    /// All features of this release.
    pub const ALL: Features = Features(
        Self::STREAM_OBJECTIVES.0
            | Self::OCCUPANCY.0
            | Self::VERSIONS.0
            | Self::PROMPT_PARTS.0
            | Self::CATALOG.0,
    );

    /// Whether all of `features` are included.
    pub fn includes(self, features: Features) -> bool {
        self.0 & features.0 == features.0
    }
}

/// Fields that follow a [`Hello`] in its frame.
///
/// Processes of an earlier release ignore bytes behind a frame, and send none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Extension {
    /// Features that the sender supports.
    pub features: Features,
    /// Address on which the sender accepts callers, if it is a router.
    pub callers: Option<SocketAddr>,
}

/// Request to the control VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Query {
    /// Asks which version is in force.
    #[serde(rename = "head")]
    CurrentVersion,
    /// Claims an idempotency key.
    Claim {
        /// Hash of customer and key.
        key: Hash,
        /// Customer that the key belongs to.
        customer: CustomerId,
        /// Hash of the request's method, path and body, by which another request with the same
        /// key is refused.
        fingerprint: Hash,
        /// Request that claims the key.
        request: RequestId,
    },
    /// An operator's change of the configuration, as a complete configuration file.
    Change {
        /// Identity of the change, by which resends are recognised.
        id: ChangeId,
        /// Version that the change is based on.
        base: Version,
        /// Content of the file.
        text: String,
    },
    /// An operator's release: a complete configuration with the operator's own number.
    Release(Box<Release>),
    /// Drains an endpoint or a VM before a planned stop, or ends the drain of an endpoint.
    #[serde(rename = "depart")]
    Drain(Drain),
    /// Reports evidence on requests that may crash endpoints.
    #[serde(rename = "suspects")]
    Evidence(Evidence),
    /// Reports the outcome of a request that claimed an idempotency key.
    Settle {
        /// Hash of customer and key.
        key: Hash,
        /// Request that claimed the key.
        request: RequestId,
        /// What is known of the outcome; `None` if the request was not run, which frees the key.
        known: Option<Resolution>,
    },
    /// An operator's order to evacuate a data centre, or to end its evacuation.
    Evacuation(Order),
    /// Reports software versions that the platform lists for services, before their endpoints are
    /// used. This and the next one are sent between control VMs with [`Features::CATALOG`].
    Join(Vec<(Name, Software)>),
    /// Asks at which software versions a stream may have begun that a rule sends to a service.
    Versions {
        /// The service.
        service: Name,
        /// The rule.
        rule: Name,
    },
}

/// What is drained, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Drain {
    /// This endpoint gets no new requests.
    Endpoint(Name),
    /// This endpoint gets requests again.
    EndpointBack(Name),
    /// The process on this VM, in this incarnation, drains and stops.
    Vm(Name, u64),
}

/// Answer of a control VM to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The version in force.
    #[serde(rename = "head")]
    CurrentVersion(Version),
    /// Answer of the replicated state machine.
    Answer(Answer),
    /// This control VM is not the leader; the given one may be.
    NotLeader(Option<Node>),
    /// The query is invalid, for this reason; nothing was changed.
    Invalid(String),
    /// The versions that were asked for; `None` if the service has had no endpoint.
    Versions(Option<Versions>),
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Introduces the sender; the first message on each link, in both directions.
    Hello(Hello),
    /// Between control VMs: a message of the consensus protocol.
    #[serde(rename = "agree")]
    Consensus(Envelope),
    /// To the control VMs: the sender is alive and can be a scheduler.
    #[serde(rename = "beat")]
    Heartbeat {
        /// Region of the sender.
        region: Name,
        /// Data centre of the sender.
        data_centre: Name,
        /// Incarnation of the sender.
        incarnation: u64,
    },
    /// To a control VM: a query, with the sender's number for it.
    Query(u64, Query),
    /// From a control VM: the reply to the query with this number.
    Reply(u64, Reply),
    /// Dissemination: the sender, which has this version, asks for all newer ones from now on.
    Subscribe(Version),
    /// Dissemination: the sender now receives versions from another process.
    Unsubscribe,
    /// Dissemination: subscribe to this process instead.
    #[serde(rename = "elsewhere")]
    Redirect(Node),
    /// Dissemination: a root of the tree has just confirmed that this version is in force.
    #[serde(rename = "pulse")]
    RootHeartbeat(Version),
    /// Dissemination: the next versions, each as its changes to the one before.
    #[serde(rename = "steps")]
    Updates(SmallVec<[Step; 1]>),
    /// Dissemination: the full view, for a process that has missed versions.
    #[serde(rename = "whole")]
    FullView(Box<View>),
    /// Dissemination: which versions the processes of a subtree have in force.
    Confirm(Confirmation),
    /// Dissemination: evidence of a subtree on requests that may crash endpoints.
    Evidence(Evidence),
    /// From a router to the scheduler of this epoch: reports on its requests.
    Reports(Epoch, SmallVec<[Report; 2]>),
    /// From a scheduler to a router: grants of endpoint slots.
    Grants(SmallVec<[Grant; 2]>),
    /// From a scheduler to a router: requests that would be answered too late.
    Refusals(SmallVec<[Refusal; 2]>),
    /// From a scheduler to the schedulers of the same service in other regions: the service that
    /// customers have received from the sender in its epoch.
    #[serde(rename = "served")]
    ServiceTotals(Totals),
    /// From a scheduler to the schedulers of the same service in its region: parts of prompts that
    /// its engines have cached.
    #[serde(rename = "kept")]
    CachedPrompts(Vec<Cached>),
    /// The sender is not the scheduler of this epoch, or not yet.
    Unassigned(Epoch),
    /// All endpoints that the platform listed last.
    Listing(Box<Listing>),
    /// The platform's endpoints are still those of the listing with this number.
    #[serde(rename = "listing-kept")]
    ListingUnchanged(u64),
    /// Asks for the listing, since the sender does not have the one with the number that it
    /// received.
    #[serde(rename = "listing-wanted")]
    ListingRequest,
    /// Numbers of endpoints, in place of a listing that is too long to send to all processes.
    Census(Box<Census>),
    /// From a scheduler to a control VM: asks for the endpoints of a shard. The number is that of
    /// the listing that the scheduler has.
    #[serde(rename = "cell-wanted")]
    CellRequest(Shard, u64),
    /// From a control VM to a scheduler: the endpoints of a shard, as requested.
    Cell(Shard, Box<cell::Answer>),
    /// From a scheduler to a router: names and addresses of endpoints that the grants sent after
    /// this message refer to.
    #[serde(rename = "introductions")]
    EndpointDetails(Vec<(EndpointId, Endpoint)>),
    /// Between control VMs: number of routers in the sender's subtree of the dissemination.
    #[serde(rename = "subtree")]
    SubtreeSize(u32),
    /// Number of routers in the fleet, as a root of the dissemination counts them.
    #[serde(rename = "size")]
    FleetSize(u32),
    /// Asks how old the receiver's proof of the newest version is. Carries the sender's time.
    #[serde(rename = "check")]
    ProofRequest(u64),
    /// Changes of the platform's endpoints since the listing that was sent last.
    ListingChange(Box<Change>),
    /// Answer to a [`Message::ProofRequest`].
    #[serde(rename = "checked")]
    ProofAge {
        /// Time that the request carried.
        sent: u64,
        /// Age of the proof when the answer was sent, in milliseconds.
        age_ms: u64,
        /// Version that the proof shows to be the newest.
        #[serde(rename = "head")]
        version: Version,
    },
    /// From a router to the VM of a scheduler: how much of the router is in use. Sent to peers
    /// with [`Features::OCCUPANCY`].
    Occupancy(Occupancy),
    /// From the VM of a scheduler to a router that is under pressure: routers of its data centre
    /// with room.
    Peers(Vec<Peer>),
    /// To a control VM, and between control VMs: where streams began. This and the next two are
    /// sent to peers with [`Features::VERSIONS`].
    Origins(Vec<(origin::Key, Origin)>),
    /// To a control VM: asks where a stream of a service began, with the sender's number for the
    /// question.
    OriginRequest(u64, origin::Key, ServiceId),
    /// Answer to the [`Message::OriginRequest`] or [`Message::StreamRequest`] with this number.
    Origin(u64, origin::Answer),
    /// To a control VM with [`Features::CATALOG`], in place of a [`Message::OriginRequest`]: names
    /// the rule of the stream, too.
    StreamRequest(u64, origin::Key, ServiceId, Name),
}

impl Message {
    /// Name of the message's kind, for counters.
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
            Message::RootHeartbeat(_) => "pulse",
            Message::Updates(_) => "steps",
            Message::FullView(_) => "whole",
            Message::Confirm(_) => "confirm",
            Message::Evidence(_) => "evidence",
            Message::Reports(..) => "reports",
            Message::Grants(_) => "grants",
            Message::Refusals(_) => "refusals",
            Message::ServiceTotals(..) => "served",
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
            Message::Occupancy(_) => "occupancy",
            Message::Peers(_) => "peers",
            Message::Origins(_) => "origins",
            Message::OriginRequest(..) => "origin-request",
            Message::Origin(..) => "origin",
            Message::StreamRequest(..) => "stream-request",
        }
    }
}

impl Message {
    /// The evidence that the message carries, if it does. Its parts of prompts follow the message in
    /// its frame: the encoding of a message is that of the first release of the protocol.
    pub(crate) fn evidence(&self) -> Option<&Evidence> {
        match self {
            Message::Evidence(evidence) | Message::Query(_, Query::Evidence(evidence)) => {
                Some(evidence)
            }
            _ => None,
        }
    }
}

/// Versions of the software of listed endpoints, which follow a message in its frame: the encoding
/// of an endpoint is that of the first release of the protocol. Processes of an earlier release
/// ignore bytes behind a frame, and send none.
impl Message {
    /// Whether the message may carry listed endpoints.
    pub(crate) fn has_endpoints(&self) -> bool {
        matches!(
            self,
            Message::Listing(_)
                | Message::ListingChange(_)
                | Message::Cell(..)
                | Message::EndpointDetails(_)
        )
    }

    /// Version of each endpoint of the message, in order.
    pub(crate) fn software(&self) -> Vec<Software> {
        let of = |entries: &[Entry]| entries.iter().map(|e| e.endpoint.software).collect();
        match self {
            Message::Listing(listing) => of(&listing.endpoints),
            Message::ListingChange(change) => of(&change.set),
            Message::Cell(_, answer) => match &**answer {
                cell::Answer::Whole(listing) => of(&listing.endpoints),
                cell::Answer::Change(change) => of(&change.set),
                cell::Answer::Unchanged => Vec::new(),
            },
            Message::EndpointDetails(all) => all.iter().map(|(_, e)| e.software).collect(),
            _ => Vec::new(),
        }
    }

    /// Sets the version of each endpoint of the message, in order.
    pub(crate) fn set_software(&mut self, versions: &[Software]) {
        let set = |entries: &mut [Entry]| {
            let endpoints = entries.iter_mut().map(|e| &mut e.endpoint);
            endpoints
                .zip(versions)
                .for_each(|(endpoint, software)| endpoint.software = *software);
        };
        match self {
            Message::Listing(listing) => set(&mut listing.endpoints),
            Message::ListingChange(change) => set(&mut change.set),
            Message::Cell(_, answer) => match &mut **answer {
                cell::Answer::Whole(listing) => set(&mut listing.endpoints),
                cell::Answer::Change(change) => set(&mut change.set),
                cell::Answer::Unchanged => {}
            },
            Message::EndpointDetails(all) => {
                let endpoints = all.iter_mut().map(|(_, endpoint)| endpoint);
                endpoints
                    .zip(versions)
                    .for_each(|(endpoint, software)| endpoint.software = *software);
            }
            _ => {}
        }
    }
}

/// A message with the time at which it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Frame {
    /// Sender's hybrid logical time.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}
