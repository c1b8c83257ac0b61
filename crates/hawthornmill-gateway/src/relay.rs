//! Relays what the instances of a failure domain report, to the other domains and to the domain itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::InstanceId;
use hawthornmill::quarantine::table::REPEAT_ROUNDS;
use hawthornmill::routing::domain_summary::{DomainMembers, Member};
use hawthornmill::routing::load_parts::Scope;
use hawthornmill::routing::recent::Audience;
use hawthornmill::wire::Message;
use hawthornmill::wire::frame::Frame;

use crate::datagrams::DatagramSocket;
use crate::gateway::Gateway;
use crate::gossip::own_info;
use crate::lifecycle::Phase;
use crate::server_speeds;

/// Interval at which the relay of a large failure domain tells some of its members the work of the rest of the fleet.
const SLICE_INTERVAL: Duration = Duration::from_millis(25);
/// Slices of the members; each member is told once in this many intervals, so that datagrams don't come in bursts.
const SLICES: u64 = 4;
/// Interval at which another instance checks whether it is the relay now.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Intervals between two reports on a large domain to the others, and between two on demand to a member.
const DOMAIN_INTERVALS: u64 = 8;
/// Intervals between two messages on the lasting speed of servers from a large domain: 2 s.
const SPEED_INTERVALS: u64 = 80;
/// Intervals between two messages on members of a large domain.
const MEMBERS_INTERVALS: u64 = 16;

/// Sends the state of this failure domain to the others, if this instance is one of its relays.
pub fn relay_domain(gateway: &Gateway, datagrams: &DatagramSocket, round: u64) {
    let now = gateway.now();
    let Some(rank) = gateway.peers.borrow().relay_rank(gateway.id, now) else {
        return;
    };
    let targets = gateway.peers.borrow().relay_targets(rank, round, now);
    if targets.is_empty() {
        return;
    }
    send_announcements(gateway, datagrams, &targets, now);
    let all = round.is_multiple_of(REPEAT_ROUNDS);
    send_quarantine_reports(gateway, datagrams, &targets, all, now);
    send_members(gateway, datagrams, &targets, now);
    send_domain_load(gateway, datagrams, &targets, now);
    let with_lasting = server_speeds::tells_lasting(rank, round);
    server_speeds::send_domain(gateway, datagrams, &targets, with_lasting, now);
}

/// Speaks for a large failure domain while this instance is its first relay, until the process ends.
pub async fn relay_large_domain(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut interval: u64 = 0;
    loop {
        tokio::time::sleep_until(gateway.next_tick(SLICE_INTERVAL)).await;
        interval += 1;
        let now = gateway.now();
        let (is_relay, speaks) = {
            let peers = gateway.peers.borrow();
            let large = peers.is_large_domain();
            let is_relay = peers.relay_rank(gateway.id, now).is_some();
            (
                large && is_relay,
                large && peers.speaks_for_domain(gateway.id, now),
            )
        };
        if is_relay {
            gateway.scheduler.borrow_mut().forget_rest_of_fleet();
        }
        if speaks {
            tell_members(&gateway, &datagrams, interval, now);
            tell_domains(&gateway, &datagrams, interval, now);
        } else {
            tokio::time::sleep_until(gateway.next_tick(ROLE_CHECK_INTERVAL)).await;
        }
    }
}

/// Tells a slice of the members what the rest of the fleet does.
fn tell_members(gateway: &Gateway, datagrams: &DatagramSocket, interval: u64, now: Instant) {
    let peers = gateway.peers.borrow();
    let mut scheduler = gateway.scheduler.borrow_mut();
    let fleet = scheduler.fleet_load(now);
    let with_demand = (interval / SLICES).is_multiple_of(DOMAIN_INTERVALS / SLICES);
    let members = peers.domain_peers(now);
    for (id, peer) in members.filter(|(id, _)| id.0 % SLICES == interval % SLICES) {
        let target = [peer.info.peer_addr];
        let work = scheduler.work_without(&fleet, id);
        let is_idle = work.iter().all(|p| p.work.is_empty());
        if with_demand || !is_idle {
            datagrams.send_work(work, &target);
        }
        if with_demand {
            datagrams.send_demand(scheduler.demand_without(&fleet, id, now), &target);
        }
    }
}

