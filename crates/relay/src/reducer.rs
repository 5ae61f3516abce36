//! All changes of the relay's state. Time and inputs go in; records for the journal and effects come out. It
//! reads no clock and touches no socket or file.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hasher;
use std::net::SocketAddr;

use bytes::Bytes;
use pewterseam::Brain;
use pewterseam::interface::{
    Action, Ended, Event, History, HostId, Lifecycle, Listed, MessageId, Micros, Outcome, RegistryNews,
    Request as Order, Settings,
};
use pewterseam_settings::Deployment;
use pewterseam_settings::time::micros;
use siphasher::sip::SipHasher13;

use crate::clients::RequestId;
use crate::counters::Counters;
use crate::discovery::{List, State as Listing};
use crate::hosts::{Call, Reply};
use crate::http::{Headers, Request, Response};
use crate::journal::{self, Record, Restored};
use crate::message::{End, Message};
use crate::notices::Notice;

/// What happened outside.
#[derive(Debug)]
pub enum Input {
    /// A client's request, whole.
    Request {
        id: RequestId,
        request: Request,
    },
    /// What a client sent was no request.
    BadRequest,
    /// The outcome of a call.
    Called {
        id: MessageId,
        attempt: u32,
        reply: Reply,
    },
    Probed {
        host: HostId,
        reply: Reply,
    },
    Listed(List),
    ListFailed,
    Peer {
        from: u16,
        bytes: Vec<u8>,
    },
    /// A datagram that no peer sent, or too long a one.
    Stray,
    /// Notices that were answered.
    Told(Vec<u64>),
    NotTold {
        status: Option<u16>,
    },
    /// The journal was written anew, or could not be.
    WrittenAnew {
        done: bool,
    },
    /// The process is asked to end.
    Stop,
}

