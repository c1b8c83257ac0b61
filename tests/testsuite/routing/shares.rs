//! Max-min shares of accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hawthornmill::ident::{AccountId, InstanceId};
use hawthornmill::routing::usage::{Standing, Sums, Usage, level, standings};
use proptest::prelude::*;

#[test]
fn whoever_asks_for_less_gets_it_and_the_rest_is_even() {
    assert!((level([10.0, 40.0, 100.0].into_iter(), 90.0) - 40.0).abs() < 1e-9);
    assert!((level([10.0, 60.0, 100.0].into_iter(), 90.0) - 40.0).abs() < 1e-9);
    assert!(level([10.0, 20.0].into_iter(), 90.0).is_infinite());
    assert!(level([].into_iter(), 90.0).is_infinite());
}

proptest! {
    #[test]
    fn a_level_divides_the_capacity_and_no_more(
        asked in proptest::collection::vec(0.0..1e6_f64, 1..40), capacity in 1.0..1e7_f64,
    ) {
        let level = level(asked.iter().copied(), capacity);

        let given: f64 = asked.iter().map(|a| a.min(level)).sum();
        let wanted: f64 = asked.iter().sum();
        prop_assert!((given - wanted.min(capacity)).abs() < 1e-3 * capacity.max(wanted));
    }
}

#[test]
fn sums_cover_the_window_here_and_what_the_others_last_said() {
    let now = Instant::now();
    let (lab, kiosk) = (AccountId::of("lab"), AccountId::of("kiosk"));
    let mut usage = Usage::new(now);
    usage.asked(lab, 100.0, now);
    usage.got(lab, 60.0, now);
    let peer = vec![
        (
            lab,
            Sums {
                asked: 10.0,
                got: 5.0,
            },
        ),
        (
            kiosk,
            Sums {
                asked: 7.0,
                got: 7.0,
            },
        ),
    ];

    usage.hear(InstanceId::of("other"), peer, now);
    let at_once = usage.fleet(now + Duration::from_millis(100));
    let later = usage.fleet(now + Duration::from_secs(3));
    let much_later = usage.fleet(now + Duration::from_secs(6));

    assert_eq!(
        at_once[&lab],
        Sums {
            asked: 110.0,
            got: 65.0
        }
    );
    assert_eq!(
        at_once[&kiosk],
        Sums {
            asked: 7.0,
            got: 7.0
        }
    );
    assert_eq!(later.get(&kiosk), None);
    assert_eq!(
        later[&lab],
        Sums {
            asked: 100.0,
            got: 60.0
        }
    );
    assert_eq!(much_later.get(&lab), None);
}

/// One account has had seven times what another had, and both asked for more than an even part of
/// the promised capacity. If both merely counted as beyond their share, the one that came first
/// would go on taking all that the servers yield.
#[test]
fn among_those_beyond_the_promise_the_one_that_had_less_goes_first() {
    let sums = |asked, got| Sums { asked, got };
    let fleet: BTreeMap<AccountId, Sums> = [
        ("small", sums(50.0, 50.0)),
        ("poor", sums(900.0, 260.0)),
        ("rich", sums(2_000.0, 1_900.0)),
    ]
    .map(|(name, sums)| (AccountId::of(name), sums))
    .into();

    let standings = standings(&fleet, 500.0);

    let (poor, rich) = (
        standings[&AccountId::of("poor")],
        standings[&AccountId::of("rich")],
    );
    assert_eq!(poor.standing, Standing::Below);
    assert_eq!(rich.standing, Standing::Above);
    assert!(poor.lead < 1.0 && rich.lead > 1.5, "{poor:?} {rich:?}");
}
