//! Prompt parts that engines of other schedulers have prefilled and can be copied from.

use crate::engine::KeyHasher;
use crate::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;

/// Most parts that are remembered: the shared parts in the memory of about a thousand engines.
const PARTS_MAX: usize = 1 << 15;

/// Engines of other schedulers by the parts that they have prefilled.
#[derive(Clone, Debug, Default)]
pub(super) struct Sources {
    /// The engine that was reported last for each part.
    engines: HashMap<u32, EndpointId, BuildHasherDefault<KeyHasher>>,
    /// Keys in the order in which they were first reported.
    // INVARIANT: holds each key of `engines` once.
    order: VecDeque<u32>,
}

impl Sources {
    /// Records that an engine has prefilled a part.
    pub(super) fn insert(&mut self, key: u32, endpoint: EndpointId) {
        if self.engines.insert(key, endpoint).is_some() {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > PARTS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.engines.remove(&oldest);
            }
        }
    }

    /// Removes the engines for which `keep` is false.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(EndpointId) -> bool,
    {
        let before = self.engines.len();
        self.engines.retain(|_, endpoint| keep(*endpoint));
        if self.engines.len() < before {
            self.order.retain(|key| self.engines.contains_key(key));
        }
    }

    /// The engine that has prefilled the longest start of a prompt, and its length in tokens.
    pub(super) fn longest(&self, prompt: &Prompt) -> Option<(EndpointId, u64)> {
        if self.engines.is_empty() {
            return None;
        }
        let ends = prompt.parts().scan(0, |end, part| {
            *end += u64::from(part.tokens);
            Some((part.key, *end))
        });
        let known = ends.filter_map(|(key, end)| Some((*self.engines.get(&key)?, end)));
        known.last()
    }
}
