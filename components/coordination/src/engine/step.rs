//! Model of an engine's steps, which predicts the pauses between the events of its streams.
//!
//! Load that it handles: in a step, an engine generates one token for each of its streams, and
//! prefills a chunk of a prompt if there is any. An event takes several steps. On the engines
//! measured, a step takes 4.5 ms alone and 17 ms and more with a chunk, and all of them 2.5 times
//! as long for half a second at a time while another tenant of the host is busy. Streams pause for too
//! long where prefill and such a phase meet.
//!
//! The model knows the streams with a bound, learns the usual pause without prefill and with
//! continuous prefill, and compares recent pauses with them to find out how slow the engine is at
//! present. It does not depend on where its [`Figure`]s come from: routers measure the pauses of
//! the events that they pass on, and an engine's own report of its step times would do as well.

use super::backlog::Expected;
use crate::messages::{Pause, Speed};
use crate::prelude::*;

/// Usual time of a step without and with prefill before any is measured, in microseconds: those
/// of the engines measured are 4 to 6 ms and 17 to 25 ms.
const STEP_INITIAL_US: i64 = 6_000;
const PREFILL_STEP_INITIAL_US: i64 = 20_000;
/// Bounds of the usual pauses, in microseconds: the shortest time between two events that a router
/// can measure, and the pause at which most callers give up.
const PAUSE_MIN_US: i64 = 1_000;
const PAUSE_MAX_US: i64 = 2_000_000;
/// Divisor of the error of one figure when it corrects the usual pauses: with about ten figures a
/// second they follow a change of the load within a second.
const CORRECTION_DIVISOR: i64 = 8;
/// The same for a figure of a slow phase. An engine that stays slow becomes the usual case within
/// some ten seconds, while a phase of half a second changes little.
const SLOW_CORRECTION_DIVISOR: i64 = 128;
/// Window over which the share of time with prefill is computed, in milliseconds: about a slow
/// phase, and long enough to contain several prompts.
const SHARE_WINDOW_MS: u64 = 500;
/// Fewest pauses from which a figure is formed. One pause alone may contain a whole prompt.
const FIGURE_PAUSES: u32 = 3;
/// Longest time for which pauses are collected for a figure, in milliseconds: later ones describe
/// another phase of the engine.
const FIGURE_MS: u64 = 200;
/// Pause relative to the usual one, in percent, from which an engine counts as slow, and up to
/// which it counts as usual again. Pauses vary by a quarter with the size of the batch.
const SLOW_PERCENT: u64 = 150;
const USUAL_PERCENT: u64 = 125;
/// Pause relative to the usual one with continuous prefill, in percent, of which a single one is
/// evidence: no prefill explains it.
const EVIDENT_PERCENT: u64 = 150;
/// Largest slowness that is believed, in percent: longer pauses come from a stream that was set
/// aside, not from the speed of the engine.
const SLOWNESS_MAX_PERCENT: u64 = 600;
/// Addition to the share of prefill, in thousandths, when a pause is compared with the usual one:
/// the share is an average over [`FIGURE_MS`], in which a single prompt is concentrated.
const SHARE_MARGIN_PERMILLE: u64 = 300;
/// Time for which an engine counts as slow after the last figure that said so, in milliseconds: a
/// slow phase lasts about half a second, and an engine that is avoided may have no streams left
/// that show its end.
const SLOW_MS: u64 = 500;
/// First event relative to the expected one, in percent and milliseconds, that shows a slow phase.
const FIRST_EVENT_PERCENT: u64 = 200;
const FIRST_EVENT_LATE_MS: u64 = 100;
/// Time for which such a first event counts, in milliseconds: most of the phase may be over.
const FIRST_EVENT_SLOW_MS: u64 = 250;
/// Time after a slow phase in which measured pauses may still contain a part of it, in
/// milliseconds: a long pause, and the time to report it.
const PEAK_QUIET_MS: u64 = 400;
/// Divisors of the error of the longest pause of a figure when it corrects the usual longest one,
/// for a longer and for a shorter one: few of the figures contain continuous prefill.
const PEAK_RISE_DIVISOR: i64 = 4;
const PEAK_FALL_DIVISOR: i64 = 64;
/// Speed that an engine has stated relative to its usual one, in percent, from which it counts as
/// slow: figures are noisy by a few percent, and slow phases of 1.3 times and more break bounds.
const STATED_SLOW_PERCENT: u64 = 130;
/// Time for which a stated speed alone decides whether the engine is slow, in milliseconds: the
/// pauses that are measured meanwhile began before it.
const STATED_MS: u64 = 200;
/// Divisors of the error of a stated speed when it corrects the usual one of the engine, for a
/// faster and for a slower one: slow phases must not become the usual case.
const STATED_FASTER_DIVISOR: i64 = 2;
const STATED_SLOWER_DIVISOR: i64 = 64;
/// Shortest time between two stated speeds that count for the usual one and for the share of time
/// in slow phases, in milliseconds: about that between two figures of measured pauses, so that an
/// engine with many streams does not take a slow phase for the usual case.
const STATED_COUNT_MS: u64 = 100;
/// Bounds of the speeds that are believed, in percent.
const STATED_MIN_PERCENT: u16 = 10;
const STATED_MAX_PERCENT: u16 = 2_000;
/// Longest pause relative to the mean that is predicted, in percent.
const LONGEST_PERCENT: u64 = 125;
/// Slowness that is expected of an engine in the future, in percent: that of the phases measured.
const RISK_PERCENT: u64 = 250;
/// Share of time in slow phases that is assumed of an engine at least, and at most believed, in
/// thousandths. With 50, an engine is slow for half a second in ten.
const SLOW_SHARE_MIN_PERMILLE: u64 = 50;
const SLOW_SHARE_MAX_PERMILLE: u64 = 400;
/// Divisor of the weight of the latest figure in the share of time in slow phases. With about ten
/// figures a second the share covers some 25 s, which contain several phases.
const SLOW_SHARE_DIVISOR: u64 = 256;
/// Most prefills of an engine that are remembered, and the time for which they count, in
/// microseconds: an event takes about as long with prefill.
const PREFILLS_MAX: usize = 4;
const RECENT_US: u64 = 100_000;
/// Uninterrupted prefill beyond the safe length with which a slow phase certainly makes streams
/// late, in microseconds: some steps.
const EXPOSED_MAX_US: u64 = 100_000;
/// Margin for the size of the batch on the longest pause in a slow phase, in percent, with which
/// prefill counts as safe: each stream of the batch makes a step longer. Without it, 449 in place of
/// 285 copies were made for 17,880 streams on engines of one speed.
const EXPOSED_PERCENT: u64 = 130;
/// Weight of the risk that a request's own stream pauses for too long. In trials with seeds 3 to 10
/// and engines of several speeds, 5,786 of 47,054 streams were late by a pause with 4, and 6,339
/// with 1.
const OWN_RISK_WEIGHT: u64 = 4;
/// Cost of a stream of another request that pauses for too long, in microseconds: about a usual
/// latency target, since the response counts for less in the same way as one that begins late.
const LATE_STREAM_US: u64 = 1_000_000;

