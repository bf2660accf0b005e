//! Requests suspected of crashing the endpoints that run them, and their quarantine.
//!
//! All requests in progress at an endpoint that ends are suspects, and one of them may be
//! to blame. What is in progress at one crash after the other, and never answered whole in
//! between, is quarantined.

use crate::clock::Stamp;
use crate::fingerprint::Fingerprint;
use crate::id::CustomerId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 3;
/// Crashes after which all routers watch for an answer that clears a request.
pub const WATCH_CRASHES: u32 = 2;
/// Time for which a quarantine holds first, and a suspicion, in microseconds.
pub const QUARANTINE_MICROS: u64 = 600 * 1_000_000;
/// Doublings of that time at most: a request that crashes endpoints again after its
/// quarantine is kept away longer each time.
const DOUBLINGS_MAX: u32 = 6;
/// Time for which a whole answer exonerates its request, in microseconds.
pub const SUCCESS_MICROS: u64 = 10 * 1_000_000;
/// Answered requests that are remembered for it.
const SUCCESSES_MAX: usize = 4096;
/// Suspects that are kept.
pub const SUSPECTS_MAX: usize = 2048;
/// Suspects of one customer that are kept, so that none can crowd out those of others.
pub const CUSTOMER_SUSPECTS_MAX: usize = 256;

/// An endpoint broke off a request, perhaps because the request crashed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whose it is.
    pub customer: CustomerId,
    /// When the try was sent.
    pub sent: Stamp,
    /// When the endpoint broke it off.
    pub at: Stamp,
}

/// An endpoint has answered a request whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Completion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// When the answer ended.
    pub at: Stamp,
}

/// Requests that endpoints have answered whole of late.
///
/// A popular request is in progress wherever an endpoint is lost. It would be suspected of
/// each loss, and quarantined in a storm of them in which few answers come through.
#[derive(Clone, Debug, Default)]
pub struct Successes {
    last: BTreeMap<Fingerprint, Stamp>,
    ages: VecDeque<(Stamp, Fingerprint)>,
}

impl Successes {
    /// Takes a whole answer.
    pub fn record(&mut self, clearance: &Completion) {
        let Completion { fingerprint, at } = *clearance;
        self.last.insert(fingerprint, at);
        self.ages.push_back((at, fingerprint));
        let is_old = |then: &Stamp| then.wall + SUCCESS_MICROS < at.wall;
        while let Some((then, fingerprint)) = self.ages.front().copied() {
            if self.ages.len() <= SUCCESSES_MAX && !is_old(&then) {
                return;
            }
            self.ages.pop_front();
            if self.last.get(&fingerprint) == Some(&then) {
                self.last.remove(&fingerprint);
            }
        }
    }

    /// Whether an answer of late shows that a request has not caused a crash.
    pub fn rules_out(&self, crash: &Crash) -> bool {
        let last = self.last.get(&crash.fingerprint);
        last.is_some_and(|last| last.wall + SUCCESS_MICROS >= crash.at.wall)
    }
}

/// What routers have seen of requests that may crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Evidence {
    /// Requests that their endpoints broke off.
    pub crashes: Vec<Crash>,
    /// Suspected requests that were answered whole.
    pub cleared: Vec<Completion>,
}

impl Evidence {
    /// Whether nothing was seen.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    /// Adds others; beyond `most` crashes, and clearances, the oldest give way.
    pub fn add(&mut self, mut others: Evidence, most: usize) {
        self.crashes.append(&mut others.crashes);
        self.cleared.append(&mut others.cleared);
        drop_first(&mut self.crashes, most);
        drop_first(&mut self.cleared, most);
    }

    /// Takes the first few out.
    pub fn take(&mut self, most: usize) -> Evidence {
        let crashes = self.crashes.len().min(most);
        let cleared = self.cleared.len().min(most);
        Evidence {
            crashes: self.crashes.drain(..crashes).collect(),
            cleared: self.cleared.drain(..cleared).collect(),
        }
    }
}

/// Drops what is before the last `most`.
fn drop_first<T>(all: &mut Vec<T>, most: usize) {
    let surplus = all.len().saturating_sub(most);
    all.drain(..surplus);
}

/// What routers are to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Serve it, and tell when it is answered whole.
    Watched,
    /// Refuse it.
    Quarantined,
}

/// What routers are to do with requests that are not to be served like any other.
pub type Statuses = BTreeMap<Fingerprint, Status>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Suspect {
    customer: CustomerId,
    crashes: u32,
    /// When the last crash that counts happened.
    crashed: Stamp,
    /// When the suspicion, or the quarantine, ends by itself.
    until_micros: u64,
    /// Quarantines that have ended by themselves.
    released: u32,
}

