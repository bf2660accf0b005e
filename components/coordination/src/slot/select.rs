//! Selection of the inference engine that a request is sent to, or waits for.

use super::cache::{Bitset, Coverage};
use super::ranking::{Candidate, State};
use super::{Criteria, Endpoint, Index, Slots};
use crate::engine::step;
use crate::engine::{backlog_max_ms, Engine, Source};
use crate::messages::Objective;
use crate::prelude::*;
use crate::prompt::MAX_PARTS;

/// Share of the remaining time that the estimated answer time may use, in percent. The rest
/// is for what the estimate leaves out: decoding steps, the network and the other requests
/// of a batch.
const IN_TIME_PERCENT: u64 = 85;
/// Time that a copy between engines must save, in percent of the request's latency target.
///
/// A copy moves hundreds of megabytes over the network and takes memory of one more engine.
/// Where no part is requested more often than one engine can serve, copies bring nothing; with
/// one such part in 25, twenty more of a hundred answers come in time
/// (`can_copy_cached_parts_that_become_popular`).
const COPY_COST_PERCENT: u64 = 66;
/// Weight of the work of a request on an engine, relative to the time until its answer: the
/// prefill delays all other requests of the engine.
pub(super) const WORK_WEIGHT: u64 = 2;
/// Cost of each request in progress on an engine for a request that joins it, in
/// microseconds: a decoding step takes longer for each request of the batch, so that streams
/// take longer and more of them are cut off by failures.
const BATCH_COST_US: u64 = 400;
/// Cost of a failure, in latency targets of the request: its caller has waited without a result,
/// and often may not retry.
const FAILURE_COST_AIMS: u64 = 2;
/// Longest latency target with which costs are computed, in milliseconds: for a request
/// without one, every copy and every failure would otherwise cost more than any wait.
const COST_AIM_MAX_MS: u64 = 2000;
/// Fewest tokens that a waiting request reserves on its engine: a request without a prefill
/// still takes part in a decoding step.
const RESERVATION_MIN_TOKENS: u64 = 64;

/// Engines at the front of the ranking that are considered for each request, beside those
/// that have cached a rare part of its prompt.
///
/// In 41,585 random choices among 140 engines, 673 differed from those of a full scan, at an
/// additional cost of 0.004 percent in total.
const FRONT_CONSIDERED: usize = 64;
/// Engines at the front of the ranking that are considered before all others: the best engine
/// is often among them, and most others can then be ruled out cheaply.
const CONSIDERED_FIRST: usize = 8;
/// Most holders with which a part counts as rare. All holders of a rare part are considered,
/// and this many of those of another part.
const RARE_HOLDERS_MAX: usize = 32;
/// Tokens to prefill of the typical request by which engines are ranked.
pub(super) const TYPICAL_PREFILL_TOKENS: u64 = 2000;
/// Latency target of the typical request by which engines are ranked, in milliseconds.
const TYPICAL_AIM_MS: u64 = 600;

/// Prefill that asks which wait for an engine have reserved there while a scheduler goes
/// through its queue, so that the asks behind them do not count on the same engine.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    /// Reserved tokens by engine.
    tokens: SmallVec<[(Index, u64); 24]>,
    /// Engines in `tokens`, to spare the search of the list for all others.
    reserved: Bitset,
    /// Whether any ask was passed over because it would be late on every engine.
    is_any_late: bool,
}

impl Reservations {
    /// Whether asks were passed over only because they would be late on every engine.
    pub fn is_late_only(&self) -> bool {
        self.is_any_late && self.tokens.is_empty()
    }

    /// Tokens that are reserved on an engine.
    fn on(&self, index: Index) -> u64 {
        if !self.reserved.contains(index) {
            return 0;
        }
        let reservation = self.tokens.iter().find(|(of, _)| *of == index);
        reservation.map_or(0, |(_, tokens)| *tokens)
    }

    fn add(&mut self, index: Index, tokens: u64) {
        if self.reserved.insert(index) {
            self.tokens.push((index, tokens));
        } else if let Some(reservation) = self.tokens.iter_mut().find(|(of, _)| *of == index) {
            reservation.1 += tokens;
        }
    }
}

