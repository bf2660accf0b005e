//! The write-ahead log of one generation: batches of items, each synced before the next.

use crate::frame::{self, Read};
use coordination::consensus::{Ballot, Entry, Index};
use errors::{Error, Result};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// An item of a batch in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// Removes the entry with this index and all later ones.
    #[serde(rename = "cut")]
    Truncate(Index),
    /// Appends an entry.
    Entry(Entry),
    /// Sets term and vote.
    #[serde(rename = "hard")]
    Ballot(Ballot),
}

/// Content of a log, after all its batches are applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Latest term and vote.
    pub ballot: Ballot,
    /// Entries in order.
    pub entries: Vec<Entry>,
    /// Length of the valid batches; what follows is a torn tail.
    pub valid_bytes: u64,
}

/// Encodes a batch as one frame.
///
/// # Errors
///
/// When an item cannot be encoded.
pub fn encode(items: &[Item]) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(items).map_err(Error::peer("encode a batch", "(this disk)"))?;
    let mut bytes = Vec::with_capacity(frame::HEADER_BYTES + body.len());
    frame::append(&mut bytes, &body);
    Ok(bytes)
}

/// Reads a log. A torn tail is ignored; any other damage is an error.
///
/// # Errors
///
/// [`Error::Corrupt`] when the damage is not a torn tail. Without the damaged batch, this control
/// VM would break promises that it has made to the others, and an accepted change could be lost.
pub fn decode(path: &Path, bytes: &[u8]) -> Result<Content> {
    let mut content = Content::default();
    let mut rest = bytes;
    loop {
        match frame::read(rest) {
            Read::End => return Ok(content),
            Read::Valid(body, after) => {
                let items: Vec<Item> =
                    postcard::from_bytes(body).map_err(|e| corrupt(path, e.to_string()))?;
                for item in items {
                    content.apply(item).map_err(|e| corrupt(path, e))?;
                }
                rest = after;
                // CAST: `usize` is at most 64 bits on every supported target.
                content.valid_bytes = (bytes.len() - rest.len()) as u64;
            }
            Read::Invalid if frame::has_later_frame(rest) => {
                let at = content.valid_bytes;
                return Err(corrupt(
                    path,
                    format!("the bytes from offset {at} on are damaged"),
                ));
            }
            Read::Invalid => return Ok(content),
        }
    }
}

impl Content {
    /// Applies an item.
    ///
    /// # Errors
    ///
    /// A reason, when an entry does not follow the last one.
    fn apply(&mut self, item: Item) -> Result<(), String> {
        match item {
            Item::Ballot(ballot) => self.ballot = ballot,
            Item::Truncate(index) => self.entries.retain(|e| e.index < index),
            Item::Entry(entry) => {
                if self
                    .entries
                    .last()
                    .is_some_and(|last| last.index.next() != entry.index)
                {
                    return Err(format!(
                        "entry {} does not follow the entry before it",
                        entry.index.0
                    ));
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }
}

/// Error for a damaged log, with what an operator should do.
fn corrupt(path: &Path, reason: String) -> Error {
    Error::Corrupt {
        step: "read the log",
        path: path.display().to_string(),
        reason: format!(
            "{reason}. This disk can no longer be trusted: stop this process, move its data \
             folder away and start it again; it joins as a learner and receives the log from the \
             other control VMs"
        ),
    }
}
