//! Streams that continue at another endpoint when theirs breaks.

mod harness;

use harness::http::{self, request, Answer, Client};
use harness::{eventually, Fleet, Plan, OPERATOR_KEY};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Settings of routers that resume streams, with a retry budget for all streams of a test.
const RESUME: &str = "[router]\nresume = yes\nretry-extra = 300\n";

/// Rules beside the default ones: with `resume`, with a latency target, and without `resume`.
const RULES: &str = "[rule resumed]\nwhen-path = /resumed\nthen = send\nservice = assistant\n\
                     resume = yes\n\
                     [rule targeted]\nwhen-path = /targeted\nthen = send\n\
                     service = assistant\naim = 2s\nresume = yes\n\
                     [rule plain]\nwhen-path = /plain\nthen = send\n\
                     service = booking\nidempotent = yes\nresume = yes\n\
                     [rule brief]\nwhen-path = /brief\nthen = send\n\
                     service = assistant\ntimeout = 6s\nresume = yes\n\
                     [rule once]\nwhen-path = /once\nthen = send\nservice = assistant\n\
                     idempotent = no\nresume = yes\n";

/// Starts a fleet with the rules of these tests.
fn fleet(settings: &str, routers: usize, models: usize, batch: u32) -> Fleet {
    let fleet = Fleet::start(Plan {
        control: 1,
        routers,
        models,
        batch,
        settings: settings.to_owned(),
        ..Plan::default()
    });
    let (status, _, error) = fleet.apply(&(fleet.configuration() + RULES), &[]);
    assert!(status.success(), "{error}");
    fleet.wait_version(fleet.version());
    fleet
}

/// The stream with events for the tokens from `first` on, as stand-ins write it.
fn stream(first: u32, tokens: u32, echo: &str) -> String {
    let event = |n| {
        let event = serde_json::json!({"token": n, "echo": echo});
        format!("id: {n}\ndata: {event}\n\n")
    };
    let events: String = (first..tokens).map(event).collect();
    format!("{events}: {{\"usage\":{{\"tokens\":{tokens}}}}}\n\n")
}

/// Headers of a request for ten events, whose first answer and second answer have faults.
fn headers<'a>(label: &'a str, first: &'a str, second: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("stand-in-id", label),
        ("stand-in-ids", "yes"),
        ("stand-in-tokens", "10"),
        ("stand-in-pace", "20"),
        ("stand-in-fault", first),
        ("stand-in-resumed-fault", second),
    ]
}

/// Sends a request for ten events, whose first answer and second answer have faults.
fn call(fleet: &Fleet, path: &str, label: &str, first: &str, second: &str) -> Answer {
    fleet.call("r1", "alpha", path, &headers(label, first, second), label)
}

/// Value of a metric of a router, summed over its labels.
fn metric(fleet: &Fleet, router: &str, name: &str) -> u64 {
    let answer = http::get(fleet.vm(router).operators, "/metrics", OPERATOR_KEY);
    let text = answer.text();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok());
    values.sum()
}

/// Waits until no request is in progress at any stand-in, and none waits or holds a slot.
fn wait_idle(fleet: &Fleet) {
    eventually("all slots are released", || {
        let is_idle = |name: &str| fleet.counts(name)["running"] == 0;
        let mut running = fleet.stand_ins.iter().filter(|s| s.process.is_live());
        running.all(|s| is_idle(&s.name))
            && metric(fleet, "r1", "cowslipford_in_progress ") == 0
            && metric(fleet, "r1", "cowslipford_waiting ") == 0
    });
}

/// Waits until the log of the router has the end of a stream with these reasons.
fn wait_end(fleet: &Fleet, reason: &str, unresumed: &str) {
    let parts = [
        "request-ended".to_owned(),
        format!(" reason=\"{reason}\""),
        format!(" unresumed=\"{unresumed}\""),
    ];
    eventually("the end is logged", || {
        let log = fleet.vm("r1").log();
        let has_all = |line: &str| parts.iter().all(|part| line.contains(part));
        log.lines().any(has_all)
    });
}

/// Index of the model engine that runs a request.
fn running(fleet: &Fleet) -> usize {
    let mut found = None;
    eventually("an engine runs the request", || {
        found = (fleet.stand_ins.iter()).position(|s| fleet.counts(&s.name)["running"] != 0);
        found.is_some()
    });
    found.unwrap_or_default()
}

