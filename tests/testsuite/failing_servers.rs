//! Calls through real routers while some backend servers fail.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hawthornmill::config::accept::{Values, manifest};
use hawthornmill_lab::load::plan::parse;
use hawthornmill_lab::load::{Plan, Watcher, run, summary::summarize};
use hawthornmill_test_support::procs::small_site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

use crate::{ROUTER, block_on};

const CALLERS: &str = "[caller big]\nservice = drafting\nrate = 60\ntokens = 20\n\
                       [caller small-1]\nservice = drafting\nrate = 30\ntokens = 20\n";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Starts a server that responds to every request with `response`, which may be empty, and then
/// closes the connection.
///
/// It counts POST requests in `calls`.
async fn start_failing_server(
    response: &'static str,
    calls: Arc<AtomicU64>,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4096];
            let count = stream.read(&mut bytes).await.unwrap_or(0);
            // Polls of the load aren't calls.
            if bytes[..count].starts_with(b"POST") {
                calls.fetch_add(1, Ordering::Relaxed);
            }
            let _disconnected = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

fn server_section(name: &str, domain: &str, address: std::net::SocketAddr) -> String {
    format!(
        "[server {name}]\nservice = drafting\ndomain = {domain}\naddress = {address}\n\
         slots = 4\nlabels = pool=std\n\n"
    )
}

/// Failure: servers that fail fast attract most calls, since they free their slots sooner than
/// healthy ones, and callers get errors. One server closes every connection, one responds with 503
/// and one refuses connections.
#[test]
fn failing_servers_fail_few_calls_and_attract_no_surplus() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let (closing_calls, busy_calls) =
            (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        // Bound until the end of the test but never listening, so that connections are refused and
        // no other test's server gets the port.
        let unreachable = TcpSocket::new_v4().expect("a socket can be made");
        unreachable
            .bind(([127, 0, 0, 1], 0).into())
            .expect("a port is free");
        let unreachable_address = unreachable.local_addr().expect("it is bound");
        let mut text = site.text.to_string();
        text.push_str(&server_section(
            "breaks",
            "a",
            start_failing_server("", Arc::clone(&closing_calls)).await,
        ));
        text.push_str(&server_section(
            "busy",
            "b",
            start_failing_server(UNAVAILABLE, Arc::clone(&busy_calls)).await,
        ));
        text.push_str(&server_section("gone", "a", unreachable_address));
        let values = Values::from([("fleet".into(), text.into())]);
        site.platform.publish_raw(manifest(2, &values), values);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let plan = Plan {
            callers: parse("callers", CALLERS).expect("the plan is valid"),
            time: Duration::from_secs(4),
            seed: 1,
        };

        let records = run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;

        let calls = summarize(&records).calls;
        let failed: Vec<_> = records.iter().filter(|s| !s.whole()).collect();
        let attempts = [closing_calls, busy_calls].map(|c| c.load(Ordering::Relaxed));
        assert!(calls > 200, "{calls} calls");
        assert!(
            failed.len() as u64 <= calls / 50,
            "{} of {calls} failed: {failed:?}",
            failed.len()
        );
        assert!(
            attempts.iter().all(|t| *t <= calls / 3),
            "{attempts:?} attempts for {calls} calls"
        );
        site.stop().await;
    });
}
