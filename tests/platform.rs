//! The users' platform end to end: processes that discover each other through seeds, read
//! the platform's list of endpoints, and speak its formats to callers and operators.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

#[path = "harness/port.rs"]
mod port;
#[path = "harness/raw.rs"]
mod raw;

use port::fleet_port;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Path of the program under test.
const BINARY: &str = env!("CARGO_BIN_EXE_cowslipford");
/// Timeout for a condition that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of the next fleet in this test process; selects its loopback addresses.
static NEXT_FLEET_NUMBER: AtomicU8 = AtomicU8::new(0);

/// Polls a condition until it is true, and panics after `WAIT_TIMEOUT`.
fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let began = Instant::now();
    while !holds() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An HTTP server that calls a function for each request.
struct HttpServer {
    address: SocketAddr,
    server: Arc<tiny_http::Server>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl HttpServer {
    fn start<F>(answer: F) -> Self
    where
        F: Fn(tiny_http::Request) + Send + Sync + 'static,
    {
        let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let answer = Arc::new(answer);
        let threads = (0..4)
            .map(|_| {
                let (server, answer) = (server.clone(), answer.clone());
                std::thread::spawn(move || {
                    while let Ok(request) = server.recv() {
                        answer(request);
                    }
                })
            })
            .collect();
        HttpServer {
            address,
            server,
            threads,
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads.drain(..) {
            // A panic of the thread has already failed the test.
            let _ = thread.join();
        }
    }
}

/// Heads of the requests that endpoints have run.
type ReceivedHeads = Arc<Mutex<Vec<HashMap<String, String>>>>;

/// Starts an endpoint that records each request, and answers after the number of
/// milliseconds at the end of the path.
fn endpoint(received: ReceivedHeads) -> HttpServer {
    HttpServer::start(move |request| {
        let head: HashMap<String, String> = (request.headers().iter())
            .map(|h| {
                (
                    h.field.to_string().to_ascii_lowercase(),
                    h.value.to_string(),
                )
            })
            .collect();
        let wait = request
            .url()
            .rsplit('/')
            .next()
            .and_then(|n| n.parse().ok());
        std::thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
        let header = |name: &str, value: &str| {
            tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()).unwrap()
        };
        let mut response = tiny_http::Response::from_string("done");
        response.add_header(header("Attempt-Id", &head["attempt-id"]));
        response.add_header(header("Response-Signature", "signed"));
        received.lock().unwrap().push(head);
        // The client may have disconnected.
        let _ = request.respond(response);
    })
}

/// Starts an endpoint whose answer is practically endless; sets a flag once a write times
/// out or the connection is closed.
fn endless_endpoint(timeout: Duration) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let interrupted = Arc::new(AtomicBool::new(false));
    let flag = interrupted.clone();
    // The thread accepts connections until the test process ends.
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 4096];
            let Ok(_) = stream.read(&mut head) else {
                continue;
            };
            let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
            let id = text.split("attempt-id: ").nth(1).unwrap_or("x");
            let id = id.split('\r').next().unwrap_or("x");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: signed\r\n\
                 Content-Length: 1000000000\r\n\r\n"
            );
            stream.set_write_timeout(Some(timeout)).unwrap();
            let piece = [b'.'; 65536];
            let mut sent = stream.write_all(answer.as_bytes());
            while sent.is_ok() {
                sent = stream.write_all(&piece);
            }
            flag.store(true, Ordering::Relaxed);
        }
    });
    (address, interrupted)
}

/// A VM: its process, settings and addresses.
struct Vm {
    settings: PathBuf,
    child: Option<Child>,
    /// Address for callers of a router, or for release clients of a control VM.
    address: SocketAddr,
    /// Address of the readiness check, if the VM is a router.
    ready: Option<SocketAddr>,
}

impl Vm {
    fn start(&mut self) {
        let log = std::fs::File::create(self.settings.with_extension("log")).unwrap();
        let child = Command::new(BINARY)
            .args(["run", &self.settings.display().to_string()])
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.unwrap());
    }

    fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    fn is_ready(&self) -> bool {
        let url = format!("http://{}/any", self.ready.unwrap());
        let answer = minreq::get(url).with_timeout(2).send();
        answer.is_ok_and(|a| a.status_code == 200)
    }
}

/// Answer of a router.
struct Answer {
    status_code: u16,
    head: String,
    body: String,
}

