//! Deliveries of requests to endpoints, watched to find requests that crash their endpoints.
//!
//! A request that is suspected by several crashes is put into quarantine and refused.

use super::listen::Frontend;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::input::{Dispatch, Input};
use coordination::prompt::SharedParts;
use hyper::StatusCode;
use state::clock::Stamp;
use state::fingerprint::Fingerprint;
use state::id::{CustomerId, Name, PartId, RequestId};
use state::line::Line;
use state::suspect::{Completion, Crash, Successes};
use std::sync::{Arc, MutexGuard, PoisonError};

/// A delivery of one request to one endpoint, in progress.
pub(crate) struct Delivery {
    frontend: Arc<Frontend>,
    request: RequestId,
    fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    parts: SharedParts,
    customer: CustomerId,
    /// Name of the endpoint.
    endpoint: Name,
    /// When the request was sent.
    sent_at: Stamp,
    /// Whether the request was suspected of crashing endpoints when it was sent.
    was_suspected: bool,
}

impl Delivery {
    /// Starts a delivery now.
    pub(crate) fn new(
        frontend: &Arc<Frontend>,
        call: &Call,
        customer: CustomerId,
        dispatch: &Dispatch,
    ) -> Self {
        let suspicions = frontend.context.suspicions.borrow();
        Delivery {
            frontend: frontend.clone(),
            request: call.id,
            fingerprint: call.fingerprint(),
            parts: call.shared_parts.clone(),
            customer,
            endpoint: dispatch.name.clone(),
            sent_at: frontend.context.clock.stamp(),
            was_suspected: !suspicions.is_empty() && suspicions.contains(&call.fingerprint()),
        }
    }

    /// Whether the request was suspected of crashing endpoints when it was sent.
    pub(crate) fn was_suspected(&self) -> bool {
        self.was_suspected
    }

    /// Reports that the endpoint closed the connection before the end of its answer: the request
    /// may have crashed it.
    ///
    /// Nothing is reported if a recent complete answer exonerates the request.
    pub(crate) fn report_break(&self) {
        let crash = Crash {
            fingerprint: self.fingerprint,
            customer: self.customer,
            sent: self.sent_at,
            at: self.frontend.context.clock.stamp(),
        };
        let is_ruled_out = self.frontend.successes().rules_out(&crash);
        tracing::info!(
            event = Line::CrashEvidence.as_str(),
            request = %self.request,
            endpoint = self.endpoint.as_str(),
            fingerprint = %self.fingerprint,
            parts = parts_text(&self.parts),
            is_ruled_out,
        );
        if is_ruled_out {
            return;
        }
        // Sending fails only at the end of this process.
        let _ = self.frontend.context.reactor.send(Input::Crashed(crash));
    }

    /// Reports that the endpoint has answered completely, and not with a server error.
    pub(crate) fn report_success(&self) {
        let completion = Completion {
            fingerprint: self.fingerprint,
            at: self.frontend.context.clock.stamp(),
        };
        self.frontend.successes().record(&completion);
        if !self
            .frontend
            .context
            .suspicions
            .borrow()
            .contains(&self.fingerprint)
        {
            return;
        }
        let _ = self
            .frontend
            .context
            .reactor
            .send(Input::Completed(completion));
    }
}

impl Frontend {
    /// Fingerprints of requests that were answered completely not long ago.
    fn successes(&self) -> MutexGuard<'_, Successes> {
        let successes = self.successes.lock();
        successes.unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses a request that is in quarantine.
    ///
    /// # Errors
    ///
    /// The refusal, if the request is in quarantine.
    pub(crate) fn check_quarantine(&self, call: &Call) -> Result<(), Refusal> {
        let suspicions = self.context.suspicions.borrow();
        if suspicions.is_empty() || !suspicions.is_quarantined(&call.fingerprint()) {
            return Ok(());
        }
        Err(quarantined())
    }

    /// Waits until a request is put into quarantine.
    pub(crate) async fn until_quarantined(&self, call: &Call) {
        let mut suspicions = self.context.suspicions.clone();
        let found = suspicions.wait_for(|v| !v.is_empty() && v.is_quarantined(&call.fingerprint()));
        if found.await.is_err() {
            // The reactor has ended, so this process is ending too.
            std::future::pending::<()>().await;
        }
    }
}

/// Parts of a prompt for a log line; `None` if there are none.
fn parts_text(parts: &[PartId]) -> Option<String> {
    let ids: Vec<String> = parts.iter().map(PartId::to_string).collect();
    (!ids.is_empty()).then(|| ids.join(","))
}

/// Refusal of a request in quarantine, whose earlier tries may have run.
pub(crate) fn quarantined() -> Refusal {
    let text = "endpoints have crashed while they ran this request, one after the other; \
                it is not sent to any more of them";
    Refusal::unknown(StatusCode::BAD_GATEWAY, "quarantined", text)
}
