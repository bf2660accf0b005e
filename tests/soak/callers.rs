//! Callers with keep-alive connections, a flood, and probes of the configuration in force.

use super::check::{End, Kind, Observations, Request, Revoked, REVOKED};
use super::harness::http::{request, Answer, Client};
use super::harness::slow::Slow;
use http_body_util::Either;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Timeout of a caller for its answer. Longer than the timeout of the services, so that a
/// router can report a timeout to its caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a probe, and of a request to an operators' interface.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two probes of a router.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a revoked key must be refused everywhere; set in the settings.
pub(crate) const REVOCATION: Duration = Duration::from_secs(2);
/// Callers of each customer, spread over the routers.
const CALLERS_PER_CUSTOMER: u64 = 4;
/// Callers of each router whose requests come in slowly.
const UPLOADERS_PER_ROUTER: u64 = 3;
/// Time for which their bodies come in, in milliseconds. Routers refuse customers whose requests are
/// older than the proof of the configuration may be.
const UPLOAD_MS: std::ops::Range<u64> = 100..1500;
/// Concurrent connections of the customer that floods a router: many times its usual number.
const FLOOD_CONNECTIONS: u64 = 80;
/// Answers that each other customer must get from a flooded router.
const ANSWERS_DURING_FLOOD: u32 = 5;
/// Events of each stream of a flood and of the other customers meanwhile; endpoints inject
/// no fault into streams of this length.
const EVENTS_DURING_FLOOD: u32 = 5;
/// Timeout for answers during a flood, and for the recovery after faults.
pub(crate) const RECOVERY_TIMEOUT: Duration = Duration::from_secs(90);

/// Name of the request that crashes each model engine that runs it.
pub(crate) const QUERY_OF_DEATH: &str = "query-of-death";

/// Label of the requests with [`DEADLY_PART`].
pub(crate) const PART_OF_DEATH: &str = "part-of-death";
/// Part of a prompt that crashes each model engine that answers a request with it.
pub(crate) const DEADLY_PART: &str = "dead";

/// Addresses of a router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) direct: SocketAddr,
    pub(crate) proxied: SocketAddr,
}

/// State shared by callers, operator and checks.
pub(crate) struct Shared {
    pub(crate) seed: u64,
    pub(crate) routes: Vec<Route>,
    pub(crate) observations: Observations,
    /// Whether callers are to end.
    pub(crate) stop: AtomicBool,
    /// Whether callers are to stop sending the query of death.
    pub(crate) stop_crashes: AtomicBool,
    /// Number of the next request.
    pub(crate) names: AtomicU32,
    /// How often each router was killed or paused.
    pub(crate) disturbances: Vec<AtomicU32>,
}

impl Shared {
    /// A request with a unique name.
    pub(crate) fn request(&self, who: &str, kind: Kind) -> Request {
        let number = self.names.fetch_add(1, Ordering::Relaxed);
        Request {
            name: format!("{who}-{number}"),
            attempt: 0,
            kind,
        }
    }
}

/// Sends a request and records its answer.
pub(crate) async fn send(
    shared: &Shared,
    client: &mut Client,
    customer: &str,
    sent: &Request,
    pace: u32,
    key: Option<&str>,
) -> End {
    let label = sent.label();
    let fault = fault(sent);
    let pace = pace.to_string();
    let (path, tokens) = match sent.kind {
        Kind::Stream(tokens) => ("/assistant", tokens.to_string()),
        Kind::Booking => ("/booking", "1".to_owned()),
    };
    let mut headers = vec![
        ("stand-in-id", label.as_str()),
        ("stand-in-pace", pace.as_str()),
        ("stand-in-tokens", tokens.as_str()),
        ("stand-in-ids", "yes"),
        ("stand-in-fault", fault),
    ];
    if sent.is_unframed() {
        headers.push(("stand-in-framing", "close"));
    }
    if sent.name == QUERY_OF_DEATH {
        // It crashes the endpoint at which its stream is resumed, too.
        headers.push(("stand-in-resumed-fault", fault));
    }
    // Streams share a part with the requests that crash engines.
    headers.push(("cowslipford-prompt-parts", "a1:64,5e55:8"));
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let http = request("POST", path, customer, &headers, &sent.name);
    let answer = client.call(http, CALLER_TIMEOUT).await;
    shared.observations.record(sent, &answer)
}

