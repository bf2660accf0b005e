//! Answers that the router gives itself.

use crate::interface::{Interface, REQUEST_ID};
use bytes::Bytes;
use coordination::messages;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use state::id::RequestId;
use state::outcome::Outcome;
use std::time::Duration;

/// Header that says whether the request was run.
pub(crate) const OUTCOME: &str = "cowslipford-outcome";

/// Why a request is not answered by an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) outcome: Outcome,
    /// Time after which coming back makes sense.
    pub(crate) retry_after: Option<Duration>,
    /// What a scheduler knew that refused it.
    pub(crate) basis: Option<messages::Refusal>,
}

impl Refusal {
    /// A refusal of a request that no endpoint has seen.
    pub(crate) fn not_run<M>(status: StatusCode, code: &'static str, message: M) -> Self
    where
        M: Into<String>,
    {
        Refusal {
            status,
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
            basis: None,
        }
    }

    /// A refusal of a request that may have run.
    pub(crate) fn unknown<M>(status: StatusCode, code: &'static str, message: M) -> Self
    where
        M: Into<String>,
    {
        Refusal {
            outcome: Outcome::Unknown,
            ..Refusal::not_run(status, code, message)
        }
    }

    /// Says when to come back.
    pub(crate) fn after(self, seconds: u32) -> Self {
        self.after_time(Duration::from_secs(u64::from(seconds)))
    }

    /// Says when to come back.
    pub(crate) fn after_time(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// The answer.
    pub(crate) fn response(&self, id: RequestId, interface: &Interface) -> Response<Full<Bytes>> {
        let body = serde_json::json!({
            "error": self.code,
            "message": self.message,
            "outcome": self.outcome.as_str(),
            "request": id.to_string(),
        });
        let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
        *response.status_mut() = (interface.map_status)(self.status, self.outcome);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        insert(headers, REQUEST_ID, &id.to_string());
        if let Some(time) = self.retry_after {
            // Whole seconds where they are whole: not every caller reads fractions.
            let text = match time.subsec_millis() {
                0 => time.as_secs().to_string(),
                millis => format!("{}.{millis:03}", time.as_secs()),
            };
            insert(headers, "retry-after", &text);
        }
        response
    }
}

/// Sets a header whose value this process made.
pub(crate) fn insert(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
