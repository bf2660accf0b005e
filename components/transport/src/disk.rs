//! The data folder of a control VM, with its snapshot and write-ahead log.
//!
//! The file `disk` contains the identity of the disk. A generation consists of a file `snapshot-N`
//! and the file `log-N` with the entries that follow the snapshot. The log is written last, so a
//! generation is complete once its log exists. Files are created atomically: they and the
//! folder are synced before they are used.

use crate::frame::{self, Read};
use crate::wal::{self, Item};
use coordination::consensus::{Ballot, Entry, Index, Ready, Recovery, Snapshot, Term};
use errors::{Error, Result};
use serde::{Deserialize, Serialize};
use state::record::{DiskId, Members};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Length of the log after which a snapshot is taken, unless it is set otherwise.
///
/// At its start, a process applies the log one change at a time before it serves. A longer log
/// delays the start, and takes more memory.
pub const DEFAULT_COMPACT_BYTES: u64 = 512 * 1024;

/// Header of a snapshot file.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Header {
    index: Index,
    term: Term,
    members: Members,
}

/// The open data folder of a control VM.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    identity: DiskId,
    /// Current generation.
    generation: u64,
    /// Log of the current generation, open for appending.
    log: File,
    /// Length of the log.
    log_bytes: u64,
    /// Length of the current generation's snapshot.
    snapshot_bytes: u64,
    /// Length of the log after which a snapshot is taken.
    compact_bytes: u64,
    /// Number of syncs since the folder was opened.
    sync_count: u64,
}

impl Folder {
    /// Opens a data folder and reads its content. A new folder gets the identity `new_identity`.
    ///
    /// # Errors
    ///
    /// When files cannot be read or written, or are damaged.
    pub fn open(path: &Path, new_identity: DiskId) -> Result<(Self, Recovery)> {
        fs::create_dir_all(path).map_err(Error::file("create the data folder", path))?;
        let identity = read_or_create_identity(path, new_identity)?;
        let (generation, recovery, valid_bytes) = match newest_generation(path)? {
            Some(generation) => read_generation(path, generation)?,
            None => {
                write_generation(path, 0, &Snapshot::default(), Ballot::default(), &[])?;
                read_generation(path, 0)?
            }
        };
        let log_path = log_path(path, generation);
        let log = OpenOptions::new()
            .append(true)
            .open(&log_path)
            .map_err(Error::file("open the log", &log_path))?;
        // A torn tail is removed before new batches are appended.
        log.set_len(valid_bytes)
            .map_err(Error::file("remove the torn tail of the log", &log_path))?;
        log.sync_all()
            .map_err(Error::file("sync the log", &log_path))?;
        let folder = Folder {
            path: path.to_owned(),
            identity,
            generation,
            log,
            log_bytes: valid_bytes,
            // CAST: `usize` is at most 64 bits on every supported target.
            snapshot_bytes: recovery.snapshot.bytes.len() as u64,
            compact_bytes: DEFAULT_COMPACT_BYTES,
            sync_count: 0,
        };
        folder.remove_older();
        Ok((folder, recovery))
    }

    /// Identity of the disk, created with the folder.
    pub fn identity(&self) -> DiskId {
        self.identity
    }

    /// Whether this control VM may bootstrap a new consensus group: this is the first start of the
    /// fleet, or an earlier start of this process was.
    ///
    /// A process may end before it has reached the other control VMs, and its next start is not
    /// marked as the first start of the fleet. Unless the folder recorded the first start, the
    /// group would never be created.
    ///
    /// # Errors
    ///
    /// When the first start cannot be recorded in the folder.
    pub fn may_bootstrap(&self, is_first_start: bool) -> Result<bool> {
        let file = self.path.join(FIRST_START_FILE);
        if is_first_start && !file.exists() {
            write_atomically(&self.path, FIRST_START_FILE, b"")?;
        }
        Ok(file.exists())
    }

