//! Attribution of endpoints' crashes to parts of prompts.
//!
//! A part of a prompt that many requests share can crash each endpoint that answers it, although no
//! two of these requests are alike. When an endpoint crashes, all parts of the prompts in progress
//! there are suspects, except those that endpoints have answered not long ago: [`Survivals`].
//! Reports of several routers on the same endpoint make one crash.
//!
//! [`Attribution`] blames the part that is in progress in most crashes, once there are
//! [`QUARANTINE_CRASHES`] and all routers had the time to report them, and takes these crashes as explained: they no longer count against the
//! parts that were in progress beside it. It decides anew with each report, so that a part that was
//! blamed too early is released as soon as another one explains its crashes better.

use crate::prelude::*;
use smallvec::SmallVec;
use state::suspect::{
    Break, Completion, Crash, Evidence, Suspects, QUARANTINE_CRASHES, QUARANTINE_MICROS,
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
/// Crashes that are closer together than this, in microseconds, count as one: the endpoints may have
/// been lost with their rack.
pub const SIMULTANEOUS_MICROS: u64 = 100_000;
/// Most crashes that are remembered of those at the same time: more of them count no more, and would
/// displace the earlier ones.
pub const SIMULTANEOUS_MAX: usize = 8;
/// Time after its first report in which other routers report a crash, in milliseconds. Until then no
/// part is blamed for it: the report of the request that caused it may still be under way.
pub const SETTLE_MS: u64 = 150;
/// [`QUARANTINE_CRASHES`] as a length.
// CAST: a small number.
const CRASHES_TO_BLAME: usize = QUARANTINE_CRASHES as usize;
/// Most customers of a part whose crashes are counted separately.
pub const CUSTOMERS_MAX: usize = 16;
/// Longest time between the first and the last break of the same crash, in microseconds: routers
/// notice it at different times.
pub const BREAK_SPREAD_MICROS: u64 = 500_000;
/// Time for which routers may send requests to an endpoint after its crash, on kept connections, in
/// microseconds. A request that was sent later was broken off by another crash.
pub const STALE_MICROS: u64 = 100_000;

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
#[derive(Clone, Debug, Default)]
struct Seen {
    /// Requests with it that were broken off.
    requests: u32,
    /// Place in the prompt: the parts before it are shared by at least as many requests.
    depth: u8,
    /// Customers of these requests, at most [`CUSTOMERS_MAX`].
    customers: SmallVec<[CustomerId; 2]>,
}

/// The end of one endpoint.
#[derive(Clone, Debug)]
struct Incident {
    endpoint: EndpointId,
    /// When the first router noticed it.
    at: Stamp,
    /// When its first report arrived.
    reported_at: Millis,
    /// Parts of the prompts in progress that may have been the cause.
    suspects: BTreeMap<PartId, Seen>,
}

/// Crashes in which a part was in progress, as places among all of them.
type Places = SmallVec<[usize; 8]>;

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
    /// When the last decision was made.
    decided_at: Millis,
    /// Crashes that were passed on, by part and customer.
    passed_on: BTreeMap<Fingerprint, u32>,
    /// The same before the last decision.
    before: BTreeMap<Fingerprint, u32>,
}

impl Incident {
    /// Whether a request was broken off by this crash, or sent to the endpoint after it.
    fn includes(&self, broken: &Break) -> bool {
        self.endpoint == broken.endpoint
            && broken.sent.wall <= self.at.wall.saturating_add(STALE_MICROS)
            && self.at.wall.abs_diff(broken.at.wall) <= BREAK_SPREAD_MICROS
    }

    fn add(&mut self, broken: &Break, part: PartId, depth: u8) {
        if self.suspects.len() >= CRASH_SUSPECTS_MAX && !self.suspects.contains_key(&part) {
            return;
        }
        let seen = self.suspects.entry(part).or_default();
        seen.depth = seen.depth.max(depth);
        seen.requests = seen.requests.saturating_add(1);
        if seen.customers.len() < CUSTOMERS_MAX && !seen.customers.contains(&broken.customer) {
            seen.customers.push(broken.customer);
        }
    }

    fn is_settled(&self, now: Millis) -> bool {
        now.since(self.reported_at) >= SETTLE_MS
    }
}

