//! The server for a request.

use std::time::Instant;

use hawthornmill::ident::ServerId;
use hawthornmill::routing::loads;
use hawthornmill::routing::request::Admission;

use super::{change, entry, millis, request, scheduler, sent, shape};

const SIX: &[(&str, &str)] = &[
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
    ("c2", "c"),
];

/// Load pattern: many prompts of a few families, each with a long shared beginning. Sent wherever
/// load is least, each server would read every beginning anew.
#[test]
fn a_family_with_a_long_shared_part_stays_at_one_server_of_the_fleet() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);

    let mut servers = Vec::new();
    for _ in 0..4 {
        let choice = sent(scheduler.submit(&request("lab", shape(7, 5_000, 500), now), now));
        scheduler.record_first_token(super::drafter(), &choice, Some(millis(100)), now);
        servers.push(choice.server);
    }

    servers.dedup();
    assert_eq!(servers.len(), 1);
}

/// Two instances in different failure domains choose for the same family without asking each other.
#[test]
fn every_instance_works_out_the_same_home() {
    let now = Instant::now();
    let mut here = scheduler(SIX, now);
    let mut there = scheduler(SIX, now);

    for family in 0..50 {
        let ask = request("lab", shape(family, 5_000, 500), now);
        let (one, other) = (sent(here.submit(&ask, now)), sent(there.submit(&ask, now)));
        here.finish(&one, false);
        there.finish(&other, false);
        assert_eq!(one.server, other.server);
    }
}

#[test]
fn a_short_shared_part_is_kept_in_the_own_failure_domain() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);

    for family in 0..30 {
        let choice = sent(scheduler.submit(&request("lab", shape(family, 300, 200), now), now));
        scheduler.finish(&choice, false);
        assert!([ServerId::of("a1"), ServerId::of("a2")].contains(&choice.server));
    }
}

/// Load pattern: one family becomes popular. Its home has so much to read that the next prompt would
/// be late there, and another server would begin it in time.
#[test]
fn a_busy_home_is_left_and_the_second_copy_is_told_to_the_others() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let mut servers = Vec::new();

    for _ in 0..12 {
        if let Admission::Decided(Ok(choice)) =
            scheduler.submit(&request("lab", shape(7, 5_000, 8_000), now), now)
        {
            servers.push(choice.server);
        }
    }
    let strays = scheduler.spilled_prefixes(now);

    servers.sort_unstable();
    servers.dedup();
    assert!(servers.len() > 1, "all went to the home");
    assert!(!strays.is_empty());
    assert!(strays.iter().all(|(_, server)| servers.contains(server)));
}

/// Load pattern: one prompt in a hundred is ten times as long as the others. Each of its tokens attends
/// to all before it, so its reading takes more than ten times as long; short requests that come behind
/// it are late where only its length was counted.
#[test]
fn a_long_prompt_takes_more_time_than_its_length_says() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    let mut alone = |own: u32| {
        let mut request = request("lab", shape(u64::from(own), 0, own), now);
        request.objective = millis(60_000);
        let choice = sent(scheduler.submit(&request, now));
        scheduler.finish(&choice, false);
        choice.work.pending_prefill
    };

    let (short, long) = (alone(4_000), alone(40_000));

    assert!(long > 15 * short, "{long} against {short}");
    assert!(
        short < 4_500,
        "a short one counts about its length: {short}"
    );
}

/// A server fails a good part of its requests while it says that it is healthy.
#[test]
fn a_server_that_fails_is_passed_over_while_others_have_room() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    for _ in 0..8 {
        scheduler
            .loads
            .record_outcome(ServerId::of("a1"), loads::ServerOutcome::Failed, now);
    }

    for family in 0..10 {
        let choice = sent(scheduler.submit(&request("lab", shape(family, 300, 200), now), now));
        scheduler.finish(&choice, false);
        assert_eq!(choice.server, ServerId::of("a2"));
    }
}

#[test]
fn draining_servers_and_those_that_had_the_request_get_none() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a"), ("a3", "a")], now);
    let mut leaving = entry("a1", "a");
    leaving.draining = true;
    scheduler
        .registry
        .apply(change("a1", 50, Some(leaving)), now);
    let mut again = request("lab", shape(1, 300, 200), now);
    again.tried.push(ServerId::of("a2"));

    let choice = sent(scheduler.submit(&again, now));

    assert_eq!(choice.server, ServerId::of("a3"));
}

/// A server's memory holds two long prompts. A third one would make it throw out the second in the
/// middle of its answer and read it again.
#[test]
fn memory_bounds_what_a_server_gets() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a")], now);
    let mut long = |family| {
        let mut request = request("lab", shape(family, 0, 30_000), now);
        request.objective = millis(60_000);
        scheduler.submit(&request, now)
    };

    let (first, second, third) = (long(1), long(2), long(3));

    assert!(matches!(
        (first, second),
        (Admission::Decided(Ok(_)), Admission::Decided(Ok(_)))
    ));
    assert!(matches!(third, Admission::Queued(_)));
}
