//! Hand-over of requests between the routers of a data centre.
//!
//! Load balancers send all callers of a large customer to one router: 850 requests a second
//! arrive at a router on an eighth of a core, which serves 200 to 300, while each of its 14
//! neighbours serves 5 to 20. The router keeps as many requests as it can serve in time and
//! passes the others on to neighbours with room, before its tasks run late.
//!
//! What a router can serve is not known beforehand: it depends on its processor and on what
//! requests cost. [`Handover`] therefore adapts its rate to how late tasks run, as [`Limit`]
//! does for connections.
//!
//! [`Limit`]: crate::admission::Limit

use crate::messages::{Occupancy, Peer};
use crate::overload::CALM_LATENESS_MS;
use state::clock::Millis;
use state::id::{Name, Version};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Requests per second that a router is expected to serve until it knows better: an eighth of a
/// core takes 0.2 to 0.4 ms of a core for each, and a third of it remains for answers in progress.
/// Figures of free capacity are thousandths of this rate, so that they compare between routers.
pub const NOMINAL_PER_S: u64 = 200;
/// Least rate to serve here, however late tasks run. Without it a router could not find out that
/// it has room again.
const RATE_MIN_PER_S: u64 = 20;
/// Largest rate to serve here, without pressure.
const RATE_MAX_PER_S: u64 = 1 << 16;
/// Part of a second for whose rate tokens can be saved up: a burst of this length is served here.
const BURST_DIVISOR: u64 = 10;
/// Part of a second whose rate the requests of other routers may exceed the limit by. Their
/// senders know the free capacity of a second ago, so that small excesses are usual, and a refusal
/// costs the caller its only retry.
const OVERDRAFT_DIVISOR: u64 = 4;
/// Part of a second whose rate may be in progress here. An answer takes half a second to a second,
/// and a router with more than that waits for endpoints, not for its processor.
const IN_PROGRESS_DIVISOR: u64 = 2;
/// Lateness below which the rate may grow, in milliseconds: half of the lateness at which it
/// shrinks.
const GROWTH_LATENESS_MS: u64 = CALM_LATENESS_MS / 2;
/// Least time between two changes of the rate, in milliseconds. A probe takes 20 ms, within which
/// a router of 200 requests a second starts only four.
const ADJUSTMENT_INTERVAL_MS: u64 = 100;
/// Divisor of the rate that gives its growth with each calm adjustment.
const GROWTH_DIVISOR: u64 = 16;
/// Time for which a router counts as pressed after the last excess, in milliseconds: the time for
/// which peers' figures are valid.
const PRESSED_MS: u64 = 1000;
/// Time for which it does so while requests wait for the heads of their answers at peers, in
/// milliseconds. The figures of peers show that these are alive.
const PRESSED_WAITING_MS: u64 = 10_000;
/// Time for which a peer's figure is used after it was received, in milliseconds.
const VALID_MS: u64 = 1000;
/// Least difference between two reports of one peer, in milliseconds. A scheduler's VM repeats a
/// report every 200 ms with a greater age, which is known to some milliseconds only.
const REPORT_DIFFERENCE_MS: u64 = 100;
/// Time without an answer or a figure after which a peer at which requests wait counts as silent,
/// in milliseconds. Peers report once a second.
const SILENT_MS: u64 = 1500;
/// Most peers that are used at a time.
pub const PEERS_MAX: usize = 8;
/// Most requests in progress at all peers. Each holds a connection of its caller and one to the
/// peer.
const AT_PEERS_MAX: usize = 256;
/// Most requests in progress at one peer: a fair part, so that a wrong figure cannot send
/// everything to one peer.
const AT_PEER_MAX: usize = AT_PEERS_MAX / 4;

/// Number of events in the last second, in slots of 100 ms.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    counts: [u32; 10],
    /// Number of the newest slot since the clock's origin.
    slot: u64,
}

impl Rate {
    fn advance(&mut self, now: Millis) {
        let slot = now.0 / 100;
        let passed = slot.saturating_sub(self.slot).min(10);
        for step in 1..=passed {
            // CAST: below 10.
            self.counts[((slot - passed + step) % 10) as usize] = 0;
        }
        self.slot = self.slot.max(slot);
    }

