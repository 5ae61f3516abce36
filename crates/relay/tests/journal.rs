//! The journal on its own: what it gives back, what damage costs, and the room that it takes.

use std::fs;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use pewterseam_durable::message::{End, Message};
use pewterseam_durable::record::{Over, Past, Record, footprint};
use pewterseam_durable::replay::{History, Restored};
use pewterseam_relay::journal::{Journal, read};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const LIMIT: u64 = 3_000_000;

fn message(number: u64, body: usize) -> Message {
    Message {
        id: format!("id-{number}"),
        class: "balance".to_owned(),
        tenant: "acme".to_owned(),
        key: Some("acct".to_owned()),
        destination: 7,
        deadline: 1_000_000 + number,
        idempotency_key: Some(vec![0, 255, number as u8]),
        body: Bytes::from(vec![number as u8; body]),
    }
}

fn taken(number: u64, body: usize) -> Record {
    Record::Taken { number, message: message(number, body), past: Past::default() }
}

fn restored(number: u64, body: usize) -> Restored {
    let (message, past) = (message(number, body), Past::default());
    Restored { number, message, past, cut: false, closing: None }
}

fn write(folder: &Path, records: &[Record]) {
    let (mut journal, _) = Journal::open(folder, LIMIT).expect("opened");
    journal.append(records).expect("written");
}

fn history(folder: &Path) -> History {
    read(folder, |_| {}).expect("read")
}

fn files(folder: &Path) -> Vec<PathBuf> {
    let mut files: Vec<_> =
        fs::read_dir(folder).expect("a folder").flatten().map(|file| file.path()).collect();
    files.sort();
    files
}

/// Bytes as the platform counts them: each file in whole blocks of 512.
fn on_disk(folder: &Path) -> u64 {
    let size = |path: &PathBuf| fs::metadata(path).expect("a file").len().div_ceil(512) * 512;
    files(folder).iter().map(size).sum()
}

#[test]
fn a_message_comes_back_with_what_became_of_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let records = [
        taken(1, 10),
        taken(2, 10),
        taken(3, 10),
        taken(4, 10),
        taken(5, 10),
        Record::Started { number: 1, at: 50 },
        Record::Over { number: 1, how: Over::Unseen },
        Record::Started { number: 2, at: 51 },
        Record::Over { number: 2, how: Over::MayHaveRun },
        Record::Started { number: 2, at: 52 },
        Record::Over { number: 2, how: Over::Failed },
        Record::Started { number: 3, at: 53 },
        Record::Closing { number: 4, end: End::Returned { after_ms: 500 } },
        Record::Ended { number: 5 },
    ];
    write(folder.path(), &records);
    let past = |attempts, ran, failed_at: Option<_>| Past {
        attempts,
        ran,
        failed: failed_at.is_some(),
        failed_at,
        ran_in: None,
    };
    let messages = vec![
        Restored { past: past(1, None, None), ..restored(1, 10) },
        Restored { past: past(2, Some(51), Some(51)), ..restored(2, 10) },
        // An attempt without an outcome may have run.
        Restored { past: past(1, Some(53), None), cut: true, ..restored(3, 10) },
        Restored { closing: Some(End::Returned { after_ms: 500 }), ..restored(4, 10) },
    ];
    assert_eq!(history(folder.path()), History { messages, next: 6, dropped: 0 });
}

#[test]
fn the_zone_of_the_first_attempt_that_may_have_run_comes_back() {
    let started = |number, at, zone| [Record::Started { number, at }, Record::StartedIn { number, zone }];
    let over = |number, how| Record::Over { number, how };
    let mut records = Vec::from([1, 2, 3, 4].map(|number| taken(number, 10)));
    // Turned away in one zone, may have run in the next, and again in a third.
    records.extend(started(1, 50, 5));
    records.push(over(1, Over::Unseen));
    records.extend(started(1, 51, 6));
    records.push(over(1, Over::MayHaveRun));
    records.extend(started(1, 52, 7));
    records.push(over(1, Over::MayHaveRun));
    // Cut off.
    records.extend(started(2, 53, 8));
    // Cut off before its zone was written, and never known again.
    records.push(Record::Started { number: 3, at: 54 });
    records.extend(started(3, 55, 9));
    // Written anew.
    records.push(Record::RanIn { number: 4, zone: 3 });
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &records);
    let zones: Vec<_> = history(folder.path()).messages.iter().map(|message| message.past.ran_in).collect();
    assert_eq!(zones, [Some(6), Some(8), None, Some(3)]);
}

