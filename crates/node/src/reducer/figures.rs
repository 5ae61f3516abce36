//! Figures for operators and the counters' text.

use pewterseam::interface::MessageId;
use pewterseam_durable::message::End;

use super::{ABORTED, DECLINED, Reducer};

impl Reducer {
    /// The figures, one `relay.NAME[.CLASS]=N` a line.
    pub(super) fn metrics(&self) -> String {
        let mut text = String::new();
        for (index, name) in ["succeeded", "declined", "aborted"].into_iter().enumerate() {
            for (class, ends) in &self.ends {
                text.push_str(&format!("relay.{name}.{class}={}\n", ends[index]));
            }
        }
        let counters = &self.counters;
        let figures = [
            ("forwards", counters.sent),
            ("outstanding", self.held.len() as u64),
            ("discovered", self.names.discovered() as u64),
            ("ejected", self.names.ejected() as u64),
            ("sighup_applied", counters.configurations),
            ("sighup_rejected", counters.configurations_rejected),
        ];
        for (name, value) in figures {
            text.push_str(&format!("relay.{name}={value}\n"));
        }
        text
    }

    /// The counters, and what is on hand now.
    pub(super) fn text(&self) -> String {
        let (held, out) = (self.held.len(), self.calls_out());
        format!("{}held {held}\ncalls_out {out}\n", self.counters.text())
    }

    /// Counts a message's end under its class.
    pub(super) fn count_end(&mut self, id: MessageId, how: usize) {
        if let Some(class) = self.held.get(&id).map(|held| held.message.class.clone()) {
            self.ends_of(&class)[how] += 1;
        }
    }

    /// The ends counted under a class's name, from 0 where it has none yet.
    pub(super) fn ends_of(&mut self, class: &str) -> &mut [u64; 3] {
        let place = match self.ends.iter().position(|(name, _)| name == class) {
            Some(place) => place,
            None => {
                self.ends.push((class.to_owned(), [0; 3]));
                self.ends.len() - 1
            }
        };
        &mut self.ends[place].1
    }

    /// Counts a message that is given up: failed, or refused and handed back.
    pub(super) fn count_given_up(&mut self, id: MessageId, end: End) {
        self.count_end(id, if end == End::Failed { ABORTED } else { DECLINED });
    }
}
