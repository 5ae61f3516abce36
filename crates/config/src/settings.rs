//! The settings file of a process.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use toml::{Table, Value};

/// The variable that holds the file's path.
pub const PATH_VARIABLE: &str = "PEWTERSEAM_NODE_FILE";

const DEFAULT_HEARTBEAT_MS: u64 = 1_200;
const DEFAULT_MEMORY_MB: f64 = 160.0;
const DEFAULT_FILES: u64 = 1_024;
const DEFAULT_RATE_PER_S: f64 = 10.0;

/// What is wrong with one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The text is no TOML.
    Unreadable(String),
    Missing {
        key: String,
    },
    /// The value has another type, or is out of range.
    Wrong {
        key: String,
        wanted: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(reason) => write!(f, "the settings cannot be read: {reason}"),
            SettingsError::Missing { key } => write!(f, "{key} is missing"),
            SettingsError::Wrong { key, wanted } => write!(f, "{key} is not {wanted}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Where a process listens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BindAddresses {
    pub front: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    pub cpu_share: f64,
    pub cores: u64,
    pub memory_mb: f64,
    pub max_files: u64,
    pub link_mbps: f64,
    pub disk_mb: f64,
}

/// What may be lost at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    pub machines: u16,
    pub zones: u16,
    pub regions: u16,
}

/// The platform's list of hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloudApi {
    pub address: SocketAddr,
    pub rate_per_s: f64,
    pub lag_ms: u64,
}

/// The figures of the rules. Those that the file lacks have a default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bounds(BTreeMap<String, f64>);

macro_rules! bounds {
    ($($(#[$doc:meta])* $method:ident: $key:literal, $unit:ident, $default:literal;)*) => {
        impl Bounds {
            $($(#[$doc])* pub fn $method(&self) -> Duration {
                duration(self.number($key, $default), bounds!(@$unit))
            })*
        }
    };
    (@ms) => { 0.001 };
    (@s) => { 1.0 };
}

bounds! {
    seed_lag: "seedLagS", s, 3.0;
    address_reuse: "addrReuseS", s, 2.0;
    contact: "contactMs", ms, 4_000.0;
    acknowledge: "ackMs", ms, 5_000.0;
    catch_up: "catchUpS", s, 4.4;
    drain: "drainMs", ms, 3_000.0;
    grace: "graceS", s, 6.0;
    loss_slack: "lossSlackMs", ms, 200.0;
    config_apply: "configApplyMs", ms, 3_000.0;
    downgrade_slack: "downgradeSlackMs", ms, 250.0;
    max_skew: "maxSkewMs", ms, 12_000.0;
    recovery: "recoveryS", s, 12.0;
    completion: "completionS", s, 10.0;
    status_ttl: "statusTtlS", s, 120.0;
    callback_timeout: "callbackTimeoutS", s, 5.0;
    visibility: "visibilityMs", ms, 3_000.0;
    early_slack: "earlySlackMs", ms, 100.0;
    origin_window: "originWindowS", s, 5.0;
}

impl Bounds {
    /// A figure by its key.
    pub fn number(&self, key: &str, default: f64) -> f64 {
        self.0.get(key).copied().unwrap_or(default)
    }

    /// The factor by which a service's rate may be passed over a window.
    pub fn origin_overshoot(&self) -> f64 {
        self.number("originOvershoot", 1.1)
    }
}

fn duration(number: f64, unit: f64) -> Duration {
    Duration::try_from_secs_f64(number * unit).unwrap_or(Duration::ZERO)
}

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node_name: String,
    pub role: String,
    pub serves: Vec<String>,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    /// The first and the last port that processes of the system may use among themselves.
    pub port_range: (u16, u16),
    /// `control` addresses of some machines.
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    pub counts_for_quorum: bool,
    pub data_dir: Option<PathBuf>,
    pub heartbeat_ms: u64,
    pub contracts: Vec<String>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    pub bind: BindAddresses,
    pub limits: ResourceLimits,
    pub fault_tolerance: FaultTolerance,
    /// Copies of a message go to different zones also where `faultTolerance` asks for no zone to be borne.
    pub spread_copies: bool,
    pub bounds: Bounds,
    pub cloud_api: Option<CloudApi>,
}

impl Settings {
    /// Reads a settings file. All that is wrong is told; unknown keys are ignored.
    pub fn read(text: &str) -> Result<Self, Vec<SettingsError>> {
        let table: Table = text
            .parse()
            .map_err(|error: toml::de::Error| vec![SettingsError::Unreadable(error.message().to_owned())])?;
        let mut reader = Reader { errors: Vec::new() };
        let settings = reader.settings(&table);
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(reader.errors),
        }
    }
}

/// Reads values and gathers what is wrong with them.
struct Reader {
    errors: Vec<SettingsError>,
}

