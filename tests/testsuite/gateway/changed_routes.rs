//! Streams without a record whose route has changed since they began.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};

use super::fleet::{Fleet, config, wait_until};
use super::scripted_server::Server;
use super::stream_versions_after_kill::{
    CALLER_TIME, ONE, Outcome, SETTLE_TIME, STREAMS, Streams, TWO, begin, register_first,
    start_with, unix_ms,
};
use crate::block_on;

/// Timeout of the route in its later catalog.
const SHORT_TIME: Duration = Duration::from_secs(2);
/// Time after which a window of [`SHORT_TIME`] doesn't reach back to the streams' begin.
const LATE: Duration = Duration::from_secs(4);
/// First registrations in a row that date what came before them.
const ROW: usize = 4;
/// Service to which the route moves.
const OTHER: &str = "other";

/// Why no instance has a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lost {
    /// The third gateway hears none of the others.
    Isolated,
    /// All gateways were killed after the change.
    Killed,
    /// The same, and the store dropped its history before the change.
    Forgotten,
}

/// Names the longest time that the later catalog allows.
const fn whole_short(_number: usize, _elapsed: Duration) -> Duration {
    SHORT_TIME
}

/// Names the longest time that the first catalog allows.
const fn whole(_number: usize, _elapsed: Duration) -> Duration {
    CALLER_TIME
}

/// Registers servers of the first version for the route's service, and those of the second one for the other service.
fn register_apart(fleet: &Fleet, server: &Server, version: &str) {
    if version == TWO[0] {
        register_first(fleet, server, version);
    } else {
        let entry = json!({"service": OTHER, "version": version, "born": unix_ms(), "sequence": 1, "slots": 32});
        fleet.write_registration(server, &entry);
    }
}

fn register_first_version(fleet: &Fleet, server: &Server, version: &str) {
    if version == TWO[0] {
        register_first(fleet, server, version);
    }
}

/// Returns the later catalog, with this timeout and service for all routes.
fn later_catalog(timeout: Duration, service: &str) -> Value {
    let mut catalog = config(2);
    for route in catalog["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(timeout.as_millis() as u64);
        route["service"] = json!(service);
    }
    let services = [OTHER, "app"].map(|name| json!({"name": name, "maxConnections": 100}));
    catalog["services"] = json!(services);
    catalog
}

/// Begins streams at the first version, before servers that register as `register` does.
async fn begin_at_first(lost: Lost, register: fn(&Fleet, &Server, &str)) -> Streams {
    let mut fleet = start_with(TWO, register).await;
    if lost == Lost::Isolated {
        fleet.gateways[2].set_isolated(true);
        fleet.gateways[2].kill();
        fleet.gateways[2].start();
        wait_until("the gateway is ready", || fleet.gateways[2].is_ready()).await;
        tokio::time::sleep(SETTLE_TIME).await;
    }
    begin(fleet, TWO).await
}

/// Writes the later catalog, loses the records if that didn't happen before, and takes the streams up.
async fn take_up(mut streams: Streams, lost: Lost, catalog: &Value) -> Outcome {
    let store = &streams.fleet.store;
    if lost == Lost::Forgotten {
        store.drop_history(None);
    }
    store.put("op/config", catalog.to_string().as_bytes());
    for number in 0..ROW {
        let server = streams.fleet.start_server(&format!("row-{number}")).await;
        let entry = json!({"service": "third", "born": unix_ms(), "sequence": 1});
        streams.fleet.write_registration(&server, &entry);
    }
    tokio::time::sleep(LATE).await;
    if lost != Lost::Isolated {
        streams.restart_all(|_| {}).await;
    }
    let all = (0..STREAMS).map(|number| streams.try_once(number, 2, true));
    let whole = join_all(all).await;
    streams.outcome(whole)
}

async fn take_up_with_less_time(lost: Lost) -> Outcome {
    let mut streams = begin_at_first(lost, register_first_version).await;
    streams.left = whole_short;
    for number in [1, 3] {
        register_first(&streams.fleet, &streams.fleet.servers[number], TWO[number]);
    }
    streams.remove_version(TWO[0]);
    take_up(streams, lost, &later_catalog(SHORT_TIME, "app")).await
}

async fn take_up_at_another_service(lost: Lost) -> Outcome {
    let mut streams = begin_at_first(lost, register_apart).await;
    streams.left = whole;
    take_up(streams, lost, &later_catalog(CALLER_TIME, OTHER)).await
}

/// Failure: an operator shortens a route's timeout, and streams from before count as younger than the version that left.
#[test]
fn streams_from_before_a_shorter_timeout_stay_unmixed() {
    let outcome = block_on(take_up_with_less_time(Lost::Isolated));

    assert_eq!((outcome.mixed, outcome.began_at_first), (0, STREAMS));
}

/// Failure: an operator moves a route to another service, and streams of the one before go on at a version of the other.
#[test]
fn streams_from_before_a_move_to_another_service_stay_unmixed() {
    let outcome = block_on(take_up_at_another_service(Lost::Isolated));

    assert_eq!((outcome.mixed, outcome.began_at_first), (0, STREAMS));
}

/// Failure: the same as with a shorter timeout, where all gateways are killed after the change.
#[test]
fn streams_from_before_a_shorter_timeout_and_a_kill_stay_unmixed() {
    let outcome = block_on(take_up_with_less_time(Lost::Killed));

    assert_eq!((outcome.mixed, outcome.began_at_first), (0, STREAMS));
}

/// Failure: the same as with another service, where all gateways are killed after the change.
#[test]
fn streams_from_before_a_move_and_a_kill_stay_unmixed() {
    let outcome = block_on(take_up_at_another_service(Lost::Killed));

    assert_eq!((outcome.mixed, outcome.began_at_first), (0, STREAMS));
}

/// Failure: the same as with a shorter timeout, where the store no longer keeps the catalog from before.
#[test]
fn streams_from_before_a_shorter_timeout_that_nobody_knows_stay_unmixed() {
    let outcome = block_on(take_up_with_less_time(Lost::Forgotten));

    assert_eq!((outcome.mixed, outcome.began_at_first), (0, STREAMS));
}

/// Failure: a catalog from long ago is still in the store's history, and no stream goes on after a kill of all.
#[test]
fn streams_go_on_after_a_longer_timeout_and_a_kill() {
    block_on(async {
        let mut streams = begin(start_with(ONE, register_first).await, ONE).await;
        let catalog = later_catalog(CALLER_TIME * 2, "app");
        streams
            .fleet
            .store
            .put("op/config", catalog.to_string().as_bytes());
        streams.restart_all(|_| {}).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.whole, STREAMS);
    });
}
