//! Where operators send complete configurations and read them back, and order evacuations.

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

/// Bytes of configurations that are taken at once, over all connections.
///
/// Each is held until its last byte has come, and then some times over while it is read
/// and proposed. Without this bound the connections together take more than the VM has,
/// and its process, a voter, is ended: one would see a control VM start again whenever
/// operators are busy. 70 bodies of 2.4 MB took it to 165 MB without the bound.
const ROOM: usize = 8 * 1024 * 1024;
/// Longest time that a configuration waits for room before its operator is told to come
/// again.
const ROOM_TIME: Duration = Duration::from_secs(1);
/// Bytes of a refused body that are read and dropped, so that its sender, who may read
/// the answer only then, gets it.
const DROP_MAX: usize = 16 * 1024 * 1024;
/// Time for a configuration to arrive.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Longest time for the control VMs to accept a configuration.
///
/// An election takes up to 1.4 s; an operator who hears nothing for longer is
/// told to ask again.
const ACCEPT: Duration = Duration::from_millis(2500);
/// Longest time to learn which configuration is the newest.
const READ: Duration = Duration::from_millis(900);
/// Time between two looks whether this VM has reached the newest version.
const CATCH_UP: Duration = Duration::from_millis(10);

/// What the side of releases is given.
pub(crate) struct Parts {
    pub(crate) interface: Interface,
    pub(crate) reactor: flume::Sender<Input>,
    pub(crate) control: flume::Sender<control::Input>,
    /// Evacuations.
    orders: Orders,
    /// Room for bodies that arrive, in bytes.
    room: Semaphore,
}

impl Parts {
    /// Parts with all room free.
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
            room: Semaphore::new(ROOM),
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
        return text(StatusCode::NOT_FOUND, "there is nothing here");
    }
    match *request.method() {
        Method::GET => read(&parts).await,
        Method::PUT => put(&parts, request).await,
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
    }
}

/// Evacuates a data centre, or ends that.
async fn evacuate(
    parts: &Parts,
    data_centre: &str,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let is_evacuated = match *request.method() {
        Method::POST => true,
        Method::DELETE => false,
        _ => return text(StatusCode::METHOD_NOT_ALLOWED, "POST or DELETE"),
    };
    let mut body = request.into_body();
    match tokio::time::timeout(BODY_TIME, receive(&mut body, 0)).await {
        Ok(Ok(Some(_))) => {}
        Ok(Ok(None)) => {
            skip(body).await;
            return text(StatusCode::BAD_REQUEST, "an evacuation has no body");
        }
        Ok(Err(error)) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
        Err(_) => return text(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    }
    match parts.orders.give(data_centre, is_evacuated).await {
        Outcome::Accepted(version) => {
            let body = serde_json::json!({ "data-centre": data_centre, "version": version.0 });
            let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
            json(&mut response);
            response
        }
        Outcome::Unknown(reason) => text(StatusCode::NOT_FOUND, &reason),
        Outcome::Unsure => {
            unsure("the control VMs did not accept it in time; it may yet be in force")
        }
    }
}

async fn put(parts: &Parts, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let mut body = request.into_body();
    let Some(length) = announced(&body) else {
        skip(body).await;
        return too_large();
    };
    let Some(_room) = room(parts, length).await else {
        skip(body).await;
        return unsure("too many configurations come at once");
    };
    let document = match tokio::time::timeout(BODY_TIME, receive(&mut body, length)).await {
        Ok(Ok(Some(document))) => document,
        Ok(Ok(None)) => {
            skip(body).await;
            return too_large();
        }
        Ok(Err(error)) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
        Err(_) => return text(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let release = match (parts.interface.parse_release)(document) {
        Ok(release) => release,
        Err(reason) => {
            tracing::info!(event = Line::ReleaseRefused.as_str(), reason);
            return text(StatusCode::BAD_REQUEST, &reason);
        }
    };
    if !codec::fits_record(&release) {
        return too_large();
    }
    let number = release.number;
    let reply = ask(parts, Query::Release(Box::new(release)), ACCEPT).await;
    match reply {
        Some(Reply::Answer(Answer::Released(newest))) => {
            tracing::info!(event = Line::ReleaseAccepted.as_str(), number, newest);
            let body = serde_json::json!({ "number": number, "newest": newest });
            let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
            json(&mut response);
            response
        }
        Some(Reply::Invalid(reason)) => text(StatusCode::BAD_REQUEST, &reason),
        _ => {
            tracing::warn!(event = Line::ReleaseUnanswered.as_str(), number);
            unsure("the control VMs did not accept it in time; it may yet be in force")
        }
    }
}

/// Bytes that a body may bring, if it can be taken: as many as it announces, or the most.
fn announced(body: &Incoming) -> Option<usize> {
    let Some(length) = body.size_hint().exact() else {
        return Some(codec::MAX_RECORD_BYTES);
    };
    let length = usize::try_from(length).ok()?;
    (length <= codec::MAX_RECORD_BYTES).then_some(length)
}

/// Waits a moment for room for a body.
async fn room(parts: &Parts, length: usize) -> Option<SemaphorePermit<'_>> {
    let length = u32::try_from(length).ok()?;
    let room = tokio::time::timeout(ROOM_TIME, parts.room.acquire_many(length));
    room.await.ok()?.ok()
}

/// Reads a body; gives nothing if it is longer than `max`.
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

/// Reads what is left of a body and keeps nothing of it.
async fn skip(mut body: Incoming) {
    let skipping = async {
        let mut left = DROP_MAX;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match left.checked_sub(length) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    };
    if tokio::time::timeout(BODY_TIME, skipping).await.is_err() {
        tracing::debug!("a refused body took too long");
    }
}

async fn read(parts: &Parts) -> Response<Full<Bytes>> {
    let reading = async {
        let head = match ask(parts, Query::CurrentVersion, READ).await {
            Some(Reply::CurrentVersion(head)) => head,
            _ => return None,
        };
        loop {
            let (version, document) = document(parts).await?;
            if version >= head {
                return Some(document);
            }
            tokio::time::sleep(CATCH_UP).await;
        }
    };
    match tokio::time::timeout(READ, reading).await {
        Ok(Some(Some(document))) => {
            let mut response = Response::new(Full::new(Bytes::from(document.bytes)));
            json(&mut response);
            response
        }
        Ok(Some(None)) => unsure("no configuration was accepted yet"),
        Ok(None) | Err(_) => unsure("this VM cannot tell which configuration is the newest"),
    }
}

async fn document(parts: &Parts) -> Option<(Version, Option<state::store::Document>)> {
    let (sender, receiver) = oneshot::channel();
    let asked = parts.control.send(control::Input::Document(sender));
    asked.ok()?;
    receiver.await.ok()
}

async fn ask(parts: &Parts, query: Query, wait: Duration) -> Option<Reply> {
    let (sender, receiver) = oneshot::channel();
    parts.reactor.send(Input::Query(query, sender)).ok()?;
    tokio::time::timeout(wait, receiver).await.ok()?.ok()
}

fn too_large() -> Response<Full<Bytes>> {
    let most = codec::MAX_RECORD_BYTES;
    let reason = format!("a configuration has at most {most} bytes");
    text(StatusCode::PAYLOAD_TOO_LARGE, &reason)
}

fn json(response: &mut Response<Full<Bytes>>) {
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
}

fn text(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let body = serde_json::json!({ "error": reason });
    let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
    *response.status_mut() = status;
    json(&mut response);
    response
}

fn unsure(reason: &str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
