//! A model of a few control VMs: disks, clocks and a network that fail.
//!
//! It drives the pure decision code only, and checks after each step what must
//! hold. A run is fixed by its seed.
#![allow(dead_code, reason = "each test file uses a part of the model")]
#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a helper that panics fails its test"
)]

use coordination::consensus::{
    Admission, Core, Entry, Envelope, Index, Ready, Recovery, Role, Snapshot, Term,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::config::Draft;
use state::delta::Delta;
use state::id::{Name, Version};
use state::record::{Answer, ChangeId, DiskId, Member, Record};
use state::store::Store;
use state::view::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What may go wrong in a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) doubled: f64,
    pub(crate) delay_ms: u64,
    pub(crate) crash: f64,
    pub(crate) lose_disk: f64,
    pub(crate) cut: f64,
    pub(crate) freeze: f64,
    /// A VM goes for good, and an empty one comes at another address.
    pub(crate) replace: f64,
    /// Largest difference of a clock's rate from true, in hundredths.
    pub(crate) drift: u64,
}

impl Faults {
    pub(crate) const NONE: Faults = Faults {
        loss: 0.0,
        doubled: 0.0,
        delay_ms: 5,
        crash: 0.0,
        lose_disk: 0.0,
        cut: 0.0,
        freeze: 0.0,
        replace: 0.0,
        drift: 0,
    };
    pub(crate) const ALL: Faults = Faults {
        loss: 0.05,
        doubled: 0.05,
        delay_ms: 60,
        crash: 0.002,
        lose_disk: 0.25,
        cut: 0.002,
        freeze: 0.001,
        replace: 0.0,
        drift: 5,
    };
    /// The same, for a group whose members are found through seeds.
    pub(crate) const ALL_OPEN: Faults = Faults {
        replace: 0.000_3,
        ..Faults::ALL
    };
}

/// What one disk holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Medium {
    pub(crate) id: DiskId,
    pub(crate) start: Recovery,
    /// Whether it was there when the fleet first started.
    pub(crate) begins: bool,
}

pub(crate) struct Process {
    pub(crate) place: Node,
    pub(crate) core: Option<Core>,
    pub(crate) medium: Medium,
    pub(crate) store: Store,
    pub(crate) frozen_until: u64,
    /// Rate of its clock in hundredths.
    rate: u64,
    pub(crate) down_until: u64,
}

#[derive(Clone, Debug)]
struct Flight {
    at: u64,
    from: usize,
    to: usize,
    envelope: Envelope,
}

/// A change that an operator wants, resent until answered.
struct Wish {
    id: ChangeId,
    base: Version,
    asked: BTreeMap<usize, (Index, Term)>,
    answer: Option<Answer>,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Process>,
    pub(crate) rng: Pcg64,
    pub(crate) faults: Faults,
    pub(crate) cut: BTreeSet<(usize, usize)>,
    /// When false, a member counts its entries as safe before they are synced.
    pub(crate) sync_first: bool,
    pub(crate) accepted: BTreeMap<Index, (Term, Record)>,
    pub(crate) leaders: BTreeMap<Term, DiskId>,
    pub(crate) answers: BTreeMap<ChangeId, Answer>,
    /// Messages sent so far.
    pub(crate) sent: u64,
    flights: Vec<Flight>,
    wishes: Vec<Wish>,
    next_disk: u64,
    next_change: u128,
    /// Newest version that any reader was told.
    pub(crate) told: Version,
    pub(crate) reads: u64,
    seed: u64,
    /// Whether members are found through seeds, and any VM may become one.
    open: bool,
    /// Voters that the group is to have.
    pub(crate) wanted: usize,
    /// VMs that have ever been; names and addresses are not used again.
    placed: usize,
    /// What was broken, for the report of a failed run.
    events: Vec<String>,
}

