//! Requests, and parts of prompts, that may crash endpoints: reports about them to the control VMs,
//! and whether this process refuses them.

use crate::query::Queries;
use coordination::attribution::{Attribution, Survivals};
use coordination::trial::Trials;
use coordination::verdict::{Contact, Verdicts};
use protocol::wire::{Message, Query, Reply};
use state::clock::Millis;
use state::fingerprint::Fingerprint;
use state::id::{CustomerId, Name, PartId};
use state::line::Line;
use state::suspect::{
    downgraded, Break, Completion, Crash, Evidence, Status, Statuses, Survival, Suspects,
};
use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, watch};
use transport::clock::{wall_micros, Clock};
use transport::link::Hub;

/// Largest number of crashes, and of clearances, that wait to be reported.
const PENDING_MAX: usize = 512;
/// Largest number of crashes, and of clearances, in one report.
const REPORT_MAX: usize = 64;
/// Largest number of reports that are kept after they were sent.
const SENT_MAX: usize = 64;
/// Time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 50;
/// Time between two checks for expired suspicions of this process, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 5000;

/// Time after which parts that are under suspicion, and were answered, are reported again, in
/// milliseconds. What is refused gets no more answers, so that a lost report would not be made up for.
const SURVIVALS_INTERVAL_MS: u64 = 1000;
/// Time for which reports are kept, to be sent again to the next parent, in milliseconds. A parent that
/// is lost is noticed after a few seconds, and what was sent to it meanwhile is lost with it.
const RESEND_MS: u64 = 10_000;

/// Requests and parts of prompts that are suspected or quarantined by the whole fleet, or by this
/// process alone.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    fleet: Statuses,
    own: Statuses,
    /// Number of routers of the fleet.
    routers: u32,
    /// Parts that were released from quarantine on trial.
    trials: Arc<Mutex<Trials>>,
}

impl Suspicions {
    /// Whether no request is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        self.fleet.is_empty() && self.own.is_empty()
    }

    /// Whether a request is suspected or quarantined, so that a complete answer to it has to be
    /// reported.
    pub(crate) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.fleet.contains_key(fingerprint) || self.own.contains_key(fingerprint)
    }

    /// Whether any of the parts of a customer's prompt is suspected or quarantined.
    pub(crate) fn contains_part(&self, parts: &[PartId], customer: CustomerId) -> bool {
        scopes(parts, customer).any(|f| self.contains(&f))
    }

    /// The part of a customer's prompt for which a request has to be refused, if there is one.
    pub(crate) fn quarantined_part(
        &self,
        parts: &[PartId],
        customer: CustomerId,
    ) -> Option<PartId> {
        if self.is_empty() {
            return None;
        }
        let is_quarantined =
            |part: &&PartId| scopes(&[**part], customer).any(|scope| self.is_quarantined(&scope));
        parts.iter().find(is_quarantined).copied()
    }

    /// The part for which a request may not be sent now, since it is on trial and this router's next
    /// trial is not due. Takes the trial of a part that is due.
    pub(crate) fn take_trial(
        &self,
        now: Millis,
        parts: &[PartId],
        customer: CustomerId,
    ) -> Option<PartId> {
        if self.is_empty() {
            return None;
        }
        let mut trials = lock(&self.trials);
        if trials.is_empty() {
            return None;
        }
        let mut is_due = |part: &PartId| {
            scopes(&[*part], customer).all(|scope| trials.take(now, &scope, self.routers))
        };
        parts.iter().copied().find(|part| !is_due(part))
    }

    /// Whether a request has to be refused.
    pub(crate) fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        let both = [&self.fleet, &self.own];
        let mut found = both.iter().filter_map(|all| all.get(fingerprint));
        found.any(|status| *status == Status::Quarantined)
    }
}

/// Fingerprints under which the parts of a customer's prompt may be suspected.
fn scopes(parts: &[PartId], customer: CustomerId) -> impl Iterator<Item = Fingerprint> + '_ {
    let both =
        move |part: &PartId| [None, Some(customer)].map(|scope| Fingerprint::of_part(*part, scope));
    parts.iter().flat_map(both)
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Next hop of reports on their way to the control VMs.
///
/// Reports use the links over which the view arrives: if hundreds of routers opened links to the
/// control VMs at each crash, they would overload these.
pub(crate) enum Uplink<'a> {
    /// This process is a control VM and sends reports to the leader. The flag says whether all
    /// linked control VMs know parts of prompts.
    Control(&'a mut Queries, &'a Hub, bool),
    /// The parent, which sends this process the view, and whether it knows parts of prompts.
    Parent(&'a Name, &'a Hub, bool),
    /// This process has no parent at the moment.
    None,
}

