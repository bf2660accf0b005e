//! The operators' address: state, configuration, planned stops, metrics.

use crate::control;
use crate::input::Input;
use crate::journal::Journal;
use crate::metric::Metrics;
use crate::shared::Published;
use errors::{Error, Result};
use protocol::codec;
use protocol::wire::{Leaving, Query, Reply};
use serde::{Deserialize, Serialize};
use state::id::{Name, Version};
use state::record::{Answer, ChangeId};
use state::secret::Hash;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};
use tokio::sync::{oneshot, watch};
use transport::clock::Clock;
use transport::link::Hub;

/// Threads that answer operators.
const THREADS: usize = 2;
/// Largest configuration file in bytes: what a record of the log can hold.
// CAST: `usize` is at most 64 bits on every supported target.
const BODY_MAX: u64 = codec::RECORD_MAX as u64;
/// Longest time for an answer of the control VMs.
const ANSWER: Duration = Duration::from_secs(10);

/// What the operators' side is given.
pub(crate) struct Parts {
    /// Hash of the operators' key; without one nobody has it.
    pub(crate) key: Option<Hash>,
    pub(crate) hub: Hub,
    pub(crate) clock: Clock,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) reactor: flume::Sender<Input>,
    pub(crate) control: Option<flume::Sender<control::Input>>,
    pub(crate) published: watch::Receiver<Published>,
    pub(crate) fault_hook: bool,
    /// Ends waits for an answer without stopping the process.
    pub(crate) runtime: tokio::runtime::Handle,
}

/// The running operators' side.
pub(crate) struct Operators {
    server: Arc<Server>,
    threads: Vec<JoinHandle<()>>,
}

/// A peer, as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Peer {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation.
    pub incarnation: u64,
    /// Its operators' address.
    pub operators: SocketAddr,
}

struct Page {
    status: u16,
    kind: &'static str,
    body: String,
    headers: Vec<(&'static str, String)>,
}

impl Operators {
    /// Starts to answer on a bound socket.
    pub(crate) fn start(listener: TcpListener, parts: Parts) -> Result<Self> {
        let server = Server::from_listener(listener, None)
            .map_err(Error::peer("serve operators", "(socket)"))?;
        let server = Arc::new(server);
        let parts = Arc::new(parts);
        let mut threads = Vec::new();
        for n in 0..THREADS {
            let (server, parts) = (server.clone(), parts.clone());
            let thread = std::thread::Builder::new()
                .name(format!("operators-{n}"))
                .spawn(move || serve(&server, &parts))
                .map_err(Error::file("start a thread", "operators"))?;
            threads.push(thread);
        }
        Ok(Operators { server, threads })
    }

