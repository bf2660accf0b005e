//! Elections: pre-vote, vote, and the start of a leader's term.

use super::core::{Core, Progress, Role};
use super::log::{Ballot, Index, Term};
use super::message::Message;
use super::ELECTION_TIMEOUT_MS;
use crate::prelude::*;
use state::record::{DiskId, Member, Record};
use state::view::Node;

impl Core {
    /// Rejoins the group or starts a pre-vote when that is due.
    pub(super) fn tick_follower(&mut self, now: Millis) {
        let is_member = self.members().all().any(|m| m.disk == self.me.disk);
        if now >= self.election_deadline && !is_member {
            // The entry that added this member was lost with its leader's term, or the member
            // was removed: it has to join again.
            self.role = Role::Newcomer;
            return;
        }
        self.rejoin_if_removed(now);
        if now < self.election_deadline || !self.is_voter() {
            return;
        }
        self.reset_election(now);
        self.leader = None;
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.me.disk);
        let message = Message::PreVote {
            term: Term(self.ballot.term.0 + 1),
            last: self.log.last(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.start_election_if_backed(now);
    }

    /// Answers whether this member would vote for the sender.
    ///
    /// A voter that has recently heard from a leader refuses. Without this, a member that
    /// returns from a partition with a higher term would depose a working leader, and each
    /// rejoin would cause an election.
    pub(super) fn on_pre_vote(
        &mut self,
        now: Millis,
        node: &Node,
        from: DiskId,
        term: Term,
        last: (Term, Index),
    ) {
        let granted = term > self.ballot.term && self.can_vote() && self.allows_election(now, last);
        let reply = Message::PreVoteReply {
            term: if granted { term } else { self.ballot.term },
            granted,
        };
        self.send(node, Some(from), reply);
    }

    /// Counts a pre-vote; a majority of them starts the election.
    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Millis,
        from: DiskId,
        term: Term,
        granted: bool,
    ) {
        if !granted && term > self.ballot.term {
            self.become_follower(now, term, None);
            return;
        }
        let next_term = Term(self.ballot.term.0 + 1);
        if self.role == Role::PreCandidate && granted && term == next_term {
            self.count_vote(from);
            self.start_election_if_backed(now);
        }
    }

    /// Votes for the sender if it may lead in its term, and answers.
    pub(super) fn on_vote(
        &mut self,
        now: Millis,
        node: &Node,
        from: DiskId,
        term: Term,
        last: (Term, Index),
    ) {
        let is_eligible = self.can_vote() && self.allows_election(now, last);
        if term > self.ballot.term && is_eligible {
            self.become_follower(now, term, None);
        }
        let has_vote = self.ballot.vote.is_none() || self.ballot.vote == Some(from);
        let granted =
            is_eligible && term == self.ballot.term && has_vote && self.role == Role::Follower;
        if granted {
            self.ballot.vote = Some(from);
            self.ready.ballot = Some(self.ballot);
            self.reset_election(now);
        }
        let term = self.ballot.term;
        self.send(node, Some(from), Message::VoteReply { term, granted });
    }

    /// Counts a vote; a majority of them makes this member the leader.
    pub(super) fn on_vote_reply(&mut self, now: Millis, from: DiskId, term: Term, granted: bool) {
        if term > self.ballot.term {
            self.become_follower(now, term, None);
            return;
        }
        if self.role == Role::Candidate && granted && term == self.ballot.term {
            self.count_vote(from);
            self.become_leader_if_elected(now);
        }
    }

    /// Whether the candidate's log is at least as up to date as this one, and no leader
    /// holds a lease that this member may have renewed.
    fn allows_election(&self, now: Millis, last: (Term, Index)) -> bool {
        // A process that has just started may have renewed a leader's lease right before
        // its restart.
        let last_contact = self.leader_contact.unwrap_or(self.started);
        let is_lease_over = now.since(last_contact) >= ELECTION_TIMEOUT_MS;
        let is_leader = self.role == Role::Leader;
        is_lease_over && !is_leader && last >= (self.log.last_term(), self.log.last())
    }

    /// Whether this member may vote when asked.
    ///
    /// A candidate asks only the disks that its log lists as voters, and a leader promotes a
    /// disk to voter only after it has caught up. The entry of that promotion may not have
    /// arrived here yet; waiting for it could leave the group without a leader forever.
    fn can_vote(&self) -> bool {
        !self.members().voters.is_empty()
    }

    /// Records a vote if it comes from a voter.
    fn count_vote(&mut self, from: DiskId) {
        if self.members().votes(from) {
            self.votes.insert(from);
        }
    }

    /// Whether the recorded votes are a majority of the voters.
    fn has_majority(&self) -> bool {
        self.votes.len() >= self.members().quorum()
    }

    /// Opens a new term and asks for votes, after a majority has granted its pre-vote.
    fn start_election_if_backed(&mut self, now: Millis) {
        if !self.has_majority() {
            return;
        }
        self.role = Role::Candidate;
        self.ballot = Ballot {
            term: Term(self.ballot.term.0 + 1),
            vote: Some(self.me.disk),
        };
        self.ready.ballot = Some(self.ballot);
        self.votes.clear();
        self.votes.insert(self.me.disk);
        let message = Message::Vote {
            term: self.ballot.term,
            last: self.log.last(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.become_leader_if_elected(now);
    }

    /// Becomes the leader and commits a first entry of the term, after a majority has voted.
    fn become_leader_if_elected(&mut self, now: Millis) {
        if !self.has_majority() {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.me.disk);
        self.progress.clear();
        self.next_heartbeat = now;
        self.sync_progress();
        for progress in self.progress.values_mut() {
            // Gives the new leader time to collect answers before check-quorum deposes it.
            // This grants no lease: `may_serve` waits until the first entry is committed, which
            // takes real answers of a quorum.
            progress.last_ack = now;
        }
        let term_start = self.append(Record::NoOp);
        self.term_start = Some(term_start);
    }

    /// Adds and removes progress records so that they match the current members.
    pub(super) fn sync_progress(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last();
        let tracked_since = self.now();
        let members = self.members().clone();
        self.progress
            .retain(|disk, _| members.all().any(|m| m.disk == *disk));
        for member in members.all() {
            self.progress.entry(member.disk).or_insert(Progress {
                matched: Index(0),
                next: last.next(),
                last_ack: Millis(0),
                tracked_since,
                in_flight: false,
                sent_at: Millis(0),
                installing: None,
            });
        }
    }

    /// Sends a message to all other voters.
    fn send_to_voters(&mut self, message: &Message) {
        let me = self.me.disk;
        let voters: SmallVec<[Member; 5]> = self.members().voters.clone();
        for voter in voters.iter().filter(|m| m.disk != me) {
            self.send(&voter.node, Some(voter.disk), message.clone());
        }
    }
}
