//! Calls under which servers end: proof of the crashes, what peers are told, and which calls are held or refused.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hawthornmill::blackboard::Blackboard;
use hawthornmill::codes::Code;
use hawthornmill::ident::{InstanceId, ServerId, mix};
use hawthornmill::pools::entry;
use hawthornmill::quarantine::evidence::RunningRequest;
use hawthornmill::quarantine::fingerprint::{Fingerprints, RequestContent};
use hawthornmill::quarantine::report::QuarantineReport;
use hawthornmill::quarantine::table::{Change, Quarantine, QuarantineStatus};
use hawthornmill::routing::recent::{Audience, Source};
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::wire::message::Message;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::api::call::Call;
use crate::api::problem::Problem;
use crate::fleet::Fleet;

/// Attempts to connect to a server, one of which is refused if it has ended; its listener may close last.
const MAX_PROBES: usize = 3;
/// Pause between two of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time that one takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Quarantined calls of this instance, and the calls that wait for a decision.
#[derive(Debug, Default)]
pub struct CallQuarantine {
    table: Mutex<Quarantine>,
    /// Wakes held calls: something changed.
    changed: Notify,
}

impl CallQuarantine {
    fn table(&self) -> MutexGuard<'_, Quarantine> {
        // What is held after a panic is at worst incomplete, and refuses nothing by itself.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fingerprints(call: &Call) -> Fingerprints {
    Fingerprints::of(&RequestContent {
        account: Some(call.admitted.account),
        method: call.outbound.method.as_str(),
        host: &call.admitted.service.0.to_le_bytes(),
        target: &call.outbound.path,
        parts: &[],
        body: &[&call.asked],
    })
}

/// Waits while it is uncertain whether servers crash under `call`.
///
/// # Errors
/// The refusal of a call that must not be sent; this copy was not run.
pub async fn wait_until_clear(fleet: &Fleet, call: &Call) -> Result<(), Problem> {
    let quarantine = &fleet.quarantine;
    loop {
        let changed = quarantine.changed.notified();
        if quarantine.table().is_idle() {
            return Ok(());
        }
        let now = fleet.clock.now();
        let status = quarantine.table().status(&fingerprints(call), now);
        log_changes(fleet);
        match status {
            QuarantineStatus::Clear => return Ok(()),
            QuarantineStatus::Held(until) => {
                let until = tokio::time::Instant::from_std(until);
                let _elapsed = tokio::time::timeout_at(until, changed).await;
            }
            QuarantineStatus::Quarantined(refused) => {
                let problem = Problem::not_run(Code::RequestQuarantined, &call.outbound.id);
                return Err(problem.with_retry_after(refused.retry_after));
            }
        }
    }
}

/// How far a call got at a server whose connection ended.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// When it was sent.
    pub sent_at: Instant,
    /// Pieces of the response that came.
    pub pieces: u32,
}

/// Records that the connection on which `server` ran `call` ended, and finds out whether the server did.
pub fn record_break(fleet: &Arc<Fleet>, call: &Call, server: ServerId, progress: Progress) {
    let now = fleet.clock.now();
    let address = fleet.view(|board| unexpected_end(board, server, now));
    let Some(address) = address else {
        return;
    };
    let running = RunningRequest {
        attempt: call
            .outbound
            .id
            .bytes()
            .fold(0, |h, b| mix(h ^ u64::from(b))),
        fingerprints: fingerprints(call),
        events: progress.pieces,
        position: progress.pieces.into(),
    };
    let fleet = Arc::clone(fleet);
    tokio::spawn(async move {
        if !refuses_connections(&address).await {
            return;
        }
        log::warn!(target: "pools", "server {address} ended while it ran a call");
        let (run, now_proven) = (run_of(server), fleet.clock.now());
        let is_new = fleet.quarantine.table().record_crash(
            run,
            now,
            std::slice::from_ref(&running),
            Source::Own,
            now_proven,
        );
        if is_new {
            announce(&fleet);
        }
    });
}

/// A server keeps its name over its runs, and nothing tells when they began.
const fn run_of(server: ServerId) -> ServerRun {
    ServerRun {
        server,
        start_ms: 0,
    }
}

/// Returns the address of a server that is in force and hasn't said that it leaves.
fn unexpected_end(board: &Blackboard, server: ServerId, now: Instant) -> Option<Box<str>> {
    let known = board.config.servers.get(&server)?;
    (!entry::is_leaving(board, server, now)).then(|| known.address.clone())
}

async fn refuses_connections(address: &str) -> bool {
    for _ in 0..MAX_PROBES {
        let connect = TcpStream::connect(address);
        if let Ok(Err(error)) = tokio::time::timeout(PROBE_TIMEOUT, connect).await
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    false
}

/// Returns whether `call` may be sent again after its connection broke.
pub fn allows_retry(fleet: &Fleet, call: &Call) -> bool {
    let table = fleet.quarantine.table();
    table.is_idle() || table.allows_retry(&fingerprints(call))
}

/// Records that a server answered `call` completely.
pub fn record_answer(fleet: &Fleet, call: &Call) {
    let now = fleet.clock.now();
    let mut table = fleet.quarantine.table();
    if table.is_idle() {
        return;
    }
    let request = fingerprints(call).request;
    let is_new = table.record_answer(request, now, Source::Own, now);
    drop(table);
    if is_new {
        announce(fleet);
    }
}

/// Takes over what a peer tells.
pub fn apply_report(fleet: &Fleet, news: &QuarantineReport) {
    let is_new = fleet.quarantine.table().apply(news, fleet.clock.now());
    if is_new {
        log_changes(fleet);
        fleet.quarantine.changed.notify_waiters();
    }
}

/// Tells a peer that starts which calls are quarantined.
pub fn tell_newcomer(fleet: &Fleet, peer: InstanceId) {
    let now = fleet.clock.now();
    let messages = fleet
        .quarantine
        .table()
        .messages(Audience::OtherDomains, true, now);
    for message in messages {
        let message = Message::QuarantineReport(Box::new(message));
        fleet.outgoing.send(peer, message);
    }
}

/// Tells held calls and all peers what changed; ends of servers are rare.
fn announce(fleet: &Fleet) {
    log_changes(fleet);
    fleet.quarantine.changed.notify_waiters();
    let now = fleet.clock.now();
    let peers: Vec<InstanceId> = fleet.view(|board| {
        let live = board.members.live().map(|(id, _)| id);
        live.filter(|id| *id != board.me()).collect()
    });
    let messages = fleet
        .quarantine
        .table()
        .messages(Audience::Domain, false, now);
    for message in messages {
        for peer in &peers {
            let message = Message::QuarantineReport(Box::new(message.clone()));
            fleet.outgoing.send(*peer, message);
        }
    }
}

fn log_changes(fleet: &Fleet) {
    for change in fleet.quarantine.table().take_changes() {
        match change {
            Change::Quarantined {
                fingerprint,
                crashes,
                ..
            } => {
                let print = fingerprint.0;
                log::warn!(target: "pools", "call {print:x} is refused: {crashes} servers crashed under it");
            }
            Change::Trial(fingerprint) => {
                log::info!(target: "pools", "call {:x} is held while others are tried", fingerprint.0);
            }
            Change::Cleared(fingerprint) | Change::Expired(fingerprint) => {
                log::warn!(target: "pools", "call {:x} is no longer refused", fingerprint.0);
            }
        }
    }
}
