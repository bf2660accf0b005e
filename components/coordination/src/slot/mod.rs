//! Slots of a shard's endpoints, and the selection of an endpoint for a request.

mod cache;
mod foreign;
mod ranking;
mod select;
mod table;

pub use self::select::Reservations;

use self::cache::Parts;
use self::foreign::Sources;
use self::ranking::Ranking;
use self::table::{Index, Table};
use crate::backoff::Backoff;
use crate::engine::{Changes, Engine, Prefill};
use crate::health::{Change, Health};
use crate::messages::{Objective, Pause, Speed};
use crate::prelude::*;
use crate::prompt::Part;
use crate::reliability::Reliability;
use crate::warmup::Pacer;
use std::collections::{BTreeMap, VecDeque};

/// Longest delay of an endpoint's load report, in milliseconds.
pub const REPORT_LAG_MS: u64 = 2000;
/// Most prompt prefixes that are remembered for each endpoint that is no engine.
pub const PREFIXES_MAX: usize = 64;

/// Load that is added to an endpoint's own when free endpoints are compared, if it fails all of
/// its requests, in multiples of its slots. It is proportional to the share of failures: with 2,
/// an endpoint that fails half of its requests ranks no better than a full one.
const FAILURE_LOADS: u64 = 2;
/// Most entries in the running history of an endpoint: only their maximum is used, so that the
/// oldest of many quick changes can be dropped.
const HISTORY_MAX: usize = 256;

/// State of one endpoint at its scheduler.
#[derive(Clone, Debug)]
struct Endpoint {
    id: EndpointId,
    software: Software,
    slots: u32,
    /// Requests beyond its slots that may be sent ahead, to cover the grant's round trip.
    prefetch: u32,
    /// Whether the endpoint gets no new requests.
    leaving: bool,
    /// Requests in progress that this scheduler has granted.
    running: u32,
    /// Recent values of `running` with their times. A load report that arrives late is
    /// compared with the requests that were in progress when it was made.
    history: VecDeque<(Millis, u32)>,
    /// Requests in progress that do not come from this scheduler.
    foreign_load: u32,
    health: Health,
    reliability: Reliability,
    /// Keys of the prompt prefixes that were sent last, if this is no engine.
    prefixes: VecDeque<u32>,
    /// Model of the endpoint, if it is an inference engine.
    engine: Option<Engine>,
    /// When the endpoint started by its own report, in Unix milliseconds.
    started_at: Option<u64>,
    /// Until when the endpoint refuses requests of a router, by the router's session.
    backoff_until: BTreeMap<u32, Millis>,
    /// Until when the endpoint refuses all requests because it is leaving.
    leaving_until: Option<Millis>,
    /// When the endpoint was last granted a request here.
    granted_at: Option<Millis>,
    /// Limits the rate of requests while the endpoint is cold.
    pacer: Option<Pacer>,
}

/// Requirements of a request on its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria {
    /// Session of the router with the request, if it came from one.
    pub session: Option<u32>,
    /// The prompt as far as it is known.
    pub prompt: Prompt,
    /// Endpoint to avoid, if another is free.
    pub avoid: Option<EndpointId>,
    /// Latency target: time to the first byte within which an answer is on time, in
    /// milliseconds.
    pub aim_ms: u64,
    /// Remaining part of `aim_ms`; of a stream that has begun, the part for which its caller waits.
    pub slack_ms: u64,
    /// Whether the request is sent only where its answer is expected in time.
    pub only_in_time: bool,
    /// Software version that the endpoint must have, if the request continues a stream.
    pub software: Option<Software>,
}

/// Strategy for the choice among free endpoints that are no engines. All but the first are
/// baselines for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The endpoint with the least load, where one that has seen the prompt prefix counts as
    /// one request emptier.
    LeastLoaded,
    /// Each endpoint in turn.
    RoundRobin,
    /// A pseudorandom endpoint, by a hash of the number of choices.
    Random,
}

