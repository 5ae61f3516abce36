//! The sender instances of this process, and the translation between wire records and the core crate's types.

use std::collections::BTreeMap;
use std::panic::{self, AssertUnwindSafe};

use pewterseam::Brain;
use pewterseam::interface::{
    Action, Ended, Event, History, HostId, Lifecycle, ListedHost, MessageId, Micros, Outcome, RegistryUpdate,
    ReportedLimit, Request,
};

use pewterseam_settings::time::{micros, seconds};

use crate::codec::{Batch, ENTRY_SIZE, Fields, LISTS, Record, Reply, WireError, malformed};

/// Peer number that addresses a message to every peer.
const ALL_PEERS: u32 = u32::MAX;

/// One instance, with its events of the current batch.
struct Instance {
    brain: Brain,
    kinds: usize,
    classes: usize,
    events: Vec<Event>,
}

/// All instances of the process, independent of each other.
#[derive(Default)]
pub struct Instances {
    running: BTreeMap<u32, Instance>,
    lists: [Option<Vec<ListedHost>>; LISTS],
}

impl Instances {
    /// Passes a batch to the instances that it names and collects their actions.
    pub fn answer(&mut self, batch: &Batch) -> Result<Reply, WireError> {
        let now = wire_time(batch.clock_s)?;
        for record in batch.records() {
            self.apply_record(batch, record)?;
        }
        let mut reply = Reply::default();
        for (number, instance) in &mut self.running {
            if instance.events.is_empty() {
                continue;
            }
            let events = std::mem::take(&mut instance.events);
            let brain = &mut instance.brain;
            match panic::catch_unwind(AssertUnwindSafe(|| brain.step(now, events))) {
                Ok(actions) => actions.into_iter().for_each(|action| encode(&mut reply, *number, action)),
                Err(cause) => {
                    let text = cause.downcast_ref::<String>().map(String::as_str);
                    let text = text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("panic");
                    reply.push_with(Record::new(1, *number), 5, text.as_bytes());
                }
            }
        }
        Ok(reply)
    }

    fn apply_record(&mut self, batch: &Batch, record: Fields<'_>) -> Result<(), WireError> {
        let number = record.u32(1);
        match record.u8(0) {
            4 => {
                let settings = pewterseam_settings::parse(batch.tail(record, 13, 1)?)?.settings;
                let (kinds, classes) = (settings.kinds.len(), settings.classes.len());
                let brain = Brain::new(settings, record.u64(5));
                self.running.insert(number, Instance { brain, kinds, classes, events: Vec::new() });
                Ok(())
            }
            5 => self.define_list(record.u16(1), batch.tail(record, 3, ENTRY_SIZE)?),
            6 if self.running.remove(&number).is_some() => Ok(()),
            6 => unknown_instance(number),
            code => {
                let event = self.event(batch, code, record)?;
                match self.running.get_mut(&number) {
                    Some(instance) => instance.events.push(event),
                    None => return unknown_instance(number),
                }
                Ok(())
            }
        }
    }

    fn define_list(&mut self, list: u16, entries: &[u8]) -> Result<(), WireError> {
        let Some(slot) = self.lists.get_mut(usize::from(list)) else {
            return malformed(format!("list number {list} is above {}", LISTS - 1));
        };
        let entries = entries.chunks_exact(ENTRY_SIZE).map(|entry| listed(Fields(entry)));
        *slot = Some(entries.collect::<Result<_, _>>()?);
        Ok(())
    }

    fn event(&self, batch: &Batch, code: u8, record: Fields<'_>) -> Result<Event, WireError> {
        Ok(match code {
            1 => Event::Peer { from: record.u16(5), bytes: batch.tail(record, 7, 1)?.to_vec() },
            3 => Event::Probed {
                host: HostId(record.host(5)),
                outcome: outcome(record.u8(11), 0)?,
                limit: limit(record, 20),
            },
            7 => Event::Registry(self.registry(record)?),
            8 => Event::Withdrawn(MessageId(record.u64(5))),
            9 => Event::Ended(Ended {
                id: MessageId(record.u64(5)),
                attempt: u32::from(record.u8(13)),
                outcome: outcome(record.u8(20), record.u32(30))?,
                took: wire_time(record.f64(21))?,
                closed: record.u8(29) != 0,
                limit: limit(record, 34),
                connection: None,
            }),
            10 => Event::Message(self.request(record)?),
            // The start of a stream: the client makes the attempt, and its outcome still follows.
            2 | 11 => Event::Timer,
            other => return malformed(format!("unknown event code {other}")),
        })
    }

