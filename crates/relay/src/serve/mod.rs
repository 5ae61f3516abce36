//! Runs a relay: gathers inputs for the reducer, keeps its records, carries out its effects.

mod effects;
mod fault;
mod relay;
mod turn;

use std::path::Path;
use std::time::Duration;

use pewterseam::interface::Micros;
use pewterseam::timeouts;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, sleep_until};

use pewterseam_node::io::Input;

use crate::config::Config;
use crate::forming::Forming;
use crate::inputs::Inputs;
use crate::limits::Budget;
use crate::ops::Operators;
use crate::sockets;

pub use fault::Fault;
use fault::at;
use relay::Relay;
use turn::{NEXT, take_turn};

/// Serves until asked to stop, with its journal in `folder`.
pub async fn run(config: Config, forming: Option<Forming>, folder: &Path, log: Logger) -> Result<(), Fault> {
    LocalSet::new().run_until(serve(config, forming, folder, log)).await
}

/// Whether the limits do for a relay at all.
pub fn check(config: &Config) -> Result<Budget, Fault> {
    let budget = Budget::split(&config.file.limits, config.deployment.settings.slots);
    let (sockets, slots) = (config.file.limits.sockets, config.deployment.settings.slots);
    budget.ok_or(Fault::Sockets { sockets, slots })
}

async fn serve(config: Config, forming: Option<Forming>, folder: &Path, log: Logger) -> Result<(), Fault> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Fault::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Fault::Signals)?;
    // Danger: without a handler it ends the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(Fault::Signals)?;
    let (inputs, mut incoming) = Inputs::new();
    // Bound before the turn is taken: clients wait in the listener's queue, and operators are answered.
    let listener = sockets::listen(config.listen).map_err(at(config.listen))?;
    let ops = match config.ops {
        Some(address) => Some(sockets::listen(address).map_err(at(address))?),
        None => None,
    };
    let patience = Duration::from_micros(timeouts::CLIENT_REQUEST);
    let operators = Operators::new(patience, Duration::from_micros(timeouts::RETRY_PAUSE), inputs.clone());
    if let Some(ops) = ops {
        spawn_local(operators.clone().accept(ops));
    }
    let asked = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    let Some(_turn) = take_turn(folder, &operators, &mut incoming, asked, &log).await? else {
        info!(log, "stopped before its turn");
        return Ok(());
    };
    let mut relay = Relay::start(config, forming, folder, log, inputs, listener, operators).await?;
    let mut stop_at: Option<Micros> = None;
    let (mut closed, mut handing_over) = (false, false);
    loop {
        let wake = relay.wake_at.map(|at| Instant::from_std(relay.clock.instant(at)));
        let timer = async {
            match wake {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let mut batch = Vec::new();
        let asked_to_stop = tokio::select! {
            biased;
            _ = terminate.recv() => true,
            _ = interrupt.recv() => true,
            _ = hangup.recv() => {
                batch.push(Input::Configured(relay.configure()));
                batch.extend(relay.fleet_keys());
                false
            }
            Some(input) = incoming.recv() => {
                batch.push(input);
                false
            }
            () = timer => false,
        };
        // Danger: after a standstill timers are due before what has come is read, and hosts whose answers wait
        // in the sockets are judged to be silent. The reactor looks at the sockets, then all tasks at what came.
        yield_now().await;
        yield_now().await;
        while let Ok(input) = incoming.try_recv() {
            batch.push(input);
        }
        let now = relay.clock.now();
        if asked_to_stop && stop_at.is_none() {
            // Danger: clients are refused at the door, or wait in the new one's queue, while the old one serves
            // for its full time. What it holds goes to the new one through the journal.
            handing_over = folder.join(NEXT).exists();
            let by = now + if handing_over { timeouts::HANDOVER } else { timeouts::STOP_TIMEOUT };
            stop_at = Some(by);
            batch.push(Input::Stop { by });
            if handing_over {
                info!(relay.log, "a new process waits: connections close, and what is on hand is left to it");
                relay.clients.hand_over();
            }
        }
        // Danger: those that may not know yet that this one stops are refused, and the others get all at once.
        let close_at = stop_at.map(|by| by - timeouts::STOP_TIMEOUT + timeouts::STOP_ACCEPT);
        if !closed && !handing_over && close_at.is_some_and(|at| now >= at) {
            closed = true;
            batch.push(Input::Close);
            relay.clients.stop();
        }
        relay.wake_at = relay.wake_at.filter(|at| *at > now);
        let step = relay.reducer.step(now, batch);
        relay.carry_out(step);
        if let Some(by) = stop_at {
            let done = if handing_over {
                relay.reducer.calls_out() == 0
            } else {
                closed && relay.reducer.held() == 0
            };
            let gone = relay.clients.unended() == 0;
            if (done || now >= by) && (gone || now >= by + timeouts::RETRY_PAUSE) {
                break;
            }
            // Danger: a request that is read in the last moment goes without an answer, and what is answered in the
            // last step without its being written. Nothing more is let in then, and the rest is answered.
            if now >= by {
                relay.clients.shut();
            }
            if now + timeouts::RETRY_PAUSE >= by {
                relay.clients.leave();
            }
            relay.wake(if now >= by {
                now + timeouts::RETRY_PAUSE / 20
            } else {
                by.min(now + timeouts::RETRY_PAUSE)
            });
        }
    }
    relay.say_goodbye(folder);
    Ok(())
}
