//! The machine: reads the list where it is this relay's turn, and passes on what was read.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_wire::Micros;
use pewterseam_wire::frame;
use pewterseam_wire::identity::NodeName;
use pewterseam_wire::placement::hash;
use pewterseam_wire::tree::children;

use crate::budget::Pace;
use crate::interface::{CallFailure, CallId, Effect, Input, ListedInstance, Page};
use crate::list::{Difference, List};
use crate::message::{ListMessage, ReadId};
use crate::read::{Progress, Read, settle};

/// The reader asks so often, from the begin of a read to that of the next.
const READ_EVERY: Micros = 700_000;
/// A relay without word for so long reads the list itself.
const STALE: Micros = 1_500_000;
/// A call that has no answer by then is given up.
const CALL_TIMEOUT: Micros = 1_000_000;
/// The first read comes by chance within this, as all relays start at once.
const FIRST_READ: (Micros, Micros) = (100_000, 1_000_000);
/// A relay without word for so long, or that heard of a list which it lacks, asks another relay, and again after this.
const ASKS_AFTER: Micros = 900_000;
const ASKS_AGAIN: Micros = 200_000;
const READER_SEED: u64 = 0x7265_6164;

/// What the machine is told at its start.
#[derive(Clone, Debug)]
pub struct DiscoverySettings {
    pub me: NodeName,
    /// The life of this process; a later one is higher.
    pub life: u64,
    /// Differs between processes.
    pub seed: u64,
    /// Calls a second that the platform takes from all relays together.
    pub rate_per_s: f64,
}

/// The platform's list, at one relay.
pub struct Discovery {
    settings: DiscoverySettings,
    now: Micros,
    /// Sorted; this relay is among them.
    relays: Vec<NodeName>,
    list: Option<Arc<List>>,
    /// When the list in force was so at the platform, as far as is known.
    fresh_at: Micros,
    /// The last read of each reader that was heard of.
    heard: BTreeMap<NodeName, (u64, u64)>,
    /// Entries that the last read lacked.
    missed: BTreeMap<Arc<str>, Micros>,
    read: Option<Read>,
    pace: Pace,
    /// No read begins before.
    rest_until: Micros,
    /// When this relay reads for itself unless it hears something.
    own_turn_at: Option<Micros>,
    /// A list was heard of that this relay lacks.
    lacks: bool,
    asked_at: Micros,
    last_call: u64,
    sequence: u64,
    effects: Vec<Effect>,
}

impl Discovery {
    pub fn new(settings: DiscoverySettings) -> Self {
        let pace = Pace::new(settings.rate_per_s, settings.seed);
        Discovery {
            now: 0,
            relays: vec![settings.me.clone()],
            list: None,
            fresh_at: 0,
            heard: BTreeMap::new(),
            missed: BTreeMap::new(),
            read: None,
            pace,
            rest_until: 0,
            own_turn_at: None,
            lacks: false,
            asked_at: 0,
            last_call: 0,
            sequence: 0,
            effects: Vec::new(),
            settings,
        }
    }

    /// The list in force; none before the first.
    pub fn list(&self) -> Option<&Arc<List>> {
        self.list.as_ref()
    }

