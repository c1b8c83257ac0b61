//! Which run of a server listens at its address, as the server itself reports it.
//!
//! [`hawthornmill::routing::run_doubt`] keeps the runs in doubt. A server in doubt is asked on new connections until its run
//! is known. A request that only one version may serve goes over a connection whose run the server has reported.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::ident::{ServerId, ServiceId};
use hawthornmill::routing::gossip::StoreRole;
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::routing::run_doubt::{DoubtState, ReportedRun};
use hawthornmill::routing::scheduler::Scheduler;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::event_log;
use crate::gateway::Gateway;
use crate::http::write::MessageBuffer;
use crate::pool::{self, Upstream};
use crate::store_call::read_response_within;

/// Time in which a server answers a question for its report; it needs no slot for that.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest report that is read; it lists the requests that the server runs.
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Shortest and longest pause between two questions to a server in doubt.
const ASK_INTERVALS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Time for which a run isn't asked that has no reports.
const NO_REPORT_TTL: Duration = Duration::from_mins(1);
/// Time over which a server answers without a report until it counts as one that has none; a doubt lasts longer.
const FAILING_TIME: Duration = Duration::from_secs(3);
/// Longest pause between two such answers; with a longer one, the server may have started again meanwhile.
const MAX_FAILING_PAUSE: Duration = Duration::from_secs(2);
/// Statuses of servers that don't know the path of a report; others may be of the moment.
const UNKNOWN_PATH: [u16; 3] = [404, 405, 501];
/// Status of a report.
const OK: u16 = 200;

/// What an instance asks servers about their runs.
#[derive(Debug, Default)]
pub struct ServerRuns {
    /// Runs whose doubt has just begun.
    doubted: RefCell<Vec<ServerRun>>,
    wakeup: Notify,
    /// Services of which a server has reported.
    reporting: RefCell<BTreeSet<ServiceId>>,
    /// Runs that answer without a report, each with the first and the latest such answer.
    failing: RefCell<BTreeMap<ServerRun, (Instant, Instant)>>,
    /// Runs that have no reports, each with the instant at which this was seen.
    unreported: RefCell<BTreeMap<ServerRun, Instant>>,
}

impl ServerRuns {
    fn record_start(&self, service: ServiceId, run: ServerRun) {
        self.reporting.borrow_mut().insert(service);
        self.failing.borrow_mut().remove(&run);
    }

    /// Records an answer without a report; returns whether the run counts as one that has none.
    ///
    /// One failure says nothing of the next answer: only a path that no server of the service knows, or failures for a while, do.
    fn record_failure(
        &self,
        service: ServiceId,
        run: ServerRun,
        status: u16,
        now: Instant,
    ) -> bool {
        let is_absent =
            UNKNOWN_PATH.contains(&status) && !self.reporting.borrow().contains(&service);
        let mut failing = self.failing.borrow_mut();
        failing.retain(|_, (_, latest)| now.duration_since(*latest) < MAX_FAILING_PAUSE);
        let (first, latest) = failing.entry(run).or_insert((now, now));
        *latest = now;
        if !is_absent && now.duration_since(*first) < FAILING_TIME {
            return false;
        }
        failing.remove(&run);
        let mut unreported = self.unreported.borrow_mut();
        unreported.retain(|_, at| now.duration_since(*at) < NO_REPORT_TTL);
        unreported.insert(run, now);
        true
    }
}

/// What a server says of its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Report {
    /// It started at this time, in milliseconds of Unix time.
    Start(u64),
    /// It has no report.
    Absent,
}

/// What is known of the run behind a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunProof {
    /// It is the registered one, as far as servers of its service tell.
    Registered,
    /// It is another one.
    Other,
    /// The server didn't answer, and the connection is to be closed.
    Unanswered,
}

