//! News to and from the other instances, over UDP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::routing::domain_summary::{DomainWork, Member};
use hawthornmill::routing::gossip::{InstanceReport, PeerChange, PeerInfo};
use hawthornmill::wire::frame::{Frame, FrameError};
use hawthornmill::wire::{Message, Opener};
use serde_json::json;

use crate::catching_up;
use crate::datagrams::{self, Datagrams};
use crate::gateway::{Gateway, Phase};
use crate::journal;

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
pub async fn tell(gateway: Rc<Gateway>, datagrams: Rc<Datagrams>) {
    let mut round = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = gateway.hurry.notified() => tokio::time::sleep(LEAST_PAUSE).await,
            () = gateway.stir.notified() => {
                tell_work(&gateway, &datagrams);
                let large = gateway.mates.borrow().is_large_fleet();
                let pause = if large { WORK_PAUSE_LARGE } else { WORK_PAUSE };
                tokio::time::sleep(pause).await;
                continue;
            }
        }
        due = tokio::time::Instant::now() + gateway.settings().news;
        round += 1;
        let now = gateway.now();
        let settings = gateway.settings();
        let targets = gateway
            .mates
            .borrow_mut()
            .gossip_targets(&settings.seeds, round, now);
        let most = gateway.mates.borrow().max_seen();
        gateway
            .scheduler
            .borrow_mut()
            .retry_budget
            .observe_instances(most);
        let news = news(&gateway, round, now);
        let others = targets.iter().filter(|t| **t != settings.listen.peer);
        datagrams.send(&Message::News(Box::new(news)), others.copied());
        tell_leaving(&gateway, &datagrams, now);
        relay(&gateway, &datagrams, round);
    }
}

/// Tells those nearby which servers leave, as the store told this instance.
fn tell_leaving(gateway: &Gateway, datagrams: &Datagrams, now: Instant) {
    let leaving = gateway.leavers.borrow().for_domain(now);
    if !leaving.is_empty() {
        let near = gateway.mates.borrow().broadcast_targets(now);
        datagrams.send(&Message::Leaving(leaving), near);
    }
}

/// Tells the other failure domains what this one has, if this instance is one of its relays.
fn relay(gateway: &Gateway, datagrams: &Datagrams, round: u64) {
    let now = gateway.now();
    let Some(rank) = gateway.mates.borrow().relay_rank(gateway.me, now) else {
        return;
    };
    let targets = gateway.mates.borrow().relay_targets(rank, round, now);
    if targets.is_empty() {
        return;
    }
    let leaving = gateway.leavers.borrow().for_other_domains(now);
    let leaving = (!leaving.is_empty()).then_some(Message::Leaving(leaving));
    for message in leaving.into_iter().chain(domain_news(gateway, now)) {
        datagrams.send(&message, targets.iter().copied());
    }
}

fn domain_news(gateway: &Gateway, now: Instant) -> Vec<Message> {
    let settings = gateway.settings();
    let mates = gateway.mates.borrow();
    let mut scheduler = gateway.scheduler.borrow_mut();
    let mut members: Vec<Member> = mates
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
        id: gateway.me,
        incarnation: gateway.incarnation,
        info: mate(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        store_role: gateway.reading.get(),
        catalog_version: gateway.version(),
        revision: scheduler.registry.latest_revision(),
    });
    let work = scheduler.loads.domain_sum(&ids);
    let mut usage = scheduler.account_usage.domain_sum(&ids, now);
    usage.sort_by(|a, b| b.1.requested.total_cmp(&a.1.requested));
    usage.truncate(MOST_TOLD);
    let members = scheduler.domain_members(settings.domain, members, now);
    let parts = DomainWork::parts(settings.domain, &work, &usage);
    let parts = parts.into_iter().map(|p| Message::DomainWork(Box::new(p)));
    std::iter::once(Message::Members(Box::new(members)))
        .chain(parts)
        .collect()
}

fn mate(gateway: &Gateway) -> PeerInfo {
    let settings = gateway.settings();
    PeerInfo {
        client_addr: settings.listen.front,
        peer_addr: settings.listen.peer,
        domain: settings.domain,
    }
}

