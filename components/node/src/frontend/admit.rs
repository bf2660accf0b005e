//! Admission of a request before it is routed: readiness, load, framing and sizes; and reading
//! of its body within bounds.

use super::access_log::Entry;
use super::forward::check_version;
use super::listen::{Frontend, BODY_UNIT_BYTES};
use super::plan::ANONYMOUS_CUSTOMER;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::interface::Inbound;
use crate::shared::Published;
use crate::socket::State;
use bytes::{Bytes, BytesMut};
use coordination::admission::Admission;
use coordination::shutdown::Phase;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use state::id::{RequestId, Version};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Code of refusals while tasks of this process run late.
pub(super) const BUSY_CODE: &str = "router-busy";

/// Code of refusals by a stop, and reason of answers that a stop breaks off.
pub(super) const STOPPING_CODE: &str = "stopping";

/// Retry-After for a request that another router, or another endpoint, can serve at once.
pub(super) const FAST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Lower bound of the limit on the bytes that are read of a refused request's body.
const MIN_DISCARD_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Longest time for which the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks everything that the head alone allows to check; returns what the head asks for.
///
/// # Errors
///
/// The refusal, if one of the checks fails.
pub(super) fn admit(
    frontend: &Frontend,
    published: &Published,
    head: &Parts,
    entry: &mut Entry,
) -> Result<Inbound, Refusal> {
    let inbound = (frontend.context.interface.parse_request)(head);
    if let Ok(inbound) = &inbound {
        // Set before any check, so that the log line of a refused request has the caller's
        // ID.
        entry.set_caller_request_id(inbound.request_id.clone());
    }
    let key = inbound
        .as_ref()
        .ok()
        .and_then(|inbound| inbound.key.as_ref());
    let customer = key.and_then(|key| published.index.customer(key));
    entry.set_customer(published, customer);
    if let Some(forwarder) = entry.forwarder() {
        // Before the check of readiness: a router that has just started has no configuration, and
        // its refusal would cost the caller a retry, where the other router can serve the request.
        check_version(published, forwarder)?;
    }
    check_ready(published)?;
    let timeout = inbound.as_ref().ok().and_then(|inbound| inbound.timeout);
    // Other routers send what they cannot serve, whoever's it is.
    let customer = customer.unwrap_or(ANONYMOUS_CUSTOMER);
    let is_light = entry.forwarder().is_none() && frontend.ask(customer);
    check_lateness(frontend, entry, timeout, is_light)?;
    check_framing(head)?;
    check_size(head, frontend.context.callers.head_max)?;
    inbound.map_err(|reason| Refusal::not_run(StatusCode::BAD_REQUEST, "bad-head", reason))
}

/// Refuses a request while this router is stopping or has no configuration yet.
fn check_ready(published: &Published) -> Result<(), Refusal> {
    if published.closed {
        return Err(stopping());
    }
    if published.ready && published.view.config_version > Version(0) {
        return Ok(());
    }
    let text = "this router does not know the configuration yet";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Err(Refusal::not_run(status, "not-ready", text).with_retry_after_s(1))
}

/// Refusal of a request that has not run, and that this router does not serve since it is stopping.
pub(super) fn stopping() -> Refusal {
    let text = "this router is stopping; another one will take it";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, STOPPING_CODE, text).with_retry_after(FAST_RETRY_AFTER)
}

/// Refuses a request while tasks of this router run late.
///
/// All callers of one large customer can arrive at one router. When the router admitted them
/// faster than its processor could serve them, they waited 1 to 2 s for a refusal, and all
/// requests in the router were delayed. Callers that are refused at once retry at another
/// router, and the processor time remains for the admitted requests.
fn check_lateness(
    frontend: &Frontend,
    entry: &Entry,
    timeout: Option<Duration>,
    is_light: bool,
) -> Result<(), Refusal> {
    if frontend.context.lateness.admit_request(is_light) == Admission::Admit {
        return Ok(());
    }
    // The caller of a request that another router has passed on returns to that router.
    if frontend.context.lateness.answers_excess() && entry.forwarder().is_none() {
        return Err(busy(frontend.context.lateness.retry_after(timeout)));
    }
    Err(busy(spread_retry_after(entry.id())))
}

/// Retry-After of 50 to 200 ms, which spreads the retries of callers that are refused at the same
/// time.
pub(super) fn spread_retry_after(id: RequestId) -> Duration {
    FAST_RETRY_AFTER * (1 + u32::try_from(id.count % 4).unwrap_or(0))
}

