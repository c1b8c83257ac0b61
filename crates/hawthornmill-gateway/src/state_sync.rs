//! Pulls newer catalogs and registrations from peers, and serves them to peers.
//!
//! An instance asks by datagrams first, and over a connection if the state doesn't fit into datagrams
//! or none arrive.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::limits::timeout::{self, AdaptiveTimeout};
use hawthornmill::routing::fragments::{self, FragmentRequest, Outcome, Reassembly};
use hawthornmill::routing::gossip::{PeerState, SyncRequest, SyncResponse};
use hawthornmill::routing::registry::RegistrationList;
use hawthornmill::wire::{Message, Opener, Sealer};
use hawthornmill_process::frames;
use serde_json::json;
use smallvec::SmallVec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::datagrams::DatagramSocket;
use crate::event_log;
use crate::gateway::Gateway;
use crate::pool::connect_timeout;

/// Time for which a peer must be ahead before it is asked; the store mostly answers sooner.
const MIN_BEHIND: Duration = Duration::from_millis(350);
/// Interval at which the peers are checked for newer state.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a peer that did not answer is skipped; after it, the peer counts as silent.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Consecutive rounds without a datagram after which a connection is tried.
const MAX_EMPTY_ROUNDS: usize = 2;

/// Sends the parts of this instance's state that `wanted` asks for.
pub fn send_parts(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    to: SocketAddr,
    wanted: &FragmentRequest,
) {
    let newest = || {
        let whole = postcard::to_allocvec(&collect_knowledge(gateway, wanted.sync));
        whole.unwrap_or_else(|error| {
            log::error!(target: "mates", "can't encode the state for a peer: {error}");
            Vec::new()
        })
    };
    let now = gateway.now();
    let parts = gateway
        .state_cache
        .borrow_mut()
        .fragments(wanted, newest, now);
    for part in parts {
        datagrams.send(&Message::Part(part), [to]);
    }
}

/// Why a pull by datagrams failed; the log shows the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PullError {
    Silent,
    TooLarge,
    Unreadable,
}

/// Pulls the state of `peer` by datagrams and applies it.
async fn pull_by_datagrams(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    peer: SocketAddr,
    pull: SyncRequest,
) -> Result<(), PullError> {
    let began = gateway.now();
    let response = receive_parts(gateway, datagrams, peer, pull).await;
    let why = response.as_ref().err().map(|why| format!("{why:?}"));
    log_pull(gateway, peer, began, "parts", why.as_deref());
    apply_knowledge(gateway, response?, peer);
    Ok(())
}

async fn receive_parts(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    peer: SocketAddr,
    pull: SyncRequest,
) -> Result<SyncResponse, PullError> {
    let pending = &gateway.pending_state;
    pending.start(peer);
    let mut empty = 0;
    while empty < MAX_EMPTY_ROUNDS {
        let (before, wanted) = pending.with_reassembly(|a| (a.received(), a.request(pull)));
        datagrams.send(&Message::Wanted(wanted), [peer]);
        let round = fragments::round_timeout(gateway.strain.get().lag(gateway.now()));
        let _over = tokio::time::timeout(round, pending.wait_complete()).await;
        match pending.with_reassembly(|a| a.outcome().cloned()) {
            Some(Outcome::Complete(whole)) => return decode_knowledge(&whole),
            Some(Outcome::TooLarge) => return Err(PullError::TooLarge),
            None => {}
        }
        let progressed = pending.with_reassembly(Reassembly::received) > before;
        empty = if progressed { 0 } else { empty + 1 };
    }
    Err(PullError::Silent)
}

fn decode_knowledge(whole: &[u8]) -> Result<SyncResponse, PullError> {
    postcard::from_bytes(whole).map_err(|error| {
        log::warn!(target: "mates", "can't decode the state of a peer: {error}");
        PullError::Unreadable
    })
}

/// Pulls newer state from peers until the process ends.
pub async fn sync_from_peers(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut behind_since: Option<Instant> = None;
    let mut skipped: Vec<(SocketAddr, Instant)> = Vec::new();
    let mut patience = AdaptiveTimeout::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = gateway.now();
        skipped.retain(|(_, at)| now.duration_since(*at) < RETRY_DELAY);
        let pull = SyncRequest {
            catalog_version: gateway.catalog_version(),
            revision: gateway.scheduler.borrow().registry.latest_revision(),
        };
        let ahead = peers_ahead(&gateway, pull, &skipped);
        if ahead.is_empty() {
            behind_since = None;
            continue;
        }
        if now.duration_since(*behind_since.get_or_insert(now)) < MIN_BEHIND {
            continue;
        }
        let mut all_answered = true;
        for heard in ahead {
            let peer = heard.info.peer_addr;
            skipped.push((peer, now));
            let pulled = match pull_by_datagrams(&gateway, &datagrams, peer, pull).await {
                Ok(()) => true,
                // Another peer may answer sooner than a connection to this one.
                Err(PullError::Silent)
                    if !self::peers_ahead(&gateway, pull, &skipped).is_empty() =>
                {
                    false
                }
                Err(_) => pull_by_connection(&gateway, peer, pull, &mut patience).await,
            };
            skipped.pop();
            if !pulled {
                skipped.push((peer, gateway.now()));
                all_answered = false;
            }
        }
        if all_answered {
            behind_since = None;
            patience = AdaptiveTimeout::default();
        }
    }
}

