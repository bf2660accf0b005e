//! State and inputs of one member, and the effects that it asks its caller for.

use super::log::{Ballot, Entry, Index, Log, Recovery, Snapshot, Term};
use super::membership::Joins;
use super::message::{Envelope, Message};
use super::{ELECTION_JITTER_MS, ELECTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS, LEASE_MS};
use crate::prelude::*;
use state::record::{DiskId, Member, Members, Record};
use state::view::Node;
use std::collections::{BTreeMap, BTreeSet};

/// Which VMs may join the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Only the VMs of the seeds, with any disk.
    Seeds,
    /// Any VM. The seeds bootstrap a new group only if `may_bootstrap` is set, that is
    /// when the fleet starts for the first time.
    Open {
        /// Whether a new group may be bootstrapped.
        may_bootstrap: bool,
        /// Target number of voters.
        voters: usize,
    },
}

/// Current role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The disk is new and not a member yet.
    Newcomer,
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks the voters whether they would elect it, without opening a new term.
    PreCandidate,
    /// Has opened a new term and asks for votes in it.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// Why a proposed record was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This member does not lead; holds the leader's address if it is known.
    NotLeader(Option<Node>),
    /// This member leads, but its lease has expired or its term's first entry is not applied.
    NoLease,
    /// An earlier membership change is not committed yet.
    Busy,
}

/// Replication state that a leader keeps for each member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Last index known to be on the member's disk.
    pub(super) matched: Index,
    /// Next index to send.
    pub(super) next: Index,
    /// When the leader sent the latest message that the member has answered.
    pub(super) last_ack: Millis,
    /// When the leader began to track the member.
    pub(super) tracked_since: Millis,
    /// Whether entries or a snapshot chunk are in flight without an answer.
    pub(super) in_flight: bool,
    /// When they were sent; they are sent again after a timeout.
    pub(super) sent_at: Millis,
    /// Index of the snapshot that is being transferred, and the bytes received so far.
    pub(super) installing: Option<(Index, u64)>,
}

/// Effects that the caller performs in this order: write, sync, send, apply.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Snapshot from the leader that replaces the log.
    pub install: Option<Snapshot>,
    /// Remove the entry at this index and all after it.
    pub truncate_from: Option<Index>,
    /// Entries to append.
    pub append: Vec<Entry>,
    /// Term and vote to persist.
    pub ballot: Option<Ballot>,
    /// Messages to send after everything above is on disk.
    pub messages: Vec<(Node, Envelope)>,
    /// Committed entries to apply to the state machine.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Whether there is no effect to perform.
    pub fn is_empty(&self) -> bool {
        !self.must_sync() && self.messages.is_empty() && self.committed.is_empty()
    }

    /// Whether anything must be synced to disk before the messages are sent.
    pub fn must_sync(&self) -> bool {
        self.install.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
            || self.ballot.is_some()
    }
}

/// One member of the Raft group, without I/O.
pub struct Core {
    pub(super) me: Member,
    pub(super) seeds: Vec<Node>,
    pub(super) admission: Admission,
    pub(super) ballot: Ballot,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<DiskId>,
    /// Last index known to be committed.
    pub(super) commit: Index,
    /// Last index handed out to be applied.
    pub(super) applied: Index,
    /// Voters that have granted the current pre-vote or vote.
    pub(super) votes: BTreeSet<DiskId>,
    /// Replication state of each member, while this member leads.
    pub(super) progress: BTreeMap<DiskId, Progress>,
    /// When the current or an earlier leader last sent a message.
    pub(super) leader_contact: Option<Millis>,
    /// When this process started; see [`Core::allows_election`].
    pub(super) started: Millis,
    pub(super) election_deadline: Millis,
    pub(super) next_heartbeat: Millis,
    /// Index of the first entry of this member's own term, while it leads.
    pub(super) term_start: Option<Index>,
    pub(super) joins: Joins,
    /// Snapshot that is being received: its index and the bytes so far.
    pub(super) incoming: Option<(Index, Vec<u8>)>,
    /// Effects that the caller has not taken yet.
    pub(super) ready: Ready,
    /// Time of the latest input.
    clock: Millis,
    /// State of the generator for election timeouts.
    random: u64,
}

