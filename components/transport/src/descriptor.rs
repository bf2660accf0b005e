//! Files and sockets that this process may have open.

use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};

/// The limit that the system has set, if it has set one.
pub fn limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Whether something failed since none is left, here or on the whole VM.
pub fn are_out(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}
