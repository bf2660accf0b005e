//! What a router may take on, worked out from what its VM has.
//!
//! Each connection of a caller takes memory and a descriptor whatever is asked on it.
//! Accepted up to a fixed number, callers of one flooding customer took more memory
//! than a VM had: its process was ended, and everything that it had passed on was lost.

/// Memory of a process at rest with links to some hundred others, in bytes: 24 to 29 MB
/// were measured beside 55 routers, before the first caller.
const REST: u64 = 30_000_000;
/// Part of the memory that is planned with, in hundredths. The rest is for what cannot be
/// planned: what the allocator keeps, and bytes that have arrived and were not read.
const PLANNED: u64 = 85;
/// Memory of one caller's connection, in bytes: 36 KB were measured at rest after bodies of
/// 1 to 17 KB. Some have a request in progress, with a connection to an endpoint: with all
/// of them counted so, a flooded router closed connections that it had room for (2,400
/// callers found none instead of 1,160, at 89 of 160 MB).
const CONNECTION: u64 = 44_000;
/// Part of what is left beside the process at rest that bodies may take, in hundredths.
/// They are few of the bytes of a flood: 15 of 180 MB.
const BODIES: u64 = 25;
/// Part of it that idle connections to endpoints may take, in hundredths: some 500 in a
/// flood, and without a bound of their own 16 to each of 1,100 engines.
const KEPT: u64 = 10;
/// Memory of one of them, in bytes: its two buffers and its task.
const KEPT_CONNECTION: u64 = 20_000;
/// Descriptors for listeners, links, logs and operators.
const FILES: u64 = 64;
/// Descriptors that the system may keep for other uses, in hundredths.
const RESERVED: u64 = 5;
/// Part of the other descriptors that callers may take, in hundredths. As many are for
/// connections to endpoints, one for each request in progress, beside those that are kept:
/// without one a request that was accepted is of no use.
const CALLERS: u64 = 45;
/// Least that is planned with, however small the VM: with less no router is of use.
const LEAST: u64 = 16;
/// Part of the connections from which on answers close theirs, in hundredths.
///
/// Kept ones are of use to callers that come again soon. Of those that a flood leaves
/// behind most are not: 2,709 were open with nothing asked on any of them. Closed with
/// their answer they make room for others, and no request is cut.
const CLOSE_FROM: usize = 75;

/// What a VM has for one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Files and sockets that may be open.
    pub descriptors: u64,
}

/// What one router may take on at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Callers' connections.
    pub connections: usize,
    /// Bytes of bodies that arrive, wait or run.
    pub body_bytes: u64,
    /// Idle connections kept to endpoints.
    pub idle_connections: usize,
}

impl From<Resources> for Budget {
    fn from(vm: Resources) -> Self {
        let planned = vm.memory_bytes * PLANNED / 100;
        let free = planned.saturating_sub(REST);
        let body_bytes = free * BODIES / 100;
        let kept_bytes = free * KEPT / 100;
        let by_memory = (free - body_bytes - kept_bytes) / CONNECTION;
        let reserved = FILES + vm.descriptors * RESERVED / 100;
        let sockets = vm.descriptors.saturating_sub(reserved);
        let by_descriptors = sockets * CALLERS / 100;
        let count = |number: u64| usize::try_from(number.max(LEAST)).unwrap_or(usize::MAX);
        Budget {
            connections: count(by_memory.min(by_descriptors)),
            body_bytes,
            idle_connections: count((kept_bytes / KEPT_CONNECTION).min(sockets * KEPT / 100)),
        }
    }
}

impl Budget {
    /// The budget within bounds that operators have set.
    pub fn within(self, connections: usize, body_bytes: u64) -> Self {
        Budget {
            connections: self.connections.min(connections),
            body_bytes: self.body_bytes.min(body_bytes),
            ..self
        }
    }

    /// Whether an answer should close its connection, with so many open.
    pub fn is_nearly_full(self, connections: usize) -> bool {
        connections.saturating_mul(100) >= self.connections.saturating_mul(CLOSE_FROM)
    }
}
