//! Which heads of responses are well formed, as far as the end of the body follows from them.
//!
//! A router frames each body anew. A head that two parsers read differently would reach the caller as
//! a well-formed one, with another body than the endpoint's. Only heads with one reading are accepted.

use crate::ending::Framing;
use smallvec::SmallVec;
use std::fmt;

/// Parts of a response's head that tell where its body ends, as they were received.
#[derive(Clone, Debug, Default)]
pub struct Head<'a> {
    /// Status code.
    pub status: u16,
    /// Value of each `Transfer-Encoding` line.
    pub transfer_encodings: SmallVec<[&'a [u8]; 1]>,
    /// Value of each `Content-Length` line.
    pub content_lengths: SmallVec<[&'a [u8]; 1]>,
}

/// The part of a head that is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The status is not that of a final response.
    Status(u16),
    /// `Transfer-Encoding` is not just `chunked`. Requests ask for no other coding.
    TransferEncoding,
    /// `Content-Length` is not a number, or lists different ones.
    ContentLength,
    /// There are both `Transfer-Encoding` and `Content-Length` (RFC 9112, section 6.3).
    LengthBesideChunks,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed response head: ")?;
        match self {
            Malformed::Status(status) => write!(f, "status {status} is not in 200 to 599"),
            Malformed::TransferEncoding => f.write_str("transfer-encoding is not just chunked"),
            Malformed::ContentLength => f.write_str("content-length is not a single number"),
            Malformed::LengthBesideChunks => {
                f.write_str("it has both transfer-encoding and content-length")
            }
        }
    }
}

impl TryFrom<&Head<'_>> for Framing {
    type Error = Malformed;

    fn try_from(head: &Head<'_>) -> Result<Self, Malformed> {
        if !(200..=599).contains(&head.status) {
            return Err(Malformed::Status(head.status));
        }
        let length = length(&head.content_lengths)?;
        match (head.transfer_encodings.as_slice(), length) {
            ([], None) => Ok(Framing::Close),
            ([], Some(_)) => Ok(Framing::Length),
            ([coding], None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
                Ok(Framing::Chunked)
            }
            (_, None) => Err(Malformed::TransferEncoding),
            (_, Some(_)) => Err(Malformed::LengthBesideChunks),
        }
    }
}

/// The length that all lines and list members state; `None` without a line.
fn length(lines: &[&[u8]]) -> Result<Option<u64>, Malformed> {
    let mut length = None;
    for member in lines.iter().flat_map(|line| line.split(|b| *b == b',')) {
        let number = parse_digits(member.trim_ascii()).ok_or(Malformed::ContentLength)?;
        if *length.get_or_insert(number) != number {
            return Err(Malformed::ContentLength);
        }
    }
    Ok(length)
}

/// Parses digits alone: `u64::from_str` accepts a sign.
fn parse_digits(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    let is_number = text.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}
