//! The end of the last segment, as a loss of power in the middle of a write may leave it.

mod common;

use common::{SMALL, batch, open, segment, texts};
use pewterseam_storage::{LogOptions, SEGMENT_HEADER_BYTES, SimulatedFiles, StorageError};

/// Two synced records, and the bytes of a batch of three after them.
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

/// Guards against a tail that is torn at some byte and keeps the log from opening, takes synced records with it, or
/// hides what is written after it.
#[test]
fn tail_torn_at_each_byte() -> Result<(), StorageError> {
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

/// Guards against damage being told where parts of one unsynced write are missing and later parts of it are there.
#[test]
fn holes_in_the_last_batch() -> Result<(), StorageError> {
    let (content, synced) = log_and_tail()?;
    for start in synced..content.len() {
        let mut holed = content.clone();
        let end = (start + 7).min(holed.len());
        holed[start..end].fill(0);
        let files = with_content(&holed);
        let texts = texts(&files, LogOptions::default())?;
        assert_eq!(&texts[..2], ["one", "two"], "hole at {start}");
    }
    Ok(())
}

/// Guards against a new segment whose header was torn, which holds no record and must not stop the log.
#[test]
fn torn_header_of_a_new_segment() -> Result<(), StorageError> {
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

/// Guards against records that survived a torn batch by chance and are lost at the next loss of power, although
/// they were shown to the caller.
#[test]
fn what_was_shown_is_durable() -> Result<(), StorageError> {
    let files = SimulatedFiles::new();
    let (mut log, _) = open(&files, SMALL)?;
    log.append(&batch(&["one"]))?;
    files.fail_syncs(1);
    assert!(log.append(&batch(&["two"])).is_err());
    drop(log);
    let shown = texts(&files, SMALL)?;
    assert_eq!(shown, ["one", "two"], "the process was killed, so its writes stay");
    files.lose_power(0);
    assert_eq!(texts(&files, SMALL)?, shown);
    Ok(())
}
