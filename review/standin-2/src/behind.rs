//! A router that stood still while the config changed often stays behind for good.

use crate::fleet::{attempt_id, now_ms, note, sleep_ms, Fleet, Result};
use crate::fleet::{CONFIG_APPLY, CONTACT_WINDOW, CONT, STOP};
use crate::http::{request, Channel};
use std::fmt::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Routes: eight, and two times 350 more, as many as a `big_config` of the site adds.
const ROUTES: [usize; 3] = [8, 358, 708];
/// Length of the storm of changes, and the pause between two of them (`config_storm` of the site).
const STORM: Duration = Duration::from_millis(4000);
const GAP: Duration = Duration::from_millis(80);
/// Time for which the machine stands still (`node_freeze`, whose usual length is 5 s).
const FREEZE_MS: u64 = 5000;
/// Time for which requests are sent after the last bound.
const WATCH_MS: u64 = 12_000;

/// A config of some routes, which all have this kind, service and time-out.
pub fn config(version: u64, count: usize, kind: &str, service: &str, timeout_ms: u64) -> String {
    let attempts = if kind == "safe" { 2 } else { 1 };
    let mut routes = String::new();
    for n in 0..count {
        let comma = if n > 0 { "," } else { "" };
        let _ = write!(
            routes,
            "{comma}{{\"name\":\"r-trainer-availability-gym-{n:04}-lookup\",\
             \"host\":\"gym-{n:04}.booking.member-companies.faellesbook.example\",\
             \"path_prefix\":\"/v1/gyms/{n:04}/trainer-availability/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":{attempts},\"allow_anonymous\":true,\
             \"session_affinity\":false,\"stream_resumption\":false}}"
        );
    }
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":96,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"asnmgkcuyj8pjbvk9m68\"],\"priority\":1}}]}}",
        service("booking-blue"),
        service("booking-green")
    )
}

/// A request of a client and what became of it.
struct Sent {
    at_ms: u64,
    router: usize,
    /// Status and body; 0 if the channel failed.
    status: u16,
    body: String,
}

/// Sends a lookup every 100 ms on a kept channel to a router, until `stop`.
fn client(
    fleet: &Fleet,
    router: usize,
    stop: Arc<AtomicBool>,
    all: Arc<Mutex<Vec<Sent>>>,
) -> std::thread::JoinHandle<()> {
    let (address, name) = (fleet.routers[router].address(), fleet.routers[router].name.clone());
    std::thread::spawn(move || {
        let mut channel = None;
        while !stop.load(Ordering::Relaxed) {
            let next = Instant::now() + Duration::from_millis(100);
            let attempt = attempt_id();
            let headers = [
                ("Host", "gym-0007.booking.member-companies.faellesbook.example"),
                ("Attempt-Id", attempt.as_str()),
                ("Deadline-Ms", "2500"),
            ];
            let bytes = request("GET", "/v1/gyms/0007/trainer-availability/2f", &headers, b"");
            let at_ms = now_ms();
            let open = channel.take().map(Ok);
            let open = open.unwrap_or_else(|| Channel::open(address, Duration::from_secs(1)));
            let answer = open.and_then(|mut open: Channel| {
                let answer = open.call(&bytes, Duration::from_millis(2500))?;
                let closes = answer.header("connection").is_some_and(|v| v == "close");
                channel = (!closes).then_some(open);
                Ok(answer)
            });
            let (status, body) = answer.map_or((0, String::new()), |a| (a.status(), a.text()));
            let short = body.lines().next().unwrap_or("").chars().take(90).collect::<String>();
            note(&format!("client: {attempt} to {name} sent at {at_ms} ms: {status} {short}"));
            all.lock().unwrap().push(Sent { at_ms, router, status, body });
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    })
}

pub fn run(repository: &Path, has_trouble: bool) -> Result<bool> {
    let mut fleet = Fleet::new(repository)?;
    for service in ["booking-blue", "booking-blue", "booking-green", "booking-green"] {
        fleet.add_replica(service)?;
    }
    // Ten machines: one that stands still is a share of 0.1.
    fleet.start(7)?;
    let mut version = 10;
    for count in ROUTES {
        version += 3;
        fleet.put(version, &config(version, count, "safe", "booking-blue", 1200))?;
    }
    let count = ROUTES[2];
    fleet.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let all = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> =
        (0..2).map(|n| client(&fleet, n, stop.clone(), all.clone())).collect();
    // Longer than the contact window: all machines are in touch.
    sleep_ms(4000);

    let storm_at = Instant::now();
    let frozen_at = now_ms();
    if has_trouble {
        fleet.routers[0].signal(STOP, "stands still (SIGSTOP)");
    }
    let mut changes = 0;
    while storm_at.elapsed() < STORM {
        let next = Instant::now() + GAP;
        version += 3;
        changes += 1;
        fleet.put(version, &config(version, count, "safe", "booking-blue", 1200 + changes))?;
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    // The last change moves the routes to the other service.
    version += 3;
    let acknowledged_ms = fleet.put(version, &config(version, count, "safe", "booking-green", 1200))?;
    note(&format!("config {version} moves all routes to booking-green; {changes} changes before it"));
    let left = (frozen_at + FREEZE_MS).saturating_sub(now_ms());
    sleep_ms(left);
    if has_trouble {
        fleet.routers[0].signal(CONT, "goes on (SIGCONT)");
    }
    let thawed_ms = now_ms();
    let in_touch_ms = thawed_ms + CONTACT_WINDOW.as_millis() as u64;
    let bound_ms = (acknowledged_ms + CONFIG_APPLY.as_millis() as u64).max(in_touch_ms);
    sleep_ms((bound_ms + WATCH_MS).saturating_sub(now_ms()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let all = all.lock().unwrap();
    for router in 0..2 {
        let late = all.iter().filter(|s| s.router == router && s.at_ms > bound_ms);
        let by = |service: &str| {
            late.clone().filter(|s| s.status == 200 && s.body.starts_with(service)).count()
        };
        note(&format!(
            "{}: sent later than {bound_ms} ms: {}; run by booking-blue: {}, by booking-green: {}",
            fleet.routers[router].name,
            late.clone().count(),
            by("booking-blue"),
            by("booking-green"),
        ));
    }
    let lost: usize = (fleet.control.iter())
        .map(|m| m.logged().matches("\"message-lost\"").count())
        .sum();
    note(&format!("lines 'message-lost' of the control machines: {lost}"));
    let is_old = |s: &&Sent| s.at_ms > bound_ms && s.status == 200 && s.body.starts_with("booking-blue");
    Ok(all.iter().filter(is_old).count() > 0)
}
