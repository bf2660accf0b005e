//! Attribution of endpoints' crashes to parts of prompts.
//!
//! A part of a prompt that many requests share can crash each endpoint that answers it, although no
//! two of these requests are alike. When an endpoint crashes, all parts of the prompts in progress
//! there are suspects, except those that endpoints have answered not long ago: [`Survivals`].
//! Reports of several routers on the same endpoint make one crash.
//!
//! [`Attribution`] blames the part that is in progress in most crashes, once there are
//! [`QUARANTINE_CRASHES`], and takes these crashes as explained: they no longer count against the
//! parts that were in progress beside it. It decides anew with each report, so that a part that was
//! blamed too early is released as soon as another one explains its crashes better.

use crate::prelude::*;
use smallvec::SmallVec;
use state::suspect::{
    Break, Completion, Crash, Evidence, Survival, QUARANTINE_CRASHES, QUARANTINE_MICROS,
    WATCH_CRASHES,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Time after an answer for which the same part is not suspected, in milliseconds. The answer may be
/// of another software version than the one that crashes: while one version answers a part, a faulty
/// release is the better explanation, and to refuse the part would refuse it to that version, too.
pub const SURVIVAL_MS: u64 = 60_000;
/// Time for which an endpoint must answer until the parts of the prompt count as harmless, in
/// milliseconds. Pauses count up to [`PAUSE_MAX_MS`]: a process that was itself suspended has
/// seen no answer meanwhile.
pub const ANSWER_MS: u64 = 1000;
/// Longest pause between two pieces that counts towards [`ANSWER_MS`], in milliseconds.
pub const PAUSE_MAX_MS: u64 = 200;
/// Most parts that [`Survivals`] remembers.
pub const SURVIVALS_MAX: usize = 4096;
/// Most crashes that are remembered.
pub const CRASHES_MAX: usize = 64;
/// Most suspects of one crash.
pub const CRASH_SUSPECTS_MAX: usize = 64;
/// Crashes that are closer together than this, in microseconds, count as one against a part whose
/// requests were in progress at all of them: the endpoints may have been lost with their rack.
pub const SIMULTANEOUS_MICROS: u64 = 100_000;
/// [`QUARANTINE_CRASHES`] as a length.
// CAST: a small number.
const CRASHES_TO_BLAME: usize = QUARANTINE_CRASHES as usize;
/// Most customers of a part whose crashes are counted separately.
pub const CUSTOMERS_MAX: usize = 16;
/// Longest time between the first and the last break of the same crash, in microseconds. Routers
/// notice it at different times, and may send requests on kept connections until they do.
pub const BREAK_SPREAD_MICROS: u64 = 500_000;

/// Parts of prompts that endpoints have answered not long ago.
#[derive(Clone, Debug, Default)]
pub struct Survivals {
    last: HashMap<PartId, Millis>,
}

impl Survivals {
    /// Records that an endpoint answers a prompt with the part.
    pub fn record(&mut self, now: Millis, part: PartId) {
        let mut age_ms = SURVIVAL_MS;
        while self.last.len() >= SURVIVALS_MAX && !self.last.contains_key(&part) {
            self.last.retain(|_, at| now.since(*at) < age_ms);
            age_ms /= 2;
        }
        self.last.insert(part, now);
    }

    /// Whether such an answer shows that the part has not crashed an endpoint.
    pub fn rules_out(&self, now: Millis, part: PartId) -> bool {
        let last = self.last.get(&part);
        last.is_some_and(|at| now.since(*at) <= SURVIVAL_MS)
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }
}

/// What is known of a part that was in progress at a crash.
#[derive(Clone, Debug)]
struct Seen {
    /// When the last request with it was sent.
    sent: Stamp,
    /// Requests with it that were broken off.
    requests: u32,
    /// Place in the prompt: the parts before it are shared by at least as many requests.
    depth: usize,
    /// Customers of these requests, at most [`CUSTOMERS_MAX`].
    customers: SmallVec<[CustomerId; 2]>,
}

/// The end of one endpoint.
#[derive(Clone, Debug)]
struct Incident {
    endpoint: EndpointId,
    /// When the first router noticed it.
    at: Stamp,
    /// Parts of the prompts in progress that may have been the cause.
    suspects: BTreeMap<PartId, Seen>,
}

/// How far a part is under suspicion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The part.
    pub part: PartId,
    /// Crashes that are attributed to it, or that nothing else explains.
    pub crashes: u32,
    /// Requests with it that were broken off in all crashes.
    pub requests: u32,
    /// The crashes with requests of each customer, at most [`CUSTOMERS_MAX`] of them.
    pub customers: SmallVec<[(CustomerId, u32); 2]>,
}

