//! Calls over HTTP that tell a whole answer from a cut one.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for the end of an answer.
const ANSWER: Duration = Duration::from_secs(60);

/// An answer, as far as it came.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    /// 0 when there was no answer at all.
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether it came to its end.
    pub(crate) whole: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
    }

    pub(crate) fn outcome(&self) -> &str {
        self.header("cowslipford-outcome")
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub(crate) fn get(address: SocketAddr, path: &str, key: &str) -> Answer {
    send(address, "GET", path, key, &[], "")
}

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
    // An answer that has not ended by then counts as none, not as cut.
    let answered = runtime.block_on(async {
        tokio::time::timeout(ANSWER, client.call(request, Duration::MAX)).await
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
) -> Request<Full<Bytes>> {
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
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

/// A caller's connection, kept for as long as the other side keeps it.
pub(crate) struct Client {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Client {
            address,
            sender: None,
        }
    }

    /// Sends a request and reads its answer, as far as it comes in this time.
    pub(crate) async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Answer {
        let mut answer = Answer::default();
        // Out of time, the connection is dropped: what is still to come on it would
        // be taken for the next answer.
        let _ = tokio::time::timeout(patience, self.exchange(request, &mut answer)).await;
        answer
    }

    /// Keeps the connection only behind a whole answer.
    async fn exchange(&mut self, request: Request<Full<Bytes>>, answer: &mut Answer) -> Option<()> {
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
        answer.whole = true;
        self.sender = Some(sender);
        Some(())
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // It ends with its sender, or with the connection.
    tokio::spawn(connection);
    Some(sender)
}

/// Sends raw bytes and reads until the other side closes, or for this long.
pub(crate) fn raw(address: SocketAddr, bytes: &[u8], wait: Duration) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(wait)).unwrap();
    // The other side may refuse before it has read everything.
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