    /// Number of syncs since the folder was opened.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Length of the log in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Sets the length of the log after which a snapshot is taken.
    pub fn set_compact_bytes(&mut self, bytes: u64) {
        self.compact_bytes = bytes;
    }

    /// Writes and syncs what consensus requires on disk before its messages are sent.
    ///
    /// # Errors
    ///
    /// When writing or syncing fails. The process must end then, since it is unknown what the disk
    /// has stored.
    pub fn write(&mut self, ready: &Ready, ballot: Ballot) -> Result<()> {
        if let Some(snapshot) = &ready.install {
            self.start_generation(snapshot, ready.ballot.unwrap_or(ballot), &ready.append)?;
            return Ok(());
        }
        let mut items = Vec::new();
        items.extend(ready.truncate_from.map(Item::Truncate));
        items.extend(ready.append.iter().cloned().map(Item::Entry));
        items.extend(ready.ballot.map(Item::Ballot));
        if items.is_empty() {
            return Ok(());
        }
        let bytes = wal::encode(&items)?;
        let path = log_path(&self.path, self.generation);
        self.log
            .write_all(&bytes)
            .map_err(Error::file("write the log", &path))?;
        self.log
            .sync_data()
            .map_err(Error::file("sync the log", &path))?;
        self.sync_count += 1;
        // CAST: `usize` is at most 64 bits on every supported target.
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Whether the log is long enough for a new snapshot.
    ///
    /// The log must be at least as long as the last snapshot, so that no more bytes are written for
    /// snapshots than for the log.
    pub fn needs_snapshot(&self) -> bool {
        self.log_bytes >= self.compact_bytes.max(self.snapshot_bytes)
    }

    /// Starts a new generation with a snapshot and the entries that follow it.
    ///
    /// # Errors
    ///
    /// When files cannot be written.
    pub fn start_generation(
        &mut self,
        snapshot: &Snapshot,
        ballot: Ballot,
        tail: &[Entry],
    ) -> Result<()> {
        let next = self.generation + 1;
        self.log_bytes = write_generation(&self.path, next, snapshot, ballot, tail)?;
        // CAST: `usize` is at most 64 bits on every supported target.
        self.snapshot_bytes = snapshot.bytes.len() as u64;
        self.sync_count += 3;
        let path = log_path(&self.path, next);
        self.log = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(Error::file("open the log", &path))?;
        self.generation = next;
        self.remove_older();
        Ok(())
    }

    /// Removes the files of older generations.
    fn remove_older(&self) {
        for (generation, path) in generation_files(&self.path).unwrap_or_default() {
            if generation < self.generation {
                // A file that cannot be removed now is removed at the next start.
                let _ = fs::remove_file(path);
            }
        }
    }
}

/// Name of the empty file that records that this folder took part in the first start of the fleet.
const FIRST_START_FILE: &str = "first-start";

/// Reads the identity of the disk; creates it in a folder without any generation.
fn read_or_create_identity(path: &Path, new_identity: DiskId) -> Result<DiskId> {
    let file = path.join("disk");
    match fs::read(&file) {
        Ok(bytes) => {
            let found = match frame::read(&bytes) {
                Read::Valid(body, _) => postcard::from_bytes(body).ok(),
                _ => None,
            };
            found.ok_or_else(|| corrupt("read the disk's identity", &file))
        }
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            if newest_generation(path)?.is_some() {
                return Err(corrupt("find the disk's identity", &file));
            }
            let body = postcard::to_stdvec(&new_identity)
                .map_err(Error::peer("encode the identity", "(this disk)"))?;
            let mut bytes = Vec::new();
            frame::append(&mut bytes, &body);
            write_atomically(path, "disk", &bytes)?;
            Ok(new_identity)
        }
        Err(source) => Err(Error::file("read the disk's identity", &file)(source)),
    }
}

