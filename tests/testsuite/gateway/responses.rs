//! Responses that are duplicate, late, early or without a length, and client connections.

use std::time::Duration;

use super::fleet::{Client, Fleet, request, send_request, wait_until};
use super::scripted_server::Behavior;
use crate::block_on;

/// Failure: a server responds twice to one request, and the second response is forwarded to another client.
#[test]
fn duplicate_response_is_not_forwarded() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        for pause in [0, 100] {
            fleet.servers[0].script(&[Behavior::DuplicateResponse]);
            for number in 0..3 {
                let id = format!("id-{pause}-{number}");
                let response = fleet.send_admitted(&request("GET", "/get/", &id, "")).await;
                assert_eq!(response.text(), format!("answer to {id} by i-0"));
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    });
}

#[test]
fn response_without_length_is_complete() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::NoLength]);

        let response = send_request(
            fleet.gateways[0].front(),
            request("GET", "/get/", "a", "").as_bytes(),
        )
        .await;

        let response = response.expect("the gateway responds");
        assert!(response.whole);
        assert_eq!(response.text(), "whole without a length");
    });
}

/// Failure: the connection of an answer without length is reset, and what came of it looks complete.
#[test]
fn reset_response_without_length_is_not_complete() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::ResetWithoutLength]);

        let response = fleet
            .send_admitted(&request("GET", "/once/", "a", ""))
            .await;

        assert_eq!(response.status(), 502);
    });
}

/// Failure: an error answers a `HEAD` request with a body, which its client takes for the answer to the next request.
#[test]
fn error_response_to_head_request_has_no_body() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let gateway = &fleet.gateways[0];
        let requests = [
            (
                gateway.front(),
                request("HEAD", "/once/", "failed", ""),
                502,
            ),
            (
                gateway.front(),
                request("HEAD", "/none/", "unknown", ""),
                404,
            ),
            (
                gateway.ready_address(),
                "HEAD /none HTTP/1.1\r\nHost: h\r\n\r\n".into(),
                404,
            ),
        ];
        for (address, text, status) in requests {
            if status == 502 {
                fleet.servers[0].script(&[Behavior::Reset]);
            }
            let mut client = Client::connect(address).await;
            client.send(text.as_bytes()).await;

            let response = client.read_head().await.expect("it is answered");
            client.send(text.replace("HEAD", "GET").as_bytes()).await;
            let next = client.read().await.expect("the connection is kept");

            let next_status = if status == 502 { 200 } else { status };
            assert_eq!((response.status, next.status()), (status, next_status));
            assert!(next.whole);
        }
    });
}

/// Failure: a long answer is cut after its caller has a part of it; the request is sent again, and the second answer is
/// appended to that part.
#[test]
fn long_response_is_not_joined_with_that_of_another_run() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        for server in &fleet.servers {
            server.script(&[
                Behavior::TruncatedAfter(100_000),
                Behavior::TruncatedAfter(100_000),
            ]);
        }

        let response = fleet.send_admitted(&request("GET", "/get/", "a", "")).await;

        assert!(!response.whole, "parts of two runs look like one answer");
        assert!(response.body.iter().all(|b| *b == b'x'));
        assert_eq!(fleet.runs(), 1);
    });
}

/// Failure: a server responds before it has read the whole body and keeps reading. If its connection is
/// reused at once, the bytes of the next request are read as the rest of that body.
#[test]
fn rest_of_body_after_early_response_is_not_a_request() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::EarlyResponse]);
        let body = "b".repeat(90_000);
        let head = request(
            "POST",
            "/get/",
            "long",
            &format!("Content-Length: {}\r\n", body.len()),
        );

        let early = send_request(
            fleet.gateways[0].front(),
            format!("{head}{body}").as_bytes(),
        )
        .await;
        let next = send_request(
            fleet.gateways[0].front(),
            request("GET", "/get/", "next", "").as_bytes(),
        )
        .await;

        assert_eq!(early.expect("the gateway responds").status(), 400);
        assert_eq!(
            next.expect("the gateway responds").text(),
            "answer to next by i-0"
        );
        let bodies = fleet.servers[0].received();
        assert!(bodies.iter().all(|a| a.body.iter().all(|b| *b == b'b')));
    });
}

#[test]
fn client_disconnect_cancels_server_request() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        fleet.servers[0].script(&[Behavior::Hang]);
        let mut client = Client::connect(fleet.gateways[0].front()).await;
        client
            .send(request("GET", "/get/", "a", "").as_bytes())
            .await;
        wait_until("the server has the request", || async { fleet.runs() == 1 }).await;

        let disconnected = std::time::Instant::now();
        drop(client);
        wait_until("the server sees the client disconnect", || async {
            fleet.servers[0].client_disconnects() == 1
        })
        .await;

        assert!(
            disconnected.elapsed() < Duration::from_millis(500),
            "{:?}",
            disconnected.elapsed()
        );
    });
}

#[test]
fn connection_carries_many_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let mut client = Client::connect(fleet.gateways[0].front()).await;

        for number in 0..20 {
            let id = format!("id-{number}");
            client
                .send(request("GET", "/get/", &id, "").as_bytes())
                .await;
            let response = client.read().await.expect("the gateway responds");
            assert_eq!(response.text(), format!("answer to {id} by i-0"));
        }
    });
}
