//! Other processes: who is reached, and how new the view is.

use super::Reactor;
use coordination::candidacy::Status;
use protocol::wire::{Message, Query, Reply};
use state::clock::Millis;
use state::id::Name;
use state::line::Line;
use state::view::{Assignment, Node, Shard};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

/// Age of the list up to which a control VM tells schedulers of it, in milliseconds.
const CELL_AGE_MS: u64 = 5000;
/// Time for the parent to answer how new its view is before the leader is asked, in
/// milliseconds.
const PARENT_MS: u64 = 500;
/// Time between two heartbeats of a VM that can schedule, in milliseconds.
const BEAT_MS: u64 = 300;

impl Reactor {
    /// Dials the schedulers that the dispatcher has sessions with.
    pub(super) fn reach_schedulers(&mut self) {
        let wanted: BTreeMap<Name, Assignment> = (self.dispatcher.shards())
            .filter_map(|(shard, _)| self.live.assignment(shard))
            .map(|assignment| (assignment.node.vm.clone(), assignment.clone()))
            .collect();
        self.schedulers_dialed.retain(|vm| wanted.contains_key(vm));
        for assignment in wanted.values() {
            self.reach(assignment);
        }
    }

    /// Closes links that nothing here needs any more.
    ///
    /// Each costs signs of life on both VMs: links that stay after a query would
    /// make a control VM's traffic grow with the fleet.
    pub(super) fn close_links(&mut self) {
        let hub = &self.parts.hub;
        let member = self.parts.control || self.is_candidate;
        for vm in hub.dialed_peers() {
            let seed = member && self.control_places().iter().any(|s| s.vm == vm);
            let needed = seed
                || self.dissemination.needs(&vm)
                || self.queries.needs(&vm)
                || self.schedulers_dialed.contains(&vm)
                || self.regions_dialed.contains(&vm);
            if needed {
                continue;
            }
            // The peer may use the link that we opened.
            if self.dissemination.feeds(&vm) || self.schedulers.serves(&vm) {
                hub.undial(&vm);
            } else {
                hub.close(&vm);
            }
        }
    }

    /// Decides whether this VM stands as a candidate for schedulers.
    pub(super) fn stand(&mut self, now: Millis) {
        let is_lost = |(_, is_up): (_, bool)| !is_up;
        let known = Status {
            is_assigned: self.view.assignments.iter().any(|a| a.node.vm == self.me),
            is_unscheduled: self.is_unassigned || self.dispatcher.shards().any(is_lost),
            routers: self.dissemination.size(),
            shards: self.shards,
        };
        // Before the fleet is counted nobody stands who does not schedule: all would.
        let may_stand = known.is_assigned || known.routers.is_some();
        let stands = self.parts.scheduler && may_stand && self.candidacy.is_candidate(now, known);
        if stands && !self.is_candidate {
            self.dial_control();
        }
        self.is_candidate = stands;
    }

    pub(super) fn beat(&mut self, now: Millis) {
        if !self.is_candidate || self.stopping || now < self.beat_at {
            return;
        }
        self.beat_at = now.after(BEAT_MS);
        let beat = Message::Heartbeat {
            region: self.parts.home.region.clone(),
            data_centre: self.parts.home.data_centre.clone(),
            incarnation: self.parts.hub.hello().incarnation,
        };
        for seed in self.control_places() {
            self.parts.hub.send(&seed.vm, beat.clone());
        }
    }

    /// Control VMs: those that the control role here or the view tells of, and the
    /// seeds, which may know of others.
    pub(super) fn control_places(&self) -> Vec<Node> {
        let told = if self.members.is_empty() {
            &self.view.control
        } else {
            &self.members
        };
        let mut places: Vec<Node> = told.clone();
        places.extend(self.parts.seeds.iter().cloned());
        let mut seen = BTreeSet::new();
        places.retain(|p| seen.insert(p.vm.clone()));
        places
    }

    pub(super) fn dial_control(&self) {
        for place in self.control_places() {
            self.parts.hub.dial(&place);
        }
    }

    /// Follows a change among the control VMs.
    pub(super) fn follow_control(&mut self) {
        let places = self.control_places();
        self.dissemination.set_seeds(places.clone());
        self.queries.set_seeds(places);
        if self.parts.control || self.is_candidate {
            self.dial_control();
        }
    }

    /// Asks control VMs for the endpoints of the shards that are scheduled here, where there
    /// are too many for all processes.
    pub(super) fn ask_cells(&mut self, now: Millis) {
        if !self.live.is_partial() {
            return;
        }
        for question in self.cells.due_queries(now) {
            let Some(vm) = self.control_vm(question.attempt) else {
                continue;
            };
            let wanted = Message::CellRequest(question.shard, question.known_id);
            self.parts.hub.send(&vm, wanted);
        }
    }

    /// A control VM with a link, in turn, those of the own data centre first.
    fn control_vm(&self, turn: usize) -> Option<Name> {
        let peers = self.parts.hub.peers();
        let data_centre = |vm: &Name| {
            let peer = peers.iter().find(|p| p.place.vm == *vm);
            peer.map(|p| &p.data_centre)
        };
        let places = self.control_places();
        let linked = places.iter().map(|p| &p.vm);
        let mut linked: Vec<&Name> = linked.filter(|vm| self.parts.hub.is_up(vm)).collect();
        let here = Some(&self.parts.home.data_centre);
        linked.sort_by_key(|vm| (data_centre(vm) != here, *vm));
        let place = turn.checked_rem(linked.len())?;
        Some(linked[place].clone())
    }

