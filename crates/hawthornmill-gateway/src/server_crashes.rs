//! Servers that crashed while they ran requests.
//!
//! A connection that breaks tells nothing of its server: a reset, garbled bytes or a lost answer end a connection and no
//! server. A server has crashed if it takes no connection any more, if something in front of it closes each new one and it
//! brings nothing on the others, or if a later run of it has registered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::quarantine::evidence::RunningRequest;
use hawthornmill::quarantine::fingerprint::Fingerprint;
use hawthornmill::routing::recent::Source;
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::routing::server_notices::Availability;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::event_log;
use crate::gateway::Gateway;
use crate::pool::{self, Upstream};

/// Attempts to connect to a server, one of which is refused if it has crashed; its listener may close last.
const MAX_PROBES: usize = 3;
/// Pause between two of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which a new connection must stay open to show that the server runs.
const OPEN_TIME: Duration = Duration::from_millis(60);
/// Time within which a later run of a server that took a connection must register to show that the earlier one crashed.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Interval at which registrations are looked at meanwhile.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a proven crash is kept, for connections whose break is noticed late.
const PROVEN_TTL: Duration = Duration::from_secs(10);
/// Maximum number of requests that a log line describes.
const MAX_LOGGED: usize = 16;

/// A request whose connection to a server crashed while the server ran it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Id of the client's attempt.
    pub attempt_id: Box<str>,
    /// When it was sent to the server.
    pub sent_at: Instant,
    /// Time since then.
    pub ran: Duration,
    /// What it was and how far it got.
    pub running: RunningRequest,
}

/// What is known of the crash of a server's run.
#[derive(Debug)]
struct Examined {
    first_break: Instant,
    broken: Vec<BrokenRequest>,
    /// Whether the server has brought something since.
    alive: bool,
    /// How it was shown that the server crashed.
    proof: Option<Proof>,
}

/// What shows that a server has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proof {
    /// It refuses connections.
    Refused,
    /// Each new connection is closed at once, and nothing came on others.
    Closed,
    /// A later run has its name or its address.
    Replaced,
}

impl Proof {
    const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Replaced => "replaced",
        }
    }
}

/// Runs of servers that may have ended, and those that have.
#[derive(Debug, Default)]
pub struct ServerCrashes {
    runs: RefCell<BTreeMap<ServerRun, Examined>>,
    unexamined: RefCell<Vec<ServerRun>>,
    wakeup: Notify,
}

impl ServerCrashes {
    /// Records that the connection on which `run` of a server ran `request` ended.
    pub fn record_break(&self, gateway: &Gateway, run: ServerRun, request: BrokenRequest) {
        let run = run_reached(gateway, run, request.sent_at);
        if !is_unexpected(gateway, run) {
            return;
        }
        let now = gateway.now();
        let mut runs = self.runs.borrow_mut();
        if let Some(known) = runs.get(&run)
            && request.sent_at > known.first_break
        {
            // The server was gone before, and something in front of it took the connection.
            return;
        }
        let examined = runs.entry(run).or_insert_with(|| {
            self.unexamined.borrow_mut().push(run);
            self.wakeup.notify_one();
            Examined {
                first_break: now,
                broken: Vec::new(),
                alive: false,
                proof: None,
            }
        });
        let first_break = examined.first_break;
        if let Some(proof) = examined.proof {
            let late = std::slice::from_ref(&request);
            report_crash(gateway, run, first_break, proof, late);
        }
        examined.broken.push(request);
    }

    /// Records that the run of a server brought something on a request that was sent to it at `sent_at`.
    pub fn record_life(&self, gateway: &Gateway, run: ServerRun, sent_at: Instant) {
        let is_open = |examined: &Examined| examined.proof.is_none();
        if !self.runs.borrow().values().any(is_open) {
            return;
        }
        let run = run_reached(gateway, run, sent_at);
        if let Some(examined) = self.runs.borrow_mut().get_mut(&run) {
            examined.alive = true;
        }
    }

    fn is_alive(&self, run: ServerRun) -> bool {
        let runs = self.runs.borrow();
        runs.get(&run).is_some_and(|examined| examined.alive)
    }

