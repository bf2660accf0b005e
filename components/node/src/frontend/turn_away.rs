//! Refuses connections beyond what the router can serve, at a fraction of the cost of a served
//! request.
//!
//! The head of the request is read without the state of a served connection, and the response is
//! built from parts that are the same each time. Most requests have arrived by the time their
//! connection is accepted; such a connection is refused without a task of its own.

use super::access_log::Entry;
use super::admit::{busy, spread_retry_after, stopping, FAST_RETRY_AFTER};
use super::forward::FORWARDED;
use super::listen::Frontend;
use super::refusal::{retry_after_text, Refusal, RETRY_AFTER};
use crate::interface::{Interface, REQUEST_ID};
use crate::metric::Metrics;
use crate::work;
use coordination::shutdown::Phase;
use hyper::header::HeaderValue;
use prometheus::IntCounter;
use state::event::{Event, Kind};
use state::id::RequestId;
use std::io::{ErrorKind, Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinSet;

/// Bytes that one call reads at most. The heads of most requests are shorter.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of a head that are read before the request is refused in any case.
const HEAD_MAX_BYTES: usize = 16 * 1024;
/// Most reads of one head. A caller that sends byte by byte would otherwise cost a wake-up for
/// each of them.
const HEAD_READS_MAX: u32 = 32;
/// Longest time for a head to arrive: callers allow a second for a new connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of a refused request's body that are read. A caller whose body is longer may lose
/// the response.
const DISCARD_MAX_BYTES: usize = 256 * 1024;
/// Longest time to wait until a caller that has its response closes the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most headers of a head that is understood. The end of the body of any other is not known, and
/// the connection is read until its caller closes it.
const HEADERS_MAX: usize = 64;
/// Longest ID of a caller that is used. The response must fit into the buffer of the socket.
const REQUEST_ID_MAX_BYTES: usize = 256;

/// Response to connections that are refused, except for the values that differ each time.
pub(super) struct Template {
    /// Status line and the headers that are always the same.
    head: String,
    /// Body before and after the ID of the request.
    body: (String, String),
    /// Counter of requests by outcome and status.
    requests: IntCounter,
    /// Counter of requests by service, rule, outcome and reason.
    ends: IntCounter,
}

impl Template {
    /// Template of a router that refuses requests as busy.
    pub(super) fn busy(interface: &Interface, metrics: &Metrics) -> Self {
        Template::new(&busy(Duration::ZERO), interface, metrics)
    }

    /// Template of a router that is stopping.
    pub(super) fn stopping(interface: &Interface, metrics: &Metrics) -> Self {
        Template::new(&stopping(), interface, metrics)
    }

    /// Builds the template from the response to a refused request.
    fn new(refusal: &Refusal, interface: &Interface, metrics: &Metrics) -> Self {
        let id = RequestId {
            router: 0,
            count: 0,
        };
        let response = refusal.response(id, interface);
        let mut head = format!("HTTP/1.1 {}\r\nconnection: close\r\n", response.status());
        for (name, value) in response.headers() {
            if name != REQUEST_ID && name != RETRY_AFTER {
                head.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or("")));
            }
        }
        let body = refusal.body(id);
        let (before, after) = body.split_once(&id.to_string()).unwrap_or((&body, ""));
        let outcome = refusal.outcome.as_str();
        let status = refusal.status.as_str();
        Template {
            head,
            body: (before.to_owned(), after.to_owned()),
            requests: metrics.requests.with_label_values(&[outcome, status]),
            ends: (metrics.ends).with_label_values(&["", "", outcome, refusal.code]),
        }
    }

    /// The response to a request that was read as far as `received`.
    fn response(&self, id: RequestId, retry_after: Duration, received: &Received) -> String {
        let Template { head, body, .. } = self;
        let id = id.to_string();
        let retry_after = retry_after_text(retry_after);
        let (before, after) = body;
        let length = before.len() + id.len() + after.len();
        let mut response = format!(
            "{head}{REQUEST_ID}: {id}\r\n{RETRY_AFTER}: {retry_after}\r\n\
             content-length: {length}\r\n"
        );
        if let Some((name, value)) = received.caller_request_id() {
            response.push_str(&format!("{name}: {value}\r\n"));
        }
        response.push_str("\r\n");
        // The response to a request with the method HEAD has no body.
        if !received.is_head_method {
            response.push_str(&format!("{before}{id}{after}"));
        }
        response
    }
}

/// How much of a refused request has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Not all of the head.
    Head,
    /// The head, but for this many bytes not the body; `None` if the length is not known.
    Body(Option<usize>),
    /// The caller has closed its side, or the connection is broken.
    Ended,
}

