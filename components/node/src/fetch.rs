//! Fetches a page from an endpoint or the platform over HTTP.

use crate::client;
use crate::paced::Paced;
use bytes::Bytes;
use errors::{Error, Result};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Fetches a page of at most `max` bytes, on a connection of its own.
///
/// # Errors
///
/// If the peer cannot be reached, answers with a status other than 200 or a malformed head, or the
/// page is longer.
pub(crate) async fn fetch(peer: SocketAddr, path: &str, max: usize) -> Result<Bytes> {
    let step = "read a page";
    let stream = TcpStream::connect(peer)
        .await
        .map_err(Error::peer(step, peer))?;
    let stream = TokioIo::new(Paced::new(stream));
    let (mut sender, connection) = client::handshake(stream, None)
        .await
        .map_err(Error::peer(step, peer))?;
    let request = Request::get(path)
        .header("host", peer.to_string())
        .header("connection", "close")
        .body(Empty::<Bytes>::new())
        .map_err(Error::peer(step, peer))?;
    let answer = async {
        let sent = sender.send(request).await;
        let (response, _) = sent.map_err(Error::peer(step, peer))?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(Error::peer(step, peer)(format!(
                "unexpected status {status}"
            )));
        }
        let body = Limited::new(response.into_body(), max).collect();
        body.await
            .map(|b| b.to_bytes())
            .map_err(Error::peer(step, peer))
    };
    let (body, _) = tokio::join!(answer, connection);
    body
}
