//! Retry budget, and the decision whether a failed request is tried again.

use state::clock::Millis;

/// Bounds on the retries of all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Retries for each thousand first tries.
    pub per_mille: u64,
    /// Retries beyond that in one window.
    pub extra: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Token bucket that bounds the retries of one router.
///
/// Without a bound an outage amplifies itself: if each failed request were tried again, the
/// load on the remaining endpoints would double just when fewest are left.
///
/// Routers do not coordinate their retries. Each earns tokens with its own first tries and
/// saves up at most its share of the extra retries, so that all routers together stay within
/// the bounds in any window.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    bounds: Bounds,
    /// Tokens, in thousandths of a retry.
    tokens: u64,
    /// Largest number of tokens that can be saved up.
    tokens_max: u64,
    /// Time of the last refill from the extra retries.
    refilled_at: Millis,
    /// First tries of the last half window; `None` if what they earn is not saved up.
    recent: Option<Recent>,
}

/// First tries in the half window in progress and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    /// Number of the half window in progress.
    half: u64,
    current: u64,
    previous: u64,
}

impl Recent {
    fn add(&mut self, half: u64) {
        if half != self.half {
            self.previous = match half == self.half + 1 {
                true => self.current,
                false => 0,
            };
            self.current = 0;
            self.half = half;
        }
        self.current += 1;
    }

    /// First tries of at most the last half window: those of the half window before count for the
    /// part of it that the one in progress has not replaced.
    fn tries(&self, now: Millis, half_ms: u64) -> u64 {
        let passed_ms = now.0 % half_ms;
        self.current + self.previous * (half_ms - passed_ms) / half_ms
    }
}

/// Percentage of the bounds that routers use. The rest covers routers that are lost and
/// added again, which start with a full share, and windows that overlap.
const USED_PERCENT: u64 = 60;

impl Budget {
    /// A budget whose tokens are granted with the first call of [`Budget::earn`].
    pub fn new(bounds: Bounds, now: Millis) -> Self {
        Budget {
            bounds,
            tokens: 0,
            tokens_max: 0,
            refilled_at: now,
            recent: None,
        }
    }

    /// Lets the budget save up what the first tries of the last half window have earned.
    ///
    /// An endpoint that fails breaks off all of its streams at once, and a router that may save up
    /// only its share of the extra retries resumes one or two of them. A window then sees at
    /// most what one and a half windows earn, 90 percent of the bounds.
    pub fn with_savings(mut self) -> Self {
        self.recent = Some(Recent::default());
        self
    }

    /// Counts a first try, on one of `routers` routers.
    pub fn earn(&mut self, now: Millis, routers: u32) {
        let share = self.bounds.extra * 1000 * USED_PERCENT / 100 / u64::from(routers.max(1));
        if self.tokens_max == 0 {
            self.tokens = share / 2;
        }
        // Half of the share may be saved up and half is refilled within a window, so no
        // window sees more than the share.
        self.tokens_max = (share / 2).max(1000);
        let elapsed_ms = now.since(self.refilled_at).min(self.bounds.window_ms);
        let refill = (share / 2) * elapsed_ms / self.bounds.window_ms.max(1);
        if refill > 0 {
            self.refilled_at = now;
        }
        let earned = self.bounds.per_mille * USED_PERCENT / 100;
        if let Some(recent) = &mut self.recent {
            let half_ms = (self.bounds.window_ms / 2).max(1);
            recent.add(now.0 / half_ms);
            self.tokens_max += earned * recent.tries(now, half_ms);
        }
        self.tokens = (self.tokens + earned + refill).min(self.tokens_max);
    }

    /// Whether a retry is available.
    pub fn has_any(&self) -> bool {
        self.tokens >= 1000
    }

    /// Takes a retry if one is available; returns whether it was.
    pub fn take(&mut self) -> bool {
        let is_available = self.tokens >= 1000;
        if is_available {
            self.tokens -= 1000;
        }
        is_available
    }
}

/// How far a failed try got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No byte of the request can have reached the endpoint.
    Nothing,
    /// Some of the request may have reached the endpoint, and no byte of an
    /// answer has reached the caller.
    Sent,
    /// The caller has received part of an answer.
    Answering,
}

/// A failed try of a request.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// How far the try got.
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
    /// Queue the request again, for another endpoint.
    Retry,
    /// Give up; the request was not run.
    NotRun,
    /// Give up; the request may have run.
    Unknown,
}

impl Action {
    /// Name of the action in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Action::Retry => "again",
            Action::NotRun => "not-run",
            Action::Unknown => "unknown",
        }
    }
}

/// Decides whether to retry after a failed try. Takes a retry from the budget if so.
pub fn decide(failure: Failure, now: Millis, budget: &mut Budget) -> Action {
    let is_safe = match failure.reach {
        Reach::Nothing => true,
        Reach::Sent => failure.idempotent,
        Reach::Answering => false,
    };
    let has_time = now < failure.deadline;
    if is_safe && has_time && failure.retries < failure.retries_max && budget.take() {
        return Action::Retry;
    }
    // An earlier try of an idempotent request may have been sent.
    if failure.reach == Reach::Nothing && (failure.retries == 0 || !failure.idempotent) {
        return Action::NotRun;
    }
    Action::Unknown
}
