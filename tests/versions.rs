//! Streams of services whose endpoints have several software versions.

mod harness;

use harness::http::{self, Answer};
use harness::{eventually, Fleet, Plan, SetOnDrop};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::secret::Hash;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of events of each stream.
const TOKENS: u32 = 12;

/// The platform's list of endpoints.
struct List {
    server: Arc<tiny_http::Server>,
    page: Arc<Mutex<String>>,
    thread: Option<JoinHandle<()>>,
}

impl List {
    fn start() -> std::io::Result<Self> {
        let server = tiny_http::Server::http("127.0.0.1:0").map_err(std::io::Error::other)?;
        let server = Arc::new(server);
        let page = Arc::new(Mutex::new(r#"{"endpoints":[],"next":null}"#.to_owned()));
        let (listener, body) = (server.clone(), page.clone());
        let thread = std::thread::spawn(move || {
            while let Ok(request) = listener.recv() {
                let body = body.lock().map(|page| page.clone()).unwrap_or_default();
                let _ = request.respond(tiny_http::Response::from_string(body));
            }
        });
        Ok(List {
            server,
            page,
            thread: Some(thread),
        })
    }

    /// Lists endpoints of the service, each with its name, address and version.
    fn set(&self, endpoints: &[(String, SocketAddr, String)]) {
        let row = |(name, address, version): &(String, SocketAddr, String)| {
            serde_json::json!({
                "name": name, "service": "assistant", "address": address,
                "data-centre": "dc-1", "slots": 16, "version": version,
            })
        };
        let rows: Vec<_> = endpoints.iter().map(row).collect();
        if let Ok(mut page) = self.page.lock() {
            *page = serde_json::json!({"endpoints": rows, "next": null}).to_string();
        }
    }
}

impl Drop for List {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already failed the test.
            let _ = thread.join();
        }
    }
}

/// A fleet with stand-ins of these versions, which the platform lists.
struct Service {
    fleet: Fleet,
    list: List,
    versions: Vec<String>,
}

impl Service {
    #[expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]
    fn start(routers: usize, versions: &[&str]) -> Self {
        let list = List::start().unwrap();
        let address = list.server.server_addr();
        let mut fleet = Fleet::start_unconfigured(Plan {
            control: 3,
            routers,
            models: 0,
            plain_services: 0,
            batch: 16,
            settings: format!(
                "[listing]\naddress = {address}\nevery = 100ms\n\
                 [router]\nresume = yes\nretry-extra = 300\n"
            ),
            ..Plan::default()
        });
        for (n, version) in versions.iter().enumerate() {
            let name = format!("assistant-{n}");
            fleet.add_stand_in_with(&name, false, &["--software", version]);
        }
        let service = Service {
            fleet,
            list,
            versions: versions.iter().map(|v| (*v).to_owned()).collect(),
        };
        service.list_versions(|_| true);
        let key = Hash::of(&[b"alpha"]).hex();
        let text = format!(
            "[customer alpha]\nkey-sha256 = {key}\nservices = assistant\n\
             [service assistant]\ncost = event\nidempotent = yes\n\
             [rule assistant]\nthen = send\nservice = assistant\nresume = yes\n"
        );
        let (status, _, error) = service.fleet.apply(&text, &[]);
        assert!(status.success(), "{error}");
        service.fleet.wait_version(service.fleet.version());
        for n in 1..=routers {
            let router = service.fleet.callers(&format!("r{n}"));
            eventually("a router serves requests", || {
                http::get(router, "/", "alpha").status == 200
            });
        }
        service
    }

    /// Lists the endpoints whose versions `is_listed` accepts.
    fn list_versions<F>(&self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        let all = self.fleet.stand_ins.iter().zip(&self.versions);
        let listed = all.filter(|(_, version)| is_listed(version));
        let listed = listed.map(|(s, version)| (s.name.clone(), s.address, version.clone()));
        self.list.set(&listed.collect::<Vec<_>>());
    }

    /// Begins a stream at a router.
    fn begin(&self, router: &str, label: &str, fault: &str, pace: &str) -> JoinHandle<Answer> {
        let tokens = TOKENS.to_string();
        let (address, label) = (self.fleet.callers(router), label.to_owned());
        let (fault, pace) = (fault.to_owned(), pace.to_owned());
        std::thread::spawn(move || {
            let headers = [
                ("stand-in-ids", "yes"),
                ("stand-in-tokens", &*tokens),
                ("stand-in-pace", &*pace),
                ("stand-in-fault", &*fault),
            ];
            http::send(address, "POST", "/", "alpha", &headers, &label)
        })
    }

    /// Takes a stream up again at a router, after the events that its caller has.
    fn take_up(&self, router: &str, label: &str, id: &str, last: usize) -> Answer {
        let last = last.to_string();
        let tokens = TOKENS.to_string();
        let headers = [
            ("stand-in-ids", "yes"),
            ("stand-in-tokens", &*tokens),
            ("cowslipford-resumes", id),
            ("last-event-id", &*last),
        ];
        self.fleet.call(router, "alpha", "/", &headers, label)
    }
}

/// Version of each whole event of an answer, and the number of its last event.
fn events(answer: &Answer) -> (Vec<String>, Option<usize>) {
    let text = answer.text();
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let data = whole.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<serde_json::Value> = data
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let version = |event: &serde_json::Value| event["software"].as_str().map(str::to_owned);
    let last = events.last().and_then(|event| event["token"].as_u64());
    (
        events.iter().filter_map(version).collect(),
        last.and_then(|last| usize::try_from(last).ok()),
    )
}

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
