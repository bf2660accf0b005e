//! A request's way: who asks, which rule decides, its turn, its answer.

use super::claim::{claim, Claim, Claimed};
use super::listen::Front;
use super::refusal::{insert, Refusal, IDENTITY, OUTCOME};
use super::relay::{Kept, Meter, Relay, Slot};
use super::upstream::{self, Answer, Call, Failed};
use crate::input::{Decided, Decision, Dispatch, Input};
use crate::shared::Published;
use bytes::Bytes;
use coordination::ask::{Class, Verdict};
use coordination::desk::{Arrival, Full as QueueFull, Ticket};
use coordination::retry::{self, Next, Reach, Try};
use coordination::rule;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use state::config::{Cost, Then};
use state::event::{Event, Step};
use state::id::{CustomerId, Name, RequestId, ServiceId};
use state::outcome::Outcome;
use state::secret::Hash;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Retries of a request, unless its rule says otherwise.
const RETRIES: u32 = 2;
/// Header by which a caller names a service.
const SERVICE: &str = "cowslipford-service";
/// Header by which a caller gives the expected cost.
const SIZE: &str = "cowslipford-size";
/// Bytes that a refused caller may still send, at least.
const DISCARD: usize = 4 * 1024 * 1024;
/// Time for which they are read.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Bytes at the start of a body that stand for its prompt's prefix.
const PREFIX: usize = 256;

type Reply = Response<Either<Full<Bytes>, Relay>>;

/// What a rule decided for a request.
struct Plan {
    service: ServiceId,
    service_name: Name,
    cost: Cost,
    timeout: Duration,
    idempotent: bool,
    retries: u32,
    arrival: Arrival,
}

/// Serves one request. It never fails: an error is an answer too.
pub(crate) async fn serve(
    front: Arc<Front>,
    request: Request<Incoming>,
) -> Result<Reply, std::convert::Infallible> {
    let id = RequestId {
        router: front.parts.incarnation,
        count: front.requests.fetch_add(1, Ordering::Relaxed),
    };
    let began = Instant::now();
    let answered = answer(&front, id, request, began).await;
    let reply = answered.unwrap_or_else(|refusal| {
        front
            .parts
            .journal
            .note(Event::new(Step::Refused).request(id));
        count(&front, refusal.outcome, refusal.status);
        refusal.response(id).map(Either::Left)
    });
    front
        .parts
        .metrics
        .duration
        .observe(began.elapsed().as_secs_f64());
    Ok(reply)
}

async fn answer(
    front: &Arc<Front>,
    id: RequestId,
    request: Request<Incoming>,
    began: Instant,
) -> Result<Reply, Refusal> {
    let published = front.parts.published.borrow().clone();
    let (head, body) = request.into_parts();
    let customer = match admit(front, &published, &head) {
        Ok(customer) => customer,
        Err(refusal) => {
            discard(body, front.parts.callers.body_max).await;
            return Err(refusal);
        }
    };
    let event = Event::new(Step::Taken).request(id);
    front.parts.journal.note(event.customer(customer));
    let call = read(front, id, head, body).await?;
    let plan = plan(front, &published, customer, &call)?;
    let key = call.headers.get("idempotency-key").cloned();
    let mut claimed = None;
    if let Some(key) = key.filter(|_| !plan.idempotent) {
        let wait = plan.timeout.min(Duration::from_secs(10));
        match claim(front, &call, customer, key.as_bytes(), wait).await? {
            Claimed::Ours(claim) => claimed = Some(claim),
            Claimed::Earlier(response) => {
                count(front, Outcome::Answered, response.status());
                return Ok(response.map(Either::Left));
            }
        }
    }
    run(front, call, &plan, claimed, began).await
}

/// Checks what the head alone tells; gives the customer.
fn admit(front: &Front, published: &Published, head: &Parts) -> Result<CustomerId, Refusal> {
    check_ready(front, published)?;
    check_framing(head)?;
    authenticate(published, head)
}

