//! All changes of the relay's state. Time and inputs go in; records for the journal and effects come out. It
//! reads no clock and touches no socket or file. What to do with a message is decided by the [`Brain`].

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use pewterseam::Brain;
use pewterseam::interface::{
    Action, Carrier, Ended, Event, History, HostId, Learnt, MessageId, Micros, Outcome, Ran, RegistryNews,
    Request as Order,
};
use pewterseam::waits;
use pewterseam_settings::Deployment;

use pewterseam_durable::message::{End, Message};
use pewterseam_durable::record::{self, Over, Past, Record, Zone};
use pewterseam_durable::replay::{History as Kept, Restored};

use crate::call::{Call, Reply};
use crate::change::Change;
use crate::client::{Answer, Offer, Question, RequestId};
use crate::counters::Counters;
use crate::ended::EndedIds;
use crate::io::{Effect, Input, Level, Step};
use crate::list::List;
use crate::names::{Names, Told};
use crate::notice::Notice;
use crate::operator::{Operation, Verdict};
use crate::pool::{ConnectionId, Pool};

/// A message on hand.
#[derive(Debug)]
struct Held {
    message: Message,
    past: Past,
    out: Option<Out>,
    /// Given up; the notice of it is not answered yet.
    closing: Option<End>,
    footprint: u64,
}

/// The attempt of a message that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    attempt: u32,
    /// When it was decided, and when it was written, if it was.
    at: Micros,
    written_at: Option<Micros>,
    /// To which zone, where that matters.
    zone: Option<Zone>,
    connection: ConnectionId,
}

/// What a connection is for that is being opened, or carries a call.
#[derive(Clone, Copy, Debug)]
struct Carried {
    id: MessageId,
    attempt: u32,
    host: HostId,
    address: SocketAddr,
    /// When the attempt was decided, and until when it may take.
    at: Micros,
    until: Micros,
    connect: Micros,
    /// How long the connection had been idle; none for a new one.
    idle_for: Option<Micros>,
}

/// How much a relay may hold.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Bytes of messages on hand.
    pub bytes: u64,
    /// Idle connections to hosts.
    pub idle_connections: usize,
}

/// What waits for the first word of discovery.
#[derive(Debug)]
struct Start {
    known: Option<List>,
    restored: Vec<Event>,
}

/// The relay's state.
pub struct Reducer {
    brain: Brain,
    names: Names,
    held: BTreeMap<MessageId, Held>,
    pool: Pool,
    carried: BTreeMap<ConnectionId, Carried>,
    by_client_id: HashMap<String, MessageId>,
    ended: EndedIds,
    /// The next message's number.
    next: u64,
    /// Bytes that messages on hand may take and do take.
    room: u64,
    footprint: u64,
    /// Asked to stop, and taking on nothing any more.
    stopping: bool,
    closed: bool,
    /// Until discovery has been asked: the list as last known, and what the journal told.
    start: Option<Start>,
    /// What the process before had learnt of hosts, until the first list.
    learnt: Option<Learnt>,
    /// Discovery, and the platform for notices, did not answer last time.
    list_fails: bool,
    notices_fail: bool,
    /// Requests of this step whose message may yet be refused in it.
    asking: BTreeMap<MessageId, RequestId>,
    /// Records that a failing journal did not take.
    backlog: Vec<Record>,
    step: Step,
    counters: Counters,
    /// Sent away by an operator: `/_health` says no, while the rest goes on.
    standby: bool,
    /// By the name of the class, in the settings' order: delivered, refused or handed back, failed.
    ends: Vec<(String, [u64; 3])>,
}

/// Where a class's ends are counted.
const SUCCEEDED: usize = 0;
const DECLINED: usize = 1;
const ABORTED: usize = 2;

impl Reducer {
    pub fn new(deployment: Deployment, seed: u64, room: Room) -> Self {
        // Danger: a host closes an idle connection just as a call is written to it.
        let idle_close = deployment.settings.idle_close.saturating_sub(waits::PAUSE);
        let longest = deployment.settings.classes.iter().map(|class| class.deadline).max();
        let deployment_classes = deployment.classes.clone();
        Reducer {
            ended: EndedIds::new(longest.unwrap_or(0)),
            brain: Brain::new(deployment.settings.clone(), seed),
            names: Names::new(deployment),
            held: BTreeMap::new(),
            pool: Pool::new(idle_close, room.idle_connections),
            carried: BTreeMap::new(),
            by_client_id: HashMap::new(),
            next: 1,
            room: room.bytes,
            footprint: 0,
            stopping: false,
            closed: false,
            start: None,
            learnt: None,
            list_fails: false,
            notices_fail: false,
            asking: BTreeMap::new(),
            backlog: Vec::new(),
            step: Step::default(),
            counters: Counters::default(),
            standby: false,
            ends: deployment_classes.into_iter().map(|class| (class, [0; 3])).collect(),
        }
    }

