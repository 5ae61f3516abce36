//! Calls of relays to hosts: connections, answers and time-outs, as `pewterseam-outbound` tells of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_delivery::{AttemptEnd, AttemptId, AttemptResult, BreakCause, Input as DeliveryInput};
use pewterseam_outbound::Reading;
use pewterseam_wire::Micros;

use crate::configuration::LIMITED;
use crate::event::{Event, Input, Life, StartCall};
use crate::garbled::{Leftover, TakenConnection};
use crate::hosts::{Hosts, Reaction, Run, answer};
use crate::judge::SentMessage;
use crate::plan::{MILLISECOND, Planted, SECOND};
use crate::world::World;

/// An answer that is complete so long before the time-out counts as one in time.
const IN_TIME: Micros = 50 * MILLISECOND;
/// How long a connection was idle, as far as the decisions are told.
const IDLE_FOR: Micros = 100 * MILLISECOND;
/// A relay that dials a host that does not answer gives up then.
const CONNECT_TIMEOUT: Micros = SECOND;
/// `contactMs`: what arrives so soon after a cut counts as held up.
const HELD_UP: Micros = 4 * SECOND;
/// A planted fault uses a permit so often again, each time after a pause.
const KEPT_USES: Micros = 60;
const KEPT_USE_PAUSE: Micros = 50 * MILLISECOND;

/// A call of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    pub life: Life,
    pub attempt: AttemptId,
}

/// A call that is out.
pub struct Call {
    start: StartCall,
    started_at: Micros,
    is_new: bool,
    /// What its connection held before.
    leftover: Option<Leftover>,
    /// It passed over an answer to another message; nothing follows on its connection.
    has_passed_over: bool,
    run: Option<u64>,
}

/// The calls that are out, and idle connections.
#[derive(Default)]
pub struct Calls {
    open: BTreeMap<CallKey, Call>,
    idle: BTreeMap<(Life, SocketAddr), usize>,
}

impl Calls {
    /// What is read on the connection of a call as soon as its request has arrived, and the id of the call's message.
    fn held_by(&mut self, key: CallKey) -> Option<(Leftover, Arc<str>)> {
        let call = self.open.get_mut(&key)?;
        let leftover = call.leftover.take_if(|leftover| !leftover.comes_before_the_next())?;
        Some((leftover, call.start.request_id.clone()))
    }
}

impl World {
    pub(crate) fn is_cut_from_hosts(&self, life: Life) -> bool {
        self.machines[life.machine].cut_from_hosts_until > self.now
    }

    /// Whether a cut may have held up what arrives now.
    fn was_cut_from_hosts(&self, life: Life) -> bool {
        let until = self.machines[life.machine].cut_from_hosts_until;
        until > 0 && self.now < until + HELD_UP
    }

    /// When something that is sent now between a relay and a host arrives. A cut holds it up.
    fn host_arrival(&mut self, life: Life) -> Micros {
        let sent = self.machines[life.machine].cut_from_hosts_until.max(self.now);
        sent + self.network.delay()
    }

    pub(crate) fn start_call(&mut self, life: Life, start: StartCall) {
        let key = CallKey { life, attempt: start.attempt };
        let address = start.target.address;
        let idle = self.calls.idle.entry((life, address)).or_default();
        let has_idle = *idle > 0;
        *idle = idle.saturating_sub(1);
        let taken = has_idle.then(|| self.take_leftover(life, address, &start.request_id));
        let (is_new, leftover) = match taken {
            None | Some(TakenConnection::Closed) => (true, None),
            Some(TakenConnection::Clean) => (false, None),
            Some(TakenConnection::Holds(leftover)) => (false, Some(leftover)),
        };
        let (timeout, confirm) = (start.timeout, start.confirm);
        let call = Call { start, started_at: self.now, is_new, leftover, has_passed_over: false, run: None };
        self.calls.open.insert(key, call);
        let arrival = self.host_arrival(life);
        if is_new && (self.is_cut_from_hosts(life) || self.hosts.at(address).is_none()) {
            let at = if self.is_cut_from_hosts(life) { self.now + CONNECT_TIMEOUT } else { arrival };
            self.agenda.add(at, Event::CallAnswered(key, AttemptResult::ConnectFailed));
        } else if is_new || confirm {
            self.agenda.add(arrival, Event::CallOpened(key));
        } else {
            self.call_written(key);
        }
        self.agenda.add(self.now + timeout, Event::CallTimesOut(key));
    }

