//! Origins of streams: reports to the control VMs, and lookups there.

use super::catalog::{Answered, Question};
use super::Reactor;
use crate::input::Continued;
use coordination::origin::{
    self, Answer, Begun, Decision, Found, Key, Lookups, Origin, Origins, Sole, Stream,
};
use protocol::wire::{Features, Hello, Message};
use state::catalog::Versions;
use state::clock::Millis;
use state::id::{Name, ServiceId, Software};
use std::collections::{BTreeSet, HashMap};
use tokio::sync::oneshot;

/// Least time between two reports, in milliseconds. Streams that began since the last one are lost
/// with the router.
const REPORT_INTERVAL_MS: u64 = 50;
/// Time after its start during which a control VM leaves lookups of unknown streams to others, in
/// milliseconds: it has yet to receive what they know.
const LEARNING_MS: u64 = 1000;
/// Intervals of reading the list for which an update of it counts as the latest.
const LATEST_INTERVALS: u64 = 4;
/// Most reports that wait for a link to a control VM.
const UNSENT_MAX: usize = 4 * origin::BATCH_MAX;

/// Time after which another control VM is dialled, in milliseconds, if there is a link to none.
const DIAL_INTERVAL_MS: u64 = 1000;

/// A request that waits for the origin of its stream.
struct Waiting {
    stream: Stream,
    key: Key,
    reply: oneshot::Sender<Continued>,
}

/// State of reports and lookups.
#[derive(Default)]
pub(super) struct Streams {
    origins: Origins,
    lookups: Lookups,
    /// Requests by the number of their lookup.
    waiting: HashMap<u64, Waiting>,
    /// Linked processes that understand the messages.
    peers: BTreeSet<Name>,
    /// Origins that are to be reported.
    unsent: Vec<(Key, Origin)>,
    /// When the next report is due.
    next_report_at: Millis,
    /// Control VM that was dialled since there was a link to none.
    dialed: Option<Name>,
}

impl Streams {
    /// Whether a link is needed.
    pub(super) fn needs(&self, vm: &Name) -> bool {
        self.dialed.as_ref() == Some(vm)
    }
}

impl Reactor {
    /// Registers a peer whose link is up. A control VM is sent all that is known here, since it may
    /// have restarted.
    pub(super) fn open_origins(&mut self, hello: &Hello) {
        if !hello.extension.features.includes(Features::VERSIONS) {
            return;
        }
        let vm = &hello.node.vm;
        self.streams.peers.insert(vm.clone());
        if self.control_nodes().iter().any(|node| node.vm == *vm) {
            let known: Vec<(Key, Origin)> = self.streams.origins.iter().collect();
            self.send_origins(vm, &known);
            for number in self.streams.lookups.awaiting(vm).collect::<Vec<u64>>() {
                self.send_lookup(vm, number);
            }
        }
    }

    /// Removes a peer whose link is down.
    pub(super) fn close_origins(&mut self, now: Millis, vm: &Name) {
        self.streams.peers.remove(vm);
        for (number, found) in self.streams.lookups.lose(vm) {
            self.end_lookup(now, number, found);
        }
    }

    /// Records where a stream of this router began. It is not reported if no endpoint of the service
    /// is known to state a version: the control VMs then answer by the catalog.
    pub(super) fn record_origin(&mut self, now: Millis, key: Key, origin: Origin) {
        let is_news = self.streams.origins.record(now, key, origin);
        let is_stated = |software: &Software| software.is_stated();
        let service = self.service_name(origin.service);
        let listed = service.map(|name| origin::versions(&self.effective, &name));
        let has_versions = listed.is_some_and(|listed| listed.iter().any(is_stated));
        if !origin.software.is_stated() && !self.effective.is_partial() && !has_versions {
            return;
        }
        if is_news {
            self.append_origins(vec![(key, origin)]);
        }
        self.queue_origin(key, origin);
        self.report_origins(now);
    }

    /// Stores origins, also of services with one version so far: another one may join while all
    /// processes are down.
    fn append_origins(&self, origins: Vec<(Key, Origin)>) {
        if let Some(log) = self
            .parts
            .origin_log
            .as_ref()
            .filter(|_| !origins.is_empty())
        {
            log.append(origins);
        }
    }

    /// Takes the origins that were stored before this process started.
    pub(super) fn restore_origins(&mut self, now: Millis, stored: &[(Key, Origin)]) {
        for (key, origin) in stored {
            self.streams.origins.record(now, *key, *origin);
        }
    }

