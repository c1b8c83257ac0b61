//! The fleet's budget of second sends.

use std::time::{Duration, Instant};

use hawthornmill::routing::retry_budget::{RetryBudget, RetryBudgetConfig};

use super::drafter;

const TERMS: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};

/// Eight instances whose servers all fail send again as often as they may, at the same time. If each
/// took the whole extra for itself, the fleet would send eight times what it is allowed.
#[test]
fn instances_together_stay_within_the_budget_in_every_window() {
    let now = Instant::now();
    let mut budgets: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::new(TERMS, now)).collect();
    let mut again: Vec<(Duration, u32)> = Vec::new();
    let mut came: Vec<(Duration, u32)> = Vec::new();

    for step in 0..300_u64 {
        let time = Duration::from_millis(step * 100);
        let mut taken = 0;
        for budget in &mut budgets {
            budget.observe_instances(8);
            budget.record_request(drafter(), now + time);
            while budget.try_acquire(drafter(), now + time) {
                taken += 1;
            }
        }
        came.push((time, 8));
        again.push((time, taken));
    }

    for (end, _) in &again {
        let within = |list: &[(Duration, u32)]| -> u32 {
            let inside = |t: &Duration| *t <= *end && *t + TERMS.window > *end;
            list.iter().filter(|(t, _)| inside(t)).map(|(_, n)| n).sum()
        };
        let allowed = f64::from(within(&came)) * TERMS.ratio + TERMS.extra;
        assert!(
            f64::from(within(&again)) <= allowed,
            "{} at {end:?}, allowed {allowed}",
            within(&again)
        );
    }
    assert!(
        again.iter().map(|(_, n)| n).sum::<u32>() > 100,
        "the budget is of use"
    );
}

#[test]
fn what_was_used_is_free_again_after_a_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(TERMS, now);
    while budget.try_acquire(drafter(), now) {}

    let later = now + TERMS.window + Duration::from_secs(2);

    assert!(!budget.try_acquire(drafter(), now + Duration::from_secs(5)));
    assert!(budget.try_acquire(drafter(), later));
}
