//! What can go wrong at the edge to the network.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use pewterseam_wire::frame::FrameError;

/// Why the transport could not do something.
#[derive(Debug)]
pub enum TransportError {
    /// The address for other processes could not be taken.
    Bind { address: SocketAddr, error: io::Error },
    /// A message could not be put into a frame.
    Frame(FrameError),
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TransportError::Bind { address, error } => {
                write!(f, "cannot listen at {address}: {error}; check that no other process uses the port")
            }
            TransportError::Frame(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for TransportError {}
