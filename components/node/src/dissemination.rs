//! The feed: how this process learns the view, and whom it feeds in turn.

use coordination::tree::{Attachment, Confirmation, Tree};
use protocol::wire::{Hello, Message};
use smallvec::SmallVec;
use state::clock::Millis;
use state::id::{Name, Version};
use state::view::{Acceptance, Node, Step, View};
use std::collections::{BTreeMap, VecDeque};
use transport::link::Hub;

/// Time between two pulses of a root, in milliseconds.
const PULSE_MS: u64 = 1000;
/// Silence after which another parent is sought, in milliseconds.
const QUIET_MS: u64 = 3000;
/// Time for a parent to take this process in, in milliseconds.
const JOIN_MS: u64 = 800;
/// Time between two checks of how new the view is, in milliseconds.
///
/// A proof is as old as this and the way of the check when it is at its oldest:
/// well below what routers must refuse at.
const CHECK_MS: u64 = 500;
/// The same before the first answer, in milliseconds.
const CHECK_FIRST_MS: u64 = 100;
/// Time for which a node that was sent to a control VM of its own data centre is taken in when
/// it comes back, in milliseconds: that one cannot feed it.
const SENT_HOME_MS: u64 = 5000;
/// Part of the number of routers by which it has to change to be told again.
const SIZE_PART: u32 = 8;
/// Steps kept for children that missed some.
const HISTORY: usize = 256;

/// Where this process stands in the tree.
#[derive(Clone, Debug)]
enum Stand {
    /// It is fed by the control role of this process.
    Root { fresh: bool, pulse_at: Millis },
    /// It seeks a parent.
    Seeking { asked: Option<Node>, since: Millis },
    /// It has a parent.
    Child { parent: Node },
}

/// The feed of one process.
pub(crate) struct Dissemination {
    me: Name,
    seeds: Vec<Node>,
    next_seed: usize,
    stand: Stand,
    tree: Tree,
    /// Nodes that were sent to a control VM of their own data centre, and when.
    sent_home: BTreeMap<Name, Millis>,
    history: VecDeque<Step>,
    /// Last sign of life that began at a root.
    pulse: Option<Millis>,
    /// Latest time at which the view was proved to be the newest.
    proof: Option<Millis>,
    /// A proof that holds once the view has reached its version.
    awaited: Option<(Millis, Version)>,
    check_at: Millis,
    /// Whether the parent has answered a check.
    is_checked: bool,
    confirmed: Option<Confirmation>,
    version: Version,
    /// Routers below each other root, as it has told.
    subtrees: BTreeMap<Name, u32>,
    /// Routers of the fleet, as a root counts them.
    size: Option<u32>,
    /// That number as children, and other roots, were last told theirs.
    told_size: u32,
    told_subtree: u32,
}

impl Dissemination {
    /// A feed that has nothing yet. `root` is for control VMs.
    pub(crate) fn new(me: Name, seeds: Vec<Node>, first: usize, fanout: usize, root: bool) -> Self {
        let stand = if root {
            Stand::Root {
                fresh: false,
                pulse_at: Millis(0),
            }
        } else {
            Stand::Seeking {
                asked: None,
                since: Millis(0),
            }
        };
        Dissemination {
            me,
            seeds,
            next_seed: first,
            stand,
            tree: Tree::new(fanout),
            sent_home: BTreeMap::new(),
            history: VecDeque::new(),
            pulse: None,
            proof: None,
            awaited: None,
            check_at: Millis(0),
            is_checked: false,
            confirmed: None,
            version: Version(0),
            subtrees: BTreeMap::new(),
            size: None,
            told_size: 0,
            told_subtree: 0,
        }
    }

    /// Routers of the fleet, once a root has counted them.
    pub(crate) fn size(&self) -> Option<u32> {
        self.size
    }

    /// Takes how many routers another root feeds, directly or not.
    pub(crate) fn take_subtree(&mut self, vm: &Name, routers: u32) {
        self.subtrees.insert(vm.clone(), routers);
    }

    /// Takes how many routers there are, and tells its children.
    pub(crate) fn take_size(&mut self, hub: &Hub, routers: u32) {
        if !self.is_root() {
            self.set_size(hub, routers);
        }
    }

    /// Children hear of a change by more than an eighth alone: what rests on the number needs
    /// no more, and each router that comes or goes would be told to all others.
    fn set_size(&mut self, hub: &Hub, routers: u32) {
        self.size = Some(routers);
        if routers.abs_diff(self.told_size) * SIZE_PART <= self.told_size {
            return;
        }
        self.told_size = routers;
        for child in self.tree.children() {
            hub.send(child, Message::FleetSize(routers));
        }
    }

