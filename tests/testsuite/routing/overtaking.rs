//! Which queued requests later ones may overtake.

use std::time::Instant;

use hawthornmill::ident::{RegionId, VersionId};
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::registry::Registration;
use hawthornmill::routing::request::{Admission, Request};

use super::scheduler::flooded_scheduler;
use super::{change, entry, millis, request, scheduler, sent, shape};

/// Failure: a prompt that finds no capacity on any server holds smaller ones behind it, for which there is enough; or they take
/// the server that would have capacity for it first.
#[test]
fn prompt_without_capacity_is_overtaken_but_on_one_server() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    for family in 1..=2 {
        let _busy = sent(scheduler.submit(&request("lab", shape(family, 0, 25_000), now), now));
    }
    let long = scheduler.submit(&request("lab", shape(3, 0, 30_000), now), now);
    let ask = |milli| {
        let at = now + millis(milli);
        request("lab", shape(4, 10, 10), at)
    };

    let small: Vec<Admission> = (1..=3)
        .map(|n| scheduler.submit(&ask(n), now + millis(n)))
        .collect();

    assert!(matches!(long, Admission::Queued(_)), "{long:?}");
    let used: Vec<_> = small.into_iter().map(|s| sent(s).server).collect();
    assert_eq!(used[0], used[1]);
    assert_eq!(used[1], used[2]);
}

/// Failure: a request that is as large as one that finds no capacity is tried on all servers again and again, or overtakes it.
#[test]
fn request_that_is_no_smaller_waits_behind() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("a1", "a"), ("a2", "a")], now);
    for family in 1..=2 {
        let _busy = sent(scheduler.submit(&request("lab", shape(family, 0, 25_000), now), now));
    }
    let long = scheduler.submit(&request("lab", shape(3, 0, 30_000), now), now);
    let then = now + millis(1);

    let same = scheduler.submit(&request("lab", shape(4, 0, 30_000), then), then);

    assert!(matches!(long, Admission::Queued(_)), "{long:?}");
    assert!(matches!(same, Admission::Queued(_)), "{same:?}");
}

/// Failure: a request that may go to any server by now, and finds none, is overtaken as if it waited for a few only.
#[test]
fn request_waiting_for_any_server_blocks_later_ones() {
    let now = Instant::now();
    let mut scheduler = flooded_scheduler(now);
    let long = request("flood", shape(1, 5_000, 10), now);
    let mut placed = Vec::new();
    while let Admission::Decided(Ok(placement)) = scheduler.submit(&long, now) {
        placed.push(placement);
    }
    let home = placed[0].server;
    for _ in placed.len()..6 * 8 {
        placed.push(sent(
            scheduler.submit(&request("lab", shape(3, 10, 10), now), now),
        ));
    }
    // Without a known token rate, no account is above its share.
    scheduler.token_rate = 0.0;
    let then = now + millis(250);
    let dispatched = scheduler.dispatch_queued(then);
    let other = placed.iter().find(|c| c.server != home);
    scheduler.finish(other.expect("there are six servers"), false);

    let behind = scheduler.submit(&request("flood", shape(2, 10, 10), then), then);

    assert!(dispatched.is_empty(), "{dispatched:?}");
    assert!(matches!(behind, Admission::Queued(_)), "{behind:?}");
}

/// Failure: a request that may go to servers of one version or region only finds them full, and holds all others of its service,
/// for which there is enough.
#[test]
fn request_bound_to_full_servers_holds_no_others() {
    let now = Instant::now();
    let ask = |at| request("lab", shape(1, 10, 10), at);
    let to_version = Request {
        version: Some(VersionId::of("v2")),
        ..ask(now)
    };
    let to_region = Request {
        allowed_regions: AllowedRegions::Only([RegionId::of("south")].into_iter().collect()),
        ..ask(now)
    };
    let placed = [to_version, to_region].map(|bound| {
        let mut scheduler = scheduler(&[("a1", "a"), ("c1", "c")], now);
        let newer = Registration {
            version: VersionId::of("v2"),
            ..entry("c1", "c")
        };
        scheduler.apply_change(change("c1", 10, Some(newer)), now);
        let fill = std::iter::repeat_with(|| scheduler.submit(&bound, now));
        let waits = fill.take(20).any(|a| matches!(a, Admission::Queued(_)));
        let then = now + millis(1);
        let at_once = scheduler.submit(&ask(then), then);
        let _none = scheduler.dispatch_queued(now + millis(30));
        let later = now + millis(31);
        (waits, at_once, scheduler.submit(&ask(later), later))
    });

    for (waits, at_once, after_dispatch) in placed {
        assert!(waits);
        assert!(matches!(at_once, Admission::Decided(Ok(_))), "{at_once:?}");
        let is_placed = matches!(after_dispatch, Admission::Decided(Ok(_)));
        assert!(is_placed, "{after_dispatch:?}");
    }
}
