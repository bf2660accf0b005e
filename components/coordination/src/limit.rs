//! Rate limits: a token bucket for the requests of a class, and a fixed window for log lines.

use state::clock::Millis;

/// A token bucket that holds the tokens of one second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Tokens per second.
    rate: u32,
    /// Thousandths of a token.
    millitokens: u64,
    /// When the bucket was last filled.
    filled_at: Millis,
}

impl Bucket {
    /// A full bucket of `rate` tokens per second.
    pub fn new(rate: u32, now: Millis) -> Self {
        Bucket {
            rate,
            millitokens: u64::from(rate) * 1000,
            filled_at: now,
        }
    }

    /// Changes the rate; remaining tokens stay, up to the new size of the bucket.
    pub fn set_rate(&mut self, rate: u32, now: Millis) {
        self.fill(now);
        self.rate = rate;
        self.millitokens = self.millitokens.min(u64::from(rate) * 1000);
    }

    /// Whether a token is available now.
    pub fn has_token(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.millitokens >= 1000
    }

    /// Takes one token.
    pub fn take(&mut self, now: Millis) {
        self.fill(now);
        self.millitokens = self.millitokens.saturating_sub(1000);
    }

    /// Puts back a token that was taken but not used.
    pub fn refund(&mut self) {
        self.millitokens = (self.millitokens + 1000).min(u64::from(self.rate) * 1000);
    }

    fn fill(&mut self, now: Millis) {
        let gained = now.since(self.filled_at) * u64::from(self.rate);
        self.millitokens = (self.millitokens + gained).min(u64::from(self.rate) * 1000);
        self.filled_at = self.filled_at.max(now);
    }
}

/// A fixed window counter that limits the events of each second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Most events per second.
    max: u64,
    /// The current second.
    second: u64,
    /// Events of the current second, including those that were rejected.
    count: u64,
}

impl Window {
    /// A limit of `max` events per second.
    pub fn new(max: u64) -> Self {
        Window {
            max,
            second: 0,
            count: 0,
        }
    }

    /// Counts an event; true if it is within the limit.
    pub fn admits(&mut self, now: Millis) -> bool {
        let second = now.0 / 1000;
        if second != self.second {
            self.second = second;
            self.count = 0;
        }
        self.count += 1;
        self.count <= self.max
    }
}
