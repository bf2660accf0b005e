//! The port that all addresses of a test process's fleets use.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::OnceLock;

/// Ports below Linux's ephemeral range, which begins at 32768: no process is assigned one of
/// them by the system, so a port that is free stays free unless a process names it.
const PORTS: Range<u16> = 10_000..32_000;

/// Chooses the port at the first call.
///
/// Each VM has a loopback address of its own, but a socket that is bound to the port on all
/// addresses excludes it on each of them.
///
/// The first call must come before the test starts a process: a child process that another thread
/// forks inherits the sockets of the probe until it calls exec.
pub(crate) fn fleet_port() -> u16 {
    static PORT: OnceLock<u16> = OnceLock::new();
    *PORT.get_or_init(|| free_port(std::process::id()))
}

/// Finds a port that is free on all addresses, both for TCP and for UDP.
///
/// Test processes begin their search at different ports: a probe that binds a port on all
/// addresses would keep the VMs of another test process from binding it at that moment.
pub(crate) fn free_port(pid: u32) -> u16 {
    let count = u32::from(PORTS.end - PORTS.start);
    let mut candidates = (0..count).map(|n| {
        let offset = pid.wrapping_add(n) % count;
        PORTS.start + u16::try_from(offset).unwrap()
    });
    candidates.find(|port| is_free(*port)).unwrap()
}

fn is_free(port: u16) -> bool {
    let address = (Ipv4Addr::UNSPECIFIED, port);
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}
