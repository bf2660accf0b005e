//! Bootstrap of a group, and changes of its members.

use super::core::{Core, Role};
use super::log::Index;
use super::message::{Join, Message};
use super::{Admission, ELECTION_TIMEOUT_MS, JOIN_INTERVAL_MS, REJOIN_MS, VOTER_LOST_MS};
use crate::prelude::*;
use state::record::{DiskId, Member, Members, Record};
use state::view::Node;
use std::collections::BTreeMap;

/// Time for which a join request stays valid, in milliseconds.
const JOIN_VALID_MS: u64 = 2000;
/// Most entries by which a learner may lag when it is promoted to voter.
const PROMOTION_LAG_ENTRIES: u64 = 16;

/// Join requests that a new disk has received, and when to send its own.
#[derive(Clone, Debug, Default)]
pub(super) struct Joins {
    /// Latest request of each VM: its time, its sender, and the disks that the sender had
    /// heard from.
    requests: BTreeMap<Name, (Millis, Member, SmallVec<[Member; 5]>)>,
    next_request_at: Millis,
}

impl Core {
    /// Sends join requests to the seeds, and bootstraps the group once that is possible.
    pub(super) fn tick_newcomer(&mut self, now: Millis) {
        if now < self.joins.next_request_at {
            return;
        }
        self.joins.next_request_at = now.after(JOIN_INTERVAL_MS);
        let joiners = self.recent_joiners(now);
        for seed in self.seeds.clone() {
            if seed.vm != self.me.node.vm {
                self.send_join(&seed, joiners.clone(), false);
            }
        }
        self.bootstrap_if_all_new(now);
    }

    /// Sends join requests if there has been no contact with a leader for [`REJOIN_MS`].
    ///
    /// A member that was removed while it was away receives no more messages, and its own log
    /// still lists it as a member. It would wait forever, and the group would be one voter
    /// short. A leader that still counts it as a member ignores the request; any other leader
    /// admits it.
    pub(super) fn rejoin_if_removed(&mut self, now: Millis) {
        let is_leaderless = (self.leader_contact).is_none_or(|at| now.since(at) >= REJOIN_MS);
        if !is_leaderless || now < self.joins.next_request_at {
            return;
        }
        self.joins.next_request_at = now.after(JOIN_INTERVAL_MS);
        let mut nodes: SmallVec<[Node; 8]> = self.seeds.iter().cloned().collect();
        nodes.extend(self.members().all().map(|m| m.node.clone()));
        nodes.sort();
        nodes.dedup();
        let joiners: SmallVec<[Member; 5]> = SmallVec::from_iter([self.me.clone()]);
        for node in nodes {
            if node.vm != self.me.node.vm {
                self.send_join(&node, joiners.clone(), false);
            }
        }
    }

    /// New disks with a valid join request, including this one, ordered by VM.
    fn recent_joiners(&self, now: Millis) -> SmallVec<[Member; 5]> {
        let mut joiners: SmallVec<[Member; 5]> = (self.joins.requests.values())
            .filter(|(at, _, _)| now.since(*at) < JOIN_VALID_MS)
            .map(|(_, member, _)| member.clone())
            .collect();
        joiners.push(self.me.clone());
        joiners.sort_by(|a, b| a.node.vm.cmp(&b.node.vm));
        joiners
    }

    /// Handles a join request, its answer by a group that has bootstrapped, or a request that
    /// another member has forwarded.
    pub(super) fn on_join(&mut self, now: Millis, node: &Node, join: Join) {
        let Join {
            member,
            joiners,
            bootstrapped,
        } = join;
        let allowed = match self.admission {
            Admission::Seeds => self.seeds.contains(&member.node),
            Admission::Open { .. } => true,
        };
        // Only a member may forward the request of another node.
        let is_forwarded = self.members().all().any(|m| m.node.vm == node.vm);
        if !allowed || (member.node != *node && !is_forwarded) {
            return;
        }
        match self.role {
            Role::Newcomer if !self.seeds.contains(&member.node) => {}
            Role::Newcomer if bootstrapped && joiners.iter().any(|m| m.disk == self.me.disk) => {
                self.bootstrap(now, joiners);
            }
            Role::Newcomer => {
                let vm = member.node.vm.clone();
                self.joins.requests.insert(vm, (now, member, joiners));
                self.bootstrap_if_all_new(now);
            }
            Role::Leader => self.add_learner(member),
            // No answer to an answer: two members would keep answering each other.
            _ if bootstrapped => {}
            _ if self.is_founding_disk(member.disk) => {
                let founders = self.log.members_at(Index(0)).voters.clone();
                self.send_join(&member.node, founders, true);
            }
            _ if member.node == *node => self.forward_join(Join {
                member,
                joiners,
                bootstrapped,
            }),
            _ => {}
        }
    }

