//! Elections: pre-vote, vote, and the start of a term.

use super::core::{Core, Progress, Role};
use super::log::{Ballot, Index, Term};
use super::message::Message;
use super::ELECTION_TIMEOUT_MS;
use crate::prelude::*;
use state::record::{DiskId, Member, Record};
use state::view::Node;

impl Core {
    pub(super) fn tick_follower(&mut self, now: Millis) {
        let admitted = self.members().all().any(|m| m.disk == self.me.disk);
        if now >= self.election_at && !admitted {
            // The leader that admitted it has let it go, or lost that entry with
            // its term: it calls anew.
            self.role = Role::Newcomer;
            return;
        }
        self.ask_if_forgotten(now);
        if now < self.election_at || !self.votes_here() {
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
        self.ask_voters(&message);
        self.stand_if_backed(now);
    }

    /// Answers whether it would vote.
    ///
    /// A voter that has heard from a leader of late says no. Without this, a
    /// member that comes back from a partition with a higher term would depose
    /// a leader that works: one would see an election after each rejoin.
    pub(super) fn on_pre_vote(
        &mut self,
        now: Millis,
        place: &Node,
        from: DiskId,
        term: Term,
        last: (Term, Index),
    ) {
        let granted = term > self.ballot.term && self.may_vote() && self.fresh_enough(now, last);
        let reply = Message::PreVoteReply {
            term: if granted { term } else { self.ballot.term },
            granted,
        };
        self.send(place, Some(from), reply);
    }

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
        let asked = Term(self.ballot.term.0 + 1);
        if self.role == Role::PreCandidate && granted && term == asked {
            self.count_vote(from);
            self.stand_if_backed(now);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Millis,
        place: &Node,
        from: DiskId,
        term: Term,
        last: (Term, Index),
    ) {
        let open = self.may_vote() && self.fresh_enough(now, last);
        if term > self.ballot.term && open {
            self.become_follower(now, term, None);
        }
        let free = self.ballot.vote.is_none() || self.ballot.vote == Some(from);
        let granted = open && term == self.ballot.term && free && self.role == Role::Follower;
        if granted {
            self.ballot.vote = Some(from);
            self.ready.ballot = Some(self.ballot);
            self.reset_election(now);
        }
        let term = self.ballot.term;
        self.send(place, Some(from), Message::VoteReply { term, granted });
    }

    pub(super) fn on_vote_reply(&mut self, now: Millis, from: DiskId, term: Term, granted: bool) {
        if term > self.ballot.term {
            self.become_follower(now, term, None);
            return;
        }
        if self.role == Role::Candidate && granted && term == self.ballot.term {
            self.count_vote(from);
            self.lead_if_elected(now);
        }
    }

    /// Whether another's log has all that this one has, and no leader lives.
    fn fresh_enough(&self, now: Millis, last: (Term, Index)) -> bool {
        // A process that has just started may have renewed a leader's lease right
        // before it ended.
        let heard = self.heard_leader.unwrap_or(self.started);
        let quiet = now.since(heard) >= ELECTION_TIMEOUT_MS;
        let leads = self.role == Role::Leader;
        quiet && !leads && last >= (self.log.last_term(), self.log.last())
    }

    /// Whether this member may vote when it is asked.
    ///
    /// Whoever asks counts this disk among the voters, and a leader does so only
    /// once the disk has caught up. The entry that says so may not have arrived
    /// here; waiting for it could leave the group without a leader for good.
    fn may_vote(&self) -> bool {
        !self.members().voters.is_empty()
    }

    fn count_vote(&mut self, from: DiskId) {
        if self.members().votes(from) {
            self.votes.insert(from);
        }
    }

    fn backed(&self) -> bool {
        self.votes.len() >= self.members().quorum()
    }

    fn stand_if_backed(&mut self, now: Millis) {
        if !self.backed() {
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
        self.ask_voters(&message);
        self.lead_if_elected(now);
    }

    fn lead_if_elected(&mut self, now: Millis) {
        if !self.backed() {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.me.disk);
        self.progress.clear();
        self.beat_at = now;
        self.follow_members();
        for progress in self.progress.values_mut() {
            // A term must get time to gather answers before check-quorum ends
            // it. This is no lease: `may_serve` waits for the first entry, and
            // so for real answers of a quorum.
            progress.heard = now;
        }
        let began = self.append(Record::NoOp);
        self.began = Some(began);
    }

    /// Keeps a record of progress for exactly the members in force.
    pub(super) fn follow_members(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last();
        let since = self.now();
        let members = self.members().clone();
        self.progress
            .retain(|disk, _| members.all().any(|m| m.disk == *disk));
        for member in members.all() {
            self.progress.entry(member.disk).or_insert(Progress {
                matched: Index(0),
                next: last.next(),
                heard: Millis(0),
                since,
                waiting: false,
                sent: Millis(0),
                install: None,
            });
        }
    }

    fn ask_voters(&mut self, message: &Message) {
        let me = self.me.disk;
        let voters: SmallVec<[Member; 5]> = self.members().voters.clone();
        for voter in voters.iter().filter(|m| m.disk != me) {
            self.send(&voter.node, Some(voter.disk), message.clone());
        }
    }
}
