//! Idle connections to hosts.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::connection::Connection;

/// Connections put back between two looks for those that are over.
const SWEEP_AFTER: u32 = 64;

/// Idle connections by address, the one used last at the end.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: HashMap<SocketAddr, Vec<Connection>>,
    put: u32,
}

impl Pool {
    /// An idle connection that is open as far as is known and has not carried this message, or any message for a health
    /// check; the one used last, so that the others may run out.
    pub(crate) fn take(
        &mut self, address: SocketAddr, request_id: Option<&str>, now: Instant,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        let is_fit = |connection: &Connection| match request_id {
            Some(id) => !connection.has_carried(id),
            None => connection.has_carried_none(),
        };
        let (mut taken, mut place) = (None, idle.len());
        while taken.is_none() && place > 0 {
            place -= 1;
            if !is_open(&mut idle[place], now) {
                idle.remove(place);
            } else if is_fit(&idle[place]) {
                taken = Some(idle.remove(place));
            }
        }
        if idle.is_empty() {
            self.idle.remove(&address);
        }
        taken
    }

    pub(crate) fn put(&mut self, address: SocketAddr, connection: Connection) {
        self.put += 1;
        if self.put >= SWEEP_AFTER {
            self.sweep(Instant::now());
        }
        self.idle.entry(address).or_default().push(connection);
    }

    pub(crate) fn close(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes what has idled for long enough.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.put = 0;
        self.idle.retain(|_, idle| {
            idle.retain_mut(|connection| is_open(connection, now));
            !idle.is_empty()
        });
    }

    pub(crate) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

/// Whether an idle connection may be used, as far as is known.
fn is_open(connection: &mut Connection, now: Instant) -> bool {
    connection.is_kept(now) && connection.is_quiet()
}
