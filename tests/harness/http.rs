//! Calls over HTTP that tell a whole answer from a cut one.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

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
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let answered = runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(60), exchange(address, request)).await
    });
    answered.ok().flatten().unwrap_or_default()
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Answer> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let connection = tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let (head, mut body) = response.into_parts();
    let mut answer = Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: Bytes::new(),
        whole: true,
    };
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |d| &d[..])),
            Err(_) => {
                answer.whole = false;
                break;
            }
        }
    }
    answer.body = Bytes::from(bytes);
    connection.abort();
    Some(answer)
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
