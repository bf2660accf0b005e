//! The control role: the replicated log on its disk, on a thread of its own.

use crate::input::Input as ReactorInput;
use crate::journal::Journal;
use crate::metric::{gauge_value, Metrics};
use coordination::assignment::{Assigner, Site};
use coordination::consensus::{Admission, Core, Index, Ready, Refusal, Role, Snapshot, Term};
use errors::{Error, Result};
use protocol::codec;
use protocol::wire::{Drain, Hello, Message, Query, Reply};
use serde::{Deserialize, Serialize};
use state::clock::Millis;
use state::delta::Delta;
use state::event::{Event, Kind};
use state::id::{Name, Version};
use state::line::Line;
use state::record::{DiskId, Member, Record};
use state::store::{Document, Store};
use state::suspect::Evidence;
use state::view::{Departure, Node, Shard};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use transport::clock::{wall_seconds, Clock};
use transport::disk::Folder;
use transport::link::Hub;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Time between two notes to the reactor that a leader lives, in milliseconds.
const FRESH_MS: u64 = 500;
/// Time between two looks for suspicions that have lasted long enough, in milliseconds.
const EXPIRE_MS: u64 = 5000;
/// Messages taken in one round, whose records share one sync.
const ROUND: usize = 512;

/// What the control thread is told.
pub(crate) enum Input {
    /// A link came up.
    Up(Hello),
    /// A link was lost.
    Down(Name),
    /// A message arrived.
    Message(Name, Message),
    /// What is the state?
    Status(oneshot::Sender<Status>),
    /// Which complete configuration is in force here, and at which version?
    Document(oneshot::Sender<(Version, Option<Document>)>),
    /// The shards that have endpoints.
    Shards(BTreeSet<Shard>),
    /// The settings name other control VMs.
    Seeds(Vec<Node>),
    /// End.
    Stop,
}

/// State of the replicated log, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Status {
    /// What this VM is: `leader`, `follower` and so on.
    pub(crate) role: String,
    /// Term.
    pub(crate) term: u64,
    /// Leader, if one is known.
    pub(crate) leader: Option<Name>,
    /// Last accepted entry.
    pub(crate) accepted: u64,
    /// Last entry.
    pub(crate) last: u64,
    /// Voters.
    pub(crate) voters: Vec<Name>,
    /// Learners.
    pub(crate) learners: Vec<Name>,
    /// Bytes of log since the last snapshot.
    pub(crate) log_bytes: u64,
    /// Syncs since the start.
    pub(crate) syncs: u64,
    /// Idempotency keys kept.
    pub(crate) claims: usize,
}

/// What the control role is given.
pub(crate) struct Parts {
    /// This VM.
    pub(crate) place: Node,
    /// Control VMs.
    pub(crate) seeds: Vec<Node>,
    /// Who may become a member.
    pub(crate) admission: Admission,
    /// Data folder.
    pub(crate) data: PathBuf,
    /// Bytes of log after which a snapshot is taken.
    pub(crate) compact_bytes: u64,
    /// Links.
    pub(crate) hub: Hub,
    /// Clock.
    pub(crate) clock: Clock,
    /// Time line.
    pub(crate) journal: Journal,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// The reactor.
    pub(crate) reactor: flume::Sender<ReactorInput>,
}

/// The control role.
pub(crate) struct Control {
    parts: Parts,
    core: Core,
    folder: Folder,
    store: Store,
    assignments: Assigner,
    shards: BTreeSet<Shard>,
    /// Members as the reactor was last told.
    members: Vec<Node>,
    /// Places of peers with a link, as they introduced themselves.
    places: HashMap<Name, Node>,
    /// Who waits for the entry of a term at an index to be applied.
    waiters: BTreeMap<Index, (Term, Name, u64)>,
    /// Entries whose assignments are not applied yet.
    assigned_until: Index,
    /// When suspicions are next looked through for those that have lasted long enough.
    expire_at: Millis,
    was_leader: bool,
    fresh: bool,
    fresh_at: Millis,
}

impl Control {
    /// Opens the disk and starts as what it held.
    ///
    /// # Errors
    ///
    /// When the disk cannot be read or is damaged.
    pub(crate) fn open(parts: Parts) -> Result<Self> {
        let (mut folder, start) = Folder::open(&parts.data, DiskId(rand::random()))?;
        folder.set_compact_bytes(parts.compact_bytes);
        let store = restore(&start.snapshot)?;
        let me = Member {
            disk: folder.identity(),
            node: parts.place.clone(),
        };
        let mut core = Core::new(me, parts.seeds.clone(), start, parts.clock.now());
        core.set_admission(match parts.admission {
            Admission::Seeds => Admission::Seeds,
            Admission::Open {
                may_bootstrap: begins,
                voters,
            } => Admission::Open {
                may_bootstrap: folder.may_bootstrap(begins)?,
                voters,
            },
        });
        let control = Control {
            core,
            folder,
            store,
            assignments: Assigner::default(),
            shards: BTreeSet::new(),
            members: Vec::new(),
            places: HashMap::new(),
            waiters: BTreeMap::new(),
            assigned_until: Index(0),
            expire_at: Millis(0),
            was_leader: false,
            fresh: false,
            fresh_at: Millis(0),
            parts,
        };
        control.restored();
        Ok(control)
    }

