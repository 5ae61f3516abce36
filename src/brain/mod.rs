//! Every decision of a sender. Its types, events and actions stand in `src/interface`.
//! The ordinary path is the permit pool of docs/design.md: senders pace each limited route to their shares of
//! a pool, and each round the surplus of underusers passes to those that used all. The rest guards it.

mod choice;
mod connections;
mod health;
mod list;
mod pauses;
mod peers;
mod returns;
mod room;
mod shares;

use std::collections::BTreeMap;

use crate::interface::*;
use crate::memo::{self, Memo, Purpose, Record};
use crate::state::*;

pub use shares::reallocate;

// What the modules take from each other.
use connections::{KEEP_CUT, KEEP_REGROWTH};
use health::{patience, suspect};
use pauses::pause;
use peers::{HOMES, homes};
use returns::MOSTLY;
use shares::{BURST, LEAST_POOL, bind, pace, report, settle, source};

/// Round of the reallocation (us); the design's default.
const ROUND: Micros = 2_000_000;
/// Age at which a peer's report counts no more (us); the design's default, three rounds.
const EXPIRY: Micros = 3 * ROUND;
/// Age up to which a report tells of the last round (us): a round, and time for it to come.
const FRESH: Micros = ROUND + ROUND / 4;
/// Trouble at which a host is opened: failures in a row, most calls failing, or senders that tell of some.
const TRIP: f64 = 2.0;
/// Weight of a new sample in a mean.
const SAMPLE: f64 = 0.15;
/// Answer time taken for a route that has not answered yet (us).
const FIRST_GUESS: f64 = 300_000.0;
/// Time between looks at what is held (us).
const LOOK: Micros = 25_000;

/// The decisions of one sender.
pub struct Brain {
    settings: Settings,
    seed: u64,
    now: Micros,
    state: State,
    /// How long what waits for a destination will take to go.
    outlook: BTreeMap<DestinationId, Micros>,
    agenda: Agenda,
    /// Idle time for which connections are kept, by kind, and the longest after which one was still of use.
    keep: Vec<f64>,
    proven: Vec<f64>,
    /// When a table of a host was last seen or told to be full, by kind.
    crowded_at: Vec<Option<Micros>>,
    /// When the caller stops; what is out by then is cut off.
    stop_at: Micros,
    actions: Vec<Action>,
}

impl Brain {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Brain {
            seed,
            now: 0,
            state: State::default(),
            outlook: BTreeMap::new(),
            agenda: Agenda { ask_at: settings.ask_registry.then_some(0), ..Agenda::default() },
            keep: vec![settings.idle_close as f64; settings.kinds.len()],
            proven: vec![0.0; settings.kinds.len()],
            crowded_at: vec![None; settings.kinds.len()],
            stop_at: Micros::MAX,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes all events of one batch, then decides once.
    pub fn step(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        let mut due = now >= self.agenda.look_at;
        for event in events {
            due |= !matches!(event, Event::Timer | Event::Peer { .. });
            match event {
                Event::Registry(news) => self.learn(news),
                Event::Message(request) => self.take_on(request),
                Event::Withdrawn(id) => self.state.withdraw(id, now),
                Event::Timer => {}
                Event::Stop { by } => (self.stop_at, self.agenda.round_at) = (by, by.max(ROUND) - ROUND / 2),
                Event::Ended(ended) => self.conclude(ended),
                Event::Opened { id, attempt } => self.look_again(id, attempt),
                Event::Stalled { id, attempt, stalled } => self.state.stall(id, attempt, stalled),
                Event::Probed { host, outcome, limit } => self.judge(host, outcome, now, limit),
                Event::Peer { from, bytes } => self.hear(from, &bytes),
                Event::Learnt(learnt) => self.recall(&learnt),
                Event::Placed(placements) => self.state.place(placements),
                Event::Retuned(settings) => self.settings = self.state.retuned(settings, homes),
            }
        }
        if self.agenda.ask_at.take_if(|at| *at <= now).is_some() {
            self.actions.push(Action::Subscribe);
        }
        if now >= self.agenda.round_at {
            self.close_rounds();
        }
        if now >= self.agenda.look_at {
            self.agenda.look_at = now + LOOK;
            self.look_ahead();
            self.watch_health();
        }
        if due {
            self.expire();
            self.shed();
            self.dispatch();
        }
        self.actions.extend(self.agenda.wake(self.state.messages.is_empty(), now).map(Action::Wake));
        std::mem::take(&mut self.actions)
    }
}
