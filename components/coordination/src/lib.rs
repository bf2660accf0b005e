//! Decision logic of routers, schedulers and control VMs, without I/O.
//!
//! Each component is a state machine: it takes an input and the current time and returns
//! effects. Nothing here opens a socket, starts a thread, reads a clock or draws a random
//! number, so tests can drive every decision.

pub mod admission;
pub mod assignment;
pub mod attribution;
pub mod backoff;
pub mod budget;
pub mod candidacy;
pub mod cell;
pub mod consensus;
pub mod dispatcher;
pub mod ending;
pub mod engine;
pub mod failback;
pub mod handover;
pub mod head;
pub mod health;
pub mod history;
pub mod idle;
pub mod ledger;
pub mod limit;
pub mod listing;
pub mod messages;
pub mod occupancy;
pub mod origin;
pub mod overload;
pub mod pause;
pub mod platform;
pub mod prelude;
pub mod prompt;
pub mod recent;
pub mod regions;
pub mod reliability;
pub mod resume;
pub mod retry;
pub mod rule;
pub mod scheduler;
pub mod shutdown;
pub mod slot;
pub mod tree;
pub mod trial;
pub mod verdict;
pub mod warmup;
