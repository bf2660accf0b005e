//! Body of a request that is sent slowly.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Sleep};

/// A body that is sent byte by byte, with a pause before each.
pub(crate) struct Slow {
    left: Bytes,
    pause: Duration,
    timer: Pin<Box<Sleep>>,
    /// Whether its length is announced; otherwise it is sent in chunks.
    has_length: bool,
    /// Set once the last byte has been passed to the connection.
    is_sent: Arc<AtomicBool>,
}

impl Slow {
    /// Creates a body that takes `lasts`, and the flag that is set at its end.
    pub(crate) fn new(text: &str, lasts: Duration, has_length: bool) -> (Self, Arc<AtomicBool>) {
        let is_sent = Arc::new(AtomicBool::new(false));
        let pause = lasts / u32::try_from(text.len().max(1)).unwrap();
        let body = Slow {
            left: text.to_owned().into(),
            pause,
            timer: Box::pin(sleep(pause)),
            has_length,
            is_sent: is_sent.clone(),
        };
        (body, is_sent)
    }
}

impl Body for Slow {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        std::task::ready!(self.timer.as_mut().poll(context));
        let pause = self.pause;
        self.timer.set(sleep(pause));
        let byte = self.left.split_to(1);
        self.is_sent.store(self.left.is_empty(), Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(byte))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        match self.has_length {
            true => SizeHint::with_exact(self.left.len() as u64),
            false => SizeHint::default(),
        }
    }
}
