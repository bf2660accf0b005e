//! Sockets of accepted connections, and their regular close.
//!
//! A close loses what the other side has sent and this one has not read. A connection is therefore
//! closed only while nothing has arrived on it, and one whose request was not read to its end is
//! read on for a while after the response: otherwise the system would reset it, and the caller
//! could lose the response.
//!
//! An answer without a length or chunks ends with its connection, so that a regular close marks its
//! end. While one is in progress, the socket is set to be reset by any close, also by the system if
//! this process is killed.

use crate::paced::Paced;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Longest time for which a connection is read after the response to a request that was not read to
/// its end.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that one call reads of what is discarded.
const DISCARD_READ_BYTES: usize = 8 * 1024;
/// Time between two checks of whether anything has arrived on a connection that is to be closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the first bytes of a new connection to arrive before it counts as idle.
const FIRST_BYTES_TIME: Duration = Duration::from_millis(100);

/// State of a connection, shared by its socket and the requests on it.
#[derive(Debug)]
pub(crate) struct State {
    opened_at: Instant,
    /// Whether an answer that ends with the connection is in progress.
    is_unframed: AtomicBool,
    /// Whether the body of the latest request has not been read to its end.
    has_unread_body: AtomicBool,
    /// Requests in progress.
    requests: AtomicU64,
    /// Reads that returned bytes.
    reads: AtomicU64,
    /// Value of `reads` at the end of the latest request.
    reads_at_end: AtomicU64,
    /// Whether the connection is to be closed, and its socket checks for unread bytes.
    is_closing: AtomicBool,
    /// Whether the system held unread bytes at the last check.
    has_unread_bytes: AtomicBool,
}

impl State {
    /// Creates the state of a new connection.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(State {
            opened_at: Instant::now(),
            is_unframed: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            reads_at_end: AtomicU64::new(0),
            is_closing: AtomicBool::new(false),
            has_unread_bytes: AtomicBool::new(false),
        })
    }

    /// Begins a request, which is in progress until the returned value is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> Busy {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Busy(self.clone())
    }

    /// Sets whether an answer that ends with the connection is in progress.
    pub(crate) fn set_unframed(&self, is_unframed: bool) {
        self.is_unframed.store(is_unframed, Ordering::Relaxed);
    }

    /// Sets whether the body of the latest request has not been read to its end.
    pub(crate) fn set_unread_body(&self, has_unread_body: bool) {
        self.has_unread_body
            .store(has_unread_body, Ordering::Relaxed);
    }

    fn is_unframed(&self) -> bool {
        self.is_unframed.load(Ordering::Relaxed)
    }

    /// Whether a request is in progress.
    fn is_busy(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 0
    }

    /// Whether a part of a head has arrived, or bytes that have not been read.
    fn has_arrivals(&self) -> bool {
        let reads = self.reads.load(Ordering::Relaxed);
        self.has_unread_bytes.load(Ordering::Relaxed)
            || reads > self.reads_at_end.load(Ordering::Relaxed)
    }

    /// Whether the first request of a new connection may be on its way.
    fn is_new(&self) -> bool {
        self.reads.load(Ordering::Relaxed) == 0 && self.opened_at.elapsed() < FIRST_BYTES_TIME
    }
}

/// A request in progress on a connection.
#[derive(Debug)]
pub(crate) struct Busy(Arc<State>);

impl Busy {
    /// State of the connection.
    pub(crate) fn state(&self) -> &State {
        &self.0
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let reads = self.0.reads.load(Ordering::Relaxed);
        self.0.reads_at_end.store(reads, Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Socket of an accepted connection.
pub(crate) struct Socket {
    stream: TokioIo<Paced<TcpStream>>,
    state: Arc<State>,
    /// Whether the socket is set to be reset when it is closed.
    is_reset: bool,
    /// Ends the discarding of what arrives after a response.
    discard_timer: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, state: Arc<State>) -> Self {
        Socket {
            stream: TokioIo::new(Paced::new(stream)),
            state,
            is_reset: false,
            discard_timer: None,
        }
    }

    /// The stream of the socket.
    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream.into_inner().into_inner()
    }

    /// Sets whether the system resets the connection when it is closed.
    fn set_reset(&mut self, is_reset: bool) {
        if self.is_reset != is_reset {
            self.is_reset = is_reset;
            let linger = is_reset.then_some(Duration::ZERO);
            // Setting it fails only if the connection has ended.
            let _ = socket2::SockRef::from(self.stream.inner().get_ref()).set_linger(linger);
        }
    }

    /// Has the connection reset from now on if an answer without framing is in progress. Called
    /// before each write, so before the head of the answer.
    fn reset_if_unframed(&mut self) {
        if self.state.is_unframed() {
            self.set_reset(true);
        }
    }

    /// Reads and drops what arrives, until the other side closes the connection or time is over.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .discard_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(DISCARD_TIMEOUT)));
        if timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut buffer = [0; DISCARD_READ_BYTES];
        loop {
            let mut read = ReadBuf::new(&mut buffer);
            match Pin::new(self.stream.inner_mut()).poll_read(context, &mut read) {
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_ready() {
            self.state.reads.fetch_add(1, Ordering::Relaxed);
        }
        if self.state.is_closing.load(Ordering::Relaxed) {
            // The runtime may not know yet of bytes that the system has received.
            let unread = rustix::io::ioctl_fionread(self.stream.inner().get_ref());
            let has_unread = unread.is_ok_and(|bytes| bytes > 0);
            self.state
                .has_unread_bytes
                .store(has_unread, Ordering::Relaxed);
        }
        polled
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        self.reset_if_unframed();
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.reset_if_unframed();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.state.is_unframed() {
            // A shutdown would look like the end of the answer.
            return Poll::Ready(Ok(()));
        }
        self.set_reset(false);
        if self.discard_timer.is_none() {
            std::task::ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        if self.state.has_unread_body.load(Ordering::Relaxed) {
            std::task::ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.reset_if_unframed();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}

/// How the close of a connection has ended.
pub(crate) enum Closed {
    /// The connection has ended.
    Ended(hyper::Result<()>),
    /// The head of a request has begun to arrive and is not complete.
    PartialHead,
}

/// Closes a connection with `shut` once no request is in progress on it and nothing has arrived. A
/// part of a head is waited for until `patience` ends.
pub(crate) async fn close<C, F, P>(
    mut connection: Pin<&mut C>,
    state: &State,
    shut: F,
    patience: P,
) -> Closed
where
    C: Future<Output = hyper::Result<()>>,
    F: FnOnce(Pin<&mut C>),
    P: Future<Output = ()>,
{
    state.is_closing.store(true, Ordering::Relaxed);
    tokio::pin!(patience);
    loop {
        // Reads what has arrived, and checks for unread bytes.
        let polled = std::future::poll_fn(|context| Poll::Ready(connection.as_mut().poll(context)));
        if let Poll::Ready(ended) = polled.await {
            return Closed::Ended(ended);
        }
        if !(state.is_busy() || state.has_arrivals() || state.is_new()) {
            shut(connection.as_mut());
            return Closed::Ended(connection.await);
        }
        tokio::select! {
            biased;
            ended = connection.as_mut() => return Closed::Ended(ended),
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL) => {}
            () = &mut patience, if !state.is_busy() => return Closed::PartialHead,
        }
    }
}

#[cfg(test)]
mod tests;
