//! One try of one request on one endpoint.
//!
//! An answer belongs to a request by the identity that it bears, not by the
//! connection that it comes over: a kept connection may bring a late second
//! answer to an earlier request.

use super::pool::{self, Connection, Pool};
use super::refusal::insert;
use crate::input::Dispatch;
use crate::interface::{Interface, Outbound, Signals};
use bytes::Bytes;
use coordination::backoff::Backoff;
use coordination::messages::Verdict;
use coordination::retry::Reach;
use errors::{Error, Result};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING,
};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use state::fingerprint::{Fingerprint, Subject};
use state::id::{Name, RequestId};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Headers that belong to one connection and are not passed on.
const HOP: [HeaderName; 6] = [
    CONNECTION,
    TRANSFER_ENCODING,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A request as it is sent on, as often as it may be.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    /// Identity that its caller gave it.
    pub(crate) identity: Option<HeaderValue>,
    /// Customer whose key it bore.
    pub(crate) customer: Option<Name>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's part of the memory for bodies.
    pub(crate) _memory: Option<OwnedSemaphorePermit>,
    /// Its fingerprint, once it was asked for.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
}

/// A failed try.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) reach: Reach,
    /// What it says of the endpoint.
    pub(crate) verdict: Verdict,
    /// Whether there was no connection to send it on.
    pub(crate) unconnected: bool,
    /// Whether the endpoint broke off a request that may have been running.
    pub(crate) broke_off: bool,
    /// What the endpoint says of itself.
    pub(crate) backoff: Option<Backoff>,
    pub(crate) error: Box<Error>,
}

impl Failed {
    fn new(reach: Reach, error: Error) -> Self {
        Failed {
            reach,
            verdict: Verdict::Failed,
            unconnected: false,
            broke_off: false,
            backoff: None,
            error: Box::new(error),
        }
    }
}

/// The head of an answer, with the connection that its body comes over.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    /// What the endpoint says of itself.
    pub(crate) backoff: Option<Backoff>,
}

/// How a call is sent.
pub(crate) struct Way<'a> {
    pub(crate) interface: &'a Interface,
    pub(crate) pool: &'a Pool,
    /// Whether the request must not run twice.
    pub(crate) once: bool,
    /// Time that is left.
    pub(crate) left: Duration,
}

/// Sends a call to an endpoint; gives the head of its answer.
pub(crate) async fn send(call: &Call, to: &Dispatch, way: Way<'_>) -> Result<Answer, Failed> {
    let nothing = |error| Failed::new(Reach::Nothing, error);
    let began = std::time::Instant::now();
    let key = (to.endpoint, to.address);
    let mut kept = way.pool.take(&key, way.once);
    loop {
        let reused = kept.is_some();
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => pool::connect(to.address).await.map_err(unconnected)?,
        };
        let left = way.left.saturating_sub(began.elapsed());
        let request = call.request(to, way.interface, left).map_err(nothing)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => return check(call, to, way.interface, response, connection),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                // The endpoint had closed the kept connection: nothing was sent.
                if unsent && reused {
                    kept = way.pool.take(&key, way.once);
                    continue;
                }
                let reach = if unsent { Reach::Nothing } else { Reach::Sent };
                let error = Error::peer("send to an endpoint", to.address)(error.into_error());
                return Err(Failed {
                    broke_off: reach == Reach::Sent,
                    ..Failed::new(reach, error)
                });
            }
        }
    }
}

/// A try for which there was no connection.
///
/// A router that is out of descriptors would else tell the scheduler of sound endpoints
/// that they have failed, and have them ejected for all routers.
fn unconnected(error: Error) -> Failed {
    let verdict = match error {
        Error::Peer { .. } => Verdict::Failed,
        _ => Verdict::Cancelled,
    };
    Failed {
        unconnected: true,
        verdict,
        ..Failed::new(Reach::Nothing, error)
    }
}

/// Checks that an answer is one to this call.
fn check(
    call: &Call,
    to: &Dispatch,
    interface: &Interface,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<Answer, Failed> {
    let (head, body) = response.into_parts();
    let Signals {
        identity,
        not_run,
        is_authentic,
        is_leaving,
        retry_after,
    } = (interface.parse_response)(&head);
    let retry_after = retry_after.map(|time| Backoff::pausing(to.endpoint, time));
    let backoff = is_leaving
        .then(|| Backoff::leaving(to.endpoint))
        .or(retry_after);
    let wrong = |reason: &str| Error::Peer {
        step: "read an answer",
        peer: to.address.to_string(),
        reason: reason.to_owned(),
    };
    let own = call.id.to_string();
    let expected = call
        .identity
        .as_ref()
        .map_or(own.as_bytes(), |i| i.as_bytes());
    if identity.is_some_and(|i| i.as_bytes() != expected) {
        // An endpoint that mixes up its answers would give this caller someone
        // else's; the identity that it returns shows it.
        let error = wrong("it bears the identity of another request");
        return Err(Failed {
            backoff,
            ..Failed::new(Reach::Sent, error)
        });
    }
    if not_run {
        return Err(Failed {
            // One that says that it is full is not broken.
            verdict: Verdict::Cancelled,
            backoff,
            ..Failed::new(
                Reach::Nothing,
                wrong("the endpoint did not run the request"),
            )
        });
    }
    if !is_authentic {
        let error = wrong("it is not an endpoint's own answer");
        return Err(Failed {
            backoff,
            ..Failed::new(Reach::Sent, error)
        });
    }
    Ok(Answer {
        response: Response::from_parts(head, body),
        connection,
        backoff,
    })
}

impl Call {
    /// What makes it the same request as another one.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(HOST).and_then(|v| v.to_str().ok());
            let path = self.uri.path_and_query();
            Fingerprint::of(&Subject {
                customer: self.customer.as_ref().map_or("", Name::as_str),
                method: self.method.as_str(),
                host: host.or(self.uri.host()).unwrap_or(""),
                path: path.map_or("/", |p| p.as_str()),
                body: &self.body,
            })
        })
    }

    /// Builds the onward request anew: nothing of the caller's framing is kept.
    fn request(
        &self,
        to: &Dispatch,
        interface: &Interface,
        time_left: Duration,
    ) -> Result<Request<Full<Bytes>>> {
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))
            .map_err(Error::peer("build a request", to.address))?;
        let headers = request.headers_mut();
        for (name, value) in &self.headers {
            headers.append(name.clone(), value.clone());
        }
        strip(headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let onward = Outbound {
            identity: &self.id.to_string(),
            endpoint: &to.name,
            customer: self.customer.as_ref(),
            time_left,
            copy_from: to.copy_from,
        };
        (interface.rewrite_headers)(headers, &onward);
        if !headers.contains_key(HOST) {
            insert(headers, "host", &to.address.to_string());
        }
        Ok(request)
    }
}

/// Removes headers that belong to one connection.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(CONNECTION).iter())
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| HeaderName::try_from(n.trim()).ok())
        .collect();
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
}

/// Time for which an endpoint says that it keeps the connection idle.
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let told = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    told.trim().parse().ok().map(Duration::from_secs)
}
