//! A message on hand.

use pewterseam::interface::{Effect, Micros};
use pewterseam_durable::message::{End, Message};
use pewterseam_durable::record::{Past, Record, Zone};
use pewterseam_node::notice::Notice;
use pewterseam_node::pool::ConnectionId;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Out {
    pub(super) connection: ConnectionId,
    pub(super) host: u64,
    pub(super) at: Micros,
    pub(super) written: bool,
    pub(super) zone: Option<Zone>,
}

#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) message: Message,
    pub(super) past: Past,
    pub(super) out: Option<Out>,
    pub(super) not_before: Micros,
    pub(super) closing: Option<End>,
}

impl Held {
    pub(super) fn new(message: Message) -> Self {
        Held { message, past: Past::default(), out: None, not_before: 0, closing: None }
    }

    /// Until when a guarded message that may have run may come again.
    pub(super) fn window_end(&self, effect: Effect) -> Option<Micros> {
        match effect {
            Effect::Guarded { window, .. } => self.past.ran.map(|at| at + window),
            _ => None,
        }
    }

    pub(super) fn notice(&self, number: u64, end: End) -> Notice {
        Notice { number, id: self.message.id.clone(), end }
    }

    /// Records that tell of it.
    pub(super) fn records(&self, number: u64) -> Vec<Record> {
        let written = self.out.filter(|out| out.written);
        let attempts = self.past.attempts - u32::from(self.out.is_some());
        let (message, past) = (self.message.clone(), Past { attempts, ..self.past });
        let mut records = vec![Record::Taken { number, message, past }];
        records.extend(self.past.ran_in.map(|zone| Record::RanIn { number, zone }));
        records.extend(written.map(|out| Record::Started { number, at: out.at }));
        let zone = written.and_then(|out| out.zone);
        records.extend(zone.map(|zone| Record::StartedIn { number, zone }));
        records.extend(self.closing.map(|end| Record::Closing { number, end }));
        records
    }
}