    fn add(&mut self, now: Millis) {
        self.advance(now);
        // CAST: below 10.
        self.counts[(self.slot % 10) as usize] += 1;
    }

    fn per_s(&mut self, now: Millis) -> u64 {
        self.advance(now);
        self.counts.iter().copied().map(u64::from).sum()
    }
}

/// Token bucket with an overdraft, whose rate changes.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    per_s: u64,
    millitokens: i64,
    filled_at: Millis,
}

impl Bucket {
    fn new(per_s: u64, now: Millis) -> Self {
        let mut bucket = Bucket {
            per_s,
            millitokens: 0,
            filled_at: now,
        };
        bucket.millitokens = bucket.burst();
        bucket
    }

    /// Thousandths of a token that can be saved up; at least two tokens.
    fn burst(&self) -> i64 {
        signed((self.per_s * 1000 / BURST_DIVISOR).max(2000))
    }

    fn overdraft(&self) -> i64 {
        signed(self.per_s * 1000 / OVERDRAFT_DIVISOR)
    }

    fn fill(&mut self, now: Millis) {
        let gained = signed(now.since(self.filled_at).min(1000) * self.per_s);
        self.millitokens = (self.millitokens + gained).min(self.burst());
        self.filled_at = self.filled_at.max(now);
    }

    fn take(&mut self) {
        self.millitokens = (self.millitokens - 1000).max(-self.overdraft());
    }
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller. The router accepted the request under this version of the configuration.
    Caller(Version),
    /// Another router, which has passed the request on.
    Router,
}

/// Whether a router with version `own` of the configuration declines a request that another router
/// accepted under version `required`.
///
/// Callers have already seen the effects of the sender's version. Serving by an older one would
/// look to them as if the configuration had been reverted.
pub fn must_decline(own: Version, required: Version) -> bool {
    own < required
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Serve it here.
    Serve,
    /// Pass it on to this peer, at its address for callers.
    HandOver(Name, SocketAddr),
    /// Refuse it: it comes from another router, and this one has no room.
    Refuse,
}

/// Requests of one peer since the last report on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The peer.
    pub peer: Name,
    /// Requests that were passed on.
    pub sent: u64,
    /// Requests that the peer refused for lack of room.
    pub refused: u64,
    /// Requests that the peer declined because its configuration is older.
    pub declined: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests in progress there.
    pub in_progress: usize,
}

/// Requests passed on to a peer since the last summary.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u64,
    refused: u64,
    declined: u64,
    failed: u64,
}

/// A peer and the requests in progress there.
#[derive(Clone, Debug)]
struct Slot {
    vm: Name,
    address: SocketAddr,
    /// Version of the configuration that the peer last reported.
    config_version: Version,
    /// Requests that the peer can take from this router.
    room: Bucket,
    /// Requests sent in the last second.
    sent: Rate,
    /// When the peer reported the figure that `room` is based on.
    reported_at: Millis,
    /// Until when the figure is valid.
    valid_until: Millis,
    /// When the peer last refused or declined a request or could not be reached.
    lowered_at: Option<Millis>,
    in_progress: usize,
    /// Requests that wait for the head of their answer.
    waiting: usize,
    /// Since when at least one request has been waiting.
    waiting_since: Millis,
    /// Last sign of life: an answer or a figure.
    heard_at: Millis,
    counts: Counts,
}

impl Slot {
    fn new(now: Millis, peer: &Peer) -> Self {
        Slot {
            vm: peer.vm.clone(),
            address: peer.callers,
            config_version: peer.config_version,
            room: Bucket::new(0, now),
            sent: Rate::default(),
            reported_at: Millis(0),
            valid_until: now,
            lowered_at: None,
            in_progress: 0,
            waiting: 0,
            waiting_since: now,
            heard_at: now,
            counts: Counts::default(),
        }
    }

