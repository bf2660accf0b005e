//! Endpoints of several software versions, which a served list names, and callers that take broken
//! streams up again.

use super::callers::Shared;
use super::harness::http::{request, Client};
use super::harness::listing::{events, List};
use super::harness::Fleet;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Path of the service with several versions.
pub(crate) const PATH: &str = "/chat";
/// Software versions of its stand-ins.
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v1"];
/// Number of its stand-ins.
pub(crate) const VERSIONED_COUNT: usize = VERSIONS.len();
/// Callers whose streams they take up again.
const FOLLOWERS: u64 = 12;
/// Events of each stream.
const EVENTS: &str = "20";
/// Milliseconds between two events.
const PACE: &str = "60";
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Most times that a stream is taken up.
const TAKE_UPS_MAX: usize = 4;
/// Milliseconds before a stream is taken up: also after all processes have started again.
const TAKE_UP_MS: std::ops::Range<u64> = 20..6000;

/// Lists the stand-ins of the service whose bits are set.
pub(crate) fn set_list(list: &List, fleet: &Fleet, listed: u32) {
    let all = fleet.stand_ins.iter().filter(|s| is_versioned(&s.name));
    let all = all.zip(VERSIONS).enumerate();
    let listed = all.filter(|(n, _)| listed >> n & 1 == 1);
    list.set("chat", listed.map(|(_, endpoint)| endpoint));
}

fn is_versioned(name: &str) -> bool {
    name.starts_with("chat-")
}

/// Starts the stand-ins of all versions.
pub(crate) fn add_stand_ins(fleet: &mut Fleet) {
    for (n, version) in VERSIONS.iter().enumerate() {
        let args = ["--software", version];
        fleet.add_stand_in_with(&format!("chat-{n}"), false, &args);
    }
}

/// Adds the service to a configuration.
pub(crate) fn add_service(text: &str) -> String {
    let services = "services = assistant, booking\n";
    let text = text.replace(services, "services = assistant, booking, chat\n");
    format!(
        "{text}[service chat]\ncost = event\nidempotent = yes\ntimeout = 2s\n\
         [rule chat]\nwhen-path = {PATH}\nthen = send\nservice = chat\nresume = yes\n"
    )
}

/// Starts the callers.
pub(crate) fn start(shared: &Arc<Shared>, tasks: &mut JoinSet<()>) {
    for n in 0..FOLLOWERS {
        let stream = shared.seed * 1000 + 800 + n;
        tasks.spawn(follow_streams(shared.clone(), stream));
    }
}

/// Begins streams and takes them up again until the run ends.
async fn follow_streams(shared: Arc<Shared>, stream: u64) {
    let mut rng = Pcg64::seed_from_u64(stream);
    let mut count = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        count += 1;
        let label = format!("chat-{stream}-{count}");
        let versions = follow_stream(&shared, &mut rng, &label).await;
        shared.observations.record_versions(&label, &versions);
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
    }
}

/// Begins a stream, and takes it up again while it is cut. Returns the versions of its events.
async fn follow_stream(shared: &Shared, rng: &mut Pcg64, label: &str) -> BTreeSet<String> {
    let fault = if rng.random_bool(0.1) { "tear" } else { "" };
    let mut versions = BTreeSet::new();
    let mut position: Option<(String, usize)> = None;
    for _ in 0..=TAKE_UPS_MAX {
        let last = position.as_ref().map(|(_, last)| last.to_string());
        let mut headers = vec![
            ("stand-in-ids", "yes"),
            ("stand-in-tokens", EVENTS),
            ("stand-in-pace", PACE),
            ("stand-in-fault", fault),
        ];
        if let (Some((id, _)), Some(last)) = (&position, &last) {
            headers.push(("cowslipford-resumes", id));
            headers.push(("last-event-id", last));
        }
        let route = shared.routes[rng.random_range(0..shared.routes.len())];
        let http = request("POST", PATH, "alpha", &headers, label);
        let answer = Client::new(route.direct).call(http, ANSWER_TIMEOUT).await;
        let (written, last) = events(&answer);
        let counted = match (&position, written.is_empty()) {
            (None, false) => "versioned stream begun",
            (None, true) => "versioned stream not begun",
            (Some(_), false) => "versioned stream went on",
            (Some(_), true) => "versioned stream not taken up",
        };
        shared.observations.count(counted);
        versions.extend(written);
        if answer.status == 200 && answer.complete {
            break;
        }
        if let Some(last) = last {
            let id = answer.header("cowslipford-request-id").to_owned();
            position = Some((position.map_or(id, |(id, _)| id), last));
        }
        if shared.stop.load(Ordering::Relaxed) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(TAKE_UP_MS))).await;
    }
    versions
}
