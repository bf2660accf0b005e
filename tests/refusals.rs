//! A router that answers the connections beyond what it can serve with a refusal
//! (`answer-excess = yes`).
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{eventually, http, Fleet, Plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout of a read; a router that neither answers nor closes fails the test.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections of callers that the router serves in these tests: 40, less 4 for refusals.
const SERVED_CONNECTIONS: usize = 36;

/// How a connection ended for its caller.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Answered(String),
    /// Closed without a response.
    Closed,
    /// Reset by the router.
    Reset,
}

impl End {
    /// The response; panics if there is none.
    fn answer(self) -> String {
        match self {
            End::Answered(answer) => answer,
            End::Closed | End::Reset => unreachable!("no response: {self:?}"),
        }
    }
}

/// A router on its own, with room for few connections.
fn start() -> (Fleet, SocketAddr) {
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        batch: 64,
        settings: "[router]\nanswer-excess = yes\n".to_owned(),
        ..Plan::default()
    });
    let settings = fleet.vm("r1").settings.clone();
    let text = std::fs::read_to_string(&settings).unwrap();
    let text = text.replace("[callers]\n", "[callers]\nconnections = 40\n");
    std::fs::write(&settings, text).unwrap();
    fleet.vm_mut("r1").kill();
    fleet.vm_mut("r1").start();
    let address = fleet.callers("r1");
    eventually("the router serves requests", || {
        http::get(address, "/assistant/ready", "alpha").status == 200
    });
    (fleet, address)
}

/// Takes all places of the router with streams in progress.
fn fill(address: SocketAddr) -> Vec<TcpStream> {
    let streams = (0..SERVED_CONNECTIONS).map(|_| {
        let mut stream = connect(address);
        stream
            .write_all(
                b"GET /assistant HTTP/1.1\r\nhost: a\r\nauthorization: Bearer alpha\r\n\
                  stand-in-tokens: 3000\r\nstand-in-pace: 10\r\n\r\n",
            )
            .unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).unwrap();
        assert_eq!(&head, b"HTTP/1.1 200");
        stream
    });
    streams.collect()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Reads until the router closes the connection.
fn read_end(stream: &mut TcpStream) -> End {
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Ok(_) if answer.is_empty() => End::Closed,
        Ok(_) => End::Answered(String::from_utf8(answer).unwrap()),
        Err(error) => {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "{error}");
            End::Reset
        }
    }
}

/// Sends a whole request with a body of some bytes.
fn ask(address: SocketAddr, method: &str, body_bytes: usize) -> End {
    let mut stream = connect(address);
    let body = "x".repeat(body_bytes);
    let request = format!(
        "{method} /booking HTTP/1.1\r\nhost: a\r\nauthorization: Bearer alpha\r\n\
         content-length: {body_bytes}\r\n\r\n{body}"
    );
    // The router may refuse the request before it has read everything.
    let _ = stream.write_all(request.as_bytes());
    read_end(&mut stream)
}

/// Checks a refusal: what it says, and that nothing is missing or follows.
fn check_refusal(answer: &str) {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    let header = |name: &str| {
        let lines = head.lines().map(str::to_ascii_lowercase);
        let mut values =
            lines.filter_map(|l| l.strip_prefix(&format!("{name}: ")).map(str::to_owned));
        values.next().unwrap_or_default()
    };
    assert_eq!(header("connection"), "close");
    assert_eq!(header("content-type"), "application/json");
    assert_eq!(header("cowslipford-outcome"), "not-run");
    assert_eq!(header("content-length"), body.len().to_string());
    let retry_after: f64 = header("retry-after").parse().unwrap();
    assert!((0.05..=2.5).contains(&retry_after), "{retry_after}");
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!(body["error"], "router-busy");
    assert_eq!(body["request"], header("cowslipford-request-id"));
}

/// Guards against callers that get no response, and no `Retry-After`, from a router that has no
/// room for them: it closed their connections unread.
#[test]
fn can_answer_callers_beyond_its_connections() {
    let (fleet, address) = start();
    let streams = fill(address);
    let calls = fleet.stand_ins.iter().map(|s| s.recorded_labels().len());
    let before: usize = calls.sum();
    for body_bytes in [0, 10, 20_000, 200_000] {
        for _ in 0..10 {
            check_refusal(&ask(address, "POST", body_bytes).answer());
        }
    }
    let answer = ask(address, "HEAD", 0).answer();
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
    let calls = fleet.stand_ins.iter().map(|s| s.recorded_labels().len());
    assert_eq!(calls.sum::<usize>(), before, "a refused request has run");
    drop(streams);
    eventually("a new caller is served again", || {
        http::get(address, "/booking", "alpha").status == 200
    });
    let log = fleet.vm("r1").log();
    assert!(log.contains("router-busy"), "no line of a refusal");
}

/// Failure: a refused request of another router takes a place among the callers that return here,
/// although its caller returns to that router.
#[test]
fn does_not_expect_callers_of_other_routers_to_return() {
    let (_fleet, address) = start();
    let _streams = fill(address);
    for _ in 0..20 {
        let mut stream = connect(address);
        stream
            .write_all(
                b"GET /booking HTTP/1.1\r\nhost: a\r\nauthorization: Bearer alpha\r\n\
                  Cowslipford-Forwarded: r9\r\n\r\n",
            )
            .unwrap();
        let answer = read_end(&mut stream).answer();
        check_refusal(&answer);
        let retry_after = answer.lines().find_map(|l| l.strip_prefix("retry-after: "));
        let spread = ["0.050", "0.100", "0.150", "0.200"];
        assert!(spread.contains(&retry_after.unwrap()), "{answer}");
    }
}

