//! The actors of one process: router, schedulers, control role and operators' server.
//!
//! The reactor makes the decisions of the router and the schedulers, as a single task. The control
//! role runs on a thread of its own because it blocks on the disk. These two and the links
//! communicate through flume channels.

mod batch;
mod client;
mod control;
mod dissemination;
mod evacuation;
mod fetch;
mod frontend;
mod handover;
mod http;
mod input;
mod interface;
mod inventory;
mod journal;
mod listing;
mod metric;
mod monitor;
mod operators;
mod origin_log;
mod paced;
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
mod socket;
mod work;

pub use coordination::rule::shadowed;
pub use fetch::exchange;
pub use interface::{
    region, Contents, Inbound, Interface, Inventory, Key, Load, Outbound, Page, Regions, Signals,
    Timeout,
};
pub use journal::{Dump, Journal};
pub use process::{Addresses, Process, Reloader};
pub use retry_after::retry_after;
