//! Bytes without end from the store, other instances and clients.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hawthornmill_gateway::store_call::read_response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::endless_responses::code;
use super::fleet::{Fleet, PEER_PORT, WAIT_TIMEOUT, request, send_request, wait_until};
use super::pouring_server::{Flow, PouringServer, TRICKLE_PAUSE};
use crate::block_on;

const STORE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Longest call of the store that isn't a watch, with some time for a busy machine.
const MAX_CALL_TIME: Duration = Duration::from_millis(1_600);
/// Memory that the process may use by default.
const MEMORY_KIB: u64 = 120 << 10;
/// Smallest memory that the settings allow, in MiB.
const SMALL_MEMORY: &str = "memory_mb = 16";
/// Clients whose incomplete bodies together exceed their part of that.
const BODY_CLIENTS: usize = 80;
/// Size of a body above what the buffers of sockets hold.
const REJECTED_BODY_BYTES: usize = 16_000_000;
/// Pause between the parts of a slow body.
const SLOW_PAUSE: Duration = Duration::from_millis(300);
/// Parts of a slow body, which together take more than twice the idle time.
const SLOW_PARTS: usize = 24;
/// Idle time of clients for a test of the time that a body may take.
const SHORT_IDLE_MS: u64 = 500;
/// Time in which a body must be complete with that.
const BODY_TIME: Duration = Duration::from_secs(10);
/// The same, with some time for a busy machine.
const MAX_BODY_TIME: Duration = Duration::from_millis(11_500);

/// Starts a gateway, which never becomes ready, with `flow` as its store.
async fn start_with_store(flow: Flow) -> (Fleet, PouringServer) {
    let mut fleet = Fleet::prepare(1, 0).await;
    let address = SocketAddr::new(fleet.store.address.ip(), 7_499);
    let pouring = PouringServer::start(address, flow);
    let old = fleet.store_address(0).to_string();
    change_settings(&fleet, &old, &address.to_string());
    fleet.gateways[0].start();
    (fleet, pouring)
}

fn change_settings(fleet: &Fleet, from: &str, to: &str) {
    let path = &fleet.gateways[0].config;
    let text = std::fs::read_to_string(path).expect("the settings can be read");
    assert!(text.contains(from));
    std::fs::write(path, text.replace(from, to)).expect("the settings can be written");
}

fn assert_store_call_ends(flow: Flow) {
    block_on(async {
        let (fleet, pouring) = start_with_store(flow).await;

        wait_until("some calls have ended", || async {
            pouring.poured().len() >= 4
        })
        .await;

        let longest = pouring.poured().iter().map(|p| p.lasted).max();
        assert!(longest < Some(MAX_CALL_TIME), "{longest:?}");
        assert!(fleet.gateways[0].peak_memory_kib() < MEMORY_KIB);
        assert_eq!(fleet.gateways[0].logged("store_lost").len(), 2);
    });
}

/// Failure: a store's answer without end occupies the instance.
#[test]
fn body_of_store_response_is_bounded() {
    assert_store_call_ends(Flow {
        start: &[(0, STORE_HEAD)],
        unit: "5\r\nhello\r\n",
        pause: None,
        together: 0,
    });
}

/// Failure: the same, a chunk at a time.
#[test]
fn trickle_of_a_store_response_ends() {
    assert_store_call_ends(Flow {
        start: &[(0, STORE_HEAD)],
        unit: "5\r\nhello\r\n",
        pause: Some(TRICKLE_PAUSE),
        together: 0,
    });
}

/// Failure: a head of a store's answer is read up to the size of a list.
#[test]
fn head_of_store_response_is_bounded() {
    block_on(async {
        let fleet = Fleet::prepare(0, 0).await;
        let address = SocketAddr::new(fleet.store.address.ip(), 7_499);
        let flow = Flow {
            start: &[(0, "HTTP/1.1 200 OK\r\nA: ")],
            unit: "xxxxxxxx",
            pause: None,
            together: 0,
        };
        let pouring = PouringServer::start(address, flow);
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        let text = request("GET", "/", "a", "");
        stream
            .write_all(text.as_bytes())
            .await
            .expect("the request fits into the socket");

        let response = tokio::time::timeout(WAIT_TIMEOUT, read_response(&mut stream)).await;

        assert!(matches!(response, Ok(Err(_))));
        drop(stream);
        wait_until("the connection is closed", || async {
            pouring.poured().len() == 1
        })
        .await;
        assert!(pouring.poured()[0].bytes < 16 << 20);
    });
}

