//! Encoding of frames on links, and of values that are stored.

use crate::wire::{Frame, Message, Query};
use coordination::consensus::BATCH_ENTRIES_MAX;
use errors::{Error, Result};
use postcard::ser_flavors::Size;
use serde::de::DeserializeOwned;
use serde::Serialize;
use state::id::Software;

/// Version of the protocol. Frames of any other version are refused.
pub const PROTOCOL_VERSION: u8 = 1;
/// Length of a frame's header: one byte for the version, four for the length of the body.
pub const HEADER_BYTES: usize = 5;
/// Longest body of a frame. A full view of a fleet of the design size takes a tenth of this.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Longest record of the log whose size does not depend on an operator's input. The largest is a
/// stored answer, with a body of up to 16 KiB.
const MAX_SMALL_RECORD_BYTES: usize = 20 * 1024;
/// Longest record of the log. One record of this size and a batch of small records fit in one
/// message.
pub const MAX_RECORD_BYTES: usize = MAX_BODY_BYTES - BATCH_ENTRIES_MAX * MAX_SMALL_RECORD_BYTES;

/// Whether a record of the log, or the query that leads to it, is within [`MAX_RECORD_BYTES`].
///
/// A longer record could not be replicated to the other control VMs. A leader with such a record in
/// its log could not commit anything more.
pub fn fits_record<T>(value: &T) -> bool
where
    T: Serialize,
{
    encoded_length(value) <= MAX_RECORD_BYTES
}

/// Length of an encoded value in bytes; the greatest number if it cannot be encoded.
pub fn encoded_length<T>(value: &T) -> usize
where
    T: Serialize,
{
    postcard::serialize_with_flavor(value, Size::default()).unwrap_or(usize::MAX)
}

/// Encodes a frame with its header.
///
/// # Errors
///
/// When the body is longer than [`MAX_BODY_BYTES`].
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>> {
    let step = "encode a frame";
    let own = "(this process)";
    let mut body = postcard::to_stdvec(frame).map_err(Error::peer(step, own))?;
    if let Message::Hello(hello) = &frame.message {
        body = postcard::to_extend(&hello.extension, body).map_err(Error::peer(step, own))?;
    }
    if let Some(evidence) = frame.message.evidence() {
        let details = (&evidence.breaks, &evidence.survivals);
        if !evidence.breaks.is_empty() || !evidence.survivals.is_empty() {
            body = postcard::to_extend(&details, body).map_err(Error::peer(step, own))?;
        }
    }
    let versions = frame.message.software();
    if versions.iter().any(|software| software.is_stated()) {
        body = postcard::to_extend(&versions, body).map_err(Error::peer(step, own))?;
    }
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

/// Length of the body that a frame's header announces.
///
/// # Errors
///
/// When the version is not [`PROTOCOL_VERSION`], or the body is longer than [`MAX_BODY_BYTES`].
pub fn body_length(peer: &str, head: [u8; HEADER_BYTES]) -> Result<usize> {
    let [version, a, b, c, d] = head;
    if version != PROTOCOL_VERSION {
        return Err(Error::Peer {
            step: "read a frame",
            peer: peer.to_owned(),
            reason: format!(
                "the peer uses protocol version {version}, this process uses version {PROTOCOL_VERSION}"
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
/// When the bytes are not a frame.
pub fn decode_frame(peer: &str, body: &[u8]) -> Result<Frame> {
    let step = "decode a frame";
    let (mut frame, rest): (Frame, &[u8]) =
        postcard::take_from_bytes(body).map_err(Error::peer(step, peer))?;
    if rest.is_empty() {
        return Ok(frame);
    }
    match &mut frame.message {
        Message::Hello(hello) => {
            hello.extension = postcard::from_bytes(rest).map_err(Error::peer(step, peer))?;
        }
        Message::Evidence(evidence) | Message::Query(_, Query::Evidence(evidence)) => {
            (evidence.breaks, evidence.survivals) =
                postcard::from_bytes(rest).map_err(Error::peer(step, peer))?;
        }
        message if message.has_endpoints() => {
            let versions: Vec<Software> =
                postcard::from_bytes(rest).map_err(Error::peer(step, peer))?;
            message.set_software(&versions);
        }
        _ => {}
    }
    Ok(frame)
}

/// Encodes a value to be stored.
///
/// # Errors
///
/// When the value cannot be encoded.
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
/// When the bytes are not an encoded `T`.
pub fn decode_value<T>(bytes: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(Error::peer("decode a value", "(this process)"))
}

/// Decodes a value that was stored with a second one behind it. An earlier release has stored none,
/// and ignores one.
///
/// # Errors
///
/// When the bytes are not such values.
pub fn decode_extended<T, E>(bytes: &[u8]) -> Result<(T, E)>
where
    T: DeserializeOwned,
    E: DeserializeOwned + Default,
{
    let step = "decode a value";
    let own = "(this process)";
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(Error::peer(step, own))?;
    if rest.is_empty() {
        return Ok((value, E::default()));
    }
    let extension = postcard::from_bytes(rest).map_err(Error::peer(step, own))?;
    Ok((value, extension))
}

/// Error for a body longer than [`MAX_BODY_BYTES`].
fn too_long(peer: &str, length: usize) -> Error {
    Error::Peer {
        step: "check a frame's length",
        peer: peer.to_owned(),
        reason: format!("the frame has {length} bytes, more than the allowed {MAX_BODY_BYTES}"),
    }
}
