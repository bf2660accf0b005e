//! Queues of waiting requests, and the path of a request from its arrival to a grant or refusal.

use super::local::LOCAL_EPOCH;
use super::session::Session;
use super::{Arrival, Dispatcher, Effect, Effects, Handle};
use super::{UNASKED_AIM_DIVISOR, UNASKED_RETRY_AFTER_MS};
use crate::messages::{Objective, Placement, Seq};
use crate::prelude::*;
use state::view::Shard;
use std::collections::VecDeque;

/// Largest number of unanswered asks of one class. Further requests wait without an ask, so
/// that a flood at one router costs its scheduler no memory.
pub const ASK_WINDOW: u32 = 32;

/// Largest number of waiting requests of a class to scan for one whose scheduler can be asked.
const SCAN_MAX: usize = 32;

/// Progress of a request towards its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The request waits in its class's queue without an ask.
    Waiting,
    /// A scheduler has been asked for a slot.
    Asked(Seq),
    /// The request holds a slot.
    Held { seq: Seq, endpoint: EndpointId },
}

/// A request that waits or is in progress.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    /// What is demanded of the stream that answers the request.
    pub(super) objective: Option<Objective>,
    /// Software version that the endpoint must have, if the request continues a stream.
    pub(super) software: Option<Software>,
    pub(super) shard: Shard,
    /// Whether another shard has refused the request before.
    pub(super) is_moved: bool,
    /// Until when the caller of a broken stream waits for the next event.
    pub(super) gives_up: Option<Millis>,
    /// Whether a scheduler has refused the broken stream by the usual rules.
    pub(super) is_refused: bool,
    /// Endpoint of the last failed try.
    pub(super) avoid: Option<EndpointId>,
    pub(super) stage: Stage,
    /// When the request was queued.
    pub(super) queued_at: Millis,
    /// When a scheduler was last asked for a slot.
    pub(super) asked_at: Millis,
    /// A second ask, in another region, beside the ask in the request's own region.
    pub(super) remote: Option<(Shard, Seq)>,
    /// Cost so far.
    pub(super) cost: u32,
    /// Cost that the scheduler knows of.
    pub(super) reported_cost: u32,
    /// Where the request was sent and why, once it holds a slot.
    pub(super) placement: Placement,
}

impl Request {
    /// Time since the request was queued, in milliseconds.
    pub(super) fn waited_ms(&self, now: Millis) -> u64 {
        now.since(self.queued_at)
    }

    /// Time for which the caller of a broken stream still waits for the next event, in
    /// milliseconds; `None` if the stream is not broken, or its caller has given up.
    pub(super) fn caller_waits_ms(&self, now: Millis) -> Option<u32> {
        let left_ms = self.gives_up?.min(self.arrival.deadline).since(now);
        (left_ms > 0).then(|| u32::try_from(left_ms).unwrap_or(u32::MAX))
    }
}

/// Waiting requests of one class.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Requests without an ask, in order.
    pub(super) waiting: VecDeque<Handle>,
    /// Number of waiting requests, with and without an ask.
    pub(super) count: u32,
    /// Number of waiting requests with an ask.
    pub(super) asked: u32,
}

/// Time left until the first byte of the answer counts as late, in milliseconds.
pub(super) fn aim_ms(now: Millis, arrival: &Arrival) -> u32 {
    u32::try_from(arrival.aim.since(now)).unwrap_or(u32::MAX)
}

/// The report that asks for a slot.
pub(super) fn ask_report(ask: Ask, objective: Option<Objective>) -> Report {
    match objective {
        Some(objective) => Report::StreamAsk(ask, objective),
        None => Report::Ask(ask),
    }
}

impl Dispatcher {
    /// Adds a request to the queue of its class.
    pub(super) fn enqueue(&mut self, handle: Handle) {
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let key = (request.arrival.service, request.arrival.class);
        self.waiting += 1;
        self.waiting_bytes += request.arrival.bytes;
        let queue = self.queues.entry(key).or_default();
        // A stream that has begun is worth more than a new one.
        let has_begun = |h: &Handle| self.requests.get(*h).is_some_and(|r| r.gives_up.is_some());
        let at = match request.gives_up {
            Some(_) => queue.waiting.iter().take_while(|h| has_begun(h)).count(),
            None => queue.waiting.len(),
        };
        queue.waiting.insert(at, handle);
        queue.count += 1;
    }

