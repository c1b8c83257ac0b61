//! Summaries that failure domains of a large fleet exchange.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::ident::{AccountId, DomainId, Incarnation, InstanceId, ServerId, ServiceId};
use hawthornmill::routing::domain_summary::{DomainMembers, Member, MemberRotation};
use hawthornmill::routing::gossip::{InstanceReport, PeerInfo, PeerTable, StoreRole, UnmetDemand};
use hawthornmill::routing::load_parts::{Scope, split_demand, split_work};
use hawthornmill::routing::loads::{LoadTracker, Work};
use hawthornmill::routing::shape::PrefixKey;
use hawthornmill::routing::usage::{AccountUsage, ShareStatus};
use hawthornmill::wire::frame::MAX_DATAGRAM_BYTES;
use hawthornmill::wire::{Message, Sealer};
use hawthornmill_test_support::gossip::instance_report;

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

fn instance(number: u16) -> InstanceId {
    InstanceId::of(&format!("r{number}"))
}

/// Failure domain of an instance; each has six.
fn domain(number: u16) -> DomainId {
    DomainId::of(["a", "b", "c"][usize::from(number / 6).min(2)])
}

fn peer_info(number: u16) -> PeerInfo {
    PeerInfo {
        client_addr: address(2 * number + 1_000),
        peer_addr: address(2 * number + 1_001),
        domain: domain(number),
        cpu_percent: 12,
    }
}

fn report(number: u16) -> InstanceReport {
    instance_report(peer_info(number))
}

fn member(number: u16) -> Member {
    Member {
        id: instance(number),
        incarnation: Incarnation(1),
        info: peer_info(number),
        ready: true,
        leaving: false,
        silent: false,
        store_role: StoreRole::Connected,
        known: super::known(1, 1),
    }
}

/// Peer table of instance `me` in a fleet of 18, with reports of its own domain and summaries of the others.
fn peer_table(me: u16, now: Instant) -> PeerTable {
    let mut peer_table = PeerTable::new(domain(me), 12);
    for number in (0..18).filter(|n| *n != me) {
        if domain(number) == domain(me) {
            peer_table.apply_report(instance(number), Incarnation(1), &report(number), now);
        } else {
            peer_table.apply_member(&member(number), now);
        }
    }
    peer_table
}

#[test]
fn silent_relays_are_replaced() {
    let now = Instant::now();
    let relays: Vec<u16> = (0..6)
        .filter(|me| {
            peer_table(*me, now)
                .relay_rank(instance(*me), now)
                .is_some()
        })
        .collect();
    let after = |me: u16| {
        let mut peer_table = peer_table(me, now);
        let later = now + millis(1_500);
        for number in (0..6).filter(|n| !relays.contains(n) && *n != me) {
            peer_table.apply_report(instance(number), Incarnation(1), &report(number), later);
        }
        peer_table.relay_rank(instance(me), later).is_some()
    };

    let successors = (0..6).filter(|n| !relays.contains(n) && after(*n)).count();

    assert_eq!(relays.len(), 2);
    assert_eq!(successors, 2, "the relays fell silent");
}

/// Failure: a relay is cut off but not silent for long enough to be replaced, and its domain hears nothing until then.
/// With summaries sent to the relays in turn, the other relay gets the next one.
#[test]
fn relays_of_other_domains_are_addressed_in_turn() {
    let now = Instant::now();
    let peer_table = peer_table(0, now);

    let (first, pause, second, third) = (
        peer_table.relay_targets(0, 0, now),
        peer_table.relay_targets(0, 1, now),
        peer_table.relay_targets(0, 2, now),
        peer_table.relay_targets(0, 4, now),
    );

    assert_eq!(first.len(), 2, "one of each other domain");
    assert!(pause.is_empty(), "the other relay's turn");
    assert!(first.iter().all(|a| !second.contains(a)));
    assert_eq!(first, third);
}

/// Failure: every instance reports to every other one, and traffic grows with the square of the fleet.
#[test]
fn reports_in_a_large_fleet_stay_in_the_domain() {
    let now = Instant::now();
    let mut peer_table = peer_table(0, now);

    let targets = peer_table.gossip_targets(instance(0), &[], 1, now);

    assert_eq!(targets.len(), 5);
    assert!(targets.iter().all(|a| peer_table.is_domain_peer(*a)));
}

