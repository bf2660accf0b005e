//! What processes that have missed steps of the view are sent.

use coordination::history::{ranges, History, Missed, HISTORY_BYTES_MAX, HISTORY_STEPS_MAX};
use state::id::Version;

/// A history of steps with these lengths, which lead to the versions from 1 on.
fn history(lengths: &[usize]) -> History {
    let mut history = History::default();
    for (version, length) in (1..).zip(lengths) {
        history.push(Version(version), vec![0; *length].into());
    }
    history
}

/// Guards against a history that is bounded by the number of its steps alone.
#[test]
fn keeps_a_bounded_number_of_bytes() {
    for length in [1, 1000, 300_000, HISTORY_BYTES_MAX, HISTORY_BYTES_MAX + 1] {
        let mut history = History::default();
        for version in 1..=2000 {
            history.push(Version(version), vec![0; length].into());
            assert!(history.bytes() <= HISTORY_BYTES_MAX, "{length}");
        }
        let steps = (HISTORY_BYTES_MAX / length).min(HISTORY_STEPS_MAX);
        assert_eq!(history.bytes(), steps * length);
    }
}

/// Guards against steps that are sent although the whole view is shorter.
#[test]
fn sends_whichever_is_shorter() {
    let history = history(&[100; 10]);
    let missed = |version, whole| history.missed(Version(version), Version(10), || whole);
    assert!(matches!(missed(0, 1000), Missed::Steps(steps) if steps.len() == 10));
    assert_eq!(missed(0, 999), Missed::Whole);
    assert!(matches!(missed(7, 300), Missed::Steps(steps) if steps.len() == 3));
    assert_eq!(missed(10, 1), Missed::Nothing);
}

/// Guards against steps with a gap, which a process cannot apply.
#[test]
fn sends_the_whole_view_if_a_step_is_not_kept() {
    let missed = |history: &History, version, head| {
        let missed = history.missed(Version(version), Version(head), || usize::MAX);
        matches!(missed, Missed::Whole)
    };
    assert!(missed(&History::default(), 0, 1));
    let dropped = history(&[HISTORY_BYTES_MAX / 2, HISTORY_BYTES_MAX / 2, 1]);
    assert!(missed(&dropped, 0, 3));
    assert!(!missed(&dropped, 1, 3));
    // The view has a step that is too long to be kept.
    let too_long = history(&[1, HISTORY_BYTES_MAX + 1]);
    assert!(missed(&too_long, 1, 2));
    let mut with_gap = history(&[1, 1]);
    with_gap.push(Version(4), vec![0; 1].into());
    assert!(missed(&with_gap, 2, 4));
    assert!(!missed(&with_gap, 3, 4));
}

/// Guards against several steps in one message that is longer than a frame.
#[test]
fn divides_steps_into_messages_of_a_bounded_length() {
    assert_eq!(ranges(&[], 10), []);
    assert_eq!(ranges(&[4, 4, 4], 10), [0..2, 2..3]);
    assert_eq!(ranges(&[20, 1, 9, 1], 10), [0..1, 1..3, 3..4]);
}