    /// Answers a scheduler which endpoints its shard has.
    pub(super) fn tell_cell(&mut self, now: Millis, vm: &Name, shard: Shard, known: u64) {
        let service = self.view.config.services.get(&shard.service);
        let (Some(service), Some(_)) = (service, self.registry.census()) else {
            return;
        };
        // Whoever does not hold the list, or has not heard of it, leaves the answer to others.
        let is_known = !self.registry.listing().endpoints.is_empty();
        if !is_known || !self.registry.is_recent(now, CELL_AGE_MS) {
            return;
        }
        let all = self.registry.listing();
        let answer = self
            .catalogue
            .answer(now, &shard, &service.name, all, known);
        let answer = self.registry.export_answer(now, answer);
        self.parts
            .hub
            .send(vm, Message::Cell(shard, Box::new(answer)));
    }

    /// Answers a child's question how new the view is.
    pub(super) fn check(&self, now: Millis, vm: &Name, sent: u64) {
        let Some(proof) = self.dissemination.proof() else {
            return;
        };
        let checked = Message::ProofAge {
            sent,
            age_ms: now.since(proof),
            version: self.view.version,
        };
        self.parts.hub.send(vm, checked);
    }

    /// A root asks the leader for the proof that its view is the newest.
    pub(super) fn prove(&mut self, now: Millis) {
        if !self.dissemination.is_root() {
            return;
        }
        if let Some((at, answer)) = &mut self.proving {
            match answer.try_recv() {
                Ok(Reply::CurrentVersion(head)) => {
                    let at = *at;
                    self.dissemination.prove(at, head, self.view.version);
                    self.proving = None;
                    self.dirty = true;
                }
                Ok(_) | Err(oneshot::error::TryRecvError::Closed) => self.proving = None,
                Err(oneshot::error::TryRecvError::Empty) => {}
            }
        }
        if self.dissemination.wants_proof(now) && self.proving.is_none() {
            let (sender, receiver) = oneshot::channel();
            self.proving = Some((now, receiver));
            self.queries
                .ask(now, &self.parts.hub, Query::CurrentVersion, sender);
        }
    }

    /// Becomes ready once the view is as new as the version that a quorum had
    /// in force after this process started.
    ///
    /// A process that served what its first peer happened to have could step
    /// back behind its own earlier life: one would see a removed customer
    /// served again after a restart.
    pub(super) fn seek_ready(&mut self, now: Millis) {
        if self.ready {
            return;
        }
        // What the parent has proved since this process started is as good as an answer of the
        // leader, which all routers would ask at once after a loss of everything.
        let proof = self.dissemination.proof();
        if proof.is_some_and(|at| at >= self.started) {
            self.needed = Some(self.view.version);
        }
        if self.needed.is_none() && self.asks_leader(now) {
            let (at, head) = self.head.get_or_insert_with(|| {
                let (sender, receiver) = oneshot::channel();
                self.queries
                    .ask(now, &self.parts.hub, Query::CurrentVersion, sender);
                (now, receiver)
            });
            match head.try_recv() {
                Ok(Reply::CurrentVersion(version)) => {
                    // It proves as much as an answer to a check. Without it, a router
                    // whose feed has just begun would refuse callers until the next
                    // check, for up to half a second after each loss of everything.
                    self.dissemination.prove(*at, version, self.view.version);
                    self.needed = Some(version);
                }
                Ok(_) | Err(oneshot::error::TryRecvError::Closed) => self.head = None,
                Err(oneshot::error::TryRecvError::Empty) => {}
            }
        }
        if self
            .needed
            .is_some_and(|needed| self.view.version >= needed)
        {
            tracing::info!(
                event = Line::Ready.as_str(),
                version = self.view.version.0,
                needed = self.needed.map(|v| v.0),
            );
            self.ready = true;
            self.dirty = true;
        }
    }

    /// Whether it asks the leader itself: at a root of the tree, or where the parent has proved
    /// nothing since this process started.
    fn asks_leader(&mut self, now: Millis) -> bool {
        if self.dissemination.is_root() || self.head.is_some() {
            return true;
        }
        let fed = self.fed_at.get_or_insert(now);
        let is_fed = self.dissemination.parent().is_some();
        if !is_fed {
            self.fed_at = None;
            return false;
        }
        self.dissemination.is_checked() || now.since(*fed) >= PARENT_MS
    }

    /// Tells other schedulers of the region what engines of those here keep.
    pub(super) fn tell_kept(&mut self) {
        for (to, kept) in self.schedulers.kept(&self.live) {
            self.parts
                .hub
                .send(&to.node.vm, Message::CachedPrompts(kept));
        }
    }

    /// Tells other regions' schedulers what those here have given.
    pub(super) fn tell_served(&mut self) {
        let mut wanted = BTreeSet::new();
        for (to, served) in self.schedulers.served(&self.live) {
            self.parts.hub.dial(&to.node);
            self.parts.hub.send(&to.node.vm, Message::Served(served));
            wanted.insert(to.node.vm);
        }
        self.regions_dialed = wanted;
    }
}
