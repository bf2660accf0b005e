//! Overload detection of a router, by how late its tasks run.
//!
//! Load balancers send callers to a router by a hash of their address, so one large customer
//! can send all its requests to one router while the others are nearly idle. The router
//! reacts in two ways: while its tasks run late it refuses new requests at once, and when
//! they have run late for longer it reports itself as not ready, so that load balancers send
//! new connections to other routers.

use state::clock::Millis;

/// Task lateness at or above which requests are refused, in milliseconds. It leaves enough of
/// the shortest time to first byte that callers accept, 150 ms, for the rest of the way.
/// A mean lateness at or above it makes the router unready.
pub const OVERLOAD_LATENESS_MS: u64 = 40;
/// Mean lateness below which an unready router becomes ready again, in milliseconds. Half of
/// [`OVERLOAD_LATENESS_MS`], so that the router does not flap with each burst.
pub(crate) const CALM_LATENESS_MS: u64 = 20;
/// Mean lateness at or above which a router becomes unready although other routers take its
/// excess, in milliseconds: requests are then refused most of the time, and what arrives is more
/// than the router can even hand over.
const RELIEVED_LATENESS_MS: u64 = 2 * OVERLOAD_LATENESS_MS;
/// Time over which the lateness is averaged, in milliseconds. Shorter bursts only cause
/// refusals.
const AVERAGING_MS: u64 = 400;
/// Weight of one probe in the average, in milliseconds: the time between two probes of a
/// router that is not late. Weighting a probe by the time since the last one instead would
/// include its own lateness, and a single pause of 120 ms would make the router unready for
/// seconds.
const PROBE_WEIGHT_MS: u64 = 20;
/// Largest lateness that one probe contributes to the average, in milliseconds. After a pause
/// of seconds, as when a VM was suspended, the average would otherwise take seconds to fall.
const SAMPLE_MAX_MS: u64 = 200;
/// Least lateness that one probe contributes to the average while the router has no room for
/// another connection, in milliseconds: the router then closes each new connection at once.
const NO_ROOM_LATENESS_MS: u64 = 2 * OVERLOAD_LATENESS_MS;
/// Least time for which a router stays unready, in milliseconds. Load balancers probe once a
/// second and need two failed probes.
const UNREADY_MIN_MS: u64 = 2300;
/// Time after which load balancers bypass an unready router, in milliseconds: two failed
/// probes, a second apart.
pub(crate) const BYPASSED_AFTER_MS: u64 = 2000;
/// Longest time for which a router that is still late stays unready, in milliseconds. Where
/// all routers are overloaded, staying unready helps none of them.
const UNREADY_LATE_MAX_MS: u64 = 5000;
/// Least time for which a router that was still late when it became ready stays ready, in
/// milliseconds, for the same reason.
const READY_MIN_MS: u64 = 2000;
/// Time after becoming ready within which a new overload counts as a relapse, in
/// milliseconds: load that returns at once belongs to the same flood.
const RELAPSE_MS: u64 = 10_000;
/// Longest time for which a calm router stays unready after relapses, in milliseconds. Only
/// by becoming ready can it find out that a flood has ended.
const UNREADY_CALM_MAX_MS: u64 = 20_000;

/// Least number of requests in progress at a hot spot: an eighth of a core serves about four
/// times as many, and a few bursts bring fewer.
const HOT_MIN: usize = 64;
/// Least ratio of the requests in progress at a hot spot to the average of the other routers.
const HOT_FACTOR: usize = 4;

/// Detects whether a router has far more requests in progress than the others.
///
/// The callers of a large customer come to one router by a hash of their address. If that
/// router became unready only when late, callers would be refused for seconds at one router
/// after the other, since each takes all of them again as soon as it is calm. A hot spot
/// sends new callers to other routers before it is late, and keeps serving the connections
/// that it has.
#[derive(Clone, Copy, Debug, Default)]
pub struct HotSpot {
    is_hot: bool,
}

impl HotSpot {
    /// Compares the requests in progress here with the average of the other routers.
    pub fn update(&mut self, here: usize, average: usize) {
        let bound = HOT_MIN.max(average * HOT_FACTOR);
        // Half the bound while hot, so that the state does not flap with each request.
        let bound = if self.is_hot { bound / 2 } else { bound };
        self.is_hot = here >= bound;
    }

    /// Whether this router is a hot spot.
    pub fn is_hot(self) -> bool {
        self.is_hot
    }
}

/// Decides whether a router reports itself as not ready because it is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    /// Mean lateness in microseconds.
    mean_us: u64,
    /// When the router last became ready or unready.
    changed_at: Millis,
    is_unready: bool,
    /// Time for which the router stays unready although it is calm, in milliseconds.
    hold_ms: u64,
    /// Whether the router was calm when it last became ready.
    was_calm: bool,
    /// Whether the router is a hot spot.
    is_hot: bool,
    /// Whether other routers take the excess of this one.
    is_relieved: bool,
    /// Whether more arrives than the router can serve.
    is_exceeded: bool,
    /// Whether connections are closed unread for longer than a burst lasts.
    is_turning_away: bool,
}

