//! The process of a store: the message log on its disk, for the relays.

mod process;

use std::time::Duration;

use pewterseam_transport::TransportEvent;
use pewterseam_wire::identity::Role;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::disk;
use crate::error::SystemError;
use crate::node::Node;
use crate::settings_file::SettingsFile;
use crate::signals::{Notice, Signals};
use crate::wake::Wake;
use process::StoreProcess;

/// The largest datagram.
const DATAGRAM_BYTES: usize = 2_048;
/// How long a store that stops goes on answering, so that what it was sent is not lost on the way.
const LINGER: Duration = Duration::from_millis(250);

/// Runs a store until it is told to stop.
pub async fn run(mut file: SettingsFile, mut signals: Signals) -> Result<(), SystemError> {
    let settings = file.read()?;
    let path = settings.data_dir.clone().ok_or(SystemError::Missing { what: "dataDir" })?;
    let disk = disk::disk_id(&mut disk::open_folder(&path)?)?;
    let (node, mut inputs) = Node::start(&settings, Role::Store, Some(disk))?;
    let (events, mut log_events) = mpsc::unbounded_channel();
    let mut wake = Wake::new(node.clock);
    let mut process = StoreProcess::start(node, &settings, events)?;
    let mut datagram = vec![0; DATAGRAM_BYTES];
    let mut stop_at: Option<Instant> = None;
    loop {
        process.tick();
        let due = process.next_wake();
        tokio::select! {
            () = wake.until(due) => {}
            Some(event) = inputs.transport.recv() => {
                process.transport(event);
                drain(&mut inputs.transport, |event| process.transport(event));
            }
            Some(event) = log_events.recv() => process.log_event(event),
            Ok((length, from)) = inputs.datagrams.recv_from(&mut datagram) => {
                process.node.datagram(from, &datagram[..length]);
            }
            Some(event) = inputs.control_log.recv() => process.node.control_log_event(event),
            notice = signals.next() => match notice {
                Notice::Stop => {
                    process.node.leave();
                    stop_at.get_or_insert(Instant::now() + LINGER);
                }
                Notice::Reload => reload(&mut file, &mut process),
            },
            () = at(stop_at) => return Ok(()),
        }
    }
}

/// Takes all that has arrived.
fn drain<T>(events: &mut mpsc::UnboundedReceiver<T>, mut take: impl FnMut(T)) {
    while let Ok(event) = events.try_recv() {
        take(event);
    }
}

async fn at(moment: Option<Instant>) {
    match moment {
        Some(moment) => tokio::time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

fn reload(file: &mut SettingsFile, process: &mut StoreProcess) {
    match file.read() {
        Ok(settings) => process.node.set_seeds(&settings),
        Err(error) => log::error!("the settings stay as they are: {error}"),
    }
}

/// An event of the transport, as the store takes it.
pub(crate) type StoreTransportEvent = TransportEvent<crate::message::PeerMessage>;
