//! Assembles a relay and opens its doors.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use arc_swap::ArcSwap;
use pewterseam_config::CompiledConfig;
use pewterseam_config::settings::Settings;
use pewterseam_ingress::{Front, FrontSettings, RequestRoute, RouteChoice, Router, Stopper};
use pewterseam_wire::identity::Role;
use tokio::sync::{mpsc, watch};

use super::RelayInputs;
use super::planes::Planes;
use super::process::RelayProcess;
use super::readiness::Readiness;
use crate::disk;
use crate::error::SystemError;
use crate::node::{Node, NodeInputs};
use crate::operator;
use crate::settings_file::SettingsFile;

/// Part of the descriptors that clients' connections may take.
const CLIENT_FILES_PART: f64 = 0.4;

pub fn start(mut file: SettingsFile) -> Result<(RelayProcess, NodeInputs, RelayInputs), SystemError> {
    let settings = file.read()?;
    let disk = match &settings.data_dir {
        Some(path) => Some(disk::disk_id(&mut disk::open_folder(path)?)?),
        None => None,
    };
    let (node, node_inputs) = Node::start(&settings, Role::Relay, disk)?;
    let config = Arc::new(ArcSwap::from_pointee(CompiledConfig::default()));
    let (front_requests, front) = mpsc::unbounded_channel();
    let (operator_calls, operators) = mpsc::unbounded_channel();
    let (host_events, hosts) = mpsc::unbounded_channel();
    let (list_events, list) = mpsc::unbounded_channel();
    let stopper = Stopper::default();
    let readiness = Readiness::new(node.clock);
    let (configured, is_configured) = watch::channel(false);
    let door = Front::new(front_requests, router(config.clone()), is_configured, stopper.clone());
    let failure = Rc::default();
    open_doors(&settings, &door, operator_calls, &readiness, &failure)?;
    let planes = Planes::new(&node, &settings, host_events, list_events);
    let process = RelayProcess::new(
        node, planes, settings, file, config, configured, door, stopper, readiness, failure,
    );
    Ok((process, node_inputs, RelayInputs { front, hosts, list, operators }))
}

/// An error of a door that could not open, which ends the process.
pub type DoorFailure = Rc<RefCell<Option<SystemError>>>;

fn open_doors(
    settings: &Settings, door: &Front, calls: mpsc::UnboundedSender<operator::OperatorCall>,
    readiness: &Readiness, failure: &DoorFailure,
) -> Result<(), SystemError> {
    let address = settings.bind.front.ok_or(SystemError::Missing { what: "bindAddrs.front" })?;
    let most_connections = (settings.limits.max_files as f64 * CLIENT_FILES_PART) as usize;
    let door = door.clone();
    let serving = async move {
        door.serve(FrontSettings { address, max_connections: most_connections }).await.map_err(Into::into)
    };
    open(serving, failure.clone());
    if let Some(address) = settings.bind.readiness {
        open(operator::serve_readiness(address, readiness.clone()), failure.clone());
    }
    if let Some(address) = settings.bind.control {
        open(operator::serve(address, calls), failure.clone());
    }
    Ok(())
}

fn open(door: impl Future<Output = Result<(), SystemError>> + 'static, failure: DoorFailure) {
    tokio::task::spawn_local(async move {
        if let Err(error) = door.await {
            log::error!("{error}");
            failure.borrow_mut().get_or_insert(error);
        }
    });
}

/// Finds routes in the configuration in force.
fn router(config: Arc<ArcSwap<CompiledConfig>>) -> Router {
    Rc::new(move |host, path| {
        let config = config.load();
        if config.version == 0 {
            return RouteChoice::NotConfigured;
        }
        let Some(route) = config.route(host, path) else { return RouteChoice::NoRoute };
        RouteChoice::Route(RequestRoute {
            name: route.name.clone(),
            key: route.key(),
            is_ordered: route.fifo,
            most_body_bytes: config.limits.max_body_bytes as usize,
        })
    })
}
