//! The queue's effects, and the stores' answers to its requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use pewterseam_delivery::{Input as DeliveryInput, Submission as DeliverySubmission};
use pewterseam_queue::{CallId, Effect as QueueEffect, MessageKey, Submission};
use pewterseam_transport::Origin;
use pewterseam_wire::identity::{Owner, Role};
use pewterseam_wire::placement::StoreId;
use pewterseam_wire::store::{StoreNotice, StoreRequest, StoreResponse};

use super::process::RelayProcess;
use super::reads::FIRST_READ_CALL;
use crate::clock::MICROS_A_MILLISECOND;
use crate::message::PeerMessage;

impl RelayProcess {
    pub(super) fn carry_out_queue(&mut self, effect: QueueEffect) {
        match effect {
            QueueEffect::SendRequest { store, call, request } => self.ask_store(&store, call, request),
            QueueEffect::Answer { token, answer } => {
                if let Some(client) = self.clients.remove(&token) {
                    // Danger: none. A client that is gone hears nothing.
                    let _ = client.send(answer);
                }
            }
            QueueEffect::Submit { key, submission } => self.submit(key, submission),
            QueueEffect::Revise { key, submission } => {
                let submission = self.delivery_submission(key, submission);
                self.delivery_inputs.push(DeliveryInput::Update(submission));
            }
            QueueEffect::Withdraw { key } => {
                self.delivery_inputs.push(DeliveryInput::Withdraw { key: key.0 });
            }
            QueueEffect::Send { permit } => self.send(permit),
            QueueEffect::RefuseSend { attempt } => self.refuse_send(attempt),
            QueueEffect::ResultDropped { key, result } => {
                log::warn!("the result of a run of message {} has no effect: {result:?}", key.0);
            }
        }
    }

    /// A store tells something unasked.
    pub(super) fn store_notice(&mut self, notice: StoreNotice) {
        let oldest = match &notice {
            StoreNotice::TakeOver { messages } => messages.iter().max_by_key(|message| message.age_ms),
            StoreNotice::PredecessorEnded { .. } => None,
        };
        let oldest =
            oldest.map(|message| (message.record.name.clone(), message.owner.clone(), message.age_ms));
        let held = self.planes.queue.len();
        let effects = self.planes.queue.notice(self.node.now(), notice);
        self.queue_effects.extend(effects);
        let taken = self.planes.queue.len().saturating_sub(held);
        if let Some((name, owner, age_ms)) = oldest.filter(|_| taken > 0) {
            log::info!(
                "messages to be taken over from other relays: {taken}; the oldest offered is {} of {} in life {}, and has \
                 {age_ms} ms",
                name.0,
                owner.name,
                owner.life.0
            );
        }
    }

    fn submit(&mut self, key: MessageKey, submission: Submission) {
        let submission = self.delivery_submission(key, submission);
        self.delivery_inputs.push(DeliveryInput::Submit(submission));
    }

    fn delivery_submission(&self, key: MessageKey, submission: Submission) -> DeliverySubmission {
        DeliverySubmission {
            key: key.0,
            service: submission.service,
            priority: submission.priority,
            timeout: submission.timeout_ms * MICROS_A_MILLISECOND,
            due_at: submission.due_at,
            schedule_target: submission.schedule_target_ms * MICROS_A_MILLISECOND,
            failures: submission.failures,
        }
    }

    fn ask_store(&mut self, store: &StoreId, call: CallId, request: Box<StoreRequest>) {
        let Some(address) = self.node.address_of_store(store) else {
            let effects = self.planes.queue.store_failed(self.node.now(), call);
            self.queue_effects.extend(effects);
            return;
        };
        self.calls.entry(address).or_default().insert(call);
        self.node.send_to(address, &PeerMessage::StoreRequest { call: call.0, request });
    }

    pub(super) fn store_answered(&mut self, origin: Origin, call: u64, response: StoreResponse) {
        if call >= FIRST_READ_CALL {
            self.read_answered(call, response);
            return;
        }
        let call = CallId(call);
        if let Origin::Dialed(address) = origin
            && let Some(calls) = self.calls.get_mut(&address)
        {
            calls.remove(&call);
        }
        let effects = self.planes.queue.store_answered(self.node.now(), call, response);
        self.queue_effects.extend(effects);
    }

    /// The connection to a peer is gone: nothing that was asked there will be answered.
    pub(super) fn store_lost(&mut self, address: SocketAddr) {
        for call in self.calls.remove(&address).unwrap_or_default() {
            let effects = self.planes.queue.store_failed(self.node.now(), call);
            self.queue_effects.extend(effects);
        }
    }

    /// Membership changed: who can be asked, and who shares the work.
    pub(super) fn members_changed(&mut self) {
        let (mut stores, mut relays, mut neighbours) = (Vec::new(), Vec::new(), Vec::new());
        let mut owners = BTreeSet::new();
        let region = Arc::clone(&self.node.info().region);
        for info in self.node.live() {
            match (info.role, info.disk) {
                (Role::Store, Some(disk)) => stores.push(StoreId { name: info.name.clone(), disk }),
                (Role::Store, None) => {}
                (Role::Relay, _) => {
                    relays.push(info.name.clone());
                    owners.insert(Owner { name: info.name.clone(), life: info.life });
                    if info.region == region {
                        neighbours.push(info.name.clone());
                    }
                }
            }
        }
        self.planes.queue.set_live_stores(stores.into_iter().collect());
        self.planes.queue.set_live_relays(owners);
        self.delivery_inputs.push(DeliveryInput::Relays(relays));
        self.discover(pewterseam_discovery::Input::Relays(neighbours));
    }
}
