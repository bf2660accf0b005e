//! Client side of the frontend: one try of one request at one endpoint.
//!
//! An answer is matched to its request by the ID in its head, not only by the connection:
//! on a reused connection, a late second answer to an earlier request can arrive.

use super::pool::{self, Connection, Pool};
use super::refusal::set_header;
use crate::client;
use crate::input::Dispatch;
use crate::interface::{Interface, Outbound, Signals};
use bytes::Bytes;
use coordination::backoff::Backoff;
use coordination::messages::Verdict;
use coordination::prompt::SharedParts;
use coordination::retry::Reach;
use errors::{Error, Result};
use http_body_util::Full;
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING,
};
use hyper::{HeaderMap, Method, Request, Uri};
use state::fingerprint::{Fingerprint, Subject};
use state::id::{Name, RequestId};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Hop-by-hop headers, which belong to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TRANSFER_ENCODING,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A request of a caller with its whole body, which can be sent to several endpoints in turn.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    /// ID that the caller gave the request.
    pub(crate) request_id: Option<HeaderValue>,
    /// Customer whose key the request has.
    pub(crate) customer: Option<Name>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Parts of the prompt that other requests may share.
    pub(crate) shared_parts: SharedParts,
    /// Permits for the body's part of the memory for bodies, held until the call is dropped.
    pub(crate) _memory: Option<OwnedSemaphorePermit>,
    /// Fingerprint, computed when it is first needed.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
}

/// A failed try.
#[derive(Debug)]
pub(crate) struct Failure {
    /// How far the request may have got.
    pub(crate) reach: Reach,
    /// What the failure says of the endpoint's health.
    pub(crate) verdict: Verdict,
    /// Whether no connection to the endpoint could be opened.
    pub(crate) unconnected: bool,
    /// Whether the endpoint closed the connection while the request may have been running.
    pub(crate) broke_off: bool,
    /// Backoff that the endpoint asks for.
    pub(crate) backoff: Option<Backoff>,
    pub(crate) error: Box<Error>,
}

impl Failure {
    pub(crate) fn new(reach: Reach, error: Error) -> Self {
        Failure {
            reach,
            verdict: Verdict::Failed,
            unconnected: false,
            broke_off: false,
            backoff: None,
            error: Box::new(error),
        }
    }
}

/// Head of an answer, with the connection that its body arrives on.
pub(crate) struct Answer {
    pub(crate) response: client::Response,
    pub(crate) connection: Connection,
    /// Backoff that the endpoint asks for.
    pub(crate) backoff: Option<Backoff>,
    /// Speed that the endpoint states, in percent of the usual time, and when its statement
    /// arrived.
    pub(crate) speed: Option<(u16, std::time::Instant)>,
}

/// Options of sending a call.
pub(crate) struct Options<'a> {
    pub(crate) interface: &'a Interface,
    pub(crate) pool: &'a Pool,
    /// Whether the request must not run twice.
    pub(crate) at_most_once: bool,
    /// Time until the request's deadline.
    pub(crate) remaining: Duration,
    /// Event after which the answer is to continue a stream.
    pub(crate) last_event_id: Option<&'a HeaderValue>,
}

/// Sends a call to an endpoint and returns the head of its answer.
///
/// # Errors
///
/// [`Failure`], if there is no connection or no valid answer.
pub(crate) async fn send(
    call: &Call,
    dispatch: &Dispatch,
    options: Options<'_>,
) -> Result<Answer, Failure> {
    let unsent_failure = |error| Failure::new(Reach::Nothing, error);
    let began = std::time::Instant::now();
    let key = (dispatch.endpoint, dispatch.address);
    let mut pooled = options.pool.take(&key, options.at_most_once);
    loop {
        let reused = pooled.is_some();
        let mut connection = match pooled.take() {
            Some(connection) => connection,
            None => pool::connect(dispatch.address)
                .await
                .map_err(no_connection)?,
        };
        let remaining = options.remaining.saturating_sub(began.elapsed());
        let request = call
            .request(dispatch, &options, remaining)
            .map_err(unsent_failure)?;
        match connection.sender.send(request).await {
            Ok(response) => {
                return check_answer(call, dispatch, options.interface, response, connection)
            }
            // The endpoint had closed the pooled connection before anything was sent.
            Err(client::Failure::Unsent(_)) if reused => {
                pooled = options.pool.take(&key, options.at_most_once);
            }
            Err(failure) => {
                let error = Error::peer("send to an endpoint", dispatch.address);
                return Err(Failure {
                    broke_off: matches!(failure, client::Failure::Connection(_)),
                    ..Failure::new(failure.reach(), error(failure))
                });
            }
        }
    }
}

