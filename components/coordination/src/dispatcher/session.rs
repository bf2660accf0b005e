//! Sessions with schedulers, and what is remembered from one to the next.

use super::local::LOCAL_AFTER_MS;
use super::queue::Stage;
use super::spread::{State, Wait};
use super::{Dispatcher, Effect, Effects, Handle};
use crate::backoff::Backoff;
use crate::ledger::virtual_cost;
use crate::messages::{Cached, Hello, Seq};
use crate::prelude::*;
use crate::prompt::UNSHARED_KEY;
use crate::scheduler::{Scheduler, Session as LocalSession};
use state::view::{Assignment, Shard};
use std::collections::{BTreeMap, VecDeque};

/// Time before a refused hello is sent again, in milliseconds.
pub const HELLO_RETRY_MS: u64 = 50;

/// Time for which newcomers of a class are refused as one of it was, in milliseconds: short
/// beside the 300 ms after which a refused caller comes back at the earliest.
const TURNED_MS: u64 = 100;

/// Part of a shard's engines that have something to read from which on they count as busy, in
/// hundredths.
const BUSY_PERCENT: u32 = 60;
/// Requests over which that part is averaged.
const BUSY_MEMORY: u32 = 8;

/// Parts of prompts that are remembered for the next scheduler: some kilobytes in a
/// hello, and the shared parts of a few hundred requests.
const SENT: usize = 384;

/// What is remembered of a customer's service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Memory {
    /// Over the whole fleet, as the last grant told it.
    pub(super) level: u64,
    /// Given here since, without a scheduler that counted it.
    pub(super) spent: u64,
    /// How long its requests have waited there of late.
    pub(super) wait: Wait,
}

#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) assignment: Option<Assignment>,
    pub(super) up: bool,
    pub(super) hello_at: Option<Millis>,
    pub(super) down_since: Millis,
    pub(super) up_since: Millis,
    pub(super) next: u64,
    pub(super) asked: BTreeMap<Seq, Handle>,
    pub(super) known: BTreeMap<CustomerId, Memory>,
    pub(super) floor: u64,
    /// Changes each time that a scheduler has shown that it counted what was spent.
    telling: u64,
    /// Whether the scheduler has shown, by a grant, that it took the hello.
    pub(super) heard: bool,
    pub(super) routers: u32,
    /// Whether a scheduler has told how many routers there are.
    pub(super) is_counted: bool,
    /// Requests in progress of all routers with a session there.
    pub(super) running: u32,
    /// Part of its engines that have something to read, in hundredths, averaged.
    busy: u32,
    pub(super) local: Option<(Scheduler, LocalSession)>,
    /// Until when newcomers of a class are refused as one of it was, and when they may
    /// come back.
    turned: BTreeMap<Class, (Millis, u32)>,
    /// Parts of prompts that were sent last.
    sent: VecDeque<Cached>,
}

impl Session {
    /// The hello that tells what this router holds and remembers.
    pub(super) fn introduce(&self, held: Vec<Held>, backoff: Vec<Backoff>) -> Hello {
        let known = self.known.iter().map(|(customer, memory)| Usage {
            customer: *customer,
            level: memory.level,
            spent: memory.spent,
        });
        Hello {
            held,
            usage: known.collect(),
            usage_id: self.telling,
            floor: self.floor,
            cached: self.sent.iter().copied().collect(),
            backoff,
        }
    }

    /// Remembers what an engine has of a prompt that is sent to it.
    ///
    /// A scheduler's picture of the engines ends with it. If its successor began
    /// with none, it would send requests to other engines than those that have
    /// kept their prompts, and all of them would be read again.
    pub(super) fn remember_sent(&mut self, endpoint: EndpointId, prompt: &Prompt) {
        if prompt.tokens() == 0 {
            return;
        }
        for part in prompt.parts().filter(|p| p.key != UNSHARED_KEY) {
            let kept = Cached { endpoint, part };
            self.sent.retain(|k| *k != kept);
            self.sent.push_back(kept);
        }
        while self.sent.len() > SENT {
            self.sent.pop_front();
        }
    }

    /// Notes that the scheduler has counted what was spent here.
    ///
    /// Told again to the next one, it would be counted twice.
    pub(super) fn hear(&mut self) {
        if std::mem::replace(&mut self.heard, true) {
            return;
        }
        self.telling = self.telling.wrapping_add(1);
        for memory in self.known.values_mut() {
            memory.level += std::mem::take(&mut memory.spent);
        }
    }

    pub(super) fn new(now: Millis, telling: u64) -> Self {
        Session {
            assignment: None,
            up: false,
            hello_at: None,
            down_since: now,
            up_since: now,
            next: 0,
            asked: BTreeMap::new(),
            known: BTreeMap::new(),
            floor: 0,
            telling,
            heard: false,
            routers: 1,
            is_counted: false,
            running: 0,
            busy: 0,
            local: None,
            turned: BTreeMap::new(),
            sent: VecDeque::new(),
        }
    }

    /// Whether there is anyone to ask: a scheduler, or this router itself.
    pub(super) fn can_ask(&self) -> bool {
        self.up || self.local.is_some()
    }

    /// What a choice among shards depends on, for a customer's request.
    pub(super) fn state(&self, now: Millis, customer: CustomerId) -> State {
        let memory = self.known.get(&customer);
        State {
            down_since: (!self.up).then_some(self.down_since),
            wait_ms: memory.map_or(0, |m| m.wait.ms(now)),
            is_busy: self.busy >= BUSY_PERCENT,
        }
    }

