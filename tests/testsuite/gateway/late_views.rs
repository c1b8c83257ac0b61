//! Streams without a record at instances whose view of the store or of the others is late.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;

use super::fleet::{Fleet, Gateway, config, request, wait_until};
use super::scripted_server::Behavior;
use super::store::Mode;
use super::stream_versions::resuming;
use crate::block_on;

/// Time in which gateways hear each other.
const HEARING_TIME: Duration = Duration::from_secs(2);

/// Starts gateways in front of one server; requests have as much time as their routes allow.
async fn start(gateways: usize) -> Fleet {
    let mut fleet = Fleet::prepare(gateways, 1).await;
    fleet.servers[0].set_default(|_| Behavior::Stream(6));
    let mut catalog = config(1);
    for route in catalog["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(5_000);
    }
    fleet.store.put("op/config", catalog.to_string().as_bytes());
    for gateway in &mut fleet.gateways {
        gateway.start();
    }
    for gateway in &fleet.gateways {
        wait_until("the gateway is ready", || gateway.is_ready()).await;
    }
    tokio::time::sleep(HEARING_TIME).await;
    fleet
}

/// Takes the stream of `a-1` up at the first gateway, until it is answered with `status` or ten times; returns the last status.
async fn take_up(fleet: &Fleet, status: u16) -> u16 {
    let mut last = 0;
    for number in 0..10 {
        let text = resuming(&format!("b-{status}-{number}"), "a-1");
        last = fleet.send_admitted_to(0, &text).await.status();
        if last == status {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    last
}

/// Returns where the versions of streams that were taken up are known from, once a line tells it.
async fn sources(gateway: &Gateway) -> Vec<String> {
    wait_until("the line is written", || async {
        !gateway.logged("stream_taken_up").is_empty()
    })
    .await;
    let lines = gateway.logged("stream_taken_up");
    let source = |line: &serde_json::Value| line["source"].as_str().unwrap_or_default().to_owned();
    lines.iter().map(source).collect()
}

/// Failure: the store falls silent, and what it said before counts as proof of the versions that serve since.
#[test]
fn silent_store_proves_no_version() {
    block_on(async {
        let fleet = start(1).await;
        fleet.store.set_mode(Mode::Unresponsive);
        tokio::time::sleep(Duration::from_millis(600)).await;

        let silent = take_up(&fleet, 503).await;
        let sent = fleet.servers[0].received().len();
        fleet.store.set_mode(Mode::Healthy);
        let answering = take_up(&fleet, 200).await;

        assert_eq!((silent, sent, answering), (503, 0, 200));
    });
}

/// Failure: a process that has just started and heard nobody takes a stream for one that nobody knows.
#[test]
fn young_process_hears_the_others_before_it_takes_the_history() {
    block_on(async {
        let mut fleet = start(2).await;
        let begun = request("GET", "/stream/x", "a-1", "");
        assert!(fleet.send_admitted_to(1, &begun).await.whole);
        fleet.gateways[0].kill();
        fleet.gateways[1].signal(Signal::SIGSTOP);
        fleet.gateways[0].start();
        wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;

        let hear = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.gateways[1].signal(Signal::SIGCONT);
        };
        let (status, ()) = tokio::join!(take_up(&fleet, 200), hear);

        let sources = sources(&fleet.gateways[0]).await;
        assert_eq!((status, sources), (200, vec!["peer".to_owned()]));
    });
}
