//! Deterministic simulation of the routers, schedulers and engines of one region.
//!
//! The simulation runs the decision code without I/O. A scheduler handles a limited number of
//! messages per time, as on a fraction of a core; further messages wait in its inbox and are
//! answered late. Schedulers report the service that they granted to each other, as all
//! schedulers of a service do.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod router;
mod single_queue;

use self::router::{Protection, Router, Task, BACKLOG_MAX, CALLER_TIMEOUT_MS, READINESS_CHECK_MS};
use crate::engines::{Engine, Progress};
use crate::setup::{data_centre_name, Callers, Discipline, Setup, ENGINE_MEMORY_TOKENS};
use crate::views::{name, SERVICE};
use coordination::dispatcher::{
    endpoints, Arrival, Bounds, Dispatcher, Effect, Handle, Location, Rejection,
};
use coordination::messages::{Class, Grant, Refusal, Report, Totals, Verdict};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use coordination::scheduler::{Effect as Decision, Scheduler, Session};
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Name};
use state::view::View;
use std::collections::{BTreeMap, VecDeque};

/// Prompt prefixes of each kind of request that all customers share.
const SHARED_PREFIXES: u64 = 100;
/// Prompt prefixes of each kind of request that only the requests of one customer share.
const CUSTOMER_PREFIXES: u64 = 4;
/// Probability that a request starts with a prefix of its customer, if there are several kinds.
const CUSTOMER_PREFIX_PROBABILITY: f64 = 0.4;
/// Tokens that an engine generates for each request.
const ANSWER_TOKENS: u32 = 200;
/// Network latency of a message between a router and a scheduler or between schedulers.
const MESSAGE_LATENCY_MS: u64 = 2;
/// Interval at which waiting requests are checked against their target latency.
const OVERDUE_CHECK_MS: u64 = 100;

/// A request of a customer, in its first attempt or its only retry.
#[derive(Clone, Debug)]
struct Request {
    customer: u32,
    /// Position of the request's kind in [`Setup::kinds`].
    kind: usize,
    /// Time after arrival within which the first event is on time.
    target_latency_ms: u64,
    /// Identifier and tokens of each part of the prompt.
    parts: Vec<(u64, u32)>,
    /// Start of the first attempt.
    arrived_ms: u64,
    /// Start of the current attempt.
    attempted_ms: u64,
    /// Time of the dispatch to an engine; 0 before it.
    sent_ms: u64,
    is_retry: bool,
}

impl Request {
    /// Tokens of the prompt.
    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, n)| u64::from(*n)).sum()
    }
}

/// A message between routers and schedulers, given by their positions.
enum Message {
    /// To a scheduler, from a router.
    Report(usize, usize, Report),
    /// To a router.
    Grant(usize, Grant),
    /// To a router.
    Refusal(usize, Refusal),
    /// To a scheduler, from another scheduler.
    Totals(usize, Totals),
}

/// A scheduler, its sessions and the messages that it has not handled.
pub(crate) struct Shard {
    scheduler: Scheduler,
    /// Session of each router.
    sessions: BTreeMap<usize, Session>,
    /// Unhandled reports with the router that sent them.
    inbox: VecDeque<(usize, Report)>,
    /// Messages that the scheduler may handle now, in hundredths of a message.
    credit_percent: u64,
    /// Asks that the scheduler has handled.
    pub(crate) asks: u64,
}

/// Outcomes of a customer's requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    /// Requests whose first event came within their target latency.
    pub(crate) on_time: u64,
    /// Requests whose first event came after their target latency.
    pub(crate) late: u64,
    /// Requests that were refused in both attempts.
    pub(crate) refused: u64,
    /// Prompt tokens of all requests dispatched to engines.
    pub(crate) dispatched_tokens: u64,
}

/// Demand and service of a customer in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Second {
    /// Prompt tokens of all attempts that started.
    pub(crate) asked_tokens: u64,
    /// Prompt tokens of the requests whose first event came.
    pub(crate) served_tokens: u64,
    /// Refused attempts.
    pub(crate) refused: u64,
    /// Whether an attempt waited for an engine longer than its target latency.
    pub(crate) is_overdue: bool,
}

