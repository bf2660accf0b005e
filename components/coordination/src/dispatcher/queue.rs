//! Queues of waiting requests, and their way from arrival to dispatch.

use super::local::LOCAL;
use super::session::Session;
use super::{Arrival, Dispatcher, Effect, Effects, Handle};
use super::{UNASKED_PART, UNASKED_RETURN_MS};
use crate::messages::{Placement, Seq};
use crate::prelude::*;
use state::view::Shard;
use std::collections::VecDeque;

/// Asks of one class that may be out at once; the rest wait for their turn, so
/// that a flood on one router costs its scheduler no memory.
pub const ASK_WINDOW: u32 = 32;

/// Waiting requests of a class among which one is sought whose scheduler can be asked.
const LOOK: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Waiting,
    Asked(Seq),
    Held { seq: Seq, endpoint: EndpointId },
}

#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) shard: Shard,
    /// Whether another shard has refused it.
    pub(super) is_moved: bool,
    pub(super) avoid: Option<EndpointId>,
    pub(super) stage: Stage,
    pub(super) since: Millis,
    /// When its scheduler was asked for it last.
    pub(super) asked_at: Millis,
    /// The ask in another region that runs beside the one in its own.
    pub(super) remote: Option<(Shard, Seq)>,
    pub(super) cost: u32,
    pub(super) told: u32,
    /// How it was placed, once it is held.
    pub(super) placement: Placement,
}

impl Request {
    /// Time since it was queued, in milliseconds.
    pub(super) fn waited(&self, now: Millis) -> u64 {
        now.since(self.since)
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    pub(super) waiting: VecDeque<Handle>,
    /// Requests that wait, asked or not.
    pub(super) count: u32,
    pub(super) asked: u32,
}

/// Time that is left until an answer is late, in milliseconds.
pub(super) fn aim_ms(now: Millis, arrival: &Arrival) -> u32 {
    u32::try_from(arrival.aim.since(now)).unwrap_or(u32::MAX)
}

impl Dispatcher {
    pub(super) fn wait(&mut self, handle: Handle) {
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let key = (request.arrival.service, request.arrival.class);
        self.waiting += 1;
        self.bytes += request.arrival.bytes;
        let queue = self.classes.entry(key).or_default();
        queue.waiting.push_back(handle);
        queue.count += 1;
    }

    /// Counts a request out of its queue.
    pub(super) fn unwait(&mut self, arrival: &Arrival, asked: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(arrival.bytes);
        if let Some(queue) = self.classes.get_mut(&(arrival.service, arrival.class)) {
            queue.count = queue.count.saturating_sub(1);
            if asked {
                queue.asked = queue.asked.saturating_sub(1);
            }
        }
    }

    pub(super) fn drop_waiting(&mut self, now: Millis, handle: Handle, effects: &mut Effects) {
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let arrival = request.arrival;
        let shard = request.shard.clone();
        let stage = request.stage;
        if !matches!(stage, Stage::Held { .. }) {
            self.leave_remote(now, handle, effects);
        }
        match stage {
            Stage::Held { .. } => return,
            Stage::Waiting => {
                let key = (arrival.service, arrival.class);
                if let Some(queue) = self.classes.get_mut(&key) {
                    queue.waiting.retain(|t| *t != handle);
                }
                self.unwait(&arrival, false);
            }
            Stage::Asked(seq) => {
                if let Some(session) = self.sessions.get_mut(&shard) {
                    session.asked.remove(&seq);
                }
                self.tell(now, &shard, Report::Withdraw(seq), effects);
                self.unwait(&arrival, true);
            }
        }
        self.requests.remove(handle);
        self.announce(now, arrival.service, arrival.class, effects);
    }

    /// Whether a request has waited to be asked for longer than a part of its aim, while
    /// there was a scheduler to ask.
    ///
    /// One that was sent before is not counted, nor one whose aim has passed: the scheduler
    /// decides what is still worth it.
    pub(super) fn waits_in_vain(&self, now: Millis, request: &Request, part: u64) -> bool {
        let up = self.sessions.get(&request.shard).filter(|s| s.up);
        let Some(session) = up.filter(|_| request.stage == Stage::Waiting) else {
            return false;
        };
        let since = request.since.max(session.up_since);
        let aim = request.arrival.aim.since(request.since);
        request.avoid.is_none() && aim > 0 && now.since(since) >= aim / part
    }