/// The endpoints of one shard and their slots.
#[derive(Clone, Debug)]
pub struct Slots {
    endpoints: Table,
    /// Engines by the parts that they have cached.
    parts: Parts,
    /// Engines of other schedulers by the parts that they have prefilled.
    foreign: Sources,
    /// Engines by the time in which they would answer.
    ranking: Ranking,
    /// Cache size of an engine; `None` if the endpoints are no engines.
    memory_tokens: Option<u64>,
    /// Tokens that an engine copies from another one in a second; `None` if it cannot.
    copy_tokens_per_s: Option<u64>,
    /// Rate of requests to a cold endpoint, in thousandths of a request per second; `None`
    /// for no limit.
    cold_rate: Option<u32>,
    /// Tokens of an event of the engines' streams.
    event_tokens: u32,
    /// Streams in progress on engines that have a bound on their pauses.
    bounded_streams: usize,
    strategy: Strategy,
    /// Number of choices so far.
    choices: u64,
}

impl Default for Slots {
    fn default() -> Self {
        Slots::new(Strategy::LeastLoaded)
    }
}

impl Slots {
    /// A shard without endpoints, which are chosen by `strategy` if they are no engines.
    pub fn new(strategy: Strategy) -> Self {
        Slots {
            endpoints: Table::default(),
            parts: Parts::default(),
            foreign: Sources::default(),
            ranking: Ranking::default(),
            memory_tokens: None,
            copy_tokens_per_s: None,
            cold_rate: None,
            event_tokens: 1,
            bounded_streams: 0,
            strategy,
            choices: 0,
        }
    }

    /// Sets the cache size of all endpoints that are set from now on; `None` if they are no
    /// engines.
    pub fn set_memory_tokens(&mut self, memory_tokens: Option<u64>) {
        self.memory_tokens = memory_tokens;
    }

    /// Sets the tokens of an event of the engines' streams, for all engines that are set from now
    /// on.
    pub fn set_event_tokens(&mut self, event_tokens: u32) {
        self.event_tokens = event_tokens;
    }

    /// Adds a stream to an engine, if it has a bound on its pauses.
    pub fn add_stream(&mut self, id: EndpointId, objective: Objective) {
        if objective.max_gap_ms == 0 {
            return;
        }
        self.bounded_streams += 1;
        if let Some(engine) = self.engine_mut(id) {
            engine.steps_mut().add_stream(objective.max_gap_ms);
        }
    }

    /// Removes a stream that was added to an engine.
    pub fn remove_stream(&mut self, id: EndpointId, objective: Objective) {
        if objective.max_gap_ms == 0 {
            return;
        }
        self.bounded_streams = self.bounded_streams.saturating_sub(1);
        if let Some(engine) = self.engine_mut(id) {
            engine.steps_mut().remove_stream(objective.max_gap_ms);
        }
    }

    /// Records pauses between the events of an engine's streams. They say nothing about its
    /// health.
    pub fn record_pauses(&mut self, now: Millis, pause: &Pause) {
        if let Some(engine) = self.engine_mut(pause.endpoint) {
            engine.steps_mut().record_pauses(now, pause);
        }
    }

    /// Records the speed that an engine has stated. It says nothing about its health.
    pub fn record_speed(&mut self, now: Millis, speed: &Speed) {
        if let Some(engine) = self.engine_mut(speed.endpoint) {
            engine.steps_mut().record_speed(now, speed);
        }
    }

    /// Streams of an engine that are expected to pause beyond their bound if a request with
    /// `tokens` to prefill is added.
    pub fn expected_breaks(&self, now: Millis, id: EndpointId, tokens: u64) -> u32 {
        let endpoint = self.endpoints.get(id);
        let engine = endpoint.and_then(|endpoint| endpoint.engine.as_ref());
        engine.map_or(0, |engine| engine.predict(now, tokens).broken)
    }

    /// Number of engines that are slow at the moment.
    pub fn slow_engines(&self, now: Millis) -> usize {
        let engines = self.endpoints.values().filter_map(|e| e.engine.as_ref());
        engines.filter(|e| e.steps().is_slow(now)).count()
    }

