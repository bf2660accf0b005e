//! Relays an answer's body to the caller, and meters its cost.

use super::access_log::{Entry, BROKE_OFF, CALLER_GONE};
use super::delivery::Delivery;
use super::plan::token_cost;
use super::pool::{Connection, Key, Pool};
use super::resume::{AttemptEvent, Resumption};
use super::upstream::Failure;
use crate::input::Input;
use crate::journal::Journal;
use crate::monitor::Lateness;
use bytes::Bytes;
use coordination::attribution;
use coordination::dispatcher::Handle;
use coordination::ending::{may_be_whole, Boundary, Ending, Framing};
use coordination::messages::{Objective, Verdict};
use coordination::origin;
use coordination::pause;
use coordination::prompt::Prompt;
use coordination::resume::Decision;
use coordination::retry::Reach;
use errors::Error;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::StatusCode;
use prometheus::IntCounter;
use state::config::{Cost, Engine};
use state::event::{Event, Kind};
use state::id::{RequestId, ServiceId, Software};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest answer that is stored for resends of a request with an idempotency key.
pub(crate) const MAX_REPLAY_BYTES: usize = 16 * 1024;
/// Pause of a caller's reading after which an endpoint may break off the answer because of it. An
/// answer that breaks off within this time after such a pause is attributed to the caller.
const SLOW_READ_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a caller leaves a piece unread, after which the pause that follows is attributed
/// to the caller: a piece is usually written within a millisecond, and an engine's events come
/// every 20 ms or more.
const UNREAD_PIECE: Duration = Duration::from_millis(20);

/// Time after which the origin of a stream that is still in progress is reported again.
const REPORT_AGAIN: Duration = Duration::from_millis(origin::REPORT_AGAIN_MS);

/// Logged end of an answer whose length or last chunk marks it.
const MARKED: &str = "marked";

/// How long an endpoint has been writing an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Answering {
    /// Time so far, without the rest of long pauses.
    answered: Duration,
    /// When the latest piece was read.
    last_piece_at: Option<Instant>,
    /// Whether the survival was reported.
    is_reported: bool,
}

/// A dispatched request, which holds a slot of its endpoint. The slot is released when this value
/// is dropped.
pub(crate) struct Slot {
    /// Handle of the request in the dispatcher.
    pub(crate) handle: Handle,
    pub(crate) id: RequestId,
    pub(crate) meter: Meter,
    /// What the request's end says of the endpoint's health.
    pub(crate) verdict: Verdict,
    /// Whether dropping this value releases the slot.
    pub(crate) is_armed: bool,
    pub(crate) reactor: flume::Sender<Input>,
    pub(crate) journal: Journal,
}

impl Slot {
    /// Drops this value without releasing the slot.
    pub(crate) fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let kind = match self.verdict {
            Verdict::Cancelled => Kind::CallerGone,
            Verdict::Fine | Verdict::Failed | Verdict::Error => Kind::Ended,
        };
        self.journal.record(Event::new(kind).request(self.id));
        let done = Input::Done(self.handle, self.meter.units(), self.verdict);
        // Sending fails only at the end of this process.
        let _ = self.reactor.send(done);
    }
}

/// Meters the cost of one request while its answer is relayed.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    /// Unit in which the service counts cost.
    cost: Cost,
    prompt: Prompt,
    /// Tokens that one event of the answer holds.
    event_tokens: u32,
    /// Whether events are counted for the pauses between them, whatever the unit of cost.
    has_objective: bool,
    dispatched_at: Instant,
    /// Speed that the endpoint stated in the head of the answer, in percent, and when that arrived.
    /// Taken when the answer begins.
    speed: Option<(u16, Instant)>,
    /// Events of the answer so far.
    events: u32,
    /// First bytes of the current line, as many as `data:` has.
    line_start: [u8; 5],
    /// Number of bytes in `line_start`.
    line_length: usize,
    /// Whether nothing was sent to the endpoint.
    is_unsent: bool,
}

