//! The control log of a core member: it is replayed into a member that has nobody to talk to.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use bytes::Bytes;
use pewterseam_control::{Control, ControlSettings, ForcedEpoch};
use pewterseam_wire::control::ControlState;
use pewterseam_wire::identity::{Life, NodeInfo, NodeName, Role};

use super::folder::{self, Entry, FolderReport};
use crate::error::ConsoleError;

/// What a control log knows to be agreed.
#[derive(Debug, Default)]
pub struct ControlReport {
    /// None: the log cannot be opened.
    pub state: Option<Arc<ControlState>>,
    pub core: Vec<String>,
    /// Epochs that an operator forced by `snapshot restore`.
    pub forced: Vec<ForcedEpoch>,
}

impl fmt::Display for ControlReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(state) = &self.state else { return Ok(()) };
        let stores = state.placement.sets.last().into_iter().flatten();
        let stores: Vec<String> = stores.map(|entry| entry.id.name.to_string()).collect();
        writeln!(
            f,
            "  known to be agreed: state {}, configuration {} ({} bytes), placement {}",
            state.index,
            state.config.version,
            state.config.text.len(),
            state.placement.epoch.0
        )?;
        writeln!(f, "  core: {}", self.core.join(" "))?;
        for forced in &self.forced {
            let (epoch, index) = (forced.stamp.epoch, forced.from.index);
            writeln!(f, "  epoch {epoch} was forced on top of state {index}")?;
        }
        writeln!(f, "  stores: {}", stores.join(" "))
    }
}

/// Reads a control log.
pub fn read(path: &Path) -> Result<(FolderReport, ControlReport), ConsoleError> {
    let opened = folder::open(path)?;
    if opened.log.is_none() {
        return Ok((opened.report, ControlReport::default()));
    }
    let (snapshot, records) = split(opened.entries);
    let settings = ControlSettings::default();
    let mut control =
        Control::new(0, &reader(), settings, (snapshot, records), 0).map_err(ConsoleError::Control)?;
    control.tick(0);
    let core = control.core().iter().map(|member| member.name.to_string()).collect();
    let forced = control.forced_epochs().to_vec();
    Ok((opened.report, ControlReport { state: Some(control.state().clone()), core, forced }))
}

/// The snapshot of a log and the records after it.
pub(crate) fn split(entries: Vec<Entry>) -> (Option<Bytes>, Vec<Bytes>) {
    let (mut snapshot, mut records) = (None, Vec::new());
    for entry in entries {
        match entry.position {
            Some(_) => records.push(entry.payload),
            None => snapshot = Some(entry.payload),
        }
    }
    (snapshot, records)
}

/// A process without a disk, so that it takes no part.
fn reader() -> NodeInfo {
    NodeInfo {
        name: NodeName::new("reader"),
        life: Life(0),
        role: Role::Relay,
        peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        zone: Arc::from(""),
        region: Arc::from(""),
        disk: None,
        counts_for_quorum: false,
        ready: false,
    }
}
