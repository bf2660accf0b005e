//! Builds entries of the platform's list for tests.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use state::config::Endpoint;
use state::id::{Name, Software};
use state::listing::Entry;

/// An endpoint with four slots.
pub(crate) fn entry(name: &str, started_ms: Option<u64>, leaving: bool) -> Entry {
    let text = |text: &str| Name::try_from(text).unwrap();
    Entry {
        leaving,
        started_ms,
        cold_ms: 0,
        endpoint: Endpoint {
            name: text(name),
            service: text("s"),
            address: "127.0.0.1:9000".parse().unwrap(),
            data_centre: text("dc"),
            region: text("main"),
            slots: 4,
            prefetch: 0,
            software: Software::UNSTATED,
        },
    }
}
