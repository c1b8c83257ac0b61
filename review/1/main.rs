//! A few more clients than usual send long bodies at once: the process needs more memory than it has.

#[path = "../common/kit.rs"]
#[allow(dead_code)]
mod kit;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{
    Folder, Gateway, Machine, Record, Server, Store, ZONES, free_network, read_message, wait_ready,
};

/// `memoryMb` of the small installation.
const MEMORY_MB: u32 = 110;
/// Length of the traffic, and time after which the platform starts a process again.
const SPAN: Duration = Duration::from_secs(14);
const RESTART: Duration = Duration::from_millis(500);
/// Clients that send long bodies, those that come in addition (`burst`, 1.6 times the traffic), and when they come and leave.
const CLIENTS: u32 = 5;
const MORE_CLIENTS: u32 = 3;
const BURST: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(8));
/// Bytes of a body, below `maxBodyBytes`, and the pause of a client between an answer and its next request.
const BODY_BYTES: usize = 4_000_000;
const PAUSE: Duration = Duration::from_millis(50);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(200);
/// Answers that may be lost.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":11,"routes":[{"name":"r-2","host":"h.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"booking-app","maxAttempts":1,"public":false}],"services":[{"name":"booking-app","healthPath":"/health","maxConnections":110}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}"#;

/// A request that a client sent on a kept channel.
struct Upload {
    attempt: String,
    at: Instant,
    /// Status of the answer; `None` if the channel ended without one.
    status: Option<u16>,
    kept: bool,
}

/// Sends long requests from the first instant to the second, one after the other, on a channel that is kept.
fn upload(
    front: SocketAddr,
    client: u32,
    (from, to): (Instant, Instant),
    body: &[u8],
    done: &Mutex<Vec<Upload>>,
) {
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let mut channel: Option<BufReader<TcpStream>> = None;
    let mut number = 0;
    while Instant::now() < to {
        number += 1;
        thread::sleep(PAUSE);
        let kept = channel.is_some();
        let Some(mut reader) = channel.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
            Some(BufReader::new(stream))
        }) else {
            continue;
        };
        let attempt = format!("{client:02x}{number:06x}");
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let at = Instant::now();
        let sent = reader
            .get_mut()
            .write_all(head.as_bytes())
            .and_then(|()| reader.get_mut().write_all(body));
        let answer = read_message(&mut reader);
        let status = answer.as_ref().map(|a| a.status());
        if status == Some(200) && sent.is_ok() {
            channel = Some(reader);
        }
        done.lock().unwrap().push(Upload {
            attempt,
            at,
            status,
            kept,
        });
    }
}

/// Most memory that the process has used, in KiB; 0 if it has ended.
fn peak_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let number = line.and_then(|l| l.trim().strip_suffix(" kB"));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn main() -> ExitCode {
    let here = Path::new(file!()).parent().unwrap();
    let record = Record::create(&here.join("record.txt"));
    let folder = Folder::create("1");
    let trouble = kit::with_trouble();
    let (net, ports) = free_network(4);
    let ip = |host: u8| Ipv4Addr::new(127, net[0], net[1], host);
    let store = Store::start(ip(200));
    store.put("op/config", CONFIG);
    let servers = ["i-7f01", "i-7f02", "i-7f03"].map(|id| {
        let server = Server::start(ip(201), id, "booking-app", WORK);
        server.register(&store, "nbo-west", "ready");
        server
    });
    let machine = Machine {
        name: "front-1".into(),
        zone: ZONES[0].0,
        ip: ip(1),
    };
    let mut gateways = vec![Gateway::new(
        &folder.0,
        machine,
        ports,
        &[ip(1)],
        store.address,
    )];
    gateways[0].write_settings(&[ip(1)], store.address, MEMORY_MB, true);
    gateways[0].start();
    if !wait_ready(&gateways) {
        println!("the gateway doesn't become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(4));

    let front = gateways[0].front();
    let done: Arc<Mutex<Vec<Upload>>> = Arc::default();
    let body: Arc<Vec<u8>> = Arc::new(vec![b'b'; BODY_BYTES]);
    let mut clients = Vec::new();
    let (begin, end) = (Instant::now(), Instant::now() + SPAN);
    let more = if trouble { MORE_CLIENTS } else { 0 };
    for client in 0..CLIENTS + more {
        let span = if client < CLIENTS {
            (begin, end)
        } else {
            (begin + BURST.0, begin + BURST.1)
        };
        let (done, body) = (Arc::clone(&done), Arc::clone(&body));
        clients.push(thread::spawn(move || {
            upload(front, client, span, &body, &done)
        }));
    }
    if trouble {
        record.line_at(
            begin + BURST.0,
            &format!("disruption: {MORE_CLIENTS} clients more, for 3 s"),
        );
    }
    let kills = AtomicU32::new(0);
    let limit = u64::from(MEMORY_MB) * 1024;
    let mut most = 0;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
        let peak = gateways[0]
            .child
            .as_ref()
            .map_or(0, |child| peak_kib(child.id()));
        most = peak.max(most);
        if peak > limit {
            record.line(&format!(
                "platform: the process uses {peak} KiB, over {limit}, and is killed"
            ));
            gateways[0].kill();
            kills.fetch_add(1, Ordering::Relaxed);
            thread::sleep(RESTART);
            gateways[0].write_settings(&[ip(1)], store.address, MEMORY_MB, false);
            gateways[0].start();
        }
    }
    for client in clients {
        let _ended = client.join();
    }
    let runs: Vec<kit::Run> = servers
        .iter()
        .flat_map(|s| s.runs.lock().unwrap().clone())
        .collect();
    let (mut lost, mut served) = (0, 0);
    for request in done.lock().unwrap().iter() {
        let has_run = runs.iter().any(|r| r.attempt == request.attempt);
        let is_lost = has_run && request.kept && request.status.is_none();
        lost += usize::from(is_lost);
        served += usize::from(request.status == Some(200));
        let mark = if is_lost {
            "  LOST: a sound server has run it"
        } else {
            ""
        };
        record.line_at(
            request.at,
            &format!(
                "client: {} (kept channel: {}) -> {:?}{mark}",
                request.attempt, request.kept, request.status
            ),
        );
    }
    let text = format!(
        "most memory {most} KiB of {limit}; killed {} times; {served} long requests served; {lost} from kept channels passed on to sound servers and ended without an answer ({ALLOWED} are allowed)",
        kills.load(Ordering::Relaxed)
    );
    record.line(&text);
    println!("{text}");
    drop(gateways);
    if served == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(lost > ALLOWED))
}