    /// Takes over a figure unless it is an older or repeated one.
    ///
    /// The figure is what remains free beside the requests that this router sends already.
    fn update(&mut self, now: Millis, peer: &Peer) {
        let reported_at = Millis(now.0.saturating_sub(u64::from(peer.age_ms)));
        self.address = peer.callers;
        self.valid_until = now.after(VALID_MS);
        let is_first = self.reported_at == Millis(0);
        // A report of a new version may follow the one before it at once. An older report with a
        // higher version is one of before a restart of the peer.
        let is_new = reported_at.since(self.reported_at) >= REPORT_DIFFERENCE_MS
            || (peer.config_version > self.config_version && reported_at > self.reported_at);
        if !is_first && !is_new {
            return;
        }
        self.heard_at = self.heard_at.max(reported_at);
        if self.lowered_at.is_some_and(|at| reported_at <= at) {
            return;
        }
        self.config_version = peer.config_version;
        let free = u64::from(peer.free_permille) * NOMINAL_PER_S / 1000;
        self.room.fill(now);
        self.room.per_s = self.sent.per_s(now) + free;
        self.room.millitokens = match is_first {
            true => self.room.burst(),
            false => self.room.millitokens.min(self.room.burst()),
        };
        self.reported_at = reported_at;
        self.lowered_at = None;
    }

    /// Uses the peer no more until it has reported anew.
    fn lower(&mut self, now: Millis) {
        self.room = Bucket {
            per_s: 0,
            millitokens: 0,
            filled_at: now,
        };
        self.sent = Rate::default();
        self.lowered_at = Some(now);
    }

    fn is_silent(&self, now: Millis) -> bool {
        let since = self.heard_at.max(self.waiting_since);
        self.waiting > 0 && now.since(since) >= SILENT_MS
    }

    /// Whether the peer can take a request that was accepted under `version`.
    fn is_usable(&mut self, now: Millis, version: Version) -> bool {
        self.room.fill(now);
        now < self.valid_until
            && !must_decline(self.config_version, version)
            && !self.is_silent(now)
            && self.in_progress < AT_PEER_MAX
            && self.room.millitokens >= 1000
            && self.lowered_at.is_none()
    }
}

/// Decides which requests a router serves itself and which it passes on.
#[derive(Clone, Debug)]
pub struct Handover {
    /// Requests that can be served here.
    limit: Bucket,
    /// Requests started here in the last second.
    started: Rate,
    /// Lateness of tasks at the last probe, in milliseconds.
    late_ms: u64,
    /// When the limit was last changed.
    adjusted_at: Millis,
    /// Whether a request has exceeded the limit since then.
    is_exercised: bool,
    /// When a request of a caller last exceeded the limit.
    excess_at: Option<Millis>,
    /// When a peer last answered.
    answered_at: Option<Millis>,
    /// Whether each request of a caller counts as excess, for tests.
    is_forced: bool,
    slots: Vec<Slot>,
}

impl Handover {
    /// Creates the decision of a router without peers.
    pub fn new(now: Millis) -> Self {
        Handover {
            limit: Bucket::new(NOMINAL_PER_S, now),
            started: Rate::default(),
            late_ms: 0,
            adjusted_at: now,
            is_exercised: false,
            excess_at: None,
            answered_at: None,
            is_forced: false,
            slots: Vec::new(),
        }
    }

    /// Makes each request of a caller count as excess from now on, or no longer.
    pub fn force(&mut self, is_forced: bool) {
        self.is_forced = is_forced;
    }

    /// Adds a probe of how late tasks run, in milliseconds.
    pub fn probe(&mut self, now: Millis, late_ms: u64) {
        self.late_ms = late_ms;
        if self.is_forced {
            self.excess_at = Some(now);
        }
        if now.since(self.adjusted_at) < ADJUSTMENT_INTERVAL_MS {
            return;
        }
        let limit = self.limit.per_s;
        let started = self.started.per_s(now);
        self.limit.fill(now);
        if late_ms >= CALM_LATENESS_MS && started * 2 >= limit {
            // If less is started, the lateness has another cause, such as a busy host.
            self.limit.per_s = (limit.min(started) * 3 / 4).max(RATE_MIN_PER_S);
        } else if late_ms < GROWTH_LATENESS_MS && (self.is_exercised || limit < NOMINAL_PER_S) {
            let growth = (limit / GROWTH_DIVISOR).max(1);
            self.limit.per_s = (limit + growth).min(RATE_MAX_PER_S);
        } else {
            return;
        }
        self.is_exercised = false;
        self.adjusted_at = now;
    }

