//! How long an instance has known that it is behind.

use std::time::{Duration, Instant};

use hawthornmill::routing::lag::Lag;

use super::millis;

#[test]
fn an_instance_is_behind_from_the_first_word_of_what_it_lacks() {
    let now = Instant::now();
    let mut lag = Lag::default();

    lag.observe(20, 16, now);
    lag.observe(20, 16, now + millis(500));

    assert_eq!(lag.duration(now + millis(2_000)), millis(2_000));
}

/// Failure: while versions follow each other, one that takes each a little late counts as long behind.
#[test]
fn what_is_reached_no_longer_counts() {
    let now = Instant::now();
    let mut lag = Lag::default();
    for step in 1..=100 {
        let heard = now + millis(100) * step;
        lag.observe(u64::from(step), u64::from(step) - 1, heard);

        assert_eq!(lag.duration(heard + millis(90)), millis(90));

        lag.catch_up(u64::from(step));
    }

    assert!(!lag.is_behind());
    assert_eq!(lag.duration(now + millis(20_000)), Duration::ZERO);
}

/// Failure: an older version comes over, and the time since the newest was heard of starts anew.
#[test]
fn an_instance_that_reaches_an_older_version_stays_behind() {
    let now = Instant::now();
    let mut lag = Lag::default();

    lag.observe(20, 16, now);
    lag.catch_up(18);

    assert_eq!(lag.duration(now + millis(700)), millis(700));
}

#[test]
fn what_others_have_that_is_no_newer_leaves_nobody_behind() {
    let now = Instant::now();
    let mut lag = Lag::default();

    lag.observe(16, 16, now);
    lag.observe(3, 16, now);

    assert!(!lag.is_behind());
}
