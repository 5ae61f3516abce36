//! Which relay a connection comes from. All processes of a run share the loopback interface, so that an address does not
//! tell; the kernel's table of sockets and the open files of the processes do.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Columns of the kernel's table of TCP sockets.
const LOCAL_ADDRESS: usize = 1;
const REMOTE_ADDRESS: usize = 2;
const INODE: usize = 9;

/// The processes of the relays that run.
#[derive(Default)]
pub struct Senders {
    processes: Mutex<BTreeMap<usize, u32>>,
}

impl Senders {
    /// A relay runs as this process from now on.
    pub fn started(&self, relay: usize, process: u32) {
        self.processes.lock().expect("whole").insert(relay, process);
    }

    /// The relay that opened a connection, by both of its ends; none where its process is gone.
    pub fn of(&self, from: SocketAddr, to: SocketAddr) -> Option<usize> {
        let link = format!("socket:[{}]", inode(from, to)?);
        let processes = self.processes.lock().expect("whole").clone();
        processes.into_iter().find(|(_, process)| holds(*process, &link)).map(|(relay, _)| relay)
    }
}

/// The inode of the socket at the end `from`.
fn inode(from: SocketAddr, to: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let suffix = |address: SocketAddr| format!(":{:04X}", address.port());
    let (from, to) = (suffix(from), suffix(to));
    let is_meant = |columns: &Vec<&str>| {
        columns[LOCAL_ADDRESS].ends_with(&from) && columns[REMOTE_ADDRESS].ends_with(&to)
    };
    let mut sockets = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    sockets
        .find(|columns| columns.len() > INODE && is_meant(columns))
        .map(|columns| columns[INODE].to_owned())
}

fn holds(process: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    files.flatten().any(|file| fs::read_link(file.path()).is_ok_and(|target| target.as_os_str() == link))
}
