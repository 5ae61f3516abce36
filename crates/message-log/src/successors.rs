//! Word to owners that a message has ended for which others wait.

use std::collections::VecDeque;

use pewterseam_wire::Micros;
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::StoreNotice;

use crate::interface::Effect;
use crate::message::Message;
use crate::owners::Judgement;
use crate::store::Store;

const REPEAT_AFTER: Micros = 1_000_000;

/// How often an owner is told.
const TIMES: u8 = 5;

/// Notices that one step sends at most.
const PER_STEP: usize = 256;

/// That a predecessor of an open message has ended.
#[derive(Debug)]
struct EndNotice {
    due: Micros,
    successor: MessageName,
    predecessor: MessageName,
    times_left: u8,
}

/// The notices to send, in the order in which they are due.
#[derive(Debug, Default)]
pub(crate) struct EndNotices {
    queue: VecDeque<EndNotice>,
    /// Due at once.
    fresh: VecDeque<EndNotice>,
}

impl EndNotices {
    pub fn add(&mut self, successor: MessageName, predecessor: MessageName) {
        self.fresh.push_back(EndNotice { due: 0, successor, predecessor, times_left: TIMES });
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
        notice.times_left -= 1;
        notice.due = now + REPEAT_AFTER;
        if notice.times_left > 0 {
            self.queue.push_back(notice);
        }
    }
}

impl Store {
    /// Sends the notices that are due to the owners of messages that are still open.
    pub(crate) fn send_end_notices(&mut self) {
        let now = self.now.steady;
        let mut told: Vec<(pewterseam_wire::identity::NodeName, MessageName)> = Vec::new();
        for _ in 0..PER_STEP {
            let Some(notice) = self.end_notices.take_due(now) else { break };
            let record = self.messages.get(&notice.successor).and_then(Message::open_record);
            let Some(owner) = record.map(|record| record.owner.clone()) else { continue };
            if self.owners.judge(&owner, now, now) != Judgement::Over {
                let pair = (owner.name, notice.predecessor.clone());
                if !told.contains(&pair) {
                    told.push(pair);
                }
            }
            self.end_notices.repeat(notice, now);
        }
        for (to, name) in told {
            self.out.push(Effect::Notify { to, notice: StoreNotice::PredecessorEnded { name } });
        }
    }
}
