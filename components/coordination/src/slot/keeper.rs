//! Which engines keep which parts of prompts.

use super::table::Place;
use crate::engine::{Change, Mixed};
use crate::prelude::*;
use crate::prompt::MAX_PARTS;
use std::collections::HashMap;
use std::hash::BuildHasherDefault;

/// Engines that keep a part up to which they are listed; more are marked by a bit each.
/// Most parts belong to one request alone, and a bit for each engine would take as much
/// memory as all else.
const FEW: usize = 8;

/// The engines that keep one part.
#[derive(Clone, Debug)]
pub(super) enum Keepers {
    /// In the order of their places.
    Few(SmallVec<[Place; 4]>),
    /// A bit for each place, and how many are set.
    Many(Marks, usize),
}

impl Keepers {
    fn new() -> Self {
        Keepers::Few(SmallVec::new())
    }

    /// How many there are.
    pub(super) fn count(&self) -> usize {
        match self {
            Keepers::Few(places) => places.len(),
            Keepers::Many(_, count) => *count,
        }
    }

    /// Whether an engine is among them.
    pub(super) fn contains(&self, place: Place) -> bool {
        match self {
            Keepers::Few(places) => places.contains(&place),
            Keepers::Many(marks, _) => marks.contains(place),
        }
    }

    /// The engines from the last place on down.
    pub(super) fn backwards(&self) -> impl Iterator<Item = Place> + '_ {
        let (few, bits): (&[Place], &[u64]) = match self {
            Keepers::Few(places) => (places, &[]),
            Keepers::Many(marks, _) => (&[], &marks.0),
        };
        let words = bits.iter().enumerate().rev();
        let many = words.flat_map(|(n, word)| {
            let mut left = *word;
            std::iter::from_fn(move || {
                let bit = left.checked_ilog2()?;
                left ^= 1 << bit;
                // CAST: a place has 32 bits.
                Some(Place(n as u32 * 64 + bit))
            })
        });
        few.iter().rev().copied().chain(many)
    }

    fn insert(&mut self, place: Place) {
        match self {
            Keepers::Few(places) => {
                let Err(at) = places.binary_search(&place) else {
                    return;
                };
                places.insert(at, place);
                if places.len() > FEW {
                    *self = Keepers::many(places);
                }
            }
            Keepers::Many(marks, count) => *count += usize::from(marks.insert(place)),
        }
    }

    fn many(places: &[Place]) -> Self {
        let mut marks = Marks::default();
        let count = places.iter().filter(|p| marks.insert(**p)).count();
        Keepers::Many(marks, count)
    }

    /// Removes an engine; true if it was the last one.
    fn remove(&mut self, place: Place) -> bool {
        if !self.contains(place) {
            return false;
        }
        match self {
            Keepers::Few(places) => {
                places.retain(|p| *p != place);
                places.is_empty()
            }
            Keepers::Many(marks, count) => {
                marks.remove(place);
                *count -= 1;
                // Half, so that a part at the limit does not go to and fro.
                if *count <= FEW / 2 {
                    let mut places: SmallVec<[Place; 4]> = self.backwards().collect();
                    places.reverse();
                    *self = Keepers::Few(places);
                }
                false
            }
        }
    }
}

/// A set of places, for short use.
#[derive(Clone, Debug, Default)]
pub(super) struct Marks(SmallVec<[u64; 4]>);

impl Marks {
    /// Adds a place; false if it was there.
    pub(super) fn insert(&mut self, place: Place) -> bool {
        let at = place.index() / 64;
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        let bit = 1 << (place.index() % 64);
        let was = self.0[at] & bit != 0;
        self.0[at] |= bit;
        !was
    }

    fn remove(&mut self, place: Place) {
        if let Some(word) = self.0.get_mut(place.index() / 64) {
            *word &= !(1 << (place.index() % 64));
        }
    }

    /// Whether a place is there.
    pub(super) fn contains(&self, place: Place) -> bool {
        let word = self.0.get(place.index() / 64);
        word.is_some_and(|word| word >> (place.index() % 64) & 1 == 1)
    }
}

/// The engines that keep each part, by its key.
#[derive(Clone, Debug, Default)]
pub(super) struct Parts {
    // INVARIANT: no part without keepers, or the map would grow for ever.
    all: HashMap<u32, Keepers, BuildHasherDefault<Mixed>>,
}

impl Parts {
    /// Takes what an engine keeps now and what no more.
    pub(super) fn note(&mut self, place: Place, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Kept(key) => {
                    let keepers = self.all.entry(*key).or_insert_with(Keepers::new);
                    keepers.insert(place);
                }
                Change::Lost(key) => {
                    let keepers = self.all.get_mut(key);
                    if keepers.is_some_and(|k| k.remove(place)) {
                        self.all.remove(key);
                    }
                }
            }
        }
    }

    /// Who keeps what of a prompt.
    pub(super) fn of(&self, prompt: &Prompt) -> Shares<'_> {
        let mut shares = Shares {
            steps: SmallVec::new(),
            tokens: prompt.tokens(),
        };
        let mut before = 0;
        for part in prompt.parts() {
            let Some(keepers) = self.all.get(&part.key) else {
                break;
            };
            before += u64::from(part.tokens);
            shares.steps.push((keepers, before));
        }
        shares
    }
}

/// Who keeps the first part of a prompt, the first two, and so on.
#[derive(Clone, Debug)]
pub(super) struct Shares<'a> {
    /// Keepers of each part, and the tokens up to its end.
    steps: SmallVec<[(&'a Keepers, u64); MAX_PARTS]>,
    /// Tokens of the prompt.
    tokens: u64,
}

impl<'a> Shares<'a> {
    /// How many of the prompt's first parts any engine keeps.
    pub(super) fn len(&self) -> usize {
        self.steps.len()
    }

    /// How many of the prompt's first parts an engine keeps.
    pub(super) fn depth(&self, place: Place) -> usize {
        let kept = self.steps.iter().take_while(|(k, _)| k.contains(place));
        kept.count()
    }

    /// Tokens that an engine would have to read which keeps no part, the first part,
    /// the first two, and so on.
    pub(super) fn missing(&self) -> SmallVec<[u64; MAX_PARTS + 1]> {
        let kept = self.steps.iter().map(|(_, tokens)| *tokens);
        let kept = std::iter::once(0).chain(kept);
        kept.map(|kept| self.tokens - kept).collect()
    }

    /// Keepers of each part with the tokens up to its end, the last part first.
    pub(super) fn backwards(&self) -> impl Iterator<Item = (&'a Keepers, u64)> + use<'_, 'a> {
        self.steps.iter().rev().copied()
    }
}
