//! Frames of stored bytes with checksums, by which an incomplete write is recognised.
//!
//! Layout, in big endian: length of the body (4 bytes), checksum of the length (4), checksum of the
//! body (4), body. Checksums are CRC-32C.

/// Length of a frame's header.
pub const HEADER_BYTES: usize = 12;
/// Longest body of a frame.
pub const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;

/// Appends a frame with the given body to a buffer.
pub fn append(buffer: &mut Vec<u8>, body: &[u8]) {
    // CAST: bodies are far below 4 GiB; see `MAX_BODY_BYTES`.
    let length = (body.len() as u32).to_be_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32c::crc32c(&length).to_be_bytes());
    buffer.extend_from_slice(&crc32c::crc32c(body).to_be_bytes());
    buffer.extend_from_slice(body);
}

/// Result of reading the start of some bytes as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// A valid frame: its body, and the bytes that follow the frame.
    Valid(&'a [u8], &'a [u8]),
    /// There are no bytes.
    End,
    /// The bytes do not start with a complete, undamaged frame.
    Invalid,
}

/// Reads the frame at the start of some bytes.
pub fn read(bytes: &[u8]) -> Read<'_> {
    if bytes.is_empty() {
        return Read::End;
    }
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Read::Invalid;
    };
    let field = |at: usize| {
        let mut field = [0; 4];
        field.copy_from_slice(&header[at..at + 4]);
        u32::from_be_bytes(field)
    };
    if crc32c::crc32c(&header[..4]) != field(4) {
        return Read::Invalid;
    }
    // CAST: `usize` is at least 32 bits on every supported target.
    let Some((body, rest)) = rest.split_at_checked(field(0) as usize) else {
        return Read::Invalid;
    };
    if crc32c::crc32c(body) != field(8) {
        return Read::Invalid;
    }
    Read::Valid(body, rest)
}

/// Whether a valid frame with a body starts anywhere after the first byte.
///
/// Only the last write can be torn, since each write is synced before the next one begins. A valid
/// frame behind an invalid one therefore means that bytes which were synced have changed.
pub fn has_later_frame(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .any(|at| matches!(read(&bytes[at..]), Read::Valid(body, _) if !body.is_empty()))
}
