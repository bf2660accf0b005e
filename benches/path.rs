//! Latency, throughput and memory of one router, compared with direct calls to an
//! endpoint.
//!
//! `cargo bench --bench path` prints the figures of docs/BENCH.md.

#[path = "../tests/harness/mod.rs"]
mod harness;

use harness::{run, Fleet, Plan};
use std::time::Duration;

/// Runs `cowslipford load` with more arguments and returns its result.
fn load(target: &str, more: &[&str]) -> serde_json::Value {
    let mut args = vec!["load", "--target", target];
    args.extend_from_slice(more);
    let done = run(&args, &[] as &[&str]);
    serde_json::from_str(&done.1).unwrap_or_default()
}

/// Resident memory of a process, in kB.
fn rss_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

fn main() {
    let fleet = Fleet::start(Plan {
        routers: 2,
        models: 1,
        plain_services: 1,
        batch: 256,
        ..Plan::default()
    });
    let router = fleet.callers("r1").to_string();
    let find = |name: &str| fleet.stand_ins.iter().find(|s| s.name == name);
    let endpoint = find("booking-1")
        .map(|s| s.address.to_string())
        .unwrap_or_default();
    let idle = rss_kb(fleet.vm("r1").pid());
    // With one caller and an endpoint that answers without delay, the difference to direct
    // calls is the latency that the router adds.
    let single_caller = [
        "--callers",
        "1",
        "--requests",
        "500",
        "--path",
        "/booking",
        "--pace",
        "0",
    ];
    for round in 1..=3 {
        let routed = load(&router, &single_caller);
        let direct = load(&endpoint, &single_caller);
        println!(
            "latency round {round}: direct p50 {} us p99 {}, through router p50 {} us p99 {}",
            direct["whole-us"]["p50"],
            direct["whole-us"]["p99"],
            routed["whole-us"]["p50"],
            routed["whole-us"]["p99"]
        );
    }
    let many_callers = [
        "--callers",
        "32",
        "--requests",
        "6000",
        "--path",
        "/booking",
        "--pace",
        "0",
    ];
    let routed = load(&router, &many_callers);
    let direct = load(&endpoint, &many_callers);
    println!(
        "throughput: direct {}/s, through one router {}/s, statuses {}",
        direct["per-second"], routed["per-second"], routed["statuses"]
    );
    let streams = std::thread::spawn({
        let router = router.clone();
        move || {
            let more = [
                "--callers",
                "200",
                "--requests",
                "200",
                "--tokens",
                "100",
                "--pace",
                "50",
            ];
            load(&router, &more)
        }
    });
    std::thread::sleep(Duration::from_secs(3));
    let busy = rss_kb(fleet.vm("r1").pid());
    println!("memory: after start {idle} kB, with 200 open streams {busy} kB");
    if let Ok(streams) = streams.join() {
        println!(
            "streams: statuses {} errors {}",
            streams["statuses"], streams["errors"]
        );
    }
}
