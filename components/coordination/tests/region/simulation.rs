//! Routers, schedulers and engines of one region in one clock.
//!
//! Only the pure decisions run. Schedulers take in a bounded number of messages in a time,
//! as on a small part of a core: what comes beyond that waits, and is answered late. They
//! tell each other what they have given, as those of one service do.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod router;
mod single_queue;

use self::router::{Processor, Router, Work, ASK_READY_MS, BACKLOG, UNREAD_MS};
use crate::engines::{Engine, Progress};
use crate::setup::{centre_name, Callers, Setup, Tasks, MEMORY};
use crate::views::{name, SERVICE};
use coordination::dispatcher::{
    endpoints, Arrival, Bounds, Dispatcher, Effect, Handle, Location, Rejection,
};
use coordination::messages::{Class, Grant, Refusal, Report, Served, Verdict};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use coordination::scheduler::{Effect as Given, Scheduler, Session};
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Name};
use state::view::View;
use std::collections::{BTreeMap, VecDeque};

/// Shared parts of each kind of request.
const SHARED: u64 = 100;
/// Parts that the requests of one customer share with no others, and how often they do.
const OWN_PARTS: u64 = 4;
const OWN_PARTS_SHARE: f64 = 0.4;
/// Tokens of an answer.
const ANSWER: u32 = 200;
/// Time of a message on its way, in milliseconds.
const WAY_MS: u64 = 2;
/// Time between two looks at how long what waits has waited, in milliseconds.
const LOOK_MS: u64 = 100;

/// A request of a customer, at its first or second try.
#[derive(Clone, Debug)]
struct Job {
    customer: u32,
    /// Number of its kind.
    kind: usize,
    aim_ms: u64,
    parts: Vec<(u64, u32)>,
    arrived: u64,
    /// When this try came.
    came: u64,
    sent: u64,
    is_again: bool,
}

impl Job {
    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, n)| u64::from(*n)).sum()
    }
}

enum Mail {
    Report(usize, usize, Report),
    Grant(usize, Grant),
    Refusal(usize, Refusal),
    Served(usize, Served),
}

pub(crate) struct Shard {
    scheduler: Scheduler,
    sessions: BTreeMap<usize, Session>,
    inbox: VecDeque<(usize, Report)>,
    /// Hundredths of messages that it may still take in.
    credit: u64,
    /// Asks that it was told.
    pub(crate) asks: u64,
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u64,
    pub(crate) on_time: u64,
    pub(crate) late: u64,
    pub(crate) refused: u64,
    /// Cost of what engines were sent, in tokens.
    pub(crate) begun: u64,
}

/// What a customer asked and got in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Second {
    /// Tokens of the tries that came.
    pub(crate) asked: u64,
    /// Tokens of what engines began to read.
    pub(crate) got: u64,
    /// Tries that were refused.
    pub(crate) refused: u64,
    /// Whether a try waited past its aim.
    pub(crate) waited: bool,
}

pub(crate) struct World {
    pub(crate) now: u64,
    rng: Pcg64,
    setup: Setup,
    view: View,
    routers: Vec<Router>,
    pub(crate) shards: Vec<Shard>,
    engines: BTreeMap<EndpointId, Engine<(usize, Handle)>>,
    mail: BTreeMap<(u64, u64), Mail>,
    mails: u64,
    /// Callers that come again, by when.
    again: BTreeMap<(u64, u64), Job>,
    jobs: u64,
    callers: BTreeMap<u32, Callers>,
    pub(crate) tallies: BTreeMap<u32, Tally>,
    /// By second and customer.
    pub(crate) seconds: BTreeMap<u64, BTreeMap<u32, Second>>,
}

