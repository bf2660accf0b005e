//! The HTTP server of the stand-in.

use crate::count::{Counter, Counts};
use crate::fault::Fault;
use crate::unframed;
use bytes::Bytes;
use errors::{Error, Result};
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};

/// Header with the id of the event after which a stream is to continue.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Header with the identity of a request, which its response repeats.
pub const IDENTITY_HEADER: &str = "cowslipford-request-id";

/// Header with the parts of the prompt in their order, as `ID:TOKENS,...`. The last one belongs to
/// the request alone.
pub const PROMPT_PARTS_HEADER: &str = "cowslipford-prompt-parts";

/// Exit code of a process that [`Fault::Crash`] or [`Settings::crash_part`] ended.
pub const CRASH_EXIT_CODE: i32 = 70;

/// Response header of a stand-in that is about to leave the fleet.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("cowslipford-leaving");

/// Kind of endpoint that the stand-in imitates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine: a response is a stream of events, one for each token.
    Model,
    /// A plain service: a response is one JSON document.
    Plain,
}

/// Address and behaviour of a stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address on which the stand-in listens.
    pub listen: SocketAddr,
    /// Kind of endpoint that the stand-in imitates.
    pub kind: Kind,
    /// Size of the batch: the most requests that run at once.
    pub batch: usize,
    /// Tokens in a response, unless the request sets `stand-in-tokens`.
    pub tokens: u32,
    /// Time between two tokens, unless the request sets `stand-in-pace`.
    pub pace: Duration,
    /// Delay of the load report.
    pub lag: Duration,
    /// File to which the label of each call is appended before the call runs.
    pub record: Option<PathBuf>,
    /// Whether [`Fault::Crash`] may end the process.
    pub may_crash: bool,
    /// Version of the software, which each event repeats if it is not empty.
    pub software: String,
    /// The process ends when it begins to answer a prompt that shares this part, if
    /// [`Settings::may_crash`] allows it.
    pub crash_part: Option<u64>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            kind: Kind::Model,
            batch: 8,
            tokens: 20,
            pace: Duration::from_millis(5),
            lag: Duration::from_secs(1),
            record: None,
            may_crash: false,
            software: String::new(),
            crash_part: None,
        }
    }
}

/// State that all connections share.
struct Shared {
    settings: Settings,
    counter: Counter,
    /// The open file of [`Settings::record`].
    record: Option<File>,
    /// Counts that the load report shows, [`Settings::lag`] old.
    reported: Mutex<Counts>,
    /// One permit for each slot of the batch.
    batch: Arc<Semaphore>,
    /// Value of `Retry-After` in the 503 responses to all requests, while it is set.
    retry_after: Mutex<Option<HeaderValue>>,
    /// Whether responses carry [`LEAVING_HEADER`].
    is_leaving: AtomicBool,
}

/// A running stand-in.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// The socket of a connection, as an extension of its requests. It does not keep the connection
/// open.
#[derive(Clone, Debug)]
pub(crate) struct Socket(pub(crate) Weak<OwnedFd>);

/// A stream that a model engine responds with.
struct Stream {
    /// First token to send.
    first: u32,
    /// Number of tokens in the whole stream.
    tokens: u32,
    /// Whether each event has its token's number as its id.
    has_ids: bool,
    pace: Duration,
    /// Time between a comment at the start of the stream and its first token.
    prefill: Option<Duration>,
    fault: Fault,
    /// Bytes that are sent of the event in which the stream breaks; half of it by default.
    torn_bytes: Option<usize>,
    /// How lines end.
    line_end: &'static str,
    socket: Option<Socket>,
}

pub(crate) type Body = Either<Full<Bytes>, Channel<Bytes, Aborted>>;

/// The error that aborts a response or closes its connection.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("aborted by an injected fault")
    }
}

impl std::error::Error for Aborted {}

