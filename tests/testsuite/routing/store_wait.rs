//! Waits of watches of the platform's store.

use hawthornmill::routing::store_wait::{AnswerTime, watch_wait};

use super::millis;

/// Failure: an instance that reads the store alone learns of a silent store late, or many instances make more calls than need be.
#[test]
fn wait_grows_with_the_readers_of_the_store() {
    let longest = [0, 2, 5, 300].map(|others| watch_wait(others, 0.999_999_9).as_millis());
    let shortest = [0, 300].map(|others| watch_wait(others, 0.0));

    assert_eq!(longest, [1_599, 2_399, 3_199, 3_199]);
    assert_eq!(shortest, [millis(1_300); 2]);
}

/// Failure: a slow store's answers are given up, or a dead connection is waited for though the store answers fast.
#[test]
fn margin_follows_the_time_of_answers() {
    let longest = millis(900);
    let mut time = AnswerTime::default();
    assert_eq!(time.margin(longest), longest, "nothing is measured");

    time.record(millis(5));
    assert_eq!(time.margin(longest), millis(400));
    time.record(millis(600));
    assert_eq!(time.margin(longest), longest);
    time.record(millis(100));
    assert!(
        time.margin(longest) > millis(400),
        "one fast answer proves little"
    );
    time.forget();
    assert_eq!(time.margin(longest), longest);
}
