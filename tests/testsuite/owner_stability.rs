//! Stability of pool owners with real router processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hawthornmill_test_support::procs::{send, small_site};

use crate::{ROUTER, block_on};

/// Bursts of calls at one router after another change constantly which instances exchange heartbeats.
/// The end of heartbeats was mistaken for a failure: pools changed owners several times a second, and
/// servers got more calls than they have slots.
#[test]
fn owners_are_stable_under_bursty_load() {
    block_on(async {
        let site = small_site(ROUTER, 8).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let client = reqwest::Client::new();
        let mut owners: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();

        for round in 0..32 {
            let http = &site.routers[round % 8].listed.http;
            let calls = (0..4).map(|number| {
                let body = serde_json::json!({"tag": format!("big/{round}-{number}"), "tokens": 4});
                let request = client
                    .post(format!("http://{http}/v1/call/drafting/generate"))
                    .header("authorization", "Bearer token-big")
                    .body(body.to_string());
                send(request)
            });
            futures_util::future::join_all(calls).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
            for status in site.statuses().await {
                for pool in status["pools"].as_array().into_iter().flatten() {
                    let name = format!("{}@{}", pool["service"], pool["domain"]);
                    owners
                        .entry(name)
                        .or_default()
                        .insert(pool["owner"].to_string());
                }
            }
        }

        assert_eq!(owners.len(), 6);
        assert!(owners.values().all(|o| o.len() <= 2), "{owners:?}");
        site.stop().await;
    });
}
