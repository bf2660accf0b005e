//! Routers, schedulers and endpoints in one clock, to compare ways to share.
//!
//! Only the pure decisions run; messages take a while, endpoints serve a batch
//! of slots and keep what is sent beyond it in order.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod naive;

use coordination::dispatcher::{Arrival, Bounds, Dispatcher, Effect, Handle, Location};
use coordination::messages::{Class, Grant, Report, Verdict};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use coordination::scheduler::{Effect as Given, Scheduler, Session};
use coordination::slot::Strategy;
use naive::Naive;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::config::{Cost, Endpoint, Service};
use state::id::{CustomerId, EndpointId, Epoch, Name, ServiceId};
use state::view::{Assignment, Change, Node, Shard, Step, View};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// A way to share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Ours: routers ask one scheduler.
    Scheduler,
    /// One queue for all, costs known, no way to go.
    GlobalQueue,
    /// Each router takes turns among its customers, on its part of the slots.
    RoundRobin,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    pub(crate) customers: u32,
    pub(crate) backlogged: u32,
    pub(crate) endpoints: u32,
    pub(crate) batch: u32,
    pub(crate) delay_ms: u64,
    pub(crate) crashes: bool,
    pub(crate) flood: bool,
    pub(crate) choice: Strategy,
    /// Part of the capacity that is asked for, where nobody is backlogged.
    pub(crate) load: f64,
    pub(crate) run_ms: u64,
}

/// Largest cost of a request, in units; one unit is a token.
const COST_MAX: u32 = 400;
const LEAD: u32 = 1;
/// Milliseconds for a unit.
const UNIT_MS: u64 = 5;
const SERVICE: ServiceId = ServiceId(0);

impl Setup {
    pub(crate) const FAELLESBOOKING: Setup = Setup {
        routers: 8,
        customers: 16,
        backlogged: 6,
        endpoints: 10,
        batch: 4,
        delay_ms: 1,
        crashes: false,
        flood: false,
        choice: Strategy::LeastLoaded,
        load: 0.0,
        run_ms: 60_000,
    };
    pub(crate) const PATTES: Setup = Setup {
        endpoints: 20,
        delay_ms: 2,
        ..Setup::FAELLESBOOKING
    };

    pub(crate) fn slots(&self) -> u32 {
        self.endpoints * self.batch
    }

    pub(crate) fn cost_max_ms(&self) -> u64 {
        u64::from(COST_MAX) * UNIT_MS
    }
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measured {
    /// Largest gap in service between two customers that both waited all the
    /// while, in units of the largest request.
    pub(crate) gap: f64,
    /// Part of slot time in use while anyone waited.
    pub(crate) utilisation: f64,
    /// Bytes of reports and grants for a request, by their encoding.
    pub(crate) bytes: f64,
    /// Longest wait of a customer that asks now and then.
    pub(crate) small_wait_ms: u64,
    pub(crate) served: u64,
    /// Longest time in which a slot was free while someone waited.
    pub(crate) idle_ms: u64,
    /// Mean wait and most requests on one endpoint.
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
            self.bytes,
            self.small_wait_ms,
            self.mean_wait_ms,
            self.served,
            self.idle_ms
        )
    }
}

/// A request of a customer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) customer: CustomerId,
    pub(crate) router: usize,
    pub(crate) cost: u32,
    pub(crate) hint: u32,
    pub(crate) arrived: u64,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    job: Job,
    handle: Option<Handle>,
    incarnation: u64,
    done: u32,
}

enum Mail {
    ToScheduler(usize, u64, Report),
    ToRouter(usize, u64, Grant),
}

struct Router {
    dispatcher: Dispatcher,
    incarnation: u64,
    jobs: BTreeMap<Handle, Job>,
}

