//! Resource use of a fleet of real processes on one machine, by its size and load, from which
//! docs/CAPACITY.md derives its formulas.
//!
//! `cargo bench --bench capacity` runs all measurements, `cargo bench --bench capacity -- NAME`
//! only one. Most points print one line per group of processes, with a JSON object.

#[path = "../tests/harness/mod.rs"]
mod harness;

use harness::{http, run, Fleet, Plan, Vm, OPERATOR_KEY};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Duration of the measurement of each point.
const POINT_DURATION: Duration = Duration::from_secs(8);

/// Resources that one process has used since its start, and its current memory.
#[derive(Clone, Debug, Default)]
struct Usage {
    /// Bytes of frames sent, by kind of frame.
    frame_bytes: BTreeMap<String, f64>,
    cpu_ms: f64,
    rss_kb: f64,
    /// UDP datagrams sent and received, and the bytes of their payload.
    datagrams: f64,
    datagram_bytes: f64,
}

/// Reads the usage of a process from `/proc` and from its metrics.
fn usage(vm: &Vm) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", vm.pid())).unwrap_or_default();
    let after = stat.rsplit(") ").next().unwrap_or("");
    let fields: Vec<f64> = after.split(' ').map(|f| f.parse().unwrap_or(0.0)).collect();
    // Fields 11 and 12 behind the command name: CPU time in user and kernel mode, in ticks.
    let ticks = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    let status = std::fs::read_to_string(format!("/proc/{}/status", vm.pid())).unwrap_or_default();
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let rss = rss.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
    let metrics = http::get(vm.operators, "/metrics", "").text();
    let metric = |what: &str| {
        let name = format!("cowslipford_links{{what=\"{what}\"}} ");
        let line = metrics.lines().find_map(|l| l.strip_prefix(name.as_str()));
        line.and_then(|l| l.trim().parse().ok()).unwrap_or(0.0)
    };
    let kind = |line: &str| {
        let rest = line.strip_prefix("cowslipford_frames_sent{kind=\"")?;
        let (kind, rest) = rest.split_once("\",what=\"bytes\"} ")?;
        Some((kind.to_owned(), rest.trim().parse().ok()?))
    };
    Usage {
        frame_bytes: metrics.lines().filter_map(kind).collect(),
        // Linux counts 100 ticks per second.
        cpu_ms: ticks * 10.0,
        rss_kb: rss.unwrap_or(0.0),
        datagrams: metric("datagrams"),
        datagram_bytes: metric("datagram_bytes"),
    }
}

/// Mean usage per process and second of a group of processes since `before`, which was read
/// `span` seconds ago; for memory, the current mean per process.
fn mean_usage(
    fleet: &Fleet,
    group: &str,
    before: &BTreeMap<String, Usage>,
    span: f64,
) -> serde_json::Value {
    let vms: Vec<&Vm> = fleet
        .vms
        .iter()
        .filter(|v| is_in_group(fleet, v, group))
        .collect();
    let count = vms.len().max(1) as f64;
    let mut sum = Usage::default();
    for vm in vms {
        let (old, new) = (before.get(&vm.name).cloned().unwrap_or_default(), usage(vm));
        sum.cpu_ms += new.cpu_ms - old.cpu_ms;
        sum.rss_kb += new.rss_kb;
        sum.datagrams += new.datagrams - old.datagrams;
        sum.datagram_bytes += new.datagram_bytes - old.datagram_bytes;
        for (kind, bytes) in new.frame_bytes {
            let grown = bytes - old.frame_bytes.get(&kind).unwrap_or(&0.0);
            *sum.frame_bytes.entry(kind).or_default() += grown / count / span;
        }
    }
    sum.frame_bytes.retain(|_, bytes| *bytes >= 1.0);
    sum.frame_bytes
        .values_mut()
        .for_each(|bytes| *bytes = round(*bytes));
    // The IPv4 and UDP headers add 28 bytes to each datagram.
    let bytes = (sum.datagram_bytes + 28.0 * sum.datagrams) / count / span;
    serde_json::json!({
        "cpu-percent": round(sum.cpu_ms / count / span / 10.0),
        "rss-mb": round(sum.rss_kb / count / 1024.0),
        "bytes-per-second": round(bytes),
        "datagrams-per-second": round(sum.datagrams / count / span),
        "sent-by-kind": sum.frame_bytes,
    })
}

