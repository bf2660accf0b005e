//! A small HTTP/1.1 reader and writer over blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response: its first line, its headers by lower-case name, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: path of a request, status of a response.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

/// Reads a message; `None` if the channel ended before its first byte.
pub fn read<R: Read>(reader: &mut BufReader<R>) -> Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    message.first = message.first.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = message.header("content-length") {
        let length = length
            .parse()
            .map_err(|_| Error::from(ErrorKind::InvalidData))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks<R: Read>(reader: &mut BufReader<R>, body: &mut Vec<u8>) -> Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| Error::from(ErrorKind::InvalidData))?;
        let mut piece = vec![0; length + 2];
        reader.read_exact(&mut piece)?;
        if length == 0 {
            return Ok(());
        }
        body.extend_from_slice(&piece[..length]);
    }
}

/// A channel to a server, kept for several requests.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(to: SocketAddr, wait: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&to, wait)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader })
    }

    /// Sends a request, and waits for its whole response.
    pub fn call(&mut self, request: &[u8], wait: Duration) -> Result<Message> {
        self.stream.set_read_timeout(Some(wait))?;
        self.stream.write_all(request)?;
        read(&mut self.reader)?.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))
    }
}

/// One request on a channel of its own.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> Result<Message> {
    Channel::open(to, Duration::from_secs(1))?.call(request, wait)
}
