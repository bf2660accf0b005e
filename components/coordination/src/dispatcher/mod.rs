//! Dispatcher of a router: queues requests, asks schedulers for endpoint slots, and tracks the
//! slots that are held.
//!
//! The endpoints of a service are divided into shards, each with its own scheduler. The
//! dispatcher has a session with the scheduler of each shard that it uses. While a shard has
//! no scheduler, the dispatcher grants itself a share of the shard's slots.

mod backoff;
mod local;
mod pauses;
mod queue;
mod remote;
mod selection;
mod session;

pub use self::local::LOCAL_AFTER_MS;
pub use self::queue::ASK_WINDOW;
pub use self::remote::{REMOTE_AFTER_MS, REMOTE_ASKS_MAX};
pub use self::selection::Location;
pub use self::session::HELLO_RETRY_MS;

use self::queue::{Queue, Request, Stage};
use self::selection::{Running, Selector, State};
use self::session::Session;
use crate::backoff::Backoffs;
use crate::messages::{Objective, Pause, Placement};
use crate::overload::HotSpot;
use crate::prelude::*;
use crate::regions::Regions;
use crate::scheduler::appointment::SLOT_MS;
use crate::scheduler::HONOURED_DIVISOR;
use crate::slot::Slots;
use slotmap::SlotMap;
use state::view::{Assignment, Shard};
use std::collections::{BTreeMap, BTreeSet};

slotmap::new_key_type! {
    /// Identifies a request at this dispatcher.
    pub struct Handle;
}

/// Factor by which a request's cost must grow before it is reported again.
const PROGRESS_FACTOR: u32 = 2;

/// Divisor of a request's latency target, its time to first byte, that gives how long the first
/// request of a class may wait without an ask before new requests of the class are refused.
///
/// The scheduler sees [`ASK_WINDOW`] requests of a class and refuses those that would be late,
/// but it does not see the requests behind them. With a bound on their number alone, hundreds
/// of requests would wait long past their latency targets only to be refused then.
const STUCK_AIM_DIVISOR: u64 = 4;
/// Divisor of a request's latency target that gives how long it may wait without an ask before
/// it is refused.
const UNASKED_AIM_DIVISOR: u64 = 2;
/// Time after which the caller of such a refused request may retry, in milliseconds.
const UNASKED_RETRY_AFTER_MS: u32 = 300;

/// A request that arrives at the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Customer and rule of the request.
    pub class: Class,
    /// Fair-share weight of the customer.
    pub weight: u32,
    /// Priority, 0 the most urgent.
    pub priority: u8,
    /// Requests a second over the whole fleet, 0 for no limit.
    pub rate: u32,
    /// Requests in progress over the whole fleet, 0 for no limit.
    pub concurrency: u32,
    /// Largest number of requests of this class that may wait here.
    pub queue: u32,
    /// Expected cost, in the service's cost units.
    pub hint: u32,
    /// What is known of the request's prompt.
    pub prompt: Prompt,
    /// Memory that the request takes while it waits, in bytes.
    pub bytes: u64,
    /// Regions in which the request may be served.
    pub regions: Regions,
    /// When the first byte of the answer counts as late.
    pub aim: Millis,
    /// When the request is given up.
    pub deadline: Millis,
}

impl Arrival {
    /// Longest time after which the caller returns in any case, in milliseconds. The scheduler does
    /// not know the deadline, which the caller may have set.
    fn honoured_ms(&self, now: Millis) -> u32 {
        let honoured_ms = self.deadline.since(now) / HONOURED_DIVISOR;
        u32::try_from(honoured_ms.max(SLOT_MS)).unwrap_or(u32::MAX)
    }
}

/// Why the dispatcher rejects a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Too many requests of the same class wait, or the first of them has waited too long.
    Customer,
    /// Too many requests wait at the router, or their bodies are too large.
    Router,
    /// No endpoint can serve the request.
    NoEndpoint,
    /// The answer would be late: the scheduler has just refused a request of the same class, or all
    /// endpoints have asked for a backoff.
    Late {
        /// Time after which the caller may retry, in milliseconds.
        after_ms: u32,
    },
}

