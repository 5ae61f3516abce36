//! Calls that are sent to the leader again: how often, and how many bytes that costs.

use std::sync::Arc;

use pewterseam_control::{Control, ControlMessage, ControlSettings, Effect, OperatorRequest, Outcome, Token};
use pewterseam_membership::MemberChange;
use pewterseam_wire::identity::{DiskId, Life, NodeInfo, NodeName, Role};

use crate::simulation::cluster::{MS, document};
use crate::{call, formed_cluster};

const SECOND: u64 = 1_000 * MS;

/// The bytes of a large configuration.
const LARGE: usize = 1_200_000;

/// 6 Mbit/s: a large configuration takes 1.6 s.
const SLOW_LINK: u64 = 6_000_000 / 8;

/// The first relay outside the core.
const RELAY: usize = 3;

fn large_order() -> OperatorRequest {
    OperatorRequest::put(0, document(1, &"n".repeat(LARGE)))
}

/// Guards against sending an order again while its bytes are still in transit: each repeat loads a slow link with the
/// whole configuration again, and delays everything behind it.
#[test]
fn a_large_order_is_sent_once_over_a_slow_link() {
    for seed in 0..20 {
        let mut cluster = formed_cluster(seed, 3, 2, 3);
        let leader = cluster.leader().expect("a leader");
        cluster.rates.insert(RELAY, SLOW_LINK);
        cluster.counts_bytes = true;
        cluster.received.clear();
        let start = cluster.now;
        let ordered = call(&mut cluster, RELAY, 1, large_order());
        let order_time = cluster.now - start;
        let read = call(&mut cluster, RELAY, 2, OperatorRequest::ReadConfig);
        let read_time = cluster.now - start - order_time;
        let bytes = cluster.received[&leader];
        let is_read = matches!(read, Some(Outcome::Config(_)));
        println!(
            "seed {seed}: order {} ms, read {} ms (answered: {is_read}), {bytes} bytes to the leader",
            order_time / MS,
            read_time / MS
        );
        assert_eq!(ordered, Some(Outcome::Accepted { version: 1 }), "seed {seed}");
        assert!(bytes < LARGE * 12 / 10, "seed {seed}: {bytes} bytes to the leader");
        assert!(is_read, "seed {seed}: no answer to the read after it");
        assert!(read_time < 200 * MS, "seed {seed}: a read waited {} ms for the link", read_time / MS);
    }
}

pub fn relay(number: u8, disk: Option<DiskId>) -> NodeInfo {
    NodeInfo {
        name: NodeName::new(&format!("node-{number}")),
        life: Life(1),
        role: Role::Relay,
        peer_address: ([10, 0, 0, number], 7240).into(),
        zone: Arc::from("zone"),
        region: Arc::from("region"),
        disk,
        counts_for_quorum: disk.is_some(),
        ready: true,
    }
}

/// Simulates one relay that calls a live core member which never answers. Returns when each order was sent, by order.
fn send_times(orders: &[OperatorRequest], span: u64) -> Vec<Vec<u64>> {
    let settings = ControlSettings { call_timeout: span, ..ControlSettings::default() };
    let control = Control::new(0, &relay(1, None), settings, (None, Vec::new()), 1);
    let mut control = control.expect("starts");
    control.member(0, &MemberChange::Up(Arc::new(relay(2, Some(DiskId(2))))));
    let mut sent = vec![Vec::new(); orders.len()];
    let mut effects = Vec::new();
    for (number, order) in orders.iter().enumerate() {
        effects.extend(control.operator(0, Token(number as u64), order.clone()));
    }
    let mut now = 0;
    while now < span {
        for effect in std::mem::take(&mut effects) {
            if let Effect::Send { message: ControlMessage::Operator { request, .. }, .. } = effect
                && let Some(position) = orders.iter().position(|order| *order == request)
            {
                sent[position].push(now);
            }
        }
        now = control.next_wake();
        effects = control.tick(now);
    }
    sent
}

/// Guards against retry pauses that are the same for a megabyte as for a read, and against pauses that do not grow:
/// sending again over a slow link only loads it further.
#[test]
fn retry_pauses_grow_with_the_size_and_with_each_repeat() {
    let sent = send_times(&[OperatorRequest::ReadConfig, large_order()], 20 * SECOND);
    let (small, large) = (&sent[0], &sent[1]);
    assert_eq!(small[..4], [0, 900 * MS, 2_700 * MS, 6_300 * MS]);
    let transfer_time = (LARGE / 1024) as u64 * MS;
    assert!(large[1] >= 900 * MS + transfer_time, "{large:?}");
    let pauses: Vec<u64> = large.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.len() >= 2 && pauses.windows(2).all(|pair| pair[1] == 2 * pair[0]), "{pauses:?}");
}
