//! Asks in other regions, beside those at home, for requests that wait long.

use super::local::mix;
use super::queue::{aim_ms, Request, Stage};
use super::{Dispatcher, Effects, Handle};
use crate::messages::Seq;
use crate::prelude::*;
use state::view::Shard;

/// Wait after which a request is asked for in another region too, in
/// milliseconds. Asked for at once, slots of another region would be granted
/// and given back all the time.
pub const REMOTE_AFTER_MS: u64 = 250;

/// Requests asked for in other regions at once.
pub const REMOTE_ASKS_MAX: usize = 64;

impl Dispatcher {
    /// Asks other regions for requests that have waited here for a while.
    pub(super) fn ask_remote(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        let remote = self
            .requests
            .values()
            .filter(|r| r.remote.is_some())
            .count();
        let waits = |r: &Request| {
            let asked = matches!(r.stage, Stage::Asked(_));
            asked && r.remote.is_none() && now.since(r.since) >= REMOTE_AFTER_MS
        };
        let long: Vec<Handle> = (self.requests.iter())
            .filter(|(_, r)| waits(r))
            .map(|(handle, _)| handle)
            .take(REMOTE_ASKS_MAX.saturating_sub(remote))
            .collect();
        for handle in long {
            self.ask_guest(now, view, handle, effects);
        }
    }

    pub(super) fn ask_guest(
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
        let home = request.shard.clone();
        let others: SmallVec<[Shard; 7]> = (view.assignments.iter())
            .map(|assignment| &assignment.shard)
            .filter(|s| s.service == home.service && s.region != home.region)
            .filter(|s| arrival.regions.contains(&s.region))
            .filter(|s| self.spread.open(s) > 0)
            .cloned()
            .collect();
        if others.is_empty() {
            return;
        }
        // CAST: the remainder is below the length, which is a `usize`.
        let shard = others[(mix(now.0, EndpointId(0)) % others.len() as u64) as usize].clone();
        self.ensure(now, view, &shard);
        let Some(session) = self.sessions.get_mut(&shard).filter(|s| s.up) else {
            return;
        };
        let seq = Seq(session.next);
        session.next += 1;
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
        self.tell(now, &shard, Report::Ask(ask), effects);
    }

    /// Takes back the ask in another region, if there is one.
    pub(super) fn leave_remote(&mut self, now: Millis, handle: Handle, effects: &mut Effects) {
        let request = self.requests.get_mut(handle);
        let Some((shard, seq)) = request.and_then(|r| r.remote.take()) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&shard) {
            session.asked.remove(&seq);
        }
        self.tell(now, &shard, Report::Withdraw(seq), effects);
    }

    /// Makes the region that granted a remote ask the home of its request.
    pub(super) fn move_remote(
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
        let home = std::mem::replace(&mut request.shard, shard.clone());
        if let Stage::Asked(seq) = request.stage {
            if let Some(session) = self.sessions.get_mut(&home) {
                session.asked.remove(&seq);
            }
            self.tell(now, &home, Report::Withdraw(seq), effects);
        }
    }
}
