//! A fake endpoint for tests and local fleets: it batches requests, streams tokens,
//! reports its load with a delay, counts calls, and injects faults on request. It does
//! not simulate a real engine.
//!
//! Headers of a request select its behaviour: `stand-in-tokens` (number of tokens),
//! `stand-in-pace` (milliseconds between tokens), `stand-in-prefill` (milliseconds between
//! a comment at the start of the stream and its first token), `stand-in-fault` (see
//! [`fault::Fault`]), `stand-in-torn-bytes` (bytes of the event in which a stream breaks),
//! `stand-in-framing` (`close` or `http-1.0`: neither a length nor chunks),
//! `stand-in-line-end` (`cr` or `crlf`: how lines of a stream end), `stand-in-id` (a label whose
//! calls are counted).

pub mod count;
pub mod fault;
pub mod server;
mod unframed;

pub use server::{Kind, Server, Settings, CRASH_EXIT_CODE};
