//! Notifies owners of waiting messages that a predecessor has ended.

use std::collections::VecDeque;

use pewterseam_wire::Micros;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::StoreNotice;

use crate::interface::Effect;
use crate::message::Message;
use crate::owners::OwnerState;
use crate::store::Store;

const REPEAT_AFTER: Micros = 1_000_000;

/// How many times a notice is sent to an owner.
const SEND_COUNT: u8 = 5;

/// The maximum number of notices that one step handles.
const MAX_NOTICES_PER_STEP: usize = 256;

/// A pending notice that a predecessor of an open message has ended.
#[derive(Debug)]
struct EndNotice {
    due: Micros,
    successor: MessageName,
    predecessor: MessageName,
    sends_left: u8,
}

/// The notices to send, in the order in which they are due.
#[derive(Debug, Default)]
pub(crate) struct EndNotices {
    queue: VecDeque<EndNotice>,
    /// New notices, which are due at once.
    fresh: VecDeque<EndNotice>,
}

impl EndNotices {
    pub fn add(&mut self, successor: MessageName, predecessor: MessageName) {
        self.fresh.push_back(EndNotice { due: 0, successor, predecessor, sends_left: SEND_COUNT });
    }

    pub fn due(&self) -> Option<Micros> {
        self.fresh.front().or(self.queue.front()).map(|notice| notice.due)
    }

    fn take_due(&mut self, now: Micros) -> Option<EndNotice> {
        if let Some(notice) = self.fresh.pop_front() {
            return Some(notice);
        }
        self.queue.pop_front_if(|notice| notice.due <= now)
    }

    fn repeat(&mut self, mut notice: EndNotice, now: Micros) {
        notice.sends_left -= 1;
        notice.due = now + REPEAT_AFTER;
        if notice.sends_left > 0 {
            self.queue.push_back(notice);
        }
    }
}

impl Store {
    /// Sends the due notices to the owners of messages that are still open.
    pub(crate) fn send_end_notices(&mut self) {
        let now = self.now.steady;
        let mut sent: Vec<(pewterseam_wire::identity::NodeName, MessageName)> = Vec::new();
        for _ in 0..MAX_NOTICES_PER_STEP {
            let Some(notice) = self.end_notices.take_due(now) else { break };
            let record = self.messages.get(&notice.successor).and_then(Message::open_record);
            let Some(owner) = record.map(|record| record.owner.clone()) else { continue };
            if self.owners.owner_state(&owner, now, now) != OwnerState::Ended {
                let pair = (owner.name, notice.predecessor.clone());
                if !sent.contains(&pair) {
                    sent.push(pair);
                }
            }
            self.end_notices.repeat(notice, now);
        }
        for (to, name) in sent {
            self.out.push(Effect::Notify { to, notice: StoreNotice::PredecessorEnded { name } });
        }
    }
}
