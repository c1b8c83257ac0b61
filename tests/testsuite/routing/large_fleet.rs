//! Exchange between the instances of a large fleet, in a fixed order and without sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use hawthornmill::ident::{DomainId, Incarnation, InstanceId};
use hawthornmill::routing::domain_summary::{Member, MemberRotation};
use hawthornmill::routing::gossip::{InstanceReport, PeerInfo, PeerTable, StoreRole};
use hawthornmill_test_support::gossip::instance_report;

use super::millis;

/// Failure domains of the fleet.
const DOMAINS: usize = 6;
/// Time between two reports of an instance.
const ROUND_MS: u64 = 200;

struct Instance {
    id: InstanceId,
    info: PeerInfo,
    peer_table: PeerTable,
    rotation: MemberRotation,
    received: u32,
}

impl Instance {
    fn new(number: usize) -> Self {
        let domain = DomainId::of(&format!("domain {}", number % DOMAINS));
        let port = |offset| SocketAddr::from(([127, 0, 0, 1], (2 * number + offset) as u16));
        let info = PeerInfo {
            client_addr: port(1_000),
            peer_addr: port(1_001),
            domain,
            cpu_percent: if number < 3 * DOMAINS { 50 } else { 12 },
        };
        Self {
            id: InstanceId::of(&format!("r{number}")),
            info,
            peer_table: PeerTable::new(domain, info.cpu_percent),
            rotation: MemberRotation::default(),
            received: 0,
        }
    }

    fn member(&self) -> Member {
        Member {
            id: self.id,
            incarnation: Incarnation(1),
            info: self.info,
            ready: true,
            leaving: false,
            silent: false,
            store_role: StoreRole::Connected,
            known: super::known(1, 1),
        }
    }
}

struct Fleet {
    instances: Vec<Instance>,
    by_address: BTreeMap<SocketAddr, usize>,
    start: Instant,
    /// Instances that were killed.
    gone: BTreeSet<InstanceId>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let instances: Vec<Instance> = (0..count).map(Instance::new).collect();
        let addresses = instances.iter().map(|i| i.info.peer_addr);
        Self {
            by_address: addresses.zip(0..).collect(),
            instances,
            start: Instant::now(),
            gone: BTreeSet::new(),
        }
    }

    /// One round of reports of all instances, and of their relays in every second one.
    fn exchange(&mut self, round: u64, seeds: &[SocketAddr]) {
        let now = self.start + millis(ROUND_MS * round);
        for from in 0..self.instances.len() {
            let instance = &mut self.instances[from];
            if self.gone.contains(&instance.id) {
                continue;
            }
            let targets = instance
                .peer_table
                .gossip_targets(instance.id, seeds, round, now);
            let report = InstanceReport {
                known_peers: instance.peer_table.peer_sample(instance.id, round, now),
                ..instance_report(instance.info)
            };
            let (id, own) = (instance.id, instance.info.peer_addr);
            for to in targets.iter().filter(|to| **to != own) {
                let Some(to) = self.by_address.get(to) else {
                    continue;
                };
                let to = &mut self.instances[*to];
                to.received += 1;
                to.peer_table.apply_report(id, Incarnation(1), &report, now);
            }
            if round.is_multiple_of(2) {
                self.relay(from, now);
            }
        }
    }

    fn relay(&mut self, from: usize, now: Instant) {
        let instance = &mut self.instances[from];
        let peer_table = &instance.peer_table;
        if !peer_table.is_large_domain() || !peer_table.speaks_for_domain(instance.id, now) {
            return;
        }
        let mut members = vec![instance.member()];
        members.extend(peer_table.domain_members(now));
        let batch = instance.rotation.next_batch(&members);
        let domain = instance.info.domain;
        let near: Vec<SocketAddr> = peer_table
            .domain_peers(now)
            .map(|(_, p)| p.info.peer_addr)
            .collect();
        let far: Vec<SocketAddr> = peer_table
            .remote_relays(now)
            .into_iter()
            .flatten()
            .collect();
        for to in near {
            self.name_members(to, domain, &batch, now);
        }
        for to in far {
            self.name_members(to, domain, &batch, now);
            let relay = &self.instances[self.by_address[&to]];
            if !relay.peer_table.speaks_for_domain(relay.id, now) {
                continue;
            }
            let members = relay.peer_table.domain_peers(now);
            let forwarded: Vec<SocketAddr> = members.map(|(_, p)| p.info.peer_addr).collect();
            for to in forwarded {
                self.name_members(to, domain, &batch, now);
            }
        }
    }

    fn name_members(&mut self, to: SocketAddr, domain: DomainId, batch: &[Member], now: Instant) {
        let to = &mut self.instances[self.by_address[&to]];
        to.received += 1;
        let own_relay = domain == to.info.domain && to.peer_table.relay_rank(to.id, now).is_some();
        if !own_relay {
            for member in batch.iter().filter(|m| m.id != to.id) {
                to.peer_table.apply_member(member, now);
            }
        }
    }

    /// Number of instances that know all others as live.
    fn complete(&self, round: u64) -> usize {
        let now = self.start + millis(ROUND_MS * round);
        let others = self.instances.len() - 1;
        let all = self.instances.iter();
        all.filter(|i| i.peer_table.live(now).count() == others)
            .count()
    }
}

