//! The HTTP server of the stand-in.

use crate::count::{Counter, Counts};
use crate::fault::Fault;
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
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};

/// Header that carries a request's identity, and its answer's.
pub const IDENTITY: &str = "cowslipford-request-id";

/// Exit code of a process that a request has crashed.
pub const CRASHED: i32 = 70;

/// Header that says that the stand-in leaves.
pub const LEAVING: HeaderName = HeaderName::from_static("cowslipford-leaving");

/// What kind of endpoint it plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine: answers are streams of events, one a token.
    Model,
    /// A plain service: answers are one JSON document.
    Plain,
}

/// How it behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What it plays.
    pub kind: Kind,
    /// Requests that it works on at once.
    pub batch: usize,
    /// Tokens of an answer, unless the request says otherwise.
    pub tokens: u32,
    /// Time between two tokens, unless the request says otherwise.
    pub pace: Duration,
    /// How far its load report lags.
    pub lag: Duration,
    /// File to which the label of each call is appended before the call is worked on.
    pub record: Option<PathBuf>,
    /// Whether a request may end the process.
    pub may_crash: bool,
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
        }
    }
}

struct Shared {
    settings: Settings,
    counter: Counter,
    record: Option<File>,
    reported: Mutex<Counts>,
    batch: Arc<Semaphore>,
    /// Value of `Retry-After` with which it turns work away, while it does.
    turns_away: Mutex<Option<HeaderValue>>,
    is_leaving: AtomicBool,
}

/// A running stand-in.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

type Body = Either<Full<Bytes>, Channel<Bytes, Broken>>;

/// The error that cuts an answer.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut on demand")
    }
}

impl std::error::Error for Broken {}

impl Server {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// When the address is taken, or the record cannot be opened.
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
            turns_away: Mutex::default(),
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.shared.counter.read()
    }

    /// Stops it at once and joins its tasks.
    pub async fn stop(self) {
        // Nobody listens only when the task has ended already.
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

fn open_record(path: &PathBuf) -> Result<File> {
    let mut options = OpenOptions::new();
    let opened = options.create(true).append(true).open(path);
    opened.map_err(Error::file("open the record", path.display().to_string()))
}

async fn run(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    let mut tasks = JoinSet::new();
    tasks.spawn(report(shared.clone()));
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
            let service = service_fn(move |request| answer(shared.clone(), request));
            let server = hyper::server::conn::http1::Builder::new();
            // A caller that goes away is no error of ours.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
    tasks.shutdown().await;
}

/// Publishes the counts late, as engines do.
async fn report(shared: Arc<Shared>) {
    loop {
        let counts = shared.counter.read();
        tokio::time::sleep(shared.settings.lag).await;
        *shared
            .reported
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = counts;
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Response<Body>, Broken> {
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
            *shared.turning_away() = value.and_then(Result::ok);
            Ok(json(StatusCode::OK, String::new()))
        }
        "/stand-in/leave" => {
            shared.is_leaving.store(true, Ordering::Relaxed);
            Ok(json(StatusCode::OK, String::new()))
        }
        _ => {
            let answered = work(shared.clone(), request).await;
            let is_leaving = shared.is_leaving.load(Ordering::Relaxed);
            answered.map(|response| with_leaving(response, is_leaving))
        }
    }
}

fn with_leaving(mut response: Response<Body>, is_leaving: bool) -> Response<Body> {
    if is_leaving {
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(LEAVING, value);
    }
    response
}

async fn work(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Response<Body>, Broken> {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_owned)
    };
    let number = |name: &str| header(name).and_then(|v| v.parse().ok());
    let fault = Fault::from(header("stand-in-fault").unwrap_or_default().as_str());
    let tokens = number("stand-in-tokens").unwrap_or(shared.settings.tokens);
    let pace = number("stand-in-pace").map_or(shared.settings.pace, |ms| {
        Duration::from_millis(u64::from(ms))
    });
    let identity = header(IDENTITY).unwrap_or_default();
    let label = header("stand-in-id");
    shared.counter.change(|c| {
        c.calls += 1;
        if let Some(label) = &label {
            *c.labels.entry(label.clone()).or_default() += 1;
        }
    });
    if let Err(error) = shared.record(label.as_deref()) {
        let text = serde_json::json!({"error": format!("write the record: {error}")});
        return Ok(json(StatusCode::INTERNAL_SERVER_ERROR, text.to_string()));
    }
    let turned_away = shared.turning_away().clone();
    if let Some(after) = turned_away {
        let mut response = json(StatusCode::SERVICE_UNAVAILABLE, String::new());
        response.headers_mut().insert(RETRY_AFTER, after);
        return Ok(response);
    }
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| Broken)?
        .to_bytes();
    let place = Place::enter(&shared).await;
    if fault == Fault::Silence {
        return Err(Broken);
    }
    let identity = if fault == Fault::Swap {
        "ffffffffffffffff-0".to_owned()
    } else {
        identity
    };
    let mut response = match shared.settings.kind {
        _ if fault == Fault::Redirect => {
            let mut response = json(StatusCode::TEMPORARY_REDIRECT, String::new());
            let here = HeaderValue::from_static("/again");
            response.headers_mut().insert(LOCATION, here);
            response
        }
        _ if fault == Fault::Broken => json(StatusCode::INTERNAL_SERVER_ERROR, String::new()),
        Kind::Plain => {
            tokio::time::sleep(pace).await;
            shared.crash(fault);
            place.end(1);
            plain(&body, fault)
        }
        Kind::Model => stream(place, &body, tokens, pace, fault),
    };
    if let Ok(value) = HeaderValue::from_str(&identity) {
        response.headers_mut().insert(IDENTITY, value);
    }
    Ok(response)
}

