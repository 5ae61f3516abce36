//! A small system on this machine: three relays and three stores as processes of their own, with a stand-in for the
//! platform's list and for hosts in this process.

mod addresses;
mod children;
mod layout;
mod stand_in;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::client::{self, Call};
use crate::configuration;
use crate::error::ConsoleError;

use children::Children;
use layout::{Layout, Node};

/// The first configuration.
const CONFIGURATION: &str = include_str!("../../data/local.json");
/// The first port where none is given.
const DEFAULT_PORT: u16 = 7300;
/// The system is ready by then, or the start has failed.
const START_LIMIT: Duration = Duration::from_secs(60);
/// The request id of the message that is proposed for a try.
const FIRST_MESSAGE: &str = "first-1";
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// How the system is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that runs relays and stores.
    pub program: PathBuf,
    /// It ends by itself after so long; never where there is none.
    pub end_after: Option<Duration>,
    /// The first port; 0 for any that are free.
    pub port: Option<u16>,
    /// Where all files go, and stay. A temporary folder where there is none.
    pub folder: Option<PathBuf>,
}

/// Starts the system, and ends it when the time is over or a signal comes.
pub async fn run(options: Options) -> Result<(), ConsoleError> {
    // Danger: a signal that comes before this ends this process by the system's default, and leaves its children.
    let mut signals = StopSignals::new()?;
    let temporary = match &options.folder {
        Some(_) => None,
        None => Some(tempfile::tempdir().map_err(|error| written(&std::env::temp_dir(), error))?),
    };
    let folder = options.folder.clone().or_else(|| temporary.as_ref().map(|folder| folder.path().to_owned()));
    let folder = folder.unwrap_or_default();
    let port = addresses::first_port(options.port.unwrap_or(DEFAULT_PORT))?;
    let layout = Layout::new(&folder, port);
    layout.write()?;
    stand_in::start(&layout).await?;
    let children = Children::start(&options.program, &layout)?;
    let worked = async {
        become_ready(&layout).await?;
        tell_ready(&layout);
        time_is_over(options.end_after).await;
        Ok(())
    };
    let result = tokio::select! {
        result = worked => result,
        () = signals.next() => Ok(()),
    };
    println!("ending");
    children.end().await;
    result
}

fn written(path: &Path, error: std::io::Error) -> ConsoleError {
    ConsoleError::Write { path: path.to_owned(), error }
}

async fn become_ready(layout: &Layout) -> Result<(), ConsoleError> {
    let give_up = Instant::now() + START_LIMIT;
    let version = configure(layout, give_up).await?;
    println!("configuration {version} is in place");
    for relay in layout.relays() {
        while !is_ready(relay.readiness()).await {
            if Instant::now() >= give_up {
                return Err(ConsoleError::NotReady { folder: layout.folder.clone() });
            }
            sleep(LOOK_PERIOD).await;
        }
    }
    Ok(())
}

/// Puts the first configuration, unless the folder has one from before. Returns the version in place.
async fn configure(layout: &Layout, give_up: Instant) -> Result<u64, ConsoleError> {
    let text = Bytes::from_static(CONFIGURATION.as_bytes());
    loop {
        let Some(relay) = layout.relays().next() else { return Ok(0) };
        match configuration::put_text(relay.control(), text.clone(), 0).await {
            Ok(()) => return Ok(1),
            Err(ConsoleError::Conflict { current }) => return Ok(current),
            Err(ConsoleError::Unclear { .. } | ConsoleError::NoAnswer { .. }) if Instant::now() < give_up => {
            }
            Err(ConsoleError::Unclear { .. } | ConsoleError::NoAnswer { .. }) => {
                return Err(ConsoleError::NotReady { folder: layout.folder.clone() });
            }
            Err(error) => return Err(error),
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    client::call(address, Call::get("/-/ready")).await.is_some_and(|reply| reply.status == 200)
}

fn tell_ready(layout: &Layout) {
    let relays: Vec<&Node> = layout.relays().collect();
    let (Some(first), Some(last)) = (relays.first(), relays.last()) else { return };
    println!("ready; hand a message in, then ask any relay what became of it:");
    println!(
        "  id=$(curl -si http://{}/hello/1 -H 'Host: local.example' -H 'X-Request-Id: {FIRST_MESSAGE}' -d 'hello' \
         | tr -d '\\r' | sed -n 's/^x-queue-message-id: //p')",
        first.front()
    );
    println!("  curl http://{}/-/message/$id -H 'Host: local.example'", last.front());
    println!("  pewterseam status {}", first.control());
}

async fn time_is_over(end_after: Option<Duration>) {
    match end_after {
        Some(span) => sleep(span).await,
        None => std::future::pending().await,
    }
}

/// The signals that end the system: SIGINT and SIGTERM.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, ConsoleError> {
        let take = |kind| signal(kind).map_err(ConsoleError::Signals);
        Ok(StopSignals {
            interrupt: take(SignalKind::interrupt())?,
            terminate: take(SignalKind::terminate())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
