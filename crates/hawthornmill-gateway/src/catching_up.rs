//! Getting from other instances what they know and this one does not.
//!
//! It is asked for in datagrams first, and over a connection where it doesn't fit them or none comes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::limits::patience::{self, Patience};
use hawthornmill::routing::fragments::{self, FragmentRequest, Outcome, Reassembly};
use hawthornmill::routing::gossip::{PeerState, SyncRequest, SyncResponse};
use hawthornmill::routing::registry::RegistrationList;
use hawthornmill::wire::{Message, Opener, Sealer};
use hawthornmill_process::frames;
use serde_json::json;
use smallvec::SmallVec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::datagrams::Datagrams;
use crate::gateway::Gateway;
use crate::journal;
use crate::pool::connect_within;

/// Time for which a mate must be ahead before it is asked: the store's own answer is mostly faster.
const BEHIND: Duration = Duration::from_millis(350);
/// Time between two looks at whether a mate is ahead.
const LOOK: Duration = Duration::from_millis(100);
/// Time for which a mate that did not answer is not asked again; by then it counts as silent.
const MUTE: Duration = Duration::from_secs(2);
/// Rounds in a row that bring nothing, after which a connection is tried.
const MOST_EMPTY: usize = 2;

/// Sends the parts that `wanted` asks for.
pub fn tell_parts(
    gateway: &Gateway,
    datagrams: &Datagrams,
    to: SocketAddr,
    wanted: &FragmentRequest,
) {
    let newest = || {
        let whole = postcard::to_allocvec(&knowledge(gateway, wanted.sync));
        whole.unwrap_or_else(|error| {
            log::error!(target: "mates", "what is known can't be encoded: {error}");
            Vec::new()
        })
    };
    let now = gateway.now();
    let parts = gateway.answers.borrow_mut().fragments(wanted, newest, now);
    for part in parts {
        datagrams.send(&Message::Part(part), [to]);
    }
}

/// Why an answer doesn't come in datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unanswered {
    Silent,
    TooLarge,
    Unreadable,
}

/// Asks `mate` in datagrams, and learns what it answers.
async fn ask_in_datagrams(
    gateway: &Gateway,
    datagrams: &Datagrams,
    mate: SocketAddr,
    pull: SyncRequest,
) -> Result<(), Unanswered> {
    let began = gateway.now();
    let answer = answer_in_parts(gateway, datagrams, mate, pull).await;
    let why = answer.as_ref().err().map(|why| format!("{why:?}"));
    note_answer(gateway, mate, began, "parts", why.as_deref());
    learn(gateway, answer?, mate);
    Ok(())
}

async fn answer_in_parts(
    gateway: &Gateway,
    datagrams: &Datagrams,
    mate: SocketAddr,
    pull: SyncRequest,
) -> Result<SyncResponse, Unanswered> {
    let awaited = &gateway.awaited;
    awaited.expect(mate);
    let mut empty = 0;
    while empty < MOST_EMPTY {
        let (before, wanted) = awaited.look(|a| (a.received(), a.request(pull)));
        datagrams.send(&Message::Wanted(wanted), [mate]);
        let round = fragments::round_timeout(gateway.strain.get().late(gateway.now()));
        let _over = tokio::time::timeout(round, awaited.ended()).await;
        match awaited.look(|a| a.outcome().cloned()) {
            Some(Outcome::Complete(whole)) => return read(&whole),
            Some(Outcome::TooLarge) => return Err(Unanswered::TooLarge),
            None => {}
        }
        let came = awaited.look(Reassembly::received) > before;
        empty = if came { 0 } else { empty + 1 };
    }
    Err(Unanswered::Silent)
}

fn read(whole: &[u8]) -> Result<SyncResponse, Unanswered> {
    postcard::from_bytes(whole).map_err(|error| {
        log::warn!(target: "mates", "an answer can't be understood: {error}");
        Unanswered::Unreadable
    })
}