/// An action for the router to carry out.
#[expect(
    clippy::large_enum_variant,
    reason = "most effects are reports, and boxes would cost each of them an allocation"
)]
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a report to the scheduler of this assignment.
    Report(Assignment, Report),
    /// Send the request to this endpoint.
    Dispatch(Handle, EndpointId),
    /// Refuse the request, which cannot be served in time.
    Refuse(Handle, Refusal),
    /// Refuse the request because no endpoint takes work for it.
    NoEndpoint(Handle),
    /// Give up the request, which was not sent before its deadline.
    Expire(Handle),
}

/// Effects of one input, in order.
pub type Effects = Vec<Effect>;

/// Bounds on the requests that wait at one router.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest number of waiting requests.
    pub requests: usize,
    /// Largest total size of their bodies, in bytes.
    pub bytes: u64,
}

/// Dispatcher of one router.
pub struct Dispatcher {
    /// Number that differs between routers and between restarts of a router.
    incarnation: u64,
    selector: Selector,
    bounds: Bounds,
    /// Requests that wait or are in progress.
    requests: SlotMap<Handle, Request>,
    /// Waiting requests by class.
    queues: BTreeMap<(ServiceId, Class), Queue>,
    sessions: BTreeMap<Shard, Session>,
    /// VMs to which a link is up.
    links: BTreeSet<Name>,
    /// Number of waiting requests.
    waiting: usize,
    /// Memory that waiting requests take, in bytes.
    waiting_bytes: u64,
    hot_spot: HotSpot,
    backoffs: Backoffs,
    /// Endpoints that get no new work, according to the latest view.
    closed_endpoints: BTreeSet<EndpointId>,
    /// Whether a request was requeued at a shard without endpoints that take work.
    has_stranded: bool,
    /// Shards whose endpoints have all asked for a backoff, with the earliest end.
    unavailable_shards: BTreeMap<Shard, Millis>,
    /// Streams that left a crowded shard for another one.
    moved_streams: u64,
    /// VMs whose schedulers support objectives of streams.
    stream_vms: BTreeSet<Name>,
    /// VMs whose schedulers know the software versions of endpoints.
    version_vms: BTreeSet<Name>,
    /// Pauses observed since the last report, by shard and endpoint.
    pauses: BTreeMap<Shard, Vec<Pause>>,
    /// Whether one of them is to be reported soon.
    has_urgent_pause: bool,
    /// When pauses were last reported.
    pauses_sent: Millis,
    /// Whether schedulers give appointments to refused requests.
    has_appointments: bool,
}

impl Dispatcher {
    /// A dispatcher without requests or sessions.
    pub fn new(location: Location, bounds: Bounds) -> Self {
        Dispatcher {
            incarnation: location.incarnation,
            selector: Selector::new(location),
            bounds,
            requests: SlotMap::with_key(),
            queues: BTreeMap::new(),
            sessions: BTreeMap::new(),
            links: BTreeSet::new(),
            waiting: 0,
            waiting_bytes: 0,
            hot_spot: HotSpot::default(),
            backoffs: Backoffs::default(),
            closed_endpoints: BTreeSet::new(),
            has_stranded: false,
            unavailable_shards: BTreeMap::new(),
            moved_streams: 0,
            stream_vms: BTreeSet::new(),
            version_vms: BTreeSet::new(),
            pauses: BTreeMap::new(),
            has_urgent_pause: false,
            pauses_sent: Millis(0),
            has_appointments: false,
        }
    }

