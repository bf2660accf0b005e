//! The log line of a request: what decided it, and how it ended.

use super::flow::Flow;
use super::plan::Plan;
use super::refusal::Refusal;
use super::upstream::Failed;
use crate::input::Dispatch;
use crate::metric::{Labels, Metrics};
use crate::shared::Published;
use coordination::messages::Placement;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use state::clock::Millis;
use state::fingerprint::Fingerprint;
use state::id::{Name, RequestId};
use state::line::Line;
use state::outcome::Outcome;
use std::time::{Duration, Instant};

/// Reason of answers that their endpoint broke off.
pub(crate) const BROKE_OFF: &str = "endpoint-broke-off";

/// What is known of a request so far.
#[derive(Debug)]
pub(crate) struct Note {
    id: RequestId,
    identity: Option<HeaderValue>,
    began: Instant,
    metrics: Metrics,
    /// Version of the view that decided, and the operator's number.
    version: u64,
    release: u64,
    /// Age of the proof that it was the newest, in milliseconds.
    proof_ms: Option<u64>,
    rule: Option<Name>,
    customer: Option<Name>,
    service: Option<Name>,
    endpoint: Option<Name>,
    fingerprint: Option<Fingerprint>,
    waited: Option<Duration>,
    flow: Flow,
    tries: u32,
    /// Whether its end has been told.
    is_told: bool,
}

impl Drop for Note {
    /// Tells of a request whose caller left before any answer.
    ///
    /// Its task ends wherever it stands: one would find a request in the logs that was
    /// sent and never ended.
    fn drop(&mut self) {
        self.metrics.open_requests.dec();
        if !self.is_told {
            let outcome = match self.tries {
                0 => Outcome::NotRun,
                _ => Outcome::Unknown,
            };
            self.line(None, outcome.as_str(), "caller-gone", None);
        }
    }
}

impl Note {
    /// A request that has just arrived.
    pub(crate) fn new(
        id: RequestId,
        began: Instant,
        now: Millis,
        published: &Published,
        metrics: Metrics,
    ) -> Self {
        metrics.open_requests.inc();
        metrics.request_heads.inc();
        Note {
            id,
            metrics,
            identity: None,
            began,
            version: published.view.version.0,
            release: published.view.release,
            proof_ms: published.verified_at.map(|at| now.since(at)),
            rule: None,
            customer: None,
            service: None,
            endpoint: None,
            fingerprint: None,
            waited: None,
            flow: Flow::new(began),
            tries: 0,
            is_told: false,
        }
    }

    /// Its identity.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Its caller's own identity for it.
    pub(crate) fn identify(&mut self, identity: Option<HeaderValue>) {
        self.identity = identity;
    }

    /// A rule has decided.
    pub(crate) fn plan(&mut self, plan: &Plan, customer: Option<Name>) {
        self.rule = Some(plan.rule.clone());
        self.service = Some(plan.service_name.clone());
        self.customer = customer;
    }

    /// It is sent to an endpoint.
    pub(crate) fn dispatch(&mut self, dispatch: &Dispatch, fingerprint: Fingerprint) {
        self.tries += 1;
        self.fingerprint = Some(fingerprint);
        self.metrics.attempts.inc();
        self.waited.get_or_insert_with(|| self.began.elapsed());
        self.endpoint = Some(dispatch.name.clone());
        let Placement {
            epoch,
            forecast,
            unasked_ms,
            ..
        } = dispatch.placement;
        tracing::info!(
            event = Line::RequestSent.as_str(),
            request = %self.id,
            caller = self.caller(),
            rule = text(self.rule.as_ref()),
            customer = text(self.customer.as_ref()),
            service = text(self.service.as_ref()),
            endpoint = dispatch.name.as_str(),
            version = self.version,
            epoch = epoch.0,
            to_read = forecast.to_read,
            ahead_ms = forecast.ahead_ms,
            first_ms = forecast.first_ms,
            copy_from = dispatch.copy_from.map(tracing::field::display),
            tries = self.tries,
            unasked_ms,
            waited_ms = millis(self.began.elapsed()),
        );
    }

    /// A piece of its answer is passed on, with which `events` have come in all.
    pub(crate) fn piece(&mut self, events: u32) {
        self.flow.piece(events);
    }

    /// A try has failed, and another may follow.
    pub(crate) fn failed(&self, failed: &Failed, next: &'static str) {
        tracing::info!(
            event = Line::TryFailed.as_str(),
            request = %self.id,
            caller = self.caller(),
            endpoint = text(self.endpoint.as_ref()),
            fingerprint = self.fingerprint.map(tracing::field::display),
            tries = self.tries,
            next,
            broke_off = failed.broke_off,
            error = %failed.error,
        );
    }

    /// The router answers in place of an endpoint.
    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        self.line(
            Some(refusal.status),
            refusal.outcome.as_str(),
            refusal.code,
            Some(refusal),
        );
    }

    /// The router answers in place of an endpoint, and only counts it.
    pub(crate) fn refused_untold(&mut self, refusal: &Refusal) {
        self.is_told = true;
        self.metrics.unlogged_refusals.inc();
        let outcome = refusal.outcome.as_str();
        self.count(self.began.elapsed(), None, outcome, refusal.code);
    }

    fn count(&self, took: Duration, first: Option<Duration>, outcome: &str, reason: &str) {
        let labels = Labels {
            service: text(self.service.as_ref()),
            rule: text(self.rule.as_ref()),
            outcome,
            reason,
        };
        self.metrics.record_end(took, first, labels);
    }

    /// An endpoint's answer has ended, or was cut.
    pub(crate) fn answered(&mut self, status: StatusCode, how: &'static str) {
        self.line(Some(status), Outcome::Answered.as_str(), how, None);
    }

    fn line(
        &mut self,
        status: Option<StatusCode>,
        outcome: &'static str,
        reason: &'static str,
        refusal: Option<&Refusal>,
    ) {
        let retry_after = refusal.and_then(|r| r.retry_after);
        let basis = refusal.and_then(|r| r.basis);
        let broken = self.fingerprint.filter(|_| reason == BROKE_OFF);
        self.is_told = true;
        let service = text(self.service.as_ref());
        let took = self.began.elapsed();
        let first = self.flow.first();
        self.count(took, first, outcome, reason);
        tracing::info!(
            event = Line::RequestEnded.as_str(),
            request = %self.id,
            caller = self.caller(),
            rule = text(self.rule.as_ref()),
            customer = text(self.customer.as_ref()),
            service,
            endpoint = text(self.endpoint.as_ref()),
            version = self.version,
            release = self.release,
            proof_ms = self.proof_ms,
            waited_ms = self.waited.map(millis),
            took_ms = millis(took),
            first_ms = first.map(millis),
            pause_ms = self.flow.pause().map(millis),
            events = self.flow.events(),
            fingerprint = broken.map(tracing::field::display),
            tries = self.tries,
            status = status.map(|s| s.as_u16()),
            outcome,
            reason,
            retry_after_ms = retry_after.map(millis),
            expected_ms = basis.map(|b| b.wait_ms),
            epoch = basis.map(|b| b.epoch.0),
        );
    }

    fn caller(&self) -> &str {
        let identity = self.identity.as_ref();
        identity.and_then(|i| i.to_str().ok()).unwrap_or("")
    }
}

fn text(name: Option<&Name>) -> &str {
    name.map_or("", Name::as_str)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
