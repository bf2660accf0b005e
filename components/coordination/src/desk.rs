//! A router's desk: requests that wait here, asks that are out, grants in use.
//!
//! Each shard has a session with its scheduler. While there is none, the desk
//! grants itself a share of the slots.

use crate::ask::Seq;
use crate::ledger::virtual_cost;
use crate::prelude::*;
use crate::scheduler::{Effect as LocalEffect, Scheduler, Session as LocalSession, GATHER_MS};
use slotmap::SlotMap;
use state::view::{Seat, Shard};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

slotmap::new_key_type! {
    /// A request at this desk.
    pub struct Ticket;
}

/// Asks of one class that may be out at once; the rest wait for their turn, so
/// that a flood on one router costs its scheduler no memory.
pub const WINDOW: u32 = 32;
/// Time without a scheduler after which the desk grants itself, in milliseconds.
pub const ALONE_MS: u64 = 300;
/// Time before a refused hello is sent again, in milliseconds.
pub const HELLO_AGAIN_MS: u64 = 50;
/// The reign of a desk that schedules alone; seats begin at 1.
const ALONE: Epoch = Epoch(0);
/// Wait after which a request is asked for in another region too, in
/// milliseconds. Asked for at once, slots of another region would be granted
/// and given back all the time.
pub const GUEST_MS: u64 = 250;
/// Requests asked for in other regions at once.
pub const GUESTS: usize = 64;
/// Largest factor between two reports of one request's growing cost.
const PROGRESS_FACTOR: u32 = 2;

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Service that it goes to.
    pub service: ServiceId,
    /// Whose it is, and by which rule.
    pub class: Class,
    /// Weight of the customer for it.
    pub weight: u32,
    /// Requests a second over the whole fleet, 0 for no limit.
    pub rate: u32,
    /// Requests in progress over the whole fleet, 0 for no limit.
    pub concurrency: u32,
    /// Requests of this class that may wait here.
    pub queue: u32,
    /// Expected cost, in units of the service.
    pub hint: u32,
    /// Hash of the prompt's prefix, 0 for none.
    pub prefix: u32,
    /// Bytes that it keeps in memory while it waits.
    pub bytes: u64,
    /// When it is given up.
    pub deadline: Millis,
}

/// Why a request cannot wait here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// Its customer has too many waiting.
    Customer,
    /// The router has too many waiting, or too many bytes.
    Router,
    /// No endpoint serves it.
    NoEndpoint,
}

/// Something that the desk wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Tell a scheduler.
    Report(Seat, Report),
    /// Send the request to this endpoint.
    Dispatch(Ticket, EndpointId),
    /// Give the request up: its deadline has passed, and it was not sent.
    Expire(Ticket),
}

/// Effects of one input.
pub type Effects = Vec<Effect>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Asked(Seq),
    Held { seq: Seq, endpoint: EndpointId },
}

#[derive(Clone, Debug)]
struct Request {
    arrival: Arrival,
    shard: Shard,
    avoid: Option<EndpointId>,
    stage: Stage,
    since: Millis,
    /// The ask in another region that runs beside the one in its own.
    guest: Option<(Shard, Seq)>,
    cost: u32,
    told: u32,
}

#[derive(Clone, Debug, Default)]
struct Line {
    waiting: VecDeque<Ticket>,
    /// Requests that wait, asked or not.
    count: u32,
    asked: u32,
}

/// What is remembered of a customer's service.
#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    /// Over the whole fleet, as the last grant told it.
    level: u64,
    /// Given here since, without a scheduler that counted it.
    spent: u64,
}

#[derive(Clone, Debug)]
struct Session {
    seat: Option<Seat>,
    up: bool,
    hello_at: Option<Millis>,
    down_since: Millis,
    next: u64,
    asked: BTreeMap<Seq, Ticket>,
    known: BTreeMap<CustomerId, Memory>,
    floor: u64,
    /// Whether the scheduler has shown, by a grant, that it took the hello.
    heard: bool,
    routers: u32,
    local: Option<(Scheduler, LocalSession)>,
}

