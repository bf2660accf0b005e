//! Tells on an address of its own whether this router takes requests.

use crate::shared::Published;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use transport::clock::Clock;

/// Whether requests would be served: by what is in force, and by its proof.
pub(crate) fn is_ready(published: &Published, clock: &Clock, stale_ms: Option<u64>) -> bool {
    let now = clock.now();
    let age = published.proof.map_or(u64::MAX, |at| now.since(at));
    let proved = stale_ms.is_none_or(|bound| age <= bound);
    published.ready && !published.stopping && proved
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
