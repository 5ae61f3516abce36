//! Gathers records with their bodies, from memory or by reading them back from the log.

use std::collections::HashMap;

use bytes::Bytes;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::StoredMessage;

use crate::entry::LogEntry;
use crate::interface::Effect;
use crate::store::Store;

/// What gathered records are used for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To answer a `Fetch`.
    Fetch { token: u64 },
    /// To offer them to a relay that is to take them over.
    Offer { relay: NodeName },
    /// To answer a `Pull`.
    Contents { token: u64, is_last: bool },
    /// To copy them to the end of the log.
    Clean,
}

/// A set of messages whose records are being gathered.
#[derive(Debug)]
pub(crate) struct GatherJob {
    pub purpose: Purpose,
    pub names: Vec<MessageName>,
    /// The log entry with the record of each message, in the order of `names`.
    pub payloads: Vec<Option<Bytes>>,
    missing: usize,
    /// Whether reading a record has failed.
    pub has_failed: bool,
}

/// The jobs that wait for records to be read.
#[derive(Debug, Default)]
pub(crate) struct Gathering {
    jobs: HashMap<u64, GatherJob>,
    /// The job, and the index of the message in it, by the token of the read.
    reads: HashMap<u64, (u64, usize)>,
    last_number: u64,
}

impl Store {
    /// Gathers the records of messages; a message without a record gets no payload. The job finishes at once if all
    /// records are in memory, and otherwise when the last one was read back.
    pub(crate) fn gather(&mut self, names: Vec<MessageName>, purpose: Purpose) {
        let mut payloads = Vec::with_capacity(names.len());
        let mut reads = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let record = self.messages.get(name).and_then(|message| message.record.as_deref());
            payloads.push(record.and_then(|record| record.payload.clone()));
            if let Some(record) = record
                && record.payload.is_none()
                && let Some(position) = record.position
            {
                reads.push((index, position));
            }
        }
        let job = GatherJob { purpose, names, payloads, missing: reads.len(), has_failed: false };
        if reads.is_empty() {
            return self.finish_job(job);
        }
        let gathering = &mut self.gathering;
        gathering.last_number += 1;
        let number = gathering.last_number;
        gathering.jobs.insert(number, job);
        for (index, position) in reads {
            gathering.last_number += 1;
            let token = gathering.last_number;
            gathering.reads.insert(token, (number, index));
            self.out.push(Effect::ReadBack { token, position });
        }
    }

    /// Handles an entry that was read back from the log.
    pub(crate) fn handle_read(&mut self, token: u64, payload: Option<Bytes>) {
        let Some((number, index)) = self.gathering.reads.remove(&token) else { return };
        let Some(job) = self.gathering.jobs.get_mut(&number) else { return };
        job.missing -= 1;
        job.has_failed |= payload.is_none();
        if let Some(slot) = job.payloads.get_mut(index) {
            *slot = payload;
        }
        if job.missing == 0
            && let Some(job) = self.gathering.jobs.remove(&number)
        {
            self.finish_job(job);
        }
    }

    fn finish_job(&mut self, job: GatherJob) {
        match job.purpose.clone() {
            Purpose::Fetch { token } => self.answer_fetch(token, &job),
            Purpose::Offer { relay } => self.offer(&relay, &job),
            Purpose::Contents { token, is_last } => self.answer_pull(token, &job, is_last),
            Purpose::Clean => self.copy_forward(&job),
        }
    }

    /// The current state of a message, with the record decoded from a log entry.
    pub(crate) fn stored(&self, name: &MessageName, payload: Option<&Bytes>) -> Option<StoredMessage> {
        let message = self.messages.get(name)?;
        let held = message.record.as_deref();
        let record = held.and(payload).and_then(|payload| match LogEntry::decode(payload) {
            Ok(LogEntry::Message(kept)) => kept.stored.record,
            _ => None,
        });
        Some(StoredMessage {
            name: name.clone(),
            record,
            owner: held.map(|held| held.owner.clone()),
            claim: held.map_or(0, |held| held.claim),
            failures: message.failures,
            end: message.end.clone(),
            age_ms: held.map_or(0, |held| self.age_ms(held)),
            away_ms: held.map_or(0, |held| self.uncounted_downtime_ms(held)),
        })
    }
}
