//! Selects which idle caller connection to close when a router has no room for a new one.
//!
//! A flood leaves hundreds of idle connections behind. They fill the router up to its
//! connection limit before their customers are known, and new callers are refused although
//! the router has little to do.

use crate::prelude::*;
use slotmap::SlotMap;
use std::collections::BTreeSet;

slotmap::new_key_type! {
    /// Identifies a caller's connection.
    pub struct Key;
}

/// Time for which a connection must have been idle before it may be closed, in milliseconds.
/// The first request of a new connection may not have been read yet.
pub const IDLE_MIN_MS: u64 = 500;

/// Tracks which of a router's caller connections are idle, and since when.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Start of each connection's idle time; `None` while it carries a request.
    idle_since: SlotMap<Key, Option<Millis>>,
    // INVARIANT: holds (since, key) of exactly the idle connections.
    order: BTreeSet<(Millis, Key)>,
}

impl Tracker {
    /// Adds a new connection, which is idle until its first request.
    pub fn open(&mut self, now: Millis) -> Key {
        let key = self.idle_since.insert(Some(now));
        self.order.insert((now, key));
        key
    }

    /// Marks a connection as in use by a request.
    pub fn begin(&mut self, key: Key) {
        let since = self.idle_since.get_mut(key).and_then(Option::take);
        if let Some(since) = since {
            self.order.remove(&(since, key));
        }
    }

    /// Marks a connection as idle from now on.
    pub fn end(&mut self, now: Millis, key: Key) {
        let Some(since) = self.idle_since.get_mut(key) else {
            return;
        };
        if since.is_none() {
            *since = Some(now);
            self.order.insert((now, key));
        }
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, key: Key) {
        self.begin(key);
        self.idle_since.remove(key);
    }

    /// Returns the connection that has been idle longest, if for at least [`IDLE_MIN_MS`].
    /// The connection counts as in use from then on.
    pub fn take_longest_idle(&mut self, now: Millis) -> Option<Key> {
        let (since, key) = *self.order.first()?;
        if now.since(since) < IDLE_MIN_MS {
            return None;
        }
        self.begin(key);
        Some(key)
    }
}
