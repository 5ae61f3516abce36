//! Copies to this store the messages of partitions whose groups it has newly joined.
//!
//! The store reads from the groups of the placement's first set, because that set contains every durable write: writes
//! have gone to it since it took effect, and go to it until another set is the only one. The store is complete once all
//! but `f` stores of each such group have sent everything that they know, and that data is synced.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Partition, PlacementEpoch, StoreId};
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::{StoreRequest, StoreResponse, StoredMessage};

use crate::interface::Effect;
use crate::persistence::RECOVERED_TICKET;
use crate::store::Store;

/// A request without a response is repeated after this time.
const RESPONSE_TIMEOUT: Micros = 1_000_000;

/// A request that a store declined is repeated after this time.
const DECLINE_RETRY_DELAY: Micros = 250_000;

/// After this many consecutive failures of a store, the requests also go to another store of the group.
const FAILURES_BEFORE_EXTRA_SOURCE: u32 = 2;

/// The progress of copying some partitions from one store.
#[derive(Debug)]
struct Source {
    store: StoreId,
    partitions: Vec<Partition>,
    after: Option<MessageName>,
    is_done: bool,
    /// The token of the outstanding request, and when it was sent.
    request: Option<(u64, Micros)>,
    not_before: Micros,
    failures: u32,
    /// The write ticket of the messages of the last page.
    ticket: u64,
}

/// The state of copying for one placement.
#[derive(Debug)]
pub(crate) struct Copying {
    epoch: PlacementEpoch,
    set: u64,
    partitions: Vec<Partition>,
    sources: Vec<Source>,
    /// The stores that have sent everything they know, by partition.
    answered: HashMap<Partition, BTreeSet<StoreId>>,
    /// Whether everything was read and the `CopiedSet` entry is being written.
    is_completion_written: bool,
}

impl Copying {
    /// When the next request or timeout is due.
    pub fn due(&self) -> Option<Micros> {
        let open = self.sources.iter().filter(|source| !source.is_done && !self.is_completion_written);
        open.map(|source| source.request.map_or(source.not_before, |(_, sent)| sent + RESPONSE_TIMEOUT)).min()
    }

    /// Adds source stores for each partition until it has the wanted number.
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
    /// Starts copying the partitions that the current placement requires of this store. If there are none, reports the
    /// copying as finished.
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
            is_completion_written: false,
        });
        self.choose_sources();
    }

    /// Chooses the stores to read from: for each partition a read quorum of its group, live stores first, and one more
    /// store for each one that fails.
    fn choose_sources(&mut self) {
        let Some(copying) = &mut self.copying else { return };
        let live = self.owners.live_stores();
        let mut candidates = HashMap::new();
        let mut wanted = HashMap::new();
        for partition in &copying.partitions {
            let Some(group) = self.view.placement().groups(*partition).into_iter().next() else { continue };
            let failing = copying.sources.iter().filter(|source| {
                source.failures >= FAILURES_BEFORE_EXTRA_SOURCE && source.partitions.contains(partition)
            });
            wanted.insert(*partition, group.read_quorum() + failing.count());
            let mut stores = group.stores;
            stores.sort_by_key(|store| !live.contains(store));
            candidates.insert(*partition, stores);
        }
        copying.add_sources(&candidates, &wanted);
    }

    /// Handles timeouts and requests the next pages; each store has at most one outstanding request.
    pub(crate) fn advance_copying(&mut self) {
        let now = self.now.steady;
        let Some(copying) = &mut self.copying else { return };
        if copying.is_completion_written {
            return;
        }
        let mut has_failing = false;
        for source in &mut copying.sources {
            if source.request.is_some_and(|(_, sent)| sent + RESPONSE_TIMEOUT <= now) {
                source.request = None;
                source.failures += 1;
                has_failing |= source.failures == FAILURES_BEFORE_EXTRA_SOURCE;
            }
        }
        if has_failing {
            self.choose_sources();
        }
        self.send_pull_requests();
        self.finish_copying();
    }

    fn send_pull_requests(&mut self) {
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
            self.out.push(Effect::SendStoreRequest {
                to: source.store.clone(),
                token: self.last_request,
                request,
            });
        }
    }

    /// Writes the `CopiedSet` entry once a read quorum of each group has sent everything it knows.
    fn finish_copying(&mut self) {
        let Some(copying) = &mut self.copying else { return };
        let placement = self.view.placement();
        let no_stores = BTreeSet::new();
        let is_read = copying.partitions.iter().all(|partition| {
            let answered = copying.answered.get(partition).unwrap_or(&no_stores);
            placement.groups(*partition).first().is_some_and(|group| group.is_read_quorum(answered))
        });
        if is_read {
            copying.is_completion_written = true;
            let set = copying.set;
            // This entry is written after all copied messages, so it is synced after them.
            self.write_copied_set(set);
        }
    }

    /// Marks a set as copied after its `CopiedSet` entry was synced.
    pub(crate) fn note_copied_set(&mut self, set: u64, epoch: PlacementEpoch) {
        self.view.note_copied(set, epoch);
        if self.copying.as_ref().is_some_and(|copying| copying.set == set && copying.epoch == epoch) {
            self.copying = None;
            self.out.push(Effect::Copied { epoch });
        }
    }

    /// Handles another store's response, either to forwarded facts or to a `Pull` request.
    pub(crate) fn handle_pull_response(&mut self, token: u64, response: Option<StoreResponse>) {
        if !self.handle_late_facts_response(token, response.as_ref()) {
            self.handle_page(token, response);
        }
    }

    fn handle_page(&mut self, token: u64, response: Option<StoreResponse>) {
        let now = self.now.steady;
        let Some(copying) = &mut self.copying else { return };
        let is_awaited = |source: &Source| source.request.is_some_and(|(sent, _)| sent == token);
        let Some(index) = copying.sources.iter().position(is_awaited) else { return };
        let source = &mut copying.sources[index];
        source.request = None;
        let Some(StoreResponse::Contents { messages, is_last, .. }) = response else {
            source.failures += 1;
            source.not_before = now + DECLINE_RETRY_DELAY;
            if source.failures == FAILURES_BEFORE_EXTRA_SOURCE {
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
        self.clear_ticket_without_writes(index);
    }

    /// Resets the ticket of a source if its page brought nothing new, because then there is no write to wait for.
    fn clear_ticket_without_writes(&mut self, index: usize) {
        let has_entries = self.persistence.has_open_entries();
        if let Some(copying) = &mut self.copying
            && let Some(source) = copying.sources.get_mut(index)
            && !has_entries
        {
            source.ticket = RECOVERED_TICKET;
        }
    }

    /// Merges another store's state of a message into this store's state.
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
