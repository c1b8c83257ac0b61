//! How long engines take to a first token.

use std::time::{Duration, Instant};

use hawthornmill::routing::ttft::TtftModel;

use super::millis;

/// Answers that take `fixed` and a millisecond for each 100 tokens.
fn learnt(fixed: Duration) -> TtftModel {
    let mut times = TtftModel::default();
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
        (times.prefill_rate() - 100_000.0).abs() < 1_000.0,
        "{times:?}"
    );
    assert!(
        times.base_latency().abs_diff(millis(90)) < millis(2),
        "{times:?}"
    );
}

/// Failure: answers that reach an instance late by its full link make all engines look slow.
#[test]
fn a_slow_way_is_no_slow_reading() {
    let times = learnt(millis(600));

    assert!(
        (times.prefill_rate() - 100_000.0).abs() < 1_000.0,
        "{times:?}"
    );
}

/// Failure: requests of one length tell nothing of the slope, and a division by nothing follows.
#[test]
fn requests_of_one_length_leave_plausible_figures() {
    let mut times = TtftModel::default();
    let now = Instant::now();
    for _ in 0..5_000 {
        times.observe(3_000, millis(200), now);
    }

    let expected = times.base_latency() + times.prefill_time(3_000);
    assert!(expected.abs_diff(millis(200)) < millis(5), "{times:?}");
    assert!(times.prefill_rate() >= 5_000.0 && times.prefill_rate() <= 400_000.0);
}