/// Reads a generation; returns its number, its content and the length of its valid log.
fn read_generation(path: &Path, generation: u64) -> Result<(u64, Recovery, u64)> {
    let snapshot = read_snapshot(&snapshot_path(path, generation))?;
    let log = log_path(path, generation);
    let bytes = fs::read(&log).map_err(Error::file("read the log", &log))?;
    let content = wal::decode(&log, &bytes)?;
    let recovery = Recovery {
        ballot: content.ballot,
        snapshot,
        entries: content.entries,
    };
    Ok((generation, recovery, content.valid_bytes))
}

/// Reads the snapshot in a file.
fn read_snapshot(path: &Path) -> Result<Snapshot> {
    let bytes = fs::read(path).map_err(Error::file("read the snapshot", path))?;
    decode_snapshot(&bytes).ok_or_else(|| corrupt("read the snapshot", path))
}

/// Decodes the bytes of a snapshot file; `None` when they are damaged.
pub fn decode_snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let Read::Valid(header, rest) = frame::read(bytes) else {
        return None;
    };
    let Read::Valid(body, []) = frame::read(rest) else {
        return None;
    };
    let header: Header = postcard::from_bytes(header).ok()?;
    Some(Snapshot {
        index: header.index,
        term: header.term,
        members: header.members,
        bytes: Arc::new(body.to_vec()),
    })
}

/// Writes the files of a generation; returns the length of its log.
fn write_generation(
    path: &Path,
    generation: u64,
    snapshot: &Snapshot,
    ballot: Ballot,
    tail: &[Entry],
) -> Result<u64> {
    let header = Header {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
    };
    let header =
        postcard::to_stdvec(&header).map_err(Error::peer("encode a snapshot", "(this disk)"))?;
    let mut bytes = Vec::new();
    frame::append(&mut bytes, &header);
    frame::append(&mut bytes, &snapshot.bytes);
    write_atomically(path, &format!("snapshot-{generation}"), &bytes)?;
    let mut items: Vec<Item> = tail.iter().cloned().map(Item::Entry).collect();
    items.push(Item::Ballot(ballot));
    let log = wal::encode(&items)?;
    write_atomically(path, &format!("log-{generation}"), &log)?;
    Ok(log.len() as u64)
}

/// Writes a file atomically: under a temporary name, synced and then renamed.
fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let path = folder.join(name);
    let write = || -> std::io::Result<()> {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        File::open(folder)?.sync_all()
    };
    write().map_err(Error::file("write a file", &path))
}

/// Newest complete generation: the newest one with a log.
fn newest_generation(path: &Path) -> Result<Option<u64>> {
    let logs = generation_files(path)?.into_iter().filter(|(_, file)| {
        (file.file_name()).is_some_and(|n| n.to_string_lossy().starts_with("log-"))
    });
    Ok(logs.map(|(generation, _)| generation).max())
}

/// Files of all generations, each with its generation.
fn generation_files(path: &Path) -> Result<Vec<(u64, PathBuf)>> {
    let entries = fs::read_dir(path).map_err(Error::file("list the data folder", path))?;
    let mut found = Vec::new();
    for entry in entries {
        let entry = entry.map_err(Error::file("list the data folder", path))?;
        let name = entry.file_name();
        let Some(name) = name.to_str() else {
            continue;
        };
        let number = name.strip_prefix("log-").or(name.strip_prefix("snapshot-"));
        if let Some(number) = number.and_then(|n| n.parse().ok()) {
            found.push((number, entry.path()));
        }
    }
    Ok(found)
}

fn log_path(path: &Path, generation: u64) -> PathBuf {
    path.join(format!("log-{generation}"))
}

fn snapshot_path(path: &Path, generation: u64) -> PathBuf {
    path.join(format!("snapshot-{generation}"))
}

/// Error for a damaged file, with what an operator should do.
fn corrupt(step: &'static str, path: &Path) -> Error {
    Error::Corrupt {
        step,
        path: path.display().to_string(),
        reason: "the file is damaged or missing. Stop this process, move its data folder away \
                 and start it again; it joins as a learner"
            .to_owned(),
    }
}
