//! A simulation of routers, schedulers and endpoints on one clock, to compare policies
//! that share endpoint slots.
//!
//! Only the decisions of routers and schedulers are real. Messages have a random delay;
//! an endpoint serves as many requests at once as it has slots, and queues the rest in
//! order of arrival.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod naive;

use coordination::dispatcher::{Arrival, Bounds, Dispatcher, Effect, Handle, Location};
use coordination::messages::{Class, Grant, Report, Verdict};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use coordination::scheduler::{self, Scheduler, Session};
use coordination::slot::Strategy;
use naive::Naive;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::config::{Cost, Endpoint, Service};
use state::id::{CustomerId, EndpointId, Epoch, Name, ServiceId, Software};
use state::view::{Assignment, Change, Node, Shard, Step, View};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// How requests are assigned to endpoint slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The policy under test: routers ask one scheduler.
    Scheduler,
    /// One queue for all requests, with known costs and no network delay.
    GlobalQueue,
    /// Round robin over the customers of each router, on the share of the slots that the
    /// router has.
    RoundRobin,
}

/// Size of a simulated fleet and the load on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    /// Number of routers.
    pub(crate) routers: usize,
    /// Number of customers. Those that are not backlogged send a request now and then.
    pub(crate) customers: u32,
    /// Number of customers that always have requests waiting.
    pub(crate) backlogged: u32,
    /// Number of endpoints.
    pub(crate) endpoints: u32,
    /// Slots of each endpoint.
    pub(crate) endpoint_slots: u32,
    /// Mean delay of a message between a router and the scheduler.
    pub(crate) delay_ms: u64,
    /// Whether routers restart and schedulers crash during the run.
    pub(crate) crashes: bool,
    /// Whether the first customer floods its routers, and no other one is backlogged.
    pub(crate) flood: bool,
    /// How the scheduler chooses among free endpoints.
    pub(crate) strategy: Strategy,
    /// Offered load as a fraction of the capacity; 0 for the load that `backlogged` and
    /// `flood` describe.
    pub(crate) load: f64,
    /// Simulated time.
    pub(crate) run_ms: u64,
}

/// Largest cost of a request, in units; one unit is a token.
const COST_MAX_UNITS: u32 = 400;
/// Requests that an endpoint may be sent beyond its slots.
const PREFETCH: u32 = 1;
/// Time in which a slot serves one unit.
const UNIT_MS: u64 = 5;
/// The only service.
const SERVICE: ServiceId = ServiceId(0);

impl Setup {
    /// Ten endpoints and 8 routers, with 6 of 16 customers backlogged.
    pub(crate) const TEN_ENDPOINTS: Setup = Setup {
        routers: 8,
        customers: 16,
        backlogged: 6,
        endpoints: 10,
        endpoint_slots: 4,
        delay_ms: 1,
        crashes: false,
        flood: false,
        strategy: Strategy::LeastLoaded,
        load: 0.0,
        run_ms: 60_000,
    };
    /// Twice the endpoints and twice the message delay of `TEN_ENDPOINTS`.
    pub(crate) const TWENTY_ENDPOINTS: Setup = Setup {
        endpoints: 20,
        delay_ms: 2,
        ..Setup::TEN_ENDPOINTS
    };

    /// Slots of all endpoints.
    pub(crate) fn slots(&self) -> u32 {
        self.endpoints * self.endpoint_slots
    }