/// A region: its routers, schedulers and engines, and the callers of all customers.
pub(crate) struct Simulation {
    pub(crate) now_ms: u64,
    rng: Pcg64,
    setup: Setup,
    view: View,
    routers: Vec<Router>,
    pub(crate) shards: Vec<Shard>,
    engines: BTreeMap<EndpointId, Engine<(usize, Handle)>>,
    /// Messages by time of arrival and number of sending.
    in_flight: BTreeMap<(u64, u64), Message>,
    messages_sent: u64,
    /// Refused requests by the time of their retry and a unique number.
    retries: BTreeMap<(u64, u64), Request>,
    /// Latest unique number of a request or retry.
    sequence: u64,
    callers: BTreeMap<u32, Callers>,
    pub(crate) tallies: BTreeMap<u32, Tally>,
    /// Demand and service by second and customer.
    pub(crate) seconds: BTreeMap<u64, BTreeMap<u32, Second>>,
}

impl Simulation {
    /// Builds a region and connects all routers to all schedulers.
    pub(crate) fn new(setup: Setup, callers: BTreeMap<u32, Callers>, seed: u64) -> Self {
        let view = setup.view();
        let shards = view.assignments.iter().map(|assignment| {
            let mut scheduler = Scheduler::new(assignment.epoch, Millis(0));
            scheduler.enable_batching();
            if setup.has_appointments {
                scheduler.enable_appointments();
            }
            scheduler
                .slots()
                .set_memory_tokens(Some(ENGINE_MEMORY_TOKENS));
            for (id, slots, prefetch, leaving) in endpoints(&view, &assignment.shard) {
                scheduler.slots().set(id, slots, prefetch, leaving);
            }
            Shard {
                scheduler,
                sessions: BTreeMap::new(),
                inbox: VecDeque::new(),
                credit_percent: 0,
                asks: 0,
            }
        });
        let router = |n: usize| {
            let home = Location {
                region: name("main"),
                data_centre: name(&data_centre_name(n % setup.data_centres)),
                incarnation: n as u64,
            };
            let bounds = Bounds {
                requests: 10_000,
                bytes: u64::MAX,
            };
            let mut dispatcher = Dispatcher::new(home, bounds);
            if setup.has_appointments {
                dispatcher.enable_appointments();
            }
            Router {
                dispatcher,
                requests: BTreeMap::new(),
                backlog: VecDeque::new(),
                tasks: VecDeque::new(),
                queue: VecDeque::new(),
                tasks_until_accept: 0,
                idle_connections: BTreeMap::new(),
                credit_us: 0,
                protection: Protection::default(),
            }
        };
        let ids = view.config.endpoints.keys();
        let mut simulation = Simulation {
            now_ms: 0,
            rng: Pcg64::seed_from_u64(seed),
            setup,
            shards: shards.collect(),
            routers: (0..setup.data_centres * setup.routers_per_centre)
                .map(router)
                .collect(),
            engines: ids.map(|id| (*id, Engine::default())).collect(),
            view,
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            retries: BTreeMap::new(),
            sequence: 0,
            callers,
            tallies: BTreeMap::new(),
            seconds: BTreeMap::new(),
        };
        for n in 0..simulation.routers.len() {
            for vm in simulation.scheduler_vms() {
                let effects = simulation.routers[n].dispatcher.link_up(Millis(0), &vm);
                simulation.apply_effects(n, effects);
            }
        }
        simulation
    }

    /// VMs that run the schedulers of all shards.
    fn scheduler_vms(&self) -> Vec<Name> {
        let vms = self.view.assignments.iter().map(|a| a.node.vm.clone());
        vms.collect()
    }

    /// Sends a message, which arrives after [`MESSAGE_LATENCY_MS`].
    fn send(&mut self, message: Message) {
        self.messages_sent += 1;
        self.in_flight.insert(
            (self.now_ms + MESSAGE_LATENCY_MS, self.messages_sent),
            message,
        );
    }

    /// Demand and service of a customer in the current second.
    fn second(&mut self, customer: u32) -> &mut Second {
        let all = self.seconds.entry(self.now_ms / 1000).or_default();
        all.entry(customer).or_default()
    }

    /// Creates and submits a request of a customer, with a random kind and prompt.
    fn arrive(&mut self, customer: u32) {
        self.sequence += 1;
        let weights = WeightedIndex::new(self.setup.kinds.iter().map(|k| k.weight)).unwrap();
        let kind_index = weights.sample(&mut self.rng);
        let kind = self.setup.kinds[kind_index];
        let own_tokens = self
            .rng
            .random_range(kind.own_tokens * 2 / 7..kind.own_tokens * 12 / 7);
        let request = Request {
            customer,
            kind: kind_index,
            target_latency_ms: kind.target_latency_ms,
            parts: vec![
                (self.shared_part(customer, kind_index), kind.shared_tokens),
                (1 << 40 | self.sequence, own_tokens),
            ],
            arrived_ms: self.now_ms,
            attempted_ms: self.now_ms,
            sent_ms: 0,
            is_retry: false,
        };
        self.tallies.entry(customer).or_default().requests += 1;
        self.submit(request);
    }