/// What is to be done outside, once the step's records are in the journal.
#[derive(Debug, PartialEq)]
pub enum Effect {
    Respond { id: RequestId, response: Response },
    Call(Call),
    Cancel { id: MessageId, attempt: u32 },
    Probe { host: HostId, address: SocketAddr, path: &'static str, timeout: Micros },
    CloseIdle(HostId),
    Notify(Notice),
    Tell { to: Option<u16>, bytes: Vec<u8> },
    Follow,
    Wake(Micros),
    Log { level: Level, text: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Info,
    Warn,
    Error,
}

/// What a step asks for.
#[derive(Debug, Default, PartialEq)]
pub struct Step {
    pub records: Vec<Record>,
    pub effects: Vec<Effect>,
}

/// A message on hand.
#[derive(Debug)]
struct Held {
    message: Message,
    attempts: u32,
    /// When the first attempt that may have run was sent.
    ran: Option<Micros>,
    /// The attempt that is out, and when it was sent.
    out: Option<(u32, Micros)>,
    closing: Option<End>,
    footprint: u64,
}

/// The relay's state.
pub struct Reducer {
    brain: Brain,
    deployment: Deployment,
    held: BTreeMap<MessageId, Held>,
    by_client_id: HashMap<String, MessageId>,
    hosts: HashMap<HostId, SocketAddr>,
    next: u64,
    /// Bytes of the journal that messages on hand may take and do take.
    room: u64,
    footprint: u64,
    /// Records that a failing journal did not take.
    backlog: Vec<Record>,
    stopping: bool,
    /// Requests of this step that wait for what the decisions say.
    asking: BTreeMap<MessageId, RequestId>,
    step: Step,
    counters: Counters,
}

/// The number of a name, the same at every relay.
fn hash(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}

impl Reducer {
    /// `room` is the journal's for messages on hand. Takes over what the journal tells.
    pub fn new(deployment: Deployment, seed: u64, room: u64) -> Self {
        Reducer {
            brain: Brain::new(deployment.settings.clone(), seed),
            deployment,
            held: BTreeMap::new(),
            by_client_id: HashMap::new(),
            hosts: HashMap::new(),
            next: 1,
            room,
            footprint: 0,
            backlog: Vec::new(),
            stopping: false,
            asking: BTreeMap::new(),
            step: Step::default(),
            counters: Counters::default(),
        }
    }

    fn settings(&self) -> &Settings {
        &self.deployment.settings
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Calls that are out.
    pub fn out(&self) -> usize {
        self.held.values().filter(|held| held.out.is_some()).count()
    }

    /// Messages on hand.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn is_ready(&self) -> bool {
        !self.stopping && !self.hosts.is_empty()
    }

    // ---- Start

    /// Begins with what the journal tells and the last known list.
    pub fn start(&mut self, now: Micros, history: journal::History, known: Option<List>) -> Step {
        self.next = self.next.max(history.next);
        let mut events = Vec::new();
        if let Some(list) = known {
            events.push(self.list(list));
        }
        for restored in history.messages {
            self.counters.restored += 1;
            events.extend(self.restore(now, restored));
        }
        self.decide(now, events)
    }

    /// Takes a message over with its history. One that the settings no longer know is given up.
    fn restore(&mut self, now: Micros, restored: Restored) -> Option<Event> {
        let Restored { number, message, attempts, ran, cut, closing } = restored;
        let id = MessageId(number);
        let order = self.order(id, &message).ok().map(|order| {
            let cut_at = cut.then_some(now);
            Order { history: History { attempts, ran, cut_at, over: closing.is_some() }, ..order }
        });
        let footprint = journal::footprint(&message);
        self.footprint += footprint;
        self.by_client_id.insert(message.id.clone(), id);
        let held = Held { message, attempts, ran, out: None, closing: None, footprint };
        self.held.insert(id, held);
        match (closing, &order) {
            (Some(end), _) => self.notify(id, end),
            (None, None) => self.close(id, End::Failed),
            (None, Some(_)) => {}
        }
        order.map(Event::Message)
    }

    // ---- Steps

    /// Takes inputs in order, then decides once.
    pub fn step(&mut self, now: Micros, inputs: Vec<Input>) -> Step {
        let mut events = Vec::new();
        for input in inputs {
            match input {
                Input::Told(numbers) => events.extend(numbers.into_iter().map(|number| self.told(number))),
                other => events.extend(self.take(now, other)),
            }
        }
        self.decide(now, events)
    }

    /// Undoes what must not be without its record: what was taken on is refused, and no call goes out.
    pub fn undo(&mut self, now: Micros, step: Step) -> Step {
        self.counters.journal_failures += 1;
        let mut events = Vec::new();
        for record in step.records {
            match record {
                Record::Taken { number, .. } => {
                    let id = MessageId(number);
                    self.forget(id);
                    events.push(Event::Withdrawn(id));
                }
                Record::Started { .. } | Record::Anew { .. } => {}
                other => self.backlog.push(other),
            }
        }
        for effect in step.effects {
            match effect {
                Effect::Respond { id, response } if response.status == 202 => {
                    self.counters.refused_by_journal += 1;
                    self.respond(id, Response::text(503, "the journal takes nothing\n"));
                }
                Effect::Call(call) => {
                    if let Some(held) = self.held.get_mut(&call.id) {
                        held.out = None;
                    }
                    events.push(Event::Ended(Ended {
                        id: call.id,
                        attempt: call.attempt,
                        outcome: Outcome::Moot,
                        took: 0,
                        closed: false,
                        limit: None,
                    }));
                }
                other => self.step.effects.push(other),
            }
        }
        self.decide(now, events)
    }

    /// Has the decisions made until nothing follows from them at once.
    fn decide(&mut self, now: Micros, mut events: Vec<Event>) -> Step {
        loop {
            let mut follow = Vec::new();
            for action in self.brain.step(now, events) {
                follow.extend(self.act(now, action));
            }
            if follow.is_empty() {
                break;
            }
            events = follow;
        }
        for (_, request) in std::mem::take(&mut self.asking) {
            self.respond(request, Response::new(202));
        }
        let mut step = std::mem::take(&mut self.step);
        if !self.backlog.is_empty() {
            let mut records = std::mem::take(&mut self.backlog);
            records.append(&mut step.records);
            step.records = records;
        }
        self.check();
        step
    }

    /// What must hold after each step.
    fn check(&mut self) {
        let footprint = self.held.values().map(|held| held.footprint).sum::<u64>();
        self.must(footprint == self.footprint, "the footprint is the sum of what is held");
        let known = self.by_client_id.len() == self.held.len();
        self.must(known, "each message on hand is known by its client's id");
        let out = self.out();
        self.must(out <= self.settings().slots, "no more calls are out than there are slots");
    }

    /// Asserted in debug builds, counted in release.
    fn must(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.counters.invariants_broken += 1;
            self.log(Level::Error, format!("invariant broken: {what}"));
        }
    }

    fn log(&mut self, level: Level, text: String) {
        self.step.effects.push(Effect::Log { level, text });
    }

    fn respond(&mut self, id: RequestId, response: Response) {
        self.step.effects.push(Effect::Respond { id, response });
    }

    fn take(&mut self, now: Micros, input: Input) -> Option<Event> {
        match input {
            Input::Request { id, request } => self.request(now, id, request),
            Input::BadRequest => {
                self.counters.bad_requests += 1;
                None
            }
            Input::Called { id, attempt, reply } => self.called(id, attempt, reply),
            Input::Probed { host, reply } => {
                let limit = self.limit(reply.load.as_deref());
                Some(Event::Probed { host, outcome: reply.outcome, limit })
            }
            Input::Listed(list) => {
                self.counters.lists += 1;
                Some(self.list(list))
            }
            Input::ListFailed => {
                self.counters.list_failures += 1;
                self.log(Level::Warn, "discovery does not answer; the last list stays in use".to_owned());
                Some(Event::Registry(RegistryNews::Failed))
            }
            Input::Peer { from, bytes } => {
                self.counters.peer_messages_in += 1;
                Some(Event::Peer { from, bytes })
            }
            Input::Stray => {
                self.counters.peer_messages_dropped += 1;
                None
            }
            Input::Told(numbers) => numbers.into_iter().map(|number| self.told(number)).last(),
            Input::NotTold { status } => {
                let answer = status.map_or("no answer".to_owned(), |status| format!("status {status}"));
                self.log(Level::Warn, format!("notices met with {answer}; they are told again"));
                None
            }
            Input::WrittenAnew { done } => {
                if !done {
                    self.counters.journal_failures += 1;
                    self.log(Level::Error, "the journal could not be written anew".to_owned());
                }
                None
            }
            Input::Stop => {
                self.stopping = true;
                self.log(Level::Info, "stopping: new requests are refused".to_owned());
                None
            }
        }
    }

    // ---- Clients

    fn request(&mut self, now: Micros, id: RequestId, request: Request) -> Option<Event> {
        let path = request.path.split('?').next().unwrap_or_default();
        let response = match (request.method.as_str(), path) {
            ("POST", "/api") => match self.hand_in(now, id, request) {
                Ok(event) => return event,
                Err(response) => response,
            },
            ("GET", "/_health") if self.is_ready() => Response::text(200, "ready\n"),
            ("GET", "/_health") => Response::text(503, "not ready\n"),
            ("GET", "/_counters") => Response::text(200, self.counters.text()),
            (_, "/api" | "/_health" | "/_counters") => Response::text(405, "wrong method\n"),
            _ => Response::text(404, "nothing here\n"),
        };
        self.counters.bad_requests += u64::from((400..500).contains(&response.status));
        self.respond(id, response);
        None
    }

    /// Takes a message on, or says why not. None where nothing is to be decided, since it is on hand already.
    fn hand_in(&mut self, now: Micros, request: RequestId, from: Request) -> Result<Option<Event>, Response> {
        let message = read_message(now, &from)?;
        let id = MessageId(self.next);
        let order = self.order(id, &message).map_err(|text| Response::text(422, text))?;
        if self.stopping {
            self.counters.refused_at_door += 1;
            return Err(Response { keep_alive: false, ..Response::text(503, "stopping\n") });
        }
        if self.by_client_id.contains_key(&message.id) {
            self.respond(request, Response::new(202));
            return Ok(None);
        }
        if self.held.values().filter(|held| held.closing.is_none()).count() >= self.settings().most_held {
            self.counters.refused_at_door += 1;
            return Err(Response::text(503, "no room\n"));
        }
        let footprint = journal::footprint(&message);
        if self.footprint + footprint > self.room {
            self.counters.refused_by_journal += 1;
            return Err(Response::text(503, "no room in the journal\n"));
        }
        self.next += 1;
        self.footprint += footprint;
        self.by_client_id.insert(message.id.clone(), id);
        self.step.records.push(Record::Taken {
            number: id.0,
            message: message.clone(),
            attempts: 0,
            ran: None,
        });
        let held = Held { message, attempts: 0, ran: None, out: None, closing: None, footprint };
        self.held.insert(id, held);
        self.asking.insert(id, request);
        self.counters.taken += 1;
        Ok(Some(Event::Message(order)))
    }

    /// A message in the decisions' terms.
    fn order(&self, id: MessageId, message: &Message) -> Result<Order, &'static str> {
        Ok(Order {
            id,
            class: position(&self.deployment.classes, &message.class).ok_or("the class is not known\n")?,
            tenant: match self.deployment.tenants.as_slice() {
                [] => 0,
                tenants => position(tenants, &message.tenant).ok_or("the tenant is not known\n")?,
            },
            destination: message.destination,
            key: message.key.as_deref().map(hash),
            deadline: message.deadline,
            history: History::default(),
        })
    }

