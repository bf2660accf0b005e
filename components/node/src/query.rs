//! Queries to the control VMs, repeated until the leader answers.

use protocol::wire::{Message, Query, Reply};
use state::clock::Millis;
use state::id::Name;
use state::view::Node;
use std::collections::BTreeMap;
use tokio::sync::oneshot;
use transport::link::Hub;

/// Time without an answer after which the next control VM is asked, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 400;
/// Pause before the next try if no leader is known, in milliseconds.
const NO_LEADER_PAUSE_MS: u64 = 50;
/// Time without queries after which links to control VMs are closed, in milliseconds. Routers need
/// them rarely, and in a large fleet idle links would cost the control VMs too much.
const LINK_IDLE_MS: u64 = 30_000;

/// A query without an answer.
struct Open {
    query: Query,
    answer: oneshot::Sender<Reply>,
    /// When the query was last sent.
    sent_at: Option<Millis>,
    /// When to send the query next.
    due_at: Millis,
}

/// Queries without an answer, and the control VM that they are sent to.
pub(crate) struct Queries {
    /// Control VMs.
    seeds: Vec<Node>,
    /// Queries by ID.
    open: BTreeMap<u64, Open>,
    next_id: u64,
    /// Index of the control VM in `seeds` that is asked.
    target: usize,
    /// When there last was a query.
    last_used_at: Millis,
    /// When the next target was last chosen because no control VM had a link.
    rotated_at: Millis,
    /// Whether queries have opened links that are not idle yet.
    is_dialed: bool,
    /// Whether links to control VMs are kept even if idle.
    keeps_links: bool,
}

impl Queries {
    /// Creates an empty set of queries. `first` chooses the control VM that is asked first.
    pub(crate) fn new(seeds: Vec<Node>, first: usize, keeps_links: bool) -> Self {
        let target = first % seeds.len().max(1);
        Queries {
            seeds,
            open: BTreeMap::new(),
            next_id: 0,
            target,
            last_used_at: Millis(0),
            rotated_at: Millis(0),
            is_dialed: false,
            keeps_links,
        }
    }

    /// Replaces the control VMs that are asked.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<Node>) {
        let asked = self.seeds.get(self.target).cloned();
        self.target = asked
            .and_then(|asked| seeds.iter().position(|s| *s == asked))
            .unwrap_or(0);
        self.seeds = seeds;
    }

    /// Sends a query. The reply goes to `answer`, however long it takes; dropping the receiver
    /// cancels the query.
    pub(crate) fn ask(
        &mut self,
        now: Millis,
        hub: &Hub,
        query: Query,
        answer: oneshot::Sender<Reply>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        let open = Open {
            query,
            answer,
            sent_at: None,
            due_at: now,
        };
        self.open.insert(id, open);
        self.send(now, hub);
    }

    /// Handles a reply.
    pub(crate) fn handle_reply(&mut self, now: Millis, hub: &Hub, id: u64, reply: Reply) {
        if let Reply::NotLeader(leader) = reply {
            let known = leader.and_then(|l| self.seeds.iter().position(|s| *s == l));
            let names_itself = known == Some(self.target);
            self.target = known.unwrap_or(self.target + 1) % self.seeds.len().max(1);
            let is_linked = |n: usize| self.seeds.get(n).is_some_and(|s| hub.is_up(&s.vm));
            // If the VM names itself, no leader, or a leader without a link here, the query is sent
            // again after a pause.
            let is_reachable = !names_itself && known.is_some_and(is_linked);
            if let Some(open) = self.open.get_mut(&id) {
                open.sent_at = None;
                open.due_at = now.after(if is_reachable { 0 } else { NO_LEADER_PAUSE_MS });
            }
            self.send(now, hub);
            return;
        }
        if let Some(open) = self.open.remove(&id) {
            // The receiver may have been dropped.
            let _ = open.answer.send(reply);
        }
    }

    /// Repeats queries after a timeout, and lets idle links be closed.
    pub(crate) fn tick(&mut self, now: Millis, hub: &Hub) {
        self.open.retain(|_, open| !open.answer.is_closed());
        let is_late = |o: &Open| o.sent_at.is_some() && now >= o.due_at;
        if self.open.values().any(is_late) {
            self.target = (self.target + 1) % self.seeds.len().max(1);
        }
        self.send(now, hub);
        if self.open.is_empty() && now.since(self.last_used_at) > LINK_IDLE_MS {
            self.is_dialed = false;
        }
    }

    /// Whether the link to a VM is needed for queries.
    pub(crate) fn needs(&self, vm: &Name) -> bool {
        (self.is_dialed || self.keeps_links) && self.seeds.iter().any(|s| s.vm == *vm)
    }

    /// Chooses the next control VM if no link comes up in time.
    ///
    /// Links are opened one after the other: if all routers opened links to all control VMs at
    /// once, these would be busy with handshakes.
    fn rotate(&mut self, now: Millis) {
        if now.since(self.rotated_at) >= ANSWER_TIMEOUT_MS {
            self.rotated_at = now;
            self.target = (self.target + 1) % self.seeds.len().max(1);
        }
    }

    /// Sends the queries that are due to the target, or else to the next control VM with a link.
    fn send(&mut self, now: Millis, hub: &Hub) {
        if self.open.is_empty() {
            return;
        }
        self.last_used_at = now;
        self.is_dialed = true;
        if let Some(seed) = self.seeds.get(self.target) {
            hub.dial(seed);
        }
        // Control VMs without a link are skipped while another one has a link.
        let count = self.seeds.len();
        let up = (0..count)
            .map(|i| (self.target + i) % count)
            .find(|i| hub.is_up(&self.seeds[*i].vm));
        let Some(up) = up else {
            self.rotate(now);
            return;
        };
        self.target = up;
        let vm = &self.seeds[up].vm;
        for (id, open) in &mut self.open {
            if now < open.due_at {
                continue;
            }
            if hub.send(vm, Message::Query(*id, open.query.clone())) {
                open.sent_at = Some(now);
                open.due_at = now.after(ANSWER_TIMEOUT_MS);
            }
        }
    }
}
