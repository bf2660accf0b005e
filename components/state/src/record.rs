//! Records of the replicated log and the answers they give.

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

/// Identity of one disk, drawn when its folder is made.
///
/// A VM whose disk was lost gets a new one: what the old disk promised, the
/// new one cannot know.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DiskId(pub u64);

/// A control VM with its disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Where it is reached.
    #[serde(rename = "place")]
    pub node: Node,
}

/// Who takes part in agreement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Members {
    /// Members whose votes count.
    pub voters: SmallVec<[Member; 5]>,
    /// Members that only receive the log.
    pub learners: SmallVec<[Member; 5]>,
}

impl Members {
    /// Whether `disk` votes.
    pub fn votes(&self, disk: DiskId) -> bool {
        self.voters.iter().any(|m| m.disk == disk)
    }

    /// All members.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Votes that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Identity that an operator gives to a change; a resend carries the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub u128);

/// What a finished request with an idempotency key leaves for a resend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, when it was small enough to keep.
    pub body: Option<Vec<u8>>,
}

/// What is known of a claimed idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// Claimed; the request may be running.
    #[serde(rename = "open")]
    Pending,
    /// Answered with this.
    Answered(Stored),
    /// The router lost it after sending: it may or may not have run.
    Unknown,
}

/// A complete configuration as its operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Release {
    /// Number that the operator chose; the highest is in force.
    pub number: u64,
    /// The bytes that were sent, to be read back.
    pub document: Vec<u8>,
    /// What they say.
    pub draft: Draft,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A new leader's first entry, which lets it count older ones as accepted.
    #[serde(rename = "blank")]
    NoOp,
    /// An operator's change.
    Change {
        /// Identity for resends.
        id: ChangeId,
        /// Version that it is based on.
        base: Version,
        /// What it changes.
        delta: Box<Delta>,
    },
    /// An operator's complete configuration, under the number that the operator
    /// chose. It replaces all of an older number.
    Release(Box<Release>),
    /// A scheduler is assigned.
    Assignment(Assignment),
    /// Someone leaves.
    Departure(Departure),
    /// A router claims an idempotency key before it sends.
    Claim {
        /// Hash of customer and key.
        key: Hash,
        /// Customer.
        customer: CustomerId,
        /// Hash of method, path and body.
        fingerprint: Hash,
        /// Request that claims.
        request: RequestId,
        /// Leader's wall clock in seconds, for expiry.
        at: u64,
    },
    /// A router reports what became of a claimed request.
    Settle {
        /// Hash of customer and key.
        key: Hash,
        /// Request that claimed.
        request: RequestId,
        /// What is known now; `None` frees a key whose request was not run.
        known: Option<Resolution>,
    },
    /// What routers have seen of requests that may crash endpoints, if only that time has
    /// passed.
    Suspects {
        /// Leader's time.
        at: Stamp,
        /// What was seen.
        evidence: Evidence,
    },
    /// The members change; in force from the moment it is appended.
    Members(Box<Members>),
    /// An operator evacuates a data centre, or ends that.
    Evacuation {
        /// Leader's time.
        at: Stamp,
        /// What was ordered.
        order: Order,
    },
}

impl Record {
    /// Whether its size is an operator's choice: it may be megabytes.
    pub fn is_large(&self) -> bool {
        matches!(self, Record::Change { .. } | Record::Release(_))
    }
}

/// What applying a record gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Nothing to tell.
    Done,
    /// The change is accepted at this version.
    Accepted(Version),
    /// The change was based on an older version; this one is current.
    Conflict(Version),
    /// The complete configuration with this number is in force: the one that was
    /// sent, or a newer one.
    Released(u64),
    /// The key is this request's.
    #[serde(rename = "fresh")]
    Claimed,
    /// Another request has the key: its fingerprint and what is known.
    #[serde(rename = "taken")]
    AlreadyClaimed(Hash, Resolution),
}
