//! SIGTERM at a relay, in the order of calls of `pewterseam_system::relay::stopping`.

use std::collections::BTreeSet;

use pewterseam_delivery::Input as DeliveryInput;
use pewterseam_queue::{MessageKey, RunResult};
use pewterseam_wire::Micros;

use crate::event::Output;
use crate::relay::RelayProcess;

const LEAVE_FOR: Micros = 1_200_000;
/// `graceS`.
const GRACE: Micros = 6_000_000;
const GRACE_PART: f64 = 0.88;
const LOOK_PERIOD: Micros = 25_000;

/// How far a stop is.
#[derive(Debug)]
pub struct Stopping {
    close_at: Micros,
    end_by: Micros,
    pub is_closed: bool,
    is_done: bool,
    look_at: Micros,
}

impl Stopping {
    pub fn next_wake(&self) -> Micros {
        self.look_at
    }
}

impl RelayProcess {
    pub(crate) fn begin_stopping(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.node.now;
        let end_by = now + (GRACE as f64 * GRACE_PART) as Micros;
        let close_at = (now + LEAVE_FOR).min(end_by);
        self.stopping = Some(Stopping { close_at, end_by, is_closed: false, is_done: false, look_at: now });
    }

    pub(crate) fn go_on_stopping(&mut self, now: Micros) {
        let Some(stopping) = &mut self.stopping else { return };
        if stopping.is_done {
            stopping.look_at = Micros::MAX;
            return;
        }
        stopping.look_at = now + LOOK_PERIOD;
        let (close, over, end_by) = (now >= stopping.close_at, now >= stopping.end_by, stopping.end_by);
        let is_closed = std::mem::replace(&mut stopping.is_closed, close);
        if close && !is_closed {
            self.close_doors(now, end_by);
        }
        let is_drained = is_closed && self.queue.is_drained() && self.clients.is_empty();
        if is_drained || over {
            self.delivery_inputs.push(DeliveryInput::HandOver);
            self.settle();
            self.node.leave();
            self.node.out.push(Output::Exit);
            if let Some(stopping) = &mut self.stopping {
                stopping.is_done = true;
            }
        }
    }

    fn close_doors(&mut self, now: Micros, end_by: Micros) {
        let running: BTreeSet<u64> = self.attempts.values().copied().collect();
        let effects = self.queue.stop(now);
        self.queue_effects.extend(effects);
        for key in self.queue.running_keys() {
            if !running.contains(&key.0) {
                self.give_back(now, key);
            }
        }
        self.delivery_inputs.push(DeliveryInput::Stop { by: end_by });
    }

    fn give_back(&mut self, now: Micros, key: MessageKey) {
        self.delivery_inputs.push(DeliveryInput::Withdraw { key: key.0 });
        let effects = self.queue.run_finished(now, key, RunResult::NotRun);
        self.queue_effects.extend(effects);
    }
}
