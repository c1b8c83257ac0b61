//! News to and from the other instances, over UDP.

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

/// Least time between two pieces of news, however much changes.
const LEAST_PAUSE: Duration = Duration::from_millis(40);
/// Least time between two tellings of work, in which others would send some ten requests.
const WORK_PAUSE: Duration = Duration::from_millis(20);
/// The same in a large fleet, where each telling goes to a dozen mates.
const WORK_PAUSE_LARGE: Duration = Duration::from_millis(50);
/// Work entries and accounts told at most, so that news fit a packet.
const MOST_TOLD: usize = 48;

/// Datagrams dropped as seen before, without one that was taken between, after which the memory of
/// numbers is dropped.
///
/// A process that restarts after its machine's time of day was set back has a lower run number than
/// the one before, and would be taken for an echo of it for ever.
const MOST_ECHOES: u32 = 6;

/// Sends news for as long as the process lives.
pub async fn send_news(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut round = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = gateway.news_wakeup.notified() => tokio::time::sleep(LEAST_PAUSE).await,
            () = gateway.work_wakeup.notified() => {
                announce_work(&gateway, &datagrams);
                let large = gateway.peers.borrow().is_large();
                let pause = if large { WORK_PAUSE_LARGE } else { WORK_PAUSE };
                tokio::time::sleep(pause).await;
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
        let most = gateway.peers.borrow().most();
        gateway.desk.borrow_mut().budget.share_among(most);
        let news = news(&gateway, round, now);
        let others = targets.iter().filter(|t| **t != settings.listen.peer);
        datagrams.send(&Message::News(Box::new(news)), others.copied());
        tell_leaving(&gateway, &datagrams, now);
        relay(&gateway, &datagrams, round);
    }
}

/// Tells those nearby which servers leave, as the store told this instance.
fn tell_leaving(gateway: &Gateway, datagrams: &DatagramSocket, now: Instant) {
    let leaving = gateway.leaving_servers.borrow().near(now);
    if !leaving.is_empty() {
        let near = gateway.peers.borrow().near(now);
        datagrams.send(&Message::Leaving(leaving), near);
    }
}

/// Tells the other failure domains what this one has, if this instance is one of its relays.
fn relay(gateway: &Gateway, datagrams: &DatagramSocket, round: u64) {
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
    for message in leaving.into_iter().chain(domain_news(gateway, now)) {
        datagrams.send(&message, targets.iter().copied());
    }
}

fn domain_news(gateway: &Gateway, now: Instant) -> Vec<Message> {
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
        mate: mate(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        reading: gateway.store_access.get(),
        version: gateway.catalog_version(),
        revision: desk.registry.latest(),
    });
    let work = desk.loads.sum(&ids);
    let mut usage = desk.usage.sum(&ids, now);
    usage.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked));
    usage.truncate(MOST_TOLD);
    let members = desk.members(settings.domain, members, now);
    let parts = DomainWork::parts(settings.domain, &work, &usage);
    let parts = parts.into_iter().map(|p| Message::DomainWork(Box::new(p)));
    std::iter::once(Message::Members(Box::new(members)))
        .chain(parts)
        .collect()
}

fn mate(gateway: &Gateway) -> Mate {
    let settings = gateway.settings();
    Mate {
        front: settings.listen.front,
        peer: settings.listen.peer,
        domain: settings.domain,
    }
}

/// Tells those nearby what this instance has under way.
fn announce_work(gateway: &Gateway, datagrams: &DatagramSocket) {
    let work = {
        let loads = &mut gateway.desk.borrow_mut().loads;
        loads.told();
        let mut work = loads.own();
        work.truncate(MOST_TOLD);
        work
    };
    let near = gateway.peers.borrow().near(gateway.now());
    datagrams.send(&Message::Work(work), near);
}

