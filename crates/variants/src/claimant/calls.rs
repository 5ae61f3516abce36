//! What all messages ask, in few calls: an owner that is quick is asked at once, and what comes meanwhile
//! goes together.

use std::collections::BTreeMap;

use pewterseam::interface::Micros;
use pewterseam_fleet::interface::{MemberId, Ticket};

use crate::claims::Item;
use crate::rules::Key;

/// Calls out to one owner at a time. More would carry less each.
const MOST_CALLS: usize = 4;
/// A call that has no answer for so long does not hold others up.
const SLOW: Micros = 300_000;
/// Items in a call: with the longest answers they stay below the fleet's bound of a call.
const MOST_ITEMS: usize = 512;

/// What one call asked, in its order: key, message and ballot.
#[derive(Clone, Debug)]
pub struct Out {
    pub to: MemberId,
    pub asked: Vec<(Key, u64, u32)>,
    at: Micros,
}

/// A call that is to be made.
#[derive(Clone, Debug)]
pub struct Due {
    pub to: MemberId,
    pub items: Vec<Item>,
}

/// Bounded by the messages: of each an owner is asked one thing of a key at most.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    queues: BTreeMap<MemberId, BTreeMap<(Key, u64), Item>>,
    out: BTreeMap<Ticket, Out>,
}

impl Calls {
    /// The newest thing that a message asks of a key replaces what has not gone out.
    pub fn push(&mut self, to: MemberId, item: Item) {
        self.queues.entry(to).or_default().insert((item.key, item.handle), item);
    }

    pub fn due(&mut self, now: Micros) -> Vec<Due> {
        let mut busy = BTreeMap::<MemberId, usize>::new();
        for out in self.out.values().filter(|out| now < out.at + SLOW) {
            *busy.entry(out.to).or_default() += 1;
        }
        let mut due = Vec::new();
        for (to, queue) in &mut self.queues {
            let mut free = MOST_CALLS.saturating_sub(busy.get(to).copied().unwrap_or(0));
            while free > 0 && !queue.is_empty() {
                let rest = queue.keys().nth(MOST_ITEMS).copied().map(|key| queue.split_off(&key));
                let items = std::mem::replace(queue, rest.unwrap_or_default()).into_values().collect();
                due.push(Due { to: *to, items });
                free -= 1;
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        due
    }

    pub fn sent(&mut self, now: Micros, ticket: Ticket, due: &Due) {
        let asked = due.items.iter().map(|item| (item.key, item.handle, item.ballot)).collect();
        self.out.insert(ticket, Out { to: due.to, asked, at: now });
    }

    pub fn replied(&mut self, ticket: Ticket) -> Option<Out> {
        self.out.remove(&ticket)
    }

    /// When a slow call stops holding others up.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let waits = |out: &&Out| out.at + SLOW > now && self.queues.contains_key(&out.to);
        self.out.values().filter(waits).map(|out| out.at + SLOW).min()
    }
}
