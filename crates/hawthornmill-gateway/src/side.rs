//! Small calls beside callers' requests: state, directory, metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hawthornmill::ident::{DomainId, RegionId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::dialect::Question;
use crate::gateway::Gateway;
use crate::http::head;
use crate::http::write::Bytes;

/// Time for which a connection may stay without a call.
const IDLE: Duration = Duration::from_secs(20);
/// Bytes of a head at most.
const MOST_HEAD: usize = 8 << 10;
/// Instances of the caller's own failure domain from which no others are named.
///
/// One alone would get all requests of the domain, and its callers had no second to turn to.
const ENOUGH: usize = 2;
/// Addresses in one answer at most.
const MOST_NAMED: usize = 64;
/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Which small call a listener answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Whether the process takes requests.
    Ready,
    /// Which addresses callers should use.
    Directory,
    /// Counters.
    Metrics,
}

/// Answers calls for as long as the process lives.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, side: Side) {
    loop {
        let Ok((link, _from)) = listener.accept().await else {
            // Out of descriptors, most likely; others are given back meanwhile.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            // A caller that goes away or sends no calls ends its own connection only.
            let _ended = tokio::time::timeout(IDLE * 30, calls(&gateway, link, side)).await;
        });
    }
}

async fn calls(gateway: &Gateway, mut link: TcpStream, side: Side) -> std::io::Result<()> {
    let mut buffer = BytesMut::with_capacity(1024);
    loop {
        let Some((head, length)) = read_head(&mut link, &mut buffer).await? else {
            return Ok(());
        };
        let _head = buffer.split_to(length);
        let (status, reason, kind, body) = answer(gateway, &head, side);
        let close = head.closes() || !buffer.is_empty();
        let mut bytes = Bytes::answer(status, reason);
        bytes.field("Content-Type", kind);
        bytes.field("Content-Length", body.len().to_string());
        if close {
            bytes.field("Connection", "close");
        }
        bytes.end();
        bytes.0.extend_from_slice(&body);
        link.write_all(&bytes.0).await?;
        if close {
            return link.shutdown().await;
        }
    }
}

async fn read_head(
    link: &mut TcpStream,
    buffer: &mut BytesMut,
) -> std::io::Result<Option<(head::RequestHead, usize)>> {
    loop {
        match head::request(buffer) {
            Ok(Some(found)) => return Ok(Some(found)),
            Ok(None) if buffer.len() <= MOST_HEAD => {}
            _ => return Ok(None),
        }
        let read = tokio::time::timeout(IDLE, link.read_buf(buffer)).await;
        if read.map_err(|_elapsed| std::io::Error::from(std::io::ErrorKind::TimedOut))?? == 0 {
            return Ok(None);
        }
    }
}

type Answer = (u16, &'static str, &'static str, Vec<u8>);

const JSON: &str = "application/json";
const TEXT: &str = "text/plain";

fn answer(gateway: &Gateway, head: &head::RequestHead, side: Side) -> Answer {
    let surface = &gateway.dialect.surface;
    match side {
        Side::Ready if head.path() == surface.ready => {
            if gateway.is_ready() {
                (200, "OK", TEXT, b"ready\n".to_vec())
            } else {
                (503, "Service Unavailable", TEXT, b"not ready\n".to_vec())
            }
        }
        Side::Directory => match (surface.question)(&head.target) {
            Some(question) => named(gateway, &question),
            None => (404, "Not Found", TEXT, b"no such call\n".to_vec()),
        },
        Side::Metrics if head.path() == METRICS => (200, "OK", TEXT, metrics(gateway).into_bytes()),
        Side::Ready | Side::Metrics => (404, "Not Found", TEXT, b"no such call\n".to_vec()),
    }
}

fn named(gateway: &Gateway, question: &Question) -> Answer {
    let addresses = addresses(gateway, question);
    if addresses.is_empty() {
        return (
            503,
            "Service Unavailable",
            TEXT,
            b"no instance is ready\n".to_vec(),
        );
    }
    let ttl = gateway.settings().promises.ttl.as_secs_f64();
    (
        200,
        "OK",
        JSON,
        (gateway.dialect.surface.addresses)(&addresses, ttl),
    )
}

/// Instances that take requests: those of the caller's failure domain, or of a wider circle when
/// they are too few.
fn addresses(gateway: &Gateway, question: &Question) -> Vec<SocketAddr> {
    let settings = gateway.settings();
    let now = gateway.now();
    let mates = gateway.mates.borrow();
    let live = mates.live(now).filter(|(_, h)| h.ready && !h.leaving);
    let mut all: Vec<(DomainId, SocketAddr)> = live
        .map(|(_, h)| (h.info.domain, h.info.client_addr))
        .collect();
    if gateway.is_ready() {
        all.push((settings.domain, settings.listen.front));
    }
    let domain = DomainId::of(&question.domain);
    let region = RegionId::of(&question.region);
    let within = |d: DomainId| settings.regions.contains(&(d, region));
    let circles: [&dyn Fn(DomainId) -> bool; 3] = [&|d| d == domain, &within, &|_| true];
    let mut chosen = Vec::new();
    for circle in circles {
        chosen = all
            .iter()
            .filter(|(d, _)| circle(*d))
            .map(|(_, a)| *a)
            .collect();
        if chosen.len() >= ENOUGH {
            break;
        }
    }
    chosen.truncate(MOST_NAMED);
    chosen
}

fn metrics(gateway: &Gateway) -> String {
    let now = gateway.now();
    let scheduler = gateway.scheduler.borrow();
    let work = scheduler.loads.local();
    let running: u32 = work.iter().map(|(_, w)| w.running).sum();
    let unread: u32 = work.iter().map(|(_, w)| w.pending_prefill).sum();
    let mates = gateway.mates.borrow().live(now).count();
    let count = |value: usize| value.cast_signed() as i64;
    let number = |value: u64| value.cast_signed();
    gateway.meters.text(&[
        (
            "catalog_version",
            "Catalog in force",
            number(gateway.version()),
        ),
        (
            "registrations_revision",
            "Newest change known",
            number(scheduler.registry.latest_revision()),
        ),
        (
            "registrations",
            "Servers known",
            count(scheduler.registry.entries().count()),
        ),
        ("mates", "Other instances heard", count(mates)),
        ("waiting", "Requests in line", count(scheduler.queue_len())),
        ("running", "Requests at servers", i64::from(running)),
        (
            "unread_prompt_tokens",
            "Tokens sent and not begun",
            i64::from(unread),
        ),
        ("flying", "Requests in all", count(gateway.flying.get())),
        (
            "connections",
            "Callers' connections",
            count(gateway.connections.get()),
        ),
        (
            "body_bytes",
            "Bytes of bodies in memory",
            count(gateway.bodies.get()),
        ),
    ])
}
