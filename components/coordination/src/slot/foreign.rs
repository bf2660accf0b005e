//! Parts of prompts that engines of other schedulers have read.

use crate::engine::Mixed;
use crate::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;

/// Parts that are remembered: the shared ones of some thousand engines' memory.
const PARTS: usize = 1 << 15;

/// Where a part can be copied from that no engine here has read.
#[derive(Clone, Debug, Default)]
pub(super) struct Foreign {
    keepers: HashMap<u32, EndpointId, BuildHasherDefault<Mixed>>,
    /// Keys in the order in which they came to be known.
    // INVARIANT: holds each key of `keepers` once.
    order: VecDeque<u32>,
}

impl Foreign {
    /// Learns that an engine has read a part.
    pub(super) fn learn(&mut self, key: u32, endpoint: EndpointId) {
        if self.keepers.insert(key, endpoint).is_some() {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.keepers.remove(&oldest);
            }
        }
    }

    /// Forgets engines that `keep` refuses.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(EndpointId) -> bool,
    {
        let before = self.keepers.len();
        self.keepers.retain(|_, endpoint| keep(*endpoint));
        if self.keepers.len() < before {
            self.order.retain(|key| self.keepers.contains_key(key));
        }
    }

    /// The engine that has read most of a prompt's start, and how many tokens that is.
    pub(super) fn most(&self, prompt: &Prompt) -> Option<(EndpointId, u64)> {
        if self.keepers.is_empty() {
            return None;
        }
        let ends = prompt.parts().scan(0, |end, part| {
            *end += u64::from(part.tokens);
            Some((part.key, *end))
        });
        let known = ends.filter_map(|(key, end)| Some((*self.keepers.get(&key)?, end)));
        known.last()
    }
}
