//! File descriptors, which bound the files and sockets that this process may have open.

use rustix::io::Errno;
use rustix::process::{getrlimit, Resource};

/// Limit of the operating system on open file descriptors; `None` without a limit.
pub fn limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Whether an operation failed because no file descriptor is left, in this process or on the VM.
pub fn are_exhausted(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}
