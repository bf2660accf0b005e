//! Hand-over of a request to another router of the data centre, and relaying of its answer.
//!
//! The peer receives the request as a caller's request, with two headers added, and does all that
//! serving takes: it authenticates, routes, claims the idempotency key and writes the log lines.
//! This router only moves bytes. What rule matches, and so whether the request may run twice, is
//! worked out here only after a failure.

use super::access_log::{Entry, CALLER_GONE};
use super::admit::{spread_retry_after, BUSY_CODE, FAST_RETRY_AFTER};
use super::listen::Frontend;
use super::plan::{plan, Plan};
use super::pool::{self, Connection, Key, Pool};
use super::refusal::{Refusal, DECLINED_CODE, DECLINED_HEADER, OUTCOME_HEADER};
use super::relay::Abort;
use super::resume::is_event_stream;
use super::upstream::{keep_alive_timeout, strip_hop_by_hop, Call, Failure};
use crate::client;
use crate::handover::{Decided, Handover, Ticket};
use crate::interface::Inbound;
use crate::shared::Published;
use crate::work::Stage;
use bytes::Bytes;
use coordination::ending::{Boundary, Ending, Framing};
use coordination::handover::{must_decline, Origin};
use coordination::messages::Verdict;
use coordination::retry::{self, Action, Reach};
use errors::{Error, Result};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request, StatusCode};
use state::id::{EndpointId, Name, Version};
use state::outcome::Outcome;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Header of a request that another router has passed on, with the name of that router's VM. Such
/// a request is not passed on again.
pub(super) const FORWARDED: HeaderName = HeaderName::from_static("cowslipford-forwarded");

/// Header of such a request with the version of the configuration that it was accepted under.
const FORWARDED_VERSION: HeaderName = HeaderName::from_static("cowslipford-forwarded-version");

/// Time between two checks whether the peer of a waiting request is still alive.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for an answer if the caller names none. The peer applies the rule's bound; this
/// one only ends what a frozen peer holds.
const ANSWER_MAX: Duration = Duration::from_secs(600);

/// What has become of a request that may be handed over.
pub(super) enum Handed {
    /// A peer answers it.
    Answered(Parts, Box<Forwarded>),
    /// It is to be served here, and has not run.
    Here,
    /// It is to be served here as a retry of one that may have run at a peer.
    Again(Box<Plan>),
}

/// The router that has passed a request on.
#[derive(Clone, Debug)]
pub(super) struct Forwarder {
    /// Name of its VM, as the header has it.
    pub(super) vm: HeaderValue,
    /// Version of the configuration under which it accepted the request.
    version: Version,
}

/// Removes the headers of a request that another router has passed on, and counts the request.
pub(super) fn take_forwarder(frontend: &Frontend, headers: &mut HeaderMap) -> Option<Forwarder> {
    let version = headers.remove(FORWARDED_VERSION);
    let vm = headers.remove(FORWARDED)?;
    frontend.context.metrics.accepted_from_peers.inc();
    // Routers always send a number. Nothing can be at least as new as what is no number.
    let version = version.map_or(Version(0), |text| {
        let number = text.to_str().ok().and_then(|t| t.parse().ok());
        Version(number.unwrap_or(u64::MAX))
    });
    Some(Forwarder { vm, version })
}

/// Declines a request that another router accepted under a newer configuration than this one has.
/// That router serves it itself.
///
/// # Errors
///
/// The refusal, by which the other router knows the reason.
pub(super) fn check_version(published: &Published, forwarder: &Forwarder) -> Result<(), Refusal> {
    let own = published.view.config_version;
    if !must_decline(own, forwarder.version) {
        return Ok(());
    }
    // Any caller can set the headers, and is not to learn the version.
    let text = "the configuration of this router is older than the one the request needs";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Err(Refusal::not_run(status, DECLINED_CODE, text).with_retry_after(FAST_RETRY_AFTER))
}

