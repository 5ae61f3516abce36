//! The cluster, its surroundings and the loop that plays them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_delivery::Input as DeliveryInput;
use pewterseam_queue::StatusResult;
use pewterseam_wire::Micros;
use pewterseam_wire::identity::Role;
use pewterseam_wire::random::Random;
use pewterseam_wire::record::Record;

use crate::agenda::Agenda;
use crate::calls::{CallKey, Calls};
use crate::clients::Client;
use crate::configuration::retention;
use crate::disk::{Ending, LogName};
use crate::event::{Event, Input, Life, Origin, Output};
use crate::garbled::Leftovers;
use crate::hosts::{Hosts, Run};
use crate::judge::Judge;
use crate::machine::Machine;
use crate::network::Network;
use crate::operators::{Operator, OperatorCall};
use crate::plan::{MILLISECOND, Plan, SECOND, Scenario};
use crate::probes::Probe;
use crate::report::Report;
use crate::size::{self, CORE_RELAYS, OTHER_RELAYS, TRAFFIC_BEGINS};

const LEAST_CLIENTS: usize = 40;
const MORE_CLIENTS: usize = 80;
/// The same where the limited service has more to do than it allows.
const CROWD: usize = 160;
const LIST_PERIOD: Micros = 400 * MILLISECOND;
/// A probe without an answer ends then.
const PROBE_TIMEOUT: Micros = SECOND;
const READ_ROUNDS: usize = 5;
const READ_ROUND: Micros = 1_700 * MILLISECOND;

