//! Stops of processes that have requests in every state.
#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a helper that panics fails its test"
)]

mod harness;

use harness::upload::{head, Connection, Framing, Outcome, BODY_BYTES};
use harness::{eventually, http, run, Fleet, Plan, OPERATOR_KEY};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Grace period of the processes that have to end within one.
const GRACE: Duration = Duration::from_secs(4);
/// Time after a stop within which its phases must have changed, above their own times: a tick of
/// the stop, and what a busy machine takes.
const SLACK: Duration = Duration::from_millis(300);

/// A fleet of one control VM and two routers, of which `r1` schedules: `r2` has no schedulers to hand
/// over, which would delay its end.
fn fleet(vm_keys: &str, settings: &str) -> Fleet {
    Fleet::start(Plan {
        control: 1,
        routers: 2,
        schedulers: 1,
        vm_keys: vm_keys.to_owned(),
        settings: settings.to_owned(),
        ..Plan::default()
    })
}

fn grace() -> String {
    format!("grace = {}s", GRACE.as_secs())
}

/// A connection on which a request was answered.
fn kept_connection(address: SocketAddr) -> Connection {
    let mut connection = Connection::open(address);
    let first = connection.upload("/booking", &[], Framing::Length, Duration::ZERO);
    assert_eq!(first.status(), 200, "{first:?}");
    connection
}

/// Starts callers of a router that have used their connections before, and now send bodies for
/// 1.2 to 3 s, every other one in chunks. Returns once all heads are in.
fn start_uploads(fleet: &Fleet, vm: &str, callers: u64) -> Vec<JoinHandle<Outcome>> {
    let address = fleet.callers(vm);
    let connections: Vec<Connection> = (0..callers).map(|_| kept_connection(address)).collect();
    let spawn = |(n, mut connection): (u64, Connection)| {
        let framing = [Framing::Length, Framing::Chunked][usize::from(n % 2 == 1)];
        let lasts = Duration::from_millis(1_200 + 1_800 * n / callers);
        std::thread::spawn(move || connection.upload("/booking", &[], framing, lasts))
    };
    let started = (0..).zip(connections).map(spawn).collect();
    wait_for_work(fleet, vm, "body", callers);
    started
}

/// Waits until so many requests at a router are at a stage.
fn wait_for_work(fleet: &Fleet, vm: &str, stage: &str, count: u64) {
    let line = format!("cowslipford_work{{stage=\"{stage}\"}} {count}");
    eventually(&line, || {
        let page = http::get(fleet.vm(vm).operators, "/metrics", OPERATOR_KEY);
        page.text().lines().any(|found| found == line)
    });
}

