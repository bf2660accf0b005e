//! Callers' connections, and how one is told to give way.

use coordination::idle::{Key, Tracker};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use transport::clock::Clock;

/// Time past its end for which an answer may be left unread. Whoever reads it hears of its
/// end before.
const UNREAD: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Table {
    rests: Tracker,
    /// How to tell each connection to end.
    ends: HashMap<Key, Arc<Ends>>,
    /// When the answers are to be over that are being passed on.
    answers: HashMap<Key, Instant>,
}

/// How one connection is told to end.
#[derive(Default)]
struct Ends {
    /// Once nothing is on it.
    soon: Notify,
    /// At once: its caller does not read.
    now: Notify,
}

/// The connections of this router.
pub(super) struct Guests {
    clock: Clock,
    table: Mutex<Table>,
}

/// One connection; when dropped, it is forgotten.
pub(super) struct Place {
    guests: Arc<Guests>,
    guest: Key,
    ends: Arc<Ends>,
}

/// A request that is on a connection, until it is dropped.
pub(super) struct Use {
    guests: Arc<Guests>,
    guest: Key,
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
        let ends = Arc::new(Ends::default());
        let mut table = self.table();
        let guest = table.rests.open(self.clock.now());
        table.ends.insert(guest, ends.clone());
        Place {
            guests: self.clone(),
            guest,
            ends,
        }
    }

    /// Tells the connection that has rested longest to end; false if none has for long enough.
    pub(super) fn make_room(&self) -> bool {
        let mut table = self.table();
        let Some(guest) = table.rests.take_longest_idle(self.clock.now()) else {
            return false;
        };
        if let Some(ends) = table.ends.get(&guest) {
            ends.soon.notify_one();
        }
        true
    }

    /// Ends connections whose callers have left an answer unread past its end; gives how
    /// many.
    ///
    /// An answer is looked at only when its caller takes the next piece. One that takes none
    /// would hold the slot of its endpoint, and what has come of the answer, for good.
    pub(super) fn end_unread(&self) -> usize {
        let table = self.table();
        let is_over = |at: &Instant| at.elapsed() >= UNREAD;
        let unread = table.answers.iter().filter(|(_, at)| is_over(at));
        let ends = unread.filter_map(|(guest, _)| table.ends.get(guest));
        ends.map(|ends| ends.now.notify_one()).count()
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
        self.ends.soon.notified().await;
    }

    /// Waits until it is told to end at once.
    pub(super) async fn until_unread(&self) {
        self.ends.now.notified().await;
    }
}

impl Use {
    /// Notes when the answer that is being passed on is to be over.
    pub(super) fn answers_until(&self, at: Instant) {
        self.guests.table().answers.insert(self.guest, at);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.guests.table();
        table.rests.close(self.guest);
        table.ends.remove(&self.guest);
        table.answers.remove(&self.guest);
    }
}

impl Drop for Use {
    fn drop(&mut self) {
        let now = self.guests.clock.now();
        let mut table = self.guests.table();
        table.rests.end(now, self.guest);
        table.answers.remove(&self.guest);
    }
}
