//! Deterministic simulation of a cluster of control VMs whose disks, clocks and network fail.
//!
//! The simulation drives the consensus core without I/O and checks the invariants of consensus
//! as it runs: one leader in a term, one committed entry at an index, committed entries in the
//! log of each leader that serves, one answer to a change, and reads that never go back in
//! version. A run is determined by its seed.
#![allow(dead_code, reason = "each test file uses a part of the simulation")]
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

/// Faults that a run injects. Fields of type `f64` are probabilities.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// That a copy of a message is lost.
    pub(crate) loss: f64,
    /// That a message is sent twice.
    pub(crate) duplicate: f64,
    /// Largest delay of a message.
    pub(crate) delay_ms: u64,
    /// That a VM crashes in a millisecond; a quarter of it applies before and after each write
    /// to its disk.
    pub(crate) crash: f64,
    /// That a crashed VM loses its disk.
    pub(crate) lose_disk: f64,
    /// That a link between two VMs is cut in a millisecond.
    pub(crate) cut_link: f64,
    /// That a VM freezes in a millisecond.
    pub(crate) freeze: f64,
    /// That a VM is removed for good in a millisecond and replaced by an empty one with another
    /// address.
    pub(crate) replace: f64,
    /// Largest deviation of a clock's rate from real time.
    pub(crate) drift_percent: u64,
}

impl Faults {
    /// Messages are delayed by at most 5 ms; nothing fails.
    pub(crate) const NONE: Faults = Faults {
        loss: 0.0,
        duplicate: 0.0,
        delay_ms: 5,
        crash: 0.0,
        lose_disk: 0.0,
        cut_link: 0.0,
        freeze: 0.0,
        replace: 0.0,
        drift_percent: 0,
    };
    /// All faults but replacement, for a cluster with fixed addresses.
    pub(crate) const ALL: Faults = Faults {
        loss: 0.05,
        duplicate: 0.05,
        delay_ms: 60,
        crash: 0.002,
        lose_disk: 0.25,
        cut_link: 0.002,
        freeze: 0.001,
        replace: 0.0,
        drift_percent: 5,
    };
    /// All faults, for a cluster whose members are found through seeds.
    pub(crate) const ALL_WITH_REPLACEMENT: Faults = Faults {
        replace: 0.000_3,
        ..Faults::ALL
    };
}

/// Persistent state of a VM; it survives a crash.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    pub(crate) id: DiskId,
    pub(crate) recovery: Recovery,
    /// Whether the disk is from the first start of the fleet, so that its VM may bootstrap the
    /// cluster.
    pub(crate) may_bootstrap: bool,
}

/// A control VM: its disk, and the process that runs on it.
pub(crate) struct Vm {
    pub(crate) node: Node,
    /// `None` while the process is down.
    pub(crate) core: Option<Core>,
    pub(crate) disk: Disk,
    /// State machine that committed entries are applied to.
    pub(crate) store: Store,
    pub(crate) frozen_until_ms: u64,
    /// Rate of the VM's clock relative to real time.
    clock_percent: u64,
    /// Time at which a crashed process starts again.
    pub(crate) down_until_ms: u64,
}

/// A message in flight between two VMs, given by their positions.
#[derive(Clone, Debug)]
struct Delivery {
    at_ms: u64,
    from: usize,
    to: usize,
    envelope: Envelope,
}

/// A configuration change that an operator resends until a leader answers.
struct Request {
    id: ChangeId,
    /// Version that the change is based on.
    base: Version,
    /// Log position and term of the latest proposal through each VM.
    proposed: BTreeMap<usize, (Index, Term)>,
    answer: Option<Answer>,
}

