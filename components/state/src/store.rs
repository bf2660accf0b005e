//! The state machine to which the control VMs apply the replicated log.

use crate::catalog::{Catalog, Joined};
use crate::delta::Delta;
use crate::evacuation::{Evacuation, Order};
use crate::id::{CustomerId, RequestId, Software, Version};
use crate::record::{Answer, ChangeId, Members, Record, Release, Resolution};
use crate::secret::Hash;
use crate::suspect::{diff, Evidence, Suspects, WATCH_CRASHES};
use crate::view::{Change, Node, Step, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most answers to operators' changes that are kept for resends.
pub const ANSWERS_MAX: usize = 10_000;
/// Time for which a claimed idempotency key is kept, in seconds.
pub const CLAIM_SECONDS: u64 = 24 * 3600;
/// Most claimed keys; beyond it the oldest are dropped. A control VM has 64 MB of memory.
pub const CLAIMS_MAX: usize = 200_000;
/// Most bytes of stored responses; beyond it the oldest bodies are dropped.
pub const STORED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// A claimed idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Claim {
    /// Customer.
    pub customer: CustomerId,
    /// Hash of the method, path and body.
    pub fingerprint: Hash,
    /// Request that claimed the key.
    pub request: RequestId,
    /// Leader's wall clock in seconds at the claim.
    pub at: u64,
    /// State of that request.
    pub known: Resolution,
}

/// The replicated state, which snapshots store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Store {
    /// The part that is sent to all routers.
    pub view: View,
    /// Claimed idempotency keys.
    pub claims: BTreeMap<Hash, Claim>,
    /// Times and keys of the claims, oldest first.
    pub claim_ages: VecDeque<(u64, Hash)>,
    /// Keys with a stored response, oldest first.
    pub stored: VecDeque<Hash>,
    /// Total bytes of stored bodies.
    pub stored_bytes: usize,
    /// Answers to operators' changes, returned again for resends.
    pub answers: BTreeMap<ChangeId, Answer>,
    /// Identifiers of those changes, oldest first.
    pub answer_ages: VecDeque<ChangeId>,
    /// The complete configuration with the highest number, as its operator sent it.
    pub release: Option<Document>,
    /// Requests suspected of crashing endpoints.
    pub suspects: Suspects,
    /// Software versions of each service. In a snapshot it follows the other fields, whose encoding
    /// is that of the first release.
    #[serde(skip)]
    pub catalog: Catalog,
}

/// A complete configuration as its operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Document {
    /// Number that the operator chose.
    pub number: u64,
    /// The document.
    pub bytes: Vec<u8>,
}

impl Store {
    /// Applies a record. Returns its result, and the step if it changed the view.
    pub fn apply(&mut self, record: &Record) -> (Answer, Option<Step>) {
        match record {
            Record::NoOp => (Answer::Done, None),
            Record::Members(members) => (Answer::Done, self.members(members)),
            Record::Release(release) => self.release(release),
            Record::Change { id, base, delta } => self.change(*id, *base, delta),
            Record::Assignment(assignment) => {
                let old = self.view.assignment(&assignment.shard);
                if old.is_some_and(|s| s.epoch >= assignment.epoch) {
                    return (Answer::Done, None);
                }
                self.step(Change::Assignment(assignment.clone()))
            }
            Record::Departure(departure) if self.view.is_announced(departure) => {
                // Several senders may announce the same departure.
                (Answer::Accepted(self.view.version), None)
            }
            Record::Departure(departure) => self.step(Change::Departure(departure.clone())),
            Record::Claim {
                key,
                customer,
                fingerprint,
                request,
                at,
            } => {
                let claim = Claim {
                    customer: *customer,
                    fingerprint: *fingerprint,
                    request: *request,
                    at: *at,
                    known: Resolution::Pending,
                };
                (self.claim(*key, claim), None)
            }
            Record::Settle {
                key,
                request,
                known,
            } => {
                self.settle(key, *request, known.as_ref());
                (Answer::Done, None)
            }
            Record::Suspects { at, evidence } => {
                let step = self.suspect(at.wall, evidence);
                (Answer::Accepted(self.view.version), step)
            }
            Record::Evacuation { at, order } => self.evacuate(at.wall, order),
            Record::Versions(joined) => {
                self.join(joined);
                (Answer::Done, None)
            }
        }
    }

