//! One relay through a day: what it is wanted to be, and the process that is.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::folder::Folder;
use super::health::is_ready;
use super::process::Process;
use crate::real::book::Book;
use crate::real::error::Unplayable;
use crate::story::{Happened, RelayNumber};

/// From a stop's first signal to SIGKILL (the protocol's figures).
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// Between two questions whether it is ready, and for an answer.
const ASKED_EVERY: Duration = Duration::from_millis(50);
const ANSWERED_WITHIN: Duration = Duration::from_millis(500);

/// What the next process finds in the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Keeps {
    All,
    TheStart,
    Nothing,
}

/// What the faults that are active make of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    pub up: bool,
    /// Processes that were to end so far: one that began before the last of them ends, however short that
    /// was.
    pub ends: u64,
    /// The end is asked for, not forced.
    pub gently: bool,
    pub keeps: Keeps,
    pub stalled: bool,
    pub disk_full: bool,
}

/// What a process of the relay is told at its start.
pub type Config = Rc<dyn Fn(u64) -> Value>;

pub struct Relay {
    pub number: RelayNumber,
    pub program: PathBuf,
    pub folder: Folder,
    pub log: PathBuf,
    pub listen: SocketAddr,
    pub book: Rc<Book>,
    pub config: Config,
    /// Processes so far.
    pub starts: Cell<u64>,
    pub ready: watch::Sender<bool>,
    /// Ends that nobody wanted, and how.
    pub crashes: Rc<RefCell<Vec<(RelayNumber, String)>>>,
}

impl Relay {
    /// Sees to it that it is as wanted, until nobody wants anything any more.
    pub async fn run(self: Rc<Self>, mut wanted: watch::Receiver<Wanted>) -> Result<(), Unplayable> {
        let mut process: Option<(Process, u64)> = None;
        let mut gave_up = false;
        loop {
            let now = *wanted.borrow_and_update();
            match &mut process {
                Some((_, ends)) if *ends < now.ends => {
                    self.end(process.take(), &mut wanted).await;
                    continue;
                }
                Some((running, _)) => {
                    running.stall(now.stalled);
                    running.fill_disk(now.disk_full).map_err(|error| self.not_started(error))?;
                }
                None if now.up && !gave_up => {
                    process = Some((self.start(now.keeps)?, now.ends));
                    continue;
                }
                None => {}
            }
            let ended = async {
                match &mut process {
                    Some((running, _)) => running.ended().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = wanted.changed() => if changed.is_err() { return Ok(()) },
                status = ended => {
                    process = None;
                    gave_up = true;
                    self.is_dead();
                    let how = status.map_or_else(|error| error.to_string(), |status| status.to_string());
                    self.crashes.borrow_mut().push((self.number, how));
                }
            }
        }
    }

    fn not_started(&self, error: std::io::Error) -> Unplayable {
        Unplayable::NotStarted { relay: self.number, path: self.program.clone(), error }
    }

    fn start(self: &Rc<Self>, keeps: Keeps) -> Result<Process, Unplayable> {
        if self.starts.get() > 0 {
            self.folder.prepare(keeps)?;
        }
        let start = self.starts.replace(self.starts.get() + 1);
        self.folder.configure(&(self.config)(start))?;
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| Unplayable::Folder { path: self.log.clone(), error })?;
        let process = Process::start(&self.program, &self.folder, self.number, self.book.clone(), log)
            .map_err(|error| self.not_started(error))?;
        spawn_local(self.clone().watch(start + 1));
        Ok(process)
    }

    /// Tells when the process of that number is ready.
    async fn watch(self: Rc<Self>, start: u64) {
        while self.starts.get() == start {
            let asked = async { is_ready(TcpStream::connect(self.listen).await?).await };
            if let Ok(Ok(true)) = timeout(ANSWERED_WITHIN, asked).await {
                self.ready.send_replace(true);
                self.book.tell(Happened::Ready { relay: self.number });
                return;
            }
            sleep(ASKED_EVERY).await;
        }
    }

    fn is_dead(&self) {
        self.ready.send_replace(false);
        self.book.tell(Happened::Dead { relay: self.number });
    }

    /// Ends a process: by a word first where there is time, and by force then or when that is wanted
    /// meanwhile.
    async fn end(&self, process: Option<(Process, u64)>, wanted: &mut watch::Receiver<Wanted>) {
        let Some((mut process, _)) = process else { return };
        if wanted.borrow().gently {
            self.book.tell(Happened::Stopping { relay: self.number });
            process.signal(Signal::TERM);
            let forced = async {
                tokio::select! {
                    () = sleep(KILLED_AFTER) => {}
                    _ = wanted.wait_for(|wanted| !wanted.up && !wanted.gently) => {}
                }
            };
            tokio::select! {
                _ = process.ended() => {}
                () = forced => process.signal(Signal::KILL),
            }
        } else {
            process.signal(Signal::KILL);
        }
        let _ = process.ended().await;
        self.is_dead();
    }
}
