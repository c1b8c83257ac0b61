//! Servers that stop in the middle of an answer's head, or of what frames its body, behind a real router.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hawthornmill::config::accept::{Values, manifest};
use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::keys::prefix::KeyPrefix;
use hawthornmill_lab::demo::site::Site;
use hawthornmill_lab::load::story::Story;
use hawthornmill_lab::load::summary::summarize;
use hawthornmill_lab::standin::platform::Listed;
use hawthornmill_test_support::procs::{send, small_site};

use crate::cut_proxy::{Cut, CutProxy};
use crate::gateway::raw_client::{Received, exchange};
use crate::gateway::raw_servers::{RawAnswer, RawServers, WHOLE_BODY};
use crate::gateway::streams::StreamEnd;
use crate::{ROUTER, block_on};

/// Attempts of one call, including the first.
pub const MAX_ATTEMPTS: usize = 4;
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
pub async fn start() -> (Site, RawServers) {
    let site = small_site(ROUTER, 1).await;
    let servers = RawServers::default();
    let mut sections = String::new();
    for (service, count) in [("raw", 2), ("lines", 2), ("once", 30)] {
        for number in 0..count {
            let address = servers.start().await;
            let name = format!("{service}-{number}");
            sections.push_str(&server_section(&name, service, address));
        }
    }
    publish(&site, &sections).await;
    (site, servers)
}

/// Adds the services and these servers to the configuration, and waits until it is in force.
pub async fn publish(site: &Site, servers: &str) {
    let text = format!("{}\n{SERVICES}{servers}", site.text);
    let values = Values::from([("fleet".into(), text.into())]);
    site.platform.publish_raw(manifest(2, &values), values);
    wait_for(|| async { site.statuses().await[0]["revision"] == 2 }).await;
}

/// Returns the section of a server in the configuration.
pub fn server_section(name: &str, service: &str, address: SocketAddr) -> String {
    format!(
        "[server {name}]\nservice = {service}\ndomain = a\naddress = {address}\nslots = 4\n\
         labels = pool=std\n\n"
    )
}

/// Returns the address for callers.
pub fn address(site: &Site) -> SocketAddr {
    let address = site.routers[0].listed.http.parse();
    address.expect("it is an address")
}

