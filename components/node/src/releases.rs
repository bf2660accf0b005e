//! HTTP server on which operators put and get the complete configuration and order evacuations.

use crate::control;
use crate::evacuation::{Orders, Outcome};
use crate::input::Input;
use crate::interface::Interface;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use protocol::codec;
use protocol::wire::{Query, Reply};
use state::id::Version;
use state::line::Line;
use state::record::Answer;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, Semaphore, SemaphorePermit};

/// Largest number of bytes of configurations that are accepted at once, over all connections.
///
/// Each body is buffered completely and copied several times while it is parsed and proposed.
/// Concurrent bodies could otherwise exhaust the memory of the VM, so that the kernel would kill
/// the process, which is a voter: a control VM would restart whenever operators are busy. Without
/// the limit, 70 bodies of 2.4 MB took 165 MB.
const BODIES_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Longest time that a configuration waits for buffer space, after which the operator is told to
/// retry.
const SPACE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of bytes of a refused body that are read and discarded. Some clients read the
/// response only after they have sent the whole body.
const DISCARD_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the control VMs to accept a configuration, after which the operator is told to retry.
/// An election of a leader takes up to 1.4 s.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time to find out which configuration is the newest.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two checks of whether this VM has reached the newest version.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(10);

/// Dependencies of the server.
pub(crate) struct Parts {
    /// Paths and format of complete configurations.
    pub(crate) interface: Interface,
    /// Channel to the reactor.
    pub(crate) reactor: flume::Sender<Input>,
    /// Channel to the control role.
    pub(crate) control: flume::Sender<control::Input>,
    /// Sender of evacuation orders.
    orders: Orders,
    /// Whether configurations may contain objectives of streams. If not, the leader may be a
    /// process of an earlier release, which could not read them.
    pub(crate) stream_objectives: bool,
    /// Free buffer space for bodies, in bytes.
    space: Semaphore,
}

impl Parts {
    /// Creates the dependencies with all buffer space free.
    pub(crate) fn new(
        interface: Interface,
        reactor: flume::Sender<Input>,
        control: flume::Sender<control::Input>,
        orders: Orders,
    ) -> Self {
        Parts {
            interface,
            reactor,
            control,
            orders,
            stream_objectives: false,
            space: Semaphore::new(BODIES_BYTES_MAX),
        }
    }
}