impl Server {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if the address cannot be bound or the record cannot be opened.
    pub async fn start(settings: Settings) -> Result<Self> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(Error::file(
                "bind the stand-in",
                settings.listen.to_string(),
            ))?;
        let address = listener
            .local_addr()
            .map_err(Error::file("bind the stand-in", "?"))?;
        let record = settings.record.as_ref().map(open_record).transpose()?;
        let shared = Arc::new(Shared {
            batch: Arc::new(Semaphore::new(settings.batch)),
            settings,
            counter: Counter::default(),
            record,
            reported: Mutex::default(),
            retry_after: Mutex::default(),
            is_leaving: AtomicBool::new(false),
        });
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(run(listener, shared.clone(), stopped));
        Ok(Server {
            address,
            shared,
            stop,
            task,
        })
    }

    /// Address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the present counts.
    pub fn counts(&self) -> Counts {
        self.shared.counter.read()
    }

    /// Closes all connections at once and waits for the tasks to end.
    pub async fn stop(self) {
        // Sending fails only if the task has already ended.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

/// Opens the record for appending.
fn open_record(path: &PathBuf) -> Result<File> {
    let mut options = OpenOptions::new();
    let opened = options.create(true).append(true).open(path);
    opened.map_err(Error::file("open the record", path.display().to_string()))
}

/// Serves connections until `stopped` changes.
async fn run(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let mut tasks = JoinSet::new();
    tasks.spawn(publish_load(shared.clone()));
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            Some(_) = tasks.join_next() => continue,
            _ = stopped.changed() => break,
        };
        let shared = shared.clone();
        tasks.spawn(async move {
            let socket = stream.as_fd().try_clone_to_owned().ok().map(Arc::new);
            let weak = socket.as_ref().map(Arc::downgrade).map(Socket);
            let service = service_fn(move |mut request: Request<Incoming>| {
                if let Some(socket) = weak.clone() {
                    request.extensions_mut().insert(socket);
                }
                respond(shared.clone(), request)
            });
            let server = hyper::server::conn::http1::Builder::new();
            // The only errors are those of the connection, such as a caller that disconnects.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
            drop(socket);
        });
    }
    tasks.shutdown().await;
}

/// Publishes the counts with a delay, as the load reports of engines lag.
async fn publish_load(shared: Arc<Shared>) {
    loop {
        let counts = shared.counter.read();
        tokio::time::sleep(shared.settings.lag).await;
        *shared
            .reported
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = counts;
    }
}

/// Serves the control paths below `/stand-in/`; every other path is work.
async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    match request.uri().path() {
        "/stand-in/load" => {
            let reported = shared.reported.lock();
            let counts = reported.unwrap_or_else(PoisonError::into_inner).clone();
            let load = serde_json::json!({"running": counts.running, "waiting": counts.waiting});
            Ok(json(StatusCode::OK, load.to_string()))
        }
        "/stand-in/calls" => {
            let counts = serde_json::to_string(&shared.counter.read());
            Ok(json(StatusCode::OK, counts.unwrap_or_default()))
        }
        "/stand-in/turn-away" => {
            let value = request.uri().query().map(HeaderValue::from_str);
            *shared.retry_after() = value.and_then(Result::ok);
            Ok(json(StatusCode::OK, String::new()))
        }
        "/stand-in/leave" => {
            shared.is_leaving.store(true, Ordering::Relaxed);
            Ok(json(StatusCode::OK, String::new()))
        }
        _ => {
            let version = unframed::requested_version(&request);
            let socket = request.extensions().get::<Socket>().cloned();
            let response = handle_work(shared.clone(), request).await?;
            let is_leaving = shared.is_leaving.load(Ordering::Relaxed);
            let response = with_leaving_header(response, is_leaving);
            match (version, socket) {
                (Some(version), Some(socket)) => {
                    Err(unframed::write(version, response, &socket).await)
                }
                _ => Ok(response),
            }
        }
    }
}

fn with_leaving_header(mut response: Response<Body>, is_leaving: bool) -> Response<Body> {
    if is_leaving {
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(LEAVING_HEADER, value);
    }
    response
}

