//! Handles endpoints that have asked for a backoff, and requests that no other endpoint can
//! serve.

use super::queue::Stage;
use super::{endpoints, Dispatcher, Effect, Effects, Handle};
use crate::backoff::Backoff;
use crate::dispatcher::local::LOCAL_EPOCH;
use crate::messages::Seq;
use crate::prelude::*;
use state::view::Shard;

/// Number of different retry times for callers that are refused together.
const RETRY_STEPS: u32 = 16;
/// Time between two of these retry times, in milliseconds.
const RETRY_STEP_MS: u32 = 20;
/// Backoff reported to a scheduler for an endpoint that gets no new work, in milliseconds.
/// By then the scheduler has learned of this itself, or the backoff is reported again.
const CLOSED_BACKOFF_MS: u32 = 500;

impl Dispatcher {
    /// Records the backoff that an endpoint has asked for in its answer to a request, and
    /// reports the backoff to the scheduler. The flag is true if this changes what was known.
    pub fn backoff(&mut self, now: Millis, handle: Handle, backoff: Backoff) -> (bool, Effects) {
        let mut effects = Effects::new();
        let has_changed = self.backoffs.record(now, &backoff);
        let shard = self.requests.get(handle).map(|r| r.shard.clone());
        if let Some(shard) = shard.filter(|_| has_changed) {
            self.report(now, &shard, Report::Backoff(backoff), &mut effects);
        }
        (has_changed, effects)
    }

    /// Declines a grant for an endpoint that must not be sent requests now: reports the grant
    /// as unused and queues its request again. False if the endpoint may be used.
    ///
    /// Such a grant crossed with the report of the backoff, or its scheduler does not know of
    /// the backoff.
    pub(super) fn decline_grant(
        &mut self,
        now: Millis,
        shard: &Shard,
        grant: &Grant,
        effects: &mut Effects,
    ) -> bool {
        let known = self.backoffs.get(now, grant.endpoint);
        let Some(backoff) = known.or_else(|| self.closed_backoff(grant.endpoint)) else {
            return false;
        };
        let session = self.sessions.get_mut(shard);
        let handle = session.and_then(|s| s.asked.remove(&grant.seq));
        // A scheduler that did not see the endpoint for a while has forgotten the backoff.
        self.report(now, shard, Report::Backoff(backoff), effects);
        self.report(now, shard, Report::Return(grant.seq), effects);
        let Some((handle, request)) = handle.and_then(|h| Some((h, self.requests.get_mut(h)?)))
        else {
            return true;
        };
        if request.shard != *shard {
            request.remote = None;
            return true;
        }
        request.stage = Stage::Waiting;
        let (service, class) = (request.arrival.service, request.arrival.class);
        let queue = self.queues.entry((service, class)).or_default();
        queue.asked = queue.asked.saturating_sub(1);
        queue.waiting.push_front(handle);
        self.send_asks(now, service, class, effects);
        true
    }

    /// Backoff to report for an endpoint that gets no new work, to a scheduler that still
    /// grants the endpoint's slots.
    fn closed_backoff(&self, endpoint: EndpointId) -> Option<Backoff> {
        self.closed_endpoints
            .contains(&endpoint)
            .then_some(Backoff {
                endpoint,
                ms: CLOSED_BACKOFF_MS,
                is_leaving: false,
            })
    }

    /// Earliest end of the backoffs of a shard's endpoints, if all of them have one.
    pub(super) fn unavailable_until(&self, now: Millis, shard: &Shard) -> Option<Millis> {
        self.unavailable_shards
            .get(shard)
            .copied()
            .filter(|until| *until > now)
    }

    /// Finds the shards whose endpoints have all asked for a backoff, and refuses requests
    /// that would be late by the time the first backoff ends.
    pub(super) fn apply_backoffs(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        self.unavailable_shards.clear();
        if self.backoffs.is_empty() {
            return;
        }
        self.backoffs.expire(now);
        for shard in self.sessions.keys() {
            if self.backoffs.len() < self.selector.available(shard) {
                continue;
            }
            let open = endpoints(view, shard).filter(|(_, _, _, leaving)| !leaving);
            let until = |id| self.backoffs.until(now, id).unwrap_or(now);
            let first = open.map(|(id, ..)| until(id)).min();
            if let Some(first) = first.filter(|first| *first > now) {
                self.unavailable_shards.insert(shard.clone(), first);
            }
        }
        if self.unavailable_shards.is_empty() {
            return;
        }
        let waits = |r: &super::Request| !matches!(r.stage, Stage::Held { .. });
        let late: Vec<(Handle, u64)> = (self.requests.iter())
            .filter(|(_, r)| waits(r) && r.remote.is_none())
            .filter_map(|(handle, r)| {
                let until = self.unavailable_until(now, &r.shard)?;
                (until > r.arrival.aim).then(|| (handle, until.since(now)))
            })
            .collect();
        for (n, (handle, wait_ms)) in (0..).zip(late) {
            self.drop_waiting(now, handle, effects);
            let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
            // Callers that are refused together must not all retry at once.
            let delay_ms = n % RETRY_STEPS * RETRY_STEP_MS;
            let refusal = Refusal {
                epoch: LOCAL_EPOCH,
                seq: Seq(0),
                wait_ms,
                after_ms: wait_ms.saturating_add(delay_ms),
            };
            effects.push(Effect::Refuse(handle, refusal));
        }
    }
}
