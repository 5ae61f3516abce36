//! The hollow members find each other, agree on a configuration, and notice a death and a cut.

use pewterseam_control::{ControlError, OperatorRequest};
use pewterseam_hollow::network::Network;
use pewterseam_hollow::site::{self, SiteSize};
use pewterseam_membership::Status;

const MEMBERS: usize = 60;
const MINUTE: u64 = 60_000_000;
const SIZE: SiteSize = SiteSize { routes: 20, services: 4, limited: 1, instances: 8 };

fn started() -> Result<Network, ControlError> {
    let mut network = Network::new(MEMBERS, 2, SIZE);
    for index in 0..MEMBERS {
        network.start(index, index < site::CORE)?;
    }
    let others = MEMBERS - 1;
    let met = network.run_until(MINUTE, |network| {
        network.running().all(|(_, member)| member.membership.live_count() == others)
    });
    assert!(met.is_some(), "all know all");
    // An operator's call before the core has formed has no clear answer.
    let formed = network.run_until(MINUTE, |network| {
        network.running().all(|(_, member)| member.control.is_current(network.now))
    });
    assert!(formed.is_some(), "the core has formed");
    Ok(network)
}

/// Guards against figures of members that never came together.
#[test]
fn a_configuration_comes_in_force_at_all() -> Result<(), ControlError> {
    let mut network = started()?;
    let (now, first) = (network.now, OperatorRequest::put(0, site::configuration(1, SIZE)));
    network.get_mut(MEMBERS - 1).expect("it runs").operator(now, 1, first);
    let first = network.run_until(MINUTE, |network| network.running().all(|(_, member)| member.version == 1));
    assert!(first.is_some());
    let (now, change) = (network.now, OperatorRequest::patch(1, site::change(2, SIZE)));
    network.get_mut(MEMBERS - 2).expect("it runs").operator(now, 2, change);
    let second =
        network.run_until(MINUTE, |network| network.running().all(|(_, member)| member.version == 2));
    assert!(second.is_some());
    let used = network.usage().total();
    assert!(used.bytes > 0 && used.nanoseconds > 0, "what was used is booked");
    Ok(())
}

/// Guards against deaths and cuts that the network does not carry out.
#[test]
fn a_death_and_a_cut_are_noticed() -> Result<(), ControlError> {
    let mut network = started()?;
    let name = site::name(site::CORE);
    network.stop(site::CORE, false);
    let dead = network.run_until(MINUTE, |network| {
        let status = |(_, member): (usize, &pewterseam_hollow::member::Member)| {
            member.membership.get(&name).map(|(_, status)| status)
        };
        network.running().all(|member| status(member) == Some(Status::Dead))
    });
    assert!(dead.is_some());
    network.cut_off = (MEMBERS - 10..MEMBERS).collect();
    let apart = network.run_until(MINUTE, |network| {
        network.running().all(|(index, member)| {
            member.membership.live_count() == if index >= MEMBERS - 10 { 9 } else { MEMBERS - 12 }
        })
    });
    assert!(apart.is_some());
    network.cut_off.clear();
    let whole = network.run_until(MINUTE, |network| {
        network.running().all(|(_, member)| member.membership.live_count() == MEMBERS - 2)
    });
    assert!(whole.is_some());
    Ok(())
}
