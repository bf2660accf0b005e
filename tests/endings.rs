//! Answers that end with their connection: which of them are complete, and which are cut.

mod harness;

use harness::http::Answer;
use harness::{eventually, Fleet, Plan};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Rules beside the default ones: with `resume`, and for requests that must not run twice.
const RULES: &str = "[rule resumed]\nwhen-path = /resumed\nthen = send\nservice = assistant\n\
                     resume = yes\n\
                     [rule once]\nwhen-path = /once\nthen = send\nservice = assistant\n\
                     idempotent = no\n";

/// Number of events of each stream.
const TOKENS: u32 = 6;

/// Starts a fleet whose routers resume streams.
fn fleet() -> Fleet {
    let fleet = Fleet::start(Plan {
        control: 1,
        routers: 1,
        models: 3,
        settings: "[router]\nresume = yes\nretry-extra = 300\n".to_owned(),
        ..Plan::default()
    });
    let (status, _, error) = fleet.apply(&(fleet.configuration() + RULES), &[]);
    assert!(status.success(), "{error}");
    fleet.wait_version(fleet.version());
    fleet
}

/// Asks for a stream without a length or chunks, as `more` says otherwise.
fn call(fleet: &Fleet, path: &str, label: &str, more: &[(&str, &str)]) -> Answer {
    let tokens = TOKENS.to_string();
    let mut headers = vec![
        ("stand-in-id", label),
        ("stand-in-ids", "yes"),
        ("stand-in-tokens", &tokens),
    ];
    headers.extend(more);
    if !more.iter().any(|(name, _)| *name == "stand-in-framing") {
        headers.push(("stand-in-framing", "close"));
    }
    fleet.call("r1", "alpha", path, &headers, label)
}

/// Text of an event, as stand-ins write it.
fn event(n: u32, echo: &str) -> String {
    let data = serde_json::json!({"token": n, "echo": echo});
    format!("id: {n}\ndata: {data}\n\n")
}

/// Text of a whole stream.
fn stream(echo: &str) -> String {
    let events: String = (0..TOKENS).map(|n| event(n, echo)).collect();
    format!("{events}: {{\"usage\":{{\"tokens\":{TOKENS}}}}}\n\n")
}

/// Whether the router has logged the end of a request by the fields given.
fn has_ended(fleet: &Fleet, parts: &[&str]) -> bool {
    let log = fleet.vm("r1").log();
    let mut ends = log.lines().filter(|line| line.contains("request-ended"));
    ends.any(|line| parts.iter().all(|part| line.contains(part)))
}

/// Guards against a stream that reaches its caller as complete although its endpoint closed the
/// connection inside an event, wherever that is and however lines end.
#[test]
fn shows_that_a_stream_without_framing_was_broken_off() {
    let fleet = fleet();
    let mut count = 0;
    for line_end in ["lf", "cr", "crlf"] {
        let width = if line_end == "crlf" { 2 } else { 1 };
        let length = event(3, "crlf-000").len() + 3 * (width - 1);
        // In the first line, after it, in the second line, inside and after its end, and before the
        // last byte.
        let inside_end = length - 2 * width + 1;
        for torn in [2, 5 + width, 20, inside_end, length - width, length - 1] {
            // A request that breaks three endpoints in a row is not sent again.
            count += 1;
            let label = format!("{line_end:_>4}-{count:03}");
            let headers = [
                ("stand-in-fault", "tear"),
                ("stand-in-line-end", line_end),
                ("stand-in-torn-bytes", &torn.to_string()),
            ];
            let answer = call(&fleet, "/assistant", &label, &headers);
            assert_eq!(answer.status, 200, "{label}");
            assert!(!answer.complete, "{label}: {:?}", answer.text());
        }
    }
    let parts = [
        "reason=\"endpoint-broke-off\"",
        "framing=\"close\"",
        "unfinished=2",
    ];
    eventually("the end is logged", || has_ended(&fleet, &parts));
}

/// Guards against a stream whose response has the version of its endpoint's, HTTP/1.0, so that
/// its caller cannot see that it was broken off.
#[test]
fn shows_that_a_stream_of_http_1_0_was_broken_off() {
    let fleet = fleet();
    let old = ("stand-in-framing", "http-1.0");
    let whole = call(&fleet, "/assistant", "whole", &[old]);
    assert!(whole.complete && whole.text() == stream("whole"));
    assert_eq!(whole.header("transfer-encoding"), "chunked");
    let torn = call(
        &fleet,
        "/assistant",
        "torn",
        &[old, ("stand-in-fault", "tear")],
    );
    assert!(torn.status == 200 && !torn.complete, "{:?}", torn.text());
}