    /// Whether a disk is one of the group's first members; false once they are compacted away.
    fn is_founding_disk(&self, disk: DiskId) -> bool {
        let is_known = self.log.snapshot().index == Index(0);
        is_known && self.log.members_at(Index(0)).votes(disk)
    }

    /// Forwards a join request to the leader: a new disk knows only some of the members.
    fn forward_join(&mut self, join: Join) {
        let leader = self.leader().filter(|l| l.vm != self.me.node.vm);
        if let Some(leader) = leader {
            self.send(&leader, None, Message::Join(Box::new(join)));
        }
    }

    /// Bootstraps the group if all seeds have new disks and have all heard from the same
    /// disks.
    ///
    /// If a majority were enough, a group that lost one disk and cannot reach another member
    /// would start a second history, and committed changes would be lost. So all seeds must be
    /// present, and all must be new.
    fn bootstrap_if_all_new(&mut self, now: Millis) {
        let joiners = self.recent_joiners(now);
        let may_bootstrap = match self.admission {
            Admission::Seeds => true,
            // A disk that replaces a lost one is new as well; only the settings tell whether
            // the fleet starts for the first time.
            Admission::Open { may_bootstrap, .. } => {
                may_bootstrap && self.seeds.contains(&self.me.node)
            }
        };
        let is_new = may_bootstrap && self.members().voters.is_empty();
        if !is_new || joiners.len() != self.seeds.len() {
            return;
        }
        let is_unanimous = (self.joins.requests.values()).all(|(_, _, theirs)| *theirs == joiners);
        if !is_unanimous {
            return;
        }
        self.bootstrap(now, joiners);
        // The others must learn that this disk has heard from all of them. If this message is
        // lost, their next join request is answered with the same.
        for seed in self.seeds.clone() {
            if seed.vm != self.me.node.vm {
                let founders = self.members().voters.clone();
                self.send_join(&seed, founders, true);
            }
        }
    }

    /// Starts the group with its first members.
    ///
    /// This also applies to a disk that the others have bootstrapped with and whose process
    /// ended before it learned of it: it is the disk that they heard from, and it has cast no
    /// vote since. Otherwise it would be a voter that never votes.
    fn bootstrap(&mut self, now: Millis, members: SmallVec<[Member; 5]>) {
        let mut snapshot = self.log.snapshot().clone();
        snapshot.index = Index(0);
        snapshot.members = Members {
            voters: members,
            learners: SmallVec::new(),
        };
        self.log.install(snapshot.clone());
        self.ready.install = Some(snapshot);
        self.role = Role::Follower;
        self.reset_election(now);
    }

    /// Sends a join request with the disks that this one has heard from or bootstrapped with.
    fn send_join(&mut self, node: &Node, joiners: SmallVec<[Member; 5]>, bootstrapped: bool) {
        let member = self.me.clone();
        let join = Join {
            member,
            joiners,
            bootstrapped,
        };
        self.send(node, None, Message::Join(Box::new(join)));
    }

