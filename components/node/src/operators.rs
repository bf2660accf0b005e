//! HTTP server for operators: state, configuration, planned stops and metrics.

use crate::control;
use crate::evacuation::{Orders, Outcome};
use crate::handover::Handover;
use crate::input::Input;
use crate::journal::Journal;
use crate::metric::Metrics;
use crate::shared::Published;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, AUTHORIZATION, CONTENT_TYPE};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use protocol::codec;
use protocol::wire::{Drain, Query, Reply};
use serde::{Deserialize, Serialize};
use state::fingerprint::Fingerprint;
use state::id::{Name, Version};
use state::record::{Answer, ChangeId};
use state::secret::Hash;
use state::suspect::{Completion, Evidence};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch, Semaphore};
use transport::clock::Clock;
use transport::link::Hub;

/// Largest number of configuration files that are received at once; others wait.
const CONCURRENT_FILES_MAX: usize = 2;
/// Largest configuration file in bytes: it has to fit into a record of the log.
const BODY_MAX: usize = codec::MAX_RECORD_BYTES;
/// Time for a configuration file to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for an answer of the control VMs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Dependencies of the operators' server.
pub(crate) struct Parts {
    /// Hash of the operators' key. Without one, only the paths that need no key are served.
    pub(crate) key: Option<Hash>,
    /// Links to other processes.
    pub(crate) hub: Hub,
    /// Clock of this process.
    pub(crate) clock: Clock,
    /// Recorder of time-line events.
    pub(crate) journal: Journal,
    /// Metrics of this process.
    pub(crate) metrics: Metrics,
    /// Channel to the reactor.
    pub(crate) reactor: flume::Sender<Input>,
    /// Channel to the control role, if this process runs it.
    pub(crate) control: Option<flume::Sender<control::Input>>,
    /// State published by the reactor.
    pub(crate) published: watch::Receiver<Published>,
    /// Whether paths that inject faults are served.
    pub(crate) fault_hook: bool,
    /// Hand-over of requests to other routers, if this router takes part in it.
    pub(crate) handover: Option<Handover>,
    /// Sender of evacuation orders.
    pub(crate) orders: Orders,
    /// Limits the configuration files that are received at once.
    pub(crate) files: Semaphore,
}

impl Parts {
    /// Creates the limit for `files`.
    pub(crate) fn file_limit() -> Semaphore {
        Semaphore::new(CONCURRENT_FILES_MAX)
    }
}

/// A process of the fleet, as listed by `/peers`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Peer {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of the process, which changes with each start.
    pub incarnation: u64,
    /// Address of its operators' server.
    pub operators: SocketAddr,
}

