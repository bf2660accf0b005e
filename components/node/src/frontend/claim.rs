//! Claims of idempotency keys, made at the control VMs before the request is sent to an endpoint.

use super::listen::Frontend;
use super::refusal::{set_header, Refusal, OUTCOME_HEADER};
use super::upstream::Call;
use crate::input::Input;
use crate::interface::REQUEST_ID;
use crate::work::Stage;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use protocol::wire::{Query, Reply};
use state::event::{Event, Kind};
use state::id::{CustomerId, RequestId};
use state::outcome::Outcome;
use state::record::{Answer, Resolution, Stored};
use state::secret::Hash;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Longest time for which a claim's outcome is reported to the control VMs, or its reply waited for.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A claimed idempotency key. If the claim is dropped before it is settled, the key is freed if
/// nothing was sent, and else the outcome is reported as unknown.
pub(crate) struct Claim {
    frontend: Arc<Frontend>,
    /// Hash of customer and key.
    key: Hash,
    request: RequestId,
    /// Whether any byte of the request may have reached an endpoint.
    may_have_run: bool,
    /// Whether the outcome has been reported, or belongs to an earlier request.
    is_settled: bool,
}

/// Result of claiming a key.
pub(crate) enum Claimed {
    /// The key is new, and now claimed by this request.
    New(Claim),
    /// An earlier request with the key was answered; this is the stored answer.
    Earlier(Box<Response<Full<Bytes>>>),
}

/// Claims the idempotency key of a call, within the time `wait`.
///
/// # Errors
///
/// The refusal, if the key is invalid, was used before without a stored answer, or the control
/// VMs do not answer.
pub(crate) async fn claim(
    frontend: &Arc<Frontend>,
    call: &Call,
    customer: CustomerId,
    key: &[u8],
    wait: Duration,
) -> Result<Claimed, Refusal> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let text = format!("Idempotency-Key has 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "bad-idempotency-key",
            text,
        ));
    }
    let path = call.uri.path_and_query().map_or("/", |p| p.as_str());
    let method = call.method.as_str().as_bytes();
    let fingerprint = Hash::of(&[method, path.as_bytes(), &call.body]);
    let key = Hash::of(&[&customer.0.to_be_bytes(), key]);
    let claim = Claim {
        frontend: frontend.clone(),
        key,
        request: call.id,
        may_have_run: false,
        is_settled: false,
    };
    let query = Query::Claim {
        key,
        customer,
        fingerprint,
        request: call.id,
    };
    let (sender, receiver) = oneshot::channel();
    let _ = frontend.context.reactor.send(Input::Query(query, sender));
    let mut unanswered = Unanswered(Some((claim, receiver)));
    match unanswered.reply(wait).await {
        Some((claim, Reply::Answer(Answer::Claimed))) => {
            let event = Event::new(Kind::Claimed).request(call.id);
            frontend.context.journal.record(event.customer(customer));
            Ok(Claimed::New(claim))
        }
        Some((mut claim, Reply::Answer(Answer::AlreadyClaimed(first, resolution)))) => {
            claim.is_settled = true;
            if first != fingerprint {
                let text = "this Idempotency-Key was used for another request";
                let code = "idempotency-key-reused";
                return Err(Refusal::not_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    code,
                    text,
                ));
            }
            answer_resend(call.id, resolution)
        }
        _ => {
            let text = "the control VMs could not be asked whether the key is new";
            Err(
                Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-claim", text)
                    .with_retry_after_s(1),
            )
        }
    }
}

/// A claim that the control VMs have not answered.
///
/// If it is dropped, the claim may still be accepted later, so the key is freed only after the
/// reply. Freed earlier, the key would be claimed afterwards and stay claimed.
struct Unanswered(Option<(Claim, oneshot::Receiver<Reply>)>);

impl Unanswered {
    /// Waits for the reply, at most for the time `wait`.
    async fn reply(&mut self, wait: Duration) -> Option<(Claim, Reply)> {
        let (_, receiver) = self.0.as_mut()?;
        let reply = tokio::time::timeout(wait, receiver).await.ok()?.ok()?;
        let (claim, _) = self.0.take()?;
        Some((claim, reply))
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some((claim, receiver)) = self.0.take() {
            let frontend = claim.frontend.clone();
            frontend.spawn_settlement(async move {
                let _ = receiver.await;
                drop(claim);
            });
        }
    }
}

/// Answers a resend by what is known of the first request with its key.
fn answer_resend(id: RequestId, resolution: Resolution) -> Result<Claimed, Refusal> {
    let conflict = |text: &str| {
        Refusal::unknown(StatusCode::CONFLICT, "idempotency-key-taken", text).with_retry_after_s(1)
    };
    match resolution {
        Resolution::Pending => Err(conflict("the first request with this key has not ended")),
        Resolution::Unknown => Err(conflict("whether the first request has run is not known")),
        Resolution::Answered(Stored { body: None, .. }) => Err(conflict(
            "the first request was answered; its answer was too long to keep",
        )),
        Resolution::Answered(Stored {
            status,
            content_type,
            body: Some(body),
        }) => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let headers = response.headers_mut();
            set_header(headers, "content-type", &content_type);
            set_header(headers, OUTCOME_HEADER, Outcome::Answered.as_str());
            set_header(headers, REQUEST_ID, &id.to_string());
            set_header(headers, "cowslipford-replayed", "yes");
            Ok(Claimed::Earlier(Box::new(response)))
        }
    }
}

impl Claim {
    /// Records that bytes of the request may reach an endpoint from now on.
    pub(crate) fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that no byte of the request has reached an endpoint.
    pub(crate) fn mark_unsent(&mut self) {
        self.may_have_run = false;
    }

    /// Reports the answer as soon as the caller has received all of it: `body_end` then delivers
    /// the body, or `None` for a body that is too long to store.
    pub(crate) fn settle_when_complete(
        mut self,
        status: u16,
        content_type: String,
        body_end: oneshot::Receiver<Option<Vec<u8>>>,
    ) {
        let frontend = self.frontend.clone();
        frontend.spawn(async move {
            if let Ok(body) = body_end.await {
                self.is_settled = true;
                self.settle(Some(Resolution::Answered(Stored {
                    status,
                    content_type,
                    body,
                })));
            }
        });
    }

    /// Reports the outcome to the control VMs; `None` frees the key.
    fn settle(&self, resolution: Option<Resolution>) {
        let query = Query::Settle {
            key: self.key,
            request: self.request,
            known: resolution,
        };
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .frontend
            .context
            .reactor
            .send(Input::Query(query, sender));
        self.frontend.spawn_settlement(async {
            // The reactor repeats the query until its receiver is dropped.
            let _ = receiver.await;
        });
    }
}

impl Frontend {
    /// Runs a report to the control VMs about a key, which a stop waits for.
    fn spawn_settlement<F>(&self, report: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let work = self.context.work.begin(Stage::Settlement);
        self.spawn(async move {
            let _ = tokio::time::timeout(SETTLE_TIMEOUT, report).await;
            drop(work);
        });
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.is_settled {
            self.settle(self.may_have_run.then_some(Resolution::Unknown));
        }
    }
}
