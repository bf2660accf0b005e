//! When a request may be tried again.

use state::clock::Millis;

/// Retries that a router may add, as a part of its first tries.
///
/// An outage must not feed itself: if each failed request came back, the load
/// on the endpoints that are left would double just when they are fewest. One
/// would see tries outrun requests. Ten in a hundred bounds that.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Thousandths of a retry.
    tokens: u64,
}

/// Thousandths of a retry that each first try earns.
const EARN: u64 = 100;
/// Thousandths of a retry that can be saved up.
const SAVE: u64 = 10_000;

impl Default for Budget {
    fn default() -> Self {
        Budget { tokens: SAVE }
    }
}

impl Budget {
    /// Counts a first try.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARN).min(SAVE);
    }

    /// Takes a retry, if there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= 1000;
        if enough {
            self.tokens -= 1000;
        }
        enough
    }
}

/// How far a try got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No byte of the request can have reached the endpoint.
    Nothing,
    /// Some of the request may have reached the endpoint, and no byte of an
    /// answer has reached the caller.
    Sent,
    /// The caller has seen part of an answer.
    Answering,
}

/// A failed try.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// How far it got.
    pub reach: Reach,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
    /// Retries made so far.
    pub retries: u32,
    /// Retries allowed.
    pub retries_max: u32,
    /// When the request is given up.
    pub deadline: Millis,
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Queue it again, for another endpoint.
    Again,
    /// Give up; it was not run.
    NotRun,
    /// Give up; it may have run.
    Unknown,
}

/// Decides what follows a failed try.
pub fn after(attempt: Try, now: Millis, budget: &mut Budget) -> Next {
    let safe = match attempt.reach {
        Reach::Nothing => true,
        Reach::Sent => attempt.idempotent,
        Reach::Answering => false,
    };
    let time = now < attempt.deadline;
    if safe && time && attempt.retries < attempt.retries_max && budget.take() {
        return Next::Again;
    }
    // An earlier try of an idempotent request may have been sent.
    if attempt.reach == Reach::Nothing && (attempt.retries == 0 || !attempt.idempotent) {
        return Next::NotRun;
    }
    Next::Unknown
}