    /// Expects that schedulers give appointments to the requests that they refuse.
    pub fn enable_appointments(&mut self) {
        self.has_appointments = true;
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of streams that left a crowded shard for another one since the last call.
    pub fn take_moved_streams(&mut self) -> u64 {
        std::mem::take(&mut self.moved_streams)
    }

    /// Number of requests that hold a slot.
    pub fn held(&self) -> usize {
        self.requests.len() - self.waiting
    }

    /// Whether far more requests are in progress here than at other routers.
    pub fn is_hot(&self) -> bool {
        self.hot_spot.is_hot()
    }

    /// Average number of requests in progress per router, according to the schedulers.
    fn average_running(&self) -> usize {
        let active = self.sessions.values().filter(|s| s.is_up);
        let each = active.map(|s| s.running.div_ceil(s.routers));
        // CAST: 32 bits fit into a size on every supported target.
        each.map(|n| n as usize).sum()
    }

    /// Number of waiting requests of each customer.
    pub fn queues(&self) -> BTreeMap<CustomerId, u32> {
        let mut queues = BTreeMap::new();
        for ((_, class), queue) in &self.queues {
            if queue.count > 0 {
                *queues.entry(class.customer).or_default() += queue.count;
            }
        }
        queues
    }

    /// Shards in use, and whether each has a session with a scheduler.
    pub fn shards(&self) -> impl Iterator<Item = (&Shard, bool)> {
        self.sessions.iter().map(|(shard, s)| (shard, s.is_up))
    }

    /// Number of routers that share the endpoints, 1 before a scheduler has reported it.
    pub fn routers(&self) -> u32 {
        self.sessions.values().map(|s| s.routers).max().unwrap_or(1)
    }

    /// Number of routers that share the endpoints, once a scheduler has reported it.
    pub fn routers_reported(&self) -> Option<u32> {
        let counted = self.sessions.values().filter(|s| s.has_router_count);
        counted.map(|s| s.routers).max()
    }

    /// Shard whose scheduler to ask for a request, and whether the request leaves a crowded one.
    fn shard(
        &self,
        now: Millis,
        arrival: &Arrival,
        objective: Option<Objective>,
    ) -> Option<(&Shard, bool)> {
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
        self.selector.choose(now, arrival, objective, state)
    }

    /// Queues a request and asks a scheduler for a slot, unless the request is rejected.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if a bound is reached, the request would be late, or no endpoint serves it.
    pub fn arrive(
        &mut self,
        now: Millis,
        view: &View,
        arrival: Arrival,
    ) -> Result<(Handle, Effects), Rejection> {
        self.arrive_for_stream(now, view, arrival, None)
    }

    /// Like [`Dispatcher::arrive`], for a request with objectives for its stream.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::arrive`].
    pub fn arrive_for_stream(
        &mut self,
        now: Millis,
        view: &View,
        arrival: Arrival,
        objective: Option<Objective>,
    ) -> Result<(Handle, Effects), Rejection> {
        self.arrive_at_version(now, view, arrival, objective, None)
    }

    /// Like [`Dispatcher::arrive_for_stream`], for a request that may only be sent to endpoints with
    /// the software version that began its stream, if it continues one.
    ///
    /// # Errors
    ///
    /// As [`Dispatcher::arrive`].
    pub fn arrive_at_version(
        &mut self,
        now: Millis,
        view: &View,
        arrival: Arrival,
        objective: Option<Objective>,
        software: Option<Software>,
    ) -> Result<(Handle, Effects), Rejection> {
        if self.selector.is_empty() {
            self.selector.update(view);
        }
        let chosen = self.shard(now, &arrival, objective);
        let (shard, is_moved) = chosen.ok_or(Rejection::NoEndpoint)?;
        let shard = shard.clone();
        self.moved_streams += u64::from(is_moved);
        let full = self.waiting_bytes.saturating_add(arrival.bytes) > self.bounds.bytes;
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
        let refused = |s: &Session| s.refused_retry_ms(now, arrival.class, &arrival.prompt);
        if let Some(mut after_ms) = session.and_then(refused) {
            if self.has_appointments {
                after_ms = after_ms.min(arrival.honoured_ms(now));
            }
            return Err(Rejection::Late { after_ms });
        }
        let queue = self
            .queues
            .entry((arrival.service, arrival.class))
            .or_default();
        if queue.count >= arrival.queue {
            return Err(Rejection::Customer);
        }
        let first = queue.waiting.front().and_then(|h| self.requests.get(*h));
        if first.is_some_and(|r| self.is_stuck(now, r, STUCK_AIM_DIVISOR)) {
            return Err(Rejection::Customer);
        }
        let request = Request {
            arrival,
            objective,
            software,
            shard: shard.clone(),
            is_moved: false,
            gives_up: None,
            is_refused: false,
            avoid: None,
            stage: Stage::Waiting,
            queued_at: now,
            asked_at: now,
            remote: None,
            cost: 0,
            reported_cost: 0,
            placement: Placement::default(),
        };
        let handle = self.requests.insert(request);
        self.enqueue(handle);
        self.ensure_session(now, view, &shard);
        let mut effects = Effects::new();
        self.send_asks(now, arrival.service, arrival.class, &mut effects);
        Ok((handle, effects))
    }

    /// Ends a request whose caller went away before it was sent.
    ///
    /// A grant may have arrived at the same moment, before the caller's task has seen it.
    /// Nothing was sent, but the slot must still be released, or it would stay taken for
    /// good.
    pub fn cancel(&mut self, now: Millis, handle: Handle) -> Effects {
        let held = |r: &Request| matches!(r.stage, Stage::Held { .. });
        if self.requests.get(handle).is_some_and(held) {
            return self.done(now, handle, 0, Verdict::Cancelled);
        }
        let mut effects = Effects::new();
        self.drop_waiting(now, handle, &mut effects);
        effects
    }

    /// Where a dispatched request was sent and why.
    pub fn placement(&self, handle: Handle) -> Placement {
        let request = self.requests.get(handle);
        request.map_or(Placement::default(), |r| r.placement)
    }

    /// Sets when the first byte of a request's next answer counts as late.
    ///
    /// The target of a stream that is resumed has usually passed with its first event. A
    /// scheduler would refuse the request as late, although its caller waits for the next event.
    pub fn set_aim(&mut self, handle: Handle, aim: Millis) {
        if let Some(request) = self.requests.get_mut(handle) {
            request.arrival.aim = aim.min(request.arrival.deadline);
        }
    }

    /// Restricts a dispatched request to endpoints with the software version that began its stream.
    pub fn set_software(&mut self, handle: Handle, software: Option<Software>) {
        if let Some(request) = self.requests.get_mut(handle) {
            request.software = software;
        }
    }

    /// Records whether the schedulers of a VM know software versions, before
    /// [`Dispatcher::link_up`].
    pub fn set_version_support(&mut self, vm: &Name, is_supported: bool) {
        if is_supported {
            self.version_vms.insert(vm.clone());
        } else {
            self.version_vms.remove(vm);
        }
    }

    /// Marks a dispatched request as a stream that has begun, whose caller waits until `gives_up`
    /// for the next event. It is queued before new requests of its class, and schedulers do not
    /// refuse it before that time.
    ///
    /// Each such stream has taken a retry of the fleet, so the retry budget bounds how many new
    /// requests it displaces.
    pub fn set_gives_up(&mut self, handle: Handle, gives_up: Millis) {
        if let Some(request) = self.requests.get_mut(handle) {
            request.gives_up = Some(gives_up);
            request.is_moved = false;
            request.is_refused = false;
        }
    }

    /// Queues a dispatched request again after a failed try.
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
        request.queued_at = now;
        request.cost = 0;
        let charged = Some((class, request.arrival.weight));
        let done = Report::Done(seq, cost, verdict);
        self.report_charged(now, &shard, charged, done, &mut effects);
        self.has_stranded |= self.selector.available(&shard) == 0;
        self.enqueue(handle);
        self.send_asks(now, service, class, &mut effects);
        effects
    }