/// Three control VMs and two routers, with two endpoints and the platform's list.
struct Fleet {
    folder: tempfile::TempDir,
    /// Second and third byte of the loopback addresses.
    network: (u8, u8),
    /// Last byte of the latest address.
    allocated_hosts: u8,
    seeds: Vec<SocketAddr>,
    control: Vec<Vm>,
    routers: Vec<Vm>,
    received: ReceivedHeads,
    endpoints: Vec<HttpServer>,
    /// Page that the platform serves as its list of endpoints.
    list: Arc<Mutex<String>>,
    platform: HttpServer,
}

impl Fleet {
    fn start() -> Self {
        // Chosen before the first process of this test process starts.
        fleet_port();
        let pid = std::process::id();
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        // Addresses from 127.200.0.0 upwards, which no other test uses.
        let network = (
            200 + u8::try_from(pid / 256 % 32).unwrap(),
            u8::try_from(pid % 256).unwrap(),
        );
        let list = Arc::new(Mutex::new(String::new()));
        let served_list = list.clone();
        let platform = HttpServer::start(move |request| {
            let page = served_list.lock().unwrap().clone();
            // The client may have disconnected.
            let _ = request.respond(tiny_http::Response::from_string(page));
        });
        let received = ReceivedHeads::default();
        let mut fleet = Fleet {
            folder: tempfile::tempdir().unwrap(),
            network,
            allocated_hosts: number * 16,
            seeds: Vec::new(),
            control: Vec::new(),
            routers: Vec::new(),
            endpoints: (0..2).map(|_| endpoint(received.clone())).collect(),
            received,
            list,
            platform,
        };
        fleet.set_listing(&["ready", "ready"]);
        let allocated_hosts: Vec<IpAddr> = (0..3).map(|_| fleet.host()).collect();
        fleet.seeds = allocated_hosts.iter().map(|ip| (*ip, 1).into()).collect();
        for ip in allocated_hosts {
            let vm = fleet.control_vm(ip, true);
            fleet.control.push(vm);
        }
        for _ in 0..2 {
            let vm = fleet.router();
            fleet.routers.push(vm);
        }
        for vm in fleet.control.iter_mut().chain(&mut fleet.routers) {
            vm.start();
        }
        fleet
    }