/// Failure: an instance that starts with a seed in another domain only never learns of the fleet, since the seed reports
/// to its own domain alone.
#[test]
fn direct_report_from_another_domain_is_answered() {
    let now = Instant::now();
    let mut peer_table = peer_table(0, now);

    peer_table.apply_report(instance(7), Incarnation(2), &report(7), now);
    let reported = (0..4).any(|round| {
        peer_table
            .gossip_targets(instance(0), &[], round, now)
            .contains(&peer_info(7).peer_addr)
    });
    let later = (0..4).any(|round| {
        let at = now + millis(2_100);
        peer_table
            .gossip_targets(instance(0), &[], round, at)
            .contains(&peer_info(7).peer_addr)
    });

    assert!(reported);
    assert!(!later, "its relay reports it by now");
}

/// Failure: reports name known peers, each of which counts as a stranger again and gets reports from every other failure
/// domain, so that traffic grows with the square of the fleet.
#[test]
fn peer_named_again_by_others_gets_no_direct_reports() {
    let now = Instant::now();
    let mut peer_table = peer_table(0, now);
    let mut naming_all = report(1);
    naming_all.known_peers = (0..18).map(|n| peer_info(n).peer_addr).collect();

    peer_table.apply_report(instance(1), Incarnation(1), &naming_all, now);
    let targets: Vec<SocketAddr> = (0..4)
        .flat_map(|round| peer_table.gossip_targets(instance(0), &[], round, now))
        .collect();

    let remote = (6..18).map(|n| peer_info(n).peer_addr);
    let remote_targets: Vec<SocketAddr> = remote.filter(|a| targets.contains(a)).collect();
    assert!(remote_targets.is_empty(), "{remote_targets:?}");
}

/// Failure: two instances of different failure domains each answer the other's direct report, without an end.
#[test]
fn direct_reports_end_once_relays_name_both_peers() {
    let start = Instant::now();
    let numbers = [0, 7];
    let mut tables = numbers.map(|n| peer_table(n, start));
    tables[1].apply_report(instance(0), Incarnation(1), &report(0), start);
    let mut late_reports = 0;

    for round in 0..40 {
        let now = start + millis(200 * round);
        for side in 0..2 {
            tables[side].apply_member(&member(numbers[1 - side]), now);
            let to = peer_info(numbers[1 - side]).peer_addr;
            if tables[side]
                .gossip_targets(instance(numbers[side]), &[], round, now)
                .contains(&to)
            {
                let from = numbers[side];
                tables[1 - side].apply_report(instance(from), Incarnation(1), &report(from), now);
                late_reports += u32::from(round >= 20);
            }
        }
    }

    assert_eq!(late_reports, 0);
}

/// Failure: failure domains that were cut off from each other for longer than the silence that is tolerated never meet
/// again, since only live peers are told anything and no seed is up.
#[test]
fn silent_peers_of_other_domains_are_probed_in_turn() {
    let now = Instant::now();
    let mut peer_table = peer_table(0, now);
    let later = now + millis(3_000);

    let probed: Vec<SocketAddr> = (0..40)
        .flat_map(|round| peer_table.gossip_targets(instance(0), &[], round, later))
        .collect();

    assert!((6..18).all(|n| probed.contains(&peer_info(n).peer_addr)));
    let most = (6..18).map(|n| {
        probed
            .iter()
            .filter(|a| **a == peer_info(n).peer_addr)
            .count()
    });
    assert!(most.max() <= Some(2), "they get few reports");
}

/// Failure: every instance of a large fleet requests a change from another failure domain, and whole lists make up most of
/// the bytes sent there.
#[test]
fn own_domain_is_asked_before_newer_remote_peers() {
    let now = Instant::now();
    let mut peer_table = peer_table(0, now);
    let mut far = member(8);
    far.known = super::known(9, 9);
    peer_table.apply_member(&far, now);

    let first = peer_table.sync_candidates(super::known(1, 1), &[], now);
    let mut near = report(3);
    near.known = super::known(5, 5);
    peer_table.apply_report(instance(3), Incarnation(1), &near, now);
    let second = peer_table.sync_candidates(super::known(1, 1), &[], now);
    let third = peer_table.sync_candidates(super::known(5, 5), &[], now);

    let asked = [first, second, third].map(|a| a.iter().map(|h| h.info).collect::<Vec<_>>());
    assert_eq!(
        asked,
        [vec![peer_info(8)], vec![peer_info(3)], vec![peer_info(8)]]
    );
}