    /// Subtracts a request from the counts of its queue.
    pub(super) fn uncount(&mut self, arrival: &Arrival, asked: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_bytes = self.waiting_bytes.saturating_sub(arrival.bytes);
        if let Some(queue) = self.queues.get_mut(&(arrival.service, arrival.class)) {
            queue.count = queue.count.saturating_sub(1);
            if asked {
                queue.asked = queue.asked.saturating_sub(1);
            }
        }
    }

    /// Removes a waiting request and withdraws its asks.
    pub(super) fn drop_waiting(&mut self, now: Millis, handle: Handle, effects: &mut Effects) {
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let arrival = request.arrival;
        let shard = request.shard.clone();
        let stage = request.stage;
        if !matches!(stage, Stage::Held { .. }) {
            self.withdraw_remote(now, handle, effects);
        }
        match stage {
            Stage::Held { .. } => return,
            Stage::Waiting => {
                let key = (arrival.service, arrival.class);
                if let Some(queue) = self.queues.get_mut(&key) {
                    queue.waiting.retain(|h| *h != handle);
                }
                self.uncount(&arrival, false);
            }
            Stage::Asked(seq) => {
                if let Some(session) = self.sessions.get_mut(&shard) {
                    session.asked.remove(&seq);
                }
                self.report(now, &shard, Report::Withdraw(seq), effects);
                self.uncount(&arrival, true);
            }
        }
        self.requests.remove(handle);
        self.send_asks(now, arrival.service, arrival.class, effects);
    }

    /// Whether a request has waited without an ask for longer than its latency target divided
    /// by `divisor`, while its shard had a scheduler.
    ///
    /// False for a retry, and for a request whose latency target had passed when it was queued:
    /// the scheduler decides whether these are still worth serving.
    pub(super) fn is_stuck(&self, now: Millis, request: &Request, divisor: u64) -> bool {
        let session = self.sessions.get(&request.shard).filter(|s| s.is_up);
        let Some(session) = session.filter(|_| request.stage == Stage::Waiting) else {
            return false;
        };
        let since = request.queued_at.max(session.up_since);
        let aim = request.arrival.aim.since(request.queued_at);
        request.avoid.is_none() && aim > 0 && now.since(since) >= aim / divisor
    }

    /// Refuses requests that have waited too long without an ask.
    ///
    /// By the time of their ask they could no longer be served in time, and their callers
    /// would wait for nothing. Requests of a shard without a scheduler keep waiting for the
    /// next one.
    pub(super) fn refuse_unasked(&mut self, now: Millis, effects: &mut Effects) {
        let late: Vec<(Handle, u64)> = (self.requests.iter())
            .filter(|(_, r)| self.is_stuck(now, r, UNASKED_AIM_DIVISOR))
            .map(|(handle, r)| (handle, r.waited_ms(now)))
            .collect();
        for (handle, waited) in late {
            let appointed_ms = self.requests.get(handle).and_then(|request| {
                let session = self.sessions.get(&request.shard)?;
                let honoured_ms = request.arrival.honoured_ms(now);
                let appointed_ms = session.appointed_ms(now, request.arrival.class);
                appointed_ms.map(|ms| ms.min(honoured_ms))
            });
            self.drop_waiting(now, handle, effects);
            let refusal = Refusal {
                epoch: LOCAL_EPOCH,
                seq: Seq(0),
                wait_ms: u32::try_from(waited).unwrap_or(u32::MAX),
                after_ms: appointed_ms.unwrap_or(UNASKED_RETRY_AFTER_MS),
            };
            effects.push(Effect::Refuse(handle, refusal));
        }
    }

