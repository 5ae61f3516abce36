//! Facts for stores that may have copied a message's group before these facts came.
//!
//! A relay that knows the older placement alone tells facts to the older group alone. A store of that group passes them
//! on to the stores that are new to it, until these have them: an end that `f + 1` of the older group have acknowledged
//! must be known to a read quorum of the next one, also where the store that left was among them. Where the move is over by
//! then, the store that left passes the end on to the whole group.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Partition, Placement, StoreId};
use pewterseam_wire::record::Fact;
use pewterseam_wire::store::{StoreRequest, StoreResponse};

use crate::interface::Effect;
use crate::placement_view::Standing;
use crate::store::Store;

/// Facts without an answer are taken for unheard after this time.
const PATIENCE: Micros = 1_000_000;

/// Unheard facts are told again after this time.
const PAUSE: Micros = 250_000;

/// Facts in one request that tells them again.
const MOST_IN_REQUEST: usize = 256;

/// Requests that tell one store facts again at a time; the rest waits until these are heard.
const MOST_REQUESTS: usize = 8;

/// Facts that are kept for being told again. Those beyond are told once.
const MOST_KEPT: usize = 65_536;

/// Facts on their way to a store.
#[derive(Debug)]
struct Sent {
    to: StoreId,
    facts: Vec<Fact>,
    sent_at: Micros,
}

/// What stores that are new to a group have yet to hear.
#[derive(Debug, Default)]
pub(crate) struct LateFacts {
    /// By the token of the request, and so in the order of sending.
    on_their_way: BTreeMap<u64, Sent>,
    unheard: BTreeMap<StoreId, Vec<Fact>>,
    tell_again_at: Option<Micros>,
    /// Facts in both.
    kept: usize,
}

impl LateFacts {
    /// When facts are to be taken for unheard, or to be told again.
    pub fn due(&self) -> Option<Micros> {
        let silent = self.on_their_way.values().next().map(|sent| sent.sent_at + PATIENCE);
        silent.into_iter().chain(self.tell_again_at).min()
    }

    /// Forgets what is for stores that are not in the placement: nobody reads from them.
    pub fn keep_those_in(&mut self, placement: &Placement) {
        let is_in = |store: &StoreId| placement.sets.iter().flatten().any(|entry| entry.id == *store);
        self.on_their_way.retain(|_, sent| is_in(&sent.to));
        self.unheard.retain(|store, _| is_in(store));
        let on_their_way: usize = self.on_their_way.values().map(|sent| sent.facts.len()).sum();
        let unheard: usize = self.unheard.values().map(Vec::len).sum();
        self.kept = on_their_way + unheard;
    }

    fn sent(&mut self, token: u64, sent: Sent) {
        if self.kept + sent.facts.len() <= MOST_KEPT {
            self.kept += sent.facts.len();
            self.on_their_way.insert(token, sent);
        }
    }

    /// Facts were not heard: they are told again after a pause.
    fn not_heard(&mut self, sent: Sent, now: Micros) {
        self.unheard.entry(sent.to).or_default().extend(sent.facts);
        self.tell_again_at.get_or_insert(now + PAUSE);
    }

    /// Takes the answer to a request, if it was one of these.
    fn answered(&mut self, token: u64, is_heard: bool, now: Micros) -> bool {
        let Some(sent) = self.on_their_way.remove(&token) else { return false };
        if !is_heard {
            self.not_heard(sent, now);
            return true;
        }
        self.kept -= sent.facts.len();
        if self.unheard.contains_key(&sent.to) {
            self.tell_again_at = Some(now);
        }
        true
    }

    /// Takes what has had no answer for long for unheard.
    fn note_silence(&mut self, now: Micros) {
        while let Some(first) = self.on_their_way.first_entry() {
            if first.get().sent_at + PATIENCE > now {
                return;
            }
            let sent = first.remove();
            self.not_heard(sent, now);
        }
    }

    /// Takes out what is to be told again now: to each store some requests at most.
    fn take_due(&mut self, now: Micros) -> Vec<(StoreId, Vec<Fact>)> {
        let mut due = Vec::new();
        if self.tell_again_at.take_if(|at| *at <= now).is_none() {
            return due;
        }
        for (store, facts) in &mut self.unheard {
            let count = facts.len().min(MOST_IN_REQUEST * MOST_REQUESTS);
            let first: Vec<Fact> = facts.drain(..count).collect();
            self.kept -= count;
            due.extend(first.chunks(MOST_IN_REQUEST).map(|chunk| (store.clone(), chunk.to_vec())));
        }
        self.unheard.retain(|_, facts| !facts.is_empty());
        due
    }
}

impl Store {
    /// Passes facts on to stores that may lack them. The asker's answer does not wait for it.
    pub(crate) fn forward(&mut self, facts: &[Fact]) {
        let mut by_store: BTreeMap<StoreId, Vec<Fact>> = BTreeMap::new();
        for fact in facts {
            let Some(partition) = fact.name().partition() else { continue };
            for store in self.who_may_lack(fact, partition) {
                by_store.entry(store).or_default().push(fact.clone());
            }
        }
        for (to, facts) in by_store {
            self.pass_on(to, facts);
        }
    }

    /// During a move, the stores that are new to the message's group. A store that is in no group of the message (it has
    /// left, and its answer still counts for a relay that does not know) passes an end on to those that are.
    ///
    /// Danger: a store that did so with an end that it knows already could pass it to and fro with another, where the
    /// two have different placements.
    fn who_may_lack(&mut self, fact: &Fact, partition: Partition) -> Vec<StoreId> {
        if self.view.standing(partition) != Standing::Outside {
            return self.view.newcomers(partition);
        }
        let is_known = |name| self.messages.get(name).is_some_and(|message| message.end.is_some());
        match fact {
            Fact::Ended { name, .. } if !is_known(name) => self.view.target_stores(partition),
            Fact::Ended { .. } | Fact::Attempted { .. } => Vec::new(),
        }
    }

    fn pass_on(&mut self, to: StoreId, facts: Vec<Fact>) {
        self.last_request += 1;
        let token = self.last_request;
        let request = StoreRequest::Settle { facts: facts.clone() };
        self.out.push(Effect::SendPull { to: to.clone(), token, request });
        self.late_facts.sent(token, Sent { to, facts, sent_at: self.now.steady });
    }

    /// Takes another store's answer to facts. False where it answers something else.
    pub(crate) fn late_facts_answered(&mut self, token: u64, response: Option<&StoreResponse>) -> bool {
        let is_heard = matches!(response, Some(StoreResponse::Done { .. }));
        self.late_facts.answered(token, is_heard, self.now.steady)
    }

    /// Tells again what is due.
    pub(crate) fn tell_late_facts(&mut self) {
        let now = self.now.steady;
        self.late_facts.note_silence(now);
        for (to, facts) in self.late_facts.take_due(now) {
            self.pass_on(to, facts);
        }
    }
}
