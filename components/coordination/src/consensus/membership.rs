//! How a group begins, and how a member with a new disk is admitted.

use super::core::{Core, Role};
use super::log::Index;
use super::message::{Join, Message};
use super::{Admission, ELECTION_TIMEOUT_MS, JOIN_INTERVAL_MS, REJOIN_MS, VOTER_LOST_MS};
use crate::prelude::*;
use state::record::{DiskId, Member, Members, Record};
use state::view::Node;
use std::collections::BTreeMap;

/// How long a newcomer's call counts, in milliseconds.
const CALL_MS: u64 = 2000;
/// Entries by which a learner may lag when it is admitted to vote.
const LAG_MAX: u64 = 16;

/// What a newcomer has heard of others like it.
#[derive(Clone, Debug, Default)]
pub(super) struct Newcomers {
    /// Latest call of each VM: when, who, and whom it had heard.
    calls: BTreeMap<Name, (Millis, Member, SmallVec<[Member; 5]>)>,
    call_at: Millis,
}

impl Core {
    pub(super) fn tick_newcomer(&mut self, now: Millis) {
        if now < self.newcomers.call_at {
            return;
        }
        self.newcomers.call_at = now.after(JOIN_INTERVAL_MS);
        let heard = self.heard(now);
        for seed in self.seeds.clone() {
            if seed.vm != self.me.node.vm {
                self.call(&seed, heard.clone(), false);
            }
        }
        self.begin_if_all_new(now);
    }

    /// Calls like a newcomer when no leader has been heard of for long.
    ///
    /// A member that the others have taken out while it was away is sent nothing
    /// any more, and its own log still says that it belongs to them. One would
    /// see it wait for ever, and the group one voter short. A leader that counts
    /// it ignores the call, any other admits it.
    pub(super) fn ask_if_forgotten(&mut self, now: Millis) {
        let quiet = (self.heard_leader).is_none_or(|at| now.since(at) >= REJOIN_MS);
        if !quiet || now < self.newcomers.call_at {
            return;
        }
        self.newcomers.call_at = now.after(JOIN_INTERVAL_MS);
        let mut places: SmallVec<[Node; 8]> = self.seeds.iter().cloned().collect();
        places.extend(self.members().all().map(|m| m.node.clone()));
        places.sort();
        places.dedup();
        let heard: SmallVec<[Member; 5]> = SmallVec::from_iter([self.me.clone()]);
        for place in places {
            if place.vm != self.me.node.vm {
                self.call(&place, heard.clone(), false);
            }
        }
    }

    /// Newcomers heard of late, this one among them, in the order of their VMs.
    fn heard(&self, now: Millis) -> SmallVec<[Member; 5]> {
        let mut heard: SmallVec<[Member; 5]> = (self.newcomers.calls.values())
            .filter(|(at, _, _)| now.since(*at) < CALL_MS)
            .map(|(_, member, _)| member.clone())
            .collect();
        heard.push(self.me.clone());
        heard.sort_by(|a, b| a.node.vm.cmp(&b.node.vm));
        heard
    }

    pub(super) fn on_join(&mut self, now: Millis, place: &Node, join: Join) {
        let Join {
            member,
            heard,
            began,
        } = join;
        let allowed = match self.admission {
            Admission::Seeds => self.seeds.contains(&member.node),
            Admission::Open { .. } => true,
        };
        // A member passes a newcomer's call on; anyone else speaks for itself.
        let passed_on = self.members().all().any(|m| m.node.vm == place.vm);
        if !allowed || (member.node != *place && !passed_on) {
            return;
        }
        match self.role {
            Role::Newcomer if !self.seeds.contains(&member.node) => {}
            Role::Newcomer if began && heard.iter().any(|m| m.disk == self.me.disk) => {
                self.begin(now, heard);
            }
            Role::Newcomer => {
                let vm = member.node.vm.clone();
                self.newcomers.calls.insert(vm, (now, member, heard));
                self.begin_if_all_new(now);
            }
            Role::Leader => self.admit(member),
            // Those who have begun need not be told: two of them would go on
            // telling each other for ever.
            _ if began => {}
            _ if self.began_with(member.disk) => {
                let began = self.log.members_at(Index(0)).voters.clone();
                self.call(&member.node, began, true);
            }
            _ if member.node == *place => self.pass_on(Join {
                member,
                heard,
                began,
            }),
            _ => {}
        }
    }

    /// Whether the group began with a disk, as far as this member still knows.
    fn began_with(&self, disk: DiskId) -> bool {
        let knows = self.log.snapshot().index == Index(0);
        knows && self.log.members_at(Index(0)).votes(disk)
    }

    /// Passes a call on to the leader: a newcomer knows only some of the members.
    fn pass_on(&mut self, join: Join) {
        let leader = self.leader().filter(|l| l.vm != self.me.node.vm);
        if let Some(leader) = leader {
            self.send(&leader, None, Message::Join(Box::new(join)));
        }
    }

