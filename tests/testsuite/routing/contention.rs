//! When accounts above their share leave capacity and time to others.

use std::time::Instant;

use hawthornmill::ident::{AccountId, InstanceId};
use hawthornmill::routing::gossip::UnmetDemand;
use hawthornmill::routing::request::Admission;
use hawthornmill::routing::usage::ShareStatus;

use super::scheduler::{ONE_SERVER, flood_usage, report};
use super::{millis, request, scheduler, sent, shape};

/// Failure: a long prompt is refused in front of idle servers for as long as any request of another account, anywhere, has just
/// found no server.
#[test]
fn single_request_holds_back_no_prefill_bound_prompt() {
    let now = Instant::now();
    let mut scheduler = scheduler(ONE_SERVER, now);
    scheduler.token_rate = 10_000.0;
    let one = UnmetDemand {
        instances: 1,
        cost: 500,
    };
    let reported = vec![(ShareStatus::BelowGuarantee, one)];
    scheduler.apply_report(InstanceId::of("other"), &report(reported, Vec::new()), now);
    let mut long = request("lab", shape(1, 0, 20_000), now);
    long.account = None;
    long.objective = millis(100);

    let served = scheduler.submit(&long, now);

    assert!(matches!(served, Admission::Decided(Ok(_))), "{served:?}");
}

/// Failure: an account that requests more than its share fills servers up to the objective of everyone's requests, and those
/// of other accounts behind it are late.
#[test]
fn account_with_credit_leaves_time_to_others() {
    let now = Instant::now();
    let mut scheduler = scheduler(ONE_SERVER, now);
    let cost = shape(1, 10, 10).cost();
    scheduler.token_rate = 20.0 * cost;
    for _ in 0..100 {
        let hot = AccountId::of("hot");
        scheduler.account_usage.record_requested(hot, cost, now);
    }
    // Its prefill takes about two thirds of the objective.
    let mut long = request("lab", shape(2, 0, 24_000), now);
    long.account = None;
    let _busy = sent(scheduler.submit(&long, now));

    let hot = request("hot", shape(1, 10, 10), now);
    let lab = request("lab", shape(1, 10, 10), now);
    let (held_back, served) = (scheduler.submit(&hot, now), scheduler.submit(&lab, now));

    let share = scheduler.share_of(&hot);
    assert!(share.is_limited && share.status == ShareStatus::BelowGuarantee);
    assert!(matches!(held_back, Admission::Queued(_)), "{held_back:?}");
    assert!(matches!(served, Admission::Decided(Ok(_))), "{served:?}");
}

/// Failure: one request that finds no server takes capacity from all accounts above their share, in the whole fleet and for
/// most of a second.
#[test]
fn single_request_without_capacity_is_no_contention() {
    let one = UnmetDemand {
        instances: 1,
        cost: 500,
    };
    let many = UnmetDemand {
        instances: 4,
        cost: 2_000,
    };
    let placed = |demand| {
        let now = Instant::now();
        let mut scheduler = scheduler(ONE_SERVER, now);
        scheduler.token_rate = 10_000.0;
        let unmet = vec![(ShareStatus::BelowFairShare, demand)];
        scheduler.apply_report(InstanceId::of("other"), &report(unmet, flood_usage()), now);
        let asks = (0..8).map(|_| scheduler.submit(&request("flood", shape(1, 10, 10), now), now));
        asks.filter(|v| matches!(v, Admission::Decided(Ok(_))))
            .count()
    };

    assert_eq!((placed(one), placed(many)), (4, 2));
}
