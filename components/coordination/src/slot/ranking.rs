//! Engines ranked by the time in which they would answer a typical request.
//!
//! That time changes with the clock. Engines are thus kept in three ordered sets, one for
//! each phase: within a phase the passage of time changes all answer times alike and leaves
//! the order as it is. An engine moves to another set at a known time, or by an event of its
//! own.

use super::select::{TYPICAL_PREFILL_TOKENS, WORK_WEIGHT};
use super::table::Index;
use crate::engine::{Phase, Speed};
use crate::prelude::*;
use std::collections::BTreeSet;

/// The state of an engine that decides about its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct State {
    pub(super) phase: Phase,
    pub(super) speed: Speed,
    /// Time from the end of a prefill to the first event, in microseconds.
    pub(super) post_prefill_us: u64,
    /// Delay of a new request by the other requests of the engine, in microseconds.
    pub(super) load_us: u64,
    /// Cost of the risk of a failure for a typical request, in microseconds.
    pub(super) risk_us: u64,
}

/// Lower bounds of the times of an engine at one moment, for any request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) index: Index,
    pub(super) speed: Speed,
    /// Time to the first event of a request that needs no prefill, in microseconds.
    pub(super) answer_us: u64,
    /// Delay of a new request by the other requests of the engine, in microseconds.
    pub(super) load_us: u64,
}

/// The phase whose set an engine is in, and its key there.
type Rank = (Phase, i64);

/// Engines at the front of the ranking that are cached until an engine changes.
const FRONT_MAX: usize = 128;

/// All engines that accept requests, the one that would answer first before the others.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    idle: BTreeSet<(i64, Index)>,
    prefilling: BTreeSet<(i64, Index)>,
    overdue: BTreeSet<(i64, Index)>,
    /// Engines that prefill, by the end of their backlog in microseconds.
    ends: BTreeSet<(u64, Index)>,
    /// Engines by the time at which they next change without an event of their own.
    due: BTreeSet<(Millis, Index)>,
    /// Entries of the engines by index.
    entries: Vec<Entry>,
    /// Engines that have changed since they were last ranked.
    stale: Vec<Index>,
    /// The first engines of all phases together.
    front: Vec<Candidate>,
    /// Moment for which `front` was computed; `None` if it is out of date.
    front_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// State with which the engine is ranked; `None` if it is not in the ranking.
    state: Option<State>,
    due: Option<Millis>,
    is_stale: bool,
}

impl Ranking {
    /// Marks an engine that has changed, so that it is ranked anew.
    pub(super) fn mark_stale(&mut self, index: Index) {
        if self.entries.len() <= index.as_usize() {
            self.entries.resize(index.as_usize() + 1, Entry::default());
        }
        let entry = &mut self.entries[index.as_usize()];
        if !std::mem::replace(&mut entry.is_stale, true) {
            self.stale.push(index);
        }
    }

    /// An engine that must be ranked anew, if there is one.
    pub(super) fn next_stale(&mut self, now: Millis) -> Option<Index> {
        if let Some(index) = self.stale.pop() {
            return Some(index);
        }
        let (at, index) = self.due.first().copied()?;
        (at <= now).then_some(index)
    }

    /// Ranks an engine by its state, which holds until `due` at the latest; `None` if the
    /// engine accepts no requests.
    pub(super) fn update(&mut self, index: Index, state: Option<State>, due: Option<Millis>) {
        let Some(entry) = self.entries.get_mut(index.as_usize()) else {
            return;
        };
        let old = std::mem::replace(
            entry,
            Entry {
                state,
                due,
                is_stale: false,
            },
        );
        if old.due != due {
            if let Some(at) = old.due {
                self.due.remove(&(at, index));
            }
            if let Some(at) = due {
                self.due.insert((at, index));
            }
        }
        if old.state != state {
            self.front_at = None;
            if let Some(old) = old.state {
                self.remove(index, old.rank());
            }
            if let Some(new) = state {
                self.insert(index, new.rank());
            }
        }
    }

    fn insert(&mut self, index: Index, (phase, key): Rank) {
        match phase {
            Phase::Idle => self.idle.insert((key, index)),
            Phase::Overdue(_) => self.overdue.insert((key, index)),
            Phase::Prefilling(ends_us) => {
                self.ends.insert((ends_us, index));
                self.prefilling.insert((key, index))
            }
        };
    }

