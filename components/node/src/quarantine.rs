//! Requests that may crash endpoints: what this process reports of them to the control VMs,
//! and what its callers' side is to do with them.

use crate::query::Queries;
use protocol::wire::{Message, Query, Reply};
use state::clock::Millis;
use state::fingerprint::Fingerprint;
use state::id::Name;
use state::line::Line;
use state::suspect::{downgraded, Completion, Crash, Evidence, Status, Statuses, Suspects};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};
use transport::clock::wall_micros;
use transport::link::Hub;

/// Crashes, and clearances, that wait to be reported.
const PENDING_MAX: usize = 512;
/// Crashes, and clearances, of one report.
const REPORT_MAX: usize = 64;
/// Time between two reports, in milliseconds.
const REPORT_MS: u64 = 50;
/// Time between two looks for own suspicions that have lasted long enough, in milliseconds.
const EXPIRE_MS: u64 = 5000;

/// What the callers' side is to do with requests, by the fleet and by this router alone.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    fleet: Statuses,
    own: Statuses,
}

impl Suspicions {
    /// Whether every request is to be served like any other.
    pub(crate) fn is_empty(&self) -> bool {
        self.fleet.is_empty() && self.own.is_empty()
    }

    /// Whether a whole answer to this request is of interest.
    pub(crate) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.fleet.contains_key(fingerprint) || self.own.contains_key(fingerprint)
    }

    /// Whether a request is to be refused.
    pub(crate) fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        let of = [&self.fleet, &self.own];
        let mut found = of.iter().filter_map(|all| all.get(fingerprint));
        found.any(|standing| *standing == Status::Quarantined)
    }
}

/// Whom a process reports to: over the links by which it learns the view, since hundreds of
/// routers that opened links to the control VMs at each crash would overload these.
pub(crate) enum Up<'a> {
    /// It is a control VM, and asks the leader.
    Control(&'a mut Queries, &'a Hub),
    /// The node that feeds it.
    Parent(&'a Name, &'a Hub),
    /// Nobody feeds it now.
    Nobody,
}

/// What this process knows of such requests.
///
/// Its own suspicions count beside the fleet's: a router that has no control VM to ask still
/// stops what it has itself seen crash endpoints.
pub(crate) struct Quarantine {
    own: Suspects,
    fleet: Statuses,
    /// What is to be reported, also of those that this process feeds.
    pending: Evidence,
    report_at: Millis,
    report: Option<oneshot::Receiver<Reply>>,
    expire_at: Millis,
    publish: watch::Sender<Arc<Suspicions>>,
}

impl Quarantine {
    /// Nothing is suspected yet.
    pub(crate) fn new(publish: watch::Sender<Arc<Suspicions>>) -> Self {
        Quarantine {
            own: Suspects::default(),
            fleet: Statuses::new(),
            pending: Evidence::default(),
            report_at: Millis(0),
            report: None,
            expire_at: Millis(0),
            publish,
        }
    }

    /// An endpoint broke off a request.
    pub(crate) fn crashed(&mut self, crash: Crash) {
        self.own.record_crash(&crash);
        let crashes = vec![crash];
        self.relay(Evidence {
            crashes,
            ..Evidence::default()
        });
        self.publish();
    }

    /// An endpoint has answered a suspected request whole.
    pub(crate) fn cleared(&mut self, clearance: Completion) {
        self.own.record_completion(&clearance);
        let is_other = |c: &Completion| c.fingerprint != clearance.fingerprint;
        self.pending.cleared.retain(is_other);
        let cleared = vec![clearance];
        self.relay(Evidence {
            cleared,
            ..Evidence::default()
        });
        self.publish();
    }

    /// Takes what others have seen, to be passed on.
    pub(crate) fn relay(&mut self, evidence: Evidence) {
        self.pending.add(evidence, PENDING_MAX);
    }

    /// Follows what the control VMs have decided.
    pub(crate) fn follow(&mut self, fleet: &Statuses) {
        if *fleet == self.fleet {
            return;
        }
        for fingerprint in downgraded(&self.fleet, fleet) {
            self.own.forget(&fingerprint);
        }
        self.fleet.clone_from(fleet);
        self.publish();
    }

    /// Lets time pass: ends old suspicions, and reports what waits for it.
    pub(crate) fn tick(&mut self, now: Millis, up: Up<'_>) {
        if now >= self.expire_at {
            self.expire_at = now.after(EXPIRE_MS);
            self.own.expire(wall_micros());
            self.publish();
        }
        if self.pending.is_empty() || now < self.report_at {
            return;
        }
        self.report_at = now.after(REPORT_MS);
        match up {
            Up::Control(queries, hub) => self.ask(now, queries, hub),
            Up::Parent(parent, hub) => {
                let evidence = self.pending.take(REPORT_MAX);
                if !hub.send(parent, Message::Evidence(evidence.clone())) {
                    self.relay(evidence);
                }
            }
            Up::Nobody => {}
        }
    }

    /// Reports to the leader, one report at a time.
    fn ask(&mut self, now: Millis, queries: &mut Queries, hub: &Hub) {
        if let Some(report) = &mut self.report {
            if matches!(report.try_recv(), Err(oneshot::error::TryRecvError::Empty)) {
                return;
            }
        }
        let (sender, receiver) = oneshot::channel();
        self.report = Some(receiver);
        let evidence = self.pending.take(REPORT_MAX);
        queries.ask(now, hub, Query::Evidence(evidence), sender);
    }

    /// Fingerprints of requests that are refused here.
    pub(crate) fn quarantined(&self) -> Vec<String> {
        let verdicts = self.publish.borrow();
        let known = verdicts.fleet.keys().chain(verdicts.own.keys());
        let refused: BTreeSet<_> = known.filter(|f| verdicts.is_quarantined(f)).collect();
        refused.into_iter().map(Fingerprint::to_string).collect()
    }

    fn publish(&self) {
        let verdicts = Suspicions {
            fleet: self.fleet.clone(),
            own: self.own.statuses(1),
        };
        self.publish.send_if_modified(|published| {
            let is_same = published.fleet == verdicts.fleet && published.own == verdicts.own;
            if !is_same {
                tell(published, &verdicts);
                *published = Arc::new(verdicts);
            }
            !is_same
        });
    }
}

/// Logs which requests are refused from now on, and which no longer.
fn tell(old: &Suspicions, new: &Suspicions) {
    let known = new.fleet.keys().chain(new.own.keys());
    let begun = known.filter(|f| new.is_quarantined(f) && !old.is_quarantined(f));
    for fingerprint in begun {
        let is_own = !new.fleet.contains_key(fingerprint);
        let event = Line::QuarantineBegan.as_str();
        tracing::warn!(event, %fingerprint, is_own);
    }
    let known = old.fleet.keys().chain(old.own.keys());
    let ended = known.filter(|f| old.is_quarantined(f) && !new.is_quarantined(f));
    for fingerprint in ended {
        tracing::info!(event = Line::QuarantineEnded.as_str(), %fingerprint);
    }
}
