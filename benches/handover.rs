//! Processor time of a router for a request that it serves and for one that it hands over.
//!
//! `cargo bench --bench handover` prints the figures of docs/BENCH.md.

#[path = "../tests/harness/mod.rs"]
mod harness;

use harness::{http, run, Fleet, Plan};

/// Requests of one round. At 100 processor ticks a second, the error of a round is below 0.01 ms
/// a request.
const REQUESTS: u64 = 4000;
/// Requests per second, more than a router serves itself without having found out that it can.
const RATE: u64 = 1200;
/// Processor ticks a second.
const TICKS_PER_S: f64 = 100.0;

/// Processor time of a process so far, in milliseconds.
fn processor_ms(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|t| t.parse::<f64>().ok()).sum();
    ticks * 1000.0 / TICKS_PER_S
}

/// A counter of a VM.
fn counter(fleet: &Fleet, vm: &str, name: &str) -> f64 {
    let page = http::get(fleet.vm(vm).operators, "/metrics", harness::OPERATOR_KEY).text();
    let line = page.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or(0.0)
}

/// Processor time, in milliseconds, and requests handed over, of one round.
fn round(fleet: &Fleet, events: u64) -> (f64, f64, String) {
    let name = "cowslipford_requests_handed_over_total ";
    let pid = fleet.vm("r1").pid();
    let before = (processor_ms(pid), counter(fleet, "r1", name));
    let target = fleet.callers("r1").to_string();
    let (events, requests) = (events.to_string(), REQUESTS.to_string());
    let rate = RATE.to_string();
    let args = [
        "load",
        "--target",
        &target,
        "--callers",
        "256",
        "--requests",
        &requests,
        "--rate",
        &rate,
        "--tokens",
        &events,
        "--pace",
        "5",
    ];
    let done = run(&args, &[] as &[&str]);
    let result: serde_json::Value = serde_json::from_str(&done.1).unwrap_or_default();
    let spent = processor_ms(pid) - before.0;
    let handed_over = counter(fleet, "r1", name) - before.1;
    let text = format!(
        "{}/s, statuses {}, errors {}, p50 {} us",
        result["per-second"], result["statuses"], result["errors"], result["whole-us"]["p50"]
    );
    (spent, handed_over, text)
}

fn main() {
    let fleet = |handover: &str| {
        Fleet::start(Plan {
            control: 1,
            routers: 13,
            schedulers: 1,
            models: 4,
            plain_services: 1,
            batch: 256,
            settings: format!("[router]\nqueue-customer = 4096\nhandover = {handover}\n"),
            ..Plan::default()
        })
    };
    let plain = fleet("no");
    let flooded = fleet("yes");
    for events in [20, 30] {
        for n in 1..=3 {
            let (spent, _, text) = round(&plain, events);
            // CAST: exact below 2^52.
            let served = spent / REQUESTS as f64;
            println!("{events} events, round {n}, served: {served:.3} ms a request ({text})");
            let (spent, handed_over, text) = round(&flooded, events);
            let rest = REQUESTS as f64 - handed_over;
            let each = (spent - rest * served) / handed_over.max(1.0);
            println!(
                "{events} events, round {n}, handed over: {each:.3} ms a request, for {handed_over} of \
                 them ({text})"
            );
        }
    }
}