fn plain(body: &Bytes, fault: Fault) -> Response<Body> {
    let echo = String::from_utf8_lossy(body);
    let text = serde_json::json!({"echo": echo, "done": true}).to_string();
    if fault == Fault::Cut {
        return cut(text);
    }
    json(StatusCode::OK, text)
}

/// An answer whose length is announced and not reached.
fn cut(text: String) -> Response<Body> {
    let (mut sender, channel) = Channel::new(4);
    let half = Bytes::from(text[..text.len() / 2].to_owned());
    tokio::spawn(async move {
        // The head must be out before the cut, or there is no answer to cut.
        let sent = sender.send_data(half).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        if sent.is_ok() {
            sender.abort(Broken);
        }
    });
    let mut response = Response::new(Either::Right(channel));
    let length = HeaderValue::from(text.len());
    response.headers_mut().insert(CONTENT_LENGTH, length);
    with_type(response, "application/json")
}

fn stream(place: Place, body: &Bytes, tokens: u32, pace: Duration, fault: Fault) -> Response<Body> {
    let (sender, channel) = Channel::new(4);
    let echo = String::from_utf8_lossy(body).into_owned();
    // The task ends with its answer or with its caller.
    tokio::spawn(write_tokens(place, sender, echo, tokens, pace, fault));
    with_type(Response::new(Either::Right(channel)), "text/event-stream")
}

async fn write_tokens(
    place: Place,
    mut sender: Sender<Bytes, Broken>,
    echo: String,
    tokens: u32,
    pace: Duration,
    fault: Fault,
) {
    for n in 0..tokens {
        if n > 0 {
            place.shared.crash(fault);
        }
        if fault == Fault::Cut && n >= tokens / 2 {
            sender.abort(Broken);
            return;
        }
        tokio::time::sleep(pace).await;
        let event = serde_json::json!({"token": n, "echo": echo});
        let line = Bytes::from(format!("data: {event}\n\n"));
        if sender.send_data(line).await.is_err() {
            return;
        }
        place.shared.counter.change(|c| c.tokens += 1);
    }
    let usage = serde_json::json!({"usage": {"tokens": tokens}});
    let last = Bytes::from(format!(": {usage}\n\n"));
    if sender.send_data(last).await.is_ok() {
        place.end(0);
    }
}

impl Shared {
    fn turning_away(&self) -> MutexGuard<'_, Option<HeaderValue>> {
        let value = self.turns_away.lock();
        value.unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the process if that is the fault, without a word to anyone.
    fn crash(&self, fault: Fault) {
        if fault == Fault::Crash && self.settings.may_crash {
            std::process::exit(CRASHED);
        }
    }

    /// Appends a call's label to the record.
    ///
    /// The counters end with the process. Without the record, a test that kills
    /// stand-ins could not tell a request that ran before the kill from one that
    /// never ran.
    fn record(&self, label: Option<&str>) -> std::io::Result<()> {
        let (Some(mut file), Some(label)) = (self.record.as_ref(), label) else {
            return Ok(());
        };
        // One write a line: lines of calls that arrive together do not mix.
        file.write_all(format!("{label}\n").as_bytes())
    }
}

/// A place in the batch, given back when dropped.
struct Place {
    shared: Arc<Shared>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Place {
    async fn enter(shared: &Arc<Shared>) -> Self {
        shared.counter.change(|c| c.waiting += 1);
        let waiting = Waiting(shared.clone());
        let permit = shared.batch.clone().acquire_owned().await.ok();
        drop(waiting);
        shared.counter.change(|c| {
            c.running += 1;
            c.running_max = c.running_max.max(c.running);
        });
        Place {
            shared: shared.clone(),
            _permit: permit,
        }
    }

    fn end(&self, tokens: u64) {
        self.shared.counter.change(|c| {
            c.ended += 1;
            c.tokens += tokens;
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.counter.change(|c| c.running -= 1);
    }
}

struct Waiting(Arc<Shared>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.counter.change(|c| c.waiting -= 1);
    }
}

fn json(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    with_type(response, "application/json")
}

fn with_type(mut response: Response<Body>, kind: &'static str) -> Response<Body> {
    let value = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
