//! The scheduler of one shard: whose request gets the next free slot.
//!
//! Between two customers that both wait, the one with less virtual service
//! goes first. Which router a request waits on plays no part.

mod kept;
mod late;
mod next;
mod pace;
mod queue;
mod settled;
mod share;

pub use self::share::Usage;

use self::kept::Telling;
use self::next::Next;
use self::pace::Pace;
use self::queue::{Key, Queue};
use self::settled::Settled;
use self::share::Shares;
use crate::engine::Prefill;
use crate::health;
use crate::ledger::{virtual_cost, Ledger};
use crate::limit::Bucket;
use crate::messages::{Forecast, Hello, Seq, Served};
use crate::prelude::*;
use crate::prompt::Part;
use crate::slot::{Slots, Strategy};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a new scheduler gathers sessions before its first grant, in
/// milliseconds.
///
/// Without it the first router to arrive would be given slots that requests of
/// the others still hold: one would see endpoints over their slots right after
/// each change of scheduler.
pub const GATHER_MS: u64 = 200;
/// How long the requests of a lost session still count, in milliseconds.
///
/// Its router may only be cut off from here, and its requests still run. Those
/// of a router that comes back are told by it, or have died with it.
pub const ORPHAN_MS: u64 = 1000;
/// Time without a first byte after which an endpoint has failed a request whose
/// caller left, in aims of the request: it is long past any use.
const SILENT_AIMS: u64 = 2;
/// Shortest aim for this, in milliseconds: below it the way there and a full queue
/// take more than the aim.
const SILENT_MIN_MS: u64 = 500;
/// Longest wait for engines to tell what they have kept, from the end of the gathering
/// on, in milliseconds: a page of one takes some 10 to 30 ms.
const INQUIRY_MS: u64 = 150;
/// Tellings of which one tells all totals.
const TELL_ALL: u32 = 8;
/// Longest wait before an unused class is forgotten, in milliseconds.
const CLASS_MS: u64 = 60_000;

/// A session with a router, in an arena of this scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Session(pub u32);

/// Something that a scheduler wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Give this grant to the router of the session.
    Grant(Session, Grant),
    /// Tell the router of the session that an ask cannot be served in time.
    Refuse(Session, Refusal),
    /// Ask this engine what it has kept of prompts.
    RequestInventory(EndpointId),
    /// An endpoint was ejected.
    Ejected(EndpointId),
    /// An ejected endpoint is back.
    Restored(EndpointId),
}

/// Effects of one input.
pub type Effects = SmallVec<[Effect; 4]>;

#[derive(Clone, Debug)]
struct ClassState {
    running: u32,
    bucket: Option<Bucket>,
    used: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    weight: u32,
    endpoint: EndpointId,
    charged: u32,
    /// What it takes of a model engine; unknown if another scheduler granted it.
    reading: Option<Prefill>,
    /// When silence of its endpoint counts as a failure, until its first byte.
    silent_at: Option<Millis>,
}

/// What a scheduler believes of its shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Asks that wait.
    pub waiting: usize,
    /// Requests in progress.
    pub running: usize,
    /// Customers with asks that wait.
    pub customers: usize,
    /// Prompt tokens that engines have yet to read.
    pub unread_tokens: u64,
    /// Tokens that the slowest engine reads in a second.
    pub slowest_tokens_per_s: u64,
    /// Tokens that the fastest engine reads in a second.
    pub fastest_tokens_per_s: u64,
    /// Cost that is started in a second while work waits.
    pub cost_per_s: u64,
    /// Asks refused in this epoch.
    pub refused: u64,
    /// Grants given in this epoch.
    pub granted: u64,
}

