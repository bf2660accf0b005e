//! Resumes a stream at another endpoint, inside the response that its caller reads.

use super::delivery::Delivery;
use super::listen::Frontend;
use super::plan::Plan;
use super::pool::Connection;
use super::relay::{Origin, Slot};
use super::serve::{
    record_dispatch, take_slot, wait_for_dispatch, Queued, Wanted, MAX_UNCONNECTED_TRIES,
};
use super::upstream::{self, Answer, Call, Failure};
use crate::client;
use crate::input::{Decided, Dispatch, Input, NextEvent};
use coordination::dispatcher::Handle;
use coordination::ending::Framing;
use coordination::messages::Verdict;
use coordination::origin::Key;
use coordination::resume::{
    decide, give_up_ms, silence_ms, untargeted_aim_ms, Break, Decision, Events, Mismatch, Position,
    RESUME_AIM_MS,
};
use coordination::retry::Reach;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::http::response::Parts;
use hyper::HeaderMap;
use state::id::{ServiceId, Software};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::Sleep;

/// Lateness of the timer of a silence from which on the silence is not believed: this process was
/// late or suspended itself, and the endpoint's events may wait in a socket.
const LATE_TIMER: Duration = Duration::from_millis(100);

/// A request whose answer is relayed.
pub(super) struct RelayedRequest {
    pub(super) frontend: Arc<Frontend>,
    pub(super) call: Call,
    pub(super) plan: Plan,
    pub(super) arrived_at: Instant,
    /// Software version that its caller's stream has, if the request takes one up again.
    pub(super) software: Option<Software>,
    /// Whether the request was suspected of crashing endpoints when it was sent for its first
    /// answer. Later suspicions are not considered: when an endpoint fails with several copies of a
    /// request, the first break that is reported makes all of them suspects.
    pub(super) was_suspected: bool,
}

/// Tries of a request so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tries {
    /// Retries that count against the rule's.
    pub(super) retries: u32,
    /// Tries for which no connection could be opened.
    pub(super) unconnected: u32,
    /// Endpoints that broke off or fell silent after the request was sent.
    pub(super) breaks: u32,
}

/// An event of the attempt to get the next answer, for the access log.
pub(super) enum AttemptEvent {
    /// The request is sent to this endpoint.
    Sent(Dispatch),
    /// This try failed; the text says what follows it.
    Failed(Failure, &'static str),
}

/// The answer of another endpoint, which continues a stream.
pub(super) struct Resumed {
    pub(super) body: Incoming,
    pub(super) framing: Framing,
    /// Version of the software of its endpoint.
    pub(super) software: Software,
    pub(super) slot: Slot,
    pub(super) delivery: Delivery,
    pub(super) origin: Origin,
    pub(super) tries: Tries,
}

/// Wait for the next answer; the error says why there is none.
type Waiting = Pin<Box<dyn Future<Output = Result<Resumed, &'static str>> + Send>>;

/// A wait for the next answer, with its steps so far.
struct Attempt {
    waiting: Waiting,
    notes: flume::Receiver<AttemptEvent>,
}

/// State of a stream that may be resumed.
pub(super) struct Resumption {
    subject: Arc<RelayedRequest>,
    pub(super) events: Events,
    tries: Tries,
    /// When the latest event was passed on, or the request arrived.
    last_event_at: Instant,
    /// Events that were passed on from earlier answers.
    pub(super) earlier_events: u32,
    /// Whether the end of the stream was reported to the caller's connection.
    pub(super) has_ended: bool,
    /// Completes when the endpoint has been silent for too long.
    silence: Pin<Box<Sleep>>,
    /// Since when the endpoint has been silent while the caller reads.
    silent_since: Instant,
    /// Why the stream was not resumed after the present silence.
    unresumed_silence: Option<&'static str>,
    /// The wait for the next answer, after a break.
    attempt: Option<Attempt>,
}

impl RelayedRequest {
    /// Time until the request's deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.plan.timeout.saturating_sub(self.arrived_at.elapsed())
    }

    /// Whether the answer with this head may continue at another endpoint.
    ///
    /// A length or an encoding covers the whole body, so that it cannot be put together from two
    /// answers.
    pub(super) fn may_resume(&self, head: &Parts) -> bool {
        self.frontend.context.resume
            && self.plan.resume
            && self.plan.idempotent
            && head.status.is_success()
            && is_event_stream(&head.headers)
            && !head.headers.contains_key(CONTENT_LENGTH)
    }

    /// Key and service of the stream that the answer with this head is, if its caller may take it up
    /// again at an endpoint with its version.
    pub(super) fn reported_stream(&self, head: &Parts) -> Option<(Key, ServiceId)> {
        let is_stream = head.status.is_success() && is_event_stream(&head.headers);
        (self.plan.resume && is_stream).then_some((self.plan.stream, self.plan.service))
    }