/// Asks mates that know more, for as long as the process lives.
pub async fn catch_up(gateway: Rc<Gateway>, datagrams: Rc<Datagrams>) {
    let mut behind: Option<Instant> = None;
    let mut mute: Vec<(SocketAddr, Instant)> = Vec::new();
    let mut patience = Patience::default();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = gateway.now();
        mute.retain(|(_, at)| now.duration_since(*at) < MUTE);
        let pull = SyncRequest {
            catalog_version: gateway.version(),
            revision: gateway.scheduler.borrow().registry.latest_revision(),
        };
        let ahead = ahead(&gateway, pull, &mute);
        if ahead.is_empty() {
            behind = None;
            continue;
        }
        if now.duration_since(*behind.get_or_insert(now)) < BEHIND {
            continue;
        }
        let mut answered = true;
        for mate in ahead {
            let peer = mate.info.peer_addr;
            mute.push((peer, now));
            let told = match ask_in_datagrams(&gateway, &datagrams, peer, pull).await {
                Ok(()) => true,
                // Another one may answer at once.
                Err(Unanswered::Silent) if !self::ahead(&gateway, pull, &mute).is_empty() => false,
                Err(_) => ask_by_connection(&gateway, peer, pull, &mut patience).await,
            };
            mute.pop();
            if !told {
                mute.push((peer, gateway.now()));
                answered = false;
            }
        }
        if answered {
            behind = None;
            patience = Patience::default();
        }
    }
}

/// Whom to ask for more than `pull` says, those in `mute` left out.
fn ahead(
    gateway: &Gateway,
    pull: SyncRequest,
    mute: &[(SocketAddr, Instant)],
) -> SmallVec<[PeerState; 2]> {
    let mute: Vec<SocketAddr> = mute.iter().map(|(mate, _)| *mate).collect();
    let mates = gateway.mates.borrow();
    mates.sync_candidates(pull.catalog_version, pull.revision, &mute, gateway.now())
}

/// How far a question over a connection is.
#[derive(Debug, Clone, Copy)]
enum Step {
    Connecting,
    Connected,
    Asked,
}

/// Asks `mate` over a connection; false when it does not answer in the time that `patience` gives.
async fn ask_by_connection(
    gateway: &Gateway,
    mate: SocketAddr,
    pull: SyncRequest,
    patience: &mut Patience,
) -> bool {
    let (began, step) = (gateway.now(), Cell::new(Step::Connecting));
    let answer = tokio::time::timeout(patience.time(), ask(gateway, mate, pull, &step)).await;
    let why = match answer {
        Ok(Ok(knowledge)) => {
            learn(gateway, knowledge, mate);
            None
        }
        Ok(Err(error)) => Some(error.to_string()),
        Err(_elapsed) => Some(format!("no answer in {} ms", patience.time().as_millis())),
    };
    let step = format!("{:?}", step.get());
    note_answer(gateway, mate, began, &step, why.as_deref());
    if why.is_some() {
        patience.missed(gateway.mates.borrow().is_seen_since(mate, began));
    }
    why.is_none()
}

fn note_answer(gateway: &Gateway, mate: SocketAddr, began: Instant, step: &str, why: Option<&str>) {
    let took = gateway.now().duration_since(began);
    let fields = json!({
        "mate": mate.to_string(), "step": step, "why": why, "took_ms": took.as_millis() as u64,
    });
    journal::belief("mate_asked", fields);
}

fn learn(gateway: &Gateway, knowledge: SyncResponse, from: SocketAddr) {
    let from = from.to_string();
    if let Some(catalog) = knowledge.catalog {
        gateway.accept(catalog, &from);
    }
    if let Some(entries) = knowledge.registrations {
        let list = RegistrationList {
            entries,
            unconfirmed: knowledge.unconfirmed,
            revision: knowledge.revision,
            after_outage: false,
        };
        gateway.list(list, &from);
        let registry = &mut gateway.scheduler.borrow_mut().registry;
        registry.advance_latest(knowledge.revision);
    }
}

async fn ask(
    gateway: &Gateway,
    mate: SocketAddr,
    pull: SyncRequest,
    step: &Cell<Step>,
) -> std::io::Result<SyncResponse> {
    let mut link = connect_within(mate, patience::MOST).await?;
    step.set(Step::Connected);
    let channel = link.read_u64_le().await?;
    step.set(Step::Asked);
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

fn knowledge(gateway: &Gateway, pull: SyncRequest) -> SyncResponse {
    let table = gateway.table();
    let newer = table.filter(|t| t.version() > pull.catalog_version);
    let scheduler = gateway.scheduler.borrow();
    let latest = scheduler.registry.latest_revision();
    SyncResponse {
        catalog: newer.map(|t| t.catalog().clone()),
        registrations: (latest > pull.revision).then(|| scheduler.registry.snapshot()),
        unconfirmed: scheduler.registry.unconfirmed(gateway.now()),
        revision: latest,
    }
}