    fn request(&self, record: Fields<'_>) -> Result<Request, WireError> {
        let class = usize::from(record.u8(34));
        if self.running.get(&record.u32(1)).is_some_and(|instance| class >= instance.classes) {
            return malformed(format!("class {class} is not in the settings"));
        }
        Ok(Request {
            id: MessageId(record.u64(5)),
            class,
            destination: record.f32(22) as u32,
            tenant: record.u32(43) as usize,
            key: Some(record.u64(14)).filter(|key| *key != 0),
            deadline: wire_time(record.f64(35))?,
            history: History::default(),
        })
    }

    fn registry(&self, record: Fields<'_>) -> Result<RegistryUpdate, WireError> {
        let scope = record.u8(5);
        if scope == 3 {
            return Ok(RegistryUpdate::Failed);
        }
        let list = record.u16(10);
        let Some(entries) = self.lists.get(usize::from(list)).and_then(Option::as_ref) else {
            return malformed(format!("list {list} was never defined"));
        };
        let kinds = self.running.get(&record.u32(1)).map_or(usize::MAX, |instance| instance.kinds);
        if let Some(entry) = entries.iter().find(|entry| entry.kind >= kinds) {
            return malformed(format!("kind {} is not in the settings", entry.kind));
        }
        match scope {
            0 | 1 => Ok(RegistryUpdate::FullList(entries.clone())),
            2 => Ok(RegistryUpdate::Changes(entries.clone())),
            other => malformed(format!("unknown registry scope {other}")),
        }
    }
}

fn unknown_instance(number: u32) -> Result<(), WireError> {
    malformed(format!("instance {number} was never created"))
}

fn wire_time(value: f64) -> Result<Micros, WireError> {
    micros(value).map_or_else(|| malformed(format!("{value} is not a valid time")), Ok)
}

fn listed(entry: Fields<'_>) -> Result<ListedHost, WireError> {
    Ok(ListedHost {
        host: HostId(entry.host(0)),
        zone: entry.u16(6),
        kind: usize::from(entry.u8(8)),
        destination: u32::from(entry.u16(9)),
        lifecycle: match entry.u8(11) {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Draining,
            2 => Lifecycle::Ready,
            other => return malformed(format!("unknown lifecycle {other}")),
        },
        weight: entry.f32(12),
    })
}

fn outcome(code: u8, note: u32) -> Result<Outcome, WireError> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Rejected { wait: Micros::from(note) * 1000 },
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotSent,
        other => return malformed(format!("unknown outcome {other}")),
    })
}

/// The second reported value is the limit in calls per second, and the first the share of it that is left; a
/// limit of 0 means none.
fn limit(record: Fields<'_>, at: usize) -> Option<ReportedLimit> {
    let rate =
        Some(record.f32(at + 5)).filter(|rate| record.u8(at) >= 2 && rate.is_finite() && *rate > 0.0)?;
    let left = Some(record.f32(at + 1)).filter(|left| (0.0..=1.0).contains(left));
    Some(ReportedLimit { rate, left })
}

fn encode(reply: &mut Reply, number: u32, action: Action) {
    match action {
        Action::Send { id, host, timeout, .. } => reply.push(
            Record::new(5, number)
                .put(5, &id.0.to_be_bytes())
                .host(13, host.0)
                .put(19, &seconds(timeout).to_be_bytes()),
        ),
        // On this wire connections open without an event, so nothing is written late.
        Action::Write { .. } | Action::Withhold { .. } => {}
        Action::Cancel { id, attempt } => {
            reply.push(Record::new(3, number).put(5, &id.0.to_be_bytes()).put(13, &[attempt as u8]));
        }
        Action::Refuse { id, retry_after } => reply.push(
            Record::new(2, number).put(5, &id.0.to_be_bytes()).put(13, &seconds(retry_after).to_be_bytes()),
        ),
        Action::Fail(id) => reply.push(Record::new(8, number).put(5, &id.0.to_be_bytes())),
        Action::Probe(host) => reply.push(Record::new(11, number).host(5, host.0)),
        Action::CloseIdle(host) => reply.push(Record::new(10, number).host(5, host.0)),
        Action::Tell { to, bytes } => {
            let receiver = to.map_or(ALL_PEERS, u32::from);
            reply.push_with(Record::new(6, number).put(5, &receiver.to_be_bytes()), 9, &bytes);
        }
        Action::Subscribe => reply.push(Record::new(4, number).put(5, &[1])),
        Action::Wake(at) => reply.push(Record::new(12, number).put(5, &seconds(at).to_be_bytes())),
        Action::Log(text) => reply.push_with(Record::new(9, number), 5, text.as_bytes()),
    }
}