pub(crate) struct Fleet {
    setup: Setup,
    policy: Policy,
    rng: Pcg64,
    now: u64,
    view: View,
    routers: Vec<Router>,
    scheduler: Scheduler,
    sessions: BTreeMap<usize, Session>,
    mail: BTreeMap<(u64, u64), Mail>,
    mails: u64,
    last_mail: BTreeMap<(bool, usize), u64>,
    down_until: u64,
    naive: Naive,
    /// Requests on each endpoint: the batch first, then what waits there.
    endpoints: Vec<VecDeque<Work>>,
    /// Units received by each customer.
    received: BTreeMap<CustomerId, u64>,
    /// Gap of each pair at its last start, to measure growth from there.
    start: BTreeMap<CustomerId, u64>,
    waiting: BTreeMap<CustomerId, u32>,
    homes: BTreeMap<CustomerId, Vec<usize>>,
    measured: Measured,
    busy: u64,
    possible: u64,
    waits: u64,
    idle_since: Option<u64>,
    bytes: u64,
}

impl Fleet {
    pub(crate) fn new(setup: Setup, policy: Policy, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let view = view(&setup);
        let routers = (0..setup.routers).map(|n| router(n, 1)).collect();
        // Uneven: a large partner sits on one router, small ones on a few.
        let homes = (0..setup.customers)
            .map(|c| {
                let count = if c % 3 == 0 {
                    1
                } else {
                    rng.random_range(1..=4)
                };
                let homes = (0..count).map(|_| rng.random_range(0..setup.routers));
                (CustomerId(c), homes.collect())
            })
            .collect();
        let mut scheduler = Scheduler::with_strategy(Epoch(1), Millis(0), setup.choice);
        arm(&mut scheduler, &setup);
        Fleet {
            setup,
            policy,
            rng,
            now: 0,
            view,
            routers,
            scheduler,
            sessions: BTreeMap::new(),
            mail: BTreeMap::new(),
            mails: 0,
            last_mail: BTreeMap::new(),
            down_until: 0,
            naive: Naive::new(policy, setup.routers, setup.endpoints, setup.batch),
            endpoints: vec![VecDeque::new(); setup.endpoints as usize],
            received: BTreeMap::new(),
            start: BTreeMap::new(),
            waiting: BTreeMap::new(),
            homes,
            measured: Measured::default(),
            busy: 0,
            possible: 0,
            waits: 0,
            idle_since: None,
            bytes: 0,
        }
    }

    pub(crate) fn run(mut self) -> Measured {
        if self.policy == Policy::Scheduler {
            let me = Name::try_from("s").unwrap();
            for n in 0..self.routers.len() {
                let effects = self.routers[n].dispatcher.link_up(Millis(0), &me);
                self.act(n, effects);
            }
        }
        while self.now < self.setup.run_ms {
            self.now += 1;
            if self.now == self.down_until {
                self.reassign();
            }
            self.arrive();
            self.carry_mail();
            if self.now.is_multiple_of(20) {
                self.tick();
            }
            if self.policy != Policy::Scheduler {
                self.place_naive();
            }
            if self.now.is_multiple_of(UNIT_MS) {
                self.work();
                self.measure();
            }
            if self.setup.crashes && self.now.is_multiple_of(5000) {
                self.crash();
            }
        }
        self.measured.utilisation = self.busy as f64 / self.possible.max(1) as f64;
        self.measured.bytes = self.bytes as f64 / self.measured.served.max(1) as f64;
        self.measured.mean_wait_ms = self.waits as f64 / self.measured.served.max(1) as f64;
        self.measured
    }

    fn now(&self) -> Millis {
        Millis(self.now)
    }

