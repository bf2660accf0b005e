//! A stand-in for a replica of a plain service, or for a model replica that answers with a stream of
//! events: it echoes the id of a request, checks the instance that is expected, signs its responses
//! and says how loaded it is.

use crate::http::{self, Message};
use crate::record::Record;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// What a replica does.
#[derive(Clone, Copy)]
pub struct Kind {
    pub slots: u32,
    /// Time until the response, or until its first event.
    pub work: Duration,
    /// Events of a response, 20 ms apart; 0 for a plain service.
    pub events: u32,
    pub is_faulty: fn(&Replica) -> bool,
    pub extra: &'static [u8],
}

impl Kind {
    /// A sound replica of a plain service.
    pub const PLAIN: Kind = Kind {
        slots: 6,
        work: Duration::from_millis(30),
        events: 0,
        is_faulty: |_| false,
        extra: b"",
    };
    /// A sound model replica.
    pub const MODEL: Kind = Kind {
        slots: 64,
        events: 30,
        ..Kind::PLAIN
    };
}

pub struct Replica {
    pub id: String,
    pub slots: u32,
    pub work: Duration,
    /// Events of a response; 0 for a plain service, whose responses have a length.
    pub events: u32,
    pub record: Arc<Record>,
    /// Whether the replica is faulty at this moment.
    pub is_faulty: fn(&Replica) -> bool,
    /// One in so many responses is spoilt while the replica is faulty.
    pub spoilt_each: u64,
    /// Bytes that a faulty replica sends at the point where a response is expected, before that
    /// response: they belong to no request.
    pub extra: &'static [u8],
    running: AtomicU32,
    responses: AtomicU64,
}

impl Replica {
    pub fn start(
        id: &str,
        address: SocketAddr,
        record: Arc<Record>,
        kind: Kind,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            slots: kind.slots,
            work: kind.work,
            events: kind.events,
            record,
            is_faulty: kind.is_faulty,
            spoilt_each: 34,
            extra: kind.extra,
            running: AtomicU32::new(0),
            responses: AtomicU64::new(0),
        });
        let served = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = served.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Answers the requests of one channel, one after the other.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let mut answered = 0_u64;
        while let Some(request) = http::read(&mut reader).ok()? {
            if request.second() == "/health" {
                let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n", self.id);
                let load = self.load();
                writer
                    .write_all(format!("{head}{load}Content-Length: 0\r\n\r\n").as_bytes())
                    .ok()?;
                continue;
            }
            if let Some(page) = engine_page(request.second()) {
                let length = page.len();
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                let page = format!("{head}Content-Length: {length}\r\n\r\n{page}");
                writer.write_all(page.as_bytes()).ok()?;
                continue;
            }
            if answered > 0 && (self.is_faulty)(self) {
                let number = self.responses.fetch_add(1, Ordering::Relaxed) + 1;
                if number % self.spoilt_each == 0 {
                    let id = request.header("attempt-id").unwrap_or("");
                    self.record.add(&format!("spoilt {id} {}", self.id));
                    writer.write_all(self.extra).ok()?;
                }
            }
            let (is_run, response) = self.answer(&request);
            writer.write_all(&response).ok()?;
            if is_run && self.events > 0 {
                self.stream(&mut writer).ok()?;
            }
            answered += 1;
        }
        Some(())
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        format!("Server-Load: {running},0,{}\r\n", self.slots)
    }

    /// Runs a request, unless it is meant for another replica or all slots are taken.
    fn answer(&self, request: &Message) -> (bool, Vec<u8>) {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let refused = |status: &str, why: &str| {
            let response = format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: {why}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            (false, response.into_bytes())
        };
        if id.is_empty() {
            let head = "HTTP/1.1 400 Bad Request\r\nNot-Executed: no id\r\n";
            return (
                false,
                format!("{head}Content-Length: 0\r\n\r\n").into_bytes(),
            );
        }
        if request
            .header("expected-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return refused("421 Misdirected Request", "other instance");
        }
        if self.running.fetch_add(1, Ordering::Relaxed) >= self.slots {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return refused("503 Service Unavailable", "full");
        }
        self.record
            .add(&format!("run {id} {} {}", self.id, request.second()));
        std::thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let body = format!("{id} was run by {}\n", self.id);
        let load = self.load();
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {}.{id}\r\n{load}",
            self.id
        );
        let response = match self.events {
            0 => format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
            _ => format!(
                "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            ),
        };
        (true, response.into_bytes())
    }

    /// Sends the events of a response, and its end.
    fn stream(&self, writer: &mut TcpStream) -> Result<()> {
        for number in 1..=self.events {
            let event = format!("id: {number}\ndata: word {number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(Duration::from_millis(20));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// What a model replica tells of itself.
fn engine_page(path: &str) -> Option<&'static str> {
    match path {
        "/report" => Some(
            "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued_requests\":0,\
             \"running_requests\":0,\"kv_used\":0,\"kv_total\":555462,\"handles\":0}",
        ),
        _ if path.starts_with("/kv-list") => Some("{\"epoch\":1,\"next\":0,\"held\":[]}"),
        _ => None,
    }
}