    pub(crate) fn call_written(&mut self, key: CallKey) {
        let Some(call) = self.calls.open.get(&key) else { return };
        if self.now >= call.started_at + call.start.write_within {
            if let Some(call) = self.calls.open.remove(&key) {
                self.end_call(key, &call, AttemptResult::Unsent);
            }
            return;
        }
        self.judge.written(self.now, key, &call.start.request_id);
        let arrival = self.host_arrival(key.life);
        self.agenda.add(arrival, Event::CallArrives(key));
        if let Some((leftover, request_id)) = self.calls.held_by(key) {
            let has_passed_over = self.read_leftover(key, &leftover, &request_id, arrival);
            if let Some(call) = self.calls.open.get_mut(&key) {
                call.has_passed_over = has_passed_over;
            }
        }
        let is_limited = self.calls.open.get(&key).is_some_and(|call| call.start.target.instance.is_none());
        let keeps_permits = self.plan.planted == Some(Planted::LatePermits) && is_limited;
        if keeps_permits && self.is_cut_off(key.life.machine) {
            for use_again in 1..=KEPT_USES {
                let at = self.now + use_again * KEPT_USE_PAUSE;
                self.agenda.add(at, Event::PermitUsedAgain(key.life));
            }
        }
    }

    pub(crate) fn call_opened(&mut self, key: CallKey) {
        if self.calls.open.contains_key(&key) {
            let input = Input::Host(DeliveryInput::Opened { attempt: key.attempt });
            self.agenda.add(self.now, Event::Process(key.life, input));
        }
    }

    pub(crate) fn withhold(&mut self, key: CallKey) {
        if let Some(call) = self.calls.open.remove(&key) {
            *self.calls.idle.entry((key.life, call.start.target.address)).or_default() += 1;
        }
    }

    pub(crate) fn close_idle(&mut self, life: Life, address: SocketAddr) {
        self.calls.idle.remove(&(life, address));
    }

    pub(crate) fn call_arrives(&mut self, key: CallKey) {
        let Some(call) = self.calls.open.get(&key) else { return };
        let (target, request_id) = (call.start.target.clone(), call.start.request_id.clone());
        let (body, ordering_key) = (call.start.body.clone(), call.start.ordering_key.clone());
        let arrival = self.host_arrival(key.life);
        let Some(host) = self.hosts.at(target.address) else {
            self.agenda
                .add(arrival, Event::CallAnswered(key, AttemptResult::Broken(BreakCause::ConnectionClosed)));
            return;
        };
        let service = self.hosts.all[host].service;
        if service == LIMITED {
            let is_held_up = self.was_cut_from_hosts(key.life);
            self.judge.arrived(self.now, key.life, is_held_up);
        }
        let reaction = self.hosts.react(self.now, host, &target, &request_id);
        if let Some(since) = self.hosts.all[host].draining_since
            && !Hosts::is_for_another(&reaction)
        {
            self.judge.draining_host_receives(self.now, &request_id, key.life, since);
        }
        match reaction {
            Reaction::Answers { status, not_executed } => {
                let result = answer(status, not_executed, None);
                self.agenda.add(arrival, Event::CallAnswered(key, result));
            }
            Reaction::Resets => {
                self.agenda.add(
                    arrival,
                    Event::CallAnswered(key, AttemptResult::Broken(BreakCause::ConnectionClosed)),
                );
            }
            Reaction::Runs { status, took, is_answer_lost } => {
                let sent = SentMessage { request_id: &request_id, body: &body, ordering_key: &ordering_key };
                self.judge.run_starts(self.now, &sent, key, service);
                self.last_run += 1;
                let run = Run { host, call: key, request_id, status, is_answer_lost };
                self.runs.insert(self.last_run, run);
                self.hosts.all[host].running += 1;
                if let Some(call) = self.calls.open.get_mut(&key) {
                    call.run = Some(self.last_run);
                }
                self.agenda.add(self.now + took, Event::RunEnds { run: self.last_run });
            }
        }
    }

