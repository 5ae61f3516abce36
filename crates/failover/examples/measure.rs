//! Plays the days of `tests/model` under each policy and prints the tables of docs/failover.md. Arguments: the
//! number of relays, and a part of a day's name.

#[path = "../tests/model/mod.rs"]
mod model;

use model::{Model, Policy, Report, days};
use pewterseam_failover::interface::Micros;

fn seconds(time: Option<Micros>) -> String {
    match time {
        None => "-".to_owned(),
        Some(Micros::MAX) => "never".to_owned(),
        Some(time) if time > 1_000_000_000 => "never".to_owned(),
        Some(time) => format!("{:.2}", time as f64 / 1e6),
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let relays = arguments.next().and_then(|word| word.parse().ok()).unwrap_or(12);
    let wanted = arguments.next().unwrap_or_default();
    let verbose = arguments.next().is_some();
    // Only ours and the true state, for a quick look.
    let only = arguments.next().is_some();
    println!(
        "| day, {relays} relays | alone | locality 1.4 | ours | true state | ours / true | acted s | moves a minute / anew | \
         near again s | worst host, ours | over, ours / locality / alone | crossed | rules broken |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, day) in days::all(relays) {
        if !name.contains(&wanted) {
            continue;
        }
        let play = |policy| -> Report { Model::new(day.clone(), policy).play() };
        let began = std::time::Instant::now();
        let all = [Policy::Alone, Policy::Locality, Policy::Ours, Policy::Truth];
        let reports = all.map(|policy| {
            let left_out = only && !matches!(policy, Policy::Ours | Policy::Truth);
            if left_out { Report::default() } else { play(policy) }
        });
        let [alone, locality, ours, truth] = &reports;
        let zones: Vec<usize> = (0..model::ZONES)
            .filter(|zone| day.faults.iter().all(|fault| !fault.kind.touches(*zone)))
            .collect();
        let hosts = Report::host_zones();
        let over = |report: &Report| report.worst(&zones, &hosts).1;
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {} / {} | {} | {:.2} | {} / {} / {} | {:.2} % | {} |",
            alone.part_earned(),
            locality.part_earned(),
            ours.part_earned(),
            truth.part_earned(),
            ours.part_earned() / truth.part_earned(),
            seconds(ours.acted()),
            ours.most_a_minute(),
            ours.anew(),
            seconds(ours.returned()),
            ours.worst(&zones, &hosts).0,
            over(ours),
            over(locality),
            over(alone),
            100.0 * ours.crossed as f64 / ours.calls.max(1) as f64,
            ours.twice + ours.astray + ours.disordered,
        );
        if verbose {
            for of in ours.decisions() {
                println!("  {:.2} s d{} #{} {}", of.at as f64 / 1e6, of.destination, of.epoch, of.what);
            }
            for (at, relay, line) in ours.log.iter().filter(|(_, relay, _)| *relay == 3) {
                println!("  {:.2} s relay-{relay}: {line}", *at as f64 / 1e6);
            }
            for (host, zone) in hosts.iter().enumerate() {
                println!("  host {host} in zone-{zone}: {:?}", ours.seconds_of(host));
            }
            println!("  thirds {:?}", ours.third);
            for (at, fault, on) in &ours.faults {
                println!("  {:.2} s {fault} {on}", *at as f64 / 1e6);
            }
            let of = |r: &Report| {
                (r.messages, r.delivered, r.turned, r.failed, r.attempts, r.twice, r.astray, r.disordered)
            };
            for report in &reports {
                println!(
                    "  messages, delivered, turned, failed, attempts, twice, astray, disordered {:?}",
                    of(report)
                );
            }
            let seconds = ours.messages as f64 / 1e3;
            println!("  told {} bytes, {} looks, {seconds} k messages", ours.told_bytes, ours.looks);
            println!("  {:.1} s", began.elapsed().as_secs_f64());
        }
    }
}
