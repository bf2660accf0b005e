//! Behaviour of the HTTP libraries minreq and tiny_http that would break guarantees to callers.
//!
//! Each test states the behaviour of the version in Cargo.lock, and so fails when
//! an upgrade changes it. docs/design/http.md draws the conclusions; tests/failures.rs
//! and tests/requests.rs check that the fleet itself keeps its guarantees.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

/// Starts an endpoint that answers consecutive connections with raw bytes and closes each;
/// its thread returns the request lines.
fn endpoint(answers: Vec<&'static [u8]>) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let mut lines = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).unwrap();
            let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
            lines.push(head.lines().next().unwrap_or("").to_owned());
            stream.write_all(answer).unwrap();
        }
        lines
    });
    (address, thread)
}

#[test]
fn minreq_accepts_a_truncated_answer_with_a_length() {
    let (address, thread) = endpoint(vec![b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"]);
    let answer = minreq::get(format!("http://{address}/")).send().unwrap();
    assert_eq!(answer.as_str().unwrap(), "short");
    thread.join().unwrap();
}

#[test]
fn minreq_accepts_a_truncated_chunked_answer() {
    let cut = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    let (address, thread) = endpoint(vec![cut]);
    let answer = minreq::get(format!("http://{address}/")).send().unwrap();
    assert_eq!(answer.as_str().unwrap(), "hello");
    thread.join().unwrap();
}

#[test]
fn minreq_reports_a_missing_answer_as_503() {
    let (address, thread) = endpoint(vec![b""]);
    let answer = minreq::post(format!("http://{address}/"))
        .with_body("x")
        .send()
        .unwrap();
    assert_eq!(answer.status_code, 503);
    thread.join().unwrap();
}

#[test]
fn minreq_repeats_a_post_when_it_is_redirected() {
    let moved = b"HTTP/1.1 307 Moved\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n";
    let done = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (address, thread) = endpoint(vec![moved, done]);
    minreq::post(format!("http://{address}/"))
        .with_body("x")
        .send()
        .unwrap();
    let lines = thread.join().unwrap();
    assert_eq!(lines, ["POST / HTTP/1.1", "POST /again HTTP/1.1"]);
}

#[test]
fn tiny_http_serves_a_request_with_two_lengths() {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        let head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 7\r\n\r\n";
        stream
            .write_all(format!("{head}abcdefg").as_bytes())
            .unwrap();
        let mut buffer = [0; 1024];
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let count = stream.read(&mut buffer).unwrap();
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    });
    let mut request = server
        .recv_timeout(Duration::from_secs(20))
        .unwrap()
        .unwrap();
    let mut body = String::new();
    request.as_reader().read_to_string(&mut body).unwrap();
    assert_eq!(body, "abc");
    request.respond(tiny_http::Response::empty(200)).unwrap();
    assert!(caller.join().unwrap().starts_with("HTTP/1.1 200"));
}

#[test]
fn tiny_http_terminates_an_answer_normally_when_its_source_fails() {
    /// A source that yields "hello" a number of times, then fails.
    struct Broken(u8);
    impl Read for Broken {
        fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
            if self.0 == 0 {
                return Err(std::io::Error::other("broken"));
            }
            self.0 -= 1;
            buffer[..5].copy_from_slice(b"hello");
            Ok(5)
        }
    }
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .unwrap();
        let mut answer = String::new();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        stream.read_to_string(&mut answer).unwrap();
        answer
    });
    let request = server
        .recv_timeout(Duration::from_secs(20))
        .unwrap()
        .unwrap();
    let response =
        tiny_http::Response::new(tiny_http::StatusCode(200), vec![], Broken(1), None, None);
    let _ = request.respond(response);
    let answer = caller.join().unwrap();
    // The caller sees a complete answer although its source failed.
    assert!(answer.ends_with("0\r\n\r\n"), "{answer:?}");
}

/// Sends raw bytes to a tiny_http server and returns the connection.
fn connect(server: &tiny_http::Server, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.server_addr().to_ip().unwrap()).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

#[test]
fn tiny_http_serves_a_request_with_a_length_and_chunks() {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let head =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let stream = connect(&server, format!("{head}3\r\nabc\r\n0\r\n\r\n").as_bytes());
    let request = server.recv_timeout(Duration::from_secs(20)).unwrap();
    assert!(request.is_some());
    drop(stream);
}

#[test]
fn tiny_http_uses_a_thread_for_each_slow_caller() {
    let threads = || std::fs::read_dir("/proc/self/task").unwrap().count();
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let before = threads();
    let mut slow: Vec<TcpStream> = Vec::new();
    // Connections are opened one at a time: the library may queue simultaneous ones
    // behind a thread that it has just given another connection.
    while threads() < before + 80 {
        assert!(slow.len() < 2000, "{} threads", threads());
        slow.push(connect(&server, b"GET / HTTP/1.1\r\nHos"));
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(slow);
}

#[test]
fn tiny_http_accepts_a_header_of_any_size() {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let caller = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nX-Long: ").unwrap();
        let mebibyte = vec![b'a'; 1 << 20];
        let taken = (0..8)
            .take_while(|_| stream.write_all(&mebibyte).is_ok())
            .count();
        stream.write_all(b"\r\n\r\n").unwrap();
        (taken, stream)
    });
    let request = server
        .recv_timeout(Duration::from_secs(20))
        .unwrap()
        .unwrap();
    let long = request
        .headers()
        .iter()
        .find(|h| h.field.equiv("x-long"))
        .unwrap();
    assert_eq!(long.value.as_str().len(), 8 << 20);
    assert_eq!(caller.join().unwrap().0, 8);
}

#[test]
fn tiny_http_does_not_close_the_connection_of_a_truncated_raw_answer() {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let mut stream = connect(&server, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    let request = server
        .recv_timeout(Duration::from_secs(20))
        .unwrap()
        .unwrap();
    let mut writer = request.into_writer();
    writer
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
        .unwrap();
    writer.flush().unwrap();
    drop(writer);
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .unwrap();
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    // The read timed out: the connection was not closed.
    assert!(ended.is_err());
    assert!(answer.ends_with(b"half"));
}