impl Attribution {
    /// Takes evidence of routers, and returns what follows from it for the `suspects`: crashes that
    /// count against parts, and parts that are cleared. Requests that are suspected as a whole remain as
    /// they are. `stamp` gives the time of each, later than all before.
    pub fn attribute<F>(
        &mut self,
        now: Millis,
        evidence: Evidence,
        suspects: &Suspects,
        stamp: F,
    ) -> Evidence
    where
        F: FnMut() -> Stamp,
    {
        self.before.clone_from(&self.passed_on);
        let has_settled = self.has_settled(now);
        let mut decided = Evidence {
            crashes: evidence.crashes,
            cleared: evidence.cleared,
            ..Evidence::default()
        };
        let released = decided.cleared.iter().filter_map(|c| c.fingerprint.part());
        let released: BTreeSet<PartId> = released.map(|(part, _)| part).collect();
        let survived = evidence.survivals.iter().map(|s| s.part);
        let is_about_parts = !evidence.breaks.is_empty() || !evidence.survivals.is_empty();
        if released.is_empty() && !is_about_parts && !has_settled {
            return decided;
        }
        let mut cleared = BTreeSet::new();
        for part in released.iter().copied().chain(survived.clone()) {
            // What was passed on may not have reached the suspects yet.
            cleared.extend(self.passed_on.keys().filter(|f| f.is_of_part(part)));
            cleared.extend(suspects.of_part(part));
        }
        released.iter().for_each(|part| self.release(*part));
        survived.clone().for_each(|part| self.clear(part));
        survived.for_each(|part| self.survivals.record(now, part));
        for broken in &evidence.breaks {
            self.record(now, broken);
        }
        self.pass_on(now, &mut decided, cleared, stamp);
        self.decided_at = now;
        decided
    }

    /// Whether all reports of a crash have come in since the last decision, so that the next one may
    /// differ without new evidence.
    pub fn has_settled(&self, now: Millis) -> bool {
        let mut incidents = self.incidents.iter();
        incidents.any(|i| i.is_settled(now) && !i.is_settled(self.decided_at))
    }

    /// Takes back the last decision, whose result was lost. It is made again with the next evidence, or
    /// when [`Attribution::has_settled`].
    pub fn revert(&mut self) {
        self.passed_on.clone_from(&self.before);
        self.decided_at = Millis(0);
    }

    /// Forgets the crashes in which a part was in progress. They are settled: they do not count against
    /// the parts that were in progress beside it, either.
    pub fn release(&mut self, part: PartId) {
        self.incidents.retain(|i| !i.suspects.contains_key(&part));
        self.passed_on.retain(|f, _| !f.is_of_part(part));
    }

    /// Forgets all evidence against a part, which has not caused its crashes. Another one has.
    fn clear(&mut self, part: PartId) {
        for incident in &mut self.incidents {
            incident.suspects.remove(&part);
        }
        self.incidents.retain(|i| !i.suspects.is_empty());
        self.passed_on.retain(|f, _| !f.is_of_part(part));
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        *self = Attribution::default();
    }

    /// Records a broken request with the crash that broke it off.
    fn record(&mut self, now: Millis, broken: &Break) {
        self.expire(now, broken.at.wall);
        let is_suspect = |part: PartId| !self.survivals.rules_out(now, part);
        let parts = broken.parts.iter().copied();
        let parts: Vec<_> = parts.filter(|(part, _)| is_suspect(*part)).collect();
        if parts.is_empty() {
            return;
        }
        if !self.incidents.iter().any(|i| i.includes(broken)) {
            let is_simultaneous =
                |i: &&Incident| i.at.wall.abs_diff(broken.at.wall) < SIMULTANEOUS_MICROS;
            let simultaneous = self.incidents.iter().filter(is_simultaneous);
            if simultaneous.count() >= SIMULTANEOUS_MAX {
                return;
            }
            if self.incidents.len() >= CRASHES_MAX {
                self.incidents.pop_front();
                self.lower(now);
            }
            self.incidents.push_back(Incident {
                endpoint: broken.endpoint,
                at: broken.at,
                reported_at: now,
                suspects: BTreeMap::new(),
            });
        }
        let incident = self.incidents.iter_mut().rev().find(|i| i.includes(broken));
        if let Some(incident) = incident {
            incident.at = incident.at.min(broken.at);
            // A request that was sent after the crash has not caused it.
            if broken.sent <= incident.at {
                for (part, depth) in parts {
                    incident.add(broken, part, depth);
                }
            }
        }
    }

    /// Drops crashes that are too old to count. What was passed on of them expires elsewhere.
    fn expire(&mut self, now: Millis, now_micros: u64) {
        let is_old = |i: &Incident| i.at.wall.saturating_add(QUARANTINE_MICROS) < now_micros;
        let before = self.incidents.len();
        self.incidents.retain(|i| !is_old(i));
        if self.incidents.len() < before {
            self.lower(now);
        }
    }