    /// Number of engines that have stated their speed recently.
    pub fn engines_with_speed(&self, now: Millis) -> usize {
        let engines = self.endpoints.values().filter_map(|e| e.engine.as_ref());
        engines.filter(|e| e.steps().is_stated(now)).count()
    }

    fn engine_mut(&mut self, id: EndpointId) -> Option<&mut Engine> {
        let index = self.endpoints.index_of(id)?;
        self.endpoints.at_mut(index)?.engine.as_mut()
    }

    /// Sets the tokens that an engine copies from another one in a second; `None` if engines
    /// cannot copy.
    pub fn set_copy_tokens_per_s(&mut self, copy_tokens_per_s: Option<u64>) {
        self.copy_tokens_per_s = copy_tokens_per_s;
    }

    /// Engines with a prefill backlog, in percent, as of the last choice.
    pub fn busy_percent(&self) -> u8 {
        self.ranking.busy_percent()
    }

    /// Whether engines copy parts from each other.
    pub fn can_copy(&self) -> bool {
        self.copy_tokens_per_s.is_some()
    }

    /// Whether an engine of this shard has prefilled a part.
    pub fn has_prefilled(&self, id: EndpointId, key: u32) -> bool {
        let engine = self
            .endpoints
            .get(id)
            .and_then(|endpoint| endpoint.engine.as_ref());
        engine.is_some_and(|engine| engine.has_prefilled(key))
    }

    /// Records that an engine of another scheduler has prefilled a part.
    pub fn add_foreign(&mut self, key: u32, endpoint: EndpointId) {
        self.foreign.insert(key, endpoint);
    }

    /// Removes the engines of other schedulers for which `keep` is false.
    pub fn retain_foreign<F>(&mut self, keep: F)
    where
        F: Fn(EndpointId) -> bool,
    {
        self.foreign.retain(keep);
    }

    /// Sets the rate of requests to a cold endpoint, in thousandths of a request per second;
    /// `None` for no limit.
    pub fn set_cold_rate(&mut self, rate: Option<u32>) {
        self.cold_rate = rate;
    }

    /// Records that an endpoint is cold until `until`. Its first request is delayed by
    /// `offset_permille` of the interval between two requests, so that processes which share
    /// the rate do not send at the same time.
    pub fn set_cold(&mut self, now: Millis, id: EndpointId, until: Millis, offset_permille: u64) {
        let Some(rate) = self.cold_rate.filter(|_| until > now) else {
            return;
        };
        let Some(endpoint) = self.endpoint_mut(id) else {
            return;
        };
        match endpoint.pacer.as_mut().filter(|pacer| pacer.until() > now) {
            Some(pacer) => pacer.extend(until, rate),
            None => {
                let granted_at = endpoint.granted_at.unwrap_or(now);
                endpoint.pacer =
                    Some(Pacer::new(until, rate, granted_at).with_offset(offset_permille));
            }
        }
    }

    /// Adds or changes an endpoint.
    pub fn set(&mut self, id: EndpointId, slots: u32, prefetch: u32, leaving: bool) {
        let index = self.endpoints.index_or_insert(id, || Endpoint::new(id));
        self.ranking.mark_stale(index);
        let Some(endpoint) = self.endpoints.at_mut(index) else {
            return;
        };
        match (self.memory_tokens, &mut endpoint.engine) {
            (Some(tokens), Some(engine)) => engine.set_memory_tokens(tokens),
            (Some(tokens), engine @ None) => *engine = Some(Engine::new(tokens)),
            (None, engine) => {
                let mut changes = Changes::new();
                if let Some(mut engine) = engine.take() {
                    engine.reset(&mut changes);
                }
                self.parts.apply(index, &changes);
            }
        }
        if let Some(engine) = &mut endpoint.engine {
            engine.steps_mut().set_event_tokens(self.event_tokens);
        }
        endpoint.slots = slots;
        endpoint.prefetch = prefetch;
        endpoint.leaving = leaving;
    }

