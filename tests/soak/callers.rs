//! Callers that keep their connections open, a flood, and probes of what is in force.

use super::check::{End, Kind, Ledger, Request, Revoked, REVOKED};
use super::harness::http::{request, Answer, Client};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Longest wait of a caller for its answer; then it leaves. More than the timeout of
/// the services, so that a router has the time to tell.
const CALLER: Duration = Duration::from_secs(15);
/// Longest wait of a probe, and for an answer of an operators' page.
pub(crate) const PROBE: Duration = Duration::from_secs(3);
/// Time between two probes of a router.
const PROBES: Duration = Duration::from_millis(100);
/// Time in which a revoked key must be refused everywhere, as the settings say.
pub(crate) const REVOCATION: Duration = Duration::from_secs(2);
/// Callers of each customer; they share the routers.
const USUAL: u64 = 4;
/// Connections of the customer that floods: many times its usual.
const FLOOD: u64 = 80;
/// Answers that each other customer must get through a flooded router.
const SERVED: u32 = 5;
/// Events of a stream of a flood, or beside one; no endpoint fails these.
const BESIDE: u32 = 5;
/// Longest wait for them, and for anything else that must happen in the end.
pub(crate) const PATIENCE: Duration = Duration::from_secs(90);

/// Name of the request that crashes the model engines that run it, whoever sends it.
pub(crate) const QUERY_OF_DEATH: &str = "query-of-death";

/// How a router is reached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) direct: SocketAddr,
    pub(crate) proxied: SocketAddr,
}

/// What callers share.
pub(crate) struct World {
    pub(crate) seed: u64,
    pub(crate) routes: Vec<Route>,
    pub(crate) ledger: Ledger,
    pub(crate) stop: AtomicBool,
    /// Whether callers are to crash no more engines.
    pub(crate) calm: AtomicBool,
    pub(crate) names: AtomicU32,
}

impl World {
    pub(crate) fn request(&self, who: &str, kind: Kind) -> Request {
        let number = self.names.fetch_add(1, Ordering::Relaxed);
        Request {
            name: format!("{who}-{number}"),
            sending: 0,
            kind,
        }
    }
}

/// Sends one request of a caller and judges its answer.
pub(crate) async fn send(
    world: &World,
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
        ("stand-in-fault", fault),
    ];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let http = request("POST", path, customer, &headers, &sent.name);
    let answer = client.call(http, CALLER).await;
    world.ledger.judge(sent, &answer)
}

/// How the endpoint misbehaves with a request: most often not at all.
fn fault(sent: &Request) -> &'static str {
    if sent.name == QUERY_OF_DEATH {
        return "crash";
    }
    if sent.kind == Kind::Stream(BESIDE) {
        return "";
    }
    match sent.label().bytes().map(u32::from).sum::<u32>() % 40 {
        0 => "cut",
        1 => "silence",
        2 => "swap",
        _ => "",
    }
}

/// Starts the usual callers and the probes.
pub(crate) fn start(world: &Arc<World>, tasks: &mut JoinSet<()>) {
    for (place, customer) in ["alpha", "beta", "gamma"].into_iter().enumerate() {
        for n in 0..USUAL {
            let stream = world.seed * 1000 + place as u64 * USUAL + n;
            tasks.spawn(caller(world.clone(), customer, stream));
        }
    }
    for place in 0..world.routes.len() {
        tasks.spawn(probe(world.clone(), place));
    }
    tasks.spawn(crash_engines(world.clone()));
}

