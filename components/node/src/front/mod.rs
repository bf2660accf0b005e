//! The callers' side of a router.

mod claim;
mod listen;
mod refusal;
mod relay;
mod serve;
mod upstream;

pub(crate) use listen::{Front, Parts};