    fn queue_origin(&mut self, key: Key, origin: Origin) {
        let unsent = &mut self.streams.unsent;
        if unsent.len() < UNSENT_MAX {
            unsent.push((key, origin));
        }
    }

    /// Takes a report of a router, or of another control VM.
    pub(super) fn handle_origins(&mut self, now: Millis, vm: &Name, reported: Vec<(Key, Origin)>) {
        let is_member = self.members.iter().any(|member| member.vm == *vm);
        let mut news = Vec::new();
        for (key, origin) in reported {
            if self.streams.origins.record(now, key, origin) {
                news.push((key, origin));
            }
            if self.parts.is_control && !is_member {
                self.queue_origin(key, origin);
            }
        }
        self.append_origins(news);
    }

    /// Decides where a stream that its caller takes up again may go on.
    pub(super) fn continue_stream(
        &mut self,
        now: Millis,
        stream: Stream,
        key: Key,
        reply: oneshot::Sender<Continued>,
    ) {
        let found = self.streams.origins.get(now, key).map(Found::Known);
        let decision = self.decide_origin(now, &stream, found);
        if decision != Decision::LookUp {
            let source = found.map_or("", |_| "this-router");
            // The caller may have disconnected.
            let _ = reply.send(self.continued(now, &stream, decision, source));
            return;
        }
        let mut vms = self.origin_vms();
        if self.parts.is_control {
            vms.insert(self.me.clone());
        }
        if vms.is_empty() {
            vms.extend(self.dial_for_origins(now));
        }
        match self.streams.lookups.begin(now, vms.clone()) {
            Begun::Asked(number) => {
                let waiting = Waiting { stream, key, reply };
                self.streams.waiting.insert(number, waiting);
                for vm in &vms {
                    self.send_lookup(vm, number);
                }
            }
            Begun::Ended(found) => {
                let _ = reply.send(self.conclude(now, &stream, found));
            }
        }
    }

    /// Sends a lookup to a control VM, unless it has no link yet: it then gets the lookup later.
    fn send_lookup(&self, vm: &Name, number: u64) {
        if !self.streams.peers.contains(vm) && *vm != self.me {
            return;
        }
        if let Some(Waiting { stream, key, .. }) = self.streams.waiting.get(&number) {
            let request = match self.knows_catalog(vm) {
                true => {
                    let rule = stream.rule.clone();
                    Message::StreamRequest(number, *key, stream.service, rule)
                }
                false => Message::OriginRequest(number, *key, stream.service),
            };
            self.parts.hub.send(vm, request);
        }
    }

    /// Decides by the result of a lookup.
    fn conclude(&self, now: Millis, stream: &Stream, found: Found) -> Continued {
        let decision = self.decide_origin(now, stream, Some(found));
        let source = match found {
            Found::Known(_) => "control-vm",
            Found::Sole(_) => "only-version",
            Found::Unknown => "all-control-vms",
            Found::Unreachable => "",
        };
        Continued {
            is_only: matches!(found, Found::Sole(_)),
            ..self.continued(now, stream, decision, source)
        }
    }

    /// A decision with what this process knows of the versions of the service.
    fn continued(
        &self,
        now: Millis,
        stream: &Stream,
        decision: Decision,
        source: &'static str,
    ) -> Continued {
        let service = self.effective.config.services.get(&stream.service);
        let listed = service.map(|s| origin::versions(&self.effective, &s.name));
        Continued {
            decision,
            is_only: false,
            source,
            listing_age_ms: self.registry.age_ms(now),
            listed: listed.unwrap_or_default(),
        }
    }

    fn decide_origin(&self, now: Millis, stream: &Stream, found: Option<Found>) -> Decision {
        let within_ms = LATEST_INTERVALS * self.parts.listing_interval_ms;
        let is_current = self.registry.is_recent(now, within_ms);
        origin::decide(&self.effective, is_current, stream, found)
    }

    /// Linked control VMs that know origins.
    fn origin_vms(&self) -> BTreeSet<Name> {
        let nodes = self.control_nodes().into_iter().map(|node| node.vm);
        nodes
            .filter(|vm| *vm != self.me && self.streams.peers.contains(vm))
            .collect()
    }