    fn remove(&mut self, index: Index, (phase, key): Rank) {
        match phase {
            Phase::Idle => self.idle.remove(&(key, index)),
            Phase::Overdue(_) => self.overdue.remove(&(key, index)),
            Phase::Prefilling(ends_us) => {
                self.ends.remove(&(ends_us, index));
                self.prefilling.remove(&(key, index))
            }
        };
    }

    /// Engines with a prefill backlog, in percent of all engines that accept requests.
    pub(super) fn busy_percent(&self) -> u8 {
        let busy = self.prefilling.len() + self.overdue.len();
        let percent = (busy * 100).checked_div(busy + self.idle.len());
        u8::try_from(percent.unwrap_or(0)).unwrap_or(100)
    }

    /// The times of an engine; `None` if it accepts no requests.
    pub(super) fn candidate(&self, now: Millis, index: Index) -> Option<Candidate> {
        let state = self.entries.get(index.as_usize())?.state.as_ref()?;
        Some(Candidate {
            index,
            speed: state.speed,
            answer_us: state.backlog_us(now) + state.post_prefill_us,
            load_us: state.load_us,
        })
    }

    /// Whether any engine may have a prefill backlog of at most `backlog_ms`.
    pub(super) fn has_backlog_within(&self, now: Millis, backlog_ms: u64) -> bool {
        let until_us = now.after(backlog_ms).0 * 1000;
        // The backlog of an overdue engine is the time by which it is late, which is not
        // compared here.
        !self.idle.is_empty()
            || !self.overdue.is_empty()
            || (self.ends.first()).is_some_and(|(ends_us, _)| *ends_us <= until_us)
    }

    /// The first engines of the ranking, the one that would answer first before the others,
    /// as of the last [`Ranking::refresh_front`].
    pub(super) fn front(&self) -> &[Candidate] {
        &self.front
    }

    /// Computes [`Ranking::front`] for a moment, at which many asks may be considered.
    pub(super) fn refresh_front(&mut self, now: Millis) {
        if self.front_at == Some(now) {
            return;
        }
        let mut front = std::mem::take(&mut self.front);
        front.clear();
        let indices = self.iter(now).take(FRONT_MAX);
        front.extend(indices.filter_map(|index| self.candidate(now, index)));
        self.front = front;
        self.front_at = Some(now);
    }

    /// Engines, the one that would answer first before the others.
    fn iter(&self, now: Millis) -> impl Iterator<Item = Index> + '_ {
        // CAST: milliseconds since a start are far below 2^63 microseconds.
        let now_us = now.0 as i64 * 1000;
        let mut idle = self.idle.iter().copied().peekable();
        let prefilling = self.prefilling.iter();
        let mut prefilling = prefilling.map(move |(k, i)| (k - now_us, *i)).peekable();
        let overdue = self.overdue.iter();
        let mut overdue = overdue.map(move |(k, i)| (k + now_us, *i)).peekable();
        std::iter::from_fn(move || {
            let key = |entry: Option<&(i64, Index)>| entry.map_or(i64::MAX, |(k, _)| *k);
            let a = key(idle.peek());
            let b = key(prefilling.peek());
            let c = key(overdue.peek());
            let first = if a <= b && a <= c {
                idle.next()
            } else if b <= c {
                prefilling.next()
            } else {
                overdue.next()
            };
            first.map(|(_, index)| index)
        })
    }
}

impl State {
    /// Cost of a typical request on the engine, in microseconds.
    fn typical_us(&self) -> u64 {
        self.speed.prefill_us(TYPICAL_PREFILL_TOKENS) * (1 + WORK_WEIGHT)
    }

    /// Time until the engine has prefilled what was sent to it, in microseconds.
    fn backlog_us(&self, now: Millis) -> u64 {
        let now_us = now.0 * 1000;
        match self.phase {
            Phase::Idle => 0,
            Phase::Prefilling(ends_us) => ends_us.saturating_sub(now_us),
            Phase::Overdue(since_us) => now_us.saturating_sub(since_us),
        }
    }

    /// Phase and key of the engine: the key is the time to an answer, moved to time 0 in the
    /// way in which it changes during the phase.
    fn rank(self) -> Rank {
        // CAST: times since a start are far below 2^63 microseconds.
        let rest_us =
            (self.typical_us() + self.post_prefill_us + self.load_us + self.risk_us) as i64;
        let key = match self.phase {
            Phase::Idle => rest_us,
            Phase::Prefilling(ends_us) => rest_us + ends_us as i64,
            Phase::Overdue(since_us) => rest_us - since_us as i64,
        };
        (self.phase, key)
    }
}
