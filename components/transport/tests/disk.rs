//! Tests of the data folder of a control VM: restarts, snapshots, and damaged files.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use coordination::consensus::{Ballot, Entry, Index, Ready, Recovery, Snapshot, Term};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::config::Draft;
use state::record::{DiskId, Record, Release};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use transport::disk::{decode_snapshot, Folder};
use transport::wal::{self, Item};

fn entry(index: u64) -> Entry {
    Entry {
        term: Term(1),
        index: Index(index),
        record: Record::NoOp,
    }
}

fn append(indexes: std::ops::RangeInclusive<u64>) -> Ready {
    Ready {
        append: indexes.map(entry).collect(),
        ..Ready::default()
    }
}

fn open(path: &Path) -> (Folder, Recovery) {
    Folder::open(path, DiskId(7)).unwrap()
}

fn log_file(path: &Path) -> PathBuf {
    let files = fs::read_dir(path).unwrap().map(|e| e.unwrap().path());
    let mut logs = files.filter(|p| p.display().to_string().contains("/log-"));
    logs.next().unwrap()
}

#[test]
fn can_read_back_what_was_written() {
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, recovery) = open(folder.path());
    assert_eq!(recovery, Recovery::default());
    disk.write(&append(1..=3), Ballot::default()).unwrap();
    let ballot = Ballot {
        term: Term(2),
        vote: Some(DiskId(9)),
    };
    let ready = Ready {
        truncate_from: Some(Index(3)),
        append: vec![entry(3), entry(4)],
        ballot: Some(ballot),
        ..Ready::default()
    };
    disk.write(&ready, ballot).unwrap();
    drop(disk);
    let (disk, recovery) = Folder::open(folder.path(), DiskId(8)).unwrap();
    // The identity of the first start is kept.
    assert_eq!(disk.identity(), DiskId(7));
    assert_eq!(recovery.ballot, ballot);
    assert_eq!(recovery.entries, (1..=4).map(entry).collect::<Vec<_>>());
}

#[test]
fn can_go_on_from_a_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(folder.path());
    disk.write(&append(1..=9), Ballot::default()).unwrap();
    let snapshot = Snapshot {
        index: Index(7),
        term: Term(1),
        bytes: Arc::new(b"state".to_vec()),
        ..Snapshot::default()
    };
    disk.start_generation(&snapshot, Ballot::default(), &[entry(8), entry(9)])
        .unwrap();
    disk.write(&append(10..=10), Ballot::default()).unwrap();
    drop(disk);
    let (_, recovery) = open(folder.path());
    assert_eq!(recovery.snapshot, snapshot);
    assert_eq!(recovery.entries, (8..=10).map(entry).collect::<Vec<_>>());
    // One generation is left: the identity, a snapshot and a log.
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 3);
}

#[test]
fn can_drop_a_tail_torn_at_any_byte() {
    // Symptom: a control VM does not start after a power failure, or starts with half a record.
    // Sequence: the power fails while a batch is written to the log.
    // Cause: the incomplete batch is read as damage, or as a batch.
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(folder.path());
    disk.write(&append(1..=2), Ballot::default()).unwrap();
    let valid_bytes = disk.log_bytes();
    disk.write(&append(3..=5), Ballot::default()).unwrap();
    drop(disk);
    let file = log_file(folder.path());
    let bytes = fs::read(&file).unwrap();
    for cut in usize::try_from(valid_bytes).unwrap()..bytes.len() {
        fs::write(&file, &bytes[..cut]).unwrap();
        let (mut disk, recovery) = open(folder.path());
        assert_eq!(recovery.entries.len(), 2, "cut at {cut}");
        disk.write(&append(3..=3), Ballot::default()).unwrap();
        drop(disk);
        assert_eq!(open(folder.path()).1.entries.len(), 3);
    }
}

#[test]
fn errors_when_bytes_in_the_middle_have_changed() {
    // Symptom: an accepted change is lost after a restart.
    // Sequence: a bit flips in a batch of the log that other batches follow.
    // Cause: the damage is handled as a torn tail.
    let batch = |range: std::ops::RangeInclusive<u64>| {
        wal::encode(&range.map(|n| Item::Entry(entry(n))).collect::<Vec<_>>()).unwrap()
    };
    let first = batch(1..=4);
    let all = [first.clone(), batch(5..=6), batch(7..=7)].concat();
    for at in 0..first.len() {
        for bit in 0..8 {
            let mut bytes = all.clone();
            bytes[at] ^= 1 << bit;
            let read = wal::decode(Path::new("log"), &bytes);
            assert!(read.is_err(), "bit {bit} of byte {at}");
        }
    }
}

