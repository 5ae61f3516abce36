//! Recovery of the end of the last segment after a power loss in the middle of a write.

mod common;

use common::{SMALL, batch, open, segment, texts};
use pewterseam_storage::{LogOptions, SEGMENT_HEADER_BYTES, SimulatedFiles, StorageError};

/// Returns the bytes of a segment with two single records and a batch of three, and the length of the first two.
fn log_and_tail() -> Result<(Vec<u8>, usize), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, LogOptions::default())?;
    log.append(&batch(&["one"]))?;
    log.append(&batch(&["two"]))?;
    let synced = files.content(&segment(1)).unwrap_or_default().len();
    log.append(&batch(&["three", "four", "five"]))?;
    Ok((files.content(&segment(1)).unwrap_or_default(), synced))
}

fn with_content(content: &[u8]) -> SimulatedFiles {
    let files = SimulatedFiles::new();
    files.put(&segment(1), content);
    files
}

/// Guards against a torn tail, at any byte, that prevents opening the log, removes synced records, or hides records that are
/// written after it.
#[test]
fn log_recovers_from_a_tail_torn_at_any_byte() -> Result<(), StorageError> {
    let (content, synced) = log_and_tail()?;
    for length in synced..=content.len() {
        let files = with_content(&content[..length]);
        let (mut log, found) = open(&files, LogOptions::default())?;
        assert!((2..=5).contains(&found.len()), "{length}: {found:?}");
        let before = found.len();
        assert_eq!(log.last_sequence(), before as u64);
        log.append(&batch(&["after"]))?;
        files.lose_power(0);
        let texts = texts(&files, LogOptions::default())?;
        assert_eq!(texts.len(), before + 1, "{length}");
        assert_eq!((texts[0].as_str(), texts[1].as_str()), ("one", "two"));
        assert_eq!(texts[before], "after");
    }
    Ok(())
}

/// Guards against reporting damage when an earlier part of an unsynced write is missing and a later part is present.
#[test]
fn hole_in_the_last_batch_is_not_damage() -> Result<(), StorageError> {
    let (content, synced) = log_and_tail()?;
    for start in synced..content.len() {
        let mut with_hole = content.clone();
        let end = (start + 7).min(with_hole.len());
        with_hole[start..end].fill(0);
        let files = with_content(&with_hole);
        let texts = texts(&files, LogOptions::default())?;
        assert_eq!(&texts[..2], ["one", "two"], "hole at {start}");
    }
    Ok(())
}

/// Guards against a torn header of a new segment that prevents opening the log; such a segment holds no records.
#[test]
fn segment_with_a_torn_header_is_removed() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    log.append(&batch(&["one"]))?;
    for length in 0..SEGMENT_HEADER_BYTES {
        files.put(&segment(2), &vec![0; length]);
        assert_eq!(texts(&files, SMALL)?, ["one"], "{length}");
        assert_eq!(files.content(&segment(2)), None);
    }
    Ok(())
}

/// Guards against recovered records of a torn batch that are lost at the next power loss, although they were already
/// passed to the caller.
#[test]
fn recovered_records_are_durable() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    log.append(&batch(&["one"]))?;
    files.fail_syncs(1);
    assert!(log.append(&batch(&["two"])).is_err());
    drop(log);
    let recovered = texts(&files, SMALL)?;
    assert_eq!(recovered, ["one", "two"], "a killed process keeps its unsynced writes");
    files.lose_power(0);
    assert_eq!(texts(&files, SMALL)?, recovered);
    Ok(())
}
