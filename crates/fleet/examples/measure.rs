//! Measures fleets in simulated time and prints a table for `docs/fleet.md`.
//!
//! `cargo run --release -p pewterseam-fleet --example measure -- 12 300 1000 [steady] [decisions] [crashes]
//! [alarms] [leaders]`

#[path = "../tests/net/mod.rs"]
mod net;

use std::time::Instant;

use net::{Net, SECOND};
use pewterseam_fleet::interface::{Epoch, Kind, MemberState, Proposal};

/// Crashes and decisions that are looked at in each fleet.
const TRIES: usize = 8;
/// Member-seconds that are played at each loss, at the least ten minutes.
const PLAYED: usize = 120_000;

fn quantiles(mut of: Vec<u64>) -> (f64, f64) {
    of.sort_unstable();
    let at = |part: f64| {
        of.get((part * (of.len().saturating_sub(1)) as f64) as usize).copied().unwrap_or(0) as f64
    };
    (at(0.5) / 1e6, at(0.99) / 1e6)
}

fn found(size: usize, seed: u64) -> Net {
    let mut net = Net::new(size, if size < 100 { 3 } else { 5 }, seed);
    net.until(60 * SECOND, |net| net.agrees() && net.leaders().len() == 1);
    println!("{size} members: all see all after {:.1} s", net.now as f64 / 1e6);
    net.run(20 * SECOND);
    net
}

fn steady(net: &mut Net) {
    let size = net.nodes.len();
    let sum = |net: &Net| {
        let all = net.running().map(|(_, fleet)| fleet.counters());
        all.fold((0, 0, 0, 0), |sum, of| {
            let (bytes, datagrams) = (sum.0 + of.datagram_bytes_out, sum.1 + of.datagrams_out);
            (bytes, datagrams, sum.2 + of.call_bytes_out, sum.3 + of.calls_out)
        })
    };
    let (before, began) = (sum(net), Instant::now());
    net.run(60 * SECOND);
    let (after, took) = (sum(net), began.elapsed());
    let each = |of: u64| of as f64 / size as f64 / 60.0;
    println!(
        "  steady: {:.0} B/s and {:.1} datagrams/s a member; calls {:.1} B/s and {:.2}/s; {:.0} us of CPU a \
         second a member, links and clock of the simulation included",
        each(after.0 - before.0),
        each(after.1 - before.1),
        each(after.2 - before.2),
        each(after.3 - before.3),
        took.as_secs_f64() * 1e6 / size as f64 / 60.0
    );
}

fn crashes(net: &mut Net) {
    let size = net.nodes.len();
    let mut heard = Vec::new();
    for number in 0..TRIES {
        let who = size - 1 - number * (size / 2 / TRIES).max(1);
        let (killed, from) = (net.now, net.heard.len());
        net.kill(who);
        net.run(20 * SECOND);
        let dead = net.heard[from..].iter().filter(|of| of.of == who && of.now == MemberState::Dead);
        heard.extend(dead.map(|of| of.at - killed));
        net.start(who);
        net.run(10 * SECOND);
    }
    let told = heard.len();
    let (median, most) = quantiles(heard);
    println!(
        "  a crash is heard of after {median:.2} s (median), {most:.2} s (p99); by {told} of {}",
        TRIES * (size - 1)
    );
}

fn alarms(net: &mut Net, loss: f64) {
    let size = net.nodes.len();
    net.run(10 * SECOND);
    net.loss = loss;
    let (from, began) = (net.heard.len(), net.now);
    net.run((PLAYED / size).max(60) as u64 * SECOND);
    let mut last = vec![0; size];
    let mut alarms = 0;
    let mut suspicions = 0;
    for of in &net.heard[from..] {
        suspicions += u32::from(of.now == MemberState::Suspect);
        if of.now == MemberState::Dead && of.at > last[of.of] + 5 * SECOND {
            alarms += 1;
            last[of.of] = of.at;
        }
    }
    let hours = (net.now - began) as f64 / 3.6e9;
    println!(
        "  loss {loss:.2}: {alarms} false alarms in {:.0} s, {:.1} an hour in all of the fleet; members seen \
         as suspect {:.0} an hour",
        hours * 3600.0,
        f64::from(alarms) / hours,
        f64::from(suspicions) / hours
    );
    net.loss = 0.0;
    net.run(20 * SECOND);
}

fn decisions(net: &mut Net, loss: f64) {
    net.loss = loss;
    let size = net.nodes.len();
    let (mut decided, mut known) = (Vec::new(), Vec::new());
    for number in 0..TRIES * 4 {
        let by = (number * 37 + 11) % size;
        let grounds = "zone-1: 14 of 17 calls failed, seen from zone-0 and zone-2".to_owned();
        let subject = vec![number as u8 % 8];
        let proposal =
            Proposal { kind: Kind::FAILOVER, subject, what: Some(vec![1; 24]), grounds, unless_after: None };
        let began = net.now;
        let ticket = net.propose(by, proposal);
        let mut at = vec![None; size];
        let mut epoch = None;
        while net.now < began + 20 * SECOND && at.iter().any(Option::is_none) {
            net.run(5_000);
            if epoch.is_none() {
                epoch = net.nodes[by].outcomes.get(&ticket).and_then(|outcome| outcome.ok());
                decided.extend(epoch.map(|_| net.now - began));
            }
            let Some(Epoch(epoch)) = epoch else { continue };
            for (place, fleet) in net.running() {
                if at[place].is_none() && fleet.in_force().epoch().0 >= epoch {
                    at[place] = Some(net.now - began);
                }
            }
        }
        known.extend(at.into_iter().flatten());
        net.run(SECOND);
    }
    let (decided, known) = (quantiles(decided), quantiles(known));
    println!(
        "  loss {loss:.2}: decided after {:.3} s (median), {:.3} s (p99); known to a member after {:.3} s, \
         {:.3} s",
        decided.0, decided.1, known.0, known.1
    );
    net.loss = 0.0;
}

fn leaders(net: &mut Net) {
    let mut away = Vec::new();
    for _ in 0..TRIES {
        let Some(leader) = net.leaders().first().copied() else { break };
        let began = net.now;
        net.kill(leader);
        net.until(20 * SECOND, |net| net.leaders().iter().any(|of| *of != leader));
        away.push(net.now - began);
        net.start(leader);
        net.run(20 * SECOND);
    }
    let (median, most) = quantiles(away);
    println!(
        "  a leader that crashed is replaced after {median:.2} s (median), {most:.2} s (worst of {TRIES})"
    );
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let sizes: Vec<usize> = words.iter().filter_map(|word| word.parse().ok()).collect();
    let parts: Vec<&String> = words.iter().filter(|word| word.parse::<usize>().is_err()).collect();
    let wanted = |part: &str| parts.is_empty() || parts.iter().any(|word| *word == part);
    for size in if sizes.is_empty() { vec![12, 300] } else { sizes } {
        let mut net = found(size, 1);
        if wanted("steady") {
            steady(&mut net);
        }
        if wanted("decisions") {
            decisions(&mut net, 0.0);
            decisions(&mut net, 0.05);
        }
        if wanted("crashes") {
            crashes(&mut net);
        }
        for loss in [0.0, 0.05, 0.2] {
            if wanted("alarms") || wanted(&format!("alarms={loss}")) {
                alarms(&mut net, loss);
            }
        }
        if wanted("leaders") {
            leaders(&mut net);
        }
        println!("  broken rules: {}", net.ledger.breaches.len());
    }
}
