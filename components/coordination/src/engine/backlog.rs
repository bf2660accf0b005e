//! Estimate of when an engine will have prefilled all prompts that were sent to it.
//!
//! An engine prefills prompts one after the other, in the order of their arrival. The first
//! event of a stream follows some decoding steps after its prefill, while the engine already
//! prefills the next prompts. Requests without a first event thus outnumber the prompts that
//! are still to be prefilled. Counting all of them as backlog would make an engine that
//! prefills without a pause look permanently full, and requests would wait until it is idle.

use crate::prelude::*;

/// Initial estimate of the time to prefill [`UNIT_TOKENS`] tokens, in microseconds: between
/// the times of models with 70 billion and with 8 billion parameters.
const UNIT_INITIAL_US: i64 = 80_000;
/// Tokens to which the estimated prefill time refers. They are about one usual prompt, so
/// that an error corrects the fixed part and the per-token part of the estimate alike.
const UNIT_TOKENS: i64 = 4_000;
/// Bounds of the estimated prefill time, in microseconds: measurements beyond them were
/// disturbed by something other than prefill.
const UNIT_MIN_US: i64 = 10_000;
const UNIT_MAX_US: i64 = 1_000_000;
/// Initial estimate and upper bound of the time from the end of a prefill to the first
/// event, in microseconds: some decoding steps of 4 to 25 ms each.
const POST_PREFILL_INITIAL_US: i64 = 30_000;
const POST_PREFILL_MAX_US: i64 = 600_000;
/// Divisor of the error of one request when it corrects the estimates: an engine that turns
/// slow is recognised after about eight requests, and one outlier changes little.
const CORRECTION_DIVISOR: i64 = 8;
/// Bound of the error of one request, in microseconds: a prompt may have queued behind
/// requests from elsewhere, which says nothing about the prefill speed.
const ERROR_MAX_US: i64 = 400_000;
/// Time for a grant to reach the router and for the request to reach the engine, in
/// microseconds.
const DISPATCH_US: u64 = 4_000;

/// Part of [`DISPATCH_US`] that the grant takes to reach the router, in microseconds.
const GRANT_US: u64 = DISPATCH_US / 2;

/// Prefill backlog of one engine, and the estimates of its speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backlog {
    /// Estimated time to prefill [`UNIT_TOKENS`] tokens.
    unit_us: i64,
    /// Estimated time from the end of a prefill to the first event.
    post_prefill_us: i64,
    /// Requests without a first event.
    pending_requests: u32,
    /// Tokens that these requests have to prefill.
    pending_tokens: u64,
    /// When all pending tokens will have been prefilled.
    ends_us: u64,
}

/// Forecast for one request, made when it was granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expected {
    /// Tokens to prefill.
    tokens: u64,
    /// When its prefill begins, in microseconds.
    starts_us: u64,
    /// When its prefill ends, in microseconds.
    ends_us: u64,
    /// Time from the grant to the first event, in microseconds.
    pub first_us: u64,
    /// Time from the grant to the start of its prefill, in microseconds.
    pub ahead_us: u64,
}

/// A router's report of the first event of an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstEvent {
    /// When the scheduler received the report.
    pub(super) received: Millis,
    /// Time from the grant to the event as the router measured it, in milliseconds; `None`
    /// if the router itself ran late.
    pub(super) took_ms: Option<u32>,
    /// Whether the engine prefilled the whole prompt, without copying a part from elsewhere.
    pub(super) is_prefill_only: bool,
}

impl FirstEvent {
    /// When the event occurred, in microseconds.
    ///
    /// An overloaded scheduler receives reports late. Using the time of receipt would make
    /// its engines look slow; it would send them less, refuse more requests, and fall further
    /// behind: engines that prefill 63,900 tokens a second were estimated at 6,500 to 19,900.
    pub(super) fn occurred_us(&self, expected: &Expected) -> u64 {
        let received_us = self.received.0 * 1000;
        let took_us = self.took_ms.map(|ms| u64::from(ms) * 1000);
        took_us.map_or(received_us, |took_us| {
            received_us.min(expected.granted_us() + GRANT_US + took_us)
        })
    }
}

impl Expected {
    /// When the prefill begins and ends, in microseconds.
    pub(super) fn prefill(&self) -> (u64, u64) {
        (self.starts_us, self.ends_us)
    }

    /// When the request was granted, in microseconds.
    pub(super) fn granted_us(&self) -> u64 {
        self.starts_us.saturating_sub(self.ahead_us)
    }
}

/// Progress of an engine with the requests that were sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A new prefill can begin at once.
    Idle,
    /// Prefill of the pending requests lasts until this time, in microseconds.
    Prefilling(u64),
    /// The last pending request should have had its first event at this time, in
    /// microseconds.
    Overdue(u64),
}

/// Prefill speed of an engine: the time for `UNIT_TOKENS` tokens, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed(u64);

impl Speed {
    /// Time to prefill `tokens`, in microseconds.
    pub fn prefill_us(self, tokens: u64) -> u64 {
        // CAST: a positive constant.
        tokens * self.0 / UNIT_TOKENS as u64
    }
}

impl Default for Backlog {
    fn default() -> Self {
        Backlog {
            unit_us: UNIT_INITIAL_US,
            post_prefill_us: POST_PREFILL_INITIAL_US,
            pending_requests: 0,
            pending_tokens: 0,
            ends_us: 0,
        }
    }
}