/// Sends a call to servers with this row of answers, until it reaches one; returns also how often it arrived.
pub async fn play(
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

/// Returns the prefix of the keys that the router issues.
pub async fn key_prefix(site: &Site) -> String {
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

/// Adds an instance to the platform's list that nobody hears, and returns the prefix of its keys; `http` is its address.
async fn add_silent_home(site: &Site, http: SocketAddr) -> Box<str> {
    let mut list: Vec<Listed> = site.routers.iter().map(|r| r.listed.clone()).collect();
    list.push(Listed {
        name: "silent".into(),
        http: http.to_string().into(),
        peer: "127.0.0.1:9".into(),
        ..list[0].clone()
    });
    site.platform.set_instances(list);
    for _ in 0..MAX_REFUSALS * 2 {
        if site.statuses().await[0]["members"]
            .to_string()
            .contains("silent")
        {
            let prefix = KeyPrefix {
                home: InstanceId::of("silent"),
                incarnation: Incarnation(1),
                issued_secs: 0,
            };
            return prefix.encode(blake3::hash(b"hawthornmill demo").as_bytes());
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("the list is not known");
}

/// Failure: the answer of a key's home breaks off on its way, and is a success at the caller, or the call is sent again.
#[test]
fn cut_answer_of_a_home_is_no_success() {
    block_on(async {
        let (site, servers) = start().await;
        let prefix = add_silent_home(&site, servers.start().await).await;
        let mut cuts = 0;
        for text in [LENGTH, TRAILERS, INTERIM, BARE] {
            let row = |bytes| {
                let whole = RawAnswer::cut(text, bytes);
                let reset = RawAnswer {
                    end: StreamEnd::Reset,
                    ..whole.clone()
                };
                let one_by_one = RawAnswer {
                    byte_pause: Some(Duration::from_micros(200)),
                    ..whole.clone()
                };
                match bytes % 4 {
                    _ if bytes == text.len() => vec![whole],
                    0 => vec![whole, one_by_one],
                    1 => vec![whole, reset],
                    _ => vec![whole],
                }
            };
            for (bytes, answer) in
                (0..=text.len()).flat_map(|n| row(n).into_iter().map(move |a| (n, a)))
            {
                let name = format!("{:07}", NAMES.fetch_add(1, Ordering::Relaxed));
                servers.set(&name, &[answer]);
                let request = format!(
                    "POST /v1/call/once/{name} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token-big\r\n\
                     hawthornmill-timeout-ms: 5000\r\nContent-Length: 7\r\nConnection: close\r\n\
                     Idempotency-Key: {prefix}.{name}\r\n\r\n{name}"
                );
                let got = exchange(address(&site), "POST", request.as_bytes()).await;
                let got = got.expect("the caller is told");
                assert_eq!(
                    got.is_success(),
                    bytes == text.len(),
                    "{text:?} cut at {bytes}: {got:?}"
                );
                assert_eq!(servers.arrivals(&name), 1);
                if !got.is_success() {
                    let body: serde_json::Value =
                        serde_json::from_slice(&got.body).unwrap_or_default();
                    assert_eq!(
                        body["outcome"], "unknown",
                        "{text:?} cut at {bytes}: {got:?}"
                    );
                }
                cuts += 1;
            }
        }
        println!("{cuts} answers");
        site.stop().await;
    });
}

/// Failure: an answer of the platform breaks off, and its part is taken for a configuration.
#[test]
fn cut_answer_of_the_platform_is_not_taken() {
    block_on(async {
        let mut site = small_site(ROUTER, 1).await;
        let proxy = put_proxy(&mut site).await;
        let mut revision = 1;
        for path in ["/v1/manifest", "/v1/values/"] {
            for (number, passed) in [0, 100, 400, 600, 800, 950, 999].into_iter().enumerate() {
                let is_reset = number % 2 == 1;
                proxy.set(Some(Cut {
                    path,
                    passed,
                    is_reset,
                }));
                let added = format!("[service s{revision}]\nrepeat = allowed\ncost = time\n");
                let text = format!("{}\n{added}", site.text);
                site.platform
                    .publish(Values::from([("fleet".into(), text.into())]));
                wait_for(|| async { proxy.cuts() > 0 }).await;
                tokio::time::sleep(REFUSAL_PAUSE).await;
                let before = site.statuses().await[0]["revision"].clone();
                assert_eq!(before, revision, "{path}: {passed} of 1,000 passed");
                revision += 1;
                proxy.set(None);
                wait_for(|| async { site.statuses().await[0]["revision"] == revision }).await;
            }
        }
        site.stop().await;
    });
}

/// Puts a proxy between the first router and the platform, and starts the router again.
async fn put_proxy(site: &mut Site) -> CutProxy {
    let path = site.routers[0].config.clone();
    let text = std::fs::read_to_string(&path).expect("the settings can be read");
    let platform = text.split("[platform]\naddress = ").nth(1);
    let platform = platform.and_then(|rest| rest.lines().next());
    let platform = platform.expect("the settings name the platform");
    let proxy = CutProxy::start(platform.parse().expect("it is an address")).await;
    let text = text.replace(platform, &proxy.address.to_string());
    std::fs::write(&path, text).expect("the settings can be written");
    site.routers[0].kill();
    site.launch(0).expect("the router starts");
    let ready = site.wait_ready(Duration::from_secs(20)).await;
    ready.expect("the router is ready");
    proxy
}

async fn wait_for<F: Future<Output = bool>>(is_there: impl Fn() -> F) {
    for _ in 0..10 * MAX_REFUSALS {
        if is_there().await {
            return;
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
    }
    panic!("what was waited for doesn't come");
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