/// Waits until the log of a VM has an event.
fn wait_for_event(fleet: &Fleet, vm: &str, event: &str) {
    let began = Instant::now();
    while !fleet.vm(vm).log().contains(event) {
        assert!(began.elapsed() < harness::WAIT_TIMEOUT, "no {event}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn check_answered(outcomes: Vec<JoinHandle<Outcome>>) {
    let outcomes: Vec<Outcome> = outcomes.into_iter().map(|o| o.join().unwrap()).collect();
    let unserved: Vec<&Outcome> = outcomes.iter().filter(|o| o.status() != 200).collect();
    assert!(unserved.is_empty(), "of {}: {unserved:?}", outcomes.len());
}

/// Guards against requests that are never answered since their bodies came in during the stop.
#[test]
fn answers_requests_whose_bodies_come_in_during_a_stop() {
    let mut fleet = fleet("", "");
    let uploads = start_uploads(&fleet, "r2", 12);
    fleet.vm("r2").signal("-TERM");
    check_answered(uploads);
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
}

/// Guards against requests that are lost since a further signal ends a stop early.
#[test]
fn answers_requests_when_signals_follow_a_stop() {
    let mut fleet = fleet("", "");
    let uploads = start_uploads(&fleet, "r2", 4);
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM", "-INT"] {
        fleet.vm("r2").signal(signal);
        std::thread::sleep(Duration::from_millis(200));
    }
    check_answered(uploads);
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
}

/// Guards against requests that are lost at an operator's stop of two routers in series.
#[test]
fn answers_requests_when_routers_are_stopped_in_series() {
    let mut fleet = fleet("", "");
    let mut uploads = start_uploads(&fleet, "r1", 4);
    uploads.extend(start_uploads(&fleet, "r2", 4));
    let operators = fleet.vm("c1").operators.to_string();
    for vm in ["r2", "r1"] {
        let stopped = run(
            &["stop", "vm", vm, "--operators", &operators],
            &[] as &[&str],
        );
        assert!(stopped.0.success(), "{}", stopped.2);
    }
    check_answered(uploads);
    for vm in ["r2", "r1"] {
        assert_eq!(fleet.vm_mut(vm).wait().code(), Some(0));
    }
}

/// Guards against requests that are lost when a router is replaced by a new process at its address,
/// which is then replaced, too.
#[test]
fn answers_requests_when_a_router_is_replaced() {
    let mut fleet = fleet("", "");
    for _ in 0..2 {
        let uploads = start_uploads(&fleet, "r2", 4);
        fleet.vm("r2").signal("-TERM");
        check_answered(uploads);
        assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
        fleet.vm_mut("r2").start();
        fleet.wait_ready();
    }
    let mut connection = Connection::open(fleet.callers("r2"));
    assert_eq!(connection.request("/booking", &[]).status(), 200);
}

/// A process of `cowslipford dev`; it is killed when this value is dropped.
struct Dev(Child);

impl Drop for Dev {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against requests that are lost in a process that is control VM, scheduler and router.
#[test]
fn answers_requests_whose_bodies_come_in_when_dev_is_interrupted() {
    let child = Command::new(harness::BINARY)
        .args(["dev", "--callers", "127.0.0.1:0"])
        .args(["--operators", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn();
    let mut dev = Dev(child.unwrap());
    let mut lines = BufReader::new(dev.0.stdout.take().unwrap()).lines();
    let ready = lines.find_map(|line| {
        let line = line.unwrap();
        let (_, rest) = line.split_once("callers on ")?;
        rest.split(',').next()?.parse().ok()
    });
    let address = ready.unwrap();
    // The rest of its output must be read, but is not needed.
    let reader = std::thread::spawn(move || lines.count());
    let uploads = [Framing::Length, Framing::Chunked].map(|framing| {
        std::thread::spawn(move || {
            let mut connection = Connection::open(address);
            connection.upload("/booking", &[], framing, Duration::from_secs(2))
        })
    });
    std::thread::sleep(Duration::from_millis(500));
    let pid = dev.0.id().to_string();
    let sent = Command::new("kill").args(["-INT", &pid]).status();
    assert!(sent.unwrap().success());
    check_answered(uploads.into());
    let mut status = None;
    eventually("the process ends", || {
        status = dev.0.try_wait().unwrap();
        status.is_some()
    });
    assert_eq!(status.unwrap().code(), Some(0));
    reader.join().unwrap();
}

/// Guards against an accepted change that is not acknowledged, since the control VM that was asked
/// stops before the others have stored it.
#[test]
fn acknowledges_a_change_while_the_control_vm_stops() {
    let mut fleet = Fleet::start(Plan {
        routers: 1,
        ..Plan::default()
    });
    let leader = fleet.leader();
    let others = ["c1", "c2", "c3"].map(str::to_owned);
    let others: Vec<String> = others.into_iter().filter(|vm| *vm != leader).collect();
    let text = fleet.configuration().replace("not today", "not now");
    let path = format!("/config?id=77&base={}", config_version(&fleet, &leader));
    let signal = |signal| others.iter().for_each(|vm| fleet.vm(vm).signal(signal));
    signal("-STOP");
    let operators = fleet.vm(&leader).operators;
    let change =
        std::thread::spawn(move || http::send(operators, "POST", &path, OPERATOR_KEY, &[], &text));
    wait_for_work(&fleet, &leader, "operator", 2);
    fleet.vm(&leader).signal("-TERM");
    std::thread::sleep(Duration::from_millis(200));
    signal("-CONT");
    let answer = change.join().unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(fleet.vm_mut(&leader).wait().code(), Some(0));
}

/// Version of the configuration in force on a VM.
fn config_version(fleet: &Fleet, vm: &str) -> u64 {
    let status = fleet.vm(vm).status().unwrap();
    status["config-version"].as_u64().unwrap()
}

/// Guards against a process that callers keep from ending until it is killed: one that sends a
/// body byte by byte, one that does the same with a head, one that reads no answer, and
/// operators that do as the first two.
#[test]
fn ends_within_the_grace_period_beside_callers_that_never_finish() {
    let mut fleet = fleet(&grace(), "");
    let callers = fleet.callers("r2");
    let head = head("/booking", &[], Framing::Length, BODY_BYTES);
    let operators = fleet.vm("r2").operators;
    let change = head.replace("/booking", "/config?id=1&base=0");
    let change = change.replace("alpha", OPERATOR_KEY);
    let trickled = [
        (callers, head.clone()),
        (callers, head[..60].to_owned()),
        (operators, head[..60].to_owned()),
        (operators, change),
    ];
    let trickled = trickled.map(|(address, begin)| {
        let mut connection = Connection::open(address);
        assert!(connection.write(begin.as_bytes()));
        std::thread::spawn(move || trickle(connection))
    });
    let mut reader = Connection::open(callers);
    let endless = [("stand-in-tokens", "100000"), ("stand-in-pace", "0")];
    assert!(
        reader.write(harness::upload::head("/assistant", &endless, Framing::Length, 0).as_bytes())
    );
    wait_for_work(&fleet, "r2", "body", 1);
    wait_for_work(&fleet, "r2", "answer", 1);
    let began = Instant::now();
    fleet.vm("r2").signal("-TERM");
    let status = fleet.vm_mut("r2").wait();
    let took = began.elapsed();
    assert_eq!(status.code(), Some(0));
    assert!(took < GRACE, "{took:?}");
    let [body, part_of_head, _, change] = trickled.map(|t| t.join().unwrap());
    // Told as soon as it is clear that it cannot be served any more.
    let (answer, at) = body;
    check_given_up(&answer, 503, "not-run");
    let after = at.duration_since(began);
    assert!(after < GRACE / 2 + SLACK, "{after:?}");
    check_given_up(&part_of_head.0, 503, "not-run");
    assert_eq!(change.0.status(), 503, "{change:?}");
}

/// Sends a byte every 100 ms until an answer has arrived or the connection has ended; returns when.
fn trickle(mut connection: Connection) -> (Outcome, Instant) {
    connection.set_read_timeout(Duration::from_millis(100));
    loop {
        match connection.receive() {
            Outcome::Lost(_) if connection.write(b"x") => {}
            outcome => return (outcome, Instant::now()),
        }
    }
}

/// Guards against callers that are not told what has become of their requests when the grace period
/// ends, or are told something else than what is known.
#[test]
fn tells_callers_what_has_become_of_requests_that_it_gives_up() {
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 2,
        schedulers: 1,
        batch: 1,
        vm_keys: grace(),
        ..Plan::default()
    });
    let address = fleet.callers("r2");
    let start = |path: &'static str, headers: &'static [(&str, &str)]| {
        std::thread::spawn(move || {
            let outcome = Connection::open(address).request(path, headers);
            (outcome, Instant::now())
        })
    };
    let endless = &[("stand-in-pace", "30000"), ("idempotency-key", "given-up")];
    let running = start("/booking", endless);
    wait_for_work(&fleet, "r2", "endpoint", 1);
    // One request is granted ahead of its slot.
    let ahead = start("/booking", &endless[..1]);
    wait_for_work(&fleet, "r2", "endpoint", 2);
    let waiting = start("/booking", &[]);
    wait_for_work(&fleet, "r2", "queue", 1);
    let stream = start("/assistant", &[("stand-in-tokens", "10000")]);
    wait_for_work(&fleet, "r2", "answer", 1);
    let began = Instant::now();
    fleet.vm("r2").signal("-TERM");
    let (waiting, at) = waiting.join().unwrap();
    check_given_up(&waiting, 503, "not-run");
    let after = at.duration_since(began);
    assert!(after < GRACE / 2 + SLACK, "{after:?}");
    for sent in [running, ahead] {
        check_given_up(&sent.join().unwrap().0, 502, "unknown");
    }
    let (stream, _) = stream.join().unwrap();
    assert!(matches!(stream, Outcome::Lost(_)), "{stream:?}");
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
    assert!(began.elapsed() < GRACE, "{:?}", began.elapsed());
    let log = fleet.vm("r2").log();
    let of_stream = |l: &&str| l.contains("rule=\"assistant\"") && l.contains("request-ended");
    let stream = log.lines().rfind(of_stream).unwrap();
    assert!(stream.contains("reason=\"stopping\""), "{stream}");
    // The endpoint may have run the request, so that its key stays taken.
    let mut again = Connection::open(fleet.callers("r1"));
    assert_eq!(again.request("/booking", endless).status(), 409);
}

/// Checks the answer to a request that its router has given up.
fn check_given_up(outcome: &Outcome, status: u16, outcome_header: &str) {
    let Outcome::Answered(answer) = outcome else {
        panic!("{outcome:?}")
    };
    let text = answer.text();
    assert_eq!(
        (answer.status, answer.outcome()),
        (status, outcome_header),
        "{text}"
    );
    assert!(text.contains("\"stopping\""), "{text}");
}

/// Guards against a request that gets no answer, since it has been sent on a kept connection that
/// its router takes for idle and closes.
#[test]
fn answers_requests_that_are_on_their_way_when_connections_are_closed() {
    let mut fleet = fleet("", "");
    let address = fleet.callers("r2");
    let mut connections: Vec<Connection> = (0..100).map(|_| kept_connection(address)).collect();
    fleet.vm("r2").signal("-TERM");
    // Nothing is in progress, so that the process closes its connections next.
    wait_for_event(&fleet, "r2", "\"closed\"");
    fleet.vm("r2").signal("-STOP");
    let request = head("/booking", &[], Framing::Length, 0);
    let sent = connections.iter_mut().map(|c| c.write(request.as_bytes()));
    let sent = sent.filter(|is_sent| *is_sent).count();
    fleet.vm("r2").signal("-CONT");
    let outcomes = connections.iter_mut().map(Connection::receive);
    let lost = outcomes.filter(|o| o.status() == 0).count();
    assert_eq!((sent, lost), (100, 0));
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
}

/// Guards against a request that is lost since its endpoint ends while its router stops, although
/// another endpoint may run it.
#[test]
fn retries_a_request_at_another_endpoint_during_a_stop() {
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 2,
        schedulers: 1,
        plain_services: 2,
        ..Plan::default()
    });
    let safe = "[rule safe]\nwhen-path = /safe\nthen = send\nservice = booking\nidempotent = yes\n";
    let applied = fleet.apply(&(fleet.configuration() + safe), &[]);
    assert!(applied.0.success(), "{}", applied.2);
    fleet.wait_version(fleet.version());
    // Earns retries.
    for _ in 0..40 {
        assert_eq!(fleet.call("r2", "alpha", "/safe", &[], "x").status, 200);
    }
    let address = fleet.callers("r2");
    let headers = [("stand-in-pace", "1500"), ("stand-in-id", "retried")];
    let caller = std::thread::spawn(move || Connection::open(address).request("/safe", &headers));
    let has_request = |name: &str| fleet.counts(name)["labels"]["retried"].as_u64() == Some(1);
    let mut endpoint = None;
    eventually("an endpoint has the request", || {
        endpoint = fleet.stand_ins.iter().position(|s| has_request(&s.name));
        endpoint.is_some()
    });
    fleet.vm("r2").signal("-TERM");
    fleet.kill_stand_in(endpoint.unwrap());
    let outcome = caller.join().unwrap();
    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
}

