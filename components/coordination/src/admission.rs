//! Load shedding: which connections and requests a router admits, by how late its tasks run.
//!
//! All callers of one large customer may come to one router on a fraction of a core, thousands
//! a second. Accepting a connection, reading its request and refusing it costs a quarter of
//! what serving it does, so that a router which reads everything serves less the more comes,
//! down to almost nothing. What is turned away must therefore cost next to nothing, and what
//! is admitted must be about as much as can be served.

use crate::overload::{CALM_LATENESS_MS, OVERLOAD_LATENESS_MS};

/// Requests and connections admitted since the last probe from which on its lateness counts
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
/// Divisor of the limit that gives its growth with each calm probe.
const GROWTH_DIVISOR: u64 = 8;

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
    /// Refuse the request and close its connection after the answer.
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
        let is_admitted = late_ms < OVERLOAD_LATENESS_MS && arrivals.admitted < connections_max;
        match (is_admitted, arrivals.closed < CLOSES_MAX) {
            (true, _) => Admission::Admit,
            (false, true) => Admission::Close,
            (false, false) => Admission::Wait,
        }
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

/// Connections that arrived since the last probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// Connections that were admitted.
    pub admitted: u64,
    /// Connections that were closed unread.
    pub closed: u64,
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
