//! Pauses between events that this router has observed, for the schedulers of their endpoints.

use super::queue::Stage;
use super::{Dispatcher, Effects, Handle};
use crate::messages::{Pause, Seq, Speed};
use crate::pause::Observed;
use crate::prelude::*;
use state::view::Shard;

/// Time between two reports of pauses, in milliseconds. A slow phase of an engine lasts about half
/// a second; more reports would cost schedulers more than asks do.
const REPORT_INTERVAL_MS: u64 = 100;
/// The same if a pause is a large part of the bound, in milliseconds: it may be the first sign of a
/// slow phase, which should be known soon. In the simulation, 5 to 18% fewer streams are late than
/// with [`REPORT_INTERVAL_MS`] alone.
const URGENT_INTERVAL_MS: u64 = 20;
/// Divisor of the bound with which a pause is such a part.
const URGENT_DIVISOR: u32 = 2;
/// Most endpoints of a shard in one report: a router seldom has streams of more at once. The
/// pauses of others are dropped.
const ENDPOINTS_MAX: usize = 128;

impl Dispatcher {
    /// Records whether the schedulers of a VM support objectives of streams, before
    /// [`Dispatcher::link_up`].
    pub fn set_stream_support(&mut self, vm: &Name, is_supported: bool) {
        if is_supported {
            self.stream_vms.insert(vm.clone());
        } else {
            self.stream_vms.remove(vm);
        }
    }

    /// Reports the bounds of the streams that the hello of a new session lists as held: [`Held`]
    /// contains none.
    pub(super) fn report_bounds(&mut self, now: Millis, shard: &Shard, effects: &mut Effects) {
        let requests = self.requests.values().filter(|r| r.shard == *shard);
        let bounds = requests.filter_map(|request| match request.stage {
            Stage::Held { seq, .. } => {
                let max_gap_ms = request.objective?.max_gap_ms;
                (max_gap_ms > 0).then_some((seq, max_gap_ms))
            }
            _ => None,
        });
        let bounds: Vec<(Seq, u32)> = bounds.collect();
        if !bounds.is_empty() {
            self.report(now, shard, Report::Bounds(bounds), effects);
        }
    }

    /// Reports the speed that the endpoint of a dispatched request has stated, if the request has a
    /// bound on its pauses.
    pub fn report_speed(
        &mut self,
        now: Millis,
        handle: Handle,
        percent: u16,
        age_ms: u16,
    ) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get(handle) else {
            return effects;
        };
        let has_bound = request.objective.is_some_and(|o| o.max_gap_ms > 0);
        let Stage::Held { endpoint, .. } = request.stage else {
            return effects;
        };
        if has_bound {
            let shard = request.shard.clone();
            let report = Report::Speed(Speed {
                endpoint,
                percent,
                age_ms,
            });
            self.report(now, &shard, report, &mut effects);
        }
        effects
    }

    /// Records pauses of a dispatched request's stream.
    pub fn record_pauses(&mut self, handle: Handle, observed: Observed) {
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let Stage::Held { endpoint, .. } = request.stage else {
            return;
        };
        let max_gap_ms = request.objective.map_or(0, |o| o.max_gap_ms);
        self.has_urgent_pause |= observed.longest_ms >= max_gap_ms / URGENT_DIVISOR;
        if !self.pauses.contains_key(&request.shard) {
            self.pauses.insert(request.shard.clone(), Vec::new());
        }
        let Some(pauses) = self.pauses.get_mut(&request.shard) else {
            return;
        };
        let has_room = pauses.len() < ENDPOINTS_MAX;
        match pauses.iter_mut().find(|pause| pause.endpoint == endpoint) {
            Some(pause) => {
                pause.count = pause.count.saturating_add(observed.count);
                pause.total_ms = pause.total_ms.saturating_add(observed.total_ms);
                pause.longest_ms = pause.longest_ms.max(observed.longest_ms);
            }
            None if has_room => pauses.push(Pause {
                endpoint,
                count: observed.count,
                total_ms: observed.total_ms,
                longest_ms: observed.longest_ms,
            }),
            None => {}
        }
    }

    /// Reports the pauses to the schedulers. Those of shards without a scheduler are dropped: they
    /// would describe the past by the time that there is one.
    pub(super) fn report_pauses(&mut self, now: Millis, effects: &mut Effects) {
        let interval_ms = match self.has_urgent_pause {
            true => URGENT_INTERVAL_MS,
            false => REPORT_INTERVAL_MS,
        };
        if self.pauses.is_empty() || now.since(self.pauses_sent) < interval_ms {
            return;
        }
        self.has_urgent_pause = false;
        self.pauses_sent = now;
        for (shard, pauses) in std::mem::take(&mut self.pauses) {
            let report = Report::Pauses(SmallVec::from_vec(pauses));
            self.report(now, &shard, report, effects);
        }
    }
}