/// Guards against a stream that is cut, torn or has an event twice after its endpoint closed or
/// reset the connection in the middle of an event.
#[test]
fn can_complete_streams_that_break_in_the_middle_of_an_event() {
    let fleet = fleet(RESUME, 3, 3, 16);
    std::thread::scope(|scope| {
        for n in 0..24 {
            let fleet = &fleet;
            scope.spawn(move || {
                let label = format!("broken-{n}");
                let router = format!("r{}", 1 + n % 3);
                let fault = if n % 2 == 0 { "tear" } else { "reset" };
                let headers = headers(&label, fault, "");
                let answer = fleet.call(&router, "alpha", "/resumed", &headers, &label);
                assert!(answer.complete, "{label}: {}", answer.text());
                assert_eq!(answer.text(), stream(0, 10, &label));
                assert_eq!(fleet.calls_with_label(&label), 2);
            });
        }
    });
    let resumed =
        ["r1", "r2", "r3"].map(|r| metric(&fleet, r, "cowslipford_streams_resumed_total"));
    assert_eq!(resumed, [8, 8, 8]);
    let log = fleet.vm("r1").log();
    let is_resumed = |line: &&str| line.contains("request-ended") && line.contains("resumed");
    assert_eq!(log.lines().filter(is_resumed).count(), 8);
    wait_idle(&fleet);
}

/// Guards against a stream that is not resumed when the process of its endpoint is killed, also
/// before its first event.
#[test]
fn can_complete_streams_whose_endpoint_is_killed() {
    for pace in ["100", "1500"] {
        let mut fleet = fleet(RESUME, 1, 2, 4);
        let router = fleet.callers("r1");
        let caller = std::thread::spawn(move || {
            let headers = [
                ("stand-in-ids", "yes"),
                ("stand-in-tokens", "10"),
                ("stand-in-pace", pace),
                ("last-event-id", "3"),
            ];
            http::send(router, "POST", "/resumed", "alpha", &headers, "killed")
        });
        let index = running(&fleet);
        std::thread::sleep(Duration::from_millis(450));
        fleet.kill_stand_in(index);
        let answer = caller.join().unwrap();
        assert!(answer.complete, "{}", answer.text());
        assert_eq!(answer.text(), stream(4, 10, "killed"));
    }
}

/// Guards against changes for rules without `resume`, routers without the switch, requests that
/// must not run twice, and answers that are no streams: these are sent once, and what is passed on
/// is what the endpoint sent.
#[test]
fn can_leave_other_answers_as_they_are() {
    let resuming = fleet(RESUME, 1, 2, 4);
    let plain = fleet("", 1, 2, 4);
    for (fleet, path) in [
        (&resuming, "/assistant"),
        (&resuming, "/once"),
        (&plain, "/resumed"),
    ] {
        let answer = call(fleet, path, path, "tear", "");
        let whole = stream(0, 10, path);
        assert!(!answer.complete && answer.status == 200);
        // Five whole events, and half of the sixth one.
        let end = whole.match_indices("\n\n").nth(4).unwrap().0 + 2;
        let length = whole.match_indices("\n\n").nth(5).unwrap().0 + 2 - end;
        assert_eq!(answer.text(), whole[..end + length / 2]);
        assert_eq!(fleet.calls_with_label(path), 1);
        assert_eq!(metric(fleet, "r1", "cowslipford_events_held_total"), 0);
    }
    let answer = call(&resuming, "/plain", "plain", "cut", "");
    assert!(!answer.complete && !answer.body.is_empty());
    assert_eq!(resuming.calls_with_label("plain"), 1);
}

/// Guards against a second answer that does not continue the stream, and is passed on.
#[test]
fn can_cut_a_stream_whose_second_answer_does_not_continue_it() {
    let fleet = fleet(RESUME, 1, 3, 4);
    for fault in ["broken", "redirect", "swap", "restart"] {
        let answer = call(&fleet, "/resumed", fault, "tear", fault);
        assert!(!answer.complete && answer.status == 200, "{fault}");
        let whole = stream(0, 10, fault);
        let end = whole.match_indices("\n\n").nth(4).unwrap().0 + 2;
        assert_eq!(answer.text(), whole[..end], "{fault}");
    }
    assert_eq!(
        metric(&fleet, "r1", "cowslipford_streams_not_resumed_total"),
        4
    );
    wait_idle(&fleet);
}

