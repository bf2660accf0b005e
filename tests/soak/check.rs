//! What callers, operators and stand-ins have seen, held against the promises.

use super::harness::http::Answer;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Statuses with which a router may refuse a request that is in order.
const REFUSALS: [u16; 5] = [408, 429, 502, 503, 504];

/// Begins the names of requests with revoked keys.
pub(crate) const REVOKED: &str = "revoked";

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A stream of so many events, from a service whose requests are idempotent.
    Stream(u32),
    /// A booking, which must not be made twice.
    Booking,
}

/// A request as a caller sends it.
///
/// All sendings of a request share its name, which is its body; each has a label of
/// its own, so that a refusal can be held against what became of this sending alone.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) name: String,
    pub(crate) sending: u32,
    pub(crate) kind: Kind,
}

impl Request {
    pub(crate) fn label(&self) -> String {
        format!("{}/{}", self.name, self.sending)
    }

    /// The whole answer to it.
    fn answer(&self) -> String {
        let echo = &self.name;
        match self.kind {
            Kind::Booking => serde_json::json!({"echo": echo, "done": true}).to_string(),
            Kind::Stream(tokens) => {
                let event = |n| {
                    let event = serde_json::json!({"token": n, "echo": echo});
                    format!("data: {event}\n\n")
                };
                let usage = serde_json::json!({"usage": {"tokens": tokens}});
                let events: String = (0..tokens).map(event).collect();
                format!("{events}: {usage}\n\n")
            }
        }
    }
}

/// What a sending came to, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Whole,
    Cut,
    NotRun,
    Unknown,
    /// There was no answer.
    Silent,
    /// An answer that no promise allows.
    Wrong,
}

/// A key that was taken from its customer.
#[derive(Clone, Debug)]
pub(crate) struct Revoked {
    pub(crate) key: String,
    /// When its revocation was seen to be accepted.
    pub(crate) at: Instant,
}

#[derive(Default)]
struct Seen {
    wrong: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
    not_run: Vec<String>,
    whole: Vec<String>,
    bookings: Vec<String>,
    revoked: Vec<Revoked>,
}

/// Collects what was seen, and what was wrong with it.
#[derive(Default)]
pub(crate) struct Ledger {
    seen: Mutex<Seen>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap()
    }

    /// Notes a broken promise.
    pub(crate) fn wrong(&self, what: String) {
        self.lock().wrong.push(what);
    }

    pub(crate) fn count(&self, what: &'static str) {
        *self.lock().counts.entry(what).or_default() += 1;
    }

    /// Notes that a key was revoked, now at the latest.
    pub(crate) fn revoke(&self, key: String) {
        let at = Instant::now();
        self.lock().revoked.push(Revoked { key, at });
    }

    /// Keys that were revoked at least so long ago.
    pub(crate) fn revoked(&self, since: Duration) -> Vec<Revoked> {
        let mut revoked = self.lock().revoked.clone();
        revoked.retain(|r| r.at.elapsed() > since);
        revoked
    }

    /// Holds an answer against its request.
    pub(crate) fn judge(&self, request: &Request, answer: &Answer) -> End {
        let end = end(request, answer);
        let label = request.label();
        let mut seen = self.lock();
        if request.kind == Kind::Booking && request.sending == 0 {
            seen.bookings.push(request.name.clone());
        }
        let counted = match end {
            End::Whole => {
                seen.whole.push(request.name.clone());
                "answered whole"
            }
            End::NotRun => {
                seen.not_run.push(label);
                "refused, not run"
            }
            End::Wrong => {
                let text = format!("{label}, {:?}: got {answer:?}", request.kind);
                seen.wrong.push(text);
                "answered wrongly"
            }
            End::Cut => "cut",
            End::Unknown => "unknown",
            End::Silent => "no answer",
        };
        *seen.counts.entry(counted).or_default() += 1;
        end
    }

    /// Holds what was answered against the stand-ins' records; gives counts and all
    /// that was wrong.
    pub(crate) fn close(&self, records: &[String]) -> (BTreeMap<&'static str, u64>, Vec<String>) {
        let mut seen = self.lock();
        let seen = &mut *seen;
        let mut labels: HashMap<&str, u32> = HashMap::new();
        let mut names: HashMap<&str, u32> = HashMap::new();
        for label in records {
            let (name, _) = label.rsplit_once('/').unwrap_or((label, ""));
            *labels.entry(label).or_default() += 1;
            *names.entry(name).or_default() += 1;
        }
        for name in names.keys().filter(|n| n.starts_with(REVOKED)) {
            let text = format!("{name}: an endpoint got a request with a revoked key");
            seen.wrong.push(text);
        }
        let got = |label: &&String| labels.contains_key(label.as_str());
        for label in seen.not_run.iter().filter(got) {
            let text = format!("{label}: refused as not run, and an endpoint got it");
            seen.wrong.push(text);
        }
        let runs = |name: &String| names.get(name.as_str()).copied().unwrap_or(0);
        for name in seen.whole.iter().filter(|n| runs(n) == 0) {
            let text = format!("{name}: answered, and no endpoint got it");
            seen.wrong.push(text);
        }
        for name in seen.bookings.iter().filter(|n| runs(n) > 1) {
            let text = format!("{name}: run {} times", runs(name));
            seen.wrong.push(text);
        }
        (
            std::mem::take(&mut seen.counts),
            std::mem::take(&mut seen.wrong),
        )
    }
}

fn end(request: &Request, answer: &Answer) -> End {
    let expected = request.answer();
    match (answer.status, answer.outcome()) {
        (0, _) => End::Silent,
        (200, "answered") if answer.whole && answer.body == expected => End::Whole,
        (200, "answered") if !answer.whole && expected.as_bytes().starts_with(&answer.body) => {
            End::Cut
        }
        (status, "not-run") if REFUSALS.contains(&status) => End::NotRun,
        (status, "unknown") if REFUSALS.contains(&status) || status == 409 => End::Unknown,
        _ => End::Wrong,
    }
}
