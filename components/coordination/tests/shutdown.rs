//! Phases of a stop.

use coordination::shutdown::{Load, Phase, Shutdown, LINGER};
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);
const IDLE: Load = Load {
    has_work: false,
    has_schedulers: false,
};
const BUSY: Load = Load {
    has_work: true,
    has_schedulers: false,
};

/// Phases of a stop that is checked every 10 ms, with the time at which each began.
fn phases<F>(grace: Duration, has_readiness: bool, load: F) -> Vec<(u128, Phase)>
where
    F: Fn(Duration) -> Load,
{
    let mut shutdown = Shutdown::new(grace, has_readiness);
    let mut phases: Vec<(u128, Phase)> = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed <= grace {
        let phase = shutdown.advance(elapsed, load(elapsed));
        if phases.last().is_none_or(|(_, last)| *last != phase) {
            phases.push((elapsed.as_millis(), phase));
        }
        elapsed += Duration::from_millis(10);
    }
    phases
}

/// Guards against a stop that waits for work that never ends until the process is killed.
#[test]
fn cuts_work_that_does_not_end_before_the_grace_period_does() {
    for grace_ms in [500, 1_000, 8_000, 30_000, 600_000] {
        let grace = Duration::from_millis(grace_ms);
        for has_readiness in [true, false] {
            let phases = phases(grace, has_readiness, |_| BUSY);
            let (at, last) = *phases.last().unwrap();
            assert_eq!(last, Phase::Cutting, "{grace:?}: {phases:?}");
            assert!(at < grace.as_millis(), "{grace:?}: {phases:?}");
            let all = [Phase::Refusing, Phase::Ending];
            let passed = |phase| phases.iter().any(|(_, passed)| *passed == phase);
            assert!(all.into_iter().all(passed), "{grace:?}: {phases:?}");
        }
    }
}

/// Guards against a stop that closes connections while requests are still in progress.
#[test]
fn closes_connections_only_once_nothing_is_in_progress() {
    let until = Duration::from_millis(3_000);
    let load = |elapsed| if elapsed < until { BUSY } else { IDLE };
    let phases = phases(GRACE, true, load);
    let closing = phases.iter().find(|(_, phase)| *phase == Phase::Closing);
    assert_eq!(closing, Some(&(3_000, Phase::Closing)), "{phases:?}");
}

/// Guards against a router that refuses callers before load balancers know that it stops, and
/// against one that does not close at all before it refuses.
#[test]
fn takes_requests_until_load_balancers_know_of_the_stop() {
    let linger = LINGER.as_millis();
    let after_linger = |phases: Vec<(u128, Phase)>| phases[1];
    let with_readiness = after_linger(phases(GRACE, true, |_| IDLE));
    assert_eq!(with_readiness, (linger, Phase::Draining));
    // Without readiness checks no caller is kept away by waiting.
    let without = phases(GRACE, false, |_| IDLE);
    assert_eq!(without[..2], [(0, Phase::Draining), (10, Phase::Closing)]);
    let short = after_linger(phases(Duration::from_secs(2), true, |_| BUSY));
    assert_eq!(short, (1_000, Phase::Refusing));
}

/// Guards against a stop that does not give other VMs the time to take over schedulers, or gives
/// it without end.
#[test]
fn waits_for_schedulers_to_be_taken_over() {
    let load = Load {
        has_schedulers: true,
        ..IDLE
    };
    let phases = phases(GRACE, false, |_| load);
    let closing = phases.iter().find(|(_, phase)| *phase == Phase::Closing);
    assert_eq!(closing, Some(&(3_000, Phase::Closing)), "{phases:?}");
}

/// Guards against requests that are taken again when a phase has begun late.
#[test]
fn phases_only_advance() {
    let mut shutdown = Shutdown::new(GRACE, true);
    let late = Duration::from_millis(7_350);
    assert_eq!(shutdown.advance(late, BUSY), Phase::Ending);
    assert_eq!(shutdown.advance(Duration::ZERO, IDLE), Phase::Ending);
}
