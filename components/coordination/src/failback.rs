//! Endpoints of a data centre that is in use again after an evacuation.
//!
//! They have been idle, and may have turned cold. The list of endpoints lags: trusted alone,
//! all of the data centre's work would come back before it tells.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Time by which wall clocks of VMs may differ, in microseconds.
const CLOCKS_MICROS: u64 = 10_000_000;

/// The ends of evacuations that this process has followed.
#[derive(Clone, Debug, Default)]
pub struct Failbacks {
    /// Version that ended the evacuation of a data centre, and when that was followed here.
    seen: BTreeMap<Name, (Version, Option<Millis>)>,
}

impl Failbacks {
    /// Adds to a view that endpoints which are back from an evacuation count as cold, for as
    /// long as one of their service stays so.
    ///
    /// A process that has just started, and does not know when the evacuation ended, goes by
    /// the wall clock, `wall` in microseconds.
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
            let is_recent = wall.saturating_sub(evacuation.at) < CLOCKS_MICROS;
            let is_return = !evacuation.is_in_force && is_recent;
            let at = is_return.then_some(now);
            self.seen.insert(data_centre.clone(), (version, at));
        }
        let config = &view.config;
        for (id, endpoint) in &config.endpoints {
            let seen = self.seen.get(&endpoint.data_centre);
            let Some(back) = seen.and_then(|(_, at)| *at) else {
                continue;
            };
            let service = config
                .services
                .values()
                .find(|s| s.name == endpoint.service);
            if let Some(cold) = service.and_then(|s| s.cold) {
                let warm_at = back.after(cold.for_ms);
                let known = view.warm_at.entry(*id).or_insert(warm_at);
                *known = warm_at.max(*known);
            }
        }
    }
}
