//! Servers that stop in the middle of an answer's head, or of what frames its body, behind a real router.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hawthornmill::config::accept::{Values, manifest};
use hawthornmill_lab::demo::site::Site;
use hawthornmill_lab::load::story::Story;
use hawthornmill_lab::load::summary::summarize;
use hawthornmill_test_support::procs::{send, small_site};

use crate::gateway::raw_client::{Received, exchange};
use crate::gateway::raw_servers::{RawAnswer, RawServers, WHOLE_BODY};
use crate::{ROUTER, block_on};

/// Attempts of one call, including the first.
const MAX_ATTEMPTS: usize = 4;
/// Times that a call is sent which reached no server, before its test fails.
const MAX_REFUSALS: usize = 50;
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Services whose servers send the given bytes.
const SERVICES: &str = "[service raw]\nrepeat = allowed\ncost = time\n\n\
                        [service lines]\nrepeat = allowed\ncost = time\ncomplete = done-line\n\n\
                        [service once]\nrepeat = never\ncost = time\n\n";

const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"result\": 17}";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n\
                        5;a=b\r\nhello\r\n3\r\nyou\r\n0\r\nSum: 8\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n\
                       HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const BARE: &str = "HTTP/1.1 200 OK\nA: b\nContent-Length: 5\n\nhello";
const NO_BLANK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nhello\r\nhello: hello";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
                      13\r\nid: 1\ndata: piece\n\n\r\n13\r\nid: 2\ndata: piece\n\n\r\n0\r\n\r\n";
