//! Spans of each hop belong to the caller's trace.

use std::time::Duration;

use hawthornmill_lab::demo::site::SitePlan;
use hawthornmill_test_support::procs::{DOMAINS, send, small_fleet, start};
use reqwest::Client;

use crate::{ROUTER, block_on};

/// Trace id of the caller.
const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

/// Guards against calls that can't be traced from the caller to the server: the router must continue
/// the trace of the caller's `traceparent` with a span for each step.
#[test]
fn each_hop_of_a_call_has_a_span_under_the_callers_trace() {
    block_on(async {
        let plan = SitePlan::new(&small_fleet().text(), DOMAINS, 1);
        let site = start(ROUTER, plan).await;
        let url = format!(
            "http://{}/v1/call/drafting/generate",
            site.routers[0].listed.http
        );
        let call = Client::new()
            .post(url)
            .bearer_auth("token-big")
            .header("traceparent", format!("00-{TRACE_ID}-00f067aa0ba902b7-01"))
            .body("{\"tag\":\"big/1\",\"tokens\":3}");

        let response = send(call).await.expect("the call failed");

        assert_eq!(response.status, 200);
        let names = wait_for_spans(&site.routers[0].log, 3).await;
        assert_eq!(names, ["call", "server", "wait"]);
        site.stop().await;
    });
}

/// Waits up to 10 s for `count` spans of the trace and returns their sorted names.
async fn wait_for_spans(log: &std::path::Path, count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..100 {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        names = text
            .lines()
            .filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok())
            .filter(|l| l["kind"] == "span" && l["trace"] == TRACE_ID)
            .map(|l| l["name"].as_str().unwrap_or_default().to_owned())
            .collect();
        names.sort();
        if names.len() >= count {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    names
}