/// Hands a request over to a peer if this router has more to do than it can in time.
///
/// # Errors
///
/// The refusal, if the request comes from another router and there is no room for it, or if it was
/// handed over, failed, and must not run again.
pub(super) async fn hand_over(
    frontend: &Frontend,
    inbound: &Inbound,
    call: &mut Call,
    entry: &mut Entry,
    arrived_at: Instant,
) -> Result<Handed, Refusal> {
    let Some(handover) = &frontend.context.handover else {
        return Ok(Handed::Here);
    };
    let version = frontend.published().view.config_version;
    let origin = match entry.forwarder() {
        Some(_) => Origin::Router,
        // A peer of an earlier release would continue the stream at any version.
        None if call.continues_stream(&frontend.context.interface) => return Ok(Handed::Here),
        None => Origin::Caller(version),
    };
    let mut ticket = match handover.decide(origin) {
        Decided::Serve => return Ok(Handed::Here),
        Decided::Refuse => return Err(no_room(call)),
        Decided::HandOver(ticket) => ticket,
    };
    frontend.context.metrics.handed_over.inc();
    entry.set_stage(Stage::Peer);
    entry.begin_handover(ticket.vm());
    let deadline = arrived_at + inbound.timeout.unwrap_or(ANSWER_MAX);
    let mut found = None;
    let sent = send(frontend, call, version, &ticket, deadline, |call| {
        // A frozen peer never answers. A request that may run twice is retried at once; any other
        // one may still be answered, up to its deadline.
        let planned = plan(frontend, &frontend.published(), inbound, call).ok();
        let until = planned.as_ref().map(|plan| match plan.idempotent {
            true => Instant::now(),
            false => arrived_at + plan.timeout,
        });
        found = planned;
        until.unwrap_or(deadline)
    });
    let failure = match sent.await {
        Ok((response, _)) if is_declined(&response.head.headers) => {
            ticket.decline();
            let error = peer_error(ticket.address(), "its configuration is older");
            failed(Reach::Nothing, error)
        }
        Ok((response, connection)) => {
            let (head, forwarded) = begin_answer(frontend, ticket, response, connection, deadline);
            return Ok(Handed::Answered(head, forwarded));
        }
        Err(failure) => {
            ticket.fail();
            failure
        }
    };
    let peer = ticket.vm().clone();
    drop(ticket);
    if failure.reach == Reach::Nothing {
        entry.log_failure(&failure, "here");
        entry.withdraw_handover();
        return Ok(Handed::Here);
    }
    let plan = match found {
        Some(plan) => Some(plan),
        None => plan(frontend, &frontend.published(), inbound, call).ok(),
    };
    retry_here(frontend, plan, &failure, &peer, entry)
}

/// Begins to relay the answer of a peer.
fn begin_answer(
    frontend: &Frontend,
    mut ticket: Ticket,
    response: client::Response,
    connection: Connection,
    deadline: Instant,
) -> (Parts, Box<Forwarded>) {
    let client::Response {
        mut head,
        body,
        framing,
    } = response;
    ticket.answer(!has_no_room(&head));
    let keep_alive = keep_alive_timeout(&head.headers);
    let is_events = is_event_stream(&head.headers);
    let is_stream = is_events && body.size_hint().exact().is_none();
    strip_hop_by_hop(&mut head.headers);
    let handover = frontend.context.handover.as_ref();
    let interval = handover.map_or(Duration::ZERO, Handover::relay_interval);
    let mut forwarded = Forwarded {
        framing,
        boundary: is_events.then(Boundary::default),
        // The caller of any other answer waits for the whole of it, also if it is chunked.
        pace: Pace::new(if is_stream { interval } else { Duration::ZERO }),
        incoming: body,
        connection: Some(connection),
        pool: frontend.peers.clone(),
        key: key(&ticket),
        keep_alive,
        deadline,
        timer: Box::pin(tokio::time::sleep_until(deadline.into())),
        ticket,
        entry: None,
        end_reason: CALLER_GONE,
    };
    forwarded.end_if_empty();
    (head, Box::new(forwarded))
}

