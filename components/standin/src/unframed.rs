//! Responses with neither a length nor chunks, which end with their connection.

use crate::server::{Aborted, Body, Socket};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, Version};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Header of a request that asks for such a response: `close`, or `http-1.0` for one of that
/// version.
const FRAMING_HEADER: &str = "stand-in-framing";

/// Version of the response without framing that a request asks for, if it does.
pub(crate) fn requested_version(request: &Request<Incoming>) -> Option<Version> {
    match request.headers().get(FRAMING_HEADER)?.as_bytes() {
        b"close" => Some(Version::HTTP_11),
        b"http-1.0" => Some(Version::HTTP_10),
        _ => None,
    }
}

/// Writes a response to the socket itself, since the HTTP library frames each body. The returned
/// error makes the library close the connection.
pub(crate) async fn write(version: Version, response: Response<Body>, socket: &Socket) -> Aborted {
    // The caller may have disconnected, which ends the response, too.
    let _ = try_write(version, response, socket).await;
    Aborted
}

async fn try_write(
    version: Version,
    response: Response<Body>,
    socket: &Socket,
) -> std::io::Result<()> {
    let Some(socket) = socket.0.upgrade() else {
        return Ok(());
    };
    let stream = std::net::TcpStream::from(socket.try_clone()?);
    let mut stream = TcpStream::from_std(stream)?;
    let (head, mut body) = response.into_parts();
    let mut text = format!("{version:?} {}\r\n", head.status);
    for (name, value) in &head.headers {
        if name != hyper::header::CONTENT_LENGTH {
            text += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
        }
    }
    text += "\r\n";
    stream.write_all(text.as_bytes()).await?;
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(bytes) = frame.data_ref() {
            stream.write_all(bytes).await?;
        }
    }
    Ok(())
}
