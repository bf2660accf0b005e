//! The catalog of software versions: endpoints of a new version are used once it has joined.

use super::Reactor;
use crate::input::Reading;
use protocol::wire::{Features, Hello, Query, Reply};
use state::catalog::{Catalog, Versions};
use state::clock::Millis;
use state::id::{EndpointId, Name, ServiceId, Software};
use state::listing::Entry;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

/// Most versions that join by one record. The others join by the next one.
const JOINED_MAX: usize = 1024;
/// Time between two tries of the leader to begin the catalog, in milliseconds.
const BEGIN_INTERVAL_MS: u64 = 1000;
/// Most versions that a router remembers to have received.
const RECEIVED_MAX: usize = 16_384;

/// What a process knows of the catalog, and the queries about it.
#[derive(Default)]
pub(super) struct Versioning {
    /// The catalog by the replicated log, on a control VM.
    pub(super) catalog: Catalog,
    /// Linked control VMs of an earlier release. While there are any, the catalog does not begin.
    unaware: BTreeSet<Name>,
    /// Linked processes that know the catalog.
    aware: BTreeSet<Name>,
    /// Whether the leader has refused to begin the catalog.
    is_refused: bool,
    /// The query by which versions join.
    joining: Option<oneshot::Receiver<Reply>>,
    /// When it was last sent.
    join_sent_at: Option<Millis>,
    /// Endpoints that were read last and whose versions have yet to join.
    held: Vec<Entry>,
    /// Versions in use that the catalog does not have: they were in use before it began.
    in_use: BTreeSet<(Name, Software)>,
    /// Versions in lists from processes that know the catalog, on a router: they have joined.
    received: BTreeSet<(Name, Software)>,
    /// Readings of the versions of services, for streams of unknown origin.
    pub(super) reads: Reads,
}

/// A lookup that waits for a reading of the versions of its service.
#[derive(Clone, Debug)]
pub(super) struct Question {
    /// VM that asked, and its number for the lookup.
    pub(super) vm: Name,
    pub(super) number: u64,
    pub(super) key: coordination::origin::Key,
    pub(super) asked_at: Millis,
}

/// A service, and the rule that sends requests to it.
pub(super) type Route = (Name, Name);

/// Questions about one route that share a query.
struct Read {
    reply: oneshot::Receiver<Reply>,
    questions: Vec<Question>,
}

/// Readings of the versions of services. A question is answered by a query that was sent after it
/// came in.
#[derive(Default)]
pub(super) struct Reads {
    due: BTreeMap<Route, Vec<Question>>,
    sent: BTreeMap<Route, Read>,
}

/// Questions about a route, with the versions of its service if the leader knows them.
pub(super) type Answered = (Vec<Question>, Option<Option<Versions>>);

impl Reads {
    /// Adds a question about a route.
    pub(super) fn add(&mut self, route: Route, question: Question) {
        self.due.entry(route).or_default().push(question);
    }

    /// Questions whose reply has arrived.
    fn take_answered(&mut self) -> Vec<Answered> {
        let mut answered = Vec::new();
        self.sent.retain(|_, read| {
            let versions = match read.reply.try_recv() {
                Err(oneshot::error::TryRecvError::Empty) => return true,
                Ok(Reply::Versions(versions)) => Some(versions),
                Ok(_) | Err(oneshot::error::TryRecvError::Closed) => None,
            };
            answered.push((std::mem::take(&mut read.questions), versions));
            false
        });
        answered
    }

    /// Drops questions that were asked before `since`: nobody waits for their answers. A query
    /// without questions goes on, so that it finds the leader.
    fn drop_before(&mut self, since: Millis) {
        let is_awaited = |question: &Question| question.asked_at >= since;
        for read in self.sent.values_mut() {
            read.questions.retain(is_awaited);
        }
        for questions in self.due.values_mut() {
            questions.retain(is_awaited);
        }
        self.due.retain(|_, questions| !questions.is_empty());
    }
}

/// Service of an endpoint, and version of its software.
fn version_of(entry: &Entry) -> (Name, Software) {
    let endpoint = &entry.endpoint;
    (endpoint.service.clone(), endpoint.software)
}

impl Reactor {
    /// Registers a peer whose link is up.
    pub(super) fn open_catalog(&mut self, hello: &Hello) {
        let vm = &hello.node.vm;
        self.close_catalog(vm);
        if hello.extension.features.includes(Features::CATALOG) {
            self.versioning.aware.insert(vm.clone());
        } else if self.control_nodes().iter().any(|node| node.vm == *vm) {
            self.versioning.unaware.insert(vm.clone());
            // It could not read these queries, and would close its link.
            self.versioning.joining = None;
            self.versioning.reads = Reads::default();
        }
    }

    /// Removes a peer whose link is down.
    pub(super) fn close_catalog(&mut self, vm: &Name) {
        self.versioning.unaware.remove(vm);
        self.versioning.aware.remove(vm);
    }

    /// Whether a peer knows the catalog.
    pub(super) fn knows_catalog(&self, vm: &Name) -> bool {
        *vm == self.me || self.versioning.aware.contains(vm)
    }

    /// Takes a change of the catalog from the control role of this process.
    pub(super) fn replace_catalog(&mut self, now: Millis, catalog: Catalog) {
        let joined = |(service, software): &(Name, Software)| catalog.admits(service, *software);
        self.versioning.in_use.retain(|pair| !joined(pair));
        self.versioning.catalog = catalog;
        self.release_held(now);
    }

    /// Whether endpoints are only used once their versions have joined.
    fn is_gated(&self) -> bool {
        let versioning = &self.versioning;
        versioning.catalog.has_begun() || !(versioning.is_refused || self.has_earlier_release())
    }

