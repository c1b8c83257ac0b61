//! HTTP endpoints of the gateway itself: readiness, directory, metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hawthornmill::ident::{DomainId, RegionId};
use hawthornmill::limits::request_memory::RequestPart;
use hawthornmill::routing::server_speed::SpeedSummary;
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeValLike;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::adapter::{Adapter, DirectoryQuery};
use crate::gateway::Gateway;
use crate::http::head;
use crate::http::write::MessageBuffer;

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Bytes in the unit in which the system tells memory.
const KIB: i64 = 1 << 10;
/// Ready instances that suffice for a response to list only those near the client.
///
/// A single one would get all requests of the failure domain, and its clients would have no alternative.
const MIN_LOCAL_INSTANCES: usize = 2;
/// Most addresses in one response.
const MAX_ADDRESSES: usize = 64;
const METRICS_PATH: &str = "/metrics";

/// Which endpoint a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// Whether the process accepts requests.
    Ready,
    /// Which addresses clients should use.
    Directory,
    /// Metrics in the text format of Prometheus.
    Metrics,
}

/// Serves `endpoint` on `listener` until the process ends.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        let Ok((stream, _from)) = listener.accept().await else {
            // Mostly the process is out of file descriptors, and others are closed meanwhile.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            // A client that disconnects or sends nothing only ends its own connection.
            let _ended = tokio::time::timeout(
                IDLE_TIMEOUT * 30,
                handle_requests(&gateway, stream, endpoint),
            )
            .await;
        });
    }
}

async fn handle_requests(
    gateway: &Gateway,
    mut stream: TcpStream,
    endpoint: Endpoint,
) -> std::io::Result<()> {
    let mut buffer = BytesMut::with_capacity(1024);
    loop {
        let head = tokio::time::timeout(IDLE_TIMEOUT, read_head(&mut stream, &mut buffer));
        let Some((head, head_length)) = head.await?? else {
            return Ok(());
        };
        let _head = buffer.split_to(head_length);
        let (status, reason, content_type, body) = respond(gateway, &head, endpoint);
        let close = head.closes_connection() || !buffer.is_empty();
        let mut bytes = MessageBuffer::response(status, reason);
        bytes.header("Content-Type", content_type);
        bytes.header("Content-Length", body.len().to_string());
        if close {
            bytes.header("Connection", "close");
        }
        bytes.end_head();
        if !head.forbids_body() {
            bytes.0.extend_from_slice(&body);
        }
        stream.write_all(&bytes.0).await?;
        if close {
            return stream.shutdown().await;
        }
    }
}

