//! Tree along which the control VMs disseminate the view to all routers.
//!
//! Each node serves a bounded number of children and redirects later ones to one of its
//! children, so that no node's traffic grows with the fleet. It prefers a child in the data
//! centre of the new node, so that updates cross between data centres once.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use state::view::Node;
use std::collections::BTreeMap;

/// Most names of lagging routers in a confirmation.
pub const SLOWEST_MAX: usize = 8;

/// Versions that the routers of a subtree have confirmed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Confirmation {
    /// Lowest version in force in the subtree.
    pub version: Version,
    /// Number of routers in the subtree.
    pub routers: u32,
    /// Some of the routers at the lowest version, at most [`SLOWEST_MAX`].
    pub slowest: SmallVec<[Name; 4]>,
}

/// A child in the tree.
#[derive(Clone, Debug)]
struct Child {
    node: Node,
    data_centre: Name,
    confirmation: Confirmation,
}

/// Answer to a node that asks to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attachment {
    /// The node is a child from now on.
    Child,
    /// The node should ask this one instead.
    Redirect(Node),
}

/// One node of the tree, with its children.
#[derive(Clone, Debug)]
pub struct Tree {
    fanout: usize,
    children: BTreeMap<Name, Child>,
    /// Counter that distributes redirects.
    turn: usize,
}

impl Tree {
    /// Creates a node that serves at most `fanout` children.
    pub fn new(fanout: usize) -> Self {
        Tree {
            fanout,
            children: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Adds a child, or redirects the node to one of the children in turn.
    ///
    /// A node that is a child already asks again after it has missed a step. The confirmation of
    /// its subtree is kept, because the child reports only changes of it: if it were reset, some
    /// routers would never count as confirmed although the version is in force everywhere.
    pub fn attach(&mut self, node: Node, data_centre: &Name, version: Version) -> Attachment {
        if let Some(child) = self.children.get_mut(&node.vm) {
            child.node = node;
            return Attachment::Child;
        }
        if self.children.len() >= self.fanout {
            self.turn += 1;
            let nearby = || {
                self.children
                    .values()
                    .filter(|c| c.data_centre == *data_centre)
            };
            let next = match nearby().count() {
                0 => self.children.values().nth(self.turn % self.children.len()),
                count => nearby().nth(self.turn % count),
            };
            if let Some(child) = next {
                return Attachment::Redirect(child.node.clone());
            }
        }
        let confirmation = Confirmation {
            version,
            routers: 1,
            slowest: SmallVec::from_iter([node.vm.clone()]),
        };
        let vm = node.vm.clone();
        let child = Child {
            node,
            data_centre: data_centre.clone(),
            confirmation,
        };
        self.children.insert(vm, child);
        Attachment::Child
    }

    /// The root to which `me`, which cannot serve now, redirects the node `vm`; `None` if there
    /// is no other.
    ///
    /// The roots are returned in turn: after all processes were lost, every router asks before
    /// there is a leader. Redirected to the same root, they would all wait for it to send the
    /// whole configuration to each: with 422 rules on 0.15 of a core, the last of 8 routers
    /// received it 1.2 s after the first control VM.
    pub fn redirect(&mut self, roots: &[Node], me: &Name, vm: &Name) -> Option<Node> {
        let others: SmallVec<[&Node; 8]> = (roots.iter())
            .filter(|r| r.vm != *me && r.vm != *vm)
            .collect();
        self.turn += 1;
        let node = others.get(self.turn % others.len().max(1))?;
        Some((*node).clone())
    }

    /// Removes a child.
    pub fn detach(&mut self, vm: &Name) {
        self.children.remove(vm);
    }

    /// Names of the children.
    pub fn children(&self) -> impl Iterator<Item = &Name> {
        self.children.keys()
    }

    /// Records a child's confirmation for its subtree.
    pub fn confirm(&mut self, vm: &Name, confirmation: Confirmation) {
        if let Some(child) = self.children.get_mut(vm) {
            child.confirmation = confirmation;
        }
    }

    /// Merges the confirmations of all subtrees and the version of this node, if it counts.
    pub fn aggregate(&self, own: Option<(&Name, Version)>) -> Confirmation {
        let mut all = Confirmation {
            version: Version(u64::MAX),
            routers: 0,
            slowest: SmallVec::new(),
        };
        if let Some((vm, version)) = own {
            all.merge(&Confirmation {
                version,
                routers: 1,
                slowest: SmallVec::from_iter([vm.clone()]),
            });
        }
        for child in self.children.values() {
            all.merge(&child.confirmation);
        }
        all
    }
}

impl Confirmation {
    /// Adds the routers of another subtree.
    fn merge(&mut self, other: &Confirmation) {
        self.routers += other.routers;
        if other.version > self.version {
            return;
        }
        if other.version < self.version {
            self.version = other.version;
            self.slowest.clear();
        }
        let room = SLOWEST_MAX.saturating_sub(self.slowest.len());
        self.slowest
            .extend(other.slowest.iter().take(room).cloned());
    }
}
