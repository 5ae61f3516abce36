//! The relays and stores as processes: started, started again when they end, and ended.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use pewterseam_config::settings::PATH_VARIABLE;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::layout::{Layout, Node};
use super::written;
use crate::error::ConsoleError;

/// The pause before a process that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// A process that has not ended so long after SIGTERM is killed.
const GRACE: Duration = Duration::from_secs(8);

/// The processes, each with a task that looks after it.
pub struct Children {
    relays: Group,
    stores: Group,
}

struct Group {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Children {
    pub fn start(program: &Path, layout: &Layout) -> Result<Self, ConsoleError> {
        let relays: Vec<Node> = layout.relays().cloned().collect();
        let stores: Vec<Node> = layout.nodes.iter().filter(|node| !node.is_relay()).cloned().collect();
        Ok(Children { relays: Group::start(program, relays)?, stores: Group::start(program, stores)? })
    }

    /// Ends all: relays first, as they still write to the stores.
    pub async fn end(self) {
        self.relays.end().await;
        self.stores.end().await;
    }
}

impl Group {
    fn start(program: &Path, nodes: Vec<Node>) -> Result<Self, ConsoleError> {
        let (stop, stopped) = watch::channel(false);
        let mut tasks = Vec::new();
        for node in nodes {
            let child = spawn(program, &node)?;
            tasks.push(tokio::spawn(look_after(child, program.to_owned(), node, stopped.clone())));
        }
        Ok(Group { stop, tasks })
    }

    async fn end(self) {
        self.stop.send_replace(true);
        for task in self.tasks {
            // Danger: none. A task that ended takes its process along.
            let _ = task.await;
        }
    }
}

fn spawn(program: &Path, node: &Node) -> Result<Child, ConsoleError> {
    let path = node.log();
    let log = OpenOptions::new().create(true).append(true).open(&path);
    let log = log.map_err(|error| written(&path, error))?;
    let mut command = Command::new(program);
    command.arg(node.role).env(PATH_VARIABLE, node.settings()).kill_on_drop(true);
    // A process group of its own: Ctrl-C in a terminal reaches this process alone, which ends the others in order.
    command.process_group(0).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    let child = command.spawn().map_err(|error| ConsoleError::Start { name: node.name.clone(), error })?;
    println!("{} is process {}{}", node.name, child.id().unwrap_or(0), doors(node));
    Ok(child)
}

fn doors(node: &Node) -> String {
    if !node.is_relay() {
        return format!(": data in {}", node.data().display());
    }
    format!(": clients at {}, operator at {}, log {}", node.front(), node.control(), node.log().display())
}

/// Returns once this group is to end.
async fn told(stop: &mut watch::Receiver<bool>) {
    // Danger: none. A sender that is gone means the same.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn look_after(mut child: Child, program: PathBuf, node: Node, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = told(&mut stop) => return end(child, &node).await,
            status = child.wait() => match status {
                Ok(status) => println!("{} ended ({status}) and is started again", node.name),
                Err(error) => println!("{} is lost: {error}", node.name),
            },
        }
        child = loop {
            tokio::select! {
                () = told(&mut stop) => return,
                () = sleep(RESTART_PAUSE) => {}
            }
            match spawn(&program, &node) {
                Ok(child) => break child,
                Err(error) => println!("{error}"),
            }
        };
    }
}

async fn end(mut child: Child, node: &Node) {
    let id = child.id().and_then(|id| Pid::from_raw(id as i32));
    if let Some(id) = id {
        // Danger: none. A process that is gone needs no signal.
        let _ = kill_process(id, Signal::TERM);
    }
    if timeout(GRACE, child.wait()).await.is_err() {
        println!("{} is killed", node.name);
        let _ = child.kill().await;
    }
}