impl Session {
    fn known(&self) -> Vec<Known> {
        let known = self.known.iter().map(|(customer, memory)| Known {
            customer: *customer,
            level: memory.level,
            spent: memory.spent,
        });
        known.collect()
    }

    /// Notes that the scheduler has counted what was spent here.
    ///
    /// Told again to the next one, it would be counted twice.
    fn hear(&mut self) {
        if std::mem::replace(&mut self.heard, true) {
            return;
        }
        for memory in self.known.values_mut() {
            memory.level += std::mem::take(&mut memory.spent);
        }
    }

    fn new(now: Millis) -> Self {
        Session {
            seat: None,
            up: false,
            hello_at: None,
            down_since: now,
            next: 0,
            asked: BTreeMap::new(),
            known: BTreeMap::new(),
            floor: 0,
            heard: false,
            routers: 1,
            local: None,
        }
    }
}

/// Bounds on what one router keeps.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests that wait.
    pub requests: usize,
    /// Bytes of bodies that wait.
    pub bytes: u64,
}

/// The desk of one router.
pub struct Desk {
    region: Name,
    incarnation: u64,
    bounds: Bounds,
    requests: SlotMap<Ticket, Request>,
    lines: BTreeMap<(ServiceId, Class), Line>,
    sessions: BTreeMap<Shard, Session>,
    links: BTreeSet<Name>,
    waiting: usize,
    bytes: u64,
}

impl Desk {
    /// A desk without requests.
    pub fn new(region: Name, incarnation: u64, bounds: Bounds) -> Self {
        Desk {
            region,
            incarnation,
            bounds,
            requests: SlotMap::with_key(),
            lines: BTreeMap::new(),
            sessions: BTreeMap::new(),
            links: BTreeSet::new(),
            waiting: 0,
            bytes: 0,
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests that were dispatched and have not ended.
    pub fn held(&self) -> usize {
        self.requests.len() - self.waiting
    }

    /// Waiting requests of each customer.
    pub fn queues(&self) -> BTreeMap<CustomerId, u32> {
        let mut queues = BTreeMap::new();
        for ((_, class), line) in &self.lines {
            if line.count > 0 {
                *queues.entry(class.customer).or_default() += line.count;
            }
        }
        queues
    }

    /// Shards with whether this desk has a scheduler for them.
    pub fn shards(&self) -> impl Iterator<Item = (&Shard, bool)> {
        self.sessions.iter().map(|(shard, s)| (shard, s.up))
    }

    /// Takes a request, or says why it cannot wait.
    ///
    /// # Errors
    ///
    /// [`Full`] when a bound is reached or nothing serves the request.
    pub fn arrive(
        &mut self,
        now: Millis,
        view: &View,
        arrival: Arrival,
    ) -> Result<(Ticket, Effects), Full> {
        let shard = self.shard(view, arrival.service).ok_or(Full::NoEndpoint)?;
        let full = self.bytes.saturating_add(arrival.bytes) > self.bounds.bytes;
        if full || self.waiting >= self.bounds.requests {
            return Err(Full::Router);
        }
        let line = self
            .lines
            .entry((arrival.service, arrival.class))
            .or_default();
        if line.count >= arrival.queue {
            return Err(Full::Customer);
        }
        let request = Request {
            arrival,
            shard: shard.clone(),
            avoid: None,
            stage: Stage::Waiting,
            since: now,
            guest: None,
            cost: 0,
            told: 0,
        };
        let ticket = self.requests.insert(request);
        self.wait(ticket);
        self.ensure(now, view, &shard);
        let mut effects = Effects::new();
        self.announce(now, arrival.service, arrival.class, &mut effects);
        Ok((ticket, effects))
    }

    /// Ends a request whose caller went away while it waited.
    ///
    /// A grant may have come at the same moment: the caller has gone without
    /// taking it, and nothing was sent. Its slot must be given back, or it would
    /// stay taken for good, seen as a request in progress that no endpoint has.
    pub fn leave(&mut self, now: Millis, ticket: Ticket) -> Effects {
        let held = |r: &Request| matches!(r.stage, Stage::Held { .. });
        if self.requests.get(ticket).is_some_and(held) {
            return self.done(now, ticket, 0, Verdict::Gone);
        }
        let mut effects = Effects::new();
        self.drop_waiting(now, ticket, &mut effects);
        effects
    }

    /// Queues a dispatched request again, after a failed try.
    pub fn again(&mut self, now: Millis, ticket: Ticket, verdict: Verdict) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get_mut(ticket) else {
            return effects;
        };
        let Stage::Held { seq, endpoint } = request.stage else {
            return effects;
        };
        let shard = request.shard.clone();
        let (service, class) = (request.arrival.service, request.arrival.class);
        let cost = request.cost;
        request.avoid = Some(endpoint);
        request.stage = Stage::Waiting;
        request.since = now;
        request.cost = 0;
        let of = Some((class, request.arrival.weight));
        let done = Report::Done(seq, cost, verdict);
        self.tell_of(now, &shard, of, done, &mut effects);
        self.wait(ticket);
        self.announce(now, service, class, &mut effects);
        effects
    }

    /// Raises the cost of a dispatched request.
    pub fn progress(&mut self, now: Millis, ticket: Ticket, cost: u32) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get_mut(ticket) else {
            return effects;
        };
        request.cost = cost;
        let Stage::Held { seq, .. } = request.stage else {
            return effects;
        };
        if cost >= request.told.max(1).saturating_mul(PROGRESS_FACTOR) {
            request.told = cost;
            let shard = request.shard.clone();
            self.tell(now, &shard, Report::Progress(seq, cost), &mut effects);
        }
        effects
    }