/// Tells the relays of other domains the load of this one, and all of them and the own members who its members are.
fn tell_domains(gateway: &Gateway, datagrams: &DatagramSocket, interval: u64, now: Instant) {
    if !interval.is_multiple_of(DOMAIN_INTERVALS) {
        return;
    }
    let mut targets: Vec<SocketAddr> = {
        let peers = gateway.peers.borrow();
        peers.remote_relays(now).into_iter().flatten().collect()
    };
    send_announcements(gateway, datagrams, &targets, now);
    let all = (interval / DOMAIN_INTERVALS).is_multiple_of(REPEAT_ROUNDS);
    send_quarantine_reports(gateway, datagrams, &targets, all, now);
    send_domain_load(gateway, datagrams, &targets, now);
    let with_lasting = interval.is_multiple_of(SPEED_INTERVALS);
    server_speeds::send_domain(gateway, datagrams, &targets, with_lasting, now);
    let members: Vec<SocketAddr> = {
        let peers = gateway.peers.borrow();
        peers
            .domain_peers(now)
            .map(|(_, p)| p.info.peer_addr)
            .collect()
    };
    server_speeds::send_fleet(gateway, datagrams, &members, with_lasting, now);
    if interval.is_multiple_of(MEMBERS_INTERVALS) {
        targets.extend(members);
        send_members(gateway, datagrams, &targets, now);
    }
}

fn send_announcements(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    targets: &[SocketAddr],
    now: Instant,
) {
    let audience = Audience::OtherDomains;
    let announced = gateway.announcements.borrow().for_audience(audience, now);
    if !announced.is_empty() {
        let message = Message::Announcements(Box::new(announced));
        datagrams.send(&message, targets.iter().copied());
    }
}

/// Sends what this instance knows of ended servers; `all` adds every quarantined request.
fn send_quarantine_reports(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    targets: &[SocketAddr],
    all: bool,
    now: Instant,
) {
    let quarantine = gateway.quarantine.borrow();
    for message in quarantine.messages(Audience::OtherDomains, all, now) {
        let message = Message::QuarantineReport(Box::new(message));
        datagrams.send(&message, targets.iter().copied());
    }
}

fn send_members(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    targets: &[SocketAddr],
    now: Instant,
) {
    let members = members(gateway, now);
    let domain = gateway.settings().domain;
    let members = gateway.member_rotation.borrow_mut().next_batch(&members);
    let message = Message::DomainMembers(Box::new(DomainMembers { domain, members }));
    datagrams.send(&message, targets.iter().copied());
}

fn send_domain_load(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    targets: &[SocketAddr],
    now: Instant,
) {
    let domain = gateway.settings().domain;
    let ids: Vec<InstanceId> = {
        let peers = gateway.peers.borrow();
        peers.domain_peers(now).map(|(id, _)| id).collect()
    };
    let mut scheduler = gateway.scheduler.borrow_mut();
    datagrams.send_demand(scheduler.domain_demand(domain, &ids, now), targets);
    datagrams.send_work(scheduler.domain_work(domain, &ids), targets);
}

/// Returns the instances of this failure domain that are live or were so lately, this one first.
fn members(gateway: &Gateway, now: Instant) -> Vec<Member> {
    let own = Member {
        id: gateway.id,
        incarnation: gateway.incarnation,
        info: own_info(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        silent: false,
        store_role: gateway.store_role.get(),
        known: gateway.known_state(),
    };
    let others = gateway.peers.borrow().domain_members(now);
    std::iter::once(own).chain(others).collect()
}

/// Forwards a frame of another failure domain to this one, if this instance is one of its relays.
///
/// Frames from this domain are skipped: another relay has forwarded them. In a large domain, only one relay forwards, and
/// loads are told in sum.
pub fn forward(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    frame: &Frame,
    bytes: &[u8],
    from: SocketAddr,
) {
    let peers = gateway.peers.borrow();
    let large = peers.is_large_domain();
    let is_relayed = match &frame.message {
        Message::DomainMembers(_) | Message::Announcements(_) | Message::QuarantineReport(_) => {
            true
        }
        Message::WorkPart(part) => matches!(part.scope, Scope::Domain(_)) && !large,
        Message::DemandPart(part) => matches!(part.scope, Scope::Domain(_)) && !large,
        Message::SpeedReport(told) => matches!(told.scope, Scope::Domain(_)) && !large,
        _ => false,
    };
    if !is_relayed {
        return;
    }
    let now = gateway.now();
    let forwards = if large {
        peers.speaks_for_domain(gateway.id, now)
    } else {
        peers.relay_rank(gateway.id, now).is_some()
    };
    if !forwards || peers.is_domain_peer(from) {
        return;
    }
    let domain_peers = peers.domain_peers(now).map(|(_, peer)| peer.info.peer_addr);
    datagrams.send_frame(bytes, domain_peers);
}

/// Returns whether this instance takes over a load of `scope`.
///
/// In a large domain, only relays sum up what instances and other domains report, and the others take over that sum;
/// whoever did both would count work twice.
pub fn takes_over(gateway: &Gateway, scope: Scope) -> bool {
    let peers = gateway.peers.borrow();
    let is_relay = peers.relay_rank(gateway.id, gateway.now()).is_some();
    let sums_up = is_relay || !peers.is_large_domain();
    match scope {
        Scope::Instance => sums_up,
        Scope::Domain(domain) => sums_up && domain != gateway.settings().domain,
        Scope::RestOfFleet => !sums_up,
    }
}
