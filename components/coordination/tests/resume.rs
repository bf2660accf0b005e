//! Resuming of broken streams: ends and ids of events however an answer is split, and the decision
//! whether to resume.

use coordination::resume::{
    decide, give_up_ms, silence_ms, untargeted_aim_ms, Break, Decision, Events, Mismatch, Position,
    EVENTS_MAX, HELD_MAX_BYTES, ID_MAX_BYTES,
};
use coordination::retry::{Bounds, Budget};
use rstest::rstest;
use state::clock::Millis;

fn after(id: &str) -> Position {
    Position::After(id.as_bytes().to_vec())
}

/// Pushes pieces and joins what is passed on.
fn pass_on(events: &mut Events, pieces: &[&[u8]]) -> Vec<u8> {
    let passed: Result<Vec<_>, Mismatch> = pieces.iter().map(|p| events.push(p)).collect();
    assert_eq!(passed.as_ref().err(), None);
    passed.unwrap_or_default().concat()
}

/// Guards against an event that is torn, or an id that is taken from an event that the caller did
/// not get, whatever bytes the answer is split after and whichever line ends it has.
#[rstest]
#[case::line_feeds("\n")]
#[case::both("\r\n")]
#[case::returns("\r")]
fn can_pass_on_whole_events_for_any_split(#[case] end: &str) {
    let text = |text: &str| text.replace('\n', end);
    let whole = [
        text("id: 1\ndata: one\n\n"),
        text(": comment\n\n"),
        text("event: x\nid:2\ndata: two\ndata: 2\n\n"),
        text("data: three\nid: 3\n\n"),
    ];
    let all = whole.concat() + &text("id: 4\ndata: fo");
    let ids = [after("1"), after("1"), after("2"), after("3")];
    for cut in 0..=all.len() {
        for second in cut..=all.len() {
            let mut events = Events::default();
            let pieces = [&all[..cut], &all[cut..second]];
            let passed = pass_on(&mut events, &pieces.map(str::as_bytes));
            // A trailing line feed may be missing from the end of an event: a client ends the event
            // at the carriage return already.
            let is_passed = |n: usize| {
                let event = whole[..n].concat();
                second
                    >= event
                        .strip_suffix('\n')
                        .filter(|_| end == "\r\n")
                        .unwrap_or(&event)
                        .len()
            };
            let count = (0..=whole.len()).rev().find(|n| is_passed(*n)).unwrap();
            let expected = &all[..second.min(whole[..count].concat().len())];
            assert_eq!(String::from_utf8(passed).unwrap(), expected);
            let position = count
                .checked_sub(1)
                .map_or(Position::Start, |n| ids[n].clone());
            assert_eq!(*events.position(), position);
            assert_eq!(events.held(), second - expected.len());
        }
    }
}

/// Guards against a comment that counts as the first event of an answer, so that an endpoint is
/// given up during its prefill.
#[test]
fn can_tell_whether_an_answer_has_brought_an_event() {
    let mut events = Events::default();
    for _ in 0..2 {
        pass_on(&mut events, &[b": ok\n\nretry: 3000\n\ndata: 1\n"]);
        assert!(!events.has_event());
        pass_on(&mut events, &[b"\n"]);
        assert!(events.has_event());
        events.begin_next_answer();
    }
}

/// Guards against a byte order mark of a later answer that reaches the caller in the middle of the
/// stream, where it changes the name of a field, and against an id that is not read behind one.
#[test]
fn can_pass_on_a_byte_order_mark_only_at_the_start_of_a_stream() {
    let first = b"\xef\xbb\xbfid: 1\ndata: 1\n\n".as_slice();
    let second = b"\xef\xbb\xbfid: 2\ndata: \xef\xbb\xbf\n\n\xef\xbb\xbf\n".as_slice();
    for split in 0..=second.len() {
        let mut events = Events::default();
        let (one, two) = first.split_at(split.min(first.len()));
        assert_eq!(pass_on(&mut events, &[one, two]), first);
        assert_eq!(*events.position(), after("1"));
        events.begin_next_answer();
        let (one, two) = second.split_at(split);
        let mut passed = pass_on(&mut events, &[one, two]);
        passed.extend(events.take_held());
        assert_eq!(passed, second[3..]);
        assert_eq!(*events.position(), after("2"));
    }
}

/// Guards against an answer that repeats the event after which the caller itself has resumed the
/// stream.
#[test]
fn can_find_a_repeat_of_the_event_that_the_caller_names() {
    let mut events = Events::after(b"3");
    assert_eq!(*events.position(), Position::Start);
    events.begin_next_answer();
    let repeated = events.push(b"id: 3\ndata: 3\n\n");
    assert_eq!(repeated, Err(Mismatch::Repeated));
    let mut events = Events::after(b"3");
    pass_on(&mut events, &[b"id: 4\ndata: 4\n\n"]);
    events.begin_next_answer();
    let repeated = events.push(b"id: 5\ndata: 5\n\nid: 3\ndata: 3\n\n");
    assert_eq!(repeated, Err(Mismatch::Repeated));
}

