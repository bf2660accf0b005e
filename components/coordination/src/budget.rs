//! Limits of one router, derived from the memory and descriptors of its VM.
//!
//! Each caller connection takes memory and a descriptor, whatever is requested on it. With a
//! fixed connection limit, one flooding customer can take more memory than the VM has: the
//! system then kills the process, and every request in progress there is lost.

/// Memory of an idle process with links to about a hundred others, in bytes.
const IDLE_PROCESS_BYTES: u64 = 30_000_000;
/// Percentage of the memory that is budgeted. The rest covers what cannot be planned:
/// allocator overhead, and received bytes that have not been read.
const BUDGETED_MEMORY_PERCENT: u64 = 85;
/// Memory of one caller connection, in bytes: 36 KB when idle, and a share of an endpoint
/// connection. Only some callers have a request in progress; counting a whole endpoint
/// connection for each would refuse callers that there is room for.
const CALLER_CONNECTION_BYTES: u64 = 44_000;
/// Percentage of the memory beyond the idle process for request bodies, which are a small
/// part of the memory that a flood takes.
const BODIES_PERCENT: u64 = 25;
/// Percentage of the memory beyond the idle process, and of the sockets, for idle
/// connections to endpoints. Without a bound of their own there could be 16 to each of more
/// than a thousand engines.
const IDLE_CONNECTIONS_PERCENT: u64 = 10;
/// Memory of one idle connection to an endpoint, in bytes: two buffers and a task.
const IDLE_CONNECTION_BYTES: u64 = 20_000;
/// Descriptors for listeners, links, logs and operators.
const INTERNAL_DESCRIPTORS: u64 = 64;
/// Percentage of the descriptors that the system may take for other uses.
const SYSTEM_DESCRIPTORS_PERCENT: u64 = 5;
/// Percentage of the remaining descriptors for caller connections. As many are for connections
/// to endpoints, one for each request in progress: an admitted request that cannot be sent
/// is of no use. The rest is for idle connections to endpoints.
const CALLER_SOCKETS_PERCENT: u64 = 45;
/// Least number of connections of each kind, however small the VM. A router with fewer is of
/// no use.
const CONNECTIONS_MIN: u64 = 16;
/// Answers close their connection if at least this percentage of the caller connections that a
/// router may have are open.
///
/// Keeping connections open helps callers that return soon, but most of those that a flood
/// leaves behind stay idle. Closing them after their answers makes room for other callers
/// without cutting off a request.
const CLOSE_FROM_PERCENT: usize = 75;

/// Divisor of the caller connections that gives how many of them are set aside for connections
/// that are being refused. Most are refused without waiting; of 500 a second that last 20 ms each,
/// ten are open at once.
const REFUSALS_DIVISOR: usize = 16;
/// Least number of connections that are set aside for refusals.
const REFUSALS_MIN: usize = 4;

/// Percentage of the memory for frames that links hold until their peers have taken them. Peers that
/// take nothing are noticed after the idle timeout of their links.
const LINKS_PERCENT: u64 = 12;

/// Most bytes of frames that all links of a process may hold, from the memory of its VM in bytes.
pub fn link_bytes(memory_bytes: u64) -> usize {
    usize::try_from(memory_bytes / 100 * LINKS_PERCENT).unwrap_or(usize::MAX)
}

/// Resources of a VM that one process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Files and sockets that may be open at once.
    pub descriptors: u64,
}

/// What one router may use at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Caller connections.
    pub connections: usize,
    /// Bytes of request bodies that are being received, wait or are in progress.
    pub body_bytes: u64,
    /// Idle connections kept open to endpoints.
    pub idle_connections: usize,
}

impl From<Resources> for Budget {
    fn from(resources: Resources) -> Self {
        let budgeted = resources.memory_bytes * BUDGETED_MEMORY_PERCENT / 100;
        let free = budgeted.saturating_sub(IDLE_PROCESS_BYTES);
        let body_bytes = free * BODIES_PERCENT / 100;
        let idle_bytes = free * IDLE_CONNECTIONS_PERCENT / 100;
        let by_memory = (free - body_bytes - idle_bytes) / CALLER_CONNECTION_BYTES;
        let reserved =
            INTERNAL_DESCRIPTORS + resources.descriptors * SYSTEM_DESCRIPTORS_PERCENT / 100;
        let sockets = resources.descriptors.saturating_sub(reserved);
        let by_descriptors = sockets * CALLER_SOCKETS_PERCENT / 100;
        let count =
            |number: u64| usize::try_from(number.max(CONNECTIONS_MIN)).unwrap_or(usize::MAX);
        Budget {
            connections: count(by_memory.min(by_descriptors)),
            body_bytes,
            idle_connections: count(
                (idle_bytes / IDLE_CONNECTION_BYTES).min(sockets * IDLE_CONNECTIONS_PERCENT / 100),
            ),
        }
    }
}

impl Budget {
    /// The budget, reduced to the limits that operators have set.
    pub fn within(self, connections: usize, body_bytes: u64) -> Self {
        Budget {
            connections: self.connections.min(connections),
            body_bytes: self.body_bytes.min(body_bytes),
            ..self
        }
    }

    /// Sets aside a part of the caller connections for connections that are being refused; returns
    /// their number.
    pub fn set_aside_refusals(&mut self) -> usize {
        let refusals = (self.connections / REFUSALS_DIVISOR).max(REFUSALS_MIN);
        let refusals = refusals.min(self.connections / 2);
        self.connections -= refusals;
        refusals
    }

    /// Whether so many caller connections are open that answers should close theirs.
    pub fn is_nearly_full(self, connections: usize) -> bool {
        connections.saturating_mul(100) >= self.connections.saturating_mul(CLOSE_FROM_PERCENT)
    }
}