/// Reads what a refused caller still sends, within bounds.
///
/// If the connection closed with bytes unread, the system would reset it, and
/// the caller could lose the answer that tells why.
async fn discard(mut body: Incoming, most: usize) {
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

fn check_ready(front: &Front, published: &Published) -> Result<(), Refusal> {
    let refuse = |code, text: &str| {
        Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, code, text).after(1))
    };
    if published.stopping {
        return refuse(
            "stopping",
            "this router is stopping; another one will take it",
        );
    }
    if !published.ready {
        return refuse(
            "not-ready",
            "this router does not know the configuration yet",
        );
    }
    let now = front.parts.clock.now();
    let silence = published.pulse.map_or(u64::MAX, |at| now.since(at));
    match front.parts.stale_ms {
        Some(bound) if silence > bound => refuse(
            "stale",
            "this router is cut off from control for longer than allowed",
        ),
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

fn authenticate(published: &Published, head: &Parts) -> Result<CustomerId, Refusal> {
    let header = head
        .headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok());
    let key = header.and_then(|v| v.strip_prefix("Bearer "));
    let customer = key.and_then(|k| published.index.customer(&Hash::of(&[k.trim().as_bytes()])));
    customer.ok_or_else(|| {
        let text = "send Authorization: Bearer KEY with a customer's key";
        Refusal::not_run(StatusCode::UNAUTHORIZED, "unknown-customer", text)
    })
}

/// Reads the whole body, within bounds of size and time.
async fn read(front: &Front, id: RequestId, head: Parts, body: Incoming) -> Result<Call, Refusal> {
    let max = front.parts.callers.body_max;
    let too_large = || {
        let text = format!("a body has at most {max} bytes here");
        Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", text)
    };
    // CAST: `usize` is at most 64 bits on every supported target.
    if body.size_hint().lower() > max as u64 {
        discard(body, max).await;
        return Err(too_large());
    }
    let time = Duration::from_millis(front.parts.callers.body_ms);
    let reading = tokio::time::timeout(time, Limited::new(body, max).collect());
    let body = match reading.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
        Ok(Err(error)) => {
            let text = format!("the body could not be read: {error}");
            return Err(Refusal::not_run(StatusCode::BAD_REQUEST, "bad-body", text));
        }
        Err(_) => {
            let text = format!("the body took longer than {} ms", time.as_millis());
            return Err(Refusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "slow-body",
                text,
            ));
        }
    };
    Ok(Call {
        id,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    })
}

/// Finds the rule that decides, and what follows from it.
fn plan(
    front: &Front,
    published: &Published,
    customer: CustomerId,
    call: &Call,
) -> Result<Plan, Refusal> {
    let config = &published.view.config;
    let missing = || {
        let text = "the customer was removed a moment ago";
        Refusal::not_run(StatusCode::UNAUTHORIZED, "unknown-customer", text)
    };
    let known = config.customers.get(&customer).ok_or_else(missing)?;
    let headers: Vec<(&str, &[u8])> = (call.headers.iter())
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    let text = |name: &str| call.headers.get(name).and_then(|v| v.to_str().ok());
    let hint: Option<u32> = text(SIZE).and_then(|v| v.parse().ok());
    let request = rule::Request {
        customer: &known.name,
        service: text(SERVICE),
        method: call.method.as_str(),
        path: call.uri.path(),
        headers: &headers,
        data_centre: &front.parts.data_centre,
        // CAST: `usize` is at most 64 bits on every supported target.
        size: hint.map_or(call.body.len() as u64, u64::from),
    };
    let (place, rule) = rule::decide(&config.rules, &request).ok_or_else(|| {
        Refusal::not_run(
            StatusCode::NOT_FOUND,
            "no-rule",
            "no rule matches this request",
        )
    })?;
    let (service, limits, timeout_ms, weight, idempotent, retries) = match &rule.then {
        Then::Refuse { reason } => {
            return Err(Refusal::not_run(
                StatusCode::FORBIDDEN,
                "refused",
                reason.clone(),
            ))
        }
        Then::Send {
            service,
            limits,
            timeout_ms,
            weight,
            idempotent,
            retries,
        } => (service, limits, timeout_ms, weight, *idempotent, *retries),
    };
    if !known.services.contains(service) {
        let text = format!("this customer may not reach {service}");
        return Err(Refusal::not_run(
            StatusCode::FORBIDDEN,
            "service-not-allowed",
            text,
        ));
    }
    let found = published.index.service(service);
    let found = found.and_then(|id| Some((id, config.services.get(&id)?)));
    let (service_id, settings) = found.ok_or_else(no_endpoint)?;
    let timeout_ms = timeout_ms.unwrap_or(settings.timeout_ms);
    let hint = match settings.cost {
        Cost::Request => 1,
        Cost::Event | Cost::Time => hint.unwrap_or(settings.estimate).max(1),
    };
    let arrival = Arrival {
        service: service_id,
        class: Class {
            customer,
            rule: place,
        },
        weight: weight.unwrap_or(known.weight),
        rate: limits.rate.unwrap_or(0),
        concurrency: limits.concurrency.unwrap_or(0),
        queue: limits.queue.unwrap_or(front.parts.queue_customer),
        hint,
        prefix: prefix(&call.body),
        bytes: call.body.len() as u64,
        deadline: front.parts.clock.now().after(timeout_ms),
    };
    Ok(Plan {
        service: service_id,
        service_name: service.clone(),
        cost: settings.cost,
        timeout: Duration::from_millis(timeout_ms),
        idempotent: rule::idempotent(idempotent, settings, call.method.as_str()),
        retries: retries.unwrap_or(RETRIES),
        arrival,
    })
}

