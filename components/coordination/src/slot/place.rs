//! Which model engine a request is sent to, or waits for.

use super::keeper::{Marks, Shares};
use super::order::{Row, Standing};
use super::{Criteria, Place, Slot, Slots};
use crate::engine::{ahead_ms, Engine, Source};
use crate::prelude::*;
use crate::prompt::MAX_PARTS;

/// Part of the time that is left which an engine may be expected to take, in
/// hundredths: steps, the way and the other requests of a batch take the rest.
const IN_TIME_PERCENT: u64 = 85;
/// Part of its aim by which a request must be answered earlier for a copy between
/// engines to be worth it, in hundredths.
///
/// A copy takes some hundred megabytes of the network, and memory of one more engine. Of
/// all worth under three loads of mixed faults, two runs each, fleets of 18, 9 and 9
/// engines earned 0.733, 0.688, 0.574 with 33, 0.745, 0.678, 0.585 with 66, and 0.737, 0.695,
/// 0.581 without copies: where few parts are hot they bring nothing. With one hot part in
/// 25 they bring 20 of 100 more answers in time (`can_copy_a_part_that_becomes_hot`).
const COPY_WORTH_PERCENT: u64 = 66;
/// Weight of the work that an engine has for a request beside the time until it
/// answers: what it reads delays everyone on it. With 4, up to 1.0 of 100 less of the
/// worth was served under four loads of mixed faults, under none more.
pub(super) const WORK_WEIGHT: u64 = 2;
/// What each request in progress on an engine costs one that joins it, in microseconds:
/// a step takes longer for each request of its batch, so that streams take longer and more
/// of them are cut when something is lost. Worth under three loads of mixed faults, two runs
/// each, on fleets of 9, 9 and 18 engines: 0.589, 0.670, 0.680 without, 0.583, 0.675, 0.685
/// with; alone it is within the spread.
const BATCH_US: u64 = 400;
/// What a failure costs, in aims of the request: its caller waits for nothing, and
/// often may not send it again.
const FAILURE_AIMS: u64 = 2;
/// Longest aim by which costs are weighed, in milliseconds: a request without one must
/// not make every copy and every failure cost more than any wait.
const AIM_MAX_MS: u64 = 2000;
/// What a request that waits for an engine claims at least, in tokens: one that
/// has nothing to read still takes its place in a step.
const CLAIM_MIN: u64 = 64;

/// Engines that are looked at for a prompt beside those that keep a rare part of it:
/// those that would answer a usual request first. Of 41,585 choices among 140 engines
/// in random histories 673 were not those of a look at all, and all together they cost
/// 0.004 of 100 more.
const FIRST: usize = 64;
/// Engines of these that are looked at before all others: one of them is often the best,
/// and most others are then known to be worse at a glance.
const SOONEST: usize = 8;
/// Engines that keep a part up to which it is rare. Of those that keep one that is not,
/// as many are looked at.
const RARE: usize = 32;
/// A usual request, by which engines are ordered: tokens to read, and its aim in
/// milliseconds.
pub(super) const USUAL_TOKENS: u64 = 2000;
const USUAL_AIM_MS: u64 = 600;

/// What asks that were looked at and not sent leave for those behind them.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    /// What those that wait for an engine will have it read, in tokens.
    tokens: SmallVec<[(Place, u64); 24]>,
    /// Engines with claims, to pass over the list for the others.
    claimed: Marks,
    /// Whether one would have been late wherever it was sent.
    is_any_late: bool,
}

impl Reservations {
    /// Whether there are only such as would be late wherever they were sent.
    pub fn is_late_only(&self) -> bool {
        self.is_any_late && self.tokens.is_empty()
    }

    fn on(&self, place: Place) -> u64 {
        if !self.claimed.contains(place) {
            return 0;
        }
        let claim = self.tokens.iter().find(|(of, _)| *of == place);
        claim.map_or(0, |(_, tokens)| *tokens)
    }

