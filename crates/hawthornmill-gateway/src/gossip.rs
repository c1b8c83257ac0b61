//! Exchanges state with the other instances over UDP.
//!
//! A piece of news is the periodic message in which an instance announces its state and work.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::routing::domain_summary::{DomainWork, Member};
use hawthornmill::routing::gossip::{InstanceReport, PeerChange, PeerInfo};
use hawthornmill::wire::frame::{Frame, FrameError};
use hawthornmill::wire::{Message, Opener};
use serde_json::json;

use crate::datagrams::{self, DatagramSocket};
use crate::gateway::{Gateway, Phase};
use crate::{event_log, state_sync};

/// Shortest time between two pieces of news.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(40);
/// Shortest time between two announcements of work; a peer dispatches about ten requests in it.
const MIN_WORK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two announcements of work to the dozen peers in a large fleet.
const MIN_WORK_INTERVAL_LARGE: Duration = Duration::from_millis(50);
/// Most work entries and client accounts in a message, so that it fits into a packet.
const MAX_REPORTED: usize = 48;

/// Replayed datagrams after which the recorded sequence numbers are cleared.
///
/// A process that restarts after its machine's clock was set back has a lower run number than before.
/// Without this limit, all its datagrams would be dropped as replays.
const MAX_REPLAYS: u32 = 6;

/// Sends news and announcements of work until the process ends.
pub async fn send_news(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut round = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = gateway.news_wakeup.notified() => tokio::time::sleep(MIN_NEWS_INTERVAL).await,
            () = gateway.work_wakeup.notified() => {
                send_work(&gateway, &datagrams);
                let large = gateway.peers.borrow().is_large_fleet();
                let interval = if large { MIN_WORK_INTERVAL_LARGE } else { MIN_WORK_INTERVAL };
                tokio::time::sleep(interval).await;
                continue;
            }
        }
        due = tokio::time::Instant::now() + gateway.settings().news_interval;
        round += 1;
        let now = gateway.now();
        let settings = gateway.settings();
        let targets = gateway
            .peers
            .borrow_mut()
            .gossip_targets(&settings.seeds, round, now);
        let fleet_size = gateway.peers.borrow().max_seen();
        gateway
            .scheduler
            .borrow_mut()
            .retry_budget
            .observe_instances(fleet_size);
        let news = build_news(&gateway, round, now);
        let others = targets.iter().filter(|t| **t != settings.listen.peer);
        datagrams.send(&Message::News(Box::new(news)), others.copied());
        send_leaving(&gateway, &datagrams, now);
        relay_domain(&gateway, &datagrams, round);
    }
}

/// Announces to nearby instances the servers that are leaving according to the store.
fn send_leaving(gateway: &Gateway, datagrams: &DatagramSocket, now: Instant) {
    let leaving = gateway.leaving_servers.borrow().for_domain(now);
    if !leaving.is_empty() {
        let targets = gateway.peers.borrow().broadcast_targets(now);
        datagrams.send(&Message::Leaving(leaving), targets);
    }
}

/// Sends the state of this failure domain to the others, if this instance is one of its relays.
fn relay_domain(gateway: &Gateway, datagrams: &DatagramSocket, round: u64) {
    let now = gateway.now();
    let Some(rank) = gateway.peers.borrow().relay_rank(gateway.id, now) else {
        return;
    };
    let targets = gateway.peers.borrow().relay_targets(rank, round, now);
    if targets.is_empty() {
        return;
    }
    let leaving = gateway.leaving_servers.borrow().for_other_domains(now);
    let leaving = (!leaving.is_empty()).then_some(Message::Leaving(leaving));
    for message in leaving.into_iter().chain(domain_messages(gateway, now)) {
        datagrams.send(&message, targets.iter().copied());
    }
}

