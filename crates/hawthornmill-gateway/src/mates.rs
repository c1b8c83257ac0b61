//! News to and from the other instances, over UDP, and the catching up that it leads to, over TCP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::limits::patience::{self, Patience};
use hawthornmill::routing::digest::{DomainWork, Member};
use hawthornmill::routing::news::{Knowledge, Mate, News, Pull, Seen};
use hawthornmill::wire::frame::{DATAGRAM_LIMIT, FrameError};
use hawthornmill::wire::{Message, Opener, Sealer};
use hawthornmill_process::frames;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::gateway::{Gateway, Phase};
use crate::journal;
use crate::pool::connect_within;

/// Time for which a mate must be ahead before it is asked: the store's own answer is mostly faster.
const BEHIND: Duration = Duration::from_millis(350);
/// Time between two looks at whether a mate is ahead.
const LOOK: Duration = Duration::from_millis(100);
/// Time for which a mate that did not answer is not asked again; by then it counts as silent.
const MUTE: Duration = Duration::from_secs(2);
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

/// Channel of datagrams; instances drop what repeats by its sequence number.
const DATAGRAMS: u64 = 0;

/// Sends news for as long as the process lives.
pub async fn tell(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let key = gateway.settings().key;
    let mut sealer = Sealer::new(key, gateway.me, gateway.incarnation, DATAGRAMS);
    let mut round = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = gateway.hurry.notified() => tokio::time::sleep(LEAST_PAUSE).await,
            () = gateway.stir.notified() => {
                tell_work(&gateway, &mut sealer, &socket);
                let large = gateway.mates.borrow().is_large();
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
            .targets(&settings.seeds, round, now);
        let most = gateway.mates.borrow().most();
        gateway.desk.borrow_mut().budget.share_among(most);
        let news = news(&gateway, round, now);
        let Ok(frame) = sealer.seal(&Message::News(Box::new(news))) else {
            log::error!(target: "mates", "news can't be encoded");
            continue;
        };
        if frame.len() > DATAGRAM_LIMIT {
            log::warn!(target: "mates", "news of {} bytes over one packet", frame.len());
        }
        for target in targets.iter().filter(|t| **t != settings.listen.peer) {
            // An unreachable mate shows as an error here; it is silent to us either way.
            let _sent = socket.try_send_to(&frame, *target);
        }
        relay(&gateway, &mut sealer, &socket, round);
    }
}

/// Tells the other failure domains what this one has, if this instance is one of its relays.
fn relay(gateway: &Gateway, sealer: &mut Sealer, socket: &UdpSocket, round: u64) {
    let now = gateway.now();
    let Some(rank) = gateway.mates.borrow().relay_rank(gateway.me, now) else {
        return;
    };
    let targets = gateway.mates.borrow().relays(rank, round, now);
    if targets.is_empty() {
        return;
    }
    for message in domain_news(gateway, now) {
        let Ok(frame) = sealer.seal(&message) else {
            log::error!(target: "mates", "a domain's news can't be encoded");
            continue;
        };
        for target in &targets {
            // An unreachable mate shows as an error here; it is silent to us either way.
            let _sent = socket.try_send_to(&frame, *target);
        }
    }
}

fn domain_news(gateway: &Gateway, now: Instant) -> Vec<Message> {
    let settings = gateway.settings();
    let mates = gateway.mates.borrow();
    let mut desk = gateway.desk.borrow_mut();
    let mut members: Vec<Member> = mates
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
        id: gateway.me,
        run: gateway.incarnation,
        mate: mate(gateway),
        ready: gateway.is_ready(),
        leaving: gateway.phase() > Phase::Serving,
        reading: gateway.reading.get(),
        version: gateway.version(),
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
fn tell_work(gateway: &Gateway, sealer: &mut Sealer, socket: &UdpSocket) {
    let work = {
        let loads = &mut gateway.desk.borrow_mut().loads;
        loads.told();
        let mut work = loads.own();
        work.truncate(MOST_TOLD);
        work
    };
    let Ok(frame) = sealer.seal(&Message::Work(work)) else {
        log::error!(target: "mates", "work can't be encoded");
        return;
    };
    let near = gateway.mates.borrow().near(gateway.now());
    for mate in near {
        // An unreachable mate shows as an error here; it is silent to us either way.
        let _sent = socket.try_send_to(&frame, mate);
    }
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
        reading: gateway.reading.get(),
        version: gateway.version(),
        revision: desk.registry.latest(),
        work,
        usage,
        strays: desk.told_strays(now),
        short: desk.told_short(now),
        others: gateway.mates.borrow().named(round, now),
    }
}

