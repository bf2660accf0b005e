//! Load shedding: which connections and requests a router admits, by how late its tasks run.
//!
//! All callers of one large customer may come to one router on a fraction of a core, thousands
//! a second. Accepting a connection, reading its request and refusing it costs a quarter of
//! what serving it does, so that a router which reads everything serves less the more comes,
//! down to almost nothing. What is turned away must therefore cost next to nothing, and what
//! is admitted must be about as much as can be served.
//!
//! [`Limit`] follows lateness alone: it settles where tasks run 20 to 40 ms late, however little
//! of what it admits is served. [`Intake`] follows what was served: a router at which 850 callers
//! a second arrive and which can serve 300 of them admits about 300, answers the others with a
//! refusal, and closes connections unread only when refusals take too much of the processor.
//! A request that is handed over to another router counts as served, so that a router with peers
//! admits what it can serve and pass on. [`Returns`] tells refused callers when to return.

pub mod demand;
mod returns;

pub use returns::{Refused, Returns};

use crate::overload::{CALM_LATENESS_MS, OVERLOAD_LATENESS_MS};

/// With at least this many requests and connections admitted before a probe, its lateness counts
/// as caused by this process: an eighth of a core handles about as many in
/// [`OVERLOAD_LATENESS_MS`].
const BURST: u64 = 32;
/// Largest number of connections to close unread between two probes. At this rate, 1,600 a
/// second, closing takes a sixth of an eighth of a core.
const CLOSES_MAX: u64 = 32;
/// Least number of connections to admit between two probes. Without it a flood would shut
/// out all other callers.
const ADMISSIONS_MIN: u64 = 2;
/// Largest number of connections to admit between two probes, without overload.
const ADMISSIONS_MAX: u64 = 1 << 16;
/// Most connections and requests of customers that bring little to admit between two probes in
/// spite of an overload. These are 200 a second, half of what an eighth of a core serves.
const LIGHT_ADMISSIONS_MAX: u64 = 4;
/// Divisor of the limit that gives its growth with each calm probe.
const GROWTH_DIVISOR: u64 = 8;

/// Time over which an [`Intake`] averages rates, in milliseconds. At 300 requests a second it
/// covers 60 of them, which bounds the error of a rate to about an eighth.
const RATE_WINDOW_MS: u64 = 200;
/// Least limit of an [`Intake`], in thousandths of a request per second: one request with each
/// probe. Without it a flood would shut out all other callers.
const RATE_MIN: u64 = 50_000;
/// Limit from which an [`Intake`] counts as unlimited, in thousandths of a request per second. An
/// eighth of a core serves a thirtieth of it.
const RATE_UNLIMITED: u64 = 10_000_000;
/// Time in which a limit that is used up doubles while tasks are on time, in milliseconds. Most
/// of the work of an admitted request is done within as much, so that its effect is seen. In the
/// model of tests/intake.rs 8 to 12 of 100 probes are late with it, and 13 to 14 with 500 ms.
const GROWTH_MS: u64 = 1000;
/// The same where less than four fifths of what was admitted is served, in milliseconds. Such a
/// router spends its time on refusals of other kinds, which a higher limit may only multiply.
const UNSERVED_GROWTH_MS: u64 = 2000;
/// Time in which a limit that is not used up doubles, in milliseconds. A flood that moves to
/// another router returns within 2 to 20 s, and the limit should still be known then.
const FORGET_MS: u64 = 30_000;
/// Time for which unused admissions are kept, in milliseconds: three probes.
const ADMISSIONS_KEPT_MS: u64 = 60;
/// Divisor of the process's processor time that gives the part that refusals may take. Served
/// requests keep three quarters.
const REFUSAL_SHARE_DIVISOR: u64 = 4;
/// Largest processor time that refusals may save up, in microseconds: as much as delays the tasks
/// of a router with an eighth of a core by [`OVERLOAD_LATENESS_MS`].
const REFUSAL_SAVINGS_MAX_US: u64 = 5000;
/// Least number of refusals between two probes, so that their cost continues to be measured.
const REFUSALS_MIN: u64 = 2;
/// Assumed processor time of a refusal before one was measured, in microseconds: benches/refusal.rs
/// gives 26 to 31.
const REFUSAL_COST_US: u64 = 30;
/// Growth of the number of refusals with each calm probe, beyond their part of the processor time:
/// that part is small where little of the processor is used at all.
const REFUSALS_GROWTH: u64 = 4;
/// Largest number of refusals between two probes: as many as wait in the accept queue.
const REFUSALS_MAX: u64 = 256;
/// Time for which refusals must have been used up before connections are closed unread, in
/// milliseconds. 850 connections a second fill an accept queue of 256 in 300 ms, and a caller
/// allows a second for its connection; until then waiting costs nothing.
const CLOSE_AFTER_MS: u64 = 200;
/// Time for which more must have arrived than the router can serve before it reports that it is
/// not ready, in milliseconds. The callers that arrive while the processor is held up for some
/// 200 ms are refused in less.
const EXCEEDED_AFTER_MS: u64 = 300;
/// Largest part of that time that one probe adds, in milliseconds. The time between two probes
/// includes that for which the processor was held up.
const EXCEEDED_PROBE_MAX_MS: u64 = 40;
/// Least time after which a refused caller should retry, in milliseconds.
const RETRY_MIN_MS: u64 = 50;
/// Largest time after which a refused caller should retry while the router expects room, in
/// milliseconds.
const RETRY_MAX_MS: u64 = 200;
/// Time over which the retries of callers are spread that wait until load balancers bypass the
/// router, in milliseconds.
const RETRY_SPREAD_MS: u64 = 500;