/// Hash of the start of a body, 0 for a body that is too short to have one.
fn prefix(body: &Bytes) -> u32 {
    match body.get(..PREFIX) {
        Some(start) => {
            let Hash(bytes) = Hash::of(&[start]);
            u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]).max(1)
        }
        None => 0,
    }
}

/// A queued request; when dropped, it leaves the queue.
struct Waiting {
    ticket: Option<Ticket>,
    id: RequestId,
    front: Arc<Front>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let event = Event::new(Step::CallerGone).request(self.id);
            self.front.parts.journal.note(event);
            let _ = self.front.parts.reactor.send(Input::Leave(ticket));
        }
    }
}

/// Waits for a turn, sends, and tries again where that is safe.
async fn run(
    front: &Arc<Front>,
    call: Call,
    plan: &Plan,
    mut claim: Option<Claim>,
    began: Instant,
) -> Result<Reply, Refusal> {
    lock(&front.budget).earn();
    let (ticket, mut decided) = arrive(front, plan).await?;
    let mut retries = 0;
    loop {
        let waiting = Waiting {
            ticket: Some(ticket),
            id: call.id,
            front: front.clone(),
        };
        let dispatch = turn(front, &call, waiting, decided, retries, plan.idempotent).await?;
        if retries == 0 {
            front
                .parts
                .metrics
                .wait
                .observe(began.elapsed().as_secs_f64());
        }
        let step = if retries == 0 {
            Step::Sent
        } else {
            Step::Retried
        };
        let event = Event::new(step).request(call.id).service(plan.service);
        front.parts.journal.note(event.endpoint(dispatch.endpoint));
        let mut slot = Slot {
            ticket,
            id: call.id,
            cost: Meter::new(plan.cost),
            verdict: Verdict::Gone,
            armed: true,
            reactor: front.parts.reactor.clone(),
            journal: front.parts.journal.clone(),
        };
        if let Some(claim) = &mut claim {
            claim.sending();
        }
        let left = plan.timeout.saturating_sub(began.elapsed());
        let sent = tokio::time::timeout(left, upstream::send(&call, dispatch.address)).await;
        let failed = match sent {
            Ok(Ok(answer)) => return Ok(pass(front, answer, slot, claim, left)),
            Ok(Err(failed)) => failed,
            Err(_) => {
                let text = format!("{} did not answer in time", dispatch.name);
                return Err(
                    Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", text).after(1),
                );
            }
        };
        tracing::debug!(endpoint = %dispatch.name, error = %failed.error, "a try failed");
        if let (Some(claim), Reach::Nothing) = (&mut claim, failed.reach) {
            claim.not_sent();
        }
        let attempt = Try {
            reach: failed.reach,
            idempotent: plan.idempotent,
            retries,
            retries_max: plan.retries,
            deadline: plan.arrival.deadline,
        };
        let next = retry::after(attempt, front.parts.clock.now(), &mut lock(&front.budget));
        slot.verdict = Verdict::Failed;
        if next != Next::Again {
            return Err(give_up(next, &dispatch, &failed));
        }
        decided = again(front, slot).await?;
        retries += 1;
    }
}

