//! What gateway processes make of the speed that servers report.

use super::fleet::{Fleet, request, send_request, wait_until};
use super::scripted_server::Behavior;
use crate::block_on;

/// Sends `count` requests to the first gateway, one after the other; returns their status.
async fn send_many(fleet: &Fleet, count: usize) -> Vec<u16> {
    let mut all = Vec::new();
    for number in 0..count {
        let text = request("GET", "/get/", &format!("id-{number}"), "");
        let response = send_request(fleet.gateways[0].front(), text.as_bytes()).await;
        all.push(
            response
                .unwrap_or_else(|| panic!("no response {number}"))
                .status(),
        );
    }
    all
}

/// Failure: a figure stays with the instance that read it, or an operator sees nothing of it.
#[test]
fn figure_is_used_logged_and_told() {
    block_on(async {
        let fleet = Fleet::start(2, 1).await;
        fleet.servers[0].set_default(|_| Behavior::Load("1,0,8,250"));

        let status = send_many(&fleet, 2).await;
        wait_until("the other gateway hears of the slow server", || async {
            send_many(&fleet, 1).await;
            let metrics = fleet.gateways[1].metrics().await;
            metrics.contains("hawthornmill_slow_servers 1")
        })
        .await;

        assert_eq!(status, [200; 2]);
        wait_until("the log is written", || async {
            fleet.gateways[0].logged("sent").len() >= 2
        })
        .await;
        let sent = fleet.gateways[0].logged("sent");
        assert!(sent[0]["speed"].is_null());
        let speed = &sent[1]["speed"];
        assert!(speed["percent"].as_u64() > Some(150), "{speed}");
        assert!(speed["age_ms"].as_u64() < Some(600), "{speed}");
    });
}

/// Failure: a figure that can't be read ends a response, or fills the log.
#[test]
fn unreadable_figures_stop_no_response() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let loads = [
            "",
            "x",
            "-1,-1,-1,-1",
            "1,0,8,nan",
            "1,0,8,100,9,9,9,9,9",
            "\u{fe}",
        ];
        fleet.servers[0].script(&loads.map(Behavior::Load));

        let status = send_many(&fleet, loads.len()).await;

        assert_eq!(status, [200; 6]);
        let metrics = fleet.gateways[0].metrics().await;
        // Two counts are missing in each of the values with one part.
        let expected = "hawthornmill_unreadable_figures_total 11";
        assert!(metrics.contains(expected), "{metrics}");
        wait_until("the log is written", || async {
            fleet.gateways[0].logged("ended").len() >= loads.len()
        })
        .await;
        assert_eq!(fleet.gateways[0].logged("load_unreadable").len(), 1);
    });
}