/// Tells those nearby what this instance has under way.
fn tell_work(gateway: &Gateway, datagrams: &Datagrams) {
    let work = {
        let loads = &mut gateway.scheduler.borrow_mut().loads;
        loads.mark_broadcast();
        let mut work = loads.local();
        work.truncate(MOST_TOLD);
        work
    };
    let near = gateway.mates.borrow().broadcast_targets(gateway.now());
    datagrams.send(&Message::Work(work), near);
}

fn news(gateway: &Gateway, round: u64, now: Instant) -> InstanceReport {
    let mut scheduler = gateway.scheduler.borrow_mut();
    let mut work = scheduler.loads.local();
    work.truncate(MOST_TOLD);
    let mut usage = scheduler.account_usage.local(now);
    usage.sort_by(|a, b| b.1.requested.total_cmp(&a.1.requested));
    usage.truncate(MOST_TOLD);
    InstanceReport {
        info: mate(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        store_role: gateway.reading.get(),
        catalog_version: gateway.version(),
        revision: scheduler.registry.latest_revision(),
        work,
        usage,
        spilled: scheduler.spilled_prefixes(now),
        unmet: scheduler.unmet_demand(now),
        known_peers: gateway.mates.borrow().peer_sample(round, now),
    }
}

/// Takes news for as long as the process lives.
pub async fn hear(gateway: Rc<Gateway>, datagrams: Rc<Datagrams>) {
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
            Ok(frame) if frame.sender == gateway.me => {}
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
fn pass_on(gateway: &Gateway, datagrams: &Datagrams, frame: &[u8], from: SocketAddr) {
    let now = gateway.now();
    let mates = gateway.mates.borrow();
    if mates.relay_rank(gateway.me, now).is_none() || mates.is_domain_peer(from) {
        return;
    }
    let near = mates.domain_peers(now).map(|(_, mate)| mate.info.peer_addr);
    datagrams.send_frame(frame, near);
}

/// Takes one message of another instance.
fn take(gateway: &Gateway, datagrams: &Datagrams, from: SocketAddr, frame: Frame) {
    let now = gateway.now();
    let own = gateway.settings().domain;
    let (sender, run) = (frame.sender, frame.incarnation);
    match frame.message {
        Message::News(news) => take_news(gateway, sender, run, &news),
        Message::Work(work) => gateway
            .scheduler
            .borrow_mut()
            .loads
            .apply_peer_report(sender, work, now),
        Message::Members(told) if told.domain != own => {
            for member in told.members.iter().filter(|m| m.id != gateway.me) {
                gateway.hear_version(member.catalog_version);
                let mut mates = gateway.mates.borrow_mut();
                if let Some(change) = mates.apply_member(member, now) {
                    note(change, member.info.peer_addr, mates.live(now).count());
                }
            }
            gateway
                .scheduler
                .borrow_mut()
                .apply_domain_members(&told, now);
        }
        Message::DomainWork(told) if told.domain != own => {
            gateway.scheduler.borrow_mut().apply_domain_work(*told, now);
        }
        Message::Leaving(all) => gateway.hear_leaving(&all),
        Message::Wanted(wanted) => catching_up::tell_parts(gateway, datagrams, from, &wanted),
        Message::Part(part) => gateway.awaited.take(from, part),
        _ => {}
    }
}

fn take_news(gateway: &Gateway, sender: InstanceId, run: Incarnation, news: &InstanceReport) {
    let now = gateway.now();
    gateway.hear_version(news.catalog_version);
    let mut mates = gateway.mates.borrow_mut();
    if let Some(change) = mates.apply_report(sender, run, news, now) {
        note(change, news.info.peer_addr, mates.live(now).count());
    }
    let own = gateway.settings().domain;
    if mates.is_large_fleet() && news.info.domain != own {
        // Its domain's sums hold the same; counted here too, its work would count twice.
        return;
    }
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.apply_report(sender, news, now);
    if scheduler.queue_len() > 0 {
        gateway.nudge.notify_one();
    }
}

fn note(change: PeerChange, mate: SocketAddr, live: usize) {
    let fields = json!({"mate": mate.to_string(), "how": format!("{change:?}"), "live": live});
    journal::belief("mate", fields);
}