/// A description of the recent pauses of an engine's streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figure {
    /// Mean pause, in microseconds.
    pub mean_us: u64,
    /// Longest pause, in microseconds.
    pub longest_us: u64,
    /// Whether the mean covers enough pauses to describe the engine.
    pub is_representative: bool,
}

/// Prefill that is taken into account in a prediction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Planned {
    /// Time to prefill what the engine has accepted, at its usual speed, in microseconds.
    pub backlog_us: u64,
    /// Time to prefill the request that is added, in microseconds.
    pub added_us: u64,
}

/// What is expected of an engine's streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prediction {
    /// Longest pause of the streams, in microseconds.
    pub longest_us: u64,
    /// Streams whose bound is shorter.
    pub broken: u32,
    /// When the prefill that causes the pauses ends.
    pub until: Millis,
}

/// A request whose placement is considered, as far as pauses are concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Bound of its stream, in milliseconds; 0 for none.
    pub max_gap_ms: u32,
    /// Tokens that it generates.
    pub output_tokens: u64,
    /// Cost if its stream is late, in microseconds.
    pub late_us: u64,
    /// Time until its first event, in microseconds.
    pub answer_us: u64,
}

/// A slow phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Slow {
    /// Pauses relative to the usual ones, in percent.
    percent: u64,
    /// Until when the phase is assumed to last.
    until: Millis,
}

