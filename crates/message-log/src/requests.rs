//! Handles the requests of relays and other stores.

use std::sync::Arc;

use pewterseam_wire::placement::Partition;
use pewterseam_wire::record::{End, Fact, MessageName, Record};
use pewterseam_wire::store::{Decline, Status, StoreRequest, StoreResponse, StoredMessage};

use crate::entry::{KeptMessage, LogEntry};
use crate::expiry::span_from_ms;
use crate::gathering::{GatherJob, Purpose};
use crate::interface::Effect;
use crate::message::{HeldRecord, Message, NOT_WRITTEN};
use crate::persistence::EntryKind;
use crate::placement_view::{EpochOrder, ReplicaState};
use crate::store::{HeldRequest, Store};

/// Whether a request is handled now, held, or declined.
enum Admission {
    Now,
    /// Held until the store knows a newer placement.
    Later,
    Declined(Decline),
}

impl Store {
    pub(crate) fn handle(&mut self, token: u64, request: StoreRequest) {
        match self.admit(&request) {
            Admission::Now => self.answer(token, request),
            Admission::Later => self.hold(HeldRequest { token, request, since: self.now.steady }),
            Admission::Declined(reason) => self.decline(token, reason),
        }
    }

    /// Checks a request's epoch. A request with a newer placement is answered if this store is in the group by its own
    /// placement: a write is harmless, and a store of the older group holds everything that it must.
    fn admit(&mut self, request: &StoreRequest) -> Admission {
        let (epoch, partition, needs) = match request {
            StoreRequest::Append { epoch, record, .. } => {
                (*epoch, record.partition, ReplicaState::Incomplete)
            }
            StoreRequest::ListOpen { epoch, partition, .. } => (*epoch, *partition, ReplicaState::Complete),
            StoreRequest::Pull { epoch, .. } => {
                let is_ahead = self.view.order(*epoch) == EpochOrder::Newer;
                return if is_ahead { Admission::Later } else { Admission::Now };
            }
            _ => return Admission::Now,
        };
        let replica_state = self.view.replica_state(partition);
        let is_eligible = match needs {
            ReplicaState::Complete => replica_state == ReplicaState::Complete,
            _ => replica_state != ReplicaState::NotInGroup,
        };
        match (self.view.order(epoch), is_eligible) {
            (EpochOrder::Older, _) => Admission::Declined(Decline::StalePlacement),
            (EpochOrder::Newer, false) => Admission::Later,
            (EpochOrder::Same, false) => Admission::Declined(Decline::NotInGroup),
            (_, true) => Admission::Now,
        }
    }

    fn answer(&mut self, token: u64, request: StoreRequest) {
        match request {
            StoreRequest::Append { record, renews_lease, .. } => {
                if renews_lease {
                    self.leases.renew(&record.owner, self.now.steady);
                }
                self.append(token, record);
            }
            StoreRequest::ListOpen { partition, ordering_key, .. } => {
                self.list_open(token, partition, &ordering_key);
            }
            StoreRequest::Settle { facts } => self.settle(token, facts),
            StoreRequest::Look { names } => self.look(token, &names),
            StoreRequest::Confirm { owner, names } => {
                self.leases.renew(&owner, self.now.steady);
                self.look(token, &names);
            }
            StoreRequest::Fetch { name } => self.gather(vec![name], Purpose::Fetch { token }),
            StoreRequest::Claim { names, owner, claim } => self.claim(token, names, &owner, claim),
            StoreRequest::Release { names, owner } => self.release(token, names, &owner),
            StoreRequest::Pull { partitions, after, .. } => self.pull(token, &partitions, after.as_ref()),
        }
    }

    pub(crate) fn respond(&mut self, token: u64, response: StoreResponse) {
        self.out.push(Effect::Respond { token, response });
    }

    pub(crate) fn decline(&mut self, token: u64, reason: Decline) {
        let store = self.settings.id.clone();
        self.superseded_appends.remove(&token);
        self.respond(token, StoreResponse::Declined { store, reason });
    }

    pub(crate) fn done(&mut self, token: u64) {
        let store = self.settings.id.clone();
        let response = match self.superseded_appends.remove(&token) {
            Some(name) => StoreResponse::Statuses { store, statuses: vec![self.status(&name)] },
            None => StoreResponse::Done { store },
        };
        self.respond(token, response);
    }

    /// Answers `Done` once a write is synced.
    pub(crate) fn done_after(&mut self, token: u64, ticket: u64) {
        if self.persistence.is_synced(ticket) {
            self.done(token);
        } else if !self.persistence.wait(ticket, token) {
            self.decline(token, Decline::Disk);
        }
    }

