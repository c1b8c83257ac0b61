//! Memory that request bodies, heads and kept errors take, in whole processes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;
use tokio::io::AsyncWriteExt;

use super::endless_responses::code;
use super::fleet::{
    Client, Fleet, Gateway, MAX_TURNED_AWAY, Response, WAIT_TIMEOUT, config, request, route,
    send_request, wait_until,
};
use super::pouring_server::{Flow, PouringServer, TRICKLE_PAUSE};
use super::scripted_server::{Behavior, Server};
use crate::block_on;

/// Memory that the process may use, in MiB.
pub const MEMORY_MB: u64 = 64;
/// Bytes of a body.
pub const BODY_BYTES: usize = 2_000_000;
/// Bytes that a client announces for which memory is reserved; what five of them leave is too little for another.
pub const HELD_BYTES: usize = 4_000_000;
const CLIENTS: usize = 12;
/// Bytes that fill blocks of 4, 4, 8, 16 and 32 KiB.
const WHOLE_BLOCKS_BYTES: usize = 64 << 10;
/// Clients with long heads, and bytes of these that they send.
const MAX_HEAD_CLIENTS: usize = 8_000;
const HEAD_BYTES: usize = 15_000;
/// Streams whose events never end.
const STREAMS: usize = 200;
/// Bytes of these that are held before bodies come.
const HELD_RESPONSE_BYTES: usize = 12 << 20;
const HEAD_BATCH: usize = 20;
const HEAD_PAUSE: Duration = Duration::from_millis(20);
/// Bodies that each client sends.
pub const ROUNDS: usize = 4;
/// Time that a server works on a request.
const WORK_MS: u64 = 150;
/// Code of a request that is refused for lack of memory.
const OUT_OF_MEMORY: u64 = 3020;
/// Longest time until a request is refused for which there is no memory; the time for an idle connection is twice as long.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(1_500);

/// Starts a gateway with little memory in front of servers that take a while.
pub async fn start(servers: usize) -> Fleet {
    let mut fleet = Fleet::prepare(1, servers).await;
    limit_memory(&fleet.gateways[0]);
    let mut config = config(1);
    config["routes"] = json!([
        route("get", "idempotent", &json!({"timeoutMs": 9_000})),
        route("once", "non_idempotent", &json!({"timeoutMs": 9_000})),
        route(
            "stream",
            "streaming",
            &json!({"timeoutMs": 9_000, "service": "pour"})
        ),
    ]);
    config["services"] = json!([
        {"name": "app", "maxConnections": 100},
        {"name": "pour", "maxConnections": 1_000},
    ]);
    config["limits"]["maxBodyBytes"] = (4 << 20).into();
    config["limits"]["maxHeaderBytes"] = (16 << 10).into();
    config["limits"]["headerTimeoutMs"] = 9_000.into();
    fleet.store.put("op/config", config.to_string().as_bytes());
    for server in &fleet.servers {
        fleet.write_registration(server, &json!({"slots": 100}));
        server.set_default(|_head| Behavior::RespondAfterMs(WORK_MS));
    }
    fleet.gateways[0].start();
    wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;
    fleet
}

fn limit_memory(gateway: &Gateway) {
    let text = std::fs::read_to_string(&gateway.config).expect("the settings can be read");
    let text = text.replacen(
        "[instance]",
        &format!("[instance]\nmemory_mb = {MEMORY_MB}"),
        1,
    );
    std::fs::write(&gateway.config, text).expect("the settings can be written");
}

/// Returns a body whose bytes tell their place.
pub fn body(bytes: usize, first: usize) -> Vec<u8> {
    (0..bytes).map(|at| ((at + first) % 251) as u8).collect()
}

/// How a body is sent.
#[derive(Clone, Copy)]
pub enum Coding {
    /// With its length.
    Length,
    /// In chunks of this many bytes.
    Chunked(usize),
}

/// Returns a request with a body.
fn message(path: &str, id: &str, body: &[u8], coding: Coding) -> Vec<u8> {
    match coding {
        Coding::Length => {
            let length = format!("Content-Length: {}\r\n", body.len());
            [request("POST", path, id, &length).as_bytes(), body].concat()
        }
        Coding::Chunked(size) => {
            let head = request("POST", path, id, "Transfer-Encoding: chunked\r\n");
            let mut message = head.into_bytes();
            for chunk in body.chunks(size) {
                message.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                message.extend(chunk);
                message.extend(b"\r\n");
            }
            message.extend(b"0\r\n\r\n");
            message
        }
    }
}

/// Sends a message; returns `None` if the connection was closed before a response.
async fn exchange(fleet: &Fleet, message: &[u8]) -> Option<Response> {
    let mut client = Client::connect(fleet.gateways[0].front()).await;
    // A refused client may find its connection closed while it still writes.
    let _written = client.stream.write_all(message).await;
    client.read().await
}

