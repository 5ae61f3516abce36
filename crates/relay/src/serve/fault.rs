//! Why a relay can't start, and what an operator can do about it.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use pewterseam_errors::Advice;
use thiserror::Error;

use crate::forming::Unformed;

/// Why a relay can't start.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("limits.sockets: {sockets} are too few for {slots} slots")]
    Sockets { sockets: u64, slots: usize },
    #[error("signals can't be taken: {0}")]
    Signals(io::Error),
    #[error("{address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("{}: {error}", path.display())]
    Folder { path: PathBuf, error: io::Error },
    #[error(transparent)]
    Unformed(#[from] Unformed),
}

impl Advice for Fault {
    fn code(&self) -> &'static str {
        match self {
            Fault::Sockets { .. } => "start-sockets",
            Fault::Signals(_) => "start-signals",
            Fault::Listen { .. } => "start-listen",
            Fault::Folder { .. } => "start-folder",
            Fault::Unformed(error) => error.code(),
        }
    }

    fn help(&self) -> String {
        match self {
            Fault::Sockets { .. } => "allow more descriptors, or give fewer slots in the settings".to_owned(),
            Fault::Signals(_) => "see that the process may open more descriptors".to_owned(),
            Fault::Listen { .. } => {
                "see that the address is this machine's and that no other program listens there".to_owned()
            }
            Fault::Unformed(error) => error.help(),
            Fault::Folder { .. } => "name a folder that this user may write, on a disk with room".to_owned(),
        }
    }
}

/// Of an address that can't be listened at.
pub(super) fn at(address: SocketAddr) -> impl FnOnce(io::Error) -> Fault {
    move |error| Fault::Listen { address, error }
}

/// Of a file or folder.
pub(super) fn within(path: &Path) -> impl FnOnce(io::Error) -> Fault {
    let path = path.to_owned();
    move |error| Fault::Folder { path, error }
}
