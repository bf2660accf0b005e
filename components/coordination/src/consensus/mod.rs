//! Consensus on one replicated log.
//!
//! The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014) with pre-vote, check-quorum, leader leases, learners and membership
//! changes of one member at a time. A member is a disk, not a VM: a VM that lost its disk
//! joins again as another member.

mod core;
mod election;
mod log;
mod membership;
mod message;
mod replication;

pub use self::core::{Admission, Core, Ready, Refusal, Role};
pub use self::log::{Ballot, Entry, Index, Log, Recovery, Snapshot, Term};
pub use self::message::{Envelope, Install, Join, Message};

/// Shortest time without a leader after which a voter starts an election, in milliseconds.
pub const ELECTION_TIMEOUT_MS: u64 = 500;
/// Upper bound of the random part of the election timeout, in milliseconds.
pub const ELECTION_JITTER_MS: u64 = 400;
/// Time between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Duration of a leader's lease, counted from the send time of a message that a quorum has
/// answered, in milliseconds.
///
/// It is shorter than [`ELECTION_TIMEOUT_MS`], during which no voter that has heard from the
/// leader votes for another one. The lease is safe as long as clock rates differ by less
/// than a fifth.
pub const LEASE_MS: u64 = 400;
/// Time between a new disk's join requests, in milliseconds.
pub const JOIN_INTERVAL_MS: u64 = 200;
/// Time without a leader after which a member sends join requests, in case it was removed,
/// in milliseconds. It is longer than an election takes.
pub const REJOIN_MS: u64 = 2000;
/// Time without an answer after which a voter beyond the target number is removed, in
/// milliseconds. A voter that was only partitioned joins again.
pub const VOTER_LOST_MS: u64 = 2500;
/// Most entries in one message.
pub const BATCH_ENTRIES_MAX: usize = 64;
/// Most bytes of a snapshot in one message.
pub const CHUNK_BYTES_MAX: usize = 32 * 1024;
