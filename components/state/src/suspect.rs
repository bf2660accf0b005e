//! Detection and quarantine of requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, each request in progress at it may be the cause and becomes a
//! suspect. A request that is in progress at several crashes in a row, and never answered
//! completely in between, is quarantined.

use crate::clock::Stamp;
use crate::fingerprint::Fingerprint;
use crate::id::{CustomerId, EndpointId, PartId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, VecDeque};

/// A request with at least this many crashes is quarantined.
pub const QUARANTINE_CRASHES: u32 = 3;
/// All routers watch for an answer that clears a request with at least this many crashes.
pub const WATCH_CRASHES: u32 = 2;
/// Duration of a first quarantine, and of a suspicion, in microseconds.
pub const QUARANTINE_MICROS: u64 = 600 * 1_000_000;
/// Most times that the duration is doubled: it doubles each time a request crashes endpoints
/// again after its quarantine.
const QUARANTINE_DOUBLINGS_MAX: u32 = 6;
/// Time after a complete answer for which crashes do not count against the request, in
/// microseconds.
pub const SUCCESS_MICROS: u64 = 10 * 1_000_000;
/// Most answered requests that are remembered for this.
const SUCCESSES_MAX: usize = 4096;
/// Most suspects.
pub const SUSPECTS_MAX: usize = 2048;
/// Most suspects of one customer, so that no customer can displace the suspects of others.
pub const CUSTOMER_SUSPECTS_MAX: usize = 256;

/// An endpoint broke off a request, possibly because the request crashed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// When the request was sent to the endpoint.
    pub sent: Stamp,
    /// When the endpoint broke off.
    pub at: Stamp,
}

/// An endpoint has answered a request completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Completion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// When the answer ended.
    pub at: Stamp,
}

/// An endpoint broke off a request. Any of the listed parts of its prompt may have crashed the
/// endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Break {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// When the request was sent to the endpoint.
    pub sent: Stamp,
    /// When the endpoint broke off.
    pub at: Stamp,
    /// Parts that other requests may share, with their places in the prompt, without those that are
    /// known to be harmless.
    pub parts: SmallVec<[(PartId, u8); 4]>,
}

/// An endpoint has answered a prompt with this part for long enough to show that the part does not
/// crash it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Survival {
    /// The part.
    pub part: PartId,
    /// When this was seen.
    pub at: Stamp,
}

/// Requests that endpoints have recently answered completely.
///
/// A frequent request is in progress at nearly every endpoint that crashes. Without this record it
/// would be suspected at each crash, and quarantined when many crashes leave few answers.
#[derive(Clone, Debug, Default)]
pub struct Successes {
    last: BTreeMap<Fingerprint, Stamp>,
    ages: VecDeque<(Stamp, Fingerprint)>,
}

impl Successes {
    /// Records a complete answer.
    pub fn record(&mut self, completion: &Completion) {
        let Completion { fingerprint, at } = *completion;
        self.last.insert(fingerprint, at);
        self.ages.push_back((at, fingerprint));
        let is_old = |completed: &Stamp| completed.wall + SUCCESS_MICROS < at.wall;
        while let Some((completed, fingerprint)) = self.ages.front().copied() {
            if self.ages.len() <= SUCCESSES_MAX && !is_old(&completed) {
                return;
            }
            self.ages.pop_front();
            if self.last.get(&fingerprint) == Some(&completed) {
                self.last.remove(&fingerprint);
            }
        }
    }

    /// Whether a recent complete answer shows that a request has not caused a crash.
    pub fn rules_out(&self, crash: &Crash) -> bool {
        let last = self.last.get(&crash.fingerprint);
        last.is_some_and(|last| last.wall + SUCCESS_MICROS >= crash.at.wall)
    }
}

/// Observations by routers of requests that may crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Evidence {
    /// Requests that endpoints broke off.
    pub crashes: Vec<Crash>,
    /// Suspected requests that were answered completely.
    pub cleared: Vec<Completion>,
    /// Broken requests with parts of prompts that may be the cause. Not part of a record: the leader
    /// turns them into `crashes` and `cleared` of parts.
    #[serde(skip)]
    pub breaks: Vec<Break>,
    /// Answers that show suspected parts of prompts to be harmless, likewise.
    #[serde(skip)]
    pub survivals: Vec<Survival>,
}

