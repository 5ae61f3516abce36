//! The settings that relays of a plan's day are given, and what differs from their words on sockets.

use pewterseam_settings::{Deployment, Malformed, parse};
use serde_json::{Value, json};

use crate::judge::Figures;
use crate::plan::{ClassPlan, Plan};

/// The one kind of destination.
pub(super) const KIND: &str = "partner";

/// A key rests so long after an attempt that may still run, in seconds.
const SETTLE_S: f64 = 0.5;
/// Longest time for which clients are told to stay away, in seconds.
const MOST_RETRY_AFTER_S: f64 = 3.0;
/// Hosts close what is idle for so long, in seconds.
const IDLE_S: f64 = 15.0;
/// A connection that takes longer to open counts as failed, in seconds.
const DIAL_S: f64 = 1.0;

/// The settings object of a plan, for the relay of number 0.
fn object(plan: &Plan, figures: &Figures) -> Value {
    let zones: Vec<&str> = plan.fleet.zones.iter().map(|zone| zone.name.as_str()).collect();
    let least = |value: fn(&crate::plan::DestinationPlan) -> f64| {
        plan.destinations.iter().map(value).fold(f64::INFINITY, f64::min)
    };
    let cold_s = plan.destinations.iter().map(|destination| destination.cold_s).fold(0.0, f64::max);
    json!({
        "me": 0, "group_size": plan.fleet.relays, "membership_mode": "push", "weights": "nominal",
        "models": [KIND], "zones": zones,
        "classes": plan.load.classes.iter().map(ClassPlan::settings).collect::<Vec<_>>(),
        "family_info": {"slots": plan.fleet.slots, "late": "linear", "routes_apart": [false],
            "bundle_max": [1]},
        "allowed": {"attempts_cap": plan.fleet.max_attempts, "most_held": plan.fleet.most_held,
            "cancel": true, "probes": true, "peers": true, "retry_after": true,
            "max_retry_after_s": MOST_RETRY_AFTER_S, "conn_idle_s": IDLE_S, "dial_timeout_s": DIAL_S},
        "report": {"how": "piggyback", "fields": ["x0", "x1"]},
        "rules": {"stop_sending_within_s": figures.drain_grace as f64 / 1e6,
            "cold_share": least(|destination| destination.cold_share), "cold_s": cold_s,
            "overload_factor": figures.overload_factor, "tip_after_s": figures.overload_window as f64 / 1e6,
            "settle_after_doubt_s": SETTLE_S},
    })
}

/// Reads the settings as a relay does, and takes them as a relay on sockets takes them: the list is asked
/// for, an end other than delivery goes by a notice, and a call carries one message.
pub(super) fn deployment(plan: &Plan, figures: &Figures) -> Result<Deployment, Malformed> {
    let mut deployment = parse(object(plan, figures).to_string().as_bytes())?;
    let settings = &mut deployment.settings;
    settings.polls_registry = true;
    settings.max_poll_pause = 0;
    settings.ends_by_notice = true;
    Ok(deployment)
}
