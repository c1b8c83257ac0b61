//! Calls that must not repeat, through real routers whose homes fail.

use std::sync::Arc;
use std::time::Duration;

use hawthornmill_lab::demo::site::{Site, SitePlan};
use hawthornmill_lab::history::storm::books;
use hawthornmill_lab::standin::relay::{LinkState, Relay};
use hawthornmill_test_support::procs::{DOMAINS, Response, send, small_fleet, start};
use nix::sys::signal::Signal;

use crate::{ROUTER, block_on};

const TAG: &str = "small-1/1";

/// Routers around bookings that take `work`.
async fn site(routers: usize, work: Duration) -> Site {
    let mut plan = SitePlan::new(&small_fleet().text(), DOMAINS, routers);
    plan.extra = "[discovery]\nttl_ms = 300\n".into();
    plan.work = work;
    start(ROUTER, plan).await
}

async fn prefix(site: &Site, router: usize) -> String {
    let url = format!("http://{}/v1/addresses", site.routers[router].listed.http);
    let answer = send(reqwest::Client::new().get(url)).await;
    let json = answer.expect("the router answers").json();
    json["key_prefix"].as_str().unwrap_or_default().to_owned()
}

/// A booking through `router` by a caller who waits for `patience`.
async fn book(site: &Site, router: usize, key: &str, patience: &str) -> Response {
    let url = format!(
        "http://{}/v1/call/booking/run",
        site.routers[router].listed.http
    );
    let request = reqwest::Client::new()
        .post(url)
        .bearer_auth("token-small-1")
        .header("idempotency-key", key)
        .header("hawthornmill-timeout-ms", patience)
        .body(format!("{{\"tag\":\"{TAG}\"}}"));
    send(request).await.expect("the router answers")
}

fn runs(site: &Site) -> u32 {
    books(site).get(TAG).copied().unwrap_or(0)
}

/// A booking is made, and the caller asks again at another router, with a header that is refused.
/// That router knows nothing of the key and must not say that the booking was not made.
#[test]
fn a_refusal_on_arrival_says_nothing_of_the_key() {
    block_on(async {
        let site = site(2, Duration::from_millis(20)).await;
        let key = format!("{}.1", prefix(&site, 0).await);
        let first = book(&site, 1, &key, "2000").await;

        let second = book(&site, 1, &key, "no number").await.json();

        assert_eq!((first.status, runs(&site)), (200, 1));
        assert_eq!(second["code"], 3006);
        assert_eq!(second["outcome"], "unknown");
        assert_eq!(second["attempt"], "not_run");
        assert!(second["key_prefix"].is_string());
        site.stop().await;
    });
}

/// The home of a key is stopped, its caller waits in vain, and the home goes on. It finds the call
/// in its socket with some of its time left, as it seems, and must not run it any more.
#[test]
fn a_call_that_waited_in_a_stopped_home_is_not_run() {
    block_on(async {
        let site = site(2, Duration::from_millis(20)).await;
        let key = format!("{}.1", prefix(&site, 0).await);
        site.routers[0].signal(Signal::SIGSTOP);

        let answer = book(&site, 1, &key, "1000").await.json();
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.routers[0].signal(Signal::SIGCONT);
        tokio::time::sleep(Duration::from_millis(1500)).await;

        assert_eq!(answer["outcome"], "unknown");
        assert_eq!(runs(&site), 0);
        site.stop().await;
    });
}

/// The home is killed while its booking is made. What became of it can't be told: the caller hears
/// `unknown`, also when it asks again, and no other router makes the booking a second time.
#[test]
fn a_home_that_is_killed_during_the_run_leaves_it_unknown() {
    block_on(async {
        let mut site = site(2, Duration::from_millis(800)).await;
        let key = format!("{}.1", prefix(&site, 0).await);
        let (first, ()) = {
            let home = site.routers[0].pid().expect("it runs");
            let kill = async {
                tokio::time::sleep(Duration::from_millis(400)).await;
                nix::sys::signal::kill(home, Signal::SIGKILL).expect("it runs");
            };
            tokio::join!(book(&site, 1, &key, "3000"), kill)
        };
        site.routers[0].kill();
        site.launch(0).expect("the home starts anew");
        site.wait_ready(Duration::from_secs(10))
            .await
            .expect("ready");

        let again = [
            book(&site, 0, &key, "1000").await.json(),
            book(&site, 1, &key, "1000").await.json(),
        ];

        assert_eq!(first.json()["outcome"], "unknown");
        assert_eq!(first.json()["attempt"], "unknown");
        for answer in again {
            assert_eq!(answer["outcome"], "unknown");
            assert_eq!(answer["attempt"], "not_run");
        }
        assert_eq!(runs(&site), 1);
        site.stop().await;
    });
}

/// Puts a link that can be cut in front of every booking server, and waits until it is in use.
async fn links(site: &Site) -> Vec<Arc<Relay>> {
    let (mut text, mut links) = (site.text.to_string(), Vec::new());
    for server in site.config.servers.values() {
        if server.name.starts_with("book") {
            let target = server.address.parse().expect("the site's address");
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

/// The link to the booking server is cut after the call has reached it. The booking is made, its
/// answer never comes: the caller must hear `unknown`, also when it asks again, and no server may
/// be asked a second time.
#[test]
fn a_link_that_is_cut_after_the_call_left_makes_it_unknown() {
    block_on(async {
        let site = site(2, Duration::from_millis(500)).await;
        let links = links(&site).await;
        let key = format!("{}.1", prefix(&site, 0).await);
        let cut = async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            for link in &links {
                link.set(LinkState {
                    cut: true,
                    ..LinkState::default()
                });
            }
        };

        let (first, ()) = tokio::join!(book(&site, 1, &key, "1200"), cut);
        for link in &links {
            link.set(LinkState::default());
        }
        let again = book(&site, 1, &key, "1200").await.json();

        assert_eq!(first.json()["outcome"], "unknown");
        assert_eq!(again["outcome"], "unknown");
        assert_eq!(runs(&site), 1);
        site.stop().await;
    });
}
