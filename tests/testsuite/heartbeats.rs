//! Signs of life whose interval changes.

use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::membership::{Members, Sign};
use hawthornmill_test_support::steps::contact;

/// An instance gets more partners, so it sends heartbeats more seldom and says so. Taken for a relayed
/// report that must not cover silence, these were ignored until it counted as dead; with the next one
/// it was alive again, and pools changed owners several times a second.
#[test]
fn an_instance_that_sends_more_seldom_stays_live() {
    let start = Instant::now();
    let own = contact("i0", "a", "north");
    let mut members = Members::new(InstanceId::of("i0"), own, Incarnation(1), start);
    members.learn(contact("i1", "a", "north"), start);
    let sign = |interval: u64| Sign {
        from: InstanceId::of("i1"),
        incarnation: Incarnation(1),
        leaving: false,
        revision: 1,
        interval: Duration::from_millis(interval),
        steady: 0,
        direct: true,
    };
    let mut now = start;
    members.hear(sign(100), now);

    for interval in (1..30).map(|n| 100 + 50 * n) {
        now += Duration::from_millis(interval);
        members.hear(sign(interval), now);
        members.sweep(now + Duration::from_millis(interval));
    }

    assert!(members.died.is_empty());
}
