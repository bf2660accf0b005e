//! Readiness check for load balancers, on an address of its own.

use crate::monitor::Lateness;
use crate::shared::Published;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::sync::watch;
use transport::clock::Clock;

/// State that readiness depends on.
#[derive(Clone)]
pub(crate) struct Parts {
    /// State published by the reactor.
    pub(crate) published: watch::Receiver<Published>,
    /// Clock of this process.
    pub(crate) clock: Clock,
    /// Age of the last proof that the view is the newest, in milliseconds, from which customers are
    /// refused.
    pub(crate) stale_ms: Option<u64>,
    /// How late tasks of this process run.
    pub(crate) lateness: Lateness,
}

impl Parts {
    /// Whether requests would be served: the view is current, the processor is not overloaded, and
    /// it is not needed for a scheduler of many routers.
    pub(crate) fn is_ready(&self) -> bool {
        let published = self.published.borrow();
        let now = self.clock.now();
        let age = published.verified_at.map_or(u64::MAX, |at| now.since(at));
        let is_current = self.stale_ms.is_none_or(|bound| age <= bound);
        let has_capacity = !published.is_dedicated && !self.lateness.is_shedding();
        published.ready && !published.stopping && is_current && has_capacity
    }
}

/// The response to any request.
pub(crate) fn answer(ready: bool) -> Response<Full<Bytes>> {
    let (status, body) = if ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response
}
