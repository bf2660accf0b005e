//! Which of a router's connections gives way to a new one.

use coordination::idle::{Key, Tracker, IDLE_MIN_MS};
use state::clock::Millis;
use std::collections::BTreeSet;

/// Connections that a router has room for.
const ROOM: usize = 1200;

/// Guards against callers who are not served since a flood has left the router full of
/// connections on which nothing is asked.
#[test]
fn can_let_callers_in_beside_a_flood_that_rests() {
    let mut rests = Tracker::default();
    let flood: BTreeSet<Key> = (0..ROOM).map(|_| rests.open(Millis(0))).collect();
    let mut busy = Vec::new();
    let mut turned_away = 0;
    for n in 0..800 {
        let now = Millis(1000 + n * 5);
        // The router is full: one has to give way.
        match rests.take_longest_idle(now) {
            None => turned_away += 1,
            Some(other) => {
                assert!(flood.contains(&other), "a caller gave way at {now:?}");
                rests.close(other);
                let caller = rests.open(now);
                rests.begin(caller);
                busy.push((now.after(100), caller));
            }
        }
        busy.retain(|(end, caller)| {
            if *end <= now {
                rests.end(now, *caller);
            }
            *end > now
        });
    }
    assert_eq!(turned_away, 0);
}

/// Guards against a connection that is closed while a request is on it, or right after its
/// caller has come.
#[test]
fn can_keep_what_is_in_use_or_new() {
    let mut rests = Tracker::default();
    let first = rests.open(Millis(0));
    let second = rests.open(Millis(10));
    assert_eq!(rests.take_longest_idle(Millis(IDLE_MIN_MS - 1)), None);
    rests.begin(first);
    assert_eq!(
        rests.take_longest_idle(Millis(IDLE_MIN_MS + 10)),
        Some(second)
    );
    assert_eq!(
        rests.take_longest_idle(Millis(60_000)),
        None,
        "each gives way once"
    );
    rests.end(Millis(60_000), first);
    assert_eq!(rests.take_longest_idle(Millis(60_001)), None);
    assert_eq!(
        rests.take_longest_idle(Millis(60_000 + IDLE_MIN_MS)),
        Some(first)
    );
    rests.close(first);
    rests.end(Millis(70_000), first);
    assert_eq!(
        rests.take_longest_idle(Millis(90_000)),
        None,
        "it has ended"
    );
}