    // ---- Hosts

    fn called(&mut self, id: MessageId, attempt: u32, reply: Reply) -> Option<Event> {
        let Reply { outcome, closed, took, load } = reply;
        let counter = match outcome {
            Outcome::Ok => &mut self.counters.delivered,
            Outcome::Error => &mut self.counters.errors,
            Outcome::Full { .. } => &mut self.counters.turned_away,
            Outcome::Timeout | Outcome::Cancelled => &mut self.counters.timeouts,
            Outcome::ConnectFailed => &mut self.counters.no_connection,
            Outcome::Reset => &mut self.counters.resets,
            Outcome::Moot => &mut self.counters.not_sent,
        };
        *counter += 1;
        let limit = self.limit(load.as_deref());
        if let Some(held) = self.held.get_mut(&id)
            && let Some((_, at)) = held.out.take_if(|(number, _)| *number == attempt)
        {
            if closed {
                self.step.records.push(Record::Ended { number: id.0 });
                self.forget(id);
            } else {
                let may_have_run = outcome.may_have_run();
                held.ran = held.ran.or(Some(at).filter(|_| may_have_run));
                self.step.records.push(Record::Over { number: id.0, may_have_run });
            }
        }
        Some(Event::Ended(Ended { id, attempt, outcome, took, closed, limit }))
    }