    /// Decides whether to resume the stream at a position, after these tries.
    fn decide(&self, position: &Position, tries: Tries) -> Decision {
        let broken = Break {
            position,
            breaks: tries.breaks,
            is_suspected: self.was_suspected,
            retries: tries.retries,
            retries_max: self.plan.retries,
            deadline: self.plan.arrival.deadline,
        };
        let now = self.frontend.context.clock.now();
        self.frontend
            .with_budget(self.plan.service, |budget| decide(&broken, now, budget))
    }

    /// Gap between two events after which the caller gives up the stream.
    fn give_up(&self) -> Duration {
        let plan = &self.plan;
        Duration::from_millis(give_up_ms(plan.max_gap_ms(), plan.target_ms))
    }

    /// Queues the request again after a try that cost `units`, and releases its slot.
    fn queue_again(
        &self,
        handle: Handle,
        units: u32,
        verdict: Verdict,
        software: Option<Software>,
        gives_up_in: Duration,
    ) -> (Queued, oneshot::Receiver<Decided>) {
        let (sender, reply) = oneshot::channel();
        let now = self.frontend.context.clock.now();
        let gives_up_ms = u64::try_from(gives_up_in.as_millis()).unwrap_or(u64::MAX);
        let next_event = NextEvent {
            aim: now.after(RESUME_AIM_MS),
            gives_up: now.after(gives_up_ms),
            software,
        };
        let reactor = &self.frontend.context.reactor;
        // Sending fails only at the end of this process. The last reported cost is settled.
        let _ = reactor.send(Input::Progress(handle, units));
        let _ = reactor.send(Input::Requeue(handle, verdict, Some(next_event), sender));
        let queued = Queued {
            handle: Some(handle),
            id: self.call.id,
            frontend: self.frontend.clone(),
        };
        (queued, reply)
    }
}

/// Whether the headers are those of a plain stream of server-sent events.
pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    let media_type = content_type.and_then(|v| v.split(';').next());
    media_type.is_some_and(|m| m.trim().eq_ignore_ascii_case("text/event-stream"))
        && !headers.contains_key(CONTENT_ENCODING)
}

impl Resumption {
    /// State of a stream whose first answer begins.
    pub(super) fn new(subject: RelayedRequest, tries: Tries) -> Self {
        let header = subject.frontend.context.interface.last_event_id;
        let last_id = subject.call.headers.get(header);
        let events = last_id.map_or(Events::default(), |id| Events::after(id.as_bytes()));
        let last_event_at = subject.arrived_at;
        let mut resumption = Resumption {
            subject: Arc::new(subject),
            events,
            tries,
            last_event_at,
            earlier_events: 0,
            has_ended: false,
            silence: Box::pin(tokio::time::sleep(Duration::ZERO)),
            silent_since: Instant::now(),
            unresumed_silence: None,
            attempt: None,
        };
        resumption.restart_silence();
        resumption
    }

    /// The frontend that serves the request.
    pub(super) fn frontend(&self) -> &Frontend {
        &self.subject.frontend
    }

    /// Measures the silence of the endpoint from now on.
    pub(super) fn restart_silence(&mut self) {
        self.silent_since = Instant::now();
        self.unresumed_silence = None;
        let limit = self.silence_limit();
        self.wait_for_silence(limit);
    }

    /// Silence after which the endpoint is given up.
    fn silence_limit(&self) -> Duration {
        let plan = &self.subject.plan;
        let aim_ms = (!self.events.has_event()).then(|| {
            let remaining = self.subject.remaining().as_millis();
            let remaining_ms = u64::try_from(remaining).unwrap_or(u64::MAX);
            plan.target_ms
                .unwrap_or_else(|| untargeted_aim_ms(remaining_ms))
        });
        Duration::from_millis(silence_ms(plan.max_gap_ms(), aim_ms))
    }

    /// Lets the silence be examined once it has lasted for this time.
    fn wait_for_silence(&mut self, limit: Duration) {
        let since = tokio::time::Instant::from_std(self.silent_since);
        // A target of years would overflow the clock.
        let at = since
            .checked_add(limit)
            .unwrap_or(since + self.subject.plan.timeout);
        self.silence.as_mut().reset(at);
    }

