//! Failure detection from direct heartbeats and relayed reports.

use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::membership::{LivenessUpdate, Members};
use hawthornmill_test_support::steps::contact;

/// A view with one other instance, `i1`, and the time of its creation.
fn view() -> (Members, Instant) {
    let now = Instant::now();
    let own = contact("i0", "a", "north");
    let mut members = Members::new(InstanceId::of("i0"), own, Incarnation(1), now);
    members.upsert_contact(contact("i1", "b", "north"), now);
    (members, now)
}

fn other() -> InstanceId {
    InstanceId::of("i1")
}

/// An update of the other instance that announces the interval in milliseconds until the next one.
fn update(interval: u64, direct: bool) -> LivenessUpdate {
    LivenessUpdate {
        from: other(),
        incarnation: Incarnation(1),
        leaving: false,
        revision: 1,
        interval: Duration::from_millis(interval),
        stable_tenths: 255,
        direct,
    }
}

/// An instance increases its heartbeat interval with the number of partners and stops heartbeats that
/// a partner no longer needs. Partners mistook both for a failure: under load, owners changed several
/// times a second, and servers got more calls than they have slots.
#[test]
fn fewer_heartbeats_do_not_mark_an_instance_dead() {
    let (mut members, now) = view();
    let at = |millis: u64| now + Duration::from_millis(millis);

    members.record_liveness(update(100, true), at(0));
    members.record_liveness(update(450, true), at(100));
    members.expire_silent(at(540));
    let slower = members.is_live(other());
    members.record_liveness(update(0, true), at(550));
    members.expire_silent(at(2500));
    let none = members.is_live(other());
    members.record_liveness(update(1000, false), at(2600));
    members.expire_silent(at(5500));
    let relayed = members.is_live(other());
    members.expire_silent(at(6000));

    assert_eq!((slower, none, relayed), (true, true, true));
    assert!(!members.is_live(other()), "the timeout is detected");
}

/// An instance gets more partners and announces longer heartbeat intervals. Its heartbeats were
/// ignored like relayed reports until it counted as dead, and the next one made it live again, so
/// pools changed owners several times a second.
#[test]
fn instance_with_growing_heartbeat_interval_stays_live() {
    let (mut members, mut now) = view();
    members.record_liveness(update(100, true), now);

    for interval in (1..30).map(|n| 100 + 50 * n) {
        now += Duration::from_millis(interval);
        members.record_liveness(update(interval, true), now);
        members.expire_silent(now + Duration::from_millis(interval));
    }

    assert!(members.newly_dead.is_empty());
}

/// An instance hangs while relays still forward its last reports for a moment. That must not hide
/// that its own heartbeats have stopped.
#[test]
fn relayed_reports_do_not_hide_missing_heartbeats() {
    let (mut members, now) = view();
    let at = |millis: u64| now + Duration::from_millis(millis);

    members.record_liveness(update(100, true), at(0));
    members.record_liveness(update(1000, false), at(400));
    members.expire_silent(at(600));

    assert!(!members.is_live(other()));
}
