//! A relay: hand-ins, what it thinks of hosts, and which goes where by the placements.

use std::collections::{BTreeMap, VecDeque};

use pewterseam_failover::interface::{Micros, Outcome, Placement, SECOND, TurnedAway};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::calls::{DEADLINE, Effect, Message};
use super::events::Event;
use super::{Model, PLACES, Policy, ZONES};

/// What waits is looked at so often.
const TICK: Micros = 50_000;
/// Failures in a row that open a host; time between trials of an open one.
const OPENS: u32 = 2;
const TRIALS: Micros = SECOND / 2;
/// Pause at a host that refused, doubled with each refusal in a row up to the second.
const PAUSE: (Micros, Micros) = (50_000, SECOND / 2);
/// Keys of a relay for each destination.
const KEYS: u16 = 5;

/// What a relay thinks of a host.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub calls: u32,
    failed: u32,
    refused: u32,
    trial_at: Micros,
    shut_until: Micros,
}

impl View {
    pub fn is_open(&self) -> bool {
        self.failed >= OPENS
    }

    pub fn ended(&mut self, now: Micros, outcome: Outcome) {
        self.calls = self.calls.saturating_sub(1);
        match outcome {
            Outcome::Ok => (self.failed, self.refused) = (0, 0),
            Outcome::Rejected { .. } => {
                let pause = PAUSE.0 << self.refused.min(5);
                self.refused += 1;
                self.shut_until = now + pause.min(PAUSE.1);
            }
            _ => {
                self.failed += 1;
                self.trial_at = now + TRIALS;
            }
        }
    }
}

pub struct Relay {
    pub up: bool,
    pub process: u64,
    pub views: Vec<View>,
    pub waiting: Vec<Message>,
    keys: BTreeMap<(usize, u16), VecDeque<Message>>,
    arrivals: Pcg64Mcg,
    pub places: BTreeMap<(usize, usize), (u8, f64)>,
    pub turned: BTreeMap<usize, TurnedAway>,
    numbered: u64,
}

impl Relay {
    pub fn new(at: usize, hosts: usize, seed: u64) -> Self {
        Relay {
            up: true,
            process: 1,
            views: vec![View::default(); hosts],
            waiting: Vec::new(),
            keys: BTreeMap::new(),
            arrivals: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003) ^ at as u64),
            places: BTreeMap::new(),
            turned: BTreeMap::new(),
            numbered: (at as u64) << 32,
        }
    }

    pub fn kill(&mut self) {
        self.up = false;
        self.process += 1;
        self.waiting.clear();
        self.keys.clear();
        self.places.clear();
        self.turned.clear();
        self.views.iter_mut().for_each(|view| *view = View::default());
    }

    pub fn next_of_key(&mut self, over: &Message) -> Option<Message> {
        let queue = self.keys.get_mut(&(over.destination, over.key?))?;
        queue.pop_front();
        queue.front().cloned()
    }

    pub fn place(&mut self, placements: &[Placement], turned: &[TurnedAway]) {
        let of = |place: &Placement| {
            ((place.destination as usize, usize::from(place.zone)), (place.rank, place.part))
        };
        self.places = placements.iter().map(of).collect();
        self.turned = turned.iter().map(|of| (of.destination as usize, *of)).collect();
    }

    /// Whether the hosts of a destination in the relay's own zone get all again.
    pub fn is_near(&self, destination: usize, zone: usize) -> bool {
        let others = PLACES[destination].iter().filter(|of| **of != zone);
        let place = |zone: usize| self.places.get(&(destination, zone)).copied().unwrap_or((0, 1.0));
        place(zone).1 >= 1.0 && others.into_iter().all(|of| place(*of).1 == 0.0)
    }
}

impl Model {
    pub fn next_arrival(&mut self, relay: usize, destination: usize) {
        let rate = self.day.rate(destination, relay % ZONES) * ZONES as f64 / self.day.relays as f64;
        if rate <= 0.0 {
            return;
        }
        let chance: f64 = self.relays[relay].arrivals.random_range(1e-9..1.0);
        let gap = (-chance.ln() / rate * SECOND as f64) as Micros;
        self.push(self.now + gap.max(1), Event::Arrival { relay, destination });
    }

