//! Data types shared by all processes of the fleet, and the replicated state machine:
//! identifiers, configuration, records, the view, outcomes and timeline events. This crate does
//! no I/O.

pub mod catalog;
pub mod clock;
pub mod config;
pub mod delta;
pub mod evacuation;
pub mod event;
pub mod fingerprint;
pub mod id;
pub mod line;
pub mod listing;
pub mod outcome;
pub mod prelude;
pub mod record;
pub mod reroute;
pub mod route;
pub mod secret;
pub mod store;
pub mod suspect;
pub mod view;