/// Rounds to two decimals.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Whether a VM belongs to a group: control VMs, the VM that is the scheduler now, the other VM
/// that may become it (`r1` or `r2`), or routers that never schedule.
fn is_in_group(fleet: &Fleet, vm: &Vm, group: &str) -> bool {
    match group {
        "control" => vm.name.starts_with('c'),
        "scheduler" => vm.name == fleet.scheduler(),
        "candidate" => ["r1", "r2"].contains(&&*vm.name) && vm.name != fleet.scheduler(),
        _ => vm.name.starts_with('r') && !["r1", "r2"].contains(&&*vm.name),
    }
}

/// Usage of each process, by VM name.
fn usage_by_vm(fleet: &Fleet) -> BTreeMap<String, Usage> {
    fleet
        .vms
        .iter()
        .map(|v| (v.name.clone(), usage(v)))
        .collect()
}

/// A fleet with this number of routers, of which two may schedule.
fn plan(routers: usize) -> Plan {
    Plan {
        routers,
        schedulers: 2,
        models: 4,
        plain_services: 0,
        batch: 16,
        settings: "[router]\nfanout = 4".to_owned(),
        control_keys: "fanout = 8".to_owned(),
        ..Plan::default()
    }
}

/// Prints the mean usage of each group of processes since `before`.
fn report(point: &str, fleet: &Fleet, before: &BTreeMap<String, Usage>, began: Instant) {
    let span = began.elapsed().as_secs_f64();
    println!("{point}: {span:.2} seconds");
    for group in ["control", "scheduler", "candidate", "router"] {
        println!(
            "{point} {group}: {}",
            mean_usage(fleet, group, before, span)
        );
    }
}

/// Usage of a fleet without requests, by the number of routers.
fn idle() {
    measure_idle("idle", "");
}

/// The same with an idle timeout of 6 s for links, and thus a keep-alive only every 2 s.
fn calm() {
    measure_idle("calm", "idle = 6s");
}

/// Measures fleets without requests, with these keys added to `[link]`.
fn measure_idle(name: &str, link_keys: &str) {
    for routers in [4, 12, 24] {
        let link_keys = link_keys.to_owned();
        let fleet = Fleet::start(Plan {
            link_keys,
            ..plan(routers)
        });
        // Links that were opened for queries at the start are closed after 30 s.
        std::thread::sleep(Duration::from_secs(35));
        let (before, began) = (usage_by_vm(&fleet), Instant::now());
        std::thread::sleep(POINT_DURATION);
        report(&format!("{name} routers={routers}"), &fleet, &before, began);
    }
}

/// Usage by the rate of requests, spread over all routers.
fn requests() {
    let fleet = Fleet::start(plan(8));
    for rate in [40, 80, 160] {
        let (before, began) = (usage_by_vm(&fleet), Instant::now());
        let routers: Vec<&Vm> = fleet.vms.iter().filter(|v| v.callers.is_some()).collect();
        let each = f64::from(rate) / routers.len() as f64;
        std::thread::scope(|scope| {
            for vm in &routers {
                let target = vm.callers.map(|c| c.to_string()).unwrap_or_default();
                let count = (each * POINT_DURATION.as_secs_f64()).round().to_string();
                let each = each.to_string();
                scope.spawn(move || {
                    let args = [
                        "load",
                        "--target",
                        &target,
                        "--rate",
                        &each,
                        "--requests",
                        &count,
                        "--callers",
                        "16",
                        "--tokens",
                        "20",
                        "--pace",
                        "5",
                    ];
                    run(&args, &[] as &[&str])
                });
            }
        });
        report(&format!("requests rate={rate}"), &fleet, &before, began);
    }
}

