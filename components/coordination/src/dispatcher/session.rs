//! Sessions with schedulers, and the state that is carried over to the next scheduler.

use super::local::{LOCAL_AFTER_MS, LOCAL_EPOCH};
use super::queue::Stage;
use super::selection::{Running, State, Wait};
use super::{Arrival, Dispatcher, Effect, Effects, Handle};
use crate::backoff::Backoff;
use crate::ledger::virtual_cost;
use crate::messages::{Cached, Hello, Seq};
use crate::prelude::*;
use crate::prompt::UNSHARED_KEY;
use crate::scheduler::appointment::{identity, is_distinct, EARLY_MS, LATE_MS, SLOT_MS};
use crate::scheduler::{Scheduler, Session as LocalSession};
use state::view::{Assignment, Shard};
use std::collections::{BTreeMap, VecDeque};

/// Time before a hello is sent again to a VM that did not know of its assignment, in
/// milliseconds.
pub const HELLO_RETRY_MS: u64 = 50;

/// Time for which new requests of a class are refused after a scheduler has refused one, in
/// milliseconds: short compared to the 300 ms after which a refused caller retries at the
/// earliest.
const REFUSAL_MS: u64 = 100;

/// Time from an ask to its refusal above which the scheduler counts as overloaded, in milliseconds.
/// A refusal on arrival takes a round trip and a batch, some tens of milliseconds.
const SLOW_REFUSAL_MS: u64 = REFUSAL_MS;
/// Most classes of which the last appointment is remembered.
const APPOINTED_MAX: usize = 1024;
/// Most refused callers that are remembered until they return, of 32 bytes each: a few hundred
/// refusals a second, times the two seconds after which callers return at the latest.
const RETURNING_MAX: usize = 1024;
/// Shortest time until a remembered appointment, in milliseconds: one slot of the scheduler.
const APPOINTED_MIN_MS: u64 = SLOT_MS;

/// A shard counts as busy if on average at least this percentage of its engines have a prompt to
/// prefill.
const BUSY_PERCENT: u32 = 60;
/// Number of requests over which that percentage is averaged.
const BUSY_AVERAGE_REQUESTS: u32 = 8;

/// Largest number of prompt parts to remember for the next scheduler: the shared parts of a
/// few hundred requests, which take some kilobytes in a hello.
const SENT_PARTS_MAX: usize = 384;

/// Service received by one customer, and the waits of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Account {
    /// Virtual service over the whole fleet, from the last grant.
    pub(super) level: u64,
    /// Virtual service given through this router that no scheduler has counted yet.
    pub(super) spent: u64,
    /// Recent waits of the customer's requests at the shard.
    pub(super) wait: Wait,
}

/// Session with the scheduler of one shard. The struct outlives a scheduler, and is reused
/// for the next one.
#[derive(Clone, Debug)]
pub(super) struct Session {
    /// The shard's scheduler, once assigned.
    pub(super) assignment: Option<Assignment>,
    /// Whether a hello was sent over a link that is up.
    pub(super) is_up: bool,
    /// When to send the next hello.
    pub(super) hello_at: Option<Millis>,
    /// When the session last went down.
    pub(super) down_since: Millis,
    /// When the session last came up.
    pub(super) up_since: Millis,
    /// Number of the next ask.
    pub(super) next_seq: u64,
    /// Requests with an unanswered ask.
    pub(super) asked: BTreeMap<Seq, Handle>,
    /// Service received by customers.
    pub(super) accounts: BTreeMap<CustomerId, Account>,
    /// Largest virtual-time floor received with a grant.
    pub(super) floor: u64,
    /// Identifies the spending in `accounts`. Changes each time a scheduler has shown that it
    /// counted the spending.
    usage_id: u64,
    /// Whether the scheduler has shown by a grant that it received the hello.
    pub(super) is_acknowledged: bool,
    /// Number of routers with a session at the scheduler.
    pub(super) routers: u32,
    /// Whether a scheduler has reported the number of routers.
    pub(super) has_router_count: bool,
    /// Requests in progress at all routers with a session there.
    pub(super) running: u32,
    /// The same, if the present scheduler has reported it.
    pub(super) load: Option<Running>,
    /// Average percentage of the shard's engines with a prompt to prefill.
    busy_percent: u32,
    /// The local scheduler and its session, while there is no other.
    pub(super) local: Option<(Scheduler, LocalSession)>,
    /// Classes of which a request was refused: until when new requests are refused too, and
    /// after how many milliseconds their callers may retry.
    refused: BTreeMap<Class, (Millis, u32)>,
    /// Last appointment that the scheduler gave to a request of each class; `None` if its
    /// scheduler gives none.
    appointed: Option<BTreeMap<Class, Millis>>,
    /// When refused callers with distinct prompts return, by class and [`identity`]; empty if the scheduler gives no
    /// appointments.
    returning: BTreeMap<(Class, u64), Millis>,
    /// The largest number of an ask that was answered.
    answered: Seq,
    /// Prompt parts that were sent to engines last.
    sent: VecDeque<Cached>,
}