/// Suspicions that are known to this process, and reports that it has yet to send.
///
/// Its own suspicions apply in addition to the fleet's, so that a router without a connection to
/// the control VMs still refuses requests that it has itself seen crash endpoints.
pub(crate) struct Quarantine {
    clock: Clock,
    /// Attributes the crashes that this process has seen to parts of prompts.
    attribution: Attribution,
    /// Parts of prompts that endpoints have answered not long ago.
    survivals: Arc<Mutex<Survivals>>,
    /// Parts that were released from quarantine on trial.
    trials: Arc<Mutex<Trials>>,
    /// Number of routers of the fleet.
    routers: u32,
    /// Suspicions from crashes that this process has seen.
    own: Suspects,
    /// Parts of prompts that this process alone refuses.
    verdicts: Verdicts,
    /// Suspicions that the control VMs have put in force.
    fleet: Statuses,
    /// Evidence to report, from this process and its children.
    pending: Evidence,
    /// The parent that reports are sent to, and since when.
    parent: Option<(Name, Millis)>,
    /// Reports that were sent to it not long ago.
    sent: VecDeque<(Millis, Evidence)>,
    /// When the next report is due.
    next_report_at: Millis,
    /// When parts that are under suspicion and were answered are reported again.
    next_survivals_at: Millis,
    /// The reply to the last report to the leader.
    report: Option<oneshot::Receiver<Reply>>,
    /// When to check for expired suspicions next.
    next_expire_at: Millis,
    /// Publishes the suspicions to the callers' side.
    publish: watch::Sender<Arc<Suspicions>>,
}

impl Quarantine {
    /// Creates an empty quarantine that publishes its suspicions to `publish`.
    pub(crate) fn new(
        publish: watch::Sender<Arc<Suspicions>>,
        clock: Clock,
        survivals: Arc<Mutex<Survivals>>,
    ) -> Self {
        Quarantine {
            clock,
            attribution: Attribution::default(),
            survivals,
            trials: Arc::default(),
            routers: 1,
            own: Suspects::default(),
            verdicts: Verdicts::default(),
            fleet: Statuses::new(),
            pending: Evidence::default(),
            parent: None,
            sent: VecDeque::new(),
            next_report_at: Millis(0),
            next_survivals_at: Millis(0),
            report: None,
            next_expire_at: Millis(0),
            publish,
        }
    }

    /// Handles a crash: an endpoint closed its connection during a request.
    pub(crate) fn handle_crash(&mut self, crash: Crash) {
        self.own.record_crash(&crash);
        let crashes = vec![crash];
        self.relay(Evidence {
            crashes,
            ..Evidence::default()
        });
        self.publish();
    }

    /// Handles a crash with parts of a prompt that may have caused it.
    pub(crate) fn handle_break(&mut self, broken: Break) {
        let evidence = Evidence {
            breaks: vec![broken],
            ..Evidence::default()
        };
        self.handle_parts(evidence);
    }

    /// Handles the answer of an endpoint to a prompt with a suspected part.
    pub(crate) fn handle_survival(&mut self, survival: Survival) {
        let evidence = Evidence {
            survivals: vec![survival],
            ..Evidence::default()
        };
        self.handle_parts(evidence);
    }

    /// Attributes what this process has seen, and queues it to be reported.
    fn handle_parts(&mut self, evidence: Evidence) {
        self.attribute(evidence.clone());
        self.relay(evidence);
        self.publish();
    }

    /// Attributes what this process has itself seen.
    fn attribute(&mut self, evidence: Evidence) {
        let clock = &self.clock;
        let own = (self.attribution).attribute(clock.now(), evidence, &self.own, || clock.stamp());
        own.crashes.iter().for_each(|c| self.own.record_crash(c));
        (own.cleared.iter()).for_each(|c| self.own.record_completion(c));
    }