/// All suspects, at most [`SUSPECTS_MAX`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Suspects {
    all: BTreeMap<Fingerprint, Suspect>,
}

impl Suspect {
    fn hold_micros(&self) -> u64 {
        QUARANTINE_MICROS << self.released.min(DOUBLINGS_MAX)
    }

    fn is_quarantined(&self) -> bool {
        self.crashes >= QUARANTINE_CRASHES
    }
}

impl Suspects {
    /// Takes a crash.
    ///
    /// It counts only if the try was sent after the last one that counted: copies of a
    /// popular request that are in progress at several endpoints, lost together with their
    /// rack, tell no more than one of them does. The same holds for a report that comes twice.
    pub fn record_crash(&mut self, crash: &Crash) {
        if let Some(suspect) = self.all.get_mut(&crash.fingerprint) {
            if crash.sent > suspect.crashed {
                suspect.crashes = suspect.crashes.saturating_add(1);
                suspect.crashed = crash.at;
                suspect.until_micros = crash.at.wall.saturating_add(suspect.hold_micros());
            }
            return;
        }
        self.make_room(crash.customer);
        let suspect = Suspect {
            customer: crash.customer,
            crashes: 1,
            crashed: crash.at,
            until_micros: crash.at.wall.saturating_add(QUARANTINE_MICROS),
            released: 0,
        };
        self.all.insert(crash.fingerprint, suspect);
    }

    /// Takes a whole answer; one that ended before the last crash clears nothing.
    pub fn record_completion(&mut self, clearance: &Completion) {
        let suspect = self.all.get(&clearance.fingerprint);
        if suspect.is_some_and(|s| clearance.at > s.crashed) {
            self.all.remove(&clearance.fingerprint);
        }
    }

    /// Forgets a request whatever is known of it.
    pub fn forget(&mut self, fingerprint: &Fingerprint) {
        self.all.remove(fingerprint);
    }

    /// Ends what has lasted long enough. A request that leaves quarantine is watched for as
    /// long again, and the next crash brings it back.
    pub fn expire(&mut self, now_micros: u64) {
        let is_over = |s: &Suspect| s.until_micros <= now_micros;
        self.all.retain(|_, s| s.is_quarantined() || !is_over(s));
        for suspect in self.all.values_mut().filter(|s| is_over(s)) {
            suspect.crashes = WATCH_CRASHES;
            suspect.released += 1;
            suspect.until_micros = now_micros.saturating_add(suspect.hold_micros());
        }
    }

    /// Whether anything has lasted long enough to be ended.
    pub fn is_expired(&self, now_micros: u64) -> bool {
        self.all.values().any(|s| s.until_micros <= now_micros)
    }

    /// Whether a request is suspected at all.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.all.contains_key(fingerprint)
    }

    /// What routers are to do with those that have crashed endpoints at least `from` times.
    pub fn statuses(&self, from: u32) -> Statuses {
        let told = self.all.iter().filter(|(_, s)| s.crashes >= from);
        let standing = |s: &Suspect| match s.is_quarantined() {
            true => Status::Quarantined,
            false => Status::Watched,
        };
        told.map(|(f, s)| (*f, standing(s))).collect()
    }

    /// Suspects that are kept.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Drops the least suspected, of the customer if it has its share of all.
    fn make_room(&mut self, customer: CustomerId) {
        let own = |s: &Suspect| s.customer == customer;
        let is_full = self.all.values().filter(|s| own(s)).count() >= CUSTOMER_SUSPECTS_MAX;
        if !is_full && self.all.len() < SUSPECTS_MAX {
            return;
        }
        let given = self.all.iter().filter(|(_, s)| !is_full || own(s));
        let least = given.min_by_key(|(_, s)| (s.crashes, s.crashed));
        if let Some(least) = least.map(|(f, _)| *f) {
            self.all.remove(&least);
        }
    }
}

/// Requests that are suspected less than before.
pub fn downgraded(old: &Statuses, new: &Statuses) -> Vec<Fingerprint> {
    let is_less = |(f, standing): &(&Fingerprint, &Status)| new.get(f) < Some(standing);
    old.iter().filter(is_less).map(|(f, _)| *f).collect()
}

/// The changes that lead from some statuses to others.
pub fn diff(old: &Statuses, new: &Statuses) -> Vec<(Fingerprint, Option<Status>)> {
    let gone = old.keys().filter(|f| !new.contains_key(f));
    let gone = gone.map(|f| (*f, None));
    let set = new.iter().filter(|(f, s)| old.get(f) != Some(s));
    gone.chain(set.map(|(f, s)| (*f, Some(*s)))).collect()
}