async fn arrive(front: &Front, plan: &Plan) -> Result<(Ticket, Decided), Refusal> {
    let (sender, receiver) = oneshot::channel();
    let arrive = Input::Arrive(plan.arrival, sender);
    if front.parts.reactor.send(arrive).is_err() {
        return Err(no_endpoint());
    }
    let busy =
        |code, text: &str| Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, code, text).after(1);
    match receiver.await {
        Ok(Ok(admitted)) => Ok(admitted),
        Ok(Err(QueueFull::Customer)) => {
            let text = format!(
                "too many requests of this customer wait for {}",
                plan.service_name
            );
            Err(busy("customer-queue-full", &text))
        }
        Ok(Err(QueueFull::Router)) => Err(busy("router-queue-full", "too many requests wait here")),
        Ok(Err(QueueFull::NoEndpoint)) | Err(_) => Err(no_endpoint()),
    }
}

/// Waits until the request is to be sent, or has expired.
async fn turn(
    front: &Front,
    call: &Call,
    mut waiting: Waiting,
    decided: Decided,
    retries: u32,
    idempotent: bool,
) -> Result<Dispatch, Refusal> {
    front
        .parts
        .journal
        .note(Event::new(Step::Queued).request(call.id));
    let decision = decided.await;
    waiting.ticket = None;
    match decision {
        Ok(Decision::Dispatch(dispatch)) => {
            let event = Event::new(Step::Granted).request(call.id);
            front.parts.journal.note(event.endpoint(dispatch.endpoint));
            Ok(dispatch)
        }
        Ok(Decision::Expired) | Err(_) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let text = "no endpoint was free before the deadline";
            // An earlier try of an idempotent request may have been sent.
            let refusal = if retries > 0 && idempotent {
                Refusal::unknown(status, "deadline", text)
            } else {
                Refusal::not_run(status, "deadline", text)
            };
            Err(refusal.after(1))
        }
    }
}

/// Queues a request again.
async fn again(front: &Front, slot: Slot) -> Result<Decided, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let again = Input::Again(slot.ticket, slot.verdict, sender);
    // The ticket lives on: its slot is given back by `again`, not once more.
    slot.disarm();
    let _ = front.parts.reactor.send(again);
    receiver.await.map_err(|_| no_endpoint())
}

fn give_up(next: Next, dispatch: &Dispatch, failed: &Failed) -> Refusal {
    let status = StatusCode::BAD_GATEWAY;
    let text = format!("{}: {}", dispatch.name, failed.error);
    match next {
        Next::NotRun => Refusal::not_run(status, "endpoint-unreachable", text).after(1),
        Next::Unknown | Next::Again => Refusal::unknown(status, "endpoint-failed", text),
    }
}

/// Passes an endpoint's answer on as it comes.
fn pass(front: &Front, answer: Answer, slot: Slot, claim: Option<Claim>, left: Duration) -> Reply {
    let (mut head, body) = answer.response.into_parts();
    upstream::strip(&mut head.headers);
    insert(&mut head.headers, OUTCOME, Outcome::Answered.as_str());
    insert(&mut head.headers, IDENTITY, &slot.id.to_string());
    count(front, Outcome::Answered, head.status);
    let kept = claim.map(|claim| {
        let (done, ended) = oneshot::channel();
        let kind = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        claim.answered(head.status.as_u16(), kind.unwrap_or("").to_owned(), ended);
        Kept {
            body: Some(Vec::new()),
            done: Some(done),
        }
    });
    let mut relay = Relay {
        inner: body,
        slot,
        deadline: Box::pin(tokio::time::sleep(left)),
        kept,
        told: 0,
        _connection: answer.connection,
    };
    relay.end_if_empty();
    Response::from_parts(head, Either::Right(relay))
}

fn no_endpoint() -> Refusal {
    let text = "no endpoint serves this request at the moment";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-endpoint", text).after(1)
}

fn count(front: &Front, outcome: Outcome, status: StatusCode) {
    let labels = [outcome.as_str(), status.as_str()];
    front
        .parts
        .metrics
        .requests
        .with_label_values(&labels)
        .inc();
}

fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
