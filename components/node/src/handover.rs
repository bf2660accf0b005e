//! Hand-over of requests to other routers, shared by the frontend, the monitor and the reactor.

use crate::metric::{gauge_value, Metrics};
use coordination::handover::{self, Decision, Origin};
use coordination::messages::{Occupancy, Peer};
use state::id::{Name, Version};
use state::line::Line;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use transport::clock::Clock;

/// The decision of this router with its clock and metrics.
#[derive(Clone)]
pub(crate) struct Handover(Arc<Inner>);

/// State that all clones of a [`Handover`] share.
struct Inner {
    decision: Mutex<handover::Handover>,
    clock: Clock,
    metrics: Metrics,
    relay_interval: Duration,
}

impl Handover {
    /// Creates the decision of a router without peers. `relay_interval` is the least time between
    /// two reads of a stream that a peer answers.
    pub(crate) fn new(clock: Clock, metrics: Metrics, relay_interval: Duration) -> Self {
        let decision = handover::Handover::new(clock.now());
        Handover(Arc::new(Inner {
            decision: Mutex::new(decision),
            clock,
            metrics,
            relay_interval,
        }))
    }

    /// Least time between two reads of a stream that a peer answers.
    pub(crate) fn relay_interval(&self) -> Duration {
        self.0.relay_interval
    }

    /// Decides on a request. A request that is handed over is in progress at the peer until its
    /// ticket is dropped.
    pub(crate) fn decide(&self, origin: Origin) -> Decided {
        let now = self.0.clock.now();
        let mut decision = self.lock();
        let in_progress = self.in_progress(&decision);
        match decision.decide(now, in_progress, origin) {
            Decision::Serve => Decided::Serve,
            Decision::Refuse => Decided::Refuse,
            Decision::HandOver(vm, address) => Decided::HandOver(Ticket {
                handover: self.clone(),
                vm,
                address,
                is_waiting: true,
            }),
        }
    }

    /// Adds a probe of how late tasks run. Returns whether peers take the excess.
    pub(crate) fn probe(&self, late_ms: u64) -> bool {
        let now = self.0.clock.now();
        let mut decision = self.lock();
        decision.probe(now, late_ms);
        decision.is_relieved(now)
    }

    /// Makes each request of a caller count as excess from now on, or no longer.
    pub(crate) fn force(&self, is_forced: bool) {
        self.lock().force(is_forced);
    }

    /// Replaces the peers.
    pub(crate) fn set_peers(&self, peers: &[Peer]) {
        self.lock().set_peers(self.0.clock.now(), peers);
    }

    /// How much of this router is in use.
    pub(crate) fn occupancy(&self, is_open: bool, config_version: Version) -> Occupancy {
        let mut decision = self.lock();
        let in_progress = self.in_progress(&decision);
        decision.occupancy(self.0.clock.now(), in_progress, is_open, config_version)
    }

    /// Logs what was handed over since the last call, with one line for each peer.
    pub(crate) fn log_summaries(&self) {
        let mut decision = self.lock();
        let at_peers = decision.at_peers();
        let summaries = decision.take_summaries();
        drop(decision);
        self.0.metrics.at_peers.set(gauge_value(at_peers));
        for summary in summaries {
            tracing::info!(
                event = Line::RequestsHandedOver.as_str(),
                peer = summary.peer.as_str(),
                sent = summary.sent,
                refused = summary.refused,
                declined = summary.declined,
                failed = summary.failed,
                held = summary.in_progress,
            );
        }
    }

    /// Requests in progress here.
    fn in_progress(&self, decision: &handover::Handover) -> usize {
        let open = usize::try_from(self.0.metrics.open_requests.get()).unwrap_or(0);
        open.saturating_sub(decision.at_peers())
    }

    fn lock(&self) -> MutexGuard<'_, handover::Handover> {
        self.0
            .decision
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decision about a request.
pub(crate) enum Decided {
    /// Serve it here.
    Serve,
    /// Pass it on to a peer.
    HandOver(Ticket),
    /// Refuse it.
    Refuse,
}

/// A request in progress at a peer.
pub(crate) struct Ticket {
    handover: Handover,
    vm: Name,
    address: SocketAddr,
    /// Whether the request waits for the head of its answer.
    is_waiting: bool,
}

impl Ticket {
    /// Name of the peer.
    pub(crate) fn vm(&self) -> &Name {
        &self.vm
    }

    /// Address of the peer for callers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that the peer has answered; `has_room` is false if it refused for lack of room.
    pub(crate) fn answer(&mut self, has_room: bool) {
        self.is_waiting = false;
        if has_room {
            self.handover.0.metrics.answered_by_peers.inc();
        }
        let now = self.handover.0.clock.now();
        self.handover.lock().answer(now, &self.vm, has_room);
    }

    /// Records that the peer has declined the request because its configuration is older.
    pub(crate) fn decline(&mut self) {
        self.is_waiting = false;
        self.handover.0.metrics.declined_handovers.inc();
        let now = self.handover.0.clock.now();
        self.handover.lock().decline(now, &self.vm);
    }

    /// Records that the request has failed before its answer began.
    pub(crate) fn fail(&mut self) {
        self.is_waiting = false;
        self.handover.0.metrics.failed_handovers.inc();
        let now = self.handover.0.clock.now();
        self.handover.lock().fail(now, &self.vm);
    }

    /// Whether the peer has shown no sign of life for long.
    pub(crate) fn is_peer_silent(&self) -> bool {
        let now = self.handover.0.clock.now();
        self.handover.lock().is_silent(now, &self.vm)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut decision = self.handover.lock();
        if self.is_waiting {
            decision.abandon(&self.vm);
        }
        decision.end(&self.vm);
    }
}
