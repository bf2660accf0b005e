//! Answers that have ended, and what their ends say of them.

use coordination::ending::{Boundary, Ending, Framing};
use rstest::rstest;

/// Guards against a part of a stream that counts as complete, and against whole streams that do
/// not, however lines end and wherever pieces are split.
#[rstest]
#[case::nothing("", Ending::BrokenOff, Ending::Complete)]
#[case::comment(": 1|", Ending::BrokenOff, Ending::Complete)]
#[case::retry("retry: 1||", Ending::BrokenOff, Ending::Complete)]
#[case::within_a_comment(": 1", Ending::BrokenOff, Ending::Truncated)]
#[case::event("id: 1|data: 1||", Ending::Complete, Ending::Complete)]
#[case::event_and_comment("data: 1||: end|", Ending::Complete, Ending::Complete)]
#[case::event_and_empty_lines("data||||", Ending::Complete, Ending::Complete)]
#[case::id_alone("id||", Ending::Complete, Ending::Complete)]
#[case::within_a_name("data: 1||da", Ending::BrokenOff, Ending::Truncated)]
#[case::within_a_value("data: 1||data: 2", Ending::BrokenOff, Ending::Truncated)]
#[case::between_lines("data: 1||id: 2|", Ending::BrokenOff, Ending::Truncated)]
#[case::before_the_empty_line("data: 1||data: 2|", Ending::BrokenOff, Ending::Truncated)]
#[case::before_a_comment("data: 1||data: 2|: c|", Ending::BrokenOff, Ending::Truncated)]
#[case::other_field("data: 1||event: x|", Ending::BrokenOff, Ending::Truncated)]
fn can_tell_a_part_of_a_stream_from_a_whole_one(
    #[case] text: &str,
    #[case] by_close: Ending,
    #[case] by_mark: Ending,
    #[values("\n", "\r", "\r\n")] line_end: &str,
) {
    let text = text.replace('|', line_end);
    for split in 0..=text.len() {
        let mut boundary = Boundary::default();
        let (first, second) = text.as_bytes().split_at(split);
        boundary.push(first);
        boundary.push(second);
        assert_eq!(boundary.judge(Framing::Close), by_close, "{split}");
        assert_eq!(boundary.judge(Framing::Chunked), by_mark, "{split}");
        assert_eq!(boundary.judge(Framing::Length), by_mark, "{split}");
        assert_eq!(
            boundary.is_inside_event(),
            boundary.unfinished() > 0 && by_mark != Ending::Complete
        );
    }
}

/// Guards against a stream whose last byte is missing and that counts as complete, since a
/// carriage return alone ends a line, too.
#[test]
fn can_tell_that_the_second_byte_of_a_line_end_is_missing() {
    let mut boundary = Boundary::default();
    boundary.push(b"id: 1\r\ndata: 1\r\n\r");
    assert_eq!(boundary.judge(Framing::Close), Ending::BrokenOff);
    assert_eq!(boundary.unfinished(), 1);
    boundary.push(b"\n");
    assert_eq!(boundary.judge(Framing::Close), Ending::Complete);
    assert_eq!(boundary.unfinished(), 0);
}
