//! Answers to callers of HTTP/1.0, which end with their connection.
//!
//! Such an answer has no chunks, so that a regular close of its connection marks its end. While it
//! is in progress, the connection is therefore set to be reset by any close, also by the system if
//! this process is killed.

use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// Whether an answer that ends with its connection is in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct InProgress(Arc<AtomicBool>);

impl InProgress {
    fn set(&self, is_in_progress: bool) {
        self.0.store(is_in_progress, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Whether the caller of a request reads an answer without a length until the connection closes.
pub(super) fn is_unframed<B>(request: &Request<B>) -> bool {
    request.version() < Version::HTTP_11
}

/// Socket of a caller's connection.
pub(super) struct Socket {
    stream: TokioIo<TcpStream>,
    in_progress: InProgress,
    /// Whether the socket is set to be reset when it is closed.
    is_reset: bool,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, in_progress: InProgress) -> Self {
        Socket {
            stream: TokioIo::new(stream),
            in_progress,
            is_reset: false,
        }
    }

    /// Sets whether the system resets the connection when it is closed.
    fn set_reset(&mut self, is_reset: bool) {
        if self.is_reset != is_reset {
            self.is_reset = is_reset;
            let linger = is_reset.then_some(Duration::ZERO);
            // Setting it fails only if the connection has ended.
            let _ = socket2::SockRef::from(self.stream.inner()).set_linger(linger);
        }
    }

    /// Has the connection reset from now on if an answer is in progress. Called before each write,
    /// so before the head of the answer.
    fn reset_if_in_progress(&mut self) {
        if self.in_progress.get() {
            self.set_reset(true);
        }
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        self.reset_if_in_progress();
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.reset_if_in_progress();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.in_progress.get() {
            // A shutdown would look like the end of the answer.
            return Poll::Ready(Ok(()));
        }
        self.set_reset(false);
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.reset_if_in_progress();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}

/// Body of an answer, which ends the reset of its connection once it is complete.
pub(super) struct Tracked<B, T> {
    body: B,
    in_progress: InProgress,
    /// Dropped with the body.
    _guard: T,
}

/// Tracks the body of a reply until its end. `guard` is dropped with the body.
pub(super) fn track<B, T>(
    reply: Response<B>,
    is_unframed: bool,
    in_progress: InProgress,
    guard: T,
) -> Response<Tracked<B, T>>
where
    B: Body,
{
    in_progress.set(is_unframed && reply.body().size_hint().exact().is_none());
    reply.map(|body| Tracked {
        body,
        in_progress,
        _guard: guard,
    })
}

impl<B, T> Body for Tracked<B, T>
where
    B: Body + Unpin,
    T: Unpin,
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
            self.in_progress.set(false);
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