    /// Service time of the largest request.
    pub(crate) fn cost_max_ms(&self) -> u64 {
        u64::from(COST_MAX_UNITS) * UNIT_MS
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measured {
    /// Largest gap in service between two customers that were backlogged throughout, in
    /// units of the largest request.
    pub(crate) gap: f64,
    /// Fraction of the slots in use while any request waited.
    pub(crate) utilisation: f64,
    /// Mean size of the reports and grants for one request, in bytes.
    pub(crate) bytes_per_request: f64,
    /// Longest wait of a request of a customer that sends requests now and then.
    pub(crate) occasional_wait_max_ms: u64,
    /// Requests that were served to their end.
    pub(crate) served: u64,
    /// Longest time in which a slot was free while a request waited.
    pub(crate) idle_max_ms: u64,
    /// Mean wait of a request until it was sent to an endpoint.
    pub(crate) mean_wait_ms: f64,
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "gap {:.2} utilisation {:.4} bytes/request {:.0} small wait {} ms mean wait {:.1} ms \
             served {} longest idle {} ms",
            self.gap,
            self.utilisation,
            self.bytes_per_request,
            self.occasional_wait_max_ms,
            self.mean_wait_ms,
            self.served,
            self.idle_max_ms
        )
    }
}

/// A request of a customer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) customer: CustomerId,
    /// Router that received the request.
    pub(crate) router: usize,
    /// Units of service that the request needs.
    pub(crate) cost: u32,
    /// Units of service that the router expects, wrong by a factor of up to four.
    pub(crate) hint: u32,
    /// Time of arrival.
    pub(crate) arrived_ms: u64,
}

/// A request on an endpoint.
#[derive(Clone, Copy, Debug)]
struct Execution {
    job: Job,
    /// The request at its router's dispatcher; `None` under a naive policy.
    handle: Option<Handle>,
    /// Incarnation of the router that sent the request.
    incarnation: u64,
    /// Units served so far.
    served_units: u32,
}

/// A message between a router and the scheduler.
enum Message {
    /// Router, epoch of the scheduler that the report is for, and the report.
    ToScheduler(usize, u64, Report),
    /// Router, its incarnation when the grant was sent, and the grant.
    ToRouter(usize, u64, Grant),
}

/// A router with its requests.
struct Router {
    dispatcher: Dispatcher,
    /// Grows with each restart.
    incarnation: u64,
    /// Requests that have not ended.
    jobs: BTreeMap<Handle, Job>,
}

/// A simulated fleet.
pub(crate) struct Fleet {
    setup: Setup,
    policy: Policy,
    rng: Pcg64,
    now_ms: u64,
    view: View,
    routers: Vec<Router>,
    scheduler: Scheduler,
    /// Session of each router with the scheduler.
    sessions: BTreeMap<usize, Session>,
    /// Messages in flight, by the time of their delivery and the number of the message.
    messages: BTreeMap<(u64, u64), Message>,
    /// Number of the last message.
    last_message: u64,
    /// Time of the last delivery on each link, by whether it leads to the scheduler and
    /// by the router.
    last_delivery_ms: BTreeMap<(bool, usize), u64>,
    /// Time at which the next scheduler replaces one that crashed.
    down_until_ms: u64,
    naive: Naive,
    /// Requests on each endpoint: first those in its slots, then those queued there.
    endpoints: Vec<VecDeque<Execution>>,
    /// Units received by each customer.
    received: BTreeMap<CustomerId, u64>,
    /// Units that each customer had received when the measurement of the gap began.
    baseline: BTreeMap<CustomerId, u64>,
    /// Requests of each customer that have not been sent to an endpoint.
    waiting: BTreeMap<CustomerId, u32>,
    /// Routers to which each customer sends requests.
    routers_by_customer: BTreeMap<CustomerId, Vec<usize>>,
    measured: Measured,
    /// Sum of the slots in use over all measurements with waiting requests.
    busy_slots: u64,
    /// Sum of all slots over the same measurements.
    total_slots: u64,
    /// Sum of the waits of all requests.
    total_wait_ms: u64,
    /// Since when a slot has been free while requests wait.
    idle_since_ms: Option<u64>,
    /// Encoded size of all reports and grants.
    message_bytes: u64,
}

