//! Backoff after refusals, and waits that a destination demands.

use super::*;

/// Backoff after a refusal as full without a wait (us), doubled with each further one up to a round.
const REFUSAL_BACKOFF: Micros = 250_000;

/// The backoff after so many refusals, times a random 0.5 to 1.5, so that senders don't retry in step.
pub(super) fn backoff(refusals: u32, now: Micros, seed: u64) -> Micros {
    let pause = (REFUSAL_BACKOFF << (refusals - 1).min(3)).min(ROUND);
    (pause as f64 * (0.5 + chance(now, seed))) as Micros
}

impl Brain {
    /// Applies a wait. Calls refused during one prolong it, so a `limited` route's wait goes to all peers.
    pub(super) fn apply_wait(&mut self, id: RouteId, wait: Micros, limited: bool) {
        let Some(route) = self.state.routes.get_mut(&id) else { return };
        let until = self.now + wait + CHECK_INTERVAL;
        if !limited || wait < REFUSAL_BACKOFF || self.settings.senders <= HOMES {
            return route.hold(until);
        }
        let news = until > route.wait_until + REFUSAL_BACKOFF;
        route.hold_paced(until);
        if news {
            self.send_memo(None, Purpose::Wait, Record::of_wait(id, wait));
        }
    }
}