/// Failure: a peer that stopped right after it announced a new catalog counts as live for another second and is asked
/// again and again, while others have a newer catalog.
#[test]
fn unresponsive_peer_is_skipped() {
    let now = Instant::now();
    let mut peer_table = peer_table(0, now);
    for (number, version) in [(2, 9), (3, 5)] {
        let mut report = report(number);
        report.known.catalog_version = version;
        peer_table.apply_report(instance(number), Incarnation(1), &report, now);
    }

    let first = peer_table.sync_candidates(super::known(1, 1), &[], now);
    let then = peer_table.sync_candidates(super::known(1, 1), &[peer_info(2).peer_addr], now);

    assert_eq!(first[0].info, peer_info(2));
    assert_eq!(then[0].info, peer_info(3));
}

/// Failure: a relay was paused or cut off, takes all its members for silent when it goes on, and the whole fleet stops
/// naming them to callers.
#[test]
fn relay_that_hears_hardly_any_member_names_none_as_silent() {
    let now = Instant::now();
    let later = now + millis(1_500);
    let named = |heard: u16| {
        let mut peer_table = peer_table(0, now);
        for number in 1..=heard {
            peer_table.apply_report(instance(number), Incarnation(1), &report(number), later);
        }
        let members = peer_table.domain_members(later);
        members.iter().filter(|m| m.silent).count()
    };

    assert_eq!([named(0), named(2), named(3), named(5)], [0, 0, 2, 0]);
}

/// Failure: a relay loses the reports of an instance that others hear themselves, and they take its word for it.
#[test]
fn peer_that_reports_here_is_live_whatever_a_relay_says() {
    let now = Instant::now();
    let later = now + millis(1_500);
    let mut peer_table = peer_table(0, now);
    let silent = |number| Member {
        silent: true,
        ..member(number)
    };
    peer_table.apply_report(instance(7), Incarnation(1), &report(7), later);

    peer_table.apply_member(&silent(7), later);
    peer_table.apply_member(&silent(8), later);
    let live = |id| peer_table.live(later).any(|(peer, _)| peer == id);

    assert_eq!([live(instance(7)), live(instance(8))], [true, false]);
}

/// Failure: the same summary, sent by two relays or repeatedly, is counted more than once.
#[test]
fn repeated_domain_summaries_count_once() {
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
    let scope = Scope::Domain(DomainId::of("b"));
    let work = split_work(scope, &[(server, ONE)]);
    let demand = split_demand(scope, &usage, &[], &[]);

    for relay in [instance(6), instance(7), instance(6)] {
        for part in &work {
            scheduler.apply_work(relay, part.clone(), now);
        }
        for part in &demand {
            scheduler.apply_demand(relay, part, now);
        }
    }

    assert_eq!(scheduler.loads.total(server, now).running, 1);
    assert_eq!(
        scheduler.account_usage.fleet_totals(now)[&AccountId::of("lab")],
        usage[0].1
    );
}