/// The scheduler of one shard in one epoch.
#[derive(Clone, Debug)]
pub struct Scheduler {
    epoch: Epoch,
    ledger: Ledger,
    slots: Slots,
    classes: BTreeMap<Class, ClassState>,
    /// Asks of this region.
    queue: Queue,
    pace: Pace,
    refused: u64,
    granted: u64,
    shares: Shares,
    telling: Telling,
    /// When asks that wait were last looked through.
    reviewed: Millis,
    /// Asks from other regions, in the order of their arrival.
    remotes: VecDeque<(Key, Ask)>,
    running: BTreeMap<(Session, Seq), Running>,
    sessions: BTreeSet<Session>,
    orphans: BTreeMap<Session, Millis>,
    /// Service that routers gave while there was no scheduler. It is added once
    /// the largest memory of each customer is known, since memories are not
    /// added up and this is.
    spent: BTreeMap<Session, Vec<(CustomerId, u64)>>,
    /// What of it was added.
    settled: Settled,
    /// Largest floor that a router remembers.
    floor: u64,
    /// Service given here in this epoch, for the other regions to count.
    served: BTreeMap<CustomerId, u64>,
    /// Customers whose total has grown since it was last told.
    grown: BTreeSet<CustomerId>,
    tellings: u32,
    /// What other regions' schedulers have told of theirs, by epoch.
    foreign: BTreeMap<Epoch, BTreeMap<CustomerId, u64>>,
    is_open: bool,
    opened: Millis,
    /// Whether grants wait for [`Scheduler::flush`].
    is_batched: bool,
    /// Whether something has happened since that may make a grant possible.
    is_due: bool,
    /// Asks that have come since, to be refused if they would be late.
    arrived: Vec<Key>,
    may_inquire: bool,
    /// Engines that were asked what they have kept and have not told.
    inquired: BTreeSet<EndpointId>,
    next: u32,
}

impl Scheduler {
    /// A scheduler whose epoch begins now.
    pub fn new(epoch: Epoch, now: Millis) -> Self {
        Scheduler::with_strategy(epoch, now, Strategy::LeastLoaded)
    }

    /// A scheduler that chooses endpoints by `choice`, for comparison.
    pub fn with_strategy(epoch: Epoch, now: Millis, choice: Strategy) -> Self {
        Scheduler {
            epoch,
            ledger: Ledger::default(),
            slots: Slots::new(choice),
            classes: BTreeMap::new(),
            queue: Queue::default(),
            pace: Pace::default(),
            refused: 0,
            granted: 0,
            shares: Shares::default(),
            telling: Telling::default(),
            reviewed: now,
            running: BTreeMap::new(),
            sessions: BTreeSet::new(),
            orphans: BTreeMap::new(),
            spent: BTreeMap::new(),
            settled: Settled::default(),
            floor: 0,
            remotes: VecDeque::new(),
            served: BTreeMap::new(),
            grown: BTreeSet::new(),
            tellings: 0,
            foreign: BTreeMap::new(),
            is_open: false,
            is_batched: false,
            is_due: false,
            arrived: Vec::new(),
            may_inquire: false,
            inquired: BTreeSet::new(),
            opened: now.after(GATHER_MS),
            next: 0,
        }
    }

    /// Its epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Its endpoints.
    pub fn slots(&mut self) -> &mut Slots {
        &mut self.slots
    }