/// Refusal of a request that this router can't serve in time.
pub(super) fn busy(retry_after: Duration) -> Refusal {
    let text = "this router has more to do than it can in time; another one may have room";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, BUSY_CODE, text).with_retry_after(retry_after)
}

/// Refuses a customer's request if the last proof that this router has the newest version is too
/// old.
///
/// A router that is partitioned from the control VMs does not learn that a key was revoked.
/// Without this check, the key would work long after operators were told that it is revoked.
pub(super) fn check_proof_age(frontend: &Frontend, published: &Published) -> Result<(), Refusal> {
    let now = frontend.context.clock.now();
    let age = published.verified_at.map_or(u64::MAX, |at| now.since(at));
    match frontend.context.max_proof_age_ms {
        Some(bound) if age > bound => {
            let text = "this router is cut off from control for longer than allowed";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(Refusal::not_run(status, "stale", text).with_retry_after_s(1))
        }
        _ => Ok(()),
    }
}

/// Refuses a head that two HTTP implementations could interpret differently.
///
/// With both Content-Length and Transfer-Encoding, or with two lengths, this router and a proxy
/// in front of it could disagree about where the request ends (request smuggling): the
/// rest of the body would be read as another request, and its answer go to another caller.
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
        // Routing here could use another host than the endpoint does.
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

/// Refuses a head that is larger than `max` bytes, with a reason. The HTTP library itself answers
/// a head of more than twice that size with a 431 without a body.
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

/// Reads and drops the rest of a refused request's body, within bounds of size and time.
///
/// If the connection were closed with unread bytes, the operating system would reset it, and the
/// caller could lose the response with the reason.
pub(super) async fn discard_body(frontend: &Frontend, mut body: Incoming, socket: &State) {
    let context = &frontend.context;
    let reading = async {
        let mut remaining = context.callers.body_max.max(MIN_DISCARD_LIMIT_BYTES);
        while let Some(Ok(frame)) = body.frame().await {
            remaining = remaining.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if remaining == 0 {
                return;
            }
        }
        socket.set_unread_body(false);
    };
    // After that, the response is sent although the body has not been read to its end.
    tokio::select! {
        () = reading => {}
        () = tokio::time::sleep(DISCARD_TIMEOUT) => {}
        () = context.work.until(Phase::Refusing) => {}
    }
}

/// Reads the whole body, within bounds of size, time and memory.
///
/// The memory of all bodies together is bounded while they are read, too. Otherwise many
/// connections that each send a large body would exhaust the memory before any queue could
/// refuse their requests.
///
/// # Errors
///
/// The refusal, if the body exceeds a bound or cannot be read.
pub(super) async fn read_body(
    frontend: &Frontend,
    id: RequestId,
    inbound: &Inbound,
    head: Parts,
    mut body: Incoming,
    socket: &State,
) -> Result<Call, Refusal> {
    let max = frontend.context.callers.body_max;
    // CAST: `usize` is at most 64 bits on every supported target.
    if body.size_hint().lower() > max as u64 {
        discard_body(frontend, body, socket).await;
        return Err(too_large(max));
    }
    let time = Duration::from_millis(frontend.context.callers.body_ms);
    let reading = tokio::time::timeout(time, collect(frontend, &mut body, max)).await;
    let (body, memory) = match reading {
        Ok(Ok(collected)) => collected,
        Ok(Err(refusal)) => {
            discard_body(frontend, body, socket).await;
            return Err(refusal);
        }
        Err(_) => {
            let text = format!("the body took longer than {} ms", time.as_millis());
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(Refusal::not_run(status, "slow-body", text));
        }
    };
    socket.set_unread_body(false);
    Ok(Call {
        id,
        request_id: inbound.request_id.clone(),
        shared_parts: inbound.shared_parts.clone(),
        customer: None,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        _memory: memory,
        fingerprint: OnceLock::new(),
    })
}

/// Collects a body, together with the permits for its part of the memory for bodies.
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
        let wanted = bytes.len().div_ceil(BODY_UNIT_BYTES).saturating_sub(held);
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        let more = frontend.body_memory.clone().try_acquire_many_owned(wanted);
        let more = more.map_err(|_| {
            let text = "the bodies that this router holds take all the memory for them";
            Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "bodies-full", text)
                .with_retry_after_s(1)
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
