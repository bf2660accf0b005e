//! Replication of entries and snapshots from the leader to the other members.

use super::core::{Core, Role};
use super::log::{Entry, Index, Snapshot, Term};
use super::message::{Install, Message};
use super::{CHUNK_BYTES_MAX, ELECTION_TIMEOUT_MS};
use crate::prelude::*;
use state::record::{DiskId, Member};
use state::view::Node;
use std::sync::Arc;

impl Core {
    /// Handles a replication message or its reply. A message of an older term is answered with
    /// this member's term; a later term is adopted.
    pub(super) fn step_replication(
        &mut self,
        now: Millis,
        node: &Node,
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
                self.send(node, Some(from), reply);
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
                self.send(node, Some(from), reply);
            }
            Message::AppendReply {
                term,
                matched,
                refused,
                sent,
            } if self.accept_reply(now, from, term, sent) => {
                self.on_append_reply(from, matched, refused);
            }
            Message::InstallReply {
                term,
                index,
                offset,
                sent,
            } if self.accept_reply(now, from, term, sent) => {
                self.on_install_reply(from, index, offset);
            }
            _ => {}
        }
    }

    /// Follows the leader that has sent a message; returns false if its term is over.
    fn accept_leader(&mut self, now: Millis, from: DiskId, term: Term) -> bool {
        if term < self.ballot.term {
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.leader_contact = Some(now);
        self.reset_election(now);
        true
    }

    /// Appends entries. Returns the last index that matches the leader's log, or as an error
    /// the index at which the leader should try next.
    fn on_append(
        &mut self,
        now: Millis,
        from: DiskId,
        term: Term,
        (prev, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
    ) -> Result<Index, Index> {
        if !self.accept_leader(now, from, term) {
            return Err(self.log.last());
        }
        let start = self.log.snapshot().index;
        if self.members().voters.is_empty() && prev == Index(0) {
            // The first members are in no entry, only in the first snapshot.
            return Err(Index(0));
        }
        if prev < start {
            // Entries that a snapshot covers are committed, so they match.
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
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.log.push(entry.clone());
            self.ready.append.push(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        Ok(matched)
    }

    /// Removes an entry and all after it, also from the pending effects.
    fn truncate(&mut self, index: Index) {
        self.log.truncate_from(index);
        self.ready.append.retain(|e| e.index < index);
        let earlier = self.ready.truncate_from.unwrap_or(index);
        self.ready.truncate_from = Some(earlier.min(index));
    }

    /// Handles a chunk of a snapshot; returns the number of bytes received so far.
    fn on_install(&mut self, now: Millis, from: DiskId, term: Term, install: Install) -> u64 {
        if !self.accept_leader(now, from, term) {
            return 0;
        }
        let is_member = !self.members().voters.is_empty();
        if is_member && install.index <= self.commit {
            return install.total;
        }
        if is_member && self.log.term(install.index) == Some(install.term) {
            // The log already reaches past this delayed snapshot. Replacing the log would drop
            // entries that this member has acknowledged, and two records could be committed at
            // one index.
            self.commit = install.index;
            return install.total;
        }
        let buffer = match self.incoming.take() {
            Some((index, buffer)) if index == install.index => buffer,
            _ => Vec::new(),
        };
        // CAST: `usize` is at most 64 bits on every supported target.
        if buffer.len() as u64 != install.offset {
            let received = buffer.len() as u64;
            self.incoming = Some((install.index, buffer));
            return received;
        }
        let mut buffer = buffer;
        buffer.extend_from_slice(&install.piece);
        let received = buffer.len() as u64;
        if received < install.total {
            self.incoming = Some((install.index, buffer));
            return received;
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
        received
    }

    /// Records a reply; returns false unless it is of this leader's term and from a member.
    fn accept_reply(&mut self, now: Millis, from: DiskId, term: Term, sent: Millis) -> bool {
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
        progress.last_ack = progress.last_ack.max(sent);
        progress.in_flight = false;
        true
    }

    /// Updates a member's progress, and commits what a quorum holds.
    fn on_append_reply(&mut self, from: DiskId, matched: Index, refused: bool) {
        let last = self.log.last();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if refused {
            if matched.max(progress.matched) == Index(0) {
                // The member's log is empty, so it needs the snapshot first.
                progress.next = Index(0);
                return;
            }
            // Never below the known match: a delayed refusal must not undo it.
            progress.next = matched.max(progress.matched).next().min(last.next());
            return;
        }
        progress.installing = None;
        progress.matched = progress.matched.max(matched);
        progress.next = progress.next.max(matched.next());
        self.advance_commit();
    }

    /// Updates how much of the snapshot a member has received.
    fn on_install_reply(&mut self, from: DiskId, index: Index, offset: u64) {
        let snapshot = self.log.snapshot();
        let total = snapshot.bytes.len() as u64;
        let is_current = snapshot.index == index;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if !is_current {
            progress.installing = None;
            return;
        }
        if offset >= total {
            progress.installing = None;
            progress.matched = progress.matched.max(index);
            progress.next = progress.matched.next();
            return;
        }
        progress.installing = Some((index, offset));
    }

    /// Commits the entries that are on the disks of a quorum, if the last one is of this term.
    ///
    /// An entry of an older term may still be replaced by a later leader even if a quorum holds
    /// it; it is committed only by a later entry of the current term.
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

    /// Sends a heartbeat to all other members, with the entries that they lack.
    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        self.advance_clock(now);
        for member in self.other_members() {
            self.send_to(&member, now, true);
        }
    }

    /// Sends entries to members that lack some and have answered the previous ones.
    pub(super) fn send_missing_entries(&mut self) {
        let now = self.now();
        for member in self.other_members() {
            self.send_to(&member, now, false);
        }
    }

    fn other_members(&self) -> SmallVec<[Member; 5]> {
        let me = self.me.disk;
        (self.members().all())
            .filter(|m| m.disk != me)
            .cloned()
            .collect()
    }

    /// Sends a member the next entries or snapshot chunk; without any of them, a heartbeat if
    /// `is_heartbeat` is set.
    fn send_to(&mut self, member: &Member, now: Millis, is_heartbeat: bool) {
        let last = self.log.last();
        let start = self.log.snapshot().index;
        let Some(progress) = self.progress.get_mut(&member.disk) else {
            return;
        };
        let is_lost = now.since(progress.sent_at) > ELECTION_TIMEOUT_MS / 2;
        let is_idle = !progress.in_flight || is_lost;
        let lacks_entries = progress.next <= last;
        if !(is_heartbeat || lacks_entries && is_idle) {
            return;
        }
        if progress.next <= start && is_idle {
            progress.in_flight = true;
            progress.sent_at = now;
            let offset = match progress.installing {
                Some((index, offset)) if index == start => offset,
                _ => 0,
            };
            let message = self.install_message(offset, now);
            self.send(&member.node, Some(member.disk), message);
            return;
        }
        let next = progress.next.max(start.next());
        let prev = Index(next.0 - 1);
        let entries = if is_idle {
            self.log.batch(next)
        } else {
            Vec::new()
        };
        if !entries.is_empty() {
            progress.in_flight = true;
            progress.sent_at = now;
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

    /// The snapshot chunk at an offset.
    fn install_message(&self, offset: u64, now: Millis) -> Message {
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
