//! Deliveries of requests to endpoints, watched to find requests, and parts of their prompts, that
//! crash their endpoints.
//!
//! A request or a part that is suspected by several crashes is put into quarantine and refused.

use super::listen::Frontend;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::input::{Dispatch, Input};
use crate::quarantine::Suspicions;
use coordination::attribution::Survivals;
use coordination::prompt::SharedParts;
use hyper::StatusCode;
use smallvec::SmallVec;
use state::clock::Stamp;
use state::fingerprint::Fingerprint;
use state::id::{CustomerId, EndpointId, Name, PartId, RequestId};
use state::line::Line;
use state::suspect::{Break, Completion, Crash, Successes, Survival};
use std::sync::{Arc, MutexGuard, PoisonError};

/// A delivery of one request to one endpoint, in progress.
pub(crate) struct Delivery {
    frontend: Arc<Frontend>,
    request: RequestId,
    fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    parts: SharedParts,
    customer: CustomerId,
    /// The endpoint and its name.
    endpoint: EndpointId,
    endpoint_name: Name,
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
        let was_suspected = !suspicions.is_empty()
            && (suspicions.contains(&call.fingerprint())
                || suspicions.contains_part(&call.shared_parts, customer));
        Delivery {
            frontend: frontend.clone(),
            request: call.id,
            fingerprint: call.fingerprint(),
            parts: call.shared_parts.clone(),
            customer,
            endpoint: dispatch.endpoint,
            endpoint_name: dispatch.name.clone(),
            sent_at: frontend.context.clock.stamp(),
            was_suspected,
        }
    }

    /// Whether the request was suspected of crashing endpoints when it was sent.
    pub(crate) fn was_suspected(&self) -> bool {
        self.was_suspected
    }

    /// Reports that the endpoint closed the connection before the end of its answer: the request, or
    /// a part of its prompt, may have crashed it.
    ///
    /// What a recent answer exonerates is not reported.
    pub(crate) fn report_break(&self) {
        let context = &self.frontend.context;
        let crash = Crash {
            fingerprint: self.fingerprint,
            customer: self.customer,
            sent: self.sent_at,
            at: context.clock.stamp(),
        };
        let is_ruled_out = self.frontend.successes().rules_out(&crash);
        let parts: SmallVec<[(PartId, u8); 4]> = {
            let (now, survivals) = (context.clock.now(), self.frontend.survivals());
            let placed = self.parts.iter().copied().zip(0..);
            placed
                .filter(|(part, _)| !survivals.rules_out(now, *part))
                .collect()
        };
        let suspects: SharedParts = parts.iter().map(|(part, _)| *part).collect();
        tracing::info!(
            event = Line::CrashEvidence.as_str(),
            request = %self.request,
            endpoint = self.endpoint_name.as_str(),
            fingerprint = %self.fingerprint,
            parts = parts_text(&self.parts),
            suspects = parts_text(&suspects),
            is_ruled_out,
        );
        // Sending fails only at the end of this process.
        if !is_ruled_out {
            let _ = context.reactor.send(Input::Crashed(crash));
        }
        if !parts.is_empty() {
            let broken = Break {
                endpoint: self.endpoint,
                customer: self.customer,
                sent: self.sent_at,
                at: crash.at,
                parts,
            };
            let _ = context.reactor.send(Input::Broken(broken));
        }
    }

    /// Reports that the endpoint has answered for long enough to show that no shared part of the
    /// prompt crashes it.
    pub(crate) fn report_survival(&self) {
        if self.parts.is_empty() {
            return;
        }
        let context = &self.frontend.context;
        let now = context.clock.now();
        let mut survivals = self.frontend.survivals();
        for part in &self.parts {
            survivals.record(now, *part);
        }
        drop(survivals);
        let suspicions = context.suspicions.borrow();
        if suspicions.is_empty() {
            return;
        }
        let is_suspected = |part: &&PartId| suspicions.contains_part(&[**part], self.customer);
        for part in self.parts.iter().filter(is_suspected) {
            let survival = Survival {
                part: *part,
                at: context.clock.stamp(),
            };
            let _ = context.reactor.send(Input::Survived(survival));
        }
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

    /// Parts of prompts that endpoints have answered not long ago.
    fn survivals(&self) -> MutexGuard<'_, Survivals> {
        let survivals = self.context.survivals.lock();
        survivals.unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses a request that is in quarantine.
    ///
    /// # Errors
    ///
    /// The refusal, if the request is in quarantine.
    pub(crate) fn check_quarantine(
        &self,
        call: &Call,
        customer: CustomerId,
    ) -> Result<(), Refusal> {
        refusal(&self.context.suspicions.borrow(), call, customer).map_or(Ok(()), Err)
    }

    /// Refuses a request with a part of its prompt that is in quarantine.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub(crate) fn check_parts(
        &self,
        parts: &[PartId],
        customer: CustomerId,
    ) -> Result<(), Refusal> {
        let suspicions = self.context.suspicions.borrow();
        let part = suspicions.quarantined_part(parts, customer);
        part.map_or(Ok(()), |part| Err(quarantined(Some(part))))
    }

    /// Refuses a request with a part of its prompt that was released from quarantine on trial, if
    /// this router's next trial is not due.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub(crate) fn take_trial(&self, call: &Call, customer: CustomerId) -> Result<(), Refusal> {
        let suspicions = self.context.suspicions.borrow();
        let now = self.context.clock.now();
        let part = suspicions.take_trial(now, &call.shared_parts, customer);
        part.map_or(Ok(()), |part| Err(quarantined(Some(part))))
    }

    /// Waits until a request is put into quarantine; returns its refusal.
    pub(crate) async fn until_quarantined(&self, call: &Call, customer: CustomerId) -> Refusal {
        let mut suspicions = self.context.suspicions.clone();
        loop {
            if let Some(refusal) = refusal(&suspicions.borrow_and_update(), call, customer) {
                return refusal;
            }
            if suspicions.changed().await.is_err() {
                // The reactor has ended, so this process is ending too.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// The refusal of a request that is in quarantine, or a part of its prompt.
fn refusal(suspicions: &Suspicions, call: &Call, customer: CustomerId) -> Option<Refusal> {
    if suspicions.is_empty() {
        return None;
    }
    let part = suspicions.quarantined_part(&call.shared_parts, customer);
    let is_refused = part.is_some() || suspicions.is_quarantined(&call.fingerprint());
    is_refused.then(|| quarantined(part))
}

/// Parts of a prompt for a log line; `None` if there are none.
fn parts_text(parts: &[PartId]) -> Option<String> {
    let ids: Vec<String> = parts.iter().map(PartId::to_string).collect();
    (!ids.is_empty()).then(|| ids.join(","))
}

/// Refusal of a request in quarantine, as a whole or for a part of its prompt. Earlier tries of it may
/// have run, and another try is of no use to its caller.
fn quarantined(part: Option<PartId>) -> Refusal {
    let text = match part {
        Some(part) => format!(
            "endpoints have crashed while they ran requests with the part {part} of its prompt, one \
             after the other; it is not sent to any more of them"
        ),
        None => "endpoints have crashed while they ran this request, one after the other; it is not \
                 sent to any more of them"
            .to_owned(),
    };
    let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, "quarantined", text);
    Refusal { part, ..refusal }
}