impl Session {
    /// The hello that reports the slots held and the state remembered by this router.
    pub(super) fn build_hello(&self, held: Vec<Held>, backoff: Vec<Backoff>) -> Hello {
        let usage = self.accounts.iter().map(|(customer, account)| Usage {
            customer: *customer,
            level: account.level,
            spent: account.spent,
        });
        Hello {
            held,
            usage: usage.collect(),
            usage_id: self.usage_id,
            floor: self.floor,
            cached: self.sent.iter().copied().collect(),
            backoff,
        }
    }

    /// Remembers the shared parts of a prompt that is sent to an engine.
    ///
    /// A scheduler's knowledge of the engines' caches is lost with the scheduler. Without
    /// these parts its successor would send requests to engines that have not cached their
    /// prompts, and all prompts would be prefilled again.
    pub(super) fn remember_sent(&mut self, endpoint: EndpointId, prompt: &Prompt) {
        if prompt.tokens() == 0 {
            return;
        }
        for part in prompt.parts().filter(|p| p.key != UNSHARED_KEY) {
            let cached = Cached { endpoint, part };
            self.sent.retain(|c| *c != cached);
            self.sent.push_back(cached);
        }
        while self.sent.len() > SENT_PARTS_MAX {
            self.sent.pop_front();
        }
    }

    /// Records that the scheduler has counted the spending of this router, which must not be
    /// reported to the next scheduler again.
    pub(super) fn acknowledge(&mut self) {
        if std::mem::replace(&mut self.is_acknowledged, true) {
            return;
        }
        self.usage_id = self.usage_id.wrapping_add(1);
        for account in self.accounts.values_mut() {
            account.level += std::mem::take(&mut account.spent);
        }
    }

    /// A session that is down.
    pub(super) fn new(now: Millis, usage_id: u64, has_appointments: bool) -> Self {
        Session {
            assignment: None,
            is_up: false,
            hello_at: None,
            down_since: now,
            up_since: now,
            next_seq: 0,
            asked: BTreeMap::new(),
            accounts: BTreeMap::new(),
            floor: 0,
            usage_id,
            is_acknowledged: false,
            routers: 1,
            has_router_count: false,
            running: 0,
            load: None,
            busy_percent: 0,
            local: None,
            refused: BTreeMap::new(),
            appointed: has_appointments.then(BTreeMap::new),
            returning: BTreeMap::new(),
            answered: Seq(0),
            sent: VecDeque::new(),
        }
    }

    /// Whether asks can be sent: to a scheduler, or to the local scheduler.
    pub(super) fn can_ask(&self) -> bool {
        self.is_up || self.local.is_some()
    }

    /// State of the shard for the selection of a shard, for a customer's request.
    pub(super) fn state(&self, now: Millis, customer: CustomerId) -> State {
        let account = self.accounts.get(&customer);
        State {
            down_since: (!self.is_up).then_some(self.down_since),
            wait_ms: account.map_or(0, |a| a.wait.ms(now)),
            is_busy: self.busy_percent >= BUSY_PERCENT,
            running: self.load.and_then(|running| running.recent(now)),
        }
    }

    /// Records the percentage of the shard's engines with a prompt to prefill.
    pub(super) fn record_busy(&mut self, percent: u32) {
        self.busy_percent =
            (self.busy_percent * (BUSY_AVERAGE_REQUESTS - 1) + percent) / BUSY_AVERAGE_REQUESTS;
    }

    /// Records how long a customer's request waited at the shard, or would have waited, in
    /// milliseconds.
    pub(super) fn record_wait(&mut self, now: Millis, customer: CustomerId, ms: u64) {
        let account = self.accounts.entry(customer).or_default();
        account.wait.record(now, ms);
    }

    /// Time after which the caller of a new request may retry, in milliseconds, if requests
    /// of the class are refused now. Callers that return at the time that they were told are not:
    /// the scheduler knows them.
    pub(super) fn refused_retry_ms(
        &self,
        now: Millis,
        class: Class,
        prompt: &Prompt,
    ) -> Option<u32> {
        let (until, after_ms) = self.refused.get(&class)?;
        let returns_at = self.returning.get(&(class, identity(class.rule, prompt)));
        if returns_at.is_some_and(|at| now.after(EARLY_MS) >= *at && now <= at.after(LATE_MS)) {
            return None;
        }
        let after_ms = self.appointed_ms(now, class).unwrap_or(*after_ms);
        (now < *until).then_some(after_ms)
    }