impl Evidence {
    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.cleared.is_empty()
            && self.breaks.is_empty()
            && self.survivals.is_empty()
    }

    /// Adds others, and keeps the newest `most` of each kind.
    pub fn add(&mut self, mut others: Evidence, most: usize) {
        self.crashes.append(&mut others.crashes);
        self.cleared.append(&mut others.cleared);
        self.breaks.append(&mut others.breaks);
        self.survivals.append(&mut others.survivals);
        keep_last(&mut self.crashes, most);
        keep_last(&mut self.cleared, most);
        keep_last(&mut self.breaks, most);
        keep_last(&mut self.survivals, most);
    }

    /// Removes and returns the oldest `most` of each kind.
    pub fn take(&mut self, most: usize) -> Evidence {
        Evidence {
            crashes: take_first(&mut self.crashes, most),
            cleared: take_first(&mut self.cleared, most),
            breaks: take_first(&mut self.breaks, most),
            survivals: take_first(&mut self.survivals, most),
        }
    }

    /// The same evidence for a process that does not know [`Evidence::breaks`]: each part counts
    /// like a request that crashes endpoints, whoever sends it.
    pub fn without_breaks(mut self) -> Self {
        for broken in std::mem::take(&mut self.breaks) {
            let crash = |(part, _): &(PartId, u8)| Crash {
                fingerprint: Fingerprint::of_part(*part, None),
                customer: broken.customer,
                sent: broken.sent,
                at: broken.at,
            };
            self.crashes.extend(broken.parts.iter().map(crash));
        }
        let cleared = std::mem::take(&mut self.survivals).into_iter();
        self.cleared.extend(cleared.map(|survival| Completion {
            fingerprint: Fingerprint::of_part(survival.part, None),
            at: survival.at,
        }));
        self
    }
}

/// Removes and returns the first `most` items.
fn take_first<T>(all: &mut Vec<T>, most: usize) -> Vec<T> {
    all.drain(..all.len().min(most)).collect()
}

/// Removes all but the last `most` items.
fn keep_last<T>(all: &mut Vec<T>, most: usize) {
    let surplus = all.len().saturating_sub(most);
    all.drain(..surplus);
}

/// How routers treat a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Routers serve it, and report when it is answered completely.
    Watched,
    /// Routers refuse it.
    Quarantined,
}

/// Statuses of all requests that are watched or quarantined.
pub type Statuses = BTreeMap<Fingerprint, Status>;

/// What is known of one suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Suspect {
    customer: CustomerId,
    crashes: u32,
    /// When the last counted crash happened.
    crashed: Stamp,
    /// When the suspicion or quarantine expires.
    until_micros: u64,
    /// Number of quarantines that have expired.
    released: u32,
}

/// All suspects, at most [`SUSPECTS_MAX`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Suspects {
    all: BTreeMap<Fingerprint, Suspect>,
}

impl Suspect {
    /// Duration of the next suspicion or quarantine.
    fn quarantine_micros(&self) -> u64 {
        QUARANTINE_MICROS << self.released.min(QUARANTINE_DOUBLINGS_MAX)
    }

    fn is_quarantined(&self) -> bool {
        self.crashes >= QUARANTINE_CRASHES
    }
}

impl Suspects {
    /// Records a crash.
    ///
    /// It counts only if the request was sent after the last counted crash: if several endpoints
    /// are lost together, for example with their rack, copies of a frequent request that were in
    /// progress at them count as one crash. The same holds for a repeated report.
    pub fn record_crash(&mut self, crash: &Crash) {
        if let Some(suspect) = self.all.get_mut(&crash.fingerprint) {
            if crash.sent > suspect.crashed {
                suspect.crashes = suspect.crashes.saturating_add(1);
                suspect.crashed = crash.at;
                suspect.until_micros = crash.at.wall.saturating_add(suspect.quarantine_micros());
            }
            return;
        }
        self.evict(crash.customer);
        let suspect = Suspect {
            customer: crash.customer,
            crashes: 1,
            crashed: crash.at,
            until_micros: crash.at.wall.saturating_add(QUARANTINE_MICROS),
            released: 0,
        };
        self.all.insert(crash.fingerprint, suspect);
    }