/// The latest speed that an engine has stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stated {
    /// Time that work usually takes, in hundredths of a percent.
    usual: i64,
    /// When the latest figure was stated.
    at: Millis,
    /// When a figure last counted for the usual time and for the share of slow phases.
    counted: Millis,
}

/// Time of prefill that was granted, by window.
#[derive(Clone, Copy, Debug, Default)]
struct Granted {
    /// Number of the current window.
    window: u64,
    current_us: u64,
    previous_us: u64,
}

impl Granted {
    fn add(&mut self, now: Millis, prefill_us: u64) {
        let window = now.0 / SHARE_WINDOW_MS;
        if window != self.window {
            let is_next = window == self.window + 1;
            self.previous_us = if is_next { self.current_us } else { 0 };
            self.current_us = 0;
            self.window = window;
        }
        self.current_us += prefill_us;
    }

    /// Share of the time with prefill, in thousandths.
    fn share_permille(&self, now: Millis) -> u64 {
        let passed_ms = now.0 % SHARE_WINDOW_MS;
        let (current_us, previous_us) = match (now.0 / SHARE_WINDOW_MS).checked_sub(self.window) {
            Some(0) => (self.current_us, self.previous_us),
            Some(1) => (0, self.current_us),
            _ => (0, 0),
        };
        let us = current_us + previous_us * (SHARE_WINDOW_MS - passed_ms) / SHARE_WINDOW_MS;
        (us / SHARE_WINDOW_MS).min(1000)
    }
}

/// Model of the steps of one engine.
#[derive(Clone, Debug)]
pub struct Steps {
    /// Tokens of an event.
    event_tokens: u32,
    /// Usual pause without prefill, in microseconds.
    calm_us: i64,
    /// Usual increase of a pause by continuous prefill, in microseconds.
    prefill_us: i64,
    /// Usual longest pause, that with continuous prefill, in microseconds.
    peak_us: i64,
    /// Until when pauses may contain a part of a slow phase.
    disturbed_until: Millis,
    /// Bounds of the streams in progress in milliseconds, with the number of streams.
    bounds: SmallVec<[(u32, u32); 4]>,
    granted: Granted,
    /// Start and end of the latest prefills, the oldest first, in microseconds.
    prefills: SmallVec<[(u64, u64); PREFILLS_MAX]>,
    /// Pauses reported since the last figure, and when the first of them was.
    reported: Option<(Pause, Millis)>,
    slow: Option<Slow>,
    /// Speed by the engine's own statements; `None` for an engine that makes none.
    stated: Option<Stated>,
    /// Share of time in slow phases, in 256,000ths.
    slow_share: u64,
}

impl Steps {
    /// The model of an engine of which nothing has been measured.
    pub fn new(event_tokens: u32) -> Self {
        let tokens = i64::from(event_tokens.max(1));
        Steps {
            event_tokens,
            calm_us: (tokens * STEP_INITIAL_US).min(PAUSE_MAX_US),
            prefill_us: (tokens * (PREFILL_STEP_INITIAL_US - STEP_INITIAL_US)).min(PAUSE_MAX_US),
            peak_us: (tokens * PREFILL_STEP_INITIAL_US).min(PAUSE_MAX_US),
            disturbed_until: Millis(0),
            bounds: SmallVec::new(),
            granted: Granted::default(),
            prefills: SmallVec::new(),
            reported: None,
            slow: None,
            stated: None,
            slow_share: 0,
        }
    }

