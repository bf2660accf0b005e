//! Raft messages between members, with the requests by which a new disk joins.

use super::log::{Entry, Index, Term};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use state::clock::Millis;
use state::record::{DiskId, Member, Members};

/// Request of a disk that is not a member yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Join {
    /// The disk that wants to join, and its node.
    pub member: Member,
    /// New disks from which it has received join requests, including itself.
    #[serde(rename = "heard")]
    pub joiners: SmallVec<[Member; 5]>,
    /// Whether the disks in `joiners` have bootstrapped a group.
    #[serde(rename = "began")]
    pub bootstrapped: bool,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Install {
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members at that entry.
    pub members: Members,
    /// Offset of this chunk in bytes.
    pub offset: u64,
    /// Length of the whole snapshot in bytes.
    pub total: u64,
    /// Bytes of the chunk.
    pub piece: Vec<u8>,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Request to join the group, from a disk without a log or a removed member.
    Join(Box<Join>),
    /// Asks whether the receiver would vote for the sender in `term`; binds neither side.
    PreVote {
        /// Term that the sender would open.
        term: Term,
        /// Index of the sender's last entry.
        last: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if granted, else the voter's own term.
        term: Term,
        /// Whether the voter would vote for the candidate.
        granted: bool,
    },
    /// Asks for the receiver's vote in `term`.
    Vote {
        /// The new term.
        term: Term,
        /// Index of the candidate's last entry.
        last: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the voter has voted for the candidate.
        granted: bool,
    },
    /// Entries to append; without entries a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// Index before the first entry.
        prev: Index,
        /// Term of the entry at `prev`.
        prev_term: Term,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// Last index that the leader has committed.
        commit: Index,
        /// Leader's clock at sending, returned in the reply.
        sent: Millis,
    },
    /// Answer to [`Message::Append`].
    AppendReply {
        /// The follower's term.
        term: Term,
        /// Last index at which the follower's log matches the leader's. If `refused`, the
        /// index at which the leader should try next.
        matched: Index,
        /// Whether the follower's log has no matching entry at `prev`.
        refused: bool,
        /// `sent` of the answered message.
        sent: Millis,
    },
    /// A chunk of a snapshot.
    Install {
        /// The leader's term.
        term: Term,
        /// The chunk.
        install: Box<Install>,
        /// Leader's clock at sending, returned in the reply.
        sent: Millis,
    },
    /// Answer to [`Message::Install`].
    InstallReply {
        /// The follower's term.
        term: Term,
        /// Index of the snapshot.
        index: Index,
        /// Bytes of the snapshot that the follower has received.
        offset: u64,
        /// `sent` of the answered message.
        sent: Millis,
    },
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Envelope {
    /// Disk of the sender.
    pub from: DiskId,
    /// Disk of the receiver; `None` if the sender does not know it.
    pub to: Option<DiskId>,
    /// Content.
    pub message: Message,
}
