//! Agreement on one replicated log.
//!
//! Method: Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm", 2014) with pre-vote, check-quorum, leases, learners
//! and membership changes of one member at a time. A member is a disk, not a
//! VM: a VM that lost its disk comes back as another member.

mod core;
mod election;
mod log;
mod membership;
mod message;
mod replication;

pub use self::core::{Admission, Core, Ready, Refusal, Role};
pub use self::log::{Ballot, Entry, Index, Log, Recovery, Snapshot, Term};
pub use self::message::{Envelope, Install, Join, Message};

/// Shortest silence after which a voter stands for election, in milliseconds.
pub const ELECTION_TIMEOUT_MS: u64 = 500;
/// Largest random addition to that silence, in milliseconds.
pub const ELECTION_JITTER_MS: u64 = 400;
/// Time between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// How long a leader may act after a quorum last heard from it, in
/// milliseconds.
///
/// It is shorter than [`ELECTION_TIMEOUT_MS`], during which no voter that heard from
/// the leader helps to elect another. It holds while clocks run at rates that
/// differ by less than a fifth.
pub const LEASE_MS: u64 = 400;
/// Time between a newcomer's calls, in milliseconds.
pub const JOIN_INTERVAL_MS: u64 = 200;
/// Silence of a leader after which a member asks whether it still is one, in
/// milliseconds; longer than an election takes.
pub const REJOIN_MS: u64 = 2000;
/// Silence after which a voter beyond the wanted number is taken for gone, in
/// milliseconds. One that was only cut off is admitted again when it calls.
pub const VOTER_LOST_MS: u64 = 2500;
/// Entries that one message carries at most.
pub const BATCH_ENTRIES_MAX: usize = 64;
/// Bytes of a snapshot that one message carries at most.
pub const CHUNK_BYTES_MAX: usize = 32 * 1024;
