//! Records of the replicated log, and the results of applying them.

use crate::catalog;
use crate::clock::Stamp;
use crate::config::Draft;
use crate::delta::Delta;
use crate::evacuation::Order;
use crate::id::{CustomerId, RequestId, Version};
use crate::secret::Hash;
use crate::suspect::Evidence;
use crate::view::{Assignment, Departure, Node};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Identity of one disk, drawn at random when its data directory is created.
///
/// A VM that lost its disk gets a new identity, because the votes and entries of the old disk
/// are lost.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DiskId(pub u64);

/// A member of the consensus group: a control VM with its disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// Identity of the disk.
    pub disk: DiskId,
    /// The VM and its address.
    #[serde(rename = "place")]
    pub node: Node,
}

/// Members of the consensus group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Members {
    /// Members that vote.
    pub voters: SmallVec<[Member; 5]>,
    /// Members that receive the log but do not vote.
    pub learners: SmallVec<[Member; 5]>,
}

impl Members {
    /// Whether `disk` is a voter.
    pub fn votes(&self, disk: DiskId) -> bool {
        self.voters.iter().any(|m| m.disk == disk)
    }

    /// All voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Identifier that an operator's tool gives to a change; a resend carries the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub u128);

/// Stored response of a request with an idempotency key, returned for a resend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Stored {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, if it was small enough to store and has not been trimmed.
    pub body: Option<Vec<u8>>,
}

/// State of the request that claimed an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// The request may still be running.
    #[serde(rename = "open")]
    Pending,
    /// The request was answered with this response.
    Answered(Stored),
    /// The router lost the request after sending it: it may or may not have run.
    Unknown,
}

/// A complete configuration as its operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Release {
    /// Number that the operator chose; the highest one is in force.
    pub number: u64,
    /// The document as it was sent, for reading it back.
    pub document: Vec<u8>,
    /// The parsed document.
    pub draft: Draft,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// First entry of a new leader, with which it commits entries of earlier terms.
    #[serde(rename = "blank")]
    NoOp,
    /// An operator's change of the configuration.
    Change {
        /// Identifier that detects resends.
        id: ChangeId,
        /// Version of the configuration on which it is based.
        base: Version,
        /// The difference to that configuration.
        delta: Box<Delta>,
    },
    /// An operator's complete configuration, which replaces one with a lower number.
    Release(Box<Release>),
    /// A shard is assigned to a scheduler.
    Assignment(Assignment),
    /// A stop or return is announced.
    Departure(Departure),
    /// A router claims an idempotency key before it sends the request.
    Claim {
        /// Hash of the customer and the key.
        key: Hash,
        /// Customer.
        customer: CustomerId,
        /// Hash of the method, path and body.
        fingerprint: Hash,
        /// Request that claims the key.
        request: RequestId,
        /// Leader's wall clock in seconds, from which the claim expires.
        at: u64,
    },
    /// A router reports the end of a request that claimed a key.
    Settle {
        /// Hash of the customer and the key.
        key: Hash,
        /// Request that claimed the key.
        request: RequestId,
        /// New state; `None` releases the key because the request was not run.
        known: Option<Resolution>,
    },
    /// Observations of requests that may crash endpoints. A record without observations only
    /// expires suspicions and quarantines.
    Suspects {
        /// Leader's clock.
        at: Stamp,
        /// The observations.
        evidence: Evidence,
    },
    /// A membership change, in force as soon as it is appended.
    Members(Box<Members>),
    /// An operator begins or ends the evacuation of a data centre.
    Evacuation {
        /// Leader's clock.
        at: Stamp,
        /// The order.
        order: Order,
    },
    /// Software versions join their services. Not proposed while a member is of a release that
    /// does not know the record.
    Versions(catalog::Joined),
}

impl Record {
    /// Whether the record holds configuration, which may be megabytes long.
    pub fn is_large(&self) -> bool {
        matches!(self, Record::Change { .. } | Record::Release(_))
    }
}

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The record has no result.
    Done,
    /// The change is in force since this version.
    Accepted(Version),
    /// The change was refused because it was based on an older version than this current one.
    Conflict(Version),
    /// The complete configuration with this number is in force: the one that was sent, or one
    /// with a higher number.
    Released(u64),
    /// The request has claimed the key.
    #[serde(rename = "fresh")]
    Claimed,
    /// Another request has claimed the key: its fingerprint and its state.
    #[serde(rename = "taken")]
    AlreadyClaimed(Hash, Resolution),
}