/// Takes news for as long as the process lives.
pub async fn hear(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut opener = Opener::new(gateway.settings().key, DATAGRAMS);
    let mut buffer = vec![0; 65_536];
    let mut echoes = 0;
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An unreachable mate shows as an error on the next receive; the socket is still good.
            tokio::task::yield_now().await;
            continue;
        };
        match opener.open(&buffer[..length]) {
            Ok(frame) if frame.sender == gateway.me => {}
            Ok(frame) => {
                if matches!(frame.message, Message::Members(_) | Message::DomainWork(_)) {
                    pass_on(&gateway, &socket, &buffer[..length], from);
                }
                take(&gateway, frame.sender, frame.incarnation, frame.message);
            }
            Err(FrameError::Replayed) => {
                echoes += 1;
                if echoes > MOST_ECHOES {
                    opener = Opener::new(gateway.settings().key, DATAGRAMS);
                    echoes = 0;
                }
            }
            Err(error) => log::warn!(target: "mates", "datagram dropped: {error}"),
        }
    }
}

/// Passes what another failure domain tells on to the own one, if this instance is one of its relays.
///
/// What came from the own domain was passed on by another relay.
fn pass_on(gateway: &Gateway, socket: &UdpSocket, frame: &[u8], from: SocketAddr) {
    let now = gateway.now();
    let mates = gateway.mates.borrow();
    if mates.relay_rank(gateway.me, now).is_none() || mates.is_domain_mate(from) {
        return;
    }
    for (_, mate) in mates.domain_mates(now) {
        // An unreachable mate shows as an error here; it is silent to us either way.
        let _sent = socket.try_send_to(frame, mate.mate.peer);
    }
}

/// Takes one message of another instance.
fn take(gateway: &Gateway, sender: InstanceId, run: Incarnation, message: Message) {
    let now = gateway.now();
    let own = gateway.settings().domain;
    match message {
        Message::News(news) => take_news(gateway, sender, run, &news),
        Message::Work(work) => gateway.desk.borrow_mut().loads.hear(sender, work, now),
        Message::Members(told) if told.domain != own => {
            for member in told.members.iter().filter(|m| m.id != gateway.me) {
                gateway.hear_version(member.version);
                let mut mates = gateway.mates.borrow_mut();
                if let Some(change) = mates.hear_member(member, now) {
                    note(change, member.mate.peer, mates.live(now).count());
                }
            }
            gateway.desk.borrow_mut().hear_members(&told, now);
        }
        Message::DomainWork(told) if told.domain != own => {
            gateway.desk.borrow_mut().hear_work(*told, now);
        }
        _ => {}
    }
}

fn take_news(gateway: &Gateway, sender: InstanceId, run: Incarnation, news: &News) {
    let now = gateway.now();
    gateway.hear_version(news.version);
    let mut mates = gateway.mates.borrow_mut();
    if let Some(change) = mates.hear(sender, run, news, now) {
        note(change, news.mate.peer, mates.live(now).count());
    }
    let own = gateway.settings().domain;
    if mates.is_large() && news.mate.domain != own {
        // Its domain's sums hold the same; counted here too, its work would count twice.
        return;
    }
    let mut desk = gateway.desk.borrow_mut();
    desk.hear(sender, news, now);
    if desk.waiting() > 0 {
        gateway.nudge.notify_one();
    }
}

fn note(change: Seen, mate: SocketAddr, live: usize) {
    let fields = json!({"mate": mate.to_string(), "how": format!("{change:?}"), "live": live});
    journal::belief("mate", fields);
}

/// Asks mates that know more, for as long as the process lives.
pub async fn catch_up(gateway: Rc<Gateway>) {
    let mut behind: Option<Instant> = None;
    let mut mute: Vec<(SocketAddr, Instant)> = Vec::new();
    let mut patience = Patience::default();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = gateway.now();
        mute.retain(|(_, at)| now.duration_since(*at) < MUTE);
        let passed: Vec<SocketAddr> = mute.iter().map(|(mate, _)| *mate).collect();
        let (version, revision) = (gateway.version(), gateway.desk.borrow().registry.latest());
        let ahead = gateway
            .mates
            .borrow()
            .ahead(version, revision, &passed, now);
        if ahead.is_empty() {
            behind = None;
            continue;
        }
        if now.duration_since(*behind.get_or_insert(now)) < BEHIND {
            continue;
        }
        let mut answered = true;
        for mate in ahead {
            let (peer, asked) = (mate.mate.peer, gateway.now());
            if !ask_one(&gateway, peer, Pull { version, revision }, patience.time()).await {
                mute.push((peer, gateway.now()));
                patience.missed(gateway.mates.borrow().is_heard_since(peer, asked));
                answered = false;
            }
        }
        if answered {
            behind = None;
            patience = Patience::default();
        }
    }
}