/// Sends the query of death again and again, by any router.
async fn crash_engines(world: Arc<World>) {
    let mut rng = Pcg64::seed_from_u64(world.seed);
    while !world.calm.load(Ordering::Relaxed) && !world.stop.load(Ordering::Relaxed) {
        let address = address(&world, &mut rng);
        query_of_death(&world, address).await;
        let pause = rng.random_range(100..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Sends the query of death; gives whether it was refused as quarantined.
pub(crate) async fn query_of_death(world: &World, address: SocketAddr) -> bool {
    let sending = world.names.fetch_add(1, Ordering::Relaxed);
    let sent = Request {
        name: QUERY_OF_DEATH.to_owned(),
        sending,
        kind: Kind::Stream(BESIDE),
    };
    let label = sent.label();
    let headers = [
        ("stand-in-id", label.as_str()),
        ("stand-in-fault", fault(&sent)),
    ];
    let http = request("POST", "/assistant", "alpha", &headers, &sent.name);
    let answer = Client::new(address).call(http, CALLER).await;
    world.ledger.judge(&sent, &answer);
    answer.text().contains("\"quarantined\"")
}

async fn caller(world: Arc<World>, customer: &'static str, stream: u64) {
    let mut rng = Pcg64::seed_from_u64(stream);
    let mut client = Client::new(address(&world, &mut rng));
    while !world.stop.load(Ordering::Relaxed) {
        let pace = rng.random_range(0..60);
        let end = match rng.random_range(0..3) {
            0 => {
                let sent = world.request("stream", Kind::Stream(rng.random_range(1..40)));
                send(&world, &mut client, customer, &sent, pace, None).await
            }
            1 => {
                let sent = world.request("booking", Kind::Booking);
                send(&world, &mut client, customer, &sent, pace * 10, None).await
            }
            _ => keyed(&world, &mut client, customer, &mut rng).await,
        };
        if end != End::Whole && rng.random_bool(0.5) {
            client = Client::new(address(&world, &mut rng));
        }
        let pause = rng.random_range(5..60);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

fn address(world: &World, rng: &mut Pcg64) -> SocketAddr {
    let route = world.routes[rng.random_range(0..world.routes.len())];
    if rng.random_bool(0.6) {
        route.proxied
    } else {
        route.direct
    }
}

/// A booking with an idempotency key, sent again through any router until it is
/// answered, and once more after that.
async fn keyed(world: &World, client: &mut Client, customer: &str, rng: &mut Pcg64) -> End {
    let mut sent = world.request("booking", Kind::Booking);
    let key = sent.name.clone();
    let pace = rng.random_range(0..600);
    let mut last = send(world, client, customer, &sent, pace, Some(&key)).await;
    for _ in 0..rng.random_range(1..5) {
        let mut other = Client::new(address(world, rng));
        sent.sending += 1;
        let end = send(world, &mut other, customer, &sent, pace, Some(&key)).await;
        if end == End::Whole && last == End::Whole {
            break;
        }
        last = end;
        let pause = rng.random_range(0..300);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    last
}

/// Asks a router again and again which configuration is in force, and whether keys
/// that were revoked are refused.
async fn probe(world: Arc<World>, place: usize) {
    let mut client = Client::new(world.routes[place].direct);
    let mut newest = 0;
    let mut turn = 0;
    while !world.stop.load(Ordering::Relaxed) {
        let answer = client
            .call(request("GET", "/forbidden", "alpha", &[], ""), PROBE)
            .await;
        if let Some(marker) = marker(&answer) {
            world.ledger.count("configuration seen");
            if marker < newest {
                let text = format!("router {place}: configuration {marker} after {newest}");
                world.ledger.wrong(text);
            }
            newest = newest.max(marker);
        }
        let revoked = world.ledger.revoked(REVOCATION);
        if !revoked.is_empty() {
            turn += 1;
            let revoked = &revoked[turn % revoked.len()];
            refused(&world, &mut client, place, revoked).await;
        }
        tokio::time::sleep(PROBES).await;
    }
}

/// Sends a booking with a revoked key, which no endpoint may get to see.
async fn refused(world: &World, client: &mut Client, place: usize, revoked: &Revoked) {
    let (key, after) = (&revoked.key, revoked.at.elapsed());
    let label = world.request(REVOKED, Kind::Booking).label();
    let headers = [("stand-in-id", label.as_str())];
    let answer = client
        .call(request("POST", "/booking", key, &headers, ""), PROBE)
        .await;
    match answer.status {
        401 => world.ledger.count("revoked key refused"),
        0 | 503 => {}
        status => {
            let text = format!("router {place}: {key} got {status}, {after:?} after revocation");
            world.ledger.wrong(text);
        }
    }
}

/// Number of the configuration by which a router has refused; 0 before the first.
pub(crate) fn marker(answer: &Answer) -> Option<u64> {
    if answer.status != 403 || !answer.whole {
        return None;
    }
    let text = answer.text();
    let Some((_, rest)) = text.split_once("marker ") else {
        return Some(0);
    };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Floods a router until each other customer has been served beside the flood.
pub(crate) async fn flood(world: Arc<World>, place: usize) {
    let over = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    for _ in 0..FLOOD {
        let (world, over) = (world.clone(), over.clone());
        tasks.spawn(async move {
            let mut client = Client::new(world.routes[place].direct);
            while !over.load(Ordering::Relaxed) {
                let sent = world.request("flood", Kind::Stream(BESIDE));
                if send(&world, &mut client, "gamma", &sent, 5, None).await != End::Whole {
                    // A router that is gone must not be asked in a busy loop.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        });
    }
    let served = tokio::join!(
        beside(&world, place, "alpha"),
        beside(&world, place, "beta")
    );
    over.store(true, Ordering::Relaxed);
    tasks.join_all().await;
    if served != (true, true) {
        let text = format!("router {place}: alpha, beta served beside a flood: {served:?}");
        world.ledger.wrong(text);
    }
}

async fn beside(world: &World, place: usize, customer: &str) -> bool {
    let mut client = Client::new(world.routes[place].direct);
    let began = Instant::now();
    let mut served = 0;
    while served < SERVED && began.elapsed() < PATIENCE {
        let sent = world.request("beside", Kind::Stream(BESIDE));
        match send(world, &mut client, customer, &sent, 5, None).await {
            End::Whole => served += 1,
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    served >= SERVED
}
