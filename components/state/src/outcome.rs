//! Outcome of a request, as reported to the caller.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether an endpoint has run a request, as far as the router knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint answered the request.
    Answered,
    /// No byte of the request can have reached an endpoint.
    NotRun,
    /// The request may or may not have run.
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