    /// Handles a silence after which the stream is not resumed, for this reason. Returns whether
    /// the stream ends.
    ///
    /// A first answer is left as it is, since it may go on. Of a stream that was resumed before,
    /// the caller has waited for two endpoints: it ends once callers give up such a silence.
    pub(super) fn ends_by_silence(&mut self, reason: &'static str) -> bool {
        if !self.events.is_resumed() {
            self.restart_silence();
            self.unresumed_silence = Some(reason);
            return false;
        }
        let limit = self.silence_limit().max(self.subject.give_up());
        if self.silent_since.elapsed() >= limit {
            return true;
        }
        self.unresumed_silence = Some(reason);
        self.wait_for_silence(limit);
        false
    }

    /// Takes a piece of the present answer. Returns the bytes to pass on.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<Vec<u8>, Mismatch> {
        let events = self.events.count();
        let whole = self.events.push(piece)?;
        if self.events.count() > events {
            self.last_event_at = Instant::now();
        }
        Ok(whole)
    }

    /// Why the stream has not continued since its endpoint broke off or fell silent, if it is to
    /// end now by its deadline.
    pub(super) fn reason_at_deadline(&self) -> Option<&'static str> {
        match self.attempt {
            Some(_) => Some("deadline"),
            None => self.unresumed_silence,
        }
    }

    /// Whether the endpoint has been silent for too long.
    pub(super) fn is_silent(&mut self, context: &mut Context<'_>, is_late: bool) -> bool {
        while self.silence.as_mut().poll(context).is_ready() {
            if !is_late && self.silence.deadline().elapsed() < LATE_TIMER {
                return true;
            }
            self.restart_silence();
        }
        false
    }

    /// Decides what follows a break of the present answer. If the stream is resumed, the wait for
    /// the next answer begins, which must come from an endpoint with the version that `began` it.
    pub(super) fn handle_break(
        &mut self,
        slot: &mut Slot,
        connection: &mut Option<Connection>,
        began: Option<Software>,
    ) -> Decision {
        let mut tries = self.tries;
        tries.breaks += 1;
        let decision = self.subject.decide(self.events.position(), tries);
        if decision != Decision::Resume {
            return decision;
        }
        tries.retries += 1;
        self.tries = tries;
        let last_event_id = match self.events.position() {
            // Ids that do not fit into a header are no position.
            Position::After(id) => HeaderValue::from_bytes(id).ok(),
            _ => None,
        };
        self.events.begin_next_answer();
        self.earlier_events += slot.meter.events();
        // The dispatcher releases the slot when it queues the request again.
        slot.is_armed = false;
        // A target of years would overflow the clock.
        let gives_up_at = (self.last_event_at)
            .checked_add(self.subject.give_up())
            .unwrap_or_else(|| self.last_event_at + self.subject.plan.timeout);
        let gives_up_in = gives_up_at.saturating_duration_since(Instant::now());
        let (units, verdict) = (slot.meter.units(), slot.verdict);
        let software = began.or(self.subject.software);
        let queued = (self.subject).queue_again(slot.handle, units, verdict, software, gives_up_in);
        let (notes, receiver) = flume::unbounded();
        let next = Next {
            subject: self.subject.clone(),
            handle: slot.handle,
            gives_up_at,
            position: self.events.position().clone(),
            last_event_id,
            software,
            tries,
            notes,
        };
        self.attempt = Some(Attempt {
            waiting: Box::pin(next.answer(connection.take(), queued)),
            notes: receiver,
        });
        decision
    }

    /// Continues the wait for the next answer, if there is one; `log` receives its steps.
    pub(super) fn poll_attempt<F>(
        &mut self,
        context: &mut Context<'_>,
        log: F,
    ) -> Poll<Option<Result<Resumed, &'static str>>>
    where
        F: FnMut(AttemptEvent),
    {
        let Some(attempt) = &mut self.attempt else {
            return Poll::Ready(None);
        };
        let polled = attempt.waiting.as_mut().poll(context);
        attempt.notes.try_iter().for_each(log);
        polled.map(|next| {
            self.attempt = None;
            if let Ok(resumed) = &next {
                self.tries = resumed.tries;
                self.restart_silence();
            }
            Some(next)
        })
    }
}

/// The way from a break to the next answer.
struct Next {
    subject: Arc<RelayedRequest>,
    handle: Handle,
    /// When the caller gives up the stream.
    gives_up_at: Instant,
    position: Position,
    last_event_id: Option<HeaderValue>,
    /// Software version that the endpoint must have.
    software: Option<Software>,
    tries: Tries,
    notes: flume::Sender<AttemptEvent>,
}