/// A cluster that is played.
pub struct World {
    pub(crate) plan: Plan,
    pub(crate) now: Micros,
    pub(crate) agenda: Agenda,
    pub(crate) random: Random,
    pub(crate) network: Network,
    pub(crate) machines: Vec<Machine>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) hosts: Hosts,
    pub(crate) calls: Calls,
    pub(crate) leftovers: Leftovers,
    pub(crate) runs: BTreeMap<u64, Run>,
    pub(crate) last_run: u64,
    pub(crate) clients: Vec<Client>,
    pub(crate) requests: BTreeMap<u64, (usize, Arc<str>)>,
    pub(crate) last_request: u64,
    pub(crate) operators: Vec<Operator>,
    pub(crate) operator_calls: BTreeMap<u64, OperatorCall>,
    pub(crate) last_token: u64,
    /// The mark of the newest change of an operator.
    pub(crate) last_mark: u64,
    /// The configuration was read when all was over.
    pub(crate) is_config_read: bool,
    pub(crate) probes: BTreeMap<u64, Probe>,
    pub(crate) last_probe: u64,
    states: BTreeMap<u64, StatusResult>,
    bodies: BTreeMap<u64, Option<Record>>,
    /// No other disk may be lost before then.
    pub(crate) lost_until: Micros,
    /// Faults that may still follow on another.
    pub(crate) strikes_left: usize,
    pub(crate) traffic_begins: Micros,
    pub(crate) traffic_ends: Micros,
    pub(crate) judge: Judge,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut random = Random::new(plan.seed.wrapping_mul(0x2545_f491_4f6c_dd1d));
        let span = size::random_span(&mut random, plan.scenario);
        let machines = size::machines(plan.scenario);
        let seeds = machines[..CORE_RELAYS].iter().map(|machine| machine.address).collect();
        World {
            plan,
            now: SECOND,
            agenda: Agenda::default(),
            network: Network::new(random.draw()),
            machines,
            seeds,
            hosts: Hosts::new(random.draw()),
            calls: Calls::default(),
            leftovers: Leftovers::default(),
            runs: BTreeMap::new(),
            last_run: 0,
            clients: Vec::new(),
            requests: BTreeMap::new(),
            last_request: 0,
            operators: (0..size::count_of_operators(plan.scenario)).map(|_| Operator::default()).collect(),
            operator_calls: BTreeMap::new(),
            last_token: 0,
            last_mark: 0,
            is_config_read: false,
            probes: BTreeMap::new(),
            last_probe: 0,
            states: BTreeMap::new(),
            bodies: BTreeMap::new(),
            lost_until: 0,
            strikes_left: 0,
            traffic_begins: TRAFFIC_BEGINS,
            traffic_ends: TRAFFIC_BEGINS + span,
            judge: Judge::new(retention(plan.scenario)),
            random,
        }
    }

    /// Plays from the first start to the last read.
    pub fn play(mut self) -> Report {
        for machine in 0..self.machines.len() {
            self.start_process(machine);
        }
        self.let_operator_act(0, 3 * SECOND);
        for operator in 1..self.operators.len() {
            self.let_operator_act(operator, self.traffic_begins);
        }
        self.agenda.add(self.now, Event::List);
        self.draw_traffic();
        self.draw_faults();
        self.run_until(self.traffic_ends);
        self.bring_back();
        self.run_until(self.traffic_ends + size::calm(self.plan));
        self.read_all();
        self.judge.finish(self.plan.seed)
    }

    fn draw_traffic(&mut self) {
        let span = (self.traffic_ends - self.traffic_begins) as usize;
        let is_crowded = self.random.below(3) == 0;
        let (most, limited) = if is_crowded { (CROWD, 7) } else { (MORE_CLIENTS, 2) };
        let uses_passing =
            matches!(self.plan.scenario, Scenario::ChangingRoutes | Scenario::OutagesAndChanges);
        let most_delay_ms = size::most_delay_ms(self.plan.scenario);
        for client in 0..LEAST_CLIENTS + self.random.below(most) {
            let drawn = Client::draw(&mut self.random, limited, uses_passing, most_delay_ms);
            self.clients.push(drawn);
            let at = self.traffic_begins + self.random.below(span) as Micros;
            self.agenda.add(at, Event::ClientSends { client });
        }
        let most_changes = size::most_changes_of_hosts(self.plan.scenario);
        for _ in 0..self.random.below(most_changes) {
            let at = self.traffic_begins + self.random.below(span) as Micros;
            self.agenda.add(at, Event::HostsChange);
        }
        if self.plan.scenario == Scenario::OutagesAndChanges {
            self.draw_outages();
        }
    }

    fn bring_back(&mut self) {
        for machine in 0..self.machines.len() {
            self.start_process(machine);
        }
    }

    fn run_until(&mut self, until: Micros) {
        while let Some((at, event)) = self.agenda.pop(until) {
            self.now = at;
            self.happen(event);
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Process(life, input) => self.step(life, input),
            Event::Arrive { connection, at_dialer, frame } => self.arrive(connection, at_dialer, &frame),
            Event::Closed { connection, at_dialer } => self.closed(connection, at_dialer),
            Event::DiskDone(life, name) => self.disk_done(life, name),
            Event::Fault(fault) => self.fault(fault),
            Event::Trouble(trouble) => self.trouble(trouble),
            Event::Scaling(scaling) => self.scale(scaling),
            Event::ClientSends { client } => self.client_sends(client),
            Event::ClientHears { client, request, answer } => self.client_hears(client, request, answer),
            Event::AskState { name } => self.ask_state(name),
            Event::OperatorActs { operator } => self.operator_acts(operator),
            Event::OperatorHears { operator, token, outcome } => {
                self.operator_hears(operator, token, outcome)
            }
            Event::List => self.pass_list_on(),
            Event::CallOpened(key) => self.call_opened(key),
            Event::CallArrives(key) => self.call_arrives(key),
            Event::CallAnswered(key, result) => self.call_answered(key, result),
            Event::LeftoverRead(key, result) => self.leftover_read(key, result),
            Event::CallTimesOut(key) => self.call_times_out(key),
            Event::PermitUsedAgain(life) => self.judge.arrived(self.now, life, false),
            Event::RunEnds { run } => self.run_ends(run),
            Event::HostsChange => self.hosts.change(self.now),
            Event::ServiceEnds { service } => self.hosts.end_all(service),
            Event::ServiceReturns { service } => self.hosts.begin_all(service),
        }
    }

    /// Gives a process an input, unless that life is over. A frozen one takes it later.
    pub(crate) fn step(&mut self, life: Life, input: Input) {
        let (now, machine) = (self.now, &mut self.machines[life.machine]);
        if machine.life != life.number {
            return;
        }
        if machine.frozen_until > now {
            self.agenda.add(machine.frozen_until, Event::Process(life, input));
            return;
        }
        if matches!(input, Input::Wake) {
            if machine.wake_at < now {
                return;
            }
            machine.wake_at = Micros::MAX;
        }
        let wall = machine.wall(now);
        let Some(process) = &mut machine.process else { return };
        let outputs = process.step(now, wall, input);
        let wake = process.next_wake().max(now + 1);
        if wake < machine.wake_at {
            machine.wake_at = wake;
            self.agenda.add(wake, Event::Process(life, Input::Wake));
        }
        for output in outputs {
            self.carry_out(life, output);
        }
    }

    fn carry_out(&mut self, life: Life, output: Output) {
        let key = |attempt| CallKey { life, attempt };
        match output {
            Output::Datagram { to, bytes } => self.send_datagram(life, to, bytes),
            Output::Send { to, message } => self.send(life, to, message),
            Output::Reply { origin: Origin::Dialed(to), message } => self.send(life, to, message),
            Output::Reply { origin: Origin::Accepted(connection), message } => {
                self.transmit(connection, true, message);
            }
            Output::HangUp { address } => self.hang_up(life, address),
            Output::Disk(name, command) => {
                let machine = &mut self.machines[life.machine];
                if name == LogName::Control && (!machine.has_disk() || machine.role == Role::Store) {
                    return;
                }
                machine.log(name).push(command);
                self.begin_disk(life, name);
            }
            Output::Answer { token, answer } => {
                if let Some((client, _)) = self.requests.get(&token) {
                    let event = Event::ClientHears { client: *client, request: token, answer: Some(answer) };
                    let at = self.now + self.network.delay();
                    self.agenda.add(at, event);
                }
            }
            Output::NoRoute { token } => {
                if let Some((_, id)) = self.requests.get(&token) {
                    self.judge.refused_without_route(self.now, &id.clone(), life);
                }
            }
            Output::Status { read, result } => {
                if let Some(result) = result
                    && !self.state_told(read, &result)
                {
                    self.states.insert(read, result);
                }
            }
            Output::Body { read, result } => {
                if let Some(result) = result {
                    self.bodies.insert(read, result);
                }
            }
            Output::Operator { token, outcome } => self.operator_answered(token, outcome),
            Output::Start(call) => self.start_call(life, call),
            Output::Write(attempt) => self.call_written(key(attempt)),
            Output::Withhold(attempt) => self.withhold(key(attempt)),
            Output::Abort(attempt) => self.abort(key(attempt)),
            Output::Probe { host, target } => {
                let is_cut = self.is_cut_from_hosts(life);
                let healthy = !is_cut && self.hosts.is_healthy(&target);
                let input = Input::Host(DeliveryInput::Probed { host, healthy });
                let took = if is_cut { PROBE_TIMEOUT } else { 5 * MILLISECOND };
                self.agenda.add(self.now + took, Event::Process(life, input));
            }
            Output::CloseIdle { address } => self.close_idle(life, address),
            Output::InForce(state) => self.judge.in_force(self.now, life, &state),
            Output::Exit => self.end_process(life.machine, Ending::Process, true),
        }
    }

    fn begin_disk(&mut self, life: Life, name: LogName) {
        let (now, machine) = (self.now, &mut self.machines[life.machine]);
        if !machine.log(name).begin() {
            return;
        }
        let span = if now < machine.slow_until { 300_000 } else { 4_000 };
        let took = 200 + self.random.below(span) as Micros;
        let at = (now + took).max(machine.stalled_until);
        self.agenda.add(at, Event::DiskDone(life, name));
    }

    fn disk_done(&mut self, life: Life, name: LogName) {
        let machine = &mut self.machines[life.machine];
        if machine.life != life.number || machine.process.is_none() {
            return;
        }
        if let Some(event) = machine.log(name).finish() {
            self.begin_disk(life, name);
            self.step(life, Input::Disk(name, event));
        }
    }

    fn pass_list_on(&mut self) {
        let list = self.hosts.list();
        for machine in 0..CORE_RELAYS + OTHER_RELAYS {
            let lag = self.random.below(300) as Micros * MILLISECOND;
            let input = Input::Host(DeliveryInput::Hosts(list.clone()));
            self.agenda.add(self.now + lag, Event::Process(self.life(machine), input));
        }
        self.agenda.add(self.now + LIST_PERIOD, Event::List);
    }

    /// Reads the configuration, and the state and body of each accepted message, as clients do.
    fn read_all(&mut self) {
        let accepted = self.judge.accepted();
        for round in 0..READ_ROUNDS {
            let relay = self.life(round % (CORE_RELAYS + OTHER_RELAYS));
            for (number, (id, name)) in accepted.iter().enumerate() {
                let read = number as u64;
                if !self.states.contains_key(&read) {
                    let input = Input::ReadStatus { read, name: name.clone() };
                    self.agenda.add(self.now, Event::Process(relay, input));
                }
                if !self.bodies.contains_key(&read) && !self.judge.is_ended(self.now, id) {
                    let input = Input::ReadBody { read, name: name.clone() };
                    self.agenda.add(self.now, Event::Process(relay, input));
                }
            }
            if !self.is_config_read {
                self.read_last_config(relay.machine);
            }
            self.run_until(self.now + READ_ROUND);
            let has_all = (0..accepted.len() as u64).all(|read| self.states.contains_key(&read));
            let has_bodies = accepted.iter().enumerate().all(|(number, (id, _))| {
                self.judge.is_ended(self.now, id) || self.bodies.contains_key(&(number as u64))
            });
            if has_all && has_bodies && self.is_config_read {
                break;
            }
        }
        for (number, (id, _)) in accepted.iter().enumerate() {
            let read = number as u64;
            self.judge.final_state(self.now, id, self.states.get(&read));
            let body = self.bodies.get(&read).and_then(Option::as_ref).map(|record| &record.body);
            self.judge.final_body(self.now, id, body);
        }
        if !self.is_config_read {
            self.judge.config_missing();
        }
    }
}
