//! Tests of the log of origins: restarts, expiry and damaged files.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use coordination::origin::{Key, Origin, Origins, KEPT_MS};
use state::clock::Millis;
use state::id::{CustomerId, ServiceId, Software};
use std::fs;
use std::path::{Path, PathBuf};
use transport::origins::Log;

fn origin(n: u32, version: &str) -> (Key, Origin) {
    let origin = Origin {
        service: ServiceId(1),
        software: Software::of(version),
    };
    (Key::of(CustomerId(1), &n.to_be_bytes()), origin)
}

fn open(folder: &Path) -> (Log, Vec<(Key, Origin)>) {
    Log::open(folder, Millis(0)).unwrap()
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|e| e.unwrap().path()).collect();
    paths.sort();
    paths
}

/// Guards against origins that are lost when a control VM loses power, several times in a row.
#[test]
fn finds_origins_after_each_restart() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, stored) = open(folder.path());
    assert!(stored.is_empty());
    let batch = [origin(1, "v1"), origin(2, "v2")];
    log.append(Millis(0), &batch).unwrap();
    log.append(Millis(10), &[origin(3, "v1")]).unwrap();
    for _ in 0..3 {
        drop(log);
        let (again, stored) = open(folder.path());
        assert_eq!(stored, [origin(1, "v1"), origin(2, "v2"), origin(3, "v1")]);
        assert_eq!(segments(folder.path()).len(), 1);
        log = again;
    }
}

/// Guards against a stream of two origins that goes on at one of them after a restart.
#[test]
fn finds_both_origins_of_an_ambiguous_stream() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path());
    log.append(Millis(0), &[origin(1, "v1")]).unwrap();
    log.append(Millis(10), &[origin(1, "v2")]).unwrap();
    drop(log);
    let (_, stored) = open(folder.path());
    let mut origins = Origins::default();
    for (key, origin) in stored {
        origins.record(Millis(0), key, origin);
    }
    assert_eq!(origins.get(Millis(0), origin(1, "v1").0), None);
}

/// Guards against a log that grows without bound, and against origins that are removed before the
/// time for which they are kept is over.
#[test]
fn removes_origins_that_are_no_longer_kept() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path());
    for n in 0..40 {
        let now = Millis(u64::from(n) * KEPT_MS / 4);
        log.append(now, &[origin(n, "v1")]).unwrap();
        assert!(segments(folder.path()).len() <= 2);
    }
    drop(log);
    let (_, stored) = open(folder.path());
    for n in 36..40 {
        assert!(stored.contains(&origin(n, "v1")), "{n}");
    }
    assert!(stored.len() <= 8, "{}", stored.len());
}

/// Guards against a process that does not start, or takes garbage for origins, after a write was torn
/// or a file was damaged.
#[test]
fn ignores_what_is_damaged() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path());
    log.append(Millis(0), &[origin(1, "v1")]).unwrap();
    log.append(Millis(10), &[origin(2, "v1")]).unwrap();
    drop(log);
    let path = segments(folder.path()).pop().unwrap();
    let whole = fs::read(&path).unwrap();
    for length in 0..whole.len() {
        fs::write(&path, &whole[..length]).unwrap();
        let copy = tempfile::tempdir().unwrap();
        fs::copy(&path, copy.path().join("origins-0")).unwrap();
        let (_, stored) = open(copy.path());
        let expected = [origin(1, "v1"), origin(2, "v1")];
        assert!(expected.starts_with(&stored), "{length}: {stored:?}");
    }
    let mut damaged = whole.clone();
    let last = damaged.len() - 1;
    damaged[last] ^= 1;
    fs::write(&path, &damaged).unwrap();
    let (_, stored) = open(folder.path());
    assert_eq!(stored, [origin(1, "v1")]);
}
