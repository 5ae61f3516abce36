//! The process of a relay: clients, messages, hosts, the operator, and on machines with a disk a part of the core.

mod attempt_log;
mod configuration;
mod delivery;
mod front;
mod list;
mod operators;
mod planes;
mod process;
mod queue_driver;
pub(crate) mod readiness;
mod reads;
mod start;
mod stopping;

use pewterseam_ingress::FrontRequest;
use pewterseam_outbound::{ListEvent, OutboundEvent};
use tokio::sync::mpsc;

use crate::error::SystemError;
use crate::operator::OperatorCall;
use crate::settings_file::SettingsFile;
use crate::signals::Signals;
use crate::wake::Wake;

/// The largest datagram.
const DATAGRAM_BYTES: usize = 2_048;

/// What a relay waits for, beside its node's inputs.
pub(crate) struct RelayInputs {
    pub front: mpsc::UnboundedReceiver<FrontRequest>,
    pub hosts: mpsc::UnboundedReceiver<OutboundEvent>,
    pub list: mpsc::UnboundedReceiver<ListEvent>,
    pub operators: mpsc::UnboundedReceiver<OperatorCall>,
}

/// Runs a relay until it is told to stop.
pub async fn run(file: SettingsFile, mut signals: Signals) -> Result<(), SystemError> {
    let (mut process, mut node, mut inputs) = start::start(file)?;
    let mut wake = Wake::new(process.node.clock);
    let mut datagram = vec![0; DATAGRAM_BYTES];
    while !process.is_done() {
        process.work();
        let due = process.next_wake();
        tokio::select! {
            () = wake.until(due) => {}
            Some(event) = node.transport.recv() => {
                process.transport(event);
                drain(&mut node.transport, |event| process.transport(event));
            }
            Some(request) = inputs.front.recv() => {
                process.front_request(request);
                drain(&mut inputs.front, |request| process.front_request(request));
            }
            Some(event) = inputs.hosts.recv() => {
                process.host_event(event);
                drain(&mut inputs.hosts, |event| process.host_event(event));
            }
            Some(event) = inputs.list.recv() => process.list_event(event),
            Ok((length, from)) = node.datagrams.recv_from(&mut datagram) => {
                process.node.datagram(from, &datagram[..length]);
            }
            Some(event) = node.control_log.recv() => process.node.control_log_event(event),
            Some(call) = inputs.operators.recv() => process.operator_call(call),
            notice = signals.next() => process.signal(notice),
        }
    }
    process.flush().await;
    Ok(())
}

/// Takes all that has arrived.
fn drain<T>(events: &mut mpsc::UnboundedReceiver<T>, mut take: impl FnMut(T)) {
    while let Ok(event) = events.try_recv() {
        take(event);
    }
}
