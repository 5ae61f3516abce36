//! Ends of processes: asked for, or at once; and standstills.

use pewterseam::interface::Micros;
use pewterseam::timeouts;
use pewterseam_node::io::Input;

use super::super::event::{Event, Life};
use super::super::process::{Load, Stop};
use super::{CLOCK, Engine};
use crate::story::{Happened, RelayNumber};

/// Clients are led to a dead relay for so long.
const MISSED_AFTER: Micros = 2_000_000;

impl Engine<'_> {
    /// SIGTERM.
    pub(super) fn ask_to_stop(&mut self, relay: RelayNumber) {
        let now = self.now;
        let process = self.process(relay);
        if process.machine.is_none() || process.stop.is_some() {
            return;
        }
        process.stop = Some(Stop { since: now, closed: false });
        let life = process.life;
        self.tell(Happened::Stopping { relay });
        self.put(relay, Input::Stop { by: CLOCK + now + timeouts::STOP_TIMEOUT });
        self.enter_in(timeouts::RETRY_PAUSE, Event::StopDue { relay, life });
    }

    /// Goes on with a stop, as the driver does: requests are taken on for a while, then refused; the process
    /// ends when nothing is on hand, or at its time.
    pub(super) fn stop_due(&mut self, relay: RelayNumber, life: Life) {
        if !self.process(relay).is_up(life) || self.defers(relay, Event::StopDue { relay, life }) {
            return;
        }
        let now = self.now;
        let Some(Stop { since, closed }) = self.process(relay).stop else { return };
        if !closed && now >= since + timeouts::STOP_ACCEPT {
            self.process(relay).stop = Some(Stop { since, closed: true });
            self.lead_clients(relay, false);
            self.put(relay, Input::Close);
        }
        let process = self.process(relay);
        let is_empty = process.machine.as_ref().is_some_and(|machine| machine.held() == 0);
        if now >= since + timeouts::STOP_TIMEOUT || (closed && is_empty && process.open.is_empty()) {
            let learnt = process.machine.as_ref().and_then(|machine| machine.learnt());
            if !self.process(relay).folder.is_full {
                self.process(relay).folder.learnt = learnt;
            }
            self.die(relay);
            return;
        }
        self.enter_turn(relay);
        self.enter_in(timeouts::RETRY_PAUSE, Event::StopDue { relay, life });
    }

    /// The process ends. Its connections are reset; its folder stays.
    pub(super) fn die(&mut self, relay: RelayNumber) {
        let now = self.now;
        let process = self.process(relay);
        let Some(machine) = process.machine.as_ref() else { return };
        let broken = machine.broken();
        let carrying: Vec<_> = process
            .wires
            .values()
            .filter_map(|wire| if let Load::Carrying(call) = wire.load { Some(call) } else { None })
            .collect();
        let open: Vec<_> = process.open.iter().copied().collect();
        let (life, in_use) = (process.life, process.in_use);
        process.end(now);
        self.tally.invariants_broken += broken;
        self.tell(Happened::Dead { relay });
        carrying.into_iter().for_each(|call| self.leave(call));
        open.into_iter().for_each(|request| self.left_without_answer(request));
        if in_use {
            self.enter_in(MISSED_AFTER, Event::Missed { relay, life });
        }
        self.start_when_free(relay);
    }

    pub(super) fn missed(&mut self, relay: RelayNumber, life: Life) {
        // Not where a new process was found ready meanwhile.
        if self.process(relay).life == life + 1 && self.process(relay).machine.is_none() {
            self.lead_clients(relay, false);
        }
    }

    /// SIGSTOP.
    pub(super) fn stand_still(&mut self, relay: RelayNumber, place: usize) {
        if self.process(relay).machine.is_some() {
            self.process(relay).stalls.insert(place);
        }
    }

    /// SIGCONT. What came meanwhile is read before the timers that are due are heeded.
    pub(super) fn go_on(&mut self, relay: RelayNumber, place: usize) {
        let process = self.process(relay);
        if !process.stalls.remove(&place) || process.is_stalled() || process.machine.is_none() {
            return;
        }
        process.turn_due = false;
        let deferred = std::mem::take(&mut process.deferred);
        deferred.into_iter().for_each(|event| self.take(event));
        self.enter_turn(relay);
    }

    /// Keeps an event of a relay that stands still for when it goes on.
    pub(super) fn defers(&mut self, relay: RelayNumber, event: Event) -> bool {
        let process = self.process(relay);
        if process.is_stalled() {
            process.deferred.push(event);
        }
        process.is_stalled()
    }
}