/// Control VMs, the network between them, and the operators and readers that use them.
pub(crate) struct Cluster {
    pub(crate) now_ms: u64,
    pub(crate) vms: Vec<Vm>,
    pub(crate) rng: Pcg64,
    pub(crate) faults: Faults,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// Whether a member writes entries to its disk before it sends messages that acknowledge
    /// them.
    pub(crate) syncs_before_sending: bool,
    /// Committed entries that any member has applied.
    pub(crate) committed: BTreeMap<Index, (Term, Record)>,
    /// Disk of the leader of each term.
    pub(crate) leaders: BTreeMap<Term, DiskId>,
    /// First answer to each change; later answers must be equal.
    pub(crate) answers: BTreeMap<ChangeId, Answer>,
    /// Messages sent so far.
    pub(crate) sent: u64,
    in_flight: Vec<Delivery>,
    requests: Vec<Request>,
    next_disk: u64,
    next_change: u128,
    /// Newest version that any reader has got.
    pub(crate) newest_read: Version,
    /// Reads that members have served.
    pub(crate) reads: u64,
    seed: u64,
    /// Whether members are found through seeds and any VM may become a member.
    is_open: bool,
    /// Target number of voters.
    pub(crate) wanted_voters: usize,
    /// VMs created so far; a name or address is never reused.
    vms_created: usize,
    /// Injected faults and membership changes, printed when a run fails.
    events: Vec<String>,
}

impl Cluster {
    /// Starts a cluster whose members are the VMs at fixed addresses.
    pub(crate) fn new(count: usize, seed: u64, faults: Faults) -> Self {
        Cluster::build(count, seed, faults, false)
    }

    /// Starts a cluster whose members are found through seeds.
    pub(crate) fn with_open_admission(count: usize, seed: u64, faults: Faults) -> Self {
        Cluster::build(count, seed, faults, true)
    }

    fn build(count: usize, seed: u64, faults: Faults, is_open: bool) -> Self {
        let mut cluster = Cluster {
            now_ms: 0,
            vms: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            faults,
            cut_links: BTreeSet::new(),
            syncs_before_sending: true,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            answers: BTreeMap::new(),
            sent: 0,
            in_flight: Vec::new(),
            requests: Vec::new(),
            next_disk: seed.wrapping_mul(1000),
            next_change: 1,
            newest_read: Version(0),
            reads: 0,
            seed,
            is_open,
            wanted_voters: count,
            vms_created: count,
            events: Vec::new(),
        };
        for n in 0..count {
            cluster.push_vm(node_at(n));
        }
        for n in 0..count {
            cluster.boot(n);
        }
        cluster
    }

    /// Adds a VM with an empty disk, without starting its process.
    fn push_vm(&mut self, node: Node) {
        let drift_percent = self.faults.drift_percent;
        let clock_percent = 100 - drift_percent + self.rng.random_range(0..=2 * drift_percent);
        self.vms.push(Vm {
            node,
            core: None,
            disk: Disk::default(),
            store: Store::default(),
            frozen_until_ms: 0,
            clock_percent,
            down_until_ms: 0,
        });
        self.wipe(self.vms.len() - 1);
    }

    /// Adds a VM with an empty disk, starts its process and returns its position.
    pub(crate) fn add_vm(&mut self) -> usize {
        self.push_vm(node_at(self.vms_created));
        self.vms_created += 1;
        let n = self.vms.len() - 1;
        self.boot(n);
        n
    }

    /// Removes VM `n` for good, together with all messages in flight and cut links; the last VM
    /// takes its position.
    pub(crate) fn remove_vm(&mut self, n: usize) {
        self.vms.swap_remove(n);
        self.in_flight.clear();
        self.cut_links.clear();
    }

    /// Time on the clock of VM `n`.
    pub(crate) fn clock(&self, n: usize) -> Millis {
        Millis(self.now_ms * self.vms[n].clock_percent / 100)
    }

    /// Replaces the disk of a VM by an empty one.
    pub(crate) fn wipe(&mut self, n: usize) {
        self.next_disk += 1;
        self.vms[n].disk = Disk {
            id: DiskId(self.next_disk.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            recovery: Recovery::default(),
            // Only disks from the first start of the cluster may bootstrap it.
            may_bootstrap: self.now_ms == 0,
        };
    }

    /// Starts the process of a VM from its disk.
    pub(crate) fn boot(&mut self, n: usize) {
        let seeds = self.vms.iter().map(|vm| vm.node.clone()).collect();
        let me = Member {
            disk: self.vms[n].disk.id,
            node: self.vms[n].node.clone(),
        };
        let recovery = self.vms[n].disk.recovery.clone();
        self.vms[n].store = restore(&recovery.snapshot);
        let mut core = Core::new(me, seeds, recovery, self.clock(n));
        if self.is_open {
            core.set_admission(Admission::Open {
                may_bootstrap: self.vms[n].disk.may_bootstrap,
                voters: self.wanted_voters,
            });
        }
        self.vms[n].core = Some(core);
    }

    /// Replaces a VM for good by an empty one with another address, which starts after `ms`.
    pub(crate) fn replace(&mut self, n: usize, ms: u64) {
        self.crash(n);
        self.vms[n].node = node_at(self.vms_created);
        self.vms_created += 1;
        self.wipe(n);
        self.vms[n].down_until_ms = self.now_ms + ms;
        self.in_flight.retain(|f| f.to != n && f.from != n);
        self.cut_links.retain(|(from, to)| *from != n && *to != n);
        self.record_event(n, "is replaced");
    }

    fn record_event(&mut self, n: usize, what: &str) {
        self.events.push(format!("{:>6} c{n} {what}", self.now_ms));
    }

    /// Ends the process of a VM; only [`Cluster::boot`] or a new `down_until_ms` starts it again.
    pub(crate) fn crash(&mut self, n: usize) {
        self.record_event(n, "crashes");
        self.vms[n].core = None;
        self.vms[n].down_until_ms = u64::MAX;
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
        }
    }

