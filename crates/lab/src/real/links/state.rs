//! What the links do now: computed from all faults that are active, whatever came and went before.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::watch;

use crate::plan::Link;
use crate::real::draws::{Draws, between, happens};
use crate::real::places::{Parties, Party, Places};

/// One way of a link. Times are microseconds, parts are probabilities.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    pub cut: bool,
    pub drop_part: f64,
    pub delay: f64,
    pub jitter: f64,
    pub duplicate_part: f64,
    pub reorder_part: f64,
    pub half_open_part: f64,
    pub reset_part: f64,
    pub late_part: f64,
    pub crawl_bytes_a_second: Option<f64>,
}

impl LinkState {
    /// Two faults on one way: either may strike, delays add up, the slower crawl holds.
    fn and(self, fault: &Link) -> LinkState {
        let either = |one: f64, other: f64| 1.0 - (1.0 - one) * (1.0 - other.clamp(0.0, 1.0));
        let crawls = [self.crawl_bytes_a_second, fault.crawl_bytes_a_second];
        LinkState {
            cut: self.cut || fault.cut,
            drop_part: either(self.drop_part, fault.drop_part),
            delay: self.delay + fault.delay_ms.max(0.0) * 1e3,
            jitter: self.jitter + fault.jitter_ms.max(0.0) * 1e3,
            duplicate_part: either(self.duplicate_part, fault.duplicate_part),
            reorder_part: either(self.reorder_part, fault.reorder_part),
            half_open_part: either(self.half_open_part, fault.half_open_part),
            reset_part: either(self.reset_part, fault.reset_part),
            late_part: either(self.late_part, fault.late_part),
            crawl_bytes_a_second: crawls.into_iter().flatten().reduce(f64::min),
        }
    }

    /// How long something is under way now, in microseconds.
    pub fn drawn_delay(&self, draws: &mut Draws) -> f64 {
        self.delay + between(draws, 0.0, self.jitter)
    }

    /// How often something is lost before it comes through; bounded, since a link that loses all is a cut
    /// one.
    pub fn drawn_losses(&self, draws: &mut Draws) -> u32 {
        const MOST: u32 = 5;
        (0..MOST).take_while(|_| happens(draws, self.drop_part)).count() as u32
    }
}

/// What a fault did to something on a link, each counted: a fault that struck nothing proves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Struck {
    /// Bytes waited for the end of a cut, or were dropped since their sender had gone meanwhile.
    Held,
    /// Part of a stream came by a repeat.
    Repeated,
    /// A connection came up and stayed silent.
    HalfOpen,
    /// An answer broke off before its last byte.
    BrokenOff,
    /// Bytes waited until their sender had given up.
    Late,
    Crawled,
    DatagramLost,
    DatagramDoubled,
    DatagramDisordered,
}

struct Active {
    from: Parties,
    to: Parties,
    link: Link,
}

/// All links' state, and a way to wait for its next change.
pub struct Weather {
    places: Rc<Places>,
    active: RefCell<BTreeMap<usize, Active>>,
    struck: RefCell<BTreeMap<Struck, u64>>,
    changes: watch::Sender<u64>,
}

impl Weather {
    pub fn new(places: Rc<Places>) -> Self {
        let (active, struck) = (RefCell::default(), RefCell::default());
        Weather { places, active, struck, changes: watch::Sender::new(0) }
    }

    /// A fault begins, by its place in the plan.
    pub fn begin(&self, place: usize, from: Parties, to: Parties, link: Link) {
        self.active.borrow_mut().insert(place, Active { from, to, link });
        self.changes.send_modify(|changes| *changes += 1);
    }

    pub fn end(&self, place: usize) {
        self.active.borrow_mut().remove(&place);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Counts what a fault did.
    pub fn strike(&self, what: Struck) {
        *self.struck.borrow_mut().entry(what).or_default() += 1;
    }

    pub fn struck(&self) -> BTreeMap<Struck, u64> {
        self.struck.borrow().clone()
    }

    /// One way, from one party to another.
    pub fn state(&self, from: Party, to: Party) -> LinkState {
        let usual = LinkState { delay: self.places.delay(from, to), ..LinkState::default() };
        let active = self.active.borrow();
        let meets = |fault: &&Active| {
            let there = fault.from.contains(from) && fault.to.contains(to);
            there || (fault.link.both_ways && fault.from.contains(to) && fault.to.contains(from))
        };
        active.values().filter(meets).fold(usual, |state, fault| state.and(&fault.link))
    }

    /// A connection can't come up if either way is cut.
    pub fn is_cut(&self, one: Party, other: Party) -> bool {
        self.state(one, other).cut || self.state(other, one).cut
    }

    /// Tells of each change from now on.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until that way is not cut.
    pub async fn clear(&self, from: Party, to: Party) {
        let mut changes = self.changes();
        while self.state(from, to).cut {
            // The sender is this very object.
            let _ = changes.changed().await;
        }
    }
}
