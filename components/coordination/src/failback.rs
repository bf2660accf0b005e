//! Treats the endpoints of a data centre as cold right after its evacuation has ended.
//!
//! Endpoints that were idle during an evacuation may have turned cold. The list of
//! endpoints reports that with a delay; until then the whole load of the data centre would
//! return to cold endpoints at once.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Largest assumed difference between the wall clocks of two VMs, in microseconds.
const CLOCK_SKEW_MAX_MICROS: u64 = 10_000_000;

/// The latest evacuation of each data centre that this process has seen.
#[derive(Clone, Debug, Default)]
pub struct Failbacks {
    /// Version of a data centre's latest evacuation order, and when this process saw that
    /// order end the evacuation.
    seen: BTreeMap<Name, (Version, Option<Millis>)>,
}

impl Failbacks {
    /// Marks endpoints in the view as cold after their data centre's evacuation has ended,
    /// for the time that their service's endpoints take to warm up.
    ///
    /// `wall` is the wall clock in microseconds. A process that has just started does not
    /// know when an evacuation ended, and compares the recorded wall time with its own.
    pub fn mark_cold(&mut self, now: Millis, wall: u64, view: &mut View) {
        for (data_centre, evacuation) in &view.evacuations {
            let version = evacuation.version;
            if self
                .seen
                .get(data_centre)
                .is_some_and(|(of, _)| *of == version)
            {
                continue;
            }
            let is_recent = wall.saturating_sub(evacuation.at) < CLOCK_SKEW_MAX_MICROS;
            let has_ended = !evacuation.is_in_force && is_recent;
            let ended_at = has_ended.then_some(now);
            self.seen.insert(data_centre.clone(), (version, ended_at));
        }
        let config = &view.config;
        for (id, endpoint) in &config.endpoints {
            let seen = self.seen.get(&endpoint.data_centre);
            let Some(ended_at) = seen.and_then(|(_, at)| *at) else {
                continue;
            };
            let service = config
                .services
                .values()
                .find(|s| s.name == endpoint.service);
            if let Some(cold) = service.and_then(|s| s.cold) {
                let warm_at = ended_at.after(cold.for_ms);
                let known = view.warm_at.entry(*id).or_insert(warm_at);
                *known = warm_at.max(*known);
            }
        }
    }
}
