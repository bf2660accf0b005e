//! Evacuation of data centres: by an operator's order, their endpoints get no requests.

use crate::id::{Name, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An operator's order for one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Order {
    /// The data centre.
    pub data_centre: Name,
    /// Whether the evacuation begins; otherwise it ends.
    pub is_evacuated: bool,
    /// Version of the view when the order was received. An order that was delayed until after a
    /// later one is refused by it.
    pub base: Version,
}

/// Last evacuation of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Evacuation {
    /// Whether the data centre is evacuated.
    pub is_in_force: bool,
    /// Version of the view that began or ended the evacuation.
    pub version: Version,
    /// Leader's wall clock at the order, in microseconds since 1970.
    pub at: u64,
}

/// Last evacuation of each data centre that was ever evacuated.
pub type Evacuations = BTreeMap<Name, Evacuation>;