    /// Runs until told to stop.
    ///
    /// # Errors
    ///
    /// When the disk refuses: what it holds is unknown then, and the process
    /// must end.
    pub(crate) fn run(mut self, inputs: &flume::Receiver<Input>) -> Result<()> {
        let mut ticked = Millis(0);
        loop {
            let first = match inputs.recv_timeout(TICK) {
                Ok(input) => Some(input),
                Err(flume::RecvTimeoutError::Timeout) => None,
                Err(flume::RecvTimeoutError::Disconnected) => return Ok(()),
            };
            for input in first.into_iter().chain(inputs.try_iter().take(ROUND)) {
                if matches!(input, Input::Stop) {
                    return Ok(());
                }
                self.input(input);
            }
            let now = self.parts.clock.now();
            // CAST: a tick is far below 2^64 milliseconds.
            if now.since(ticked) >= TICK.as_millis() as u64 {
                ticked = now;
                self.core.tick(now);
                self.lead(now);
            }
            self.settle()?;
        }
    }

    fn input(&mut self, input: Input) {
        let now = self.parts.clock.now();
        match input {
            Input::Up(hello) => {
                self.places.insert(hello.place.vm.clone(), hello.place);
            }
            Input::Down(vm) => {
                self.places.remove(&vm);
                self.assignments.remove(&vm);
            }
            Input::Message(vm, message) => self.message(now, &vm, message),
            // Whoever asked may have gone.
            Input::Status(reply) => drop(reply.send(self.status())),
            Input::Document(reply) => {
                let document = self.store.release.clone();
                // Whoever asked may have gone.
                let _ = reply.send((self.store.view.version, document));
            }
            Input::Shards(shards) => self.shards = shards,
            Input::Seeds(seeds) => {
                self.parts.seeds.clone_from(&seeds);
                self.core.set_seeds(seeds);
            }
            Input::Stop => {}
        }
    }

    fn message(&mut self, now: Millis, vm: &Name, message: Message) {
        let own = (*vm == self.parts.place.vm).then(|| self.parts.place.clone());
        let Some(place) = own.or_else(|| self.places.get(vm).cloned()) else {
            return;
        };
        match message {
            Message::Consensus(envelope) if self.is_control(vm) => {
                self.core.step(now, &place, envelope);
            }
            Message::Heartbeat {
                region,
                data_centre,
                incarnation,
            } => {
                let site = Site {
                    node: place,
                    region,
                    data_centre,
                };
                self.assignments.record_heartbeat(now, site, incarnation);
            }
            Message::Query(id, query) => self.query(now, vm, id, query),
            _ => {}
        }
    }

    /// Whether a VM may take part in agreement. Where members are not known
    /// beforehand, one that runs the control role is told by its calls alone.
    fn is_control(&self, vm: &Name) -> bool {
        match self.parts.admission {
            Admission::Seeds => self.parts.seeds.iter().any(|s| s.vm == *vm),
            Admission::Open { .. } => true,
        }
    }

    fn query(&mut self, now: Millis, vm: &Name, id: u64, query: Query) {
        if !self.core.may_serve(now) {
            let leader = self.core.leader().filter(|l| l.vm != self.parts.place.vm);
            self.reply(vm, id, Reply::NotLeader(leader));
            return;
        }
        let record = match query {
            Query::CurrentVersion => {
                self.reply(vm, id, Reply::CurrentVersion(self.store.view.version));
                return;
            }
            other => self.record(other),
        };
        let record = record.and_then(checked);
        let proposed = record.map(|record| self.core.propose(now, record));
        match proposed {
            Ok(Ok(index)) => {
                let term = self.core.term();
                self.waiters.insert(index, (term, vm.clone(), id));
            }
            Ok(Err(Refusal::NotLeader(leader))) => {
                self.reply(vm, id, Reply::NotLeader(leader));
            }
            Ok(Err(Refusal::NoLease | Refusal::Busy)) => {
                self.reply(vm, id, Reply::NotLeader(None));
            }
            Err(reason) => self.reply(vm, id, Reply::Invalid(reason)),
        }
    }

