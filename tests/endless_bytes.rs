//! Endpoints, load reports and lists of endpoints that write bytes without end.

mod harness;

use harness::http;
use harness::{eventually, Fleet, Plan, SetOnDrop};
use state::secret::Hash;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time-out of the rules.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time past the time-out of a rule in which an answer ends, and in which the connection of one that
/// its caller leaves unread is closed.
const GRACE: Duration = Duration::from_millis(500);
/// Time between two looks at the answers that are left unread.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two writes of an endpoint that writes slowly.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Most by which the memory of a router may grow.
const GROWTH_MAX: u64 = 32 << 20;
/// Bytes that the endpoints together offer at least.
const OFFERED_MIN: u64 = 64 << 20;
/// Bytes after which an endpoint writes slowly, unless it is to write at full speed for ever.
const BURST_BYTES: u64 = 128 << 20;
/// Path of the requests that are answered without end.
const ENDLESS_PATH: &str = "/endless";
/// Time-out of a load report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time-out of a page of the list of endpoints.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of one write, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// How fast an endpoint writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// [`BURST_BYTES`] at full speed, and slowly from then on.
    Burst,
    /// At full speed.
    Full,
    /// One repetition every [`SLOW_INTERVAL`].
    Slow,
}

/// What an endpoint writes in answer to each request.
#[derive(Clone, Debug)]
struct Script {
    /// Written once. `{label}` and `{length}` stand for the label of the request and its length.
    first: String,
    /// Written again and again until the connection ends.
    repeated: String,
    pace: Pace,
}

/// A request that has reached an endpoint.
#[derive(Clone, Debug)]
struct Call {
    label: String,
    began: Instant,
    /// When the endpoint saw the end of the connection.
    closed: Option<Instant>,
}

