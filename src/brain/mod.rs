//! All decisions of a sender; `src/interface` has the types. Normally, senders limit calls on each limited
//! route to shares of a permit pool (docs/design.md); each round, surplus passes to those that used all.

mod admission;
mod backoff;
mod choice;
mod connections;
mod health;
mod list;
mod peers;
mod recovery;
mod shares;

use std::collections::BTreeMap;

use crate::interface::{Effect::SingleShot, RegistryUpdate::Overloaded, WeightMeaning::ApproximateRate, *};
use crate::memo::{self, Memo, Purpose, Record};
use crate::state::*;

pub use shares::reallocate;

use backoff::backoff;
use connections::{IDLE_CUT, IDLE_GROWTH};
use health::{is_suspect, max_silence};
use peers::{HOMES, homes};
use recovery::OUTAGE_RATE;
use shares::{BURST, MIN_POOL, max_rate, report, send_rate, start_limiting, update_share};

/// Length of a reallocation round (us); the design's default.
const ROUND: Micros = 2_000_000;
/// Age at which a peer's report expires (us); the design's default, three rounds.
const REPORT_EXPIRY: Micros = 3 * ROUND;
/// Age up to which a report describes the last round (us): a round, and time for the report to arrive.
const REPORT_FRESH: Micros = ROUND + ROUND / 4;
/// Failure score at which a host opens: failures in a row, most calls failing, or senders reporting some.
const TRIP: f64 = 2.0;
const SAMPLE_WEIGHT: f64 = 0.15;
/// Answer time assumed for a route that has not answered yet (us).
const INITIAL_ANSWER_TIME: f64 = 300_000.0;
/// Time between checks of the held messages (us).
const CHECK_INTERVAL: Micros = 25_000;

pub struct Brain {
    settings: Settings,
    seed: u64,
    now: Micros,
    state: State,
    /// Estimated time until the messages waiting for a destination are sent.
    drain_times: BTreeMap<DestinationId, Micros>,
    timers: Timers,
    /// Maximum idle time of connections, by kind, and the longest idle time after which one still worked.
    max_idle: Vec<f64>,
    reused_idle: Vec<f64>,
    /// When a host's connection table was last found or reported full, by kind.
    full_at: Vec<Option<Micros>>,
    /// When the caller stops; calls in flight are cut off then.
    stop_at: Micros,
    actions: Vec<Action>,
}

impl Brain {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Brain {
            seed,
            now: 0,
            state: State::default(),
            drain_times: BTreeMap::new(),
            timers: Timers { ask_at: settings.polls_registry.then_some(0), ..Timers::default() },
            max_idle: vec![settings.idle_close as f64; settings.kinds.len()],
            reused_idle: vec![0.0; settings.kinds.len()],
            full_at: vec![None; settings.kinds.len()],
            stop_at: Micros::MAX,
            actions: Vec::new(),
            settings,
        }
    }

    /// Applies all events of a batch, then decides once.
    pub fn step(&mut self, now: Micros, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        let mut due = now >= self.timers.check_at;
        for event in events {
            due |= !matches!(event, Event::Timer | Event::Peer { .. });
            match event {
                Event::Registry(news) => self.apply_registry(news),
                Event::Message(request) => self.admit(request),
                Event::Withdrawn(id) => self.state.withdraw(id, now),
                Event::Timer => {}
                Event::Stop { by } => (self.stop_at, self.timers.round_at) = (by, by.max(ROUND) - ROUND / 2),
                Event::Ended(ended) => self.finish_attempt(ended),
                Event::Opened { id, attempt } => self.check_again(id, attempt),
                Event::Stalled { id, attempt, stalled } => self.state.set_stalled(id, attempt, stalled),
                Event::Probed { host, outcome, limit } => self.record_outcome(host, outcome, now, limit),
                Event::Peer { from, bytes } => self.handle_peer(from, &bytes),
                Event::Learnt(learnt) => self.restore_learnt(&learnt),
                Event::PlacementsChanged(placements) => self.state.set_placements(placements),
                Event::SettingsChanged(new) => self.settings = self.state.apply_settings(new, homes),
            }
        }
        if self.timers.ask_at.take_if(|at| *at <= now).is_some() {
            self.actions.push(Action::Subscribe);
        }
        if now >= self.timers.round_at {
            self.close_rounds();
        }
        if now >= self.timers.check_at {
            self.timers.check_at = now + CHECK_INTERVAL;
            self.estimate_drain();
            self.open_silent_hosts();
        }
        if due {
            self.expire();
            self.shed();
            self.dispatch();
        }
        self.actions.extend(self.timers.next_wake(self.state.messages.is_empty(), now).map(Action::Wake));
        std::mem::take(&mut self.actions)
    }
}