impl World {
    pub(crate) fn new(count: usize, seed: u64, faults: Faults) -> Self {
        World::with(count, seed, faults, false)
    }

    /// A group whose members are found through seeds.
    pub(crate) fn open(count: usize, seed: u64, faults: Faults) -> Self {
        World::with(count, seed, faults, true)
    }

    fn with(count: usize, seed: u64, faults: Faults, open: bool) -> Self {
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            faults,
            cut: BTreeSet::new(),
            sync_first: true,
            accepted: BTreeMap::new(),
            leaders: BTreeMap::new(),
            answers: BTreeMap::new(),
            sent: 0,
            flights: Vec::new(),
            wishes: Vec::new(),
            next_disk: seed.wrapping_mul(1000),
            next_change: 1,
            told: Version(0),
            reads: 0,
            seed,
            open,
            wanted: count,
            placed: count,
            events: Vec::new(),
        };
        for n in 0..count {
            world.push(place(n));
        }
        for n in 0..count {
            world.boot(n);
        }
        world
    }

    fn push(&mut self, place: Node) {
        let drift = self.faults.drift;
        let rate = 100 - drift + self.rng.random_range(0..=2 * drift);
        self.nodes.push(Process {
            place,
            core: None,
            medium: Medium::default(),
            store: Store::default(),
            frozen_until: 0,
            rate,
            down_until: 0,
        });
        self.wipe(self.nodes.len() - 1);
    }

    /// Adds an empty VM.
    pub(crate) fn add(&mut self) -> usize {
        self.push(place(self.placed));
        self.placed += 1;
        let n = self.nodes.len() - 1;
        self.boot(n);
        n
    }

    /// Takes the last VM away for good, after swapping it with `n`.
    pub(crate) fn retire(&mut self, n: usize) {
        self.nodes.swap_remove(n);
        self.flights.clear();
        self.cut.clear();
    }

    pub(crate) fn clock(&self, n: usize) -> Millis {
        Millis(self.now * self.nodes[n].rate / 100)
    }

    /// Gives a VM an empty disk.
    pub(crate) fn wipe(&mut self, n: usize) {
        self.next_disk += 1;
        self.nodes[n].medium = Medium {
            id: DiskId(self.next_disk.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            start: Recovery::default(),
            // Only the first start of all is told to be one.
            begins: self.now == 0,
        };
    }

    /// Starts a VM from its disk.
    pub(crate) fn boot(&mut self, n: usize) {
        let seeds = self.nodes.iter().map(|node| node.place.clone()).collect();
        let me = Member {
            disk: self.nodes[n].medium.id,
            node: self.nodes[n].place.clone(),
        };
        let start = self.nodes[n].medium.start.clone();
        self.nodes[n].store = restore(&start.snapshot);
        let mut core = Core::new(me, seeds, start, self.clock(n));
        if self.open {
            core.set_admission(Admission::Open {
                may_bootstrap: self.nodes[n].medium.begins,
                voters: self.wanted,
            });
        }
        self.nodes[n].core = Some(core);
    }

    /// Takes a VM away for good, and puts an empty one at another address, which
    /// starts after `ms`.
    pub(crate) fn replace(&mut self, n: usize, ms: u64) {
        self.crash(n);
        self.nodes[n].place = place(self.placed);
        self.placed += 1;
        self.wipe(n);
        self.nodes[n].down_until = self.now + ms;
        self.flights.retain(|f| f.to != n && f.from != n);
        self.cut.retain(|(from, to)| *from != n && *to != n);
        self.note(n, "is replaced");
    }

    fn note(&mut self, n: usize, what: &str) {
        self.events.push(format!("{:>6} c{n} {what}", self.now));
    }

    pub(crate) fn crash(&mut self, n: usize) {
        self.note(n, "crashes");
        self.nodes[n].core = None;
        self.nodes[n].down_until = u64::MAX;
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// One millisecond.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        self.break_things();
        let due: Vec<Flight> = {
            let now = self.now;
            let (due, rest) = self.flights.drain(..).partition(|f| f.at <= now);
            self.flights = rest;
            due
        };
        for flight in due {
            self.deliver(flight);
        }
        if self.now.is_multiple_of(20) {
            for n in 0..self.nodes.len() {
                if self.is_awake(n) {
                    let clock = self.clock(n);
                    self.nodes[n].core.as_mut().unwrap().tick(clock);
                    self.settle(n);
                }
            }
            self.check_reads();
        }
    }

    pub(crate) fn is_awake(&self, n: usize) -> bool {
        self.nodes[n].core.is_some() && self.nodes[n].frozen_until <= self.now
    }

    fn deliver(&mut self, flight: Flight) {
        let Flight { from, to, .. } = flight;
        if self.nodes[to].core.is_none() || self.cut.contains(&(from, to)) {
            return;
        }
        if self.nodes[to].frozen_until > self.now {
            // A frozen process finds its messages when it goes on.
            let at = self.nodes[to].frozen_until;
            self.flights.push(Flight { at, ..flight });
            return;
        }
        let clock = self.clock(to);
        let place = self.nodes[from].place.clone();
        let core = self.nodes[to].core.as_mut().unwrap();
        core.step(clock, &place, flight.envelope);
        self.settle(to);
    }

    /// Writes, syncs, sends and applies, as the control role does; may crash
    /// between any two of these.
    pub(crate) fn settle(&mut self, n: usize) {
        loop {
            let Some(core) = self.nodes[n].core.as_mut() else {
                return;
            };
            let ready = core.ready();
            if ready.is_empty() {
                break;
            }
            let last = core.log().last();
            let hard = core.ballot();
            if !self.sync_first {
                // The guard is off: what was written is lost in a crash.
                self.nodes[n].core.as_mut().unwrap().synced(last);
                self.send(n, &ready);
                self.apply(n, &ready);
                continue;
            }
            if self.crashes_here(n) {
                return;
            }
            persist(&mut self.nodes[n].medium, &ready, hard);
            if self.crashes_here(n) {
                return;
            }
            self.nodes[n].core.as_mut().unwrap().synced(last);
            self.send(n, &ready);
            self.apply(n, &ready);
        }
        self.check(n);
    }

    /// Takes what a member holds in memory to its disk, for runs without sync.
    pub(crate) fn flush(&mut self, n: usize) {
        let core = self.nodes[n].core.as_ref().unwrap();
        let snapshot = core.log().snapshot().clone();
        let start = Recovery {
            ballot: core.ballot(),
            entries: core.log().entries_from(snapshot.index.next(), usize::MAX),
            snapshot,
        };
        self.nodes[n].medium.start = start;
    }

    fn crashes_here(&mut self, n: usize) -> bool {
        let crashes = self.faults.crash > 0.0 && self.rng.random_bool(self.faults.crash / 4.0);
        if crashes {
            self.crash(n);
            self.nodes[n].down_until = self.now + 500;
        }
        crashes
    }

    fn send(&mut self, from: usize, ready: &Ready) {
        for (place, envelope) in &ready.messages {
            let Some(to) = self.nodes.iter().position(|node| node.place == *place) else {
                continue;
            };
            self.sent += 1;
            let copies = 1 + usize::from(self.rng.random_bool(self.faults.doubled));
            for _ in 0..copies {
                if self.rng.random_bool(self.faults.loss) {
                    continue;
                }
                let at = self.now + self.rng.random_range(1..=self.faults.delay_ms);
                self.flights.push(Flight {
                    at,
                    from,
                    to,
                    envelope: envelope.clone(),
                });
            }
        }
    }

    fn apply(&mut self, n: usize, ready: &Ready) {
        if let Some(snapshot) = &ready.install {
            self.nodes[n].store = restore(snapshot);
        }
        for entry in &ready.committed {
            self.check_accepted(entry);
            let (answer, _) = self.nodes[n].store.apply(&entry.record);
            for wish in &mut self.wishes {
                if wish.asked.get(&n) == Some(&(entry.index, entry.term)) {
                    wish.answer.get_or_insert(answer.clone());
                }
            }
            if let Record::Members(members) = &entry.record {
                let line = format!(
                    "{:>6} c{n} accepts {:?} {:?}: {members:?}",
                    self.now, entry.index, entry.term
                );
                self.events.push(line);
            }
            if let Record::Change { id, .. } = &entry.record {
                let first = self.answers.entry(*id).or_insert_with(|| answer.clone());
                assert_eq!(*first, answer, "a resend got another answer");
            }
        }
    }

    fn check_accepted(&mut self, entry: &Entry) {
        let seen = (entry.term, entry.record.clone());
        let first = self
            .accepted
            .entry(entry.index)
            .or_insert_with(|| seen.clone());
        assert_eq!(
            *first, seen,
            "two records were accepted at {:?}",
            entry.index
        );
    }

    fn check(&mut self, n: usize) {
        let Some(core) = &self.nodes[n].core else {
            return;
        };
        if core.role() != Role::Leader {
            return;
        }
        let disk = core.disk();
        let term = core.term();
        let known = *self.leaders.entry(term).or_insert(disk);
        assert_eq!(known, disk, "two leaders in {term:?}");
        if core.may_serve(self.clock(n)) {
            for (index, (term, _)) in &self.accepted {
                let held =
                    *index <= core.log().snapshot().index || core.log().term(*index) == Some(*term);
                assert!(held, "a leader lacks the accepted entry {index:?}");
            }
        }
    }

    /// A reader asks whoever may answer: it must never be told something older
    /// than any reader was told before.
    fn check_reads(&mut self) {
        for n in 0..self.nodes.len() {
            if !self.is_awake(n) {
                continue;
            }
            let core = self.nodes[n].core.as_ref().unwrap();
            if core.may_serve(self.clock(n)) {
                let version = self.nodes[n].store.view.version;
                assert!(
                    version >= self.told,
                    "a reader was told {version:?} after {:?}",
                    self.told
                );
                self.told = version;
                self.reads += 1;
            }
        }
    }

    /// Operators send changes, and resend what was not answered.
    pub(crate) fn operate(&mut self) {
        if self.rng.random_bool(0.02) {
            let base = self.told;
            let id = ChangeId(self.next_change);
            self.next_change += 1;
            self.wishes.push(Wish {
                id,
                base,
                asked: BTreeMap::new(),
                answer: None,
            });
        }
        let leaders: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.is_awake(*n))
            .filter(|n| self.nodes[*n].core.as_ref().unwrap().role() == Role::Leader)
            .collect();
        for n in leaders {
            let clock = self.clock(n);
            let open: Vec<usize> = (0..self.wishes.len())
                .filter(|w| self.wishes[*w].answer.is_none())
                .collect();
            for w in open.into_iter().take(4) {
                if !self.rng.random_bool(0.1) {
                    continue;
                }
                let delta = Delta::between(&self.nodes[n].store.view.config, &Draft::default());
                let record = Record::Change {
                    id: self.wishes[w].id,
                    base: self.wishes[w].base,
                    delta: Box::new(delta),
                };
                let core = self.nodes[n].core.as_mut().unwrap();
                let term = core.term();
                if let Ok(index) = core.propose(clock, record) {
                    self.wishes[w].asked.insert(n, (index, term));
                }
            }
            self.settle(n);
        }
        self.wishes.retain(|w| w.answer.is_none());
        self.compact_some();
    }

    fn compact_some(&mut self) {
        if !self.rng.random_bool(0.005) {
            return;
        }
        let n = self.rng.random_range(0..self.nodes.len());
        if !self.is_awake(n) {
            return;
        }
        self.compact(n);
    }

    /// Takes a snapshot, as the control role does when its log has grown.
    pub(crate) fn compact(&mut self, n: usize) {
        let store = self.nodes[n].store.clone();
        let core = self.nodes[n].core.as_mut().unwrap();
        let index = core.applied();
        let Some(term) = core.log().term(index) else {
            return;
        };
        if index == Index(0) {
            return;
        }
        let snapshot = Snapshot {
            index,
            term,
            members: core.log().members_at(index).clone(),
            bytes: Arc::new(STORES.with(|s| {
                let mut stores = s.borrow_mut();
                stores.push(store);
                (stores.len() as u64).to_be_bytes().to_vec()
            })),
        };
        core.compact(snapshot);
        self.flush(n);
    }

    fn break_things(&mut self) {
        let count = self.nodes.len();
        let n = self.rng.random_range(0..count);
        let faults = self.faults;
        if faults.crash > 0.0 && self.rng.random_bool(faults.crash) && self.is_awake(n) {
            self.crash(n);
            self.nodes[n].down_until = self.now + self.rng.random_range(100..2000);
            // Promises are for one lost disk at a time: the next one may go only
            // when the group has put the last one right.
            if self.rng.random_bool(faults.lose_disk) && self.bears_loss_of(n) {
                self.wipe(n);
                self.note(n, "loses its disk");
            }
        }
        if faults.replace > 0.0 && self.rng.random_bool(faults.replace) && self.bears_loss_of(n) {
            let ms = self.rng.random_range(100..4000);
            self.replace(n, ms);
        }
        if faults.cut > 0.0 && self.rng.random_bool(faults.cut) {
            let other = self.rng.random_range(0..count);
            self.note(n, &format!("is cut from c{other}"));
            self.cut.insert((n, other));
            if self.rng.random_bool(0.7) {
                self.cut.insert((other, n));
            }
        }
        if faults.cut > 0.0 && self.rng.random_bool(0.003) {
            self.cut.clear();
        }
        if faults.freeze > 0.0 && self.rng.random_bool(faults.freeze) {
            self.note(n, "freezes");
            self.nodes[n].frozen_until = self.now + self.rng.random_range(100..3000);
        }
        for n in 0..count {
            if self.nodes[n].core.is_none() && self.nodes[n].down_until <= self.now {
                self.boot(n);
            }
        }
    }

    /// Whether every voter that the newest members name is a disk that exists, and
    /// all of them know it.
    pub(crate) fn is_repaired(&self) -> bool {
        self.is_known_by(|_| true)
    }

    /// Whether the group is whole but for one member, and all others know it: one
    /// that has not caught up is lost already, and promises are for one at a time.
    fn bears_loss_of(&self, n: usize) -> bool {
        self.is_known_by(|other| other != n)
    }

    fn is_known_by<F>(&self, must_know: F) -> bool
    where
        F: Fn(usize) -> bool,
    {
        let disks: Vec<DiskId> = self.nodes.iter().map(|n| n.medium.id).collect();
        let newest = (self.nodes.iter())
            .filter_map(|n| n.core.as_ref())
            .max_by_key(|c| (c.term(), c.commit()));
        newest.is_some_and(|core| {
            let members = core.members();
            // The entry itself must be accepted, by all who would be left.
            let knows = |c: &Core| c.members() == members && c.commit() >= c.log().members().0;
            let mut all = self.nodes.iter().enumerate();
            members.voters.len() == self.nodes.len()
                && members.learners.is_empty()
                && members.voters.iter().all(|v| disks.contains(&v.disk))
                && all.all(|(n, node)| !must_know(n) || node.core.as_ref().is_some_and(knows))
        })
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.faults = Faults {
            drift: self.faults.drift,
            ..Faults::NONE
        };
        self.cut.clear();
        for n in 0..self.nodes.len() {
            self.nodes[n].frozen_until = 0;
            if self.nodes[n].core.is_none() {
                self.boot(n);
            }
        }
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|n| {
            self.is_awake(*n) && {
                let core = self.nodes[*n].core.as_ref().unwrap();
                core.may_serve(self.clock(*n))
            }
        })
    }

    /// Members that may answer readers.
    pub(crate) fn servers(&self) -> usize {
        let serves = |n: &usize| {
            let core = self.nodes[*n].core.as_ref();
            self.is_awake(*n) && core.is_some_and(|c| c.may_serve(self.clock(*n)))
        };
        (0..self.nodes.len()).filter(serves).count()
    }

    /// Runs until a member leads, for at most this long.
    pub(crate) fn run_to_leader(&mut self, ms: u64) -> usize {
        let end = self.now + ms;
        while self.now < end {
            self.step();
            if let Some(n) = self.leader() {
                return n;
            }
        }
        panic!("nobody leads after {ms} ms");
    }

    fn show(&self) {
        for node in &self.nodes {
            let core = node.core.as_ref();
            let state = core.map(|c| {
                let log = c.log();
                (
                    c.role(),
                    c.term(),
                    c.commit(),
                    log.last(),
                    log.last_term(),
                    c.members().clone(),
                )
            });
            println!("{} {:?}: {state:?}", node.place.vm, node.medium.id);
        }
    }

    /// Proposes a change through a member and runs until it is answered.
    pub(crate) fn change(&mut self, n: usize, id: u128, base: Version) -> Option<Answer> {
        let clock = self.clock(n);
        let delta = Delta::between(&self.nodes[n].store.view.config, &Draft::default());
        let record = Record::Change {
            id: ChangeId(id),
            base,
            delta: Box::new(delta),
        };
        let core = self.nodes[n].core.as_mut().unwrap();
        let index = core.propose(clock, record).ok()?;
        self.settle(n);
        for _ in 0..2000 {
            self.step();
            if self.accepted.contains_key(&index) {
                return self.answers.get(&ChangeId(id)).cloned();
            }
        }
        None
    }

    /// Loses all messages under way.
    pub(crate) fn lose_messages(&mut self) {
        self.flights.clear();
    }

    /// Cuts one member off from all others, both ways.
    pub(crate) fn isolate(&mut self, n: usize) {
        for other in 0..self.nodes.len() {
            self.cut.insert((n, other));
            self.cut.insert((other, n));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("seed {} at {} ms", self.seed, self.now);
            for event in &self.events {
                println!("{event}");
            }
            self.show();
        }
    }
}