/// Guards against a refusal that a caller loses, since its connection is reset while it still sends.
#[test]
fn refuses_a_body_that_is_still_coming_in_without_a_reset() {
    let mut fleet = fleet(&grace(), "");
    let address = fleet.callers("r2");
    let lasts = GRACE / 2 + Duration::from_millis(600);
    let upload = std::thread::spawn(move || {
        Connection::open(address).upload("/booking", &[], Framing::Length, lasts)
    });
    wait_for_work(&fleet, "r2", "body", 1);
    fleet.vm("r2").signal("-TERM");
    check_given_up(&upload.join().unwrap(), 503, "not-run");
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
}

/// Guards against a key that stays taken, since its request was refused by a stop before the control
/// VMs had answered the claim.
#[test]
fn frees_the_key_of_a_request_that_a_stop_refuses() {
    let mut fleet = fleet(&grace(), "");
    let address = fleet.callers("r2");
    let keyed = [("idempotency-key", "refused")];
    fleet.vm("c1").signal("-STOP");
    let refused = std::thread::spawn(move || {
        let mut connection = Connection::open(address);
        connection.request("/booking", &keyed)
    });
    wait_for_work(&fleet, "r2", "control", 1);
    fleet.vm("r2").signal("-TERM");
    let refused = refused.join().unwrap();
    fleet.vm("c1").signal("-CONT");
    check_given_up(&refused, 503, "not-run");
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
    let mut again = Connection::open(fleet.callers("r1"));
    let again = again.request("/booking", &keyed);
    assert_eq!(again.status(), 200, "{again:?}");
}

/// Guards against an outcome of an idempotency key that is lost, since the process ends before the
/// control VMs have stored it.
#[test]
fn stores_the_outcome_of_a_key_before_it_ends() {
    let mut fleet = fleet("", "");
    let address = fleet.callers("r2");
    let keyed = [("idempotency-key", "stored"), ("stand-in-pace", "500")];
    let answered = std::thread::spawn(move || {
        let mut connection = Connection::open(address);
        connection.request("/booking", &keyed)
    });
    wait_for_work(&fleet, "r2", "endpoint", 1);
    fleet.vm("c1").signal("-STOP");
    fleet.vm("r2").signal("-TERM");
    let answered = answered.join().unwrap();
    assert_eq!(answered.status(), 200, "{answered:?}");
    std::thread::sleep(Duration::from_millis(300));
    fleet.vm("c1").signal("-CONT");
    assert_eq!(fleet.vm_mut("r2").wait().code(), Some(0));
    let mut again = Connection::open(fleet.callers("r1"));
    let again = again.request("/booking", &keyed);
    let Outcome::Answered(again) = again else {
        panic!("{again:?}")
    };
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(again.header("cowslipford-replayed"), "yes");
}
