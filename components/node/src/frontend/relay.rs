//! Passes an answer's body through to the caller, and counts its cost.

use super::delivery::Delivery;
use super::note::{Note, BROKE_OFF};
use super::plan::token_cost;
use super::pool::{Connection, Key, Pool};
use crate::input::Input;
use crate::journal::Journal;
use crate::monitor::Lateness;
use bytes::Bytes;
use coordination::dispatcher::Handle;
use coordination::messages::Verdict;
use coordination::prompt::Prompt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::StatusCode;
use state::config::{Cost, Engine};
use state::event::{Event, Kind};
use state::id::RequestId;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Bytes of an answer that are kept for a resend of a claimed request.
pub(crate) const KEEP_MAX: usize = 16 * 1024;
/// Time for which a caller may leave a piece unread before its endpoint may cut the answer off
/// for that, and time in which that shows once it reads on.
const UNREAD: Duration = Duration::from_secs(1);

/// A dispatched request; when dropped, its slot is given back.
pub(crate) struct Slot {
    pub(crate) handle: Handle,
    pub(crate) id: RequestId,
    pub(crate) cost: Meter,
    pub(crate) verdict: Verdict,
    pub(crate) armed: bool,
    pub(crate) reactor: flume::Sender<Input>,
    pub(crate) journal: Journal,
}

impl Slot {
    /// Lets go of the slot without giving it back.
    pub(crate) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let step = match self.verdict {
            Verdict::Cancelled => Kind::CallerGone,
            Verdict::Fine | Verdict::Failed | Verdict::Error => Kind::Ended,
        };
        self.journal.note(Event::new(step).request(self.id));
        let done = Input::Done(self.handle, self.cost.units(), self.verdict);
        // The reactor ends only together with this process.
        let _ = self.reactor.send(done);
    }
}

/// Counts the cost of one request.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    cost: Cost,
    prompt: Prompt,
    /// Tokens that one event holds.
    event_tokens: u32,
    began: Instant,
    events: u32,
    line: [u8; 5],
    filled: usize,
}

impl Meter {
    /// Starts counting.
    pub(crate) fn new(cost: Cost, prompt: Prompt, engine: Option<Engine>) -> Self {
        Meter {
            cost,
            prompt,
            event_tokens: engine.map_or(1, |e| e.event_tokens),
            began: Instant::now(),
            events: 0,
            line: [0; 5],
            filled: 0,
        }
    }

    /// Units so far.
    pub(crate) fn units(&self) -> u32 {
        match self.cost {
            Cost::Request => 1,
            Cost::Event => self.events.max(1),
            Cost::Token => token_cost(&self.prompt, self.events * self.event_tokens),
            Cost::Time => u32::try_from(self.began.elapsed().as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Counts lines that begin with `data:`, wherever pieces are split.
    pub(crate) fn take(&mut self, bytes: &[u8]) {
        if !matches!(self.cost, Cost::Event | Cost::Token) {
            return;
        }
        for byte in bytes {
            if *byte == b'\n' {
                self.filled = 0;
            } else if self.filled < self.line.len() {
                self.line[self.filled] = *byte;
                self.filled += 1;
                if self.filled == self.line.len() && self.line == *b"data:" {
                    self.events += 1;
                }
            }
        }
    }
}

/// What is kept of an answer for a resend.
pub(crate) struct Kept {
    pub(crate) body: Option<Vec<u8>>,
    /// Told the body when the answer has ended whole.
    pub(crate) done: Option<oneshot::Sender<Option<Vec<u8>>>>,
}

/// The body that a caller reads.
pub(crate) struct Relay {
    pub(crate) inner: Incoming,
    /// What an answer that has come whole says of the endpoint.
    pub(crate) whole: Verdict,
    pub(crate) slot: Slot,
    pub(crate) delivery: Delivery,
    pub(crate) deadline: Pin<Box<tokio::time::Sleep>>,
    pub(crate) kept: Option<Kept>,
    pub(crate) told: u32,
    /// When the last piece was passed on, until the caller wants the next one.
    pub(crate) passed: Option<Instant>,
    /// When the caller last went on reading that had left a piece unread for long.
    pub(crate) resumed: Option<Instant>,
    pub(crate) has_begun: bool,
    /// How late tasks of this process run.
    pub(crate) lateness: Lateness,
    /// The request's log line, with the status of the answer.
    pub(crate) note: Option<(Note, StatusCode)>,
    /// How the answer ended.
    pub(crate) ended: &'static str,
    pub(crate) way: Way,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some((note, status)) = &mut self.note {
            note.answered(*status, self.ended);
        }
    }
}

/// The connection that an answer comes over, and where it is kept afterwards.
pub(crate) struct Way {
    pub(crate) connection: Option<Connection>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) endpoint: Key,
    /// Time for which the endpoint keeps the connection idle.
    pub(crate) keep: Option<Duration>,
}

/// Why an answer was cut.
#[derive(Debug)]
pub(crate) enum Cut {
    /// The endpoint broke off.
    Endpoint(hyper::Error),
    /// The time was up.
    Deadline,
}

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Cut::Endpoint(error) => write!(f, "the endpoint broke off: {error}"),
            Cut::Deadline => f.write_str("the time for the answer was up"),
        }
    }
}

