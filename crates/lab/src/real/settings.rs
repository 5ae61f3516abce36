//! What each relay of a day is told: its configuration file.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::plan::{ClassPlan, Plan};
use crate::story::RelayNumber;

/// The one kind of destination.
pub const MODEL: &str = "partner";
/// The one customer of all messages, and messages a second that earn its full worth: more than any day has.
pub const TENANT: &str = "lab";
const QUOTA: f64 = 1e6;
/// After it was told of a drain, a relay may go on sending for so long, in seconds.
pub const DRAIN_GRACE_S: f64 = 1.0;
/// A cold destination falls over at so many times what it can do, for so many seconds.
pub const OVERLOAD_FACTOR: f64 = 2.5;
pub const OVERLOAD_S: f64 = 3.0;
/// How long a key rests after a call that may still run, in seconds.
pub const ORDER_REST_S: f64 = 0.5;
/// Longest that clients are told to wait, in seconds.
const MOST_RETRY_AFTER_S: f64 = 3.0;
const IDLE_S: f64 = 15.0;
const DIAL_S: f64 = 1.0;
/// Limits of the operators' scored days.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
const DISK_MB: f64 = 3.0;

/// Where one relay stands on the network, as it is told.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub peer_listen: SocketAddr,
    pub discovery: SocketAddr,
    pub peers: Vec<SocketAddr>,
}

/// The configuration file of one start.
pub fn config(plan: &Plan, relay: RelayNumber, addresses: &Addresses, seed: u64, known: Value) -> Value {
    json!({
        "name": format!("n{relay}"), "listen": addresses.listen, "discovery": addresses.discovery,
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": DISK_MB},
        "peer_listen": addresses.peer_listen, "peers": addresses.peers, "known": known,
        "settings": settings(plan, relay),
    })
}

fn settings(plan: &Plan, relay: RelayNumber) -> Value {
    let fleet = &plan.fleet;
    let zones: Vec<_> = fleet.zones.iter().map(|zone| &zone.name).collect();
    // Hints follow the limits where there are any; a destination without one is listed by what it can do.
    json!({
        "me": relay, "group_size": fleet.relays, "membership_mode": "push", "weights": "nominal",
        "models": [MODEL], "zones": zones,
        "classes": plan.load.classes.iter().map(ClassPlan::settings).collect::<Vec<_>>(),
        "tenants": [{"name": TENANT, "quota_per_s": QUOTA}],
        "family_info": {"slots": fleet.slots, "late": "linear", "routes_apart": [false], "bundle_max": [1]},
        "allowed": {"attempts_cap": fleet.max_attempts, "most_held": fleet.most_held, "cancel": true,
            "probes": true, "peers": true, "retry_after": true, "max_retry_after_s": MOST_RETRY_AFTER_S,
            "conn_idle_s": IDLE_S, "dial_timeout_s": DIAL_S},
        "report": {"how": "piggyback", "fields": ["x0", "x1"]},
        "rules": {"stop_sending_within_s": DRAIN_GRACE_S, "cold_share": cold(plan).0, "cold_s": cold(plan).1,
            "overload_factor": OVERLOAD_FACTOR, "tip_after_s": OVERLOAD_S,
            "settle_after_doubt_s": ORDER_REST_S},
    })
}

/// One figure holds for all destinations: the coldest of them.
fn cold(plan: &Plan) -> (f64, f64) {
    let shares = plan.destinations.iter().map(|destination| destination.cold_share);
    let spans = plan.destinations.iter().map(|destination| destination.cold_s);
    (shares.fold(1.0, f64::min), spans.fold(0.0, f64::max))
}

#[cfg(test)]
mod tests {
    use std::path::Path;

    use super::*;

    /// Danger: relays refuse a file that the rig writes, and every day fails at its start.
    #[test]
    fn a_relay_can_read_what_it_is_told() {
        let plan = Plan::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/days/calm.toml")));
        let plan = plan.expect("a day");
        let text = settings(&plan, 3).to_string();
        let deployment = pewterseam_settings::parse(text.as_bytes()).expect("settings");
        assert_eq!((deployment.settings.me, deployment.settings.senders), (3, plan.fleet.relays));
        assert_eq!(deployment.settings.classes.len(), plan.load.classes.len());
    }
}
