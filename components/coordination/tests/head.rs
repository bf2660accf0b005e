//! Heads of responses, and how the ends of their bodies are marked.

use coordination::ending::Framing;
use coordination::head::{Head, Malformed};
use rstest::rstest;

/// Guards against heads that two readers read differently, and against well-formed ones that are
/// refused. Lines are separated by `|`; `-` stands for none.
#[rstest]
#[case::neither(200, "-", "-", Ok(Framing::Close))]
#[case::length(200, "-", "5", Ok(Framing::Length))]
#[case::longest(200, "-", "18446744073709551615", Ok(Framing::Length))]
#[case::equal_lengths(200, "-", "5, 5|5", Ok(Framing::Length))]
#[case::chunks(200, "chunked", "-", Ok(Framing::Chunked))]
#[case::letter_case(200, " CHUNKED\t", "-", Ok(Framing::Chunked))]
#[case::last_status(599, "-", "0", Ok(Framing::Length))]
#[case::interim(101, "-", "-", Err(Malformed::Status(101)))]
#[case::no_status(0, "-", "-", Err(Malformed::Status(0)))]
#[case::high_status(600, "-", "5", Err(Malformed::Status(600)))]
#[case::empty_length(200, "-", "", Err(Malformed::ContentLength))]
#[case::sign(200, "-", "+5", Err(Malformed::ContentLength))]
#[case::too_long(200, "-", "18446744073709551616", Err(Malformed::ContentLength))]
#[case::different_lengths(200, "-", "5|6", Err(Malformed::ContentLength))]
#[case::empty_member(200, "-", "5,", Err(Malformed::ContentLength))]
#[case::empty_coding(200, "", "-", Err(Malformed::TransferEncoding))]
#[case::misspelt(200, "chunkd", "-", Err(Malformed::TransferEncoding))]
#[case::other_before(200, "gzip, chunked", "-", Err(Malformed::TransferEncoding))]
#[case::other_after(200, "chunked, gzip", "-", Err(Malformed::TransferEncoding))]
#[case::twice(200, "chunked|chunked", "-", Err(Malformed::TransferEncoding))]
#[case::both(200, "chunked", "5", Err(Malformed::LengthBesideChunks))]
#[case::misspelt_beside(200, "chunkd", "5", Err(Malformed::LengthBesideChunks))]
fn can_be_read_in_one_way_or_refused(
    #[case] status: u16,
    #[case] transfer_encodings: &str,
    #[case] content_lengths: &str,
    #[case] expected: Result<Framing, Malformed>,
) {
    let head = Head {
        status,
        transfer_encodings: split(transfer_encodings),
        content_lengths: split(content_lengths),
    };
    assert_eq!(Framing::try_from(&head), expected);
}

/// Values of the lines of a field.
fn split<'a, C>(text: &'a str) -> C
where
    C: FromIterator<&'a [u8]>,
{
    let lines = text.split('|').filter(|line| *line != "-");
    lines.map(str::as_bytes).collect()
}
