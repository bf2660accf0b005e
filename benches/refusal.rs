//! Processor time that a router spends on a request that it serves, refuses or closes unread.
//!
//! `cargo bench --bench refusal` prints the figures of docs/BENCH.md. Each request has a
//! connection of its own. The processor time is that of the whole process, less what it takes
//! without requests in the same time.
#![expect(
    clippy::unwrap_used,
    reason = "a helper that panics fails the benchmark"
)]

#[path = "../tests/harness/mod.rs"]
mod harness;

use harness::{eventually, http, Fleet, Plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Requests of one round.
const REQUESTS: usize = 4000;
/// Rounds of each kind.
const ROUNDS: usize = 3;
/// Callers that send at the same time.
const CALLERS: usize = 4;
/// Bytes of the body of each request.
const BODY_BYTES: usize = 2000;

/// A router with room for some connections.
fn start(connections: usize, answer_excess: &str) -> Fleet {
    // Requests that are refused as busy have no log line beyond 20 a second.
    let settings = format!("[router]\nanswer-excess = {answer_excess}\n[log]\nlevel = warn\n");
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        batch: 64,
        settings,
        ..Plan::default()
    });
    let file = fleet.vm("r1").settings.clone();
    let text = std::fs::read_to_string(&file).unwrap();
    let keys = format!("[callers]\nconnections = {connections}\n");
    std::fs::write(&file, text.replace("[callers]\n", &keys)).unwrap();
    fleet.vm_mut("r1").kill();
    fleet.vm_mut("r1").start();
    let address = fleet.callers("r1");
    eventually("the router serves requests", || {
        http::get(address, "/assistant/ready", "alpha").status == 200
    });
    fleet
}

/// Takes places of the router with streams that have an event each two seconds.
fn fill(address: SocketAddr, places: usize) -> Vec<TcpStream> {
    let streams = (0..places).map(|_| {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(
                b"GET /assistant HTTP/1.1\r\nhost: a\r\nauthorization: Bearer alpha\r\n\
                  stand-in-tokens: 28\r\nstand-in-pace: 2000\r\n\r\n",
            )
            .unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).unwrap();
        assert_eq!(&head, b"HTTP/1.1 200");
        stream
    });
    streams.collect()
}

/// Processor time of a process, user and system.
fn processor_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let (_, fields) = stat.rsplit_once(')').unwrap();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(|ticks| ticks.parse::<u64>().unwrap())
        .sum();
    Duration::from_millis(ticks * 10)
}

/// Sends requests and counts their status lines; an empty one stands for no response.
fn send(address: SocketAddr, extra: &'static str) -> Vec<(String, usize)> {
    let callers = (0..CALLERS).map(|_| {
        std::thread::spawn(move || {
            let body = "x".repeat(BODY_BYTES);
            let request = format!(
                "POST /booking HTTP/1.1\r\nhost: a\r\nauthorization: Bearer alpha\r\n\
                 connection: close\r\n{extra}content-length: {BODY_BYTES}\r\n\r\n{body}"
            );
            let statuses = (0..REQUESTS / CALLERS).map(|_| {
                let mut stream = TcpStream::connect(address).unwrap();
                let _ = stream.write_all(request.as_bytes());
                let mut answer = Vec::new();
                let _ = stream.read_to_end(&mut answer);
                let line = answer.split(|byte| *byte == b'\r').next().unwrap_or(&[]);
                String::from_utf8_lossy(line).into_owned()
            });
            statuses.collect::<Vec<_>>()
        })
    });
    let callers: Vec<_> = callers.collect();
    let statuses = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap());
    let mut counts = std::collections::BTreeMap::new();
    for status in statuses {
        *counts.entry(status).or_insert(0) += 1;
    }
    counts.into_iter().collect()
}

/// Measures some rounds of requests of one kind.
fn measure(what: &str, fleet: &Fleet, extra: &'static str) {
    let (address, pid) = (fleet.callers("r1"), fleet.vm("r1").pid());
    let idle_from = processor_time(pid);
    std::thread::sleep(Duration::from_secs(2));
    let idle_per_s = (processor_time(pid) - idle_from) / 2;
    for round in 1..=ROUNDS {
        let (from, began) = (processor_time(pid), Instant::now());
        let statuses = send(address, extra);
        let took = began.elapsed();
        let used = processor_time(pid) - from;
        let used = used.saturating_sub(idle_per_s.mul_f64(took.as_secs_f64()));
        let each_us = used.as_secs_f64() * 1e6 / REQUESTS as f64;
        println!("{what}, round {round}: {each_us:.0} us each, {took:.1?}, {statuses:?}");
    }
}

fn main() {
    let fleet = start(1000, "no");
    measure("served", &fleet, "");
    // The request is refused right after the check of lateness, and its body is discarded, as that
    // of a request that is refused as busy.
    measure("refused after admission", &fleet, "host: b\r\n");
    drop(fleet);
    let fleet = start(40, "no");
    let streams = fill(fleet.callers("r1"), 40);
    measure("closed unread", &fleet, "");
    drop((streams, fleet));
    let fleet = start(40, "yes");
    let streams = fill(fleet.callers("r1"), 36);
    measure("refused without being served", &fleet, "");
    drop((streams, fleet));
}
