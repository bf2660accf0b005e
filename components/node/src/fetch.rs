//! Reads pages of endpoints, the platform and operators over HTTP.

use crate::client;
use crate::paced::Paced;
use bytes::Bytes;
use coordination::ending::Framing;
use errors::{Error, Result};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Fetches a page of at most `max` bytes, on a connection of its own.
///
/// # Errors
///
/// If the peer cannot be reached, answers with a status other than 200 or with a malformed head, or
/// the page is longer.
pub(crate) async fn fetch(peer: SocketAddr, path: &str, max: usize) -> Result<Bytes> {
    let step = "read a page";
    let request = Request::get(path).body(Full::default());
    let request = request.map_err(Error::peer(step, peer))?;
    let is_page = |status| status == StatusCode::OK;
    let (response, _) = exchange(step, peer, request, max, is_page).await?;
    Ok(response.into_body())
}

/// Sends a request on a connection of its own. Returns the response, with a body of at most `max`
/// bytes, and how the end of that body was marked. Errors name this `step`.
///
/// # Errors
///
/// If the peer cannot be reached, answers with a malformed head or with a status that `accepts`
/// rejects, or the body is longer or not complete.
pub async fn exchange<F>(
    step: &'static str,
    peer: SocketAddr,
    mut request: Request<Full<Bytes>>,
    max: usize,
    accepts: F,
) -> Result<(Response<Bytes>, Framing)>
where
    F: Fn(StatusCode) -> bool,
{
    let stream = TcpStream::connect(peer)
        .await
        .map_err(Error::peer(step, peer))?;
    let stream = TokioIo::new(Paced::new(stream));
    let (mut sender, connection) = client::handshake(stream, None)
        .await
        .map_err(Error::peer(step, peer))?;
    let host = HeaderValue::try_from(peer.to_string()).map_err(Error::peer(step, peer))?;
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let answer = async {
        let sent = sender.send(request).await;
        let client::Response {
            head,
            body,
            framing,
        } = sent.map_err(Error::peer(step, peer))?;
        if !accepts(head.status) {
            let status = head.status;
            return Err(Error::peer(step, peer)(format!(
                "unexpected status {status}"
            )));
        }
        let body = Limited::new(body, max).collect().await;
        let body = body.map_err(Error::peer(step, peer))?.to_bytes();
        Ok((Response::from_parts(head, body), framing))
    };
    let (answer, _) = tokio::join!(answer, connection);
    answer
}