    /// Lowers the numbers of crashes that were passed on to those that are still remembered.
    fn lower(&mut self, now: Millis) {
        let standings = self.standings(now);
        let crashes: BTreeMap<PartId, u32> =
            standings.iter().map(|s| (s.part, s.crashes)).collect();
        self.passed_on.retain(|fingerprint, passed_on| {
            let (part, _) = fingerprint.part().unwrap_or_default();
            *passed_on = crashes.get(&part).copied().unwrap_or(0).min(*passed_on);
            *passed_on > 0
        });
    }

    /// Adds what is not passed on yet to the decision.
    fn pass_on<F>(
        &mut self,
        now: Millis,
        decided: &mut Evidence,
        mut cleared: BTreeSet<Fingerprint>,
        mut stamp: F,
    ) where
        F: FnMut() -> Stamp,
    {
        let standings = self.standings(now);
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
    pub fn standings(&self, now: Millis) -> Vec<Standing> {
        let mut places: BTreeMap<PartId, Places> = BTreeMap::new();
        for (place, incident) in self.incidents.iter().enumerate() {
            for part in incident.suspects.keys() {
                places.entry(*part).or_default().push(place);
            }
        }
        let mut is_explained = vec![false; self.incidents.len()];
        let mut standings = Vec::new();
        while let Some(part) = self.most_blamed(now, &places, &is_explained) {
            if let Some(own) = places.remove(&part) {
                standings.push(self.standing(part, &own, &is_explained, u32::MAX));
                own.iter().for_each(|place| is_explained[*place] = true);
            }
        }
        for (part, own) in &places {
            standings.push(self.standing(*part, own, &is_explained, WATCH_CRASHES));
        }
        standings
    }

    /// The part that explains most crashes which nothing else explains, if there are enough of them.
    ///
    /// A report may be lost, so that parts with one crash less are considered, too. Of these the one that
    /// is deepest in the prompt is taken: to refuse it refuses fewest other requests. If it has too few
    /// crashes, nothing is blamed before the next one.
    fn most_blamed(
        &self,
        now: Millis,
        places: &BTreeMap<PartId, Places>,
        is_explained: &[bool],
    ) -> Option<PartId> {
        let is_open = |place: usize| !is_explained[place] && self.incidents[place].is_settled(now);
        let frequent = (places.iter()).filter(|(_, own)| own.len() + 1 >= CRASHES_TO_BLAME);
        let ranked: Vec<_> = frequent
            .map(|(part, own)| {
                let seen = self.seen(*part, own);
                let requests: u32 = seen.clone().map(|s| s.requests).sum();
                let depth = seen.map(|s| s.depth).max();
                let crashes = self.count(own.iter().copied().filter(|place| is_open(*place)));
                (depth, crashes, requests, *part)
            })
            .collect();
        let most = ranked.iter().map(|(_, crashes, ..)| *crashes).max()?;
        let close = (ranked.iter()).filter(|(_, crashes, ..)| crashes + 1 >= most);
        let (_, crashes, _, part) = close.max()?;
        (most >= QUARANTINE_CRASHES && *crashes >= QUARANTINE_CRASHES).then_some(*part)
    }

    /// Number of crashes, of which those at the same time count as one.
    fn count<I>(&self, places: I) -> u32
    where
        I: Iterator<Item = usize>,
    {
        let mut times: SmallVec<[u64; 8]> =
            places.map(|place| self.incidents[place].at.wall).collect();
        times.sort_unstable();
        let mut counted = 0;
        let mut last = None;
        for time in times {
            if last.is_none_or(|last| time - last >= SIMULTANEOUS_MICROS) {
                counted += 1;
                last = Some(time);
            }
        }
        counted
    }

    fn seen<'a>(
        &'a self,
        part: PartId,
        own: &'a [usize],
    ) -> impl Iterator<Item = &'a Seen> + Clone {
        let suspects = own.iter().map(|place| &self.incidents[*place].suspects);
        suspects.filter_map(move |suspects| suspects.get(&part))
    }

    /// What is known of a part, with at most `most` crashes.
    fn standing(&self, part: PartId, own: &[usize], is_explained: &[bool], most: u32) -> Standing {
        let open = || (own.iter().copied()).filter(|place| !is_explained[*place]);
        let mut customers: SmallVec<[(CustomerId, u32); 2]> = SmallVec::new();
        for customer in self
            .seen(part, own)
            .flat_map(|s| s.customers.iter().copied())
        {
            let is_new = customers.iter().all(|(known, _)| *known != customer);
            if is_new && customers.len() < CUSTOMERS_MAX {
                let is_own = |place: &usize| {
                    let seen = self.incidents[*place].suspects.get(&part);
                    seen.is_some_and(|seen| seen.customers.contains(&customer))
                };
                customers.push((customer, self.count(open().filter(is_own))));
            }
        }
        Standing {
            part,
            crashes: self.count(open()).min(most),
            requests: self.seen(part, own).map(|s| s.requests).sum(),
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