impl Reader {
    fn settings(&mut self, table: &Table) -> Option<Settings> {
        let node_name = self.required(table, "nodeName", "a text", as_text);
        let ip = self.required(table, "ip", "an IP address", as_parsed::<IpAddr>);
        let zone = self.required(table, "zone", "a text", as_text);
        let port_range = self.required(table, "portRange", "two ports", as_port_range);
        let zones = self.optional(table, "zones", "a table of texts", as_texts).unwrap_or_default();
        let named_region = self.optional(table, "region", "a text", as_text);
        let settings = Settings {
            role: self.optional(table, "role", "a text", as_text).unwrap_or_default(),
            serves: self.optional(table, "serves", "a list of texts", as_list::<String>).unwrap_or_default(),
            seeds: self
                .optional(table, "seeds", "a list of addresses", as_list::<SocketAddr>)
                .unwrap_or_default(),
            bootstrap: self.optional(table, "bootstrap", "true or false", as_bool).unwrap_or(false),
            counts_for_quorum: self
                .optional(table, "countsForQuorum", "true or false", as_bool)
                .unwrap_or(false),
            data_dir: self
                .optional(table, "dataDir", "a path", as_text)
                .filter(|path| !path.is_empty())
                .map(Into::into),
            heartbeat_ms: self
                .optional(table, "heartbeatMs", "a number", as_u64)
                .unwrap_or(DEFAULT_HEARTBEAT_MS),
            contracts: self
                .optional(table, "contracts", "a list of texts", as_list::<String>)
                .unwrap_or_default(),
            bind: self.bind(table),
            limits: self.limits(table),
            fault_tolerance: self.fault_tolerance(table),
            spread_copies: self.optional(table, "spreadCopies", "true or false", as_bool).unwrap_or(false),
            bounds: Bounds(
                self.optional(table, "bounds", "a table of numbers", as_numbers).unwrap_or_default(),
            ),
            cloud_api: self.cloud_api(table),
            node_name: node_name?,
            ip: ip?,
            region: named_region.or_else(|| zones.get(zone.as_ref()?).cloned()).unwrap_or_default(),
            zone: zone?,
            port_range: port_range?,
            zones,
        };
        Some(settings)
    }

    fn bind(&mut self, table: &Table) -> BindAddresses {
        let part = self.table(table, "bindAddrs");
        BindAddresses {
            front: self.optional(&part, "front", "an address", as_parsed),
            readiness: self.optional(&part, "readiness", "an address", as_parsed),
            control: self.optional(&part, "control", "an address", as_parsed),
        }
    }

    fn limits(&mut self, table: &Table) -> ResourceLimits {
        let part = self.table(table, "limits");
        ResourceLimits {
            cpu_share: self.optional(&part, "cpuShare", "a number", as_number).unwrap_or(1.0),
            cores: self.optional(&part, "cores", "a number", as_u64).unwrap_or(1),
            memory_mb: self.optional(&part, "memoryMb", "a number", as_number).unwrap_or(DEFAULT_MEMORY_MB),
            max_files: self.optional(&part, "maxFds", "a number", as_u64).unwrap_or(DEFAULT_FILES),
            link_mbps: self.optional(&part, "linkMbps", "a number", as_number).unwrap_or(100.0),
            disk_mb: self.optional(&part, "diskMb", "a number", as_number).unwrap_or(0.0),
        }
    }

    fn fault_tolerance(&mut self, table: &Table) -> FaultTolerance {
        let part = self.table(table, "faultTolerance");
        FaultTolerance {
            machines: self.optional(&part, "machines", "a small number", as_u16).unwrap_or(0),
            zones: self.optional(&part, "zones", "a small number", as_u16).unwrap_or(0),
            regions: self.optional(&part, "regions", "a small number", as_u16).unwrap_or(0),
        }
    }

    fn cloud_api(&mut self, table: &Table) -> Option<CloudApi> {
        let part = self.table(table, "cloudApi");
        let address = self.optional(&part, "address", "an address", as_parsed)?;
        let rate_per_s =
            self.optional(&part, "ratePerS", "a number", as_number).unwrap_or(DEFAULT_RATE_PER_S);
        let lag_ms = self.optional(&part, "lagMs", "a number", as_u64).unwrap_or(0);
        Some(CloudApi { address, rate_per_s, lag_ms })
    }

    fn table(&mut self, table: &Table, key: &str) -> Table {
        self.optional(table, key, "a table", |value| value.as_table().cloned()).unwrap_or_default()
    }

    fn required<T>(
        &mut self, table: &Table, key: &str, wanted: &'static str, read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        if !table.contains_key(key) {
            self.errors.push(SettingsError::Missing { key: key.to_owned() });
        }
        self.optional(table, key, wanted, read)
    }

    fn optional<T>(
        &mut self, table: &Table, key: &str, wanted: &'static str, read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = table.get(key)?;
        let read = read(value);
        if read.is_none() {
            self.errors.push(SettingsError::Wrong { key: key.to_owned(), wanted });
        }
        read
    }
}

fn as_text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

fn as_parsed<T: std::str::FromStr>(value: &Value) -> Option<T> {
    value.as_str()?.parse().ok()
}

fn as_bool(value: &Value) -> Option<bool> {
    value.as_bool()
}

fn as_u64(value: &Value) -> Option<u64> {
    let number = as_number(value)?;
    (number >= 0.0).then_some(number as u64)
}

fn as_u16(value: &Value) -> Option<u16> {
    u16::try_from(value.as_integer()?).ok()
}

fn as_number(value: &Value) -> Option<f64> {
    let number = value.as_float().or_else(|| value.as_integer().map(|number| number as f64))?;
    number.is_finite().then_some(number)
}

fn as_list<T: std::str::FromStr>(value: &Value) -> Option<Vec<T>> {
    value.as_array()?.iter().map(as_parsed).collect()
}

fn as_port_range(value: &Value) -> Option<(u16, u16)> {
    match value.as_array()?.as_slice() {
        [first, last] => Some((as_u16(first)?, as_u16(last)?)).filter(|(first, last)| first <= last),
        _ => None,
    }
}

fn as_texts(value: &Value) -> Option<BTreeMap<String, String>> {
    value.as_table()?.iter().map(|(key, value)| Some((key.clone(), as_text(value)?))).collect()
}

/// The numbers of a table. Other values are left out: true and false stand for 1 and 0.
fn as_numbers(value: &Value) -> Option<BTreeMap<String, f64>> {
    let number =
        |value: &Value| as_number(value).or_else(|| value.as_bool().map(|yes| f64::from(u8::from(yes))));
    let table = value.as_table()?;
    Some(table.iter().filter_map(|(key, value)| Some((key.clone(), number(value)?))).collect())
}
