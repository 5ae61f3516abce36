//! One process of a relay.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::rc::Rc;

use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};
use tokio::task::spawn_local;

use super::folder::Folder;
use crate::real::book::Book;
use crate::story::{Happened, RelayNumber};

/// A write beyond the limit on files fails, as on a full disk, instead of ending the process.
const SCRIPT: &str = r#"trap "" XFSZ; exec "$0" serve --config "$1" --state "$2" ${3:+--operator "$3"}"#;

/// Ended when dropped.
pub struct Process {
    child: Child,
    id: Pid,
    stalled: bool,
    disk_full: bool,
}

impl Process {
    /// Starts one; its log goes to a file and into the story.
    pub fn start(
        program: &Path, folder: &Folder, relay: RelayNumber, book: Rc<Book>, log: File,
    ) -> io::Result<Self> {
        let mut child = Command::new("/bin/sh")
            .args(["-c", SCRIPT])
            .arg(program)
            .args([&folder.config, &folder.state])
            .args(&folder.operator)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        if let Some(lines) = child.stderr.take() {
            spawn_local(keep(lines, relay, book, log));
        }
        let id = child.id().and_then(|id| Pid::from_raw(id as i32));
        let id = id.ok_or(io::ErrorKind::NotFound)?;
        Ok(Process { child, id, stalled: false, disk_full: false })
    }

    pub fn signal(&self, signal: Signal) {
        // Only while it is not waited for: its id can't be another's yet.
        if self.child.id().is_some() {
            let _ = kill_process(self.id, signal);
        }
    }

    pub fn stall(&mut self, on: bool) {
        if std::mem::replace(&mut self.stalled, on) != on {
            self.signal(if on { Signal::STOP } else { Signal::CONT });
        }
    }

    /// Whether the disk takes nothing: no file of the process may grow.
    pub fn fill_disk(&mut self, on: bool) -> io::Result<()> {
        if std::mem::replace(&mut self.disk_full, on) != on && self.child.id().is_some() {
            let maximum = getrlimit(Resource::Fsize).maximum;
            let current = if on { Some(0) } else { maximum };
            prlimit(Some(self.id), Resource::Fsize, Rlimit { current, maximum })?;
        }
        Ok(())
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}

async fn keep(lines: ChildStderr, relay: RelayNumber, book: Rc<Book>, mut log: File) {
    let mut lines = BufReader::new(lines).lines();
    while let Ok(Some(text)) = lines.next_line().await {
        // A log that can't be written is no reason to end a day.
        let _ = writeln!(log, "{text}");
        book.tell(Happened::Said { relay, text });
    }
}
