//! Connections to hosts, without their sockets: which are idle, which may be kept, and which are to close.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use pewterseam::interface::{HostId, Micros};

/// One connection, unique for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

#[derive(Debug)]
struct Idle {
    connection: ConnectionId,
    address: SocketAddr,
    since: Micros,
}

/// The idle connections to all hosts.
#[derive(Debug)]
pub struct Pool {
    /// Of each host, the one idle for longest first.
    idle: BTreeMap<HostId, VecDeque<Idle>>,
    last: u64,
    /// Hosts close what has been idle for this long.
    idle_close: Micros,
    most: usize,
    /// Left the pool, and are to be closed.
    closing: Vec<ConnectionId>,
}

impl Pool {
    /// Keeps `most` idle connections, each for less than `idle_close`.
    pub fn new(idle_close: Micros, most: usize) -> Self {
        Pool { idle: BTreeMap::new(), last: 0, idle_close, most: most.max(1), closing: Vec::new() }
    }

    /// The number of a connection that is to be opened.
    pub fn open(&mut self) -> ConnectionId {
        self.last += 1;
        ConnectionId(self.last)
    }

    /// The connection to a host that was used last, if one can still be used, and how long it has been idle.
    pub fn take(&mut self, host: HostId, address: SocketAddr, now: Micros) -> Option<(ConnectionId, Micros)> {
        let of_host = self.idle.get_mut(&host)?;
        while let Some(kept) = of_host.pop_back() {
            let idle_for = now.saturating_sub(kept.since);
            if kept.address == address && idle_for < self.idle_close {
                return Some((kept.connection, idle_for));
            }
            self.closing.push(kept.connection);
        }
        self.idle.remove(&host);
        None
    }

    /// Keeps a connection that has nothing to carry. Danger: descriptors run out; the longest idle makes room.
    pub fn put(&mut self, connection: ConnectionId, host: HostId, address: SocketAddr, now: Micros) {
        self.expire(now);
        if self.len() >= self.most {
            let oldest = self.idle.values_mut().min_by_key(|of_host| of_host.front().map(|kept| kept.since));
            self.closing.extend(oldest.and_then(VecDeque::pop_front).map(|kept| kept.connection));
        }
        self.idle.entry(host).or_default().push_back(Idle { connection, address, since: now });
        self.idle.retain(|_, of_host| !of_host.is_empty());
    }

    fn expire(&mut self, now: Micros) {
        let (closing, idle_close) = (&mut self.closing, self.idle_close);
        self.idle.retain(|_, of_host| {
            while let Some(old) = of_host.pop_front_if(|kept| now.saturating_sub(kept.since) >= idle_close) {
                closing.push(old.connection);
            }
            !of_host.is_empty()
        });
    }

    /// Books that an idle connection is no more; true where it was one.
    pub fn lost(&mut self, connection: ConnectionId) -> bool {
        let before = self.len();
        self.idle.retain(|_, of_host| {
            of_host.retain(|kept| kept.connection != connection);
            !of_host.is_empty()
        });
        self.len() < before
    }

    /// Gives up the idle connections to a host.
    pub fn close(&mut self, host: HostId) {
        let of_host = self.idle.remove(&host);
        self.closing.extend(of_host.into_iter().flatten().map(|kept| kept.connection));
    }

    /// Connections that left the pool since the last call, to be closed.
    pub fn closing(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closing)
    }

    /// Idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOST: HostId = HostId(1);

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    #[test]
    fn the_one_used_last_is_used_again_and_old_or_moved_ones_close() {
        let mut pool = Pool::new(100, 10);
        let [a, b, c] = [0; 3].map(|_| pool.open());
        pool.put(a, HOST, address(1), 0);
        pool.put(b, HOST, address(1), 50);
        pool.put(c, HOST, address(2), 60);
        assert_eq!(pool.take(HOST, address(1), 90), Some((b, 40)));
        assert_eq!(pool.closing(), [c], "it leads to where the host was before");
        assert_eq!(pool.take(HOST, address(1), 100), None);
        assert_eq!((pool.closing(), pool.is_empty()), (vec![a], true));
    }

    #[test]
    fn no_more_are_kept_than_may_be_and_the_longest_idle_makes_room() {
        let mut pool = Pool::new(100, 2);
        let [a, b, c, d] = [0; 4].map(|_| pool.open());
        pool.put(a, HOST, address(1), 0);
        pool.put(b, HostId(2), address(2), 10);
        pool.put(c, HostId(3), address(3), 20);
        assert_eq!((pool.closing(), pool.len()), (vec![a], 2));
        pool.put(d, HOST, address(1), 115);
        assert_eq!((pool.closing(), pool.len()), (vec![b], 2), "it was too old");
        assert!(pool.lost(c) && !pool.lost(c));
        pool.close(HOST);
        assert_eq!((pool.closing(), pool.len()), (vec![d], 0));
    }
}
