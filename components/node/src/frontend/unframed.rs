//! Answers to callers of HTTP/1.0, which end with their connection.
//!
//! Such an answer has no chunks, so that a regular close of its connection marks its end. The socket
//! of the connection knows while one is in progress.

use super::connections::Activity;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Request, Response, Version};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Whether the caller of a request reads an answer without a length until the connection closes.
pub(super) fn is_unframed<B>(request: &Request<B>) -> bool {
    request.version() < Version::HTTP_11
}

/// Body of an answer, which keeps its connection busy until it is dropped, and ends the reset of the
/// connection once it is complete.
pub(super) struct Tracked<B> {
    body: B,
    activity: Activity,
}

/// Tracks the body of a reply until its end.
pub(super) fn track<B>(
    reply: Response<B>,
    is_unframed: bool,
    activity: Activity,
) -> Response<Tracked<B>>
where
    B: Body,
{
    let has_end = reply.body().size_hint().exact().is_some();
    activity.socket().set_unframed(is_unframed && !has_end);
    reply.map(|body| Tracked { body, activity })
}

impl<B> Body for Tracked<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let is_complete = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_complete {
            self.activity.socket().set_unframed(false);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
