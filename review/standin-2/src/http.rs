//! Minimal HTTP/1.1 over blocking sockets, for clients, replicas, the operator and the platform.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, by any case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid(text: &str) -> Error {
    Error::new(ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head; `None` at the end of the channel.
pub fn read_head<R: BufRead>(reader: &mut R) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else {
            let (name, value) = line.split_once(':').ok_or_else(|| invalid("a header"))?;
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that follows a head. A response without a length ends with its channel.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message, is_response: bool) -> Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("a chunk"))?;
            let mut piece = vec![0; size];
            reader.read_exact(&mut piece)?;
            message.body.extend_from_slice(&piece);
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| invalid("a length"))?;
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    if is_response && message.status() != 204 && message.status() != 304 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// A client's channel, which may carry many requests.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Channel { reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its whole response within a time.
    pub fn call(&mut self, request: &[u8], timeout: Duration) -> Result<Message> {
        let began = Instant::now();
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.write_all(request)?;
        let head = read_head(&mut self.reader)?;
        let mut message = head.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
        let left = timeout.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
        self.reader.get_mut().set_read_timeout(Some(left))?;
        read_body(&mut self.reader, &mut message, true)?;
        Ok(message)
    }
}

/// Bytes of a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !body.is_empty() || method != "GET" {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes of a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each channel of a listener on a thread of its own.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Message, &mut TcpStream) -> Result<()> + Send + Sync + 'static,
{
    let answer = std::sync::Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut output) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request, false).is_err() {
                        return;
                    }
                    if answer(&request, &mut output).is_err() {
                        let _ = output.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
}