    /// Counts the routers of the fleet, at a root among others.
    pub(crate) fn count_routers(&mut self, hub: &Hub, roots: &[Node]) {
        if !self.is_root() {
            return;
        }
        let others = || roots.iter().filter(|p| p.vm != self.me);
        self.subtrees
            .retain(|vm, _| roots.iter().any(|p| p.vm == *vm));
        let own = self.tree.aggregate(None).routers;
        let sum = own + self.subtrees.values().sum::<u32>();
        if own != self.told_subtree {
            for root in others() {
                hub.send(&root.vm, Message::SubtreeSize(own));
            }
            self.told_subtree = own;
        }
        self.set_size(hub, sum.max(1));
    }

    /// Latest time at which the view was proved to be the newest.
    pub(crate) fn proof(&self) -> Option<Millis> {
        self.proof
    }

    /// Changes the places where a parent is sought first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.seeds = seeds;
    }

    /// Whether the parent has answered a check.
    pub(crate) fn is_checked(&self) -> bool {
        self.is_checked
    }

    /// Whether it is time to ask for a new proof.
    pub(crate) fn wants_proof(&mut self, now: Millis) -> bool {
        let due = now >= self.check_at;
        if due {
            self.check_at = now.after(CHECK_MS);
        }
        due
    }

    /// Whether this is a root of the tree.
    pub(crate) fn is_root(&self) -> bool {
        matches!(self.stand, Stand::Root { .. })
    }

    /// Takes a proof: `head` was the newest version at some time after `at`.
    ///
    /// The time counts from when this process asked, on its own clock. What comes
    /// by itself proves nothing: a process that was suspended would find old news
    /// waiting for it, and take them for new.
    pub(crate) fn prove(&mut self, at: Millis, head: Version, version: Version) {
        if version >= head {
            self.proof = self.proof.max(Some(at));
        } else if self.awaited.is_none_or(|(earlier, _)| earlier <= at) {
            self.awaited = Some((at, head));
        }
    }

    /// Takes the parent's answer to a check.
    pub(crate) fn checked(&mut self, from: &Name, at: Millis, head: Version, version: Version) {
        if self.parent() == Some(from) {
            self.is_checked = true;
            self.prove(at, head, version);
        }
    }

    /// Notes that a version came into force.
    pub(crate) fn reached(&mut self, version: Version) {
        if let Some((at, _)) = self.awaited.take_if(|(_, head)| version >= *head) {
            self.proof = self.proof.max(Some(at));
        }
    }

    /// The node that feeds this one.
    pub(crate) fn parent(&self) -> Option<&Name> {
        match &self.stand {
            Stand::Child { parent } => Some(&parent.vm),
            _ => None,
        }
    }

    /// What this process and all below it have confirmed.
    pub(crate) fn total(&self, version: Version) -> Confirmation {
        self.tree.aggregate(Some((&self.me, version)))
    }

    /// Notes whether the control role here follows a living leader. When it
    /// does not, children are sent away: they would be fed nothing new.
    pub(crate) fn fresh(&mut self, now: Millis, hub: &Hub, is: bool) {
        let Stand::Root { fresh, .. } = &mut self.stand else {
            return;
        };
        *fresh = is;
        if is {
            self.pulse = Some(now);
            return;
        }
        let children: Vec<Name> = self.tree.children().cloned().collect();
        for child in children {
            self.send_away(hub, &child);
            self.tree.detach(&child);
        }
    }

    /// Takes steps; gives the versions that came into force.
    pub(crate) fn steps(
        &mut self,
        view: &mut View,
        hub: &Hub,
        from: Option<&Name>,
        steps: &[Step],
    ) -> bool {
        let mut news: SmallVec<[Step; 1]> = SmallVec::new();
        for step in steps {
            match view.apply_step(step) {
                Acceptance::Applied => news.push(step.clone()),
                Acceptance::Stale => {}
                Acceptance::Gap => {
                    if let Some(vm) = from {
                        hub.send(vm, Message::Subscribe(view.version));
                    }
                    break;
                }
            }
        }
        if news.is_empty() {
            return false;
        }
        self.history.extend(news.iter().cloned());
        while self.history.len() > HISTORY {
            self.history.pop_front();
        }
        for child in self.tree.children() {
            hub.send(child, Message::Updates(news.clone()));
        }
        true
    }

    /// Takes a whole view; true if it was newer.
    pub(crate) fn whole(&mut self, view: &mut View, hub: &Hub, whole: View) -> bool {
        if !view.replace(whole) {
            return false;
        }
        self.history.clear();
        for child in self.tree.children() {
            hub.send(child, Message::FullView(Box::new(view.clone())));
        }
        true
    }

    /// Takes a pulse from the parent, and passes it on.
    pub(crate) fn pulsed(
        &mut self,
        now: Millis,
        hub: &Hub,
        from: &Name,
        view: &View,
        head: Version,
    ) {
        if self.parent() != Some(from) {
            self.leave(hub, from);
            return;
        }
        if view.version < head {
            hub.send(from, Message::Subscribe(view.version));
        }
        self.pulse = Some(now);
        for child in self.tree.children() {
            hub.send(child, Message::VersionProof(head));
        }
    }

    /// Takes a node that wants to be fed; true if it is a new child.
    pub(crate) fn subscribe(
        &mut self,
        now: Millis,
        hub: &Hub,
        peer: Hello,
        view: &View,
        version: Version,
    ) -> bool {
        let Hello {
            place, data_centre, ..
        } = peer;
        if matches!(self.stand, Stand::Root { fresh: false, .. }) {
            self.send_away(hub, &place.vm);
            return false;
        }
        let vm = place.vm.clone();
        let was_child = self.feeds(&vm);
        if let Some(nearer) = self.nearer(now, hub, &vm, &data_centre) {
            hub.send(&vm, Message::Redirect(nearer));
            return false;
        }
        if let Attachment::Redirect(other) = self.tree.attach(place, &data_centre, version) {
            hub.send(&vm, Message::Redirect(other));
            return false;
        }
        let first = self.history.front().map(|s| s.version.0);
        let reach = first.is_some_and(|first| first <= version.0 + 1);
        let message = if version >= view.version {
            Message::VersionProof(view.version)
        } else if reach {
            let missed = self.history.iter().filter(|s| s.version > version);
            Message::Updates(missed.cloned().collect())
        } else {
            Message::FullView(Box::new(view.clone()))
        };
        hub.send(&vm, message);
        if let Some(size) = self.size.filter(|_| !was_child) {
            hub.send(&vm, Message::FleetSize(size));
        }
        !was_child
    }

    /// A control VM in the data centre of a node that wants to be fed by this one, which is
    /// elsewhere; `None` for one that was sent there a moment ago.
    fn nearer(&mut self, now: Millis, hub: &Hub, vm: &Name, data_centre: &Name) -> Option<Node> {
        let is_far = self.is_root() && hub.hello().data_centre != *data_centre;
        if !is_far || self.feeds(vm) {
            return None;
        }
        self.sent_home.retain(|_, at| now.since(*at) < SENT_HOME_MS);
        if self.sent_home.contains_key(vm) {
            return None;
        }
        let peers = hub.peers();
        let is_near = |p: &&Hello| p.data_centre == *data_centre && p.place.vm != *vm;
        let mut near = peers.iter().filter(is_near);
        let control = near.find(|p| self.seeds.iter().any(|s| s.vm == p.place.vm))?;
        self.sent_home.insert(vm.clone(), now);
        Some(control.place.clone())
    }

    /// Tells a node that goes on feeding this one that another does so.
    ///
    /// A link outlives a change of parent where something else needs it, and the
    /// former parent would count this process for ever, at the version at which it
    /// left. One would see more routers confirmed than there are, and a version that
    /// is in force everywhere never confirmed. Each pulse is answered, so that one
    /// lost answer does not matter.
    fn leave(&self, hub: &Hub, from: &Name) {
        if !self.is_root() {
            hub.send(from, Message::Unsubscribe);
        }
    }

    /// Forgets a child that another node feeds.
    pub(crate) fn unsubscribe(&mut self, vm: &Name) {
        self.tree.detach(vm);
    }

    /// Takes a child's confirmation.
    pub(crate) fn confirm(&mut self, vm: &Name, confirm: Confirmation) {
        self.tree.confirm(vm, confirm);
    }

    /// Is told to ask another node.
    pub(crate) fn elsewhere(&mut self, now: Millis, hub: &Hub, from: &Name, place: Node) {
        let asked = match &self.stand {
            Stand::Root { .. } => return,
            Stand::Seeking { asked, .. } => asked.as_ref(),
            Stand::Child { parent } => Some(parent),
        };
        if asked.is_none_or(|p| p.vm != *from) || place.vm == self.me {
            return;
        }
        self.seek(now, hub, place);
    }

    /// Notes that a link came up.
    pub(crate) fn link_up(&mut self, hub: &Hub, vm: &Name, version: Version) {
        let asked = match &self.stand {
            Stand::Seeking { asked, .. } => asked.as_ref(),
            Stand::Child { parent } => Some(parent),
            Stand::Root { .. } => None,
        };
        if asked.is_some_and(|p| p.vm == *vm) {
            hub.send(vm, Message::Subscribe(version));
        }
    }

    /// Notes that a link was lost.
    pub(crate) fn link_down(&mut self, now: Millis, vm: &Name) {
        self.tree.detach(vm);
        if matches!(&self.stand, Stand::Child { parent } if parent.vm == *vm) {
            self.stand = Stand::Seeking {
                asked: None,
                since: now,
            };
        }
    }

    /// Notes that a node feeds this one.
    pub(crate) fn fed(&mut self, now: Millis, from: &Name) {
        let Stand::Seeking { asked, .. } = &self.stand else {
            return;
        };
        if let Some(place) = asked.clone().filter(|p| p.vm == *from) {
            self.pulse = self.pulse.or(Some(now));
            self.stand = Stand::Child { parent: place };
            self.is_checked = false;
            self.confirmed = None;
        }
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Millis, hub: &Hub, version: Version) {
        self.version = version;
        match &mut self.stand {
            Stand::Root { fresh, pulse_at } => {
                if *fresh && now >= *pulse_at {
                    *pulse_at = now.after(PULSE_MS);
                    for child in self.tree.children() {
                        hub.send(child, Message::VersionProof(version));
                    }
                }
            }
            Stand::Seeking { asked, since } => {
                if asked.is_none() || now.since(*since) > JOIN_MS {
                    self.seek_seed(now, hub);
                }
            }
            Stand::Child { parent } => {
                if now >= self.check_at {
                    let pause_ms = match self.proof {
                        Some(_) => CHECK_MS,
                        None => CHECK_FIRST_MS,
                    };
                    self.check_at = now.after(pause_ms);
                    hub.send(&parent.vm, Message::ProofRequest(now.0));
                }
                // A parent that is cut off with us, or that we are above of in a
                // ring, passes on no pulse; only a root can begin one.
                if self.pulse.is_none_or(|at| now.since(at) > QUIET_MS) {
                    self.pulse = Some(now);
                    self.seek_seed(now, hub);
                }
            }
        }
        self.tell_parent(hub, version);
    }

    /// Nodes that this one feeds.
    pub(crate) fn children(&self) -> impl Iterator<Item = &Name> {
        self.tree.children()
    }

    /// Whether this node feeds a VM.
    pub(crate) fn feeds(&self, vm: &Name) -> bool {
        self.tree.children().any(|child| child == vm)
    }

    /// Whether a VM's link is kept for the feed.
    pub(crate) fn needs(&self, vm: &Name) -> bool {
        match &self.stand {
            Stand::Seeking { asked, .. } => asked.as_ref().is_some_and(|p| p.vm == *vm),
            Stand::Child { parent } => parent.vm == *vm,
            Stand::Root { .. } => false,
        }
    }

    fn tell_parent(&mut self, hub: &Hub, version: Version) {
        let Stand::Child { parent } = &self.stand else {
            return;
        };
        let total = self.total(version);
        if self.confirmed.as_ref() != Some(&total) {
            hub.send(&parent.vm, Message::Confirm(total.clone()));
            self.confirmed = Some(total);
        }
    }

    fn seek_seed(&mut self, now: Millis, hub: &Hub) {
        let others: Vec<&Node> = self.seeds.iter().filter(|s| s.vm != self.me).collect();
        if others.is_empty() {
            return;
        }
        let place = others[self.next_seed % others.len()].clone();
        self.next_seed += 1;
        self.seek(now, hub, place);
    }

    fn seek(&mut self, now: Millis, hub: &Hub, place: Node) {
        hub.dial(&place);
        if hub.is_up(&place.vm) {
            hub.send(&place.vm, Message::Subscribe(self.version));
        }
        self.stand = Stand::Seeking {
            asked: Some(place),
            since: now,
        };
    }

    fn send_away(&mut self, hub: &Hub, vm: &Name) {
        if let Some(other) = self.tree.redirect(&self.seeds, &self.me, vm) {
            hub.send(vm, Message::Redirect(other));
        }
    }
}
