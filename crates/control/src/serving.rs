//! Whether a relay serves clients, as far as its contact with the core goes.

use pewterseam_wire::Micros;

use crate::contact::Contact;

/// Goes by contact with the core and by how many of the others are there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Serving {
    /// Others that were there when this process was last in touch.
    others_in_touch: usize,
    serves: bool,
}

impl Serving {
    /// Until when the relay serves, if nothing changes; none if it does not. `span` is how long this holds without contact.
    ///
    /// A relay that is in touch serves. One that has lost contact goes on where most of the others are still there: then
    /// the core is out for all, and clients are better served by the configuration in force than by nobody. Where most of
    /// the others are gone it is this relay that was cut off, and it leaves clients to them. Back in contact, it serves
    /// once it knows the newest state.
    pub fn until(&mut self, now: Micros, contact: Contact, others: usize, span: Micros) -> Option<Micros> {
        let until = match contact {
            Contact::InTouch { until } => {
                self.others_in_touch = others;
                Some(until)
            }
            Contact::CatchingUp => None,
            Contact::LostSince(_) => {
                let are_mostly_there = others * 2 > self.others_in_touch;
                (self.serves && are_mostly_there).then_some(now + span)
            }
        };
        self.serves = until.is_some();
        until
    }
}