fn news(gateway: &Gateway, round: u64, now: Instant) -> News {
    let mut desk = gateway.desk.borrow_mut();
    let mut work = desk.loads.own();
    work.truncate(MOST_TOLD);
    let mut usage = desk.usage.own(now);
    usage.sort_by(|a, b| b.1.asked.total_cmp(&a.1.asked));
    usage.truncate(MOST_TOLD);
    News {
        mate: mate(gateway),
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

/// Takes news for as long as the process lives.
pub async fn receive(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut opener = Opener::new(gateway.settings().key, datagrams::CHANNEL);
    let mut buffer = vec![0; 65_536];
    let mut echoes = 0;
    loop {
        let Ok((length, from)) = datagrams.socket.recv_from(&mut buffer).await else {
            // An unreachable mate shows as an error on the next receive; the socket is still good.
            tokio::task::yield_now().await;
            continue;
        };
        match opener.open(&buffer[..length]) {
            Ok(frame) if frame.sender == gateway.id => {}
            Ok(frame) => {
                if is_relayed(&frame.message) {
                    pass_on(&gateway, &datagrams, &buffer[..length], from);
                }
                take(&gateway, &datagrams, from, frame);
            }
            Err(FrameError::Replayed) => {
                echoes += 1;
                if echoes > MOST_ECHOES {
                    opener = Opener::new(gateway.settings().key, datagrams::CHANNEL);
                    echoes = 0;
                }
            }
            Err(error) => log::warn!(target: "mates", "datagram dropped: {error}"),
        }
    }
}

/// Tells whether failure domains tell each other `message` by relays.
const fn is_relayed(message: &Message) -> bool {
    matches!(
        message,
        Message::Members(_) | Message::DomainWork(_) | Message::Leaving(_)
    )
}

/// Passes what another failure domain tells on to the own one, if this instance is one of its relays.
///
/// What came from the own domain was passed on by another relay.
fn pass_on(gateway: &Gateway, datagrams: &DatagramSocket, frame: &[u8], from: SocketAddr) {
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    if peers.relay_rank(gateway.id, now).is_none() || peers.is_domain_mate(from) {
        return;
    }
    let near = peers.domain_mates(now).map(|(_, mate)| mate.mate.peer);
    datagrams.send_frame(frame, near);
}

/// Takes one message of another instance.
fn take(gateway: &Gateway, datagrams: &DatagramSocket, from: SocketAddr, frame: Frame) {
    let now = gateway.now();
    let own = gateway.settings().domain;
    let (sender, run) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::News(news) => take_news(gateway, sender, run, &news),
        Message::Work(work) => gateway.desk.borrow_mut().loads.hear(sender, work, now),
        Message::Members(told) if told.domain != own => {
            for member in told.members.iter().filter(|m| m.id != gateway.id) {
                gateway.observe_version(member.version);
                let mut peers = gateway.peers.borrow_mut();
                if let Some(change) = peers.hear_member(member, now) {
                    note(change, member.mate.peer, peers.live(now).count());
                }
            }
            gateway.desk.borrow_mut().hear_members(&told, now);
        }
        Message::DomainWork(told) if told.domain != own => {
            gateway.desk.borrow_mut().hear_work(*told, now);
        }
        Message::Leaving(all) => gateway.apply_leaving(&all),
        Message::Wanted(wanted) => state_sync::send_parts(gateway, datagrams, from, &wanted),
        Message::Part(part) => gateway.pending_state.take(from, part),
        _ => {}
    }
}

fn take_news(gateway: &Gateway, sender: InstanceId, run: Incarnation, news: &News) {
    let now = gateway.now();
    gateway.observe_version(news.version);
    let mut peers = gateway.peers.borrow_mut();
    if let Some(change) = peers.hear(sender, run, news, now) {
        note(change, news.mate.peer, peers.live(now).count());
    }
    let own = gateway.settings().domain;
    if peers.is_large() && news.mate.domain != own {
        // Its domain's sums hold the same; counted here too, its work would count twice.
        return;
    }
    let mut desk = gateway.desk.borrow_mut();
    desk.hear(sender, news, now);
    if desk.waiting() > 0 {
        gateway.queue_wakeup.notify_one();
    }
}

fn note(change: Seen, mate: SocketAddr, live: usize) {
    let fields = json!({"mate": mate.to_string(), "how": format!("{change:?}"), "live": live});
    event_log::state_change("mate", fields);
}