    /// Notes how many of its engines had something to read, in hundredths.
    pub(super) fn note_busy(&mut self, percent: u32) {
        self.busy = (self.busy * (BUSY_MEMORY - 1) + percent) / BUSY_MEMORY;
    }

    /// Notes how long a customer's request waited here, or would have, in milliseconds.
    pub(super) fn note_wait(&mut self, now: Millis, customer: CustomerId, ms: u64) {
        let memory = self.known.entry(customer).or_default();
        memory.wait.note(now, ms);
    }

    /// Time after which a newcomer may come back, in milliseconds, if it is not let in.
    pub(super) fn turned_away(&self, now: Millis, class: Class) -> Option<u32> {
        let (until, after_ms) = self.turned.get(&class)?;
        (now < *until).then_some(*after_ms)
    }

    /// Remembers a refusal of a request with this aim.
    ///
    /// A scheduler that is asked for several times what its engines can do spends its
    /// processor on refusals: requests waited 0.5 s for theirs. One that would have waited
    /// for its whole aim, twice what it may, tells enough of those that come right after it.
    pub(super) fn note_refusal(
        &mut self,
        now: Millis,
        class: Class,
        aim_ms: u64,
        refusal: &Refusal,
    ) {
        self.turned.retain(|_, (until, _)| now < *until);
        if u64::from(refusal.wait_ms) >= aim_ms {
            let until = now.after(TURNED_MS);
            self.turned.insert(class, (until, refusal.after_ms));
        }
    }
}

impl Dispatcher {
    pub(super) fn assigned_to(&self, vm: &Name) -> Vec<Shard> {
        (self.sessions.iter())
            .filter(|(_, s)| {
                s.assignment
                    .as_ref()
                    .is_some_and(|assignment| assignment.node.vm == *vm)
            })
            .map(|(shard, _)| shard.clone())
            .collect()
    }

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
                self.down(now, shard);
                self.hello(now, shard, effects);
                return;
            }
        }
        if session.up {
            return;
        }
        if session.local.is_none() && now.since(session.down_since) >= LOCAL_AFTER_MS {
            self.schedule_locally(now, view, shard, effects);
            return;
        }
        if let Some((local, _)) = &mut session.local {
            let granted = local.tick(now);
            self.use_local(now, shard, granted, effects);
        }
    }

    pub(super) fn ensure(&mut self, now: Millis, view: &View, shard: &Shard) {
        if self.sessions.contains_key(shard) {
            return;
        }
        let mut session = Session::new(now, self.incarnation);
        session.assignment = view.assignment(shard).cloned();
        // Ask at once: the link may be up already.
        session.hello_at = session.assignment.as_ref().map(|_| now);
        self.sessions.insert(shard.clone(), session);
    }

    /// Tells whoever schedules the shard: its scheduler or this dispatcher itself.
    pub(super) fn tell(
        &mut self,
        now: Millis,
        shard: &Shard,
        report: Report,
        effects: &mut Effects,
    ) {
        self.tell_of(now, shard, None, report, effects);
    }

    /// Like [`Dispatcher::tell`], of an end whose class and weight are `of`.
    pub(super) fn tell_of(
        &mut self,
        now: Millis,
        shard: &Shard,
        of: Option<(Class, u32)>,
        report: Report,
        effects: &mut Effects,
    ) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        if let (true, Some(assignment)) = (session.up, &session.assignment) {
            effects.push(Effect::Report(assignment.clone(), report));
            return;
        }
        if let (Report::Done(_, cost, _), Some((class, weight))) = (&report, of) {
            // The next scheduler must hear of it.
            let memory = session.known.entry(class.customer).or_default();
            memory.spent += virtual_cost(*cost, weight);
        }
        let Some((local, local_session)) = &mut session.local else {
            return;
        };
        let local_session = *local_session;
        let granted = local.handle_report(now, local_session, report);
        self.use_local(now, shard, granted, effects);
    }

    /// Ends the session of a shard; its asks wait to be asked anew.
    pub(super) fn down(&mut self, now: Millis, shard: &Shard) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        if session.up {
            session.up = false;
            session.down_since = now;
        }
        session.local = None;
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
            let queue = self.classes.entry(key).or_default();
            queue.asked = queue.asked.saturating_sub(1);
            queue.waiting.push_front(handle);
        }
    }

    /// Numbers what is in progress anew, for a new session.
    pub(super) fn renumber(&mut self, shard: &Shard) -> Vec<Held> {
        let Some(session) = self.sessions.get_mut(shard) else {
            return Vec::new();
        };
        let mut held = Vec::new();
        for request in self.requests.values_mut().filter(|r| r.shard == *shard) {
            let Stage::Held { endpoint, .. } = request.stage else {
                continue;
            };
            let seq = Seq(session.next);
            session.next += 1;
            request.stage = Stage::Held { seq, endpoint };
            request.told = request.cost.max(request.arrival.hint);
            held.push(Held {
                seq,
                class: request.arrival.class,
                weight: request.arrival.weight,
                endpoint,
                cost: request.told,
            });
        }
        held
    }

    pub(super) fn hello(&mut self, now: Millis, shard: &Shard, effects: &mut Effects) {
        let held = self.renumber(shard);
        let backoff = self.backoffs.remaining(now);
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(assignment) = session.assignment.clone() else {
            return;
        };
        session.up = true;
        session.up_since = now;
        let hello = Report::Hello(session.introduce(held, backoff));
        session.heard = false;
        session.hello_at = None;
        effects.push(Effect::Report(assignment, hello));
        self.announce_all(now, shard, effects);
    }
}