impl World {
    pub(crate) fn new(setup: Setup, callers: BTreeMap<u32, Callers>, seed: u64) -> Self {
        let view = setup.view();
        let shards = view.assignments.iter().map(|assignment| {
            let mut scheduler = Scheduler::new(assignment.epoch, Millis(0));
            scheduler.enable_batching();
            scheduler.slots().set_memory_tokens(Some(MEMORY));
            for (id, slots, lead, leaving) in endpoints(&view, &assignment.shard) {
                scheduler.slots().set(id, slots, lead, leaving);
            }
            Shard {
                scheduler,
                sessions: BTreeMap::new(),
                inbox: VecDeque::new(),
                credit: 0,
                asks: 0,
            }
        });
        let router = |n: usize| {
            let home = Location {
                region: name("main"),
                data_centre: name(&centre_name(n % setup.centres)),
                incarnation: n as u64,
            };
            let bounds = Bounds {
                requests: 10_000,
                bytes: u64::MAX,
            };
            Router {
                dispatcher: Dispatcher::new(home, bounds),
                jobs: BTreeMap::new(),
                backlog: VecDeque::new(),
                work: VecDeque::new(),
                in_order: VecDeque::new(),
                until_accept: 0,
                kept: BTreeMap::new(),
                credit_us: 0,
                processor: Processor::default(),
            }
        };
        let ids = view.config.endpoints.keys();
        let mut world = World {
            now: 0,
            rng: Pcg64::seed_from_u64(seed),
            setup,
            shards: shards.collect(),
            routers: (0..setup.centres * setup.routers).map(router).collect(),
            engines: ids.map(|id| (*id, Engine::default())).collect(),
            view,
            mail: BTreeMap::new(),
            mails: 0,
            again: BTreeMap::new(),
            jobs: 0,
            callers,
            tallies: BTreeMap::new(),
            seconds: BTreeMap::new(),
        };
        for n in 0..world.routers.len() {
            for vm in world.places() {
                let effects = world.routers[n].dispatcher.link_up(Millis(0), &vm);
                world.act(n, effects);
            }
        }
        world
    }

    fn places(&self) -> Vec<Name> {
        let places = self.view.assignments.iter().map(|a| a.node.vm.clone());
        places.collect()
    }

    fn post(&mut self, mail: Mail) {
        self.mails += 1;
        self.mail.insert((self.now + WAY_MS, self.mails), mail);
    }

    fn second(&mut self, customer: u32) -> &mut Second {
        let all = self.seconds.entry(self.now / 1000).or_default();
        all.entry(customer).or_default()
    }

    /// A new request of a customer.
    fn arrive(&mut self, customer: u32) {
        self.jobs += 1;
        let weights = WeightedIndex::new(self.setup.kinds.iter().map(|k| k.weight)).unwrap();
        let number = weights.sample(&mut self.rng);
        let kind = self.setup.kinds[number];
        let own = self.rng.random_range(kind.own * 2 / 7..kind.own * 12 / 7);
        let job = Job {
            customer,
            kind: number,
            aim_ms: kind.aim_ms,
            parts: vec![
                (self.part(customer, number), kind.shared),
                (1 << 40 | self.jobs, own),
            ],
            arrived: self.now,
            came: self.now,
            sent: 0,
            is_again: false,
        };
        self.tallies.entry(customer).or_default().asked += 1;
        self.queue(job);
    }

    /// A part that a request shares with others.
    fn part(&mut self, customer: u32, kind: usize) -> u64 {
        let kind = (kind as u64) << 32;
        if self.setup.kinds.len() > 1 && self.rng.random_bool(OWN_PARTS_SHARE) {
            let part = self.rng.random_range(0..OWN_PARTS);
            return kind | (SHARED + u64::from(customer) * OWN_PARTS + part);
        }
        kind | self.rng.random_range(0..SHARED)
    }

    /// The router that a try comes to.
    fn router_of(&mut self, job: &Job) -> usize {
        let callers = &self.callers[&job.customer];
        let routers = match job.is_again {
            true => &callers.again,
            false => &callers.first,
        };
        let open = |(n, _): &&(usize, f64)| !self.routers[*n].processor.is_out;
        let mut open: Vec<(usize, f64)> = routers.iter().filter(open).copied().collect();
        if open.is_empty() {
            open.clone_from(routers);
        }
        if callers.is_one_by_one {
            return open[0].0;
        }
        let weights = WeightedIndex::new(open.iter().map(|(_, w)| *w)).unwrap();
        open[weights.sample(&mut self.rng)].0
    }

    fn queue(&mut self, mut job: Job) {
        let at = self.router_of(&job);
        job.came = self.now;
        self.second(job.customer).asked += job.tokens();
        if self.setup.processor_us.is_none() {
            return self.take(at, job);
        }
        if self.setup.tasks != Tasks::Turns {
            return self.queue_in_order(at, job);
        }
        if self.uses_kept(at, job.customer) {
            return self.push(at, Work::Try(job));
        }
        if self.routers[at].backlog.len() >= BACKLOG {
            return self.refused(job, UNREAD_MS as u32);
        }
        self.routers[at].backlog.push_back(job);
    }

    fn push(&mut self, at: usize, work: Work) {
        let router = &mut self.routers[at];
        match self.setup.tasks {
            Tasks::Turns => router.work.push_back(work),
            Tasks::OneQueue { .. } => router.in_order.push_back((self.now, work)),
        }
    }