    /// Adds a new disk as a learner.
    ///
    /// A learner must not vote yet: the votes and entries of the VM's old disk are lost.
    /// Otherwise it and one more member without the latest entries could elect a leader that
    /// lacks them, and committed changes would be lost right after a repair.
    fn add_learner(&mut self, member: Member) {
        let members = self.members().clone();
        let is_member = members.all().any(|m| m.disk == member.disk);
        if is_member
            || self.membership_change_pending()
            || self.term_start.is_none_or(|start| self.commit < start)
        {
            return;
        }
        let mut members = members;
        // An earlier learner on the same VM has lost its disk.
        members.learners.retain(|m| m.node.vm != member.node.vm);
        members.learners.push(member);
        self.append(Record::Members(Box::new(members)));
    }

    /// Appends the next membership change that is due, one at a time: a learner that has
    /// caught up becomes a voter, then the voter on the VM's old disk is removed.
    pub(super) fn advance_membership(&mut self) {
        if self.membership_change_pending()
            || self.term_start.is_none_or(|start| self.commit < start)
        {
            return;
        }
        let members = self.members().clone();
        if let Some(replaced) = replaced_voter(&members) {
            let mut next = members;
            next.voters.retain(|m| m.disk != replaced);
            self.append(Record::Members(Box::new(next)));
            return;
        }
        if let Some(gone) = self.lost_voter(&members) {
            let mut next = members;
            next.voters.retain(|m| m.disk != gone);
            self.append(Record::Members(Box::new(next)));
            return;
        }
        if let Some(stale) = self.stale_learner(&members) {
            let mut next = members;
            next.learners.retain(|m| m.disk != stale);
            self.append(Record::Members(Box::new(next)));
            return;
        }
        let caught_up = members.learners.iter().position(|m| {
            let matched = self.progress.get(&m.disk).map_or(0, |p| p.matched.0);
            matched > 0
                && matched + PROMOTION_LAG_ENTRIES >= self.log.last().0
                && matched >= self.commit.0
        });
        if let Some(position) = caught_up {
            let mut next = members;
            let learner = next.learners.remove(position);
            next.voters.push(learner);
            self.append(Record::Members(Box::new(next)));
        }
    }
}

impl Core {
    /// The voter that has been silent for longest, if there are more voters than wanted.
    ///
    /// A VM that never returns stays in the list of voters. With its successor there are four
    /// voters with a quorum of three: one more loss would stop the group, which the successor
    /// is meant to prevent.
    fn lost_voter(&self, members: &Members) -> Option<DiskId> {
        let Admission::Open { voters, .. } = self.admission else {
            return None;
        };
        if members.voters.len() <= voters {
            return None;
        }
        let last_ack = |m: &Member| {
            let progress = self.progress.get(&m.disk);
            progress.map_or(self.now(), |p| p.last_ack.max(p.tracked_since))
        };
        let others = members.voters.iter().filter(|m| m.disk != self.me.disk);
        let silent = others.filter(|m| self.now().since(last_ack(m)) >= VOTER_LOST_MS);
        silent.min_by_key(|m| last_ack(m)).map(|m| m.disk)
    }

    /// A learner whose VM answers with another disk: a delayed join request of a lost disk
    /// has added it.
    fn stale_learner(&self, members: &Members) -> Option<DiskId> {
        let is_live = |disk: DiskId| {
            let last_ack = self.progress.get(&disk).map(|p| p.last_ack);
            disk == self.me.disk
                || last_ack.is_some_and(|at| self.now().since(at) < ELECTION_TIMEOUT_MS)
        };
        let has_live_successor = |learner: &Member| {
            let is_successor = |m: &&Member| m.node.vm == learner.node.vm && m.disk != learner.disk;
            members
                .voters
                .iter()
                .filter(is_successor)
                .any(|m| is_live(m.disk))
        };
        members
            .learners
            .iter()
            .find(|m| has_live_successor(m) && !is_live(m.disk))
            .map(|m| m.disk)
    }
}

/// The older of two voters on the same VM.
fn replaced_voter(members: &Members) -> Option<DiskId> {
    let is_same_vm = |a: &Node, b: &Node| a.vm == b.vm;
    members.voters.iter().enumerate().find_map(|(i, old)| {
        let later = &members.voters[i + 1..];
        let is_replaced = later.iter().any(|new| is_same_vm(&new.node, &old.node));
        is_replaced.then_some(old.disk)
    })
}
