//! Checks what callers, operators and stand-ins observed against the guarantees of the fleet.

use super::harness::http::Answer;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Statuses with which a router may refuse a valid request.
const REFUSALS: [u16; 5] = [408, 429, 502, 503, 504];

/// Prefix of the names of requests with revoked keys.
pub(crate) const REVOKED: &str = "revoked";

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A stream of a number of events, from a service whose requests are idempotent.
    Stream(u32),
    /// A booking, which must not run twice.
    Booking,
}

/// A request as a caller sends it.
///
/// A request and its resends share the name, which is also the body; each attempt has a
/// label of its own, so that its refusal can be checked against the records of stand-ins.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) name: String,
    /// Number of the attempt.
    pub(crate) attempt: u32,
    pub(crate) kind: Kind,
}

impl Request {
    /// Label by which a stand-in records the attempt.
    pub(crate) fn label(&self) -> String {
        format!("{}/{}", self.name, self.attempt)
    }

    /// Whether its endpoint is to answer with neither a length nor chunks.
    pub(crate) fn is_unframed(&self) -> bool {
        let is_chosen = self.label().bytes().map(u32::from).sum::<u32>() % 3 == 0;
        is_chosen && matches!(self.kind, Kind::Stream(_))
    }

    /// The complete answer to the request.
    fn answer(&self) -> String {
        let echo = &self.name;
        match self.kind {
            Kind::Booking => serde_json::json!({"echo": echo, "done": true}).to_string(),
            Kind::Stream(tokens) => {
                let event = |n| {
                    let event = serde_json::json!({"token": n, "echo": echo});
                    format!("id: {n}\ndata: {event}\n\n")
                };
                let usage = serde_json::json!({"usage": {"tokens": tokens}});
                let events: String = (0..tokens).map(event).collect();
                format!("{events}: {usage}\n\n")
            }
        }
    }
}

/// Result of an attempt, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Complete,
    /// The answer was truncated, and recognisable as such.
    Cut,
    /// Refused, with the statement that the request has not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No answer arrived.
    NoAnswer,
    /// An answer that violates a guarantee.
    Invalid,
}

/// A revoked key.
#[derive(Clone, Debug)]
pub(crate) struct Revoked {
    pub(crate) key: String,
    /// When the operator learned that the revocation was accepted.
    pub(crate) at: Instant,
}

/// Everything observed so far.
#[derive(Default)]
struct State {
    violations: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
    /// Labels of attempts that were refused as not run.
    not_run: Vec<String>,
    /// Names of requests that were answered completely.
    complete: Vec<String>,
    /// Names of all bookings.
    bookings: Vec<String>,
    revoked: Vec<Revoked>,
}

/// Collects observations and violations of guarantees.
#[derive(Default)]
pub(crate) struct Observations {
    state: Mutex<State>,
}

impl Observations {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Adds a violation.
    pub(crate) fn report_violation(&self, what: String) {
        self.lock().violations.push(what);
    }

    /// Counts an event.
    pub(crate) fn count(&self, what: &'static str) {
        *self.lock().counts.entry(what).or_default() += 1;
    }

    /// Checks that the events of a stream have one software version.
    pub(crate) fn record_versions(&self, label: &str, versions: &BTreeSet<String>) {
        if versions.len() > 1 {
            self.report_violation(format!("{label}: events of several versions: {versions:?}"));
        }
    }

    /// Records that a key has been revoked.
    pub(crate) fn revoke(&self, key: String) {
        let at = Instant::now();
        self.lock().revoked.push(Revoked { key, at });
    }

    /// Keys that were revoked longer than `since` ago.
    pub(crate) fn revoked(&self, since: Duration) -> Vec<Revoked> {
        let mut revoked = self.lock().revoked.clone();
        revoked.retain(|r| r.at.elapsed() > since);
        revoked
    }

    /// Checks an answer against its request and records the result.
    pub(crate) fn record(&self, request: &Request, answer: &Answer) -> End {
        let end = end(request, answer);
        let label = request.label();
        let mut state = self.lock();
        if request.kind == Kind::Booking && request.attempt == 0 {
            state.bookings.push(request.name.clone());
        }
        let counted = match end {
            End::Complete => {
                state.complete.push(request.name.clone());
                "answered completely"
            }
            End::NotRun => {
                state.not_run.push(label);
                "refused, not run"
            }
            End::Invalid => {
                let text = format!("{label}, {:?}: got {answer:?}", request.kind);
                state.violations.push(text);
                "answered invalidly"
            }
            End::Cut => "cut",
            End::Unknown => "unknown",
            End::NoAnswer => "no answer",
        };
        *state.counts.entry(counted).or_default() += 1;
        end
    }

    /// Checks the answers against the records of stand-ins; returns counts and violations.
    pub(crate) fn close(&self, records: &[String]) -> (BTreeMap<&'static str, u64>, Vec<String>) {
        let mut state = self.lock();
        let state = &mut *state;
        let mut labels: HashMap<&str, u32> = HashMap::new();
        let mut names: HashMap<&str, u32> = HashMap::new();
        for label in records {
            let (name, _) = label.rsplit_once('/').unwrap_or((label, ""));
            *labels.entry(label).or_default() += 1;
            *names.entry(name).or_default() += 1;
        }
        for name in names.keys().filter(|n| n.starts_with(REVOKED)) {
            let text = format!("{name}: an endpoint got a request with a revoked key");
            state.violations.push(text);
        }
        let got = |label: &&String| labels.contains_key(label.as_str());
        for label in state.not_run.iter().filter(got) {
            let text = format!("{label}: refused as not run, but an endpoint got the request");
            state.violations.push(text);
        }
        let runs = |name: &String| names.get(name.as_str()).copied().unwrap_or(0);
        for name in state.complete.iter().filter(|n| runs(n) == 0) {
            let text = format!("{name}: answered, but no endpoint got the request");
            state.violations.push(text);
        }
        for name in state.bookings.iter().filter(|n| runs(n) > 1) {
            let text = format!("{name}: ran {} times", runs(name));
            state.violations.push(text);
        }
        (
            std::mem::take(&mut state.counts),
            std::mem::take(&mut state.violations),
        )
    }
}

/// Result of an attempt, by its answer.
fn end(request: &Request, answer: &Answer) -> End {
    let expected = request.answer();
    match (answer.status, answer.outcome()) {
        (0, _) => End::NoAnswer,
        (200, "answered") if answer.complete && answer.body == expected => End::Complete,
        // An endpoint that is killed between two events ends such an answer like a whole one.
        (200, "answered")
            if answer.complete
                && request.is_unframed()
                && answer.body.ends_with(b"\n\n")
                && expected.as_bytes().starts_with(&answer.body) =>
        {
            End::Complete
        }
        (200, "answered") if !answer.complete && expected.as_bytes().starts_with(&answer.body) => {
            End::Cut
        }
        (status, "not-run") if REFUSALS.contains(&status) => End::NotRun,
        (status, "unknown") if REFUSALS.contains(&status) || status == 409 => End::Unknown,
        _ => End::Invalid,
    }
}
