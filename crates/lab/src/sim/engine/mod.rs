//! The engine: takes events in their order and has each party do its part. What the parties do stands in the
//! files beside this one, by party.

mod answers;
mod calls;
mod clients;
mod connections;
mod faults;
mod hosts;
mod left;
mod lists;
mod notices;
mod relays;
mod stops;

use pewterseam::interface::Micros;
use pewterseam_settings::Deployment;

use crate::plan::Plan;
use crate::story::{Happened, HostFacts, HostNumber, RelayNumber, Story, Told};

use super::calendar::Calendar;
use super::cast;
use super::dice::{Dice, Purpose};
use super::event::Event;
use super::host::{Destination, Host};
use super::links::Links;
use super::machine::Variant;
use super::process::Process;
use super::registry::Registry;
use super::{Played, SimFault, Tally};

pub(super) use calls::CallState;
pub(super) use clients::{Key, RequestState};

/// The relays' clock at the start of the day (us): Unix time, far from 0, at which nothing has happened yet.
const CLOCK: Micros = 1_700_000_000_000_000;
/// The day goes on for so long after the last deadline: 0.3 s for late ends, and 1.5 s after a restart.
const AFTERMATH: Micros = 3_000_000;

pub(super) struct Engine<'a> {
    plan: &'a Plan,
    variant: &'a dyn Variant,
    deployment: Deployment,
    now: Micros,
    calendar: Calendar,
    story: Story,
    relays: Vec<Process>,
    /// Relays to which clients are led.
    in_use: Vec<RelayNumber>,
    hosts: Vec<Host>,
    destinations: Vec<Destination>,
    links: Links,
    registry: Registry,
    calls: Vec<CallState>,
    requests: Vec<RequestState>,
    keys: Vec<Key>,
    messages: u64,
    /// Faults on the load, by place.
    load_times: Vec<(usize, f64)>,
    message_dice: Dice,
    retry_dice: Dice,
    host_dice: Dice,
    relay_dice: Vec<Dice>,
    tally: Tally,
}

impl<'a> Engine<'a> {
    pub(super) fn new(
        plan: &'a Plan, deployment: Deployment, variant: &'a dyn Variant,
    ) -> Result<Self, SimFault> {
        if let Some(line) = cast::refusals(plan).into_iter().next() {
            return Err(SimFault::NotPlayable(line));
        }
        let dice = |purpose| Dice::new(plan.seed, purpose);
        let relays = 0..plan.fleet.relays;
        let mut engine = Engine {
            plan,
            variant,
            deployment,
            now: 0,
            calendar: Calendar::default(),
            story: Story::default(),
            relays: relays.clone().map(|number| Process::new(cast::zone_of(plan, number))).collect(),
            in_use: Vec::new(),
            hosts: Vec::new(),
            destinations: plan.destinations.iter().cloned().map(Destination::new).collect(),
            links: Links::new(plan),
            registry: Registry::default(),
            calls: Vec::new(),
            requests: Vec::new(),
            keys: Vec::new(),
            messages: 0,
            load_times: Vec::new(),
            message_dice: dice(Purpose::Messages),
            retry_dice: dice(Purpose::Retries),
            host_dice: dice(Purpose::Hosts),
            relay_dice: relays.map(|number| dice(Purpose::Relay(number))).collect(),
            tally: Tally::default(),
        };
        engine.open_day();
        Ok(engine)
    }

    /// Hosts stand, relays start, faults are entered.
    fn open_day(&mut self) {
        let zones = self.plan.fleet.zones.len().max(1);
        for destination in 0..self.destinations.len() {
            for index in 0..usize::from(self.destinations[destination].plan.hosts) {
                self.add_host(destination, index % zones);
            }
        }
        let rev = self.registry.rev;
        self.relays.iter_mut().for_each(|relay| (relay.agent_rev, relay.told_rev) = (rev, rev));
        self.hold_late_starts();
        for relay in 0..self.plan.fleet.relays {
            self.start_when_free(relay);
        }
        for (place, fault) in self.plan.faults.iter().enumerate() {
            self.calendar.enter(micros(fault.start_s), Event::FaultBegins(place));
            self.calendar.enter(micros(fault.start_s + fault.length_s), Event::FaultEnds(place));
        }
        self.open_keys();
        self.enter_first_message();
    }