    /// Takes over the hosts under maintenance that an earlier process kept; before `start`.
    pub fn maintained(&mut self, names: Vec<String>) {
        for name in names {
            let _ = self.names.maintain(&name, true, true);
        }
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Messages on hand.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Calls out now.
    pub fn calls_out(&self) -> usize {
        self.held.values().filter(|held| held.out.is_some()).count()
    }

    /// Records that tell of all that is on hand, and the next message's number.
    pub fn records(&self) -> (u64, Vec<Record>) {
        let mut records = Vec::new();
        for (id, held) in &self.held {
            let (number, message) = (id.0, held.message.clone());
            let attempts = held.past.attempts - u32::from(held.out.is_some());
            records.push(Record::Taken { number, message, past: Past { attempts, ..held.past } });
            records.extend(held.past.failed_at.map(|at| Record::FailedAt { number, at }));
            records.extend(held.past.ran_in.map(|zone| Record::RanIn { number, zone }));
            let written = held.out.and_then(|out| Some((out.written_at?, out.zone)));
            records.extend(written.map(|(at, _)| Record::Started { number, at }));
            let zone = written.and_then(|(_, zone)| zone);
            records.extend(zone.map(|zone| Record::StartedIn { number, zone }));
            records.extend(held.closing.map(|end| Record::Closing { number, end }));
        }
        (self.next, records)
    }

    // ---- Steps

    /// Takes over what the journal tells. Danger: the list as last known may be old, and hosts that drain or are
    /// gone by discovery's word would be sent what was restored. It is asked first; the old list is for when it
    /// does not answer.
    pub fn start(&mut self, now: Micros, history: Kept, known: Option<List>) -> Step {
        self.next = self.next.max(history.next);
        let messages = history.messages.into_iter();
        let restored = messages.filter_map(|restored| self.restore(now, restored)).collect();
        self.start = Some(Start { known, restored });
        self.decide(now, Vec::new())
    }

    /// Takes what the process before had learnt of hosts, or why that can't be read; before `start`.
    pub fn recall(&mut self, learnt: Result<Option<Learnt>, String>) {
        match learnt {
            Ok(learnt) => self.learnt = learnt,
            Err(error) => {
                self.log(Level::Warn, format!("what was learnt before the restart can't be read: {error}"));
            }
        }
    }

    /// What has been learnt of hosts, for the next process.
    pub fn learnt(&self) -> Learnt {
        self.brain.learnt()
    }

    /// Goes on with the first word of discovery, or without it.
    fn begin(&mut self, told: Option<&List>, events: &mut Vec<Event>) {
        let Start { known, restored } = match self.start.take() {
            Some(start) => start,
            None => Start { known: None, restored: Vec::new() },
        };
        events.extend(told.or(known.as_ref()).map(|list| self.list(list)));
        events.extend(self.learnt.take().map(Event::Learnt));
        events.extend(restored);
    }

    /// Takes inputs in order, then has it decided once what follows.
    pub fn step(&mut self, now: Micros, inputs: Vec<Input>) -> Step {
        self.step.records = std::mem::take(&mut self.backlog);
        let mut events = Vec::new();
        for input in inputs {
            self.take(now, input, &mut events);
        }
        self.decide(now, events)
    }

    /// Takes back what must not be without its record: what was taken on is refused, and calls stay unmade.
    /// Records of what has happened all the same are kept for the next step.
    pub fn undo(&mut self, now: Micros, step: Step) -> Step {
        self.counters.journal_failures += 1;
        let mut events = Vec::new();
        for record in step.records {
            match record {
                Record::Taken { number, .. } => events.push(self.withdraw(MessageId(number))),
                Record::Started { .. } | Record::StartedIn { .. } => {}
                other => self.backlog.push(other),
            }
        }
        for effect in step.effects {
            match effect {
                Effect::Answer { id, answer: Answer::Taken } => {
                    self.counters.taken -= 1;
                    self.counters.refused_by_journal += 1;
                    self.step.effects.push(Effect::Answer { id, answer: Answer::NotKept });
                }
                Effect::Call(call) => {
                    self.counters.sent -= 1;
                    events.extend(self.unmade(now, call.connection));
                }
                other => self.step.effects.push(other),
            }
        }
        self.decide(now, events)
    }

    /// Has decisions made until nothing follows from them at once.
    fn decide(&mut self, now: Micros, mut events: Vec<Event>) -> Step {
        loop {
            let actions = self.brain.step(now, events);
            events = actions.into_iter().filter_map(|action| self.act(now, action)).collect();
            if events.is_empty() {
                break;
            }
        }
        let asking = std::mem::take(&mut self.asking);
        self.counters.taken += asking.len() as u64;
        self.counters.answered += asking.len() as u64;
        self.check();
        let closing = self.pool.closing();
        if !closing.is_empty() {
            self.step.effects.push(Effect::Close(closing));
        }
        let mut step = std::mem::take(&mut self.step);
        let taken = asking.into_values().map(|id| Effect::Answer { id, answer: Answer::Taken });
        // Clients are answered before their messages go on.
        step.effects.splice(0..0, taken);
        step
    }

    /// What must hold after each step.
    fn check(&mut self) {
        let answered = self.counters.answered == self.counters.requests;
        self.must(answered, "each request that was read is answered in its step");
        let footprint = self.held.values().map(|held| held.footprint).sum::<u64>();
        self.must(footprint == self.footprint, "the footprint is that of the messages on hand");
        let known = self.by_client_id.len() == self.held.len();
        self.must(known, "each message on hand is known by its client's id");
        let out = self.calls_out();
        self.must(out <= self.names.settings().slots, "no more calls are out than there are slots");
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

    fn answer(&mut self, id: RequestId, answer: Answer) {
        self.counters.answered += 1;
        self.counters.bad_requests += u64::from(answer.is_fault_of_client());
        self.step.effects.push(Effect::Answer { id, answer });
    }

    fn take(&mut self, now: Micros, input: Input, events: &mut Vec<Event>) {
        match input {
            Input::Offer { id, offer } => events.extend(self.offer(now, id, offer)),
            Input::Question { id, question } => self.question(id, question),
            Input::BadRequest => self.counters.bad_requests += 1,
            Input::Operation { id, operation } => events.extend(self.operate(id, operation)),
            Input::BadOps => self.counters.bad_calls += 1,
            Input::Silent => self.counters.connections_silent += 1,
            Input::Crowded => self.counters.connections_refused += 1,
            Input::Opened(connection) => events.extend(self.opened(connection)),
            Input::NotOpened(connection) => events.extend(self.not_opened(now, connection)),
            Input::Closed(connection) => self.closed_connection(now, connection),
            Input::Stalled { connection, stalled } => {
                let carried = self.carried.get(&connection);
                events.extend(carried.map(|c| Event::Stalled { id: c.id, attempt: c.attempt, stalled }));
            }
            Input::Called { connection, reply } => events.extend(self.called(now, connection, reply)),
            Input::Probed { host, reply } => {
                let limit = self.names.limit(reply.report.as_deref());
                events.push(Event::Probed { host, outcome: reply.outcome, limit });
            }
            Input::Listed(list) => {
                self.counters.lists += 1;
                if std::mem::take(&mut self.list_fails) {
                    self.log(Level::Info, "discovery answers again".to_owned());
                }
                self.begin(Some(&list), events);
            }
            Input::ListFailed => {
                self.counters.list_failures += 1;
                if !std::mem::replace(&mut self.list_fails, true) {
                    self.log(Level::Warn, "discovery does not answer; the last list stays in use".to_owned());
                }
                self.begin(None, events);
                events.push(Event::Registry(RegistryNews::Failed));
            }
            Input::ListRefused => {
                self.counters.list_refusals += 1;
                self.begin(None, events);
                events.push(Event::Registry(RegistryNews::Refused));
            }
            Input::Peer { from, bytes } => {
                self.counters.peer_messages_in += 1;
                events.push(Event::Peer { from, bytes });
            }
            Input::Stray => self.counters.peer_messages_dropped += 1,
            Input::Told { numbers, read } => {
                if !read {
                    self.log(
                        Level::Error,
                        "the platform can't read a notice; it is not told again".to_owned(),
                    );
                }
                self.notices_fail = false;
                for number in numbers {
                    self.counters.notices_answered += u64::from(read);
                    self.finish(now, MessageId(number), false);
                    events.push(Event::Withdrawn(MessageId(number)));
                }
            }
            Input::NotTold { status } => {
                self.counters.notices_not_answered += 1;
                let answer = status.map_or("no answer".to_owned(), |status| format!("status {status}"));
                if !std::mem::replace(&mut self.notices_fail, true) {
                    self.log(Level::Warn, format!("notices meet with {answer}; they are told again"));
                }
            }
            Input::WrittenAnew { done } => self.counters.journal_failures += u64::from(!done),
            Input::Configured(Ok(change)) => events.extend(self.configure(change)),
            Input::Configured(Err(text)) => {
                self.counters.configurations_rejected += 1;
                self.log(
                    Level::Error,
                    format!("the new configuration is not taken, the old one stays: {text}"),
                );
            }
            Input::Stop { by } => {
                self.stopping = true;
                self.log(Level::Info, "stopping: it is ready no more".to_owned());
                events.push(Event::Stop { by });
            }
            Input::Close => {
                self.closed = true;
                self.log(Level::Info, "stopping: new requests are refused".to_owned());
            }
        }
    }

    /// Takes a new configuration over, as far as a running relay can.
    fn configure(&mut self, change: Change) -> Option<Event> {
        self.counters.configurations += 1;
        let Change { discovery, settings, at_next_start } = change;
        let moved =
            discovery.map_or("discovery stays".to_owned(), |address| format!("discovery is at {address}"));
        self.log(Level::Info, format!("new configuration: {moved}"));
        if !at_next_start.is_empty() {
            let keys = at_next_start.join(", ");
            self.log(Level::Warn, format!("new configuration: {keys} will be heeded at the next start"));
        }
        self.step.effects.extend(discovery.map(Effect::Move));
        let settings = settings.map(|deployment| self.names.retune(&deployment))?;
        for class in self.names.class_names().to_vec() {
            self.ends_of(&class);
        }
        self.log(Level::Info, "new configuration: classes and attempts are heeded now".to_owned());
        Some(Event::Retuned(settings))
    }

    // ---- Clients

    /// Takes a message on, or says why not; gives what is to be decided of it.
    fn offer(&mut self, now: Micros, id: RequestId, offer: Offer) -> Option<Event> {
        self.counters.requests += 1;
        match self.hand_in(now, id, offer) {
            Ok(order) => Some(Event::Message(order)),
            Err(answer) => {
                self.answer(id, answer);
                None
            }
        }
    }

    fn question(&mut self, id: RequestId, question: Question) {
        self.counters.requests += 1;
        let answer = match question {
            Question::Ready => Answer::Ready(self.is_ready() && !self.standby),
            Question::Counters => Answer::Counters(self.text()),
        };
        self.answer(id, answer);
    }

    // ---- Operators

    /// Answers an operator's call; gives what the decisions are to be told of it.
    fn operate(&mut self, id: RequestId, operation: Operation) -> Option<Event> {
        self.counters.calls += 1;
        let (verdict, text, news) = match operation {
            Operation::Status if self.is_ready() => (Verdict::Yes, "serving".to_owned(), None),
            Operation::Status => (Verdict::NotNow, "not serving yet".to_owned(), None),
            Operation::Metrics => (Verdict::Yes, self.metrics(), None),
            Operation::Enter(name) => self.maintain(&name, true),
            Operation::Exit(name) => self.maintain(&name, false),
            Operation::Standby | Operation::Active if self.stopping => {
                (Verdict::Conflict, "the process stops".to_owned(), None)
            }
            Operation::Standby | Operation::Active => {
                self.standby = operation == Operation::Standby;
                let word =
                    if self.standby { "standby: clients are sent away" } else { "active: clients are taken" };
                self.log(Level::Info, word.to_owned());
                self.step.effects.push(Effect::Standby(self.standby));
                (Verdict::Yes, word.to_owned(), None)
            }
        };
        self.step.effects.push(Effect::Tell { id, verdict, text });
        news.map(Event::Registry)
    }

    fn maintain(&mut self, name: &str, under: bool) -> (Verdict, String, Option<RegistryNews>) {
        match self.names.maintain(name, under, false) {
            Err(_) => (Verdict::Unknown, "no list ever named this host".to_owned(), None),
            Ok(news) => {
                let word = if under { "under maintenance" } else { "back from maintenance" };
                self.log(Level::Info, format!("host {name}: {word}"));
                self.step.effects.push(Effect::KeepMaintenance(self.names.maintained()));
                (Verdict::Yes, word.to_owned(), news)
            }
        }
    }

    /// The figures, one `relay.NAME[.CLASS]=N` a line.
    fn metrics(&self) -> String {
        let mut text = String::new();
        for (index, name) in ["succeeded", "declined", "aborted"].into_iter().enumerate() {
            for (class, ends) in &self.ends {
                text.push_str(&format!("relay.{name}.{class}={}\n", ends[index]));
            }
        }
        let counters = &self.counters;
        let figures = [
            ("forwards", counters.sent),
            ("outstanding", self.held.len() as u64),
            ("discovered", self.names.discovered() as u64),
            ("ejected", self.names.ejected() as u64),
            ("sighup_applied", counters.configurations),
            ("sighup_rejected", counters.configurations_rejected),
        ];
        for (name, value) in figures {
            text.push_str(&format!("relay.{name}={value}\n"));
        }
        text
    }

    /// Counts a message's end under its class.
    fn count_end(&mut self, id: MessageId, how: usize) {
        if let Some(class) = self.held.get(&id).map(|held| held.message.class.clone()) {
            self.ends_of(&class)[how] += 1;
        }
    }

    /// The ends counted under a class's name, from 0 where it has none yet.
    fn ends_of(&mut self, class: &str) -> &mut [u64; 3] {
        let place = match self.ends.iter().position(|(name, _)| name == class) {
            Some(place) => place,
            None => {
                self.ends.push((class.to_owned(), [0; 3]));
                self.ends.len() - 1
            }
        };
        &mut self.ends[place].1
    }

    /// Counts a message that is given up: failed, or refused and handed back.
    fn count_given_up(&mut self, id: MessageId, end: End) {
        self.count_end(id, if end == End::Failed { ABORTED } else { DECLINED });
    }

    fn is_ready(&self) -> bool {
        !self.stopping && self.start.is_none() && self.names.has_list()
    }

    /// The counters, and what is on hand now.
    fn text(&self) -> String {
        let (held, out) = (self.held.len(), self.calls_out());
        format!("{}held {held}\ncalls_out {out}\n", self.counters.text())
    }

    fn hand_in(&mut self, now: Micros, id: RequestId, offer: Offer) -> Result<Order, Answer> {
        let message = offer.message(now);
        let number = MessageId(self.next);
        let order = self.names.request(number, &message).map_err(Answer::Unknown)?;
        if self.closed || self.start.is_some() {
            self.counters.refused_not_ready += 1;
            return Err(Answer::NotReady { last: self.closed });
        }
        // Danger: a client whose connection was closed sends the same request once more, and it would run twice.
        if self.by_client_id.contains_key(&message.id) {
            return Err(Answer::OnHand);
        }
        match self.ended.get(&message.id) {
            Some(true) => return Err(Answer::Delivered),
            Some(false) => return Err(Answer::GivenUp),
            None => {}
        }
        // Danger: the journal or the memory runs full, and what is on hand could not be brought to its end.
        if self.footprint + self.footprint_of(&message) > self.room {
            self.counters.refused_by_journal += 1;
            return Err(Answer::NoRoom);
        }
        self.next += 1;
        let past = Past::default();
        self.step.records.push(Record::Taken { number: number.0, message: message.clone(), past });
        self.hold(number, message, past);
        self.asking.insert(number, id);
        Ok(order)
    }

    fn footprint_of(&self, message: &Message) -> u64 {
        let zones = if self.names.is_zoned(&message.class) { record::ZONES } else { 0 };
        record::footprint(message) + zones
    }

    fn hold(&mut self, id: MessageId, message: Message, past: Past) {
        let footprint = self.footprint_of(&message);
        self.footprint += footprint;
        self.by_client_id.insert(message.id.clone(), id);
        self.held.insert(id, Held { message, past, out: None, closing: None, footprint });
    }

    /// Takes a message over from the journal. One that the settings don't know any more is given up.
    fn restore(&mut self, now: Micros, restored: Restored) -> Option<Event> {
        let Restored { number, message, past, cut, closing } = restored;
        self.counters.restored += 1;
        let id = MessageId(number);
        let order = self.names.request(id, &message).ok();
        self.hold(id, message, past);
        match (closing, &order) {
            (Some(end), _) => self.notify(id, end),
            (None, None) => self.close(id, End::Failed),
            (None, Some(_)) => {}
        }
        let (Past { attempts, ran, failed, failed_at, ran_in }, cut_at) = (past, cut.then_some(now));
        // An older journal does not tell when.
        let failed_at = failed_at.or(failed.then_some(0));
        let zone = ran_in.and_then(|zone| self.names.zone(zone));
        let ran = ran.map(|at| Ran { at, zone });
        let history = History { attempts, ran, failed_at, cut_at, over: closing.is_some() };
        order.map(|order| Event::Message(Order { history, ..order }))
    }

    // ---- Hosts and discovery

    /// A connection was opened for an attempt: whether it goes is decided anew.
    fn opened(&mut self, connection: ConnectionId) -> Option<Event> {
        let carried = self.carried.get(&connection);
        self.must(carried.is_some(), "connections are opened for attempts");
        let Carried { id, attempt, .. } = *self.carried.get(&connection)?;
        Some(Event::Opened { id, attempt })
    }

    fn not_opened(&mut self, now: Micros, connection: ConnectionId) -> Option<Event> {
        let took = now - self.carried.get(&connection)?.at;
        let (outcome, closed, report, kept) = (Outcome::ConnectFailed, false, None, false);
        self.called(now, connection, Reply { outcome, closed, took, report, kept })
    }

    /// An idle connection closed. Danger: a call was just to be written to it; another is opened for that.
    fn closed_connection(&mut self, now: Micros, connection: ConnectionId) {
        let Some(carried) = self.carried.remove(&connection) else {
            self.pool.lost(connection);
            return;
        };
        if let Some(held) = self.held.get_mut(&carried.id)
            && let Some(out) = held.out.as_mut().filter(|out| out.connection == connection)
            && out.written_at.take().is_some()
        {
            self.counters.sent -= 1;
            self.step.records.push(Record::Over { number: carried.id.0, how: Over::Unseen });
        }
        self.open(Carried { idle_for: None, ..carried }, now);
    }

    /// Asks for a connection for an attempt.
    fn open(&mut self, carried: Carried, now: Micros) {
        let connection = self.pool.open();
        if let Some(out) = self.held.get_mut(&carried.id).and_then(|held| held.out.as_mut()) {
            out.connection = connection;
        }
        let within = carried.connect.min(carried.until.saturating_sub(now));
        self.step.effects.push(Effect::Open { connection, address: carried.address, within });
        self.carried.insert(connection, carried);
    }

    /// A call that could not be recorded stays unmade, and its connection idle.
    fn unmade(&mut self, now: Micros, connection: ConnectionId) -> Option<Event> {
        let Carried { id, attempt, host, address, idle_for, .. } = self.carried.remove(&connection)?;
        self.pool.put(connection, host, address, now);
        if let Some(held) = self.held.get_mut(&id) {
            held.out = None;
        }
        let (outcome, took, closed, limit) = (Outcome::Moot, 0, false, None);
        let carrier = Some(Carrier { idle_for, kept: true });
        Some(Event::Ended(Ended { id, attempt, outcome, took, closed, limit, carrier }))
    }

    /// An attempt is not to be made: it is as if it had never been, and its connection is idle.
    fn withhold(&mut self, now: Micros, id: MessageId, attempt: u32) {
        let of_attempt = |carried: &Carried| carried.id == id && carried.attempt == attempt;
        let found = self.carried.iter().find(|(_, carried)| of_attempt(carried));
        let Some((connection, Carried { host, address, .. })) = found.map(|(id, carried)| (*id, *carried))
        else {
            return self.must(false, "what is withheld has a connection");
        };
        self.counters.withheld += 1;
        self.carried.remove(&connection);
        self.pool.put(connection, host, address, now);
        if let Some(held) = self.held.get_mut(&id)
            && held.out.take_if(|out| out.connection == connection).is_some()
        {
            held.past.attempts -= 1;
        }
    }

    fn called(&mut self, now: Micros, connection: ConnectionId, reply: Reply) -> Option<Event> {
        let Reply { outcome, closed, took, report, kept } = reply;
        let Carried { id, attempt, host, address, at: decided_at, idle_for, .. } =
            self.carried.remove(&connection)?;
        if kept {
            self.pool.put(connection, host, address, now);
        }
        let carrier = Carrier { idle_for, kept };
        let mut opening = 0;
        let counters = &mut self.counters;
        *match outcome {
            Outcome::Ok => &mut counters.delivered,
            Outcome::Error => &mut counters.errors,
            Outcome::Full { .. } => &mut counters.turned_away,
            Outcome::Timeout | Outcome::Cancelled => &mut counters.timeouts,
            Outcome::ConnectFailed => &mut counters.no_connection,
            Outcome::Reset => &mut counters.resets,
            Outcome::Moot => &mut counters.not_sent,
        } += 1;
        if let Some(held) = self.held.get_mut(&id)
            && let Some(out) = held.out.take_if(|out| out.connection == connection)
        {
            let at = out.written_at.unwrap_or(out.at);
            opening = out.written_at.map_or(0, |written_at| written_at - decided_at);
            if closed {
                self.count_end(id, if outcome == Outcome::Ok { SUCCEEDED } else { ABORTED });
                self.finish(now, id, outcome == Outcome::Ok);
            } else {
                let how = match outcome {
                    Outcome::ConnectFailed => Over::Failed,
                    _ if outcome.may_have_run() => Over::MayHaveRun,
                    _ => Over::Unseen,
                };
                let failed_before = held.past.failed;
                held.past.book(at, out.zone, how);
                if out.written_at.is_some() {
                    self.step.records.push(Record::Over { number: id.0, how });
                } else if !failed_before && held.past.failed {
                    self.step.records.push(Record::FailedAt { number: id.0, at });
                }
            }
        }
        let (limit, took) = (self.names.limit(report.as_deref()), took + opening);
        Some(Event::Ended(Ended { id, attempt, outcome, took, closed, limit, carrier: Some(carrier) }))
    }

    fn list(&mut self, list: &List) -> Event {
        let Told { news, gone, unknown } = self.names.list(list);
        // Danger: over a long day, connections to hosts that are gone take the descriptors.
        gone.into_iter().for_each(|host| self.pool.close(host));
        if unknown > 0 {
            self.counters.list_entries_dropped += unknown as u64;
            self.log(Level::Warn, format!("{unknown} hosts of the list are of a kind not in the settings"));
        }
        Event::Registry(news)
    }

    // ---- Ends

    fn forget(&mut self, id: MessageId) {
        if let Some(held) = self.held.remove(&id) {
            self.footprint -= held.footprint;
            self.by_client_id.remove(&held.message.id);
        }
    }

    /// Books the end of a message that was taken on; its id is remembered for a while.
    fn finish(&mut self, now: Micros, id: MessageId, delivered: bool) {
        self.step.records.push(Record::Ended { number: id.0 });
        if let Some(held) = self.held.get(&id) {
            self.ended.add(now, &held.message.id, delivered);
        }
        self.forget(id);
    }

    /// Nothing is owed for a message any more.
    fn withdraw(&mut self, id: MessageId) -> Event {
        self.forget(id);
        Event::Withdrawn(id)
    }

    /// Gives a message up: at once to a client that still waits for its answer, else by a notice.
    fn end(&mut self, id: MessageId, end: End) -> Option<Event> {
        let Some(request) = self.asking.remove(&id) else {
            self.close(id, end);
            return None;
        };
        self.step.records.retain(|record| !matches!(record, Record::Taken { number, .. } if *number == id.0));
        self.counters.refused_at_once += 1;
        self.count_given_up(id, end);
        self.answer(request, refusal(end));
        Some(self.withdraw(id))
    }

    fn close(&mut self, id: MessageId, end: End) {
        self.count_given_up(id, end);
        match end {
            End::Failed => self.counters.failed += 1,
            End::Returned { .. } => self.counters.returned += 1,
        }
        self.step.records.push(Record::Closing { number: id.0, end });
        self.notify(id, end);
    }

    fn notify(&mut self, id: MessageId, end: End) {
        let held = self.held.get_mut(&id);
        let notice = held.map(|held| {
            held.closing = Some(end);
            Notice { number: id.0, id: held.message.id.clone(), end }
        });
        self.must(notice.is_some(), "what is given up is on hand");
        self.step.effects.extend(notice.map(Effect::Notify));
    }

    // ---- Decisions

    /// Has an action carried out. Gives what follows from it at once.
    fn act(&mut self, now: Micros, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, host, timeout, connect } => self.send(now, id, host, timeout, connect),
            Action::Write { id, .. } => self.write(now, id),
            Action::Withhold { id, attempt } => self.withhold(now, id, attempt),
            Action::Cancel { id, attempt } => {
                let out = self.held.get(&id).and_then(|held| held.out);
                let out = out.filter(|out| out.attempt == attempt);
                self.step.effects.extend(out.map(|out| Effect::Abandon(out.connection)));
            }
            Action::Refuse { id, retry_after } => {
                return self.end(id, End::Returned { after_ms: retry_after.div_ceil(1000) });
            }
            Action::Fail(id) => return self.end(id, End::Failed),
            Action::Probe(host) => {
                if let Some(address) = self.names.address(host) {
                    self.counters.probes += 1;
                    let (path, timeout) = (self.names.probe_path(), self.names.settings().connect_timeout);
                    self.step.effects.push(Effect::Probe { host, address, path, timeout });
                }
            }
            Action::CloseIdle(host) => self.pool.close(host),
            Action::Tell { to, bytes } => {
                self.counters.peer_messages_out += 1;
                self.step.effects.push(Effect::Gossip { to, bytes });
            }
            Action::Subscribe => self.step.effects.push(Effect::Follow),
            Action::Wake(at) => self.step.effects.push(Effect::Wake(at)),
            Action::Log(text) => self.log(Level::Info, text),
        }
        None
    }

