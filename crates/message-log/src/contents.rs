//! Answers `Pull` requests: sends everything known of some partitions to a store that has newly joined their groups.

use std::collections::HashSet;

use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{Decline, StoreResponse};

use crate::gathering::{GatherJob, Purpose};
use crate::message::{FACT_BYTES, Message};
use crate::placement_view::ReplicaState;
use crate::store::Store;

/// The limit in bytes for one page of messages; a page always holds at least one message.
const MAX_PAGE_BYTES: u64 = 256 * 1024;

impl Store {
    /// Answers with the next page of messages. The caller has ensured that this store knows the placement of the
    /// requesting store. From then on, a write counts only if it was also sent to the requesting store.
    pub(crate) fn pull(&mut self, token: u64, partitions: &[Partition], after: Option<&MessageName>) {
        if partitions.iter().any(|partition| self.view.replica_state(*partition) != ReplicaState::Complete) {
            return self.decline(token, Decline::NotInGroup);
        }
        let wanted: HashSet<Partition> = partitions.iter().copied().collect();
        let mut names = Vec::new();
        let mut bytes = 0;
        let mut is_last = true;
        for (name, message) in self.messages.after(after) {
            if !partition_of(name, message).is_some_and(|partition| wanted.contains(&partition)) {
                continue;
            }
            if bytes >= MAX_PAGE_BYTES {
                is_last = false;
                break;
            }
            bytes += FACT_BYTES + message.log_bytes();
            names.push(name.clone());
        }
        self.gather(names, Purpose::Contents { token, is_last });
    }

    pub(crate) fn answer_pull(&mut self, token: u64, job: &GatherJob, is_last: bool) {
        if job.has_failed {
            return self.decline(token, Decline::Disk);
        }
        let pairs = job.names.iter().zip(&job.payloads);
        let messages = pairs.filter_map(|(name, payload)| self.stored(name, payload.as_ref())).collect();
        let store = self.settings.id.clone();
        self.respond(token, StoreResponse::Contents { store, messages, is_last });
    }
}

fn partition_of(name: &MessageName, message: &Message) -> Option<Partition> {
    message.record.as_ref().map(|record| record.partition).or_else(|| name.partition())
}
