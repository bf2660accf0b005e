//! The HTTP server of a router: it accepts callers' requests and relays them to endpoints.

mod access_log;
mod admit;
mod claim;
mod connections;
mod delivery;
mod forward;
mod listen;
mod peek;
mod plan;
mod pool;
mod refusal;
mod relay;
mod resume;
mod serve;
mod timing;
mod turn_away;
mod unframed;
mod upstream;

pub(crate) use listen::{Context, Frontend};
