//! Sets of regions in which a request may be served.

use crate::prelude::*;
use crate::prompt::mix;

/// Largest number of regions in one set; regions beyond the first eight are ignored.
const REGIONS_MAX: usize = 8;

/// The regions in which a request may be served: all regions, or some.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    /// Hashes of the regions' names; `None` for all regions.
    some: Option<Hashes>,
}

/// Hashes of regions' names, 0 for an unused place.
type Hashes = [u64; REGIONS_MAX];

impl Regions {
    /// The regions with these names, or all regions if `names` is empty.
    pub fn named(names: &[Name]) -> Self {
        if names.is_empty() {
            return Regions::default();
        }
        let mut hashes = Hashes::default();
        for (hash, name) in hashes.iter_mut().zip(names) {
            *hash = hash_of(name);
        }
        Regions { some: Some(hashes) }
    }

    /// The regions that are in both sets.
    pub fn intersection(self, other: Regions) -> Self {
        let (Some(mut hashes), Some(others)) = (self.some, other.some) else {
            return Regions {
                some: self.some.or(other.some),
            };
        };
        for hash in &mut hashes {
            if !others.contains(hash) {
                *hash = 0;
            }
        }
        Regions { some: Some(hashes) }
    }

    /// Whether a region is in the set.
    pub fn contains(&self, region: &Name) -> bool {
        let hash = hash_of(region);
        self.some.is_none_or(|hashes| hashes.contains(&hash))
    }

    /// Whether the set contains no region.
    pub fn is_empty(&self) -> bool {
        self.some == Some(Hashes::default())
    }
}

/// Hash of a region's name, never 0.
fn hash_of(region: &Name) -> u64 {
    let bytes = region.as_str().bytes();
    bytes
        .fold(1, |hash, byte| mix(hash ^ u64::from(byte)))
        .max(1)
}