    /// The record that a query asks for, or why it is wrong.
    fn record(&self, query: Query) -> Result<Record, String> {
        match query {
            Query::CurrentVersion => Ok(Record::NoOp),
            Query::Claim {
                key,
                customer,
                fingerprint,
                request,
            } => Ok(Record::Claim {
                key,
                customer,
                fingerprint,
                request,
                at: wall_seconds(),
            }),
            Query::Settle {
                key,
                request,
                known,
            } => Ok(Record::Settle {
                key,
                request,
                known,
            }),
            Query::Change { id, base, text } => {
                let draft = settings::parse_configuration("(change)", &text);
                let draft = draft.map_err(|e| e.to_string())?;
                let delta = Box::new(Delta::between(&self.store.view.config, &draft));
                Ok(Record::Change { id, base, delta })
            }
            Query::Release(release) => Ok(Record::Release(release)),
            Query::Evidence(evidence) => Ok(Record::Suspects {
                at: self.parts.clock.stamp(),
                evidence,
            }),
            Query::Drain(leaving) => self.departure(leaving).map(Record::Departure),
            Query::Evacuation(order) => Ok(Record::Evacuation {
                at: self.parts.clock.stamp(),
                order,
            }),
        }
    }

    fn departure(&self, leaving: Drain) -> Result<Departure, String> {
        let endpoint = |name: &Name| {
            let found = self.store.view.config.endpoint(name);
            found.ok_or_else(|| format!("no endpoint {name} is in force"))
        };
        match leaving {
            Drain::Endpoint(name) => endpoint(&name).map(Departure::Endpoint),
            Drain::EndpointBack(name) => endpoint(&name).map(Departure::EndpointBack),
            Drain::Vm(name, incarnation) => Ok(Departure::Vm(name, incarnation)),
        }
    }

    /// What only a leader does: assigns schedulers.
    fn lead(&mut self, now: Millis) {
        let leads = self.core.role() == Role::Leader;
        if leads != self.was_leader {
            self.was_leader = leads;
            self.to_reactor(ReactorInput::Leads(leads));
            self.note_role(leads);
            if leads {
                self.assignments.reset(now);
            } else {
                self.give_up_waiters();
            }
        }
        if !leads || !self.core.may_serve(now) || self.core.commit() < self.assigned_until {
            return;
        }
        self.expire_suspects(now);
        for assignment in self.assignments.plan(now, &self.store.view, &self.shards) {
            tracing::info!(
                event = Line::SchedulerAssigned.as_str(),
                vm = %assignment.node.vm,
                epoch = assignment.epoch.0,
                service = self.store.view.config.service_name(assignment.shard.service),
                region = %assignment.shard.region,
                data_centre = assignment.shard.data_centre.as_ref().map(Name::as_str),
            );
            if let Ok(index) = self.core.propose(now, Record::Assignment(assignment)) {
                self.assigned_until = index;
            }
        }
    }

    /// Ends suspicions and quarantines that have lasted long enough.
    fn expire_suspects(&mut self, now: Millis) {
        if now < self.expire_at {
            return;
        }
        self.expire_at = now.after(EXPIRE_MS);
        let at = self.parts.clock.stamp();
        if !self.store.suspects.is_expired(at.wall) {
            return;
        }
        let record = Record::Suspects {
            at,
            evidence: Evidence::default(),
        };
        // Refused, it is tried again: nothing has expired yet.
        let _ = self.core.propose(now, record);
    }

    fn note_role(&self, leads: bool) {
        let term = self.core.term().0;
        let step = if leads {
            tracing::info!(event = Line::LeaderBegan.as_str(), term);
            Kind::LeaderBegan
        } else {
            tracing::info!(event = Line::LeaderEnded.as_str(), term);
            Kind::LeaderEnded
        };
        self.parts
            .journal
            .note(Event::new(step).version(Version(term)));
    }

    /// Tells those who wait to ask the next leader. Their records may still be
    /// accepted; the identities that they carry make asking again harmless.
    fn give_up_waiters(&mut self) {
        for (_, vm, id) in std::mem::take(&mut self.waiters).into_values() {
            self.reply(&vm, id, Reply::NotLeader(None));
        }
    }

    /// Writes, syncs, sends and applies until nothing is left to do.
    fn settle(&mut self) -> Result<()> {
        loop {
            let ready = self.core.ready();
            if ready.is_empty() {
                break;
            }
            if ready.must_sync() {
                let hard = self.core.ballot();
                self.folder.write(&ready, hard)?;
                let last = self.core.log().last();
                self.core.synced(last);
            }
            self.carry_out(ready)?;
        }
        if self.folder.needs_snapshot() {
            self.compact()?;
        }
        self.tell_fresh();
        self.tell_members();
        Ok(())
    }