/// Decides whether a request that may have run at a peer is retried here.
///
/// # Errors
///
/// The refusal, if it must not run again.
fn retry_here(
    frontend: &Frontend,
    plan: Option<Plan>,
    failure: &Failure,
    peer: &Name,
    entry: &mut Entry,
) -> Result<Handed, Refusal> {
    let action = plan.as_ref().map_or(Action::Unknown, |plan| {
        let attempt = retry::Failure {
            reach: failure.reach,
            idempotent: plan.idempotent,
            retries: 0,
            retries_max: plan.retries,
            deadline: plan.arrival.deadline,
        };
        let now = frontend.context.clock.now();
        frontend.with_budget(plan.service, |budget| retry::decide(attempt, now, budget))
    });
    entry.log_failure(failure, action.as_str());
    match (action, plan) {
        (Action::Retry, Some(mut plan)) => {
            plan.retries = plan.retries.saturating_sub(1);
            Ok(Handed::Again(Box::new(plan)))
        }
        _ => {
            let text = format!("{peer}: {}", failure.error);
            let status = StatusCode::BAD_GATEWAY;
            Err(Refusal::unknown(status, "peer-failed", text))
        }
    }
}

/// Refusal of another router's request for lack of room. The answer closes its connection, by
/// which the sender knows that this router has no room.
fn no_room(call: &Call) -> Refusal {
    let text = "this router has no room for requests of others";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, BUSY_CODE, text)
        .with_retry_after(spread_retry_after(call.id))
}

/// Whether an answer says that the peer has no room: the peer itself refuses, and wants no more
/// requests on this connection.
fn has_no_room(head: &Parts) -> bool {
    let closes = head.headers.get(CONNECTION).is_some_and(|c| c == "close");
    is_refusal(&head.headers) && closes
}

/// Whether an answer says that the peer has not run the request because its configuration is older.
fn is_declined(headers: &HeaderMap) -> bool {
    is_refusal(headers) && headers.contains_key(DECLINED_HEADER)
}

/// Whether the peer itself refuses a request, and it has not run. An endpoint cannot set this
/// header of an answer.
fn is_refusal(headers: &HeaderMap) -> bool {
    let outcome = headers.get(OUTCOME_HEADER);
    outcome.is_some_and(|o| o == Outcome::NotRun.as_str())
}

/// Key of a peer in the pool of connections to peers, which has no endpoints.
fn key(ticket: &Ticket) -> Key {
    (EndpointId::default(), ticket.address())
}

/// Sends a request to a peer and returns the head of its answer. If the peer has been silent for
/// long, `patience` is asked once until when to wait.
async fn send<F>(
    frontend: &Frontend,
    call: &mut Call,
    version: Version,
    ticket: &Ticket,
    mut deadline: Instant,
    patience: F,
) -> Result<(client::Response, Connection), Failure>
where
    F: FnOnce(&mut Call) -> Instant,
{
    let address = ticket.address();
    let mut patience = Some(patience);
    let mut pooled = frontend.peers.take(&key(ticket), true);
    loop {
        let reused = pooled.is_some();
        let mut connection = match pooled.take() {
            Some(connection) => connection,
            None => pool::connect_to_peer(address)
                .await
                .map_err(|error| failed(Reach::Nothing, error))?,
        };
        let request = request(call, &frontend.context.vm, version, address)
            .map_err(|error| failed(Reach::Nothing, error))?;
        let sending = connection.sender.send(request);
        tokio::pin!(sending);
        let sent = loop {
            let driven = connection.drive(sending.as_mut());
            if let Ok(sent) = tokio::time::timeout(CHECK_INTERVAL, driven).await {
                break sent;
            }
            if ticket.is_peer_silent() {
                if let Some(patience) = patience.take() {
                    deadline = deadline.min(patience(call));
                }
            }
            if Instant::now() >= deadline {
                let error = peer_error(address, "it did not answer in time");
                return Err(failed(Reach::Sent, error));
            }
        };
        match sent {
            Ok(response) if response.head.headers.contains_key(OUTCOME_HEADER) => {
                return Ok((response, connection))
            }
            Ok(_) => {
                // Something else has the address by now.
                let error = peer_error(address, "the answer is not that of a router");
                return Err(failed(Reach::Sent, error));
            }
            Err(client::Failure::Unsent(_)) if reused => {
                pooled = frontend.peers.take(&key(ticket), true);
            }
            Err(failure) => {
                let reach = failure.reach();
                let error = Error::peer("hand over to a router", address)(failure);
                return Err(failed(reach, error));
            }
        }
    }
}