fn assert_list_ends(entries: &str) {
    let body = format!("{{\"entries\":[{entries}],\"hasMore\":true,\"asOf\":1}}");
    let length = body.len();
    let page =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    let page: &'static str = Box::leak(page.into_boxed_str());
    let start: &'static [(u64, &'static str)] = Box::leak(vec![(0, page)].into_boxed_slice());
    block_on(async {
        let flow = Flow {
            start,
            unit: "",
            pause: None,
            together: 0,
        };
        let (fleet, _pouring) = start_with_store(flow).await;

        wait_until("the list is given up", || async {
            let lines = fleet.gateways[0].logged("store_unreadable");
            lines.iter().any(|l| l["why"] == "the list doesn't end")
        })
        .await;

        assert!(fleet.gateways[0].peak_memory_kib() < MEMORY_KIB);
    });
}

/// Failure: a list whose pages never end is read until the memory is used up.
#[test]
fn list_of_endless_pages_is_given_up() {
    let value = "QUFB".repeat(256 << 10);
    assert_list_ends(&format!(
        "{{\"key\":\"servers/a\",\"value\":\"{value}\",\"revision\":1}}"
    ));
}

/// Failure: a list of empty pages, each of which says that there are more, is asked for again and again.
#[test]
fn list_of_empty_pages_is_given_up() {
    assert_list_ends("");
}

/// Connects as another instance would, sends `length` as that of a frame, and then what `flow` says.
async fn send_frame(fleet: &Fleet, length: u32, pause: Option<Duration>) -> Duration {
    let address = SocketAddr::new(fleet.gateways[0].ip, PEER_PORT);
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let _channel = stream.read_u64_le().await.expect("the gateway greets");
    let begun = Instant::now();
    let (mut reader, mut writer) = stream.into_split();
    let pour = async {
        let mut sent = writer.write_all(&length.to_be_bytes()).await;
        while sent.is_ok() {
            sent = writer.write_all(b"x").await;
            tokio::time::sleep(pause.unwrap_or_default()).await;
        }
    };
    let mut byte = [0];
    let ended = async {
        tokio::select! {
            () = pour => {}
            _closed = reader.read(&mut byte) => {}
        }
    };
    let ended = tokio::time::timeout(WAIT_TIMEOUT, ended).await;
    assert!(ended.is_ok(), "the gateway closes the connection");
    begun.elapsed()
}

/// Failure: whoever connects as an instance does can have megabytes kept before it has shown that it is one.
#[test]
fn long_frame_of_another_instance_is_not_read() {
    block_on(async {
        let fleet = Fleet::start(1, 0).await;

        let took = send_frame(&fleet, 16 << 20, None).await;

        assert!(took < Duration::from_secs(1), "{took:?}");
    });
}

/// Failure: a frame that comes a byte at a time keeps its connection open.
#[test]
fn trickle_of_a_frame_ends() {
    block_on(async {
        let fleet = Fleet::start(1, 0).await;

        let took = send_frame(&fleet, 1_000, Some(Duration::from_millis(50))).await;

        assert!(took < Duration::from_secs(4), "{took:?}");
    });
}

/// Sends a request with a chunked body of `unit` again and again; returns the status and when it came.
///
/// Sends it again while the gateway turns connections away because its process is late; it must have logged that.
async fn send_body(fleet: &Fleet, unit: &str, pause: Option<Duration>) -> (u16, Duration) {
    let gateway = &fleet.gateways[0];
    loop {
        let before = gateway.logged("turned_away").len();
        match pour_body(fleet, unit, pause).await {
            Some((status, took)) if status != 503 => return (status, took),
            _ => {
                wait_until("the gateway logs what it turned away", || async {
                    gateway.logged("turned_away").len() > before
                })
                .await;
            }
        }
    }
}

