//! One delivery of a request to an endpoint, as far as it tells whether the request crashes
//! endpoints.

use super::listen::Frontend;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::input::Input;
use hyper::StatusCode;
use state::clock::Stamp;
use state::fingerprint::Fingerprint;
use state::id::CustomerId;
use state::suspect::{Completion, Crash, Successes};
use std::sync::{Arc, MutexGuard, PoisonError};

/// A delivery that is under way.
pub(crate) struct Delivery {
    frontend: Arc<Frontend>,
    fingerprint: Fingerprint,
    customer: CustomerId,
    sent: Stamp,
}

impl Delivery {
    /// A delivery that begins now.
    pub(crate) fn new(frontend: &Arc<Frontend>, call: &Call, customer: CustomerId) -> Self {
        Delivery {
            frontend: frontend.clone(),
            fingerprint: call.fingerprint(),
            customer,
            sent: frontend.context.clock.stamp(),
        }
    }

    /// Its endpoint broke it off.
    pub(crate) fn broke_off(&self) {
        let crash = Crash {
            fingerprint: self.fingerprint,
            customer: self.customer,
            sent: self.sent,
            at: self.frontend.context.clock.stamp(),
        };
        if self.frontend.successes().rules_out(&crash) {
            return;
        }
        // The reactor ends only together with this process.
        let _ = self.frontend.context.reactor.send(Input::Crashed(crash));
    }

    /// Its endpoint has answered whole, and not that it failed.
    pub(crate) fn answered(&self) {
        let clearance = Completion {
            fingerprint: self.fingerprint,
            at: self.frontend.context.clock.stamp(),
        };
        self.frontend.successes().record(&clearance);
        if !self
            .frontend
            .context
            .verdicts
            .borrow()
            .contains(&self.fingerprint)
        {
            return;
        }
        let _ = self
            .frontend
            .context
            .reactor
            .send(Input::Cleared(clearance));
    }
}

impl Frontend {
    fn successes(&self) -> MutexGuard<'_, Successes> {
        let successes = self.successes.lock();
        successes.unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses a request that is in quarantine.
    pub(crate) fn check_quarantine(&self, call: &Call) -> Result<(), Refusal> {
        let verdicts = self.context.verdicts.borrow();
        if verdicts.is_empty() || !verdicts.is_quarantined(&call.fingerprint()) {
            return Ok(());
        }
        Err(quarantined())
    }

    /// Waits until a request is put into quarantine.
    pub(crate) async fn until_quarantined(&self, call: &Call) {
        let mut verdicts = self.context.verdicts.clone();
        let found = verdicts.wait_for(|v| !v.is_empty() && v.is_quarantined(&call.fingerprint()));
        if found.await.is_err() {
            // The reactor has ended, and this process with it.
            std::future::pending::<()>().await;
        }
    }
}

/// The refusal of a request in quarantine. Its earlier tries may have run.
pub(crate) fn quarantined() -> Refusal {
    let text = "endpoints have crashed while they ran this request, one after the other; \
                it is not sent to any more of them";
    Refusal::unknown(StatusCode::BAD_GATEWAY, "quarantined", text)
}