/// Failure: a relay that has not heard of a member yet reports a smaller total, and the difference, taken for a counter
/// that wrapped, adds four billion tokens to the backlog.
#[test]
fn decreasing_domain_total_adds_no_backlog() {
    let now = Instant::now();
    let (peer, server) = (InstanceId::of("b"), ServerId::of("s"));
    let mut loads = LoadTracker::default();
    let reported = |sent| {
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

    loads.apply_peer_report(peer, reported(50_000), now);
    let first = loads.backlog(server, now);
    loads.apply_peer_report(peer, reported(20_000), now);

    assert_eq!(loads.backlog(server, now), first);
}

/// Failure: a summary of 90 servers and 30 accounts, or of 12,000 and 230, exceeds the size of a datagram and is lost as a
/// whole, or what does not fit is left out of each one.
#[test]
fn summaries_fit_datagrams_and_leave_nothing_out() {
    let scope = Scope::Domain(DomainId::of("b"));
    let mut sealer = Sealer::new([7; 32], instance(1), Incarnation(u64::MAX), 0);
    for (servers, accounts) in [(90, 30), (12_000, 230)] {
        let (work, usage) = (busy_servers(servers), usages(accounts));
        let spilled: Vec<_> = (0..256)
            .map(|n| (PrefixKey(u64::MAX - n), work[0].0))
            .collect();
        let unmet = UnmetDemand {
            instances: u16::MAX,
            cost: u32::MAX,
        };
        let unmet: Vec<_> = (0..9)
            .map(|n| {
                (
                    ServiceId::of(&format!("m{n}")),
                    ShareStatus::BelowGuarantee,
                    unmet,
                )
            })
            .collect();

        let works = split_work(scope, &work);
        let demands = split_demand(scope, &usage, &unmet, &spilled);

        let mut sizes: Vec<usize> = Vec::new();
        for part in &works {
            let message = Message::WorkPart(Box::new(part.clone()));
            sizes.push(sealer.seal(&message).expect("it can be encoded").len());
        }
        for part in &demands {
            let message = Message::DemandPart(Box::new(part.clone()));
            sizes.push(sealer.seal(&message).expect("it can be encoded").len());
        }
        assert!(sizes.iter().all(|s| *s <= MAX_DATAGRAM_BYTES), "{sizes:?}");
        assert_eq!(works.iter().map(|p| p.work.len()).sum::<usize>(), servers);
        assert_eq!(
            demands.iter().map(|p| p.usage.len()).sum::<usize>(),
            accounts
        );
        assert_eq!(demands.iter().map(|p| p.spilled.len()).sum::<usize>(), 256);
        assert_eq!(demands.iter().map(|p| p.unmet.len()).sum::<usize>(), 9);
    }
}

/// Failure: instances repeat their spilled prefixes in each report, the repeats of a large domain fill the relay's memory, and
/// other domains read prompts again that a server has cached.
#[test]
fn relay_passes_on_each_spilled_prefix_whatever_is_repeated() {
    let start = Instant::now();
    let mut relay = scheduler(&[("s", "a")], start);
    let server = ServerId::of("s");
    let mut told = BTreeSet::new();

    for round in 0..4 {
        let now = start + millis(200 * round);
        for member in 0..48 {
            let spilled = [0, 1].map(|n| (PrefixKey(2 * u64::from(member) + n), server));
            for part in split_demand(Scope::Instance, &[], &[], &spilled) {
                relay.apply_demand(instance(member), &part, now);
            }
        }
        let parts = relay.domain_demand(domain(0), &[], now);
        told.extend(parts.into_iter().flat_map(|p| p.spilled));
    }

    assert_eq!(told.len(), 96);
}

fn busy_servers(count: usize) -> Vec<(ServerId, Work)> {
    let work = Work {
        running: 30,
        pending_prefill: 60_000,
        kv_tokens: 300_000,
        total_prefill: u32::MAX,
    };
    (0..count)
        .map(|n| (ServerId::of(&format!("s{n}")), work))
        .collect()
}

fn usages(count: usize) -> Vec<(AccountId, AccountUsage)> {
    let sums = AccountUsage {
        requested: 1e7,
        served: 1e7,
    };
    (0..count)
        .map(|n| (AccountId::of(&format!("a{n}")), sums))
        .collect()
}

/// Failure: a report shrinks from two parts to one, and the second part counts on until it expires.
#[test]
fn parts_of_a_longer_report_are_replaced_by_a_shorter_one() {
    let now = Instant::now();
    let work = busy_servers(80);
    let mut loads = LoadTracker::default();
    let apply = |loads: &mut LoadTracker, count: usize| {
        for part in split_work(Scope::Instance, &work[..count]) {
            loads.apply_part(instance(1), part, now);
        }
    };

    apply(&mut loads, 80);
    let all = loads.total(work[79].0, now).running;
    apply(&mut loads, 20);

    assert_eq!(all, 30);
    assert_eq!(loads.total(work[79].0, now).running, 0);
    assert_eq!(loads.total(work[0].0, now).running, 30);
}

/// Failure: the members of a large failure domain exceed a datagram, and those at its end are never named; or one that is
/// about to stop is named only in its turn.
#[test]
fn all_members_of_a_large_domain_are_named_and_changed_ones_first() {
    let mut members: Vec<Member> = (0..49).map(member).collect();
    let mut rotation = MemberRotation::default();
    let mut sealer = Sealer::new([7; 32], instance(1), Incarnation(u64::MAX), 0);
    let mut named: BTreeMap<InstanceId, u32> = BTreeMap::new();

    for _ in 0..4 {
        let batch = rotation.next_batch(&members);
        for member in &batch {
            *named.entry(member.id).or_default() += 1;
        }
        let message = Message::DomainMembers(Box::new(DomainMembers {
            domain: domain(0),
            members: batch,
        }));
        let frame = sealer.seal(&message).expect("it can be encoded");
        assert!(frame.len() <= MAX_DATAGRAM_BYTES, "{}", frame.len());
    }
    members[40].leaving = true;
    let next = rotation.next_batch(&members);

    assert_eq!(named.len(), 49);
    assert!(next.iter().any(|m| m.id == instance(40) && m.leaving));
}
