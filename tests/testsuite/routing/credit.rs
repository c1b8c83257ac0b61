//! Credit of accounts that request more than their fair share.

use std::time::Duration;

use hawthornmill::routing::credit::{Credit, ShareOfDemand};
use hawthornmill::routing::usage::AccountUsage;

use super::millis;

/// An account that requests ten times its level of 1,000 tokens, a tenth of it here, and has had `served` tokens.
fn tenth_of_demand(served: f32) -> ShareOfDemand {
    ShareOfDemand {
        level: 1_000.0,
        fleet: AccountUsage {
            requested: 10_000.0,
            served,
        },
        local: AccountUsage {
            requested: 1_000.0,
            served: 0.0,
        },
    }
}

/// Returns the cost of the requests of 10 tokens that are within the share in `time`, refilled every 200 ms.
fn sent_within_share(share: &ShareOfDemand, time: Duration) -> f64 {
    let mut credit = Credit::new(share);
    let mut sent = 0.0;
    for _ in 0..time.as_millis() / 200 {
        credit.refill(share, millis(200));
        while credit.is_positive() {
            credit.charge(10.0);
            sent += 10.0;
        }
    }
    sent
}

/// Failure: what an account gets hangs on how often reports arrive, not on its level.
#[test]
fn account_at_its_level_is_sent_at_the_rate_of_its_level() {
    let sent = sent_within_share(&tenth_of_demand(1_000.0), Duration::from_secs(10));

    let level_part = 10.0 * 100.0;
    assert!((sent / level_part - 1.0).abs() <= 0.15, "{sent}");
}

/// Failure: an account far above its level goes on getting its part of it, so what it had too much of stays uncorrected.
#[test]
fn account_far_above_its_level_gets_no_credit() {
    let sent = sent_within_share(&tenth_of_demand(2_500.0), Duration::from_secs(10));

    assert!(sent <= 10.0, "{sent}");
}

/// Failure: an account that was silent sends at once all that it did not send before.
#[test]
fn little_unused_credit_is_kept() {
    let share = tenth_of_demand(1_000.0);
    let mut credit = Credit::new(&share);
    credit.refill(&share, Duration::from_mins(1));

    let mut sent = 0.0;
    while credit.is_positive() {
        credit.charge(10.0);
        sent += 10.0;
    }

    assert!((10.0..=100.0).contains(&sent), "{sent}");
}

/// Failure: a request larger than the credit of many instances is never sent, or the account is charged too little for it.
#[test]
fn large_request_overdraws_the_credit_once() {
    let share = tenth_of_demand(500.0);
    let mut credit = Credit::new(&share);

    credit.charge(400.0);
    let after_one = credit.is_positive();
    credit.refill(&share, Duration::from_secs(1));
    let after_a_second = credit.is_positive();
    credit.refill(&share, Duration::from_secs(2));

    assert!(!after_one && !after_a_second);
    assert!(credit.is_positive());
}