    /// Draws the prompt prefix of a request: with [`CUSTOMER_PREFIX_PROBABILITY`] one of its
    /// customer, otherwise one that all customers share.
    fn shared_part(&mut self, customer: u32, kind: usize) -> u64 {
        let kind = (kind as u64) << 32;
        if self.setup.kinds.len() > 1 && self.rng.random_bool(CUSTOMER_PREFIX_PROBABILITY) {
            let part = self.rng.random_range(0..CUSTOMER_PREFIXES);
            return kind | (SHARED_PREFIXES + u64::from(customer) * CUSTOMER_PREFIXES + part);
        }
        kind | self.rng.random_range(0..SHARED_PREFIXES)
    }

    /// Chooses the router of an attempt, among those in rotation if there are any.
    fn choose_router(&mut self, request: &Request) -> usize {
        let callers = &self.callers[&request.customer];
        let routers = match request.is_retry {
            true => &callers.retry,
            false => &callers.first,
        };
        let is_available = |(n, _): &&(usize, f64)| !self.routers[*n].protection.is_out_of_rotation;
        let mut available: Vec<(usize, f64)> =
            routers.iter().filter(is_available).copied().collect();
        if available.is_empty() {
            available.clone_from(routers);
        }
        if callers.uses_first_available {
            return available[0].0;
        }
        let weights = WeightedIndex::new(available.iter().map(|(_, w)| *w)).unwrap();
        available[weights.sample(&mut self.rng)].0
    }

    /// Starts an attempt at a router. The connection waits in the router's backlog unless it is
    /// already open or the router's processor is unlimited.
    fn submit(&mut self, mut request: Request) {
        let index = self.choose_router(&request);
        request.attempted_ms = self.now_ms;
        self.second(request.customer).asked_tokens += request.tokens();
        if self.setup.processor_us_per_ms.is_none() {
            return self.admit(index, request);
        }
        if self.setup.discipline != Discipline::RoundRobin {
            return self.submit_in_order(index, request);
        }
        if self.take_idle_connection(index, request.customer) {
            return self.enqueue(index, Task::Request(request));
        }
        if self.routers[index].backlog.len() >= BACKLOG_MAX {
            return self.reject(request, CALLER_TIMEOUT_MS as u32);
        }
        self.routers[index].backlog.push_back(request);
    }

    /// Queues a task for a router's processor.
    fn enqueue(&mut self, index: usize, work: Task) {
        let router = &mut self.routers[index];
        match self.setup.discipline {
            Discipline::RoundRobin => router.tasks.push_back(work),
            Discipline::SingleQueue { .. } => router.queue.push_back((self.now_ms, work)),
        }
    }

    /// Passes a request to a router's dispatcher.
    fn admit(&mut self, index: usize, request: Request) {
        let prompt = Prompt::new(request.parts.iter().copied(), ANSWER_TOKENS / 2);
        let arrival = Arrival {
            service: SERVICE,
            class: Class {
                customer: CustomerId(request.customer),
                rule: u16::try_from(request.kind).unwrap(),
            },
            weight: 1,
            rate: 0,
            concurrency: 0,
            queue: 512,
            hint: prompt.tokens() as u32 + ANSWER_TOKENS,
            priority: 0,
            aim: Millis(request.arrived_ms + request.target_latency_ms).max(Millis(self.now_ms)),
            prompt,
            bytes: 0,
            regions: Regions::default(),
            deadline: Millis(request.arrived_ms + 10_000),
        };
        let router = &mut self.routers[index];
        let outcome = (router.dispatcher).arrive(Millis(self.now_ms), &self.view, arrival);
        match outcome {
            Ok((handle, effects)) => {
                router.requests.insert(handle, request);
                self.apply_effects(index, effects);
            }
            Err(Rejection::Late { after_ms }) => self.reject(request, after_ms),
            Err(_) => self.reject(request, 300),
        }
    }

    /// Refuses an attempt. Its caller retries after `after_ms`, unless this was the retry.
    fn reject(&mut self, mut request: Request, after_ms: u32) {
        self.second(request.customer).refused += 1;
        if request.is_retry {
            self.tallies.entry(request.customer).or_default().refused += 1;
            return;
        }
        request.is_retry = true;
        self.sequence += 1;
        let due_ms = self.now_ms + u64::from(after_ms);
        self.retries.insert((due_ms, self.sequence), request);
    }