/// Handles a request: counts and records the call, rejects it while `Retry-After` is set,
/// waits for a slot in the batch, and responds with the fault that the headers select.
async fn handle_work(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_owned)
    };
    let number = |name: &str| header(name).and_then(|v| v.parse().ok());
    // Token after which the caller asks for the rest of a stream.
    let last = number(LAST_EVENT_ID_HEADER);
    let fault = match last {
        None => "stand-in-fault",
        Some(_) => "stand-in-resumed-fault",
    };
    let mut fault = Fault::from(header(fault).unwrap_or_default().as_str());
    let parts = header(PROMPT_PARTS_HEADER).unwrap_or_default();
    if (shared.settings.crash_part).is_some_and(|part| shares_part(&parts, part)) {
        fault = Fault::Crash;
    }
    let tokens = number("stand-in-tokens").unwrap_or(shared.settings.tokens);
    let pace = number("stand-in-pace").map_or(shared.settings.pace, |ms| {
        Duration::from_millis(u64::from(ms))
    });
    let prefill = number("stand-in-prefill").map(|ms| Duration::from_millis(u64::from(ms)));
    let identity = header(IDENTITY_HEADER).unwrap_or_default();
    let label = header("stand-in-id");
    let socket = request.extensions().get::<Socket>().cloned();
    let stream = Stream {
        first: last.map_or(0, |n| n.saturating_add(1)),
        tokens,
        has_ids: last.is_some() || header("stand-in-ids").is_some(),
        pace,
        prefill,
        fault,
        torn_bytes: header("stand-in-torn-bytes").and_then(|v| v.parse().ok()),
        line_end: match header("stand-in-line-end").as_deref() {
            Some("cr") => "\r",
            Some("crlf") => "\r\n",
            _ => "\n",
        },
        socket,
    };
    shared.counter.update(|c| {
        c.calls += 1;
        if let Some(label) = &label {
            *c.labels.entry(label.clone()).or_default() += 1;
        }
    });
    if let Err(error) = shared.record(label.as_deref()) {
        let text = serde_json::json!({"error": format!("write the record: {error}")});
        return Ok(json(StatusCode::INTERNAL_SERVER_ERROR, text.to_string()));
    }
    let retry_after = shared.retry_after().clone();
    if let Some(value) = retry_after {
        let mut response = json(StatusCode::SERVICE_UNAVAILABLE, String::new());
        response.headers_mut().insert(RETRY_AFTER, value);
        return Ok(response);
    }
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| Aborted)?
        .to_bytes();
    let slot = Slot::acquire(&shared).await;
    if fault == Fault::NoResponse {
        return Err(Aborted);
    }
    let identity = if fault == Fault::WrongIdentity {
        "ffffffffffffffff-0".to_owned()
    } else {
        identity
    };
    let mut response = match shared.settings.kind {
        _ if fault == Fault::Redirect => {
            let mut response = json(StatusCode::TEMPORARY_REDIRECT, String::new());
            let location = HeaderValue::from_static("/again");
            response.headers_mut().insert(LOCATION, location);
            response
        }
        _ if fault == Fault::ServerError => json(StatusCode::INTERNAL_SERVER_ERROR, String::new()),
        Kind::Plain => {
            tokio::time::sleep(pace).await;
            shared.crash(fault);
            slot.end_call(1);
            respond_plain(&body, fault, stream.socket.as_ref())
        }
        Kind::Model => respond_stream(slot, &body, stream),
    };
    if let Ok(value) = HeaderValue::from_str(&identity) {
        response.headers_mut().insert(IDENTITY_HEADER, value);
    }
    Ok(response)
}

/// Whether `part` is in a list of parts of a prompt, other than as its last one.
fn shares_part(parts: &str, part: u64) -> bool {
    let ids = parts.split(',').map(|p| p.trim().split(':').next());
    let ids: Vec<_> = ids.map(|id| u64::from_str_radix(id?, 16).ok()).collect();
    ids.split_last()
        .is_some_and(|(_, shared)| shared.contains(&Some(part)))
}

/// The response of a plain service, which echoes the body of the request.
fn respond_plain(body: &Bytes, fault: Fault, socket: Option<&Socket>) -> Response<Body> {
    let echo = String::from_utf8_lossy(body);
    let text = serde_json::json!({"echo": echo, "done": true}).to_string();
    if fault == Fault::Reset {
        reset_when_closed(socket);
    }
    if matches!(fault, Fault::Cut | Fault::Reset) {
        return respond_cut(text);
    }
    json(StatusCode::OK, text)
}

/// A response that ends after half of its `Content-Length`.
fn respond_cut(text: String) -> Response<Body> {
    let (mut sender, channel) = Channel::new(4);
    let half = Bytes::from(text[..text.len() / 2].to_owned());
    tokio::spawn(async move {
        // Aborted before its head is sent, the response would not reach the caller at all.
        let sent = sender.send_data(half).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        if sent.is_ok() {
            sender.abort(Aborted);
        }
    });
    let mut response = Response::new(Either::Right(channel));
    let length = HeaderValue::from(text.len());
    response.headers_mut().insert(CONTENT_LENGTH, length);
    with_content_type(response, "application/json")
}

/// The response of a model engine, a stream of tokens.
fn respond_stream(slot: Slot, body: &Bytes, stream: Stream) -> Response<Body> {
    let (sender, channel) = Channel::new(4);
    let echo = String::from_utf8_lossy(body).into_owned();
    // The task ends when the response is complete or the caller disconnects.
    tokio::spawn(write_tokens(slot, sender, echo, stream));
    with_content_type(Response::new(Either::Right(channel)), "text/event-stream")
}

/// Breaks a stream whose last event is not complete.
async fn break_stream(mut sender: Sender<Bytes, Aborted>, stream: &Stream) {
    if stream.fault == Fault::Truncate {
        return;
    }
    if stream.fault == Fault::Stall {
        // Empty pieces are not written; sending them fails once the caller has disconnected.
        while sender.send_data(Bytes::new()).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        return;
    }
    // The half event is written first.
    tokio::time::sleep(Duration::from_millis(20)).await;
    if stream.fault == Fault::Reset {
        reset_when_closed(stream.socket.as_ref());
    }
    sender.abort(Aborted);
}

