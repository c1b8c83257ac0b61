//! Servers that answer a long upload at once, without a length, and end the connection while it is being written.

use std::time::Duration;

use serde_json::json;

use super::early_servers::{EarlyAnswer, EarlyEnd, EarlyServers};
use super::fleet::{Fleet, config, request, route, wait_until};
use super::raw_client::{Received, exchange};
use crate::block_on;

/// Length of a body that no socket's buffer holds.
pub const LONG_BODY: usize = 4_000_000;
/// Times that a request is sent which its gateway sent nowhere.
const MAX_REFUSALS: usize = 50;
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
const PLAIN: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\n\r\na part";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\n\
                      Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece\n\n";
const ERROR: &str = "HTTP/1.1 413 X\r\nAttempt-Id: {id}\r\nServer-Stamp: s.1\r\n\r\na part";

/// Ways in which a connection ends while the body is being written.
pub const BROKEN_ENDS: [EarlyEnd; 5] = [
    EarlyEnd::Reset,
    EarlyEnd::CloseUnread,
    EarlyEnd::CloseThenReset(Duration::ZERO),
    EarlyEnd::CloseThenReset(Duration::from_millis(3)),
    EarlyEnd::CloseThenReset(Duration::from_millis(60)),
];

/// Times between the answer and the end of its connection, in milliseconds.
pub const PAUSES_MS: [u64; 4] = [0, 1, 5, 40];

/// Starts one gateway in front of two servers that answer early.
async fn start() -> (Fleet, EarlyServers) {
    let mut fleet = Fleet::prepare(1, 0).await;
    let mut config = config(1);
    config["limits"]["maxBodyBytes"] = LONG_BODY.into();
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    routes.push(route("one", "idempotent", &json!({"maxAttempts": 1})));
    fleet.store.put("op/config", config.to_string().as_bytes());
    let servers = EarlyServers::new(EarlyAnswer {
        text: PLAIN,
        pause: Duration::ZERO,
        end: EarlyEnd::Reset,
    });
    for number in 0..2 {
        let address = servers.start().to_string();
        let entry = json!({"service": "app", "address": address, "zone": "a", "version": "v1", "slots": 4,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1});
        let key = format!("servers/i-{number}");
        fleet.store.put(&key, entry.to_string().as_bytes());
    }
    fleet.gateways[0].start();
    wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;
    (fleet, servers)
}

/// Uploads a body of `bytes` to servers that answer so, until one gets it; returns also how many got it.
async fn upload(
    (fleet, servers): &(Fleet, EarlyServers),
    path: &str,
    bytes: usize,
    answer: EarlyAnswer,
) -> (Option<Received>, usize) {
    let length = format!("Content-Length: {bytes}\r\nConnection: close\r\n");
    for number in 0..MAX_REFUSALS {
        servers.set(answer);
        let id = format!("upload-{number}");
        let mut message = request("POST", path, &id, &length).into_bytes();
        message.resize(message.len() + bytes, b'b');
        let got = exchange(fleet.gateways[0].front(), "POST", &message).await;
        let arrivals = servers.arrivals();
        if arrivals > 0 {
            return (got, arrivals);
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("the gateway sends it nowhere");
}

/// Failure: a server sends a part of an answer without a length and resets the connection while it is being written
/// to, and the client gets the part as a complete answer.
#[test]
fn part_of_an_early_answer_is_not_the_answer() {
    block_on(async {
        let site = start().await;
        let mut taken = Vec::new();
        for (path, text) in [("/one/", PLAIN), ("/whole/", EVENTS), ("/one/", ERROR)] {
            for (end, pause) in BROKEN_ENDS
                .into_iter()
                .flat_map(|end| PAUSES_MS.map(|pause| (end, pause)))
            {
                let answer = EarlyAnswer {
                    text,
                    pause: Duration::from_millis(pause),
                    end,
                };
                let (got, arrivals) = upload(&site, path, LONG_BODY, answer).await;

                let told = got.map(|got| (got.status, got.whole));
                let is_part = told.is_none_or(|(status, whole)| !whole || status == 502);
                if !is_part || arrivals != 1 {
                    taken.push(format!(
                        "{path} {} {end:?} {pause} ms: {told:?}, {arrivals} arrived",
                        &text[9..12]
                    ));
                }
            }
        }
        assert!(taken.is_empty(), "{taken:#?}");
    });
}

/// Failure: an upload that may not run twice is sent again after a part of an answer, or is said not to have run.
#[test]
fn booking_with_a_part_of_an_early_answer_is_not_repeated() {
    block_on(async {
        let site = start().await;
        for end in BROKEN_ENDS {
            let answer = EarlyAnswer {
                text: PLAIN,
                pause: Duration::from_millis(1),
                end,
            };
            let (got, arrivals) = upload(&site, "/once/", LONG_BODY, answer).await;

            let status = got.map(|got| got.status);
            assert_eq!((status, arrivals), (Some(502), 1), "{end:?}");
        }
    });
}

/// Failure: an early answer that ends in order, by a server that takes the rest of the upload, is refused.
#[test]
fn whole_early_answer_is_the_answer() {
    block_on(async {
        let site = start().await;
        for (path, text, body) in [
            ("/one/", PLAIN, "a part"),
            ("/whole/", EVENTS, "id: 1\ndata: piece\n\n"),
        ] {
            for bytes in [10, 90_000, LONG_BODY] {
                let answer = EarlyAnswer {
                    text,
                    pause: Duration::from_millis(1),
                    end: EarlyEnd::CloseAndRead,
                };
                let (got, _arrivals) = upload(&site, path, bytes, answer).await;

                let got = got.expect("the client gets the answer");
                assert!(got.is_success(), "{path} {bytes}: {got:?}");
                assert_eq!(got.body, body.as_bytes(), "{path} {bytes}");
            }
        }
    });
}