/// Counts of responses to all clients.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    /// Whole answers.
    pub served: usize,
    /// Refusals.
    pub refused: usize,
}

/// Lets many clients send bodies together, each several times; asserts that every answer is complete and true.
pub async fn send_bodies(fleet: &Fleet, clients: usize, bytes: usize, coding: Coding) -> Counts {
    let sends = (0..clients).map(|number| async move {
        let mut counts = Counts::default();
        for round in 0..ROUNDS {
            let id = format!("id-{number}-{round}");
            let message = message("/once/", &id, &body(bytes, number), coding);
            let Some(response) = exchange(fleet, &message).await else {
                continue;
            };
            match response.status() {
                200 => {
                    assert!(response.text().starts_with(&format!("answer to {id} ")));
                    counts.served += 1;
                }
                503 => {
                    assert_eq!(code(&response), OUT_OF_MEMORY);
                    assert!(
                        response.field("retry-after").is_some(),
                        "{}",
                        response.text()
                    );
                    counts.refused += 1;
                }
                other => panic!("{other}: {}", response.text()),
            }
        }
        counts
    });
    let all = join_all(sends).await;
    Counts {
        served: all.iter().map(|c| c.served).sum(),
        refused: all.iter().map(|c| c.refused).sum(),
    }
}

/// Asserts that clients together don't take the process over its memory, and that enough of them are served.
fn assert_memory_suffices(clients: usize, bytes: usize, coding: Coding) {
    block_on(async {
        let fleet = start(2).await;

        let counts = send_bodies(&fleet, clients, bytes, coding).await;

        let peak = fleet.gateways[0].peak_memory_kib();
        println!("peak {peak} KiB, {counts:?}");
        assert!(peak < MEMORY_MB << 10, "{peak} KiB");
        assert_eq!(fleet.runs(), counts.served, "what is refused never runs");
        assert!(counts.served >= clients, "{counts:?}");
        let received = fleet.servers.iter().flat_map(Server::received);
        for request in received {
            let first = usize::from(request.body[0]);
            assert!(request.body == body(bytes, first), "a body was changed");
        }
    });
}

/// Failure: a burst of long bodies takes the process over its memory, and the platform kills it.
#[test]
fn burst_of_long_bodies_stays_within_memory() {
    assert_memory_suffices(CLIENTS, BODY_BYTES, Coding::Length);
}

/// Failure: the same with bodies whose length isn't known, which pass any check of the head.
#[test]
fn burst_of_chunked_bodies_stays_within_memory() {
    assert_memory_suffices(CLIENTS, BODY_BYTES, Coding::Chunked(50_000));
}

/// Failure: the same with more and shorter bodies, for which more is allocated beside what is counted.
#[test]
fn burst_of_many_bodies_stays_within_memory() {
    assert_memory_suffices(80, 250_000, Coding::Length);
}

fn gauge(metrics: &str, name: &str) -> Option<usize> {
    let line = format!("\nhawthornmill_{name} ");
    let value = metrics.split(&line).nth(1)?.lines().next()?;
    value.parse().ok()
}

/// Registers a server whose events never end, for the route `stream`.
async fn start_pouring_server(fleet: &Fleet) -> PouringServer {
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Type: text/event-stream\r\n\r\n";
    let address = SocketAddr::new(fleet.servers[0].address.ip(), 7_401);
    let flow = Flow {
        start: &[(0, HEAD)],
        unit: include_str!("endless_event_lines.txt"),
        pause: Some(TRICKLE_PAUSE),
        together: 0,
    };
    let entry = json!({"service": "pour", "address": address.to_string(), "zone": "a",
        "version": "v1", "slots": 1_000, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1});
    let text = entry.to_string();
    fleet.store.put("servers/i-pour", text.as_bytes());
    let pouring = PouringServer::start(address, flow);
    wait_until("the server is known", || async {
        let lines = fleet.gateways[0].logged("registration");
        lines.iter().any(|l| l["server"] == "i-pour")
    })
    .await;
    pouring
}

