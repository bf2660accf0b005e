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
/// Most versions that a router remembers to have received.
const RECEIVED_MAX: usize = 16_384;

/// What a process knows of the catalog, and the queries about it.
#[derive(Default)]
pub(super) struct Versioning {
    /// The catalog by the replicated log, on a control VM.
    pub(super) catalog: Catalog,
    /// Linked control VMs of an earlier release. While there are any, the catalog does not begin.
    unaware: BTreeSet<Name>,
    /// Whether the leader has refused to begin the catalog.
    is_refused: bool,
    /// The query by which versions join.
    joining: Option<oneshot::Receiver<Reply>>,
    /// A reading of the list with endpoints whose versions have yet to join.
    held: Option<Reading>,
    /// Versions in lists from other processes, on a router: they have joined.
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

/// Questions about one service that share a query.
struct Read {
    reply: oneshot::Receiver<Reply>,
    questions: Vec<Question>,
    sent_at: Millis,
}

/// Readings of the versions of services. A question is answered by a query that was sent after it
/// came in.
#[derive(Default)]
pub(super) struct Reads {
    due: BTreeMap<Name, Vec<Question>>,
    sent: BTreeMap<Name, Read>,
}

/// Questions about a service, with its versions if the leader knows them.
pub(super) type Answered = (Vec<Question>, Option<Option<Versions>>);

impl Reads {
    /// Adds a question about a service.
    pub(super) fn add(&mut self, service: Name, question: Question) {
        self.due.entry(service).or_default().push(question);
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

    /// Drops questions that were asked before `since`: nobody waits for their answers.
    fn drop_before(&mut self, since: Millis) {
        self.sent.retain(|_, read| read.sent_at >= since);
        for questions in self.due.values_mut() {
            questions.retain(|question| question.asked_at >= since);
        }
        self.due.retain(|_, questions| !questions.is_empty());
    }
}

impl Reactor {
    /// Registers a control VM whose link is up.
    pub(super) fn open_catalog(&mut self, hello: &Hello) {
        let vm = &hello.node.vm;
        let is_control = self.control_nodes().iter().any(|node| node.vm == *vm);
        if is_control && !hello.extension.features.includes(Features::CATALOG) {
            self.versioning.unaware.insert(vm.clone());
            // It could not read these queries, and would close its link.
            self.versioning.joining = None;
            self.versioning.reads = Reads::default();
        } else {
            self.versioning.unaware.remove(vm);
        }
    }

    /// Removes a control VM whose link is down.
    pub(super) fn close_catalog(&mut self, vm: &Name) {
        self.versioning.unaware.remove(vm);
    }

    /// Takes a change of the catalog from the control role of this process.
    pub(super) fn replace_catalog(&mut self, now: Millis, catalog: Catalog) {
        let before = std::mem::replace(&mut self.versioning.catalog, catalog);
        self.store_origins(now, &before);
        if let Some(held) = self.versioning.held.take() {
            self.handle_reading(now, held);
        }
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

    /// Removes from a reading the endpoints whose versions have not joined, and lets these join.
    ///
    /// Otherwise a stream could begin at a version of which the others learn only after this
    /// process has ended, and a later reading of the catalog would not have it.
    pub(super) fn admit_reading(&mut self, now: Millis, reading: Reading) -> Reading {
        let known = self.registry.listing().endpoints.iter();
        let known: BTreeMap<EndpointId, Software> =
            known.map(|e| (e.id(), e.endpoint.software)).collect();
        let is_gated = self.is_gated();
        let versioning = &self.versioning;
        let is_admitted = |entry: &Entry| {
            let (service, software) = (&entry.endpoint.service, entry.endpoint.software);
            known.get(&entry.id()) == Some(&software)
                || match self.parts.is_control {
                    true => !is_gated || versioning.catalog.admits(service, software),
                    false => versioning.received.contains(&(service.clone(), software)),
                }
        };
        let (admitted, unjoined): (Vec<Entry>, Vec<Entry>) =
            reading.endpoints.into_iter().partition(is_admitted);
        let has_begun = versioning.catalog.has_begun();
        self.versioning.held = None;
        if self.parts.is_control && !(has_begun && unjoined.is_empty()) {
            // In a fleet that was upgraded, endpoints are in use before the catalog begins.
            let in_use = admitted.iter().filter(|_| !has_begun);
            let joining: BTreeSet<(Name, Software)> = (unjoined.iter().chain(in_use))
                .map(|e| (e.endpoint.service.clone(), e.endpoint.software))
                .collect();
            self.join(now, joining.into_iter().take(JOINED_MAX).collect());
            let all = admitted.iter().cloned().chain(unjoined);
            self.versioning.held = Some(Reading {
                endpoints: all.collect(),
                ..reading
            });
        }
        Reading {
            endpoints: admitted,
            ..reading
        }
    }

    /// Asks the leader to let versions join, unless it was asked and has not answered.
    fn join(&mut self, now: Millis, joined: Vec<(Name, Software)>) {
        if self.versioning.joining.is_some() || self.has_earlier_release() {
            return;
        }
        let (sender, receiver) = oneshot::channel();
        self.versioning.joining = Some(receiver);
        self.queries
            .ask(now, &self.parts.hub, Query::Join(joined), sender);
    }

    /// Remembers the versions in a list from another process.
    pub(super) fn record_received(&mut self) {
        if self.parts.is_control {
            return;
        }
        for entry in &self.registry.change().set {
            let pair = (entry.endpoint.service.clone(), entry.endpoint.software);
            let received = &mut self.versioning.received;
            if received.len() < RECEIVED_MAX {
                received.insert(pair);
            }
        }
    }

    /// Lets the catalog of a fleet without listed endpoints begin, and takes the replies of the
    /// leader.
    pub(super) fn tick_catalog(&mut self, now: Millis) {
        if !self.parts.is_control {
            return;
        }
        // In a fleet that was upgraded, a reading of the list tells which services have versions.
        let may_begin = !self.parts.reads_listing || self.view.assignments.is_empty();
        if self.is_leader && may_begin && !self.versioning.catalog.has_begun() {
            self.join(now, Vec::new());
        }
        let reply = self.versioning.joining.as_mut().map(|r| r.try_recv());
        match reply {
            None | Some(Err(oneshot::error::TryRecvError::Empty)) => {}
            Some(Ok(Reply::Invalid(_))) => {
                self.versioning.joining = None;
                self.versioning.is_refused = true;
                if let Some(held) = self.versioning.held.take() {
                    self.handle_reading(now, held);
                }
            }
            Some(_) => self.versioning.joining = None,
        }
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
        let is_free = |service: &Name| !reads.sent.contains_key(service);
        let due: Vec<Name> = reads.due.keys().filter(|s| is_free(s)).cloned().collect();
        for service in due {
            let questions = reads.due.remove(&service).unwrap_or_default();
            let (sender, reply) = oneshot::channel();
            let query = Query::Versions(service.clone());
            self.queries.ask(now, &self.parts.hub, query, sender);
            let read = Read {
                reply,
                questions,
                sent_at: now,
            };
            reads.sent.insert(service, read);
        }
    }

    /// Name of a service.
    pub(super) fn service_name(&self, service: ServiceId) -> Option<Name> {
        let service = self.view.config.services.get(&service);
        service.map(|service| service.name.clone())
    }
}
