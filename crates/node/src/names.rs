//! The wire's names and ids in the terms of the decisions, and back.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hasher;
use std::net::SocketAddr;

use pewterseam::interface::{
    History, HostId, Lifecycle, ListedHost, MessageId, RegistryUpdate, ReportedLimit, Request, Settings,
    WeightMeaning,
};
use pewterseam_failover::interface::ZoneHosts;
use pewterseam_settings::Deployment;
use siphasher::sip::SipHasher13;

use pewterseam_durable::message::Message;
use pewterseam_durable::record::Zone;

use crate::list::{List, State, Target};

/// The names of a deployment and the addresses of its hosts.
pub struct Names {
    deployment: Deployment,
    /// Address and zone.
    hosts: HashMap<HostId, (SocketAddr, Zone)>,
    has_list: bool,
    /// What discovery said last of each host it lists, and the names of all it ever listed.
    listed: HashMap<HostId, ListedHost>,
    ever: HashSet<String>,
    /// Under maintenance: told to the decisions as draining, whatever discovery says.
    maintained: HashSet<String>,
    /// Classes of the settings that take new messages; the others are there for what is open.
    live: Vec<bool>,
}

/// A host that no list ever named.
#[derive(Debug)]
pub struct NeverListed;

/// What a list tells.
pub struct Told {
    /// In the decisions' terms.
    pub news: RegistryUpdate,
    /// Hosts that were known and are gone.
    pub gone: Vec<HostId>,
    /// Entries of a kind that the settings don't have.
    pub unknown: usize,
}

/// The number of a name. Peers speak of hosts by it, so that it must be the same at every relay.
pub fn number(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}

impl Names {
    pub fn new(deployment: Deployment) -> Self {
        let (listed, ever, maintained) = (HashMap::new(), HashSet::new(), HashSet::new());
        let live = vec![true; deployment.classes.len()];
        Names { deployment, hosts: HashMap::new(), has_list: false, listed, ever, maintained, live }
    }

    pub fn class_names(&self) -> &[String] {
        &self.deployment.classes
    }

    /// The place of the class that new messages of that name take.
    pub fn class_number(&self, class: &str) -> Option<usize> {
        let live = |(place, name): &(usize, &String)| *name == class && self.live[*place];
        self.deployment.classes.iter().enumerate().rev().find(live).map(|(place, _)| place)
    }

    /// Takes the classes and attempts of new settings over; gives the settings for the decisions. Classes only
    /// grow: one that is new, or whose rules changed, is added at the end. Danger: a message open under the old
    /// rules of its class would be sent, or given up, under the new ones.
    pub fn retune(&mut self, new: &Deployment) -> Settings {
        self.live.fill(false);
        for (name, class) in new.classes.iter().zip(&new.settings.classes) {
            let classes = self.deployment.classes.iter().zip(&self.deployment.settings.classes);
            let same = classes.enumerate().find(|(_, (old, rules))| *old == name && *rules == class);
            match same {
                Some((place, _)) => self.live[place] = true,
                None => {
                    self.deployment.classes.push(name.clone());
                    self.deployment.settings.classes.push(class.clone());
                    self.live.push(true);
                }
            }
        }
        self.deployment.settings.max_attempts = new.settings.max_attempts;
        self.deployment.settings.clone()
    }

    /// Hosts known now.
    pub fn discovered(&self) -> usize {
        self.hosts.len()
    }

    /// Hosts known now that are under maintenance.
    pub fn ejected(&self) -> usize {
        self.maintained.iter().filter(|name| self.hosts.contains_key(&HostId(number(name)))).count()
    }

    /// The names of the hosts under maintenance, in order.
    pub fn maintained(&self) -> Vec<String> {
        let mut names: Vec<String> = self.maintained.iter().cloned().collect();
        names.sort();
        names
    }

    /// Puts a host under maintenance, or takes it back: what that changes for the decisions, if anything. `Err`
    /// where no list ever named it. Names kept from an earlier process are taken with `force`.
    pub fn maintain(
        &mut self, name: &str, under: bool, force: bool,
    ) -> Result<Option<RegistryUpdate>, NeverListed> {
        if !force && !self.ever.contains(name) {
            return Err(NeverListed);
        }
        let changed =
            if under { self.maintained.insert(name.to_owned()) } else { self.maintained.remove(name) };
        let entry = self.listed.get(&HostId(number(name))).copied().filter(|_| changed);
        Ok(entry.map(|entry| RegistryUpdate::Changes(vec![self.as_maintained(name, entry)])))
    }