/// Fault that the endpoint injects into a request; empty for most requests.
fn fault(sent: &Request) -> &'static str {
    if sent.name == QUERY_OF_DEATH {
        return "crash";
    }
    if sent.kind == Kind::Stream(EVENTS_DURING_FLOOD) {
        return "";
    }
    match sent.label().bytes().map(u32::from).sum::<u32>() % 40 {
        // Between two events, the end of an answer without framing looks like a whole one.
        0 if sent.is_unframed() => "tear",
        0 => "cut",
        1 => "silence",
        2 => "swap",
        3 => "tear",
        4 => "reset",
        _ => "",
    }
}

/// Starts the callers and the probes.
pub(crate) fn start(shared: &Arc<Shared>, tasks: &mut JoinSet<()>) {
    for (index, customer) in ["alpha", "beta", "gamma"].into_iter().enumerate() {
        for n in 0..CALLERS_PER_CUSTOMER {
            let stream = shared.seed * 1000 + index as u64 * CALLERS_PER_CUSTOMER + n;
            tasks.spawn(caller(shared.clone(), customer, stream));
        }
    }
    for index in 0..shared.routes.len() {
        tasks.spawn(probe(shared.clone(), index));
        for n in 0..UPLOADERS_PER_ROUTER {
            let stream = shared.seed * 1000 + 500 + index as u64 * UPLOADERS_PER_ROUTER + n;
            tasks.spawn(upload(shared.clone(), index, stream));
        }
    }
    tasks.spawn(crash_engines(shared.clone()));
}

