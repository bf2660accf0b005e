//! The callers' side of a router.

mod admit;
mod claim;
mod listen;
mod plan;
mod refusal;
mod relay;
mod serve;
mod upstream;

pub(crate) use listen::{Front, Parts};
