//! Messages between members.

use super::log::{Entry, Index, Term};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use state::clock::Millis;
use state::record::{DiskId, Member, Members};

/// A newcomer's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Join {
    /// The caller.
    pub member: Member,
    /// Newcomers that it has heard, itself among them.
    pub heard: SmallVec<[Member; 5]>,
    /// Whether these have begun a group.
    pub began: bool,
}

/// A piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Install {
    /// Last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members at that entry.
    pub members: Members,
    /// Offset of this piece in bytes.
    pub offset: u64,
    /// Length of the whole in bytes.
    pub total: u64,
    /// The piece.
    pub piece: Vec<u8>,
}

/// What one member says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// A newcomer calls: it has no log yet.
    Join(Box<Join>),
    /// Would you vote for me in `term`? Nothing is promised yet.
    PreVote {
        /// Term that the caller would open.
        term: Term,
        /// Its last entry.
        last: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// Term asked about, or a later one that the voter knows.
        term: Term,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me in `term`.
    Vote {
        /// The new term.
        term: Term,
        /// The caller's last entry.
        last: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether it voted so.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// Place before the first entry.
        prev: Index,
        /// Term at that place.
        prev_term: Term,
        /// Entries.
        entries: Vec<Entry>,
        /// Last place that the leader counts as accepted.
        commit: Index,
        /// Leader's time at sending, returned in the reply.
        sent: Millis,
    },
    /// Answer to [`Message::Append`].
    AppendReply {
        /// The follower's term.
        term: Term,
        /// Last place that is on the follower's disk and agrees, or where it
        /// would agree when `refused`.
        matched: Index,
        /// Whether the place before the entries did not agree.
        refused: bool,
        /// The leader's time at sending.
        sent: Millis,
    },
    /// A piece of a snapshot.
    Install {
        /// The leader's term.
        term: Term,
        /// The piece.
        install: Box<Install>,
        /// Leader's time at sending, returned in the reply.
        sent: Millis,
    },
    /// Answer to [`Message::Install`].
    InstallReply {
        /// The follower's term.
        term: Term,
        /// Snapshot concerned.
        index: Index,
        /// Bytes that the follower has.
        offset: u64,
        /// The leader's time at sending.
        sent: Millis,
    },
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Envelope {
    /// Sender's disk.
    pub from: DiskId,
    /// Receiver's disk; `None` when the sender does not know it.
    pub to: Option<DiskId>,
    /// The message.
    pub message: Message,
}