    /// Lets a router take a try in.
    fn take(&mut self, at: usize, job: Job) {
        let prompt = Prompt::new(job.parts.iter().copied(), ANSWER / 2);
        let arrival = Arrival {
            service: SERVICE,
            class: Class {
                customer: CustomerId(job.customer),
                rule: u16::try_from(job.kind).unwrap(),
            },
            weight: 1,
            rate: 0,
            concurrency: 0,
            queue: 512,
            hint: prompt.tokens() as u32 + ANSWER,
            priority: 0,
            aim: Millis(job.arrived + job.aim_ms).max(Millis(self.now)),
            prompt,
            bytes: 0,
            regions: Regions::default(),
            deadline: Millis(job.arrived + 10_000),
        };
        let router = &mut self.routers[at];
        let arrived = (router.dispatcher).arrive(Millis(self.now), &self.view, arrival);
        match arrived {
            Ok((handle, effects)) => {
                router.jobs.insert(handle, job);
                self.act(at, effects);
            }
            Err(Rejection::Late { after_ms }) => self.refused(job, after_ms),
            Err(_) => self.refused(job, 300),
        }
    }

    fn refused(&mut self, mut job: Job, after_ms: u32) {
        self.second(job.customer).refused += 1;
        if job.is_again {
            self.tallies.entry(job.customer).or_default().refused += 1;
            return;
        }
        job.is_again = true;
        self.jobs += 1;
        let at = self.now + u64::from(after_ms);
        self.again.insert((at, self.jobs), job);
    }