#[test]
fn of_two_attempts_that_deaths_cut_off_the_first_counts() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &[taken(1, 10), Record::Started { number: 1, at: 50 }]);
    write(folder.path(), &[Record::Started { number: 1, at: 60 }]);
    let past = Past { attempts: 2, ran: Some(50), ..Past::default() };
    assert_eq!(history(folder.path()).messages, [Restored { past, cut: true, ..restored(1, 10) }]);
    write(folder.path(), &[Record::Over { number: 1, how: Over::Unseen }]);
    assert_eq!(history(folder.path()).messages, [Restored { past, ..restored(1, 10) }]);
}

#[test]
fn numbers_are_never_given_twice_even_when_all_has_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &[taken(8, 10), Record::Ended { number: 8 }]);
    let (mut journal, history) = Journal::open(folder.path(), LIMIT).expect("opened");
    assert_eq!((history.messages.len(), history.next), (0, 9));
    journal.write_anew(history.next, &[]).expect("written");
    assert_eq!(self::history(folder.path()).next, 9);
}

#[test]
fn a_torn_tail_is_dropped_and_what_is_written_after_it_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &[taken(1, 100), taken(2, 100)]);
    let segment = files(folder.path()).remove(0);
    let whole = fs::read(&segment).expect("read");
    for cut in 1..140 {
        fs::write(&segment, &whole[..whole.len() - cut]).expect("written");
        assert_eq!(history(folder.path()).messages, [restored(1, 100)], "{cut} bytes short");
    }
    write(folder.path(), &[taken(3, 100)]);
    assert_eq!(history(folder.path()).messages, [restored(1, 100), restored(3, 100)]);
}

#[test]
fn a_damaged_record_ends_its_segment_only() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &[taken(1, 100), taken(2, 100)]);
    write(folder.path(), &[taken(3, 100)]);
    let segment = files(folder.path()).remove(0);
    let mut bytes = fs::read(&segment).expect("read");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&segment, bytes).expect("written");
    let history = history(folder.path());
    assert_eq!(history.messages, [restored(1, 100), restored(3, 100)]);
    assert!(history.dropped > 100);
}

#[test]
fn any_bytes_in_the_folder_are_read_without_a_panic() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &[taken(1, 40), Record::Started { number: 1, at: 5 }, taken(2, 40)]);
    let segment = files(folder.path()).remove(0);
    let whole = fs::read(&segment).expect("read");
    let damage = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..20);
    let noise = prop::collection::vec(any::<u8>(), 0..200);
    TestRunner::new_with_rng(config, rng)
        .run(&(damage, noise), |(damage, noise)| {
            let mut bytes = whole.clone();
            for (place, byte) in damage {
                let place = place.index(bytes.len());
                bytes[place] = byte;
            }
            bytes.extend(noise);
            fs::write(&segment, &bytes).expect("written");
            prop_assert!(history(folder.path()).messages.len() <= 2);
            Ok(())
        })
        .expect("no panic");
}

#[test]
fn writing_anew_keeps_what_is_on_hand_and_frees_the_rest() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), LIMIT).expect("opened");
    for number in 1..500 {
        journal.append(&[taken(number, 500), Record::Ended { number }]).expect("written");
    }
    assert!(journal.is_due());
    let past = Past { attempts: 2, ran: Some(9), failed: true, failed_at: Some(8), ..Past::default() };
    let kept = Record::Taken { number: 500, message: message(500, 500), past };
    let records = [kept, Record::FailedAt { number: 500, at: 8 }, Record::Started { number: 500, at: 12 }];
    journal.write_anew(501, &records).expect("written");
    assert!(!journal.is_due());
    journal.append(&[taken(501, 10)]).expect("written");
    assert_eq!(files(folder.path()).len(), 1);
    assert!(on_disk(folder.path()) < 2_000);
    let past = Past { attempts: 3, ..past };
    let messages = vec![Restored { past, cut: true, ..restored(500, 500) }, restored(501, 10)];
    assert_eq!(history(folder.path()), History { messages, next: 502, dropped: 0 });
}

