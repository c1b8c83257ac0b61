//! Servers that send bytes without end that are no answer, and slow ones that are sound.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::{Value, json};

use super::fleet::{Fleet, Response, config, request, route, send_request, wait_until};
use super::pouring_server::{Flow, PouringServer, TRICKLE_PAUSE};
use crate::block_on;

/// Longest time until a request ends whose server sends no answer; the route allows 9 s, the caller 5 s.
const MAX_END_TIME: Duration = Duration::from_millis(2_600);
/// Most bytes of one connection that the gateway reads before it closes it.
const MAX_READ_BYTES: u64 = 640 << 10;
/// Code of an answer that exceeds a bound, and that of a failed server.
const OVER_LIMIT_CODES: [u64; 2] = [3036, 3016];
/// Requests sent together to two servers.
const TOGETHER: usize = 8;
const CLIENTS_AT_ONCE: usize = 400;
/// Fewest of their connections that must pour, without which the memory shows nothing.
const MIN_POURED: usize = 300;
/// Pause between two pieces of as many responses, which a gateway of a busy machine reads as fast as they come.
const SLOW_PAUSE: Duration = Duration::from_millis(60);
/// Start of the line of the metric that counts responses that ended for their memory; it appears with the first.
const MEMORY_CUTS: &str = "hawthornmill_responses_cut_total{reason=\"memory\"} ";
/// Memory that the process may use, as in its settings.
const MEMORY_KIB: u64 = 120 << 10;

const NO_LINE: &str = "xxxxxxxx";
const FIELD: &str = "Abc: d\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const OTHER: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 5\r\n\r\nhello";
const OTHER_HEAD: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n";
const STATUS_LINE: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Type: text/event-stream\r\n\r\n";
const REFUSAL_HEAD: &str =
    "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nAttempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n";
const ERROR_HEAD: &str = "HTTP/1.1 500 X\r\nAttempt-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok";
const CHUNK: &str = "5\r\nhello\r\n";

const fn full(start: &'static [(u64, &'static str)], unit: &'static str) -> Flow {
    Flow {
        start,
        unit,
        pause: None,
        together: 0,
    }
}

const fn trickle(start: &'static [(u64, &'static str)], unit: &'static str) -> Flow {
    Flow {
        start,
        unit,
        pause: Some(TRICKLE_PAUSE),
        together: 0,
    }
}

/// Returns a configuration whose routes allow 9 s and whose service takes any number of connections.
fn long_config() -> Value {
    let mut config = config(1);
    let long = json!({"timeoutMs": 9_000, "targetLatencyMs": 4_000});
    config["routes"] = json!([
        route("get", "idempotent", &long),
        route("once", "non_idempotent", &long),
        route("short", "non_idempotent", &json!({"timeoutMs": 1_500})),
        route(
            "stream",
            "streaming",
            &json!({"timeoutMs": 9_000, "targetLatencyMs": 4_000, "resumable": true})
        ),
    ]);
    config["services"] = json!([{"name": "app", "maxConnections": 4_000}]);
    config
}

/// Starts a gateway in front of a server that pours, and of `sound` servers that answer.
async fn start(flow: Flow, sound: usize) -> (Fleet, PouringServer) {
    let mut fleet = Fleet::prepare(1, 1 + sound).await;
    let address = SocketAddr::new(fleet.servers[0].address.ip(), 7_401);
    let pouring = PouringServer::start(address, flow);
    let slots = json!({"address": address.to_string(), "slots": 1_000});
    fleet.write_registration(&fleet.servers[0], &slots);
    fleet
        .store
        .put("op/config", long_config().to_string().as_bytes());
    fleet.gateways[0].start();
    wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;
    (fleet, pouring)
}

/// Sends a request and waits until the gateway has closed the connection to the pouring server.
async fn send(fleet: &Fleet, pouring: &PouringServer, path: &str) -> (Response, Duration) {
    let begun = Instant::now();
    let response = fleet.send_admitted(&request("POST", path, "a", "")).await;
    let took = begun.elapsed();
    wait_until("the gateway closes the connection", || async {
        !pouring.poured().is_empty()
    })
    .await;
    (response, took)
}

/// Returns the code in the body of an error of the gateway, or 0.
pub fn code(response: &Response) -> u64 {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    body["code"].as_u64().unwrap_or_default()
}