    /// Lets versions join their services. The first such record begins the catalog.
    fn join(&mut self, joined: &Joined) {
        // Endpoints that schedulers have were in use.
        let is_in_use = !self.view.assignments.is_empty();
        let services = self.view.config.services.values();
        let in_use = services.filter(|_| is_in_use).map(|s| s.name.clone());
        self.catalog.begin(in_use);
        for (service, software) in joined {
            self.catalog.join(service, *software);
        }
        self.join_configured();
    }

    /// Adds the configured endpoints, which state no version, to the catalog.
    fn join_configured(&mut self) {
        if !self.catalog.has_begun() {
            return;
        }
        for endpoint in self.view.config.endpoints.values() {
            self.catalog.join(&endpoint.service, Software::UNSTATED);
        }
    }

    /// Begins or ends the evacuation of a data centre, unless a later order is already in force.
    fn evacuate(&mut self, at: u64, order: &Order) -> (Answer, Option<Step>) {
        if self.view.is_evacuated(&order.data_centre) == order.is_evacuated {
            return (Answer::Accepted(self.view.version), None);
        }
        let last = self.view.evacuations.get(&order.data_centre);
        if let Some(last) = last.filter(|last| last.version > order.base) {
            return (Answer::Conflict(last.version), None);
        }
        let evacuation = Evacuation {
            is_in_force: order.is_evacuated,
            version: Version(self.view.version.0 + 1),
            at,
        };
        self.step(Change::Evacuation(order.data_centre.clone(), evacuation))
    }

    /// Applies a change to the view.
    fn step(&mut self, change: Change) -> (Answer, Option<Step>) {
        let version = Version(self.view.version.0 + 1);
        let step = Step { version, change };
        let changes_rules = matches!(step.change, Change::Config(_) | Change::Release(..));
        let rules = changes_rules.then(|| self.view.config.rules.clone());
        self.view.apply_step(&step);
        if let Some(before) = rules {
            self.catalog.reroute(&before, &self.view.config.rules);
            self.join_configured();
        }
        (Answer::Accepted(version), Some(step))
    }

    /// Records observations of suspects; returns the step if the status of a request changed.
    fn suspect(&mut self, now_micros: u64, evidence: &Evidence) -> Option<Step> {
        self.suspects.expire(now_micros);
        (evidence.crashes.iter()).for_each(|c| self.suspects.record_crash(c));
        (evidence.cleared.iter()).for_each(|c| self.suspects.record_completion(c));
        let statuses = self.suspects.statuses(WATCH_CRASHES);
        let changes = diff(&self.view.suspects, &statuses);
        (!changes.is_empty()).then(|| self.step(Change::Suspects(changes)).1)?
    }

    /// Updates the control VMs in the view.
    fn members(&mut self, members: &Members) -> Option<Step> {
        let nodes: Vec<Node> = members.voters.iter().map(|m| m.node.clone()).collect();
        let is_same = nodes == self.view.control;
        (!is_same).then(|| self.step(Change::Control(nodes)).1)?
    }

    /// Replaces the configuration if the number of the new one is the highest so far.
    ///
    /// The difference is computed here and not by the proposer: otherwise two concurrent releases
    /// would both be based on the same configuration, and the second would restore parts of it.
    fn release(&mut self, release: &Release) -> (Answer, Option<Step>) {
        let newest = self.release.as_ref().map(|r| r.number);
        if let Some(newest) = newest.filter(|newest| release.number <= *newest) {
            return (Answer::Released(newest), None);
        }
        self.release = Some(Document {
            number: release.number,
            bytes: release.document.clone(),
        });
        let delta = Delta::between(&self.view.config, &release.draft);
        let (_, step) = self.step(Change::Release(release.number, delta));
        (Answer::Released(release.number), step)
    }

