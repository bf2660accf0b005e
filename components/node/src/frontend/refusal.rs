//! Refusals: answers that the router gives itself, in place of an endpoint.

use crate::interface::{Interface, REQUEST_ID};
use bytes::Bytes;
use coordination::messages;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use state::id::{PartId, RequestId};
use state::outcome::Outcome;
use std::time::Duration;

/// Header that says whether an endpoint has run the request.
pub(crate) const OUTCOME_HEADER: &str = "cowslipford-outcome";

/// Header of a refusal that declines another router's request since this router's configuration is
/// older than the one that the request was accepted under.
pub(super) const DECLINED_HEADER: &str = "cowslipford-declined";

/// Code of that refusal, and the value of the header.
pub(super) const DECLINED_CODE: &str = "older-configuration";

/// Header with the time after which a caller should retry.
pub(super) const RETRY_AFTER: &str = "retry-after";

/// Why the router refuses a request, as the caller is told.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Machine-readable reason; callers and operators match it.
    pub(crate) code: &'static str,
    /// Reason in words.
    pub(crate) message: String,
    /// Whether an endpoint may have run the request.
    pub(crate) outcome: Outcome,
    /// Time after which the caller should retry.
    pub(crate) retry_after: Option<Duration>,
    /// The scheduler's refusal with the estimate behind it, if a scheduler refused the request.
    pub(crate) estimate: Option<messages::Refusal>,
    /// The part of the prompt for which the request is refused, if it is quarantined.
    pub(crate) part: Option<PartId>,
}

impl Refusal {
    /// Refuses a request that no endpoint has run.
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
            estimate: None,
            part: None,
        }
    }

    /// Refuses a request that an endpoint may have run.
    pub(crate) fn unknown<M>(status: StatusCode, code: &'static str, message: M) -> Self
    where
        M: Into<String>,
    {
        Refusal {
            outcome: Outcome::Unknown,
            ..Refusal::not_run(status, code, message)
        }
    }

    /// The same refusal of a request that an endpoint may have run before.
    pub(crate) fn into_unknown(self) -> Self {
        match self.outcome {
            Outcome::NotRun => Refusal {
                status: StatusCode::BAD_GATEWAY,
                outcome: Outcome::Unknown,
                ..self
            },
            _ => self,
        }
    }

    /// Tells the caller to retry after some seconds.
    pub(crate) fn with_retry_after_s(self, seconds: u32) -> Self {
        self.with_retry_after(Duration::from_secs(u64::from(seconds)))
    }

    /// Tells the caller to retry after some time.
    pub(crate) fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Builds the HTTP response that the caller receives.
    pub(crate) fn response(&self, id: RequestId, interface: &Interface) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body(id))));
        *response.status_mut() = (interface.map_status)(self.status, self.outcome);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        set_header(headers, REQUEST_ID, &id.to_string());
        if self.code == DECLINED_CODE {
            headers.insert(DECLINED_HEADER, HeaderValue::from_static(DECLINED_CODE));
        }
        if let Some(time) = self.retry_after {
            set_header(headers, RETRY_AFTER, &retry_after_text(time));
        }
        response
    }

    /// Body of that response.
    pub(super) fn body(&self, id: RequestId) -> String {
        let body = serde_json::json!({
            "error": self.code,
            "message": self.message,
            "outcome": self.outcome.as_str(),
            "request": id.to_string(),
        });
        format!("{body}\n")
    }
}

/// Value of the header `Retry-After`. Whole seconds have no decimals, since not every caller
/// parses fractions.
pub(super) fn retry_after_text(time: Duration) -> String {
    match time.subsec_millis() {
        0 => time.as_secs().to_string(),
        millis => format!("{}.{millis:03}", time.as_secs()),
    }
}

/// Sets a header. A value that is no valid header value is left out.
pub(crate) fn set_header(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