/// Guards against a request that breaks one endpoint after the other, and against breaks that are
/// not reported: the third one puts the request into quarantine.
#[test]
fn can_end_and_report_a_stream_that_breaks_twice() {
    let fleet = fleet(RESUME, 1, 4, 4);
    let answer = call(&fleet, "/resumed", "twice", "tear", "tear");
    assert!(!answer.complete && answer.status == 200);
    let text = answer.text();
    assert!(
        stream(0, 10, "twice").starts_with(&text) && text.ends_with("\n\n"),
        "{text}"
    );
    assert_eq!(fleet.calls_with_label("twice"), 2);
    eventually("the request is quarantined", || {
        let answer = call(&fleet, "/resumed", "twice", "tear", "tear");
        answer.status == 502 && answer.text().contains("quarantined")
    });
    assert_eq!(fleet.calls_with_label("twice"), 3);
    wait_idle(&fleet);
}

/// Guards against a stream that is cut because a copy of its request, in progress at the same time,
/// broke an endpoint before: the first break makes the request a suspect.
#[test]
fn can_resume_copies_of_one_request_that_break_one_after_the_other() {
    let fleet = fleet(RESUME, 1, 3, 4);
    std::thread::scope(|scope| {
        // The first copy breaks after 1.1 s and ends after 2.1 s; the second one breaks after 1.5 s.
        for (tokens, pace) in [("20", "100"), ("10", "250")] {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut headers = headers("copies", "tear", "");
                headers[2] = ("stand-in-tokens", tokens);
                headers[3] = ("stand-in-pace", pace);
                let answer = fleet.call("r1", "alpha", "/resumed", &headers, "copies");
                assert!(answer.complete, "{}", answer.text());
                let tokens = tokens.parse().unwrap();
                assert_eq!(answer.text(), stream(0, tokens, "copies"));
            });
        }
    });
    assert_eq!(fleet.calls_with_label("copies"), 4);
}

/// Guards against a stream that stays at a silent endpoint, and against an endpoint that goes on
/// working for a stream that continues elsewhere.
#[test]
fn can_resume_a_stream_whose_endpoint_is_silent() {
    let fleet = fleet(RESUME, 1, 2, 4);
    let answer = call(&fleet, "/resumed", "silent", "stall", "");
    assert!(answer.complete, "{}", answer.text());
    assert_eq!(answer.text(), stream(0, 10, "silent"));
    wait_idle(&fleet);
}

/// Guards against a stream that stays at a second silent endpoint until its deadline, long after
/// callers give it up.
#[test]
fn can_end_a_resumed_stream_whose_endpoint_is_silent() {
    let fleet = fleet(RESUME, 1, 3, 4);
    let answer = call(&fleet, "/resumed", "again", "tear", "stall");
    let whole = stream(0, 10, "again");
    let end = whole.match_indices("\n\n").nth(6).unwrap().0 + 2;
    assert!(!answer.complete);
    assert_eq!(answer.text(), whole[..end]);
    wait_end(&fleet, "endpoint-silent", "second-break");
    wait_idle(&fleet);
}

/// Guards against a stream that stays until its deadline at an endpoint that is frozen before its
/// first event, if its rule has no latency target.
#[test]
fn can_resume_a_stream_whose_endpoint_is_silent_before_its_first_event() {
    let fleet = fleet(RESUME, 1, 2, 4);
    let router = fleet.callers("r1");
    let caller = std::thread::spawn(move || {
        let mut headers = headers("frozen", "", "");
        headers.push(("stand-in-prefill", "1000"));
        http::send(router, "POST", "/brief", "alpha", &headers, "frozen")
    });
    let index = running(&fleet);
    std::thread::sleep(Duration::from_millis(300));
    fleet.stand_ins[index].process.signal("-STOP");
    let answer = caller.join().unwrap();
    fleet.stand_ins[index].process.signal("-CONT");
    assert!(answer.complete, "{}", answer.text());
    let whole = stream(0, 10, "frozen");
    assert_eq!(answer.text(), format!(": prefill\n\n: prefill\n\n{whole}"));
}

/// Guards against a customer that pays for an endpoint that its request did not reach.
#[test]
fn can_charge_nothing_for_an_endpoint_that_was_not_reached() {
    let mut fleet = fleet(RESUME, 1, 2, 4);
    let received = |fleet: &Fleet| metric(fleet, "r1", "cowslipford_service_received{");
    // The metric is set once a second.
    let settle = Duration::from_millis(1500);
    std::thread::sleep(settle);
    let before = received(&fleet);
    let answer = call(&fleet, "/resumed", "whole", "", "");
    assert!(answer.complete);
    wait_idle(&fleet);
    std::thread::sleep(settle);
    let whole = received(&fleet);
    assert!(whole > before);
    let router = fleet.callers("r1");
    let caller = std::thread::spawn(move || {
        let mut headers = headers("unreached", "tear", "");
        headers[3] = ("stand-in-pace", "100");
        http::send(router, "POST", "/resumed", "alpha", &headers, "unreached")
    });
    let index = running(&fleet);
    fleet.kill_stand_in(1 - index);
    let answer = caller.join().unwrap();
    assert!(answer.complete, "{}", answer.text());
    assert_eq!(answer.text(), stream(0, 10, "unreached"));
    let log = fleet.vm("r1").log();
    assert!(log.lines().any(|line| line.contains("elsewhere")), "{log}");
    eventually("the second stream is charged like the first one", || {
        received(&fleet) == whole + (whole - before)
    });
}

