//! A deployment for tests.

use serde_json::{Value, json};

/// A deployment with a class of each effect and one destination kind.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, in_order: bool| {
        json!({"name": name, "effect": effect, "group": "all", "window_s": 30.0, "value": 1.0, "late_share": 0.5,
            "goal_time_s": 2.0, "deadline_s": 30.0, "in_order": in_order})
    };
    json!({
        "me": 0, "group_size": 1, "membership_mode": "push", "weights": "nominal",
        "models": ["partner"], "zones": ["a"],
        "classes": [class("balance", "free", false), class("posting", "guarded", true),
            class("transfer", "single_shot", false)],
        "tenants": [{"name": "acme", "quota_per_s": 100.0}],
        "family_info": {"slots": 8, "routes_apart": [false], "bundle_max": [1]},
        "allowed": {"attempts_cap": 12, "most_held": 50, "cancel": true, "probes": true, "peers": true,
            "retry_after": true, "max_retry_after_s": 3.0, "conn_idle_s": 15.0, "dial_timeout_s": 1.0},
        "report": {"how": "piggyback", "fields": ["x0", "x1"]},
        "rules": {"stop_sending_within_s": 1.0, "cold_share": 0.2, "cold_s": 10.0, "overload_factor": 2.5,
            "tip_after_s": 3.0},
    })
}
