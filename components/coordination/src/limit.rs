//! Limits on the starts of requests, and on lines of logs.

use state::clock::Millis;

/// A token bucket that holds one second's worth of starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    rate: u32,
    /// Thousandths of a start.
    tokens: u64,
    filled: Millis,
}

impl Bucket {
    /// A full bucket of `rate` starts a second.
    pub fn new(rate: u32, now: Millis) -> Self {
        Bucket {
            rate,
            tokens: u64::from(rate) * 1000,
            filled: now,
        }
    }

    /// Changes the rate; what is left stays, up to the new size.
    pub fn set_rate(&mut self, rate: u32, now: Millis) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(u64::from(rate) * 1000);
    }

    /// Whether a start is allowed now.
    pub fn has_token(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.tokens >= 1000
    }

    /// Takes one start.
    pub fn take(&mut self, now: Millis) {
        self.fill(now);
        self.tokens = self.tokens.saturating_sub(1000);
    }

    /// Gives one start back that was not used.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1000).min(u64::from(self.rate) * 1000);
    }

    fn fill(&mut self, now: Millis) {
        let gained = now.since(self.filled) * u64::from(self.rate);
        self.tokens = (self.tokens + gained).min(u64::from(self.rate) * 1000);
        self.filled = self.filled.max(now);
    }
}

/// A bound on how often something is done in each second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    most: u64,
    second: u64,
    done: u64,
}

impl Window {
    /// A bound of `most` times a second.
    pub fn new(most: u64) -> Self {
        Window {
            most,
            second: 0,
            done: 0,
        }
    }

    /// Whether it may be done once more now, which counts.
    pub fn admits(&mut self, now: Millis) -> bool {
        let second = now.0 / 1000;
        if second != self.second {
            self.second = second;
            self.done = 0;
        }
        self.done += 1;
        self.done <= self.most
    }
}