    /// Danger: discovery lists a host under maintenance as ready, and calls would go to it while it restarts.
    fn as_maintained(&self, name: &str, entry: ListedHost) -> ListedHost {
        let held = self.maintained.contains(name) && entry.lifecycle == Lifecycle::Ready;
        ListedHost { lifecycle: if held { Lifecycle::Draining } else { entry.lifecycle }, ..entry }
    }

    pub fn settings(&self) -> &Settings {
        &self.deployment.settings
    }

    /// A list with hosts was told, now or before.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// The number of a host's zone, as the journal keeps it.
    pub fn zone_of(&self, host: HostId) -> Option<Zone> {
        self.hosts.get(&host).map(|(_, zone)| *zone)
    }

    /// The place in the settings of a zone that the journal tells; none where its name is not there any more.
    pub fn zone(&self, zone: Zone) -> Option<u16> {
        let place = self.deployment.zones.iter().position(|name| number(name) as Zone == zone)?;
        Some(place as u16)
    }

    /// Destination and place of the zone of a listed host.
    pub fn stands(&self, host: HostId) -> Option<(u32, u16)> {
        self.listed.get(&host).map(|listed| (listed.destination, listed.zone))
    }

    /// Ready hosts of each destination by zone, and the rate that the list says they take together.
    pub fn by_zone(&self) -> BTreeMap<u32, Vec<ZoneHosts>> {
        let ready = |listed: &&ListedHost| listed.lifecycle == Lifecycle::Ready;
        let mut all: BTreeMap<u32, BTreeMap<u16, (u32, f64)>> = BTreeMap::new();
        for listed in self.listed.values().filter(ready) {
            let zone = all.entry(listed.destination).or_default().entry(listed.zone).or_default();
            *zone = (zone.0 + 1, zone.1 + listed.weight);
        }
        let silent = self.settings().weight_meaning == WeightMeaning::Ignored;
        // A limit that hosts share stands with each of them.
        let shared = self.settings().kinds.iter().all(|kind| !kind.limit_per_host);
        let of = |zones: BTreeMap<u16, (u32, f64)>| {
            let hosts = zones.values().map(|(hosts, _)| f64::from(*hosts)).sum::<f64>();
            let zone = |(zone, (count, weight)): (u16, (u32, f64))| {
                let rate = if shared { weight / hosts } else { weight };
                ZoneHosts { zone, hosts: count, rate: Some(rate).filter(|_| !silent) }
            };
            zones.into_iter().map(zone).collect()
        };
        all.into_iter().map(|(destination, zones)| (destination, of(zones))).collect()
    }

    /// Ready hosts of a destination in a zone, in order.
    pub fn in_zone(&self, destination: u32, zone: u16) -> Vec<HostId> {
        let there = |listed: &&ListedHost| {
            listed.destination == destination && listed.zone == zone && listed.lifecycle == Lifecycle::Ready
        };
        let mut hosts: Vec<HostId> = self.listed.values().filter(there).map(|listed| listed.host).collect();
        hosts.sort();
        hosts
    }

