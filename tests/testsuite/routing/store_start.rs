//! Reads of the platform's store by instances that start.

use hawthornmill::routing::store_start::Start;

use super::millis;

/// Failure: all instances of a fleet that starts list catalog and registrations themselves, and each call is billed.
#[test]
fn followers_alone_read_the_store_when_the_fleet_starts_for_the_first_time() {
    let start = |first, age, is_follower| Start {
        first,
        age: millis(age),
        is_follower,
    };

    let follower = [100, 1_500].map(|age| start(true, age, true).reads_store());
    let other = [100, 1_500, 4_100].map(|age| start(true, age, false).reads_store());

    assert_eq!(
        follower,
        [false, true],
        "it takes a while to hear of others"
    );
    assert_eq!(other, [false, false, true], "nobody else may answer");
}

/// Failure: all instances were killed and callers wait for them, but each one waits for others.
#[test]
fn restarted_instance_reads_the_store_at_once() {
    let start = Start {
        first: false,
        age: millis(0),
        is_follower: false,
    };

    assert!(start.reads_store());
}