/// Measurements of how late this process's tasks run. A probe is a task that sleeps for a
/// fixed time and measures how late it wakes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Probes {
    /// Lateness of the last probe, in milliseconds.
    pub last_ms: u64,
    /// Lateness of the probe before the last, in milliseconds.
    pub previous_ms: u64,
    /// Time since the next probe was due, in milliseconds.
    pub overdue_ms: u64,
    /// Requests and connections admitted since the last probe.
    pub admitted: u64,
}

impl Probes {
    /// Lateness to act on now, in milliseconds.
    ///
    /// One late probe alone shows only that the process was held up, for example suspended,
    /// and not that it is overloaded; acting on it would refuse the first callers after a
    /// pause. Two late probes in a row show overload, even if the second is still overdue. So
    /// does one overdue probe after a burst was admitted: one round of a flooded router can
    /// admit 1,000 connections in 370 ms, before a second probe could show it.
    pub fn lateness(&self) -> u64 {
        let sustained_ms = self.last_ms.min(self.previous_ms.max(self.overdue_ms));
        match self.admitted >= BURST {
            true => sustained_ms.max(self.overdue_ms),
            false => sustained_ms,
        }
    }

    /// Lateness of the last probe to act on, in milliseconds, by the same rule. `admitted` is
    /// the number of requests and connections admitted before the probe.
    pub fn sustained(last_ms: u64, previous_ms: u64, admitted: u64) -> u64 {
        match admitted >= BURST {
            true => last_ms,
            false => last_ms.min(previous_ms),
        }
    }
}

/// What a router does with a new connection or request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Serve it.
    Admit,
    /// Refuse the request, or the first request of the connection, and close its connection after
    /// the answer.
    Refuse,
    /// Close the connection without reading from it.
    Close,
    /// Leave the connection in the system's accept queue.
    Wait,
}

impl Admission {
    /// Decides on a connection that waits to be accepted, where up to `connections_max` are
    /// admitted between two probes.
    ///
    /// Closing a connection unread costs a few system calls, and its caller knows that
    /// nothing was run. At 10,000 a second even that takes the whole processor, so
    /// connections beyond a bound are left to the system, which drops them at no cost to
    /// this process.
    pub fn for_connection(late_ms: u64, arrivals: Arrivals, connections_max: u64) -> Self {
        Quota::closing_excess(connections_max).decide(late_ms, arrivals)
    }

