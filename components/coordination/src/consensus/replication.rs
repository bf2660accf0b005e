//! Replication: entries and snapshots from the leader to the others.

use super::core::{Core, Role};
use super::log::{Entry, Index, Snapshot, Term};
use super::message::{Install, Message};
use super::{CHUNK_BYTES_MAX, ELECTION_TIMEOUT_MS};
use crate::prelude::*;
use state::record::{DiskId, Member};
use state::view::Node;
use std::sync::Arc;

impl Core {
    /// Takes a message of replication. A stale term is answered with ours, a
    /// later one followed.
    pub(super) fn step_replication(
        &mut self,
        now: Millis,
        place: &Node,
        from: DiskId,
        message: Message,
    ) {
        match message {
            Message::Append {
                term,
                prev,
                prev_term,
                entries,
                commit,
                sent,
            } => {
                let matched = self.on_append(now, from, term, (prev, prev_term), entries, commit);
                let reply = Message::AppendReply {
                    term: self.ballot.term,
                    matched: matched.unwrap_or_else(|refused| refused),
                    refused: matched.is_err(),
                    sent,
                };
                self.send(place, Some(from), reply);
            }
            Message::Install {
                term,
                install,
                sent,
            } => {
                let index = install.index;
                let offset = self.on_install(now, from, term, *install);
                let term = self.ballot.term;
                let reply = Message::InstallReply {
                    term,
                    index,
                    offset,
                    sent,
                };
                self.send(place, Some(from), reply);
            }
            Message::AppendReply {
                term,
                matched,
                refused,
                sent,
            } if self.hears(now, from, term, sent) => {
                self.on_append_reply(from, matched, refused);
            }
            Message::InstallReply {
                term,
                index,
                offset,
                sent,
            } if self.hears(now, from, term, sent) => {
                self.on_install_reply(from, index, offset);
            }
            _ => {}
        }
    }

