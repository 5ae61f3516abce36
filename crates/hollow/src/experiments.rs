//! What is done to the members, and what is measured.

use hdrhistogram::Histogram;
use pewterseam_control::{ControlError, OperatorRequest};
use pewterseam_membership::Status;
use pewterseam_wire::Micros;

use crate::member::Member;
use crate::memory::resident_bytes;
use crate::network::Network;
use crate::site;
use crate::usage::{PLANES, Plane, Usage};

const SECOND: Micros = 1_000_000;
/// Members that start in one second at the first start.
const STARTS_A_SECOND: usize = 200;
/// An experiment that has not come to its end after so long has failed.
const GIVE_UP: Micros = 60 * SECOND;
/// At a rate of 1,000 restarts an hour.
const RESTART_EVERY: Micros = 3_600_000;
const RESTARTS: usize = 8;
/// A member that restarts is away for so long.
const AWAY: Micros = 2 * SECOND;
const CALM: Micros = 10 * SECOND;
/// Before calm is measured, the rumors of the start are to be gone: datagrams are then shorter than this. They get so long
/// for it at most.
const SETTLED_BYTES: u64 = 150;
const SETTLE_WINDOW: Micros = 2 * SECOND;
const SETTLE_AT_MOST: Micros = 200 * SECOND;
const REPEATS: usize = 3;
const CUT_FOR: Micros = 15 * SECOND;
const MICROS_A_MILLISECOND: u64 = 1_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// When members learnt of something.
pub struct Times {
    histogram: Option<Histogram<u64>>,
    /// Members that had not learnt it when it was given up.
    missing: usize,
}

impl Times {
    fn new() -> Self {
        Times { histogram: Histogram::new(SIGNIFICANT_DIGITS).ok(), missing: 0 }
    }

    fn record(&mut self, micros: Micros) {
        if let Some(histogram) = &mut self.histogram {
            // Danger: none. The histogram grows with what is booked.
            let _ = histogram.record(micros / MICROS_A_MILLISECOND);
        }
    }

    fn print(&self, what: &str) {
        let Some(histogram) = &self.histogram else { return };
        println!(
            "| {what} | {} | {} | {} | {} |",
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
            histogram.max(),
            self.missing
        );
    }
}

/// Steps until all running members know something; books when each of them first did.
fn observe(network: &mut Network, times: &mut Times, knows: impl Fn(usize, &Member) -> bool) -> Micros {
    let start = network.now;
    let mut waiting: Vec<usize> = network.running().map(|(index, _)| index).collect();
    while !waiting.is_empty() && network.now < start + GIVE_UP {
        network.step();
        let now = network.now;
        waiting.retain(|index| {
            let has_learnt = network.get_mut(*index).is_none_or(|member| knows(*index, member));
            if has_learnt {
                times.record(now - start);
            }
            !has_learnt
        });
    }
    times.missing += waiting.len();
    network.now - start
}

fn print_usage(what: &str, network: &Network, before: Usage, span: Micros) {
    let used = network.usage() - before;
    let member_seconds = network.len() as f64 * span as f64 / SECOND as f64;
    let row = |name: &str, usage: crate::usage::PlaneUsage| {
        println!(
            "| {what}, {name} | {:.3} | {:.0} | {:.2} |",
            usage.nanoseconds as f64 / 1e7 / member_seconds,
            usage.bytes as f64 / member_seconds,
            usage.messages as f64 / member_seconds
        );
    };
    for plane in PLANES {
        row(&format!("{plane:?}").to_lowercase(), used.of(plane));
    }
    row("all", used.total());
}

/// Runs all experiments and prints their tables.
pub fn run(network: &mut Network, zone_members: usize) -> Result<(), ControlError> {
    let memory_before = resident_bytes();
    start_all(network)?;
    let memory = (resident_bytes() - memory_before) as f64 / network.len() as f64;
    println!("memory of a member after the start: {:.0} KB", memory / 1024.0);
    println!("\n| planes | % of a core | bytes a second | messages a second |\n| --- | --- | --- | --- |");
    calm(network);
    restarts(network)?;
    println!("\n| ms until known | half | 99 % | all | not within 60 s |\n| --- | --- | --- | --- | --- |");
    changes(network);
    let victims = deaths(network);
    joins(network, &victims)?;
    if zone_members > 0 {
        zone(network, zone_members.min(network.len() / 5));
    }
    println!("\nmemory of a member at the end: {:.0} KB", resident_bytes_each(network, memory_before));
    Ok(())
}

fn resident_bytes_each(network: &Network, before: u64) -> f64 {
    (resident_bytes() - before) as f64 / network.len() as f64 / 1024.0
}

fn knows_all(network: &Network) -> bool {
    let others = network.running().count() - 1;
    network.running().all(|(_, member)| member.membership.live_count() == others)
}

fn start_all(network: &mut Network) -> Result<(), ControlError> {
    let before = network.usage();
    for index in 0..network.len() {
        network.start(index, index < site::CORE)?;
        if (index + 1) % STARTS_A_SECOND == 0 {
            network.run_for(SECOND);
        }
    }
    let known = network.run_until(GIVE_UP, knows_all);
    println!("after the last start, all know all in {}", shown(known));
    configure(network, 1);
    let current = network.run_until(GIVE_UP, |network| {
        let now = network.now;
        network.running().all(|(_, member)| member.version == 1 && member.control.is_current(now))
    });
    println!("the first configuration is in force at all in {}", shown(current));
    network.run_for(5 * SECOND);
    let used = (network.usage() - before).total();
    println!(
        "the start took each member {:.0} ms of a core and {:.0} KB sent",
        used.nanoseconds as f64 / 1e6 / network.len() as f64,
        used.bytes as f64 / 1024.0 / network.len() as f64
    );
    Ok(())
}