/// Makes the system reset a connection when it is closed, by leaving it no time to linger.
fn reset_when_closed(socket: Option<&Socket>) {
    if let Some(socket) = socket.and_then(|Socket(s)| s.upgrade()) {
        let _ = socket2::SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
    }
}

/// Sends one event for each token and the usage at the end, unless a fault intervenes.
async fn write_tokens(
    slot: Slot,
    mut sender: Sender<Bytes, Aborted>,
    echo: String,
    stream: Stream,
) {
    let Stream {
        tokens,
        pace,
        fault,
        ..
    } = stream;
    let first = match fault {
        Fault::Restart => 0,
        _ => stream.first,
    };
    if let Some(prefill) = stream.prefill {
        if sender
            .send_data(Bytes::from_static(b": prefill\n\n"))
            .await
            .is_err()
        {
            return;
        }
        tokio::time::sleep(prefill).await;
    }
    // Faults occur halfway through the tokens that this response has.
    let middle = first + tokens.saturating_sub(first) / 2;
    for n in first..tokens {
        if n > 0 {
            slot.shared.crash(fault);
        }
        if fault == Fault::Cut && n >= middle {
            sender.abort(Aborted);
            return;
        }
        tokio::time::sleep(pace).await;
        let mut event = serde_json::json!({"token": n, "echo": echo});
        let software = &slot.shared.settings.software;
        if !software.is_empty() {
            event["software"] = software.as_str().into();
        }
        let id = match stream.has_ids {
            true => format!("id: {n}\n"),
            false => String::new(),
        };
        let text = format!("{id}data: {event}\n\n").replace('\n', stream.line_end);
        let mut line = Bytes::from(text);
        if n == middle && fault.is_within_event() {
            line.truncate(stream.torn_bytes.unwrap_or(line.len() / 2));
            let _ = sender.send_data(line).await;
            break_stream(sender, &stream).await;
            return;
        }
        if sender.send_data(line).await.is_err() {
            return;
        }
        slot.shared.counter.update(|c| c.tokens += 1);
    }
    let usage = serde_json::json!({"usage": {"tokens": tokens}});
    let last = Bytes::from(format!(": {usage}\n\n"));
    if sender.send_data(last).await.is_ok() {
        slot.end_call(0);
    }
}

impl Shared {
    fn retry_after(&self) -> MutexGuard<'_, Option<HeaderValue>> {
        let value = self.retry_after.lock();
        value.unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the process without a clean shutdown, if the fault is a crash and it is allowed.
    fn crash(&self, fault: Fault) {
        if fault == Fault::Crash && self.settings.may_crash {
            std::process::exit(CRASH_EXIT_CODE);
        }
    }

    /// Appends a call's label to the record.
    ///
    /// The counters are lost with the process. With the record, a test that kills
    /// stand-ins can distinguish a request that ran before the kill from one that
    /// never ran.
    fn record(&self, label: Option<&str>) -> std::io::Result<()> {
        let (Some(mut file), Some(label)) = (self.record.as_ref(), label) else {
            return Ok(());
        };
        // A single write for each line keeps the lines of concurrent calls apart.
        file.write_all(format!("{label}\n").as_bytes())
    }
}

/// A slot in the batch, released on drop.
struct Slot {
    shared: Arc<Shared>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Slot {
    /// Waits for a free slot.
    async fn acquire(shared: &Arc<Shared>) -> Self {
        shared.counter.update(|c| c.waiting += 1);
        let waiting = Waiting(shared.clone());
        let permit = shared.batch.clone().acquire_owned().await.ok();
        drop(waiting);
        shared.counter.update(|c| {
            c.running += 1;
            c.running_max = c.running_max.max(c.running);
        });
        Slot {
            shared: shared.clone(),
            _permit: permit,
        }
    }

    /// Counts a completed call and its tokens.
    fn end_call(&self, tokens: u64) {
        self.shared.counter.update(|c| {
            c.ended += 1;
            c.tokens += tokens;
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.counter.update(|c| c.running -= 1);
    }
}

/// A call that waits for a slot; it is counted as waiting until this is dropped, also if the
/// caller disconnects.
struct Waiting(Arc<Shared>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.counter.update(|c| c.waiting -= 1);
    }
}

/// A response with a JSON body.
fn json(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    with_content_type(response, "application/json")
}

fn with_content_type(mut response: Response<Body>, content_type: &'static str) -> Response<Body> {
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