    fn add(&mut self, place: Place, tokens: u64) {
        if self.claimed.insert(place) {
            self.tokens.push((place, tokens));
        } else if let Some(claim) = self.tokens.iter_mut().find(|(of, _)| *of == place) {
            claim.1 += tokens;
        }
    }
}

impl Criteria {
    /// Whether an answer after some time is expected in time.
    fn is_in_time(&self, answer_us: u64) -> bool {
        answer_us * 100 <= self.slack_ms * 1000 * IN_TIME_PERCENT
    }
}

/// What an engine has to do for a request before it can answer, by what it keeps.
#[derive(Clone, Copy, Debug)]
struct Work {
    /// Tokens that it would have to read.
    to_read: u64,
    /// Time to copy the others, in microseconds.
    copying_us: u64,
    /// What that copy must be worth, in microseconds.
    worth_us: u64,
}

impl Work {
    fn new(criteria: &Criteria, missing: u64, source: Option<Source>) -> Self {
        let copied = source.map_or(0, |s| s.gain(&criteria.prompt, missing));
        let worth_us = match copied {
            0 => 0,
            _ => criteria.aim_ms.min(AIM_MAX_MS) * 10 * COPY_WORTH_PERCENT,
        };
        Work {
            to_read: missing - copied,
            copying_us: source.map_or(0, |s| s.copying_us(copied)),
            worth_us,
        }
    }

    /// The best rank that an engine can have for it, without the claims and the risk
    /// that only [`Slot::estimate`] knows: most engines need no look beyond this.
    fn least_rank(&self, criteria: &Criteria, row: &Row) -> (bool, u64) {
        let work_us = row.speed.prefill_us(self.to_read) + self.copying_us;
        let answer_us = row.answer_us + work_us;
        let wait_us = answer_us + self.worth_us + row.load_us;
        (
            !criteria.is_in_time(answer_us),
            wait_us + WORK_WEIGHT * work_us,
        )
    }

    /// The least work up to each depth, in each respect.
    fn least(works: &[Self]) -> SmallVec<[Self; MAX_PARTS + 1]> {
        let least = works.iter().scan(None, |least: &mut Option<Self>, work| {
            let before = least.unwrap_or(*work);
            *least = Some(Work {
                to_read: before.to_read.min(work.to_read),
                copying_us: before.copying_us.min(work.copying_us),
                worth_us: before.worth_us.min(work.worth_us),
            });
            *least
        });
        least.collect()
    }

    /// By how many of the prompt's first parts an engine keeps.
    fn by_depth(
        criteria: &Criteria,
        shares: &Shares<'_>,
        source: Option<Source>,
    ) -> SmallVec<[Self; MAX_PARTS + 1]> {
        let all = shares.missing().into_iter();
        all.map(|missing| Work::new(criteria, missing, source))
            .collect()
    }
}

/// What a request would find at an engine.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    is_late: bool,
    /// Time to its first event, in microseconds.
    answer_us: u64,
    /// That time, with what a copy and the risk of a failure are worth,
    /// in microseconds.
    wait_us: u64,
    /// Time that it takes from others, in microseconds.
    work_us: u64,
    /// Tokens that the engine would have to read.
    to_read: u64,
}

impl Estimate {
    /// Engines come in this order: those that answer in time, and of them those that
    /// answer soon and have little to do for it.
    ///
    /// By work alone, all that share a part would go to one engine for as long as it
    /// answers in time. What it reads delays the tokens of all that it generates:
    /// streams took 1.56 s instead of 0.90 s on average there, and as many more of
    /// them were cut when processes were lost.
    fn rank(&self) -> (bool, u64) {
        (self.is_late, self.wait_us + WORK_WEIGHT * self.work_us)
    }
}

/// An engine that was found, and what a request would find there.
#[derive(Debug)]
struct Found<'a> {
    estimate: Estimate,
    place: Place,
    slot: &'a Slot,
}