fn shown(span: Option<Micros>) -> String {
    span.map_or_else(
        || "more than 60 s: FAILED".to_owned(),
        |span| format!("{:.2} s", span as f64 / SECOND as f64),
    )
}

/// Hands a configuration to a member that is neither leader nor of the core, where there is one.
fn configure(network: &mut Network, version: u64) {
    let (now, size, last) = (network.now, network.size, network.len() - 1);
    let request = if version == 1 {
        OperatorRequest::put(0, site::configuration(version, size))
    } else {
        OperatorRequest::patch(version - 1, site::change(version, size))
    };
    if let Some(member) = network.get_mut(last) {
        member.operator(now, version, request);
    }
}

/// Waits until the rumors of what was before have been passed on as often as they are to be.
fn settle(network: &mut Network) {
    let start = network.now;
    while network.now < start + SETTLE_AT_MOST {
        let before = network.usage();
        network.run_for(SETTLE_WINDOW);
        let used = (network.usage() - before).of(Plane::Membership);
        if used.bytes < SETTLED_BYTES * used.messages {
            break;
        }
    }
    println!("| (settled after {} s) | | | |", (network.now - start) / SECOND);
}

fn calm(network: &mut Network) {
    settle(network);
    let before = network.usage();
    network.run_for(CALM);
    print_usage("calm", network, before, CALM);
}

/// Members restart one after the other.
fn restarts(network: &mut Network) -> Result<(), ControlError> {
    let (before, start) = (network.usage(), network.now);
    for round in 0..RESTARTS {
        let index = site::CORE + (round * 31) % (network.len() - site::CORE - 1);
        network.stop(index, true);
        network.run_for(AWAY);
        network.start(index, false)?;
        network.run_for(RESTART_EVERY - AWAY);
    }
    print_usage("1,000 restarts an hour", network, before, network.now - start);
    Ok(())
}

fn changes(network: &mut Network) {
    let mut times = Times::new();
    for version in 2..2 + REPEATS as u64 {
        configure(network, version);
        observe(network, &mut times, |_, member| member.version >= version);
        network.run_for(SECOND);
    }
    times.print("a change of the configuration is in force");
}

fn deaths(network: &mut Network) -> Vec<usize> {
    let mut times = Times::new();
    let victims: Vec<usize> = (0..REPEATS).map(|number| site::CORE + 1 + number).collect();
    for victim in &victims {
        let name = site::name(*victim);
        network.stop(*victim, false);
        observe(network, &mut times, |_, member| {
            member.membership.get(&name).is_some_and(|(_, status)| !is_live(status))
        });
        network.run_for(SECOND);
    }
    times.print("a death");
    victims
}

fn is_live(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

fn joins(network: &mut Network, joining: &[usize]) -> Result<(), ControlError> {
    let (mut times, mut current) = (Times::new(), Times::new());
    for joiner in joining {
        network.start(*joiner, false)?;
        let (name, life, start) = (site::name(*joiner), network.life(*joiner), network.now);
        let others = network.running().count() - 1;
        let mut ready_at = None;
        observe(network, &mut times, |index, member| {
            index == *joiner && member.membership.live_count() > 0
                || member
                    .membership
                    .get(&name)
                    .is_some_and(|(info, status)| is_live(status) && info.life.0 == life)
        });
        while ready_at.is_none() && network.now < start + GIVE_UP {
            let now = network.now;
            let is_ready = network.get_mut(*joiner).is_some_and(|member| {
                member.membership.live_count() == others
                    && member.control.is_current(now)
                    && member.version > 1
            });
            if is_ready {
                ready_at = Some(now);
            } else {
                network.step();
            }
        }
        match ready_at {
            Some(at) => current.record(at - start),
            None => current.missing += 1,
        }
        network.run_for(SECOND);
    }
    times.print("a join");
    current.print("the joiner itself knows all members and the configuration (at most)");
    Ok(())
}

/// A zone is cut off and comes back.
fn zone(network: &mut Network, count: usize) {
    let first = site::CORE + REPEATS + 1;
    network.cut_off = (first..first + count).collect();
    let cut = network.cut_off.clone();
    let (before, start) = (network.usage(), network.now);
    let (mut lost, mut back) = (Times::new(), Times::new());
    let others = network.len() - count;
    let rest = |index: usize| if cut.contains(&index) { count } else { others };
    observe(network, &mut lost, |index, member| member.membership.live_count() < rest(index));
    lost.print(&format!("{count} members that were cut off are dead to the rest, and the rest to them"));
    let so_far = network.now - start;
    network.run_for(CUT_FOR.saturating_sub(so_far));
    network.cut_off.clear();
    let healed = network.now;
    let all = network.len() - 1;
    observe(network, &mut back, |_, member| member.membership.live_count() == all);
    back.print("after the cut, a member knows all again");
    let whole = network.run_until(GIVE_UP, knows_all);
    println!("| all know all at the same time (s after the cut: {}) | | | {:.0} | |", shown(whole), {
        (network.now - healed) as f64 / MICROS_A_MILLISECOND as f64
    });
    println!("\n| planes | % of a core | bytes a second | messages a second |\n| --- | --- | --- | --- |");
    print_usage("cut and back", network, before, network.now - start);
}
