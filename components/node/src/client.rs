//! Client side of HTTP/1.1 connections, to endpoints, other routers and pages.
//!
//! All responses that this process reads come from [`Sender::send`], which checks their heads before
//! anything else looks at them.

use coordination::ending::Framing;
use coordination::head::{Head, Malformed};
use coordination::retry::Reach;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::rt::{Read, Write};
use hyper::Request;
use std::fmt;
use std::future::Future;

/// Sends requests on a connection, and checks the heads of their responses.
pub(crate) struct Sender<B>(SendRequest<B>);

/// A response whose head is well formed.
pub(crate) struct Response {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    /// How the end of the body is marked.
    pub(crate) framing: Framing,
}

/// Why a request has no usable response.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The connection had ended before anything was sent.
    Unsent(hyper::Error),
    /// The connection failed, or the parser rejected the head.
    Connection(hyper::Error),
    /// The head of the response is malformed.
    Head(Malformed),
}

impl Failure {
    /// How far the request may have got.
    pub(crate) fn reach(&self) -> Reach {
        match self {
            Failure::Unsent(_) => Reach::Nothing,
            Failure::Connection(_) | Failure::Head(_) => Reach::Sent,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unsent(error) | Failure::Connection(error) => error.fmt(f),
            Failure::Head(malformed) => malformed.fmt(f),
        }
    }
}

/// Prepares a connection for requests. `max_buffer` bounds the bytes that are read ahead.
///
/// # Errors
///
/// The error of the connection.
pub(crate) async fn handshake<S, B>(
    stream: S,
    max_buffer: Option<usize>,
) -> hyper::Result<(Sender<B>, http1::Connection<S, B>)>
where
    S: Read + Write + Unpin,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut builder = http1::Builder::new();
    if let Some(max_buffer) = max_buffer {
        builder.max_buf_size(max_buffer);
    }
    let (sender, connection) = builder.handshake(stream).await?;
    Ok((Sender(sender), connection))
}

impl<B> Sender<B>
where
    B: Body + 'static,
{
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// [`Failure`], if the connection fails or the head of the response is malformed.
    pub(crate) fn send(
        &mut self,
        request: Request<B>,
    ) -> impl Future<Output = Result<Response, Failure>> {
        let sending = self.0.try_send_request(request);
        async {
            let response = sending
                .await
                .map_err(|mut error| match error.take_message() {
                    Some(_) => Failure::Unsent(error.into_error()),
                    None => Failure::Connection(error.into_error()),
                })?;
            Response::try_from(response).map_err(Failure::Head)
        }
    }
}

impl<B> Sender<B> {
    /// Whether the connection can take a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

impl TryFrom<hyper::Response<Incoming>> for Response {
    type Error = Malformed;

    fn try_from(response: hyper::Response<Incoming>) -> Result<Self, Malformed> {
        let (head, body) = response.into_parts();
        let lines = |name| head.headers.get_all(name).iter().map(AsRef::as_ref);
        let stated = Framing::try_from(&Head {
            status: head.status.as_u16(),
            transfer_encodings: lines(TRANSFER_ENCODING).collect(),
            content_lengths: lines(CONTENT_LENGTH).collect(),
        })?;
        // Responses to HEAD, and some statuses, end with their heads whatever these state.
        let is_measured = body.size_hint().exact().is_some();
        let framing = if is_measured { Framing::Length } else { stated };
        Ok(Response {
            head,
            body,
            framing,
        })
    }
}
