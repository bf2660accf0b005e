//! Idempotency keys: claimed at the control VMs before anything is sent.

use super::listen::Frontend;
use super::refusal::{insert, Refusal, OUTCOME};
use super::upstream::Call;
use crate::input::Input;
use crate::interface::REQUEST_ID;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use protocol::wire::{Query, Reply};
use state::event::{Event, Kind};
use state::id::{CustomerId, RequestId};
use state::outcome::Outcome;
use state::record::{Answer, Resolution, Stored};
use state::secret::Hash;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest idempotency key in bytes.
const KEY_MAX: usize = 255;
/// Longest time to report what became of a claimed request.
const SETTLE: Duration = Duration::from_secs(60);

/// A claimed key. Dropped without word, it reports that nothing is known.
pub(crate) struct Claim {
    frontend: Arc<Frontend>,
    key: Hash,
    request: RequestId,
    /// Whether any byte may have been sent.
    sent: bool,
    settled: bool,
}

/// What a claim gave.
pub(crate) enum Claimed {
    /// The key is ours.
    Ours(Claim),
    /// An earlier request has it; this is the answer.
    Earlier(Box<Response<Full<Bytes>>>),
}

/// Claims the key of a call.
pub(crate) async fn claim(
    frontend: &Arc<Frontend>,
    call: &Call,
    customer: CustomerId,
    key: &[u8],
    wait: Duration,
) -> Result<Claimed, Refusal> {
    if key.is_empty() || key.len() > KEY_MAX {
        let text = format!("Idempotency-Key has 1 to {KEY_MAX} bytes");
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
    let mut claim = Claim {
        frontend: frontend.clone(),
        key,
        request: call.id,
        sent: false,
        settled: false,
    };
    let query = Query::Claim {
        key,
        customer,
        fingerprint,
        request: call.id,
    };
    let (sender, mut receiver) = oneshot::channel();
    let _ = frontend.context.reactor.send(Input::Query(query, sender));
    match tokio::time::timeout(wait, &mut receiver).await {
        Ok(Ok(Reply::Answer(Answer::Claimed))) => {
            let event = Event::new(Kind::Claimed).request(call.id);
            frontend.context.journal.note(event.customer(customer));
            Ok(Claimed::Ours(claim))
        }
        Ok(Ok(Reply::Answer(Answer::AlreadyClaimed(first, known)))) => {
            claim.settled = true;
            if first != fingerprint {
                let text = "this Idempotency-Key was used for another request";
                let code = "idempotency-key-reused";
                return Err(Refusal::not_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    code,
                    text,
                ));
            }
            earlier(call.id, known)
        }
        _ => {
            // The claim may yet be accepted. It is freed only once that is known:
            // freed before, it would be accepted afterwards and never end.
            tokio::spawn(async move {
                let _ = tokio::time::timeout(SETTLE, receiver).await;
                drop(claim);
            });
            let text = "the control VMs could not be asked whether the key is new";
            Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-claim", text).after(1))
        }
    }
}

/// What a resend is told of the first request.
fn earlier(id: RequestId, known: Resolution) -> Result<Claimed, Refusal> {
    let conflict =
        |text: &str| Refusal::unknown(StatusCode::CONFLICT, "idempotency-key-taken", text).after(1);
    match known {
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
            insert(headers, "content-type", &content_type);
            insert(headers, OUTCOME, Outcome::Answered.as_str());
            insert(headers, REQUEST_ID, &id.to_string());
            insert(headers, "cowslipford-replayed", "yes");
            Ok(Claimed::Earlier(Box::new(response)))
        }
    }
}

impl Claim {
    /// Notes that bytes may be sent from now on.
    pub(crate) fn sending(&mut self) {
        self.sent = true;
    }

    /// Notes that no byte was sent after all.
    pub(crate) fn not_sent(&mut self) {
        self.sent = false;
    }

    /// Reports the answer once it has been passed on whole.
    pub(crate) fn answered(
        mut self,
        status: u16,
        content_type: String,
        ended: oneshot::Receiver<Option<Vec<u8>>>,
    ) {
        tokio::spawn(async move {
            if let Ok(body) = ended.await {
                self.settled = true;
                self.settle(Some(Resolution::Answered(Stored {
                    status,
                    content_type,
                    body,
                })));
            }
        });
    }

    fn settle(&self, known: Option<Resolution>) {
        let query = Query::Settle {
            key: self.key,
            request: self.request,
            known,
        };
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .frontend
            .context
            .reactor
            .send(Input::Query(query, sender));
        // The query is repeated for as long as its receiver lives.
        tokio::spawn(tokio::time::timeout(SETTLE, receiver));
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.settled {
            self.settle(self.sent.then_some(Resolution::Unknown));
        }
    }
}