/// State of an endpoint, shared by its threads.
struct State {
    /// Beginning of the paths that are answered without end.
    endless_path: &'static str,
    /// What is written in answer to requests for them; `None` to answer them well.
    script: Mutex<Option<Script>>,
    /// Body of the answers to all other requests.
    healthy_body: Mutex<String>,
    calls: Mutex<Vec<Call>>,
    offered: AtomicU64,
    is_stopped: AtomicBool,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Answers the requests of a connection until it ends.
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        stream.set_write_timeout(Some(Duration::from_millis(50)))?;
        while let Some((path, label)) = self.read_request(&mut stream)? {
            let script = lock(&self.script).clone();
            let Some(script) = script.filter(|_| path.starts_with(self.endless_path)) else {
                let body = lock(&self.healthy_body).clone();
                let length = body.len();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                stream.write_all((head + &body).as_bytes())?;
                continue;
            };
            let number = {
                let mut calls = lock(&self.calls);
                calls.push(Call {
                    label: label.clone(),
                    began: Instant::now(),
                    closed: None,
                });
                calls.len() - 1
            };
            self.write_endlessly(&mut stream, &script, &label);
            if !self.is_stopped.load(Ordering::Relaxed) {
                lock(&self.calls)[number].closed = Some(Instant::now());
            }
            break;
        }
        Ok(())
    }

    /// Reads the head of a request without a body; returns its path and label.
    fn read_request(&self, stream: &mut TcpStream) -> std::io::Result<Option<(String, String)>> {
        let mut head = Vec::new();
        let mut byte = [0; 1];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(0) => return Ok(None),
                Ok(_) => head.push(byte[0]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.is_stopped.load(Ordering::Relaxed) {
                        return Ok(None);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let path = text.split(' ').nth(1).unwrap_or("/").to_owned();
        let label = text.lines().find_map(|line| line.strip_prefix("label: "));
        Ok(Some((path, label.unwrap_or("").to_owned())))
    }

    /// Writes until the other side closes the connection, or the endpoint is stopped.
    fn write_endlessly(&self, stream: &mut TcpStream, script: &Script, label: &str) {
        let first = script.first.replace("{label}", label);
        let first = first.replace("{length}", &label.len().to_string());
        let period = script.repeated.len();
        let block = script.repeated.repeat(WRITE_BYTES.div_ceil(period));
        let (block, mut first) = (block.as_bytes(), first.as_bytes());
        let mut offered = 0_u64;
        while !self.is_stopped.load(Ordering::Relaxed) {
            let is_slow = match script.pace {
                Pace::Slow => true,
                Pace::Burst => offered >= BURST_BYTES,
                Pace::Full => false,
            };
            let phase = usize::try_from(offered % period as u64).unwrap_or(0);
            let piece = match is_slow {
                _ if !first.is_empty() => first,
                true => &block[phase..period],
                false => &block[phase..],
            };
            match stream.write(piece) {
                Ok(written) if !first.is_empty() => first = &first[written..],
                Ok(written) => {
                    offered += written as u64;
                    self.offered.fetch_add(written as u64, Ordering::Relaxed);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            if is_slow && first.is_empty() {
                std::thread::sleep(SLOW_INTERVAL);
            }
        }
    }
}

/// A server that writes bytes without end. Its threads are joined when it is dropped.
struct Endpoint {
    address: SocketAddr,
    state: Arc<State>,
    acceptor: Option<JoinHandle<()>>,
}

impl Endpoint {
    fn start(endless_path: &'static str, script: Option<Script>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            endless_path,
            script: Mutex::new(script),
            healthy_body: Mutex::new("ok".to_owned()),
            calls: Mutex::default(),
            offered: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        });
        let shared = state.clone();
        let acceptor = std::thread::spawn(move || {
            std::thread::scope(|scope| {
                for stream in listener.incoming() {
                    if shared.is_stopped.load(Ordering::Relaxed) {
                        break;
                    }
                    if let Ok(stream) = stream {
                        let shared = &shared;
                        // An error of the connection is seen by the test as one of its answer.
                        scope.spawn(move || drop(shared.serve(stream)));
                    }
                }
            });
        });
        Ok(Endpoint {
            address,
            state,
            acceptor: Some(acceptor),
        })
    }

    /// Calls with a label.
    fn calls(&self, label: &str) -> Vec<Call> {
        let calls = lock(&self.state.calls);
        calls.iter().filter(|c| c.label == label).cloned().collect()
    }

    fn offered(&self) -> u64 {
        self.state.offered.load(Ordering::Relaxed)
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the acceptor.
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the thread has already failed the test.
            let _ = acceptor.join();
        }
    }
}

/// How a caller reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// What has arrived.
    Eager,
    /// A piece at a time, more slowly than the endpoint writes.
    Slow,
    /// Nothing, until after the time-out.
    Late,
}

/// An answer as its caller saw it.
#[derive(Debug)]
struct Received {
    /// 0 without a head.
    status: u16,
    outcome: String,
    /// Beginning of the body, as it was framed.
    text: String,
    is_complete: bool,
    took: Duration,
}

