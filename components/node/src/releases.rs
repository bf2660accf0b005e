//! Where operators send complete configurations and read them back.

use crate::control;
use crate::input::Input;
use crate::interface::Interface;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use protocol::wire::{Query, Reply};
use state::id::Version;
use state::line::Line;
use state::record::Answer;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Largest configuration in bytes.
const BODY_MAX: usize = 16 * 1024 * 1024;
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
}

/// Answers one request.
pub(crate) async fn answer(parts: Arc<Parts>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != parts.interface.releases {
        return text(StatusCode::NOT_FOUND, "there is nothing here");
    }
    match *request.method() {
        Method::GET => read(&parts).await,
        Method::PUT => put(&parts, request).await,
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "GET or PUT"),
    }
}

async fn put(parts: &Parts, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), BODY_MAX).collect();
    let document = match tokio::time::timeout(BODY_TIME, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
        Err(_) => return text(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let release = match (parts.interface.release)(document) {
        Ok(release) => release,
        Err(reason) => {
            tracing::info!(event = Line::ReleaseRefused.as_str(), reason);
            return text(StatusCode::BAD_REQUEST, &reason);
        }
    };
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

async fn read(parts: &Parts) -> Response<Full<Bytes>> {
    let reading = async {
        let head = match ask(parts, Query::Head, READ).await {
            Some(Reply::Head(head)) => head,
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
