//! Encoding of frames.

use crate::wire::Frame;
use coordination::consensus::BATCH_ENTRIES_MAX;
use errors::{Error, Result};
use postcard::ser_flavors::Size;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Version of the protocol; another one is refused.
pub const PROTOCOL_VERSION: u8 = 1;
/// Bytes before the body: the version and the length.
pub const HEADER_BYTES: usize = 5;
/// Longest body in bytes. A whole view of the design size is a tenth of it.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of a record of the log that no operator chose the size of, at most: a stored
/// answer, 16 KiB of body, is the largest.
const SMALL_MAX: usize = 20 * 1024;
/// Largest record of the log in bytes, so that a message carries one with as many small
/// ones as go into a batch.
pub const MAX_RECORD_BYTES: usize = MAX_BODY_BYTES - BATCH_ENTRIES_MAX * SMALL_MAX;

/// Whether a value can be a record of the log, or the query that asks for one.
///
/// One that is larger could not be sent to the other control VMs. A leader that wrote it
/// to its log would accept nothing more.
pub fn fits_record<T>(value: &T) -> bool
where
    T: Serialize,
{
    let length = postcard::serialize_with_flavor(value, Size::default());
    length.is_ok_and(|length| length <= MAX_RECORD_BYTES)
}

/// Encodes a frame with its head.
///
/// # Errors
///
/// When the body is longer than [`MAX_BODY_BYTES`].
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>> {
    let body =
        postcard::to_stdvec(frame).map_err(Error::peer("encode a frame", "(this process)"))?;
    let length = u32::try_from(body.len())
        .ok()
        .filter(|_| body.len() <= MAX_BODY_BYTES)
        .ok_or_else(|| too_long("(this process)", body.len()))?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Length of the body that a head announces.
///
/// # Errors
///
/// When the version is another or the body too long.
pub fn body_length(peer: &str, head: [u8; HEADER_BYTES]) -> Result<usize> {
    let [version, a, b, c, d] = head;
    if version != PROTOCOL_VERSION {
        return Err(Error::Peer {
            step: "read a frame",
            peer: peer.to_owned(),
            reason: format!(
                "it speaks version {version} of the protocol, we speak {PROTOCOL_VERSION}"
            ),
        });
    }
    // CAST: `usize` is at least 32 bits on every supported target.
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length > MAX_BODY_BYTES {
        return Err(too_long(peer, length));
    }
    Ok(length)
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// When the bytes are no frame.
pub fn decode_frame(peer: &str, body: &[u8]) -> Result<Frame> {
    postcard::from_bytes(body).map_err(Error::peer("decode a frame", peer))
}

/// Encodes a value that is stored.
///
/// # Errors
///
/// When it cannot be encoded.
pub fn encode_value<T>(value: &T) -> Result<Vec<u8>>
where
    T: Serialize,
{
    postcard::to_stdvec(value).map_err(Error::peer("encode a value", "(this process)"))
}

/// Decodes a value that was stored.
///
/// # Errors
///
/// When the bytes are something else.
pub fn decode_value<T>(bytes: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(Error::peer("decode a value", "(this process)"))
}

fn too_long(peer: &str, length: usize) -> Error {
    Error::Peer {
        step: "check a frame's length",
        peer: peer.to_owned(),
        reason: format!("{length} bytes, {MAX_BODY_BYTES} are allowed"),
    }
}
