//! The scheduler of one shard: grants the slots of its endpoints to waiting requests.
//!
//! Routers send an ask for each request that waits. The scheduler answers with a grant, which
//! names the endpoint, or with a refusal if the request cannot be served in time.
//!
//! Of two customers with waiting requests, the one that has received less virtual service is
//! served first, whichever routers the requests wait on.

mod allocation;
pub mod appointment;
mod cached;
mod demand;
mod next;
mod queue;
mod refusal;
mod throughput;
mod usage;

pub use self::allocation::Allocation;
pub(crate) use self::refusal::HONOURED_DIVISOR;
pub use self::refusal::{waits, Waits};

use self::allocation::Allocations;
use self::appointment::Appointments;
use self::cached::Announcements;
use self::demand::Demand;
use self::next::Next;
use self::queue::{Continued, Key, Queue};
use self::throughput::Throughput;
use self::usage::Counted;
use crate::engine::Prefill;
use crate::health;
use crate::ledger::{virtual_cost, Ledger};
use crate::limit::Bucket;
use crate::messages::{Forecast, Hello, Objective, Seq, Totals};
use crate::prelude::*;
use crate::prompt::Part;
use crate::slot::{Slots, Strategy};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which a new scheduler collects sessions before its first grant, in milliseconds.
///
/// Without it, the first router to connect would be granted slots that requests of other
/// routers still occupy, and endpoints would be overcommitted after each change of scheduler.
pub const GATHER_MS: u64 = 200;
/// Time for which the requests of a lost session still count, in milliseconds.
///
/// Its router may only be disconnected from this scheduler while its requests continue. A
/// router that reconnects reports the requests that still run.
pub const ORPHAN_MS: u64 = 1000;
/// Time without a first byte after which a request that its caller cancels counts as failed by
/// the endpoint, in multiples of the request's latency target.
const SILENT_AIMS: u64 = 2;
/// Shortest latency target that [`SILENT_AIMS`] multiplies, in milliseconds: the network and a
/// full queue take longer than shorter targets.
const SILENT_AIM_MIN_MS: u64 = 500;
/// Longest wait for the cache inventories of engines, from the end of [`GATHER_MS`] on, in
/// milliseconds: one page of an inventory takes about 10 to 30 ms.
const INVENTORY_MAX_MS: u64 = 150;
/// One in this many reports of the service given contains the totals of all customers.
const FULL_REPORT_INTERVAL: u32 = 8;
/// Time after which an unused class is removed, in milliseconds.
const CLASS_EXPIRY_MS: u64 = 60_000;

/// Number of a router's session at this scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Session(pub u32);

/// An action that a scheduler requests, or an event that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this grant to the router of the session.
    Grant(Session, Grant),
    /// Send this refusal to the router of the session: the ask cannot be served in time.
    Refuse(Session, Refusal),
    /// Request the inventory of an engine's cache.
    RequestInventory(EndpointId),
    /// An endpoint was ejected.
    Ejected(EndpointId),
    /// An endpoint has returned from an ejection.
    Restored(EndpointId),
}

/// Effects of one input.
pub type Effects = SmallVec<[Effect; 4]>;

/// State of the limits of a class.
#[derive(Clone, Debug)]
struct ClassState {
    /// Requests in progress.
    running: u32,
    /// Rate limit; `None` if there is none.
    bucket: Option<Bucket>,
    used_at: Millis,
}

/// A request in progress.
#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    weight: u32,
    endpoint: EndpointId,
    /// What is demanded of the stream; nothing if another scheduler granted the request, until its
    /// router reports the bound.
    objective: Objective,
    /// Cost charged so far, in units of the service.
    charged: u32,
    /// Work on an inference engine; `None` if another scheduler granted the request.
    prefill: Option<Prefill>,
    /// When a missing first byte counts as a failure; `None` after the first byte.
    silent_at: Option<Millis>,
}

