//! What was seen, and who is still owed an end.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;

use pewterseam::interface::Micros;

use super::clock::Clock;
use crate::story::{Happened, MessageNumber, RelayNumber, Told};

/// Written by all stand-ins.
pub struct Book {
    pub clock: Rc<Clock>,
    told: RefCell<Vec<Told>>,
    owed: RefCell<Owed>,
}

#[derive(Default)]
struct Owed {
    /// Taken on, and neither delivered nor noticed yet.
    by: BTreeMap<MessageNumber, RelayNumber>,
    over: HashSet<MessageNumber>,
    /// A call of theirs has come to a host.
    called: HashSet<MessageNumber>,
    /// Went with the folder of the relay that held them.
    lost: BTreeSet<MessageNumber>,
}

impl Book {
    pub fn new(clock: Rc<Clock>) -> Self {
        Book { clock, told: RefCell::default(), owed: RefCell::default() }
    }

    pub fn tell(&self, what: Happened) {
        self.tell_at(self.clock.now(), what);
    }

    /// Tells what happened at a time that is over.
    pub fn tell_at(&self, at: Micros, what: Happened) {
        let mut owed = self.owed.borrow_mut();
        match &what {
            Happened::Answered { message, relay, status: 200..300, .. } if !owed.over.contains(message) => {
                owed.by.insert(*message, *relay);
                owed.lost.remove(message);
            }
            Happened::Arrived { message, .. } => {
                owed.called.insert(*message);
            }
            Happened::Noticed { message, .. } => {
                owed.by.remove(message);
            }
            _ => {}
        }
        drop(owed);
        self.told.borrow_mut().push(Told { at, what });
    }

    /// A host has answered a message's call: nothing more is owed.
    pub fn delivered(&self, message: MessageNumber) {
        let mut owed = self.owed.borrow_mut();
        owed.by.remove(&message);
        owed.over.insert(message);
    }

    pub fn owed(&self) -> usize {
        self.owed.borrow().by.len()
    }

    /// A relay's folder is gone, and nobody owes what it held any more. Gives those messages.
    pub fn lose(&self, relay: RelayNumber) -> Vec<MessageNumber> {
        let owed = &mut *self.owed.borrow_mut();
        let lost: Vec<_> = owed.by.extract_if(.., |_, by| *by == relay).map(|(message, _)| message).collect();
        owed.lost.extend(&lost);
        lost
    }

    /// Whether a call of a message has come to a host.
    pub fn is_called(&self, message: MessageNumber) -> bool {
        self.owed.borrow().called.contains(&message)
    }

    /// What went with a folder, and was not taken on again.
    pub fn lost(&self) -> BTreeSet<MessageNumber> {
        self.owed.borrow().lost.clone()
    }

    /// All of it, in order of time.
    pub fn close(&self) -> Vec<Told> {
        let mut told = self.told.take();
        told.sort_by_key(|told| told.at);
        told
    }
}
