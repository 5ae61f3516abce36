//! Which of two processes serves from the folder.

use std::fs::{self, File, TryLockError};
use std::path::Path;
use std::pin::pin;
use std::time::Duration;

use pewterseam::timeouts;
use slog::{Logger, info};
use tokio::sync::mpsc;
use tokio::time::sleep;

use pewterseam_node::io::Input;

use super::fault::{Fault, within};
use crate::ops::{self, Operators};

/// The file whose lock says which process serves from the folder.
const TURN: &str = "turn.lock";
/// The file that says that another process waits for the turn.
pub(super) const NEXT: &str = "turn.next";

/// Waits until no other process serves from the folder; meanwhile `/status` says yes, so that the platform stops
/// the other one. Danger: a new version starts while the old one serves, and both would deliver what the journal
/// holds, twice and out of order. None where it is to `stop` before its turn.
pub(super) async fn take_turn(
    folder: &Path, operators: &Operators, incoming: &mut mpsc::UnboundedReceiver<Input>,
    stop: impl Future<Output = ()>, log: &Logger,
) -> Result<Option<File>, Fault> {
    let mut stop = pin!(stop);
    fs::create_dir_all(folder).map_err(within(folder))?;
    let path = folder.join(TURN);
    let turn = File::options().create(true).truncate(false).write(true).open(&path);
    let turn = turn.map_err(within(&path))?;
    let mut waits = false;
    let next = folder.join(NEXT);
    loop {
        match turn.try_lock() {
            Ok(()) => break,
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) => return Err(within(&path)(error)),
        }
        if !std::mem::replace(&mut waits, true) {
            fs::write(&next, b"").map_err(within(&next))?;
            info!(log, "another process serves from the folder; this one takes over when it ends");
        }
        tokio::select! {
            // Danger: asked to stop while it waits, it would wait on until it is killed, and its word would have the
            // other one leave all to nobody.
            () = &mut stop => {
                let _ = fs::remove_file(&next);
                return Ok(None);
            }
            Some(input) = incoming.recv() => {
                if let Input::Operation { id, operation } = input {
                    let (verdict, text) = ops::waiting(&operation);
                    operators.answer(id, verdict, text);
                }
            }
            () = sleep(Duration::from_micros(timeouts::RETRY_PAUSE) / 5) => {}
        }
    }
    // Danger: a waiter that died left its word, and a later stop would leave all to nobody before its time.
    let _ = fs::remove_file(&next);
    if waits {
        info!(log, "the other process has ended; this one takes over");
    }
    Ok(Some(turn))
}

#[cfg(test)]
mod tests;
