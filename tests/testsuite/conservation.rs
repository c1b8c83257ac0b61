//! Work conservation: no slot idles while a call waits that may use it.

use hawthornmill::board::{Policy, Tuning};
use hawthornmill_test_support::loads::{Backlog, Drive, EIGHT, WIDE_SLOTS, wide_fleet};
use hawthornmill_test_support::steps::Steps;

const fn backlog(account: &'static str, share: f64, entries: &'static [usize]) -> Backlog {
    Backlog {
        account,
        share,
        entries,
        depth: 6,
    }
}

/// Every account waits at one or two instances only.
const NARROW: &[Backlog] = &[
    backlog("large", 4.0, &[0, 5]),
    backlog("lab-1", 1.0, &[3]),
    backlog("lab-2", 1.0, &[2]),
];

fn warmed(policy: Policy) -> (Steps, Drive) {
    let tuning = Tuning {
        policy,
        ..Tuning::default()
    };
    let mut steps = Steps::new(&wide_fleet(), EIGHT, &tuning);
    let mut drive = Drive::new(NARROW);
    drive.run(&mut steps, 4000);
    drive.mark(&steps);
    (steps, drive)
}

/// Part of all slot time that was used while `millis` passed.
fn used(steps: &mut Steps, drive: &mut Drive, millis: u64) -> f64 {
    let before = steps.busy;
    drive.run(steps, millis);
    (steps.busy - before) as f64 / (millis as f64 * f64::from(WIDE_SLOTS))
}

/// At its start every instance is for a moment the only one that it knows well, takes itself for the
/// owner, and turns back. Grants that it dropped meanwhile were counted as on their way for good,
/// and a seventh of all slots idled from then on.
#[test]
fn slots_granted_to_an_entry_that_turned_away_are_not_lost() {
    let (mut steps, mut drive) = warmed(Policy::Pooled);

    let used = used(&mut steps, &mut drive, 10_000);

    println!("used {used:.4}");
    assert!(used > 0.97, "used {used}");
}
