//! Notices to the platform, through the agent on a relay's machine: many at once, one request at a time, each
//! told until it is answered.

use std::rc::Rc;

use pewterseam::timeouts;
use pewterseam_durable::message::End;
use pewterseam_node::io::Input;
use pewterseam_node::notice::Notice;

use super::super::event::{Event, Life};
use super::super::links::Party;
use super::Engine;
use crate::story::{Happened, RelayNumber};

impl Engine<'_> {
    pub(super) fn notify(&mut self, relay: RelayNumber, notice: Notice) {
        let process = self.process(relay);
        process.notices.waiting.insert(notice.number, notice);
        let life = process.life;
        self.tell_notices(relay, life);
    }

    pub(super) fn tell_notices(&mut self, relay: RelayNumber, life: Life) {
        if !self.process(relay).is_up(life) || self.defers(relay, Event::TellNotices { relay, life }) {
            return;
        }
        let process = self.process(relay);
        if process.notices.out || process.notices.waiting.is_empty() {
            return;
        }
        process.notices.out = true;
        process.notices.told += 1;
        let told = process.notices.told;
        let numbers: Rc<[u64]> = process.notices.waiting.keys().copied().collect();
        let base = self.links.to_agent();
        let way = self.links.stream(Party::Relay(relay), Party::Discovery, base, numbers.len() * 64);
        if way.held_until.is_none() && !way.late {
            self.enter_in(way.delay, Event::Reads { relay, life, told, numbers });
        }
        self.enter_in(timeouts::RESPONSE, Event::NoticesFail { relay, life, told });
    }

    /// The platform reads them, whether or not the relay lives to hear it.
    pub(super) fn reads(&mut self, relay: RelayNumber, life: Life, told: u64, numbers: Rc<[u64]>) {
        if !self.process(relay).is_up(life) {
            return;
        }
        for number in numbers.iter() {
            let Some(notice) = self.process(relay).notices.waiting.get(number).cloned() else { continue };
            let Some(request) = self.read_id(&notice.id) else { continue };
            let (message, times) = self.requests[request].message;
            let failed = notice.end == End::Failed;
            self.tell(Happened::Noticed { message, times, relay, failed });
            if let End::Returned { after_ms } = notice.end {
                self.returned(request, after_ms);
            }
        }
        let base = self.links.to_agent();
        let way = self.links.stream(Party::Discovery, Party::Relay(relay), base, 64);
        if way.held_until.is_none() && !way.late && !way.reset {
            self.enter_in(way.delay, Event::NoticesAnswered { relay, life, told, numbers });
        }
    }

    pub(super) fn notices_answered(&mut self, relay: RelayNumber, life: Life, told: u64, numbers: &[u64]) {
        let process = self.process(relay);
        if !process.is_up(life) || !process.notices.out || process.notices.told != told {
            return;
        }
        process.notices.out = false;
        numbers.iter().for_each(|number| {
            process.notices.waiting.remove(number);
        });
        let again = !process.notices.waiting.is_empty();
        self.put(relay, Input::Told { numbers: numbers.to_vec(), read: true });
        if again {
            self.enter_in(0, Event::TellNotices { relay, life });
        }
    }

    pub(super) fn notices_fail(&mut self, relay: RelayNumber, life: Life, told: u64) {
        if !self.process(relay).is_up(life) || self.defers(relay, Event::NoticesFail { relay, life, told }) {
            return;
        }
        let process = self.process(relay);
        if !process.notices.out || process.notices.told != told {
            return;
        }
        process.notices.out = false;
        self.put(relay, Input::NotTold { status: None });
        self.enter_in(timeouts::RETRY_PAUSE, Event::TellNotices { relay, life });
    }
}
