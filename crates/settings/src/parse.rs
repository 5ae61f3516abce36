//! From the settings object to settings.

use pewterseam::interface::{
    Class, Effect, Group, Kind, Micros, Settings, Tenant, ValueDecay, WeightMeaning,
};

use crate::malformed::Malformed;
use crate::time::micros;
use crate::wire::{Wire, WireClass};

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

/// Reads the settings of one sender.
pub fn parse(text: &[u8]) -> Result<Deployment, Malformed> {
    let wire: Wire = serde_json::from_slice(text).map_err(Malformed::Form)?;
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
        return Err(Malformed::Fee { fee: *fee });
    }
    let kinds = (0..wire.models.len().max(1))
        .map(|kind| Kind {
            limit_per_host: at_or_last(&info.routes_apart, kind).unwrap_or(false),
            max_bundle: at_or_last(&info.bundle_max, kind).unwrap_or(1).max(1),
        })
        .collect();
    let retry_after = if wire.allowed.retry_after { wire.allowed.max_retry_after_s } else { 0.0 };
    Ok(Settings {
        me: wire.me,
        senders: wire.group_size.max(1),
        classes: wire.classes.iter().map(class).collect::<Result<_, _>>()?,
        kinds,
        tenants: wire.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
        over_quota_value: wire.over_share_worth,
        value_decay: match info.late.as_str() {
            "linear" | "" => ValueDecay::Linear,
            "halving" => ValueDecay::Halving,
            other => return Err(unknown("family_info.late", other, &["linear", "halving"])),
        },
        slots: info.slots,
        max_held: wire.allowed.most_held,
        max_attempts: match wire.allowed.attempts_cap {
            0 => return Err(Malformed::Zero { key: "allowed.attempts_cap".to_owned() }),
            cap => cap,
        },
        may_message_peers: wire.allowed.peers,
        max_retry_after: span("allowed.max_retry_after_s", retry_after)?,
        idle_close: span("allowed.conn_idle_s", wire.allowed.conn_idle_s)?,
        connect_timeout: span("allowed.dial_timeout_s", wire.allowed.dial_timeout_s)?,
        ends_by_notice: false,
        weight_meaning: match wire.weights.as_str() {
            "nominal" => WeightMeaning::ExactRate,
            "rough" => WeightMeaning::ApproximateRate,
            // What is live follows the load, and tells nothing of a limit.
            "silent" | "live" | "" => WeightMeaning::Ignored,
            other => return Err(unknown("weights", other, &["silent", "nominal", "rough", "live"])),
        },
        polls_registry: wire.membership_mode == "ask",
        max_poll_pause: span("rules.ask_within_s", wire.rules.ask_within_s)?,
        drain_grace: span("rules.stop_sending_within_s", wire.rules.stop_sending_within_s)?,
        cold_share: wire.rules.cold_share,
        cold_time: span("rules.cold_s", wire.rules.cold_s)?,
        overload_factor: wire.rules.overload_factor,
        overload_window: span("rules.tip_after_s", wire.rules.tip_after_s)?,
        order_cooldown: span("rules.settle_after_doubt_s", wire.rules.settle_after_doubt_s)?,
    })
}

fn class(wire: &WireClass) -> Result<Class, Malformed> {
    let key = |key: &str| format!("class {:?}: {key}", wire.name);
    let group = || match wire.group.as_str() {
        "all" | "" => Ok(Group::All),
        "zone" | "cell" => Ok(Group::Zone),
        other => Err(unknown(key("group"), other, &["all", "zone"])),
    };
    let effect = match wire.effect.as_str() {
        "free" => Effect::Free,
        "guarded" => Effect::Guarded { window: span(key("window_s"), wire.window_s)?, group: group()? },
        "single_shot" => Effect::SingleShot,
        other => return Err(unknown(key("effect"), other, &["free", "guarded", "single_shot"])),
    };
    let aim = span(key("goal_time_s"), wire.goal_time_s)?;
    let deadline = span(key("deadline_s"), wire.deadline_s)?;
    if deadline == 0 {
        return Err(Malformed::Zero { key: key("deadline_s") });
    }
    if aim > deadline {
        return Err(Malformed::Aim { class: wire.name.clone() });
    }
    if !(0.0..=1.0).contains(&wire.late_share) {
        return Err(Malformed::Share { class: wire.name.clone(), share: wire.late_share });
    }
    Ok(Class {
        effect,
        value: wire.value,
        late_share: wire.late_share,
        target_latency: aim,
        deadline,
        in_order: wire.in_order,
    })
}

/// A list has one entry for each, one for all, or none where the default holds.
fn one_each(key: &'static str, found: usize, needed: usize, each: &'static str) -> Result<(), Malformed> {
    if found <= 1 || found == needed {
        return Ok(());
    }
    Err(Malformed::Entries { key, found, each, needed })
}

