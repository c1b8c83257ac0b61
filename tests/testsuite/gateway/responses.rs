//! Answers that come twice, late, early, or without a length.

use std::time::Duration;

use super::fleet::{Caller, Fleet, call, request, until};
use super::scripted_server::Behavior;
use crate::block_on;

/// A server answers one request twice. The second answer arrives where the next one is due, and
/// would be passed to another caller.
#[test]
fn duplicate_response_is_not_forwarded() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        for pause in [0, 100] {
            fleet.servers[0].script(&[Behavior::DuplicateResponse]);
            for number in 0..3 {
                let id = format!("id-{pause}-{number}");
                let answer = call(front, request("GET", "/get/", &id, "").as_bytes())
                    .await
                    .expect("an answer");
                assert_eq!(answer.text(), format!("answer to {id} by i-0"));
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

        let answer = call(
            fleet.gateways[0].front(),
            request("GET", "/get/", "a", "").as_bytes(),
        )
        .await;

        let answer = answer.expect("there is an answer");
        assert!(answer.whole);
        assert_eq!(answer.text(), "whole without a length");
    });
}

/// A server answers while most of the body is still to come, and reads on. If the connection were
/// used again at once, the next request's bytes would be read as the rest of that body.
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

        let early = call(
            fleet.gateways[0].front(),
            format!("{head}{body}").as_bytes(),
        )
        .await;
        let next = call(
            fleet.gateways[0].front(),
            request("GET", "/get/", "next", "").as_bytes(),
        )
        .await;

        assert_eq!(early.expect("there is an answer").status(), 400);
        assert_eq!(
            next.expect("there is an answer").text(),
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
        let mut caller = Caller::connect(fleet.gateways[0].front()).await;
        caller
            .send(request("GET", "/get/", "a", "").as_bytes())
            .await;
        until("the server has it", || async { fleet.runs() == 1 }).await;

        let left = std::time::Instant::now();
        drop(caller);
        until("the server sees the caller leave", || async {
            fleet.servers[0].client_disconnects() == 1
        })
        .await;

        assert!(
            left.elapsed() < Duration::from_millis(500),
            "{:?}",
            left.elapsed()
        );
    });
}

#[test]
fn connection_carries_many_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let mut caller = Caller::connect(fleet.gateways[0].front()).await;

        for number in 0..20 {
            let id = format!("id-{number}");
            caller
                .send(request("GET", "/get/", &id, "").as_bytes())
                .await;
            let answer = caller.read().await.expect("there is an answer");
            assert_eq!(answer.text(), format!("answer to {id} by i-0"));
        }
    });
}
