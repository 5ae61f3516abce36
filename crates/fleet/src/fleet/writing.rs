//! What is to be written, in its place among the effects.

use super::{Fleet, Role};
use crate::interface::{Effect, InForce, Micros, Record, Severity};

/// Records after which the folder is written anew, as their sum.
const MOST_RECORDS: usize = 4096;
/// Between two tries to write what could not be written.
pub(super) const WRITE_AGAIN: Micros = 1_000_000;

impl Fleet {
    /// Puts what is to be written behind what does not rest on it, and before what does.
    pub(super) fn write(&mut self) {
        if self.write_again.is_some() && !self.persist_anew {
            // All of it is written anew once that works; until then nothing rests on it.
            self.records.clear();
            self.after.clear();
            return;
        }
        if self.persist_anew || self.kept + self.records.len() > MOST_RECORDS {
            self.persist_anew = false;
            let records = self.whole();
            self.records.clear();
            self.kept = records.len();
            self.persisted += 1;
            self.effects.push(Effect::PersistAnew { number: self.persisted, records });
        } else if !self.records.is_empty() {
            let mut records = std::mem::take(&mut self.records);
            if std::mem::take(&mut self.marks_changed) {
                records.push(Record::Marks(self.marks.clone()));
            }
            self.kept += records.len();
            self.persisted += 1;
            self.effects.push(Effect::Persist { number: self.persisted, records });
        }
        self.effects.append(&mut self.after);
    }

    /// The sum of all records.
    pub(super) fn whole(&mut self) -> Vec<Record> {
        let started = Record::Started { incarnation: self.swim.identity().incarnation };
        let mut records =
            vec![started, Record::LearntAll(self.known.clone()), Record::Marks(self.marks.clone())];
        self.marks_changed = false;
        if self.gone > 0 {
            records.push(Record::NoVoter { life: self.gone });
        }
        match &mut self.role {
            Role::Seated(voter) => records.push(Record::VoterWhole(voter.whole())),
            Role::Proving(proof, saved) if !proof.claim().blank => {
                records.push(Record::VoterWhole(saved.as_ref().clone()));
            }
            _ => {}
        }
        records
    }

    pub(super) fn on_persisted(&mut self, now: Micros, number: u64, written: bool) {
        if !written {
            self.counters.writes_failed += 1;
            if self.write_again.is_none() {
                let line =
                    "the folder can't be written: this member votes no more until it can; free space there";
                self.log(Severity::Error, line.to_owned());
            }
            self.write_again = Some(now + WRITE_AGAIN);
        } else if number == self.persisted && self.write_again.take().is_some() {
            self.log(Severity::Info, "the folder can be written again".to_owned());
        }
    }
}

/// The decisions in force by a folder's records.
pub(super) fn known(records: &[Record]) -> InForce {
    let mut known = InForce::default();
    for record in records {
        match record {
            Record::Learnt(decision) => known.take(decision.clone()),
            Record::LearntAll(all) => known.clone_from(all),
            _ => {}
        }
    }
    known
}