    /// Advances the cluster by a millisecond.
    pub(crate) fn step(&mut self) {
        self.now_ms += 1;
        self.inject_faults();
        let due: Vec<Delivery> = {
            let now_ms = self.now_ms;
            let (due, rest) = self.in_flight.drain(..).partition(|f| f.at_ms <= now_ms);
            self.in_flight = rest;
            due
        };
        for delivery in due {
            self.deliver(delivery);
        }
        if self.now_ms.is_multiple_of(20) {
            for n in 0..self.vms.len() {
                if self.is_awake(n) {
                    let clock = self.clock(n);
                    self.vms[n].core.as_mut().unwrap().tick(clock);
                    self.process_ready(n);
                }
            }
            self.check_reads();
        }
    }

    /// Whether the process of VM `n` runs and isn't frozen.
    pub(crate) fn is_awake(&self, n: usize) -> bool {
        self.vms[n].core.is_some() && self.vms[n].frozen_until_ms <= self.now_ms
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { from, to, .. } = delivery;
        if self.vms[to].core.is_none() || self.cut_links.contains(&(from, to)) {
            return;
        }
        if self.vms[to].frozen_until_ms > self.now_ms {
            // A frozen process receives its messages when it resumes.
            let at_ms = self.vms[to].frozen_until_ms;
            self.in_flight.push(Delivery { at_ms, ..delivery });
            return;
        }
        let clock = self.clock(to);
        let sender = self.vms[from].node.clone();
        let core = self.vms[to].core.as_mut().unwrap();
        core.step(clock, &sender, delivery.envelope);
        self.process_ready(to);
    }

    /// Persists, sends and applies the output of a member's core, as the control role does. An
    /// injected crash may come before or after the write to the disk.
    pub(crate) fn process_ready(&mut self, n: usize) {
        loop {
            let Some(core) = self.vms[n].core.as_mut() else {
                return;
            };
            let ready = core.ready();
            if ready.is_empty() {
                break;
            }
            let last = core.log().last();
            let ballot = core.ballot();
            if !self.syncs_before_sending {
                // Nothing reaches the disk: a crash loses all that was acknowledged.
                self.vms[n].core.as_mut().unwrap().synced(last);
                self.send(n, &ready);
                self.apply(n, &ready);
                continue;
            }
            if self.maybe_crash(n) {
                return;
            }
            persist(&mut self.vms[n].disk, &ready, ballot);
            if self.maybe_crash(n) {
                return;
            }
            self.vms[n].core.as_mut().unwrap().synced(last);
            self.send(n, &ready);
            self.apply(n, &ready);
        }
        self.check_leader(n);
    }

    /// Writes the whole in-memory log of a member to its disk, after a compaction or in runs
    /// without `syncs_before_sending`.
    pub(crate) fn flush(&mut self, n: usize) {
        let core = self.vms[n].core.as_ref().unwrap();
        let snapshot = core.log().snapshot().clone();
        let recovery = Recovery {
            ballot: core.ballot(),
            entries: core.log().entries_from(snapshot.index.next(), usize::MAX),
            snapshot,
        };
        self.vms[n].disk.recovery = recovery;
    }