impl std::error::Error for Cut {}

impl Relay {
    fn count(&mut self, bytes: &Bytes) {
        if !std::mem::replace(&mut self.has_begun, true) {
            let took_ms = u32::try_from(self.slot.cost.began.elapsed().as_millis()).ok();
            let took_ms = took_ms.filter(|_| !self.lateness.is_late());
            let began = Input::FirstByte(self.slot.handle, took_ms);
            // The reactor ends only together with this process.
            let _ = self.slot.reactor.send(began);
        }
        self.slot.cost.take(bytes);
        if let Some((note, _)) = &mut self.note {
            note.piece(self.slot.cost.events);
        }
        let units = self.slot.cost.units();
        // The dispatcher reports each doubling; it need not hear of every event.
        if units >= self.told.saturating_mul(2).max(16) {
            self.told = units;
            let progress = Input::Progress(self.slot.handle, units);
            let _ = self.slot.reactor.send(progress);
        }
        if let Some(kept) = &mut self.kept {
            let fits = |body: &Vec<u8>| body.len() + bytes.len() <= KEEP_MAX;
            match &mut kept.body {
                Some(body) if fits(body) => body.extend_from_slice(bytes),
                body => *body = None,
            }
        }
    }

    /// Ends at once if there is no body: nobody would poll it.
    pub(crate) fn end_if_empty(&mut self) {
        if self.inner.is_end_stream() {
            self.end();
        }
    }

    fn poll_deadline(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.deadline.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.ended = "timeout";
        Poll::Ready(Some(Err(Cut::Deadline)))
    }

    fn end(&mut self) {
        self.slot.verdict = self.whole;
        self.ended = "whole";
        if self.whole == Verdict::Fine {
            self.delivery.answered();
        }
        if let Some(connection) = self.way.connection.take() {
            let way = &self.way;
            way.pool.put(&way.endpoint, connection, way.keep);
        }
        if let Some(Kept {
            body,
            done: Some(done),
        }) = self.kept.take()
        {
            let _ = done.send(body);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let passed = self.passed.take();
        if passed.is_some_and(|at| at.elapsed() >= UNREAD) {
            self.resumed = Some(Instant::now());
        }
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    let bytes = bytes.clone();
                    self.count(&bytes);
                }
                if self.inner.is_end_stream() {
                    self.end();
                }
                self.passed = Some(Instant::now());
                Poll::Ready(Some(Ok(frame)))
            }
            // The error makes hyper close the connection without the end of the
            // answer: what was cut must look cut.
            Poll::Ready(Some(Err(error))) => {
                if self.resumed.is_some_and(|at| at.elapsed() < UNREAD) {
                    // An endpoint cuts off an answer that is left unread.
                    self.ended = "caller-slow";
                } else {
                    self.slot.verdict = Verdict::Failed;
                    self.ended = BROKE_OFF;
                    self.delivery.broke_off();
                }
                Poll::Ready(Some(Err(Cut::Endpoint(error))))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_deadline(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