impl Overload {
    /// Sets whether more arrives than the router can serve. It then becomes unready before its
    /// tasks run late.
    pub fn set_exceeded(&mut self, is_exceeded: bool) {
        self.is_exceeded = is_exceeded;
    }

    /// Sets whether connections are closed unread for longer than a burst lasts. The router then
    /// becomes unready even if other routers take a part of its excess.
    pub fn set_turning_away(&mut self, is_turning_away: bool) {
        self.is_turning_away = is_turning_away;
    }

    /// Sets whether this router is a hot spot.
    pub fn set_hot(&mut self, is_hot: bool) {
        self.is_hot = is_hot;
    }

    /// Sets whether other routers take the excess of this one.
    ///
    /// Unreadiness only moves a flood to the next router, which has to find out anew what it can
    /// serve. While the excess is handed over, the number of requests therefore does not make
    /// this router unready, and lateness does only above 80 ms. Callers that are turned away in
    /// spite of it are served by no router, and by the next one only if this one is unready.
    pub fn set_relieved(&mut self, is_relieved: bool) {
        self.is_relieved = is_relieved;
    }

    /// Adds a probe of the lateness, and whether there is no room for another connection.
    /// Returns whether new connections should go to other routers.
    pub fn probe(&mut self, now: Millis, late_ms: u64, is_full: bool) -> bool {
        let full_ms = if is_full { NO_ROOM_LATENESS_MS } else { 0 };
        let sample_us = late_ms.clamp(full_ms, SAMPLE_MAX_MS.max(full_ms)) * 1000;
        let rest = AVERAGING_MS - PROBE_WEIGHT_MS;
        self.mean_us = (self.mean_us * rest + sample_us * PROBE_WEIGHT_MS) / AVERAGING_MS;
        let mean_ms = self.mean_us / 1000;
        let bound_ms = match self.is_relieved && !is_full {
            true => RELIEVED_LATENESS_MS,
            false => OVERLOAD_LATENESS_MS,
        };
        let has_excess = (self.is_hot || self.is_exceeded) && !self.is_relieved;
        if self.is_unready {
            self.consider_ready(now, mean_ms);
        } else if mean_ms >= bound_ms || has_excess || self.is_turning_away {
            self.consider_unready(now);
        }
        self.is_unready
    }

    /// Whether new connections should go to other routers.
    pub fn is_unready(&self) -> bool {
        self.is_unready
    }

    fn consider_ready(&mut self, now: Millis, mean_ms: u64) {
        if self.is_hot {
            // Requests on the existing connections are as much as the router can serve.
            return;
        }
        let since = now.since(self.changed_at);
        let is_calm = mean_ms < CALM_LATENESS_MS && !self.is_exceeded && !self.is_turning_away;
        let until = if is_calm {
            self.hold_ms
        } else {
            UNREADY_LATE_MAX_MS
        };
        if since >= until {
            self.is_unready = false;
            self.changed_at = now;
            self.was_calm = is_calm;
        }
    }

    /// Makes the router unready, for twice as long with each relapse.
    ///
    /// All callers of a large customer may come to one router. While they go elsewhere that
    /// router is calm; with a fixed time it would take all of them again every five seconds
    /// and refuse most of their requests until it is unready again.
    fn consider_unready(&mut self, now: Millis) {
        let since = now.since(self.changed_at);
        let is_first = self.changed_at == Millis(0);
        let is_sure = self.was_calm || self.is_hot;
        if !is_first && !is_sure && since < READY_MIN_MS {
            return;
        }
        let has_relapsed = self.was_calm && since < RELAPSE_MS;
        self.hold_ms = match has_relapsed {
            true => (self.hold_ms * 2).min(UNREADY_CALM_MAX_MS),
            false => UNREADY_MIN_MS,
        };
        self.is_unready = true;
        self.changed_at = now;
    }

    /// Time since the router became unready, in milliseconds; `None` if it is ready.
    pub fn unready_ms(&self, now: Millis) -> Option<u64> {
        self.is_unready.then(|| now.since(self.changed_at))
    }

    /// Whether new connections reach other routers by now.
    ///
    /// Callers keep their connections, so a customer would stay with the router that it has
    /// overloaded although all others have room. Closing the connections with an answer
    /// moves callers to other routers, but not before load balancers have noticed: sooner,
    /// they would come back to the same router.
    pub fn is_bypassed(&self, now: Millis) -> bool {
        self.is_unready && now.since(self.changed_at) >= BYPASSED_AFTER_MS
    }
}
