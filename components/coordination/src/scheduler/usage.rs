//! Service that routers gave while they had no scheduler, as far as it has been counted.
//!
//! A router reports this usage again with each session until a grant confirms that it was
//! counted. If its link reconnects before that, the same usage must not be counted twice.

use super::Session;
use crate::messages::Hello;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Most sessions that are remembered: the last one of each router, and those of routers that
/// have restarted since.
const SESSIONS_MAX: usize = 4096;

/// Usage of one session that was counted.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Identifies the usage that the router reported, see [`Hello::usage_id`].
    usage_id: u64,
    /// Counted usage by customer.
    counted: BTreeMap<CustomerId, u64>,
}

/// Counted usage by session.
#[derive(Clone, Debug, Default)]
pub(super) struct Counted {
    sessions: BTreeMap<Session, Entry>,
}

impl Counted {
    /// Opens a session with a router's hello, in place of an older one. Returns the reported
    /// usage that has not been counted yet.
    pub(super) fn open(
        &mut self,
        older: Option<Session>,
        session: Session,
        hello: &Hello,
    ) -> Vec<(CustomerId, u64)> {
        let known = older.and_then(|older| self.sessions.remove(&older));
        let same = known.filter(|entry| entry.usage_id == hello.usage_id);
        let entry = same.unwrap_or_else(|| Entry {
            usage_id: hello.usage_id,
            ..Entry::default()
        });
        let uncounted = hello.usage.iter().map(|usage| {
            let counted = entry.counted.get(&usage.customer).copied().unwrap_or(0);
            (usage.customer, usage.spent.saturating_sub(counted))
        });
        let uncounted = uncounted.filter(|(_, spent)| *spent > 0).collect();
        self.sessions.insert(session, entry);
        if self.sessions.len() > SESSIONS_MAX {
            self.sessions.pop_first();
        }
        uncounted
    }

    /// Records that usage of a session was counted.
    pub(super) fn add(&mut self, session: Session, customer: CustomerId, spent: u64) {
        if let Some(entry) = self.sessions.get_mut(&session) {
            *entry.counted.entry(customer).or_default() += spent;
        }
    }
}
