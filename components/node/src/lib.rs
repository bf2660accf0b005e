//! The actors of one process: router, scheduler, control, operators' side.
//!
//! The reactor owns the router's and the schedulers' decisions and runs as one
//! task; the control role runs on a thread of its own, because it waits for
//! the disk. They and the links talk by flume channels.

mod batch;
mod control;
mod dissemination;
mod evacuation;
mod fetch;
mod frontend;
mod http;
mod input;
mod interface;
mod inventory;
mod journal;
mod listing;
mod metric;
mod monitor;
mod operators;
mod platform;
mod poll;
mod process;
mod quarantine;
mod query;
mod reactor;
mod readiness;
mod releases;
mod retry_after;
mod schedulers;
mod shared;

pub use coordination::rule::shadowed;
pub use interface::{
    region, Contents, Inbound, Interface, Inventory, Outbound, Page, Regions, Signals,
};
pub use journal::{Dump, Journal};
pub use process::{Addresses, Process, Reloader};
pub use retry_after::retry_after;
