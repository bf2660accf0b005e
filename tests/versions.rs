//! Streams of services whose endpoints have several software versions.

mod harness;
mod versioned;

use harness::http::{self, Answer};
use harness::{eventually, SetOnDrop};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use versioned::{events, Service, TOKENS};

/// Guards against a stream that a router resumes at an endpoint with another software version.
#[test]
fn resumes_a_stream_only_at_the_version_that_began_it() {
    let service = Service::start(2, &["v1", "v2", "v1", "v3", "v2"]);
    let streams: Vec<JoinHandle<Answer>> = (0..30)
        .map(|n| {
            service.begin(
                &format!("r{}", 1 + n % 2),
                &format!("torn-{n}"),
                "tear",
                "10",
            )
        })
        .collect();
    for stream in streams {
        let answer = stream.join().unwrap();
        let (versions, last) = events(&answer);
        assert!(answer.complete, "{}", answer.text());
        assert_eq!(last, Some(11));
        assert_eq!(versions.len(), 12);
        assert!(versions.iter().all(|v| *v == versions[0]), "{versions:?}");
    }
}

/// Guards against a stream that its caller takes up again at another router, and that goes on at
/// another software version or not at all, after the router that began it was killed.
#[test]
fn takes_up_a_stream_of_a_killed_router_at_the_version_that_began_it() {
    let mut service = Service::start(3, &["v1", "v2", "v1", "v2"]);
    let streams: Vec<JoinHandle<Answer>> = (0..24)
        .map(|n| service.begin("r1", &format!("cut-{n}"), "", "150"))
        .collect();
    std::thread::sleep(Duration::from_millis(900));
    service.fleet.vm_mut("r1").kill();
    for (n, stream) in streams.into_iter().enumerate() {
        let cut = stream.join().unwrap();
        let (begun, last) = events(&cut);
        assert!(!cut.complete && !begun.is_empty(), "{}", cut.text());
        let id = cut.header("cowslipford-request-id");
        let router = format!("r{}", 2 + n % 2);
        let answer = service.take_up(&router, &format!("cut-{n}"), id, last.unwrap());
        assert_eq!(answer.status, 200, "{}", answer.text());
        let (versions, last) = events(&answer);
        assert!(answer.complete && last == Some(11), "{}", answer.text());
        assert!(
            versions.iter().all(|v| *v == begun[0]),
            "{begun:?} {versions:?}"
        );
    }
}

/// Guards against a stream of which nobody knows the version, or whose version serves no more, and
/// that goes on at any version, or waits until its deadline.
#[test]
fn rejects_a_stream_whose_version_is_not_known_or_gone() {
    let service = Service::start(2, &["v1", "v2"]);
    let unknown = service.take_up("r1", "unknown", "0000000000000000-0", 3);
    assert_eq!((unknown.status, unknown.outcome()), (503, "not-run"));
    assert!(
        unknown.text().contains("origin-unknown"),
        "{}",
        unknown.text()
    );
    // Streams at the same time are spread over the endpoints.
    let streams: Vec<JoinHandle<Answer>> = (0..6)
        .map(|n| service.begin("r1", &format!("both-{n}"), "", "30"))
        .collect();
    let mut ids = BTreeMap::new();
    for stream in streams {
        let answer = stream.join().unwrap();
        let version = events(&answer).0[0].clone();
        ids.insert(version, answer.header("cowslipford-request-id").to_owned());
    }
    assert_eq!(ids.len(), 2);
    service.list_versions(|version| version == "v2");
    for (version, id) in &ids {
        eventually("the other router knows the list", || {
            let answer = service.take_up("r2", "gone", id, 3);
            match version.as_str() {
                "v1" => answer.status == 503 && answer.text().contains("version-gone"),
                _ => answer.status == 200 && events(&answer).0.iter().all(|v| v == "v2"),
            }
        });
    }
}

/// Streams and tries to take them up again, as callers saw them.
#[derive(Default)]
struct Seen {
    begun: AtomicUsize,
    refused: AtomicUsize,
    /// Tries that reached a router.
    taken_up: AtomicUsize,
    gone_on: AtomicUsize,
    /// Why streams that were taken up did not go on.
    reasons: Mutex<BTreeMap<String, usize>>,
    /// Versions of streams with events of more than one.
    mixed: Mutex<Vec<BTreeSet<String>>>,
}

