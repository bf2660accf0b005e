//! A request's way: who asks, which rule decides, its turn, its answer.

use super::admit::{admit, discard, read, BUSY, ELSEWHERE};
use super::claim::{claim, Claim, Claimed};
use super::delivery::{quarantined, Delivery};
use super::listen::Frontend;
use super::note::Note;
use super::plan::{no_endpoint, plan, Plan, NO_ENDPOINT, NO_ENDPOINT_RETURN};
use super::refusal::{insert, Refusal, OUTCOME};
use super::relay::{Kept, Meter, Relay, Slot, Way};
use super::upstream::{self, Answer, Call, Failed};
use crate::input::{Decided, Decision, Dispatch, Input};
use crate::interface::REQUEST_ID;
use crate::shared::Published;
use bytes::Bytes;
use coordination::dispatcher::{Handle, Rejection as QueueFull};
use coordination::messages::Verdict;
use coordination::retry::{self, Action, Failure, Reach};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use state::event::{Event, Kind};
use state::id::RequestId;
use state::outcome::Outcome;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Endpoints that may fail to take the connection for a request before it counts as
/// a failed try: each costs the time to connect, and after two of them the service
/// is hardly there.
const UNCONNECTED: u32 = 2;

/// Why requests are refused that would be late.
const OVERLOADED: &str = "the endpoints have more to do than they can in time";

/// Time after which the caller may come back of whom too many wait here, at the least: as
/// long as one of them waits for its turn where it is served at all.
const QUEUE_RETURN: Duration = Duration::from_millis(200);

type Reply = Response<Either<Full<Bytes>, Relay>>;

/// When an answer that is passed on is to be over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Until(pub(crate) Instant);

/// Serves one request. It never fails: an error is an answer too.
pub(crate) async fn serve(
    frontend: Arc<Frontend>,
    request: Request<Incoming>,
) -> Result<Reply, std::convert::Infallible> {
    let id = RequestId {
        router: frontend.context.incarnation,
        count: frontend.requests.fetch_add(1, Ordering::Relaxed),
    };
    let began = Instant::now();
    let published = frontend.context.published.borrow().clone();
    let now = frontend.context.clock.now();
    let metrics = frontend.context.metrics.clone();
    let mut note = Note::new(id, began, now, &published, metrics);
    let answered = answer(&frontend, &published, &mut note, request, began).await;
    let is_busy = matches!(&answered, Err(refusal) if refusal.code == BUSY);
    let is_refused = answered.is_err();
    let reply = match answered {
        Ok(Served::Relayed(head, mut relay)) => {
            relay.note = Some((note, head.status));
            let until = Until(relay.deadline.deadline().into_std());
            let mut reply = Response::from_parts(head, Either::Right(*relay));
            reply.extensions_mut().insert(until);
            reply
        }
        Ok(Served::Replayed(response)) => {
            note.answered(response.status(), "replayed");
            response.map(Either::Left)
        }
        Err(refusal) => {
            count(&frontend, refusal.outcome, refusal.status);
            if frontend.tells(&refusal) {
                let event = Event::new(Kind::Refused).request(id);
                frontend.context.journal.note(event);
                note.refused(&refusal);
            } else {
                note.refused_untold(&refusal);
            }
            (refusal.response(id, &frontend.context.interface)).map(Either::Left)
        }
    };
    frontend
        .context
        .metrics
        .duration
        .observe(began.elapsed().as_secs_f64());
    Ok(last(&frontend, reply, is_busy, is_refused))
}