fn at_or_last<T: Copy>(list: &[T], index: usize) -> Option<T> {
    list.get(index).or(list.last()).copied()
}

fn unknown(key: impl Into<String>, word: &str, known: &'static [&'static str]) -> Malformed {
    Malformed::Word { key: key.into(), word: word.to_owned(), known }
}

fn span(key: impl Into<String>, seconds: f64) -> Result<Micros, Malformed> {
    micros(seconds).ok_or_else(|| Malformed::Span { key: key.into(), seconds })
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use pewterseam_errors::Advice;
    use serde_json::{Value, json};

    use super::*;

    fn wire() -> Value {
        json!({"me": 0, "group_size": 1, "membership_mode": "push", "models": ["large", "medium", "small"],
            "zones": ["a", "b", "c"],
            "classes": [{"effect": "guarded", "window_s": 4.0, "value": 1.0, "goal_time_s": 1.0, "deadline_s": 9.0}],
            "family_info": {"slots": 1}, "allowed": {"attempts_cap": 1, "most_held": 1, "conn_idle_s": 1},
            "rules": {"stop_sending_within_s": 0.25, "cold_share": 1, "cold_s": 1, "overload_factor": 1,
                "tip_after_s": 1}})
    }

    fn read(change: impl Fn(&mut Value)) -> Result<Settings, Malformed> {
        let mut wire = wire();
        change(&mut wire);
        parse(wire.to_string().as_bytes()).map(|deployment| deployment.settings)
    }

    #[test]
    fn a_deadline_or_attempts_not_over_0_are_refused() {
        let deadline =
            read(|wire| wire["classes"][0]["deadline_s"] = json!(0.0)).expect_err("refused").to_string();
        assert!(deadline.contains("deadline_s must be above 0"), "{deadline}");
        let goal = |wire: &mut Value| wire["classes"][0]["goal_time_s"] = json!(0.0);
        assert!(read(|wire| (goal(wire), wire["classes"][0]["deadline_s"] = json!(-1.0)).1).is_err());
        let attempts =
            read(|wire| wire["allowed"]["attempts_cap"] = json!(0)).expect_err("refused").to_string();
        assert!(attempts.contains("attempts_cap must be above 0"), "{attempts}");
    }

    #[test]
    fn what_is_missing_has_its_default() {
        let settings = read(|_| {}).expect("settings");
        assert_eq!(
            (settings.value_decay, settings.weight_meaning),
            (ValueDecay::Linear, WeightMeaning::Ignored)
        );
        assert!(settings.kinds.iter().all(|kind| !kind.limit_per_host && kind.max_bundle == 1));
        assert!(!settings.classes[0].is_zoned() && settings.order_cooldown == 0);
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
        assert_eq!(
            (settings.value_decay, settings.weight_meaning),
            (ValueDecay::Halving, WeightMeaning::ApproximateRate)
        );
        assert_eq!(
            settings.kinds.iter().map(|kind| kind.limit_per_host).collect::<Vec<_>>(),
            [false, true, true]
        );
        assert!(settings.kinds.iter().all(|kind| kind.max_bundle == 20) && settings.classes[0].is_zoned());
    }

    #[test]
    fn bad_values_are_named_in_one_line_each_with_what_can_be_done() {
        let mut codes = BTreeSet::new();
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
            ("/classes/0/goal_time_s", json!(10.0), "aims"),
            ("/allowed/attempts_cap", json!(0), "attempts_cap"),
            ("/weights", json!("ex\nact"), "weights"),
            ("/rules/settle_after_doubt_s", json!(-0.3), "-0.3"),
        ];
        for (key, value, word) in cases {
            let (parent, name) = key.rsplit_once('/').expect("a path");
            let set = |wire: &mut Value| match wire.pointer_mut(parent) {
                Some(at) => at[name] = value.clone(),
                None => panic!("{parent} is no part of the settings"),
            };
            let error = read(set).expect_err(key);
            let (text, help) = (error.to_string(), error.help());
            assert!(text.contains(word) && !text.contains('\n'), "{key}: {text}");
            assert!(!help.is_empty() && !help.contains('\n'), "{key}: {help}");
            codes.insert(error.code());
        }
        assert_eq!(codes.len(), 8, "each kind of error is met: {codes:?}");
        // Figures that no number can hold.
        let text = wire().to_string().replace("\"cold_share\":1", "\"cold_share\":1e999");
        assert!(parse(text.as_bytes()).is_err());
        assert!(parse(wire().to_string().replace("0.25", "NaN").as_bytes()).is_err());
    }
}