/// Asks one mate; false when it does not answer within `time`.
async fn ask_one(gateway: &Gateway, mate: SocketAddr, pull: Pull, time: Duration) -> bool {
    match tokio::time::timeout(time, ask(gateway, mate, pull)).await {
        Ok(Ok(knowledge)) => {
            learn(gateway, knowledge, mate);
            return true;
        }
        Ok(Err(error)) => {
            log::warn!(target: "mates", "{mate} can't tell what it knows: {error}");
        }
        Err(_elapsed) => log::warn!(target: "mates", "{mate} doesn't tell what it knows"),
    }
    false
}

fn learn(gateway: &Gateway, knowledge: Knowledge, from: SocketAddr) {
    let from = from.to_string();
    if let Some(catalog) = knowledge.catalog {
        gateway.accept(catalog, &from);
    }
    if let Some(servers) = knowledge.servers {
        gateway.list(servers, knowledge.revision, false, &from);
        let registry = &mut gateway.desk.borrow_mut().registry;
        // Taken for sound here, an entry that its teller is about to drop would count for ever: no
        // further change tells of it.
        for server in knowledge.doubted {
            registry.doubt(server, gateway.now());
        }
        registry.caught_up(knowledge.revision);
    }
}

async fn ask(gateway: &Gateway, mate: SocketAddr, pull: Pull) -> std::io::Result<Knowledge> {
    let mut link = connect_within(mate, patience::MOST).await?;
    let channel = link.read_u64_le().await?;
    let key = gateway.settings().key;
    let mut sealer = Sealer::new(key, gateway.me, gateway.incarnation, channel);
    send(&mut link, &mut sealer, &Message::Pull(pull)).await?;
    let mut opener = Opener::new(key, channel);
    match receive(&mut link, &mut opener).await? {
        Message::Knowledge(knowledge) => Ok(*knowledge),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

async fn send(link: &mut TcpStream, sealer: &mut Sealer, message: &Message) -> std::io::Result<()> {
    let frame = sealer.seal(message).map_err(std::io::Error::other)?;
    let mut bytes = Vec::with_capacity(frame.len() + size_of::<u32>());
    frames::append(&mut bytes, &frame);
    link.write_all(&bytes).await
}

async fn receive(link: &mut TcpStream, opener: &mut Opener) -> std::io::Result<Message> {
    let frame = frames::read(link).await.map_err(std::io::Error::other)?;
    let frame = frame.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let frame = opener.open(&frame).map_err(std::io::Error::other)?;
    Ok(frame.message)
}

/// Answers mates that ask, for as long as the process lives.
pub async fn answer(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((link, from)) = listener.accept().await else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let told = tokio::time::timeout(patience::MOST, tell_one(&gateway, link)).await;
            if let Ok(Err(error)) = told {
                let fields = json!({"mate": from.to_string(), "why": error.to_string()});
                journal::belief("mate_not_told", fields);
            }
        });
    }
}

async fn tell_one(gateway: &Gateway, mut link: TcpStream) -> std::io::Result<()> {
    let channel: u64 = rand::random();
    link.write_u64_le(channel).await?;
    let key = gateway.settings().key;
    let mut opener = Opener::new(key, channel);
    let Message::Pull(pull) = receive(&mut link, &mut opener).await? else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    let knowledge = knowledge(gateway, pull);
    let mut sealer = Sealer::new(key, gateway.me, gateway.incarnation, channel);
    send(
        &mut link,
        &mut sealer,
        &Message::Knowledge(Box::new(knowledge)),
    )
    .await
}

fn knowledge(gateway: &Gateway, pull: Pull) -> Knowledge {
    let table = gateway.table();
    let newer = table.filter(|t| t.version() > pull.version);
    let desk = gateway.desk.borrow();
    let latest = desk.registry.latest();
    Knowledge {
        catalog: newer.map(|t| t.catalog().clone()),
        servers: (latest > pull.revision).then(|| desk.registry.snapshot()),
        doubted: desk.registry.doubted(),
        revision: latest,
    }
}
