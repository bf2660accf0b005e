//! Links to other processes, heartbeats, and the proof that the view is current.

use super::Reactor;
use coordination::candidacy::Status;
use protocol::wire::{Message, Query, Reply};
use state::clock::Millis;
use state::id::Name;
use state::line::Line;
use state::view::{Assignment, Node, Shard};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

/// Largest age of the platform's list with which a control VM answers requests for the endpoints
/// of a shard, in milliseconds.
const CELL_AGE_MAX_MS: u64 = 5000;
/// Time for which a process that is not ready waits for its parent's proof before it asks the
/// leader, in milliseconds.
const PARENT_PROOF_TIMEOUT_MS: u64 = 500;
/// Time between two heartbeats of a VM that can run schedulers, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 300;

impl Reactor {
    /// Dials the schedulers that the dispatcher has sessions with.
    pub(super) fn dial_schedulers(&mut self) {
        let wanted: BTreeMap<Name, Assignment> = (self.dispatcher.shards())
            .filter_map(|(shard, _)| self.effective.assignment(shard))
            .map(|assignment| (assignment.node.vm.clone(), assignment.clone()))
            .collect();
        self.dialed_schedulers.retain(|vm| wanted.contains_key(vm));
        for assignment in wanted.values() {
            self.dial_scheduler(assignment);
        }
    }

    /// Closes links that this process no longer needs.
    ///
    /// Each open link costs keep-alive messages on both VMs. If links stayed open after a query,
    /// the traffic of a control VM would grow with the fleet.
    pub(super) fn close_unused_links(&mut self) {
        let hub = &self.parts.hub;
        let member = self.parts.is_control || self.is_candidate;
        for vm in hub.dialed_peers() {
            let is_seed = member && self.control_nodes().iter().any(|s| s.vm == vm);
            let needed = is_seed
                || self.dissemination.needs(&vm)
                || self.queries.needs(&vm)
                || self.dialed_schedulers.contains(&vm)
                || self.dialed_regions.contains(&vm)
                || self.streams.needs(&vm);
            if needed {
                continue;
            }
            // The peer may still use a link that this process opened.
            if self.dissemination.has_child(&vm) || self.schedulers.has_session(&vm) {
                hub.undial(&vm);
            } else {
                hub.close(&vm);
            }
        }
    }

    /// Decides whether this VM offers itself to the leader as a host for schedulers.
    pub(super) fn update_candidacy(&mut self, now: Millis) {
        let is_lost = |(_, is_up): (_, bool)| !is_up;
        let status = Status {
            is_assigned: self.view.assignments.iter().any(|a| a.node.vm == self.me),
            is_unscheduled: self.is_unassigned || self.dispatcher.shards().any(is_lost),
            routers: self.dissemination.routers(),
            shards: self.shards,
        };
        // Until the routers are counted only VMs that already run a scheduler are candidates.
        // Otherwise every VM would be one.
        let may_be_candidate = status.is_assigned || status.routers.is_some();
        let is_candidate =
            self.parts.may_schedule && may_be_candidate && self.candidacy.is_candidate(now, status);
        if is_candidate && !self.is_candidate {
            self.dial_control();
        }
        self.is_candidate = is_candidate;
    }

    /// Sends a heartbeat to the control VMs if this VM is a candidate for schedulers.
    pub(super) fn send_heartbeat(&mut self, now: Millis) {
        if !self.is_candidate || self.stopping || now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now.after(HEARTBEAT_INTERVAL_MS);
        let heartbeat = Message::Heartbeat {
            region: self.parts.home.region.clone(),
            data_centre: self.parts.home.data_centre.clone(),
            incarnation: self.parts.hub.hello().incarnation,
        };
        for seed in self.control_nodes() {
            self.parts.hub.send(&seed.vm, heartbeat.clone());
        }
    }

    /// All known control VMs: the members that the control role here reports, or else those in
    /// the view, followed by the seeds from the settings, which may know of others.
    pub(super) fn control_nodes(&self) -> Vec<Node> {
        let members = if self.members.is_empty() {
            &self.view.control
        } else {
            &self.members
        };
        let mut nodes: Vec<Node> = members.clone();
        nodes.extend(self.parts.seeds.iter().cloned());
        let mut seen = BTreeSet::new();
        nodes.retain(|p| seen.insert(p.vm.clone()));
        nodes
    }

    /// Opens links to all known control VMs.
    pub(super) fn dial_control(&self) {
        for node in self.control_nodes() {
            self.parts.hub.dial(&node);
        }
    }

    /// Applies a change of the known control VMs.
    pub(super) fn update_control_nodes(&mut self) {
        let nodes = self.control_nodes();
        self.dissemination.set_seeds(nodes.clone());
        self.queries.set_seeds(nodes);
        if self.parts.is_control || self.is_candidate {
            self.dial_control();
        }
    }

    /// Requests the endpoints of the shards that are scheduled here from control VMs, if the
    /// platform's list is too long to be sent to every process.
    pub(super) fn request_cells(&mut self, now: Millis) {
        if !self.effective.is_partial() {
            return;
        }
        for query in self.cell_poller.due_queries(now) {
            let Some(vm) = self.control_vm(query.attempt) else {
                continue;
            };
            let request = Message::CellRequest(query.shard, query.known_id);
            self.parts.hub.send(&vm, request);
        }
    }

