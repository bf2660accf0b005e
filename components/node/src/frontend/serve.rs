//! Serves a request from its arrival to its answer: admission, routing, queueing, tries at
//! endpoints, and relaying of the answer.

use super::access_log::{Entry, CALLER_GONE};
use super::admit::{admit, discard_body, read_body, BUSY_CODE, FAST_RETRY_AFTER};
use super::claim::{claim, Claim, Claimed};
use super::connections::Activity;
use super::delivery::Delivery;
use super::forward::{self, Forwarded, Handed};
use super::listen::Frontend;
use super::plan::{no_endpoint, plan, Plan, NO_ENDPOINT_RETRY_AFTER, NO_ENDPOINT_TEXT};
use super::refusal::{set_header, Refusal, OUTCOME_HEADER};
use super::relay::{Answering, Meter, Origin, Relay, Replay, Slot};
use super::resume::{is_event_stream, RelayedRequest, Resumption, Tries};
use super::upstream::{self, Answer, Call, Failure};
use crate::client;
use crate::input::{Decided, Decision, Dispatch, Input};
use crate::interface::REQUEST_ID;
use crate::shared::Published;
use crate::socket::State;
use crate::work::Stage;
use bytes::Bytes;
use coordination::dispatcher::{Handle, Rejection};
use coordination::ending::Boundary;
use coordination::messages::Verdict;
use coordination::origin;
use coordination::pause;
use coordination::retry::{self, Action, Reach};
use http_body_util::{Either, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode, Version};
use prometheus::IntCounter;
use state::event::{Event, Kind};
use state::id::{CustomerId, RequestId, Software};
use state::outcome::Outcome;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Most failed connections of a request that do not count as failed tries. Each costs up to the
/// connect timeout, and after two of them most of the service's endpoints are likely to be
/// unreachable.
pub(super) const MAX_UNCONNECTED_TRIES: u32 = 2;

/// Text of a refusal because the request would be answered too late.
const OVERLOADED_TEXT: &str = "the endpoints have more to do than they can in time";

/// Least Retry-After if too many requests of the caller are queued: about the time that a request
/// waits in the queue.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-After of a stream whose version this router's list lacks: about the time between two
/// updates of the list.
const STALE_LIST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Response to a caller: a body of the router itself, or one relayed from an endpoint or from
/// another router.
type Reply = Response<Either<Full<Bytes>, Either<Relay, Forwarded>>>;

/// Deadline of a relayed answer, as an extension of its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerDeadline(pub(crate) Instant);

/// Serves one request. This never fails, since a refusal is a response, too.
pub(crate) async fn serve(
    frontend: Arc<Frontend>,
    request: Request<Incoming>,
    activity: &Activity,
) -> Result<Reply, std::convert::Infallible> {
    let id = RequestId {
        router: frontend.context.incarnation,
        count: frontend.next_request.fetch_add(1, Ordering::Relaxed),
    };
    let arrived_at = Instant::now();
    let published = frontend.published();
    let now = frontend.context.clock.now();
    let metrics = frontend.context.metrics.clone();
    let work = activity.work();
    let mut entry = Entry::new(id, arrived_at, now, &published, metrics, work.clone());
    let socket = activity.socket();
    socket.set_unread_body(!request.body().is_end_stream());
    let serving = handle(
        &frontend, published, &mut entry, request, socket, arrived_at,
    );
    let answered = tokio::select! {
        biased;
        answered = serving => answered,
        () = work.until_given_up() => Err(entry.refuse_at_stop()),
    };
    work.set(Stage::Answer);
    let is_busy = matches!(&answered, Err(refusal) if refusal.code == BUSY_CODE);
    let is_refused = answered.is_err();
    let reply = match answered {
        Ok(Served::Relayed(head, mut relay)) => {
            relay.entry = Some((entry, head.status));
            let deadline = AnswerDeadline(relay.deadline.deadline().into_std());
            let mut reply = Response::from_parts(head, Either::Right(Either::Left(*relay)));
            reply.extensions_mut().insert(deadline);
            reply
        }
        Ok(Served::Forwarded(head, mut forwarded)) => {
            forwarded.entry = Some(entry);
            let deadline = AnswerDeadline(forwarded.deadline);
            let mut reply = Response::from_parts(head, Either::Right(Either::Right(*forwarded)));
            reply.extensions_mut().insert(deadline);
            reply
        }
        Ok(Served::Replayed(response)) => {
            entry.log_answer(response.status(), "replayed");
            response.map(Either::Left)
        }
        Err(refusal) => {
            count_answer(&frontend, refusal.outcome, refusal.status);
            if frontend.should_log(&refusal) {
                let event = Event::new(Kind::Refused).request(id);
                frontend.context.journal.record(event);
                entry.log_refusal(&refusal);
            } else {
                entry.count_refusal(&refusal);
            }
            (refusal.response(id, &frontend.context.interface)).map(Either::Left)
        }
    };
    frontend
        .context
        .metrics
        .duration
        .observe(arrived_at.elapsed().as_secs_f64());
    Ok(close_if_needed(&frontend, reply, is_busy, is_refused))
}