impl Meter {
    /// Starts metering a request that is dispatched now.
    pub(crate) fn new(cost: Cost, prompt: Prompt, engine: Option<Engine>) -> Self {
        Meter {
            cost,
            prompt,
            event_tokens: engine.map_or(1, |e| e.event_tokens),
            has_objective: false,
            dispatched_at: Instant::now(),
            speed: None,
            events: 0,
            line_start: [0; 5],
            line_length: 0,
            is_unsent: false,
        }
    }

    /// Counts events also for the objective of a stream.
    pub(crate) fn for_stream(self, objective: Option<Objective>) -> Self {
        Meter {
            has_objective: objective.is_some(),
            ..self
        }
    }

    /// Keeps the speed that the endpoint has stated until the answer begins, if its rule has an
    /// objective.
    pub(crate) fn set_speed(&mut self, speed: Option<(u16, Instant)>) {
        self.speed = speed.filter(|_| self.has_objective);
    }

    /// Cost so far, in units of the service.
    pub(crate) fn units(&self) -> u32 {
        if self.is_unsent {
            return 0;
        }
        match self.cost {
            Cost::Request => 1,
            Cost::Event => self.events.max(1),
            Cost::Token => token_cost(&self.prompt, self.events * self.event_tokens),
            Cost::Time => {
                u32::try_from(self.dispatched_at.elapsed().as_millis()).unwrap_or(u32::MAX)
            }
        }
    }

    /// Meters nothing, since nothing was sent to the endpoint.
    pub(crate) fn clear(&mut self) {
        self.is_unsent = true;
    }

    /// Events so far.
    pub(crate) fn events(&self) -> u32 {
        self.events
    }

    /// Counts the events in a piece of the answer: the lines that begin with `data:`, wherever the
    /// answer is split into pieces.
    pub(crate) fn count_events(&mut self, bytes: &[u8]) {
        if !matches!(self.cost, Cost::Event | Cost::Token) && !self.has_objective {
            return;
        }
        for byte in bytes {
            if *byte == b'\n' {
                self.line_length = 0;
            } else if self.line_length < self.line_start.len() {
                self.line_start[self.line_length] = *byte;
                self.line_length += 1;
                if self.line_length == self.line_start.len() && self.line_start == *b"data:" {
                    self.events += 1;
                }
            }
        }
    }
}

/// Copy of an answer, to be stored for resends of its request.
pub(crate) struct Replay {
    /// Body so far; `None` once it is longer than [`MAX_REPLAY_BYTES`].
    pub(crate) body: Option<Vec<u8>>,
    /// Receives the body when the answer is complete.
    pub(crate) done: Option<oneshot::Sender<Option<Vec<u8>>>>,
}

