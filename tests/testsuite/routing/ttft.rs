//! Estimates of the time to the first token.

use std::time::{Duration, Instant};

use hawthornmill::routing::ttft::TtftModel;

use super::millis;

/// Model after responses that take `fixed` and a millisecond per 100 tokens.
fn learned(fixed: Duration) -> TtftModel {
    let mut model = TtftModel::default();
    let now = Instant::now();
    for number in 0..2_000_u32 {
        let tokens = 200 + number * 997 % 20_000;
        let prefill = Duration::from_secs_f64(f64::from(tokens) / 100_000.0);
        model.observe(tokens, fixed + prefill, now);
    }
    model
}

#[test]
fn prefill_rate_and_base_latency_are_learned_separately() {
    let model = learned(millis(90));

    assert!(
        (model.estimate().prefill_rate - 100_000.0).abs() < 1_000.0,
        "{model:?}"
    );
    assert!(
        model.estimate().base_latency.abs_diff(millis(90)) < millis(2),
        "{model:?}"
    );
}

/// Failure: responses that arrive late through a saturated link make all engines look slow.
#[test]
fn slow_link_does_not_reduce_the_prefill_rate() {
    let model = learned(millis(600));

    assert!(
        (model.estimate().prefill_rate - 100_000.0).abs() < 1_000.0,
        "{model:?}"
    );
}

/// Failure: requests of equal length don't determine the slope, and the estimate divides by zero.
#[test]
fn requests_of_equal_length_give_plausible_estimates() {
    let mut model = TtftModel::default();
    let now = Instant::now();
    for _ in 0..5_000 {
        model.observe(3_000, millis(200), now);
    }

    let expected = model.estimate().base_latency + model.estimate().prefill_time(3_000);
    assert!(expected.abs_diff(millis(200)) < millis(5), "{model:?}");
    assert!(model.estimate().prefill_rate >= 5_000.0 && model.estimate().prefill_rate <= 400_000.0);
}