    /// Sets the version of an endpoint's software.
    pub fn set_software(&mut self, id: EndpointId, software: Software) {
        if let Some(endpoint) = self.endpoint_mut(id) {
            endpoint.software = software;
        }
    }

    /// Whether no endpoint with a software version takes new requests, not even later. False while
    /// no endpoints are known at all.
    pub fn lacks(&self, now: Millis, software: Software) -> bool {
        let serves = |e: &Endpoint| e.software == software && !e.leaving && !e.is_leaving(now);
        let mut all = self.endpoints.values().peekable();
        all.peek().is_some() && !all.any(serves)
    }

    /// Records that an endpoint has asked the router of a session to send no requests for a
    /// while; an endpoint that is leaving gets no requests from any router.
    pub fn back_off(&mut self, now: Millis, session: u32, backoff: &Backoff) {
        let Some(endpoint) = self.endpoint_mut(backoff.endpoint) else {
            return;
        };
        let until = now.after(u64::from(backoff.ms));
        if backoff.is_leaving {
            endpoint.leaving_until = endpoint.leaving_until.max(Some(until));
            return;
        }
        endpoint.backoff_until.retain(|_, until| *until > now);
        let known = endpoint.backoff_until.entry(session).or_insert(until);
        *known = until.max(*known);
    }

