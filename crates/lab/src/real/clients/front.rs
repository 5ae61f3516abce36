//! The front that deals relays out: those that say they are ready.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::connections::Relays;
use crate::real::draws::Draws;
use crate::real::processes::is_ready;

/// Between two questions to a relay, and for an answer.
const ASKED_EVERY: Duration = Duration::from_millis(500);
const ANSWERED_WITHIN: Duration = Duration::from_millis(500);
/// Questions in a row without a good answer after which a relay is out of use: a front notices a dead one
/// only after some seconds.
const OUT_AFTER: u32 = 3;

/// Which relays it holds for ready.
pub struct Front {
    relays: Rc<Relays>,
    /// Questions in a row that went without a good answer.
    misses: RefCell<Vec<u32>>,
    /// Messages of a key come to one relay while it runs.
    homes: RefCell<HashMap<u32, usize>>,
}

impl Front {
    pub fn new(relays: Rc<Relays>) -> Self {
        let misses = RefCell::new(vec![OUT_AFTER; relays.count()]);
        Front { relays, misses, homes: RefCell::default() }
    }

    /// Asks all relays, for good.
    pub async fn run(self: Rc<Self>) {
        let mut asking = JoinSet::new();
        for relay in 0..self.relays.count() {
            asking.spawn_local(self.clone().watch(relay));
        }
        while asking.join_next().await.is_some() {}
    }

    async fn watch(self: Rc<Self>, relay: usize) {
        loop {
            let asked = async { is_ready(self.relays.dial(relay).await?).await };
            let answer = timeout(ANSWERED_WITHIN, asked).await;
            if let Some(misses) = self.misses.borrow_mut().get_mut(relay) {
                *misses = match answer {
                    Ok(Ok(true)) => 0,
                    // By its own word.
                    Ok(Ok(false)) => OUT_AFTER,
                    _ => *misses + 1,
                };
            }
            sleep(ASKED_EVERY).await;
        }
    }

    /// Deals one out; none where none is in use. What has a key goes where its key was, as long as that is in
    /// use.
    pub fn deal(&self, draws: &mut Draws, key: Option<u32>) -> Option<usize> {
        let misses = self.misses.borrow();
        let home = key.and_then(|key| self.homes.borrow().get(&key).copied());
        if let Some(home) = home.filter(|home| misses[*home] < OUT_AFTER) {
            return Some(home);
        }
        let used: Vec<_> = (0..misses.len()).filter(|relay| misses[*relay] < OUT_AFTER).collect();
        let dealt = (!used.is_empty()).then(|| used[draws.random_range(0..used.len())]);
        if let (Some(key), Some(dealt)) = (key, dealt) {
            self.homes.borrow_mut().insert(key, dealt);
        }
        dealt
    }

    /// A key's relay takes no connections: it does not run any more, whatever it said last.
    pub fn leave(&self, key: u32) {
        self.homes.borrow_mut().remove(&key);
    }

    /// Relays in use.
    pub fn used(&self) -> usize {
        self.misses.borrow().iter().filter(|misses| **misses < OUT_AFTER).count()
    }
}
