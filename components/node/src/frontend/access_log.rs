//! The access log: one entry per request, with the routing decision and the outcome.
//!
//! An entry writes a log line for each try, each failed try and the end of the request, and
//! counts the end in the metrics.

use super::admit::{stopping, STOPPING_CODE};
use super::forward::Forwarder;
use super::plan::Plan;
use super::refusal::Refusal;
use super::timing::Timing;
use super::upstream::Failure;
use crate::input::{Continued, Dispatch};
use crate::metric::{Labels, Metrics};
use crate::shared::Published;
use crate::work::{Item, Stage};
use coordination::ending::Framing;
use coordination::messages::Placement;
use coordination::origin::Decision;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use state::clock::Millis;
use state::fingerprint::Fingerprint;
use state::id::{CustomerId, Name, RequestId, Software};
use state::line::Line;
use state::outcome::Outcome;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reason logged for an answer whose endpoint closed the connection before its end.
pub(crate) const BROKE_OFF: &str = "endpoint-broke-off";

/// Reason logged for a request whose caller disconnected, or did not read, before its end.
pub(crate) const CALLER_GONE: &str = "caller-gone";

/// What the log lines of one request report, collected while the request is served.
#[derive(Debug)]
pub(crate) struct Entry {
    id: RequestId,
    /// The request as work in progress.
    work: Arc<Item>,
    /// ID that the caller gave the request.
    caller_request_id: Option<HeaderValue>,
    arrived_at: Instant,
    metrics: Metrics,
    /// Version of the view that the request was routed by.
    version: u64,
    /// Operator's release number of that version.
    release: u64,
    /// Age of the proof that this version was the newest, in milliseconds.
    proof_ms: Option<u64>,
    rule: Option<Name>,
    customer: Option<Name>,
    service: Option<Name>,
    endpoint: Option<Name>,
    fingerprint: Option<Fingerprint>,
    /// Time from the request's arrival to its first dispatch.
    first_wait: Option<Duration>,
    timing: Timing,
    /// The router that has passed the request on to this one.
    forwarder: Option<Forwarder>,
    /// Whether an earlier try may have run the request.
    may_have_run: bool,
    /// Times that the request was dispatched to an endpoint, or handed over to a router.
    tries: u32,
    /// Times that its stream continued at another endpoint.
    resumed: u32,
    /// Why its stream was not resumed after a break.
    unresumed: Option<&'static str>,
    /// ID of the request whose answer brought the first event of the stream that the caller takes
    /// up again.
    resumes: Option<HeaderValue>,
    /// Where the stream that the caller takes up again may go on, and at which version.
    continued: Option<Continued>,
    /// Version of the software that brought the first event of the answer.
    began: Option<Software>,
    /// How the end of the endpoint's answer is marked.
    framing: Option<Framing>,
    /// How the endpoint's answer ended.
    ending: Option<&'static str>,
    /// Bytes at the end of the endpoint's answer that belong to no whole event.
    unfinished: Option<usize>,
    /// Whether the end of the request has been logged or counted.
    is_logged: bool,
}

impl Drop for Entry {
    /// Logs the end of a request whose caller disconnected before an answer.
    ///
    /// Such a request's task is cancelled at any await point. Without this line, the logs
    /// would show a request that was sent and never ended.
    fn drop(&mut self) {
        self.metrics.open_requests.dec();
        if !self.is_logged {
            let outcome = match self.tries {
                0 => Outcome::NotRun,
                _ => Outcome::Unknown,
            };
            self.log_end(None, outcome.as_str(), CALLER_GONE, None);
        }
    }
}

impl Entry {
    /// Starts the entry of a request that has just arrived, and counts the request.
    pub(crate) fn new(
        id: RequestId,
        arrived_at: Instant,
        now: Millis,
        published: &Published,
        metrics: Metrics,
        work: Arc<Item>,
    ) -> Self {
        metrics.open_requests.inc();
        metrics.request_heads.inc();
        Entry {
            id,
            work,
            metrics,
            caller_request_id: None,
            arrived_at,
            version: published.view.version.0,
            release: published.view.release,
            proof_ms: published.verified_at.map(|at| now.since(at)),
            rule: None,
            customer: None,
            service: None,
            endpoint: None,
            fingerprint: None,
            first_wait: None,
            timing: Timing::new(arrived_at),
            forwarder: None,
            may_have_run: false,
            tries: 0,
            resumed: 0,
            unresumed: None,
            resumes: None,
            continued: None,
            began: None,
            framing: None,
            ending: None,
            unfinished: None,
            is_logged: false,
        }
    }

    /// Records the version by which the request is served, if that is newer than at its arrival.
    pub(super) fn set_version(&mut self, now: Millis, published: &Published) {
        if published.view.version.0 > self.version {
            self.version = published.view.version.0;
            self.release = published.view.release;
            self.proof_ms = published.verified_at.map(|at| now.since(at));
        }
    }