impl Criteria {
    /// Whether an answer that is estimated to take `answer_us` is expected in time.
    fn is_in_time(&self, answer_us: u64) -> bool {
        answer_us * 100 <= self.slack_ms * 1000 * IN_TIME_PERCENT
    }
}

/// Work of an engine for a request before the first event, which depends on the parts of the
/// prompt that the engine has cached.
#[derive(Clone, Copy, Debug)]
struct Work {
    /// Tokens that the engine would have to prefill.
    prefill_tokens: u64,
    /// Time to copy tokens from another engine, in microseconds.
    copying_us: u64,
    /// Cost of the copy beside its time, in microseconds.
    copy_cost_us: u64,
}

impl Work {
    fn new(criteria: &Criteria, uncached: u64, source: Option<Source>) -> Self {
        let copied = source.map_or(0, |s| s.gain(&criteria.prompt, uncached));
        let copy_cost_us = match copied {
            0 => 0,
            _ => criteria.aim_ms.min(COST_AIM_MAX_MS) * 10 * COPY_COST_PERCENT,
        };
        Work {
            prefill_tokens: uncached - copied,
            copying_us: source.map_or(0, |s| s.copying_us(copied)),
            copy_cost_us,
        }
    }

    /// Lower bound of the rank of an engine with this work, without the reservations and the
    /// risk that [`Endpoint::estimate`] adds: it rules most engines out.
    fn least_rank(&self, criteria: &Criteria, candidate: &Candidate) -> (bool, u64) {
        let work_us = candidate.speed.prefill_us(self.prefill_tokens) + self.copying_us;
        let answer_us = candidate.answer_us + work_us;
        let wait_us = answer_us + self.copy_cost_us + candidate.load_us;
        (
            !criteria.is_in_time(answer_us),
            wait_us + WORK_WEIGHT * work_us,
        )
    }

    /// For each depth, the minimum of each field over all works up to that depth.
    fn least(works: &[Self]) -> SmallVec<[Self; MAX_PARTS + 1]> {
        let least = works.iter().scan(None, |least: &mut Option<Self>, work| {
            let before = least.unwrap_or(*work);
            *least = Some(Work {
                prefill_tokens: before.prefill_tokens.min(work.prefill_tokens),
                copying_us: before.copying_us.min(work.copying_us),
                copy_cost_us: before.copy_cost_us.min(work.copy_cost_us),
            });
            *least
        });
        least.collect()
    }

    /// Work by depth: the number of parts at the start of the prompt that an engine has cached.
    fn by_depth(
        criteria: &Criteria,
        coverage: &Coverage<'_>,
        source: Option<Source>,
    ) -> SmallVec<[Self; MAX_PARTS + 1]> {
        let all = coverage.uncached_tokens().into_iter();
        all.map(|uncached| Work::new(criteria, uncached, source))
            .collect()
    }
}

/// Estimate for a request on one engine.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Whether the answer is expected too late, or the engine is to be avoided.
    is_late: bool,
    /// Time to the first event, in microseconds.
    answer_us: u64,
    /// `answer_us` with the costs of a copy, of the risk of a failure and of the load of the
    /// engine, in microseconds.
    wait_us: u64,
    /// Time that the request takes from the other requests of the engine, in microseconds.
    work_us: u64,
    /// Tokens that the engine would have to prefill.
    prefill_tokens: u64,
}

impl Estimate {
    /// Sort key of engines: those that answer in time come first, and of them those that
    /// answer soon with little work.
    ///
    /// By work alone, all requests that share a part would go to one engine for as long as it
    /// answers in time. Their prefill delays the tokens that it generates: streams took
    /// 1.56 s instead of 0.90 s on average, and as many more of them were cut off when
    /// processes were lost.
    fn rank(&self) -> (bool, u64) {
        (self.is_late, self.wait_us + WORK_WEIGHT * self.work_us)
    }
}

/// Order of the engines for a request: whether its answer is expected too late, and the cost, to
/// which streams that would pause beyond their bound add. The lowest is best.
type Rank = (u8, u64);