    fn act(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Report(assignment, report) => {
                    let all = &self.view.assignments;
                    let shard = all.iter().position(|a| a.epoch == assignment.epoch);
                    self.post(Mail::Report(shard.unwrap(), at, report));
                }
                Effect::Dispatch(handle, endpoint) => {
                    let job = self.routers[at].jobs.get_mut(&handle).unwrap();
                    job.sent = self.now;
                    let engine = self.engines.get_mut(&endpoint).unwrap();
                    let all = job.tokens();
                    let missing = all - engine.cached_tokens(&job.parts);
                    engine.send((at, handle), &job.parts, missing);
                    self.tallies.entry(job.customer).or_default().begun += all;
                }
                Effect::Refuse(handle, refusal) => {
                    let job = self.routers[at].jobs.remove(&handle).unwrap();
                    self.keep(at, job.customer);
                    self.refused(job, refusal.after_ms);
                }
                Effect::Expire(handle) | Effect::Unserved(handle) => {
                    let job = self.routers[at].jobs.remove(&handle).unwrap();
                    self.refused(job, 300);
                }
            }
        }
    }

    /// One millisecond.
    fn step(&mut self) {
        self.now += 1;
        while let Some(entry) = self.again.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let job = entry.remove();
            self.queue(job);
        }
        self.deliver();
        for at in 0..self.routers.len() {
            self.process(at);
        }
        if self.now.is_multiple_of(ASK_READY_MS) {
            self.ask_ready();
        }
        for n in 0..self.shards.len() {
            self.schedule(n);
        }
        self.work();
        if self.now.is_multiple_of(20) {
            self.tick();
        }
        if self.now.is_multiple_of(LOOK_MS) {
            self.look();
        }
    }

    fn tick(&mut self) {
        let now = Millis(self.now);
        for at in 0..self.routers.len() {
            let effects = self.routers[at].dispatcher.tick(now, &self.view);
            self.act(at, effects);
        }
        for n in 0..self.shards.len() {
            let given = self.shards[n].scheduler.tick(now);
            self.give(n, given);
            self.tell(n);
        }
    }

    /// Lets a scheduler tell the others what it has given, each at its own moment.
    fn tell(&mut self, n: usize) {
        let phase = 1000 * n / self.shards.len() / 20 * 20;
        if self.now % 1000 != phase as u64 || self.shards.len() == 1 {
            return;
        }
        let served = self.shards[n].scheduler.take_served();
        for other in (0..self.shards.len()).filter(|other| *other != n) {
            self.post(Mail::Served(other, served.clone()));
        }
    }

    /// Notes whose requests wait past their aim.
    fn look(&mut self) {
        let late = |job: &&Job| job.sent == 0 && self.now - job.came > job.aim_ms;
        let jobs = self.routers.iter().flat_map(|r| r.jobs.values());
        let late: Vec<u32> = jobs.filter(late).map(|job| job.customer).collect();
        for customer in late {
            self.second(customer).waited = true;
        }
    }

    fn grant(&mut self, at: usize, grant: Grant) {
        let effects = (self.routers[at].dispatcher).grant(Millis(self.now), grant);
        self.act(at, effects);
    }

    fn refuse(&mut self, at: usize, refusal: Refusal) {
        let effects = (self.routers[at].dispatcher).refuse(Millis(self.now), refusal);
        self.act(at, effects);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Mail::Report(n, at, report) => self.shards[n].inbox.push_back((at, report)),
                Mail::Grant(at, grant) => match self.setup.processor_us {
                    Some(_) => self.push(at, Work::Grant(grant)),
                    None => self.grant(at, grant),
                },
                Mail::Refusal(at, refusal) => match self.setup.processor_us {
                    Some(_) => self.push(at, Work::Refusal(refusal)),
                    None => self.refuse(at, refusal),
                },
                Mail::Served(n, served) => self.shards[n].scheduler.merge_served(&served),
            }
        }
    }

    /// Lets a scheduler take in what it can in this millisecond.
    fn schedule(&mut self, n: usize) {
        let now = Millis(self.now);
        let shard = &mut self.shards[n];
        shard.credit = (shard.credit + self.setup.messages).min(100 * self.setup.messages);
        let mut given = coordination::scheduler::Effects::new();
        while shard.credit >= 100 {
            let Some((at, report)) = shard.inbox.pop_front() else {
                break;
            };
            shard.credit -= 100;
            if let Report::Hello(hello) = report {
                let older = shard.sessions.get(&at).copied();
                let session = shard.scheduler.open_session(now, older, &hello);
                shard.sessions.insert(at, session);
                continue;
            }
            shard.asks += u64::from(matches!(report, Report::Ask(_)));
            if let Some(session) = shard.sessions.get(&at) {
                given.extend(shard.scheduler.handle_report(now, *session, report));
            }
        }
        given.extend(shard.scheduler.flush(now));
        self.give(n, given);
    }

    fn give(&mut self, n: usize, given: coordination::scheduler::Effects) {
        for effect in given {
            let of = |session: Session| {
                let sessions = &self.shards[n].sessions;
                let found = sessions.iter().find(|(_, s)| **s == session);
                *found.unwrap().0
            };
            match effect {
                Given::Grant(session, grant) => {
                    let mail = Mail::Grant(of(session), grant);
                    self.post(mail);
                }
                Given::Refuse(session, refusal) => {
                    let mail = Mail::Refusal(of(session), refusal);
                    self.post(mail);
                }
                Given::RequestInventory(_) | Given::Ejected(_) | Given::Restored(_) => {}
            }
        }
    }

    fn work(&mut self) {
        let now = Millis(self.now);
        let mut all = Vec::new();
        for engine in self.engines.values_mut() {
            all.extend(engine.step(self.now));
        }
        for progress in all {
            match progress {
                Progress::FirstEvent((at, handle)) => {
                    let router = &mut self.routers[at];
                    let job = &router.jobs[&handle];
                    let (customer, tokens) = (job.customer, job.tokens());
                    let is_on_time = self.now - job.arrived <= job.aim_ms;
                    let tally = self.tallies.entry(customer).or_default();
                    match is_on_time {
                        true => tally.on_time += 1,
                        false => tally.late += 1,
                    }
                    let took_ms = u32::try_from(self.now - job.sent).ok();
                    let effects = router.dispatcher.began(now, handle, took_ms);
                    self.second(customer).got += tokens;
                    self.act(at, effects);
                }
                Progress::Ended((at, handle)) => {
                    let router = &mut self.routers[at];
                    let job = router.jobs.remove(&handle).unwrap();
                    let cost = job.tokens() as u32 + ANSWER;
                    let customer = job.customer;
                    let effects = router.dispatcher.done(now, handle, cost, Verdict::Fine);
                    self.act(at, effects);
                    if self.setup.processor_us.is_some() {
                        self.keep(at, customer);
                        self.push(at, Work::Relay);
                    }
                }
            }
        }
    }

    /// Lets customers ask, each at a part of what all engines can do.
    pub(crate) fn run(&mut self, ms: u64, loads: &[(u32, f64)]) {
        let rate = self.setup.capacity() / 1000.0;
        for _ in 0..ms {
            for (customer, load) in loads {
                let mut left = load * rate;
                while left > 0.0 {
                    if self.rng.random_bool(left.min(1.0)) {
                        self.arrive(*customer);
                    }
                    left -= 1.0;
                }
            }
            self.step();
        }
    }

    pub(crate) fn total(&self) -> Tally {
        let mut total = Tally::default();
        for tally in self.tallies.values() {
            total.asked += tally.asked;
            total.on_time += tally.on_time;
            total.late += tally.late;
            total.refused += tally.refused;
            total.begun += tally.begun;
        }
        total
    }
}
