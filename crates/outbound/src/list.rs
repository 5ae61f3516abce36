//! Calls to the platform's list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pewterseam_delivery::Instance;
use pewterseam_discovery::{CallFailure, CallId, Input, List, ListedInstance, Page};
use pewterseam_http1::{Client, Request};
use serde::Deserialize;
use tokio::sync::Mutex;
use tokio::sync::mpsc::UnboundedSender;

use crate::connection::{Called, Connection, connect};
use crate::dialer::TcpDialer;
use crate::reading::Reading;

/// A call that takes longer has failed.
const TIMEOUT: Duration = Duration::from_secs(1);
const OK: u16 = 200;
const TOO_MANY_REQUESTS: u16 = 429;
/// The largest page that is read.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// What became of a call.
#[derive(Clone, Debug)]
pub enum ListEvent {
    Paged { call: CallId, page: Page },
    CallFailed { call: CallId, failure: CallFailure },
}

impl From<ListEvent> for Input {
    fn from(event: ListEvent) -> Input {
        match event {
            ListEvent::Paged { call, page } => Input::PageReceived { call, page },
            ListEvent::CallFailed { call, failure } => Input::CallFailed { call, failure },
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePage {
    instances: Vec<WireInstance>,
    next_token: Option<Arc<str>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireInstance {
    id: Arc<str>,
    backend: Arc<str>,
    address: SocketAddr,
    #[serde(default)]
    zone: Option<Arc<str>>,
    #[serde(default)]
    slots: u32,
    state: WireState,
    #[serde(default)]
    cold_remaining_ms: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    /// Whatever else it is, it takes nothing new.
    #[serde(other)]
    Draining,
}

impl From<WireInstance> for ListedInstance {
    fn from(wire: WireInstance) -> Self {
        ListedInstance {
            id: wire.id,
            service: wire.backend,
            address: wire.address,
            zone: wire.zone.unwrap_or_default(),
            slots: wire.slots,
            ready: wire.state == WireState::Ready,
            cold_remaining_ms: wire.cold_remaining_ms.max(0.0) as u64,
        }
    }
}

/// The list as the deliveries take it.
pub fn instances(list: &List) -> Vec<Instance> {
    let instance = |listed: &Arc<ListedInstance>| Instance {
        id: listed.id.clone(),
        service: listed.service.clone(),
        address: listed.address,
        zone: listed.zone.clone(),
        slots: listed.slots,
        ready: listed.ready,
        cold_remaining_ms: listed.cold_remaining_ms,
    };
    list.instances().map(instance).collect()
}

/// Calls to the platform's list.
#[derive(Clone, Debug)]
pub struct PlatformList {
    address: SocketAddr,
    events: UnboundedSender<ListEvent>,
    /// The connection of the last call, if it may carry another.
    idle: Arc<Mutex<Option<Connection>>>,
}

impl PlatformList {
    pub fn new(address: SocketAddr, events: UnboundedSender<ListEvent>) -> Self {
        PlatformList { address, events, idle: Arc::default() }
    }

    /// Makes the call of `Effect::Ask`.
    pub fn ask(&self, call: CallId, page_token: Option<&str>) {
        let (list, path) = (self.clone(), path(page_token));
        tokio::spawn(async move {
            let asking = tokio::time::timeout(TIMEOUT, list.get(&path)).await;
            let event = match asking.unwrap_or(Err(CallFailure::Failed)) {
                Ok(page) => ListEvent::Paged { call, page },
                Err(failure) => ListEvent::CallFailed { call, failure },
            };
            // Nobody hears it where the receiver is gone: the process ends.
            drop(list.events.send(event));
        });
    }

    async fn open(&self) -> Result<Connection, CallFailure> {
        let client = Client::new(self.address.to_string(), MOST_BYTES);
        let opening = connect(&TcpDialer, self.address, TIMEOUT, TIMEOUT, client);
        opening.await.map_err(|_| CallFailure::Failed)
    }

    async fn get(&self, path: &str) -> Result<Page, CallFailure> {
        let mut idle = self.idle.lock().await.take();
        let idle = idle.take_if(|connection| connection.is_quiet());
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.open().await?,
        };
        // Pages carry no mark of their request. The platform sends none unasked; a connection on which one came is closed.
        let called = connection.call(&Request::get(path), |_| Reading::Own).await;
        let Called { response, is_clean } = called.map_err(|_| CallFailure::Failed)?;
        if is_clean {
            *self.idle.lock().await = Some(connection);
        }
        match response.status {
            OK => {
                let page: WirePage =
                    serde_json::from_slice(&response.body).map_err(|_| CallFailure::Failed)?;
                let instances = page.instances.into_iter().map(ListedInstance::from).collect();
                Ok(Page { instances, next_token: page.next_token })
            }
            TOO_MANY_REQUESTS => Err(CallFailure::Refused),
            _ => Err(CallFailure::Failed),
        }
    }
}

fn path(page_token: Option<&str>) -> String {
    let Some(token) = page_token else { return "/instances".to_owned() };
    let mut path = "/instances?pageToken=".to_owned();
    for byte in token.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                path.push(char::from(byte))
            }
            _ => path.push_str(&format!("%{byte:02X}")),
        }
    }
    path
}