/// Attributes crashes to parts of prompts.
#[derive(Clone, Debug, Default)]
pub struct Attribution {
    incidents: VecDeque<Incident>,
    survivals: Survivals,
    /// Crashes that were passed on, by part and customer.
    passed_on: BTreeMap<Fingerprint, u32>,
    /// The same before the last decision.
    before: BTreeMap<Fingerprint, u32>,
}

impl Incident {
    /// Whether a request was broken off by this crash, or sent to the endpoint after it.
    fn includes(&self, broken: &Break) -> bool {
        self.endpoint == broken.endpoint
            && self.at.wall.abs_diff(broken.at.wall) <= BREAK_SPREAD_MICROS
    }

    fn add(&mut self, broken: &Break, depth: usize, part: PartId) {
        if self.suspects.len() >= CRASH_SUSPECTS_MAX && !self.suspects.contains_key(&part) {
            return;
        }
        let seen = self.suspects.entry(part).or_insert_with(|| Seen {
            sent: broken.sent,
            requests: 0,
            depth,
            customers: SmallVec::new(),
        });
        seen.sent = seen.sent.max(broken.sent);
        seen.depth = seen.depth.max(depth);
        seen.requests = seen.requests.saturating_add(1);
        if seen.customers.len() < CUSTOMERS_MAX && !seen.customers.contains(&broken.customer) {
            seen.customers.push(broken.customer);
        }
    }
}

impl Attribution {
    /// Takes evidence of routers, and returns what follows from it: crashes that count against
    /// parts, and parts that are cleared. Requests that are suspected as a whole remain as they are.
    /// `stamp` gives the time of each, later than all before.
    pub fn attribute<F>(&mut self, now: Millis, evidence: Evidence, stamp: F) -> Evidence
    where
        F: FnMut() -> Stamp,
    {
        self.before.clone_from(&self.passed_on);
        let mut decided = Evidence {
            crashes: evidence.crashes,
            cleared: evidence.cleared,
            ..Evidence::default()
        };
        for (part, _) in (decided.cleared.iter()).filter_map(|c| c.fingerprint.part()) {
            self.forget(part);
        }
        if evidence.breaks.is_empty() && evidence.survivals.is_empty() {
            return decided;
        }
        let mut cleared = Vec::new();
        for survival in &evidence.survivals {
            cleared.extend(self.clear(now, survival));
        }
        for broken in &evidence.breaks {
            self.record(now, broken);
        }
        self.pass_on(&mut decided, cleared, stamp);
        decided
    }

    /// Takes back the last decision, whose result was lost. The same evidence will come again.
    pub fn revert(&mut self) {
        self.passed_on.clone_from(&self.before);
    }

    /// Forgets all evidence against a part.
    pub fn forget(&mut self, part: PartId) {
        for incident in &mut self.incidents {
            incident.suspects.remove(&part);
        }
        self.incidents.retain(|i| !i.suspects.is_empty());
        let is_other = |f: &Fingerprint| f.part().is_none_or(|(id, _)| id != part);
        self.passed_on.retain(|f, _| is_other(f));
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        *self = Attribution::default();
    }

    /// Clears a part that endpoints answer. Returns the fingerprints under which it may be suspected.
    fn clear(&mut self, now: Millis, survival: &Survival) -> Vec<Fingerprint> {
        let Survival { part, customer, .. } = *survival;
        let of_part = |f: &&Fingerprint| f.part().is_some_and(|(id, _)| id == part);
        let known = self.passed_on.keys().filter(of_part).copied();
        let scopes = [None, Some(customer)].map(|scope| Fingerprint::of_part(part, scope));
        let mut all: Vec<Fingerprint> = known.chain(scopes).collect();
        all.sort_unstable();
        all.dedup();
        self.survivals.record(now, part);
        self.forget(part);
        all
    }