    /// Records that an ask was answered.
    pub(super) fn record_answer(&mut self, seq: Seq) {
        self.answered = self.answered.max(seq);
    }

    /// Time until the last appointment of a class, in milliseconds; `None` if it has passed.
    pub(super) fn appointed_ms(&self, now: Millis, class: Class) -> Option<u32> {
        let at = *self.appointed.as_ref()?.get(&class)?;
        let left_ms = at.since(now);
        (left_ms >= APPOINTED_MIN_MS).then(|| u32::try_from(left_ms).unwrap_or(u32::MAX))
    }

    /// Remembers a refusal of a request with this latency target.
    ///
    /// A scheduler with several times the load that its engines can serve spends its
    /// processor time on refusals, and requests wait long for theirs. If the refused request
    /// would have waited for its whole latency target, twice what is allowed, requests of the
    /// class that arrive right after it would be refused as well.
    ///
    /// With appointments, some of these requests have a place, which only the scheduler knows.
    /// They are all asked for unless the refusal took `took_ms` because the scheduler is
    /// overloaded. If a later ask was answered before, the scheduler had read this one long ago,
    /// and has refused it in a review. A request whose caller returned comes after first attempts
    /// there, so its refusal says nothing of those.
    pub(super) fn record_refusal(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        aim_ms: u64,
        took_ms: u64,
        refusal: &Refusal,
    ) {
        let class = arrival.class;
        let is_review = refusal.seq < self.answered;
        self.record_answer(refusal.seq);
        self.refused.retain(|_, (until, _)| now < *until);
        if let Some(appointed) = &mut self.appointed {
            if refusal.epoch != LOCAL_EPOCH {
                let key = (class, identity(class.rule, &arrival.prompt));
                if self.returning.remove(&key).is_some() {
                    return;
                }
                let at = now.after(u64::from(refusal.after_ms));
                if appointed.len() >= APPOINTED_MAX {
                    appointed.retain(|_, at| now < *at);
                }
                if appointed.len() < APPOINTED_MAX || appointed.contains_key(&class) {
                    appointed.insert(class, at);
                }
                if self.returning.len() >= RETURNING_MAX {
                    self.returning.retain(|_, at| now <= at.after(LATE_MS));
                }
                if self.returning.len() < RETURNING_MAX && is_distinct(&arrival.prompt) {
                    self.returning.insert(key, at);
                }
                if took_ms < SLOW_REFUSAL_MS || is_review {
                    return;
                }
            }
        }
        if u64::from(refusal.wait_ms) >= aim_ms {
            let until = now.after(REFUSAL_MS);
            self.refused.insert(class, (until, refusal.after_ms));
        }
    }
}

impl Dispatcher {
    /// Shards whose scheduler runs on a VM.
    pub(super) fn shards_on(&self, vm: &Name) -> Vec<Shard> {
        (self.sessions.iter())
            .filter(|(_, s)| {
                s.assignment
                    .as_ref()
                    .is_some_and(|assignment| assignment.node.vm == *vm)
            })
            .map(|(shard, _)| shard.clone())
            .collect()
    }