    /// The limit in calls a second that a load report tells; 0 says that there is none.
    fn limit(&self, load: Option<&str>) -> Option<f64> {
        let name = self.deployment.report.get(1)?;
        let values = load?.split(',').filter_map(|part| part.trim().split_once('='));
        let value = values.filter(|(key, _)| *key == name.as_str()).find_map(|(_, value)| value.parse().ok());
        value.filter(|limit: &f64| limit.is_finite() && *limit > 0.0)
    }

    // ---- Discovery

    fn list(&mut self, list: List) -> Event {
        let mut entries = Vec::new();
        let mut dropped = 0;
        for target in list.targets {
            let Some(kind) = position(&self.deployment.kinds, &target.model) else {
                dropped += 1;
                continue;
            };
            let host = HostId(hash(&target.uid));
            // Addresses of hosts that have gone are kept while the process runs: calls may still be out.
            self.hosts.insert(host, target.endpoint);
            entries.push(Listed {
                host,
                zone: position(&self.deployment.zones, &target.az).unwrap_or(0) as u16,
                kind,
                destination: target.pod_group,
                lifecycle: match target.state {
                    Listing::Ready => Lifecycle::Ready,
                    Listing::Terminating => Lifecycle::Draining,
                    Listing::Gone => Lifecycle::Gone,
                },
                weight: target.capacity_hint,
            });
        }
        if dropped > 0 {
            self.counters.list_entries_dropped += dropped;
            self.log(Level::Warn, format!("{dropped} hosts of the list are of a kind not in the settings"));
        }
        Event::Registry(if list.all { RegistryNews::Whole(entries) } else { RegistryNews::Changes(entries) })
    }

