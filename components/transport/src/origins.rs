//! Origins of streams on the disk of a control VM: what its memory had before a loss of power.
//!
//! Segments `origins-N` follow each other. Each holds batches of origins, one frame a batch. A
//! segment is removed once the one after it has covered the time for which origins are kept. What a
//! damaged segment has lost is not known, and streams of unknown origin are rejected.

use crate::frame::{self, Read};
use coordination::origin::{Key, Origin, KEPT_MS, ORIGINS_MAX};
use errors::{Error, Result};
use state::clock::Millis;
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Prefix of the names of segments.
const PREFIX: &str = "origins-";

/// The open log of origins.
#[derive(Debug)]
pub struct Log {
    folder: PathBuf,
    /// Segment that is written, and its number.
    file: File,
    number: u64,
    /// When the segment was begun, and the number of origins in it.
    began_at: Millis,
    origins: usize,
    /// Length of the segment.
    length: u64,
    /// Bytes written, and syncs, since the log was opened.
    bytes: u64,
    sync_count: u64,
}

impl Log {
    /// Opens the log in a data folder, and returns the origins that it has. They are kept as if they
    /// had just been reported.
    ///
    /// # Errors
    ///
    /// When files cannot be read or written.
    pub fn open(folder: &Path, now: Millis) -> Result<(Self, Vec<(Key, Origin)>)> {
        fs::create_dir_all(folder).map_err(Error::file("create the data folder", folder))?;
        let segments = segments(folder)?;
        let mut stored = Vec::new();
        let mut seen = BTreeSet::new();
        for (_, path) in &segments {
            // A file that cannot be read is as good as a damaged one.
            let origins = decode(&fs::read(path).unwrap_or_default());
            // Two origins of one stream are both kept: they make it ambiguous.
            stored.extend(
                origins
                    .into_iter()
                    .filter(|(key, origin)| seen.insert((*key, origin.service, origin.software))),
            );
        }
        let excess = stored.len().saturating_sub(ORIGINS_MAX);
        stored.drain(..excess);
        let number = segments.last().map_or(0, |(number, _)| number + 1);
        let mut log = Log {
            folder: folder.to_owned(),
            file: create(folder, number)?,
            number,
            began_at: now,
            origins: 0,
            length: 0,
            bytes: 0,
            sync_count: 1,
        };
        // Written again, so that one more start soon after this one finds them, too.
        if !stored.is_empty() {
            log.write(&stored)?;
        }
        for (_, path) in segments {
            // One that cannot be removed now is removed at the next start.
            let _ = fs::remove_file(path);
        }
        Ok((log, stored))
    }

    /// Bytes written since the log was opened.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Syncs since the log was opened.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Writes and syncs a batch of origins.
    ///
    /// # Errors
    ///
    /// When writing or syncing fails. The batch may then be lost.
    pub fn append(&mut self, now: Millis, origins: &[(Key, Origin)]) -> Result<()> {
        if now.since(self.began_at) >= KEPT_MS || self.origins >= ORIGINS_MAX {
            self.file = create(&self.folder, self.number + 1)?;
            if let Some(before) = self.number.checked_sub(1) {
                // One that cannot be removed now is removed at the next start.
                let _ = fs::remove_file(self.folder.join(format!("{PREFIX}{before}")));
            }
            self.number += 1;
            self.began_at = now;
            self.origins = 0;
            self.length = 0;
            self.sync_count += 1;
        }
        let written = self.write(origins);
        if written.is_err() {
            // Batches behind a torn one would not be read. If this fails too, they are lost.
            let _ = self.file.set_len(self.length);
        }
        written
    }

    /// Writes and syncs a batch of origins to the present segment.
    fn write(&mut self, origins: &[(Key, Origin)]) -> Result<()> {
        let body = postcard::to_stdvec(origins)
            .map_err(Error::peer("encode origins", "(this process)"))?;
        let mut bytes = Vec::with_capacity(frame::HEADER_BYTES + body.len());
        frame::append(&mut bytes, &body);
        let path = self.folder.join(format!("{PREFIX}{}", self.number));
        self.file
            .write_all(&bytes)
            .map_err(Error::file("write origins", &path))?;
        self.file
            .sync_data()
            .map_err(Error::file("sync origins", &path))?;
        self.origins += origins.len();
        // CAST: `usize` is at most 64 bits on every supported target.
        let length = bytes.len() as u64;
        self.length += length;
        self.bytes += length;
        self.sync_count += 1;
        Ok(())
    }
}

/// Origins of a segment, up to the first batch that is torn or damaged.
fn decode(bytes: &[u8]) -> Vec<(Key, Origin)> {
    let mut origins = Vec::new();
    let mut rest = bytes;
    while let Read::Valid(body, after) = frame::read(rest) {
        let Ok(batch) = postcard::from_bytes::<Vec<(Key, Origin)>>(body) else {
            break;
        };
        origins.extend(batch);
        rest = after;
    }
    origins
}

/// Segments of a folder with their numbers, in order.
fn segments(folder: &Path) -> Result<Vec<(u64, PathBuf)>> {
    let entries = fs::read_dir(folder).map_err(Error::file("list the data folder", folder))?;
    let mut found = Vec::new();
    for entry in entries {
        let entry = entry.map_err(Error::file("list the data folder", folder))?;
        let name = entry.file_name();
        let number = name.to_str().and_then(|n| n.strip_prefix(PREFIX));
        if let Some(number) = number.and_then(|n| n.parse().ok()) {
            found.push((number, entry.path()));
        }
    }
    found.sort();
    Ok(found)
}

/// Creates a segment.
fn create(folder: &Path, number: u64) -> Result<File> {
    let path = folder.join(format!("{PREFIX}{number}"));
    let mut options = OpenOptions::new();
    let created = options.create(true).append(true).open(&path);
    let file = created.map_err(Error::file("create a segment of origins", &path))?;
    let sync_folder = || File::open(folder)?.sync_all();
    sync_folder().map_err(Error::file("sync the data folder", folder))?;
    Ok(file)
}