    /// Carries out the decisions of a router's dispatcher.
    fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Report(assignment, report) => {
                    let all = &self.view.assignments;
                    let shard = all.iter().position(|a| a.epoch == assignment.epoch);
                    self.send(Message::Report(shard.unwrap(), index, report));
                }
                Effect::Dispatch(handle, endpoint) => {
                    let request = self.routers[index].requests.get_mut(&handle).unwrap();
                    request.sent_ms = self.now_ms;
                    let engine = self.engines.get_mut(&endpoint).unwrap();
                    let tokens = request.tokens();
                    let missing = tokens - engine.cached_tokens(&request.parts);
                    engine.send((index, handle), &request.parts, missing);
                    self.tallies
                        .entry(request.customer)
                        .or_default()
                        .dispatched_tokens += tokens;
                }
                Effect::Refuse(handle, refusal) => {
                    let request = self.routers[index].requests.remove(&handle).unwrap();
                    self.keep_connection(index, request.customer);
                    self.reject(request, refusal.after_ms);
                }
                Effect::Expire(handle) | Effect::NoEndpoint(handle) => {
                    let request = self.routers[index].requests.remove(&handle).unwrap();
                    self.reject(request, 300);
                }
            }
        }
    }

    /// Advances the region by a millisecond.
    fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.retries.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let request = entry.remove();
            self.submit(request);
        }
        self.deliver();
        for index in 0..self.routers.len() {
            self.run_processor(index);
        }
        if self.now_ms.is_multiple_of(READINESS_CHECK_MS) {
            self.check_readiness();
        }
        for n in 0..self.shards.len() {
            self.run_scheduler(n);
        }
        self.run_engines();
        if self.now_ms.is_multiple_of(20) {
            self.tick();
        }
        if self.now_ms.is_multiple_of(OVERDUE_CHECK_MS) {
            self.mark_overdue();
        }
    }

    /// Runs the timers of all dispatchers and schedulers.
    fn tick(&mut self) {
        let now = Millis(self.now_ms);
        for index in 0..self.routers.len() {
            let effects = self.routers[index].dispatcher.tick(now, &self.view);
            self.apply_effects(index, effects);
        }
        for n in 0..self.shards.len() {
            let decisions = self.shards[n].scheduler.tick(now);
            self.apply_decisions(n, decisions);
            self.share_service_totals(n);
        }
    }

    /// Sends the service granted by a scheduler to all others, once a second and at a different
    /// time for each scheduler.
    fn share_service_totals(&mut self, n: usize) {
        let phase = 1000 * n / self.shards.len() / 20 * 20;
        if self.now_ms % 1000 != phase as u64 || self.shards.len() == 1 {
            return;
        }
        let totals = self.shards[n].scheduler.take_service_totals();
        for other in (0..self.shards.len()).filter(|other| *other != n) {
            self.send(Message::Totals(other, totals.clone()));
        }
    }

    /// Marks the customers with a request that waits for an engine longer than its target latency.
    fn mark_overdue(&mut self) {
        let is_overdue = |request: &&Request| {
            request.sent_ms == 0 && self.now_ms - request.attempted_ms > request.target_latency_ms
        };
        let requests = self.routers.iter().flat_map(|r| r.requests.values());
        let overdue: Vec<u32> = requests
            .filter(is_overdue)
            .map(|request| request.customer)
            .collect();
        for customer in overdue {
            self.second(customer).is_overdue = true;
        }
    }

    /// Passes a grant to a router's dispatcher.
    fn handle_grant(&mut self, index: usize, grant: Grant) {
        let effects = (self.routers[index].dispatcher).grant(Millis(self.now_ms), grant);
        self.apply_effects(index, effects);
    }

    /// Passes a scheduler's refusal to a router's dispatcher.
    fn handle_refusal(&mut self, index: usize, refusal: Refusal) {
        let effects = (self.routers[index].dispatcher).refuse(Millis(self.now_ms), refusal);
        self.apply_effects(index, effects);
    }

    /// Delivers the messages that are due. Messages to a router with a limited processor become
    /// tasks of that processor.
    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::Report(n, index, report) => {
                    self.shards[n].inbox.push_back((index, report))
                }
                Message::Grant(index, grant) => match self.setup.processor_us_per_ms {
                    Some(_) => self.enqueue(index, Task::Grant(grant)),
                    None => self.handle_grant(index, grant),
                },
                Message::Refusal(index, refusal) => match self.setup.processor_us_per_ms {
                    Some(_) => self.enqueue(index, Task::Refusal(refusal)),
                    None => self.handle_refusal(index, refusal),
                },
                Message::Totals(n, totals) => {
                    self.shards[n].scheduler.merge_service_totals(&totals)
                }
            }
        }
    }

    /// Lets a scheduler handle as many messages as its credit allows in this millisecond.
    fn run_scheduler(&mut self, n: usize) {
        let now = Millis(self.now_ms);
        let shard = &mut self.shards[n];
        shard.credit_percent = (shard.credit_percent + self.setup.messages_per_100_ms)
            .min(100 * self.setup.messages_per_100_ms);
        let mut decisions = coordination::scheduler::Effects::new();
        while shard.credit_percent >= 100 {
            let Some((index, report)) = shard.inbox.pop_front() else {
                break;
            };
            shard.credit_percent -= 100;
            if let Report::Hello(hello) = report {
                let previous = shard.sessions.get(&index).copied();
                let session = shard.scheduler.open_session(now, previous, &hello);
                shard.sessions.insert(index, session);
                continue;
            }
            shard.asks += u64::from(matches!(report, Report::Ask(_)));
            if let Some(session) = shard.sessions.get(&index) {
                decisions.extend(shard.scheduler.handle_report(now, *session, report));
            }
        }
        decisions.extend(shard.scheduler.flush(now));
        self.apply_decisions(n, decisions);
    }

    /// Sends the grants and refusals of a scheduler to the routers.
    fn apply_decisions(&mut self, n: usize, decisions: coordination::scheduler::Effects) {
        for effect in decisions {
            let router_of = |session: Session| {
                let sessions = &self.shards[n].sessions;
                let found = sessions.iter().find(|(_, s)| **s == session);
                *found.unwrap().0
            };
            match effect {
                Decision::Grant(session, grant) => {
                    let message = Message::Grant(router_of(session), grant);
                    self.send(message);
                }
                Decision::Refuse(session, refusal) => {
                    let message = Message::Refusal(router_of(session), refusal);
                    self.send(message);
                }
                Decision::RequestInventory(_) | Decision::Ejected(_) | Decision::Restored(_) => {}
            }
        }
    }

    /// Advances all engines by a millisecond, and reports first events and ends to the routers.
    fn run_engines(&mut self) {
        let now = Millis(self.now_ms);
        let mut all = Vec::new();
        for engine in self.engines.values_mut() {
            all.extend(engine.step(self.now_ms));
        }
        for progress in all {
            match progress {
                // Engines here have rates alone.
                Progress::Event(_) => {}
                Progress::FirstEvent((index, handle)) => {
                    let router = &mut self.routers[index];
                    let request = &router.requests[&handle];
                    let (customer, tokens) = (request.customer, request.tokens());
                    let is_on_time = self.now_ms - request.arrived_ms <= request.target_latency_ms;
                    let tally = self.tallies.entry(customer).or_default();
                    match is_on_time {
                        true => tally.on_time += 1,
                        false => tally.late += 1,
                    }
                    let took_ms = u32::try_from(self.now_ms - request.sent_ms).ok();
                    let effects = router.dispatcher.report_first_byte(now, handle, took_ms);
                    self.second(customer).served_tokens += tokens;
                    self.apply_effects(index, effects);
                }
                Progress::Ended((index, handle)) => {
                    let router = &mut self.routers[index];
                    let request = router.requests.remove(&handle).unwrap();
                    let cost = request.tokens() as u32 + ANSWER_TOKENS;
                    let customer = request.customer;
                    let effects = router.dispatcher.done(now, handle, cost, Verdict::Fine);
                    self.apply_effects(index, effects);
                    if self.setup.processor_us_per_ms.is_some() {
                        self.keep_connection(index, customer);
                        self.enqueue(index, Task::Relay);
                    }
                }
            }
        }
    }

    /// Runs for `ms`, in which each customer sends requests at a fraction of the engines' capacity.
    pub(crate) fn run(&mut self, ms: u64, loads: &[(u32, f64)]) {
        let rate = self.setup.capacity() / 1000.0;
        for _ in 0..ms {
            for (customer, load) in loads {
                let mut expected = load * rate;
                while expected > 0.0 {
                    if self.rng.random_bool(expected.min(1.0)) {
                        self.arrive(*customer);
                    }
                    expected -= 1.0;
                }
            }
            self.step();
        }
    }

    /// Sum of the tallies of all customers.
    pub(crate) fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.tallies.values() {
            total.requests += tally.requests;
            total.on_time += tally.on_time;
            total.late += tally.late;
            total.refused += tally.refused;
            total.dispatched_tokens += tally.dispatched_tokens;
        }
        total
    }
}
