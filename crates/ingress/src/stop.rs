//! How the door closes: connections are first asked to go, then no new ones are taken.

use std::rc::Rc;

use tokio::sync::watch;

/// How far the door is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Open,
    /// Requests are served, and each answer closes its connection.
    Leaving,
    /// No connection is taken, idle ones are closed, requests under way are finished.
    Closed,
}

/// Closes the door.
#[derive(Clone)]
pub struct Stopper {
    phase: Rc<watch::Sender<Phase>>,
}

impl Default for Stopper {
    fn default() -> Self {
        Stopper { phase: Rc::new(watch::Sender::new(Phase::Open)) }
    }
}

impl Stopper {
    pub fn set(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the door is closed.
    pub async fn closed(&self) {
        let mut phase = self.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Closed).await;
    }
}
