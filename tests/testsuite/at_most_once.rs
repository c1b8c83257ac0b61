//! Calls with idempotency keys run at most once, through real routers whose key homes fail.

use std::sync::Arc;
use std::time::Duration;

use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_lab::history::storm::books;
use hawthornmill_lab::standin::relay::{LinkState, Relay};
use hawthornmill_test_support::procs::{DOMAINS, Response, send, small_fleet, start};
use nix::sys::signal::Signal;

use crate::{ROUTER, block_on};

const TAG: &str = "small-1/1";

/// Starts routers in front of booking servers that take `work` for each call.
async fn start_site(routers: usize, work: Duration) -> Site {
    let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, routers);
    plan.extra = "[discovery]\nttl_ms = 300\n".into();
    plan.work = work;
    start(ROUTER, plan).await
}

async fn key_prefix(site: &Site, router: usize) -> String {
    let url = format!("http://{}/v1/addresses", site.routers[router].listed.http);
    let response = send(reqwest::Client::new().get(url)).await;
    let json = response.expect("the router responds").json();
    json["key_prefix"].as_str().unwrap_or_default().to_owned()
}

/// Calls the booking service through `router` with a timeout of `timeout_ms`.
async fn call_booking(site: &Site, router: usize, key: &str, timeout_ms: &str) -> Response {
    let url = format!(
        "http://{}/v1/call/booking/run",
        site.routers[router].listed.http
    );
    let request = reqwest::Client::new()
        .post(url)
        .bearer_auth("token-small-1")
        .header("idempotency-key", key)
        .header("hawthornmill-timeout-ms", timeout_ms)
        .body(format!("{{\"tag\":\"{TAG}\"}}"));
    send(request).await.expect("the router responds")
}

fn started_runs(site: &Site) -> u32 {
    books(site).get(TAG).copied().unwrap_or(0)
}

/// A call has run, and the caller repeats it with an invalid header through a router that is not
/// the key's home. That router doesn't know the key's state and must not report the key as not run.
#[test]
fn rejection_on_arrival_leaves_key_outcome_unknown() {
    block_on(async {
        let site = start_site(2, Duration::from_millis(20)).await;
        let key = format!("{}.1", key_prefix(&site, 0).await);
        let first = call_booking(&site, 1, &key, "2000").await;

        let second = call_booking(&site, 1, &key, "no number").await.json();

        assert_eq!((first.status, started_runs(&site)), (200, 1));
        assert_eq!(second["code"], 3006);
        assert_eq!(second["outcome"], "unknown");
        assert_eq!(second["attempt"], "not_run");
        assert!(second["key_prefix"].is_string());
        site.stop().await;
    });
}

/// The home of a key is paused until the caller has stopped waiting, and then resumes. It reads the
/// call from its socket, where the timeout seems not to have passed, and must not run it.
#[test]
fn call_buffered_in_paused_home_is_not_run() {
    block_on(async {
        let site = start_site(2, Duration::from_millis(20)).await;
        let key = format!("{}.1", key_prefix(&site, 0).await);
        site.routers[0].signal(Signal::SIGSTOP);

        let response = call_booking(&site, 1, &key, "1000").await.json();
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.routers[0].signal(Signal::SIGCONT);
        tokio::time::sleep(Duration::from_millis(1500)).await;

        assert_eq!(response["outcome"], "unknown");
        assert_eq!(started_runs(&site), 0);
        site.stop().await;
    });
}

/// The home is killed while it runs a call. The outcome can't be known: the caller gets `unknown`,
/// also when it repeats the call, and no other router runs it a second time.
#[test]
fn home_killed_during_call_leaves_outcome_unknown() {
    block_on(async {
        let mut site = start_site(2, Duration::from_millis(800)).await;
        let key = format!("{}.1", key_prefix(&site, 0).await);
        let (first, ()) = {
            let home = site.routers[0].pid().expect("the router is running");
            let kill = async {
                tokio::time::sleep(Duration::from_millis(400)).await;
                nix::sys::signal::kill(home, Signal::SIGKILL).expect("the router is running");
            };
            tokio::join!(call_booking(&site, 1, &key, "3000"), kill)
        };
        site.routers[0].kill();
        site.launch(0).expect("the home restarts");
        site.wait_ready(Duration::from_secs(10))
            .await
            .expect("ready");

        let again = [
            call_booking(&site, 0, &key, "1000").await.json(),
            call_booking(&site, 1, &key, "1000").await.json(),
        ];

        assert_eq!(first.json()["outcome"], "unknown");
        assert_eq!(first.json()["attempt"], "unknown");
        for response in again {
            assert_eq!(response["outcome"], "unknown");
            assert_eq!(response["attempt"], "not_run");
        }
        assert_eq!(started_runs(&site), 1);
        site.stop().await;
    });
}

/// Puts a relay that can be cut in front of every booking server, and waits until it is in use.
async fn install_links(site: &Site) -> Vec<Arc<Relay>> {
    let (mut text, mut links) = (site.text.to_string(), Vec::new());
    for server in site.config.servers.values() {
        if server.name.starts_with("book") {
            let target = server
                .address
                .parse()
                .expect("the site has a valid address");
            let link = Relay::start(target).await.expect("a free port");
            text = text.replace(&*server.address, &link.address.to_string());
            links.push(link);
        }
    }
    site.platform
        .publish([("fleet".into(), text.into())].into());
    while site.statuses().await.iter().any(|s| s["revision"] != 2) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    links
}

/// The link to the booking server is cut after the call has reached it. The call runs but its
/// response is lost: the caller must get `unknown`, also when it repeats the call, and no server
/// may get the call a second time.
#[test]
fn link_cut_after_send_leaves_outcome_unknown() {
    block_on(async {
        let site = start_site(2, Duration::from_millis(500)).await;
        let links = install_links(&site).await;
        let key = format!("{}.1", key_prefix(&site, 0).await);
        let cut = async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            for link in &links {
                link.set(LinkState {
                    cut: true,
                    ..LinkState::default()
                });
            }
        };

        let (first, ()) = tokio::join!(call_booking(&site, 1, &key, "1200"), cut);
        for link in &links {
            link.set(LinkState::default());
        }
        let again = call_booking(&site, 1, &key, "1200").await.json();

        assert_eq!(first.json()["outcome"], "unknown");
        assert_eq!(again["outcome"], "unknown");
        assert_eq!(started_runs(&site), 1);
        site.stop().await;
    });
}