/// What was read of a request that is refused.
struct Received {
    stage: Stage,
    /// Head as far as it was read, until it is complete.
    head: Vec<u8>,
    /// Reads of the head.
    reads: u32,
    /// Bytes that were read after the head.
    discarded: usize,
    is_head_method: bool,
    interface: Interface,
    /// ID that the caller gave the request.
    request_id: Option<HeaderValue>,
    /// Time for which the caller waits.
    timeout: Option<Duration>,
    /// Whether another router has passed the request on. Its caller returns to that router.
    is_forwarded: bool,
}

impl Received {
    fn new(interface: Interface) -> Self {
        Received {
            stage: Stage::Head,
            head: Vec::new(),
            reads: 0,
            discarded: 0,
            is_head_method: false,
            interface,
            request_id: None,
            timeout: None,
            is_forwarded: false,
        }
    }

    /// Header with the ID that the caller gave the request.
    fn caller_request_id(&self) -> Option<(&'static str, &str)> {
        let value = self.request_id.as_ref()?.to_str().ok()?;
        self.interface.request_id.map(|name| (name, value))
    }

    /// Whether a response can be sent: callers take one that arrives before their request for an
    /// error.
    fn is_answerable(&self) -> bool {
        matches!(self.stage, Stage::Body(_))
    }

    /// Whether nothing more will arrive that the request consists of.
    fn is_whole(&self) -> bool {
        self.stage == Stage::Body(Some(0))
    }