/// The failure of a try for which no connection could be opened.
///
/// An error of this process, such as no free file descriptor, says nothing of the endpoint: a
/// router without descriptors would otherwise report healthy endpoints as failed to their
/// scheduler, and have them ejected for all routers.
fn no_connection(error: Error) -> Failure {
    let verdict = match error {
        Error::Peer { .. } => Verdict::Failed,
        _ => Verdict::Cancelled,
    };
    Failure {
        unconnected: true,
        verdict,
        ..Failure::new(Reach::Nothing, error)
    }
}

/// Checks that an answer is the endpoint's own answer to this call.
fn check_answer(
    call: &Call,
    dispatch: &Dispatch,
    interface: &Interface,
    response: client::Response,
    connection: Connection,
) -> Result<Answer, Failure> {
    let Signals {
        request_id,
        not_run,
        is_authentic,
        is_leaving,
        retry_after,
        speed_percent,
    } = (interface.parse_response)(&response.head);
    let retry_after = retry_after.map(|time| Backoff::pausing(dispatch.endpoint, time));
    let backoff = is_leaving
        .then(|| Backoff::leaving(dispatch.endpoint))
        .or(retry_after);
    let bad_answer = |reason: &str| Error::Peer {
        step: "read an answer",
        peer: dispatch.address.to_string(),
        reason: reason.to_owned(),
    };
    let own_id = call.id.to_string();
    let expected = call
        .request_id
        .as_ref()
        .map_or(own_id.as_bytes(), |i| i.as_bytes());
    if request_id.is_some_and(|i| i.as_bytes() != expected) {
        // An endpoint that mixes up its answers would otherwise deliver another caller's answer
        // to this one.
        let error = bad_answer("it bears the identity of another request");
        return Err(Failure {
            backoff,
            ..Failure::new(Reach::Sent, error)
        });
    }
    if not_run {
        return Err(Failure {
            // An endpoint that refuses requests because it is full is healthy.
            verdict: Verdict::Cancelled,
            backoff,
            ..Failure::new(
                Reach::Nothing,
                bad_answer("the endpoint did not run the request"),
            )
        });
    }
    if !is_authentic {
        let error = bad_answer("it is not an endpoint's own answer");
        return Err(Failure {
            backoff,
            ..Failure::new(Reach::Sent, error)
        });
    }
    Ok(Answer {
        response,
        connection,
        backoff,
        speed: speed_percent.map(|percent| (percent, std::time::Instant::now())),
    })
}

impl Call {
    /// Fingerprint by which resends of the same request are recognised.
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

    /// Whether the caller takes up a stream again that began under another request.
    pub(crate) fn continues_stream(&self, interface: &Interface) -> bool {
        let names = [interface.resumes, interface.last_event_id];
        names.iter().any(|name| self.headers.contains_key(*name))
    }

    /// Builds the request to the endpoint; its framing headers are made anew, not copied from the
    /// caller's request.
    fn request(
        &self,
        dispatch: &Dispatch,
        options: &Options<'_>,
        remaining: Duration,
    ) -> Result<Request<Full<Bytes>>> {
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))
            .map_err(Error::peer("build a request", dispatch.address))?;
        let headers = request.headers_mut();
        for (name, value) in &self.headers {
            headers.append(name.clone(), value.clone());
        }
        strip_hop_by_hop(headers);
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let outbound = Outbound {
            request_id: &self.id.to_string(),
            endpoint: &dispatch.name,
            customer: self.customer.as_ref(),
            time_left: remaining,
            copy_from: dispatch.copy_from,
        };
        (options.interface.rewrite_headers)(headers, &outbound);
        if let Some(id) = options.last_event_id {
            // Replaces the caller's own id, which is of an earlier event.
            headers.insert(options.interface.last_event_id, id.clone());
        }
        if !headers.contains_key(HOST) {
            set_header(headers, "host", &dispatch.address.to_string());
        }
        Ok(request)
    }
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = (headers.get_all(CONNECTION).iter())
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| HeaderName::try_from(n.trim()).ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Time for which an endpoint announces, by `Keep-Alive: timeout=`, that it keeps an idle
/// connection open.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
