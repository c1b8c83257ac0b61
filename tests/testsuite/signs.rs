//! Signs of life, direct and relayed.

use std::time::{Duration, Instant};

use hawthornmill::ident::{Incarnation, InstanceId};
use hawthornmill::membership::{LivenessUpdate, Members};
use hawthornmill_test_support::steps::contact;

/// A view of one other instance, `i1`, and the start of its time.
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

/// A sign of the other instance that tells the time until the next one.
fn sign(interval: u64, direct: bool) -> LivenessUpdate {
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

/// An instance sends heartbeats more seldom when more instances need them, and none where nobody
/// needs them any more. Its partners took either change for its death, worked out owners anew and
/// took it back at once: under load, owners changed several times a second and servers were given
/// more calls than they had slots.
#[test]
fn fewer_heartbeats_are_no_death() {
    let (mut members, now) = view();
    let at = |millis: u64| now + Duration::from_millis(millis);

    members.record_liveness(sign(100, true), at(0));
    members.record_liveness(sign(450, true), at(100));
    members.expire_silent(at(540));
    let slower = members.is_live(other());
    members.record_liveness(sign(0, true), at(550));
    members.expire_silent(at(2500));
    let none = members.is_live(other());
    members.record_liveness(sign(1000, false), at(2600));
    members.expire_silent(at(5500));
    let relayed = members.is_live(other());
    members.expire_silent(at(6000));

    assert_eq!((slower, none, relayed), (true, true, true));
    assert!(!members.is_live(other()), "silence is noticed");
}

/// An instance gets more partners, so it sends heartbeats more seldom and says so. Taken for a relayed
/// report that must not cover silence, these were ignored until it counted as dead; with the next one
/// it was alive again, and pools changed owners several times a second.
#[test]
fn an_instance_that_sends_more_seldom_stays_live() {
    let (mut members, mut now) = view();
    members.record_liveness(sign(100, true), now);

    for interval in (1..30).map(|n| 100 + 50 * n) {
        now += Duration::from_millis(interval);
        members.record_liveness(sign(interval, true), now);
        members.expire_silent(now + Duration::from_millis(interval));
    }

    assert!(members.newly_dead.is_empty());
}

/// An instance hangs, and relays still pass on its last reports for a moment. That must not hide
/// that its own heartbeats have stopped.
#[test]
fn relayed_reports_do_not_cover_the_silence_of_heartbeats() {
    let (mut members, now) = view();
    let at = |millis: u64| now + Duration::from_millis(millis);

    members.record_liveness(sign(100, true), at(0));
    members.record_liveness(sign(1000, false), at(400));
    members.expire_silent(at(600));

    assert!(!members.is_live(other()));
}
