//! Failure domains that are evacuated and taken back.

use std::time::Instant;

use hawthornmill::ident::{DomainId, RegionId, ServerId};
use hawthornmill::routing::evacuations::{Evacuation, Evacuations};
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::request::{Admission, Cause, Request};

use super::{millis, request, scheduler, sent, shape};

const FOUR: &[(&str, &str)] = &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];

fn evacuated(domain: &str, revision: u64) -> Evacuation {
    Evacuation {
        domain: DomainId::of(domain),
        revision,
        active: true,
    }
}

fn taken_back(domain: &str, revision: u64) -> Evacuation {
    Evacuation {
        active: false,
        ..evacuated(domain, revision)
    }
}

/// Failure: servers of an evacuated failure domain get new requests from the instances beside them.
#[test]
fn evacuated_domain_gets_no_new_request_until_it_is_taken_back() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    let ask = |family| request("lab", shape(family, 300, 200), now);
    let own = [ServerId::of("a1"), ServerId::of("a2")];

    let before = sent(scheduler.submit(&ask(1), now));
    let changed = scheduler.apply_evacuation(evacuated("a", 50), now);
    let meanwhile: Vec<ServerId> = (0..10)
        .map(|family| sent(scheduler.submit(&ask(family), now)).server)
        .collect();
    scheduler.apply_evacuation(taken_back("a", 60), now);
    let after = sent(scheduler.submit(&ask(1), now));

    assert_eq!(changed, Some(true));
    assert!(own.contains(&before.server) && own.contains(&after.server));
    assert!(meanwhile.iter().all(|server| !own.contains(server)));
}

/// Failure: a domain is evacuated while a connection to one of its servers is opened, and the request is sent there.
#[test]
fn placed_request_is_not_sent_to_a_domain_evacuated_since() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    let placed = sent(scheduler.submit(&request("lab", shape(1, 300, 200), now), now));

    let before = scheduler.may_send(placed.server, now);
    scheduler.apply_evacuation(evacuated("a", 50), now);
    let after = scheduler.may_send(placed.server, now);

    assert!(before && !after, "{placed:?}");
}

/// Failure: a request that waits for a server of a domain is sent there after the domain was evacuated.
#[test]
fn queued_request_finds_another_place() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("b1", "b")], now);
    let ask = || request("lab", shape(1, 0, 200), now);
    let mut placed = Vec::new();
    let queued = loop {
        match scheduler.submit(&ask(), now) {
            Admission::Decided(Ok(placement)) => placed.push(placement),
            Admission::Queued(ticket) => break ticket,
            Admission::Decided(Err(refusal)) => panic!("refused: {refusal:?}"),
        }
    };

    scheduler.apply_evacuation(evacuated("a", 50), now);
    for placement in &placed {
        scheduler.finish(placement, false);
    }
    let decided = scheduler.dispatch_queued(now + millis(10));

    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].0, queued);
    assert_eq!(
        decided[0].1.as_ref().map(|p| p.server).ok(),
        Some(ServerId::of("b1"))
    );
}

/// Failure: all failure domains of the region to which a request is bound are evacuated, and it goes to another region or
/// waits in vain.
#[test]
fn bound_request_is_refused_while_its_whole_region_is_evacuated() {
    let now = Instant::now();
    let mut scheduler = scheduler(FOUR, now);
    let north = AllowedRegions::Only([RegionId::of("north")].into_iter().collect());
    let bound = Request {
        allowed_regions: north,
        ..request("lab", shape(1, 300, 200), now)
    };
    for (domain, revision) in [("a", 50), ("b", 51)] {
        scheduler.apply_evacuation(evacuated(domain, revision), now);
    }

    let bound = scheduler.submit(&bound, now);
    let unbound = sent(scheduler.submit(&request("lab", shape(1, 300, 200), now), now));

    assert!(
        matches!(bound, Admission::Decided(Err(r)) if r.cause == Cause::RegionBound),
        "{bound:?}"
    );
    assert_eq!(unbound.server, ServerId::of("c1"));
}

/// Failure: an announcement of an evacuation arrives after that of its end, and the domain stays without work.
#[test]
fn newest_revision_wins_in_any_order() {
    let changes = [
        evacuated("a", 50),
        taken_back("a", 60),
        evacuated("b", 55),
        evacuated("a", 70),
        taken_back("a", 80),
    ];
    let mut forward = Evacuations::default();
    let mut backward = Evacuations::default();

    for change in changes {
        forward.apply(change);
    }
    for change in changes.into_iter().rev() {
        backward.apply(change);
    }

    for known in [forward, backward] {
        assert!(!known.is_evacuated(DomainId::of("a")));
        assert!(known.is_evacuated(DomainId::of("b")));
        assert_eq!(known.latest_revision(), 80);
    }
}

/// Failure: the store forgot its history, a domain was taken back meanwhile, and the list that is read anew names no end.
#[test]
fn list_without_a_domain_takes_it_back() {
    let mut known = Evacuations::default();
    known.apply(evacuated("a", 50));
    known.apply(evacuated("b", 51));

    let older = known.changes_to(&[], 40);
    let newer = known.changes_to(&[evacuated("b", 51), evacuated("c", 88)], 90);
    let older = older
        .into_iter()
        .map(|c| known.apply(c))
        .collect::<Vec<_>>();
    for change in newer {
        known.apply(change);
    }

    assert_eq!(older, [None, None], "a late list changes nothing");
    let is_evacuated = |name| known.is_evacuated(DomainId::of(name));
    assert_eq!(["a", "b", "c"].map(is_evacuated), [false, true, true]);
}

/// Failure: an instance starts after a domain was taken back, hears of the evacuation from a peer that is late, and the
/// domain gets no requests any more.
#[test]
fn late_evacuation_is_void_after_a_start() {
    let mut started = Evacuations::default();
    let listed = started.changes_to(&[evacuated("b", 70)], 100);
    for change in listed {
        started.apply(change);
    }
    started.record_list(100);

    let heard = started.as_listed(evacuated("a", 50));
    started.apply(heard);

    assert_eq!(heard, taken_back("a", 100));
    let is_evacuated = |name| started.is_evacuated(DomainId::of(name));
    assert_eq!(["a", "b"].map(is_evacuated), [false, true]);
}