/// Lateness of an answer that is expected in time, in time unless the engine stays slow, or too
/// late.
const IN_TIME: u8 = 0;
const LATE_IF_SLOW: u8 = 1;
const LATE: u8 = 2;

/// A rank without regard to pauses.
fn plain((is_late, cost_us): (bool, u64)) -> Rank {
    (if is_late { LATE } else { IN_TIME }, cost_us)
}

/// The best engine of a search so far.
#[derive(Debug)]
struct Found<'a> {
    rank: Rank,
    estimate: Estimate,
    index: Index,
    endpoint: &'a Endpoint,
}

/// The search for the best engine for one request.
#[derive(Debug)]
struct Search<'a, 'c> {
    slots: &'a Slots,
    now: Millis,
    criteria: Criteria,
    coverage: Coverage<'a>,
    /// Work by depth.
    works: SmallVec<[Work; MAX_PARTS + 1]>,
    /// Lower bound of the works up to each depth.
    least: SmallVec<[Work; MAX_PARTS + 1]>,
    reservations: &'c Reservations,
    /// What is demanded of the stream, if engines are compared by the pauses of their streams.
    /// Only engines that can begin the request now are considered then.
    objective: Option<Objective>,
    best: Option<Found<'a>>,
}

impl<'a, 'c> Search<'a, 'c> {
    fn new(
        slots: &'a Slots,
        now: Millis,
        criteria: Criteria,
        source: Option<Source>,
        objective: Option<Objective>,
        reservations: &'c Reservations,
    ) -> Self {
        let coverage = slots.parts.coverage(&criteria.prompt);
        let works = Work::by_depth(&criteria, &coverage, source);
        Search {
            slots,
            now,
            criteria,
            coverage,
            least: Work::least(&works),
            works,
            reservations,
            objective,
            best: None,
        }
    }

    /// Whether an engine with this work cannot be better than the best one so far.
    fn is_worse(&self, work: &Work, candidate: &Candidate) -> bool {
        let best = self.best.as_ref();
        best.is_some_and(|best| best.rank < plain(work.least_rank(&self.criteria, candidate)))
    }

    /// Makes an engine the best one so far if it is better; of equal engines, the one with
    /// the lowest id wins.
    ///
    /// The engine has cached at most `max_depth` parts, or has been considered before.
    fn consider(&mut self, candidate: &Candidate, max_depth: usize) {
        let least = self.least.get(max_depth.min(self.coverage.len()));
        if least.is_some_and(|least| self.is_worse(least, candidate)) {
            return;
        }
        let index = candidate.index;
        let Some(work) = self.works.get(self.coverage.depth(index)) else {
            return;
        };
        if self.is_worse(work, candidate) {
            return;
        }
        let Some(endpoint) = self.slots.endpoints.at(index) else {
            return;
        };
        let reserved = self.reservations.on(index);
        let Some(estimate) = endpoint.estimate(self.now, &self.criteria, work, reserved) else {
            return;
        };
        let rank = self.rank(endpoint, &estimate);
        let best = self.best.as_ref();
        let is_best = best.is_none_or(|best| (rank, endpoint.id) < (best.rank, best.endpoint.id));
        if is_best && (self.objective.is_none() || self.can_begin(index, endpoint)) {
            self.best = Some(Found {
                rank,
                estimate,
                index,
                endpoint,
            });
        }
    }
}

impl Search<'_, '_> {
    /// Whether the request can be sent to an engine now.
    fn can_begin(&self, index: Index, endpoint: &Endpoint) -> bool {
        let Criteria { prompt, aim_ms, .. } = &self.criteria;
        let engine = endpoint.engine.as_ref();
        endpoint.free_slots(self.now) > 0
            && self.reservations.on(index) == 0
            && engine.is_some_and(|engine| engine.has_room(self.now, prompt, *aim_ms))
    }