    fn record_crash(&self, gateway: &Gateway, run: ServerRun, proof: Proof) {
        let mut runs = self.runs.borrow_mut();
        let Some(examined) = runs.get_mut(&run) else {
            return;
        };
        examined.proof = Some(proof);
        gateway.metrics.server_crashed();
        report_crash(gateway, run, examined.first_break, proof, &examined.broken);
    }

    /// Forgets old crashes, and runs that turned out not to have crashed.
    fn forget(&self, run: ServerRun, now: Instant) {
        let mut runs = self.runs.borrow_mut();
        runs.retain(|known, examined| {
            let is_recent = now.duration_since(examined.first_break) < PROVEN_TTL;
            (*known != run || examined.proof.is_some()) && is_recent
        });
    }
}

/// Returns the run that took a request sent to `run` at `sent_at`: a later one if it was known at the same address by then.
///
/// An entry stands for some time after its server has started again under another name.
fn run_reached(gateway: &Gateway, run: ServerRun, sent_at: Instant) -> ServerRun {
    let scheduler = gateway.scheduler.borrow();
    let registry = &scheduler.registry;
    let Some(entry) = registry.get(run.server).filter(|_| run.start_ms != 0) else {
        return run;
    };
    let address = entry.registration.address;
    let known = registry.entries().filter(|(_, e)| e.arrival <= sent_at);
    let there = known.filter(|(_, e)| e.registration.address == address);
    let runs = there.map(|(server, e)| ServerRun {
        server,
        start_ms: e.registration.start_ms,
    });
    let later = runs.filter(|r| r.start_ms > run.start_ms);
    later.max_by_key(|r| r.start_ms).unwrap_or(run)
}

/// Returns whether the crash of a server's run would be unexpected: it is registered and hasn't said that it leaves.
fn is_unexpected(gateway: &Gateway, run: ServerRun) -> bool {
    let scheduler = gateway.scheduler.borrow();
    let entry = scheduler.registry.get(run.server);
    entry.is_some_and(|entry| {
        let notice = scheduler
            .notices
            .availability(run.server, entry, gateway.now());
        !entry.registration.draining && notice != Availability::Leaving
    })
}

/// Logs that a server crashed while it ran the `broken` requests, and lets the fleet know.
fn report_crash(
    gateway: &Gateway,
    run: ServerRun,
    at: Instant,
    proof: Proof,
    broken: &[BrokenRequest],
) {
    log_crash(gateway, run, proof, broken);
    let running: Vec<RunningRequest> = broken.iter().map(|b| b.running.clone()).collect();
    let running = likeliest_first(running);
    let now = gateway.now();
    let mut quarantine = gateway.quarantine.borrow_mut();
    quarantine.record_crash(run, at, &running, Source::Own, now);
    drop(quarantine);
    gateway.announce_quarantine();
}

/// Sorts requests so that those come first which are the likeliest causes, since the list is cut: one of each, and of
/// these what got least far.
fn likeliest_first(mut running: Vec<RunningRequest>) -> Vec<RunningRequest> {
    running.sort_by_key(|r| r.events);
    let mut copies: BTreeMap<Fingerprint, u32> = BTreeMap::new();
    let numbered = running.into_iter().map(|r| {
        let copy = copies.entry(r.fingerprints.request).or_default();
        *copy += 1;
        (*copy, r)
    });
    let mut numbered: Vec<(u32, RunningRequest)> = numbered.collect();
    numbered.sort_by_key(|(copy, _)| *copy);
    numbered.into_iter().map(|(_, r)| r).collect()
}

fn log_crash(gateway: &Gateway, run: ServerRun, proof: Proof, broken: &[BrokenRequest]) {
    let describe = |b: &BrokenRequest| -> Value {
        let fingerprints = &b.running.fingerprints;
        let parts = fingerprints.parts.iter().map(|p| format!("{:x}", p.0));
        json!({
            "request": b.attempt_id, "fingerprint": format!("{:x}", fingerprints.request.0),
            "parts": parts.collect::<Vec<_>>(), "ran_ms": b.ran.as_millis() as u64, "events": b.running.events,
        })
    };
    let running: Vec<Value> = broken.iter().take(MAX_LOGGED).map(describe).collect();
    let ids: Vec<&str> = broken.iter().map(|b| &*b.attempt_id).collect();
    let fields = json!({
        "server": gateway.server_name(run.server), "run": run.start_ms, "proof": proof.name(),
        "broken": broken.len(), "running": running, "requests": ids,
    });
    event_log::state_change("server_crashed", fields);
}