/// Records that a connection to `run` broke at the instant `at`, so that another run may listen at its address.
pub fn record_break(gateway: &Gateway, run: ServerRun, at: Instant, why: &'static str) {
    if !resumes_streams(gateway, run.server) {
        return;
    }
    let now = gateway.now();
    if !gateway.scheduler.borrow_mut().record_break(run, at, now) {
        return;
    }
    gateway.metrics.run_doubted(why);
    let fields =
        json!({"server": gateway.server_name(run.server), "run": run.start_ms, "why": why});
    event_log::state_change("run_doubted", fields);
    gateway.server_runs.doubted.borrow_mut().push(run);
    gateway.server_runs.wakeup.notify_one();
}

/// Records that the server's current run can't be reached.
pub fn record_unreachable(gateway: &Gateway, server: ServerId) {
    if let Some(run) = gateway.server_run(server) {
        record_break(gateway, run, gateway.now(), "unreachable");
    }
}

/// Returns whether streams of the server may go on at another one; versions matter to no other requests.
fn resumes_streams(gateway: &Gateway, server: ServerId) -> bool {
    let service = service_of(gateway, server);
    service.is_some_and(|s| gateway.table().is_some_and(|t| t.resumes_streams(s)))
}

fn service_of(gateway: &Gateway, server: ServerId) -> Option<ServiceId> {
    let scheduler = gateway.scheduler.borrow();
    Some(scheduler.registry.get(server)?.registration.service)
}

fn address_of(gateway: &Gateway, run: ServerRun) -> Option<SocketAddr> {
    let scheduler = gateway.scheduler.borrow();
    Some(scheduler.registry.get(run.server)?.registration.address)
}

/// Returns whether the server of `run` is worth asking.
fn may_report(gateway: &Gateway, run: ServerRun) -> bool {
    let now = gateway.now();
    let seen = gateway.server_runs.unreported.borrow().get(&run).copied();
    run.start_ms != 0 && seen.is_none_or(|at| now.duration_since(at) >= NO_REPORT_TTL)
}

/// Learns which run is behind a connection before a request is sent there that begins or takes up a stream.
pub async fn prove(
    gateway: &Gateway,
    run: ServerRun,
    address: SocketAddr,
    upstream: &mut Upstream,
) -> RunProof {
    if upstream.run.is_some_and(|r| r.get() == run.start_ms) || !may_report(gateway, run) {
        return RunProof::Registered;
    }
    let mut asked = gateway.now();
    let mut report = ask(gateway, run, &mut upstream.stream).await;
    if report.is_err() && upstream.reused {
        // The server may have closed a connection that was idle.
        let Ok(stream) = pool::connect(address).await else {
            record_unreachable(gateway, run.server);
            return RunProof::Unanswered;
        };
        *upstream = Upstream::new(stream);
        asked = gateway.now();
        report = ask(gateway, run, &mut upstream.stream).await;
    }
    let start_ms = match report {
        Ok(Report::Start(start_ms)) => start_ms,
        Ok(Report::Absent) => return RunProof::Registered,
        Err(_broken) => {
            record_break(gateway, run, gateway.now(), "no_report");
            return RunProof::Unanswered;
        }
    };
    upstream.run = NonZeroU64::new(start_ms);
    // Where a doubt is there, the report itself tells more than a break would.
    let is_doubted = gateway.scheduler.borrow().doubts.is_doubted(run.server);
    if start_ms != run.start_ms && !is_doubted {
        record_break(gateway, run, asked, "other_run");
    }
    match record_report(gateway, run, start_ms, asked) {
        ReportedRun::Registered => RunProof::Registered,
        ReportedRun::Other | ReportedRun::Outdated => RunProof::Other,
    }
}