async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> std::io::Result<Option<(head::RequestHead, usize)>> {
    loop {
        match head::parse_request(buffer) {
            Ok(Some(found)) => return Ok(Some(found)),
            Ok(None) if buffer.len() <= MAX_HEAD_BYTES => {}
            _ => return Ok(None),
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

type Response = (u16, &'static str, &'static str, Vec<u8>);

const JSON: &str = "application/json";
const TEXT: &str = "text/plain";

fn respond(gateway: &Gateway, head: &head::RequestHead, endpoint: Endpoint) -> Response {
    let Adapter {
        discovery, headers, ..
    } = &gateway.adapter;
    // Another instance takes this address for a server's, and sends its request elsewhere after this response only.
    if head.headers.get(headers.expected_server).is_some() {
        return (421, "Misdirected Request", TEXT, b"no server\n".to_vec());
    }
    match endpoint {
        Endpoint::Ready if head.path() == discovery.ready_path => {
            if gateway.is_ready() {
                (200, "OK", TEXT, b"ready\n".to_vec())
            } else {
                (503, "Service Unavailable", TEXT, b"not ready\n".to_vec())
            }
        }
        Endpoint::Directory => match (discovery.parse_query)(&head.target) {
            Some(query) => directory_response(gateway, &query),
            None => (404, "Not Found", TEXT, b"no such call\n".to_vec()),
        },
        Endpoint::Metrics if head.path() == METRICS_PATH => {
            (200, "OK", TEXT, encode_metrics(gateway).into_bytes())
        }
        Endpoint::Ready | Endpoint::Metrics => (404, "Not Found", TEXT, b"no such call\n".to_vec()),
    }
}

fn directory_response(gateway: &Gateway, query: &DirectoryQuery) -> Response {
    let addresses = ready_addresses(gateway, query);
    if addresses.is_empty() {
        return (
            503,
            "Service Unavailable",
            TEXT,
            b"no instance is ready\n".to_vec(),
        );
    }
    let ttl = gateway.settings().guarantees.directory_ttl.as_secs_f64();
    (
        200,
        "OK",
        JSON,
        (gateway.adapter.discovery.encode_addresses)(&addresses, ttl),
    )
}

/// Returns the ready instances of the client's failure domain, or of a wider scope if they are too few.
fn ready_addresses(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let settings = gateway.settings();
    let now = gateway.now();
    let peers = gateway.peers.borrow();
    let live = peers.live(now).filter(|(_, h)| h.ready && !h.leaving);
    let mut all: Vec<(DomainId, SocketAddr)> = live
        .map(|(_, h)| (h.info.domain, h.info.client_addr))
        .collect();
    if gateway.is_ready() {
        all.push((settings.domain, settings.listen.front));
    }
    let domain = DomainId::of(&query.domain);
    let region = RegionId::of(&query.region);
    let within = |d: DomainId| settings.regions.contains(&(d, region));
    let scopes: [&dyn Fn(DomainId) -> bool; 3] = [&|d| d == domain, &within, &|_| true];
    let mut chosen = Vec::new();
    for scope in scopes {
        chosen = all
            .iter()
            .filter(|(d, _)| scope(*d))
            .map(|(_, a)| *a)
            .collect();
        if chosen.len() >= MIN_LOCAL_INSTANCES {
            break;
        }
    }
    chosen.truncate(MAX_ADDRESSES);
    chosen
}

/// Returns the processor time that this process has used, in user and kernel mode.
fn processor_time_ms() -> i64 {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else {
        return 0;
    };
    (usage.user_time() + usage.system_time()).num_milliseconds()
}

/// Returns the most memory that this process has used.
fn peak_resident_bytes() -> i64 {
    getrusage(UsageWho::RUSAGE_SELF).map_or(0, |usage| usage.max_rss() * KIB)
}

/// Sets the extra work by hedges of each service, where settings ask for hedges.
fn set_hedge_percent(gateway: &Gateway) {
    let mut scheduler = gateway.scheduler.borrow_mut();
    let Some(table) = gateway.table().filter(|_| scheduler.hedging.is_on()) else {
        return;
    };
    for (service, percent) in scheduler.retry_budget.hedge_percent(gateway.now()) {
        if let Some(service) = table.service(service) {
            gateway.metrics.set_hedge_percent(&service.name, percent);
        }
    }
}

fn encode_metrics(gateway: &Gateway) -> String {
    let now = gateway.now();
    set_hedge_percent(gateway);
    let scheduler = gateway.scheduler.borrow();
    let work = scheduler.loads.local();
    let running: u32 = work.iter().map(|(_, w)| w.running).sum();
    let unread: u32 = work.iter().map(|(_, w)| w.pending_prefill).sum();
    let peers = gateway.peers.borrow().live(now).count();
    let (resting, leaving) = scheduler.notices.counts(now);
    let count = |value: usize| value.cast_signed() as i64;
    let gauge = |value: u64| value.cast_signed();
    let lag = gateway.load_shedder.get().lag(now);
    for (status, reason, tokens) in scheduler.unmet_totals() {
        gateway.metrics.set_unmet(status, reason, tokens);
    }
    let mut gauges = vec![
        (
            "catalog_version",
            "Catalog in force",
            gauge(gateway.catalog_version()),
        ),
        (
            "registrations_revision",
            "Newest change known",
            gauge(scheduler.registry.latest_revision()),
        ),
        (
            "registrations",
            "Servers known",
            count(scheduler.registry.entries().count()),
        ),
        (
            "cold_servers",
            "Servers that bear little after a start",
            count(scheduler.registry.cold_servers(now).count()),
        ),
        (
            "evacuated_domains",
            "Failure domains whose servers get no new requests",
            count(scheduler.evacuations.active_count()),
        ),
        (
            "resting_servers",
            "Servers that asked for a rest",
            count(resting),
        ),
        (
            "leaving_servers",
            "Servers that said themselves that they leave",
            count(leaving),
        ),
        (
            "quarantined_requests",
            "Requests that are refused since servers crashed under them",
            count(gateway.quarantine.borrow().len()),
        ),
        ("mates", "Other instances heard", count(peers)),
        ("waiting", "Requests in line", count(scheduler.queue_len())),
        ("running", "Requests at servers", i64::from(running)),
        (
            "unread_prompt_tokens",
            "Tokens sent and not begun",
            i64::from(unread),
        ),
        ("flying", "Requests in all", count(gateway.in_flight.get())),
        (
            "connections",
            "Callers' connections",
            count(gateway.connections.get()),
        ),
        (
            "late_milliseconds",
            "How late timers run",
            gauge(lag.as_millis() as u64),
        ),
        (
            "processor_milliseconds",
            "Processor time of the process since its start",
            processor_time_ms(),
        ),
    ];
    gauges.extend(memory_gauges(gateway));
    gauges.extend(speed_gauges(scheduler.loads.speeds.summary(now)));
    gateway.metrics.encode(&gauges)
}

type GaugeValue = (&'static str, &'static str, i64);

fn memory_gauges(gateway: &Gateway) -> [GaugeValue; 7] {
    let count = |value: usize| value.cast_signed() as i64;
    let reservations = &gateway.reservations;
    [
        (
            "response_bytes_held",
            "Bytes of incomplete responses that are longer than 4 KiB",
            count(gateway.held_responses.total()),
        ),
        (
            "body_bytes",
            "Bytes that bodies take in memory",
            count(reservations.reserved(RequestPart::Body)),
        ),
        (
            "head_bytes",
            "Bytes that heads of more than 4 KiB take in memory",
            count(reservations.reserved(RequestPart::Head)),
        ),
        (
            "kept_error_bytes",
            "Bytes of servers' error responses that are kept while their requests are sent again",
            count(reservations.reserved(RequestPart::KeptError)),
        ),
        (
            "spare_block_bytes",
            "Bytes of blocks that bodies will use again",
            count(gateway.block_pool.bytes()),
        ),
        (
            "memory_bytes",
            "Memory that the process may use",
            count(gateway.settings.borrow().memory_bytes),
        ),
        (
            "peak_resident_bytes",
            "Most memory that the process has used",
            peak_resident_bytes(),
        ),
    ]
}

fn speed_gauges(speeds: SpeedSummary) -> [GaugeValue; 4] {
    let count = |value: usize| value.cast_signed() as i64;
    [
        (
            "fast_servers",
            "Servers that take less than 80 % of the usual time now",
            count(speeds.fast),
        ),
        (
            "usual_speed_servers",
            "Servers that take about the usual time now",
            count(speeds.usual),
        ),
        (
            "slow_servers",
            "Servers that take more than 125 % of the usual time now",
            count(speeds.slow),
        ),
        (
            "server_speed_spread_percent",
            "Standard deviation of the time that servers take in the long run, in percent of the usual time",
            (speeds.spread * 100.0).round() as i64,
        ),
    ]
}