    /// Records a complete answer. It clears the request unless it ended before the last crash.
    pub fn record_completion(&mut self, completion: &Completion) {
        let suspect = self.all.get(&completion.fingerprint);
        if suspect.is_some_and(|s| completion.at > s.crashed) {
            self.all.remove(&completion.fingerprint);
        }
    }

    /// Removes a request from the suspects, also from quarantine.
    pub fn forget(&mut self, fingerprint: &Fingerprint) {
        self.all.remove(fingerprint);
    }

    /// Ends suspicions and quarantines that have expired. A request that leaves quarantine is
    /// watched for as long again, and the next crash quarantines it again.
    pub fn expire(&mut self, now_micros: u64) {
        let is_over = |s: &Suspect| s.until_micros <= now_micros;
        self.all.retain(|_, s| s.is_quarantined() || !is_over(s));
        for suspect in self.all.values_mut().filter(|s| is_over(s)) {
            suspect.crashes = WATCH_CRASHES;
            suspect.released += 1;
            suspect.until_micros = now_micros.saturating_add(suspect.quarantine_micros());
        }
    }

    /// Whether any suspicion or quarantine has expired.
    pub fn is_expired(&self, now_micros: u64) -> bool {
        self.all.values().any(|s| s.until_micros <= now_micros)
    }

    /// Whether a request is suspected.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.all.contains_key(fingerprint)
    }

    /// When the last crash that counts against a suspect happened.
    pub fn last_crash(&self, fingerprint: &Fingerprint) -> Option<Stamp> {
        self.all.get(fingerprint).map(|suspect| suspect.crashed)
    }

    /// Fingerprints under which a part of prompts is suspected, of one customer or of all.
    pub fn of_part(&self, part: PartId) -> impl Iterator<Item = &Fingerprint> {
        self.all.keys().filter(move |f| f.is_of_part(part))
    }

    /// Statuses of the requests with at least `min_crashes` crashes.
    pub fn statuses(&self, min_crashes: u32) -> Statuses {
        let selected = self.all.iter().filter(|(_, s)| s.crashes >= min_crashes);
        let status = |s: &Suspect| match s.is_quarantined() {
            true => Status::Quarantined,
            false => Status::Watched,
        };
        selected.map(|(f, s)| (*f, status(s))).collect()
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Removes the suspect with the fewest crashes if there are too many, among those of the
    /// customer if the customer has too many.
    fn evict(&mut self, customer: CustomerId) {
        let is_own = |s: &Suspect| s.customer == customer;
        let is_full = self.all.values().filter(|s| is_own(s)).count() >= CUSTOMER_SUSPECTS_MAX;
        if !is_full && self.all.len() < SUSPECTS_MAX {
            return;
        }
        let candidates = self.all.iter().filter(|(_, s)| !is_full || is_own(s));
        let least = candidates.min_by_key(|(_, s)| (s.crashes, s.crashed));
        if let Some(least) = least.map(|(f, _)| *f) {
            self.all.remove(&least);
        }
    }
}

/// Requests that are no longer quarantined, or no longer suspected.
pub fn downgraded(old: &Statuses, new: &Statuses) -> Vec<Fingerprint> {
    let is_lower = |(f, status): &(&Fingerprint, &Status)| new.get(f) < Some(status);
    old.iter().filter(is_lower).map(|(f, _)| *f).collect()
}

/// The changes that turn `old` into `new`.
pub fn diff(old: &Statuses, new: &Statuses) -> Vec<(Fingerprint, Option<Status>)> {
    let gone = old.keys().filter(|f| !new.contains_key(f));
    let gone = gone.map(|f| (*f, None));
    let set = new.iter().filter(|(f, s)| old.get(f) != Some(s));
    gone.chain(set.map(|(f, s)| (*f, Some(*s)))).collect()
}
