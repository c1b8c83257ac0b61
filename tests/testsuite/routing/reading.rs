//! How long engines take to a first token.

use std::time::{Duration, Instant};

use hawthornmill::routing::reading::ReadTimes;

use super::millis;

/// Answers that take `fixed` and a millisecond for each 100 tokens.
fn learnt(fixed: Duration) -> ReadTimes {
    let mut times = ReadTimes::default();
    let now = Instant::now();
    for number in 0..2_000_u32 {
        let tokens = 200 + number * 997 % 20_000;
        let reading = Duration::from_secs_f64(f64::from(tokens) / 100_000.0);
        times.observe(tokens, fixed + reading, now);
    }
    times
}

#[test]
fn the_rate_and_the_fixed_time_are_learnt_apart() {
    let times = learnt(millis(90));

    assert!(
        (times.per_second() - 100_000.0).abs() < 1_000.0,
        "{times:?}"
    );
    assert!(times.first().abs_diff(millis(90)) < millis(2), "{times:?}");
}

/// Failure: answers that reach an instance late by its full link make all engines look slow.
#[test]
fn a_slow_way_is_no_slow_reading() {
    let times = learnt(millis(600));

    assert!(
        (times.per_second() - 100_000.0).abs() < 1_000.0,
        "{times:?}"
    );
}

/// Failure: requests of one length tell nothing of the slope, and a division by nothing follows.
#[test]
fn requests_of_one_length_leave_plausible_figures() {
    let mut times = ReadTimes::default();
    let now = Instant::now();
    for _ in 0..5_000 {
        times.observe(3_000, millis(200), now);
    }

    let expected = times.first() + times.reading(3_000);
    assert!(expected.abs_diff(millis(200)) < millis(5), "{times:?}");
    assert!(times.per_second() >= 5_000.0 && times.per_second() <= 400_000.0);
}
