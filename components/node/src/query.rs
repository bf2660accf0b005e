//! Queries to the control VMs, sent again until one that leads answers.

use protocol::wire::{Message, Query, Reply};
use state::clock::Millis;
use state::id::Name;
use state::view::Node;
use std::collections::BTreeMap;
use tokio::sync::oneshot;
use transport::link::Hub;

/// Time without an answer after which the next control VM is asked, in
/// milliseconds.
const AGAIN_MS: u64 = 400;
/// Pause before the next try when nobody is known to lead, in milliseconds.
const PAUSE_MS: u64 = 50;
/// Time without queries after which links to control VMs are closed, in
/// milliseconds. A router of a large fleet needs them seldom.
const KEEP_MS: u64 = 30_000;

struct Open {
    query: Query,
    answer: oneshot::Sender<Reply>,
    sent: Option<Millis>,
    /// When to send it, again or for the first time.
    due: Millis,
}

/// Queries that wait for an answer.
pub(crate) struct Queries {
    seeds: Vec<Node>,
    open: BTreeMap<u64, Open>,
    next: u64,
    target: usize,
    used: Millis,
    /// When the next one was last chosen since none could be reached.
    turned: Millis,
    dialed: bool,
    /// Whether links to control VMs are always kept.
    keep: bool,
}

impl Queries {
    /// No queries yet.
    pub(crate) fn new(seeds: Vec<Node>, first: usize, keep: bool) -> Self {
        let target = first % seeds.len().max(1);
        Queries {
            seeds,
            open: BTreeMap::new(),
            next: 0,
            target,
            used: Millis(0),
            turned: Millis(0),
            dialed: false,
            keep,
        }
    }

    /// Changes the control VMs that are asked.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<Node>) {
        let asked = self.seeds.get(self.target).cloned();
        self.target = asked
            .and_then(|asked| seeds.iter().position(|s| *s == asked))
            .unwrap_or(0);
        self.seeds = seeds;
    }

    /// Sends a query; the answer goes to `answer`, however long it takes. A
    /// receiver that is dropped ends the query.
    pub(crate) fn ask(
        &mut self,
        now: Millis,
        hub: &Hub,
        query: Query,
        answer: oneshot::Sender<Reply>,
    ) {
        let id = self.next;
        self.next += 1;
        let open = Open {
            query,
            answer,
            sent: None,
            due: now,
        };
        self.open.insert(id, open);
        self.send(now, hub);
    }

    /// Takes an answer.
    pub(crate) fn reply(&mut self, now: Millis, hub: &Hub, id: u64, reply: Reply) {
        if let Reply::NotLeader(leader) = reply {
            let known = leader.and_then(|l| self.seeds.iter().position(|s| *s == l));
            let asked_now = known == Some(self.target);
            self.target = known.unwrap_or(self.target + 1) % self.seeds.len().max(1);
            let is_linked = |n: usize| self.seeds.get(n).is_some_and(|s| hub.is_up(&s.vm));
            // A VM that names itself, nobody, or one without a link is asked again a little
            // later.
            let soon = !asked_now && known.is_some_and(is_linked);
            if let Some(open) = self.open.get_mut(&id) {
                open.sent = None;
                open.due = now.after(if soon { 0 } else { PAUSE_MS });
            }
            self.send(now, hub);
            return;
        }
        if let Some(open) = self.open.remove(&id) {
            // Whoever asked may have gone.
            let _ = open.answer.send(reply);
        }
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Millis, hub: &Hub) {
        self.open.retain(|_, open| !open.answer.is_closed());
        let late = |o: &Open| o.sent.is_some() && now >= o.due;
        if self.open.values().any(late) {
            self.target = (self.target + 1) % self.seeds.len().max(1);
        }
        self.send(now, hub);
        if self.open.is_empty() && now.since(self.used) > KEEP_MS {
            self.dialed = false;
        }
    }

    /// Whether a VM's link is kept for queries.
    pub(crate) fn needs(&self, vm: &Name) -> bool {
        (self.dialed || self.keep) && self.seeds.iter().any(|s| s.vm == *vm)
    }

    /// Chooses the next control VM if the link to one takes long. Opened to all of them by all
    /// routers, links would keep control VMs busy with handshakes.
    fn turn(&mut self, now: Millis) {
        if now.since(self.turned) >= AGAIN_MS {
            self.turned = now;
            self.target = (self.target + 1) % self.seeds.len().max(1);
        }
    }

    fn send(&mut self, now: Millis, hub: &Hub) {
        if self.open.is_empty() {
            return;
        }
        self.used = now;
        self.dialed = true;
        if let Some(seed) = self.seeds.get(self.target) {
            hub.dial(seed);
        }
        // A seed without a link is passed over while another has one.
        let count = self.seeds.len();
        let up = (0..count)
            .map(|i| (self.target + i) % count)
            .find(|i| hub.is_up(&self.seeds[*i].vm));
        let Some(up) = up else {
            self.turn(now);
            return;
        };
        self.target = up;
        let vm = &self.seeds[up].vm;
        for (id, open) in &mut self.open {
            if now < open.due {
                continue;
            }
            if hub.send(vm, Message::Query(*id, open.query.clone())) {
                open.sent = Some(now);
                open.due = now.after(AGAIN_MS);
            }
        }
    }
}
