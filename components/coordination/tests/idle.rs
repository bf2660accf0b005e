//! Which idle caller connection a full router closes for a new one.

use coordination::idle::{Key, Tracker, IDLE_MIN_MS};
use state::clock::Millis;
use std::collections::BTreeSet;

/// Connection limit of the router.
const CONNECTIONS_MAX: usize = 1200;

/// Guards against new callers that are refused because a flood has left the router full of
/// idle connections.
#[test]
fn can_admit_callers_while_a_flood_holds_idle_connections() {
    let mut tracker = Tracker::default();
    let flood: BTreeSet<Key> = (0..CONNECTIONS_MAX)
        .map(|_| tracker.open(Millis(0)))
        .collect();
    let mut in_use = Vec::new();
    let mut refused = 0;
    for n in 0..800 {
        let now = Millis(1000 + n * 5);
        // The router is full, so an idle connection has to be closed.
        match tracker.take_longest_idle(now) {
            None => refused += 1,
            Some(other) => {
                assert!(
                    flood.contains(&other),
                    "a caller's connection was closed at {now:?}"
                );
                tracker.close(other);
                let caller = tracker.open(now);
                tracker.begin(caller);
                in_use.push((now.after(100), caller));
            }
        }
        in_use.retain(|(end, caller)| {
            if *end <= now {
                tracker.end(now, *caller);
            }
            *end > now
        });
    }
    assert_eq!(refused, 0);
}

/// Guards against a connection that is closed while it carries a request, or right after it
/// was opened.
#[test]
fn can_keep_connections_that_are_in_use_or_new() {
    let mut tracker = Tracker::default();
    let first = tracker.open(Millis(0));
    let second = tracker.open(Millis(10));
    assert_eq!(tracker.take_longest_idle(Millis(IDLE_MIN_MS - 1)), None);
    tracker.begin(first);
    assert_eq!(
        tracker.take_longest_idle(Millis(IDLE_MIN_MS + 10)),
        Some(second)
    );
    assert_eq!(
        tracker.take_longest_idle(Millis(60_000)),
        None,
        "each connection is returned once"
    );
    tracker.end(Millis(60_000), first);
    assert_eq!(tracker.take_longest_idle(Millis(60_001)), None);
    assert_eq!(
        tracker.take_longest_idle(Millis(60_000 + IDLE_MIN_MS)),
        Some(first)
    );
    tracker.close(first);
    tracker.end(Millis(70_000), first);
    assert_eq!(
        tracker.take_longest_idle(Millis(90_000)),
        None,
        "the connection has ended"
    );
}
