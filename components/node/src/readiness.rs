//! Tells on an address of its own whether this router takes requests.

use crate::monitor::Lateness;
use crate::shared::Published;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::sync::watch;
use transport::clock::Clock;

/// What readiness depends on.
#[derive(Clone)]
pub(crate) struct Parts {
    /// What is in force.
    pub(crate) published: watch::Receiver<Published>,
    /// Clock.
    pub(crate) clock: Clock,
    /// Age of the last proof of the newest version past which customers are refused, in
    /// milliseconds.
    pub(crate) stale_ms: Option<u64>,
    /// How late tasks of this process run.
    pub(crate) lateness: Lateness,
}

impl Parts {
    /// Whether requests would be served: by what is in force, by its proof, and by the
    /// processor, which a scheduler for many routers needs for itself.
    pub(crate) fn is_ready(&self) -> bool {
        let published = self.published.borrow();
        let now = self.clock.now();
        let age = published.verified_at.map_or(u64::MAX, |at| now.since(at));
        let proved = self.stale_ms.is_none_or(|bound| age <= bound);
        let has_time = !published.is_dedicated && !self.lateness.is_shedding();
        published.ready && !published.stopping && proved && has_time
    }
}

/// The answer, whatever was asked.
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