/// Time from the acceptance of a change until it is in force on all VMs, and usage during
/// changes, by the number of routers.
fn changes() {
    for routers in [4, 12, 24] {
        let fleet = Fleet::start(plan(routers));
        let text = fleet.configuration();
        let mut version = config_version(&fleet.vms[0]);
        let mut times = Vec::new();
        // Links are still being opened at first, which must not count as a cost of changes.
        std::thread::sleep(Duration::from_secs(3));
        let (before, began) = (usage_by_vm(&fleet), Instant::now());
        for n in 0..20 {
            let text = text.replace("not today", &format!("not today {n}"));
            let path = format!("/config?id=c{n:x}&base={version}");
            let answer = http::send(
                fleet.vms[0].operators,
                "POST",
                &path,
                OPERATOR_KEY,
                &[],
                &text,
            );
            let accepted = Instant::now();
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            version = body["version"].as_u64().unwrap_or(version);
            let in_force = |vm: &Vm| {
                let config = http::get(vm.operators, "/config", OPERATOR_KEY);
                config.header("cowslipford-version").parse().unwrap_or(0) >= version
            };
            while !fleet.vms.iter().all(in_force) {
                std::thread::sleep(Duration::from_millis(1));
            }
            times.push(accepted.elapsed().as_secs_f64() * 1000.0);
        }
        times.sort_by(f64::total_cmp);
        let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "changes routers={routers} ms until in force, polling one VM after the other: \
             median {median:.1} max {max:.1}"
        );
        report(
            &format!("changes routers={routers}"),
            &fleet,
            &before,
            began,
        );
    }
}

/// Usage, above all memory, by the size of the configuration.
fn sizes() {
    for customers in [16, 90, 270] {
        let fleet = Fleet::start(plan(3));
        let mut text = fleet.configuration();
        for n in 0..customers {
            let key = state::secret::Hash::of(&[format!("more-{n}").as_bytes()]).hex();
            text.push_str(&format!(
                "[customer more-{n}]\nkey-sha256 = {key}\nservices = assistant\n"
            ));
        }
        for n in 0..customers * 4 {
            text.push_str(&format!(
                "[endpoint more-{n}]\nservice = nobody\naddress = 127.0.0.1:9\n\
                 data-centre = dc-9\n"
            ));
        }
        let applied = fleet.apply(&text, &[]);
        assert!(applied.0.success(), "{}", applied.2);
        fleet.wait_version(fleet.version());
        std::thread::sleep(Duration::from_secs(2));
        let (before, began) = (usage_by_vm(&fleet), Instant::now());
        std::thread::sleep(Duration::from_secs(3));
        report(
            &format!("sizes customers={customers}"),
            &fleet,
            &before,
            began,
        );
    }
}

/// Version of the configuration in force, on which the next change must be based.
fn config_version(vm: &Vm) -> u64 {
    let config = http::get(vm.operators, "/config", OPERATOR_KEY);
    config.header("cowslipford-version").parse().unwrap_or(0)
}

/// Value of a `cowslipford_control` metric of a control VM.
fn control_metric(fleet: &Fleet, vm: &str, what: &str) -> f64 {
    let metrics = http::get(fleet.vm(vm).operators, "/metrics", "").text();
    let name = format!("cowslipford_control{{what=\"{what}\"}} ");
    let line = metrics.lines().find_map(|l| l.strip_prefix(name.as_str()));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or(0.0)
}

