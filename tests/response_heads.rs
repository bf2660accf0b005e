//! Responses with malformed heads, which reach no caller, and with well-formed ones, which do.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::http::{self, Answer};
use harness::raw::{Head, Request, Server};
use harness::{eventually, Fleet, Plan};
use std::collections::HashSet;
use std::io::Write;
use std::net::Shutdown;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Body of the responses.
const BODY: &str = "hello";
/// The same in chunks.
const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";
/// Length in bytes of the longest body that a router takes if it is not set otherwise. An endpoint
/// that does not read it has a part of it in its buffers.
const LONG_BODY: usize = 1 << 20;
/// Length in bytes of a body that is more than the buffers of both sides take.
const LONGEST_BODY: usize = 12 << 20;
/// Response to requests that name no case. The server closes each connection after its response, and a
/// request that is sent at that moment would be lost.
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";

/// A response that an endpoint gives.
#[derive(Clone, Debug)]
struct Case {
    name: String,
    response: Vec<u8>,
    /// What the log says of it if it is refused, in lower case.
    logged: &'static str,
}

/// A case by its status, the lines after the status line, the body and what is logged.
fn case(status: &str, lines: &[u8], body: &str, logged: &'static str) -> Case {
    let mut response = format!("HTTP/1.1 {status} Text\r\n").into_bytes();
    response.extend_from_slice(lines);
    response.extend_from_slice(b"\r\n\r\n");
    response.extend_from_slice(body.as_bytes());
    let lines = String::from_utf8_lossy(lines).replace("\r\n", " | ");
    Case {
        name: format!("{status} {lines:?}"),
        response,
        logged,
    }
}

/// Values of `Transfer-Encoding` that are not just `chunked`.
const CODINGS: [&[u8]; 18] = [
    b"chunkd",
    b"xchunked",
    b"chunked chunked",
    b"",
    b"\"chunked\"",
    b"'chunked'",
    b"chunked,",
    b", chunked",
    b"chunked;q=1",
    b"chunked, gzip",
    b"gzip, chunked",
    b"identity, chunked",
    b"chunked, chunked",
    b"gzip",
    b"identity",
    b"\xffchunked",
    b"gzip\r\nTransfer-Encoding: chunked",
    b"chunked\r\nTransfer-Encoding: chunked",
];

/// Responses whose `Transfer-Encoding` is malformed, alone and beside a length.
fn coding_cases() -> Vec<Case> {
    let alone = CODINGS.iter().map(|coding| {
        let lines = [b"Transfer-Encoding: ", *coding].concat();
        case("200", &lines, CHUNKS, "transfer-encoding")
    });
    let beside = CODINGS.iter().map(|coding| {
        let lines = [b"Content-Length: 15\r\nTransfer-Encoding: ", *coding].concat();
        case("200", &lines, CHUNKS, "transfer-encoding")
    });
    alone.chain(beside).collect()
}

/// Responses with both a length and chunks.
fn ambiguous_cases() -> Vec<Case> {
    let lines = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Transfer-Encoding: Chunked\r\nContent-Length: 0",
    ];
    let case = |lines: &&str| case("200", lines.as_bytes(), CHUNKS, "both transfer-encoding");
    lines.iter().map(case).collect()
}

/// Responses whose status is none of a final response.
fn status_cases() -> Vec<Case> {
    let length = b"Content-Length: 5";
    let unexpected = ["101", "600", "601", "700", "999"];
    let invalid = ["000", "001", "099", "20", "2000", "-20", "2x0", "", "+20"];
    let all = unexpected.into_iter().chain(invalid);
    all.map(|status| case(status, length, BODY, "status"))
        .collect()
}

/// Responses whose head has a malformed length.
fn length_cases() -> Vec<Case> {
    let values = [
        "",
        "x",
        "-5",
        "+5",
        "5 5",
        "5, 6",
        "5,",
        "0x5",
        "5.0",
        "99999999999999999999999",
        "5\r\nContent-Length: 6",
    ];
    let case = |value: &str| {
        let lines = format!("Content-Length: {value}");
        case("200", lines.as_bytes(), BODY, "content-length")
    };
    values.map(case).to_vec()
}