fn peer_error(address: SocketAddr, reason: &str) -> Error {
    Error::Peer {
        step: "hand over to a router",
        peer: address.to_string(),
        reason: reason.to_owned(),
    }
}

fn failed(reach: Reach, error: Error) -> Failure {
    Failure {
        reach,
        verdict: Verdict::Cancelled,
        unconnected: false,
        broke_off: false,
        backoff: None,
        error: Box::new(error),
    }
}

/// Builds the request to a peer: the caller's own, apart from its framing.
fn request(
    call: &Call,
    vm: &Name,
    version: Version,
    address: SocketAddr,
) -> Result<Request<Full<Bytes>>> {
    let path = call.uri.path_and_query().map_or("/", |p| p.as_str());
    let step = "build a request";
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(path)
        .body(Full::new(call.body.clone()))
        .map_err(Error::peer(step, address))?;
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    if !headers.contains_key(HOST) {
        let host = call.uri.host().unwrap_or("").to_owned();
        let host = HeaderValue::try_from(host).map_err(Error::peer(step, address))?;
        headers.insert(HOST, host);
    }
    let vm = HeaderValue::from_str(vm.as_str()).map_err(Error::peer(step, address))?;
    headers.insert(FORWARDED, vm);
    headers.insert(FORWARDED_VERSION, HeaderValue::from(version.0));
    Ok(request)
}

/// When the answer of a peer is read.
///
/// A stream costs two system calls and a wake-up for each event, more than everything else of a
/// request that is handed over. After a read, the next one therefore waits for an interval, and
/// takes all events that have arrived with one system call; hyper then writes them with one. A
/// pause between two events does not become longer, unless it is shorter than the interval.
enum Pace {
    /// The answer is read as soon as it arrives.
    Eager,
    /// It is read in intervals.
    Spaced {
        interval: Duration,
        /// End of the interval after the last read.
        timer: Pin<Box<tokio::time::Sleep>>,
        step: Step,
    },
}

/// Step of an answer that is read in intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// It is read as soon as it arrives.
    Waiting,
    /// What was read is passed on: so many bytes so far.
    Passing(usize),
    /// It is not read.
    Pausing,
}

/// Bytes of a read from which the next one does not wait: events take some hundred bytes each, and
/// a large answer would take longer than its connection allows.
const LARGE_READ_BYTES: usize = 8 * 1024;

impl Pace {
    fn new(interval: Duration) -> Self {
        match interval.is_zero() {
            true => Pace::Eager,
            false => Pace::Spaced {
                interval,
                timer: Box::pin(tokio::time::sleep(interval)),
                step: Step::Waiting,
            },
        }
    }

    /// Records that a piece is passed on.
    fn pass(&mut self, bytes: usize) {
        if let Pace::Spaced { step, .. } = self {
            *step = match *step {
                Step::Passing(earlier) => Step::Passing(earlier + bytes),
                Step::Waiting | Step::Pausing => Step::Passing(bytes),
            };
        }
    }

    /// Whether pieces that were read may be left.
    fn is_passing(&self) -> bool {
        matches!(
            self,
            Pace::Spaced {
                step: Step::Passing(_),
                ..
            }
        )
    }

    /// Records that all that was read has been passed on. There is no pause that would end at or
    /// after `deadline`: the end of the answer could arrive in it and would not be read.
    fn finish(&mut self, deadline: Instant) {
        if let Pace::Spaced {
            interval,
            timer,
            step,
        } = self
        {
            let is_large = matches!(step, Step::Passing(bytes) if *bytes >= LARGE_READ_BYTES);
            let until = Instant::now() + *interval;
            if is_large || until >= deadline {
                *step = Step::Waiting;
            } else {
                timer.as_mut().reset(until.into());
                *step = Step::Pausing;
            }
        }
    }

    /// Whether the answer is not read yet. The task is woken when it is.
    fn is_pausing(&mut self, context: &mut Context<'_>) -> bool {
        let Pace::Spaced { timer, step, .. } = self else {
            return false;
        };
        if *step == Step::Pausing && timer.as_mut().poll(context).is_ready() {
            *step = Step::Waiting;
        }
        *step == Step::Pausing
    }
}

