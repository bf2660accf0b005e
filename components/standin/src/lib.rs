//! A small endpoint stand-in: it batches, streams tokens, reports its load
//! late, counts calls, and misbehaves on demand. It is a fake, no simulator.
//!
//! A request chooses its behaviour by headers: `stand-in-tokens` (count),
//! `stand-in-pace` (milliseconds between tokens), `stand-in-fault` (see
//! [`fault::Fault`]), `stand-in-id` (a label that is counted).

pub mod count;
pub mod fault;
pub mod server;

pub use server::{Kind, Server, Settings, CRASHED};
