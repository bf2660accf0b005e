//! The `Retry-After` header of endpoints' answers.

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::{Duration, SystemTime};

/// Time for which an endpoint that refuses a request with 503 wants no more requests.
///
/// If there are several headers, the longest time; `None` if none of them can be parsed.
pub fn retry_after(head: &Parts) -> Option<Duration> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let now = SystemTime::now();
    let values = head.headers.get_all(RETRY_AFTER).iter();
    let longest = values.filter_map(|value| parse(value, now)).max();
    longest.filter(|time| !time.is_zero())
}

/// Parses seconds, which may have a fraction, or a date.
fn parse(value: &HeaderValue, now: SystemTime) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    if text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        let seconds: f64 = text.parse().ok()?;
        return Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
    }
    let date = httpdate::parse_http_date(text).ok()?;
    date.duration_since(now).ok()
}
