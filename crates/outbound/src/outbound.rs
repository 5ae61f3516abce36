//! The calls to hosts that are under way.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pewterseam_delivery::{AttemptEnd, AttemptId, Effect, HostKey, Input, Target};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::attempt::{self, Plan};
use crate::dialer::{Dialer, TcpDialer};
use crate::pool::Pool;
use crate::request::DeliveryRequest;

/// What the calls need to know.
#[derive(Clone, Copy, Debug)]
pub struct OutboundSettings {
    /// How long a host is given beyond the time in which it stops work itself, for its answer to come.
    pub answer_grace: Duration,
    /// How long a connection may idle whose host does not tell.
    pub idle_close: Duration,
}

impl Default for OutboundSettings {
    fn default() -> Self {
        OutboundSettings { answer_grace: Duration::from_millis(250), idle_close: Duration::from_secs(4) }
    }
}

/// The times of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// The host has so long for its answer.
    pub timeout: Duration,
    pub connect_timeout: Duration,
    /// Nothing is written later than this after the start: the right to send is over then.
    pub write_within: Duration,
}

/// What the log is to tell of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallNotes {
    /// Answers to other messages that came on its connection.
    pub passed_over: u32,
    /// From the word to write until the request had gone whole.
    pub write_delay: Duration,
}

/// What became of a call.
#[derive(Clone, Debug)]
pub enum OutboundEvent {
    Opened { attempt: AttemptId },
    Ended { attempt: AttemptId, end: AttemptEnd, notes: CallNotes },
    Probed { host: HostKey, healthy: bool },
}

impl From<OutboundEvent> for Input {
    fn from(event: OutboundEvent) -> Input {
        match event {
            OutboundEvent::Opened { attempt } => Input::Opened { attempt },
            OutboundEvent::Ended { attempt, end, .. } => Input::Ended { attempt, end },
            OutboundEvent::Probed { host, healthy } => Input::Probed { host, healthy },
        }
    }
}

/// Whether an attempt is written on the connection that was opened for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    Write { told_at: Instant },
    Withhold,
}

#[derive(Debug)]
struct Running {
    word: Option<oneshot::Sender<Word>>,
    abort: Option<oneshot::Sender<()>>,
}

/// What all calls share.
#[derive(Debug)]
pub(crate) struct Shared {
    pool: Mutex<Pool>,
    pub(crate) dialer: Box<dyn Dialer>,
    pub(crate) settings: OutboundSettings,
    pub(crate) events: UnboundedSender<OutboundEvent>,
}

impl Shared {
    pub(crate) fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Nobody hears it where the receiver is gone: the process ends.
    pub(crate) fn tell(&self, event: OutboundEvent) {
        drop(self.events.send(event));
    }
}

/// The calls to hosts.
#[derive(Debug)]
pub struct Outbound {
    shared: Arc<Shared>,
    running: HashMap<AttemptId, Running>,
}

impl Outbound {
    /// Calls tell of themselves over `events`; hand each to [`Outbound::heard`] and then to the machine.
    pub fn new(settings: OutboundSettings, events: UnboundedSender<OutboundEvent>) -> Self {
        Self::with_dialer(settings, events, Box::new(TcpDialer))
    }

    /// The same over streams that this dialer opens.
    pub fn with_dialer(
        settings: OutboundSettings, events: UnboundedSender<OutboundEvent>, dialer: Box<dyn Dialer>,
    ) -> Self {
        let shared = Shared { pool: Mutex::new(Pool::default()), dialer, settings, events };
        Outbound { shared: Arc::new(shared), running: HashMap::new() }
    }

    /// Books an event of a call; to be called before the machine takes it.
    pub fn heard(&mut self, event: &OutboundEvent) {
        if let OutboundEvent::Ended { attempt, .. } = event {
            self.running.remove(attempt);
        }
    }

    /// Makes an attempt: `Effect::Start` with the message it names.
    pub fn start(
        &mut self, attempt: AttemptId, target: Target, message: Arc<DeliveryRequest>, times: CallTimes,
        confirm: bool,
    ) {
        let ((word, heard_word), (abort, aborted)) = (oneshot::channel(), oneshot::channel());
        self.running.insert(attempt, Running { word: Some(word), abort: Some(abort) });
        let write_by = Instant::now() + times.write_within;
        let (timeout, connect_timeout) = (times.timeout, times.connect_timeout);
        let plan = Plan { attempt, target, message, timeout, connect_timeout, write_by, confirm };
        let shared = self.shared.clone();
        tokio::spawn(attempt::run(shared, plan, heard_word, aborted));
    }

    /// Carries out all effects but `Start`, `Finished`, `Dropped`, `ReportHome`, `Tell` and `Wake`, which are the caller's.
    pub fn carry_out(&mut self, effect: &Effect) {
        match effect {
            Effect::Write { attempt } => self.say(*attempt, Word::Write { told_at: Instant::now() }),
            Effect::Withhold { attempt } => {
                self.say(*attempt, Word::Withhold);
                self.running.remove(attempt);
            }
            Effect::Abort { attempt } => {
                let abort = self.running.get_mut(attempt).and_then(|running| running.abort.take());
                if let Some(abort) = abort {
                    // One that has just ended needs no abort.
                    let _ = abort.send(());
                }
            }
            Effect::Probe { host, target, path, timeout } => {
                let timeout = Duration::from_micros(*timeout);
                self.probe(*host, target.clone(), path.clone(), timeout);
            }
            Effect::CloseIdle { address } => self.shared.pool().close(*address),
            Effect::Start { .. }
            | Effect::Finished { .. }
            | Effect::Dropped { .. }
            | Effect::ReportHome { .. }
            | Effect::SendToRelay { .. }
            | Effect::Wake(_) => {}
        }
    }

    fn say(&mut self, attempt: AttemptId, word: Word) {
        let running = self.running.get_mut(&attempt).and_then(|running| running.word.take());
        if let Some(to) = running {
            // An attempt that has ended meanwhile hears nothing.
            let _ = to.send(word);
        }
    }

    fn probe(&self, host: HostKey, target: Target, path: Arc<str>, timeout: Duration) -> AbortHandle {
        let shared = self.shared.clone();
        let probing = async move {
            let healthy = attempt::probe(&shared, &target, &path, timeout).await;
            shared.tell(OutboundEvent::Probed { host, healthy });
        };
        tokio::spawn(probing).abort_handle()
    }

    /// Closes idle connections whose time is over; of use now and then in quiet times.
    pub fn sweep(&self) {
        self.shared.pool().sweep(Instant::now());
    }

    /// Connections that idle.
    pub fn idle(&self) -> usize {
        self.shared.pool().len()
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.shared.pool().close(address);
    }
}
