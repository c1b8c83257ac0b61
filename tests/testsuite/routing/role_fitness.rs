//! Roles of instances whose process is late.

use std::time::Instant;

use hawthornmill::ident::{DomainId, Incarnation, InstanceId};
use hawthornmill::limits::role_fitness::RoleFitness;
use hawthornmill::routing::gossip::{InstanceReport, PeerInfo, PeerTable, StoreRole};
use hawthornmill_test_support::gossip::instance_report;

use super::millis;

/// Failure: a relay whose machine turned slow keeps its role, and its whole failure domain acts on late reports.
#[test]
fn late_process_gives_its_roles_up_until_it_is_in_time_again() {
    let start = Instant::now();
    let mut fitness = RoleFitness::default();
    let mut changes = Vec::new();

    for tick in 0..120 {
        let late = (10..13).contains(&tick) || (20..40).contains(&tick);
        let lag = millis(if late { 90 } else { 2 });
        if let Some(fit) = fitness.observe(lag, start + millis(100 * tick)) {
            changes.push((tick, fit));
        }
    }

    assert_eq!(changes, [(30, false), (90, true)]);
}

/// Failure: while a fleet starts nobody is connected to the store, so each instance takes itself for its follower.
#[test]
fn one_instance_of_a_domain_is_the_first_to_follow_the_store_before_any_is_connected() {
    let now = Instant::now();
    let report = |number: u16| {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
        let info = PeerInfo {
            client_addr: address,
            peer_addr: address,
            domain: DomainId::of("a"),
            cpu_percent: 12,
        };
        InstanceReport {
            store_role: StoreRole::Idle,
            ..instance_report(info)
        }
    };
    let first = (0..20).filter(|me| {
        let mut peer_table = PeerTable::new(DomainId::of("a"), 12);
        for number in (0..20).filter(|n| n != me) {
            let id = InstanceId::of(&format!("r{number}"));
            peer_table.apply_report(id, Incarnation(1), &report(number), now);
        }
        peer_table.is_first_to_follow(InstanceId::of(&format!("r{me}")), now)
    });

    assert_eq!(first.count(), 1);
}

/// Failure: roles go by a hash alone, to instances with a quarter of the processor of others.
#[test]
fn fastest_instances_relay_and_slow_ones_do_not() {
    let now = Instant::now();
    let report = |number: u16, cpu_percent| {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
        instance_report(PeerInfo {
            client_addr: address,
            peer_addr: address,
            domain: DomainId::of("a"),
            cpu_percent,
        })
    };
    let is_relay = |own: u16, others: [u16; 20]| {
        let mut peer_table = PeerTable::new(DomainId::of("a"), own);
        for (number, cpu_percent) in others.into_iter().enumerate() {
            let id = InstanceId::of(&format!("r{number}"));
            let report = report(number as u16, cpu_percent);
            peer_table.apply_report(id, Incarnation(1), &report, now);
        }
        let me = InstanceId::of("me");
        (
            peer_table.relay_rank(me, now).is_some(),
            peer_table.should_follow_store(me, now),
        )
    };
    let mut one_faster = [12; 20];
    one_faster[7] = 50;

    assert_eq!(is_relay(50, [12; 20]), (true, true));
    assert!(is_relay(50, one_faster).0);
    assert_eq!(is_relay(0, [12; 20]), (false, false), "it is late");
    assert_eq!(is_relay(12, [50; 20]), (false, false));
}
