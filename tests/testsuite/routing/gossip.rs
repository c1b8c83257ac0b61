//! What instances know of each other.

use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::ident::{DomainId, Incarnation, InstanceId};
use hawthornmill::routing::gossip::{InstanceReport, PeerInfo, PeerTable, StoreRole};
use hawthornmill_test_support::news::news_of;

use super::millis;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn news(port: u16, version: u64, others: Vec<SocketAddr>) -> InstanceReport {
    let mate = PeerInfo {
        client_addr: address(port),
        peer_addr: address(port + 1),
        domain: DomainId::of("a"),
    };
    InstanceReport {
        catalog_version: version,
        revision: 0,
        known_peers: others,
        ..news_of(mate)
    }
}

/// A seed is stale, and only one other instance is known. What that one hears is enough to reach all.
#[test]
fn instances_that_others_name_are_told_news_too() {
    let now = Instant::now();
    let mut mates = PeerTable::new(DomainId::of("a"));

    mates.apply_report(
        InstanceId::of("r2"),
        Incarnation(1),
        &news(20, 1, vec![address(31)]),
        now,
    );
    let targets = mates.gossip_targets(&[address(99)], 1, now);

    assert_eq!(targets, [address(21), address(31), address(99)]);
}

/// Work is told at once, many times a second. In a large fleet that would be the square of the
/// instances in datagrams, over lines that are billed, so only the own failure domain hears of it.
#[test]
fn work_is_told_to_all_in_a_small_fleet_and_to_the_own_domain_in_a_large_one() {
    let now = Instant::now();
    let mut mates = PeerTable::new(DomainId::of("a"));
    let hear = |mates: &mut PeerTable, number: u16| {
        let mut news = news(1_000 + 2 * number, 1, Vec::new());
        if number % 2 == 1 {
            news.info.domain = DomainId::of("b");
        }
        let name = format!("r{number}");
        mates.apply_report(InstanceId::of(&name), Incarnation(1), &news, now);
    };

    (0..6).for_each(|n| hear(&mut mates, n));
    let small = mates.broadcast_targets(now).len();
    (6..20).for_each(|n| hear(&mut mates, n));
    let large = mates.broadcast_targets(now).len();

    assert_eq!((small, large), (6, 10));
}

/// A late datagram of a leaving instance must not bring it back, and one that starts anew comes back.
#[test]
fn leaving_is_not_taken_back_within_a_run() {
    let now = Instant::now();
    let mut mates = PeerTable::new(DomainId::of("a"));
    let mut leaving = news(20, 1, Vec::new());
    leaving.leaving = true;

    mates.apply_report(InstanceId::of("r2"), Incarnation(1), &leaving, now);
    mates.apply_report(
        InstanceId::of("r2"),
        Incarnation(1),
        &news(20, 1, Vec::new()),
        now,
    );
    let same = mates.live(now).next().expect("the mate is heard").1.leaving;
    mates.apply_report(
        InstanceId::of("r2"),
        Incarnation(2),
        &news(20, 1, Vec::new()),
        now,
    );
    let anew = mates.live(now).next().expect("the mate is heard").1.leaving;

    assert!(same && !anew);
}

#[test]
fn a_silent_instance_is_not_named_and_the_newest_is_asked() {
    let now = Instant::now();
    let mut mates = PeerTable::new(DomainId::of("a"));
    mates.apply_report(
        InstanceId::of("old"),
        Incarnation(1),
        &news(20, 9, Vec::new()),
        now,
    );
    let later = now + millis(2_000);
    mates.apply_report(
        InstanceId::of("r2"),
        Incarnation(1),
        &news(30, 3, Vec::new()),
        later,
    );
    mates.apply_report(
        InstanceId::of("r3"),
        Incarnation(1),
        &news(40, 5, Vec::new()),
        later,
    );

    let live: Vec<u16> = mates
        .live(later)
        .map(|(_, h)| h.info.client_addr.port())
        .collect();
    let versions = |have| -> Vec<u64> {
        let ahead = mates.sync_candidates(have, 0, &[], later);
        ahead.iter().map(|h| h.catalog_version).collect()
    };

    assert_eq!(live.len(), 2);
    assert!(!live.contains(&20));
    assert_eq!(versions(3), [5]);
    assert!(versions(5).is_empty());
}

