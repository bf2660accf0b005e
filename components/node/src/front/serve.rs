//! A request's way: who asks, which rule decides, its turn, its answer.

use super::admit::{admit, discard, read};
use super::claim::{claim, Claim, Claimed};
use super::listen::Front;
use super::plan::{no_endpoint, plan, Plan};
use super::refusal::{insert, Refusal, IDENTITY, OUTCOME};
use super::relay::{Kept, Meter, Relay, Slot};
use super::upstream::{self, Answer, Call, Failed};
use crate::input::{Decided, Decision, Dispatch, Input};
use bytes::Bytes;
use coordination::ask::Verdict;
use coordination::desk::{Full as QueueFull, Ticket};
use coordination::retry::{self, Next, Reach, Try};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use state::event::{Event, Step};
use state::id::RequestId;
use state::outcome::Outcome;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

type Reply = Response<Either<Full<Bytes>, Relay>>;

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
