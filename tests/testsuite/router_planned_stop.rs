//! Calls that a graceful shutdown of a router could cut.

use std::time::Duration;

use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_test_support::procs::{DOMAINS, small_fleet};
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::gateway::raw_client::{Received, exchange};
use crate::gateway::raw_servers::{RawAnswer, RawServers};
use crate::router_broken_heads::{address, key_prefix, publish, server_section};
use crate::{ROUTER, block_on};

/// An answer that takes longer than the drain when its bytes come one by one.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const SLOW: Duration = Duration::from_millis(200);
const POLL: Duration = Duration::from_millis(20);

/// Starts routers that drain for 2.5 s, in front of servers of two services.
async fn start(routers: usize) -> (Site, RawServers) {
    let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, routers);
    plan.extra = "[discovery]\nttl_ms = 600\ndrain_ms = 2500\n".into();
    let site = hawthornmill_test_support::procs::start(ROUTER, plan).await;
    let servers = RawServers::default();
    let mut sections = String::new();
    for service in ["raw", "once"] {
        let address = servers.start().await;
        sections.push_str(&server_section(&format!("{service}-0"), service, address));
    }
    publish(&site, &sections).await;
    (site, servers)
}

/// Sends a call whose caller waits for `timeout_ms`; `key` is a line of its head or nothing.
fn call(
    site: &Site,
    service: &str,
    name: &str,
    timeout_ms: u64,
    key: &str,
) -> JoinHandle<Option<Received>> {
    let address = address(site);
    let text = format!(
        "POST /v1/call/{service}/{name} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token-big\r\n\
         hawthornmill-timeout-ms: {timeout_ms}\r\nContent-Length: 1\r\nConnection: close\r\n{key}\r\na"
    );
    tokio::spawn(async move { exchange(address, "POST", text.as_bytes()).await })
}

async fn wait_for_arrival(servers: &RawServers, name: &str) {
    for _ in 0..500 {
        if servers.arrivals(name) > 0 {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("{name} doesn't arrive");
}

/// Returns the status, the code and the outcome that the caller got, if anything.
fn told(got: Option<&Received>) -> (u16, u64, String) {
    let Some(got) = got.filter(|got| got.whole) else {
        return (0, 0, String::new());
    };
    let body: Value = serde_json::from_slice(&got.body).unwrap_or_default();
    let outcome = body["outcome"].as_str().unwrap_or_default().to_owned();
    (
        got.status,
        body["code"].as_u64().unwrap_or_default(),
        outcome,
    )
}

/// Failure: calls that are in flight at the end of a drain are cut without an answer.
#[test]
fn calls_at_the_end_of_the_drain_are_answered() {
    block_on(async {
        let (site, servers) = start(1).await;
        let slow = RawAnswer {
            byte_pause: Some(SLOW),
            ..RawAnswer::cut(ANSWER, usize::MAX)
        };
        let key = format!("Idempotency-Key: {}.1\r\n", key_prefix(&site).await);
        let mut calls = Vec::new();
        for (service, key) in [("raw", ""), ("once", &*key)] {
            servers.set(service, std::slice::from_ref(&slow));
            calls.push(call(&site, service, service, 20_000, key));
            wait_for_arrival(&servers, service).await;
        }

        site.routers[0].signal(Signal::SIGTERM);

        for call in calls {
            let got = call.await.expect("the caller doesn't panic");
            assert_eq!(told(got.as_ref()), (502, 3038, "unknown".into()), "{got:?}");
        }
        site.stop().await;
    });
}

/// Failure: a call that may not run twice comes to a router that leaves, is passed on, and is cut.
#[test]
fn leaving_router_takes_no_keyed_call_that_it_may_cut() {
    block_on(async {
        let (site, servers) = start(2).await;
        let prefix = key_prefix(&site).await;
        let key = |name| format!("Idempotency-Key: {prefix}.{name}\r\n");

        let slow = RawAnswer {
            byte_pause: Some(SLOW),
            ..RawAnswer::cut(ANSWER, usize::MAX)
        };
        servers.set("late", &[slow]);
        site.routers[0].signal(Signal::SIGTERM);
        tokio::time::sleep(POLL * 5).await;
        let short = call(&site, "once", "short", 1_500, &key("short"));
        let late = call(&site, "once", "late", 20_000, &key("late"));

        let short = short.await.expect("the caller doesn't panic");
        let late = late.await.expect("the caller doesn't panic");
        assert_eq!(
            told(late.as_ref()),
            (503, 3009, "not_run".into()),
            "{late:?}"
        );
        assert_eq!(servers.arrivals("late"), 0);
        assert_eq!(short.map(|got| got.status), Some(200));
        site.stop().await;
    });
}
