//! A server that answers requests with the bytes that a test writes.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use std::io::{ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest wait for a part of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Head of a request that was received.
#[derive(Clone, Debug)]
pub(crate) struct Head(String);

impl Head {
    /// Value of a header, empty without it. `name` is in lower case.
    pub(crate) fn header(&self, name: &str) -> &str {
        let mut lines = self.0.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.trim())
    }

    /// Path of the request.
    pub(crate) fn path(&self) -> &str {
        self.0.split(' ').nth(1).unwrap_or("")
    }

    /// Length of the request's body.
    fn length(&self) -> u64 {
        self.header("content-length").parse().unwrap_or(0)
    }
}

/// A request that was received, on the connection that its answer goes to.
pub(crate) struct Request<'a> {
    pub(crate) head: Head,
    pub(crate) stream: &'a mut TcpStream,
}

impl Request<'_> {
    /// Reads the body, then writes these bytes as the answer.
    pub(crate) fn answer(&mut self, bytes: &[u8]) -> Result<()> {
        let mut body = std::io::Read::by_ref(&mut self.stream).take(self.head.length());
        std::io::copy(&mut body, &mut std::io::sink())?;
        self.stream.write_all(bytes)
    }
}

/// A server with one answer to a connection. Its threads are joined when it is dropped.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    heads: Arc<Mutex<Vec<Head>>>,
    is_stopped: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server that calls a function for each request, and closes the connection after it. A
    /// response that others may follow should announce that with `Connection: close`.
    pub(crate) fn start<F>(answer: F) -> Self
    where
        F: Fn(Request<'_>) -> Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let heads: Arc<Mutex<Vec<Head>>> = Arc::default();
        let is_stopped: Arc<AtomicBool> = Arc::default();
        let (received, stopped) = (heads.clone(), is_stopped.clone());
        let acceptor = std::thread::spawn(move || {
            std::thread::scope(|scope| {
                for stream in listener.incoming() {
                    if stopped.load(Ordering::Relaxed) {
                        break;
                    }
                    let (answer, received) = (&answer, &received);
                    let serve = move |mut stream: TcpStream| -> Result<()> {
                        let head = read_head(&mut stream)?;
                        let mut heads = received.lock().unwrap_or_else(PoisonError::into_inner);
                        heads.push(head.clone());
                        drop(heads);
                        answer(Request {
                            head,
                            stream: &mut stream,
                        })
                    };
                    // An error of the connection is seen by the test as one of its answer.
                    scope.spawn(move || stream.and_then(serve).ok());
                }
            });
        });
        Server {
            address,
            heads,
            is_stopped,
            acceptor: Some(acceptor),
        }
    }

    /// Number of requests.
    pub(crate) fn requests(&self) -> usize {
        self.heads().len()
    }

    /// Number of requests with a value of a header, whose name is in lower case.
    pub(crate) fn count(&self, name: &str, value: &str) -> usize {
        let heads = self.heads();
        heads.iter().filter(|h| h.header(name) == value).count()
    }

    /// Number of requests with a path.
    pub(crate) fn count_path(&self, path: &str) -> usize {
        self.heads().iter().filter(|h| h.path() == path).count()
    }

    fn heads(&self) -> MutexGuard<'_, Vec<Head>> {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the acceptor.
        let _ = TcpStream::connect(self.address);
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the thread has already failed the test.
            let _ = acceptor.join();
        }
    }
}

/// Reads up to the end of the head, so that the body is left in the connection.
fn read_head(stream: &mut TcpStream) -> Result<Head> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        head.push(byte[0]);
    }
    Ok(Head(String::from_utf8_lossy(&head).into_owned()))
}
