//! Random operations with power losses, process kills, full disks and failing syncs.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use common::{SMALL, open};
use pewterseam_storage::{Log, SimulatedFiles, StorageError};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Step {
    /// Appends `records` records, each with `extra` additional bytes.
    Append {
        records: u8,
        extra: u8,
    },
    /// Removes all segments except the last `keep` ones.
    Remove {
        keep: u8,
    },
    /// Writes a snapshot of all required records.
    Snapshot,
    LosePower {
        seed: u64,
    },
    /// Kills the process and starts it again.
    Restart,
    FailSyncs {
        count: u8,
    },
    /// Limits the free space of the disk to `room` bytes.
    Fill {
        room: u8,
    },
    /// Removes the limit on the free space.
    MakeRoom,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let number = u8::arbitrary(random);
        match number % 16 {
            0..=6 => Step::Append { records: 1 + number % 3, extra: u8::arbitrary(random) % 120 },
            7 => Step::Remove { keep: 1 + u8::arbitrary(random) % 3 },
            8 => Step::Snapshot,
            9..=11 => Step::LosePower { seed: u64::arbitrary(random) },
            12 => Step::Restart,
            13 => Step::FailSyncs { count: 1 + u8::arbitrary(random) % 3 },
            14 => Step::Fill { room: u8::arbitrary(random) },
            _ => Step::MakeRoom,
        }
    }
}

/// The records that the log must contain, and those that it may contain.
#[derive(Default)]
struct Model {
    next_id: u64,
    /// Acknowledged records with their segment, or `None` for records in a snapshot.
    required: BTreeMap<u64, Option<u64>>,
    /// Records whose write has failed, or that were removed.
    allowed: BTreeSet<u64>,
}

fn payload(id: u64, extra: u8) -> Bytes {
    let mut bytes = id.to_le_bytes().to_vec();
    bytes.resize(8 + usize::from(extra), id as u8);
    Bytes::from(bytes)
}

fn id_of(payload: &[u8]) -> u64 {
    payload.iter().take(8).rev().fold(0, |id, byte| id << 8 | u64::from(*byte))
}

/// Opens the log again and checks its content against the model.
fn reopen(files: &SimulatedFiles, model: &mut Model) -> Result<Log<SimulatedFiles>, String> {
    let (log, found) = open(files, SMALL).map_err(|error| format!("reopening: {error}"))?;
    let ids: Vec<u64> = found.iter().map(|(_, _, payload)| id_of(payload)).collect();
    let unique: BTreeSet<u64> = ids.iter().copied().collect();
    if let Some(lost) = model.required.keys().find(|id| !unique.contains(id)) {
        return Err(format!("record {lost} was acknowledged but is missing; found {ids:?}"));
    }
    if let Some(unexpected) =
        unique.iter().find(|id| !model.required.contains_key(id) && !model.allowed.contains(id))
    {
        return Err(format!("record {unexpected} was never written"));
    }
    // Recovered records are synced when the log was opened, so they are required from now on.
    for (id, (_, position, payload)) in ids.iter().zip(&found) {
        if payload.len() > 8 && payload[8..].iter().any(|byte| *byte != *id as u8) {
            return Err(format!("record {id} has other bytes"));
        }
        model.allowed.remove(id);
        model.required.insert(*id, position.map(|position| position.segment));
    }
    Ok(log)
}

fn append(log: &mut Log<SimulatedFiles>, model: &mut Model, records: u8, extra: u8) {
    let ids: Vec<u64> = (0..u64::from(records)).map(|index| model.next_id + index).collect();
    model.next_id += u64::from(records);
    let payloads: Vec<Bytes> = ids.iter().map(|id| payload(*id, extra)).collect();
    match log.append(&payloads) {
        Ok(positions) => {
            for (id, position) in ids.into_iter().zip(positions) {
                model.required.insert(id, Some(position.segment));
            }
        }
        Err(_) => model.allowed.extend(ids),
    }
}

fn remove(log: &mut Log<SimulatedFiles>, model: &mut Model, keep: u8) {
    let numbers: Vec<u64> = log.segments().map(|(number, _)| number).collect();
    let Some(before) = numbers.len().checked_sub(usize::from(keep)).and_then(|index| numbers.get(index))
    else {
        return;
    };
    // Any other error can occur after some of the removals.
    if matches!(log.remove_before(*before), Err(StorageError::HasSnapshot)) {
        return;
    }
    let removed: Vec<u64> = model
        .required
        .iter()
        .filter(|(_, segment)| segment.is_some_and(|segment| segment < *before))
        .map(|(id, _)| *id)
        .collect();
    for id in removed {
        model.required.remove(&id);
        model.allowed.insert(id);
    }
}

fn run(steps: Vec<Step>) -> Result<(), String> {
    let files = SimulatedFiles::new();
    let mut model = Model::default();
    let mut log = reopen(&files, &mut model)?;
    for step in steps {
        match step {
            Step::Append { records, extra } => append(&mut log, &mut model, records, extra),
            Step::Remove { keep } => remove(&mut log, &mut model, keep),
            Step::Snapshot => {
                let ids: Vec<u64> = model.required.keys().copied().collect();
                let covers = log.last_sequence();
                if log.snapshot(covers, ids.iter().map(|id| payload(*id, 1))).is_ok() {
                    model.required.values_mut().for_each(|segment| *segment = None);
                }
            }
            Step::LosePower { seed } => {
                files.set_capacity(None);
                files.lose_power(seed);
                log = reopen(&files, &mut model)?;
            }
            Step::Restart => {
                files.set_capacity(None);
                files.fail_syncs(0);
                log = reopen(&files, &mut model)?;
            }
            Step::FailSyncs { count } => files.fail_syncs(u32::from(count)),
            Step::Fill { room } => files.set_capacity(Some(files.bytes() + u64::from(room))),
            Step::MakeRoom => files.set_capacity(None),
        }
    }
    files.set_capacity(None);
    files.lose_power(0);
    reopen(&files, &mut model).map(drop)
}

/// Guards against acknowledged records that are lost by a power loss, against a log that cannot be opened after one, and
/// against records with bytes that were never written.
#[test]
fn acknowledged_records_survive_random_faults() {
    QuickCheck::new().tests(3_000).quickcheck(run as fn(Vec<Step>) -> Result<(), String>);
}

/// Guards against partly lost name changes: if a power loss keeps only some of the rename of a snapshot and the removals of
/// older files, the log must still open with all records.
#[test]
fn log_survives_lost_name_changes_around_a_snapshot() {
    for seed in 0..2_000 {
        let steps = vec![
            Step::Append { records: 3, extra: 100 },
            Step::Append { records: 3, extra: 100 },
            Step::FailSyncs { count: (seed % 7) as u8 },
            Step::Snapshot,
            Step::LosePower { seed },
            Step::Append { records: 2, extra: 100 },
            Step::LosePower { seed: seed + 1 },
        ];
        assert_eq!(run(steps), Ok(()), "seed {seed}");
    }
}