/// Adds `Connection: close` to a response if the caller should send its next request elsewhere.
///
/// This is so while this process is stopping, is a dedicated scheduler or has few connections left,
/// and for refusals while this router is overloaded or new connections go to other routers. A
/// new connection that this router closes unread costs it less than a request.
///
/// Closing the connection without this header could race with a request that its caller has
/// just sent on it, and fail a request that could have been served.
fn close_if_needed(
    frontend: &Frontend,
    mut reply: Reply,
    is_busy: bool,
    is_refused: bool,
) -> Reply {
    let is_nearly_full = frontend
        .context
        .budget
        .is_nearly_full(frontend.connections());
    let is_bypassed = is_refused && frontend.context.lateness.is_bypassed();
    let published = frontend.context.published.borrow();
    if is_nearly_full || is_busy || is_bypassed || published.is_dedicated || published.stopping {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

/// Successful results of serving a request.
enum Served {
    /// An endpoint answers: the head of its answer, and the body to relay.
    Relayed(hyper::http::response::Parts, Box<Relay>),
    /// Another router answers: the head of its answer, and the body to relay.
    Forwarded(hyper::http::response::Parts, Box<Forwarded>),
    /// The stored answer to an earlier request with the same idempotency key.
    Replayed(Box<Response<Full<Bytes>>>),
}

/// Admits, routes and claims a request, and has it answered.
///
/// What is published holds a whole configuration, so that no request keeps it while it waits.
async fn handle(
    frontend: &Arc<Frontend>,
    published: Published,
    entry: &mut Entry,
    request: Request<Incoming>,
    socket: &State,
    arrived_at: Instant,
) -> Result<Served, Refusal> {
    let (mut head, body) = request.into_parts();
    entry.set_forwarder(forward::take_forwarder(frontend, &mut head.headers));
    let inbound = match admit(frontend, &published, &head, entry) {
        Ok(inbound) => inbound,
        Err(refusal) => {
            drop(published);
            entry.set_stage(Stage::Answer);
            discard_body(frontend, body, socket).await;
            return Err(refusal);
        }
    };
    let key = inbound.key.as_ref();
    let customer = key.and_then(|key| published.index.customer(key));
    drop(published);
    if let Some(customer) = customer {
        if let Err(refusal) = frontend.check_parts(&inbound.shared_parts, customer) {
            entry.set_stage(Stage::Answer);
            discard_body(frontend, body, socket).await;
            return Err(refusal);
        }
    }
    let id = entry.id();
    frontend
        .context
        .journal
        .record(Event::new(Kind::Taken).request(id));
    entry.set_resumes(
        head.headers
            .get(frontend.context.interface.resumes)
            .cloned(),
    );
    let mut call = read_body(frontend, id, &inbound, head, body, socket).await?;
    let handed = forward::hand_over(frontend, &inbound, &mut call, entry, arrived_at).await?;
    let (plan, may_have_run) = match handed {
        Handed::Answered(head, forwarded) => return Ok(Served::Forwarded(head, forwarded)),
        Handed::Here => {
            let published = frontend.published();
            entry.set_version(frontend.context.clock.now(), &published);
            (plan(frontend, &published, &inbound, &mut call)?, false)
        }
        Handed::Again(plan) => (*plan, true),
    };
    if may_have_run {
        entry.set_may_have_run();
    }
    entry.set_plan(&plan, call.customer.clone());
    let event = Event::new(Kind::Taken).request(id);
    frontend
        .context
        .journal
        .record(event.customer(plan.customer));
    let key = call.headers.get("idempotency-key").cloned();
    let mut claimed = None;
    entry.set_stage(Stage::Control);
    if let Some(key) = key.filter(|_| !plan.idempotent) {
        let wait = plan.timeout.min(Duration::from_secs(10));
        match claim(frontend, &call, plan.customer, key.as_bytes(), wait).await? {
            Claimed::New(claim) => claimed = Some(claim),
            Claimed::Earlier(response) => {
                count_answer(frontend, Outcome::Answered, response.status());
                return Ok(Served::Replayed(response));
            }
        }
    }
    let required = required_version(frontend, &call, &plan, entry).await?;
    let request = (call, plan, required);
    let served = dispatch_until_answered(frontend, request, claimed, entry, arrived_at).await;
    match may_have_run {
        true => served.map_err(Refusal::into_unknown),
        false => served,
    }
}

/// A queued request. It leaves the queue when this value is dropped, since the caller is gone.
pub(super) struct Queued {
    /// The request in the dispatcher; `None` once it has left the queue.
    pub(super) handle: Option<Handle>,
    pub(super) id: RequestId,
    pub(super) frontend: Arc<Frontend>,
}

impl Drop for Queued {
    fn drop(&mut self) {
        if let Some(handle) = self.handle {
            let event = Event::new(Kind::CallerGone).request(self.id);
            self.frontend.context.journal.record(event);
            let _ = self.frontend.context.reactor.send(Input::Cancel(handle));
        }
    }
}

/// Software version that an endpoint must have.
#[derive(Clone, Copy, Debug, Default)]
struct Required {
    /// The version, which is checked before anything is sent.
    software: Option<Software>,
    /// The version that the scheduler is asked for. Schedulers in other regions know no versions, so
    /// that it is not named if the service states none and has no other endpoints.
    asked: Option<Software>,
}

/// Software version that the endpoint must have, if the request takes a stream up again.
///
/// # Errors
///
/// The refusal, if the stream can go on nowhere.
async fn required_version(
    frontend: &Frontend,
    call: &Call,
    plan: &Plan,
    entry: &mut Entry,
) -> Result<Required, Refusal> {
    let interface = &frontend.context.interface;
    // A caller that names where its stream began has a part of it, whatever the rule says by now.
    let is_named = call.headers.contains_key(interface.resumes);
    if !call.continues_stream(interface) || !(plan.resume || is_named) {
        return Ok(Required::default());
    }
    let (sender, reply) = oneshot::channel();
    let stream = origin::Stream {
        service: plan.service,
        rule: plan.rule.clone(),
        has_one_service: plan.has_one_service,
    };
    let question = Input::Continue(stream, plan.stream, sender);
    let _ = frontend.context.reactor.send(question);
    let continued = reply.await.map_err(|_| no_endpoint())?;
    let decision = continued.decision;
    let is_only = continued.is_only;
    entry.record_origin(continued);
    let counter = &frontend.context.metrics.continued_streams;
    counter.with_label_values(&[decision.as_str()]).inc();
    match decision {
        origin::Decision::At(software) => Ok(Required {
            software: Some(software),
            asked: Some(software).filter(|software| software.is_stated() || !is_only),
        }),
        // Never the result of a lookup.
        origin::Decision::LookUp => Err(rejected_stream(origin::Rejection::Unreachable)),
        origin::Decision::Reject(rejection) => Err(rejected_stream(rejection)),
    }
}

/// Refusal of a stream that can go on nowhere.
fn rejected_stream(rejection: origin::Rejection) -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let refusal = |text| Refusal::not_run(status, rejection.as_str(), text);
    match rejection {
        origin::Rejection::Unknown => refusal("which version began the stream is not known"),
        origin::Rejection::Gone => refusal("no endpoint has the version that began the stream"),
        // Another router may know.
        origin::Rejection::Unreachable => {
            refusal("the control VMs could not be asked which version began the stream")
                .with_retry_after(FAST_RETRY_AFTER)
        }
        origin::Rejection::Stale => {
            let text = "this router's list of endpoints is not the latest, and has none with the \
                        version that began the stream";
            refusal(text).with_retry_after(STALE_LIST_RETRY_AFTER)
        }
    }
}

/// Queues a request, sends it to an endpoint, and retries where that is safe.
async fn dispatch_until_answered(
    frontend: &Arc<Frontend>,
    (call, plan, required): (Call, Plan, Required),
    mut claim: Option<Claim>,
    entry: &mut Entry,
    arrived_at: Instant,
) -> Result<Served, Refusal> {
    frontend.check_quarantine(&call, plan.customer)?;
    frontend.take_trial(&call, plan.customer)?;
    frontend.earn_retries(plan.service);
    entry.set_stage(Stage::Queue);
    let (handle, mut decided) = enqueue(frontend, &plan, required.asked).await?;
    let software = required.software;
    let mut retries = 0;
    let mut unconnected_tries = 0;
    let mut breaks = 0;
    loop {
        let queued = Queued {
            handle: Some(handle),
            id: call.id,
            frontend: frontend.clone(),
        };
        let wanted = Wanted {
            customer: plan.customer,
            software,
            retries,
            idempotent: plan.idempotent,
        };
        let dispatch = wait_for_dispatch(frontend, &call, queued, decided, wanted).await?;
        entry.set_stage(Stage::Endpoint);
        entry.log_dispatch(&dispatch, call.fingerprint());
        record_dispatch(frontend, &call, &plan, &dispatch, retries, arrived_at);
        let delivery = Delivery::new(frontend, &call, plan.customer, &dispatch);
        let mut slot = take_slot(frontend, handle, &call, &plan);
        if let Some(claim) = &mut claim {
            claim.mark_sent();
        }
        let remaining = plan.timeout.saturating_sub(arrived_at.elapsed());
        let options = upstream::Options {
            interface: &frontend.context.interface,
            pool: &frontend.pool,
            at_most_once: !plan.idempotent,
            remaining,
            last_event_id: None,
        };
        let sending = tokio::time::timeout(remaining, upstream::send(&call, &dispatch, options));
        let sent = tokio::select! {
            biased;
            sent = sending => sent,
            // Closes the connection: the endpoint may not have begun with the request.
            refusal = frontend.until_quarantined(&call, plan.customer) => return Err(refusal),
        };
        let backoff = match &sent {
            Ok(Ok(answer)) => answer.backoff,
            Ok(Err(failure)) => failure.backoff,
            Err(_) => None,
        };
        if let Some(backoff) = backoff {
            // Sent before the request is queued again, so that it does not return to this endpoint.
            let _ = frontend
                .context
                .reactor
                .send(Input::Backoff(handle, backoff));
        }
        let failure = match sent {
            Ok(Ok(answer)) => match frontend.retriable_failure(&plan, retries, answer) {
                Ok(answer) => {
                    let subject = RelayedRequest {
                        frontend: frontend.clone(),
                        call,
                        plan,
                        arrived_at,
                        software,
                        was_suspected: delivery.was_suspected(),
                    };
                    let answering = (answer, delivery);
                    let tries = Tries {
                        retries,
                        unconnected: unconnected_tries,
                        breaks,
                    };
                    return Ok(relay_answer(
                        subject, tries, answering, slot, claim, dispatch,
                    ));
                }
                Err(failure) => failure,
            },
            Ok(Err(failure)) => failure,
            Err(_) => {
                // The endpoint is blamed only if it had at least half of the time; the rest
                // may have passed in the queue.
                if remaining >= plan.timeout / 2 {
                    slot.verdict = Verdict::Failed;
                }
                let text = format!("{} did not answer in time", dispatch.name);
                return Err(
                    Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", text)
                        .with_retry_after_s(1),
                );
            }
        };
        if failure.broke_off {
            breaks += 1;
            delivery.report_break();
        }
        if let (Some(claim), Reach::Nothing) = (&mut claim, failure.reach) {
            claim.mark_unsent();
        }
        if failure.unconnected && unconnected_tries < MAX_UNCONNECTED_TRIES {
            // Nothing was sent, so this costs no endpoint any work.
            entry.log_failure(&failure, "elsewhere");
            slot.verdict = failure.verdict;
            entry.set_stage(Stage::Queue);
            decided = requeue(frontend, slot).await?;
            unconnected_tries += 1;
            continue;
        }
        let attempt = retry::Failure {
            reach: failure.reach,
            idempotent: plan.idempotent,
            retries,
            retries_max: plan.retries,
            deadline: plan.arrival.deadline,
        };
        let now = frontend.context.clock.now();
        let action =
            frontend.with_budget(plan.service, |budget| retry::decide(attempt, now, budget));
        entry.log_failure(&failure, action.as_str());
        slot.verdict = failure.verdict;
        if action != Action::Retry {
            return Err(give_up(action, &dispatch, &failure));
        }
        if plan.idempotent {
            entry.set_may_have_run();
        }
        entry.set_stage(Stage::Queue);
        decided = requeue(frontend, slot).await?;
        retries += 1;
    }
}

/// The slot of a request that has just been dispatched.
pub(super) fn take_slot(frontend: &Frontend, handle: Handle, call: &Call, plan: &Plan) -> Slot {
    Slot {
        handle,
        id: call.id,
        meter: Meter::new(plan.cost, plan.arrival.prompt, plan.engine).for_stream(plan.objective),
        verdict: Verdict::Cancelled,
        is_armed: true,
        reactor: frontend.context.reactor.clone(),
        journal: frontend.context.journal.clone(),
    }
}

/// Records the dispatch in the journal, and the time in the queue in the metrics.
pub(super) fn record_dispatch(
    frontend: &Frontend,
    call: &Call,
    plan: &Plan,
    dispatch: &Dispatch,
    retries: u32,
    arrived_at: Instant,
) {
    let kind = if retries == 0 {
        let waited = arrived_at.elapsed().as_secs_f64();
        frontend.context.metrics.queue_wait.observe(waited);
        Kind::Sent
    } else {
        Kind::Retried
    };
    let event = Event::new(kind).request(call.id).service(plan.service);
    frontend
        .context
        .journal
        .record(event.endpoint(dispatch.endpoint));
}

impl Frontend {
    /// Turns an endpoint's answer with a server error into a failed try if the request may be
    /// retried; otherwise returns the answer unchanged.
    fn retriable_failure(
        &self,
        plan: &Plan,
        retries: u32,
        answer: Answer,
    ) -> Result<Answer, Failure> {
        let status = answer.response.head.status;
        if !(status.is_server_error() && plan.idempotent && retries < plan.retries) {
            return Ok(answer);
        }
        if !self.with_budget(plan.service, |budget| budget.has_any()) {
            return Ok(answer);
        }
        Err(Failure {
            reach: Reach::Sent,
            verdict: Verdict::Error,
            unconnected: false,
            broke_off: false,
            backoff: None,
            error: Box::new(errors::Error::Peer {
                step: "read an answer",
                peer: "(endpoint)".to_owned(),
                reason: format!("it answered {status}"),
            }),
        })
    }
}

/// Adds a request to the dispatcher's queue.
///
/// # Errors
///
/// The refusal, if the queue is full or the request could not be served in time.
async fn enqueue(
    frontend: &Frontend,
    plan: &Plan,
    software: Option<Software>,
) -> Result<(Handle, Decided), Refusal> {
    let (sender, receiver) = oneshot::channel();
    let arrive = Input::Arrive(plan.arrival, plan.objective, software, sender);
    if frontend.context.reactor.send(arrive).is_err() {
        return Err(no_endpoint());
    }
    let queue_full = |code, text: &str| {
        // Spreads the retries of callers that are refused at the same time.
        let retry_after = QUEUE_FULL_RETRY_AFTER * rand::random_range(1..=3);
        Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, code, text).with_retry_after(retry_after)
    };
    match receiver.await {
        Ok(Ok(admitted)) => Ok(admitted),
        Ok(Err(Rejection::Customer)) => {
            let text = format!(
                "too many requests of this customer wait for {}",
                plan.service_name
            );
            Err(queue_full("customer-queue-full", &text))
        }
        Ok(Err(Rejection::Router)) => Err(queue_full(
            "router-queue-full",
            "too many requests wait here",
        )),
        Ok(Err(Rejection::Late { after_ms })) => {
            let spread = rand::random_range(750..=1250);
            let retry_after = Duration::from_millis(u64::from(after_ms) * spread / 1000);
            Err(unserved("overloaded", OVERLOADED_TEXT, 0, false).with_retry_after(retry_after))
        }
        Ok(Err(Rejection::NoEndpoint)) | Err(_) => Err(no_endpoint()),
    }
}

