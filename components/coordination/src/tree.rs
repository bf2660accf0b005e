//! Spread of the view from the control VMs to all routers, along a tree.
//!
//! Each node feeds a bounded number of children and sends later ones on to a
//! child of its own, so that no node's traffic grows with the fleet. It prefers one in the
//! newcomer's data centre: what is spread then crosses between data centres once.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use state::view::Node;
use std::collections::BTreeMap;

/// Names of unconfirmed routers that a confirmation carries at most.
pub const SLOWEST_MAX: usize = 8;

/// What a subtree has confirmed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Confirmation {
    /// Smallest version in force in the subtree.
    pub version: Version,
    /// Routers in the subtree.
    pub routers: u32,
    /// Routers that are at that smallest version, the first few.
    pub slowest: SmallVec<[Name; 4]>,
}

/// A child in the tree.
#[derive(Clone, Debug)]
struct Child {
    place: Node,
    data_centre: Name,
    confirm: Confirmation,
}

/// What to tell a node that wants to be fed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attachment {
    /// It is a child from now on.
    Child,
    /// It should ask this node instead.
    Redirect(Node),
}

/// One node's place in the tree.
#[derive(Clone, Debug)]
pub struct Tree {
    fanout: usize,
    children: BTreeMap<Name, Child>,
    turn: usize,
}

impl Tree {
    /// A node that feeds at most `fanout` children.
    pub fn new(fanout: usize) -> Self {
        Tree {
            fanout,
            children: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Takes a child, or sends it on to a child in turn.
    ///
    /// One that is a child already asks again when it has missed a step. What its
    /// subtree has confirmed still holds, and it tells only what changes: forgotten
    /// here, it would never be told again, and one would see a version that is in
    /// force everywhere without the confirmation of some.
    pub fn attach(&mut self, place: Node, data_centre: &Name, version: Version) -> Attachment {
        if let Some(child) = self.children.get_mut(&place.vm) {
            child.place = place;
            return Attachment::Child;
        }
        if self.children.len() >= self.fanout {
            self.turn += 1;
            let near = || {
                self.children
                    .values()
                    .filter(|c| c.data_centre == *data_centre)
            };
            let next = match near().count() {
                0 => self.children.values().nth(self.turn % self.children.len()),
                count => near().nth(self.turn % count),
            };
            if let Some(child) = next {
                return Attachment::Redirect(child.place.clone());
            }
        }
        let confirm = Confirmation {
            version,
            routers: 1,
            slowest: SmallVec::from_iter([place.vm.clone()]),
        };
        let vm = place.vm.clone();
        let child = Child {
            place,
            data_centre: data_centre.clone(),
            confirm,
        };
        self.children.insert(vm, child);
        Attachment::Child
    }

    /// A root to which a node is sent that wants to be fed by `me`, which cannot.
    ///
    /// Each in turn: after all processes were lost, every router asks before there is a
    /// leader. Sent to the same root, they would all wait for it to send the whole
    /// configuration to each: with 422 rules on 0.15 of a core, the last of 8 routers had
    /// it 1.2 s after the first control VM.
    pub fn redirect(&mut self, roots: &[Node], me: &Name, vm: &Name) -> Option<Node> {
        let others: SmallVec<[&Node; 8]> = (roots.iter())
            .filter(|r| r.vm != *me && r.vm != *vm)
            .collect();
        self.turn += 1;
        let place = others.get(self.turn % others.len().max(1))?;
        Some((*place).clone())
    }

    /// Forgets a child.
    pub fn detach(&mut self, vm: &Name) {
        self.children.remove(vm);
    }

    /// Names of the children.
    pub fn children(&self) -> impl Iterator<Item = &Name> {
        self.children.keys()
    }

    /// Takes a child's confirmation for its subtree.
    pub fn confirm(&mut self, vm: &Name, confirm: Confirmation) {
        if let Some(child) = self.children.get_mut(vm) {
            child.confirm = confirm;
        }
    }

    /// What this node and all below it have confirmed.
    pub fn aggregate(&self, own: Option<(&Name, Version)>) -> Confirmation {
        let mut total = Confirmation {
            version: Version(u64::MAX),
            routers: 0,
            slowest: SmallVec::new(),
        };
        if let Some((vm, version)) = own {
            total.merge(&Confirmation {
                version,
                routers: 1,
                slowest: SmallVec::from_iter([vm.clone()]),
            });
        }
        for child in self.children.values() {
            total.merge(&child.confirm);
        }
        total
    }
}

impl Confirmation {
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