    /// Asks that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.remotes.len()
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// What it has come to believe, for logs and metrics.
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
            cost_per_s: self.pace.per_second(),
            refused: self.refused,
            granted: self.granted,
        }
    }

    /// Routers with a session.
    pub fn routers(&self) -> usize {
        self.sessions.len()
    }

    /// Slots and requests in progress over all endpoints that take work.
    pub fn totals(&self) -> (u32, u32) {
        self.slots.totals()
    }

    /// Virtual service of each customer, settled.
    pub fn levels(&self) -> Vec<(CustomerId, u64)> {
        self.ledger.all().collect()
    }

    /// Opens a session with a router's hello, in place of its earlier one.
    ///
    /// The hello says what is still in progress; whatever else the earlier
    /// session held has ended, or has died with an earlier life of the router.
    pub fn open_session(&mut self, now: Millis, older: Option<Session>, hello: &Hello) -> Session {
        self.floor = self.floor.max(hello.floor);
        if let Some(older) = older {
            // A hello that is said again tells the same spending again.
            self.spent.remove(&older);
            self.close_session(now, older);
            self.drop_running(now, older);
        }
        let session = Session(self.next);
        self.next += 1;
        self.sessions.insert(session);
        for kept in &hello.cached {
            self.slots.note_cached(now, kept.endpoint, kept.part);
        }
        for backoff in &hello.backoff {
            self.slots.back_off(now, session.0, backoff);
        }
        for known in &hello.usage {
            self.ledger.restore(known.customer, known.level);
        }
        let spent = self.settled.open(older, session, hello);
        self.spent.insert(session, spent);
        for held in &hello.held {
            let running = Running {
                class: held.class,
                weight: held.weight,
                endpoint: held.endpoint,
                charged: held.cost,
                reading: None,
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

    /// Lets grants wait for [`Scheduler::flush`], so that what came together is looked at
    /// together.
    ///
    /// A look through the asks that wait costs a look at some tens of engines for each of
    /// them. Done for each ask, first byte and end, it may take all of a small VM's share
    /// of a core, and requests wait for the scheduler instead of engines. In batches
    /// the cost of an event falls as load rises.
    pub fn enable_batching(&mut self) {
        self.is_batched = true;
    }

    /// Grants what has become possible since the last call, and refuses of what has come
    /// what would be late.
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

    /// Lets it ask engines what they have kept, where no router has told.
    pub fn enable_inventory_requests(&mut self) {
        self.may_inquire = true;
    }

    /// Takes what an engine has kept, nothing if it did not tell, and when it says
    /// that it started, in Unix milliseconds.
    pub fn note_inventory(
        &mut self,
        now: Millis,
        endpoint: EndpointId,
        born: Option<u64>,
        parts: &[Part],
    ) -> Effects {
        if self.slots.note_start(endpoint, born) {
            for part in parts {
                self.slots.note_cached(now, endpoint, *part);
            }
        }
        self.inquired.remove(&endpoint);
        self.grant(now)
    }

    /// Takes a report of an open session. A hello is for [`Scheduler::open_session`].
    pub fn handle_report(&mut self, now: Millis, session: Session, report: Report) -> Effects {
        match report {
            Report::Hello(_) => Effects::new(),
            Report::Ask(ask) => self.ask(now, session, ask),
            Report::Withdraw(seq) => {
                self.withdraw(session, seq);
                Effects::new()
            }
            Report::Return(seq) => self.give_back(now, session, seq),
            Report::Began(seq, took_ms) => self.note_first_byte(now, session, seq, took_ms),
            Report::Progress(seq, cost) => {
                self.progress(session, seq, cost);
                Effects::new()
            }
            Report::Done(seq, cost, verdict) => self.done(now, session, seq, cost, verdict),
            Report::Backoff(backoff) => {
                self.slots.back_off(now, session.0, &backoff);
                Effects::new()
            }
        }
    }

    /// Ends a session whose link was lost; its requests count for a while more.
    pub fn close_session(&mut self, now: Millis, session: Session) {
        if !self.sessions.remove(&session) {
            return;
        }
        self.slots.clear_backoff(session.0);
        self.remotes.retain(|((of, _), _)| *of != session);
        for seq in self.queue.of_session(session) {
            self.withdraw(session, seq);
        }
        self.orphans.insert(session, now.after(ORPHAN_MS));
    }

    /// Takes an ask.
    pub fn ask(&mut self, now: Millis, session: Session, ask: Ask) -> Effects {
        if !self.sessions.contains(&session) {
            return Effects::new();
        }
        if ask.remote {
            self.remotes.push_back(((session, ask.seq), ask));
            return self.grant(now);
        }
        let class = self.class(now, ask.class);
        match (&mut class.bucket, ask.rate) {
            (bucket, 0) => *bucket = None,
            (Some(bucket), rate) => bucket.set_rate(rate, now),
            (bucket @ None, rate) => *bucket = Some(Bucket::new(rate, now)),
        }
        let key = (session, ask.seq);
        self.queue.insert(now, key, ask);
        self.ledger.set_backlogged(ask.class.customer, true);
        self.arrived.push(key);
        self.grant(now)
    }

    /// Takes back an ask that was given up.
    pub fn withdraw(&mut self, session: Session, seq: Seq) {
        self.remove_ask(session, seq);
    }

    /// Takes back a grant that was not used.
    pub fn give_back(&mut self, now: Millis, session: Session, seq: Seq) -> Effects {
        if let Some((running, _)) = self.end(now, session, seq, 0, None) {
            if let Some(bucket) = self.class(now, running.class).bucket.as_mut() {
                bucket.refund();
            }
        }
        self.grant(now)
    }

    /// Notes the first byte of an answer: an engine has read the prompt, and may
    /// be given the next one. It came `took_ms` after the grant reached its router.
    pub fn note_first_byte(
        &mut self,
        now: Millis,
        session: Session,
        seq: Seq,
        took_ms: Option<u32>,
    ) -> Effects {
        if let Some(running) = self.running.get_mut(&(session, seq)) {
            running.silent_at = None;
            if let Some(reading) = &mut running.reading {
                self.slots
                    .note_first_byte(now, running.endpoint, reading, took_ms);
            }
        }
        self.note_read(session, seq);
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
        // Callers leave an endpoint that swallows requests, and say nothing of it.
        if verdict == Verdict::Cancelled && running.silent_at.is_some_and(|at| at <= now) {
            self.slots.note_silence(now, running.endpoint);
        }
        match change {
            health::Change::Ejected => effects.push(Effect::Ejected(running.endpoint)),
            health::Change::Restored => {
                effects.push(Effect::Restored(running.endpoint));
                // It may have started again, and have kept nothing.
                if self.may_inquire && running.reading.is_some() {
                    effects.push(Effect::RequestInventory(running.endpoint));
                }
            }
            health::Change::None => {}
        }
        effects.extend(self.grant(now));
        effects
    }

    /// Service given here in this epoch, by customer, to tell other regions:
    /// totals that have grown since the last telling, and at times all of them,
    /// in case one was lost.
    pub fn take_served(&mut self) -> Served {
        let grown = std::mem::take(&mut self.grown);
        let all = self.tellings.is_multiple_of(TELL_ALL);
        self.tellings = self.tellings.wrapping_add(1);
        let told = self.served.iter().filter(|(c, _)| all || grown.contains(c));
        Served {
            epoch: self.epoch,
            all,
            totals: told.map(|(customer, total)| (*customer, *total)).collect(),
        }
    }

    /// Takes what another region's scheduler gave in its epoch.
    ///
    /// The first telling of all totals of an epoch only sets where counting begins:
    /// what it gave before was counted by whoever scheduled here then.
    pub fn merge_served(&mut self, served: &Served) {
        let known = self.foreign.contains_key(&served.epoch);
        if !known && !served.all {
            return;
        }
        let totals = self.foreign.entry(served.epoch).or_default();
        for (customer, total) in &served.totals {
            let last = totals.insert(*customer, *total);
            let from = if known { last.unwrap_or(0) } else { *total };
            self.ledger.add(*customer, total.saturating_sub(from));
        }
    }

    /// Forgets schedulers of other regions that `keep` refuses.
    pub fn retain_foreign<F>(&mut self, keep: F)
    where
        F: Fn(Epoch) -> bool,
    {
        self.foreign.retain(|epoch, _| keep(*epoch));
    }

    /// Lets time pass: ends orphans, opens limits, grants what has become free.
    pub fn tick(&mut self, now: Millis) -> Effects {
        let over: SmallVec<[Session; 4]> = (self.orphans.iter())
            .filter(|(_, until)| **until <= now)
            .map(|(session, _)| *session)
            .collect();
        for session in over {
            self.orphans.remove(&session);
            self.drop_running(now, session);
        }
        self.pace.tick(now, self.queue.len() > 0);
        let mut refused = self.review(now);
        self.classes
            .retain(|_, class| class.running > 0 || now.since(class.used) < CLASS_MS);
        refused.extend(self.grant(now));
        refused
    }

    /// Grants free slots to waiting customers, unless that waits for the others of its
    /// batch.
    pub fn grant(&mut self, now: Millis) -> Effects {
        self.is_due = true;
        if self.is_batched {
            return Effects::new();
        }
        self.flush(now)
    }

    /// Grants free slots to waiting customers, least served first.
    fn grant_all(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::new();
        if now < self.opened {
            return effects;
        }
        let spent = std::mem::take(&mut self.spent);
        for (session, all) in spent {
            for (customer, spent) in all {
                self.ledger.settle(customer, 0, spent);
                self.settled.add(session, customer, spent);
            }
        }
        if !std::mem::replace(&mut self.is_open, true) {
            self.ledger.open(self.floor);
            self.inquire(now, &mut effects);
        }
        if !self.inquired.is_empty() && now < self.opened.after(INQUIRY_MS) {
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

    /// Asks engines what they have kept.
    ///
    /// Grants wait for the answers: after a loss of all processes, what waits by then
    /// would be sent to engines that have to read all of it again.
    fn inquire(&mut self, now: Millis, effects: &mut Effects) {
        if !self.may_inquire {
            return;
        }
        self.inquired = self.slots.unknown(now).into_iter().collect();
        effects.extend(self.inquired.iter().copied().map(Effect::RequestInventory));
    }

    fn start(&mut self, now: Millis, next: Next) -> Effect {
        let Next { key, ask, endpoint } = next;
        let reading = self
            .slots
            .acquire_with(now, endpoint, ask.prompt, ask.avoid.is_none());
        let customer = ask.class.customer;
        self.pace.start(ask.hint);
        self.granted += 1;
        self.shares.granted(customer, ask.hint);
        // The charge comes first, so that a customer leaving the backlog with
        // this ask still carries it.
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
            charged: ask.hint,
            reading,
            silent_at: Some(now.after(u64::from(ask.aim_ms).max(SILENT_MIN_MS) * SILENT_AIMS)),
        };
        self.running.insert(key, running);
        let grant = Grant {
            epoch: self.epoch,
            seq: key.1,
            endpoint,
            copy_from: reading.and_then(|r| r.source()),
            forecast: reading.map_or(Forecast::default(), |r| r.basis()),
            level: self.ledger.settled(customer),
            floor: self.ledger.floor(),
            // CAST: sessions are numbered by `u32`.
            routers: self.sessions.len() as u32,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            busy: self.slots.busy(),
        };
        Effect::Grant(key.0, grant)
    }

    fn remove_ask(&mut self, session: Session, seq: Seq) {
        let key = (session, seq);
        let Some(ask) = self.queue.remove(key) else {
            self.remotes.retain(|(other, _)| *other != key);
            return;
        };
        let customer = ask.class.customer;
        if !self.queue.has_any_of(customer) {
            self.ledger.set_backlogged(customer, false);
        }
    }

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
        let change = self.slots.release(now, running.endpoint, verdict);
        if let Some(reading) = &running.reading {
            self.slots.end_prefill(now, running.endpoint, reading);
        }
        let class = self.class(now, running.class);
        class.running = class.running.saturating_sub(1);
        Some((running, change))
    }

    fn drop_running(&mut self, now: Millis, session: Session) {
        self.orphans.remove(&session);
        let range = (session, Seq(0))..=(session, Seq(u64::MAX));
        let lost: Vec<(Seq, u32)> = (self.running.range(range))
            .map(|((_, seq), running)| (*seq, running.charged))
            .collect();
        for (seq, charged) in lost {
            // What was charged so far is what is known to have been received.
            self.end(now, session, seq, charged, None);
        }
    }

    fn class(&mut self, now: Millis, class: Class) -> &mut ClassState {
        let class = self.classes.entry(class).or_insert_with(|| ClassState {
            running: 0,
            bucket: None,
            used: now,
        });
        class.used = now;
        class
    }
}
