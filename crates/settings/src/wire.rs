//! The settings object as it stands in JSON; unknown keys are ignored. Times are in seconds.

use serde::Deserialize;

#[derive(Deserialize)]
pub struct Wire {
    pub me: u16,
    pub group_size: u16,
    pub classes: Vec<WireClass>,
    #[serde(default)]
    pub tenants: Vec<WireTenant>,
    #[serde(default = "one")]
    pub over_share_worth: f64,
    pub family_info: FamilyInfo,
    pub models: Vec<String>,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub report: WireReport,
    pub allowed: Allowed,
    #[serde(default)]
    pub weights: String,
    pub membership_mode: String,
    pub rules: Rules,
}

#[derive(Deserialize, Default)]
pub struct WireReport {
    #[serde(default)]
    pub fields: Vec<String>,
    #[serde(default)]
    pub how: String,
}

#[derive(Deserialize)]
pub struct WireClass {
    #[serde(default)]
    pub name: String,
    pub effect: String,
    #[serde(default)]
    pub group: String,
    #[serde(default)]
    pub window_s: f64,
    pub value: f64,
    #[serde(default)]
    pub late_share: f64,
    pub goal_time_s: f64,
    pub deadline_s: f64,
    #[serde(default)]
    pub in_order: bool,
}

#[derive(Deserialize)]
pub struct WireTenant {
    #[serde(default)]
    pub name: String,
    pub quota_per_s: f64,
}

#[derive(Deserialize)]
pub struct FamilyInfo {
    pub slots: usize,
    #[serde(default)]
    pub late: String,
    #[serde(default)]
    pub routes_apart: Vec<bool>,
    #[serde(default)]
    pub bundle_max: Vec<usize>,
    #[serde(default)]
    pub zone_fee: Vec<f64>,
}

#[derive(Deserialize)]
pub struct Allowed {
    pub attempts_cap: u32,
    pub most_held: usize,
    #[serde(default)]
    pub peers: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_s: f64,
    pub conn_idle_s: f64,
    #[serde(default = "one")]
    pub dial_timeout_s: f64,
}

#[derive(Deserialize)]
pub struct Rules {
    pub stop_sending_within_s: f64,
    pub cold_share: f64,
    pub cold_s: f64,
    pub overload_factor: f64,
    pub tip_after_s: f64,
    #[serde(default)]
    pub settle_after_doubt_s: f64,
    #[serde(default)]
    pub ask_within_s: f64,
}

fn one() -> f64 {
    1.0
}
