//! Requests that must not be executed twice, and what a rejection promises.

use std::time::Duration;

use super::fleet::{Fleet, request, send_request};
use super::scripted_server::Behavior;
use crate::block_on;

/// Failure: a booking is executed, but the connection breaks before the response. A retry would book twice,
/// and so would the client if it received a 503.
#[test]
fn possibly_executed_request_is_not_retried_or_rejected() {
    block_on(async {
        let fleet = Fleet::start(1, 3).await;
        for behavior in [
            Behavior::Reset,
            Behavior::TruncatedBody,
            Behavior::InvalidResponse,
        ] {
            fleet
                .servers
                .iter()
                .for_each(|s| s.script(std::slice::from_ref(&behavior)));
            let before = fleet.runs();

            let response = fleet
                .send_admitted(&request("POST", "/once/", "a", ""))
                .await;

            let status = response.status();
            assert_eq!((status, fleet.runs() - before), (502, 1), "{behavior:?}");
            use_up_scripts(&fleet).await;
        }
    });
}

/// Uses up the remaining scripted behavior of the servers.
async fn use_up_scripts(fleet: &Fleet) {
    for server in &fleet.servers {
        let text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        let mut stream = tokio::net::TcpStream::connect(server.address)
            .await
            .expect("the server accepts connections");
        let sent = tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await;
        sent.expect("the server receives the request");
        let mut byte = [0; 1];
        let _read = tokio::time::timeout(
            Duration::from_secs(1),
            tokio::io::AsyncReadExt::read(&mut stream, &mut byte),
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
            let response = send_request(
                front,
                request("POST", "/once/", &format!("id-{number}"), "").as_bytes(),
            )
            .await;
            assert_eq!(response.expect("the gateway responds").status(), 200);
        }

        assert_eq!(fleet.runs(), 4);
    });
}

/// Failure: one server resets the connection of an idempotent request, and another reports that it did not
/// execute it. A rejection would tell the client that nothing was executed, but the first server may have.
#[test]
fn possible_earlier_execution_is_not_reported_as_rejection() {
    block_on(async {
        // Covers both orders: in one of the fleets, the server that is tried first resets the connection.
        for broken in [0, 1] {
            let fleet = Fleet::start(1, 2).await;
            fleet.servers[broken].script(&[Behavior::Reset]);
            fleet.servers[1 - broken].script(&[Behavior::NotExecuted]);

            let text = request("GET", "/get/", "a", "");
            let response = send_request(fleet.gateways[0].front(), text.as_bytes()).await;

            assert_eq!(response.expect("the gateway responds").status(), 502);
            assert_eq!(fleet.servers[broken].executed_count(), 1);
        }
    });
}

/// All servers report that they did not execute the request, so the client may retry after a rejection.
#[test]
fn rejection_tells_that_nothing_was_executed() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.script(&[Behavior::NotExecuted, Behavior::NotExecuted]));

        let response = send_request(
            fleet.gateways[0].front(),
            request("POST", "/once/", "a", "").as_bytes(),
        )
        .await;

        let response = response.expect("the gateway responds");
        assert_eq!((response.status(), fleet.runs()), (503, 0));
        assert!(
            response
                .field("retry-after")
                .is_some_and(|t| t.parse::<f64>().is_ok_and(|s| s > 0.0))
        );
        assert_eq!(response.field("server-stamp"), None);
    });
}

#[test]
fn reused_server_address_is_detected() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet.servers[0].script(&[Behavior::Misdirected]);

        for number in 0..3 {
            let text = request("POST", "/once/", &format!("id-{number}"), "");
            let response = fleet.send_admitted(&text).await;
            assert_eq!(response.status(), 200);
        }

        assert_eq!(fleet.runs(), 3);
    });
}

#[test]
fn idempotent_request_is_retried_after_lost_response() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let front = fleet.gateways[0].front();
        for behavior in [
            Behavior::Reset,
            Behavior::TruncatedBody,
            Behavior::InvalidResponse,
            Behavior::ServerError,
        ] {
            fleet.servers[0].script(std::slice::from_ref(&behavior));
            for number in 0..3 {
                let response = send_request(
                    front,
                    request("GET", "/get/", &format!("{behavior:?}-{number}"), "").as_bytes(),
                )
                .await;
                let response = response.expect("the gateway responds");
                assert_eq!(response.status(), 200, "{behavior:?}");
                assert!(
                    response
                        .text()
                        .starts_with(&format!("answer to {behavior:?}-{number} by"))
                );
            }
        }
    });
}

/// Failure: all servers respond with an error, and the client does not receive it as the server sent it.
#[test]
fn server_error_from_all_servers_is_forwarded() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        fleet
            .servers
            .iter()
            .for_each(|s| s.script(&[Behavior::ServerError]));

        let response = fleet.send_admitted(&request("GET", "/get/", "a", "")).await;

        assert_eq!(
            (response.status(), response.text().as_str()),
            (500, "failed")
        );
        assert!(response.field("server-stamp").is_some());
        assert_eq!(fleet.runs(), 2);
    });
}

/// Failure: a server accepts requests and never responds. An idempotent request waits there until its
/// client gives up, although another server is idle.
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
            send_request(front, texts[0].as_bytes()),
            send_request(front, texts[1].as_bytes()),
            send_request(front, texts[2].as_bytes()),
            send_request(front, texts[3].as_bytes()),
        );

        for response in [a, b, c, d] {
            assert_eq!(response.expect("the gateway responds").status(), 200);
        }
        assert!(
            fleet.servers[0].executed_count() > 0,
            "the silent server received none of them"
        );
    });
}

/// Failure: a request outlives the timeout of its route, or its error hides that a server may have
/// executed it.
#[test]
fn route_timeout_after_send_gets_504() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::Hang]);
        let began = std::time::Instant::now();

        let response = send_request(
            fleet.gateways[0].front(),
            request("GET", "/brief/", "a", "").as_bytes(),
        )
        .await;

        assert_eq!(response.expect("the gateway responds").status(), 504);
        assert!(began.elapsed() < Duration::from_secs(2));
    });
}