/// Guards against a stream whose endpoint is silent until the deadline, and for which neither the log
/// nor the metric says why it was not resumed.
#[test]
fn can_report_a_silent_stream_that_ends_at_its_deadline() {
    let fleet = fleet(RESUME, 1, 2, 4);
    let headers: Vec<_> = (headers("unnamed", "stall", "").into_iter())
        .filter(|(name, _)| *name != "stand-in-ids")
        .collect();
    let answer = fleet.call("r1", "alpha", "/brief", &headers, "unnamed");
    assert!(!answer.complete);
    wait_end(&fleet, "timeout", "no-id");
    let name = "cowslipford_streams_not_resumed_total{reason=\"no-id\"}";
    assert_eq!(metric(&fleet, "r1", name), 1);
}

/// Guards against a stream that its endpoint breaks off since its caller did not read, and for which
/// neither the log nor the metric says why it was not resumed.
#[test]
fn can_report_a_stream_that_is_not_resumed_because_of_its_caller() {
    let fleet = fleet(RESUME, 1, 2, 4);
    let mut caller = slow_caller(&fleet, 3000, "tear").unwrap();
    wait_for_full_buffers(&fleet);
    // The caller pauses once, for longer than the time after which a break is attributed to it, and
    // reads the rest at once: with several pauses, it depends on the buffers of the sockets whether
    // the router meets the break within one second after a pause of more than one.
    std::thread::sleep(Duration::from_millis(2500));
    // The stream ends cut, after an error or not.
    let _ = std::io::copy(&mut caller, &mut std::io::sink());
    wait_end(&fleet, "caller-slow", "caller-slow");
    let name = "cowslipford_streams_not_resumed_total{reason=\"caller-slow\"}";
    assert_eq!(metric(&fleet, "r1", name), 1);
    assert_eq!(fleet.calls_with_label("slow"), 1);
}

/// Guards against an endpoint that is given up during its prefill because it has sent a comment
/// already.
#[test]
fn can_wait_for_the_first_event_after_a_comment() {
    let fleet = fleet(RESUME, 1, 2, 4);
    let mut headers = headers("prefill", "", "");
    headers.push(("stand-in-prefill", "2500"));
    let answer = fleet.call("r1", "alpha", "/targeted", &headers, "prefill");
    assert!(answer.complete, "{}", answer.text());
    let whole = stream(0, 10, "prefill");
    assert_eq!(answer.text(), format!(": prefill\n\n{whole}"));
    assert_eq!(fleet.calls_with_label("prefill"), 1);
    assert_eq!(metric(&fleet, "r1", "cowslipford_streams_resumed_total"), 0);
}

/// Sends a request for long events, and reads nothing.
fn slow_caller(fleet: &Fleet, tokens: u32, fault: &str) -> std::io::Result<TcpStream> {
    let body = "x".repeat(8192);
    let head = format!(
        "POST /resumed HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\n\
         connection: close\r\ncontent-length: {}\r\nstand-in-id: slow\r\nstand-in-ids: yes\r\n\
         stand-in-tokens: {tokens}\r\nstand-in-pace: 0\r\nstand-in-fault: {fault}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(fleet.callers("r1"))?;
    caller.write_all(head.as_bytes())?;
    Ok(caller)
}

/// Number of tokens that the stand-ins have sent.
fn tokens(fleet: &Fleet) -> u64 {
    let counts = fleet.stand_ins.iter().map(|s| fleet.counts(&s.name));
    counts.filter_map(|c| c["tokens"].as_u64()).sum()
}

/// Waits until a stream that is not read has filled all buffers, so that its endpoint sends no more;
/// returns the number of tokens sent. On a machine without processor time this takes seconds.
fn wait_for_full_buffers(fleet: &Fleet) -> u64 {
    let mut sent = tokens(fleet);
    eventually("the buffers are full", || {
        std::thread::sleep(Duration::from_secs(1));
        let before = std::mem::replace(&mut sent, tokens(fleet));
        before == sent && sent > 100
    });
    sent
}

/// Guards against a router that buffers a stream whose caller does not read it, and that takes the
/// endpoint for silent meanwhile.
#[test]
fn can_wait_for_a_caller_that_does_not_read() {
    let fleet = fleet(RESUME, 1, 1, 4);
    let mut caller = slow_caller(&fleet, 4000, "").unwrap();
    let sent = wait_for_full_buffers(&fleet);
    // Longer than the silence after which an endpoint is given up.
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(tokens(&fleet), sent, "the endpoint is not read meanwhile");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).unwrap();
    let text = String::from_utf8(answer).unwrap();
    assert!(text.contains("id: 3999\n") && text.ends_with("\r\n0\r\n\r\n"));
    assert_eq!(fleet.calls_with_label("slow"), 1);
    assert!(fleet.vm("r1").peak_memory() < 60_000_000);
}

