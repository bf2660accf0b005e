//! Added latency, throughput and memory of one router, beside direct calls.
//!
//! `cargo bench --bench path` prints the figures of docs/BENCH.md.

#[path = "../tests/harness/mod.rs"]
mod harness;

use harness::{run, Fleet, Plan};
use std::time::Duration;

fn load(target: &str, more: &[&str]) -> serde_json::Value {
    let mut args = vec!["load", "--target", target];
    args.extend_from_slice(more);
    let done = run(&args, &[] as &[&str]);
    serde_json::from_str(&done.1).unwrap_or_default()
}

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
    let direct = find("booking-1")
        .map(|s| s.address.to_string())
        .unwrap_or_default();
    let idle = rss_kb(fleet.vm("r1").pid());
    // One caller, an answer without delay: what remains is the way.
    let one = [
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
        let through = load(&router, &one);
        let beside = load(&direct, &one);
        println!(
            "latency round {round}: direct p50 {} us p99 {}, through p50 {} us p99 {}",
            beside["whole-us"]["p50"],
            beside["whole-us"]["p99"],
            through["whole-us"]["p50"],
            through["whole-us"]["p99"]
        );
    }
    let many = [
        "--callers",
        "32",
        "--requests",
        "6000",
        "--path",
        "/booking",
        "--pace",
        "0",
    ];
    let through = load(&router, &many);
    let beside = load(&direct, &many);
    println!(
        "throughput: direct {}/s, through one router {}/s, statuses {}",
        beside["per-second"], through["per-second"], through["statuses"]
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