/// Guards against bytes that are lost at the end of an answer whose last comment has no empty line.
/// An event without one is not whole, and is never passed on.
#[test]
fn can_pass_on_the_rest_at_the_end_of_an_answer() {
    let mut events = Events::default();
    let mut passed = pass_on(&mut events, &[b"data: 1\n\n: e", b"nd\n"]);
    passed.extend(events.take_held());
    assert_eq!(passed, b"data: 1\n\n: end\n");
    assert_eq!(events.held(), 0);
}

/// Guards against an event that is sent twice because the last one that was passed on cannot be
/// named to the next endpoint.
#[rstest]
#[case::without_an_id("data: 2\n\n", Position::Unknown)]
#[case::reset("id\ndata: 2\n\n", Position::Unknown)]
#[case::of_blanks("id:  2\ndata: 2\n\n", Position::Unknown)]
#[case::with_a_control_character("id: 2\u{7}\ndata: 2\n\n", Position::Unknown)]
#[case::with_a_null("id: 2\0\ndata: 2\n\n", Position::Unknown)]
#[case::seen_before("id: 1\ndata: 2\n\n", Position::Unknown)]
#[case::followed_by_one("data: 2\n\nid: 3\ndata: 3\n\n", after("3"))]
#[case::comment(": 2\n\n\n", after("1"))]
fn can_tell_whether_the_last_event_can_be_named(#[case] next: &str, #[case] position: Position) {
    let mut events = Events::default();
    let first = "id: 1\ndata: 1\n\n";
    let passed = pass_on(&mut events, &[first.as_bytes(), next.as_bytes()]);
    assert_eq!(String::from_utf8(passed).unwrap(), format!("{first}{next}"));
    assert_eq!(*events.position(), position);
    let long = format!("id: {}\n\n", "x".repeat(ID_MAX_BYTES + 1));
    pass_on(&mut events, &[long.as_bytes()]);
    assert_eq!(*events.position(), Position::Unknown);
}

/// Guards against a router that buffers without bound, or changes the bytes of a long event.
#[test]
fn can_pass_on_an_event_that_is_too_long() {
    let long = format!(
        "id: 2\ndata: {}\n\nid: 3\ndata: 3\n\nid",
        "x".repeat(2 * HELD_MAX_BYTES)
    );
    let mut events = Events::default();
    let mut passed = pass_on(&mut events, &[b"id: 1\ndata: 1\n\n"]);
    let mut held_max = 0;
    for piece in long.as_bytes().chunks(1000) {
        passed.extend(events.push(piece).unwrap());
        held_max = held_max.max(events.held());
    }
    assert_eq!(passed, [b"id: 1\ndata: 1\n\n", long.as_bytes()].concat());
    assert!(held_max <= HELD_MAX_BYTES, "{held_max}");
    assert_eq!(*events.position(), Position::Unbounded);
    let mut events = Events::default();
    for n in 0..=EVENTS_MAX {
        assert_ne!(*events.position(), Position::Unbounded);
        pass_on(&mut events, &[format!("id: {n}\ndata: 1\n\n").as_bytes()]);
    }
    assert_eq!(*events.position(), Position::Unbounded);
}