/// Body of the response that a caller reads, relayed from an endpoint.
pub(crate) struct Relay {
    /// Body of the endpoint's answer.
    pub(crate) incoming: Incoming,
    /// How the end of that answer is marked.
    pub(crate) framing: Framing,
    /// Position in that answer, if it is a stream of events.
    pub(crate) boundary: Option<Boundary>,
    /// Version of the software of the endpoint that gives that answer.
    pub(crate) software: Software,
    /// Version that brought the first event of the stream.
    pub(crate) began: Option<Software>,
    /// Key and service of the stream, if its origin is reported so that its caller may take it up
    /// again.
    pub(crate) stream: Option<(origin::Key, ServiceId)>,
    /// How long the endpoint has answered, until that is reported as the survival of the parts of
    /// the prompt.
    pub(crate) survival: Answering,
    /// When its origin was last reported.
    pub(crate) reported_at: Option<Instant>,
    /// How that answer has ended, for the access log.
    pub(crate) ending: Option<&'static str>,
    /// Verdict on the endpoint if the answer is complete.
    pub(crate) verdict_if_complete: Verdict,
    pub(crate) slot: Slot,
    pub(crate) delivery: Delivery,
    /// Completes at the deadline of the answer.
    pub(crate) deadline: Pin<Box<tokio::time::Sleep>>,
    /// Copy for resends, if the request claimed an idempotency key.
    pub(crate) replay: Option<Replay>,
    /// Cost that was last reported to the dispatcher.
    pub(crate) reported_units: u32,
    /// When the latest piece was handed to the caller's connection; `None` once the connection
    /// has asked for the next piece.
    pub(crate) last_piece_at: Option<Instant>,
    /// When the caller last resumed reading after a pause of [`SLOW_READ_PAUSE`].
    pub(crate) caller_read_again_at: Option<Instant>,
    /// Whether the first piece has arrived.
    pub(crate) has_begun: bool,
    /// Measures the pauses between events, if the rule has a bound on them, and counts those over
    /// it.
    pub(crate) pauses: Option<(pause::Meter, IntCounter)>,
    /// Whether the caller has read slowly since the latest event.
    pub(crate) is_caller_slow: bool,
    /// How late tasks of this process run. Latencies measured while tasks run late are discarded.
    pub(crate) lateness: Lateness,
    /// Access log entry of the request, with the status of the answer.
    pub(crate) entry: Option<(Entry, StatusCode)>,
    /// How the answer ended, for the access log.
    pub(crate) end_reason: &'static str,
    /// State of a stream that may be resumed; `None` for all other answers, whose pieces are passed
    /// on as they come.
    pub(super) resumption: Option<Box<Resumption>>,
    pub(crate) origin: Origin,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some((entry, status)) = &mut self.entry {
            let unfinished = self.boundary.as_ref().map(Boundary::unfinished);
            entry.record_ending(self.framing, self.ending, unfinished);
            entry.record_began(self.began);
            entry.log_answer(*status, self.end_reason);
        }
    }
}

/// The connection that an answer arrives on, and the pool that it returns to afterwards.
pub(crate) struct Origin {
    pub(crate) connection: Option<Connection>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) endpoint: Key,
    /// Time for which the endpoint announced that it keeps the connection open.
    pub(crate) keep_alive: Option<Duration>,
}

/// Why an answer was broken off before its end.
#[derive(Debug)]
pub(crate) enum Abort {
    /// The connection to the endpoint failed.
    Endpoint(hyper::Error),
    /// The stream ended without an error, but inside an event or before the first one.
    Unfinished(Ending),
    /// The connection ended without an error, before the request was written to it.
    Unwritten,
    /// The time for the answer was over.
    Deadline,
    /// The stream broke and could not be resumed, for this reason.
    Unresumed(&'static str),
}

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Abort::Endpoint(error) => write!(f, "the endpoint broke off its answer: {error}"),
            Abort::Unfinished(_) => {
                f.write_str("the endpoint ended its stream inside an event or without one")
            }
            Abort::Unwritten => {
                f.write_str("the endpoint ended the connection before it had the whole request")
            }
            Abort::Unresumed(reason) => write!(f, "the stream was not resumed: {reason}"),
            Abort::Deadline => f.write_str("the answer was not complete before its deadline"),
        }
    }
}

impl std::error::Error for Abort {}

impl Relay {
    /// Meters, times and copies a piece of the answer.
    fn count(&mut self, bytes: &Bytes) {
        if !std::mem::replace(&mut self.has_begun, true) {
            let took_ms = u32::try_from(self.slot.meter.dispatched_at.elapsed().as_millis()).ok();
            let took_ms = took_ms.filter(|_| !self.lateness.is_late());
            if let Some((percent, stated_at)) = self.slot.meter.speed.take() {
                let age_ms = u16::try_from(stated_at.elapsed().as_millis()).unwrap_or(u16::MAX);
                let speed = Input::Speed(self.slot.handle, percent, age_ms);
                let _ = self.slot.reactor.send(speed);
            }
            let first_byte = Input::FirstByte(self.slot.handle, took_ms);
            // Sending fails only at the end of this process.
            let _ = self.slot.reactor.send(first_byte);
        }
        let events = self.slot.meter.events;
        self.slot.meter.count_events(bytes);
        if self.slot.meter.events > events {
            self.measure_pause();
        }
        if let Some((entry, _)) = &mut self.entry {
            let earlier = self.resumption.as_ref().map_or(0, |r| r.earlier_events);
            entry.record_piece(earlier + self.slot.meter.events);
        }
        let units = self.slot.meter.units();
        // The dispatcher reports each doubling of the cost, so it is not notified of every event.
        if units >= self.reported_units.saturating_mul(2).max(16) {
            self.reported_units = units;
            let progress = Input::Progress(self.slot.handle, units);
            let _ = self.slot.reactor.send(progress);
        }
        if let Some(replay) = &mut self.replay {
            let fits = |body: &Vec<u8>| body.len() + bytes.len() <= MAX_REPLAY_BYTES;
            match &mut replay.body {
                Some(body) if fits(body) => body.extend_from_slice(bytes),
                body => *body = None,
            }
        }
    }

