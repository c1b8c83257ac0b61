//! Pulls newer catalogs and registrations from peers, and serves them to peers.
//!
//! An instance asks by datagrams first, and over a connection if the state doesn't fit into datagrams
//! or none arrive.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::limits::timeout::{self, AdaptiveTimeout};
use hawthornmill::routing::catalog::Catalog;
use hawthornmill::routing::fragments::{self, FragmentRequest, Outcome, Reassembly};
use hawthornmill::routing::gossip::{KnownState, PeerState, SyncResponse};
use hawthornmill::routing::recent::Source;
use hawthornmill::routing::registry::RegistrationList;
use hawthornmill::wire::frame::MAX_FRAME_BYTES;
use hawthornmill::wire::previous::decode_state;
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
/// Interval at which the peers are checked for newer state, while one of them has such.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same while this instance has no state at all, and callers wait for it.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time until the next check while no peer is known to have newer state.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(900);
/// Time for which a peer that did not answer is skipped; after it, the peer counts as silent.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Consecutive rounds without a datagram after which a connection is tried.
const MAX_EMPTY_ROUNDS: usize = 2;

/// Longest frame of a request; only its sender is known to hold the key once it is complete.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// Sends the requested fragments of this instance's state.
pub fn send_fragments(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    to: SocketAddr,
    fragment_request: &FragmentRequest,
) {
    let newest = || {
        let bytes = postcard::to_allocvec(&build_response(gateway, fragment_request.sync));
        bytes.unwrap_or_else(|error| {
            log::error!(target: "mates", "can't encode the state for a peer: {error}");
            Vec::new()
        })
    };
    let now = gateway.now();
    let fragments = gateway
        .state_cache
        .borrow_mut()
        .fragments(fragment_request, newest, now);
    for fragment in fragments {
        datagrams.send(&Message::Fragment(fragment), [to]);
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
    request: KnownState,
) -> Result<(), PullError> {
    let began = gateway.now();
    let response = receive_fragments(gateway, datagrams, peer, request).await;
    let why = response.as_ref().err().map(|why| format!("{why:?}"));
    log_pull(gateway, peer, began, "parts", why.as_deref());
    apply_response(gateway, response?, peer);
    Ok(())
}

async fn receive_fragments(
    gateway: &Gateway,
    datagrams: &DatagramSocket,
    peer: SocketAddr,
    request: KnownState,
) -> Result<SyncResponse, PullError> {
    let pending = &gateway.pending_state;
    pending.start(peer);
    let mut empty = 0;
    while empty < MAX_EMPTY_ROUNDS {
        let (before, fragment_request) =
            pending.with_reassembly(|a| (a.received(), a.request(request)));
        datagrams.send(&Message::FragmentRequest(fragment_request), [peer]);
        let round = fragments::round_timeout(gateway.load_shedder.get().lag(gateway.now()));
        let _over = tokio::time::timeout(round, pending.wait_complete()).await;
        match pending.with_reassembly(|a| a.outcome().cloned()) {
            Some(Outcome::Complete(bytes)) => return decode_response(&bytes),
            Some(Outcome::TooLarge) => return Err(PullError::TooLarge),
            None => {}
        }
        let progressed = pending.with_reassembly(Reassembly::received) > before;
        empty = if progressed { 0 } else { empty + 1 };
    }
    Err(PullError::Silent)
}

fn decode_response(bytes: &[u8]) -> Result<SyncResponse, PullError> {
    decode_state(bytes).map_err(|error| {
        log::warn!(target: "mates", "can't decode the state of a peer: {error}");
        PullError::Unreadable
    })
}

/// Pulls newer state from peers until the process ends.
pub async fn sync_from_peers(gateway: Rc<Gateway>, datagrams: Rc<DatagramSocket>) {
    let mut behind_since: Option<Instant> = None;
    let mut skipped: Vec<(SocketAddr, Instant)> = Vec::new();
    let mut answer_timeout = AdaptiveTimeout::default();
    loop {
        let interval = if gateway.has_state() {
            CHECK_INTERVAL
        } else {
            START_CHECK_INTERVAL
        };
        tokio::time::sleep(interval).await;
        let now = gateway.now();
        skipped.retain(|(_, at)| now.duration_since(*at) < RETRY_DELAY);
        let request = gateway.known_state();
        let ahead = peers_ahead(&gateway, request, &skipped);
        if ahead.is_empty() {
            behind_since = None;
            // The notification may be of a peer that is skipped now, so this wait ends by itself too.
            let notified = gateway.behind_wakeup.notified();
            let _either = tokio::time::timeout(MAX_IDLE_WAIT, notified).await;
            continue;
        }
        let min_behind = min_behind(&gateway, &ahead);
        if now.duration_since(*behind_since.get_or_insert(now)) < min_behind {
            continue;
        }
        let mut all_answered = true;
        for candidate in ahead {
            let peer = candidate.info.peer_addr;
            skipped.push((peer, now));
            let pulled = match pull_by_datagrams(&gateway, &datagrams, peer, request).await {
                Ok(()) => true,
                // Another peer may answer sooner than a connection to this one.
                Err(PullError::Silent)
                    if !self::peers_ahead(&gateway, request, &skipped).is_empty() =>
                {
                    false
                }
                Err(_) => pull_by_connection(&gateway, peer, request, &mut answer_timeout).await,
            };
            skipped.pop();
            if !pulled {
                skipped.push((peer, gateway.now()));
                all_answered = false;
            }
        }
        if all_answered {
            behind_since = None;
            answer_timeout = AdaptiveTimeout::default();
        }
    }
}

/// Returns the time for which the peers in `ahead` must be so before one is asked.
///
/// An instance without any state asks its own failure domain at once. Other domains are not asked by all instances of a
/// domain that starts: the first one to know tells the rest.
fn min_behind(gateway: &Gateway, ahead: &[PeerState]) -> Duration {
    let own = gateway.settings().domain;
    if !gateway.has_state() && ahead.iter().any(|p| p.info.domain == own) {
        Duration::ZERO
    } else {
        MIN_BEHIND
    }
}

/// Returns the peers to ask for newer state than `request` names, except those in `skipped`.
fn peers_ahead(
    gateway: &Gateway,
    request: KnownState,
    skipped: &[(SocketAddr, Instant)],
) -> SmallVec<[PeerState; 2]> {
    let skipped: Vec<SocketAddr> = skipped.iter().map(|(peer, _)| *peer).collect();
    let peers = gateway.peers.borrow();
    peers.sync_candidates(request, &skipped, gateway.now())
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
    request: KnownState,
    answer_timeout: &mut AdaptiveTimeout,
) -> bool {
    let (began, step) = (gateway.now(), Cell::new(Step::Connecting));
    let response = tokio::time::timeout(
        answer_timeout.current(),
        request_state(gateway, peer, request, &step),
    )
    .await;
    let why = match response {
        Ok(Ok(response)) => {
            apply_response(gateway, response, peer);
            None
        }
        Ok(Err(error)) => Some(error.to_string()),
        Err(_elapsed) => Some(format!(
            "no answer in {} ms",
            answer_timeout.current().as_millis()
        )),
    };
    let step = format!("{:?}", step.get());
    log_pull(gateway, peer, began, &step, why.as_deref());
    if why.is_some() {
        answer_timeout.on_timeout(gateway.peers.borrow().is_seen_since(peer, began));
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

fn apply_response(gateway: &Gateway, response: SyncResponse, from: SocketAddr) {
    let from = from.to_string();
    for change in response.evacuations {
        gateway.apply_evacuation(change, &from, Source::Peer);
    }
    if let Some(mut catalog) = response.catalog {
        catalog.set_gap_targets(&response.gap_targets);
        gateway.apply_catalog(catalog, &from);
    }
    if let Some(entries) = response.registrations {
        // A peer that doesn't say it may have started in an outage; a first list drops no server, so it may count as incomplete.
        let is_first = gateway.scheduler.borrow().registry.revision() == 0;
        let list = RegistrationList {
            entries,
            unconfirmed: response.unconfirmed,
            revision: response.revision,
            after_outage: response.after_outage.unwrap_or(is_first),
            asked_at: None,
        };
        gateway.apply_registrations(list, &from);
        let registry = &mut gateway.scheduler.borrow_mut().registry;
        registry.advance_latest(response.revision);
    }
}

async fn request_state(
    gateway: &Gateway,
    peer: SocketAddr,
    request: KnownState,
    step: &Cell<Step>,
) -> std::io::Result<SyncResponse> {
    let mut stream = connect_timeout(peer, timeout::MAX_TIMEOUT).await?;
    step.set(Step::Connected);
    let channel = stream.read_u64_le().await?;
    step.set(Step::Asked);
    let key = gateway.settings().key;
    let mut sealer = Sealer::new(key, gateway.id, gateway.incarnation, channel);
    send_message(&mut stream, &mut sealer, &Message::SyncRequest(request)).await?;
    let mut opener = Opener::new(key, channel);
    match receive_message(&mut stream, &mut opener, MAX_FRAME_BYTES).await? {
        Message::SyncResponse(response) => Ok(*response),
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

async fn receive_message(
    stream: &mut TcpStream,
    opener: &mut Opener,
    max_bytes: usize,
) -> std::io::Result<Message> {
    let frame = frames::read_up_to(stream, max_bytes).await;
    let frame = frame.map_err(std::io::Error::other)?;
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
    let request = receive_message(&mut stream, &mut opener, MAX_REQUEST_BYTES).await?;
    let Message::SyncRequest(request) = request else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    let response = build_response(gateway, request);
    let mut sealer = Sealer::new(key, gateway.id, gateway.incarnation, channel);
    send_message(
        &mut stream,
        &mut sealer,
        &Message::SyncResponse(Box::new(response)),
    )
    .await
}

fn build_response(gateway: &Gateway, request: KnownState) -> SyncResponse {
    let table = gateway.table();
    let newer = table.filter(|t| t.version() > request.catalog_version);
    let scheduler = gateway.scheduler.borrow();
    let latest = scheduler.registry.latest_revision();
    let now = gateway.now();
    let catalog = newer.map(|t| t.catalog().clone());
    let gap_targets = catalog.as_ref().map(Catalog::gap_targets);
    SyncResponse {
        gap_targets: gap_targets.unwrap_or_default(),
        catalog,
        registrations: (latest > request.revision).then(|| scheduler.registry.snapshot(now)),
        unconfirmed: scheduler.registry.unconfirmed(now),
        revision: latest,
        evacuations: scheduler.evacuations.snapshot(),
        after_outage: Some(scheduler.registry.is_incomplete(now)),
    }
}
