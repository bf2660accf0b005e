//! The data folder of a control VM.
//!
//! `disk` holds the identity. A generation is a `snapshot-N` with the `log-N`
//! that follows it; the log's presence makes the generation count. A file
//! counts only once it and the folder are synced.

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

/// Bytes of log after which a snapshot is taken.
///
/// A process that starts applies the log one change after the other before it serves. With
/// 4 MiB, of some 30 configurations of 422 rules, control VMs with 0.15 of a core
/// were ready 2.4 to 3.2 s after a loss of all processes and held 44 MB; with this,
/// 1.3 to 1.6 s and 14 MB.
pub const COMPACT_BYTES: u64 = 512 * 1024;

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Head {
    index: Index,
    term: Term,
    members: Members,
}

/// The open data folder.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    identity: DiskId,
    generation: u64,
    log: File,
    length: u64,
    /// Bytes of the snapshot before the log.
    snapshot: u64,
    compact_bytes: u64,
    syncs: u64,
}

impl Folder {
    /// Opens a folder, or makes it with the identity `fresh`.
    ///
    /// # Errors
    ///
    /// When files cannot be read or written, or are damaged.
    pub fn open(path: &Path, fresh: DiskId) -> Result<(Self, Recovery)> {
        fs::create_dir_all(path).map_err(Error::file("make the data folder", path))?;
        let identity = identity(path, fresh)?;
        let (generation, start, whole) = match newest(path)? {
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
        // A torn tail must go before new batches follow it.
        log.set_len(whole)
            .map_err(Error::file("drop a torn tail", &log_path))?;
        log.sync_all()
            .map_err(Error::file("sync the log", &log_path))?;
        let folder = Folder {
            path: path.to_owned(),
            identity,
            generation,
            log,
            length: whole,
            // CAST: `usize` is at most 64 bits on every supported target.
            snapshot: start.snapshot.bytes.len() as u64,
            compact_bytes: COMPACT_BYTES,
            syncs: 0,
        };
        folder.remove_older();
        Ok((folder, start))
    }

    /// Identity of the disk.
    pub fn identity(&self) -> DiskId {
        self.identity
    }

    /// Whether this disk may begin a group: it was told so now, or at an earlier
    /// start.
    ///
    /// A process may end before it has met the others, and is not told at its next
    /// start that the fleet starts for the first time. If the disk did not
    /// remember, no group would ever begin.
    ///
    /// # Errors
    ///
    /// When the disk refuses.
    pub fn may_bootstrap(&self, told: bool) -> Result<bool> {
        let file = self.path.join(FIRST);
        if told && !file.exists() {
            write_whole(&self.path, FIRST, b"")?;
        }
        Ok(file.exists())
    }

    /// Syncs so far.
    pub fn sync_count(&self) -> u64 {
        self.syncs
    }

    /// Bytes in the log.
    pub fn log_bytes(&self) -> u64 {
        self.length
    }

    /// Takes a snapshot after this many bytes of log instead.
    pub fn set_compact_bytes(&mut self, bytes: u64) {
        self.compact_bytes = bytes;
    }

    /// Writes and syncs what must be on disk before messages are sent.
    ///
    /// # Errors
    ///
    /// When the disk refuses; the process must end then, since it can no
    /// longer know what is safe.
    pub fn write(&mut self, ready: &Ready, hard: Ballot) -> Result<()> {
        if let Some(snapshot) = &ready.install {
            self.start_generation(snapshot, ready.ballot.unwrap_or(hard), &ready.append)?;
            return Ok(());
        }
        let mut items = Vec::new();
        items.extend(ready.truncate_from.map(Item::Cut));
        items.extend(ready.append.iter().cloned().map(Item::Entry));
        items.extend(ready.ballot.map(Item::Hard));
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
        self.syncs += 1;
        // CAST: `usize` is at most 64 bits on every supported target.
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Whether the log has grown enough for a snapshot.
    ///
    /// A large snapshot is not written again for less of a log than itself: at most as
    /// much is written for snapshots as for the log.
    pub fn needs_snapshot(&self) -> bool {
        self.length >= self.compact_bytes.max(self.snapshot)
    }

    /// Begins a new generation with a snapshot and what follows it.
    ///
    /// # Errors
    ///
    /// When files cannot be written.
    pub fn start_generation(
        &mut self,
        snapshot: &Snapshot,
        hard: Ballot,
        tail: &[Entry],
    ) -> Result<()> {
        let next = self.generation + 1;
        self.length = write_generation(&self.path, next, snapshot, hard, tail)?;
        // CAST: `usize` is at most 64 bits on every supported target.
        self.snapshot = snapshot.bytes.len() as u64;
        self.syncs += 3;
        let path = log_path(&self.path, next);
        self.log = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(Error::file("open the log", &path))?;
        self.generation = next;
        self.remove_older();
        Ok(())
    }

    fn remove_older(&self) {
        for (generation, path) in files(&self.path).unwrap_or_default() {
            if generation < self.generation {
                // What is left over is removed at the next start.
                let _ = fs::remove_file(path);
            }
        }
    }
}

/// File that says that this disk was there when the fleet first started.
const FIRST: &str = "first-start";

fn identity(path: &Path, fresh: DiskId) -> Result<DiskId> {
    let file = path.join("disk");
    match fs::read(&file) {
        Ok(bytes) => {
            let found = match frame::read(&bytes) {
                Read::Whole(body, _) => postcard::from_bytes(body).ok(),
                _ => None,
            };
            found.ok_or_else(|| damaged("read the disk's identity", &file))
        }
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            if newest(path)?.is_some() {
                return Err(damaged("find the disk's identity", &file));
            }
            let body = postcard::to_stdvec(&fresh)
                .map_err(Error::peer("encode the identity", "(this disk)"))?;
            let mut bytes = Vec::new();
            frame::push(&mut bytes, &body);
            write_whole(path, "disk", &bytes)?;
            Ok(fresh)
        }
        Err(source) => Err(Error::file("read the disk's identity", &file)(source)),
    }
}

fn read_generation(path: &Path, generation: u64) -> Result<(u64, Recovery, u64)> {
    let snapshot = read_snapshot(&snapshot_path(path, generation))?;
    let log = log_path(path, generation);
    let bytes = fs::read(&log).map_err(Error::file("read the log", &log))?;
    let content = wal::decode(&log, &bytes)?;
    let start = Recovery {
        ballot: content.hard,
        snapshot,
        entries: content.entries,
    };
    Ok((generation, start, content.whole))
}

fn read_snapshot(path: &Path) -> Result<Snapshot> {
    let bytes = fs::read(path).map_err(Error::file("read the snapshot", path))?;
    decode_snapshot(&bytes).ok_or_else(|| damaged("read the snapshot", path))
}

/// Reads a snapshot's bytes; `None` when they are not what was written.
pub fn decode_snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let Read::Whole(head, rest) = frame::read(bytes) else {
        return None;
    };
    let Read::Whole(body, []) = frame::read(rest) else {
        return None;
    };
    let head: Head = postcard::from_bytes(head).ok()?;
    Some(Snapshot {
        index: head.index,
        term: head.term,
        members: head.members,
        bytes: Arc::new(body.to_vec()),
    })
}

