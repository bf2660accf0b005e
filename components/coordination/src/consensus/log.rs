//! The replicated log in memory; the disk holds the same.

use super::BATCH_ENTRIES_MAX;
use serde::{Deserialize, Serialize};
use state::record::{DiskId, Members, Record};
use std::collections::VecDeque;
use std::sync::Arc;

/// A Raft term; each term has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Position of an entry in the log; the first is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

impl Index {
    /// The next position.
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
    /// Index of the entry.
    pub index: Index,
    /// Content of the entry.
    pub record: Record,
}

/// Raft's "hard state" without the log: it must be on disk before any message that depends
/// on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ballot {
    /// Latest term seen.
    pub term: Term,
    /// Disk that received this member's vote in that term.
    pub vote: Option<DiskId>,
}

/// The state machine after an entry, which replaces the log up to that entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members at that entry.
    pub members: Members,
    /// The encoded state machine.
    pub bytes: Arc<Vec<u8>>,
}

/// What was read from the disk at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Latest term and vote.
    pub ballot: Ballot,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Builds the log from a snapshot and the entries after it.
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

    /// Index of the last entry.
    pub fn last(&self) -> Index {
        self.entries.back().map_or(self.snapshot.index, |e| e.index)
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term of the entry at an index, unless the entry was compacted or does not exist.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at an index, if the log holds it.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `max` entries from an index on.
    pub fn entries_from(&self, index: Index, max: usize) -> Vec<Entry> {
        self.iter_from(index).take(max).cloned().collect()
    }

    fn iter_from(&self, index: Index) -> impl Iterator<Item = &Entry> {
        let skip = index.0.saturating_sub(self.snapshot.index.0 + 1);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip)
    }

    /// Entries from an index on that fit into one message.
    ///
    /// At most one of them is a large configuration record: several together may exceed the
    /// size of a frame. Such a message could never be sent, no later entry would be committed,
    /// and the log would repeat `message-lost` of kind `agree`.
    pub fn batch(&self, index: Index) -> Vec<Entry> {
        let mut large_records = 0;
        let fits = |entry: &&Entry| {
            large_records += usize::from(entry.record.is_large());
            large_records <= 1
        };
        let entries = self
            .iter_from(index)
            .take(BATCH_ENTRIES_MAX)
            .take_while(fits);
        entries.cloned().collect()
    }

    /// Appends an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
    }

    /// Removes the entry at an index and all after it.
    pub fn truncate_from(&mut self, index: Index) {
        let keep = index.0.saturating_sub(self.snapshot.index.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Stores a snapshot of the applied state and removes the entries that it covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        while (self.entries.front()).is_some_and(|e| e.index <= snapshot.index) {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by a snapshot from the leader.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// The current members and the index of their entry. A membership entry is in force as
    /// soon as it is in the log, even before it is committed.
    pub fn members(&self) -> (Index, &Members) {
        let in_log = self.entries.iter().rev().find_map(|e| match &e.record {
            Record::Members(members) => Some((e.index, &**members)),
            _ => None,
        });
        in_log.unwrap_or((self.snapshot.index, &self.snapshot.members))
    }

    /// The members that are in force at an index.
    pub fn members_at(&self, index: Index) -> &Members {
        let upto = self.entries.iter().rev().filter(|e| e.index <= index);
        let mut found = upto.filter_map(|e| match &e.record {
            Record::Members(members) => Some(&**members),
            _ => None,
        });
        found.next().unwrap_or(&self.snapshot.members)
    }
}