    /// The router's ID for the request.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Records that the next stage of the request has begun.
    pub(super) fn set_stage(&self, next: Stage) {
        self.work.set(next);
    }

    /// Records that a try that has failed may have run the request.
    pub(super) fn set_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Refusal of the request, which this router gives up since it is stopping.
    pub(super) fn refuse_at_stop(&self) -> Refusal {
        match self.work.stage() {
            Stage::Endpoint | Stage::Peer => {
                let text = "this router has stopped before the answer began";
                Refusal::unknown(StatusCode::BAD_GATEWAY, STOPPING_CODE, text)
            }
            _ if self.may_have_run => stopping().into_unknown(),
            _ => stopping(),
        }
    }

    /// Reason of the end of a request that ended with its connection.
    fn reason(&self, reason: &'static str) -> &'static str {
        match reason {
            CALLER_GONE if self.work.is_given_up() => STOPPING_CODE,
            _ => reason,
        }
    }

    /// Records the ID that the caller gave the request.
    pub(crate) fn set_caller_request_id(&mut self, caller_request_id: Option<HeaderValue>) {
        self.caller_request_id = caller_request_id;
    }

    /// Records the customer whose key the request has.
    pub(super) fn set_customer(&mut self, published: &Published, customer: Option<CustomerId>) {
        let customers = &published.view.config.customers;
        let customer = customer.and_then(|id| customers.get(&id));
        self.customer = customer.map(|customer| customer.name.clone());
    }

    /// Records the router that has passed the request on to this one.
    pub(super) fn set_forwarder(&mut self, forwarder: Option<Forwarder>) {
        self.forwarder = forwarder;
    }

    /// The router that has passed the request on to this one.
    pub(super) fn forwarder(&self) -> Option<&Forwarder> {
        self.forwarder.as_ref()
    }

    /// Records that the request is handed over to another router.
    pub(crate) fn begin_handover(&mut self, peer: &Name) {
        self.tries += 1;
        self.endpoint = Some(peer.clone());
    }

    /// Records that the request did not reach the other router.
    pub(crate) fn withdraw_handover(&mut self) {
        self.tries -= 1;
        self.endpoint = None;
    }

    /// Counts the end of an answer of another router, which has a log line of its own there.
    pub(crate) fn count_handed_over(&mut self, reason: &'static str) {
        self.is_logged = true;
        let outcome = Outcome::Answered.as_str();
        let reason = self.reason(reason);
        self.count(self.arrived_at.elapsed(), None, outcome, reason);
    }

    /// Records the rule that matched, and the service and customer that follow from it.
    pub(crate) fn set_plan(&mut self, plan: &Plan, customer: Option<Name>) {
        self.rule = Some(plan.rule.clone());
        self.service = Some(plan.service_name.clone());
        self.customer = customer;
    }

    /// Logs that the request is sent to its first endpoint or, before an answer, to another one.
    pub(crate) fn log_dispatch(&mut self, dispatch: &Dispatch, fingerprint: Fingerprint) {
        self.fingerprint = Some(fingerprint);
        self.log_retry(dispatch);
    }

    /// Logs that the request is sent to an endpoint.
    pub(crate) fn log_retry(&mut self, dispatch: &Dispatch) {
        self.tries += 1;
        self.metrics.attempts.inc();
        self.first_wait
            .get_or_insert_with(|| self.arrived_at.elapsed());
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
            software = %dispatch.software,
            version = self.version,
            epoch = epoch.0,
            to_read = forecast.to_read,
            ahead_ms = forecast.ahead_ms,
            first_ms = forecast.first_ms,
            copy_from = dispatch.copy_from.map(tracing::field::display),
            tries = self.tries,
            unasked_ms,
            waited_ms = millis(self.arrived_at.elapsed()),
        );
    }

    /// Records that a piece of the answer is relayed. `events` is the new total of events.
    pub(crate) fn record_piece(&mut self, events: u32) {
        self.timing.record_piece(events);
    }

    /// Records that the stream continues at another endpoint.
    pub(crate) fn record_resumed(&mut self) {
        self.resumed += 1;
    }

    /// Records why the stream is not resumed after a break.
    pub(crate) fn record_unresumed(&mut self, reason: &'static str) {
        self.unresumed = Some(reason);
    }

    /// Records which stream the caller takes up again.
    pub(crate) fn set_resumes(&mut self, resumes: Option<HeaderValue>) {
        self.resumes = resumes;
    }

    /// Records where the stream that the caller takes up again may go on.
    pub(crate) fn record_origin(&mut self, continued: Continued) {
        self.continued = Some(continued);
    }

    /// Records the version of the software that brought the first event of the answer.
    pub(crate) fn record_began(&mut self, began: Option<Software>) {
        self.began = began.filter(|software| software.is_stated());
    }

