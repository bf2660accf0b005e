//! The port of the fleets that tests start.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

#[path = "harness/port.rs"]
mod port;

use port::{fleet_port, free_port};
use std::net::{Ipv4Addr, TcpListener, UdpSocket};

/// Failure: another process holds the port on all addresses, for TCP or for UDP. Guards against
/// VMs that cannot bind their addresses: a port that was probed for TCP alone was in use for UDP.
#[test]
fn can_pass_over_a_port_that_is_held_on_all_addresses() {
    let pid = std::process::id();
    let port = fleet_port();
    assert!(port < 32_768, "{port} is in the ephemeral range");
    let address = (Ipv4Addr::UNSPECIFIED, port);
    let held = UdpSocket::bind(address).unwrap();
    assert_ne!(free_port(pid), port);
    drop(held);
    let held = TcpListener::bind(address).unwrap();
    assert_ne!(free_port(pid), port);
    drop(held);
}
