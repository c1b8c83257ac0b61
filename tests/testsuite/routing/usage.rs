//! Max-min shares of accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthornmill::ident::{AccountId, InstanceId};
use hawthornmill::routing::usage::{
    AccountUsage, DECAY_TIME, ShareStatus, UsageTracker, fair_shares, max_min_share,
};
use proptest::prelude::*;

#[test]
fn whoever_asks_for_less_gets_it_and_the_rest_is_even() {
    assert!((max_min_share([10.0, 40.0, 100.0].into_iter(), 90.0) - 40.0).abs() < 1e-9);
    assert!((max_min_share([10.0, 60.0, 100.0].into_iter(), 90.0) - 40.0).abs() < 1e-9);
    assert!(max_min_share([10.0, 20.0].into_iter(), 90.0).is_infinite());
    assert!(max_min_share([].into_iter(), 90.0).is_infinite());
}

proptest! {
    #[test]
    fn a_level_divides_the_capacity_and_no_more(
        asked in proptest::collection::vec(0.0..1e6_f64, 1..40), capacity in 1.0..1e7_f64,
    ) {
        let level = max_min_share(asked.iter().copied(), capacity);

        let given: f64 = asked.iter().map(|a| a.min(level)).sum();
        let wanted: f64 = asked.iter().sum();
        prop_assert!((given - wanted.min(capacity)).abs() < 1e-3 * capacity.max(wanted));
    }
}

/// What `sums` have become after so many times [`FADE`].
fn faded(sums: AccountUsage, times: f32) -> AccountUsage {
    AccountUsage {
        requested: sums.requested * (-times).exp(),
        served: sums.served * (-times).exp(),
    }
}

fn close(one: AccountUsage, other: AccountUsage) -> bool {
    (one.requested - other.requested).abs() < 0.01 && (one.served - other.served).abs() < 0.01
}

/// Load pattern: an account asks for much more than its share all the time. Costs that left a window of
/// some seconds all at once gave it everything for half of the window and nothing for the other half.
#[test]
fn sums_fade_here_and_what_the_others_last_said_is_forgotten() {
    let now = Instant::now();
    let (lab, kiosk) = (AccountId::of("lab"), AccountId::of("kiosk"));
    let sums = |asked, got| AccountUsage {
        requested: asked,
        served: got,
    };
    let mut usage = UsageTracker::default();
    usage.record_requested(lab, 100.0, now);
    usage.record_served(lab, 60.0, now);
    let peer = vec![(lab, sums(10.0, 5.0)), (kiosk, sums(7.0, 7.0))];

    usage.apply_peer_report(InstanceId::of("other"), peer, now);
    let at_once = usage.fleet_totals(now);
    let later = usage.fleet_totals(now + DECAY_TIME);
    let silent = usage.fleet_totals(now + Duration::from_secs(3));
    let much_later = usage.fleet_totals(now + DECAY_TIME * 8);

    assert!(close(at_once[&lab], sums(110.0, 65.0)));
    assert!(close(at_once[&kiosk], sums(7.0, 7.0)));
    assert!(close(later[&lab], faded(sums(110.0, 65.0), 1.0)));
    assert_eq!(silent.get(&kiosk), None);
    let times = 3.0 / DECAY_TIME.as_secs_f32();
    assert!(close(silent[&lab], faded(sums(100.0, 60.0), times)));
    assert_eq!(much_later.get(&lab), None);
}

/// A steady account's sums settle at its rate times the time in which they fade, so that they compare
/// with the capacity of that time.
#[test]
fn a_steady_rate_settles() {
    let now = Instant::now();
    let lab = AccountId::of("lab");
    let mut usage = UsageTracker::default();

    for step in 0..1_000 {
        usage.record_served(lab, 10.0, now + Duration::from_millis(10) * step);
        usage.record_requested(lab, 10.0, now + Duration::from_millis(10) * step);
    }
    let sums = usage.fleet_totals(now + Duration::from_secs(10))[&lab];

    let expected = 1_000.0 * DECAY_TIME.as_secs_f32();
    assert!((sums.served / expected - 1.0).abs() < 0.02, "{sums:?}");
}

/// One account has had seven times what another had, and both asked for more than an even part of
/// the promised capacity. If both merely counted as beyond their share, the one that came first
/// would go on taking all that the servers yield.
#[test]
fn among_those_beyond_the_promise_the_one_that_had_less_goes_first() {
    let sums = |asked, got| AccountUsage {
        requested: asked,
        served: got,
    };
    let fleet: BTreeMap<AccountId, AccountUsage> = [
        ("small", sums(50.0, 50.0)),
        ("poor", sums(900.0, 260.0)),
        ("rich", sums(2_000.0, 1_900.0)),
    ]
    .map(|(name, sums)| (AccountId::of(name), sums))
    .into();

    let standings = fair_shares(&fleet, 500.0);

    let (poor, rich) = (
        standings[&AccountId::of("poor")],
        standings[&AccountId::of("rich")],
    );
    assert_eq!(poor.status, ShareStatus::BelowFairShare);
    assert_eq!(rich.status, ShareStatus::AboveFairShare);
    assert!(
        poor.usage_ratio < 1.0 && rich.usage_ratio > 1.5,
        "{poor:?} {rich:?}"
    );
}
