//! Which connections to hosts a relay holds. All processes of a run share the loopback interface, so that an address does not
//! tell who sent a request; the kernel's table of sockets and the open files of a process do. Looking there takes milliseconds,
//! so it is done where a relay is about to be killed, and not for each connection.

use std::collections::{BTreeSet, HashSet};
use std::fs;
use std::net::SocketAddr;

/// Columns of the kernel's table of TCP sockets.
const LOCAL_ADDRESS: usize = 1;
const REMOTE_ADDRESS: usize = 2;
const INODE: usize = 9;

/// A connection to a host: the ports of the relay's end and of the host's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection {
    relay: u16,
    host: u16,
}

impl Connection {
    /// The connection that a host has accepted.
    pub fn accepted(from: SocketAddr, host: SocketAddr) -> Self {
        Connection { relay: from.port(), host: host.port() }
    }
}

/// The connections that a process has open.
pub fn connections_of(process: u32) -> BTreeSet<Connection> {
    let sockets = sockets_of(process);
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connection = |line: &str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_held = sockets.contains(*columns.get(INODE)?);
        let (relay, host) = (port(columns[LOCAL_ADDRESS])?, port(columns[REMOTE_ADDRESS])?);
        is_held.then_some(Connection { relay, host })
    };
    table.lines().filter_map(connection).collect()
}

/// The port of an address as the kernel writes it.
fn port(address: &str) -> Option<u16> {
    let (_, port) = address.rsplit_once(':')?;
    u16::from_str_radix(port, 16).ok()
}

/// The inodes of the sockets that a process has open.
fn sockets_of(process: u32) -> HashSet<String> {
    let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
    let targets = files.filter_map(|file| fs::read_link(file.path()).ok());
    let inode = |target: std::path::PathBuf| {
        let inode = target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    };
    targets.filter_map(inode).collect()
}