/// What a queued request waits for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    /// Customer that the request is accounted to.
    pub(super) customer: CustomerId,
    /// Software version that the endpoint must have, if the request continues a stream.
    pub(super) software: Option<Software>,
    /// Retries so far.
    pub(super) retries: u32,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
}

/// Waits in the queue until the request is dispatched to an endpoint.
///
/// # Errors
///
/// The refusal, if the request is quarantined, refused or unserved, or has reached its deadline.
pub(super) async fn wait_for_dispatch(
    frontend: &Frontend,
    call: &Call,
    mut queued: Queued,
    decided: Decided,
    wanted: Wanted,
) -> Result<Dispatch, Refusal> {
    let Wanted {
        customer,
        software,
        retries,
        idempotent,
    } = wanted;
    frontend
        .context
        .journal
        .record(Event::new(Kind::Queued).request(call.id));
    let decision = tokio::select! {
        biased;
        refusal = frontend.until_quarantined(call, customer) => return Err(refusal),
        decision = decided => decision,
    };
    let handle = queued.handle.take();
    match decision {
        // The scheduler may be of a release that knows no versions.
        Ok(Decision::Dispatch(dispatch)) if software.is_some_and(|s| s != dispatch.software) => {
            if let Some(handle) = handle {
                let done = Input::Done(handle, 0, Verdict::Cancelled);
                let _ = frontend.context.reactor.send(done);
            }
            let text = "the endpoint that is free has another version than the one that began the \
                        stream";
            let refusal = unserved("other-version", text, retries, idempotent);
            Err(refusal.with_retry_after(FAST_RETRY_AFTER))
        }
        Ok(Decision::Dispatch(dispatch)) => {
            let event = Event::new(Kind::Granted).request(call.id);
            frontend
                .context
                .journal
                .record(event.endpoint(dispatch.endpoint));
            Ok(dispatch)
        }
        Ok(Decision::Refused(refused)) => {
            let retry_after = Duration::from_millis(u64::from(refused.after_ms));
            let mut refusal = unserved("overloaded", OVERLOADED_TEXT, retries, idempotent)
                .with_retry_after(retry_after);
            refusal.estimate = Some(refused);
            Err(refusal)
        }
        Ok(Decision::NoEndpoint) => {
            let refusal = unserved("no-endpoint", NO_ENDPOINT_TEXT, retries, idempotent);
            Err(refusal.with_retry_after(NO_ENDPOINT_RETRY_AFTER))
        }
        Ok(Decision::Expired) | Err(_) => {
            let text = "no endpoint was free before the deadline";
            Err(unserved("deadline", text, retries, idempotent).with_retry_after_s(1))
        }
    }
}

