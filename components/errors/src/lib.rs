//! The error type that all components share.
//!
//! An error names the operation that failed and, where another process or
//! endpoint took part, the peer. Its text says how to fix the cause.

use snafu::Snafu;

/// A failed operation, with the file or peer involved.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A line of a settings or configuration file is invalid.
    #[snafu(display("{file}: [{section}] {key} = {value:?}: {allowed}"))]
    Setting {
        /// File that holds the line.
        file: String,
        /// Section of the line.
        section: String,
        /// Key of the line.
        key: String,
        /// Value that was rejected.
        value: String,
        /// Which values, keys or sections are allowed.
        allowed: String,
    },
    /// A file could not be read or written.
    #[snafu(display("{step}: {path}: {source}"))]
    File {
        /// Operation that failed, such as "read settings".
        step: &'static str,
        /// File, directory or address that the operation used.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Stored bytes differ from what was written.
    #[snafu(display("{step}: {path}: {reason}"))]
    Corrupt {
        /// Operation that failed, such as "read settings".
        step: &'static str,
        /// File whose contents are corrupt.
        path: String,
        /// What is wrong and how to recover.
        reason: String,
    },
    /// A peer was unreachable or violated the protocol.
    #[snafu(display("{step} with {peer}: {reason}"))]
    Peer {
        /// Operation that failed, such as "read settings".
        step: &'static str,
        /// Process, endpoint or address at the other end.
        peer: String,
        /// Why the operation failed.
        reason: String,
    },
    /// The peer understood the request and refused it.
    #[snafu(display("{step} refused by {peer}: {reason}"))]
    Refused {
        /// Operation that failed, such as "read settings".
        step: &'static str,
        /// Process that refused the request.
        peer: String,
        /// Reason that the peer gave.
        reason: String,
    },
    /// Keys or certificates are missing or invalid.
    #[snafu(display("{step}: {reason}"))]
    Key {
        /// Operation that failed, such as "read settings".
        step: &'static str,
        /// What went wrong and how to fix it.
        reason: String,
    },
}

/// Result whose error is [`enum@Error`] by default.
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
