//! Whether a router is overloaded, decided by how late its tasks run.
//!
//! Callers come to a router by a hash of their address, so that one large customer can
//! send all its requests to one router while the others have ten times the room. Two
//! answers to that: a request that comes while tasks run late is refused at once, and a
//! router where they run late for longer says that it is not ready, so that new
//! connections go to others.

use state::clock::Millis;

/// Lateness from which on requests are refused, in milliseconds: a third of the shortest
/// time to an answer that callers count as good, 150 ms, leaves room for the rest.
pub const OVERLOAD_LATENESS_MS: u64 = 40;
/// Mean lateness below which a router that turned callers away takes them again, in
/// milliseconds: half, so that it does not change its mind with each burst.
pub(crate) const CALM_LATENESS_MS: u64 = 20;
/// Time over which the mean is taken, in milliseconds: a burst that is over within it is
/// met by refusals alone.
const MEMORY_MS: u64 = 400;
/// Weight of one probe in the mean, in milliseconds: the time between two probes of a
/// router that is not late. The lateness of the one probe is in the time since the last
/// one; weighed by it, a single pause of 120 ms turned callers away for seconds.
const PROBE_MS: u64 = 20;
/// Most that one probe counts for, in milliseconds: after a pause of seconds, as when a VM
/// was suspended, the mean would take seconds to fall.
const SAMPLE_MAX_MS: u64 = 200;
/// Lateness for which a router counts without room for another connection, in
/// milliseconds: whoever comes is closed at once.
const FULL_MS: u64 = 2 * OVERLOAD_LATENESS_MS;
/// Least time for which new connections are turned away, in milliseconds. Whoever sends
/// them asks once a second and takes two misses.
const AWAY_MIN_MS: u64 = 2300;
/// Time for which new connections have to be turned away before whoever sends them has
/// noticed, in milliseconds: two misses, a second apart.
const NOTICED_MS: u64 = 2000;
/// Longest time for it, in milliseconds, and least time between two of them. Where all
/// routers are overloaded, none is helped by turning callers away for good.
const BACKOFF_MAX_MS: u64 = 5000;
/// See [`BACKOFF_MAX_MS`].
const BACK_MIN_MS: u64 = 2000;
/// Time after its return within which a router that was calm by then has relapsed if it is
/// overloaded again, in milliseconds: what came back at once is the same flood.
const RELAPSE_MS: u64 = 10_000;
/// Longest time for which a calm router stays away, in milliseconds. It has to try at
/// times: a flood ends without a word.
const HOLD_MAX_MS: u64 = 20_000;

/// Requests in progress from which on a router may be a hot spot: an eighth of a core serves
/// about four times as many, and a few bursts bring fewer.
const HOT_MIN: usize = 64;
/// Times as many in progress as other routers have on average, from which on it is one.
const HOT_FACTOR: usize = 4;

/// Whether a router has far more in progress than the others.
///
/// A large customer's callers come to one router by a hash of their address. Turned away
/// only once that was late, they were refused for seconds at one router after the other,
/// while each took all of them again as soon as it was calm. A hot spot sends new callers
/// on before it is late, and keeps what it serves.
#[derive(Clone, Copy, Debug, Default)]
pub struct HotSpot {
    is_hot: bool,
}

impl HotSpot {
    /// Compares what is in progress here with what other routers have on average.
    pub fn update(&mut self, here: usize, usual: usize) {
        let bound = HOT_MIN.max(usual * HOT_FACTOR);
        // Half, so that it does not change its mind with each request.
        let bound = if self.is_hot { bound / 2 } else { bound };
        self.is_hot = here >= bound;
    }

    /// Whether this router is one.
    pub fn is_hot(self) -> bool {
        self.is_hot
    }
}

/// What it knows of the lateness so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    /// Mean lateness in microseconds.
    mean_us: u64,
    /// Since when new connections are turned away, or taken again.
    changed: Millis,
    is_away: bool,
    /// Time for which it stays away though it is calm, in milliseconds.
    hold_ms: u64,
    /// Whether it was calm when it took connections again.
    was_relieved: bool,
    /// Whether it has far more to do than other routers.
    is_hot: bool,
}

impl Overload {
    /// Notes whether this router has far more to do than the others.
    pub fn set_hot(&mut self, is_hot: bool) {
        self.is_hot = is_hot;
    }

    /// Takes a probe of the lateness, and whether there is no room for another
    /// connection; gives whether new connections are to go elsewhere.
    pub fn probe(&mut self, now: Millis, late_ms: u64, is_full: bool) -> bool {
        let full_ms = if is_full { FULL_MS } else { 0 };
        let sample_us = late_ms.clamp(full_ms, SAMPLE_MAX_MS.max(full_ms)) * 1000;
        let rest = MEMORY_MS - PROBE_MS;
        self.mean_us = (self.mean_us * rest + sample_us * PROBE_MS) / MEMORY_MS;
        let mean_ms = self.mean_us / 1000;
        if self.is_away {
            self.consider_return(now, mean_ms);
        } else if mean_ms >= OVERLOAD_LATENESS_MS || self.is_hot {
            self.consider_leave(now);
        }
        self.is_away
    }

    /// Whether new connections are to go elsewhere.
    pub fn is_unready(&self) -> bool {
        self.is_away
    }

    fn consider_return(&mut self, now: Millis, mean_ms: u64) {
        if self.is_hot {
            // What callers ask for on the connections that they have is as much as it can do.
            return;
        }
        let since = now.since(self.changed);
        let is_calm = mean_ms < CALM_LATENESS_MS;
        let until = if is_calm {
            self.hold_ms
        } else {
            BACKOFF_MAX_MS
        };
        if since >= until {
            self.is_away = false;
            self.changed = now;
            self.was_relieved = is_calm;
        }
    }

    /// Turns callers away, for twice as long each time that they overload it at once after
    /// they were away.
    ///
    /// A large customer's callers are sent to one router by their address. Calm for as long
    /// as they went elsewhere, it took them all again each five seconds, and refused most of
    /// what came meanwhile.
    fn consider_leave(&mut self, now: Millis) {
        let since = now.since(self.changed);
        let is_first = self.changed == Millis(0);
        let is_sure = self.was_relieved || self.is_hot;
        if !is_first && !is_sure && since < BACK_MIN_MS {
            return;
        }
        let has_relapsed = self.was_relieved && since < RELAPSE_MS;
        self.hold_ms = match has_relapsed {
            true => (self.hold_ms * 2).min(HOLD_MAX_MS),
            false => AWAY_MIN_MS,
        };
        self.is_away = true;
        self.changed = now;
    }

    /// Whether a caller that connects anew comes to another router by now.
    ///
    /// Callers keep their connections: those of one large customer went on coming to the
    /// router that it had overloaded, while all others had room. Closed with an answer
    /// sooner, they would come back to the same one.
    pub fn is_bypassed(&self, now: Millis) -> bool {
        self.is_away && now.since(self.changed) >= NOTICED_MS
    }
}
