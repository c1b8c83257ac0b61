//! Fleet-wide retry budget.

use std::time::{Duration, Instant};

use hawthornmill::routing::retry_budget::{RetryBudget, RetryBudgetConfig};

use super::drafter;

const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};

/// Failure: eight instances whose servers all fail retry as often as they may at the same time. If each used the whole
/// extra, the fleet would send eight times the allowed retries.
#[test]
fn retries_of_all_instances_stay_within_the_budget() {
    let now = Instant::now();
    let mut budgets: Vec<RetryBudget> = (0..8).map(|_| RetryBudget::new(CONFIG, now)).collect();
    let mut retries: Vec<(Duration, u32)> = Vec::new();
    let mut requests: Vec<(Duration, u32)> = Vec::new();

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
        requests.push((time, 8));
        retries.push((time, taken));
    }

    for (end, _) in &retries {
        let within = |list: &[(Duration, u32)]| -> u32 {
            let inside = |t: &Duration| *t <= *end && *t + CONFIG.window > *end;
            list.iter().filter(|(t, _)| inside(t)).map(|(_, n)| n).sum()
        };
        let allowed = f64::from(within(&requests)) * CONFIG.ratio + CONFIG.extra;
        assert!(
            f64::from(within(&retries)) <= allowed,
            "{} at {end:?}, allowed {allowed}",
            within(&retries)
        );
    }
    assert!(
        retries.iter().map(|(_, n)| n).sum::<u32>() > 100,
        "the budget is of use"
    );
}

#[test]
fn budget_recovers_after_a_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(CONFIG, now);
    while budget.try_acquire(drafter(), now) {}

    let later = now + CONFIG.window + Duration::from_secs(2);

    assert!(!budget.try_acquire(drafter(), now + Duration::from_secs(5)));
    assert!(budget.try_acquire(drafter(), later));
}