    /// Removes the backoffs of all endpoints towards a session that has ended.
    pub fn clear_backoff(&mut self, session: u32) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.backoff_until.remove(&session);
        }
    }

    /// Removes the endpoints for which `keep` is false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(EndpointId) -> bool,
    {
        for id in self.endpoints.rejected_by(keep) {
            let Some((index, endpoint)) = self.endpoints.remove(id) else {
                continue;
            };
            let mut changes = Changes::new();
            if let Some(mut engine) = endpoint.engine {
                engine.reset(&mut changes);
            }
            self.parts.apply(index, &changes);
            self.ranking.mark_stale(index);
        }
    }

    /// The best endpoint for a request; `None` if the request is better off waiting, which
    /// is noted in `reservations`.
    pub fn choose(
        &mut self,
        now: Millis,
        criteria: Criteria,
        reservations: &mut Reservations,
    ) -> Option<EndpointId> {
        self.choose_for_stream(now, criteria, Objective::default(), reservations)
    }

    /// Like [`Slots::choose`], for a request with objectives for its stream.
    pub fn choose_for_stream(
        &mut self,
        now: Millis,
        criteria: Criteria,
        objective: Objective,
        reservations: &mut Reservations,
    ) -> Option<EndpointId> {
        if self.memory_tokens.is_some() {
            return self.choose_engine(now, criteria, objective, reservations);
        }
        self.choose_plain(now, criteria, true)
            .or_else(|| self.choose_plain(now, criteria, false))
    }

    /// Takes a slot of an endpoint for the first try of a request. Returns the work of the
    /// request if the endpoint is an engine.
    pub fn acquire(&mut self, now: Millis, id: EndpointId, prompt: Prompt) -> Option<Prefill> {
        self.acquire_with(now, id, prompt, true)
    }

    /// Takes a slot of an endpoint; `copies` says whether the engine may copy parts
    /// of the prompt from another one.
    pub fn acquire_with(
        &mut self,
        now: Millis,
        id: EndpointId,
        prompt: Prompt,
        copies: bool,
    ) -> Option<Prefill> {
        let source = copies.then(|| self.source(now, &prompt)).flatten();
        self.adopt(now, id);
        let index = self.endpoints.index_of(id)?;
        let endpoint = self.endpoints.at_mut(index)?;
        endpoint.granted_at = Some(now);
        if let Some(pacer) = &mut endpoint.pacer {
            pacer.take(now);
        }
        let Some(engine) = &mut endpoint.engine else {
            endpoint.remember_prefix(prompt.first_key());
            return None;
        };
        let mut changes = Changes::new();
        let prefill = engine.begin(now, prompt, source, &mut changes);
        self.parts.apply(index, &changes);
        Some(prefill)
    }

    /// Engines that accept requests and of whose cache nothing is known.
    pub fn with_empty_cache(&self, now: Millis) -> Vec<EndpointId> {
        let open = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_open(now));
        let empty = open.filter(|(_, e)| e.engine.as_ref().is_some_and(Engine::has_empty_cache));
        empty.map(|(id, _)| id).collect()
    }

    /// Records the start time that an endpoint has reported; false if it precedes the known
    /// one, so that the report comes from an earlier run of the endpoint.
    ///
    /// An endpoint that has restarted under its name has an empty cache, and the failures of
    /// its earlier run do not count: prompts would otherwise be sent to it for parts that it
    /// has to prefill again, and its rank would depend on its earlier run.
    pub fn record_start(&mut self, id: EndpointId, started_at: Option<u64>) -> bool {
        let Some(index) = self.endpoints.index_of(id) else {
            return true;
        };
        let (Some(endpoint), Some(started_at)) = (self.endpoints.at_mut(index), started_at) else {
            return true;
        };
        let known = *endpoint.started_at.get_or_insert(started_at);
        if started_at <= known {
            return started_at == known;
        }
        endpoint.started_at = Some(started_at);
        endpoint.reliability = Reliability::default();
        let mut changes = Changes::new();
        if let Some(engine) = &mut endpoint.engine {
            engine.reset(&mut changes);
        }
        self.parts.apply(index, &changes);
        self.ranking.mark_stale(index);
        true
    }

    /// Records a part that an engine is reported to have cached.
    pub fn record_cached(&mut self, now: Millis, id: EndpointId, part: Part) {
        self.with_engine(id, |engine, changes| {
            engine.record_cached(now, part, changes)
        });
    }

    /// Records the first byte of an answer of an engine, `took_ms` after the grant.
    pub fn record_first_byte(
        &mut self,
        now: Millis,
        id: EndpointId,
        prefill: &mut Prefill,
        took_ms: Option<u32>,
    ) {
        self.with_engine(id, |engine, _| {
            engine.record_first_byte(now, prefill, took_ms)
        });
    }

    /// Ends the work of a request on an engine.
    pub fn end_prefill(&mut self, now: Millis, id: EndpointId, prefill: &Prefill) {
        self.with_engine(id, |engine, changes| engine.end(now, prefill, changes));
    }

    /// Changes an engine, and brings the index of cached parts and the ranking up to date.
    fn with_engine<F>(&mut self, id: EndpointId, act: F)
    where
        F: FnOnce(&mut Engine, &mut Changes),
    {
        let Some(index) = self.endpoints.index_of(id) else {
            return;
        };
        let endpoint = self.endpoints.at_mut(index);
        let Some(engine) = endpoint.and_then(|e| e.engine.as_mut()) else {
            return;
        };
        let mut changes = Changes::new();
        act(engine, &mut changes);
        self.parts.apply(index, &changes);
        self.ranking.mark_stale(index);
    }

    /// An endpoint to change, which is then ranked anew.
    fn endpoint_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        let index = self.endpoints.index_of(id)?;
        self.ranking.mark_stale(index);
        self.endpoints.at_mut(index)
    }

    /// Counts a request in progress that another scheduler has granted.
    pub fn adopt(&mut self, now: Millis, id: EndpointId) {
        if let Some(endpoint) = self.endpoint_mut(id) {
            endpoint.running += 1;
            endpoint.record_running(now);
        }
    }

    /// Releases a slot; the verdict counts towards the endpoint's health.
    pub fn release(&mut self, now: Millis, id: EndpointId, verdict: Option<Verdict>) -> Change {
        let Some(endpoint) = self.endpoint_mut(id) else {
            return Change::None;
        };
        endpoint.running = endpoint.running.saturating_sub(1);
        endpoint.record_running(now);
        match verdict {
            Some(Verdict::Fine) => endpoint.reliability.record(now, false),
            Some(Verdict::Failed | Verdict::Error) => endpoint.reliability.record(now, true),
            Some(Verdict::Cancelled) | None => {}
        }
        match verdict {
            // An endpoint that answers with errors is alive: only its reliability suffers.
            Some(Verdict::Fine | Verdict::Error) => endpoint.health.record_success(),
            Some(Verdict::Failed) => endpoint.health.record_failure(now),
            Some(Verdict::Cancelled) | None => Change::None,
        }
    }

    /// Counts a request to which an endpoint has not responded for far too long as failed.
    pub fn record_silence(&mut self, now: Millis, id: EndpointId) {
        if let Some(endpoint) = self.endpoint_mut(id) {
            endpoint.reliability.record(now, true);
        }
    }

    /// Takes an endpoint's own report of its number of requests in progress.
    ///
    /// The load beyond the recent maximum of this scheduler's own requests comes from
    /// elsewhere. A report that lags can thus neither free nor take a slot of its own.
    pub fn report_load(&mut self, now: Millis, id: EndpointId, load: u32) {
        let Some(endpoint) = self.endpoint_mut(id) else {
            return;
        };
        endpoint.record_running(now);
        let own = endpoint.history.iter().map(|(_, n)| *n).max().unwrap_or(0);
        endpoint.foreign_load = load.saturating_sub(own);
    }

    /// Share of recent requests that an endpoint has failed, in thousandths.
    pub fn failure_permille(&self, now: Millis, id: EndpointId) -> u64 {
        self.endpoints
            .get(id)
            .map_or(0, |e| e.reliability.failure_permille(now))
    }

    /// Whether any endpoint has a slot free.
    pub fn has_free_slot(&self, now: Millis) -> bool {
        self.endpoints.values().any(|e| e.free_slots(now) > 0)
    }

    /// Requests in progress on an endpoint.
    pub fn running(&self, id: EndpointId) -> u32 {
        self.endpoints.get(id).map_or(0, |e| e.running)
    }

    /// Slots and requests in progress over all endpoints that are not leaving.
    pub fn totals(&self) -> (u32, u32) {
        let open = || self.endpoints.values().filter(|e| !e.leaving);
        (
            open().map(|e| e.slots).sum(),
            open().map(|e| e.running).sum(),
        )
    }

    /// Slots of all endpoints that accept requests now: an ejected endpoint has none, or one for a
    /// probe.
    pub fn usable_slots(&self, now: Millis) -> u32 {
        let open = self.endpoints.values();
        let open = open.filter(|e| !e.leaving && !e.is_leaving(now));
        open.map(|e| e.health.capacity(now, e.slots)).sum()
    }

    /// Tokens that all engines have yet to prefill, and the lowest and highest prefill speed
    /// of an engine in tokens per second.
    pub fn prefill_totals(&self) -> (u64, u64, u64) {
        let engines = || self.endpoints.values().filter_map(|e| e.engine.as_ref());
        let speeds = || engines().map(Engine::tokens_per_s);
        (
            engines().map(Engine::pending_tokens).sum(),
            speeds().min().unwrap_or(0),
            speeds().max().unwrap_or(0),
        )
    }

    /// When an ejected endpoint may next be probed.
    pub fn next_probe(&self) -> Option<Millis> {
        self.endpoints
            .values()
            .filter_map(|e| e.health.ejected_until())
            .min()
    }

    fn choose_plain(
        &mut self,
        now: Millis,
        criteria: Criteria,
        avoiding: bool,
    ) -> Option<EndpointId> {
        let avoid = criteria.avoid.filter(|_| avoiding);
        let is_free = |e: &Endpoint| e.free_slots(now) > 0 && e.may_serve(now, &criteria);
        let free = (self.endpoints.iter()).filter(|(id, e)| is_free(e) && Some(*id) != avoid);
        self.choices += 1;
        match self.strategy {
            Strategy::LeastLoaded => free
                .min_by_key(|(id, e)| (e.score(now, &criteria.prompt), *id))
                .map(|(id, _)| id),
            Strategy::RoundRobin => nth(free.map(|(id, _)| id).collect(), self.choices),
            Strategy::Random => {
                let mixed = self.choices.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
                nth(free.map(|(id, _)| id).collect(), mixed)
            }
        }
    }
}

