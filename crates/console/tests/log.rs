//! What is told of a data folder.

use std::fs;

use bytes::Bytes;
use pewterseam_console::error::ConsoleError;
use pewterseam_console::log::describe;
use pewterseam_storage::{DataFolder, Log, LogOptions};

// Danger: a look at a damaged folder changes it, or takes what is whole for all there was.
#[test]
fn damage_is_told_with_what_to_do_and_nothing_is_changed() {
    let folder = tempfile::tempdir().expect("a folder");
    let messages = folder.path().join("messages");
    let files = DataFolder::open(&messages).expect("made");
    let mut log = Log::open(files, LogOptions::default(), &mut |_| {}).expect("opened");
    for payload in ["first", "second"] {
        log.append(&[Bytes::from_static(payload.as_bytes())]).expect("written");
    }
    drop(log);
    let segment = fs::read_dir(&messages).expect("read").flatten().next().expect("a segment").path();
    let mut bytes = fs::read(&segment).expect("read");
    bytes[50] ^= 0xff;
    fs::write(&segment, &bytes).expect("written");
    let text = describe(folder.path(), true).expect("told");
    assert!(text.contains("1 whole records") && text.contains("is damaged at byte 32"), "{text}");
    assert!(text.contains("Copy the data folder away") && text.contains("messages are not told"), "{text}");
    assert_eq!(fs::read(&segment).expect("read"), bytes);
}

#[test]
fn a_folder_without_a_log_is_no_data_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(matches!(describe(folder.path(), false), Err(ConsoleError::NoLog { .. })));
    assert_eq!(fs::read_dir(folder.path()).expect("read").count(), 0);
}
