//! The queue of writes that must keep their order.

use bytes::Bytes;
use pewterseam_storage::{AppendQueue, PendingWrite};

fn append(sequence: u64) -> PendingWrite {
    PendingWrite::Append { records: vec![Bytes::from(sequence.to_string())], sequence }
}

/// Guards against writing a record after one that failed: the log would then have a gap and could not be read back.
#[test]
fn failed_write_is_repeated_before_any_later_write() {
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

/// Guards against a snapshot that is written before earlier records or after later records.
#[test]
fn snapshot_keeps_its_place_in_the_queue() {
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