/// The replicated log: throughput and storage cost of changes and of idempotency claims, and
/// the time without a leader after the leader is killed.
fn control() {
    let mut fleet = Fleet::start(Plan {
        plain_services: 1,
        ..plan(4)
    });
    let text = fleet.configuration();
    let leader = fleet.leader();
    let mut version = config_version(&fleet.vms[0]);
    let mut change = |fleet: &Fleet, vm: &str, n: u32| {
        let text = text.replace("not today", &format!("not today {n}"));
        let path = format!("/config?id={n:x}{version:x}&base={version}");
        let answer = http::send(
            fleet.vm(vm).operators,
            "POST",
            &path,
            OPERATOR_KEY,
            &[],
            &text,
        );
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        version = body["version"].as_u64().unwrap_or(version);
        answer.status
    };
    let read = |fleet: &Fleet| {
        std::thread::sleep(Duration::from_millis(1200));
        let metric = |what| control_metric(fleet, &leader, what);
        (metric("syncs"), metric("log_bytes"), metric("accepted"))
    };
    let before = read(&fleet);
    let began = Instant::now();
    for n in 1..=200 {
        assert_eq!(change(&fleet, &leader, n), 200);
    }
    let seconds = began.elapsed().as_secs_f64();
    let after = read(&fleet);
    println!(
        "control changes: {:.0} per second in sequence, {:.2} syncs and {:.0} bytes each",
        200.0 / seconds,
        (after.0 - before.0) / 200.0,
        (after.1 - before.1) / 200.0
    );
    for callers in ["1", "32"] {
        let target = fleet.callers("r1").to_string();
        let before = read(&fleet);
        let args = [
            "load",
            "--target",
            &target,
            "--path",
            "/booking",
            "--requests",
            "1000",
            "--callers",
            callers,
            "--pace",
            "0",
            "--keys",
        ];
        let done = run(&args, &[] as &[&str]);
        let done: serde_json::Value = serde_json::from_str(&done.1).unwrap_or_default();
        let after = read(&fleet);
        println!(
            "control claims, {callers} callers: {} requests per second, p50 {} us, {:.2} syncs, \
             {:.0} bytes and {:.2} records each, statuses {}",
            done["per-second"],
            done["whole-us"]["p50"],
            (after.0 - before.0) / 1000.0,
            (after.1 - before.1) / 1000.0,
            (after.2 - before.2) / 1000.0,
            done["statuses"]
        );
    }
    let mut times = Vec::new();
    for n in 1..=7 {
        let leader = fleet.leader();
        let other = fleet
            .vms
            .iter()
            .find(|v| v.name.starts_with('c') && v.name != leader);
        let other = other.map(|v| v.name.clone()).unwrap_or_default();
        fleet.vm_mut(&leader).kill();
        let began = Instant::now();
        while change(&fleet, &other, 1000 + n) != 200 {}
        times.push(began.elapsed().as_millis());
        fleet.vm_mut(&leader).start();
        fleet.wait_ready();
        std::thread::sleep(Duration::from_secs(2));
    }
    times.sort_unstable();
    println!("control leader killed: ms to the next accepted change {times:?}");
}

/// Time to record one event in the journal.
fn events() {
    let journal = node::Journal::new(transport::clock::Clock::default(), 4096);
    let count = 1_000_000;
    let began = Instant::now();
    for n in 0..count {
        let id = state::id::RequestId {
            router: 1,
            count: n,
        };
        journal.record(state::event::Event::new(state::event::Kind::Sent).request(id));
    }
    let each = began.elapsed().as_nanos() as f64 / count as f64;
    println!("events: {each:.0} ns each");
}

fn main() {
    let selected = std::env::args().find(|a| !a.starts_with('-') && !a.contains('/'));
    let is_selected = |name: &str| selected.as_deref().is_none_or(|s| s == name);
    for (name, measure) in [
        ("events", events as fn()),
        ("idle", idle),
        ("calm", calm),
        ("requests", requests),
        ("changes", changes),
        ("sizes", sizes),
        ("control", control),
    ] {
        if is_selected(name) {
            measure();
        }
    }
}
