//! Typed messages between processes and their encoding.
//!
//! On the wire, a header of one byte for the protocol version and four bytes for the length
//! precedes each message, which is encoded by postcard.

pub mod codec;
pub mod wire;
