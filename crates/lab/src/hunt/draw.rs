//! Days drawn by a seed: a fleet, a load, and a mix of faults that overlap.

use crate::plan::{
    ClassPlan, DestinationPlan, EffectPlan, Fault, Fleet, How, Link, Load, Pick, Plan, Process, Server,
    Trouble, What, Who, Zone,
};
use crate::sim::{Dice, Purpose};

/// Faults of a day at the most, and the part of its length in which they begin.
const MOST_FAULTS: usize = 6;
const FAULTS_BEGIN_WITHIN: f64 = 0.8;
/// Longest fault (s): longer than every time-out, shorter than most deadlines.
const LONGEST_S: f64 = 6.0;

/// A day by its seed; of a `base` only the faults are drawn.
pub fn day(seed: u64, base: Option<&Plan>) -> Plan {
    let mut dice = Dice::new(seed, Purpose::Draw);
    let mut plan = match base {
        Some(base) => Plan { seed, ..base.clone() },
        None => quiet(seed, &mut dice),
    };
    for _ in 0..1 + dice.one_of(MOST_FAULTS) {
        let fault = fault(&plan, &mut dice);
        plan.faults.push(fault);
    }
    plan
}

/// Two figures after the point, so that a file is read with ease.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn between(dice: &mut Dice, least: f64, most: f64) -> f64 {
    round(least + (most - least) * dice.part())
}

fn quiet(seed: u64, dice: &mut Dice) -> Plan {
    let relays = 2 + dice.one_of(11) as u16;
    let names = ["a", "b", "c"];
    let zones = names.iter().take(1 + dice.one_of(3)).enumerate();
    let zone = |(place, name): (usize, &&str)| Zone {
        name: (*name).to_owned(),
        region: if place < 2 { "east" } else { "west" }.to_owned(),
    };
    let fleet = Fleet {
        relays,
        zones: zones.map(zone).collect(),
        members: false,
        failover: false,
        slots: 8 + dice.one_of(17),
        most_held: 60 + dice.one_of(340),
        max_attempts: 3 + dice.one_of(8) as u32,
        delays_ms: [0.5, 1.5, 20.0],
    };
    let messages_a_second = between(dice, 5.0, 80.0);
    let count = 1 + dice.one_of(3) as u32;
    let destinations = (1..=count).map(|number| {
        let fair = messages_a_second / f64::from(count);
        let limited = dice.chance(0.6);
        DestinationPlan {
            number,
            hosts: 1 + dice.one_of(4) as u16,
            answers_a_second: between(dice, 1.1, 3.0) * fair.max(2.0),
            answer_ms: [20.0, between(dice, 40.0, 300.0)],
            limit_a_second: limited.then(|| between(dice, 0.7, 2.0) * fair.max(2.0)),
            weight: 1.0,
            cold_share: between(dice, 0.15, 0.5),
            cold_s: between(dice, 4.0, 12.0),
        }
    });
    let destinations = destinations.collect();
    let deadline_s = between(dice, 3.0, 12.0);
    let class = |name: &str, part: f64, effect: EffectPlan, in_order: bool| ClassPlan {
        name: name.to_owned(),
        part,
        effect,
        aim_s: round(deadline_s * 0.25),
        deadline_s,
        value: 1.0,
        late_share: 0.2,
        in_order,
    };
    let window = between(dice, 1.0, 10.0);
    let classes = vec![
        class("notice", 0.3, EffectPlan::Free, false),
        class("posting", 0.3, EffectPlan::GuardedS(window), true),
        class("zoned", 0.2, EffectPlan::GuardedInZoneS(window), false),
        class("transfer", 0.2, EffectPlan::Once, false),
    ];
    let load =
        Load { messages_a_second, classes, keys: 2 + dice.one_of(30) as u32, retries: dice.one_of(4) as u32 };
    let name = format!("drawn {seed}");
    let length_s = between(dice, 8.0, 20.0);
    Plan { name, seed, length_s, fleet, destinations, load, faults: Vec::new() }
}

fn pick_relays(plan: &Plan, dice: &mut Dice) -> Pick {
    match dice.one_of(4) {
        0 => Pick::All,
        1 => Pick::Numbers(vec![dice.one_of(usize::from(plan.fleet.relays)) as u16]),
        2 => zone(plan, dice),
        _ => Pick::Part(between(dice, 0.1, 0.8)),
    }
}