    /// Rank of an engine, with regard to pauses if the search has an objective.
    ///
    /// Cost of pauses is only ever added, so that [`Work::least_rank`] stays a lower bound.
    fn rank(&self, endpoint: &Endpoint, estimate: &Estimate) -> Rank {
        let (late, cost_us) = plain(estimate.rank());
        let (Some(objective), Some(engine)) = (self.objective, endpoint.engine.as_ref()) else {
            return (late, cost_us);
        };
        let steps = engine.steps();
        let request = step::Candidate {
            max_gap_ms: objective.max_gap_ms,
            output_tokens: u64::from(self.criteria.prompt.output),
            late_us: self.criteria.aim_ms.min(COST_AIM_MAX_MS) * 1000,
            answer_us: estimate.answer_us,
        };
        let planned = engine.planned(self.now, estimate.prefill_tokens);
        let risk_us = steps.assess(self.now, planned, &request);
        // A slow engine also takes longer until the first event.
        let slower_percent = steps.slowness_percent(self.now) - 100;
        let delay_us = estimate.answer_us * slower_percent / 100;
        let is_in_time = self.criteria.is_in_time(estimate.answer_us + delay_us);
        let late = if is_in_time {
            late
        } else {
            late.max(LATE_IF_SLOW)
        };
        let work_us = estimate.work_us * slower_percent / 100 * WORK_WEIGHT;
        (late, cost_us + risk_us + delay_us + work_us)
    }
}

impl Slots {
    /// The engine to which a request is sent now; `None` if the request is to wait.
    ///
    /// If the best engine has no room now, the request waits for it and reserves its prefill
    /// there: the requests behind it must not count on an idle engine.
    pub(super) fn choose_engine(
        &mut self,
        now: Millis,
        criteria: Criteria,
        objective: Objective,
        reservations: &mut Reservations,
    ) -> Option<EndpointId> {
        self.update_ranking(now);
        let Found {
            estimate,
            index,
            endpoint,
            ..
        } = self.search(now, criteria, None, reservations)?;
        if estimate.is_late && criteria.only_in_time {
            reservations.is_any_late = true;
            return None;
        }
        let free = endpoint.free_slots(now) > 0;
        let engine = endpoint.engine.as_ref()?;
        let is_first = reservations.on(index) == 0;
        if free && is_first && engine.has_room(now, &criteria.prompt, criteria.aim_ms) {
            if self.bounded_streams == 0 && objective.max_gap_ms == 0 {
                return Some(endpoint.id);
            }
            // Whether the request is sent, waits or is refused does not depend on pauses: a late
            // stream is worth more than none. They decide among the engines that can begin it.
            let best_by_pauses = self.search(now, criteria, Some(objective), reservations);
            return best_by_pauses.map_or(Some(endpoint.id), |found| Some(found.endpoint.id));
        }
        reservations.add(index, estimate.prefill_tokens.max(RESERVATION_MIN_TOKENS));
        None
    }