// Danger: too little room kept free and the folder runs over; too much, and messages are refused that could be held.
#[test]
fn a_message_takes_no_more_than_its_footprint_when_written_anew_and_not_much_less() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), LIMIT).expect("opened");
    let at = u64::MAX / 2;
    let past =
        Past { attempts: u32::MAX, ran: Some(at), failed: true, failed_at: Some(at), ..Past::default() };
    let mut records = Vec::new();
    let mut footprints = 0;
    for number in at..at + 800 {
        let message = Message { deadline: at, destination: u32::MAX, ..message(number, 500) };
        footprints += footprint(&message);
        records.push(Record::Taken { number, message, past });
        records.push(Record::FailedAt { number, at });
        records.push(Record::Started { number, at });
        records.push(Record::Closing { number, end: End::Returned { after_ms: at } });
    }
    journal.write_anew(at, &records).expect("written");
    assert!(on_disk(folder.path()) <= footprints + 512, "{} of {footprints}", on_disk(folder.path()));
    assert!(footprints <= on_disk(folder.path()) * 5 / 4, "{footprints} for {}", on_disk(folder.path()));
    assert!(journal.room() / footprint(&message(1, 500)) > 1_000);
}

#[test]
fn a_death_while_writing_anew_loses_nothing_and_brings_nothing_back() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), &[taken(1, 10), taken(2, 10), Record::Ended { number: 2 }]);
    let old = files(folder.path()).remove(0);
    let before = fs::read(&old).expect("read");
    let (mut journal, _) = Journal::open(folder.path(), LIMIT).expect("opened");
    journal.write_anew(3, &[taken(1, 10)]).expect("written");
    // As if it had died before the old segment went.
    fs::write(&old, &before).expect("written");
    assert_eq!(history(folder.path()).messages, [restored(1, 10)]);
    // As if it had died before the new one was whole.
    fs::write(folder.path().join("00000009.new"), b"half").expect("written");
    let (_, history) = Journal::open(folder.path(), LIMIT).expect("opened");
    assert_eq!(history.messages, [restored(1, 10)]);
    assert!(files(folder.path()).iter().all(|path| path.extension().is_some_and(|end| end == "log")));
}

#[test]
fn old_and_new_segments_together_stay_well_below_the_limit() {
    let folder = tempfile::tempdir().expect("a folder");
    let limit = 400_000;
    let (mut journal, _) = Journal::open(folder.path(), limit).expect("opened");
    let room = journal.room();
    let (mut held, mut bytes, mut number) = (Vec::new(), 0, 0);
    for _ in 0..2_000 {
        number += 1;
        let size = 200 + (number as usize * 7_919) % 9_000;
        held.push((number, size));
        bytes += size as u64 + 1_100;
        journal.append(&[taken(number, size)]).expect("room for what is let in");
        while bytes > room {
            let (number, size) = held.remove(0);
            bytes -= size as u64 + 1_100;
            journal.append(&[Record::Ended { number }]).expect("room for ends");
        }
        if journal.is_due() {
            let records: Vec<_> = held.iter().map(|(number, size)| taken(*number, *size)).collect();
            let next = number + 1;
            // Both lie in the folder until the old ones are gone.
            let together = on_disk(folder.path()) + bytes;
            assert!(together < limit * 9 / 10, "{together} of {limit}");
            journal.write_anew(next, &records).expect("room to write anew");
        }
        assert_eq!(journal.written(), on_disk(folder.path()));
    }
}

#[test]
fn a_full_journal_takes_nothing_and_stays_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) = Journal::open(folder.path(), 10_000).expect("opened");
    journal.append(&[taken(1, 5_000)]).expect("written");
    assert!(journal.append(&[taken(2, 5_000)]).is_err());
    journal.append(&[Record::Ended { number: 1 }]).expect("written");
    assert!(on_disk(folder.path()) <= 10_000);
    assert_eq!(history(folder.path()).messages, []);
}

#[test]
fn a_folder_that_is_gone_fails_without_a_crash_and_works_again_when_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().join("state");
    let (mut journal, _) = Journal::open(&state, LIMIT).expect("opened");
    fs::remove_dir_all(&state).expect("removed");
    assert!(journal.append(&[taken(1, 10)]).is_err());
    assert!(journal.write_anew(2, &[taken(1, 10)]).is_err());
    fs::create_dir_all(&state).expect("made");
    journal.append(&[taken(2, 10)]).expect("written");
    assert_eq!(history(&state).messages, [restored(2, 10)]);
}