/// A fleet of `count` instances in two failure domains, as instance `r0` of domain `a` hears it.
fn large(count: u16, now: Instant) -> PeerTable {
    let mut mates = PeerTable::new(DomainId::of("a"));
    for number in 1..count {
        let mut news = news(1_000 + 2 * number, 1, Vec::new());
        news.info.domain = DomainId::of(if number % 2 == 0 { "a" } else { "b" });
        let from = InstanceId::of(&format!("r{number}"));
        mates.apply_report(from, Incarnation(1), &news, now);
    }
    mates
}

/// Load pattern: a fleet of many instances, each of which hears from every other. News to all in each
/// round would grow with the square of the fleet, across failure domains, where bytes are billed.
#[test]
fn far_instances_of_a_large_fleet_are_told_in_turn() {
    let now = Instant::now();
    let mut mates = large(41, now);

    let rounds: Vec<usize> = (0..4)
        .map(|round| mates.gossip_targets(&[], round, now).len())
        .collect();
    let small = large(9, now).gossip_targets(&[], 1, now).len();

    assert_eq!(rounds.iter().sum::<usize>(), 4 * 20 + 20, "{rounds:?}");
    assert_eq!(small, 8);
}

/// Each reader of the store costs calls. If all of a failure domain's readers are turned away by the
/// store, others must take their part, or the domain would depend on far ones alone.
#[test]
fn a_few_of_a_large_fleet_read_and_others_take_the_part_of_those_that_can_not() {
    let now = Instant::now();
    let mut mates = large(41, now);
    let readers = |mates: &PeerTable| -> usize {
        let names = (0..41)
            .filter(|n| n % 2 == 0)
            .map(|n| InstanceId::of(&format!("r{n}")));
        names
            .filter(|id| mates.should_follow_store(*id, now))
            .count()
    };
    let calm = readers(&mates);

    let lost: Vec<u16> = (1..41)
        .filter(|n| n % 2 == 0 && mates.should_follow_store(InstanceId::of(&format!("r{n}")), now))
        .collect();
    for number in &lost {
        let mut news = news(1_000 + 2 * number, 1, Vec::new());
        news.store_role = StoreRole::Disconnected;
        mates.apply_report(
            InstanceId::of(&format!("r{number}")),
            Incarnation(1),
            &news,
            now,
        );
    }
    let instead: Vec<u16> = (1..41)
        .filter(|n| n % 2 == 0 && !lost.contains(n))
        .filter(|n| mates.should_follow_store(InstanceId::of(&format!("r{n}")), now))
        .collect();

    assert!((1..=3).contains(&calm), "{calm}");
    assert!(!instead.is_empty());
    assert!(
        large(9, now).should_follow_store(InstanceId::of("r2"), now),
        "in a small fleet all read"
    );
}

/// Catalogs come in quick succession while a server drains. The instance with the newest catalog has
/// not heard of the server yet. Asked alone, again and again, it would never tell of it, and requests
/// would go to the server until it is gone.
#[test]
fn the_newest_catalog_does_not_hide_the_newest_registrations() {
    let now = Instant::now();
    let mut mates = PeerTable::new(DomainId::of("a"));
    let mut servers = news(20, 3, Vec::new());
    servers.revision = 9;
    let mut both = news(40, 6, Vec::new());
    both.revision = 9;
    mates.apply_report(
        InstanceId::of("catalog"),
        Incarnation(1),
        &news(30, 5, Vec::new()),
        now,
    );
    mates.apply_report(InstanceId::of("servers"), Incarnation(1), &servers, now);
    let ask = |mates: &PeerTable| -> Vec<u16> {
        let ahead = mates.sync_candidates(3, 8, &[], now);
        ahead.iter().map(|h| h.info.client_addr.port()).collect()
    };

    let apart = ask(&mates);
    mates.apply_report(InstanceId::of("both"), Incarnation(1), &both, now);
    let together = ask(&mates);

    assert_eq!(apart, [20, 30]);
    assert_eq!(together, [40]);
}

#[test]
fn an_instance_is_heard_since_a_moment_only_if_it_told_something_after_it() {
    let now = Instant::now();
    let mut mates = PeerTable::new(DomainId::of("a"));
    let told = news(20, 1, Vec::new());
    let id = InstanceId::of("r2");
    mates.apply_report(id, Incarnation(1), &told, now);

    let before = mates.is_seen_since(address(21), now);
    mates.apply_report(id, Incarnation(1), &told, now + millis(5));
    let after = mates.is_seen_since(address(21), now);
    let other = mates.is_seen_since(address(31), now);

    assert_eq!((before, after, other), (false, true, false));
}
