//! Asks sent to schedulers of other regions for requests that wait long in their own.

use super::local::hash;
use super::queue::{aim_ms, ask_report, Request, Stage};
use super::{Dispatcher, Effects, Handle};
use crate::messages::Seq;
use crate::prelude::*;
use state::view::Shard;

/// Time after which a waiting request is also asked for in another region, in milliseconds.
/// If it were asked for at once, slots of the other region would constantly be granted and
/// returned unused.
pub const REMOTE_AFTER_MS: u64 = 250;

/// Largest number of unanswered asks in other regions.
pub const REMOTE_ASKS_MAX: usize = 64;

impl Dispatcher {
    /// Sends asks to other regions for requests that have waited for a while.
    pub(super) fn ask_other_regions(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        let remote = self
            .requests
            .values()
            .filter(|r| r.remote.is_some())
            .count();
        let waits = |r: &Request| {
            let asked = matches!(r.stage, Stage::Asked(_));
            // Asks in other regions name no version.
            asked
                && r.remote.is_none()
                && r.software.is_none()
                && now.since(r.queued_at) >= REMOTE_AFTER_MS
        };
        let overdue: Vec<Handle> = (self.requests.iter())
            .filter(|(_, r)| waits(r))
            .map(|(handle, _)| handle)
            .take(REMOTE_ASKS_MAX.saturating_sub(remote))
            .collect();
        for handle in overdue {
            self.ask_other_region(now, view, handle, effects);
        }
    }

    /// Sends an ask for a request to a scheduler of another region, chosen by a hash of the time.
    pub(super) fn ask_other_region(
        &mut self,
        now: Millis,
        view: &View,
        handle: Handle,
        effects: &mut Effects,
    ) {
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let (arrival, avoid) = (request.arrival, request.avoid);
        let objective = request.objective;
        let own = request.shard.clone();
        let others: SmallVec<[Shard; 7]> = (view.assignments.iter())
            .map(|assignment| &assignment.shard)
            .filter(|s| s.service == own.service && s.region != own.region)
            .filter(|s| arrival.regions.contains(&s.region))
            .filter(|s| self.selector.available(s) > 0)
            .cloned()
            .collect();
        if others.is_empty() {
            return;
        }
        // CAST: the remainder is below the length, which is a `usize`.
        let shard = others[(hash(now.0, EndpointId(0)) % others.len() as u64) as usize].clone();
        self.ensure_session(now, view, &shard);
        let Some(session) = self.sessions.get_mut(&shard).filter(|s| s.is_up) else {
            return;
        };
        let seq = Seq(session.next_seq);
        session.next_seq += 1;
        session.asked.insert(seq, handle);
        if let Some(request) = self.requests.get_mut(handle) {
            request.remote = Some((shard.clone(), seq));
        }
        let ask = Ask {
            seq,
            class: arrival.class,
            weight: arrival.weight,
            rate: 0,
            concurrency: 0,
            hint: arrival.hint,
            priority: arrival.priority,
            aim_ms: aim_ms(now, &arrival),
            prompt: arrival.prompt,
            avoid,
            remote: true,
        };
        self.report(now, &shard, ask_report(ask, objective), effects);
    }

    /// Withdraws a request's ask in another region, if there is one.
    pub(super) fn withdraw_remote(&mut self, now: Millis, handle: Handle, effects: &mut Effects) {
        let request = self.requests.get_mut(handle);
        let Some((shard, seq)) = request.and_then(|r| r.remote.take()) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&shard) {
            session.asked.remove(&seq);
        }
        self.report(now, &shard, Report::Withdraw(seq), effects);
    }

    /// Moves a request to the remote shard that granted its ask, and withdraws the ask in its
    /// own region.
    pub(super) fn move_to_remote(
        &mut self,
        now: Millis,
        handle: Handle,
        shard: &Shard,
        effects: &mut Effects,
    ) {
        let Some(request) = self.requests.get_mut(handle) else {
            return;
        };
        request.remote = None;
        let own = std::mem::replace(&mut request.shard, shard.clone());
        if let Stage::Asked(seq) = request.stage {
            if let Some(session) = self.sessions.get_mut(&own) {
                session.asked.remove(&seq);
            }
            self.report(now, &own, Report::Withdraw(seq), effects);
        }
    }
}
