//! Reads from a connection in turns, so that one task does not keep a worker thread.
//!
//! hyper reads on as long as bytes arrive and make up nothing that it can pass on: interim
//! responses, blank lines, or the digits of a chunk's size. Their number has no bound, and they take
//! much longer to parse than to send. The runtime's own budget counts reads, not bytes.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are read in one turn, which take a millisecond or two to parse one by one.
const TURN_BYTES: usize = 64 * 1024;

/// Whether the peer of a connection has not taken all that was to be written to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backpressure(Arc<AtomicBool>);

impl Backpressure {
    /// Whether bytes wait to be written.
    pub(crate) fn is_waiting(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Records the result of an attempt to write.
    fn record(&self, polled: &Poll<Result<usize>>) {
        match polled {
            Poll::Ready(Ok(_)) => self.0.store(false, Ordering::Release),
            // What could not be written will not be.
            Poll::Ready(Err(_)) | Poll::Pending => self.0.store(true, Ordering::Release),
        }
    }
}

/// A connection that lets other tasks run after each turn of reading.
#[derive(Debug)]
pub(crate) struct Paced<S> {
    stream: S,
    /// Bytes that were read in this turn.
    read: usize,
    backpressure: Backpressure,
}

impl<S> Paced<S> {
    pub(crate) fn new(stream: S) -> Self {
        Paced {
            stream,
            read: 0,
            backpressure: Backpressure::default(),
        }
    }

    /// Whether bytes wait to be written, also after the connection was moved.
    pub(crate) fn backpressure(&self) -> Backpressure {
        self.backpressure.clone()
    }

    pub(crate) fn get_ref(&self) -> &S {
        &self.stream
    }

    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S> AsyncRead for Paced<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let left = TURN_BYTES.saturating_sub(self.read);
        if left == 0 {
            self.read = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let stream = Pin::new(&mut self.stream);
        let polled = if buffer.remaining() <= left {
            stream.poll_read(context, buffer)
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(left));
            let polled = stream.poll_read(context, &mut part);
            let count = part.filled().len();
            buffer.advance(count);
            polled
        };
        match polled {
            Poll::Ready(_) => self.read += buffer.filled().len() - filled,
            Poll::Pending => self.read = 0,
        }
        polled
    }
}

impl<S> AsyncWrite for Paced<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.backpressure.record(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
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
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.backpressure.record(&polled);
        polled
    }
}