    /// Backlogged customers keep a few requests waiting; others ask at times.
    fn arrive(&mut self) {
        if self.setup.load > 0.0 {
            let mean = f64::from(COST_MAX) * 0.5 * UNIT_MS as f64;
            let rate = self.setup.load * f64::from(self.setup.slots()) / mean;
            if self.rng.random_bool(rate.min(1.0)) {
                let customer = CustomerId(self.rng.random_range(0..self.setup.customers));
                self.send(customer);
            }
            return;
        }
        for c in 0..self.setup.backlogged {
            let customer = CustomerId(c);
            let floods = self.setup.flood && c == 0;
            let keep = if floods { 400 } else { self.setup.slots() / 2 };
            let few = self.setup.flood && c > 0;
            while !few && self.waiting.get(&customer).copied().unwrap_or(0) < keep {
                if !self.send(customer) {
                    break;
                }
            }
        }
        let rare = self.setup.backlogged..self.setup.customers;
        if !rare.is_empty() && self.rng.random_bool(0.002) {
            let customer = CustomerId(self.rng.random_range(rare));
            self.send(customer);
        }
    }

    fn send(&mut self, customer: CustomerId) -> bool {
        let homes = &self.homes[&customer];
        let router = homes[self.rng.random_range(0..homes.len())];
        // A customer's requests are alike: some have long ones, some short ones.
        let large = customer.0.is_multiple_of(2);
        let cost = if large {
            self.rng.random_range(COST_MAX / 2..=COST_MAX)
        } else {
            self.rng.random_range(1..=COST_MAX / 2)
        };
        let error = self.rng.random_range(0.25..4.0);
        let job = Job {
            customer,
            router,
            cost,
            hint: ((f64::from(cost) * error) as u32).clamp(1, COST_MAX),
            arrived: self.now,
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
        self.act(job.router, effects);
        true
    }

    fn post(&mut self, mail: Mail) {
        let delay = self.rng.random_range(1..=self.setup.delay_ms * 2);
        self.mails += 1;
        // One link keeps its order: later mail never overtakes.
        let link = match &mail {
            Mail::ToScheduler(router, ..) => (true, *router),
            Mail::ToRouter(router, ..) => (false, *router),
        };
        let last = self.last_mail.entry(link).or_default();
        *last = (*last).max(self.now + delay);
        self.mail.insert((*last, self.mails), mail);
    }

    fn act(&mut self, router: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Report(assignment, report) => {
                    self.bytes += size(&report);
                    self.post(Mail::ToScheduler(router, assignment.epoch.0, report));
                }
                Effect::Dispatch(handle, endpoint) => {
                    let from = &mut self.routers[router];
                    let job = from.jobs[&handle];
                    let work = Work {
                        job,
                        handle: Some(handle),
                        incarnation: from.incarnation,
                        done: 0,
                    };
                    self.dispatch(work, endpoint.0 as usize);
                }
                Effect::Expire(_) | Effect::Refuse(..) | Effect::Unserved(_) => {}
            }
        }
    }

    fn dispatch(&mut self, work: Work, endpoint: usize) {
        let customer = work.job.customer;
        let waited = self.now - work.job.arrived;
        self.waits += waited;
        *self.waiting.entry(customer).or_default() -= 1;
        if customer.0 >= self.setup.backlogged && self.now > 2000 {
            self.measured.small_wait_ms = self.measured.small_wait_ms.max(waited);
        }
        self.endpoints[endpoint].push_back(work);
    }

    fn carry_mail(&mut self) {
        while let Some(entry) = self.mail.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Mail::ToScheduler(router, epoch, report) => {
                    if self.now >= self.down_until && Epoch(epoch) == self.scheduler.epoch() {
                        self.report(router, report);
                    }
                }
                Mail::ToRouter(router, incarnation, grant) => {
                    if self.routers[router].incarnation == incarnation {
                        let now = self.now();
                        let effects = self.routers[router].dispatcher.grant(now, grant);
                        self.act(router, effects);
                    }
                }
            }
        }
    }

    fn report(&mut self, router: usize, report: Report) {
        let now = self.now();
        let session = self.sessions.get(&router).copied();
        if let Report::Hello(hello) = report {
            let opened = self.scheduler.open_session(now, session, &hello);
            self.sessions.insert(router, opened);
            return;
        }
        if let Some(session) = session {
            let given = self.scheduler.handle_report(now, session, report);
            self.give(given);
        }
    }

    fn give(&mut self, given: coordination::scheduler::Effects) {
        for effect in given {
            let Given::Grant(session, grant) = effect else {
                continue;
            };
            self.bytes += 21;
            let router = self
                .sessions
                .iter()
                .find(|(_, s)| **s == session)
                .map(|(r, _)| *r);
            if let Some(router) = router {
                let incarnation = self.routers[router].incarnation;
                self.post(Mail::ToRouter(router, incarnation, grant));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.now >= self.down_until {
            let given = self.scheduler.tick(now);
            self.give(given);
        }
        if self.policy == Policy::Scheduler {
            for n in 0..self.routers.len() {
                let effects = self.routers[n].dispatcher.tick(now, &self.view);
                self.act(n, effects);
            }
        }
    }

    fn place_naive(&mut self) {
        let busy: Vec<u32> = self.endpoints.iter().map(|e| e.len() as u32).collect();
        for (job, endpoint) in self.naive.place(&busy) {
            let work = Work {
                job,
                handle: None,
                incarnation: 0,
                done: 0,
            };
            self.dispatch(work, endpoint);
        }
    }

    /// Each request in a batch receives one unit.
    fn work(&mut self) {
        let batch = self.setup.batch as usize;
        let mut ended = Vec::new();
        let mut grown = Vec::new();
        for endpoint in &mut self.endpoints {
            for work in endpoint.iter_mut().take(batch) {
                work.done += 1;
                *self.received.entry(work.job.customer).or_default() += 1;
                grown.push(*work);
            }
            let mut kept = VecDeque::new();
            for work in endpoint.drain(..) {
                if work.done >= work.job.cost {
                    ended.push(work);
                } else {
                    kept.push_back(work);
                }
            }
            *endpoint = kept;
        }
        for work in grown.into_iter().filter(|w| w.done < w.job.cost) {
            self.tell(work, false);
        }
        for work in ended {
            self.measured.served += 1;
            self.tell(work, true);
        }
    }

    fn tell(&mut self, work: Work, ended: bool) {
        let router = work.job.router;
        let Some(handle) = work.handle else {
            if ended {
                self.naive.ended(work.job);
            }
            return;
        };
        let now = self.now();
        let to = &mut self.routers[router];
        if to.incarnation != work.incarnation {
            return;
        }
        let effects = if ended {
            to.jobs.remove(&handle);
            to.dispatcher.done(now, handle, work.done, Verdict::Fine)
        } else {
            to.dispatcher.progress(now, handle, work.done)
        };
        self.act(router, effects);
    }

    fn measure(&mut self) {
        if self.now < 2000 {
            return;
        }
        let batch = self.setup.batch as usize;
        let waiting = self.waiting.values().any(|n| *n > 0);
        if waiting {
            let busy: usize = self.endpoints.iter().map(|e| e.len().min(batch)).sum();
            self.busy += busy as u64;
            self.possible += u64::from(self.setup.slots());
            if busy < self.setup.slots() as usize {
                let since = *self.idle_since.get_or_insert(self.now);
                let idle = self.now - since + UNIT_MS;
                self.measured.idle_ms = self.measured.idle_ms.max(idle);
            } else {
                self.idle_since = None;
            }
        } else {
            self.idle_since = None;
        }
        if self.setup.flood || self.setup.load > 0.0 {
            return;
        }
        if self.start.is_empty() {
            self.start = self.received.clone();
        }
        let gained: Vec<u64> = (0..self.setup.backlogged)
            .map(|c| {
                let c = CustomerId(c);
                let now = self.received.get(&c).copied().unwrap_or(0);
                now - self.start.get(&c).copied().unwrap_or(0)
            })
            .collect();
        let most = gained.iter().max().copied().unwrap_or(0);
        let least = gained.iter().min().copied().unwrap_or(0);
        let gap = (most - least) as f64 / f64::from(COST_MAX);
        self.measured.gap = self.measured.gap.max(gap);
    }

    /// Restarts a router with no memory, or loses the scheduler.
    fn crash(&mut self) {
        if self.policy != Policy::Scheduler {
            return;
        }
        if self.now.is_multiple_of(10_000) {
            let n = self.rng.random_range(0..self.routers.len());
            self.restart_router(n);
        } else {
            self.lose_scheduler();
        }
    }

    fn restart_router(&mut self, n: usize) {
        let sent: Vec<Handle> = (self.endpoints.iter().flatten())
            .filter(|w| w.job.router == n)
            .filter_map(|w| w.handle)
            .collect();
        for (handle, job) in &self.routers[n].jobs {
            if !sent.contains(handle) {
                *self.waiting.entry(job.customer).or_default() -= 1;
            }
        }
        // Its connections die with it, and with them what it had sent.
        for endpoint in &mut self.endpoints {
            endpoint.retain(|w| w.job.router != n);
        }
        let incarnation = self.routers[n].incarnation + 1;
        self.routers[n] = router(n, incarnation);
        if let Some(session) = self.sessions.get(&n) {
            self.scheduler.close_session(Millis(self.now), *session);
        }
        let me = Name::try_from("s").unwrap();
        let now = self.now();
        let effects = self.routers[n].dispatcher.link_up(now, &me);
        self.act(n, effects);
    }

    fn lose_scheduler(&mut self) {
        let epoch = Epoch(self.scheduler.epoch().0 + 1);
        // A second passes until the next one is assigned.
        let me = Name::try_from("s").unwrap();
        let now = self.now();
        for router in &mut self.routers {
            router.dispatcher.link_down(now, &me);
        }
        self.down_until = self.now + 1000;
        let at = Millis(self.down_until);
        self.scheduler = Scheduler::with_strategy(epoch, at, self.setup.choice);
        arm(&mut self.scheduler, &self.setup);
        self.sessions.clear();
    }

    /// Assigner the next scheduler, and lets the routers know.
    fn reassign(&mut self) {
        let now = self.now();
        let me = Name::try_from("s").unwrap();
        let step = Step {
            version: state::id::Version(self.view.version.0 + 1),
            change: Change::Assignment(assignment(self.scheduler.epoch())),
        };
        self.view.apply_step(&step);
        for n in 0..self.routers.len() {
            let effects = self.routers[n].dispatcher.follow(now, &self.view);
            self.act(n, effects);
            let effects = self.routers[n].dispatcher.link_up(now, &me);
            self.act(n, effects);
        }
    }
}

fn size(report: &Report) -> u64 {
    match report {
        Report::Hello(hello) => 12 + 12 * hello.held.len() as u64 + 8 * hello.usage.len() as u64,
        Report::Ask(_) => 14,
        Report::Withdraw(_) | Report::Return(_) => 3,
        Report::Progress(..) | Report::Began(..) => 5,
        Report::Done(..) => 6,
        Report::Backoff(_) => 9,
    }
}

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
            slots: setup.batch,
            prefetch: LEAD,
        };
        view.config.endpoints.insert(EndpointId(n), endpoint);
    }
    view.assignments.push(assignment(Epoch(1)));
    view
}

fn arm(scheduler: &mut Scheduler, setup: &Setup) {
    for n in 0..setup.endpoints {
        scheduler
            .slots()
            .set(EndpointId(n), setup.batch, LEAD, false);
    }
}

fn router(n: usize, incarnation: u64) -> Router {
    let bounds = Bounds {
        requests: 100_000,
        bytes: u64::MAX,
    };
    let home = Location {
        region: Name::try_from("main").unwrap(),
        data_centre: Name::try_from("dc").unwrap(),
        incarnation: (n as u64) << 32 | incarnation,
    };
    let dispatcher = Dispatcher::new(home, bounds);
    Router {
        dispatcher,
        incarnation,
        jobs: BTreeMap::new(),
    }
}
