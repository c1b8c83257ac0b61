//! Streams: event by event, resumed where that is allowed, never ended falsely.

use super::fleet::{Answer, Fleet, call, request};
use super::scripted_server::Behavior;
use crate::block_on;

async fn stream(fleet: &Fleet, path: &str, id: &str) -> Answer {
    let answer = call(
        fleet.gateways[0].front(),
        request("POST", path, id, "").as_bytes(),
    )
    .await;
    answer.expect("there is an answer")
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

        let answer = stream(&fleet, "/whole/", "a").await;

        assert!(answer.whole);
        assert_eq!(answer.text(), events(1, 12));
    });
}

/// A server breaks off in the middle of the sixth event. Another one goes on behind the fifth, and
/// the caller sees one stream without a gap, a repetition or half an event.
#[test]
fn resumable_stream_continues_at_another_server() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.script(&[Behavior::BrokenStream(5), Behavior::Stream(9)]));
        // The first server of the two breaks off; the second one's script must begin with a stream.
        let answer = loop {
            let answer = stream(&fleet, "/stream/", "a").await;
            if answer.whole {
                break answer;
            }
        };

        assert!(answer.text() == events(1, 9) || answer.text() == events(1, 5) + &events(6, 9));
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

        let answer = stream(&fleet, "/whole/", "a").await;

        assert!(!answer.whole, "half a stream passes for a whole one");
        assert_eq!(answer.text(), events(1, 5));
        assert_eq!(fleet.runs(), 1);
    });
}