    /// Begins the group when all its first members are new and all of them have
    /// heard the same disks.
    ///
    /// If a majority were enough, a group that lost one disk and cannot reach
    /// another member would begin a second history: one would see accepted
    /// changes vanish. So all must be there, and all must be new.
    fn begin_if_all_new(&mut self, now: Millis) {
        let heard = self.heard(now);
        let begins = match self.admission {
            Admission::Seeds => true,
            // A disk that was lost is new as well; only the settings tell it from
            // one of a fleet that has never run.
            Admission::Open { may_bootstrap, .. } => {
                may_bootstrap && self.seeds.contains(&self.me.node)
            }
        };
        let new = begins && self.members().voters.is_empty();
        if !new || heard.len() != self.seeds.len() {
            return;
        }
        let agree = (self.newcomers.calls.values()).all(|(_, _, theirs)| *theirs == heard);
        if !agree {
            return;
        }
        self.begin(now, heard);
        // The others must hear that this one has heard them all. Should that be
        // lost, their next call is answered with it.
        for seed in self.seeds.clone() {
            if seed.vm != self.me.node.vm {
                let began = self.members().voters.clone();
                self.call(&seed, began, true);
            }
        }
    }

    /// Begins a group with its first members.
    ///
    /// A disk that the others have begun with, and that was not told before its
    /// process ended, begins with them: it is the disk that they heard, and has
    /// promised nothing since. Left out, it would be a voter that never votes.
    fn begin(&mut self, now: Millis, members: SmallVec<[Member; 5]>) {
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

    /// Calls another member, with whom this one has heard or began.
    fn call(&mut self, place: &Node, heard: SmallVec<[Member; 5]>, began: bool) {
        let member = self.me.clone();
        let join = Join {
            member,
            heard,
            began,
        };
        self.send(place, None, Message::Join(Box::new(join)));
    }

    /// Admits a newcomer as a learner.
    ///
    /// It must not vote yet: it has forgotten what its old disk promised. If it
    /// did, it and one other that lacks the latest entries could elect a leader
    /// without them, and accepted changes would be lost right after a repair.
    fn admit(&mut self, member: Member) {
        let members = self.members().clone();
        let known = members.all().any(|m| m.disk == member.disk);
        if known || self.members_busy() || self.began.is_none_or(|b| self.commit < b) {
            return;
        }
        let mut members = members;
        // A learner that lost its disk again is not coming back.
        members.learners.retain(|m| m.node.vm != member.node.vm);
        members.learners.push(member);
        self.append(Record::Members(Box::new(members)));
    }

    /// Moves members on, one change at a time: a learner that has caught up
    /// becomes a voter; then the voter whose disk it replaces leaves.
    pub(super) fn tend_members(&mut self) {
        if self.members_busy() || self.began.is_none_or(|b| self.commit < b) {
            return;
        }
        let members = self.members().clone();
        if let Some(replaced) = replaced(&members) {
            let mut next = members;
            next.voters.retain(|m| m.disk != replaced);
            self.append(Record::Members(Box::new(next)));
            return;
        }
        if let Some(gone) = self.gone(&members) {
            let mut next = members;
            next.voters.retain(|m| m.disk != gone);
            self.append(Record::Members(Box::new(next)));
            return;
        }
        if let Some(ghost) = self.ghost(&members) {
            let mut next = members;
            next.learners.retain(|m| m.disk != ghost);
            self.append(Record::Members(Box::new(next)));
            return;
        }
        let caught_up = members.learners.iter().position(|m| {
            let matched = self.progress.get(&m.disk).map_or(0, |p| p.matched.0);
            matched > 0 && matched + LAG_MAX >= self.log.last().0 && matched >= self.commit.0
        });
        if let Some(place) = caught_up {
            let mut next = members;
            let learner = next.learners.remove(place);
            next.voters.push(learner);
            self.append(Record::Members(Box::new(next)));
        }
    }
}

impl Core {
    /// The voter that has been silent for longest, if there are more than wanted.
    ///
    /// A VM that is gone for good leaves its place among the voters behind. Once
    /// its successor votes, four voters need three: the next loss would stop the
    /// group, which is what the successor was to prevent.
    fn gone(&self, members: &Members) -> Option<DiskId> {
        let Admission::Open { voters, .. } = self.admission else {
            return None;
        };
        if members.voters.len() <= voters {
            return None;
        }
        let heard = |m: &Member| {
            let progress = self.progress.get(&m.disk);
            progress.map_or(self.now(), |p| p.heard.max(p.since))
        };
        let others = members.voters.iter().filter(|m| m.disk != self.me.disk);
        let silent = others.filter(|m| self.now().since(heard(m)) >= VOTER_LOST_MS);
        silent.min_by_key(|m| heard(m)).map(|m| m.disk)
    }

    /// A learner whose VM answers with another disk: its call came late, from a
    /// disk that is gone.
    fn ghost(&self, members: &Members) -> Option<DiskId> {
        let lives = |disk: DiskId| {
            let heard = self.progress.get(&disk).map(|p| p.heard);
            disk == self.me.disk
                || heard.is_some_and(|at| self.now().since(at) < ELECTION_TIMEOUT_MS)
        };
        let other = |learner: &Member| {
            let same = |m: &&Member| m.node.vm == learner.node.vm && m.disk != learner.disk;
            members.voters.iter().filter(same).any(|m| lives(m.disk))
        };
        members
            .learners
            .iter()
            .find(|m| other(m) && !lives(m.disk))
            .map(|m| m.disk)
    }
}

/// The older of two voters on the same VM.
fn replaced(members: &Members) -> Option<DiskId> {
    let same = |a: &Node, b: &Node| a.vm == b.vm;
    members.voters.iter().enumerate().find_map(|(i, old)| {
        let later = &members.voters[i + 1..];
        let double = later.iter().any(|new| same(&new.node, &old.node));
        double.then_some(old.disk)
    })
}