    /// Allocates a loopback address.
    fn host(&mut self) -> IpAddr {
        self.allocated_hosts += 1;
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.network.0,
            self.network.1,
            self.allocated_hosts,
        ))
    }

    /// Settings that control VMs and routers have in common.
    fn common(&self, ip: IpAddr) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        format!(
            "[vm]\ndata-centre = dc-1\nregion = north\ninterface = platform\ngrace = 8s\n\
             [link]\nlisten = {ip}:{}\nauthentication = none\n\
             [seeds]\naddresses = {}\n\
             [operators]\nlisten = {ip}:0\n\
             [listing]\naddress = {}\nevery = 200ms\n\
             [data-centres]\ndc-1 = north\n\
             [log]\nformat = json\n",
            fleet_port(),
            seeds.join(","),
            self.platform.address,
        )
    }

    /// Writes the settings of a VM.
    fn write(&self, ip: IpAddr, text: &str) -> PathBuf {
        let path = self.folder.path().join(format!("{ip}.ini"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// A control VM, which is not started yet.
    fn control_vm(&mut self, ip: IpAddr, first_start: bool) -> Vm {
        let address = SocketAddr::new(ip, fleet_port());
        let text = format!(
            "{}[control]\ndata = data-{ip}\nfirst-start = {first_start}\n\
             [releases]\nlisten = {address}\n",
            self.common(ip),
        );
        Vm {
            settings: self.write(ip, &text),
            child: None,
            address,
            ready: None,
        }
    }

    /// A router, which is not started yet.
    fn router(&mut self) -> Vm {
        let ip = self.host();
        let address = SocketAddr::new(ip, fleet_port());
        let ready = SocketAddr::new(self.host(), fleet_port());
        let text = format!(
            "{}[callers]\nlisten = {address}\n[readiness]\nlisten = {ready}\n\
             [router]\nrevocation = 5s\n[scheduler]\n",
            self.common(ip),
        );
        Vm {
            settings: self.write(ip, &text),
            child: None,
            address,
            ready: Some(ready),
        }
    }

    /// Sets the states of the two endpoints in the platform's list; `gone` omits one.
    fn set_listing(&self, states: &[&str]) {
        self.set_listing_with_copies(states, 1);
    }

    /// Sets the states in a list that names each endpoint `copies` times, by different ids.
    fn set_listing_with_copies(&self, states: &[&str], copies: usize) {
        let endpoints = self.endpoints.iter().zip(states).enumerate();
        let endpoints = endpoints.filter(|(_, (_, state))| **state != "gone");
        let line = |n: usize, name: &str, address: SocketAddr, state: &str| {
            format!(
                r#"{{"id":"i-{n}{name}","service":"app","address":"{address}","zone":"dc-1",
                    "version":"v1","slots":4,"state":"{state}","cold_remaining_ms":0}}"#,
            )
        };
        let lines: Vec<String> = endpoints
            .flat_map(|(n, (endpoint, state))| {
                (0..copies).map(move |copy| {
                    let name = match copy {
                        0 => String::new(),
                        _ => format!("-{copy}"),
                    };
                    line(n, &name, endpoint.address, state)
                })
            })
            .collect();
        let page = format!(r#"{{"instances":[{}],"next":null}}"#, lines.join(","));
        *self.list.lock().unwrap() = page;
    }

    /// Sets a list with a single endpoint, at an address.
    fn set_listing_of_address(&self, address: SocketAddr) {
        let page = format!(
            r#"{{"instances":[{{"id":"i-0","service":"app","address":"{address}","zone":"dc-1",
            "version":"v1","slots":4,"state":"ready","cold_remaining_ms":0}}],"next":null}}"#
        );
        *self.list.lock().unwrap() = page;
    }

    /// Sends a request and does not read its answer.
    fn call_unread(&self, router: usize, deadline_ms: u64) -> TcpStream {
        let mut stream = TcpStream::connect(self.routers[router].address).unwrap();
        let head = format!(
            "POST /a/0 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-2\r\nKey: k1\r\n\
             Deadline-Ms: {deadline_ms}\r\nContent-Length: 1\r\n\r\nx"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream
    }

    fn log(&self, router: usize) -> String {
        let path = self.routers[router].settings.with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a configuration to a control VM; returns the status code, 0 without an answer.
    fn put(&self, n: usize, text: &str) -> u16 {
        let url = format!("http://{}/configuration", self.control[n].address);
        let sent = minreq::put(url).with_body(text).with_timeout(4).send();
        sent.map_or(0, |a| a.status_code)
    }

    /// Sends a configuration until it is accepted.
    fn put_until_accepted(&self, n: usize, text: &str) {
        eventually("a configuration is accepted", || self.put(n, text) == 200);
    }

    /// Reads the configuration back from a control VM.
    fn read(&self, n: usize) -> Option<String> {
        let url = format!("http://{}/configuration", self.control[n].address);
        let answer = minreq::get(url).with_timeout(4).send().ok()?;
        let text = answer.as_str().ok()?.to_owned();
        (answer.status_code == 200).then_some(text)
    }

    fn wait_ready(&self) {
        for router in &self.routers {
            eventually("a router is ready", || router.is_ready());
        }
    }

    /// Sends a request to a router on a new connection; `None` if that fails.
    fn call(&self, router: usize, path: &str, key: &str) -> Option<Answer> {
        let mut stream = TcpStream::connect(self.routers[router].address).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nKey: {key}\r\n\
             Tenant: forged\r\nDeadline-Ms: 8000\r\nContent-Length: 1\r\n\
             Connection: close\r\n\r\nx"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        Some(Answer {
            status_code: head.split(' ').nth(1)?.parse().ok()?,
            head: head.to_owned(),
            body: body.to_owned(),
        })
    }

    /// Status code of a request to a router; 0 without an answer.
    fn status(&self, router: usize, path: &str, key: &str) -> u16 {
        self.call(router, path, key).map_or(0, |a| a.status_code)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in self.control.iter_mut().chain(&mut self.routers) {
            vm.kill();
            if std::thread::panicking() {
                let log = vm.settings.with_extension("log");
                println!("--- {}", log.display());
                println!("{}", std::fs::read_to_string(log).unwrap_or_default());
            }
        }
    }
}

/// A configuration with one route, one service and one customer.
fn configuration(version: u64, keys: &str, prefix: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"a.example",
        "path_prefix":"{prefix}","kind":"unsafe","timeout_ms":8000,"service":"app",
        "max_attempts":1}}],"services":[{{"name":"app","health_path":"/health"}}],
        "limits":{{}},"tenants":[{{"name":"alpha","api_keys":[{keys}]}}]}}"#
    )
}