    /// Sets the tokens of an event. The figures that depend on them are learned anew.
    pub fn set_event_tokens(&mut self, event_tokens: u32) {
        if event_tokens != self.event_tokens {
            self.event_tokens = event_tokens;
            self.restart();
        }
    }

    /// Forgets the figures of an engine that has restarted. Its streams end by themselves.
    pub fn restart(&mut self) {
        let bounds = std::mem::take(&mut self.bounds);
        *self = Steps {
            bounds,
            ..Steps::new(self.event_tokens)
        };
    }

    /// Adds a stream with a bound.
    pub fn add_stream(&mut self, max_gap_ms: u32) {
        match self.bounds.iter_mut().find(|(ms, _)| *ms == max_gap_ms) {
            Some((_, count)) => *count += 1,
            None => self.bounds.push((max_gap_ms, 1)),
        }
    }

    /// Removes a stream with a bound.
    pub fn remove_stream(&mut self, max_gap_ms: u32) {
        if let Some((_, count)) = self.bounds.iter_mut().find(|(ms, _)| *ms == max_gap_ms) {
            *count = count.saturating_sub(1);
        }
        self.bounds.retain(|(_, count)| *count > 0);
    }

    /// Records that a request was granted whose prefill begins and ends at these times, in
    /// microseconds.
    pub fn record_prefill(&mut self, now: Millis, starts_us: u64, ends_us: u64) {
        self.granted.add(now, ends_us.saturating_sub(starts_us));
        if self.prefills.len() == PREFILLS_MAX {
            self.prefills.remove(0);
        }
        self.prefills.push((starts_us, ends_us));
    }

    /// Time with prefill in the last `window_us` microseconds.
    fn recent_us(&self, now: Millis, window_us: u64) -> u64 {
        let now_us = now.0 * 1000;
        let from_us = now_us.saturating_sub(window_us);
        let prefills = self.prefills.iter();
        let within = prefills.map(|(starts_us, ends_us)| {
            (*ends_us)
                .min(now_us)
                .saturating_sub((*starts_us).max(from_us))
        });
        within.sum()
    }

    /// Records pauses that a router has measured.
    pub fn record_pauses(&mut self, now: Millis, pause: &Pause) {
        if pause.count == 0 {
            return;
        }
        let (sum, since) = match self.reported.take() {
            Some((sum, since)) if now.since(since) <= FIGURE_MS => (sum, since),
            _ => (
                Pause {
                    count: 0,
                    total_ms: 0,
                    longest_ms: 0,
                    ..*pause
                },
                now,
            ),
        };
        let sum = Pause {
            endpoint: pause.endpoint,
            count: sum.count.saturating_add(pause.count),
            total_ms: sum.total_ms.saturating_add(pause.total_ms),
            longest_ms: sum.longest_ms.max(pause.longest_ms),
        };
        let is_representative = sum.count >= FIGURE_PAUSES;
        if !is_representative {
            self.reported = Some((sum, since));
        }
        self.record(
            now,
            &Figure {
                mean_us: u64::from(sum.total_ms) * 1000 / u64::from(sum.count),
                longest_us: u64::from(sum.longest_ms) * 1000,
                is_representative,
            },
        );
    }