/// Asserts that a request that must not repeat fails in time and truthfully, and that little was read.
fn assert_fails_in_time(flow: Flow) {
    block_on(async {
        let (fleet, pouring) = start(flow, 1).await;
        fleet.store.remove("servers/i-1");
        wait_until("the sound server is gone", || async {
            fleet.gateways[0]
                .logged("registration")
                .iter()
                .any(|l| l["gone"] == true)
        })
        .await;

        let (response, took) = send(&fleet, &pouring, "/once/").await;

        assert_eq!(response.status(), 502, "{}", response.text());
        assert!(OVER_LIMIT_CODES.contains(&code(&response)));
        assert_eq!(response.field("retry-after"), None, "it may have run");
        assert!(took < MAX_END_TIME, "{took:?}");
        assert_cut_is_logged(&fleet).await;
    });
}

/// Asserts that the gateway logged and counted the closed connection, with few bytes.
async fn assert_cut_is_logged(fleet: &Fleet) {
    let gateway = &fleet.gateways[0];
    wait_until("the log is written", || async {
        !gateway.logged("response_cut").is_empty()
    })
    .await;
    let line = gateway.logged("response_cut").remove(0);
    assert_eq!(line["server"], "i-0");
    assert!(line["bytes"].as_u64() <= Some(MAX_READ_BYTES), "{line}");
    let counter = format!(
        "hawthornmill_responses_cut_total{{reason={}}} ",
        line["reason"]
    );
    let metrics = gateway.metrics().await;
    assert!(metrics.contains(&counter), "{counter}");
}

/// Sends requests together, so that no server gets all of them, and returns the time of the slowest.
async fn send_together(fleet: &Fleet) -> Duration {
    let sends = (0..TOGETHER).map(|number| async move {
        let (begun, id) = (Instant::now(), format!("id-{number}"));
        let text = request("POST", "/get/", &id, "");
        let response = fleet.send_admitted(&text).await;
        assert_eq!(response.text(), format!("answer to {id} by i-1"));
        begun.elapsed()
    });
    join_all(sends).await.into_iter().max().unwrap_or_default()
}

/// Asserts that a request that may repeat is answered by another server in time.
fn assert_retried(flow: Flow) {
    block_on(async {
        let (fleet, pouring) = start(flow, 1).await;
        for _ in 0..20 {
            let slowest = send_together(&fleet).await;
            assert!(slowest < MAX_END_TIME, "{slowest:?}");
            if !pouring.poured().is_empty() {
                return assert_cut_is_logged(&fleet).await;
            }
        }
        panic!("the pouring server got no request");
    });
}

/// Asserts that a sound server is not cut off, however slow.
fn assert_not_cut(flow: Flow, path: &'static str, expected: &str) {
    block_on(async {
        let (fleet, _pouring) = start(flow, 0).await;

        let response = fleet.send_admitted(&request("POST", path, "a", "")).await;

        assert_eq!(response.text(), expected);
        assert!(response.whole);
        assert!(fleet.gateways[0].logged("response_cut").is_empty());
    });
}

