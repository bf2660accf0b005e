//! The error type that all components share.
//!
//! An error carries the step at which it arose and, where another process or
//! endpoint took part, the peer. The text says what to do.

use snafu::Snafu;

/// A failure, with the step and the peer at which it arose.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A setting or a configuration line is wrong.
    #[snafu(display("{file}: [{section}] {key} = {value:?}: {allowed}"))]
    Setting {
        /// File that holds the line.
        file: String,
        /// Section of the line.
        section: String,
        /// Key of the line.
        key: String,
        /// Value that was refused.
        value: String,
        /// What is allowed there.
        allowed: String,
    },
    /// A file could not be read or written.
    #[snafu(display("{step}: {path}: {source}"))]
    File {
        /// What was being done.
        step: &'static str,
        /// File or folder concerned.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Stored bytes are not what was written.
    #[snafu(display("{step}: {path}: {reason}"))]
    Corrupt {
        /// What was being done.
        step: &'static str,
        /// File concerned.
        path: String,
        /// What is wrong and what to do.
        reason: String,
    },
    /// A peer could not be reached or broke the protocol.
    #[snafu(display("{step} with {peer}: {reason}"))]
    Peer {
        /// What was being done.
        step: &'static str,
        /// Process, endpoint or address on the other side.
        peer: String,
        /// What went wrong.
        reason: String,
    },
    /// The other side understood the request and refused it.
    #[snafu(display("{step} refused by {peer}: {reason}"))]
    Refused {
        /// What was being done.
        step: &'static str,
        /// Process that refused.
        peer: String,
        /// Its reason.
        reason: String,
    },
    /// Keys or certificates are missing or wrong.
    #[snafu(display("{step}: {reason}"))]
    Key {
        /// What was being done.
        step: &'static str,
        /// What went wrong and what to do.
        reason: String,
    },
}

/// Result with the shared error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Builds a [`Error::File`] for use in `map_err`.
    pub fn file<P>(step: &'static str, path: P) -> impl FnOnce(std::io::Error) -> Self
    where
        P: AsRef<std::path::Path>,
    {
        let path = path.as_ref().display().to_string();
        move |source| Error::File { step, path, source }
    }

    /// Builds a [`Error::Peer`] for use in `map_err`.
    pub fn peer<P, E>(step: &'static str, peer: P) -> impl FnOnce(E) -> Self
    where
        P: ToString,
        E: std::fmt::Display,
    {
        let peer = peer.to_string();
        move |reason| Error::Peer {
            step,
            peer,
            reason: reason.to_string(),
        }
    }

    /// Builds a [`Error::Key`] for use in `map_err`.
    pub fn key<E>(step: &'static str) -> impl FnOnce(E) -> Self
    where
        E: std::fmt::Display,
    {
        move |reason| Error::Key {
            step,
            reason: reason.to_string(),
        }
    }
}
