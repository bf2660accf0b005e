//! Data centres whose endpoints get no requests, by an operator's order.

use crate::id::{Name, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An operator's order for one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Order {
    /// The data centre.
    pub data_centre: Name,
    /// Whether it is to be evacuated; else its evacuation ends.
    pub is_evacuated: bool,
    /// Newest version when the order came in. It fences the order: one that was delayed on
    /// its way must not undo a later one.
    pub base: Version,
}

/// What was last ordered for a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Evacuation {
    /// Whether it is in force.
    pub is_in_force: bool,
    /// Version that the order brought.
    pub version: Version,
    /// Leader's wall clock at the order, in microseconds since 1970.
    pub at: u64,
}

/// What was last ordered for each data centre that an order has named.
pub type Evacuations = BTreeMap<Name, Evacuation>;