    /// Decides on a request that was read from an admitted connection.
    ///
    /// The refused caller learns that its request has not run and when to retry. The retry
    /// comes on a new connection, which reaches another router once load balancers bypass
    /// this one.
    pub fn for_request(late_ms: u64) -> Self {
        match late_ms >= OVERLOAD_LATENESS_MS {
            true => Admission::Refuse,
            false => Admission::Admit,
        }
    }
}

/// Whether a customer that brings little is admitted in spite of an overload, after `admitted` such
/// connections and requests since the last probe.
pub fn admits_light(admitted: u64) -> bool {
    admitted < LIGHT_ADMISSIONS_MAX
}

/// Connections that arrived since the last probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// Connections that were admitted.
    pub admitted: u64,
    /// Connections that were answered with a refusal.
    pub refused: u64,
    /// Connections that were closed unread.
    pub closed: u64,
}

/// Largest numbers of connections to admit, to answer with a refusal and to close unread until
/// the next probe. Further connections are left in the accept queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Connections to admit, unless tasks run late.
    pub connections: u64,
    /// Connections to answer with a refusal.
    pub refusals: u64,
    /// Connections to close unread.
    pub closes: u64,
}

impl Quota {
    /// Admits up to `connections`, and closes others unread without a refusal.
    pub fn closing_excess(connections: u64) -> Self {
        Quota {
            connections,
            refusals: 0,
            closes: CLOSES_MAX,
        }
    }

    /// Decides on a connection that waits to be accepted.
    ///
    /// Hand-over to another router applies to connections that are admitted here, and comes
    /// before a refusal: see [`Admission::for_request`].
    pub fn decide(&self, late_ms: u64, arrivals: Arrivals) -> Admission {
        if late_ms < OVERLOAD_LATENESS_MS && arrivals.admitted < self.connections {
            Admission::Admit
        } else if arrivals.refused < self.refusals {
            Admission::Refuse
        } else if arrivals.closed < self.closes {
            Admission::Close
        } else {
            Admission::Wait
        }
    }
}

/// Adaptive limit on the connections admitted between two probes.
///
/// The limit grows by a part of itself while the router is calm and shrinks to three quarters
/// of what was admitted when it is late. With a fixed bound on lateness alone a router
/// would accept every waiting connection whenever it is calm, and refuse most of their
/// requests after reading them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    connections_max: u64,
}

impl Default for Limit {
    fn default() -> Self {
        Limit {
            connections_max: ADMISSIONS_MAX,
        }
    }
}

impl Limit {
    /// Adjusts the limit after a probe, given its sustained lateness and the number of
    /// connections admitted before it.
    pub fn probe(&mut self, late_ms: u64, admitted: u64) {
        if late_ms >= OVERLOAD_LATENESS_MS && admitted > 0 {
            self.connections_max = (self.connections_max.min(admitted) * 3 / 4).max(ADMISSIONS_MIN);
        } else if late_ms < CALM_LATENESS_MS {
            let growth = (self.connections_max / GROWTH_DIVISOR).max(1);
            self.connections_max = (self.connections_max + growth).min(ADMISSIONS_MAX);
        }
    }

    /// Largest number of connections to admit until the next probe.
    pub fn connections_max(&self) -> u64 {
        self.connections_max
    }
}

/// Detects that connections are closed unread for longer than a burst lasts.
///
/// [`Limit`] keeps tasks from running very late however much arrives, so that lateness does not show
/// how much it turns away.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    /// Requests admitted, counting a connection as one.
    admitted: Rate,
    /// Connections that were closed unread.
    closed: Rate,
    /// Time for which many connections have been closed, in milliseconds.
    exceeded_ms: u64,
}