    /// Records a broken request with the crash that broke it off.
    fn record(&mut self, now: Millis, broken: &Break) {
        self.expire(broken.at.wall);
        let survivals = &self.survivals;
        let is_suspect = |part: &PartId| !survivals.rules_out(now, *part);
        let parts = broken.parts.iter().copied().enumerate();
        let parts: Vec<_> = parts.filter(|(_, part)| is_suspect(part)).collect();
        if parts.is_empty() {
            return;
        }
        if !self.incidents.iter().any(|i| i.includes(broken)) {
            if self.incidents.len() >= CRASHES_MAX {
                self.incidents.pop_front();
                self.lower();
            }
            self.incidents.push_back(Incident {
                endpoint: broken.endpoint,
                at: broken.at,
                suspects: BTreeMap::new(),
            });
        }
        let incident = self.incidents.iter_mut().rev().find(|i| i.includes(broken));
        if let Some(incident) = incident {
            incident.at = incident.at.min(broken.at);
            // A request that was sent after the crash has not caused it.
            if broken.sent <= incident.at {
                for (depth, part) in parts {
                    incident.add(broken, depth, part);
                }
            }
        }
    }

    /// Drops crashes that are too old to count. What was passed on of them expires elsewhere.
    fn expire(&mut self, now_micros: u64) {
        let is_old = |i: &Incident| i.at.wall.saturating_add(QUARANTINE_MICROS) < now_micros;
        let before = self.incidents.len();
        self.incidents.retain(|i| !is_old(i));
        if self.incidents.len() < before {
            self.lower();
        }
    }

    /// Lowers the numbers of crashes that were passed on to those that are still remembered.
    fn lower(&mut self) {
        let standings = self.standings();
        let crashes: BTreeMap<PartId, u32> =
            standings.iter().map(|s| (s.part, s.crashes)).collect();
        self.passed_on.retain(|fingerprint, passed_on| {
            let (part, _) = fingerprint.part().unwrap_or_default();
            *passed_on = crashes.get(&part).copied().unwrap_or(0).min(*passed_on);
            *passed_on > 0
        });
    }

    /// Adds what is not passed on yet to the decision.
    fn pass_on<F>(&mut self, decided: &mut Evidence, mut cleared: Vec<Fingerprint>, mut stamp: F)
    where
        F: FnMut() -> Stamp,
    {
        let standings = self.standings();
        let wanted = wanted(&standings);
        let parts: BTreeSet<PartId> = standings.iter().map(|s| s.part).collect();
        let is_known = |f: &Fingerprint| f.part().is_some_and(|(part, _)| parts.contains(&part));
        let too_much: BTreeSet<Fingerprint> = (self.passed_on.iter())
            .filter(|(f, passed_on)| is_known(f) && wanted.get(f).is_none_or(|n| n < passed_on))
            .map(|(f, _)| *f)
            .collect();
        let mut crashes = Vec::new();
        for (fingerprint, wanted) in &wanted {
            // What is cleared now counts again with the next evidence.
            if !too_much.contains(fingerprint) {
                let passed_on = self.passed_on.entry(*fingerprint).or_default();
                let customer = fingerprint.part().and_then(|(_, customer)| customer);
                let customer = customer.unwrap_or_default();
                crashes.extend((*passed_on..*wanted).map(|_| (*fingerprint, customer)));
                *passed_on = *wanted;
            }
        }
        self.passed_on.retain(|f, _| !too_much.contains(f));
        cleared.extend(too_much);
        self.passed_on.retain(|_, passed_on| *passed_on > 0);
        decided
            .cleared
            .extend(cleared.into_iter().map(|fingerprint| Completion {
                fingerprint,
                at: stamp(),
            }));
        decided
            .crashes
            .extend(crashes.into_iter().map(|(fingerprint, customer)| {
                // Only what is later than the last crash that counts is counted.
                let at = stamp();
                Crash {
                    fingerprint,
                    customer,
                    sent: at,
                    at,
                }
            }));
    }

