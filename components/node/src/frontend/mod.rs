//! The callers' side of a router.

mod admit;
mod claim;
mod delivery;
mod flow;
mod guests;
mod listen;
mod note;
mod plan;
mod pool;
mod refusal;
mod relay;
mod serve;
mod upstream;

pub(crate) use listen::{Context, Frontend};