impl Excess {
    /// Takes the work since the last probe.
    pub fn probe(&mut self, period: Period) {
        let arrivals = period.arrivals;
        let admitted = arrivals.admitted.max(period.requests);
        self.admitted
            .add(admitted, period.length_ms, RATE_WINDOW_MS);
        self.closed
            .add(arrivals.closed, period.length_ms, RATE_WINDOW_MS);
        let is_exceeded = self.closed.0 > (self.admitted.0 / 4).max(RATE_MIN);
        self.exceeded_ms = match is_exceeded {
            true => self.exceeded_ms + period.length_ms.min(EXCEEDED_PROBE_MAX_MS),
            false => 0,
        };
    }

    /// Whether so many connections are closed unread that new ones should go to other routers.
    pub fn is_lasting(&self) -> bool {
        self.exceeded_ms >= EXCEEDED_AFTER_MS
    }
}

/// Work of a router between two probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Period {
    /// Time between the probes, in milliseconds.
    pub length_ms: u64,
    /// Sustained lateness of the second probe, in milliseconds.
    pub late_ms: u64,
    /// Connections that arrived.
    pub arrivals: Arrivals,
    /// Requests that were admitted after their heads were read, on new and on kept connections.
    pub requests: u64,
    /// Requests that were sent to an endpoint or handed over to another router.
    pub served: u64,
    /// Processor time of the process, in microseconds.
    pub process_us: u64,
    /// Processor time of refusals of connections, in microseconds.
    pub refusal_us: u64,
}

/// Average of a rate, in thousandths of an event per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Rate(u64);

impl Rate {
    /// Adds the events of a time, weighted by that time.
    fn add(&mut self, events: u64, length_ms: u64, window_ms: u64) {
        let sum = self.0 * window_ms + events * 1_000_000;
        self.0 = sum / (window_ms + length_ms);
    }
}

/// Decides how many connections a router admits, refuses and closes until the next probe, from
/// what it has served of the requests that it admitted before.
///
/// While tasks run late, what is served per second is what the router can serve, and the limit is
/// set just below it. While they are on time and the limit is used up, it grows. Lateness only
/// says in which direction the limit is wrong, not by how much.
#[derive(Clone, Copy, Debug)]
pub struct Intake {
    /// Requests that may be admitted, in thousandths per second; `None` if the router was not
    /// overloaded lately.
    limit: Option<u64>,
    /// Requests served.
    served: Rate,
    /// Requests admitted, counting a connection as one.
    admitted: Rate,
    /// Connections that were refused or closed.
    excess: Rate,
    /// Admissions that are left, in thousandths of a request.
    admissions: u64,
    /// Measured processor time of a refusal, in microseconds.
    refusal_cost_us: u64,
    /// Processor time that refusals may take, in microseconds.
    refusal_savings_us: u64,
    /// Time for which refusals have been used up, in milliseconds.
    starved_ms: u64,
    /// Time for which more has arrived than the router can serve, in milliseconds.
    exceeded_ms: u64,
    quota: Quota,
}

impl Default for Intake {
    fn default() -> Self {
        Intake {
            limit: None,
            served: Rate::default(),
            admitted: Rate::default(),
            excess: Rate::default(),
            admissions: 0,
            refusal_cost_us: REFUSAL_COST_US,
            refusal_savings_us: 0,
            starved_ms: 0,
            exceeded_ms: 0,
            quota: Quota {
                connections: ADMISSIONS_MAX,
                refusals: REFUSALS_MIN,
                closes: 0,
            },
        }
    }
}

impl Intake {
    /// Takes the work since the last probe, and returns the quota until the next one.
    pub fn probe(&mut self, period: Period) -> Quota {
        let arrivals = period.arrivals;
        // A request on a new connection is counted with the connection.
        let admitted = arrivals.admitted.max(period.requests);
        self.served
            .add(period.served, period.length_ms, RATE_WINDOW_MS);
        self.admitted
            .add(admitted, period.length_ms, RATE_WINDOW_MS);
        let excess = arrivals.refused + arrivals.closed;
        self.excess.add(excess, period.length_ms, RATE_WINDOW_MS);
        self.adjust_limit(period.late_ms, period.length_ms, admitted);
        let is_exceeded = self.limit.is_some_and(|limit| self.excess.0 > limit / 4);
        self.exceeded_ms = match is_exceeded {
            true => self.exceeded_ms + period.length_ms.min(EXCEEDED_PROBE_MAX_MS),
            false => 0,
        };
        self.quota = Quota {
            connections: self.connections(admitted, period.length_ms),
            refusals: self.refusals(period),
            closes: self.closes(period),
        };
        self.quota
    }

