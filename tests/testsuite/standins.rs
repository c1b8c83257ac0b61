//! The stand-ins do what the tests that lean on them need.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hawthornmill_lab::standin::engine::{Engine, EngineModel};
use hawthornmill_lab::standin::platform::{Mode, Platform};
use hawthornmill_lab::standin::relay::{LinkState, Relay};
use hawthornmill_lab::standin::serve::{Running, serve};
use hawthornmill_test_support::procs::{Response, send, small_fleet};
use reqwest::Client;

use crate::block_on;

fn platform() -> (Arc<Platform>, Running) {
    let platform = Platform::new(Duration::ZERO);
    let running = serve("127.0.0.1:0", platform.endpoint()).expect("a port is free");
    (platform, running)
}

async fn manifest(running: &Running, after: u64, wait_ms: u64) -> Option<Response> {
    let url = format!(
        "http://{}/v1/manifest?after={after}&wait_ms={wait_ms}",
        running.address
    );
    send(Client::new().get(url)).await
}

#[test]
fn the_platform_watch_answers_as_soon_as_a_revision_is_published() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        let late = Arc::clone(&platform);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            late.publish(small_fleet().values());
        });

        let answer = manifest(&running, 1, 10_000).await.expect("it answers");

        assert_eq!(answer.json()["revision"], 2);
        assert_eq!(platform.calls()["manifest"], 1);
    });
}

#[test]
fn the_platform_can_be_down_and_can_show_an_older_revision() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        platform.publish(small_fleet().values());

        platform.set_mode(Mode::Down);
        let down = manifest(&running, 0, 0).await.expect("it answers");
        platform.set_mode(Mode::Older);
        let older = manifest(&running, 0, 0).await.expect("it answers");

        assert_eq!(down.status, 503);
        assert_eq!(older.json()["revision"], 1);
    });
}

#[test]
fn an_engine_is_slower_with_more_requests_in_its_batch() {
    block_on(async {
        let model = EngineModel {
            slowdown: 1.0,
            ..EngineModel::default()
        };
        let running = serve("127.0.0.1:0", Engine::new(model).endpoint()).expect("a port is free");
        let url = format!("http://{}/generate", running.address);
        let client = Client::new();
        let one = |n: usize| {
            let body = format!("{{\"tag\":\"x/{n}\",\"tokens\":40}}");
            send(client.post(&url).body(body))
        };

        let start = Instant::now();
        one(0).await.expect("it answers");
        let alone = start.elapsed();
        let start = Instant::now();
        futures_util::future::join_all((1..9).map(one)).await;
        let together = start.elapsed();

        // Eight at once take eight times as long each; half of that leaves room for a busy machine.
        assert!(together > alone * 4, "{alone:?} {together:?}");
    });
}

#[test]
fn a_cut_link_passes_nothing_until_it_is_mended() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        let relay = Relay::start(running.address).await.expect("a port is free");
        let url = format!("http://{}/v1/manifest", relay.address);
        let client = Client::new();
        let cut = LinkState {
            cut: true,
            ..LinkState::default()
        };

        relay.set(cut);
        let asked = client.get(&url).timeout(Duration::from_millis(300)).send();
        let during = asked.await.is_ok();
        relay.set(LinkState::default());
        let after = send(client.get(&url)).await.map(|a| a.status);

        assert!(!during);
        assert_eq!(after, Some(200));
    });
}

#[test]
fn a_limited_link_takes_its_time() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        let relay = Relay::start(running.address).await.expect("a port is free");
        let url = format!("http://{}/v1/values/fleet?revision=1", relay.address);
        let length = small_fleet().text().len() as u64;
        relay.set(LinkState {
            rate: length * 2,
            ..LinkState::default()
        });

        let start = Instant::now();
        let answer = send(Client::new().get(&url)).await.expect("it answers");

        assert_eq!(answer.text.len() as u64, length);
        assert!(start.elapsed() >= Duration::from_millis(500));
    });
}
