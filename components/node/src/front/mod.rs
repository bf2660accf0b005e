//! The callers' side of a router.

mod admit;
mod attempt;
mod claim;
mod flow;
mod listen;
mod note;
mod plan;
mod pool;
mod refusal;
mod relay;
mod serve;
mod upstream;

pub(crate) use listen::{Front, Parts};
