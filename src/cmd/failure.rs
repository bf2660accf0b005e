//! How a command fails, and the exit code of each way.

use errors::Error;
use std::fmt;

/// A failed command.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Something went wrong.
    Failed(Error),
    /// The input is bad; nothing was changed.
    Input(String),
    /// The fleet refused.
    Refused(String),
}

impl Failure {
    /// Exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Failure::Failed(Error::Setting { .. }) | Failure::Input(_) => 2,
            Failure::Failed(_) => 1,
            Failure::Refused(_) => 3,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Failed(error) => write!(f, "{error}"),
            Failure::Input(reason) | Failure::Refused(reason) => f.write_str(reason),
        }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Failure::Failed(error)
    }
}
