//! What is checked before a request is looked at: readiness, framing, customer, body.

use super::listen::{Frontend, BODY_UNIT};
use super::note::Note;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::interface::Inbound;
use crate::shared::Published;
use bytes::{Bytes, BytesMut};
use coordination::admission::Admission;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use state::id::{RequestId, Version};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Reason of refusals while tasks run late.
pub(super) const BUSY: &str = "router-busy";

/// Time after which a caller is to come back that another router, or another endpoint, can
/// serve at once.
pub(super) const ELSEWHERE: Duration = Duration::from_millis(50);

/// Bytes that a refused caller may still send, at least.
const DISCARD: usize = 4 * 1024 * 1024;

/// Time for which they are read.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Checks what the head alone tells; gives what it asks for.
pub(super) fn admit(
    frontend: &Frontend,
    published: &Published,
    head: &Parts,
    note: &mut Note,
) -> Result<Inbound, Refusal> {
    let asked = (frontend.context.interface.parse_request)(head);
    if let Ok(asked) = &asked {
        // First of all: a refused request must be found by its caller's identity too.
        note.identify(asked.identity.clone());
    }
    check_ready(published)?;
    check_lateness(frontend, note.id())?;
    check_framing(head)?;
    check_size(head, frontend.context.callers.head_max)?;
    asked.map_err(|reason| Refusal::not_run(StatusCode::BAD_REQUEST, "bad-head", reason))
}

fn check_ready(published: &Published) -> Result<(), Refusal> {
    if published.closed {
        let text = "this router is stopping; another one will take it";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Refusal::not_run(status, "stopping", text).after_time(ELSEWHERE));
    }
    if published.ready && published.view.config_version > Version(0) {
        return Ok(());
    }
    let text = "this router does not know the configuration yet";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Err(Refusal::not_run(status, "not-ready", text).after(1))
}

/// Refuses a request while tasks of this router run late.
///
/// Callers of one large customer come to one router. Let in faster than its processor
/// can serve them, they waited 1 to 2 s for refusals, and nothing that the router held
/// moved on in time. Refused at once they come back to another router, and the
/// processor stays with those that were let in.
fn check_lateness(frontend: &Frontend, id: RequestId) -> Result<(), Refusal> {
    if frontend.context.lateness.admit_request() == Admission::Admit {
        return Ok(());
    }
    let text = "this router has more to do than it can in time; another one may have room";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    // Callers that are refused together must not come back together.
    let after = ELSEWHERE * (1 + u32::try_from(id.count % 4).unwrap_or(0));
    Err(Refusal::not_run(status, BUSY, text).after_time(after))
}

/// Refuses a customer's request while the newest version is not proved.
///
/// A router that is cut off does not hear that a key was taken away. Served on,
/// its holder would be seen to use it long after the operators were told that
/// it is gone.
pub(super) fn check_proof(frontend: &Frontend, published: &Published) -> Result<(), Refusal> {
    let now = frontend.context.clock.now();
    let age = published.verified_at.map_or(u64::MAX, |at| now.since(at));
    match frontend.context.max_proof_age_ms {
        Some(bound) if age > bound => {
            let text = "this router is cut off from control for longer than allowed";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(Refusal::not_run(status, "stale", text).after(1))
        }
        _ => Ok(()),
    }
}

/// Refuses a head that two readers could understand differently.
///
/// With both lengths, or two of them, this router and a proxy before it could
/// disagree where the request ends; the rest would be read as a request of its
/// own, and its answer go to someone else.
fn check_framing(head: &Parts) -> Result<(), Refusal> {
    let headers = &head.headers;
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let both = lengths > 0 && headers.contains_key(TRANSFER_ENCODING);
    if both || lengths > 1 {
        let text = "a body has one Content-Length, or Transfer-Encoding: chunked";
        return Err(Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "ambiguous-length",
            text,
        ));
    }
    if headers.get_all(HOST).iter().count() > 1 {
        // The one that decides here need not be the one that the endpoint reads.
        let text = "a request names one host";
        let status = StatusCode::BAD_REQUEST;
        return Err(Refusal::not_run(status, "ambiguous-host", text));
    }
    if head.method == Method::CONNECT {
        let text = "CONNECT is not served";
        return Err(Refusal::not_run(
            StatusCode::METHOD_NOT_ALLOWED,
            "connect",
            text,
        ));
    }
    Ok(())
}

/// Refuses a large head with a reason. The library refuses one that is twice as
/// large by itself, with a bare 431.
fn check_size(head: &Parts, max: usize) -> Result<(), Refusal> {
    let fields = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    let target = head.uri.path_and_query().map_or(0, |p| p.as_str().len());
    if fields.sum::<usize>() + target <= max {
        return Ok(());
    }
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let text = format!("a head has at most {max} bytes here");
    Err(Refusal::not_run(status, "head-too-large", text))
}

/// Reads what a refused caller still sends, within bounds.
///
/// If the connection closed with bytes unread, the system would reset it, and
/// the caller could lose the answer that tells why.
pub(super) async fn discard(mut body: Incoming, most: usize) {
    let reading = async {
        let mut left = most.max(DISCARD);
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    };
    // Past the time the answer is given, whatever is still to come.
    let _ = tokio::time::timeout(DISCARD_TIME, reading).await;
}

/// Reads the whole body, within bounds of size, time and memory.
///
/// What all bodies together take is bounded while they are read, too: a flood of
/// connections that each send a large body would else fill the memory before
/// any queue could refuse them.
pub(super) async fn read(
    frontend: &Frontend,
    id: RequestId,
    identity: Option<HeaderValue>,
    head: Parts,
    mut body: Incoming,
) -> Result<Call, Refusal> {
    let max = frontend.context.callers.body_max;
    // CAST: `usize` is at most 64 bits on every supported target.
    if body.size_hint().lower() > max as u64 {
        discard(body, max).await;
        return Err(too_large(max));
    }
    let time = Duration::from_millis(frontend.context.callers.body_ms);
    let reading = tokio::time::timeout(time, collect(frontend, &mut body, max)).await;
    let (body, memory) = match reading {
        Ok(Ok(collected)) => collected,
        Ok(Err(refusal)) => {
            discard(body, max).await;
            return Err(refusal);
        }
        Err(_) => {
            let text = format!("the body took longer than {} ms", time.as_millis());
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(Refusal::not_run(status, "slow-body", text));
        }
    };
    Ok(Call {
        id,
        identity,
        customer: None,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        _memory: memory,
        fingerprint: OnceLock::new(),
    })
}

/// Collects a body, with its part of the memory for bodies.
async fn collect(
    frontend: &Frontend,
    body: &mut Incoming,
    max: usize,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Refusal> {
    let mut bytes = BytesMut::new();
    let mut memory: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let text = format!("the body could not be read: {error}");
            Refusal::not_run(StatusCode::BAD_REQUEST, "bad-body", text)
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > max {
            return Err(too_large(max));
        }
        bytes.extend_from_slice(data);
        let held = memory.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let wanted = bytes.len().div_ceil(BODY_UNIT).saturating_sub(held);
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        let more = frontend.bodies.clone().try_acquire_many_owned(wanted);
        let more = more.map_err(|_| {
            let text = "the bodies that this router holds take all the memory for them";
            Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "bodies-full", text).after(1)
        })?;
        match &mut memory {
            Some(memory) => memory.merge(more),
            None => memory = Some(more),
        }
    }
    Ok((bytes.freeze(), memory))
}

fn too_large(max: usize) -> Refusal {
    let text = format!("a body has at most {max} bytes here");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", text)
}