    /// Takes a figure from any source.
    pub fn record(&mut self, now: Millis, figure: &Figure) {
        let share = (self.recent_us(now, FIGURE_MS * 1000) / FIGURE_MS).min(1000);
        let upper_us = self.usual_us((share + SHARE_MARGIN_PERMILLE).min(1000));
        let continuous_us = self.continuous_us();
        let percent = figure.mean_us * 100 / upper_us;
        let evident = figure.longest_us * 100 / continuous_us;
        let is_evident = evident >= EVIDENT_PERCENT;
        if !figure.is_representative && !is_evident {
            return;
        }
        let is_slow = percent >= SLOW_PERCENT || is_evident;
        if self.is_stated(now) {
            // The statement is more recent than these pauses.
        } else if is_slow {
            let percent = percent.max(if is_evident { evident } else { 0 });
            self.slow = Some(Slow {
                percent: percent.clamp(RISK_PERCENT, SLOWNESS_MAX_PERCENT),
                until: now.after(SLOW_MS),
            });
        } else if figure.mean_us * 100 <= self.usual_us(share) * USUAL_PERCENT {
            self.slow = None;
        }
        if figure.is_representative {
            self.correct_peak(now, figure.longest_us);
            self.record_slow_share(is_slow);
            self.correct(figure.mean_us, share, is_slow);
        }
    }

    /// Takes the speed that the engine has stated.
    ///
    /// It is compared with the usual one of this engine: the usual pauses contain the speed of a
    /// machine that is always slow.
    pub fn record_speed(&mut self, now: Millis, speed: &Speed) {
        let at = Millis(now.0.saturating_sub(u64::from(speed.age_ms)));
        if self.stated.is_some_and(|stated| stated.at > at) {
            return;
        }
        let percent = speed.percent.clamp(STATED_MIN_PERCENT, STATED_MAX_PERCENT);
        let figure = i64::from(percent) * 100;
        let stated = self.stated.unwrap_or(Stated {
            usual: figure,
            at,
            counted: Millis(0),
        });
        let counts = now.since(stated.counted) >= STATED_COUNT_MS;
        let error = figure - stated.usual;
        let usual = match error {
            ..0 => stated.usual + error / STATED_FASTER_DIVISOR,
            _ if counts => stated.usual + error / STATED_SLOWER_DIVISOR,
            _ => stated.usual,
        };
        let counted = if counts { now } else { stated.counted };
        self.stated = Some(Stated { usual, at, counted });
        // CAST: both are positive.
        let percent = (figure * 100 / usual) as u64;
        if counts {
            self.record_slow_share(percent >= STATED_SLOW_PERCENT);
        }
        self.slow = (percent >= STATED_SLOW_PERCENT).then(|| Slow {
            percent: percent.min(SLOWNESS_MAX_PERCENT),
            until: at.after(SLOW_MS),
        });
    }

    fn record_slow_share(&mut self, is_slow: bool) {
        self.slow_share += if is_slow { 1000 } else { 0 };
        self.slow_share -= self.slow_share / SLOW_SHARE_DIVISOR;
    }

    /// Whether a speed that the engine has stated is recent enough to decide alone.
    pub fn is_stated(&self, now: Millis) -> bool {
        self.stated
            .is_some_and(|stated| now.since(stated.at) <= STATED_MS)
    }

    /// Records a first event that came `took_us` after its grant.
    pub(super) fn record_first_event(&mut self, now: Millis, took_us: u64, expected: &Expected) {
        let expected_us = expected.first_us.max(1);
        let percent = took_us.saturating_mul(100) / expected_us;
        let late_ms = took_us.saturating_sub(expected_us) / 1000;
        if percent >= FIRST_EVENT_PERCENT
            && late_ms >= FIRST_EVENT_LATE_MS
            && self.slow.is_none()
            && !self.is_stated(now)
        {
            self.slow = Some(Slow {
                percent: percent.min(RISK_PERCENT),
                until: now.after(FIRST_EVENT_SLOW_MS),
            });
        }
    }

    /// Whether the engine is slow at the moment.
    pub fn is_slow(&self, now: Millis) -> bool {
        self.slowness_percent(now) > 100
    }