/// Refusal of a request that was not dispatched, or not again after a failed try.
fn unserved(code: &'static str, text: &str, retries: u32, idempotent: bool) -> Refusal {
    // An earlier try of an idempotent request may have run.
    if retries > 0 && idempotent {
        Refusal::unknown(StatusCode::BAD_GATEWAY, code, text)
    } else {
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, code, text)
    }
}

/// Queues a request again after a failed try, and releases its slot.
async fn requeue(frontend: &Frontend, slot: Slot) -> Result<Decided, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let requeue = Input::Requeue(slot.handle, slot.verdict, None, sender);
    // The dispatcher releases the slot when it takes this input, so dropping `slot` must not.
    slot.disarm();
    let _ = frontend.context.reactor.send(requeue);
    receiver.await.map_err(|_| no_endpoint())
}

/// Refusal of a request that is not retried after a failed try.
fn give_up(action: Action, dispatch: &Dispatch, failure: &Failure) -> Refusal {
    let status = StatusCode::BAD_GATEWAY;
    let text = format!("{}: {}", dispatch.name, failure.error);
    match action {
        Action::NotRun if failure.backoff.is_some() => {
            // The caller's retry goes to another endpoint.
            let retry_after = FAST_RETRY_AFTER * rand::random_range(1..=3);
            Refusal::not_run(status, "endpoint-backoff", text).with_retry_after(retry_after)
        }
        Action::NotRun => {
            Refusal::not_run(status, "endpoint-unreachable", text).with_retry_after_s(1)
        }
        Action::Unknown | Action::Retry => Refusal::unknown(status, "endpoint-failed", text),
    }
}

