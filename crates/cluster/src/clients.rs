//! Clients: messages at random times, and another try after a promise that the last one was not taken.

use std::sync::Arc;

use bytes::Bytes;
use pewterseam_queue::{Answer, ClientToken, NewMessage};
use pewterseam_wire::Micros;
use pewterseam_wire::random::Random;

use crate::configuration::{HOST, LIMITED, ORDERED, PASSING, PLAIN, route_key};
use crate::event::{Event, Input, Life};
use crate::plan::MILLISECOND;
use crate::world::World;

const KEYS: usize = 3;
const MOST_TRIES: u32 = 4;
const LEAST_PATIENCE_MS: usize = 300;
const MORE_PATIENCE_MS: usize = 1_200;
const LEAST_BODY: usize = 8;
const MORE_BODY: usize = 1_500;

/// A message that a client wants taken.
pub struct Client {
    route: &'static str,
    key: Option<Arc<str>>,
    delay_ms: u64,
    patience_ms: u64,
    body: Bytes,
    tries: u32,
    /// The number of the try that is under way.
    open: Option<u64>,
}

impl Client {
    /// Draws one; of ten, so many are for the limited service. One in six has a delay.
    pub fn draw(random: &mut Random, limited: usize, uses_passing: bool, most_delay_ms: usize) -> Self {
        let (route, key) = match random.below(10) {
            _ if uses_passing && random.below(2) == 0 => (PASSING[random.below(PASSING.len())], None),
            kind if kind < limited => (LIMITED, None),
            _ if random.below(2) == 0 => (PLAIN, None),
            _ => (ORDERED, Some(Arc::from(format!("key-{}", random.below(KEYS))))),
        };
        let is_delayed = random.below(6) == 0;
        let body = vec![b'a' + random.below(26) as u8; LEAST_BODY + random.below(MORE_BODY)];
        Client {
            route,
            key,
            delay_ms: if is_delayed { random.below(most_delay_ms) as u64 } else { 0 },
            patience_ms: (LEAST_PATIENCE_MS + random.below(MORE_PATIENCE_MS)) as u64,
            body: Bytes::from(body),
            tries: 0,
            open: None,
        }
    }
}

impl World {
    pub(crate) fn client_sends(&mut self, index: usize) {
        let Some(relay) = self.relay_for_clients() else {
            self.agenda.add(self.now + 100 * MILLISECOND, Event::ClientSends { client: index });
            return;
        };
        self.last_request += 1;
        let (request, client) = (self.last_request, &mut self.clients[index]);
        client.tries += 1;
        client.open = Some(request);
        let id: Arc<str> = Arc::from(format!("m{index}-{}", client.tries));
        let new = NewMessage {
            token: ClientToken(request),
            request_id: id.clone(),
            route: Arc::from(client.route),
            route_key: route_key(client.route),
            host: Arc::from(HOST),
            method: Arc::from("POST"),
            target: Arc::from(format!("/{}/x", client.route)),
            headers: Vec::new(),
            body: client.body.clone(),
            ordering_key: client.key.clone(),
            delay_ms: client.delay_ms,
            client_timeout_ms: client.patience_ms,
        };
        let patience = client.patience_ms * MILLISECOND;
        self.judge.sent(self.now, &new, relay);
        self.requests.insert(request, (index, id));
        let arrival = self.now + self.network.delay();
        self.agenda.add(arrival, Event::Process(relay, Input::Client(Box::new(new))));
        let gives_up = Event::ClientHears { client: index, request, answer: None };
        self.agenda.add(self.now + patience, gives_up);
    }

    /// The platform passes a connection to a relay that calls itself ready, or to any if there is none.
    pub(crate) fn relay_for_clients(&mut self) -> Option<Life> {
        let is_ready = |index: &usize| self.machines[*index].is_ready();
        let ready: Vec<usize> = (0..self.machines.len()).filter(is_ready).collect();
        let is_there = |index: &usize| self.machines[*index].relay().is_some();
        let there: Vec<usize> = (0..self.machines.len()).filter(is_there).collect();
        let chosen = if ready.is_empty() || self.random.below(40) == 0 { there } else { ready };
        let machine = *chosen.get(self.random.below(chosen.len()))?;
        Some(self.life(machine))
    }

    pub(crate) fn client_hears(&mut self, index: usize, request: u64, answer: Option<Answer>) {
        let client = &mut self.clients[index];
        if client.open != Some(request) {
            return;
        }
        client.open = None;
        let tries = client.tries;
        let Some((_, id)) = self.requests.remove(&request) else { return };
        self.judge.told(self.now, &id, answer.as_ref());
        if let Some(Answer::Accepted { name }) = &answer {
            self.plan_questions(name);
        }
        if let Some(Answer::Declined { retry_after_ms }) = answer
            && tries < MOST_TRIES
        {
            let pause = (retry_after_ms.min(500) + 20) * MILLISECOND;
            let pause = pause + self.random.below(200) as Micros * MILLISECOND;
            self.agenda.add(self.now + pause, Event::ClientSends { client: index });
        }
    }
}
