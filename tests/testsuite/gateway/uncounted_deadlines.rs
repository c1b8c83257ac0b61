//! Streams without a record whose callers name the same time at each attempt, whatever they have spent.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;

use super::fleet::{Fleet, wait_until};
use super::scripted_server::Server;
use super::stream_versions_after_kill::{
    CALLER_TIME, ONE, Outcome, SETTLE_TIME, STREAMS, Streams, TWO, begin, catalog_with,
    register_first, remove_servers, start, start_with, unix_ms,
};
use crate::block_on;

/// When the servers of the version at which all streams began leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaves {
    BeforeKill,
    Meanwhile,
    AfterStart,
}

/// Names the longest time that the route allows.
const fn whole(_number: usize, _elapsed: Duration) -> Duration {
    CALLER_TIME
}

/// Names the same time at each attempt, less than the route allows.
const fn constant(_number: usize, _elapsed: Duration) -> Duration {
    Duration::from_secs(8)
}

/// Of two client libraries of one account, one counts down.
const fn by_library(number: usize, elapsed: Duration) -> Duration {
    match number % 3 {
        0 => whole(number, elapsed),
        _ => CALLER_TIME.saturating_sub(elapsed),
    }
}

/// Time of a route on which the streams of a test are shorter.
const SHORT_TIME: Duration = Duration::from_secs(4);
/// Time after a first request at which a window of [`SHORT_TIME`] doesn't reach back to the first version.
const LATE: Duration = Duration::from_secs(5);

/// First registrations in a row that date what came before them.
const ROW: usize = 4;
/// Events that a stream brings until all gateways are killed, at least.
const EVENTS_UNTIL_BREAK: u64 = 200;

/// Names the whole time of the shorter route.
const fn whole_short(_number: usize, _elapsed: Duration) -> Duration {
    SHORT_TIME
}

/// Counts down from when its stream broke, about when the gateways were killed.
const fn since_break(_number: usize, elapsed: Duration) -> Duration {
    let until_break = SETTLE_TIME.saturating_add(SETTLE_TIME);
    CALLER_TIME.saturating_sub(elapsed.saturating_sub(until_break))
}

/// Registers the servers of the second version as runs that start now.
fn return_second_version(streams: &Streams) {
    for (server, version) in streams.fleet.servers.iter().zip(TWO) {
        if version == "v2" {
            register_first(&streams.fleet, server, version);
        }
    }
}

/// Begins streams while the first version alone serves, brings the second one back, and takes the streams up after a kill of
/// all gateways and the first version's leave.
async fn take_up(leaves: Leaves, left: fn(usize, Duration) -> Duration) -> Outcome {
    restart(leaves, left, CALLER_TIME).await.take_up(true).await
}

/// Does so but for taking the streams up; callers should wait for `timeout`.
async fn restart(
    leaves: Leaves,
    left: fn(usize, Duration) -> Duration,
    timeout: Duration,
) -> Streams {
    let fleet = start(TWO).await;
    fleet.store.put("op/config", &catalog_with(2, timeout));
    remove_servers(&fleet, TWO, "v2");
    tokio::time::sleep(SETTLE_TIME).await;
    let mut streams = begin(fleet, TWO).await;
    streams.left = left;
    return_second_version(&streams);
    tokio::time::sleep(SETTLE_TIME).await;
    if leaves == Leaves::BeforeKill {
        streams.remove_version("v1");
        // A first registration dates the changes before it.
        let other = streams.fleet.start_server("i-4").await;
        let entry = json!({"service": "other", "born": unix_ms(), "sequence": 1});
        streams.fleet.write_registration(&other, &entry);
        tokio::time::sleep(SETTLE_TIME).await;
    }
    let meanwhile = |s: &Streams| {
        if leaves == Leaves::Meanwhile {
            s.remove_version("v1");
        }
    };
    streams.restart_all(meanwhile).await;
    if leaves == Leaves::AfterStart {
        streams.remove_version("v1");
        tokio::time::sleep(SETTLE_TIME).await;
    }
    streams
}

/// Failure: callers name the whole time of their route at each attempt, and their streams count as begun now, at another version.
#[test]
fn streams_of_callers_with_their_whole_time_left_stay_unmixed() {
    let outcomes = [Leaves::BeforeKill, Leaves::Meanwhile, Leaves::AfterStart]
        .map(|leaves| block_on(take_up(leaves, whole)));

    let mixed = outcomes.each_ref().map(|o| o.mixed);
    assert_eq!(mixed, [0; 3], "{outcomes:?}");
}