    /// Follows a leader's message; false if its term is over.
    fn obey(&mut self, now: Millis, from: DiskId, term: Term) -> bool {
        if term < self.ballot.term {
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.heard_leader = Some(now);
        self.reset_election(now);
        true
    }

    /// Takes entries. Gives the last place that agrees, or as an error where
    /// the leader should try next.
    fn on_append(
        &mut self,
        now: Millis,
        from: DiskId,
        term: Term,
        (prev, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
    ) -> Result<Index, Index> {
        if !self.obey(now, from, term) {
            return Err(self.log.last());
        }
        let start = self.log.snapshot().index;
        if self.members().voters.is_empty() && prev == Index(0) {
            // The first members stand in no entry, only in the first snapshot.
            return Err(Index(0));
        }
        if prev < start {
            // What a snapshot covers is accepted, and so agrees.
            return Err(start);
        }
        if self.log.term(prev) != Some(prev_term) {
            let back = prev.0.saturating_sub(1).min(self.log.last().0);
            return Err(Index(back).max(start));
        }
        let mut matched = prev;
        for entry in entries {
            matched = entry.index;
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.cut(entry.index),
                None => {}
            }
            self.log.push(entry.clone());
            self.ready.append.push(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        Ok(matched)
    }

    fn cut(&mut self, index: Index) {
        self.log.truncate_from(index);
        self.ready.append.retain(|e| e.index < index);
        let earlier = self.ready.truncate_from.unwrap_or(index);
        self.ready.truncate_from = Some(earlier.min(index));
    }

    /// Takes a piece of a snapshot; gives the bytes that it has by now.
    fn on_install(&mut self, now: Millis, from: DiskId, term: Term, install: Install) -> u64 {
        if !self.obey(now, from, term) {
            return 0;
        }
        let known = !self.members().voters.is_empty();
        if known && install.index <= self.commit {
            return install.total;
        }
        if known && self.log.term(install.index) == Some(install.term) {
            // The log reaches further than a late snapshot. Replacing it would
            // drop entries that this member has acknowledged: one would see two
            // records accepted at one place.
            self.commit = install.index;
            return install.total;
        }
        let buffer = match self.incoming.take() {
            Some((index, buffer)) if index == install.index => buffer,
            _ => Vec::new(),
        };
        // CAST: `usize` is at most 64 bits on every supported target.
        if buffer.len() as u64 != install.offset {
            let have = buffer.len() as u64;
            self.incoming = Some((install.index, buffer));
            return have;
        }
        let mut buffer = buffer;
        buffer.extend_from_slice(&install.piece);
        let have = buffer.len() as u64;
        if have < install.total {
            self.incoming = Some((install.index, buffer));
            return have;
        }
        let snapshot = Snapshot {
            index: install.index,
            term: install.term,
            members: install.members,
            bytes: Arc::new(buffer),
        };
        self.log.install(snapshot.clone());
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.ready.append.clear();
        self.ready.truncate_from = None;
        self.ready.install = Some(snapshot);
        have
    }

    /// Whether a reply counts: it is of this term, from a member.
    fn hears(&mut self, now: Millis, from: DiskId, term: Term, sent: Millis) -> bool {
        if term > self.ballot.term {
            self.become_follower(now, term, None);
            return false;
        }
        if self.role != Role::Leader || term < self.ballot.term {
            return false;
        }
        let Some(progress) = self.progress.get_mut(&from) else {
            return false;
        };
        progress.heard = progress.heard.max(sent);
        progress.waiting = false;
        true
    }

    fn on_append_reply(&mut self, from: DiskId, matched: Index, refused: bool) {
        let last = self.log.last();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if refused {
            if matched.max(progress.matched) == Index(0) {
                // It has nothing at all: it starts from the snapshot.
                progress.next = Index(0);
                return;
            }
            // Never below what is known to agree: a late refusal must not undo it.
            progress.next = matched.max(progress.matched).next().min(last.next());
            return;
        }
        progress.install = None;
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(matched.next());
        self.advance_commit();
    }

    fn on_install_reply(&mut self, from: DiskId, index: Index, offset: u64) {
        let snapshot = self.log.snapshot();
        let total = snapshot.bytes.len() as u64;
        let current = snapshot.index == index;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if !current {
            progress.install = None;
            return;
        }
        if offset >= total {
            progress.install = None;
            progress.matched = progress.matched.max(index);
            progress.next = progress.matched.next();
            return;
        }
        progress.install = Some((index, offset));
    }

    /// Counts as accepted what is on the disks of a quorum, if this term wrote it.
    ///
    /// An older term's entry on a quorum may still be lost to a later leader;
    /// it counts only once an entry of this term follows it.
    pub(super) fn advance_commit(&mut self) {
        let members = self.members();
        let mut matched: SmallVec<[Index; 5]> = (members.voters.iter())
            .map(|m| self.progress.get(&m.disk).map_or(Index(0), |p| p.matched))
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum) = members.quorum().checked_sub(1) else {
            return;
        };
        let Some(agreed) = matched.get(quorum).copied() else {
            return;
        };
        if agreed > self.commit && self.log.term(agreed) == Some(self.ballot.term) {
            self.commit = agreed;
        }
    }

    /// Sends everyone a heartbeat, with entries where some are missing.
    pub(super) fn beat(&mut self, now: Millis) {
        self.clock(now);
        for member in self.others() {
            self.send_to(&member, now, true);
        }
    }

    /// Sends entries to whoever lacks some and has answered the last ones.
    pub(super) fn send_entries_soon(&mut self) {
        let now = self.now();
        for member in self.others() {
            self.send_to(&member, now, false);
        }
    }

    fn others(&self) -> SmallVec<[Member; 5]> {
        let me = self.me.disk;
        (self.members().all())
            .filter(|m| m.disk != me)
            .cloned()
            .collect()
    }

    fn send_to(&mut self, member: &Member, now: Millis, beat: bool) {
        let last = self.log.last();
        let start = self.log.snapshot().index;
        let Some(progress) = self.progress.get_mut(&member.disk) else {
            return;
        };
        let lost = now.since(progress.sent) > ELECTION_TIMEOUT_MS / 2;
        let idle = !progress.waiting || lost;
        let lacks = progress.next <= last;
        if !(beat || lacks && idle) {
            return;
        }
        if progress.next <= start && idle {
            progress.waiting = true;
            progress.sent = now;
            let offset = match progress.install {
                Some((index, offset)) if index == start => offset,
                _ => 0,
            };
            let message = self.piece(offset, now);
            self.send(&member.node, Some(member.disk), message);
            return;
        }
        let next = progress.next.max(start.next());
        let prev = Index(next.0 - 1);
        let entries = if idle {
            self.log.batch(next)
        } else {
            Vec::new()
        };
        if !entries.is_empty() {
            progress.waiting = true;
            progress.sent = now;
        }
        let message = Message::Append {
            term: self.ballot.term,
            prev,
            prev_term: self.log.term(prev).unwrap_or_default(),
            entries,
            commit: self.commit,
            sent: now,
        };
        self.send(&member.node, Some(member.disk), message);
    }

    fn piece(&self, offset: u64, now: Millis) -> Message {
        let snapshot = self.log.snapshot();
        let from = usize::try_from(offset).unwrap_or(usize::MAX);
        let from = from.min(snapshot.bytes.len());
        let to = (from + CHUNK_BYTES_MAX).min(snapshot.bytes.len());
        Message::Install {
            term: self.ballot.term,
            install: Box::new(Install {
                index: snapshot.index,
                term: snapshot.term,
                members: snapshot.members.clone(),
                offset: from as u64,
                total: snapshot.bytes.len() as u64,
                piece: snapshot.bytes[from..to].to_vec(),
            }),
            sent: now,
        }
    }
}
