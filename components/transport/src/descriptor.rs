//! Files and sockets that this process may have open.

use rustix::process::{getrlimit, Resource};

/// The limit that the system has set, if it has set one.
pub fn limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}
