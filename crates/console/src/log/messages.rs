//! The messages in a store's log: it is replayed into a store, which is then asked for all that it knows.

use std::collections::VecDeque;
use std::fmt;
use std::path::Path;
use std::sync::Arc;

use pewterseam_message_log::{CurrentTime, Effect, Input, Store, StoreRecovery, StoreSettings};
use pewterseam_storage::{Log, SimulatedFiles};
use pewterseam_wire::identity::{DiskId, NodeName};
use pewterseam_wire::placement::{PARTITIONS, Partition, Placement, PlacementEpoch, StoreEntry, StoreId};
use pewterseam_wire::record::{End, MessageName};
use pewterseam_wire::store::{StoreRequest, StoreResponse, StoredMessage};

use super::folder::{self, FolderReport};
use crate::error::ConsoleError;

/// Nothing expires and nothing is cleaned while a log is looked at.
const FOREVER: u64 = u64::MAX / 4;

/// What a store's log holds.
#[derive(Debug, Default)]
pub struct MessagesReport {
    /// False: the log cannot be opened, so that nothing is known for certain.
    pub is_complete: bool,
    pub messages: Vec<MessageLine>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageLine {
    pub request_id: String,
    pub partition: Option<u16>,
    pub route: Option<String>,
    pub body_bytes: Option<usize>,
    pub owner: Option<String>,
    pub failures: u32,
    pub end: Option<End>,
}

impl fmt::Display for MessagesReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.is_complete {
            return writeln!(f, "  messages are not told: a log that is not whole may lack their ends");
        }
        let count = |wanted: fn(&End) -> bool| {
            self.messages.iter().filter(|message| message.end.as_ref().is_some_and(wanted)).count()
        };
        let open = self.messages.iter().filter(|message| message.end.is_none()).count();
        let completed = count(|end| matches!(end, End::Completed { .. }));
        writeln!(
            f,
            "  {} messages: {open} open, {completed} completed, {} dead",
            self.messages.len(),
            self.messages.len() - open - completed
        )
    }
}

impl fmt::Display for MessageLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.request_id, end_word(self.end.as_ref()))?;
        if let Some(partition) = self.partition {
            write!(f, ", partition {partition}")?;
        }
        if let Some(route) = &self.route {
            write!(f, ", route {route}")?;
        }
        if let Some(bytes) = self.body_bytes {
            write!(f, ", {bytes} bytes")?;
        }
        if let Some(owner) = &self.owner {
            write!(f, ", owner {owner}")?;
        }
        if self.failures > 0 {
            write!(f, ", {} failed attempts", self.failures)?;
        }
        Ok(())
    }
}

fn end_word(end: Option<&End>) -> &'static str {
    match end {
        None => "open",
        Some(End::Completed { .. }) => "completed",
        Some(End::Refused) => "dead: refused for good",
        Some(End::AttemptsUsed) => "dead: all attempts failed",
        Some(End::Expired) => "dead: kept too long",
        Some(End::RouteDropped) => "dead: its route was dropped",
    }
}

/// Reads a store's log.
pub fn read(path: &Path) -> Result<(FolderReport, MessagesReport), ConsoleError> {
    let opened = folder::open(path)?;
    let Some(log) = opened.log else { return Ok((opened.report, MessagesReport::default())) };
    let mut recovery = StoreRecovery::new(settings(), CurrentTime::default());
    for entry in &opened.entries {
        if let Some(position) = entry.position {
            recovery.entry(position, &entry.payload);
        }
    }
    let store = recovery.finish().map_err(ConsoleError::Messages)?;
    let messages = Reader { store, log, contents: Vec::new(), is_last: false }.all();
    Ok((opened.report, MessagesReport { is_complete: true, messages }))
}

fn reader() -> StoreId {
    StoreId { name: NodeName::new("reader"), disk: DiskId(0) }
}

fn settings() -> StoreSettings {
    StoreSettings { clean_above_bytes: FOREVER, ..StoreSettings::new(reader(), FOREVER, FOREVER) }
}

/// All messages belong to the reader, so that it tells of all.
fn own_placement() -> Placement {
    let entry = StoreEntry { id: reader(), zone: Arc::from("") };
    Placement {
        epoch: PlacementEpoch(FOREVER),
        tolerated: 0,
        sets: vec![vec![entry]],
        ..Placement::default()
    }
}

/// A store that is asked for everything, as another store would that copies from it.
struct Reader {
    store: Store,
    log: Log<SimulatedFiles>,
    contents: Vec<MessageLine>,
    is_last: bool,
}

impl Reader {
    fn all(mut self) -> Vec<MessageLine> {
        self.store.step(CurrentTime::default(), Input::Placement(Arc::new(own_placement())));
        let partitions: Vec<Partition> = (0..PARTITIONS).map(Partition).collect();
        let mut after = None;
        while !self.is_last {
            let request =
                StoreRequest::Pull { epoch: PlacementEpoch(FOREVER), partitions: partitions.clone(), after };
            let Some(last) = self.ask(request) else { break };
            after = Some(last);
        }
        self.contents.sort_by(|a, b| a.request_id.cmp(&b.request_id));
        self.contents
    }

    /// Asks for a piece and returns the name of its last message.
    fn ask(&mut self, request: StoreRequest) -> Option<MessageName> {
        let mut inputs = VecDeque::from([Input::Request { token: 1, request }]);
        let mut last = None;
        while let Some(input) = inputs.pop_front() {
            for effect in self.store.step(CurrentTime::default(), input) {
                match effect {
                    Effect::ReadBack { token, position } => {
                        let payload = self.log.read(position).ok();
                        inputs.push_back(Input::ReadBack { token, payload });
                    }
                    Effect::Respond {
                        response: StoreResponse::Contents { messages, is_last, .. }, ..
                    } => {
                        self.is_last = is_last;
                        last = messages.last().map(|message| message.name.clone());
                        self.contents.extend(messages.iter().map(line));
                    }
                    _ => {}
                }
            }
        }
        last
    }
}

fn line(message: &StoredMessage) -> MessageLine {
    let record = message.record.as_ref();
    MessageLine {
        request_id: message.name.request_id().to_owned(),
        partition: message.name.partition().map(|partition| partition.0),
        route: record.map(|record| record.route.to_string()),
        body_bytes: record.map(|record| record.body.len()),
        owner: message.owner.as_ref().map(|owner| owner.name.to_string()),
        failures: message.failures,
        end: message.end.clone(),
    }
}
