//! Requests that are bound to regions.

use std::time::Instant;

use hawthornmill::codes::Code;
use hawthornmill::ident::{RegionId, ServerId};
use hawthornmill::routing::loads::ServerOutcome;
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::request::{Admission, Cause, Request};

use super::{SIX, millis, request, scheduler, sent, shape};

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(names.iter().map(|name| RegionId::of(name)).collect())
}

fn bound_to(names: &[&str], family: u64, now: Instant) -> Request {
    Request {
        allowed_regions: only(names),
        ..request("lab", shape(family, 5_000, 500), now)
    }
}

/// Failure: the home of a long prompt family, one for the whole fleet, lies in a region in which a request may not be
/// served, and gets it.
#[test]
fn bound_request_stays_within_its_regions() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let south = [ServerId::of("c1"), ServerId::of("c2")];

    for family in 0..40 {
        for (region, in_south) in [("north", false), ("south", true)] {
            let placement = sent(scheduler.submit(&bound_to(&[region], family, now), now));
            scheduler.finish(&placement, false);
            assert_eq!(south.contains(&placement.server), in_south, "{region}");
        }
    }
}

/// Failure: the servers of the only allowed region are full, and the request spills to another region.
#[test]
fn bound_request_waits_rather_than_spills_to_another_region() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let mut queued = 0;

    for family in 0..40 {
        match scheduler.submit(&bound_to(&["south"], family, now), now) {
            Admission::Decided(Ok(placement)) => {
                assert!([ServerId::of("c1"), ServerId::of("c2")].contains(&placement.server));
            }
            Admission::Queued(_) => queued += 1,
            Admission::Decided(Err(refusal)) => assert_ne!(refusal.cause, Cause::RegionBound),
        }
    }
    let dispatched = scheduler.dispatch_queued(now + millis(20));

    assert!(queued > 0, "nothing waited");
    assert!(dispatched.iter().all(|(_, decision)| decision.is_err()));
}

/// Failure: a retry goes to another region because all servers of the allowed one were tried.
#[test]
fn retry_stays_within_the_regions() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    let mut retried = bound_to(&["south"], 1, now);
    retried.tried.push(ServerId::of("c1"));

    let second = sent(scheduler.submit(&retried, now));
    retried.tried.push(ServerId::of("c2"));
    let third = scheduler.submit(&retried, now);

    assert_eq!(second.server, ServerId::of("c2"));
    assert_refused_for_region(third);
}

/// Failure: no server of the allowed region can be reached, and the request waits until its deadline.
#[test]
fn request_without_a_server_in_its_regions_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(SIX, now);
    for server in ["c1", "c2"] {
        let server = ServerId::of(server);
        scheduler
            .loads
            .record_outcome(server, ServerOutcome::Unreachable, now);
    }

    let unreachable = scheduler.submit(&bound_to(&["south"], 1, now), now);
    let unknown = scheduler.submit(&bound_to(&["west"], 1, now), now);
    let nowhere = scheduler.submit(&bound_to(&[], 1, now), now);

    for admission in [unreachable, unknown, nowhere] {
        assert_refused_for_region(admission);
    }
}

/// Failure: route and account are bound to different regions, and only one of the bounds is kept.
#[test]
fn bounds_of_route_and_account_both_hold() {
    let (north, both) = (only(&["north"]), only(&["south", "north"]));

    assert_eq!(north.intersect(&both), north);
    assert_eq!(both.intersect(&north), north);
    assert_eq!(AllowedRegions::Any.intersect(&north), north);
    assert_eq!(north.intersect(&AllowedRegions::Any), north);
    assert!(north.intersect(&only(&["south"])).is_empty());
}

fn assert_refused_for_region(admission: Admission) {
    match admission {
        Admission::Decided(Err(refusal)) => assert_eq!(
            (refusal.cause, refusal.code),
            (Cause::RegionBound, Code::RegionUnavailable)
        ),
        other => panic!("the request was not refused: {other:?}"),
    }
}
