//! What failure domains of a large fleet tell each other.

use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId};
use hawthornmill::routing::domain_summary::{DomainWork, Member};
use hawthornmill::routing::gossip::{InstanceReport, PeerInfo, PeerTable, StoreRole};
use hawthornmill::routing::loads::{LoadTracker, Work};
use hawthornmill::routing::usage::AccountUsage;
use hawthornmill::wire::frame::MAX_DATAGRAM_BYTES;
use hawthornmill::wire::{Message, Sealer};
use hawthornmill_test_support::news::news_of;

use super::{millis, scheduler};

const ONE: Work = Work {
    running: 1,
    pending_prefill: 500,
    kv_tokens: 700,
    total_prefill: 500,
};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn name(number: u16) -> InstanceId {
    InstanceId::of(&format!("r{number}"))
}

/// The domain of an instance: six of each.
fn domain(number: u16) -> DomainId {
    DomainId::of(["a", "b", "c"][usize::from(number / 6)])
}

fn mate(number: u16) -> PeerInfo {
    PeerInfo {
        client_addr: address(2 * number + 1_000),
        peer_addr: address(2 * number + 1_001),
        domain: domain(number),
    }
}

fn news(number: u16) -> InstanceReport {
    news_of(mate(number))
}

fn member(number: u16) -> Member {
    Member {
        id: name(number),
        incarnation: Incarnation(1),
        info: mate(number),
        ready: true,
        leaving: false,
        store_role: StoreRole::Connected,
        catalog_version: 1,
        revision: 1,
    }
}

/// What instance `me` of a fleet of 18 knows, the own domain by news and the others by their relays.
fn mates(me: u16, now: Instant) -> PeerTable {
    let mut mates = PeerTable::new(domain(me));
    for number in (0..18).filter(|n| *n != me) {
        if domain(number) == domain(me) {
            mates.apply_report(name(number), Incarnation(1), &news(number), now);
        } else {
            mates.apply_member(&member(number), now);
        }
    }
    mates
}

#[test]
fn two_instances_of_each_domain_relay_and_others_take_over() {
    let now = Instant::now();
    let relays: Vec<u16> = (0..6)
        .filter(|me| mates(*me, now).relay_rank(name(*me), now).is_some())
        .collect();
    let after = |me: u16| {
        let mut mates = mates(me, now);
        let later = now + millis(1_500);
        for number in (0..6).filter(|n| !relays.contains(n) && *n != me) {
            mates.apply_report(name(number), Incarnation(1), &news(number), later);
        }
        mates.relay_rank(name(me), later).is_some()
    };

    let heirs = (0..6).filter(|n| !relays.contains(n) && after(*n)).count();

    assert_eq!(relays.len(), 2);
    assert_eq!(heirs, 2, "the relays fell silent");
}

/// One relay of a domain is cut off and does not count as silent yet. Told by turns, its domain hears
/// by the other one with the next telling.
#[test]
fn relays_of_other_domains_are_told_by_turns() {
    let now = Instant::now();
    let mates = mates(0, now);

    let (first, pause, second, third) = (
        mates.relay_targets(0, 0, now),
        mates.relay_targets(0, 1, now),
        mates.relay_targets(0, 2, now),
        mates.relay_targets(0, 4, now),
    );

    assert_eq!(first.len(), 2, "one of each other domain");
    assert!(pause.is_empty(), "the other relay's turn");
    assert!(first.iter().all(|a| !second.contains(a)));
    assert_eq!(first, third);
}

/// In a large fleet, news to every instance would grow with the square of the fleet.
#[test]
fn news_of_a_large_fleet_stay_in_the_domain() {
    let now = Instant::now();
    let mut mates = mates(0, now);

    let targets = mates.gossip_targets(&[], 1, now);

    assert_eq!(targets.len(), 5);
    assert!(targets.iter().all(|a| mates.is_domain_peer(*a)));
}

/// An instance starts in a large fleet and knows only a seed, in another domain. The seed must tell it
/// of the others, though its own domain is not the seed's.
#[test]
fn an_instance_that_tells_us_itself_hears_back_from_another_domain() {
    let now = Instant::now();
    let mut mates = mates(0, now);

    mates.apply_report(name(7), Incarnation(2), &news(7), now);
    let told = (0..4).any(|round| {
        mates
            .gossip_targets(&[], round, now)
            .contains(&mate(7).peer_addr)
    });
    let later = (0..4).any(|round| {
        let at = now + millis(2_100);
        mates
            .gossip_targets(&[], round, at)
            .contains(&mate(7).peer_addr)
    });

    assert!(told);
    assert!(!later, "its relay tells of it by now");
}

