//! Failures of a command and their exit codes.

use errors::Error;
use std::fmt;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// An operation failed, such as a file access or a call to the fleet.
    Failed(Error),
    /// The input is invalid; nothing was changed.
    Input(String),
    /// The fleet refused the command, for example a change based on an outdated version.
    Refused(String),
}

impl Failure {
    /// Exit code of the process: 1 failure, 2 invalid input, 3 refused. An invalid settings or
    /// configuration file counts as invalid input.
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