/// The `n`th of the free endpoints, modulo their number.
fn nth(free: SmallVec<[EndpointId; 16]>, n: u64) -> Option<EndpointId> {
    if free.is_empty() {
        return None;
    }
    // CAST: the remainder is below the length, which is a `usize`.
    Some(free[(n % free.len() as u64) as usize])
}

impl Endpoint {
    fn new(id: EndpointId) -> Self {
        Endpoint {
            id,
            software: Software::UNSTATED,
            slots: 0,
            prefetch: 0,
            leaving: false,
            running: 0,
            history: VecDeque::new(),
            foreign_load: 0,
            health: Health::default(),
            reliability: Reliability::default(),
            prefixes: VecDeque::new(),
            engine: None,
            started_at: None,
            backoff_until: BTreeMap::new(),
            leaving_until: None,
            granted_at: None,
            pacer: None,
        }
    }

    /// Appends the number of requests in progress to the history.
    fn record_running(&mut self, now: Millis) {
        self.history.push_back((now, self.running));
        while let Some((at, _)) = self.history.get(1) {
            if now.since(*at) <= REPORT_LAG_MS {
                break;
            }
            self.history.pop_front();
        }
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
    }

    /// Number of requests that the endpoint can take now.
    fn free_slots(&self, now: Millis) -> u32 {
        if self.leaving || self.is_leaving(now) || self.is_paced(now) {
            return 0;
        }
        let capacity = self.health.capacity(now, self.slots + self.prefetch);
        capacity.saturating_sub(self.running + self.foreign_load)
    }