    /// Plays the day to its end.
    pub(super) fn play(mut self) -> Played {
        let longest = self.plan.load.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        let end = micros(self.plan.length_s + longest) + AFTERMATH;
        while let Some((at, event)) = self.calendar.next().filter(|(at, _)| *at <= end) {
            debug_assert!(at >= self.now, "time goes on");
            self.now = at;
            self.take(event);
        }
        self.tally.events = self.calendar.entered();
        let machines = self.relays.iter().filter_map(|relay| relay.machine.as_ref());
        self.tally.invariants_broken += machines.map(|machine| machine.broken()).sum::<u64>();
        Played { story: self.story, tally: self.tally }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Starts { relay } => self.starts(relay),
            Event::Turn { relay, life } => self.turn(relay, life),
            Event::Wake { relay, life } => self.wakes(relay, life),
            Event::HealthAsked { relay, life } => self.ask_health(relay, life),
            Event::StopDue { relay, life } => self.stop_due(relay, life),
            Event::Missed { relay, life } => self.missed(relay, life),
            Event::Datagram { from, to, bytes } => self.hears(from, to, &bytes),
            Event::Opened { relay, life, connection } => self.opened(relay, life, connection),
            Event::NotOpened { relay, life, connection } => self.not_opened(relay, life, connection),
            Event::ClosedIdle { relay, life, connection } => self.closed_idle(relay, life, connection),
            Event::Arrives(call) => self.arrives(call),
            Event::Answers(call) => self.answers(call),
            Event::Answered(call) => self.answered(call),
            Event::Breaks(call) => self.breaks(call),
            Event::TimedOut(call) => self.timed_out(call),
            Event::Probes { relay, life, host, within } => self.probes(relay, life, host, within),
            Event::Probed { relay, life, host, how } => self.probed(relay, life, host, how),
            Event::Message => self.message(),
            Event::HandIn(request) => self.hand_in(request),
            Event::Offers(request) => self.offers(request),
            Event::Replies { request, status, after_ms, cut_short } => {
                self.replies(request, status, after_ms, cut_short);
            }
            Event::GivesUp(request) => self.gives_up(request),
            Event::Pushed { relay } => self.pushed(relay),
            Event::CountsAsTold { relay } => self.counts_as_told(relay),
            Event::ListAnswers { relay, life, asked } => self.list_answers(relay, life, asked),
            Event::ListTurnedAway { relay, life, asked } => self.list_turned_away(relay, life, asked),
            Event::ListFails { relay, life, asked } => self.list_fails(relay, life, asked),
            Event::Reads { relay, life, told, numbers } => self.reads(relay, life, told, numbers),
            Event::NoticesAnswered { relay, life, told, numbers } => {
                self.notices_answered(relay, life, told, &numbers);
            }
            Event::NoticesFail { relay, life, told } => self.notices_fail(relay, life, told),
            Event::TellNotices { relay, life } => self.tell_notices(relay, life),
            Event::FaultBegins(place) => self.fault_begins(place),
            Event::FaultEnds(place) => self.fault_ends(place),
            Event::Flaps { place, silent } => self.flaps(place, silent),
            Event::Warms { host, returned } => self.warms(host, returned),
            Event::Replaced(host) => self.replace_host(host),
            Event::HostGone(host) => self.host_gone(host),
        }
    }

    fn tell(&mut self, what: Happened) {
        self.story.told.push(Told { at: self.now, what });
    }

    fn enter_in(&mut self, span: Micros, event: Event) {
        self.calendar.enter(self.now + span, event);
    }

    fn process(&mut self, relay: RelayNumber) -> &mut Process {
        &mut self.relays[usize::from(relay)]
    }

    /// The hosts that stand, as faults pick them.
    fn standing(&self) -> Vec<(HostNumber, HostFacts)> {
        let standing = self.hosts.iter().filter(|host| !host.gone);
        standing.map(|host| (host.number, self.story.hosts[&host.number].clone())).collect()
    }
}

/// Seconds of a plan in microseconds; what is no time is 0.
pub(super) fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}
