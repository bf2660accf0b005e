//! When a request may be tried again.

use state::clock::Millis;

/// Bounds on the retries that all routers together may add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Retries for each thousand first tries.
    pub per_mille: u64,
    /// Retries beyond that in a window.
    pub extra: u64,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

/// Retries that one router may add.
///
/// An outage must not feed itself: if each failed request came back, the load
/// on the endpoints that are left would double just when they are fewest. One
/// would see tries outrun requests.
///
/// No router asks another before it retries. Each earns with its own first tries
/// and saves up no more than its part of the extra, so that all of them together
/// stay within the bounds in any window.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    bounds: Bounds,
    /// Thousandths of a retry.
    tokens: u64,
    /// Thousandths of a retry that can be saved up.
    most: u64,
    /// When a part of the extra was last given.
    filled: Millis,
}

/// Part of the bounds that is used, in hundredths: routers that were lost and
/// added again start with a full part each, and windows slide.
const USED_PERCENT: u64 = 60;

impl Budget {
    /// A full budget.
    pub fn new(bounds: Bounds, now: Millis) -> Self {
        Budget {
            bounds,
            tokens: 0,
            most: 0,
            filled: now,
        }
    }

    /// Counts a first try, on one of `routers` routers.
    pub fn earn(&mut self, now: Millis, routers: u32) {
        let part = self.bounds.extra * 1000 * USED_PERCENT / 100 / u64::from(routers.max(1));
        if self.most == 0 {
            self.tokens = part / 2;
        }
        // Half may be saved up, and half comes back within a window: no window
        // sees more than the part.
        self.most = (part / 2).max(1000);
        let time = now.since(self.filled).min(self.bounds.window_ms);
        let back = (part / 2) * time / self.bounds.window_ms.max(1);
        if back > 0 {
            self.filled = now;
        }
        let earned = self.bounds.per_mille * USED_PERCENT / 100;
        self.tokens = (self.tokens + earned + back).min(self.most);
    }

    /// Whether there is a retry to take.
    pub fn has_any(&self) -> bool {
        self.tokens >= 1000
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
pub struct Failure {
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
pub enum Action {
    /// Queue it again, for another endpoint.
    Retry,
    /// Give up; it was not run.
    NotRun,
    /// Give up; it may have run.
    Unknown,
}

impl Action {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Action::Retry => "again",
            Action::NotRun => "not-run",
            Action::Unknown => "unknown",
        }
    }
}

/// Decides what follows a failed try.
pub fn decide(attempt: Failure, now: Millis, budget: &mut Budget) -> Action {
    let safe = match attempt.reach {
        Reach::Nothing => true,
        Reach::Sent => attempt.idempotent,
        Reach::Answering => false,
    };
    let time = now < attempt.deadline;
    if safe && time && attempt.retries < attempt.retries_max && budget.take() {
        return Action::Retry;
    }
    // An earlier try of an idempotent request may have been sent.
    if attempt.reach == Reach::Nothing && (attempt.retries == 0 || !attempt.idempotent) {
        return Action::NotRun;
    }
    Action::Unknown
}