    /// Crashes a VM for 500 ms with the probability of a crash around a write.
    fn maybe_crash(&mut self, n: usize) -> bool {
        let crashed = self.faults.crash > 0.0 && self.rng.random_bool(self.faults.crash / 4.0);
        if crashed {
            self.crash(n);
            self.vms[n].down_until_ms = self.now_ms + 500;
        }
        crashed
    }

    fn send(&mut self, from: usize, ready: &Ready) {
        for (recipient, envelope) in &ready.messages {
            let Some(to) = self.vms.iter().position(|vm| vm.node == *recipient) else {
                continue;
            };
            self.sent += 1;
            let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
            for _ in 0..copies {
                if self.rng.random_bool(self.faults.loss) {
                    continue;
                }
                let at_ms = self.now_ms + self.rng.random_range(1..=self.faults.delay_ms);
                self.in_flight.push(Delivery {
                    at_ms,
                    from,
                    to,
                    envelope: envelope.clone(),
                });
            }
        }
    }

    fn apply(&mut self, n: usize, ready: &Ready) {
        if let Some(snapshot) = &ready.install {
            self.vms[n].store = restore(snapshot);
        }
        for entry in &ready.committed {
            self.check_committed(entry);
            let (answer, _) = self.vms[n].store.apply(&entry.record);
            for request in &mut self.requests {
                if request.proposed.get(&n) == Some(&(entry.index, entry.term)) {
                    request.answer.get_or_insert(answer.clone());
                }
            }
            if let Record::Members(members) = &entry.record {
                let line = format!(
                    "{:>6} c{n} commits {:?} {:?}: {members:?}",
                    self.now_ms, entry.index, entry.term
                );
                self.events.push(line);
            }
            if let Record::Change { id, .. } = &entry.record {
                let first = self.answers.entry(*id).or_insert_with(|| answer.clone());
                assert_eq!(*first, answer, "a resent change got another answer");
            }
        }
    }

