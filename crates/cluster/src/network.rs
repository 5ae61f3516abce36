//! Connections and links between machines.

use std::collections::BTreeMap;

use pewterseam_wire::Micros;
use pewterseam_wire::random::Random;

use crate::event::{ConnectionId, Life};
use crate::plan::MILLISECOND;

const LEAST_DELAY: Micros = 200;
const USUAL_DELAY: usize = 1_500;
/// Of a thousand messages so many are late.
const LATE_PER_MILLE: usize = 20;
const MOST_LATENESS: usize = 60_000;
const LOST_DATAGRAMS_PER_MILLE: usize = 10;
/// A process that dials a machine that does not answer gives up then.
pub const DIAL_TIMEOUT: Micros = 1_000 * MILLISECOND;

/// A connection between two processes.
pub struct Connection {
    pub dialer: Life,
    pub listener: Life,
    /// When the last message in each direction arrives: to the listener, to the dialer.
    last: [Micros; 2],
    /// An end of it is gone; nothing is sent any more.
    pub is_closing: bool,
}

/// The network between the machines.
pub struct Network {
    pub random: Random,
    connections: BTreeMap<ConnectionId, Connection>,
    last_connection: u64,
    /// Links that carry nothing from one machine to another until a time.
    cuts: BTreeMap<(usize, usize), Micros>,
    /// Datagrams are lost more often until then.
    pub lossy_until: Micros,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Network {
            random: Random::new(seed),
            connections: BTreeMap::new(),
            last_connection: 0,
            cuts: BTreeMap::new(),
            lossy_until: 0,
        }
    }

    /// How long something is on its way.
    pub fn delay(&mut self) -> Micros {
        let usual = LEAST_DELAY + self.random.below(USUAL_DELAY) as Micros;
        let is_late = self.random.below(1_000) < LATE_PER_MILLE;
        if is_late { usual + self.random.below(MOST_LATENESS) as Micros } else { usual }
    }

    pub fn is_datagram_lost(&mut self, now: Micros, from: usize, to: usize) -> bool {
        let per_mille = if now < self.lossy_until { 300 } else { LOST_DATAGRAMS_PER_MILLE };
        self.cut_until(now, from, to).is_some() || self.random.below(1_000) < per_mille
    }

    /// Nothing goes from one machine to another until then.
    pub fn cut(&mut self, from: usize, to: usize, until: Micros) {
        let cut = self.cuts.entry((from, to)).or_default();
        *cut = until.max(*cut);
    }

    pub fn cut_until(&self, now: Micros, from: usize, to: usize) -> Option<Micros> {
        self.cuts.get(&(from, to)).copied().filter(|until| *until > now)
    }

    pub fn find(&self, dialer: Life, listener: usize) -> Option<ConnectionId> {
        let fits = |connection: &Connection| {
            connection.dialer == dialer && connection.listener.machine == listener && !connection.is_closing
        };
        self.connections.iter().find(|(_, connection)| fits(connection)).map(|(id, _)| *id)
    }

    /// Opens a connection; messages to the listener arrive after `ready_at`.
    pub fn open(&mut self, dialer: Life, listener: Life, ready_at: Micros) -> ConnectionId {
        self.last_connection += 1;
        let id = ConnectionId(self.last_connection);
        let connection = Connection { dialer, listener, last: [ready_at, ready_at], is_closing: false };
        self.connections.insert(id, connection);
        id
    }

    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// When what is sent now arrives, in the order of the connection. A cut holds it up.
    pub fn arrival(&mut self, now: Micros, id: ConnectionId, to_dialer: bool) -> Option<Micros> {
        let delay = self.delay();
        let connection = self.connections.get(&id)?;
        let (dialer, listener) = (connection.dialer.machine, connection.listener.machine);
        let (from, to) = if to_dialer { (listener, dialer) } else { (dialer, listener) };
        let sent = self.cut_until(now, from, to).unwrap_or(now);
        let connection = self.connections.get_mut(&id)?;
        let last = &mut connection.last[usize::from(to_dialer)];
        *last = (sent + delay).max(*last);
        Some(*last)
    }

    /// Nothing is sent on this connection any more; what is on its way arrives.
    pub fn mark_closing(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_closing = true;
        }
    }

    /// Connections that are open, of those that fit.
    pub fn open_connections(&self, fits: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let open = self.connections.iter().filter(|(_, connection)| !connection.is_closing);
        open.filter(|(_, connection)| fits(connection)).map(|(id, _)| *id).collect()
    }
}