/// Responses with lines that are no fields, or whose names are malformed.
fn line_cases() -> Vec<Case> {
    let lines: [&[u8]; 9] = [
        b"no field",
        b"Content-Length 5",
        b"Content-Length : 5",
        b"Content Length: 5",
        b" Content-Length: 5",
        b"X\x01Y: 1",
        b"X\x00Y: 1",
        b"X\x7fY: 1",
        b": nameless",
    ];
    let case = |line: &[u8]| {
        let lines = [b"Content-Length: 5\r\n", line].concat();
        case("200", &lines, BODY, "header")
    };
    lines.map(case).to_vec()
}

/// Rules for requests that may run once, that may run twice, and whose streams are resumed.
const RULES: &str = "\
    [rule once]\nwhen-path = /once\nthen = send\nservice = raw\nidempotent = no\n\
    [rule again]\nwhen-path = /again\nthen = send\nservice = pair\nidempotent = yes\nretries = 3\n\
    [rule resumed]\nwhen-path = /resumed\nthen = send\nservice = raw\nidempotent = yes\n\
    resume = yes\nretries = 3\n";

/// A fleet whose endpoints answer with raw bytes.
struct Setup {
    fleet: Fleet,
    /// The server behind all endpoints.
    raw: Server,
}

impl Setup {
    /// Starts a fleet with one router and an endpoint that answers by this function.
    fn start<F>(answer: F) -> Self
    where
        F: Fn(Request<'_>) -> std::io::Result<()> + Send + Sync + 'static,
    {
        let fleet = Fleet::start_unconfigured(Plan {
            control: 1,
            routers: 1,
            models: 0,
            plain_services: 0,
            settings: "[router]\nresume = yes\nretry-extra = 1000\n".to_owned(),
            ..Plan::default()
        });
        let raw = Server::start(answer);
        let endpoint = |name: &str, service: &str| {
            format!(
                "[endpoint {name}]\nservice = {service}\naddress = {}\n\
                 data-centre = dc-1\nslots = 64\n",
                raw.address
            )
        };
        let key = state::secret::Hash::of(&[b"alpha"]).hex();
        let text = format!(
            "[customer alpha]\nkey-sha256 = {key}\nservices = raw, pair\n\
             [service raw]\ncost = request\n[service pair]\ncost = request\n{}{}{}{RULES}",
            endpoint("raw-1", "raw"),
            endpoint("pair-1", "pair"),
            endpoint("pair-2", "pair"),
        );
        let (status, _, error) = fleet.apply(&text, &[]);
        assert!(status.success(), "{error}");
        fleet.wait_version(fleet.version());
        let setup = Setup { fleet, raw };
        setup.restore();
        setup
    }

    /// Starts one whose endpoint answers with the response of the case that a request names.
    fn with_cases(cases: &[Case]) -> Self {
        let responses: Vec<Vec<u8>> = cases.iter().map(|c| c.response.clone()).collect();
        Setup::start(move |mut request| {
            let number = request.head.header("case").parse::<usize>().ok();
            let response = number.and_then(|n| responses.get(n));
            request.answer(response.map_or(OK, |r| r))
        })
    }

    /// Starts the router anew with room for bodies of [`LONGEST_BODY`] bytes.
    fn allow_longest_bodies(&mut self) {
        let router = self.fleet.vm_mut("r1");
        let text = std::fs::read_to_string(&router.settings).unwrap();
        let text = text.replace("[callers]\n", "[callers]\nbody-max = 16777216\n");
        std::fs::write(&router.settings, text).unwrap();
        router.kill();
        router.start();
        self.fleet.wait_ready();
        self.restore();
    }

    /// Sends a request with a body of this length, again if the router turns it away.
    fn upload(&self, path: &str, length: usize, (method, case): (&str, usize)) -> Answer {
        let router = self.fleet.callers("r1");
        let body = "x".repeat(length);
        let headers = [("case", &*case.to_string())];
        let mut answer = Answer::default();
        let received = self.raw.requests();
        eventually("the endpoint has the request", || {
            answer = http::send(router, method, path, "alpha", &headers, &body);
            self.raw.requests() > received
        });
        answer
    }

    /// Sends a request, again if the router turns it away because its tasks run late.
    fn call(&self, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
        let router = self.fleet.callers("r1");
        let mut answer = Answer::default();
        eventually("a request is admitted", || {
            let received = self.raw.requests();
            answer = http::send(router, method, path, "alpha", headers, "x");
            let is_refused = matches!(answer.status, 0 | 503);
            !is_refused || self.raw.requests() > received
        });
        answer
    }

    /// Has the endpoint serve a request well, so that it is not ejected for failures in a row.
    fn restore(&self) {
        eventually("the endpoint serves", || {
            self.call("POST", "/once", &[]).status == 200
        });
    }

    /// Whether the log has a failed try with this text, by its request.
    fn has_failed(&self, request: &str, text: &str) -> bool {
        let log = self.fleet.vm("r1").log();
        let mut lines = log.lines().filter(|line| line.contains("try-failed"));
        lines.any(|line| line.contains(request) && line.to_ascii_lowercase().contains(text))
    }
}

/// Sends requests that may run once, and checks that they ran once with an unknown outcome.
fn assert_refused(cases: &[Case]) {
    let setup = Setup::with_cases(cases);
    let mut wrong = Vec::new();
    for (n, case) in cases.iter().enumerate() {
        for method in ["POST", "GET", "HEAD"] {
            let label = format!("{method}-{n}");
            let headers = [("case", &*n.to_string()), ("label", &label)];
            // Requests of their own: the same one three times in a row would be quarantined.
            let answer = setup.call(method, &format!("/once/{label}"), &headers);
            let runs = setup.raw.count("label", &label);
            let outcome = (answer.status, answer.outcome(), runs);
            if outcome != (502, "unknown", 1) {
                let seen = (outcome, answer.complete, answer.text());
                wrong.push(format!("{method} {}: {seen:?}", case.name));
                continue;
            }
            let request = answer.header("cowslipford-request-id").to_owned();
            eventually(&format!("{} is logged", case.name), || {
                setup.has_failed(&request, case.logged)
            });
            setup.restore();
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against responses whose chunks reach callers as the body, since another coding is read
/// as one that ends with the connection.
#[test]
fn refuses_responses_with_a_malformed_transfer_encoding() {
    assert_refused(&coding_cases());
}

/// Guards against responses with chunks whose body is cut to the length beside them.
#[test]
fn refuses_responses_with_both_a_length_and_chunks() {
    assert_refused(&ambiguous_cases());
}

/// Guards against statuses that no client expects, and against a switch of protocols that none has
/// asked for.
#[test]
fn refuses_responses_whose_status_is_not_final() {
    assert_refused(&status_cases());
}

/// Guards against responses whose body is read by a malformed length, and against such lengths of
/// responses without a body.
#[test]
fn refuses_responses_with_a_malformed_length() {
    assert_refused(&length_cases());
}

/// Guards against heads with lines that are no fields, or whose names have blanks or control bytes.
#[test]
fn refuses_responses_with_lines_that_are_no_fields() {
    assert_refused(&line_cases());
}

/// Guards against an idempotent request that fails with the endpoint that answers a malformed head
/// although another one serves.
#[test]
fn sends_an_idempotent_request_elsewhere_after_a_malformed_head() {
    let cases: Vec<Case> = [coding_cases(), ambiguous_cases(), status_cases()].concat();
    let responses: Vec<Vec<u8>> = cases.iter().map(|c| c.response.clone()).collect();
    let answered = Mutex::new(HashSet::new());
    let setup = Setup::start(move |mut request| {
        let number = request.head.header("case").parse::<usize>().ok();
        // The first try of each request fails.
        let is_first = |n: &usize| answered.lock().unwrap().insert(*n);
        let response = number.filter(is_first).map(|n| &responses[n][..]);
        request.answer(response.unwrap_or(OK))
    });
    for (n, case) in cases.iter().enumerate() {
        let number = n.to_string();
        let answer = setup.call("POST", &format!("/again/{n}"), &[("case", &number)]);
        let seen = (answer.status, answer.complete, answer.text());
        assert_eq!(seen, (200, true, BODY.to_owned()), "{}", case.name);
        assert_eq!(setup.raw.count("case", &number), 2, "{}", case.name);
    }
}

/// Guards against a stored outcome of a request whose response had a malformed head.
#[test]
fn stores_no_outcome_of_a_malformed_response() {
    let cases = ambiguous_cases();
    let setup = Setup::with_cases(&cases);
    let headers = [
        ("case", "0"),
        ("label", "keyed"),
        ("idempotency-key", "one"),
    ];
    assert_eq!(setup.call("POST", "/once", &headers).status, 502);
    eventually("the outcome is known to be unknown", || {
        let resent = setup.call("POST", "/once", &headers);
        assert_ne!(resent.status, 200, "{}", resent.text());
        resent.status == 409 && resent.text().contains("not known")
    });
    assert_eq!(setup.raw.count("label", "keyed"), 1);
}

/// Guards against an endpoint that gets requests on and on although each head that it sends is
/// malformed.
#[test]
fn ejects_an_endpoint_that_sends_malformed_heads() {
    let cases = ambiguous_cases();
    let setup = Setup::with_cases(&cases);
    for _ in 0..3 {
        assert_eq!(setup.call("POST", "/once", &[("case", "0")]).status, 502);
    }
    eventually("the endpoint is ejected", || {
        setup.fleet.vm("r1").log().contains("endpoint-ejected")
    });
}

/// Guards against a request that is quarantined as one that crashes endpoints because the responses
/// to it were malformed.
#[test]
fn quarantines_no_request_for_malformed_heads() {
    let setup = Setup::with_cases(&ambiguous_cases());
    for n in 1..=5 {
        let headers = [("case", "0"), ("label", "same")];
        assert_eq!(setup.call("POST", "/once/same", &headers).status, 502);
        assert_eq!(setup.raw.count("label", "same"), n);
        setup.restore();
    }
}

/// Text of an event of a stream.
fn event(n: u32) -> String {
    format!("id: {n}\ndata: {n}\n\n")
}

/// Guards against streams that a response with a malformed head continues, with its chunk sizes
/// among the events.
#[test]
fn continues_no_stream_by_a_response_with_a_malformed_head() {
    let rest = event(2) + &event(3);
    let chunks = format!("{:x}\r\n{rest}\r\n0\r\n\r\n", rest.len());
    let of_stream = |status: &str, lines: &[u8], body: &str| {
        let lines = [b"Content-Type: text/event-stream\r\n", lines].concat();
        case(status, &lines, body, "")
    };
    let of_coding = |coding: &&[u8]| {
        let lines = [b"Transfer-Encoding: ", *coding].concat();
        of_stream("200", &lines, &chunks)
    };
    let mut cases: Vec<Case> = CODINGS.iter().map(of_coding).collect();
    let both = b"Content-Length: 20\r\nTransfer-Encoding: chunked";
    cases.push(of_stream("200", both, &chunks));
    cases.push(of_stream("600", b"X-Kind: close", &rest));
    let responses: Vec<Vec<u8>> = cases.iter().map(|c| c.response.clone()).collect();
    let begun = event(0) + &event(1);
    let torn = of_stream("200", b"X-Kind: close", &(begun.clone() + "id: 2"));
    let sound = of_stream("200", b"X-Kind: close", &rest);
    let continued = Mutex::new(HashSet::new());
    let setup = Setup::start(move |mut request| {
        let Ok(number) = request.head.header("case").parse::<usize>() else {
            return request.answer(OK);
        };
        if request.head.header("last-event-id").is_empty() {
            return request.answer(&torn.response);
        }
        // The first response that continues each stream is malformed.
        let is_first = continued.lock().unwrap().insert(number);
        let response = if is_first {
            &responses[number]
        } else {
            &sound.response
        };
        request.answer(response)
    });
    for (n, case) in cases.iter().enumerate() {
        let number = n.to_string();
        let answer = setup.call("GET", &format!("/resumed/{n}"), &[("case", &number)]);
        let seen = (answer.status, answer.complete, answer.text());
        let whole = format!("{begun}{rest}");
        assert_eq!(seen, (200, true, whole), "{}", case.name);
        assert_eq!(setup.raw.count("case", &number), 3, "{}", case.name);
    }
}

/// Guards against a list of endpoints whose head is malformed, and whose endpoints get requests.
#[test]
fn uses_no_list_of_endpoints_with_a_malformed_head() {
    let endpoint = Server::start(|mut request| request.answer(OK));
    let page = serde_json::json!({
        "endpoints": [{
            "name": "raw-1", "service": "raw", "address": endpoint.address,
            "data-centre": "dc-1", "slots": 16,
        }],
        "next": null,
    });
    let page = page.to_string();
    let length = format!("Content-Length: {}", page.len());
    let sound = case("200", length.as_bytes(), &page, "").response;
    let malformed = case("200", b"Transfer-Encoding: chunked, gzip", &page, "").response;
    let is_sound = Arc::new(AtomicBool::new(false));
    let shown = is_sound.clone();
    let list = Server::start(move |mut request| {
        let is_sound = shown.load(Ordering::Relaxed);
        request.answer(if is_sound { &sound } else { &malformed })
    });
    let fleet = Fleet::start_unconfigured(Plan {
        control: 1,
        routers: 1,
        models: 0,
        plain_services: 0,
        settings: format!("[listing]\naddress = {}\nevery = 100ms\n", list.address),
        ..Plan::default()
    });
    let key = state::secret::Hash::of(&[b"alpha"]).hex();
    let text = format!(
        "[customer alpha]\nkey-sha256 = {key}\nservices = raw\n[service raw]\ncost = request\n\
         [rule once]\nthen = send\nservice = raw\n"
    );
    let (status, _, error) = fleet.apply(&text, &[]);
    assert!(status.success(), "{error}");
    fleet.wait_version(fleet.version());
    let call = || fleet.call("r1", "alpha", "/", &[], "x").status;
    let read = list.requests();
    eventually("the list is read", || list.requests() >= read + 5);
    assert_eq!((call(), endpoint.requests()), (503, 0));
    is_sound.store(true, Ordering::Relaxed);
    eventually("the endpoint serves", || call() == 200);
    is_sound.store(false, Ordering::Relaxed);
    eventually("the malformed list is logged", || {
        let mut logs = fleet.vms.iter().map(harness::Vm::log);
        logs.any(|log| log.contains("transfer-encoding is not just chunked"))
    });
}

/// What `get` prints, and its errors, if a process of the fleet responds with these lines and body.
fn get(lines: &str, body: &str) -> (bool, String, String) {
    let response = case("200", lines.as_bytes(), body, "").response;
    let server = Server::start(move |mut request| request.answer(&response));
    let address = server.address.to_string();
    let command = Command::new(harness::BINARY)
        .args(["get", "--operators", &address, "--key", "operator"])
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    let (printed, errors) = (text(&command.stdout), text(&command.stderr));
    (command.status.success(), printed, errors)
}

/// Guards against a configuration that the command line prints with chunk sizes in it, or a part of
/// one.
#[test]
fn prints_no_response_that_is_malformed_or_cut() {
    let no_field = "Transfer-Encoding chunked\r\nContent-Length: 5";
    let cases = [
        ("Transfer-Encoding: chunkd", CHUNKS, "transfer-encoding"),
        (
            "Transfer-Encoding: gzip, chunked",
            CHUNKS,
            "transfer-encoding",
        ),
        (
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
            CHUNKS,
            "both",
        ),
        (
            "Content-Length: 3\r\nContent-Length: 5",
            BODY,
            "content-length",
        ),
        (no_field, CHUNKS, "header"),
        ("Content-Length: 9", BODY, ""),
        ("Transfer-Encoding: chunked", "5\r\nhello\r\n", ""),
        ("X-Kind: close", BODY, "length"),
    ];
    for (lines, body, error) in cases {
        let (is_printed, printed, errors) = get(lines, body);
        assert!(!is_printed && printed.is_empty(), "{lines}: {printed}");
        assert!(errors.contains(error), "{lines}: {errors}");
    }
    for (lines, body) in [
        ("Content-Length: 5", BODY),
        ("Transfer-Encoding: Chunked", CHUNKS),
    ] {
        let (is_printed, printed, errors) = get(lines, body);
        assert!(
            is_printed && printed.ends_with("hello\n"),
            "{lines}: {errors}"
        );
    }
}

/// Guards against well-formed responses that are refused or changed, however their ends are marked.
#[test]
fn passes_well_formed_responses_on() {
    let chunked = |coding: &str| (format!("Transfer-Encoding: {coding}"), CHUNKS);
    let length = |value: &str| (format!("Content-Length: {value}"), BODY);
    let named = |line: &str, body| (line.to_owned(), body);
    let kinds = [
        length("5"),
        length("  5  "),
        length("5, 5"),
        length("5\r\nContent-Length: 5"),
        named("content-length: 5", BODY),
        named("CONTENT-LENGTH:5", BODY),
        named("Content-Length: 5\r\nConnection: close", BODY),
        named("Content-Length: 5\r\nX-Empty:", BODY),
        chunked("chunked"),
        chunked("Chunked"),
        chunked("CHUNKED"),
        chunked(" \tchunked\t "),
        named("transfer-encoding:chunked", CHUNKS),
        named("TRANSFER-ENCODING: chunked", CHUNKS),
        named(
            "Transfer-Encoding: chunked\r\nTrailer: x",
            "5;a=b\r\nhello\r\n0\r\nx: y\r\n\r\n",
        ),
        named("X-Kind: close", BODY),
        named("Connection: close", BODY),
    ];
    let statuses = ["200", "201", "299", "400", "404", "422", "500", "599"];
    let of_kind = |(lines, body): &(String, &str)| case("200", lines.as_bytes(), body, "");
    let of_status = |status: &&str| case(status, b"Content-Length: 5", BODY, "");
    let mut cases: Vec<Case> = statuses.iter().map(of_status).collect();
    cases.extend(kinds.iter().map(of_kind));
    let old = b"HTTP/1.0 200 OK\r\n\r\nhello".to_vec();
    let interim = [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n",
        OK,
    ]
    .concat();
    for response in [old, interim] {
        cases.push(Case {
            name: String::from_utf8_lossy(&response).into_owned(),
            response,
            ..cases[0].clone()
        });
    }
    let setup = Setup::with_cases(&cases);
    for (n, case) in cases.iter().enumerate() {
        let status = statuses
            .get(n)
            .map_or(200, |status| status.parse().unwrap());
        for method in ["GET", "POST"] {
            let answer = setup.call(method, "/once", &[("case", &n.to_string())]);
            let seen = (answer.status, answer.complete, answer.text());
            assert_eq!(seen, (status, true, BODY.to_owned()), "{}", case.name);
            assert_eq!(answer.outcome(), "answered");
            setup.restore();
        }
    }
}

/// Guards against refused responses that have no body, whatever length or chunks they state.
#[test]
fn passes_well_formed_responses_without_a_body_on() {
    let heads = [
        ("HEAD", "200", "Content-Length: 5"),
        ("HEAD", "200", "Transfer-Encoding: chunked"),
        ("HEAD", "200", "X-Kind: neither"),
        ("HEAD", "404", "Content-Length: 5, 5"),
        ("GET", "204", "X-Kind: neither"),
        ("GET", "204", "Content-Length: 0"),
        ("GET", "304", "Content-Length: 5"),
        ("GET", "200", "Content-Length: 0"),
    ];
    let cases = heads.map(|(_, status, lines)| case(status, lines.as_bytes(), "", ""));
    let setup = Setup::with_cases(&cases);
    for (n, (method, status, lines)) in heads.iter().enumerate() {
        let answer = setup.call(method, "/once", &[("case", &n.to_string())]);
        let seen = (answer.status.to_string(), answer.complete, answer.text());
        let expected = ((*status).to_owned(), true, String::new());
        assert_eq!(seen, expected, "{method} {lines}");
        setup.restore();
    }
}

/// Guards against a body that looks complete although its chunks are malformed.
#[test]
fn shows_that_chunks_are_malformed() {
    let bodies = [
        "x\r\nhello\r\n0\r\n\r\n",
        "-5\r\nhello\r\n0\r\n\r\n",
        "\r\nhello\r\n0\r\n\r\n",
        "5 5\r\nhello\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nhello\r\n0\r\n\r\n",
        "4\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello0\r\n\r\n",
        "5\r\nhello\r\nx\r\n\r\n",
        "5\r\nhello\r\n",
    ];
    let of_body = |body: &&str| case("200", b"Transfer-Encoding: chunked", body, "");
    let cases: Vec<Case> = bodies.iter().map(of_body).collect();
    let setup = Setup::with_cases(&cases);
    for (n, body) in bodies.iter().enumerate() {
        let path = format!("/once/{n}");
        let answer = setup.call("POST", &path, &[("case", &n.to_string())]);
        let is_whole = answer.status == 200 && answer.complete;
        assert!(!is_whole, "{body:?}: {:?}", answer.text());
        setup.restore();
    }
}

/// Guards against a part of a response that looks complete, since the endpoint answers while it gets
/// the request and resets the connection.
#[test]
fn shows_that_an_early_response_was_reset_during_the_upload() {
    let mut setup = Setup::start(|mut request| {
        if request.head.header("case").is_empty() {
            return request.answer(OK);
        }
        let part = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhel";
        request.stream.write_all(part)?;
        std::thread::sleep(Duration::from_millis(100));
        // The unread body resets the connection.
        Ok(())
    });
    setup.allow_longest_bodies();
    for method in ["POST", "PUT"] {
        for n in 0..8 {
            let path = format!("/once/{n}");
            let answer = setup.upload(&path, LONGEST_BODY, (method, n));
            let is_whole = answer.status == 200 && answer.complete;
            assert!(!is_whole, "{method} {n}: {:?}", answer.text());
            setup.restore();
        }
    }
}

/// Starts a fleet whose endpoint answers by a function before it has read the request, ends its side
/// of the connection in order, and resets it after a while. Requests without a case get [`OK`].
fn ending_before_the_upload<F>(answer: F) -> Setup
where
    F: Fn(&Head) -> Option<String> + Send + Sync + 'static,
{
    let setup = Setup::start(move |mut request| {
        let Some(early) = answer(&request.head) else {
            return request.answer(OK);
        };
        request.stream.write_all(early.as_bytes())?;
        request.stream.shutdown(Shutdown::Write)?;
        std::thread::sleep(Duration::from_millis(300));
        Ok(())
    });
    setup
}

/// Guards against a part of a response that looks complete, since the endpoint has ended its side of
/// the connection in order although it had not got the whole request.
#[test]
fn shows_that_an_early_response_was_ended_before_the_upload() {
    let types = ["text/plain", "application/json", "text/html"];
    let setup = ending_before_the_upload(move |head| {
        let case: usize = head.header("case").parse().ok()?;
        let kind = types[case % types.len()];
        Some(format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\n\r\nhel"
        ))
    });
    for n in 0..9 {
        let path = format!("/once/{n}");
        let answer = setup.upload(&path, LONG_BODY, ("POST", n));
        let is_whole = answer.status == 200 && answer.complete;
        assert!(!is_whole, "{n}: {:?}", answer.text());
        setup.restore();
    }
}

/// Guards against early refusals of long requests that are taken for broken off, and early responses
/// whose end is marked.
#[test]
fn passes_early_responses_on_that_do_not_depend_on_the_upload() {
    let responses = [
        (413, "Connection: close\r\n\r\ntoo long"),
        (401, "Content-Type: text/plain\r\n\r\ntoo long"),
        (200, "Content-Length: 8\r\n\r\ntoo long"),
        (
            200,
            "Transfer-Encoding: chunked\r\n\r\n8\r\ntoo long\r\n0\r\n\r\n",
        ),
    ];
    let setup = ending_before_the_upload(move |head| {
        let case: usize = head.header("case").parse().ok()?;
        let (status, rest) = responses[case];
        Some(format!("HTTP/1.1 {status} Text\r\n{rest}"))
    });
    for (n, (status, _)) in responses.iter().enumerate() {
        let path = format!("/once/{n}");
        let answer = setup.upload(&path, LONG_BODY, ("POST", n));
        let seen = (answer.status, answer.complete, answer.text());
        assert_eq!(seen, (*status, true, "too long".to_owned()), "{n}");
        setup.restore();
    }
}

/// Guards against a stream that ends between two events although the endpoint had not got the whole
/// request, and that is not resumed.
#[test]
fn resumes_a_stream_that_was_ended_before_the_upload() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    let (begun, rest) = (event(0) + &event(1), event(2) + &event(3));
    let whole = format!("{begun}{rest}");
    let first = Mutex::new(true);
    let setup = ending_before_the_upload(move |request| {
        request.header("case").parse::<usize>().ok()?;
        let is_first = std::mem::take(&mut *first.lock().unwrap());
        Some(match is_first {
            true => format!("{head}\r\n{begun}"),
            false => format!("{head}Content-Length: {}\r\n\r\n{rest}", rest.len()),
        })
    });
    let answer = setup.upload("/resumed/0", LONG_BODY, ("POST", 0));
    let seen = (answer.status, answer.complete, answer.text());
    assert_eq!(seen, (200, true, whole));
    assert_eq!(setup.raw.count("case", "0"), 2);
}