const LINES: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n{\"n\":1}\n{\"done\":true}\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

static NAMES: AtomicU32 = AtomicU32::new(1);

/// Starts a router in front of servers of each of the services.
///
/// A call that may not run twice is sent to no server that has just failed.
async fn start() -> (Site, RawServers) {
    let site = small_site(ROUTER, 1).await;
    let servers = RawServers::default();
    let mut text = format!("{}\n{SERVICES}", site.text);
    for (service, count) in [("raw", 2), ("lines", 2), ("once", 30)] {
        for number in 0..count {
            let address = servers.start().await;
            let name = format!("{service}-{number}");
            text.push_str(&server_section(&name, service, address));
        }
    }
    let values = Values::from([("fleet".into(), text.into())]);
    site.platform.publish_raw(manifest(2, &values), values);
    for _ in 0..MAX_REFUSALS {
        if site.statuses().await[0]["revision"] == 2 {
            return (site, servers);
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("the configuration is not in force");
}

fn server_section(name: &str, service: &str, address: SocketAddr) -> String {
    format!(
        "[server {name}]\nservice = {service}\ndomain = a\naddress = {address}\nslots = 4\n\
         labels = pool=std\n\n"
    )
}

fn address(site: &Site) -> SocketAddr {
    let address = site.routers[0].listed.http.parse();
    address.expect("it is an address")
}

/// Sends a call to servers with this row of answers, until it reaches one; returns also how often it arrived.
async fn play(
    (site, servers): &(Site, RawServers),
    method: &str,
    service: &str,
    row: &[RawAnswer],
) -> (Option<Received>, usize) {
    for _ in 0..MAX_REFUSALS {
        let name = format!("{:07}", NAMES.fetch_add(1, Ordering::Relaxed));
        servers.set(&name, row);
        let key = match service {
            "once" => format!("Idempotency-Key: {}.1\r\n", key_prefix(site).await),
            _ => String::new(),
        };
        let text = format!(
            "{method} /v1/call/{service}/{name} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token-big\r\n\
             hawthornmill-timeout-ms: 5000\r\nContent-Length: 7\r\nConnection: close\r\n{key}\r\n{name}"
        );
        let got = exchange(address(site), method, text.as_bytes()).await;
        let arrivals = servers.arrivals(&name);
        if arrivals > 0 {
            return (got, arrivals);
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("the router sends it nowhere");
}

async fn key_prefix(site: &Site) -> String {
    let url = format!("http://{}/v1/addresses", address(site));
    let request = reqwest::Client::new().get(url).bearer_auth("token-big");
    let addresses = send(request).await.expect("the router responds").json();
    addresses["key_prefix"].as_str().unwrap_or_default().into()
}

/// Failure: an answer that is cut in its head, or before its framing or its last line ends it, is a success at the caller.
#[test]
fn broken_head_is_no_success() {
    block_on(async {
        let site = start().await;
        for (method, service, text) in [
            ("POST", "raw", LENGTH),
            ("POST", "raw", TRAILERS),
            ("POST", "raw", INTERIM),
            ("POST", "raw", BARE),
            ("POST", "raw", NO_BLANK),
            ("POST", "raw", EVENTS),
            ("POST", "raw", NO_CONTENT),
            ("HEAD", "raw", HEAD),
            ("POST", "lines", LINES),
        ] {
            let (mut arrived, mut whole) = (0, 0);
            for bytes in 0..=text.len() {
                let row = vec![RawAnswer::cut(text, bytes); MAX_ATTEMPTS];
                let (got, arrivals) = play(&site, method, service, &row).await;
                let is_success = got.as_ref().is_some_and(Received::is_success);
                // The line end after the last line adds nothing to the answer.
                let is_whole = bytes + usize::from(text == LINES) >= text.len() && text != NO_BLANK;
                assert_eq!(is_success, is_whole, "{text:?} cut at {bytes}: {got:?}");
                arrived += arrivals;
                whole += usize::from(is_success);
            }
            println!(
                "{method} {service} {}: {arrived} arrived, {whole} whole",
                text.len()
            );
        }
        site.0.stop().await;
    });
}

/// Failure: after a broken head at one server the caller gets parts of two answers, or a success that no server gave.
#[test]
fn second_try_after_a_broken_head_is_whole_or_a_failure() {
    block_on(async {
        let site = start().await;
        let (mut recovered, mut failed) = (0, 0);
        for text in [LENGTH, TRAILERS] {
            for bytes in (0..text.len()).step_by(3) {
                let row = [RawAnswer::cut(text, bytes)];
                let (got, arrivals) = play(&site, "POST", "raw", &row).await;

                let is_success = got.as_ref().is_some_and(Received::is_success);
                assert_eq!(is_success, arrivals > 1, "{text:?} cut at {bytes}: {got:?}");
                if let Some(got) = got.filter(Received::is_success) {
                    assert_eq!((&*got.body, got.rest), (WHOLE_BODY.as_bytes(), 0));
                }
                recovered += usize::from(is_success);
                failed += usize::from(!is_success);
            }
        }
        println!("{recovered} recovered, {failed} failed");
        assert!(recovered > 0);
        site.0.stop().await;
    });
}

/// Failure: a call that may not run twice is repeated after a broken head, or its part of an answer is kept as the answer.
#[test]
fn keyed_call_with_a_broken_head_is_not_repeated() {
    block_on(async {
        let site = start().await;
        for text in [LENGTH, TRAILERS, INTERIM] {
            for bytes in (0..text.len()).step_by(23) {
                let row = [RawAnswer::cut(text, bytes)];
                let (got, arrivals) = play(&site, "POST", "once", &row).await;

                let got = got.expect("the caller is told");
                let body: serde_json::Value = serde_json::from_slice(&got.body).unwrap_or_default();
                assert!(!got.is_success(), "{text:?} cut at {bytes}: {got:?}");
                assert_eq!((&body["outcome"], arrivals), (&"unknown".into(), 1));
            }
        }
        site.0.stop().await;
    });
}

/// Failure: the load tool counts an answer that ends as if it were whole, but is cut short or another call's, as a success.
#[test]
fn load_tool_counts_no_short_answer_as_whole() {
    let story = |truncated, crossed| Story {
        outcome: "whole".into(),
        truncated,
        crossed,
        ..Story::default()
    };
    let stories = [story(false, false), story(true, false), story(false, true)];

    let summary = summarize(&stories);

    let whole: u64 = summary
        .accounts
        .values()
        .flat_map(|a| a.values())
        .map(|a| a.whole)
        .sum();
    assert_eq!((summary.calls, whole), (3, 1));
    assert_eq!((summary.truncated, summary.crossed), (1, 1));
}
