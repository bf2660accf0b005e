//! Tests of the close of connections.

use super::{close, Closed, Socket, State};
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Response;
use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::time::Duration;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";

/// Reads a response; returns whether there is one.
fn has_response(caller: &mut TcpStream) -> bool {
    let mut buffer = [0; 1024];
    let count = caller.read(&mut buffer).unwrap_or(0);
    buffer[..count].starts_with(b"HTTP/1.1 200")
}

/// Guards against a request that gets no answer, since it was sent on a kept connection that is
/// closed as idle before the runtime knows of the request.
#[tokio::test]
async fn answers_a_request_that_arrived_before_the_close() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let stream = tokio::net::TcpStream::from_std(stream).unwrap();
    let state = State::new();
    let service = service_fn(|_| {
        let busy = state.begin();
        async move {
            drop(busy);
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"answer"))))
        }
    });
    let mut connection =
        http1::Builder::new().serve_connection(Socket::new(stream, state.clone()), service);
    caller.write_all(REQUEST).unwrap();
    let served = tokio::time::timeout(Duration::from_millis(100), &mut connection).await;
    assert!(served.is_err(), "the connection is kept");
    assert!(has_response(&mut caller));
    caller.write_all(REQUEST).unwrap();
    // The runtime learns of it only at the next pause of this task.
    let shut = http1::Connection::graceful_shutdown;
    let patience = std::future::pending();
    let closed = close(Pin::new(&mut connection), &state, shut, patience).await;
    assert!(matches!(closed, Closed::Ended(Ok(()))));
    assert!(has_response(&mut caller), "the second request is answered");
    assert!(!has_response(&mut caller), "the connection is closed");
}