/// A response that is ready to be sent.
struct Page {
    status: StatusCode,
    content_type: &'static str,
    body: String,
    headers: Vec<(&'static str, String)>,
}

/// Answers one request.
pub(crate) async fn respond(
    parts: Arc<Parts>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let page = answer(&parts, request).await;
    let mut response = Response::new(Full::new(Bytes::from(page.body)));
    *response.status_mut() = page.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(page.content_type));
    for (name, value) in page.headers {
        // Values that this process creates are valid.
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    response
}

/// Routes one request.
async fn answer(parts: &Parts, request: Request<Incoming>) -> Page {
    let (head, incoming) = request.into_parts();
    let path = head.uri.path();
    let query = parameters(head.uri.query().unwrap_or(""));
    let published = parts.published.borrow().clone();
    match path {
        "/live" => return text(StatusCode::OK, "live\n"),
        "/ready" if published.ready && !published.stopping => {
            return text(StatusCode::OK, "ready\n")
        }
        "/ready" => return text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => return text(StatusCode::OK, &parts.metrics.text()),
        _ => {}
    }
    if !is_operator(parts, &head.headers) {
        return error(
            StatusCode::UNAUTHORIZED,
            "send Authorization: Bearer KEY with the operators' key",
        );
    }
    match (&head.method, path) {
        (&Method::GET, "/status") => status(parts).await,
        (&Method::GET, "/peers") => json(StatusCode::OK, &peers(parts)),
        (&Method::GET, "/events") => {
            let hello = parts.hub.hello();
            json(
                StatusCode::OK,
                &parts.journal.dump(hello.node.vm.clone(), hello.incarnation),
            )
        }
        (&Method::GET, "/names") => json(StatusCode::OK, &names(&published)),
        (&Method::GET, "/config") => config(&published),
        (&Method::POST, "/config") => match body(parts, incoming).await {
            Ok(text) => change(parts, &query, text).await,
            Err(reason) => error(StatusCode::PAYLOAD_TOO_LARGE, &reason),
        },
        (&Method::POST, "/stop") => depart(parts, &query).await,
        (&Method::POST, "/evacuation") => evacuate(parts, &query, true).await,
        (&Method::DELETE, "/evacuation") => evacuate(parts, &query, false).await,
        (&Method::POST, "/unquarantine") => unquarantine(parts, &query).await,
        (&Method::POST, "/fault/cut") if parts.fault_hook => cut(parts, &query),
        (&Method::POST, "/fault/suspend") if parts.fault_hook => suspend(parts, &query),
        (&Method::POST, "/fault/press") if parts.fault_hook => press(parts, &query),
        _ => error(StatusCode::NOT_FOUND, "there is nothing here"),
    }
}

/// Whether the request contains the operators' key.
fn is_operator(parts: &Parts, headers: &HeaderMap) -> bool {
    let header = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
    let key = header.and_then(|h| h.strip_prefix("Bearer "));
    key.is_some_and(|k| Some(Hash::of(&[k.trim().as_bytes()])) == parts.key)
}

/// State of this process, with that of its control role.
async fn status(parts: &Parts) -> Page {
    let Some(mut status) = request(|reply| parts.reactor.send(Input::Status(reply)).is_ok()).await
    else {
        return error(StatusCode::SERVICE_UNAVAILABLE, "the process is ending");
    };
    if let Some(control) = &parts.control {
        let found = request(|reply| control.send(control::Input::Status(reply)).is_ok()).await;
        status.control = found.and_then(|s: control::Status| serde_json::to_value(s).ok());
    }
    json(StatusCode::OK, &status)
}

/// This process and all peers with a link.
fn peers(parts: &Parts) -> Vec<Peer> {
    let own = parts.hub.hello().clone();
    let all = std::iter::once(own).chain(parts.hub.peers());
    let peers = all.map(|hello| Peer {
        vm: hello.node.vm,
        incarnation: hello.incarnation,
        operators: hello.operator_address,
    });
    peers.collect()
}

/// IDs of customers and endpoints, by name.
fn names(published: &Published) -> serde_json::Value {
    let config = &published.view.config;
    let customers: BTreeMap<&Name, _> = config
        .customers
        .iter()
        .map(|(id, c)| (&c.name, id))
        .collect();
    let endpoints: BTreeMap<&Name, _> = config
        .endpoints
        .iter()
        .map(|(id, e)| (&e.name, id))
        .collect();
    serde_json::json!({"customers": customers, "endpoints": endpoints})
}

/// The configuration in force, as the text of a configuration file.
fn config(published: &Published) -> Page {
    let draft = published.view.config.draft();
    let mut reply = text(StatusCode::OK, &settings::print_configuration(&draft));
    let version = published.view.config_version.to_string();
    reply.headers.push(("cowslipford-version", version));
    reply
}

/// Proposes a changed configuration.
async fn change(parts: &Parts, query: &BTreeMap<String, String>, text: String) -> Page {
    let id = query
        .get("id")
        .and_then(|v| u128::from_str_radix(v, 16).ok());
    let base = query.get("base").and_then(|v| v.parse().ok());
    let (Some(id), Some(base)) = (id, base) else {
        return error(
            StatusCode::BAD_REQUEST,
            "give id (hexadecimal, the same for a resend) and base (a version)",
        );
    };
    let query = Query::Change {
        id: ChangeId(id),
        base: Version(base),
        text,
    };
    propose(parts, query).await
}

/// Announces that an endpoint or a VM is leaving, or that an endpoint is back.
async fn depart(parts: &Parts, query: &BTreeMap<String, String>) -> Page {
    let name = |key: &str| query.get(key).map(|v| Name::try_from(v.as_str()));
    let drain = match (name("endpoint"), name("endpoint-back"), name("vm")) {
        (Some(Ok(name)), None, None) => Drain::Endpoint(name),
        (None, Some(Ok(name)), None) => Drain::EndpointBack(name),
        (None, None, Some(Ok(name))) => {
            let incarnation = query.get("incarnation").and_then(|v| v.parse().ok());
            let Some(incarnation) = incarnation else {
                return error(
                    StatusCode::BAD_REQUEST,
                    "give the VM's incarnation, as /peers shows it",
                );
            };
            Drain::Vm(name, incarnation)
        }
        _ => {
            return error(
                StatusCode::BAD_REQUEST,
                "give one of endpoint, endpoint-back and vm, with a name",
            )
        }
    };
    propose(parts, Query::Drain(drain)).await
}

/// Evacuates a data centre, or ends its evacuation.
async fn evacuate(parts: &Parts, query: &BTreeMap<String, String>, is_evacuated: bool) -> Page {
    let data_centre = query.get("data-centre").map_or("", String::as_str);
    match parts.orders.send(data_centre, is_evacuated).await {
        Outcome::Accepted(version) => in_force(version),
        Outcome::Unknown(reason) => error(StatusCode::UNPROCESSABLE_ENTITY, &reason),
        Outcome::Unconfirmed => unanswered(),
    }
}

/// Ends the quarantine of a request.
async fn unquarantine(parts: &Parts, query: &BTreeMap<String, String>) -> Page {
    let text = query.get("fingerprint").map_or("", String::as_str);
    let fingerprint = match Fingerprint::try_from(text) {
        Ok(fingerprint) => fingerprint,
        Err(allowed) => {
            let reason = format!("give fingerprint: {allowed}");
            return error(StatusCode::BAD_REQUEST, &reason);
        }
    };
    let completion = Completion {
        fingerprint,
        at: parts.clock.stamp(),
    };
    let evidence = Evidence {
        cleared: vec![completion],
        ..Evidence::default()
    };
    propose(parts, Query::Evidence(evidence)).await
}

/// Sends a query to the control VMs, and converts the reply into a response.
async fn propose(parts: &Parts, query: Query) -> Page {
    let reply = request(|reply| parts.reactor.send(Input::Query(query, reply)).is_ok()).await;
    match reply {
        Some(Reply::Answer(Answer::Accepted(version))) => in_force(version),
        Some(Reply::Answer(Answer::Conflict(version))) => json(
            StatusCode::CONFLICT,
            &serde_json::json!({
                "accepted": false,
                "version": version.0,
                "error": "the change is based on an older version; get the current one and \
                          make the change anew",
            }),
        ),
        Some(Reply::Invalid(reason)) => error(StatusCode::UNPROCESSABLE_ENTITY, &reason),
        Some(_) => error(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the control VMs answered something else",
        ),
        None => unanswered(),
    }
}

/// Response to a change that is in force.
fn in_force(version: Version) -> Page {
    json(
        StatusCode::OK,
        &serde_json::json!({"accepted": true, "version": version.0}),
    )
}

/// Response to a change that may or may not have been accepted.
fn unanswered() -> Page {
    error(
        StatusCode::SERVICE_UNAVAILABLE,
        "no quorum of control VMs answered; whether the change was accepted is not known: \
         send it again with the same id",
    )
}

/// Fault injection: drops all messages to and from some peers.
fn cut(parts: &Parts, query: &BTreeMap<String, String>) -> Page {
    let list = query.get("peers").map_or("", String::as_str);
    let names: Result<Vec<Name>, String> = list
        .split(',')
        .filter(|n| !n.is_empty())
        .map(Name::try_from)
        .collect();
    match names {
        Ok(names) => {
            let silent = query.get("silent").is_some_and(|v| v == "yes");
            parts.hub.partition(&names, silent);
            text(StatusCode::OK, "cut\n")
        }
        Err(reason) => error(StatusCode::BAD_REQUEST, &reason),
    }
}

/// Fault injection: suspends the clock of this process.
fn suspend(parts: &Parts, query: &BTreeMap<String, String>) -> Page {
    match query.get("ms").and_then(|ms| ms.parse().ok()) {
        Some(ms) => {
            parts.clock.simulate_suspension(ms);
            text(StatusCode::OK, "suspended\n")
        }
        None => error(StatusCode::BAD_REQUEST, "ms: a number of milliseconds"),
    }
}

/// Fault injection: makes each request of a caller count as more than this router can serve.
fn press(parts: &Parts, query: &BTreeMap<String, String>) -> Page {
    let is_forced = query.get("on").is_some_and(|on| on == "yes");
    match &parts.handover {
        Some(handover) => {
            handover.force(is_forced);
            text(StatusCode::OK, "pressed\n")
        }
        None => error(StatusCode::BAD_REQUEST, "this router hands nothing over"),
    }
}

/// Sends a question to another part of the process and waits for the answer.
async fn request<T, F>(ask: F) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> bool,
{
    let (sender, receiver) = oneshot::channel();
    if !ask(sender) {
        return None;
    }
    tokio::time::timeout(ANSWER_TIMEOUT, receiver)
        .await
        .ok()?
        .ok()
}

/// Reads a configuration file. Memory is allocated only for bytes that have arrived, whatever
/// length was announced.
async fn body(parts: &Parts, incoming: Incoming) -> Result<String, String> {
    let permit = parts.files.acquire().await;
    let _permit = permit.map_err(|_| "the process is ending".to_owned())?;
    let reading = Limited::new(incoming, BODY_MAX).collect();
    let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    let read = read.map_err(|_| "the configuration took too long to arrive".to_owned())?;
    let bytes = read.map_err(|error| {
        format!("a configuration has at most {BODY_MAX} bytes, or could not be read: {error}")
    })?;
    String::from_utf8(bytes.to_bytes().into()).map_err(|error| error.to_string())
}

/// Parses the parameters of a query string.
fn parameters(query: &str) -> BTreeMap<String, String> {
    let parts = query.split('&').filter_map(|part| part.split_once('='));
    parts.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}

/// A plain text response.
fn text(status: StatusCode, body: &str) -> Page {
    Page {
        status,
        content_type: "text/plain; charset=utf-8",
        body: body.to_owned(),
        headers: Vec::new(),
    }
}

/// A JSON response.
fn json<T>(status: StatusCode, value: &T) -> Page
where
    T: Serialize,
{
    Page {
        status,
        content_type: "application/json",
        body: serde_json::to_string_pretty(value).unwrap_or_default(),
        headers: Vec::new(),
    }
}

/// A response with an error message.
fn error(status: StatusCode, reason: &str) -> Page {
    json(status, &serde_json::json!({"error": reason}))
}
