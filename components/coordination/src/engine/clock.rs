//! When an engine will have read what it was sent.
//!
//! An engine reads prompts one after the other, in the order of their arrival. The first
//! event of a stream comes some steps after its prompt was read, while the engine reads
//! the next prompts already. What it was sent and has not answered is thus more than what
//! it has yet to read: counted as such, an engine that reads without a pause would always
//! look full, and requests would wait for it to stand idle.

use crate::prelude::*;

/// Time to read [`UNIT`] tokens until it was measured, in microseconds: between what
/// engines of 70 billion and of 8 billion parameters need.
const UNIT_US: i64 = 80_000;
/// Tokens for which the time to read is kept: about a usual prompt, so that the fixed and
/// the growing part of a measured time are corrected alike.
const UNIT: i64 = 4_000;
/// Bounds of a measured time, in microseconds: beyond them a measurement was disturbed.
const UNIT_MIN_US: i64 = 10_000;
const UNIT_MAX_US: i64 = 1_000_000;
/// Time from the end of the reading to the first event until it was measured, and its
/// longest, in microseconds: some steps of 4 to 25 ms each.
const TAIL_US: i64 = 30_000;
const TAIL_MAX_US: i64 = 600_000;
/// Part of an error by which the measured times are corrected: an engine that turns slow
/// is known after some eight requests, and one odd request changes little.
const MEMORY: i64 = 8;
/// Largest error that is believed, in microseconds: callers' prompts end up behind
/// whatever others sent, which says nothing of the speed.
const ERROR_MAX_US: i64 = 400_000;
/// Time for a grant and its request to reach the engine, in microseconds.
const WAY_US: u64 = 4_000;

/// Part of that time for the grant alone, in microseconds.
const GRANT_US: u64 = WAY_US / 2;

/// Reading of one engine in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    unit_us: i64,
    tail_us: i64,
    /// Requests without a first event.
    pending: u32,
    /// Tokens of them that are to be read.
    unread: u64,
    /// When all of these will have been read, in microseconds.
    ends_us: u64,
}

/// What was expected of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expected {
    tokens: u64,
    /// When its reading begins, in microseconds.
    starts_us: u64,
    /// Time from the grant to the first event, in microseconds.
    pub first_us: u64,
    /// Part of that before its reading begins, in microseconds.
    pub ahead_us: u64,
}

/// The first event of one request, as its scheduler hears of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct First {
    /// When it hears of it.
    pub(super) heard: Millis,
    /// Time from the grant to the event as its router measured it, in milliseconds.
    pub(super) took_ms: Option<u32>,
    /// Whether nothing but reading took that time.
    pub(super) is_plain: bool,
}

impl First {
    /// When the event came, in microseconds.
    ///
    /// A scheduler that has more to do than it can hears of events late. By its own clock
    /// its engines would be slow, it would send them less, refuse more, and be later still:
    /// engines that read 63,900 tokens a second were believed to read 6,500 to 19,900.
    fn came_us(&self, expected: &Expected) -> u64 {
        let heard_us = self.heard.0 * 1000;
        let took_us = self.took_ms.map(|ms| u64::from(ms) * 1000);
        took_us.map_or(heard_us, |took_us| {
            heard_us.min(expected.granted_us() + GRANT_US + took_us)
        })
    }
}

impl Expected {
    /// When it was granted, in microseconds.
    fn granted_us(&self) -> u64 {
        self.starts_us.saturating_sub(self.ahead_us)
    }
}

/// How far an engine is with what it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It can begin to read at once.
    Still,
    /// It reads until then, in microseconds.
    Reading(u64),
    /// It should have answered then, in microseconds.
    Late(u64),
}

/// How fast an engine reads: the time for as many tokens as `UNIT`, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed(u64);

impl Speed {
    /// Time to read some tokens, in microseconds.
    pub fn prefill_us(self, tokens: u64) -> u64 {
        // CAST: a positive constant.
        tokens * self.0 / UNIT as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock {
            unit_us: UNIT_US,
            tail_us: TAIL_US,
            pending: 0,
            unread: 0,
            ends_us: 0,
        }
    }
}

impl Clock {
    /// Tokens of prompts without a first event.
    pub(super) fn unread(&self) -> u64 {
        self.unread
    }

    /// Tokens that are read in a second.
    pub(super) fn rate(&self) -> u64 {
        // CAST: the time is within its positive bounds.
        (UNIT as u64) * 1_000_000 / self.unit_us as u64
    }

