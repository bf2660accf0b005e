//! Typed messages between processes and their encoding.
//!
//! A message is encoded by postcard behind one byte for the version of the
//! protocol and four for the length.

pub mod codec;
pub mod wire;