impl Fleet {
    /// A fleet with the load and the delays that follow from `seed`.
    pub(crate) fn new(setup: Setup, policy: Policy, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let view = view(&setup);
        let routers = (0..setup.routers).map(|n| router(n, 1)).collect();
        // Customers are spread unevenly: each third one uses a single router, the others up
        // to four.
        let routers_by_customer = (0..setup.customers)
            .map(|c| {
                let count = if c % 3 == 0 {
                    1
                } else {
                    rng.random_range(1..=4)
                };
                let routers = (0..count).map(|_| rng.random_range(0..setup.routers));
                (CustomerId(c), routers.collect())
            })
            .collect();
        let mut scheduler = Scheduler::with_strategy(Epoch(1), Millis(0), setup.strategy);
        add_endpoints(&mut scheduler, &setup);
        Fleet {
            setup,
            policy,
            rng,
            now_ms: 0,
            view,
            routers,
            scheduler,
            sessions: BTreeMap::new(),
            messages: BTreeMap::new(),
            last_message: 0,
            last_delivery_ms: BTreeMap::new(),
            down_until_ms: 0,
            naive: Naive::new(policy, setup.routers, setup.endpoints, setup.endpoint_slots),
            endpoints: vec![VecDeque::new(); setup.endpoints as usize],
            received: BTreeMap::new(),
            baseline: BTreeMap::new(),
            waiting: BTreeMap::new(),
            routers_by_customer,
            measured: Measured::default(),
            busy_slots: 0,
            total_slots: 0,
            total_wait_ms: 0,
            idle_since_ms: None,
            message_bytes: 0,
        }
    }

    /// Runs the simulation in steps of a millisecond.
    pub(crate) fn run(mut self) -> Measured {
        if self.policy == Policy::Scheduler {
            let vm = Name::try_from("s").unwrap();
            for n in 0..self.routers.len() {
                let effects = self.routers[n].dispatcher.link_up(Millis(0), &vm);
                self.apply(n, effects);
            }
        }
        while self.now_ms < self.setup.run_ms {
            self.now_ms += 1;
            if self.now_ms == self.down_until_ms {
                self.reassign();
            }
            self.generate_load();
            self.deliver();
            if self.now_ms.is_multiple_of(20) {
                self.tick();
            }
            if self.policy != Policy::Scheduler {
                self.fill_slots();
            }
            if self.now_ms.is_multiple_of(UNIT_MS) {
                self.serve();
                self.measure();
            }
            if self.setup.crashes && self.now_ms.is_multiple_of(5000) {
                self.crash();
            }
        }
        self.measured.utilisation = self.busy_slots as f64 / self.total_slots.max(1) as f64;
        self.measured.bytes_per_request =
            self.message_bytes as f64 / self.measured.served.max(1) as f64;
        self.measured.mean_wait_ms = self.total_wait_ms as f64 / self.measured.served.max(1) as f64;
        self.measured
    }

    /// Current simulated time.
    fn now(&self) -> Millis {
        Millis(self.now_ms)
    }

    /// Sends the requests of this millisecond: backlogged customers keep a number of
    /// requests waiting, others send a request now and then.
    fn generate_load(&mut self) {
        if self.setup.load > 0.0 {
            let mean_ms = f64::from(COST_MAX_UNITS) * 0.5 * UNIT_MS as f64;
            let rate = self.setup.load * f64::from(self.setup.slots()) / mean_ms;
            if self.rng.random_bool(rate.min(1.0)) {
                let customer = CustomerId(self.rng.random_range(0..self.setup.customers));
                self.send(customer);
            }
            return;
        }
        for c in 0..self.setup.backlogged {
            let customer = CustomerId(c);
            let floods = self.setup.flood && c == 0;
            let target = if floods { 400 } else { self.setup.slots() / 2 };
            let pauses = self.setup.flood && c > 0;
            while !pauses && self.waiting.get(&customer).copied().unwrap_or(0) < target {
                if !self.send(customer) {
                    break;
                }
            }
        }
        // On average one request in 500 ms from all other customers together.
        let occasional = self.setup.backlogged..self.setup.customers;
        if !occasional.is_empty() && self.rng.random_bool(0.002) {
            let customer = CustomerId(self.rng.random_range(occasional));
            self.send(customer);
        }
    }