    /// Decides on a request. `in_progress` is the number of requests in progress here.
    ///
    /// A request that is handed over counts as in progress at the peer until [`Handover::end`].
    pub fn decide(&mut self, now: Millis, in_progress: usize, origin: Origin) -> Decision {
        self.limit.fill(now);
        let in_progress = u64::try_from(in_progress).unwrap_or(u64::MAX);
        let in_progress_max = self.in_progress_max();
        let is_excess = self.limit.millitokens < 1000 || in_progress >= in_progress_max;
        match origin {
            Origin::Router => {
                self.is_exercised |= is_excess;
                let is_far_beyond = self.limit.millitokens <= -self.limit.overdraft()
                    || in_progress >= in_progress_max * 3 / 2
                    || self.late_ms >= CALM_LATENESS_MS;
                if is_excess && is_far_beyond {
                    return Decision::Refuse;
                }
            }
            Origin::Caller(version) if is_excess || self.is_forced => {
                self.is_exercised = true;
                self.excess_at = Some(now);
                if let Some(slot) = self.pick(now, version) {
                    slot.room.take();
                    slot.sent.add(now);
                    slot.counts.sent += 1;
                    slot.in_progress += 1;
                    if slot.waiting == 0 {
                        slot.waiting_since = now;
                    }
                    slot.waiting += 1;
                    return Decision::HandOver(slot.vm.clone(), slot.address);
                }
            }
            Origin::Caller(_) => {}
        }
        self.limit.take();
        self.started.add(now);
        Decision::Serve
    }

    /// Most requests in progress here without excess.
    fn in_progress_max(&self) -> u64 {
        self.limit.per_s / IN_PROGRESS_DIVISOR
    }

    /// The peer with the most room among those with at least this version of the configuration.
    fn pick(&mut self, now: Millis, version: Version) -> Option<&mut Slot> {
        let at_peers: usize = self.slots.iter().map(|s| s.in_progress).sum();
        if at_peers >= AT_PEERS_MAX {
            return None;
        }
        let usable = self.slots.iter_mut().filter_map(|slot| {
            let is_usable = slot.is_usable(now, version);
            is_usable.then_some(slot)
        });
        usable.max_by_key(|slot| (slot.room.millitokens, Reverse(slot.in_progress)))
    }

    /// Replaces the peers by those that a scheduler's VM has named.
    pub fn set_peers(&mut self, now: Millis, peers: &[Peer]) {
        for peer in peers.iter().take(PEERS_MAX) {
            let found = self.slots.iter().position(|slot| slot.vm == peer.vm);
            let index = found.unwrap_or_else(|| {
                self.slots.push(Slot::new(now, peer));
                self.slots.len() - 1
            });
            self.slots[index].update(now, peer);
        }
        for slot in &mut self.slots {
            if !peers.iter().any(|peer| peer.vm == slot.vm) {
                slot.valid_until = now;
            }
        }
        self.slots
            .retain(|slot| now < slot.valid_until || slot.in_progress > 0 || slot.counts.sent > 0);
    }

    /// Records that a peer has answered a request. `has_room` is false if it refused the request
    /// since it has no room.
    pub fn answer(&mut self, now: Millis, vm: &Name, has_room: bool) {
        let Some(slot) = self.slots.iter_mut().find(|slot| slot.vm == *vm) else {
            return;
        };
        slot.waiting = slot.waiting.saturating_sub(1);
        slot.waiting_since = now;
        slot.heard_at = now;
        if has_room {
            self.answered_at = Some(now);
        } else {
            slot.counts.refused += 1;
            slot.lower(now);
        }
    }