    /// Quota until the next probe.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Whether more arrives than the router can serve, by so much that new connections should go
    /// to other routers.
    pub fn is_exceeded(&self) -> bool {
        self.exceeded_ms >= EXCEEDED_AFTER_MS
    }

    /// Requests that may be admitted, in thousandths per second; `None` without a limit.
    pub fn limit(&self) -> Option<u64> {
        self.limit
    }

    fn adjust_limit(&mut self, late_ms: u64, length_ms: u64, admitted: u64) {
        if late_ms >= OVERLOAD_LATENESS_MS {
            if admitted == 0 && self.limit.is_none() {
                // A pause of the process, and not work of its own.
                return;
            }
            // What was served says little if the processor was held up by others, so that one late
            // probe lowers the limit by a quarter at most.
            let before = self.limit.unwrap_or(self.admitted.0);
            let sustainable = (self.served.0 * 7 / 8).max(before * 3 / 4);
            self.limit = Some(before.min(sustainable).max(RATE_MIN));
            return;
        }
        let Some(limit) = self.limit else {
            return;
        };
        let is_used_up = self.admitted.0 * 8 >= limit * 7 || self.excess.0 * 8 >= limit;
        let is_served = self.served.0 * 5 >= self.admitted.0 * 4;
        let doubling_ms = match (is_used_up, is_served) {
            (true, _) if late_ms >= CALM_LATENESS_MS => return,
            (true, true) => GROWTH_MS,
            (true, false) => UNSERVED_GROWTH_MS,
            (false, _) => FORGET_MS,
        };
        let limit = limit + limit * length_ms.min(doubling_ms) / doubling_ms;
        self.limit = Some(limit).filter(|limit| *limit < RATE_UNLIMITED);
    }

    /// Connections to admit until the next probe, after `admitted` requests in a period.
    fn connections(&mut self, admitted: u64, length_ms: u64) -> u64 {
        let Some(limit) = self.limit else {
            self.admissions = 0;
            return ADMISSIONS_MAX;
        };
        let kept = (limit * ADMISSIONS_KEPT_MS / 1000).max(1000);
        let left = self.admissions.saturating_sub(admitted * 1000);
        self.admissions = (left + limit * length_ms / 1000).min(kept);
        self.admissions / 1000
    }

    /// Connections to refuse until the next probe, so that refusals keep within their part of the
    /// processor time.
    fn refusals(&mut self, period: Period) -> u64 {
        let refused = period.arrivals.refused;
        if let Some(cost_us) = period.refusal_us.checked_div(refused) {
            self.refusal_cost_us = ((self.refusal_cost_us * 7 + cost_us) / 8).max(1);
        }
        let saved = self.refusal_savings_us.saturating_sub(period.refusal_us);
        let earned = period.process_us / REFUSAL_SHARE_DIVISOR;
        self.refusal_savings_us = (saved + earned).min(REFUSAL_SAVINGS_MAX_US);
        let by_share = self.refusal_savings_us / self.refusal_cost_us;
        let by_growth = match period.late_ms < CALM_LATENESS_MS {
            true => self.quota.refusals + REFUSALS_GROWTH,
            false => 0,
        };
        by_share.max(by_growth).clamp(REFUSALS_MIN, REFUSALS_MAX)
    }

    /// Connections to close unread until the next probe: none before refusals have been used up
    /// for a while.
    fn closes(&mut self, period: Period) -> u64 {
        let is_starved = period.arrivals.refused >= self.quota.refusals;
        self.starved_ms = match is_starved {
            true => self.starved_ms + period.length_ms,
            false => 0,
        };
        match self.starved_ms >= CLOSE_AFTER_MS {
            true => CLOSES_MAX,
            false => 0,
        }
    }
}