    /// Records how the endpoint's answer ended.
    pub(crate) fn record_ending(
        &mut self,
        framing: Framing,
        ending: Option<&'static str>,
        unfinished: Option<usize>,
    ) {
        self.framing = Some(framing);
        self.ending = ending;
        self.unfinished = unfinished.filter(|bytes| *bytes > 0);
    }

    /// Logs a failed try; `next` names what follows it.
    pub(crate) fn log_failure(&self, failure: &Failure, next: &'static str) {
        tracing::info!(
            event = Line::TryFailed.as_str(),
            request = %self.id,
            caller = self.caller(),
            endpoint = text(self.endpoint.as_ref()),
            fingerprint = self.fingerprint.map(tracing::field::display),
            tries = self.tries,
            next,
            broke_off = failure.broke_off,
            error = %failure.error,
        );
    }

    /// Logs that the router itself refuses the request.
    pub(crate) fn log_refusal(&mut self, refusal: &Refusal) {
        self.log_end(
            Some(refusal.status),
            refusal.outcome.as_str(),
            refusal.code,
            Some(refusal),
        );
    }

    /// Counts that the router itself refuses the request, without a log line.
    pub(crate) fn count_refusal(&mut self, refusal: &Refusal) {
        self.is_logged = true;
        self.metrics.unlogged_refusals.inc();
        let outcome = refusal.outcome.as_str();
        self.count(self.arrived_at.elapsed(), None, outcome, refusal.code);
    }

    /// Counts the end of the request in the metrics.
    fn count(&self, took: Duration, first: Option<Duration>, outcome: &str, reason: &str) {
        let labels = Labels {
            service: text(self.service.as_ref()),
            rule: text(self.rule.as_ref()),
            outcome,
            reason,
        };
        self.metrics.record_end(took, first, labels);
    }

    /// Logs the end of an endpoint's answer; `reason` says whether the answer was complete.
    pub(crate) fn log_answer(&mut self, status: StatusCode, reason: &'static str) {
        self.log_end(Some(status), Outcome::Answered.as_str(), reason, None);
    }

    /// Logs and counts the end of the request.
    fn log_end(
        &mut self,
        status: Option<StatusCode>,
        outcome: &'static str,
        reason: &'static str,
        refusal: Option<&Refusal>,
    ) {
        let reason = self.reason(reason);
        let retry_after = refusal.and_then(|r| r.retry_after);
        let estimate = refusal.and_then(|r| r.estimate);
        let crash_fingerprint = self.fingerprint.filter(|_| reason == BROKE_OFF);
        self.is_logged = true;
        let continued = self.continued.as_ref();
        let decision = continued.map(|c| c.decision);
        let at_version = match decision {
            Some(Decision::At(software)) => Some(software),
            _ => None,
        };
        let service = text(self.service.as_ref());
        let took = self.arrived_at.elapsed();
        let first = self.timing.time_to_first();
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
            waited_ms = self.first_wait.map(millis),
            took_ms = millis(took),
            first_ms = first.map(millis),
            pause_ms = self.timing.longest_pause().map(millis),
            events = self.timing.events(),
            fingerprint = crash_fingerprint.map(tracing::field::display),
            tries = self.tries,
            resumed = (self.resumed > 0).then_some(self.resumed),
            unresumed = self.unresumed,
            resumes = self.resumes.as_ref().and_then(|id| id.to_str().ok()),
            origin = decision.map(Decision::as_str),
            origin_from = continued.map(|c| c.source),
            at_version = at_version.map(tracing::field::display),
            listed = continued.map(|c| join_versions(&c.listed)),
            listing_ms = continued.and_then(|c| c.listing_age_ms),
            began = self.began.map(tracing::field::display),
            framing = self.framing.map(Framing::as_str),
            ending = self.ending,
            unfinished = self.unfinished,
            from = self.forwarder.as_ref().and_then(|f| f.vm.to_str().ok()),
            status = status.map(|s| s.as_u16()),
            outcome,
            reason,
            retry_after_ms = retry_after.map(millis),
            part = refusal.and_then(|r| r.part).map(tracing::field::display),
            expected_ms = estimate.map(|b| b.wait_ms),
            epoch = estimate.map(|b| b.epoch.0),
        );
    }

    /// The caller's ID for the request; empty without one or if it is not text.
    fn caller(&self) -> &str {
        let caller_request_id = self.caller_request_id.as_ref();
        caller_request_id
            .and_then(|i| i.to_str().ok())
            .unwrap_or("")
    }
}

/// Versions for a log line.
fn join_versions(versions: &BTreeSet<Software>) -> String {
    let texts: Vec<String> = versions.iter().map(Software::to_string).collect();
    texts.join(",")
}

/// A name for a log line; empty without one.
fn text(name: Option<&Name>) -> &str {
    name.map_or("", Name::as_str)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