/// State of a scheduler and its estimates, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Asks that wait.
    pub waiting: usize,
    /// Requests in progress.
    pub running: usize,
    /// Customers with asks that wait.
    pub customers: usize,
    /// Tokens that engines have yet to prefill.
    pub unread_tokens: u64,
    /// Prefill speed of the slowest engine.
    pub slowest_tokens_per_s: u64,
    /// Prefill speed of the fastest engine.
    pub fastest_tokens_per_s: u64,
    /// Cost of the requests that are started per second while others wait.
    pub cost_per_s: u64,
    /// Asks refused in this epoch.
    pub refused: u64,
    /// Asks granted in this epoch.
    pub granted: u64,
    /// Streams predicted to exceed `max-gap` because of grants, summed over grants.
    pub expected_breaks: u64,
    /// Appointments of this epoch.
    pub appointments: appointment::Counts,
    /// Places that are booked now.
    pub places: u64,
}

/// The scheduler of one shard in one epoch.
#[derive(Clone, Debug)]
pub struct Scheduler {
    epoch: Epoch,
    ledger: Ledger,
    slots: Slots,
    classes: BTreeMap<Class, ClassState>,
    /// Waiting asks of this region.
    queue: Queue,
    throughput: Throughput,
    /// Appointments of refused callers; `None` unless they are enabled.
    appointments: Option<Appointments>,
    /// Load of first attempts; measured only if appointments are enabled.
    demand: Demand,
    /// How long the callers of each rule wait.
    rules: Vec<Waits>,
    refused: u64,
    granted: u64,
    expected_breaks: u64,
    allocations: Allocations,
    announcements: Announcements,
    /// When the waiting asks were last reviewed.
    reviewed_at: Millis,
    /// Waiting asks of other regions, in the order of their arrival.
    remote_asks: VecDeque<(Key, Ask, Objective)>,
    running: BTreeMap<(Session, Seq), Running>,
    sessions: BTreeSet<Session>,
    /// Lost sessions, with the time until which their requests count.
    orphans: BTreeMap<Session, Millis>,
    /// Service that routers gave while they had no scheduler. It is added to the ledger after
    /// all routers have reported the levels that they remember: of those the largest counts,
    /// while this service is a sum.
    uncounted: BTreeMap<Session, Vec<(CustomerId, u64)>>,
    /// Part of the reported service that was added to the ledger.
    counted: Counted,
    /// Largest floor that a router remembers.
    floor: u64,
    /// Service given here in this epoch, to be counted by schedulers of other regions.
    served: BTreeMap<CustomerId, u64>,
    /// Customers whose total in `served` has grown since the last report.
    grown: BTreeSet<CustomerId>,
    /// Number of reports of `served` so far.
    reports: u32,
    /// Totals reported by schedulers of other regions, by their epoch.
    foreign: BTreeMap<Epoch, BTreeMap<CustomerId, u64>>,
    /// Whether the first grants have been made.
    is_open: bool,
    /// When the first grants can be made.
    opens_at: Millis,
    /// Whether grants wait for [`Scheduler::flush`].
    is_batched: bool,
    /// Whether an event since the last grants may have made another one possible.
    is_due: bool,
    /// Asks since the last grants, to be refused if they would be late.
    arrived: Vec<Key>,
    may_request_inventory: bool,
    /// Engines whose inventory was requested and has not arrived.
    inventories_missing: BTreeSet<EndpointId>,
    /// Number of the next session.
    next_session: u32,
}

impl Scheduler {
    /// A scheduler whose epoch begins now.
    pub fn new(epoch: Epoch, now: Millis) -> Self {
        Scheduler::with_strategy(epoch, now, Strategy::LeastLoaded)
    }

    /// A scheduler that chooses endpoints by `strategy`, for comparison.
    pub fn with_strategy(epoch: Epoch, now: Millis, strategy: Strategy) -> Self {
        Scheduler {
            epoch,
            ledger: Ledger::default(),
            slots: Slots::new(strategy),
            classes: BTreeMap::new(),
            queue: Queue::default(),
            throughput: Throughput::default(),
            appointments: None,
            demand: Demand::default(),
            rules: Vec::new(),
            refused: 0,
            granted: 0,
            expected_breaks: 0,
            allocations: Allocations::default(),
            announcements: Announcements::default(),
            reviewed_at: now,
            running: BTreeMap::new(),
            sessions: BTreeSet::new(),
            orphans: BTreeMap::new(),
            uncounted: BTreeMap::new(),
            counted: Counted::default(),
            floor: 0,
            remote_asks: VecDeque::new(),
            served: BTreeMap::new(),
            grown: BTreeSet::new(),
            reports: 0,
            foreign: BTreeMap::new(),
            is_open: false,
            is_batched: false,
            is_due: false,
            arrived: Vec::new(),
            may_request_inventory: false,
            inventories_missing: BTreeSet::new(),
            opens_at: now.after(GATHER_MS),
            next_session: 0,
        }
    }