/// Guards against a request that stays in the queue, or is sent, after its caller has left while the
/// request waited to be resumed.
#[test]
fn can_cancel_a_resumption_whose_caller_has_left() {
    let fleet = Fleet::start(Plan {
        control: 1,
        routers: 2,
        schedulers: 1,
        settings: RESUME.to_owned(),
        // The router must not schedule alone while the request waits.
        link_keys: "idle = 10s".to_owned(),
        ..Plan::default()
    });
    let (status, _, error) = fleet.apply(&(fleet.configuration() + RULES), &[]);
    assert!(status.success(), "{error}");
    fleet.wait_version(fleet.version());
    let router = fleet.callers("r2");
    let caller = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let mut headers = headers("left", "tear", "");
        headers[3] = ("stand-in-pace", "100");
        let sent = request("POST", "/resumed", "alpha", &headers, "left");
        runtime.block_on(Client::new(router).call(sent, Duration::from_secs(3)))
    });
    running(&fleet);
    // The scheduler answers no more when the stream breaks, after about 600 ms.
    fleet.vm("r1").signal("-STOP");
    eventually("the request waits", || {
        metric(&fleet, "r2", "cowslipford_waiting ") == 1
    });
    let answer = caller.join().unwrap();
    assert!(!answer.complete && answer.text().contains("id: 4\n"));
    eventually("the request leaves the queue", || {
        metric(&fleet, "r2", "cowslipford_waiting ") == 0
    });
    // It has left before any scheduler could answer.
    let is_lost = |line: &str| line.contains("dependency-lost") && line.contains("scheduler");
    assert!(!fleet.vm("r2").log().lines().any(is_lost));
    fleet.vm("r1").signal("-CONT");
    eventually("the router serves requests again", || {
        fleet.call("r2", "alpha", "/assistant", &[], "").complete
    });
    assert_eq!(fleet.calls_with_label("left"), 1);
    eventually("all slots are released", || {
        metric(&fleet, "r2", "cowslipford_in_progress ") == 0
    });
}

/// Guards against a stream that looks complete, or stays open, when there is no other endpoint.
#[test]
fn can_cut_a_stream_without_another_endpoint() {
    let mut fleet = fleet(RESUME, 1, 1, 4);
    let router = fleet.callers("r1");
    let caller = std::thread::spawn(move || {
        let headers = headers("alone", "", "");
        http::send(router, "POST", "/resumed", "alpha", &headers, "alone")
    });
    let index = running(&fleet);
    fleet.kill_stand_in(index);
    let answer = caller.join().unwrap();
    assert!(!answer.complete && answer.status == 200, "{answer:?}");
    assert!(stream(0, 10, "alone").starts_with(&answer.text()));
    let name = "cowslipford_streams_not_resumed_total";
    assert_eq!(metric(&fleet, "r1", name), 1);
    eventually("nothing waits", || {
        metric(&fleet, "r1", "cowslipford_waiting ") == 0
            && metric(&fleet, "r1", "cowslipford_in_progress ") == 0
    });
}

/// Guards against a stream that is cut because its router stops while the stream is resumed.
#[test]
fn can_resume_a_stream_while_the_router_stops() {
    let mut fleet = fleet(RESUME, 1, 2, 4);
    let router = fleet.callers("r1");
    let caller = std::thread::spawn(move || {
        let mut headers = headers("stopping", "tear", "");
        headers[3] = ("stand-in-pace", "100");
        http::send(router, "POST", "/resumed", "alpha", &headers, "stopping")
    });
    running(&fleet);
    fleet.vm("r1").signal("-TERM");
    let answer = caller.join().unwrap();
    assert!(answer.complete, "{}", answer.text());
    assert_eq!(answer.text(), stream(0, 10, "stopping"));
    assert!(fleet.vm_mut("r1").wait().success());
}