/// Sends a request to the service of a case, and reads until the connection ends. A router whose tasks
/// run late closes new connections without an answer, and callers connect again.
fn call(
    router: SocketAddr,
    (case, endpoint): (&Case, &Endpoint),
    label: &str,
    reading: Reading,
) -> std::io::Result<Received> {
    let began = Instant::now();
    loop {
        let received = call_once(router, case.name, label, reading)?;
        let is_turned_away = received.status == 0 && endpoint.calls(label).is_empty();
        if !is_turned_away || began.elapsed() > TIMEOUT {
            return Ok(received);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one request on a connection of its own.
fn call_once(
    router: SocketAddr,
    case: &str,
    label: &str,
    reading: Reading,
) -> std::io::Result<Received> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(2 * TIMEOUT + 2 * GRACE))?;
    let head = format!(
        "GET {ENDLESS_PATH}/{case} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\ncase: {case}\r\n\
         label: {label}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    if reading == Reading::Late {
        std::thread::sleep(TIMEOUT + 2 * GRACE);
    }
    let mut buffer = vec![0; 256 << 10];
    let (mut start, mut tail, mut total) = (Vec::new(), Vec::new(), 0);
    loop {
        let count = match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => return Err(error),
        };
        let piece = &buffer[..count];
        total += count;
        let kept = piece.len().min(8192_usize.saturating_sub(start.len()));
        start.extend_from_slice(&piece[..kept]);
        tail.extend_from_slice(&piece[count.saturating_sub(16)..]);
        tail.drain(..tail.len().saturating_sub(16));
        if reading == Reading::Slow {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    let took = began.elapsed();
    let start = String::from_utf8_lossy(&start).into_owned();
    let (head, text) = start.split_once("\r\n\r\n").unwrap_or(("", &start));
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.to_owned())
    };
    let length = header("content-length").and_then(|l| l.parse::<usize>().ok());
    let is_complete = match length {
        Some(length) => total == head.len() + 4 + length,
        None => header("transfer-encoding").is_some() && tail.ends_with(b"\r\n0\r\n\r\n"),
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok(Received {
        status: status.unwrap_or(0),
        outcome: header("cowslipford-outcome").unwrap_or_default(),
        text: text.chars().take(300).collect(),
        is_complete,
        took,
    })
}

/// Whether a request of another service is served whole within the time-out of its rule. A router
/// whose tasks run late closes new connections, and callers connect again.
fn is_served(router: SocketAddr, path: &str, headers: &[(&str, &str)]) -> bool {
    let began = Instant::now();
    loop {
        let answer = http::send(router, "GET", path, "alpha", headers, "");
        if answer.status == 200 && answer.complete {
            return began.elapsed() <= TIMEOUT + GRACE;
        }
        if began.elapsed() > TIMEOUT || !matches!(answer.status, 0 | 429 | 503) {
            println!("{path} {headers:?}: {answer:?}");
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes = line.split_whitespace().nth(1)?;
    kilobytes.parse::<u64>().ok().map(|k| k * 1024)
}

/// What the caller of a case is to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// An answer of the router, which says that the request may have run.
    Failure,
    /// An answer of the endpoint that visibly ends early.
    Cut,
    /// The label, complete.
    Whole,
}

/// A service with one endpoint that writes bytes without end.
#[derive(Clone, Debug)]
struct Case {
    name: &'static str,
    script: Script,
    expected: Expected,
    /// Whether the rule resumes streams.
    resume: bool,
    /// Retries of the rule. With any, its requests may run twice.
    retries: u32,
    reading: Reading,
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const LABEL_BY_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{label}";

/// Cases of heads, bodies and bytes after an answer, without their pace.
fn cases() -> Vec<Case> {
    let case = |name, first: &str, repeated: &str, expected| Case {
        name,
        script: Script {
            first: first.to_owned(),
            repeated: repeated.to_owned(),
            pace: Pace::Slow,
        },
        expected,
        resume: false,
        retries: 0,
        reading: Reading::Eager,
    };
    let chunked = |rest: &str| format!("{CHUNKED}{rest}");
    let chunk = format!("40\r\n{}\r\n", "x".repeat(64));
    let one_event = format!("{EVENTS}id: 1\ndata: 1\n\ndata: ");
    let mut cases = vec![
        case("garbage", "", "x", Expected::Failure),
        case("blank-lines", "", "\r\n", Expected::Failure),
        case("status-line", "HTTP/1.1 200 ", "x", Expected::Failure),
        case(
            "interim",
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
            Expected::Failure,
        ),
        case(
            "header-line",
            "HTTP/1.1 200 OK\r\nname: ",
            "x",
            Expected::Failure,
        ),
        case(
            "header-lines",
            "HTTP/1.1 200 OK\r\n",
            "name: x\r\n",
            Expected::Failure,
        ),
        case(
            "length",
            "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
            "x",
            Expected::Cut,
        ),
        case("unframed", "HTTP/1.1 200 OK\r\n\r\n", "x", Expected::Cut),
        case("chunks", CHUNKED, &chunk, Expected::Cut),
        case("chunk-size", &chunked("5\r\nhello\r\n"), "0", Expected::Cut),
        case("chunk-space", &chunked("5"), " ", Expected::Cut),
        case("chunk-extension", &chunked("5;"), "x", Expected::Cut),
        case("chunk-word", &chunked("5\r\nhello\r\n"), "z", Expected::Cut),
        case("chunk-excess", &chunked("5\r\nhello"), "x", Expected::Cut),
        case(
            "trailer",
            &chunked("5\r\nhello\r\n0\r\n"),
            "x",
            Expected::Cut,
        ),
        case(
            "trailers",
            &chunked("5\r\nhello\r\n0\r\n"),
            "a: x\r\n",
            Expected::Cut,
        ),
        case("after-length", LABEL_BY_LENGTH, "x", Expected::Whole),
        case(
            "after-chunks",
            &chunked("8\r\n{label}\r\n0\r\n\r\n"),
            "x",
            Expected::Whole,
        ),
        case("event-line", EVENTS, "x", Expected::Cut),
        case("event-lines", EVENTS, "data: x\n", Expected::Cut),
        case("comments", EVENTS, ": x\n\n", Expected::Cut),
        case("second-event", &one_event, "x", Expected::Cut),
    ];
    let streams = [
        ("event-line-resumed", EVENTS, "x"),
        ("event-lines-resumed", EVENTS, "data: x\n"),
        ("comments-resumed", EVENTS, ": x\n\n"),
        ("second-event-resumed", &one_event, "x"),
    ];
    cases.extend(streams.map(|(name, first, repeated)| Case {
        resume: true,
        ..case(name, first, repeated, Expected::Cut)
    }));
    cases
}

/// Cases of bodies that are written at full speed for ever, by how they are read.
fn full_cases() -> Vec<Case> {
    let chosen = [
        ("length", "length-eager", Reading::Eager),
        ("length", "length-slow", Reading::Slow),
        ("length", "length-late", Reading::Late),
        ("chunks", "chunks-slow", Reading::Slow),
        ("comments-resumed", "comments-eager", Reading::Eager),
        ("comments-resumed", "comments-slow", Reading::Slow),
    ];
    let all = cases();
    let full = chosen.iter().filter_map(|(of, name, reading)| {
        let case = all.iter().find(|case| case.name == *of)?;
        Some(Case {
            name,
            reading: *reading,
            ..case.clone()
        })
    });
    full.collect()
}

/// A fleet with a service for each case, and a healthy one.
struct Setup {
    fleet: Fleet,
    cases: Vec<(Case, Endpoint)>,
    /// Second endpoint of the services whose requests are tried again, which answers well.
    _second: Endpoint,
}

impl Setup {
    #[expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]
    fn start(cases: Vec<Case>, pace: Pace, service_keys: &str) -> Self {
        let fleet = Fleet::start_unconfigured(Plan {
            control: 1,
            routers: 1,
            models: 0,
            plain_services: 1,
            settings: "[router]\nresume = yes\nretry-extra = 300\n".to_owned(),
            ..Plan::default()
        });
        let timeout = TIMEOUT.as_millis();
        let (mut names, mut sections) = (vec!["booking"], String::new());
        let cases: Vec<(Case, Endpoint)> = cases
            .into_iter()
            .map(|mut case| {
                case.script.pace = pace;
                let endpoint = Endpoint::start(ENDLESS_PATH, Some(case.script.clone()));
                (case, endpoint.unwrap())
            })
            .collect();
        let second = Endpoint::start(ENDLESS_PATH, None).unwrap();
        for (case, endpoint) in &cases {
            let name = case.name;
            names.push(name);
            let (address, resume) = (endpoint.address, if case.resume { "yes" } else { "no" });
            let (idempotent, retries) = match case.retries {
                0 => (resume, 0),
                retries => ("yes", retries),
            };
            sections.push_str(&format!(
                "[service {name}]\ncost = request\nidempotent = {idempotent}\n{service_keys}\n\
                 [endpoint {name}-1]\nservice = {name}\naddress = {address}\n\
                 data-centre = dc-1\nslots = 4\n\
                 [rule {name}]\nwhen-header = case: {name}\nthen = send\nservice = {name}\n\
                 resume = {resume}\nretries = {retries}\ntimeout = {timeout}ms\n"
            ));
            if retries > 0 {
                let address = second.address;
                sections.push_str(&format!(
                    "[endpoint {name}-2]\nservice = {name}\naddress = {address}\n\
                     data-centre = dc-1\nslots = 4\n"
                ));
            }
        }
        let healthy = fleet.stand_ins.first().unwrap().address;
        let key = Hash::of(&[b"alpha"]).hex();
        let text = format!(
            "[customer alpha]\nkey-sha256 = {key}\nservices = {}\n\
             [service booking]\ncost = request\n\
             [endpoint booking-1]\nservice = booking\naddress = {healthy}\n\
             data-centre = dc-1\nslots = 4\n{sections}\
             [rule booking]\nthen = send\nservice = booking\n",
            names.join(", ")
        );
        let (status, _, error) = fleet.apply(&text, &[]);
        assert!(status.success(), "{error}");
        fleet.wait_version(fleet.version());
        Setup {
            fleet,
            cases,
            _second: second,
        }
    }
}

impl Setup {
    fn router(&self) -> SocketAddr {
        self.fleet.callers("r1")
    }

    /// Waits until each endpoint serves a request that it answers well.
    fn wait_served(&self) {
        let router = self.router();
        for (case, _) in &self.cases {
            eventually("an endpoint serves", || {
                let headers = [("case", case.name)];
                http::send(router, "GET", "/ready", "alpha", &headers, "").status == 200
            });
        }
        eventually("the healthy service serves", || {
            http::get(router, "/healthy", "alpha").status == 200
        });
    }

    /// Runs all cases, `at_once` at a time, and returns what was wrong.
    fn run(&self, at_once: usize) -> Vec<String> {
        let router = self.router();
        let pid = self.fleet.vm("r1").pid();
        let baseline = resident_bytes(pid).unwrap_or(0);
        let (is_over, peak) = (AtomicBool::new(false), AtomicU64::new(0));
        let (wrong, next) = (Mutex::new(Vec::new()), Mutex::new(self.cases.iter()));
        let add = |text: String| {
            lock(&wrong).push(text);
        };
        std::thread::scope(|scope| {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    peak.fetch_max(resident_bytes(pid).unwrap_or(0), Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    if !is_served(router, "/healthy", &[]) {
                        add("another service is not served".to_owned());
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
            let _set_on_drop = SetOnDrop(&is_over);
            std::thread::scope(|scope| {
                for _ in 0..at_once {
                    scope.spawn(|| loop {
                        let taken = lock(&next).next();
                        let Some((case, endpoint)) = taken else { break };
                        check(router, case, endpoint).into_iter().for_each(add);
                    });
                }
            });
        });
        let growth = peak.load(Ordering::Relaxed).saturating_sub(baseline);
        let offered: u64 = self.cases.iter().map(|(_, e)| e.offered()).sum();
        println!("memory grew by {growth} bytes, {offered} bytes were offered");
        if growth > GROWTH_MAX {
            add(format!("memory grew by {growth} bytes"));
        }
        wrong.into_inner().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a case and returns what was wrong with it.
fn check(router: SocketAddr, case: &Case, endpoint: &Endpoint) -> Vec<String> {
    let label = format!("{:_>8}", case.name.len());
    let name = case.name;
    let received = match call(router, (case, endpoint), &label, case.reading) {
        Ok(received) => received,
        Err(error) => return vec![format!("{name}: no end: {error}")],
    };
    let mut wrong = Vec::new();
    let mut add = |text: &str| wrong.push(format!("{name}: {text}: {received:?}"));
    let is_failure = received.status >= 500;
    let is_as_expected = match case.expected {
        Expected::Failure => is_failure && received.is_complete && received.outcome == "unknown",
        // A body that breaks off at once takes its head with it.
        Expected::Cut => matches!(received.status, 0 | 200) && !received.is_complete,
        Expected::Whole => {
            received.status == 200 && received.is_complete && received.text.contains(&label)
        }
    };
    if !is_as_expected {
        add("not as expected");
    }
    if case.reading != Reading::Late && received.took > TIMEOUT + GRACE {
        add("ended late");
    }
    let overdue = TIMEOUT + GRACE + CHECK_INTERVAL;
    let deadline = Instant::now() + overdue;
    let calls = loop {
        let calls = endpoint.calls(&label);
        if calls.iter().all(|c| c.closed.is_some()) || Instant::now() >= deadline {
            break calls;
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    match calls.as_slice() {
        [only] => match only.closed {
            Some(closed) if closed.duration_since(only.began) <= overdue => {}
            _ => add(&format!(
                "the endpoint's connection was not closed: {only:?}"
            )),
        },
        _ => add(&format!("{} calls reached the endpoint", calls.len())),
    }
    wrong
}

/// Guards against a router that buffers what an endpoint writes without end, passes it on as a
/// complete answer, or holds the connection past the time-out.
#[test]
fn ends_answers_that_are_written_without_end() {
    let setup = Setup::start(cases(), Pace::Burst, "");
    setup.wait_served();
    let wrong = setup.run(6);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    let offered: u64 = setup.cases.iter().map(|(_, e)| e.offered()).sum();
    assert!(offered >= OFFERED_MIN, "{offered} bytes offered");
}

/// Guards against an answer that never ends since each of its pieces comes in time.
#[test]
fn ends_answers_that_are_written_slowly_without_end() {
    let setup = Setup::start(cases(), Pace::Slow, "");
    setup.wait_served();
    let wrong = setup.run(setup.cases.len());
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a deadline that is not looked at while the endpoint always has more to read.
#[test]
fn ends_answers_whose_endpoint_is_always_ahead_of_the_caller() {
    let setup = Setup::start(full_cases(), Pace::Full, "");
    setup.wait_served();
    let wrong = setup.run(setup.cases.len());
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    let offered: u64 = setup.cases.iter().map(|(_, e)| e.offered()).sum();
    assert!(offered >= OFFERED_MIN, "{offered} bytes offered");
}

/// Guards against bytes after an answer that are taken for the answer to the next request on the
/// connection, and against one that runs twice or is denied to have run for them.
#[test]
fn takes_no_bytes_after_an_answer_for_the_next_one() {
    for pace in [Pace::Burst, Pace::Slow] {
        let followed = |case: &Case| case.expected == Expected::Whole;
        let cases = cases().into_iter().filter(followed).collect();
        let setup = Setup::start(cases, pace, "");
        setup.wait_served();
        for (case, endpoint) in &setup.cases {
            let mut whole = 0;
            for n in 0..20 {
                let label = format!("{n:_>8}");
                let received = call(setup.router(), (case, endpoint), &label, Reading::Eager);
                let received = received.unwrap();
                let calls = endpoint.calls(&label).len();
                let is_own = received.text.contains(&label) && received.is_complete;
                let name = (case.name, pace);
                match received.status {
                    200 => assert!(is_own && calls == 1, "{name:?}: {received:?}"),
                    status => assert!(status == 0 || status >= 500, "{name:?}: {received:?}"),
                }
                assert!(calls <= 1, "{name:?}: {label} ran {calls} times");
                if received.outcome == "not-run" {
                    assert_eq!(calls, 0, "{name:?}: {received:?}");
                }
                whole += usize::from(received.status == 200);
            }
            println!("{} {pace:?}: {whole} of 20 answers were whole", case.name);
        }
    }
}

/// Guards against an idempotent request that fails with the endpoint whose head has no end although
/// another one serves.
#[test]
fn sends_an_idempotent_request_elsewhere_when_a_head_has_no_end() {
    // Interim responses are allowed in any number, so that only the time-out ends them.
    let fails_at_once = |case: &Case| case.expected == Expected::Failure && case.name != "interim";
    let cases = cases().into_iter().filter(fails_at_once);
    let cases = cases.map(|case| Case { retries: 2, ..case }).collect();
    let setup = Setup::start(cases, Pace::Burst, "");
    setup.wait_served();
    for (case, endpoint) in &setup.cases {
        for n in 0..8 {
            let label = format!("{n:_>8}");
            let received = call(setup.router(), (case, endpoint), &label, Reading::Eager).unwrap();
            let name = case.name;
            assert!(
                received.status == 200 && received.is_complete,
                "{name}: {received:?}"
            );
            assert_eq!(received.text, "ok", "{name}");
            assert!(received.took <= TIMEOUT + GRACE, "{name}: {received:?}");
        }
        let calls = lock(&endpoint.state.calls).len();
        assert!(calls > 0, "{}: no request has met the endpoint", case.name);
    }
}

/// Guards against an endpoint that is given up, or a router that runs out of memory, because a load
/// report has no end.
#[test]
fn serves_at_endpoints_whose_load_reports_have_no_end() {
    for pace in [Pace::Burst, Pace::Slow] {
        let setup = Setup::start(cases(), pace, &format!("load = {ENDLESS_PATH}"));
        setup.wait_served();
        let pid = setup.fleet.vm("r1").pid();
        let baseline = resident_bytes(pid).unwrap();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(3) {
            for (case, _) in &setup.cases {
                let headers = [("case", case.name)];
                assert!(is_served(setup.router(), "/ready", &headers));
            }
            let growth = resident_bytes(pid).unwrap().saturating_sub(baseline);
            assert!(
                growth <= GROWTH_MAX,
                "{pace:?}: memory grew by {growth} bytes"
            );
        }
        for (case, endpoint) in &setup.cases {
            assert_closed_within(REPORT_TIMEOUT + GRACE, case.name, endpoint);
        }
    }
}

/// Checks that the connections of all calls that are older than a time were closed in it.
fn assert_closed_within(time: Duration, name: &str, endpoint: &Endpoint) {
    let calls = lock(&endpoint.state.calls).clone();
    assert!(!calls.is_empty(), "{name}: no call");
    for call in calls {
        let open = match call.closed {
            Some(closed) => closed.duration_since(call.began),
            None => call.began.elapsed(),
        };
        assert!(open <= time, "{name}: open for {open:?}");
    }
}

/// Guards against endpoints that are forgotten, a reader that is stuck, and memory that runs out,
/// because a page of the list of endpoints has no end.
#[test]
fn serves_while_the_list_of_endpoints_has_no_end() {
    let list = Endpoint::start("/endpoints", None).unwrap();
    let mut fleet = Fleet::start_unconfigured(Plan {
        control: 1,
        routers: 1,
        models: 0,
        plain_services: 2,
        settings: format!("[listing]\naddress = {}\nevery = 100ms\n", list.address),
        ..Plan::default()
    });
    let router = fleet.callers("r1");
    let page = |listed: &[usize]| {
        let row = |n: &usize| {
            serde_json::json!({
                "name": format!("booking-{n}"), "service": "booking", "data-centre": "dc-1",
                "address": fleet.stand_ins[*n].address, "slots": 4,
            })
        };
        let rows: Vec<_> = listed.iter().map(row).collect();
        serde_json::json!({"endpoints": rows, "next": null}).to_string()
    };
    *lock(&list.state.healthy_body) = page(&[0]);
    let key = Hash::of(&[b"alpha"]).hex();
    let text = format!(
        "[customer alpha]\nkey-sha256 = {key}\nservices = booking\n\
         [service booking]\ncost = request\n[rule booking]\nthen = send\nservice = booking\n"
    );
    let (status, _, error) = fleet.apply(&text, &[]);
    assert!(status.success(), "{error}");
    eventually("the listed endpoint serves", || {
        http::get(router, "/", "alpha").status == 200
    });
    let pid = fleet.vm("r1").pid();
    let baseline = resident_bytes(pid).unwrap();
    let chosen = [
        "garbage",
        "header-line",
        "length",
        "chunks",
        "chunk-size",
        "event-line",
    ];
    for pace in [Pace::Burst, Pace::Slow] {
        for case in cases().into_iter().filter(|c| chosen.contains(&c.name)) {
            *lock(&list.state.script) = Some(Script {
                pace,
                ..case.script
            });
            let began = Instant::now();
            while began.elapsed() < Duration::from_millis(700) {
                assert!(is_served(router, "/", &[]), "{}", case.name);
                let growth = resident_bytes(pid).unwrap().saturating_sub(baseline);
                assert!(
                    growth <= GROWTH_MAX,
                    "{}: memory grew by {growth} bytes",
                    case.name
                );
            }
        }
    }
    assert_closed_within(PAGE_TIMEOUT + GRACE, "list", &list);
    // A whole page is read, whatever comes after it.
    let after = page(&[1]);
    *lock(&list.state.script) = Some(Script {
        first: format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{after}",
            after.len()
        ),
        repeated: "x".to_owned(),
        pace: Pace::Slow,
    });
    fleet.kill_stand_in(0);
    eventually("the endpoint that is listed now serves", || {
        http::get(router, "/", "alpha").status == 200
    });
}

/// Guards against callers whose chunk sizes have no end, and that keep a router from serving others.
#[test]
fn serves_beside_uploads_whose_chunk_sizes_have_no_end() {
    let setup = Setup::start(Vec::new(), Pace::Full, "");
    setup.wait_served();
    let router = setup.router();
    let pid = setup.fleet.vm("r1").pid();
    let baseline = resident_bytes(pid).unwrap();
    let (is_over, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|scope| {
        let _set_on_drop = SetOnDrop(&is_over);
        for byte in ["0", " "] {
            for _ in 0..2 {
                let (is_over, sent) = (&is_over, &sent);
                scope.spawn(move || {
                    let block = byte.repeat(WRITE_BYTES);
                    while !is_over.load(Ordering::Relaxed) {
                        upload(router, block.as_bytes(), is_over, sent);
                    }
                });
            }
        }
        let (began, mut slowest) = (Instant::now(), Duration::ZERO);
        while began.elapsed() < Duration::from_secs(4) {
            let asked = Instant::now();
            assert!(is_served(router, "/healthy", &[]));
            slowest = slowest.max(asked.elapsed());
            let growth = resident_bytes(pid).unwrap().saturating_sub(baseline);
            assert!(growth <= GROWTH_MAX, "memory grew by {growth} bytes");
        }
        println!("the slowest of the others took {slowest:?}");
    });
    let sent = sent.load(Ordering::Relaxed);
    println!("{sent} bytes of chunk sizes were sent");
    assert!(sent >= OFFERED_MIN, "{sent} bytes were sent");
}

/// Sends a request whose first chunk size does not end, until the router closes the connection.
fn upload(router: SocketAddr, block: &[u8], is_over: &AtomicBool, sent: &AtomicU64) {
    let Ok(mut stream) = TcpStream::connect(router) else {
        return;
    };
    let head = "POST /upload HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\n\
                transfer-encoding: chunked\r\n\r\n0";
    let timeout = Some(Duration::from_millis(50));
    let mut written = stream.set_write_timeout(timeout);
    written = written.and_then(|()| stream.write_all(head.as_bytes()));
    while written.is_ok() && !is_over.load(Ordering::Relaxed) {
        written = match stream.write(block) {
            Ok(count) => {
                sent.fetch_add(count as u64, Ordering::Relaxed);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        };
    }
}