    /// Measures the pause before events that have just arrived.
    fn measure_pause(&mut self) {
        let is_caller_slow = std::mem::take(&mut self.is_caller_slow);
        let Some((pauses, over_bound)) = &mut self.pauses else {
            return;
        };
        let since_dispatch = self.slot.meter.dispatched_at.elapsed();
        let now_ms = u64::try_from(since_dispatch.as_millis()).unwrap_or(u64::MAX);
        let is_reliable = !is_caller_slow && !self.lateness.is_late();
        if let Some(observed) = pauses.record(now_ms, is_reliable) {
            over_bound.inc_by(u64::from(observed.over_bound));
            // Sending fails only at the end of this process.
            let _ = self
                .slot
                .reactor
                .send(Input::Pauses(self.slot.handle, observed));
        }
    }

    /// Reports the version that brought the first event, before that event is passed on and again
    /// while the stream lasts.
    fn report_origin(&mut self) {
        if !self.boundary.as_ref().is_some_and(Boundary::has_event) {
            return;
        }
        let software = *self.began.get_or_insert(self.software);
        let Some((key, service)) = self.stream else {
            return;
        };
        let is_due = |at: Instant| at.elapsed() >= REPORT_AGAIN;
        if self.reported_at.is_none_or(is_due) {
            self.reported_at = Some(Instant::now());
            let origin = origin::Origin { service, software };
            // Sending fails only at the end of this process.
            let _ = self.slot.reactor.send(Input::Began(key, origin));
        }
    }

    /// Reports that the endpoint survives the parts of the prompt, once it has answered for long
    /// enough. Events count, not comments that it sends while it reads the prompt.
    fn report_survival(&mut self) {
        if self.survival.is_reported || !self.boundary.as_ref().is_some_and(Boundary::has_event) {
            return;
        }
        let now = Instant::now();
        if let Some(last) = self.survival.last_piece_at.replace(now) {
            let pause = now.duration_since(last);
            let pause_max = Duration::from_millis(attribution::PAUSE_MAX_MS);
            self.survival.answered += pause.min(pause_max);
        }
        if self.survival.answered >= Duration::from_millis(attribution::ANSWER_MS) {
            self.survival.is_reported = true;
            self.delivery.report_survival();
        }
    }

    /// Completes the answer at once if it has no body, since an empty body is never polled.
    pub(crate) fn end_if_empty(&mut self) {
        if self.incoming.is_end_stream() {
            self.end();
        }
    }

    /// Breaks the answer off once its deadline has passed.
    fn poll_deadline(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        if self.deadline.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        self.end_reason = "timeout";
        let reason = self.resumption.as_ref();
        if let Some(reason) = reason.and_then(|r| r.reason_at_deadline()) {
            self.give_up(reason);
        }
        Poll::Ready(Some(Err(Abort::Deadline)))
    }