thread_local! {
    /// States that snapshots stand for: a model needs no encoding.
    static STORES: std::cell::RefCell<Vec<Store>> = const { std::cell::RefCell::new(Vec::new()) };
}

fn restore(snapshot: &Snapshot) -> Store {
    let Ok(number) = <[u8; 8]>::try_from(snapshot.bytes.as_slice()) else {
        return Store::default();
    };
    let place = usize::try_from(u64::from_be_bytes(number)).unwrap() - 1;
    STORES.with(|s| s.borrow()[place].clone())
}

fn place(n: usize) -> Node {
    Node {
        vm: Name::try_from(format!("c{n}")).unwrap(),
        address: format!("127.0.{}.{}:7001", n / 250, n % 250 + 1)
            .parse()
            .unwrap(),
    }
}

fn persist(medium: &mut Medium, ready: &Ready, hard: coordination::consensus::Ballot) {
    let start = &mut medium.start;
    if let Some(snapshot) = &ready.install {
        start.snapshot = snapshot.clone();
        start.entries.clear();
        start.ballot = hard;
    }
    if let Some(cut) = ready.truncate_from {
        start.entries.retain(|e| e.index < cut);
    }
    start.entries.extend(ready.append.iter().cloned());
    if let Some(hard) = ready.ballot {
        start.ballot = hard;
    }
}