/// Datagrams that an instance receives in a second once a fleet of `count` has met: the mean, and the most.
fn datagrams_a_second(count: usize) -> (f64, u32) {
    let mut fleet = Fleet::new(count);
    let seeds: Vec<SocketAddr> = (0..3).map(|n| fleet.instances[n].info.peer_addr).collect();
    (0..30).for_each(|round| fleet.exchange(round, &seeds));
    for instance in &mut fleet.instances {
        instance.received = 0;
    }

    (30..40).for_each(|round| fleet.exchange(round, &seeds));

    assert_eq!(fleet.complete(39), count, "instances that know all others");
    let received = || fleet.instances.iter().map(|i| i.received);
    let seconds = 10.0 * ROUND_MS as f64 / 1_000.0;
    let mean = f64::from(received().sum::<u32>()) / count as f64 / seconds;
    (
        mean,
        (f64::from(received().max().unwrap_or(0)) / seconds) as u32,
    )
}

/// Failure: each instance of a domain reports to each other one, and relays pass on every report; what an instance
/// receives grows with the fleet until its processor does nothing else.
#[test]
fn exchange_of_an_instance_does_not_grow_with_the_fleet() {
    let ((mean, _), (large_mean, large_most)) = (datagrams_a_second(150), datagrams_a_second(300));

    assert!(large_mean <= 1.2 * mean, "{mean} {large_mean}");
    assert!(large_mean <= 50.0, "{large_mean}");
    assert!(large_most <= 800, "{large_most}");
}

/// Failure: all instances are killed at once and start again; they find each other through stale seeds, late.
#[test]
fn fleet_that_starts_at_once_knows_all_instances_within_three_seconds() {
    let mut fleet = Fleet::new(300);
    let gone = SocketAddr::from(([127, 0, 0, 1], 9));
    let seeds = [gone, fleet.instances[0].info.peer_addr, gone];

    for round in 0..=15 {
        fleet.exchange(round, &seeds);
    }

    assert_eq!(fleet.complete(15), 300);
}

/// Failure: the first relay of a large domain is gone, and its members hear nothing of the fleet until it counts as silent
/// everywhere.
#[test]
fn second_relay_speaks_once_the_first_is_silent() {
    let mut fleet = Fleet::new(300);
    let seeds = [fleet.instances[0].info.peer_addr];
    (0..20).for_each(|round| fleet.exchange(round, &seeds));
    let at = |round: u64| fleet.start + millis(ROUND_MS * round);
    let speakers = |now: Instant| {
        let all = fleet.instances.iter();
        let own = all.filter(|i| i.info.domain == fleet.instances[0].info.domain);
        own.filter(|i| i.peer_table.speaks_for_domain(i.id, now))
            .map(|i| i.id)
            .collect::<Vec<_>>()
    };

    let (before, after) = (speakers(at(20)), speakers(at(23)));

    assert_eq!(before.len(), 1);
    assert!(after.len() == 2 && after.contains(&before[0]), "{after:?}");
}

/// Failure: a member of a large domain is killed, its relay waits until it counts as silent, each other instance waits once
/// more after the relay's last word on it, and callers are sent to the dead instance for four seconds.
#[test]
fn killed_member_is_not_live_anywhere_within_two_and_a_half_seconds() {
    let mut fleet = Fleet::new(300);
    let seeds = [fleet.instances[0].info.peer_addr];
    (0..20).for_each(|round| fleet.exchange(round, &seeds));
    let killed = fleet.instances[200].id;
    fleet.gone.insert(killed);

    (20..=32).for_each(|round| fleet.exchange(round, &seeds));

    let now = fleet.start + millis(ROUND_MS * 32);
    let others = fleet.instances.iter().filter(|i| i.id != killed);
    let believing = others.filter(|i| i.peer_table.live(now).any(|(id, _)| id == killed));
    assert_eq!(believing.count(), 0, "instances that count it as live");
}