/// The search for the best engine for one request.
#[derive(Debug)]
struct Search<'a, 'c> {
    slots: &'a Slots,
    now: Millis,
    criteria: Criteria,
    shares: Shares<'a>,
    works: SmallVec<[Work; MAX_PARTS + 1]>,
    /// No more than any of them up to each depth, in each respect.
    least: SmallVec<[Work; MAX_PARTS + 1]>,
    claims: &'c Reservations,
    best: Option<Found<'a>>,
}

impl<'a, 'c> Search<'a, 'c> {
    fn new(
        slots: &'a Slots,
        now: Millis,
        criteria: Criteria,
        source: Option<Source>,
        claims: &'c Reservations,
    ) -> Self {
        let shares = slots.parts.of(&criteria.prompt);
        let works = Work::by_depth(&criteria, &shares, source);
        Search {
            slots,
            now,
            criteria,
            shares,
            least: Work::least(&works),
            works,
            claims,
            best: None,
        }
    }

    /// Whether an engine cannot be the best, if this is what it has to do.
    fn is_worse(&self, work: &Work, row: &Row) -> bool {
        let best = self.best.as_ref();
        best.is_some_and(|best| best.estimate.rank() < work.least_rank(&self.criteria, row))
    }

    /// Takes an engine if it is better than those before it; of equal ones, the one
    /// with the lowest number.
    ///
    /// It keeps `most` of the prompt's parts at most, or has been considered before.
    fn consider(&mut self, row: &Row, most: usize) {
        let least = self.least.get(most.min(self.shares.len()));
        if least.is_some_and(|least| self.is_worse(least, row)) {
            return;
        }
        let place = row.place;
        let Some(work) = self.works.get(self.shares.depth(place)) else {
            return;
        };
        if self.is_worse(work, row) {
            return;
        }
        let Some(slot) = self.slots.all.at(place) else {
            return;
        };
        let claimed = self.claims.on(place);
        let Some(estimate) = slot.estimate(self.now, &self.criteria, work, claimed) else {
            return;
        };
        let rank = (estimate.rank(), slot.id);
        let best = self.best.as_ref();
        if best.is_none_or(|best| rank < (best.estimate.rank(), best.slot.id)) {
            self.best = Some(Found {
                estimate,
                place,
                slot,
            });
        }
    }
}

impl Slots {
    /// The engine that a request is to wait for or to be sent to.
    ///
    /// If the best one has no room now, the request waits for it and claims what it
    /// will read there: those behind it must not count on an idle engine.
    pub(super) fn place(
        &mut self,
        now: Millis,
        criteria: Criteria,
        claims: &mut Reservations,
    ) -> Option<EndpointId> {
        self.advance(now);
        let Found {
            estimate,
            place,
            slot,
        } = self.search(now, criteria, claims)?;
        if estimate.is_late && criteria.only_in_time {
            claims.is_any_late = true;
            return None;
        }
        let free = slot.room(now) > 0;
        let engine = slot.engine.as_ref()?;
        let is_first = claims.on(place) == 0;
        if free && is_first && engine.has_room(now, &criteria.prompt, criteria.aim_ms) {
            return Some(slot.id);
        }
        claims.add(place, estimate.to_read.max(CLAIM_MIN));
        None
    }

