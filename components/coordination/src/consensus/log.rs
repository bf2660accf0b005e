//! The log in memory, as the disk has it.

use super::BATCH_ENTRIES_MAX;
use serde::{Deserialize, Serialize};
use state::record::{DiskId, Members, Record};
use std::collections::VecDeque;
use std::sync::Arc;

/// A term of office; each has one leader at most.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Place of an entry in the log; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

impl Index {
    /// The next place.
    pub fn next(self) -> Self {
        Index(self.0 + 1)
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// What it says.
    pub record: Record,
}

/// What must be on disk before any message that follows from it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ballot {
    /// Latest term seen.
    pub term: Term,
    /// Vote given in that term.
    pub vote: Option<DiskId>,
}

/// The state up to a place in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that it covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members at that entry.
    pub members: Members,
    /// The encoded state machine.
    pub bytes: Arc<Vec<u8>>,
}

/// What the disk held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Term and vote.
    pub ballot: Ballot,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A snapshot with the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl Log {
    /// The log that the disk held.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Log {
            snapshot,
            entries: entries.into(),
        }
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Place of the last entry.
    pub fn last(&self) -> Index {
        self.entries.back().map_or(self.snapshot.index, |e| e.index)
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term of the entry at a place, if it is still known.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at a place, if it is in the log.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from a place on, at most `max`.
    pub fn entries_from(&self, index: Index, max: usize) -> Vec<Entry> {
        self.rest(index).take(max).cloned().collect()
    }

    fn rest(&self, index: Index) -> impl Iterator<Item = &Entry> {
        let skip = index.0.saturating_sub(self.snapshot.index.0 + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip)
    }

    /// Entries from a place on that one message carries.
    ///
    /// At most one of them is an operator's: several would together be more than a
    /// link carries. The message would never leave, and nothing after it be accepted;
    /// one would see `message-lost` of kind `agree` again and again.
    pub fn batch(&self, index: Index) -> Vec<Entry> {
        let mut large = 0;
        let fits = |entry: &&Entry| {
            large += usize::from(entry.record.is_large());
            large <= 1
        };
        let entries = self.rest(index).take(BATCH_ENTRIES_MAX).take_while(fits);
        entries.cloned().collect()
    }

    /// Appends an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Drops the entry at a place and all after it.
    pub fn truncate_from(&mut self, index: Index) {
        let keep = index.0.saturating_sub(self.snapshot.index.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Takes a snapshot of this log and drops the entries that it covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        while (self.entries.front()).is_some_and(|e| e.index <= snapshot.index) {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Replaces everything by a leader's snapshot.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// The members in force: those of the last such entry, or the snapshot's.
    pub fn members(&self) -> (Index, &Members) {
        let in_log = self.entries.iter().rev().find_map(|e| match &e.record {
            Record::Members(members) => Some((e.index, &**members)),
            _ => None,
        });
        in_log.unwrap_or((self.snapshot.index, &self.snapshot.members))
    }

    /// The members in force at a place.
    pub fn members_at(&self, index: Index) -> &Members {
        let upto = self.entries.iter().rev().filter(|e| e.index <= index);
        let mut found = upto.filter_map(|e| match &e.record {
            Record::Members(members) => Some(&**members),
            _ => None,
        });
        found.next().unwrap_or(&self.snapshot.members)
    }
}