    /// Reports parts of prompts that are under suspicion, although this router has had an answer to
    /// them not long ago.
    fn report_survivals(&mut self, now: Millis) {
        let suspected = self.fleet.keys().filter_map(Fingerprint::part);
        let suspected: BTreeSet<PartId> = suspected.map(|(part, _)| part).collect();
        let survivals = lock(&self.survivals);
        let answered = suspected
            .into_iter()
            .filter(|part| survivals.rules_out(now, *part));
        let at = self.clock.stamp();
        let found: Vec<_> = answered.map(|part| Survival { part, at }).collect();
        drop(survivals);
        self.next_survivals_at = now.after(SURVIVALS_INTERVAL_MS);
        self.relay(Evidence {
            survivals: found,
            ..Evidence::default()
        });
    }

    /// Forgets what this process has itself seen of a part.
    fn forget_part(&mut self, part: PartId) {
        self.attribution.release(part);
        let own: Vec<Fingerprint> = self.own.of_part(part).copied().collect();
        own.iter()
            .for_each(|fingerprint| self.own.forget(fingerprint));
    }

    /// Ends verdicts of this process alone that the control VMs have not reached. `proved` is when
    /// this process last knew that its view was the newest.
    pub(crate) fn review_verdicts(&mut self, now: Millis, proved: Option<Millis>) {
        if self.own.is_empty() && self.verdicts.is_empty() {
            return;
        }
        let own = self.own.statuses(1);
        let reported = self.parent.as_ref().map_or(Millis(0), |(_, since)| *since);
        let contact = Contact { reported, proved };
        let overruled = self.verdicts.review(now, contact, &own, &self.fleet);
        if overruled.is_empty() {
            return;
        }
        overruled.iter().for_each(|part| self.forget_part(*part));
        self.publish();
    }

    /// Sets the number of routers of the fleet.
    pub(crate) fn set_routers(&mut self, routers: u32) {
        self.routers = routers;
    }

    /// Handles a completion: an endpoint has answered a suspected request completely.
    pub(crate) fn handle_completion(&mut self, completion: Completion) {
        self.own.record_completion(&completion);
        let is_other = |c: &Completion| c.fingerprint != completion.fingerprint;
        self.pending.cleared.retain(is_other);
        let cleared = vec![completion];
        self.relay(Evidence {
            cleared,
            ..Evidence::default()
        });
        self.publish();
    }

    /// Queues evidence, also that of children, to be reported.
    pub(crate) fn relay(&mut self, evidence: Evidence) {
        self.pending.add(evidence, PENDING_MAX);
    }

    /// Applies the suspicions that the control VMs have put in force.
    pub(crate) fn apply_fleet(&mut self, fleet: &Statuses) {
        if *fleet == self.fleet {
            return;
        }
        for fingerprint in downgraded(&self.fleet, fleet) {
            self.own.forget(&fingerprint);
            if let Some((part, _)) = fingerprint.part() {
                self.forget_part(part);
            }
        }
        self.fleet.clone_from(fleet);
        self.report_survivals(self.clock.now());
        self.publish();
    }

    /// Ends expired suspicions and sends the next report if it is due.
    pub(crate) fn tick(&mut self, now: Millis, uplink: Uplink<'_>) {
        if now >= self.next_expire_at {
            self.next_expire_at = now.after(EXPIRE_INTERVAL_MS);
            self.own.expire(wall_micros());
            self.publish();
        }
        if self.attribution.has_settled(now) {
            self.attribute(Evidence::default());
            self.publish();
        }
        if now >= self.next_survivals_at {
            self.report_survivals(now);
        }
        self.follow_parent(now, &uplink);
        if self.pending.is_empty() || now < self.next_report_at {
            return;
        }
        self.next_report_at = now.after(REPORT_INTERVAL_MS);
        match uplink {
            Uplink::Control(queries, hub, knows_parts) => {
                self.report_to_leader(now, queries, hub, knows_parts);
            }
            Uplink::Parent(parent, hub, knows_parts) => {
                let evidence = self.pending.take(REPORT_MAX);
                let report = match knows_parts {
                    true => evidence.clone(),
                    false => evidence.clone().without_breaks(),
                };
                match hub.send(parent, Message::Evidence(report)) {
                    true => self.sent.push_back((now, evidence)),
                    false => self.relay(evidence),
                }
            }
            Uplink::None => {}
        }
    }

