//! Names in log lines of values whose variants have other names in the code.

use hawthornmill::routing::request::Cause;
use hawthornmill::routing::usage::ShareStatus;

/// Failure: a variant is renamed in the code, and tools of operators no longer find refusals by their cause.
#[test]
fn renamed_causes_of_refusals_keep_their_log_names() {
    let causes = [
        Cause::NoServer,
        Cause::RegionBound,
        Cause::Resting,
        Cause::OverFairShare,
        Cause::TooLong,
        Cause::QueueFull,
        Cause::QueueTimeout,
    ];

    assert_eq!(
        causes.map(|cause| cause.to_string()),
        [
            "NoServer",
            "RegionBound",
            "Resting",
            "OthersOwed",
            "TooLong",
            "Crowd",
            "Waited"
        ]
    );
}

/// Failure: a variant is renamed in the code, and tools of operators no longer find refusals by the account's status.
#[test]
fn renamed_share_statuses_keep_their_log_names() {
    let statuses = [
        ShareStatus::BelowGuarantee,
        ShareStatus::BelowFairShare,
        ShareStatus::AboveFairShare,
    ];

    assert_eq!(
        statuses.map(|status| status.to_string()),
        ["Owed", "Below", "Above"]
    );
}
