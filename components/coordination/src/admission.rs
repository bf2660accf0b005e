//! What a router lets in, by how late its tasks run.
//!
//! The load: all callers of one large customer come to one router on a small part of a core,
//! thousands a second. To accept a connection, read its request and refuse it costs a
//! quarter of serving it; with 2,000 of these a second a router served 5 to 120 requests a
//! second, of a customer whose share was 400. The more came, the less it served. What is
//! turned away therefore has to cost next to nothing, and what is let in has to be about as
//! much as can be served.

use crate::overload::{CALM_LATENESS_MS, OVERLOAD_LATENESS_MS};

/// Requests and connections that were let in since a probe, from which on its lateness
/// is this process's own doing: an eighth of a core takes in about as many in [`OVERLOAD_LATENESS_MS`].
const BURST: u64 = 32;
/// Connections that are closed unread between two probes at most: 1,600 a second, which
/// take a sixth of an eighth of a core.
const CLOSES: u64 = 32;
/// Connections that are let in between two probes at least: some always have to be, or a
/// flood would shut out all others.
const TAKES_MIN: u64 = 2;
/// The same where nothing bounds them.
const TAKES_MAX: u64 = 1 << 16;
/// Part of the bound by which it grows with each calm probe.
const GROWTH_PART: u64 = 8;

/// What is known of how late tasks run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Probes {
    /// Lateness of the last probe, in milliseconds.
    pub last_ms: u64,
    /// That of the one before.
    pub previous_ms: u64,
    /// Time since the next one was due, in milliseconds.
    pub overdue_ms: u64,
    /// Requests and connections let in since the last one.
    pub admitted: u64,
}

impl Probes {
    /// Lateness that counts now, in milliseconds.
    ///
    /// One late probe alone says that this process was held up, not that it has more to do
    /// than it can: right after it was suspended it would refuse whoever comes first. One
    /// that is overdue after a burst was let in says it: a flooded router took in 1,000
    /// connections in one round of 370 ms, before a second probe could tell.
    pub fn lateness(&self) -> u64 {
        let lasting_ms = self.last_ms.min(self.previous_ms.max(self.overdue_ms));
        match self.admitted >= BURST {
            true => lasting_ms.max(self.overdue_ms),
            false => lasting_ms,
        }
    }

    /// Lateness that counts of the last probe, once `taken` were let in before it, in
    /// milliseconds: by the same rule.
    pub fn sustained(last_ms: u64, before_ms: u64, taken: u64) -> u64 {
        match taken >= BURST {
            true => last_ms,
            false => last_ms.min(before_ms),
        }
    }
}

/// What a router does with what has just come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It serves it.
    Admit,
    /// It refuses the request, with the last answer of its connection.
    Refuse,
    /// It closes the connection unread.
    Close,
    /// It leaves the connection where it waits to be accepted.
    Wait,
}

impl Admission {
    /// For a connection that waits to be accepted, where `takes` are let in between two
    /// probes.
    ///
    /// Closed unread, a connection costs a few calls of the system, and its caller knows that
    /// nothing was run. Of 10,000 a second even that takes all of the processor: those
    /// beyond a bound are left to the system, which drops them at no cost to this process.
    pub fn for_connection(late_ms: u64, arrivals: Arrivals, takes: u64) -> Self {
        let is_let_in = late_ms < OVERLOAD_LATENESS_MS && arrivals.admitted < takes;
        match (is_let_in, arrivals.closed < CLOSES) {
            (true, _) => Admission::Admit,
            (false, true) => Admission::Close,
            (false, false) => Admission::Wait,
        }
    }

    /// For a request that has come on a connection that was let in.
    ///
    /// Its caller learns that it has not run and when to come back. What it sends next
    /// comes on a new connection, to another router once this one is passed over.
    pub fn for_request(late_ms: u64) -> Self {
        match late_ms >= OVERLOAD_LATENESS_MS {
            true => Admission::Refuse,
            false => Admission::Admit,
        }
    }
}

/// Connections that came since the last probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    /// Those that were let in.
    pub admitted: u64,
    /// Those that were closed unread.
    pub closed: u64,
}

/// How many connections are let in between two probes.
///
/// Additive increase, multiplicative decrease: with a fixed bound on lateness alone a router
/// accepted all that waited whenever it was calm, and refused most of it after reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    connections_max: u64,
}

impl Default for Limit {
    fn default() -> Self {
        Limit {
            connections_max: TAKES_MAX,
        }
    }
}

impl Limit {
    /// Takes the lateness that lasts at a probe, and how many connections were let in before it.
    pub fn probe(&mut self, late_ms: u64, taken: u64) {
        if late_ms >= OVERLOAD_LATENESS_MS && taken > 0 {
            self.connections_max = (self.connections_max.min(taken) * 3 / 4).max(TAKES_MIN);
        } else if late_ms < CALM_LATENESS_MS {
            let more = (self.connections_max / GROWTH_PART).max(1);
            self.connections_max = (self.connections_max + more).min(TAKES_MAX);
        }
    }

    /// Connections that may be let in until the next probe.
    pub fn connections_max(&self) -> u64 {
        self.connections_max
    }
}
