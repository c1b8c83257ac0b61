//! Choice of the server for a request.

use std::time::Instant;

use hawthornmill::ident::ServerId;
use hawthornmill::routing::loads;
use hawthornmill::routing::request::Admission;

use super::{SIX, change, entry, millis, request, scheduler, sent, shape};

/// Load pattern: many prompts of a few families, each with a long shared prefix. If each request went to the least loaded
/// server, every server would prefill every prefix.
#[test]
fn long_prefix_stays_at_one_server() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);

    let mut servers = Vec::new();
    for _ in 0..4 {
        let placement = sent(scheduler.submit(&request("lab", shape(7, 5_000, 500), now), now));
        scheduler.record_first_token(super::drafter(), &placement, Some(millis(100)), now);
        servers.push(placement.server);
    }

    servers.dedup();
    assert_eq!(servers.len(), 1);
}

/// Failure: two instances in different failure domains choose different homes for the same family.
#[test]
fn instances_agree_on_the_home_server() {
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
fn short_prefix_stays_in_the_own_domain() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);

    for family in 0..30 {
        let placement = sent(scheduler.submit(&request("lab", shape(family, 300, 200), now), now));
        scheduler.finish(&placement, false);
        assert!([ServerId::of("a1"), ServerId::of("a2")].contains(&placement.server));
    }
}

/// Load pattern: one family becomes popular. Its home has so large a backlog that the next prompt would be late there,
/// while another server would begin it in time.
#[test]
fn busy_home_spills_and_the_copy_is_reported() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let mut servers = Vec::new();

    for _ in 0..12 {
        if let Admission::Decided(Ok(placement)) =
            scheduler.submit(&request("lab", shape(7, 5_000, 8_000), now), now)
        {
            servers.push(placement.server);
        }
    }
    let spilled = scheduler.spilled_prefixes(now);

    servers.sort_unstable();
    servers.dedup();
    assert!(servers.len() > 1, "all went to the home");
    assert!(!spilled.is_empty());
    assert!(spilled.iter().all(|(_, server)| servers.contains(server)));
}

/// Load pattern: one prompt in a hundred is ten times as long as the others. Each of its tokens attends to all earlier
/// ones, so its prefill takes more than ten times as long; if only its length counted, short requests behind it would be
/// late.
#[test]
fn long_prompt_costs_more_than_its_length() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    let mut prefill_cost = |own: u32| {
        let mut request = request("lab", shape(u64::from(own), 0, own), now);
        request.objective = millis(60_000);
        let placement = sent(scheduler.submit(&request, now));
        scheduler.finish(&placement, false);
        placement.work.pending_prefill
    };

    let (short, long) = (prefill_cost(4_000), prefill_cost(40_000));

    assert!(long > 15 * short, "{long} against {short}");
    assert!(
        short < 4_500,
        "a short prompt costs about its length: {short}"
    );
}

/// Failure: a server that fails many of its requests, and reports itself healthy, keeps getting requests.
#[test]
fn failing_server_is_avoided_while_others_have_capacity() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    for _ in 0..8 {
        scheduler
            .loads
            .record_outcome(ServerId::of("a1"), loads::ServerOutcome::Failed, now);
    }

    for family in 0..10 {
        let placement = sent(scheduler.submit(&request("lab", shape(family, 300, 200), now), now));
        scheduler.finish(&placement, false);
        assert_eq!(placement.server, ServerId::of("a2"));
    }
}

#[test]
fn draining_and_tried_servers_get_no_request() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a"), ("a3", "a")], now);
    let mut departing = entry("a1", "a");
    departing.draining = true;
    scheduler
        .registry
        .apply(change("a1", 50, Some(departing)), now);
    let mut retried = request("lab", shape(1, 300, 200), now);
    retried.tried.push(ServerId::of("a2"));

    let placement = sent(scheduler.submit(&retried, now));

    assert_eq!(placement.server, ServerId::of("a3"));
}

/// Failure: a third long prompt on a server whose KV memory holds two evicts the second one in the middle of its response,
/// and it must be prefilled again.
#[test]
fn kv_memory_limits_concurrent_prompts() {
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
