//! Event streams: resumed only where allowed, and never ended as if complete.

use std::time::Duration;

use hawthornmill_gateway::http::head::RequestHead;
use tokio::io::AsyncReadExt;

use super::fleet::{Client, Fleet, Response, request};
use super::scripted_server::{Behavior, Server};
use super::streams::{PartialStream, StreamEnd, StreamFraming, events};
use crate::block_on;

/// Bytes of an event up to the middle of its second line.
const HALF_EVENT_BYTES: usize = 7;

async fn stream(fleet: &Fleet, path: &str, id: &str) -> Response {
    fleet.send_admitted(&request("POST", path, id, "")).await
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
        let resumed = fleet.servers.iter().flat_map(Server::received);
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

/// Returns a stream of `count` events that ends in order inside the event after `whole`.
fn cut_after(framing: StreamFraming, whole: u64, count: u64) -> Behavior {
    Behavior::PartialStream(PartialStream {
        framing,
        count,
        bytes: events(1, whole).len() + HALF_EVENT_BYTES,
        end: StreamEnd::Regular,
    })
}

fn assert_cut_is_visible(framing: StreamFraming) {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[cut_after(framing, 2, 4)]);

        let response = stream(&fleet, "/whole/", "a").await;

        assert!(!response.whole, "a truncated stream looks complete");
        assert_eq!(response.text(), events(1, 2));
    });
}

/// Failure: a server crashes in the middle of a stream that has neither length nor chunks; the end of its
/// connection is taken for the end of the stream.
#[test]
fn stream_without_length_cut_inside_event_is_not_complete() {
    assert_cut_is_visible(StreamFraming::UntilClose);
}

/// Failure: a server's last chunk comes although an event is half; the stream is taken for complete.
#[test]
fn chunks_that_end_inside_event_are_not_complete() {
    assert_cut_is_visible(StreamFraming::Chunked);
}

/// Failure: a stream without length is cut inside its third event, and the caller gets half of it instead of the rest.
#[test]
fn stream_without_length_continues_at_another_server() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let whole = Behavior::PartialStream(PartialStream {
            framing: StreamFraming::UntilClose,
            count: 6,
            bytes: usize::MAX,
            end: StreamEnd::Regular,
        });
        for server in &fleet.servers {
            server.script(&[cut_after(StreamFraming::UntilClose, 2, 6), whole.clone()]);
        }

        // Both servers cut their first stream, so the first request may fail on both.
        let first = stream(&fleet, "/stream/", "a").await;
        let second = stream(&fleet, "/stream/", "b").await;

        for response in [first, second] {
            assert!(events(1, 6).starts_with(&response.text()));
            assert_eq!(response.whole, response.text() == events(1, 6));
        }
        let resumes = fleet.servers.iter().flat_map(Server::received);
        let resumes = resumes.filter(|r| r.head.headers.get_str("last-event-id") == Some("2"));
        assert!(resumes.count() >= 1);
    });
}

/// Behavior for a path that ends with a framing, a number of bytes and an end.
fn partial_stream(head: &RequestHead) -> Behavior {
    let mut words = head.target.rsplit('/');
    let (end, bytes, framing) = (words.next(), words.next(), words.next());
    Behavior::PartialStream(PartialStream {
        framing: match framing {
            Some("chunked") => StreamFraming::Chunked,
            Some("length") => StreamFraming::Length,
            _ => StreamFraming::UntilClose,
        },
        count: 3,
        bytes: bytes.and_then(|b| b.parse().ok()).unwrap_or(0),
        end: match end {
            Some("regular") => StreamEnd::Regular,
            Some("close") => StreamEnd::Close,
            _ => StreamEnd::Reset,
        },
    })
}

