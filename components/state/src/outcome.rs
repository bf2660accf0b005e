//! What a caller is told about its request.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request was run, as far as the router is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint answered it.
    Answered,
    /// No byte of it can have reached an endpoint.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

impl Outcome {
    /// The value of the `Cowslipford-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