fn pick_hosts(plan: &Plan, dice: &mut Dice) -> Pick {
    let destination = plan.destinations[dice.one_of(plan.destinations.len())].number;
    match dice.one_of(4) {
        0 => Pick::All,
        1 => Pick::Destination(destination),
        2 => zone(plan, dice),
        _ => Pick::Part(between(dice, 0.1, 0.8)),
    }
}

fn zone(plan: &Plan, dice: &mut Dice) -> Pick {
    Pick::Zone(plan.fleet.zones[dice.one_of(plan.fleet.zones.len())].name.clone())
}

fn fault(plan: &Plan, dice: &mut Dice) -> Fault {
    let start_s = between(dice, 0.5, (plan.length_s * FAULTS_BEGIN_WITHIN).max(1.0));
    let length_s = between(dice, 0.2, LONGEST_S);
    let what = match dice.one_of(12) {
        0..=3 => What::Link(link(plan, dice)),
        4..=6 => What::Process(Process { who: pick_relays(plan, dice), how: how(dice) }),
        7..=8 => What::Server(Server { who: pick_hosts(plan, dice), how: trouble(dice) }),
        9 => match dice.one_of(2) {
            0 => What::Discovery { turned_away: dice.chance(0.5) },
            _ => What::Load { times: between(dice, 1.5, 4.0) },
        },
        10 => What::Replace(pick_hosts(plan, dice)),
        _ => What::Limit { who: pick_hosts(plan, dice), times: between(dice, 0.2, 0.8) },
    };
    Fault { start_s, length_s, what }
}

fn how(dice: &mut Dice) -> How {
    let all = [
        How::Stall,
        How::Crash,
        How::Restart,
        How::Crash,
        How::Restart,
        How::CrashAndForget,
        How::CrashAndRestore,
        How::DiskFull,
        How::StartLate,
    ];
    all[dice.one_of(all.len())]
}

fn trouble(dice: &mut Dice) -> Trouble {
    match dice.one_of(6) {
        0 => Trouble::Silent,
        1 => Trouble::Refusing,
        2 => Trouble::Failing(between(dice, 0.1, 0.9)),
        3 => Trouble::Slow(between(dice, 2.0, 20.0)),
        4 => Trouble::AnswersLost(between(dice, 0.1, 0.9)),
        _ => Trouble::Flapping(between(dice, 0.3, 3.0)),
    }
}

fn link(plan: &Plan, dice: &mut Dice) -> Link {
    let relays = Who::Relays(pick_relays(plan, dice));
    let other = match dice.one_of(6) {
        0 => Who::Discovery,
        1 => Who::Clients,
        2 => Who::Relays(pick_relays(plan, dice)),
        _ => Who::Hosts(pick_hosts(plan, dice)),
    };
    let (from, to) = if dice.chance(0.5) { (relays, other) } else { (other, relays) };
    let mut link = Link {
        from,
        to,
        both_ways: dice.chance(0.5),
        cut: false,
        drop_part: 0.0,
        delay_ms: 0.0,
        jitter_ms: 0.0,
        duplicate_part: 0.0,
        reorder_part: 0.0,
        half_open_part: 0.0,
        reset_part: 0.0,
        late_part: 0.0,
        crawl_bytes_a_second: None,
    };
    for _ in 0..1 + dice.one_of(2) {
        match dice.one_of(9) {
            0 | 1 => link.cut = true,
            2 => link.drop_part = between(dice, 0.05, 0.6),
            3 => (link.delay_ms, link.jitter_ms) = (between(dice, 5.0, 300.0), between(dice, 0.0, 200.0)),
            4 => {
                (link.duplicate_part, link.reorder_part) = (between(dice, 0.1, 0.5), between(dice, 0.1, 0.5))
            }
            5 => link.half_open_part = between(dice, 0.1, 0.9),
            6 => link.reset_part = between(dice, 0.1, 0.9),
            7 => link.late_part = between(dice, 0.1, 0.9),
            _ => link.crawl_bytes_a_second = Some(between(dice, 100.0, 3000.0)),
        }
    }
    link
}