    /// How far each part is under suspicion. Parts whose crashes others explain have none.
    pub fn standings(&self) -> Vec<Standing> {
        let mut places: BTreeMap<PartId, SmallVec<[usize; 8]>> = BTreeMap::new();
        for (place, incident) in self.incidents.iter().enumerate() {
            for part in incident.suspects.keys() {
                places.entry(*part).or_default().push(place);
            }
        }
        let mut is_explained = vec![false; self.incidents.len()];
        let mut standings = Vec::new();
        while let Some((part, crashes)) = self.most_blamed(&places, &is_explained) {
            if let Some(own) = places.remove(&part) {
                standings.push(self.standing(part, crashes, &own, &is_explained));
                own.iter().for_each(|place| is_explained[*place] = true);
            }
        }
        for (part, own) in &places {
            let crashes = self.count(*part, own, &is_explained, None);
            let crashes = crashes.min(WATCH_CRASHES);
            standings.push(self.standing(*part, crashes, own, &is_explained));
        }
        standings
    }

    /// The part with most crashes that nothing else explains, if there are enough of them. Of equal
    /// ones it is the one that is deepest in the prompt: to refuse it refuses fewest other requests.
    fn most_blamed(
        &self,
        places: &BTreeMap<PartId, SmallVec<[usize; 8]>>,
        is_explained: &[bool],
    ) -> Option<(PartId, u32)> {
        let frequent = (places.iter()).filter(|(_, own)| own.len() >= CRASHES_TO_BLAME);
        let ranked = frequent.map(|(part, own)| {
            let seen = own
                .iter()
                .filter_map(|place| self.incidents[*place].suspects.get(part));
            let requests: u32 = seen.clone().map(|s| s.requests).sum();
            let depth = seen.map(|s| s.depth).max();
            let crashes = self.count(*part, own, is_explained, None);
            (crashes, depth, requests, *part)
        });
        let (crashes, _, _, part) = ranked.max()?;
        (crashes >= QUARANTINE_CRASHES).then_some((part, crashes))
    }

    /// Number of crashes of a part that nothing else explains, of a customer's requests or of all.
    /// Crashes at the same time count as one, unless a request with the part was sent after the last
    /// one that counts.
    fn count(
        &self,
        part: PartId,
        own: &[usize],
        is_explained: &[bool],
        customer: Option<CustomerId>,
    ) -> u32 {
        let mut counted = 0;
        let mut last: Option<Stamp> = None;
        for place in own.iter().filter(|place| !is_explained[**place]) {
            let incident = &self.incidents[*place];
            let Some(seen) = incident.suspects.get(&part) else {
                continue;
            };
            if customer.is_some_and(|customer| !seen.customers.contains(&customer)) {
                continue;
            }
            let is_apart = |last: Stamp| {
                let apart = incident.at.wall.saturating_sub(last.wall);
                seen.sent > last || apart >= SIMULTANEOUS_MICROS
            };
            if last.is_none_or(is_apart) {
                counted += 1;
                last = Some(incident.at);
            }
        }
        counted
    }

    fn standing(
        &self,
        part: PartId,
        crashes: u32,
        own: &[usize],
        is_explained: &[bool],
    ) -> Standing {
        let seen = own
            .iter()
            .filter_map(|place| self.incidents[*place].suspects.get(&part));
        let requests = seen.clone().map(|s| s.requests).sum();
        let mut customers: SmallVec<[(CustomerId, u32); 2]> = SmallVec::new();
        for customer in seen.flat_map(|s| s.customers.iter().copied()) {
            let is_new = customers.iter().all(|(known, _)| *known != customer);
            if is_new && customers.len() < CUSTOMERS_MAX {
                let crashes = self.count(part, own, is_explained, Some(customer));
                customers.push((customer, crashes));
            }
        }
        Standing {
            part,
            crashes,
            requests,
            customers,
        }
    }
}

/// Crashes to be passed on by part and customer, and by part alone if at least two customers have sent
/// it: no customer can have another's part refused to all.
fn wanted(standings: &[Standing]) -> BTreeMap<Fingerprint, u32> {
    let mut wanted = BTreeMap::new();
    for standing in standings {
        let mut want = |customer, crashes: u32| {
            let fingerprint = Fingerprint::of_part(standing.part, customer);
            let crashes = crashes.min(standing.crashes).min(QUARANTINE_CRASHES);
            if crashes > 0 {
                wanted.insert(fingerprint, crashes);
            }
        };
        if standing.customers.len() > 1 {
            want(None, standing.crashes);
        }
        for (customer, crashes) in &standing.customers {
            want(Some(*customer), *crashes);
        }
    }
    wanted
}