    /// Refuses requests that have waited too long to be asked for.
    ///
    /// Kept, they would be asked for when they can no longer be in time, and their callers
    /// would hold their connections for nothing. Without a scheduler all of them wait for
    /// the next one.
    pub(super) fn refuse_unasked(&mut self, now: Millis, effects: &mut Effects) {
        let late: Vec<(Handle, u64)> = (self.requests.iter())
            .filter(|(_, r)| self.waits_in_vain(now, r, UNASKED_PART))
            .map(|(handle, r)| (handle, r.waited(now)))
            .collect();
        for (handle, waited) in late {
            self.drop_waiting(now, handle, effects);
            let refusal = Refusal {
                epoch: LOCAL,
                seq: Seq(0),
                wait_ms: u32::try_from(waited).unwrap_or(u32::MAX),
                after_ms: UNASKED_RETURN_MS,
            };
            effects.push(Effect::Refuse(handle, refusal));
        }
    }

    /// Sends asks for waiting requests of a class, up to the window.
    pub(super) fn announce(
        &mut self,
        now: Millis,
        service: ServiceId,
        class: Class,
        effects: &mut Effects,
    ) {
        loop {
            let Some(queue) = self.classes.get_mut(&(service, class)) else {
                return;
            };
            if queue.asked >= ASK_WINDOW {
                return;
            }
            let can_ask = |handle: &Handle| {
                let request = self.requests.get(*handle);
                let session = request.map(|r| self.sessions.get(&r.shard));
                session.is_none_or(|s| s.is_some_and(Session::can_ask))
            };
            // Those of a shard that has lost its scheduler do not hold up the others.
            let mut next = queue.waiting.iter().take(LOOK);
            let Some(at) = next.position(can_ask) else {
                return;
            };
            let Some(handle) = queue.waiting.remove(at) else {
                return;
            };
            let Some(request) = self.requests.get_mut(handle) else {
                continue;
            };
            let Some(session) = self.sessions.get_mut(&request.shard) else {
                return;
            };
            queue.asked += 1;
            let seq = Seq(session.next);
            session.next += 1;
            session.asked.insert(seq, handle);
            request.stage = Stage::Asked(seq);
            request.asked_at = now;
            let arrival = request.arrival;
            let ask = Ask {
                seq,
                class,
                weight: arrival.weight,
                rate: arrival.rate,
                concurrency: arrival.concurrency,
                hint: arrival.hint,
                priority: arrival.priority,
                aim_ms: aim_ms(now, &arrival),
                prompt: arrival.prompt,
                avoid: request.avoid,
                remote: false,
            };
            let shard = request.shard.clone();
            self.tell(now, &shard, Report::Ask(ask), effects);
        }
    }

    pub(super) fn announce_all(&mut self, now: Millis, shard: &Shard, effects: &mut Effects) {
        let classes: Vec<(ServiceId, Class)> = (self.classes.keys())
            .filter(|(service, _)| *service == shard.service)
            .copied()
            .collect();
        for (service, class) in classes {
            self.announce(now, service, class, effects);
        }
    }

    pub(super) fn use_grant(
        &mut self,
        now: Millis,
        shard: &Shard,
        grant: Grant,
        effects: &mut Effects,
    ) {
        if self.decline(now, shard, &grant, effects) {
            return;
        }
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(handle) = session.asked.remove(&grant.seq) else {
            self.tell(now, shard, Report::Return(grant.seq), effects);
            return;
        };
        let remote = |r: &Request| r.shard != *shard;
        if self.requests.get(handle).is_some_and(remote) {
            self.move_remote(now, handle, shard, effects);
        } else {
            self.leave_remote(now, handle, effects);
        }
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(request) = self.requests.get_mut(handle) else {
            return;
        };
        if grant.epoch != LOCAL {
            session.hear();
            let customer = request.arrival.class.customer;
            let memory = session.known.entry(customer).or_default();
            memory.level = memory.level.max(grant.level);
            session.floor = session.floor.max(grant.floor);
            let wait_ms = request.waited(now) + u64::from(grant.forecast.ahead_ms);
            session.note_wait(now, customer, wait_ms);
        }
        request.stage = Stage::Held {
            seq: grant.seq,
            endpoint: grant.endpoint,
        };
        request.told = request.arrival.hint;
        request.placement = Placement {
            epoch: grant.epoch,
            copy_from: grant.copy_from,
            forecast: grant.forecast,
            unasked_ms: u32::try_from(request.asked_at.since(request.since)).unwrap_or(u32::MAX),
        };
        let arrival = request.arrival;
        session.remember_sent(grant.endpoint, &arrival.prompt);
        self.unwait(&arrival, true);
        effects.push(Effect::Dispatch(handle, grant.endpoint));
        self.announce(now, arrival.service, arrival.class, effects);
    }