impl Backlog {
    /// Tokens that requests without a first event have to prefill.
    pub(super) fn pending_tokens(&self) -> u64 {
        self.pending_tokens
    }

    /// Tokens that the engine prefills in a second.
    pub(super) fn tokens_per_s(&self) -> u64 {
        // CAST: the time is within its positive bounds.
        (UNIT_TOKENS as u64) * 1_000_000 / self.unit_us as u64
    }

    /// Time from the end of a prefill to the first event, in microseconds.
    pub(super) fn post_prefill_us(&self) -> u64 {
        // CAST: the time is within its positive bounds.
        self.post_prefill_us as u64
    }

    /// Prefill speed of the engine.
    pub(super) fn speed(&self) -> Speed {
        // CAST: the time is within its positive bounds.
        Speed(self.unit_us as u64)
    }

    /// Time to prefill `tokens`, in microseconds.
    pub(super) fn prefill_us(&self, tokens: u64) -> u64 {
        self.speed().prefill_us(tokens)
    }

    /// Time until all pending requests have been prefilled, in microseconds.
    ///
    /// The time by which its first events are overdue is added: a stalled engine would
    /// otherwise look idle and attract all requests.
    pub(super) fn backlog_us(&self, now: Millis) -> u64 {
        if self.pending_requests == 0 {
            return 0;
        }
        let now_us = now.0 * 1000;
        let overdue = now_us.saturating_sub(self.ends_us + self.post_prefill_us());
        self.ends_us.saturating_sub(now_us) + overdue
    }

    /// Phase of the engine, and when it next changes by the passage of time alone. Describes
    /// [`Backlog::backlog_us`] as a function of time.
    pub(super) fn phase(&self, now: Millis) -> (Phase, Option<Millis>) {
        if self.pending_requests == 0 {
            return (Phase::Idle, None);
        }
        let now_us = now.0 * 1000;
        let due_us = self.ends_us + self.post_prefill_us();
        if now_us < self.ends_us {
            (
                Phase::Prefilling(self.ends_us),
                Some(Millis(self.ends_us.div_ceil(1000))),
            )
        } else if now_us <= due_us {
            (Phase::Idle, Some(Millis(due_us / 1000 + 1)))
        } else {
            (Phase::Overdue(due_us), None)
        }
    }

    /// Adds a request with `tokens` to prefill, whose prefill begins after `copying_us` at
    /// the earliest.
    pub(super) fn add(&mut self, now: Millis, tokens: u64, copying_us: u64) -> Expected {
        let now_us = now.0 * 1000;
        let starts_us = (now_us + DISPATCH_US + copying_us).max(now_us + self.backlog_us(now));
        self.ends_us = starts_us + self.prefill_us(tokens);
        self.pending_requests += 1;
        self.pending_tokens += tokens;
        Expected {
            tokens,
            starts_us,
            ends_us: self.ends_us,
            first_us: self.ends_us + self.post_prefill_us() - now_us,
            ahead_us: starts_us - now_us,
        }
    }

    /// Removes a request that has had its first event, and corrects the estimates by it.
    pub(super) fn record_first_event(&mut self, expected: &Expected, first: FirstEvent) {
        self.remove(expected);
        let occurred_us = first.occurred_us(expected);
        // Prefill of the pending requests began when that of this request ended.
        let prefilled_us = occurred_us.saturating_sub(self.post_prefill_us());
        self.ends_us = prefilled_us + self.prefill_us(self.pending_tokens);
        if first.is_prefill_only && first.took_ms.is_some() {
            // CAST: milliseconds since a start are far below 2^63 microseconds.
            let took_us = occurred_us as i64 - expected.starts_us as i64;
            self.correct(took_us, expected.tokens);
        }
    }

    /// Removes a request that ended without a first event.
    pub(super) fn cancel(&mut self, now: Millis, expected: &Expected) {
        self.remove(expected);
        let left = self
            .ends_us
            .saturating_sub(self.prefill_us(expected.tokens));
        self.ends_us = left.max(now.0 * 1000).min(self.ends_us);
    }

    fn remove(&mut self, expected: &Expected) {
        self.pending_requests = self.pending_requests.saturating_sub(1);
        self.pending_tokens = self.pending_tokens.saturating_sub(expected.tokens);
    }

    /// Corrects both estimates by the error of one request, each by its share of the error
    /// (normalized least mean squares: Widrow and Hoff, 1960).
    fn correct(&mut self, took_us: i64, tokens: u64) {
        // CAST: a prompt has far fewer than 2^53 tokens.
        let units = tokens as i64 * 1000 / UNIT_TOKENS;
        let expected = self.post_prefill_us + self.unit_us * units / 1000;
        let error = (took_us - expected).clamp(-ERROR_MAX_US, ERROR_MAX_US);
        let norm = 1000 + units * units / 1000;
        self.post_prefill_us = (self.post_prefill_us + error * 1000 / (CORRECTION_DIVISOR * norm))
            .clamp(0, POST_PREFILL_MAX_US);
        let unit_us = self.unit_us + error * units / (CORRECTION_DIVISOR * norm);
        self.unit_us = unit_us.clamp(UNIT_MIN_US, UNIT_MAX_US);
    }
}