/// Every instance of a large fleet hears of a change and asks one that knows it. Asked across failure
/// domains, whole lists would be most of the bytes that go there.
#[test]
fn one_of_the_own_domain_is_asked_before_others_that_know_more() {
    let now = Instant::now();
    let mut mates = mates(0, now);
    let mut far = member(8);
    (far.catalog_version, far.revision) = (9, 9);
    mates.apply_member(&far, now);

    let first = mates.sync_candidates(1, 1, &[], now);
    let mut near = news(3);
    (near.catalog_version, near.revision) = (5, 5);
    mates.apply_report(name(3), Incarnation(1), &near, now);
    let second = mates.sync_candidates(1, 1, &[], now);
    let third = mates.sync_candidates(5, 5, &[], now);

    let asked = [first, second, third].map(|a| a.iter().map(|h| h.info).collect::<Vec<_>>());
    assert_eq!(asked, [vec![mate(8)], vec![mate(3)], vec![mate(8)]]);
}

/// The reader of a domain tells of a new catalog and is stopped. It counts as live for a second more; asked
/// again and again, it would keep the others on an older catalog than their neighbours have.
#[test]
fn one_that_does_not_answer_is_passed_over_for_another_that_knows() {
    let now = Instant::now();
    let mut mates = mates(0, now);
    for (number, version) in [(2, 9), (3, 5)] {
        let mut news = news(number);
        news.catalog_version = version;
        mates.apply_report(name(number), Incarnation(1), &news, now);
    }

    let first = mates.sync_candidates(1, 1, &[], now);
    let then = mates.sync_candidates(1, 1, &[mate(2).peer_addr], now);

    assert_eq!(first[0].info, mate(2));
    assert_eq!(then[0].info, mate(3));
}

/// A domain's sums replace what it told before, whichever of its relays tells them, and count once.
#[test]
fn a_domain_counts_as_one_teller() {
    let now = Instant::now();
    let server = ServerId::of("s");
    let mut scheduler = scheduler(&[("s", "a")], now);
    let usage = vec![(
        AccountId::of("lab"),
        AccountUsage {
            requested: 10.0,
            served: 5.0,
        },
    )];
    let told = DomainWork::parts(DomainId::of("b"), &[(server, ONE)], &usage);

    for _ in 0..3 {
        for part in &told {
            scheduler.apply_domain_work(part.clone(), now);
        }
    }

    assert_eq!(scheduler.loads.total(server, now).running, 1);
    assert_eq!(
        scheduler.account_usage.fleet_totals(now)[&AccountId::of("lab")],
        usage[0].1
    );
}

/// A domain's sum falls when one of its relays has not heard of a member yet. Taken for a count that
/// wrapped, the difference would be four thousand million tokens of new work.
#[test]
fn a_sum_that_falls_brings_no_new_backlog() {
    let now = Instant::now();
    let (peer, server) = (InstanceId::of("b"), ServerId::of("s"));
    let mut loads = LoadTracker::default();
    let told = |sent| {
        let unread = 9_000;
        vec![(
            server,
            Work {
                total_prefill: sent,
                pending_prefill: unread,
                ..ONE
            },
        )]
    };

    loads.apply_peer_report(peer, told(50_000), now);
    let first = loads.backlog(server, now);
    loads.apply_peer_report(peer, told(20_000), now);

    assert_eq!(loads.backlog(server, now), first);
}

/// A domain of 16 instances before 90 servers with 30 accounts: each of its datagrams fits a packet.
#[test]
fn what_a_domain_tells_fits_packets() {
    let work: Vec<(ServerId, Work)> = (0..90)
        .map(|n| {
            let work = Work {
                running: 30,
                pending_prefill: 60_000,
                kv_tokens: 300_000,
                total_prefill: u32::MAX,
            };
            (ServerId::of(&format!("s{n}")), work)
        })
        .collect();
    let sums = AccountUsage {
        requested: 1e7,
        served: 1e7,
    };
    let usage: Vec<(AccountId, AccountUsage)> = (0..30)
        .map(|n| (AccountId::of(&format!("a{n}")), sums))
        .collect();

    let mut sealer = Sealer::new([7; 32], name(1), Incarnation(u64::MAX), 0);
    let parts = DomainWork::parts(DomainId::of("b"), &work, &usage);
    let sizes = parts
        .into_iter()
        .map(|p| Message::DomainWork(Box::new(p)))
        .map(|m| sealer.seal(&m).expect("it can be encoded").len());

    let sizes: Vec<usize> = sizes.collect();
    assert!(sizes.iter().all(|s| *s <= MAX_DATAGRAM_BYTES), "{sizes:?}");
}