    /// Applies an operator's change if it is based on the current configuration.
    fn change(&mut self, id: ChangeId, base: Version, delta: &Delta) -> (Answer, Option<Step>) {
        if let Some(first) = self.answers.get(&id) {
            return (first.clone(), None);
        }
        let current = self.view.config_version;
        let (answer, step) = if base == current {
            self.step(Change::Config(delta.clone()))
        } else {
            (Answer::Conflict(current), None)
        };
        self.remember(id, answer.clone());
        (answer, step)
    }

    /// Keeps the answer to a change for resends.
    fn remember(&mut self, id: ChangeId, answer: Answer) {
        self.answers.insert(id, answer);
        self.answer_ages.push_back(id);
        if self.answer_ages.len() > ANSWERS_MAX {
            if let Some(oldest) = self.answer_ages.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }

    /// Claims an idempotency key for a request, unless another request has claimed it.
    fn claim(&mut self, key: Hash, claim: Claim) -> Answer {
        self.expire(claim.at);
        if let Some(first) = self.claims.get(&key) {
            // The router repeats a claim whose answer it did not receive.
            if first.request == claim.request && first.known == Resolution::Pending {
                return Answer::Claimed;
            }
            return Answer::AlreadyClaimed(first.fingerprint, first.known.clone());
        }
        self.claim_ages.push_back((claim.at, key));
        self.claims.insert(key, claim);
        while self.claims.len() > CLAIMS_MAX {
            self.drop_oldest();
        }
        Answer::Claimed
    }

    /// Stores the end of a request that claimed a key, or releases the key.
    fn settle(&mut self, key: &Hash, request: RequestId, known: Option<&Resolution>) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        if claim.request != request {
            return;
        }
        match known {
            Some(known) => {
                claim.known = known.clone();
                self.stored.push_back(*key);
                self.stored_bytes += stored_bytes(known);
                self.trim_bodies();
            }
            None => self.remove(key),
        }
    }

    /// Drops the oldest stored bodies beyond the limit. It is still known that those requests
    /// were answered.
    fn trim_bodies(&mut self) {
        while self.stored_bytes > STORED_BYTES_MAX {
            let Some(oldest) = self.stored.pop_front() else {
                return;
            };
            let Some(claim) = self.claims.get_mut(&oldest) else {
                continue;
            };
            self.stored_bytes -= stored_bytes(&claim.known);
            if let Resolution::Answered(stored) = &mut claim.known {
                stored.body = None;
            }
        }
    }

    /// Removes a claim and its stored response.
    fn remove(&mut self, key: &Hash) {
        if let Some(claim) = self.claims.remove(key) {
            self.stored_bytes -= stored_bytes(&claim.known);
        }
    }

    /// Removes the oldest claim.
    fn drop_oldest(&mut self) {
        let Some((at, key)) = self.claim_ages.pop_front() else {
            return;
        };
        // A released key may have been claimed again later.
        if self.claims.get(&key).is_some_and(|c| c.at == at) {
            self.remove(&key);
        }
    }

    /// Removes the claims that have expired.
    fn expire(&mut self, now: u64) {
        let is_old = |at: u64| at + CLAIM_SECONDS <= now;
        while self.claim_ages.front().is_some_and(|(at, _)| is_old(*at)) {
            self.drop_oldest();
        }
        while self
            .stored
            .front()
            .is_some_and(|key| !self.claims.contains_key(key))
        {
            self.stored.pop_front();
        }
    }
}

/// Bytes of the stored body.
fn stored_bytes(known: &Resolution) -> usize {
    match known {
        Resolution::Answered(stored) => stored.body.as_ref().map_or(0, Vec::len),
        Resolution::Pending | Resolution::Unknown => 0,
    }
}
