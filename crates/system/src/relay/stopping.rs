//! Stopping: clients are sent elsewhere, runs are finished, the rest is handed to other relays.

use std::collections::HashSet;

use pewterseam_delivery::Input as DeliveryInput;
use pewterseam_ingress::Phase;
use pewterseam_queue::{MessageKey, RunResult};
use pewterseam_wire::Micros;

use super::process::RelayProcess;

/// How long clients are served on after the platform was told that this relay is not ready.
const LEAVE_FOR: Micros = 1_200_000;
/// Part of the grace period after which the process ends, whatever is left.
const GRACE_PART: f64 = 0.88;
/// How often progress is looked at.
const LOOK_PERIOD: Micros = 25_000;

/// How far a stop is.
#[derive(Debug)]
pub struct Stopping {
    /// No requests are taken from then on, and nothing is started.
    close_at: Micros,
    end_by: Micros,
    is_closed: bool,
    is_done: bool,
    look_at: Micros,
}

impl Stopping {
    pub fn next_wake(&self) -> Micros {
        self.look_at
    }
}

impl RelayProcess {
    pub(super) fn has_stopped(&self) -> bool {
        self.stopping.as_ref().is_some_and(|stopping| stopping.is_done)
    }

    pub(super) fn begin_stopping(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        log::info!("stopping");
        let now = self.node.now();
        let grace = self.settings.bounds.grace().as_micros() as f64 * GRACE_PART;
        let end_by = now + grace as Micros;
        let close_at = (now + LEAVE_FOR).min(end_by);
        self.stopping = Some(Stopping { close_at, end_by, is_closed: false, is_done: false, look_at: now });
        self.stopper.set(Phase::Leaving);
    }

    pub(super) fn go_on_stopping(&mut self, now: Micros) {
        let Some(stopping) = &mut self.stopping else { return };
        stopping.look_at = now + LOOK_PERIOD;
        let (close, over, end_by) = (now >= stopping.close_at, now >= stopping.end_by, stopping.end_by);
        let is_closed = std::mem::replace(&mut stopping.is_closed, close);
        if close && !is_closed {
            self.close_doors(now, end_by);
        }
        let is_drained = is_closed && self.planes.queue.is_drained() && self.door.under_way() == 0;
        if is_drained || over {
            self.end();
        }
    }

    /// No requests are taken any more; what is not running is given up to other relays.
    fn close_doors(&mut self, now: Micros, end_by: Micros) {
        self.stopper.set(Phase::Closed);
        let running: HashSet<u64> = self.planes.attempts.values().map(|sent| sent.message).collect();
        let effects = self.planes.queue.stop(now);
        self.queue_effects.extend(effects);
        for key in self.planes.queue.running_keys() {
            if !running.contains(&key.0) {
                self.give_back(now, key);
            }
        }
        self.delivery_inputs.push(DeliveryInput::Stop { by: end_by });
    }

    fn give_back(&mut self, now: Micros, key: MessageKey) {
        self.delivery_inputs.push(DeliveryInput::Withdraw { key: key.0 });
        let effects = self.planes.queue.run_finished(now, key, RunResult::NotRun);
        self.queue_effects.extend(effects);
    }

    fn end(&mut self) {
        log::info!("stopped with {} messages on hand", self.planes.queue.len());
        // Told before the others learn that this relay is gone: the next home need not wait then.
        self.delivery_inputs.push(DeliveryInput::HandOver);
        self.settle();
        self.node.leave();
        if let Some(stopping) = &mut self.stopping {
            stopping.is_done = true;
        }
    }
}