    /// Continues the wait for the next answer after a break, if there is one.
    fn poll_next_answer(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Abort>> {
        let Some(resumption) = &mut self.resumption else {
            return Poll::Ready(Ok(()));
        };
        let entry = &mut self.entry;
        let log = |note: AttemptEvent| {
            let Some((entry, _)) = entry else { return };
            match note {
                AttemptEvent::Sent(dispatch) => entry.log_retry(&dispatch),
                AttemptEvent::Failed(failure, next) => entry.log_failure(&failure, next),
            }
        };
        let next = match resumption.poll_attempt(context, log) {
            Poll::Ready(None) => return Poll::Ready(Ok(())),
            Poll::Ready(Some(next)) => next,
            Poll::Pending => return Poll::Pending,
        };
        let resumed = match next {
            Ok(resumed) => resumed,
            Err(reason) => return Poll::Ready(Err(self.give_up(reason))),
        };
        resumption.frontend().context.metrics.resumed_streams.inc();
        self.incoming = resumed.body;
        self.framing = resumed.framing;
        self.software = resumed.software;
        self.boundary = self.boundary.is_some().then(Boundary::default);
        self.survival = Answering::default();
        self.ending = None;
        // The slot of the broken try was released when the request was queued again.
        self.slot = resumed.slot;
        self.delivery = resumed.delivery;
        self.origin = resumed.origin;
        self.has_begun = false;
        if let Some((pauses, _)) = &mut self.pauses {
            pauses.restart();
        }
        self.reported_units = 0;
        self.end_reason = CALLER_GONE;
        if let Some((entry, _)) = &mut self.entry {
            entry.record_resumed();
        }
        Poll::Ready(Ok(()))
    }

    /// Holds back the unfinished event at the end of a piece; `None` if there is no whole one.
    fn hold_back(&mut self, frame: Frame<Bytes>) -> Result<Option<Frame<Bytes>>, Abort> {
        let Some(resumption) = &mut self.resumption else {
            return Ok(Some(frame));
        };
        let Some(bytes) = frame.data_ref() else {
            // Trailers, which are not forwarded without their hop-by-hop header.
            return Ok(None);
        };
        match resumption.push(bytes) {
            Ok(whole) => {
                if resumption.events.held() > 0 {
                    resumption.frontend().context.metrics.held_events.inc();
                }
                if whole.is_empty() {
                    resumption.restart_silence();
                    return Ok(None);
                }
                Ok(Some(Frame::data(Bytes::from(whole))))
            }
            Err(mismatch) => {
                self.slot.verdict = Verdict::Error;
                self.end_reason = "not-continued";
                Err(self.give_up(mismatch.as_str()))
            }
        }
    }

    /// Whether the answer that ends here is complete; the error says why it is not.
    fn check_end(&self) -> Result<(), Abort> {
        let ending = self.boundary.as_ref().map(|b| b.judge(self.framing));
        match ending {
            None | Some(Ending::Complete) if self.may_be_whole() => Ok(()),
            None | Some(Ending::Complete) => Err(Abort::Unwritten),
            Some(ending) => Err(Abort::Unfinished(ending)),
        }
    }

    /// Whether the answer that ends here may be whole, as far as the request was written.
    fn may_be_whole(&self) -> bool {
        let connection = self.origin.connection.as_ref();
        let is_written = connection.is_none_or(Connection::is_written);
        let status = self.entry.as_ref().map(|(_, status)| *status);
        let is_accepted = status.is_none_or(|status| status.is_success());
        may_be_whole(self.framing, is_accepted, is_written)
    }

    /// Drops the unfinished event from the last piece of a stream of known length, whose caller
    /// would otherwise receive as many bytes as it expects.
    fn drop_unfinished(&self, frame: Frame<Bytes>) -> Frame<Bytes> {
        let Some(boundary) = self.boundary.as_ref().filter(|b| b.is_inside_event()) else {
            return frame;
        };
        frame.map_data(|mut bytes| {
            bytes.truncate(bytes.len().saturating_sub(boundary.unfinished()));
            bytes
        })
    }

    /// Handles an answer that broke off. Returns the error if the stream is not resumed.
    fn handle_break(&mut self, error: Abort) -> Option<Abort> {
        // An endpoint that marks the end of its answer, or need not have ended, has not crashed.
        let has_crashed = !matches!(
            error,
            Abort::Unfinished(Ending::Truncated) | Abort::Unwritten
        );
        if self
            .caller_read_again_at
            .is_some_and(|at| at.elapsed() < SLOW_READ_PAUSE)
        {
            // The endpoint broke off since its answer was not read for too long.
            self.end_reason = "caller-slow";
            if self.resumption.is_some() {
                self.give_up("caller-slow");
            }
            return Some(error);
        }
        (self.slot.verdict, self.end_reason) = match has_crashed {
            true => (Verdict::Failed, BROKE_OFF),
            false => (Verdict::Error, "unfinished"),
        };
        let Some(resumption) = &mut self.resumption else {
            if has_crashed {
                self.delivery.report_break();
            }
            return Some(error);
        };
        let decision =
            resumption.handle_break(&mut self.slot, &mut self.origin.connection, self.began);
        if has_crashed {
            self.delivery.report_break();
        }
        self.log_break(&error, has_crashed, decision.as_str());
        match decision {
            Decision::Resume => None,
            Decision::End(reason) => {
                self.give_up(reason);
                Some(error)
            }
        }
    }

    /// Handles a silence of the endpoint. Returns whether the stream is resumed at another one;
    /// the error ends the stream.
    fn handle_silence(&mut self, context: &mut Context<'_>) -> Result<bool, Abort> {
        let Some(resumption) = &mut self.resumption else {
            return Ok(false);
        };
        while resumption.is_silent(context, self.lateness.is_late()) {
            self.slot.verdict = Verdict::Failed;
            let decision =
                resumption.handle_break(&mut self.slot, &mut self.origin.connection, self.began);
            match decision {
                Decision::Resume => {}
                Decision::End(reason) if resumption.ends_by_silence(reason) => {}
                Decision::End(_) => {
                    self.slot.verdict = Verdict::Cancelled;
                    continue;
                }
            }
            self.end_reason = "endpoint-silent";
            self.log_break(&"it sent nothing for too long", false, decision.as_str());
            return match decision {
                Decision::Resume => Ok(true),
                Decision::End(reason) => Err(self.give_up(reason)),
            };
        }
        Ok(false)
    }

    /// Logs the break of an answer that could be resumed.
    fn log_break(&mut self, reason: &dyn std::fmt::Display, broke_off: bool, next: &'static str) {
        let Some((entry, _)) = &mut self.entry else {
            return;
        };
        let error = Error::Peer {
            step: "relay an answer",
            peer: "(endpoint)".to_owned(),
            reason: reason.to_string(),
        };
        let failure = Failure {
            broke_off,
            ..Failure::new(Reach::Answering, error)
        };
        entry.log_failure(&failure, next);
    }

    /// Counts and logs that the stream is not resumed.
    fn give_up(&mut self, reason: &'static str) -> Abort {
        if let Some(resumption) = &self.resumption {
            let metrics = &resumption.frontend().context.metrics;
            metrics.unresumed_streams.with_label_values(&[reason]).inc();
        }
        if let Some((entry, _)) = &mut self.entry {
            entry.record_unresumed(reason);
        }
        Abort::Unresumed(reason)
    }

    /// Handles the end of the body. Returns the bytes that were held back, if there are any.
    fn end_whole(&mut self) -> Option<Frame<Bytes>> {
        let rest = match &mut self.resumption {
            Some(resumption) => {
                if std::mem::replace(&mut resumption.has_ended, true) {
                    return None;
                }
                Bytes::from(resumption.events.take_held())
            }
            None => Bytes::new(),
        };
        if !rest.is_empty() {
            self.count(&rest);
        }
        self.end();
        (!rest.is_empty()).then(|| Frame::data(rest))
    }

    /// Handles the end of a complete answer: the connection returns to the pool, and the copy for
    /// resends is delivered.
    fn end(&mut self) {
        self.slot.verdict = self.verdict_if_complete;
        self.end_reason = "whole";
        let ending = *self.ending.get_or_insert(MARKED);
        if self.verdict_if_complete == Verdict::Fine {
            // The end of the connection alone may be that of the endpoint.
            if ending == MARKED && !std::mem::replace(&mut self.survival.is_reported, true) {
                self.delivery.report_survival();
            }
            self.delivery.report_success();
        }
        if let Some(connection) = self.origin.connection.take() {
            let origin = &self.origin;
            origin
                .pool
                .put(&origin.endpoint, connection, origin.keep_alive);
        }
        if let Some(Replay {
            body,
            done: Some(done),
        }) = self.replay.take()
        {
            let _ = done.send(body);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        let this = self.get_mut();
        let last_piece_at = this.last_piece_at.take();
        if last_piece_at.is_some_and(|at| at.elapsed() >= SLOW_READ_PAUSE) {
            this.caller_read_again_at = Some(Instant::now());
        }
        this.is_caller_slow |= last_piece_at.is_some_and(|at| at.elapsed() >= UNREAD_PIECE);
        if let (Some(_), Some(resumption)) = (last_piece_at, &mut this.resumption) {
            // Nothing was read from the endpoint while the caller did not read.
            resumption.restart_silence();
        }
        loop {
            match this.poll_next_answer(context) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(abort)) => return Poll::Ready(Some(Err(abort))),
                Poll::Pending => return this.poll_deadline(context),
            }
            match Pin::new(&mut this.incoming).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let (Some(boundary), Some(bytes)) = (&mut this.boundary, frame.data_ref()) {
                        boundary.push(bytes);
                    }
                    this.report_origin();
                    this.report_survival();
                    let frame = match this.hold_back(frame) {
                        Ok(Some(frame)) => frame,
                        Ok(None) => continue,
                        Err(abort) => return Poll::Ready(Some(Err(abort))),
                    };
                    let frame = match this.incoming.is_end_stream() {
                        true => this.drop_unfinished(frame),
                        false => frame,
                    };
                    if let Some(bytes) = frame.data_ref() {
                        let bytes = bytes.clone();
                        this.count(&bytes);
                    }
                    if this.is_end_stream() {
                        this.end();
                    }
                    this.last_piece_at = Some(Instant::now());
                    return Poll::Ready(Some(Ok(frame)));
                }
                // The error makes hyper close the connection without the end of the answer, so
                // that the caller can see that the answer is incomplete.
                Poll::Ready(Some(Err(error))) => {
                    this.ending = Some("failed");
                    if let Some(abort) = this.handle_break(Abort::Endpoint(error)) {
                        return Poll::Ready(Some(Err(abort)));
                    }
                }
                Poll::Ready(None) => {
                    this.ending = Some(match this.framing {
                        Framing::Length | Framing::Chunked => MARKED,
                        Framing::Close => "closed",
                    });
                    if let Err(abort) = this.check_end() {
                        match this.handle_break(abort) {
                            Some(abort) => return Poll::Ready(Some(Err(abort))),
                            None => continue,
                        }
                    }
                    // A clean end would make a part of the stream look complete.
                    let is_unconfirmed = |r: &Resumption| !r.has_ended && r.events.is_unconfirmed();
                    if this.resumption.as_deref().is_some_and(is_unconfirmed) {
                        return Poll::Ready(Some(Err(this.give_up("empty"))));
                    }
                    return Poll::Ready(this.end_whole().map(Ok));
                }
                Poll::Pending => match this.handle_silence(context) {
                    Ok(true) => {}
                    Ok(false) => return this.poll_deadline(context),
                    Err(abort) => return Poll::Ready(Some(Err(abort))),
                },
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.resumption {
            Some(resumption) => resumption.has_ended,
            None => self.incoming.is_end_stream() && self.check_end().is_ok(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.resumption {
            Some(_) => SizeHint::default(),
            None => self.incoming.size_hint(),
        }
    }
}
