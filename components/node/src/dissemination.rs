//! Dissemination of the view: the parent that sends it to this process, and the children that
//! this process sends it to.
//!
//! Processes form trees whose roots are the control VMs.

use coordination::history::{ranges, History, Missed, HISTORY_BYTES_MAX};
use coordination::tree::{Attachment, Confirmation, Tree};
use protocol::codec;
use protocol::wire::{Hello, Message};
use smallvec::SmallVec;
use state::clock::Millis;
use state::id::{Name, Version};
use state::line::Line;
use state::view::{Acceptance, Node, Step, View};
use std::collections::BTreeMap;
use transport::link::{Encoded, Hub};

/// Time between two heartbeats that a root sends down the tree, in milliseconds.
const ROOT_HEARTBEAT_INTERVAL_MS: u64 = 1000;
/// Time without a heartbeat after which a process looks for another parent, in milliseconds.
const PARENT_TIMEOUT_MS: u64 = 3000;
/// Time for a candidate parent to accept this process, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 800;
/// Time between two requests for a proof that the view is the newest, in milliseconds.
///
/// A proof is at most as old as this plus the round trip of the request, which is well below the
/// age at which routers refuse requests.
const PROOF_REQUEST_INTERVAL_MS: u64 = 500;
/// Time between two proof requests until the first proof, in milliseconds.
const FIRST_PROOF_REQUEST_INTERVAL_MS: u64 = 100;
/// Time for which a node that was redirected to a control VM of its own data centre is accepted
/// if it comes back, in milliseconds: that control VM evidently cannot serve it.
const REDIRECT_MEMORY_MS: u64 = 5000;
/// The number of routers is sent to children again when it has changed by more than one part in
/// this many.
const SIZE_CHANGE_PARTS: u32 = 8;
/// Time between two requests for the versions that this process lacks, in milliseconds. Until the
/// answer to the first one arrives, every further step shows again that some are missing.
const RESUBSCRIBE_INTERVAL_MS: u64 = 500;
/// Time for which a newer version must have been in force before this process logs that its view is
/// behind, in milliseconds.
const BEHIND_AFTER_MS: u64 = 3000;

/// Position of this process in the tree.
#[derive(Clone, Debug)]
enum Position {
    /// The control role of this process supplies the view. `has_leader` says whether that follows
    /// a live leader, and `heartbeat_at` when the next heartbeat is due.
    Root {
        has_leader: bool,
        heartbeat_at: Millis,
    },
    /// The process has no parent. `asked` is the candidate that was asked last, at `since`.
    Seeking { asked: Option<Node>, since: Millis },
    /// A parent sends this process the view.
    Child { parent: Node },
}

/// A newer version than that of this process.
#[derive(Clone, Copy, Debug)]
struct Behind {
    newer: Version,
    /// Since when it is known to be in force.
    since: Millis,
    /// Whether it was logged that it has not arrived.
    is_logged: bool,
}

/// Dissemination state of one process.
pub(crate) struct Dissemination {
    /// Name of this VM.
    me: Name,
    /// Control VMs where a parent is looked for first.
    seeds: Vec<Node>,
    /// Index of the seed that is asked next, modulo their number.
    next_seed: usize,
    position: Position,
    /// Children, and what they have confirmed.
    tree: Tree,
    /// Nodes that were redirected to a control VM of their own data centre, and when.
    redirected: BTreeMap<Name, Millis>,
    /// Recent steps, for children that have missed some.
    history: History,
    /// The encoded view, while several children may need it, and its version.
    whole: Option<(Version, Encoded)>,
    /// When versions that this process lacks were last requested.
    resubscribed_at: Option<Millis>,
    /// A newer version that is in force and has not arrived here.
    behind: Option<Behind>,
    /// When the last heartbeat arrived.
    last_heartbeat_at: Option<Millis>,
    /// Latest time at which the view was proved to be the newest.
    verified_at: Option<Millis>,
    /// A proof that takes effect once the view has reached its version.
    pending_proof: Option<(Millis, Version)>,
    /// When the next proof request, or on a root the next proof, is due.
    next_proof_request_at: Millis,
    /// Whether the parent has answered a proof request.
    has_proof_answer: bool,
    /// Confirmation that the parent was last sent.
    sent_confirm: Option<Confirmation>,
    /// Version of the view at the last tick.
    version: Version,
    /// Number of routers below each other root, as last reported.
    subtrees: BTreeMap<Name, u32>,
    /// Number of routers of the fleet, as counted by a root.
    fleet_size: Option<u32>,
    /// Number of routers that children were last sent.
    sent_size: u32,
    /// Number of routers below this root that each other root was last sent on its present link.
    sent_subtrees: BTreeMap<Name, u32>,
}

