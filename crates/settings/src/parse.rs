//! The settings object: JSON, of which unknown keys are ignored.

use std::fmt;

use pewterseam::interface::{Class, Effect, Group, Kind, Lateness, Listing, Micros, Settings, Tenant};
use serde::Deserialize;

use crate::time::micros;

/// What is wrong with the settings.
#[derive(Debug)]
pub struct Malformed(String);

impl Malformed {
    /// `text` is one plain line.
    pub fn new(text: impl Into<String>) -> Self {
        Malformed(text.into())
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// The settings and the names that wires use for what is numbered in them.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// Values of a load report, in order.
    pub report: Vec<String>,
    /// Reports come with the results of probes only.
    pub report_by_probe: bool,
}

#[derive(Deserialize)]
struct Wire {
    me: u16,
    #[serde(default)]
    my_zone: u16,
    group_size: u16,
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default = "one")]
    over_share_worth: f64,
    family_info: FamilyInfo,
    models: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    report: WireReport,
    allowed: Allowed,
    #[serde(default)]
    weights: String,
    membership_mode: String,
    rules: Rules,
}

#[derive(Deserialize, Default)]
struct WireReport {
    #[serde(default)]
    fields: Vec<String>,
    #[serde(default)]
    how: String,
}

#[derive(Deserialize)]
struct WireClass {
    #[serde(default)]
    name: String,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_s: f64,
    value: f64,
    #[serde(default)]
    late_share: f64,
    goal_time_s: f64,
    deadline_s: f64,
    #[serde(default)]
    in_order: bool,
}

#[derive(Deserialize)]
struct WireTenant {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct FamilyInfo {
    slots: usize,
    #[serde(default)]
    late: String,
    #[serde(default)]
    routes_apart: Vec<bool>,
    #[serde(default)]
    bundle_max: Vec<usize>,
}

#[derive(Deserialize)]
struct Allowed {
    attempts_cap: u32,
    most_held: usize,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_s: f64,
    conn_idle_s: f64,
    #[serde(default = "one")]
    dial_timeout_s: f64,
}

#[derive(Deserialize)]
struct Rules {
    stop_sending_within_s: f64,
    cold_share: f64,
    cold_s: f64,
    overload_factor: f64,
    tip_after_s: f64,
    #[serde(default)]
    settle_after_doubt_s: f64,
    #[serde(default)]
    ask_within_s: f64,
}

fn one() -> f64 {
    1.0
}

/// Reads the settings of one sender.
pub fn parse(text: &[u8]) -> Result<Deployment, Malformed> {
    let wire: Wire = serde_json::from_slice(text).map_err(|error| Malformed(error.to_string()))?;
    let settings = settings(&wire)?;
    Ok(Deployment {
        settings,
        classes: wire.classes.into_iter().map(|class| class.name).collect(),
        tenants: wire.tenants.into_iter().map(|tenant| tenant.name).collect(),
        kinds: wire.models,
        zones: wire.zones,
        report: wire.report.fields,
        report_by_probe: wire.report.how == "pull",
    })
}

fn settings(wire: &Wire) -> Result<Settings, Malformed> {
    let info = &wire.family_info;
    let kinds = (0..wire.models.len().max(1))
        .map(|kind| Kind {
            routes_apart: at_or_last(&info.routes_apart, kind).unwrap_or(false),
            bundle: at_or_last(&info.bundle_max, kind).unwrap_or(1).max(1),
        })
        .collect();
    let retry_after = if wire.allowed.retry_after { wire.allowed.max_retry_after_s } else { 0.0 };
    Ok(Settings {
        me: wire.me,
        zone: wire.my_zone,
        senders: wire.group_size.max(1),
        classes: wire.classes.iter().map(class).collect::<Result<_, _>>()?,
        kinds,
        tenants: wire.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
        over_share_worth: wire.over_share_worth,
        lateness: if info.late == "halving" { Lateness::Halving } else { Lateness::Linear },
        slots: info.slots,
        most_held: wire.allowed.most_held,
        max_attempts: wire.allowed.attempts_cap,
        may_tell: wire.allowed.peers,
        max_retry_after: span(retry_after)?,
        idle_close: span(wire.allowed.conn_idle_s)?,
        connect_timeout: span(wire.allowed.dial_timeout_s)?,
        ends_by_notice: false,
        listing: match wire.weights.as_str() {
            "nominal" => Listing::Nominal,
            "rough" => Listing::Rough,
            _ => Listing::Silent,
        },
        ask_registry: wire.membership_mode == "ask",
        ask_within: span(wire.rules.ask_within_s)?,
        drain_grace: span(wire.rules.stop_sending_within_s)?,
        cold_share: wire.rules.cold_share,
        cold_time: span(wire.rules.cold_s)?,
        overload_factor: wire.rules.overload_factor,
        overload_window: span(wire.rules.tip_after_s)?,
        order_rest: span(wire.rules.settle_after_doubt_s)?,
    })
}

fn class(wire: &WireClass) -> Result<Class, Malformed> {
    let group = if matches!(wire.group.as_str(), "zone" | "cell") { Group::Zone } else { Group::All };
    let effect = match wire.effect.as_str() {
        "free" => Effect::Free,
        "guarded" => Effect::Guarded { window: span(wire.window_s)?, group },
        "single_shot" => Effect::SingleShot,
        other => return Err(Malformed(format!("unknown effect '{other}'"))),
    };
    let (aim, deadline) = (span(wire.goal_time_s)?, span(wire.deadline_s)?);
    if aim > deadline {
        return Err(Malformed(format!("class '{}' aims beyond its deadline", wire.name)));
    }
    Ok(Class {
        effect,
        value: wire.value,
        late_share: wire.late_share,
        aim,
        deadline,
        in_order: wire.in_order,
    })
}

fn at_or_last<T: Copy>(list: &[T], index: usize) -> Option<T> {
    list.get(index).or(list.last()).copied()
}

fn span(seconds: f64) -> Result<Micros, Malformed> {
    micros(seconds).ok_or_else(|| Malformed(format!("{seconds} is no span of time")))
}
