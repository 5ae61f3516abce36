//! Forwards facts to stores that may have copied a message's group before these facts arrived.
//!
//! A relay that knows only the older placement sends facts only to the older group. A store of that group forwards them
//! to the stores that have joined, until those acknowledge them: an end that `f + 1` stores of the older group have
//! acknowledged must be known to a read quorum of the next group, even if the store that left was among the `f + 1`. If
//! the move has finished by then, the store that left forwards the end to the whole group.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Partition, Placement, StoreId};
use pewterseam_wire::record::Fact;
use pewterseam_wire::store::{StoreRequest, StoreResponse};

use crate::interface::Effect;
use crate::placement_view::ReplicaState;
use crate::store::Store;

/// Facts without a response count as unacknowledged after this time.
const RESPONSE_TIMEOUT: Micros = 1_000_000;

/// Unacknowledged facts are sent again after this time.
const RETRY_DELAY: Micros = 250_000;

/// The maximum number of facts in one request that sends them again.
const MAX_FACTS_PER_REQUEST: usize = 256;

/// The maximum number of repeated requests to one store at a time; the other facts wait until these are acknowledged.
const MAX_RETRY_REQUESTS: usize = 8;

/// The maximum number of facts that are buffered for retries. Facts beyond it are sent only once.
const MAX_BUFFERED_FACTS: usize = 65_536;

/// A request with facts that was sent to a store.
#[derive(Debug)]
struct Sent {
    to: StoreId,
    facts: Vec<Fact>,
    sent_at: Micros,
}

/// The facts that newly joined stores have not acknowledged yet.
#[derive(Debug, Default)]
pub(crate) struct LateFacts {
    /// The outstanding requests by token, and so in the order of sending.
    in_flight: BTreeMap<u64, Sent>,
    unacknowledged: BTreeMap<StoreId, Vec<Fact>>,
    retry_at: Option<Micros>,
    /// The number of facts in `in_flight` and `unacknowledged`.
    buffered_count: usize,
}

impl LateFacts {
    /// When the next request times out or the next retry is due.
    pub fn due(&self) -> Option<Micros> {
        let timeout = self.in_flight.values().next().map(|sent| sent.sent_at + RESPONSE_TIMEOUT);
        timeout.into_iter().chain(self.retry_at).min()
    }

    /// Drops the facts for stores that are not in the placement, because no reads go to those stores.
    pub fn retain_stores_in(&mut self, placement: &Placement) {
        let is_in = |store: &StoreId| placement.sets.iter().flatten().any(|entry| entry.id == *store);
        self.in_flight.retain(|_, sent| is_in(&sent.to));
        self.unacknowledged.retain(|store, _| is_in(store));
        let in_flight: usize = self.in_flight.values().map(|sent| sent.facts.len()).sum();
        let unacknowledged: usize = self.unacknowledged.values().map(Vec::len).sum();
        self.buffered_count = in_flight + unacknowledged;
    }

    fn add_sent(&mut self, token: u64, sent: Sent) {
        if self.buffered_count + sent.facts.len() <= MAX_BUFFERED_FACTS {
            self.buffered_count += sent.facts.len();
            self.in_flight.insert(token, sent);
        }
    }

    /// Queues unacknowledged facts to be sent again after a delay.
    fn queue_retry(&mut self, sent: Sent, now: Micros) {
        self.unacknowledged.entry(sent.to).or_default().extend(sent.facts);
        self.retry_at.get_or_insert(now + RETRY_DELAY);
    }

    /// Handles the response to a request. Returns false if the token belongs to no request with facts.
    fn handle_response(&mut self, token: u64, is_acknowledged: bool, now: Micros) -> bool {
        let Some(sent) = self.in_flight.remove(&token) else { return false };
        if !is_acknowledged {
            self.queue_retry(sent, now);
            return true;
        }
        self.buffered_count -= sent.facts.len();
        if self.unacknowledged.contains_key(&sent.to) {
            self.retry_at = Some(now);
        }
        true
    }

    /// Queues the facts of timed-out requests for a retry.
    fn time_out_requests(&mut self, now: Micros) {
        while let Some(first) = self.in_flight.first_entry() {
            if first.get().sent_at + RESPONSE_TIMEOUT > now {
                return;
            }
            let sent = first.remove();
            self.queue_retry(sent, now);
        }
    }

    /// Takes the facts whose retry is due, in a limited number of requests to each store.
    fn take_due(&mut self, now: Micros) -> Vec<(StoreId, Vec<Fact>)> {
        let mut due = Vec::new();
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return due;
        }
        for (store, facts) in &mut self.unacknowledged {
            let count = facts.len().min(MAX_FACTS_PER_REQUEST * MAX_RETRY_REQUESTS);
            let first: Vec<Fact> = facts.drain(..count).collect();
            self.buffered_count -= count;
            due.extend(first.chunks(MAX_FACTS_PER_REQUEST).map(|chunk| (store.clone(), chunk.to_vec())));
        }
        self.unacknowledged.retain(|_, facts| !facts.is_empty());
        due
    }
}

impl Store {
    /// Forwards facts to stores that may lack them. The response to the relay does not wait for it.
    pub(crate) fn forward_facts(&mut self, facts: &[Fact]) {
        let mut by_store: BTreeMap<StoreId, Vec<Fact>> = BTreeMap::new();
        for fact in facts {
            let Some(partition) = fact.name().partition() else { continue };
            for store in self.stores_that_may_lack(fact, partition) {
                by_store.entry(store).or_default().push(fact.clone());
            }
        }
        for (to, facts) in by_store {
            self.send_facts(to, facts);
        }
    }

    /// Returns the stores that may lack a fact. During a move, these are the stores that join the message's group. A store
    /// in no group of the message has left, and its response still counts for a relay that does not know this; it
    /// forwards an end to the stores of the group.
    ///
    /// An end that this store already knows is not forwarded: two stores with different placements could otherwise send
    /// it back and forth forever.
    fn stores_that_may_lack(&mut self, fact: &Fact, partition: Partition) -> Vec<StoreId> {
        if self.view.replica_state(partition) != ReplicaState::NotInGroup {
            return self.view.joining_stores(partition);
        }
        let is_known = |name| self.messages.get(name).is_some_and(|message| message.end.is_some());
        match fact {
            Fact::Ended { name, .. } if !is_known(name) => self.view.target_stores(partition),
            Fact::Ended { .. } | Fact::Attempted { .. } => Vec::new(),
        }
    }

    fn send_facts(&mut self, to: StoreId, facts: Vec<Fact>) {
        self.last_request += 1;
        let token = self.last_request;
        let request = StoreRequest::Settle { facts: facts.clone() };
        self.out.push(Effect::SendStoreRequest { to: to.clone(), token, request });
        self.late_facts.add_sent(token, Sent { to, facts, sent_at: self.now.steady });
    }

    /// Handles another store's response to forwarded facts. Returns false if it responds to another request.
    pub(crate) fn handle_late_facts_response(
        &mut self, token: u64, response: Option<&StoreResponse>,
    ) -> bool {
        let is_acknowledged = matches!(response, Some(StoreResponse::Done { .. }));
        self.late_facts.handle_response(token, is_acknowledged, self.now.steady)
    }

    /// Sends the facts whose retry is due.
    pub(crate) fn resend_late_facts(&mut self) {
        let now = self.now.steady;
        self.late_facts.time_out_requests(now);
        for (to, facts) in self.late_facts.take_due(now) {
            self.send_facts(to, facts);
        }
    }
}