impl Dissemination {
    /// Creates the state of a process without a view. `is_root` is true on control VMs.
    pub(crate) fn new(
        me: Name,
        seeds: Vec<Node>,
        first: usize,
        fanout: usize,
        is_root: bool,
    ) -> Self {
        let position = if is_root {
            Position::Root {
                has_leader: false,
                heartbeat_at: Millis(0),
            }
        } else {
            Position::Seeking {
                asked: None,
                since: Millis(0),
            }
        };
        Dissemination {
            me,
            seeds,
            next_seed: first,
            position,
            tree: Tree::new(fanout),
            redirected: BTreeMap::new(),
            history: History::default(),
            whole: None,
            resubscribed_at: None,
            behind: None,
            last_heartbeat_at: None,
            verified_at: None,
            pending_proof: None,
            next_proof_request_at: Millis(0),
            has_proof_answer: false,
            sent_confirm: None,
            version: Version(0),
            subtrees: BTreeMap::new(),
            fleet_size: None,
            sent_size: 0,
            sent_subtrees: BTreeMap::new(),
        }
    }

    /// Number of routers of the fleet, once a root has counted them.
    pub(crate) fn routers(&self) -> Option<u32> {
        self.fleet_size
    }

    /// Handles the number of routers below another root.
    pub(crate) fn handle_subtree_size(&mut self, vm: &Name, routers: u32) {
        self.subtrees.insert(vm.clone(), routers);
    }

    /// Handles the number of routers of the fleet, and passes it on to children.
    pub(crate) fn handle_fleet_size(&mut self, hub: &Hub, routers: u32) {
        if !self.is_root() {
            self.set_size(hub, routers);
        }
    }

    /// Sets the number of routers, and sends it to children if it has changed by more than an
    /// eighth. What depends on it needs no more precision, and otherwise each router that joins or
    /// leaves would cause a message to every other one.
    fn set_size(&mut self, hub: &Hub, routers: u32) {
        self.fleet_size = Some(routers);
        if routers.abs_diff(self.sent_size) * SIZE_CHANGE_PARTS <= self.sent_size {
            return;
        }
        self.sent_size = routers;
        for child in self.tree.children() {
            hub.send(child, Message::FleetSize(routers));
        }
    }

    /// On a root, counts the routers of the fleet and reports its own part to the other roots.
    pub(crate) fn count_routers(&mut self, hub: &Hub, roots: &[Node]) {
        if !self.is_root() {
            return;
        }
        let others = || roots.iter().filter(|p| p.vm != self.me);
        self.subtrees
            .retain(|vm, _| roots.iter().any(|p| p.vm == *vm));
        let own = self.tree.aggregate(None).routers;
        let sum = own + self.subtrees.values().sum::<u32>();
        for root in others() {
            let is_sent = self.sent_subtrees.get(&root.vm) == Some(&own);
            if !is_sent && hub.send(&root.vm, Message::SubtreeSize(own)) {
                self.sent_subtrees.insert(root.vm.clone(), own);
            }
        }
        self.set_size(hub, sum.max(1));
    }

    /// Latest time at which the view was proved to be the newest.
    pub(crate) fn verified_at(&self) -> Option<Millis> {
        self.verified_at
    }

