//! Exchange of the cached prompt parts between the schedulers of one service.
//!
//! Prompts share parts of thousands of tokens, and the engines of a region are divided among
//! schedulers by data centre. An engine copies a part from another one in a third of the time
//! of its prefill, but each scheduler knows only the caches of its own engines.

use super::{Scheduler, Session};
use crate::messages::{Cached, Seq};
use std::collections::HashMap;

/// Most parts in one message to the other schedulers.
const MESSAGE_PARTS_MAX: usize = 256;
/// Most parts that are remembered for a scheduler that starts later.
const KNOWN_PARTS_MAX: usize = 8192;

/// Parts that engines of this scheduler have prefilled, for the other schedulers.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    /// An engine that has prefilled each part, by the key of the part.
    known: HashMap<u32, Cached>,
    /// Parts that have not been announced yet.
    pending: Vec<Cached>,
}

impl Scheduler {
    /// Records that an engine has prefilled the shared parts of a prompt.
    pub(super) fn record_prefilled(&mut self, session: Session, seq: Seq) {
        if !self.slots.can_copy() {
            return;
        }
        let running = self.running.get(&(session, seq));
        let Some((endpoint, prefill)) = running.and_then(|r| Some((r.endpoint, r.prefill?))) else {
            return;
        };
        for part in prefill.shared_parts() {
            let known = self.announcements.known.get(&part.key);
            if known.is_some_and(|k| self.slots.has_prefilled(k.endpoint, part.key)) {
                continue;
            }
            let cached = Cached { endpoint, part };
            if self.announcements.known.len() >= KNOWN_PARTS_MAX {
                self.announcements.known.clear();
            }
            self.announcements.known.insert(part.key, cached);
            self.announcements.pending.push(cached);
        }
    }

    /// Takes the parts for the next message to the other schedulers: those that engines here
    /// have prefilled since the last one.
    pub fn take_new_cached(&mut self) -> Vec<Cached> {
        let count = self.announcements.pending.len().min(MESSAGE_PARTS_MAX);
        self.announcements.pending.drain(..count).collect()
    }

    /// All parts that are remembered, for a scheduler that has just started.
    pub fn all_cached(&self) -> Vec<Cached> {
        self.announcements.known.values().copied().collect()
    }

    /// Merges the parts that engines of another scheduler have prefilled.
    pub fn merge_cached(&mut self, cached: &[Cached]) {
        for cached in cached {
            self.slots.add_foreign(cached.part.key, cached.endpoint);
        }
    }
}
