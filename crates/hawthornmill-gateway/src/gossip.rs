//! Exchanges state with the other instances over UDP.
//!
//! A piece of news is the periodic message in which an instance announces its state and work.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::routing::digest::{DomainWork, Member};
use hawthornmill::routing::news::{Mate, News, Seen};
use hawthornmill::wire::frame::{Frame, FrameError};
use hawthornmill::wire::{Message, Opener};
use serde_json::json;

use crate::datagrams::{self, DatagramSocket};
use crate::event_log;
use crate::gateway::{Gateway, Phase};
use crate::state_sync;

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
                let large = gateway.peers.borrow().is_large();
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
            .targets(&settings.seeds, round, now);
        let fleet_size = gateway.peers.borrow().most();
        gateway.desk.borrow_mut().budget.share_among(fleet_size);
        let news = build_news(&gateway, round, now);
        let others = targets.iter().filter(|t| **t != settings.listen.peer);
        datagrams.send(&Message::News(Box::new(news)), others.copied());
        send_leaving(&gateway, &datagrams, now);
        relay_domain(&gateway, &datagrams, round);
    }
}

/// Announces to nearby instances the servers that are leaving according to the store.
fn send_leaving(gateway: &Gateway, datagrams: &DatagramSocket, now: Instant) {
    let leaving = gateway.leaving_servers.borrow().near(now);
    if !leaving.is_empty() {
        let targets = gateway.peers.borrow().near(now);
        datagrams.send(&Message::Leaving(leaving), targets);
    }
}

/// Sends the state of this failure domain to the others, if this instance is one of its relays.
fn relay_domain(gateway: &Gateway, datagrams: &DatagramSocket, round: u64) {
    let now = gateway.now();
    let Some(rank) = gateway.peers.borrow().relay_rank(gateway.id, now) else {
        return;
    };
    let targets = gateway.peers.borrow().relays(rank, round, now);
    if targets.is_empty() {
        return;
    }
    let leaving = gateway.leaving_servers.borrow().far(now);
    let leaving = (!leaving.is_empty()).then_some(Message::Leaving(leaving));
    for message in leaving.into_iter().chain(domain_messages(gateway, now)) {
        datagrams.send(&message, targets.iter().copied());
    }
}

fn domain_messages(gateway: &Gateway, now: Instant) -> Vec<Message> {
    let settings = gateway.settings();
    let peers = gateway.peers.borrow();
    let mut desk = gateway.desk.borrow_mut();
    let mut members: Vec<Member> = peers
        .domain_mates(now)
        .map(|(id, h)| Member {
            id,
            run: h.incarnation,
            mate: h.mate,
            ready: h.ready,
            leaving: h.leaving,
            reading: h.reading,
            version: h.version,
            revision: h.revision,
        })
        .collect();
    let ids: Vec<InstanceId> = members.iter().map(|m| m.id).collect();
    members.push(Member {
        id: gateway.id,
        run: gateway.incarnation,
        mate: contact(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        reading: gateway.store_access.get(),
        version: gateway.catalog_version(),
        revision: desk.registry.latest(),
    });
    let work = desk.loads.sum(&ids);
    let mut usage = desk.usage.sum(&ids, now);
    usage.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked));
    usage.truncate(MAX_REPORTED);
    let members = desk.members(settings.domain, members, now);
    let parts = DomainWork::parts(settings.domain, &work, &usage);
    let parts = parts.into_iter().map(|p| Message::DomainWork(Box::new(p)));
    std::iter::once(Message::Members(Box::new(members)))
        .chain(parts)
        .collect()
}

fn contact(gateway: &Gateway) -> Mate {
    let settings = gateway.settings();
    Mate {
        front: settings.listen.front,
        peer: settings.listen.peer,
        domain: settings.domain,
    }
}

/// Announces this instance's work in flight to nearby instances.
fn send_work(gateway: &Gateway, datagrams: &DatagramSocket) {
    let work = {
        let loads = &mut gateway.desk.borrow_mut().loads;
        loads.told();
        let mut work = loads.own();
        work.truncate(MAX_REPORTED);
        work
    };
    let targets = gateway.peers.borrow().near(gateway.now());
    datagrams.send(&Message::Work(work), targets);
}

fn build_news(gateway: &Gateway, round: u64, now: Instant) -> News {
    let mut desk = gateway.desk.borrow_mut();
    let mut work = desk.loads.own();
    work.truncate(MAX_REPORTED);
    let mut usage = desk.usage.own(now);
    usage.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked));
    usage.truncate(MAX_REPORTED);
    News {
        mate: contact(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        reading: gateway.store_access.get(),
        version: gateway.catalog_version(),
        revision: desk.registry.latest(),
        work,
        usage,
        strays: desk.told_strays(now),
        short: desk.told_short(now),
        others: gateway.peers.borrow().named(round, now),
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
    if peers.relay_rank(gateway.id, now).is_none() || peers.is_domain_mate(from) {
        return;
    }
    let domain_peers = peers.domain_mates(now).map(|(_, mate)| mate.mate.peer);
    datagrams.send_frame(frame, domain_peers);
}

/// Handles a message of another instance.
fn handle_message(gateway: &Gateway, datagrams: &DatagramSocket, from: SocketAddr, frame: Frame) {
    let now = gateway.now();
    let own = gateway.settings().domain;
    let (sender, run) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::News(news) => handle_news(gateway, sender, run, &news),
        Message::Work(work) => gateway.desk.borrow_mut().loads.hear(sender, work, now),
        Message::Members(members) if members.domain != own => {
            for member in members.members.iter().filter(|m| m.id != gateway.id) {
                gateway.observe_version(member.version);
                let mut peers = gateway.peers.borrow_mut();
                if let Some(change) = peers.hear_member(member, now) {
                    log_peer_change(change, member.mate.peer, peers.live(now).count());
                }
            }
            gateway.desk.borrow_mut().hear_members(&members, now);
        }
        Message::DomainWork(work) if work.domain != own => {
            gateway.desk.borrow_mut().hear_work(*work, now);
        }
        Message::Leaving(all) => gateway.apply_leaving(&all),
        Message::Wanted(wanted) => state_sync::send_parts(gateway, datagrams, from, &wanted),
        Message::Part(part) => gateway.pending_state.add_part(from, part),
        _ => {}
    }
}

fn handle_news(gateway: &Gateway, sender: InstanceId, run: Incarnation, news: &News) {
    let now = gateway.now();
    gateway.observe_version(news.version);
    let mut peers = gateway.peers.borrow_mut();
    if let Some(change) = peers.hear(sender, run, news, now) {
        log_peer_change(change, news.mate.peer, peers.live(now).count());
    }
    let own = gateway.settings().domain;
    if peers.is_large() && news.mate.domain != own {
        // The totals of its domain include its work, which must not be counted twice.
        return;
    }
    let mut desk = gateway.desk.borrow_mut();
    desk.hear(sender, news, now);
    if desk.waiting() > 0 {
        gateway.queue_wakeup.notify_one();
    }
}

fn log_peer_change(change: Seen, peer: SocketAddr, live: usize) {
    let fields = json!({"mate": peer.to_string(), "how": format!("{change:?}"), "live": live});
    event_log::state_change("mate", fields);
}