/// Guards against a second answer that repeats events, and against one that is cut although it
/// continues the stream.
#[rstest]
#[case::continued("id: 3\ndata: 3\n\n", None)]
#[case::empty("", None)]
#[case::end_without_an_id("data: end\n\n", Some(Mismatch::Unidentified))]
#[case::from_the_start_without_ids("data: 1\n\ndata: 2\n\n", Some(Mismatch::Unidentified))]
#[case::from_the_start("id: 1\ndata: 1\n\n", Some(Mismatch::Repeated))]
#[case::from_the_last("id: 2\ndata: 2\n\n", Some(Mismatch::Repeated))]
#[case::repeated_later("id: 3\ndata: 3\n\nid: 2\ndata: 2\n\n", Some(Mismatch::Repeated))]
fn can_check_a_second_answer(#[case] answer: &str, #[case] mismatch: Option<Mismatch>) {
    for split in 0..=answer.len() {
        let mut events = Events::default();
        let first = pass_on(
            &mut events,
            &[b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", b"id: 9\nda"],
        );
        assert_eq!(first, b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n");
        events.begin_next_answer();
        assert_eq!((events.held(), events.position()), (0, &after("2")));
        let (one, two) = answer.as_bytes().split_at(split);
        let pushed = events.push(one).and_then(|mut passed| {
            passed.extend(events.push(two)?);
            Ok(passed)
        });
        // An answer without an event shows nothing, so that its end must not end the stream.
        let has_event = answer.starts_with("id: 3");
        assert_eq!(
            events.is_unconfirmed(),
            !has_event && mismatch != Some(Mismatch::Repeated)
        );
        match mismatch {
            None => assert_eq!(pushed.unwrap(), answer.as_bytes()),
            Some(mismatch) => assert_eq!(pushed, Err(mismatch)),
        }
    }
}

/// Guards against an answer from the start of a stream whose first event has no id.
#[test]
fn can_find_a_restart_of_a_stream_that_begins_without_an_id() {
    let mut events = Events::default();
    let first = b"event: begin\ndata: 0\n\nid: 1\ndata: 1\n\n";
    pass_on(&mut events, &[first]);
    events.begin_next_answer();
    assert_eq!(events.push(first), Err(Mismatch::Unidentified));
}

/// Guards against a second answer whose first event is too long to check, and is passed on.
#[test]
fn can_reject_a_second_answer_whose_first_event_is_too_long() {
    let mut events = Events::default();
    pass_on(&mut events, &[b"id: 1\ndata: 1\n\n"]);
    events.begin_next_answer();
    let long = format!("data: {}", "x".repeat(HELD_MAX_BYTES));
    assert_eq!(events.push(long.as_bytes()), Err(Mismatch::TooLong));
}

/// A budget with this many retries.
fn budget(retries: u64) -> Budget {
    let bounds = Bounds {
        per_mille: 0,
        extra: 1000,
        window_ms: 10_000,
    };
    let mut budget = Budget::new(bounds, Millis(0));
    budget.earn(Millis(0), 1);
    while retries == 0 && budget.take() {}
    budget
}

/// Guards against a stream that is resumed although one of the conditions does not hold.
#[rstest]
#[case::after_an_event(after("7"), 1, false, 0, 10, 1, Decision::Resume)]
#[case::before_any_event(Position::Start, 1, false, 0, 10, 1, Decision::Resume)]
#[case::without_an_id(Position::Unknown, 1, false, 0, 10, 1, Decision::End("no-id"))]
#[case::too_long(Position::Unbounded, 1, false, 0, 10, 1, Decision::End("too-long"))]
#[case::second_break(after("7"), 2, false, 1, 10, 1, Decision::End("second-break"))]
#[case::suspected(after("7"), 1, true, 0, 10, 1, Decision::End("suspected"))]
#[case::no_retries(after("7"), 1, false, 2, 10, 1, Decision::End("retries"))]
#[case::no_time(after("7"), 1, false, 0, 5, 1, Decision::End("deadline"))]
#[case::no_budget(after("7"), 1, false, 0, 10, 0, Decision::End("budget"))]
fn can_decide(
    #[case] position: Position,
    #[case] breaks: u32,
    #[case] is_suspected: bool,
    #[case] retries: u32,
    #[case] deadline: u64,
    #[case] available: u64,
    #[case] decision: Decision,
) {
    let broken = Break {
        position: &position,
        breaks,
        is_suspected,
        retries,
        retries_max: 2,
        deadline: Millis(deadline),
    };
    assert_eq!(decide(&broken, Millis(5), &mut budget(available)), decision);
}

/// Guards against a storm of resumptions beyond the retry budget, when many streams break at once.
#[test]
fn can_keep_to_the_budget_when_many_streams_break() {
    let position = after("7");
    let broken = Break {
        position: &position,
        breaks: 1,
        is_suspected: false,
        retries: 0,
        retries_max: 2,
        deadline: Millis(10_000),
    };
    let mut budget = budget(1);
    let mut allowed = budget;
    let allowed = std::iter::from_fn(|| allowed.take().then_some(())).count();
    let decisions = (0..1000).map(|_| decide(&broken, Millis(5), &mut budget));
    let resumed = decisions.filter(|d| *d == Decision::Resume).count();
    assert!(allowed < 1000);
    assert_eq!(resumed, allowed);
}

/// Guards against an endpoint that is given up during a pause that its rule allows, or before the
/// first event of a request with a long target.
#[rstest]
#[case::without_a_pause(None, None, 2000)]
#[case::short_pause(Some(300), None, 2000)]
#[case::long_pause(Some(900), None, 3600)]
#[case::before_the_first_event(Some(300), Some(1500), 3000)]
#[case::short_target(Some(300), Some(500), 2000)]
fn can_bound_a_silence(
    #[case] max_gap_ms: Option<u64>,
    #[case] aim_ms: Option<u64>,
    #[case] limit_ms: u64,
) {
    assert_eq!(silence_ms(max_gap_ms, aim_ms), limit_ms);
}

/// Guards against a stream that is given up before its caller gives it up, or long after that.
#[rstest]
#[case::without_objectives(None, None, 2000)]
#[case::by_the_pause(Some(400), Some(500), 3200)]
#[case::by_the_target(Some(400), Some(1500), 6000)]
fn can_tell_when_callers_give_up(
    #[case] max_gap_ms: Option<u64>,
    #[case] aim_ms: Option<u64>,
    #[case] after_ms: u64,
) {
    assert_eq!(give_up_ms(max_gap_ms, aim_ms), after_ms);
}

/// Guards against an endpoint without a latency target that may be silent before its first event
/// until the deadline, when no time is left for another one.
#[test]
fn can_bound_a_silence_before_the_first_event_without_a_target() {
    let silence = |remaining_ms| silence_ms(None, Some(untargeted_aim_ms(remaining_ms)));
    assert_eq!(silence(60_000), 30_000);
    assert_eq!(silence(3000), 2000);
}