    /// Epoch of the scheduler.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Slots of the shard's endpoints.
    pub fn slots(&mut self) -> &mut Slots {
        &mut self.slots
    }

    /// Number of waiting asks.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.remote_asks.len()
    }

    /// Number of requests in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// State of the scheduler and its estimates, for logs and metrics.
    pub fn summary(&self) -> Summary {
        let (unread_tokens, slowest_tokens_per_s, fastest_tokens_per_s) =
            self.slots.prefill_totals();
        Summary {
            waiting: self.waiting(),
            running: self.running.len(),
            customers: self.queue.customers().count(),
            unread_tokens,
            slowest_tokens_per_s,
            fastest_tokens_per_s,
            cost_per_s: self.throughput.cost_per_s(),
            refused: self.refused,
            granted: self.granted,
            expected_breaks: self.expected_breaks,
            appointments: self.appointment_counts(),
            places: self.appointments.as_ref().map_or(0, Appointments::places),
        }
    }

    /// Number of engines that are slow at the moment.
    pub fn slow_engines(&self, now: Millis) -> usize {
        self.slots.slow_engines(now)
    }

    /// Number of routers with a session.
    pub fn routers(&self) -> usize {
        self.sessions.len()
    }

    /// Slots and requests in progress over all endpoints that are not leaving.
    pub fn totals(&self) -> (u32, u32) {
        self.slots.totals()
    }

    /// Virtual service of each customer for requests that have ended.
    pub fn levels(&self) -> Vec<(CustomerId, u64)> {
        self.ledger.all().collect()
    }

    /// Opens a session with a router's hello, in place of its older session.
    ///
    /// The hello lists the requests that are still in progress; all others of the older session
    /// have ended, possibly because the router has restarted.
    pub fn open_session(&mut self, now: Millis, older: Option<Session>, hello: &Hello) -> Session {
        self.floor = self.floor.max(hello.floor);
        if let Some(older) = older {
            // A repeated hello reports the same usage again.
            self.uncounted.remove(&older);
            self.close_session(now, older);
            self.drop_running(now, older);
        }
        let session = Session(self.next_session);
        self.next_session += 1;
        self.sessions.insert(session);
        for cached in &hello.cached {
            self.slots.record_cached(now, cached.endpoint, cached.part);
        }
        for backoff in &hello.backoff {
            self.slots.back_off(now, session.0, backoff);
        }
        for usage in &hello.usage {
            self.ledger.restore(usage.customer, usage.level);
        }
        let uncounted = self.counted.open(older, session, hello);
        self.uncounted.insert(session, uncounted);
        for held in &hello.held {
            let running = Running {
                class: held.class,
                weight: held.weight,
                endpoint: held.endpoint,
                objective: Objective::default(),
                charged: held.cost,
                prefill: None,
                silent_at: None,
            };
            self.slots.adopt(now, held.endpoint);
            let amount = virtual_cost(held.cost, held.weight);
            self.ledger.charge(held.class.customer, amount);
            self.class(now, held.class).running += 1;
            self.running.insert((session, held.seq), running);
        }
        session
    }

    /// Delays grants until [`Scheduler::flush`], so that events which arrive together are
    /// handled together.
    ///
    /// A pass through the waiting asks visits some tens of engines for each of them. One pass
    /// for each ask, first byte and end can take all of a small VM's share of a core, and
    /// requests wait for the scheduler instead of engines. In batches, the cost of an event
    /// falls as load rises.
    pub fn enable_batching(&mut self) {
        self.is_batched = true;
    }

    /// Lets the scheduler book appointments for the callers that it refuses.
    pub fn enable_appointments(&mut self) {
        self.appointments = Some(Appointments::default());
    }

    /// Sets how long the callers of each rule wait, in the order of the rules. Without it, all
    /// wait for a multiple of their latency target.
    pub fn set_waits(&mut self, rules: Vec<Waits>) {
        self.rules = rules;
    }

    /// Numbers of appointments in this epoch.
    pub fn appointment_counts(&self) -> appointment::Counts {
        let appointments = self.appointments.as_ref();
        appointments.map_or(appointment::Counts::default(), Appointments::counts)
    }

    /// Grants asks if an event since the last call may have made this possible, and refuses the
    /// asks since then that would be late.
    pub fn flush(&mut self, now: Millis) -> Effects {
        if !std::mem::take(&mut self.is_due) {
            return Effects::new();
        }
        let mut effects = self.grant_all(now);
        for key in std::mem::take(&mut self.arrived) {
            effects.extend(self.refuse_if_late(now, key));
        }
        effects
    }

    /// Lets the scheduler request the inventories of engines of whose cache it knows nothing.
    pub fn enable_inventory_requests(&mut self) {
        self.may_request_inventory = true;
    }

    /// Takes the inventory of an engine, which is empty if it could not be read, and the start
    /// time that the engine has reported, in Unix milliseconds.
    pub fn record_inventory(
        &mut self,
        now: Millis,
        endpoint: EndpointId,
        started_at: Option<u64>,
        parts: &[Part],
    ) -> Effects {
        if self.slots.record_start(endpoint, started_at) {
            for part in parts {
                self.slots.record_cached(now, endpoint, *part);
            }
        }
        self.inventories_missing.remove(&endpoint);
        self.grant(now)
    }

    /// Handles a report of an open session. A hello is ignored: it is for
    /// [`Scheduler::open_session`].
    pub fn handle_report(&mut self, now: Millis, session: Session, report: Report) -> Effects {
        match report {
            Report::Hello(_) => Effects::new(),
            Report::Ask(ask) => self.ask(now, session, ask),
            Report::Withdraw(seq) => {
                self.withdraw(session, seq);
                Effects::new()
            }
            Report::Return(seq) => self.return_grant(now, session, seq),
            Report::FirstByte(seq, took_ms) => self.record_first_byte(now, session, seq, took_ms),
            Report::Progress(seq, cost) => {
                self.progress(session, seq, cost);
                Effects::new()
            }
            Report::Done(seq, cost, verdict) => self.done(now, session, seq, cost, verdict),
            Report::Backoff(backoff) => {
                self.slots.back_off(now, session.0, &backoff);
                Effects::new()
            }
            Report::StreamAsk(ask, objective) => self.ask_stream(now, session, ask, objective),
            Report::ResumedAsk(ask, objective, waits_ms) => {
                let continued = Continued {
                    caller_waits_ms: Some(waits_ms),
                    software: None,
                };
                self.enqueue(now, session, ask, objective, continued)
            }
            Report::ContinuedAsk(ask, objective, caller_waits_ms, software) => {
                let continued = Continued {
                    caller_waits_ms,
                    software: Some(software),
                };
                self.enqueue(now, session, ask, objective, continued)
            }
            Report::Pauses(pauses) => {
                for pause in &pauses {
                    self.slots.record_pauses(now, pause);
                }
                Effects::new()
            }
            Report::Bounds(bounds) => {
                for (seq, max_gap_ms) in bounds {
                    self.set_bound(session, seq, max_gap_ms);
                }
                Effects::new()
            }
            Report::Speed(speed) => {
                self.slots.record_speed(now, &speed);
                Effects::new()
            }
        }
    }

    /// Sets the bound on the pauses of a stream that another scheduler has granted.
    fn set_bound(&mut self, session: Session, seq: Seq, max_gap_ms: u32) {
        let Some(running) = self.running.get_mut(&(session, seq)) else {
            return;
        };
        // A bound that is known already has been counted.
        if running.objective.max_gap_ms == 0 {
            running.objective.max_gap_ms = max_gap_ms;
            let objective = running.objective;
            self.slots.add_stream(running.endpoint, objective);
        }
    }

    /// Closes a session whose link was lost; its requests still count for [`ORPHAN_MS`].
    pub fn close_session(&mut self, now: Millis, session: Session) {
        if !self.sessions.remove(&session) {
            return;
        }
        self.slots.clear_backoff(session.0);
        self.remote_asks.retain(|((of, _), ..)| *of != session);
        for seq in self.queue.of_session(session) {
            self.withdraw(session, seq);
        }
        self.orphans.insert(session, now.after(ORPHAN_MS));
    }

    /// Adds an ask to the queue.
    pub fn ask(&mut self, now: Millis, session: Session, ask: Ask) -> Effects {
        self.ask_stream(now, session, ask, Objective::default())
    }

    /// Adds an ask with objectives for its stream to the queue.
    pub fn ask_stream(
        &mut self,
        now: Millis,
        session: Session,
        ask: Ask,
        objective: Objective,
    ) -> Effects {
        self.enqueue(now, session, ask, objective, Continued::default())
    }

    /// Adds an ask to the queue, or refuses it if no endpoint has the version that it needs.
    fn enqueue(
        &mut self,
        now: Millis,
        session: Session,
        ask: Ask,
        objective: Objective,
        continued: Continued,
    ) -> Effects {
        if !self.sessions.contains(&session) {
            return Effects::new();
        }
        let key = (session, ask.seq);
        if continued.software.is_some_and(|s| self.slots.lacks(now, s)) {
            return Effects::from_iter([self.refuse(now, key, &ask, 0)]);
        }
        if ask.remote {
            self.remote_asks
                .push_back(((session, ask.seq), ask, objective));
            return self.grant(now);
        }
        let class = self.class(now, ask.class);
        match (&mut class.bucket, ask.rate) {
            (bucket, 0) => *bucket = None,
            (Some(bucket), rate) => bucket.set_rate(rate, now),
            (bucket @ None, rate) => *bucket = Some(Bucket::new(rate, now)),
        }
        let mut returned = None;
        // A request that has failed at an endpoint was never refused, and must not take the place
        // of a caller that was. Its load was counted with its first ask.
        let is_retry = continued.caller_waits_ms.is_some() || ask.avoid.is_some();
        if let Some(appointments) = self.appointments.as_mut().filter(|_| !is_retry) {
            returned = appointments.take(now, ask.class, &ask.prompt);
            if returned.is_none() {
                self.demand.record(ask.class.customer, ask.hint);
            }
        }
        (self.queue).insert(now, key, ask, objective, returned, continued);
        self.ledger.set_backlogged(ask.class.customer, true);
        self.arrived.push(key);
        self.grant(now)
    }

    /// Removes an ask that its router has withdrawn.
    pub fn withdraw(&mut self, session: Session, seq: Seq) {
        self.remove_ask(session, seq);
    }

    /// Takes back a grant that was not used.
    pub fn return_grant(&mut self, now: Millis, session: Session, seq: Seq) -> Effects {
        if let Some((running, _)) = self.end(now, session, seq, 0, None) {
            if let Some(bucket) = self.class(now, running.class).bucket.as_mut() {
                bucket.refund();
            }
        }
        self.grant(now)
    }

    /// Records the first byte of an answer, `took_ms` after the grant reached the router: the
    /// engine has prefilled the prompt, and may be sent the next one.
    pub fn record_first_byte(
        &mut self,
        now: Millis,
        session: Session,
        seq: Seq,
        took_ms: Option<u32>,
    ) -> Effects {
        if let Some(running) = self.running.get_mut(&(session, seq)) {
            running.silent_at = None;
            if let Some(prefill) = &mut running.prefill {
                self.slots
                    .record_first_byte(now, running.endpoint, prefill, took_ms);
            }
        }
        self.record_prefilled(session, seq);
        self.grant(now)
    }

    /// Raises the charge of a request in progress.
    pub fn progress(&mut self, session: Session, seq: Seq, cost: u32) {
        let Some(running) = self.running.get_mut(&(session, seq)) else {
            return;
        };
        if cost <= running.charged {
            return;
        }
        let old = virtual_cost(running.charged, running.weight);
        let new = virtual_cost(cost, running.weight);
        running.charged = cost;
        self.ledger.recharge(running.class.customer, old, new);
    }

    /// Ends a request.
    pub fn done(
        &mut self,
        now: Millis,
        session: Session,
        seq: Seq,
        cost: u32,
        verdict: Verdict,
    ) -> Effects {
        let mut effects = Effects::new();
        let Some((running, change)) = self.end(now, session, seq, cost, Some(verdict)) else {
            return effects;
        };
        // Callers cancel requests to an endpoint that never answers.
        if verdict == Verdict::Cancelled && running.silent_at.is_some_and(|at| at <= now) {
            self.slots.record_silence(now, running.endpoint);
        }
        match change {
            health::Change::Ejected => effects.push(Effect::Ejected(running.endpoint)),
            health::Change::Restored => {
                effects.push(Effect::Restored(running.endpoint));
                // The engine may have restarted with an empty cache.
                if self.may_request_inventory && running.prefill.is_some() {
                    effects.push(Effect::RequestInventory(running.endpoint));
                }
            }
            health::Change::None => {}
        }
        effects.extend(self.grant(now));
        effects
    }

    /// Takes the next report of the service given here in this epoch, for other regions: the
    /// totals that have grown since the last report, and regularly all totals, in case a report
    /// was lost.
    pub fn take_service_totals(&mut self) -> Totals {
        let grown = std::mem::take(&mut self.grown);
        let all = self.reports.is_multiple_of(FULL_REPORT_INTERVAL);
        self.reports = self.reports.wrapping_add(1);
        let reported = self.served.iter().filter(|(c, _)| all || grown.contains(c));
        Totals {
            epoch: self.epoch,
            all,
            totals: reported
                .map(|(customer, total)| (*customer, *total))
                .collect(),
        }
    }

    /// Merges a report of the service that another region's scheduler gave in its epoch.
    ///
    /// The first report with all totals of an epoch only sets the base for counting: earlier
    /// service was counted by the scheduler that this one has replaced.
    pub fn merge_service_totals(&mut self, received: &Totals) {
        let is_known = self.foreign.contains_key(&received.epoch);
        if !is_known && !received.all {
            return;
        }
        let totals = self.foreign.entry(received.epoch).or_default();
        for (customer, total) in &received.totals {
            let last = totals.insert(*customer, *total);
            let base = if is_known { last.unwrap_or(0) } else { *total };
            self.ledger.add(*customer, total.saturating_sub(base));
        }
    }

    /// Removes the schedulers of other regions for whose epoch `keep` is false.
    pub fn retain_foreign<F>(&mut self, keep: F)
    where
        F: Fn(Epoch) -> bool,
    {
        self.foreign.retain(|epoch, _| keep(*epoch));
    }

    /// Handles the passage of time: ends the requests of lost sessions, reviews the queue, and
    /// grants slots that have become free.
    pub fn tick(&mut self, now: Millis) -> Effects {
        let expired: SmallVec<[Session; 4]> = (self.orphans.iter())
            .filter(|(_, until)| **until <= now)
            .map(|(session, _)| *session)
            .collect();
        for session in expired {
            self.orphans.remove(&session);
            self.drop_running(now, session);
        }
        if let Some(appointments) = &mut self.appointments {
            appointments.expire(now);
            self.demand.tick(now);
        }
        self.throughput.tick(now, self.queue.len() > 0);
        let mut effects = self.review(now);
        self.classes
            .retain(|_, class| class.running > 0 || now.since(class.used_at) < CLASS_EXPIRY_MS);
        effects.extend(self.grant(now));
        effects
    }

    /// Grants free slots to waiting asks, or marks this as due for [`Scheduler::flush`] if
    /// events are handled in batches.
    pub fn grant(&mut self, now: Millis) -> Effects {
        self.is_due = true;
        if self.is_batched {
            return Effects::new();
        }
        self.flush(now)
    }

    /// Grants free slots to waiting asks, of the customers with the least service first.
    fn grant_all(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::new();
        if now < self.opens_at {
            return effects;
        }
        let uncounted = std::mem::take(&mut self.uncounted);
        for (session, usage) in uncounted {
            for (customer, spent) in usage {
                self.ledger.settle(customer, 0, spent);
                self.counted.add(session, customer, spent);
            }
        }
        if !std::mem::replace(&mut self.is_open, true) {
            self.ledger.open(self.floor);
            self.request_inventories(now, &mut effects);
        }
        if !self.inventories_missing.is_empty() && now < self.opens_at.after(INVENTORY_MAX_MS) {
            return effects;
        }
        while self.slots.has_free_slot(now) {
            let Some(next) = self.next(now) else {
                break;
            };
            effects.push(self.start(now, next));
        }
        effects
    }

    /// Requests the inventories of all engines of whose cache nothing is known.
    ///
    /// Grants wait for the inventories: after a loss of all processes, the requests that wait
    /// would otherwise be sent to engines that have to prefill their prompts again.
    fn request_inventories(&mut self, now: Millis, effects: &mut Effects) {
        if !self.may_request_inventory {
            return;
        }
        self.inventories_missing = self.slots.with_empty_cache(now).into_iter().collect();
        effects.extend(
            self.inventories_missing
                .iter()
                .copied()
                .map(Effect::RequestInventory),
        );
    }

    /// Starts a request: takes its slot, and charges its expected cost to the customer.
    fn start(&mut self, now: Millis, next: Next) -> Effect {
        let Next {
            key,
            ask,
            objective,
            endpoint,
        } = next;
        let broken = self.slots.expected_breaks(now, endpoint, 0);
        let prefill = self
            .slots
            .acquire_with(now, endpoint, ask.prompt, ask.avoid.is_none());
        // The backlog contains the request by now.
        let broken_with = self.slots.expected_breaks(now, endpoint, 0);
        self.expected_breaks += u64::from(broken_with.saturating_sub(broken));
        self.slots.add_stream(endpoint, objective);
        let customer = ask.class.customer;
        self.throughput.start(ask.hint);
        self.granted += 1;
        self.allocations.record_granted(customer, ask.hint);
        // The charge comes before the removal of the ask, after which the customer may no longer
        // be backlogged.
        let amount = virtual_cost(ask.hint, ask.weight);
        self.ledger.charge(customer, amount);
        self.remove_ask(key.0, key.1);
        let class = self.class(now, ask.class);
        class.running += 1;
        if let Some(bucket) = &mut class.bucket {
            bucket.take(now);
        }
        let running = Running {
            class: ask.class,
            weight: ask.weight,
            endpoint,
            objective,
            charged: ask.hint,
            prefill,
            silent_at: Some(now.after(u64::from(ask.aim_ms).max(SILENT_AIM_MIN_MS) * SILENT_AIMS)),
        };
        self.running.insert(key, running);
        let grant = Grant {
            epoch: self.epoch,
            seq: key.1,
            endpoint,
            copy_from: prefill.and_then(|p| p.source()),
            forecast: prefill.map_or(Forecast::default(), |p| p.forecast()),
            level: self.ledger.settled(customer),
            floor: self.ledger.floor(),
            // CAST: session numbers have 32 bits.
            routers: self.sessions.len() as u32,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            busy: self.slots.busy_percent(),
        };
        Effect::Grant(key.0, grant)
    }

    fn remove_ask(&mut self, session: Session, seq: Seq) {
        let key = (session, seq);
        let Some(ask) = self.queue.remove(key) else {
            self.remote_asks.retain(|(other, ..)| *other != key);
            return;
        };
        let customer = ask.class.customer;
        if !self.queue.has_any_of(customer) {
            self.ledger.set_backlogged(customer, false);
        }
    }

    /// Ends a request: settles its cost, and releases its slot and its class.
    fn end(
        &mut self,
        now: Millis,
        session: Session,
        seq: Seq,
        cost: u32,
        verdict: Option<Verdict>,
    ) -> Option<(Running, health::Change)> {
        let running = self.running.remove(&(session, seq))?;
        let charged = virtual_cost(running.charged, running.weight);
        let amount = virtual_cost(cost, running.weight);
        self.ledger.settle(running.class.customer, charged, amount);
        *self.served.entry(running.class.customer).or_default() += amount;
        self.grown.insert(running.class.customer);
        self.slots
            .remove_stream(running.endpoint, running.objective);
        let change = self.slots.release(now, running.endpoint, verdict);
        if let Some(prefill) = &running.prefill {
            self.slots.end_prefill(now, running.endpoint, prefill);
        }
        let class = self.class(now, running.class);
        class.running = class.running.saturating_sub(1);
        Some((running, change))
    }

    /// Ends all requests of a session.
    fn drop_running(&mut self, now: Millis, session: Session) {
        self.orphans.remove(&session);
        let range = (session, Seq(0))..=(session, Seq(u64::MAX));
        let lost: Vec<(Seq, u32)> = (self.running.range(range))
            .map(|((_, seq), running)| (*seq, running.charged))
            .collect();
        for (seq, charged) in lost {
            // The cost charged so far is the service that is known to have been received.
            self.end(now, session, seq, charged, None);
        }
    }

    /// The state of a class, which is created if needed.
    fn class(&mut self, now: Millis, class: Class) -> &mut ClassState {
        let class = self.classes.entry(class).or_insert_with(|| ClassState {
            running: 0,
            bucket: None,
            used_at: now,
        });
        class.used_at = now;
        class
    }
}