    /// Has an attempt made on an idle connection at once, or on a new one once that is open.
    fn send(&mut self, now: Micros, id: MessageId, host: HostId, timeout: Micros, connect: Micros) {
        let held = self.held.get_mut(&id).filter(|held| held.out.is_none() && held.closing.is_none());
        let zoned = held.as_ref().is_some_and(|held| self.names.is_zoned(&held.message.class));
        let zone = self.names.zone_of(host).filter(|_| zoned);
        let (Some(held), Some(address)) = (held, self.names.address(host)) else {
            return self.must(false, "calls are for messages on hand, one at a time, to hosts of the list");
        };
        let attempt = held.past.attempts;
        held.past.attempts += 1;
        let idle = self.pool.take(host, address, now);
        let (until, idle_for) = (now + timeout, idle.map(|(_, idle_for)| idle_for));
        let carried = Carried { id, attempt, host, address, at: now, until, connect, idle_for };
        let out = |connection| Out { attempt, at: now, written_at: None, zone, connection };
        match idle {
            Some((connection, _)) => {
                held.out = Some(out(connection));
                self.carried.insert(connection, carried);
                self.write(now, id);
            }
            None => {
                held.out = Some(out(ConnectionId(0)));
                self.open(carried, now);
            }
        }
    }

    /// Has the call of an attempt written to its connection, which is open.
    fn write(&mut self, now: Micros, id: MessageId) {
        let out = self.held.get_mut(&id).and_then(|held| Some((held.out.as_mut()?, &held.message)));
        let Some((out, message)) = out else {
            return self.must(false, "what is written is out");
        };
        let Some(carried) = self.carried.get(&out.connection) else {
            return self.must(false, "what is written has a connection");
        };
        out.written_at = Some(now);
        let (connection, attempt, host) = (out.connection, out.attempt, carried.host);
        let timeout = carried.until.saturating_sub(now);
        let (body, idempotency_key) = (message.body.clone(), message.idempotency_key.clone());
        let message = message.id.clone();
        self.step.records.push(Record::Started { number: id.0, at: now });
        self.step.records.extend(out.zone.map(|zone| Record::StartedIn { number: id.0, zone }));
        self.counters.sent += 1;
        self.step.effects.push(Effect::Call(Call {
            connection,
            id,
            attempt,
            host,
            message,
            idempotency_key,
            body,
            timeout,
        }));
    }
}

/// The answer to a client whose message is given up before it was told that it is taken on.
fn refusal(end: End) -> Answer {
    match end {
        End::Failed => Answer::Failed,
        End::Returned { after_ms } => Answer::Refused { after_ms },
    }
}
