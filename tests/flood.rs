//! Routers and control VMs under more connections and bodies than they have memory
//! and file descriptors for.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{eventually, http, Fleet, Plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for an answer; a router that sends none fails the test.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A keep-alive connection of a caller.
struct Connection(TcpStream);

impl Connection {
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Connection(stream)
    }

    /// Sends a request and returns the beginning of the answer; empty if the router closed
    /// the connection.
    fn ask(&mut self, path: &str, body: &str) -> String {
        let length = body.len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        // The router may close the connection before it has read everything.
        let _ = self.0.write_all(head.as_bytes());
        let mut answer = vec![0; 4096];
        match self.0.read(&mut answer) {
            Ok(count) => String::from_utf8_lossy(&answer[..count]).into_owned(),
            Err(error) => {
                let kind = error.kind();
                assert_ne!(kind, std::io::ErrorKind::WouldBlock, "no answer to {path}");
                String::new()
            }
        }
    }
}

#[test]
fn can_bound_memory_while_callers_open_thousands_of_connections() {
    // Symptom: a router is killed for exceeding its memory limit, and the requests that
    // it had forwarded to endpoints are lost.
    // Sequence: one customer opens 3,700 connections to the router and keeps them open.
    // Cause: the limit of 4,096 connections did not depend on the router's memory, and
    // each connection took 36 KB even when idle:
    //   late_ms=1 resident=122793984 connections=2709 here=0 waiting=0 body_bytes=0
    //   front-dk-east-a-18: memory over the limit
    const MEMORY_LIMIT_BYTES: u64 = 64_000_000;
    let fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        vm_keys: "memory = 64MB\n".to_owned(),
        ..Plan::default()
    });
    let address = fleet.callers("r1");
    let forwarded = std::thread::spawn(move || {
        let slow = [("stand-in-tokens", "300"), ("stand-in-pace", "10")];
        http::send(address, "POST", "/assistant", "alpha", &slow, "x")
    });
    let body = "x".repeat(17_000);
    let mut connections = Vec::new();
    for _ in 0..4000 {
        let mut connection = Connection::open(address);
        let answer = connection.ask("/nobody", &body);
        assert!(answer.is_empty() || answer.contains("not-run"), "{answer}");
        connections.push(connection);
    }
    let peak = fleet.vm("r1").peak_memory();
    assert!(
        peak < MEMORY_LIMIT_BYTES,
        "{peak} bytes of {MEMORY_LIMIT_BYTES}"
    );
    let answer = forwarded.join().unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
}

#[test]
fn can_reach_endpoints_while_callers_use_all_connections() {
    // Symptom: requests end with `endpoint-unreachable` although slots are free, new
    // callers fail after a second, and the router logs `accept-failed` (too many
    // open files) 300 times a second.
    // Sequence: callers open connections until the router has no descriptor left.
    // Cause: callers' connections could take all descriptors, also those that are needed
    // for connections to endpoints.
    let fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        max_open_files: Some(200),
        ..Plan::default()
    });
    let address = fleet.callers("r1");
    let mut first = Connection::open(address);
    let mut connections: Vec<Connection> = Vec::new();
    for _ in 0..400 {
        let mut connection = Connection::open(address);
        let answer = connection.ask("/nobody", "x");
        assert!(answer.is_empty() || answer.contains("not-run"), "{answer}");
        connections.push(connection);
    }
    let answer = first.ask("/booking", "x");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let log = fleet.vm("r1").log();
    assert!(!log.contains("accept-failed"), "descriptors ran out");
    drop(connections);
    eventually("a new caller is served again", || {
        http::get(address, "/assistant/again", "alpha").status == 200
    });
}

#[test]
fn can_survive_an_unauthenticated_request_with_a_huge_content_length() {
    // Symptom: a control VM's process aborts after it has answered 401:
    //   memory allocation of 4611686018427387904 bytes failed
    // Sequence: a request without a key on the operators' address announces a body of four
    // exabytes and sends none.
    // Cause: the HTTP library of the operators' interface allocates a buffer of the
    // announced length when it drops a request, to discard the rest of the body.
    let fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        ..Plan::default()
    });
    let address = fleet.vm("c1").operators;
    let head = b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 4611686018427387904\r\n\r\n";
    http::send_raw(address, head, Duration::from_secs(3));
    eventually("the control VM still answers", || fleet.vm("c1").is_ready());
}

/// Guards against new callers being refused because idle connections, left behind by a
/// flood, use up the router's connection limit.
#[test]
fn can_accept_callers_while_idle_connections_fill_the_limit() {
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        ..Plan::default()
    });
    let settings = fleet.vm("r1").settings.clone();
    let text = std::fs::read_to_string(&settings).unwrap();
    let text = text.replace("[callers]\n", "[callers]\nconnections = 40\n");
    std::fs::write(&settings, text).unwrap();
    fleet.vm_mut("r1").kill();
    fleet.vm_mut("r1").start();
    let address = fleet.callers("r1");
    eventually("the router serves requests", || {
        http::get(address, "/assistant/ready", "alpha").status == 200
    });
    let connections: Vec<Connection> = (0..60).map(|_| Connection::open(address)).collect();
    std::thread::sleep(Duration::from_secs(1));
    for _ in 0..30 {
        let answer = Connection::open(address).ask("/booking", "x");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
    drop(connections);
}
