//! Engines by the time in which they would answer a usual request.
//!
//! That time changes as the clock runs. Engines thus stand in three orders, within each
//! of which time changes it for all alike: those that read, those that could begin at
//! once, and those whose answers are late. An engine goes from one to the next at a known
//! moment, or by an event of its own.

use super::place::{USUAL_TOKENS, WORK_WEIGHT};
use super::table::Place;
use crate::engine::{Phase, Speed};
use crate::prelude::*;
use std::collections::BTreeSet;

/// What decides about an engine's place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Standing {
    pub(super) phase: Phase,
    pub(super) speed: Speed,
    /// Time from the end of its reading to the first event, in microseconds.
    pub(super) tail_us: u64,
    /// What its other requests cost one that joins them, in microseconds.
    pub(super) load_us: u64,
    /// What the risk of its failure costs a usual request, in microseconds.
    pub(super) risk_us: u64,
}

/// An engine at one moment: the least that any request finds there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Row {
    pub(super) place: Place,
    pub(super) speed: Speed,
    /// Time to the first event of a request without anything to read, in microseconds.
    pub(super) answer_us: u64,
    /// What its other requests cost one that joins them, in microseconds.
    pub(super) load_us: u64,
}

/// An engine's entry: in which of the orders, and where there.
type Entry = (Phase, i64);

/// Engines of the order that are known without a search, until one of them changes.
const FRONT: usize = 128;

/// All engines that take work, the one that would answer first before the others.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    still: BTreeSet<(i64, Place)>,
    reading: BTreeSet<(i64, Place)>,
    late: BTreeSet<(i64, Place)>,
    /// Engines that read, by the end of it in microseconds.
    ends: BTreeSet<(u64, Place)>,
    /// When engines change without an event of their own.
    due: BTreeSet<(Millis, Place)>,
    known: Vec<Known>,
    /// Engines that have changed and may stand in the wrong place.
    changed: Vec<Place>,
    /// The first engines of all orders together.
    front: Vec<Row>,
    /// Moment for which these are right.
    front_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    standing: Option<Standing>,
    due: Option<Millis>,
    is_changed: bool,
}

impl Order {
    /// Notes that something about an engine has changed.
    pub(super) fn touch(&mut self, place: Place) {
        if self.known.len() <= place.index() {
            self.known.resize(place.index() + 1, Known::default());
        }
        let known = &mut self.known[place.index()];
        if !std::mem::replace(&mut known.is_changed, true) {
            self.changed.push(place);
        }
    }

    /// An engine that is to be put in its place anew, if there is one.
    pub(super) fn next_stale(&mut self, now: Millis) -> Option<Place> {
        if let Some(place) = self.changed.pop() {
            return Some(place);
        }
        let (at, place) = self.due.first().copied()?;
        (at <= now).then_some(place)
    }

    /// Puts an engine in its place, until `due` at the latest; `None` if it takes
    /// no work.
    pub(super) fn put(&mut self, place: Place, standing: Option<Standing>, due: Option<Millis>) {
        let Some(known) = self.known.get_mut(place.index()) else {
            return;
        };
        let old = std::mem::replace(
            known,
            Known {
                standing,
                due,
                is_changed: false,
            },
        );
        if old.due != due {
            if let Some(at) = old.due {
                self.due.remove(&(at, place));
            }
            if let Some(at) = due {
                self.due.insert((at, place));
            }
        }
        if old.standing != standing {
            self.front_at = None;
            if let Some(old) = old.standing {
                self.remove(place, old.entry());
            }
            if let Some(new) = standing {
                self.insert(place, new.entry());
            }
        }
    }

    fn insert(&mut self, place: Place, (phase, key): Entry) {
        match phase {
            Phase::Still => self.still.insert((key, place)),
            Phase::Late(_) => self.late.insert((key, place)),
            Phase::Reading(ends_us) => {
                self.ends.insert((ends_us, place));
                self.reading.insert((key, place))
            }
        };
    }