    /// The best engine for a request.
    fn search(&self, now: Millis, criteria: Criteria, claims: &Reservations) -> Option<Found<'_>> {
        // A try that failed may have failed by what it was to copy.
        let source = (criteria.avoid.is_none()).then(|| self.source(now, &criteria.prompt));
        let source = source.flatten();
        let mut search = Search::new(self, now, criteria, source, claims);
        let shares = search.shares.clone();
        let most = self.candidates(now, &shares, |row, most| search.consider(row, most));
        let best = search.best.as_ref();
        if best.is_none_or(|best| best.estimate.is_late) {
            // One that is slow for what it generates may still answer in time.
            let others = self.order.front().iter().skip(FIRST);
            let others = others.filter(|row| criteria.is_in_time(row.answer_us));
            others.for_each(|row| search.consider(row, most));
        }
        search.best
    }

    /// Shortest time in which an engine would answer a request that is sent now, in
    /// milliseconds; `None` if there are no engines that take work.
    pub fn soonest_ms(&mut self, now: Millis, criteria: &Criteria) -> Option<u64> {
        self.advance(now);
        let source = self.source(now, &criteria.prompt);
        let shares = self.parts.of(&criteria.prompt);
        let works = Work::by_depth(criteria, &shares, source);
        let mut soonest: Option<u64> = None;
        self.candidates(now, &shares, |row, _| {
            let work = works.get(shares.depth(row.place));
            let estimate = work.and_then(|w| self.all.at(row.place)?.estimate(now, criteria, w, 0));
            if let Some(estimate) = estimate {
                let answer_ms = estimate.answer_us / 1000;
                soonest = Some(soonest.map_or(answer_ms, |other| other.min(answer_ms)));
            }
        });
        soonest
    }

    /// Whether any engine would begin to read soon enough to be sent a request that is
    /// on time within `aim_ms`.
    ///
    /// Where none would, a look through all that waits ends without a grant.
    pub fn may_begin(&mut self, now: Millis, aim_ms: u64) -> bool {
        self.advance(now);
        self.memory.is_none() || self.order.begins_within(now, ahead_ms(aim_ms))
    }

    /// Puts engines in order that have changed, by an event or by the time.
    fn advance(&mut self, now: Millis) {
        while let Some(place) = self.order.next_stale(now) {
            let slot = self.all.at(place);
            let standing = slot.and_then(|s| s.standing(now));
            let due = slot.and_then(|s| s.changes_at(now));
            self.order.put(place, standing, due);
        }
        self.order.merge(now);
    }

    /// Shows `look` the engines among which a prompt's best one is sought: those that
    /// keep something of it, and those that would answer first.
    ///
    /// A look at all of them took all of a scheduler's processor time at 140 engines,
    /// and requests waited for the scheduler instead of engines. Up to [`FIRST`] engines
    /// all are shown. Of a part that is not rare, the keepers that would answer first are.
    ///
    /// `look` is told how many of the prompt's parts an engine keeps at most if it was
    /// not shown before. Gives the same number for all that were not shown.
    fn candidates<F>(&self, now: Millis, shares: &Shares<'_>, mut look: F) -> usize
    where
        F: FnMut(&Row, usize),
    {
        let front = self.order.front();
        let (first, others) = front.split_at(front.len().min(FIRST));
        if others.is_empty() {
            first.iter().for_each(|row| look(row, MAX_PARTS));
            return MAX_PARTS;
        }
        let (soonest, first) = first.split_at(SOONEST);
        soonest.iter().for_each(|row| look(row, MAX_PARTS));
        let mut most = shares.len();
        let mut common = None;
        for (keepers, _) in shares.backwards() {
            if keepers.count() > RARE {
                common = Some(keepers);
                break;
            }
            let rows = keepers.backwards();
            let rows = rows.filter_map(|place| self.order.row(now, place));
            rows.for_each(|row| look(&row, MAX_PARTS));
            most -= 1;
        }
        first.iter().for_each(|row| look(row, most));
        // Who keeps less of the prompt than these is among the first ones, or of no use.
        if let Some(keepers) = common {
            let before = first.iter().filter(|row| keepers.contains(row.place));
            let left = RARE.saturating_sub(before.count());
            let behind = others.iter().filter(|row| keepers.contains(row.place));
            behind.take(left).for_each(|row| look(row, most));
        }
        most
    }

    /// The engine that has read the most of a prompt's start.
    ///
    /// An engine reads some 50 tokens in a millisecond and copies a thousand: without
    /// copies, a part that is asked for more often than one engine can serve is read
    /// again by each further engine.
    pub(super) fn source(&self, now: Millis, prompt: &Prompt) -> Option<Source> {
        let rate = self.copy_rate?;
        let shares = self.parts.of(prompt);
        let has_read = |place: &Place, tokens| {
            let slot = self.all.at(*place).filter(|slot| slot.is_open(now));
            let engine = slot.and_then(|slot| slot.engine.as_ref());
            engine.is_some_and(|engine| engine.copyable_tokens(prompt) >= tokens)
        };
        let mut found = (shares.backwards())
            .filter_map(|(k, tokens)| Some((k.backwards().find(|p| has_read(p, tokens))?, tokens)));
        let near = found.next();
        let near = near.and_then(|(place, tokens)| Some((self.all.at(place)?.id, tokens)));
        let near = near.filter(|(_, tokens)| *tokens > 0);
        let far = self.foreign.most(prompt);
        let is_far = match (near, far) {
            (Some((_, near)), Some((_, far))) => far > near,
            (near, far) => near.is_none() && far.is_some(),
        };
        let (endpoint, tokens) = if is_far { far? } else { near? };
        // Between data centres a copy takes about twice as long.
        let tokens_per_s = if is_far { rate / 2 } else { rate };
        Some(Source {
            endpoint,
            tokens,
            tokens_per_s,
        })
    }
}