    /// Whether a stored message no longer belongs to its first owner, or has ended.
    fn is_superseded_or_ended(&self, record: &Record) -> bool {
        match self.status(&record.name) {
            Status::Unknown => false,
            Status::Ended(_) => true,
            Status::Open { owner, claim, released, .. } => claim > 0 || released || owner != record.owner,
        }
    }

    /// Answers an append once a write is synced.
    ///
    /// If the message has another owner or has ended, the response contains its status. With a plain `Done`, an owner
    /// that was cut off and writes again would run a message that another relay has run.
    fn appended_after(&mut self, token: u64, ticket: u64, record: &Record) {
        if self.is_superseded_or_ended(record) {
            self.superseded_appends.insert(token, record.name.clone());
        }
        self.done_after(token, ticket);
    }

    fn append(&mut self, token: u64, record: Record) {
        if record.name.partition() != Some(record.partition) {
            return self.decline(token, Decline::NotInGroup);
        }
        if let Some(message) = self.messages.get(&record.name) {
            let known = match (&message.record, &message.end) {
                (Some(held), _) => Some(held.ticket),
                (None, Some(End::Completed { .. })) => Some(message.end_ticket),
                (None, _) => None,
            };
            if let Some(ticket) = known {
                return self.appended_after(token, ticket, &record);
            }
        }
        if let Some(reason) = self.reason_to_decline() {
            return self.decline(token, reason);
        }
        let owner = record.owner.clone();
        let failures = self.messages.get(&record.name).map_or(0, |message| message.failures);
        let stored = StoredMessage {
            name: record.name.clone(),
            record: Some(record.clone()),
            owner: Some(owner),
            claim: 0,
            failures,
            end: None,
            age_ms: 0,
            away_ms: 0,
        };
        match self.add_record(stored) {
            Some(ticket) => self.appended_after(token, ticket, &record),
            None => self.decline(token, Decline::Busy),
        }
    }

    /// Returns why no record can be accepted now, or `None` if one can.
    fn reason_to_decline(&self) -> Option<Decline> {
        let waiting = self.persistence.waiting_bytes();
        let room = self.settings.disk_bytes - self.settings.disk_bytes / 8;
        if self.persistence.failed_at.is_some() || self.log_map.bytes() + waiting as u64 >= room {
            Some(Decline::Disk)
        } else if waiting >= self.settings.waiting_bytes {
            Some(Decline::Busy)
        } else {
            None
        }
    }

    /// Adds a record that this store does not have yet, with the sender's state of the message. Returns the ticket of its
    /// write, or `None` if the record cannot be written at all.
    pub(crate) fn add_record(&mut self, mut stored: StoredMessage) -> Option<u64> {
        let name = stored.name.clone();
        let known_end = self.messages.get(&name).and_then(|message| message.end.clone());
        if known_end.is_some() {
            stored.end = known_end;
        }
        let noted_at = self.messages.get(&name).map_or(self.moment(), |message| message.noted_at);
        let record = stored.record.as_ref()?;
        let first_stored_at = self.moment() - span_from_ms(stored.age_ms);
        let downtime = span_from_ms(stored.away_ms);
        let expires_at = self.expiry_of(record, first_stored_at, downtime);
        let downtime_before = self.clock.uncounted_downtime() - downtime;
        let mut held = HeldRecord {
            payload: None,
            position: None,
            ticket: self.persistence.open_ticket(),
            partition: record.partition,
            ordering_key: record.ordering_key.clone(),
            predecessors: record.predecessors.clone().into_boxed_slice(),
            owner: stored.owner.clone().unwrap_or_else(|| record.owner.clone()),
            claim: stored.claim,
            is_released: false,
            first_stored_at,
            downtime_before,
            is_queued: false,
        };
        let kept = KeptMessage {
            stored,
            taken: first_stored_at,
            ended: noted_at,
            is_released: false,
            downtime_before,
        };
        let entry = LogEntry::Message(Box::new(kept)).encode().ok()?;
        if entry.len() > pewterseam_storage::MAX_PAYLOAD_BYTES {
            return None;
        }
        held.payload = Some(entry.clone());
        let ticket = self.persistence.add(entry, EntryKind::Record(name.clone()));
        self.messages.insert_record(&name, held, expires_at, self.now.steady);
        self.check_owner(&name);
        self.notify_of_ended_predecessors(&name);
        Some(ticket)
    }

    fn notify_of_ended_predecessors(&mut self, name: &MessageName) {
        let Some(record) = self.messages.get(name).and_then(Message::open_record) else { return };
        for predecessor in &record.predecessors {
            if self.messages.get(predecessor).is_some_and(|message| message.end.is_some()) {
                self.end_notices.add(name.clone(), predecessor.clone());
            }
        }
    }