    /// Sends a request of a customer to one of its routers; false if the router refused it.
    fn send(&mut self, customer: CustomerId) -> bool {
        let routers = &self.routers_by_customer[&customer];
        let router = routers[self.rng.random_range(0..routers.len())];
        // Half of the customers send only large requests, the other half only small ones.
        let large = customer.0.is_multiple_of(2);
        let cost = if large {
            self.rng.random_range(COST_MAX_UNITS / 2..=COST_MAX_UNITS)
        } else {
            self.rng.random_range(1..=COST_MAX_UNITS / 2)
        };
        let error = self.rng.random_range(0.25..4.0);
        let job = Job {
            customer,
            router,
            cost,
            hint: ((f64::from(cost) * error) as u32).clamp(1, COST_MAX_UNITS),
            arrived_ms: self.now_ms,
        };
        if self.policy != Policy::Scheduler {
            self.naive.push(job);
            *self.waiting.entry(customer).or_default() += 1;
            return true;
        }
        let arrival = Arrival {
            service: SERVICE,
            class: Class { customer, rule: 0 },
            weight: 1,
            rate: 0,
            concurrency: 0,
            queue: 1000,
            hint: job.hint,
            priority: 0,
            aim: Millis(u64::MAX),
            prompt: Prompt::default(),
            bytes: 0,
            regions: Regions::default(),
            deadline: Millis(u64::MAX),
        };
        let now = self.now();
        let router = &mut self.routers[job.router];
        let Ok((handle, effects)) = router.dispatcher.arrive(now, &self.view, arrival) else {
            return false;
        };
        router.jobs.insert(handle, job);
        *self.waiting.entry(customer).or_default() += 1;
        self.apply(job.router, effects);
        true
    }

    /// Sends a message, to be delivered after a random delay.
    fn send_message(&mut self, message: Message) {
        let delay_ms = self.rng.random_range(1..=self.setup.delay_ms * 2);
        self.last_message += 1;
        // Messages on one link are delivered in order.
        let link = match &message {
            Message::ToScheduler(router, ..) => (true, *router),
            Message::ToRouter(router, ..) => (false, *router),
        };
        let delivery_ms = self.last_delivery_ms.entry(link).or_default();
        *delivery_ms = (*delivery_ms).max(self.now_ms + delay_ms);
        self.messages
            .insert((*delivery_ms, self.last_message), message);
    }

