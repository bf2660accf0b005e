//! `cowslipford load`: a load generator that measures latency and throughput end to end.

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

/// Longest wait for more of a response before the request counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Upper bound of the latency histograms, in microseconds; higher latencies count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What one caller, or all together, measured.
struct Sample {
    /// Time from the connection attempt to the first byte of the response, in microseconds.
    first_byte_us: Histogram<u64>,
    /// Time to the end of the response, in microseconds.
    whole_us: Histogram<u64>,
    /// Responses by HTTP status.
    statuses: BTreeMap<u16, u64>,
    /// Failed requests: no connection, a read error, or a response that is not HTTP.
    errors: u64,
}

/// Sends the load from one thread per caller, and prints the result as one JSON line.
pub(crate) fn run(args: &Load) -> Result<(), Failure> {
    let parts = Arc::new(build_request(args));
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
                wait_until_due(began, number, rate);
                let key = keys.then(|| format!("Idempotency-Key: {run:x}-{number}\r\n"));
                let (head, body) = &*parts;
                let request = [head.as_bytes(), key.unwrap_or_default().as_bytes(), body].concat();
                sample.record(call(target, &request));
            }
        }));
    }
    let mut total = Sample::new()?;
    for caller in callers {
        let joined = caller.join().map_err(|_| Error::Key {
            step: "send load",
            reason: "a caller's thread panicked".to_owned(),
        })?;
        total.merge(&joined?)?;
    }
    print(args, &total, began.elapsed());
    Ok(())
}

/// Sleeps until a request is due, by its number, if requests are sent at a rate per second.
fn wait_until_due(began: Instant, number: usize, rate: Option<f64>) {
    if let Some(rate) = rate {
        let at = Duration::from_secs_f64(number as f64 / rate.max(0.001));
        std::thread::sleep(at.saturating_sub(began.elapsed()));
    }
}

impl Sample {
    fn new() -> Result<Self> {
        // With bounds, as `saturating_record` clamps values to the current range: a histogram
        // that grows on demand starts with a range of almost nothing, and is not grown by it.
        let histogram = || {
            let made = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
            made.map_err(Error::key("make a histogram"))
        };
        Ok(Sample {
            first_byte_us: histogram()?,
            whole_us: histogram()?,
            statuses: BTreeMap::new(),
            errors: 0,
        })
    }

    /// Records one call.
    fn record(&mut self, called: Result<(u16, Duration, Duration)>) {
        let Ok((status, first, whole)) = called else {
            self.errors += 1;
            return;
        };
        let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        self.first_byte_us.saturating_record(micros(first));
        self.whole_us.saturating_record(micros(whole));
        *self.statuses.entry(status).or_default() += 1;
    }

    /// Adds what another caller measured.
    fn merge(&mut self, other: &Sample) -> Result<()> {
        let step = "merge histograms";
        self.first_byte_us
            .add(&other.first_byte_us)
            .map_err(Error::key(step))?;
        self.whole_us
            .add(&other.whole_us)
            .map_err(Error::key(step))?;
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
        self.errors += other.errors;
        Ok(())
    }
}

/// Builds a request in two parts, between which further headers fit: the head without the blank
/// line that ends it, and the blank line with the body.
fn build_request(args: &Load) -> (String, Vec<u8>) {
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

/// Sends one request on a new connection. Returns the status, the time to the first byte and
/// the time to the end of the response.
fn call(target: std::net::SocketAddr, request: &[u8]) -> Result<(u16, Duration, Duration)> {
    let step = "send a request";
    let began = Instant::now();
    let mut stream = TcpStream::connect(target).map_err(Error::peer(step, target))?;
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
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
        reason: "the response is not HTTP".to_owned(),
    })?;
    while stream
        .read(&mut buffer)
        .map_err(Error::peer(step, target))?
        > 0
    {}
    Ok((status, first, began.elapsed()))
}

/// Prints the result as one JSON line.
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
        "requests": total.whole_us.len(),
        "errors": total.errors,
        "seconds": time.as_secs_f64(),
        "per-second": total.whole_us.len() as f64 / time.as_secs_f64(),
        "first-byte-us": quantiles(&total.first_byte_us),
        "whole-us": quantiles(&total.whole_us),
        "statuses": total.statuses,
    });
    print_line!("{line}");
}