/// Failure: callers name less than the time of their route, the same at each attempt, and their streams count as begun lately.
#[test]
fn streams_of_callers_with_a_constant_time_stay_unmixed() {
    let outcomes = [Leaves::BeforeKill, Leaves::Meanwhile, Leaves::AfterStart]
        .map(|leaves| block_on(take_up(leaves, constant)));

    let mixed = outcomes.each_ref().map(|o| o.mixed);
    assert_eq!(mixed, [0; 3], "{outcomes:?}");
}

/// Failure: an account's callers that count down vouch for those that don't.
#[test]
fn streams_of_an_account_with_two_client_libraries_stay_unmixed() {
    let outcome = block_on(take_up(Leaves::BeforeKill, by_library));

    assert_eq!(
        (outcome.mixed, outcome.began_at_first),
        (0, STREAMS),
        "{outcome:?}"
    );
}

/// Failure: callers name their whole time until their streams count as younger than the version that left.
#[test]
fn streams_of_callers_that_come_back_for_long_stay_unmixed() {
    block_on(async {
        let streams = restart(Leaves::BeforeKill, whole_short, SHORT_TIME).await;

        let first = streams.take_up(true).await;
        tokio::time::sleep(LATE).await;
        let later = streams.take_up(true).await;

        assert_eq!(first.began_at_first, STREAMS, "{first:?}");
        assert_eq!((first.mixed, later.mixed), (0, 0), "{first:?} {later:?}");
    });
}

/// Failure: callers count down from when their streams broke, and these count as begun then.
#[test]
fn streams_of_callers_that_count_from_the_break_stay_unmixed() {
    let outcome = block_on(take_up(Leaves::BeforeKill, since_break));

    assert_eq!(outcome.mixed, 0, "{outcome:?}");
}

/// Failure: the same where the release is dated, so that the states since the break have one version.
#[test]
fn streams_of_callers_that_count_from_the_break_after_a_dated_release_stay_unmixed() {
    block_on(async {
        let first_version = |fleet: &Fleet, server: &Server, version: &str| {
            if version == TWO[0] {
                register_first(fleet, server, version);
            }
        };
        let mut streams = begin(start_with(TWO, first_version).await, TWO).await;
        return_second_version(&streams);
        streams.remove_version("v1");
        for number in 0..ROW {
            let other = streams.fleet.start_server(&format!("other-{number}")).await;
            let entry = json!({"service": "other", "born": unix_ms(), "sequence": 1});
            streams.fleet.write_registration(&other, &entry);
        }
        tokio::time::sleep(SETTLE_TIME + SETTLE_TIME).await;
        (streams.left, streams.last_event) = (since_break, EVENTS_UNTIL_BREAK);
        streams.restart_all(|_| {}).await;

        let first = streams.take_up(true).await;
        let later = streams.take_up(true).await;

        assert_eq!(first.began_at_first, STREAMS, "{first:?}");
        assert_eq!((first.mixed, later.mixed), (0, 0), "{first:?} {later:?}");
    });
}

/// Failure: an instance that hears none of the others has run all along, and streams that began elsewhere count as begun now.
#[test]
fn streams_taken_up_at_an_isolated_instance_stay_unmixed() {
    block_on(async {
        let mut fleet = start(TWO).await;
        let isolated = &mut fleet.gateways[2];
        let settings = std::fs::read_to_string(&isolated.config).expect("the settings are there");
        std::fs::write(&isolated.config, settings.replace("8f0c1a52", "00000000"))
            .expect("the settings can be written");
        isolated.kill();
        isolated.start();
        wait_until("the gateway is ready", || fleet.gateways[2].is_ready()).await;
        remove_servers(&fleet, TWO, "v2");
        tokio::time::sleep(SETTLE_TIME).await;
        let mut streams = begin(fleet, TWO).await;
        streams.left = whole;
        return_second_version(&streams);
        streams.remove_version("v1");
        tokio::time::sleep(SETTLE_TIME).await;

        let whole = join_all((0..STREAMS).map(|number| streams.try_once(number, 2, true))).await;
        let outcome = streams.outcome(whole);

        let isolated = &streams.fleet.gateways[2];
        let unknown = || async {
            let lines = isolated.logged("stream_taken_up");
            lines
                .iter()
                .any(|l| l["asked"] == 0 && l["source"] != "record")
        };
        wait_until("streams are taken up there", unknown).await;
        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// Failure: callers name their whole time at each attempt, one version served all along, and their streams are refused.
#[test]
fn streams_of_one_version_go_on_whatever_time_is_named() {
    block_on(async {
        let mut streams = begin(start(ONE).await, ONE).await;
        streams.left = whole;
        streams.restart_all(|_| {}).await;

        let outcome = streams.take_up(true).await;

        assert_eq!(outcome.whole, STREAMS, "{outcome:?}");
    });
}