    /// Time since the list in force was seen at the platform.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.list.as_ref().map(|_| now.saturating_sub(self.fresh_at))
    }

    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        if self.now == 0 {
            let spread = (FIRST_READ.1 - FIRST_READ.0) as f64;
            self.rest_until = now + FIRST_READ.0 + (spread * self.pace.chance()) as Micros;
        }
        self.now = now;
        match input {
            Input::Relays(relays) => self.set_relays(relays),
            Input::PageReceived { call, page } => self.paged(call, page),
            Input::CallFailed { call, failure } => self.call_failed(call, failure),
            Input::Peer { from, bytes } => self.hear(&from, &bytes),
            Input::Tick => {}
        }
        if self.read.as_ref().is_some_and(|read| read.expires_at <= now) {
            self.give_up(false);
        }
        self.begin_if_due();
        self.ask_another_if_due();
        let wake = self.next_at();
        self.effects.push(Effect::Wake(wake));
        std::mem::take(&mut self.effects)
    }

    fn set_relays(&mut self, mut relays: Vec<NodeName>) {
        relays.push(self.settings.me.clone());
        relays.sort();
        relays.dedup();
        self.heard.retain(|reader, _| relays.binary_search(reader).is_ok());
        self.pace.set_relays(relays.len());
        self.relays = relays;
    }

    /// Whether this relay reads for all, by rendezvous hashing.
    pub fn is_reader(&self) -> bool {
        let rank = |name: &NodeName| (hash(name.0.as_bytes(), READER_SEED), name.clone());
        self.relays.iter().max_by_key(|name| rank(name)) == Some(&self.settings.me)
    }

    /// When the next read begins.
    fn read_at(&mut self) -> Micros {
        if self.is_reader() {
            self.own_turn_at = None;
            let next = if self.list.is_some() { self.fresh_at + READ_EVERY } else { 0 };
            return next.max(self.rest_until);
        }
        let stale_at = if self.list.is_some() { self.fresh_at + STALE } else { self.rest_until };
        if self.now < stale_at {
            self.own_turn_at = None;
            return stale_at;
        }
        let turn = self
            .own_turn_at
            .unwrap_or_else(|| self.now + (self.pace.turn() as f64 * self.pace.chance()) as Micros);
        self.own_turn_at = Some(turn);
        turn.max(self.rest_until)
    }

    fn begin_if_due(&mut self) {
        if self.read.is_some() || self.read_at() > self.now {
            return;
        }
        let call = self.next_call();
        self.read = Some(Read::new(call, self.now, CALL_TIMEOUT));
        self.own_turn_at = None;
        // One that reads for itself has its next turn when all others have had one.
        let apart = if self.is_reader() { READ_EVERY } else { self.pace.turn() };
        self.rest_until = self.now + apart;
        self.effects.push(Effect::RequestPage { call, page_token: None });
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    fn next_at(&mut self) -> Micros {
        let read = self.read.as_ref().map(|read| read.expires_at);
        let read = read.unwrap_or_else(|| self.read_at());
        read.min(self.ask_another_at().unwrap_or(Micros::MAX)).max(self.now + 1)
    }

    /// When another relay is asked for its list.
    fn ask_another_at(&self) -> Option<Micros> {
        let due = if self.lacks { 0 } else { self.fresh_at + ASKS_AFTER };
        let asks = self.relays.len() > 1 && !self.is_reader() && (self.lacks || self.list.is_some());
        asks.then(|| due.max(self.asked_at + ASKS_AGAIN))
    }

    fn ask_another_if_due(&mut self) {
        if self.ask_another_at().is_some_and(|at| at <= self.now) {
            let mut others = self.relays.iter().filter(|name| **name != self.settings.me);
            let which = (self.pace.chance() * (self.relays.len() - 1) as f64) as usize;
            if let Some(to) = others.nth(which).cloned() {
                self.ask_another(&to);
            }
        }
    }

    fn ask_another(&mut self, to: &NodeName) {
        self.asked_at = self.now;
        let (age, digest) = (self.age(self.now), self.list.as_ref().map(|list| list.digest()));
        self.send(to, &ListMessage::Ask { asked_at: self.now, age, digest });
    }

    fn paged(&mut self, call: CallId, page: Page) {
        let Some(mut read) = self.read.take_if(|read| read.call == call) else { return };
        match read.take(page) {
            Progress::Next(token) => {
                read.call = self.next_call();
                read.expires_at = self.now + CALL_TIMEOUT;
                self.effects.push(Effect::RequestPage { call: read.call, page_token: Some(token) });
                self.read = Some(read);
            }
            Progress::Torn => self.give_up(false),
            Progress::Done { instances, pages } => {
                self.pace.succeeded(pages);
                self.publish(instances, pages, read.started_at);
            }
        }
    }

    fn call_failed(&mut self, call: CallId, failure: CallFailure) {
        if self.read.as_ref().is_some_and(|read| read.call == call) {
            self.give_up(failure == CallFailure::Refused);
        }
    }

    /// Nothing is concluded from a read that failed.
    fn give_up(&mut self, refused: bool) {
        self.read = None;
        let pause = self.pace.failed(refused);
        self.rest_until = self.rest_until.max(self.now + pause);
    }

    /// Takes over the list that this relay has read, and tells the others.
    fn publish(&mut self, read: BTreeMap<Arc<str>, ListedInstance>, pages: usize, read_at: Micros) {
        let before = self.list.clone().unwrap_or_default();
        let list = settle(&before, read, pages, &mut self.missed, self.now);
        self.sequence += 1;
        let id =
            ReadId { reader: self.settings.me.clone(), life: self.settings.life, sequence: self.sequence };
        let change =
            (list.digest() != before.digest()).then(|| (before.digest(), before.difference_to(&list)));
        let (age, digest) = (self.now.saturating_sub(read_at), list.digest());
        let news = ListMessage::News { read: id, age, digest, change };
        self.pass_on(&self.settings.me.clone(), &news);
        self.adopt(list, read_at);
    }

    fn adopt(&mut self, list: List, fresh_at: Micros) {
        (self.fresh_at, self.lacks) = (self.fresh_at.max(fresh_at), false);
        if self.list.as_ref().is_none_or(|before| **before != list) {
            let list = Arc::new(list);
            self.list = Some(list.clone());
            self.effects.push(Effect::Changed(list));
        }
    }

    fn pass_on(&mut self, root: &NodeName, message: &ListMessage) {
        let Ok(bytes) = frame::encode(message).map(Bytes::from) else { return };
        let next = children(&self.relays, root, &self.settings.me).cloned();
        self.effects.extend(next.map(|to| Effect::SendToRelay { to, bytes: bytes.clone() }));
    }

    fn send(&mut self, to: &NodeName, message: &ListMessage) {
        if let Ok(bytes) = frame::encode(message).map(Bytes::from) {
            self.effects.push(Effect::SendToRelay { to: to.clone(), bytes });
        }
    }

    fn hear(&mut self, from: &NodeName, bytes: &[u8]) {
        match frame::decode::<ListMessage>(bytes) {
            Ok(ListMessage::News { read, age, digest, change }) => {
                self.hear_news(from, read, age, digest, change)
            }
            Ok(ListMessage::Ask { asked_at, age, digest }) => self.answer(from, asked_at, age, digest),
            Ok(ListMessage::Same { asked_at, age, digest }) => {
                let is_mine = self.list.as_ref().is_some_and(|list| list.digest() == digest);
                if let Some(read_at) = self.told_at(asked_at, age).filter(|_| is_mine) {
                    (self.fresh_at, self.lacks) = (read_at, false);
                }
            }
            Ok(ListMessage::Whole { asked_at, age, instances }) => {
                if let Some(read_at) = self.told_at(asked_at, age) {
                    self.adopt(List::new(instances), read_at);
                }
            }
            Err(_) => {}
        }
    }

    fn answer(&mut self, from: &NodeName, asked_at: Micros, age: Option<Micros>, digest: Option<u64>) {
        let Some(list) = self.list.clone() else { return };
        let mine = self.now.saturating_sub(self.fresh_at);
        if age.is_some_and(|age| age <= mine) {
            return;
        }
        let answer = if digest == Some(list.digest()) {
            ListMessage::Same { asked_at, age: mine, digest: list.digest() }
        } else {
            ListMessage::Whole { asked_at, age: mine, instances: list.instances().cloned().collect() }
        };
        self.send(from, &answer);
    }

    /// When the list of an answer was read at the latest, if that is later than for the own one. Danger: an answer that
    /// was long on its way passes an old list off as new; it is taken to be as old as it can be.
    fn told_at(&self, asked_at: Micros, age: Micros) -> Option<Micros> {
        let read_at = asked_at.checked_sub(age).filter(|_| asked_at <= self.now)?;
        (self.list.is_none() || read_at > self.fresh_at).then_some(read_at)
    }

    fn hear_news(
        &mut self, from: &NodeName, read: ReadId, age: Micros, digest: u64, change: Option<(u64, Difference)>,
    ) {
        let newest = self.heard.get(&read.reader).copied();
        if read.reader == self.settings.me
            || newest.is_some_and(|newest| newest >= (read.life, read.sequence))
        {
            return;
        }
        self.heard.insert(read.reader.clone(), (read.life, read.sequence));
        let read_at = self.now.saturating_sub(age);
        let root = read.reader.clone();
        let news = ListMessage::News { read, age, digest, change };
        self.pass_on(&root, &news);
        let ListMessage::News { change, .. } = news else { return };
        // Danger: an older read that was held up on its way undoes a newer one.
        if self.list.is_some() && read_at <= self.fresh_at {
            return;
        }
        let before = self.list.clone().unwrap_or_default();
        if self.list.is_some() && before.digest() == digest {
            (self.fresh_at, self.lacks) = (read_at, false);
            return;
        }
        if let Some((_, difference)) = change.filter(|(base, _)| *base == before.digest()) {
            let list = before.with(&difference);
            if list.digest() == digest {
                return self.adopt(list, read_at);
            }
        }
        self.lacks = true;
        if self.asked_at + ASKS_AGAIN <= self.now {
            self.ask_another(from);
        }
    }
}