    /// Picks a control VM with a link by round robin, starting in this VM's data centre.
    pub(super) fn control_vm(&self, attempt: usize) -> Option<Name> {
        let peers = self.parts.hub.peers();
        let data_centre = |vm: &Name| {
            let peer = peers.iter().find(|p| p.node.vm == *vm);
            peer.map(|p| &p.data_centre)
        };
        let nodes = self.control_nodes();
        let linked = nodes.iter().map(|p| &p.vm);
        let mut linked: Vec<&Name> = linked.filter(|vm| self.parts.hub.is_up(vm)).collect();
        let own = Some(&self.parts.home.data_centre);
        linked.sort_by_key(|vm| (data_centre(vm) != own, *vm));
        let index = attempt.checked_rem(linked.len())?;
        Some(linked[index].clone())
    }

    /// Answers a scheduler's request for the endpoints of its shard.
    pub(super) fn answer_cell_request(&mut self, now: Millis, vm: &Name, shard: Shard, known: u64) {
        let service = self.view.config.services.get(&shard.service);
        let (Some(service), Some(_)) = (service, self.registry.census()) else {
            return;
        };
        // Without the list, or with an outdated one, the answer is left to other control VMs.
        let is_known = !self.registry.listing().endpoints.is_empty();
        if !is_known || !self.registry.is_reachable(now, CELL_AGE_MAX_MS) {
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

    /// Answers a child's proof request with the age of this process's own proof.
    pub(super) fn answer_proof_request(&self, now: Millis, vm: &Name, sent: u64) {
        let Some(verified_at) = self.dissemination.verified_at() else {
            return;
        };
        let answer = Message::ProofAge {
            sent,
            age_ms: now.since(verified_at),
            version: self.view.version,
        };
        self.parts.hub.send(vm, answer);
    }

    /// On a root of the tree, asks the leader for a proof that the view is the newest.
    pub(super) fn request_proof(&mut self, now: Millis) {
        if !self.dissemination.is_root() {
            return;
        }
        if let Some((at, answer)) = &mut self.pending_proof {
            match answer.try_recv() {
                Ok(Reply::CurrentVersion(head)) => {
                    let at = *at;
                    self.dissemination.record_proof(at, head, self.view.version);
                    self.pending_proof = None;
                    self.dirty = true;
                }
                Ok(_) | Err(oneshot::error::TryRecvError::Closed) => self.pending_proof = None,
                Err(oneshot::error::TryRecvError::Empty) => {}
            }
        }
        if self.dissemination.take_proof_due(now) && self.pending_proof.is_none() {
            let (sender, receiver) = oneshot::channel();
            self.pending_proof = Some((now, receiver));
            self.queries
                .ask(now, &self.parts.hub, Query::CurrentVersion, sender);
        }
    }

    /// Becomes ready once the view has reached the version that a quorum had in force after this
    /// process started.
    ///
    /// If a process served the view of the first peer that it reached, it could be older than the
    /// one from before its restart, and a customer that was removed would be served again.
    pub(super) fn update_readiness(&mut self, now: Millis) {
        if self.ready {
            return;
        }
        // A proof from the parent that is younger than this process is as good as an answer of
        // the leader. It spares the leader queries from all routers at once after a full outage.
        let verified_at = self.dissemination.verified_at();
        if verified_at.is_some_and(|at| at >= self.started) {
            self.required_version = Some(self.view.version);
        }
        if self.required_version.is_none() && self.should_ask_leader(now) {
            let (at, head) = self.pending_head.get_or_insert_with(|| {
                let (sender, receiver) = oneshot::channel();
                self.queries
                    .ask(now, &self.parts.hub, Query::CurrentVersion, sender);
                (now, receiver)
            });
            match head.try_recv() {
                Ok(Reply::CurrentVersion(version)) => {
                    // This proves as much as an answer to a proof request. Without it, a router
                    // that has just found a parent would refuse callers until the next
                    // request, for up to half a second after a full outage.
                    self.dissemination
                        .record_proof(*at, version, self.view.version);
                    self.required_version = Some(version);
                }
                Ok(_) | Err(oneshot::error::TryRecvError::Closed) => self.pending_head = None,
                Err(oneshot::error::TryRecvError::Empty) => {}
            }
        }
        if self
            .required_version
            .is_some_and(|needed| self.view.version >= needed)
        {
            tracing::info!(
                event = Line::Ready.as_str(),
                version = self.view.version.0,
                needed = self.required_version.map(|v| v.0),
            );
            self.ready = true;
            self.dirty = true;
        }
    }

    /// Whether this process has to ask the leader itself: because it is a root of the tree, or
    /// because its parent has answered a proof request with a proof that is too old, or has not
    /// answered in time.
    fn should_ask_leader(&mut self, now: Millis) -> bool {
        if self.dissemination.is_root() || self.pending_head.is_some() {
            return true;
        }
        let since = self.parent_since.get_or_insert(now);
        let has_parent = self.dissemination.parent().is_some();
        if !has_parent {
            self.parent_since = None;
            return false;
        }
        self.dissemination.has_proof_answer() || now.since(*since) >= PARENT_PROOF_TIMEOUT_MS
    }

    /// Sends other schedulers of the region what the engines of the schedulers here have cached.
    pub(super) fn send_cached(&mut self) {
        for (to, cached) in self.schedulers.take_cached(&self.effective) {
            self.parts
                .hub
                .send(&to.node.vm, Message::CachedPrompts(cached));
        }
    }

    /// Sends schedulers in other regions the service that the schedulers here have granted.
    pub(super) fn send_service_totals(&mut self) {
        let mut wanted = BTreeSet::new();
        for (to, totals) in self.schedulers.take_service_totals(&self.effective) {
            self.parts.hub.dial(&to.node);
            self.parts
                .hub
                .send(&to.node.vm, Message::ServiceTotals(totals));
            wanted.insert(to.node.vm);
        }
        self.dialed_regions = wanted;
    }
}