    /// Carries out the effects of a router's dispatcher.
    fn apply(&mut self, router: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Report(assignment, report) => {
                    self.message_bytes += encoded_bytes(&report);
                    self.send_message(Message::ToScheduler(router, assignment.epoch.0, report));
                }
                Effect::Dispatch(handle, endpoint) => {
                    let sender = &mut self.routers[router];
                    let job = sender.jobs[&handle];
                    let execution = Execution {
                        job,
                        handle: Some(handle),
                        incarnation: sender.incarnation,
                        served_units: 0,
                    };
                    self.dispatch(execution, endpoint.0 as usize);
                }
                Effect::Expire(_) | Effect::Refuse(..) | Effect::NoEndpoint(_) => {}
            }
        }
    }

    /// Puts a request on an endpoint.
    fn dispatch(&mut self, execution: Execution, endpoint: usize) {
        let customer = execution.job.customer;
        let wait_ms = self.now_ms - execution.job.arrived_ms;
        self.total_wait_ms += wait_ms;
        *self.waiting.entry(customer).or_default() -= 1;
        // The first 2 s are a warm-up.
        if customer.0 >= self.setup.backlogged && self.now_ms > 2000 {
            self.measured.occasional_wait_max_ms =
                self.measured.occasional_wait_max_ms.max(wait_ms);
        }
        self.endpoints[endpoint].push_back(execution);
    }

    /// Delivers all messages that are due. A message to an earlier scheduler or an earlier
    /// incarnation of a router is lost.
    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::ToScheduler(router, epoch, report) => {
                    if self.now_ms >= self.down_until_ms && Epoch(epoch) == self.scheduler.epoch() {
                        self.report(router, report);
                    }
                }
                Message::ToRouter(router, incarnation, grant) => {
                    if self.routers[router].incarnation == incarnation {
                        let now = self.now();
                        let effects = self.routers[router].dispatcher.grant(now, grant);
                        self.apply(router, effects);
                    }
                }
            }
        }
    }

    /// Hands a report to the scheduler.
    fn report(&mut self, router: usize, report: Report) {
        let now = self.now();
        let session = self.sessions.get(&router).copied();
        if let Report::Hello(hello) = report {
            let opened = self.scheduler.open_session(now, session, &hello);
            self.sessions.insert(router, opened);
            return;
        }
        if let Some(session) = session {
            let effects = self.scheduler.handle_report(now, session, report);
            self.send_grants(effects);
        }
    }

    /// Sends the grants among the effects of the scheduler.
    fn send_grants(&mut self, effects: scheduler::Effects) {
        for effect in effects {
            let scheduler::Effect::Grant(session, grant) = effect else {
                continue;
            };
            // Encoded size of a grant.
            self.message_bytes += 21;
            let router = self
                .sessions
                .iter()
                .find(|(_, s)| **s == session)
                .map(|(r, _)| *r);
            if let Some(router) = router {
                let incarnation = self.routers[router].incarnation;
                self.send_message(Message::ToRouter(router, incarnation, grant));
            }
        }
    }

    /// Runs the timers of the scheduler and of all routers.
    fn tick(&mut self) {
        let now = self.now();
        if self.now_ms >= self.down_until_ms {
            let effects = self.scheduler.tick(now);
            self.send_grants(effects);
        }
        if self.policy == Policy::Scheduler {
            for n in 0..self.routers.len() {
                let effects = self.routers[n].dispatcher.tick(now, &self.view);
                self.apply(n, effects);
            }
        }
    }

    /// Fills free slots under a naive policy.
    fn fill_slots(&mut self) {
        let busy: Vec<u32> = self.endpoints.iter().map(|e| e.len() as u32).collect();
        for (job, endpoint) in self.naive.fill_slots(&busy) {
            let execution = Execution {
                job,
                handle: None,
                incarnation: 0,
                served_units: 0,
            };
            self.dispatch(execution, endpoint);
        }
    }

    /// Serves one unit of each request that has a slot.
    fn serve(&mut self) {
        let slots = self.setup.endpoint_slots as usize;
        let mut ended = Vec::new();
        let mut running = Vec::new();
        for endpoint in &mut self.endpoints {
            for execution in endpoint.iter_mut().take(slots) {
                execution.served_units += 1;
                *self.received.entry(execution.job.customer).or_default() += 1;
                running.push(*execution);
            }
            let mut kept = VecDeque::new();
            for execution in endpoint.drain(..) {
                if execution.served_units >= execution.job.cost {
                    ended.push(execution);
                } else {
                    kept.push_back(execution);
                }
            }
            *endpoint = kept;
        }
        for execution in running.into_iter().filter(|e| e.served_units < e.job.cost) {
            self.report_progress(execution, false);
        }
        for execution in ended {
            self.measured.served += 1;
            self.report_progress(execution, true);
        }
    }

    /// Reports the progress or the end of a request to its router.
    fn report_progress(&mut self, execution: Execution, ended: bool) {
        let router = execution.job.router;
        let Some(handle) = execution.handle else {
            if ended {
                self.naive.release(execution.job);
            }
            return;
        };
        let now = self.now();
        let receiver = &mut self.routers[router];
        if receiver.incarnation != execution.incarnation {
            return;
        }
        let effects = if ended {
            receiver.jobs.remove(&handle);
            receiver
                .dispatcher
                .done(now, handle, execution.served_units, Verdict::Fine)
        } else {
            receiver
                .dispatcher
                .progress(now, handle, execution.served_units)
        };
        self.apply(router, effects);
    }

    /// Updates the results, after a warm-up of 2 s.
    fn measure(&mut self) {
        if self.now_ms < 2000 {
            return;
        }
        let slots = self.setup.endpoint_slots as usize;
        let waiting = self.waiting.values().any(|n| *n > 0);
        if waiting {
            let busy: usize = self.endpoints.iter().map(|e| e.len().min(slots)).sum();
            self.busy_slots += busy as u64;
            self.total_slots += u64::from(self.setup.slots());
            if busy < self.setup.slots() as usize {
                let since_ms = *self.idle_since_ms.get_or_insert(self.now_ms);
                let idle_ms = self.now_ms - since_ms + UNIT_MS;
                self.measured.idle_max_ms = self.measured.idle_max_ms.max(idle_ms);
            } else {
                self.idle_since_ms = None;
            }
        } else {
            self.idle_since_ms = None;
        }
        if self.setup.flood || self.setup.load > 0.0 {
            return;
        }
        if self.baseline.is_empty() {
            self.baseline = self.received.clone();
        }
        let gains: Vec<u64> = (0..self.setup.backlogged)
            .map(|c| {
                let c = CustomerId(c);
                let units = self.received.get(&c).copied().unwrap_or(0);
                units - self.baseline.get(&c).copied().unwrap_or(0)
            })
            .collect();
        let most = gains.iter().max().copied().unwrap_or(0);
        let least = gains.iter().min().copied().unwrap_or(0);
        let gap = (most - least) as f64 / f64::from(COST_MAX_UNITS);
        self.measured.gap = self.measured.gap.max(gap);
    }

    /// Restarts a random router without state, or crashes the scheduler, in turn.
    fn crash(&mut self) {
        if self.policy != Policy::Scheduler {
            return;
        }
        if self.now_ms.is_multiple_of(10_000) {
            let n = self.rng.random_range(0..self.routers.len());
            self.restart_router(n);
        } else {
            self.crash_scheduler();
        }
    }

    /// Restarts a router without state.
    fn restart_router(&mut self, n: usize) {
        let dispatched: Vec<Handle> = (self.endpoints.iter().flatten())
            .filter(|e| e.job.router == n)
            .filter_map(|e| e.handle)
            .collect();
        for (handle, job) in &self.routers[n].jobs {
            if !dispatched.contains(handle) {
                *self.waiting.entry(job.customer).or_default() -= 1;
            }
        }
        // The requests that the router has sent end with its connections.
        for endpoint in &mut self.endpoints {
            endpoint.retain(|e| e.job.router != n);
        }
        let incarnation = self.routers[n].incarnation + 1;
        self.routers[n] = router(n, incarnation);
        if let Some(session) = self.sessions.get(&n) {
            self.scheduler.close_session(Millis(self.now_ms), *session);
        }
        let vm = Name::try_from("s").unwrap();
        let now = self.now();
        let effects = self.routers[n].dispatcher.link_up(now, &vm);
        self.apply(n, effects);
    }

    /// Crashes the scheduler. The next one is assigned a second later.
    fn crash_scheduler(&mut self) {
        let epoch = Epoch(self.scheduler.epoch().0 + 1);
        let vm = Name::try_from("s").unwrap();
        let now = self.now();
        for router in &mut self.routers {
            router.dispatcher.link_down(now, &vm);
        }
        self.down_until_ms = self.now_ms + 1000;
        let start = Millis(self.down_until_ms);
        self.scheduler = Scheduler::with_strategy(epoch, start, self.setup.strategy);
        add_endpoints(&mut self.scheduler, &self.setup);
        self.sessions.clear();
    }

    /// Assigns the next scheduler, and opens links from all routers to it.
    fn reassign(&mut self) {
        let now = self.now();
        let vm = Name::try_from("s").unwrap();
        let step = Step {
            version: state::id::Version(self.view.version.0 + 1),
            change: Change::Assignment(assignment(self.scheduler.epoch())),
        };
        self.view.apply_step(&step);
        for n in 0..self.routers.len() {
            let effects = self.routers[n].dispatcher.update_view(now, &self.view);
            self.apply(n, effects);
            let effects = self.routers[n].dispatcher.link_up(now, &vm);
            self.apply(n, effects);
        }
    }
}