/// Failure: bodies and incomplete responses have a bound each, and both together use more than there is.
#[test]
fn bodies_beside_endless_events_stay_within_memory() {
    block_on(async {
        let fleet = start(2).await;
        let _pouring = start_pouring_server(&fleet).await;
        let front = fleet.gateways[0].front();
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let text = request("POST", "/stream/", &format!("stream-{number}"), "");
                tokio::spawn(async move { send_request(front, text.as_bytes()).await })
            })
            .collect();
        wait_until("much of responses is held", || async {
            let metrics = fleet.gateways[0].metrics().await;
            gauge(&metrics, "response_bytes_held") >= Some(HELD_RESPONSE_BYTES)
        })
        .await;

        let counts = send_bodies(&fleet, CLIENTS, BODY_BYTES, Coding::Length).await;

        let peak = fleet.gateways[0].peak_memory_kib();
        println!("peak {peak} KiB, {counts:?}");
        assert!(peak < MEMORY_MB << 10, "{peak} KiB");
        assert!(counts.served >= CLIENTS, "{counts:?}");
        streams.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

/// Failure: long heads that are incomplete use memory that nobody counts.
#[test]
fn long_incomplete_heads_stay_within_memory() {
    block_on(async {
        let fleet = start(1).await;
        let field = format!("X-Long: {}", "x".repeat(HEAD_BYTES));
        let head = request("POST", "/once/", "a", &field);
        let head = &head.as_bytes()[..HEAD_BYTES];
        let mut clients = Vec::new();
        while fleet.gateways[0].logged("memory_refused").is_empty() {
            assert!(clients.len() < MAX_HEAD_CLIENTS, "all find memory");
            if clients.len() % HEAD_BATCH == 0 {
                // A process that is late turns connections away.
                tokio::time::sleep(HEAD_PAUSE).await;
            }
            let mut client = Client::connect(fleet.gateways[0].front()).await;
            // A refused client may find its connection closed while it still writes.
            let _written = client.stream.write_all(head).await;
            clients.push(client);
        }

        let peak = fleet.gateways[0].peak_memory_kib();
        println!("peak {peak} KiB");
        assert!(peak < MEMORY_MB << 10, "{peak} KiB");
    });
}

/// Failure: a body is received and dropped, or `100 Continue` is sent, where there is no memory for it.
#[test]
fn request_without_memory_is_refused_at_its_head() {
    block_on(async {
        let fleet = start(1).await;
        let more = format!("Content-Length: {HELD_BYTES}\r\nExpect: 100-continue\r\n");
        let text = request("POST", "/once/", "late", &more);

        let (response, took) = exchange_without_memory(&fleet, "late", &text).await;

        assert_eq!((response.status(), code(&response)), (503, OUT_OF_MEMORY));
        assert_eq!(response.field("attempt-id"), Some("late"));
        assert!(response.field("retry-after").is_some());
        assert!(took < MAX_REFUSAL_TIME, "{took:?}");
        wait_until("the refusal is logged", || async {
            let lines = fleet.gateways[0].logged("memory_refused");
            lines
                .iter()
                .any(|l| l["request"] == "late" && l["why"] == "full")
        })
        .await;
    });
}

/// Reserves all memory with clients that send heads only, and again while the gateway turns some of them away, being late.
pub async fn hold_memory(fleet: &Fleet, clients: usize) -> Vec<Client> {
    let lines = |event: &str| fleet.gateways[0].logged(event).len();
    let refused = lines("memory_refused");
    let mut turned_away = None;
    let mut uploads = Vec::new();
    let end = Instant::now() + WAIT_TIMEOUT;
    while lines("memory_refused") == refused {
        assert!(Instant::now() < end, "the memory is never reserved");
        let now_away = Some(lines("turned_away"));
        if std::mem::replace(&mut turned_away, now_away) != now_away {
            for number in uploads.len()..uploads.len() + clients {
                uploads.push(begin_upload(fleet, number).await);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    uploads
}

/// Sends the head of a long body.
async fn begin_upload(fleet: &Fleet, number: usize) -> Client {
    let mut client = Client::connect(fleet.gateways[0].front()).await;
    let length = format!("Content-Length: {HELD_BYTES}\r\n");
    let head = request("POST", "/once/", &format!("held-{number}"), &length);
    // A client that is turned away may find its connection closed while it still writes.
    let _written = client.stream.write_all(head.as_bytes()).await;
    client
}

/// Sends the request `id` while all memory is held, and again with new holders if the gateway turns it away, being late;
/// returns the response to the request that the gateway read, and its time.
async fn exchange_without_memory(fleet: &Fleet, id: &str, text: &str) -> (Response, Duration) {
    let logged = |event: &str| fleet.gateways[0].logged(event);
    let is_refused = || {
        let lines = logged("memory_refused");
        lines.iter().any(|l| l["request"] == id)
    };
    for _ in 0..MAX_TURNED_AWAY {
        let _uploads = hold_memory(fleet, 12).await;
        let (before, begun) = (logged("turned_away").len(), Instant::now());
        let response = exchange(fleet, text.as_bytes()).await;
        let took = begun.elapsed();
        wait_until("the request is refused or turned away", || async {
            is_refused() || logged("turned_away").len() > before
        })
        .await;
        if is_refused() {
            return (response.expect("the client is told"), took);
        }
    }
    panic!("the gateway turns every connection away");
}

/// Failure: clients that announce long bodies and send nothing keep all others out until they time out.
#[test]
fn stalled_bodies_are_evicted() {
    block_on(async {
        let fleet = start(1).await;
        let mut uploads = hold_memory(&fleet, 12).await;
        tokio::time::sleep(MAX_REFUSAL_TIME).await;
        let sound = message("/once/", "sound", &body(HELD_BYTES, 0), Coding::Length);

        let response = exchange(&fleet, &sound).await;

        assert_eq!(response.map(|r| r.status()), Some(200));
        wait_until("a stalled client is told", || async {
            let lines = fleet.gateways[0].logged("memory_refused");
            lines.iter().any(|l| l["why"] == "evicted")
        })
        .await;
        uploads.clear();
        assert_eq!(fleet.runs(), 1);
    });
}

/// Failure: the last block of a body that is evicted while it is awaited stays reserved for ever.
#[test]
fn evicted_bodies_in_chunks_give_all_their_memory_back() {
    block_on(async {
        let fleet = start(1).await;
        let head = request("POST", "/once/", "a", "Transfer-Encoding: chunked\r\n");
        // As many bytes as the first blocks hold, so that the next one is reserved before it is needed.
        let begin = [head.as_bytes(), b"f4240\r\n", &body(WHOLE_BLOCKS_BYTES, 0)].concat();
        let mut stalled = Vec::new();
        while fleet.gateways[0].logged("memory_refused").is_empty() {
            assert!(stalled.len() < MAX_HEAD_CLIENTS, "all find memory");
            let mut client = Client::connect(fleet.gateways[0].front()).await;
            let _written = client.stream.write_all(&begin).await;
            stalled.push(client);
        }
        tokio::time::sleep(MAX_REFUSAL_TIME).await;
        let sound = message("/once/", "sound", &body(HELD_BYTES, 0), Coding::Length);

        let response = exchange(&fleet, &sound).await;

        assert_eq!(response.map(|r| r.status()), Some(200));
        drop(stalled);
        wait_until("no request holds memory", || async {
            gauge(&fleet.gateways[0].metrics().await, "body_bytes") == Some(0)
        })
        .await;
    });
}

/// Failure: a body that never fits is told to come back, again and again.
#[test]
fn body_that_never_fits_is_told_no_time_to_retry() {
    block_on(async {
        let mut fleet = start(1).await;
        let mut config = config(2);
        config["limits"]["maxBodyBytes"] = (64 << 20).into();
        fleet.store.put("op/config", config.to_string().as_bytes());
        let gateway = &mut fleet.gateways[0];
        wait_until("the configuration is in force", || async {
            let lines = gateway.logged("catalog_in_force");
            lines.iter().any(|l| l["version"] == 2)
        })
        .await;
        let more = format!("Content-Length: {}\r\n", 32 << 20);

        let response = exchange(&fleet, request("POST", "/once/", "huge", &more).as_bytes()).await;

        let response = response.expect("the client is told");
        assert_eq!((response.status(), code(&response)), (503, OUT_OF_MEMORY));
        assert_eq!(response.field("retry-after"), None);
    });
}

/// Failure: a body in several blocks is sent in part, or from its middle, when it is sent again.
#[test]
fn long_body_is_whole_when_it_is_sent_again() {
    block_on(async {
        let fleet = start(2).await;
        for server in &fleet.servers {
            server.script(&[Behavior::NotExecuted]);
        }
        let sent = body(BODY_BYTES, 3);

        let response = exchange(&fleet, &message("/get/", "a", &sent, Coding::Chunked(997))).await;

        let status = response.map(|r| r.status());
        let received: Vec<_> = fleet.servers.iter().flat_map(Server::received).collect();
        assert!(received.len() >= 2, "{status:?}");
        assert!(received.iter().all(|r| r.body == sent));
    });
}

/// Failure: the memory of bodies is lost when their requests end, so that after some time there is none.
#[test]
fn ended_requests_give_their_memory_back() {
    block_on(async {
        let fleet = start(2).await;
        let _counts = send_bodies(&fleet, CLIENTS, BODY_BYTES, Coding::Length).await;
        let uploads = hold_memory(&fleet, 12).await;
        drop(uploads);

        wait_until("no request holds memory, and no block is spare", || async {
            let metrics = fleet.gateways[0].metrics().await;
            let parts = [
                "body_bytes",
                "head_bytes",
                "kept_error_bytes",
                "spare_block_bytes",
            ];
            parts.iter().all(|name| gauge(&metrics, name) == Some(0))
        })
        .await;
    });
}
