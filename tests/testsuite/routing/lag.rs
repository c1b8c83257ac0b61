//! Time for which an instance has known that it is behind.

use std::time::{Duration, Instant};

use hawthornmill::routing::lag::Lag;

use super::millis;

#[test]
fn lag_counts_from_the_first_report() {
    let now = Instant::now();
    let mut lag = Lag::default();

    lag.observe(20, 16, now);
    lag.observe(20, 16, now + millis(500));

    assert_eq!(lag.duration(now + millis(2_000)), millis(2_000));
}

/// Failure: while versions follow each other, an instance that receives each a little late counts as behind for long.
#[test]
fn received_versions_no_longer_count() {
    let now = Instant::now();
    let mut lag = Lag::default();
    for step in 1..=100 {
        let reported = now + millis(100) * step;
        lag.observe(u64::from(step), u64::from(step) - 1, reported);

        assert_eq!(lag.duration(reported + millis(90)), millis(90));

        lag.catch_up(u64::from(step));
    }

    assert!(!lag.is_behind());
    assert_eq!(lag.duration(now + millis(20_000)), Duration::ZERO);
}

/// Failure: an older version arrives and resets the time since the newest one was first heard of.
#[test]
fn older_version_does_not_reset_the_lag() {
    let now = Instant::now();
    let mut lag = Lag::default();

    lag.observe(20, 16, now);
    lag.catch_up(18);

    assert_eq!(lag.duration(now + millis(700)), millis(700));
}

#[test]
fn older_reports_cause_no_lag() {
    let now = Instant::now();
    let mut lag = Lag::default();

    lag.observe(16, 16, now);
    lag.observe(3, 16, now);

    assert!(!lag.is_behind());
}