    /// Checks that no other entry was committed at the same index.
    fn check_committed(&mut self, entry: &Entry) {
        let seen = (entry.term, entry.record.clone());
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| seen.clone());
        assert_eq!(
            *first, seen,
            "two records were committed at {:?}",
            entry.index
        );
    }

    /// Checks that a leader is the only one in its term and, if it may serve, that its log holds
    /// all committed entries.
    fn check_leader(&mut self, n: usize) {
        let Some(core) = &self.vms[n].core else {
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
            for (index, (term, _)) in &self.committed {
                let held =
                    *index <= core.log().snapshot().index || core.log().term(*index) == Some(*term);
                assert!(held, "a leader lacks the committed entry {index:?}");
            }
        }
    }

    /// Reads from each member that may serve, and checks that no read returns an older version
    /// than an earlier read.
    fn check_reads(&mut self) {
        for n in 0..self.vms.len() {
            if !self.is_awake(n) {
                continue;
            }
            let core = self.vms[n].core.as_ref().unwrap();
            if core.may_serve(self.clock(n)) {
                let version = self.vms[n].store.view.version;
                assert!(
                    version >= self.newest_read,
                    "a reader got {version:?} after {:?}",
                    self.newest_read
                );
                self.newest_read = version;
                self.reads += 1;
            }
        }
    }

    /// Submits new changes, and resends unanswered ones, to all members that lead.
    pub(crate) fn submit_changes(&mut self) {
        if self.rng.random_bool(0.02) {
            let base = self.newest_read;
            let id = ChangeId(self.next_change);
            self.next_change += 1;
            self.requests.push(Request {
                id,
                base,
                proposed: BTreeMap::new(),
                answer: None,
            });
        }
        let leaders: Vec<usize> = (0..self.vms.len())
            .filter(|n| self.is_awake(*n))
            .filter(|n| self.vms[*n].core.as_ref().unwrap().role() == Role::Leader)
            .collect();
        for n in leaders {
            let clock = self.clock(n);
            let open: Vec<usize> = (0..self.requests.len())
                .filter(|w| self.requests[*w].answer.is_none())
                .collect();
            for w in open.into_iter().take(4) {
                if !self.rng.random_bool(0.1) {
                    continue;
                }
                let delta = Delta::between(&self.vms[n].store.view.config, &Draft::default());
                let record = Record::Change {
                    id: self.requests[w].id,
                    base: self.requests[w].base,
                    delta: Box::new(delta),
                };
                let core = self.vms[n].core.as_mut().unwrap();
                let term = core.term();
                if let Ok(index) = core.propose(clock, record) {
                    self.requests[w].proposed.insert(n, (index, term));
                }
            }
            self.process_ready(n);
        }
        self.requests.retain(|w| w.answer.is_none());
        self.maybe_compact();
    }

    /// Compacts the log of a random member in one of 200 milliseconds.
    fn maybe_compact(&mut self) {
        if !self.rng.random_bool(0.005) {
            return;
        }
        let n = self.rng.random_range(0..self.vms.len());
        if !self.is_awake(n) {
            return;
        }
        self.compact(n);
    }

    /// Replaces the applied entries of a member's log by a snapshot, as the control role does
    /// when its log has grown.
    pub(crate) fn compact(&mut self, n: usize) {
        let store = self.vms[n].store.clone();
        let core = self.vms[n].core.as_mut().unwrap();
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

    /// Injects the random faults of a millisecond, and restarts VMs that are due.
    fn inject_faults(&mut self) {
        let count = self.vms.len();
        let n = self.rng.random_range(0..count);
        let faults = self.faults;
        if faults.crash > 0.0 && self.rng.random_bool(faults.crash) && self.is_awake(n) {
            self.crash(n);
            self.vms[n].down_until_ms = self.now_ms + self.rng.random_range(100..2000);
            // The cluster guarantees to survive the loss of one disk at a time: the next disk
            // may be lost only after the cluster has replaced the previous one.
            if self.rng.random_bool(faults.lose_disk) && self.tolerates_loss_of(n) {
                self.wipe(n);
                self.record_event(n, "loses its disk");
            }
        }
        if faults.replace > 0.0 && self.rng.random_bool(faults.replace) && self.tolerates_loss_of(n)
        {
            let ms = self.rng.random_range(100..4000);
            self.replace(n, ms);
        }
        if faults.cut_link > 0.0 && self.rng.random_bool(faults.cut_link) {
            let other = self.rng.random_range(0..count);
            self.record_event(n, &format!("is cut from c{other}"));
            self.cut_links.insert((n, other));
            if self.rng.random_bool(0.7) {
                self.cut_links.insert((other, n));
            }
        }
        if faults.cut_link > 0.0 && self.rng.random_bool(0.003) {
            self.cut_links.clear();
        }
        if faults.freeze > 0.0 && self.rng.random_bool(faults.freeze) {
            self.record_event(n, "freezes");
            self.vms[n].frozen_until_ms = self.now_ms + self.rng.random_range(100..3000);
        }
        for n in 0..count {
            if self.vms[n].core.is_none() && self.vms[n].down_until_ms <= self.now_ms {
                self.boot(n);
            }
        }
    }

    /// Whether the voters are exactly the existing disks, and all members have committed that
    /// membership.
    pub(crate) fn is_repaired(&self) -> bool {
        self.is_complete_for(|_| true)
    }

    /// Whether the cluster survives the loss of VM `n`: the voters are exactly the existing
    /// disks, and all members but `n` have committed that membership. A member that has not
    /// caught up counts as lost, and only one may be lost at a time.
    fn tolerates_loss_of(&self, n: usize) -> bool {
        self.is_complete_for(|other| other != n)
    }

    /// Whether the voters are exactly the existing disks and all VMs that `must_know` selects
    /// have committed that membership.
    fn is_complete_for<F>(&self, must_know: F) -> bool
    where
        F: Fn(usize) -> bool,
    {
        let disks: Vec<DiskId> = self.vms.iter().map(|n| n.disk.id).collect();
        let newest = (self.vms.iter())
            .filter_map(|n| n.core.as_ref())
            .max_by_key(|c| (c.term(), c.commit()));
        newest.is_some_and(|core| {
            let members = core.members();
            // The membership entry itself must be committed there, too.
            let knows = |c: &Core| c.members() == members && c.commit() >= c.log().members().0;
            let mut all = self.vms.iter().enumerate();
            members.voters.len() == self.vms.len()
                && members.learners.is_empty()
                && members.voters.iter().all(|v| disks.contains(&v.disk))
                && all.all(|(n, vm)| !must_know(n) || vm.core.as_ref().is_some_and(knows))
        })
    }

    /// Ends all faults but clock drift, and starts all VMs that are down.
    pub(crate) fn heal(&mut self) {
        self.faults = Faults {
            drift_percent: self.faults.drift_percent,
            ..Faults::NONE
        };
        self.cut_links.clear();
        for n in 0..self.vms.len() {
            self.vms[n].frozen_until_ms = 0;
            if self.vms[n].core.is_none() {
                self.boot(n);
            }
        }
    }

    /// Position of a member that may serve reads, if there is one.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.vms.len()).find(|n| {
            self.is_awake(*n) && {
                let core = self.vms[*n].core.as_ref().unwrap();
                core.may_serve(self.clock(*n))
            }
        })
    }

    /// Number of members that may serve reads.
    pub(crate) fn serving_count(&self) -> usize {
        let serves = |n: &usize| {
            let core = self.vms[*n].core.as_ref();
            self.is_awake(*n) && core.is_some_and(|c| c.may_serve(self.clock(*n)))
        };
        (0..self.vms.len()).filter(serves).count()
    }

    /// Runs until a leader may serve, and returns its position; panics after `ms`.
    pub(crate) fn run_until_leader(&mut self, ms: u64) -> usize {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
            if let Some(n) = self.leader() {
                return n;
            }
        }
        panic!("no leader after {ms} ms");
    }

    /// Prints role, log positions and membership of each VM.
    fn print_state(&self) {
        for vm in &self.vms {
            let core = vm.core.as_ref();
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
            println!("{} {:?}: {state:?}", vm.node.vm, vm.disk.id);
        }
    }

    /// Proposes a change through a member and runs until it is committed; `None` if the member
    /// doesn't take the change or it isn't committed within 2 s.
    pub(crate) fn change(&mut self, n: usize, id: u128, base: Version) -> Option<Answer> {
        let clock = self.clock(n);
        let delta = Delta::between(&self.vms[n].store.view.config, &Draft::default());
        let record = Record::Change {
            id: ChangeId(id),
            base,
            delta: Box::new(delta),
        };
        let core = self.vms[n].core.as_mut().unwrap();
        let index = core.propose(clock, record).ok()?;
        self.process_ready(n);
        for _ in 0..2000 {
            self.step();
            if self.committed.contains_key(&index) {
                return self.answers.get(&ChangeId(id)).cloned();
            }
        }
        None
    }

    /// Drops all messages in flight.
    pub(crate) fn drop_messages(&mut self) {
        self.in_flight.clear();
    }

    /// Cuts the links between a member and all others in both directions.
    pub(crate) fn isolate(&mut self, n: usize) {
        for other in 0..self.vms.len() {
            self.cut_links.insert((n, other));
            self.cut_links.insert((other, n));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("seed {} at {} ms", self.seed, self.now_ms);
            for event in &self.events {
                println!("{event}");
            }
            self.print_state();
        }
    }
}

