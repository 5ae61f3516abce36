//! What follows from what came in: what is to be written, said and applied.

use raft::eraftpb as pb;

use super::machine::Outcome;
use super::voter::Voter;
use super::wire::{self, Change, Message};
use crate::interface::Batch;

/// Entries on hand after which those that were applied become a snapshot, and how many are kept for who is
/// behind.
const COMPACT: usize = 512;
const KEEP: usize = 64;

/// What a step gives. The batch is on disk before a message goes out.
#[derive(Debug, Default)]
pub struct Step {
    pub batch: Option<Batch>,
    pub messages: Vec<Message>,
    /// What became of entries: index, term.
    pub applied: Vec<(u64, u64, Outcome)>,
    /// All of it was replaced by a snapshot.
    pub restored: bool,
}

impl Voter {
    /// All that follows from what came in since the last time.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        let mut batch = self.batch();
        let mut changed = false;
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            let mut messages = ready.take_messages();
            if !ready.snapshot().is_empty() {
                changed |= self.node.mut_store().restore(ready.snapshot()).is_some();
                batch.snapshot = Some(wire::snapshot_out(ready.snapshot()));
                batch.entries.clear();
                step.restored = true;
            }
            if let Some(first) = ready.entries().first() {
                self.node.mut_store().append(ready.entries());
                batch.entries.retain(|entry| entry.index < first.index);
                batch.entries.extend(ready.entries().iter().map(wire::entry_out));
                changed = true;
            }
            if let Some(hard) = ready.hs() {
                self.node.mut_store().hard = hard.clone();
                changed = true;
            }
            messages.extend(ready.take_persisted_messages());
            self.apply(ready.take_committed_entries(), &mut step);
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().hard.commit = commit;
                changed = true;
            }
            messages.extend(light.take_messages());
            self.apply(light.take_committed_entries(), &mut step);
            self.node.advance_apply();
            step.messages.extend(messages.iter().filter_map(wire::message_out));
        }
        if self.below_floor() {
            step.messages.retain(|message| !matches!(message.kind, wire::Kind::Vote | wire::Kind::PreVote));
        }
        if changed {
            self.mark += 1;
            let hard = &self.node.store().hard;
            (batch.mark, batch.term, batch.commit) = (self.mark, hard.term, hard.commit);
            batch.vote = wire::voter_of(hard.vote);
            step.batch = Some(batch);
        }
        step
    }

    fn batch(&self) -> Batch {
        let hard = &self.node.store().hard;
        Batch {
            voter: self.id,
            mark: self.mark,
            term: hard.term,
            vote: wire::voter_of(hard.vote),
            commit: hard.commit,
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// All of it, in place of the batches before; its mark is a new one.
    pub fn whole(&mut self) -> Batch {
        self.mark += 1;
        let disk = self.node.store();
        let snapshot = (disk.applied > 0).then(|| wire::snapshot_out(&disk.applied_snapshot()));
        let entries = disk.entries_from(disk.applied + 1).map(wire::entry_out).collect();
        Batch { snapshot, entries, ..self.batch() }
    }

    /// Drops entries that were applied if there are many; whether it did.
    pub fn compact(&mut self) -> bool {
        let disk = self.node.mut_store();
        let many = disk.len() > COMPACT;
        if many {
            disk.compact(KEEP);
        }
        many
    }

    fn apply(&mut self, entries: Vec<pb::Entry>, step: &mut Step) {
        for entry in entries {
            let outcome = if entry.get_entry_type() == pb::EntryType::EntryNormal {
                self.node.mut_store().machine.apply(&entry.data)
            } else {
                self.apply_change(&entry.context);
                Outcome::Nothing
            };
            let disk = self.node.mut_store();
            (disk.applied, disk.applied_term) = (entry.index, entry.term);
            step.applied.push((entry.index, entry.term, outcome));
        }
    }

    /// One that can't be read, or that the library refuses, changes nothing at any voter.
    fn apply_change(&mut self, data: &[u8]) {
        let change = postcard::from_bytes::<Change>(data).ok();
        let cc = change.map(wire::change_in).unwrap_or_default();
        if let Some(Change::Learner(voter)) = change {
            let life = self.node.mut_store().machine.lives.entry(voter.place).or_default();
            *life = voter.life.max(*life);
        }
        if let Ok(conf) = self.node.apply_conf_change(&cc) {
            self.node.mut_store().conf = conf;
        }
    }
}
