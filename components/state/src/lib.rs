//! Pure data of the fleet: identifiers, configuration, replicated records,
//! outcomes and time-line events. Nothing here does input or output.

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
pub mod route;
pub mod secret;
pub mod store;
pub mod suspect;
pub mod view;
