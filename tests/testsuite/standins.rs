//! The stand-ins for the platform, engines and links behave as the other tests assume.

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
    let running = serve("127.0.0.1:0", platform.endpoint()).expect("failed to bind a port");
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
fn manifest_watch_returns_when_a_revision_is_published() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        let publisher = Arc::clone(&platform);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            publisher.publish(small_fleet().values());
        });

        let response = manifest(&running, 1, 10_000)
            .await
            .expect("the request failed");

        assert_eq!(response.json()["revision"], 2);
        assert_eq!(platform.calls()["manifest"], 1);
    });
}

#[test]
fn platform_modes_return_an_error_or_an_older_revision() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        platform.publish(small_fleet().values());

        platform.set_mode(Mode::Down);
        let down = manifest(&running, 0, 0).await.expect("the request failed");
        platform.set_mode(Mode::Older);
        let older = manifest(&running, 0, 0).await.expect("the request failed");

        assert_eq!(down.status, 503);
        assert_eq!(older.json()["revision"], 1);
    });
}

#[test]
fn engine_slows_down_with_batch_size() {
    block_on(async {
        let model = EngineModel {
            slowdown: 1.0,
            ..EngineModel::default()
        };
        let running =
            serve("127.0.0.1:0", Engine::new(model).endpoint()).expect("failed to bind a port");
        let url = format!("http://{}/generate", running.address);
        let client = Client::new();
        let generate = |n: usize| {
            let body = format!("{{\"tag\":\"x/{n}\",\"tokens\":40}}");
            send(client.post(&url).body(body))
        };

        let start = Instant::now();
        generate(0).await.expect("the request failed");
        let alone_time = start.elapsed();
        let start = Instant::now();
        futures_util::future::join_all((1..9).map(generate)).await;
        let concurrent_time = start.elapsed();

        // Each of eight concurrent requests takes eight times as long; the bound of four allows for
        // a busy machine.
        assert!(
            concurrent_time > alone_time * 4,
            "{alone_time:?} {concurrent_time:?}"
        );
    });
}

#[test]
fn cut_link_forwards_nothing_until_it_is_restored() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        let relay = Relay::start(running.address)
            .await
            .expect("failed to bind a port");
        let url = format!("http://{}/v1/manifest", relay.address);
        let client = Client::new();
        let cut = LinkState {
            cut: true,
            ..LinkState::default()
        };

        relay.set(cut);
        let request = client.get(&url).timeout(Duration::from_millis(300)).send();
        let reached = request.await.is_ok();
        relay.set(LinkState::default());
        let status = send(client.get(&url)).await.map(|a| a.status);

        assert!(!reached);
        assert_eq!(status, Some(200));
    });
}

#[test]
fn rate_limited_link_delays_the_response() {
    block_on(async {
        let (platform, running) = platform();
        platform.publish(small_fleet().values());
        let relay = Relay::start(running.address)
            .await
            .expect("failed to bind a port");
        let url = format!("http://{}/v1/values/fleet?revision=1", relay.address);
        let length = small_fleet().text().len() as u64;
        relay.set(LinkState {
            rate: length * 2,
            ..LinkState::default()
        });

        let start = Instant::now();
        let response = send(Client::new().get(&url))
            .await
            .expect("the request failed");

        assert_eq!(response.text.len() as u64, length);
        assert!(start.elapsed() >= Duration::from_millis(500));
    });
}
