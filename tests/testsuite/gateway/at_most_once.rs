//! What must not run twice, and what a refusal says.

use std::time::Duration;

use super::fleet::{Fleet, call, request};
use super::scripted_server::Behavior;
use crate::block_on;

/// A booking runs, and the server's connection breaks before the answer. Sent to another server, it
/// would be booked twice; refused with 503, the caller would send it again itself.
#[test]
fn possibly_executed_request_is_not_retried_or_rejected() {
    block_on(async {
        let fleet = Fleet::start(1, 3).await;
        for act in [
            Behavior::Reset,
            Behavior::TruncatedBody,
            Behavior::InvalidResponse,
        ] {
            fleet
                .servers
                .iter()
                .for_each(|s| s.script(std::slice::from_ref(&act)));
            let before = fleet.runs();

            let answer = call(
                fleet.gateways[0].front(),
                request("POST", "/once/", "a", "").as_bytes(),
            )
            .await;

            let status = answer.expect("there is an answer").status();
            assert_eq!((status, fleet.runs() - before), (502, 1), "{act:?}");
            drain(&fleet).await;
        }
    });
}

/// Uses up what is left of the servers' scripts.
async fn drain(fleet: &Fleet) {
    for server in &fleet.servers {
        let text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        let mut link = tokio::net::TcpStream::connect(server.address)
            .await
            .expect("the server listens");
        let sent = tokio::io::AsyncWriteExt::write_all(&mut link, text.as_bytes()).await;
        sent.expect("the server takes the bytes");
        let mut byte = [0; 1];
        let _read = tokio::time::timeout(
            Duration::from_secs(1),
            tokio::io::AsyncReadExt::read(&mut link, &mut byte),
        )
        .await;
    }
}

#[test]
fn unexecuted_request_is_retried_elsewhere() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet.servers[0].script(&[
            Behavior::NotExecuted,
            Behavior::NotExecuted,
            Behavior::NotExecuted,
            Behavior::NotExecuted,
        ]);
        let front = fleet.gateways[0].front();

        for number in 0..4 {
            let answer = call(
                front,
                request("POST", "/once/", &format!("id-{number}"), "").as_bytes(),
            )
            .await;
            assert_eq!(answer.expect("there is an answer").status(), 200);
        }

        assert_eq!(fleet.runs(), 4);
    });
}

/// One server breaks off a request that may repeat, and another one says that it did not run it. The
/// first may have run it all the same. Called refused, its caller would believe that nothing happened.
#[test]
fn possible_earlier_execution_is_not_reported_as_rejection() {
    block_on(async {
        // Whichever of the two has the request first, it breaks off there in one of the fleets.
        for broken in [0, 1] {
            let fleet = Fleet::start(1, 2).await;
            fleet.servers[broken].script(&[Behavior::Reset]);
            fleet.servers[1 - broken].script(&[Behavior::NotExecuted]);

            let text = request("GET", "/get/", "a", "");
            let answer = call(fleet.gateways[0].front(), text.as_bytes()).await;

            assert_eq!(answer.expect("there is an answer").status(), 502);
            assert_eq!(fleet.servers[broken].executed_count(), 1);
        }
    });
}

/// Every server says that it did not run the request. Then the refusal is true, and the caller may
/// come back.
#[test]
fn rejection_tells_that_nothing_was_executed() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.script(&[Behavior::NotExecuted, Behavior::NotExecuted]));

        let answer = call(
            fleet.gateways[0].front(),
            request("POST", "/once/", "a", "").as_bytes(),
        )
        .await;

        let answer = answer.expect("there is an answer");
        assert_eq!((answer.status(), fleet.runs()), (503, 0));
        assert!(
            answer
                .field("retry-after")
                .is_some_and(|t| t.parse::<f64>().is_ok_and(|s| s > 0.0))
        );
        assert_eq!(answer.field("server-stamp"), None);
    });
}

#[test]
fn reused_server_address_is_detected() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet.servers[0].script(&[Behavior::Misdirected]);
        let front = fleet.gateways[0].front();

        for number in 0..3 {
            let answer = call(
                front,
                request("POST", "/once/", &format!("id-{number}"), "").as_bytes(),
            )
            .await;
            assert_eq!(answer.expect("there is an answer").status(), 200);
        }

        assert_eq!(fleet.runs(), 3);
    });
}

#[test]
fn idempotent_request_is_retried_after_lost_response() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let front = fleet.gateways[0].front();
        for act in [
            Behavior::Reset,
            Behavior::TruncatedBody,
            Behavior::InvalidResponse,
            Behavior::ServerError,
        ] {
            fleet.servers[0].script(std::slice::from_ref(&act));
            for number in 0..3 {
                let answer = call(
                    front,
                    request("GET", "/get/", &format!("{act:?}-{number}"), "").as_bytes(),
                )
                .await;
                let answer = answer.expect("there is an answer");
                assert_eq!(answer.status(), 200, "{act:?}");
                assert!(
                    answer
                        .text()
                        .starts_with(&format!("answer to {act:?}-{number} by"))
                );
            }
        }
    });
}

/// Both servers fail. The caller gets the failure as the server gave it, with the server's stamp.
#[test]
fn server_error_from_all_servers_is_forwarded() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.script(&[Behavior::ServerError]));

        let answer = call(
            fleet.gateways[0].front(),
            request("GET", "/get/", "a", "").as_bytes(),
        )
        .await;

        let answer = answer.expect("there is an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (500, "failed"));
        assert!(answer.field("server-stamp").is_some());
        assert_eq!(fleet.runs(), 2);
    });
}

/// A server takes requests and answers none of them, while its connections are good. A request that
/// may repeat would wait there until its caller gives up, with another server idle.
#[test]
fn silent_server_does_not_hold_idempotent_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet.servers[0].script(&[
            Behavior::Hang,
            Behavior::Hang,
            Behavior::Hang,
            Behavior::Hang,
        ]);
        let front = fleet.gateways[0].front();
        let texts: Vec<String> = (0..4)
            .map(|n| request("GET", "/get/", &format!("id-{n}"), ""))
            .collect();

        let (a, b, c, d) = tokio::join!(
            call(front, texts[0].as_bytes()),
            call(front, texts[1].as_bytes()),
            call(front, texts[2].as_bytes()),
            call(front, texts[3].as_bytes()),
        );

        for answer in [a, b, c, d] {
            assert_eq!(answer.expect("there is an answer").status(), 200);
        }
        assert!(
            fleet.servers[0].executed_count() > 0,
            "the silent server had none of them"
        );
    });
}

/// A process must not hold a request beyond the route's time; what it says then depends on whether
/// a server had the request.
#[test]
fn route_timeout_after_send_gets_504() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::Hang]);
        let began = std::time::Instant::now();

        let answer = call(
            fleet.gateways[0].front(),
            request("GET", "/brief/", "a", "").as_bytes(),
        )
        .await;

        assert_eq!(answer.expect("there is an answer").status(), 504);
        assert!(began.elapsed() < Duration::from_secs(2));
    });
}
