//! Copies what a store must know of partitions that are new to it.
//!
//! It reads from the groups of the placement's first set, as that is the set in which every durable write is: writes
//! have gone to it since it came into force, and go to it until another set is alone. Once all but `f` stores of each
//! such group have told all that they know, and that is synced, the store is complete.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Partition, PlacementEpoch, StoreId};
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::{StoreRequest, StoreResponse, StoredMessage};

use crate::interface::Effect;
use crate::persistence::RECOVERED_TICKET;
use crate::store::Store;

/// A store that has not answered is asked again after this time.
const PATIENCE: Micros = 1_000_000;

/// A store that declined is asked again after this time.
const REST_AFTER_DECLINE: Micros = 250_000;

/// After so many failures in a row another store of the group is asked as well.
const FAILURES_BEFORE_ANOTHER: u32 = 2;

/// One store's answers on some partitions.
#[derive(Debug)]
struct Source {
    store: StoreId,
    partitions: Vec<Partition>,
    after: Option<MessageName>,
    is_done: bool,
    /// The token of the request that is on its way, and when it was sent.
    request: Option<(u64, Micros)>,
    not_before: Micros,
    failures: u32,
    /// What the last piece brought is written with this ticket.
    ticket: u64,
}

/// The copying for one placement.
#[derive(Debug)]
pub(crate) struct Copying {
    epoch: PlacementEpoch,
    set: u64,
    partitions: Vec<Partition>,
    sources: Vec<Source>,
    /// Stores that have told all, by partition.
    answered: HashMap<Partition, BTreeSet<StoreId>>,
    /// Everything was read; the note of it is being written.
    is_noted: bool,
}

impl Copying {
    /// When there is something to do without an answer.
    pub fn due(&self) -> Option<Micros> {
        let open = self.sources.iter().filter(|source| !source.is_done && !self.is_noted);
        open.map(|source| source.request.map_or(source.not_before, |(_, sent)| sent + PATIENCE)).min()
    }

    /// Adds sources for the partitions that still lack answers, at most one further store for each.
    fn add_sources(
        &mut self, candidates: &HashMap<Partition, Vec<StoreId>>, wanted: &HashMap<Partition, usize>,
    ) {
        let mut new: BTreeMap<StoreId, Vec<Partition>> = BTreeMap::new();
        for partition in &self.partitions {
            let asked: Vec<&StoreId> = self
                .sources
                .iter()
                .filter(|source| source.partitions.contains(partition))
                .map(|source| &source.store)
                .collect();
            let lacking = wanted.get(partition).copied().unwrap_or(0).saturating_sub(asked.len());
            let others = candidates.get(partition).map(Vec::as_slice).unwrap_or_default();
            for store in others.iter().filter(|store| !asked.contains(store)).take(lacking) {
                new.entry(store.clone()).or_default().push(*partition);
            }
        }
        self.sources.extend(new.into_iter().map(|(store, partitions)| Source {
            store,
            partitions,
            after: None,
            is_done: false,
            request: None,
            not_before: 0,
            failures: 0,
            ticket: RECOVERED_TICKET,
        }));
    }
}

impl Store {
    /// Starts copying what the placement in force asks of this store. Where that is nothing, says so.
    pub(crate) fn start_copying(&mut self) {
        self.copying = None;
        let Some(set) = self.view.target_hash().filter(|_| self.view.is_joining()) else { return };
        let epoch = self.view.epoch();
        let partitions = self.view.incomplete_partitions();
        if partitions.is_empty() {
            return self.out.push(Effect::Copied { epoch });
        }
        self.copying = Some(Copying {
            epoch,
            set,
            partitions,
            sources: Vec::new(),
            answered: HashMap::new(),
            is_noted: false,
        });
        self.choose_sources();
    }

    /// Chooses the stores to read from: for each partition as many of its group as make a read, live ones first, and
    /// one more for each that fails.
    fn choose_sources(&mut self) {
        let Some(copying) = &mut self.copying else { return };
        let live = self.owners.live_stores();
        let mut candidates = HashMap::new();
        let mut wanted = HashMap::new();
        for partition in &copying.partitions {
            let Some(group) = self.view.placement().groups(*partition).into_iter().next() else { continue };
            let failing = copying.sources.iter().filter(|source| {
                source.failures >= FAILURES_BEFORE_ANOTHER && source.partitions.contains(partition)
            });
            wanted.insert(*partition, group.read_quorum() + failing.count());
            let mut stores = group.stores;
            stores.sort_by_key(|store| !live.contains(store));
            candidates.insert(*partition, stores);
        }
        copying.add_sources(&candidates, &wanted);
    }

