//! Claims and releases: which relay owns an open message.

use pewterseam_wire::identity::Owner;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::Decline;

use crate::entry::LogEntry;
use crate::message::Message;
use crate::persistence::EntryKind;
use crate::store::Store;

impl Store {
    /// Grants only the first claim with a given claim number, so that a write quorum never grants one number to two
    /// relays. Without the sync of a granted claim, a restart could lose it and a second relay would run the message.
    pub(crate) fn claim(&mut self, token: u64, names: Vec<MessageName>, owner: &Owner, claim: u32) {
        let mut decline_reason = None;
        let mut granted = Vec::new();
        for name in names {
            match self.claim_decline_reason(&name, owner, claim) {
                Some(reason) => decline_reason = decline_reason.or(Some(reason)),
                None => granted.push(name),
            }
        }
        let mut ticket = None;
        if !granted.is_empty() {
            for name in &granted {
                self.change_owner(name, owner, claim);
            }
            let entry = LogEntry::Claimed { names: granted, owner: owner.clone(), claim };
            ticket = entry.encode().ok().map(|entry| self.persistence.add(entry, EntryKind::Other));
        }
        match (ticket, decline_reason) {
            (Some(ticket), None) => self.done_after(token, ticket),
            (_, decline_reason) => self.decline(token, decline_reason.unwrap_or(Decline::AlreadyClaimed)),
        }
    }

    /// Returns why a claim must be declined, or `None` if it can be granted.
    fn claim_decline_reason(&self, name: &MessageName, owner: &Owner, claim: u32) -> Option<Decline> {
        let Some(record) = self.messages.get(name).and_then(Message::open_record) else {
            return Some(Decline::AlreadyClaimed);
        };
        if claim < record.claim || (claim == record.claim && *owner != record.owner) {
            return Some(Decline::AlreadyClaimed);
        }
        let may_take = record.is_released || record.owner == *owner || !self.holds_lease(&record.owner);
        (!may_take).then_some(Decline::OwnerHoldsLease)
    }

    /// Whether an owner may still be sending its messages to hosts. An owner's process has certainly ended once a later
    /// life (process start) of its node is known.
    fn holds_lease(&self, owner: &Owner) -> bool {
        !self.owners.is_superseded(owner) && self.leases.is_held(owner, self.now.steady)
    }

    /// Sets the owner of an open message, unless an owner with a later claim is known.
    pub(crate) fn change_owner(&mut self, name: &MessageName, owner: &Owner, claim: u32) -> bool {
        let Some(record) = self.messages.get(name).and_then(Message::open_record) else { return false };
        if (claim, owner) <= (record.claim, &record.owner) {
            return false;
        }
        self.messages.change_owner(name, owner, claim, self.now.steady);
        self.check_owner(name);
        true
    }

    pub(crate) fn release(&mut self, token: u64, names: Vec<MessageName>, owner: &Owner) {
        let mut released = Vec::new();
        for name in names {
            let record = self.messages.get(&name).and_then(Message::open_record);
            if !record.is_some_and(|record| record.owner == *owner && !record.is_released) {
                continue;
            }
            if let Some(record) = self.messages.record_mut(&name) {
                record.is_released = true;
            }
            self.queue_orphan(&name);
            released.push(name);
        }
        if !released.is_empty() {
            let entry = LogEntry::Released { names: released, owner: owner.clone() };
            self.write_lazily(&entry, EntryKind::Other);
        }
        self.done(token);
    }
}
