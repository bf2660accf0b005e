//! Processor time of a router for a request that it serves and for one that it hands over.
//!
//! `cargo bench --bench handover` prints the figures of docs/BENCH.md.

#[path = "../tests/harness/mod.rs"]
mod harness;

use harness::{http, run, Fleet, Plan};

/// Requests of one round. At 100 processor ticks a second, the error of a round is below 0.01 ms
/// a request.
const REQUESTS: u64 = 3000;
/// Requests per second, as many as the bound on requests in progress at peers allows.
const RATE: u64 = 300;
/// Time between two events, in milliseconds, as engines under load send them.
const PACE: &str = "25";
/// The router that is measured. The only scheduler is at another one, `r1`.
const FLOODED: &str = "r4";
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
    let pid = fleet.vm(FLOODED).pid();
    let before = (processor_ms(pid), counter(fleet, FLOODED, name));
    let target = fleet.callers(FLOODED).to_string();
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
        PACE,
    ];
    let done = run(&args, &[] as &[&str]);
    let result: serde_json::Value = serde_json::from_str(&done.1).unwrap_or_default();
    let spent = processor_ms(pid) - before.0;
    let handed_over = counter(fleet, FLOODED, name) - before.1;
    let text = format!(
        "{}/s, statuses {}, errors {}, p50 {} us",
        result["per-second"], result["statuses"], result["errors"], result["whole-us"]["p50"]
    );
    (spent, handed_over, text)
}

/// A way in which the router treats requests, and the settings for it.
struct Way {
    name: &'static str,
    settings: &'static str,
}

/// The ways that are compared. The first is that of a router that serves its requests itself.
const WAYS: [Way; 4] = [
    Way {
        name: "served",
        settings: "handover = no\n",
    },
    Way {
        name: "handed over, each event as it arrives",
        settings: "handover = yes\nrelay-interval = 0ms\n",
    },
    Way {
        name: "handed over, read every 50 ms",
        settings: "handover = yes\nrelay-interval = 50ms\n",
    },
    Way {
        name: "handed over, read every 80 ms",
        settings: "handover = yes\nrelay-interval = 80ms\n",
    },
];

fn fleet(way: &Way) -> Fleet {
    Fleet::start(Plan {
        control: 1,
        routers: 13,
        schedulers: 1,
        models: 4,
        plain_services: 1,
        batch: 256,
        settings: format!("[router]\nqueue-customer = 4096\n{}", way.settings),
        ..Plan::default()
    })
}

/// Prints the processor time of a request in two rounds. `served` is the time of one that is
/// served, by which those that were not handed over are subtracted. Returns the mean.
fn measure(way: &Way, fleet: &Fleet, events: u64, served: Option<f64>) -> f64 {
    let mut mean = 0.0;
    for n in 1..=2 {
        let (spent, handed_over, text) = round(fleet, events);
        let (each, number) = match served {
            // CAST: exact below 2^52.
            None => (spent / REQUESTS as f64, REQUESTS as f64),
            Some(served) => {
                // CAST: exact below 2^52.
                let rest = REQUESTS as f64 - handed_over;
                let each = (spent - rest * served) / handed_over.max(1.0);
                (each, handed_over)
            }
        };
        println!(
            "{events} events, round {n}, {}: {each:.3} ms a request, for {number} of them ({text})",
            way.name
        );
        mean += each / 2.0;
    }
    mean
}

fn main() {
    let mut served = Vec::new();
    for way in &WAYS {
        let fleet = fleet(way);
        let is_handed_over = way.settings.contains("handover = yes");
        if is_handed_over {
            let operators = fleet.vm(FLOODED).operators;
            let path = "/fault/press?on=yes";
            http::send(operators, "POST", path, harness::OPERATOR_KEY, &[], "");
        }
        for (index, events) in [20, 30].into_iter().enumerate() {
            let each = measure(way, &fleet, events, served.get(index).copied());
            if !is_handed_over {
                served.push(each);
            }
        }
        for vm in fleet.vms.iter().filter(|_| is_handed_over) {
            let page = http::get(vm.operators, "/metrics", harness::OPERATOR_KEY).text();
            let is_wanted = |l: &&str| {
                let frames = l.starts_with("cowslipford_frames_sent");
                frames && (l.contains("occupancy") || l.contains("peers"))
            };
            for line in page.lines().filter(is_wanted) {
                println!("{}: {line}", vm.name);
            }
        }
    }
}