/// Examines servers whose connections break, until the process ends.
pub async fn examine_runs(gateway: Rc<Gateway>) {
    loop {
        gateway.server_crashes.wakeup.notified().await;
        for run in gateway.server_crashes.unexamined.take() {
            spawn_local(examine(Rc::clone(&gateway), run));
        }
    }
}

async fn examine(gateway: Rc<Gateway>, run: ServerRun) {
    let Some(address) = address_of(&gateway, run) else {
        return gateway.server_crashes.forget(run, gateway.now());
    };
    let known = runs_at(&gateway, run, address);
    let crashes = &gateway.server_crashes;
    match probe(&gateway, run, address).await {
        Probe::Refused => crashes.record_crash(&gateway, run, Proof::Refused),
        Probe::Closed if !crashes.is_alive(run) => {
            crashes.record_crash(&gateway, run, Proof::Closed);
        }
        Probe::Closed | Probe::Unclear => {
            if is_replaced(&gateway, run, address, &known).await {
                crashes.record_crash(&gateway, run, Proof::Replaced);
            }
        }
        Probe::Open => {
            // Connections that break from now on are a matter of their own.
            let broken = crashes.runs.borrow_mut().remove(&run);
            if let Some(broken) = broken
                && is_replaced(&gateway, run, address, &known).await
            {
                gateway.metrics.server_crashed();
                let (at, broken) = (broken.first_break, &broken.broken);
                report_crash(&gateway, run, at, Proof::Replaced, broken);
            }
            return;
        }
    }
    crashes.forget(run, gateway.now());
}

fn address_of(gateway: &Gateway, run: ServerRun) -> Option<SocketAddr> {
    let scheduler = gateway.scheduler.borrow();
    let entry = scheduler.registry.get(run.server)?;
    Some(entry.registration.address)
}

/// Returns the runs that are registered under the name or the address of `run`.
fn runs_at(gateway: &Gateway, run: ServerRun, address: SocketAddr) -> Vec<ServerRun> {
    let scheduler = gateway.scheduler.borrow();
    let entries = scheduler.registry.entries();
    let same = entries.filter(|(id, e)| *id == run.server || e.registration.address == address);
    same.map(|(server, e)| ServerRun {
        server,
        start_ms: e.registration.start_ms,
    })
    .collect()
}

/// What connecting to a server shows.
enum Probe {
    /// It refuses connections.
    Refused,
    /// It takes them.
    Open,
    /// It takes them and closes each of them at once.
    Closed,
    /// Connecting takes too long.
    Unclear,
}

async fn probe(gateway: &Gateway, run: ServerRun, address: SocketAddr) -> Probe {
    let mut closed = 0;
    for _ in 0..MAX_PROBES {
        match pool::connect(address).await {
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Probe::Refused;
            }
            Err(_unknown) => {}
            Ok(stream) if stays_open(&stream).await => {
                keep_connection(gateway, run, stream);
                return Probe::Open;
            }
            Ok(_closed) => closed += 1,
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    if closed == MAX_PROBES {
        Probe::Closed
    } else {
        Probe::Unclear
    }
}

/// Returns whether the server leaves a new connection open.
async fn stays_open(stream: &TcpStream) -> bool {
    tokio::time::timeout(OPEN_TIME, stream.readable())
        .await
        .is_err()
}

/// Keeps the connection of a probe for a request.
fn keep_connection(gateway: &Gateway, run: ServerRun, stream: TcpStream) {
    let upstream = Upstream::new(stream);
    let (max_idle, now) = (gateway.max_idle(run.server), gateway.now());
    gateway
        .pool
        .put_back(run.server, upstream, None, max_idle, now);
}

/// Waits whether a run that isn't `known` registers under the name or the address of `run`.
async fn is_replaced(
    gateway: &Gateway,
    run: ServerRun,
    address: SocketAddr,
    known: &[ServerRun],
) -> bool {
    let end = gateway.now() + RESTART_TIME;
    while gateway.now() < end {
        tokio::time::sleep(RESTART_CHECK_INTERVAL).await;
        let mut runs = runs_at(gateway, run, address).into_iter();
        if runs.any(|r| !known.contains(&r)) {
            return true;
        }
    }
    false
}
