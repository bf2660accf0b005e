//! `cowslipford load`: a small load tool for the whole path.

use super::Failure;
use crate::cli::Load;
use errors::{Error, Result};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time for one answer.
const ANSWER: Duration = Duration::from_secs(60);

/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// What one caller measured.
struct Sample {
    /// Microseconds to the first byte and to the end.
    first: Histogram<u64>,
    whole: Histogram<u64>,
    statuses: BTreeMap<u16, u64>,
    errors: u64,
}

/// Sends the load and prints one JSON line.
pub(crate) fn run(args: &Load) -> Result<(), Failure> {
    let parts = Arc::new(request(args));
    let run: u64 = rand::random();
    let keys = args.keys;
    let next = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let mut callers = Vec::new();
    for _ in 0..args.callers.max(1) {
        let (parts, next) = (parts.clone(), next.clone());
        let (target, count, rate) = (args.target, args.requests, args.rate);
        callers.push(std::thread::spawn(move || -> Result<Sample> {
            let mut sample = Sample::new()?;
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return Ok(sample);
                }
                wait_turn(began, number, rate);
                let key = keys.then(|| format!("Idempotency-Key: {run:x}-{number}\r\n"));
                let (head, body) = &*parts;
                let request = [head.as_bytes(), key.unwrap_or_default().as_bytes(), body].concat();
                sample.take(call(target, &request));
            }
        }));
    }
    let mut total = Sample::new()?;
    for caller in callers {
        let joined = caller.join().map_err(|_| Error::Key {
            step: "send load",
            reason: "a caller's thread has failed".to_owned(),
        })?;
        total.add(&joined?)?;
    }
    print(args, &total, began.elapsed());
    Ok(())
}

/// Waits until the time of a request that is sent at a rate.
fn wait_turn(began: Instant, number: usize, rate: Option<f64>) {
    if let Some(rate) = rate {
        let at = Duration::from_secs_f64(number as f64 / rate.max(0.001));
        std::thread::sleep(at.saturating_sub(began.elapsed()));
    }
}

impl Sample {
    fn new() -> Result<Self> {
        // A histogram without bounds turns what it cannot hold yet into its least.
        let histogram = || {
            let made = Histogram::new_with_bounds(1, LONGEST_US, 3);
            made.map_err(Error::key("make a histogram"))
        };
        Ok(Sample {
            first: histogram()?,
            whole: histogram()?,
            statuses: BTreeMap::new(),
            errors: 0,
        })
    }

    fn take(&mut self, called: Result<(u16, Duration, Duration)>) {
        let Ok((status, first, whole)) = called else {
            self.errors += 1;
            return;
        };
        let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        self.first.saturating_record(micros(first));
        self.whole.saturating_record(micros(whole));
        *self.statuses.entry(status).or_default() += 1;
    }

    fn add(&mut self, other: &Sample) -> Result<()> {
        let step = "join histograms";
        self.first.add(&other.first).map_err(Error::key(step))?;
        self.whole.add(&other.whole).map_err(Error::key(step))?;
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
        self.errors += other.errors;
        Ok(())
    }
}

/// The head without its end, and what follows it.
fn request(args: &Load) -> (String, Vec<u8>) {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\nConnection: close\r\n\
         Content-Length: {}\r\n",
        args.method, args.path, args.target, args.key, args.bytes
    );
    if let Some(tokens) = args.tokens {
        head.push_str(&format!("stand-in-tokens: {tokens}\r\n"));
    }
    if let Some(pace) = args.pace {
        head.push_str(&format!("stand-in-pace: {pace}\r\n"));
    }
    let mut body = b"\r\n".to_vec();
    body.resize(body.len() + args.bytes, b'x');
    (head, body)
}

/// One call on a connection of its own: status, time to the first byte, and
/// to the end.
fn call(target: std::net::SocketAddr, request: &[u8]) -> Result<(u16, Duration, Duration)> {
    let step = "send a request";
    let began = Instant::now();
    let mut stream = TcpStream::connect(target).map_err(Error::peer(step, target))?;
    stream
        .set_read_timeout(Some(ANSWER))
        .map_err(Error::peer(step, target))?;
    stream
        .set_nodelay(true)
        .map_err(Error::peer(step, target))?;
    stream
        .write_all(request)
        .map_err(Error::peer(step, target))?;
    let mut buffer = [0; 16 * 1024];
    let count = stream
        .read(&mut buffer)
        .map_err(Error::peer(step, target))?;
    let first = began.elapsed();
    let line = String::from_utf8_lossy(&buffer[..count]);
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| Error::Peer {
        step,
        peer: target.to_string(),
        reason: "the answer is no HTTP".to_owned(),
    })?;
    while stream
        .read(&mut buffer)
        .map_err(Error::peer(step, target))?
        > 0
    {}
    Ok((status, first, began.elapsed()))
}

fn print(args: &Load, total: &Sample, time: Duration) {
    let quantiles = |h: &Histogram<u64>| {
        serde_json::json!({
            "p50": h.value_at_quantile(0.5),
            "p95": h.value_at_quantile(0.95),
            "p99": h.value_at_quantile(0.99),
            "max": h.max(),
        })
    };
    let line = serde_json::json!({
        "target": args.target.to_string(),
        "callers": args.callers,
        "requests": total.whole.len(),
        "errors": total.errors,
        "seconds": time.as_secs_f64(),
        "per-second": total.whole.len() as f64 / time.as_secs_f64(),
        "first-byte-us": quantiles(&total.first),
        "whole-us": quantiles(&total.whole),
        "statuses": total.statuses,
    });
    say!("{line}");
}
