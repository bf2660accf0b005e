//! One member: its state, its inputs, and what it wants done.

use super::log::{Ballot, Entry, Index, Log, Recovery, Snapshot, Term};
use super::membership::Newcomers;
use super::message::{Envelope, Message};
use super::{ELECTION_JITTER_MS, ELECTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS, LEASE_MS};
use crate::prelude::*;
use state::record::{DiskId, Member, Members, Record};
use state::view::Node;
use std::collections::{BTreeMap, BTreeSet};

/// Who may become a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The VMs of the first members alone, with whatever disk they have.
    Seeds,
    /// Any VM. A new disk begins a group with the seeds only if `may_bootstrap` says
    /// that the fleet starts for the first time.
    Open {
        /// Whether a new group may begin.
        may_bootstrap: bool,
        /// Voters that the group is to have.
        voters: usize,
    },
}

/// What a member is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its disk is new and no one has admitted it.
    Newcomer,
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

/// Why a record was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another member leads, if one is known.
    NotLeader(Option<Node>),
    /// This member leads, but cannot be sure that it still does.
    NoLease,
    /// A change of members is under way.
    Busy,
}

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Last place known to be on its disk.
    pub(super) matched: Index,
    /// Next place to send.
    pub(super) next: Index,
    /// Leader's time of the latest message that it answered.
    pub(super) heard: Millis,
    /// When this leader began to follow it.
    pub(super) since: Millis,
    /// Whether entries are under way that it has not answered.
    pub(super) waiting: bool,
    /// When they were sent, so that a lost one is sent again.
    pub(super) sent: Millis,
    /// Bytes of the snapshot that it has, while it is being sent one.
    pub(super) install: Option<(Index, u64)>,
}

/// What a member wants done, in this order: write, sync, send, apply.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Snapshot from a leader that replaces the log.
    pub install: Option<Snapshot>,
    /// Drop this place and all after it.
    pub truncate_from: Option<Index>,
    /// Entries to append.
    pub append: Vec<Entry>,
    /// Term and vote to write.
    pub ballot: Option<Ballot>,
    /// Messages to send once all that is on disk.
    pub messages: Vec<(Node, Envelope)>,
    /// Accepted entries to apply.
    pub committed: Vec<Entry>,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.must_sync() && self.messages.is_empty() && self.committed.is_empty()
    }

    /// Whether anything must reach the disk before the messages are sent.
    pub fn must_sync(&self) -> bool {
        self.install.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
            || self.ballot.is_some()
    }
}

/// One member of the agreement.
pub struct Core {
    pub(super) me: Member,
    pub(super) seeds: Vec<Node>,
    pub(super) admission: Admission,
    pub(super) ballot: Ballot,
    pub(super) log: Log,
    pub(super) role: Role,
    pub(super) leader: Option<DiskId>,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) votes: BTreeSet<DiskId>,
    pub(super) progress: BTreeMap<DiskId, Progress>,
    pub(super) heard_leader: Option<Millis>,
    /// When this process started.
    pub(super) started: Millis,
    pub(super) election_at: Millis,
    pub(super) beat_at: Millis,
    pub(super) began: Option<Index>,
    pub(super) newcomers: Newcomers,
    pub(super) incoming: Option<(Index, Vec<u8>)>,
    pub(super) ready: Ready,
    clock: Millis,
    random: u64,
}

impl Core {
    /// A member with what its disk held. `seeds` are the places of the first
    /// members, this one among them.
    pub fn new(me: Member, seeds: Vec<Node>, start: Recovery, now: Millis) -> Self {
        let snapshot_index = start.snapshot.index;
        let log = Log::new(start.snapshot, start.entries);
        let newcomer = log.members().1.voters.is_empty();
        let random = me.disk.0 | 1;
        let mut core = Core {
            me,
            seeds,
            admission: Admission::Seeds,
            ballot: start.ballot,
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
            heard_leader: None,
            started: now,
            election_at: now,
            beat_at: now,
            began: None,
            newcomers: Newcomers::default(),
            incoming: None,
            ready: Ready::default(),
            clock: now,
            random,
        };
        core.reset_election(now);
        core
    }