    /// Reads what has arrived.
    fn advance<R>(&mut self, mut read: R)
    where
        R: FnMut(&mut [u8]) -> std::io::Result<usize>,
    {
        let mut buffer = [0; READ_BYTES];
        while self.discarded < DISCARD_MAX_BYTES && !self.is_whole() {
            match read(&mut buffer) {
                Ok(0) => self.stage = Stage::Ended,
                Ok(count) => {
                    self.take(&buffer[..count]);
                    // A short read has emptied the socket.
                    if count == buffer.len() {
                        continue;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => self.stage = Stage::Ended,
            }
            return;
        }
    }

    /// Takes bytes that were read.
    fn take(&mut self, bytes: &[u8]) {
        match self.stage {
            Stage::Head if self.head.is_empty() => self.take_head(bytes),
            Stage::Head => {
                self.head.extend_from_slice(bytes);
                let head = std::mem::take(&mut self.head);
                self.take_head(&head);
            }
            Stage::Body(left) => {
                self.discarded += bytes.len();
                self.stage = Stage::Body(left.map(|left| left.saturating_sub(bytes.len())));
            }
            Stage::Ended => {}
        }
    }

    /// Takes all that was read so far of a request whose head was not complete.
    fn take_head(&mut self, bytes: &[u8]) {
        self.reads += 1;
        self.is_head_method = bytes.starts_with(b"HEAD ");
        let is_complete = bytes.windows(4).any(|end| end == b"\r\n\r\n");
        if is_complete {
            self.stage = Stage::Body(self.parse_head(bytes));
        } else if bytes.len() >= HEAD_MAX_BYTES || self.reads >= HEAD_READS_MAX {
            self.stage = Stage::Body(None);
        } else {
            self.head = bytes.to_vec();
        }
    }

    /// Takes what the refusal needs from a head that is complete. Returns the number of bytes
    /// that are missing of the request; `None` if it is not known.
    fn parse_head(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(head_bytes) = request.parse(bytes).ok()? else {
            return None;
        };
        let find = |name: &str| {
            let mut headers = request.headers.iter();
            let found = headers.find(|header| header.name.eq_ignore_ascii_case(name));
            found.map(|header| header.value)
        };
        self.is_forwarded = find(FORWARDED.as_str()).is_some();
        let text = |value| std::str::from_utf8(value).ok().map(str::trim);
        let request_id = self.interface.request_id.and_then(find);
        self.request_id = request_id
            .filter(|value| value.len() <= REQUEST_ID_MAX_BYTES)
            .and_then(|value| HeaderValue::from_bytes(value).ok());
        self.timeout = self.interface.timeout.and_then(|timeout| {
            let value = find(timeout.header).and_then(text)?;
            (timeout.parse)(value).ok()
        });
        if find("transfer-encoding").is_some() {
            return None;
        }
        let length = match find("content-length") {
            Some(value) => text(value)?.parse().ok()?,
            None => 0,
        };
        Some(
            head_bytes
                .saturating_add(length)
                .saturating_sub(bytes.len()),
        )
    }
}

impl Frontend {
    /// Refuses a connection: at once if its request has arrived, and otherwise in a task.
    pub(super) fn turn_away(self: &Arc<Self>, stream: TcpStream, tasks: &mut JoinSet<()>) {
        let timer = self.context.lateness.time_refusal();
        let Ok(stream) = stream.into_std() else {
            return;
        };
        let mut received = Received::new(self.context.interface);
        received.advance(|buffer| (&stream).read(buffer));
        if received.stage == Stage::Ended {
            return;
        }
        let is_answered = received.is_answerable();
        if is_answered {
            let response = self.refuse(&received);
            if (&stream).write_all(response.as_bytes()).is_err() || received.is_whole() {
                // The caller has sent nothing that was not read, so that closing the connection
                // does not reset it.
                return;
            }
        }
        drop(timer);
        let permit = self.refusal_permits.clone().try_acquire_owned();
        let (Ok(permit), Ok(stream)) = (permit, TcpStream::from_std(stream)) else {
            if !is_answered {
                self.count_unread(None);
            }
            return;
        };
        let frontend = self.clone();
        tasks.spawn(frontend.finish_refusal(stream, received, is_answered, permit));
    }

    /// Waits for the head of a request, answers it, and reads until its caller closes the
    /// connection, all within bounds.
    async fn finish_refusal(
        self: Arc<Self>,
        mut stream: TcpStream,
        mut received: Received,
        is_answered: bool,
        _permit: OwnedSemaphorePermit,
    ) {
        if !is_answered {
            let head = self.receive(&stream, &mut received, Received::is_answerable);
            tokio::select! {
                _ = tokio::time::timeout(HEAD_TIMEOUT, head) => {}
                () = self.context.work.until(Phase::Closing) => {}
            }
            if received.stage == Stage::Ended {
                return;
            }
            if received.reads == 0 {
                // Without a request there is none to refuse; the caller may have opened the
                // connection in advance.
                self.count_unread(None);
                return;
            }
            let _timer = self.context.lateness.time_refusal();
            let response = self.refuse(&received);
            if stream.try_write(response.as_bytes()).is_err() {
                return;
            }
        }
        // If the connection were closed with unread bytes, the operating system would reset it,
        // and the caller could lose the response.
        let _ = stream.shutdown().await;
        if received.stage == Stage::Head {
            received.stage = Stage::Body(None);
        }
        let rest = self.receive(&stream, &mut received, |received| {
            received.is_whole() || received.discarded >= DISCARD_MAX_BYTES
        });
        let _ = tokio::time::timeout(LINGER_TIMEOUT, rest).await;
    }

    /// Refuses a request whose head has not come in by the end of this process.
    pub(super) async fn refuse_partial_head(&self, mut stream: TcpStream) {
        let id = self.next_id();
        self.log_turned_away(id, None, &stopping());
        self.stop_template.requests.inc();
        let mut received = Received::new(self.context.interface);
        received.stage = Stage::Body(None);
        let response = (self.stop_template).response(id, FAST_RETRY_AFTER, &received);
        if stream.try_write(response.as_bytes()).is_err() {
            return;
        }
        let _ = stream.shutdown().await;
        let rest = self.receive(&stream, &mut received, |received| {
            received.discarded >= DISCARD_MAX_BYTES
        });
        let _ = tokio::time::timeout(LINGER_TIMEOUT, rest).await;
    }

    /// Reads from a connection until `is_done`, or until its caller closes it.
    async fn receive<F>(&self, stream: &TcpStream, received: &mut Received, is_done: F)
    where
        F: Fn(&Received) -> bool,
    {
        while received.stage != Stage::Ended && !is_done(received) {
            if stream.readable().await.is_err() {
                received.stage = Stage::Ended;
                return;
            }
            let _timer = self.context.lateness.time_refusal();
            received.advance(|buffer| stream.try_read(buffer));
        }
    }

    /// Counts a refusal, logs it within the rate of such lines, and returns the response.
    fn refuse(&self, received: &Received) -> String {
        let id = self.next_id();
        let retry_after = match received.is_forwarded {
            true => spread_retry_after(id),
            false => self.context.lateness.retry_after(received.timeout),
        };
        let metrics = &self.context.metrics;
        metrics.refused_connections.inc();
        self.template.requests.inc();
        if self.may_log_busy() {
            let refusal = busy(retry_after);
            self.log_turned_away(id, received.request_id.clone(), &refusal);
        } else {
            metrics.request_heads.inc();
            metrics.unlogged_refusals.inc();
            self.template.ends.inc();
        }
        (self.template).response(id, retry_after, received)
    }

    /// Logs a refused request as any other, and counts its end.
    fn log_turned_away(
        &self,
        id: RequestId,
        caller_request_id: Option<HeaderValue>,
        refusal: &Refusal,
    ) {
        let published = self.published();
        let now = self.context.clock.now();
        let metrics = self.context.metrics.clone();
        let work = Arc::new(self.context.work.begin(work::Stage::Answer));
        let mut entry = Entry::new(id, Instant::now(), now, &published, metrics, work);
        entry.set_caller_request_id(caller_request_id);
        let event = Event::new(Kind::Refused).request(id);
        self.context.journal.record(event);
        entry.log_refusal(refusal);
    }
}