    /// Sends a due hello, and runs the local scheduler while the session is down.
    pub(super) fn tick_session(
        &mut self,
        now: Millis,
        view: &View,
        shard: &Shard,
        effects: &mut Effects,
    ) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        if session.hello_at.is_some_and(|at| at <= now) {
            session.hello_at = None;
            if (session.assignment.as_ref()).is_some_and(|s| self.links.contains(&s.node.vm)) {
                self.end_session(now, shard);
                self.send_hello(now, shard, effects);
                return;
            }
        }
        if session.is_up {
            return;
        }
        if session.local.is_none() && now.since(session.down_since) >= LOCAL_AFTER_MS {
            self.schedule_locally(now, view, shard, effects);
            return;
        }
        if let Some((local, _)) = &mut session.local {
            let granted = local.tick(now);
            self.apply_local(now, shard, granted, effects);
        }
    }

    /// Creates the session for a shard, if there is none.
    pub(super) fn ensure_session(&mut self, now: Millis, view: &View, shard: &Shard) {
        if self.sessions.contains_key(shard) {
            return;
        }
        let mut session = Session::new(now, self.incarnation, self.has_appointments);
        session.assignment = view.assignment(shard).cloned();
        // Send the hello at once, since the link may be up already.
        session.hello_at = session.assignment.as_ref().map(|_| now);
        self.sessions.insert(shard.clone(), session);
    }

    /// Sends a report to a shard's scheduler, or to the local scheduler.
    pub(super) fn report(
        &mut self,
        now: Millis,
        shard: &Shard,
        report: Report,
        effects: &mut Effects,
    ) {
        self.report_charged(now, shard, None, report, effects);
    }

    /// Like [`Dispatcher::report`], for the end of a request with the class and weight
    /// `charged`.
    pub(super) fn report_charged(
        &mut self,
        now: Millis,
        shard: &Shard,
        charged: Option<(Class, u32)>,
        report: Report,
        effects: &mut Effects,
    ) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        if let (true, Some(assignment)) = (session.is_up, &session.assignment) {
            let supports_streams = self.stream_vms.contains(&assignment.node.vm);
            let knows_versions = self.version_vms.contains(&assignment.node.vm);
            let report = match report {
                // The router checks the version of the endpoint that it is granted.
                Report::ContinuedAsk(ask, objective, waits_ms, _) if !knows_versions => {
                    match waits_ms {
                        Some(waits_ms) => Report::ResumedAsk(ask, objective, waits_ms),
                        None => Report::StreamAsk(ask, objective),
                    }
                }
                report => report,
            };
            let report = match report {
                Report::StreamAsk(ask, _) | Report::ResumedAsk(ask, ..) if !supports_streams => {
                    Report::Ask(ask)
                }
                Report::Pauses(_) | Report::Speed(_) | Report::Bounds(_) if !supports_streams => {
                    return
                }
                report => report,
            };
            effects.push(Effect::Report(assignment.clone(), report));
            return;
        }
        if let (Report::Done(_, cost, _), Some((class, weight))) = (&report, charged) {
            // The next scheduler must count this spending.
            let account = session.accounts.entry(class.customer).or_default();
            account.spent += virtual_cost(*cost, weight);
        }
        let Some((local, local_session)) = &mut session.local else {
            return;
        };
        let local_session = *local_session;
        let granted = local.handle_report(now, local_session, report);
        self.apply_local(now, shard, granted, effects);
    }

    /// Ends the session of a shard; its asks are sent again in the next session.
    pub(super) fn end_session(&mut self, now: Millis, shard: &Shard) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        if session.is_up {
            session.is_up = false;
            session.down_since = now;
        }
        session.local = None;
        // The next scheduler grants nothing at first, however little its shard has to do.
        session.load = None;
        let asked = std::mem::take(&mut session.asked);
        for handle in asked.into_values().rev() {
            let Some(request) = self.requests.get_mut(handle) else {
                continue;
            };
            if request.shard != *shard {
                request.remote = None;
                continue;
            }
            request.stage = Stage::Waiting;
            let key = (request.arrival.service, request.arrival.class);
            let queue = self.queues.entry(key).or_default();
            queue.asked = queue.asked.saturating_sub(1);
            queue.waiting.push_front(handle);
        }
    }

    /// Renumbers the requests in progress for a new session.
    pub(super) fn renumber(&mut self, shard: &Shard) -> Vec<Held> {
        let Some(session) = self.sessions.get_mut(shard) else {
            return Vec::new();
        };
        let mut held = Vec::new();
        for request in self.requests.values_mut().filter(|r| r.shard == *shard) {
            let Stage::Held { endpoint, .. } = request.stage else {
                continue;
            };
            let seq = Seq(session.next_seq);
            session.next_seq += 1;
            request.stage = Stage::Held { seq, endpoint };
            request.reported_cost = request.cost.max(request.arrival.hint);
            held.push(Held {
                seq,
                class: request.arrival.class,
                weight: request.arrival.weight,
                endpoint,
                cost: request.reported_cost,
            });
        }
        held
    }

    /// Starts a session: sends a hello, then asks for the waiting requests.
    pub(super) fn send_hello(&mut self, now: Millis, shard: &Shard, effects: &mut Effects) {
        let held = self.renumber(shard);
        let backoff = self.backoffs.remaining(now);
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(assignment) = session.assignment.clone() else {
            return;
        };
        session.is_up = true;
        session.up_since = now;
        let hello = Report::Hello(session.build_hello(held, backoff));
        session.is_acknowledged = false;
        session.hello_at = None;
        effects.push(Effect::Report(assignment, hello));
        self.report_bounds(now, shard, effects);
        self.send_asks_for_service(now, shard, effects);
    }
}