    /// Replaces the control VMs where a parent is looked for first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.seeds = seeds;
    }

    /// Whether the parent has answered a proof request.
    pub(crate) fn has_proof_answer(&self) -> bool {
        self.has_proof_answer
    }

    /// Whether a new proof is due; if so, schedules the next one.
    pub(crate) fn take_proof_due(&mut self, now: Millis) -> bool {
        let due = now >= self.next_proof_request_at;
        if due {
            self.next_proof_request_at = now.after(PROOF_REQUEST_INTERVAL_MS);
        }
        due
    }

    /// Whether this is a root of the tree.
    pub(crate) fn is_root(&self) -> bool {
        matches!(self.position, Position::Root { .. })
    }

    /// Records a proof: `head` was the newest version at some time after `at`.
    ///
    /// `at` is when this process sent its question, on its own clock. Unsolicited messages prove
    /// nothing: a process that was suspended would find old ones queued and take them for new.
    pub(crate) fn record_proof(&mut self, at: Millis, head: Version, version: Version) {
        if version >= head {
            self.verified_at = self.verified_at.max(Some(at));
        } else if self.pending_proof.is_none_or(|(earlier, _)| earlier <= at) {
            self.pending_proof = Some((at, head));
        }
    }

    /// Handles the parent's answer to a proof request.
    pub(crate) fn handle_proof_age(
        &mut self,
        from: &Name,
        at: Millis,
        head: Version,
        version: Version,
    ) {
        if self.parent() == Some(from) {
            self.has_proof_answer = true;
            self.record_proof(at, head, version);
        }
    }

    /// Records which version is in force, and logs if the view has been older for seconds.
    fn observe_head(&mut self, now: Millis, version: Version, head: Version) {
        if version >= head {
            return;
        }
        let behind = self.behind.get_or_insert(Behind {
            newer: head,
            since: now,
            is_logged: false,
        });
        if !behind.is_logged && now.since(behind.since) >= BEHIND_AFTER_MS {
            behind.is_logged = true;
            tracing::warn!(
                event = Line::ViewBehind.as_str(),
                is_behind = true,
                version = version.0,
                newer = behind.newer.0,
            );
        }
    }

    /// Records that a version came into force, which may complete a pending proof.
    pub(crate) fn on_new_version(&mut self, version: Version) {
        let caught_up = self.behind.take_if(|behind| version >= behind.newer);
        if caught_up.is_some_and(|behind| behind.is_logged) {
            let event = Line::ViewBehind.as_str();
            tracing::info!(event, is_behind = false, version = version.0);
        }
        self.resubscribed_at = None;
        if let Some((at, _)) = self.pending_proof.take_if(|(_, head)| version >= *head) {
            self.verified_at = self.verified_at.max(Some(at));
        }
    }

    /// The node that sends this one the view.
    pub(crate) fn parent(&self) -> Option<&Name> {
        match &self.position {
            Position::Child { parent } => Some(&parent.vm),
            _ => None,
        }
    }

    /// Versions confirmed by this process and all nodes below it.
    pub(crate) fn total(&self, version: Version) -> Confirmation {
        self.tree.aggregate(Some((&self.me, version)))
    }

    /// Records whether the control role here follows a live leader. If it does not, children are
    /// redirected, because they would receive nothing new from here.
    pub(crate) fn set_leader_contact(&mut self, now: Millis, hub: &Hub, is_in_contact: bool) {
        let Position::Root { has_leader, .. } = &mut self.position else {
            return;
        };
        *has_leader = is_in_contact;
        if is_in_contact {
            self.last_heartbeat_at = Some(now);
            return;
        }
        let children: Vec<Name> = self.tree.children().cloned().collect();
        for child in children {
            self.redirect(hub, &child);
            self.tree.detach(&child);
        }
    }

    /// Applies steps to the view and passes them on to children. Returns whether any of them was
    /// new.
    pub(crate) fn apply_steps(
        &mut self,
        now: Millis,
        view: &mut View,
        hub: &Hub,
        from: Option<&Name>,
        steps: &[Step],
    ) -> bool {
        let mut applied: SmallVec<[&Step; 1]> = SmallVec::new();
        for step in steps {
            match view.apply_step(step) {
                Acceptance::Applied => applied.push(step),
                Acceptance::Stale => {}
                Acceptance::Gap => {
                    if let Some(vm) = from {
                        self.resubscribe(now, hub, vm, view.version);
                    }
                    break;
                }
            }
        }
        if applied.is_empty() {
            return false;
        }
        self.whole = None;
        let mut lengths: SmallVec<[usize; 1]> = SmallVec::new();
        for step in &applied {
            match codec::encode_value(*step) {
                Ok(bytes) => {
                    lengths.push(bytes.len());
                    self.history.push(step.version, bytes.into());
                }
                Err(_) => lengths.push(usize::MAX),
            }
        }
        self.send_steps(hub, view, &applied, &lengths);
        true
    }

    /// Sends steps of these lengths to all children, or the whole view if that is shorter.
    fn send_steps(&mut self, hub: &Hub, view: &View, steps: &[&Step], lengths: &[usize]) {
        if self.tree.children().next().is_none() {
            return;
        }
        let total = lengths.iter().copied().fold(0, usize::saturating_add);
        if steps.len() > 1 && total > codec::encoded_length(view) {
            self.send_whole_to_children(hub, view);
            return;
        }
        for range in ranges(lengths, HISTORY_BYTES_MAX) {
            let part = steps[range].iter().map(|step| (*step).clone());
            let Ok(encoded) = hub.encode(Message::Updates(part.collect())) else {
                // The whole view may be shorter than the step.
                self.send_whole_to_children(hub, view);
                return;
            };
            self.send_to_children(hub, &encoded);
        }
    }

    /// Sends all children a message. The link to a child that cannot take it is closed, and the child
    /// subscribes again.
    fn send_to_children(&self, hub: &Hub, message: &Encoded) {
        for child in self.tree.children() {
            hub.send_encoded(child, message);
        }
    }

    /// Sends all children the whole view.
    fn send_whole_to_children(&mut self, hub: &Hub, view: &View) {
        let children: SmallVec<[Name; 8]> = self.tree.children().cloned().collect();
        for child in children {
            self.send_whole(hub, &child, view);
        }
    }

    /// Sends a child the whole view.
    fn send_whole(&mut self, hub: &Hub, child: &Name, view: &View) {
        let version = view.version;
        let encoded = self.whole.take().filter(|(of, _)| *of == version);
        let encoded = match encoded {
            Some((_, encoded)) => Ok(encoded),
            None => hub.encode(Message::FullView(Box::new(view.clone()))),
        };
        match encoded {
            Ok(encoded) => {
                tracing::info!(
                    event = Line::ViewSent.as_str(),
                    peer = %child,
                    version = version.0,
                    bytes = encoded.length(),
                );
                hub.send_encoded(child, &encoded);
                self.whole = Some((version, encoded));
            }
            Err(error) => {
                tracing::error!(
                    event = Line::MessageLost.as_str(),
                    peer = %child,
                    kind = "whole",
                    %error,
                );
            }
        }
    }

    /// Requests the versions that this process lacks, unless it has just done so.
    fn resubscribe(&mut self, now: Millis, hub: &Hub, vm: &Name, version: Version) {
        let is_due = |at| now.since(at) >= RESUBSCRIBE_INTERVAL_MS;
        if self.resubscribed_at.is_none_or(is_due) {
            self.resubscribed_at = Some(now);
            hub.send(vm, Message::Subscribe(version));
        }
    }

    /// Replaces the view and passes the new one on to children. Returns whether it was newer.
    pub(crate) fn replace_view(&mut self, view: &mut View, hub: &Hub, whole: View) -> bool {
        if !view.replace(whole) {
            return false;
        }
        self.history.clear();
        self.send_whole_to_children(hub, view);
        true
    }

    /// Handles a heartbeat of a root (`Message::RootHeartbeat`) from the parent, and passes it on to
    /// children.
    pub(crate) fn handle_root_heartbeat(
        &mut self,
        now: Millis,
        hub: &Hub,
        from: &Name,
        view: &View,
        head: Version,
    ) {
        if self.parent() != Some(from) {
            self.unsubscribe(hub, from);
            return;
        }
        if view.version < head {
            self.resubscribe(now, hub, from, view.version);
        }
        self.observe_head(now, view.version, head);
        self.last_heartbeat_at = Some(now);
        for child in self.tree.children() {
            hub.send(child, Message::RootHeartbeat(head));
        }
    }

    /// Handles the request of a node to become a child: accepts or redirects it, and sends what
    /// its view lacks. Returns whether it is a new child.
    pub(crate) fn handle_subscribe(
        &mut self,
        now: Millis,
        hub: &Hub,
        peer: Hello,
        view: &View,
        version: Version,
    ) -> bool {
        let Hello {
            node, data_centre, ..
        } = peer;
        if matches!(
            self.position,
            Position::Root {
                has_leader: false,
                ..
            }
        ) {
            self.redirect(hub, &node.vm);
            return false;
        }
        let vm = node.vm.clone();
        let was_child = self.has_child(&vm);
        if let Some(nearer) = self.nearer_root(now, hub, &vm, &data_centre) {
            hub.send(&vm, Message::Redirect(nearer));
            return false;
        }
        if let Attachment::Redirect(other) = self.tree.attach(node, &data_centre, version) {
            hub.send(&vm, Message::Redirect(other));
            return false;
        }
        let whole_bytes = || codec::encoded_length(view);
        let steps = match self.history.missed(version, view.version, whole_bytes) {
            Missed::Nothing => Some(SmallVec::new()),
            Missed::Steps(steps) => steps
                .into_iter()
                .map(|s| codec::decode_value(s).ok())
                .collect(),
            Missed::Whole => None,
        };
        match steps {
            None => self.send_whole(hub, &vm, view),
            Some(steps) => {
                let message = match steps.is_empty() {
                    true => Message::RootHeartbeat(view.version),
                    false => Message::Updates(steps),
                };
                hub.send(&vm, message);
            }
        }
        if let Some(size) = self.fleet_size.filter(|_| !was_child) {
            hub.send(&vm, Message::FleetSize(size));
        }
        !was_child
    }

    /// Finds a control VM in the data centre of a node that asks this root, which is in another
    /// one, to become its parent. `None` if the node was redirected recently.
    fn nearer_root(
        &mut self,
        now: Millis,
        hub: &Hub,
        vm: &Name,
        data_centre: &Name,
    ) -> Option<Node> {
        let is_far = self.is_root() && hub.hello().data_centre != *data_centre;
        if !is_far || self.has_child(vm) {
            return None;
        }
        self.redirected
            .retain(|_, at| now.since(*at) < REDIRECT_MEMORY_MS);
        if self.redirected.contains_key(vm) {
            return None;
        }
        let peers = hub.peers();
        let is_near = |p: &&Hello| p.data_centre == *data_centre && p.node.vm != *vm;
        let mut near = peers.iter().filter(is_near);
        let control = near.find(|p| self.seeds.iter().any(|s| s.vm == p.node.vm))?;
        self.redirected.insert(vm.clone(), now);
        Some(control.node.clone())
    }

    /// Unsubscribes from a node that is not the parent but still sends the view.
    ///
    /// The link to a former parent may stay open for other reasons. The former parent would then
    /// count this process forever, at the version at which it left: more routers would be
    /// confirmed than exist, and a version that is in force everywhere would never be confirmed.
    /// Every heartbeat is answered, so a lost answer does no harm.
    fn unsubscribe(&self, hub: &Hub, from: &Name) {
        if !self.is_root() {
            hub.send(from, Message::Unsubscribe);
        }
    }

    /// Removes a child that has found another parent.
    pub(crate) fn handle_unsubscribe(&mut self, vm: &Name) {
        self.tree.detach(vm);
    }

    /// Handles a child's confirmation.
    pub(crate) fn handle_confirm(&mut self, vm: &Name, confirm: Confirmation) {
        self.tree.confirm(vm, confirm);
    }

    /// Handles a redirection to another node by the parent or the candidate that was asked.
    pub(crate) fn handle_redirect(&mut self, now: Millis, hub: &Hub, from: &Name, node: Node) {
        let asked = match &self.position {
            Position::Root { .. } => return,
            Position::Seeking { asked, .. } => asked.as_ref(),
            Position::Child { parent } => Some(parent),
        };
        if asked.is_none_or(|p| p.vm != *from) || node.vm == self.me {
            return;
        }
        self.ask_parent(now, hub, node);
    }

    /// Handles a new link: subscribes if it leads to the parent or to the candidate.
    pub(crate) fn link_up(&mut self, hub: &Hub, vm: &Name, version: Version) {
        let asked = match &self.position {
            Position::Seeking { asked, .. } => asked.as_ref(),
            Position::Child { parent } => Some(parent),
            Position::Root { .. } => None,
        };
        if asked.is_some_and(|p| p.vm == *vm) {
            hub.send(vm, Message::Subscribe(version));
        }
    }

    /// Handles a lost link to a child or to the parent.
    pub(crate) fn link_down(&mut self, now: Millis, vm: &Name) {
        self.tree.detach(vm);
        self.sent_subtrees.remove(vm);
        if matches!(&self.position, Position::Child { parent } if parent.vm == *vm) {
            self.position = Position::Seeking {
                asked: None,
                since: now,
            };
        }
    }

    /// Records that a node has sent the view: if it is the candidate, it becomes the parent.
    pub(crate) fn mark_received(&mut self, now: Millis, from: &Name) {
        let Position::Seeking { asked, .. } = &self.position else {
            return;
        };
        if let Some(node) = asked.clone().filter(|p| p.vm == *from) {
            self.last_heartbeat_at = self.last_heartbeat_at.or(Some(now));
            self.position = Position::Child { parent: node };
            self.has_proof_answer = false;
            self.sent_confirm = None;
        }
    }

    /// Sends heartbeats, proof requests and confirmations that are due, and looks for another
    /// parent after a timeout.
    pub(crate) fn tick(&mut self, now: Millis, hub: &Hub, version: Version) {
        self.version = version;
        self.whole = None;
        match &mut self.position {
            Position::Root {
                has_leader,
                heartbeat_at,
            } => {
                if *has_leader && now >= *heartbeat_at {
                    *heartbeat_at = now.after(ROOT_HEARTBEAT_INTERVAL_MS);
                    for child in self.tree.children() {
                        hub.send(child, Message::RootHeartbeat(version));
                    }
                }
            }
            Position::Seeking { asked, since } => {
                if asked.is_none() || now.since(*since) > JOIN_TIMEOUT_MS {
                    self.ask_next_seed(now, hub);
                }
            }
            Position::Child { parent } => {
                if now >= self.next_proof_request_at {
                    let pause_ms = match self.verified_at {
                        Some(_) => PROOF_REQUEST_INTERVAL_MS,
                        None => FIRST_PROOF_REQUEST_INTERVAL_MS,
                    };
                    self.next_proof_request_at = now.after(pause_ms);
                    hub.send(&parent.vm, Message::ProofRequest(now.0));
                }
                // Heartbeats originate at roots alone. A parent that is partitioned together
                // with this process, or that is its descendant in a cycle, forwards none.
                if self
                    .last_heartbeat_at
                    .is_none_or(|at| now.since(at) > PARENT_TIMEOUT_MS)
                {
                    self.last_heartbeat_at = Some(now);
                    self.ask_next_seed(now, hub);
                }
            }
        }
        self.confirm_to_parent(hub, version);
    }

    /// Nodes that this one sends the view to.
    pub(crate) fn children(&self) -> impl Iterator<Item = &Name> {
        self.tree.children()
    }

    /// Whether a VM is a child of this node.
    pub(crate) fn has_child(&self, vm: &Name) -> bool {
        self.tree.children().any(|child| child == vm)
    }

    /// Whether the link to a VM is needed because it is the parent or a candidate.
    pub(crate) fn needs(&self, vm: &Name) -> bool {
        match &self.position {
            Position::Seeking { asked, .. } => asked.as_ref().is_some_and(|p| p.vm == *vm),
            Position::Child { parent } => parent.vm == *vm,
            Position::Root { .. } => false,
        }
    }

    /// Sends the parent the confirmed versions if they have changed.
    fn confirm_to_parent(&mut self, hub: &Hub, version: Version) {
        let Position::Child { parent } = &self.position else {
            return;
        };
        let total = self.total(version);
        if self.sent_confirm.as_ref() != Some(&total)
            && hub.send(&parent.vm, Message::Confirm(total.clone()))
        {
            self.sent_confirm = Some(total);
        }
    }

    /// Asks the next seed to become the parent.
    fn ask_next_seed(&mut self, now: Millis, hub: &Hub) {
        let others: Vec<&Node> = self.seeds.iter().filter(|s| s.vm != self.me).collect();
        if others.is_empty() {
            return;
        }
        let node = others[self.next_seed % others.len()].clone();
        self.next_seed += 1;
        self.ask_parent(now, hub, node);
    }

    /// Asks a node to become the parent.
    fn ask_parent(&mut self, now: Millis, hub: &Hub, node: Node) {
        hub.dial(&node);
        if hub.is_up(&node.vm) {
            hub.send(&node.vm, Message::Subscribe(self.version));
        }
        self.position = Position::Seeking {
            asked: Some(node),
            since: now,
        };
    }

    /// Redirects a node to another one.
    fn redirect(&mut self, hub: &Hub, vm: &Name) {
        if let Some(other) = self.tree.redirect(&self.seeds, &self.me, vm) {
            hub.send(vm, Message::Redirect(other));
        }
    }
}
