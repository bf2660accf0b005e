//! Answers that the router gives itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use state::id::RequestId;
use state::outcome::Outcome;

/// Header that says whether the request was run.
pub(crate) const OUTCOME: &str = "cowslipford-outcome";
/// Header that carries the request's identity.
pub(crate) const IDENTITY: &str = "cowslipford-request-id";

/// Why a request is not answered by an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) outcome: Outcome,
    /// Seconds after which coming back makes sense.
    pub(crate) retry_after: Option<u32>,
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
    pub(crate) fn after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// The answer.
    pub(crate) fn response(&self, id: RequestId) -> Response<Full<Bytes>> {
        let body = serde_json::json!({
            "error": self.code,
            "message": self.message,
            "outcome": self.outcome.as_str(),
            "request": id.to_string(),
        });
        let mut response = Response::new(Full::new(Bytes::from(format!("{body}\n"))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        insert(headers, IDENTITY, &id.to_string());
        if let Some(seconds) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Sets a header whose value this process made.
pub(crate) fn insert(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