fn domain_messages(gateway: &Gateway, now: Instant) -> Vec<Message> {
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let mut scheduler = gateway.scheduler.borrow_mut();
    let mut members: Vec<Member> = peers
        .domain_peers(now)
        .map(|(id, h)| Member {
            id,
            incarnation: h.incarnation,
            info: h.info,
            ready: h.ready,
            leaving: h.leaving,
            store_role: h.store_role,
            catalog_version: h.catalog_version,
            revision: h.revision,
        })
        .collect();
    let ids: Vec<InstanceId> = members.iter().map(|m| m.id).collect();
    members.push(Member {
        id: gateway.id,
        incarnation: gateway.incarnation,
        info: contact(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        store_role: gateway.store_access.get(),
        catalog_version: gateway.catalog_version(),
        revision: scheduler.registry.latest_revision(),
    });
    let work = scheduler.loads.domain_sum(&ids);
    let mut usage = scheduler.account_usage.domain_sum(&ids, now);
    usage.sort_by(|a, b| b.1.requested.total_cmp(&a.1.requested));
    usage.truncate(MAX_REPORTED);
    let members = scheduler.domain_members(settings.domain, members, now);
    let parts = DomainWork::parts(settings.domain, &work, &usage);
    let parts = parts.into_iter().map(|p| Message::DomainWork(Box::new(p)));
    std::iter::once(Message::Members(Box::new(members)))
        .chain(parts)
        .collect()
}

fn contact(gateway: &Gateway) -> PeerInfo {
    let settings = gateway.settings();
    PeerInfo {
        client_addr: settings.listen.front,
        peer_addr: settings.listen.peer,
        domain: settings.domain,
    }
}

/// Announces this instance's work in flight to nearby instances.
fn send_work(gateway: &Gateway, datagrams: &DatagramSocket) {
    let work = {
        let loads = &mut gateway.scheduler.borrow_mut().loads;
        loads.mark_broadcast();
        let mut work = loads.local();
        work.truncate(MAX_REPORTED);
        work
    };
    let targets = gateway.peers.borrow().broadcast_targets(gateway.now());
    datagrams.send(&Message::Work(work), targets);
}

fn build_news(gateway: &Gateway, round: u64, now: Instant) -> InstanceReport {
    let mut scheduler = gateway.scheduler.borrow_mut();
    let mut work = scheduler.loads.local();
    work.truncate(MAX_REPORTED);
    let mut usage = scheduler.account_usage.local(now);
    usage.sort_by(|a, b| b.1.requested.total_cmp(&a.1.requested));
    usage.truncate(MAX_REPORTED);
    InstanceReport {
        info: contact(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        store_role: gateway.store_access.get(),
        catalog_version: gateway.catalog_version(),
        revision: scheduler.registry.latest_revision(),
        work,
        usage,
        spilled: scheduler.spilled_prefixes(now),
        unmet: scheduler.unmet_demand(now),
        known_peers: gateway.peers.borrow().peer_sample(round, now),
    }
}

/// Receives datagrams until the process ends.
pub async fn receive(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut opener = Opener::new(gateway.settings().key, datagrams::CHANNEL);
    let mut buffer = vec![0; 65_536];
    let mut replays = 0;
    loop {
        let Ok((length, from)) = datagrams.socket.recv_from(&mut buffer).await else {
            // An unreachable peer causes an error on the next receive; the socket stays usable.
            tokio::task::yield_now().await;
            continue;
        };
        match opener.open(&buffer[..length]) {
            Ok(frame) if frame.sender == gateway.id => {}
            Ok(frame) => {
                if is_relayed(&frame.message) {
                    forward_to_domain(&gateway, &datagrams, &buffer[..length], from);
                }
                handle_message(&gateway, &datagrams, from, frame);
            }
            Err(FrameError::Replayed) => {
                replays += 1;
                if replays > MAX_REPLAYS {
                    opener = Opener::new(gateway.settings().key, datagrams::CHANNEL);
                    replays = 0;
                }
            }
            Err(error) => log::warn!(target: "mates", "datagram dropped: {error}"),
        }
    }
}

/// Tells whether failure domains exchange `message` through relays.
const fn is_relayed(message: &Message) -> bool {
    matches!(
        message,
        Message::Members(_) | Message::DomainWork(_) | Message::Leaving(_)
    )
}

/// Forwards a frame of another failure domain to this one, if this instance is one of its relays.
///
/// Frames from this domain are skipped: another relay has forwarded them.
fn forward_to_domain(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    frame: &[u8],
    from: SocketAddr,
) {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    if peers.relay_rank(gateway.id, now).is_none() || peers.is_domain_peer(from) {
        return;
    }
    let domain_peers = peers.domain_peers(now).map(|(_, mate)| mate.info.peer_addr);
    datagrams.send_frame(frame, domain_peers);
}

/// Handles a message of another instance.
fn handle_message(gateway: &Gateway, datagrams: &DatagramSocket, from: SocketAddr, frame: Frame) {
    let now = gateway.now();
    let own = gateway.settings().domain;
    let (sender, run) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::News(news) => handle_news(gateway, sender, run, &news),
        Message::Work(work) => gateway
            .scheduler
            .borrow_mut()
            .loads
            .apply_peer_report(sender, work, now),
        Message::Members(members) if members.domain != own => {
            for member in members.members.iter().filter(|m| m.id != gateway.id) {
                gateway.observe_version(member.catalog_version);
                let mut peers = gateway.peers.borrow_mut();
                if let Some(change) = peers.apply_member(member, now) {
                    log_peer_change(change, member.info.peer_addr, peers.live(now).count());
                }
            }
            gateway
                .scheduler
                .borrow_mut()
                .apply_domain_members(&members, now);
        }
        Message::DomainWork(work) if work.domain != own => {
            gateway.scheduler.borrow_mut().apply_domain_work(*work, now);
        }
        Message::Leaving(all) => gateway.apply_leaving(&all),
        Message::Wanted(wanted) => state_sync::send_parts(gateway, datagrams, from, &wanted),
        Message::Part(part) => gateway.pending_state.add_part(from, part),
        _ => {}
    }
}

fn handle_news(gateway: &Gateway, sender: InstanceId, run: Incarnation, news: &InstanceReport) {
    let now = gateway.now();
    gateway.observe_version(news.catalog_version);
    let mut peers = gateway.peers.borrow_mut();
    if let Some(change) = peers.apply_report(sender, run, news, now) {
        log_peer_change(change, news.info.peer_addr, peers.live(now).count());
    }
    let own = gateway.settings().domain;
    if peers.is_large_fleet() && news.info.domain != own {
        // The totals of its domain include its work, which must not be counted twice.
        return;
    }
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.apply_report(sender, news, now);
    if scheduler.queue_len() > 0 {
        gateway.queue_wakeup.notify_one();
    }
}

fn log_peer_change(change: PeerChange, peer: SocketAddr, live: usize) {
    let fields = json!({"mate": peer.to_string(), "how": format!("{change:?}"), "live": live});
    event_log::state_change("mate", fields);
}
