//! Which connection of a router gives way to a new one.
//!
//! The load: a flood leaves hundreds of connections behind on which nothing is asked. They
//! fill the router up to its bound before it is known whose they are, and callers who come
//! then are not served while the router has little to do.

use crate::prelude::*;
use slotmap::SlotMap;
use std::collections::BTreeSet;

slotmap::new_key_type! {
    /// A caller's connection.
    pub struct Key;
}

/// Time for which a connection must have rested to give way, in milliseconds: what its caller
/// asks right after it has come may still wait to be read.
pub const IDLE_MIN_MS: u64 = 500;

/// The connections of a router.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Since when each rests; `None` while a request is on it.
    all: SlotMap<Key, Option<Millis>>,
    // INVARIANT: holds (since, guest) of exactly those that rest.
    order: BTreeSet<(Millis, Key)>,
}

impl Tracker {
    /// Takes a new connection, on which nothing was asked yet.
    pub fn open(&mut self, now: Millis) -> Key {
        let guest = self.all.insert(Some(now));
        self.order.insert((now, guest));
        guest
    }

    /// Notes that a request is on a connection.
    pub fn begin(&mut self, guest: Key) {
        let since = self.all.get_mut(guest).and_then(Option::take);
        if let Some(since) = since {
            self.order.remove(&(since, guest));
        }
    }

    /// Notes that a connection rests from now on.
    pub fn end(&mut self, now: Millis, guest: Key) {
        let Some(rests) = self.all.get_mut(guest) else {
            return;
        };
        if rests.is_none() {
            *rests = Some(now);
            self.order.insert((now, guest));
        }
    }

    /// Forgets a connection that has ended.
    pub fn close(&mut self, guest: Key) {
        self.begin(guest);
        self.all.remove(guest);
    }

    /// The connection that has rested longest, if that is long enough for it to give way. It
    /// counts as in use from then on.
    pub fn take_longest_idle(&mut self, now: Millis) -> Option<Key> {
        let (since, guest) = *self.order.first()?;
        if now.since(since) < IDLE_MIN_MS {
            return None;
        }
        self.begin(guest);
        Some(guest)
    }
}
