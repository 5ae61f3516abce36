//! Why a process of the system could not start or go on.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a process could not start or go on, and what to do.
#[derive(Debug)]
pub enum SystemError {
    Bind { address: SocketAddr, error: io::Error },
}

impl fmt::Display for SystemError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SystemError::Bind { address, error } => {
                write!(f, "cannot listen at {address}: {error}; check that no other process uses the port")
            }
        }
    }
}

impl std::error::Error for SystemError {}
