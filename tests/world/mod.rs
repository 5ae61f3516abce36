//! A simulated environment of some senders of one group: messages, host lists, peers, restarts, and hosts
//! with varying behaviour and limits. All choices are drawn from the world's own seeds.

mod outside;

use std::collections::BTreeMap;
use std::hash::Hasher;

use pewterseam::Brain;
use pewterseam::interface::*;
use siphasher::sip::SipHasher13;

use crate::common::*;

/// Simulated time of a world (us).
const DURATION: Micros = 90 * SECOND;
/// Grid of event times (us), so that some events arrive in one batch.
const GRID: Micros = 5 * MILLI;
const DESTINATIONS: u64 = 6;
const HOSTS: u64 = 16;

/// A message at its sender, recorded apart from the module's own state.
struct Held {
    request: Request,
    history: History,
    /// The attempt in flight: its number, when it was sent, and its host.
    in_flight: Option<(u32, Micros, HostId)>,
    connect: Micros,
    timeout: Micros,
}

/// The next thing that happens to a sender.
enum Due {
    Arrival,
    Fixed(Event),
    Ended(Ended),
    Restart,
}

/// Senders of one group and their environment.
pub struct World {
    settings: Settings,
    /// Connections take time to open, and the callers report it.
    reports_opening: bool,
    now: Micros,
    draws: u64,
    brains: Vec<Brain>,
    held: Vec<BTreeMap<MessageId, Held>>,
    due: BTreeMap<(Micros, u64), (usize, Due)>,
    list: BTreeMap<HostId, ListedHost>,
    /// Calls to each destination per tenth of a second.
    calls: BTreeMap<(DestinationId, Micros), u64>,
    hasher: SipHasher13,
}

/// A pseudo-random number from its keys; it does not depend on the version of any crate.
fn pseudo_random(kind: u64, key: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(kind, key);
    hasher.write_u64(key);
    hasher.finish()
}

impl World {
    pub fn new(settings: Settings, count: usize, reports_opening: bool, hasher: SipHasher13) -> Self {
        let entry = |host: u64| {
            let destination = (host % DESTINATIONS) as DestinationId;
            let kind = destination as usize % settings.kinds.len();
            let entry = ListedHost { zone: (host % 3) as u16, kind, ..listed(host, destination, 12.0) };
            (entry.host, entry)
        };
        let mut world = World {
            list: (0..HOSTS).map(entry).collect(),
            brains: (0..count).map(|me| Brain::new(settings_of(&settings, me), me as u64 + 1)).collect(),
            held: (0..count).map(|_| BTreeMap::new()).collect(),
            due: BTreeMap::new(),
            calls: BTreeMap::new(),
            now: START,
            draws: 0,
            settings,
            reports_opening,
            hasher,
        };
        for me in 0..count {
            world.schedule(me, 0, Due::Fixed(Event::Registry(world.whole())));
            world.schedule(me, GRID, Due::Arrival);
        }
        world
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        pseudo_random(1, self.draws) % bound
    }

    fn schedule(&mut self, me: usize, span: Micros, due: Due) {
        self.draws += 1;
        self.due.insert(((self.now + span).next_multiple_of(GRID), self.draws), (me, due));
    }

    fn whole(&self) -> RegistryUpdate {
        RegistryUpdate::FullList(self.list.values().copied().collect())
    }

    /// Runs the world and hashes all actions.
    pub fn play(mut self) -> SipHasher13 {
        while let Some(((at, _), _)) = self.due.first_key_value()
            && *at < START + DURATION
        {
            self.now = *at;
            let me = self.due.first_key_value().map_or(0, |(_, (me, _))| *me);
            let mut events = Vec::new();
            let batch = self.due.extract_if(..=(self.now, u64::MAX), |_, (to, _)| *to == me);
            let batch: Vec<_> = batch.collect();
            batch.into_iter().for_each(|(_, (_, due))| self.handle(me, due, &mut events));
            let actions = self.brains[me].step(self.now, events);
            for action in actions {
                self.hasher.write(format!("{} {me} {action:?}", self.now).as_bytes());
                self.act(me, action);
            }
        }
        self.hasher
    }

    fn handle(&mut self, me: usize, due: Due, events: &mut Vec<Event>) {
        match due {
            Due::Arrival => self.arrive(me, events),
            Due::Fixed(event) => events.push(event),
            Due::Ended(ended) => self.end(me, ended, events),
            Due::Restart => self.restart(me, events),
        }
    }

