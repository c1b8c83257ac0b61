//! Servers that answer a long upload at once, without a length, and end the connection while it is being written, behind
//! a real router.

use std::time::Duration;

use hawthornmill_lab::demo::site::Site;
use hawthornmill_test_support::procs::small_site;

use crate::gateway::early_answers::{BROKEN_ENDS, LONG_BODY, PAUSES_MS};
use crate::gateway::early_servers::{EarlyAnswer, EarlyEnd, EarlyServers};
use crate::gateway::raw_client::{Received, exchange};
use crate::router_broken_heads::{address, key_prefix, publish, server_section};
use crate::{ROUTER, block_on};

/// Times that a call is sent which reached no server, before its test fails.
const MAX_REFUSALS: usize = 100;
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
const PART: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part";
const EVENTS: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece\n\n";

/// Starts a router in front of servers that answer early.
async fn start() -> (Site, EarlyServers) {
    let site = small_site(ROUTER, 1).await;
    let servers = EarlyServers::new(EarlyAnswer {
        text: PART,
        pause: Duration::ZERO,
        end: EarlyEnd::Reset,
    });
    let names = [("raw", 2), ("once", 30)]
        .into_iter()
        .flat_map(|(service, count)| (0..count).map(move |n| (service, format!("{service}-{n}"))));
    let sections: String = names
        .map(|(service, name)| server_section(&name, service, servers.start()))
        .collect();
    publish(&site, &sections).await;
    (site, servers)
}

/// Uploads a body of `bytes` to servers that answer so, until one gets it.
async fn upload(
    (site, servers): &(Site, EarlyServers),
    service: &str,
    bytes: usize,
    answer: EarlyAnswer,
) -> (Option<Received>, usize) {
    for _ in 0..MAX_REFUSALS {
        servers.set(answer);
        let key = match service {
            "once" => format!("Idempotency-Key: {}.1\r\n", key_prefix(site).await),
            _ => String::new(),
        };
        let head = format!(
            "POST /v1/call/{service}/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token-big\r\n\
             hawthornmill-timeout-ms: 5000\r\nContent-Length: {bytes}\r\nConnection: close\r\n{key}\r\n"
        );
        let mut message = head.into_bytes();
        message.resize(message.len() + bytes, b'b');
        let got = exchange(address(site), "POST", &message).await;
        let arrivals = servers.arrivals();
        if arrivals > 0 {
            return (got, arrivals);
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("the router sends it nowhere");
}

/// Failure: a server sends a part of an answer without a length and resets the connection while it is being written
/// to, and the caller gets the part as a complete answer.
#[test]
fn part_of_an_early_answer_is_not_the_answer() {
    block_on(async {
        let site = start().await;
        let mut taken = Vec::new();
        for text in [PART, EVENTS] {
            for (end, pause) in BROKEN_ENDS
                .into_iter()
                .flat_map(|end| PAUSES_MS.map(|pause| (end, pause)))
            {
                let answer = EarlyAnswer {
                    text,
                    pause: Duration::from_millis(pause),
                    end,
                };
                let (got, _arrivals) = upload(&site, "raw", LONG_BODY, answer).await;

                if got.as_ref().is_some_and(Received::is_success) {
                    let kind = if text == PART { "plain" } else { "events" };
                    taken.push(format!("{kind} {end:?} {pause} ms"));
                }
            }
        }
        site.0.stop().await;
        assert!(taken.is_empty(), "{taken:#?}");
    });
}

/// Failure: a keyed upload's part of an answer is kept as its answer, or the call is repeated.
#[test]
fn keyed_call_with_a_part_of_an_early_answer_is_not_repeated() {
    block_on(async {
        let site = start().await;
        for end in BROKEN_ENDS {
            let answer = EarlyAnswer {
                text: PART,
                pause: Duration::from_millis(1),
                end,
            };
            let (got, arrivals) = upload(&site, "once", LONG_BODY, answer).await;

            let got = got.expect("the caller is told");
            let body: serde_json::Value = serde_json::from_slice(&got.body).unwrap_or_default();
            let told = (got.is_success(), &body["outcome"], arrivals);
            assert_eq!(told, (false, &"unknown".into(), 1), "{end:?}");
        }
        site.0.stop().await;
    });
}

/// Failure: an early answer that ends in order, by a server that takes the rest of the upload, is refused.
#[test]
fn whole_early_answer_is_the_answer() {
    block_on(async {
        let site = start().await;
        for bytes in [10, 90_000, LONG_BODY] {
            let answer = EarlyAnswer {
                text: PART,
                pause: Duration::from_millis(1),
                end: EarlyEnd::CloseAndRead,
            };
            let (got, _arrivals) = upload(&site, "raw", bytes, answer).await;

            let got = got.expect("the caller gets the answer");
            assert!(got.is_success(), "{bytes}: {got:?}");
            assert_eq!(got.body, b"a part", "{bytes}");
        }
        site.0.stop().await;
    });
}