/// Approximate encoded size of a report, in bytes.
fn encoded_bytes(report: &Report) -> u64 {
    match report {
        Report::Hello(hello) => 12 + 12 * hello.held.len() as u64 + 8 * hello.usage.len() as u64,
        Report::Ask(_) => 14,
        Report::Withdraw(_) | Report::Return(_) => 3,
        Report::Progress(..) | Report::FirstByte(..) => 5,
        Report::Done(..) => 6,
        Report::Backoff(_) => 9,
        Report::StreamAsk(..) => 17,
        Report::ResumedAsk(..) => 18,
        Report::ContinuedAsk(..) => 19,
        Report::Pauses(pauses) => 1 + 6 * pauses.len() as u64,
        Report::Speed(_) => 9,
        Report::Bounds(bounds) => 1 + 5 * bounds.len() as u64,
    }
}

/// The assignment of the only shard to the scheduler of `epoch`.
fn assignment(epoch: Epoch) -> Assignment {
    Assignment {
        shard: Shard {
            data_centre: None,
            service: SERVICE,
            region: Name::try_from("main").unwrap(),
            cell: None,
        },
        node: Node {
            vm: Name::try_from("s").unwrap(),
            address: "127.0.0.1:7001".parse().unwrap(),
        },
        epoch,
    }
}