/// Guards against a stream of a rule with `resume` that ends at the break of an endpoint whose
/// answer has no framing, and against a part of the unfinished event in its text.
#[test]
fn resumes_a_stream_without_framing() {
    let fleet = fleet();
    for fault in ["tear", "reset"] {
        let answer = call(&fleet, "/resumed", fault, &[("stand-in-fault", fault)]);
        assert!(answer.complete, "{fault}: {:?}", answer.text());
        assert_eq!(answer.text(), stream(fault));
        assert_eq!(fleet.calls_with_label(fault), 2);
    }
    let faults = [
        ("stand-in-fault", "tear"),
        ("stand-in-resumed-fault", "tear"),
    ];
    let answer = call(&fleet, "/resumed", "twice", &faults);
    assert!(answer.status == 200 && !answer.complete);
    assert!(stream("twice").starts_with(&answer.text()));
}

/// Guards against complete streams that are cut because their end is marked by nothing but the end
/// of their connection.
#[test]
fn leaves_a_whole_stream_without_framing_complete() {
    let fleet = fleet();
    for path in ["/assistant", "/resumed", "/once"] {
        let answer = call(&fleet, path, path, &[]);
        assert!(answer.complete, "{path}: {:?}", answer.text());
        assert_eq!(answer.text(), stream(path));
        assert_eq!(fleet.calls_with_label(path), 1);
    }
    for line_end in ["cr", "crlf"] {
        let headers = [("stand-in-line-end", line_end)];
        assert!(call(&fleet, "/assistant", line_end, &headers).complete);
    }
}

/// Guards against a stream that reaches its caller as complete because its endpoint has marked its
/// end inside an event, and against a request that counts as one that crashes endpoints for it.
#[test]
fn cuts_a_stream_whose_end_is_marked_inside_an_event() {
    let fleet = fleet();
    let headers = [("stand-in-framing", "none"), ("stand-in-fault", "truncate")];
    // Three breaks in a row would put the request into quarantine.
    for _ in 0..5 {
        let answer = call(&fleet, "/assistant", "short", &headers);
        assert!(
            answer.status == 200 && !answer.complete,
            "{:?}",
            answer.text()
        );
    }
    assert_eq!(fleet.calls_with_label("short"), 5);
    let answer = call(&fleet, "/resumed", "continued", &headers);
    assert!(answer.complete && answer.text() == stream("continued"));
}

/// Guards against the part of a broken stream that is stored as the outcome of its request, and
/// answers a resend as if it were complete.
#[test]
fn stores_no_outcome_of_a_stream_that_was_broken_off() {
    let fleet = fleet();
    let key = ("idempotency-key", "one");
    let torn = call(&fleet, "/once", "once", &[key, ("stand-in-fault", "tear")]);
    assert!(torn.status == 200 && !torn.complete, "{:?}", torn.text());
    eventually("the outcome is known to be unknown", || {
        let resent = call(&fleet, "/once", "once", &[key, ("stand-in-fault", "tear")]);
        assert_ne!(resent.status, 200, "{:?}", resent.text());
        resent.status == 409 && resent.text().contains("not known")
    });
    assert_eq!(fleet.calls_with_label("once"), 1);
}

/// Guards against a plain answer without framing that is reset on its way and looks complete.
#[test]
fn shows_that_a_plain_answer_without_framing_was_reset() {
    let fleet = fleet();
    let whole = call(&fleet, "/booking", "whole", &[]);
    assert!(whole.complete && whole.text().contains("done"));
    let reset = call(&fleet, "/booking", "reset", &[("stand-in-fault", "reset")]);
    assert!(reset.status == 200 && !reset.complete, "{}", reset.text());
}

/// Guards against a broken stream that looks complete to a caller of HTTP/1.0, whose response ends
/// with its connection.
#[test]
fn resets_the_connection_of_an_http_1_0_caller_whose_stream_was_broken_off() {
    let fleet = fleet();
    for (fault, is_whole) in [("", true), ("tear", false)] {
        let head = format!(
            "POST /assistant HTTP/1.0\r\nhost: test\r\nauthorization: Bearer alpha\r\n\
             content-length: 1\r\nstand-in-tokens: 6\r\nstand-in-fault: {fault}\r\n\r\nx"
        );
        let (answer, has_closed) = read_to_close(&fleet, &head).unwrap();
        assert!(answer.starts_with("HTTP/1.0 200"), "{answer}");
        assert_eq!(has_closed, is_whole, "{answer}");
    }
}

/// Sends a request and reads its answer; returns it, and whether the connection was closed without
/// a reset.
fn read_to_close(fleet: &Fleet, head: &str) -> std::io::Result<(String, bool)> {
    let mut caller = TcpStream::connect(fleet.callers("r1"))?;
    caller.set_read_timeout(Some(Duration::from_secs(20)))?;
    caller.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    let has_closed = loop {
        match caller.read(&mut buffer) {
            Ok(0) => break true,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break false,
            Err(error) => return Err(error),
        }
    };
    Ok((String::from_utf8_lossy(&answer).into_owned(), has_closed))
}
