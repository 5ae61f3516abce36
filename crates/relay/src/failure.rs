//! Why a command came to nothing, and what whoever gave it can do.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use pewterseam_console::error::ConsoleError;
use pewterseam_errors::Advice;
use pewterseam_relay::serve::Fault;
use pewterseam_relay::unusable::Unusable;
use pewterseam_system::error::SystemError;
use thiserror::Error;

use crate::command::ArgumentsError;

#[derive(Debug, Error)]
pub enum Failure {
    #[error("{0}")]
    Arguments(ArgumentsError),
    #[error("no configuration is named")]
    NoConfiguration,
    #[error("no folder for the journal is named")]
    NoFolder,
    #[error(transparent)]
    Unusable(#[from] Unusable),
    #[error(transparent)]
    NotStarted(#[from] Fault),
    #[error("no event loop: {0}")]
    Runtime(io::Error),
    #[error("{0} does not answer")]
    Silent(SocketAddr),
    #[error("{address} answers {status}")]
    Answered { address: SocketAddr, status: u16 },
    #[error("{}: {error}", folder.display())]
    Journal { folder: PathBuf, error: io::Error },
    #[error("nothing can be printed: {0}")]
    Output(io::Error),
    #[error(transparent)]
    System(#[from] SystemError),
    #[error("{0}")]
    Console(#[from] ConsoleError),
}

impl Failure {
    /// Faults that take a line each, after the failure's own.
    pub fn details(&self) -> Vec<String> {
        match self {
            Failure::Console(error) => error.details(),
            _ => Vec::new(),
        }
    }
}

impl Advice for Failure {
    fn code(&self) -> &'static str {
        match self {
            Failure::Arguments(_) => "command-arguments",
            Failure::NoConfiguration => "command-config",
            Failure::NoFolder => "command-state",
            Failure::Unusable(error) => error.code(),
            Failure::NotStarted(error) => error.code(),
            Failure::Runtime(_) => "command-runtime",
            Failure::Silent(_) => "command-silent",
            Failure::Answered { .. } => "command-answered",
            Failure::Journal { .. } => "command-journal",
            Failure::Output(_) => "command-output",
            Failure::System(_) => "system-process",
            Failure::Console(error) => error.code(),
        }
    }

    fn help(&self) -> String {
        let text = match self {
            Failure::Arguments(_) => "pewterseam help tells the commands, and COMMAND --help one's options",
            Failure::NoConfiguration => "give --config or set NODE_CONFIG",
            Failure::NoFolder => "give --state or set NODE_STATE",
            Failure::Unusable(error) => return error.help(),
            Failure::NotStarted(error) => return error.help(),
            Failure::Runtime(_) => "see that the process may open more descriptors",
            Failure::Silent(_) => "see that a relay listens for clients there",
            Failure::Answered { .. } => "see that it is a relay that listens there",
            Failure::Journal { .. } => "name a relay's state folder that this user may read",
            Failure::Output(_) => "see where the output goes to",
            Failure::Console(error) => error.help(),
            Failure::System(_) => "see docs/system.md for what a process of the system needs",
        };
        text.to_owned()
    }
}
