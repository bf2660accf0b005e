//! A router's dispatcher: requests that wait here, asks that are out, grants in use.
//!
//! Each shard has a session with its scheduler. While there is none, the dispatcher
//! grants itself a share of the slots.

mod backoff;
mod local;
mod queue;
mod remote;
mod session;
mod spread;

pub use self::local::LOCAL_AFTER_MS;
pub use self::queue::ASK_WINDOW;
pub use self::remote::{REMOTE_AFTER_MS, REMOTE_ASKS_MAX};
pub use self::session::HELLO_RETRY_MS;
pub use self::spread::Location;

use self::queue::{Queue, Request, Stage};
use self::session::Session;
use self::spread::{Spread, State};
use crate::backoff::Backoffs;
use crate::messages::Placement;
use crate::overload::HotSpot;
use crate::prelude::*;
use crate::regions::Regions;
use crate::slot::Slots;
use slotmap::SlotMap;
use state::view::{Assignment, Shard};
use std::collections::{BTreeMap, BTreeSet};

slotmap::new_key_type! {
    /// A request at this dispatcher.
    pub struct Handle;
}

/// Largest factor between two reports of one request's growing cost.
const PROGRESS_FACTOR: u32 = 2;

/// Part of its aim for which the first of a class may wait to be asked for, before
/// newcomers of the class are turned away.
///
/// The scheduler knows of [`ASK_WINDOW`] requests of a class, and refuses what would be late of
/// them; what waits behind them it does not see. Bounded by a number alone, 512 of each
/// kind waited 1.5 s here to be refused then.
const STUCK_PART: u64 = 4;
/// Part of its aim for which a request may wait to be asked for.
const UNASKED_PART: u64 = 2;
/// Time after which the caller of such a one may come back, in milliseconds.
const UNASKED_RETURN_MS: u32 = 300;

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Service that it goes to.
    pub service: ServiceId,
    /// Whose it is, and by which rule.
    pub class: Class,
    /// Weight of the customer for it.
    pub weight: u32,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// Requests a second over the whole fleet, 0 for no limit.
    pub rate: u32,
    /// Requests in progress over the whole fleet, 0 for no limit.
    pub concurrency: u32,
    /// Requests of this class that may wait here.
    pub queue: u32,
    /// Expected cost, in units of the service.
    pub hint: u32,
    /// What is known of its prompt.
    pub prompt: Prompt,
    /// Bytes that it keeps in memory while it waits.
    pub bytes: u64,
    /// Regions in which it may be served.
    pub regions: Regions,
    /// When its caller counts the first byte of an answer as late.
    pub aim: Millis,
    /// When it is given up.
    pub deadline: Millis,
}

/// Why a request cannot wait here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its customer has too many waiting.
    Customer,
    /// The router has too many waiting, or too many bytes.
    Router,
    /// No endpoint serves it.
    NoEndpoint,
    /// Its scheduler has just said that requests of its class would be late.
    Late {
        /// Time after which its caller may come back, in milliseconds.
        after_ms: u32,
    },
}

/// Something that the dispatcher wants done.
#[expect(
    clippy::large_enum_variant,
    reason = "most effects are reports, and boxes would cost each of them an allocation"
)]
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Tell a scheduler.
    Report(Assignment, Report),
    /// Send the request to this endpoint.
    Dispatch(Handle, EndpointId),
    /// Refuse the request: it cannot be served in time.
    Refuse(Handle, Refusal),
    /// Refuse the request: no endpoint takes work for it.
    Unserved(Handle),
    /// Give the request up: its deadline has passed, and it was not sent.
    Expire(Handle),
}

/// Effects of one input.
pub type Effects = Vec<Effect>;

/// Bounds on what one router keeps.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests that wait.
    pub requests: usize,
    /// Bytes of bodies that wait.
    pub bytes: u64,
}

/// The dispatcher of one router.
pub struct Dispatcher {
    incarnation: u64,
    spread: Spread,
    bounds: Bounds,
    requests: SlotMap<Handle, Request>,
    classes: BTreeMap<(ServiceId, Class), Queue>,
    sessions: BTreeMap<Shard, Session>,
    links: BTreeSet<Name>,
    waiting: usize,
    bytes: u64,
    hot_spot: HotSpot,
    backoffs: Backoffs,
    /// Endpoints that get no new work, as this router knows.
    away: BTreeSet<EndpointId>,
    /// Whether a request was queued again at a shard without endpoints that take work.
    is_any_stranded: bool,
    /// Shards of which every endpoint is away, and until when.
    unavailable: BTreeMap<Shard, Millis>,
}