/// Starts to relay an endpoint's answer to the caller.
fn relay_answer(
    subject: RelayedRequest,
    tries: Tries,
    (answer, delivery): (Answer, Delivery),
    mut slot: Slot,
    claim: Option<Claim>,
    dispatch: Dispatch,
) -> Served {
    slot.meter.set_speed(answer.speed);
    let client::Response {
        mut head,
        body,
        framing,
    } = answer.response;
    let frontend = subject.frontend.clone();
    let keep_alive = upstream::keep_alive_timeout(&head.headers);
    upstream::strip_hop_by_hop(&mut head.headers);
    // The endpoint's version: a response of HTTP/1.0 would have no chunks to show a break by.
    head.version = Version::HTTP_11;
    set_header(
        &mut head.headers,
        OUTCOME_HEADER,
        Outcome::Answered.as_str(),
    );
    set_header(&mut head.headers, REQUEST_ID, &slot.id.to_string());
    count_answer(&frontend, Outcome::Answered, head.status);
    let is_replayed = claim.is_some();
    let replay = claim.map(|claim| {
        let (done, body_end) = oneshot::channel();
        let content_type = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        claim.settle_when_complete(
            head.status.as_u16(),
            content_type.unwrap_or("").to_owned(),
            body_end,
        );
        Replay {
            body: Some(Vec::new()),
            done: Some(done),
        }
    });
    let remaining = subject.remaining();
    let pauses = pauses(&frontend, &subject.plan);
    let stream = subject.reported_stream(&head);
    let is_resumable = !is_replayed && !body.is_end_stream() && subject.may_resume(&head);
    let resumption = is_resumable.then(|| Box::new(Resumption::new(subject, tries)));
    let mut relay = Relay {
        incoming: body,
        framing,
        software: dispatch.software,
        began: None,
        stream,
        reported_at: None,
        survival: Answering::default(),
        boundary: is_event_stream(&head.headers).then(Boundary::default),
        ending: None,
        verdict_if_complete: if head.status.is_server_error() {
            Verdict::Error
        } else {
            Verdict::Fine
        },
        slot,
        delivery,
        deadline: Box::pin(tokio::time::sleep(remaining)),
        replay,
        reported_units: 0,
        last_piece_at: None,
        caller_read_again_at: None,
        has_begun: false,
        pauses,
        is_caller_slow: false,
        lateness: frontend.context.lateness.clone(),
        entry: None,
        end_reason: CALLER_GONE,
        resumption,
        origin: Origin {
            connection: Some(answer.connection),
            pool: frontend.pool.clone(),
            endpoint: (dispatch.endpoint, dispatch.address),
            keep_alive,
        },
    };
    relay.end_if_empty();
    Served::Relayed(head, Box::new(relay))
}

/// Meter of the pauses between events and counter of those over their bound, if the rule has one.
fn pauses(frontend: &Frontend, plan: &Plan) -> Option<(pause::Meter, IntCounter)> {
    let meter = pause::Meter::new(plan.objective)?;
    let labels = [plan.service_name.as_str(), "observed"];
    let counters = &frontend.context.metrics.pauses_over_bound;
    Some((meter, counters.with_label_values(&labels)))
}

/// Counts a response by outcome and status in the metrics.
fn count_answer(frontend: &Frontend, outcome: Outcome, status: StatusCode) {
    let labels = [outcome.as_str(), status.as_str()];
    frontend
        .context
        .metrics
        .requests
        .with_label_values(&labels)
        .inc();
}