    /// Ends a dispatched request.
    pub fn done(&mut self, now: Millis, ticket: Ticket, cost: u32, verdict: Verdict) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get(ticket) else {
            return effects;
        };
        let Stage::Held { seq, .. } = request.stage else {
            return self.leave(now, ticket);
        };
        let shard = request.shard.clone();
        let arrival = request.arrival;
        self.requests.remove(ticket);
        let of = Some((arrival.class, arrival.weight));
        let done = Report::Done(seq, cost, verdict);
        self.tell_of(now, &shard, of, done, &mut effects);
        effects
    }

    /// Takes a grant.
    ///
    /// A grant of an earlier reign is dropped: that scheduler's slots belong to
    /// its successor. A grant for a request that is gone is given back.
    pub fn grant(&mut self, now: Millis, grant: Grant) -> Effects {
        let mut effects = Effects::new();
        let found = self.sessions.iter_mut().find(|(_, s)| {
            s.up && s
                .seat
                .as_ref()
                .is_some_and(|seat| seat.epoch == grant.epoch)
        });
        let Some((shard, session)) = found else {
            return effects;
        };
        let shard = shard.clone();
        session.routers = grant.routers.max(1);
        self.use_grant(now, &shard, grant, &mut effects);
        effects
    }

    /// Follows the view: new schedulers, endpoints that come and go.
    pub fn follow(&mut self, now: Millis, view: &View) -> Effects {
        let mut effects = Effects::new();
        let shards: Vec<Shard> = self.sessions.keys().cloned().collect();
        for shard in shards {
            let seat = view.seat(&shard).cloned();
            let Some(session) = self.sessions.get_mut(&shard) else {
                continue;
            };
            if session.seat != seat {
                session.seat = seat;
                session.hello_at = Some(now);
                self.down(now, &shard);
            }
            self.arm_local(view, &shard);
        }
        self.move_orphans(now, view, &mut effects);
        effects
    }

    /// Notes that a link to a VM came up, and opens sessions over it.
    pub fn link_up(&mut self, now: Millis, vm: &Name) -> Effects {
        let mut effects = Effects::new();
        self.links.insert(vm.clone());
        for shard in self.seated_at(vm) {
            self.down(now, &shard);
            self.hello(now, &shard, &mut effects);
        }
        effects
    }

    /// Notes that a link to a VM was lost.
    pub fn link_down(&mut self, now: Millis, vm: &Name) {
        self.links.remove(vm);
        for shard in self.seated_at(vm) {
            self.down(now, &shard);
        }
    }

    /// Notes that a VM does not know yet that it schedules in this reign.
    pub fn unseated(&mut self, now: Millis, epoch: Epoch) {
        for session in self.sessions.values_mut() {
            if session.seat.as_ref().is_some_and(|s| s.epoch == epoch) {
                session.hello_at = Some(now.after(HELLO_AGAIN_MS));
            }
        }
    }

    /// Lets time pass: gives up what is late, and acts alone where it must.
    pub fn tick(&mut self, now: Millis, view: &View) -> Effects {
        let mut effects = Effects::new();
        let late: Vec<Ticket> = (self.requests.iter())
            .filter(|(_, r)| !matches!(r.stage, Stage::Held { .. }) && r.arrival.deadline <= now)
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in late {
            self.drop_waiting(now, ticket, &mut effects);
            effects.push(Effect::Expire(ticket));
        }
        let shards: Vec<Shard> = self.sessions.keys().cloned().collect();
        for shard in shards {
            self.tick_session(now, view, &shard, &mut effects);
        }
        self.lines.retain(|_, line| line.count > 0);
        self.ask_abroad(now, view, &mut effects);
        effects
    }

    /// Asks other regions for requests that have waited here for a while.
    fn ask_abroad(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        let abroad = self.requests.values().filter(|r| r.guest.is_some()).count();
        let waits = |r: &Request| {
            let asked = matches!(r.stage, Stage::Asked(_));
            asked && r.guest.is_none() && now.since(r.since) >= GUEST_MS
        };
        let long: Vec<Ticket> = (self.requests.iter())
            .filter(|(_, r)| waits(r))
            .map(|(ticket, _)| ticket)
            .take(GUESTS.saturating_sub(abroad))
            .collect();
        for ticket in long {
            self.ask_guest(now, view, ticket, effects);
        }
    }

    fn ask_guest(&mut self, now: Millis, view: &View, ticket: Ticket, effects: &mut Effects) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let (arrival, avoid) = (request.arrival, request.avoid);
        let home = request.shard.clone();
        let others: SmallVec<[Shard; 7]> = (view.seats.iter())
            .map(|seat| &seat.shard)
            .filter(|s| s.service == home.service && **s != home)
            .filter(|s| endpoints(view, s).any(|(_, _, _, leaving)| !leaving))
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
        session.asked.insert(seq, ticket);
        if let Some(request) = self.requests.get_mut(ticket) {
            request.guest = Some((shard.clone(), seq));
        }
        let ask = Ask {
            seq,
            class: arrival.class,
            weight: arrival.weight,
            rate: 0,
            concurrency: 0,
            hint: arrival.hint,
            prefix: arrival.prefix,
            avoid,
            guest: true,
        };
        self.tell(now, &shard, Report::Ask(ask), effects);
    }

    /// Takes back the ask in another region, if there is one.
    fn leave_abroad(&mut self, now: Millis, ticket: Ticket, effects: &mut Effects) {
        let request = self.requests.get_mut(ticket);
        let Some((shard, seq)) = request.and_then(|r| r.guest.take()) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&shard) {
            session.asked.remove(&seq);
        }
        self.tell(now, &shard, Report::Withdraw(seq), effects);
    }

    /// Makes a region where a guest was granted its own.
    fn move_abroad(&mut self, now: Millis, ticket: Ticket, shard: &Shard, effects: &mut Effects) {
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        request.guest = None;
        let home = std::mem::replace(&mut request.shard, shard.clone());
        if let Stage::Asked(seq) = request.stage {
            if let Some(session) = self.sessions.get_mut(&home) {
                session.asked.remove(&seq);
            }
            self.tell(now, &home, Report::Withdraw(seq), effects);
        }
    }

    fn seated_at(&self, vm: &Name) -> Vec<Shard> {
        (self.sessions.iter())
            .filter(|(_, s)| s.seat.as_ref().is_some_and(|seat| seat.place.vm == *vm))
            .map(|(shard, _)| shard.clone())
            .collect()
    }

    fn tick_session(&mut self, now: Millis, view: &View, shard: &Shard, effects: &mut Effects) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        if session.hello_at.is_some_and(|at| at <= now) {
            session.hello_at = None;
            if (session.seat.as_ref()).is_some_and(|s| self.links.contains(&s.place.vm)) {
                self.down(now, shard);
                self.hello(now, shard, effects);
                return;
            }
        }
        if session.up {
            return;
        }
        if session.local.is_none() && now.since(session.down_since) >= ALONE_MS {
            self.go_alone(now, view, shard, effects);
            return;
        }
        if let Some((local, _)) = &mut session.local {
            let granted = local.tick(now);
            self.use_local(now, shard, granted, effects);
        }
    }

    /// The shard that serves a service for this router: in its own region, or
    /// else the first that has endpoints.
    fn shard(&self, view: &View, service: ServiceId) -> Option<Shard> {
        let name = &view.config.services.get(&service)?.name;
        let open = || {
            (view.config.endpoints.iter())
                .filter(|(id, e)| e.service == *name && !view.leaving.contains(id))
                .map(|(_, e)| &e.region)
        };
        let region = open()
            .find(|r| **r == self.region)
            .or_else(|| open().min())?;
        Some(Shard {
            service,
            region: region.clone(),
        })
    }

    fn ensure(&mut self, now: Millis, view: &View, shard: &Shard) {
        if self.sessions.contains_key(shard) {
            return;
        }
        let mut session = Session::new(now);
        session.seat = view.seat(shard).cloned();
        // Ask at once: the link may be up already.
        session.hello_at = session.seat.as_ref().map(|_| now);
        self.sessions.insert(shard.clone(), session);
    }

    fn wait(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let key = (request.arrival.service, request.arrival.class);
        self.waiting += 1;
        self.bytes += request.arrival.bytes;
        let line = self.lines.entry(key).or_default();
        line.waiting.push_back(ticket);
        line.count += 1;
    }

    /// Counts a request out of its queue.
    fn unwait(&mut self, arrival: &Arrival, asked: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(arrival.bytes);
        if let Some(line) = self.lines.get_mut(&(arrival.service, arrival.class)) {
            line.count = line.count.saturating_sub(1);
            if asked {
                line.asked = line.asked.saturating_sub(1);
            }
        }
    }

    fn drop_waiting(&mut self, now: Millis, ticket: Ticket, effects: &mut Effects) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        let arrival = request.arrival;
        let shard = request.shard.clone();
        let stage = request.stage;
        if !matches!(stage, Stage::Held { .. }) {
            self.leave_abroad(now, ticket, effects);
        }
        match stage {
            Stage::Held { .. } => return,
            Stage::Waiting => {
                let key = (arrival.service, arrival.class);
                if let Some(line) = self.lines.get_mut(&key) {
                    line.waiting.retain(|t| *t != ticket);
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
        self.requests.remove(ticket);
        self.announce(now, arrival.service, arrival.class, effects);
    }

    /// Sends asks for waiting requests of a class, up to the window.
    fn announce(&mut self, now: Millis, service: ServiceId, class: Class, effects: &mut Effects) {
        loop {
            let Some(line) = self.lines.get_mut(&(service, class)) else {
                return;
            };
            if line.asked >= WINDOW {
                return;
            }
            let Some(ticket) = line.waiting.front().copied() else {
                return;
            };
            let Some(request) = self.requests.get_mut(ticket) else {
                line.waiting.pop_front();
                continue;
            };
            let Some(session) = self.sessions.get_mut(&request.shard) else {
                return;
            };
            if !session.up && session.local.is_none() {
                return;
            }
            line.waiting.pop_front();
            line.asked += 1;
            let seq = Seq(session.next);
            session.next += 1;
            session.asked.insert(seq, ticket);
            request.stage = Stage::Asked(seq);
            let arrival = request.arrival;
            let ask = Ask {
                seq,
                class,
                weight: arrival.weight,
                rate: arrival.rate,
                concurrency: arrival.concurrency,
                hint: arrival.hint,
                prefix: arrival.prefix,
                avoid: request.avoid,
                guest: false,
            };
            let shard = request.shard.clone();
            self.tell(now, &shard, Report::Ask(ask), effects);
        }
    }

    fn use_grant(&mut self, now: Millis, shard: &Shard, grant: Grant, effects: &mut Effects) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(ticket) = session.asked.remove(&grant.seq) else {
            self.tell(now, shard, Report::Return(grant.seq), effects);
            return;
        };
        let abroad = |r: &Request| r.shard != *shard;
        if self.requests.get(ticket).is_some_and(abroad) {
            self.move_abroad(now, ticket, shard, effects);
        } else {
            self.leave_abroad(now, ticket, effects);
        }
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(request) = self.requests.get_mut(ticket) else {
            return;
        };
        if grant.epoch != ALONE {
            session.hear();
            let customer = request.arrival.class.customer;
            let memory = session.known.entry(customer).or_default();
            memory.level = memory.level.max(grant.level);
            session.floor = session.floor.max(grant.floor);
        }
        request.stage = Stage::Held {
            seq: grant.seq,
            endpoint: grant.endpoint,
        };
        request.told = request.arrival.hint;
        let arrival = request.arrival;
        self.unwait(&arrival, true);
        effects.push(Effect::Dispatch(ticket, grant.endpoint));
        self.announce(now, arrival.service, arrival.class, effects);
    }

    fn use_local(
        &mut self,
        now: Millis,
        shard: &Shard,
        granted: crate::scheduler::Effects,
        effects: &mut Effects,
    ) {
        for effect in granted {
            if let LocalEffect::Grant(_, grant) = effect {
                self.use_grant(now, shard, grant, effects);
            }
        }
    }

    /// Tells whoever schedules the shard: its scheduler or this desk itself.
    fn tell(&mut self, now: Millis, shard: &Shard, report: Report, effects: &mut Effects) {
        self.tell_of(now, shard, None, report, effects);
    }

    /// Like [`Desk::tell`], of an end whose class and weight are `of`.
    fn tell_of(
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
        if let (true, Some(seat)) = (session.up, &session.seat) {
            effects.push(Effect::Report(seat.clone(), report));
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
        let granted = match report {
            Report::Ask(ask) => local.ask(now, local_session, ask),
            Report::Withdraw(seq) => {
                local.withdraw(local_session, seq);
                Default::default()
            }
            Report::Return(seq) => local.give_back(now, local_session, seq),
            Report::Progress(seq, cost) => {
                local.progress(local_session, seq, cost);
                Default::default()
            }
            Report::Done(seq, cost, verdict) => local.done(now, local_session, seq, cost, verdict),
            Report::Hello { .. } => Default::default(),
        };
        self.use_local(now, shard, granted, effects);
    }

    /// Ends the session of a shard; its asks wait to be asked anew.
    fn down(&mut self, now: Millis, shard: &Shard) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        if session.up {
            session.up = false;
            session.down_since = now;
        }
        session.local = None;
        let asked = std::mem::take(&mut session.asked);
        for ticket in asked.into_values().rev() {
            let Some(request) = self.requests.get_mut(ticket) else {
                continue;
            };
            if request.shard != *shard {
                request.guest = None;
                continue;
            }
            request.stage = Stage::Waiting;
            let key = (request.arrival.service, request.arrival.class);
            let line = self.lines.entry(key).or_default();
            line.asked = line.asked.saturating_sub(1);
            line.waiting.push_front(ticket);
        }
    }

    /// Numbers what is in progress anew, for a new session.
    fn renumber(&mut self, shard: &Shard) -> Vec<Held> {
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

    fn hello(&mut self, now: Millis, shard: &Shard, effects: &mut Effects) {
        let held = self.renumber(shard);
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let Some(seat) = session.seat.clone() else {
            return;
        };
        session.up = true;
        let hello = Report::Hello {
            incarnation: self.incarnation,
            held,
            known: session.known(),
            floor: session.floor,
        };
        session.heard = false;
        session.hello_at = None;
        effects.push(Effect::Report(seat, hello));
        self.announce_all(now, shard, effects);
    }

    fn go_alone(&mut self, now: Millis, view: &View, shard: &Shard, effects: &mut Effects) {
        let held = self.renumber(shard);
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        // It need not gather, it is alone.
        let past = Millis(now.0.saturating_sub(GATHER_MS));
        let mut local = Scheduler::new(ALONE, past);
        let known = session.known();
        let local_session = local.open(now, self.incarnation, &[], &held, &known, session.floor);
        session.local = Some((local, local_session));
        self.arm_local(view, shard);
        self.announce_all(now, shard, effects);
    }

    /// Gives the local scheduler this router's share of each endpoint.
    fn arm_local(&mut self, view: &View, shard: &Shard) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let routers = session.routers;
        let Some((local, _)) = &mut session.local else {
            return;
        };
        let mut any = 0;
        for (id, slots, _, leaving) in endpoints(view, shard) {
            let share = share(slots, routers, self.incarnation, id);
            any += share;
            local.slots().set(id, share, 0, leaving);
        }
        if any == 0 {
            // The smallest share is one slot, or nobody's requests would move.
            let least = |e: &(EndpointId, u32, u32, bool)| mix(self.incarnation, e.0);
            let open = endpoints(view, shard).filter(|(_, _, _, leaving)| !leaving);
            if let Some((id, ..)) = open.min_by_key(least) {
                local.slots().set(id, 1, 0, false);
            }
        }
        let known: Vec<EndpointId> = endpoints(view, shard).map(|e| e.0).collect();
        local.slots().retain(|id| known.contains(&id));
    }

    fn announce_all(&mut self, now: Millis, shard: &Shard, effects: &mut Effects) {
        let lines: Vec<(ServiceId, Class)> = (self.lines.keys())
            .filter(|(service, _)| *service == shard.service)
            .copied()
            .collect();
        for (service, class) in lines {
            self.announce(now, service, class, effects);
        }
    }

    /// Moves waiting requests from shards whose last endpoint has gone.
    fn move_orphans(&mut self, now: Millis, view: &View, effects: &mut Effects) {
        let gone: Vec<Shard> = (self.sessions.keys())
            .filter(|shard| endpoints(view, shard).all(|(_, _, _, leaving)| leaving))
            .cloned()
            .collect();
        for shard in gone {
            let Some(other) = self.shard(view, shard.service).filter(|s| *s != shard) else {
                continue;
            };
            let waiting: Vec<Ticket> = (self.requests.iter())
                .filter(|(_, r)| r.shard == shard && !matches!(r.stage, Stage::Held { .. }))
                .map(|(ticket, _)| ticket)
                .collect();
            if waiting.is_empty() {
                continue;
            }
            self.down(now, &shard);
            for ticket in waiting {
                if let Some(request) = self.requests.get_mut(ticket) {
                    request.shard = other.clone();
                }
            }
            self.ensure(now, view, &other);
            self.announce_all(now, &other, effects);
        }
    }
}

/// A router's share of an endpoint's slots when it schedules alone.
///
/// The part that cannot be divided goes to some of the routers, others at each
/// endpoint, so that all shares together are about the slots there are.
fn share(slots: u32, routers: u32, incarnation: u64, endpoint: EndpointId) -> u32 {
    let lucky = mix(incarnation, endpoint) % u64::from(routers) < u64::from(slots % routers);
    slots / routers + u32::from(lucky)
}

/// A number that looks random, the same for the same two.
fn mix(incarnation: u64, endpoint: EndpointId) -> u64 {
    let mixed = incarnation ^ u64::from(endpoint.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}

/// Endpoints of a shard: number, slots, lead, and whether it is leaving.
pub fn endpoints<'a>(
    view: &'a View,
    shard: &'a Shard,
) -> impl Iterator<Item = (EndpointId, u32, u32, bool)> + 'a {
    let service = view.config.services.get(&shard.service).map(|s| &s.name);
    (view.config.endpoints.iter())
        .filter(move |(_, e)| Some(&e.service) == service && e.region == shard.region)
        .map(|(id, e)| (*id, e.slots, e.lead, view.leaving.contains(id)))
}
