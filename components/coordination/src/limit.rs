//! Limits on the starts of requests.

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
    pub fn ready(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.tokens >= 1000
    }

    /// Takes one start.
    pub fn take(&mut self, now: Millis) {
        self.fill(now);
        self.tokens = self.tokens.saturating_sub(1000);
    }

    /// Gives one start back that was not used.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1000).min(u64::from(self.rate) * 1000);
    }

    fn fill(&mut self, now: Millis) {
        let gained = now.since(self.filled) * u64::from(self.rate);
        self.tokens = (self.tokens + gained).min(u64::from(self.rate) * 1000);
        self.filled = self.filled.max(now);
    }
}