    /// The best engine for a request.
    fn search(
        &self,
        now: Millis,
        criteria: Criteria,
        objective: Option<Objective>,
        reservations: &Reservations,
    ) -> Option<Found<'_>> {
        // An earlier try on the avoided endpoint may have failed because of its copy.
        let source = (criteria.avoid.is_none()).then(|| self.source(now, &criteria.prompt));
        let source = source.flatten();
        let mut search = Search::new(self, now, criteria, source, objective, reservations);
        if let Some(software) = criteria.software {
            // The engines of this version may all be behind the front of the ranking.
            let of_version = self
                .endpoints
                .iter()
                .filter(|(_, e)| e.software == software);
            let indices = of_version.filter_map(|(id, _)| self.endpoints.index_of(id));
            let candidates = indices.filter_map(|index| self.ranking.candidate(now, index));
            candidates.for_each(|candidate| search.consider(&candidate, MAX_PARTS));
            return search.best;
        }
        let coverage = search.coverage.clone();
        let max_depth = self.candidates(now, &coverage, |c, depth| search.consider(c, depth));
        let best = search.best.as_ref();
        if best.is_none_or(|best| best.rank.0 > IN_TIME) {
            // An engine that ranks low because of its load may still answer in time.
            let others = self.ranking.front().iter().skip(FRONT_CONSIDERED);
            let others = others.filter(|candidate| criteria.is_in_time(candidate.answer_us));
            others.for_each(|candidate| search.consider(candidate, max_depth));
        }
        search.best
    }

    /// Shortest time in which any engine would answer a request that is sent now, in
    /// milliseconds; `None` if no engine accepts requests.
    pub fn soonest_ms(&mut self, now: Millis, criteria: &Criteria) -> Option<u64> {
        self.update_ranking(now);
        let source = self.source(now, &criteria.prompt);
        let coverage = self.parts.coverage(&criteria.prompt);
        let works = Work::by_depth(criteria, &coverage, source);
        let mut soonest: Option<u64> = None;
        self.candidates(now, &coverage, |candidate, _| {
            let work = works.get(coverage.depth(candidate.index));
            let estimate = work.and_then(|w| {
                self.endpoints
                    .at(candidate.index)?
                    .estimate(now, criteria, w, 0)
            });
            if let Some(estimate) = estimate {
                let answer_ms = estimate.answer_us / 1000;
                soonest = Some(soonest.map_or(answer_ms, |other| other.min(answer_ms)));
            }
        });
        soonest
    }

    /// Whether the prefill backlog of any engine may be short enough for it to be sent a
    /// request with the latency target `aim_ms`.
    ///
    /// If not, a pass through the queue would end without a grant.
    pub fn may_begin(&mut self, now: Millis, aim_ms: u64) -> bool {
        self.update_ranking(now);
        self.memory_tokens.is_none() || self.ranking.has_backlog_within(now, backlog_max_ms(aim_ms))
    }

    /// Ranks the engines anew that have changed, by an event or by the passage of time.
    fn update_ranking(&mut self, now: Millis) {
        while let Some(index) = self.ranking.next_stale(now) {
            let endpoint = self.endpoints.at(index);
            let state = endpoint.and_then(|e| e.state(now));
            let due = endpoint.and_then(|e| e.changes_at(now));
            self.ranking.update(index, state, due);
        }
        self.ranking.refresh_front(now);
    }

    /// Passes to `visit` the engines among which the best one for a prompt is searched: those
    /// that have cached a part of it, and those at the front of the ranking.
    ///
    /// A scan of all engines took all of a scheduler's processor time at 140 engines, and
    /// requests waited for the scheduler instead of engines. With up to [`FRONT_CONSIDERED`]
    /// engines all are visited. Of the holders of a part that is not rare, those at the front
    /// of the ranking are.
    ///
    /// The second argument of `visit` bounds the number of parts that the engine has cached,
    /// unless the engine was visited before. The returned number is the same bound for all
    /// engines that were not visited.
    fn candidates<F>(&self, now: Millis, coverage: &Coverage<'_>, mut visit: F) -> usize
    where
        F: FnMut(&Candidate, usize),
    {
        let front = self.ranking.front();
        let (first, others) = front.split_at(front.len().min(FRONT_CONSIDERED));
        if others.is_empty() {
            first
                .iter()
                .for_each(|candidate| visit(candidate, MAX_PARTS));
            return MAX_PARTS;
        }
        let (soonest, first) = first.split_at(CONSIDERED_FIRST);
        soonest
            .iter()
            .for_each(|candidate| visit(candidate, MAX_PARTS));
        let mut max_depth = coverage.len();
        let mut common = None;
        for (holders, _) in coverage.iter_rev() {
            if holders.count() > RARE_HOLDERS_MAX {
                common = Some(holders);
                break;
            }
            let candidates = holders.descending();
            let candidates = candidates.filter_map(|index| self.ranking.candidate(now, index));
            candidates.for_each(|candidate| visit(&candidate, MAX_PARTS));
            max_depth -= 1;
        }
        first
            .iter()
            .for_each(|candidate| visit(candidate, max_depth));
        // Engines that have cached less of the prompt are at the front, or no better than
        // those there.
        if let Some(holders) = common {
            let before = first.iter().filter(|c| holders.contains(c.index));
            let left = RARE_HOLDERS_MAX.saturating_sub(before.count());
            let behind = others.iter().filter(|c| holders.contains(c.index));
            behind.take(left).for_each(|c| visit(c, max_depth));
        }
        max_depth
    }

    /// The engine that has prefilled the longest start of a prompt.
    ///
    /// An engine prefills about 50 tokens in a millisecond and copies about 1000. Without
    /// copies, a part that is requested more often than one engine can serve is prefilled
    /// again by each further engine.
    pub(super) fn source(&self, now: Millis, prompt: &Prompt) -> Option<Source> {
        let rate = self.copy_tokens_per_s?;
        let coverage = self.parts.coverage(prompt);
        let has_prefilled = |index: &Index, tokens| {
            let endpoint = self.endpoints.at(*index).filter(|e| e.is_open(now));
            let engine = endpoint.and_then(|e| e.engine.as_ref());
            engine.is_some_and(|engine| engine.copyable_tokens(prompt) >= tokens)
        };
        let mut found = (coverage.iter_rev()).filter_map(|(holders, tokens)| {
            Some((
                holders
                    .descending()
                    .find(|index| has_prefilled(index, tokens))?,
                tokens,
            ))
        });
        let near = found.next();
        let near = near.and_then(|(index, tokens)| Some((self.endpoints.at(index)?.id, tokens)));
        let near = near.filter(|(_, tokens)| *tokens > 0);
        let far = self.foreign.longest(prompt);
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

impl Endpoint {
    /// Estimate for a request behind `reserved` tokens of other waiting requests; `None` if
    /// the endpoint is no engine that accepts the request.
    fn estimate(
        &self,
        now: Millis,
        criteria: &Criteria,
        work: &Work,
        reserved: u64,
    ) -> Option<Estimate> {
        let engine = self.engine.as_ref().filter(|_| self.is_open(now))?;
        if !self.may_serve(now, criteria) {
            return None;
        }
        let Work {
            prefill_tokens,
            copying_us,
            copy_cost_us,
        } = *work;
        let aim_ms = criteria.aim_ms.min(COST_AIM_MAX_MS);
        let expected_us =
            engine.expected_us(now, self.id, &criteria.prompt, prefill_tokens, reserved);
        let answer_us = expected_us + copying_us;
        let risk_us = self.reliability.failure_permille(now) * aim_ms * FAILURE_COST_AIMS;
        let wait_us = answer_us + copy_cost_us + risk_us + self.load_us(engine);
        // By time alone: the costs for other requests do not make this answer late.
        let in_time = criteria.is_in_time(answer_us);
        Some(Estimate {
            is_late: criteria.avoid == Some(self.id) || !in_time,
            answer_us,
            wait_us,
            work_us: engine.prefill_us(prefill_tokens) + copying_us,
            prefill_tokens,
        })
    }

    /// State by which the engine is ranked; `None` if it accepts no requests.
    fn state(&self, now: Millis) -> Option<State> {
        let engine = self.engine.as_ref().filter(|_| self.is_open(now))?;
        let (phase, _) = engine.phase(now);
        Some(State {
            phase,
            speed: engine.speed(),
            post_prefill_us: engine.post_prefill_us(),
            load_us: self.load_us(engine),
            risk_us: self.reliability.failure_permille(now) * TYPICAL_AIM_MS * FAILURE_COST_AIMS,
        })
    }

    /// Delay of a new request by the other requests of the engine, in microseconds.
    fn load_us(&self, engine: &Engine) -> u64 {
        let batch_us = u64::from(self.running + self.foreign_load) * BATCH_COST_US;
        // Prefill delays all streams of an engine, even after the backlog has become empty.
        batch_us + engine.prefill_us(engine.pending_tokens())
    }

    /// When the state next changes by the passage of time alone.
    fn changes_at(&self, now: Millis) -> Option<Millis> {
        let (_, phase) = self.engine.as_ref()?.phase(now);
        let ejected = self.health.ejected_until().filter(|until| *until > now);
        let decay = self.reliability.next_decay(now);
        let leaving = self.leaving_until.filter(|until| *until > now);
        let paced = self.pacer.map(|pacer| pacer.next_at());
        let paced = paced.filter(|at| *at > now);
        let all = [phase, ejected, decay, leaving, paced];
        all.into_iter().flatten().min()
    }
}