    // ---- Ends

    fn forget(&mut self, id: MessageId) {
        if let Some(held) = self.held.remove(&id) {
            self.footprint -= held.footprint;
            self.by_client_id.remove(&held.message.id);
        }
    }

    /// Gives a message up: at once to a client that still waits for its answer, else by a notice.
    fn end(&mut self, id: MessageId, end: End) -> Option<Event> {
        let Some(request) = self.asking.remove(&id) else {
            self.close(id, end);
            return None;
        };
        self.step.records.retain(|record| !matches!(record, Record::Taken { number, .. } if *number == id.0));
        self.forget(id);
        self.counters.taken -= 1;
        self.counters.refused_at_once += 1;
        let response = match end {
            End::Failed => Response::text(500, "given up\n"),
            End::Returned { after_ms: 0 } => Response::text(429, "not now\n"),
            End::Returned { after_ms } => {
                let response = Response::text(429, "not now\n");
                let seconds = format!("{}.{:03}", after_ms / 1000, after_ms % 1000);
                Response { headers: response.headers.with("Retry-After", seconds), ..response }
            }
        };
        self.respond(request, response);
        Some(Event::Withdrawn(id))
    }

    fn close(&mut self, id: MessageId, end: End) {
        self.step.records.push(Record::Closing { number: id.0, end });
        match end {
            End::Failed => self.counters.failed += 1,
            End::Returned { .. } => self.counters.returned += 1,
        }
        self.notify(id, end);
    }

    fn notify(&mut self, id: MessageId, end: End) {
        if let Some(held) = self.held.get_mut(&id) {
            held.closing = Some(end);
            let notice = Notice { number: id.0, id: held.message.id.clone(), end };
            self.step.effects.push(Effect::Notify(notice));
        }
    }

    fn told(&mut self, number: u64) -> Event {
        self.counters.notices_answered += 1;
        self.step.records.push(Record::Ended { number });
        self.forget(MessageId(number));
        Event::Withdrawn(MessageId(number))
    }

    /// Takes back records that the journal could not take.
    pub fn keep_for_later(&mut self, records: Vec<Record>) {
        self.backlog.extend(records);
    }

    // ---- Decisions

