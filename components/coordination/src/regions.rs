//! The regions in which a request may be served.

use crate::prelude::*;
use crate::prompt::mix;

/// Regions that are told apart in one set; of more, the first ones count.
const REGIONS: usize = 8;

/// The regions in which a request may be served: all of them, or some.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    /// Marks of the regions; `None` for all regions.
    some: Option<Marks>,
}

/// Marks of regions, 0 for none.
type Marks = [u64; REGIONS];

impl Regions {
    /// All regions if `names` is empty, else those that it names.
    pub fn named(names: &[Name]) -> Self {
        if names.is_empty() {
            return Regions::default();
        }
        let mut marks = Marks::default();
        for (mark, name) in marks.iter_mut().zip(names) {
            *mark = mark_of(name);
        }
        Regions { some: Some(marks) }
    }

    /// The regions that are in both sets.
    pub fn intersection(self, other: Regions) -> Self {
        let (Some(mut marks), Some(others)) = (self.some, other.some) else {
            return Regions {
                some: self.some.or(other.some),
            };
        };
        for mark in &mut marks {
            if !others.contains(mark) {
                *mark = 0;
            }
        }
        Regions { some: Some(marks) }
    }

    /// Whether a region is in the set.
    pub fn contains(&self, region: &Name) -> bool {
        let mark = mark_of(region);
        self.some.is_none_or(|marks| marks.contains(&mark))
    }

    /// Whether no region is.
    pub fn is_empty(&self) -> bool {
        self.some == Some(Marks::default())
    }
}

/// A number that stands for a region, never 0.
fn mark_of(region: &Name) -> u64 {
    let bytes = region.as_str().bytes();
    bytes
        .fold(1, |mark, byte| mix(mark ^ u64::from(byte)))
        .max(1)
}
