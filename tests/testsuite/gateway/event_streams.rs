//! Event streams: resumed only where allowed, and never ended as if complete.

use super::fleet::{Fleet, Response, request, send_request};
use super::scripted_server::Behavior;
use crate::block_on;

async fn stream(fleet: &Fleet, path: &str, id: &str) -> Response {
    let response = send_request(
        fleet.gateways[0].front(),
        request("POST", path, id, "").as_bytes(),
    )
    .await;
    response.expect("the gateway responds")
}

fn events(first: u64, last: u64) -> String {
    let event = |n| format!("id: {n}\ndata: piece {n}\n\n");
    (first..=last).map(event).collect::<Vec<_>>().concat()
}

#[test]
fn stream_is_forwarded_completely() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::Stream(12)]);

        let response = stream(&fleet, "/whole/", "a").await;

        assert!(response.whole);
        assert_eq!(response.text(), events(1, 12));
    });
}

/// Failure: a server fails in the middle of the sixth event, and the resumed stream has a gap, a repeated
/// event or half an event.
#[test]
fn resumable_stream_continues_at_another_server() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.script(&[Behavior::BrokenStream(5), Behavior::Stream(9)]));
        // Both scripts begin with a broken stream, so an attempt may fail on both servers.
        let response = loop {
            let response = stream(&fleet, "/stream/", "a").await;
            if response.whole {
                break response;
            }
        };

        assert!(response.text() == events(1, 9) || response.text() == events(1, 5) + &events(6, 9));
        let resumed = fleet
            .servers
            .iter()
            .flat_map(super::scripted_server::Server::received);
        assert!(
            resumed
                .filter(|a| a.head.headers.get_str("last-event-id") == Some("5"))
                .count()
                >= 1
        );
    });
}

#[test]
fn non_resumable_stream_is_visibly_truncated() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.script(&[Behavior::BrokenStream(5)]));

        let response = stream(&fleet, "/whole/", "a").await;

        assert!(!response.whole, "a truncated stream looks complete");
        assert_eq!(response.text(), events(1, 5));
        assert_eq!(fleet.runs(), 1);
    });
}