impl Slot {
    /// What a request would find here that brings some work, behind `claimed` tokens of
    /// others; `None` if this is no engine that takes work.
    fn estimate(
        &self,
        now: Millis,
        criteria: &Criteria,
        work: &Work,
        claimed: u64,
    ) -> Option<Estimate> {
        let engine = self.engine.as_ref().filter(|_| self.is_open(now))?;
        if self.is_closed_to(now, criteria.session) {
            return None;
        }
        let Work {
            to_read,
            copying_us,
            worth_us,
        } = *work;
        let aim_ms = criteria.aim_ms.min(AIM_MAX_MS);
        let reading_us = engine.expected_us(now, self.id, &criteria.prompt, to_read, claimed);
        let answer_us = reading_us + copying_us;
        let risk_us = self.reliability.failure_permille(now) * aim_ms * FAILURE_AIMS;
        let wait_us = answer_us + worth_us + risk_us + self.load_us(engine);
        // By time alone: what a copy costs others makes nobody's answer late.
        let in_time = criteria.is_in_time(answer_us);
        Some(Estimate {
            is_late: criteria.avoid == Some(self.id) || !in_time,
            answer_us,
            wait_us,
            work_us: engine.prefill_us(to_read) + copying_us,
            to_read,
        })
    }

    /// Where it stands in the order of engines; `None` if it takes no work.
    fn standing(&self, now: Millis) -> Option<Standing> {
        let engine = self.engine.as_ref().filter(|_| self.is_open(now))?;
        let (phase, _) = engine.phase(now);
        Some(Standing {
            phase,
            speed: engine.speed(),
            tail_us: engine.tail_us(),
            load_us: self.load_us(engine),
            risk_us: self.reliability.failure_permille(now) * USUAL_AIM_MS * FAILURE_AIMS,
        })
    }

    /// What its other requests cost one that joins them, in microseconds.
    fn load_us(&self, engine: &Engine) -> u64 {
        let batch_us = u64::from(self.running + self.foreign) * BATCH_US;
        // Prefill delays all that an engine generates, also after it has looked idle again:
        // 0.584, 0.663, 0.687 of the worth without, 0.574, 0.688, 0.733 with.
        batch_us + engine.prefill_us(engine.pending_tokens())
    }

    /// When that changes by time alone.
    fn changes_at(&self, now: Millis) -> Option<Millis> {
        let (_, phase) = self.engine.as_ref()?.phase(now);
        let returns = self.health.ejected_until().filter(|until| *until > now);
        let falls = self.reliability.next_decay(now);
        let left = self.left.filter(|until| *until > now);
        let opens = self.ramp.map(|ramp| ramp.opens_at());
        let opens = opens.filter(|at| *at > now);
        let all = [phase, returns, falls, left, opens];
        all.into_iter().flatten().min()
    }
}