/// Answers one request.
pub(crate) async fn answer(parts: Arc<Parts>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let data_centre = (request.uri().path()).strip_prefix(parts.interface.evacuation_path);
    if let Some(data_centre) = data_centre.map(str::to_owned) {
        return evacuate(&parts, &data_centre, request).await;
    }
    if request.uri().path() != parts.interface.release_path {
        return error(StatusCode::NOT_FOUND, "there is nothing here");
    }
    match *request.method() {
        Method::GET => read(&parts).await,
        Method::PUT => put(&parts, request).await,
        _ => error(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
    }
}

/// Evacuates a data centre (POST), or ends its evacuation (DELETE).
async fn evacuate(
    parts: &Parts,
    data_centre: &str,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let is_evacuated = match *request.method() {
        Method::POST => true,
        Method::DELETE => false,
        _ => return error(StatusCode::METHOD_NOT_ALLOWED, "POST or DELETE"),
    };
    let mut body = request.into_body();
    match tokio::time::timeout(BODY_TIMEOUT, receive(&mut body, 0)).await {
        Ok(Ok(Some(_))) => {}
        Ok(Ok(None)) => {
            discard(body).await;
            return error(StatusCode::BAD_REQUEST, "an evacuation has no body");
        }
        Ok(Err(failure)) => return error(StatusCode::BAD_REQUEST, &failure.to_string()),
        Err(_) => return error(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    }
    match parts.orders.send(data_centre, is_evacuated).await {
        Outcome::Accepted(version) => {
            let body = serde_json::json!({ "data-centre": data_centre, "version": version.0 });
            let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
            json(&mut response);
            response
        }
        Outcome::Unknown(reason) => error(StatusCode::NOT_FOUND, &reason),
        Outcome::Unconfirmed => {
            retry("the control VMs did not accept it in time; it may yet be in force")
        }
    }
}

/// Puts a complete configuration into force.
async fn put(parts: &Parts, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut body = request.into_body();
    let Some(length) = announced_length(&body) else {
        discard(body).await;
        return too_large();
    };
    let Some(_space) = reserve(parts, length).await else {
        discard(body).await;
        return retry("too many configurations come at once");
    };
    let document = match tokio::time::timeout(BODY_TIMEOUT, receive(&mut body, length)).await {
        Ok(Ok(Some(document))) => document,
        Ok(Ok(None)) => {
            discard(body).await;
            return too_large();
        }
        Ok(Err(failure)) => return error(StatusCode::BAD_REQUEST, &failure.to_string()),
        Err(_) => return error(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let mut release = match (parts.interface.parse_release)(document) {
        Ok(release) => release,
        Err(reason) => {
            tracing::info!(event = Line::ReleaseRefused.as_str(), reason);
            return error(StatusCode::BAD_REQUEST, &reason);
        }
    };
    if !parts.stream_objectives {
        release.draft.remove_stream_objectives();
    }
    if !codec::fits_record(&release) {
        return too_large();
    }
    let number = release.number;
    let reply = ask(parts, Query::Release(Box::new(release)), ACCEPT_TIMEOUT).await;
    match reply {
        Some(Reply::Answer(Answer::Released(newest))) => {
            tracing::info!(event = Line::ReleaseAccepted.as_str(), number, newest);
            let body = serde_json::json!({ "number": number, "newest": newest });
            let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
            json(&mut response);
            response
        }
        Some(Reply::Invalid(reason)) => error(StatusCode::BAD_REQUEST, &reason),
        _ => {
            tracing::warn!(event = Line::ReleaseUnanswered.as_str(), number);
            retry("the control VMs did not accept it in time; it may yet be in force")
        }
    }
}

/// Number of bytes to reserve for a body: its announced length, or else the maximum. `None` if
/// the body is too long.
fn announced_length(body: &Incoming) -> Option<usize> {
    let Some(length) = body.size_hint().exact() else {
        return Some(codec::MAX_RECORD_BYTES);
    };
    let length = usize::try_from(length).ok()?;
    (length <= codec::MAX_RECORD_BYTES).then_some(length)
}

/// Reserves buffer space for a body, with a timeout.
async fn reserve(parts: &Parts, length: usize) -> Option<SemaphorePermit<'_>> {
    let length = u32::try_from(length).ok()?;
    let space = tokio::time::timeout(SPACE_TIMEOUT, parts.space.acquire_many(length));
    space.await.ok()?.ok()
}

/// Reads a body; returns `None` if it is longer than `max` bytes.
async fn receive(body: &mut Incoming, max: usize) -> Result<Option<Bytes>, hyper::Error> {
    let mut document = Vec::with_capacity(max);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        if document.len() + piece.len() > max {
            return Ok(None);
        }
        document.extend_from_slice(&piece);
    }
    Ok(Some(document.into()))
}

/// Reads the rest of a refused body and discards it.
async fn discard(mut body: Incoming) {
    let discarding = async {
        let mut left = DISCARD_BYTES_MAX;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    };
    if tokio::time::timeout(BODY_TIMEOUT, discarding)
        .await
        .is_err()
    {
        tracing::debug!("timed out while discarding a refused body");
    }
}

/// Returns the newest complete configuration.
async fn read(parts: &Parts) -> Response<Full<Bytes>> {
    let reading = async {
        let head = match ask(parts, Query::CurrentVersion, READ_TIMEOUT).await {
            Some(Reply::CurrentVersion(head)) => head,
            _ => return None,
        };
        loop {
            let (version, document) = document(parts).await?;
            if version >= head {
                return Some(document);
            }
            tokio::time::sleep(CATCH_UP_INTERVAL).await;
        }
    };
    match tokio::time::timeout(READ_TIMEOUT, reading).await {
        Ok(Some(Some(document))) => {
            let mut response = Response::new(Full::new(Bytes::from(document.bytes)));
            json(&mut response);
            response
        }
        Ok(Some(None)) => retry("no configuration was accepted yet"),
        Ok(None) | Err(_) => retry("this VM cannot tell which configuration is the newest"),
    }
}

/// The complete configuration that is in force on this VM, and the version of its view.
async fn document(parts: &Parts) -> Option<(Version, Option<state::store::Document>)> {
    let (sender, receiver) = oneshot::channel();
    let asked = parts.control.send(control::Input::Document(sender));
    asked.ok()?;
    receiver.await.ok()
}

/// Sends a query to the control VMs and waits for the reply.
async fn ask(parts: &Parts, query: Query, wait: Duration) -> Option<Reply> {
    let (sender, receiver) = oneshot::channel();
    parts.reactor.send(Input::Query(query, sender)).ok()?;
    tokio::time::timeout(wait, receiver).await.ok()?.ok()
}

/// Response to a configuration that is too large.
fn too_large() -> Response<Full<Bytes>> {
    let most = codec::MAX_RECORD_BYTES;
    let reason = format!("a configuration has at most {most} bytes");
    error(StatusCode::PAYLOAD_TOO_LARGE, &reason)
}

/// Sets the content type to JSON.
fn json(response: &mut Response<Full<Bytes>>) {
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
}

/// Response with an error message.
fn error(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let body = serde_json::json!({ "error": reason });
    let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
    *response.status_mut() = status;
    json(&mut response);
    response
}

/// Response that asks the operator to retry in a second.
fn retry(reason: &str) -> Response<Full<Bytes>> {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