    /// Sets who may become a member besides the VMs of the first ones.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = admission;
    }

    /// Changes the places where a newcomer calls.
    pub fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.seeds = seeds;
    }

    /// What it is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// Identity of its disk.
    pub fn disk(&self) -> DiskId {
        self.me.disk
    }

    /// Its term and vote.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Last place that was given out to be applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Whether it leads with a lease, or has heard from a leader of late.
    pub fn has_leader_contact(&self, now: Millis) -> bool {
        match self.role {
            Role::Leader => self.may_serve(now),
            _ => (self.heard_leader).is_some_and(|at| now.since(at) < 2 * ELECTION_TIMEOUT_MS),
        }
    }

    /// Last accepted place that it knows.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Its log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Members in force.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Node of the leader, if one is known.
    pub fn leader(&self) -> Option<Node> {
        let leader = self.leader?;
        let found = self.members().all().find(|m| m.disk == leader);
        found.map(|m| m.node.clone())
    }

    /// Whether it leads, has applied all that was accepted before its term, and
    /// a quorum has heard from it within the lease.
    ///
    /// Without the lease a leader cut off in silence would go on to answer from
    /// a state that others have left behind: one would see a router learn an
    /// older version after a newer one.
    pub fn may_serve(&self, now: Millis) -> bool {
        let began = self.began.is_some_and(|b| self.applied >= b);
        self.role == Role::Leader && began && self.lease_until().is_some_and(|until| now < until)
    }

    /// Proposes a record; gives its place.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when this member does not lead for certain.
    pub fn propose(&mut self, now: Millis, record: Record) -> Result<Index, Refusal> {
        self.clock(now);
        if self.role != Role::Leader {
            return Err(Refusal::NotLeader(self.leader()));
        }
        if !self.may_serve(now) {
            return Err(Refusal::NoLease);
        }
        if matches!(record, Record::Members(_)) && self.members_busy() {
            return Err(Refusal::Busy);
        }
        Ok(self.append(record))
    }

    /// Takes a message. `place` is where the sender is known to be.
    pub fn step(&mut self, now: Millis, place: &Node, envelope: Envelope) {
        self.clock(now);
        let Envelope { from, to, message } = envelope;
        if to.is_some_and(|to| to != self.me.disk) || !self.is_from(place, from) {
            return;
        }
        match message {
            Message::Join(join) => self.on_join(now, place, *join),
            Message::PreVote {
                term,
                last,
                last_term,
            } => self.on_pre_vote(now, place, from, term, (last_term, last)),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now, from, term, granted);
            }
            Message::Vote {
                term,
                last,
                last_term,
            } => self.on_vote(now, place, from, term, (last_term, last)),
            Message::VoteReply { term, granted } => self.on_vote_reply(now, from, term, granted),
            message => self.step_replication(now, place, from, message),
        }
    }

    /// Whether a message of a disk comes from where that disk is, as far as it is
    /// known. The link certifies the VM, not the disk: without this, one VM could
    /// vote for all.
    fn is_from(&self, place: &Node, from: DiskId) -> bool {
        let member = self.members().all().find(|m| m.disk == from);
        member.is_none_or(|m| m.node.vm == place.vm)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        self.clock(now);
        match self.role {
            Role::Newcomer => self.tick_newcomer(now),
            Role::Leader => self.tick_leader(now),
            Role::Follower | Role::PreCandidate | Role::Candidate => self.tick_follower(now),
        }
    }

    /// Takes what is to be done. The caller writes and syncs, then calls
    /// [`Core::synced`], then sends, then applies.
    pub fn ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.send_entries_soon();
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

    /// Notes that everything up to a place is on this member's disk.
    pub fn synced(&mut self, upto: Index) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(own) = self.progress.get_mut(&self.me.disk) {
            own.matched = own.matched.max(upto);
        }
        self.advance_commit();
    }

    /// Notes that the caller has written a snapshot of the applied state.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.log.compact(snapshot);
    }

    pub(super) fn clock(&mut self, now: Millis) {
        self.clock = self.clock.max(now);
    }

    /// Time of the latest input.
    pub(super) fn now(&self) -> Millis {
        self.clock
    }

    /// Whether the members changed in an entry that is not accepted yet.
    pub(super) fn members_busy(&self) -> bool {
        self.log.members().0 > self.commit
    }

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
            self.follow_members();
        }
        index
    }

    pub(super) fn send(&mut self, place: &Node, to: Option<DiskId>, message: Message) {
        let envelope = Envelope {
            from: self.me.disk,
            to,
            message,
        };
        self.ready.messages.push((place.clone(), envelope));
    }

    pub(super) fn votes_here(&self) -> bool {
        self.members().votes(self.me.disk)
    }

    pub(super) fn reset_election(&mut self, now: Millis) {
        // A small xorshift, seeded by the disk: members must not stand at once.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let jitter = self.random % ELECTION_JITTER_MS;
        let alone = self.members().voters.len() == 1;
        // Nobody else can stand, so there is nothing to wait for.
        let wait = if alone {
            0
        } else {
            ELECTION_TIMEOUT_MS + jitter
        };
        self.election_at = now.after(wait);
    }

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
        self.began = None;
        self.progress.clear();
        self.votes.clear();
    }

    fn tick_leader(&mut self, now: Millis) {
        // A leader that no quorum answers must not think that it leads.
        let heard = self.quorum_heard();
        if heard.is_some_and(|at| now.since(at) > ELECTION_TIMEOUT_MS) {
            self.become_follower(now, self.ballot.term, None);
            return;
        }
        if now >= self.beat_at {
            self.beat_at = now.after(HEARTBEAT_INTERVAL_MS);
            self.beat(now);
            self.tend_members();
        }
    }

    /// When the latest message was sent that a quorum has answered.
    fn quorum_heard(&self) -> Option<Millis> {
        let members = self.members();
        let mut heard: SmallVec<[Millis; 5]> = (members.voters.iter())
            .map(|m| {
                if m.disk == self.me.disk {
                    Millis(u64::MAX)
                } else {
                    self.progress.get(&m.disk).map_or(Millis(0), |p| p.heard)
                }
            })
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(members.quorum().checked_sub(1)?).copied()
    }

    pub(super) fn lease_until(&self) -> Option<Millis> {
        self.quorum_heard().map(|at| at.after(LEASE_MS))
    }
}
