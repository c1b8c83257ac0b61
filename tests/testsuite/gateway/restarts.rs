//! Instances that start again while callers still know their addresses.

use std::time::Duration;

use hawthornmill::quarantine::fingerprint::Fingerprint;
use hawthornmill::quarantine::report::{EntryReport, QuarantineReport};
use hawthornmill::wire::Message;
use tokio::net::TcpStream;

use super::fleet::{Fleet, Response, request, wait_until};
use super::peer::Peer;
use super::store::Mode;
use crate::block_on;

/// Requests that wait for an instance that has just started.
const FIRST_REQUESTS: usize = 6;

/// Returns the statuses of requests that are sent as soon as a restarted instance listens; the other one knows all.
async fn first_statuses(mode: Mode) -> Vec<u16> {
    let mut fleet = Fleet::start(2, 1).await;
    fleet.store.set_mode(mode);
    fleet.gateways[1].kill();

    fleet.gateways[1].start();
    let front = fleet.gateways[1].front();
    wait_until("the instance listens", || async {
        TcpStream::connect(front).await.is_ok()
    })
    .await;
    let texts: Vec<String> = (0..FIRST_REQUESTS)
        .map(|n| request("GET", "/get/", &format!("first-{n}"), ""))
        .collect();
    let sent = texts.iter().map(|text| fleet.send_admitted_to(1, text));
    let responses = futures_util::future::join_all(sent).await;
    responses.iter().map(Response::status).collect()
}

/// Failure: callers come back to an instance as soon as it listens again, and it refuses them until it has asked another one
/// for what that knows; an account whose entries restart in turn is refused all the while.
#[test]
fn restarted_instance_serves_its_first_callers() {
    block_on(async {
        let silent = first_statuses(Mode::Unresponsive).await;
        let late = first_statuses(Mode::Late(Duration::from_secs(3))).await;

        assert_eq!(silent, [200; FIRST_REQUESTS]);
        assert_eq!(late, [200; FIRST_REQUESTS]);
    });
}

/// Failure: a caller waits for its whole deadline at an instance that gets no catalog from anybody.
#[test]
fn instance_without_any_state_refuses_after_a_moment() {
    block_on(async {
        let mut fleet = Fleet::prepare(1, 1).await;
        fleet.store.set_mode(Mode::Unresponsive);
        fleet.gateways[0].start();
        let front = fleet.gateways[0].front();
        wait_until("the instance listens", || async {
            TcpStream::connect(front).await.is_ok()
        })
        .await;

        let refused = fleet
            .send_admitted(&request("GET", "/get/", "early", ""))
            .await;

        assert_eq!(refused.status(), 503);
        assert!(refused.field("retry-after").is_some());
        wait_until("the refusal is logged", || async {
            let ended = fleet.gateways[0].logged("ended");
            ended
                .iter()
                .any(|l| l["request"] == "early" && l["not_ready"] == "no_catalog")
        })
        .await;
    });
}

/// Failure: an instance that starts and has read the catalog from the store before another one hears of it is not told which
/// requests crash servers, and passes them on.
#[test]
fn newly_started_instance_is_told_of_quarantined_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let quarantined = EntryReport {
            fingerprint: Fingerprint(7),
            crashes: 3,
            age_ms: 60_000,
            idle_ms: 0,
        };
        let news = QuarantineReport {
            entries: vec![quarantined],
            ..QuarantineReport::default()
        };
        let is_told = |message: &Message| {
            matches!(message, Message::QuarantineReport(told)
                if told.entries.iter().any(|e| e.fingerprint == quarantined.fingerprint))
        };
        let older = Peer::bind(&fleet, 1).await;
        older.announce(1_001, 1).await;
        older.send(&Message::QuarantineReport(Box::new(news))).await;
        let announced = async {
            loop {
                older.announce(1_001, 1).await;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        tokio::select! {
            () = older.wait_for(is_told) => {}
            () = announced => {}
        }

        let started = Peer::bind(&fleet, 2).await;
        started.announce(1_002, 1).await;

        let told = tokio::time::timeout(Duration::from_secs(1), started.wait_for(is_told)).await;
        assert!(told.is_ok(), "not told within a second");
    });
}
