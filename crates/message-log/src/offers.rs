//! Messages without a live owner, and their offer to heirs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use pewterseam_wire::Micros;
use pewterseam_wire::identity::{NodeName, Owner};
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{OrphanMessage, StoreNotice};

use crate::gathering::{Job, Purpose};
use crate::interface::{Effect, Members};
use crate::message::Message;
use crate::owners::Judgement;
use crate::store::Store;

/// A message that nobody has claimed is offered again after this time.
const REPEAT_AFTER: Micros = 1_000_000;

/// Each store of a group waits this much longer than the live one before it, so that usually one of them offers a
/// message.
const RANK_DELAY: Micros = 150_000;

/// Owners of whom membership knows nothing are judged again after this time.
const JUDGE_AGAIN_AFTER: Micros = 500_000;

/// Messages of one notice.
const MOST_MESSAGES: usize = 64;

/// Bytes of the records of one notice, as far as it has more than one.
const MOST_BYTES: u64 = 256 * 1024;

/// Notices of one step, and the time to the next one.
const NOTICES_PER_STEP: usize = 4;
const STEP_PAUSE: Micros = 50_000;

/// The messages to offer, by time.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    queue: BinaryHeap<Reverse<(Micros, MessageName)>>,
    /// Nothing is offered before.
    not_before: Micros,
    /// When owners are to be judged again.
    pub judge_at: Option<Micros>,
}

impl Offers {
    pub fn due(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse((due, _))| (*due).max(self.not_before))
    }

    fn take_due(&mut self, now: Micros) -> Option<MessageName> {
        if self.queue.peek().is_none_or(|Reverse((due, _))| *due > now) {
            return None;
        }
        self.queue.pop().map(|Reverse((_, name))| name)
    }
}

/// What one heir is offered in one notice.
#[derive(Default)]
struct Piece {
    names: Vec<MessageName>,
    bytes: u64,
}

impl Store {
    /// Takes new members and judges all owners by them.
    pub(crate) fn set_members(&mut self, members: Members) {
        self.owners.set(members, self.now.steady);
        self.judge_owners();
    }

    /// Queues the messages of owners whose lives are over.
    pub(crate) fn judge_owners(&mut self) {
        let now = self.now.steady;
        let mut orphans = Vec::new();
        let mut has_unknown = false;
        for (owner, owned) in &mut self.messages.by_owner {
            let judgement = self.owners.judge(owner, owned.first_seen, now);
            has_unknown |= judgement == Judgement::Unknown;
            let is_over = judgement == Judgement::Over;
            if is_over && !owned.is_over {
                orphans.extend(owned.names.iter().cloned());
            }
            owned.is_over = is_over;
        }
        for name in orphans {
            self.queue_orphan(&name);
        }
        self.offers.judge_at = has_unknown.then_some(now + JUDGE_AGAIN_AFTER);
    }

    /// Queues a message that is new here or has a new owner, if that owner is gone.
    pub(crate) fn check_owner(&mut self, name: &MessageName) {
        let Some(owner) = self.open_owner(name) else { return };
        let Some(owned) = self.messages.by_owner.get(&owner) else { return };
        match self.owners.judge(&owner, owned.first_seen, self.now.steady) {
            Judgement::Alive => {}
            Judgement::Over if owned.is_over => self.queue_orphan(name),
            // News also for the owner's other messages.
            Judgement::Over => self.judge_owners(),
            Judgement::Unknown => {
                self.offers.judge_at.get_or_insert(self.now.steady + JUDGE_AGAIN_AFTER);
            }
        }
    }

    fn open_owner(&self, name: &MessageName) -> Option<Owner> {
        Some(self.messages.get(name)?.open_record()?.owner.clone())
    }

    /// Queues an open message without a live owner; the first live store of its group offers it at once.
    pub(crate) fn queue_orphan(&mut self, name: &MessageName) {
        let live = self.owners.live_stores();
        let Some(record) = self.messages.record_mut(name).filter(|record| !record.is_queued) else { return };
        record.is_queued = true;
        let delay = self.view.rank(record.partition, live) as Micros * RANK_DELAY;
        self.offers.queue.push(Reverse((self.now.steady + delay, name.clone())));
    }

    /// Offers what is due.
    pub(crate) fn make_offers(&mut self) {
        let now = self.now.steady;
        if self.offers.judge_at.is_some_and(|at| at <= now) {
            self.judge_owners();
        }
        if self.offers.not_before > now {
            return;
        }
        let mut pieces: BTreeMap<NodeName, Piece> = BTreeMap::new();
        let mut full = Vec::new();
        while full.len() + pieces.len() < NOTICES_PER_STEP {
            let Some(name) = self.offers.take_due(now) else { break };
            let Some((heir, bytes)) = self.heir_of(&name) else { continue };
            self.offers.queue.push(Reverse((now + REPEAT_AFTER, name.clone())));
            let Some(heir) = heir else { continue };
            let piece = pieces.entry(heir.clone()).or_default();
            piece.names.push(name);
            piece.bytes += bytes;
            if (piece.names.len() >= MOST_MESSAGES || piece.bytes >= MOST_BYTES)
                && let Some(piece) = pieces.remove(&heir)
            {
                full.push((heir, piece));
            }
        }
        if full.len() + pieces.len() >= NOTICES_PER_STEP {
            self.offers.not_before = now + STEP_PAUSE;
        }
        for (heir, piece) in full.into_iter().chain(pieces) {
            self.gather(piece.names, Purpose::Offer { heir });
        }
    }

    /// The relay that a message is to be offered to, if there is one, and the bytes of its record. None where the
    /// message is not to be offered; it then leaves the queue.
    fn heir_of(&mut self, name: &MessageName) -> Option<(Option<NodeName>, u64)> {
        let is_orphan = self.is_orphan(name);
        let record = self.messages.record_mut(name)?;
        if !is_orphan {
            record.is_queued = false;
            return None;
        }
        let heir = self.owners.heir(name, &record.owner).map(|owner| owner.name.clone());
        Some((heir, record.bytes()))
    }

    fn is_orphan(&self, name: &MessageName) -> bool {
        let Some(record) = self.messages.get(name).and_then(Message::open_record) else { return false };
        record.is_released || self.messages.by_owner.get(&record.owner).is_some_and(|owned| owned.is_over)
    }

    /// Sends an offer whose records were gathered.
    pub(crate) fn offer(&mut self, heir: &NodeName, job: &Job) {
        let mut messages = Vec::with_capacity(job.names.len());
        for (name, payload) in job.names.iter().zip(&job.payloads) {
            if !self.is_orphan(name) {
                continue;
            }
            let Some(held) = self.messages.get(name).and_then(Message::open_record) else { continue };
            let (age_ms, away_ms) = (self.age_ms(held), self.away_ms(held));
            let Some(stored) = self.stored(name, payload.as_ref()) else { continue };
            let Some(record) = stored.record else { continue };
            messages.push(OrphanMessage {
                record,
                owner: held.owner.clone(),
                claim: stored.claim,
                failures: stored.failures,
                age_ms,
                away_ms,
            });
        }
        if !messages.is_empty() {
            let notice = StoreNotice::TakeOver { messages };
            self.out.push(Effect::Notify { to: heir.clone(), notice });
        }
    }
}
