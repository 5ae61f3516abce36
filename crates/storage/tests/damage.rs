//! Detection of synced bytes that have changed or are missing.

mod common;

use common::{SMALL, batch, open, segment, texts};
use pewterseam_storage::{
    LogOptions, SEGMENT_HEADER_BYTES, SimulatedFiles, StorageError, open_disk_id, salvage,
};

fn three_batches(options: LogOptions) -> Result<SimulatedFiles, StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, options)?;
    log.append(&batch(&["one", "two"]))?;
    log.append(&batch(&["three"]))?;
    log.append(&batch(&["four", "five"]))?;
    Ok(files)
}

/// Guards against damage in the middle that is treated as a torn tail, so that synced records after it are silently
/// truncated.
#[test]
fn damage_before_the_last_batch_is_reported() -> Result<(), StorageError> {
    let files = three_batches(LogOptions::default())?;
    let content = files.content(&segment(1)).unwrap_or_default();
    // The last batch starts with the frame of "four": two frames of a header and four bytes.
    let last_batch = content.len() - 2 * (pewterseam_storage::FRAME_HEADER_BYTES + 4);
    for offset in 0..last_batch {
        files.damage(&segment(1), offset);
        match open(&files, LogOptions::default()).map(drop) {
            Err(StorageError::Damaged { .. }) => {}
            // Bytes 7 and 24 to 27 of a header are unused, but its checksum covers them.
            other => panic!("byte {offset}: {other:?}"),
        }
        assert_eq!(
            files.content(&segment(1)).unwrap_or_default().len(),
            content.len(),
            "nothing is truncated"
        );
        files.damage(&segment(1), offset);
    }
    assert_eq!(texts(&files, LogOptions::default())?.len(), 5);
    Ok(())
}

/// Guards against an error without advice for the operator, and against intact records that cannot be read because
/// another record is damaged.
#[test]
fn intact_records_of_a_damaged_log_can_be_salvaged() -> Result<(), StorageError> {
    let files = three_batches(LogOptions::default())?;
    files.damage(&segment(1), SEGMENT_HEADER_BYTES + pewterseam_storage::FRAME_HEADER_BYTES);
    let error = match open(&files, LogOptions::default()) {
        Err(error) => error.to_string(),
        Ok(_) => String::new(),
    };
    assert!(error.contains("salvage") && error.contains(&segment(1)), "{error}");
    let mut intact = Vec::new();
    let report = salvage(&mut files.clone(), &mut |_, payload| {
        intact.push(String::from_utf8_lossy(payload).into_owned());
    })?;
    assert_eq!(intact, ["two", "three", "four", "five"]);
    assert_eq!(report.whole, 4);
    assert_eq!(report.damaged.len(), 1);
    Ok(())
}

/// Guards against accepting a torn tail in a segment that is not the last one: it was synced before the next segment was
/// started.
#[test]
fn torn_tail_of_an_earlier_segment_is_damage() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, LogOptions { segment_bytes: 1 })?;
    log.append(&batch(&["one"]))?;
    log.append(&batch(&["two"]))?;
    let content = files.content(&segment(1)).unwrap_or_default();
    files.put(&segment(1), &content[..content.len() - 1]);
    assert!(matches!(open(&files, SMALL), Err(StorageError::Damaged { .. })));
    Ok(())
}

/// Guards against an undetected gap where a segment is missing between two others.
#[test]
fn missing_segment_is_reported() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, LogOptions { segment_bytes: 1 })?;
    for text in ["one", "two", "three"] {
        log.append(&batch(&[text]))?;
    }
    pewterseam_storage::Files::remove(&mut files.clone(), &segment(2))
        .map_err(|error| StorageError::Io { file: segment(2), error })?;
    match open(&files, SMALL).map(drop) {
        Err(StorageError::MissingSegment { expected_sequence: 2, found_sequence: 3 }) => {}
        other => panic!("{other:?}"),
    }
    Ok(())
}

/// Guards against a damaged snapshot that is skipped, so that an older state is restored.
#[test]
fn damaged_snapshot_is_reported() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    log.append(&batch(&["one", "two"]))?;
    log.snapshot(2, batch(&["state", "more"]))?;
    drop(log);
    let name = format!("snapshot-{:016x}", 2);
    let content = files.content(&name).unwrap_or_default();
    for offset in 0..content.len() {
        files.damage(&name, offset);
        let result = open(&files, SMALL).map(drop);
        assert!(matches!(result, Err(StorageError::Damaged { .. })), "byte {offset}: {result:?}");
        files.damage(&name, offset);
    }
    for length in SEGMENT_HEADER_BYTES + 1..content.len() {
        files.put(&name, &content[..length]);
        let result = open(&files, SMALL).map(drop);
        assert!(matches!(result, Err(StorageError::Damaged { .. })), "length {length}: {result:?}");
    }
    Ok(())
}

/// Guards against a new identity for a folder that is in use: its records would be attributed to another disk.
#[test]
fn folder_in_use_keeps_its_identity() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let id = open_disk_id(&mut files.clone())?;
    assert_eq!(open_disk_id(&mut files.clone())?, id);
    let (mut log, _) = open(&files, SMALL)?;
    log.append(&batch(&["one"]))?;
    files.lose_power(0);
    assert_eq!(open_disk_id(&mut files.clone())?, id);
    files.damage("disk-id", 0);
    assert!(matches!(open_disk_id(&mut files.clone()), Err(StorageError::Damaged { .. })));
    pewterseam_storage::Files::remove(&mut files.clone(), "disk-id")
        .map_err(|error| StorageError::Io { file: "disk-id".to_string(), error })?;
    assert!(matches!(open_disk_id(&mut files.clone()), Err(StorageError::Damaged { .. })));
    files.lose_disk();
    assert_ne!(open_disk_id(&mut files.clone())?, id);
    Ok(())
}

/// Guards against an identity that was returned and that a power loss erases.
#[test]
fn returned_identity_survives_power_loss() -> Result<(), StorageError> {
    for seed in 0..200 {
        let files = SimulatedFiles::new();
        files.fail_syncs((seed % 3) as u32);
        let returned = open_disk_id(&mut files.clone());
        files.lose_power(seed);
        let later = open_disk_id(&mut files.clone())?;
        if let Ok(returned) = returned {
            assert_eq!(returned, later, "seed {seed}");
        }
    }
    Ok(())
}