    /// Sends asks for waiting requests of a class, up to the window.
    pub(super) fn send_asks(
        &mut self,
        now: Millis,
        service: ServiceId,
        class: Class,
        effects: &mut Effects,
    ) {
        loop {
            let Some(queue) = self.queues.get_mut(&(service, class)) else {
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
            // Requests for a shard without a scheduler must not block those behind them.
            let mut next = queue.waiting.iter().take(SCAN_MAX);
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
            let seq = Seq(session.next_seq);
            session.next_seq += 1;
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
            // While another shard may have room, the scheduler judges a broken stream as any other
            // request, so that it does not wait here in vain.
            let is_last = request.is_moved || request.is_refused;
            let is_last = is_last || !self.selector.has_other(&arrival, &shard);
            let waits_ms = request.caller_waits_ms(now).filter(|_| is_last);
            let objective = request.objective.unwrap_or_default();
            let report = match (request.software, waits_ms) {
                (Some(software), _) => Report::ContinuedAsk(ask, objective, waits_ms, software),
                (None, Some(waits_ms)) => Report::ResumedAsk(ask, objective, waits_ms),
                (None, None) => ask_report(ask, request.objective),
            };
            self.report(now, &shard, report, effects);
        }
    }

    /// Sends asks for waiting requests of all classes of a shard's service.
    pub(super) fn send_asks_for_service(
        &mut self,
        now: Millis,
        shard: &Shard,
        effects: &mut Effects,
    ) {
        let classes: Vec<(ServiceId, Class)> = (self.queues.keys())
            .filter(|(service, _)| *service == shard.service)
            .copied()
            .collect();
        for (service, class) in classes {
            self.send_asks(now, service, class, effects);
        }
    }

    /// Uses a grant for its request, or returns the grant if the request has ended.
    pub(super) fn apply_grant(
        &mut self,
        now: Millis,
        shard: &Shard,
        grant: Grant,
        effects: &mut Effects,
    ) {
        if self.decline_grant(now, shard, &grant, effects) {
            return;
        }
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        session.record_answer(grant.seq);
        let Some(handle) = session.asked.remove(&grant.seq) else {
            self.report(now, shard, Report::Return(grant.seq), effects);
            return;
        };
        let remote = |r: &Request| r.shard != *shard;
        if self.requests.get(handle).is_some_and(remote) {
            self.move_to_remote(now, handle, shard, effects);
        } else {
            self.withdraw_remote(now, handle, effects);
        }
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(request) = self.requests.get_mut(handle) else {
            return;
        };
        if grant.epoch != LOCAL_EPOCH {
            session.acknowledge();
            let customer = request.arrival.class.customer;
            let account = session.accounts.entry(customer).or_default();
            account.level = account.level.max(grant.level);
            session.floor = session.floor.max(grant.floor);
            let wait_ms = request.waited_ms(now) + u64::from(grant.forecast.ahead_ms);
            session.record_wait(now, customer, wait_ms);
        }
        request.stage = Stage::Held {
            seq: grant.seq,
            endpoint: grant.endpoint,
        };
        request.reported_cost = request.arrival.hint;
        request.placement = Placement {
            epoch: grant.epoch,
            copy_from: grant.copy_from,
            forecast: grant.forecast,
            unasked_ms: u32::try_from(request.asked_at.since(request.queued_at))
                .unwrap_or(u32::MAX),
        };
        let arrival = request.arrival;
        session.remember_sent(grant.endpoint, &arrival.prompt);
        self.uncount(&arrival, true);
        effects.push(Effect::Dispatch(handle, grant.endpoint));
        self.send_asks(now, arrival.service, arrival.class, effects);
    }

    /// Asks another shard for a refused request, or refuses the request for good.
    pub(super) fn apply_refusal(
        &mut self,
        now: Millis,
        shard: &Shard,
        mut refusal: Refusal,
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
        self.withdraw_remote(now, handle, effects);
        let Some(request) = self.requests.get(handle) else {
            return;
        };
        let arrival = request.arrival;
        let aim_ms = arrival.aim.since(request.queued_at);
        let took_ms = now.since(request.asked_at);
        if self.has_appointments {
            refusal.after_ms = refusal.after_ms.min(arrival.honoured_ms(now));
        }
        // A refusal for want of a version says nothing of other requests.
        let is_continued = request.software.is_some();
        let session = self.sessions.get_mut(shard);
        if let Some(session) = session.filter(|_| !is_continued) {
            session.record_wait(now, arrival.class.customer, u64::from(refusal.wait_ms));
            session.record_refusal(now, &arrival, aim_ms, took_ms, &refusal);
            session.record_busy(100);
        }
        if self.ask_other_shard(now, handle, shard) || self.ask_again(now, handle) {
            self.send_asks(now, arrival.service, arrival.class, effects);
            return;
        }
        self.requests.remove(handle);
        self.uncount(&arrival, true);
        effects.push(Effect::Refuse(handle, refusal));
        self.send_asks(now, arrival.service, arrival.class, effects);
    }

    /// Queues a refused request again, for another shard that has room. Returns false if there
    /// is no such shard or the request was moved before.
    ///
    /// A router with few requests of a customer cannot know in advance which shard is
    /// overloaded. Without a second ask, requests would be refused at one data centre while
    /// others are idle.
    fn ask_other_shard(&mut self, now: Millis, handle: Handle, refused: &Shard) -> bool {
        let Some(request) = self.requests.get(handle).filter(|r| !r.is_moved) else {
            return false;
        };
        let (arrival, objective) = (request.arrival, request.objective);
        let other = self.shard(now, &arrival, objective);
        let other = other.map(|(shard, _)| shard).filter(|s| *s != refused);
        let Some(other) = other.cloned() else {
            return false;
        };
        if !self.sessions.get(&other).is_some_and(|s| s.is_up) {
            return false;
        }
        if let Some(request) = self.requests.get_mut(handle) {
            request.shard = other;
            request.is_moved = true;
            request.stage = Stage::Waiting;
        }
        self.unask(&arrival, handle);
        true
    }

    /// Queues a broken stream that was refused by the usual rules again for the same shard, to be
    /// judged by the time for which its caller waits. Returns false for all other requests.
    fn ask_again(&mut self, now: Millis, handle: Handle) -> bool {
        let Some(request) = self.requests.get_mut(handle) else {
            return false;
        };
        if request.is_refused || request.caller_waits_ms(now).is_none() {
            return false;
        }
        request.is_refused = true;
        request.stage = Stage::Waiting;
        let arrival = request.arrival;
        self.unask(&arrival, handle);
        true
    }

    /// Puts a request whose ask was answered by a refusal at the front of its queue.
    fn unask(&mut self, arrival: &Arrival, handle: Handle) {
        let key = (arrival.service, arrival.class);
        let queue = self.queues.entry(key).or_default();
        queue.asked = queue.asked.saturating_sub(1);
        queue.waiting.push_front(handle);
    }

    /// Moves requests from shards that have no endpoint left that takes work, or that no
    /// longer exist because the region is divided into shards differently.
    pub(super) fn move_stranded(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        let stale: Vec<Shard> = (self.sessions.keys())
            .filter(|shard| self.selector.available(shard) == 0)
            .chain(
                self.sessions
                    .keys()
                    .filter(|shard| !self.selector.contains(shard)),
            )
            .cloned()
            .collect();
        for shard in stale {
            self.move_from(now, view, &shard, effects);
            if !self.selector.contains(&shard) && self.requests.values().all(|r| r.shard != shard) {
                self.sessions.remove(&shard);
            }
        }
    }

    /// Refuses requests of a shard whose endpoints all take no work.
    ///
    /// If the shard has no endpoints at all they may have been replaced, and the next update
    /// of the list may show the new ones; its requests keep waiting.
    fn refuse_unserved(
        &mut self,
        now: Millis,
        shard: &Shard,
        unserved: Vec<Handle>,
        effects: &mut Effects,
    ) {
        if !self.selector.contains(shard) {
            return;
        }
        for handle in unserved {
            self.drop_waiting(now, handle, effects);
            effects.push(Effect::NoEndpoint(handle));
        }
    }

    /// Moves waiting requests from a shard to other shards, and requests in progress to the
    /// shard that covers their endpoint now.
    fn move_from(&mut self, now: Millis, view: &View, shard: &Shard, effects: &mut Effects) {
        let mut moves: Vec<(Handle, Shard)> = Vec::new();
        let mut unserved: Vec<Handle> = Vec::new();
        for (handle, request) in self.requests.iter().filter(|(_, r)| r.shard == *shard) {
            let other = match request.stage {
                Stage::Held { endpoint, .. } if !self.selector.contains(shard) => {
                    self.selector.covering(view, shard, endpoint)
                }
                Stage::Held { .. } => None,
                Stage::Waiting | Stage::Asked(_) => {
                    let other = self.shard(now, &request.arrival, request.objective);
                    let other = other.map(|(shard, _)| shard);
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
        self.end_session(now, shard);
        let mut others: Vec<Shard> = Vec::new();
        for (handle, other) in moves {
            self.ensure_session(now, view, &other);
            let Some(request) = self.requests.get_mut(handle) else {
                continue;
            };
            request.shard = other.clone();
            if let (Stage::Held { seq, .. }, Some(session)) =
                (&mut request.stage, self.sessions.get_mut(&other))
            {
                // The previous number belonged to the other session.
                *seq = Seq(session.next_seq);
                session.next_seq += 1;
            }
            if !others.contains(&other) {
                others.push(other);
            }
        }
        for other in others {
            self.send_asks_for_service(now, &other, effects);
        }
    }
}
