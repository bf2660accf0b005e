//! The common types, for `use state::prelude::*`.

pub use crate::clock::{Millis, Stamp};
pub use crate::config::Config;
pub use crate::fingerprint::Fingerprint;
pub use crate::id::{
    CustomerId, EndpointId, Epoch, Name, PartId, RequestId, ServiceId, Software, Version,
};
pub use crate::outcome::Outcome;
pub use crate::view::View;