impl Dispatcher {
    /// A dispatcher without requests.
    pub fn new(home: Location, bounds: Bounds) -> Self {
        Dispatcher {
            incarnation: home.incarnation,
            spread: Spread::new(home),
            bounds,
            requests: SlotMap::with_key(),
            classes: BTreeMap::new(),
            sessions: BTreeMap::new(),
            links: BTreeSet::new(),
            waiting: 0,
            bytes: 0,
            hot_spot: HotSpot::default(),
            backoffs: Backoffs::default(),
            away: BTreeSet::new(),
            is_any_stranded: false,
            unavailable: BTreeMap::new(),
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

    /// Whether far more requests are in progress here than at other routers.
    pub fn is_hot(&self) -> bool {
        self.hot_spot.is_hot()
    }

    /// Requests that other routers have in progress on average, as the schedulers tell.
    fn usual(&self) -> usize {
        let told = self.sessions.values().filter(|s| s.up);
        let each = told.map(|s| s.running.div_ceil(s.routers));
        // CAST: 32 bits fit into a size on every supported target.
        each.map(|n| n as usize).sum()
    }

    /// Waiting requests of each customer.
    pub fn queues(&self) -> BTreeMap<CustomerId, u32> {
        let mut queues = BTreeMap::new();
        for ((_, class), queue) in &self.classes {
            if queue.count > 0 {
                *queues.entry(class.customer).or_default() += queue.count;
            }
        }
        queues
    }

    /// Shards with whether this dispatcher has a scheduler for them.
    pub fn shards(&self) -> impl Iterator<Item = (&Shard, bool)> {
        self.sessions.iter().map(|(shard, s)| (shard, s.up))
    }

    /// Routers that share the endpoints, as far as the schedulers tell.
    pub fn routers(&self) -> u32 {
        self.sessions.values().map(|s| s.routers).max().unwrap_or(1)
    }

    /// The same, once a scheduler has told.
    pub fn routers_reported(&self) -> Option<u32> {
        let told = self.sessions.values().filter(|s| s.is_counted);
        told.map(|s| s.routers).max()
    }

    /// The shard to ask for a request.
    fn shard(&self, now: Millis, arrival: &Arrival) -> Option<&Shard> {
        let state = |shard: &Shard| {
            let session = self.sessions.get(shard);
            let state = session.map_or(State::UNKNOWN, |s| s.state(now, arrival.class.customer));
            let unavailable_ms = self
                .unavailable_until(now, shard)
                .map_or(0, |until| until.since(now));
            State {
                wait_ms: state.wait_ms.max(unavailable_ms),
                ..state
            }
        };
        self.spread.choose(now, arrival, state)
    }

    /// Takes a request, or says why it cannot wait.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when a bound is reached or nothing serves the request.
    pub fn arrive(
        &mut self,
        now: Millis,
        view: &View,
        arrival: Arrival,
    ) -> Result<(Handle, Effects), Rejection> {
        if self.spread.is_empty() {
            self.spread.follow(view);
        }
        let shard = self.shard(now, &arrival).cloned();
        let shard = shard.ok_or(Rejection::NoEndpoint)?;
        let full = self.bytes.saturating_add(arrival.bytes) > self.bounds.bytes;
        if full || self.waiting >= self.bounds.requests {
            return Err(Rejection::Router);
        }
        if let Some(until) = self
            .unavailable_until(now, &shard)
            .filter(|u| *u > arrival.aim)
        {
            let after_ms = u32::try_from(until.since(now)).unwrap_or(u32::MAX);
            return Err(Rejection::Late { after_ms });
        }
        let session = self.sessions.get(&shard);
        if let Some(after_ms) = session.and_then(|s| s.turned_away(now, arrival.class)) {
            return Err(Rejection::Late { after_ms });
        }
        let queue = self
            .classes
            .entry((arrival.service, arrival.class))
            .or_default();
        if queue.count >= arrival.queue {
            return Err(Rejection::Customer);
        }
        let first = queue.waiting.front().and_then(|h| self.requests.get(*h));
        if first.is_some_and(|r| self.waits_in_vain(now, r, STUCK_PART)) {
            return Err(Rejection::Customer);
        }
        let request = Request {
            arrival,
            shard: shard.clone(),
            is_moved: false,
            avoid: None,
            stage: Stage::Waiting,
            since: now,
            asked_at: now,
            remote: None,
            cost: 0,
            told: 0,
            placement: Placement::default(),
        };
        let handle = self.requests.insert(request);
        self.wait(handle);
        self.ensure(now, view, &shard);
        let mut effects = Effects::new();
        self.announce(now, arrival.service, arrival.class, &mut effects);
        Ok((handle, effects))
    }

    /// Ends a request whose caller went away while it waited.
    ///
    /// A grant may have come at the same moment: the caller has gone without
    /// taking it, and nothing was sent. Its slot must be given back, or it would
    /// stay taken for good, seen as a request in progress that no endpoint has.
    pub fn cancel(&mut self, now: Millis, handle: Handle) -> Effects {
        let held = |r: &Request| matches!(r.stage, Stage::Held { .. });
        if self.requests.get(handle).is_some_and(held) {
            return self.done(now, handle, 0, Verdict::Cancelled);
        }
        let mut effects = Effects::new();
        self.drop_waiting(now, handle, &mut effects);
        effects
    }

    /// How a request was placed that is dispatched.
    pub fn placement(&self, handle: Handle) -> Placement {
        let request = self.requests.get(handle);
        request.map_or(Placement::default(), |r| r.placement)
    }

    /// Queues a dispatched request again, after a failed try.
    pub fn requeue(&mut self, now: Millis, handle: Handle, verdict: Verdict) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get_mut(handle) else {
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
        self.is_any_stranded |= self.spread.open(&shard) == 0;
        self.wait(handle);
        self.announce(now, service, class, &mut effects);
        effects
    }

    /// Notes that the first byte of an answer has come, `took_ms` after the request was
    /// dispatched; `None` if this router ran late, and what it measures says nothing.
    pub fn began(&mut self, now: Millis, handle: Handle, took_ms: Option<u32>) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get(handle) else {
            return effects;
        };
        let Stage::Held { seq, .. } = request.stage else {
            return effects;
        };
        let shard = request.shard.clone();
        self.tell(now, &shard, Report::Began(seq, took_ms), &mut effects);
        effects
    }

    /// Raises the cost of a dispatched request.
    pub fn progress(&mut self, now: Millis, handle: Handle, cost: u32) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get_mut(handle) else {
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
    pub fn done(&mut self, now: Millis, handle: Handle, cost: u32, verdict: Verdict) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get(handle) else {
            return effects;
        };
        let Stage::Held { seq, .. } = request.stage else {
            return self.cancel(now, handle);
        };
        let shard = request.shard.clone();
        let arrival = request.arrival;
        self.requests.remove(handle);
        let of = Some((arrival.class, arrival.weight));
        let done = Report::Done(seq, cost, verdict);
        self.tell_of(now, &shard, of, done, &mut effects);
        effects
    }

    /// Takes a grant.
    ///
    /// A grant of an earlier epoch is dropped: that scheduler's slots belong to
    /// its successor. A grant for a request that is gone is given back.
    pub fn grant(&mut self, now: Millis, grant: Grant) -> Effects {
        let mut effects = Effects::new();
        let found = self.sessions.iter_mut().find(|(_, s)| {
            s.up && s
                .assignment
                .as_ref()
                .is_some_and(|assignment| assignment.epoch == grant.epoch)
        });
        let Some((shard, session)) = found else {
            return effects;
        };
        let shard = shard.clone();
        session.routers = grant.routers.max(1);
        session.is_counted = true;
        session.note_busy(u32::from(grant.busy));
        session.running = grant.running;
        self.use_grant(now, &shard, grant, &mut effects);
        effects
    }

    /// Takes the refusal of an ask; one of an earlier epoch is dropped.
    pub fn refuse(&mut self, now: Millis, refusal: Refusal) -> Effects {
        let mut effects = Effects::new();
        let epoch = refusal.epoch;
        let of = |s: &Session| {
            s.up && s
                .assignment
                .as_ref()
                .is_some_and(|assignment| assignment.epoch == epoch)
        };
        let found = self.sessions.iter().find(|(_, s)| of(s));
        let Some(shard) = found.map(|(shard, _)| shard.clone()) else {
            return effects;
        };
        self.use_refusal(now, &shard, refusal, &mut effects);
        effects
    }

    /// Follows the view: new schedulers, endpoints that come and go.
    pub fn follow(&mut self, now: Millis, view: &View) -> Effects {
        let mut effects = Effects::new();
        self.spread.follow(view);
        let endpoints = view.config.endpoints.iter();
        let away = endpoints.filter(|(id, endpoint)| !view.accepts_work(**id, endpoint));
        self.away = away.map(|(id, _)| *id).collect();
        let shards: Vec<Shard> = self.sessions.keys().cloned().collect();
        for shard in shards {
            let assignment = view.assignment(&shard).cloned();
            let Some(session) = self.sessions.get_mut(&shard) else {
                continue;
            };
            if session.assignment != assignment {
                session.assignment = assignment;
                session.hello_at = Some(now);
                self.down(now, &shard);
            }
            self.arm_local(now, view, &shard);
        }
        self.move_orphans(now, view, &mut effects);
        effects
    }

    /// Opens sessions with the schedulers near this router.
    ///
    /// Opened when the first request comes, hundreds of routers would open theirs at the moment
    /// at which a flood or the end of an outage brings work.
    pub fn open_nearby(&mut self, now: Millis, view: &View) {
        for shard in self.spread.near(view) {
            if view.assignment(&shard).is_some() {
                self.ensure(now, view, &shard);
            }
        }
    }

    /// Notes that a link to a VM came up, and opens sessions over it.
    pub fn link_up(&mut self, now: Millis, vm: &Name) -> Effects {
        let mut effects = Effects::new();
        self.links.insert(vm.clone());
        for shard in self.assigned_to(vm) {
            self.down(now, &shard);
            self.hello(now, &shard, &mut effects);
        }
        effects
    }

    /// Notes that a link to a VM was lost.
    pub fn link_down(&mut self, now: Millis, vm: &Name) {
        self.links.remove(vm);
        for shard in self.assigned_to(vm) {
            self.down(now, &shard);
        }
    }

    /// Notes that a VM does not know yet that it schedules in this epoch.
    pub fn unassigned(&mut self, now: Millis, epoch: Epoch) {
        for session in self.sessions.values_mut() {
            if session
                .assignment
                .as_ref()
                .is_some_and(|s| s.epoch == epoch)
            {
                session.hello_at = Some(now.after(HELLO_RETRY_MS));
            }
        }
    }

    /// Lets time pass: gives up what is late, and acts alone where it must.
    pub fn tick(&mut self, now: Millis, view: &View) -> Effects {
        let mut effects = Effects::new();
        let late: Vec<Handle> = (self.requests.iter())
            .filter(|(_, r)| !matches!(r.stage, Stage::Held { .. }) && r.arrival.deadline <= now)
            .map(|(handle, _)| handle)
            .collect();
        for handle in late {
            self.drop_waiting(now, handle, &mut effects);
            effects.push(Effect::Expire(handle));
        }
        if std::mem::take(&mut self.is_any_stranded) {
            self.move_orphans(now, view, &mut effects);
        }
        self.refuse_unasked(now, &mut effects);
        self.follow_backoffs(now, view, &mut effects);
        let usual = self.usual();
        self.hot_spot.update(self.held(), usual);
        let shards: Vec<Shard> = self.sessions.keys().cloned().collect();
        for shard in shards {
            self.tick_session(now, view, &shard, &mut effects);
        }
        self.classes.retain(|_, queue| queue.count > 0);
        self.ask_remote(now, view, &mut effects);
        effects
    }
}

/// Tells slots what the engines of a shard have in common.
pub fn set_engines(slots: &mut Slots, view: &View, shard: &Shard) {
    let service = view.config.services.get(&shard.service);
    let engine = service.and_then(|s| s.engine);
    slots.set_memory_tokens(engine.map(|e| e.memory_tokens));
    let rate = engine.and_then(|e| e.copy_tokens_per_s);
    slots.set_copy_tokens_per_s(rate.map(u64::from));
    slots.set_cold_rate(service.and_then(|s| s.cold).map(|cold| cold.rate));
}

/// Tells slots which endpoints are cold, and until when. Of those who share the rates, each
/// begins by another `part`, in thousandths, of the time between two requests.
pub fn set_cold<F>(slots: &mut Slots, now: Millis, view: &View, part: F)
where
    F: Fn(EndpointId) -> u64,
{
    for (id, warm_at) in &view.warm_at {
        slots.set_cold(now, *id, *warm_at, part(*id));
    }
}

/// Endpoints of a shard: number, slots, lead, and whether it gets no new work.
pub fn endpoints<'a>(
    view: &'a View,
    shard: &'a Shard,
) -> impl Iterator<Item = (EndpointId, u32, u32, bool)> + 'a {
    let service = view.config.services.get(&shard.service).map(|s| &s.name);
    (view.config.endpoints.iter())
        .filter(move |(id, e)| Some(&e.service) == service && shard.covers(**id, e))
        .map(|(id, e)| (*id, e.slots, e.prefetch, !view.accepts_work(*id, e)))
}