    fn remember_prefix(&mut self, prefix: u32) {
        if prefix == 0 || self.prefixes.contains(&prefix) {
            return;
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES_MAX {
            self.prefixes.pop_front();
        }
    }

    /// Whether the endpoint has told a router that it is leaving.
    fn is_leaving(&self, now: Millis) -> bool {
        self.leaving_until.is_some_and(|until| until > now)
    }

    /// Whether the endpoint refuses requests of the router of a session.
    fn is_backed_off(&self, now: Millis, session: Option<u32>) -> bool {
        let until = session.and_then(|session| self.backoff_until.get(&session));
        until.is_some_and(|until| *until > now)
    }

    /// Whether the endpoint may be sent a request by its router and its version.
    fn may_serve(&self, now: Millis, criteria: &Criteria) -> bool {
        let has_version = criteria.software.is_none_or(|s| s == self.software);
        has_version && !self.is_backed_off(now, criteria.session)
    }

    /// Whether the endpoint is cold and gets no request yet, to keep to its rate.
    fn is_paced(&self, now: Millis) -> bool {
        self.pacer.is_some_and(|pacer| !pacer.admits(now))
    }

    /// Whether the endpoint accepts requests, even if all of its slots are taken.
    fn is_open(&self, now: Millis) -> bool {
        !self.leaving
            && !self.is_leaving(now)
            && !self.is_paced(now)
            && self.health.capacity(now, self.slots + self.prefetch) > 0
    }

    /// Load in thousandths of the slots; the lowest score is best. An endpoint that has not
    /// seen the prompt prefix counts as one request fuller, and failures add to the load.
    fn score(&self, now: Millis, prompt: &Prompt) -> u64 {
        let prefix = prompt.first_key();
        let unseen = u32::from(prefix != 0 && !self.prefixes.contains(&prefix));
        let load = u64::from(self.running + self.foreign_load + unseen) * 1000;
        load / u64::from(self.slots.max(1)) + self.reliability.failure_permille(now) * FAILURE_LOADS
    }
}