/// Returns the response to a request for `path`, which servers that failed lately may reject at first.
async fn admitted_stream(fleet: &Fleet, path: &str) -> Response {
    for number in 0..200 {
        let response = stream(fleet, path, &format!("{path}-{number}")).await;
        if !matches!(response.status(), 429 | 503) {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{path}: every request is rejected");
}

/// Lengths of the parts of a stream of three events that hold whole events only.
fn event_boundaries() -> [usize; 4] {
    [0, 1, 2, 3].map(|n| events(1, n).len())
}

/// Whether a stream of three events of which a server sends `bytes` may reach its caller as complete.
fn may_be_complete(framing: &str, end: &str, bytes: usize) -> bool {
    let is_boundary = event_boundaries().contains(&bytes);
    match (framing, end) {
        ("length", _) => bytes == events(1, 3).len(),
        ("chunked", "regular") => is_boundary,
        ("none", "regular" | "close") => bytes > 0 && is_boundary,
        _ => false,
    }
}

async fn check_cut(fleet: &Fleet, framing: &str, end: &str, bytes: usize) {
    let path = format!("/whole/{framing}/{bytes}/{end}");
    let expect_complete = may_be_complete(framing, end, bytes);
    // A reset may overtake what was sent before it.
    let must_complete = expect_complete && end != "reset";

    let response = admitted_stream(fleet, &path).await;

    if response.status() != 200 {
        assert_eq!(response.status(), 502, "{path}");
        assert!(!must_complete, "{path}: a whole stream fails");
        return;
    }
    let sent = event_boundaries().into_iter().rfind(|b| *b <= bytes);
    let sent = &events(1, 3)[..sent.unwrap_or(0)];
    assert!(sent.starts_with(&response.text()), "{path}");
    let is_boundary = event_boundaries().contains(&response.body.len());
    assert!(is_boundary, "{path}: half an event");
    if response.whole {
        assert!(expect_complete, "{path}: a part looks complete");
        assert_eq!(response.text(), sent, "{path}");
    }
    assert!(
        response.whole || !must_complete,
        "{path}: a whole stream looks cut"
    );
}

/// Failure: some framing and some byte at which a stream is cut make a part of it look complete, or a whole stream look cut.
#[test]
fn stream_cut_at_any_byte_ends_as_complete_only_if_it_may_be() {
    block_on(async {
        let fleet = Fleet::start(1, 4).await;
        for server in &fleet.servers {
            server.set_default(partial_stream);
        }

        for framing in ["chunked", "length", "none"] {
            for end in ["regular", "close", "reset"] {
                for bytes in 0..=events(1, 3).len() {
                    check_cut(&fleet, framing, end, bytes).await;
                }
            }
        }
    });
}

/// Failure: a stream whose events have no ids is sent again from its start after the caller has a part of it.
#[test]
fn stream_without_ids_is_not_repeated_after_it_has_begun() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        for server in &fleet.servers {
            server.script(&[Behavior::StreamWithoutIds(3)]);
        }

        let response = stream(&fleet, "/stream/", "a").await;

        assert!(!response.whole);
        assert_eq!(response.text(), "data: piece\n\n".repeat(3));
        assert_eq!(fleet.runs(), 1);
    });
}

/// Behavior of a server that breaks off streams and answers requests to resume one with something else.
fn resumed_otherwise(head: &RequestHead) -> Behavior {
    match head.headers.get("last-event-id") {
        Some(_) => Behavior::Respond,
        None => Behavior::BrokenStream(2),
    }
}

/// Failure: a stream is resumed at a server whose answer is no stream, and that answer's head becomes a part of the body.
#[test]
fn stream_is_not_continued_by_another_kind_of_response() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        for server in &fleet.servers {
            server.set_default(resumed_otherwise);
        }

        let response = stream(&fleet, "/stream/", "a").await;

        assert!(!response.whole, "a truncated stream looks complete");
        assert_eq!(response.text(), events(1, 2));
        assert_eq!(fleet.runs(), 2);
    });
}

/// Failure: a route is not marked as streaming, and a stream that is cut inside an event counts as a complete body there.
#[test]
fn event_stream_of_plain_route_cut_inside_event_is_not_complete() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[cut_after(StreamFraming::UntilClose, 2, 4)]);

        let response = stream(&fleet, "/once/", "a").await;

        assert!(!response.whole, "a truncated stream looks complete");
        assert_eq!(response.text(), events(1, 2));
    });
}

/// Failure: the head of a stream is asked for, and a last chunk follows it, which the next answer begins with.
#[test]
fn head_of_stream_has_no_body() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::PartialStream(PartialStream {
            framing: StreamFraming::Chunked,
            count: 1,
            bytes: 0,
            end: StreamEnd::Close,
        })]);
        let mut client = Client::connect(fleet.gateways[0].front()).await;
        client
            .send(request("HEAD", "/whole/", "a", "").as_bytes())
            .await;
        tokio::time::sleep(Duration::from_millis(300)).await;

        let mut received = vec![0; 4096];
        let length = client
            .stream
            .read(&mut received)
            .await
            .expect("the gateway responds");

        let received = String::from_utf8_lossy(&received[..length]).into_owned();
        assert!(received.starts_with("HTTP/1.1 200"), "{received}");
        assert!(
            received.ends_with("\r\n\r\n") && !received.contains("\r\n0\r\n"),
            "{received}"
        );
    });
}