/// Begins a stream, and takes it up again at other routers when it is cut.
fn follow_stream(routers: &[SocketAddr], rng: &mut Pcg64, label: &str, seen: &Seen) {
    let tokens = TOKENS.to_string();
    let fault = if rng.random_bool(0.1) { "tear" } else { "" };
    let mut headers = vec![
        ("stand-in-ids", "yes".to_owned()),
        ("stand-in-tokens", tokens),
        ("stand-in-pace", "60".to_owned()),
        ("stand-in-fault", fault.to_owned()),
    ];
    let mut versions = BTreeSet::new();
    let mut id = None;
    for _ in 0..3 {
        let router = routers[rng.random_range(0..routers.len())];
        let sent: Vec<(&str, &str)> = headers.iter().map(|(k, v)| (*k, v.as_str())).collect();
        let answer = http::send(router, "POST", "/", "alpha", &sent, label);
        let (written, last) = events(&answer);
        match (&id, answer.status) {
            (_, 0) => {}
            (None, 200) => drop(seen.begun.fetch_add(1, Ordering::Relaxed)),
            (None, _) => drop(seen.refused.fetch_add(1, Ordering::Relaxed)),
            (Some(_), status) => {
                seen.taken_up.fetch_add(1, Ordering::Relaxed);
                let goes_on = status == 200 && !written.is_empty();
                seen.gone_on
                    .fetch_add(usize::from(goes_on), Ordering::Relaxed);
                let refusal: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
                let reason = refusal.as_ref().and_then(|r| r["error"].as_str());
                let reason = reason.unwrap_or("cut before an event");
                if let (false, Ok(mut reasons)) = (goes_on, seen.reasons.lock()) {
                    *reasons.entry(reason.to_owned()).or_default() += 1;
                }
            }
        }
        versions.extend(written);
        if answer.complete && answer.status == 200 {
            break;
        }
        if let Some(last) = last {
            let began = answer.header("cowslipford-request-id").to_owned();
            let id = id.get_or_insert(began).clone();
            headers
                .retain(|(name, _)| !name.starts_with("cowslipford") && *name != "last-event-id");
            headers.push(("cowslipford-resumes", id));
            headers.push(("last-event-id", last.to_string()));
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(20..200)));
    }
    if versions.len() > 1 {
        if let Ok(mut mixed) = seen.mixed.lock() {
            mixed.push(versions);
        }
    }
}

/// Guards against mixed streams, and against streams that are rejected although their version
/// serves, while routers and control VMs are killed and restarted and the list changes.
#[test]
fn mixes_no_versions_while_processes_are_killed() {
    let variable = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().unwrap())
    };
    let seed = variable("VERSIONS_SEED", 1);
    let length = Duration::from_secs(variable("VERSIONS_SECONDS", 12));
    let mut service = Service::start(4, &["v1", "v2", "v3", "v1", "v2", "v3"]);
    let routers: Vec<SocketAddr> = (1..=4)
        .map(|n| service.fleet.callers(&format!("r{n}")))
        .collect();
    let (seen, is_over) = (Seen::default(), AtomicBool::new(false));
    std::thread::scope(|scope| {
        let _set_on_drop = SetOnDrop(&is_over);
        for caller in 0..12 {
            let (routers, seen, is_over) = (&routers, &seen, &is_over);
            scope.spawn(move || {
                let mut rng = Pcg64::seed_from_u64(seed * 1000 + caller);
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    follow_stream(routers, &mut rng, &format!("{caller}-{count}"), seen);
                }
            });
        }
        let mut rng = Pcg64::seed_from_u64(seed);
        let began = Instant::now();
        while began.elapsed() < length {
            std::thread::sleep(Duration::from_millis(rng.random_range(300..900)));
            match rng.random_range(0..4) {
                0 => service.list_versions(|version| version != "v3"),
                1 => service.list_versions(|_| true),
                _ => {}
            }
            let name = match rng.random_range(0..5) {
                0 => format!("c{}", rng.random_range(1..=3)),
                _ => format!("r{}", rng.random_range(1..=4)),
            };
            let vm = service.fleet.vm_mut(&name);
            vm.kill();
            std::thread::sleep(Duration::from_millis(rng.random_range(100..600)));
            service.fleet.vm_mut(&name).start();
        }
    });
    let mixed = seen.mixed.lock().unwrap();
    assert!(mixed.is_empty(), "seed {seed}: {mixed:?}");
    let count = |of: &AtomicUsize| of.load(Ordering::Relaxed);
    let (begun, refused) = (count(&seen.begun), count(&seen.refused));
    let (taken_up, gone_on) = (count(&seen.taken_up), count(&seen.gone_on));
    let reasons = seen.reasons.lock().unwrap();
    println!("not gone on: {reasons:?}");
    println!(
        "seed {seed}: {begun} streams begun, {refused} refused, {gone_on} of {taken_up} went on"
    );
    assert!(taken_up >= 12, "seed {seed}: {taken_up} streams taken up");
    // Half of the share of new streams that begin.
    assert!(
        2 * gone_on * (begun + refused) >= taken_up * begun,
        "seed {seed}: {gone_on} of {taken_up} went on, {begun} began, {refused} were refused"
    );
}