    /// Answers a lookup of a router, or asks the leader which versions the service has had.
    pub(super) fn answer_origin_request(
        &mut self,
        now: Millis,
        vm: &Name,
        number: u64,
        (key, service): (Key, ServiceId),
        rule: Option<Name>,
    ) {
        if let Some(origin) = self.streams.origins.get(now, key) {
            let answer = Answer::Known(origin);
            self.parts.hub.send(vm, Message::Origin(number, answer));
            return;
        }
        let question = Question {
            vm: vm.clone(),
            number,
            key,
            asked_at: now,
        };
        let Some(rule) = rule else {
            // A router of an earlier release decides by what it has seen itself.
            self.answer_questions(now, (vec![question], None));
            return;
        };
        // Without a catalog, or if the service is not known yet, another control VM may answer.
        let service = self.service_name(service);
        if let Some(service) = service.filter(|_| self.versioning.catalog.has_begun()) {
            self.versioning.reads.add((service, rule), question);
            self.send_reads(now);
        }
    }

    /// Answers lookups of streams whose origin was not known here, by the versions of their service.
    pub(super) fn answer_questions(&mut self, now: Millis, (questions, versions): Answered) {
        let is_learning = now.since(self.started) < LEARNING_MS;
        for question in questions {
            let answer = match (self.streams.origins.get(now, question.key), versions) {
                (Some(origin), _) => Answer::Known(origin),
                (None, Some(Some(Versions::Sole(software)))) => Answer::Unknown(Some(Sole {
                    software,
                    for_ms: Sole::EVER,
                })),
                (None, _) if is_learning => continue,
                (None, _) => Answer::Unknown(None),
            };
            let message = Message::Origin(question.number, answer);
            self.parts.hub.send(&question.vm, message);
        }
    }

    /// Takes the answer of a control VM to a lookup.
    pub(super) fn handle_origin(&mut self, now: Millis, vm: &Name, number: u64, answer: Answer) {
        if let Some(found) = self.streams.lookups.answer(number, vm, answer) {
            self.end_lookup(now, number, found);
        }
    }

    fn end_lookup(&mut self, now: Millis, number: u64, found: Found) {
        if let Some(Waiting { stream, reply, .. }) = self.streams.waiting.remove(&number) {
            // The caller may have disconnected.
            let _ = reply.send(self.conclude(now, &stream, found));
        }
    }

    /// Ends lookups whose time is over, and sends reports that are due.
    pub(super) fn tick_origins(&mut self, now: Millis) {
        for (number, found) in self.streams.lookups.tick(now) {
            self.end_lookup(now, number, found);
        }
        self.streams.origins.expire(now);
        self.report_origins(now);
    }

    /// Sends reports that are due: a router to one control VM, a control VM to all others.
    fn report_origins(&mut self, now: Millis) {
        if self.streams.unsent.is_empty() || now < self.streams.next_report_at {
            return;
        }
        self.streams.next_report_at = now.after(REPORT_INTERVAL_MS);
        let mut receivers = self.origin_vms();
        if !self.parts.is_control {
            let near = self.control_vm(0).filter(|vm| receivers.contains(vm));
            receivers = near.or_else(|| receivers.pop_first()).into_iter().collect();
            if receivers.is_empty() {
                self.dial_for_origins(now);
                return;
            }
        }
        let unsent = std::mem::take(&mut self.streams.unsent);
        for vm in &receivers {
            self.send_origins(vm, &unsent);
        }
    }

    /// Opens a link to a control VM, and returns that VM. Each router begins with a different one,
    /// and goes on to the next if it gets no link.
    fn dial_for_origins(&mut self, now: Millis) -> Option<Name> {
        let mut nodes = self.control_nodes();
        nodes.retain(|node| node.vm != self.me);
        let incarnation = self.parts.home.incarnation;
        let turn = incarnation.wrapping_add(now.0 / DIAL_INTERVAL_MS);
        let index = turn.checked_rem(nodes.len() as u64)?;
        // CAST: the remainder is below the length, which is a `usize`.
        let node = nodes.get(index as usize)?;
        self.parts.hub.dial(node);
        self.streams.dialed = Some(node.vm.clone());
        Some(node.vm.clone())
    }

    fn send_origins(&self, vm: &Name, origins: &[(Key, Origin)]) {
        for batch in origins.chunks(origin::BATCH_MAX) {
            self.parts.hub.send(vm, Message::Origins(batch.to_vec()));
        }
    }
}