    pub(super) fn use_refusal(
        &mut self,
        now: Millis,
        shard: &Shard,
        refusal: Refusal,
        effects: &mut Effects,
    ) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(handle) = session.asked.remove(&refusal.seq) else {
            return;
        };
        let remote = |r: &Request| r.shard != *shard;
        if self.requests.get(handle).is_none_or(remote) {
            return;
        }
        self.leave_remote(now, handle, effects);
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let arrival = request.arrival;
        let aim_ms = arrival.aim.since(request.since);
        if let Some(session) = self.sessions.get_mut(shard) {
            session.note_wait(now, arrival.class.customer, u64::from(refusal.wait_ms));
            session.note_refusal(now, arrival.class, aim_ms, &refusal);
            session.note_busy(100);
        }
        if self.ask_elsewhere(now, handle, shard) {
            self.announce(now, arrival.service, arrival.class, effects);
            return;
        }
        self.requests.remove(handle);
        self.unwait(&arrival, true);
        effects.push(Effect::Refuse(handle, refusal));
        self.announce(now, arrival.service, arrival.class, effects);
    }

    /// Lets a request that a shard has refused be asked for at another one, once, if that
    /// has room; false if there is none.
    ///
    /// A router with few requests of a customer cannot know beforehand which shard is
    /// pressed: one would see requests refused at one data centre beside idle ones.
    fn ask_elsewhere(&mut self, now: Millis, handle: Handle, refused: &Shard) -> bool {
        let Some(request) = self.requests.get(handle).filter(|r| !r.is_moved) else {
            return false;
        };
        let arrival = request.arrival;
        let other = self.shard(now, &arrival).filter(|s| *s != refused);
        let Some(other) = other.cloned() else {
            return false;
        };
        if !self.sessions.get(&other).is_some_and(|s| s.up) {
            return false;
        }
        if let Some(request) = self.requests.get_mut(handle) {
            request.shard = other;
            request.is_moved = true;
            request.stage = Stage::Waiting;
        }
        let key = (arrival.service, arrival.class);
        let queue = self.classes.entry(key).or_default();
        queue.asked = queue.asked.saturating_sub(1);
        queue.waiting.push_front(handle);
        true
    }

    /// Moves waiting requests from shards whose last endpoint has gone, or that are
    /// divided otherwise now.
    pub(super) fn move_orphans(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        let gone: Vec<Shard> = (self.sessions.keys())
            .filter(|shard| self.spread.open(shard) == 0)
            .chain(self.sessions.keys().filter(|shard| !self.spread.has(shard)))
            .cloned()
            .collect();
        for shard in gone {
            self.move_from(now, view, &shard, effects);
            if !self.spread.has(&shard) && self.requests.values().all(|r| r.shard != shard) {
                self.sessions.remove(&shard);
            }
        }
    }

    /// Refuses requests whose service has endpoints, none of which takes work.
    ///
    /// Where it has none at all, they may have been replaced, and the next reading of the
    /// list may show the new ones.
    fn refuse_unserved(
        &mut self,
        now: Millis,
        shard: &Shard,
        unserved: Vec<Handle>,
        effects: &mut Effects,
    ) {
        if !self.spread.has(shard) {
            return;
        }
        for handle in unserved {
            self.drop_waiting(now, handle, effects);
            effects.push(Effect::Unserved(handle));
        }
    }

    /// Moves what waits at a shard to others, and what is held there if another shard
    /// covers its endpoint now.
    fn move_from(&mut self, now: Millis, view: &View, shard: &Shard, effects: &mut Effects) {
        let mut moves: Vec<(Handle, Shard)> = Vec::new();
        let mut unserved: Vec<Handle> = Vec::new();
        for (handle, request) in self.requests.iter().filter(|(_, r)| r.shard == *shard) {
            let other = match request.stage {
                Stage::Held { endpoint, .. } if !self.spread.has(shard) => {
                    self.spread.covering(view, shard, endpoint)
                }
                Stage::Held { .. } => None,
                Stage::Waiting | Stage::Asked(_) => {
                    let other = self.shard(now, &request.arrival);
                    if other.is_none() && request.remote.is_none() {
                        unserved.push(handle);
                    }
                    other
                }
            };
            let other = other.filter(|other| *other != shard);
            moves.extend(other.map(|other| (handle, other.clone())));
        }
        self.refuse_unserved(now, shard, unserved, effects);
        if moves.is_empty() {
            return;
        }
        self.down(now, shard);
        let mut others: Vec<Shard> = Vec::new();
        for (handle, other) in moves {
            self.ensure(now, view, &other);
            let Some(request) = self.requests.get_mut(handle) else {
                continue;
            };
            request.shard = other.clone();
            if let (Stage::Held { seq, .. }, Some(session)) =
                (&mut request.stage, self.sessions.get_mut(&other))
            {
                // Its number belonged to the other session.
                *seq = Seq(session.next);
                session.next += 1;
            }
            if !others.contains(&other) {
                others.push(other);
            }
        }
        for other in others {
            self.announce_all(now, &other, effects);
        }
    }
}