    /// Reports that the first byte of an answer has arrived, `took_ms` after the request was
    /// dispatched; `None` if this router ran late and its measurement is unreliable.
    pub fn report_first_byte(
        &mut self,
        now: Millis,
        handle: Handle,
        took_ms: Option<u32>,
    ) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get(handle) else {
            return effects;
        };
        let Stage::Held { seq, .. } = request.stage else {
            return effects;
        };
        let shard = request.shard.clone();
        self.report(now, &shard, Report::FirstByte(seq, took_ms), &mut effects);
        effects
    }

    /// Updates the cost of a dispatched request, and reports the cost if it has grown enough.
    pub fn progress(&mut self, now: Millis, handle: Handle, cost: u32) -> Effects {
        let mut effects = Effects::new();
        let Some(request) = self.requests.get_mut(handle) else {
            return effects;
        };
        request.cost = cost;
        let Stage::Held { seq, .. } = request.stage else {
            return effects;
        };
        if cost >= request.reported_cost.max(1).saturating_mul(PROGRESS_FACTOR) {
            request.reported_cost = cost;
            let shard = request.shard.clone();
            self.report(now, &shard, Report::Progress(seq, cost), &mut effects);
        }
        effects
    }

    /// Ends a dispatched request and releases its slot.
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
        let charged = Some((arrival.class, arrival.weight));
        let done = Report::Done(seq, cost, verdict);
        self.report_charged(now, &shard, charged, done, &mut effects);
        effects
    }

    /// Handles a grant from a scheduler.
    ///
    /// A grant of an earlier epoch is dropped, since that scheduler's slots belong to its
    /// successor. A grant for a request that has ended is returned.
    pub fn grant(&mut self, now: Millis, grant: Grant) -> Effects {
        let mut effects = Effects::new();
        let found = self.sessions.iter_mut().find(|(_, s)| {
            s.is_up
                && s.assignment
                    .as_ref()
                    .is_some_and(|assignment| assignment.epoch == grant.epoch)
        });
        let Some((shard, session)) = found else {
            return effects;
        };
        let shard = shard.clone();
        session.routers = grant.routers.max(1);
        session.has_router_count = true;
        session.record_busy(u32::from(grant.busy));
        session.running = grant.running;
        session.load = Some(Running {
            requests: grant.running,
            at: now,
        });
        self.apply_grant(now, &shard, grant, &mut effects);
        effects
    }

    /// Handles a refusal from a scheduler; a refusal of an earlier epoch is dropped.
    pub fn refuse(&mut self, now: Millis, refusal: Refusal) -> Effects {
        let mut effects = Effects::new();
        let epoch = refusal.epoch;
        let is_current = |s: &Session| {
            s.is_up
                && s.assignment
                    .as_ref()
                    .is_some_and(|assignment| assignment.epoch == epoch)
        };
        let found = self.sessions.iter().find(|(_, s)| is_current(s));
        let Some(shard) = found.map(|(shard, _)| shard.clone()) else {
            return effects;
        };
        self.apply_refusal(now, &shard, refusal, &mut effects);
        effects
    }

    /// Applies a new view: assignments of schedulers, and endpoints that join or leave.
    pub fn update_view(&mut self, now: Millis, view: &View) -> Effects {
        let mut effects = Effects::new();
        self.selector.update(view);
        let endpoints = view.config.endpoints.iter();
        let closed = endpoints.filter(|(id, endpoint)| !view.accepts_work(**id, endpoint));
        self.closed_endpoints = closed.map(|(id, _)| *id).collect();
        let shards: Vec<Shard> = self.sessions.keys().cloned().collect();
        for shard in shards {
            let assignment = view.assignment(&shard).cloned();
            let Some(session) = self.sessions.get_mut(&shard) else {
                continue;
            };
            if session.assignment != assignment {
                session.assignment = assignment;
                session.hello_at = Some(now);
                self.end_session(now, &shard);
            }
            self.set_local_shares(now, view, &shard);
        }
        self.move_stranded(now, view, &mut effects);
        effects
    }

    /// Opens sessions with the schedulers near this router ahead of requests.
    ///
    /// If sessions were opened by the first request, hundreds of routers would open theirs at
    /// once when a flood or the end of an outage brings work.
    pub fn open_nearby(&mut self, now: Millis, view: &View) {
        for shard in self.selector.nearby(view) {
            if view.assignment(&shard).is_some() {
                self.ensure_session(now, view, &shard);
            }
        }
    }

    /// Handles a new link to a VM, and opens sessions over the link.
    pub fn link_up(&mut self, now: Millis, vm: &Name) -> Effects {
        let mut effects = Effects::new();
        self.links.insert(vm.clone());
        for shard in self.shards_on(vm) {
            self.end_session(now, &shard);
            self.send_hello(now, &shard, &mut effects);
        }
        effects
    }

    /// Handles the loss of a link to a VM, and ends the sessions over the link.
    pub fn link_down(&mut self, now: Millis, vm: &Name) {
        self.links.remove(vm);
        self.stream_vms.remove(vm);
        self.version_vms.remove(vm);
        for shard in self.shards_on(vm) {
            self.end_session(now, &shard);
        }
    }

    /// Handles the answer of a VM that has not learned of its assignment in this epoch yet:
    /// the hello is sent again after a while.
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

    /// Runs periodic work: expires requests past their deadline, sends due hellos, and
    /// schedules locally where there is no scheduler.
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
        if std::mem::take(&mut self.has_stranded) {
            self.move_stranded(now, view, &mut effects);
        }
        self.refuse_unasked(now, &mut effects);
        self.apply_backoffs(now, view, &mut effects);
        let average = self.average_running();
        self.hot_spot.update(self.held(), average);
        let shards: Vec<Shard> = self.sessions.keys().cloned().collect();
        for shard in shards {
            self.tick_session(now, view, &shard, &mut effects);
        }
        self.queues.retain(|_, queue| queue.count > 0);
        self.ask_other_regions(now, view, &mut effects);
        self.report_pauses(now, &mut effects);
        effects
    }
}