    /// A few messages, at a load that varies over time; now and then another event for the sender.
    fn arrive(&mut self, me: usize, events: &mut Vec<Event>) {
        for _ in 0..=self.draw(3) {
            let (id, class) = (MessageId(self.draws), self.draw(self.settings.classes.len() as u64) as usize);
            let destination = self.draw(DESTINATIONS + 1) as DestinationId; // one is never listed
            let tenant = self.draw(2) as usize;
            let key = self.settings.classes[class].in_order.then_some(self.draw(9));
            let deadline = self.now + self.settings.classes[class].deadline;
            let history = History::default();
            let request = Request { id, class, destination, tenant, key, deadline, history };
            self.held[me].insert(id, Held { request, history, in_flight: None, connect: 0, timeout: 0 });
            events.push(Event::Message(request));
        }
        let pause =
            [60, 150, 300, 900][pseudo_random(2, me as u64 + self.now / (8 * SECOND)) as usize % 4] * MILLI;
        let pause = pause / 2 + self.draw(pause);
        self.schedule(me, pause, Due::Arrival);
        match self.draw(120) {
            0 => self.change_list(),
            1 => events
                .push(Event::Registry([RegistryUpdate::Failed, RegistryUpdate::Overloaded][me % 2].clone())),
            2 => events.push(Event::Withdrawn(MessageId(self.draws - self.draw(60)))),
            3 => {
                let (host, outcome) = (HostId(self.draw(HOSTS)), [Outcome::Ok, Outcome::Error][me % 2]);
                events.push(Event::Probed { host, outcome, limit: None });
            }
            4 if self.draw(4) == 0 => {
                let by = self.now + 3 * SECOND;
                events.push(Event::Stop { by });
                self.schedule(me, 3 * SECOND, Due::Restart);
            }
            5 if self.draw(4) == 0 => {
                let mut settings = settings_of(&self.settings, me);
                (settings.slots, settings.max_held) =
                    (6 + self.draw(6) as usize, 50 + self.draw(20) as usize);
                events.push(Event::SettingsChanged(settings));
            }
            _ => {}
        }
    }

    fn change_list(&mut self) {
        let host = HostId(self.draw(HOSTS + 2));
        let lifecycle = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone][self.draw(3) as usize];
        let destination = (host.0 % DESTINATIONS) as DestinationId;
        let (kind, zone) = (destination as usize % self.settings.kinds.len(), (host.0 % 3) as u16);
        let weight = 6.0 + self.draw(12) as f64;
        let entry = ListedHost { lifecycle, zone, kind, ..listed(host.0, destination, weight) };
        self.list.insert(host, entry);
        let changes = RegistryUpdate::Changes(vec![entry]);
        let news = if self.draw(3) == 0 { self.whole() } else { changes };
        self.list.retain(|_, entry| entry.lifecycle != Lifecycle::Gone);
        for me in 0..self.brains.len() {
            let pause = self.draw(50 * MILLI);
            self.schedule(me, pause, Due::Fixed(Event::Registry(news.clone())));
        }
    }

    fn restart(&mut self, me: usize, events: &mut Vec<Event>) {
        let learnt = self.brains[me].learnt();
        self.hasher.write(format!("{learnt:?}").as_bytes());
        self.brains[me] = Brain::new(settings_of(&self.settings, me), self.now);
        events.retain(|event| matches!(event, Event::Peer { .. }));
        self.due.retain(|_, (to, due)| *to != me || matches!(due, Due::Arrival));
        let mut first = vec![Event::Registry(self.whole()), Event::Learnt(learnt)];
        for held in self.held[me].values_mut() {
            if let Some((_, at, _)) = held.in_flight.take() {
                held.history.interrupted_at = Some(at);
                held.history.possible_run.get_or_insert(PossibleRun { at, zone: None });
            }
            held.request.history = held.history;
            first.push(Event::Message(held.request));
        }
        events.splice(0..0, first);
        self.schedule(me, GRID, Due::Fixed(Event::Timer));
    }

    fn end(&mut self, me: usize, ended: Ended, events: &mut Vec<Event>) {
        let Some(held) = self.held[me].get_mut(&ended.id) else { return };
        let Some((_, at, host)) = held.in_flight.take_if(|sent| sent.0 == ended.attempt) else { return };
        let zone = Some((host.0 % 3) as u16);
        if ended.outcome.may_have_run() {
            held.history.possible_run.get_or_insert(PossibleRun { at, zone });
        }
        if !matches!(ended.outcome, Outcome::Ok | Outcome::Rejected { .. }) {
            held.history.failed_at.get_or_insert(at);
        }
        if ended.closed {
            self.held[me].remove(&ended.id);
        }
        events.push(Event::Ended(Ended { took: self.now - at, ..ended }));
    }
}

fn settings_of(settings: &Settings, me: usize) -> Settings {
    Settings { me: me as u16, ..settings.clone() }
}
