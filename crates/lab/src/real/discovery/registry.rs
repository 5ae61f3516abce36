//! Discovery itself: the list, what each relay has been told of it, and whether it answers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::list::{Entry, List};
use crate::real::book::Book;
use crate::real::hosts::Host;
use crate::real::places::Places;
use crate::real::settings::MODEL;
use crate::story::{Happened, HostNumber, Listed, RelayNumber};

/// Whatever discovery has to tell counts as told after so long, whether it arrived or not (the protocol's
/// figures).
const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);

/// How discovery answers now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    Well,
    /// Says nothing.
    Silent,
    /// Answers 503.
    Overloaded,
}

pub struct Registry {
    pub book: Rc<Book>,
    places: Rc<Places>,
    hosts: Vec<Rc<Host>>,
    list: RefCell<List>,
    revs: watch::Sender<u64>,
    mood: watch::Sender<Mood>,
    /// By relay: where it reaches each host, and what it was told last.
    endpoints: RefCell<Vec<Vec<SocketAddr>>>,
    told: RefCell<Vec<BTreeMap<HostNumber, Entry>>>,
}

impl Registry {
    pub fn new(book: Rc<Book>, places: Rc<Places>, hosts: Vec<Rc<Host>>) -> Self {
        let relays = places.relays().len();
        let list = List::of(places.first());
        Registry {
            book,
            places,
            hosts,
            revs: watch::Sender::new(list.rev()),
            list: RefCell::new(list),
            mood: watch::Sender::new(Mood::Well),
            endpoints: RefCell::new(vec![Vec::new(); relays]),
            told: RefCell::new(vec![BTreeMap::new(); relays]),
        }
    }

    /// Where a relay reaches each host, by the host's number.
    pub fn reached_at(&self, relay: RelayNumber, endpoints: Vec<SocketAddr>) {
        self.endpoints.borrow_mut()[usize::from(relay)] = endpoints;
    }

    pub fn feel(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }

    pub fn mood(&self) -> watch::Receiver<Mood> {
        self.mood.subscribe()
    }

    pub fn revs(&self) -> watch::Receiver<u64> {
        self.revs.subscribe()
    }

    /// Hosts change together.
    pub fn change(self: &Rc<Self>, hosts: &[(HostNumber, Listed, u64)]) {
        self.list.borrow_mut().change(hosts.iter().copied());
        let rev = self.list.borrow().rev();
        self.revs.send_replace(rev);
        let (registry, entries) = (self.clone(), self.list.borrow().since(rev - 1).unwrap_or_default());
        spawn_local(async move {
            sleep(COUNTS_AS_TOLD).await;
            for relay in registry.places.relays() {
                registry.tell(relay, &entries);
            }
        });
    }

    /// Notes that a relay has been told; what it knew already is no news.
    pub fn tell(&self, relay: RelayNumber, entries: &[Entry]) {
        let told = &mut self.told.borrow_mut()[usize::from(relay)];
        for entry in entries {
            let known = told.get(&entry.host);
            if known.is_some_and(|known| known.changed >= entry.changed) {
                continue;
            }
            told.insert(entry.host, *entry);
            self.book.tell(Happened::ListTold { relay, host: entry.host, state: entry.state });
        }
    }

    /// The whole list, or what is newer than a version that it knows.
    pub fn answer(&self, since: Option<u64>) -> (u64, bool, Vec<Entry>) {
        let list = self.list.borrow();
        match since.and_then(|since| list.since(since)) {
            Some(newer) => (list.rev(), false, newer),
            None => (list.rev(), true, list.whole()),
        }
    }

    /// In discovery's form, as one relay sees it.
    pub fn wire(&self, relay: RelayNumber, rev: u64, all: bool, entries: &[Entry]) -> Value {
        let endpoints = &self.endpoints.borrow()[usize::from(relay)];
        let target = |entry: &Entry| {
            let host = &self.hosts[entry.host as usize];
            json!({"uid": format!("s-{}", entry.host), "endpoint": endpoints[entry.host as usize],
                "az": self.places.zone_name(host.zone), "model": MODEL,
                "pod_group": host.destination.plan.number, "state": word(entry.state),
                "capacity_hint": host.destination.hint(), "boot_ms": entry.boot_ms})
        };
        json!({"rev": rev, "all": all, "targets": entries.iter().map(target).collect::<Vec<_>>()})
    }

    /// A relay's latest copy, from which it starts.
    pub fn known(&self, relay: RelayNumber) -> Value {
        let told = &self.told.borrow()[usize::from(relay)];
        let there: Vec<_> = told.values().filter(|entry| entry.state != Listed::Gone).copied().collect();
        match told.values().map(|entry| entry.changed).max() {
            Some(rev) => self.wire(relay, rev, true, &there),
            None => self.wire(relay, 1, true, &self.list.borrow().whole()),
        }
    }
}

fn word(state: Listed) -> &'static str {
    match state {
        Listed::Ready => "Ready",
        Listed::Draining => "Terminating",
        Listed::Gone => "Gone",
    }
}
