//! Index of the engines that have cached each prompt part.

use super::table::Index;
use crate::engine::{Change, KeyHasher};
use crate::prelude::*;
use crate::prompt::MAX_PARTS;
use std::collections::HashMap;
use std::hash::BuildHasherDefault;

/// Most holders of a part that are kept as a list; more are kept as a bit set. Most parts
/// belong to a single request, and bit sets for all of them would take as much memory as
/// everything else.
const LIST_MAX: usize = 8;

/// The engines that have cached one part.
#[derive(Clone, Debug)]
pub(super) enum Holders {
    /// Indices in ascending order.
    List(SmallVec<[Index; 4]>),
    /// A bit for each index, and the number of bits that are set.
    Bits(Bitset, usize),
}

impl Holders {
    fn new() -> Self {
        Holders::List(SmallVec::new())
    }

    /// Number of holders.
    pub(super) fn count(&self) -> usize {
        match self {
            Holders::List(list) => list.len(),
            Holders::Bits(_, count) => *count,
        }
    }

    /// Whether an engine is one of the holders.
    pub(super) fn contains(&self, index: Index) -> bool {
        match self {
            Holders::List(list) => list.contains(&index),
            Holders::Bits(bits, _) => bits.contains(index),
        }
    }

    /// The holders in descending order of their indices.
    pub(super) fn descending(&self) -> impl Iterator<Item = Index> + '_ {
        let (list, words): (&[Index], &[u64]) = match self {
            Holders::List(list) => (list, &[]),
            Holders::Bits(bits, _) => (&[], &bits.0),
        };
        let words = words.iter().enumerate().rev();
        let indices = words.flat_map(|(n, word)| {
            let mut left = *word;
            std::iter::from_fn(move || {
                let bit = left.checked_ilog2()?;
                left ^= 1 << bit;
                // CAST: an index has 32 bits.
                Some(Index(n as u32 * 64 + bit))
            })
        });
        list.iter().rev().copied().chain(indices)
    }

    fn insert(&mut self, index: Index) {
        match self {
            Holders::List(list) => {
                let Err(at) = list.binary_search(&index) else {
                    return;
                };
                list.insert(at, index);
                if list.len() > LIST_MAX {
                    *self = Holders::bits_of(list);
                }
            }
            Holders::Bits(bits, count) => *count += usize::from(bits.insert(index)),
        }
    }

    fn bits_of(list: &[Index]) -> Self {
        let mut bits = Bitset::default();
        let count = list.iter().filter(|p| bits.insert(**p)).count();
        Holders::Bits(bits, count)
    }

    /// Removes an engine; true if no holder is left.
    fn remove(&mut self, index: Index) -> bool {
        if !self.contains(index) {
            return false;
        }
        match self {
            Holders::List(list) => {
                list.retain(|p| *p != index);
                list.is_empty()
            }
            Holders::Bits(bits, count) => {
                bits.remove(index);
                *count -= 1;
                // Half of the bound, so that a part close to it is not converted back and
                // forth.
                if *count <= LIST_MAX / 2 {
                    let mut list: SmallVec<[Index; 4]> = self.descending().collect();
                    list.reverse();
                    *self = Holders::List(list);
                }
                false
            }
        }
    }
}

/// A set of endpoint indices.
#[derive(Clone, Debug, Default)]
pub(super) struct Bitset(SmallVec<[u64; 4]>);

impl Bitset {
    /// Adds an index; false if the set contained it.
    pub(super) fn insert(&mut self, index: Index) -> bool {
        let at = index.as_usize() / 64;
        if self.0.len() <= at {
            self.0.resize(at + 1, 0);
        }
        let bit = 1 << (index.as_usize() % 64);
        let was_set = self.0[at] & bit != 0;
        self.0[at] |= bit;
        !was_set
    }

    fn remove(&mut self, index: Index) {
        if let Some(word) = self.0.get_mut(index.as_usize() / 64) {
            *word &= !(1 << (index.as_usize() % 64));
        }
    }

    /// Whether the set contains an index.
    pub(super) fn contains(&self, index: Index) -> bool {
        let word = self.0.get(index.as_usize() / 64);
        word.is_some_and(|word| word >> (index.as_usize() % 64) & 1 == 1)
    }
}

/// The holders of each cached part, by the key of the part.
#[derive(Clone, Debug, Default)]
pub(super) struct Parts {
    // INVARIANT: no part without holders, or the map would grow without bound.
    all: HashMap<u32, Holders, BuildHasherDefault<KeyHasher>>,
}

impl Parts {
    /// Applies changes of an engine's cache.
    pub(super) fn apply(&mut self, index: Index, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Cached(key) => {
                    let holders = self.all.entry(*key).or_insert_with(Holders::new);
                    holders.insert(index);
                }
                Change::Evicted(key) => {
                    let holders = self.all.get_mut(key);
                    if holders.is_some_and(|h| h.remove(index)) {
                        self.all.remove(key);
                    }
                }
            }
        }
    }

    /// The holders of the parts at the start of a prompt.
    pub(super) fn coverage(&self, prompt: &Prompt) -> Coverage<'_> {
        let mut coverage = Coverage {
            prefixes: SmallVec::new(),
            tokens: prompt.tokens(),
        };
        let mut before = 0;
        for part in prompt.parts() {
            let Some(holders) = self.all.get(&part.key) else {
                break;
            };
            before += u64::from(part.tokens);
            coverage.prefixes.push((holders, before));
        }
        coverage
    }
}

/// Holders of the parts at the start of a prompt, up to the first part that no engine has
/// cached.
#[derive(Clone, Debug)]
pub(super) struct Coverage<'a> {
    /// Holders of each part, and the tokens of the prompt up to the end of the part.
    prefixes: SmallVec<[(&'a Holders, u64); MAX_PARTS]>,
    /// Tokens of the whole prompt.
    tokens: u64,
}

impl<'a> Coverage<'a> {
    /// Number of parts at the start of the prompt that have holders.
    pub(super) fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Number of parts at the start of the prompt that an engine has cached.
    pub(super) fn depth(&self, index: Index) -> usize {
        let cached = self.prefixes.iter().take_while(|(h, _)| h.contains(index));
        cached.count()
    }

    /// Tokens of the prompt that an engine has not cached, by the number of parts at the
    /// start of the prompt that it has cached.
    pub(super) fn uncached_tokens(&self) -> SmallVec<[u64; MAX_PARTS + 1]> {
        let cached = self.prefixes.iter().map(|(_, tokens)| *tokens);
        let cached = std::iter::once(0).chain(cached);
        cached.map(|cached| self.tokens - cached).collect()
    }

    /// Holders of each part with the tokens up to its end, the last part first.
    pub(super) fn iter_rev(&self) -> impl Iterator<Item = (&'a Holders, u64)> + use<'_, 'a> {
        self.prefixes.iter().rev().copied()
    }
}