    /// Queues what was sent to the last parent again if there is a new one. Evidence that arrives twice
    /// counts once.
    fn follow_parent(&mut self, now: Millis, uplink: &Uplink<'_>) {
        while self.sent.len() > SENT_MAX
            || (self.sent.front()).is_some_and(|(at, _)| now.since(*at) > RESEND_MS)
        {
            self.sent.pop_front();
        }
        let parent = match uplink {
            Uplink::Parent(parent, ..) => Some(*parent),
            Uplink::Control(..) | Uplink::None => None,
        };
        if parent == self.parent.as_ref().map(|(name, _)| name) {
            return;
        }
        self.parent = parent.map(|name| (name.clone(), now));
        if parent.is_some() {
            for (_, evidence) in std::mem::take(&mut self.sent) {
                self.relay(evidence);
            }
        }
    }

    /// Sends a report to the leader unless the last one is still unanswered.
    fn report_to_leader(
        &mut self,
        now: Millis,
        queries: &mut Queries,
        hub: &Hub,
        knows_parts: bool,
    ) {
        if let Some(report) = &mut self.report {
            if matches!(report.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
                return;
            }
        }
        let (sender, receiver) = oneshot::channel();
        self.report = Some(receiver);
        let mut evidence = self.pending.take(REPORT_MAX);
        if !knows_parts {
            evidence = evidence.without_breaks();
        }
        queries.ask(now, hub, Query::Evidence(evidence), sender);
    }

    /// Fingerprints of requests, and of parts of prompts, that this process refuses.
    pub(crate) fn quarantined(&self) -> BTreeSet<Fingerprint> {
        let suspicions = self.publish.borrow();
        let known = suspicions.fleet.keys().chain(suspicions.own.keys());
        known
            .filter(|f| suspicions.is_quarantined(f))
            .copied()
            .collect()
    }

    /// Puts parts that leave quarantine, but remain suspected, on trial; ends other trials.
    fn update_trials(&self, old: &Suspicions, new: &Suspicions) {
        let mut trials = lock(&self.trials);
        let known = old.fleet.keys().chain(old.own.keys());
        for fingerprint in known.filter(|f| f.part().is_some()) {
            let is_suspected = new.contains(fingerprint) && !new.is_quarantined(fingerprint);
            if !is_suspected {
                trials.end(fingerprint);
            } else if old.is_quarantined(fingerprint) {
                let now = self.clock.now();
                trials.begin(now, *fingerprint, self.routers, rand::random());
            }
        }
    }

    /// Publishes the suspicions and logs quarantines that begin or end.
    fn publish(&self) {
        let suspicions = Suspicions {
            fleet: self.fleet.clone(),
            own: self.own.statuses(1),
            routers: self.routers,
            trials: self.trials.clone(),
        };
        self.publish.send_if_modified(|published| {
            let is_same = published.fleet == suspicions.fleet && published.own == suspicions.own;
            if !is_same {
                log_changes(published, &suspicions);
                self.update_trials(published, &suspicions);
                *published = Arc::new(suspicions);
            }
            !is_same
        });
    }
}

/// Logs quarantines that begin or end.
fn log_changes(old: &Suspicions, new: &Suspicions) {
    let known = new.fleet.keys().chain(new.own.keys());
    let begun = known.filter(|f| new.is_quarantined(f) && !old.is_quarantined(f));
    for fingerprint in begun {
        let is_own = !new.fleet.contains_key(fingerprint);
        let event = Line::QuarantineBegan.as_str();
        let (part, customer) = describe(fingerprint);
        tracing::warn!(event, %fingerprint, part, customer, is_own);
    }
    let known = old.fleet.keys().chain(old.own.keys());
    let ended = known.filter(|f| old.is_quarantined(f) && !new.is_quarantined(f));
    for fingerprint in ended {
        let (part, customer) = describe(fingerprint);
        tracing::info!(event = Line::QuarantineEnded.as_str(), %fingerprint, part, customer);
    }
}

/// The part of prompts that a fingerprint stands for, and its customer, for a log line.
fn describe(fingerprint: &Fingerprint) -> (Option<String>, Option<u32>) {
    let (part, customer) = fingerprint.part().unzip();
    (
        part.map(|part| part.to_string()),
        customer.flatten().map(|CustomerId(id)| id),
    )
}
