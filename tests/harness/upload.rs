//! A caller that sends its request slowly, on a connection that it has used before.

use super::http::Answer;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for a part of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of the body of a slow request.
pub(crate) const BODY_BYTES: usize = 50_000;
/// Pieces in which the body is sent.
const PIECES: u32 = 25;

/// How the body of a request is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length.
    Length,
    /// By chunks, one a piece.
    Chunked,
}

/// How an attempt to send a request and to receive its answer has ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A whole answer has arrived.
    Answered(Answer),
    /// The connection ended without a whole answer; the time since the request was sent.
    Lost(Duration),
    /// The connection failed before the request was sent.
    Unsent,
}

impl Outcome {
    /// Status of the answer; 0 without one.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Outcome::Answered(answer) => answer.status,
            Outcome::Lost(_) | Outcome::Unsent => 0,
        }
    }
}

/// A connection of a caller.
pub(crate) struct Connection {
    stream: TcpStream,
}

impl Connection {
    pub(crate) fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Connection { stream }
    }

    /// Sets the longest wait for a part of an answer.
    pub(crate) fn set_read_timeout(&self, timeout: Duration) {
        self.stream.set_read_timeout(Some(timeout)).unwrap();
    }

    /// Sends bytes; returns whether the connection took them.
    pub(crate) fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends a request whose body takes `lasts`, and receives the answer.
    pub(crate) fn upload(
        &mut self,
        path: &str,
        headers: &[(&str, &str)],
        framing: Framing,
        lasts: Duration,
    ) -> Outcome {
        let piece = vec![b'p'; BODY_BYTES / PIECES as usize];
        if !self.write(head(path, headers, framing, BODY_BYTES).as_bytes()) {
            return Outcome::Unsent;
        }
        for _ in 0..PIECES {
            std::thread::sleep(lasts / PIECES);
            let sent = match framing {
                Framing::Length => self.write(&piece),
                Framing::Chunked => self.write(&chunk(&piece)),
            };
            if !sent {
                return Outcome::Unsent;
            }
        }
        if framing == Framing::Chunked && !self.write(&chunk(&[])) {
            return Outcome::Unsent;
        }
        self.receive()
    }

    /// Sends a request without a body, and receives the answer.
    pub(crate) fn request(&mut self, path: &str, headers: &[(&str, &str)]) -> Outcome {
        match self.write(head(path, headers, Framing::Length, 0).as_bytes()) {
            true => self.receive(),
            false => Outcome::Unsent,
        }
    }

    /// Receives an answer with a length or chunks.
    pub(crate) fn receive(&mut self) -> Outcome {
        let began = Instant::now();
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            if let Some(answer) = parse(&received) {
                return Outcome::Answered(answer);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return Outcome::Lost(began.elapsed()),
                Ok(count) => received.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Outcome::Lost(began.elapsed()),
            }
        }
    }
}

/// Head of a request of customer `alpha`.
pub(crate) fn head(
    path: &str,
    headers: &[(&str, &str)],
    framing: Framing,
    body_bytes: usize,
) -> String {
    let mut head = format!("POST {path} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer alpha\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    match framing {
        Framing::Length => head.push_str(&format!("content-length: {body_bytes}\r\n\r\n")),
        Framing::Chunked => head.push_str("transfer-encoding: chunked\r\n\r\n"),
    }
    head
}

fn chunk(piece: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
    chunk.extend_from_slice(piece);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Parses a whole answer; `None` if it is not whole yet.
fn parse(received: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        ..Answer::default()
    };
    for line in lines {
        let (name, value) = line.split_once(": ")?;
        let name = hyper::header::HeaderName::try_from(name).ok()?;
        let value = hyper::header::HeaderValue::try_from(value).ok()?;
        answer.headers.insert(name, value);
    }
    let is_whole = match answer.header("content-length").parse::<usize>() {
        Ok(length) => body.len() >= length,
        Err(_) => body.ends_with("0\r\n\r\n"),
    };
    answer.body = body.to_owned().into();
    answer.complete = true;
    is_whole.then_some(answer)
}
