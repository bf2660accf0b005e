//! Recent steps of the view, encoded, for children that have missed some of them.

use crate::prelude::*;
use std::collections::VecDeque;
use std::ops::Range;

/// Most bytes of encoded steps that are kept.
pub const HISTORY_BYTES_MAX: usize = 1024 * 1024;
/// Most steps that are kept, which bounds the memory beside their bytes.
pub const HISTORY_STEPS_MAX: usize = 256;

/// An encoded step.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    version: Version,
    bytes: Box<[u8]>,
}

/// What a process with an older version of the view is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missed<'a> {
    /// It has missed nothing.
    Nothing,
    /// The encoded steps that it lacks, oldest first.
    Steps(Vec<&'a [u8]>),
    /// The whole view, which is shorter than the steps, or not all of them are kept.
    Whole,
}

/// The latest steps, without a gap, up to [`HISTORY_BYTES_MAX`] bytes.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Steps, oldest first.
    entries: VecDeque<Entry>,
    /// Sum of the lengths of `entries`.
    bytes: usize,
}

impl History {
    /// Adds the step that leads to a version.
    pub fn push(&mut self, version: Version, bytes: Box<[u8]>) {
        let is_next = |last: &Entry| last.version.0 + 1 == version.0;
        if !self.entries.back().is_none_or(is_next) {
            self.clear();
        }
        self.bytes += bytes.len();
        self.entries.push_back(Entry { version, bytes });
        while self.bytes > HISTORY_BYTES_MAX || self.entries.len() > HISTORY_STEPS_MAX {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes.len();
        }
    }

    /// Removes all steps.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Bytes of the encoded steps.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What a process that has `version` lacks of `head`, the version of the view. `whole_bytes`
    /// returns the encoded length of the view.
    pub fn missed<F>(&self, version: Version, head: Version, whole_bytes: F) -> Missed<'_>
    where
        F: FnOnce() -> usize,
    {
        if version >= head {
            return Missed::Nothing;
        }
        let first = self.entries.front().map(|entry| entry.version.0);
        let last = self.entries.back().map(|entry| entry.version);
        if last != Some(head) || first.is_none_or(|first| first > version.0 + 1) {
            return Missed::Whole;
        }
        let lacked = self.entries.iter().filter(|entry| entry.version > version);
        let steps: Vec<&[u8]> = lacked.map(|entry| &*entry.bytes).collect();
        let bytes: usize = steps.iter().map(|step| step.len()).sum();
        match bytes > whole_bytes() {
            true => Missed::Whole,
            false => Missed::Steps(steps),
        }
    }
}

/// Divides consecutive steps of these lengths into ranges of at most `most` bytes each. A longer
/// step gets a range of its own.
pub fn ranges(lengths: &[usize], most: usize) -> Vec<Range<usize>> {
    let mut ranges: Vec<Range<usize>> = Vec::new();
    let mut bytes = 0;
    for (index, length) in lengths.iter().enumerate() {
        match ranges.last_mut() {
            Some(range) if bytes + length <= most => {
                range.end = index + 1;
                bytes += length;
            }
            _ => {
                ranges.push(index..index + 1);
                bytes = *length;
            }
        }
    }
    ranges
}