async fn pour_body(fleet: &Fleet, unit: &str, pause: Option<Duration>) -> Option<(u16, Duration)> {
    let mut stream = TcpStream::connect(fleet.gateways[0].front()).await.ok()?;
    let head = request("POST", "/get/", "a", "Transfer-Encoding: chunked\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    let begun = Instant::now();
    let (mut reader, mut writer) = stream.split();
    let piece = unit.repeat(if pause.is_some() { 1 } else { 500 });
    let pour = async {
        while writer.write_all(piece.as_bytes()).await.is_ok() {
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
        }
        std::future::pending::<()>().await;
    };
    let mut bytes = [0; 12];
    let read = tokio::select! {
        () = pour => unreachable!("it never ends"),
        read = tokio::time::timeout(WAIT_TIMEOUT, reader.read_exact(&mut bytes)) => read,
    };
    let read = read.expect("the gateway responds or closes the connection");
    let status = String::from_utf8_lossy(&bytes[9..]).parse().ok();
    read.ok()
        .and(status)
        .map(|status| (status, begun.elapsed()))
}

/// Failure: a body without end is read, or one that consists of chunk extensions.
#[test]
fn endless_client_bodies_are_rejected() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let extension = format!("1;{}\r\nx\r\n", "e".repeat(200));

        let long = send_body(&fleet, "5\r\nhello\r\n", None).await;
        let extended = send_body(&fleet, &extension, None).await;

        assert_eq!((long.0, extended.0), (413, 400));
        assert_eq!(fleet.runs(), 0);
    });
}

/// Failure: a client that writes its whole body before it reads loses the response that rejects it.
#[test]
fn response_to_a_rejected_body_arrives() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let field = format!("Content-Length: {REJECTED_BODY_BYTES}\r\n");
        let text = request("POST", "/get/", "a", &field) + &"x".repeat(REJECTED_BODY_BYTES);

        let response = fleet.send_admitted(&text).await;

        assert_eq!(response.status(), 413);
    });
}

/// Failure: a body of which a byte comes now and then holds its connection for hours.
#[test]
fn trickle_of_a_client_body_is_rejected() {
    block_on(async {
        let mut fleet = Fleet::prepare(1, 1).await;
        let mut config = super::fleet::config(1);
        config["limits"]["idleTimeoutMs"] = SHORT_IDLE_MS.into();
        fleet.store.put("op/config", config.to_string().as_bytes());
        fleet.gateways[0].start();
        wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;

        let (status, took) = send_body(&fleet, "1\r\nx\r\n", Some(TRICKLE_PAUSE)).await;

        assert_eq!(status, 408);
        assert!((BODY_TIME..MAX_BODY_TIME).contains(&took), "{took:?}");
    });
}

/// Failure: a client whose body comes slowly, but steadily, is rejected.
#[test]
fn slow_client_body_is_complete() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let chunk = format!("3c\r\n{}\r\n", "x".repeat(60));
        let stream = TcpStream::connect(fleet.gateways[0].front()).await;
        let mut stream = stream.expect("the gateway accepts");
        let head = request("POST", "/get/", "a", "Transfer-Encoding: chunked\r\n");

        stream.write_all(head.as_bytes()).await.expect("sent");
        for _ in 0..SLOW_PARTS {
            stream.write_all(chunk.as_bytes()).await.expect("sent");
            tokio::time::sleep(SLOW_PAUSE).await;
        }
        stream.write_all(b"0\r\n\r\n").await.expect("sent");
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.expect("a response");

        assert_eq!(&status, b"HTTP/1.1 200");
    });
}

/// Failure: bodies are accounted once they are complete, so that those under way use more memory than there is.
#[test]
fn incomplete_client_bodies_share_a_bound() {
    block_on(async {
        let mut fleet = Fleet::prepare(1, 1).await;
        change_settings(
            &fleet,
            "region = north\n\n[listen]",
            &format!("region = north\n{SMALL_MEMORY}\n\n[listen]"),
        );
        let config = super::fleet::config(1).to_string();
        fleet.store.put("op/config", config.as_bytes());
        fleet.gateways[0].start();
        wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;
        let front = fleet.gateways[0].front();
        let chunk = format!("15f90\r\n{}\r\n", "x".repeat(90_000));

        let codes = join_all((0..BODY_CLIENTS).map(|number| {
            let id = format!("id-{number}");
            let text = request("POST", "/get/", &id, "Transfer-Encoding: chunked\r\n") + &chunk;
            async move {
                let response = send_request(front, text.as_bytes()).await?;
                Some((id, code(&response)))
            }
        }))
        .await;

        // A connection that is turned away because the process is late has the same code as one without room.
        let no_room = fleet.gateways[0].logged("memory_refused");
        let is_logged = |id: &str| no_room.iter().any(|l| l["request"] == id);
        let codes: Vec<(String, u64)> = codes.into_iter().flatten().collect();
        let full = codes.iter().filter(|(id, c)| *c == 3020 && is_logged(id));
        let slow = codes.iter().filter(|(_, c)| *c == 3031);
        assert!(full.count() > 0 && slow.count() > 0, "{codes:?}");
    });
}