impl Next {
    /// Waits for a slot and sends the request, until an endpoint continues the stream.
    async fn answer(
        mut self,
        broken: Option<Connection>,
        mut queued: (Queued, oneshot::Receiver<Decided>),
    ) -> Result<Resumed, &'static str> {
        if let Some(connection) = broken {
            // The endpoint must stop its work on the request before another one begins.
            connection.close().await;
        }
        let subject = self.subject.clone();
        let (frontend, call, plan) = (&subject.frontend, &subject.call, &subject.plan);
        loop {
            let (waiting, reply) = queued;
            let decided = reply.await.map_err(|_| "stopping")?;
            let retries = self.tries.retries;
            let wanted = Wanted {
                customer: plan.customer,
                software: self.software,
                retries,
                idempotent: plan.idempotent,
            };
            let dispatch = wait_for_dispatch(frontend, call, waiting, decided, wanted)
                .await
                .map_err(|refusal| refusal.code)?;
            record_dispatch(frontend, call, plan, &dispatch, retries, subject.arrived_at);
            let _ = self.notes.send(AttemptEvent::Sent(dispatch.clone()));
            let delivery = Delivery::new(frontend, call, plan.customer, &dispatch);
            let mut slot = take_slot(frontend, self.handle, call, plan);
            let remaining = subject.remaining();
            let sent = tokio::select! {
                biased;
                sent = self.send(&dispatch, remaining) => sent,
                refusal = frontend.until_quarantined(call, plan.customer) => {
                    return Err(refusal.code);
                }
            };
            let failure = match sent {
                Some(Ok(answer)) => return self.accept(answer, slot, delivery, &dispatch),
                Some(Err(failure)) => failure,
                None => {
                    // The endpoint is blamed only if it had at least half of the time; the rest
                    // may have passed with the earlier answer or in the queue.
                    if remaining >= plan.timeout / 2 {
                        slot.verdict = Verdict::Failed;
                    }
                    return Err("deadline");
                }
            };
            slot.verdict = failure.verdict;
            if failure.reach == Reach::Nothing {
                slot.meter.clear();
            }
            if failure.broke_off {
                self.tries.breaks += 1;
                delivery.report_break();
            }
            if failure.unconnected && self.tries.unconnected < MAX_UNCONNECTED_TRIES {
                self.tries.unconnected += 1;
                let _ = self.notes.send(AttemptEvent::Failed(failure, "elsewhere"));
            } else {
                let decision = subject.decide(&self.position, self.tries);
                let _ = self
                    .notes
                    .send(AttemptEvent::Failed(failure, decision.as_str()));
                if let Decision::End(reason) = decision {
                    return Err(reason);
                }
                self.tries.retries += 1;
            }
            slot.is_armed = false;
            let (units, verdict) = (slot.meter.units(), slot.verdict);
            let gives_up_in = self.gives_up_at.saturating_duration_since(Instant::now());
            queued = subject.queue_again(self.handle, units, verdict, self.software, gives_up_in);
        }
    }

    /// Sends the request to an endpoint; `None` if it has not answered within `remaining`.
    async fn send(
        &self,
        dispatch: &Dispatch,
        remaining: Duration,
    ) -> Option<Result<Answer, Failure>> {
        let frontend = &self.subject.frontend;
        let options = upstream::Options {
            interface: &frontend.context.interface,
            pool: &frontend.pool,
            at_most_once: false,
            remaining,
            last_event_id: self.last_event_id.as_ref(),
        };
        let sending = upstream::send(&self.subject.call, dispatch, options);
        let sent = tokio::time::timeout(remaining, sending).await.ok()?;
        let backoff = match &sent {
            Ok(answer) => answer.backoff,
            Err(failure) => failure.backoff,
        };
        if let Some(backoff) = backoff {
            // Sent before the request is queued again, so that it does not return to this endpoint.
            let reactor = &frontend.context.reactor;
            let _ = reactor.send(Input::Backoff(self.handle, backoff));
        }
        Some(sent)
    }

    /// Takes an answer that can continue the stream, by its head.
    fn accept(
        &self,
        answer: Answer,
        mut slot: Slot,
        delivery: Delivery,
        dispatch: &Dispatch,
    ) -> Result<Resumed, &'static str> {
        slot.meter.set_speed(answer.speed);
        let client::Response {
            head,
            body,
            framing,
        } = answer.response;
        if !head.status.is_success() || !is_event_stream(&head.headers) {
            if head.status.is_server_error() {
                slot.verdict = Verdict::Error;
            }
            return Err("no-stream");
        }
        Ok(Resumed {
            framing,
            software: dispatch.software,
            body,
            slot,
            delivery,
            origin: Origin {
                connection: Some(answer.connection),
                pool: self.subject.frontend.pool.clone(),
                endpoint: (dispatch.endpoint, dispatch.address),
                keep_alive: upstream::keep_alive_timeout(&head.headers),
            },
            tries: self.tries,
        })
    }
}