    /// Reaches all members, whom the settings need not name.
    fn tell_members(&mut self) {
        let members = self.core.members();
        let same = members.all().map(|m| &m.node).eq(self.members.iter());
        if same {
            return;
        }
        self.members = members.all().map(|m| m.node.clone()).collect();
        tracing::info!(
            event = Line::MembersChanged.as_str(),
            voters = ?members.voters.iter().map(|m| m.node.vm.as_str()).collect::<Vec<_>>(),
            learners = ?members.learners.iter().map(|m| m.node.vm.as_str()).collect::<Vec<_>>(),
        );
        self.to_reactor(ReactorInput::Members(self.members.clone()));
    }

    fn carry_out(&mut self, ready: Ready) -> Result<()> {
        for (place, envelope) in ready.messages {
            self.parts.hub.send(&place.vm, Message::Consensus(envelope));
        }
        if let Some(snapshot) = ready.install {
            self.store = restore(&snapshot)?;
            self.restored();
        }
        let mut steps = Vec::new();
        for entry in ready.committed {
            let (answer, step) = self.store.apply(&entry.record);
            steps.extend(step);
            if let Some((term, vm, id)) = self.waiters.remove(&entry.index) {
                // Another leader's record may stand where ours was to be.
                let reply = if term == entry.term {
                    Reply::Answer(answer)
                } else {
                    Reply::NotLeader(None)
                };
                self.reply(&vm, id, reply);
            }
        }
        if !steps.is_empty() {
            self.to_reactor(ReactorInput::Applied(steps));
        }
        self.measure();
        Ok(())
    }

    /// Replaces the log's past by a snapshot of what was applied.
    fn compact(&mut self) -> Result<()> {
        let index = self.core.applied();
        let log = self.core.log();
        let Some(term) = log.term(index) else {
            return Ok(());
        };
        let bytes = codec::encode_value(&self.store)?;
        let snapshot = Snapshot {
            index,
            term,
            members: log.members_at(index).clone(),
            bytes: Arc::new(bytes),
        };
        let tail = log.entries_from(index.next(), usize::MAX);
        self.folder
            .start_generation(&snapshot, self.core.ballot(), &tail)?;
        self.core.compact(snapshot);
        Ok(())
    }

    /// Tells the reactor whether what it is fed from here is current.
    fn tell_fresh(&mut self) {
        let now = self.parts.clock.now();
        let fresh = self.core.has_leader_contact(now);
        let due = fresh && now.since(self.fresh_at) >= FRESH_MS;
        if due || fresh != self.fresh {
            self.fresh = fresh;
            self.fresh_at = now;
            self.to_reactor(ReactorInput::Fresh(fresh));
        }
    }

    fn restored(&self) {
        let view = Box::new(self.store.view.clone());
        self.to_reactor(ReactorInput::Restored(view));
    }

    fn to_reactor(&self, input: ReactorInput) {
        // The reactor ends only together with this process.
        let _ = self.parts.reactor.send(input);
    }

    fn reply(&self, vm: &Name, id: u64, reply: Reply) {
        // Whoever lost the link asks again.
        self.parts.hub.send(vm, Message::Reply(id, reply));
    }

    fn measure(&self) {
        let set = |what, number| {
            let gauge = self.parts.metrics.control.with_label_values(&[what]);
            gauge.set(gauge_value(number));
        };
        set("term", self.core.term().0);
        set("accepted", self.core.commit().0);
        set("leads", u64::from(self.core.role() == Role::Leader));
        set("log_bytes", self.folder.log_bytes());
        set("syncs", self.folder.sync_count());
        set("claims", self.store.claims.len() as u64);
    }

    fn status(&self) -> Status {
        let names = |members: &[Member]| members.iter().map(|m| m.node.vm.clone()).collect();
        let members = self.core.members();
        Status {
            role: format!("{:?}", self.core.role()).to_lowercase(),
            term: self.core.term().0,
            leader: self.core.leader().map(|p| p.vm),
            accepted: self.core.commit().0,
            last: self.core.log().last().0,
            voters: names(&members.voters),
            learners: names(&members.learners),
            log_bytes: self.folder.log_bytes(),
            syncs: self.folder.sync_count(),
            claims: self.store.claims.len(),
        }
    }
}

/// A record that can be sent to the other control VMs, or why it cannot.
fn checked(record: Record) -> Result<Record, String> {
    if record.is_large() && !codec::fits_record(&record) {
        return Err(format!(
            "it has more than {} bytes",
            codec::MAX_RECORD_BYTES
        ));
    }
    Ok(record)
}

fn restore(snapshot: &Snapshot) -> Result<Store> {
    if snapshot.bytes.is_empty() {
        return Ok(Store::default());
    }
    codec::decode_value(&snapshot.bytes).map_err(|_| Error::Corrupt {
        step: "read the state",
        path: "(snapshot)".to_owned(),
        reason: "it was written by another version of this program".to_owned(),
    })
}