thread_local! {
    /// Stores captured by snapshots. The bytes of a snapshot are a number, one more than the
    /// position here, so that the simulation needs no encoding.
    static STORES: std::cell::RefCell<Vec<Store>> = const { std::cell::RefCell::new(Vec::new()) };
}

/// Returns the store that a snapshot refers to, or an empty one for an empty snapshot.
fn restore(snapshot: &Snapshot) -> Store {
    let Ok(number) = <[u8; 8]>::try_from(snapshot.bytes.as_slice()) else {
        return Store::default();
    };
    let position = usize::try_from(u64::from_be_bytes(number)).unwrap() - 1;
    STORES.with(|s| s.borrow()[position].clone())
}

/// Name and address of the VM with a number.
fn node_at(n: usize) -> Node {
    Node {
        vm: Name::try_from(format!("c{n}")).unwrap(),
        address: format!("127.0.{}.{}:7001", n / 250, n % 250 + 1)
            .parse()
            .unwrap(),
    }
}

/// Writes the output of a core to a disk.
fn persist(disk: &mut Disk, ready: &Ready, ballot: coordination::consensus::Ballot) {
    let recovery = &mut disk.recovery;
    if let Some(snapshot) = &ready.install {
        recovery.snapshot = snapshot.clone();
        recovery.entries.clear();
        recovery.ballot = ballot;
    }
    if let Some(from) = ready.truncate_from {
        recovery.entries.retain(|e| e.index < from);
    }
    recovery.entries.extend(ready.append.iter().cloned());
    if let Some(ballot) = ready.ballot {
        recovery.ballot = ballot;
    }
}
