//! What a step asks for, done: records first, then effects in their order.

use std::path::Path;
use std::time::Duration;

use pewterseam::timeouts;
use slog::{error, info, warn};

use pewterseam_fleet::interface::Record;
use pewterseam_node::io::{Effect, Input, Level, Step};

use super::relay::Relay;
use crate::discovery::Watch;
use crate::{learnt, maintenance};

impl Relay {
    /// Keeps a step's records, then does what it asks for. What can't be kept is taken back first.
    pub(super) fn carry_out(&mut self, mut step: Step) {
        let mut failure = None;
        while let Err(error) = self.journal.append(&step.records) {
            failure = Some(error);
            step = self.reducer.undo(self.clock.now(), step);
        }
        if let Some(error) = &failure
            && !self.journal_fails
        {
            error!(self.log, "the journal takes nothing"; "error" => %error);
        }
        self.journal_fails = failure.is_some();
        for effect in step.effects {
            self.carry_out_effect(effect);
        }
        if self.journal.is_due() {
            self.write_anew();
        }
    }

    fn carry_out_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { id, answer } => self.clients.answer(id, answer),
            Effect::Tell { id, verdict, text } => self.operators.answer(id, verdict, &text),
            Effect::Standby(on) => self.clients.standby(on),
            Effect::KeepMaintenance(names) => {
                if let Err(error) = maintenance::write(&self.folder, &names) {
                    error!(self.log, "the hosts under maintenance are not kept"; "error" => %error);
                }
            }
            Effect::Open { connection, address, within } => self.hosts.open(connection, address, within),
            Effect::Call(call) => self.hosts.call(call),
            Effect::Abandon(connection) => self.hosts.abandon(connection),
            Effect::Close(connections) => connections.into_iter().for_each(|id| self.hosts.close(id)),
            Effect::Probe { host, address, path, timeout } => self.hosts.probe(host, address, path, timeout),
            Effect::Notify(notice) => {
                let _ = self.notices.send(notice);
            }
            Effect::Gossip { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.tell(to, &bytes);
                }
            }
            Effect::CallMember { call, address, body } => {
                if let Some(fleet) = &self.fleet {
                    fleet.members.call(call, address, body);
                }
            }
            Effect::KeepFleet { number, anew, records } => self.keep_fleet(number, anew, &records),
            Effect::Follow => {
                let wait = Duration::from_micros(timeouts::LIST_POLL);
                let first = Duration::from_micros(timeouts::RESPONSE);
                let patience = Duration::from_micros(timeouts::LIST_RESPONSE);
                let wait_alone = Duration::from_micros(timeouts::LIST_POLL_SINGLE);
                let _ = self.follow.send(Watch { wait, wait_alone, first, patience, again: first });
            }
            Effect::Move(address) => {
                self.discovery.send_replace(address);
            }
            Effect::Wake(at) => self.wake(at),
            Effect::Log { level: Level::Info, text } => info!(self.log, "{}", text),
            Effect::Log { level: Level::Warn, text } => warn!(self.log, "{}", text),
            Effect::Log { level: Level::Error, text } => error!(self.log, "{}", text),
        }
    }

    /// Writes what the fleet's machine keeps, then goes on with what rests on it.
    fn keep_fleet(&mut self, number: u64, anew: bool, records: &[Record]) {
        let Some(fleet) = &mut self.fleet else { return };
        let written = fleet.log.write(anew, records).is_ok();
        let step = self.reducer.kept(self.clock.now(), number, written);
        self.carry_out(step);
    }

    pub(super) fn write_anew(&mut self) {
        let (next, records) = self.reducer.records();
        let done = self.journal.write_anew(next, &records);
        if let Err(error) = &done {
            error!(self.log, "the journal could not be written anew"; "error" => %error);
        }
        self.inputs.send(Input::WrittenAnew { done: done.is_ok() });
    }

    pub(super) fn say_goodbye(&self, folder: &Path) {
        let limit = self.config.file.limits.disk();
        if let Err(error) = learnt::write(folder, &self.reducer.learnt(), limit) {
            warn!(self.log, "what was learnt of hosts is not kept"; "error" => %error);
        }
        let counters = self.reducer.counters().all();
        let counters: Vec<_> = counters.iter().map(|(name, value)| format!("{name} {value}")).collect();
        info!(self.log, "counters: {}", counters.join(", "));
        info!(self.log, "stopped"; "held" => self.reducer.held());
    }
}