#[test]
fn can_read_any_damaged_bytes_without_a_wrong_record() {
    // Each round damages a log and a snapshot. `FUZZ_ROUNDS` sets the number of rounds.
    let rounds = std::env::var("FUZZ_ROUNDS")
        .ok()
        .and_then(|r| r.parse().ok())
        .unwrap_or(3000);
    let mut rng = Pcg64::seed_from_u64(1);
    let batches: Vec<Vec<u8>> = (0..8)
        .map(|n| {
            let items: Vec<Item> = (n * 3 + 1..=n * 3 + 3)
                .map(|i| Item::Entry(entry(i)))
                .collect();
            wal::encode(&items).unwrap()
        })
        .collect();
    let log = batches.concat();
    let mut snapshot = Vec::new();
    transport::frame::append(&mut snapshot, &[1, 1, 0, 0]);
    transport::frame::append(&mut snapshot, b"the state");
    assert!(decode_snapshot(&snapshot).is_some());
    for _ in 0..rounds {
        let mut bytes = log.clone();
        damage(&mut rng, &mut bytes);
        if let Ok(content) = wal::decode(Path::new("log"), &bytes) {
            // The entries that are read are a prefix of those that were written.
            let count = u64::try_from(content.entries.len()).unwrap();
            assert_eq!(content.entries, (1..=count).map(entry).collect::<Vec<_>>());
        }
        let mut bytes = snapshot.clone();
        damage(&mut rng, &mut bytes);
        if bytes != snapshot {
            assert!(decode_snapshot(&bytes).is_none());
        }
    }
}

/// Truncates the bytes, flips a bit or zeroes a range, up to three times.
fn damage(rng: &mut Pcg64, bytes: &mut Vec<u8>) {
    for _ in 0..rng.random_range(1..4) {
        match rng.random_range(0..3) {
            0 => bytes.truncate(rng.random_range(0..=bytes.len())),
            1 if !bytes.is_empty() => {
                let at = rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << rng.random_range(0..8);
            }
            _ if !bytes.is_empty() => {
                let from = rng.random_range(0..bytes.len());
                let to = rng.random_range(from..=bytes.len());
                bytes[from..to].fill(0);
            }
            _ => {}
        }
    }
}

#[test]
fn errors_when_the_identity_is_missing_beside_a_log() {
    let folder = tempfile::tempdir().unwrap();
    drop(open(folder.path()));
    fs::remove_file(folder.path().join("disk")).unwrap();
    let error = Folder::open(folder.path(), DiskId(1))
        .unwrap_err()
        .to_string();
    assert!(error.contains("joins as a learner"), "{error}");
}

#[test]
fn can_take_a_snapshot_before_the_log_is_slow_to_apply() {
    // Symptom: after all processes are lost, routers refuse all requests for three seconds.
    // Sequence: operators change a large configuration some thirty times; all processes are lost
    // and start again.
    // Cause: all these changes are still in the log, and are applied again one at a time.
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(folder.path());
    let change = |index| Entry {
        record: Record::Release(Box::new(Release {
            number: index,
            document: vec![b'{'; 150_000],
            draft: Draft::default(),
        })),
        ..entry(index)
    };
    let mut changes = 0;
    while !disk.needs_snapshot() {
        changes += 1;
        let ready = Ready {
            append: vec![change(changes)],
            ..Ready::default()
        };
        disk.write(&ready, Ballot::default()).unwrap();
    }
    assert!(changes <= 4, "{changes}");
}

#[test]
fn can_wait_for_a_long_log_after_a_large_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(folder.path());
    disk.set_compact_bytes(4096);
    let snapshot = Snapshot {
        index: Index(1),
        term: Term(1),
        bytes: Arc::new(vec![1; 100_000]),
        ..Snapshot::default()
    };
    disk.start_generation(&snapshot, Ballot::default(), &[])
        .unwrap();
    let mut last = 1;
    while disk.log_bytes() < 90_000 {
        disk.write(&append(last + 1..=last + 500), Ballot::default())
            .unwrap();
        last += 500;
        assert!(!disk.needs_snapshot(), "at {} bytes", disk.log_bytes());
    }
    drop(disk);
    // The length of the snapshot is known again after a restart.
    let (mut disk, _) = open(folder.path());
    disk.set_compact_bytes(4096);
    assert!(!disk.needs_snapshot());
}