/// Returns the peers to ask for newer state than `pull` names, except those in `skipped`.
fn peers_ahead(
    gateway: &Gateway,
    pull: SyncRequest,
    skipped: &[(SocketAddr, Instant)],
) -> SmallVec<[PeerState; 2]> {
    let skipped: Vec<SocketAddr> = skipped.iter().map(|(peer, _)| *peer).collect();
    let peers = gateway.peers.borrow();
    peers.sync_candidates(pull.catalog_version, pull.revision, &skipped, gateway.now())
}

/// Progress of a pull over a connection; the log shows the variant.
#[derive(Debug, Clone, Copy)]
enum Step {
    Connecting,
    Connected,
    Asked,
}

/// Pulls the state of `peer` over a connection; returns `false` if the peer doesn't answer in time.
async fn pull_by_connection(
    gateway: &Gateway,
    peer: SocketAddr,
    pull: SyncRequest,
    patience: &mut AdaptiveTimeout,
) -> bool {
    let (began, step) = (gateway.now(), Cell::new(Step::Connecting));
    let response = tokio::time::timeout(
        patience.current(),
        pull_knowledge(gateway, peer, pull, &step),
    )
    .await;
    let why = match response {
        Ok(Ok(knowledge)) => {
            apply_knowledge(gateway, knowledge, peer);
            None
        }
        Ok(Err(error)) => Some(error.to_string()),
        Err(_elapsed) => Some(format!(
            "no answer in {} ms",
            patience.current().as_millis()
        )),
    };
    let step = format!("{:?}", step.get());
    log_pull(gateway, peer, began, &step, why.as_deref());
    if why.is_some() {
        patience.on_timeout(gateway.peers.borrow().is_seen_since(peer, began));
    }
    why.is_none()
}

fn log_pull(gateway: &Gateway, peer: SocketAddr, began: Instant, step: &str, why: Option<&str>) {
    let took = gateway.now().duration_since(began);
    let fields = json!({
        "mate": peer.to_string(), "step": step, "why": why, "took_ms": took.as_millis() as u64,
    });
    event_log::state_change("mate_asked", fields);
}

fn apply_knowledge(gateway: &Gateway, knowledge: SyncResponse, from: SocketAddr) {
    let from = from.to_string();
    if let Some(catalog) = knowledge.catalog {
        gateway.apply_catalog(catalog, &from);
    }
    if let Some(entries) = knowledge.registrations {
        let list = RegistrationList {
            entries,
            unconfirmed: knowledge.unconfirmed,
            revision: knowledge.revision,
            after_outage: false,
        };
        gateway.apply_registrations(list, &from);
        let registry = &mut gateway.scheduler.borrow_mut().registry;
        registry.advance_latest(knowledge.revision);
    }
}

async fn pull_knowledge(
    gateway: &Gateway,
    peer: SocketAddr,
    pull: SyncRequest,
    step: &Cell<Step>,
) -> std::io::Result<SyncResponse> {
    let mut stream = connect_timeout(peer, timeout::MAX_TIMEOUT).await?;
    step.set(Step::Connected);
    let channel = stream.read_u64_le().await?;
    step.set(Step::Asked);
    let key = gateway.settings().key;
    let mut sealer = Sealer::new(key, gateway.id, gateway.incarnation, channel);
    send_message(&mut stream, &mut sealer, &Message::Pull(pull)).await?;
    let mut opener = Opener::new(key, channel);
    match receive_message(&mut stream, &mut opener).await? {
        Message::Knowledge(knowledge) => Ok(*knowledge),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

async fn send_message(
    stream: &mut TcpStream,
    sealer: &mut Sealer,
    message: &Message,
) -> std::io::Result<()> {
    let frame = sealer.seal(message).map_err(std::io::Error::other)?;
    let mut bytes = Vec::with_capacity(frame.len() + size_of::<u32>());
    frames::append(&mut bytes, &frame);
    stream.write_all(&bytes).await
}

async fn receive_message(stream: &mut TcpStream, opener: &mut Opener) -> std::io::Result<Message> {
    let frame = frames::read(stream).await.map_err(std::io::Error::other)?;
    let frame = frame.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let frame = opener.open(&frame).map_err(std::io::Error::other)?;
    Ok(frame.message)
}

/// Answers pulls of peers over connections until the process ends.
pub async fn serve_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let answered =
                tokio::time::timeout(timeout::MAX_TIMEOUT, serve_peer(&gateway, stream)).await;
            if let Ok(Err(error)) = answered {
                let fields = json!({"mate": from.to_string(), "why": error.to_string()});
                event_log::state_change("mate_not_told", fields);
            }
        });
    }
}

async fn serve_peer(gateway: &Gateway, mut stream: TcpStream) -> std::io::Result<()> {
    let channel: u64 = rand::random();
    stream.write_u64_le(channel).await?;
    let key = gateway.settings().key;
    let mut opener = Opener::new(key, channel);
    let Message::Pull(pull) = receive_message(&mut stream, &mut opener).await? else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    let knowledge = collect_knowledge(gateway, pull);
    let mut sealer = Sealer::new(key, gateway.id, gateway.incarnation, channel);
    send_message(
        &mut stream,
        &mut sealer,
        &Message::Knowledge(Box::new(knowledge)),
    )
    .await
}

fn collect_knowledge(gateway: &Gateway, pull: SyncRequest) -> SyncResponse {
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
