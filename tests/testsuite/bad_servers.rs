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

/// A server that takes every call and gives `answer`, which may be nothing, and closes.
async fn failing(answer: &'static str, calls: Arc<AtomicU64>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4096];
            let count = stream.read(&mut bytes).await.unwrap_or(0);
            // Load readings are no calls.
            if bytes[..count].starts_with(b"POST") {
                calls.fetch_add(1, Ordering::Relaxed);
            }
            let _gone = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

fn server(name: &str, domain: &str, address: std::net::SocketAddr) -> String {
    format!(
        "[server {name}]\nservice = drafting\ndomain = {domain}\naddress = {address}\n\
         slots = 4\nlabels = pool=std\n\n"
    )
}

/// One server closes every connection, one says that it is unavailable, one is gone. They free their
/// slots faster than the good ones and so draw the calls to themselves. Callers must get whole answers
/// all the same, and the bad servers must not see a multiple of the calls.
#[test]
fn servers_that_fail_cost_callers_nothing() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let (broken, busy) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        // Bound to the end of the test and never listening: connections are refused, and no server of
        // another test can get the port.
        let gone = TcpSocket::new_v4().expect("a socket can be made");
        gone.bind(([127, 0, 0, 1], 0).into())
            .expect("a port is free");
        let dead = gone.local_addr().expect("it is bound");
        let mut text = site.text.to_string();
        text.push_str(&server(
            "breaks",
            "a",
            failing("", Arc::clone(&broken)).await,
        ));
        text.push_str(&server(
            "busy",
            "b",
            failing(UNAVAILABLE, Arc::clone(&busy)).await,
        ));
        text.push_str(&server("gone", "a", dead));
        let values = Values::from([("fleet".into(), text.into())]);
        site.platform.publish_raw(manifest(2, &values), values);
        tokio::time::sleep(Duration::from_secs(1)).await;
        let plan = Plan {
            callers: parse("callers", CALLERS).expect("the plan is good"),
            time: Duration::from_secs(4),
            seed: 1,
        };

        let stories = run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;

        let calls = summarize(&stories).calls;
        let failed: Vec<_> = stories.iter().filter(|s| !s.whole()).collect();
        let tries = [broken, busy].map(|c| c.load(Ordering::Relaxed));
        assert!(calls > 200, "{calls} calls");
        assert!(
            failed.len() as u64 <= calls / 50,
            "{} of {calls} failed: {failed:?}",
            failed.len()
        );
        assert!(
            tries.iter().all(|t| *t <= calls / 3),
            "{tries:?} tries of {calls} calls"
        );
        site.stop().await;
    });
}