    /// Time that a step takes at the moment relative to the usual one, in percent.
    pub fn slowness_percent(&self, now: Millis) -> u64 {
        let slow = self.slow.filter(|slow| slow.until > now);
        slow.map_or(100, |slow| slow.percent)
    }

    /// Predicts the longest pause of the streams of the engine.
    pub fn predict(&self, now: Millis, planned: Planned) -> Prediction {
        let percent = self.slowness_percent(now);
        let prefill_us = (planned.backlog_us + planned.added_us) * percent / 100;
        // A pause is longer by the prefill of its steps, and by the whole prefill at most.
        let longest_us = (self.continuous_us() * percent / 100)
            .min(self.usual_us(0) * percent / 100 + prefill_us);
        let longest_us = longest_us * LONGEST_PERCENT / 100;
        Prediction {
            longest_us,
            broken: self.streams_below(longest_us),
            until: now.after(prefill_us.div_ceil(1000)),
        }
    }

    /// Cost of the streams that would pause for too long only if a request were added, the
    /// request's own one included, and of the risk that slow phases to come do the same, in
    /// microseconds.
    pub(crate) fn assess(&self, now: Millis, planned: Planned, request: &Candidate) -> u64 {
        let share = self.granted.share_permille(now);
        let continuous_us = self.continuous_us();
        let slow_share = self.slow_share_permille();
        let accepted = Planned {
            added_us: 0,
            ..planned
        };
        let added =
            (self.predict(now, planned).broken).saturating_sub(self.predict(now, accepted).broken);
        let percent = self.slowness_percent(now);
        let risk_us = self.exposure_us(now, planned, slow_share, RISK_PERCENT);
        let mut others_us = u64::from(added) * LATE_STREAM_US + risk_us;
        if percent > 100 {
            // Prefill that has been accepted breaks fewer streams than the prediction says, so that
            // more of it must not look free.
            others_us = others_us.max(self.exposure_us(now, planned, 1000, percent));
        }
        let gap_us = u64::from(request.max_gap_ms) * 1000;
        if gap_us == 0 {
            return others_us;
        }
        // The own prefill is over when the first event arrives; that of later requests is not.
        let slow = self
            .slow
            .filter(|slow| slow.until > now.after(request.answer_us / 1000));
        let percent = slow.map_or(100, |slow| slow.percent);
        let pause_us = self.usual_us(share) * percent / 100 * LONGEST_PERCENT / 100;
        let own_us = if pause_us > gap_us {
            request.late_us
        } else if continuous_us * RISK_PERCENT / 100 > gap_us {
            let events = request.output_tokens / u64::from(self.event_tokens.max(1));
            let lasts_ms = events * self.usual_us(share) / 1000;
            let meets = slow_share * (SLOW_MS + lasts_ms) / SLOW_MS;
            // Of the pauses between the calm and the continuous one, only a part is too long: a
            // large one on a machine that is always slower.
            let slow_us = continuous_us * RISK_PERCENT / 100;
            let calm_us = (self.usual_us(0) * RISK_PERCENT / 100).min(slow_us - 1);
            let beyond = (slow_us - gap_us.max(calm_us)) * 1000 / (slow_us - calm_us);
            OWN_RISK_WEIGHT * request.late_us * share / 1000 * meets.min(1000) / 1000 * beyond
                / 1000
        } else {
            0
        };
        others_us + own_us
    }

