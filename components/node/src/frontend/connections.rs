//! Registry of callers' connections, which can ask a connection to close.
//!
//! An idle connection is closed to make room for a new one; a connection whose caller does not
//! read an answer is closed once the answer's deadline is past.

use crate::socket::{Busy, State};
use crate::work::Item;
use coordination::idle::{Key, Tracker};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use transport::clock::Clock;

/// Time past an answer's deadline after which its connection is closed as unread. A caller that
/// reads its answer receives the end of it earlier than that.
const UNREAD_GRACE: Duration = Duration::from_millis(500);

/// State of the open connections.
#[derive(Default)]
struct Table {
    /// Since when each connection has been idle.
    idle_times: Tracker,
    /// Signals that ask each connection to close.
    signals: HashMap<Key, Arc<Signals>>,
    /// Deadlines of the answers that are being relayed.
    answer_deadlines: HashMap<Key, Instant>,
}

/// Signals that ask one connection to close.
#[derive(Default)]
struct Signals {
    /// Close as soon as no request is on the connection.
    idle: Notify,
    /// Close at once: the caller does not read its answer.
    now: Notify,
}

/// The open connections of callers to this router.
pub(super) struct Registry {
    clock: Clock,
    table: Mutex<Table>,
}

/// Entry of one connection in the registry, removed when dropped.
pub(super) struct Registration {
    registry: Arc<Registry>,
    id: Key,
    signals: Arc<Signals>,
}

/// Marks a connection as busy with a request; when dropped, the request has ended.
pub(super) struct Activity {
    registry: Arc<Registry>,
    id: Key,
    /// The request as work in progress.
    work: Arc<Item>,
    /// The request as its connection's socket knows it.
    busy: Busy,
}

impl Registry {
    /// Creates an empty registry.
    pub(super) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Registry {
            clock,
            table: Mutex::default(),
        })
    }

    /// Registers a new connection.
    pub(super) fn open(self: &Arc<Self>) -> Registration {
        let signals = Arc::new(Signals::default());
        let mut table = self.table();
        let id = table.idle_times.open(self.clock.now());
        table.signals.insert(id, signals.clone());
        Registration {
            registry: self.clone(),
            id,
            signals,
        }
    }

    /// Asks the connection that has been idle longest to close. Returns false if none has been
    /// idle for long enough.
    pub(super) fn make_room(&self) -> bool {
        let mut table = self.table();
        let Some(id) = table.idle_times.take_longest_idle(self.clock.now()) else {
            return false;
        };
        if let Some(signals) = table.signals.get(&id) {
            signals.idle.notify_one();
        }
        true
    }

    /// Closes connections whose callers have left an answer unread past its deadline; returns
    /// their number.
    ///
    /// The deadline of an answer is checked only when its caller reads the next piece. A caller
    /// that stops reading would otherwise hold the endpoint's slot and the buffered part of
    /// the answer forever.
    pub(super) fn close_unread(&self) -> usize {
        let table = self.table();
        let is_overdue = |at: &Instant| at.elapsed() >= UNREAD_GRACE;
        let unread = table
            .answer_deadlines
            .iter()
            .filter(|(_, at)| is_overdue(at));
        let signals = unread.filter_map(|(id, _)| table.signals.get(id));
        signals.map(|signals| signals.now.notify_one()).count()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Marks the connection as busy with a request until the returned value is dropped.
    pub(super) fn begin(&self, work: Item, busy: Busy) -> Activity {
        self.registry.table().idle_times.begin(self.id);
        Activity {
            registry: self.registry.clone(),
            id: self.id,
            work: Arc::new(work),
            busy,
        }
    }

    /// Waits until the connection is asked to close once it is idle.
    pub(super) async fn until_idle_close(&self) {
        self.signals.idle.notified().await;
    }

    /// Waits until the connection is asked to close at once, with its answer unread.
    pub(super) async fn until_unread_close(&self) {
        self.signals.now.notified().await;
    }
}

impl Activity {
    /// The request as work in progress.
    pub(super) fn work(&self) -> Arc<Item> {
        self.work.clone()
    }

    /// State of the connection's socket.
    pub(super) fn socket(&self) -> &State {
        self.busy.state()
    }

    /// Sets the deadline of the answer that is being relayed.
    pub(super) fn set_answer_deadline(&self, at: Instant) {
        self.registry.table().answer_deadlines.insert(self.id, at);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut table = self.registry.table();
        table.idle_times.close(self.id);
        table.signals.remove(&self.id);
        table.answer_deadlines.remove(&self.id);
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        let now = self.registry.clock.now();
        let mut table = self.registry.table();
        table.idle_times.end(now, self.id);
        table.answer_deadlines.remove(&self.id);
    }
}