/// Failure: a caller sends its head byte by byte, or sends nothing. Guards against connections
/// that are refused for ever, and keep others from being refused.
#[test]
fn can_refuse_callers_that_send_their_head_slowly_or_never() {
    let (_fleet, address) = start();
    let _streams = fill(address);
    let mut silent = connect(address);
    let mut slow = connect(address);
    for byte in b"GET /book" {
        slow.write_all(&[*byte]).unwrap();
        std::thread::sleep(Duration::from_millis(30));
    }
    check_refusal(&read_end(&mut slow).answer());
    assert_eq!(read_end(&mut silent), End::Closed);
    // More silent callers than can be refused at once.
    let _silent: Vec<TcpStream> = (0..20).map(|_| connect(address)).collect();
    eventually("another caller is refused with a response", || {
        matches!(ask(address, "GET", 0), End::Answered(_))
    });
}

/// Failure: a head that is larger than the router reads.
#[test]
fn can_refuse_a_head_that_is_too_large() {
    let (_fleet, address) = start();
    let _streams = fill(address);
    let mut stream = connect(address);
    let head = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nfill: {}\r\n\r\n",
        "x".repeat(60_000)
    );
    stream.write_all(head.as_bytes()).unwrap();
    check_refusal(&read_end(&mut stream).answer());
}

/// Failure: callers don't read their responses, and keep their connections open. Guards against
/// them holding the places of others.
#[test]
fn can_refuse_callers_that_do_not_read_their_response() {
    let (_fleet, address) = start();
    let _streams = fill(address);
    let mut unread: Vec<TcpStream> = Vec::new();
    for _ in 0..100 {
        let mut stream = connect(address);
        // The body is incomplete, so that the router waits for its end.
        let head = b"POST /booking HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nx";
        stream.write_all(head).unwrap();
        unread.push(stream);
    }
    eventually("another caller is refused with a response", || {
        matches!(ask(address, "POST", 0), End::Answered(_))
    });
    let began = Instant::now();
    let closed = unread.iter_mut().map(read_end).collect::<Vec<_>>();
    assert!(began.elapsed() < READ_TIMEOUT, "connections stay open");
    let answered = closed.iter().filter(|end| matches!(end, End::Answered(_)));
    assert!(answered.count() > 80, "{closed:?}");
}

/// Failure: the router stops while connections are being refused. Guards against a stop that
/// waits for their callers.
#[test]
fn can_stop_while_callers_are_being_refused() {
    let (mut fleet, address) = start();
    let streams = fill(address);
    let mut silent = connect(address);
    let mut half = connect(address);
    // Connections are accepted in order, so that the first one is being refused, too.
    half.write_all(b"POST /booking HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx")
        .unwrap();
    let mut status = [0; 13];
    half.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 503 ");
    drop(streams);
    fleet.vm("r1").signal("-TERM");
    assert!(fleet.vm_mut("r1").wait().success());
    let rest = read_end(&mut half).answer();
    check_refusal(&format!("HTTP/1.1 503 {rest}"));
    assert!(!matches!(read_end(&mut silent), End::Answered(_)));
}

/// Guards against connections that are closed unread, or not accepted, while a flood comes to one
/// router: their callers learn nothing and return at once.
#[test]
fn a_flooded_router_answers_nearly_all_attempts() {
    const CALLERS: usize = 64;
    let (_fleet, address) = start();
    let until = Instant::now() + Duration::from_secs(3);
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut ends = Vec::new();
                while Instant::now() < until {
                    let mut stream = connect(address);
                    let request = b"POST /booking HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                        authorization: Bearer alpha\r\ncontent-length: 3\r\n\r\nxyz";
                    let _ = stream.write_all(request);
                    ends.push(read_end(&mut stream));
                }
                ends
            })
        })
        .collect();
    let ends: Vec<End> = callers
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    let count = |status: &str| {
        let is = |end: &&End| matches!(end, End::Answered(answer) if answer.starts_with(status));
        ends.iter().filter(is).count()
    };
    let (served, refused) = (count("HTTP/1.1 200"), count("HTTP/1.1 503"));
    let unanswered = ends.len() - served - refused;
    println!(
        "{} attempts: {served} served, {refused} refused",
        ends.len()
    );
    assert!(
        served > 0 && refused > 0,
        "{served} served, {refused} refused"
    );
    assert!(
        unanswered * 50 < ends.len(),
        "{unanswered} of {}",
        ends.len()
    );
}

/// Failure: callers hold more connections than the process has descriptors. Guards against
/// refusals that take the descriptors of admitted requests.
#[test]
fn can_refuse_callers_without_running_out_of_descriptors() {
    let fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        max_open_files: Some(200),
        settings: "[router]\nanswer-excess = yes\n".to_owned(),
        ..Plan::default()
    });
    let address = fleet.callers("r1");
    let mut silent: Vec<TcpStream> = Vec::new();
    for _ in 0..400 {
        silent.push(connect(address));
    }
    eventually("another caller gets a response", || {
        matches!(ask(address, "GET", 0), End::Answered(_))
    });
    let log = fleet.vm("r1").log();
    assert!(!log.contains("accept-failed"), "descriptors ran out");
    drop(silent);
    eventually("a new caller is served again", || {
        http::get(address, "/booking", "alpha").status == 200
    });
}