    /// Whether a linked control VM does not know the catalog.
    fn has_earlier_release(&self) -> bool {
        !self.versioning.unaware.is_empty()
    }

    /// Whether an endpoint that was read may be used. `known` are the endpoints in use.
    fn is_admitted(&self, known: &BTreeMap<EndpointId, Software>, entry: &Entry) -> bool {
        let (service, software) = (&entry.endpoint.service, entry.endpoint.software);
        let versioning = &self.versioning;
        known.get(&entry.id()) == Some(&software)
            || match self.parts.is_control {
                true => !self.is_gated() || versioning.catalog.admits(service, software),
                false => versioning.received.contains(&(service.clone(), software)),
            }
    }

    /// Versions of the endpoints in use.
    fn known_endpoints(&self) -> BTreeMap<EndpointId, Software> {
        let known = self.registry.listing().endpoints.iter();
        known.map(|e| (e.id(), e.endpoint.software)).collect()
    }

    /// Removes from a reading the endpoints whose versions have not joined, and lets these join.
    ///
    /// Otherwise a stream could begin at a version of which the others learn only after this
    /// process has ended, and a later reading of the catalog would not have it.
    pub(super) fn admit_reading(&mut self, now: Millis, reading: Reading) -> Reading {
        let known = self.known_endpoints();
        let (admitted, held): (Vec<Entry>, Vec<Entry>) =
            (reading.endpoints.into_iter()).partition(|entry| self.is_admitted(&known, entry));
        if self.parts.is_control {
            let catalog = &self.versioning.catalog;
            let in_use = admitted.iter().map(version_of);
            let in_use = in_use.filter(|(service, software)| !catalog.admits(service, *software));
            self.versioning.in_use = in_use.collect();
            self.versioning.held = held;
            self.join_held(now);
        }
        Reading {
            endpoints: admitted,
            ..reading
        }
    }

    /// Uses the endpoints that were read before their versions had joined.
    fn release_held(&mut self, now: Millis) {
        if self.versioning.held.is_empty() {
            return;
        }
        let known = self.known_endpoints();
        let held = std::mem::take(&mut self.versioning.held);
        let (admitted, held): (Vec<Entry>, Vec<Entry>) =
            (held.into_iter()).partition(|entry| self.is_admitted(&known, entry));
        self.versioning.held = held;
        if !admitted.is_empty() {
            let changed = self.registry.add_to_reading(now, admitted, rand::random());
            self.propagate_listing(now, changed, None);
        }
    }

    /// Asks the leader to let the versions join of endpoints that are held or were in use before the
    /// catalog, unless it was asked and has not answered. The leader's own process lets the catalog
    /// begin.
    fn join_held(&mut self, now: Millis) {
        let versioning = &self.versioning;
        let may_begin = self.is_leader && !versioning.catalog.has_begun();
        let begins = may_begin
            && versioning
                .join_sent_at
                .is_none_or(|at| now.since(at) >= BEGIN_INTERVAL_MS);
        let has_older = versioning.catalog.has_begun() && !versioning.in_use.is_empty();
        let is_needed = begins || has_older || !versioning.held.is_empty();
        if !is_needed || versioning.joining.is_some() || self.has_earlier_release() {
            return;
        }
        let joined: BTreeSet<(Name, Software)> = versioning.held.iter().map(version_of).collect();
        let joined = joined.union(&versioning.in_use).cloned();
        let query = Query::Join(joined.take(JOINED_MAX).collect());
        let (sender, receiver) = oneshot::channel();
        self.versioning.joining = Some(receiver);
        self.versioning.join_sent_at = Some(now);
        self.queries.ask(now, &self.parts.hub, query, sender);
    }

    /// Remembers the versions in a list from another process, before it is replaced by the next.
    pub(super) fn record_received(&mut self, from: &Name) {
        if self.parts.is_control || !self.knows_catalog(from) {
            return;
        }
        for entry in &self.registry.change().set {
            let received = &mut self.versioning.received;
            if received.len() < RECEIVED_MAX {
                received.insert(version_of(entry));
            }
        }
    }

    /// Lets the catalog begin, and takes the replies of the leader.
    pub(super) fn tick_catalog(&mut self, now: Millis) {
        if !self.parts.is_control {
            return;
        }
        let reply = self.versioning.joining.as_mut().map(|r| r.try_recv());
        match reply {
            None | Some(Err(oneshot::error::TryRecvError::Empty)) => {}
            Some(Ok(Reply::Invalid(_))) => {
                self.versioning.joining = None;
                self.versioning.is_refused = true;
            }
            Some(_) => self.versioning.joining = None,
        }
        self.release_held(now);
        self.join_held(now);
        self.send_reads(now);
    }

    /// Answers questions about the versions of services, and sends those that are due.
    pub(super) fn send_reads(&mut self, now: Millis) {
        for answered in self.versioning.reads.take_answered() {
            self.answer_questions(now, answered);
        }
        let oldest = Millis(now.0.saturating_sub(coordination::origin::LOOKUP_MS));
        let reads = &mut self.versioning.reads;
        reads.drop_before(oldest);
        let is_free = |route: &Route| !reads.sent.contains_key(route);
        let due: Vec<Route> = reads.due.keys().filter(|r| is_free(r)).cloned().collect();
        for route in due {
            let questions = reads.due.remove(&route).unwrap_or_default();
            let (sender, reply) = oneshot::channel();
            let (service, rule) = route.clone();
            let query = Query::Versions { service, rule };
            self.queries.ask(now, &self.parts.hub, query, sender);
            reads.sent.insert(route, Read { reply, questions });
        }
    }

    /// Name of a service.
    pub(super) fn service_name(&self, service: ServiceId) -> Option<Name> {
        let service = self.view.config.services.get(&service);
        service.map(|service| service.name.clone())
    }
}