/// Makes an answer the last one of its connection, once this process is stopping, schedules
/// for many routers or has few connections left, or if it refuses what another router may
/// take: once new connections go there, or since this one runs late. What the caller sends
/// next then costs least here, as a connection that is closed unread.
///
/// Closed instead, a connection could cross a request that its caller has just
/// sent on it: one would see the request fail that could have been served.
fn last(frontend: &Frontend, mut reply: Reply, is_busy: bool, is_refused: bool) -> Reply {
    let is_scarce = frontend
        .context
        .budget
        .is_nearly_full(frontend.connections());
    let is_elsewhere = is_refused && frontend.context.lateness.is_bypassed();
    let published = frontend.context.published.borrow();
    if is_scarce || is_busy || is_elsewhere || published.is_dedicated || published.stopping {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

/// How a request was served.
enum Served {
    /// An endpoint answers.
    Relayed(hyper::http::response::Parts, Box<Relay>),
    /// An earlier answer to the same request is given again.
    Replayed(Box<Response<Full<Bytes>>>),
}

async fn answer(
    frontend: &Arc<Frontend>,
    published: &Published,
    note: &mut Note,
    request: Request<Incoming>,
    began: Instant,
) -> Result<Served, Refusal> {
    let (head, body) = request.into_parts();
    let asked = match admit(frontend, published, &head, note) {
        Ok(asked) => asked,
        Err(refusal) => {
            discard(body, frontend.context.callers.body_max).await;
            return Err(refusal);
        }
    };
    let id = note.id();
    frontend
        .context
        .journal
        .note(Event::new(Kind::Taken).request(id));
    let mut call = read(frontend, id, asked.identity.clone(), head, body).await?;
    let plan = plan(frontend, published, &asked, &mut call)?;
    note.plan(&plan, call.customer.clone());
    let event = Event::new(Kind::Taken).request(id);
    frontend.context.journal.note(event.customer(plan.customer));
    let key = call.headers.get("idempotency-key").cloned();
    let mut claimed = None;
    if let Some(key) = key.filter(|_| !plan.idempotent) {
        let wait = plan.timeout.min(Duration::from_secs(10));
        match claim(frontend, &call, plan.customer, key.as_bytes(), wait).await? {
            Claimed::Ours(claim) => claimed = Some(claim),
            Claimed::Earlier(response) => {
                count(frontend, Outcome::Answered, response.status());
                return Ok(Served::Replayed(response));
            }
        }
    }
    run(frontend, call, &plan, claimed, note, began).await
}

/// A queued request; when dropped, it leaves the queue.
struct Waiting {
    handle: Option<Handle>,
    id: RequestId,
    frontend: Arc<Frontend>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(handle) = self.handle {
            let event = Event::new(Kind::CallerGone).request(self.id);
            self.frontend.context.journal.note(event);
            let _ = self.frontend.context.reactor.send(Input::Cancel(handle));
        }
    }
}

/// Waits for a turn, sends, and tries again where that is safe.
async fn run(
    frontend: &Arc<Frontend>,
    call: Call,
    plan: &Plan,
    mut claim: Option<Claim>,
    note: &mut Note,
    began: Instant,
) -> Result<Served, Refusal> {
    frontend.check_quarantine(&call)?;
    frontend.earn_retries(plan.service);
    let (handle, mut decided) = arrive(frontend, plan).await?;
    let mut retries = 0;
    let mut unconnected = 0;
    loop {
        let waiting = Waiting {
            handle: Some(handle),
            id: call.id,
            frontend: frontend.clone(),
        };
        let dispatch = turn(frontend, &call, waiting, decided, retries, plan.idempotent).await?;
        note.dispatch(&dispatch, call.fingerprint());
        note_dispatch(frontend, &call, plan, &dispatch, retries, began);
        let delivery = Delivery::new(frontend, &call, plan.customer);
        let mut slot = Slot {
            handle,
            id: call.id,
            cost: Meter::new(plan.cost, plan.arrival.prompt, plan.engine),
            verdict: Verdict::Cancelled,
            armed: true,
            reactor: frontend.context.reactor.clone(),
            journal: frontend.context.journal.clone(),
        };
        if let Some(claim) = &mut claim {
            claim.sending();
        }
        let left = plan.timeout.saturating_sub(began.elapsed());
        let way = upstream::Way {
            interface: &frontend.context.interface,
            pool: &frontend.pool,
            once: !plan.idempotent,
            left,
        };
        let sent = tokio::time::timeout(left, upstream::send(&call, &dispatch, way)).await;
        let backoff = match &sent {
            Ok(Ok(answer)) => answer.backoff,
            Ok(Err(failed)) => failed.backoff,
            Err(_) => None,
        };
        if let Some(backoff) = backoff {
            // Before the request is queued again: it must not come back there.
            let _ = frontend
                .context
                .reactor
                .send(Input::Backoff(handle, backoff));
        }
        let failed = match sent {
            Ok(Ok(answer)) => match frontend.failure(plan, retries, answer) {
                Ok(answer) => {
                    let answering = (answer, delivery);
                    return Ok(pass(
                        frontend, answering, slot, claim, dispatch, plan, began,
                    ));
                }
                Err(failed) => failed,
            },
            Ok(Err(failed)) => failed,
            Err(_) => {
                // After a long wait for its turn the time was short; that is no
                // fault of the endpoint's.
                if left >= plan.timeout / 2 {
                    slot.verdict = Verdict::Failed;
                }
                let text = format!("{} did not answer in time", dispatch.name);
                return Err(
                    Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", text).after(1),
                );
            }
        };
        if failed.broke_off {
            delivery.broke_off();
        }
        if let (Some(claim), Reach::Nothing) = (&mut claim, failed.reach) {
            claim.not_sent();
        }
        if failed.unconnected && unconnected < UNCONNECTED {
            // Nothing was sent: it costs no endpoint anything.
            note.failed(&failed, "elsewhere");
            slot.verdict = failed.verdict;
            decided = again(frontend, slot).await?;
            unconnected += 1;
            continue;
        }
        let attempt = Failure {
            reach: failed.reach,
            idempotent: plan.idempotent,
            retries,
            retries_max: plan.retries,
            deadline: plan.arrival.deadline,
        };
        let now = frontend.context.clock.now();
        let next = frontend.with_budget(plan.service, |budget| retry::decide(attempt, now, budget));
        note.failed(&failed, next.as_str());
        slot.verdict = failed.verdict;
        if next != Action::Retry {
            return Err(give_up(next, &dispatch, &failed));
        }
        decided = again(frontend, slot).await?;
        retries += 1;
    }
}

fn note_dispatch(
    frontend: &Frontend,
    call: &Call,
    plan: &Plan,
    dispatch: &Dispatch,
    retries: u32,
    began: Instant,
) {
    let step = if retries == 0 {
        let waited = began.elapsed().as_secs_f64();
        frontend.context.metrics.queue_wait.observe(waited);
        Kind::Sent
    } else {
        Kind::Retried
    };
    let event = Event::new(step).request(call.id).service(plan.service);
    frontend
        .context
        .journal
        .note(event.endpoint(dispatch.endpoint));
}

impl Frontend {
    /// Takes an endpoint's own failure for a failed try, where another endpoint
    /// may do better; else it is the answer.
    fn failure(&self, plan: &Plan, retries: u32, answer: Answer) -> Result<Answer, Failed> {
        let status = answer.response.status();
        if !(status.is_server_error() && plan.idempotent && retries < plan.retries) {
            return Ok(answer);
        }
        if !self.with_budget(plan.service, |budget| budget.has_any()) {
            return Ok(answer);
        }
        Err(Failed {
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

async fn arrive(frontend: &Frontend, plan: &Plan) -> Result<(Handle, Decided), Refusal> {
    let (sender, receiver) = oneshot::channel();
    let arrive = Input::Arrive(plan.arrival, sender);
    if frontend.context.reactor.send(arrive).is_err() {
        return Err(no_endpoint());
    }
    let busy = |code, text: &str| {
        // Callers that are refused together must not come back together.
        let after = QUEUE_RETURN * rand::random_range(1..=3);
        Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, code, text).after_time(after)
    };
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
        Ok(Err(QueueFull::Late { after_ms })) => {
            let spread = rand::random_range(750..=1250);
            let after = Duration::from_millis(u64::from(after_ms) * spread / 1000);
            Err(unserved("overloaded", OVERLOADED, 0, false).after_time(after))
        }
        Ok(Err(QueueFull::NoEndpoint)) | Err(_) => Err(no_endpoint()),
    }
}

/// Waits until the request is to be sent, or has expired.
async fn turn(
    frontend: &Frontend,
    call: &Call,
    mut waiting: Waiting,
    decided: Decided,
    retries: u32,
    idempotent: bool,
) -> Result<Dispatch, Refusal> {
    frontend
        .context
        .journal
        .note(Event::new(Kind::Queued).request(call.id));
    let decision = tokio::select! {
        biased;
        () = frontend.until_quarantined(call) => return Err(quarantined()),
        decision = decided => decision,
    };
    waiting.handle = None;
    match decision {
        Ok(Decision::Dispatch(dispatch)) => {
            let event = Event::new(Kind::Granted).request(call.id);
            frontend
                .context
                .journal
                .note(event.endpoint(dispatch.endpoint));
            Ok(dispatch)
        }
        Ok(Decision::Refused(refused)) => {
            let after = Duration::from_millis(u64::from(refused.after_ms));
            let mut refusal =
                unserved("overloaded", OVERLOADED, retries, idempotent).after_time(after);
            refusal.basis = Some(refused);
            Err(refusal)
        }
        Ok(Decision::NoEndpoint) => {
            let refusal = unserved("no-endpoint", NO_ENDPOINT, retries, idempotent);
            Err(refusal.after_time(NO_ENDPOINT_RETURN))
        }
        Ok(Decision::Expired) | Err(_) => {
            let text = "no endpoint was free before the deadline";
            Err(unserved("deadline", text, retries, idempotent).after(1))
        }
    }
}

/// A refusal of a request that had no turn, or none after a failed try.
fn unserved(code: &'static str, text: &str, retries: u32, idempotent: bool) -> Refusal {
    // An earlier try of an idempotent request may have been sent.
    if retries > 0 && idempotent {
        Refusal::unknown(StatusCode::BAD_GATEWAY, code, text)
    } else {
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, code, text)
    }
}

/// Queues a request again.
async fn again(frontend: &Frontend, slot: Slot) -> Result<Decided, Refusal> {
    let (sender, receiver) = oneshot::channel();
    let again = Input::Requeue(slot.handle, slot.verdict, sender);
    // The handle lives on: its slot is given back by `again`, not once more.
    slot.disarm();
    let _ = frontend.context.reactor.send(again);
    receiver.await.map_err(|_| no_endpoint())
}

fn give_up(next: Action, dispatch: &Dispatch, failed: &Failed) -> Refusal {
    let status = StatusCode::BAD_GATEWAY;
    let text = format!("{}: {}", dispatch.name, failed.error);
    match next {
        Action::NotRun if failed.backoff.is_some() => {
            // The next try goes to another endpoint.
            let after = ELSEWHERE * rand::random_range(1..=3);
            Refusal::not_run(status, "endpoint-backoff", text).after_time(after)
        }
        Action::NotRun => Refusal::not_run(status, "endpoint-unreachable", text).after(1),
        Action::Unknown | Action::Retry => Refusal::unknown(status, "endpoint-failed", text),
    }
}

/// Passes an endpoint's answer on as it comes.
fn pass(
    frontend: &Frontend,
    (answer, delivery): (Answer, Delivery),
    slot: Slot,
    claim: Option<Claim>,
    dispatch: Dispatch,
    plan: &Plan,
    began: Instant,
) -> Served {
    let (mut head, body) = answer.response.into_parts();
    let keep = upstream::keep_alive(&head.headers);
    upstream::strip(&mut head.headers);
    insert(&mut head.headers, OUTCOME, Outcome::Answered.as_str());
    insert(&mut head.headers, REQUEST_ID, &slot.id.to_string());
    count(frontend, Outcome::Answered, head.status);
    let kept = claim.map(|claim| {
        let (done, ended) = oneshot::channel();
        let kind = head.headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        claim.answered(head.status.as_u16(), kind.unwrap_or("").to_owned(), ended);
        Kept {
            body: Some(Vec::new()),
            done: Some(done),
        }
    });
    let left = plan.timeout.saturating_sub(began.elapsed());
    let mut relay = Relay {
        inner: body,
        whole: if head.status.is_server_error() {
            Verdict::Error
        } else {
            Verdict::Fine
        },
        slot,
        delivery,
        deadline: Box::pin(tokio::time::sleep(left)),
        kept,
        told: 0,
        passed: None,
        resumed: None,
        has_begun: false,
        lateness: frontend.context.lateness.clone(),
        note: None,
        ended: "caller-gone",
        way: Way {
            connection: Some(answer.connection),
            pool: frontend.pool.clone(),
            endpoint: (dispatch.endpoint, dispatch.address),
            keep,
        },
    };
    relay.end_if_empty();
    Served::Relayed(head, Box::new(relay))
}

fn count(frontend: &Frontend, outcome: Outcome, status: StatusCode) {
    let labels = [outcome.as_str(), status.as_str()];
    frontend
        .context
        .metrics
        .requests
        .with_label_values(&labels)
        .inc();
}
