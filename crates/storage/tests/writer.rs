//! The log writer thread.

mod common;

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};

use common::{SMALL, batch, bytes, open, texts};
use pewterseam_storage::{Files, Log, LogOptions, LogWriter, SimulatedFiles, WriterEvent};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Files that report the start of each file sync and block it until the test lets it continue.
struct GatedFiles {
    files: SimulatedFiles,
    sync_started: Sender<()>,
    allow_sync: Receiver<()>,
}

impl Files for GatedFiles {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.files.list()
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.files.create(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files.append(name, bytes)
    }
    fn read(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        self.files.read(name, offset, buffer)
    }
    fn length(&mut self, name: &str) -> io::Result<u64> {
        self.files.length(name)
    }
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.files.set_length(name, length)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name)
    }
    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        // The receiver is gone once the test has ended.
        let _ = self.sync_started.send(());
        let _ = self.allow_sync.recv();
        self.files.sync_file(name)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.files.sync_folder()
    }
}

fn next_event(events: &mut UnboundedReceiver<WriterEvent>) -> Result<WriterEvent, io::Error> {
    events.blocking_recv().ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Guards against one sync per append: all appends that arrive during a sync must share the next one.
#[test]
fn waiting_appends_share_one_sync() -> Result<(), Box<dyn std::error::Error>> {
    let files = SimulatedFiles::new();
    let (sync_started, started) = channel();
    let (allow_sync, sync_allowed) = channel();
    let gated = GatedFiles { files: files.clone(), sync_started, allow_sync: sync_allowed };
    let log = Log::open(gated, LogOptions::default(), &mut |_| {})?;
    let (send, mut events) = unbounded_channel();
    let writer = LogWriter::start(log, send)?;
    writer.append(1, batch(&["first"]))?;
    started.recv()?;
    // The header of the first segment is being synced.
    for ticket in 2..=9 {
        writer.append(ticket, batch(&["a", "b"]))?;
    }
    allow_sync.send(())?;
    started.recv()?;
    allow_sync.send(())?;
    match next_event(&mut events)? {
        WriterEvent::Synced { through: 1, positions } => assert_eq!(positions.len(), 1),
        other => panic!("{other:?}"),
    }
    started.recv()?;
    allow_sync.send(())?;
    match next_event(&mut events)? {
        WriterEvent::Synced { through: 9, positions } => assert_eq!(positions.len(), 16),
        other => panic!("{other:?}"),
    }
    drop(allow_sync);
    drop(writer);
    assert_eq!(texts(&files, SMALL)?.len(), 17);
    Ok(())
}

/// Guards against a failed append that is reported as synced, and against a writer that stops after a failure.
#[test]
fn append_failures_are_reported() -> Result<(), Box<dyn std::error::Error>> {
    let files = SimulatedFiles::new();
    let (log, _) = open(&files, LogOptions::default())?;
    let (send, mut events) = unbounded_channel();
    let writer = LogWriter::start(log, send)?;
    writer.append(1, batch(&["one"]))?;
    assert!(matches!(next_event(&mut events)?, WriterEvent::Synced { through: 1, .. }));
    files.set_capacity(Some(files.bytes()));
    writer.append(2, batch(&["two"]))?;
    match next_event(&mut events)? {
        WriterEvent::Failed { through: 2, error } => assert!(error.is_full()),
        other => panic!("{other:?}"),
    }
    files.set_capacity(None);
    writer.append(3, batch(&["three"]))?;
    let positions = match next_event(&mut events)? {
        WriterEvent::Synced { through: 3, positions } => positions,
        other => panic!("{other:?}"),
    };
    writer.read(7, positions[0])?;
    match next_event(&mut events)? {
        WriterEvent::Read { token: 7, result } => assert_eq!(result?, bytes("three")),
        other => panic!("{other:?}"),
    }
    writer.snapshot(2, batch(&["state"]))?;
    assert!(matches!(next_event(&mut events)?, WriterEvent::Maintained(Ok(()))));
    drop(writer);
    assert_eq!(texts(&files, SMALL)?, ["state"]);
    Ok(())
}

/// Guards against a writer whose events do not reach a current-thread runtime, which the processes use.
#[test]
fn events_reach_a_current_thread_runtime() -> Result<(), Box<dyn std::error::Error>> {
    let files = SimulatedFiles::new();
    let (log, _) = open(&files, LogOptions::default())?;
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    let (send, mut events) = unbounded_channel();
    let writer = LogWriter::start(log, send)?;
    let event = runtime.block_on(async { writer.append(1, batch(&["one"])).map(|()| events.recv()) })?;
    assert!(matches!(runtime.block_on(event), Some(WriterEvent::Synced { through: 1, .. })));
    Ok(())
}
