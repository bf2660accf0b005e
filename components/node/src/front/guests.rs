//! Callers' connections, and how one is told to give way.

use coordination::rest::{Guest, Rests};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use transport::clock::Clock;

#[derive(Default)]
struct Table {
    rests: Rests,
    /// How to tell each connection to end.
    ends: HashMap<Guest, Arc<Notify>>,
}

/// The connections of this router.
pub(super) struct Guests {
    clock: Clock,
    table: Mutex<Table>,
}

/// One connection; when dropped, it is forgotten.
pub(super) struct Place {
    guests: Arc<Guests>,
    guest: Guest,
    end: Arc<Notify>,
}

/// A request that is on a connection, until it is dropped.
pub(super) struct Use {
    guests: Arc<Guests>,
    guest: Guest,
}

impl Guests {
    /// No connections yet.
    pub(super) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Guests {
            clock,
            table: Mutex::default(),
        })
    }

    /// Takes a new connection.
    pub(super) fn open(self: &Arc<Self>) -> Place {
        let end = Arc::new(Notify::new());
        let mut table = self.table();
        let guest = table.rests.open(self.clock.now());
        table.ends.insert(guest, end.clone());
        Place {
            guests: self.clone(),
            guest,
            end,
        }
    }

    /// Tells the connection that has rested longest to end; false if none has for long enough.
    pub(super) fn make_room(&self) -> bool {
        let mut table = self.table();
        let Some(guest) = table.rests.take_longest(self.clock.now()) else {
            return false;
        };
        if let Some(end) = table.ends.get(&guest) {
            end.notify_one();
        }
        true
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place {
    /// Notes that a request is on the connection.
    pub(super) fn begin(&self) -> Use {
        self.guests.table().rests.begin(self.guest);
        Use {
            guests: self.guests.clone(),
            guest: self.guest,
        }
    }

    /// Waits until it is told to give way.
    pub(super) async fn until_told(&self) {
        self.end.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.guests.table();
        table.rests.close(self.guest);
        table.ends.remove(&self.guest);
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        let now = self.guests.clock.now();
        self.guests.table().rests.end(now, self.guest);
    }
}
