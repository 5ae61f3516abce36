//! What a folder's records say of a voter.

use std::collections::BTreeMap;

use crate::interface::{Batch, MemberId, Record};

/// The sum of a folder's records, as far as they are a voter's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Folder {
    pub voter: Option<Batch>,
    /// Highest life whose seat was given up.
    pub gone: u32,
    pub marks: BTreeMap<MemberId, (u32, u64)>,
}

impl Folder {
    pub fn read(records: &[Record]) -> Self {
        let mut folder = Folder::default();
        for record in records {
            match record {
                Record::Voter(batch) => folder.add(batch),
                Record::VoterWhole(batch) => folder.voter = Some(batch.clone()),
                Record::NoVoter { life } => {
                    folder.voter = None;
                    folder.gone = folder.gone.max(*life);
                }
                Record::Marks(marks) => folder.marks.extend(marks),
                Record::Started { .. } | Record::Learnt(_) | Record::LearntAll(_) => {}
            }
        }
        folder
    }

    fn add(&mut self, batch: &Batch) {
        let Some(voter) = self.voter.as_mut().filter(|voter| voter.voter == batch.voter) else {
            self.voter = Some(batch.clone());
            return;
        };
        (voter.mark, voter.term, voter.vote, voter.commit) =
            (batch.mark, batch.term, batch.vote, batch.commit);
        if batch.snapshot.is_some() {
            voter.snapshot.clone_from(&batch.snapshot);
            voter.entries.clear();
        }
        if let Some(first) = batch.entries.first() {
            voter.entries.retain(|entry| entry.index < first.index);
            voter.entries.extend(batch.entries.iter().cloned());
        }
    }
}

/// Term and index of the last entry that a batch and those before it leave.
pub fn last(batch: &Batch) -> (u64, u64) {
    let snapshot = batch.snapshot.as_ref().map_or((0, 0), |snapshot| (snapshot.term, snapshot.index));
    batch.entries.last().map_or(snapshot, |entry| (entry.term, entry.index))
}
