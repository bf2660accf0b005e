//! Endpoints that want no requests of this router, and requests that could go nowhere else.

use super::queue::Stage;
use super::{endpoints, Dispatcher, Effect, Effects, Handle};
use crate::backoff::Backoff;
use crate::dispatcher::local::LOCAL;
use crate::messages::Seq;
use crate::prelude::*;
use state::view::Shard;

/// Callers that are told different times to come back, of those that are refused at once.
const SPREAD: u32 = 16;
/// Time between two of these times, in milliseconds.
const SPREAD_MS: u32 = 20;
/// Time for which a scheduler is told to pass over an endpoint that gets no new work, in
/// milliseconds: it will have heard of that by itself by then, or is told again.
const AWAY_MS: u32 = 500;

impl Dispatcher {
    /// Takes what an endpoint has said of itself in its answer to a request; true if it says
    /// more than was known.
    pub fn backoff(&mut self, now: Millis, handle: Handle, backoff: Backoff) -> (bool, Effects) {
        let mut effects = Effects::new();
        let is_news = self.backoffs.record(now, &backoff);
        let shard = self.requests.get(handle).map(|r| r.shard.clone());
        if let Some(shard) = shard.filter(|_| is_news) {
            self.tell(now, &shard, Report::Backoff(backoff), &mut effects);
        }
        (is_news, effects)
    }

    /// Gives back a grant of an endpoint that is away, and queues its request again; false
    /// if the endpoint is not away.
    ///
    /// The grant was on its way when the endpoint said so, or its scheduler has not heard.
    pub(super) fn decline(
        &mut self,
        now: Millis,
        shard: &Shard,
        grant: &Grant,
        effects: &mut Effects,
    ) -> bool {
        let known = self.backoffs.of(now, grant.endpoint);
        let Some(backoff) = known.or_else(|| self.away(grant.endpoint)) else {
            return false;
        };
        let session = self.sessions.get_mut(shard);
        let handle = session.and_then(|s| s.asked.remove(&grant.seq));
        // A scheduler that has lost sight of the endpoint meanwhile has forgotten it.
        self.tell(now, shard, Report::Backoff(backoff), effects);
        self.tell(now, shard, Report::Return(grant.seq), effects);
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
        let queue = self.classes.entry((service, class)).or_default();
        queue.asked = queue.asked.saturating_sub(1);
        queue.waiting.push_front(handle);
        self.announce(now, service, class, effects);
        true
    }

    /// What a scheduler is told of an endpoint that gets no new work: it grants it still,
    /// since it has not heard.
    fn away(&self, endpoint: EndpointId) -> Option<Backoff> {
        self.away.contains(&endpoint).then_some(Backoff {
            endpoint,
            ms: AWAY_MS,
            is_leaving: false,
        })
    }

    /// Until when every endpoint of a shard is away, if they all are.
    pub(super) fn unavailable_until(&self, now: Millis, shard: &Shard) -> Option<Millis> {
        self.unavailable
            .get(shard)
            .copied()
            .filter(|until| *until > now)
    }

    /// Finds the shards of which every endpoint is away, and refuses requests that would be
    /// late by the time one returns.
    pub(super) fn follow_backoffs(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        self.unavailable.clear();
        if self.backoffs.is_empty() {
            return;
        }
        self.backoffs.expire(now);
        for shard in self.sessions.keys() {
            if self.backoffs.len() < self.spread.open(shard) {
                continue;
            }
            let open = endpoints(view, shard).filter(|(_, _, _, leaving)| !leaving);
            let until = |id| self.backoffs.until(now, id).unwrap_or(now);
            let first = open.map(|(id, ..)| until(id)).min();
            if let Some(first) = first.filter(|first| *first > now) {
                self.unavailable.insert(shard.clone(), first);
            }
        }
        if self.unavailable.is_empty() {
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
            // Callers that are refused together must not come back together.
            let spread_ms = n % SPREAD * SPREAD_MS;
            let refusal = Refusal {
                epoch: LOCAL,
                seq: Seq(0),
                wait_ms,
                after_ms: wait_ms.saturating_add(spread_ms),
            };
            effects.push(Effect::Refuse(handle, refusal));
        }
    }
}
