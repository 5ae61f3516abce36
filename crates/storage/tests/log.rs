//! The basic functions of the log: order, positions, segments, snapshots, full disks and real files.

mod common;

use common::{SMALL, batch, bytes, open, segment, texts};
use pewterseam_storage::{DataFolder, Log, LogOptions, SimulatedFiles, StorageError, open_disk_id};

/// Guards against more than one sync per batch.
#[test]
fn batch_is_written_with_one_sync() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, LogOptions::default())?;
    log.append(&batch(&["first"]))?;
    let before = files.syncs();
    log.append(&batch(&["a", "b", "c", "d"]))?;
    assert_eq!(files.syncs(), before + 1);
    Ok(())
}

/// Guards against positions that refer to the wrong record, before and after a restart and across segments.
#[test]
fn positions_refer_to_their_records() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    let mut written = Vec::new();
    for number in 0..40 {
        let texts = [format!("record {number}"), format!("second {number} with more")];
        let payloads: Vec<_> = texts.iter().map(|text| bytes(text)).collect();
        written.extend(log.append(&payloads)?.into_iter().zip(payloads));
    }
    assert!(log.segments().count() > 3);
    for (position, payload) in &written {
        assert_eq!(log.read(*position)?, *payload);
    }
    let (mut log, found) = open(&files, SMALL)?;
    for ((position, payload), (sequence, (_, found_at, found))) in written.iter().zip((1..).zip(&found)) {
        assert_eq!(Some(*position), *found_at);
        assert_eq!(payload, found);
        assert_eq!(found_at.map(|_| sequence), Some(sequence));
        assert_eq!(log.read(*position)?, *payload);
    }
    let first = written[0].0;
    log.remove_before(first.segment + 1)?;
    assert!(log.read(first).is_err());
    Ok(())
}

/// Guards against segments that grow without bound, and against removal of the segment that is written to.
#[test]
fn segment_size_is_bounded_and_last_segment_is_kept() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    for number in 0..200 {
        log.append(&[bytes(&format!("some bytes of record {number}"))])?;
    }
    assert!(log.segments().all(|(_, bytes)| bytes < 2 * SMALL.segment_bytes));
    log.remove_before(u64::MAX)?;
    assert_eq!(log.segments().count(), 1);
    log.append(&batch(&["last"]))?;
    assert_eq!(texts(&files, SMALL)?.last().map(String::as_str), Some("last"));
    Ok(())
}

/// Guards against recovering records that a snapshot covers, and against sequence numbers that restart.
#[test]
fn snapshot_replaces_the_records_that_it_covers() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    for number in 0..30 {
        log.append(&[bytes(&format!("some bytes of record {number}"))])?;
    }
    log.snapshot(29, batch(&["state of 29"]))?;
    assert_eq!(texts(&files, SMALL)?, ["state of 29", "some bytes of record 29"]);
    let (mut log, _) = open(&files, SMALL)?;
    assert_eq!(log.last_sequence(), 30);
    log.snapshot(30, Vec::new())?;
    assert_eq!(log.segments().count(), 0);
    log.append(&batch(&["31"]))?;
    assert_eq!(log.last_sequence(), 31);
    let (log, found) = open(&files, SMALL)?;
    assert_eq!(log.last_sequence(), 31);
    assert_eq!(found.iter().map(|(sequence, ..)| *sequence).collect::<Vec<_>>(), [31]);
    Ok(())
}

/// Guards against a full disk that stops the log permanently, loses acknowledged records, or leaves records that were not
/// acknowledged.
#[test]
fn log_recovers_from_a_full_disk() -> Result<(), StorageError> {
    for free_bytes in 0..80 {
        let files = SimulatedFiles::new();
        let (mut log, _) = open(&files, SMALL)?;
        log.append(&batch(&["one"]))?;
        files.set_capacity(Some(files.bytes() + free_bytes));
        let result = log.append(&[bytes(&"x".repeat(80))]);
        assert!(result.is_err_and(|error| error.is_full()), "free_bytes {free_bytes}");
        assert!(log.append(&[bytes(&"y".repeat(80))]).is_err());
        files.set_capacity(None);
        log.append(&batch(&["two"]))?;
        files.lose_power(free_bytes);
        assert_eq!(texts(&files, SMALL)?, ["one", "two"], "free_bytes {free_bytes}");
    }
    Ok(())
}

/// Guards against an incomplete new segment that a full disk leaves behind and that blocks later writes.
#[test]
fn log_recovers_from_a_full_disk_at_a_new_segment() -> Result<(), StorageError> {
    for free_bytes in 0..40 {
        let files = SimulatedFiles::new();
        let (mut log, _) = open(&files, LogOptions { segment_bytes: 1 })?;
        log.append(&batch(&["one"]))?;
        files.set_capacity(Some(files.bytes() + free_bytes));
        assert!(log.append(&batch(&["two"])).is_err());
        files.lose_power(free_bytes);
        files.set_capacity(None);
        let found = texts(&files, SMALL)?;
        assert_eq!(found.first().map(String::as_str), Some("one"));
        let (mut log, _) = open(&files, LogOptions { segment_bytes: 1 })?;
        log.append(&batch(&["three"]))?;
        assert_eq!(texts(&files, SMALL)?.last().map(String::as_str), Some("three"));
    }
    Ok(())
}

/// Guards against writing an empty or oversized payload that cannot be read back.
#[test]
fn invalid_payloads_are_rejected() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    log.append(&batch(&["one"]))?;
    assert!(matches!(log.append(&batch(&["two", ""])), Err(StorageError::PayloadSize(0))));
    log.append(&batch(&["three"]))?;
    assert_eq!(texts(&files, SMALL)?, ["one", "three"]);
    Ok(())
}

/// Guards against real files that behave differently from the simulated ones.
#[test]
fn log_works_on_real_files() -> Result<(), Box<dyn std::error::Error>> {
    let path = std::env::temp_dir().join(format!("pewterseam-storage-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let mut folder = DataFolder::open(&path)?;
    let id = open_disk_id(&mut folder)?;
    let mut log = Log::open(folder, SMALL, &mut |_| {})?;
    let mut positions = Vec::new();
    for number in 0..50 {
        positions.extend(log.append(&[bytes(&format!("record number {number}")), bytes("another")])?);
    }
    log.remove_before(3)?;
    drop(log);
    // Tears the tail of the last segment.
    let last = segment(positions.last().map_or(0, |position| position.segment));
    let content = std::fs::read(path.join(&last))?;
    std::fs::write(path.join(&last), &content[..content.len() - 1])?;
    let mut folder = DataFolder::open(&path)?;
    assert_eq!(open_disk_id(&mut folder)?, id);
    let mut found = Vec::new();
    let mut log = Log::open(folder, SMALL, &mut |record| found.push(record.payload.to_vec()))?;
    assert_eq!(log.last_sequence(), 99);
    assert_eq!(found.last().map(Vec::as_slice), Some(b"record number 49".as_slice()));
    log.snapshot(99, batch(&["state"]))?;
    log.append(&batch(&["after"]))?;
    drop(log);
    let mut found = Vec::new();
    Log::open(DataFolder::open(&path)?, SMALL, &mut |record| found.push(record.payload.to_vec()))?;
    assert_eq!(found, [b"state".to_vec(), b"after".to_vec()]);
    std::fs::remove_dir_all(&path)?;
    Ok(())
}
