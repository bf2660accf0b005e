//! Trials of parts of prompts that are released from quarantine.
//!
//! When a quarantine expires, requests with the part may still come by hundreds a second at hundreds
//! of routers. If all routers sent them at once, each could crash an endpoint before the first crash
//! is known. Each router therefore sends single requests, in turns that leave the fleet about one
//! trial each [`SPACING_MS`], until an answer clears the part or a crash brings the quarantine back.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Mean time between two trials of the whole fleet, in milliseconds: the time until the end of one is
/// known to all routers.
pub const SPACING_MS: u64 = 2000;

/// Parts on trial, with the time of this router's next one.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    next: BTreeMap<Fingerprint, Millis>,
}

impl Trials {
    /// Puts a part on trial in a fleet of `routers`. `random` spreads their first trials.
    pub fn begin(&mut self, now: Millis, fingerprint: Fingerprint, routers: u32, random: u64) {
        let round = round_ms(routers);
        self.next.insert(fingerprint, now.after(random % round));
    }

    /// Ends the trial of a part.
    pub fn end(&mut self, fingerprint: &Fingerprint) {
        self.next.remove(fingerprint);
    }

    /// Whether a request with the part may be sent now. If it may, it is this router's trial.
    pub fn take(&mut self, now: Millis, fingerprint: &Fingerprint, routers: u32) -> bool {
        let Some(next) = self.next.get_mut(fingerprint) else {
            return true;
        };
        let is_due = now >= *next;
        if is_due {
            *next = now.after(round_ms(routers));
        }
        is_due
    }

    /// Whether no part is on trial.
    pub fn is_empty(&self) -> bool {
        self.next.is_empty()
    }
}

/// Time in which each router has one trial, in milliseconds.
fn round_ms(routers: u32) -> u64 {
    u64::from(routers.max(1)) * SPACING_MS
}