#[test]
fn can_serve_a_configuration_and_requests_on_the_users_platform() {
    let fleet = Fleet::start();
    // A router without a configuration answers 503, never 404 or 401.
    eventually("a router answers", || fleet.status(0, "/a/1", "k1") == 503);
    let first = configuration(3, r#""k1""#, "/a/");
    fleet.put_until_accepted(1, &first);
    fleet.wait_ready();
    eventually("a request is served", || {
        fleet.status(0, "/a/0", "k1") == 200
    });
    let answer = fleet.call(1, "/a/0", "k1").unwrap();
    assert_eq!(answer.body, "done");
    assert!(answer.head.contains("response-signature: signed"));
    let head = fleet.received.lock().unwrap().last().unwrap().clone();
    assert_eq!(head["tenant"], "alpha");
    assert!(!head.contains_key("key"));
    assert!(head["expected-instance"].starts_with("i-"));
    assert!(head["deadline-ms"].parse::<u64>().unwrap() <= 8000);
    assert_eq!(fleet.status(0, "/a/0", "k2"), 401);
    assert_eq!(fleet.status(0, "/b/0", "k1"), 404);
    // Any control VM returns the configuration as it was sent; an older version is ignored.
    eventually("the configuration is read back", || {
        (0..3).all(|n| fleet.read(n).as_deref() == Some(&*first))
    });
    let second = configuration(9, r#""k2""#, "/b/");
    fleet.put_until_accepted(2, &second);
    assert_eq!(fleet.put(0, &configuration(5, r#""k1""#, "/a/")), 200);
    assert_eq!(fleet.put(0, "{"), 400);
    eventually("the newer configuration is in force", || {
        (0..2).all(|n| fleet.status(n, "/b/0", "k2") == 200 && fleet.status(n, "/a/0", "k2") == 404)
    });
    assert_eq!(fleet.read(0).as_deref(), Some(&*second));
    // `explain` finds the cause of a failed request in the logs of the processes.
    let logs = fleet
        .routers
        .iter()
        .map(|vm| vm.settings.with_extension("log"));
    let explained = Command::new(BINARY)
        .args(["explain", "id-1"])
        .args(logs)
        .output()
        .unwrap();
    let text = String::from_utf8(explained.stdout).unwrap();
    assert!(text.contains("No rule matches it at version"), "{text}");
    assert!(text.contains("request-ended") && text.contains("version-in-force"));
}

#[test]
fn can_stop_sending_to_an_endpoint_that_is_listed_as_draining() {
    // Symptom: a draining endpoint gets new requests until it is gone.
    // Sequence: the platform's list shows the endpoint as draining.
    // Cause: routers use an outdated list, or can update it only through a leader.
    let mut fleet = Fleet::start();
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    fleet.wait_ready();
    eventually("requests are served", || {
        fleet.status(0, "/a/0", "k1") == 200
    });
    // Without a leader: updates of the list must not need a quorum.
    fleet.control[1].kill();
    fleet.control[2].kill();
    fleet.set_listing(&["draining", "ready"]);
    let last = || fleet.received.lock().unwrap().last().unwrap()["expected-instance"].clone();
    eventually("only the other endpoint gets requests", || {
        (0..10).all(|n| fleet.status(n % 2, "/a/0", "k1") == 200 && last() == "i-1")
    });
}

/// Guards against a list of endpoints that every process must hold in full: routers only know
/// endpoints that they are granted, schedulers those of their shards, and both learn that an
/// endpoint is leaving without a leader.
#[test]
fn can_serve_when_the_list_is_too_long_for_a_single_process() {
    const NAMES_PER_ENDPOINT: usize = 300;
    let mut fleet = Fleet::start();
    fleet.set_listing_with_copies(&["ready", "ready"], NAMES_PER_ENDPOINT);
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    fleet.wait_ready();
    let all_served = || (0..8).all(|n| fleet.status(n % 2, "/a/0", "k1") == 200);
    eventually("requests are served", all_served);
    fleet.control[1].kill();
    fleet.control[2].kill();
    fleet.set_listing_with_copies(&["draining", "ready"], NAMES_PER_ENDPOINT);
    let last = || fleet.received.lock().unwrap().last().unwrap()["expected-instance"].clone();
    eventually("only the remaining endpoint gets requests", || {
        (0..10).all(|n| fleet.status(n % 2, "/a/0", "k1") == 200 && last().starts_with("i-1"))
    });
}

/// A signed response of an endpoint of the platform; `ID` stands for the request's identity.
fn signed(status: &str, line: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Text\r\nAttempt-Id: ID\r\nResponse-Signature: signed\r\n{line}\r\n\r\n{body}"
    )
}

/// Starts a fleet with one endpoint, which answers requests to `/a/N` with the response of that
/// number, and all others well.
fn fleet_with(responses: Vec<String>) -> (Fleet, raw::Server) {
    let other = signed("200", "Content-Length: 5\r\nConnection: close", "hello");
    let endpoint = raw::Server::start(move |mut request| {
        let number = request.head.path().strip_prefix("/a/");
        let number = number.and_then(|n| n.parse::<usize>().ok());
        let response = number.and_then(|n| responses.get(n)).unwrap_or(&other);
        let response = response.replace("ID", request.head.header("attempt-id"));
        request.answer(response.as_bytes())
    });
    let fleet = Fleet::start();
    fleet.set_listing_of_address(endpoint.address);
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    fleet.wait_ready();
    (fleet, endpoint)
}

/// Waits until the endpoint serves a request well, so that it is not ejected for failures in a row.
fn restore(fleet: &Fleet) {
    eventually("the endpoint serves", || {
        fleet.status(0, "/a/sound", "k1") == 200
    });
}

/// Sends requests until the endpoint has one; returns the answer to that.
fn answer_of(fleet: &Fleet, endpoint: &raw::Server, path: &str) -> Answer {
    let mut answer = None;
    eventually("the endpoint has the request", || {
        answer = fleet.call(0, path, "k1");
        endpoint.count_path(path) > 0
    });
    answer.unwrap()
}

/// Guards against a signed response with a malformed head that reaches the caller as a complete one.
#[test]
fn refuses_a_signed_response_with_a_malformed_head() {
    let chunks = "5\r\nhello\r\n0\r\n\r\n";
    let statuses = ["000", "099", "101", "600", "999", "20"];
    let statuses = statuses.map(|status| signed(status, "Content-Length: 5", "hello"));
    let codings = [
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding:",
        "Transfer-Encoding: chunkd\r\nContent-Length: 15",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
    ];
    let codings = codings.map(|line| signed("200", line, chunks));
    let lines = [
        "Content-Length: 5x",
        "Content-Length: 5, 6",
        "Content-Length: 5\r\nno field",
        "Content-Length: 5\r\nX Y: 1",
        "Content-Length: 5\r\nX\u{1}Y: 1",
    ];
    let lines = lines.map(|line| signed("200", line, "hello"));
    let responses = [&statuses[..], &codings, &lines].concat();
    let (fleet, endpoint) = fleet_with(responses.clone());
    for (n, response) in responses.iter().enumerate() {
        restore(&fleet);
        let path = format!("/a/{n}");
        let answer = answer_of(&fleet, &endpoint, &path);
        assert_eq!(answer.status_code, 502, "{response:?}: {}", answer.head);
        assert!(!answer.head.contains("signed") && !answer.body.contains("hello"));
        assert!(answer.body.contains("\"unknown\""), "{}", answer.body);
        assert_eq!(endpoint.count_path(&path), 1, "{response:?}");
    }
}

/// Guards against signed, well-formed responses that are refused, however their ends are marked.
#[test]
fn passes_signed_well_formed_responses_on() {
    let chunks = "5\r\nhello\r\n0\r\n\r\n";
    let responses = [
        signed("200", "Content-Length: 5", "hello"),
        signed("200", "content-length: 5, 5", "hello"),
        signed("200", "TRANSFER-ENCODING: Chunked", chunks),
        signed("200", "X-Kind: close", "hello"),
        signed("200", "X-Kind: old", "hello").replace("HTTP/1.1", "HTTP/1.0"),
        signed("404", "Content-Length: 5", "hello"),
        signed("204", "X-Kind: empty", ""),
        signed("304", "Content-Length: 5", ""),
    ];
    let (fleet, endpoint) = fleet_with(responses.to_vec());
    for (n, response) in responses.iter().enumerate() {
        restore(&fleet);
        let answer = answer_of(&fleet, &endpoint, &format!("/a/{n}"));
        let status = response.split(' ').nth(1).unwrap();
        assert_eq!(answer.status_code.to_string(), status, "{response:?}");
        let body = response.contains("hello");
        assert!(answer.head.contains("response-signature: signed"));
        assert_eq!(answer.body.contains("hello"), body, "{response:?}");
    }
}

/// Sends long uploads to an endpoint that writes a part of a signed response before it reads them, and
/// checks that no caller gets that part as a whole one.
fn assert_early_response_is_cut<F>(end: F)
where
    F: Fn(&TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
{
    let endpoint = raw::Server::start(move |request| {
        let part = signed("200", "X-Kind: close", "hel");
        let part = part.replace("ID", request.head.header("attempt-id"));
        request.stream.write_all(part.as_bytes())?;
        end(request.stream)
        // The unread body resets the connection.
    });
    let mut fleet = Fleet::start();
    fleet.set_listing_of_address(endpoint.address);
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    fleet.wait_ready();
    let router = &mut fleet.routers[0];
    router.kill();
    let text = std::fs::read_to_string(&router.settings).unwrap();
    let text = text.replace("[callers]\n", "[callers]\nbody-max = 16777216\n");
    std::fs::write(&router.settings, text).unwrap();
    router.start();
    eventually("the router is ready", || fleet.routers[0].is_ready());
    // More than the connection's buffers take.
    let body = vec![b'x'; 12 << 20];
    for n in 0..4 {
        let path = format!("/a/{n}");
        let mut answer = Vec::new();
        eventually("the endpoint has the request", || {
            let mut stream = TcpStream::connect(fleet.routers[0].address).unwrap();
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            let head = format!(
                "POST {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: id-1\r\nKey: k1\r\n\
                 Deadline-Ms: 8000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                body.len()
            );
            answer.clear();
            // A router that is late turns the request away.
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&body);
            let _ = stream.read_to_end(&mut answer);
            endpoint.count_path(&path) > 0
        });
        let text = String::from_utf8_lossy(&answer);
        let is_whole = text.starts_with("HTTP/1.1 200") && text.ends_with("\r\n0\r\n\r\n");
        assert!(!is_whole, "{text}");
    }
}

/// Guards against a part of a signed response that looks complete, since the endpoint answers while it
/// gets the request and resets the connection.
#[test]
fn shows_that_a_signed_early_response_was_reset_during_the_upload() {
    assert_early_response_is_cut(|_| {
        std::thread::sleep(Duration::from_millis(100));
        Ok(())
    });
}

/// Guards against a part of a signed response that looks complete, since the endpoint has ended its
/// side of the connection in order although it had not got the whole request.
#[test]
fn shows_that_a_signed_early_response_was_ended_before_the_upload() {
    assert_early_response_is_cut(|stream| {
        stream.shutdown(Shutdown::Write)?;
        std::thread::sleep(Duration::from_millis(300));
        Ok(())
    });
}

/// Guards against a caller that does not read its answer and thereby occupies a slot of the
/// endpoint, and memory for the buffered answer, indefinitely.
#[test]
fn can_end_an_answer_that_its_caller_does_not_read() {
    let fleet = Fleet::start();
    let (address, interrupted) = endless_endpoint(Duration::from_secs(3600));
    fleet.set_listing_of_address(address);
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    fleet.wait_ready();
    let mut callers = Vec::new();
    eventually("the endpoint's connection is closed", || {
        if callers.len() < 20 {
            callers.push(fleet.call_unread(0, 1500));
        }
        std::thread::sleep(Duration::from_millis(250));
        interrupted.load(Ordering::Relaxed)
    });
    assert!(fleet.log(0).contains("answers-unread"));
}

/// Guards against counting an endpoint as failed because it aborts answers that their
/// callers do not read.
#[test]
fn can_distinguish_a_slow_caller_from_an_endpoint_that_aborts() {
    let fleet = Fleet::start();
    let (address, interrupted) = endless_endpoint(Duration::from_millis(1200));
    fleet.set_listing_of_address(address);
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    fleet.wait_ready();
    // A router may be ready before an accepted configuration reaches it. A call that it then
    // refuses keeps its connection open, and would delay the reading of the other answers.
    eventually("the configuration is in force", || {
        fleet.log(0).contains("version-in-force")
    });
    let mut callers = Vec::new();
    eventually("the endpoint aborts the answer", || {
        if callers.len() < 4 {
            callers.push(fleet.call_unread(0, 8000));
        }
        std::thread::sleep(Duration::from_millis(500));
        interrupted.load(Ordering::Relaxed)
    });
    for mut caller in callers {
        caller.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut all = Vec::new();
        // The answer is incomplete; whether it ends by a close or a reset is irrelevant.
        let _ = caller.read_to_end(&mut all);
    }
    eventually("the log attributes the failure to the caller", || {
        fleet.log(0).contains("caller-slow")
    });
    assert!(!fleet.log(0).contains("endpoint-broke-off"));
    assert!(!fleet.log(0).contains("endpoint-ejected"));
}

#[test]
fn can_stop_a_router_without_cutting_a_request() {
    // Symptom: a request in progress is cut, or a late one is accepted and then abandoned.
    // Sequence: SIGTERM while a request is in progress and others still arrive.
    // Cause: a stop that closes open connections, or accepts requests that cannot end in
    // the grace period.
    let fleet = Fleet::start();
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    fleet.wait_ready();
    eventually("requests are served", || {
        fleet.status(0, "/a/0", "k1") == 200
    });
    std::thread::scope(|scope| {
        let slow = scope.spawn(|| fleet.status(0, "/a/5000", "k1"));
        eventually("the request is in progress", || {
            fleet.received.lock().unwrap().len() > 1 || {
                std::thread::sleep(Duration::from_millis(300));
                true
            }
        });
        fleet.routers[0].signal("-TERM");
        eventually("the router is not ready", || !fleet.routers[0].is_ready());
        // Callers that do not know of the stop yet are still served.
        assert_eq!(fleet.status(0, "/a/0", "k1"), 200);
        eventually("the router refuses new requests", || {
            let answer = fleet.call(0, "/a/0", "k1");
            answer.is_some_and(|a| a.status_code == 503 && a.body.contains("stopping"))
        });
        // A request that is refused on arrival is also logged with its caller's id.
        let log = fleet.routers[0].settings.with_extension("log");
        eventually("the log contains the refused request", || {
            let text = std::fs::read_to_string(&log).unwrap();
            let refused = |l: &str| l.contains(r#""reason":"stopping""#) && l.contains("id-1");
            text.lines().any(refused)
        });
        assert_eq!(slow.join().unwrap(), 200);
    });
}

#[test]
fn can_replace_a_control_vm_by_an_empty_one_at_another_address() {
    // Symptom: after a replacement, the next loss of a control VM blocks all changes, or
    // loses an accepted one.
    // Sequence: a control VM is lost for good and an empty one starts at another address;
    // then a second of the original VMs is lost.
    // Cause: the new VM is never added to the voters, or the lost one is never removed.
    let mut fleet = Fleet::start();
    let first = configuration(1, r#""k1""#, "/a/");
    fleet.put_until_accepted(0, &first);
    fleet.control[2].kill();
    let ip = fleet.host();
    let vm = fleet.control_vm(ip, false);
    fleet.control.push(vm);
    fleet.control[3].start();
    eventually("the new VM has the accepted configuration", || {
        fleet.read(3).as_deref() == Some(&*first)
    });
    let log = |n: usize| {
        let path = fleet.control[n].settings.with_extension("log");
        std::fs::read_to_string(path).unwrap()
    };
    let name = format!("vm-{}", ip.to_string().replace('.', "-"));
    eventually("the lost VM is removed from the members", || {
        (0..2).any(|n| {
            let log = log(n);
            let last = log.lines().rfind(|l| l.contains("members-changed"));
            last.is_some_and(|l| l.contains(&name) && l.matches("vm-").count() == 3)
        })
    });
    fleet.control[1].kill();
    let second = configuration(2, r#""k1""#, "/b/");
    fleet.put_until_accepted(3, &second);
    eventually("the configuration is read back", || {
        fleet.read(0).as_deref() == Some(&*second)
    });
    fleet.wait_ready();
    eventually("the routers use the new configuration", || {
        fleet.status(0, "/b/0", "k1") == 200
    });
}

/// A configuration padded to a size with trailing blanks, which have no meaning.
fn padded(version: u64, prefix: &str, bytes: usize) -> String {
    let mut text = configuration(version, r#""k1""#, prefix);
    let blanks = bytes.saturating_sub(text.len());
    text.extend(std::iter::repeat_n(' ', blanks));
    text
}

#[test]
fn can_accept_changes_after_a_configuration_larger_than_a_message() {
    // Symptom: no change is accepted any more, and the leader logs `message-lost`,
    // "5243038 bytes, 4194304 are allowed".
    // Sequence: one of three control VMs is down, and a configuration of 5 MB is sent.
    // Cause: control VMs accepted configurations of up to 16 MB, but a message between
    // processes holds 4 MB. The leader appended the configuration to its log, could not
    // replicate it and lost its lease; the other VM's log was behind, so it could not be
    // elected.
    let mut fleet = Fleet::start();
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    eventually("all control VMs have the configuration", || {
        (0..3).all(|n| fleet.read(n).is_some())
    });
    fleet.control[2].kill();
    // Once each has accepted a change, both know the leader.
    for n in 0..2 {
        fleet.put_until_accepted(n, &configuration(2, r#""k1""#, "/a/"));
    }
    let large = padded(3, "/b/", 5 * 1024 * 1024);
    let statuses: Vec<u16> = (0..2).map(|n| fleet.put(n, &large)).collect();
    let next = configuration(4, r#""k1""#, "/c/");
    fleet.put_until_accepted(0, &next);
    eventually("the configuration is read back", || {
        (0..2).all(|n| fleet.read(n).as_deref() == Some(&*next))
    });
    assert_eq!(statuses, [413; 2]);
}

#[cfg(target_os = "linux")]
#[test]
fn can_bound_the_memory_of_concurrent_configuration_uploads() {
    // Symptom: a control VM exceeds its memory limit of 256 MB.
    // Sequence: many clients upload large configurations at the same time.
    // Cause: each of up to 256 connections could buffer a body of megabytes until its last
    // byte arrived; 70 bodies of 2.4 MB took more than 168 MB.
    const BODY_COUNT: usize = 70;
    const BODY_BYTES: usize = 2_400_000;
    const PEAK_LIMIT_KB: u64 = 128 * 1024;
    let fleet = Fleet::start();
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    let address = fleet.control[0].address;
    // The body is not a valid configuration, so only its buffering takes memory.
    let body = vec![b'{'; BODY_BYTES];
    let send_all_but_last_byte = || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_write_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let head = format!("PUT /configuration HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        // The control VM may refuse the request and close the connection meanwhile.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&body[1..]);
        stream
    };
    let streams: Vec<TcpStream> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..BODY_COUNT)
            .map(|_| scope.spawn(send_all_but_last_byte))
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    for mut stream in streams {
        let _ = stream.write_all(b"{");
        let _ = stream.read(&mut [0; 64]);
    }
    let id = fleet.control[0].child.as_ref().unwrap().id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|l| l.split_whitespace().next()).unwrap();
    println!("peak memory: {peak} kB");
    assert!(peak.parse::<u64>().unwrap() < PEAK_LIMIT_KB);
    // The control VM accepts uploads again.
    fleet.put_until_accepted(0, &configuration(2, r#""k1""#, "/b/"));
}

/// Guards against refused requests that `explain` does not find by their caller's own id: a
/// connection beyond those that a router serves is refused without serving its request.
#[test]
fn can_refuse_a_connection_with_the_request_id_of_its_caller() {
    let mut fleet = Fleet::start();
    fleet.wait_ready();
    fleet.put_until_accepted(0, &configuration(1, r#""k1""#, "/a/"));
    let router = &mut fleet.routers[0];
    router.kill();
    let text = std::fs::read_to_string(&router.settings).unwrap();
    let text = text.replace("[callers]\n", "[callers]\nconnections = 40\n");
    let text = text.replace("[router]\n", "[router]\nanswer-excess = yes\n");
    std::fs::write(&router.settings, text).unwrap();
    router.start();
    eventually("the router is ready", || fleet.routers[0].is_ready());
    let ask = |id: &str, body: &str| {
        let mut stream = TcpStream::connect(fleet.routers[0].address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let head = format!(
            "POST /a/1 HTTP/1.1\r\nHost: a.example\r\nATTEMPT-id: {id}\r\nKey: k1\r\n\
             Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream
    };
    // Requests without their bodies take all places.
    let held: Vec<TcpStream> = (0..36).map(|_| ask("held", "x")).collect();
    let refused = |id: &str| {
        let mut text = String::new();
        ask(id, "xy").read_to_string(&mut text).unwrap();
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        text
    };
    let answer = refused("caller-17");
    assert!(answer.contains("\r\nattempt-id: caller-17\r\n"), "{answer}");
    // It waits for 3 s in all, so that it honours up to 1 s.
    let retry_after = answer.split("retry-after: ").nth(1).unwrap();
    let retry_after: f64 = retry_after.lines().next().unwrap().parse().unwrap();
    assert!((0.05..=1.0).contains(&retry_after), "{answer}");
    // A longer ID is left out; the request is refused all the same.
    let answer = refused(&"y".repeat(300));
    assert!(!answer.contains("attempt-id"), "{answer}");
    drop(held);
    let log = fleet.routers[0].settings.with_extension("log");
    let explain = || {
        let mut command = Command::new(BINARY);
        command.args(["explain", "caller-17", &log.display().to_string()]);
        command.output().unwrap()
    };
    eventually("the refusal is logged", || explain().status.success());
    let text = String::from_utf8(explain().stdout).unwrap();
    assert!(text.contains("router-busy"), "{text}");
}