    /// Stops and joins its threads.
    pub(crate) fn stop(self) {
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads {
            // A thread that has panicked has nothing left to tell.
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, parts: &Parts) {
    while let Ok(mut request) = server.recv() {
        let reply = answer(parts, &mut request);
        let mut response = Response::from_string(reply.body).with_status_code(reply.status);
        let kind = Header::from_bytes("content-type", reply.kind);
        let more = (reply.headers.iter()).map(|(n, v)| Header::from_bytes(*n, v.as_bytes()));
        for header in std::iter::once(kind).chain(more).flatten() {
            response.add_header(header);
        }
        // An operator that went away needs no answer.
        let _ = request.respond(response);
    }
}

fn answer(parts: &Parts, request: &mut Request) -> Page {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let query = pairs(query);
    let published = parts.published.borrow().clone();
    match path {
        "/live" => return text(200, "live\n"),
        "/ready" if published.ready && !published.stopping => return text(200, "ready\n"),
        "/ready" => return text(503, "not ready\n"),
        "/metrics" => return text(200, &parts.metrics.text()),
        _ => {}
    }
    if !is_operator(parts, request) {
        return error(
            401,
            "send Authorization: Bearer KEY with the operators' key",
        );
    }
    match (request.method(), path) {
        (Method::Get, "/status") => status(parts),
        (Method::Get, "/peers") => json(200, &peers(parts)),
        (Method::Get, "/events") => {
            let hello = parts.hub.hello();
            json(
                200,
                &parts
                    .journal
                    .lane(hello.place.vm.clone(), hello.incarnation),
            )
        }
        (Method::Get, "/names") => json(200, &names(&published)),
        (Method::Get, "/config") => config(&published),
        (Method::Post, "/config") => match body(request) {
            Ok(text) => change(parts, &query, text),
            Err(reason) => error(413, &reason),
        },
        (Method::Post, "/stop") => depart(parts, &query),
        (Method::Post, "/fault/cut") if parts.fault_hook => cut(parts, &query),
        (Method::Post, "/fault/suspend") if parts.fault_hook => suspend(parts, &query),
        _ => error(404, "there is nothing here"),
    }
}

fn is_operator(parts: &Parts, request: &Request) -> bool {
    let header = request
        .headers()
        .iter()
        .find(|h| h.field.equiv("authorization"));
    let key = header.and_then(|h| h.value.as_str().strip_prefix("Bearer "));
    key.is_some_and(|k| Some(Hash::of(&[k.trim().as_bytes()])) == parts.key)
}

fn status(parts: &Parts) -> Page {
    let Some(mut status) = wait(parts, |reply| {
        parts.reactor.send(Input::Status(reply)).is_ok()
    }) else {
        return error(503, "the process is ending");
    };
    if let Some(control) = &parts.control {
        let found = wait(parts, |reply| {
            control.send(control::Input::Status(reply)).is_ok()
        });
        status.control = found.and_then(|s: control::Status| serde_json::to_value(s).ok());
    }
    json(200, &status)
}

fn peers(parts: &Parts) -> Vec<Peer> {
    let own = parts.hub.hello().clone();
    let all = std::iter::once(own).chain(parts.hub.peers());
    let peers = all.map(|hello| Peer {
        vm: hello.place.vm,
        incarnation: hello.incarnation,
        operators: hello.operators,
    });
    peers.collect()
}

/// Numbers of customers and endpoints, by name.
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

fn config(published: &Published) -> Page {
    let draft = published.view.config.draft();
    let mut reply = text(200, &settings::print_configuration(&draft));
    let version = published.view.config_version.to_string();
    reply.headers.push(("cowslipford-version", version));
    reply
}

fn change(parts: &Parts, query: &BTreeMap<String, String>, text: String) -> Page {
    let id = query
        .get("id")
        .and_then(|v| u128::from_str_radix(v, 16).ok());
    let base = query.get("base").and_then(|v| v.parse().ok());
    let (Some(id), Some(base)) = (id, base) else {
        return error(
            400,
            "give id (hexadecimal, the same for a resend) and base (a version)",
        );
    };
    let query = Query::Change {
        id: ChangeId(id),
        base: Version(base),
        text,
    };
    accepted(parts, query)
}

fn depart(parts: &Parts, query: &BTreeMap<String, String>) -> Page {
    let name = |key: &str| query.get(key).map(|v| Name::try_from(v.as_str()));
    let leaving = match (name("endpoint"), name("endpoint-back"), name("vm")) {
        (Some(Ok(name)), None, None) => Leaving::Endpoint(name),
        (None, Some(Ok(name)), None) => Leaving::EndpointBack(name),
        (None, None, Some(Ok(name))) => {
            let incarnation = query.get("incarnation").and_then(|v| v.parse().ok());
            let Some(incarnation) = incarnation else {
                return error(400, "give the VM's incarnation, as /peers shows it");
            };
            Leaving::Vm(name, incarnation)
        }
        _ => {
            return error(
                400,
                "give one of endpoint, endpoint-back and vm, with a name",
            )
        }
    };
    accepted(parts, Query::Depart(leaving))
}

fn accepted(parts: &Parts, query: Query) -> Page {
    let reply = wait(parts, |reply| {
        parts.reactor.send(Input::Query(query, reply)).is_ok()
    });
    match reply {
        Some(Reply::Answer(Answer::Accepted(version))) => json(
            200,
            &serde_json::json!({"accepted": true, "version": version.0}),
        ),
        Some(Reply::Answer(Answer::Conflict(version))) => json(
            409,
            &serde_json::json!({
                "accepted": false,
                "version": version.0,
                "error": "the change is based on an older version; get the current one and \
                          make the change anew",
            }),
        ),
        Some(Reply::Invalid(reason)) => error(422, &reason),
        Some(_) => error(500, "the control VMs answered something else"),
        None => error(
            503,
            "no quorum of control VMs answered; whether the change was accepted is not known: \
             send it again with the same id",
        ),
    }
}

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
            parts.hub.cut(&names, silent);
            text(200, "cut\n")
        }
        Err(reason) => error(400, &reason),
    }
}

fn suspend(parts: &Parts, query: &BTreeMap<String, String>) -> Page {
    match query.get("ms").and_then(|ms| ms.parse().ok()) {
        Some(ms) => {
            parts.clock.suspend(ms);
            text(200, "suspended\n")
        }
        None => error(400, "ms: a number of milliseconds"),
    }
}

/// Asks another part of the process and waits for its answer.
fn wait<T, F>(parts: &Parts, ask: F) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> bool,
{
    let (sender, receiver) = oneshot::channel();
    if !ask(sender) {
        return None;
    }
    let answer = async { tokio::time::timeout(ANSWER, receiver).await };
    parts.runtime.block_on(answer).ok()?.ok()
}

fn body(request: &mut Request) -> Result<String, String> {
    let mut text = String::new();
    let mut reader = request.as_reader().take(BODY_MAX + 1);
    reader
        .read_to_string(&mut text)
        .map_err(|e| e.to_string())?;
    // CAST: `usize` is at most 64 bits on every supported target.
    if text.len() as u64 > BODY_MAX {
        return Err(format!("a configuration has at most {BODY_MAX} bytes"));
    }
    Ok(text)
}

fn pairs(query: &str) -> BTreeMap<String, String> {
    let parts = query.split('&').filter_map(|part| part.split_once('='));
    parts.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}

fn text(status: u16, body: &str) -> Page {
    Page {
        status,
        kind: "text/plain; charset=utf-8",
        body: body.to_owned(),
        headers: Vec::new(),
    }
}

fn json<T>(status: u16, value: &T) -> Page
where
    T: Serialize,
{
    Page {
        status,
        kind: "application/json",
        body: serde_json::to_string_pretty(value).unwrap_or_default(),
        headers: Vec::new(),
    }
}

fn error(status: u16, reason: &str) -> Page {
    json(status, &serde_json::json!({"error": reason}))
}
