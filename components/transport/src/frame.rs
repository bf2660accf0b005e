//! Checked frames of stored bytes: a unit that is whole or not there.
//!
//! Layout, big endian: length (4), checksum of the length (4), checksum of
//! the body (4), body. Checksums are CRC-32C.

/// Bytes before the body.
pub const HEAD: usize = 12;
/// Longest body in bytes.
pub const BODY_MAX: usize = 256 * 1024 * 1024;

/// Appends a frame to a buffer.
pub fn push(buffer: &mut Vec<u8>, body: &[u8]) {
    // CAST: bodies are far below 4 GiB; see `BODY_MAX`.
    let length = (body.len() as u32).to_be_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32c::crc32c(&length).to_be_bytes());
    buffer.extend_from_slice(&crc32c::crc32c(body).to_be_bytes());
    buffer.extend_from_slice(body);
}

/// What stands at the start of some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// A whole frame: its body, and what follows it.
    Whole(&'a [u8], &'a [u8]),
    /// Nothing more.
    End,
    /// Something that is no whole frame.
    Broken,
}

/// Reads the frame at the start of some bytes.
pub fn read(bytes: &[u8]) -> Read<'_> {
    if bytes.is_empty() {
        return Read::End;
    }
    let Some((head, rest)) = bytes.split_at_checked(HEAD) else {
        return Read::Broken;
    };
    let word = |at: usize| {
        let mut word = [0; 4];
        word.copy_from_slice(&head[at..at + 4]);
        u32::from_be_bytes(word)
    };
    if crc32c::crc32c(&head[..4]) != word(4) {
        return Read::Broken;
    }
    // CAST: `usize` is at least 32 bits on every supported target.
    let Some((body, rest)) = rest.split_at_checked(word(0) as usize) else {
        return Read::Broken;
    };
    if crc32c::crc32c(body) != word(8) {
        return Read::Broken;
    }
    Read::Whole(body, rest)
}

/// Whether a whole frame stands anywhere in some bytes after the first.
///
/// Only the last write can be torn, since each is synced before the next
/// begins. A whole frame behind a broken one therefore means that bytes once
/// counted as safe have changed.
pub fn whole_after(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .any(|at| matches!(read(&bytes[at..]), Read::Whole(body, _) if !body.is_empty()))
}