/// Asks a server for its report on an idle connection.
///
/// # Errors
/// If no usable response comes in time, or one that leaves open whether there are reports; the connection is to be closed then.
async fn ask(gateway: &Gateway, run: ServerRun, stream: &mut TcpStream) -> io::Result<Report> {
    gateway.metrics.run_asked();
    let runs = &gateway.adapter.runs;
    let exchange = async {
        let mut request = MessageBuffer::request("GET", runs.report_path);
        request.header("Host", stream.peer_addr()?.to_string());
        request.end_head();
        stream.write_all(&request.0).await?;
        read_response_within(stream, MAX_REPORT_BYTES).await
    };
    let response = tokio::time::timeout(REPORT_TIMEOUT, exchange).await;
    let (status, body, reusable) =
        response.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    let start = (runs.parse_start)(&body).filter(|_| status == OK);
    if !reusable {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let Some(service) = service_of(gateway, run.server) else {
        return start
            .map(Report::Start)
            .ok_or_else(|| io::ErrorKind::NotFound.into());
    };
    let known = &gateway.server_runs;
    if let Some(start_ms) = start {
        known.record_start(service, run);
        return Ok(Report::Start(start_ms));
    }
    if known.record_failure(service, run, status, gateway.now()) {
        Ok(Report::Absent)
    } else {
        Err(io::ErrorKind::InvalidData.into())
    }
}

fn record_report(gateway: &Gateway, run: ServerRun, start_ms: u64, asked: Instant) -> ReportedRun {
    let now = gateway.now();
    let mut scheduler = gateway.scheduler.borrow_mut();
    let reported = scheduler.record_report(run, start_ms, asked, now);
    drop(scheduler);
    settle(gateway);
    reported
}

/// Logs which doubts have ended, and records the versions of streams that began meanwhile.
pub fn settle(gateway: &Gateway) {
    let mut scheduler = gateway.scheduler.borrow_mut();
    let (ended, resolved) = (
        scheduler.doubts.take_ended(),
        scheduler.doubts.take_resolved(),
    );
    drop(scheduler);
    for (run, end) in &ended {
        let server = gateway.server_name(run.server);
        let fields = json!({"server": server, "run": run.start_ms, "by": end.name()});
        event_log::state_change("run_settled", fields);
    }
    for stream in resolved {
        gateway.streams.begin(gateway, stream);
    }
    if !ended.is_empty() {
        gateway.queue_wakeup.notify_one();
    }
}

/// Asks servers in doubt which run listens there, until the process ends.
pub async fn examine_doubts(gateway: Rc<Gateway>) {
    loop {
        gateway.server_runs.wakeup.notified().await;
        for run in gateway.server_runs.doubted.take() {
            spawn_local(examine(Rc::clone(&gateway), run));
        }
    }
}

async fn examine(gateway: Rc<Gateway>, run: ServerRun) {
    let mut pause = ASK_INTERVALS.0;
    loop {
        let state = gateway.scheduler.borrow().doubts.state(run);
        match state {
            None => return,
            Some(DoubtState::Run) if may_report(&gateway, run) => {
                ask_anew(&gateway, run).await;
            }
            Some(DoubtState::Run | DoubtState::Version) => {}
        }
        elapse(&gateway, run);
        settle(&gateway);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(ASK_INTERVALS.1);
    }
}

/// Ends a doubt of which this instance would have heard by now.
fn elapse(gateway: &Gateway, run: ServerRun) {
    let now = gateway.now();
    let learns = gateway.store_role.get() != StoreRole::Disconnected;
    let mut scheduler = gateway.scheduler.borrow_mut();
    let Scheduler {
        doubts, registry, ..
    } = &mut *scheduler;
    doubts.elapse(run, registry, learns, now);
}

/// Asks a server in doubt on a new connection, which is kept for requests.
async fn ask_anew(gateway: &Gateway, run: ServerRun) {
    let Some(address) = address_of(gateway, run) else {
        return;
    };
    let Ok(stream) = pool::connect(address).await else {
        return;
    };
    let asked = gateway.now();
    let mut upstream = Upstream::new(stream);
    let Ok(Report::Start(start_ms)) = ask(gateway, run, &mut upstream.stream).await else {
        return;
    };
    upstream.run = NonZeroU64::new(start_ms);
    if record_report(gateway, run, start_ms, asked) == ReportedRun::Other {
        let server = gateway.server_name(run.server);
        let fields = json!({"server": server, "run": run.start_ms, "reported": start_ms});
        event_log::state_change("run_differs", fields);
    }
    let (max_idle, now) = (gateway.max_idle(run.server), gateway.now());
    gateway
        .pool
        .put_back(run.server, upstream, None, max_idle, now);
}
