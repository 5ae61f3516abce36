//! What a step of the gossip gives, as the library gives it.

use std::time::Duration;

use foca::{Message, Notification, Runtime, Timer};

use crate::identity::Identity;
use crate::interface::MemberId;

/// What a step of the gossip gives.
#[derive(Debug, Default)]
pub struct Out {
    pub datagrams: Vec<(Identity, Vec<u8>)>,
    /// Places whose state may have changed.
    pub changed: Vec<MemberId>,
    /// The identity that this member goes by from now on.
    pub renewed: Option<Identity>,
    pub(super) schedule: Vec<(Duration, Timer<Identity>)>,
    pub(super) failed_probes: u32,
    pub(super) answered_probes: u32,
    /// As whom this member spoke last; it changes when it refutes a suspicion.
    pub(super) told: Option<(Identity, u16)>,
}

impl Runtime<Identity> for &mut Out {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(id) | Notification::MemberDown(id) | Notification::Rename(_, id) => {
                self.changed.push(id.place);
            }
            Notification::Rejoin(id) => self.renewed = Some(*id),
            Notification::ProbeFailed(..) => self.failed_probes += 1,
            Notification::DataReceived(header) => {
                let answered = matches!(header.message, Message::Ack(_) | Message::ForwardedAck { .. });
                self.answered_probes += u32::from(answered);
            }
            Notification::DataSent(header) => {
                self.told = Some((header.src, header.src_incarnation));
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.datagrams.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.schedule.push((after, event));
    }
}

impl Out {
    pub(super) fn add(&mut self, other: Out) {
        self.datagrams.extend(other.datagrams);
        self.changed.extend(other.changed);
        self.renewed = other.renewed.or(self.renewed);
    }
}