    /// Asks for the next pieces: at most one of each store at a time.
    pub(crate) fn drive_copying(&mut self) {
        let now = self.now.steady;
        let Some(copying) = &mut self.copying else { return };
        if copying.is_noted {
            return;
        }
        let mut has_failing = false;
        for source in &mut copying.sources {
            if source.request.is_some_and(|(_, sent)| sent + PATIENCE <= now) {
                source.request = None;
                source.failures += 1;
                has_failing |= source.failures == FAILURES_BEFORE_ANOTHER;
            }
        }
        if has_failing {
            self.choose_sources();
        }
        self.ask_sources();
        self.finish_copying();
    }

    fn ask_sources(&mut self) {
        let now = self.now.steady;
        let Some(copying) = &mut self.copying else { return };
        let mut busy: BTreeSet<StoreId> = copying
            .sources
            .iter()
            .filter(|source| source.request.is_some())
            .map(|source| source.store.clone())
            .collect();
        for source in &mut copying.sources {
            let is_waiting = source.request.is_some() || !self.persistence.is_synced(source.ticket);
            if source.is_done || is_waiting || source.not_before > now || !busy.insert(source.store.clone()) {
                continue;
            }
            self.last_request += 1;
            source.request = Some((self.last_request, now));
            let request = StoreRequest::Pull {
                epoch: copying.epoch,
                partitions: source.partitions.clone(),
                after: source.after.clone(),
            };
            self.out.push(Effect::SendPull { to: source.store.clone(), token: self.last_request, request });
        }
    }

    /// Notes that everything was copied once enough stores have told all.
    fn finish_copying(&mut self) {
        let Some(copying) = &mut self.copying else { return };
        let placement = self.view.placement();
        let nobody = BTreeSet::new();
        let is_read = copying.partitions.iter().all(|partition| {
            let answered = copying.answered.get(partition).unwrap_or(&nobody);
            placement.groups(*partition).first().is_some_and(|group| group.is_read(answered))
        });
        if is_read {
            copying.is_noted = true;
            let set = copying.set;
            // It is written after all that was copied, so it is synced after it.
            self.write_copied_set(set);
        }
    }

    /// The note that a set was copied is synced.
    pub(crate) fn note_copied_set(&mut self, set: u64, epoch: PlacementEpoch) {
        self.view.note_copied(set, epoch);
        if self.copying.as_ref().is_some_and(|copying| copying.set == set && copying.epoch == epoch) {
            self.copying = None;
            self.out.push(Effect::Copied { epoch });
        }
    }

    /// Takes another store's answer: a piece, or to facts that were passed on.
    pub(crate) fn take_pull_answer(&mut self, token: u64, response: Option<StoreResponse>) {
        if !self.late_facts_answered(token, response.as_ref()) {
            self.take_piece(token, response);
        }
    }

    fn take_piece(&mut self, token: u64, response: Option<StoreResponse>) {
        let now = self.now.steady;
        let Some(copying) = &mut self.copying else { return };
        let is_it = |source: &Source| source.request.is_some_and(|(sent, _)| sent == token);
        let Some(index) = copying.sources.iter().position(is_it) else { return };
        let source = &mut copying.sources[index];
        source.request = None;
        let Some(StoreResponse::Contents { messages, is_last, .. }) = response else {
            source.failures += 1;
            source.not_before = now + REST_AFTER_DECLINE;
            if source.failures == FAILURES_BEFORE_ANOTHER {
                self.choose_sources();
            }
            return;
        };
        source.failures = 0;
        source.after = messages.last().map(|message| message.name.clone()).or(source.after.take());
        source.is_done = is_last;
        source.ticket = if messages.is_empty() { source.ticket } else { self.persistence.open_ticket() };
        if is_last {
            for partition in &source.partitions {
                copying.answered.entry(*partition).or_default().insert(source.store.clone());
            }
        }
        for message in messages {
            self.merge(message);
        }
        self.settle_ticket_of(index);
    }

    /// A piece that brought nothing new has nothing to wait for.
    fn settle_ticket_of(&mut self, index: usize) {
        let has_entries = self.persistence.has_open_entries();
        if let Some(copying) = &mut self.copying
            && let Some(source) = copying.sources.get_mut(index)
            && !has_entries
        {
            source.ticket = RECOVERED_TICKET;
        }
    }

    /// Adds what another store knows of a message.
    fn merge(&mut self, mut stored: StoredMessage) {
        let name = stored.name.clone();
        if let Some(end) = &stored.end {
            self.note_end(&name, end.clone());
        }
        self.note_attempts(&name, stored.failures);
        let known = self.messages.get(&name);
        let has_record = known.is_some_and(|message| message.record.is_some());
        let is_completed = known.is_some_and(|message| matches!(message.end, Some(End::Completed { .. })));
        let (owner, claim) = (stored.owner.clone(), stored.claim);
        if !has_record && !is_completed && stored.record.is_some() {
            stored.failures = known.map_or(0, |message| message.failures);
            self.add_record(stored);
        }
        if let Some(owner) = owner {
            self.change_owner(&name, &owner, claim);
        }
    }
}
