//! An HTTP client that distinguishes complete answers from truncated ones.

use super::slow::Slow;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout until the end of an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Body of a request.
pub(crate) type Payload = Either<Full<Bytes>, Slow>;

/// An answer, with the part of its body that was received.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    /// Status code; 0 if no head was received.
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body was received to its end.
    pub(crate) complete: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    }

    /// Value of the header `cowslipford-outcome`.
    pub(crate) fn outcome(&self) -> &str {
        self.header("cowslipford-outcome")
    }

    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a GET request.
pub(crate) fn get(address: SocketAddr, path: &str, key: &str) -> Answer {
    send(address, "GET", path, key, &[], "")
}

/// Sends a GET request; `None` if no head was received.
pub(crate) fn try_get(address: SocketAddr, path: &str, key: &str) -> Option<Answer> {
    let answer = get(address, path, key);
    (answer.status != 0).then_some(answer)
}

/// Sends one request on a connection of its own.
pub(crate) fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut client = Client::new(address);
    let request = request(method, path, key, headers, body);
    // A timeout counts as no answer, not as a truncated one.
    let answered = runtime.block_on(async {
        tokio::time::timeout(RESPONSE_TIMEOUT, client.call(request, Duration::MAX)).await
    });
    answered.unwrap_or_default()
}

/// Builds a request.
pub(crate) fn request(
    method: &str,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Payload> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    if !key.is_empty() {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request
        .body(Either::Left(Full::new(Bytes::from(body.to_owned()))))
        .unwrap()
}

/// A caller with a connection that is reused as long as the server keeps it open.
pub(crate) struct Client {
    address: SocketAddr,
    sender: Option<SendRequest<Payload>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Client {
            address,
            sender: None,
        }
    }

    /// Sends a request and reads the part of the answer that arrives before the timeout.
    pub(crate) async fn call(&mut self, request: Request<Payload>, timeout: Duration) -> Answer {
        let mut answer = Answer::default();
        // A timeout drops the connection: the rest of this answer would otherwise be
        // read as the next one.
        let _ = tokio::time::timeout(timeout, self.exchange(request, &mut answer)).await;
        answer
    }

    /// Sends a request and fills in its answer; keeps the connection only if the answer is
    /// complete.
    async fn exchange(&mut self, request: Request<Payload>, answer: &mut Answer) -> Option<()> {
        let mut sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect(self.address).await?,
        };
        sender.ready().await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let (head, mut body) = response.into_parts();
        answer.status = head.status.as_u16();
        answer.headers = head.headers;
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            bytes.extend_from_slice(frame.data_ref().map_or(&[], |d| &d[..]));
            answer.body = bytes.clone().freeze();
        }
        answer.complete = true;
        self.sender = Some(sender);
        Some(())
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Payload>> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // It ends with its sender, or with the connection.
    tokio::spawn(connection);
    Some(sender)
}

/// Sends raw bytes and reads until the server closes the connection or sends nothing for
/// `wait`; returns the answer and whether the connection was closed.
pub(crate) fn send_raw(address: SocketAddr, bytes: &[u8], wait: Duration) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(wait)).unwrap();
    // The server may refuse the request before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (answer, true),
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return (answer, false),
            Err(_) => return (answer, true),
        }
    }
}
