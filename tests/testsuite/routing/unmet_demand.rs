//! Work that found no room, and who gives way to it.

use std::time::Instant;

use hawthornmill::ident::InstanceId;
use hawthornmill::routing::gossip::UnmetDemand;
use hawthornmill::routing::request::Admission;
use hawthornmill::routing::usage::ShareStatus;

use super::scheduler::{MUCH, ODD, ONE, fill, flooded, flooding, news};
use super::{drafter, millis, request, scheduler, shape};

/// Another instance has turned away a request of an account below its share, a moment ago. Here the
/// flooding account's next request finds a place that came free; if it took it, the account below
/// its share would starve at the other instance.
#[test]
fn an_account_beyond_its_share_gives_way_to_one_that_waits_elsewhere() {
    let now = Instant::now();
    let mut scheduler = scheduler(ONE, now);
    scheduler.token_rate = 10.0;
    let told = news(vec![(ShareStatus::BelowGuarantee, MUCH)], flooding());
    scheduler.apply_report(InstanceId::of("other"), &told, now);

    let refused = scheduler.submit(&request("flood", shape(1, 10, 10), now), now);
    let owed = scheduler.submit(&request("small", shape(1, 10, 10), now), now);
    let later = now + millis(1_000);
    scheduler.apply_report(
        InstanceId::of("other"),
        &news(Vec::new(), Vec::new()),
        later,
    );
    let after = scheduler.submit(&request("flood", shape(1, 10, 10), later), later);

    assert!(matches!(refused, Admission::Decided(Err(_))));
    assert!(matches!(owed, Admission::Decided(Ok(_))));
    assert!(matches!(after, Admission::Decided(Ok(_))));
}

/// Failure: of two accounts around an even part, each shuts the other out in turn while servers idle.
#[test]
fn only_an_account_that_is_owed_shuts_others_out() {
    let now = Instant::now();
    let asks = |better: ShareStatus| {
        let mut scheduler = scheduler(ONE, now);
        scheduler.token_rate = 10.0;
        let told = news(vec![(better, MUCH)], flooding());
        scheduler.apply_report(InstanceId::of("other"), &told, now);
        scheduler.submit(&request("flood", shape(1, 10, 10), now), now)
    };

    let (owed, below) = (
        asks(ShareStatus::BelowGuarantee),
        asks(ShareStatus::BelowFairShare),
    );

    assert!(matches!(owed, Admission::Decided(Err(_))), "{owed:?}");
    assert!(matches!(below, Admission::Decided(Ok(_))), "{below:?}");
}

/// Failure: an account that comes in by one instance is turned away there while others have twice as much; or a
/// single odd request shuts everybody else out of idle servers.
#[test]
fn much_owed_work_that_one_instance_turns_away_shuts_others_out() {
    let now = Instant::now();
    let asks = |cost: u32| {
        let mut scheduler = scheduler(ONE, now);
        scheduler.token_rate = 10_000.0;
        let lack = UnmetDemand { instances: 1, cost };
        let told = news(vec![(ShareStatus::BelowGuarantee, lack)], flooding());
        scheduler.apply_report(InstanceId::of("other"), &told, now);
        scheduler.submit(&request("flood", shape(1, 10, 10), now), now)
    };

    let (odd, much) = (asks(500), asks(2_000));

    assert!(matches!(odd, Admission::Decided(Ok(_))), "{odd:?}");
    assert!(matches!(much, Admission::Decided(Err(_))), "{much:?}");
}

/// Failure: work that was turned away shuts others out when nobody is turned away any more.
#[test]
fn what_was_turned_away_is_told_with_its_cost_and_fades() {
    let now = Instant::now();
    let mut scheduler = scheduler(ONE, now);
    fill(&mut scheduler, now);
    for _ in 0..3 {
        let _waiting = scheduler.submit(&request("lab", shape(1, 100, 100), now), now);
    }

    let cost = |after: u64| scheduler.unmet_demand(now + millis(after))[0].2.cost;

    let whole = 3.0 * shape(1, 100, 100).cost();
    assert_eq!(cost(0), whole as u32);
    assert!(
        f64::from(cost(800)) < 0.5 * whole,
        "{} of {whole}",
        cost(800)
    );
}

/// An instance far away in a large fleet gets one piece of news in four. A shortage told for a third
/// of a second only would mostly pass it by, and accounts beyond their share there would not give way.
#[test]
fn a_shortage_is_told_until_far_instances_have_heard_of_it() {
    let now = Instant::now();
    let mut scheduler = scheduler(ONE, now);
    fill(&mut scheduler, now);
    let _waiting = scheduler.submit(&request("lab", shape(1, 10, 10), now), now);

    let later = scheduler.unmet_demand(now + millis(800));
    let over = scheduler.unmet_demand(now + millis(1_000));

    let keys: Vec<_> = later.iter().map(|(s, st, _)| (*s, *st)).collect();
    assert_eq!(keys, [(drafter(), ShareStatus::BelowGuarantee)]);
    assert!(over.is_empty());
}

/// Failure: one odd request of an owed account, at one of few instances, keeps everybody else from idle servers.
#[test]
fn a_single_odd_request_shuts_nobody_out() {
    let now = Instant::now();
    let mut scheduler = flooded(now);
    scheduler.token_rate = 10_000.0;
    let odd = news(vec![(ShareStatus::BelowGuarantee, ODD)], Vec::new());
    scheduler.apply_report(InstanceId::of("third"), &odd, now);

    let verdict = scheduler.submit(&request("flood", shape(1, 10, 10), now), now);

    assert!(matches!(verdict, Admission::Decided(Ok(_))), "{verdict:?}");
}
