//! What routers spent without a scheduler, as far as this one has counted it.
//!
//! A router tells it again until a grant shows that it was counted. Its link may come up twice
//! before that, and it would be counted twice.

use super::Session;
use crate::messages::Hello;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Sessions that are remembered: of each router the last one, and those of earlier lives.
const SESSIONS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct Entry {
    telling: u64,
    spent: BTreeMap<CustomerId, u64>,
}

/// What was counted, by session.
#[derive(Clone, Debug, Default)]
pub(super) struct Settled {
    all: BTreeMap<Session, Entry>,
}

impl Settled {
    /// Takes a hello of a router, in place of its older session's; gives what is yet to be
    /// counted of what it has spent.
    pub(super) fn open(
        &mut self,
        older: Option<Session>,
        session: Session,
        hello: &Hello,
    ) -> Vec<(CustomerId, u64)> {
        let known = older.and_then(|older| self.all.remove(&older));
        let same = known.filter(|entry| entry.telling == hello.usage_id);
        let entry = same.unwrap_or_else(|| Entry {
            telling: hello.usage_id,
            ..Entry::default()
        });
        let left = hello.usage.iter().map(|k| {
            let counted = entry.spent.get(&k.customer).copied().unwrap_or(0);
            (k.customer, k.spent.saturating_sub(counted))
        });
        let left = left.filter(|(_, spent)| *spent > 0).collect();
        self.all.insert(session, entry);
        if self.all.len() > SESSIONS {
            self.all.pop_first();
        }
        left
    }

    /// Notes that spending of a session was counted.
    pub(super) fn add(&mut self, session: Session, customer: CustomerId, spent: u64) {
        if let Some(entry) = self.all.get_mut(&session) {
            *entry.spent.entry(customer).or_default() += spent;
        }
    }
}