    pub(crate) fn run_ends(&mut self, number: u64) {
        let Some(mut run) = self.runs.remove(&number) else { return };
        let host = &mut self.hosts.all[run.host];
        host.running -= 1;
        if !host.is_up {
            self.agenda.add(
                self.now,
                Event::CallAnswered(run.call, AttemptResult::Broken(BreakCause::ConnectionClosed)),
            );
            return;
        }
        let signature = (run.status == 200).then(|| Arc::from(format!("s-{number}")));
        run.is_answer_lost |= self.is_cut_short();
        self.judge.run_ends(self.now, &run, signature.clone());
        let arrival = self.host_arrival(run.call.life);
        let result = if run.is_answer_lost {
            AttemptResult::Broken(BreakCause::TruncatedResponse)
        } else {
            answer(run.status, false, signature)
        };
        self.agenda.add(arrival, Event::CallAnswered(run.call, result));
    }

    pub(crate) fn call_answered(&mut self, key: CallKey, result: AttemptResult) {
        let Some(mut call) = self.calls.open.remove(&key) else { return };
        let took = self.now - call.started_at;
        // What the connection held comes first, and the answer right behind it.
        let held = call.leftover.take();
        call.has_passed_over |=
            held.is_some_and(|held| held.read_by(&call.start.request_id) == Reading::PassedOver);
        if let AttemptResult::Answered(answer) = &result {
            if !call.has_passed_over {
                *self.calls.idle.entry((key.life, call.start.target.address)).or_default() += 1;
            }
            let is_running = self.is_running(key.life);
            if answer.status == 500 && is_running {
                self.judge.failure_read(self.now, &call.start.request_id, key.life);
            }
            if answer.status == 200 && took + IN_TIME <= call.start.timeout && is_running {
                self.judge.success_read(self.now, &call.start.request_id, key.life);
            }
        }
        if let AttemptResult::Answered(answer) = &result
            && !call.has_passed_over
        {
            let (address, id) = (call.start.target.address, call.start.request_id.clone());
            self.leave_over(key.life, address, &id, answer.status);
        }
        self.end_call(key, &call, result);
    }

    /// A call ends with an answer that its connection held before.
    pub(crate) fn leftover_read(&mut self, key: CallKey, result: AttemptResult) {
        let Some(call) = self.calls.open.remove(&key) else { return };
        if !matches!(result, AttemptResult::Answered(_)) {
            self.drop_run(key.life, &call);
        }
        self.end_call(key, &call, result);
    }

    pub(crate) fn call_times_out(&mut self, key: CallKey) {
        if let Some(call) = self.calls.open.remove(&key) {
            self.drop_run(key.life, &call);
            self.end_call(key, &call, AttemptResult::TimedOut);
        }
    }

    pub(crate) fn abort(&mut self, key: CallKey) {
        if let Some(call) = self.calls.open.remove(&key) {
            self.drop_run(key.life, &call);
            self.end_call(key, &call, AttemptResult::Broken(BreakCause::Cancelled));
        }
    }

    fn end_call(&mut self, key: CallKey, call: &Call, result: AttemptResult) {
        let kept = matches!(result, AttemptResult::Answered(_)) && !call.has_passed_over;
        let idle_for = (!call.is_new).then_some(IDLE_FOR);
        let end = AttemptEnd { result, took: self.now - call.started_at, idle_for, kept };
        let input = Input::Host(DeliveryInput::Ended { attempt: key.attempt, end });
        self.agenda.add(self.now, Event::Process(key.life, input));
    }

    /// The host sees that the connection closed, unless a cut keeps it from the host.
    fn drop_run(&mut self, life: Life, call: &Call) {
        if self.is_cut_from_hosts(life) {
            return;
        }
        if let Some(number) = call.run
            && self.hosts.drops_work()
            && let Some(run) = self.runs.remove(&number)
        {
            self.hosts.all[run.host].running -= 1;
            self.judge.run_dropped(self.now, &run.request_id);
        }
    }

    /// The process of a life is gone, and its connections with it.
    pub(crate) fn end_calls(&mut self, life: Life) {
        let gone: Vec<CallKey> = self.calls.open.keys().filter(|key| key.life == life).copied().collect();
        for key in gone {
            if let Some(call) = self.calls.open.remove(&key) {
                self.drop_run(life, &call);
            }
        }
        self.calls.idle.retain(|(of, _), _| *of != life);
    }
}
