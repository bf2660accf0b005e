//! `Retry-After` of answers.

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::{Duration, SystemTime};

/// Time for which an endpoint that turns a request away wants no more of them; the longest
/// if it says several, `None` if it says none that can be read.
pub fn retry_after(head: &Parts) -> Option<Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let now = SystemTime::now();
    let values = head.headers.get_all(RETRY_AFTER).iter();
    let longest = values.filter_map(|value| read(value, now)).max();
    longest.filter(|time| !time.is_zero())
}

/// Reads seconds, which may have a fraction, or a date.
fn read(value: &HeaderValue, now: SystemTime) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    if text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        let seconds: f64 = text.parse().ok()?;
        return Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
    }
    let date = httpdate::parse_http_date(text).ok()?;
    date.duration_since(now).ok()
}