/// Sends the query of death repeatedly, through random routers.
async fn crash_engines(shared: Arc<Shared>) {
    let mut rng = Pcg64::seed_from_u64(shared.seed);
    while !shared.stop_crashes.load(Ordering::Relaxed) && !shared.stop.load(Ordering::Relaxed) {
        let address = address(&shared, &mut rng);
        match rng.random_bool(0.5) {
            true => query_of_death(&shared, address).await,
            false => {
                let customer = ["alpha", "beta"][usize::from(rng.random_bool(0.5))];
                part_of_death(&shared, address, customer).await
            }
        };
        let pause = rng.random_range(100..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends the query of death; returns whether it was refused as quarantined.
pub(crate) async fn query_of_death(shared: &Shared, address: SocketAddr) -> bool {
    let attempt = shared.names.fetch_add(1, Ordering::Relaxed);
    let sent = Request {
        name: QUERY_OF_DEATH.to_owned(),
        attempt,
        kind: Kind::Stream(EVENTS_DURING_FLOOD),
    };
    let label = sent.label();
    let headers = [
        ("stand-in-id", label.as_str()),
        ("stand-in-fault", fault(&sent)),
    ];
    let http = request("POST", "/assistant", "alpha", &headers, &sent.name);
    let answer = Client::new(address).call(http, CALLER_TIMEOUT).await;
    shared.observations.record(&sent, &answer);
    answer.text().contains("\"quarantined\"")
}

/// Sends a customer's request that has only [`DEADLY_PART`] in common with others; returns whether it
/// was refused as quarantined.
pub(crate) async fn part_of_death(shared: &Shared, address: SocketAddr, customer: &str) -> bool {
    let attempt = shared.names.fetch_add(1, Ordering::Relaxed);
    let name = format!("{PART_OF_DEATH}-{attempt}");
    let sent = Request {
        name,
        attempt,
        kind: Kind::Stream(EVENTS_DURING_FLOOD),
    };
    let label = sent.label();
    let parts = format!("a1:64,{DEADLY_PART}:32,{attempt:x}:8");
    let headers = [
        ("stand-in-id", label.as_str()),
        ("cowslipford-prompt-parts", parts.as_str()),
    ];
    let http = request("POST", "/assistant", customer, &headers, &sent.name);
    let answer = Client::new(address).call(http, CALLER_TIMEOUT).await;
    shared.observations.record(&sent, &answer);
    answer.text().contains("\"quarantined\"")
}

/// Sends streams and bookings until the run ends.
async fn caller(shared: Arc<Shared>, customer: &'static str, stream: u64) {
    let mut rng = Pcg64::seed_from_u64(stream);
    let mut client = Client::new(address(&shared, &mut rng));
    while !shared.stop.load(Ordering::Relaxed) {
        let pace = rng.random_range(0..60);
        let end = match rng.random_range(0..3) {
            0 => {
                let sent = shared.request("stream", Kind::Stream(rng.random_range(1..40)));
                send(&shared, &mut client, customer, &sent, pace, None).await
            }
            1 => {
                let sent = shared.request("booking", Kind::Booking);
                send(&shared, &mut client, customer, &sent, pace * 10, None).await
            }
            _ => booking_with_key(&shared, &mut client, customer, &mut rng).await,
        };
        if end != End::Complete && rng.random_bool(0.5) {
            client = Client::new(address(&shared, &mut rng));
        }
        let pause = rng.random_range(5..60);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends bookings whose bodies come in slowly, on a kept connection to one router.
///
/// A request that was sent whole gets an answer unless its router is killed or paused, also while
/// the router stops.
async fn upload(shared: Arc<Shared>, index: usize, stream: u64) {
    let mut rng = Pcg64::seed_from_u64(stream);
    let mut client = Client::new(shared.routes[index].direct);
    let disturbances = || shared.disturbances[index].load(Ordering::Relaxed);
    while !shared.stop.load(Ordering::Relaxed) {
        let sent = shared.request("upload", Kind::Booking);
        let label = sent.label();
        let headers = [("stand-in-id", label.as_str())];
        let lasts = Duration::from_millis(rng.random_range(UPLOAD_MS));
        let (body, is_sent) = Slow::new(&sent.name, lasts, rng.random_bool(0.5));
        let http = request("POST", "/booking", "beta", &headers, "");
        let http = http.map(|_| Either::Right(body));
        let before = disturbances();
        let answer = client.call(http, CALLER_TIMEOUT).await;
        let end = shared.observations.record(&sent, &answer);
        let is_lost = end == End::NoAnswer && is_sent.load(Ordering::Relaxed);
        if is_lost && disturbances() == before {
            let text = format!("router {index}: {label} was sent whole and got no answer");
            shared.observations.report_violation(text);
        }
        if is_sent.load(Ordering::Relaxed) {
            shared.observations.count("slow upload sent whole");
        }
        let pause = rng.random_range(5..100);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// A random address: a router, directly or through its proxy.
fn address(shared: &Shared, rng: &mut Pcg64) -> SocketAddr {
    let route = shared.routes[rng.random_range(0..shared.routes.len())];
    if rng.random_bool(0.6) {
        route.proxied
    } else {
        route.direct
    }
}

/// Sends a booking with an idempotency key, and resends it through random routers a random
/// number of times, at most until two consecutive answers are complete.
async fn booking_with_key(
    shared: &Shared,
    client: &mut Client,
    customer: &str,
    rng: &mut Pcg64,
) -> End {
    let mut sent = shared.request("booking", Kind::Booking);
    let key = sent.name.clone();
    let pace = rng.random_range(0..600);
    let mut last = send(shared, client, customer, &sent, pace, Some(&key)).await;
    for _ in 0..rng.random_range(1..5) {
        let mut other = Client::new(address(shared, rng));
        sent.attempt += 1;
        let end = send(shared, &mut other, customer, &sent, pace, Some(&key)).await;
        if end == End::Complete && last == End::Complete {
            break;
        }
        last = end;
        let pause = rng.random_range(0..300);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    last
}

/// Probes a router repeatedly: its configuration must never become older, and revoked keys
/// must be refused.
async fn probe(shared: Arc<Shared>, index: usize) {
    let mut client = Client::new(shared.routes[index].direct);
    let mut newest = 0;
    let mut turn = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        let answer = client
            .call(
                request("GET", "/forbidden", "alpha", &[], ""),
                PROBE_TIMEOUT,
            )
            .await;
        if let Some(marker) = marker(&answer) {
            shared.observations.count("configuration seen");
            if marker < newest {
                let text = format!("router {index}: configuration {marker} after {newest}");
                shared.observations.report_violation(text);
            }
            newest = newest.max(marker);
        }
        let revoked = shared.observations.revoked(REVOCATION);
        if !revoked.is_empty() {
            turn += 1;
            let revoked = &revoked[turn % revoked.len()];
            probe_revoked_key(&shared, &mut client, index, revoked).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Sends a booking with a revoked key, which must not reach an endpoint.
async fn probe_revoked_key(shared: &Shared, client: &mut Client, index: usize, revoked: &Revoked) {
    let (key, after) = (&revoked.key, revoked.at.elapsed());
    let label = shared.request(REVOKED, Kind::Booking).label();
    let headers = [("stand-in-id", label.as_str())];
    let answer = client
        .call(
            request("POST", "/booking", key, &headers, ""),
            PROBE_TIMEOUT,
        )
        .await;
    match answer.status {
        401 => shared.observations.count("revoked key refused"),
        0 | 503 => {}
        status => {
            let text =
                format!("router {index}: {key} got {status}, {after:?} after its revocation");
            shared.observations.report_violation(text);
        }
    }
}

/// Number of the configuration by which a router refused a request; 0 before the first change.
pub(crate) fn marker(answer: &Answer) -> Option<u64> {
    if answer.status != 403 || !answer.complete {
        return None;
    }
    let text = answer.text();
    let Some((_, rest)) = text.split_once("marker ") else {
        return Some(0);
    };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Floods a router until each other customer has been served during the flood.
pub(crate) async fn flood(shared: Arc<Shared>, index: usize) {
    let over = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    for _ in 0..FLOOD_CONNECTIONS {
        let (shared, over) = (shared.clone(), over.clone());
        tasks.spawn(async move {
            let mut client = Client::new(shared.routes[index].direct);
            while !over.load(Ordering::Relaxed) {
                let sent = shared.request("flood", Kind::Stream(EVENTS_DURING_FLOOD));
                if send(&shared, &mut client, "gamma", &sent, 5, None).await != End::Complete {
                    // Avoids a busy loop while the router is down.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        });
    }
    let served = tokio::join!(
        served_during_flood(&shared, index, "alpha"),
        served_during_flood(&shared, index, "beta")
    );
    over.store(true, Ordering::Relaxed);
    tasks.join_all().await;
    if served != (true, true) {
        let text = format!("router {index}: alpha, beta served during a flood: {served:?}");
        shared.observations.report_violation(text);
    }
}

/// Whether a customer gets `ANSWERS_DURING_FLOOD` answers from a flooded router.
async fn served_during_flood(shared: &Shared, index: usize, customer: &str) -> bool {
    let mut client = Client::new(shared.routes[index].direct);
    let began = Instant::now();
    let mut served = 0;
    while served < ANSWERS_DURING_FLOOD && began.elapsed() < RECOVERY_TIMEOUT {
        let sent = shared.request("beside", Kind::Stream(EVENTS_DURING_FLOOD));
        match send(shared, &mut client, customer, &sent, 5, None).await {
            End::Complete => served += 1,
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    served >= ANSWERS_DURING_FLOOD
}
