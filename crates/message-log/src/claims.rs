//! Claims and releases: which relay owns an open message.

use pewterseam_wire::identity::Owner;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::Decline;

use crate::entry::LogEntry;
use crate::message::Message;
use crate::persistence::Written;
use crate::store::Store;

impl Store {
    /// The first claim of a number is granted, so that no two relays are granted the same one by a write quorum.
    /// Danger: a claim that is forgotten over a restart lets a second relay run the message. It is synced.
    pub(crate) fn claim(&mut self, token: u64, names: Vec<MessageName>, owner: &Owner, claim: u32) {
        let mut refusal = None;
        let mut granted = Vec::new();
        for name in names {
            match self.reason_to_refuse(&name, owner, claim) {
                Some(reason) => refusal = refusal.or(Some(reason)),
                None => granted.push(name),
            }
        }
        let mut ticket = None;
        if !granted.is_empty() {
            for name in &granted {
                self.change_owner(name, owner, claim);
            }
            let entry = LogEntry::Claimed { names: granted, owner: owner.clone(), claim };
            ticket = entry.encode().ok().map(|entry| self.persistence.add(entry, Written::Other));
        }
        match (ticket, refusal) {
            (Some(ticket), None) => self.done_after(token, ticket),
            (_, refusal) => self.decline(token, refusal.unwrap_or(Decline::AlreadyClaimed)),
        }
    }

    /// Why a claim is not granted.
    fn reason_to_refuse(&self, name: &MessageName, owner: &Owner, claim: u32) -> Option<Decline> {
        let Some(record) = self.messages.get(name).and_then(Message::open_record) else {
            return Some(Decline::AlreadyClaimed);
        };
        if claim < record.claim || (claim == record.claim && *owner != record.owner) {
            return Some(Decline::AlreadyClaimed);
        }
        let may_take = record.is_released || record.owner == *owner || !self.holds_lease(&record.owner);
        (!may_take).then_some(Decline::OwnerHoldsLease)
    }

    /// Whether an owner may still be sending its messages to hosts. A process is certain to be gone once a later life
    /// of its node is known.
    fn holds_lease(&self, owner: &Owner) -> bool {
        !self.owners.is_superseded(owner) && self.leases.is_held(owner, self.now.steady)
    }

    /// Gives an open message an owner, unless a later one is known.
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
        let mut taken = Vec::new();
        for name in names {
            let record = self.messages.get(&name).and_then(Message::open_record);
            if !record.is_some_and(|record| record.owner == *owner && !record.is_released) {
                continue;
            }
            if let Some(record) = self.messages.record_mut(&name) {
                record.is_released = true;
            }
            self.queue_orphan(&name);
            taken.push(name);
        }
        if !taken.is_empty() {
            let entry = LogEntry::Released { names: taken, owner: owner.clone() };
            self.write_lazily(&entry, Written::Other);
        }
        self.done(token);
    }
}