    fn list_open(&mut self, token: u64, partition: Partition, key: &Arc<str>) {
        let names = self.messages.open_of_key(key, partition);
        let store = self.settings.id.clone();
        self.respond(token, StoreResponse::OpenMessages { store, names });
    }

    fn settle(&mut self, token: u64, facts: Vec<Fact>) {
        self.forward_facts(&facts);
        let mut ticket = None;
        for fact in facts {
            match fact {
                Fact::Attempted { name, failures } => self.note_attempts(&name, failures),
                Fact::Ended { name, end } => {
                    let written = self.note_end(&name, end);
                    ticket = ticket.max(Some(written));
                }
            }
        }
        match ticket {
            Some(ticket) => self.done_after(token, ticket),
            None => self.done(token),
        }
    }

    pub(crate) fn note_attempts(&mut self, name: &MessageName, failures: u32) {
        let now = self.moment();
        if failures == 0 || !self.messages.note_failures(name, failures, now) {
            return;
        }
        let has_record = self.messages.get(name).is_some_and(|message| message.record.is_some());
        let written = if has_record { EntryKind::Other } else { EntryKind::Facts(name.clone()) };
        let entry = LogEntry::Attempted { name: name.clone(), failures, at: now };
        self.write_lazily(&entry, written);
    }

    pub(crate) fn write_lazily(&mut self, entry: &LogEntry, written: EntryKind) {
        if let Ok(entry) = entry.encode() {
            self.persistence.add_lazily(entry, written, self.now.steady);
        }
    }

    /// Sets the end of a message and returns the ticket of its write.
    pub(crate) fn note_end(&mut self, name: &MessageName, end: End) -> u64 {
        let ticket = self.persistence.open_ticket();
        let at = self.moment();
        if self.messages.note_end(name, &end, at, ticket) {
            for successor in self.messages.successors(name) {
                self.end_notices.add(successor, name.clone());
            }
            self.write_end(name, end);
            return ticket;
        }
        let known = self.messages.get(name);
        let known_ticket = known.map_or(NOT_WRITTEN, |message| message.end_ticket);
        if known_ticket != NOT_WRITTEN {
            return known_ticket;
        }
        self.rewrite_end(name);
        ticket
    }

    /// Writes an end again after its write has failed.
    pub(crate) fn rewrite_end(&mut self, name: &MessageName) {
        let ticket = self.persistence.open_ticket();
        let end = self.messages.update(name, |message| {
            let is_unwritten = message.end_ticket == NOT_WRITTEN;
            is_unwritten.then(|| message.end_ticket = ticket).and(message.end.clone())
        });
        if let Some(Some(end)) = end {
            self.write_end(name, end);
        }
    }

    fn write_end(&mut self, name: &MessageName, end: End) {
        let entry = LogEntry::Ended { name: name.clone(), end, at: self.moment() };
        if let Ok(entry) = entry.encode() {
            self.persistence.add(entry, EntryKind::End(name.clone()));
        }
    }

    /// Answers with the status of messages. A relay determines the end of a message from all but f stores, so a store that
    /// has not finished copying must not answer.
    fn look(&mut self, token: u64, names: &[MessageName]) {
        let is_complete = names
            .iter()
            .filter_map(MessageName::partition)
            .all(|partition| self.view.replica_state(partition) == ReplicaState::Complete);
        if !is_complete {
            return self.decline(token, Decline::NotInGroup);
        }
        let statuses = names.iter().map(|name| self.status(name)).collect();
        let store = self.settings.id.clone();
        self.respond(token, StoreResponse::Statuses { store, statuses });
    }

    fn status(&self, name: &MessageName) -> Status {
        let Some(message) = self.messages.get(name) else { return Status::Unknown };
        match (&message.end, &message.record) {
            (Some(end), _) => Status::Ended(end.clone()),
            (None, Some(held)) => Status::Open {
                owner: held.owner.clone(),
                claim: held.claim,
                failures: message.failures,
                released: held.is_released,
            },
            (None, None) => Status::Unknown,
        }
    }

    pub(crate) fn answer_fetch(&mut self, token: u64, job: &GatherJob) {
        if job.has_failed {
            return self.decline(token, Decline::Disk);
        }
        let payload = job.payloads.first().and_then(Option::as_ref);
        let record = job.names.first().and_then(|name| self.stored(name, payload)?.record);
        let store = self.settings.id.clone();
        self.respond(token, StoreResponse::Found { store, record });
    }
}
