//! Writes that must keep their order.

use bytes::Bytes;
use pewterseam_storage::{AppendQueue, PendingWrite};

fn append(sequence: u64) -> PendingWrite {
    PendingWrite::Append { records: vec![Bytes::from(sequence.to_string())], sequence }
}

/// Guards against a record that is written after one that failed: the log then has a gap and cannot be read back.
#[test]
fn a_failed_write_is_written_again_before_any_later_one() {
    let mut queue = AppendQueue::default();
    queue.push(append(1));
    assert_eq!(queue.begin(), Some(append(1)));
    queue.push(append(2));
    assert_eq!(queue.begin(), None, "one at a time");
    assert_eq!(queue.finish(false), None);
    assert!(queue.is_stalled());
    let records = vec![Bytes::from("1"), Bytes::from("2")];
    assert_eq!(queue.begin(), Some(PendingWrite::Append { records, sequence: 2 }));
    assert_eq!(queue.finish(true), Some(2));
    assert!(!queue.is_stalled());
    assert_eq!(queue.begin(), None);
}

/// Guards against a snapshot that overtakes records, or records that overtake it.
#[test]
fn a_snapshot_keeps_its_place() {
    let mut queue = AppendQueue::default();
    let snapshot = PendingWrite::Snapshot { snapshot: Bytes::from("state"), sequence: 2 };
    for write in [append(1), snapshot.clone(), append(3)] {
        queue.push(write);
    }
    for (write, sequence) in [(append(1), 1), (snapshot, 2), (append(3), 3)] {
        assert_eq!(queue.begin(), Some(write));
        assert_eq!(queue.finish(true), Some(sequence));
    }
}