/// Configures slots with the engine settings of a shard's service.
pub fn set_engines(slots: &mut Slots, view: &View, shard: &Shard) {
    let service = view.config.services.get(&shard.service);
    let engine = service.and_then(|s| s.engine);
    slots.set_memory_tokens(engine.map(|e| e.memory_tokens));
    slots.set_event_tokens(engine.map_or(1, |e| e.event_tokens));
    let rate = engine.and_then(|e| e.copy_tokens_per_s);
    slots.set_copy_tokens_per_s(rate.map(u64::from));
    slots.set_cold_rate(service.and_then(|s| s.cold).map(|cold| cold.rate));
}

/// Configures slots with the endpoints that are cold, and until when. `part` staggers the
/// schedulers that share a cold endpoint's rate: each starts at another fraction, in
/// thousandths, of the time between two requests.
pub fn set_cold<F>(slots: &mut Slots, now: Millis, view: &View, part: F)
where
    F: Fn(EndpointId) -> u64,
{
    for (id, warm_at) in &view.warm_at {
        slots.set_cold(now, *id, *warm_at, part(*id));
    }
}

/// Configures slots with the software versions of a shard's endpoints.
pub fn set_software(slots: &mut Slots, view: &View, shard: &Shard) {
    for (id, ..) in endpoints(view, shard) {
        if let Some(endpoint) = view.config.endpoints.get(&id) {
            slots.set_software(id, endpoint.software);
        }
    }
}

/// Endpoints of a shard: id, slots, prefetch, and whether the endpoint gets no new work.
pub fn endpoints<'a>(
    view: &'a View,
    shard: &'a Shard,
) -> impl Iterator<Item = (EndpointId, u32, u32, bool)> + 'a {
    let service = view.config.services.get(&shard.service).map(|s| &s.name);
    (view.config.endpoints.iter())
        .filter(move |(id, e)| Some(&e.service) == service && shard.covers(**id, e))
        .map(|(id, e)| (*id, e.slots, e.prefetch, !view.accepts_work(*id, e)))
}