    pub fn on_arrival(&mut self, relay: usize, destination: usize) {
        let class = {
            let mut chance: f64 = self.relays[relay].arrivals.random();
            let classes = &self.classes.all;
            let taken = classes.iter().find(|class| {
                chance -= class.part;
                chance < 0.0
            });
            *taken.unwrap_or(&classes[0])
        };
        let (now, day) = (self.now, self.day_time());
        let own = &mut self.relays[relay];
        own.numbered += 1;
        let message = Message {
            id: own.numbered,
            destination,
            effect: class.effect,
            worth: class.worth,
            key: (class.effect == Effect::Keyed).then(|| own.arrivals.random_range(0..KEYS)),
            born: now,
            attempts: 0,
            ran: None,
            chance: own.arrivals.random(),
        };
        // All messages of a key go the same way, as one waits for the other.
        let by_key = |key: u16| f64::from((key as u32 * 7919 + relay as u32 * 104_729) % 1000) / 1000.0;
        let chance = message.key.map_or(message.chance, by_key);
        let message = Message { chance, ..message };
        let (up, decline) = (own.up, own.arrivals.random::<f64>());
        self.next_arrival(relay, destination);
        if !up {
            return;
        }
        self.report.handed(day, &message);
        self.hand(relay, destination, message.worth);
        let turned = self.relays[relay].turned.get(&destination);
        if turned.is_some_and(|turned| turned.takes(message.worth, decline)) {
            self.report.turned_away(&message);
            return;
        }
        if let Some(key) = message.key {
            let queue = self.relays[relay].keys.entry((destination, key)).or_default();
            queue.push_back(message.clone());
            if queue.len() > 1 {
                return;
            }
        }
        self.try_one(relay, message);
    }

    pub fn on_tick(&mut self) {
        self.push(self.now + TICK, Event::Tick);
        self.see_truth();
        for relay in 0..self.relays.len() {
            self.dispatch(relay);
        }
        self.note_near();
    }

    pub fn dispatch(&mut self, relay: usize) {
        let waiting = std::mem::take(&mut self.relays[relay].waiting);
        waiting.into_iter().for_each(|message| self.try_one(relay, message));
    }

    /// What is on hand, has no place any more and can't have run is turned away too.
    pub fn turn_away(&mut self, relay: usize) {
        for message in std::mem::take(&mut self.relays[relay].waiting) {
            let turned = self.relays[relay].turned.get(&message.destination);
            if message.attempts == 0
                && turned.is_some_and(|turned| turned.takes(message.worth, message.chance))
            {
                self.report.turned_away(&message);
                self.settled(relay, &message, self.now);
            } else {
                self.relays[relay].waiting.push(message);
            }
        }
    }

    pub fn try_one(&mut self, relay: usize, message: Message) {
        if self.now >= message.born + DEADLINE {
            self.report.lost(&message);
            return self.settled(relay, &message, self.now);
        }
        match self.choose(relay, &message) {
            Some(host) => self.send(relay, host, message),
            None => self.relays[relay].waiting.push(message),
        }
    }

    /// As the relay's decisions choose: a healthy one, then the lowest rank, then the least busy.
    fn choose(&mut self, relay: usize, message: &Message) -> Option<usize> {
        let picked = (self.policy == Policy::Locality).then(|| self.locality(relay, message)).flatten();
        let own = &self.relays[relay];
        let place = |zone: usize| own.places.get(&(message.destination, zone)).copied().unwrap_or((0, 1.0));
        let placed = |zone: usize| match self.policy {
            Policy::Locality => picked.is_none_or(|picked| picked == zone),
            _ => message.chance < place(zone).1,
        };
        let any = PLACES[message.destination].iter().any(|zone| placed(*zone));
        let fits = |at: &usize| {
            let (host, view) = (&self.hosts[*at], &own.views[*at]);
            let reaches = message.effect != Effect::Zoned || message.ran.is_none_or(|ran| ran == host.zone);
            let precious = message.effect == Effect::SingleShot;
            let trial = !view.is_open() || (!precious && view.calls == 0 && self.now >= view.trial_at);
            host.destination == message.destination
                && (placed(host.zone) || !any)
                && reaches
                && trial
                && self.now >= view.shut_until
                && (view.refused == 0 || view.calls == 0)
        };
        let fit: Vec<usize> = (0..self.hosts.len()).filter(fits).collect();
        // An open host has its trials though another one is well.
        let due = |view: &View| message.effect == Effect::Free && self.now >= view.trial_at;
        let doubtful = |view: &View| view.is_open() && !due(view);
        let rank = |at: usize| (doubtful(&own.views[at]), place(self.hosts[at].zone).0, own.views[at].calls);
        let best = fit.iter().map(|at| rank(*at)).min()?;
        let those: Vec<usize> = fit.into_iter().filter(|at| rank(*at) == best).collect();
        Some(those[self.rng.random_range(0..those.len())])
    }
}
