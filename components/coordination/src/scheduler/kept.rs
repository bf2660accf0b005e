//! What schedulers of one service tell each other of the parts that their engines keep.
//!
//! The load: prompts share parts of thousands of tokens, and a region's engines are divided
//! among schedulers by data centre. An engine copies a part from another one in a third of
//! the time that it takes to read it, but its scheduler knows its own engines alone.

use super::{Scheduler, Session};
use crate::messages::{Cached, Seq};
use std::collections::HashMap;

/// Parts that one telling has at most.
const TOLD: usize = 256;
/// Parts that are told again to a new scheduler.
const KNOWN: usize = 8192;

/// Parts that engines here have read, and that others may copy.
#[derive(Clone, Debug, Default)]
pub(super) struct Telling {
    /// An engine that has read each part.
    known: HashMap<u32, Cached>,
    fresh: Vec<Cached>,
}

impl Scheduler {
    /// Notes that an engine has read the parts of a prompt that others share.
    pub(super) fn note_read(&mut self, session: Session, seq: Seq) {
        if !self.slots.can_copy() {
            return;
        }
        let running = self.running.get(&(session, seq));
        let Some((endpoint, reading)) = running.and_then(|r| Some((r.endpoint, r.reading?))) else {
            return;
        };
        for part in reading.shared_parts() {
            let known = self.telling.known.get(&part.key);
            if known.is_some_and(|k| self.slots.has_read(k.endpoint, part.key)) {
                continue;
            }
            let kept = Cached { endpoint, part };
            if self.telling.known.len() >= KNOWN {
                self.telling.known.clear();
            }
            self.telling.known.insert(part.key, kept);
            self.telling.fresh.push(kept);
        }
    }

    /// Parts that engines here have come to keep since the last telling.
    pub fn take_new_cached(&mut self) -> Vec<Cached> {
        let rest = self.telling.fresh.len().min(TOLD);
        self.telling.fresh.drain(..rest).collect()
    }

    /// All parts that were told, for a scheduler that has just begun.
    pub fn all_cached(&self) -> Vec<Cached> {
        self.telling.known.values().copied().collect()
    }

    /// Takes what engines of another scheduler keep.
    pub fn merge_cached(&mut self, kept: &[Cached]) {
        for kept in kept {
            self.slots.learn_foreign(kept.part.key, kept.endpoint);
        }
    }
}