macro_rules! flow_tests {
    ($assert:ident: $($(#[$doc:meta])* $name:ident = $flow:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $assert($flow); })*
    };
}

flow_tests! { assert_fails_in_time:
    /// Failure: bytes without a line end are read until the deadline.
    bytes_without_line_end = full(&[], NO_LINE);
    /// Failure: the same, a few bytes at a time.
    trickle_without_line_end = trickle(&[(0, STATUS_LINE), (0, "Abc: ")], NO_LINE);
    /// Failure: a head with ever more fields is read until the deadline.
    header_fields = full(&[(0, STATUS_LINE)], FIELD);
    /// Failure: the same, a field at a time; the request waits for its deadline.
    trickle_of_header_fields = trickle(&[(0, STATUS_LINE)], FIELD);
    /// Failure: empty lines before a head are skipped until the deadline.
    empty_lines = full(&[], "\r\n");
    /// Failure: the same, a line at a time.
    trickle_of_empty_lines = trickle(&[], "\r\n");
    /// Failure: interim responses are skipped until the deadline.
    interim_responses = full(&[], INTERIM);
    /// Failure: the same, one at a time.
    trickle_of_interim_responses = trickle(&[], INTERIM);
    /// Failure: answers to other attempts are skipped until the deadline.
    responses_to_other_attempts = full(&[], OTHER);
    /// Failure: the same, one at a time.
    trickle_of_responses_to_other_attempts = trickle(&[], OTHER);
    /// Failure: the body of another attempt's answer is read up to a megabyte of data, and more of framing.
    body_of_another_attempt = full(&[(0, OTHER_HEAD)], CHUNK);
    /// Failure: the same, a chunk at a time.
    trickle_of_another_attempts_body = trickle(&[(0, OTHER_HEAD)], CHUNK);
    /// Failure: an event without end is kept up to a megabyte.
    endless_event = full(&[(0, STREAM_HEAD)], "data: abcdefgh\n");
    /// Failure: a chunk line without end is kept.
    chunk_line = full(&[(0, CHUNKED_HEAD), (0, "5;")], NO_LINE);
    /// Failure: extensions of chunk lines are read without bound beside a little data.
    chunk_extensions = full(&[(0, CHUNKED_HEAD)], "1;abcdefghabcdefghabcdefghabcdefghabcdefghabcdefghabcdefghabcdefgh\r\nx\r\n");
    /// Failure: trailer lines are read without bound.
    trailer = full(&[(0, CHUNKED_HEAD), (0, CHUNK), (0, "0\r\n")], FIELD);
}

flow_tests! { assert_retried:
    /// Failure: a request that may repeat waits for its deadline.
    retried_after_interim_responses = full(&[], INTERIM);
    /// Failure: the body of a refusal is read for reuse of its connection, up to a megabyte.
    body_of_refusal = full(&[(0, REFUSAL_HEAD)], CHUNK);
    /// Failure: the same, a chunk at a time.
    trickle_of_refusals_body = trickle(&[(0, REFUSAL_HEAD)], CHUNK);
    /// Failure: the body of an error that is kept for the caller delays the retry.
    body_of_server_error = full(&[(0, ERROR_HEAD)], CHUNK);
    /// Failure: the same, a chunk at a time; the retry waits for the deadline.
    trickle_of_server_errors_body = trickle(&[(0, ERROR_HEAD)], CHUNK);
}

/// Asserts that the route's time limit, which alone bounds an answer of the request's own, ends a trickle truthfully.
fn assert_ends_with_route(flow: Flow) {
    block_on(async {
        let (fleet, pouring) = start(flow, 0).await;

        let (response, took) = send(&fleet, &pouring, "/short/").await;

        assert_eq!((response.status(), code(&response)), (504, 3019));
        assert!(took < MAX_END_TIME, "{took:?}");
    });
}

flow_tests! { assert_ends_with_route:
    /// Failure: an event that grows slowly keeps its request beyond the time limit.
    trickle_of_an_event = trickle(&[(0, STREAM_HEAD)], "data: a\n");
    /// Failure: a chunk line that grows slowly does.
    trickle_of_a_chunk_line = trickle(&[(0, CHUNKED_HEAD), (0, "5;")], "x");
    /// Failure: trailer lines that come slowly do.
    trickle_of_a_trailer = trickle(&[(0, CHUNKED_HEAD), (0, CHUNK), (0, "0\r\n")], FIELD);
    /// Failure: chunks that come slowly do.
    trickle_of_chunks = trickle(&[(0, CHUNKED_HEAD)], CHUNK);
}

/// Failure: the bound on the time of a head counts the time until its first byte.
#[test]
fn slow_answer_is_not_cut() {
    assert_not_cut(full(&[(2_500, ANSWER)], ""), "/once/", "ok");
}

/// Failure: a server that sends an interim response at once and then works is cut off after a second.
#[test]
fn slow_answer_after_interim_responses_is_not_cut() {
    let flow = full(&[(0, INTERIM), (800, INTERIM), (1_700, ANSWER)], "");
    assert_not_cut(flow, "/once/", "ok");
}

/// Failure: a server that first repeats its previous answer and then works is cut off after a second.
#[test]
fn slow_answer_after_that_to_another_attempt_is_not_cut() {
    assert_not_cut(full(&[(0, OTHER), (2_000, ANSWER)], ""), "/once/", "ok");
}

/// Failure: pauses in and between events count as a trickle.
#[test]
fn slow_events_are_not_cut() {
    let flow = full(
        &[
            (
                0,
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Type: text/event-stream\r\nContent-Length: 36\r\n\r\n",
            ),
            (1_300, "id: 1\ndata: a"),
            (1_300, "bcd\n\n"),
            (1_300, "id: 2\ndata: bcde\n\n"),
        ],
        "",
    );
    assert_not_cut(
        flow,
        "/stream/",
        "id: 1\ndata: abcd\n\nid: 2\ndata: bcde\n\n",
    );
}

/// Tries of a client whose connections are turned away because the gateway is late, and by how much the pause between them grows.
const MAX_TURNED_AWAY: u32 = 20;
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(50);

/// Sends a request of each of many clients at once, and again if it is turned away; returns how many got a response, and
/// the slowest time.
async fn send_many(fleet: &Fleet, path: &str) -> (usize, Duration) {
    let begun = Instant::now();
    let clients = (0..CLIENTS_AT_ONCE).map(|number| {
        let text = request("POST", path, &format!("id-{number}"), "");
        let text = text.replace("Deadline-Ms: 5000", "Deadline-Ms: 9000");
        let front = fleet.gateways[0].front();
        async move {
            for tries in 1..=MAX_TURNED_AWAY {
                let response = send_request(front, text.as_bytes()).await;
                if response.as_ref().is_some_and(|r| !r.is_turned_away()) {
                    return response;
                }
                tokio::time::sleep(TURNED_AWAY_PAUSE * tries).await;
            }
            None
        }
    });
    let responses = join_all(clients).await;
    (responses.iter().flatten().count(), begun.elapsed())
}

/// Asserts that many requests at once use little memory, and, if that is expected, that some end for it.
fn assert_memory_is_bounded(flow: Flow, path: &'static str, cut_for_memory: bool) {
    block_on(async {
        let (fleet, pouring) = start(flow, 0).await;

        let (_responses, took) = send_many(&fleet, path).await;

        let peak = fleet.gateways[0].peak_memory_kib();
        let poured = pouring.poured();
        let most = poured.iter().map(|p| p.bytes).max().unwrap_or_default();
        let longest = poured.iter().map(|p| p.lasted).max().unwrap_or_default();
        println!(
            "peak {peak} KiB, took {took:?}, {} connections, most {most} bytes written, longest {longest:?}",
            poured.len()
        );
        assert!(poured.len() >= MIN_POURED, "{}", poured.len());
        if cut_for_memory {
            let metrics = fleet.gateways[0].metrics().await;
            assert!(metrics.contains(MEMORY_CUTS), "{metrics}");
        }
        assert!(peak < MEMORY_KIB, "{peak} KiB");
        assert!(fleet.gateways[0].is_ready().await);
    });
}

/// Failure: 400 events without end at once use more memory than the instance has.
#[test]
fn many_endless_events_use_little_memory() {
    assert_memory_is_bounded(
        full(&[(0, STREAM_HEAD)], "data: abcdefgh\n"),
        "/stream/",
        false,
    );
}

/// Failure: the same, where each event grows slowly, so that all are large at the same time.
#[test]
fn many_slow_endless_events_use_little_memory() {
    const LINES: &str = include_str!("endless_event_lines.txt");
    let flow = Flow {
        pause: Some(SLOW_PAUSE),
        together: MIN_POURED,
        ..trickle(&[(0, STREAM_HEAD)], LINES)
    };
    assert_memory_is_bounded(flow, "/stream/", true);
}

/// Failure: 400 heads without end at once use more memory than the instance has.
#[test]
fn many_endless_heads_use_little_memory() {
    let start = &[(0, STATUS_LINE), (0, "Abc: ")];
    assert_memory_is_bounded(full(start, NO_LINE), "/once/", false);
}

/// Failure: the same, where each head grows slowly.
#[test]
fn many_slow_endless_heads_use_little_memory() {
    assert_memory_is_bounded(trickle(&[(0, STATUS_LINE)], FIELD), "/once/", false);
}

/// Failure: 400 connections full of interim responses use more memory than the instance has.
#[test]
fn many_skipped_responses_use_little_memory() {
    assert_memory_is_bounded(full(&[], INTERIM), "/once/", false);
}
