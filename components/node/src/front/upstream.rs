//! One try of one request on one endpoint.
//!
//! Each try has a connection of its own. An answer can thus belong to no other
//! request, and a failure to connect proves that no byte was sent.

use super::refusal::IDENTITY;
use bytes::Bytes;
use coordination::retry::Reach;
use errors::{Error, Result};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderName, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use state::id::RequestId;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

/// Longest time to connect to an endpoint.
const CONNECT: Duration = Duration::from_secs(2);

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
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The body's part of the memory for bodies.
    pub(crate) _memory: Option<OwnedSemaphorePermit>,
}

/// A failed try.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) reach: Reach,
    pub(crate) error: Error,
}

/// The head of an answer, with the connection that its body comes over.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
}

/// A connection to an endpoint, closed when dropped.
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a call to an endpoint; gives the head of its answer.
pub(crate) async fn send(call: &Call, address: SocketAddr) -> Result<Answer, Failed> {
    let nothing = |error| Failed {
        reach: Reach::Nothing,
        error,
    };
    let sent = |error| Failed {
        reach: Reach::Sent,
        error,
    };
    let request = call.request(address).map_err(nothing)?;
    let connecting = tokio::time::timeout(CONNECT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(Error::peer("connect to an endpoint", address))
        .map_err(nothing)?
        .map_err(Error::peer("connect to an endpoint", address))
        .map_err(nothing)?;
    // Small requests must not wait for more.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Error::peer("connect to an endpoint", address))
        .map_err(nothing)?;
    let connection = Connection(tokio::spawn(async move {
        // Its error reaches the request or the body as well.
        let _ = connection.await;
    }));
    let response = sender
        .send_request(request)
        .await
        .map_err(Error::peer("send to an endpoint", address))
        .map_err(sent)?;
    let echoed = response.headers().get(IDENTITY);
    if echoed.is_some_and(|v| v.as_bytes() != call.id.to_string().as_bytes()) {
        // An endpoint that mixes up its answers would give this caller someone
        // else's; the identity that it returns shows it.
        return Err(sent(Error::Peer {
            step: "read an answer",
            peer: address.to_string(),
            reason: "it bears the identity of another request".to_owned(),
        }));
    }
    Ok(Answer {
        response,
        connection,
    })
}

impl Call {
    /// Builds the onward request anew: nothing of the caller's framing is kept.
    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>> {
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .body(Full::new(self.body.clone()))
            .map_err(Error::peer("build a request", address))?;
        let headers = request.headers_mut();
        for (name, value) in &self.headers {
            headers.append(name.clone(), value.clone());
        }
        strip(headers);
        headers.remove(hyper::header::AUTHORIZATION);
        headers.remove(CONTENT_LENGTH);
        headers.remove(hyper::header::EXPECT);
        super::refusal::insert(headers, IDENTITY, &self.id.to_string());
        if !headers.contains_key(HOST) {
            super::refusal::insert(headers, "host", &address.to_string());
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
