//! A faulty replica sends additional bytes after a complete response, late: at the point where
//! the next response is expected. They have the form of a response without an id.

use crate::fleet::{Fleet, Listed, REPLICA};
use crate::http::Channel;
use crate::record::Record;
use crate::replica::{Kind, Replica};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-book","host":"fit.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"booking","max_attempts":1,"allow_anonymous":true,"session_affinity":false,"stream_resumption":false}],"services":[{"name":"booking","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":620000},"tenants":[{"name":"hule930","api_keys":["asnmgkcuyj8pjbvk9m68"],"priority":1}]}"#;

/// Time for which a replica is faulty, as the site file has it.
const FAULTY: Duration = Duration::from_secs(5);
const DEADLINE_MS: u64 = 2500;
/// Additional bytes. They are no response to a request of the channel: a replica echoes the id of
/// the request in its response, and these have none.
const EXTRA: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nNot-Executed: no id\r\nContent-Length: 0\r\n\r\n";

static IS_FAULTY: AtomicBool = AtomicBool::new(false);

/// One replica of three is faulty: a third, where the site file has a share of 0.6.
fn is_faulty(replica: &Replica) -> bool {
    replica.id == "i-booking-1" && IS_FAULTY.load(Ordering::Relaxed)
}

/// Sends a booking; returns whether its client may send it again, and after how long.
fn book(channel: &mut Channel, record: &Record, id: &str, booking: usize) -> Option<Duration> {
    let request = format!(
        "POST /book/{booking} HTTP/1.1\r\nHost: fit.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\nbook"
    );
    record.add(&format!("sent {id} /book/{booking}"));
    match channel.call(request.as_bytes(), Duration::from_millis(DEADLINE_MS)) {
        Ok(answer) => {
            let signature = answer.header("response-signature").unwrap_or("-");
            record.add(&format!("answered {id} {} {signature}", answer.status()));
            let is_promise = matches!(answer.status(), 408 | 421 | 429 | 503);
            let after = answer
                .header("retry-after")
                .and_then(|text| text.parse().ok());
            is_promise.then(|| Duration::from_secs_f64(after.unwrap_or(0.0)))
        }
        Err(error) => {
            record.add(&format!("answered {id} none {:?}", error.kind()));
            None
        }
    }
}

/// Sends bookings on one kept channel, and each that was promised not to have run once more on a
/// channel of its own.
fn client(fleet: &Fleet, record: &Record, number: usize, until: Instant) -> Option<()> {
    let router = fleet.router(number % 3);
    let wait = Duration::from_secs(1);
    let mut channel = Channel::open(router, wait).ok()?;
    for turn in 0.. {
        if Instant::now() >= until {
            break;
        }
        let booking = number * 1000 + turn;
        let id = format!("a{number:02}{turn:04}");
        if let Some(after) = book(&mut channel, record, &id, booking) {
            std::thread::sleep(after.min(Duration::from_millis(DEADLINE_MS / 3)));
            let other = fleet.router((number + 1) % 3);
            let mut once_more = Channel::open(other, wait).ok()?;
            book(
                &mut once_more,
                record,
                &format!("b{number:02}{turn:04}"),
                booking,
            );
            channel = Channel::open(router, wait).ok()?;
        }
        std::thread::sleep(Duration::from_millis(80));
    }
    Some(())
}

/// Returns the number of requests that were answered with a promise and have run.
pub fn run(record: &Arc<Record>, trouble: bool) -> Result<usize, String> {
    let mut fleet = Fleet::start()?;
    let mut listed = Vec::new();
    for number in 0..3 {
        let id = format!("i-booking-{number}");
        let address = fleet.address(3, number, REPLICA);
        let kind = Kind {
            is_faulty,
            extra: EXTRA,
            ..Kind::PLAIN
        };
        Replica::start(&id, address, record.clone(), kind).map_err(|e| e.to_string())?;
        let service = "booking".to_owned();
        listed.push(Listed {
            id,
            service,
            address,
            slots: 6,
        });
    }
    fleet.set_list(listed);
    fleet.put(CONFIG)?;
    fleet.wait_ready()?;
    std::thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + Duration::from_secs(8);
    std::thread::scope(|scope| {
        for number in 0..8 {
            let fleet = &fleet;
            scope.spawn(move || client(fleet, record, number, until));
        }
        std::thread::sleep(Duration::from_secs(2));
        IS_FAULTY.store(trouble, Ordering::Relaxed);
        if trouble {
            record.add("trouble begins");
        }
        std::thread::sleep(FAULTY);
        IS_FAULTY.store(false, Ordering::Relaxed);
    });
    std::thread::sleep(Duration::from_millis(500));
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(format!("processes have ended: {}", ended.join(", ")));
    }
    judge(record)
}

fn judge(record: &Record) -> Result<usize, String> {
    let runs = record.find("run");
    let ran: HashSet<&String> = runs.iter().map(|words| &words[1]).collect();
    let answers = record.find("answered");
    let served = answers.iter().filter(|words| words[2] == "200").count();
    if served < 100 {
        return Err(format!("only {served} requests were served"));
    }
    let is_promise = |words: &&Vec<String>| ["408", "421", "429", "503"].contains(&&*words[2]);
    let promised = answers.iter().filter(is_promise);
    let broken: Vec<_> = promised.filter(|words| ran.contains(&words[1])).collect();
    for words in &broken {
        record.add(&format!(
            "broken REFUSED: {} was answered {} and has run",
            words[1], words[2]
        ));
    }
    let mut bookings: HashMap<&String, usize> = HashMap::new();
    for words in &runs {
        *bookings.entry(&words[3]).or_default() += 1;
    }
    let doubled = bookings.values().filter(|count| **count > 1).count();
    record.add(&format!(
        "served {served}, promised and run {}",
        broken.len()
    ));
    record.add(&format!(
        "bookings that were made twice, by the client's retry: {doubled}"
    ));
    Ok(broken.len())
}