    /// Records that a peer has declined a request because its configuration is older. The peer is
    /// not used again until it has reported anew.
    pub fn decline(&mut self, now: Millis, vm: &Name) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.vm == *vm) {
            slot.waiting = slot.waiting.saturating_sub(1);
            slot.waiting_since = now;
            slot.heard_at = now;
            slot.counts.declined += 1;
            slot.lower(now);
        }
    }

    /// Records that a request at a peer has failed before its answer began. The peer is not used
    /// again until it has reported anew.
    pub fn fail(&mut self, now: Millis, vm: &Name) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.vm == *vm) {
            slot.waiting = slot.waiting.saturating_sub(1);
            slot.counts.failed += 1;
            slot.lower(now);
        }
    }

    /// Records that a request at a peer was given up by its caller before its answer began.
    pub fn abandon(&mut self, vm: &Name) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.vm == *vm) {
            slot.waiting = slot.waiting.saturating_sub(1);
        }
    }

    /// Records that a request at a peer has ended, in whatever way.
    pub fn end(&mut self, vm: &Name) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.vm == *vm) {
            slot.in_progress = slot.in_progress.saturating_sub(1);
        }
    }

    /// Whether a peer has shown no sign of life although requests wait for it.
    pub fn is_silent(&self, now: Millis, vm: &Name) -> bool {
        let mut slots = self.slots.iter();
        slots.any(|slot| slot.vm == *vm && slot.is_silent(now))
    }

    /// Requests in progress at all peers.
    pub fn at_peers(&self) -> usize {
        self.slots.iter().map(|slot| slot.in_progress).sum()
    }

    /// Whether callers bring more than this router can serve, so that it needs peers.
    pub fn is_pressed(&self, now: Millis) -> bool {
        let is_waiting = self.slots.iter().any(|slot| slot.waiting > 0);
        let hold_ms = if is_waiting {
            PRESSED_WAITING_MS
        } else {
            PRESSED_MS
        };
        self.excess_at.is_some_and(|at| now.since(at) < hold_ms)
    }

    /// Whether peers take the excess at the moment.
    pub fn is_relieved(&self, now: Millis) -> bool {
        self.is_pressed(now) && self.answered_at.is_some_and(|at| now.since(at) < VALID_MS)
    }

    /// How much of this router is in use. `is_open` tells whether it takes requests at all, and
    /// `config_version` is the version of the configuration that it serves them by.
    pub fn occupancy(
        &mut self,
        now: Millis,
        in_progress: usize,
        is_open: bool,
        config_version: Version,
    ) -> Occupancy {
        let limit = self.limit.per_s.min(NOMINAL_PER_S);
        let by_rate = limit.saturating_sub(self.started.per_s(now));
        let running = u64::try_from(in_progress).unwrap_or(u64::MAX);
        let in_progress_max = self.in_progress_max().max(1);
        let by_progress = limit * in_progress_max.saturating_sub(running) / in_progress_max;
        let is_pressed = self.is_pressed(now);
        let free = match is_pressed || self.late_ms >= CALM_LATENESS_MS {
            true => 0,
            false => by_rate.min(by_progress),
        };
        Occupancy {
            requests: u32::try_from(in_progress).unwrap_or(u32::MAX),
            free_permille: u16::try_from(free * 1000 / NOMINAL_PER_S).unwrap_or(u16::MAX),
            is_pressed,
            is_open,
            config_version,
        }
    }

    /// Requests of each peer since the last call.
    pub fn take_summaries(&mut self) -> Vec<Summary> {
        let mut summaries = Vec::new();
        for slot in &mut self.slots {
            let counts = std::mem::take(&mut slot.counts);
            if counts.sent + counts.refused + counts.declined + counts.failed > 0 {
                summaries.push(Summary {
                    peer: slot.vm.clone(),
                    sent: counts.sent,
                    refused: counts.refused,
                    declined: counts.declined,
                    failed: counts.failed,
                    in_progress: slot.in_progress,
                });
            }
        }
        summaries
    }
}