    /// Cost of the risk that streams of the engine pause for too long by a request that is added,
    /// because its prefill meets a phase in which steps take `percent` of the usual time, with a
    /// probability in thousandths.
    ///
    /// Prefill without an interruption is safe up to the length with which the pause stays within
    /// the bound even in such a phase. That length depends on the bound of a stream.
    fn exposure_us(
        &self,
        now: Millis,
        planned: Planned,
        probability_permille: u64,
        percent: u64,
    ) -> u64 {
        let calm_us = self.usual_us(0);
        let continuous_us = self.continuous_us() * percent / 100;
        let accepted_us = self.recent_us(now, RECENT_US) + planned.backlog_us;
        let after_us = accepted_us + planned.added_us;
        let bounds = self.bounds.iter();
        let bounds = bounds.map(|(gap_ms, count)| (u64::from(*gap_ms) * 1000, u64::from(*count)));
        let costs = bounds.map(|(gap_us, count)| {
            if continuous_us * EXPOSED_PERCENT / 100 <= gap_us {
                return 0;
            }
            let safe_us = (gap_us * 100 / percent).saturating_sub(calm_us);
            let before_us = accepted_us.saturating_sub(safe_us);
            let exposed_us = after_us.saturating_sub(safe_us) - before_us;
            count * LATE_STREAM_US / 1000 * probability_permille * exposed_us.min(EXPOSED_MAX_US)
                / EXPOSED_MAX_US
        });
        costs.sum()
    }

    /// Usual pause with prefill in this share of the time, in microseconds.
    fn usual_us(&self, share_permille: u64) -> u64 {
        // CAST: both terms are within their positive bounds.
        (self.calm_us as u64) + (self.prefill_us as u64) * share_permille / 1000
    }

    /// Usual longest pause with continuous prefill, in microseconds: the mean contains pauses with
    /// less of it, so that it alone is too short on an engine with a large batch.
    fn continuous_us(&self) -> u64 {
        // CAST: the peak is within its positive bounds.
        self.usual_us(1000).max(self.peak_us as u64)
    }

    /// Learns the longest pause from one figure outside of slow phases.
    fn correct_peak(&mut self, now: Millis, longest_us: u64) {
        if self.is_slow(now) {
            self.disturbed_until = now.after(PEAK_QUIET_MS);
        }
        if now < self.disturbed_until {
            return;
        }
        // CAST: the longest pause is bounded above.
        let error = longest_us.min(PAUSE_MAX_US as u64) as i64 - self.peak_us;
        let divisor = if error > 0 {
            PEAK_RISE_DIVISOR
        } else {
            PEAK_FALL_DIVISOR
        };
        self.peak_us = (self.peak_us + error / divisor).max(PAUSE_MIN_US);
    }

    /// Number of streams whose bound is shorter than a pause.
    fn streams_below(&self, pause_us: u64) -> u32 {
        let below = self.bounds.iter();
        let below = below.filter(|(ms, _)| u64::from(*ms) * 1000 < pause_us);
        below.map(|(_, count)| *count).sum()
    }

    /// Share of time in slow phases, in thousandths.
    fn slow_share_permille(&self) -> u64 {
        let share = self.slow_share / SLOW_SHARE_DIVISOR;
        share.clamp(SLOW_SHARE_MIN_PERMILLE, SLOW_SHARE_MAX_PERMILLE)
    }

    /// Corrects the usual pauses by the error of one figure, each by its share of the error
    /// (normalized least mean squares, as in [`super::backlog`]).
    fn correct(&mut self, mean_us: u64, share_permille: u64, is_slow: bool) {
        // CAST: pauses and shares are far below 2^53.
        let (mean_us, share) = (
            mean_us.min(PAUSE_MAX_US as u64) as i64,
            share_permille as i64,
        );
        let divisor = if is_slow {
            SLOW_CORRECTION_DIVISOR
        } else {
            CORRECTION_DIVISOR
        };
        let error = mean_us - self.calm_us - self.prefill_us * share / 1000;
        let norm = 1000 + share * share / 1000;
        self.calm_us =
            (self.calm_us + error * 1000 / (divisor * norm)).clamp(PAUSE_MIN_US, PAUSE_MAX_US);
        self.prefill_us =
            (self.prefill_us + error * share / (divisor * norm)).clamp(0, PAUSE_MAX_US);
    }
}
