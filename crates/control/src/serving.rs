//! Whether a relay serves clients, judged by its contact with the core.

use pewterseam_wire::Micros;

use crate::contact::Contact;

/// Decides from the contact with the core and from how many other processes are reachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Serving {
    /// The number of other processes that were alive when this process last had contact.
    others_in_touch: usize,
    serves: bool,
}

impl Serving {
    /// The time until which the relay serves if nothing changes; none if it does not serve. `span` is how long a
    /// decision without contact holds.
    ///
    /// A relay in contact with the core serves. A relay that has lost contact keeps serving while most of the other
    /// processes are still alive: the core is then unavailable to all of them, and serving with the configuration in
    /// force is better for clients than no service. If most of the other processes are gone, this relay is the one
    /// that was cut off, and it leaves clients to the others. Once contact is restored, the relay serves again when it
    /// knows the newest state.
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