    fn act(&mut self, now: Micros, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, host, timeout, connect } => return self.send(now, id, host, timeout, connect),
            Action::Cancel { id, attempt } => self.step.effects.push(Effect::Cancel { id, attempt }),
            Action::Refuse { id, retry_after } => {
                return self.end(id, End::Returned { after_ms: retry_after.div_ceil(1000) });
            }
            Action::Fail(id) => return self.end(id, End::Failed),
            Action::Probe(host) => {
                if let Some(address) = self.hosts.get(&host).copied() {
                    self.counters.probes += 1;
                    let path = if self.deployment.report_by_probe { "/_load" } else { "/ping" };
                    let timeout = self.settings().connect_timeout;
                    self.step.effects.push(Effect::Probe { host, address, path, timeout });
                }
            }
            Action::CloseIdle(host) => self.step.effects.push(Effect::CloseIdle(host)),
            Action::Tell { to, bytes } => {
                self.counters.peer_messages_out += 1;
                self.step.effects.push(Effect::Tell { to, bytes });
            }
            Action::Subscribe => self.step.effects.push(Effect::Follow),
            Action::Wake(at) => self.step.effects.push(Effect::Wake(at)),
            Action::Log(text) => self.log(Level::Info, text),
        }
        None
    }

    fn send(
        &mut self, now: Micros, id: MessageId, host: HostId, timeout: Micros, connect: Micros,
    ) -> Option<Event> {
        let address = self.hosts.get(&host).copied();
        let held = self.held.get_mut(&id).filter(|held| held.out.is_none() && held.closing.is_none());
        let (Some(held), Some(address)) = (held, address) else {
            self.must(false, "calls are for messages on hand, one at a time, to known hosts");
            return None;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        held.out = Some((attempt, now));
        let message = &held.message;
        let wait = format!("{}.{:06}", timeout / 1_000_000, timeout % 1_000_000);
        let mut headers = Headers::default().with("Request-Id", message.id.clone());
        if let Some(key) = &message.idempotency_key {
            headers = headers.with("Idempotency-Key", key.clone());
        }
        let headers = headers.with("Request-Timeout", wait);
        let request = Request::post("/v1/messages", headers, message.body.clone());
        self.step.records.push(Record::Started { number: id.0, at: now });
        self.counters.sent += 1;
        self.step.effects.push(Effect::Call(Call { id, attempt, host, address, request, timeout, connect }));
        None
    }

    // ---- The journal

    /// Records that tell of all that is on hand.
    pub fn records(&self) -> (u64, Vec<Record>) {
        let mut records = Vec::new();
        for (id, held) in &self.held {
            let (number, message, ran) = (id.0, held.message.clone(), held.ran);
            let attempts = held.attempts - u32::from(held.out.is_some());
            records.push(Record::Taken { number, message, attempts, ran });
            records.extend(held.out.map(|(_, at)| Record::Started { number, at }));
            records.extend(held.closing.map(|end| Record::Closing { number, end }));
        }
        (self.next, records)
    }
}

/// Reads what a client hands in; a bad request is answered in the client's own terms.
fn read_message(now: Micros, request: &Request) -> Result<Message, Response> {
    let bad = |text: &str| Response::text(400, format!("{text}\n"));
    let headers = &request.headers;
    let text = |name: &'static str| match headers.get(name) {
        None => Ok(None),
        Some(_) => headers.text(name).map(Some).ok_or_else(|| bad(&format!("{name} is no text"))),
    };
    let needed = |name: &'static str| match text(name) {
        Ok(Some(value)) if !value.is_empty() => Ok(value.to_owned()),
        Ok(_) => Err(bad(&format!("{name} is missing"))),
        Err(response) => Err(response),
    };
    let span = needed("Request-Timeout")?.parse().ok().and_then(micros);
    let span = span.ok_or_else(|| bad("Request-Timeout is no number of seconds"))?;
    let envelope = needed("X-Envelope")?;
    let parts = envelope.split([',', ';']).filter_map(|part| part.trim().split_once('='));
    let destination = parts.filter(|(name, _)| *name == "dest").find_map(|(_, value)| value.parse().ok());
    let cookies = text("Cookie")?.unwrap_or_default();
    let mut cookies = cookies.split(';').filter_map(|part| part.trim().split_once('='));
    let key = cookies.find(|(name, _)| *name == "about").map(|(_, key)| key.to_owned());
    Ok(Message {
        id: needed("Request-Id")?,
        class: needed("Request-Class")?,
        tenant: text("Tenant")?.unwrap_or_default().to_owned(),
        key: key.filter(|key| !key.is_empty()),
        destination: destination.ok_or_else(|| bad("X-Envelope names no destination"))?,
        deadline: now.saturating_add(span),
        idempotency_key: headers.get("Idempotency-Key").map(|key| key.to_vec()),
        body: Bytes::clone(&request.body),
    })
}
