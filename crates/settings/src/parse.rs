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
    #[serde(default)]
    zone_fee: Vec<f64>,
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
    let (kinds, zones) = (wire.models.len().max(1), wire.zones.len().max(1));
    // The simulator's check names kinds that no host is of; entries for more kinds are let pass.
    one_each("family_info.routes_apart", info.routes_apart.len().min(kinds), kinds, "kind")?;
    one_each("family_info.bundle_max", info.bundle_max.len().min(kinds), kinds, "kind")?;
    one_each("family_info.zone_fee", info.zone_fee.len(), zones, "zone")?;
    if let Some(fee) = info.zone_fee.iter().find(|fee| !(fee.is_finite() && **fee >= 0.0)) {
        return Err(Malformed(format!("family_info.zone_fee: {fee} is no fee")));
    }
    let kinds = (0..wire.models.len().max(1))
        .map(|kind| Kind {
            routes_apart: at_or_last(&info.routes_apart, kind).unwrap_or(false),
            bundle: at_or_last(&info.bundle_max, kind).unwrap_or(1).max(1),
        })
        .collect();
    let retry_after = if wire.allowed.retry_after { wire.allowed.max_retry_after_s } else { 0.0 };
    Ok(Settings {
        me: wire.me,
        senders: wire.group_size.max(1),
        classes: wire.classes.iter().map(class).collect::<Result<_, _>>()?,
        kinds,
        tenants: wire.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
        over_share_worth: wire.over_share_worth,
        lateness: match info.late.as_str() {
            "linear" | "" => Lateness::Linear,
            "halving" => Lateness::Halving,
            other => return Err(Malformed(format!("family_info.late: unknown word '{other}'"))),
        },
        slots: info.slots,
        most_held: wire.allowed.most_held,
        max_attempts: match wire.allowed.attempts_cap {
            0 => return Err(Malformed("allowed.attempts_cap must be above 0".to_owned())),
            cap => cap,
        },
        may_tell: wire.allowed.peers,
        max_retry_after: span(retry_after)?,
        idle_close: span(wire.allowed.conn_idle_s)?,
        connect_timeout: span(wire.allowed.dial_timeout_s)?,
        ends_by_notice: false,
        listing: match wire.weights.as_str() {
            "nominal" => Listing::Nominal,
            "rough" => Listing::Rough,
            // What is live follows the load, and tells nothing of a limit.
            "silent" | "live" | "" => Listing::Silent,
            other => return Err(Malformed(format!("weights: unknown word '{other}'"))),
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
    let group = || match wire.group.as_str() {
        "all" | "" => Ok(Group::All),
        "zone" | "cell" => Ok(Group::Zone),
        other => Err(Malformed(format!("class '{}': unknown group '{other}'", wire.name))),
    };
    let effect = match wire.effect.as_str() {
        "free" => Effect::Free,
        "guarded" => Effect::Guarded { window: span(wire.window_s)?, group: group()? },
        "single_shot" => Effect::SingleShot,
        other => return Err(Malformed(format!("unknown effect '{other}'"))),
    };
    let (aim, deadline) = (span(wire.goal_time_s)?, span(wire.deadline_s)?);
    if deadline == 0 {
        return Err(Malformed(format!("class '{}': deadline_s must be above 0", wire.name)));
    }
    if aim > deadline {
        return Err(Malformed(format!("class '{}' aims beyond its deadline", wire.name)));
    }
    if !(0.0..=1.0).contains(&wire.late_share) {
        return Err(Malformed(format!(
            "class '{}': {} is no share of its worth",
            wire.name, wire.late_share
        )));
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

/// A list has one entry for each, one for all, or none where the default holds.
fn one_each(key: &str, length: usize, count: usize, each: &str) -> Result<(), Malformed> {
    if length <= 1 || length == count {
        return Ok(());
    }
    Err(Malformed(format!("{key}: {length} entries, one for each {each} ({count}) are needed")))
}

fn at_or_last<T: Copy>(list: &[T], index: usize) -> Option<T> {
    list.get(index).or(list.last()).copied()
}

fn span(seconds: f64) -> Result<Micros, Malformed> {
    micros(seconds).ok_or_else(|| Malformed(format!("{seconds} is no span of time")))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn wire() -> Value {
        json!({"me": 0, "group_size": 1, "membership_mode": "push", "models": ["large", "medium", "small"],
            "zones": ["a", "b", "c"],
            "classes": [{"effect": "guarded", "window_s": 4.0, "value": 1.0, "goal_time_s": 1.0, "deadline_s": 9.0}],
            "family_info": {"slots": 1}, "allowed": {"attempts_cap": 1, "most_held": 1, "conn_idle_s": 1},
            "rules": {"stop_sending_within_s": 0.25, "cold_share": 1, "cold_s": 1, "overload_factor": 1,
                "tip_after_s": 1}})
    }

    fn read(change: impl Fn(&mut Value)) -> Result<Settings, String> {
        let mut wire = wire();
        change(&mut wire);
        let read = parse(wire.to_string().as_bytes());
        read.map(|deployment| deployment.settings).map_err(|error| error.to_string())
    }

    #[test]
    fn a_deadline_or_attempts_not_over_0_are_refused() {
        let deadline = read(|wire| wire["classes"][0]["deadline_s"] = json!(0.0)).expect_err("refused");
        assert!(deadline.contains("deadline_s must be above 0"), "{deadline}");
        let goal = |wire: &mut Value| wire["classes"][0]["goal_time_s"] = json!(0.0);
        assert!(read(|wire| (goal(wire), wire["classes"][0]["deadline_s"] = json!(-1.0)).1).is_err());
        let attempts = read(|wire| wire["allowed"]["attempts_cap"] = json!(0)).expect_err("refused");
        assert!(attempts.contains("attempts_cap must be above 0"), "{attempts}");
    }

    #[test]
    fn what_is_missing_has_its_default() {
        let settings = read(|_| {}).expect("settings");
        assert_eq!((settings.lateness, settings.listing), (Lateness::Linear, Listing::Silent));
        assert!(settings.kinds.iter().all(|kind| !kind.routes_apart && kind.bundle == 1));
        assert!(!settings.classes[0].is_zoned() && settings.order_rest == 0);
    }

    #[test]
    fn what_is_set_is_read() {
        let settings = read(|wire| {
            wire["family_info"] = json!({"slots": 1, "late": "halving", "routes_apart": [false, true, true, false],
                "bundle_max": [20], "zone_fee": [0.01, 0.04, 0.04]});
            wire["classes"][0]["group"] = json!("zone");
            wire["weights"] = json!("rough");
        });
        let settings = settings.expect("settings");
        assert_eq!((settings.lateness, settings.listing), (Lateness::Halving, Listing::Rough));
        assert_eq!(
            settings.kinds.iter().map(|kind| kind.routes_apart).collect::<Vec<_>>(),
            [false, true, true]
        );
        assert!(settings.kinds.iter().all(|kind| kind.bundle == 20) && settings.classes[0].is_zoned());
    }

    #[test]
    fn bad_values_are_named_in_one_line() {
        let cases = [
            ("/family_info/late", json!("halvng"), "late"),
            ("/family_info/late", json!(3), "string"),
            ("/family_info/routes_apart", json!([true, false]), "routes_apart"),
            ("/family_info/routes_apart", json!([1]), "boolean"),
            ("/family_info/bundle_max", json!([1, 2]), "bundle_max"),
            ("/family_info/bundle_max", json!([-1]), "-1"),
            ("/family_info/zone_fee", json!([0.1, 0.2]), "zone_fee"),
            ("/family_info/zone_fee", json!([0.1, 0.2, 0.3, 0.4]), "zone_fee"),
            ("/family_info/zone_fee", json!([0.1, -0.2, 0.3]), "zone_fee"),
            ("/family_info/zone_fee", json!(["much"]), "string"),
            ("/classes/0/group", json!("zones"), "group"),
            ("/classes/0/late_share", json!(-0.5), "share"),
            ("/weights", json!("exact"), "weights"),
            ("/rules/settle_after_doubt_s", json!(-0.3), "-0.3"),
        ];
        for (key, value, word) in cases {
            let (parent, name) = key.rsplit_once('/').expect("a path");
            let set = |wire: &mut Value| match wire.pointer_mut(parent) {
                Some(at) => at[name] = value.clone(),
                None => panic!("{parent} is no part of the settings"),
            };
            let text = read(set).expect_err(key);
            assert!(text.contains(word) && !text.contains('\n'), "{key}: {text}");
        }
        // Figures that no number can hold.
        let text = wire().to_string().replace("\"cold_share\":1", "\"cold_share\":1e999");
        assert!(parse(text.as_bytes()).is_err());
        assert!(parse(wire().to_string().replace("0.25", "NaN").as_bytes()).is_err());
    }
}