    /// Whether a class's repeats are dropped in one zone only.
    pub fn is_zoned(&self, class: &str) -> bool {
        self.class_number(class).is_some_and(|class| self.settings().classes[class].is_zoned())
    }

    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.get(&host).map(|(address, _)| *address)
    }

    /// Where a probe goes: to the report, where it comes with probes only.
    pub fn probe_path(&self) -> &'static str {
        if self.deployment.report_by_probe { "/_load" } else { "/ping" }
    }

    /// A new message in the decisions' terms; else what of it is not known.
    pub fn request(&self, id: MessageId, message: &Message) -> Result<Request, &'static str> {
        let class = self.class_number(&message.class).ok_or("the class is not known")?;
        let tenant = match self.deployment.tenants.as_slice() {
            [] => 0,
            tenants => position(tenants, &message.tenant).ok_or("the tenant is not known")?,
        };
        let (destination, deadline) = (message.destination, message.deadline);
        let key = message.key.as_deref().map(number);
        Ok(Request { id, class, destination, tenant, key, deadline, history: History::default() })
    }

    /// What a load report tells of a limit: its second value is the rate in calls a second, 0 where there is none,
    /// and its first the share that is left.
    pub fn limit(&self, report: Option<&str>) -> Option<ReportedLimit> {
        let value = |index: usize| -> Option<f64> {
            let name = self.deployment.report.get(index)?;
            let values = report?.split(',').filter_map(|part| part.trim().split_once('='));
            values.filter(|(key, _)| key == name).find_map(|(_, value)| value.parse().ok())
        };
        let rate = value(1).filter(|rate| rate.is_finite() && *rate > 0.0)?;
        Some(ReportedLimit { rate, left: value(0).filter(|left| (0.0..=1.0).contains(left)) })
    }

    /// Takes over the list.
    pub fn list(&mut self, list: &List) -> Told {
        self.ever.extend(list.targets.iter().map(|target| target.uid.clone()));
        let known = list.targets.iter().filter_map(|target| Some((target, self.listed(target)?)));
        let (targets, mut entries): (Vec<&Target>, Vec<ListedHost>) = known.unzip();
        if list.all {
            self.listed.clear();
        }
        for (target, entry) in targets.iter().zip(entries.iter_mut()) {
            self.listed.insert(entry.host, *entry);
            *entry = self.as_maintained(&target.uid, *entry);
        }
        let named: HashSet<HostId> = entries.iter().map(|entry| entry.host).collect();
        let missing = |host: &HostId| list.all && !named.contains(host);
        let mut gone: Vec<HostId> =
            self.hosts.extract_if(|host, _| missing(host)).map(|(host, _)| host).collect();
        for (target, entry) in targets.iter().zip(&entries) {
            if entry.lifecycle == Lifecycle::Gone {
                self.listed.remove(&entry.host);
                gone.extend(self.hosts.remove(&entry.host).map(|_| entry.host));
            } else {
                self.hosts.insert(entry.host, (target.endpoint, number(&target.az) as Zone));
            }
        }
        self.has_list |= !self.hosts.is_empty();
        let unknown = list.targets.len() - entries.len();
        let news =
            if list.all { RegistryUpdate::FullList(entries) } else { RegistryUpdate::Changes(entries) };
        Told { news, gone, unknown }
    }

    fn listed(&self, target: &Target) -> Option<ListedHost> {
        Some(ListedHost {
            host: HostId(number(&target.uid)),
            zone: position(&self.deployment.zones, &target.az).unwrap_or(0) as u16,
            kind: position(&self.deployment.kinds, &target.model)?,
            destination: target.pod_group,
            lifecycle: match target.state {
                State::Ready => Lifecycle::Ready,
                State::Terminating => Lifecycle::Draining,
                State::Gone => Lifecycle::Gone,
            },
            weight: target.capacity_hint,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_limit_in_a_report_is_read_and_nonsense_is_not() {
        let settings = r#"{"me": 0, "group_size": 1, "membership_mode": "push", "models": [], "classes": [],
            "family_info": {"slots": 1}, "allowed": {"attempts_cap": 1, "most_held": 1, "conn_idle_s": 1},
            "rules": {"stop_sending_within_s": 1, "cold_share": 1, "cold_s": 1, "overload_factor": 1,
            "tip_after_s": 1}, "report": {"fields": ["x0", "x1"]}}"#;
        let names = Names::new(pewterseam_settings::parse(settings.as_bytes()).expect("settings"));
        let told = |rate, left| Some(ReportedLimit { rate, left });
        assert_eq!(names.limit(Some("x0=0.4,x1=25")), told(25.0, Some(0.4)));
        assert_eq!(names.limit(Some("x1=2.5, x0=1")), told(2.5, Some(1.0)));
        for nonsense in ["x1=25", "x0=,x1=25", "x0=nan,x1=25", "x0=-1,x1=25", "x1=25,x0=2"] {
            assert_eq!(names.limit(Some(nonsense)), told(25.0, None), "{nonsense}");
        }
        for nonsense in
            ["x0=0.4,x1=0", "x1=nan", "x1=inf", "x1=-3", "garbage", "", "x1", "x0=1", "\u{1f980}=1"]
        {
            assert_eq!(names.limit(Some(nonsense)), None, "{nonsense}");
        }
        assert_eq!(names.limit(None), None);
    }
}
