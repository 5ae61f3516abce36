//! The thread that writes a log.

mod common;

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};

use common::{SMALL, batch, bytes, open, texts};
use pewterseam_storage::{Files, Log, LogOptions, LogWriter, SimulatedFiles, WriterEvent};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Files of which each sync of a file says that it has begun and waits for a word to go on.
struct GatedFiles {
    files: SimulatedFiles,
    begun: Sender<()>,
    go_on: Receiver<()>,
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
        // Nobody listens any more once the test is over.
        let _ = self.begun.send(());
        let _ = self.go_on.recv();
        self.files.sync_file(name)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.files.sync_folder()
    }
}

fn next(events: &mut UnboundedReceiver<WriterEvent>) -> Result<WriterEvent, io::Error> {
    events.blocking_recv().ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Guards against a sync for each append: all that come while one sync runs must share the next.
#[test]
fn what_waits_is_synced_together() -> Result<(), Box<dyn std::error::Error>> {
    let files = SimulatedFiles::new();
    let (begun, has_begun) = channel();
    let (go_on, may_go_on) = channel();
    let gated = GatedFiles { files: files.clone(), begun, go_on: may_go_on };
    let log = Log::open(gated, LogOptions::default(), &mut |_| {})?;
    let (send, mut events) = unbounded_channel();
    let writer = LogWriter::start(log, send)?;
    writer.append(1, batch(&["first"]))?;
    has_begun.recv()?;
    // The header of the first segment is being synced.
    for ticket in 2..=9 {
        writer.append(ticket, batch(&["a", "b"]))?;
    }
    go_on.send(())?;
    has_begun.recv()?;
    go_on.send(())?;
    match next(&mut events)? {
        WriterEvent::Synced { through: 1, positions } => assert_eq!(positions.len(), 1),
        other => panic!("{other:?}"),
    }
    has_begun.recv()?;
    go_on.send(())?;
    match next(&mut events)? {
        WriterEvent::Synced { through: 9, positions } => assert_eq!(positions.len(), 16),
        other => panic!("{other:?}"),
    }
    drop(go_on);
    drop(writer);
    assert_eq!(texts(&files, SMALL)?.len(), 17);
    Ok(())
}

/// Guards against a failed append that is taken for a synced one, and a writer that does not go on after it.
#[test]
fn failures_are_told() -> Result<(), Box<dyn std::error::Error>> {
    let files = SimulatedFiles::new();
    let (log, _) = open(&files, LogOptions::default())?;
    let (send, mut events) = unbounded_channel();
    let writer = LogWriter::start(log, send)?;
    writer.append(1, batch(&["one"]))?;
    assert!(matches!(next(&mut events)?, WriterEvent::Synced { through: 1, .. }));
    files.set_capacity(Some(files.bytes()));
    writer.append(2, batch(&["two"]))?;
    match next(&mut events)? {
        WriterEvent::Failed { through: 2, error } => assert!(error.is_full()),
        other => panic!("{other:?}"),
    }
    files.set_capacity(None);
    writer.append(3, batch(&["three"]))?;
    let positions = match next(&mut events)? {
        WriterEvent::Synced { through: 3, positions } => positions,
        other => panic!("{other:?}"),
    };
    writer.read(7, positions[0])?;
    match next(&mut events)? {
        WriterEvent::Read { token: 7, result } => assert_eq!(result?, bytes("three")),
        other => panic!("{other:?}"),
    }
    writer.snapshot(2, batch(&["state"]))?;
    assert!(matches!(next(&mut events)?, WriterEvent::Maintained(Ok(()))));
    drop(writer);
    assert_eq!(texts(&files, SMALL)?, ["state"]);
    Ok(())
}

/// Guards against a writer that cannot be used from the runtime of the processes.
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
