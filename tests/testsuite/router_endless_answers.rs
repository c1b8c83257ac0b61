//! Answers without end to many keyed calls at once, behind a real router.

use hawthornmill_lab::demo::site::Site;
use hawthornmill_test_support::procs::{peak_memory_kib, small_site};
use tokio::task::JoinHandle;

use crate::gateway::raw_client::{Received, exchange};
use crate::gateway::raw_servers::{RawAnswer, RawServers};
use crate::router_broken_heads::{address, key_prefix, publish, server_section};
use crate::router_upstream::pour;
use crate::{ROUTER, block_on};

/// Servers that answer without end, each with four slots.
const SERVERS: usize = 12;
const CALLS: usize = 48;
/// Length of an answer of which the memory for reading holds a few.
const LONG_ANSWER: usize = 6 << 20;
/// Most memory of the router: the kept answers of its settings (64 MiB), and as much for all else.
const MAX_MEMORY_KIB: u64 = 128 << 10;

fn router_peak_kib(site: &Site) -> u64 {
    let pid = site.routers[0].pid().expect("the router runs");
    peak_memory_kib(pid.as_raw().cast_unsigned())
}

/// Sends a call with a key of its own.
fn call(site: &Site, prefix: &str, name: &str) -> JoinHandle<Option<Received>> {
    let address = address(site);
    let text = format!(
        "POST /v1/call/once/{name} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token-big\r\n\
         hawthornmill-timeout-ms: 8000\r\nContent-Length: 1\r\nConnection: close\r\n\
         Idempotency-Key: {prefix}.{name}\r\n\r\na"
    );
    tokio::spawn(async move { exchange(address, "POST", text.as_bytes()).await })
}

/// Failure: the answers that are held until they are whole use what they like together, and the process ends for it.
#[test]
fn endless_answers_to_keyed_calls_share_a_bound() {
    block_on(async {
        let site = small_site(ROUTER, 1).await;
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let unit: &str = format!("400\r\n{}\r\n", "x".repeat(1 << 10)).leak();
        let mut sections = String::new();
        for number in 0..SERVERS {
            let address = pour(head, unit).await;
            sections.push_str(&server_section(&format!("once-{number}"), "once", address));
        }
        publish(&site, &sections).await;
        let prefix = key_prefix(&site).await;

        let before = router_peak_kib(&site);
        let calls: Vec<_> = (0..CALLS)
            .map(|number| call(&site, &prefix, &number.to_string()))
            .collect();
        let mut statuses = Vec::new();
        for call in calls {
            let got = call.await.expect("the caller doesn't panic");
            statuses.push(got.expect("the caller is told").status);
        }

        let peak = router_peak_kib(&site);
        println!("peak {before} and then {peak} KiB, {statuses:?}");
        assert!(statuses.iter().all(|s| *s >= 400), "{statuses:?}");
        assert!(statuses.contains(&502), "{statuses:?}");
        assert!(peak < MAX_MEMORY_KIB, "{peak} KiB");
        site.stop().await;
    });
}

/// Failure: answers that come whole fail, since others use up the memory for those that are being read.
#[test]
fn long_answers_to_keyed_calls_come_whole() {
    block_on(async {
        let site = small_site(ROUTER, 1).await;
        let servers = RawServers::default();
        let mut sections = String::new();
        for number in 0..SERVERS {
            let address = servers.start().await;
            sections.push_str(&server_section(&format!("once-{number}"), "once", address));
        }
        publish(&site, &sections).await;
        let prefix = key_prefix(&site).await;
        let body = "x".repeat(LONG_ANSWER);
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER}\r\n\r\n{body}");
        let answer = RawAnswer::cut(&text, usize::MAX);

        let mut calls = Vec::new();
        for number in 0..SERVERS {
            let name = format!("long-{number}");
            servers.set(&name, std::slice::from_ref(&answer));
            calls.push(call(&site, &prefix, &name));
        }

        for call in calls {
            let got = call.await.expect("the caller doesn't panic");
            let got = got.expect("the caller is told");
            assert!(got.is_success(), "{}", got.status);
            assert!(got.body == body.as_bytes(), "{} bytes", got.body.len());
        }
        site.stop().await;
    });
}