/// Body of an answer that another router gives. It is neither metered nor timed here.
pub(crate) struct Forwarded {
    incoming: Incoming,
    framing: Framing,
    /// Position in the answer, if it is a stream of events. A peer of an earlier release may mark the
    /// end of one that its endpoint broke off.
    boundary: Option<Boundary>,
    pace: Pace,
    /// The connection, until the answer is complete. Dropping it before cancels the request at the
    /// peer.
    connection: Option<Connection>,
    pool: Arc<Pool>,
    key: Key,
    /// Time for which the peer announced that it keeps the connection open.
    keep_alive: Option<Duration>,
    /// When the answer is broken off.
    pub(super) deadline: Instant,
    timer: Pin<Box<tokio::time::Sleep>>,
    /// Counts the request as in progress at the peer.
    ticket: Ticket,
    pub(super) entry: Option<Entry>,
    /// How the answer ended, for the metrics.
    end_reason: &'static str,
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        if let Some(entry) = &mut self.entry {
            entry.count_handed_over(self.end_reason);
        }
    }
}

impl Forwarded {
    /// Completes the answer at once if it has no body, since an empty body is never polled.
    fn end_if_empty(&mut self) {
        if self.incoming.is_end_stream() {
            self.end();
        }
    }

    /// Returns the connection of a complete answer to the pool.
    fn end(&mut self) {
        self.end_reason = "handed-over";
        if let Some(mut connection) = self.connection.take() {
            // Makes the connection ready for the next request.
            connection.poll_driver(&mut Context::from_waker(Waker::noop()));
            self.pool.put(&self.key, connection, self.keep_alive);
        }
    }

    /// Reads the next piece of the answer, if it is time to.
    fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if self.pace.is_pausing(context) {
            return Poll::Pending;
        }
        if self.pace.is_passing() {
            // The task is not to be woken by what arrives from now on.
            let piece = self.poll_connection(&mut Context::from_waker(Waker::noop()));
            if piece.is_ready() {
                return piece;
            }
            self.pace.finish(self.deadline);
            if self.pace.is_pausing(context) {
                return Poll::Pending;
            }
        }
        self.poll_connection(context)
    }

    /// Reads what has arrived from the peer.
    fn poll_connection(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let piece = Pin::new(&mut self.incoming).poll_frame(context);
        if piece.is_ready() {
            return piece;
        }
        if let Some(connection) = &mut self.connection {
            connection.poll_driver(context);
        }
        Pin::new(&mut self.incoming).poll_frame(context)
    }
}

impl Body for Forwarded {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match self.poll_piece(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(boundary), Some(bytes)) = (&mut self.boundary, frame.data_ref()) {
                    boundary.push(bytes);
                }
                self.pace.pass(frame.data_ref().map_or(0, Bytes::len));
                if self.incoming.is_end_stream() {
                    self.end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            // The error makes hyper close the connection without the end of the answer, so
            // that the caller can see that the answer is incomplete.
            Poll::Ready(Some(Err(error))) => {
                self.end_reason = "peer-broke-off";
                tracing::debug!(peer = %self.ticket.vm(), %error, "a peer broke off its answer");
                Poll::Ready(Some(Err(Abort::Endpoint(error))))
            }
            Poll::Ready(None) => {
                let ending = self.boundary.as_ref().map(|b| b.judge(self.framing));
                if let Some(ending @ (Ending::Truncated | Ending::BrokenOff)) = ending {
                    self.end_reason = "peer-broke-off";
                    return Poll::Ready(Some(Err(Abort::Unfinished(ending))));
                }
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if self.timer.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.end_reason = "timeout";
                Poll::Ready(Some(Err(Abort::Deadline)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn does_not_pause_past_the_deadline() {
        // Failure: the end of an answer arrives before the deadline, and is not read because of a
        // pause that lasts longer.
        let interval = Duration::from_millis(80);
        let mut context = Context::from_waker(Waker::noop());
        for (left_ms, pauses) in [(10_000, true), (60, false), (0, false)] {
            let mut pace = Pace::new(interval);
            pace.pass(100);
            pace.finish(Instant::now() + Duration::from_millis(left_ms));
            assert_eq!(pace.is_pausing(&mut context), pauses, "{left_ms} ms left");
        }
    }
}