fn write_generation(
    path: &Path,
    generation: u64,
    snapshot: &Snapshot,
    hard: Ballot,
    tail: &[Entry],
) -> Result<u64> {
    let head = Head {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
    };
    let head =
        postcard::to_stdvec(&head).map_err(Error::peer("encode a snapshot", "(this disk)"))?;
    let mut bytes = Vec::new();
    frame::push(&mut bytes, &head);
    frame::push(&mut bytes, &snapshot.bytes);
    write_whole(path, &format!("snapshot-{generation}"), &bytes)?;
    let mut items: Vec<Item> = tail.iter().cloned().map(Item::Entry).collect();
    items.push(Item::Hard(hard));
    let log = wal::encode(&items)?;
    write_whole(path, &format!("log-{generation}"), &log)?;
    Ok(log.len() as u64)
}

/// Writes a file so that it is there whole or not at all.
fn write_whole(folder: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let draft = folder.join(format!("{name}.new"));
    let path = folder.join(name);
    let write = || -> std::io::Result<()> {
        let mut file = File::create(&draft)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&draft, &path)?;
        File::open(folder)?.sync_all()
    };
    write().map_err(Error::file("write a file", &path))
}

/// Newest generation whose log is there.
fn newest(path: &Path) -> Result<Option<u64>> {
    let logs = files(path)?.into_iter().filter(|(_, file)| {
        (file.file_name()).is_some_and(|n| n.to_string_lossy().starts_with("log-"))
    });
    Ok(logs.map(|(generation, _)| generation).max())
}

/// Files of all generations.
fn files(path: &Path) -> Result<Vec<(u64, PathBuf)>> {
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

fn damaged(step: &'static str, path: &Path) -> Error {
    Error::Corrupt {
        step,
        path: path.display().to_string(),
        reason: "the file is damaged or missing. Stop this process, move its data folder away \
                 and start it again; it joins as a learner"
            .to_owned(),
    }
}