    fn remove(&mut self, place: Place, (phase, key): Entry) {
        match phase {
            Phase::Still => self.still.remove(&(key, place)),
            Phase::Late(_) => self.late.remove(&(key, place)),
            Phase::Reading(ends_us) => {
                self.ends.remove(&(ends_us, place));
                self.reading.remove(&(key, place))
            }
        };
    }

    /// Part of the engines that have a prompt to read, in hundredths.
    pub(super) fn busy(&self) -> u8 {
        let busy = self.reading.len() + self.late.len();
        let percent = (busy * 100).checked_div(busy + self.still.len());
        u8::try_from(percent.unwrap_or(0)).unwrap_or(100)
    }

    /// What is known of an engine; `None` if it takes no work.
    pub(super) fn row(&self, now: Millis, place: Place) -> Option<Row> {
        let standing = self.known.get(place.index())?.standing.as_ref()?;
        Some(Row {
            place,
            speed: standing.speed,
            answer_us: standing.ahead_us(now) + standing.tail_us,
            load_us: standing.load_us,
        })
    }

    /// Whether an engine would begin to read within a time, in milliseconds.
    pub(super) fn begins_within(&self, now: Millis, ahead_ms: u64) -> bool {
        let until_us = now.after(ahead_ms).0 * 1000;
        // How late an engine is counts as what it has yet to read.
        !self.still.is_empty()
            || !self.late.is_empty()
            || (self.ends.first()).is_some_and(|(ends_us, _)| *ends_us <= until_us)
    }

    /// The first engines, the one that would answer first before the others, as of
    /// the last [`Order::merge`].
    pub(super) fn front(&self) -> &[Row] {
        &self.front
    }

    /// Makes [`Order::front`] right for a moment. Many asks are looked at in one.
    pub(super) fn merge(&mut self, now: Millis) {
        if self.front_at == Some(now) {
            return;
        }
        let mut front = std::mem::take(&mut self.front);
        front.clear();
        let places = self.iter(now).take(FRONT);
        front.extend(places.filter_map(|place| self.row(now, place)));
        self.front = front;
        self.front_at = Some(now);
    }

    /// Engines, the one that would answer first before the others.
    fn iter(&self, now: Millis) -> impl Iterator<Item = Place> + '_ {
        // CAST: milliseconds since a start are far below 2^63 microseconds.
        let now_us = now.0 as i64 * 1000;
        let mut still = self.still.iter().copied().peekable();
        let reading = self.reading.iter();
        let mut reading = reading.map(move |(k, p)| (k - now_us, *p)).peekable();
        let late = self.late.iter();
        let mut late = late.map(move |(k, p)| (k + now_us, *p)).peekable();
        std::iter::from_fn(move || {
            let key = |entry: Option<&(i64, Place)>| entry.map_or(i64::MAX, |(k, _)| *k);
            let a = key(still.peek());
            let b = key(reading.peek());
            let c = key(late.peek());
            let first = if a <= b && a <= c {
                still.next()
            } else if b <= c {
                reading.next()
            } else {
                late.next()
            };
            first.map(|(_, place)| place)
        })
    }
}

impl Standing {
    /// Time that a usual request takes of it, in microseconds.
    fn usual_us(&self) -> u64 {
        self.speed.prefill_us(USUAL_TOKENS) * (1 + WORK_WEIGHT)
    }

    /// Time until what it was sent has been read, in microseconds.
    fn ahead_us(&self, now: Millis) -> u64 {
        let now_us = now.0 * 1000;
        match self.phase {
            Phase::Still => 0,
            Phase::Reading(ends_us) => ends_us.saturating_sub(now_us),
            Phase::Late(since_us) => now_us.saturating_sub(since_us),
        }
    }

    /// Where it stands: the time to an answer at moment 0 of the order that it is in.
    fn entry(self) -> Entry {
        // CAST: times since a start are far below 2^63 microseconds.
        let rest_us = (self.usual_us() + self.tail_us + self.load_us + self.risk_us) as i64;
        let key = match self.phase {
            Phase::Still => rest_us,
            Phase::Reading(ends_us) => rest_us + ends_us as i64,
            Phase::Late(since_us) => rest_us - since_us as i64,
        };
        (self.phase, key)
    }
}