impl Core {
    /// Creates a member from the state recovered from its disk. `seeds` are the addresses
    /// of the first members, including this one.
    pub fn new(me: Member, seeds: Vec<Node>, recovery: Recovery, now: Millis) -> Self {
        let snapshot_index = recovery.snapshot.index;
        let log = Log::new(recovery.snapshot, recovery.entries);
        let newcomer = log.members().1.voters.is_empty();
        let random = me.disk.0 | 1;
        let mut core = Core {
            me,
            seeds,
            admission: Admission::Seeds,
            ballot: recovery.ballot,
            log,
            role: if newcomer {
                Role::Newcomer
            } else {
                Role::Follower
            },
            leader: None,
            commit: snapshot_index,
            applied: snapshot_index,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            leader_contact: None,
            started: now,
            election_deadline: now,
            next_heartbeat: now,
            term_start: None,
            joins: Joins::default(),
            incoming: None,
            ready: Ready::default(),
            clock: now,
            random,
        };
        core.reset_election(now);
        core
    }

    /// Sets which VMs besides the seeds may join.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = admission;
    }

    /// Replaces the addresses to which a new disk sends join requests.
    pub fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.seeds = seeds;
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// Identity of this member's disk.
    pub fn disk(&self) -> DiskId {
        self.me.disk
    }

    /// Current term and the vote in it.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Last index handed out to be applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Whether this member leads with a valid lease, or has recently heard from a leader.
    pub fn has_leader_contact(&self, now: Millis) -> bool {
        match self.role {
            Role::Leader => self.may_serve(now),
            _ => (self.leader_contact).is_some_and(|at| now.since(at) < 2 * ELECTION_TIMEOUT_MS),
        }
    }

    /// Last index known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Current members.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Address of the leader, if one is known.
    pub fn leader(&self) -> Option<Node> {
        let leader = self.leader?;
        let found = self.members().all().find(|m| m.disk == leader);
        found.map(|m| m.node.clone())
    }

    /// Whether this member may answer as leader: it has applied everything committed before
    /// its term, and a quorum has answered it within the lease.
    ///
    /// Without the lease, a partitioned leader would keep answering from stale state, and a
    /// router could see an older version after a newer one.
    pub fn may_serve(&self, now: Millis) -> bool {
        let has_caught_up = self.term_start.is_some_and(|start| self.applied >= start);
        self.role == Role::Leader
            && has_caught_up
            && self.lease_until().is_some_and(|until| now < until)
    }

    /// Appends a record to the log and returns its index.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if this member is not a leader with a valid lease, or if the record changes
    /// the members while another such change is pending.
    pub fn propose(&mut self, now: Millis, record: Record) -> Result<Index, Refusal> {
        self.advance_clock(now);
        if self.role != Role::Leader {
            return Err(Refusal::NotLeader(self.leader()));
        }
        if !self.may_serve(now) {
            return Err(Refusal::NoLease);
        }
        if matches!(record, Record::Members(_)) && self.membership_change_pending() {
            return Err(Refusal::Busy);
        }
        Ok(self.append(record))
    }

    /// Handles a message. `node` is the authenticated sender.
    pub fn step(&mut self, now: Millis, node: &Node, envelope: Envelope) {
        self.advance_clock(now);
        let Envelope { from, to, message } = envelope;
        if to.is_some_and(|to| to != self.me.disk) || !self.is_from(node, from) {
            return;
        }
        match message {
            Message::Join(join) => self.on_join(now, node, *join),
            Message::PreVote {
                term,
                last,
                last_term,
            } => self.on_pre_vote(now, node, from, term, (last_term, last)),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now, from, term, granted);
            }
            Message::Vote {
                term,
                last,
                last_term,
            } => self.on_vote(now, node, from, term, (last_term, last)),
            Message::VoteReply { term, granted } => self.on_vote_reply(now, from, term, granted),
            message => self.step_replication(now, node, from, message),
        }
    }

    /// Whether a message in the name of a disk comes from the VM of that disk, if the disk is
    /// known. The link authenticates the VM, not the disk: without this check one VM could
    /// vote for all others.
    fn is_from(&self, node: &Node, from: DiskId) -> bool {
        let member = self.members().all().find(|m| m.disk == from);
        member.is_none_or(|m| m.node.vm == node.vm)
    }

    /// Performs what is due at `now`: elections, heartbeats, join requests.
    pub fn tick(&mut self, now: Millis) {
        self.advance_clock(now);
        match self.role {
            Role::Newcomer => self.tick_newcomer(now),
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.tick_follower(now),
        }
    }

    /// Returns the pending effects. The caller writes and syncs, then calls
    /// [`Core::synced`], then sends, then applies.
    pub fn ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.send_missing_entries();
        }
        let mut ready = std::mem::take(&mut self.ready);
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied.next()) else {
                break;
            };
            ready.committed.push(entry.clone());
            self.applied = self.applied.next();
        }
        ready
    }

    /// Records that this member's disk holds everything up to `upto`.
    pub fn synced(&mut self, upto: Index) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(own) = self.progress.get_mut(&self.me.disk) {
            own.matched = own.matched.max(upto);
        }
        self.advance_commit();
    }

    /// Records that the caller has written a snapshot of the applied state.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot);
    }

    /// Advances the clock, which never runs backwards.
    pub(super) fn advance_clock(&mut self, now: Millis) {
        self.clock = self.clock.max(now);
    }

    /// Time of the latest input.
    pub(super) fn now(&self) -> Millis {
        self.clock
    }

    /// Whether the latest membership change is not committed yet.
    pub(super) fn membership_change_pending(&self) -> bool {
        self.log.members().0 > self.commit
    }

    /// Appends a record of this leader's term and returns its index.
    pub(super) fn append(&mut self, record: Record) -> Index {
        let entry = Entry {
            term: self.ballot.term,
            index: self.log.last().next(),
            record,
        };
        let index = entry.index;
        self.log.push(entry.clone());
        self.ready.append.push(entry);
        if matches!(
            self.log.get(index).map(|e| &e.record),
            Some(Record::Members(_))
        ) {
            self.sync_progress();
        }
        index
    }

    /// Queues a message to a node.
    pub(super) fn send(&mut self, node: &Node, to: Option<DiskId>, message: Message) {
        let envelope = Envelope {
            from: self.me.disk,
            to,
            message,
        };
        self.ready.messages.push((node.clone(), envelope));
    }

    /// Whether this member is a voter.
    pub(super) fn is_voter(&self) -> bool {
        self.members().votes(self.me.disk)
    }

    /// Restarts the election timeout with a new random part.
    pub(super) fn reset_election(&mut self, now: Millis) {
        // Xorshift seeded by the disk, so that members do not all start an election at once.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let jitter = self.random % ELECTION_JITTER_MS;
        let is_only_voter = self.members().voters.len() == 1;
        // No other member can win an election, so there is no reason to wait.
        let wait = if is_only_voter {
            0
        } else {
            ELECTION_TIMEOUT_MS + jitter
        };
        self.election_deadline = now.after(wait);
    }

    /// Becomes a follower in a term, of the leader if it is known.
    pub(super) fn become_follower(&mut self, now: Millis, term: Term, leader: Option<DiskId>) {
        if term > self.ballot.term {
            self.ballot = Ballot { term, vote: None };
            self.ready.ballot = Some(self.ballot);
        }
        if self.role == Role::Newcomer && self.members().voters.is_empty() && leader.is_none() {
            return;
        }
        if self.role != Role::Follower {
            self.reset_election(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.term_start = None;
        self.progress.clear();
        self.votes.clear();
    }

    fn tick_leader(&mut self, now: Millis) {
        // Check-quorum: a leader that a quorum no longer answers steps down.
        let last_ack = self.quorum_ack();
        if last_ack.is_some_and(|at| now.since(at) > ELECTION_TIMEOUT_MS) {
            self.become_follower(now, self.ballot.term, None);
            return;
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.after(HEARTBEAT_INTERVAL_MS);
            self.send_heartbeats(now);
            self.advance_membership();
        }
    }

    /// Send time of the latest message that a quorum has answered.
    fn quorum_ack(&self) -> Option<Millis> {
        let members = self.members();
        let mut acks: SmallVec<[Millis; 5]> = (members.voters.iter())
            .map(|m| {
                if m.disk == self.me.disk {
                    Millis(u64::MAX)
                } else {
                    self.progress.get(&m.disk).map_or(Millis(0), |p| p.last_ack)
                }
            })
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(members.quorum().checked_sub(1)?).copied()
    }

    /// When the leader's lease ends.
    pub(super) fn lease_until(&self) -> Option<Millis> {
        self.quorum_ack().map(|at| at.after(LEASE_MS))
    }
}
