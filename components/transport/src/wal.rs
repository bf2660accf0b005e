//! The write-ahead log of one generation: batches of items, each one synced.

use crate::frame::{self, Read};
use coordination::consensus::{Ballot, Entry, Index};
use errors::{Error, Result};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One item of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// Drop this place and all after it.
    Cut(Index),
    /// An entry.
    Entry(Entry),
    /// Term and vote.
    Hard(Ballot),
}

/// What a log holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Latest term and vote.
    pub hard: Ballot,
    /// Entries in order.
    pub entries: Vec<Entry>,
    /// Bytes that are whole; what follows is a torn tail.
    pub whole: u64,
}

/// Encodes a batch as one frame.
///
/// # Errors
///
/// When an item cannot be encoded.
pub fn encode(items: &[Item]) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(items).map_err(Error::peer("encode a batch", "(this disk)"))?;
    let mut bytes = Vec::with_capacity(frame::HEAD + body.len());
    frame::push(&mut bytes, &body);
    Ok(bytes)
}

/// Reads a log; a torn tail is left out, any other damage refused.
///
/// # Errors
///
/// [`Error::Corrupt`] when the damage is not a torn tail. Going on without the
/// damaged batch would take back what this disk has promised: one would see an
/// accepted change gone.
pub fn decode(path: &Path, bytes: &[u8]) -> Result<Content> {
    let mut content = Content::default();
    let mut rest = bytes;
    loop {
        match frame::read(rest) {
            Read::End => return Ok(content),
            Read::Whole(body, after) => {
                let items: Vec<Item> =
                    postcard::from_bytes(body).map_err(|e| corrupt(path, e.to_string()))?;
                for item in items {
                    content.take(item).map_err(|e| corrupt(path, e))?;
                }
                rest = after;
                // CAST: `usize` is at most 64 bits on every supported target.
                content.whole = (bytes.len() - rest.len()) as u64;
            }
            Read::Broken if frame::whole_after(rest) => {
                let at = content.whole;
                return Err(corrupt(
                    path,
                    format!("the bytes from {at} on have changed"),
                ));
            }
            Read::Broken => return Ok(content),
        }
    }
}

impl Content {
    fn take(&mut self, item: Item) -> Result<(), String> {
        match item {
            Item::Hard(hard) => self.hard = hard,
            Item::Cut(index) => self.entries.retain(|e| e.index < index),
            Item::Entry(entry) => {
                if self
                    .entries
                    .last()
                    .is_some_and(|last| last.index.next() != entry.index)
                {
                    return Err(format!("entry {} does not follow", entry.index.0));
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }
}

fn corrupt(path: &Path, reason: String) -> Error {
    Error::Corrupt {
        step: "read the log",
        path: path.display().to_string(),
        reason: format!(
            "{reason}. This disk can no longer be trusted: stop this process, move its data \
             folder away and start it again; it joins as a learner and is given the log by the \
             other control VMs"
        ),
    }
}