/// A view with all endpoints and the first scheduler.
fn view(setup: &Setup) -> View {
    let mut view = View::default();
    let name = |text: &str| Name::try_from(text).unwrap();
    let service = Service {
        name: name("assistant"),
        cost: Cost::Event,
        estimate: 100,
        timeout_ms: 60_000,
        idempotent: true,
        load: None,
        connections: None,
        engine: None,
        cold: None,
    };
    view.config.services.insert(SERVICE, service);
    for n in 0..setup.endpoints {
        let endpoint = Endpoint {
            name: name(&format!("e{n}")),
            service: name("assistant"),
            address: "127.0.0.1:9001".parse().unwrap(),
            data_centre: name("dc"),
            region: name("main"),
            slots: setup.endpoint_slots,
            prefetch: PREFETCH,
            software: Software::UNSTATED,
        };
        view.config.endpoints.insert(EndpointId(n), endpoint);
    }
    view.assignments.push(assignment(Epoch(1)));
    view
}

/// Adds all endpoints to a new scheduler.
fn add_endpoints(scheduler: &mut Scheduler, setup: &Setup) {
    for n in 0..setup.endpoints {
        scheduler
            .slots()
            .set(EndpointId(n), setup.endpoint_slots, PREFETCH, false);
    }
}

/// Router `n` without any requests.
fn router(n: usize, incarnation: u64) -> Router {
    let bounds = Bounds {
        requests: 100_000,
        bytes: u64::MAX,
    };
    let location = Location {
        region: Name::try_from("main").unwrap(),
        data_centre: Name::try_from("dc").unwrap(),
        incarnation: (n as u64) << 32 | incarnation,
    };
    let dispatcher = Dispatcher::new(location, bounds);
    Router {
        dispatcher,
        incarnation,
        jobs: BTreeMap::new(),
    }
}