    /// Time from the end of the reading to the first event, in microseconds.
    pub(super) fn tail_us(&self) -> u64 {
        // CAST: the time is within its positive bounds.
        self.tail_us as u64
    }

    /// How fast it reads.
    pub(super) fn speed(&self) -> Speed {
        // CAST: the time is within its positive bounds.
        Speed(self.unit_us as u64)
    }

    /// Time to read some tokens, in microseconds.
    pub(super) fn reading_us(&self, tokens: u64) -> u64 {
        self.speed().prefill_us(tokens)
    }

    /// Time until what was sent has been read, in microseconds.
    ///
    /// One that should have answered long ago counts as busy for as long as it is late:
    /// by its clock alone, an engine that stalls would look idle and be sent everything.
    pub(super) fn ahead_us(&self, now: Millis) -> u64 {
        if self.pending == 0 {
            return 0;
        }
        let now_us = now.0 * 1000;
        let overdue = now_us.saturating_sub(self.ends_us + self.tail_us());
        self.ends_us.saturating_sub(now_us) + overdue
    }

    /// How far it is, and when that changes without an event: [`Clock::ahead_us`] as
    /// a function of time.
    pub(super) fn phase(&self, now: Millis) -> (Phase, Option<Millis>) {
        if self.pending == 0 {
            return (Phase::Still, None);
        }
        let now_us = now.0 * 1000;
        let answers_us = self.ends_us + self.tail_us();
        if now_us < self.ends_us {
            (
                Phase::Reading(self.ends_us),
                Some(Millis(self.ends_us.div_ceil(1000))),
            )
        } else if now_us <= answers_us {
            (Phase::Still, Some(Millis(answers_us / 1000 + 1)))
        } else {
            (Phase::Late(answers_us), None)
        }
    }

    /// Takes a request with `tokens` to read, which begins to be read after `copying_us`
    /// at the earliest.
    pub(super) fn begin(&mut self, now: Millis, tokens: u64, copying_us: u64) -> Expected {
        let now_us = now.0 * 1000;
        let starts_us = (now_us + WAY_US + copying_us).max(now_us + self.ahead_us(now));
        self.ends_us = starts_us + self.reading_us(tokens);
        self.pending += 1;
        self.unread += tokens;
        Expected {
            tokens,
            starts_us,
            first_us: self.ends_us + self.tail_us() - now_us,
            ahead_us: starts_us - now_us,
        }
    }

    /// Notes a first event.
    pub(super) fn began(&mut self, expected: &Expected, first: First) {
        self.forget(expected);
        let came_us = first.came_us(expected);
        // What is pending came after it, and began to be read when this one had been.
        let read_us = came_us.saturating_sub(self.tail_us());
        self.ends_us = read_us + self.reading_us(self.unread);
        if first.is_plain && first.took_ms.is_some() {
            // CAST: milliseconds since a start are far below 2^63 microseconds.
            let took_us = came_us as i64 - expected.starts_us as i64;
            self.learn(took_us, expected.tokens);
        }
    }

    /// Ends a request that has had no first event.
    pub(super) fn cancel(&mut self, now: Millis, expected: &Expected) {
        self.forget(expected);
        let left = self
            .ends_us
            .saturating_sub(self.reading_us(expected.tokens));
        self.ends_us = left.max(now.0 * 1000).min(self.ends_us);
    }

    fn forget(&mut self, expected: &Expected) {
        self.pending = self.pending.saturating_sub(1);
        self.unread = self.unread.saturating_sub(expected.tokens);
    }

    /// Corrects both times by the error of one request, each by its part in it
    /// (normalized least mean squares: Widrow and Hoff, 1960).
    fn learn(&mut self, took_us: i64, tokens: u64) {
        // CAST: a prompt has far fewer than 2^53 tokens.
        let units = tokens as i64 * 1000 / UNIT;
        let expected = self.tail_us + self.unit_us * units / 1000;
        let error = (took_us - expected).clamp(-ERROR_MAX_US, ERROR_MAX_US);
        let norm = 1000 + units * units / 1000;
        self.tail_us = (self.tail_us + error * 1000 / (MEMORY * norm)).clamp(0, TAIL_MAX_US);
        let unit_us = self.unit_us + error * units / (MEMORY * norm);
        self.unit_us = unit_us.clamp(UNIT_MIN_US, UNIT_MAX_US);
    }
}
